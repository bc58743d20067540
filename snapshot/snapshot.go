// Package snapshot stores a scheduler's small state on disk: atomically, in two generations, at an interval and whenever a
// change must be durable before it is acknowledged. It owns the folder and the times of the writes, and it determines what is
// on disk when Save returns. It does not judge the state: it reports what it has found, and what was wrong with the files.
//
// # Guarantees
//
// After a Save without an error, the next Open finds all that was in memory when Save was called, even after a crash or power
// loss, unless the file is damaged later; then Open finds the previous generation and reports the damage. After a Save with an
// error the state may be found or not. A folder that was rolled back as a whole looks like one that was left in that state:
// only peers that have seen later states can detect this (see core/recovery).
//
// # Format
//
// Two files, a.state and b.state, hold the last two generations. The next generation is written to a temporary file, synced,
// and renamed over the older of the two; then the folder is synced. So the latest generation on disk is never modified. A file
// that could not be read is renamed to NAME.aside before it is replaced, so that it can be examined, or read again after a
// return to the version that wrote it; one such file is kept for each of the two. So the folder holds at most five files of
// MaxBytes.
package snapshot

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"sync"
	"time"

	"laddertide/internal/uptime"
	"laddertide/ledger"
	wire "laddertide/wire/snapshot"
)

const (
	slots        = 2
	newName      = "state.new"
	asideSuffix  = ".aside"
	defaultBytes = 4 << 20 // thousands of providers and bans
	defaultEvery = 5 * time.Second
	logInterval  = time.Minute // minimum interval of repeated log lines
)

var fileNames = [slots]string{"a.state", "b.state"}

// Options configure Open.
type Options struct {
	Dir           string // must exist
	Cluster, Name string // owner of the state; a state of another owner is not used
	MaxBytes      int    // of a generation; 0: 4 MB; MaxFile of wire/snapshot at most
	Log           *slog.Logger

	FS ledger.FS // the folder; nil: the system's at Dir
}

// Contents is the contents of a folder.
type Contents struct {
	State      *wire.State // nil: there is none, or none is usable
	Generation uint64
	At         wire.Clock // when it was read; compare with State.Written
	// MayBeOlder is set if State is not, or may not be, the last state on disk: acknowledged changes may be missing.
	MayBeOlder bool
	FileErrors []FileError // files that could not be used
}

// FileError describes why a file could not be used.
type FileError struct {
	File       string
	Reason     wire.Reason
	Generation uint64 // 0: unknown
	Err        error
}

func (f FileError) String() string { return f.File + ": " + f.Err.Error() }

// Errors of Save.
var (
	ErrTimeout = errors.New("snapshot: the disk does not answer in time")
	ErrClosed  = errors.New("snapshot: closed")
)

// Stats are counters since the start.
type Stats struct {
	Writes, Failures  int
	Bytes             int64         // of all writes
	LastBytes         int           // bytes of the last write
	LastDuration      time.Duration // of the last write
	WithoutCheckpoint int           // writes without the decision module's checkpoint, as it exceeded the size limit
}

// pendingSave is a write that callers of Save wait for.
type pendingSave struct {
	done chan struct{}
	err  error // set before done is closed
}

// Store is a folder that this process has locked. Its methods are safe for concurrent use.
type Store struct {
	opt  Options
	fs   ledger.FS
	lock ledger.Lock
	log  *slog.Logger

	wake, stop, writerDone chan struct{}

	mu      sync.Mutex   // guards the following fields; never held during file access or compose
	pending *pendingSave // next write; nil: nobody waits for it
	begun   bool
	closing bool
	stats   Stats

	// Used by the writer goroutine only.
	generation        uint64 // of the latest state on disk
	nextSlot          int    // index of the file that the next write replaces
	unreadable        [slots]bool
	buf               []byte
	lastFailureLog    time.Time
	failing           bool
	lastCheckpointLog time.Time
}

