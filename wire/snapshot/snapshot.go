// Package snapshot encodes and decodes the small state that a scheduler saves on disk: the content of one file, with its
// generation, version and checksum. It defines the format and classifies errors in it; it opens no file and does not decide
// what follows from a state, or from one that cannot be read.
//
// # Format
//
// A file consists of a header of 64 bytes and a body. The format of the header never changes: a magic number (8 bytes), the
// version of the body (4), zero (4), the generation (8), the body's length (8), and the SHA-256 of the header before it and
// the body. Thus an intact file of a later version can be distinguished from a damaged one. The body is encoded by
// wire/binarycodec.
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

// Version is the version of bodies that are written. It is the first one.
const Version = 1

// MaxFile is the size limit of a file: the limits of a handover message and of a peer's state together. Decoding takes about
// six times the file's size in memory at worst.
const MaxFile = handover.MaxMessage + peers.MaxState

const (
	headerBytes    = 64
	checksumOffset = headerBytes - sha256.Size
	magic          = "LTstate\n"
)

// Reason is why a file cannot be used. Some reasons are damage, others an operator's mistake, and callers may treat these
// differently.
type Reason uint8

// The reasons.
const (
	NoFault          Reason = iota
	Missing                 // the file does not exist, though one was written
	Empty                   // the file has no bytes
	Truncated               // the file ends early
	ChecksumMismatch        // the checksum does not match
	Malformed               // the file is intact, but its content is invalid
	Newer                   // the file is intact, but of a later, unknown version
	Foreign                 // the file is intact, but of another cluster or scheduler
	TooLarge                // the file exceeds the size limit
	Unreadable              // reading the file from disk failed
)

var reasons = [...]string{"fine", "missing", "empty", "torn", "sum", "malformed", "newer", "foreign", "too_large", "unreadable"}

func (r Reason) String() string { return reasons[r] }

// IsDamage reports whether the reason is a fault of the disk or the program, and not an operator's mistake.
func (r Reason) IsDamage() bool { return r != NoFault && r != Newer && r != Foreign }

// FileError is the error for a file that cannot be used.
type FileError struct {
	Reason Reason
	Err    error // describes it
}

func (f *FileError) Error() string { return f.Err.Error() }
func (f *FileError) Unwrap() error { return f.Err }

func newError(r Reason, format string, args ...any) *FileError {
	return &FileError{r, fmt.Errorf("snapshot: "+format, args...)}
}

// ReasonOf returns the reason of an error of this package. For nil it returns the zero Reason, for any other error Unreadable.
func ReasonOf(err error) Reason {
	if f, ok := errors.AsType[*FileError](err); ok {
		return f.Reason
	}
	if err == nil {
		return NoFault
	}
	return Unreadable
}

// Clock is a point in time on the machine that wrote the state: the ID of the machine's boot (zero if it is not known), the
// time since that boot, and Unix time, both in nanoseconds.
type Clock struct {
	Boot       [16]byte
	Mono, Wall int64
}

// Types that are shared with other messages. This package encodes them itself, so that later changes of those messages do
// not change the format on disk.
type (
	BanID    = peers.BanID
	Ban      = peers.BanRecord
	Member   = peers.Member
	Provider = handover.Provider
	Roster   = handover.Roster
)

// List is the list from discovery that is in force.
type List struct {
	Roster
	Age time.Duration // time from the last answer of discovery until the state was written
}

// Estimates are the estimates of the decision module: its checkpoint, and the providers' names, indexed by its numbers for them.
type Estimates struct {
	Names      []string
	Checkpoint []byte
}

// ColdWork is the work that this scheduler has sent to a cold provider since the provider started.
type ColdWork struct {
	Provider string
	Since    time.Duration // its start, as Unix time
	Sent     float64       // work, in slot-seconds
	Age      time.Duration // time from the last of it until the state was written
}

// Part is the saved data of one feature, under the feature's name and in the feature's own encoding.
type Part struct {
	Name string
	Data []byte
}

// State is the saved state of a scheduler. All slices may be empty.
type State struct {
	Cluster, Name string
	Start         uint64 // start number of this process, or of the previous one if this one has none yet
	Written       Clock
	Members       []Member
	Bans          []Ban
	LiftedBans    []BanID
	List          List
	Estimates     Estimates
	ColdWork      []ColdWork
	Parts         []Part // data of features, by name
}

// Part returns the data that was saved under a name, or nil.
func (s *State) Part(name string) []byte {
	for i := range s.Parts {
		if s.Parts[i].Name == name {
			return s.Parts[i].Data
		}
	}
	return nil
}

// Append appends the content of a file to b. If it is larger than limit or MaxFile, the error has the reason TooLarge.
func Append(b []byte, generation uint64, s *State, limit int) ([]byte, error) {
	from := len(b)
	w := codec{binarycodec.Codec{Bytes: append(b, make([]byte, headerBytes)...)}}
	w.state(s)
	file := w.Bytes[from:]
	if len(file) > min(limit, MaxFile) {
		return b, newError(TooLarge, "%d bytes, and %d are the most", len(file), min(limit, MaxFile))
	}
	seal(file, Version, generation)
	return w.Bytes, nil
}

