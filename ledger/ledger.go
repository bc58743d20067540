// Package ledger implements the storage of durable jobs: an append-only log of records in a folder, split into segments
// of bounded size, the oldest of which are removed once they are no longer needed. The package owns the folder, the file
// format, and the guarantee of what is on disk when a [Commit] is done. It does not interpret records, has no index and
// never rewrites a record in place: a process reads the whole log once, when it starts.
//
// Each record carries the number of its job. Job numbers only grow, and [Store.Trim] decides by them alone which
// segments are still needed. A single goroutine writes: everything appended while it is busy shares its next write and
// sync (group commit).
//
// # Guarantees
//
// If a Commit is done without an error, the next Replay reads its records, in the order of the calls of Append. If it
// failed, none of its records are read, with one exception: if the error is [ErrUncertain] and the process ends before
// the store accepts records again, any of them may be read. Of the records being written when the machine crashes, any
// subset may be read. A record that was on disk and cannot be read is reported as [Damage]; the records around it are
// still read. The only damage that is not reported is damage to the last write before a crash, which is
// indistinguishable from a write that was in progress.
package ledger

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// Commit represents the write of the records of one call of Append.
type Commit interface {
	// Wait blocks until these records, and all that were appended before them, are on disk to the degree that the sync
	// mode guarantees, or the write has failed. It may be called concurrently and repeatedly.
	Wait() error
	// Done returns a channel that is closed when Wait would not block.
	Done() <-chan struct{}
}

// The sync modes: what is guaranteed once a Commit is done.
const (
	SyncBatch = "batch" // its records are on disk; records appended during a sync share the next one
	SyncEach  = "each"  // its records are on disk; each Append has a sync of its own
	SyncNone  = "none"  // its records were written to the page cache, which a crash of the machine may lose
)

// Options configure a ledger.
type Options struct {
	Dir      string // must exist
	Sync     string // a sync mode; default Batch
	MaxBytes int64  // limit of the size on disk; default 256 MB
	Log      *slog.Logger
	// Written is called with each record that is on disk and where: those that Replay reads, right after they were replayed, and each
	// new one before its Commit is done. A record that is written again is reported again. Nil: not called. The record is valid only
	// during the call, which must not call the store.
	Written func(at Position, record []byte)

	FS            FS            // the folder; nil: the one at the path Dir
	RetryInterval time.Duration // interval of attempts to write after a failure; default 100 ms
	MarkerDelay   time.Duration // idle time after which a sync marker is written; default 200 ms; negative: never
}

const (
	defaultMaxBytes      = 256 << 20
	maxSegmentBytes      = 16 << 20
	minSegmentBytes      = 64 << 10
	minSegments          = 8       // at least so many fit into MaxBytes; one of them is reserved for the writes of Trim, which frees space
	maxPendingBytes      = 4 << 20 // bytes queued or being written
	maxGroupBytes        = 1 << 20 // bytes that share a write
	defaultRetryInterval = 100 * time.Millisecond
	defaultMarkerDelay   = 200 * time.Millisecond
	logInterval          = time.Minute     // at most one report of a failure of the disk per interval
	closeTimeout         = 2 * time.Second // limit for the last writes
	trimTimeout          = 2 * time.Second // limit for writing the mark, and again for the removal of segments
	lazyDelay            = 20 * time.Millisecond
)

var (
	ErrFull   = errors.New("ledger: the size limit is reached")
	ErrBusy   = errors.New("ledger: too many bytes are waiting to be written")
	ErrClosed = errors.New("ledger: closed")
	ErrRecord = errors.New("ledger: the record is empty or larger than a segment can hold")
	// ErrUncertain is wrapped by the error of a Commit whose records may be on disk though the write failed: if the
	// process ends before the disk accepts writes again, they may be read.
	ErrUncertain = errors.New("ledger: the failed write could not be undone yet")

	errNotReplayed = errors.New("ledger: not replayed yet")
	errDiskTimeout = errors.New("ledger: the disk does not answer in time")
)

// Stats are the counters of a ledger since it was opened.
type Stats struct {
	Appends       uint64 // committed without an error
	Syncs         uint64
	Bytes         uint64 // written
	FailedAppends uint64 // Appends that failed
	WriteFailures uint64 // writes or syncs that failed, or segments that could not be created
	Recovered     uint64 // times that the disk accepted writes again after a failure
	Torn          int    // torn writes found by Replay: in progress when a previous process or the machine crashed
}

// Position is the place of a record in the ledger. It stays valid until the record is reported to Options.Written at another one.
type Position struct {
	Segment uint64
	Offset  int64
}

