// Package dispatch gives network code a blocking interface to the decision module: submit a job, get the next verdict on it, report how
// each attempt ended. The module's events, actions and timers are handled in this package.
package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"laddertide/policy"
)

// End is how an attempt ended. The first four values prove that the job never ran.
type End uint8

// The ends of an attempt.
const (
	NotConnected End = iota // no connection, or it broke before the last byte was written
	Refused                 // the provider refused the job, or returned it before starting it
	NotSent                 // withdrawn before anything was sent
	Unusable                // the provider cannot process the request, nor could any other
	Served
	Failed         // the provider reported that the job failed
	Broken         // the connection or the provider's process failed while the job was in flight
	Unacknowledged // not acknowledged within the verdict's time limit
	TimedOut       // no result by Verdict.Until
	Withdrawn      // Verdict.Context ended
)

var statuses = [...]policy.Status{
	NotConnected:   policy.ConnectFailed,
	Refused:        policy.Full,
	NotSent:        policy.NotRun,
	Unusable:       policy.NotRun, // not evidence about the provider's health
	Served:         policy.OK,
	Failed:         policy.Error,
	Broken:         policy.Reset,
	Unacknowledged: policy.Reset, // the connection is closed before the acknowledgement
	TimedOut:       policy.TimedOut,
	Withdrawn:      policy.Cancelled,
}

var endNames = [...]string{NotConnected: "not-connected", Refused: "turned-away", NotSent: "not-sent",
	Unusable: "unusable", Served: "served", Failed: "failed", Broken: "broken", Unacknowledged: "silent", TimedOut: "timed-out", Withdrawn: "withdrawn"}

func (e End) String() string { return endNames[e] }

// ProvesNotRun reports whether the end proves that the job never ran.
func (e End) ProvesNotRun() bool { return e <= Unusable }

// Job holds what the decision module needs to know about a client's request.
type Job struct {
	Class, Tenant int
	TimeLeft      time.Duration // time until the client must have its answer
	Hint          time.Duration // estimated work; 0: not given
	Slots         float64

	ConnectionSlots int // see policy.Request

	// As the client sent them, for observers; no decision depends on them.
	ID, TenantName string // the latter is the tenant's name, even if unknown to the settings
	Deadline       time.Duration
}

// VerdictKind is the action to take for a job.
type VerdictKind uint8

// The kinds of verdicts. All except the first and the last are final.
const (
	Attempt    VerdictKind = iota // make an attempt and report how it ended
	Answer                        // send the client the result of the attempt that served the job
	Rejection                     // rejected: nothing ran, so a retry is harmless
	Failure                       // failed: the job may have run
	ClientLeft                    // the client has disconnected; there is nobody to answer
	InvalidJob                    // the request itself is invalid, according to a provider; it never ran
	Await                         // report the end of an attempt that a previous process made and that is still in flight
)

var verdictNames = [...]string{Attempt: "call", Answer: "answer", Rejection: "rejection", Failure: "failure",
	ClientLeft: "left", InvalidJob: "mistake", Await: "await"}

func (k VerdictKind) String() string { return verdictNames[k] }

// Verdict tells the job's owner what to do with the job.
type Verdict struct {
	Kind       VerdictKind
	Provider   string          // of the attempt: its provider's name in discovery
	Until      time.Time       // of the attempt: when it times out
	AckTimeout time.Duration   // of a new attempt: time limit for the acknowledgement; 0: none
	Repeatable bool            // of a new attempt: whether another may follow if it ends without an answer
	Context    context.Context // of the attempt: ends when it is to be withdrawn
	JobOver    <-chan struct{} // of the attempt: closed when the job has its final verdict; nil: never
	RetryAfter time.Duration   // of a rejection: how long the client should wait before a retry; 0: not given

	// MayStillSend reports whether a new attempt, of which nothing has been sent, is still allowed, and by when its last byte must have
	// reached the provider; zero: by Until. It is called right before the first byte, as the steps in between may take long. If it returns
	// false, the attempt ends as NotSent. nil: always allowed.
	MayStillSend func() (by time.Time, allowed bool)
}

// ErrOtherProvider is the cause of an attempt's withdrawal when the job is to go to another provider. The end of the attempt must not be
// reported before the first provider has been notified, as a job may have only one attempt in flight.
var ErrOtherProvider = errors.New("the job goes to another provider")

