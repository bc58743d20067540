package policy

import (
	"math"
	"time"
)

// Constants of the estimators: numbers of samples, shares, and times in proportion to what is observed.
const (
	workerDecaySeconds   = 10.0 // seconds in which a worker's samples decay to 1/e
	kindDecaySeconds     = 40.0 // seconds in which a kind's samples decay to 1/e
	arrivalDecaySeconds  = 5.0  // seconds in which arrivals decay to 1/e
	kindPriorSamples     = 10.0 // a worker's own samples that weigh as much as its kind's, if squaredCV is 1
	fleetPriorSamples    = 4.0  // samples of a kind that weigh as much as the fleet's
	maxSampleMultiple    = 4.0  // a run counts as at most this multiple of its kind's mean
	maxEjectedShare      = 0.4  // maximum share of the fleet that may be ejected for bad health
	unsafeFailureLimit   = 0.3  // decaying count of failures above which unsafe requests avoid a worker
	probationRateShare   = 0.3  // share of its rate that a worker on probation is given
	maxLocalShare        = 0.8  // maximum share of its claims that a dispatcher makes in its own zone
	slowdownStepShare    = 0.1  // share by which one run moves the current slowdown
	localFullMargin      = 0.1  // by how much the share of full workers may be higher here than elsewhere
	crossZoneJobsPerSlot = 0.5  // jobs per slot that the cost of another zone adds to queues there
	minWaitWeight        = 0.08 // weight of one answer in the mean wait
	overloadWaitShare    = 0.5  // mean wait, as a share of what the aims allow, above which there is overload
	tenantDecaySeconds   = 15.0 // seconds in which a tenant's arrivals decay to 1/e
	coldBudgetShare      = 0.42 // share of FallMultiple that is sent; saved-up credit may add as much again
	maxReroutedShare     = 0.1  // share of the arriving work that may be rerouted
	minSlotReports       = 20   // reports of a kind from which its slot count is taken
	maxDraws             = 20
	minAttemptTimeout    = 50 * time.Millisecond // minimum time-out of an attempt; minimum window for credit
	freeSlotStartTime    = 20 * time.Millisecond // time within which a job starts if a slot is free
	minEjection          = time.Second           // also the minimum backoff of a zone, at most 4 times it
	maxEjection          = 16 * time.Second
	minConnectBackoff    = 250 * time.Millisecond
	maxConnectBackoff    = 4 * time.Second
	solvePeriod          = time.Second
)

// decayEstimates decays the estimates by the time since the last solve and recomputes the arrival rates.
func (d *Dispatcher) decayEstimates(now time.Duration) {
	dt := (now - d.decayedAt).Seconds()
	d.decayedAt = now
	if dt > 0 {
		fw, fk, fr := math.Exp(-dt/workerDecaySeconds), math.Exp(-dt/kindDecaySeconds),
			math.Exp(-dt/arrivalDecaySeconds)
		for i := range d.workers {
			w := &d.workers[i]
			scale(fw, &w.slownessSum, &w.slownessSamples, &w.failures, &w.successes)
		}
		for k := range d.kinds {
			scale(fk, &d.kinds[k].slownessSum, &d.kinds[k].slownessSamples, &d.kinds[k].slownessSquares)
		}
		for t := range d.tenantRate {
			d.tenantRate[t] *= math.Exp(-dt / tenantDecaySeconds)
		}
		d.trackBaseSlowness(dt)
		d.adjustShares(fw)
		scale(fk, &d.failures, &d.successes)
		d.arrivalSeconds = d.arrivalSeconds*fr + dt
		d.arrivedSlots *= fr
		for k := range d.boundArrivedSlots {
			d.boundArrivedSlots[k] *= fr
		}
	}
	span := min(d.arrivalSeconds, arrivalDecaySeconds)
	d.arrivalRate = 0
	if span > 0 {
		d.arrivalRate = d.arrivedSlots / span
	}
	for k := range d.boundArrivalRate {
		d.boundArrivalRate[k] = 0
		if span > 0 {
			d.boundArrivalRate[k] = d.boundArrivedSlots[k] / span
		}
	}
}

