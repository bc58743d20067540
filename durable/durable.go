// Package durable persists the jobs of some classes, so that they survive a crash of the process. Its Handler records a
// job before the next Handler receives it, records each attempt and its result, answers repeated requests for the same
// job, and resumes open jobs after a restart. It owns the ledger and the table of its jobs.
//
// Package core/leases decides which record must be on disk before which step, and what a restart does with a job. The
// decision module chooses the provider of a job and decides whether the job is sent again. This package neither formats
// answers nor opens connections.
package durable

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"laddertide/core/leases"
	"laddertide/job"
	"laddertide/ledger"
	"laddertide/policy"
	"laddertide/provider"
)

// Store stores the records. See [ledger.Store].
type Store interface {
	Append(seq uint64, records ...[]byte) ledger.Commit
	AppendLazy(seq uint64, records ...[]byte)
	Trim(oldest uint64, mark []byte) error
	// Read returns a record of a job; at is where the store has reported it, zero if the store reports no positions.
	Read(seq uint64, at ledger.Position, by time.Time) ([]byte, error)
	Size() int64
	Snapshot(dst string) error
	Close() error
}

// Handler stores and runs durable jobs.
type Handler struct {
	set     Settings
	classes []policy.Class
	tenants []policy.Tenant
	durable []bool // by class
	pool    *provider.Pool
	next    job.Handler
	log     *slog.Logger
	store   Store
	clock   func() leases.Clock

	mu         sync.Mutex // guards the following fields and the order in which records are appended
	table      *leases.Table
	live       map[leases.Seq]*entry // open jobs
	leftToNext bool                  // open jobs are left to the next process

	shutdownBy time.Time // when the process ends; zero: unknown

	replicated    bool                        // the records are replicated, and another scheduler may become the leader
	isFull        func() bool                 // see Host; may be nil
	leaseValidity time.Duration               // see Host
	sentElsewhere bool                        // providers report on the jobs found open to another scheduler
	lostEnds      uint64                      // number of ends that could not be written
	unsyncedEnds  map[leases.Seq]*unsyncedEnd // ends that are not known to be on disk
	lastWarning   time.Time                   // time of the last log line on a failed write
	refused       uint64                      // new jobs not taken for want of room
	lastRefusal   time.Time                   // time of the last log line on that

	// State of a start, used by one goroutine only, except where noted.
	writable chan struct{} // closed once the ledger has taken a write
	startErr error         // why the ledger has taken no write since the start; nil: it has, or none was tried. Guarded by mu

	recordsRead   int // number of records read
	recoveryStart time.Time
	toResume      []resumedJob
	notInFlight   []*entry // open jobs without an attempt in flight

	running    sync.WaitGroup // jobs in the next Handler
	closing    chan struct{}  // closed by Close
	background sync.WaitGroup // background goroutines
}

var (
	errEnded        = errors.New("durable: the job has ended")
	errWriteTimeout = errors.New("durable: not on disk in time")
	errLeftToNext   = errors.New("durable: left to the next process")
	errStaleLease   = errors.New("durable: the lease was stored too long ago")
)

// endWriteGrace is how long after a job's deadline the write of its end may still take: a job that fails at its deadline has
// no time before that, and its client waits slightly longer than the deadline.
const endWriteGrace = 25 * time.Millisecond

