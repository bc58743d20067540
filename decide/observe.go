package decide

import "time"

// Observer is told what passes through a desk, in its order. It is called under the desk's mutex: it must not
// block nor call the desk, and the event is valid during the call only.
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

// The kinds of events. Those of a job come in this order, Sent to Ended once for each call; a call that is out may
// end after its job is decided.
const (
	Taken EventKind = iota
	Sent
	Started
	Ended
	Decided
)

// Event is something that passed through the desk.
type Event struct {
	Kind     EventKind
	Now      time.Duration // on the module's clock
	Job      *Job
	Provider string        // that holds the job, or held it last; empty: none did
	Took     time.Duration // Started and Ended: since Sent; Decided: since Taken
	End      End           // of Ended
	Verdict  VerdictKind   // of Decided
}

// Observe makes o the observer of all that follows. It is called once, before anything else.
func (d *Desk) Observe(o Observer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observer = o
}

// tell tells the observer of something that happened to a job.
func (d *Desk) tell(t *Ticket, e Event) {
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
	d.event = e
	d.observer.Observe(&d.event)
}
