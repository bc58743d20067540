package replica

import (
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"laddertide/ledger"
	wire "laddertide/wire/groups"
)

// Group is this member's part in a group.
type Group struct {
	wire.Group
	node     *Node
	number   uint64 // see wire.Record
	memberID uint64 // this member's position in Members, from 1
	raft     *raft.RawNode
	storage  *raft.MemoryStorage

	committedBytes atomic.Int64
	memberFull     atomic.Bool // the log of at least one member is full

	// Owned by the loop.
	led           *Lead  // set from Config.OnLead until Config.OnLeadEnd
	leader        uint64 // member ID of the leader; 0: none is known
	proposals     map[uint64]*commit
	lastNonce     uint64
	leaderSeen    time.Time
	ended         bool
	resumeLeading bool // this member led the group until the disk failed
}

// finishedGroup is a group in which this member no longer takes part.
type finishedGroup struct {
	group  wire.Group
	number uint64
	at     time.Time
	left   bool // other members may continue it: they are not notified that it is finished
}

const (
	// firstIndex is the index of a group's first entry: the state before it is the same at all members from the start.
	firstIndex = 2
	// firstTerm is a group's initial term.
	firstTerm = 1

	maxMessageBytes     = 256 << 10 // of entries in one message
	maxInflightMessages = 64        // to one member
)

// memberIndex returns a member's position in a group, from 0. It is negative if no member has the name or, if disk is not 0, the
// member has another disk.
func memberIndex(group *wire.Group, name string, disk uint64) int {
	return slices.IndexFunc(group.Members, func(m wire.Member) bool { return m.Name == name && (disk == 0 || m.Disk == disk) })
}

// CommittedBytes returns the size of the committed part of the group's log, in bytes.
func (g *Group) CommittedBytes() int64 { return g.committedBytes.Load() }

// LogFull reports whether the log of at least one member has space only for jobs that are open already.
func (g *Group) LogFull() bool { return g.memberFull.Load() }

// Begin creates a group that this scheduler owns, and campaigns to lead it.
func (n *Node) Begin(group wire.Group) {
	n.enqueue(0, 0, func() {
		if n.groups[group.ID] != nil || n.inactive {
			return
		}
		g, err := n.createGroup(group)
		if err != nil {
			n.log.Error("cannot create a group", "group", group.ID, "err", err)
			return
		}
		g.raft.Campaign()
		n.dirty[g] = true
	})
}

// createGroup adds a new group, here and on disk. Called by the loop.
func (n *Node) createGroup(group wire.Group) (*Group, error) {
	n.lastNumber++
	g, err := n.openGroup(group, n.lastNumber, nil, nil)
	if err != nil {
		return nil, err
	}
	n.appendLog(false, g.number, (&wire.Record{Kind: wire.GroupBegun, Number: g.number, Group: group}).Append())
	return g, nil
}

// openGroup adds a group with its state and entries from disk, if there are any. An error means that this scheduler is no member
// of it, or that the state and entries are inconsistent.
func (n *Node) openGroup(group wire.Group, number uint64, state *pb.HardState, entries []*pb.Entry) (*Group, error) {
	index := memberIndex(&group, n.cfg.Name, n.diskID)
	if index < 0 {
		return nil, fmt.Errorf("replica: %s is no member of %s", n.cfg.Name, group.ID)
	}
	storage, err := newStorage(len(group.Members), state, entries)
	if err != nil {
		return nil, err
	}
	g := &Group{
		Group:      group,
		node:       n,
		number:     number,
		memberID:   uint64(index + 1),
		storage:    storage,
		proposals:  make(map[uint64]*commit),
		leaderSeen: time.Now(),
	}
	g.raft, err = raft.NewRawNode(n.raftConfig(g))
	if err != nil {
		return nil, err
	}
	n.groups[group.ID] = g
	n.dirty[g] = true
	g.addKeys(entries)
	return g, nil
}

