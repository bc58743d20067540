package peers

import (
	"fmt"
	"net"
	"time"

	"laddertide/core/fleet"
	wire "laddertide/wire/peers"
)

const (
	conflictLogTurns     = 60 // turns of watchLoop between two log lines about a name conflict
	maxBackgroundRepairs = 2  // concurrent pings and joins of watchLoop
)

// requestApply makes applyLoop draw conclusions and call Apply. It never blocks.
func (p *Peers) requestApply() {
	select {
	case p.applyDue <- struct{}{}:
	default:
	}
}

// applyLoop handles received messages in order, applies their changes, and then acknowledges them.
func (p *Peers) applyLoop() {
	for {
		select {
		case <-p.closing:
			return
		case <-p.applyDue:
			p.conclude()
			p.cfg.Apply()
		case m := <-p.inbox:
			acks := p.handleAll(m)
			p.cfg.Apply()
			p.acknowledge(acks)
		}
	}
}

// handleAll handles a message and all that are queued behind it. It returns the acknowledgements to send.
func (p *Peers) handleAll(m wire.Message) []addressed {
	acks := p.handle(m, nil)
	for {
		select {
		case m = <-p.inbox:
			acks = p.handle(m, acks)
		default:
			return acks
		}
	}
}

// conclude updates the conclusions, logs what has changed, and requests its application.
func (p *Peers) conclude() {
	p.mu.Lock()
	now := p.now()
	before := p.conclusion
	after := p.view.Conclude(now)
	p.conclusion = after
	changed := p.changedStates()
	stopEnded := p.stops.Expire(now) // here, so that each expiry is reported once, whatever Apply does with it
	p.mu.Unlock()
	for _, m := range changed {
		p.log.Info("scheduler "+m.State.String(), "peer", m.Name, "address", m.Address, "start", m.Start)
	}
	if after.Connectivity != before.Connectivity || after.Present != before.Present || after.MayRun != before.MayRun || after.Halved != before.Halved {
		p.log.Info("schedulers", "self", after.Connectivity, "present", after.Present, "may_run", after.MayRun, "majority", after.Majority,
			"share", fmt.Sprintf("%.4f", after.Share))
	}
	if after != before || stopEnded {
		p.requestApply()
	}
}

// changedStates returns the members whose state changes are to be logged, and records all states. Called under mu.
func (p *Peers) changedStates() []fleet.Member {
	var changed []fleet.Member
	states := make(map[string]fleet.State, len(p.loggedStates))
	for _, m := range p.view.Members() {
		before, known := p.loggedStates[m.Name]
		states[m.Name] = m.State
		if m.Name == p.cfg.Name || known && before == m.State {
			continue
		}
		// Lost packets alone start and end a suspicion: neither is logged.
		doubtful := m.State == fleet.Suspected
		doubtOver := before == fleet.Suspected && m.State == fleet.Present
		if !doubtful && !doubtOver {
			changed = append(changed, m)
		}
	}
	p.loggedStates = states
	return changed
}

// watchLoop does at each probe interval what the membership protocol does not: it pings the member whose last message is
// oldest, contacts a member that is unreachable, and resends bans that a member has missed.
func (p *Peers) watchLoop() {
	ticker := time.NewTicker(p.cfg.Timing.ProbeInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxBackgroundRepairs)
	for turn := 0; ; turn++ {
		select {
		case <-p.closing:
			return
		case <-ticker.C:
		}
		p.conclude()
		p.resendBans()
		if m, ok := p.leastRecentlyHeard(); ok {
			tryGo(slots, func() { p.ping(m) })
		}
		if address := p.unreachedAddress(turn); address != "" {
			tryGo(slots, func() { p.list.Join([]string{address}) })
		}
		if turn%conflictLogTurns == conflictLogTurns-1 {
			p.logConflict()
		}
	}
}

// tryGo runs f in a goroutine if a slot is free, and otherwise not at all. Close does not wait for f, which must end by itself.
func tryGo(slots chan struct{}, f func()) {
	select {
	case slots <- struct{}{}:
		go func() {
			defer func() { <-slots }()
			f()
		}()
	default:
	}
}

// leastRecentlyHeard returns the reachable member whose last message is oldest, if there is one.
func (p *Peers) leastRecentlyHeard() (least fleet.Member, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.view.Members() {
		if m.Name == p.cfg.Name || m.State > fleet.Suspected || m.Address == "" {
			continue
		}
		if !ok || m.LastHeard < least.LastHeard {
			least = m
			ok = true
		}
	}
	return least, ok
}

// ping probes a member directly, not through other members, and records whether it answered.
func (p *Peers) ping(m fleet.Member) {
	at, err := net.ResolveUDPAddr("udp", m.Address)
	if err != nil {
		return
	}
	_, err = p.list.Ping(m.Name, at)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.view.RecordNoAnswer(p.now(), m.Name)
	} else {
		p.view.RecordMessage(p.now(), m.Name)
	}
}

// logConflict logs a name conflict that was found since the last call.
func (p *Peers) logConflict() {
	p.mu.Lock()
	other := p.conflict
	p.conflict = nil
	_, start := p.view.Identity()
	p.mu.Unlock()
	if other == nil {
		return
	}
	p.log.Error("two processes have one name: stop one of them", "name", p.cfg.Name, "other", other.address,
		"this_one_is_older", uint64(start) < other.start)
}
