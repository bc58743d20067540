// Package handover encodes and decodes the messages by which one process of a scheduler hands over to the next. It defines
// their format; it opens no connection and does not decide what a message causes. File descriptors are transferred along
// with messages and are not part of them.
package handover

import (
	"errors"
	"fmt"
	"math"
	"time"

	"laddertide/wire/binarycodec"
)

// Version is the version of the messages. Hello, Welcome and Refusal begin with it in all versions. If it is another one,
// nothing else of them is read.
const Version = 1

// MaxMessage is the size limit of a message. It is enough for the estimates and the list of some ten thousand providers.
const MaxMessage = 8 << 20

// Provider is the state of a provider in the older process.
type Provider struct {
	Name, Address, Zone, Type, Status string
	Group                             int
	Weight, SinceMS                   float64
	Unlisted, Banned                  bool
	BanLiftedAt                       time.Duration
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

// Numbered is a message that is answered by a Reply.
type Numbered interface {
	Message
	SetNumber(uint64)
	number() uint64
}

type (
	// Hello is the first message of the newer process, which connects to the older one's address.
	Hello struct {
		Version      uint64
		Name, Listen string
	}
	// Welcome accepts the newer process as the standby. The listening socket is sent with it.
	Welcome struct {
		Version uint64
		Roster  Roster
	}
	// Refusal refuses the newer process and says why. Later: it may retry soon.
	Refusal struct {
		Version    uint64
		Reason     string
		RetryLater bool
	}
	// RosterChange sends a changed roster to the standby process.
	RosterChange struct {
		Number uint64
		Roster Roster
	}
	// RereadConfig makes the standby process read its configuration again.
	RereadConfig struct{ Number uint64 }
	// OperatorRequest forwards an operator's request to the other process.
	OperatorRequest struct {
		Number   uint64
		Verb, ID string
	}
	// Event forwards a provider's call-back to the other process.
	Event struct {
		Number       uint64
		ID, Provider string
		Lease        uint64
		State        byte
		Share        float64
		Result       []byte
	}
	// Reply answers a Numbered message.
	Reply struct {
		Number uint64
		Code   Code
		Reason string
	}
	// Takeover makes the newer process the serving one, from its Reply on. Conns and Calls count what the older process still holds.
	Takeover struct {
		Number              uint64
		Roster              Roster
		Names               []string // of providers, indexed by the decision module's numbers for them
		Checkpoint          []byte   // checkpoint of the decision module
		Conns, OpenAttempts int
		Classes             []Class // indexed by Job.Class; Tenants by Job.Tenant
		Tenants             []Tenant
	}
	// Peers is sent before Takeover if the scheduler has peers: the start number of the older process, and all that it knows
	// of the fleet, encoded by wire/peers. An older process without peers sends none.
	Peers struct {
		Start  uint64
		State  []byte
		Owners []byte // its records of jobs' owners, encoded by wire/owners
	}
	// Clock is sent before Takeover: the reading of the previous process's clock at that moment, and the start times of providers by
	// that clock. Earlier versions omit it if the system's clock was not stepped. Without it both clocks are the same.
	Clock struct {
		Now    time.Duration // since 1970
		Ahead  time.Duration // upper limit of how far it is ahead of the fleet's clock
		Known  bool          // Ahead is a close limit
		Starts []Start
	}
	// Start is the start time of a provider: as discovery reports it, and by Clock.
	Start struct {
		Name           string
		Dated, Started time.Duration // since 1970; 0: long ago
	}
	// RunOnce is sent before Takeover: jobs that must not run twice and of which something was sent, in parts. Earlier versions omit it.
	RunOnce struct{ Jobs []OnceJob }
	// OnceJob is such a job: its key, and the time since it was last recorded.
	OnceJob struct {
		Key [16]byte
		Age time.Duration
	}
	// Conn is a connection without a message in progress. Its descriptor is sent with it.
	Conn struct {
		Messages         int    // number of messages that it has carried
		CarriesCallBacks bool   // one of them was a call-back
		ReadAhead        []byte // bytes of the next message that were read already
	}
	// Job is an open job and the connection that waits for its answer, whose descriptor is sent with it.
	Job struct {
		Number     uint64
		Conn       Conn
		CloseAfter bool // the connection is closed after the answer

		ID, TenantName, Key, Subject, Protocol string
		Class, Tenant                          int // indices into those of Takeover
		Deadline, TimeLeft, WorkHint           time.Duration
		Slots                                  float64
		Payload                                []byte
		Fields                                 []Field
		PastAttempts                           []PastAttempt
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

// Field is a header field of the job's request.
type Field = struct{ Name, Value string }

// PastAttempt is an earlier attempt.
type PastAttempt struct {
	Provider                      string
	Age                           time.Duration
	Started, MayHaveRun, InFlight bool
}

// Code is the result that a Reply carries.
type Code byte

// The codes. Elsewhere: the job has moved to the asking process, which must look it up again.
const (
	Yes Code = iota
	No
	Unknown
	Moved
)

func (*Hello) kind() byte           { return 1 }
func (*Welcome) kind() byte         { return 2 }
func (*Refusal) kind() byte         { return 3 }
func (*RosterChange) kind() byte    { return 4 }
func (*RereadConfig) kind() byte    { return 5 }
func (*OperatorRequest) kind() byte { return 6 }
func (*Event) kind() byte           { return 7 }
func (*Reply) kind() byte           { return 8 }
func (*Takeover) kind() byte        { return 9 }
func (*Conn) kind() byte            { return 10 }
func (*Job) kind() byte             { return 11 }
func (*Peers) kind() byte           { return 12 }
func (*Clock) kind() byte           { return 13 }
func (*RunOnce) kind() byte         { return 14 }

func newMessage(kind byte) Message {
	for _, m := range [...]Message{&Hello{}, &Welcome{}, &Refusal{}, &RosterChange{}, &RereadConfig{}, &OperatorRequest{}, &Event{}, &Reply{},
		&Takeover{}, &Conn{}, &Job{}, &Peers{}, &Clock{}, &RunOnce{}} {
		if m.kind() == kind {
			return m
		}
	}
	return nil
}

// SetNumber implements Numbered.
func (m *RosterChange) SetNumber(n uint64)    { m.Number = n }
func (m *RereadConfig) SetNumber(n uint64)    { m.Number = n }
func (m *OperatorRequest) SetNumber(n uint64) { m.Number = n }
func (m *Event) SetNumber(n uint64)           { m.Number = n }
func (m *Job) SetNumber(n uint64)             { m.Number = n }

// SetNumber implements Numbered.
func (m *Takeover) SetNumber(n uint64) { m.Number = n }

func (m *RosterChange) number() uint64    { return m.Number }
func (m *RereadConfig) number() uint64    { return m.Number }
func (m *OperatorRequest) number() uint64 { return m.Number }
func (m *Event) number() uint64           { return m.Number }
func (m *Job) number() uint64             { return m.Number }
func (m *Takeover) number() uint64        { return m.Number }

// NumberOf returns the number of a message that is answered by a Reply; 0: it is not one.
func NumberOf(m Message) uint64 {
	if numbered, ok := m.(Numbered); ok {
		return numbered.number()
	}
	return 0
}

// Append appends a message to b. It returns an error for a message that Parse would refuse.
func Append(b []byte, m Message) ([]byte, error) {
	w := codec{Codec: binarycodec.Codec{Bytes: append(b, m.kind())}}
	m.fields(&w)
	encoded, err := w.Encoded()
	if err != nil {
		return nil, fmt.Errorf("handover: message of kind %d: %w", m.kind(), err)
	}
	return encoded, nil
}

// MalformedError is the error of Parse for a message that begins as one of this package and cannot be decoded.
type MalformedError struct {
	Kind   byte
	Number uint64 // of a Numbered message, to reply to it; 0: unknown
	Err    error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("handover: message of kind %d: %v", e.Kind, e.Err)
}

func (e *MalformedError) Unwrap() error { return e.Err }

// Parse decodes a message, which must take all of b. What it returns shares no memory with b. The error is a *MalformedError.
func Parse(b []byte) (Message, error) {
	if len(b) == 0 {
		return nil, &MalformedError{Err: errors.New("is empty")}
	}
	m := newMessage(b[0])
	if m == nil {
		return nil, &MalformedError{Kind: b[0], Err: errors.New("is of an unknown kind")}
	}
	w := codec{Codec: binarycodec.Codec{Bytes: b[1:], Reading: true}}
	m.fields(&w)
	if w.Err == nil && len(w.Bytes) > 0 && !w.otherVersion {
		w.Fail("has bytes after its end")
	}
	if w.Err != nil {
		malformed := &MalformedError{Kind: b[0], Err: w.Err}
		if numbered, ok := m.(Numbered); ok {
			malformed.Number = numbered.number()
		}
		return nil, malformed
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
		w.Text(&m.Reason)
		w.Flag(&m.RetryLater)
	}
}

func (m *RosterChange) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Number)
	m.Roster.fields(w)
}

func (m *RereadConfig) fields(w *codec) { binarycodec.Integers(&w.Codec, &m.Number) }

func (m *OperatorRequest) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Number)
	w.Text(&m.Verb, &m.ID)
}

