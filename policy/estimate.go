package policy

import (
	"math"
	"time"
)

// Constants of the estimators: numbers of samples, shares, and times in proportion to what is seen.
const (
	workerMemory = 10.0 // seconds in which a worker's samples fade to 1/e
	kindMemory   = 40.0 // the same for a kind
	rateMemory   = 5.0  // the same for arrivals
	priorRuns    = 10.0 // samples of its own that weigh as much as its kind's, where these spread by 1
	kindPrior    = 4.0  // samples of a kind that weigh as much as the fleet's
	sampleCap    = 4.0  // a run counts as this many times its kind's mean at the most
	maxShut      = 0.4  // share of the fleet that may be shut out for bad health
	fewFails     = 0.3  // fading count of failures from which a worker is no place for what runs once
	comeback     = 0.3  // part of its rate that a worker on its way back is given
	homeward     = 0.8  // largest part of its claims that a dispatcher makes in its own zone
	slowStep     = 0.1  // part by which one run moves the slowdown of the moment
	homeSlack    = 0.1  // how much more may be turned away in the own zone than elsewhere
	zoneAway     = 0.5  // queue for each slot that makes another zone as dear as the own one
	waitWeight   = 0.08 // weight of one answer in the mean wait
	waitMost     = 0.5  // mean wait, as part of what the aims allow, that is taken for overload
	tenantMemory = 15.0 // seconds in which a tenant's arrivals fade to 1/e
	coldSafety   = 0.42 // part of the fall multiple that is used; as much again may be saved up
	doneTwice    = 0.1  // part of the work that may be taken back and sent elsewhere
	fewReports   = 20   // reports that show a kind's slots
	maxDraws     = 20
	minLeft      = 50 * time.Millisecond // least time that an attempt is given
	atOnce       = 20 * time.Millisecond // in which a job starts where a slot is free
	minShut      = time.Second
	mostShut     = 16 * time.Second
	minAway      = 250 * time.Millisecond
	mostAway     = 4 * time.Second
	solvePeriod  = time.Second
)

// age fades the estimates by the time since the last solve.
func (d *Dispatcher) age(now time.Duration) {
	dt := (now - d.agedAt).Seconds()
	d.agedAt = now
	if dt > 0 {
		fw, fk, fr := math.Exp(-dt/workerMemory), math.Exp(-dt/kindMemory), math.Exp(-dt/rateMemory)
		for i := range d.workers {
			w := &d.workers[i]
			fade(fw, &w.slowSum, &w.slowN, &w.fails, &w.oks)
		}
		for k := range d.kinds {
			fade(fk, &d.kinds[k].slowSum, &d.kinds[k].slowN, &d.kinds[k].slowSq)
		}
		for t := range d.tenantRate {
			d.tenantRate[t] *= math.Exp(-dt / tenantMemory)
		}
		d.settle(dt)
		d.lean(fw)
		fade(fk, &d.fails, &d.oks)
		d.seen = d.seen*fr + dt
		d.arrived *= fr
		for k := range d.boundIn {
			d.boundIn[k] *= fr
		}
	}
	span := min(d.seen, rateMemory)
	d.rate = 0
	if span > 0 {
		d.rate = d.arrived / span
	}
	for k := range d.boundRate {
		d.boundRate[k] = 0
		if span > 0 {
			d.boundRate[k] = d.boundIn[k] / span
		}
	}
}

// settle follows the lowest slowness of each kind. Where no start is told, run times hold waiting: what a job
// takes by itself is what it took when all was calm.
func (d *Dispatcher) settle(dt float64) {
	now, then := 0.0, 0.0
	for i := range d.kinds {
		k := &d.kinds[i]
		if k.slowN < 3 {
			continue
		}
		s := d.slowKind(k)
		if k.base == 0 || s < k.base {
			k.base = s
		} else {
			k.base += (s - k.base) * min(1, dt/300)
		}
		now += s * k.slowN
		then += k.base * k.slowN
	}
	if now > 0 {
		d.calm = then / now
	}
}

