package policy

// api.go has the interface. The decisions: dispatcher.go (a request's life, the guard of the four rules),
// split.go (the paper's target rates, the draw), estimate.go (speed, slots, occupancy, health), shed.go (whom
// to refuse when connection slots run out).

import (
	"time"
)

// Tokens of timers: a request's id, or one of these, which lie above every id.
const (
	tokenSolve = 1<<52 + iota
	tokenAsk
	tokenStop
)

// begin sets the first timers, with the seed's phase, so that dispatchers do not solve or ask together.
func (d *Dispatcher) begin(now time.Duration, acts []Action) []Action {
	d.begun = true
	d.agedAt = now
	acts = append(acts, Action{Kind: SetTimer, Token: tokenSolve, At: now + d.jitter(solvePeriod)})
	if d.set.Subscribe {
		spread := d.set.AskEvery / 2
		acts = append(acts, Action{Kind: SetTimer, Token: tokenAsk, At: now + d.jitter(spread)})
	}
	return acts
}

// List takes news of the workers.
func (d *Dispatcher) List(now time.Duration, kind ListKind, entries []Entry, acts []Action) []Action {
	if !d.begun {
		acts = d.begin(now, acts)
	}
	switch kind {
	case ListFailed:
		// Ask again, later each time and never in step with the others.
		d.subscribed = false
		d.asks = min(d.asks+1, 4)
		wait := min(d.set.AskEvery/4, time.Second<<d.asks)
		return append(acts, Action{Kind: SetTimer, Token: tokenAsk, At: now + wait/4 + d.jitter(wait)})
	case ListFull, ListCached:
		for i := range d.workers {
			d.workers[i].listed = false
		}
	}
	if kind != ListCached {
		d.asks = 0
	}
	for i := range entries {
		d.entry(now, &entries[i])
	}
	d.dirty = true
	for _, r := range d.open {
		acts = d.abandonOf(r, acts)
	}
	return acts
}

// abandonOf gives up r's attempts at workers that have left the list, or started anew, since.
func (d *Dispatcher) abandonOf(r *request, acts []Action) []Action {
	if r.ended || !d.set.Cancel || d.set.Classes[r.class].Effect == Unsafe {
		return acts
	}
	for k := range r.attempts {
		a := &r.attempts[k]
		if w := &d.workers[a.worker]; a.out && (!w.listed || a.sent < w.started) {
			acts = append(acts, Action{Kind: CancelSend, Request: r.id, Attempt: k})
		}
	}
	return acts
}

// Request takes a job that came in.
func (d *Dispatcher) Request(now time.Duration, q Request, acts []Action) []Action {
	if !d.begun {
		acts = d.begin(now, acts)
	}
	if q.Class < 0 || q.Class >= len(d.set.Classes) {
		return append(acts, Action{Kind: Refuse, Request: q.ID}) // no repeat would go better
	}
	r := d.admit(now, &q)
	if acts = d.shed(now, part(q.ConnectionSlots, mostOpen), acts); r.ended {
		return acts
	}
	acts = d.enter(now, r, acts)
	return d.shed(now, part(q.ConnectionSlots, mostWaiting), acts)
}

// enter places a request that nothing is out for, behind those that are held back already.
func (d *Dispatcher) enter(now time.Duration, r *request, acts []Action) []Action {
	if p := r.pool; p.limit > 0 && (len(p.parked) > 0 || p.held+r.slots > p.limit) {
		return d.release(now, p, d.hold(now, r, acts))
	}
	return d.place(now, r, acts)
}

// Resume takes a request that another host had taken before, with the attempts that it had made, in order.
// The rules hold over both: what may have run counts, and one that is out is waited for as though sent here.
func (d *Dispatcher) Resume(now time.Duration, q Request, past []Past, acts []Action) []Action {
	if !d.begun {
		acts = d.begin(now, acts)
	}
	if q.Class < 0 || q.Class >= len(d.set.Classes) {
		return append(acts, Action{Kind: Fail, Request: q.ID})
	}
	r := d.admit(now, &q)
	if !d.carryOver(now, r, past) { // nothing that follows could be guarded
		return d.end(r, append(acts, Action{Kind: Fail, Request: r.id}))
	}
	if r.out > 0 {
		return d.abandonOf(r, acts)
	}
	return d.enter(now, r, acts)
}

// hold keeps r back while its pool holds all the slots that it may.
func (d *Dispatcher) hold(now time.Duration, r *request, acts []Action) []Action {
	wait := d.slack(now, r)
	if wait <= 0 {
		return d.finish(now, r, acts)
	}
	r.held = true
	r.pool.parked = append(r.pool.parked, r)
	return r.wake(now+wait, acts)
}

