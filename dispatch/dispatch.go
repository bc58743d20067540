// Package decide lets network code use the decision module in blocking style: take a job, pick what
// to do with it, report how it went. All of the module's events, actions and timers stay in here.
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

// End is how an invoker call ended. The first four prove that the job never ran.
type End uint8

// The ends of an invoker call.
const (
	NotConnected End = iota // no connection, or it broke before the last byte was out
	TurnedAway              // the provider has no room, or handed the job back unstarted
	NotSent                 // withdrawn before anything was sent
	Unusable                // the provider cannot use the request; no other could
	Served
	Failed    // the provider says that it failed
	Broken    // the connection or the provider's process broke with the job out
	Silent    // not even acknowledged by the time that the verdict gave for that
	TimedOut  // no answer by the time that the verdict gave
	Withdrawn // its context ended
)

var statuses = [...]policy.Status{
	NotConnected: policy.ConnectFailed,
	TurnedAway:   policy.Full,
	NotSent:      policy.Moot,
	Unusable:     policy.Moot, // says nothing of the provider
	Served:       policy.OK,
	Failed:       policy.Error,
	Broken:       policy.Reset,
	Silent:       policy.Reset, // the connection is given up before the acknowledgement
	TimedOut:     policy.TimedOut,
	Withdrawn:    policy.Cancelled,
}

var endNames = [...]string{NotConnected: "not-connected", TurnedAway: "turned-away", NotSent: "not-sent",
	Unusable: "unusable", Served: "served", Failed: "failed", Broken: "broken", Silent: "silent", TimedOut: "timed-out", Withdrawn: "withdrawn"}

func (e End) String() string { return endNames[e] }

// Proves tells whether the end proves that the job never ran.
func (e End) Proves() bool { return e <= Unusable }

// Job is what the decisions need to know of a consumer's request.
type Job struct {
	Class, Tenant int
	Left          time.Duration // until the consumer must have its answer
	Hint          time.Duration // 0: not told
	Slots         float64

	ConnectionSlots int // as policy.Request has it

	// As the consumer put it, for observers; no decision reads it.
	ID, Party string // Party is the tenant's name, known or not
	Deadline  time.Duration
}

// VerdictKind says what is to be done with a job.
type VerdictKind uint8

// The verdicts. All but Call and Await are final.
const (
	Call      VerdictKind = iota // make an invoker call and report its end
	Answer                       // give the consumer the result of the call that served it
	Rejection                    // trying again is harmless
	Failure                      // promises nothing
	Left                         // the consumer has gone; there is nobody to answer
	Mistake                      // the request itself is wrong, as a provider says; it never ran
	Await                        // report the end of a call that an earlier process has made and that is still out
)

var verdictNames = [...]string{Call: "call", Answer: "answer", Rejection: "rejection", Failure: "failure",
	Left: "left", Mistake: "mistake", Await: "await"}

func (k VerdictKind) String() string { return verdictNames[k] }

// Verdict is what Pick returns.
type Verdict struct {
	Kind       VerdictKind
	Provider   string          // Call, Await: by its name in the directory
	Until      time.Time       // Call, Await: when it has timed out
	TakenIn    time.Duration   // Call: the most that the acknowledgement may take; 0: no such limit
	Repeatable bool            // Call: another attempt may follow if this one ends without an answer
	Context    context.Context // Call, Await: ends when the call is to be withdrawn
	Over       <-chan struct{} // Call, Await: closed when the job has its final verdict; nil: never
	RetryAfter time.Duration   // Rejection: how long to stay away; 0: not told
}

// ErrElsewhere is the cause of a call's withdrawal if the job is to go to another provider: its end must not
// be reported before the first one has been told, as it may not have two calls out.
var ErrElsewhere = errors.New("the job goes to another provider")

