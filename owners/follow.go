package owners

import (
	"time"

	core "laddertide/core/owners"
	"laddertide/job"
	wire "laddertide/wire/owners"
)

// resolveRival returns the answer of a job that another scheduler owns. retry means that there is no answer and this scheduler may now
// claim the job itself.
func (h *Handler) resolveRival(e *entry, rival wire.Record, complete bool) (out job.Outcome, retry bool) {
	if rival.Digest != e.digest {
		return job.Outcome{Kind: job.Conflict}, false
	}
	for range maxRounds {
		h.mu.Lock()
		if a := h.retainedAnswer(e.id); a != nil && a.digest == e.digest { // a provider's event has ended it meanwhile
			h.unlock()
			return a.out, false
		}
		net, me := h.net, h.me
		e.sameRequest = true
		// The rival is a dropped claim of this process, and some keeper has not received the drop.
		dropped := h.isDroppedClaim(e, &rival)
		if dropped {
			h.dropAtKeepers(&rival)
		}
		h.unlock()
		switch {
		case net == nil:
			return h.askAgain(), false
		case dropped:
			return job.Outcome{}, true
		}
		status := net.OwnerStatus(rival.Owner.Name)
		if rival.Owner.Name == me.Name {
			status = core.OwnerStatus{Process: me, Known: true, Self: true}
		}
		action := core.NextAction(&rival, status, complete)
		if action == core.AskOwner && status.Self { // a job of this scheduler's ledger
			if action = core.TakeOver; !h.inLedger(e.id) {
				action = core.NextAction(withoutLedger(rival), status, complete)
			}
		}
		switch action {
		case core.FromRecord:
			return outcomeOf(&rival.Outcome), false
		case core.Fail:
			return job.Outcome{Kind: job.Failed}, false
		case core.RetryLater:
			return h.askAgain(), false
		case core.TakeOver:
			h.takeOver(e, &rival, status)
			return job.Outcome{}, true
		}
		owner := rival.Owner
		if status.Process.Start > owner.Start {
			owner = status.Process
		}
		reply := h.awaitOwner(e, rival, owner)
		switch {
		case reply.carriedHere:
			return job.Outcome{}, true
		case reply.successor != nil:
			rival = *reply.successor
			continue
		}
		switch reply.code {
		case wire.JobOver:
			h.mu.Lock()
			h.count.AnsweredByOwner++
			h.unlock()
			return outcomeOf(reply.outcome), false
		case wire.IDConflict:
			return job.Outcome{Kind: job.Conflict}, false
		case wire.NeverSent:
			h.mu.Lock()
			h.dropAtKeepers(&rival)
			h.unlock()
			return job.Outcome{}, true
		case wire.HandedOver:
			if reply.record == nil {
				return h.askAgain(), false
			}
			rival.Owner, rival.Term, rival.Nonce = reply.record.Owner, reply.record.Term, 0 // the nonce of the new owner's claim is not known
			continue
		case wire.Unknown:
			// The owner no longer knows the job, as if its process had ended.
			if do := core.NextAction(withoutLedger(rival), core.OwnerStatus{Process: wire.Process{Name: owner.Name, Start: rival.Owner.Start + 1}, Known: true, Self: true}, complete); do == core.TakeOver {
				h.takeOver(e, &rival, status)
				return job.Outcome{}, true
			} else if do == core.Fail {
				return job.Outcome{Kind: job.Failed}, false
			}
			return h.askAgain(), false
		default: // no reply, or no room for the question: the client may ask again
			return h.askAgain(), false
		}
	}
	return h.askAgain(), false
}

// ownerReply is the reply of a job's owner.
type ownerReply struct {
	code    wire.Code // 0: there was none
	outcome *wire.Outcome
	record  *wire.Record

	carriedHere bool         // there was none, and this scheduler's ledger carries the job now
	successor   *wire.Record // there was none, and this record has succeeded that of the owner
}

// awaitOwner asks a job's owner for the outcome, and waits for the end while the job is open.
func (h *Handler) awaitOwner(e *entry, rival wire.Record, owner wire.Process) ownerReply {
	replies := make(chan ownerReply, 4)
	deliver := func(f ownerReply) {
		select {
		case replies <- f:
		default:
		}
	}
	h.mu.Lock()
	e.onOwnerOutcome = func(o *wire.Outcome) { deliver(ownerReply{code: wire.JobOver, outcome: o}) }
	h.unlock()
	defer func() {
		h.mu.Lock()
		e.onOwnerOutcome = nil
		h.unlock()
	}()
	askOwner := func() {
		r := rival
		r.Attempts, r.HasOutcome = nil, false
		unanswered := map[wire.Process]bool{owner: true}
		h.mu.Lock()
		defer h.unlock()
		h.ask(&wire.Message{Kind: wire.QueryJob, Record: &r}, 3*h.cfg.AnswerTime, func(from wire.Process, m *wire.Message) {
			if from.Name == owner.Name && unanswered[owner] {
				delete(unanswered, owner)
				deliver(ownerReply{code: m.Code, outcome: m.Outcome, record: m.Record})
			}
		}, func() []wire.Process { return keys(unanswered) }, func() { deliver(ownerReply{}) })
	}
	askOwner()
	due := time.NewTimer(time.Until(e.deadline))
	defer due.Stop()
	// The owner's notification may be lost, and its next process does not know who waits, so the question is repeated.
	every := time.NewTicker(4 * h.cfg.AnswerTime)
	defer every.Stop()
	for {
		select {
		case f := <-replies:
			if f.code != wire.InProgress && (f.code != wire.JobOver || f.outcome != nil) {
				return f
			}
		case <-every.C:
			if moved := h.ledgerMoved(e, &rival); moved != nil {
				return *moved
			}
			askOwner()
		case <-due.C:
			return ownerReply{}
		case <-h.departing:
			return ownerReply{}
		}
	}
}

// ledgerMoved reports where a job of a ledger is by now if another scheduler, or this one, has taken over that ledger from the owner in
// a record; nil: nowhere else, as far as is known. The former owner's next process does not know that.
func (h *Handler) ledgerMoved(e *entry, record *wire.Record) *ownerReply {
	if !record.InLedger {
		return nil
	}
	if h.inLedger(e.id) {
		return &ownerReply{carriedHere: true}
	}
	h.mu.Lock()
	roster, ok := h.rosters.Roster()
	h.unlock()
	if !ok {
		return nil
	}
	r, answered := h.readRecord(e.id, &roster)
	if r == nil || answered < roster.Quorum() || r.Term <= record.Term || r.Owner == record.Owner || r.Digest != e.digest {
		return nil
	}
	return &ownerReply{successor: r}
}

func outcomeOf(o *wire.Outcome) job.Outcome {
	out := job.Outcome{Kind: job.Kind(o.Kind), Result: o.Result, RetryAfter: o.RetryAfter, Why: o.Reason}
	switch out.Kind {
	case job.Served, job.Invalid, job.Conflict, job.Rejected:
		return out
	}
	return job.Outcome{Kind: job.Failed, RetryAfter: o.RetryAfter}
}
