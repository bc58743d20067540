package owners

import (
	"errors"
	"time"

	core "laddertide/core/owners"
	"laddertide/wire/binarycodec"
	wire "laddertide/wire/owners"
)

// maintainRosters updates the rosters at regular intervals while this scheduler is joined to the others.
func (h *Handler) maintainRosters() {
	tick := time.NewTicker(h.cfg.AnswerTime / 2)
	defer tick.Stop()
	for {
		h.updateRosters()
		select {
		case <-h.closing:
			return
		case <-tick.C:
		}
	}
}

// MembershipChanged is called when the membership has changed.
func (h *Handler) MembershipChanged() { h.updateRosters() }

func (h *Handler) updateRosters() {
	h.mu.Lock()
	net := h.net
	h.mu.Unlock()
	if net == nil {
		return
	}
	ground := net.Membership() // called without mu, as it takes a lock of its own
	h.mu.Lock()
	defer h.unlock()
	now := h.now()
	h.table.Sweep(now)
	h.trim(now)
	h.rosters.UpdateMembership(now, ground)
	ask, digest := h.rosters.BeginRead(now)
	h.updateReadRound()
	if len(ask) > 0 {
		h.lastQuestion++
		m := &wire.Message{Kind: wire.Sync, Number: h.lastQuestion, From: h.me, Roster: digest}
		if _, known := h.rosters.PutRoster(); !known {
			m.Code = wire.Unknown
		}
		b, formers := m.Append(), h.formersMessage()
		for _, p := range ask {
			if formers != nil {
				h.send(p.Name, formers) // before the question, as the receiver may need it to answer
			}
			h.send(p.Name, b)
		}
	}
	h.completeRoster(now)
}

// completeRoster puts a roster in force once enough members have transferred their records. Called under mu.
func (h *Handler) completeRoster(now time.Duration) {
	if !h.rosters.Complete(now) {
		return
	}
	r, _ := h.rosters.Roster()
	h.rosterCount++
	clear(h.received)
	h.log.Info("a new roster for the records of jobs' owners is in force", "members", len(r.All()), "keepers", min(h.cfg.Settings.Keepers, len(r.All())), "records", h.table.Len())
}

// transfer is a member's answer to one question for its records. The pieces of each answer are counted separately: between two
// answers records may move from one piece to the next.
type transfer struct {
	from   wire.Process
	number uint64
}

// maxTransfers limits the answers that are assembled at a time; if there are more, all are asked for again.
const maxTransfers = 1024

// updateReadRound updates from which number on questions belong to the current read round. Called under mu.
func (h *Handler) updateReadRound() {
	if r := h.rosters.ReadRounds(); r != h.readRound {
		h.readRound, h.firstInRound = r, h.lastQuestion+1
	}
}

// partBytes is about how many bytes of a member's records one message has.
const partBytes = 128 << 10

// handleSync answers a member that is about to keep records under a roster. Called under mu.
func (h *Handler) handleSync(m *wire.Message) {
	now := h.now()
	inForce, keeps := h.rosters.Roster()
	accepted := h.rosters.AcceptSync(now, m.Roster)
	h.updateReadRound()
	if !accepted {
		// The member asks again when both have the same view, or enough members are there. Meanwhile it must learn that there is a
		// roster in force, so that it can send records to that roster's keepers.
		if keeps && (m.Code == wire.Unknown || h.rosters.IsNext(m.Roster)) {
			h.sendMessage(m.From.Name, &wire.Message{Kind: wire.RecordsPart, From: h.me, Code: wire.Yes, Pieces: 1, StoredUnder: [][]wire.Process{inForce.All()}, IncompleteRosters: h.rosters.IncompleteRosters()})
		}
		return
	}
	r := h.rosters.Target()
	parts := []wire.Message{{Kind: wire.RecordsPart, Number: m.Number, From: h.me, Roster: m.Roster, StoredUnder: h.rosters.StoredUnder(), IncompleteRosters: h.rosters.IncompleteRosters()}}
	if _, keeps := h.rosters.Roster(); keeps {
		parts[0].Code = wire.Yes // a roster is in force: the last of Lasts
	} else if h.rosters.KnowsRoster() {
		parts[0].Code = wire.InProgress
	}
	size := 0
	for _, record := range h.table.RecordsFor(now, &r, m.From) {
		weight := 128 + len(record.ID) + len(record.Owner.Name) + len(record.Result) + 64*len(record.Attempts)
		last := &parts[len(parts)-1]
		if len(last.Records) > 0 && size+weight > partBytes {
			parts = append(parts, wire.Message{Kind: wire.RecordsPart, Number: m.Number, From: h.me, Roster: m.Roster})
			last, size = &parts[len(parts)-1], 0
		}
		last.Records = append(last.Records, record)
		size += weight
	}
	for i := range parts {
		parts[i].Piece, parts[i].Pieces = i, len(parts)
		h.sendMessage(m.From.Name, &parts[i])
	}
	h.answerForFormers(m, parts)
}

