package recovery

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Provider is one that serves by the list.
type Provider struct {
	Slots float64
	Warm  bool          // proved: see ColdSince
	Cold  time.Duration // otherwise since when it counts as started, on the host's clock
}

// Part is what of all providers can do is this scheduler's.
type Part struct {
	Work float64 // of their slots: it shares the work with those that are there
	Cold float64 // of what cold ones bear (fleet.Conclusion): it shares that with all that may run
}

// Job is one that may enter the engine.
type Job struct {
	ID    uint64
	Class int
	Due   time.Duration // when its client gives up
	Work  float64       // slot-seconds that it takes at a warm provider, as far as is known; above 0
	Slots float64       // that it takes; 0: one
	Old   bool          // of before
	Out   bool          // a call of it may be out: it enters at once, and waits there
}

// Answer is what becomes of a job that is offered.
type Answer uint8

// What becomes of it.
const (
	Waits    Answer = iota // Next says when it enters, or that it cannot be in time
	Enters                 // it enters now: nothing here has a say any more
	TurnAway               // nothing ran; its client is to stay away for the time that is told
	MayRun                 // it may have run before the loss: nothing can be promised
)

// Told is a job that cannot be in time. Whether its client may be told that a repeat is harmless is the module's to say.
type Told struct {
	ID         uint64
	RetryAfter time.Duration // 0: not told
}

// Offer takes a job that wants to enter the engine: those of before once their owners are known, new ones as they come. The
// time is that of TurnAway.
func (m *Machine) Offer(now time.Duration, j Job) (Answer, time.Duration) {
	m.advance(now)
	switch {
	case j.Class < 0 || j.Class >= len(m.lim.Classes):
		return TurnAway, 0 // no repeat would go better
	case m.step == Service:
		if m.never(j) && now < m.held() {
			return MayRun, 0
		}
		m.engine.enter(now, j)
		return Enters, 0
	case j.Old:
		m.engine.offer(j)
		return Waits, 0
	case m.never(j) && now < m.held():
		return MayRun, 0
	case m.step < Admit:
		return TurnAway, m.engine.away(now, m.opens(now), j.Work)
	case m.engine.slots() == 0 || m.engine.waiting() >= m.engine.most(now, j):
		return TurnAway, m.engine.away(now, now, j.Work)
	}
	m.engine.offer(j)
	return Waits, 0
}

func (m *Machine) never(j Job) bool { return !j.Old && m.lim.Classes[j.Class].Never }

// opens is when new jobs enter, if each wait that is left takes as long as it may.
func (m *Machine) opens(now time.Duration) time.Duration {
	at := now
	if m.wait.Until > 0 {
		at = m.wait.Until
	}
	for _, w := range [...]struct {
		step Step
		what What
	}{{Find, ForPeer}, {Agree, ForMembers}, {Take, ForList}, {Settle, ForOwners}, {Carry, ForListeners}} {
		if w.step > m.step {
			at += m.lim.bound(w.what)
		}
	}
	return at
}

// Next tells which jobs enter the engine now, in this order, and which cannot be in time any more. Once nothing here has a
// say, all that wait enter.
func (m *Machine) Next(now time.Duration) (enter []uint64, tell []Told) {
	m.advance(now)
	if m.step < Carry {
		return nil, nil
	}
	return m.engine.next(now, m.step)
}

// Ended tells that a job which had entered has left the engine, and whether it was served.
func (m *Machine) Ended(now time.Duration, id uint64, served bool) { m.engine.ended(now, id, served) }

// Waiting is how many jobs wait to enter, and how many of them are of before.
func (m *Machine) Waiting() (all, old int) { return m.engine.waiting(), m.engine.old }

// buckets divide the longest deadline: times to enter are planned no finer than that.
const buckets = 64

