package peers

import (
	"slices"
	"time"

	"laddertide/core/fleet"
	wire "laddertide/wire/peers"
)

// HeldBack reports whether a peer's drain notice keeps a provider from getting new jobs. own is the provider's entry in this
// scheduler's own list.
func (p *Peers) HeldBack(provider string, own fleet.OwnListEntry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stops.Holds(p.now(), provider, own)
}

// RestrictedProviders returns the names of all providers with a ban or a peer's drain notice, sorted.
func (p *Peers) RestrictedProviders() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := p.stops.Providers()
	inForce, _ := p.bans.All()
	for _, ban := range inForce {
		names = append(names, ban.Provider)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// AnnounceDrain notifies the other schedulers that a provider's process drains or is gone according to this scheduler's own list,
// unless such a notice is known already. since and index are those of the list entry.
func (p *Peers) AnnounceDrain(provider string, since time.Duration, index uint64) {
	p.mu.Lock()
	name, start := p.view.Identity()
	stop := fleet.Stop{Provider: provider, Since: since, Index: index, By: name, Start: start}
	known := p.stops.Known(p.now(), stop)
	p.mu.Unlock()
	if known || !p.cfg.Settings.Drains {
		return
	}
	p.broadcast(wire.Message{Kind: wire.Stop, From: name, Start: uint64(start), Provider: provider, Since: since, Index: index})
}
