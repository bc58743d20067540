// Package owners lets a client send the requests for a job to any scheduler of a fleet: a request that repeats a job is joined to
// the job at the one scheduler that owns it. The package has the Handler between frontend and engine that does so, the records that
// this scheduler keeps as a replica for all (it is one of their keepers), and the answers of its own jobs for as long as they are
// retained. Package core/owners decides which scheduler owns a job, and what becomes of a job whose owner cannot be reached. The
// decision module chooses the provider and decides whether there is a further attempt. This package words no answers and opens no
// connections.
package owners

import (
	"container/list"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	core "laddertide/core/owners"
	"laddertide/job"
	"laddertide/owners/recordlog"
	"laddertide/policy"
	"laddertide/provider"
	wire "laddertide/wire/owners"
)

// Config configures a Handler.
type Config struct {
	Settings   Settings
	Self       wire.Process
	Classes    []policy.Class
	Tenants    []policy.Tenant
	Next       job.Handler
	Pool       *provider.Pool
	Log        *slog.Logger
	AnswerTime time.Duration // time within which a healthy peer answers
	SettleTime time.Duration // time within which the membership declares no scheduler gone
	// Ledger finds jobs of earlier processes, and of other schedulers whose ledgers this one leads now; nil: there is no ledger.
	Ledger Ledger
	// LedgerRetention is for how long after its end the ledger knows a job: as long as its record must name its owner.
	LedgerRetention time.Duration
	// Stored is the log of the records that this scheduler keeps as a replica; nil: they do not outlive this process.
	Stored *Stored
}

// Ledger is the storage of durable jobs in the next Handler. It outlives the process.
type Ledger interface {
	// IsDurable reports whether new jobs of a class are stored.
	IsDurable(class int) bool
	// Find reports whether the ledger has a job, and returns its answer, or nil while that may not be given out yet.
	Find(id string) (out *job.Outcome, known bool)
	// Carries reports whether this scheduler itself carries the job: a replicated ledger may also know jobs that another scheduler has
	// taken over.
	Carries(id string) bool
	// HandleForwarded handles a provider's event that another scheduler has forwarded and that belongs to no attempt of this process. An
	// error means that the event has to be sent again: the job's end is not stored yet, or another scheduler carries the job.
	HandleForwarded(ev provider.Event) error
}

// inLedger reports whether the ledger carries a job. It may wait for the ledger's mutex, so it must not be called under mu.
func (h *Handler) inLedger(id string) bool {
	if h.cfg.Ledger == nil {
		return false
	}
	return h.cfg.Ledger.Carries(id)
}

// Counts has totals since the start, and current numbers.
type Counts struct {
	Taken, Joined, Puts, AnsweredByOwner, TakenOver, HandedOver, TableFull, Unconfirmed, TooFewKeepers, Conflicts, Waiters, Packets, Malformed, FoundByEvent uint64

	Records, Open, Answers int // current
	Table                  core.TableCounts
}

// Handler finds the owner of each job, or makes this scheduler the owner.
type Handler struct {
	cfg    Config
	log    *slog.Logger
	me     wire.Process
	next   job.Handler
	origin time.Time

	mu             sync.Mutex // guards the fields below; released by unlock
	net            Network
	outbox         []packet
	sendQueue      sendQueue
	rosters        *core.Rosters
	rosterCount    uint64
	table          *core.Table
	received       map[transfer]map[int]bool // pieces that have arrived of members' records
	live           map[string]*entry
	answers        map[string]*answer
	answerOrder    *list.List              // of answers, oldest first
	answersSize    int                     // size of the results in answers
	handedTo       map[string]wire.Process // jobs handed over, and to whom
	departures     []departure             // the jobs in handedTo, oldest first
	nonce          uint64
	forgottenNonce uint64          // claims up to this nonce are no longer known to have been dropped
	claimed        map[string]bool // jobs of ledgers whose lead this scheduler has taken over
	lastQuestion   uint64
	readRound      uint64 // the read round of rosters
	firstInRound   uint64 // number of the first question of this round
	questions      map[uint64]*question
	waiterCount    int
	largeCount     int
	lookups        int
	leaving        bool          // open jobs are being handed over
	departing      chan struct{} // closed when open jobs are handed over or left to the next process
	endTime        time.Time     // time at which this program ends; zero: it is not stopping
	fullLoggedAt   time.Time
	count          Counts

	permitKey       uint64
	records         *recordlog.Log // nil: records are kept in memory only
	formers         []core.Former  // former processes found in records
	pendingEntries  []wire.Stored  // entries not handed to records yet
	afterWrites     []func(error)  // called once these entries are written
	stateVersion    uint64
	storedChanges   uint64 // rosters.Changes at the last state handed to records
	stateStale      bool   // the state has to be written again
	nextTrim        time.Duration
	failureLoggedAt time.Time

	work       sync.WaitGroup
	largeSlots chan struct{}
	closing    chan struct{}
	once       sync.Once
}

