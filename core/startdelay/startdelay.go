// Package startdelay estimates how long a worker with a free slot takes to start a job, from the delays between sends and
// start notifications. It computes when a start is due; callers decide what to do if it is overdue.
package startdelay

import (
	"math"
	"time"
)

// initialPart is the share of the limit within which a start is due while no start has been observed.
const initialPart = 0.1

// Estimator estimates the start delay of one network path. Its zero value is ready for use, without observations. It is
// not safe for concurrent use. Its fields are exported for checkpoints only.
type Estimator struct {
	Mean float64 // smoothed delay in seconds; 0 while no start has been observed
	Dev  float64 // smoothed mean deviation in seconds
}

// Observe adds the delay between a send and its start. Delays fall into two groups: those of jobs that start at once, and
// those of jobs that wait for others to end. The estimate follows the first group with the smoothing of TCP's round-trip
// estimator (RFC 6298, section 2). A delay under a quarter of the mean shows that the mean was of the second group, and
// replaces it. limit is the longest delay that can be of the first group.
func (e *Estimator) Observe(delay, limit time.Duration) {
	seconds := delay.Seconds()
	switch {
	case e.Mean == 0 && delay < limit || seconds < e.Mean/4:
		e.Mean = seconds
		e.Dev = seconds / 2
	case delay <= e.Due(limit):
		e.Dev += (math.Abs(seconds-e.Mean) - e.Dev) / 4
		e.Mean += (seconds - e.Mean) / 8
	}
}

// Due returns the time after a send by which a job has started if a slot was free, at most limit. It is twice the mean plus
// four deviations, so that a start that is only slightly late does not count as missing.
func (e *Estimator) Due(limit time.Duration) time.Duration {
	if e.Mean == 0 {
		return time.Duration(initialPart * float64(limit))
	}
	return min(time.Duration((2*e.Mean+4*e.Dev)*float64(time.Second)), limit)
}
