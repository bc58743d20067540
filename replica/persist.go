package replica

import (
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	wire "laddertide/wire/groups"
)

// trimTicks is the number of ticks between two trims of the log on disk.
const trimTicks = 32

// appendLog appends records of a group to the log on disk. If sync is set, awaitWrites waits for them.
func (n *Node) appendLog(sync bool, number uint64, records ...[]byte) {
	size := 0
	for _, r := range records {
		size += len(r)
	}
	if n.unconfirmedBytes > 0 && n.unconfirmedBytes+size > maxUnconfirmedBytes {
		n.pendingWrites = append(n.pendingWrites, n.cfg.Disk.Append(0)) // without records: it is done once everything appended before is on disk
		n.awaitWrites()
	}
	n.unconfirmed = append(n.unconfirmed, logWrite{number, records})
	n.unconfirmedBytes += size
	if sync {
		n.pendingWrites = append(n.pendingWrites, n.cfg.Disk.Append(number, records...))
	} else {
		n.cfg.Disk.AppendLazy(number, records...)
	}
}

// persist appends the new entries and hard state of a group. They must be on disk before messages that follow from them are
// sent.
func (g *Group) persist(ready raft.Ready) {
	if len(ready.Entries) > 0 {
		g.persistEntries(ready.Entries)
	}
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		b, err := proto.Marshal(ready.HardState)
		if err != nil {
			panic(err)
		}
		g.node.appendLog(ready.MustSync, g.number, (&wire.Record{Kind: wire.HardState, Number: g.number, Bytes: b}).Append())
		g.storage.SetHardState(ready.HardState)
	}
}

// persistEntries appends entries in records of up to maxRecordBytes, unless a single entry is larger.
func (g *Group) persistEntries(entries []*pb.Entry) {
	n := g.node
	record := wire.Record{Kind: wire.Entries, Number: g.number}
	size := 0
	for _, e := range entries {
		b, err := proto.Marshal(e)
		if err != nil {
			panic(err) // it was made or read by this process
		}
		if size > 0 && size+len(b) > maxRecordBytes {
			n.appendLog(true, g.number, record.Append())
			record.Entries = nil
			size = 0
		}
		record.Entries = append(record.Entries, b)
		size += len(b)
	}
	n.appendLog(true, g.number, record.Append())
	if err := g.storage.Append(entries); err != nil {
		panic(err)
	}
	g.addKeys(entries)
	n.count(func(c *Counts) { c.Entries += uint64(len(entries)) })
}

// trim forgets groups that were finished long ago and removes old segments of the log on disk, every trimTicks calls. It does
// not wait for the disk.
func (n *Node) trim() {
	n.ticks++
	if n.ticks%trimTicks != 0 || n.inactive {
		return
	}
	for id, f := range n.finished {
		if time.Since(f.at) > n.cfg.RememberFinished {
			delete(n.finished, id)
		}
	}
	oldest := n.lastNumber + 1
	for _, g := range n.groups {
		oldest = min(oldest, g.number)
	}
	if oldest == n.trimmedTo.Load() {
		return
	}
	// Records in the segments to be removed that are still needed are first written again.
	mark := (&wire.Record{Kind: wire.DiskID, Number: n.lastNumber, Disk: n.diskID}).Append()
	records := [][]byte{mark}
	for _, f := range n.finished {
		records = append(records, f.record())
	}
	rewritten := n.cfg.Disk.Append(0, records...)
	n.background.Go(func() {
		err := rewritten.Wait()
		if err == nil {
			err = n.cfg.Disk.Trim(oldest, mark)
		}
		if err != nil {
			n.log.Warn("old segments of the groups' log could not be removed", "err", err)
			return
		}
		n.trimmedTo.Store(oldest)
	})
}