// entry is an open job.
type entry struct {
	durable       bool // the next Handler stores it durably
	h             *Handler
	id            string
	job           job.Job
	effect        core.Effect
	digest        [16]byte
	deadline      time.Time // deadline of the answer to its client
	nonce         uint64
	earlier       []job.PastAttempt
	carriedBefore bool // it was carried before; earlier has its attempts then
	mustWithdraw  bool // the last of the earlier attempts may still be in flight
	inherited     bool // inherited from the previous process in an upgrade

	// Guarded by the Handler's mutex.
	record            wire.Record // as last sent to the keepers
	recorded          bool        // record has been sent to the keepers
	owned             bool        // a majority of keepers has acknowledged the record
	confirmed         time.Time   // when the last acknowledged record was sent
	exempted          time.Time   // when an attempt was last allowed without a majority
	started           bool        // it has been passed to the next Handler
	ownedElsewhere    bool        // another scheduler owns it
	rival             wire.Record // the record of that scheduler
	sameRequest       bool        // the rival's record is of the same request
	answeredByOwner   bool        // its answer came from that scheduler
	attempts          []attempt
	waiters           map[string]bool // schedulers to notify of its end
	joined            int             // clients that wait here
	handedOver        bool            // another scheduler has handed it over; its clients are to ask again
	earlierKeepers    []job.Keeper    // notified when call-backs for its attempt are accepted
	callBacksAccepted bool            // call-backs for its attempt are accepted
	cancel            context.CancelCauseFunc
	onOwnerOutcome    func(*wire.Outcome) // handles the owner's notification of its end, while that is awaited

	done chan struct{} // closed when out is set
	out  job.Outcome
}

// attempt describes an attempt that is not proven to have had no effect.
type attempt struct {
	provider string
	at       time.Time
	ended    bool
}

// answer is the retained outcome of a job.
type answer struct {
	id     string
	digest [16]byte
	nonce  uint64
	out    job.Outcome
	until  time.Time
}

var (
	errMoved = errors.New("owners: the job is another scheduler's now")
	errShort = errors.New("owners: too few keepers of the job's record can be reached")
	errOver  = errors.New("owners: its time is over")
	errLeft  = errors.New("owners: open jobs are being handed over")

	errStale  = errors.New("owners: ownership of the job was confirmed too long ago")
	errNobody = errors.New("owners: nobody waits for the job any more")
)

// New returns a Handler that has not joined the other schedulers: until Join it owns jobs that may run twice, and no others.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, log: cfg.Log, me: cfg.Self, next: cfg.Next, origin: time.Now(), table: core.NewTable(cfg.Settings.MaxRecords),
		received: make(map[transfer]map[int]bool), live: make(map[string]*entry), answers: make(map[string]*answer), answerOrder: list.New(),
		handedTo: make(map[string]wire.Process), questions: make(map[uint64]*question), claimed: make(map[string]bool),
		largeSlots: make(chan struct{}, maxLargeSends), closing: make(chan struct{}), departing: make(chan struct{})}
	// In an upgrade, two processes with the same start give numbers one after the other, so the numbers start at the current time.
	h.nonce = uint64(time.Now().UnixNano())
	h.forgottenNonce = h.nonce
	h.lastQuestion = h.nonce // so that a reply to the previous process is not taken for one to this process
	h.permitKey = newPermitKey()
	if stored := cfg.Stored; stored != nil {
		h.records, h.stateStale = stored.Log, true
		h.restoreRecords(stored.Contents)
	}
	h.initRosters()
	return h
}

// setIdentity changes this scheduler's identity. The records of open jobs have not been sent to any keeper yet, so they are changed as
// well. Called under mu.
func (h *Handler) setIdentity(me wire.Process) {
	for _, e := range h.live {
		if e.record.Owner == h.me {
			e.record.Owner = me
		}
	}
	h.me = me
	h.initRosters()
}

// initRosters creates the state that depends on this scheduler's identity.
func (h *Handler) initRosters() {
	first := h.cfg.Settings.InitialRejectTime
	if first < 0 {
		first = h.recordLife()
	}
	h.rosters = core.NewRosters(h.me, h.cfg.Settings.Keepers, h.recordLife(), first, h.cfg.AnswerTime, h.now())
	h.rosters.Inherit(h.formers)
	h.stateStale = true
}

// recordLife returns the longest time for which a record counts: the longest deadline of a job, and then the time for which its end is
// known.
func (h *Handler) recordLife() time.Duration {
	longest := time.Duration(0)
	for _, c := range h.cfg.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest + h.cfg.Settings.Retention
}

