package policy

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"laddertide/core/startdelay"
)

// Dispatcher decides for one scheduler. Its zero value is not usable; see [New].
type Dispatcher struct {
	set Settings
	src *rand.PCG // of rng, for checkpoints
	rng *rand.Rand

	workers  []worker
	index    map[WorkerID]int32
	requests map[RequestID]*request
	open     []*request // all in requests, in an order that does not depend on the map
	spare    []*request

	kinds     []kindStats
	classWork []float64
	classN    []float64
	meanWork  float64
	worthSeen float64
	slowdown  float64       // of all workers at the moment, 1 in calm
	calm      float64       // slowness when little waits over slowness now
	budget    time.Duration // mean wait that the aims allow
	workN     float64

	arrived, seen, rate float64 // slots that came in, fading; seconds that this covers; Ξ
	boundIn, boundRate  []float64
	fails, oks          float64
	agedAt              time.Duration

	solver        solver
	order         []int32 // workers that may be drawn, by kind
	spans         []span
	mu, limit, xi []float64
	all, bound    []float64 // running sums of the draw's weights
	shut          int
	crowded       bool    // too many are shut out: health is passed over
	cold          []int32 // of order, those that have started not long ago
	dirty         bool

	zones     []zone
	pools     []pool  // admission: unbound work, then one for each kind's bound work
	twice     float64 // slot-seconds of work that may be taken back and sent elsewhere
	home      float64 // part of the claims that is made in this zone
	near, far turnedAway

	tenantRate []float64
	stopBy     time.Duration // when the host ends; 0: not told
	begun      bool
	subscribed bool
	asks       int
}

// missing is lostAt of a worker that has not served since.
const missing = time.Duration(1 << 62)

// attempt is one send of a request.
type attempt struct {
	worker  int32
	out     bool
	mayRun  bool // it is over, and may have run
	held    float64
	sent    time.Duration
	started time.Duration // 0: no start note
	blamed  float64       // run time over expectation that has been counted against the worker
}

// request is a request that is open, or whose attempts are.
type request struct {
	id        RequestID
	class     int
	tenant    int
	slot      int // place in Dispatcher.open
	deadline  time.Duration
	aim       time.Duration
	work      float64
	slots     float64
	hinted    bool
	born      time.Duration
	density   float64 // expected worth for a slot-second
	pool      *pool
	ended     bool
	parked    bool          // waits for its timer, then is placed again
	held      bool          // waits in its pool's parked requests
	connected bool          // keeps a connection of the host until it ends
	wakeAt    time.Duration // of its last timer; those set before it count no more
	out       int
	fulls     int
	attempts  []attempt
}

// worker is what this dispatcher knows of one worker.
type worker struct {
	id      WorkerID
	kind    int
	zone    int
	cell    int
	weight  float64
	state   State
	listed  bool
	started time.Duration
	back    time.Duration // from maintenance

	held    float64       // s: own slots held
	tries   int           // own attempts out
	waiting int           // of them, those that have not started
	sentAt  time.Duration // the last of them

	// Solved: ξ, ξ/μ, L and T.
	xi, load, target, run float64

	// Run times over expected work: weighted sum and weight, fading.
	slowSum, slowN float64

	// Occupancy by all dispatchers, as last shown by a report or an outcome.
	occ, occHeld float64
	occAt        time.Duration
	occSeen      bool

	fails, oks float64 // fading counts of answers
	shutFor    time.Duration
	shutUntil  time.Duration

	awayFor   time.Duration // no connection came up since it last served; 0: none failed
	awayUntil time.Duration // not tried before
	lostAt    time.Duration // when it served again after no connection came up: it counts as started then; 0: never away

	credit   float64 // slot-seconds saved up while it is cold; above 0 it takes a job
	creditAt time.Duration
}

// kindStats pools what workers of one kind show.
type kindStats struct {
	slowSum, slowN float64
	slowSq         float64 // sum of squares
	base           float64 // the pooled slowness when little waits, from its lowest
	guest          float64 // part of its split that unbound work takes of this kind
	shown          int     // reports that showed slots
	slots          float64 // largest count of slots shown; 0: none yet
}

// pool is the admission of one group of classes that compete for the same workers.
type pool struct {
	held   float64 // own slots held by its requests
	limit  float64 // most slots that may be held; 0: no limit
	seen   float64 // waits in wait
	wait   float64 // mean wait over the wait that the aim allows, fading
	turned turnedAway
	at     time.Duration
	parked []*request
}

// zone is what failed connections show of another zone.
type zone struct {
	fails int // in a row
	wait  time.Duration
	until time.Duration // not tried before
}

// turnedAway counts sends, and those among them that found no room or, in part, had to wait; fading.
type turnedAway struct {
	sent, full float64
	startDelay startdelay.Estimator // from a send to the start, where a slot is free
}

func (t *turnedAway) share() float64 { return t.full / (t.sent + 1) }

// take returns an empty request, of those that are done with if there is one.
func (d *Dispatcher) take() *request {
	if n := len(d.spare); n > 0 {
		r := d.spare[n-1]
		d.spare = d.spare[:n-1]
		*r = request{attempts: r.attempts[:0]}
		return r
	}
	return &request{}
}

