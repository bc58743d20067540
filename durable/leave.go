package durable

import (
	"context"
	"time"

	"laddertide/core/leases"
	"laddertide/job"
)

// This file leaves open jobs to the process, or the scheduler, that goes on with them.

// answerAfterLeave answers a request that arrives after the open jobs were left to the next process. If it returns an entry, the job has
// ended and its outcome is about to be available there; if it returns a job, its outcome is the answer. Called under mu.
func (h *Handler) answerAfterLeave(spec leases.Spec) (out job.Outcome, wait *entry, ended *leases.Job) {
	j, known := h.table.Find(h.clock(), spec.ID)
	switch {
	case !known: // new jobs are no longer taken
		return job.Outcome{Kind: job.Rejected}, nil, nil
	case j.Spec.Digest != spec.Digest:
		return job.Outcome{Kind: job.Conflict}, nil, nil
	case j.State < leases.StateEnded:
		return retryLater, nil, nil
	case h.live[j.Seq] != nil:
		return job.Outcome{}, h.live[j.Seq], nil
	case h.answerable(j.Seq, j.Outcome):
		return job.Outcome{}, nil, &j
	}
	return retryLater, nil, nil
}

// LeaveOpenJobs leaves all open jobs to the process or scheduler that resumes them: nothing more is sent, and no attempt is cancelled.
func (h *Handler) LeaveOpenJobs() { h.leaveOpenJobs() }

// Stop announces that the process ends at by. Shortly before, open jobs are left to the next process.
func (h *Handler) Stop(by time.Time) {
	h.mu.Lock()
	h.shutdownBy = by
	h.mu.Unlock()
	h.background.Go(func() {
		timer := time.NewTimer(time.Until(by) - leaveMargin)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-h.closing:
			return
		}
		h.leaveOpenJobs()
	})
}

// leaveMargin is how long before the end of the process open jobs are left to the next one: at the end itself the decision module
// would answer them.
const leaveMargin = 100 * time.Millisecond

func (h *Handler) leaveOpenJobs() {
	h.mu.Lock()
	h.leftToNext = true
	jobs := len(h.live)
	cancels := make([]context.CancelCauseFunc, 0, jobs)
	for _, e := range h.live {
		if e.cancel != nil { // nil: not running yet; run cancels it then
			cancels = append(cancels, e.cancel)
		}
	}
	h.mu.Unlock()
	for _, cancel := range cancels {
		cancel(errLeftToNext)
	}
	if jobs > 0 {
		h.log.Info("jobs left in the ledger for the next process", "jobs", jobs)
	}
}

// Close closes the ledger. Jobs that are still running continue without it.
func (h *Handler) Close() error {
	h.mu.Lock()
	h.leftToNext = true
	h.mu.Unlock()
	close(h.closing)
	h.background.Wait()
	h.flushAnswered()
	return h.store.Close()
}

// Drain waits until no job is running and closes the Handler. Open jobs must have been left to the next process before.
func (h *Handler) Drain() error {
	h.running.Wait()
	return h.Close()
}
