package durable

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"laddertide/core/leases"
	"laddertide/job"
	"laddertide/ledger"
	"laddertide/policy"
	"laddertide/provider"
)

// Open opens the ledger and reads the records of previous processes. Start resumes the open jobs.
func Open(set Settings, all policy.Settings, next job.Handler, pool *provider.Pool, log *slog.Logger) (*Handler,
	error) {
	var h *Handler // set before the store reports a record
	store, err := ledger.Open(ledger.Options{Dir: set.Dir, Sync: set.Sync, MaxBytes: int64(set.MaxMB) << 20, Log: log,
		Written: func(at ledger.Position, record []byte) { h.recordWritten(at, record) }})
	if err != nil {
		return nil, fmt.Errorf("durable: %w", err)
	}
	h, err = newHandler(set, all, next, pool, log, store, now)
	if err != nil {
		store.Close()
		return nil, err
	}
	if err := h.read(store); err != nil {
		store.Close()
		return nil, fmt.Errorf("durable: %w", err)
	}
	return h, nil
}

// read replays the records of previous processes.
func (h *Handler) read(store interface {
	Replay(each func([]byte) error, damaged func(ledger.Damage)) error
}) error {
	return store.Replay(func(record []byte) error {
		h.recordsRead++
		r, err := leases.Decode(record)
		if err == nil {
			err = h.table.Replay(r)
		}
		if h.replicated && r.Kind == leases.Ended {
			h.table.MarkStored(r.Seq, leases.Location{})
		}
		if err != nil {
			h.log.Warn("invalid record in the ledger", "err", err)
			h.table.ReplayLost(0)
		}
		return nil
	}, func(d ledger.Damage) {
		h.log.Warn("the ledger is damaged", "segment", d.Segment, "offset", d.Offset, "bytes", d.Bytes, "why", d.Reason,
			"number", d.Seq, "lost", !d.Harmless)
		if !d.Harmless {
			h.table.ReplayLost(leases.Seq(d.Seq))
		}
	})
}

// ReplicaOptions configures a Handler whose records are replicated. Its owner may have several such Handlers.
type ReplicaOptions struct {
	Store   Store
	Records [][]byte // stored so far, in order
	// SentElsewhere is set if another scheduler has sent the jobs, so that providers report to it. Attempts of jobs that may run twice
	// are then given up, and this Handler sends these jobs again.
	SentElsewhere bool
	// LeaseValidity is for how long after it was handed to the store a lease proves that no other scheduler resumes its job; 0: without limit.
	LeaseValidity time.Duration
	// Full reports that no new job may be taken. It must not block.
	Full func() bool
}

// NewReplica returns a Handler whose records are replicated. Start resumes its jobs. It does not register for providers' reports: its host
// passes them on. It answers no end that is not on disk, as another scheduler may record a different end.
func NewReplica(set Settings, all policy.Settings, next job.Handler, pool *provider.Pool, log *slog.Logger, host ReplicaOptions) (*Handler, error) {
	h, err := newHandler(set, all, next, pool, log, host.Store, now)
	if err != nil {
		return nil, err
	}
	h.replicated, h.sentElsewhere, h.isFull, h.leaseValidity = true, host.SentElsewhere, host.Full, host.LeaseValidity
	return h, h.read(recordList(host.Records))
}

// TakenID returns the id of the job if the record is a taken record; "" for other records.
func TakenID(record []byte) string {
	if r, err := leases.Decode(record); err == nil && r.Kind == leases.Taken {
		return r.Spec.ID
	}
	return ""
}

// recordList holds records in the order in which a store replays them.
type recordList [][]byte

// Replay calls each for every record.
func (r recordList) Replay(each func([]byte) error, _ func(ledger.Damage)) error {
	for _, b := range r {
		if err := each(b); err != nil {
			return err
		}
	}
	return nil
}

func newHandler(set Settings, all policy.Settings, next job.Handler, pool *provider.Pool, log *slog.Logger, store Store,
	clock func() leases.Clock) (*Handler, error) {
	h := &Handler{set: set, classes: all.Classes, tenants: all.Tenants, pool: pool, next: next, log: log, store: store,
		clock: clock, live: make(map[leases.Seq]*entry), unsyncedEnds: make(map[leases.Seq]*unsyncedEnd),
		closing: make(chan struct{}), writable: make(chan struct{})}
	var err error
	if h.durable, err = set.check(&all); err != nil {
		return nil, err
	}
	opt := leases.Options{MaxOpen: set.MaxOpen, Keep: set.Keep, KeepBytes: set.KeepBytes(), UnstoredBytes: unstoredBytes, MaxJoiners: maxJoiners}
	for i, c := range all.Classes {
		if policy.ClassIndex(all.Classes, c.Name) != i {
			continue // an earlier definition of a class that has been changed
		}
		opt.Classes = append(opt.Classes, leases.Class{Name: c.Name, Effect: effects[c.Effect], Group: groups[c.Group],
			Window: c.Window, Deadline: c.Deadline})
	}
	if h.table, err = leases.New(opt); err != nil {
		return nil, err
	}
	return h, nil
}

