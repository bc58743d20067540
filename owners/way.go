package owners

import (
	"context"
	"slices"
	"time"

	core "laddertide/core/owners"
	"laddertide/job"
	wire "laddertide/wire/owners"
)

// mostRounds is how often a job that turns out to be another's is tried again: once a process that may have had it.
const mostRounds = 6

// way is a job's whole way to its one answer: it becomes this scheduler's and is carried, or it is another's and its answer
// is asked for.
func (h *Handler) way(e *entry) job.Outcome {
	if h.known(e.id) { // whoever is recorded to own it, it is carried or has ended here
		return h.run(e, &putting{})
	}
	for range mostRounds {
		p := h.put(e)
		if !e.mine && (e.effect.Waits() || e.again || e.ledger) {
			p.wait(e.due)
		}
		out := job.Outcome{Kind: job.Rejected, RetryAfter: 2 * h.cfg.Answer}
		if p.may(e) {
			h.withdraw(e)
			out = h.run(e, p)
		}
		by := e.due
		if !e.effect.Waits() {
			by = e.within(time.Until(p.sent.Add(h.cfg.Answer))) // its record is in nobody's way: answered before even
		}
		switch verdict := p.wait(by); verdict {
		case core.Won:
			return out
		case core.Lost, core.Tied:
			rival, seen := p.rival()
			h.drop(e)
			answer, again := h.elsewhere(e, rival, seen)
			if !again {
				h.mu.Lock()
				e.followed = true
				h.unlock()
				return answer
			}
		default:
			if e.effect.Waits() && !e.mine {
				h.drop(e)
				h.mu.Lock()
				h.count.Lost++
				h.unlock()
				// Nothing was sent from here. But another one may have taken it before, unless a majority says that nobody has.
				if e.again || !p.clear() {
					return h.later()
				}
				return job.Outcome{Kind: job.Rejected, RetryAfter: 2 * h.cfg.Answer}
			}
			h.mu.Lock()
			h.count.Unkept++
			h.unlock()
			return out // nobody keeps that it is this scheduler's: answered before even
		}
		if time.Until(e.due) <= 0 {
			break
		}
	}
	return h.later()
}

// run is the next Handler. Called without mu.
func (h *Handler) run(e *entry, p *putting) job.Outcome {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	h.mu.Lock()
	if h.leaving { // nothing is sent any more
		h.unlock()
		if len(e.past) == 0 {
			return job.Outcome{Kind: job.Rejected, RetryAfter: 2 * h.cfg.Answer}
		}
		return job.Outcome{Kind: job.Moved, Past: e.past}
	}
	e.cancel, e.ran = cancel, true
	p.lost = func() { cancel(errMoved) } // called under mu
	h.unlock()
	e.job.Left = max(0, time.Until(e.due))
	out := h.next.Handle(ctx, &e.job)
	h.mu.Lock()
	e.cancel, p.lost = nil, nil
	h.unlock()
	return out
}

// putting is a record on its way to its keepers.
type putting struct {
	h       *Handler
	e       *entry
	poll    *core.Poll
	q       *question
	sent    time.Time
	verdict core.Verdict
	done    chan struct{} // closed when verdict is final
	over    bool
	lost    func() // called under mu when it turns out to be another's
}

// put makes a job this scheduler's, if nobody stands in the way: it asks its keepers to keep the record, for as long as they
// may be about to change, and no longer than a part of the job's time.
func (h *Handler) put(e *entry) *putting {
	h.mu.Lock()
	defer h.unlock()
	e.record.Rev++
	e.fill()
	return h.putting(e)
}

// fill makes the record tell what is so now. Called under mu.
func (e *entry) fill() {
	now := time.Now()
	r := &e.record
	r.Won = e.owned
	r.Due = max(0, e.due.Sub(now))
	r.Left = r.Due + e.h.cfg.Settings.Keep
	r.Calls = nil
	for _, c := range e.calls {
		if len(r.Calls) < wire.MaxSent {
			r.Calls = append(r.Calls, wire.Call{Provider: c.provider, Ago: now.Sub(c.at)})
		}
	}
}

