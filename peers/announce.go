package peers

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"laddertide/core/fleet"
	wire "laddertide/wire/peers"
)

// operatorTimeout limits the wait for acknowledgements of an operator's request; operators wait for 1 s.
const operatorTimeout = 700 * time.Millisecond

// AnnounceResult names the schedulers that have an announcement in force, and those that may run and have not acknowledged it.
type AnnounceResult struct{ InForce, Missing []string }

// announcement is a message that waits for acknowledgements.
type announcement struct {
	unacknowledged map[string]string // address by name; guarded by Peers.mu
	done           chan struct{}     // closed once all have acknowledged it
}

// announce sends a message to all schedulers that may run, and waits until those that are reachable have it in force or timeout
// has passed. Then it also broadcasts the message, as others may reach a scheduler that is unreachable from here.
func (p *Peers) announce(m wire.Message, timeout time.Duration) AnnounceResult {
	m.From = p.cfg.Name
	p.mu.Lock()
	p.lastNumber++
	m.Number = p.lastNumber
	reached, unreached := p.recipients()
	a := &announcement{unacknowledged: maps.Clone(reached), done: make(chan struct{})}
	if len(reached) > 0 {
		p.announcements[m.Number] = a
	} else {
		close(a.done)
	}
	p.mu.Unlock()
	p.sendUntilAcknowledged(a, m, timeout)
	result := AnnounceResult{InForce: []string{p.cfg.Name}, Missing: unreached}
	p.mu.Lock()
	delete(p.announcements, m.Number)
	for name := range reached {
		if _, missing := a.unacknowledged[name]; missing {
			result.Missing = append(result.Missing, name)
		} else {
			result.InForce = append(result.InForce, name)
		}
	}
	p.mu.Unlock()
	m.Number = 0
	p.broadcast(m)
	slices.Sort(result.InForce)
	slices.Sort(result.Missing)
	return result
}

// recipients returns the other schedulers that may run: the addresses, by name, of those that are reachable, and the names of
// those that are not. Called under mu.
func (p *Peers) recipients() (reached map[string]string, unreached []string) {
	reached = make(map[string]string)
	for _, m := range p.view.Members() {
		switch {
		case m.Name == p.cfg.Name || !m.State.MayRun():
		case m.State == fleet.Unreachable || m.Address == "":
			unreached = append(unreached, m.Name)
		default:
			reached[m.Name] = m.Address
		}
	}
	return reached, unreached
}

// sendUntilAcknowledged sends a message repeatedly to those that have not acknowledged it. It returns when all have, or
// after timeout, or when Peers closes.
func (p *Peers) sendUntilAcknowledged(a *announcement, m wire.Message, timeout time.Duration) {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	resend := time.NewTicker(max(p.cfg.Timing.GossipInterval/2, 20*time.Millisecond))
	defer resend.Stop()
	for {
		p.mu.Lock()
		unacknowledged := maps.Clone(a.unacknowledged)
		p.mu.Unlock()
		for name, address := range unacknowledged {
			p.send(memberlist.Address{Addr: address, Name: name}, m)
		}
		select {
		case <-a.done:
			return
		case <-deadline.C:
			return
		case <-p.closing:
			return
		case <-resend.C:
		}
	}
}

// acknowledged records that a scheduler has acknowledged the message with a number. Called under mu.
func (p *Peers) acknowledged(number uint64, from string) {
	a := p.announcements[number]
	if a == nil {
		return
	}
	delete(a.unacknowledged, from)
	if len(a.unacknowledged) == 0 {
		delete(p.announcements, number)
		close(a.done)
	}
}

// addressOf returns a member's address in the library's form.
func addressOf(m fleet.Member) memberlist.Address {
	return memberlist.Address{Addr: m.Address, Name: m.Name}
}

// send sends a message in one packet, which may be lost.
func (p *Peers) send(to memberlist.Address, m wire.Message) {
	p.list.SendToAddress(to, m.Append()) // an error is like a lost packet: the caller repeats messages that must arrive
}

// broadcast queues a message for all members. The membership protocol sends it to a few of them, each of which forwards it to a few.
func (p *Peers) broadcast(m wire.Message) { p.queue.QueueBroadcast(&queuedMessage{m.Append()}) }

// queuedMessage implements memberlist.Broadcast.
type queuedMessage struct{ encoded []byte }

// Invalidates implements memberlist.Broadcast.
func (*queuedMessage) Invalidates(memberlist.Broadcast) bool { return false }

// Message implements memberlist.Broadcast.
func (q *queuedMessage) Message() []byte { return q.encoded }

// Finished implements memberlist.Broadcast.
func (*queuedMessage) Finished() {}
