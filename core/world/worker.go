package world

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
)

const (
	unit        = 1_000_000 // slots and memory are integers in millionths, so that additions and subtractions cancel exactly
	never       = Time(math.MaxInt64)
	minCapacity = 0.01    // minimum fraction of capacity that a process keeps, whatever the number of connections
	maxSends    = 1 << 16 // maximum number of sends recorded for a window; further ones are merged into the latest, with its time updated
)

// Worker simulates one auth worker: a machine with a process that dies and restarts. It is passive: each call first
// processes all events up to and including its time, in order, and appends them to the effects. The same calls
// give the same effects, regardless of calls of Advance in between. It is not safe for concurrent use.
//
// Its memory is bounded by its slots, its queue and the sends of one FallWindow.
//
// Cores are shared as follows: the slots of running jobs get equal shares, at most one core per slot. Handshakes and
// probes run on idle cores if at least one whole core is idle, and then delay no job; otherwise all cores do them first,
// and all jobs are paused meanwhile.
type Worker struct {
	spec  Spec
	keys  *Keys
	rand  *rand.Rand
	slots int64
	mem   int64

	now  Time
	life int

	alive, draining, crashed bool

	rampStart, rampEnd Time    // the ramp: from rampFrom to 1; rampEnd <= rampStart: none
	rampFrom           float64 // fraction of full capacity at rampStart
	slowdown           float64 // factor by which the machine is slower
	conns              int

	// The state at the last change, and values derived from it. They are updated only on a change, so that calls in
	// between do not affect rounding.
	lastChange    Time
	coreSpeed     float64 // work per unit of time of a core, at full capacity of the ramp
	jobWork       float64 // cumulative work of a job that has run since the worker was last idle, in nanoseconds
	overhead      float64 // remaining work of handshakes and probes
	share         float64 // fraction of a core that each running job gets
	overheadCores float64 // cores that process overhead
	nextEnd       Time    // end of the next job to finish
	overheadEnd   Time    // time at which the overhead is done

	byAttempt map[int64]*task
	running   []*task // a heap by endWork
	usedSlots int64
	usedMem   int64
	lastOrder int64

	first, last *task // the queue of waiting jobs
	waiting     int
	free        *task // free list

	sends    []send // of the last FallWindow, while cold
	sentCost Time   // sum of their costs
}

type task struct {
	Job
	slots, mem int64
	order      int64   // sequence number of its start; 0: not started
	startWork  float64 // Worker.jobWork at its start
	endWork    float64 // Worker.jobWork at its end
	index      int     // index in the heap; -1: waiting
	prev, next *task   // in the queue; next in the free list too
}

type send struct {
	at   Time
	cost Time
}

// NewWorker returns a worker whose process has not started yet. The keys are those of its fleet. Cores and slots below
// 1 and a speed that is not positive are replaced by 1; if Conns is 0, connections are not limited.
func NewWorker(spec Spec, keys *Keys, seed uint64) *Worker {
	spec.Cores, spec.Slots = max(spec.Cores, 1), max(spec.Slots, 1)
	if !(spec.Speed > 0) {
		spec.Speed = 1
	}
	return &Worker{spec: spec, keys: keys, rand: rand.New(rand.NewPCG(seed, 0x776f726b6572)), slowdown: 1,
		slots: int64(spec.Slots) * unit, mem: toMillionths(spec.Memory),
		byAttempt: map[int64]*task{}, nextEnd: never, overheadEnd: never}
}

func toMillionths(x float64) int64 {
	if !(x > 0) {
		return 0
	}
	return int64(math.Round(min(x, 1e9) * unit))
}

// Spec returns the worker's configuration, with defaults filled in.
func (w *Worker) Spec() Spec { return w.spec }

// Life returns the number of its current process, counted from 1; 0 before the first.
func (w *Worker) Life() int { return w.life }

