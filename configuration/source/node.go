package source

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	core "laddertide/core/configuration"
	wire "laddertide/wire/configuration"
)

// Limits of the replicated log.
const (
	maxMessageBytes     = 512 << 10 // of entries in one message
	maxInflight         = 16        // unacknowledged messages to a member
	maxUncommittedBytes = 1 << 20   // of proposals that wait for a majority
	trailingEntries     = 64        // kept in memory before a checkpoint, for members that are slightly behind
	electionTicks       = 10        // minimum without a leader before another one is elected; the maximum is twice as many
	proposalTicks       = 4 * electionTicks
	rowsInterval        = 8 // ticks between two follower reports to the leader, if nothing changes
)

// nodeConfig configures a node.
type nodeConfig struct {
	name    string
	members []string // all members; the first one forms the cluster
	disk    Log
	tick    time.Duration
	limits  core.Limits // of the table of followers
	log     *slog.Logger

	send     func(to string, m wire.Message) // sends to a member; it does not block, and any message may be lost
	onNewest func(p wire.Push)               // called for each version that becomes the newest at this member
}

// node is one member of the quorum: the consensus library, its log on disk, and the state built from the log. It is not safe for
// concurrent use. It reads no clock: callers pass the time, and the last one passed is in now.
type node struct {
	nodeConfig
	now time.Time

	storage      *raft.MemoryStorage
	raft         *raft.RawNode
	machine      core.Machine
	table        *core.Table
	confState    *pb.ConfState
	hardState    *pb.HardState
	appliedIndex uint64
	leaderDisk   uint64 // the leader's disk; 0: no leader is known
	leading      bool   // this member leads, and has applied all entries committed before its term

	journal
	membership

	proposals    proposals
	statusWaits  []statusWait
	ticks        int
	leaderSince  int  // tick since which this member leads
	rowsSentTick int  // tick of the last follower report to the leader
	rowsChanged  bool // a follower has reported since then
}

// newNode reads the log on disk that an earlier process has written. The node does not take part before the first tick.
func newNode(cfg nodeConfig, now time.Time) (*node, error) {
	n := &node{nodeConfig: cfg, now: now, table: core.NewTable(cfg.limits)}
	n.membership.reset(now)
	found, err := n.replay()
	if err != nil {
		return nil, err
	}
	n.checkpointNumber, n.diskNumber = found.checkpointNumber, found.checkpoint.Disk
	if found.lost {
		return n, n.resetDisk()
	}
	if err := n.startRaft(found.checkpoint.Snapshot, found.hard, found.entries); err != nil {
		return nil, err
	}
	return n, nil
}