// record is a record with the number of its job.
type record struct {
	seq  uint64
	data []byte
}

// segment describes a segment file on disk.
type segment struct {
	number uint64
	end    int64 // of the valid data
	synced int64 // data before this offset is known to be on disk
	maxSeq uint64
}

// Store is a ledger. Its methods are safe for concurrent use. Only Replay, Snapshot and the Wait of a Commit can block
// for as long as a disk hangs; the others block no longer than they document or are told.
type Store struct {
	opt          Options
	fs           FS
	lock         Lock
	log          *slog.Logger
	segmentBytes int64

	reading     chan struct{} // holds a token while Read reads
	wake        chan struct{} // wakes the writer
	writerEnded chan struct{}

	mu              sync.Mutex // guards the fields below; never held during file operations
	segments        []*segment // by number
	lastIsOpen      bool       // the last segment is the one being written
	queue           []*group
	pendingBytes    int64  // bytes of the queued groups and the one in flight
	inFlight        *group // the group being written
	writeErr        error  // the failure that prevents writing; nil if there is none
	closing         bool
	replayCalled    bool
	replayed        bool // Replay has returned without an error
	activeSnapshots int  // snapshots in progress; no segment is removed meanwhile
	removing        bool
	stats           Stats

	// Used by the writer alone, once Replay has ended.
	file           File     // of the last segment, if lastIsOpen
	last           *segment // the last segment
	header         header   // of the last segment
	fileSize       int64    // of the file on disk
	hasInvalidTail bool     // the file may hold invalid data after the segment's end
	unsyncedTail   []record // to be written again into the next segment: not known to be on disk
	buf            []byte
	offsets        []int64 // of the records of the last write in their segment
	markerWritten  bool    // nothing was written since the last sync marker
	nextNumber     uint64  // number of the next segment
	syncPrevious   bool    // segments of a previous process may not be on disk as they were read
	lastLogged     time.Time
	failureLogged  bool // for the current failure
}

// Open locks the folder and opens the ledger in it. It fails if another process has the folder locked.
func Open(opt Options) (*Store, error) {
	if opt.FS == nil {
		opt.FS = Dir(opt.Dir)
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.MaxBytes <= 0 {
		opt.MaxBytes = defaultMaxBytes
	}
	if opt.RetryInterval <= 0 {
		opt.RetryInterval = defaultRetryInterval
	}
	if opt.MarkerDelay == 0 {
		opt.MarkerDelay = defaultMarkerDelay
	}
	switch opt.Sync {
	case "":
		opt.Sync = SyncBatch
	case SyncBatch, SyncEach, SyncNone:
	default:
		return nil, fmt.Errorf("ledger: unknown sync mode %q: want batch, each or none", opt.Sync)
	}
	lock, err := opt.FS.Lock()
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	return &Store{
		opt: opt, fs: opt.FS, lock: lock, log: opt.Log,
		segmentBytes: max(minSegmentBytes, min(maxSegmentBytes, opt.MaxBytes/minSegments)),
		reading:      make(chan struct{}, 1),
		wake:         make(chan struct{}, 1), writerEnded: make(chan struct{}),
	}, nil
}

// Replay calls each for all records, in order. If each returns an error, Replay stops and returns it. Replay must be
// called once, before the first Append. Damage is reported to damaged in its place among the records; damaged may be
// nil. A record is valid only during the call of each.
func (s *Store) Replay(each func(record []byte) error, damaged func(Damage)) error {
	s.mu.Lock()
	calledBefore := s.replayCalled || s.closing
	s.replayCalled = true
	s.mu.Unlock()
	if calledBefore {
		return errors.New("ledger: replayed twice, or closed")
	}
	names, err := s.fs.List()
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			s.fs.Remove(name) // incomplete; if the removal fails, the file is overwritten later
		}
	}
	all, err := openSegments(s.fs)
	if err != nil {
		return withPrefix(err)
	}
	defer closeAll(all)
	w, err := walkSegments(all, true, func(at Position, _ uint64, r []byte) error {
		err := each(r)
		if err == nil && s.opt.Written != nil {
			s.opt.Written(at, r)
		}
		return err
	}, damaged)
	if err != nil {
		return err
	}
	if w.torn > 0 {
		s.log.Info("the ledger's last write was cut short", "pieces", w.torn)
	}
	s.nextNumber, s.unsyncedTail = 1, w.tail
	kept := make([]*segment, 0, len(all))
	for _, f := range all {
		g := &segment{number: f.number, end: f.end, synced: f.synced, maxSeq: f.maxSeq}
		if f.last && f.headerOK {
			g.end = f.synced // the valid records after it are written again into the next segment
		}
		if !f.headerOK {
			g.synced = g.end
		}
		kept = append(kept, g)
		s.nextNumber = f.number + 1
	}
	s.syncPrevious = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments, s.replayed, s.stats.Torn = kept, true, w.torn
	if !s.closing {
		go s.run()
	}
	return nil
}

