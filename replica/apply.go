package replica

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"laddertide/ledger"
	wire "laddertide/wire/groups"
)

// apply applies a change of leader and committed entries.
func (g *Group) apply(ready raft.Ready) {
	if ready.SoftState != nil {
		g.leader = ready.SoftState.Lead
		if ready.SoftState.RaftState != raft.StateLeader {
			g.stopLeading(ledger.ErrUncertain)
		}
	}
	for _, e := range ready.CommittedEntries {
		if e.GetType() != pb.EntryNormal {
			continue
		}
		if len(e.GetData()) == 0 {
			g.applyTermStart(e)
			continue
		}
		g.applyBatch(e)
		if g.ended {
			return
		}
	}
}

// applyTermStart applies the empty entry with which a leader begins its term. Everything that was committed in the group precedes
// it: if the leader is this member, it leads from now on.
func (g *Group) applyTermStart(e *pb.Entry) {
	if g.leader != g.memberID || e.GetTerm() != g.raft.BasicStatus().GetTerm() || g.led != nil {
		return
	}
	g.led = &Lead{Group: g, term: e.GetTerm()}
	g.node.cfg.OnLead(g.led, g.committed(e.GetIndex()))
}

// applyBatch applies a committed batch and completes its commit. A batch with nonce 0 ends the group.
func (g *Group) applyBatch(e *pb.Entry) {
	b, err := wire.ReadBatch(e.GetData())
	if err != nil {
		g.node.log.Error("a committed batch cannot be decoded", "group", g.ID, "index", e.GetIndex(), "err", err)
		return
	}
	if b.Nonce == 0 {
		g.node.finishGroup(g, false)
		return
	}
	g.committedBytes.Add(int64(len(e.GetData())))
	g.node.count(func(c *Counts) { c.Committed++ })
	if c := g.proposals[b.Nonce]; c != nil {
		delete(g.proposals, b.Nonce)
		c.finish(nil)
	}
}
