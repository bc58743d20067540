// Package groups reads and writes what schedulers that keep a ledger together send each other and write on disk: which group
// it is about, and the consensus library's own bytes. It owns the format; it opens nothing, and what a message brings about
// is not decided here.
package groups

import (
	"errors"
	"fmt"

	"laddertide/wire/binarycodec"
)

// Version is that of all that is read and written here.
const Version = 1

// FirstByte is the first byte of a connection between members of groups, and of no connection of the membership's, which begin with
// the byte of its label.
const FirstByte = 0x52

// Bounds on what is read.
const (
	MaxFrame    = 8 << 20
	MaxMessages = 4096 // of a frame: a short one takes many times its bytes in memory
	MaxName     = 255
	MaxMembers  = 9
)

// ErrVersion says that something is of a version that is not known here.
var ErrVersion = errors.New("groups: a version that is not known")

// ID names a group: whose jobs it keeps, of which of its processes, and the number of the group among that one's.
type ID struct {
	Owner string
	Start uint64
	Epoch uint64
}

func (i ID) String() string { return fmt.Sprintf("%s/%x/%d", i.Owner, i.Start, i.Epoch) }

// Member is a scheduler that keeps a group, on one disk: what it has promised there is not kept by another one.
type Member struct {
	Name string
	Disk uint64
}

// Group is what all members of a group know of it from its begin, and what never changes.
type Group struct {
	ID
	Members []Member // the owner first
}

// Message is a message of the consensus library to a member of a group.
type Message struct {
	Group
	Bytes []byte
}

// Frame is what goes over a connection at a time. Full says that its sender's log has room for what is open alone.
type Frame struct {
	From     string
	Full     bool
	Messages []Message
}

// Kind says what a record on disk is.
type Kind uint8

// The kinds of records on disk.
const (
	Begun   Kind = iota + 1 // Group, Number
	State                   // Number, Bytes: the consensus library's hard state
	Entries                 // Number, Many: entries of its log
	Ended                   // Number, Group: it is no more
	Left                    // Number, Group: this member takes no part in it any more
	Disk                    // Number: the last one given; Disk
	Anew                    // the same, and nothing before it counts
)

// Record is a record on disk. Number is what this member calls the group: it only grows. Disk is what this disk is called.
type Record struct {
	Kind   Kind
	Number uint64
	Disk   uint64
	Group  Group
	Bytes  []byte
	Many   [][]byte
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
		w.Fail("has no such members")
	}
}

func (w *codec) frame(f *Frame) {
	w.names(&f.From)
	w.Flag(&f.Full)
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
	case Begun, Ended, Left:
		w.group(&r.Group)
	case State:
		w.Data(&r.Bytes)
	case Entries:
		binarycodec.List(&w.Codec, &r.Many, func(b *[]byte) { w.Data(b) })
	case Disk, Anew:
		binarycodec.Integers(&w.Codec, &r.Disk)
	default:
		w.Fail("is of no kind")
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

// Append gives a frame's bytes.
func (f *Frame) Append() []byte { return write(func(w *codec) { w.frame(f) }) }

// ReadFrame reads a frame.
func ReadFrame(b []byte) (f Frame, err error) {
	err = read("a frame", b, func(w *codec) { w.frame(&f) })
	return f, err
}

// Append gives a record's bytes.
func (r *Record) Append() []byte { return write(func(w *codec) { w.record(r) }) }

// ReadRecord reads a record.
func ReadRecord(b []byte) (r Record, err error) {
	err = read("a record", b, func(w *codec) { w.record(&r) })
	return r, err
}

// Batch is what a host of a group has appended at once: the nonce by which it knows it again, and its records.
type Batch struct {
	Nonce   uint64
	Records [][]byte
}

// Append gives a batch's bytes.
func (b *Batch) Append() []byte { return write(func(w *codec) { w.batch(b) }) }

func (w *codec) batch(b *Batch) {
	binarycodec.Integers(&w.Codec, &b.Nonce)
	binarycodec.List(&w.Codec, &b.Records, func(r *[]byte) { w.Data(r) })
}

// ReadBatch reads a batch.
func ReadBatch(p []byte) (b Batch, err error) {
	err = read("a batch", p, func(w *codec) { w.batch(&b) })
	return b, err
}
