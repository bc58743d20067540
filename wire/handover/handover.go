// Package handover reads and writes the messages by which one process of a scheduler hands over to the next. It owns
// their format; it opens nothing, and what a message brings about is not decided here. Descriptors go beside messages and
// are not part of them.
package handover

import (
	"errors"
	"fmt"
	"math"
	"time"

	"laddertide/wire/binarycodec"
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
	fields(*codec)
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
	// Peers comes before Takeover where schedulers know each other: the older process's start, and all that it knows, in the
	// words of wire/peers. An older process without it sends none.
	Peers struct {
		Start  uint64
		State  []byte
		Owners []byte // what it keeps of jobs' owners, in the words of wire/owners
	}
	// Clock comes before Takeover: the clock of the process before as it sends this, and by that clock when providers started. Earlier
	// versions leave it out where the system's clock was not stepped. Without it both clocks are alike.
	Clock struct {
		Now    time.Duration // since 1970
		Ahead  time.Duration // of the fleet's clock, at the most
		Known  bool          // Ahead is close to the truth
		Starts []Start
	}
	// Start is when a provider started, as discovery dates it and by Clock.
	Start struct {
		Name           string
		Dated, Started time.Duration // since 1970; 0: long ago
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
func (*Peers) kind() byte    { return 12 }
func (*Clock) kind() byte    { return 13 }

func blank(kind byte) Message {
	for _, m := range [...]Message{&Hello{}, &Welcome{}, &Refusal{}, &News{}, &Reread{}, &Call{}, &Event{}, &Reply{},
		&Takeover{}, &Conn{}, &Job{}, &Peers{}, &Clock{}} {
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
	w := codec{Codec: binarycodec.Codec{Bytes: append(b, m.kind())}}
	m.fields(&w)
	return w.Bytes
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
	w := codec{Codec: binarycodec.Codec{Bytes: b[1:], Reading: true}}
	m.fields(&w)
	if w.Err == nil && len(w.Bytes) > 0 && !w.foreign {
		w.Fail("bytes after the end")
	}
	if w.Err != nil {
		return nil, fmt.Errorf("handover: message of kind %d: %w", b[0], w.Err)
	}
	return m, nil
}

func (m *Hello) fields(w *codec) {
	if w.version(&m.Version) {
		w.Text(&m.Name, &m.Listen)
	}
}

func (m *Welcome) fields(w *codec) {
	if w.version(&m.Version) {
		m.Roster.fields(w)
	}
}

func (m *Refusal) fields(w *codec) {
	if w.version(&m.Version) {
		w.Text(&m.Why)
		w.Flag(&m.Later)
	}
}

func (m *News) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Number)
	m.Roster.fields(w)
}

func (m *Reread) fields(w *codec) { binarycodec.Integers(&w.Codec, &m.Number) }

func (m *Call) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Number)
	w.Text(&m.Verb, &m.ID)
}

func (m *Event) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Number, &m.Lease)
	w.Text(&m.ID, &m.From)
	binarycodec.Integers(&w.Codec, &m.State)
	w.number(&m.Share)
	w.Data(&m.Result)
}

func (m *Reply) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Number)
	binarycodec.Integers(&w.Codec, &m.Code)
	w.Text(&m.Why)
}

func (m *Takeover) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Number)
	m.Roster.fields(w)
	binarycodec.List(&w.Codec, &m.Names, func(s *string) { w.Text(s) })
	w.Data(&m.Beliefs)
	binarycodec.Integers(&w.Codec, &m.Conns, &m.Calls)
	binarycodec.List(&w.Codec, &m.Classes, func(c *Class) {
		w.Text(&c.Name)
		binarycodec.Integers(&w.Codec, &c.Aim, &c.Deadline, &c.Window)
		w.number(&c.Stretch, &c.Worth)
		binarycodec.Integers(&w.Codec, &c.Effect, &c.Group)
		binarycodec.Integers(&w.Codec, &c.Kind)
		w.Flag(&c.Retired)
	})
	binarycodec.List(&w.Codec, &m.Tenants, func(t *Tenant) {
		w.Text(&t.Name)
		w.number(&t.Quota)
	})
}

func (m *Peers) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Start)
	w.Data(&m.State)
	if w.Reading && len(w.Bytes) > 0 || !w.Reading && len(m.Owners) > 0 { // a process without it says nothing of it
		w.Data(&m.Owners)
	}
}

func (m *Clock) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Now, &m.Ahead)
	w.Flag(&m.Known)
	binarycodec.List(&w.Codec, &m.Starts, func(s *Start) {
		w.Text(&s.Name)
		binarycodec.Integers(&w.Codec, &s.Dated, &s.Started)
	})
}

func (m *Conn) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Told)
	w.Flag(&m.Events)
	w.Data(&m.Ahead)
}

func (m *Job) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Number)
	m.Conn.fields(w)
	w.Flag(&m.Last)
	w.Text(&m.ID, &m.Party, &m.Key, &m.Subject, &m.Protocol)
	binarycodec.Integers(&w.Codec, &m.Class, &m.Tenant)
	binarycodec.Integers(&w.Codec, &m.Deadline, &m.Left, &m.Hint)
	w.number(&m.Slots)
	w.Data(&m.Payload)
	binarycodec.List(&w.Codec, &m.Fields, func(f *Field) { w.Text(&f.Name, &f.Value) })
	binarycodec.List(&w.Codec, &m.Past, func(p *Past) {
		w.Text(&p.Provider)
		binarycodec.Integers(&w.Codec, &p.Ago)
		w.Flag(&p.Begun, &p.MayRun, &p.Out)
	})
}

func (r *Roster) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &r.Index)
	binarycodec.List(&w.Codec, &r.Providers, func(p *Provider) {
		w.Text(&p.Name, &p.Address, &p.Zone, &p.Type, &p.Status)
		binarycodec.Integers(&w.Codec, &p.Group)
		w.number(&p.Weight, &p.SinceMS)
		w.Flag(&p.Gone, &p.Out)
		binarycodec.Integers(&w.Codec, &p.Back)
	})
}

// codec encodes and decodes messages by one definition.
type codec struct {
	binarycodec.Codec
	foreign bool // of another version: the rest is not read
}

// version goes over the version and tells whether the rest can be read.
func (w *codec) version(v *uint64) bool {
	binarycodec.Integers(&w.Codec, v)
	w.foreign = w.Reading && *v != Version
	return !w.foreign
}

// number goes over numbers; nothing that is none, or endless, is one to a decision.
func (w *codec) number(values ...*float64) {
	for _, v := range values {
		if w.Float(v); math.IsNaN(*v) || math.IsInf(*v, 0) {
			w.Fail("a number is none")
		}
	}
}
