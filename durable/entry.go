package durable

import (
	"context"
	"errors"
	"time"

	"laddertide/core/leases"
	"laddertide/job"
	"laddertide/ledger"
)

// entry is an open job.
type entry struct {
	h            *Handler
	seq          leases.Seq
	job          job.Job
	due          time.Time // deadline of the answer to the client
	past         []job.PastAttempt
	fromPrevious bool          // found in the ledger of a previous process
	takenCommit  ledger.Commit // of its taken record; nil: found in the ledger of a previous process
	cancel       context.CancelCauseFunc
	leasedAt     time.Time // when the last lease was handed to the store; guarded by the Handler's mutex

	onListening func() // called once reports on its attempt are accepted, or it has ended; may be nil

	done    chan struct{} // closed when out is set
	outcome job.Outcome
}

// PastAttempts implements job.Keeper.
func (e *entry) PastAttempts() ([]job.PastAttempt, bool) { return e.past, e.fromPrevious }

// BeforeSend implements job.Keeper.
func (e *entry) BeforeSend(to string) (uint64, error) {
	h := e.h
	h.mu.Lock()
	if h.leftToNext {
		h.mu.Unlock()
		return 0, errLeftToNext
	}
	e.leasedAt = time.Now()
	fence, step, err := h.table.Lease(h.clock(), e.seq, to, h.set.Lease, h.address(to))
	commit := h.append(step)
	h.mu.Unlock()
	if err != nil {
		if errors.Is(err, leases.ErrEnded) {
			e.cancel(errEnded) // a late result has ended the job
		}
		return 0, err
	}
	if err := errors.Join(h.waitCommit(e.takenCommit, e.due), h.waitCommit(commit, e.due)); err != nil {
		h.mu.Lock()
		h.table.CancelLease(e.seq, fence)
		h.mu.Unlock()
		h.logWriteError("nothing new is sent", err)
		return 0, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.table.CheckLease(h.clock(), e.seq, fence); err != nil {
		h.append(h.table.EndAttempt(h.clock(), e.seq, fence, true))
		return 0, err
	}
	return uint64(fence), nil
}

// MayStillSend implements job.Keeper. While the attempt waited for a connection, its lease may have ended, its job may have been left to
// the next process, or, if the ledger is replicated, another scheduler may have resumed the job.
func (e *entry) MayStillSend(lease uint64) error {
	h := e.h
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.leftToNext:
		return errLeftToNext
	case h.leaseValidity > 0 && time.Since(e.leasedAt) > h.leaseValidity:
		return errStaleLease
	}
	return h.table.CheckLease(h.clock(), e.seq, leases.Fence(lease))
}

// address returns a provider's address. It is stored with the lease, as the provider may leave discovery before the next
// process starts, and still have the job.
func (h *Handler) address(provider string) string {
	if h.pool == nil {
		return ""
	}
	return h.pool.Address(provider)
}

// CallBacksAccepted implements job.Keeper.
func (e *entry) CallBacksAccepted() {
	if e.onListening != nil {
		e.onListening()
	}
}

// Started implements job.Keeper.
func (e *entry) Started(lease uint64) {
	e.h.mu.Lock()
	defer e.h.mu.Unlock()
	e.h.append(e.h.table.BeginAttempt(e.h.clock(), e.seq, leases.Fence(lease)))
}

// Running implements job.Keeper.
func (e *entry) Running(lease uint64) {
	e.h.mu.Lock()
	defer e.h.mu.Unlock()
	e.h.table.RenewLease(e.h.clock(), e.seq, leases.Fence(lease))
}

// ackTimeout is how long a provider's report may wait for the disk before the provider is asked to repeat it.
const ackTimeout = 900 * time.Millisecond

// StoreResult implements job.Keeper.
func (e *entry) StoreResult(lease uint64, result []byte) error {
	h := e.h
	h.mu.Lock()
	j, ok := h.table.Get(h.clock(), e.seq)
	if !ok || j.State < leases.StateEnded && !isInFlight(&j, leases.Fence(lease)) {
		h.mu.Unlock()
		return nil // its lease is no longer valid: acknowledged, without effect
	}
	// If the job has already ended, that must be on disk, too. A result that is too large is handled by Handler.end.
	step, _ := h.table.End(h.clock(), e.seq, leases.Outcome{Kind: leases.Served, Result: result})
	h.append(step)
	commit := h.endCommit(e.seq)
	h.mu.Unlock()
	err := h.waitCommit(commit, time.Now().Add(ackTimeout))
	if err != nil {
		h.logWriteError("results are not acknowledged", err)
	}
	return err
}

// isInFlight reports whether a lease is that of the attempt in flight.
func isInFlight(j *leases.Job, fence leases.Fence) bool {
	n := len(j.Attempts)
	return n > 0 && j.Attempts[n-1].InFlight && j.Attempts[n-1].Fence == fence
}

// AttemptEnded implements job.Keeper.
func (e *entry) AttemptEnded(lease uint64, never bool) {
	e.h.mu.Lock()
	defer e.h.mu.Unlock()
	if e.h.leftToNext && !never {
		return // the next process determines it
	}
	if !e.h.isOpen(e.seq) {
		e.cancel(errEnded) // a result arrived as the attempt was given up: nothing more is to be sent
	}
	e.h.append(e.h.table.EndAttempt(e.h.clock(), e.seq, leases.Fence(lease), never))
}

// LeftToNextProcess implements job.Keeper.
func (e *entry) LeftToNextProcess() bool {
	e.h.mu.Lock()
	defer e.h.mu.Unlock()
	return e.h.leftToNext
}
