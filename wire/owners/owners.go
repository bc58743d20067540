// Package owners encodes and decodes the messages by which schedulers agree on the owner of each job. It defines their
// format; it opens no connection and does not decide what a message causes. The messages share the channel of those of
// wire/peers, between members of the fleet; [IsMessage] distinguishes them. Each begins with a version. If that is another one,
// nothing else is read.
package owners

import (
	"errors"
	"fmt"
	"math"
	"time"

	"laddertide/wire/binarycodec"
)

// Version is the format version of all messages of this package. Its range is distinct from that of wire/peers, so that a
// message of that package cannot be mistaken for one of these.
const Version = 101

// Limits of what is decoded. What is sent as a packet must fit into one together with the membership library's own data.
const (
	MaxPacket  = 1200
	MaxMessage = 4 << 20
	MaxName    = 255
	MaxID      = 128
	// MaxRecordResult is the largest result that a record carries: with names of up to 63 bytes such a record still fits into a packet.
	MaxRecordResult = 384
	// MaxAttempts is the maximum number of attempts in a record; a job has up to four by design.
	MaxAttempts = 8
	// MaxJob is the size of the largest job that is handed over to another scheduler. It covers all requests that a frontend accepts.
	MaxJob = 2 << 20
)

// ErrVersion is returned for data of an unknown version.
var ErrVersion = errors.New("owners: unknown version")

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. A request for which a reply is given below is answered under the same Number, to the process that asked.
const (
	Put         Kind = iota + 1 // Record: store it. Reply: Code, and Record if another one conflicts
	Drop                        // Record: remove it, no attempt at its job was or will be made. Reply: Code
	Read                        // ID: return the stored record. Reply: Code, Record
	QueryJob                    // Record: return the state of this job of the receiver. Reply: Code, Outcome; for an open job the Outcome follows later
	Sync                        // Roster: return the records that the sender has to store under this roster. Reply: their parts
	RecordsPart                 // Roster, Piece of Pieces, Records: those of the sender's records that the receiver has to store; in piece 0 also lists of rosters
	GetRoster                   // asks for the roster in force. Reply: Roster
	HandOver                    // Job: hands the job over to the receiver, under the permit in Roster. Reply: Code
	Event                       // ID, and a provider's report on a job of the receiver. Reply: Code
	Reply                       // Number, Code, Record, Outcome, Roster
	JobEnded                    // ID, Outcome: a job that the receiver has asked about is over
	Batch                       // Bundle: several complete messages
	Formers                     // Formers: the sender answers for these ended processes, with parts in their name
	Offer                       // ID: asks whether the receiver accepts this job. Reply: Code; with Yes, Roster is a short-lived permit
	kindEnd
)

// Code is the result that a Reply carries.
type Code uint8

// The codes. On synchronization, codes say whether the sender has a roster in force.
const (
	Yes        Code = iota + 1
	No              // to a put: Record is stored and conflicts; to an offer, a handover or an event: not accepted
	RetryLater      // retry later: another roster is in force, or none yet
	TableFull       // the table of records is full
	InProgress      // to a query: the job is open
	JobOver         // to a query: Outcome is the job's answer
	NeverSent       // to a query: no attempt was sent, and none will be
	Unknown         // to a query, a read or an event: the job is not known
	IDConflict      // to a query: the ID belongs to another job
	HandedOver      // to a query: the job was handed over to Record.Owner
	codeEnd
)

// Process identifies one process of a scheduler.
type Process struct {
	Name  string
	Start uint64
}

// Attempt is an attempt at a job.
type Attempt struct {
	Provider string
	Age      time.Duration // since just before it was sent
}

// Outcome is a job's answer.
type Outcome struct {
	Kind       uint8 // the number of job.Outcome's kind
	Result     []byte
	RetryAfter time.Duration
	Reason     string
}

// Record is the stored ownership of a job ID.
type Record struct {
	ID         string
	Owner      Process
	Nonce      uint64   // of the owner's claim
	Term       uint64   // of ownership, from 1
	Rev        uint64   // revision of the record by its owner, from 1
	Digest     [16]byte // of the request
	Effect     uint8    // of its class: the effect of running the job twice
	InLedger   bool     // its owner's ledger has the job, also after a restart
	Confirmed  bool     // a majority has confirmed this claim
	TimeLeft   time.Duration
	DueIn      time.Duration // time left until the job's deadline at its first owner
	Attempts   []Attempt
	Ended      bool
	HasOutcome bool // Outcome is set; otherwise the owner has it
	Outcome

	// In a Put: the record of another owner that this one may replace; none if the owner is zero.
	Replaces     Process
	ReplacesTerm uint64
	ReplacesRev  uint64 // the revision that was seen
}

