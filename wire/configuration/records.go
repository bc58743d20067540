package configuration

import (
	"errors"
	"fmt"

	"laddertide/wire/binarycodec"
)

// Limits of stored state.
const (
	MaxHistory = 1024 // accepted changes, by which repeated request ids are recognized
	MaxRemoved = 64   // disks that were removed from the cluster
)

// Change is an entry of the replicated log: a proposal as the leader appended it.
type Change struct {
	Request    string
	Base       uint64
	Author     string
	AcceptedAt int64 // see Push
	Document   []byte
}

// AcceptedChange is a change that was accepted, without its document.
type AcceptedChange struct {
	Version    uint64
	Digest     Digest
	AcceptedAt int64
	Author     string
	Request    string
}

// State is the state that results from the replicated log: the content of a snapshot.
type State struct {
	Document []byte           // of the newest version
	History  []AcceptedChange // the newest last; versions are consecutive
	Voters   []Voter
	Removed  []uint64 // disks, the last removed one last
}

// RecordKind is the kind of a record on a source's disk.
type RecordKind uint8

// The kinds of records on disk.
const (
	Checkpoint RecordKind = iota + 1 // all fields; earlier records are void
	HardState                        // the hard state
	Entries                          // Entries
)

// Record is a record on a source's disk. Byte slices are messages as the consensus library encodes them.
type Record struct {
	Kind      RecordKind
	Number    uint64 // of the checkpoint that it is, or follows; numbers only grow
	Disk      uint64 // ID of this disk
	Snapshot  []byte // empty: this disk has not been added to the cluster yet
	HardState []byte
	Entries   [][]byte
}

func (c *Change) fields(w *codec) {
	w.names(&c.Request)
	w.uints(&c.Base)
	w.names(&c.Author)
	w.millis(&c.AcceptedAt)
	w.document(&c.Document)
}

func (p *AcceptedChange) fields(w *codec) {
	w.uints(&p.Version)
	w.digest(&p.Digest)
	w.millis(&p.AcceptedAt)
	w.names(&p.Author, &p.Request)
}

func (s *State) fields(w *codec) {
	w.document(&s.Document)
	binarycodec.List(&w.Codec, &s.History, func(p *AcceptedChange) { p.fields(w) })
	w.voters(&s.Voters)
	binarycodec.List(&w.Codec, &s.Removed, func(disk *uint64) { w.uints(disk) })
	if w.Reading && (len(s.History) > MaxHistory || len(s.Removed) > MaxRemoved) {
		w.Fail("has too long a list")
	}
}

func (r *Record) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &r.Kind)
	w.uints(&r.Number)
	switch r.Kind {
	case Checkpoint:
		w.uints(&r.Disk)
		w.Data(&r.Snapshot)
		w.Data(&r.HardState)
		w.byteSlices(&r.Entries)
	case HardState:
		w.Data(&r.HardState)
	case Entries:
		w.byteSlices(&r.Entries)
	default:
		w.Fail("has an unknown kind")
	}
}

func (w *codec) byteSlices(many *[][]byte) {
	binarycodec.List(&w.Codec, many, func(b *[]byte) { w.Data(b) })
}

// storable is a type that is written to the replicated log or to disk.
type storable interface{ fields(w *codec) }

func write(v storable) []byte {
	w := codec{}
	format := FormatVersion
	binarycodec.Integers(&w.Codec, &format)
	v.fields(&w)
	return w.Bytes
}

// read decodes all of b. It has no limit on the size: stored data was limited when it was written.
func read(what string, b []byte, v storable) error {
	w := codec{binarycodec.Codec{Bytes: b, Reading: true}}
	format := 0
	if binarycodec.Integers(&w.Codec, &format); w.Err == nil && format != FormatVersion {
		return ErrFormat
	}
	if w.Err == nil {
		v.fields(&w)
	}
	if w.Err == nil && len(w.Bytes) > 0 {
		w.Err = errors.New("has bytes after its end")
	}
	if w.Err != nil {
		return fmt.Errorf("configuration: %s %w", what, w.Err)
	}
	return nil
}

// Append returns the encoded entry.
func (c *Change) Append() []byte { return write(c) }

// ReadChange decodes an entry.
func ReadChange(b []byte) (c Change, err error) {
	err = read("a change", b, &c)
	return c, err
}

// Append returns the encoded state.
func (s *State) Append() []byte { return write(s) }

// ReadState decodes a state.
func ReadState(b []byte) (s State, err error) {
	err = read("a state", b, &s)
	return s, err
}

// Append returns the encoded record.
func (r *Record) Append() []byte { return write(r) }

// ReadRecord decodes a record.
func ReadRecord(b []byte) (r Record, err error) {
	err = read("a record", b, &r)
	return r, err
}
