package policy

// api.go has the interface. The decisions are in dispatcher.go (request lifecycle and the check of the four
// rules), split.go (target rates by the paper's problem (10), drawing a worker), estimate.go (speed, slots,
// occupancy and health of workers) and shed.go (which requests to reject when connections run out).

import (
	"time"
)

// Timer tokens other than request IDs; they are above every request ID.
const (
	tokenSolve = 1<<52 + iota
	tokenAsk
	tokenStop
)

// startTimers sets the first timers with a random phase, so that dispatchers do not solve or ask for the
// list at the same time.
func (d *Dispatcher) startTimers(now time.Duration, acts []Action) []Action {
	d.timersStarted = true
	d.decayedAt = now
	acts = append(acts, Action{Kind: SetTimer, Token: tokenSolve, At: now + d.jitter(solvePeriod)})
	if d.set.Subscribe {
		spread := d.set.AskEvery / 2
		acts = append(acts, Action{Kind: SetTimer, Token: tokenAsk, At: now + d.jitter(spread)})
	}
	return acts
}

// List applies a worker list, or changes of it.
func (d *Dispatcher) List(now time.Duration, kind ListKind, entries []Entry, acts []Action) []Action {
	if !d.timersStarted {
		acts = d.startTimers(now, acts)
	}
	switch kind {
	case ListFailed:
		// Ask again with exponential backoff, and with jitter against synchronized retries.
		d.subscribed = false
		d.listFailures = min(d.listFailures+1, 4)
		wait := min(d.set.AskEvery/4, time.Second<<d.listFailures)
		return append(acts, Action{Kind: SetTimer, Token: tokenAsk, At: now + wait/4 + d.jitter(wait)})
	case ListFull, ListCached:
		for i := range d.workers {
			d.workers[i].listed = false
		}
	}
	if kind != ListCached {
		d.listFailures = 0
	}
	for i := range entries {
		d.applyEntry(now, &entries[i])
	}
	d.splitStale = true
	for _, r := range d.open {
		acts = d.cancelLostAttempts(r, acts)
	}
	return acts
}

// cancelLostAttempts cancels r's attempts at workers that have since left the list or restarted. Attempts
// of unsafe requests are kept, since these cannot be sent again.
func (d *Dispatcher) cancelLostAttempts(r *request, acts []Action) []Action {
	if r.ended || !d.set.Cancel || d.set.Classes[r.class].Effect == Unsafe {
		return acts
	}
	for k := range r.attempts {
		a := &r.attempts[k]
		if w := &d.workers[a.worker]; a.inFlight && (!w.listed || a.sent < w.started) {
			acts = append(acts, Action{Kind: CancelSend, Request: r.id, Attempt: k})
		}
	}
	return acts
}

// Request accepts a new job.
func (d *Dispatcher) Request(now time.Duration, q Request, acts []Action) []Action {
	if !d.timersStarted {
		acts = d.startTimers(now, acts)
	}
	if q.Class < 0 || q.Class >= len(d.set.Classes) {
		return append(acts, Action{Kind: Reject, Request: q.ID}) // no RetryIn: a retry would fail as well
	}
	r := d.admit(now, &q)
	if acts = d.shed(now, shareOfConnections(q.ConnectionSlots, maxOpenShare), acts); r.ended {
		return acts
	}
	acts = d.placeOrHold(now, r, acts)
	return d.shed(now, shareOfConnections(q.ConnectionSlots, maxWaitingShare), acts)
}

// placeOrHold places a request that has no attempt in flight. While its pool is at the limit, the request
// joins those that are held back.
func (d *Dispatcher) placeOrHold(now time.Duration, r *request, acts []Action) []Action {
	if p := r.pool; p.limit > 0 && (len(p.heldRequests) > 0 || p.heldSlots+r.slots > p.limit) {
		return d.release(now, p, d.hold(now, r, acts))
	}
	return d.place(now, r, acts)
}

// Resume accepts a request from a previous host, with the attempts that were made there, in order. The four
// rules cover both hosts: attempts that may have run count, and one in flight is awaited as if sent here.
func (d *Dispatcher) Resume(now time.Duration, q Request, past []PastAttempt, acts []Action) []Action {
	if !d.timersStarted {
		acts = d.startTimers(now, acts)
	}
	if q.Class < 0 || q.Class >= len(d.set.Classes) {
		return append(acts, Action{Kind: Fail, Request: q.ID})
	}
	r := d.admit(now, &q)
	if !d.resumeAttempts(now, r, past) { // the rules could not be checked for any further attempt
		return d.end(r, append(acts, Action{Kind: Fail, Request: r.id}))
	}
	if r.inFlight > 0 {
		return d.cancelLostAttempts(r, acts)
	}
	return d.placeOrHold(now, r, acts)
}