// pacer lets jobs enter the engine. Two rules keep what is late from making the rest late: no more are in the engine than
// providers have slots for, once over, so that a slot which falls free has its next job here, and each that leaves lets
// one in; and a job that cannot be in time behind those that come before it is told so at once. What is offered beyond
// that changes nothing for those that are in.
type pacer struct {
	lim       Limits
	rng       *rand.Rand
	part      Part
	providers []Provider

	queue   []Job // planned, in the order of entering
	fresh   []Job // not yet planned
	old     int   // of both, those of before
	planned time.Duration
	backlog float64 // work of queue

	in              map[uint64]Job
	inWork, inSlots float64 // of those in the engine, but for calls of before
	inJobs          int

	// How much longer jobs take than they were said to: what providers could have done while the engine was full, over what
	// was done, fading.
	could, did float64
	at         time.Duration
	turn       time.Duration // when the next one that is told to stay away could be served

	// How many were told so in this period, the last one and the one before that.
	told   [3]int
	period time.Duration // when it began
}

func newPacer(lim Limits, seed uint64, now time.Duration) *pacer {
	return &pacer{lim: lim, rng: rand.New(rand.NewPCG(seed, 0)), in: make(map[uint64]Job), planned: -1, at: now}
}

func (p *pacer) waiting() int { return len(p.queue) + len(p.fresh) }

// every is how often is planned: as often as the module lets a cold provider's budget grow to its most.
func (p *pacer) every() time.Duration { return max(p.lim.FallWindow/4, p.lim.Dial) }

func (p *pacer) bring(now time.Duration, serving []Provider, part Part) {
	p.count(now)
	p.providers, p.part, p.planned = slices.Clone(serving), part, -1
}

// slots is this scheduler's part of all slots.
func (p *pacer) slots() (n float64) {
	for i := range p.providers {
		n += p.providers[i].Slots
	}
	return n * p.part.Work
}

// warmth is the part of its capacity that a provider surely has.
func (p *pacer) warmth(v *Provider, at time.Duration) float64 {
	age := at - v.Cold
	if v.Warm || age >= p.lim.WarmWithin {
		return 1
	}
	return p.lim.ColdFrom + (1-p.lim.ColdFrom)*max(0, age.Seconds())/p.lim.WarmWithin.Seconds()
}

// rate is what providers do for this scheduler at a time, in slot-seconds a second: a cold one no more than it may be sent.
func (p *pacer) rate(at time.Duration) (r float64) {
	for i := range p.providers {
		v := &p.providers[i]
		w := p.warmth(v, at)
		if w < 1 {
			w *= min(1, p.lim.Bears) * p.part.Cold
		} else {
			w *= p.part.Work
		}
		r += w * v.Slots
	}
	return r
}

// warm is when the last provider is.
func (p *pacer) warm() (at time.Duration) {
	for i := range p.providers {
		if v := &p.providers[i]; !v.Warm {
			at = max(at, v.Cold+p.lim.WarmWithin)
		}
	}
	return at
}

// calm tells whether nothing is left to pace: nobody waits, nobody who was told to stay away has a turn to come, and all
// providers are warm.
func (p *pacer) calm(now time.Duration) bool {
	return p.waiting() == 0 && p.slots() > 0 && now >= max(p.warm(), p.turn)
}

// full tells whether no more is to be let in. One job may always be there.
func (p *pacer) full() bool { return p.inJobs > 0 && p.inSlots >= 2*p.slots() }

// most is how many may wait: as many as could be in time if all were like this one, and as many again, as some will not be.
func (p *pacer) most(now time.Duration, j Job) int {
	w := j.Work * p.drag()
	if !(w > 0) {
		return math.MaxInt32
	}
	return int(min(math.MaxInt32, 2*p.slots()*max(0, (j.Due-now).Seconds())/w)) + 1
}

// drag is how much longer jobs take than they were said to. Where little was seen they take as long: as much as the engine
// holds counts for that.
func (p *pacer) drag() float64 {
	few := p.inWork + p.slots()*p.every().Seconds()
	if few <= 0 {
		return 1
	}
	return (p.could + few) / (p.did + few)
}

// count brings what providers could have done up to now.
func (p *pacer) count(now time.Duration) {
	dt := (now - p.at).Seconds()
	if dt <= 0 {
		return
	}
	if p.full() {
		p.could += dt * p.rate(now)
	}
	p.at = now
	if w := p.lim.WarmWithin.Seconds(); w > 0 {
		fade := math.Exp(-dt / w)
		p.could *= fade
		p.did *= fade
	}
}

