package owners

import (
	"fmt"
	"time"

	"laddertide/wire/binarycodec"
)

// StoredVersion is that of what is stored on disk. What is of another one is not read.
const StoredVersion = 1

// StoredKind says what an entry on disk is.
type StoredKind uint8

// The kinds of entries.
const (
	StoredState  StoredKind = iota + 1 // of the process that writes, from here on
	StoredRecord                       // Record is kept
	StoredDrop                         // Record is kept no more
	lastStored
)

// Bounds on what is read of a state.
const (
	MaxFormers = 64
	MaxBoot    = 64
)

// Stored is one entry of a scheduler's log of records. Times are of the machine's clock since it was booted.
type Stored struct {
	Kind   StoredKind
	At     time.Duration // when it was written: the times within Record count from then
	Record *Record       // of StoredRecord and StoredDrop
	State  *ReplicaState // of StoredState
}

// ReplicaState is what a process keeps by, beside its records.
type ReplicaState struct {
	Boot    string // which boot of the machine At is of
	Process Process
	Version uint64 // of this state: of several by one process the highest counts
	Partial bool   // this is not all: nothing of the log may be relied on
	Lasts   [][]Process
	Unsure  [][]Process
	Formers []FormerProcess
}

// FormerProcess is a process of the same name that was over before this one began, and for which it tells.
type FormerProcess struct {
	Process Process
	Until   time.Duration // from then on nothing that it kept counts any more
	Lasts   [][]Process
	Unsure  [][]Process
}

func (w *codec) rosters(lists *[][]Process) {
	binarycodec.List(&w.Codec, lists, func(all *[]Process) { binarycodec.List(&w.Codec, all, w.process) })
	if w.Reading && len(*lists) == 0 {
		*lists = nil
	}
}

func (w *codec) replicaState(s *ReplicaState) {
	w.texts(MaxBoot, &s.Boot)
	w.process(&s.Process)
	binarycodec.Integers(&w.Codec, &s.Version)
	w.Flag(&s.Partial)
	w.rosters(&s.Lasts)
	w.rosters(&s.Unsure)
	binarycodec.List(&w.Codec, &s.Formers, func(f *FormerProcess) {
		w.process(&f.Process)
		binarycodec.Integers(&w.Codec, &f.Until)
		w.rosters(&f.Lasts)
		w.rosters(&f.Unsure)
	})
	if w.Reading && len(s.Formers) > MaxFormers {
		w.Fail("has too many former processes")
	}
	if w.Reading && len(s.Formers) == 0 {
		s.Formers = nil
	}
}

func (w *codec) stored(s *Stored) {
	binarycodec.Integers(&w.Codec, &s.Kind)
	if s.Kind == 0 || s.Kind >= lastStored {
		w.Fail("is of no kind")
		return
	}
	binarycodec.Integers(&w.Codec, &s.At)
	there(w, &s.Record, w.record)
	there(w, &s.State, w.replicaState)
	if !w.Reading || w.Err != nil {
		return
	}
	if s.Kind == StoredState && s.State == nil || s.Kind != StoredState && s.Record == nil {
		w.Fail("lacks what it is about")
	}
}

// Append gives an entry's bytes.
func (s *Stored) Append() []byte {
	w := codec{}
	version := StoredVersion
	binarycodec.Integers(&w.Codec, &version)
	w.stored(s)
	return w.Bytes
}

// ParseStored reads an entry.
func ParseStored(b []byte) (*Stored, error) {
	w := codec{binarycodec.Codec{Bytes: b, Reading: true}}
	version := 0
	if binarycodec.Integers(&w.Codec, &version); w.Err == nil && version != StoredVersion {
		return nil, ErrVersion
	}
	s := &Stored{}
	if w.Err == nil {
		w.stored(s)
	}
	if w.Err == nil && len(w.Bytes) > 0 {
		w.Fail("has bytes after its end")
	}
	if w.Err != nil {
		return nil, fmt.Errorf("owners: an entry on disk %w", w.Err)
	}
	return s, nil
}
