// Package traffic generates the clients' jobs from a seed before the run, and decides whether a client retries. Load is
// open-loop: arrivals never wait for answers. It uses no sockets and no clock.
package traffic

import (
	"time"

	"laddertide/core/history"
)

// Time is the time since the start of the run.
type Time = time.Duration

// Class is a class of jobs, with the distribution of the clients' load.
type Class struct {
	history.Class
	Share      float64 // of all jobs
	Work       Time    // mean running time at speed 1
	Dist       string  // lognormal or pareto
	CV         float64 // coefficient of variation
	MaxWork    Time    // maximum running time at speed 1; at least twice Work. 0 or more than MaxWorkMultiple x Work: MaxWorkMultiple x Work
	Slots      float64 // that a job takes at its worker; 0: 1
	WorkSpread float64 // spread (sigma of the logarithm) of the attempts of one job around its running time
}

// Tenant is a fleet account that sends jobs.
type Tenant struct {
	Name  string
	Share float64 // of all jobs
}

// Burst is a temporary change of the rate.
type Burst struct {
	At, Length Time
	Factor     float64 // factor of the usual rate
	Rise, Fall Time
}

// Plan holds the parameters from which arrivals are drawn.
type Plan struct {
	Seed       uint64
	Length     Time
	Rate       float64 // mean jobs per second without bursts
	Shape      string  // steady, wave or burst (steady with Bursts)
	Amplitude  float64 // of a wave: its relative amplitude
	Period     Time    // of a wave
	Bursts     []Burst
	Classes    []Class
	Tenants    []Tenant
	Zones      []float64 // share of each zone's clients
	HintSpread float64   // spread (sigma of the logarithm) of cost hints; negative: no hints
	Body       [2]int    // minimum and maximum size of a body in bytes
	Memory     [2]float64
}

// Arrival is one job that a client will request.
type Arrival struct {
	At         Time
	Class      int
	Tenant     int
	Zone       int
	Work       Time
	Hint       Time // 0: none
	Key        string
	Object     string // last segment of the path
	Slots      float64
	Memory     float64
	Body       int    // bytes
	ClientSeed uint64 // seed of its client's other random choices
}

// Retry is the retry policy of clients.
type Retry struct {
	MaxRetries    int     // maximum number of retries
	Backoff       Time    // before the first retry; it doubles each time, with a jitter of +-50%
	HonourShare   float64 // fraction of clients that wait as long as Retry-After says
	MaxRetryAfter Time    // upper bound of that wait
}

// Outcome is the outcome of a try, as the client sees it.
type Outcome uint8

// The outcomes.
const (
	Served      Outcome = iota
	Refused             // 429 or 503: a retry is safe
	FailedTry           // any other answer, or a broken connection
	Unreachable         // no connection, or it broke before the last byte was sent: nothing has accepted the request
	Unanswered          // the client's time ran out
)