func (m *Event) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Number, &m.Lease)
	w.Text(&m.ID, &m.Provider)
	binarycodec.Integers(&w.Codec, &m.State)
	w.finiteFloats(&m.Share)
	w.Data(&m.Result)
}

func (m *Reply) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Number)
	binarycodec.Integers(&w.Codec, &m.Code)
	w.Text(&m.Reason)
}

func (m *Takeover) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Number)
	m.Roster.fields(w)
	binarycodec.List(&w.Codec, &m.Names, func(s *string) { w.Text(s) })
	w.Data(&m.Checkpoint)
	binarycodec.Integers(&w.Codec, &m.Conns, &m.OpenAttempts)
	binarycodec.List(&w.Codec, &m.Classes, func(c *Class) {
		w.Text(&c.Name)
		binarycodec.Integers(&w.Codec, &c.Aim, &c.Deadline, &c.Window)
		w.finiteFloats(&c.Stretch, &c.Worth)
		binarycodec.Integers(&w.Codec, &c.Effect, &c.Group)
		binarycodec.Integers(&w.Codec, &c.Kind)
		w.Flag(&c.Retired)
	})
	binarycodec.List(&w.Codec, &m.Tenants, func(t *Tenant) {
		w.Text(&t.Name)
		w.finiteFloats(&t.Quota)
	})
}