// PastAttempt is an earlier attempt at a job that is handed over.
type PastAttempt struct {
	Provider                   string
	Age                        time.Duration
	Started, MayHaveRun, Ended bool
}

// Field is a header field of a job's request.
type Field struct{ Name, Value string }

// Job is an open job that is handed over to another scheduler.
type Job struct {
	Record                 Record
	Class, TenantName, Key string
	Subject, Protocol      string
	Deadline, TimeLeft     time.Duration
	WorkHint               time.Duration
	Slots                  float64
	Payload                []byte
	Fields                 []Field
	PastAttempts           []PastAttempt
}

// ProviderReport is a provider's report on a job.
type ProviderReport struct {
	Provider string
	Lease    uint64
	State    uint8
	Share    float64
	Result   []byte
}

// Message is a message from one scheduler to another. Its kind determines which fields are set.
type Message struct {
	Kind   Kind
	Number uint64
	From   Process
	Code   Code
	Roster uint64 // digest of a roster, or a permit; 0: none
	ID     string

	Record            *Record
	Outcome           *Outcome
	Job               *Job
	Report            *ProviderReport
	Piece, Pieces     int
	StoredUnder       [][]Process // the rosters under which the records were stored
	Records           []Record
	Bundle            [][]byte
	IncompleteRosters [][]Process // pairs: a roster, then those of its members that have not answered
	Formers           []Process
}

type codec struct{ binarycodec.Codec }

// texts encodes or decodes strings of at most that many bytes.
func (w *codec) texts(limit int, values ...*string) {
	for _, v := range values {
		if w.Text(v); w.Reading && len(*v) > limit {
			w.Fail("has a text that is too long")
		}
	}
}

func (w *codec) process(p *Process) {
	w.texts(MaxName, &p.Name)
	binarycodec.Integers(&w.Codec, &p.Start)
}

func (w *codec) outcome(o *Outcome) {
	binarycodec.Integers(&w.Codec, &o.Kind)
	w.Data(&o.Result)
	binarycodec.Integers(&w.Codec, &o.RetryAfter)
	w.texts(MaxName, &o.Reason)
	if w.Reading && len(o.Result) == 0 {
		o.Result = nil
	}
}

func (w *codec) record(r *Record) {
	w.texts(MaxID, &r.ID)
	w.process(&r.Owner)
	binarycodec.Integers(&w.Codec, &r.Nonce, &r.Term, &r.Rev)
	digest := r.Digest[:]
	if w.Data(&digest); w.Reading {
		if len(digest) != len(r.Digest) {
			w.Fail("has a digest of another length")
			return
		}
		copy(r.Digest[:], digest)
	}
	binarycodec.Integers(&w.Codec, &r.Effect)
	binarycodec.Integers(&w.Codec, &r.TimeLeft, &r.DueIn)
	w.Flag(&r.InLedger, &r.Confirmed, &r.Ended, &r.HasOutcome)
	binarycodec.List(&w.Codec, &r.Attempts, func(c *Attempt) {
		w.texts(MaxName, &c.Provider)
		binarycodec.Integers(&w.Codec, &c.Age)
	})
	if w.Reading && len(r.Attempts) > MaxAttempts {
		w.Fail("has too many calls")
	}
	if len(r.Attempts) == 0 {
		r.Attempts = nil
	}
	if r.HasOutcome {
		if w.outcome(&r.Outcome); w.Reading && len(r.Result) > MaxRecordResult {
			w.Fail("has a result that is too long")
		}
	}
	w.process(&r.Replaces)
	binarycodec.Integers(&w.Codec, &r.ReplacesTerm, &r.ReplacesRev)
}

func (w *codec) job(j *Job) {
	w.record(&j.Record)
	w.texts(MaxName, &j.Class)
	w.texts(MaxJob, &j.TenantName, &j.Key, &j.Subject, &j.Protocol)
	binarycodec.Integers(&w.Codec, &j.Deadline, &j.TimeLeft, &j.WorkHint)
	if w.Float(&j.Slots); w.Reading && (math.IsNaN(j.Slots) || math.IsInf(j.Slots, 0)) {
		j.Slots = 0 // not given; earlier versions took it from clients
	}
	w.Data(&j.Payload)
	binarycodec.List(&w.Codec, &j.Fields, func(f *Field) { w.texts(MaxJob, &f.Name, &f.Value) })
	binarycodec.List(&w.Codec, &j.PastAttempts, func(p *PastAttempt) {
		w.texts(MaxName, &p.Provider)
		binarycodec.Integers(&w.Codec, &p.Age)
		w.Flag(&p.Started, &p.MayHaveRun, &p.Ended)
	})
	if len(j.Payload) == 0 {
		j.Payload = nil
	}
	if w.Reading && len(j.PastAttempts) > MaxAttempts {
		w.Fail("has too many calls")
	}
}