// hold keeps r back while its pool is at its slot limit.
func (d *Dispatcher) hold(now time.Duration, r *request, acts []Action) []Action {
	wait := d.slack(now, r)
	if wait <= 0 {
		return d.finish(now, r, acts)
	}
	r.held = true
	r.pool.heldRequests = append(r.pool.heldRequests, r)
	return r.setTimer(now+wait, acts)
}

// release places held requests while there is room, in descending order of worth per slot-second.
func (d *Dispatcher) release(now time.Duration, p *pool, acts []Action) []Action {
	for len(p.heldRequests) > 0 {
		best := p.heldRequests[0]
		for _, r := range p.heldRequests[1:] {
			if r.density > best.density {
				best = r
			}
		}
		// The limit bounds queues at workers; a cold worker with credit has none.
		if p.limit > 0 && p.heldSlots >= p.limit && d.coldWorkerFor(now, best) < 0 {
			return acts
		}
		d.unhold(best)
		acts = d.place(now, best, acts)
	}
	return acts
}

// place sends r to a worker, parks it, or ends it.
func (d *Dispatcher) place(now time.Duration, r *request, acts []Action) []Action {
	if d.splitStale {
		d.rebuildSplit(now)
	}
	if now >= r.deadline || len(r.attempts) >= d.set.MaxAttempts || !d.repeatable(r) || d.stopped(now) {
		return d.finish(now, r, acts)
	}
	if i := d.draw(now, r); i >= 0 {
		return d.send(now, r, i, acts)
	}
	return d.park(now, r, d.slack(now, r)/4, acts)
}

// slack returns how long r can still wait and meet its aim at the fastest kind of worker.
func (d *Dispatcher) slack(now time.Duration, r *request) time.Duration {
	return r.aim - now - seconds(r.work*d.fastestSlowness())
}

// fastestSlowness returns the current slowness of the fastest kind.
func (d *Dispatcher) fastestSlowness() float64 {
	f := 0.0
	for k := range d.kinds {
		if s := d.kinds[k].baseSlowness; s > 0 && (f == 0 || s < f) {
			f = s
		}
	}
	return f * d.slowdown
}

// park delays r by wait; if r could not meet its aim or deadline afterwards, it ends now.
func (d *Dispatcher) park(now time.Duration, r *request, wait time.Duration, acts []Action) []Action {
	wait = max(wait, 5*time.Millisecond)
	if d.slack(now, r) < wait || now+wait >= r.deadline {
		return d.finish(now, r, acts)
	}
	r.parked = true
	return r.setTimer(now+wait, acts)
}

// finish gives r its final answer: a rejection if a repeat is harmless, else a failure. Retry delays are
// drawn from the whole range that clients comply with: requests rejected together would otherwise be retried
// together.
func (d *Dispatcher) finish(now time.Duration, r *request, acts []Action) []Action {
	if r.ended {
		return acts
	}
	answer := Action{Kind: Reject, Request: r.id, RetryIn: d.jitter(d.set.MaxRetryAfter)}
	if !d.repeatHarmless(r) {
		answer = Action{Kind: Fail, Request: r.id}
	}
	return d.end(r, append(acts, answer))
}

// end closes r and cancels its attempts in flight.
func (d *Dispatcher) end(r *request, acts []Action) []Action {
	r.ended = true
	if r.held {
		d.unhold(r)
	}
	if d.set.Cancel {
		for k := range r.attempts {
			if r.attempts[k].inFlight {
				acts = append(acts, Action{Kind: CancelSend, Request: r.id, Attempt: k})
			}
		}
	}
	d.drop(r)
	return acts
}

// repeatHarmless reports whether a repeat of r by the client is harmless.
func (d *Dispatcher) repeatHarmless(r *request) bool {
	c := &d.set.Classes[r.class]
	return c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll || r.inFlight == 0 && !r.mayHaveRun()
}

// repeatable reports whether r may have another attempt at any worker.
func (d *Dispatcher) repeatable(r *request) bool {
	once := d.set.Classes[r.class].Effect == Unsafe
	return d.set.SecondCopies && !once || r.inFlight == 0 && !(once && r.mayHaveRun())
}

