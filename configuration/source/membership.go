package source

import (
	"crypto/rand"
	"encoding/binary"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	core "laddertide/core/configuration"
	wire "laddertide/wire/configuration"
)

// maxPromises limits the records of disks that do not belong to a member.
const maxPromises = 64

// membership is what a member knows about the other members' disks, and whether they have confirmed its own disk.
//
// A disk has a number. By answering votes and acknowledging entries a disk makes promises that consensus relies on. A disk that was
// lost or restored from an older copy must not take part under its number, so a process takes part only after the other members have
// confirmed that its disk holds what it has promised to them.
type membership struct {
	confirming      bool              // the other members have not confirmed yet that this disk holds what it has promised
	confirmingTicks int               // ticks for which this member has asked them
	confirmedBy     map[string]bool   // members that have confirmed it
	freshDisks      map[string]uint64 // disks of others that had promised nothing when they answered; 0: the disk had
	replacedTick    int               // tick of the last proposal to replace a member's disk

	promises          map[uint64]wire.Promise // promises received from other disks
	diskNames         map[uint64]string       // member names of disks, as announced by the members
	lastMessage       map[uint64]time.Time    // when the library's last message from a disk was received
	leaderLastMessage time.Time
}

func (m *membership) reset(now time.Time) {
	*m = membership{confirming: true, confirmedBy: make(map[string]bool), freshDisks: make(map[string]uint64), replacedTick: -electionTicks,
		promises: make(map[uint64]wire.Promise), diskNames: make(map[uint64]string), lastMessage: make(map[uint64]time.Time), leaderLastMessage: now}
}

// resetDisk treats the disk as lost: this member starts again with an empty log and a new disk number, under which it has promised nothing.
func (n *node) resetDisk() error {
	former := n.diskNumber
	n.diskNumber = randomNumber()
	n.confirming, n.confirmingTicks = true, 0
	clear(n.confirmedBy)
	clear(n.freshDisks)
	n.storage, n.hardState = nil, nil
	if err := n.writeCheckpoint(nil); err != nil {
		return err
	}
	n.log.Warn("this member starts with an empty disk", "disk", n.diskNumber, "before", former)
	return n.startRaft(nil, nil, nil)
}

// randomNumber returns a random 63-bit number for a disk, which is not 0 and in practice unique.
func randomNumber() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])>>1 | 1
}

// memberReport returns the report of this member about itself.
func (n *node) memberReport() wire.Member {
	last, _ := n.storage.LastIndex()
	return wire.Member{Disk: n.diskNumber, Unused: n.fresh(), Term: n.hardState.GetTerm(), Vote: n.hardState.GetVote(), Last: last}
}

// askOthers sends this member's report with a question to the others while this member must not take part, or its disk is not a voter
// yet; also after a long time without contact with a majority, as another disk may have replaced this one meanwhile.
func (n *node) askOthers() {
	isolated := n.now.Sub(n.quorumContact()) > 2*electionTicks*n.nodeConfig.tick
	if !n.confirming && !n.fresh() && !isolated {
		return
	}
	n.confirmingTicks++
	n.endConfirming()
	for _, name := range n.members {
		if name == n.name {
			continue
		}
		m := n.memberReport()
		m.IsQuery = true
		n.send(name, &m)
	}
}

// handleMember handles another member's report about itself, and answers its question.
func (n *node) handleMember(from string, m *wire.Member) {
	n.diskNames[m.Disk] = from
	if len(n.diskNames) > maxPromises {
		clear(n.diskNames)
		n.diskNames[m.Disk] = from
	}
	if m.IsQuery {
		n.answerMember(from, m)
	}
	if m.IsAnswer && m.Known.Disk == n.diskNumber {
		n.handleAnswer(from, m)
	}
	if m.Unused {
		n.replaceDisk(from, m.Disk)
	}
}

// answerMember sends another member the promises received from its disk. A member of a new cluster that is not a voter yet is also sent the
// first voters, by the first member in the list and if it is one of them.
func (n *node) answerMember(to string, asked *wire.Member) {
	m := n.memberReport()
	m.IsAnswer = true
	m.Known = n.promises[asked.Disk]
	m.Known.Disk = asked.Disk
	m.Known.Removed = n.machine.Removed(asked.Disk)
	state := n.machine.Snapshot()
	if asked.Unused && n.name == n.members[0] && len(state.Removed) == 0 && n.machine.NameOf(asked.Disk) == to {
		m.Voters = state.Voters
	}
	n.send(to, &m)
}

// handleAnswer handles an answer: the promises that another member has received from this disk.
func (n *node) handleAnswer(from string, m *wire.Member) {
	if why := n.contradiction(&m.Known); why != "" {
		n.log.Error("the folder is not as this member left it: starting again with an empty one", "why", why, "told_by", from)
		n.noteFailure(n.resetDisk())
		return
	}
	n.confirmedBy[from], n.freshDisks[from] = true, 0
	if m.Unused {
		n.freshDisks[from] = m.Disk
	}
	n.endConfirming()
	if n.confirming || !n.fresh() {
		return
	}
	switch {
	case n.name == n.members[0]:
		if voters, all := n.freshVoters(); all {
			n.formCluster(voters)
		}
	case from == n.members[0] && slices.Contains(m.Voters, wire.Voter{Name: n.name, Disk: n.diskNumber}):
		n.formCluster(m.Voters)
	}
}

