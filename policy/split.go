package policy

import (
	"math"
	"sort"
	"time"
)

// solver computes the target rates of the paper's problem (10). It keeps the last multiplier as the starting
// point of the next solve.
type solver struct {
	lambda float64
}

// solve sets ξ for problem (10): minimise Σ ξ/(μ−ξ) subject to 0 <= ξ < μ' and Σ ξ = total.
// The optimality conditions give ξ = clip(μ − √(μ/λ), 0, μ'). Σ ξ grows with the multiplier
// λ, which Newton's method finds from the last one, within a bracket. If total >= Σ μ' there
// is no solution and the rates are proportional to μ'. It reports whether there is a solution.
func (s *solver) solve(mu, limit, xi []float64, total float64) bool {
	sum, lo, hi := 0.0, math.Inf(1), 0.0
	for i, m := range mu {
		sum += limit[i]
		if limit[i] > 0 {
			gap := m - limit[i] // positive: limits stay under μ
			lo = min(lo, 1/m)
			hi = max(hi, m/(gap*gap))
		}
	}
	if total <= 0 || sum <= 0 || total >= sum {
		f := max(0, total) / max(sum, 1e-9)
		for i := range xi {
			xi[i] = limit[i] * f
		}
		return total <= 0
	}
	x := s.lambda
	if !(x > lo && x < hi) {
		x = lo + (hi-lo)/1024
	}
	for range 100 {
		got, slope := 0.0, 0.0
		for i, m := range mu {
			xi[i] = 0
			if x*m <= 1 || limit[i] <= 0 {
				continue
			}
			root := math.Sqrt(m / x)
			if xi[i] = m - root; xi[i] < limit[i] {
				slope += root / (2 * x)
			} else {
				xi[i] = limit[i]
			}
			got += xi[i]
		}
		if math.Abs(got-total) <= 1e-9*total {
			break
		}
		if got < total {
			lo = x
		} else {
			hi = x
		}
		next := math.Sqrt(lo * hi)
		if slope > 0 {
			if n := x + (total-got)/slope; n > lo && n < hi {
				next = n
			}
		}
		x = next
	}
	s.lambda = x
	return true
}

// maxUtilization is the maximum of ξ/μ. It keeps ξ below the bound of (10) by a margin that keeps L finite.
const maxUtilization = 0.95

// span is the range of one kind in Dispatcher.drawable.
type span struct{ from, to int }

// rebuildSplit rebuilds the split: the workers that may be drawn, their μ, μ', ξ and L, and the sums that the
// draw searches. It is the only regular scan of the fleet, every solvePeriod and after a change of the list.
func (d *Dispatcher) rebuildSplit(now time.Duration) {
	d.decayEstimates(now)
	d.drawable = d.drawable[:0]
	d.spans = d.spans[:0]
	ejected, local := 0, 0
	for k := range d.kinds {
		from := len(d.drawable)
		for i := range d.workers {
			w := &d.workers[i]
			if w.kind != k || !w.listed || w.state != Ready {
				continue
			}
			d.drawable = append(d.drawable, int32(i))
			if w.ejectedUntil > now {
				ejected++
			}
			if w.zone == d.set.Zone {
				local++
			}
		}
		d.spans = append(d.spans, span{from, len(d.drawable)})
	}
	n := len(d.drawable)
	d.ejected, d.splitStale, d.coldWorkers = ejected, false, d.coldWorkers[:0]
	d.ignoreHealth = float64(ejected) > maxEjectedShare*float64(n)
	d.mu, d.limit, d.xi = resize(d.mu, n), resize(d.limit, n), resize(d.xi, n)
	d.unboundSums, d.boundSums = resize(d.unboundSums, n), resize(d.boundSums, n)
	near, far := d.claims(n, local)
	for j, i := range d.drawable {
		w := &d.workers[i]
		w.meanRunSeconds = d.slowness(w) * d.meanWork
		claim := far
		if w.zone == d.set.Zone {
			claim = near
		}
		mu := d.slots(w) / w.meanRunSeconds * claim
		warm := d.warmShare(w, now)
		limit := mu * maxUtilization
		switch {
		case w.ejectedUntil > now && !d.ignoreHealth || w.connectRetryAt > now || d.zoneUnreachable(w, now):
			mu, limit = 0, 0
		case warm < 1:
			// The paper's Ξθ_i: a cold worker takes this dispatcher's share of its current capacity.
			if w.connectBackoff == 0 { // else it may still be unreachable
				d.coldWorkers = append(d.coldWorkers, i)
			}
			mu *= warm
			limit = min(limit, mu*maxUtilization, mu*d.coldMultiple())
		case w.ejectedFor > 0: // on probation
			limit *= probationRateShare
		}
		d.mu[j], d.limit[j] = mu, limit
	}
	d.computeSums()
	for j, i := range d.drawable {
		w := &d.workers[i]
		w.xi, w.load, w.target = d.xi[j], 0, 0
		if mu := d.mu[j]; mu > 0 {
			w.load = w.xi / mu
			w.target = w.xi*w.meanRunSeconds + w.xi/(mu-w.xi)
		}
		// (10) may leave a worker that is back from maintenance empty: one job tests its current speed.
		if w.lastSentAt < w.returnedAt {
			w.target = max(w.target, 1)
		}
	}
}

