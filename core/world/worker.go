package world

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
)

const (
	unit     = 1_000_000 // slots and memory are counted in millionths, so that adding and taking away leaves nothing
	never    = Time(math.MaxInt64)
	leastTax = 0.01    // of its capacity a process keeps at least this, however many connections it holds
	sendsCap = 1 << 16 // sends of a window that are told apart; more count as of the latest's time
)

// Worker is one auth worker: a machine with a process that dies and starts again. It does nothing by itself: each call
// first does all that was due up to and including its time, in order, and appends it to the effects. The same calls
// give the same effects, no matter how many calls of Advance lie in between. It is not safe for concurrent use.
//
// What it holds is bounded by its slots, its queue and the sends of one FallWindow.
//
// Cores are shared so: the running jobs' slots are served evenly, one core to a slot at most. Handshakes and probes go
// to whole idle cores if there are any, and delay nobody; else all cores do them first, and every job stands still
// meanwhile.
type Worker struct {
	spec  Spec
	keys  *Keys
	rand  *rand.Rand
	slots int64
	mem   int64

	now  Time
	life int

	alive, draining, fallen bool

	start, warm Time    // the ramp: from cold at start to 1 at warm; warm <= start: none
	cold        float64 //
	factor      float64 // how many times slower
	conns       int

	// The state at the last change, and what follows from it. Nothing but a change moves these, so that calls in
	// between leave no trace in the rounding.
	since    Time
	pace     float64 // work per time that a core does at a share of 1
	done     float64 // work that a job running ever since nothing ran has been given, in nanoseconds
	overhead float64 // work of handshakes and probes still to do
	share    float64 // of pace that each running job gets
	spare    float64 // cores that do overhead
	endAt    Time    // when the next job ends
	clearAt  Time    // when the overhead is done

	byAttempt map[int64]*task
	running   []*task // a heap by end
	usedSlots int64
	usedMem   int64
	order     int64

	first, last *task // waiting
	waiting     int
	free        *task

	sends []send // of the last FallWindow, while cold
	sent  Time   // their sum
}

type task struct {
	Job
	slots, mem int64
	order      int64   // in which jobs began
	begun      float64 // Worker.done when it began
	end        float64 // Worker.done when it ends
	at         int     // in the heap; -1: it waits
	prev, next *task   // in the queue; next in the free list too
}

type send struct {
	at   Time
	cost Time
}

// NewWorker describes a worker whose process has yet to start. The keys are those of its fleet. Cores, slots and a
// speed under the least that makes sense count as 1; Conns of 0 is no cap.
func NewWorker(spec Spec, keys *Keys, seed uint64) *Worker {
	spec.Cores, spec.Slots = max(spec.Cores, 1), max(spec.Slots, 1)
	if !(spec.Speed > 0) {
		spec.Speed = 1
	}
	return &Worker{spec: spec, keys: keys, rand: rand.New(rand.NewPCG(seed, 0x776f726b6572)), factor: 1,
		slots: int64(spec.Slots) * unit, mem: units(spec.Memory),
		byAttempt: map[int64]*task{}, endAt: never, clearAt: never}
}

func units(x float64) int64 {
	if !(x > 0) {
		return 0
	}
	return int64(math.Round(min(x, 1e9) * unit))
}

// Spec is what it is made of.
func (w *Worker) Spec() Spec { return w.spec }

// Life counts its processes from 1; 0 before the first.
func (w *Worker) Life() int { return w.life }

// Start starts a process, cold or with all of its capacity. One that still runs dies first. It has also to be called
// for a process that fell over, should it come back. A slowness of the machine outlives processes.
func (w *Worker) Start(now Time, cold bool, into []Effect) []Effect {
	into = w.Die(now, into)
	w.life++
	w.alive, w.fallen, w.draining = true, false, false
	w.start, w.warm, w.cold = w.now, w.now, 1
	if cold && w.spec.Warm > 0 {
		w.warm, w.cold = w.now+w.spec.Warm, min(max(w.spec.Cold, 0), 1)
	}
	w.since = w.now
	w.plan()
	return into
}

// Die ends the process at once: crash, or a machine that falls silent. All that it has is lost.
func (w *Worker) Die(now Time, into []Effect) []Effect {
	into = w.Advance(now, into)
	if !w.alive {
		return into
	}
	w.sync(w.now)
	return w.down(w.now, into)
}