// retention returns how long after its end a job's record is retained.
func (h *Handler) retention(inLedger bool) time.Duration {
	if inLedger {
		return max(h.cfg.Settings.Retention, h.cfg.LedgerRetention)
	}
	return h.cfg.Settings.Retention
}

// ledgerRecordLife is recordLife for jobs of a ledger. It does not extend the time in which ids are in doubt: a ledger tells about its
// jobs by itself.
func (h *Handler) ledgerRecordLife() time.Duration {
	return h.recordLife() - h.retention(false) + h.retention(h.cfg.Ledger != nil)
}

// now returns the time that all decisions use. It does not depend on the system's clock.
func (h *Handler) now() time.Duration { return time.Since(h.origin) + time.Second }

// UpdateSettings applies changed settings. They must be aligned with the previous ones, so that class indices keep their meaning.
func (h *Handler) UpdateSettings(set *policy.Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cfg.Classes, h.cfg.Tenants = set.Classes, set.Tenants
	h.rosters.ExtendLifetime(h.recordLife())
}

// Join connects the Handler to the other schedulers. me is this process as they know it.
func (h *Handler) Join(net Network, me wire.Process) {
	h.mu.Lock()
	if h.net = net; me != h.me {
		h.setIdentity(me)
	}
	h.mu.Unlock()
	h.work.Go(h.maintainRosters)
}

// SetProcess sets the identity of this process after it has taken a later start number, because others had seen a later process of its
// name.
func (h *Handler) SetProcess(me wire.Process) {
	h.mu.Lock()
	defer h.unlock()
	if me != h.me {
		h.setIdentity(me)
	}
}

// Handle implements job.Handler.
func (h *Handler) Handle(ctx context.Context, j *job.Job) job.Outcome {
	due := time.Now().Add(j.TimeLeft)
	sum := digest(j)
	listened := func() {}
	h.mu.Lock()
	e := h.live[j.ID]
	switch a := h.retainedAnswer(j.ID); {
	case e != nil && e.digest != sum && !e.owned && !e.sameRequest:
		h.unlock()
		return h.askAgain() // it is not known yet which of the two requests has the ID
	case e != nil && e.digest != sum, e == nil && a != nil && a.digest != sum:
		h.count.Conflicts++
		h.unlock()
		return job.Outcome{Kind: job.Conflict}
	case e != nil && e.joined >= maxJoiners:
		h.unlock()
		return h.askAgain()
	case e != nil:
		h.count.Joined++
		if j.Keeper != nil && e.listenerPending() {
			e.earlierKeepers = append(e.earlierKeepers, j.Keeper)
		} else if j.Keeper != nil {
			listened = j.Keeper.CallBacksAccepted
		}
	case a != nil:
		h.count.Joined++
		h.unlock()
		return a.out
	case h.departedTo(j.ID) != wire.Process{}:
		h.unlock()
		return h.askAgain()
	default:
		e = h.newEntry(j, sum, due)
		if j.Keeper != nil {
			e.earlierKeepers = []job.Keeper{j.Keeper}
			e.earlier, e.carriedBefore = j.Keeper.PastAttempts()
			e.inherited = e.carriedBefore
			for _, p := range e.earlier {
				if p.InFlight || p.MayHaveRun {
					e.attempts = append(e.attempts, attempt{provider: p.Provider, at: p.Sent, ended: !p.InFlight})
				}
			}
		}
		h.processInBackground(e, func() job.Outcome { return h.process(e) })
	}
	e.joined++
	h.unlock()
	listened()
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	out := job.Outcome{Kind: job.Gone}
	select {
	case <-e.done:
		return h.outcomeForClient(ctx, e.out)
	case <-ctx.Done():
	case <-timer.C:
		// The client that opened the job may have a later deadline.
		select {
		case <-e.done:
			return h.outcomeForClient(ctx, e.out)
		case <-ctx.Done():
		case <-time.After(answerSlack):
			out = h.askAgain()
		}
	}
	h.mu.Lock()
	defer h.unlock()
	if e.joined--; e.joined == 0 && len(e.waiters) == 0 && e.effect == core.Safe && e.cancel != nil {
		e.cancel(job.ErrClientLeft) // no client is left, and the job may run again if it is requested again
	}
	return out
}

// outcomeForClient returns the answer for one of several clients: that all others have left does not end the job for this one.
func (h *Handler) outcomeForClient(ctx context.Context, out job.Outcome) job.Outcome {
	if out.Kind == job.Gone && ctx.Err() == nil {
		return h.askAgain()
	}
	return out
}

// answerSlack is the time after a client's deadline for which its answer is still awaited: a job that ends at its deadline cannot
// be answered earlier.
const answerSlack = 25 * time.Millisecond

