package owners

import (
	"slices"
	"time"

	core "laddertide/core/owners"
	"laddertide/job"
	wire "laddertide/wire/owners"
)

// endOwner says which scheduler's outcome of a job counts.
type endOwner uint8

const (
	endIsOwn      endOwner = iota // this scheduler's
	endIsOthers                   // that of another one, which has taken the job over
	endUnresolved                 // not known: too few keepers have acknowledged it
)

// anyMayRun reports whether a provider that was sent a job may have run it.
func anyMayRun(past []job.PastAttempt) bool {
	return slices.ContainsFunc(past, func(p job.PastAttempt) bool { return p.MayHaveRun || p.InFlight })
}

// endJob gives a job its one outcome: it records the outcome with the keepers and then answers those that wait for it. It is called
// once for each entry.
func (h *Handler) endJob(e *entry, out job.Outcome) {
	e.CallBacksAccepted() // releases those that wait until call-backs are accepted
	if out.Kind == job.Moved && h.isLeaving() {
		out = h.handOver(e, out.PastAttempts)
	}
	if out.Kind == job.Rejected && anyMayRun(e.earlier) {
		out = job.Outcome{Kind: job.Failed}
	}
	rival, owner := h.confirmEnd(e, out)
	switch owner {
	case endUnresolved:
		// Another scheduler may take the job over and answer differently. Waiting clients are told to ask again, and the outcome is
		// sent to the keepers until a majority has acknowledged it.
		h.mu.Lock()
		e.out = h.askAgain()
		close(e.done)
		h.unlock()
		h.resolveEnd(e, out)
		return
	case endIsOthers:
		// This process was paused or cut off, and another scheduler has taken the job over.
		if answer, retry := h.resolveRival(e, rival, false); !retry {
			out = answer
		} else {
			out = h.askAgain()
		}
	}
	h.mu.Lock()
	defer h.unlock()
	delete(h.live, e.id)
	h.retainOutcome(e, out)
	final := out.Kind == job.Served || out.Kind == job.Failed && out.RetryAfter == 0 || out.Kind == job.Rejected
	h.releaseWaiters(e, out, !e.ownedElsewhere && final) // those that are not notified ask again
	e.out = out
	close(e.done)
}

// isLeaving reports whether open jobs are being handed over.
func (h *Handler) isLeaving() bool {
	h.mu.Lock()
	defer h.unlock()
	return h.leaving
}

// retainOutcome keeps what must be known of a job that is no longer open. Called under mu.
func (h *Handler) retainOutcome(e *entry, out job.Outcome) {
	switch {
	case out.Kind == job.Moved, e.ownedElsewhere, out.Kind == job.Failed && out.RetryAfter > 0, out.Kind == job.Conflict:
		// The job has not ended, or this scheduler cannot end it. Parts of it may have been sent.
		if e.started && e.effect.NeedsOwnership() {
			h.forgottenNonce = max(h.forgottenNonce, e.nonce)
		}
	case out.Kind == job.Served, out.Kind == job.Failed, out.Kind == job.Rejected && e.effect.NeedsOwnership() && e.owned:
		// A rejection is an end, too: earlier requests wait at other schedulers, and none of them may have the job run.
		h.cacheAnswer(e, out)
	default: // nothing ran, and nothing will run by this claim
		if e.recorded {
			record := e.record
			h.dropAtKeepers(&record)
		}
	}
}

// releaseWaiters ends the wait of other schedulers for a job and, if notify is set, sends them its outcome. Called under mu.
func (h *Handler) releaseWaiters(e *entry, out job.Outcome, notify bool) {
	outcome := wireOutcome(out)
	for name := range e.waiters {
		h.waiterCount--
		if notify {
			h.sendMessage(name, &wire.Message{Kind: wire.JobEnded, From: h.me, ID: e.id, Outcome: &outcome})
		}
	}
}

// resolveEnd sends the outcome of a job to its keepers until a majority has acknowledged it, which makes it the job's answer, or
// until another scheduler is found to have taken the job over, or the record expires.
func (h *Handler) resolveEnd(e *entry, out job.Outcome) {
	won := h.putEndUntilResolved(e, out)
	h.mu.Lock()
	defer h.unlock()
	delete(h.live, e.id)
	if won {
		h.cacheAnswer(e, out)
	} else {
		h.forgottenNonce = max(h.forgottenNonce, e.nonce)
	}
	h.releaseWaiters(e, out, won)
}