// Start starts a process, cold or with full capacity; a running one is killed first. It must also be called to restart a
// process that crashed from overload. A slowdown of the machine set by Slow persists across processes.
func (w *Worker) Start(now Time, cold bool, into []Effect) []Effect {
	into = w.Kill(now, into)
	w.life++
	w.alive, w.crashed, w.draining = true, false, false
	w.rampStart, w.rampEnd, w.rampFrom = w.now, w.now, 1
	if cold && w.spec.Warm > 0 {
		w.rampEnd, w.rampFrom = w.now+w.spec.Warm, min(max(w.spec.Cold, 0), 1)
	}
	w.lastChange = w.now
	w.updateDerived()
	return into
}

// Kill ends the process at once: a crash, or a machine that goes silent. All its jobs are lost.
func (w *Worker) Kill(now Time, into []Effect) []Effect {
	into = w.Advance(now, into)
	if !w.alive {
		return into
	}
	w.sync(w.now)
	return w.loseAll(w.now, into)
}

// loseAll ends all jobs as lost: running ones in the order they started, then waiting ones.
func (w *Worker) loseAll(at Time, into []Effect) []Effect {
	slices.SortFunc(w.running, func(a, b *task) int { return int(a.order - b.order) })
	for _, t := range w.running {
		into = w.endJob(at, t, Lost, into)
	}
	for t := w.first; t != nil; {
		next := t.next
		into = w.endJob(at, t, Lost, into)
		t = next
	}
	w.running, w.first, w.last, w.waiting = w.running[:0], nil, nil, 0
	w.usedSlots, w.usedMem, w.jobWork, w.overhead, w.conns = 0, 0, 0, 0, 0
	w.sends, w.sentCost = w.sends[:0], 0
	w.alive, w.draining = false, false
	w.nextEnd, w.overheadEnd = never, never
	return into
}

// Drain makes the process finish the jobs that it has; with DrainReturns it returns the waiting ones. New jobs are refused.
func (w *Worker) Drain(now Time, into []Effect) []Effect {
	into = w.Advance(now, into)
	if !w.alive || w.draining {
		return into
	}
	w.draining = true
	if w.spec.DrainReturns {
		for w.first != nil {
			t := w.first
			w.dequeue(t)
			into = w.endJob(w.now, t, Returned, into)
		}
	}
	return into
}

// SetSlowdown slows the machine down by the factor from now on, including future processes; 1 restores normal speed.
func (w *Worker) SetSlowdown(now Time, factor float64, into []Effect) []Effect {
	into = w.Advance(now, into)
	if !(factor > 0) || math.IsInf(factor, 0) {
		factor = 1
	}
	w.sync(w.now)
	w.slowdown = factor
	w.updateDerived()
	return into
}

// Connect accepts a new connection, unless there is no process or it has reached its limit. wait is the time until the
// handshake is done at the current load; the first request on the connection has to wait that long.
func (w *Worker) Connect(now Time, into []Effect) (effects []Effect, wait Time, ok bool) {
	into = w.Advance(now, into)
	if !w.alive || (w.spec.Conns > 0 && w.conns >= w.spec.Conns) {
		return into, 0, false
	}
	w.sync(w.now)
	w.conns++
	cost := max(float64(w.spec.Handshake), 0)
	w.overhead += cost
	w.updateDerived()
	if cost > 0 {
		// A handshake runs on one core, however many are idle.
		wait = w.timeOfIntegral(max(w.overhead/(w.overheadCores*w.coreSpeed), cost/w.coreSpeed)) - w.lastChange
	}
	return into, wait, true
}

// Disconnect closes a connection of this process.
func (w *Worker) Disconnect(now Time, into []Effect) []Effect {
	into = w.Advance(now, into)
	if w.alive && w.conns > 0 {
		w.sync(w.now)
		w.conns--
		w.updateDerived()
	}
	return into
}

// Probe adds the work of answering a health probe.
func (w *Worker) Probe(now Time, cost Time, into []Effect) []Effect {
	into = w.Advance(now, into)
	if w.alive && cost > 0 {
		w.sync(w.now)
		w.overhead += float64(cost)
		w.updateDerived()
	}
	return into
}

