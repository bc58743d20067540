package fleet

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"laddertide/core/history"
	"laddertide/core/world"
	"laddertide/rehearse/book"
	"laddertide/rehearse/loop"
)

// state is the state of a worker's process and machine.
type state uint8

const (
	down     state = iota // the machine runs, the process does not
	up                    //
	vanished              // the machine is silent
	mute                  // the machine is silent, but new connections are established
)

// worker is one emulated auth worker with its sockets. Locks are taken in the order worker, link, connection.
type worker struct {
	f        *Fleet
	index    int
	spec     world.Spec
	links    []*link // by scheduler
	noLeases bool    // it does not support leases

	mu         sync.Mutex
	model      *world.Worker
	state      state
	starts     []time.Time // by life - 1
	attempts   map[int64]*attempt
	byID       map[string][]*attempt // open attempts by request id
	lost       []*attempt            // by the end of the process that is being handled
	fallen     bool                  // that end came from the model, under overload
	effects    []world.Effect
	timer      *time.Timer
	timerAt    world.Time // when the timer is set to fire; 0: not set
	changes    []Change   // not delivered to OnChange yet
	delivering bool       // a goroutine is delivering changes
}

// attempt is one transmission of a job. Fields that change are guarded by the worker's mutex.
type attempt struct {
	number int64
	id     string
	life   int
	link   *link
	job    world.Job

	lease  uint64 // number for its call-backs; 0: none
	unsafe bool   // the job must never run twice

	submitted, taken, full, over bool
	withdrawn                    bool // given up before it was submitted
}

// noLeasesOneIn: one in this many workers does not support leases.
const noLeasesOneIn = 4

func newWorker(f *Fleet, index int, spec world.Spec, keys *world.Keys) *worker {
	seed := f.cfg.Seed + uint64(index+1)*0x9e3779b97f4a7c15
	w := &worker{f: f, index: index, spec: spec, model: world.NewWorker(spec, keys, seed),
		attempts: map[int64]*attempt{}, byID: map[string][]*attempt{}}
	w.noLeases = rand.New(rand.NewPCG(seed, 0x1ea5e)).IntN(noLeasesOneIn) == 0
	w.timer = time.AfterFunc(time.Hour, w.tick)
	w.timer.Stop()
	return w
}

// bind creates the link between the worker and a scheduler.
func (w *worker) bind(scheduler int) error {
	s := w.f.cfg.Schedulers[scheduler]
	l := &link{w: w, scheduler: scheduler, name: s.Name, callBack: s.CallBack, callBackVia: s.CallBack,
		delay: w.f.cfg.Delay(w.spec.Zone, s.Zone), conns: map[*conn]struct{}{}, callBackConns: map[*callBackConn]struct{}{},
		pending: map[int64]*pendingCallBacks{}}
	l.reaper = time.AfterFunc(time.Hour, l.closeIdle)
	l.reaper.Stop()
	if s.CallBackVia != nil {
		var err error
		if l.callBackVia, err = s.CallBackVia(w.spec.Name); err != nil {
			return err
		}
	}
	door, err := loop.NewDoor(w.f.cfg.Net.Next(), l.admit)
	if err != nil {
		return err
	}
	l.listener = door
	w.links = append(w.links, l)
	return nil
}

// lock locks the worker and advances its model to the current time, which it returns.
func (w *worker) lock() world.Time {
	w.mu.Lock()
	now := w.f.now()
	w.apply(w.model.Advance(now, w.effects[:0]))
	return now
}

// apply executes effects of the model, and keeps their slice for reuse.
func (w *worker) apply(effects []world.Effect) {
	w.effects = effects
	w.dispatch(effects)
}

// unlock sets the timer, delivers changes to OnChange, and unlocks the worker.
func (w *worker) unlock() {
	next, ok := w.model.Next()
	switch {
	case !ok || w.f.closed.Load():
		if w.timerAt != 0 {
			w.timer.Stop()
			w.timerAt = 0
		}
	case next != w.timerAt:
		w.timer.Reset(next - w.f.now())
		w.timerAt = next
	}
	if w.delivering {
		w.mu.Unlock()
		return
	}
	for len(w.changes) > 0 {
		list := w.changes
		w.changes, w.delivering = nil, true
		w.mu.Unlock()
		for _, c := range list {
			w.f.cfg.OnChange(c)
		}
		w.mu.Lock()
		w.delivering = false
	}
	w.mu.Unlock()
}

