// Package handover reads and writes the messages by which one process of a scheduler hands over to the next. It owns
// their format; it opens nothing, and what a message brings about is not decided here. Descriptors go beside messages and
// are not part of them.
package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

// Version is that of the messages. Hello, Welcome and Refusal begin with it in all versions; of another version
// nothing else is read.
const Version = 1

// MaxMessage bounds a message: beliefs and lists of some ten thousand providers.
const MaxMessage = 8 << 20

// Provider is a provider as the older process counts it.
type Provider struct {
	Name, Address, Zone, Type, Status string
	Group                             int
	Weight, SinceMS                   float64
	Gone, Out                         bool
	Back                              time.Duration
}

// Roster is the list of providers, with the bans.
type Roster struct {
	Index     uint64
	Providers []Provider
}

// Message is any of the messages.
type Message interface {
	kind() byte
	walk(*walker)
}

// Numbered is a message that wants a Reply.
type Numbered interface {
	Message
	SetNumber(uint64)
}

type (
	// Hello is the first word of the newer process, at the older one's address.
	Hello struct {
		Version      uint64
		Name, Listen string
	}
	// Welcome lets it stand by. The listening socket comes with it.
	Welcome struct {
		Version uint64
		Roster  Roster
	}
	// Refusal says why it may not. Later: it may ask again soon.
	Refusal struct {
		Version uint64
		Why     string
		Later   bool
	}
	// News tells who stands by of a change of the roster.
	News struct {
		Number uint64
		Roster Roster
	}
	// Reread tells who stands by to read its configuration again.
	Reread struct{ Number uint64 }
	// Call passes on an operator's call.
	Call struct {
		Number   uint64
		Verb, ID string
	}
	// Event passes on a provider's call-back.
	Event struct {
		Number   uint64
		ID, From string
		Lease    uint64
		State    byte
		Share    float64
		Result   []byte
	}
	// Reply answers a message that has a number.
	Reply struct {
		Number uint64
		Code   Code
		Why    string
	}
	// Takeover makes the newer process the one that serves, once it says so. Conns and Calls are what the older one holds.
	Takeover struct {
		Number       uint64
		Roster       Roster
		Names        []string // of providers, by the module's numbers for them
		Beliefs      []byte   // the module's
		Conns, Calls int
		Classes      []Class // by the places that jobs name
		Tenants      []Tenant
	}
	// Conn is a connection between messages. Its descriptor comes with it.
	Conn struct {
		Told   int
		Events bool
		Ahead  []byte // read ahead
	}
	// Job is a job and the connection that waits for its answer, which comes with it.
	Job struct {
		Number uint64
		Conn   Conn
		Last   bool // the connection ends with the answer

		ID, Party, Key, Subject, Protocol string
		Class, Tenant                     int // places
		Deadline, Left, Hint              time.Duration
		Slots                             float64
		Payload                           []byte
		Fields                            []Field
		Past                              []Past
	}
)

// Class is a class of the settings.
type Class struct {
	Name                  string
	Aim, Deadline, Window time.Duration
	Stretch, Worth        float64
	Effect, Group         byte
	Kind                  int
	Retired               bool
}

// Tenant is a tenant of the settings.
type Tenant struct {
	Name  string
	Quota float64
}

// Field is a field of the job's protocol.
type Field = struct{ Name, Value string }

// Past is an attempt that was made.
type Past struct {
	Provider           string
	Ago                time.Duration
	Begun, MayRun, Out bool
}

// Code is what a Reply says.
type Code byte

// The codes. Elsewhere: ask your own side again, the job has moved there.
const (
	Yes Code = iota
	No
	Unknown
	Elsewhere
)

func (*Hello) kind() byte    { return 1 }
func (*Welcome) kind() byte  { return 2 }
func (*Refusal) kind() byte  { return 3 }
func (*News) kind() byte     { return 4 }
func (*Reread) kind() byte   { return 5 }
func (*Call) kind() byte     { return 6 }
func (*Event) kind() byte    { return 7 }
func (*Reply) kind() byte    { return 8 }
func (*Takeover) kind() byte { return 9 }
func (*Conn) kind() byte     { return 10 }
func (*Job) kind() byte      { return 11 }

