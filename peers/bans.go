package peers

import (
	"errors"
	"slices"
	"time"

	"laddertide/core/fleet"
	wire "laddertide/wire/peers"
)

const (
	maxBansPerEnable = 4 // bans that one message lifts; a provider rarely has more than one
	maxBanResends    = 8 // bans that are resent at a time
)

// ErrFull is returned by Ban if the table of bans is full.
var ErrFull = errors.New("peers: there are too many bans: enable providers that nobody needs out any more")

// Ban takes a provider out of use at all schedulers. It returns once those that are reachable have the ban in force, or after
// 0.7 s. An error means that the ban is not in force, or not on disk, here; it is not announced then.
func (p *Peers) Ban(provider string) (AnnounceResult, error) {
	p.mu.Lock()
	name, start := p.view.Identity()
	ban, ok := p.bans.Add(name, start, provider, time.Duration(time.Now().UnixNano()))
	p.mu.Unlock()
	if !ok {
		return AnnounceResult{}, ErrFull
	}
	p.cfg.Apply()
	if err := p.save(); err != nil {
		return AnnounceResult{}, err
	}
	result := p.announce(banMessage(ban), operatorTimeout)
	p.mu.Lock()
	for _, holder := range result.InForce {
		p.addBanHolder(ban.BanID, holder)
	}
	p.mu.Unlock()
	return result, nil
}

// Enable lifts all bans of a provider that are known here, at all schedulers. It waits and fails like Ban.
func (p *Peers) Enable(provider string) (AnnounceResult, error) {
	p.mu.Lock()
	ids := p.bans.IDsOf(provider)
	p.undoBans(ids)
	p.mu.Unlock()
	p.cfg.Apply()
	if err := p.save(); err != nil {
		return AnnounceResult{}, err
	}
	result := AnnounceResult{InForce: []string{p.cfg.Name}}
	for chunk := range slices.Chunk(ids, maxBansPerEnable) {
		m := wire.Message{Kind: wire.Enable, Provider: provider, At: time.Duration(time.Now().UnixNano())}
		for _, d := range chunk {
			m.BanIDs = append(m.BanIDs, banIDToWire(d))
		}
		result = p.announce(m, operatorTimeout)
	}
	return result, nil
}

// Banned reports whether a provider is banned.
func (p *Peers) Banned(provider string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bans.Banned(provider)
}

// Bans returns the number of bans in force.
func (p *Peers) Bans() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	inForce, _ := p.bans.All()
	return len(inForce)
}

// addBanHolder records that a scheduler has a ban in force. Called under mu.
func (p *Peers) addBanHolder(id fleet.BanID, name string) {
	if p.banHolders[id] == nil {
		if len(p.banHolders) >= maxBans {
			return
		}
		p.banHolders[id] = make(map[string]bool)
	}
	if len(p.banHolders[id]) < maxMembers {
		p.banHolders[id][name] = true
	}
}

// undoBans lifts bans and forgets which schedulers have them in force. Called under mu.
func (p *Peers) undoBans(ids []fleet.BanID) {
	p.bans.Undo(ids)
	for _, d := range ids {
		delete(p.banHolders, d)
	}
}

// resendBans resends bans to reachable members that have not acknowledged them.
func (p *Peers) resendBans() {
	p.mu.Lock()
	missed := p.missedBans()
	p.mu.Unlock()
	for _, m := range missed {
		p.send(m.to, m.message)
	}
}

// missedBans returns up to maxBanResends messages for reachable members that lack a ban. Called under mu.
func (p *Peers) missedBans() []addressed {
	var missed []addressed
	inForce, _ := p.bans.All()
	members := p.view.Members()
	for _, ban := range inForce {
		for _, m := range members {
			if len(missed) >= maxBanResends {
				return missed
			}
			reached := m.State <= fleet.Suspected && m.Address != ""
			if m.Name == p.cfg.Name || !reached || p.banHolders[ban.BanID][m.Name] {
				continue
			}
			p.lastNumber++
			message := banMessage(ban)
			message.Number = p.lastNumber
			message.From = p.cfg.Name
			missed = append(missed, addressed{to: addressOf(m), message: message})
		}
	}
	return missed
}

// banMessage returns the message about a ban, without its number and sender.
func banMessage(ban fleet.Ban) wire.Message {
	return wire.Message{Kind: wire.Ban, Provider: ban.Provider, At: ban.At, BanIDs: []wire.BanID{banIDToWire(ban.BanID)}}
}

// banIDFromWire converts a ban ID from its wire form.
func banIDFromWire(d wire.BanID) fleet.BanID {
	return fleet.BanID{By: d.By, Start: fleet.Start(d.Start), Seq: d.Seq}
}

// banIDToWire converts a ban ID to its wire form.
func banIDToWire(d fleet.BanID) wire.BanID {
	return wire.BanID{By: d.By, Start: uint64(d.Start), Seq: d.Seq}
}
