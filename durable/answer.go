package durable

import (
	"errors"
	"time"

	"laddertide/core/leases"
	"laddertide/job"
	"laddertide/ledger"
	"laddertide/policy"
)

// This file decides whether a client may receive the end of a job: only if the end is on disk, or a client has received it before. The
// same answer is then repeated for as long as the job is known.

// defaultRetryAfter is after what time a client should ask again for a job that the next process resumes.
const defaultRetryAfter = time.Second

// retryLater is the answer for a job that another process may resume, or whose end clients may not receive yet.
var retryLater = job.Outcome{Kind: job.Failed, RetryAfter: defaultRetryAfter}

// errClosing ends the wait for a write at shutdown.
var errClosing = errors.New("durable: the process ends")

// unsyncedEnd is the end of a job that is not known to be on disk.
type unsyncedEnd struct {
	commit   ledger.Commit // of its last write
	answered bool          // a client has received it
}

// addUnsyncedEnd returns the state of an end that is being written, and creates it if needed. Called under mu.
func (h *Handler) addUnsyncedEnd(seq leases.Seq) *unsyncedEnd {
	end := h.unsyncedEnds[seq]
	if end == nil {
		end = &unsyncedEnd{}
		h.unsyncedEnds[seq] = end
	}
	return end
}

// endCommit returns the commit to wait for until a job's end is known to be on disk; nil: it is. Called under mu.
func (h *Handler) endCommit(seq leases.Seq) ledger.Commit {
	end := h.unsyncedEnds[seq]
	switch {
	case end == nil && h.startErr != nil: // the records that were read may not be on disk
		return failedCommit{h.startErr}
	case end == nil:
		return nil
	case completed(end.commit) && end.commit.Wait() == nil:
		delete(h.unsyncedEnds, seq)
		if h.replicated { // no positions are reported
			h.table.MarkStored(seq, leases.Location{})
		}
		return nil
	}
	return end.commit
}

// answerable reports whether a client may receive the end of a job that is no longer running. Called under mu.
func (h *Handler) answerable(seq leases.Seq, out leases.Outcome) bool {
	if h.endCommit(seq) == nil {
		return true
	}
	if end := h.unsyncedEnds[seq]; end != nil {
		return end.answered
	}
	// A previous process has written it, and the folder has taken no writes since the start: a power loss may still undo it. That is not
	// enough to promise that nothing of the job ran.
	return out.Kind != leases.Rejected
}

// answerEnded answers a request for a job that has ended and is no longer running. If clients may not receive the end yet, it waits until
// due at the latest.
func (h *Handler) answerEnded(known *leases.TakeResult, due time.Time) job.Outcome {
	h.mu.Lock()
	commit, mayAnswer := h.endCommit(known.Seq), h.answerable(known.Seq, known.Outcome)
	h.mu.Unlock()
	if !mayAnswer && h.waitCommit(commit, due) != nil {
		return retryLater
	}
	return h.endedOutcome(known.Seq, known.Outcome, known.Answer, due)
}

// awaitEndOnDisk waits until a job's end is on disk or may be answered without that. Its error is why the end is not on disk. After a
// kill the next process may resume a job whose end is not on disk: the job would be sent after its client has received an end, or would
// run although its client was told that nothing ran. So an end is held back until it is on disk, or the deadline has passed, as no
// process sends the job after that, or this process ends. A job that must not run twice is never sent again, so its result may be
// answered at once.
func (h *Handler) awaitEndOnDisk(e *entry, out leases.Outcome, commit ledger.Commit) error {
	by := e.due.Add(endWriteGrace)
	err := h.waitCommit(commit, by)
	for err != nil && h.mustHoldBack(e, out) && time.Now().Before(e.due) {
		select {
		case <-time.After(min(writeRetry, time.Until(e.due))):
		case <-h.closing:
			return errClosing
		}
		h.mu.Lock()
		commit = h.endCommit(e.seq)
		h.mu.Unlock()
		err = h.waitCommit(commit, by)
	}
	return err
}

// mustHoldBack reports whether clients may not receive an end yet that is not on disk.
func (h *Handler) mustHoldBack(e *entry, out leases.Outcome) bool {
	sentAgain := e.job.Class < 0 || h.classes[e.job.Class].Effect != policy.Unsafe
	return !h.replicated && (sentAgain || out.Kind != leases.Served)
}

// finalAnswer returns the answer to the clients of a job that has ended, and notes that they receive it. err is why the end is not on disk;
// nil: it is. If the ledger is replicated, another scheduler may have recorded a different end, so the client must ask again. An end that
// is not on disk is never answered as rejected, neither now nor later. Called under mu.
func (h *Handler) finalAnswer(seq leases.Seq, out leases.Outcome, err error) job.Outcome {
	switch {
	case err == nil || h.endCommit(seq) == nil:
		return h.jobOutcome(seq, out)
	case h.replicated || errors.Is(err, errClosing):
		return retryLater
	}
	if out.Kind == leases.Rejected {
		out = leases.Outcome{Kind: leases.Failed}
		h.append(h.table.Revise(h.clock(), seq, out))
	}
	h.addUnsyncedEnd(seq).answered = true
	return h.jobOutcome(seq, out)
}
