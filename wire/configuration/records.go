package configuration

import (
	"errors"
	"fmt"

	"laddertide/wire/binarycodec"
)

// Limits of what is kept.
const (
	MaxHistory = 1024 // changes that are remembered by their request id
	MaxRemoved = 64   // disks that are remembered as no member's any more
)

// Change is an entry of the replicated log: a proposal as its leader has taken it.
type Change struct {
	Request    string
	Base       uint64
	Author     string
	AcceptedAt int64 // see Push
	Document   []byte
}

// Past is a change that was accepted, without its document.
type Past struct {
	Version    uint64
	Digest     Digest
	AcceptedAt int64
	Author     string
	Request    string
}

// State is all that the replicated log has led to: what a snapshot holds.
type State struct {
	Document []byte // of the newest version
	History  []Past // the newest last; versions without a gap
	Voters   []Voter
	Removed  []uint64 // disks, the latest last
}

// RecordKind says what a record on a source's disk is.
type RecordKind uint8

// The kinds of records on disk.
const (
	Checkpoint RecordKind = iota + 1 // all fields: nothing before it counts
	HardState                        // Hard
	Entries                          // Entries
)

// Record is a record on a source's disk. Its bytes are messages of the consensus library.
type Record struct {
	Kind     RecordKind
	Number   uint64 // of the checkpoint that it is, or follows: it only grows
	Disk     uint64 // what this disk is called
	Snapshot []byte // empty: this member has not been taken in yet
	Hard     []byte
	Entries  [][]byte
}

func (c *Change) fields(w *codec) {
	w.names(&c.Request)
	w.whole(&c.Base)
	w.names(&c.Author)
	w.millis(&c.AcceptedAt)
	w.document(&c.Document)
}

func (p *Past) fields(w *codec) {
	w.whole(&p.Version)
	w.digest(&p.Digest)
	w.millis(&p.AcceptedAt)
	w.names(&p.Author, &p.Request)
}

func (s *State) fields(w *codec) {
	w.document(&s.Document)
	binarycodec.List(&w.Codec, &s.History, func(p *Past) { p.fields(w) })
	w.voters(&s.Voters)
	binarycodec.List(&w.Codec, &s.Removed, func(disk *uint64) { w.whole(disk) })
	if w.Reading && (len(s.History) > MaxHistory || len(s.Removed) > MaxRemoved) {
		w.Fail("has too long a list")
	}
}

func (r *Record) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &r.Kind)
	w.whole(&r.Number)
	switch r.Kind {
	case Checkpoint:
		w.whole(&r.Disk)
		w.Data(&r.Snapshot)
		w.Data(&r.Hard)
		w.list(&r.Entries)
	case HardState:
		w.Data(&r.Hard)
	case Entries:
		w.list(&r.Entries)
	default:
		w.Fail("is of no kind")
	}
}

func (w *codec) list(many *[][]byte) {
	binarycodec.List(&w.Codec, many, func(b *[]byte) { w.Data(b) })
}

// kept is what is written to logs and disks.
type kept interface{ fields(w *codec) }

func write(v kept) []byte {
	w := codec{}
	format := FormatVersion
	binarycodec.Integers(&w.Codec, &format)
	v.fields(&w)
	return w.Bytes
}

// read reads all of b, with no limit of its own: what is kept was limited as it was written.
func read(what string, b []byte, v kept) error {
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

// Append returns the entry's bytes.
func (c *Change) Append() []byte { return write(c) }

// ReadChange reads an entry.
func ReadChange(b []byte) (c Change, err error) {
	err = read("a change", b, &c)
	return c, err
}

// Append returns the state's bytes.
func (s *State) Append() []byte { return write(s) }

// ReadState reads a state.
func ReadState(b []byte) (s State, err error) {
	err = read("a state", b, &s)
	return s, err
}

// Append returns the record's bytes.
func (r *Record) Append() []byte { return write(r) }

// ReadRecord reads a record.
func ReadRecord(b []byte) (r Record, err error) {
	err = read("a record", b, &r)
	return r, err
}
