package dispatch

import (
	"runtime/debug"
	"time"

	"laddertide/policy"
)

// Observer receives the events of an engine, in order. It is called under the engine's mutex: it must not block or call the engine, and
// the event is valid only during the call.
type Observer interface{ Observe(*Event) }

// Observers calls several observers one after the other.
type Observers []Observer

// Observe implements Observer.
func (all Observers) Observe(e *Event) {
	for _, o := range all {
		o.Observe(e)
	}
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events. Stepped reports a call of the decision module that has just returned, before any of its actions are carried out; the
// others concern a job. These come in the order below, Sent to Ended once for each attempt; an attempt that is in flight may end after its
// job is decided.
const (
	Stepped EventKind = iota
	Taken
	Sent
	Started
	Progress     // Share
	EndAnnounced // the provider has reported how the attempt ends; Ended follows
	Ended
	Decided
)

// Event is something that happened in the engine.
type Event struct {
	Kind     EventKind
	Now      time.Duration // on the module's clock
	Step     *Step         // of Stepped, for which the fields below are unset
	Job      *Job
	Provider string        // that has the job, or had it last; empty: none
	Took     time.Duration // Started and Ended: since Sent; Decided: since Taken
	Share    float64       // of Progress
	End      End           // of Ends and Ended
	Verdict  VerdictKind   // of Decided
}

// Input identifies the method of the module that a step calls.
type Input uint8

// The inputs of the module. None calls no method: it is the first event that an observer receives.
const (
	NoInput Input = iota
	List
	Request
	Note
	Outcome
	Gone
	Timer
	Stop
	Resume
	StateChanged // the module was replaced or its settings changed; later steps continue from its state after this step
)

// Step is one call of the module: its input and, once it has returned, the resulting actions.
type Step struct {
	Input  Input
	Now    time.Duration
	Number policy.RequestID // of the job concerned; 0: none

	List    policy.ListKind
	Index   uint64 // of the discovery update
	Entries []policy.Entry
	Names   []string             // of the entries
	Request policy.Request       // of Request and Resume
	Past    []policy.PastAttempt // of Resume
	Note    policy.Note
	Outcome policy.Outcome
	End     End // of Outcome
	Token   uint64
	By      time.Duration

	Actions []policy.Action
	Failed  bool // the module panicked

	engine *Engine
	ownJob *Job // the job Number; it may no longer be open
}

// Apply makes the call on disp and returns the actions. It is used by the engine, and by a replay of recorded steps.
func (s *Step) Apply(disp *policy.Dispatcher, acts []policy.Action) []policy.Action {
	switch s.Input {
	case List:
		return disp.List(s.Now, s.List, s.Entries, acts)
	case Request:
		return disp.Request(s.Now, s.Request, acts)
	case Note:
		return disp.Note(s.Now, s.Note, acts)
	case Outcome:
		return disp.Outcome(s.Now, s.Outcome, acts)
	case Gone:
		return disp.ClientGone(s.Now, s.Number, acts)
	case Timer:
		return disp.Timer(s.Now, s.Token, acts)
	case Stop:
		return disp.Stop(s.By, acts)
	case Resume:
		return disp.Resume(s.Now, s.Request, s.Past, acts)
	}
	return acts
}

// Settings returns the module's settings, with the engine's overrides applied.
func (s *Step) Settings() policy.Settings { return s.engine.set }

// Checkpoint appends the module's state after the step.
func (s *Step) Checkpoint(b []byte) []byte { return s.engine.dispatcher.Checkpoint(b) }

// Providers returns the names of the module's workers, in the order of their ids.
func (s *Step) Providers() []string { return s.engine.providerNames }

// Job returns the step's own job, or an open job, by its number; nil if it is neither.
func (s *Step) Job(number policy.RequestID) *Job {
	if s.ownJob != nil && number == s.Number {
		return s.ownJob
	}
	if t := s.engine.tickets[number]; t != nil {
		return &t.job
	}
	return nil
}

// Observe sets the observer of all later events. It is called once, before anything else, and sends the observer a step without an input.
func (d *Engine) Observe(o Observer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observer = o
	d.scratch = Step{Now: d.now(), engine: d}
	d.notify(Event{Kind: Stepped, Now: d.scratch.Now, Step: &d.scratch})
}

// notify calls the observer with e. An observer that panics is removed: no job depends on it.
func (d *Engine) notify(e Event) {
	defer func() {
		if r := recover(); r != nil {
			d.observer = nil
			d.log.Error("panic in an observer: figures, capture and job status end here", "panic", r, "stack", string(debug.Stack()))
		}
	}()
	d.event = e
	d.observer.Observe(&d.event)
}

// notifyJobEvent notifies the observer of an event that concerns a job.
func (d *Engine) notifyJobEvent(t *Ticket, e Event) {
	if d.observer == nil {
		return
	}
	e.Now, e.Job = d.now(), &t.job
	switch e.Kind {
	case Taken:
		t.taken = e.Now
	case Started, Ended:
		e.Took = e.Now - t.sent
	case Decided:
		e.Took = e.Now - t.taken
	}
	if t.attempts > 0 {
		e.Provider = d.providerNames[t.provider]
	}
	d.notify(e)
}