func (m *Peers) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Start)
	w.Data(&m.State)
	if w.Reading && len(w.Bytes) > 0 || !w.Reading && len(m.Owners) > 0 { // omitted by a process without records
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

func (m *RunOnce) fields(w *codec) {
	binarycodec.List(&w.Codec, &m.Jobs, func(j *OnceJob) {
		key := j.Key[:]
		w.Data(&key)
		if len(key) != len(j.Key) {
			w.Fail("a key has another length")
			return
		}
		copy(j.Key[:], key)
		binarycodec.Integers(&w.Codec, &j.Age)
	})
}

func (m *Conn) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Messages)
	w.Flag(&m.CarriesCallBacks)
	w.Data(&m.ReadAhead)
}

func (m *Job) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &m.Number)
	m.Conn.fields(w)
	w.Flag(&m.CloseAfter)
	w.Text(&m.ID, &m.TenantName, &m.Key, &m.Subject, &m.Protocol)
	binarycodec.Integers(&w.Codec, &m.Class, &m.Tenant)
	binarycodec.Integers(&w.Codec, &m.Deadline, &m.TimeLeft, &m.WorkHint)
	w.finiteFloats(&m.Slots)
	w.Data(&m.Payload)
	binarycodec.List(&w.Codec, &m.Fields, func(f *Field) { w.Text(&f.Name, &f.Value) })
	binarycodec.List(&w.Codec, &m.PastAttempts, func(p *PastAttempt) {
		w.Text(&p.Provider)
		binarycodec.Integers(&w.Codec, &p.Age)
		w.Flag(&p.Started, &p.MayHaveRun, &p.InFlight)
	})
}

func (r *Roster) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &r.Index)
	binarycodec.List(&w.Codec, &r.Providers, func(p *Provider) {
		w.Text(&p.Name, &p.Address, &p.Zone, &p.Type, &p.Status)
		binarycodec.Integers(&w.Codec, &p.Group)
		w.finiteFloats(&p.Weight, &p.SinceMS)
		w.Flag(&p.Unlisted, &p.Banned)
		binarycodec.Integers(&w.Codec, &p.BanLiftedAt)
	})
}

// codec encodes and decodes messages by a single definition.
type codec struct {
	binarycodec.Codec
	otherVersion bool // the message is of another version: the rest is not read
}

// version encodes or decodes the version and reports whether the rest can be read.
func (w *codec) version(v *uint64) bool {
	binarycodec.Integers(&w.Codec, v)
	w.otherVersion = w.Reading && *v != Version
	return !w.otherVersion
}

// finiteFloats encodes or decodes numbers. NaN and infinite values are errors, as the decision module cannot use them.
func (w *codec) finiteFloats(values ...*float64) {
	for _, v := range values {
		if w.Float(v); math.IsNaN(*v) || math.IsInf(*v, 0) {
			w.Fail("has a number that is not finite")
		}
	}
}