// putting sends a record as it is. Called under mu.
func (h *Handler) putting(e *entry) *putting {
	if !e.recorded {
		e.lost, e.rival = false, wire.Record{}
	}
	p := &putting{h: h, e: e, sent: time.Now(), done: make(chan struct{})}
	e.recorded = true
	h.count.Asked++
	p.try(time.Now().Add(min(4*h.cfg.Answer, max(h.cfg.Answer, time.Until(e.due)/2))))
	return p
}

// try asks the keepers of the roster that is in force, and again while they change, until by. Called under mu.
func (p *putting) try(by time.Time) {
	h, e := p.h, p.e
	roster, ok := h.rosters.Puts()
	if !ok {
		p.retry(by)
		return
	}
	keepers := roster.Keepers(e.id)
	p.poll = core.NewPoll(h.me, keepers, roster.Quorum())
	r := e.record // as it is now, whatever is said later
	m := &wire.Message{Kind: wire.Put, Roster: roster.Digest(), Record: &r}
	if slices.Contains(keepers, h.me) && h.keepsBy(&roster) {
		code, stands := wire.Later, (*wire.Record)(nil)
		if now := h.now(); !h.rosters.Doubts(now, e.id) || h.table.Holds(now, &r) {
			code, stands = h.keep(h.now(), &r)
		}
		if code == wire.Full {
			h.tellFull()
		}
		p.hearOwn(code, stands, by)
	}
	poll := p.poll
	others := func() []wire.Process {
		return slices.DeleteFunc(poll.Left(), func(k wire.Process) bool { return k == h.me })
	}
	hear := func(from wire.Process, m *wire.Message) {
		p.poll.Hear(from, m.Code, m.Record)
		p.look(by, false)
	}
	if len(others()) > 0 {
		p.q = h.ask(m, 2*h.cfg.Answer, hear, others, func() { p.look(by, true) })
	}
	p.look(by, len(p.poll.Left()) == 0)
	switch {
	case p.over || e.effect != core.Safe || h.reaches(p.poll):
	case len(p.poll.No) > 0:
		p.look(by, true) // those who can be asked know whose it is
	default:
		p.finish(core.Short) // cut off: it is in nobody's way, and goes on with those who can be told
	}
}

// hearOwn takes this scheduler's own acknowledgement as a replica of a record. It counts once it is written, where there is a log.
// Called under mu.
func (p *putting) hearOwn(code wire.Code, stands *wire.Record, by time.Time) {
	h, poll := p.h, p.poll
	if h.records == nil || code != wire.Yes {
		poll.Hear(h.me, code, stands)
		return
	}
	h.afterWrite(func(err error) {
		h.mu.Lock()
		defer h.unlock()
		if err != nil {
			code = wire.Later
		}
		if poll.Hear(h.me, code, nil); p.poll == poll {
			p.look(by, false)
		}
	})
}

// keepsBy tells whether this scheduler keeps by a roster, and does not only put by it. Called under mu.
func (h *Handler) keepsBy(r *core.Roster) bool {
	own, ok := h.rosters.Roster()
	return ok && own.Digest() == r.Digest()
}

// reaches tells whether those who have not answered a poll can be asked, as far as they are needed. Called under mu.
func (h *Handler) reaches(poll *core.Poll) bool {
	n := poll.Yes()
	for _, k := range poll.Left() {
		if h.rosters.Reaches(k) {
			n++
		}
	}
	return n >= poll.Need()
}

// look draws what follows from the replies. Called under mu.
func (p *putting) look(by time.Time, over bool) {
	if p.over {
		return
	}
	switch v := p.verdictOf(over); v {
	case core.Open:
	case core.Lost, core.Tied:
		// What the process before this one in an upgrade has put is this one's, and goes on by a record of its own.
		if r, _ := p.poll.Rival(); p.e.mine && r.Owner == p.h.me && p.unseen(&r) {
			p.h.close(p.q)
			p.h.succeed(p.e, &r)
			p.try(by)
			return
		}
		if v == core.Tied {
			p.h.close(p.q)
			p.retry(by)
			return
		}
		p.finish(v)
	case core.Won:
		p.e.owned, p.e.confirmed = true, p.sent
		p.finish(v)
	default: // of those who keep by another roster some may be about to come over
		p.h.close(p.q)
		p.retry(by)
	}
}