// Submit accepts or refuses a job. A cold process may crash from the load, after it has answered. A job without slots
// counts as one slot; an attempt that the worker already has is refused.
func (w *Worker) Submit(now Time, job Job, into []Effect) []Effect {
	into = w.Advance(now, into)
	if !w.alive {
		return into
	}
	slots, mem := toMillionths(job.Slots), toMillionths(job.Memory)
	if slots == 0 {
		slots = unit
	}
	fits := w.first == nil && w.usedSlots+slots <= w.slots && w.usedMem+mem <= w.mem
	switch {
	case w.draining, slots > w.slots, mem > w.mem, !fits && w.waiting >= w.spec.Queue, w.byAttempt[job.Attempt] != nil:
		into = append(into, Effect{At: w.now, Kind: Full, Attempt: job.Attempt, Request: job.Request, State: NoCapacity})
	default:
		into = append(into, Effect{At: w.now, Kind: Accepted, Attempt: job.Attempt, Request: job.Request})
		t := w.newTask()
		t.Job, t.slots, t.mem, t.index = job, slots, mem, -1
		w.byAttempt[job.Attempt] = t
		w.enqueue(t)
		if fits {
			w.sync(w.now)
			into = w.startWaiting(w.now, into)
			w.updateDerived()
		}
	}
	return w.charge(job.Cost, into)
}

// charge adds to the work that a cold process was sent, and crashes it if that exceeds the budget.
func (w *Worker) charge(cost Time, into []Effect) []Effect {
	if w.now >= w.rampEnd || w.spec.FallWindow <= 0 || w.spec.FallMultiple <= 0 || cost <= 0 {
		return into
	}
	old := 0
	for old < len(w.sends) && w.sends[old].at <= w.now-w.spec.FallWindow {
		w.sentCost -= w.sends[old].cost
		old++
	}
	w.sends = slices.Delete(w.sends, 0, old)
	w.sentCost += cost
	if len(w.sends) == maxSends {
		w.sends[maxSends-1] = send{w.now, w.sends[maxSends-1].cost + cost}
	} else {
		w.sends = append(w.sends, send{w.now, cost})
	}
	budget := w.spec.coldBudget(w.capacity(w.now))
	if w.sentCost <= budget {
		return into
	}
	into = append(into, Effect{At: w.now, Kind: ColdOverload, Work: w.sentCost, Budget: budget})
	w.sync(w.now)
	into = w.loseAll(w.now, into)
	w.crashed = true
	return into
}

// fewAttempts is the number of attempts below which the allowance for random variation is larger.
const fewAttempts = 30

// coldBudget returns the work that a cold process of this capacity can be sent within FallWindow without crashing. In addition to the
// multiple, which is worth N attempts of mean work, it allows for random variation: 2 sqrt(N) + 2 attempts, or 3 sqrt(N) + 3 if N < 30.
func (s *Spec) coldBudget(capacity float64) Time {
	budget := Time(s.FallMultiple * capacity * float64(s.FallWindow))
	if s.FallMean <= 0 {
		return budget + s.FallSlack
	}
	calls := float64(budget) / float64(s.FallMean)
	times := 2.0
	if calls < fewAttempts {
		times = 3
	}
	chance := times*math.Sqrt(calls) + times
	return budget + s.FallSlack + Time(chance*float64(s.FallMean))
}

// Cancel stops an attempt. known is false if it has ended already, or was never here.
func (w *Worker) Cancel(now Time, attempt int64, into []Effect) (effects []Effect, known bool) {
	into = w.Advance(now, into)
	t := w.byAttempt[attempt]
	if t == nil {
		return into, false
	}
	w.sync(w.now)
	if t.index >= 0 {
		w.removeRunning(t)
	} else {
		w.dequeue(t)
	}
	into = w.endJob(w.now, t, Cancelled, into)
	into = w.startWaiting(w.now, into)
	w.updateDerived()
	return into, true
}

// Advance processes all events up to and including now.
func (w *Worker) Advance(now Time, into []Effect) []Effect {
	w.now = max(w.now, now)
	for {
		at := min(w.nextEnd, w.overheadEnd)
		if at > w.now || at == never {
			return into
		}
		ends, clears := w.nextEnd == at, w.overheadEnd == at
		w.sync(at)
		if clears {
			w.overhead = 0
		}
		if ends {
			// The time was rounded up to a whole nanosecond, but the sum may still be less than 1 ns short.
			w.jobWork = max(w.jobWork, w.running[0].endWork)
			for len(w.running) > 0 && w.running[0].endWork <= w.jobWork {
				t := w.running[0]
				w.removeRunning(t)
				state := Done
				if w.spec.ErrorRate > 0 && w.rand.Float64() < w.spec.ErrorRate {
					state = Failed
				}
				into = w.endJob(at, t, state, into)
			}
			into = w.startWaiting(at, into)
		}
		w.updateDerived()
	}
}