// mayHaveRun reports whether an attempt that has ended may have run.
func (r *request) mayHaveRun() bool {
	for k := range r.attempts {
		if r.attempts[k].mayHaveRun {
			return true
		}
	}
	return false
}

// windowMargin is the minimum time between the last repeat of a keyed request and the end of its window.
const windowMargin = 50 * time.Millisecond

// allowed reports whether r may be sent to worker i: the four rules, then reachability and health. Every
// send must pass it.
func (d *Dispatcher) allowed(now time.Duration, r *request, i int) bool {
	// The attempt reaches the worker only after its connection is up, up to DialTimeout later.
	if !d.permitted(now, r, i, r.attempts, now+windowMargin+d.set.DialTimeout) {
		return false
	}
	w := &d.workers[i]
	c := &d.set.Classes[r.class]
	if c.Kind >= 0 && w.kind != c.Kind {
		return false
	}
	// Rule 4: a cold worker gets no more than this dispatcher's share of its budget.
	if d.warmShare(w, now) < 1 && !d.hasCredit(w, now) {
		return false
	}
	if w.connectRetryAt > now || d.zoneUnreachable(w, now) {
		return false
	}
	// Health: none while the worker is ejected, then one job at a time while it is on probation.
	if !d.ignoreHealth && (w.ejectedUntil > now || (w.ejectedFor > 0 && w.inFlight > 0)) {
		return false
	}
	return true
}

// permitted reports whether rules 1 to 3 allow an attempt of r at worker i after the earlier ones, if it
// reaches the worker at arrival.
func (d *Dispatcher) permitted(now time.Duration, r *request, i int, earlier []attempt,
	arrival time.Duration) bool {
	w := &d.workers[i]
	// Rule 1: no attempt for a request that has ended or whose client has given up.
	if r.ended || now >= r.deadline || len(earlier) >= d.set.MaxAttempts {
		return false
	}
	// Rule 3: no attempt at a worker once the list shows it as draining or gone.
	if !w.listed || w.state != Ready {
		return false
	}
	// Rule 2: no effect happens twice.
	c := &d.set.Classes[r.class]
	for k := range earlier {
		a := &earlier[k]
		if c.Effect == Unsafe && int(a.worker) == i {
			return false // a late notification of that attempt could not be told from one of this attempt
		}
		if !a.mayRun() {
			continue
		}
		if a.inFlight && !d.set.SecondCopies {
			return false
		}
		switch c.Effect {
		case Unsafe:
			return false
		case Keyed:
			first := &d.workers[a.worker]
			if arrival > a.sent+c.Window ||
				(c.Group == GroupZone && first.zone != w.zone) ||
				(c.Group == GroupCell && first.cell != w.cell) {
				return false
			}
		}
	}
	return true
}

// mayRun reports whether an attempt has run, runs or will run, as far as known.
func (a *attempt) mayRun() bool { return a.inFlight || a.mayHaveRun }

// SendPermission reports whether the rules still allow the attempt in flight of a request, of which nothing
// has been sent yet, and by when its last byte must have reached its worker; 0: no limit but the request's
// deadline. The host may have waited since the Send, and the list may have changed.
func (d *Dispatcher) SendPermission(now time.Duration, id RequestID) (by time.Duration, permitted bool) {
	r := d.requests[id]
	if r == nil || r.inFlight == 0 {
		return 0, false
	}
	last := len(r.attempts) - 1
	earlier := r.attempts[:last]
	if !d.permitted(now, r, int(r.attempts[last].worker), earlier, now+windowMargin) {
		return 0, false
	}
	if c := &d.set.Classes[r.class]; c.Effect == Keyed {
		for k := range earlier {
			a := &earlier[k]
			if end := a.sent + c.Window; a.mayRun() && (by == 0 || end < by) {
				by = end
			}
		}
	}
	return by, true
}