// drop forgets a request that has ended once none of its attempts is out.
func (d *Dispatcher) drop(r *request) {
	if !r.ended || r.out > 0 {
		return
	}
	delete(d.requests, r.id)
	last := d.open[len(d.open)-1]
	d.open[r.slot], last.slot = last, r.slot
	d.open = d.open[:len(d.open)-1]
	d.spare = append(d.spare, r)
}

// New returns a Dispatcher for the settings, or says what is wrong with them.
func New(s Settings) (*Dispatcher, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	kinds := max(1, s.Kinds)
	for _, c := range s.Classes {
		kinds = max(kinds, c.Kind+1)
	}
	src := rand.NewPCG(s.Seed, uint64(s.Me)+1)
	d := &Dispatcher{
		set:       s,
		src:       src,
		rng:       rand.New(src),
		index:     make(map[WorkerID]int32),
		requests:  make(map[RequestID]*request),
		kinds:     make([]kindStats, kinds),
		boundIn:   make([]float64, kinds),
		boundRate: make([]float64, kinds),
		classWork: make([]float64, len(s.Classes)),
		classN:    make([]float64, len(s.Classes)),
		meanWork:  1,
		calm:      1,
		slowdown:  1,
		home:      homeward,
		pools:     make([]pool, kinds+1),

		tenantRate: make([]float64, len(s.Tenants)),
	}
	for k := range d.kinds {
		d.kinds[k].guest = 1
	}
	for i := range d.classWork {
		d.classWork[i] = 1
	}
	return d, nil
}

// entry takes what the list says of one worker.
func (d *Dispatcher) entry(now time.Duration, e *Entry) {
	i, ok := d.index[e.ID]
	if !ok {
		if e.State == Gone {
			return
		}
		i = int32(len(d.workers))
		d.index[e.ID] = i
		d.workers = append(d.workers, worker{id: e.ID, started: -1})
	}
	w := &d.workers[i]
	w.kind, w.zone, w.cell = e.Kind, e.Zone, e.Cell
	d.growKinds(e.Kind + 1)
	w.weight = 1
	if e.Weight > 0 && e.Weight < 1e6 {
		w.weight = e.Weight
	}
	w.state, w.listed = e.State, e.State != Gone
	anew := w.back != e.Back || w.started != e.Started && e.Started >= e.Back // else it is known to be cold since Back
	w.started, w.back = e.Started, e.Back
	if anew {
		// A process that started anew has no queue, no past and, maybe, little capacity.
		w.slowSum, w.slowN, w.fails, w.oks = 0, 0, 0, 0
		w.shutFor, w.shutUntil, w.occSeen = 0, 0, false
		w.awayFor, w.awayUntil = 0, 0
		w.lostAt = e.Back
		d.cool(w, now)
	}
}

// First takes the start of a streamed answer, which settles the request.
func (d *Dispatcher) First(now time.Duration, n Note, acts []Action) []Action {
	r := d.requests[n.Request]
	if r == nil || n.Attempt < 0 || n.Attempt >= len(r.attempts) || r.ended {
		return acts
	}
	r.ended = true
	for k := range r.attempts {
		if k != n.Attempt && r.attempts[k].out && d.set.Cancel {
			acts = append(acts, Action{Kind: CancelSend, Request: r.id, Attempt: k})
		}
	}
	d.drop(r)
	return acts
}

// Probed takes what a probe found.
func (d *Dispatcher) Probed(now time.Duration, p Probed, acts []Action) []Action {
	if i, ok := d.index[p.Worker]; ok {
		d.report(&d.workers[i], now, p.Report)
	}
	return acts
}

// Peer takes a message of another dispatcher.
func (d *Dispatcher) Peer(now time.Duration, from int, data []byte, acts []Action) []Action {
	id, ok := Fails(data)
	if !ok {
		return acts
	}
	if i, ok := d.index[id]; ok {
		d.failed(&d.workers[i], now, 1)
	}
	return acts
}

// report reads a load report. Values that make no sense are passed over.
func (d *Dispatcher) report(w *worker, now time.Duration, values []float64) {
	free, queue, inflight, util := d.set.read(values)
	k := &d.kinds[w.kind]
	if free > 0 {
		k.shown++
		k.countSlots(free, inflight, util, w.weight)
	}
	switch {
	case inflight >= 0:
		w.occ = inflight
	case free >= 0:
		w.occ = max(0, d.slots(w)-free) + max(0, queue)
	case queue >= 0:
		w.occ = d.slots(w) + queue
		if queue == 0 {
			return
		}
	default:
		return
	}
	w.occHeld, w.occAt, w.occSeen = w.held, now, true
	if !d.set.TellsStart {
		c := d.slots(w)
		wait := max(0, w.occ+1-c) / c * d.meanWork * k.base * d.slowdown
		p := &d.pools[0]
		d.waited(p, w, seconds(wait), d.budget)
	}
}

