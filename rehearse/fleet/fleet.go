// Package fleet emulates auth workers on sockets: it accepts jobs, responds to them, notifies schedulers of their
// progress, and emulates crashes, silent machines and network partitions. How a worker processes a job is decided by the
// model in core/world; whether a scheduler may send it is checked by the judge. Points in time are those of the record.
//
// Every worker has a mutex. It is advanced by the goroutine that has an event for it, and by one timer for the model's own
// events: a job needs no switch between goroutines, and an idle worker no goroutine. Each listener has a goroutine
// blocked in accept, and each connection has one; call-backs use up to four for each pair of worker and scheduler, while
// there are any.
package fleet

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/core/history"
	"laddertide/core/world"
	"laddertide/rehearse/book"
	"laddertide/rehearse/loop"
	"laddertide/rehearse/record"
)

// Scheduler is a scheduler and the address at which it receives call-backs.
type Scheduler struct {
	Name, Zone, CallBack string
	CallBackVia          func(worker string) (string, error) // returns the address through which a worker reaches CallBack; nil: CallBack itself
}

// Change is the new state of a worker, for discovery.
type Change struct {
	Worker int
	Name   string
	Status history.Status // Deleted: its process has ended
	Life   int
	Silent bool // its machine does not report the change
}

// Config is the configuration of a Fleet.
type Config struct {
	Workers    []world.Spec
	Schedulers []Scheduler
	Delay      func(zoneA, zoneB string) time.Duration // one way; nil: none
	Net        *loop.Net                               // nil: the fleet creates one
	Record     *record.Recorder
	Book       *book.Book
	Classes    []history.Class

	// EstimateJob estimates the properties of a job that is not in the book from its class, its key and its cost hint (0: none),
	// for clients other than the kit's. Nil: such a job is refused.
	EstimateJob func(class, key string, hint time.Duration) (book.Job, bool)

	ColdCosts  []time.Duration // by class: cost of an attempt that counts against the budget of a cold worker
	ProbeCost  time.Duration
	Probes     bool          // workers respond to GET /ping
	AgentDelay time.Duration // from the end of a process to the report of its jobs as lost
	Seed       uint64
	OnChange   func(Change) // called in order for each worker, from any goroutine; may be nil
}

// Fleet holds all emulated workers. Workers and schedulers are identified by their index in the Config. Its methods may be
// called from any goroutine, but those that change a worker not from OnChange.
type Fleet struct {
	cfg        Config
	workers    []*worker
	byName     map[string]int
	lives      []atomic.Int64 // by scheduler
	attempts   atomic.Int64
	closed     atomic.Bool
	cueWaiters cueWaiters
	running    sync.WaitGroup // goroutines of connections and senders
}

// New binds all listeners; they refuse connections until Start.
func New(cfg Config) (*Fleet, error) {
	if cfg.Net == nil {
		cfg.Net = loop.NewNet()
	}
	if cfg.Delay == nil {
		cfg.Delay = func(string, string) time.Duration { return 0 }
	}
	for _, s := range cfg.Schedulers {
		if err := loop.Check(s.CallBack); err != nil {
			return nil, fmt.Errorf("fleet: call-backs of %s: %w", s.Name, err)
		}
	}
	if len(cfg.ColdCosts) < len(cfg.Classes) {
		return nil, errors.New("fleet: fewer costs than classes")
	}
	f := &Fleet{cfg: cfg, byName: map[string]int{}, lives: make([]atomic.Int64, len(cfg.Schedulers))}
	keys := world.NewKeys()
	for i, spec := range cfg.Workers {
		if _, twice := f.byName[spec.Name]; twice {
			f.Close()
			return nil, fmt.Errorf("fleet: two workers are called %s", spec.Name)
		}
		f.byName[spec.Name] = i
		w := newWorker(f, i, spec, keys)
		f.workers = append(f.workers, w)
		for s := range cfg.Schedulers {
			if err := w.bind(s); err != nil {
				f.Close()
				return nil, fmt.Errorf("fleet: %w", err)
			}
		}
	}
	return f, nil
}

