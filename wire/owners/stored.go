package owners

import (
	"fmt"
	"time"

	"laddertide/wire/binarycodec"
)

// StoredVersion is the version of entries on disk. Entries of another version are not read.
const StoredVersion = 1

// StoredKind is the kind of an entry on disk.
type StoredKind uint8

// The kinds of entries.
const (
	StoredState  StoredKind = iota + 1 // State: of the writing process, from this entry on
	StoredRecord                       // Record: stored
	StoredDrop                         // Record: removed
	storedKindEnd
)

// Limits of a decoded state.
const (
	MaxFormers = 64
	MaxBoot    = 64
)

// Stored is one entry of a scheduler's log of records. Times are since the boot of the machine.
type Stored struct {
	Kind   StoredKind
	At     time.Duration // when it was written; durations within Record are relative to it
	Record *Record       // of StoredRecord and StoredDrop
	State  *ReplicaState // of StoredState
}

// ReplicaState is the state of a process that stores records, without the records.
type ReplicaState struct {
	BootID            string // ID of the machine's boot to which At refers
	Process           Process
	Version           uint64 // of this state: the highest one of a process is valid
	Partial           bool   // the log is incomplete and must not be relied on
	StoredUnder       [][]Process
	IncompleteRosters [][]Process
	Formers           []FormerProcess
}

// FormerProcess is an ended process of the same name, for which the current process answers.
type FormerProcess struct {
	Process           Process
	Until             time.Duration // when the last of its records expires
	StoredUnder       [][]Process
	IncompleteRosters [][]Process
}

func (w *codec) rosters(lists *[][]Process) {
	binarycodec.List(&w.Codec, lists, func(all *[]Process) { binarycodec.List(&w.Codec, all, w.process) })
	if w.Reading && len(*lists) == 0 {
		*lists = nil
	}
}

func (w *codec) replicaState(s *ReplicaState) {
	w.texts(MaxBoot, &s.BootID)
	w.process(&s.Process)
	binarycodec.Integers(&w.Codec, &s.Version)
	w.Flag(&s.Partial)
	w.rosters(&s.StoredUnder)
	w.rosters(&s.IncompleteRosters)
	binarycodec.List(&w.Codec, &s.Formers, func(f *FormerProcess) {
		w.process(&f.Process)
		binarycodec.Integers(&w.Codec, &f.Until)
		w.rosters(&f.StoredUnder)
		w.rosters(&f.IncompleteRosters)
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
	if s.Kind == 0 || s.Kind >= storedKindEnd {
		w.Fail("has an unknown kind")
		return
	}
	binarycodec.Integers(&w.Codec, &s.At)
	optional(w, &s.Record, w.record)
	optional(w, &s.State, w.replicaState)
	if !w.Reading || w.Err != nil {
		return
	}
	if s.Kind == StoredState && s.State == nil || s.Kind != StoredState && s.Record == nil {
		w.Fail("lacks a field that its kind requires")
	}
}

// Append returns the encoded entry.
func (s *Stored) Append() []byte {
	w := codec{}
	version := StoredVersion
	binarycodec.Integers(&w.Codec, &version)
	w.stored(s)
	return w.Bytes
}

// ParseStored decodes an entry.
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