// Open locks a folder for this process and reads its state. Missing or unusable files are no error but part of the result; an
// error means that the folder cannot be used at all.
func Open(opt Options) (*Store, Contents, error) {
	if opt.FS == nil {
		opt.FS = ledger.Dir(opt.Dir)
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.MaxBytes <= 0 {
		opt.MaxBytes = defaultBytes
	}
	opt.MaxBytes = min(opt.MaxBytes, wire.MaxFile)
	lock, err := opt.FS.Lock()
	if err != nil {
		return nil, Contents{}, fmt.Errorf("snapshot: %w", err)
	}
	if _, err := opt.FS.List(); err != nil {
		return nil, Contents{}, errors.Join(fmt.Errorf("snapshot: %w", err), lock.Close())
	}
	s := &Store{opt: opt, fs: opt.FS, lock: lock, log: opt.Log, wake: make(chan struct{}, 1), stop: make(chan struct{}),
		writerDone: make(chan struct{})}
	all := readAll(opt.FS)
	found := chooseLatest(&all, func(st *wire.State) error {
		if st.Cluster != opt.Cluster || st.Name != opt.Name {
			return fmt.Errorf("snapshot: of %q in cluster %q", st.Name, st.Cluster)
		}
		return nil
	})
	found.At = wire.Clock(uptime.Now())
	for i := range all {
		s.generation = max(s.generation, all[i].generation)
		s.unreadable[i] = all[i].err != nil && !errors.Is(all[i].err, fs.ErrNotExist)
		if found.State != nil && found.State == all[i].state {
			s.nextSlot = (i + 1) % slots
		}
	}
	// A killed process may have left a rename that is not on disk, and a state that is acted upon must not be lost later.
	if err := opt.FS.Sync(); err != nil {
		s.log.Warn("the folder of snapshots cannot be synced", "err", err)
	}
	return s, found, nil
}

// Inspect reads the contents of a folder of any owner, for tools. It takes no lock, so the folder may be in use, and changes
// nothing.
func Inspect(dir string) (Contents, error) {
	folder := ledger.Dir(dir)
	if _, err := folder.List(); err != nil {
		return Contents{}, fmt.Errorf("snapshot: %w", err)
	}
	all := readAll(folder)
	found := chooseLatest(&all, func(*wire.State) error { return nil })
	found.At = wire.Clock(uptime.Now())
	return found, nil
}

// generationFile is the result of reading one of the two files.
type generationFile struct {
	generation uint64
	state      *wire.State
	err        error
}

func readAll(dir ledger.FS) (all [slots]generationFile) {
	for i, name := range fileNames {
		b, err := readFile(dir, name)
		if err == nil {
			all[i].generation, all[i].state, err = wire.Read(b)
		}
		all[i].err = err
	}
	return all
}

func readFile(dir ledger.FS, name string) ([]byte, error) {
	f, err := dir.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size > wire.MaxFile {
		return nil, &wire.FileError{Reason: wire.TooLarge, Err: fmt.Errorf("snapshot: %d bytes, and %d are the most", size, wire.MaxFile)}
	}
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); n < len(b) {
		return nil, fmt.Errorf("snapshot: %d of %d bytes read: %w", n, len(b), err)
	}
	return b, nil
}

// chooseLatest selects the latest usable generation. It is certainly the latest one written only if the previous one is there, too,
// or there never was a previous one. mine returns an error for the state of another owner.
func chooseLatest(all *[slots]generationFile, checkOwner func(*wire.State) error) (f Contents) {
	for i := range all {
		o := &all[i]
		if o.err == nil {
			if err := checkOwner(o.state); err != nil {
				o.state, o.err = nil, &wire.FileError{Reason: wire.Foreign, Err: err}
			}
		}
		if o.err == nil && o.generation > f.Generation {
			f.State, f.Generation = o.state, o.generation
		}
	}
	for i := range all {
		o, reason := &all[i], wire.ReasonOf(all[i].err)
		if errors.Is(o.err, fs.ErrNotExist) {
			if reason = wire.Missing; f.Generation <= 1 && all[1-i].err == nil || errors.Is(all[1-i].err, fs.ErrNotExist) {
				continue // at most one generation was ever written
			}
		}
		if reason == wire.NoFault {
			continue
		}
		f.FileErrors = append(f.FileErrors, FileError{fileNames[i], reason, o.generation, o.err})
		f.MayBeOlder = f.MayBeOlder || o.generation == 0 || o.generation > f.Generation
	}
	return f
}

// Start starts the writer goroutine, which writes the state returned by compose at the interval every and for each Save.
// compose must not need a lock that a caller of Save holds, and must return slices that do not change any more; the store sets
// Cluster, Name and Written. Only the first call has an effect.
func (s *Store) Start(every time.Duration, compose func() wire.State) {
	if every <= 0 {
		every = defaultEvery
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun || s.closing {
		return
	}
	s.begun = true
	go s.runWriter(every, compose)
}

// Save returns once the state in memory at the time of the call is on disk, or the write has failed, or at the time by. Calls
// during a write share the next one. A call before the writer is started waits for it.
func (s *Store) Save(by time.Time) error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return ErrClosed
	}
	if s.pending == nil {
		s.pending = &pendingSave{done: make(chan struct{})}
	}
	r := s.pending
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	select {
	case <-r.done:
		return r.err
	case <-timer.C:
		return ErrTimeout
	}
}

