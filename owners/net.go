package owners

import (
	"slices"
	"strings"
	"sync"
	"time"

	core "laddertide/core/owners"
	wire "laddertide/wire/owners"
)

// Network connects this scheduler to the others.
type Network interface {
	// Send sends a packet to a scheduler that is reachable. The packet may be lost. It does not block.
	Send(to string, b []byte)
	// SendLarge sends a message that may be larger. It blocks for at most the time of an exchange. An error means that the message
	// has not arrived.
	SendLarge(to string, b []byte) error
	// Membership returns the membership's view of all schedulers.
	Membership() core.Membership
	// OwnerStatus returns the status of the scheduler with a name.
	OwnerStatus(name string) core.OwnerStatus
	// AnnounceShutdown announces to all that this scheduler is shutting down, so that it is given no new records.
	AnnounceShutdown()
}

// question is a message that awaits replies.
type question struct {
	message    *wire.Message
	encoded    []byte
	tries      int
	onReply    func(from wire.Process, m *wire.Message) // called under mu
	unanswered func() []wire.Process                    // schedulers that have not replied; called under mu
	onGiveUp   func()                                   // called under mu when the replies are given up; nil: nobody waits for that
	timer      *time.Timer                              // of the next repetition; nil: there is none
}

// ask sends a message to those who are to reply, and repeats it a few times within a period to those who have not replied. Called
// under mu.
func (h *Handler) ask(m *wire.Message, period time.Duration, onReply func(wire.Process, *wire.Message), unanswered func() []wire.Process,
	onGiveUp func()) *question {
	h.lastQuestion++
	m.Number, m.From = h.lastQuestion, h.me
	q := &question{message: m, encoded: m.Append(), onReply: onReply, unanswered: unanswered, onGiveUp: onGiveUp}
	h.questions[m.Number] = q
	interval := period / maxTries
	for _, to := range unanswered() {
		h.send(to.Name, q.encoded)
	}
	q.timer = time.AfterFunc(interval, func() { h.repeat(m.Number, interval) })
	return q
}

// expect registers a question whose message the caller sends, once. Called under mu.
func (h *Handler) expect(m *wire.Message, onReply func(wire.Process, *wire.Message)) *question {
	h.lastQuestion++
	m.Number, m.From = h.lastQuestion, h.me
	q := &question{message: m, onReply: onReply, unanswered: func() []wire.Process { return nil }}
	h.questions[m.Number] = q
	return q
}

// maxTries is the number of times that a message is sent before its reply is given up.
const maxTries = 4

func (h *Handler) repeat(number uint64, interval time.Duration) {
	h.mu.Lock()
	defer h.unlock()
	q := h.questions[number]
	if q == nil {
		return
	}
	unanswered := q.unanswered()
	if q.tries++; q.tries >= maxTries || len(unanswered) == 0 {
		h.closeQuestion(q)
		if len(unanswered) > 0 {
			q.onGiveUp()
		}
		return
	}
	for _, to := range unanswered {
		h.send(to.Name, q.encoded)
	}
	q.timer.Reset(interval)
}

// closeQuestion removes a question. Called under mu.
func (h *Handler) closeQuestion(q *question) {
	if q != nil && h.questions[q.message.Number] == q {
		if delete(h.questions, q.message.Number); q.timer != nil {
			q.timer.Stop()
		}
	}
}

// packet is a message that is sent once mu is released.
type packet struct {
	to string
	b  []byte
}

// send queues a message as a packet that is sent when mu is released or, if it is larger than a packet, sends it in the background.
// Called under mu.
func (h *Handler) send(to string, b []byte) {
	if len(b) <= wire.MaxPacket {
		h.count.Packets++
		h.outbox = append(h.outbox, packet{to, b})
		return
	}
	if h.net == nil || h.largeCount >= maxQueuedLarge {
		return // dropped: whoever needs it asks again
	}
	h.largeCount++
	net := h.net
	if h.records != nil {
		h.afterWrite(func(err error) {
			if err == nil {
				h.work.Go(func() { h.sendLarge(net, to, b) })
				return
			}
			h.mu.Lock()
			h.largeCount--
			h.mu.Unlock()
		})
		return
	}
	h.work.Go(func() { h.sendLarge(net, to, b) })
}

// sendLarge sends a message that is larger than a packet.
func (h *Handler) sendLarge(net Network, to string, b []byte) {
	h.largeSlots <- struct{}{}
	defer func() {
		<-h.largeSlots
		h.mu.Lock()
		h.largeCount--
		h.mu.Unlock()
	}()
	if err := net.SendLarge(to, b); err != nil {
		h.log.Debug("a message has not arrived", "to", to, "bytes", len(b), "err", err)
	}
}

// sendMessage encodes and sends a message. Called under mu.
func (h *Handler) sendMessage(to string, m *wire.Message) { h.send(to, m.Append()) }

// unlock releases mu and then sends the queued packets, as a socket may block its writer. Entries for the disk are written before
// the packets are sent.
func (h *Handler) unlock() {
	commit := h.flush()
	out, net, written := h.outbox, h.net, h.afterWrites
	h.outbox, h.afterWrites = nil, nil
	h.mu.Unlock()
	send := func(err error) {
		for _, do := range written {
			do(err)
		}
		if net == nil || len(out) == 0 || err != nil {
			return // not joined, or no longer, or not on disk: the packets are dropped
		}
		h.sendQueue.put(net, out)
	}
	if commit == nil {
		send(nil)
		return
	}
	h.work.Go(func() { h.awaitCommit(commit, send) })
}