// verdictOf is the poll's, but that a record which had its majority is only lost to one that has taken its place: another
// taking of the same time cannot have had one, and who has not answered may keep this one.
func (p *putting) verdictOf(over bool) core.Verdict {
	v := p.poll.Verdict(over)
	if r, _ := p.poll.Rival(); (v == core.Lost || v == core.Tied) && p.e.owned && r.Term <= p.e.record.Term {
		return core.Short
	}
	return v
}

// unseen tells whether a record in the way is not what this one already names as the one that it takes the place of.
func (p *putting) unseen(r *wire.Record) bool {
	own := &p.e.record
	return r.Term >= own.Term || r.Term+1 == own.Term && r.Rev > own.OverRev
}

// retry tries again in a moment. Called under mu.
func (p *putting) retry(by time.Time) {
	h := p.h
	wait := h.cfg.Answer / 4
	if time.Now().Add(wait).After(by) || p.e.effect == core.Safe && p.poll == nil {
		v := core.Short
		if p.poll != nil {
			v = p.verdictOf(true)
		}
		p.finish(v)
		return
	}
	time.AfterFunc(wait, func() {
		h.mu.Lock()
		defer h.unlock()
		if !p.over {
			p.try(by)
		}
	})
}

// finish ends it. Called under mu. What is on its way to keepers still arrives there.
func (p *putting) finish(v core.Verdict) {
	p.verdict, p.over = v, true
	if (v == core.Won || v == core.Short && p.e.effect == core.Safe) && p.q != nil {
		p.q.over = func() {} // the others may keep it too
	} else {
		p.h.close(p.q)
	}
	if v == core.Lost || v == core.Tied {
		p.e.lost = true
		p.e.rival, _ = p.poll.Seen()
		if p.lost != nil {
			p.lost()
		}
	}
	close(p.done)
}

// wait waits for the verdict.
func (p *putting) wait(by time.Time) core.Verdict {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	select {
	case <-p.done:
		return p.verdict
	default:
	}
	left := p.h.going
	for over := false; !over; {
		select {
		case <-p.done:
			return p.verdict
		case <-left: // this program ends
			left = nil
			timer.Reset(min(p.h.cfg.Answer, max(0, time.Until(by))))
			continue
		case <-timer.C:
			over = true
		}
	}
	p.h.mu.Lock()
	defer p.h.unlock()
	if !p.over {
		p.finish(core.Short)
	}
	return p.verdict
}

// may tells whether the job may enter the desk by now.
func (p *putting) may(e *entry) bool {
	select {
	case <-p.done:
		return p.verdict == core.Won || (e.mine || !e.effect.Waits()) && p.verdict != core.Lost && p.verdict != core.Tied
	default:
		return e.mine || !e.effect.Waits()
	}
}

// clear tells whether a majority of keepers has said that nobody has the job.
func (p *putting) clear() bool {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	return p.poll != nil && p.poll.Clear()
}

// rival is the record in the way, and whether a majority has told all of it.
func (p *putting) rival() (wire.Record, bool) {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	r, n := p.poll.Seen()
	roster, ok := p.h.rosters.Puts()
	return r, ok && n >= roster.Quorum()
}

// drop tells the keepers that nothing was sent and nothing will be, by this taking. Those who miss it hear so when they
// ask.
func (h *Handler) drop(e *entry) {
	h.mu.Lock()
	defer h.unlock()
	if !e.recorded {
		return
	}
	r := e.record
	h.forget(&r)
	e.recorded, e.owned = false, false
	if len(e.calls) > 0 && !e.mine { // of one that may run twice, sent before it was known whose it is
		e.past, e.again = e.own(time.Now()), true
	}
	h.nonce++
	e.nonce = h.nonce
	e.record = wire.Record{ID: e.id, Owner: h.me, Nonce: e.nonce, Term: 1, Digest: e.digest, Effect: uint8(e.effect), Ledger: e.ledger}
}

