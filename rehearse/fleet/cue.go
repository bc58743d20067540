package fleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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

// trap waits for a job that arrives at any of some workers.
type trap struct {
	workers []int
	taken   atomic.Bool   // by the first such job
	hit     chan struct{} // closed when it was taken
	at      time.Duration // when that job arrived; not before hit is closed
	played  chan struct{} // closed when the job need not be held any longer
}

// traps are those that wait now. Each arriving job looks at them, so looking takes no lock.
type traps struct {
	changing sync.Mutex
	list     atomic.Pointer[[]*trap]
}

func (t *traps) set(one *trap) {
	t.changing.Lock()
	defer t.changing.Unlock()
	list := append(slices.Clone(t.all()), one)
	t.list.Store(&list)
}

func (t *traps) remove(one *trap) {
	t.changing.Lock()
	defer t.changing.Unlock()
	list := slices.DeleteFunc(slices.Clone(t.all()), func(other *trap) bool { return other == one })
	t.list.Store(&list)
}

func (t *traps) all() []*trap {
	if list := t.list.Load(); list != nil {
		return *list
	}
	return nil
}

// Await waits for a cue at any of some workers, for a while at most or until ctx ends, and tells whether it came, and
// at which time of the record. What it is the cue for must then be played at once; played is to be called when it was, and in any
// case. Several may wait at once; an arriving job is the cue for one of them.
func (f *Fleet) Await(ctx context.Context, workers []int, cue Cue, within time.Duration) (came bool, at time.Duration, played func()) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	if cue == Arriving {
		t := &trap{workers: workers, hit: make(chan struct{}), played: make(chan struct{})}
		f.traps.set(t)
		played = func() {
			f.traps.remove(t)
			close(t.played)
		}
		select {
		case <-t.hit:
			return true, t.at, played
		case <-timer.C:
		case <-ctx.Done():
		}
		return false, 0, played
	}
	tick := time.NewTicker(cueLook)
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
	if !a.unsafe {
		return
	}
	for _, t := range w.f.traps.all() {
		if slices.Contains(t.workers, w.index) && t.taken.CompareAndSwap(false, true) {
			t.at = w.f.now()
			close(t.hit)
			hold(t.played)
			return
		}
	}
}

// hold waits until something was played, for a while at most.
func hold(played <-chan struct{}) {
	timer := time.NewTimer(cueHold)
	defer timer.Stop()
	select {
	case <-played:
	case <-timer.C:
	}
}

// unsafe tells whether jobs of a class must never run twice.
func (f *Fleet) unsafe(class int) bool { return f.cfg.Classes[class].Repeat == history.NonIdempotent }
