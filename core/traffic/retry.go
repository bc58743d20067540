package traffic

import (
	"math/rand/v2"
	"time"

	"laddertide/core/history"
)

// minTimeLeft is the minimum time left for another try: deadlines are sent in whole milliseconds.
const minTimeLeft = time.Millisecond

// Next decides whether a client retries and returns the wait before that. try is the number of the try that has just
// ended, from 0. left is the remaining time of the class's deadline, which counts from the first send; waited is the
// time since that send. window is the time in which the class drops repeats of a key. after is the value of
// Retry-After; 0: none.
//
// The caller passes a chance restarted from the client's own seed for each try: then a client honours Retry-After for
// all of its tries or for none, and the wait after one try does not depend on the outcome of another.
func (r Retry) Next(chance *rand.Rand, class history.Repeat, try int, left, waited, window Time, out Outcome,
	after Time) (wait Time, again bool) {
	honours := chance.Float64() < r.HonourShare
	for range min(try, r.MaxRetries) {
		chance.Float64()
	}
	jitter := 0.5 + chance.Float64()
	if try >= r.MaxRetries {
		return 0, false
	}
	wait = Time(float64(r.Backoff<<min(try, 20)) * jitter)
	if honours && after > 0 {
		wait = min(after, r.MaxRetryAfter)
	}
	wait = max(0, wait)
	if wait > left-minTimeLeft {
		return 0, false
	}
	safe := out == Refused || out == Unreachable
	switch {
	case out != FailedTry && !safe:
		return 0, false
	case class == history.ReadLike:
	case class == history.Keyed:
		// A rejection applies to its own try only; an earlier try with the same key may have run.
		if (try > 0 || !safe) && waited+wait >= window {
			return 0, false
		}
	case !safe:
		return 0, false
	}
	return wait, true
}