// countSlots learns a kind's slot count from a report with free slots. The design takes the largest
// free count plus B times our held slots. Among many dispatchers one held slot would count as B, and
// a worker under load never shows all its slots free. Where the report tells what is taken, as requests
// in work or as the busy share, that is added instead; else the largest count is taken, or the listed
// weight where that is larger.
func (k *kindStats) countSlots(free, inflight, util, listed float64) {
	const weight = 0.05
	switch {
	case inflight >= 0:
		k.slots += (free + inflight - k.slots) * max(weight, 1/float64(k.shown))
	case util >= 0 && util < 0.7:
		k.slots += (free/(1-util) - k.slots) * max(weight, 1/float64(k.shown))
	case util >= 0:
		k.shown--
	default:
		k.slots += max(0, max(free, listed)-k.slots) * 0.2
	}
}

// jitter is a random part of t.
func (d *Dispatcher) jitter(t time.Duration) time.Duration {
	return time.Duration(d.rng.Float64() * float64(t))
}

// resize returns a slice of n zeros, in s's memory if it holds them.
func resize(s []float64, n int) []float64 {
	if cap(s) < n {
		return make([]float64, n, n+n/4)
	}
	s = s[:n]
	clear(s)
	return s
}

// messageFails is the first byte of the one message that dispatchers send each other.
const messageFails = 1

// tell is the message that a worker fails what it is sent. Own samples are few among many
// dispatchers: without it each would lose a job to each such worker to learn the same.
func (d *Dispatcher) tell(w *worker) Action {
	return Action{Kind: TellPeers, Data: FailsMessage(w.id)}
}

// FailsMessage is the message about a worker, and Fails the worker that a message is about. Numbers of workers are each
// host's own: it names them on the way.
func FailsMessage(id WorkerID) []byte {
	return binary.LittleEndian.AppendUint64([]byte{messageFails}, uint64(id))
}

// Fails gives the worker of a FailsMessage.
func Fails(data []byte) (WorkerID, bool) {
	if len(data) != 9 || data[0] != messageFails {
		return 0, false
	}
	return WorkerID(binary.LittleEndian.Uint64(data[1:])), true
}

// read takes the values of a load report apart; what is absent or makes no sense is -1.
func (s *Settings) read(values []float64) (free, queue, inflight, util float64) {
	free, queue, inflight, util = -1, -1, -1, -1
	for i, v := range values {
		if i >= len(s.Report) || !(v >= 0 && v < 1e6) {
			continue
		}
		switch s.Report[i] {
		case FieldFreeSlots:
			free = v
		case FieldQueue:
			queue = v
		case FieldInflight:
			inflight = v
		case FieldUtil:
			util = v
		}
	}
	return free, queue, inflight, util
}

// fade multiplies counts by f.
func fade(f float64, counts ...*float64) {
	for _, c := range counts {
		*c *= f
	}
}

// seconds is a duration of s seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// unhold takes r from its pool's held requests.
func (d *Dispatcher) unhold(r *request) {
	r.held = false
	p := r.pool
	for k, q := range p.parked {
		if q == r {
			p.parked = append(p.parked[:k], p.parked[k+1:]...)
			return
		}
	}
}

// zoned is the count of sends to w's side: this zone or the others.
func (d *Dispatcher) zoned(w *worker) *turnedAway {
	if w.zone == d.set.Zone {
		return &d.near
	}
	return &d.far
}

// carryOver takes the attempts that another host has made for r, up to one at a worker that no list has named.
func (d *Dispatcher) carryOver(now time.Duration, r *request, past []Past) bool {
	for k := range past {
		p := &past[k]
		i, known := d.index[p.Worker]
		if !known {
			return false
		}
		a := attempt{worker: i, mayRun: p.MayRun, sent: min(p.Sent, now), blamed: 1}
		if w := &d.workers[i]; p.Out {
			a.out, a.held, a.started = true, r.slots, min(p.Started, now)
			w.held += r.slots
			r.pool.held += r.slots
			w.tries++
			if a.started == 0 {
				w.waiting++
			}
			r.out++
		}
		r.attempts = append(r.attempts, a)
	}
	return true
}

// wake sets r's timer, in place of the one before.
func (r *request) wake(at time.Duration, acts []Action) []Action {
	r.wakeAt = at
	return append(acts, Action{Kind: SetTimer, Token: uint64(r.id), At: at})
}

// admit opens a request.
func (d *Dispatcher) admit(now time.Duration, q *Request) *request {
	c := &d.set.Classes[q.Class]
	r := d.take()
	r.id, r.class, r.tenant = q.ID, q.Class, q.Tenant
	r.slots = 1
	if q.Slots > 0 && q.Slots < 1e6 {
		r.slots = q.Slots
	}
	r.hinted = q.Hint > 0
	r.connected = q.ConnectionSlots > 0
	r.work = d.work(q)
	r.deadline = now + q.Left
	own := r.work
	if !r.hinted {
		own *= d.calm
	}
	r.aim = min(now+c.Aim+seconds(c.Stretch*own), r.deadline)
	d.requests[r.id] = r
	r.slot = len(d.open)
	d.open = append(d.open, r)
	r.born = now
	d.arrive(r)
	r.pool = &d.pools[c.Kind+1]
	r.density = d.density(r)
	return r
}