// Next returns the time of the next event without a further call; false if there is none.
func (w *Worker) Next() (Time, bool) {
	at := min(w.nextEnd, w.overheadEnd)
	return at, at != never
}

// Snapshot is a worker's observable state.
type Snapshot struct {
	Life                          int
	Running, Waiting, Connections int
	Alive, Draining, Crashed      bool    // Fallen: crashed from overload and not restarted
	Capacity                      float64 // work per second of all cores, without the loss to connections; 0 if not alive
}

// State returns the state at the latest time passed to a method.
func (w *Worker) State() Snapshot {
	s := Snapshot{Life: w.life, Running: len(w.running), Waiting: w.waiting, Connections: w.conns,
		Alive: w.alive, Draining: w.draining, Crashed: w.crashed}
	if w.alive {
		s.Capacity = w.capacity(w.now)
	}
	return s
}

// capacity returns the work per unit of time that all cores can do.
func (w *Worker) capacity(at Time) float64 {
	return float64(w.spec.Cores) * w.spec.Speed * w.ramp(at) / w.slowdown
}

func (w *Worker) ramp(at Time) float64 {
	if at >= w.rampEnd {
		return 1
	}
	return w.rampFrom + (1-w.rampFrom)*float64(at-w.rampStart)/float64(w.rampEnd-w.rampStart)
}

// rampIntegral returns the integral of the ramp from the last change until at.
func (w *Worker) rampIntegral(at Time) float64 {
	x := float64(at - w.lastChange)
	if w.lastChange >= w.rampEnd {
		return x
	}
	in := float64(min(at, w.rampEnd) - w.lastChange)
	slope := (1 - w.rampFrom) / float64(w.rampEnd-w.rampStart)
	return in*(w.ramp(w.lastChange)+slope*in/2) + (x - in)
}

// timeOfIntegral returns the time at which the integral of the ramp since the last change reaches d.
func (w *Worker) timeOfIntegral(d float64) Time {
	if !(d > 0) {
		return w.lastChange
	}
	x := d
	if w.lastChange < w.rampEnd {
		left := float64(w.rampEnd - w.lastChange)
		slope, share := (1-w.rampFrom)/float64(w.rampEnd-w.rampStart), w.ramp(w.lastChange)
		if whole := left * (share + slope*left/2); d >= whole {
			x = left + (d - whole)
		} else {
			x = 2 * d / (share + math.Sqrt(share*share+2*slope*d))
		}
	}
	x = math.Ceil(x - 1e-3) // a rounding error must not add a nanosecond
	if x > float64(never/2) || w.lastChange > never/2 {
		return never
	}
	return w.lastChange + Time(x)
}

// sync advances the state to a time at which something changes.
func (w *Worker) sync(at Time) {
	if !w.alive {
		return
	}
	given := w.rampIntegral(at) * w.coreSpeed
	w.jobWork += given * w.share
	w.overhead = max(w.overhead-given*w.overheadCores, 0)
	w.lastChange = at
	if len(w.running) == 0 {
		w.jobWork = 0
	}
}

// updateDerived computes the values that are derived from the state.
func (w *Worker) updateDerived() {
	w.nextEnd, w.overheadEnd = never, never
	if !w.alive {
		return
	}
	w.coreSpeed = w.spec.Speed / w.slowdown
	if w.spec.Conns > 0 {
		w.coreSpeed *= max(1-w.spec.FullTableLoss*float64(w.conns)/float64(w.spec.Conns), minCapacity)
	}
	cores := int64(w.spec.Cores) * unit
	idle := cores - w.usedSlots
	w.share = 1
	if idle < 0 {
		w.share = float64(cores) / float64(w.usedSlots)
	}
	w.overheadCores = float64(idle) / unit
	if idle < unit {
		w.overheadCores = float64(w.spec.Cores)
		if w.overhead > 0 {
			w.share = 0
		}
	}
	if w.overhead > 0 {
		w.overheadEnd = w.timeOfIntegral(w.overhead / (w.overheadCores * w.coreSpeed))
	}
	if len(w.running) > 0 && w.share > 0 {
		w.nextEnd = w.timeOfIntegral((w.running[0].endWork - w.jobWork) / (w.share * w.coreSpeed))
	}
}