// Engine owns the decision module. All its methods may be called from any goroutine.
type Engine struct {
	set policy.Settings
	log *slog.Logger

	mu            sync.Mutex
	dispatcher    *policy.Dispatcher
	origin        time.Time     // when the engine was created, on the monotonic clock
	unixOrigin    time.Duration // the same instant on the module's clock, in Unix time
	lastNow       time.Duration
	actions       []policy.Action
	tickets       map[policy.RequestID]*Ticket
	lastID        policy.RequestID
	workerIDs     map[string]policy.WorkerID
	providerNames []string // by WorkerID
	listIndex     uint64   // version of the last discovery update
	closed        bool
	counts        Counts

	schedulers    int                   // number of schedulers that share the work, as far as known; 0: the number in the settings
	coldPart      float64               // this scheduler's share of a cold provider's budget
	reportFailing func(provider string) // called with the name of a provider that fails the jobs sent to it; nil: disabled

	observer Observer // nil: none
	event    Event    // passed to the observer; reused so that no event allocates
	scratch  Step
}

// Counts holds what has happened since the previous call of Engine.Counts, and how many jobs are open.
type Counts struct {
	Jobs, Open int
	Verdicts   [Await + 1]int     // final ones, by kind
	Ends       [Withdrawn + 1]int // of attempts
}

// Counts returns the counters and resets them.
func (d *Engine) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counts
	c.Open = len(d.tickets)
	d.counts = Counts{}
	return c
}

// New returns an Engine with a new Dispatcher. Its clock starts at the system clock's current time.
func New(set policy.Settings, log *slog.Logger) (*Engine, error) { return NewAt(set, log, time.Now()) }

// NewAt is like New, with a clock that starts at the given date, for example after the system clock was stepped.
func NewAt(set policy.Settings, log *slog.Logger, date time.Time) (*Engine, error) {
	disableUnsupported(&set)
	disp, err := policy.New(set)
	if err != nil {
		return nil, err
	}
	return &Engine{
		set: set, log: log, dispatcher: disp, origin: time.Now(), unixOrigin: time.Duration(date.UnixNano()),
		tickets:   make(map[policy.RequestID]*Ticket),
		workerIDs: make(map[string]policy.WorkerID),
	}, nil
}

// disableUnsupported disables the settings that this transport does not support: discovery is watched continuously, providers report no load
// that a probe could read, and there are no peers. A job's attempts are made one after the other.
func disableUnsupported(set *policy.Settings) {
	set.Subscribe, set.Probes, set.Peers, set.SecondCopies = false, false, false, false
}

// applyOverrides applies disableUnsupported and then what is known about the other schedulers.
func (d *Engine) applyOverrides(set *policy.Settings) {
	disableUnsupported(set)
	set.Peers = d.reportFailing != nil
	if d.schedulers > 0 {
		set.Balancers, set.Budget, set.Me = d.schedulers, 1/d.coldPart, min(set.Me, d.schedulers-1)
	}
}

// SetShare sets how many schedulers share the work, and this scheduler's part, above 0, of the load that all schedulers together may send to
// a cold provider.
func (d *Engine) SetShare(schedulers int, coldPart float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	schedulers, coldPart = max(1, schedulers), min(max(coldPart, 1e-6), 1)
	if schedulers == d.schedulers && coldPart == d.coldPart {
		return
	}
	d.schedulers, d.coldPart = schedulers, coldPart
	d.dispatcher.SetShares(schedulers, coldPart)
	d.applyOverrides(&d.set)
	d.step(Step{Input: StateChanged, Now: d.now()})
}

// EnableFailureReports enables the exchange of reports about failing providers with other schedulers: report is called, on a goroutine of its own, for
// each provider that fails the jobs sent to it, and such reports from others are accepted.
func (d *Engine) EnableFailureReports(report func(provider string)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportFailing = report
	return d.retune(d.set)
}

// HandleFailureReport records another scheduler's report that a provider fails the jobs sent to it.
func (d *Engine) HandleFailureReport(provider string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, ok := d.workerIDs[provider]
	if !ok || d.reportFailing == nil {
		return
	}
	now := d.now()
	d.dispatcher.PeerMessage(now, 0, policy.FailureMessage(id), nil) // Peer returns no actions
	d.step(Step{Input: StateChanged, Now: now})
}

// Retune applies other settings to the module. They must be a result of policy.Settings.After for the current ones.
func (d *Engine) Retune(set policy.Settings) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retune(set)
}

func (d *Engine) retune(set policy.Settings) error {
	d.applyOverrides(&set)
	if err := d.dispatcher.UpdateSettings(set); err != nil {
		return err
	}
	d.set = set
	d.step(Step{Input: StateChanged, Now: d.now()})
	return nil
}

