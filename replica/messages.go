package replica

import (
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	wire "laddertide/wire/groups"
)

// outgoingFrame is the next frame to be sent to a scheduler.
type outgoingFrame struct {
	wire.Frame
	bytes int // of its messages
}

// sendMessages adds a group's messages to frames. early selects those that may be sent before this round's writes are on disk,
// which are a leader's entries; otherwise all others are added.
func (g *Group) sendMessages(ready raft.Ready, early bool) {
	for _, m := range ready.Messages {
		isEarly := m.GetType() == pb.MsgApp && g.leader == g.memberID
		if isEarly != early || m.GetTo() == 0 || int(m.GetTo()) > len(g.Members) {
			continue
		}
		b, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		g.node.addMessage(g.Members[m.GetTo()-1].Name, wire.Message{Group: g.Group, Bytes: b})
	}
}

// addMessage adds a message to the next frame to a scheduler.
func (n *Node) addMessage(to string, m wire.Message) {
	f := n.outgoing[to]
	if f != nil && (f.bytes+len(m.Bytes) > maxFrameBytes || len(f.Messages) >= wire.MaxMessages) {
		n.sendFrame(to, f)
		f = nil
	}
	if f == nil {
		f = &outgoingFrame{Frame: wire.Frame{From: n.cfg.Name, LogFull: n.logFull}}
		n.outgoing[to] = f
	}
	f.Messages = append(f.Messages, m)
	f.bytes += len(m.Bytes)
}

// flushFrames sends all frames.
func (n *Node) flushFrames() {
	for to, f := range n.outgoing {
		delete(n.outgoing, to)
		n.sendFrame(to, f)
	}
}

// sendFrame sends a frame and counts it.
func (n *Node) sendFrame(to string, f *outgoingFrame) {
	n.count(func(c *Counts) { c.Frames++ })
	n.cfg.Net.Send(to, &f.Frame)
}

// HandleFrame handles a frame received from another scheduler. It never waits: the frame is dropped if too many are queued.
func (n *Node) HandleFrame(f *wire.Frame) {
	n.enqueue(0, 1, func() { n.handleFrame(f) })
}

// handleFrame handles a received frame. Called by the loop.
func (n *Node) handleFrame(f *wire.Frame) {
	if n.inactive {
		return
	}
	if f.LogFull {
		n.fullMembers[f.From] = true
	} else {
		delete(n.fullMembers, f.From)
	}
	for i := range f.Messages {
		n.handleMessage(f.From, &f.Messages[i])
	}
}

// handleMessage handles a message of a group. A message without bytes means that the group is finished.
func (n *Node) handleMessage(from string, m *wire.Message) {
	g := n.groups[m.ID]
	if g != nil && !slices.Equal(g.Members, m.Members) {
		return // a group's members never change
	}
	if len(m.Bytes) == 0 && memberIndex(&m.Group, from, 0) >= 0 {
		if g != nil {
			n.finishGroup(g, false)
		}
		return
	}
	message := &pb.Message{}
	if err := proto.Unmarshal(m.Bytes, message); err != nil || !n.acceptable(from, m, message) {
		n.count(func(c *Counts) { c.Malformed++ })
		return
	}
	if f, found := n.finished[m.ID]; found {
		if !f.left {
			n.addMessage(from, wire.Message{Group: m.Group})
		}
		return
	}
	if g == nil {
		// A group is created here by the first message of a member. A group that was finished here and forgotten is created
		// again, empty, and ends because its members do not answer: its leader has nothing open in it.
		var err error
		if g, err = n.createGroup(m.Group); err != nil {
			return
		}
	}
	g.protect(func() { g.raft.Step(message) }) // an error means that the message cannot be used now
	n.dirty[g] = true
}

// acceptable reports whether a message is valid and sent by a member to this one.
func (n *Node) acceptable(from string, m *wire.Message, message *pb.Message) bool {
	switch message.GetType() {
	case pb.MsgApp, pb.MsgAppResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgTimeoutNow:
	default:
		return false // a kind that is not sent between members, or belongs to an unused feature
	}
	sender := memberIndex(&m.Group, from, 0)
	receiver := memberIndex(&m.Group, n.cfg.Name, n.diskID)
	if sender < 0 || receiver < 0 {
		return false
	}
	return message.GetFrom() == uint64(sender+1) && message.GetTo() == uint64(receiver+1)
}
