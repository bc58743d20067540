// Package recordlog stores on disk the records that a scheduler has acknowledged as a keeper, so that the next process of its name
// can answer for it after a crash.
//
// Entries are handed to the operating system and not synced: they outlive the process, but not the machine. So neither the entries
// of an earlier boot of the machine nor those of a damaged log are used. An entry has been handed to the system before the answer
// that relies on it is sent; see [Log.Append].
package recordlog

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"laddertide/ledger"
	wire "laddertide/wire/owners"
)

// Limits of the resources that a Log takes.
const (
	Descriptors = 4       // the segment that is written, the folder, its lock, and a segment that is read
	QueueBytes  = 4 << 20 // of entries on their way to the system
)

// bootFile is where Linux has the ID of the machine's boot.
const bootFile = "/proc/sys/kernel/random/boot_id"

// Options configure a Log.
type Options struct {
	Dir      string // must exist; used by this scheduler alone
	MaxBytes int64  // on disk
	Log      *slog.Logger

	FS     ledger.FS            // the folder; nil: the system's at Dir
	BootID string               // ID of the machine's boot; empty: the system's
	Clock  func() time.Duration // since that boot; nil: the system's
}

// Contents is what earlier processes have left in this boot of the machine.
type Contents struct {
	// LastState is the state of the previous process, with its former processes; nil: there is none that can be relied on.
	LastState *wire.ReplicaState
	// Changes are the records that were kept and dropped, in order. Their times count from now; expired records are left out.
	Changes []Change
}

// Change is one change of the records that were kept.
type Change struct {
	Drop   bool
	Record wire.Record
}

// Log is the log of one process. Its methods may be called from any goroutine.
type Log struct {
	store    *ledger.Store
	boot     string
	clock    func() time.Duration
	trimming atomic.Bool
}

// Open opens the log in a folder for this process alone and reads it. It is an error if another process has the folder, as that
// process may still acknowledge records. Damage is not an error: nothing in a damaged log is used.
func Open(o Options) (*Log, Contents, error) {
	l := &Log{boot: o.BootID, clock: o.Clock}
	if l.clock == nil {
		l.clock = sinceBoot
	}
	if l.boot == "" {
		name, err := os.ReadFile(bootFile)
		if err != nil {
			return nil, Contents{}, fmt.Errorf("owners: cannot read the ID of the machine's boot: %w", err)
		}
		l.boot = strings.TrimSpace(string(name))
	}
	store, err := ledger.Open(ledger.Options{Dir: o.Dir, FS: o.FS, Sync: ledger.SyncNone, MaxBytes: o.MaxBytes, Log: o.Log})
	if err != nil {
		return nil, Contents{}, err
	}
	l.store = store
	found, err := l.replay(o.Log)
	if err != nil {
		return nil, Contents{}, errors.Join(err, store.Close())
	}
	return l, found, nil
}

// sinceBoot returns the time since the machine was booted, including time during which it was suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux that Go runs on has this clock
	}
	return time.Duration(t.Nano())
}

// reader collects the contents of a log.
type reader struct {
	boot    string
	now     time.Duration
	last    *wire.ReplicaState
	steps   []Change
	damaged bool
}

func (l *Log) replay(log *slog.Logger) (Contents, error) {
	r := reader{boot: l.boot, now: l.clock()}
	err := l.store.Replay(func(b []byte) error {
		entry, err := wire.ParseStored(b)
		if err != nil {
			log.Warn("an entry of the log of records cannot be read", "err", err)
			r.damaged = true
			return nil
		}
		r.add(entry)
		return nil
	}, func(d ledger.Damage) {
		log.Warn("the log of records is damaged", "segment", d.Segment, "offset", d.Offset, "why", d.Reason)
		r.damaged = r.damaged || !d.Harmless
	})
	if err != nil || r.damaged || r.last == nil || r.last.Partial {
		return Contents{}, err
	}
	return Contents{LastState: r.last, Changes: r.steps}, nil
}

func (r *reader) add(e *wire.Stored) {
	if e.Kind == wire.StoredState {
		r.addState(e.State)
		return
	}
	if r.last == nil { // of another boot, or from before the first state that remains
		return
	}
	record := *e.Record
	passed := r.now - e.At
	if record.TimeLeft -= passed; record.TimeLeft <= 0 && e.Kind == wire.StoredRecord {
		return
	}
	record.DueIn = max(0, record.DueIn-passed)
	record.Attempts = slices.Clone(record.Attempts)
	for i := range record.Attempts {
		record.Attempts[i].Age += passed
	}
	r.steps = append(r.steps, Change{e.Kind == wire.StoredDrop, record})
}

// addState handles a state. One of another boot invalidates all entries so far; of one process the latest counts.
func (r *reader) addState(s *wire.ReplicaState) {
	switch {
	case s.BootID != r.boot:
		*r = reader{boot: r.boot, now: r.now, damaged: r.damaged}
	case r.last == nil || r.last.Process != s.Process || s.Version >= r.last.Version:
		r.last = s
	}
}

// Append appends entries. It does not block. Once the Commit is done without an error, the entries outlive this process.
func (l *Log) Append(entries []wire.Stored) ledger.Commit {
	now := l.clock()
	encoded := make([][]byte, len(entries))
	for i := range entries {
		encoded[i] = l.encode(&entries[i], now)
	}
	return l.store.Append(sequenceNumber(now), encoded...)
}

func (l *Log) encode(e *wire.Stored, now time.Duration) []byte {
	e.At = now
	if e.State != nil {
		e.State.BootID = l.boot
	}
	return e.Append()
}

// Now returns the current time on the clock of this log's entries.
func (l *Log) Now() time.Duration { return l.clock() }

// sequenceNumber returns the sequence number of entries that are written at a time, for Trim: it counts the seconds of the log's clock.
func sequenceNumber(at time.Duration) uint64 { return uint64(at/time.Second) + 1 }

// Trim removes entries that are older than age, in the background, as far as whole segments hold nothing newer; state is written
// before. It does nothing while an earlier call is running.
func (l *Log) Trim(age time.Duration, state wire.ReplicaState, log *slog.Logger) {
	now := l.clock()
	if now <= age || !l.trimming.CompareAndSwap(false, true) {
		return
	}
	mark := l.encode(&wire.Stored{Kind: wire.StoredState, State: &state}, now)
	go func() {
		defer l.trimming.Store(false)
		if err := l.store.Trim(sequenceNumber(now-age), mark); err != nil {
			log.Warn("old segments of the log of records could not be removed", "err", err)
		}
	}()
}

// Close closes the log. Its contents remain for the next process.
func (l *Log) Close() error { return l.store.Close() }