// Close disables the module's timers.
func (d *Engine) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}

// Now returns the engine's clock: the system clock's time since 1970 when the engine was created, advanced by the monotonic clock. It never
// runs backwards, even if the system clock is stepped. All times that are passed to the module are on this clock.
func (d *Engine) Now() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now()
}

// ClockOffset returns by how much a date on the system clock is ahead of the engine's clock, that is, by how much the system clock has been
// stepped since the engine was created.
func (d *Engine) ClockOffset(date time.Time) time.Duration {
	return time.Duration(date.UnixNano()) - d.Now()
}

// SetClock switches the engine to the clock of another engine, which reads now at this moment. The module starts from scratch, as its times
// are on the old clock: the list of providers must be passed in again. It returns an error, and changes nothing, if a job has already been
// taken.
func (d *Engine) SetClock(now time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replaceModule(d.set, nil, now, policy.New)
}

// now implements Now. Called under mu.
func (d *Engine) now() time.Duration {
	d.lastNow = max(d.lastNow, d.unixOrigin+time.Since(d.origin))
	return d.lastNow
}

// at converts a time on the module's clock to one for timers.
func (d *Engine) at(t time.Duration) time.Time { return d.origin.Add(t - d.unixOrigin) }

// UpdateProviders applies a discovery update about the providers, of version index.
func (d *Engine) UpdateProviders(kind policy.ListKind, index uint64, entries []policy.Entry, names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, name := range names {
		id, ok := d.workerIDs[name]
		if !ok {
			id = d.assignID(name)
		}
		entries[i].ID = id
	}
	d.listIndex = index
	d.step(Step{Input: List, Now: d.now(), List: kind, Index: index, Entries: entries, Names: names})
}

// CheckpointEstimates returns the module's state and the provider names by the module's ids, for an engine that continues from them.
func (d *Engine) CheckpointEstimates() (names []string, state []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.providerNames...), d.dispatcher.CheckpointEstimates(nil)
}

// RestoreWithoutRequests restores the module from another engine's state. It returns an error, and changes nothing, if the state does not belong to set,
// the other engine's settings, or if a job has already been taken. The list of providers must be passed in again, and this scheduler's own
// settings applied with Retune.
func (d *Engine) RestoreWithoutRequests(set policy.Settings, names []string, state []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replaceModule(set, names, d.now(), func(set policy.Settings) (*policy.Dispatcher, error) {
		return policy.RestoreWithoutRequests(set, state, len(names))
	})
}

// RestoreFromPeer initializes the module with what another scheduler, which keeps running, has learned about providers. It returns an error, and
// changes nothing, if that scheduler's settings were different, or if a job has already been taken. The list of providers must be passed in
// again.
func (d *Engine) RestoreFromPeer(set policy.Settings, names []string, state []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replaceModule(set, names, d.now(), func(set policy.Settings) (*policy.Dispatcher, error) {
		return policy.RestoreFromPeer(set, state, len(names), d.now())
	})
}

// RestoreFromPrevious initializes the module with what a previous process had learned, age ago; health says whether its estimates of providers' health
// are still valid. Otherwise it is like Adopt.
func (d *Engine) RestoreFromPrevious(set policy.Settings, names []string, state []byte, age time.Duration, health bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replaceModule(set, names, d.now(), func(set policy.Settings) (*policy.Dispatcher, error) {
		return policy.RestoreFromPrevious(set, state, len(names), d.now(), age, health)
	})
}

// replaceModule replaces the module, unless a job has already been taken, and sets the engine's clock. Called under mu.
func (d *Engine) replaceModule(set policy.Settings, names []string, now time.Duration, create func(policy.Settings) (*policy.Dispatcher, error)) error {
	d.applyOverrides(&set)
	if d.lastID > 0 {
		return errors.New("decide: there are jobs already")
	}
	disp, err := create(set)
	if err != nil {
		return err
	}
	ids := make(map[string]policy.WorkerID, len(names))
	for i, name := range names {
		ids[name] = policy.WorkerID(i)
	}
	if len(ids) != len(names) {
		return errors.New("decide: two providers have one name")
	}
	d.dispatcher, d.providerNames, d.workerIDs, d.set = disp, names, ids, set
	d.unixOrigin, d.lastNow = now-time.Since(d.origin), now
	d.step(Step{Input: StateChanged, Now: now})
	return nil
}

// Stop announces that the program ends at by. Every job has its final verdict by then.
func (d *Engine) Stop(by time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(Step{Input: Stop, Now: d.now(), By: d.unixOrigin + by.Sub(d.origin)})
}