// handlePart handles a piece of the records of another member. Called under mu.
func (h *Handler) handlePart(m *wire.Message) {
	now := h.now()
	if n := len(m.StoredUnder); m.Code == wire.Yes && n > 0 {
		h.rosters.SetAnnounced(m.StoredUnder[n-1])
	}
	if m.Code != 0 && (m.Roster == 0 || h.rosters.IsReading(m.Roster)) {
		h.rosters.SetRosterKnown()
	}
	if m.Roster == 0 {
		for _, last := range m.StoredUnder {
			h.rosters.AddPrevious(last)
		}
		h.rosters.MergeIncomplete(m.IncompleteRosters)
	}
	if m.Roster == 0 || !h.rosters.IsReading(m.Roster) || m.Number < h.firstInRound {
		return
	}
	key := transfer{m.From, m.Number}
	pieces := h.received[key]
	if pieces == nil {
		if len(h.received) >= maxTransfers {
			clear(h.received)
		}
		pieces = make(map[int]bool)
		h.received[key] = pieces
	}
	allMerged := true
	for i := range m.Records {
		allMerged = h.mergeRecord(now, &m.Records[i]) && allMerged
	}
	if !allMerged {
		h.logFull()
		return // as if the piece had been lost: its records must not get lost for lack of room
	}
	if m.Piece == 0 {
		for _, last := range m.StoredUnder {
			h.rosters.AddPrevious(last)
		}
		h.rosters.MergeIncomplete(m.IncompleteRosters)
	}
	if pieces[m.Piece] = true; len(pieces) == m.Pieces {
		h.rosters.MarkTransferred(m.From, m.Roster)
	}
	if h.completeRoster(now); !h.rosters.IsReading(m.Roster) {
		clear(h.received)
	}
}

// readRecord asks the keepers of an ID for its record; n is the number of keepers that have answered.
func (h *Handler) readRecord(id string, roster *core.Roster) (r *wire.Record, n int) {
	done := make(chan struct{})
	unanswered := make(map[wire.Process]bool)
	finish := func() {
		select {
		case <-done:
		default:
			close(done)
		}
	}
	merge := func(m *wire.Record) {
		if m != nil && (r == nil || m.Term > r.Term || m.Term == r.Term && m.Rev > r.Rev) {
			r = m
		}
	}
	h.mu.Lock()
	for _, k := range roster.Keepers(id) {
		if k == h.me {
			n++
			if h.rosters.MayBeMissing(h.now(), id) {
				n--
			} else {
				merge(h.table.Read(h.now(), id))
			}
		} else {
			unanswered[k] = true
		}
	}
	if len(unanswered) == 0 {
		finish()
	} else {
		h.ask(&wire.Message{Kind: wire.Read, ID: id}, 2*h.cfg.AnswerTime, func(from wire.Process, m *wire.Message) {
			if unanswered[from] && m.Code != wire.RetryLater {
				delete(unanswered, from)
				n++
				if merge(m.Record); n >= roster.Quorum() {
					finish()
				}
			}
		}, func() []wire.Process { return keys(unanswered) }, finish)
	}
	h.unlock()
	<-done
	h.mu.Lock()
	defer h.unlock()
	return r, n
}

// AwaitNewRoster waits until all reachable schedulers keep records under a roster without this scheduler, so that its records are not
// lost with it. It waits no longer than the membership takes to settle, nor much longer than this program has left.
func (h *Handler) AwaitNewRoster() {
	h.mu.Lock()
	net, ends := h.net, h.endTime
	h.mu.Unlock()
	if net == nil {
		return
	}
	net.AnnounceShutdown()
	limit := time.Now().Add(h.cfg.SettleTime)
	if ends.Before(limit) && !ends.IsZero() {
		limit = ends
	}
	for time.Now().Before(limit) {
		h.updateRosters()
		reachable := make(map[wire.Process]bool)
		for _, c := range net.Membership().All {
			if c.Reached && !c.Leaving && !c.Disabled {
				reachable[c.Process] = true
			}
		}
		h.mu.Lock()
		r, ok := h.rosters.Roster()
		h.unlock()
		if len(reachable) == 0 {
			return
		}
		if ok && !r.Has(h.me) && h.allUse(reachable, r.Digest()) {
			return
		}
		select {
		case <-h.closing:
			return
		case <-time.After(h.cfg.AnswerTime / 4):
		}
	}
	h.log.Warn("not all schedulers have a roster without this one yet: records that it kept may be lost")
}

