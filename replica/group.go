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

// Group is a group as this member has it.
type Group struct {
	wire.Group
	node     *Node
	number   uint64 // see wire.Record
	memberID uint64 // this member's place among Members, from 1
	raft     *raft.RawNode
	storage  *raft.MemoryStorage

	committedBytes atomic.Int64
	memberFull     atomic.Bool // the log of one of the members is full

	// Owned by the loop.
	led        *Lead  // set from Config.Led until Config.Gone
	leader     uint64 // 0: none is known
	proposals  map[uint64]*commit
	lastNonce  uint64
	leaderSeen time.Time
	ended      bool
	relead     bool // it was led here until the disk failed
}

// finishedGroup is a group in which this member takes no part any more.
type finishedGroup struct {
	group  wire.Group
	number uint64
	at     time.Time
	left   bool // other members may go on with it: they are not told that it is over
}

const (
	// firstIndex is the index of a group's first entry: all members know what stands before it from the beginning.
	firstIndex = 2
	// firstTerm is the term in which a group begins.
	firstTerm = 1

	maxMessageBytes     = 256 << 10 // of entries in one message
	maxInflightMessages = 64        // to one member
)

// memberIndex returns a member's place in a group, from 0. It is below 0 if the name is no member or, where disk is not 0, was
// one with another disk.
func memberIndex(group *wire.Group, name string, disk uint64) int {
	return slices.IndexFunc(group.Members, func(m wire.Member) bool { return m.Name == name && (disk == 0 || m.Disk == disk) })
}

// Bytes returns the size of the group's log as far as it is committed, in bytes.
func (g *Group) Bytes() int64 { return g.committedBytes.Load() }

// Full reports whether the log of one of the members has no room for more than what is open.
func (g *Group) Full() bool { return g.memberFull.Load() }

// Begin begins a group that this scheduler owns, and leads it as soon as a majority agrees.
func (n *Node) Begin(of wire.Group) {
	n.enqueue(0, 0, func() {
		if n.groups[of.ID] != nil || n.inactive {
			return
		}
		g, err := n.createGroup(of)
		if err != nil {
			n.log.Error("a group cannot begin", "group", of.ID, "err", err)
			return
		}
		g.raft.Campaign()
		n.dirty[g] = true
	})
}

// createGroup adds a group that is new here, on disk as well. Called by the loop.
func (n *Node) createGroup(group wire.Group) (*Group, error) {
	n.lastNumber++
	g, err := n.openGroup(group, n.lastNumber, nil, nil)
	if err != nil {
		return nil, err
	}
	n.appendLog(false, g.number, (&wire.Record{Kind: wire.Begun, Number: g.number, Group: group}).Append())
	return g, nil
}

// openGroup adds a group with its state and entries on disk, if there are any. An error means that this scheduler is no member
// of it, or that the state and entries do not fit each other.
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

// newStorage returns the library's storage for a group of so many members, with a state and entries that were on disk.
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
	if last, _ := storage.LastIndex(); state.GetCommit() > last { // written with entries that did not reach the disk
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
		ElectionTick:              n.cfg.Elect,
		HeartbeatTick:             1,
		Storage:                   g.storage,
		Applied:                   firstIndex - 1,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxInflightBytes:          uint64(n.cfg.Most),
		MaxUncommittedEntriesSize: uint64(n.cfg.Most),
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		Logger:                    raftLogger{n.log},
	}
}

// finishGroup ends this member's part in a group: nothing in the group is needed any more or, if left is set, other members may
// need it. It is remembered for Config.Forget: a member that does not know of the end may still ask for votes, and must not
// get this one's.
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

// record returns the record on disk that says that the group is finished.
func (f *finishedGroup) record() []byte {
	r := wire.Record{Kind: wire.Ended, Number: f.number, Group: f.group}
	if f.left {
		r.Kind = wire.Left
	}
	return r.Append()
}

// committed returns a function that returns the records that were committed up to an index. It reads the library's copy of the
// log, as this package keeps no other.
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