// down ends everything as lost: what runs in the order it began, then what waits.
func (w *Worker) down(at Time, into []Effect) []Effect {
	slices.SortFunc(w.running, func(a, b *task) int { return int(a.order - b.order) })
	for _, t := range w.running {
		into = w.over(at, t, Lost, into)
	}
	for t := w.first; t != nil; {
		next := t.next
		into = w.over(at, t, Lost, into)
		t = next
	}
	w.running, w.first, w.last, w.waiting = w.running[:0], nil, nil, 0
	w.usedSlots, w.usedMem, w.done, w.overhead, w.conns = 0, 0, 0, 0, 0
	w.sends, w.sent = w.sends[:0], 0
	w.alive, w.draining = false, false
	w.endAt, w.clearAt = never, never
	return into
}

// Drain makes the process finish what it has; with DrainReturns it hands back what waits. New jobs are turned away.
func (w *Worker) Drain(now Time, into []Effect) []Effect {
	into = w.Advance(now, into)
	if !w.alive || w.draining {
		return into
	}
	w.draining = true
	if w.spec.DrainReturns {
		for w.first != nil {
			t := w.first
			w.unlink(t)
			into = w.over(w.now, t, Returned, into)
		}
	}
	return into
}

// Slow makes the machine so many times slower from now on, also for processes yet to start; 1 ends it.
func (w *Worker) Slow(now Time, factor float64, into []Effect) []Effect {
	into = w.Advance(now, into)
	if !(factor > 0) || math.IsInf(factor, 0) {
		factor = 1
	}
	w.sync(w.now)
	w.factor = factor
	w.plan()
	return into
}

// Connect takes a new connection, unless the process holds as many as it may or there is none. The first request on it
// waits for wait, until its handshake is done as things stand now.
func (w *Worker) Connect(now Time, into []Effect) (effects []Effect, wait Time, ok bool) {
	into = w.Advance(now, into)
	if !w.alive || (w.spec.Conns > 0 && w.conns >= w.spec.Conns) {
		return into, 0, false
	}
	w.sync(w.now)
	w.conns++
	cost := max(float64(w.spec.Handshake), 0)
	w.overhead += cost
	w.plan()
	if cost > 0 {
		// One handshake is done by one core, however many stand idle.
		wait = w.when(max(w.overhead/(w.spare*w.pace), cost/w.pace)) - w.since
	}
	return into, wait, true
}

// Hangup ends a connection of this process.
func (w *Worker) Hangup(now Time, into []Effect) []Effect {
	into = w.Advance(now, into)
	if w.alive && w.conns > 0 {
		w.sync(w.now)
		w.conns--
		w.plan()
	}
	return into
}

// Probe costs work.
func (w *Worker) Probe(now Time, cost Time, into []Effect) []Effect {
	into = w.Advance(now, into)
	if w.alive && cost > 0 {
		w.sync(w.now)
		w.overhead += float64(cost)
		w.plan()
	}
	return into
}

// Submit takes a job or turns it away. A cold process may fall over by it, after it has said which. A job without slots
// counts as one slot; an attempt that it already has is turned away.
func (w *Worker) Submit(now Time, job Job, into []Effect) []Effect {
	into = w.Advance(now, into)
	if !w.alive {
		return into
	}
	slots, mem := units(job.Slots), units(job.Memory)
	if slots == 0 {
		slots = unit
	}
	fits := w.first == nil && w.usedSlots+slots <= w.slots && w.usedMem+mem <= w.mem
	switch {
	case w.draining, slots > w.slots, mem > w.mem, !fits && w.waiting >= w.spec.Queue, w.byAttempt[job.Attempt] != nil:
		into = append(into, Effect{At: w.now, Kind: Full, Attempt: job.Attempt, Request: job.Request, State: TurnedOff})
	default:
		into = append(into, Effect{At: w.now, Kind: Taken, Attempt: job.Attempt, Request: job.Request})
		t := w.take()
		t.Job, t.slots, t.mem, t.at = job, slots, mem, -1
		w.byAttempt[job.Attempt] = t
		w.link(t)
		if fits {
			w.sync(w.now)
			into = w.begin(w.now, into)
			w.plan()
		}
	}
	return w.charge(job.Cost, into)
}

// charge counts what a cold process is sent, and pushes it over.
func (w *Worker) charge(cost Time, into []Effect) []Effect {
	if w.now >= w.warm || w.spec.FallWindow <= 0 || w.spec.FallMultiple <= 0 || cost <= 0 {
		return into
	}
	old := 0
	for old < len(w.sends) && w.sends[old].at <= w.now-w.spec.FallWindow {
		w.sent -= w.sends[old].cost
		old++
	}
	w.sends = slices.Delete(w.sends, 0, old)
	w.sent += cost
	if len(w.sends) == sendsCap {
		w.sends[sendsCap-1] = send{w.now, w.sends[sendsCap-1].cost + cost}
	} else {
		w.sends = append(w.sends, send{w.now, cost})
	}
	budget := w.spec.bears(w.capacity(w.now))
	if w.sent <= budget {
		return into
	}
	into = append(into, Effect{At: w.now, Kind: Fell, Work: w.sent, Budget: budget})
	w.sync(w.now)
	into = w.down(w.now, into)
	w.fallen = true
	return into
}

