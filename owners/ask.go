package owners

import (
	wire "laddertide/wire/owners"
)

// handleAsk answers another scheduler's question about a job. Called under mu.
func (h *Handler) handleAsk(m *wire.Message) {
	r := m.Record
	e := h.live[r.ID]
	a := h.retainedAnswer(r.ID)
	departed := h.departedTo(r.ID)
	switch {
	case e != nil && (e.owned || e.sameRequest) && e.digest != r.Digest, e == nil && a != nil && a.digest != r.Digest:
		h.reply(m, wire.Message{Code: wire.IDConflict})
	case e != nil && h.isDroppedClaim(e, r): // two schedulers that gave way to each other would wait for each other
		h.reply(m, wire.Message{Code: wire.NeverSent})
	case e != nil && e.recorded && e.owned && !e.ownedElsewhere:
		h.addWaiter(e, m)
	case e != nil: // its owner is not known yet: whoever asks repeats the question
		h.reply(m, wire.Message{Code: wire.InProgress})
	case a != nil:
		outcome := wireOutcome(a.out)
		h.reply(m, wire.Message{Code: wire.JobOver, Outcome: &outcome})
	case departed != wire.Process{}:
		h.reply(m, wire.Message{Code: wire.HandedOver, Record: &wire.Record{ID: r.ID, Owner: departed, Term: r.Term + 1}})
	case h.isDroppedClaim(nil, r):
		h.reply(m, wire.Message{Code: wire.NeverSent})
	case r.Owner.Name == h.me.Name && h.cfg.Ledger != nil:
		h.replyFromLedger(m)
	default:
		h.reply(m, wire.Message{Code: wire.Unknown})
	}
}

// addWaiter registers a scheduler that asks for an open job as waiting for its outcome, if there is room. Called under mu.
func (h *Handler) addWaiter(e *entry, m *wire.Message) {
	if !e.waiters[m.From.Name] {
		if h.waiterCount >= h.cfg.Settings.MaxWaiters {
			h.reply(m, wire.Message{Code: wire.RetryLater})
			return
		}
		e.waiters[m.From.Name] = true
		h.waiterCount++
	}
	h.reply(m, wire.Message{Code: wire.InProgress})
}

// isDroppedClaim reports whether a claim of this process was dropped: nothing of it was sent, and nothing will be. e is the open job
// with that ID, or nil. Called under mu.
func (h *Handler) isDroppedClaim(e *entry, r *wire.Record) bool {
	if e != nil && (e.inherited || e.started && e.effect.NeedsOwnership() || e.recorded && e.record.Nonce == r.Nonce) {
		return false
	}
	// An end is put by an owner alone, as for a provider's event that ends a job of an earlier process. A job of a ledger whose lead was
	// taken over is claimed beside the entry of a request that waits for its former owner.
	if r.Ended || h.claimed[r.ID] {
		return false
	}
	return r.Owner == h.me && r.Nonce > h.forgottenNonce && r.Nonce <= h.nonce
}

// replyFromLedger answers a question about a job of an earlier process that the ledger may have. Called under mu.
func (h *Handler) replyFromLedger(m *wire.Message) {
	h.work.Go(func() {
		out, known := h.cfg.Ledger.Find(m.Record.ID)
		h.mu.Lock()
		defer h.unlock()
		switch {
		case out != nil:
			h.reply(m, wire.Message{Code: wire.JobOver, Outcome: new(wireOutcome(*out))})
		case known: // whoever asks repeats the question
			h.reply(m, wire.Message{Code: wire.InProgress})
		default:
			h.reply(m, wire.Message{Code: wire.Unknown})
		}
	})
}
