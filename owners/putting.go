package owners

import (
	"slices"
	"time"

	core "laddertide/core/owners"
	wire "laddertide/wire/owners"
)

// recordPut is the transmission of a record to its keepers.
type recordPut struct {
	h        *Handler
	e        *entry
	poll     *core.Poll
	question *question
	sent     time.Time
	verdict  core.Verdict
	done     chan struct{} // closed when verdict is final
	finished bool
	onLost   func() // called under mu if another scheduler turns out to own the job
}

// putOwnership makes this scheduler the owner of a job, unless another one has it: it asks the keepers to keep the job's record, and repeats
// that while the roster may be about to change, but no longer than for a part of the job's time.
func (h *Handler) putOwnership(e *entry) *recordPut {
	h.mu.Lock()
	defer h.unlock()
	e.record.Rev++
	e.refreshRecord()
	return h.startPut(e)
}

// refreshRecord updates the record to the current state of the entry. Called under mu.
func (e *entry) refreshRecord() {
	now := time.Now()
	r := &e.record
	r.Confirmed = e.owned
	r.DueIn = max(0, e.deadline.Sub(now))
	r.TimeLeft = r.DueIn + e.h.retention(r.InLedger)
	r.Attempts = nil
	for _, c := range e.attempts {
		if len(r.Attempts) < wire.MaxAttempts {
			r.Attempts = append(r.Attempts, wire.Attempt{Provider: c.provider, Age: now.Sub(c.at)})
		}
	}
}

// startPut starts to send the current record to its keepers. Called under mu.
func (h *Handler) startPut(e *entry) *recordPut {
	if !e.recorded {
		e.ownedElsewhere, e.rival = false, wire.Record{}
	}
	p := &recordPut{h: h, e: e, sent: time.Now(), done: make(chan struct{})}
	e.recorded = true
	h.count.Puts++
	p.send(time.Now().Add(min(4*h.cfg.AnswerTime, max(h.cfg.AnswerTime, time.Until(e.deadline)/2))))
	return p
}

// send asks the keepers of the roster in force, and again while the roster changes, until by. Called under mu.
func (p *recordPut) send(by time.Time) {
	h, e := p.h, p.e
	roster, ok := h.rosters.PutRoster()
	if !ok {
		p.retry(by)
		return
	}
	keepers := roster.Keepers(e.id)
	p.poll = core.NewPoll(h.me, keepers, roster.Quorum())
	r := e.record // a copy: later revisions must not change the message
	m := &wire.Message{Kind: wire.Put, Roster: roster.Digest(), Record: &r}
	if slices.Contains(keepers, h.me) && h.isKeeperUnder(&roster) {
		code, stored := wire.RetryLater, (*wire.Record)(nil)
		if now := h.now(); !h.rosters.MayBeMissing(now, e.id) || h.table.CanRenew(now, &r) {
			code, stored = h.storeLocally(h.now(), &r)
		}
		if code == wire.TableFull {
			h.logFull()
		}
		p.addOwnReply(code, stored, by)
	}
	poll := p.poll
	others := func() []wire.Process {
		return slices.DeleteFunc(poll.Unanswered(), func(k wire.Process) bool { return k == h.me })
	}
	onReply := func(from wire.Process, m *wire.Message) {
		p.poll.AddReply(from, m.Code, m.Record)
		p.evaluate(by, false)
	}
	if len(others()) > 0 {
		p.question = h.ask(m, 2*h.cfg.AnswerTime, onReply, others, func() { p.evaluate(by, true) })
	}
	p.evaluate(by, len(p.poll.Unanswered()) == 0)
	switch {
	case p.finished || e.effect != core.Safe || h.canReachQuorum(p.poll):
	case len(p.poll.Conflicts) > 0:
		p.evaluate(by, true) // the keepers that can be reached know who owns the job
	default:
		p.finish(core.TooFew) // cut off: the record blocks nobody, and the job goes on with the keepers that can be reached
	}
}

// addOwnReply counts this scheduler's own acknowledgement as a keeper of the record. With a log it counts once the record is written.
// Called under mu.
func (p *recordPut) addOwnReply(code wire.Code, stored *wire.Record, by time.Time) {
	h, poll := p.h, p.poll
	if h.records == nil || code != wire.Yes {
		poll.AddReply(h.me, code, stored)
		return
	}
	h.afterWrite(func(err error) {
		h.mu.Lock()
		defer h.unlock()
		if err != nil {
			code = wire.RetryLater
		}
		if poll.AddReply(h.me, code, nil); p.poll == poll {
			p.evaluate(by, false)
		}
	})
}

// isKeeperUnder reports whether this scheduler keeps records under a roster, and does not only send records to its keepers. Called under
// mu.
func (h *Handler) isKeeperUnder(r *core.Roster) bool {
	own, ok := h.rosters.Roster()
	return ok && own.Digest() == r.Digest()
}

