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
	src *rand.PCG // source of rng, kept for checkpoints
	rng *rand.Rand

	workers      []worker
	index        map[WorkerID]int32
	requests     map[RequestID]*request
	open         []*request // the same requests, in a deterministic order
	freeRequests []*request // for reuse

	kinds        []kindStats
	classWork    []float64
	classSamples []float64
	meanWork     float64
	meanWorth    float64
	slowdown     float64       // current slowdown of all workers; 1: uncongested
	baseRatio    float64       // base slowness over current slowness
	waitBudget   time.Duration // mean wait that the aims allow
	workSamples  float64

	// Arrived slots, decaying, the seconds that these cover, and the arrival rate Ξ.
	arrivedSlots, arrivalSeconds, arrivalRate float64
	boundArrivedSlots, boundArrivalRate       []float64
	failures, successes                       float64
	decayedAt                                 time.Duration

	solver                 solver
	drawable               []int32 // workers that may be drawn, by kind
	spans                  []span
	mu, limit, xi          []float64
	unboundSums, boundSums []float64 // cumulative weights of the draw for unbound and for bound work
	ejected                int
	ignoreHealth           bool    // too many workers are ejected: health is ignored
	coldWorkers            []int32 // the cold ones among drawable
	splitStale             bool    // the split is out of date

	zones                   []zoneReachability
	pools                   []pool  // admission: unbound work, then one for each kind's bound work
	rerouteBudget           float64 // slot-seconds of work that may currently be rerouted
	localShare              float64 // share of the claims that is made in this zone
	localSends, remoteSends sendStats

	tenantRate    []float64
	stopBy        time.Duration // when the host shuts down; 0: not announced
	timersStarted bool
	subscribed    bool
	listFailures  int
}

// coldPending is coldSince of a worker that was unreachable and has not served since.
const coldPending = time.Duration(1 << 62)

// attempt is one send of a request.
type attempt struct {
	worker       int32
	inFlight     bool
	mayHaveRun   bool // it has ended and may have run
	heldSlots    float64
	sent         time.Duration
	started      time.Duration // 0: no start notification
	chargedRatio float64       // ratio of run time to expectation that has been counted against the worker
}

// request is a request that is open or has attempts in flight.
type request struct {
	id          RequestID
	class       int
	tenant      int
	openIndex   int // index in Dispatcher.open
	deadline    time.Duration
	aim         time.Duration
	work        float64
	slots       float64
	hinted      bool
	arrivedAt   time.Duration
	density     float64 // expected worth per slot-second
	pool        *pool
	ended       bool
	parked      bool          // waits for its timer, then is placed again
	held        bool          // waits in its pool until there is room below the limit
	connected   bool          // occupies a connection of the host until it ends
	timerAt     time.Duration // expiry of its last timer, which supersedes earlier ones
	inFlight    int
	fullAnswers int
	attempts    []attempt
}

// worker is the state of one worker as this dispatcher knows it.
type worker struct {
	id         WorkerID
	kind       int
	zone       int
	cell       int
	weight     float64
	state      State
	listed     bool
	started    time.Duration
	returnedAt time.Duration // time of its return from maintenance

	heldSlots  float64       // s: slots held by this dispatcher
	inFlight   int           // this dispatcher's attempts in flight
	notStarted int           // those of them that have not started
	lastSentAt time.Duration // time of the last send

	// Of the last solve: ξ, ξ/μ, L and the mean run time T in seconds.
	xi, load, target, meanRunSeconds float64

	// Ratios of run time to expected work: sum and count, decaying.
	slownessSum, slownessSamples float64

	// Occupancy by all dispatchers at the last report or outcome; occupancyHeld is heldSlots at that time.
	occupancy, occupancyHeld float64
	occupancyAt              time.Duration
	occupancyKnown           bool

	failures, successes float64 // decaying counts of answers
	ejectedFor          time.Duration
	ejectedUntil        time.Duration

	connectBackoff time.Duration // backoff after failed connections; 0: none has failed since it last served
	connectRetryAt time.Duration // no connection is tried before
	// coldSince is when it first served after it had been unreachable, or returned from maintenance: it warms
	// up from then on. 0: neither has happened.
	coldSince time.Duration

	credit   float64 // slot-seconds saved up while it is cold; above 0 it takes a job
	creditAt time.Duration
}

