// Package world is the fleet of auth workers as a model: what a worker makes of the jobs, connections and troubles that
// meet it, and what discovery comes to know of the workers. Time comes in as an argument and chance from a seed, so
// that the same model runs under sockets in real time and under a virtual clock. It knows no sockets, no schedulers'
// insides and no clock, and it does not judge.
package world

import "time"

// Time is the time since the run's beginning. A model is never told of one that lies before an earlier one.
type Time = time.Duration

// Spec is what a worker is made of.
type Spec struct {
	Name, Zone, Kind string

	Cores  int
	Slots  int     // jobs that run at once; more than cores share them evenly
	Speed  float64 // of a core; 1 is the yardstick of Work
	Memory float64 // units that running jobs share
	Queue  int     // jobs that may wait; they start in order, the first waits until it fits

	Cold float64 // the share of its capacity at which a process starts
	Warm Time    // after which it has all of it; it grows evenly

	Handshake Time    // work that a new connection costs it, as Work is counted
	Conns     int     // connections that it holds at most
	FullTax   float64 // the share of its capacity that a full table of connections takes; less in proportion
	Idle      Time    // after which its machine closes an idle connection; the model only carries it

	ErrorRate    float64 // of jobs that ran to their end, the share that fails then
	DropsExpired bool    // a job still waiting when its scheduler's wait is over is not started
	DrainReturns bool    // a drain hands back what has not started

	// A cold process that is sent more than FallMultiple x its present capacity x FallWindow (plus FallSlack) within
	// FallWindow falls over and stays down.
	FallMultiple float64
	FallWindow   Time
	FallSlack    Time // in work, for chance
	FallMean     Time // the mean work of a call, for the chance that calls allow for; 0: FallSlack alone
}

// Job is an attempt at a job.
type Job struct {
	Attempt   int64 // numbers it within the run
	Request   string
	Scheduler int    // who sent it
	Key       string // of a keyed class: repeats within Window take no second effect
	Window    Time
	Work      Time // running time of this attempt at speed 1
	Cost      Time // charged against a cold process's budget: its class's mean, as chance is not the sender's fault
	Slots     float64
	Memory    float64
	Until     Time // when its scheduler stops waiting; 0: never
}

// EffectKind says what an effect is.
type EffectKind uint8

// The effects.
const (
	Taken EffectKind = iota // a job was taken (it may wait); the answer is 202
	Full                    // a job was turned away: 503 with X-Not-Run
	Began                   // it runs
	Over                    // it ended: State, Result, Ran, FirstEffect
	Fell                    // the process was pushed over; Over follows for each of its jobs, as lost
)

// State is how an attempt ended; the words are those of history.
type State string

// The ends that the model brings about.
const (
	Done      State = "done"
	Failed    State = "failed"
	Returned  State = "returned"
	Lost      State = "lost"
	Cancelled State = "cancelled"
	TurnedOff State = "full"
)

// Effect is something that the model did at a time.
type Effect struct {
	At      Time
	Kind    EffectKind
	Attempt int64
	Request string
	State   State
	Result  string // of a done job: unlike that of any other attempt
	Ran     bool   // some of it ran
	First   bool   // a done job's key had taken no effect within its window: this run counts
	Work    Time   // what it was given, in work; with Fell: what had been sent within the window
	Budget  Time   // with Fell: what would have been borne
}
