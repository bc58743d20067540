package source

import (
	"time"

	wire "laddertide/wire/configuration"
)

// statusWait is a status request that waits for the leader's answer.
type statusWait struct {
	until int // tick
	done  func(wire.Status)
}

const (
	statusTicks     = electionTicks
	maxStatusWaits  = 64
	maxRowsToLeader = wire.MaxRows
)

// status passes the state of the cluster to done: the leader's view if it answers in time, else this member's own view, which names no
// leader and lists only the followers connected here.
func (n *node) status(now time.Time, done func(wire.Status)) {
	n.now = now
	leader := n.nameOf(n.leaderDisk)
	if n.leading || n.leaderDisk == n.diskNumber || leader == "" || len(n.statusWaits) >= maxStatusWaits {
		done(n.ownStatus())
		return
	}
	n.statusWaits = append(n.statusWaits, statusWait{n.ticks + statusTicks, done})
	n.send(leader, &wire.StatusRequest{})
}

func (n *node) ownStatus() wire.Status {
	latest := n.machine.Latest()
	s := wire.Status{Member: n.name, Term: n.hardState.GetTerm(), Newest: latest.Version, Digest: latest.Digest, AcceptedAt: latest.AcceptedAt,
		QuorumAge: n.now.Sub(n.quorumContact()).Milliseconds()}
	if n.leading {
		s.Leader, s.Rows = n.name, n.table.Rows(&n.machine, n.now)
	} else {
		s.Rows = n.table.RowsOf(n.name, &n.machine, n.now)
	}
	return s
}

// handleStatus handles the leader's answer to a status request.
func (n *node) handleStatus(s *wire.Status) {
	waiting := n.statusWaits
	n.statusWaits = nil
	for _, w := range waiting {
		w.done(*s)
	}
}

// expireStatuses answers requests that have waited too long for the leader.
func (n *node) expireStatuses() {
	for len(n.statusWaits) > 0 && n.ticks >= n.statusWaits[0].until {
		w := n.statusWaits[0]
		n.statusWaits = n.statusWaits[1:]
		w.done(n.ownStatus())
	}
}

// report records the report of a follower that is connected here. It returns false if the table of followers is full.
func (n *node) report(hello *wire.Hello, r *wire.Report, now time.Time) bool {
	n.now, n.rowsChanged = now, true
	return n.table.Report(n.name, hello, r, now)
}

// sendRows sends the state of the followers connected here to the leader: at the tick after a follower has reported, and at least
// every rowsInterval ticks.
func (n *node) sendRows() {
	leader := n.nameOf(n.leaderDisk)
	if n.leading || leader == "" || leader == n.name || !n.rowsChanged && n.ticks-n.rowsSentTick < rowsInterval {
		return
	}
	n.rowsChanged, n.rowsSentTick = false, n.ticks
	rows := n.table.RowsOf(n.name, &n.machine, n.now)
	n.send(leader, &wire.Followers{Rows: rows[:min(len(rows), maxRowsToLeader)]})
}