// trackBaseSlowness tracks the lowest slowness of each kind. Without start notifications, run times include
// waiting: the time that a job takes by itself is the time that it took while there was little load.
func (d *Dispatcher) trackBaseSlowness(dt float64) {
	currentSum, baseSum := 0.0, 0.0
	for i := range d.kinds {
		k := &d.kinds[i]
		if k.slownessSamples < 3 {
			continue
		}
		s := d.kindSlowness(k)
		if k.baseSlowness == 0 || s < k.baseSlowness {
			k.baseSlowness = s
		} else {
			k.baseSlowness += (s - k.baseSlowness) * min(1, dt/300)
		}
		currentSum += s * k.slownessSamples
		baseSum += k.baseSlowness * k.slownessSamples
	}
	if currentSum > 0 {
		d.baseRatio = baseSum / currentSum
	}
}

// noteArrival counts a request into the arrival rate Ξ and updates the mean work.
func (d *Dispatcher) noteArrival(r *request) {
	d.arrivedSlots += r.slots
	d.rerouteBudget = min(d.rerouteBudget+maxReroutedShare*r.work*r.slots, 5*max(d.meanWork, r.work*r.slots))
	if k := d.set.Classes[r.class].Kind; k >= 0 && k < len(d.boundArrivedSlots) {
		d.boundArrivedSlots[k] += r.slots
	}
	if r.tenant < len(d.tenantRate) {
		d.tenantRate[r.tenant] += 1 / tenantDecaySeconds
	}
	if d.workSamples < 200 {
		d.workSamples++
	}
	budget := r.aim - r.arrivedAt - seconds(r.work*d.fastestSlowness())
	// Weighted by worth: classes of high worth may allow a wait far below the mean.
	worth := max(d.set.Classes[r.class].Worth, 1e-3)
	d.meanWorth += (worth - d.meanWorth) / d.workSamples
	d.waitBudget += time.Duration(float64(budget-d.waitBudget) * min(1, worth/d.meanWorth/d.workSamples))
	d.meanWork += (r.work - d.meanWork) / d.workSamples
}

// expectedWork returns a request's expected work in seconds: its hint, else its class's mean.
func (d *Dispatcher) expectedWork(q *Request) float64 {
	if q.Hint > 0 {
		return max(q.Hint.Seconds(), 1e-4)
	}
	return d.classWork[q.Class]
}

// slowness estimates the ratio of a worker's run times to expected work, shrunk towards its kind's.
func (d *Dispatcher) slowness(w *worker) float64 {
	k := &d.kinds[w.kind]
	weight := kindPriorSamples * k.squaredCV()
	return (weight*d.kindSlowness(k) + w.slownessSum) / (weight + w.slownessSamples)
}

// squaredCV returns the squared coefficient of variation of a kind's samples. If it is large, a few runs of a
// worker say little about it.
func (k *kindStats) squaredCV() float64 {
	if k.slownessSamples < 5 {
		return 1
	}
	mean := k.slownessSum / k.slownessSamples
	return min(max(k.slownessSquares/k.slownessSamples/(mean*mean)-1, 0.2), 3)
}

// kindSlowness returns the pooled slowness of a kind, shrunk towards the fleet's. A kind that a long first
// run made look slow recovers as its samples decay.
func (d *Dispatcher) kindSlowness(k *kindStats) float64 {
	return (k.slownessSum + fleetPriorSamples*d.fleetSlowness()) / (k.slownessSamples + fleetPriorSamples)
}

// fleetSlowness returns the pooled slowness of all kinds.
func (d *Dispatcher) fleetSlowness() float64 {
	sum, n := 0.0, 0.0
	for i := range d.kinds {
		sum += d.kinds[i].slownessSum
		n += d.kinds[i].slownessSamples
	}
	if n > 0 && sum > 0 {
		return sum / n
	}
	return 1
}