// startRaft starts the consensus library with the state read from disk.
func (n *node) startRaft(snapshot []byte, hard *pb.HardState, entries []*pb.Entry) error {
	n.storage, n.machine, n.confState, n.hardState = raft.NewMemoryStorage(), core.Machine{}, &pb.ConfState{}, hard
	n.appliedIndex, n.leaderDisk, n.leading = 0, 0, false
	if len(snapshot) > 0 {
		s := &pb.Snapshot{}
		if err := proto.Unmarshal(snapshot, s); err != nil {
			return fmt.Errorf("configuration: a snapshot on disk: %w", err)
		}
		if err := n.restore(s); err != nil {
			return err
		}
	}
	if err := n.storage.Append(entries); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if hard != nil {
		if last, _ := n.storage.LastIndex(); hard.GetCommit() > last { // the entries written with this hard state did not reach the disk
			hard.Commit = new(last)
		}
		if err := n.storage.SetHardState(hard); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
	}
	var err error
	n.raft, err = raft.NewRawNode(&raft.Config{ID: n.diskNumber, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: n.storage,
		Applied: n.appliedIndex, MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflight,
		MaxUncommittedEntriesSize: maxUncommittedBytes, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true,
		Logger: raftLogger{n.log}})
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// restore loads a snapshot into memory.
func (n *node) restore(s *pb.Snapshot) error {
	state, err := wire.ReadState(s.GetData())
	if err != nil {
		return err
	}
	if err := n.machine.Restore(state); err != nil {
		return err
	}
	if err := n.storage.ApplySnapshot(s); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	n.appliedIndex, n.confState = s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	if n.machine.Newest() > 0 {
		n.onNewest(n.machine.Push())
	}
	return nil
}

// fresh reports whether this member's disk is not a voter of the cluster yet.
func (n *node) fresh() bool { return len(n.confState.GetVoters()) == 0 }

// tick advances the node by one tick.
func (n *node) tick(now time.Time) {
	n.now = now
	n.ticks++
	n.askOthers()
	if !n.confirming {
		n.callRaft(n.raft.Tick)
	}
	n.proposals.expire(n.ticks)
	n.expireStatuses()
	n.table.Sweep(now)
	n.sendRows()
}

// handle handles a message from another member.
func (n *node) handle(from string, m wire.Message, now time.Time) {
	n.now = now
	switch m := m.(type) {
	case *wire.Raft:
		n.handleRaft(m)
	case *wire.Member:
		n.handleMember(from, m)
	case *wire.Followers:
		n.table.Merge(from, m.Rows, now)
	case *wire.Propose:
		n.propose(m, now, func(p wire.Proposed) { n.send(from, &p) })
	case *wire.Proposed:
		n.proposals.answer(*m)
	case *wire.StatusRequest:
		if n.leading {
			n.status(now, func(s wire.Status) { n.send(from, &s) })
		}
	case *wire.Status:
		n.handleStatus(m)
	}
}

// handleRaft passes a message that is addressed to this disk to the library.
func (n *node) handleRaft(m *wire.Raft) {
	if n.confirming || m.To != n.diskNumber {
		return
	}
	msg := &pb.Message{}
	if err := proto.Unmarshal(m.Bytes, msg); err != nil || msg.GetTo() != n.diskNumber || !isMemberMessage(msg.GetType()) {
		return
	}
	n.notePromise(msg)
	n.callRaft(func() { n.raft.Step(msg) }) // an error means that the message cannot be used now
}

// isMemberMessage reports whether members send each other messages of this type.
func isMemberMessage(t pb.MessageType) bool {
	switch t {
	case pb.MsgApp, pb.MsgAppResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeat, pb.MsgHeartbeatResp,
		pb.MsgSnap, pb.MsgTimeoutNow:
		return true
	}
	return false
}

// processReady first writes what the library wants on disk, then sends its messages and applies committed entries, and repeats this until
// nothing is left to do. After an error, which means that the disk does not accept writes, the node must not be used any more.
func (n *node) processReady() error {
	for n.raft.HasReady() {
		ready := n.raft.Ready()
		if err := n.write(ready); err != nil {
			return err
		}
		n.sendAll(ready.Messages)
		checkpoint := n.apply(ready)
		current := n.raft
		n.callRaft(func() { n.raft.Advance(ready) })
		if n.raft != current {
			continue
		}
		if checkpoint || n.logBytes > checkpointInterval {
			if err := n.checkpoint(); err != nil {
				return err
			}
		}
	}
	return n.diskError
}

// sendAll sends messages to the members whose disks they are for.
func (n *node) sendAll(messages []*pb.Message) {
	for _, m := range messages {
		b, err := proto.Marshal(m)
		name := n.nameOf(m.GetTo())
		if err != nil || name == "" {
			continue
		}
		n.send(name, &wire.Raft{To: m.GetTo(), Bytes: b})
		if m.GetType() == pb.MsgSnap { // if it is lost, the next probe detects that
			n.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
}

// apply applies committed entries. It reports whether a checkpoint is needed at once: a snapshot must contain the current members,
// or a member that has just been added could not use it.
func (n *node) apply(ready raft.Ready) (checkpoint bool) {
	if ready.SoftState != nil {
		if n.leaderDisk != ready.SoftState.Lead { // the next leader may or may not have the proposals that the previous one took
			n.proposals.answerAllUncertain("another leader is elected: ask again with the same request id")
		}
		n.leaderDisk = ready.SoftState.Lead
		if ready.SoftState.RaftState != raft.StateLeader && n.leading {
			n.leading = false
			n.log.Info("no longer leading", "leader", n.nameOf(n.leaderDisk))
		}
	}
	for _, e := range ready.CommittedEntries {
		switch e.GetType() {
		case pb.EntryNormal:
			n.applyEntry(e)
		default:
			n.applyConfChange(e)
			checkpoint = true
		}
		n.appliedIndex = e.GetIndex()
	}
	return checkpoint
}

func (n *node) applyEntry(e *pb.Entry) {
	if len(e.GetData()) == 0 { // the first entry of a leader's term
		if n.leaderDisk == n.diskNumber && e.GetTerm() == n.raft.BasicStatus().GetTerm() {
			n.leading, n.leaderSince = true, n.ticks
			n.log.Info("leading", "term", e.GetTerm(), "version", n.machine.Newest())
		}
		return
	}
	change, err := wire.ReadChange(e.GetData())
	if err != nil {
		n.log.Error("an accepted change cannot be decoded by this version of the program", "index", e.GetIndex(), "err", err)
		return
	}
	result := n.machine.Apply(&change)
	if result.New {
		p := n.machine.Push()
		n.log.Info("a new version", "version", p.Version, "digest", p.Digest, "author", change.Author)
		n.onNewest(p)
	}
	n.proposals.answer(proposed(&change, result))
}

// applyConfChange applies a change of the cluster's voters, which are disks. Its context is the name of the member whose disk is
// replaced; a change without a context ends a joint configuration.
func (n *node) applyConfChange(e *pb.Entry) {
	change := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		n.log.Error("a change of members cannot be decoded", "index", e.GetIndex(), "err", err)
		return
	}
	if name := string(change.GetContext()); name != "" {
		for _, c := range change.GetChanges() {
			if c.GetType() == pb.ConfChangeAddNode {
				n.machine.Replace(name, c.GetNodeId())
				n.log.Warn("a member's disk was replaced", "member", name, "disk", c.GetNodeId())
			}
		}
	}
	n.confState = n.raft.ApplyConfChange(change)
}

// nameOf returns the name of the member that has a disk, also while that disk is being added; "": not known.
func (n *node) nameOf(disk uint64) string {
	return cmp.Or(n.machine.NameOf(disk), n.diskNames[disk])
}

// quorumContact returns when this member last had contact with a majority: for the leader, the latest time since which messages from
// a majority have been received; for others, when the leader's last message was received.
func (n *node) quorumContact() time.Time {
	if !n.leading {
		return n.leaderLastMessage
	}
	times := make([]time.Time, 0, len(n.confState.GetVoters()))
	for _, disk := range n.confState.GetVoters() {
		if disk == n.diskNumber {
			times = append(times, n.now)
		} else {
			times = append(times, n.lastMessage[disk])
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	if len(times) == 0 {
		return n.leaderLastMessage
	}
	return times[len(times)/2]
}

// inconsistency is the panic with which the library reports an inconsistent log.
type inconsistency string

// callRaft calls the library. If this member has lost entries or votes that it had promised, because its disk reported a sync that did not
// happen, the library panics: then the disk is treated as lost.
func (n *node) callRaft(call func()) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case inconsistency:
			n.log.Error("the log on disk is inconsistent: this member starts again with an empty disk", "why", string(r))
			n.diskError = cmp.Or(n.diskError, n.resetDisk())
		default:
			panic(r)
		}
	}()
	call()
}

// raftLogger forwards the library's errors to the log, and turns its fatal messages into panics. Other messages are dropped: the
// library logs each of its steps.
type raftLogger struct{ log *slog.Logger }

func (l raftLogger) Debug(...any)              {}
func (l raftLogger) Debugf(string, ...any)     {}
func (l raftLogger) Info(...any)               {}
func (l raftLogger) Infof(string, ...any)      {}
func (l raftLogger) Warning(...any)            {}
func (l raftLogger) Warningf(string, ...any)   {}
func (l raftLogger) Error(v ...any)            { l.log.Error("consensus: " + fmt.Sprint(v...)) }
func (l raftLogger) Errorf(f string, v ...any) { l.log.Error("consensus: " + fmt.Sprintf(f, v...)) }
func (l raftLogger) Fatal(v ...any)            { panic(inconsistency(fmt.Sprint(v...))) }
func (l raftLogger) Fatalf(f string, v ...any) { panic(inconsistency(fmt.Sprintf(f, v...))) }
func (l raftLogger) Panic(v ...any)            { panic(inconsistency(fmt.Sprint(v...))) }
func (l raftLogger) Panicf(f string, v ...any) { panic(inconsistency(fmt.Sprintf(f, v...))) }