// withPrefix prefixes an error with the package name unless it has the prefix already.
func withPrefix(err error) error {
	if err == nil || strings.HasPrefix(err.Error(), "ledger: ") {
		return err
	}
	return fmt.Errorf("ledger: %w", err)
}

// group is a set of records that share a write and a sync.
type group struct {
	records    []record
	bytes      int64 // size of the frames
	appends    uint64
	forceSync  bool // in every sync mode
	useReserve bool // may use the reserved space, as it leads to the removal of segments

	lazy bool      // nobody waits for it
	due  time.Time // if lazy: the latest time to write it

	done  chan struct{}
	err   error // once done
	ended bool  // done is closed; guarded by Store.mu
}

func (g *group) Done() <-chan struct{} { return g.done }

func (g *group) Wait() error {
	<-g.done
	return g.err
}

func endedGroup(err error) *group {
	g := &group{done: make(chan struct{}), err: err, ended: true}
	close(g.done)
	return g
}

var committedGroup = endedGroup(nil)

// Append appends records of the job with the number seq; 0 means that they belong to no job. Without records it returns
// a Commit for all that was appended before. It never waits for the disk; records are on disk in the order of the calls.
// The caller must not change the records until the Commit is done.
func (s *Store) Append(seq uint64, records ...[]byte) Commit {
	g := &group{records: make([]record, len(records)), appends: 1}
	for i, r := range records {
		if len(r) == 0 {
			return s.failedCommit(ErrRecord)
		}
		g.records[i] = record{seq, r}
		g.bytes += frameHeadBytes + int64(len(r))
	}
	return s.append(g)
}

// AppendLazy appends records that nobody waits for: they are written together with the next records of Append, or after
// a short delay, in the order of the calls.
func (s *Store) AppendLazy(seq uint64, records ...[]byte) {
	g := &group{records: make([]record, len(records)), appends: 1, lazy: true, due: time.Now().Add(lazyDelay)}
	for i, r := range records {
		if len(r) == 0 {
			s.failedCommit(ErrRecord)
			return
		}
		g.records[i] = record{seq, r}
		g.bytes += frameHeadBytes + int64(len(r))
	}
	if len(records) > 0 {
		s.append(g)
	}
}

func (s *Store) failedCommit(err error) Commit {
	s.mu.Lock()
	s.stats.FailedAppends++
	s.mu.Unlock()
	return endedGroup(err)
}

func (s *Store) append(g *group) Commit {
	if g.bytes > s.segmentBytes-firstFrameOffset-frameHeadBytes || g.bytes > maxRecordBytes {
		return s.failedCommit(ErrRecord)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	switch {
	case s.closing:
		err = ErrClosed
	case !s.replayed:
		err = errNotReplayed
	case s.writeErr != nil:
		err = s.writeErr
	case s.pendingBytes+g.bytes > maxPendingBytes:
		err = ErrBusy
	}
	if err != nil {
		s.stats.FailedAppends++
		return endedGroup(err)
	}
	if len(g.records) == 0 {
		switch n := len(s.queue); {
		case n > 0:
			if s.queue[n-1].lazy {
				s.queue[n-1].lazy = false
				s.wakeWriter()
			}
			return s.queue[n-1]
		case s.inFlight != nil:
			return s.inFlight
		case s.lastIsOpen:
			return committedGroup
		}
	}
	s.pendingBytes += g.bytes
	if n := len(s.queue); n > 0 && (s.opt.Sync != SyncEach || s.queue[n-1].lazy) && !g.useReserve && !s.queue[n-1].useReserve &&
		s.queue[n-1].bytes+g.bytes <= min(maxGroupBytes, s.segmentBytes-firstFrameOffset-frameHeadBytes) {
		last := s.queue[n-1]
		last.records = append(last.records, g.records...)
		last.bytes += g.bytes
		last.appends++
		if last.lazy && !g.lazy {
			last.lazy = false
			s.wakeWriter()
		}
		return last
	}
	g.done = make(chan struct{})
	s.queue = append(s.queue, g)
	s.wakeWriter()
	return g
}

func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// finish completes a group, unless Close has already done so. Called under mu.
func (s *Store) finish(g *group, err error) {
	if g.ended {
		return
	}
	g.ended, g.err = true, err
	s.pendingBytes -= g.bytes
	if err == nil {
		s.stats.Appends += g.appends
	} else {
		s.stats.FailedAppends += g.appends
	}
	close(g.done)
}

// Size returns the number of bytes in the segments and in the queue.
func (s *Store) Size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usedBytes() + s.pendingBytes
}

