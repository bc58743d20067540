package traffic

import (
	"math/rand/v2"
	"time"

	"laddertide/core/history"
)

// least is the shortest time left that a try is worth: deadlines are told in whole milliseconds.
const least = time.Millisecond

// Next says whether a client tries again and how long it waits before. try numbers the one that has just ended, from
// 0. left is what remains of the class's deadline, counted from the first send, and waited the time since then. window
// is the class's, in which repeats of a key are dropped. after is what Retry-After said; 0: nothing.
//
// chance begins anew from the client's own seed for each of its tries: whether a client honours Retry-After is then
// the same at each, and one try's wait does not depend on how another went.
func (r Retry) Next(chance *rand.Rand, class history.Repeat, try int, left, waited, window Time, out Outcome,
	after Time) (wait Time, again bool) {
	honours := chance.Float64() < r.Honour
	for range min(try, r.Most) {
		chance.Float64()
	}
	varied := 0.5 + chance.Float64()
	if try >= r.Most {
		return 0, false
	}
	wait = Time(float64(r.Backoff<<min(try, 20)) * varied)
	if honours && after > 0 {
		wait = min(after, r.MaxAfter)
	}
	wait = max(0, wait)
	if wait > left-least {
		return 0, false
	}
	harmless := out == Refused || out == Unreachable
	switch {
	case out != FailedTry && !harmless:
		return 0, false
	case class == history.ReadLike:
	case class == history.Keyed:
		// A refusal speaks of its own try alone; an earlier one of the same key may have run.
		if (try > 0 || !harmless) && waited+wait >= window {
			return 0, false
		}
	case !harmless:
		return 0, false
	}
	return wait, true
}