// forget lets the keepers drop a record. Called under mu.
func (h *Handler) forget(r *wire.Record) {
	roster, ok := h.rosters.Puts()
	if !ok {
		return
	}
	left := make(map[wire.Process]bool)
	for _, k := range roster.Keepers(r.ID) {
		if k == h.me && h.keepsBy(&roster) {
			h.discard(h.now(), r)
		} else {
			left[k] = true
		}
	}
	if len(left) == 0 {
		return
	}
	h.ask(&wire.Message{Kind: wire.Drop, Roster: roster.Digest(), Record: r}, 2*h.cfg.Answer,
		func(from wire.Process, _ *wire.Message) { delete(left, from) }, func() []wire.Process { return keys(left) }, func() {})
}

func keys(m map[wire.Process]bool) []wire.Process {
	out := make([]wire.Process, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	return out
}

// elsewhere answers a job that another scheduler owns, or makes it one that this one may go on with.
func (h *Handler) elsewhere(e *entry, rival wire.Record, seen bool) (out job.Outcome, again bool) {
	if rival.Digest != e.digest {
		return job.Outcome{Kind: job.Conflict}, false
	}
	for range mostRounds {
		h.mu.Lock()
		net, me := h.net, h.me
		e.same = true
		// One of this process's own that was dropped, and somebody has not heard so.
		never := h.cameToNothing(e, &rival)
		if never {
			h.forget(&rival)
		}
		h.unlock()
		switch {
		case net == nil:
			return h.later(), false
		case never:
			return job.Outcome{}, true
		}
		at := net.Standing(rival.Owner.Name)
		if rival.Owner.Name == me.Name {
			at = core.Standing{Process: me, Known: true, Self: true}
		}
		do := core.Next(&rival, at, seen)
		if do == core.Follow && at.Self { // the ledger's
			if do = core.Move; !h.known(e.id) {
				do = core.Next(unledgered(rival), at, seen)
			}
		}
		switch do {
		case core.Tell:
			return outcomeOf(&rival.Outcome), false
		case core.Give:
			return job.Outcome{Kind: job.Failed}, false
		case core.Wait:
			return h.later(), false
		case core.Move:
			h.moveHere(e, &rival, at)
			return job.Outcome{}, true
		}
		owner := rival.Owner
		if at.Process.Start > owner.Start {
			owner = at.Process
		}
		r := h.follow(e, rival, owner)
		switch r.code {
		case wire.Over:
			h.mu.Lock()
			h.count.Told++
			h.unlock()
			return outcomeOf(r.outcome), false
		case wire.Another:
			return job.Outcome{Kind: job.Conflict}, false
		case wire.Never:
			h.mu.Lock()
			h.forget(&rival)
			h.unlock()
			return job.Outcome{}, true
		case wire.Elsewhere:
			if r.record == nil {
				return h.later(), false
			}
			rival.Owner, rival.Term, rival.Nonce = r.record.Owner, r.record.Term, 0 // that one's number is not known
			continue
		case wire.Unknown:
			// Its owner knows nothing of it any more: as if that process were over.
			if do := core.Next(unledgered(rival), core.Standing{Process: wire.Process{Name: owner.Name, Start: rival.Owner.Start + 1}, Known: true, Self: true}, seen); do == core.Move {
				h.moveHere(e, &rival, at)
				return job.Outcome{}, true
			} else if do == core.Give {
				return job.Outcome{Kind: job.Failed}, false
			}
			return h.later(), false
		default: // silent, or no room for the question: the client may ask again
			return h.later(), false
		}
	}
	return h.later(), false
}

func unledgered(r wire.Record) *wire.Record {
	r.Ledger = false
	return &r
}

// succeed makes a job's record one that takes the place of another. Called under mu.
func (h *Handler) succeed(e *entry, rival *wire.Record) {
	h.nonce++
	e.nonce = h.nonce
	e.record = core.After(rival, h.me, e.nonce)
	e.record.Ledger = e.ledger
	e.record.Effect, e.record.Digest = uint8(e.effect), e.digest
	e.fill()
}

// moveHere makes a job's next round one that goes on with another's.
func (h *Handler) moveHere(e *entry, rival *wire.Record, at core.Standing) {
	h.mu.Lock()
	defer h.unlock()
	h.count.Moved++
	now := time.Now()
	if e.mine { // what it was told of is in the record
		e.calls = nil
	}
	e.mine, e.past = false, e.own(now)
	for _, c := range rival.Calls {
		e.calls = append(e.calls, call{provider: c.Provider, at: now.Add(-c.Ago)})
		e.past = append(e.past, job.Past{Provider: c.Provider, Ago: c.Ago, MayRun: true})
	}
	e.again = len(e.past) > 0
	h.succeed(e, rival)
	if e.withdraw = len(rival.Calls) > 0; e.withdraw {
		h.log.Info("going on with another scheduler's job", "id", e.id, "owner", rival.Owner.Name, "state", at.State, "calls", len(e.past))
	}
}

// own are the calls that this scheduler has made before it was known that the job is another's: they are given up, and count
// among those that the job may have. Called under mu.
func (e *entry) own(now time.Time) (past []job.Past) {
	for _, c := range e.calls {
		past = append(past, job.Past{Provider: c.provider, Ago: now.Sub(c.at), MayRun: true})
	}
	return past
}

// withdraw sees to the last call of the owner before, which may be out yet, once the job is this scheduler's. Whoever has it
// is told to give it up; one that has not heard so may run it, and the module waits for that.
func (h *Handler) withdraw(e *entry) {
	if !e.withdraw {
		return
	}
	e.withdraw = false
	last := len(e.past) - 1
	if h.cfg.Pool != nil && h.cfg.Pool.GiveUp(&e.job, e.past[last].Provider, e.due) {
		return
	}
	h.mu.Lock()
	defer h.unlock()
	e.past[last].MayRun, e.past[last].Out = false, true
}

// followed is what a job's owner has said.
type followed struct {
	code    wire.Code // 0: nothing
	outcome *wire.Outcome
	record  *wire.Record
}

// follow asks a job's owner what has become of it, and waits for the end while it goes on.
func (h *Handler) follow(e *entry, rival wire.Record, owner wire.Process) followed {
	said := make(chan followed, 4)
	say := func(f followed) {
		select {
		case said <- f:
		default:
		}
	}
	h.mu.Lock()
	e.heard = func(o *wire.Outcome) { say(followed{code: wire.Over, outcome: o}) }
	h.unlock()
	defer func() {
		h.mu.Lock()
		e.heard = nil
		h.unlock()
	}()
	question := func() {
		r := rival
		r.Calls, r.Kept = nil, false
		left := map[wire.Process]bool{owner: true}
		h.mu.Lock()
		defer h.unlock()
		h.ask(&wire.Message{Kind: wire.Ask, Record: &r}, 3*h.cfg.Answer, func(from wire.Process, m *wire.Message) {
			if from.Name == owner.Name && left[owner] {
				delete(left, owner)
				say(followed{m.Code, m.Outcome, m.Record})
			}
		}, func() []wire.Process { return keys(left) }, func() { say(followed{}) })
	}
	question()
	due := time.NewTimer(time.Until(e.due))
	defer due.Stop()
	// The owner's word may be lost on its way, and its next process knows nothing of who waits: it is asked again.
	every := time.NewTicker(4 * h.cfg.Answer)
	defer every.Stop()
	for {
		select {
		case f := <-said:
			if f.code != wire.Going && (f.code != wire.Over || f.outcome != nil) {
				return f
			}
		case <-every.C:
			question()
		case <-due.C:
			return followed{}
		case <-h.going:
			return followed{}
		}
	}
}

func outcomeOf(o *wire.Outcome) job.Outcome {
	out := job.Outcome{Kind: job.Kind(o.Kind), Result: o.Result, RetryAfter: o.RetryAfter, Why: o.Why}
	switch out.Kind {
	case job.Served, job.Mistaken, job.Conflict, job.Rejected:
		return out
	}
	return job.Outcome{Kind: job.Failed, RetryAfter: o.RetryAfter}
}
