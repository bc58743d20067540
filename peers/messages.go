package peers

import (
	"github.com/hashicorp/memberlist"

	"laddertide/core/fleet"
	wire "laddertide/wire/peers"
)

// addressed is a message and its recipient.
type addressed struct {
	to      memberlist.Address
	message wire.Message
}

// disposition tells what to do with a message after it was handled.
type disposition struct {
	acknowledge bool // if the sender requests it
	forward     bool // to all members, as it is new here
}

// handle handles a received message. It returns acks with the acknowledgement that the message requests, if any, appended.
func (p *Peers) handle(m wire.Message, acks []addressed) []addressed {
	p.mu.Lock()
	p.counts.Messages++
	p.mu.Unlock()
	if m.From == p.cfg.Name {
		return acks
	}
	// A message without a number may have been forwarded by others: it does not prove that its sender is alive.
	wantsAck := m.Number != 0
	if wantsAck {
		p.mu.Lock()
		p.view.RecordMessage(p.now(), m.From)
		p.mu.Unlock()
	}
	done := p.dispatch(m)
	if done.forward {
		forwarded := m
		forwarded.Number = 0
		p.broadcast(forwarded)
		if m.Kind == wire.FailureReport && m.Provider != "" && p.cfg.Settings.Lessons {
			p.cfg.HandleFailureReport(m.Provider)
		}
	}
	if !wantsAck || !done.acknowledge {
		return acks
	}
	return p.appendAck(acks, m)
}

// dispatch passes a message to the handler for its kind.
func (p *Peers) dispatch(m wire.Message) disposition {
	switch m.Kind {
	case wire.Ban:
		return p.handleBan(m)
	case wire.Enable:
		return p.handleEnable(m)
	case wire.Forget:
		return p.handleForget(m)
	case wire.Ack:
		return p.handleAck(m)
	case wire.Stop:
		return p.handleStop(m)
	case wire.Leave:
		return p.handleLeave(m)
	case wire.FailureReport:
		return p.handleFailureReport(m)
	default:
		return disposition{acknowledge: true}
	}
}

// appendAck appends the acknowledgement of m to acks, if the address of its sender is known.
func (p *Peers) appendAck(acks []addressed, m wire.Message) []addressed {
	p.mu.Lock()
	sender, ok := p.view.Get(m.From)
	p.mu.Unlock()
	if !ok || sender.Address == "" {
		return acks
	}
	ack := wire.Message{Kind: wire.Ack, Number: m.Number, From: p.cfg.Name, BanIDs: m.BanIDs}
	return append(acks, addressed{to: addressOf(sender), message: ack})
}

// handleBan records a ban. If the table of bans is full the ban is not acknowledged.
func (p *Peers) handleBan(m wire.Message) disposition {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := banIDFromWire(m.BanIDs[0])
	isNew := !p.bans.Knows(id)
	recorded := p.bans.Record(fleet.Ban{BanID: id, Provider: m.Provider, At: m.At})
	forward := isNew && recorded
	if forward {
		p.log.Info("a provider was banned at a peer", "provider", m.Provider, "by", id.By)
	}
	p.addBanHolder(id, m.From)
	return disposition{acknowledge: recorded, forward: forward}
}

// handleEnable lifts bans.
func (p *Peers) handleEnable(m wire.Message) disposition {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew := false
	ids := make([]fleet.BanID, len(m.BanIDs))
	for i, d := range m.BanIDs {
		ids[i] = banIDFromWire(d)
		isNew = isNew || !p.bans.Undone(ids[i])
	}
	p.undoBans(ids)
	return disposition{acknowledge: true, forward: isNew}
}

// handleForget records an operator's statement that a scheduler's process has ended.
func (p *Peers) handleForget(m wire.Message) disposition {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew := p.view.Forget(p.now(), m.Name, fleet.Start(m.Start))
	if isNew {
		p.log.Info("an operator has declared a scheduler over", "peer", m.Name, "told", m.From)
	}
	return disposition{acknowledge: true, forward: isNew}
}

// handleAck records that the sender has a message and the bans in it in force.
func (p *Peers) handleAck(m wire.Message) disposition {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acknowledged(m.Number, m.From)
	for _, d := range m.BanIDs {
		p.addBanHolder(banIDFromWire(d), m.From)
	}
	return disposition{}
}

// handleStop records a peer's drain notice: a provider accepts no new jobs.
func (p *Peers) handleStop(m wire.Message) disposition {
	if !p.cfg.Settings.Drains {
		return disposition{acknowledge: true}
	}
	stop := fleet.Stop{Provider: m.Provider, Since: m.Since, Index: m.Index, By: m.From, Start: fleet.Start(m.Start)}
	now := p.now()
	own := p.cfg.OwnListEntry(m.Provider) // called with no lock held
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew := p.stops.Record(now, stop, own)
	if isNew {
		p.log.Info("a peer reports that a provider accepts no new jobs", "provider", m.Provider, "peer", m.From)
	}
	return disposition{acknowledge: true, forward: isNew}
}

// handleLeave records that a scheduler has left.
func (p *Peers) handleLeave(m wire.Message) disposition {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, _ := p.view.Get(m.From)
	p.view.RecordLeave(p.now(), m.From, fleet.Start(m.Start))
	after, _ := p.view.Get(m.From)
	return disposition{acknowledge: true, forward: before.State != after.State}
}