// Handle implements job.Handler. The class of a request decides whether a new job is stored. Whether the request is for a stored job is
// decided by its id alone: the job may have been taken while its class was another one.
func (h *Handler) Handle(ctx context.Context, j *job.Job) job.Outcome {
	if !h.IsDurable(j.Class) && !h.holds(j.ID) {
		return h.next.Handle(ctx, j)
	}
	due := time.Now().Add(j.TimeLeft)
	spec := NewSpec(j)
	h.mu.Lock()
	if !h.IsDurable(j.Class) && !h.table.Holds(h.clock(), j.ID) { // it has been forgotten meanwhile
		h.mu.Unlock()
		return h.next.Handle(ctx, j)
	}
	if h.leftToNext {
		out, e, ended := h.answerAfterLeave(spec)
		h.mu.Unlock()
		switch {
		case e != nil:
			return h.await(ctx, e, due)
		case ended != nil:
			return h.endedOutcome(ended.Seq, ended.Outcome, ended.Answer, due)
		}
		return out
	}
	result, step := h.take(spec)
	retryAfter := time.Duration(0)
	if h.startErr != nil {
		retryAfter = defaultRetryAfter
	}
	var commit ledger.Commit
	var e *entry
	switch result.Kind {
	case leases.Fresh:
		commit = h.append(step)
		e = h.addEntry(result.Seq, *j, due)
	case leases.Joined, leases.Known:
		e = h.live[result.Seq]
	}
	h.mu.Unlock()
	switch result.Kind {
	case leases.Fresh:
		// Nothing is sent before the job's first lease is on disk, and that wait includes the taken record, so one
		// sync covers both.
		e.takenCommit = commit
		h.run(e)
	case leases.Known:
		if e == nil {
			return h.answerEnded(&result, due)
		}
	case leases.Conflict:
		return job.Outcome{Kind: job.Conflict}
	case leases.Full:
		return job.Outcome{Kind: job.Rejected, RetryAfter: retryAfter}
	case leases.Crowded: // it runs
		return retryLater
	case leases.Invalid:
		return job.Outcome{Kind: job.Invalid, Why: "the job is too large to be kept"}
	}
	return h.await(ctx, e, due)
}

// joinGrace is for how long after its time a client's answer is still awaited. The time of a client that asks again ends some milliseconds
// before that of its job; an answer that is half a second late counts as lost.
const joinGrace = 200 * time.Millisecond

// await returns the outcome of a running job, or Gone if its client leaves first. A client that has less time than the job, as it has
// joined it, is told to ask again once its own time is over by joinGrace: a final answer that comes a moment late is better.
func (h *Handler) await(ctx context.Context, e *entry, due time.Time) job.Outcome {
	out := job.Outcome{Kind: job.Gone}
	timer := time.NewTimer(time.Until(due) + joinGrace)
	defer timer.Stop()
	expired := timer.C
	if !due.Before(e.due) {
		expired = nil // the job ends by then
	}
	select {
	case <-e.done:
		return e.outcome
	case <-ctx.Done():
	case <-expired:
		out = retryLater
	}
	h.mu.Lock()
	h.table.RemoveWaiter(e.seq)
	h.mu.Unlock()
	return out
}

// Open returns the jobs that have not ended, and the ids of the ended jobs whose answer no client is known to have received.
func (h *Handler) Open() (open []*job.Job, ended []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.live {
		j := e.job
		j.TimeLeft = time.Until(e.due)
		open = append(open, &j)
	}
	for j := range h.table.Snapshot(h.clock()) {
		if j.State == leases.StateEnded && h.live[j.Seq] == nil {
			ended = append(ended, j.Spec.ID)
		}
	}
	return open, ended
}

// HandleUnclaimed handles a provider's report that belongs to no attempt here and that the Handler's host received.
func (h *Handler) HandleUnclaimed(ev provider.Event) error { return h.handleUnclaimed(ev) }

// HandleForwarded handles such a report when another scheduler forwarded it.
func (h *Handler) HandleForwarded(ev provider.Event) error { return h.handleUnclaimed(ev) }

// Carries reports whether a job is known here, as open or as ended.
func (h *Handler) Carries(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.table.Find(h.clock(), id)
	return known
}

// holds reports whether a job with that id is open, or has ended and is still known.
func (h *Handler) holds(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Holds(h.clock(), id)
}

// IsDurable reports whether new jobs of a class are durable.
func (h *Handler) IsDurable(class int) bool { return class < len(h.durable) && h.durable[class] }