// kindStats pools the observations of workers of one kind.
type kindStats struct {
	slownessSum, slownessSamples float64
	slownessSquares              float64 // sum of squares
	baseSlowness                 float64 // the pooled slowness at low load, from its lowest values
	unboundShare                 float64 // share of its target rate that unbound work uses
	slotReports                  int     // reports that showed slots
	slots                        float64 // slots per worker, learned from reports; 0: unknown
}

// pool is the admission control of one group of classes that compete for the same workers.
type pool struct {
	heldSlots    float64 // slots held by its requests
	limit        float64 // maximum of heldSlots; 0: no limit
	waitSamples  float64 // number of waits in meanWait
	meanWait     float64 // moving average of waits, as shares of the wait that the aim allows
	sends        sendStats
	adjustedAt   time.Duration // of the last change of limit
	heldRequests []*request
}

// zoneReachability tracks failed connections to a zone.
type zoneReachability struct {
	failures int           // consecutive
	backoff  time.Duration // current
	retryAt  time.Duration // no connection is tried before
}

// sendStats counts sends, and those of them that met a full worker; a wait counts as a fraction. The counts
// decay.
type sendStats struct {
	sent, full float64
	startDelay startdelay.Estimator // from a send to the start if a slot is free
}

func (t *sendStats) fullShare() float64 { return t.full / (t.sent + 1) }

// newRequest returns an empty request, a reused one if possible.
func (d *Dispatcher) newRequest() *request {
	if n := len(d.freeRequests); n > 0 {
		r := d.freeRequests[n-1]
		d.freeRequests = d.freeRequests[:n-1]
		*r = request{attempts: r.attempts[:0]}
		return r
	}
	return &request{}
}

// drop removes a request that has ended and has no attempt in flight.
func (d *Dispatcher) drop(r *request) {
	if !r.ended || r.inFlight > 0 {
		return
	}
	delete(d.requests, r.id)
	last := d.open[len(d.open)-1]
	d.open[r.openIndex], last.openIndex = last, r.openIndex
	d.open = d.open[:len(d.open)-1]
	d.freeRequests = append(d.freeRequests, r)
}

// New returns a Dispatcher with the given settings, or an error if they are invalid.
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
		set:               s,
		src:               src,
		rng:               rand.New(src),
		index:             make(map[WorkerID]int32),
		requests:          make(map[RequestID]*request),
		kinds:             make([]kindStats, kinds),
		boundArrivedSlots: make([]float64, kinds),
		boundArrivalRate:  make([]float64, kinds),
		classWork:         make([]float64, len(s.Classes)),
		classSamples:      make([]float64, len(s.Classes)),
		meanWork:          1,
		baseRatio:         1,
		slowdown:          1,
		localShare:        maxLocalShare,
		pools:             make([]pool, kinds+1),

		tenantRate: make([]float64, len(s.Tenants)),
	}
	for k := range d.kinds {
		d.kinds[k].unboundShare = 1
	}
	for i := range d.classWork {
		d.classWork[i] = 1
	}
	return d, nil
}

// applyEntry applies a list entry.
func (d *Dispatcher) applyEntry(now time.Duration, e *Entry) {
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
	// A start before Back changes nothing: the worker counts as cold since Back already.
	becameCold := w.returnedAt != e.Back || w.started != e.Started && e.Started >= e.Back
	w.started, w.returnedAt = e.Started, e.Back
	if becameCold {
		// A restarted process has an empty queue, and its speed, health and capacity are unknown.
		w.slownessSum, w.slownessSamples, w.failures, w.successes = 0, 0, 0, 0
		w.ejectedFor, w.ejectedUntil, w.occupancyKnown = 0, 0, false
		w.connectBackoff, w.connectRetryAt = 0, 0
		w.coldSince = e.Back
		d.resetCredit(w, now)
	}
}