// learnRun updates the estimates from a run that took t seconds.
func (d *Dispatcher) learnRun(w *worker, r *request, t float64) {
	k := &d.kinds[w.kind]
	ratio := min(t/r.work, maxSampleMultiple*d.kindSlowness(k))
	d.trackSlowdown(t, r.work*k.baseSlowness)
	w.slownessSum += ratio
	w.slownessSamples++
	k.slownessSum += ratio
	k.slownessSquares += ratio * ratio
	k.slownessSamples++
	if r.hinted {
		return
	}
	// Without hints, a class's mean work is learned together with the speeds.
	c := r.class
	if d.classSamples[c] < 100 {
		d.classSamples[c]++
	}
	// Relative to the fleet's mean slowness: work stays in seconds, and work and speed do not drift apart.
	d.classWork[c] += (t/max(d.kindSlowness(k)/d.fleetSlowness(), 1e-3) - d.classWork[c]) / d.classSamples[c]
	d.classWork[c] = max(d.classWork[c], 1e-4)
}

// trackSlowdown follows the current slowdown of the whole fleet, such as by a shared resource: the 20th
// percentile of run times relative to their uncongested values.
func (d *Dispatcher) trackSlowdown(t, uncongested float64) {
	switch {
	case uncongested <= 0:
	case t < d.slowdown*uncongested:
		d.slowdown = max(1, d.slowdown*(1-0.8*slowdownStepShare))
	default:
		d.slowdown = min(20, d.slowdown*(1+0.2*slowdownStepShare))
	}
}

// slots returns a worker's slot count: the one learned from its kind's reports, or its listed weight until
// there are enough of them.
func (d *Dispatcher) slots(w *worker) float64 {
	if k := &d.kinds[w.kind]; k.slotReports >= minSlotReports {
		return max(1, k.slots)
	}
	return max(1, w.weight)
}

// recentOccupancy returns the occupancy of a worker by all dispatchers if evidence is fresh: not older than
// a mean run, or than the time to serve the jobs seen there.
func (d *Dispatcher) recentOccupancy(w *worker, now time.Duration) (float64, bool) {
	if d.set.possibleSenders() <= 1 {
		return w.heldSlots, true // all of its jobs are from this dispatcher, and a report would be older
	}
	if !w.occupancyKnown {
		return 0, false
	}
	c := d.slots(w)
	age := (now - w.occupancyAt).Seconds()
	if age > w.meanRunSeconds*max(1, w.occupancy/c) {
		return 0, false
	}
	return w.occupancy + max(0, w.heldSlots-w.occupancyHeld), true
}

// noteFull records that a worker had no room for a job.
func (d *Dispatcher) noteFull(w *worker, now time.Duration) {
	w.occupancy = max(w.occupancy, d.slots(w)+1)
	w.occupancyHeld, w.occupancyAt, w.occupancyKnown = w.heldSlots, now, true
}

// warmShare returns the share of its capacity that a worker has at least.
func (d *Dispatcher) warmShare(w *worker, now time.Duration) float64 {
	from := max(w.started, w.coldSince)
	age := now - from
	if from <= 0 || age >= d.set.WarmWithin {
		return 1
	}
	return d.set.ColdFrom + (1-d.set.ColdFrom)*max(0, age.Seconds())/d.set.WarmWithin.Seconds()
}

// coldMultiple returns the multiple of a cold worker's current capacity that all dispatchers together may
// send it.
func (d *Dispatcher) coldMultiple() float64 { return coldBudgetShare * d.set.FallMultiple }

// resetCredit starts w's credit as a cold worker anew.
func (d *Dispatcher) resetCredit(w *worker, now time.Duration) {
	w.creditAt, w.credit = now, -d.drawDebt(w, d.meanWork)
}

// drawDebt returns the credit that must be saved up after a job of this much work before a cold worker gets
// the next one. It is random, as dispatchers do not coordinate: a start or restart does not align their
// sends.
func (d *Dispatcher) drawDebt(w *worker, work float64) float64 {
	return d.rng.ExpFloat64() * work * d.slowness(w)
}

