package leases

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

// RecordKind is the kind of a [Record].
type RecordKind uint8

// The kinds of record. Each comment lists the fields that the kind has besides Seq.
const (
	Taken    RecordKind = 1 + iota // Clock, Spec
	Leased                         // Fence, Clock, Provider, Address, Try, Span; also Spec.ID and Spec.Digest, in case Taken is lost
	Begun                          // Fence
	Over                           // Fence, Never
	Ended                          // Clock, Outcome
	Answered                       // none
	Mark                           // Fence, Floor
)

func (k RecordKind) String() string {
	return enumName(k, "none", "taken", "leased", "begun", "over", "ended", "answered", "mark")
}

// Record is one change that must survive a restart. Fields that its kind does not have are zero.
type Record struct {
	Kind     RecordKind
	Seq      Seq   // the job; in a Mark: the lowest number that a future job may get
	Fence    Fence // the lease; in a Mark: all fences up to and including this one may have been used
	Floor    Seq   // in a Mark: all jobs below are forgotten
	Clock    Clock
	Spec     Spec
	Provider string
	Address  string        // of the provider; the next process may not get it from discovery any more
	Try      int           // number of leases that the job had before
	Span     time.Duration // how long the lease is valid without a sign of life; 0: no limit
	Never    bool          // the attempt is proven never to have run; otherwise it may have run
	Outcome  Outcome
}

// The limits of a record's parts, the texts and bodies in bytes. Longer values are neither accepted nor decoded.
const (
	MaxText     = 16 << 10 // each text: id, class, party, key, provider, address, reason
	MaxBody     = 1 << 20  // Body and Result
	maxAttempts = 64       // maximum of leases of a job
	numberLimit = 1 << 53  // Seq and Fence stay below this
)

const recordVersion = 1

// Append appends the record's binary form to b: a version, the kind, Seq and the kind's fields, with numbers as varints.
// The form has no frame and no checksum; the store adds both. Append does not validate: it expects records made by a
// Table.
func (r *Record) Append(b []byte) []byte {
	b = append(b, recordVersion, byte(r.Kind))
	b = binary.AppendUvarint(b, uint64(r.Seq))
	switch r.Kind {
	case Taken:
		s := &r.Spec
		b = appendClock(b, &r.Clock)
		b = appendText(b, s.ID)
		b = appendText(b, s.Class)
		b = appendText(b, s.Tenant)
		b = append(b, s.Digest[:]...)
		b = appendText(b, s.Key)
		b = binary.AppendUvarint(b, uint64(s.Deadline))
		b = binary.AppendUvarint(b, uint64(s.TimeLeft))
		b = binary.AppendUvarint(b, uint64(s.WorkHint))
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
		b = appendText(b, r.Outcome.Reason)
		b = appendText(b, r.Outcome.Result)
	case Mark:
		b = binary.AppendUvarint(b, uint64(r.Fence))
		b = binary.AppendUvarint(b, uint64(r.Floor))
	}
	return b
}

// Decode decodes a record from b, which must hold exactly the bytes that Append writes. The record does not alias b.
func Decode(b []byte) (Record, error) {
	d := decoder{b: b}
	if v := d.byte(); d.err == nil && v != recordVersion {
		return Record{}, fmt.Errorf("leases: record of version %d, this program reads %d", v, recordVersion)
	}
	r := Record{Kind: RecordKind(d.byte()), Seq: Seq(d.number(numberLimit - 1))}
	switch r.Kind {
	case Taken:
		s := &r.Spec
		r.Clock = d.clock()
		s.ID = d.text()
		s.Class = d.text()
		s.Tenant = d.text()
		d.read(s.Digest[:])
		s.Key = d.text()
		s.Deadline = d.duration()
		s.TimeLeft = d.duration()
		s.WorkHint = d.duration()
		s.Slots = d.float()
		s.Body = d.body()
	case Leased:
		r.Fence = d.fence()
		r.Clock = d.clock()
		r.Spec.ID = d.text()
		d.read(r.Spec.Digest[:])
		r.Provider = d.text()
		r.Address = d.text()
		r.Try = int(d.number(maxAttempts - 1))
		r.Span = d.duration()
	case Begun:
		r.Fence = d.fence()
	case Over:
		r.Fence = d.fence()
		r.Never = d.number(1) == 1
	case Ended:
		r.Clock = d.clock()
		r.Outcome.Kind = OutcomeKind(d.number(uint64(InvalidRequest)))
		r.Outcome.RetryAfter = d.duration()
		r.Outcome.Reason = d.text()
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
		d.fail("bytes after its end")
	}
	if d.err != nil {
		return Record{}, d.err
	}
	return r, nil
}

// EndedSeq returns the job of a record in binary form if its kind is Ended, without decoding the rest.
func EndedSeq(b []byte) (Seq, bool) {
	if len(b) < 3 || b[0] != recordVersion || RecordKind(b[1]) != Ended {
		return 0, false
	}
	seq, n := binary.Uvarint(b[2:])
	return Seq(seq), n > 0
}

func appendText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendClock(b []byte, c *Clock) []byte {
	b = append(b, c.Boot[:]...)
	return binary.AppendVarint(binary.AppendVarint(b, c.Mono), c.Wall)
}

// decoder decodes the fields of a record. After the first error it returns zero values.
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

// number reads an unsigned number not above limit, which must be encoded in the fewest bytes.
func (d *decoder) number(limit uint64) uint64 {
	v, n := binary.Uvarint(d.b)
	switch {
	case n <= 0:
		d.fail("not a number")
	case n > 1 && d.b[n-1] == 0:
		d.fail("a number longer than it needs to be")
	case v > limit:
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

func (d *decoder) fence() Fence            { return Fence(d.number(numberLimit - 1)) }
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
		d.fail("slots are not a finite number of 0 or more")
		return 0
	}
	return v
}
