package durable

import (
	"time"

	"laddertide/core/leases"
	"laddertide/ledger"
)

const (
	flushTimeout = 500 * time.Millisecond // to write ends that clients have received, at shutdown
	flushRetry   = 25 * time.Millisecond  // between attempts to write them
)

// rewriteEnds repeats the writes of ends that failed.
func (h *Handler) rewriteEnds() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for seq, end := range h.unsyncedEnds {
		if h.endCommit(seq) == nil || !completed(end.commit) {
			continue
		}
		if r, ok := h.table.EndRecord(seq); ok {
			h.append(leases.Step{Records: []leases.Record{r}, Sync: true}) // one record each, as together they may be too large
		} else {
			delete(h.unsyncedEnds, seq) // the table has forgotten the job
		}
	}
}

// flushAnswered writes, at shutdown, the ends that clients have received and that are not on disk: the next process has no other source of
// them. It blocks for flushTimeout at most, and not beyond the end of the process.
func (h *Handler) flushAnswered() {
	by := time.Now().Add(flushTimeout)
	h.mu.Lock()
	if !h.shutdownBy.IsZero() && h.shutdownBy.Before(by) {
		by = h.shutdownBy
	}
	h.mu.Unlock()
	for {
		h.rewriteEnds()
		commit := h.answeredUnsynced()
		if commit == nil || !time.Now().Before(by) {
			return
		}
		if h.waitCommit(commit, by) != nil {
			time.Sleep(min(flushRetry, time.Until(by)))
		}
	}
}

// answeredUnsynced returns the commit of an end that a client has received and that is not known to be on disk; nil: there is none.
func (h *Handler) answeredUnsynced() ledger.Commit {
	h.mu.Lock()
	defer h.mu.Unlock()
	for seq, end := range h.unsyncedEnds {
		if end.answered && h.endCommit(seq) != nil {
			return end.commit
		}
	}
	return nil
}