// Engine owns the module. All its methods may be called from any goroutine.
type Engine struct {
	set policy.Settings
	log *slog.Logger

	mu      sync.Mutex
	disp    *policy.Dispatcher
	origin  time.Time     // when the engine was made, on the monotonic clock
	unix    time.Duration // the same on the module's clock, Unix time
	last    time.Duration
	acts    []policy.Action
	tickets map[policy.RequestID]*Ticket
	next    policy.RequestID
	ids     map[string]policy.WorkerID
	names   []string // by WorkerID
	index   uint64   // of the directory's last news
	closed  bool
	counts  Counts

	present int                   // of the schedulers that share the work, as far as that is known; 0: as many as the settings say
	part    float64               // of a cold provider's budget that is this one's
	lesson  func(provider string) // told of one that fails what it is sent; nil: nobody is

	observer Observer // nil: none
	event    Event    // what it is being told, here so that no event costs an allocation
	scratch  Step
}

// Counts tell what has happened since they were last taken, and how many jobs are open.
type Counts struct {
	Jobs, Open int
	Verdicts   [Await + 1]int     // final ones, by kind
	Ends       [Withdrawn + 1]int // of invoker calls
}

// Counts returns the counts and begins anew.
func (d *Engine) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counts
	c.Open = len(d.tickets)
	d.counts = Counts{}
	return c
}

// New returns an Engine on a new Dispatcher. Its clock begins at what the system's says now.
func New(set policy.Settings, log *slog.Logger) (*Engine, error) { return NewAt(set, log, time.Now()) }

// NewAt is New with a clock that begins at another date, as after a step of the system's.
func NewAt(set policy.Settings, log *slog.Logger, date time.Time) (*Engine, error) {
	restrict(&set)
	disp, err := policy.New(set)
	if err != nil {
		return nil, err
	}
	return &Engine{
		set: set, log: log, disp: disp, origin: time.Now(), unix: time.Duration(date.UnixNano()),
		tickets: make(map[policy.RequestID]*Ticket),
		ids:     make(map[string]policy.WorkerID),
	}, nil
}

// restrict leaves out what the sockets here do not offer: the directory is watched all the time, providers report no load
// that a probe could read, and there are no peers. A job's attempts are made one after the other.
func restrict(set *policy.Settings) {
	set.Subscribe, set.Probes, set.Peers, set.SecondCopies = false, false, false, false
}

// fit is restrict, and what is known beside the settings: the others.
func (d *Engine) fit(set *policy.Settings) {
	restrict(set)
	set.Peers = d.lesson != nil
	if d.present > 0 {
		set.Balancers, set.Budget, set.Me = d.present, 1/d.part, min(set.Me, d.present-1)
	}
}

// Share lets the module go on as one of so many schedulers that share the work, with this part, above 0, of what all that
// may be sending may send to a cold provider.
func (d *Engine) Share(present int, part float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present, part = max(1, present), min(max(part, 1e-6), 1)
	if present == d.present && part == d.part {
		return
	}
	d.present, d.part = present, part
	d.disp.Share(present, part)
	d.fit(&d.set)
	d.step(Step{Input: Anew, Now: d.now()})
}

// Lessons lets the module tell of providers that fail what they are sent, and hear the same by Failing. tell is called on
// a goroutine of its own.
func (d *Engine) Lessons(tell func(provider string)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lesson = tell
	return d.retune(d.set)
}

// Failing takes word that a provider fails what another scheduler sends it.
func (d *Engine) Failing(provider string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, ok := d.ids[provider]
	if !ok || d.lesson == nil {
		return
	}
	now := d.now()
	d.disp.Peer(now, 0, policy.FailsMessage(id), nil) // it answers with no actions
	d.step(Step{Input: Anew, Now: now})
}

// Retune lets the module go on under other settings, which must come After those that it has.
func (d *Engine) Retune(set policy.Settings) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retune(set)
}

func (d *Engine) retune(set policy.Settings) error {
	d.fit(&set)
	if err := d.disp.Retune(set); err != nil {
		return err
	}
	d.set = set
	d.step(Step{Input: Anew, Now: d.now()})
	return nil
}

// Close stops the module's timers from having any effect.
func (d *Engine) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}