// arrive counts a request into Ξ and learns the mean work.
func (d *Dispatcher) arrive(r *request) {
	d.arrived += r.slots
	d.twice = min(d.twice+doneTwice*r.work*r.slots, 5*max(d.meanWork, r.work*r.slots))
	if k := d.set.Classes[r.class].Kind; k >= 0 && k < len(d.boundIn) {
		d.boundIn[k] += r.slots
	}
	if r.tenant < len(d.tenantRate) {
		d.tenantRate[r.tenant] += 1 / tenantMemory
	}
	if d.workN < 200 {
		d.workN++
	}
	budget := r.aim - r.born - seconds(r.work*d.fastest())
	// Weighted by worth: classes of much worth may allow little of the mean wait.
	worth := max(d.set.Classes[r.class].Worth, 1e-3)
	d.worthSeen += (worth - d.worthSeen) / d.workN
	d.budget += time.Duration(float64(budget-d.budget) * min(1, worth/d.worthSeen/d.workN))
	d.meanWork += (r.work - d.meanWork) / d.workN
}

// work is a request's expected work: its hint, else its class's mean.
func (d *Dispatcher) work(q *Request) float64 {
	if q.Hint > 0 {
		return max(q.Hint.Seconds(), 1e-4)
	}
	return d.classWork[q.Class]
}

// slowness is a worker's run time over expected work: its kind's, shrunk to its own.
func (d *Dispatcher) slowness(w *worker) float64 {
	k := &d.kinds[w.kind]
	weight := priorRuns * k.spread()
	return (weight*d.slowKind(k) + w.slowSum) / (weight + w.slowN)
}

// spread is the squared coefficient of variation of a kind's samples: large, a few runs say little.
func (k *kindStats) spread() float64 {
	if k.slowN < 5 {
		return 1
	}
	mean := k.slowSum / k.slowN
	return min(max(k.slowSq/k.slowN/(mean*mean)-1, 0.2), 3)
}

// slowKind is the pooled slowness of a kind, shrunk to the fleet's. One that a long first run made look slow
// comes back as its samples fade.
func (d *Dispatcher) slowKind(k *kindStats) float64 {
	return (k.slowSum + kindPrior*d.slowFleet()) / (k.slowN + kindPrior)
}

// slowFleet is the pooled slowness of all kinds.
func (d *Dispatcher) slowFleet() float64 {
	sum, n := 0.0, 0.0
	for i := range d.kinds {
		sum += d.kinds[i].slowSum
		n += d.kinds[i].slowN
	}
	if n > 0 && sum > 0 {
		return sum / n
	}
	return 1
}

// sample learns from a run that took t seconds.
func (d *Dispatcher) sample(w *worker, r *request, t float64) {
	k := &d.kinds[w.kind]
	ratio := min(t/r.work, sampleCap*d.slowKind(k))
	d.follow(t, r.work*k.base)
	w.slowSum += ratio
	w.slowN++
	k.slowSum += ratio
	k.slowSq += ratio * ratio
	k.slowN++
	if r.hinted {
		return
	}
	// Without hints a class's mean work is learned beside the speeds.
	c := r.class
	if d.classN[c] < 100 {
		d.classN[c]++
	}
	// Against the fleet's mean slowness, so that work stays in seconds and the two do not drift.
	d.classWork[c] += (t/max(d.slowKind(k)/d.slowFleet(), 1e-3) - d.classWork[c]) / d.classN[c]
	d.classWork[c] = max(d.classWork[c], 1e-4)
}

// follow moves the slowdown of the moment, as of something that all share: the fifth of runs that take least,
// over what they take in calm.
func (d *Dispatcher) follow(t, calm float64) {
	switch {
	case calm <= 0:
	case t < d.slowdown*calm:
		d.slowdown = max(1, d.slowdown*(1-0.8*slowStep))
	default:
		d.slowdown = min(20, d.slowdown*(1+0.2*slowStep))
	}
}

// slots is a worker's slot count: the largest that its kind has shown; before, its listed weight.
func (d *Dispatcher) slots(w *worker) float64 {
	if k := &d.kinds[w.kind]; k.shown >= fewReports {
		return max(1, k.slots)
	}
	return max(1, w.weight)
}

