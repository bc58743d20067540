package owners

import (
	"context"
	"time"

	core "laddertide/core/owners"
	"laddertide/job"
	wire "laddertide/wire/owners"
)

// maxRounds limits how often a job that turns out to belong to another scheduler is tried again: once for each process that may
// have had it.
const maxRounds = 6

// process takes a job to its one answer: either this scheduler becomes its owner and runs it, or another one owns it and is asked for
// the answer.
func (h *Handler) process(e *entry) job.Outcome {
	for range maxRounds {
		if h.inLedger(e.id) { // it is carried or has ended here, whichever owner is recorded
			h.mu.Lock()
			e.ownedElsewhere, e.rival = false, wire.Record{}
			h.unlock()
			return h.run(e, &recordPut{})
		}
		p := h.putOwnership(e)
		if !e.inherited && (e.effect.NeedsOwnership() || e.carriedBefore || e.durable) {
			p.wait(e.deadline)
		}
		out := job.Outcome{Kind: job.Rejected, RetryAfter: 2 * h.cfg.AnswerTime}
		if p.mayStart(e) {
			h.withdrawLast(e)
			out = h.run(e, p)
		}
		by := e.deadline
		if !e.effect.NeedsOwnership() {
			by = e.within(time.Until(p.sent.Add(h.cfg.AnswerTime))) // its record blocks nobody, so the answer need not wait for the verdict
		}
		switch verdict := p.wait(by); verdict {
		case core.Won:
			return out
		case core.Lost, core.Tied:
			rival, complete := p.rival()
			h.dropRecord(e)
			answer, retry := h.resolveRival(e, rival, complete)
			if !retry {
				h.mu.Lock()
				e.answeredByOwner = true
				h.unlock()
				return answer
			}
		default:
			if e.effect.NeedsOwnership() && !e.inherited {
				h.dropRecord(e)
				h.mu.Lock()
				h.count.TooFewKeepers++
				h.unlock()
				// Nothing was sent from here. But another scheduler may have owned the job before, unless a majority says that none
				// has.
				if e.carriedBefore || !p.majorityFull() {
					return h.askAgain()
				}
				return job.Outcome{Kind: job.Rejected, RetryAfter: 2 * h.cfg.AnswerTime}
			}
			h.mu.Lock()
			h.count.Unconfirmed++
			h.unlock()
			return out // answered although no majority has recorded this scheduler as the owner
		}
		if time.Until(e.deadline) <= 0 {
			break
		}
	}
	return h.askAgain()
}

// run passes the job to the next Handler. Called without mu.
func (h *Handler) run(e *entry, p *recordPut) job.Outcome {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	h.mu.Lock()
	if h.leaving { // nothing more is sent
		h.unlock()
		if len(e.earlier) == 0 {
			return job.Outcome{Kind: job.Rejected, RetryAfter: 2 * h.cfg.AnswerTime}
		}
		return job.Outcome{Kind: job.Moved, PastAttempts: e.earlier}
	}
	e.cancel, e.started = cancel, true
	p.onLost = func() { cancel(errMoved) } // called under mu
	h.unlock()
	e.job.TimeLeft = max(0, time.Until(e.deadline))
	out := h.next.Handle(ctx, &e.job)
	h.mu.Lock()
	e.cancel, p.onLost = nil, nil
	h.unlock()
	return out
}

// dropRecord tells the keepers that nothing was sent by this claim, and nothing will be. Keepers that miss the message are told so when
// they ask.
func (h *Handler) dropRecord(e *entry) {
	h.mu.Lock()
	defer h.unlock()
	if !e.recorded {
		return
	}
	r := e.record
	h.dropAtKeepers(&r)
	e.recorded, e.owned = false, false
	if len(e.attempts) > 0 && !e.inherited { // a job that may run twice, sent before its owner was known
		e.earlier, e.carriedBefore = e.ownAttempts(), true
	}
	h.nonce++
	e.nonce = h.nonce
	e.record = wire.Record{ID: e.id, Owner: h.me, Nonce: e.nonce, Term: 1, Digest: e.digest, Effect: uint8(e.effect), InLedger: e.durable}
}

// dropAtKeepers has the keepers drop a record. Called under mu.
func (h *Handler) dropAtKeepers(r *wire.Record) {
	roster, ok := h.rosters.PutRoster()
	if !ok {
		return
	}
	unanswered := make(map[wire.Process]bool)
	for _, k := range roster.Keepers(r.ID) {
		if k == h.me && h.isKeeperUnder(&roster) {
			h.dropLocally(h.now(), r)
		} else {
			unanswered[k] = true
		}
	}
	if len(unanswered) == 0 {
		return
	}
	h.ask(&wire.Message{Kind: wire.Drop, Roster: roster.Digest(), Record: r}, 2*h.cfg.AnswerTime,
		func(from wire.Process, _ *wire.Message) { delete(unanswered, from) }, func() []wire.Process { return keys(unanswered) }, func() {})
}

func withoutLedger(r wire.Record) *wire.Record {
	r.InLedger = false
	return &r
}

// succeedRecord makes the job's record the successor of another one. Called under mu.
func (h *Handler) succeedRecord(e *entry, rival *wire.Record) {
	h.nonce++
	e.nonce = h.nonce
	e.record = core.TakeoverRecord(rival, h.me, e.nonce)
	e.record.InLedger = e.durable
	e.record.Effect, e.record.Digest = uint8(e.effect), e.digest
	e.refreshRecord()
}

// takeOver prepares the next round, in which this scheduler takes over another one's job.
func (h *Handler) takeOver(e *entry, rival *wire.Record, status core.OwnerStatus) {
	h.mu.Lock()
	defer h.unlock()
	h.count.TakenOver++
	now := time.Now()
	if e.inherited { // its earlier attempts are in the record
		e.attempts = nil
	}
	e.inherited, e.earlier = false, e.ownAttempts()
	for _, c := range rival.Attempts {
		e.attempts = append(e.attempts, attempt{provider: c.Provider, at: now.Add(-c.Age)})
		e.earlier = append(e.earlier, job.PastAttempt{Provider: c.Provider, Sent: now.Add(-c.Age), MayHaveRun: true})
	}
	e.carriedBefore = len(e.earlier) > 0
	h.succeedRecord(e, rival)
	if e.mustWithdraw = len(rival.Attempts) > 0; e.mustWithdraw {
		h.log.Info("going on with another scheduler's job", "id", e.id, "owner", rival.Owner.Name, "state", status.State, "calls", len(e.earlier))
	}
}

// ownAttempts returns the attempts that this scheduler made before it was known that another one owned the job: they are given up, and
// count among those that may have run. Called under mu.
func (e *entry) ownAttempts() (past []job.PastAttempt) {
	for _, c := range e.attempts {
		past = append(past, job.PastAttempt{Provider: c.provider, Sent: c.at, MayHaveRun: true})
	}
	return past
}

// withdrawLast withdraws the last attempt of the former owner, which may still be in flight, once this scheduler owns the job. The
// provider is told to give it up. If the provider does not confirm that, it may run the job, and the decision module waits for it.
func (h *Handler) withdrawLast(e *entry) {
	if !e.mustWithdraw {
		return
	}
	e.mustWithdraw = false
	last := len(e.earlier) - 1
	if h.cfg.Pool != nil && h.cfg.Pool.GiveUp(&e.job, e.earlier[last].Provider, e.deadline) {
		return
	}
	h.mu.Lock()
	defer h.unlock()
	e.earlier[last].MayHaveRun, e.earlier[last].InFlight = false, true
}