var (
	effects = [...]leases.Effect{policy.Safe: leases.Safe, policy.Keyed: leases.Keyed, policy.Unsafe: leases.Unsafe}
	groups  = [...]leases.Group{policy.GroupAll: leases.All, policy.GroupZone: leases.Zone, policy.GroupCell: leases.Cell}
)

// maxResuming limits how many resumed jobs without an attempt in flight the decision module has at a time: it scans all the
// jobs that it delays, and new clients wait along with them.
const maxResuming = 256

// ResumePacer schedules the jobs of a previous process.
type ResumePacer interface {
	// Schedule schedules a job without an attempt in flight. It calls either proceed or miss, once, on its own goroutine or its
	// caller's: proceed when the job may continue; proceed calls ended when the job has ended, with whether it was served. Or
	// miss if the job cannot meet its deadline, with the time after which its client should ask again.
	Schedule(j *job.Job, due time.Time, proceed func(ended func(served bool)), miss func(retryAfter time.Duration))
}

// Start resumes the open jobs. It returns once reports on every attempt that may be in flight are accepted, so that no
// provider reports too early. Jobs without an attempt in flight are resumed in the background.
func (h *Handler) Start() error {
	if err := h.Recover(false); err != nil {
		return err
	}
	h.AcceptCallBacks(nil)
	h.ContinueJobs(nil)
	return nil
}

// Recover decides how each open job continues, and waits until the records that were read are on disk, as firstWrite does. From then on
// clients can wait for these jobs. ledgerStale means that the ledger was rolled back to an earlier state: each of its jobs may have run
// since, by leases whose numbers the ledger does not know.
func (h *Handler) Recover(ledgerStale bool) error {
	h.recoveryStart = time.Now()
	h.mu.Lock()
	if ledgerStale {
		h.table.ReplayLost(0)
	}
	at := time.Now() // the wait for the disk counts towards the jobs' deadlines
	resumed, missing := h.table.Recover(h.clock())
	// The records that were read may not be on disk yet: the last writes of a killed process may be in the page cache only.
	commit := h.append(leases.Step{Sync: true})
	h.mu.Unlock()
	for _, m := range missing {
		h.log.Warn("the ledger lacks a record", "job", m.ID, "number", uint64(m.Seq), "what", m.What)
	}
	if err := h.firstWrite(commit); err != nil {
		return err
	}
	if !h.replicated {
		h.pool.HandleUnclaimed = h.handleUnclaimed
	}
	h.toResume = make([]resumedJob, len(resumed))
	for i := range resumed {
		r := &resumed[i]
		h.toResume[i].Resumed = r
		h.toResume[i].entry, h.toResume[i].reason = h.restore(r, at)
	}
	return nil
}

// resumedJob is a job of a previous process that is being resumed.
type resumedJob struct {
	*leases.Resumed
	entry  *entry
	reason string // why it cannot be resumed; "": it can
}

// AcceptCallBacks starts to accept reports on the attempts that may be in flight, and ends the jobs that cannot be resumed. It
// returns once reports on all these attempts are accepted. It calls remaining, if not nil, with the number of attempts for
// which they are not accepted yet.
func (h *Handler) AcceptCallBacks(remaining func(int)) {
	waits, failed := 0, 0
	var waiting []*entry
	var listening sync.WaitGroup
	for _, r := range h.toResume {
		e := r.entry
		switch {
		case r.Action == leases.Fail || r.reason != "":
			failed++
			h.log.Warn("a job of the ledger cannot be resumed", "id", r.Spec.ID, "class", r.Spec.Class, "why", r.Reason+r.reason)
			h.end(e, job.Outcome{Kind: job.Failed, Why: r.Reason + r.reason})
		case r.Action == leases.Wait:
			waits++
			listening.Add(1)
			e.onListening = sync.OnceFunc(listening.Done)
			waiting = append(waiting, e)
			h.run(e)
		default:
			h.notInFlight = append(h.notInFlight, e)
		}
	}
	if remaining != nil {
		remaining(waits)
	}
	listening.Wait()
	if remaining != nil {
		remaining(0)
	}
	if h.sentElsewhere {
		for _, e := range waiting {
			if h.classes[e.job.Class].Effect != policy.Unsafe {
				h.pool.ExpireLease(e.job.ID, e.past[len(e.past)-1].Lease)
			}
		}
	}
	slices.SortStableFunc(h.notInFlight, func(a, b *entry) int { return a.due.Compare(b.due) })
	if n := len(h.toResume); n > 0 {
		h.log.Info("resuming the jobs of a previous process", "open", n, "out", waits, "failed", failed,
			"took", time.Since(h.recoveryStart).Round(time.Millisecond))
	}
	h.toResume = nil
}