// newStorage returns the library's storage for a group with a number of members, with its state and entries from disk.
func newStorage(members int, state *pb.HardState, entries []*pb.Entry) (*raft.MemoryStorage, error) {
	voters := make([]uint64, members)
	for i := range voters {
		voters[i] = uint64(i + 1)
	}
	beginning := &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
		Index:     new(uint64(firstIndex - 1)),
		Term:      new(uint64(firstTerm)),
		ConfState: &pb.ConfState{Voters: voters},
	}}
	storage := raft.NewMemoryStorage()
	if err := storage.ApplySnapshot(beginning); err != nil {
		return nil, err
	}
	if err := storage.Append(entries); err != nil {
		return nil, err
	}
	if state == nil {
		state = &pb.HardState{Term: new(uint64(firstTerm)), Vote: new(uint64(0)), Commit: new(uint64(firstIndex - 1))}
	}
	if last, _ := storage.LastIndex(); state.GetCommit() > last { // it was written with entries that did not reach the disk
		state.Commit = new(last)
	}
	if err := storage.SetHardState(state); err != nil {
		return nil, err
	}
	return storage, nil
}

// raftConfig returns the library's configuration for a group.
func (n *Node) raftConfig(g *Group) *raft.Config {
	return &raft.Config{
		ID:                        g.memberID,
		ElectionTick:              n.cfg.ElectionTicks,
		HeartbeatTick:             1,
		Storage:                   g.storage,
		Applied:                   firstIndex - 1,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxInflightBytes:          uint64(n.cfg.MaxPendingBytes),
		MaxUncommittedEntriesSize: uint64(n.cfg.MaxPendingBytes),
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		Logger:                    raftLogger{n.log},
	}
}

// finishGroup ends this member's part in a group: nothing in the group is needed any more or, if left is set, other members may
// need it. The group is remembered for Config.RememberFinished: a member that has not been notified of the end may still request votes,
// and must not get this one's.
func (n *Node) finishGroup(g *Group, left bool) {
	g.stopLeading(ledger.ErrUncertain)
	g.ended = true
	delete(n.groups, g.ID)
	f := finishedGroup{group: g.Group, number: g.number, at: time.Now(), left: left}
	n.finished[g.ID] = f
	n.mu.Lock()
	delete(n.loggedKeys, g.ID)
	n.mu.Unlock()
	n.appendLog(false, g.number, f.record())
}

// record returns the log record that marks the group as finished.
func (f *finishedGroup) record() []byte {
	r := wire.Record{Kind: wire.GroupEnded, Number: f.number, Group: f.group}
	if f.left {
		r.Kind = wire.MemberLeft
	}
	return r.Append()
}

// FindRecord returns the first record of the group's log, in the order of the log, for which match returns true; nil: there is none. It
// may be called by any goroutine.
func (g *Group) FindRecord(match func(record []byte) bool) []byte {
	last, err := g.storage.LastIndex()
	if err != nil || last < firstIndex {
		return nil
	}
	entries, err := g.storage.Entries(firstIndex, last+1, math.MaxUint64)
	if err != nil {
		return nil
	}
	for _, e := range entries {
		if e.GetType() != pb.EntryNormal || len(e.GetData()) == 0 {
			continue
		}
		b, err := wire.ReadBatch(e.GetData())
		if err != nil {
			continue
		}
		for _, record := range b.Records {
			if match(record) {
				return record
			}
		}
	}
	return nil
}

// committed returns a function that returns the records committed up to an index. It reads the library's copy of the log, as this
// package keeps none of its own.
func (g *Group) committed(index uint64) func() [][]byte {
	entries, err := g.storage.Entries(firstIndex, index+1, math.MaxUint64)
	if err != nil {
		panic(err) // the log is never compacted
	}
	entries = slices.Clone(entries) // the entries themselves never change
	return func() (records [][]byte) {
		for _, e := range entries {
			if e.GetType() != pb.EntryNormal || len(e.GetData()) == 0 {
				continue
			}
			if b, err := wire.ReadBatch(e.GetData()); err == nil {
				records = append(records, b.Records...)
			}
		}
		return records
	}
}