// send starts an attempt of r at worker i. It is the only function that creates a Send.
func (d *Dispatcher) send(now time.Duration, r *request, i int, acts []Action) []Action {
	if !d.allowed(now, r, i) {
		return d.finish(now, r, acts)
	}
	w := &d.workers[i]
	w.credit = -d.drawDebt(w, r.work*r.slots)
	w.heldSlots += r.slots
	r.pool.heldSlots += r.slots
	r.pool.sends.sent++
	d.statsFor(w).sent++
	w.inFlight++
	w.notStarted++
	w.lastSentAt = now
	if w.connectBackoff > 0 {
		w.connectRetryAt = now + w.connectBackoff // a single job tests the connection
	}
	r.inFlight++
	r.attempts = append(r.attempts, attempt{
		worker: int32(i), inFlight: true, heldSlots: r.slots, sent: now, chargedRatio: 1,
	})
	var timeout time.Duration
	if r.pool.limit > 0 && !d.set.TellsStart {
		// Under overload, queued jobs that are late already would make those behind them late as well.
		timeout = max(r.aim-now, minAttemptTimeout) + (r.aim-r.arrivedAt)/4
	}
	var ackTimeout time.Duration
	if d.set.Classes[r.class].Effect != Unsafe {
		// A live worker acknowledges a job at once, and without that this job can be sent to another one.
		// An unsafe job can only wait for an answer: no attempt could follow this one.
		ackTimeout = 2 * d.set.DialTimeout
	}
	acts = append(acts, Action{
		Kind: Send, Request: r.id, Worker: w.id, Timeout: timeout, AckTimeout: ackTimeout,
	})
	if d.reroutable(r) {
		// After this time, waiting for one more mean run would make r late.
		late := d.slack(now, r) - seconds(d.meanWork*d.fastestSlowness())
		acts = r.setTimer(now+max(late, d.statsFor(w).startDelay.Due(d.set.DialTimeout)), acts)
	}
	return acts
}

// reroutable reports whether r, with one attempt in flight, may be cancelled there and sent elsewhere.
func (d *Dispatcher) reroutable(r *request) bool {
	return d.set.TellsStart && d.set.Cancel && d.set.possibleSenders() > 1 && r.inFlight == 1 &&
		len(r.attempts) < d.set.MaxAttempts && d.set.Classes[r.class].Effect != Unsafe
}

// reroute cancels r's attempt at a worker with no free slot once waiting may make r late, if a draw finds a
// worker that is not known to be full. Not every worker stops a cancelled job, and none reports whether it
// did, so rerouted work is limited to a share of the work that arrives.
func (d *Dispatcher) reroute(now time.Duration, r *request, acts []Action) []Action {
	k := len(r.attempts) - 1
	a := &r.attempts[k]
	if !d.reroutable(r) || !a.inFlight || a.started > 0 || d.stopped(now) || d.slack(now, r) <= 0 {
		return acts
	}
	a.inFlight, a.mayHaveRun = false, true // evaluate the draw as after the cancellation
	i := d.draw(now, r)
	elsewhere := i >= 0 && d.rank(now, r, i) <= rankTarget
	if a.inFlight = true; !elsewhere || d.rerouteBudget < r.work*r.slots {
		return acts
	}
	d.rerouteBudget -= r.work * r.slots
	d.statsFor(&d.workers[a.worker]).full++ // the worker had no room
	return append(acts, Action{Kind: CancelSend, Request: r.id, Attempt: k})
}

// Outcome handles the end of an attempt.
func (d *Dispatcher) Outcome(now time.Duration, o Outcome, acts []Action) []Action {
	r := d.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return acts
	}
	a := &r.attempts[o.Attempt]
	w := &d.workers[a.worker]
	a.inFlight, a.mayHaveRun = false, !o.Status.ProvesNotRun()
	r.inFlight--
	w.heldSlots = max(0, w.heldSlots-a.heldSlots)
	w.inFlight--
	if a.started == 0 {
		w.notStarted--
	}
	p := r.pool
	p.heldSlots = max(0, p.heldSlots-a.heldSlots)
	d.applyReport(w, now, o.Report)
	acts = d.learn(now, r, a, w, o, acts)
	acts = d.afterOutcome(now, r, o, acts)
	d.adjustLimit(p, now)
	return d.release(now, p, acts)
}

// afterOutcome decides how r goes on after the end of an attempt.
func (d *Dispatcher) afterOutcome(now time.Duration, r *request, o Outcome, acts []Action) []Action {
	switch {
	case r.ended:
		d.drop(r)
		return acts
	case o.Closed || o.Status == OK:
		return d.end(r, acts)
	case r.inFlight > 0: // the other copy may still answer
		return acts
	case o.Status == TimedOut:
		return d.finish(now, r, acts)
	}
	if o.Status == Full {
		if r.fullAnswers++; r.fullAnswers > 2 {
			// Spread the last attempts over the time in which r can still meet its aim.
			attemptsLeft := max(1, d.set.MaxAttempts-len(r.attempts))
			return d.park(now, r, d.slack(now, r)/time.Duration(attemptsLeft+1), acts)
		}
	}
	return d.place(now, r, acts)
}

