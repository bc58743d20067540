package leases

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

// RecordKind says what a [Record] tells.
type RecordKind uint8

// The kinds of record, and which fields they have beside Seq.
const (
	Taken    RecordKind = 1 + iota // Clock, Spec
	Leased                         // Fence, Clock, Provider, Address, Try, Span, and of Spec ID and Digest, should Taken be lost
	Begun                          // Fence
	Over                           // Fence, Never
	Ended                          // Clock, Outcome
	Answered                       // none
	Mark                           // Fence, Floor
)

func (k RecordKind) String() string {
	return name(k, "none", "taken", "leased", "begun", "over", "ended", "answered", "mark")
}

// Record is one thing that must survive. Fields that its kind does not have are zero.
type Record struct {
	Kind     RecordKind
	Seq      Seq   // the job; in a Mark: all jobs to come are numbered from here at least
	Fence    Fence // the lease; in a Mark: all fences up to here may have been used
	Floor    Seq   // all jobs below are forgotten
	Clock    Clock
	Spec     Spec
	Provider string
	Address  string        // where it was reached; the next process may not be told of it any more
	Try      int           // how many leases the job had before
	Span     time.Duration // how long the lease holds without a sign of life; 0: for ever
	Never    bool          // proven that the attempt never ran; otherwise it may have
	Outcome  Outcome
}

// The limits of a record's parts, in bytes. What is longer is neither taken nor read.
const (
	MaxText  = 16 << 10 // each of ID, Class, Party, Key, Provider, Why
	MaxBody  = 1 << 20  // Body and Result
	maxTries = 64       // leases of a job
	numbers  = 1 << 53  // Seq and Fence stay below
)

const version = 1

// Append appends the record's binary form to b: a version, the kind, and the kind's fields, numbers with 7 bits a byte.
// It is not framed and has no checksum: both are the store's. Its records are those that a Table made.
func (r *Record) Append(b []byte) []byte {
	b = append(b, version, byte(r.Kind))
	b = binary.AppendUvarint(b, uint64(r.Seq))
	switch r.Kind {
	case Taken:
		s := &r.Spec
		b = appendClock(b, &r.Clock)
		b = appendText(b, s.ID)
		b = appendText(b, s.Class)
		b = appendText(b, s.Party)
		b = append(b, s.Digest[:]...)
		b = appendText(b, s.Key)
		b = binary.AppendUvarint(b, uint64(s.Deadline))
		b = binary.AppendUvarint(b, uint64(s.Left))
		b = binary.AppendUvarint(b, uint64(s.Hint))
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(s.Slots))
		b = appendText(b, s.Body)
	case Leased:
		b = binary.AppendUvarint(b, uint64(r.Fence))
		b = appendClock(b, &r.Clock)
		b = appendText(b, r.Spec.ID)
		b = append(b, r.Spec.Digest[:]...)
		b = appendText(b, r.Provider)
		b = appendText(b, r.Address)
		b = binary.AppendUvarint(b, uint64(r.Try))
		b = binary.AppendUvarint(b, uint64(r.Span))
	case Begun:
		b = binary.AppendUvarint(b, uint64(r.Fence))
	case Over:
		b = binary.AppendUvarint(b, uint64(r.Fence))
		never := byte(0)
		if r.Never {
			never = 1
		}
		b = append(b, never)
	case Ended:
		b = appendClock(b, &r.Clock)
		b = append(b, byte(r.Outcome.Kind))
		b = binary.AppendUvarint(b, uint64(r.Outcome.RetryAfter))
		b = appendText(b, r.Outcome.Why)
		b = appendText(b, r.Outcome.Result)
	case Mark:
		b = binary.AppendUvarint(b, uint64(r.Fence))
		b = binary.AppendUvarint(b, uint64(r.Floor))
	}
	return b
}