func (w *worker) tick() {
	if w.f.closed.Load() {
		return
	}
	w.lock()
	w.timerAt = 0
	w.unlock()
}

func (w *worker) addChange(status history.Status, silent bool) {
	if w.f.cfg.OnChange != nil {
		w.changes = append(w.changes, Change{w.index, w.spec.Name, status, w.model.Life(), silent})
	}
}

func (w *worker) event(kind history.Kind) history.Event {
	return history.Event{T: micros(w.f.now()), Kind: kind, Worker: w.spec.Name, Life: w.model.Life()}
}

// startOf returns when a process of the worker started; zero: the first process, or there was no such process.
func (w *worker) startOf(life int) time.Time {
	if life < 2 || life > len(w.starts) {
		return time.Time{}
	}
	return w.starts[life-1]
}

func (w *worker) busy() int {
	n := len(w.attempts)
	for _, l := range w.links {
		l.mu.Lock()
		n += len(l.pending)
		l.mu.Unlock()
	}
	return n
}

// dispatch executes effects: it records them, queues call-backs, and ends a process that has fallen under overload.
func (w *worker) dispatch(effects []world.Effect) {
	for i := range effects {
		e := &effects[i]
		t := micros(e.At)
		if e.Kind == world.ColdOverload {
			w.f.record(history.Event{T: t, Kind: history.KindColdOverload, Worker: w.spec.Name, Life: w.model.Life(),
				Work: e.Work.Microseconds(), Budget: e.Budget.Microseconds()})
			w.fallen = true
			continue
		}
		a := w.attempts[e.Attempt]
		if a == nil {
			continue
		}
		switch e.Kind {
		case world.Accepted:
			a.taken = true
		case world.Full:
			a.full = true
			w.endAttempt(a, t, history.Event{State: history.StateFull})
		case world.Began:
			w.f.record(history.Event{T: t, Kind: history.KindAttemptBegan, Attempt: a.number})
			a.link.notify(a, history.StateStarted, "")
		case world.Ended:
			state := history.State(e.State)
			w.endAttempt(a, t, history.Event{State: state, Result: e.Result, Ran: e.Ran, Effect: e.TakesEffect && e.State == world.Done,
				Work: e.Work.Microseconds()})
			switch e.State {
			case world.Lost:
				w.lost = append(w.lost, a) // reported by the machine's agent, if any
			case world.Cancelled:
				a.link.dropAttempt(a) // the scheduler needs no further call-backs
			default:
				a.link.notify(a, state, e.Result)
			}
		}
	}
	if w.fallen {
		w.fallen = false
		w.handleProcessEnd(down)
		w.addChange(history.Deleted, false)
	}
}

