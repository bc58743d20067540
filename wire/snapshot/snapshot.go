// Package snapshot reads and writes the small state that a scheduler leaves on disk: the bytes of one file, with its
// generation, its version and its sum. It owns their format and what is wrong with bytes that are none; it opens nothing,
// and what follows from a state, or from one that cannot be read, is not decided here.
//
// # Form
//
// A file is a head of 64 bytes and a body. The head never changes its form: a mark (8 bytes), the version of the body (4),
// zero (4), the generation (8), the body's length (8), and the SHA-256 of all of the head before it and the body. So a
// whole file of a later version is told from a damaged one. The body is by wire/binarycodec.
package snapshot

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"laddertide/wire/binarycodec"
	"laddertide/wire/handover"
	"laddertide/wire/peers"
)

// Version is that of the bodies that are written. There is none before it.
const Version = 1

// MaxFile bounds what is read: as much as an exchange with a peer and a hand-over may have together. Reading takes some six
// times a file's bytes in memory at worst.
const MaxFile = handover.MaxMessage + peers.MaxState

const (
	headBytes = 64
	sumAt     = headBytes - sha256.Size
	mark      = "LTstate\n"
)

// Reason is why bytes are of no use here. Which of them is an accident and which is somebody's mistake differs, and so may
// what follows from it.
type Reason uint8

// The reasons.
const (
	Fine       Reason = iota
	Missing           // no file is there, though one must have been
	Empty             // nothing is in it
	Torn              // it ends early
	Sum               // its bytes are not those that were written
	Malformed         // it is whole, and makes no sense
	Newer             // it is whole, of a later version than is known here
	Foreign           // it is whole, of another cluster or scheduler
	TooLarge          // it is larger than is read here
	Unreadable        // the disk does not give it
)

var reasons = [...]string{"fine", "missing", "empty", "torn", "sum", "malformed", "newer", "foreign", "too_large", "unreadable"}

func (r Reason) String() string { return reasons[r] }

// Damage tells whether it is nobody's doing but the disk's, or a fault of the program.
func (r Reason) Damage() bool { return r != Fine && r != Newer && r != Foreign }

// Flaw is what is wrong with bytes.
type Flaw struct {
	Reason Reason
	Err    error // in words
}

func (f *Flaw) Error() string { return f.Err.Error() }
func (f *Flaw) Unwrap() error { return f.Err }

func flaw(r Reason, format string, args ...any) *Flaw {
	return &Flaw{r, fmt.Errorf("snapshot: "+format, args...)}
}

// ReasonOf is the reason in an error; Unreadable if it has none.
func ReasonOf(err error) Reason {
	if f, ok := errors.AsType[*Flaw](err); ok {
		return f.Reason
	}
	if err == nil {
		return Fine
	}
	return Unreadable
}

// Clock is a moment on the machine that wrote: the id of its boot (all zero if it is not known), the time since then, and
// Unix time, both in nanoseconds.
type Clock struct {
	Boot       [16]byte
	Mono, Wall int64
}

// The parts that are those of other messages. Their bytes are this package's own: what those messages become later changes
// nothing on disk.
type (
	Dot      = peers.Dot
	Ban      = peers.BanOf
	Member   = peers.Member
	Provider = handover.Provider
	Roster   = handover.Roster
)

// List is discovery's list as it counts here.
type List struct {
	Roster
	Age time.Duration // since discovery was heard, when the state was written
}

// Beliefs are what the module has learnt: providers' names by its numbers for them, and its checkpoint.
type Beliefs struct {
	Names  []string
	Module []byte
}

// Cold is what a cold provider has been sent by this scheduler since it started.
type Cold struct {
	Provider string
	Since    time.Duration // its start, as Unix time
	Sent     float64       // work, in slots and seconds
	Age      time.Duration // of the last of it, when the state was written
}

// Part is what a feature keeps, by the feature's name and in its own words.
type Part struct {
	Name string
	Data []byte
}

// State is what a scheduler leaves. All slices may be empty.
type State struct {
	Cluster, Name string
	Start         uint64 // this process's number, or the last one's if this one has none yet
	Written       Clock
	Members       []Member
	Bans          []Ban
	Undone        []Dot
	List          List
	Beliefs       Beliefs
	ColdSpent     []Cold
	Parts         []Part // terms given to others, and what later features add
}

// Part finds what a feature has kept; nil: nothing.
func (s *State) Part(name string) []byte {
	for i := range s.Parts {
		if s.Parts[i].Name == name {
			return s.Parts[i].Data
		}
	}
	return nil
}

// Append gives a file's bytes, or a Flaw if they are more than most, or than is read.
func Append(b []byte, generation uint64, s *State, most int) ([]byte, error) {
	from := len(b)
	w := codec{binarycodec.Codec{Bytes: append(b, make([]byte, headBytes)...)}}
	w.state(s)
	file := w.Bytes[from:]
	if len(file) > min(most, MaxFile) {
		return b, flaw(TooLarge, "%d bytes, and %d are the most", len(file), min(most, MaxFile))
	}
	seal(file, Version, generation)
	return w.Bytes, nil
}

