package peers

import (
	"errors"

	wire "laddertide/wire/peers"
)

// Errors of Forget.
var (
	ErrUnknownPeer = errors.New("no such scheduler")
	ErrReachable   = errors.New("the scheduler is there: stop it first")
)

// Forget records an operator's statement that the process of an unreachable scheduler has ended, and announces it to all
// members. It returns ErrUnknownPeer for an unknown name, ErrReachable for a scheduler that is reachable, and the error of the disk if
// the statement cannot be saved.
func (p *Peers) Forget(name string) (AnnounceResult, error) {
	p.mu.Lock()
	m, known := p.view.Get(name)
	forgotten := known && p.view.Forget(p.now(), name, m.Start)
	p.mu.Unlock()
	switch {
	case !known:
		return AnnounceResult{}, ErrUnknownPeer
	case !forgotten && m.State.MayRun():
		return AnnounceResult{}, ErrReachable
	case !forgotten: // it was recorded as ended already
		return AnnounceResult{InForce: []string{p.cfg.Name}}, nil
	}
	p.conclude()
	if err := p.save(); err != nil {
		return AnnounceResult{}, err
	}
	return p.announce(wire.Message{Kind: wire.Forget, Name: name, Start: uint64(m.Start)}, operatorTimeout), nil
}