// Find reports whether the ledger has a job with that id, and returns its outcome; nil: not available to clients yet. It may read the
// outcome from the disk.
func (h *Handler) Find(id string) (out *job.Outcome, known bool) {
	h.mu.Lock()
	j, known := h.table.Find(h.clock(), id)
	available := known && j.State >= leases.StateEnded && h.answerable(j.Seq, j.Outcome)
	h.mu.Unlock()
	if !available {
		return nil, known
	}
	answer := h.endedOutcome(j.Seq, j.Outcome, j.Answer, time.Now().Add(answerReadTimeout))
	if answer.Kind == job.Failed && answer.RetryAfter > 0 {
		return nil, true
	}
	return &answer, true
}

// NewSpec returns the form in which the ledger stores a job.
func NewSpec(j *job.Job) leases.Spec {
	return leases.Spec{ID: j.ID, Class: j.ClassName, Tenant: j.TenantName, Digest: digest(j), Key: j.Key, Deadline: j.Deadline,
		TimeLeft: j.TimeLeft, WorkHint: j.Hint, Slots: j.Slots, Body: encodeBody(j)}
}

// take adds a job to the table. It takes no new job while the ledger is full or takes no writes yet. Called under mu.
func (h *Handler) take(spec leases.Spec) (leases.TakeResult, leases.Step) {
	if !h.table.Holds(h.clock(), spec.ID) {
		full := h.store.Size() >= h.set.intakeLimit()
		if full {
			h.countRefused("durable.max_mb")
		}
		if full || h.startErr != nil || h.isFull != nil && h.isFull() {
			return leases.TakeResult{Kind: leases.Full}, leases.Step{}
		}
	}
	refused := h.table.Counts().Refused
	result, step := h.table.Take(h.clock(), spec)
	if h.table.Counts().Refused > refused {
		h.countRefused("durable.keep_mb")
	}
	return result, step
}

// countRefused counts a new job that is not taken, as what is kept of ended jobs leaves no room, and logs that at most once a minute.
// Called under mu.
func (h *Handler) countRefused(bound string) {
	h.refused++
	if now := time.Now(); now.Sub(h.lastRefusal) >= writeErrorInterval {
		h.lastRefusal = now
		h.log.Warn("durable jobs are refused: what is kept of ended jobs takes all the room", "bound", bound, "refused", h.refused)
	}
}

// addEntry adds an entry. Called under mu.
func (h *Handler) addEntry(seq leases.Seq, j job.Job, due time.Time) *entry {
	e := &entry{h: h, seq: seq, job: j, due: due, done: make(chan struct{})}
	e.job.Keeper = e
	h.live[seq] = e
	return e
}

// run runs a job in the next Handler, independent of any client connection.
func (h *Handler) run(e *entry) {
	ctx, cancel := context.WithCancelCause(context.Background())
	h.mu.Lock()
	e.cancel = cancel
	left := h.leftToNext
	h.mu.Unlock()
	if left {
		cancel(errLeftToNext)
	}
	h.running.Go(func() {
		defer cancel(nil)
		out := h.callNext(ctx, e)
		h.end(e, out)
	})
}

// callNext calls the next Handler. A panic in it fails this job only.
func (h *Handler) callNext(ctx context.Context, e *entry) (out job.Outcome) {
	defer func() {
		if r := recover(); r != nil {
			h.log.Error("panic while handling a durable job", "panic", r, "stack", string(debug.Stack()))
			out = job.Outcome{Kind: job.Failed}
		}
	}()
	j := e.job // a copy, as Open reads the entry's job concurrently
	j.TimeLeft = max(0, time.Until(e.due))
	return h.next.Handle(ctx, &j)
}