// allUse reports whether all of these schedulers confirm that they keep records under a roster.
func (h *Handler) allUse(unconfirmed map[wire.Process]bool, digest uint64) bool {
	done := make(chan struct{})
	h.mu.Lock()
	q := h.ask(&wire.Message{Kind: wire.GetRoster}, h.cfg.AnswerTime, func(from wire.Process, m *wire.Message) {
		if unconfirmed[from] && m.Roster == digest {
			if delete(unconfirmed, from); len(unconfirmed) == 0 {
				close(done)
			}
		}
	}, func() []wire.Process { return keys(unconfirmed) }, func() {})
	h.unlock()
	timer := time.NewTimer(h.cfg.AnswerTime)
	defer timer.Stop()
	defer func() {
		h.mu.Lock()
		h.closeQuestion(q)
		h.unlock()
	}()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// Disconnect disconnects from the other schedulers without announcing it.
func (h *Handler) Disconnect() {
	h.once.Do(func() { close(h.closing) })
	h.mu.Lock()
	h.net = nil
	for _, q := range h.questions {
		if h.closeQuestion(q); q.onGiveUp != nil { // a caller may be waiting for it
			q.onGiveUp()
		}
	}
	h.unlock()
	if h.records != nil {
		if err := h.records.Close(); err != nil {
			h.log.Warn("the log of records could not be closed", "err", err)
		}
	}
}

// maxStateBytes is about the largest state, in bytes, that is passed to the next process in an upgrade.
const maxStateBytes = 8 << 20

// State parts from the others and returns what the next process of this scheduler needs to continue as the same member. Questions
// that arrive after that are lost.
func (h *Handler) State() []byte {
	h.Disconnect()
	h.mu.Lock()
	defer h.mu.Unlock()
	var messages [][]byte
	now := h.now()
	r, _ := h.rosters.Roster()
	messages = append(messages, (&wire.Message{Kind: wire.RecordsPart, From: h.me, Pieces: 1, Number: max(h.nonce, h.lastQuestion), StoredUnder: [][]wire.Process{r.All()}, IncompleteRosters: h.rosters.IncompleteRosters(), Records: h.table.All(now)}).Append())
	size := len(messages[0])
	for f := h.answerOrder.Back(); f != nil && size < maxStateBytes; f = f.Prev() {
		a := f.Value.(*answer)
		if left := time.Until(a.until); left > 0 {
			m := wire.Message{Kind: wire.JobEnded, From: h.me, ID: a.id, Record: &wire.Record{ID: a.id, Owner: h.me, Nonce: a.nonce, Digest: a.digest, TimeLeft: left},
				Outcome: new(wireOutcome(a.out))}
			messages = append(messages, m.Append())
			size += len(messages[len(messages)-1])
		}
	}
	w := binarycodec.Codec{}
	binarycodec.List(&w, &messages, func(b *[]byte) { w.Data(b) })
	return w.Bytes
}

// Resume continues from the State of the previous process. It is called before Join, with the same name and start.
func (h *Handler) Resume(state []byte, me wire.Process) error {
	w := binarycodec.Codec{Bytes: state, Reading: true}
	var messages [][]byte
	binarycodec.List(&w, &messages, func(b *[]byte) { w.Data(b) })
	if w.Err != nil || len(messages) == 0 {
		return errors.Join(errors.New("owners: the state of the previous process cannot be decoded"), w.Err)
	}
	h.mu.Lock()
	defer h.unlock()
	h.setIdentity(me)
	for i := range messages { // the first message has the roster and the records; answers follow, latest first, and are added oldest first
		if i > 0 {
			i = len(messages) - i
		}
		m, err := wire.Parse(messages[i])
		switch {
		case err != nil:
			return err
		case i == 0:
			h.nonce, h.forgottenNonce, h.lastQuestion = max(h.nonce, m.Number), max(h.forgottenNonce, m.Number), max(h.lastQuestion, m.Number) // the clock may have been set back
			if len(m.StoredUnder) == 1 {
				h.rosters.Resume(m.StoredUnder[0], h.now())
			}
			h.rosters.MergeIncomplete(m.IncompleteRosters)
			for j := range m.Records {
				h.mergeRecord(h.now(), &m.Records[j])
			}
		case m.Record != nil && m.Outcome != nil:
			e := &entry{h: h, id: m.ID, digest: m.Record.Digest, record: *m.Record}
			if h.cacheAnswer(e, outcomeOf(m.Outcome)); h.answers[m.ID] != nil {
				h.answers[m.ID].until = time.Now().Add(m.Record.TimeLeft)
			}
		}
	}
	return nil
}