// sendQueue is the queue of outgoing packets. While a packet is being sent others are queued, and those for the same scheduler are
// bundled: under load most of the cost is per packet, not per byte.
type sendQueue struct {
	mu      sync.Mutex
	waiting []packet
	sending bool
}

// put queues packets and sends them in the background.
func (m *sendQueue) put(net Network, out []packet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.waiting) >= maxSendQueue {
		return // dropped, as by a network
	}
	m.waiting = append(m.waiting, out...)
	if !m.sending {
		m.sending = true
		go m.send(net)
	}
}

// maxSendQueue limits the packets that wait for the socket.
const maxSendQueue = 4096

func (m *sendQueue) send(net Network) {
	for {
		m.mu.Lock()
		out := m.waiting
		m.waiting, m.sending = nil, len(out) > 0
		m.mu.Unlock()
		if len(out) == 0 {
			return
		}
		slices.SortStableFunc(out, func(a, b packet) int { return strings.Compare(a.to, b.to) })
		for len(out) > 0 {
			n, size := 1, len(out[0].b)
			for n < len(out) && out[n].to == out[0].to && size+len(out[n].b)+bundleBytes <= wire.MaxPacket {
				size += len(out[n].b) + bundleBytes
				n++
			}
			b := out[0].b
			if n > 1 {
				many := wire.Message{Kind: wire.Batch}
				for _, p := range out[:n] {
					many.Bundle = append(many.Bundle, p.b)
				}
				b = many.Append()
			}
			net.Send(out[0].to, b)
			out = out[n:]
		}
	}
}

// bundleBytes is what a message takes in a bundle in addition to its own size, with its share of the bundle's header.
const bundleBytes = 16

// reply replies to a message, unless it expects no reply. Called under mu.
func (h *Handler) reply(m *wire.Message, r wire.Message) {
	if m.Number == 0 {
		return
	}
	r.Kind, r.Number, r.From = wire.Reply, m.Number, h.me
	h.sendMessage(m.From.Name, &r)
}

// maxQueuedLarge limits the large messages that are queued or being sent.
const maxQueuedLarge = 64

// HandleEncoded handles what another scheduler has sent. It does not block.
func (h *Handler) HandleEncoded(b []byte) {
	m, err := wire.Parse(b)
	if err != nil {
		h.mu.Lock()
		h.count.Malformed++
		first := h.count.Malformed == 1
		h.mu.Unlock()
		if first {
			h.log.Warn("something of a peer's on whose job is whose cannot be read; it is not told again", "err", err)
		}
		return
	}
	if m.Kind == wire.Batch {
		for _, one := range m.Bundle {
			if m, err := wire.Parse(one); err == nil && m.Kind != wire.Batch {
				h.receive(m)
			}
		}
		return
	}
	h.receive(m)
}

func (h *Handler) receive(m *wire.Message) {
	h.mu.Lock()
	defer h.unlock()
	if m.From.Name == "" || m.From == h.me {
		return
	}
	h.handleMessage(m)
}

// handleMessage handles a message. Called under mu.
func (h *Handler) handleMessage(m *wire.Message) {
	now := h.now()
	switch m.Kind {
	case wire.Put:
		r, ok := h.rosters.Roster()
		if !ok || r.Digest() != m.Roster || h.rosters.MayBeMissing(now, m.Record.ID) && !h.table.CanRenew(now, m.Record) {
			h.reply(m, wire.Message{Code: wire.RetryLater, Roster: r.Digest()})
			return
		}
		code, stored := h.storeLocally(now, m.Record)
		if code == wire.TableFull {
			h.logFull()
		}
		h.reply(m, wire.Message{Code: code, Record: stored})
	case wire.Drop:
		h.dropLocally(now, m.Record)
		h.reply(m, wire.Message{Code: wire.Yes})
	case wire.Read:
		if _, ok := h.rosters.Roster(); !ok || h.rosters.MayBeMissing(now, m.ID) {
			h.reply(m, wire.Message{Code: wire.RetryLater})
			return
		}
		if r := h.table.Read(now, m.ID); r != nil {
			h.reply(m, wire.Message{Code: wire.Yes, Record: r})
		} else {
			h.reply(m, wire.Message{Code: wire.Unknown})
		}
	case wire.QueryJob:
		h.handleAsk(m)
	case wire.Sync:
		h.handleSync(m)
	case wire.RecordsPart:
		h.handlePart(m)
	case wire.Offer:
		if h.leaving || h.live[m.ID] != nil {
			h.reply(m, wire.Message{Code: wire.No})
			return
		}
		h.reply(m, wire.Message{Code: wire.Yes, Roster: h.permit()})
	case wire.Formers:
		h.rosters.SetProxy(m.From, m.Formers)
	case wire.GetRoster:
		r, _ := h.rosters.Roster()
		h.reply(m, wire.Message{Code: wire.Yes, Roster: r.Digest()})
	case wire.HandOver:
		h.handleHand(m)
	case wire.Event:
		h.handleEvent(m)
	case wire.Reply:
		if q := h.questions[m.Number]; q != nil {
			if q.onReply(m.From, m); len(q.unanswered()) == 0 {
				h.closeQuestion(q) // without waiting for its timer
			}
		}
	case wire.JobEnded:
		if e := h.live[m.ID]; e != nil && e.onOwnerOutcome != nil {
			e.onOwnerOutcome(m.Outcome)
		}
	}
}
