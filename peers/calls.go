package peers

import (
	"errors"
	"net"

	"github.com/hashicorp/memberlist"

	"laddertide/core/fleet"
	"laddertide/core/groups"
	"laddertide/core/owners"
	wire "laddertide/wire/groups"
)

// This file implements the network interfaces of laddertide/owners and laddertide/replicated. Messages on the ownership of jobs
// use the membership protocol's sockets, keys and label: as packets, or as connections of their own if a packet is too small.

// Send sends a packet to a scheduler. The packet may be lost.
func (p *Peers) Send(to string, b []byte) {
	if address := p.address(to); address != "" {
		p.list.SendToAddress(memberlist.Address{Addr: address, Name: to}, b)
	}
}

var errUnknownName = errors.New("peers: no scheduler of that name can be contacted")

// SendLarge sends a message that may be larger than a packet. It blocks for Timing.ExchangeTime at most. An error means that the
// message has not arrived.
func (p *Peers) SendLarge(to string, b []byte) error {
	at, err := net.ResolveTCPAddr("tcp", p.address(to))
	if err != nil || at.IP == nil {
		return errUnknownName
	}
	return p.list.SendReliable(&memberlist.Node{Name: to, Addr: at.IP, Port: uint16(at.Port)}, b)
}

// address returns the address of another scheduler that may run, or an empty string if there is none of that name.
func (p *Peers) address(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.view.Get(name)
	if !ok || !m.State.MayRun() || name == p.cfg.Name {
		return ""
	}
	return m.Address
}

// Membership returns the membership in the form from which a roster of keepers is derived.
func (p *Peers) Membership() owners.Membership {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := owners.Membership{Leaving: p.leaving, Majority: p.conclusion.Majority, FleetContacted: p.view.Met()}
	for _, m := range p.view.Members() {
		if m.Name == p.cfg.Name || !m.State.MayRun() {
			continue
		}
		note, hasNote := p.notes[m.Name]
		hasNote = hasNote && fleet.Start(note.Start) == m.Start
		g.All = append(g.All, owners.Candidate{Process: owners.Process{Name: m.Name, Start: uint64(m.Start)}, Reached: m.State <= fleet.Suspected,
			Leaving: hasNote && note.Leaving, Disabled: hasNote && !note.KeepsRecords, CapabilityUnknown: !hasNote})
	}
	return g
}

// OwnerStatus returns the state of the scheduler of a name.
func (p *Peers) OwnerStatus(name string) owners.OwnerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.view.Get(name)
	return owners.OwnerStatus{State: m.State, Process: owners.Process{Name: m.Name, Start: uint64(m.Start)}, Known: ok, Self: name == p.cfg.Name}
}

// Self returns the name and start number by which the others know this process.
func (p *Peers) Self() owners.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	name, start := p.view.Identity()
	return owners.Process{Name: name, Start: uint64(start)}
}

// AnnounceShutdown announces to all members that this scheduler will shut down and accepts no new records.
func (p *Peers) AnnounceShutdown() {
	p.mu.Lock()
	wasLeaving := p.leaving
	p.leaving = true
	p.mu.Unlock()
	if !wasLeaving {
		p.PublishNote()
	}
}

// Candidates returns the other schedulers that may be members of groups. met reports whether this scheduler has had contact with
// the fleet.
func (p *Peers) Candidates() (all []groups.Candidate, met bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.view.Members() {
		note, hasNote := p.notes[m.Name]
		if m.Name == p.cfg.Name || !m.State.MayRun() || !hasNote || note.Disk == 0 {
			continue
		}
		all = append(all, groups.Candidate{Member: wire.Member{Name: m.Name, Disk: note.Disk}, Reached: m.State <= fleet.Suspected, Leaving: note.Leaving})
	}
	return all, p.view.Met()
}

// Dial connects to a scheduler, for traffic between members of groups.
func (p *Peers) Dial(to string) (net.Conn, error) {
	address := p.address(to)
	if address == "" {
		return nil, errUnknownName
	}
	dialer := net.Dialer{Timeout: p.cfg.Timing.AnswerTime}
	if at, err := net.ResolveTCPAddr("tcp", p.cfg.Settings.Listen); err == nil && !at.IP.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: at.IP} // firewalls see one address of this scheduler
	}
	return dialer.Dial("tcp", address)
}