// hasCredit adds w's credit since the last call and reports whether w, which is cold, may be sent a job now.
// Credit not used within FallWindow expires: many dispatchers could otherwise spend saved credit at once.
func (d *Dispatcher) hasCredit(w *worker, now time.Duration) bool {
	rate := d.coldMultiple() * d.warmShare(w, now) * d.slots(w) / d.set.possibleSenders()
	w.credit += rate * min(now-w.creditAt, d.set.WarmWithin).Seconds()
	w.creditAt = now
	for maxCredit := rate * max(d.set.FallWindow, minAttemptTimeout).Seconds(); w.credit > maxCredit; {
		w.credit -= maxCredit + d.drawDebt(w, d.meanWork)
	}
	return w.credit > 0
}

// noteZoneFailure records a failed connection to w and reports whether w's whole zone is unreachable. Its
// workers are too many to be ejected one by one: each would cost another request a connection time-out.
func (d *Dispatcher) noteZoneFailure(w *worker, now time.Duration) bool {
	for len(d.zones) <= w.zone {
		d.zones = append(d.zones, zoneReachability{})
	}
	z := &d.zones[w.zone]
	for i := range d.zones { // another zone must stay reachable
		if d.set.Zones < 2 || i != w.zone && d.zones[i].retryAt > now {
			return false
		}
	}
	if z.failures++; z.failures <= d.set.MaxAttempts { // more failures than a single request can cause
		return false
	}
	if now >= z.retryAt {
		z.backoff = min(max(2*z.backoff, minEjection), 4*minEjection)
		z.retryAt = now + z.backoff/2 + d.jitter(z.backoff)
		d.splitStale = true
		for i := range d.workers {
			if x := &d.workers[i]; x.zone == w.zone {
				d.coldOnReturn(x, now)
			}
		}
	}
	return true
}

// noteUnreachable records that a connection to w could not be established. Unlike failures, which any worker
// may have and which count by their share, one suffices: w is avoided at once, however many others are, and
// tested with one job after each backoff.
func (d *Dispatcher) noteUnreachable(w *worker, now time.Duration) {
	d.splitStale = d.splitStale || w.connectBackoff == 0
	w.connectBackoff = min(max(2*w.connectBackoff, minConnectBackoff), maxConnectBackoff)
	w.connectRetryAt = now + w.connectBackoff/2 + d.jitter(w.connectBackoff)
	d.coldOnReturn(w, now)
}

// coldOnReturn makes w count as cold once it serves again: it may be restarting, and the list shows that
// only seconds later.
func (d *Dispatcher) coldOnReturn(w *worker, now time.Duration) {
	if d.warmShare(w, now) == 1 {
		d.resetCredit(w, now)
	}
	w.coldSince = coldPending
}

// zoneUnreachable reports whether w's zone is unreachable.
func (d *Dispatcher) zoneUnreachable(w *worker, now time.Duration) bool {
	return w.zone < len(d.zones) && d.zones[w.zone].retryAt > now
}

// noteFailure records a failure of a worker and reports whether the worker is ejected for it, which happens
// if its answers are worse than the fleet's: a worker that fails fast keeps its occupancy s_i low and would
// attract job after job.
func (d *Dispatcher) noteFailure(w *worker, now time.Duration, weight float64) bool {
	w.failures += weight
	d.failures += weight
	failureShare := w.failures / (w.failures + w.successes)
	fleetFailureShare := d.failures / (d.failures + d.successes + 1)
	if w.ejectedUntil > now || failureShare < 0.2 ||
		(failureShare < 3*fleetFailureShare && w.ejectedFor == 0) {
		return false
	}
	w.ejectedFor = min(max(2*w.ejectedFor, minEjection), maxEjection)
	w.ejectedUntil = now + w.ejectedFor/2 + d.jitter(w.ejectedFor)
	d.ejected++
	d.ignoreHealth = float64(d.ejected) > maxEjectedShare*float64(len(d.drawable))
	return true
}

