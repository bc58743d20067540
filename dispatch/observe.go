package dispatch

import (
	"runtime/debug"
	"time"

	"laddertide/policy"
)

// Observer is told what passes through an engine, in its order. It is called under the engine's mutex: it must not
// block nor call the engine, and the event is valid during the call only.
type Observer interface{ Observe(*Event) }

// Observers are told one after the other.
type Observers []Observer

// Observe implements Observer.
func (all Observers) Observe(e *Event) {
	for _, o := range all {
		o.Observe(e)
	}
}

// EventKind says what an event is.
type EventKind uint8

// The kinds of events. Stepped tells of the module's call that has just returned, before anything else follows from
// it; the others tell of a job. These come in this order, Sent to Ended once for each call; a call that is out may
// end after its job is decided.
const (
	Stepped EventKind = iota
	Taken
	Sent
	Started
	Progress // Share
	Ends     // the provider has said how the call ends; Ended follows
	Ended
	Decided
)

// Event is something that passed through the engine.
type Event struct {
	Kind     EventKind
	Now      time.Duration // on the module's clock
	Step     *Step         // of Stepped, which has nothing of what follows
	Job      *Job
	Provider string        // that holds the job, or held it last; empty: none did
	Took     time.Duration // Started and Ended: since Sent; Decided: since Taken
	Share    float64       // of Progress
	End      End           // of Ends and Ended
	Verdict  VerdictKind   // of Decided
}

// Input says which of the module's methods a step calls.
type Input uint8

// The inputs of the module. None calls nothing: it is what an observer is told first.
const (
	None Input = iota
	List
	Request
	Note
	Outcome
	Gone
	Timer
	Stop
	Resume
	Anew // the module is another one, or has other settings: what follows goes on from its state now
)

// Step is one call of the module: what goes in, and once it has returned, what the module wants done.
type Step struct {
	Input  Input
	Now    time.Duration
	Number policy.RequestID // of the job that it concerns; 0: none

	List    policy.ListKind
	Index   uint64 // of the directory
	Entries []policy.Entry
	Names   []string       // of the entries
	Request policy.Request // of Request and Resume
	Past    []policy.Past  // of Resume
	Note    policy.Note
	Outcome policy.Outcome
	End     End // of Outcome
	Token   uint64
	By      time.Duration

	Actions []policy.Action
	Failed  bool // the module panicked

	engine *Engine
	own    *Job // of Number; it may be forgotten by now
}

// Play makes the call on disp and returns the actions. It is what the engine does, and what a replay does again.
func (s *Step) Play(disp *policy.Dispatcher, acts []policy.Action) []policy.Action {
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
		return disp.Gone(s.Now, s.Number, acts)
	case Timer:
		return disp.Timer(s.Now, s.Token, acts)
	case Stop:
		return disp.Stop(s.By, acts)
	case Resume:
		return disp.Resume(s.Now, s.Request, s.Past, acts)
	}
	return acts
}

// Settings are those that the module has, after what the engine overrides.
func (s *Step) Settings() policy.Settings { return s.engine.set }

// Checkpoint appends the module's state after the step.
func (s *Step) Checkpoint(b []byte) []byte { return s.engine.disp.Checkpoint(b) }

// Providers are the names that the module's workers go by, in the order of their ids.
func (s *Step) Providers() []string { return s.engine.names }

// Job is the step's own job, or an open one, by its number; nil: neither.
func (s *Step) Job(number policy.RequestID) *Job {
	if s.own != nil && number == s.Number {
		return s.own
	}
	if t := s.engine.tickets[number]; t != nil {
		return &t.job
	}
	return nil
}

// Observe makes o the observer of all that follows. It is called once, before anything else, and tells o of a step
// without an input.
func (d *Engine) Observe(o Observer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observer = o
	d.scratch = Step{Now: d.now(), engine: d}
	d.notify(Event{Kind: Stepped, Now: d.scratch.Now, Step: &d.scratch})
}

// notify tells the observer of e. One that panics is told nothing more: no job depends on it.
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

// tell tells the observer of something that happened to a job.
func (d *Engine) tell(t *Ticket, e Event) {
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
		e.Provider = d.names[t.provider]
	}
	d.notify(e)
}