// canReachQuorum reports whether enough keepers have acknowledged a poll's record or can still be reached. Called under mu.
func (h *Handler) canReachQuorum(poll *core.Poll) bool {
	n := poll.YesCount()
	for _, k := range poll.Unanswered() {
		if h.rosters.Reaches(k) {
			n++
		}
	}
	return n >= poll.Need()
}

// evaluate acts on the replies so far. final means that no more are expected. Called under mu.
func (p *recordPut) evaluate(by time.Time, final bool) {
	if p.finished {
		return
	}
	switch v := p.currentVerdict(final); v {
	case core.Undecided:
	case core.Lost, core.Tied:
		// The rival is a record that the previous process in an upgrade has sent: its job belongs to this process, which succeeds
		// it with a record of its own.
		if r, _ := p.poll.Rival(); p.e.inherited && r.Owner == p.h.me && p.isNewRival(&r) {
			p.h.closeQuestion(p.question)
			p.h.succeedRecord(p.e, &r)
			p.send(by)
			return
		}
		if v == core.Tied {
			p.h.closeQuestion(p.question)
			p.retry(by)
			return
		}
		p.finish(v)
	case core.Won:
		p.e.owned, p.e.confirmed = true, p.sent
		p.finish(v)
	default: // keepers under another roster may be about to change to this one
		p.h.closeQuestion(p.question)
		p.retry(by)
	}
}

// currentVerdict returns the poll's verdict, with one exception: a record that has had its majority is only lost to one that has
// succeeded it. Another claim of the same term cannot have had a majority, and keepers that have not replied may have this record.
func (p *recordPut) currentVerdict(final bool) core.Verdict {
	v := p.poll.Verdict(final)
	if r, _ := p.poll.Rival(); (v == core.Lost || v == core.Tied) && p.e.owned && r.Term <= p.e.record.Term {
		return core.TooFew
	}
	return v
}

// isNewRival reports whether a rival record is not yet the one that this entry's record names as its predecessor.
func (p *recordPut) isNewRival(r *wire.Record) bool {
	own := &p.e.record
	return r.Term >= own.Term || r.Term+1 == own.Term && r.Rev > own.ReplacesRev
}

// retry tries again after a short delay, or finishes if that is too late. Called under mu.
func (p *recordPut) retry(by time.Time) {
	h := p.h
	wait := h.cfg.AnswerTime / 4
	if time.Now().Add(wait).After(by) || p.e.effect == core.Safe && p.poll == nil {
		v := core.TooFew
		if p.poll != nil {
			v = p.currentVerdict(true)
		}
		p.finish(v)
		return
	}
	time.AfterFunc(wait, func() {
		h.mu.Lock()
		defer h.unlock()
		if !p.finished {
			p.send(by)
		}
	})
}

// finish sets the final verdict. Messages that are on their way to keepers still arrive there. Called under mu.
func (p *recordPut) finish(v core.Verdict) {
	p.verdict, p.finished = v, true
	if (v == core.Won || v == core.TooFew && p.e.effect == core.Safe) && p.question != nil {
		p.question.onGiveUp = func() {} // the other keepers may still store the record
	} else {
		p.h.closeQuestion(p.question)
	}
	if v == core.Lost || v == core.Tied {
		p.e.ownedElsewhere = true
		p.e.rival, _ = p.poll.RivalState()
		if p.onLost != nil {
			p.onLost()
		}
	}
	close(p.done)
}

// wait waits for the verdict until by, or for a short time if this program is ending.
func (p *recordPut) wait(by time.Time) core.Verdict {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	select {
	case <-p.done:
		return p.verdict
	default:
	}
	departing := p.h.departing
	for timedOut := false; !timedOut; {
		select {
		case <-p.done:
			return p.verdict
		case <-departing: // this program is ending
			departing = nil
			timer.Reset(min(p.h.cfg.AnswerTime, max(0, time.Until(by))))
			continue
		case <-timer.C:
			timedOut = true
		}
	}
	p.h.mu.Lock()
	defer p.h.unlock()
	if !p.finished {
		p.finish(core.TooFew)
	}
	return p.verdict
}

// mayStart reports whether the job may be passed to the next Handler now.
func (p *recordPut) mayStart(e *entry) bool {
	select {
	case <-p.done:
		return p.verdict == core.Won || (e.inherited || !e.effect.NeedsOwnership()) && p.verdict != core.Lost && p.verdict != core.Tied
	default:
		return e.inherited || !e.effect.NeedsOwnership()
	}
}

// majorityFull reports whether a majority of keepers has neither a record of the job nor room for one, so that nobody owns it.
func (p *recordPut) majorityFull() bool {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	return p.poll != nil && p.poll.MajorityFull()
}

// rival returns the record in the way, and whether a majority of keepers has contributed to it.
func (p *recordPut) rival() (wire.Record, bool) {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	r, n := p.poll.RivalState()
	roster, ok := p.h.rosters.PutRoster()
	return r, ok && n >= roster.Quorum()
}

func keys(m map[wire.Process]bool) []wire.Process {
	out := make([]wire.Process, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	return out
}
