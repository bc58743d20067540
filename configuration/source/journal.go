package source

import (
	"fmt"
	"sync"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"laddertide/ledger"
	wire "laddertide/wire/configuration"
)

// Log is the log on disk of a member. See [ledger.Store].
type Log interface {
	Append(seq uint64, records ...[]byte) ledger.Commit
	AppendLazy(seq uint64, records ...[]byte)
	Trim(oldest uint64, mark []byte) error
	Replay(each func([]byte) error, damaged func(ledger.Damage)) error
	Close() error
}

// Limits of the log. A checkpoint holds a document, the history and the uncommitted entries, which is well under a segment.
const (
	maxLedgerBytes     = 64 << 20 // on disk
	checkpointInterval = 4 << 20  // of entries, after which a checkpoint is written and the log before it is removed
	maxRecordBytes     = 256 << 10
	maxPendingBytes    = 2 << 20 // of records being written: half of what the ledger accepts
)

// journal is a member's log on disk: a checkpoint, and the hard states and entries since.
type journal struct {
	checkpointNumber uint64 // of the newest checkpoint
	diskNumber       uint64 // identifies this disk
	logBytes         int    // of entries since the checkpoint
	pendingWrites    []ledger.Commit
	pendingBytes     int   // of pendingWrites
	diskError        error // the first error of the disk; the node must not write any more
	trimming         sync.WaitGroup
}

// contents is the log as read from disk.
type contents struct {
	checkpointNumber uint64 // the highest number of a checkpoint
	checkpoint       wire.Record
	hard             *pb.HardState
	entries          []*pb.Entry
	lost             bool // the disk was empty, or data that was promised is missing
}

// replay reads the log.
func (n *node) replay() (contents, error) {
	var f contents
	err := n.disk.Replay(func(b []byte) error {
		r, err := wire.ReadRecord(b)
		switch {
		case err != nil:
			n.log.Error("a record on disk cannot be decoded", "err", err)
			f.lost = true
		case r.Kind == wire.Checkpoint: // replaces everything before it, so earlier damage does not matter
			f = contents{checkpoint: r, checkpointNumber: max(f.checkpointNumber, r.Number)}
			return f.add(&r)
		case r.Number != f.checkpoint.Number:
			n.log.Error("a checkpoint is missing on disk", "number", r.Number)
			f.lost, f.checkpointNumber = true, max(f.checkpointNumber, r.Number)
		default:
			return f.add(&r)
		}
		return nil
	}, func(d ledger.Damage) {
		n.log.Error("the log on disk is damaged", "segment", d.Segment, "offset", d.Offset, "bytes", d.Bytes, "why", d.Reason)
		f.lost = f.lost || !d.Harmless
	})
	if err != nil {
		return f, fmt.Errorf("configuration: %w", err)
	}
	f.lost = f.lost || f.checkpoint.Disk == 0
	f.cutAtGap()
	return f, nil
}

// add adds a record's hard state and entries.
func (f *contents) add(r *wire.Record) error {
	if len(r.HardState) > 0 {
		f.hard = &pb.HardState{}
		if err := proto.Unmarshal(r.HardState, f.hard); err != nil {
			return fmt.Errorf("configuration: a hard state on disk: %w", err)
		}
	}
	for _, raw := range r.Entries {
		e := &pb.Entry{}
		if err := proto.Unmarshal(raw, e); err != nil {
			return fmt.Errorf("configuration: an entry on disk: %w", err)
		}
		// Entries of a later leader replace those that had no majority.
		for len(f.entries) > 0 && f.entries[len(f.entries)-1].GetIndex() >= e.GetIndex() {
			f.entries = f.entries[:len(f.entries)-1]
		}
		f.entries = append(f.entries, e)
	}
	return nil
}

// cutAtGap drops the entries after a missing one: any of the writes in progress when the machine crashed may be missing, and no entry
// after such a write was promised.
func (f *contents) cutAtGap() {
	for i, e := range f.entries {
		if i > 0 && e.GetIndex() != f.entries[i-1].GetIndex()+1 {
			f.entries = f.entries[:i]
			return
		}
	}
}

