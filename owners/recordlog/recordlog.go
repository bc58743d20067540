// Package recordlog keeps on disk the records that a scheduler has acknowledged as their replica, so that the next process of its
// name can tell them in its place after a crash.
//
// Entries are handed to the system and not synced: they outlive the process, and not the machine. So what an earlier boot of the
// machine has left is not relied on, nor what is damaged. An entry is on its way to the system before the answer that relies on it
// is sent; see [Log.Append].
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

// What a Log takes of the machine's limits.
const (
	Descriptors = 4       // the segment that is written, the folder, its lock, and a segment that is read
	QueueBytes  = 4 << 20 // of entries on their way to the system
)

// bootFile is where Linux names the machine's boot.
const bootFile = "/proc/sys/kernel/random/boot_id"

// Options say how a Log is opened.
type Options struct {
	Dir      string // must be there; this scheduler's alone
	MaxBytes int64  // on disk
	Log      *slog.Logger

	FS    ledger.FS            // the folder; nil: the system's at Dir
	Boot  string               // names the machine's boot; empty: the system's
	Clock func() time.Duration // since that boot; nil: the system's
}

// Found is what earlier processes of this boot have left.
type Found struct {
	// Last is the state of the process before, and its formers'; nil: there was none that can be relied on.
	Last *wire.ReplicaState
	// Steps are records that were kept and dropped, in their order. The times within them count from now; what counts no more is
	// left out.
	Steps []Step
}

// Step is one change of what was kept.
type Step struct {
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

// Open opens the log of a folder for this process alone and reads it. A folder that another process has is an error: that process
// may still acknowledge records. Damage is none: nothing of a damaged log is relied on.
func Open(o Options) (*Log, Found, error) {
	l := &Log{boot: o.Boot, clock: o.Clock}
	if l.clock == nil {
		l.clock = sinceBoot
	}
	if l.boot == "" {
		name, err := os.ReadFile(bootFile)
		if err != nil {
			return nil, Found{}, fmt.Errorf("owners: which boot of the machine this is: %w", err)
		}
		l.boot = strings.TrimSpace(string(name))
	}
	store, err := ledger.Open(ledger.Options{Dir: o.Dir, FS: o.FS, Sync: ledger.None, MaxBytes: o.MaxBytes, Log: o.Log})
	if err != nil {
		return nil, Found{}, err
	}
	l.store = store
	found, err := l.read(o.Log)
	if err != nil {
		return nil, Found{}, errors.Join(err, store.Close())
	}
	return l, found, nil
}

// sinceBoot is the system's clock since the machine was booted; it goes on while the machine is suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock is one of all Linux that Go runs on
	}
	return time.Duration(t.Nano())
}

// reader puts together what a log holds.
type reader struct {
	boot    string
	now     time.Duration
	last    *wire.ReplicaState
	steps   []Step
	damaged bool
}

func (l *Log) read(log *slog.Logger) (Found, error) {
	r := reader{boot: l.boot, now: l.clock()}
	err := l.store.Replay(func(b []byte) error {
		entry, err := wire.ParseStored(b)
		if err != nil {
			log.Warn("an entry of the log of records cannot be read", "err", err)
			r.damaged = true
			return nil
		}
		r.take(entry)
		return nil
	}, func(d ledger.Damage) {
		log.Warn("the log of records is damaged", "segment", d.Segment, "offset", d.Offset, "why", d.Why)
		r.damaged = r.damaged || !d.Harmless
	})
	if err != nil || r.damaged || r.last == nil || r.last.Partial {
		return Found{}, err
	}
	return Found{Last: r.last, Steps: r.steps}, nil
}

func (r *reader) take(e *wire.Stored) {
	if e.Kind == wire.StoredState {
		r.state(e.State)
		return
	}
	if r.last == nil { // of another boot, or from before the first state that is left
		return
	}
	record := *e.Record
	passed := r.now - e.At
	if record.Left -= passed; record.Left <= 0 && e.Kind == wire.StoredRecord {
		return
	}
	record.Due = max(0, record.Due-passed)
	record.Calls = slices.Clone(record.Calls)
	for i := range record.Calls {
		record.Calls[i].Ago += passed
	}
	r.steps = append(r.steps, Step{e.Kind == wire.StoredDrop, record})
}

// state takes a state. Of another boot's nothing counts; of one process the latest does.
func (r *reader) state(s *wire.ReplicaState) {
	switch {
	case s.Boot != r.boot:
		*r = reader{boot: r.boot, now: r.now, damaged: r.damaged}
	case r.last == nil || r.last.Process != s.Process || s.Version >= r.last.Version:
		r.last = s
	}
}

// Append appends entries. It does not block. Once the Commit is done without an error they outlive this process.
func (l *Log) Append(entries []wire.Stored) ledger.Commit {
	now := l.clock()
	encoded := make([][]byte, len(entries))
	for i := range entries {
		encoded[i] = l.encode(&entries[i], now)
	}
	return l.store.Append(sequence(now), encoded...)
}

func (l *Log) encode(e *wire.Stored, now time.Duration) []byte {
	e.At = now
	if e.State != nil {
		e.State.Boot = l.boot
	}
	return e.Append()
}

// Now is the time of this log's entries.
func (l *Log) Now() time.Duration { return l.clock() }

// sequence numbers entries by the second in which they were written, for Trim.
func sequence(at time.Duration) uint64 { return uint64(at/time.Second) + 1 }

// Trim removes what was written longer than age ago, behind the caller's back, as far as whole segments hold nothing newer; state
// is written before. Nothing is done while an earlier call is.
func (l *Log) Trim(age time.Duration, state wire.ReplicaState, log *slog.Logger) {
	now := l.clock()
	if now <= age || !l.trimming.CompareAndSwap(false, true) {
		return
	}
	mark := l.encode(&wire.Stored{Kind: wire.StoredState, State: &state}, now)
	go func() {
		defer l.trimming.Store(false)
		if err := l.store.Trim(sequence(now-age), mark); err != nil {
			log.Warn("old parts of the log of records are not removed", "err", err)
		}
	}()
}

// Close ends the log. What it holds stays for the next process.
func (l *Log) Close() error { return l.store.Close() }
