package replica

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"laddertide/ledger"
	wire "laddertide/wire/groups"
)

// recovery collects the state that earlier processes have left in the log on disk.
type recovery struct {
	log        *slog.Logger
	groups     map[uint64]*recoveredGroup // by number
	finished   map[wire.ID]finishedGroup
	diskID     uint64
	lastNumber uint64
	lost       bool // a record that this member has promised others to keep may be lost
}

// recoveredGroup is a group in the log on disk.
type recoveredGroup struct {
	group   wire.Group
	state   *pb.HardState
	entries []*pb.Entry
}

// recoverState reads the log on disk and opens the groups in it. If a promise may be lost, or the disk is new, this process takes
// part under a new disk ID, which has promised nothing, and the earlier groups continue without it.
func (n *Node) recoverState() error {
	r := &recovery{log: n.log, groups: make(map[uint64]*recoveredGroup), finished: n.finished}
	if err := n.cfg.Disk.Replay(r.addRecord, r.addDamage); err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	n.diskID = r.diskID
	n.lastNumber = r.lastNumber
	if r.lost || n.diskID == 0 {
		if len(r.groups) > 0 {
			n.log.Error("this scheduler takes no part any more in the groups of before: their other members go on", "groups", len(r.groups))
		}
		clear(r.groups)
		if err := n.renewDiskID(); err != nil {
			return fmt.Errorf("replica: %w", err)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(r.groups)) {
		g := r.groups[number]
		g.dropAfterGap()
		if _, err := n.openGroup(g.group, number, g.state, g.entries); err != nil {
			return fmt.Errorf("replica: group %s: %w", g.group.ID, err)
		}
	}
	return nil
}

// renewDiskID draws a new disk ID and writes a record that invalidates all earlier ones: if the next start finds the same damage
// again, that must not invalidate promises made from now on.
func (n *Node) renewDiskID() error {
	n.diskID = newDiskID()
	record := wire.Record{Kind: wire.DiskReset, Number: n.lastNumber, Disk: n.diskID}
	return n.cfg.Disk.Append(0, record.Append()).Wait()
}

// addDamage records a damaged place of the log.
func (r *recovery) addDamage(d ledger.Damage) {
	r.log.Error("the groups' log is damaged", "segment", d.Segment, "offset", d.Offset, "bytes", d.Bytes, "why", d.Reason, "group", d.Seq)
	r.lost = r.lost || !d.Harmless
}

// addRecord adds the next record of the log. An error means that the record is intact but its content cannot be decoded.
func (r *recovery) addRecord(b []byte) error {
	record, err := wire.ReadRecord(b)
	if err != nil {
		r.log.Warn("a record of the groups' log cannot be decoded", "err", err)
		r.lost = true
		return nil
	}
	r.lastNumber = max(r.lastNumber, record.Number)
	switch record.Kind {
	case wire.DiskID:
		r.diskID = record.Disk
	case wire.DiskReset:
		clear(r.groups)
		r.diskID = record.Disk
		r.lost = false
	case wire.GroupBegun:
		r.groups[record.Number] = &recoveredGroup{group: record.Group}
	case wire.GroupEnded, wire.MemberLeft:
		delete(r.groups, record.Number)
		r.finished[record.Group.ID] = finishedGroup{
			group:  record.Group,
			number: record.Number,
			at:     time.Now(),
			left:   record.Kind == wire.MemberLeft,
		}
	case wire.HardState, wire.Entries:
		g := r.groups[record.Number]
		if g == nil { // the record of its beginning was removed with its segment
			return nil
		}
		return g.addRecord(record)
	}
	return nil
}

// addRecord adds a record of the group's hard state or entries.
func (g *recoveredGroup) addRecord(record wire.Record) error {
	if record.Kind == wire.HardState {
		g.state = &pb.HardState{}
		if err := proto.Unmarshal(record.Bytes, g.state); err != nil {
			return fmt.Errorf("replica: cannot decode a hard state on disk: %w", err)
		}
		return nil
	}
	for _, raw := range record.Entries {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(raw, entry); err != nil {
			return fmt.Errorf("replica: cannot decode an entry on disk: %w", err)
		}
		g.addEntry(entry)
	}
	return nil
}

// addEntry appends an entry. It replaces those from its index on: a later leader's entries replace those that no majority has.
func (g *recoveredGroup) addEntry(entry *pb.Entry) {
	if last := len(g.entries) - 1; last >= 0 && entry.GetIndex() <= g.entries[last].GetIndex() {
		keep := int(entry.GetIndex()) - firstIndex
		g.entries = g.entries[:max(0, min(keep, len(g.entries)))]
	}
	g.entries = append(g.entries, entry)
}

// dropAfterGap removes all entries after a missing one. Any write that was in progress when the machine crashed may be missing,
// and no entry after such a write was promised.
func (g *recoveredGroup) dropAfterGap() {
	for i, entry := range g.entries {
		if entry.GetIndex() != uint64(firstIndex+i) {
			g.entries = g.entries[:i]
			return
		}
	}
}
