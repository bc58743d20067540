// Package returning does the I/O of a scheduler's recovery after its process, its machine or the whole fleet has lost power. It
// opens the state that outlives a process, drives the recovery sequence with what it finds and receives, and holds jobs until
// they may enter. It owns the folder of that state, the clock and goroutine of the sequence, and the waiting jobs. It decides
// nothing: core/recovery determines what each step waits for, at which rate jobs enter and which parts of the saved state
// count; the decision module determines which provider gets a job.
package returning

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/core/fleet"
	"laddertide/core/leases"
	"laddertide/core/recovery"
	"laddertide/policy"
	"laddertide/snapshot"
	wire "laddertide/wire/snapshot"
)

// Config is the configuration of this package.
type Config struct {
	Settings      Settings
	Cluster, Name string
	Limits        recovery.Limits
	Classes       []policy.Class
	Log           *slog.Logger
	// OnStep is called for each step that begins, with the time that the previous step took, and with no lock held. It must
	// not block. It may be nil.
	OnStep func(step recovery.Step, took time.Duration)
}

// Driver is the recovery of a scheduler. Its methods may be called from any goroutine.
type Driver struct {
	cfg      Config
	log      *slog.Logger
	store    *snapshot.Store
	found    snapshot.Contents
	downtime recovery.Downtime
	trust    recovery.Trust
	wall     time.Time
	origin   time.Time

	wakeup    chan struct{}
	inService atomic.Bool // normal service: jobs are no longer held or limited here
	listening atomic.Bool // there are listeners for all attempts that may be in flight

	settled  chan struct{} // closed once the state of the ledger's jobs is known
	stopping chan struct{} // closed when the program ends

	mu           sync.Mutex // guards the fields below; no function of the host is called under it
	machine      *recovery.Machine
	status       recovery.Status
	stepChanged  chan struct{} // closed at the next step
	lastID       uint64
	waiting      map[uint64]waiter
	abandoned    map[uint64]bool // jobs whose clients have left before they entered
	newWaiting   int             // of waiting, the new jobs
	stopped      bool
	serving      []recovery.Provider
	part         recovery.CapacityShare
	index        uint64
	listReceived bool                // a list from discovery has been received
	sightings    map[string]sighting // providers' starts, with the time when this process first learnt of them
	declaredOver map[string]uint64   // of earlier schedulers that the operators declared over
	number       fleet.Start         // this process's number
	announced    bool                // it has been announced to peers
	peerNumbers  []fleet.Start       // numbers of this name that peers have seen
	loggedWait   recovery.Awaited    // the last wait without a time limit that was logged
	counts       Counts
}

// loggedWaitDials is the number of dial time-outs after which a wait without a time limit is logged.
const loggedWaitDials = 20

// Counts are the numbers of events since the start.
type Counts struct {
	Entered, FromPrevious, ToldLater, TooLate, MayRun uint64 // jobs that entered, those of the previous process among them; new jobs told to retry later; old jobs that were too late; jobs for which no promise was possible
}

// waiter is a job that waits to enter.
type waiter struct {
	old   bool
	enter func()
	late  func(stayAway time.Duration)
}

// sighting is a provider's start, and when this process first learnt of it.
type sighting struct{ since, at time.Duration }

func trustOf(f snapshot.Contents, away recovery.Downtime) recovery.Trust {
	memory, shut := policy.EstimateLifetimes()
	return recovery.TrustOf(reasonOf(f), away, memory, shut)
}