// sane is a job with numbers that can be reckoned with.
func sane(j Job) Job {
	if !(j.Work > 0 && j.Work < 1e6) {
		j.Work = 0
	}
	if !(j.Slots > 0 && j.Slots < 1e6) {
		j.Slots = 1
	}
	return j
}

func (p *pacer) offer(j Job) {
	j = sane(j)
	p.fresh = append(p.fresh, j)
	if j.Old {
		p.old++
	}
}

func (p *pacer) enter(now time.Duration, j Job) {
	p.count(now)
	j = sane(j)
	p.in[j.ID] = j
	if !j.Out {
		p.inJobs++
		p.inWork += j.Work
		p.inSlots += j.Slots
	}
}

func (p *pacer) ended(now time.Duration, id uint64, served bool) {
	p.count(now)
	j, ok := p.in[id]
	if !ok {
		return
	}
	full := p.full()
	delete(p.in, id)
	if j.Out {
		return
	}
	p.inJobs--
	p.inWork, p.inSlots = max(0, p.inWork-j.Work), max(0, p.inSlots-j.Slots)
	if p.inJobs == 0 {
		p.inWork, p.inSlots = 0, 0 // nothing is left of rounding
	}
	if served && full {
		p.did += j.Work
	}
}

// next lets in what there is room for.
func (p *pacer) next(now time.Duration, step Step) (enter []uint64, tell []Told) {
	p.count(now)
	take := func(j Job) {
		if j.Old {
			p.old--
		}
		p.enter(now, j)
		enter = append(enter, j.ID)
	}
	p.fresh = slices.DeleteFunc(p.fresh, func(j Job) bool {
		if j.Old && j.Out {
			take(j)
		}
		return j.Old && j.Out
	})
	if step < Ready {
		return enter, nil
	}
	if step == Service {
		p.arrange(p.fresh)
		for _, j := range append(p.queue, p.fresh...) {
			take(j)
		}
		p.queue, p.fresh = nil, nil
		return enter, nil
	}
	switch {
	case len(p.queue) == 0 && p.room():
		p.queue, p.fresh = p.fresh, nil
		p.arrange(p.queue)
	case p.planned < 0 || len(p.queue) == 0 && len(p.fresh) > 0 || now-p.planned >= p.every():
		tell = p.plan(now)
	}
	n, best := 0, p.best(now)
	for _, j := range p.queue {
		late := now+run(j, best) >= j.Due
		if !late && (p.slots() == 0 || p.full()) {
			break
		}
		n++
		if !late {
			take(j)
			continue
		}
		if j.Old { // time has gone faster than was planned
			p.old--
		}
		tell = append(tell, Told{j.ID, p.away(now, now, j.Work)})
	}
	p.queue = slices.Delete(p.queue, 0, n)
	p.weigh()
	return enter, tell
}

func (p *pacer) weigh() {
	p.backlog = 0
	for i := range p.queue {
		p.backlog += p.queue[i].Work
	}
}

// room tells whether all that was offered of late can enter.
func (p *pacer) room() bool {
	n := p.inSlots
	for i := range p.fresh {
		n += p.fresh[i].Slots
	}
	return p.slots() > 0 && n <= 2*p.slots()
}

// best is the most that a provider surely has of its capacity.
func (p *pacer) best(now time.Duration) (best float64) {
	for i := range p.providers {
		best = max(best, p.warmth(&p.providers[i], now))
	}
	if best <= 0 {
		return 1
	}
	return best
}

// run is how long a job takes at least, where the best provider has so much of its capacity.
func run(j Job, best float64) time.Duration { return seconds(j.Work / j.Slots / best) }

// seconds is a time of so many, as long as can be told at most.
func seconds(s float64) time.Duration { return time.Duration(min(s, 1e9) * 1e9) }

// arrange puts jobs in the order of entering: the next to be over first, then by worth, then as the classes stand.
func (p *pacer) arrange(jobs []Job) {
	slices.SortFunc(jobs, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(p.lim.Classes[b.Class].Worth, p.lim.Classes[a.Class].Worth),
			cmp.Compare(a.Class, b.Class), cmp.Compare(a.ID, b.ID))
	})
}