// Decode reads a record's binary form, which must be all of b and just as Append makes it. The record holds none of b.
func Decode(b []byte) (Record, error) {
	d := decoder{b: b}
	if v := d.byte(); d.err == nil && v != version {
		return Record{}, fmt.Errorf("leases: record of version %d, this program reads %d", v, version)
	}
	r := Record{Kind: RecordKind(d.byte()), Seq: Seq(d.number(numbers - 1))}
	switch r.Kind {
	case Taken:
		s := &r.Spec
		r.Clock = d.clock()
		s.ID = d.text()
		s.Class = d.text()
		s.Party = d.text()
		d.read(s.Digest[:])
		s.Key = d.text()
		s.Deadline = d.duration()
		s.Left = d.duration()
		s.Hint = d.duration()
		s.Slots = d.float()
		s.Body = d.body()
	case Leased:
		r.Fence = d.fence()
		r.Clock = d.clock()
		r.Spec.ID = d.text()
		d.read(r.Spec.Digest[:])
		r.Provider = d.text()
		r.Address = d.text()
		r.Try = int(d.number(maxTries - 1))
		r.Span = d.duration()
	case Begun:
		r.Fence = d.fence()
	case Over:
		r.Fence = d.fence()
		r.Never = d.number(1) == 1
	case Ended:
		r.Clock = d.clock()
		r.Outcome.Kind = Kind(d.number(uint64(Mistaken)))
		r.Outcome.RetryAfter = d.duration()
		r.Outcome.Why = d.text()
		r.Outcome.Result = d.body()
	case Answered:
	case Mark:
		r.Fence = d.fence()
		r.Floor = Seq(d.number(uint64(r.Seq)))
	default:
		d.fail("unknown kind")
	}
	switch {
	case r.Seq == 0:
		d.fail("no number")
	case (r.Kind == Taken || r.Kind == Leased) && r.Spec.ID == "":
		d.fail("no id")
	case r.Fence == 0 && (r.Kind == Leased || r.Kind == Begun || r.Kind == Over):
		d.fail("no fence")
	case len(d.b) > 0:
		d.fail("bytes behind its end")
	}
	if d.err != nil {
		return Record{}, d.err
	}
	return r, nil
}

func appendText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendClock(b []byte, c *Clock) []byte {
	b = append(b, c.Boot[:]...)
	return binary.AppendVarint(binary.AppendVarint(b, c.Mono), c.Wall)
}

// decoder takes a record apart. After its first error all that it reads is zero.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) fail(what string) {
	if d.err == nil {
		d.err = errors.New("leases: record: " + what)
	}
	d.b = nil
}

func (d *decoder) take(n int) []byte {
	if n > len(d.b) {
		d.fail("cut short")
		return nil
	}
	b := d.b[:n]
	d.b = d.b[n:]
	return b
}

func (d *decoder) read(to []byte) { copy(to, d.take(len(to))) }

func (d *decoder) byte() byte {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

// number reads a number of most at the most, written in as few bytes as it can be.
func (d *decoder) number(most uint64) uint64 {
	v, n := binary.Uvarint(d.b)
	switch {
	case n <= 0:
		d.fail("not a number")
	case n > 1 && d.b[n-1] == 0:
		d.fail("a number longer than it needs to be")
	case v > most:
		d.fail("a number out of its range")
	default:
		d.b = d.b[n:]
		return v
	}
	return 0
}

func (d *decoder) signed() int64 {
	v := d.number(math.MaxUint64)
	return int64(v>>1) ^ -int64(v&1)
}

func (d *decoder) clock() (c Clock) {
	d.read(c.Boot[:])
	c.Mono = d.signed()
	c.Wall = d.signed()
	return c
}

func (d *decoder) fence() Fence            { return Fence(d.number(numbers - 1)) }
func (d *decoder) duration() time.Duration { return time.Duration(d.number(math.MaxInt64)) }
func (d *decoder) text() string            { return string(d.take(int(d.number(MaxText)))) }

func (d *decoder) body() []byte {
	n := int(d.number(MaxBody))
	if n == 0 {
		return nil
	}
	return append([]byte(nil), d.take(n)...)
}

func (d *decoder) float() float64 {
	b := d.take(8)
	if b == nil {
		return 0
	}
	bits := binary.LittleEndian.Uint64(b)
	v := math.Float64frombits(bits)
	if !(v >= 0 && v <= math.MaxFloat64) || bits>>63 != 0 {
		d.fail("slots that are no number")
		return 0
	}
	return v
}