// AnswerStarted handles the start of a streamed answer, which ends the request.
func (d *Dispatcher) AnswerStarted(now time.Duration, n Note, acts []Action) []Action {
	r := d.requests[n.Request]
	if r == nil || n.Attempt < 0 || n.Attempt >= len(r.attempts) || r.ended {
		return acts
	}
	r.ended = true
	for k := range r.attempts {
		if k != n.Attempt && r.attempts[k].inFlight && d.set.Cancel {
			acts = append(acts, Action{Kind: CancelSend, Request: r.id, Attempt: k})
		}
	}
	d.drop(r)
	return acts
}

// ProbeEnded handles the result of a probe.
func (d *Dispatcher) ProbeEnded(now time.Duration, p ProbeOutcome, acts []Action) []Action {
	if i, ok := d.index[p.Worker]; ok {
		d.applyReport(&d.workers[i], now, p.Report)
	}
	return acts
}

// PeerMessage handles a message from another dispatcher.
func (d *Dispatcher) PeerMessage(now time.Duration, from int, data []byte, acts []Action) []Action {
	id, ok := ParseFailureMessage(data)
	if !ok {
		return acts
	}
	if i, ok := d.index[id]; ok {
		d.noteFailure(&d.workers[i], now, 1)
	}
	return acts
}

// applyReport updates the estimates from a load report. Invalid values are ignored.
func (d *Dispatcher) applyReport(w *worker, now time.Duration, values []float64) {
	free, queue, inflight, util := d.set.parseReport(values)
	k := &d.kinds[w.kind]
	if free > 0 {
		k.slotReports++
		k.countSlots(free, inflight, util, w.weight)
	}
	switch {
	case inflight >= 0:
		w.occupancy = inflight
	case free >= 0:
		w.occupancy = max(0, d.slots(w)-free) + max(0, queue)
	case queue >= 0:
		w.occupancy = d.slots(w) + queue
		if queue == 0 {
			return
		}
	default:
		return
	}
	w.occupancyHeld, w.occupancyAt, w.occupancyKnown = w.heldSlots, now, true
	if !d.set.TellsStart {
		c := d.slots(w)
		wait := max(0, w.occupancy+1-c) / c * d.meanWork * k.baseSlowness * d.slowdown
		p := &d.pools[0]
		d.noteWait(p, w, seconds(wait), d.waitBudget)
	}
}

// countSlots updates a kind's slot count from a report with free slots. The design takes the largest
// free count plus B times the slots held by this dispatcher. Among many dispatchers one held slot would
// count as B, and a worker under load never shows all its slots free. If the report has the requests in
// flight or the busy share, the used slots are added instead; else the largest free count is taken, or
// the listed weight if that is larger.
func (k *kindStats) countSlots(free, inflight, util, listed float64) {
	const weight = 0.05
	switch {
	case inflight >= 0:
		k.slots += (free + inflight - k.slots) * max(weight, 1/float64(k.slotReports))
	case util >= 0 && util < 0.7:
		k.slots += (free/(1-util) - k.slots) * max(weight, 1/float64(k.slotReports))
	case util >= 0:
		k.slotReports--
	default:
		k.slots += max(0, max(free, listed)-k.slots) * 0.2
	}
}

// jitter returns a random duration between 0 and t.
func (d *Dispatcher) jitter(t time.Duration) time.Duration {
	return time.Duration(d.rng.Float64() * float64(t))
}

// resize returns a slice of n zeros, in s's memory if that is large enough.
func resize(s []float64, n int) []float64 {
	if cap(s) < n {
		return make([]float64, n, n+n/4)
	}
	s = s[:n]
	clear(s)
	return s
}

// messageFailure is the first byte of a FailureMessage, the only message between dispatchers.
const messageFailure = 1