// Stats returns the current counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close stops the writer and unlocks the folder. Waiting calls of Save fail, so callers save before. If the disk does not
// answer until by, the folder stays locked until the process ends.
func (s *Store) Close(by time.Time) error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return nil
	}
	s.closing = true
	begun, r := s.begun, s.pending
	s.pending = nil
	s.mu.Unlock()
	close(s.stop)
	if r != nil {
		r.err = ErrClosed
		close(r.done)
	}
	if begun {
		timer := time.NewTimer(time.Until(by))
		defer timer.Stop()
		select {
		case <-s.writerDone:
		case <-timer.C:
			return ErrTimeout
		}
	}
	return s.lock.Close()
}

// runWriter is the writer goroutine.
func (s *Store) runWriter(every time.Duration, compose func() wire.State) {
	defer close(s.writerDone)
	timer := time.NewTimer(every)
	defer timer.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-s.wake:
		case <-timer.C:
		}
		s.mu.Lock()
		r := s.pending
		s.pending = nil
		closing := s.closing
		s.mu.Unlock()
		if closing {
			return
		}
		began := time.Now()
		n, err := s.write(compose)
		if _, said := errors.AsType[*wire.FileError](err); err != nil && !said {
			err = fmt.Errorf("snapshot: %w", err)
		}
		s.recordWrite(n, time.Since(began), err)
		if r != nil {
			r.err = err
			close(r.done)
		}
		timer.Reset(every)
	}
}

// write writes a state to disk.
func (s *Store) write(compose func() wire.State) (int, error) {
	if err := s.lock.Check(); err != nil {
		return 0, err
	}
	st := compose()
	st.Cluster, st.Name, st.Written = s.opt.Cluster, s.opt.Name, wire.Clock(uptime.Now())
	b, err := wire.Append(s.buf[:0], s.generation+1, &st, s.opt.MaxBytes)
	if wire.ReasonOf(err) == wire.TooLarge {
		// The decision module can learn its estimates again; bans would be lost.
		st.Estimates = wire.Estimates{}
		if b, err = wire.Append(s.buf[:0], s.generation+1, &st, s.opt.MaxBytes); err == nil {
			s.recordWithoutCheckpoint()
		}
	}
	if err != nil {
		return 0, err
	}
	s.buf = b
	f, err := s.fs.Create(newName, int64(len(b)))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	if n, err := f.WriteAt(b, 0); err != nil || n < len(b) {
		return 0, fmt.Errorf("%d of %d bytes written: %w", n, len(b), err)
	}
	if err := f.Sync(); err != nil {
		return 0, err
	}
	if s.unreadable[s.nextSlot] {
		if err := s.fs.Rename(fileNames[s.nextSlot], fileNames[s.nextSlot]+asideSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return 0, err
		}
		s.unreadable[s.nextSlot] = false
	}
	if err := s.fs.Rename(newName, fileNames[s.nextSlot]); err != nil {
		return 0, err
	}
	if err := s.fs.Sync(); err != nil {
		return 0, err
	}
	s.generation++
	s.nextSlot = (s.nextSlot + 1) % slots
	return len(b), nil
}

// recordWithoutCheckpoint counts and logs a write without the checkpoint.
func (s *Store) recordWithoutCheckpoint() {
	s.mu.Lock()
	s.stats.WithoutCheckpoint++
	s.mu.Unlock()
	if now := time.Now(); now.Sub(s.lastCheckpointLog) >= logInterval {
		s.lastCheckpointLog = now
		s.log.Warn("snapshot written without the decision module's checkpoint, which would exceed the size limit", "max_bytes", s.opt.MaxBytes)
	}
}

// recordWrite counts a write, and logs when writes fail and when they succeed again.
func (s *Store) recordWrite(n int, took time.Duration, err error) {
	s.mu.Lock()
	if err == nil {
		s.stats.Writes++
		s.stats.Bytes += int64(n)
		s.stats.LastBytes, s.stats.LastDuration = n, took
	} else {
		s.stats.Failures++
	}
	s.mu.Unlock()
	switch now := time.Now(); {
	case err != nil && now.Sub(s.lastFailureLog) >= logInterval:
		s.lastFailureLog, s.failing = now, true
		s.log.Error("the snapshot cannot be written; trying again", "err", err)
	case err == nil && s.failing:
		s.failing = false
		s.log.Info("the snapshot can be written again")
	}
}