// release places held requests, those of most worth for a slot-second first, while there is room.
func (d *Dispatcher) release(now time.Duration, p *pool, acts []Action) []Action {
	for len(p.parked) > 0 {
		best := p.parked[0]
		for _, r := range p.parked[1:] {
			if r.density > best.density {
				best = r
			}
		}
		if p.limit > 0 && p.held >= p.limit && d.spared(now, best) < 0 { // the limit is on queues
			return acts
		}
		d.unhold(best)
		acts = d.place(now, best, acts)
	}
	return acts
}

// place sends r to a worker, parks it, or ends it.
func (d *Dispatcher) place(now time.Duration, r *request, acts []Action) []Action {
	if d.dirty {
		d.resolve(now)
	}
	if now >= r.deadline || len(r.attempts) >= d.set.MaxAttempts || !d.repeatable(r) || d.stopped(now) {
		return d.finish(now, r, acts)
	}
	if i := d.draw(now, r); i >= 0 {
		return d.send(now, r, i, acts)
	}
	return d.park(now, r, d.slack(now, r)/4, acts)
}

// slack is how long r can still wait and be worth something.
func (d *Dispatcher) slack(now time.Duration, r *request) time.Duration {
	return r.aim - now - seconds(r.work*d.fastest())
}

// fastest is the slowness of the fastest kind at the moment.
func (d *Dispatcher) fastest() float64 {
	f := 0.0
	for k := range d.kinds {
		if s := d.kinds[k].base; s > 0 && (f == 0 || s < f) {
			f = s
		}
	}
	return f * d.slowdown
}

// park holds r back for a while; if it would be of no use afterwards, it ends now.
func (d *Dispatcher) park(now time.Duration, r *request, wait time.Duration, acts []Action) []Action {
	wait = max(wait, 5*time.Millisecond)
	if d.slack(now, r) < wait || now+wait >= r.deadline {
		return d.finish(now, r, acts)
	}
	r.parked = true
	return r.wake(now+wait, acts)
}

// finish gives r its final answer: a refusal where a repeat is harmless, else a failure. The times to stay
// away are drawn over all that clients comply with: refused together, they would come back together.
func (d *Dispatcher) finish(now time.Duration, r *request, acts []Action) []Action {
	if r.ended {
		return acts
	}
	answer := Action{Kind: Refuse, Request: r.id, RetryIn: d.jitter(d.set.MaxRetryAfter)}
	if !d.harmless(r) {
		answer = Action{Kind: Fail, Request: r.id}
	}
	return d.end(r, append(acts, answer))
}

// end closes r and lets go of what is still out for it.
func (d *Dispatcher) end(r *request, acts []Action) []Action {
	r.ended = true
	if r.held {
		d.unhold(r)
	}
	if d.set.Cancel {
		for k := range r.attempts {
			if r.attempts[k].out {
				acts = append(acts, Action{Kind: CancelSend, Request: r.id, Attempt: k})
			}
		}
	}
	d.drop(r)
	return acts
}

// harmless tells whether the client may be told that a repeat does no harm.
func (d *Dispatcher) harmless(r *request) bool {
	c := &d.set.Classes[r.class]
	return c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll || r.out == 0 && !r.mayHaveRun()
}

// repeatable tells whether another attempt may be sent to any worker at all.
func (d *Dispatcher) repeatable(r *request) bool {
	once := d.set.Classes[r.class].Effect == Unsafe
	return d.set.SecondCopies && !once || r.out == 0 && !(once && r.mayHaveRun())
}

// mayHaveRun tells whether an attempt that is over may have run.
func (r *request) mayHaveRun() bool {
	for k := range r.attempts {
		if r.attempts[k].mayRun {
			return true
		}
	}
	return false
}

// windowMargin is kept between the last repeat of a keyed request and the end of its window.
const windowMargin = 50 * time.Millisecond

// allowed is the guard that every send passes. It checks the four rules for sending r to worker i.
func (d *Dispatcher) allowed(now time.Duration, r *request, i int) bool {
	w := &d.workers[i]
	// Rule 1: nothing for a request that has ended or whose client has given up.
	if r.ended || now >= r.deadline || len(r.attempts) >= d.set.MaxAttempts {
		return false
	}
	// Rule 3: nothing to a worker that is told to drain or be gone, from that moment on.
	if !w.listed || w.state != Ready {
		return false
	}
	// Rule 2: no effect twice.
	c := &d.set.Classes[r.class]
	for k := range r.attempts {
		a := &r.attempts[k]
		if c.Effect == Unsafe && int(a.worker) == i {
			return false // late news of that attempt could not be told from news of this one
		}
		if !a.out && !a.mayRun {
			continue
		}
		if a.out && !d.set.SecondCopies {
			return false
		}
		switch c.Effect {
		case Unsafe:
			return false
		case Keyed:
			first := &d.workers[a.worker]
			if now-a.sent+windowMargin+d.set.DialTimeout > c.Window || // until its connection is up
				(c.Group == GroupZone && first.zone != w.zone) ||
				(c.Group == GroupCell && first.cell != w.cell) {
				return false
			}
		}
	}
	if c.Kind >= 0 && w.kind != c.Kind {
		return false
	}
	// Rule 4: a cold worker gets no more than this dispatcher's part of its budget.
	if d.warmth(w, now) < 1 && !d.turn(w, now) {
		return false
	}
	if w.awayUntil > now || d.cut(w, now) {
		return false
	}
	// Health: not while shut out, and one job at a time on the way back.
	if !d.crowded && (w.shutUntil > now || (w.shutFor > 0 && w.tries > 0)) {
		return false
	}
	return true
}