// New opens the folder and reads its content. An error means that the folder cannot be used at all.
func New(cfg Config) (*Driver, error) {
	set := &cfg.Settings
	store, found, err := snapshot.Open(snapshot.Options{Dir: set.Dir, Cluster: cfg.Cluster, Name: cfg.Name, MaxBytes: set.MaxBytes,
		Log: cfg.Log, FS: set.FS})
	if err != nil {
		return nil, err
	}
	if set.Wall == nil {
		set.Wall = time.Now
	}
	r := &Driver{cfg: cfg, log: cfg.Log, store: store, found: found, origin: time.Now(), wall: set.Wall(),
		wakeup: make(chan struct{}, 1), settled: make(chan struct{}), stopping: make(chan struct{}), stepChanged: make(chan struct{}), waiting: make(map[uint64]waiter), abandoned: make(map[uint64]bool), sightings: make(map[string]sighting),
		declaredOver: make(map[string]uint64)}
	for _, f := range found.FileErrors {
		r.log.Warn("recovery: a file of the saved state cannot be used", "file", f.File, "reason", f.Reason, "generation", f.Generation, "err", f.Err)
	}
	r.downtime = recovery.Downtime{Max: recovery.Unbounded}
	if found.State != nil {
		r.downtime = recovery.DowntimeSince(leases.Clock(found.State.Written), leases.Clock(found.At))
	}
	r.trust = trustOf(found, r.downtime)
	r.cfg.Limits.ExpectedSchedulers = recovery.SchedulerCount(cfg.Limits.ExpectedSchedulers, r.snapshotFound())
	r.machine = recovery.New(r.cfg.Limits, rand.Uint64(), r.now())
	r.machine.SetSnapshot(r.now(), r.snapshotFound(), r.downtime)
	r.status = r.machine.Status(r.now())
	line := []any{"reason", reasonText(reasonOf(found)), "generation", found.Generation}
	if found.State != nil {
		line = append(line, "age", ageText(r.downtime), "members", len(found.State.Members), "bans", len(found.State.Bans),
			"providers", len(found.State.List.Providers))
	}
	r.log.Info("recovery: saved state of the previous process", line...)
	return r, nil
}

// now returns Unix time that was read once and is advanced by the monotonic clock, like the decision module's.
func (r *Driver) now() time.Duration { return time.Duration(r.wall.UnixNano()) + time.Since(r.origin) }

// reasonOf converts the condition of the snapshot into a core/recovery reason.
func reasonOf(f snapshot.Contents) recovery.Reason {
	switch {
	case f.State != nil && f.MayBeOlder:
		return recovery.OlderGeneration
	case f.State != nil:
		w, now := f.State.Written, f.At
		if w.Wall > now.Wall && (w.Boot != now.Boot || w.Boot == [16]byte{} || w.Mono > now.Mono) {
			return recovery.FromFuture
		}
		return recovery.Intact
	}
	reason := recovery.Missing
	for _, x := range f.FileErrors {
		switch x.Reason {
		case wire.Foreign:
			return recovery.OtherName
		case wire.Newer:
			reason = recovery.NewerVersion
		default:
			if reason == recovery.Missing {
				reason = recovery.Damaged
			}
		}
	}
	return reason
}

var reasonTexts = map[recovery.Reason]string{recovery.Intact: "whole", recovery.Missing: "missing", recovery.Damaged: "damaged",
	recovery.OlderGeneration: "an older generation", recovery.FromFuture: "from the future", recovery.OtherName: "of another scheduler or cluster",
	recovery.NewerVersion: "of a newer version"}

func reasonText(r recovery.Reason) string { return cmp.Or(reasonTexts[r], "unread") }

func ageText(a recovery.Downtime) string {
	switch {
	case a.Known:
		return a.Max.Round(time.Millisecond).String()
	case a.Max == recovery.Unbounded:
		return "not known"
	}
	return "by the time of day " + a.Max.Round(time.Second).String()
}

// snapshotFound returns the content of the snapshot for core/recovery.
func (r *Driver) snapshotFound() recovery.SnapshotInfo {
	f := recovery.SnapshotInfo{Reason: reasonOf(r.found)}
	if st := r.found.State; st != nil {
		f.Start, f.ListIndex = st.Start, st.List.Index
		for _, m := range st.Members {
			f.Members = append(f.Members, recovery.Member{Name: m.Name, Start: m.Start})
		}
		f.HadLedger = st.Part(PartLedger) != nil
	}
	return f
}

// PartLedger is the part of the state that says that there is a ledger with jobs.
const PartLedger = "ledger"

// Found returns the state of the previous process and which parts of it count; nil if nothing can be used.
func (r *Driver) Found() (*wire.State, recovery.Trust) {
	if r.found.State == nil {
		return nil, recovery.Trust{}
	}
	return r.found.State, r.trust
}

