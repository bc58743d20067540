package recovery

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Provider is a provider that serves according to the list.
type Provider struct {
	Slots     float64
	Warm      bool          // proved to be warm: see ColdSince
	ColdSince time.Duration // otherwise: from when it counts as started, on the host's clock
}

// CapacityShare is this scheduler's part of the capacity of all providers.
type CapacityShare struct {
	Work float64 // of their slots, shared with the schedulers that are present
	Cold float64 // of what cold providers can take (fleet.Conclusion), shared with all schedulers that may run
}

// Job is a job that may enter the engine.
type Job struct {
	ID       uint64
	Class    int
	Due      time.Duration // when its client gives up
	Work     float64       // estimated slot-seconds that it takes at a warm provider; above 0
	Slots    float64       // slots that it occupies; 0: one
	Old      bool          // it is from the previous process
	InFlight bool          // an attempt may be in flight: the job enters at once and waits in the engine
}

// Answer is the result of offering a job.
type Answer uint8

// The results of an offer.
const (
	Waits      Answer = iota // Next returns it when it enters, or when it cannot finish in time
	Enters                   // it enters now; its rate is not limited
	RetryLater               // nothing ran; its client is to retry after the returned delay
	MayHaveRun               // it may have run before the power loss: no promise is possible
)

// LateJob is a job that cannot finish in time. Whether its client may be told that repeating the request is safe is up to the
// decision module.
type LateJob struct {
	ID         uint64
	RetryAfter time.Duration // 0: not given
}

// Offer submits a job for entry into the engine: jobs of the previous process once their owners are known, new ones as they
// arrive. The duration is the retry delay for RetryLater.
func (m *Machine) Offer(now time.Duration, j Job) (Answer, time.Duration) {
	m.advance(now)
	switch {
	case j.Class < 0 || j.Class >= len(m.lim.Classes):
		return RetryLater, 0 // a retry would not help
	case m.step == Service:
		if m.mustNotRunTwice(j) && now < m.neverHeldUntil() {
			return MayHaveRun, 0
		}
		m.pacer.enter(now, j)
		return Enters, 0
	case j.Old:
		m.pacer.offer(j)
		return Waits, 0
	case m.mustNotRunTwice(j) && now < m.neverHeldUntil():
		return MayHaveRun, 0
	case m.step < Admit:
		return RetryLater, m.pacer.retryDelay(now, m.admitTime(now), j.Work)
	case m.pacer.slots() == 0 || m.pacer.waiting() >= m.pacer.maxWaiting(now, j):
		return RetryLater, m.pacer.retryDelay(now, now, j.Work)
	}
	m.pacer.offer(j)
	return Waits, 0
}

// mustNotRunTwice reports whether a job is new and of a class whose jobs must never run twice.
func (m *Machine) mustNotRunTwice(j Job) bool { return !j.Old && m.lim.Classes[j.Class].Unsafe }

// admitTime returns when new jobs may enter if each remaining wait takes as long as its limit allows.
func (m *Machine) admitTime(now time.Duration) time.Duration {
	at := now
	if m.wait.Until > 0 {
		at = m.wait.Until
	}
	for _, w := range [...]struct {
		step Step
		what Awaited
	}{{Find, ForPeer}, {Agree, ForMembers}, {Take, ForList}, {Settle, ForOwners}, {Carry, ForListeners}} {
		if w.step > m.step {
			at += m.lim.waitLimit(w.what)
		}
	}
	return at
}

// Next returns the jobs that enter the engine now, in this order, and those that can no longer finish in time. Once the rate
// is no longer limited, all waiting jobs enter.
func (m *Machine) Next(now time.Duration) (enter []uint64, tell []LateJob) {
	m.advance(now)
	if m.step < Carry {
		return nil, nil
	}
	return m.pacer.next(now, m.step)
}

// JobEnded reports that a job has left the engine, and whether it was served.
func (m *Machine) JobEnded(now time.Duration, id uint64, served bool) { m.pacer.ended(now, id, served) }

// Waiting returns how many jobs wait to enter, and how many of them are from the previous process.
func (m *Machine) Waiting() (all, old int) { return m.pacer.waiting(), m.pacer.oldCount }

// buckets is the number of intervals into which the longest deadline is divided: the resolution of planned entry times.
const buckets = 64