// end records the one end of a job, and answers the waiting clients once that is stored.
func (h *Handler) end(e *entry, out job.Outcome) {
	e.CallBacksAccepted()
	if err := h.waitCommit(e.takenCommit, e.due); commitFailed(e.takenCommit) {
		h.withdraw(e, err)
		return
	}
	h.mu.Lock()
	if h.leftToNext && out.Kind != job.Served && h.isOpen(e.seq) {
		// The next process resumes it, and its client may ask again there.
		delete(h.live, e.seq)
		h.mu.Unlock()
		e.outcome = retryLater
		close(e.done)
		return
	}
	step, err := h.table.End(h.clock(), e.seq, ledgerOutcome(out)) // no effect if a provider's report has ended it
	if errors.Is(err, leases.ErrTooLong) {
		step, _ = h.table.End(h.clock(), e.seq, leases.Outcome{Kind: leases.Failed,
			Reason: "its result is too large to be kept"})
	}
	h.append(step)
	commit := h.endCommit(e.seq)
	stored, answer := ledgerOutcome(out), leases.Answer{}
	if j, ok := h.table.Get(h.clock(), e.seq); ok {
		stored, answer = j.Outcome, j.Answer
	}
	h.mu.Unlock()
	if stored, err = h.readOutcome(e.seq, stored, answer, e.due); err != nil {
		h.logWriteError("the answer of an ended job cannot be read", err)
		stored = leases.Outcome{Kind: leases.Failed}
	}
	if err = h.awaitEndOnDisk(e, stored, commit); err != nil {
		h.mu.Lock()
		h.lostEnds++
		h.mu.Unlock()
		h.logWriteError("ends of jobs are not kept", err)
	}
	h.mu.Lock()
	e.outcome = h.finalAnswer(e.seq, stored, err)
	delete(h.live, e.seq)
	h.mu.Unlock()
	close(e.done)
}

// withdraw removes a job whose taken record could not be written: nothing of it was sent, and a restart does not know
// it.
func (h *Handler) withdraw(e *entry, err error) {
	h.logWriteError("jobs are not taken", err)
	h.mu.Lock()
	h.append(h.table.Withdraw(h.clock(), e.seq))
	delete(h.live, e.seq)
	h.mu.Unlock()
	e.outcome = job.Outcome{Kind: job.Rejected}
	close(e.done)
}

// isOpen reports whether a job has no end yet. Called under mu.
func (h *Handler) isOpen(seq leases.Seq) bool {
	j, ok := h.table.Get(h.clock(), seq)
	return ok && j.State < leases.StateEnded
}

// ledgerOutcome converts an outcome to the form in which the ledger stores it.
func ledgerOutcome(out job.Outcome) leases.Outcome {
	k := leases.Outcome{Kind: leases.Failed, RetryAfter: out.RetryAfter, Reason: out.Why}
	switch out.Kind {
	case job.Served:
		k.Kind, k.Result = leases.Served, out.Result
	case job.Rejected:
		k.Kind = leases.Rejected
	case job.Invalid:
		k.Kind = leases.InvalidRequest
	}
	return k
}

// jobOutcome converts a stored outcome for a front end. Its Written records that a client has received it.
func (h *Handler) jobOutcome(seq leases.Seq, k leases.Outcome) job.Outcome {
	out := job.Outcome{Kind: job.Failed, RetryAfter: k.RetryAfter}
	switch k.Kind {
	case leases.Served:
		out = job.Outcome{Kind: job.Served, Result: k.Result}
	case leases.Rejected:
		out = job.Outcome{Kind: job.Rejected, RetryAfter: k.RetryAfter}
	case leases.InvalidRequest:
		out = job.Outcome{Kind: job.Invalid, Why: k.Reason}
	}
	out.Written = func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.append(h.table.MarkAnswered(seq))
	}
	return out
}

// append writes a step's records to the ledger. It returns nil if there is nothing to wait for. Called under mu, as the
// records must be in the order of the table's steps.
func (h *Handler) append(step leases.Step) ledger.Commit {
	if len(step.Records) == 0 && !step.Sync {
		return nil
	}
	records := make([][]byte, len(step.Records))
	var seq leases.Seq
	for i := range step.Records {
		if r := &step.Records[i]; r.Kind != leases.Mark {
			seq = max(seq, r.Seq)
		}
		records[i] = step.Records[i].Append(nil)
	}
	if !step.Sync {
		h.store.AppendLazy(uint64(seq), records...)
		return nil
	}
	commit := h.store.Append(uint64(seq), records...)
	for i := range step.Records {
		if r := &step.Records[i]; r.Kind == leases.Ended {
			h.addUnsyncedEnd(r.Seq).commit = commit
		}
	}
	return commit
}

