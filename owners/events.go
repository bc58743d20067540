package owners

import (
	"time"

	core "laddertide/core/owners"
	"laddertide/job"
	"laddertide/provider"
	wire "laddertide/wire/owners"
)

// This file handles providers' events that belong to no attempt of this process. Package core/owners decides what becomes of each.

// handleEvent handles a provider's event that another scheduler has received and forwarded, as it takes this one for the job's owner.
// Called under mu.
func (h *Handler) handleEvent(m *wire.Message) {
	if h.cfg.Pool == nil || h.lookups >= maxLookups {
		return
	}
	h.lookups++
	h.work.Go(func() {
		ev := provider.Event{ID: m.ID, Provider: m.Report.Provider, Lease: m.Report.Lease, State: provider.State(m.Report.State), Share: m.Report.Share,
			Result: m.Report.Result}
		claimed, err := h.takeForwarded(ev)
		h.endLookup()
		code := wire.Unknown
		switch {
		case err != nil:
			code = wire.RetryLater
		case claimed:
			code = wire.Yes
		}
		h.mu.Lock()
		defer h.unlock()
		h.reply(m, wire.Message{Code: code})
	})
}

// takeForwarded handles a forwarded event. claimed means that it belongs to an attempt here; an error, that it has to be sent again.
func (h *Handler) takeForwarded(ev provider.Event) (claimed bool, err error) {
	claimed, _, err = h.cfg.Pool.HandleForwarded(ev)
	if claimed || err != nil {
		return claimed, err
	}
	if h.inLedger(ev.ID) {
		return true, h.cfg.Ledger.HandleForwarded(ev)
	}
	if h.cfg.Ledger != nil {
		if err := h.cfg.Ledger.HandleForwarded(ev); err != nil {
			return false, err
		}
	}
	return false, h.settleEvent(ev, true)
}

// HandleUnclaimed handles a provider's event that belongs to no attempt here: its job may have been handed over, or belong to the
// previous process of the same name, or a client may have asked for it before it was known whose it is. The event is acknowledged once
// the job's owner has received it, or nobody can use it.
func (h *Handler) HandleUnclaimed(ev provider.Event) error { return h.settleEvent(ev, false) }

// beginLookup reports whether one more event may be passed on or looked up; endLookup ends that.
func (h *Handler) beginLookup() bool {
	h.mu.Lock()
	defer h.unlock()
	if h.lookups >= maxLookups {
		return false
	}
	h.lookups++
	return true
}

func (h *Handler) endLookup() {
	h.mu.Lock()
	defer h.unlock()
	h.lookups--
}

// settleEvent passes an event to the scheduler that can use it, or finds that none can. forwarded means that another scheduler has passed
// it to this one. An error means that the provider has to send it again.
func (h *Handler) settleEvent(ev provider.Event, forwarded bool) error {
	if !forwarded && h.inLedger(ev.ID) {
		return nil // the ledger has handled it before
	}
	h.mu.Lock()
	facts := h.eventFacts(ev.ID)
	successor := h.departedTo(ev.ID)
	roster, _ := h.rosters.Roster()
	me := h.me
	h.unlock()
	next := core.NextForEvent(facts)
	switch next {
	case core.AcknowledgeEvent:
		return nil
	case core.RepeatEvent:
		return job.ErrNotStored
	}
	if !forwarded { // else it is counted by handleEvent
		if !h.beginLookup() {
			return job.ErrNotStored
		}
		defer h.endLookup()
	}
	if next == core.ForwardEvent {
		if err := h.forwardEvent(ev, successor); err == nil || len(roster.All()) == 0 {
			return err
		}
		// Its successor cannot be asked, and another scheduler may have taken the job over from it.
	}
	r, answered := h.readRecord(ev.ID, &roster)
	read := core.RecordFacts{Record: r, Quorum: answered >= roster.Quorum(), Wanted: facts.Wanted, Forwarded: forwarded}
	switch core.NextForRecord(read, me, ev.Provider, ev.State == provider.Done) {
	case core.AcknowledgeEvent:
		return nil
	case core.ForwardEvent:
		return h.forwardEvent(ev, r.Owner)
	case core.EndJob:
		return h.endFromEvent(ev, r)
	}
	return job.ErrNotStored
}