// noteServed records a served job.
func (d *Dispatcher) noteServed(w *worker, now time.Duration) {
	if w.coldSince == coldPending {
		w.coldSince = now
	}
	if w.zone < len(d.zones) {
		d.zones[w.zone] = zoneReachability{}
	}
	w.connectBackoff = 0
	w.successes++
	d.successes++
	if w.ejectedFor > 0 {
		w.ejectedFor, w.failures = 0, 0
	}
}

// density returns a request's expected worth per slot-second. With WorthByWork that is its class's worth.
func (d *Dispatcher) density(r *request) float64 {
	worth := d.set.Classes[r.class].Worth
	if !d.set.WorthByWork {
		worth /= r.work * r.slots
	}
	if r.tenant < len(d.set.Tenants) {
		quota := d.set.Tenants[r.tenant].Quota
		if rate := d.tenantRate[r.tenant] * float64(d.set.Balancers); quota > 0 && rate > quota {
			inside := quota / rate
			worth *= inside + (1-inside)*d.set.OverShareWorth
		}
	}
	return worth
}

// noteWait records how long a job waited at a worker, relative to the wait that its aim allows.
func (d *Dispatcher) noteWait(p *pool, w *worker, wait, budget time.Duration) {
	share := min(1, max(0, wait.Seconds())/max(budget.Seconds(), 1e-3))
	d.statsFor(w).full += share
	p.addWait(share)
}

// addWait adds a wait to the mean. The first few weigh more: a dispatcher that starts under overload must not
// add to it.
func (p *pool) addWait(share float64) {
	p.waitSamples++
	p.meanWait += (share - p.meanWait) * max(minWaitWeight, 1/(p.waitSamples+1))
}

// adjustLimit updates a pool's slot limit. While waits exceed what the aims allow, the limit shrinks and
// further requests are held back here: otherwise all jobs would be answered late.
func (d *Dispatcher) adjustLimit(p *pool, now time.Duration) {
	if (now - p.adjustedAt).Seconds() < min(max(d.meanWork/2, 0.05), 0.5) {
		return
	}
	p.adjustedAt = now
	switch {
	case p.meanWait > overloadWaitShare:
		if p.limit == 0 {
			p.limit = p.heldSlots + 1
		}
		if p.heldSlots > p.limit*0.7 {
			p.limit = max(1, d.slotShare(p, now), p.limit*0.9)
		}
	case p.limit > 0:
		p.limit = p.limit*(1.2-0.3*p.meanWait) + 0.1
		if p.limit > 3*p.heldSlots+3 && len(p.heldRequests) == 0 {
			p.limit = 0
		}
	}
}

// slotShare returns this dispatcher's share of the slots that p's work can use. The limit never shrinks below
// it.
func (d *Dispatcher) slotShare(p *pool, now time.Duration) float64 {
	sum := 0.0
	for k, sp := range d.spans {
		if p != &d.pools[0] && p != &d.pools[k+1] {
			continue
		}
		for _, i := range d.drawable[sp.from:sp.to] {
			if w := &d.workers[i]; w.ejectedFor == 0 && w.connectBackoff == 0 {
				sum += d.slots(w) * d.warmShare(w, now)
			}
		}
	}
	return sum / float64(d.set.Balancers)
}

// adjustShares updates the share of the claims that is made in this zone: it falls while workers here are
// full more often than elsewhere. Likewise the share of unbound work at a kind falls while that kind's bound
// work waits or finds no room.
func (d *Dispatcher) adjustShares(f float64) {
	d.localShare = min(max(d.localShare+
		0.5*(d.remoteSends.fullShare()+localFullMargin-d.localSends.fullShare()), 0), maxLocalShare)
	for k := range d.kinds {
		p, g := &d.pools[k+1], &d.kinds[k].unboundShare
		if p.meanWait > overloadWaitShare/4 || p.sends.fullShare() > 0.3 {
			*g = max(*g*0.7, 0.01)
		} else {
			*g = min(1, *g*1.1)
		}
		scale(f, &p.sends.sent, &p.sends.full)
	}
	scale(f, &d.localSends.sent, &d.localSends.full, &d.remoteSends.sent, &d.remoteSends.full)
}