// completed reports whether a commit has completed, successfully or not.
func completed(c ledger.Commit) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// waitCommit waits until a commit is on disk, until by at the latest.
func (h *Handler) waitCommit(c ledger.Commit, by time.Time) error {
	if c == nil {
		return nil
	}
	select {
	case <-c.Done():
		return c.Wait()
	default:
	}
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	select {
	case <-c.Done():
		return c.Wait()
	case <-timer.C:
		return errWriteTimeout
	}
}

// commitFailed reports whether a commit is known to have failed, so that none of its records will be read after a restart.
func commitFailed(c ledger.Commit) bool {
	if c == nil {
		return false
	}
	return completed(c) && c.Wait() != nil && !errors.Is(c.Wait(), ledger.ErrUncertain)
}

const writeErrorInterval = time.Minute

// logWriteError logs a failed write, at most once a minute.
func (h *Handler) logWriteError(what string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := time.Now(); now.Sub(h.lastWarning) >= writeErrorInterval {
		h.lastWarning = now
		h.log.Error("ledger not written: "+what, "err", err, "dir", h.set.Dir, "ends_not_kept", h.lostEnds)
	}
}

// handleUnclaimed handles call-backs that belong to no attempt here. A repeat of the one that ended a job is acknowledged again only once
// that end is on disk. A call-back of a lease that is no longer valid changes nothing. A call-back of a valid lease belongs to a job that
// is left to the next process, or to an attempt that has just been given up: a result still ends the job and is stored; if the job is
// left, the provider must repeat a call-back that reports any other end of the attempt, for the next process to handle it.
func (h *Handler) handleUnclaimed(ev provider.Event) error {
	h.mu.Lock()
	seq, fence, stands := h.table.MatchReport(ev.ID, ev.Provider, leases.Fence(ev.Lease))
	if stands && h.leftToNext && ev.State > provider.Running && ev.State != provider.Done {
		h.mu.Unlock()
		return job.ErrNotStored
	}
	if stands && ev.State == provider.Done {
		step, err := h.table.End(h.clock(), seq, leases.Outcome{Kind: leases.Served, Result: ev.Result})
		if err != nil {
			h.log.Warn("a result that belongs to no current attempt cannot be stored", "id", ev.ID, "provider", ev.Provider, "err", err)
		}
		h.append(step)
	}
	var commit ledger.Commit
	if fence != 0 {
		commit = h.endCommit(seq)
	}
	h.mu.Unlock()
	if err := h.waitCommit(commit, time.Now().Add(ackTimeout)); err != nil {
		h.logWriteError("results are not acknowledged", err)
		return job.ErrNotStored
	}
	return nil
}

// Snapshot copies the ledger into a folder that is empty or does not exist yet. It blocks, but it delays no other operation.
func (h *Handler) Snapshot(dst string) error { return h.store.Snapshot(dst) }

// HasRecords reports whether the ledger held records of a previous process.
func (h *Handler) HasRecords() bool { return h.recordsRead > 0 }

// Check validates the section against a scheduler's settings.
func (s *Settings) Check(set *policy.Settings) error {
	_, err := s.check(set)
	return err
}

// check returns for each class of the settings whether it is durable.
func (s *Settings) check(set *policy.Settings) ([]bool, error) {
	out := make([]bool, len(set.Classes))
	for i := range set.Classes {
		out[i] = s.IsDurable(set.Classes[i].Name)
	}
	for _, name := range s.Classes {
		if !slices.ContainsFunc(set.Classes, func(c policy.Class) bool { return c.Name == name }) {
			return nil, fmt.Errorf("durable.classes: no class is called %q", name)
		}
	}
	return out, nil
}