// providerID returns a provider's id. A provider that discovery does not list is registered with the module as one that has left, since
// attempts sent there may still end.
func (d *Engine) providerID(name string, now time.Duration) policy.WorkerID {
	id, ok := d.workerIDs[name]
	if !ok {
		id = d.assignID(name)
		d.step(Step{Input: List, Now: now, List: policy.ListDelta, Index: d.listIndex, Names: []string{name, name},
			Entries: []policy.Entry{{ID: id, State: policy.Draining}, {ID: id, State: policy.Gone}}})
	}
	return id
}

// assignID assigns the next id to a provider.
func (d *Engine) assignID(name string) policy.WorkerID {
	id := policy.WorkerID(len(d.providerNames))
	d.workerIDs[name] = id
	d.providerNames = append(d.providerNames, name)
	return id
}

// startAttempt passes an attempt to the job's owner.
func (d *Engine) startAttempt(t *Ticket, a *policy.Action) {
	t.attempts++
	t.started, t.provider, t.sent = false, a.Worker, d.now()
	until := t.deadline
	if a.Timeout > 0 {
		if at := d.at(t.sent + a.Timeout); at.Before(until) {
			until = at
		}
	}
	d.notifyJobEvent(t, Event{Kind: Sent})
	t.handOut(Verdict{Kind: Attempt, Provider: d.providerNames[a.Worker], Until: until, AckTimeout: a.AckTimeout, Repeatable: t.repeatable(),
		MayStillSend: t.mayStillSend})
}

// runLateTimer runs the module's timer for a job that has reached its deadline. A job that is held back has its timer set shortly before
// that, and on a busy machine the timer may not have run yet: what should be a rejection must not become a failure.
func (d *Engine) runLateTimer(t *Ticket) {
	if d.tickets[t.id] == t && !t.inFlight {
		now := max(d.now(), d.unixOrigin+t.deadline.Sub(d.origin))
		d.step(Step{Input: Timer, Now: now, Token: uint64(t.id), Number: t.id, ownJob: &t.job})
	}
}

// timerFired handles a timer of the module that has fired.
func (d *Engine) timerFired(token uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	s := Step{Input: Timer, Now: d.now(), Token: token}
	if number := policy.RequestID(token); number <= d.lastID { // the module's other tokens are not job numbers
		t := d.tickets[number]
		if t == nil || t.decided {
			return // most jobs end before their timers fire
		}
		s.Number, s.ownJob = t.id, &t.job
	}
	d.step(s)
}

// step passes one event to the module and carries out the resulting actions. A panic in the module must not end the program, and with it
// every open job: jobs that it leaves undecided fail at their deadline.
func (d *Engine) step(s Step) {
	observed := false
	observe := func(acts []policy.Action) {
		if observed = true; d.observer != nil {
			s.engine, s.Actions = d, acts
			d.scratch = s
			d.notify(Event{Kind: Stepped, Now: s.Now, Step: &d.scratch})
		}
	}
	defer func() {
		if r := recover(); r != nil {
			d.actions = nil
			d.log.Error("panic in the decision module", "panic", r, "stack", string(debug.Stack()))
			if s.Failed = true; !observed {
				observe(nil)
			}
		}
	}()
	acts := s.Apply(d.dispatcher, d.actions[:0])
	observe(acts)
	d.execute(acts)
}

// execute carries out the module's actions.
func (d *Engine) execute(acts []policy.Action) {
	for i := range acts {
		a := &acts[i]
		switch a.Kind {
		case policy.SetTimer:
			token := a.Token
			time.AfterFunc(time.Until(d.at(a.At)), func() { d.timerFired(token) })
			continue
		case policy.NotifyPeers:
			if id, ok := policy.ParseFailureMessage(a.Data); ok && d.reportFailing != nil && int(id) < len(d.providerNames) {
				go d.reportFailing(d.providerNames[id])
			}
			continue
		}
		t := d.tickets[a.Request]
		if a.Kind == policy.CancelSend && t != nil && t.inFlight && a.Attempt == t.attempts-1 {
			if t.decided {
				t.withdraw(nil)
			} else {
				t.withdraw(ErrOtherProvider)
			}
		}
		if t == nil || t.decided {
			continue
		}
		switch a.Kind {
		case policy.Send:
			d.startAttempt(t, a)
		case policy.Reject:
			d.decide(t, Verdict{Kind: Rejection, RetryAfter: a.RetryIn})
		case policy.Fail:
			d.decide(t, Verdict{Kind: Failure})
		}
	}
	d.actions = acts[:0]
}