// Downtime returns the time for which nothing was written.
func (r *Driver) Downtime() recovery.Downtime { return r.downtime }

// ExpectedSchedulers returns the number of schedulers among which the work is shared until they are met.
func (r *Driver) ExpectedSchedulers() int { return r.cfg.Limits.ExpectedSchedulers }

// Run drives the recovery sequence until ctx ends or nothing is left to do.
func (r *Driver) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wake, over := r.advance()
		if over {
			return
		}
		timer.Reset(wake)
		select {
		case <-ctx.Done():
			return
		case <-r.wakeup:
		case <-timer.C:
		}
	}
}

// advance advances the recovery sequence as far as it can go now, and returns the time until the next call.
func (r *Driver) advance() (wake time.Duration, over bool) {
	r.mu.Lock()
	now := r.now()
	was := r.status
	r.status = r.machine.Status(now)
	enter, tooLate := r.machine.Next(now)
	changes := r.machine.Changes()
	var callbacks []func()
	for _, id := range enter {
		if r.abandoned[id] {
			delete(r.abandoned, id)
			r.machine.JobEnded(now, id, false)
		}
		if w, ok := r.waiting[id]; ok {
			r.removeWaiter(id, w)
			r.counts.Entered++
			if w.old {
				r.counts.FromPrevious++
			}
			callbacks = append(callbacks, w.enter)
		}
	}
	for _, t := range tooLate {
		delete(r.abandoned, t.ID)
		if w, ok := r.waiting[t.ID]; ok {
			r.removeWaiter(t.ID, w)
			if w.old {
				r.counts.TooLate++
			} else {
				r.counts.ToldLater++
			}
			callbacks = append(callbacks, func() { w.late(t.RetryAfter) })
		}
	}
	if r.status.Step != was.Step {
		close(r.stepChanged)
		r.stepChanged = make(chan struct{})
	}
	over = r.status.Step == recovery.Service && r.status.Wake == 0 && len(r.waiting) == 0
	if over {
		r.inService.Store(true)
	}
	wake = time.Hour
	if at := r.status.Wake; at > 0 {
		wake = max(0, at-now) + time.Millisecond // a timer may fire a moment early
	}
	st := r.status
	// Only the operators can end such a wait if the awaited event does not occur. In the normal case it occurs before this
	// time.
	stuck := false
	if at := st.Since + loggedWaitDials*r.cfg.Limits.DialTimeout; st.Wait.For != recovery.Nothing && st.Wait.Until == 0 && r.loggedWait != st.Wait.For {
		if stuck = now >= at; stuck {
			r.loggedWait = st.Wait.For
		} else {
			wake = min(wake, at-now)
		}
	}
	r.mu.Unlock()
	for i, c := range changes {
		line := []any{"step", c.Step, "took", c.Took.Round(time.Millisecond)}
		for _, w := range c.Skipped {
			line = append(line, "without", w.String())
		}
		r.log.Info("recovery: step completed", line...)
		if r.cfg.OnStep != nil {
			next := st.Step
			if i+1 < len(changes) {
				next = changes[i+1].Step
			}
			r.cfg.OnStep(next, c.Took)
		}
	}
	if st.LedgerStale && !was.LedgerStale {
		r.log.Warn("recovery: others have seen a later process of this name than the disk has: the disk was rolled back or lost, and its records of jobs may be out of date")
	}
	if stuck {
		r.log.Warn("recovery: waiting without a time limit; operators can let it proceed", "step", st.Step, "for", whatText(st.Wait), "go_on", "laddertide fleet proceed")
	}
	for _, f := range callbacks {
		f()
	}
	return wake, over
}

func (r *Driver) removeWaiter(id uint64, w waiter) {
	delete(r.waiting, id)
	if !w.old {
		r.newWaiting--
	}
}

// notify triggers the next call of turn.
func (r *Driver) notify() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// update runs a report to the recovery sequence under the lock.
func (r *Driver) update(report func(now time.Duration)) {
	if r.inService.Load() {
		return
	}
	r.mu.Lock()
	report(r.now())
	r.mu.Unlock()
	r.notify()
}