// fewCalls is the number of calls under which chance is allowed more.
const fewCalls = 30

// bears is the work that a cold process of this capacity can be sent within FallWindow. Beside what the multiple gives, which is N calls
// of mean work, it allows for chance: twice the root of N and two calls more, three times the root and three more for under 30.
func (s *Spec) bears(capacity float64) Time {
	budget := Time(s.FallMultiple * capacity * float64(s.FallWindow))
	if s.FallMean <= 0 {
		return budget + s.FallSlack
	}
	calls := float64(budget) / float64(s.FallMean)
	times := 2.0
	if calls < fewCalls {
		times = 3
	}
	chance := times*math.Sqrt(calls) + times
	return budget + s.FallSlack + Time(chance*float64(s.FallMean))
}

// Cancel gives an attempt up: its work stops. known is false if it is over already, or was never here.
func (w *Worker) Cancel(now Time, attempt int64, into []Effect) (effects []Effect, known bool) {
	into = w.Advance(now, into)
	t := w.byAttempt[attempt]
	if t == nil {
		return into, false
	}
	w.sync(w.now)
	if t.at >= 0 {
		w.remove(t)
	} else {
		w.unlink(t)
	}
	into = w.over(w.now, t, Cancelled, into)
	into = w.begin(w.now, into)
	w.plan()
	return into, true
}

// Advance does all that happens up to and including now.
func (w *Worker) Advance(now Time, into []Effect) []Effect {
	w.now = max(w.now, now)
	for {
		at := min(w.endAt, w.clearAt)
		if at > w.now || at == never {
			return into
		}
		ends, clears := w.endAt == at, w.clearAt == at
		w.sync(at)
		if clears {
			w.overhead = 0
		}
		if ends {
			// The time was rounded up to a whole nanosecond, but the sums may still fall short by less than one.
			w.done = max(w.done, w.running[0].end)
			for len(w.running) > 0 && w.running[0].end <= w.done {
				t := w.running[0]
				w.remove(t)
				state := Done
				if w.spec.ErrorRate > 0 && w.rand.Float64() < w.spec.ErrorRate {
					state = Failed
				}
				into = w.over(at, t, state, into)
			}
			into = w.begin(at, into)
		}
		w.plan()
	}
}

// Next is when something next happens by itself; false if nothing will.
func (w *Worker) Next() (Time, bool) {
	at := min(w.endAt, w.clearAt)
	return at, at != never
}

// Snapshot is what a worker looks like from outside.
type Snapshot struct {
	Life                          int
	Running, Waiting, Connections int
	Alive, Draining, Fallen       bool    // Fallen: pushed over, and not started since
	Capacity                      float64 // work that all cores do in a second, connections aside; 0 if not alive
}

// State is how it stands at the latest time that it was told.
func (w *Worker) State() Snapshot {
	s := Snapshot{Life: w.life, Running: len(w.running), Waiting: w.waiting, Connections: w.conns,
		Alive: w.alive, Draining: w.draining, Fallen: w.fallen}
	if w.alive {
		s.Capacity = w.capacity(w.now)
	}
	return s
}

// capacity is the work that it can do per time.
func (w *Worker) capacity(at Time) float64 {
	return float64(w.spec.Cores) * w.spec.Speed * w.ramp(at) / w.factor
}

func (w *Worker) ramp(at Time) float64 {
	if at >= w.warm {
		return 1
	}
	return w.cold + (1-w.cold)*float64(at-w.start)/float64(w.warm-w.start)
}

// gained is the integral of the ramp from the last change until at.
func (w *Worker) gained(at Time) float64 {
	x := float64(at - w.since)
	if w.since >= w.warm {
		return x
	}
	in := float64(min(at, w.warm) - w.since)
	slope := (1 - w.cold) / float64(w.warm-w.start)
	return in*(w.ramp(w.since)+slope*in/2) + (x - in)
}

// when is the time at which the integral of the ramp from the last change on reaches d.
func (w *Worker) when(d float64) Time {
	if !(d > 0) {
		return w.since
	}
	x := d
	if w.since < w.warm {
		left := float64(w.warm - w.since)
		slope, share := (1-w.cold)/float64(w.warm-w.start), w.ramp(w.since)
		if whole := left * (share + slope*left/2); d >= whole {
			x = left + (d - whole)
		} else {
			x = 2 * d / (share + math.Sqrt(share*share+2*slope*d))
		}
	}
	x = math.Ceil(x - 1e-3) // what is left of sums is no nanosecond
	if x > float64(never/2) || w.since > never/2 {
		return never
	}
	return w.since + Time(x)
}