// write writes to disk what must be there before messages are sent.
func (n *node) write(ready raft.Ready) error {
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		n.hardState = ready.HardState
		n.storage.SetHardState(n.hardState)
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		return n.installSnapshot(ready)
	}
	if len(ready.Entries) > 0 {
		n.writeEntries(ready.Entries)
		if err := n.storage.Append(ready.Entries); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
	}
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		r := wire.Record{Kind: wire.HardState, Number: n.checkpointNumber, HardState: marshal(n.hardState)}
		if ready.MustSync {
			n.appendRecord(r.Append())
		} else {
			n.disk.AppendLazy(n.checkpointNumber, r.Append())
		}
	}
	return n.awaitWrites()
}

// installSnapshot replaces the log by a leader's snapshot.
func (n *node) installSnapshot(ready raft.Ready) error {
	if err := n.restore(ready.Snapshot); err != nil {
		return err
	}
	if err := n.storage.Append(ready.Entries); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return n.writeCheckpoint(ready.Snapshot)
}

func (n *node) writeEntries(entries []*pb.Entry) {
	r, size := wire.Record{Kind: wire.Entries, Number: n.checkpointNumber}, 0
	for _, e := range entries {
		b := marshal(e)
		if size > 0 && size+len(b) > maxRecordBytes {
			n.appendRecord(r.Append())
			r.Entries, size = nil, 0
		}
		r.Entries, size = append(r.Entries, b), size+len(b)
		n.logBytes += len(b)
	}
	n.appendRecord(r.Append())
}

// appendRecord appends a record that must be on disk before messages are sent.
func (n *node) appendRecord(record []byte) {
	if n.pendingBytes > 0 && n.pendingBytes+len(record) > maxPendingBytes {
		n.awaitWrites()
	}
	n.pendingWrites = append(n.pendingWrites, n.disk.Append(n.checkpointNumber, record))
	n.pendingBytes += len(record)
}

// awaitWrites waits for all writes in progress.
func (n *node) awaitWrites() error {
	for _, c := range n.pendingWrites {
		if err := c.Wait(); err != nil && n.diskError == nil {
			n.diskError = fmt.Errorf("configuration: the log cannot be written: %w", err)
		}
	}
	n.pendingWrites, n.pendingBytes = nil, 0
	return n.diskError
}

// checkpoint writes the current state to disk, and removes the log before it.
func (n *node) checkpoint() error {
	if first, _ := n.storage.Snapshot(); n.appliedIndex <= first.GetMetadata().GetIndex() {
		return nil
	}
	state := n.machine.Snapshot()
	snapshot, err := n.storage.CreateSnapshot(n.appliedIndex, n.confState, state.Append())
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if first, _ := n.storage.FirstIndex(); n.appliedIndex > first+trailingEntries {
		if err := n.storage.Compact(n.appliedIndex - trailingEntries); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
	}
	return n.writeCheckpoint(snapshot)
}

// writeCheckpoint writes one record with the complete state: after a crash either this record or the previous checkpoint is intact.
func (n *node) writeCheckpoint(snapshot *pb.Snapshot) error {
	r := wire.Record{Kind: wire.Checkpoint, Number: n.checkpointNumber + 1, Disk: n.diskNumber}
	if snapshot != nil {
		r.Snapshot = marshal(snapshot)
	}
	if n.hardState != nil {
		r.HardState = marshal(n.hardState)
	}
	after, last := snapshot.GetMetadata().GetIndex()+1, uint64(0)
	if n.storage != nil {
		last, _ = n.storage.LastIndex()
	}
	if last >= after {
		entries, err := n.storage.Entries(after, last+1, ^uint64(0))
		if err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		for _, e := range entries {
			r.Entries = append(r.Entries, marshal(e))
		}
	}
	if err := n.awaitWrites(); err != nil {
		return err
	}
	n.checkpointNumber++
	n.logBytes = 0
	n.appendRecord(r.Append())
	if err := n.awaitWrites(); err != nil {
		return err
	}
	n.trimming.Wait()
	number := n.checkpointNumber
	n.trimming.Go(func() { // Trim waits for the disk
		if err := n.disk.Trim(number, nil); err != nil {
			n.log.Warn("old parts of the log are not removed", "err", err)
		}
	})
	return nil
}

// marshal encodes a message of the library. The message was created here or decoded before, so encoding cannot fail.
func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}