// failsNotice returns the action that tells the peers that w fails its jobs. Among many dispatchers each has
// few samples of its own: without the message each would lose a job to every such worker.
func (d *Dispatcher) failsNotice(w *worker) Action {
	return Action{Kind: NotifyPeers, Data: FailureMessage(w.id)}
}

// FailureMessage returns the message that a worker fails its jobs. Worker IDs are local to a host: hosts
// translate them to names on the way.
func FailureMessage(id WorkerID) []byte {
	return binary.LittleEndian.AppendUint64([]byte{messageFailure}, uint64(id))
}

// ParseFailureMessage returns the worker that a FailureMessage is about.
func ParseFailureMessage(data []byte) (WorkerID, bool) {
	if len(data) != 9 || data[0] != messageFailure {
		return 0, false
	}
	return WorkerID(binary.LittleEndian.Uint64(data[1:])), true
}

// parseReport returns the values of a load report by field; a value that is absent or invalid is -1.
func (s *Settings) parseReport(values []float64) (free, queue, inflight, util float64) {
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

// scale multiplies counts by f.
func scale(f float64, counts ...*float64) {
	for _, c := range counts {
		*c *= f
	}
}

// seconds returns a duration of s seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// unhold removes r from its pool's held requests.
func (d *Dispatcher) unhold(r *request) {
	r.held = false
	p := r.pool
	for k, q := range p.heldRequests {
		if q == r {
			p.heldRequests = append(p.heldRequests[:k], p.heldRequests[k+1:]...)
			return
		}
	}
}

// statsFor returns the statistics of sends to w's zone: this one, or all others.
func (d *Dispatcher) statsFor(w *worker) *sendStats {
	if w.zone == d.set.Zone {
		return &d.localSends
	}
	return &d.remoteSends
}

// resumeAttempts adds the attempts that a previous host made for r. It stops and returns false at one whose
// worker is unknown.
func (d *Dispatcher) resumeAttempts(now time.Duration, r *request, past []PastAttempt) bool {
	for k := range past {
		p := &past[k]
		i, known := d.index[p.Worker]
		if !known {
			return false
		}
		a := attempt{worker: i, mayHaveRun: p.MayRun, sent: min(p.Sent, now), chargedRatio: 1}
		if w := &d.workers[i]; p.Out {
			a.inFlight, a.heldSlots, a.started = true, r.slots, min(p.Started, now)
			w.heldSlots += r.slots
			r.pool.heldSlots += r.slots
			w.inFlight++
			if a.started == 0 {
				w.notStarted++
			}
			r.inFlight++
		}
		r.attempts = append(r.attempts, a)
	}
	return true
}

// setTimer sets r's timer; it supersedes the previous one.
func (r *request) setTimer(at time.Duration, acts []Action) []Action {
	r.timerAt = at
	return append(acts, Action{Kind: SetTimer, Token: uint64(r.id), At: at})
}

// admit creates the state of an open request.
func (d *Dispatcher) admit(now time.Duration, q *Request) *request {
	c := &d.set.Classes[q.Class]
	r := d.newRequest()
	r.id, r.class, r.tenant = q.ID, q.Class, q.Tenant
	r.slots = 1
	if q.Slots > 0 && q.Slots < 1e6 {
		r.slots = q.Slots
	}
	r.hinted = q.Hint > 0
	r.connected = q.ConnectionSlots > 0
	r.work = d.expectedWork(q)
	r.deadline = now + q.Left
	ownWork := r.work
	if !r.hinted {
		ownWork *= d.baseRatio
	}
	r.aim = min(now+c.Aim+seconds(c.Stretch*ownWork), r.deadline)
	d.requests[r.id] = r
	r.openIndex = len(d.open)
	d.open = append(d.open, r)
	r.arrivedAt = now
	d.noteArrival(r)
	r.pool = &d.pools[c.Kind+1]
	r.density = d.density(r)
	return r
}