// send starts an attempt of r at worker i. It is the only place that makes a Send.
func (d *Dispatcher) send(now time.Duration, r *request, i int, acts []Action) []Action {
	if !d.allowed(now, r, i) {
		return d.finish(now, r, acts)
	}
	w := &d.workers[i]
	w.credit = -d.debt(w, r.work*r.slots)
	w.held += r.slots
	r.pool.held += r.slots
	r.pool.turned.sent++
	d.zoned(w).sent++
	w.tries++
	w.waiting++
	w.sentAt = now
	if w.awayFor > 0 {
		w.awayUntil = now + w.awayFor // one job finds out
	}
	r.out++
	r.attempts = append(r.attempts, attempt{worker: int32(i), out: true, held: r.slots, sent: now, blamed: 1})
	var timeout time.Duration
	if r.pool.limit > 0 && !d.set.TellsStart {
		// In a jam a queue full of jobs that are late anyway makes those behind them late as well.
		timeout = max(r.aim-now, minLeft) + (r.aim-r.born)/4
	}
	var ack time.Duration
	if d.set.Classes[r.class].Effect != Unsafe {
		// A live worker takes a job at once, and this one may go elsewhere. One that must not run twice
		// can only wait: an answer may yet come, and nothing could be sent after this attempt.
		ack = 2 * d.set.DialTimeout
	}
	acts = append(acts, Action{Kind: Send, Request: r.id, Worker: w.id, Timeout: timeout, TakenIn: ack})
	if d.movable(r) {
		late := d.slack(now, r) - seconds(d.meanWork*d.fastest()) // by when a wait of a mean run is too long
		acts = r.wake(now+max(late, d.zoned(w).startDelay.Due(d.set.DialTimeout)), acts)
	}
	return acts
}

// movable tells whether r, with one attempt out, may be taken back and sent elsewhere.
func (d *Dispatcher) movable(r *request) bool {
	return d.set.TellsStart && d.set.Cancel && d.set.budget() > 1 && r.out == 1 &&
		len(r.attempts) < d.set.MaxAttempts && d.set.Classes[r.class].Effect != Unsafe
}

// move takes r back from a worker that has no slot free, once waiting may make it late, if a draw finds one
// of which nothing says that it is full. Not every worker stops what is taken back, and none tells: no more
// goes this way than a share of what comes in.
func (d *Dispatcher) move(now time.Duration, r *request, acts []Action) []Action {
	k := len(r.attempts) - 1
	a := &r.attempts[k]
	if !d.movable(r) || !a.out || a.started > 0 || d.stopped(now) || d.slack(now, r) <= 0 {
		return acts
	}
	a.out, a.mayRun = false, true // as it will be
	i := d.draw(now, r)
	elsewhere := i >= 0 && d.rank(now, r, i) <= rankTarget
	if a.out = true; !elsewhere || d.twice < r.work*r.slots {
		return acts
	}
	d.twice -= r.work * r.slots
	d.zoned(&d.workers[a.worker]).full++ // it had no room
	return append(acts, Action{Kind: CancelSend, Request: r.id, Attempt: k})
}

// Outcome takes the end of an attempt.
func (d *Dispatcher) Outcome(now time.Duration, o Outcome, acts []Action) []Action {
	r := d.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].out {
		return acts
	}
	a := &r.attempts[o.Attempt]
	w := &d.workers[a.worker]
	a.out, a.mayRun = false, !o.Status.Proves()
	r.out--
	w.held = max(0, w.held-a.held)
	w.tries--
	if a.started == 0 {
		w.waiting--
	}
	p := r.pool
	p.held = max(0, p.held-a.held)
	d.report(w, now, o.Report)
	acts = d.learn(now, r, a, w, o, acts)
	acts = d.next(now, r, o, acts)
	d.adjust(p, now)
	return d.release(now, p, acts)
}

