package durable

import (
	"errors"
	"time"

	"laddertide/core/leases"
	"laddertide/job"
	"laddertide/ledger"
	"laddertide/policy"
)

// What a client may be told of the end of a job is decided here, whoever asks and whenever: an end that is on disk, or one that a client
// has been told already. What has been told once is told again for as long as the job is known.

// askAgain is when the client of a job that the next process goes on with should ask for it again.
const askAgain = time.Second

// goesOn is what a client is told of a job that another process may go on with, or whose end may not be told yet.
var goesOn = job.Outcome{Kind: job.Failed, RetryAfter: askAgain}

// errClosing ends the wait for a write as this process ends.
var errClosing = errors.New("durable: the process ends")

// unkeptEnd is the end of a job that is not known to be on disk.
type unkeptEnd struct {
	commit ledger.Commit // of its last write
	told   bool          // a client has been told it
}

// unkeptEnd returns what is known of an end that is being written. Called under mu.
func (h *Handler) unkeptEnd(seq leases.Seq) *unkeptEnd {
	end := h.unkept[seq]
	if end == nil {
		end = &unkeptEnd{}
		h.unkept[seq] = end
	}
	return end
}

// kept is what to wait for before a job's end is known to be on disk; nil: it is. Called under mu.
func (h *Handler) kept(seq leases.Seq) ledger.Commit {
	end := h.unkept[seq]
	switch {
	case end == nil && h.startErr != nil: // what was read may not be on disk
		return unwritable{h.startErr}
	case end == nil:
		return nil
	case over(end.commit) && end.commit.Wait() == nil:
		delete(h.unkept, seq)
		return nil
	}
	return end.commit
}

// tellable reports whether a client may be told the end of a job that is not carried any more. Called under mu.
func (h *Handler) tellable(seq leases.Seq, out leases.Outcome) bool {
	if h.kept(seq) == nil {
		return true
	}
	if end := h.unkept[seq]; end != nil {
		return end.told
	}
	// An earlier process has written it, and the folder takes no writes since the start: a loss of power may still take it back. That
	// nothing of the job ran is not promised on that.
	return out.Kind != leases.Rejected
}

// tellAgain answers a client that asks for a job that has ended and is not carried any more. It waits no longer than due for an end
// that may not be told yet.
func (h *Handler) tellAgain(seq leases.Seq, out leases.Outcome, due time.Time) job.Outcome {
	h.mu.Lock()
	commit, tellable := h.kept(seq), h.tellable(seq, out)
	h.mu.Unlock()
	if !tellable && h.wait(commit, due) != nil {
		return goesOn
	}
	return h.told(seq, out)
}

// awaitKept waits until a job's end is kept or may be told all the same, and returns why it is not kept. What is not kept may go on in the
// process that comes after a kill: a client that was told an end would see its job sent after that, and one that was told that nothing
// ran would see it run. So an end is held back until it is kept or the job's time is over, as no process sends it then, or until this
// process ends. One that must not run twice is never sent again, so its result may be told at once.
func (h *Handler) awaitKept(e *entry, out leases.Outcome, commit ledger.Commit) error {
	by := e.due.Add(atTheEnd)
	err := h.wait(commit, by)
	for err != nil && h.holdsBack(e, out) && time.Now().Before(e.due) {
		select {
		case <-time.After(min(writeAgain, time.Until(e.due))):
		case <-h.ending:
			return errClosing
		}
		h.mu.Lock()
		commit = h.kept(e.seq)
		h.mu.Unlock()
		err = h.wait(commit, by)
	}
	return err
}

// holdsBack reports whether an end that is not kept must not be told yet.
func (h *Handler) holdsBack(e *entry, out leases.Outcome) bool {
	sentAgain := e.job.Class < 0 || h.classes[e.job.Class].Effect != policy.Unsafe
	return !h.hosted && (sentAgain || out.Kind != leases.Served)
}

// tell returns what the clients of a job are told of its end, and notes that they are. err is why the end is not kept; nil: it is. Where
// others keep the ledger as well one of them may have ended the job otherwise: its client is to ask again. That nothing ran is not told
// of an end that is not kept, neither now nor later. Called under mu.
func (h *Handler) tell(seq leases.Seq, out leases.Outcome, err error) job.Outcome {
	switch {
	case err == nil || h.kept(seq) == nil:
		return h.told(seq, out)
	case h.hosted || errors.Is(err, errClosing):
		return goesOn
	}
	if out.Kind == leases.Rejected {
		out = leases.Outcome{Kind: leases.Failed}
		h.append(h.table.Revise(h.clock(), seq, out))
	}
	h.unkeptEnd(seq).told = true
	return h.told(seq, out)
}
