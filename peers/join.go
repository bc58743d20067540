package peers

import (
	"context"
	"net"
	"slices"
	"time"

	"laddertide/core/fleet"
)

// search contacts all addresses at which schedulers may run, concurrently, until one of them has sent its full state, all
// have failed, or its time is over.
func (p *Peers) search(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 3*p.cfg.Timing.ExchangeTime)
	defer cancel()
	found := p.joinAny(ctx, p.searchAddresses())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.searchDone = true
	p.searchFound = found
}

// searchAddresses returns the addresses in Settings.Join, those of the members that an earlier process knew, and those that
// were saved on disk, without this scheduler's own.
func (p *Peers) searchAddresses() []string {
	addresses := slices.Clone(p.cfg.Settings.Join)
	p.mu.Lock()
	for _, m := range p.view.Members() {
		if m.State.MayRun() && m.Address != "" && !slices.Contains(addresses, m.Address) && len(addresses) < maxJoin {
			addresses = append(addresses, m.Address)
		}
	}
	p.mu.Unlock()
	addresses = p.withStoredAddresses(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == p.cfg.Settings.Advertise })
}

// joinAny contacts all addresses and reports whether one of them has sent its full state before ctx ends.
func (p *Peers) joinAny(ctx context.Context, addresses []string) bool {
	if len(addresses) == 0 {
		return false
	}
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { results <- p.joinOne(ctx, address) }()
	}
	for range addresses {
		select {
		case joined := <-results:
			if joined {
				return true
			}
		case <-ctx.Done():
			p.log.Warn("no other scheduler has answered in time: still searching", "join", addresses)
			return false
		}
	}
	p.log.Warn("no other scheduler found: still searching", "join", addresses)
	return false
}

// joinOne exchanges states with the scheduler at an address. A try that fails quickly was refused and is the last one: no
// scheduler runs there. One that fails slowly may have reached a slow scheduler and is repeated until ctx ends.
func (p *Peers) joinOne(ctx context.Context, address string) bool {
	for {
		began := time.Now()
		joined, _ := p.list.Join([]string{address})
		refused := time.Since(began) < p.cfg.Timing.ExchangeTime/2
		if joined > 0 || refused || ctx.Err() != nil {
			return joined > 0
		}
	}
}

// answersToOwnName reports whether a scheduler with this one's name answers at an address.
func (p *Peers) answersToOwnName(address string) bool {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return false
	}
	for range 3 {
		if _, err := p.list.Ping(p.cfg.Name, at); err == nil {
			return true
		}
	}
	return false
}

// unreachedAddress returns the address of a scheduler that may run and is unreachable, or an empty string if there is none.
// Successive values of turn select each of them in rotation.
func (p *Peers) unreachedAddress(turn int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unreached []string
	settled := map[string]bool{p.cfg.Settings.Advertise: true} // reachable, or known to have ended
	for _, m := range p.view.Members() {
		if m.State <= fleet.Suspected || !m.State.MayRun() {
			settled[m.Address] = true
		} else if m.Address != "" {
			unreached = append(unreached, m.Address)
		}
	}
	for _, address := range p.withStoredAddresses(p.cfg.Settings.Join) {
		if !settled[address] && !slices.Contains(unreached, address) {
			unreached = append(unreached, address)
		}
	}
	if len(unreached) == 0 {
		return ""
	}
	return unreached[turn%len(unreached)]
}
