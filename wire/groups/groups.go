// Package groups encodes and decodes what the members of a replicated ledger's group exchange and write to disk: the identity
// of the group, and messages and entries as the consensus library encodes them. It defines the format; it opens no connection
// or file and does not decide what a message causes.
package groups

import (
	"errors"
	"fmt"

	"laddertide/wire/binarycodec"
)

// Version is the format version of everything in this package.
const Version = 1

// FirstByte is the first byte of a connection between members of groups. No connection of the membership library begins with it:
// those begin with the type byte of its label.
const FirstByte = 0x52

// Limits of what is decoded.
const (
	MaxFrame    = 8 << 20
	MaxMessages = 4096 // in a frame: a short message takes many times its encoded size in memory
	MaxName     = 255
	MaxMembers  = 9
)

// ErrVersion is returned for data of an unknown version.
var ErrVersion = errors.New("groups: unknown version")

// ID identifies a group: the scheduler whose jobs it stores, the process of that scheduler, and the number of the group
// among those of that process.
type ID struct {
	Owner string
	Start uint64
	Epoch uint64
}

func (i ID) String() string { return fmt.Sprintf("%s/%x/%d", i.Owner, i.Start, i.Epoch) }

// Member is a scheduler that takes part in a group with one disk. Its votes and acknowledgements are on that disk, so with another
// disk it is another member.
type Member struct {
	Name string
	Disk uint64
}

// Group describes a group. It is known to all members from the start and never changes.
type Group struct {
	ID
	Members []Member // the owner first
}

// Message is a message of the consensus library to a member of a group.
type Message struct {
	Group
	Bytes []byte
}

// Frame is the unit of transfer on a connection. Full means that the sender's log has room only for jobs that are already open.
type Frame struct {
	From     string
	LogFull  bool
	Messages []Message
}

// Kind is the kind of a record on disk.
type Kind uint8

// The kinds of records on disk.
const (
	GroupBegun Kind = iota + 1 // Group, Number
	HardState                  // Number, Bytes: the consensus library's hard state
	Entries                    // Number, and entries of the consensus library's log
	GroupEnded                 // Number, Group: the group is over
	MemberLeft                 // Number, Group: this member has left the group
	DiskID                     // Number: the last one assigned; Disk
	DiskReset                  // the same, and all earlier records are void
)

// Record is a record on disk. Number is this member's own number of the group; numbers only grow. Disk is the ID of this disk.
type Record struct {
	Kind    Kind
	Number  uint64
	Disk    uint64
	Group   Group
	Bytes   []byte
	Entries [][]byte
}

type codec struct{ binarycodec.Codec }

func (w *codec) names(values ...*string) {
	for _, v := range values {
		if w.Text(v); w.Reading && len(*v) > MaxName {
			w.Fail("has a name that is too long")
		}
	}
}

func (w *codec) group(g *Group) {
	w.names(&g.Owner)
	binarycodec.Integers(&w.Codec, &g.Start, &g.Epoch)
	binarycodec.List(&w.Codec, &g.Members, func(m *Member) {
		w.names(&m.Name)
		binarycodec.Integers(&w.Codec, &m.Disk)
	})
	if w.Reading && w.Err == nil && (len(g.Members) == 0 || len(g.Members) > MaxMembers || g.Members[0].Name != g.Owner) {
		w.Fail("has an invalid list of members")
	}
}

func (w *codec) frame(f *Frame) {
	w.names(&f.From)
	w.Flag(&f.LogFull)
	left := new(MaxMessages)
	binarycodec.List(&w.Codec, &f.Messages, func(m *Message) {
		if *left--; w.Reading && *left < 0 {
			w.Fail("has too many messages")
			return
		}
		w.group(&m.Group)
		w.Data(&m.Bytes)
	})
}

func (w *codec) record(r *Record) {
	binarycodec.Integers(&w.Codec, &r.Kind)
	binarycodec.Integers(&w.Codec, &r.Number)
	switch r.Kind {
	case GroupBegun, GroupEnded, MemberLeft:
		w.group(&r.Group)
	case HardState:
		w.Data(&r.Bytes)
	case Entries:
		binarycodec.List(&w.Codec, &r.Entries, func(b *[]byte) { w.Data(b) })
	case DiskID, DiskReset:
		binarycodec.Integers(&w.Codec, &r.Disk)
	default:
		w.Fail("has an unknown kind")
	}
}

func write(each func(*codec)) []byte {
	w := codec{}
	version := Version
	binarycodec.Integers(&w.Codec, &version)
	each(&w)
	return w.Bytes
}

func read(what string, b []byte, each func(*codec)) error {
	if len(b) > MaxFrame {
		return fmt.Errorf("groups: %s of %d bytes is too large", what, len(b))
	}
	w := codec{binarycodec.Codec{Bytes: b, Reading: true}}
	version := 0
	if binarycodec.Integers(&w.Codec, &version); w.Err == nil && version != Version {
		return ErrVersion
	}
	if w.Err == nil {
		each(&w)
	}
	if w.Err == nil && len(w.Bytes) > 0 {
		w.Fail("has bytes after its end")
	}
	if w.Err != nil {
		return fmt.Errorf("groups: %s %w", what, w.Err)
	}
	return nil
}

// Append returns the encoded frame.
func (f *Frame) Append() []byte { return write(func(w *codec) { w.frame(f) }) }

// ReadFrame decodes a frame.
func ReadFrame(b []byte) (f Frame, err error) {
	err = read("a frame", b, func(w *codec) { w.frame(&f) })
	return f, err
}

// Append returns the encoded record.
func (r *Record) Append() []byte { return write(func(w *codec) { w.record(r) }) }

// ReadRecord decodes a record.
func ReadRecord(b []byte) (r Record, err error) {
	err = read("a record", b, func(w *codec) { w.record(&r) })
	return r, err
}

// Batch is one append by the user of a group: its records, and a nonce by which the user recognizes it when it is committed.
type Batch struct {
	Nonce   uint64
	Records [][]byte
}

// Append returns the encoded batch.
func (b *Batch) Append() []byte { return write(func(w *codec) { w.batch(b) }) }

func (w *codec) batch(b *Batch) {
	binarycodec.Integers(&w.Codec, &b.Nonce)
	binarycodec.List(&w.Codec, &b.Records, func(r *[]byte) { w.Data(r) })
}

// ReadBatch decodes a batch.
func ReadBatch(p []byte) (b Batch, err error) {
	err = read("a batch", p, func(w *codec) { w.batch(&b) })
	return b, err
}