// seal writes the header of a file, with its checksum.
func seal(file []byte, version uint32, generation uint64) {
	copy(file, magic)
	binary.LittleEndian.PutUint32(file[8:], version)
	clear(file[12:16])
	binary.LittleEndian.PutUint64(file[16:], generation)
	binary.LittleEndian.PutUint64(file[24:], uint64(len(file)-headerBytes))
	sum := checksum(file)
	copy(file[checksumOffset:], sum[:])
}

func checksum(file []byte) (sum [sha256.Size]byte) {
	h := sha256.New()
	h.Write(file[:checksumOffset])
	h.Write(file[headerBytes:])
	h.Sum(sum[:0])
	return sum
}

// Read decodes the content of a file. The state shares no memory with b. Every error has a Reason. The generation is returned for
// every intact file, also with an error; otherwise it is 0.
func Read(b []byte) (generation uint64, s *State, err error) {
	switch {
	case len(b) == 0:
		return 0, nil, newError(Empty, "an empty file")
	case len(b) > MaxFile:
		return 0, nil, newError(TooLarge, "%d bytes, and %d are the most", len(b), MaxFile)
	case len(b) < headerBytes && bytes.HasPrefix(b, []byte(magic)[:min(len(b), len(magic))]):
		return 0, nil, newError(Truncated, "ends within the header, after %d bytes", len(b))
	case len(b) < headerBytes || string(b[:8]) != magic:
		return 0, nil, newError(ChecksumMismatch, "does not begin with the magic number of a state file")
	}
	length := binary.LittleEndian.Uint64(b[24:])
	if sum := checksum(b); !bytes.Equal(sum[:], b[checksumOffset:headerBytes]) || length != uint64(len(b)-headerBytes) {
		if uint64(len(b)-headerBytes) < length && length <= MaxFile {
			return 0, nil, newError(Truncated, "has %d bytes of %d", len(b)-headerBytes, length)
		}
		return 0, nil, newError(ChecksumMismatch, "the checksum does not match the file's %d bytes", len(b))
	}
	generation = binary.LittleEndian.Uint64(b[16:])
	switch version := binary.LittleEndian.Uint32(b[8:]); {
	case version > Version:
		return generation, nil, newError(Newer, "has version %d; the last known version is %d", version, Version)
	case version == 0 || generation == 0 || generation > math.MaxInt64:
		return generation, nil, newError(Malformed, "has version %d and generation %d, which are never written", version, generation)
	}
	s = &State{}
	w := codec{binarycodec.Codec{Bytes: b[headerBytes:], Reading: true}}
	if w.state(s); w.Err == nil && len(w.Bytes) > 0 {
		w.Fail("has bytes after its end")
	}
	if w.Err != nil {
		return generation, nil, newError(Malformed, "%w", w.Err)
	}
	return generation, s, nil
}

type codec struct{ binarycodec.Codec }

// finiteFloats encodes or decodes finite numbers. NaN and infinite values are useless to the decision module. They are written as
// 0, so that one of them does not prevent the state from being saved, and are an error when read.
func (w *codec) finiteFloats(values ...*float64) {
	for _, v := range values {
		x := *v
		if !w.Reading && notFinite(x) {
			x = 0
		}
		if w.Float(&x); notFinite(x) {
			w.Fail("has a number that is not finite")
		}
		if w.Reading {
			*v = x
		}
	}
}

func notFinite(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) }

func (w *codec) dot(d *BanID) {
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
		w.finiteFloats(&m.Weight)
		w.Flag(&m.Voter)
	})
	binarycodec.List(&w.Codec, &s.Bans, func(b *Ban) {
		w.dot(&b.BanID)
		w.Text(&b.Provider)
		binarycodec.Integers(&w.Codec, &b.At)
	})
	binarycodec.List(&w.Codec, &s.LiftedBans, w.dot)
	binarycodec.Integers(&w.Codec, &s.List.Index)
	binarycodec.Integers(&w.Codec, &s.List.Age)
	binarycodec.List(&w.Codec, &s.List.Providers, func(p *Provider) {
		w.Text(&p.Name, &p.Address, &p.Zone, &p.Type, &p.Status)
		binarycodec.Integers(&w.Codec, &p.Group)
		w.finiteFloats(&p.Weight, &p.SinceMS)
		w.Flag(&p.Unlisted, &p.Banned)
		binarycodec.Integers(&w.Codec, &p.BanLiftedAt)
	})
	binarycodec.List(&w.Codec, &s.Estimates.Names, func(n *string) { w.Text(n) })
	w.Data(&s.Estimates.Checkpoint)
	binarycodec.List(&w.Codec, &s.ColdWork, func(c *ColdWork) {
		w.Text(&c.Provider)
		binarycodec.Integers(&w.Codec, &c.Since, &c.Age)
		w.finiteFloats(&c.Sent)
	})
	binarycodec.List(&w.Codec, &s.Parts, func(p *Part) {
		w.Text(&p.Name)
		w.Data(&p.Data)
	})
}
