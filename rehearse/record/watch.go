package record

import (
	"context"
	"time"

	"laddertide/core/history"
)

// How often Watch looks at the clock, and how late it must be for that to count as a stall.
const (
	watchEvery = 5 * time.Millisecond
	watchLate  = 10 * time.Millisecond
)

// Watch records when the kit itself stood still, until ctx ends. Whatever the kit saw in between may be late, as its
// other goroutines waited for the machine just like this one.
func (r *Recorder) Watch(ctx context.Context) {
	for ctx.Err() == nil {
		due := r.Since() + watchEvery
		time.Sleep(watchEvery)
		if woke := r.Since(); woke-due > watchLate {
			r.stalled.Add(int64(woke - due))
			r.Add(history.Event{T: woke.Microseconds(), Kind: history.KindHarnessPaused,
				From: due.Microseconds(), Until: woke.Microseconds()})
		}
	}
}

// Stalled is for how long the kit has stood still up to now, as far as Watch has seen.
func (r *Recorder) Stalled() time.Duration { return time.Duration(r.stalled.Load()) }
