package durable

import (
	"errors"
	"time"

	"laddertide/core/leases"
	"laddertide/job"
	"laddertide/ledger"
)

// This file connects the ends of jobs in memory with their records in the store: an end that is stored may leave its answer's texts there
// alone, and they are read again for a client that asks.

// answerReadTimeout is how long an answer may take to be read for a scheduler that asks for it.
const answerReadTimeout = time.Second

// errAnswerMissing means that the store has no valid record of a job's end any more.
var errAnswerMissing = errors.New("durable: the answer cannot be read any more")

// recordWritten is called by the store with each record that is on disk.
func (h *Handler) recordWritten(at ledger.Position, record []byte) {
	seq, ok := leases.EndedSeq(record)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.MarkStored(seq, leases.Location(at))
}

// readOutcome returns the whole outcome of an ended job, read from the store if its texts are not in memory. It blocks until by at the
// latest.
func (h *Handler) readOutcome(seq leases.Seq, out leases.Outcome, answer leases.Answer, by time.Time) (leases.Outcome, error) {
	if !answer.InStore {
		return out, nil
	}
	b, err := h.store.Read(uint64(seq), ledger.Position(answer.Location), by)
	if errors.Is(err, ledger.ErrUnreadable) {
		return leases.Outcome{}, errAnswerMissing
	}
	if err != nil {
		return leases.Outcome{}, err
	}
	record, err := leases.Decode(b)
	if err != nil || record.Kind != leases.Ended || record.Seq != seq {
		return leases.Outcome{}, errAnswerMissing
	}
	return record.Outcome, nil
}

// endedOutcome returns the answer to a client that asks for an ended job. If the answer cannot be read, the job counts as over without
// one, or the client is told to ask again: in no case does the job run again.
func (h *Handler) endedOutcome(seq leases.Seq, out leases.Outcome, answer leases.Answer, by time.Time) job.Outcome {
	out, err := h.readOutcome(seq, out, answer, by)
	switch {
	case err == nil:
		return h.jobOutcome(seq, out)
	case errors.Is(err, errAnswerMissing):
		h.logWriteError("the answer of an ended job is gone", err)
		return job.Outcome{Kind: job.Failed, Why: err.Error()}
	}
	h.logWriteError("the answer of an ended job cannot be read now", err)
	return retryLater
}
