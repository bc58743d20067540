// Package world simulates the fleet of auth workers: how a worker handles jobs, connections and injected faults, and
// what discovery publishes about the workers. Time is passed as an argument and randomness comes from a seed, so the
// same model runs behind sockets in real time and under a virtual clock. It uses no sockets and no clock, does not
// depend on scheduler internals, and does not check results against rules.
package world

import "time"

// Time is the time since the start of the run. Successive calls of a model never pass a decreasing time.
type Time = time.Duration

// Spec configures a worker.
type Spec struct {
	Name, Zone, Kind string

	Cores  int
	Slots  int     // capacity for concurrent jobs; if more slots than cores are in use, the jobs share the cores evenly
	Speed  float64 // of a core; Work is measured at speed 1
	Memory float64 // units that running jobs share
	Queue  int     // maximum number of waiting jobs; they start in order, and the head blocks the others until it fits

	Cold float64 // fraction of full capacity that a process starts with
	Warm Time    // duration of the linear ramp to full capacity

	Handshake     Time    // work that a new connection costs, in the same unit as Work
	Conns         int     // maximum number of connections
	FullTableLoss float64 // fraction of capacity lost when the connection table is full; proportional below that
	Idle          Time    // idle time after which its machine closes a connection; the model stores it but doesn't use it

	ErrorRate    float64 // fraction of the jobs that run to completion whose result is a failure
	DropsExpired bool    // jobs whose scheduler has stopped waiting are not started
	DrainReturns bool    // a drain returns the jobs that have not started

	// A cold process that is sent more work than FallMultiple x its current capacity x FallWindow (plus FallSlack)
	// within FallWindow crashes and stays down.
	FallMultiple float64
	FallWindow   Time
	FallSlack    Time // work, allowance for random variation
	FallMean     Time // mean work of an attempt, for an allowance by the number of attempts; 0: only FallSlack
}

// Job is an attempt at a job.
type Job struct {
	Attempt   int64 // unique within the run
	Request   string
	Scheduler int    // that sent it
	Key       string // of a keyed class: repeats within Window have no second effect
	Window    Time
	Work      Time // running time of this attempt at speed 1
	Cost      Time // charged to a cold process's budget: the class mean, as the sender can't know the actual work
	Slots     float64
	Memory    float64
	Until     Time // time at which its scheduler stops waiting; 0: never
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// The kinds of effects.
const (
	Accepted     EffectKind = iota // a job was accepted (and may wait); the answer is 202
	Full                           // a job was refused: 503 with X-Not-Run
	Began                          // a job started to run
	Ended                          // a job ended: State, Result, Ran, First
	ColdOverload                   // the cold process crashed from overload; Over follows for each of its jobs, as lost
)

// State is the final state of an attempt; its values are those of package history.
type State string

// The final states that the model produces.
const (
	Done       State = "done"
	Failed     State = "failed"
	Returned   State = "returned"
	Lost       State = "lost"
	Cancelled  State = "cancelled"
	NoCapacity State = "full"
)

// Effect is an event that the model produced.
type Effect struct {
	At          Time
	Kind        EffectKind
	Attempt     int64
	Request     string
	State       State
	Result      string // of a done job: unique to the attempt
	Ran         bool   // the job had started
	TakesEffect bool   // of a done job: its key had no effect within the window yet, so this run takes effect
	Work        Time   // work done for the job; with Fell: the work sent within the window
	Budget      Time   // with Fell: the work that the process could have been sent
}