// pacer limits the rate at which jobs enter the engine. Two rules keep late jobs from delaying the rest. First, the engine
// holds at most twice as many jobs as providers have slots, so that a free slot always finds its next job here, and each job
// that leaves lets one in. Second, a job that cannot finish in time behind the jobs ahead of it is returned as such at once.
// Further offers do not affect jobs that have entered.
type pacer struct {
	lim       Limits
	rng       *rand.Rand
	part      CapacityShare
	providers []Provider

	queue     []Job // planned, in order of entry
	unplanned []Job // not planned yet
	oldCount  int   // of queue and unplanned, the jobs of the previous process
	plannedAt time.Duration
	backlog   float64 // total work of queue

	entered         map[uint64]Job
	inWork, inSlots float64 // of the jobs in the engine, without those whose attempt was in flight
	inJobs          int

	// The ratio of actual to estimated job duration: work that providers could have done while the engine was full, over work
	// done. Both decay.
	possibleWork, doneWork float64
	countedAt              time.Duration
	nextTurn               time.Duration // when the next job that is told to retry later could be served

	// How many jobs were told to retry later in this period, the previous one, and the one before that.
	retryCounts [3]int
	periodStart time.Duration // when this period began
}

func newPacer(lim Limits, seed uint64, now time.Duration) *pacer {
	return &pacer{lim: lim, rng: rand.New(rand.NewPCG(seed, 0)), entered: make(map[uint64]Job), plannedAt: -1, countedAt: now}
}

func (p *pacer) waiting() int { return len(p.queue) + len(p.unplanned) }

// planInterval returns the planning interval: the time in which the decision module lets a cold provider's budget grow to its
// maximum.
func (p *pacer) planInterval() time.Duration { return max(p.lim.FallWindow/4, p.lim.DialTimeout) }

func (p *pacer) setProviders(now time.Duration, serving []Provider, part CapacityShare) {
	p.accumulate(now)
	p.providers, p.part, p.plannedAt = slices.Clone(serving), part, -1
}

// slots returns this scheduler's part of all slots.
func (p *pacer) slots() (n float64) {
	for i := range p.providers {
		n += p.providers[i].Slots
	}
	return n * p.part.Work
}

// usablePart returns the part of its capacity that a provider is certain to have.
func (p *pacer) usablePart(v *Provider, at time.Duration) float64 {
	age := at - v.ColdSince
	if v.Warm || age >= p.lim.WarmWithin {
		return 1
	}
	return p.lim.ColdFrom + (1-p.lim.ColdFrom)*max(0, age.Seconds())/p.lim.WarmWithin.Seconds()
}

// rate returns the work that providers do for this scheduler at a time, in slot-seconds per second. A cold provider counts
// with no more than it may be sent.
func (p *pacer) rate(at time.Duration) (r float64) {
	for i := range p.providers {
		v := &p.providers[i]
		w := p.usablePart(v, at)
		if w < 1 {
			w *= min(1, p.lim.ColdLoadLimit) * p.part.Cold
		} else {
			w *= p.part.Work
		}
		r += w * v.Slots
	}
	return r
}

// allWarmAt returns when the last provider is warm.
func (p *pacer) allWarmAt() (at time.Duration) {
	for i := range p.providers {
		if v := &p.providers[i]; !v.Warm {
			at = max(at, v.ColdSince+p.lim.WarmWithin)
		}
	}
	return at
}

// idle reports whether there is nothing left to limit: no job waits, no client that was told to retry later has a turn to
// come, and all providers are warm.
func (p *pacer) idle(now time.Duration) bool {
	return p.waiting() == 0 && p.slots() > 0 && now >= max(p.allWarmAt(), p.nextTurn)
}

// full reports whether the engine takes no more jobs. One job is always allowed.
func (p *pacer) full() bool { return p.inJobs > 0 && p.inSlots >= 2*p.slots() }

// maxWaiting returns how many jobs may wait: twice the number that could finish in time if all were like this one, because some
// will not be.
func (p *pacer) maxWaiting(now time.Duration, j Job) int {
	w := j.Work * p.slowdown()
	if !(w > 0) {
		return math.MaxInt32
	}
	return int(min(math.MaxInt32, 2*p.slots()*max(0, (j.Due-now).Seconds())/w)) + 1
}

// slowdown returns the ratio of actual to estimated job duration. With little evidence it is near 1: the engine's content is
// added to both terms.
func (p *pacer) slowdown() float64 {
	evidence := p.inWork + p.slots()*p.planInterval().Seconds()
	if evidence <= 0 {
		return 1
	}
	return (p.possibleWork + evidence) / (p.doneWork + evidence)
}

// accumulate adds the work that providers could have done up to now.
func (p *pacer) accumulate(now time.Duration) {
	dt := (now - p.countedAt).Seconds()
	if dt <= 0 {
		return
	}
	if p.full() {
		p.possibleWork += dt * p.rate(now)
	}
	p.countedAt = now
	if w := p.lim.WarmWithin.Seconds(); w > 0 {
		fade := math.Exp(-dt / w)
		p.possibleWork *= fade
		p.doneWork *= fade
	}
}