func (w *codec) providerReport(e *ProviderReport) {
	w.texts(MaxName, &e.Provider)
	binarycodec.Integers(&w.Codec, &e.Lease)
	binarycodec.Integers(&w.Codec, &e.State)
	w.Float(&e.Share)
	w.Data(&e.Result)
}

// optional encodes or decodes an optional value: a flag, then the value if it is set.
func optional[T any](w *codec, v **T, each func(*T)) {
	present := *v != nil
	if w.Flag(&present); !present || w.Err != nil {
		return
	}
	if w.Reading {
		*v = new(T)
	}
	each(*v)
}

func (w *codec) message(m *Message) {
	binarycodec.Integers(&w.Codec, &m.Kind)
	if m.Kind == 0 || m.Kind >= kindEnd {
		w.Fail("has an unknown kind")
		return
	}
	binarycodec.Integers(&w.Codec, &m.Number, &m.Roster)
	w.process(&m.From)
	if binarycodec.Integers(&w.Codec, &m.Code); m.Code >= codeEnd {
		w.Fail("has an unknown code")
		return
	}
	w.texts(MaxID, &m.ID)
	optional(w, &m.Record, w.record)
	optional(w, &m.Outcome, w.outcome)
	optional(w, &m.Job, w.job)
	optional(w, &m.Report, w.providerReport)
	if m.Kind == RecordsPart {
		binarycodec.Integers(&w.Codec, &m.Piece, &m.Pieces)
		binarycodec.List(&w.Codec, &m.StoredUnder, func(all *[]Process) { binarycodec.List(&w.Codec, all, w.process) })
		binarycodec.List(&w.Codec, &m.IncompleteRosters, func(all *[]Process) { binarycodec.List(&w.Codec, all, w.process) })
		binarycodec.List(&w.Codec, &m.Records, w.record)
	}
	if m.Kind == Batch {
		binarycodec.List(&w.Codec, &m.Bundle, func(b *[]byte) { w.Data(b) })
	}
	if m.Kind == Formers {
		if binarycodec.List(&w.Codec, &m.Formers, w.process); w.Reading && len(m.Formers) > MaxFormers {
			w.Fail("has too many former processes")
		}
	}
	if w.Reading && w.Err == nil && m.isIncomplete() {
		w.Fail("lacks a field that its kind requires")
	}
}

// isIncomplete reports whether a message lacks a field that its kind requires.
func (m *Message) isIncomplete() bool {
	switch m.Kind {
	case Put, Drop, QueryJob:
		return m.Record == nil || m.Record.ID == "" || m.Record.Owner.Name == ""
	case Read, Offer:
		return m.ID == ""
	case JobEnded:
		return m.ID == "" || m.Outcome == nil
	case HandOver:
		return m.Job == nil || m.Job.Record.ID == ""
	case Event:
		return m.ID == "" || m.Report == nil
	case Formers:
		return len(m.Formers) == 0
	case RecordsPart:
		return m.Piece < 0 || m.Pieces < 1 || m.Piece >= m.Pieces
	}
	return false
}

// Append returns the encoded message.
func (m *Message) Append() []byte {
	w := codec{}
	version := Version
	binarycodec.Integers(&w.Codec, &version)
	w.message(m)
	return w.Bytes
}

// IsMessage reports whether b begins like a message of this package, of this or a later version.
func IsMessage(b []byte) bool {
	w := codec{binarycodec.Codec{Bytes: b, Reading: true}}
	version := 0
	binarycodec.Integers(&w.Codec, &version)
	return w.Err == nil && version >= Version
}

// Parse decodes a message.
func Parse(b []byte) (*Message, error) {
	if len(b) > MaxMessage {
		return nil, fmt.Errorf("owners: a message of %d bytes is too large", len(b))
	}
	w := codec{binarycodec.Codec{Bytes: b, Reading: true}}
	version := 0
	if binarycodec.Integers(&w.Codec, &version); w.Err == nil && version != Version {
		return nil, ErrVersion
	}
	m := &Message{}
	if w.Err == nil {
		w.message(m)
	}
	if w.Err == nil && len(w.Bytes) > 0 {
		w.Fail("has bytes after its end")
	}
	if w.Err != nil {
		return nil, fmt.Errorf("owners: a message %w", w.Err)
	}
	return m, nil
}
