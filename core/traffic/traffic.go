// Package traffic draws what clients ask for, ahead and from a seed, and decides what a client does with an answer. The
// arrivals never wait for answers. It knows no sockets and no clock.
package traffic

import (
	"time"

	"laddertide/core/history"
)

// Time is the time since the run's beginning.
type Time = time.Duration

// Class is a class of jobs as clients ask for it.
type Class struct {
	history.Class
	Share float64 // of all jobs
	Work  Time    // mean running time at speed 1
	Dist  string  // lognormal or pareto
	CV    float64 // its coefficient of variation
	Most  Time    // no job runs longer at speed 1; at least twice Work. 0, or more than WorkCap means: that
	Slots float64 // that a job takes at its worker; 0: 1
	Noise float64 // the spread (sigma of the logarithm) of one job's attempts round its own running time
}

// Tenant is a fleet account as a client.
type Tenant struct {
	Name  string
	Share float64 // of all jobs
}

// Burst is a jump of the rate.
type Burst struct {
	At, Length Time
	Size       float64 // times the usual rate
	Rise, Fall Time
}

// Plan is all that arrivals are drawn from.
type Plan struct {
	Seed    uint64
	Length  Time
	Rate    float64 // jobs a second, in the mean without bursts
	Shape   string  // steady, wave or burst (steady with Bursts)
	Swing   float64 // of a wave: its depth
	Period  Time    // of a wave
	Bursts  []Burst
	Classes []Class
	Tenants []Tenant
	Zones   []float64 // the share of each zone's clients
	Hint    float64   // the spread (sigma of the logarithm) of cost hints; negative: none are given
	Body    [2]int    // the least and the most bytes of a body
	Memory  [2]float64
}

// Arrival is one job that a client will ask for.
type Arrival struct {
	At     Time
	Class  int
	Tenant int
	Zone   int
	Work   Time
	Hint   Time // 0: none
	Key    string
	Object string // the last part of the path
	Slots  float64
	Memory float64
	Body   int    // bytes
	Chance uint64 // the seed of what else its client draws
}

// Retry says how clients try again.
type Retry struct {
	Most     int     // tries after the first
	Backoff  Time    // before the first of them; it doubles, and varies by half
	Honour   float64 // the share of clients that wait as long as Retry-After says
	MaxAfter Time    // but no longer than this
}

// Outcome is what a client saw of a try.
type Outcome uint8

// The outcomes.
const (
	Served      Outcome = iota
	Refused             // 429 or 503: trying again is harmless
	FailedTry           // any other answer, a broken connection
	Unreachable         // no connection came up, or it broke before the last byte was out: nobody has taken the request
	Unanswered          // the client's time ran out
)