// sanitized returns the job with unusable numbers replaced.
func sanitized(j Job) Job {
	if !(j.Work > 0 && j.Work < 1e6) {
		j.Work = 0
	}
	if !(j.Slots > 0 && j.Slots < 1e6) {
		j.Slots = 1
	}
	return j
}

func (p *pacer) offer(j Job) {
	j = sanitized(j)
	p.unplanned = append(p.unplanned, j)
	if j.Old {
		p.oldCount++
	}
}

func (p *pacer) enter(now time.Duration, j Job) {
	p.accumulate(now)
	j = sanitized(j)
	p.entered[j.ID] = j
	if !j.InFlight {
		p.inJobs++
		p.inWork += j.Work
		p.inSlots += j.Slots
	}
}

func (p *pacer) ended(now time.Duration, id uint64, served bool) {
	p.accumulate(now)
	j, ok := p.entered[id]
	if !ok {
		return
	}
	full := p.full()
	delete(p.entered, id)
	if j.InFlight {
		return
	}
	p.inJobs--
	p.inWork, p.inSlots = max(0, p.inWork-j.Work), max(0, p.inSlots-j.Slots)
	if p.inJobs == 0 {
		p.inWork, p.inSlots = 0, 0 // clears rounding errors
	}
	if served && full {
		p.doneWork += j.Work
	}
}

// next returns the jobs that there is room for.
func (p *pacer) next(now time.Duration, step Step) (enter []uint64, tell []LateJob) {
	p.accumulate(now)
	take := func(j Job) {
		if j.Old {
			p.oldCount--
		}
		p.enter(now, j)
		enter = append(enter, j.ID)
	}
	p.unplanned = slices.DeleteFunc(p.unplanned, func(j Job) bool {
		if j.Old && j.InFlight {
			take(j)
		}
		return j.Old && j.InFlight
	})
	if step < Ready {
		return enter, nil
	}
	if step == Service {
		p.sortByEntry(p.unplanned)
		for _, j := range append(p.queue, p.unplanned...) {
			take(j)
		}
		p.queue, p.unplanned = nil, nil
		return enter, nil
	}
	switch {
	case len(p.queue) == 0 && p.allFit():
		p.queue, p.unplanned = p.unplanned, nil
		p.sortByEntry(p.queue)
	case p.plannedAt < 0 || len(p.queue) == 0 && len(p.unplanned) > 0 || now-p.plannedAt >= p.planInterval():
		tell = p.plan(now)
	}
	n, best := 0, p.bestCapacity(now)
	for _, j := range p.queue {
		late := now+minRunTime(j, best) >= j.Due
		if !late && (p.slots() == 0 || p.full()) {
			break
		}
		n++
		if !late {
			take(j)
			continue
		}
		if j.Old { // more time has passed than was planned
			p.oldCount--
		}
		tell = append(tell, LateJob{j.ID, p.retryDelay(now, now, j.Work)})
	}
	p.queue = slices.Delete(p.queue, 0, n)
	p.updateBacklog()
	return enter, tell
}

func (p *pacer) updateBacklog() {
	p.backlog = 0
	for i := range p.queue {
		p.backlog += p.queue[i].Work
	}
}

// allFit reports whether all recently offered jobs can enter.
func (p *pacer) allFit() bool {
	n := p.inSlots
	for i := range p.unplanned {
		n += p.unplanned[i].Slots
	}
	return p.slots() > 0 && n <= 2*p.slots()
}

// bestCapacity returns the largest part of its capacity that any provider is certain to have.
func (p *pacer) bestCapacity(now time.Duration) (best float64) {
	for i := range p.providers {
		best = max(best, p.usablePart(&p.providers[i], now))
	}
	if best <= 0 {
		return 1
	}
	return best
}

// minRunTime returns the shortest time that a job takes if the best provider has this part of its capacity.
func minRunTime(j Job, best float64) time.Duration { return seconds(j.Work / j.Slots / best) }

// seconds converts s to a duration, up to a maximum.
func seconds(s float64) time.Duration { return time.Duration(min(s, 1e9) * 1e9) }

// sortByEntry sorts jobs in order of entry: by due time, then by worth, then by class.
func (p *pacer) sortByEntry(jobs []Job) {
	slices.SortFunc(jobs, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(p.lim.Classes[b.Class].Worth, p.lim.Classes[a.Class].Worth),
			cmp.Compare(a.Class, b.Class), cmp.Compare(a.ID, b.ID))
	})
}