// Address returns the address at which a scheduler reaches a worker. It never changes.
func (f *Fleet) Address(scheduler, worker int) string {
	return f.workers[worker].links[scheduler].listener.Address()
}

// Index returns the index of the worker with a name; -1: there is none.
func (f *Fleet) Index(name string) int {
	if i, ok := f.byName[name]; ok {
		return i
	}
	return -1
}

// SetLife sets the life, or process number, of the scheduler process that receives call-backs from now on.
func (f *Fleet) SetLife(scheduler, life int) { f.lives[scheduler].Store(int64(life)) }

// Life returns the number of processes that a worker has had so far; 0 before Start.
func (f *Fleet) Life(worker int) int {
	w := f.workers[worker]
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.model.Life()
}

// ProcessStart returns when the worker's latest process started; the zero time for the first process, which counts as started long
// ago.
func (f *Fleet) ProcessStart(worker int) time.Time {
	w := f.workers[worker]
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startOf(w.model.Life())
}

// ProcessStartMS returns the start of any process in the form of discovery: Unix time in milliseconds, 0 for long ago.
func (f *Fleet) ProcessStartMS(name string, life int) int64 {
	i := f.Index(name)
	if i < 0 {
		return 0
	}
	w := f.workers[i]
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.startOf(life); !t.IsZero() {
		return t.UnixMilli()
	}
	return 0
}

// Fallen reports whether the worker's process has ended under overload and no new one has started.
func (f *Fleet) Fallen(worker int) bool {
	w := f.workers[worker]
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.model.State().Crashed
}

// Busy counts a worker's open attempts and the attempts with pending call-backs.
func (f *Fleet) Busy(worker int) int {
	w := f.workers[worker]
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.busy()
}

// State returns the model's state of a worker.
func (f *Fleet) State(worker int) world.Snapshot {
	w := f.workers[worker]
	w.lock()
	defer w.unlock()
	return w.model.State()
}

// Start starts the first process of every worker, warm, as if it had been running for long.
func (f *Fleet) Start() error {
	var err error
	for _, w := range f.workers {
		err = errors.Join(err, w.start(false))
	}
	return err
}

// Crash ends the process: connections are reset, new ones refused. After AgentDelay, the machine's agent reports its
// jobs as lost.
func (f *Fleet) Crash(worker int) error { return f.workers[worker].die(down, history.KindCrash) }

// Vanish makes the machine silent and loses all its jobs: connections stay open, new ones are never established.
func (f *Fleet) Vanish(worker int) error {
	return f.workers[worker].die(vanished, history.KindMachineSilent)
}

// Mute is like Vanish, but new connections are established.
func (f *Fleet) Mute(worker int) error {
	return f.workers[worker].die(mute, history.KindMachineUnresponsive)
}

// Return starts a cold process. Remaining connections to the previous process are reset.
func (f *Fleet) Return(worker int) error { return f.workers[worker].start(true) }

// Drain makes the process finish its jobs and take no new ones.
func (f *Fleet) Drain(worker int) { f.workers[worker].drain() }

// Stop ends an idle process gracefully: its connections are closed, new ones refused. It returns false if the process still
// has work, see Busy.
func (f *Fleet) Stop(worker int) (bool, error) { return f.workers[worker].stop() }

// SetCut cuts the network between a scheduler and a worker, or restores it. While it is cut, no data passes, and the
// worker keeps running.
func (f *Fleet) SetCut(scheduler, worker int, on bool) error {
	return f.workers[worker].cut(scheduler, on)
}

// Slow makes the worker's machine slower by the factor from now on; 1 is normal speed.
func (f *Fleet) Slow(worker int, factor float64) { f.workers[worker].slow(factor) }

// Close stops all workers without notifying schedulers, and waits for all goroutines.
func (f *Fleet) Close() {
	f.closed.Store(true)
	for _, w := range f.workers {
		w.close()
	}
	f.running.Wait()
}

func (f *Fleet) now() time.Duration { return f.cfg.Record.Since() }

func (f *Fleet) record(ev history.Event) { f.cfg.Record.Add(ev) }

// micros converts a time of the record to the form of events; it is at least 1, as 0 means no time.
func micros(t time.Duration) int64 { return max(1, t.Microseconds()) }