// plan goes through all that wait, those of most worth for their work first, keeps each that can begin in time behind those
// kept so far and makes none of them late, and tells the others. For jobs of one length no choice serves more worth.
func (p *pacer) plan(now time.Duration) (tell []Told) {
	all := append(p.queue, p.fresh...)
	p.queue, p.fresh, p.planned = nil, nil, now
	drag, longest, best := p.drag(), p.lim.longest(), p.best(now)
	slices.SortFunc(all, func(a, b Job) int {
		da, db := p.lim.Classes[a.Class].Worth/max(a.Work, 1e-9), p.lim.Classes[b.Class].Worth/max(b.Work, 1e-9)
		return cmp.Or(cmp.Compare(db, da), cmp.Compare(a.Due, b.Due), cmp.Compare(a.ID, b.ID))
	})
	does := p.does(now, longest) // by the end of each bucket
	var due, largest [buckets]float64
	var late []Job
	width := longest / buckets
	dark := p.slots() == 0 // somebody may yet be there in time
	for _, j := range all {
		begin := j.Due - now - run(j, best)
		w := j.Work * drag
		fits := begin > 0
		if fits && !dark {
			k := min(buckets-1, int(begin/max(1, width)))
			before := p.inWork * drag
			for i := 0; i <= k; i++ {
				before += due[i]
			}
			start := 0.0
			if k > 0 {
				start = does[k-1]
			}
			fits = before <= start+(does[k]-start)*min(1, (begin-time.Duration(k)*width).Seconds()/max(width.Seconds(), 1e-9))
			for i, sum := k+1, before; fits && i < buckets; i++ {
				if sum += due[i]; due[i] > 0 {
					fits = sum+w-largest[i] <= does[i]
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
	p.arrange(p.queue)
	p.weigh()
	for _, j := range late {
		if j.Old {
			p.old--
		}
		tell = append(tell, Told{j.ID, p.away(now, now, j.Work)})
	}
	return tell
}

// back is within which a client that was told to stay away has been back, or has given up.
func (l *Limits) back() time.Duration { return max(l.longest()+l.MaxRetry, time.Millisecond) }

func (p *pacer) mark(now time.Duration) {
	if now-p.period >= 4*p.lim.back() {
		p.told, p.period = [3]int{}, now
	}
	for ; now-p.period >= p.lim.back(); p.period += p.lim.back() {
		p.told = [3]int{0, p.told[0], p.told[1]}
	}
}

// shrinks tells whether a crowd is about to go: fewer were told to stay away than in the period before. A load that has
// come to stay is as likely to grow, and is the module's matter.
func (p *pacer) shrinks(now time.Duration) bool {
	p.mark(now)
	return p.told[1] < p.told[2]
}

// does is what providers do from now to the end of each bucket of a time.
func (p *pacer) does(now, over time.Duration) (sum [buckets]float64) {
	width, last, total := over/buckets, p.rate(now), 0.0
	for k := range sum {
		r := p.rate(now + time.Duration(k+1)*width)
		total += (last + r) / 2 * width.Seconds()
		sum[k], last = total, r
	}
	return sum
}

// away is how long a client is to stay away: until what waits and those told before it are done with, each with a turn of
// its own, drawn within it. More than MaxRetry holds come back over its later half, to be told again.
func (p *pacer) away(now, opens time.Duration, work float64) time.Duration {
	p.mark(now)
	p.told[0]++
	if p.lim.MaxRetry <= 0 {
		return 0
	}
	work, ahead := work*p.drag(), (p.backlog+p.inWork)*p.drag()
	at := max(opens, now)
	if r := p.rate(at); r > 0 {
		// The rate only grows while they warm up: half of the way at that of now is a bound, the rest at the later one.
		half := seconds(ahead / 2 / r)
		at += half + seconds(ahead/2/p.rate(at+half))
	} else {
		at = now + p.lim.MaxRetry
	}
	at = max(at, p.turn)
	own := time.Duration(0)
	if r := p.rate(at); r > 0 {
		own = seconds(work / r)
	}
	if at+own-now > p.lim.MaxRetry || own <= 0 {
		half := p.lim.MaxRetry / 2
		return p.lim.MaxRetry - time.Duration(p.rng.Int64N(int64(half)+1))
	}
	p.turn = at + own
	return at - now + time.Duration(p.rng.Int64N(int64(own)+1))
}