// plan goes through all waiting jobs, those with the most worth per work first. It keeps each job that can start in time
// behind those kept so far without making one of them late, and returns the others. For jobs of equal length no other
// selection serves more worth.
func (p *pacer) plan(now time.Duration) (tell []LateJob) {
	all := append(p.queue, p.unplanned...)
	p.queue, p.unplanned, p.plannedAt = nil, nil, now
	slowdown, longest, best := p.slowdown(), p.lim.longestDeadline(), p.bestCapacity(now)
	slices.SortFunc(all, func(a, b Job) int {
		da, db := p.lim.Classes[a.Class].Worth/max(a.Work, 1e-9), p.lim.Classes[b.Class].Worth/max(b.Work, 1e-9)
		return cmp.Or(cmp.Compare(db, da), cmp.Compare(a.Due, b.Due), cmp.Compare(a.ID, b.ID))
	})
	workDone := p.cumulativeWork(now, longest) // work done by the end of each bucket
	var due, largest [buckets]float64
	var late []Job
	width := longest / buckets
	noSlots := p.slots() == 0 // a provider may still appear in time
	for _, j := range all {
		begin := j.Due - now - minRunTime(j, best)
		w := j.Work * slowdown
		fits := begin > 0
		if fits && !noSlots {
			k := min(buckets-1, int(begin/max(1, width)))
			before := p.inWork * slowdown
			for i := 0; i <= k; i++ {
				before += due[i]
			}
			start := 0.0
			if k > 0 {
				start = workDone[k-1]
			}
			fits = before <= start+(workDone[k]-start)*min(1, (begin-time.Duration(k)*width).Seconds()/max(width.Seconds(), 1e-9))
			for i, sum := k+1, before; fits && i < buckets; i++ {
				if sum += due[i]; due[i] > 0 {
					fits = sum+w-largest[i] <= workDone[i]
				}
			}
			if fits {
				due[k] += w
				largest[k] = max(largest[k], w)
			}
		}
		if fits {
			p.queue = append(p.queue, j)
		} else {
			late = append(late, j)
		}
	}
	p.sortByEntry(p.queue)
	p.updateBacklog()
	for _, j := range late {
		if j.Old {
			p.oldCount--
		}
		tell = append(tell, LateJob{j.ID, p.retryDelay(now, now, j.Work)})
	}
	return tell
}

// retryPeriod returns the time within which a client that was told to retry later has returned or given up.
func (l *Limits) retryPeriod() time.Duration {
	return max(l.longestDeadline()+l.MaxRetry, time.Millisecond)
}

func (p *pacer) advancePeriods(now time.Duration) {
	if now-p.periodStart >= 4*p.lim.retryPeriod() {
		p.retryCounts, p.periodStart = [3]int{}, now
	}
	for ; now-p.periodStart >= p.lim.retryPeriod(); p.periodStart += p.lim.retryPeriod() {
		p.retryCounts = [3]int{0, p.retryCounts[0], p.retryCounts[1]}
	}
}

// surgeDeclines reports whether a surge of clients is about to end: fewer were told to retry later than in the period before. A
// load that persists is as likely to grow, and is left to the decision module.
func (p *pacer) surgeDeclines(now time.Duration) bool {
	p.advancePeriods(now)
	return p.retryCounts[1] < p.retryCounts[2]
}

// cumulativeWork returns the work that providers do from now to the end of each bucket of a period.
func (p *pacer) cumulativeWork(now, over time.Duration) (sum [buckets]float64) {
	width, last, total := over/buckets, p.rate(now), 0.0
	for k := range sum {
		r := p.rate(now + time.Duration(k+1)*width)
		total += (last + r) / 2 * width.Seconds()
		sum[k], last = total, r
	}
	return sum
}

// retryDelay returns the retry delay for a client: until the waiting jobs and the clients told before it are served. Each client
// gets a turn of its own, and the delay is drawn at random within that turn. Clients beyond what fits in MaxRetry return over
// its later half, to be told again.
func (p *pacer) retryDelay(now, opens time.Duration, work float64) time.Duration {
	p.advancePeriods(now)
	p.retryCounts[0]++
	if p.lim.MaxRetry <= 0 {
		return 0
	}
	work, ahead := work*p.slowdown(), (p.backlog+p.inWork)*p.slowdown()
	at := max(opens, now)
	if r := p.rate(at); r > 0 {
		// The rate only grows while providers warm up: half of the work at the current rate is a bound, the rest goes at the
		// later rate.
		half := seconds(ahead / 2 / r)
		at += half + seconds(ahead/2/p.rate(at+half))
	} else {
		at = now + p.lim.MaxRetry
	}
	at = max(at, p.nextTurn)
	own := time.Duration(0)
	if r := p.rate(at); r > 0 {
		own = seconds(work / r)
	}
	if at+own-now > p.lim.MaxRetry || own <= 0 {
		half := p.lim.MaxRetry / 2
		return p.lim.MaxRetry - time.Duration(p.rng.Int64N(int64(half)+1))
	}
	p.nextTurn = at + own
	return at - now + time.Duration(p.rng.Int64N(int64(own)+1))
}