// startWaiting starts waiting jobs in order, as long as the first one fits.
func (w *Worker) startWaiting(at Time, into []Effect) []Effect {
	for w.first != nil && w.usedSlots+w.first.slots <= w.slots && w.usedMem+w.first.mem <= w.mem {
		t := w.first
		w.dequeue(t)
		if w.spec.DropsExpired && t.Until > 0 && t.Until <= at {
			into = w.endJob(at, t, Cancelled, into)
			continue
		}
		if len(w.running) == 0 {
			w.jobWork = 0
		}
		w.lastOrder++
		t.order, t.startWork, t.endWork = w.lastOrder, w.jobWork, w.jobWork+max(float64(t.Work), 0)
		w.usedSlots += t.slots
		w.usedMem += t.mem
		w.pushRunning(t)
		into = append(into, Effect{At: at, Kind: Began, Attempt: t.Attempt, Request: t.Request, Ran: true})
	}
	return into
}

// endJob ends a job. The caller has removed it from the heap and the queue, or clears both afterwards.
func (w *Worker) endJob(at Time, t *task, state State, into []Effect) []Effect {
	e := Effect{At: at, Kind: Ended, Attempt: t.Attempt, Request: t.Request, State: state, Ran: t.order > 0}
	if e.Ran {
		e.Work = Time(math.Round(min(max(w.jobWork-t.startWork, 0), t.endWork-t.startWork)))
	}
	if state == Done {
		e.Result = "r-" + t.Request + "-" + w.spec.Name + "-" + strconv.Itoa(w.life) + "-" +
			strconv.FormatInt(t.Attempt, 10)
		e.TakesEffect = t.Key == "" || w.keys.takeEffect(t.Key, at, t.Window)
	}
	delete(w.byAttempt, t.Attempt)
	*t = task{next: w.free}
	w.free = t
	return append(into, e)
}

func (w *Worker) newTask() *task {
	t := w.free
	if t == nil {
		return &task{}
	}
	w.free = t.next
	t.next = nil
	return t
}

func (w *Worker) enqueue(t *task) {
	t.prev, t.next = w.last, nil
	if w.last == nil {
		w.first = t
	} else {
		w.last.next = t
	}
	w.last = t
	w.waiting++
}

func (w *Worker) dequeue(t *task) {
	if t.prev == nil {
		w.first = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		w.last = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next = nil, nil
	w.waiting--
}

// removeRunning takes a running job out of the heap and releases its slots and memory.
func (w *Worker) removeRunning(t *task) {
	w.usedSlots -= t.slots
	w.usedMem -= t.mem
	i, n := t.index, len(w.running)-1
	w.running[i] = w.running[n]
	w.running[i].index = i
	w.running[n] = nil
	w.running = w.running[:n]
	if i < n {
		w.siftDown(i)
		w.siftUp(i)
	}
}

func (w *Worker) pushRunning(t *task) {
	t.index = len(w.running)
	w.running = append(w.running, t)
	w.siftUp(t.index)
}

func (w *Worker) less(i, j int) bool {
	a, b := w.running[i], w.running[j]
	return a.endWork < b.endWork || (a.endWork == b.endWork && a.order < b.order)
}

func (w *Worker) swap(i, j int) {
	h := w.running
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (w *Worker) siftUp(i int) {
	for i > 0 && w.less(i, (i-1)/2) {
		w.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (w *Worker) siftDown(i int) {
	for {
		c := 2*i + 1
		if c >= len(w.running) {
			return
		}
		if c+1 < len(w.running) && w.less(c+1, c) {
			c++
		}
		if !w.less(c, i) {
			return
		}
		w.swap(i, c)
		i = c
	}
}
