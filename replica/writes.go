package replica

import (
	"cmp"
	"errors"
	"time"

	"go.etcd.io/raft/v3"

	"laddertide/ledger"
)

// A disk may fail writes for a while and accept them again later. A member must not send messages that follow from a write before the
// write is on disk, but it may send them late. So the loop waits and repeats, in the same order, all writes that are not known to be on
// disk. Duplicate records do no harm: entries replace those from their index on, and the last hard state counts.
//
// Lazy records may be lost without an error returned to any caller; the log's count of failures shows such a loss.

// logWrite is one append to the log on disk.
type logWrite struct {
	number  uint64 // of the group
	records [][]byte
}

// writeRetry is the delay before writes that failed are repeated.
const writeRetry = 50 * time.Millisecond

// awaitWrites waits until everything appended is on disk. It sets writeErr if that will never happen: the log is closed or has reached
// its maximum size, or the node closes, which a hung disk must not block.
func (n *Node) awaitWrites() {
	if len(n.pendingWrites) == 0 {
		return
	}
	for began := time.Now(); ; {
		err := n.awaitPending()
		failures := n.cfg.Disk.Stats().WriteFailures
		switch {
		case err == nil && failures == n.failuresSeen:
			n.confirmWrites(began)
			return
		case errors.Is(err, ledger.ErrClosed) || errors.Is(err, ledger.ErrFull) || errors.Is(err, ErrNotLed):
			n.writeErr = cmp.Or(n.writeErr, err)
			return
		}
		n.failuresSeen = failures
		n.reportFailure(err)
		if !n.retryPause(began) {
			n.writeErr = cmp.Or(n.writeErr, ErrNotLed)
			return
		}
		for _, w := range n.unconfirmed {
			n.pendingWrites = append(n.pendingWrites, n.cfg.Disk.Append(w.number, w.records...))
		}
	}
}

// awaitPending waits for all pending writes and returns the first error, or ErrNotLed if the node closes.
func (n *Node) awaitPending() (first error) {
	for _, c := range n.pendingWrites {
		select {
		case <-c.Done():
			first = cmp.Or(first, c.Wait())
		case <-n.stop:
			n.pendingWrites = nil
			return ErrNotLed
		}
	}
	n.pendingWrites = nil
	return first
}

// confirmWrites forgets the writes that are on disk now.
func (n *Node) confirmWrites(began time.Time) {
	n.unconfirmed = nil
	n.unconfirmedBytes = 0
	if n.diskFails.CompareAndSwap(true, false) {
		n.log.Info("the groups' log is writable again", "after", time.Since(began).Round(time.Millisecond))
	}
}

// reportFailure logs the first failure of several in a row.
func (n *Node) reportFailure(err error) {
	if err != nil && n.diskFails.CompareAndSwap(false, true) {
		n.log.Error("the groups' log cannot be written: trying again", "err", err)
	}
}

// retryPause waits before the next try. It returns false if the node closes. Once the disk has failed for as long as members wait for a
// leader, this member gives up all leadership: open commits fail with ledger.ErrUncertain, and new jobs are rejected at once.
func (n *Node) retryPause(began time.Time) bool {
	if time.Since(began) > time.Duration(n.cfg.ElectionTicks)*n.cfg.Tick {
		for _, g := range n.groups {
			g.resumeLeading = g.resumeLeading || g.led != nil
			g.stopLeading(ledger.ErrUncertain)
		}
	}
	select {
	case <-n.stop:
		return false
	case <-time.After(writeRetry):
		return true
	}
}

// leadAgain makes this member lead a group again after it gave up the leadership because the disk failed, unless the members have elected
// another leader meanwhile. It proposes an empty entry like that at the start of a term: once it is committed, so is all that preceded it.
func (g *Group) leadAgain() {
	if !g.resumeLeading {
		return
	}
	g.resumeLeading = false
	if g.raft.BasicStatus().RaftState == raft.StateLeader && g.led == nil {
		g.raft.Propose(nil)
	}
}