// sync brings the state to a time at which something changes.
func (w *Worker) sync(at Time) {
	if !w.alive {
		return
	}
	given := w.gained(at) * w.pace
	w.done += given * w.share
	w.overhead = max(w.overhead-given*w.spare, 0)
	w.since = at
	if len(w.running) == 0 {
		w.done = 0
	}
}

// plan works out what follows from the state.
func (w *Worker) plan() {
	w.endAt, w.clearAt = never, never
	if !w.alive {
		return
	}
	w.pace = w.spec.Speed / w.factor
	if w.spec.Conns > 0 {
		w.pace *= max(1-w.spec.FullTax*float64(w.conns)/float64(w.spec.Conns), leastTax)
	}
	cores := int64(w.spec.Cores) * unit
	idle := cores - w.usedSlots
	w.share = 1
	if idle < 0 {
		w.share = float64(cores) / float64(w.usedSlots)
	}
	w.spare = float64(idle) / unit
	if idle < unit {
		w.spare = float64(w.spec.Cores)
		if w.overhead > 0 {
			w.share = 0
		}
	}
	if w.overhead > 0 {
		w.clearAt = w.when(w.overhead / (w.spare * w.pace))
	}
	if len(w.running) > 0 && w.share > 0 {
		w.endAt = w.when((w.running[0].end - w.done) / (w.share * w.pace))
	}
}

// begin starts what waits, in order, as far as it fits.
func (w *Worker) begin(at Time, into []Effect) []Effect {
	for w.first != nil && w.usedSlots+w.first.slots <= w.slots && w.usedMem+w.first.mem <= w.mem {
		t := w.first
		w.unlink(t)
		if w.spec.DropsExpired && t.Until > 0 && t.Until <= at {
			into = w.over(at, t, Cancelled, into)
			continue
		}
		if len(w.running) == 0 {
			w.done = 0
		}
		w.order++
		t.order, t.begun, t.end = w.order, w.done, w.done+max(float64(t.Work), 0)
		w.usedSlots += t.slots
		w.usedMem += t.mem
		w.push(t)
		into = append(into, Effect{At: at, Kind: Began, Attempt: t.Attempt, Request: t.Request, Ran: true})
	}
	return into
}

// over ends a job that is in neither the heap nor the queue any more, or whose worker forgets both.
func (w *Worker) over(at Time, t *task, state State, into []Effect) []Effect {
	e := Effect{At: at, Kind: Over, Attempt: t.Attempt, Request: t.Request, State: state, Ran: t.order > 0}
	if e.Ran {
		e.Work = Time(math.Round(min(max(w.done-t.begun, 0), t.end-t.begun)))
	}
	if state == Done {
		e.Result = "r-" + t.Request + "-" + w.spec.Name + "-" + strconv.Itoa(w.life) + "-" +
			strconv.FormatInt(t.Attempt, 10)
		e.First = t.Key == "" || w.keys.effect(t.Key, at, t.Window)
	}
	delete(w.byAttempt, t.Attempt)
	*t = task{next: w.free}
	w.free = t
	return append(into, e)
}

func (w *Worker) take() *task {
	t := w.free
	if t == nil {
		return &task{}
	}
	w.free = t.next
	t.next = nil
	return t
}

func (w *Worker) link(t *task) {
	t.prev, t.next = w.last, nil
	if w.last == nil {
		w.first = t
	} else {
		w.last.next = t
	}
	w.last = t
	w.waiting++
}

func (w *Worker) unlink(t *task) {
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

// remove takes a running job out of the heap and frees its room.
func (w *Worker) remove(t *task) {
	w.usedSlots -= t.slots
	w.usedMem -= t.mem
	i, n := t.at, len(w.running)-1
	w.running[i] = w.running[n]
	w.running[i].at = i
	w.running[n] = nil
	w.running = w.running[:n]
	if i < n {
		w.sink(i)
		w.rise(i)
	}
}

func (w *Worker) push(t *task) {
	t.at = len(w.running)
	w.running = append(w.running, t)
	w.rise(t.at)
}

func (w *Worker) less(i, j int) bool {
	a, b := w.running[i], w.running[j]
	return a.end < b.end || (a.end == b.end && a.order < b.order)
}

func (w *Worker) swap(i, j int) {
	h := w.running
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

func (w *Worker) rise(i int) {
	for i > 0 && w.less(i, (i-1)/2) {
		w.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (w *Worker) sink(i int) {
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