func blank(kind byte) Message {
	for _, m := range [...]Message{&Hello{}, &Welcome{}, &Refusal{}, &News{}, &Reread{}, &Call{}, &Event{}, &Reply{},
		&Takeover{}, &Conn{}, &Job{}} {
		if m.kind() == kind {
			return m
		}
	}
	return nil
}

// SetNumber implements Numbered.
func (m *News) SetNumber(n uint64)   { m.Number = n }
func (m *Reread) SetNumber(n uint64) { m.Number = n }
func (m *Call) SetNumber(n uint64)   { m.Number = n }
func (m *Event) SetNumber(n uint64)  { m.Number = n }
func (m *Job) SetNumber(n uint64)    { m.Number = n }

// SetNumber implements Numbered.
func (m *Takeover) SetNumber(n uint64) { m.Number = n }

// Append appends a message to b.
func Append(b []byte, m Message) []byte {
	w := walker{b: append(b, m.kind())}
	m.walk(&w)
	return w.b
}

// Parse reads a whole message. What it returns shares no memory with b.
func Parse(b []byte) (Message, error) {
	if len(b) == 0 {
		return nil, errors.New("handover: an empty message")
	}
	m := blank(b[0])
	if m == nil {
		return nil, fmt.Errorf("handover: a message of unknown kind %d", b[0])
	}
	w := walker{b: b[1:], reading: true}
	m.walk(&w)
	if w.err == nil && len(w.b) > 0 && !w.foreign {
		w.fail("bytes after the end")
	}
	if w.err != nil {
		return nil, fmt.Errorf("handover: message of kind %d: %w", b[0], w.err)
	}
	return m, nil
}

func (m *Hello) walk(w *walker) {
	if w.version(&m.Version) {
		w.text(&m.Name, &m.Listen)
	}
}

func (m *Welcome) walk(w *walker) {
	if w.version(&m.Version) {
		m.Roster.walk(w)
	}
}

func (m *Refusal) walk(w *walker) {
	if w.version(&m.Version) {
		w.text(&m.Why)
		w.flag(&m.Later)
	}
}

func (m *News) walk(w *walker) {
	w.number(&m.Number)
	m.Roster.walk(w)
}

func (m *Reread) walk(w *walker) { w.number(&m.Number) }

func (m *Call) walk(w *walker) {
	w.number(&m.Number)
	w.text(&m.Verb, &m.ID)
}

func (m *Event) walk(w *walker) {
	w.number(&m.Number, &m.Lease)
	w.text(&m.ID, &m.From)
	w.one(&m.State)
	w.float(&m.Share)
	w.bytes(&m.Result)
}

func (m *Reply) walk(w *walker) {
	w.number(&m.Number)
	w.one((*byte)(&m.Code))
	w.text(&m.Why)
}

func (m *Takeover) walk(w *walker) {
	w.number(&m.Number)
	m.Roster.walk(w)
	list(w, &m.Names, func(s *string) { w.text(s) })
	w.bytes(&m.Beliefs)
	w.whole(&m.Conns, &m.Calls)
	list(w, &m.Classes, func(c *Class) {
		w.text(&c.Name)
		w.time(&c.Aim, &c.Deadline, &c.Window)
		w.float(&c.Stretch, &c.Worth)
		w.one(&c.Effect, &c.Group)
		w.whole(&c.Kind)
		w.flag(&c.Retired)
	})
	list(w, &m.Tenants, func(t *Tenant) {
		w.text(&t.Name)
		w.float(&t.Quota)
	})
}

func (m *Conn) walk(w *walker) {
	w.whole(&m.Told)
	w.flag(&m.Events)
	w.bytes(&m.Ahead)
}

func (m *Job) walk(w *walker) {
	w.number(&m.Number)
	m.Conn.walk(w)
	w.flag(&m.Last)
	w.text(&m.ID, &m.Party, &m.Key, &m.Subject, &m.Protocol)
	w.whole(&m.Class, &m.Tenant)
	w.time(&m.Deadline, &m.Left, &m.Hint)
	w.float(&m.Slots)
	w.bytes(&m.Payload)
	list(w, &m.Fields, func(f *Field) { w.text(&f.Name, &f.Value) })
	list(w, &m.Past, func(p *Past) {
		w.text(&p.Provider)
		w.time(&p.Ago)
		w.flag(&p.Begun, &p.MayRun, &p.Out)
	})
}