// Now is the engine's clock: the time since 1970 by the system's clock when the engine was made, carried on by the monotonic clock. It
// never runs backwards, whatever is done to the system's clock meanwhile. All dates that the module is given are by this clock.
func (d *Engine) Now() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now()
}

// Apart returns by how much a date of the system's clock is ahead of the engine's clock: by what the former was stepped since the engine was
// made.
func (d *Engine) Apart(date time.Time) time.Duration { return time.Duration(date.UnixNano()) - d.Now() }

// Continue has the engine go on by the clock of another one, which says now at this moment. The module begins anew, as the times that it has
// are those of the clock before: the list of providers must be told again. It is an error, and changes nothing, if a job has been taken
// already.
func (d *Engine) Continue(now time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.goOn(d.set, nil, now, policy.New)
}

// now is Now. Called under mu.
func (d *Engine) now() time.Duration {
	d.last = max(d.last, d.unix+time.Since(d.origin))
	return d.last
}

// at turns a time of the module's clock into one for timers.
func (d *Engine) at(t time.Duration) time.Time { return d.origin.Add(t - d.unix) }

// Directory takes news of the providers, of the directory's version index.
func (d *Engine) Directory(kind policy.ListKind, index uint64, entries []policy.Entry, names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, name := range names {
		id, ok := d.ids[name]
		if !ok {
			id = d.number(name)
		}
		entries[i].ID = id
	}
	d.index = index
	d.step(Step{Input: List, Now: d.now(), List: kind, Index: index, Entries: entries, Names: names})
}

// Beliefs are the module's state, and the providers' names by its numbers for them, for an engine that goes on from here.
func (d *Engine) Beliefs() (names []string, state []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.names...), d.disp.Beliefs(nil)
}

// Inherit lets the module go on from what another engine's believed. It is an error, and changes nothing, if the state is
// not of set, the settings that the other engine had, or if a job has been taken already. The list of providers must be told
// again, and settings of one's own put in force by Retune.
func (d *Engine) Inherit(set policy.Settings, names []string, state []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.goOn(set, names, d.now(), func(set policy.Settings) (*policy.Dispatcher, error) {
		return policy.Inherit(set, state, len(names))
	})
}

// Adopt lets the module begin with what another scheduler's, which goes on, has learnt of providers. It is an error, and
// changes nothing, where that one's settings were others, or if a job has been taken already. The list must be told again.
func (d *Engine) Adopt(set policy.Settings, names []string, state []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.goOn(set, names, d.now(), func(set policy.Settings) (*policy.Dispatcher, error) {
		return policy.Adopt(set, state, len(names), d.now())
	})
}

// Recall lets the module begin with what that of an earlier process had learnt, age ago; health tells that what it knew of
// providers' still counts. As with Adopt.
func (d *Engine) Recall(set policy.Settings, names []string, state []byte, age time.Duration, health bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.goOn(set, names, d.now(), func(set policy.Settings) (*policy.Dispatcher, error) {
		return policy.Recall(set, state, len(names), d.now(), age, health)
	})
}

// goOn replaces the module, unless a job has been taken already, and sets the engine's clock. Called under mu.
func (d *Engine) goOn(set policy.Settings, names []string, now time.Duration, from func(policy.Settings) (*policy.Dispatcher, error)) error {
	d.fit(&set)
	if d.next > 0 {
		return errors.New("decide: there are jobs already")
	}
	disp, err := from(set)
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
	d.disp, d.names, d.ids, d.set = disp, names, ids, set
	d.unix, d.last = now-time.Since(d.origin), now
	d.step(Step{Input: Anew, Now: now})
	return nil
}

// Stop tells that the program ends at by. Every job has its final verdict by then.
func (d *Engine) Stop(by time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(Step{Input: Stop, Now: d.now(), By: d.unix + by.Sub(d.origin)})
}