// endConfirming lets this member take part once all others have confirmed its disk. Members that cannot be reached may know of more
// promises than the others, so this waits for them, but not for longer than an election takes: then a majority is enough.
func (n *node) endConfirming() {
	known := len(n.confirmedBy) + 1
	if known == len(n.members) || known > len(n.members)/2 && n.confirmingTicks > electionTicks {
		n.confirming = false
	}
}

// contradiction returns why this disk cannot be the one that has made the known promises; "": it can be.
func (n *node) contradiction(known *wire.Promise) string {
	last, _ := n.storage.LastIndex()
	switch {
	case known.Removed:
		return "another disk has taken its place"
	case known.Term > n.hardState.GetTerm():
		return "it has been in a later term"
	case known.Term < n.hardState.GetTerm():
		return ""
	case known.Last > last:
		return "it has acknowledged more"
	case known.Vote != 0 && known.Vote != n.hardState.GetVote():
		return "it has voted otherwise"
	}
	return ""
}

// freshVoters returns the first voters of a new cluster; false until every other member is known to have promised nothing.
func (n *node) freshVoters() ([]wire.Voter, bool) {
	voters := make([]wire.Voter, 0, len(n.members))
	for _, name := range n.members {
		disk := n.freshDisks[name]
		if name == n.name {
			disk = n.diskNumber
		}
		if disk == 0 {
			return nil, false
		}
		voters = append(voters, wire.Voter{Name: name, Disk: disk})
	}
	return voters, true
}

// firstIndex is the log index of the snapshot with which a cluster starts.
const firstIndex = 1

// formCluster starts a new cluster with these voters.
func (n *node) formCluster(voters []wire.Voter) {
	machine := core.Machine{}
	machine.SetVoters(voters)
	state := machine.Snapshot()
	conf := &pb.ConfState{}
	for _, v := range voters {
		conf.Voters = append(conf.Voters, v.Disk)
	}
	slices.Sort(conf.Voters)
	snapshot := &pb.Snapshot{Data: state.Append(),
		Metadata: &pb.SnapshotMetadata{Index: new(uint64(firstIndex)), Term: new(uint64(1)), ConfState: conf}}
	term, vote := max(1, n.hardState.GetTerm()), n.hardState.GetVote()
	n.hardState = &pb.HardState{Term: &term, Vote: &vote, Commit: new(uint64(firstIndex))}
	n.storage = nil
	if err := n.writeCheckpoint(snapshot); err != nil {
		n.noteFailure(err)
		return
	}
	n.noteFailure(n.startRaft(marshal(snapshot), n.hardState, nil))
	n.log.Info("a new cluster begins", "members", len(voters))
}

// replaceDisk proposes, if this member leads, to replace another member's disk by its new, empty disk. The former disk is removed from the
// cluster. Nothing is proposed shortly after an election or another replacement, or while the former disk still sends messages.
func (n *node) replaceDisk(name string, disk uint64) {
	former := n.machine.DiskOf(name)
	switch {
	case !n.leading || len(n.confState.GetVotersOutgoing()) > 0 || name == n.name:
		return
	case former == 0 || former == disk || n.machine.Removed(disk):
		return
	case n.ticks-n.leaderSince < electionTicks || n.ticks-n.replacedTick < electionTicks || n.now.Sub(n.lastMessage[former]) < electionTicks*n.nodeConfig.tick:
		return
	}
	n.replacedTick = n.ticks
	change := &pb.ConfChangeV2{Context: []byte(name), Changes: []*pb.ConfChangeSingle{
		{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: &former},
		{Type: pb.ConfChangeAddNode.Enum(), NodeId: &disk},
	}}
	if err := n.raft.ProposeConfChange(change); err != nil {
		n.log.Warn("a member's new disk cannot be added yet", "member", name, "err", err)
	}
}

// notePromise records the promises that a disk makes with a message. Pre-votes promise nothing.
func (n *node) notePromise(m *pb.Message) {
	from, term := m.GetFrom(), m.GetTerm()
	n.lastMessage[from] = n.now
	switch m.GetType() {
	case pb.MsgPreVote, pb.MsgPreVoteResp:
		return
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap: // sent by a leader
		if term >= n.hardState.GetTerm() {
			n.leaderLastMessage = n.now
		}
	}
	p := n.promises[from]
	if term > p.Term {
		p = wire.Promise{Term: term}
	}
	if term == p.Term && !m.GetReject() {
		switch m.GetType() {
		case pb.MsgAppResp:
			p.Last = max(p.Last, m.GetIndex())
		case pb.MsgApp: // the entries that a leader sends are on its disk
			p.Last = max(p.Last, m.GetIndex()+uint64(len(m.GetEntries())))
		case pb.MsgVoteResp:
			p.Vote = n.diskNumber
		case pb.MsgVote:
			p.Vote = from
		}
	}
	n.promises[from] = p
	n.forgetOtherDisks()
}

// forgetOtherDisks deletes the records of disks that do not belong to a member when there are too many.
func (n *node) forgetOtherDisks() {
	if len(n.promises) <= maxPromises {
		return
	}
	for disk := range n.promises {
		if n.machine.NameOf(disk) == "" {
			delete(n.promises, disk)
			delete(n.lastMessage, disk)
		}
	}
}

// noteFailure records an error of the disk, which ends the node in the next round.
func (n *node) noteFailure(err error) {
	if err != nil && n.diskError == nil {
		n.diskError = err
	}
}