// putEndUntilResolved reports whether a majority of keepers has acknowledged the outcome of a job.
func (h *Handler) putEndUntilResolved(e *entry, out job.Outcome) bool {
	expiry := e.deadline.Add(h.cfg.Settings.Retention)
	for time.Now().Before(expiry) {
		select {
		case <-h.closing:
			return false
		case <-time.After(h.cfg.AnswerTime):
		}
		h.mu.Lock()
		p := h.putEnd(e, wireOutcome(out))
		h.unlock()
		switch p.wait(time.Now().Add(4 * h.cfg.AnswerTime)) {
		case core.Won:
			return true
		case core.Lost, core.Tied:
			return false
		}
	}
	return false
}

// cacheAnswer keeps a job's outcome for requests that repeat it. Called under mu.
func (h *Handler) cacheAnswer(e *entry, out job.Outcome) {
	now := time.Now()
	a := &answer{id: e.id, digest: e.digest, nonce: e.record.Nonce, out: out, until: now.Add(h.endRetention(out.Kind))}
	a.out.Written = nil
	h.answersSize += len(out.Result)
	if expired := h.answers[e.id]; expired != nil {
		h.answersSize -= len(expired.out.Result)
	}
	h.answers[e.id] = a
	h.answerOrder.PushBack(a)
	h.evictAnswers(now)
}

// evictAnswers removes expired answers and, if there are too many, the oldest ones. Called under mu.
func (h *Handler) evictAnswers(now time.Time) {
	for h.answerOrder.Len() > 0 {
		oldest := h.answerOrder.Front()
		a := oldest.Value.(*answer)
		expired := now.After(a.until)
		if !expired && h.answerOrder.Len() <= h.cfg.Settings.MaxRecords && h.answersSize <= answerBytes {
			return
		}
		h.answerOrder.Remove(oldest)
		if h.answers[a.id] == a {
			h.answersSize -= len(a.out.Result)
			delete(h.answers, a.id)
		}
		h.forgottenNonce = max(h.forgottenNonce, a.nonce)
	}
}

// wireOutcome converts an outcome to its wire form.
func wireOutcome(out job.Outcome) wire.Outcome {
	return wire.Outcome{Kind: uint8(out.Kind), Result: out.Result, RetryAfter: out.RetryAfter, Reason: out.Why}
}

// putEnd sends the record of a job with its outcome to the keepers. Called under mu.
func (h *Handler) putEnd(e *entry, outcome wire.Outcome) *recordPut {
	r := &e.record
	r.Rev++
	e.refreshRecord()
	r.Ended = true
	r.TimeLeft = h.endRetention(job.Kind(outcome.Kind))
	if r.InLedger {
		r.TimeLeft = max(r.TimeLeft, h.retention(true))
	}
	r.HasOutcome = len(outcome.Result) <= wire.MaxRecordResult && len(outcome.Reason) <= wire.MaxName
	if r.HasOutcome {
		r.Outcome = outcome
	}
	r.Attempts = nil // nobody will take the job over
	return h.startPut(e)
}

// isFinal reports whether an outcome ends the job for all schedulers, so that none may run it after that.
func (e *entry) isFinal(out job.Outcome) bool {
	switch out.Kind {
	case job.Served:
		return true
	case job.Failed:
		return out.RetryAfter <= 0
	case job.Rejected:
		return e.effect.NeedsOwnership()
	default:
		return false
	}
}

// confirmEnd sends the outcome of a job to its keepers and returns whose outcome counts; rival is the other scheduler's record if
// it is not this one's. It waits for the keepers only if another scheduler may own the job by now.
func (h *Handler) confirmEnd(e *entry, out job.Outcome) (rival wire.Record, owner endOwner) {
	h.mu.Lock()
	if e.ownedElsewhere && e.rival.ID != "" && out.Kind != job.Conflict && !e.answeredByOwner {
		defer h.unlock()
		return e.rival, endIsOthers
	}
	if e.ownedElsewhere || !e.owned || !e.recorded || !e.isFinal(out) {
		h.unlock()
		return rival, endIsOwn
	}
	// A job that others may take over while its owner cannot be reached has one result: the one that a majority knows.
	needsMajority := e.effect.NeedsProviderRecorded() && out.Kind == job.Served
	waits := needsMajority || e.mayHaveMoved()
	p := h.putEnd(e, wireOutcome(out))
	h.unlock()
	if !waits {
		return rival, endIsOwn
	}
	switch p.wait(e.within(2 * h.cfg.AnswerTime)) {
	case core.Won:
		return rival, endIsOwn
	case core.Lost, core.Tied:
		return e.rival, endIsOthers
	}
	if needsMajority {
		return rival, endUnresolved
	}
	return rival, endIsOwn
}

// endRetention returns how long a job's outcome is retained. A rejection is retained until no earlier request is left.
func (h *Handler) endRetention(kind job.Kind) time.Duration {
	if kind == job.Rejected {
		return h.recordLife() - h.cfg.Settings.Retention
	}
	return h.cfg.Settings.Retention
}