// claims returns the shares of a worker of this zone, and of another zone, that this dispatcher counts as its
// own. Both are the design's 1/B if crossing zones is free.
func (d *Dispatcher) claims(n, local int) (near, far float64) {
	b := 1 / float64(d.set.Balancers)
	if d.set.Zones < 2 || d.set.CrossZone <= 0 || local == 0 || local == n {
		return b, b
	}
	return b * (d.localShare*float64(d.set.Zones) + 1 - d.localShare), b * max(1-d.localShare, 0.05)
}

// computeSums solves (10) and computes the sums for the draws. Bound work is drawn by ξ within its kind. Its
// rate is subtracted from the weights of unbound work, so that the kind keeps room for it.
func (d *Dispatcher) computeSums() {
	d.solver.solve(d.mu, d.limit, d.xi, d.arrivalRate)
	sumAll := 0.0
	for k, sp := range d.spans {
		xi := 0.0
		weights := d.xi[sp.from:sp.to]
		for _, v := range weights {
			xi += v
		}
		if xi <= 0 { // a kind that (10) leaves empty still serves the work bound to it
			weights = d.limit[sp.from:sp.to]
		}
		keep := 1.0
		if b := d.boundArrivalRate[k]; b > 0 {
			keep = 0
			if xi > b {
				keep = (xi - b) / xi * d.kinds[k].unboundShare
			}
		}
		sumBound := 0.0
		for j := sp.from; j < sp.to; j++ {
			sumBound += weights[j-sp.from]
			sumAll += d.xi[j] * keep
			d.boundSums[j], d.unboundSums[j] = sumBound, sumAll
		}
	}
	if sumAll <= 0 { // no arrivals yet, or bound work fills every kind: unbound work is shared by μ'
		for j, v := range d.limit {
			sumAll += v
			d.unboundSums[j] = sumAll
		}
	}
}

// draw picks a worker for r; -1: none. G is the set of workers whose occupancy is below target. Drawing by ξ
// until some are in G equals drawing within G by ξ_i/Σ_G ξ_j; of those drawn, r joins the shortest queue. If
// none of maxDraws draws is in G, G counts as empty and the shortest queue of those drawn by ξ_i/Ξ is taken.
func (d *Dispatcher) draw(now time.Duration, r *request) int {
	sums, from := d.unboundSums, 0
	if k := d.set.Classes[r.class].Kind; k >= 0 {
		if k >= len(d.spans) {
			return -1
		}
		sp := d.spans[k]
		sums, from = d.boundSums[sp.from:sp.to], sp.from
	}
	if len(sums) == 0 {
		return -1
	}
	if i := d.coldWorkerFor(now, r); i >= 0 {
		return i
	}
	total := sums[len(sums)-1]
	if !(total > 0) {
		return d.scan(now, r)
	}
	best, bestRank, least := -1, rankBarred, 0.0
	// The last attempt waits wherever it is sent; it prefers the other zones.
	preferLocal := len(r.attempts) < max(1, d.set.MaxAttempts-1)
	for range maxDraws {
		i := int(d.drawable[from+d.pick(sums)])
		rank, queue := d.rank(now, r, i), d.queueLength(now, &d.workers[i], preferLocal)
		if rank < bestRank || rank == bestRank && rank < rankBarred && queue < least {
			best, bestRank, least = i, rank, queue
		}
	}
	if best < 0 {
		return d.scan(now, r)
	}
	return best
}