func (s *Store) usedBytes() (n int64) {
	for _, g := range s.segments {
		n += g.end
	}
	return n
}

// ErrUnreadable is the error of Read for a record that is not, or no longer, at a position.
var ErrUnreadable = errors.New("ledger: no valid record there")

// Read returns the record of a job at a position. It blocks until by at the latest. One record is read at a time.
func (s *Store) Read(seq uint64, at Position, by time.Time) ([]byte, error) {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	select {
	case s.reading <- struct{}{}:
	case <-timer.C:
		return nil, errDiskTimeout
	}
	type result struct {
		record []byte
		err    error
	}
	done := make(chan result, 1)
	go func() {
		defer func() { <-s.reading }()
		record, err := s.readRecord(seq, at)
		done <- result{record, err}
	}()
	select {
	case r := <-done:
		return r.record, r.err
	case <-timer.C:
		return nil, errDiskTimeout
	}
}

// Stats returns the current counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Trim removes the leading segments that hold no record of a job with the number oldest or above. If there are any, it
// first writes the record mark and waits until it is on disk, in every sync mode. It blocks for a few seconds at most;
// segments that are not removed by then are removed later.
func (s *Store) Trim(oldest uint64, mark []byte) error {
	s.mu.Lock()
	n := 0
	for n < len(s.segments) && s.segments[n].maxSeq < oldest && !(s.lastIsOpen && n == len(s.segments)-1) {
		n++
	}
	switch {
	case n == 0 || s.activeSnapshots > 0 || s.closing:
		s.mu.Unlock()
		return nil
	case s.removing:
		s.mu.Unlock()
		return errDiskTimeout
	}
	s.removing = true
	front := append([]*segment(nil), s.segments[:n]...)
	s.mu.Unlock()

	g := &group{forceSync: true, useReserve: true, appends: 1}
	if len(mark) > 0 {
		g.records = []record{{0, mark}}
		g.bytes = frameHeadBytes + int64(len(mark))
	}
	commit := s.append(g)
	result := make(chan error, 1)
	go func() {
		err := commit.Wait()
		if err == nil {
			err = s.removeSegments(front)
		}
		s.mu.Lock()
		s.removing = false
		s.mu.Unlock()
		result <- err
	}()
	timer := time.NewTimer(2 * trimTimeout)
	defer timer.Stop()
	select {
	case err := <-result:
		return err
	case <-timer.C:
		return errDiskTimeout
	}
}

// removeSegments removes segments. The removal of each is on disk before the next one is removed, so that a crash leaves no gap.
func (s *Store) removeSegments(front []*segment) error {
	for _, g := range front {
		s.mu.Lock()
		stop := s.activeSnapshots > 0 || s.segments[0] != g
		s.mu.Unlock()
		if stop {
			return nil
		}
		if err := s.fs.Remove(segmentName(g.number)); err != nil && !notExist(err) {
			return withPrefix(err)
		}
		if err := s.fs.Sync(); err != nil {
			return withPrefix(err)
		}
		s.mu.Lock()
		s.segments = s.segments[1:]
		s.mu.Unlock()
	}
	return nil
}

// Close writes the queued records, writes a sync marker and releases the lock of the folder. If the disk does not
// complete this within a few seconds, the queued records fail and the folder stays locked until the process ends.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return nil
	}
	s.closing = true
	running := s.replayed
	s.mu.Unlock()
	if running {
		s.wakeWriter()
		timer := time.NewTimer(closeTimeout)
		defer timer.Stop()
		select {
		case <-s.writerEnded:
		case <-timer.C:
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.inFlight != nil {
				s.finish(s.inFlight, fmt.Errorf("%w: %w", ErrUncertain, errDiskTimeout))
			}
			for _, g := range s.queue {
				s.finish(g, errDiskTimeout)
			}
			s.queue = nil
			return errDiskTimeout
		}
	}
	s.mu.Lock()
	err := s.writeErr
	s.mu.Unlock()
	return errors.Join(err, s.lock.Close())
}

// newSalt returns a random number that makes the checksums of a segment unique to it.
func newSalt() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

var _ io.Closer = (*Store)(nil)