func (r *Roster) walk(w *walker) {
	w.number(&r.Index)
	list(w, &r.Providers, func(p *Provider) {
		w.text(&p.Name, &p.Address, &p.Zone, &p.Type, &p.Status)
		w.whole(&p.Group)
		w.float(&p.Weight, &p.SinceMS)
		w.flag(&p.Gone, &p.Out)
		w.time(&p.Back)
	})
}

// walker writes values to b, or reads them from it: one walk serves both, so that they cannot disagree.
type walker struct {
	b       []byte
	reading bool
	foreign bool // of another version: the rest is not read
	err     error
}

func (w *walker) fail(why string) {
	if w.err == nil {
		w.err = errors.New(why)
	}
	w.b = nil
}

// version walks over the version and tells whether the rest can be walked over.
func (w *walker) version(v *uint64) bool {
	w.number(v)
	w.foreign = w.reading && *v != Version
	return !w.foreign
}

func (w *walker) number(values ...*uint64) {
	for _, v := range values {
		if !w.reading {
			w.b = binary.AppendUvarint(w.b, *v)
			continue
		}
		x, n := binary.Uvarint(w.b)
		if n <= 0 {
			w.fail("a number is cut off or too large")
			continue
		}
		*v, w.b = x, w.b[n:]
	}
}

// signed walks over a number that may be negative.
func (w *walker) signed(v *int64) {
	if !w.reading {
		w.b = binary.AppendVarint(w.b, *v)
		return
	}
	x, n := binary.Varint(w.b)
	if n <= 0 {
		w.fail("a number is cut off or too large")
		return
	}
	*v, w.b = x, w.b[n:]
}

func (w *walker) whole(values ...*int) {
	for _, v := range values {
		x := int64(*v)
		if w.signed(&x); w.reading {
			if x < math.MinInt32 || x > math.MaxInt32 {
				w.fail("a number is out of range")
				x = 0
			}
			*v = int(x)
		}
	}
}

func (w *walker) time(values ...*time.Duration) {
	for _, v := range values {
		w.signed((*int64)(v))
	}
}

func (w *walker) one(values ...*byte) {
	for _, v := range values {
		if !w.reading {
			w.b = append(w.b, *v)
			continue
		}
		if len(w.b) == 0 {
			w.fail("it is cut off")
			continue
		}
		*v, w.b = w.b[0], w.b[1:]
	}
}

func (w *walker) flag(values ...*bool) {
	for _, v := range values {
		var b byte
		if *v {
			b = 1
		}
		if w.one(&b); b > 1 {
			w.fail("a flag is neither true nor false")
		}
		*v = b == 1
	}
}

// float walks over a number; none is one that makes no sense to a decision.
func (w *walker) float(values ...*float64) {
	for _, v := range values {
		if !w.reading {
			w.b = binary.LittleEndian.AppendUint64(w.b, math.Float64bits(*v))
			continue
		}
		if len(w.b) < 8 {
			w.fail("a number is cut off")
			continue
		}
		x := math.Float64frombits(binary.LittleEndian.Uint64(w.b))
		if math.IsNaN(x) || math.IsInf(x, 0) {
			w.fail("a number is none")
			continue
		}
		*v, w.b = x, w.b[8:]
	}
}

func (w *walker) bytes(v *[]byte) {
	n := uint64(len(*v))
	w.number(&n)
	if !w.reading {
		w.b = append(w.b, *v...)
		return
	}
	if n > uint64(len(w.b)) {
		w.fail("bytes are cut off")
		return
	}
	*v, w.b = append([]byte(nil), w.b[:n]...), w.b[n:]
}

func (w *walker) text(values ...*string) {
	for _, v := range values {
		b := []byte(*v)
		if w.bytes(&b); w.reading {
			*v = string(b)
		}
	}
}

// list walks over a slice. Each element takes at least a byte, so a wrong length costs little memory.
func list[T any](w *walker, s *[]T, each func(*T)) {
	n := uint64(len(*s))
	w.number(&n)
	if !w.reading {
		for i := range *s {
			each(&(*s)[i])
		}
		return
	}
	if n > uint64(len(w.b)) {
		w.fail("a list is cut off")
		return
	}
	*s = nil
	for range n {
		var v T
		if each(&v); w.err != nil {
			return
		}
		*s = append(*s, v)
	}
}