// next decides what follows the end of an attempt.
func (d *Dispatcher) next(now time.Duration, r *request, o Outcome, acts []Action) []Action {
	switch {
	case r.ended:
		d.drop(r)
		return acts
	case o.Closed || o.Status == OK:
		return d.end(r, acts)
	case r.out > 0: // the other copy may still answer
		return acts
	case o.Status == TimedOut:
		return d.finish(now, r, acts)
	}
	if o.Status == Full {
		if r.fulls++; r.fulls > 2 {
			// The last attempts are spread over the time in which they can still be useful.
			left := max(1, d.set.MaxAttempts-len(r.attempts))
			return d.park(now, r, d.slack(now, r)/time.Duration(left+1), acts)
		}
	}
	return d.place(now, r, acts)
}

// learn draws from an outcome what it says of the worker. Only a served job is a run-time sample.
func (d *Dispatcher) learn(now time.Duration, r *request, a *attempt, w *worker, o Outcome,
	acts []Action) []Action {
	switch o.Status {
	case OK:
		d.served(w, now)
		run := o.Elapsed
		if a.started > 0 {
			run = now - a.started
		}
		if d.warmth(w, now) == 1 {
			d.sample(w, r, run.Seconds())
		}
	case Full:
		d.zoned(w).full++
		r.pool.turned.full++
		r.pool.see(1) // no room at all is the longest wait
		d.turnedDown(w, now)
	case ConnectFailed:
		d.away(w, now)
		d.zoned(w).full++
		if !d.unreached(w, now) {
			d.failed(w, now, 1)
		}
	case Error, Reset:
		if d.failed(w, now, 1) && d.set.Peers && o.Status == Error {
			acts = append(acts, d.tell(w))
		}
	case TimedOut:
		if r.pool.limit == 0 {
			d.failed(w, now, 0.5)
		}
	}
	return acts
}

// Note takes news of an attempt that is still out.
func (d *Dispatcher) Note(now time.Duration, n Note, acts []Action) []Action {
	r := d.requests[n.Request]
	if r == nil || n.Attempt < 0 || n.Attempt >= len(r.attempts) {
		return acts
	}
	a := &r.attempts[n.Attempt]
	if n.Started && a.out && a.started == 0 {
		a.started = now
		d.workers[a.worker].waiting--
		run := seconds(r.work * d.fastest())
		d.zoned(&d.workers[a.worker]).startDelay.Observe(now-a.sent, d.set.DialTimeout)
		d.waited(r.pool, &d.workers[a.worker], now-a.sent, r.aim-r.born-run)
	}
	return acts
}

// Stop takes the word that the host ends at by. What is open then, or comes later, is answered at once.
func (d *Dispatcher) Stop(by time.Duration, acts []Action) []Action {
	d.stopBy = by
	return append(acts, Action{Kind: SetTimer, Token: tokenStop, At: by})
}

// stopped tells whether the host is about to end.
func (d *Dispatcher) stopped(now time.Duration) bool { return d.stopBy > 0 && now >= d.stopBy }

// Gone takes the early leave of a client.
func (d *Dispatcher) Gone(now time.Duration, id RequestID, acts []Action) []Action {
	if r := d.requests[id]; r != nil && !r.ended {
		return d.end(r, acts)
	}
	return acts
}

// Timer takes a timer that came due.
func (d *Dispatcher) Timer(now time.Duration, token uint64, acts []Action) []Action {
	switch token {
	case tokenSolve:
		d.overdue(now)
		d.resolve(now)
		at := now + solvePeriod*3/4 + d.jitter(solvePeriod/2)
		return append(acts, Action{Kind: SetTimer, Token: tokenSolve, At: at})
	case tokenStop:
		for _, r := range append([]*request(nil), d.open...) {
			acts = d.finish(now, r, acts)
		}
		return acts
	case tokenAsk:
		if d.subscribed {
			return acts
		}
		d.subscribed = true
		return append(acts, Action{Kind: Subscribe})
	}
	r := d.requests[RequestID(token)]
	switch {
	case r == nil || r.ended || now < r.wakeAt: // an earlier timer
		return acts
	case r.out > 0:
		return d.move(now, r, acts)
	case r.held:
		// Whatever the slack is by now: a held request has no other timer, and would be lost.
		return d.finish(now, r, acts)
	case r.parked:
		r.parked = false
		return d.place(now, r, acts)
	}
	return acts
}

// overdue counts attempts that run far longer than expected against their workers before they end: a
// paused or slowed worker answers late or never, and would keep its ξ until then.
func (d *Dispatcher) overdue(now time.Duration) {
	for _, r := range d.open {
		for k := range r.attempts {
			a := &r.attempts[k]
			if !a.out {
				continue
			}
			w := &d.workers[a.worker]
			from := max(a.sent, a.started)
			ratio := (now - from).Seconds() / (r.work * d.slowness(w))
			if ratio < 2*a.blamed*(1+d.kinds[w.kind].spread()) {
				continue
			}
			a.blamed = ratio
			w.slowSum += min(ratio, sampleCap) * d.slowness(w)
			w.slowN++
		}
	}
}
