// Package replica keeps ledgers on several schedulers at once. Each ledger is a raft group (by go.etcd.io/raft) of member
// schedulers, one of which leads. The package owns the groups of this process, their common log on disk, and the order of writes
// and the messages that depend on them. The meaning of records, the choice of members, and what a leader may do with the records
// are defined elsewhere (core/leases, core/groups).
//
// The members of a group never change and its log is never compacted: a scheduler creates a new group when members should change
// or the log has grown too large, and the old group ends when nothing in it is needed any more. So there are no configuration
// changes, no learners and no snapshots here.
package replica

import (
	"hash/maphash"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/ledger"
	wire "laddertide/wire/groups"
)

// Log is the log on disk that all groups of a process share. [ledger.Store] implements it.
type Log interface {
	Append(seq uint64, records ...[]byte) ledger.Commit
	AppendLazy(seq uint64, records ...[]byte)
	Trim(oldest uint64, mark []byte) error
	Size() int64
	Stats() ledger.Stats
	Close() error
	Replay(each func([]byte) error, damaged func(ledger.Damage)) error
}

// Transport sends frames to other schedulers. It must not block, and may lose any frame.
type Transport interface {
	Send(to string, f *wire.Frame)
}

// Config holds the settings and callbacks of a Node.
type Config struct {
	Name             string
	Disk             Log
	Net              Transport
	Tick             time.Duration // heartbeat interval of a leader
	ElectionTicks    int           // ticks without a leader after which members elect another one; randomised up to twice that number
	MaxPendingBytes  int64         // bytes of a group's log that may be unacknowledged by other members
	RememberFinished time.Duration // how long a finished group is remembered; its content is not needed after that
	FullSize         int64         // size of the log on disk, in bytes, from which it is reported to members as full; 0: never
	Log              *slog.Logger

	// RecordKey returns the key by which Node.MayHoldKey finds a record, or an empty string if the record does not begin a job. nil: there
	// are no keys.
	RecordKey func(record []byte) string

	// OnLead is called when this member leads a group and has everything that was ever committed in it; records returns that in
	// commit order, and may be called later. Config.OnLeadEnd is called when this member no longer leads the group, or the group has ended.
	// Both are called by one goroutine and must not block.
	OnLead    func(l *Lead, records func() [][]byte)
	OnLeadEnd func(l *Lead)
}

// Node is this process's part in all groups of which it is a member. New creates it, Run runs it, Close ends it. Its exported
// methods are safe for concurrent use.
type Node struct {
	cfg        Config
	log        *slog.Logger
	wake       chan struct{} // holds one while the queue is to be run
	stop       chan struct{} // closed by Close
	done       chan struct{} // closed when Run has returned
	closeOnce  sync.Once
	background sync.WaitGroup

	// Owned by the loop once Run has begun.
	groups        map[wire.ID]*Group
	diskID        uint64
	lastNumber    uint64 // of a group; see wire.Record
	finished      map[wire.ID]finishedGroup
	dirty         map[*Group]bool // groups that may have something ready
	outgoing      map[string]*outgoingFrame
	ticks         int
	inactive      bool // writes have failed for good, or the loop has ended: this process takes part in no group
	logFull       bool // see Config.FullSize
	fullMembers   map[string]bool
	pendingWrites []ledger.Commit
	writeErr      error

	unconfirmed      []logWrite // appended but not known to be on disk, in order
	unconfirmedBytes int
	failuresSeen     uint64 // the disk's count of failures at the last check
	diskFails        atomic.Bool

	trimmedTo atomic.Uint64 // number to which the log was last trimmed

	queueMu      sync.Mutex // guards the queue
	queue        []func()   // to be run by the loop
	queuedBytes  int64      // of records in queue
	queuedFrames int        // in queue
	queueClosed  bool

	mu         sync.Mutex // guards what follows
	counts     Counts
	loggedKeys map[wire.ID]map[uint64]struct{} // hashed keys of the records in groups' logs, committed or not
	keySeed    maphash.Seed
}

// Limits of queues and records.
const (
	maxQueued           = 1 << 16   // functions in the queue
	maxQueuedFrames     = 256       // frames received from other schedulers among them
	maxUnconfirmedBytes = 2 << 20   // bytes in progress to the disk: half of the log's limit
	maxRecordBytes      = 256 << 10 // of entries in one record on disk
	maxFrameBytes       = 1 << 20   // of messages in one frame
)

// Counts holds the current numbers of groups, and the numbers of events since the start.
type Counts struct {
	Groups, Leads                                          int
	Rounds, Entries, Committed, Frames, Malformed, Refused uint64
}

// New recovers the state that an earlier process has left on disk. The Node that it returns does nothing before Run. An error
// means that the log cannot be read or written.
func New(cfg Config) (*Node, error) {
	n := &Node{
		cfg:         cfg,
		log:         cfg.Log,
		wake:        make(chan struct{}, 1),
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
		groups:      make(map[wire.ID]*Group),
		finished:    make(map[wire.ID]finishedGroup),
		dirty:       make(map[*Group]bool),
		outgoing:    make(map[string]*outgoingFrame),
		fullMembers: make(map[string]bool),
		loggedKeys:  make(map[wire.ID]map[uint64]struct{}),
		keySeed:     maphash.MakeSeed(),
	}
	if err := n.recoverState(); err != nil {
		return nil, err
	}
	return n, nil
}

// Disk returns the ID of this process's disk.
func (n *Node) Disk() uint64 { return n.diskID }

// DiskFails reports whether writes to the log on disk fail at the moment: this process takes no part in groups until they succeed.
func (n *Node) DiskFails() bool { return n.diskFails.Load() }

// Counts returns the current counts.
func (n *Node) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// count changes the counts.
func (n *Node) count(change func(c *Counts)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.counts)
}

// Close ends the loop and waits for it. Open commits fail with ledger.ErrUncertain.
func (n *Node) Close() {
	n.closeOnce.Do(func() { close(n.stop) })
	<-n.done
	n.background.Wait()
}