// seal writes the head of a file.
func seal(file []byte, version uint32, generation uint64) {
	copy(file, mark)
	binary.LittleEndian.PutUint32(file[8:], version)
	clear(file[12:16])
	binary.LittleEndian.PutUint64(file[16:], generation)
	binary.LittleEndian.PutUint64(file[24:], uint64(len(file)-headBytes))
	sum := sumOf(file)
	copy(file[sumAt:], sum[:])
}

func sumOf(file []byte) (sum [sha256.Size]byte) {
	h := sha256.New()
	h.Write(file[:sumAt])
	h.Write(file[headBytes:])
	h.Sum(sum[:0])
	return sum
}

// Read reads a file's bytes, of which the state is a copy. An error is a Flaw. The generation is told of all that are whole;
// else it is 0.
func Read(b []byte) (generation uint64, s *State, err error) {
	switch {
	case len(b) == 0:
		return 0, nil, flaw(Empty, "an empty file")
	case len(b) > MaxFile:
		return 0, nil, flaw(TooLarge, "%d bytes, and %d are the most", len(b), MaxFile)
	case len(b) < headBytes && bytes.HasPrefix(b, []byte(mark)[:min(len(b), len(mark))]):
		return 0, nil, flaw(Torn, "ends in its head, after %d bytes", len(b))
	case len(b) < headBytes || string(b[:8]) != mark:
		return 0, nil, flaw(Sum, "does not begin as a state does")
	}
	length := binary.LittleEndian.Uint64(b[24:])
	if sum := sumOf(b); !bytes.Equal(sum[:], b[sumAt:headBytes]) || length != uint64(len(b)-headBytes) {
		if uint64(len(b)-headBytes) < length && length <= MaxFile {
			return 0, nil, flaw(Torn, "has %d bytes of %d", len(b)-headBytes, length)
		}
		return 0, nil, flaw(Sum, "its sum is not that of its %d bytes", len(b))
	}
	generation = binary.LittleEndian.Uint64(b[16:])
	switch version := binary.LittleEndian.Uint32(b[8:]); {
	case version > Version:
		return generation, nil, flaw(Newer, "is of version %d; %d is the last that is known here", version, Version)
	case version == 0 || generation == 0 || generation > math.MaxInt64:
		return generation, nil, flaw(Malformed, "has version %d and generation %d, which are never written", version, generation)
	}
	s = &State{}
	w := codec{binarycodec.Codec{Bytes: b[headBytes:], Reading: true}}
	if w.state(s); w.Err == nil && len(w.Bytes) > 0 {
		w.Fail("has bytes after its end")
	}
	if w.Err != nil {
		return generation, nil, flaw(Malformed, "%w", w.Err)
	}
	return generation, s, nil
}

type codec struct{ binarycodec.Codec }

// numbers goes over numbers. Nothing that is none, or endless, is one to a decision: it is written as 0, as no part of a
// state may keep the others from the disk.
func (w *codec) numbers(values ...*float64) {
	for _, v := range values {
		x := *v
		if !w.Reading && none(x) {
			x = 0
		}
		if w.Float(&x); none(x) {
			w.Fail("has a number that is none")
		}
		if w.Reading {
			*v = x
		}
	}
}

func none(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) }

func (w *codec) dot(d *Dot) {
	w.Text(&d.By)
	binarycodec.Integers(&w.Codec, &d.Start, &d.Seq)
}

func (w *codec) state(s *State) {
	w.Text(&s.Cluster, &s.Name)
	binarycodec.Integers(&w.Codec, &s.Start)
	for i := range s.Written.Boot {
		binarycodec.Integers(&w.Codec, &s.Written.Boot[i])
	}
	binarycodec.Integers(&w.Codec, &s.Written.Mono, &s.Written.Wall)
	binarycodec.List(&w.Codec, &s.Members, func(m *Member) {
		w.Text(&m.Name, &m.Address)
		binarycodec.Integers(&w.Codec, &m.Start)
		binarycodec.Integers(&w.Codec, &m.State)
		w.numbers(&m.Weight)
		w.Flag(&m.Voter)
	})
	binarycodec.List(&w.Codec, &s.Bans, func(b *Ban) {
		w.dot(&b.Dot)
		w.Text(&b.Provider)
		binarycodec.Integers(&w.Codec, &b.At)
	})
	binarycodec.List(&w.Codec, &s.Undone, w.dot)
	binarycodec.Integers(&w.Codec, &s.List.Index)
	binarycodec.Integers(&w.Codec, &s.List.Age)
	binarycodec.List(&w.Codec, &s.List.Providers, func(p *Provider) {
		w.Text(&p.Name, &p.Address, &p.Zone, &p.Type, &p.Status)
		binarycodec.Integers(&w.Codec, &p.Group)
		w.numbers(&p.Weight, &p.SinceMS)
		w.Flag(&p.Gone, &p.Out)
		binarycodec.Integers(&w.Codec, &p.Back)
	})
	binarycodec.List(&w.Codec, &s.Beliefs.Names, func(n *string) { w.Text(n) })
	w.Data(&s.Beliefs.Module)
	binarycodec.List(&w.Codec, &s.ColdSpent, func(c *Cold) {
		w.Text(&c.Provider)
		binarycodec.Integers(&w.Codec, &c.Since, &c.Age)
		w.numbers(&c.Sent)
	})
	binarycodec.List(&w.Codec, &s.Parts, func(p *Part) {
		w.Text(&p.Name)
		w.Data(&p.Data)
	})
}
