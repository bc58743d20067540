package fleet

import (
	"context"
	"slices"
	"time"

	"laddertide/core/history"
)

// Cue is a moment at which a worker's end shows most what schedulers make of it, as the worker has a job that must
// never run twice.
type Cue uint8

// The cues.
const (
	Held     Cue = iota // the job was taken, and has not ended
	Arriving            // its last byte has come, and it has not been answered
)

const (
	cueLook = 2 * time.Millisecond
	cueHold = 100 * time.Millisecond // how long an arriving job waits at most for what it is the cue for
)

// trap waits for an arriving job.
type trap struct {
	workers []int
	hit     chan struct{} // one place
	played  chan struct{}
}

// Await waits for a cue at any of some workers, for a while at most or until ctx ends, and tells whether it came. What
// it is the cue for must then be played at once; played is to be called when it was, and in any case.
func (f *Fleet) Await(ctx context.Context, workers []int, cue Cue, within time.Duration) (came bool, played func()) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	if cue == Arriving {
		t := &trap{workers, make(chan struct{}, 1), make(chan struct{})}
		f.trap.Store(t)
		played = func() {
			f.trap.CompareAndSwap(t, nil)
			close(t.played)
		}
		select {
		case <-t.hit:
			return true, played
		case <-timer.C:
		case <-ctx.Done():
		}
		return false, played
	}
	tick := time.NewTicker(cueLook)
	defer tick.Stop()
	for {
		if slices.ContainsFunc(workers, func(i int) bool { return f.workers[i].holdsUnsafe() }) {
			return true, func() {}
		}
		select {
		case <-tick.C:
		case <-timer.C:
			return false, func() {}
		case <-ctx.Done():
			return false, func() {}
		}
	}
}

// holdsUnsafe tells whether a worker has taken a job that must never run twice.
func (w *worker) holdsUnsafe() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.open {
		if a.taken && a.unsafe {
			return true
		}
	}
	return false
}

// cued holds a job that has just arrived while what it is the cue for is played.
func (w *worker) cued(a *attempt) {
	t := w.f.trap.Load()
	if t == nil || !a.unsafe || !slices.Contains(t.workers, w.index) {
		return
	}
	select {
	case t.hit <- struct{}{}:
	default:
		return // another one was
	}
	timer := time.NewTimer(cueHold)
	defer timer.Stop()
	select {
	case <-t.played:
	case <-timer.C:
	}
}

// unsafe tells whether jobs of a class must never run twice.
func (f *Fleet) unsafe(class int) bool { return f.cfg.Classes[class].Repeat == history.NonIdempotent }