// known finds a provider's number. One that the directory no longer names is made known to the module as one that has
// left: what was sent there may yet end.
func (d *Engine) known(name string, now time.Duration) policy.WorkerID {
	id, ok := d.ids[name]
	if !ok {
		id = d.number(name)
		d.step(Step{Input: List, Now: now, List: policy.ListDelta, Index: d.index, Names: []string{name, name},
			Entries: []policy.Entry{{ID: id, State: policy.Draining}, {ID: id, State: policy.Gone}}})
	}
	return id
}

// number gives a provider its number.
func (d *Engine) number(name string) policy.WorkerID {
	id := policy.WorkerID(len(d.names))
	d.ids[name] = id
	d.names = append(d.names, name)
	return id
}

// send hands a call to whoever waits in Pick.
func (d *Engine) send(t *Ticket, a *policy.Action) {
	t.attempts++
	t.begun, t.provider, t.sent = false, a.Worker, d.now()
	until := t.deadline
	if a.Timeout > 0 {
		if at := d.at(t.sent + a.Timeout); at.Before(until) {
			until = at
		}
	}
	d.tell(t, Event{Kind: Sent})
	t.await(Verdict{Kind: Call, Provider: d.names[a.Worker], Until: until, TakenIn: a.TakenIn, Repeatable: t.repeatable()})
}

// late runs the module's timer for a job that is at its deadline. One that is held back has its timer a moment before, and
// on a busy machine that may not have had its turn: what would have been a rejection must not become a failure.
func (d *Engine) late(t *Ticket) {
	if d.tickets[t.id] == t && !t.out {
		now := max(d.now(), d.unix+t.deadline.Sub(d.origin))
		d.step(Step{Input: Timer, Now: now, Token: uint64(t.id), Number: t.id, own: &t.job})
	}
}

// tick runs a timer of the module's that came due.
func (d *Engine) tick(token uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	s := Step{Input: Timer, Now: d.now(), Token: token}
	if number := policy.RequestID(token); number <= d.next { // the module's other tokens are no numbers of jobs
		t := d.tickets[number]
		if t == nil || t.final {
			return // most jobs are over before the timers that watched over them
		}
		s.Number, s.own = t.id, &t.job
	}
	d.step(s)
}

// step lets the module take one event and does what it wants done. A panic in there must not end the
// program, and with it every job that is open: those that it leaves undecided fail at their deadline.
func (d *Engine) step(s Step) {
	told := false
	tell := func(acts []policy.Action) {
		if told = true; d.observer != nil {
			s.engine, s.Actions = d, acts
			d.scratch = s
			d.notify(Event{Kind: Stepped, Now: s.Now, Step: &d.scratch})
		}
	}
	defer func() {
		if r := recover(); r != nil {
			d.acts = nil
			d.log.Error("panic in the decisions", "panic", r, "stack", string(debug.Stack()))
			if s.Failed = true; !told {
				tell(nil)
			}
		}
	}()
	acts := s.Play(d.disp, d.acts[:0])
	tell(acts)
	d.carry(acts)
}

// carry does what the module wants done.
func (d *Engine) carry(acts []policy.Action) {
	for i := range acts {
		a := &acts[i]
		switch a.Kind {
		case policy.SetTimer:
			token := a.Token
			time.AfterFunc(time.Until(d.at(a.At)), func() { d.tick(token) })
			continue
		case policy.TellPeers:
			if id, ok := policy.Fails(a.Data); ok && d.lesson != nil && int(id) < len(d.names) {
				go d.lesson(d.names[id])
			}
			continue
		}
		t := d.tickets[a.Request]
		if a.Kind == policy.CancelSend && t != nil && t.out && a.Attempt == t.attempts-1 {
			if t.final {
				t.withdraw(nil)
			} else {
				t.withdraw(ErrElsewhere)
			}
		}
		if t == nil || t.final {
			continue
		}
		switch a.Kind {
		case policy.Send:
			d.send(t, a)
		case policy.Refuse:
			d.settle(t, Verdict{Kind: Rejection, RetryAfter: a.RetryIn})
		case policy.Fail:
			d.settle(t, Verdict{Kind: Failure})
		}
	}
	d.acts = acts[:0]
}