// endAttempt records how an attempt ended and removes it from the open ones.
func (w *worker) endAttempt(a *attempt, t int64, ev history.Event) {
	ev.T, ev.Kind, ev.Attempt = t, history.KindAttemptOver, a.number
	w.f.record(ev)
	a.over = true
	delete(w.attempts, a.number)
	list := w.byID[a.id]
	for i, b := range list {
		if b == a {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(w.byID, a.id)
	} else {
		w.byID[a.id] = list
	}
}

// handleProcessEnd handles the end of a process: attempts not yet submitted to the model are lost too, and the sockets
// change their mode. Attempts whose end has not been reported to schedulers are reported as lost by the agent, or never
// if the machine is silent.
func (w *worker) handleProcessEnd(to state) {
	now := micros(w.f.now())
	for _, a := range w.attempts {
		w.endAttempt(a, now, history.Event{State: history.StateLost})
	}
	w.state = to
	lost := w.lost
	w.lost = nil
	for _, l := range w.links {
		lost = append(lost, l.dropPending(to != down)...)
		_ = l.updateSockets() // a caller that can return an error calls it again
		if !l.silent {
			l.closeConns(true)
		}
	}
	if to != down || len(lost) == 0 {
		return
	}
	time.AfterFunc(w.f.cfg.AgentDelay, func() { w.reportLost(lost) })
}

// reportLost reports the jobs that a process had when it died as lost. For a job that had not been taken, the end of
// its connection is the report.
func (w *worker) reportLost(lost []*attempt) {
	if w.f.closed.Load() {
		return
	}
	w.lock()
	defer w.unlock()
	silent := w.state == vanished || w.state == mute
	seen := map[int64]bool{}
	for _, a := range lost {
		if !a.taken || seen[a.number] {
			continue
		}
		seen[a.number] = true
		if silent {
			a.link.recordUndelivered(a, history.StateLost, 0, silentNote)
			continue
		}
		a.link.notify(a, history.StateLost, "")
	}
}

// start starts a process.
func (w *worker) start(cold bool) error {
	now := w.lock()
	defer w.unlock()
	if w.state == up {
		return nil
	}
	w.apply(w.model.Start(now, cold, w.effects[:0]))
	w.starts = append(w.starts, w.f.cfg.Record.At(now))
	w.state = up
	ev := w.event(history.KindWorkerStart)
	ev.Cold = 1
	if cold {
		ev.Cold, ev.Warm = w.spec.Cold, w.spec.Warm.Microseconds()
	}
	w.f.record(ev)
	if w.model.Life() > 1 {
		w.addChange(history.Serving, false)
	}
	return w.updateSockets()
}

// updateSockets sets the mode of the sockets from the worker's state.
func (w *worker) updateSockets() error {
	var err error
	for _, l := range w.links {
		if e := l.updateSockets(); e != nil && err == nil {
			err = e
		}
	}
	return err
}

// die ends the process, and for some states silences the machine.
func (w *worker) die(to state, kind history.Kind) error {
	now := w.lock()
	defer w.unlock()
	if w.state == to || (to == down && w.state != up) {
		return nil
	}
	was := w.state
	w.f.record(w.event(kind))
	w.apply(w.model.Kill(now, w.effects[:0]))
	w.handleProcessEnd(to)
	if was == up {
		w.addChange(history.Deleted, to != down)
	}
	return w.updateSockets()
}

func (w *worker) drain() {
	now := w.lock()
	defer w.unlock()
	if w.state != up || w.model.State().Draining {
		return
	}
	w.f.record(w.event(history.KindDrain))
	w.apply(w.model.Drain(now, w.effects[:0]))
	w.addChange(history.Draining, false)
}

func (w *worker) stop() (bool, error) {
	now := w.lock()
	defer w.unlock()
	if w.state != up {
		return true, nil
	}
	if w.busy() > 0 {
		return false, nil
	}
	w.f.record(w.event(history.KindWorkerStop))
	w.apply(w.model.Kill(now, w.effects[:0]))
	w.state = down
	var err error
	for _, l := range w.links {
		if !l.silent {
			l.closeConns(false)
		}
		if e := l.updateSockets(); e != nil && err == nil {
			err = e
		}
	}
	w.addChange(history.Deleted, false)
	return true, err
}

func (w *worker) cut(scheduler int, on bool) error {
	w.lock()
	defer w.unlock()
	l := w.links[scheduler]
	if l.cut == on {
		return nil
	}
	ev := w.event(history.KindNetworkCut)
	ev.Life, ev.Scheduler, ev.On = 0, l.name, on
	w.f.record(ev)
	l.cut = on
	return l.updateSockets()
}

func (w *worker) slow(factor float64) {
	now := w.lock()
	defer w.unlock()
	ev := w.event(history.KindSlow)
	ev.Factor = factor
	w.f.record(ev)
	w.apply(w.model.SetSlowdown(now, factor, w.effects[:0]))
}

func (w *worker) close() {
	for _, l := range w.links {
		l.listener.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	for _, l := range w.links {
		l.close()
	}
}

// lookUpJob finds the job of a message in the book; if there is none, note says why.
func (w *worker) lookUpJob(m *message) (job world.Job, unsafe bool, note string) {
	if m.id == "" {
		return world.Job{}, false, "it has no id"
	}
	entry, same, known := w.f.cfg.Book.Read(m.id, book.Sum(m.method, m.target, m.id, m.key, m.body))
	if !known && w.f.cfg.EstimateJob != nil {
		entry, known = w.f.cfg.EstimateJob(m.class, m.key, m.hint)
		same = known
	}
	switch {
	case !known:
		return world.Job{}, false, "no client has sent this id"
	case !same || w.f.cfg.Book.Stolen(m.id, m.class, m.tenant):
		return world.Job{}, false, "no client has sent this id in this form"
	case entry.Class < 0 || entry.Class >= len(w.f.cfg.Classes):
		return world.Job{}, false, "its class is none of the setup"
	}
	job = world.Job{Request: m.id, Key: entry.Key, Work: w.drawWork(m.id, entry), Cost: w.f.cfg.ColdCosts[entry.Class],
		Slots: entry.Slots, Memory: entry.Memory}
	if job.Key != "" {
		job.Window = time.Duration(w.f.cfg.Classes[entry.Class].Window) * time.Microsecond
	}
	if m.timeLimit > 0 {
		job.Until = m.lastByteAt + m.timeLimit
	}
	return job, w.f.classIsUnsafe(entry.Class), ""
}

// drawWork returns how long an attempt runs: a random time whose mean is the job's own time. It depends only on the
// seed, the request and the worker, so that runs that are compared differ by the placement of jobs, not by chance.
func (w *worker) drawWork(id string, entry book.Job) time.Duration {
	if entry.Noise <= 0 {
		return entry.Work
	}
	h := fnv.New64a()
	h.Write([]byte(id))
	z := rand.New(rand.NewPCG(w.f.cfg.Seed+h.Sum64(), uint64(w.index))).NormFloat64()
	return time.Duration(float64(entry.Work) * math.Exp(entry.Noise*z-entry.Noise*entry.Noise/2))
}

// outcome is the immediate outcome of an arriving job.
type outcome uint8

const (
	accepted     outcome = iota // it is on its way to the process, or taken
	notTaken                    // the process refuses it, or it was given up before the process had it
	processEnded                // the process has ended
	neverArrives                // it was sent on a silent connection and never reaches a process
	refused400                  // no client has sent it in this form
	refused404                  // it has no id
)

// addAttempt records a job that has arrived, and keeps it as open if there is a process that may take it.
func (w *worker) addAttempt(c *conn, m *message) (*attempt, outcome) {
	job, unsafe, note := w.lookUpJob(m)
	a := &attempt{number: w.f.attempts.Add(1), id: m.id, life: c.life, link: c.link, job: job, unsafe: unsafe}
	if !w.noLeases {
		a.lease = m.lease
	}
	a.job.Attempt, a.job.Scheduler = a.number, c.link.scheduler
	ev := history.Event{T: micros(m.lastByteAt), Kind: history.KindAttempt, Attempt: a.number, Request: m.id, Worker: w.spec.Name,
		Life: c.life, Scheduler: c.link.name, Lease: m.lease, From: micros(m.firstByteAt), Work: job.Work.Microseconds(),
		Cost: job.Cost.Microseconds(), Limit: m.timeLimit.Microseconds(), Note: note}
	now := micros(w.lock())
	defer w.unlock()
	if c.isSilent() {
		ev.Kind = history.KindAttemptUndelivered
		w.f.record(ev)
		return a, neverArrives
	}
	w.f.record(ev)
	w.attempts[a.number] = a
	w.byID[a.id] = append(w.byID[a.id], a)
	switch {
	case note != "":
		w.endAttempt(a, now, history.Event{State: history.StateRefused})
		if m.id == "" {
			return a, refused404
		}
		return a, refused400
	case w.state != up || w.model.Life() != c.life:
		// Its last byte arrived, but the process died before it processed the job.
		w.endAttempt(a, now, history.Event{State: history.StateLost})
		return a, processEnded
	}
	return a, accepted
}

// submit hands an attempt to the model.
func (w *worker) submit(a *attempt) outcome {
	now := w.lock()
	defer w.unlock()
	switch {
	case a.withdrawn:
		return notTaken
	case a.over, w.state != up, w.model.Life() != a.life:
		return processEnded
	}
	a.submitted = true
	w.apply(w.model.Submit(now, a.job, w.effects[:0]))
	switch {
	case w.state != up: // the process has fallen under overload
		return processEnded
	case a.full:
		return notTaken
	}
	return accepted
}

// cancel cancels an attempt that its scheduler has given up.
func (w *worker) cancel(a *attempt) {
	now := w.lock()
	defer w.unlock()
	switch {
	case a.over || w.state != up:
	case !a.submitted:
		a.withdrawn = true
		w.endAttempt(a, micros(now), history.Event{State: history.StateCancelled})
	default:
		effects, _ := w.model.Cancel(now, a.number, w.effects[:0])
		w.apply(effects)
	}
}

// attemptsOf returns the open attempts of a scheduler for a request at this worker.
func (w *worker) attemptsOf(l *link, id string) []*attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*attempt
	for _, a := range w.byID[id] {
		if a.link == l {
			out = append(out, a)
		}
	}
	return out
}

func (w *worker) recordGivenUp(a *attempt, at time.Duration, how string) {
	w.f.record(history.Event{T: micros(at), Kind: history.KindAttemptCancelled, Attempt: a.number, Note: how})
}