// AwaitStep returns once the recovery sequence has reached a step, or with ctx's error.
func (r *Driver) AwaitStep(ctx context.Context, step recovery.Step) error {
	for {
		r.mu.Lock()
		at, changed := r.status.Step, r.stepChanged
		r.mu.Unlock()
		if at >= step {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// LedgerStale reports whether the ledger is older than what others have seen of this name.
func (r *Driver) LedgerStale() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status.LedgerStale
}

// SetLedger reports whether a ledger was found.
func (r *Driver) SetLedger(found bool) {
	reason := recovery.Missing
	if found {
		reason = recovery.Intact
	}
	r.update(func(now time.Duration) { r.machine.SetLedger(now, reason) })
}

// SetFleet reports the state of the other schedulers.
func (r *Driver) SetFleet(f recovery.Fleet) {
	r.update(func(now time.Duration) {
		for name, start := range r.declaredOver {
			f.Peers = append(f.Peers, recovery.Peer{Name: name, Start: start, Ended: true})
		}
		r.machine.SetFleet(now, f)
	})
}

// SetJobsKnown reports that the state of the ledger's open jobs is known and on disk. It is called once.
func (r *Driver) SetJobsKnown() {
	close(r.settled)
	r.update(func(now time.Duration) { r.machine.SetJobsKnown(now, nil) })
}

// SetUnheardAttempts reports for how many attempts that may be in flight there is no listener yet.
func (r *Driver) SetUnheardAttempts(left int) {
	if left == 0 {
		r.listening.Store(true)
	}
	r.update(func(now time.Duration) { r.machine.SetUnheardAttempts(now, left) })
}

// DeclareOver records the operators' statement that an earlier scheduler, which this process has not met, is over.
func (r *Driver) DeclareOver(name string) bool {
	st := r.found.State
	if st == nil {
		return false
	}
	for _, m := range st.Members {
		if m.Name == name {
			r.mu.Lock()
			r.declaredOver[name] = m.Start
			r.mu.Unlock()
			return true
		}
	}
	return false
}

// IsDeclaredOver reports whether the operators have declared an earlier scheduler over.
func (r *Driver) IsDeclaredOver(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.declaredOver[name]
	return ok
}

// ListReceived records that a list with the given index has been received from discovery; the cold times returned from then on take it into account.
func (r *Driver) ListReceived(index uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listReceived, r.index = true, index
	if !r.inService.Load() {
		r.machine.SetList(r.now(), index, true, r.serving, r.part)
	}
}

// SetProviders reports the providers that serve, and this scheduler's part of their capacity.
func (r *Driver) SetProviders(serving []ServingProvider, part recovery.CapacityShare) {
	if r.inService.Load() {
		return
	}
	r.mu.Lock()
	now := r.now()
	r.serving, r.part = r.serving[:0], part
	for _, l := range serving {
		cold := max(r.cold(l.Name, l.Since), l.Since, l.Back)
		r.serving = append(r.serving, recovery.Provider{Slots: max(1, l.Weight), Warm: now-cold >= r.cfg.Limits.WarmWithin, ColdSince: cold})
	}
	r.machine.SetList(now, r.index, r.listReceived, r.serving, part)
	r.mu.Unlock()
	r.notify()
}

// ServingProvider is a provider that serves.
type ServingProvider struct {
	Name        string
	Since, Back time.Duration // Unix time: its start, and its return from maintenance
	Weight      float64
}

// ColdSince returns the time from which a provider must count as cold, whatever its start says, on the clock of starts; 0: its start
// decides.
func (r *Driver) ColdSince(name string, since time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cold(name, since)
}

func (r *Driver) cold(name string, since time.Duration) time.Duration {
	began := time.Duration(r.wall.UnixNano())
	s, ok := r.sightings[name]
	if !ok || s.since != since {
		s = sighting{since, r.now()}
		r.sightings[name] = s
	}
	return recovery.ColdSince(recovery.ListedProvider{Since: since, FirstSeen: s.at, Fresh: r.machine.Fresh()}, r.downtime, began)
}

// StepsRemaining returns the number of steps that remain.
func (r *Driver) StepsRemaining() byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return byte(recovery.Service - r.status.Step)
}

// StepFromRemaining returns the step of a scheduler with this many steps remaining.
func StepFromRemaining(toGo byte) recovery.Step {
	return recovery.Service - recovery.Step(min(toGo, byte(recovery.Service)))
}

// Errors of Proceed.
var (
	ErrStepOver    = errors.New("the step is over, or waits for nothing")
	ErrUnknownStep = errors.New("no such step")
)

// Proceed ends the wait of a step on the operators' instruction. An empty name means the current step.
func (r *Driver) Proceed(name string) (string, error) {
	r.mu.Lock()
	step := r.status.Step
	if name != "" {
		for step = recovery.Read; step <= recovery.Service && step.String() != name; step++ {
			if step == recovery.Service {
				r.mu.Unlock()
				return "", ErrUnknownStep
			}
		}
	}
	wait := r.status.Wait
	done := r.machine.Proceed(r.now(), step)
	r.mu.Unlock()
	r.notify()
	if !done {
		return "", ErrStepOver
	}
	text := fmt.Sprintf("%v goes on %v", step, recovery.SkippedWait{Wait: wait, By: recovery.ByOperators})
	r.log.Warn("recovery: operators ended a wait", "step", step, "for", whatText(wait))
	return text, nil
}

// Healthy reports whether jobs can be taken.
func (r *Driver) Healthy() bool {
	if r.inService.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status.Allowed.Health
}

// Ready returns an error that says why jobs cannot be taken yet; nil: they can.
func (r *Driver) Ready() error {
	if r.Healthy() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Errorf("returning: step %v for %v, waits for %s", r.status.Step, (r.now() - r.status.Since).Round(time.Millisecond), whatText(r.status.Wait))
}

func whatText(w recovery.Wait) string {
	if len(w.Names) == 0 {
		return w.For.String()
	}
	return w.For.String() + " (" + strings.Join(w.Names, " ") + ")"
}

// Report is the state of recovery that operators are shown.
type Report struct {
	Step        string   `json:"step"`
	SinceMS     int64    `json:"since_ms"`           // time in this step
	For         string   `json:"for,omitempty"`      // what it waits for
	Names       []string `json:"names,omitempty"`    // the schedulers that it waits for, if any
	UntilMS     int64    `json:"until_ms,omitempty"` // time until it proceeds anyway; 0: it does not by itself
	Without     []string `json:"without,omitempty"`  // the waits that ended without the awaited event, and what that may cost
	LedgerStale bool     `json:"doubt,omitempty"`    // the disk was rolled back or lost
	Found       string   `json:"found"`              // the condition of the saved state
	Age         string   `json:"age,omitempty"`      // of the saved state
	Waiting     int      `json:"waiting"`            // jobs that wait to enter

	Counts map[string]uint64 `json:"counts"`
	Writes map[string]int64  `json:"writes"`
}

// Report returns the state of recovery.
func (r *Driver) Report() *Report {
	w := r.store.Stats()
	r.mu.Lock()
	defer r.mu.Unlock()
	st, now := r.status, r.now()
	out := &Report{Step: st.Step.String(), SinceMS: (now - st.Since).Milliseconds(), LedgerStale: st.LedgerStale, Found: reasonText(reasonOf(r.found)),
		Waiting: len(r.waiting), Counts: map[string]uint64{"entered": r.counts.Entered, "of_before": r.counts.FromPrevious, "told_away": r.counts.ToldLater,
			"too_late": r.counts.TooLate, "may_run": r.counts.MayRun},
		Writes: map[string]int64{"writes": int64(w.Writes), "failures": int64(w.Failures), "bytes": int64(w.LastBytes), "bare": int64(w.WithoutCheckpoint)}}
	if r.found.State != nil {
		out.Age = ageText(r.downtime)
	}
	if st.Wait.For != recovery.Nothing {
		out.For, out.Names = st.Wait.For.String(), st.Wait.Names
		if st.Wait.Until > 0 {
			out.UntilMS = max(1, (st.Wait.Until - now).Milliseconds())
		}
	}
	for _, x := range st.Skipped {
		out.Without = append(out.Without, x.String())
	}
	return out
}