// eventFacts returns what this process knows by itself of the job of an event. Called under mu.
func (h *Handler) eventFacts(id string) core.EventFacts {
	_, hasRoster := h.rosters.Roster()
	f := core.EventFacts{Carried: h.retainedAnswer(id) != nil, HandedOver: h.departedTo(id) != wire.Process{},
		Expired: time.Since(h.origin) > h.recordLife(), Joined: h.net != nil, RosterOK: hasRoster}
	e := h.live[id]
	if e == nil {
		return f
	}
	owned := !e.ownedElsewhere && (e.started || e.owned && e.recorded)
	// While open jobs are handed over, their attempts are nobody's: the successor, or the next process, receives the repeat.
	f.Pending = !e.ownedElsewhere && (e.listenerPending() || h.leaving)
	f.Carried = f.Carried || owned && !f.Pending
	f.Wanted = !owned
	return f
}

// forwardEvent forwards a provider's event to the scheduler that owns the job.
func (h *Handler) forwardEvent(ev provider.Event, to wire.Process) error {
	replies := make(chan wire.Code, 1)
	m := &wire.Message{Kind: wire.Event, ID: ev.ID, Report: &wire.ProviderReport{Provider: ev.Provider, Lease: ev.Lease, State: uint8(ev.State), Share: ev.Share,
		Result: ev.Result}}
	unanswered := map[wire.Process]bool{to: true}
	onReply := func(from wire.Process, m *wire.Message) {
		if from.Name == to.Name && unanswered[to] { // only once: the reply may be repeated
			delete(unanswered, to)
			replies <- m.Code
		}
	}
	large := len(ev.Result) > wire.MaxPacket/2
	h.mu.Lock()
	net := h.net
	if net == nil {
		h.unlock()
		return job.ErrNotStored
	}
	var q *question
	if large {
		q = h.expect(m, onReply)
	} else {
		q = h.ask(m, 2*h.cfg.AnswerTime, onReply, func() []wire.Process { return keys(unanswered) }, func() {})
	}
	h.unlock()
	defer func() {
		h.mu.Lock()
		h.closeQuestion(q)
		h.unlock()
	}()
	if large && net.SendLarge(to.Name, m.Append()) != nil {
		return job.ErrNotStored
	}
	timer := time.NewTimer(2 * h.cfg.AnswerTime)
	defer timer.Stop()
	select {
	case c := <-replies:
		if c == wire.Yes || c == wire.Unknown {
			return nil
		}
	case <-timer.C:
	}
	return job.ErrNotStored // the provider sends the event again
}

// endFromEvent ends a job of the previous process with its provider's result, which is the job's one answer.
func (h *Handler) endFromEvent(ev provider.Event, r *wire.Record) error {
	h.mu.Lock()
	h.nonce++
	e := &entry{h: h, id: ev.ID, digest: r.Digest, deadline: time.Now().Add(r.DueIn), nonce: h.nonce, effect: core.Effect(r.Effect), done: make(chan struct{})}
	e.record = core.TakeoverRecord(r, h.me, e.nonce)
	e.record.Ended, e.record.TimeLeft, e.record.Attempts = true, h.cfg.Settings.Retention, nil
	if e.record.HasOutcome = len(ev.Result) <= wire.MaxRecordResult; e.record.HasOutcome {
		e.record.Outcome = wire.Outcome{Kind: uint8(job.Served), Result: ev.Result}
	}
	p := h.startPut(e)
	h.unlock()
	if p.wait(time.Now().Add(2*h.cfg.AnswerTime)) != core.Won {
		return job.ErrNotStored
	}
	h.mu.Lock()
	defer h.unlock()
	if h.retainedAnswer(ev.ID) == nil { // requests that are open here find it as they learn that the job has ended
		h.cacheAnswer(e, job.Outcome{Kind: job.Served, Result: ev.Result})
	}
	h.count.FoundByEvent++
	return nil
}
