package source

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3"

	core "laddertide/core/configuration"
	wire "laddertide/wire/configuration"
)

// proposals holds the proposals that wait for an answer, by request id: at the leader for a majority, at other members for the leader.
type proposals struct {
	waiting map[string]*proposalWait
}

// proposalWait is a waiting proposal, with the callbacks of all requests with its request id.
type proposalWait struct {
	digest wire.Digest
	base   uint64
	until  int // tick
	done   []func(wire.Proposed)
}

// Limits of waiting proposals.
const (
	maxProposals      = 256
	maxRequestWaiters = 16 // requests with the same request id
)

// add adds a waiting proposal. ok is false if it differs from a waiting proposal with the same request id, or too many wait; first
// reports whether it is the first one with that id.
func (p *proposals) add(m *wire.Propose, until int, done func(wire.Proposed)) (first, ok bool) {
	w := p.waiting[m.Request]
	digest := wire.DigestOf(m.Document)
	switch {
	case w == nil && len(p.waiting) >= maxProposals:
		return false, false
	case w == nil:
		if p.waiting == nil {
			p.waiting = make(map[string]*proposalWait)
		}
		p.waiting[m.Request] = &proposalWait{digest: digest, base: m.Base, until: until, done: []func(wire.Proposed){done}}
		return true, true
	case w.digest != digest || w.base != m.Base || len(w.done) >= maxRequestWaiters:
		return false, false
	}
	w.done = append(w.done, done)
	return false, true
}

// answer answers all waiting proposals with the answer's request id.
func (p *proposals) answer(a wire.Proposed) {
	w := p.waiting[a.Request]
	if w == nil {
		return
	}
	delete(p.waiting, a.Request)
	for _, done := range w.done {
		done(a)
	}
}

// expire answers proposals whose time is over as uncertain.
func (p *proposals) expire(tick int) {
	for request, w := range p.waiting {
		if tick >= w.until {
			p.answer(uncertain(request, "no answer of a majority in time: ask again with the same request id"))
		}
	}
}

// answerAllUncertain answers all waiting proposals as uncertain.
func (p *proposals) answerAllUncertain(why string) {
	for request := range p.waiting {
		p.answer(uncertain(request, why))
	}
}

func uncertain(request, why string) wire.Proposed {
	return wire.Proposed{Request: request, Code: wire.Uncertain, Text: why}
}

// propose handles a proposal whose document has been validated. done is called once, before or after the return, on the node's
// goroutine.
func (n *node) propose(m *wire.Propose, now time.Time, done func(wire.Proposed)) {
	n.now = now
	reject := func(code wire.Code, text string) {
		done(wire.Proposed{Request: m.Request, Version: n.machine.Newest(), Code: code, Text: text})
	}
	leader := n.nameOf(n.leaderDisk)
	switch {
	case n.leaderDisk == 0 || leader == "" || n.leaderDisk == n.diskNumber && !n.leading || n.confirming:
		reject(wire.NoQuorum, n.noQuorumText())
	case n.leading:
		n.proposeAsLeader(m, reject, done)
	default:
		switch first, ok := n.proposals.add(m, n.ticks+proposalTicks, done); {
		case !ok:
			reject(wire.Busy, "too many proposals wait, or another one has this request id")
		case first:
			n.send(leader, m)
		}
	}
}

// noQuorumText returns the text that says for how long this member has had no contact with a majority.
func (n *node) noQuorumText() string {
	return fmt.Sprintf("no quorum since %s: nothing can be accepted here now", n.now.Sub(n.quorumContact()).Round(100*time.Millisecond))
}

// proposeAsLeader handles a proposal at the leader.
func (n *node) proposeAsLeader(m *wire.Propose, reject func(wire.Code, string), done func(wire.Proposed)) {
	change := wire.Change{Request: m.Request, Base: m.Base, Author: m.Author, AcceptedAt: n.now.UnixMilli(), Document: m.Document}
	if result, certain := n.machine.CertainResult(&change); certain {
		done(proposed(&change, result))
		return
	}
	if n.now.Sub(n.quorumContact()) > electionTicks*n.nodeConfig.tick {
		reject(wire.NoQuorum, n.noQuorumText())
		return
	}
	first, ok := n.proposals.add(m, n.ticks+proposalTicks, done)
	if !ok {
		reject(wire.Busy, "too many proposals wait, or another one has this request id")
		return
	}
	if !first {
		return
	}
	if err := n.raft.Propose(change.Append()); err != nil {
		code := wire.Busy
		if err != raft.ErrProposalDropped {
			code = wire.NoQuorum
		}
		n.proposals.answer(wire.Proposed{Request: m.Request, Version: n.machine.Newest(), Code: code, Text: err.Error()})
	}
}

// proposed returns the answer to a proposal that was applied, or whose result is already certain.
func proposed(c *wire.Change, result core.Result) wire.Proposed {
	return wire.Proposed{Request: c.Request, Version: result.Version, Code: result.Code, Text: result.Text(c.Base)}
}
