package fleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/core/history"
)

// Cue is a condition on which a step waits: a worker has a job that must never run twice, so that its end is the hardest
// test of how schedulers handle it.
type Cue uint8

// The cues.
const (
	JobTaken    Cue = iota // the worker has taken the job, and the job has not ended
	JobArriving            // the job's last byte has been read, and no response sent
)

const (
	cuePollInterval = 2 * time.Millisecond
	maxCueHold      = 100 * time.Millisecond // limit for holding an arriving job until the step that waits for it is applied
)

// cueWaiter waits for a job that arrives at one of several workers.
type cueWaiter struct {
	workers []int
	taken   atomic.Bool   // set by the first such job
	arrived chan struct{} // closed after that
	at      time.Duration // when that job arrived; valid once arrived is closed
	played  chan struct{} // closed when the job need not be held any longer
}

// cueWaiters is the set of those currently waiting. Every arriving job reads it, so reads take no lock.
type cueWaiters struct {
	mu   sync.Mutex
	list atomic.Pointer[[]*cueWaiter]
}

func (t *cueWaiters) add(one *cueWaiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := append(slices.Clone(t.all()), one)
	t.list.Store(&list)
}

func (t *cueWaiters) remove(one *cueWaiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(t.all()), func(other *cueWaiter) bool { return other == one })
	t.list.Store(&list)
}

func (t *cueWaiters) all() []*cueWaiter {
	if list := t.list.Load(); list != nil {
		return *list
	}
	return nil
}

// AwaitCue waits for a cue at one of several workers, until the time limit or the end of ctx, and reports whether it came
// and at which time of the record. The caller must then apply the waiting step at once. It must call played after that,
// and also if no cue came. Several calls may wait at once; an arriving job is the cue for only one of them.
func (f *Fleet) AwaitCue(ctx context.Context, workers []int, cue Cue, within time.Duration) (came bool, at time.Duration, played func()) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	if cue == JobArriving {
		t := &cueWaiter{workers: workers, arrived: make(chan struct{}), played: make(chan struct{})}
		f.cueWaiters.add(t)
		played = func() {
			f.cueWaiters.remove(t)
			close(t.played)
		}
		select {
		case <-t.arrived:
			return true, t.at, played
		case <-timer.C:
		case <-ctx.Done():
		}
		return false, 0, played
	}
	tick := time.NewTicker(cuePollInterval)
	defer tick.Stop()
	for {
		if slices.ContainsFunc(workers, func(i int) bool { return f.workers[i].holdsUnsafe() }) {
			return true, f.now(), func() {}
		}
		select {
		case <-tick.C:
		case <-timer.C:
			return false, 0, func() {}
		case <-ctx.Done():
			return false, 0, func() {}
		}
	}
}

// holdsUnsafe reports whether the worker has a job that it has taken and that must never run twice.
func (w *worker) holdsUnsafe() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		if a.taken && a.unsafe {
			return true
		}
	}
	return false
}

// holdForCue delays a job that has just arrived while the step that waited for it is applied.
func (w *worker) holdForCue(a *attempt) {
	if !a.unsafe {
		return
	}
	for _, t := range w.f.cueWaiters.all() {
		if slices.Contains(t.workers, w.index) && t.taken.CompareAndSwap(false, true) {
			t.at = w.f.now()
			close(t.arrived)
			holdUntil(t.played)
			return
		}
	}
}

// holdUntil waits until the step has been applied, at most for maxCueHold.
func holdUntil(played <-chan struct{}) {
	timer := time.NewTimer(maxCueHold)
	defer timer.Stop()
	select {
	case <-played:
	case <-timer.C:
	}
}

// classIsUnsafe reports whether jobs of a class must never run twice.
func (f *Fleet) classIsUnsafe(class int) bool {
	return f.cfg.Classes[class].Repeat == history.NonIdempotent
}
