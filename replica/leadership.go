package replica

import (
	"errors"
	"fmt"

	"laddertide/ledger"
	wire "laddertide/wire/groups"
)

// Errors of a Commit.
var (
	ErrNotLed = errors.New("replica: this scheduler does not lead the group")
	ErrBusy   = errors.New("replica: too much waits for the other members")
)

// Lead is this member's leadership of a group in one term. It implements durable.Store with the group's log. Once the term has
// ended its commits fail, even if this member leads the group again: that is another Lead.
type Lead struct {
	*Group
	term uint64
}

// commit implements ledger.Commit for a proposed batch.
type commit struct {
	done chan struct{}
	err  error
}

// Done implements ledger.Commit.
func (c *commit) Done() <-chan struct{} { return c.done }

// Wait implements ledger.Commit.
func (c *commit) Wait() error {
	<-c.done
	return c.err
}

// finish completes the commit with an error or nil. It is called once.
func (c *commit) finish(err error) {
	c.err = err
	close(c.done)
}

// Append implements durable.Store: it appends records to the group's log. The commit is done once a majority has them on disk.
// It fails with ErrNotLed, ErrBusy or, if another leader may still commit the records, ledger.ErrUncertain. Append never
// waits.
func (l *Lead) Append(_ uint64, records ...[]byte) ledger.Commit {
	c := &commit{done: make(chan struct{})}
	size := 1
	for _, r := range records {
		size += len(r)
	}
	if err := l.node.enqueue(size, 0, func() { l.propose(c, records) }); err != nil {
		c.finish(err)
	}
	return c
}

// AppendLazy implements durable.Store.
func (l *Lead) AppendLazy(seq uint64, records ...[]byte) { l.Append(seq, records...) }

// propose proposes records to the group. Called by the loop.
func (l *Lead) propose(c *commit, records [][]byte) {
	g := l.Group
	if !l.inForce() {
		c.finish(ErrNotLed)
		return
	}
	g.lastNonce++
	b := wire.Batch{Nonce: l.term<<32 | g.lastNonce&(1<<32-1), Records: records}
	if err := g.raft.Propose(b.Append()); err != nil {
		g.node.count(func(c *Counts) { c.Refused++ })
		c.finish(fmt.Errorf("%w: %w", ErrBusy, err))
		return
	}
	g.proposals[b.Nonce] = c
	g.node.dirty[g] = true
}

// inForce reports whether this member leads the group in this term. Called by the loop.
func (l *Lead) inForce() bool { return l.led == l && !l.ended }

// EndGroup ends the group for all members, if this member still leads it.
func (l *Lead) EndGroup() {
	l.node.enqueue(0, 0, func() {
		if l.inForce() {
			l.raft.Propose((&wire.Batch{}).Append())
			l.node.dirty[l.Group] = true
		}
	})
}

// stopLeading ends this member's leadership of the group, if it leads, and fails the open proposals with err. The next leader may
// still commit them.
func (g *Group) stopLeading(err error) {
	for nonce, c := range g.proposals {
		delete(g.proposals, nonce)
		c.finish(err)
	}
	if l := g.led; l != nil {
		g.led = nil
		g.node.cfg.OnLeadEnd(l)
	}
}