// known is the occupancy of a worker by all dispatchers while evidence is fresh: a run, or a queue long.
func (d *Dispatcher) known(w *worker, now time.Duration) (float64, bool) {
	if d.set.budget() <= 1 {
		return w.held, true // all that it holds is ours, and a report is older than that
	}
	if !w.occSeen {
		return 0, false
	}
	c := d.slots(w)
	age := (now - w.occAt).Seconds()
	if age > w.run*max(1, w.occ/c) {
		return 0, false
	}
	return w.occ + max(0, w.held-w.occHeld), true
}

// turnedDown notes that a worker had no room for a job.
func (d *Dispatcher) turnedDown(w *worker, now time.Duration) {
	w.occ = max(w.occ, d.slots(w)+1)
	w.occHeld, w.occAt, w.occSeen = w.held, now, true
}

// warmth is the part of its capacity that a worker surely has.
func (d *Dispatcher) warmth(w *worker, now time.Duration) float64 {
	from := max(w.started, w.lostAt)
	age := now - from
	if from <= 0 || age >= d.set.WarmWithin {
		return 1
	}
	return d.set.ColdFrom + (1-d.set.ColdFrom)*max(0, age.Seconds())/d.set.WarmWithin.Seconds()
}

// coldShare is how much of a cold worker's present capacity all dispatchers together may send.
func (d *Dispatcher) coldShare() float64 { return coldSafety * d.set.FallMultiple }

// cool takes w for cold from now on.
func (d *Dispatcher) cool(w *worker, now time.Duration) {
	w.creditAt, w.credit = now, -d.debt(w, d.meanWork)
}

// debt is what has to be saved up after such a job at a cold worker until its next turn. Dispatchers have no
// word of each other, so it is drawn: no start or restart brings their turns together.
func (d *Dispatcher) debt(w *worker, work float64) float64 {
	return d.rng.ExpFloat64() * work * d.slowness(w)
}

// turn tells whether w, which is cold, takes a job from here now. A turn not used within the window of the
// budget is lost: what many have saved up would be spent all at once.
func (d *Dispatcher) turn(w *worker, now time.Duration) bool {
	rate := d.coldShare() * d.warmth(w, now) * d.slots(w) / d.set.budget()
	w.credit += rate * min(now-w.creditAt, d.set.WarmWithin).Seconds()
	w.creditAt = now
	for most := rate * max(d.set.FallWindow, minLeft).Seconds(); w.credit > most; {
		w.credit -= most + d.debt(w, d.meanWork)
	}
	return w.credit > 0
}

// unreached notes a failed connection and tells whether w's zone is cut off, or lost. Its workers are too
// many to be shut out one by one, and each would cost another request the time of a connection.
func (d *Dispatcher) unreached(w *worker, now time.Duration) bool {
	for len(d.zones) <= w.zone {
		d.zones = append(d.zones, zone{})
	}
	z := &d.zones[w.zone]
	for i := range d.zones { // somewhere must be left to go to
		if d.set.Zones < 2 || i != w.zone && d.zones[i].until > now {
			return false
		}
	}
	if z.fails++; z.fails <= d.set.MaxAttempts { // more than one request has met nobody there
		return false
	}
	if now >= z.until {
		z.wait = min(max(2*z.wait, minShut), 4*minShut)
		z.until = now + z.wait/2 + d.jitter(z.wait)
		d.dirty = true
		for i := range d.workers {
			if x := &d.workers[i]; x.zone == w.zone {
				d.lost(x, now)
			}
		}
	}
	return true
}

// away notes that no connection to w comes up. That is no matter of shares, as failures are, which any worker
// may have: it is left alone at once, however many others are, and tried with one job now and then.
func (d *Dispatcher) away(w *worker, now time.Duration) {
	d.dirty = d.dirty || w.awayFor == 0
	w.awayFor = min(max(2*w.awayFor, minAway), mostAway)
	w.awayUntil = now + w.awayFor/2 + d.jitter(w.awayFor)
	d.lost(w, now)
}

// lost takes w for cold when it is back: it may be starting anew, and the list says so seconds later.
func (d *Dispatcher) lost(w *worker, now time.Duration) {
	if d.warmth(w, now) == 1 {
		d.cool(w, now)
	}
	w.lostAt = missing
}