// askAgain returns the outcome that makes a client ask again: its job goes on, or its owner cannot be reached now.
func (h *Handler) askAgain() job.Outcome {
	return job.Outcome{Kind: job.Failed, RetryAfter: 2 * h.cfg.AnswerTime}
}

// retainedAnswer returns the retained answer of a job of this scheduler, or nil. Called under mu.
func (h *Handler) retainedAnswer(id string) *answer {
	if a := h.answers[id]; a != nil && time.Now().Before(a.until) {
		return a
	}
	return nil
}

// newEntry creates the entry of a new job. Called under mu.
func (h *Handler) newEntry(j *job.Job, sum [16]byte, due time.Time) *entry {
	h.nonce++
	e := &entry{h: h, id: j.ID, job: *j, digest: sum, deadline: due, nonce: h.nonce, done: make(chan struct{}), waiters: make(map[string]bool)}
	if j.Class < len(h.cfg.Classes) {
		e.effect = core.Effect(h.cfg.Classes[j.Class].Effect)
	}
	e.durable = h.cfg.Ledger != nil && h.cfg.Ledger.IsDurable(j.Class)
	e.job.Keeper = e
	e.record = wire.Record{ID: j.ID, Owner: h.me, Nonce: e.nonce, Term: 1, Digest: sum, Effect: uint8(e.effect), InLedger: e.durable}
	h.live[j.ID] = e
	h.count.Taken++
	return e
}

// processInBackground processes a job until its end in a goroutine of its own, independent of any connection. Called under mu.
func (h *Handler) processInBackground(e *entry, process func() job.Outcome) {
	h.work.Go(func() {
		defer func() {
			if r := recover(); r != nil {
				h.log.Error("panic while carrying a job", "panic", r, "stack", string(debug.Stack()))
				h.endJob(e, job.Outcome{Kind: job.Failed})
			}
		}()
		h.endJob(e, process())
	})
}

// digest returns a hash of everything that must be equal in two requests with the same ID for them to be the same job.
func digest(j *job.Job) (d [16]byte) {
	s := sha256.New()
	for _, v := range []string{j.ClassName, j.TenantName, j.Key, j.Subject} {
		s.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(v))))
		s.Write([]byte(v))
	}
	s.Write(j.Payload)
	copy(d[:], s.Sum(nil))
	return d
}

// Report is the status that operators are shown.
type Report struct {
	Members     int    `json:"members"`         // of the roster in force; 0: there is none
	Roster      string `json:"roster"`          // its digest: equal at all schedulers once they agree
	Rosters     uint64 `json:"rosters"`         // number that came into force here
	BlockReason string `json:"waits,omitempty"` // what the next roster waits for
	Records     int    `json:"records"`
	Open        int    `json:"open"`
	Answers     int    `json:"answers"`
	Waiters     uint64 `json:"questions"` // of other schedulers that wait for jobs of this one

	Counts map[string]uint64 `json:"counts"`
}

// Report returns the current status.
func (h *Handler) Report() *Report {
	c := h.Counts()
	h.mu.Lock()
	defer h.mu.Unlock()
	r, _ := h.rosters.Roster()
	out := &Report{Members: len(r.All()), Roster: fmt.Sprintf("%016x", r.Digest()), Rosters: h.rosterCount, BlockReason: h.rosters.BlockReason, Records: c.Records,
		Open: c.Open, Answers: c.Answers, Waiters: c.Waiters, Counts: map[string]uint64{"taken": c.Taken, "joined": c.Joined, "puts": c.Puts,
			"told": c.AnsweredByOwner, "moved": c.TakenOver, "handed": c.HandedOver, "refused": c.TableFull, "unkept": c.Unconfirmed, "short": c.TooFewKeepers, "conflicts": c.Conflicts,
			"found": c.FoundByEvent, "packets": c.Packets, "malformed": c.Malformed, "kept": c.Table.Put, "kept_for_others": c.Table.Refused,
			"expired": c.Table.Expired, "full": c.Table.Full}}
	return out
}

// logFull logs at most once a minute that there is no room for records. Called under mu.
func (h *Handler) logFull() {
	h.count.TableFull++
	if now := time.Now(); now.Sub(h.fullLoggedAt) >= time.Minute {
		h.fullLoggedAt = now
		h.log.Error("no room for records of jobs' owners: jobs that must not run twice are refused", "max_records", h.cfg.Settings.MaxRecords,
			"refused", h.count.TableFull)
	}
}

// Counts returns the current numbers and the totals since the start.
func (h *Handler) Counts() Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.count
	c.Records, c.Open, c.Answers, c.Table = h.table.Len(), len(h.live), len(h.answers), h.table.Counts
	c.Waiters = uint64(h.waiterCount)
	return c
}