// learn updates the worker's estimates from an outcome. Only a served job is a run-time sample.
func (d *Dispatcher) learn(now time.Duration, r *request, a *attempt, w *worker, o Outcome,
	acts []Action) []Action {
	switch o.Status {
	case OK:
		d.noteServed(w, now)
		run := o.Elapsed
		if a.started > 0 {
			run = now - a.started
		}
		if d.warmShare(w, now) == 1 {
			d.learnRun(w, r, run.Seconds())
		}
	case Full:
		d.statsFor(w).full++
		r.pool.sends.full++
		r.pool.addWait(1) // no room counts as the longest wait
		d.noteFull(w, now)
	case ConnectFailed:
		d.noteUnreachable(w, now)
		d.statsFor(w).full++
		if !d.noteZoneFailure(w, now) {
			d.noteFailure(w, now, 1)
		}
	case Error, Reset:
		if d.noteFailure(w, now, 1) && d.set.Peers && o.Status == Error {
			acts = append(acts, d.failsNotice(w))
		}
	case TimedOut:
		if r.pool.limit == 0 {
			d.noteFailure(w, now, 0.5)
		}
	}
	return acts
}

// Note handles a notification about an attempt in flight.
func (d *Dispatcher) Note(now time.Duration, n Note, acts []Action) []Action {
	r := d.requests[n.Request]
	if r == nil || n.Attempt < 0 || n.Attempt >= len(r.attempts) {
		return acts
	}
	a := &r.attempts[n.Attempt]
	if n.Started && a.inFlight && a.started == 0 {
		a.started = now
		d.workers[a.worker].notStarted--
		run := seconds(r.work * d.fastestSlowness())
		d.statsFor(&d.workers[a.worker]).startDelay.Observe(now-a.sent, d.set.DialTimeout)
		d.noteWait(r.pool, &d.workers[a.worker], now-a.sent, r.aim-r.arrivedAt-run)
	}
	return acts
}

// Stop announces that the host shuts down at by. Requests that are open then, or arrive later, are answered
// at once.
func (d *Dispatcher) Stop(by time.Duration, acts []Action) []Action {
	d.stopBy = by
	return append(acts, Action{Kind: SetTimer, Token: tokenStop, At: by})
}

// stopped reports whether the time of the host's shutdown has been reached.
func (d *Dispatcher) stopped(now time.Duration) bool { return d.stopBy > 0 && now >= d.stopBy }

// ClientGone handles a client that disconnected before its answer.
func (d *Dispatcher) ClientGone(now time.Duration, id RequestID, acts []Action) []Action {
	if r := d.requests[id]; r != nil && !r.ended {
		return d.end(r, acts)
	}
	return acts
}

// Timer handles a timer that has expired.
func (d *Dispatcher) Timer(now time.Duration, token uint64, acts []Action) []Action {
	switch token {
	case tokenSolve:
		d.chargeOverdue(now)
		d.rebuildSplit(now)
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
	case r == nil || r.ended || now < r.timerAt: // a superseded timer
		return acts
	case r.inFlight > 0:
		return d.reroute(now, r, acts)
	case r.held:
		// End it even if it has slack again: a held request has no other timer and would be lost.
		return d.finish(now, r, acts)
	case r.parked:
		r.parked = false
		return d.place(now, r, acts)
	}
	return acts
}

// chargeOverdue counts attempts that take far longer than expected against their workers before they end: a
// paused or slow worker answers late or never, and would keep its target rate ξ until then.
func (d *Dispatcher) chargeOverdue(now time.Duration) {
	for _, r := range d.open {
		for k := range r.attempts {
			a := &r.attempts[k]
			if !a.inFlight {
				continue
			}
			w := &d.workers[a.worker]
			runningSince := max(a.sent, a.started)
			ratio := (now - runningSince).Seconds() / (r.work * d.slowness(w))
			if ratio < 2*a.chargedRatio*(1+d.kinds[w.kind].squaredCV()) {
				continue
			}
			a.chargedRatio = ratio
			w.slownessSum += min(ratio, maxSampleMultiple) * d.slowness(w)
			w.slownessSamples++
		}
	}
}