// coldWorkerFor returns a cold worker that has credit for r; -1: none. Such a worker is always used: few
// other dispatchers have credit for it at the same time.
func (d *Dispatcher) coldWorkerFor(now time.Duration, r *request) int {
	for n, k := len(d.coldWorkers), 0; k < n; k++ {
		if i := int(d.coldWorkers[(k+len(r.attempts)+int(r.id))%n]); d.rank(now, r, i) < rankOver {
			return i
		}
	}
	return -1
}

// queueLength returns this dispatcher's jobs at w per slot. The queue of a worker in another zone counts as
// longer, by the cost of sending there. Slowness counts by its square root, as ξ and the queue lengths
// reflect it already.
func (d *Dispatcher) queueLength(now time.Duration, w *worker, preferLocal bool) float64 {
	jobs := w.heldSlots / d.slots(w)
	if d.set.TellsStart && w.notStarted > 0 && now-w.lastSentAt > freeSlotStartTime {
		// A job that has not started by now waits behind other dispatchers' jobs: no slot is free.
		jobs = max(jobs, 1+float64(w.notStarted)/d.slots(w))
	}
	if (w.zone != d.set.Zone) == preferLocal && d.set.CrossZone > 0 {
		jobs += crossZoneJobsPerSlot * d.localShare / maxLocalShare
	}
	return jobs * math.Sqrt(d.slowness(w))
}

// pick draws an index by weight, from cumulative sums of the weights.
func (d *Dispatcher) pick(sums []float64) int {
	u := d.rng.Float64() * sums[len(sums)-1]
	return min(sort.Search(len(sums), func(i int) bool { return sums[i] > u }), len(sums)-1)
}

// scan checks every worker for one that is allowed. It serves the rare request that no draw could place: an
// empty split, a keyed repeat in a small group, a fleet that is mostly ejected.
func (d *Dispatcher) scan(now time.Duration, r *request) int {
	best, bestRank := -1, rankBarred
	start := 0
	if len(d.drawable) > 0 {
		start = d.rng.IntN(len(d.drawable))
	}
	kind := d.set.Classes[r.class].Kind
	for n := range d.drawable {
		i := int(d.drawable[(start+n)%len(d.drawable)])
		if kind >= 0 && d.workers[i].kind != kind {
			continue
		}
		if rank := d.rank(now, r, i); rank < bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// Ranks of a drawn worker, best first.
const (
	rankRoom   = iota // in G: evidence of room below the target
	rankTarget        // in G by own occupancy; the total is unknown
	rankBusy          // fresh evidence that no slot is free
	rankOver          // at or above the target
	rankBarred        // not allowed
)

// rank returns the rank of worker i for r. The design compares own occupancy with L. Among many dispatchers
// that says little, so fresh evidence of the worker's total occupancy takes precedence: see recentOccupancy.
func (d *Dispatcher) rank(now time.Duration, r *request, i int) int {
	w := &d.workers[i]
	if !d.allowed(now, r, i) {
		return rankBarred
	}
	for k := range r.attempts {
		if int(r.attempts[k].worker) == i { // it has had an attempt of r, or still holds one
			return rankOver
		}
	}
	if w.heldSlots >= w.target {
		return rankOver
	}
	if (w.failures > unsafeFailureLimit || w.connectBackoff > 0) && d.set.Classes[r.class].Effect == Unsafe {
		return rankOver // after a failure an unsafe request cannot be sent again
	}
	occ, ok := d.recentOccupancy(w, now)
	if !ok {
		if w.heldSlots >= w.xi*w.meanRunSeconds+1 {
			return rankBusy
		}
		return rankTarget
	}
	c := d.slots(w)
	full := w.load*c + w.load/max(1-w.load, 1-maxUtilization) // L over all dispatchers
	switch {
	case occ+r.slots <= min(full, c)+0.5:
		return rankRoom
	case occ+r.slots <= full:
		return rankBusy
	}
	return rankOver
}
