package replica

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"

	"laddertide/ledger"
)

// Run runs all groups until Close. It is called once.
func (n *Node) Run() {
	defer close(n.done)
	defer n.shutdown()
	ticker := time.NewTicker(n.cfg.Tick)
	defer ticker.Stop()
	n.processReady()
	for {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
			n.tick()
			n.trim()
		case <-n.wake:
		}
		n.runQueue()
	}
}

// enqueue makes the loop run f. recordBytes and frames count towards the limits of the queue: the bytes of records in f and the
// number of other schedulers' frames. It never waits: it returns ErrBusy if the queue is full, and ErrNotLed after the loop has
// ended.
func (n *Node) enqueue(recordBytes, frames int, f func()) error {
	n.queueMu.Lock()
	defer n.queueMu.Unlock()
	if n.queueClosed {
		return ErrNotLed
	}
	tooManyBytes := recordBytes > 0 && n.queuedBytes > 0 && n.queuedBytes+int64(recordBytes) > n.cfg.MaxPendingBytes
	if len(n.queue) >= maxQueued || n.queuedFrames+frames > maxQueuedFrames || tooManyBytes {
		return ErrBusy
	}
	n.queue = append(n.queue, f)
	n.queuedBytes += int64(recordBytes)
	n.queuedFrames += frames
	select {
	case n.wake <- struct{}{}:
	default:
	}
	return nil
}

// runQueue runs all queued functions and then processes what groups have ready: functions queued during a write to disk share
// the next write.
func (n *Node) runQueue() {
	n.queueMu.Lock()
	queue := n.queue
	n.queue = nil
	n.queuedBytes = 0
	n.queuedFrames = 0
	n.queueMu.Unlock()
	for _, f := range queue {
		f()
	}
	n.processReady()
}

// shutdown ends this member's leadership of all groups and closes the queue. Open proposals may still be committed by another
// leader.
func (n *Node) shutdown() {
	n.inactive = true
	for _, g := range n.groups {
		g.stopLeading(ledger.ErrUncertain)
	}
	n.queueMu.Lock()
	n.queueClosed = true
	queue := n.queue
	n.queue = nil
	n.queueMu.Unlock()
	for _, f := range queue { // commits among them fail, as nothing is led any more
		f()
	}
}

// tick advances the clock of all groups by one tick. It leaves groups that have had no leader for a long time: too many of their
// members have ended or are cut off from this one, and their content is not needed any more.
func (n *Node) tick() {
	if n.inactive {
		return
	}
	now := time.Now()
	n.logFull = n.cfg.FullSize > 0 && n.cfg.Disk.Size() >= n.cfg.FullSize
	for _, g := range n.groups {
		g.leadAgain()
		g.protect(g.raft.Tick)
		n.dirty[g] = true
		if g.leader != 0 {
			g.leaderSeen = now
		} else if now.Sub(g.leaderSeen) > 2*n.cfg.RememberFinished {
			n.finishGroup(g, true)
			continue
		}
		g.memberFull.Store(n.anyLogFull(g))
	}
}

// anyLogFull reports whether this member's log, or that of another member of a group, is full.
func (n *Node) anyLogFull(g *Group) bool {
	if n.logFull {
		return true
	}
	for _, m := range g.Members {
		if n.fullMembers[m.Name] {
			return true
		}
	}
	return false
}

// readyGroup is a group and the work that raft has ready for it.
type readyGroup struct {
	*Group
	ready raft.Ready
}

// processReady writes the groups' new entries and hard states, sends their messages, and applies committed entries, until no
// group has anything ready. All groups share each write to disk.
func (n *Node) processReady() {
	defer n.flushFrames()
	for len(n.dirty) > 0 {
		batch := n.takeReady()
		for _, g := range batch {
			g.persist(g.ready)
			// A leader may send entries to the others while it writes them itself: it counts itself only after its write.
			if g.ready.SoftState != nil || g.leader == g.memberID {
				g.sendMessages(g.ready, true)
			}
		}
		n.flushFrames()
		n.awaitWrites()
		if n.writeErr != nil {
			n.abandonGroups(n.writeErr)
			return
		}
		for _, g := range batch {
			g.sendMessages(g.ready, false)
		}
		n.flushFrames()
		for _, g := range batch {
			g.apply(g.ready)
			g.protect(func() { g.raft.Advance(g.ready) })
			if !g.ended && g.raft.HasReady() {
				n.dirty[g.Group] = true
			}
		}
		n.countRound()
	}
}

// takeReady returns the groups that have something ready, in the order of their numbers.
func (n *Node) takeReady() []readyGroup {
	var batch []readyGroup
	for g := range n.dirty {
		delete(n.dirty, g)
		if !g.ended && g.raft.HasReady() {
			batch = append(batch, readyGroup{g, g.raft.Ready()})
		}
	}
	slices.SortFunc(batch, func(a, b readyGroup) int { return int(int64(a.number) - int64(b.number)) })
	return batch
}

// countRound updates the counts at the end of a round of processReady.
func (n *Node) countRound() {
	leads := 0
	for _, g := range n.groups {
		if g.led != nil {
			leads++
		}
	}
	n.count(func(c *Counts) {
		c.Rounds++
		c.Groups = len(n.groups)
		c.Leads = leads
	})
}

// abandonGroups ends this process's part in all groups after a permanent write failure, as it cannot keep its promises. The
// other members continue. The data on disk stays there, for the next process to continue from.
func (n *Node) abandonGroups(err error) {
	n.inactive = true
	clear(n.outgoing)
	n.log.Error("the groups' log cannot be written: this scheduler takes no part in them until it is restarted", "err", err)
	for id, g := range n.groups {
		g.stopLeading(ledger.ErrUncertain)
		g.ended = true
		delete(n.groups, id)
	}
	clear(n.dirty)
}
