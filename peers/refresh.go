package peers

import (
	"cmp"
	"context"
	"slices"

	"laddertide/core/fleet"
)

// refreshPeers is the number of peers that Refresh asks at a time.
const refreshPeers = 3

// MarkPaused records that this process was paused: everything received before counts as out of date until Refresh returns.
func (p *Peers) MarkPaused() {
	p.mu.Lock()
	p.counts.Stalls++
	p.view.MarkPaused()
	p.mu.Unlock()
	p.conclude()
}

// Refresh asks peers for their full state, waits until one has answered, all have failed, or ctx has ended, and applies the
// result.
func (p *Peers) Refresh(ctx context.Context) {
	p.exchangeWithAny(ctx, p.refreshCandidates())
	p.mu.Lock()
	p.view.MarkCaughtUp()
	p.mu.Unlock()
	p.conclude()
	p.cfg.Apply()
}

// refreshCandidates returns the members that are most likely to answer.
func (p *Peers) refreshCandidates() []fleet.Member {
	var candidates []fleet.Member
	p.mu.Lock()
	for _, m := range p.view.Members() {
		if m.Name != p.cfg.Name && m.State.MayRun() && m.Address != "" {
			candidates = append(candidates, m)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(candidates, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(b.LastHeard, a.LastHeard))
	})
	return candidates[:min(refreshPeers, len(candidates))]
}

// exchangeWithAny exchanges states with members concurrently. It returns after the first success, when all have failed, or
// when ctx ends.
func (p *Peers) exchangeWithAny(ctx context.Context, members []fleet.Member) {
	results := make(chan bool, len(members))
	for _, m := range members {
		go func() {
			joined, _ := p.list.Join([]string{m.Address})
			results <- joined > 0
		}()
	}
	for range members {
		select {
		case ok := <-results:
			if ok {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