// ContinueJobs resumes the jobs without an attempt in flight once the folder takes writes: as pace schedules them, or, if it is nil, maxResuming
// at a time.
func (h *Handler) ContinueJobs(pace ResumePacer) {
	jobs := h.notInFlight
	h.notInFlight = nil
	h.background.Go(h.maintain)
	if h.StartWriteError() == nil {
		h.continueJobs(jobs, pace)
		return
	}
	h.background.Go(func() { h.continueJobs(h.awaitWritable(jobs), pace) })
}

// continueJobs resumes jobs without an attempt in flight.
func (h *Handler) continueJobs(jobs []*entry, pace ResumePacer) {
	if pace == nil {
		h.background.Go(func() { h.continueLimited(jobs) })
	} else {
		for _, e := range jobs {
			pace.Schedule(&e.job, e.due, func(ended func(bool)) {
				h.run(e)
				go func() {
					<-e.done
					ended(e.outcome.Kind == job.Served)
				}()
			}, func(retryAfter time.Duration) { go h.end(e, e.missedDeadline(retryAfter)) })
		}
	}
}

// missedDeadline returns the outcome of a job that cannot meet its deadline. Rejected tells the client that a repeat does no harm, so a
// job that may have run is only rejected if its class is safe.
func (e *entry) missedDeadline(retryAfter time.Duration) job.Outcome {
	safe := e.job.Class >= 0 && e.h.classes[e.job.Class].Effect == policy.Safe
	for _, p := range e.past {
		if (p.MayHaveRun || p.InFlight) && !safe {
			return job.Outcome{Kind: job.Failed}
		}
	}
	return job.Outcome{Kind: job.Rejected, RetryAfter: retryAfter}
}

// continueLimited runs jobs without an attempt in flight, maxResuming at a time, in the order of jobs: those with the least time left first.
func (h *Handler) continueLimited(jobs []*entry) {
	places := make(chan struct{}, maxResuming)
	for _, e := range jobs {
		select {
		case places <- struct{}{}:
		case <-h.closing:
			return
		}
		h.run(e)
		go func() {
			<-e.done
			<-places
		}()
	}
}

// restore adds an entry for a job of a previous process. r is its state at the time at. why is the reason if it cannot be resumed.
func (h *Handler) restore(r *leases.Resumed, at time.Time) (e *entry, why string) {
	j := job.Job{ID: r.Spec.ID, ClassName: r.Spec.Class, TenantName: r.Spec.Tenant, Deadline: r.Spec.Deadline, TimeLeft: r.TimeLeft,
		Hint: r.Spec.WorkHint, Slots: r.Spec.Slots, Key: r.Spec.Key}
	j.Class = policy.ClassIndex(h.classes, j.ClassName)
	j.Tenant = slices.IndexFunc(h.tenants, func(t policy.Tenant) bool { return t.Name == j.TenantName })
	if j.Tenant < 0 {
		j.Tenant = len(h.tenants)
	}
	if r.Action != leases.Fail {
		if err := decodeBody(r.Spec.Body, &j); err != nil {
			why = err.Error()
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e = h.addEntry(r.Seq, j, at.Add(r.TimeLeft))
	e.fromPrevious = true
	for _, a := range r.Attempts {
		if a.InFlight && a.Address != "" && h.pool != nil {
			h.pool.AddUnlisted(a.Provider, a.Address)
		}
		ago := a.Age
		if !a.AgeKnown {
			ago = unknownAge
		}
		e.past = append(e.past, job.PastAttempt{Provider: a.Provider, Lease: uint64(a.Fence), Sent: at.Add(-ago), Started: a.Begun,
			MayHaveRun: a.MayHaveRun && !a.InFlight, InFlight: a.InFlight})
	}
	return e, why
}

// unknownAge is the assumed age of an attempt whose age the clocks do not tell: longer than any window.
const unknownAge = 30 * 24 * time.Hour

// maintainInterval is the interval of the checks for expired leases and for jobs to forget.
const maintainInterval = 250 * time.Millisecond

// maintain expires leases, forgets ended jobs whose time has passed, and removes what the ledger needs no more.
func (h *Handler) maintain() {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for {
		select {
		case <-h.closing:
			return
		case <-tick.C:
		}
		h.mu.Lock()
		expired := h.table.Expired(h.clock())
		_, oldest := h.table.ForgetExpired(h.clock())
		m := h.table.Mark()
		h.mu.Unlock()
		h.rewriteEnds()
		for _, l := range expired {
			// A job that must not run twice is not sent elsewhere: its provider's report is awaited until its deadline.
			if c := slices.IndexFunc(h.classes, func(c policy.Class) bool { return c.Name == l.Class }); c >= 0 &&
				h.classes[c].Effect != policy.Unsafe {
				h.log.Debug("lease ran out", "id", l.ID, "provider", l.Provider, "silent", l.SilentFor)
				h.pool.ExpireLease(l.ID, uint64(l.Fence))
			}
		}
		if err := h.store.Trim(uint64(oldest), m.Append(nil)); err != nil {
			h.logWriteError("old jobs are not removed", err)
		}
	}
}