// cut tells whether w's zone cannot be reached.
func (d *Dispatcher) cut(w *worker, now time.Duration) bool {
	return w.zone < len(d.zones) && d.zones[w.zone].until > now
}

// failed notes an answer that speaks against a worker's health, and shuts it out where its answers are worse
// than the fleet's: one that fails fast empties its s_i and would draw job after job.
func (d *Dispatcher) failed(w *worker, now time.Duration, weight float64) bool {
	w.fails += weight
	d.fails += weight
	bad := w.fails / (w.fails + w.oks)
	usual := d.fails / (d.fails + d.oks + 1)
	if w.shutUntil > now || bad < 0.2 || (bad < 3*usual && w.shutFor == 0) {
		return false
	}
	w.shutFor = min(max(2*w.shutFor, minShut), mostShut)
	w.shutUntil = now + w.shutFor/2 + d.jitter(w.shutFor)
	d.shut++
	d.crowded = float64(d.shut) > maxShut*float64(len(d.order))
	return true
}

// served notes a good answer.
func (d *Dispatcher) served(w *worker, now time.Duration) {
	if w.lostAt == missing {
		w.lostAt = now
	}
	if w.zone < len(d.zones) {
		d.zones[w.zone] = zone{}
	}
	w.awayFor = 0
	w.oks++
	d.oks++
	if w.shutFor > 0 {
		w.shutFor, w.fails = 0, 0
	}
}

// density is a request's expected worth for a slot-second: where worth goes by work it is the class's.
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

// waited learns how long jobs wait at workers, against what their aims allow.
func (d *Dispatcher) waited(p *pool, w *worker, wait, budget time.Duration) {
	part := min(1, max(0, wait.Seconds())/max(budget.Seconds(), 1e-3))
	d.zoned(w).full += part
	p.see(part)
}

// see learns from a wait. The first few count for more: who starts in a jam must not add to it.
func (p *pool) see(part float64) {
	p.seen++
	p.wait += (part - p.wait) * max(waitWeight, 1/(p.seen+1))
}

// adjust moves a pool's limit. While answers show waits that the aims do not allow, the slots that this
// dispatcher holds shrink, and the rest is held back here: else jobs would all be answered late.
func (d *Dispatcher) adjust(p *pool, now time.Duration) {
	if (now - p.at).Seconds() < min(max(d.meanWork/2, 0.05), 0.5) {
		return
	}
	p.at = now
	switch {
	case p.wait > waitMost:
		if p.limit == 0 {
			p.limit = p.held + 1
		}
		if p.held > p.limit*0.7 {
			p.limit = max(1, d.part(p, now), p.limit*0.9)
		}
	case p.limit > 0:
		p.limit = p.limit*(1.2-0.3*p.wait) + 0.1
		if p.limit > 3*p.held+3 && len(p.parked) == 0 {
			p.limit = 0
		}
	}
}

// part is this dispatcher's part of the slots that p's work can go to. What it holds may well fill these.
func (d *Dispatcher) part(p *pool, now time.Duration) float64 {
	sum := 0.0
	for k, sp := range d.spans {
		if p != &d.pools[0] && p != &d.pools[k+1] {
			continue
		}
		for _, i := range d.order[sp.from:sp.to] {
			if w := &d.workers[i]; w.shutFor == 0 && w.awayFor == 0 {
				sum += d.slots(w) * d.warmth(w, now)
			}
		}
	}
	return sum / float64(d.set.Balancers)
}

// lean moves the part of the claims that is made in this zone: less while more is turned away here than
// elsewhere. So does unbound work leave a kind whose bound work waits or is turned away.
func (d *Dispatcher) lean(f float64) {
	d.home = min(max(d.home+0.5*(d.far.share()+homeSlack-d.near.share()), 0), homeward)
	for k := range d.kinds {
		p, g := &d.pools[k+1], &d.kinds[k].guest
		if p.wait > waitMost/4 || p.turned.share() > 0.3 {
			*g = max(*g*0.7, 0.01)
		} else {
			*g = min(1, *g*1.1)
		}
		fade(f, &p.turned.sent, &p.turned.full)
	}
	fade(f, &d.near.sent, &d.near.full, &d.far.sent, &d.far.full)
}
