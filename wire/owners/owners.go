// Package owners reads and writes what schedulers say to each other of whose job is whose. It owns the format of these
// messages; it opens nothing, and what a message brings about is not decided here. They travel beside the messages of
// wire/peers, between members that know each other: [Is] tells them apart. Each begins with a version: of another one
// nothing else is read.
package owners

import (
	"errors"
	"fmt"
	"time"

	"laddertide/wire/binarycodec"
)

// Version is that of all messages here. It is of a range of its own, so that no message of wire/peers can be taken for one.
const Version = 101

// Bounds on what is read. What goes as a packet has to fit into one beside the membership's own words.
const (
	MaxPacket = 1200
	MaxWhole  = 4 << 20
	MaxName   = 255
	MaxID     = 128
	// MaxKept is the largest result that a record carries along: with names of 63 bytes each a record is a packet then.
	MaxKept = 384
	// MaxSent is how many calls a record names; the design has four attempts.
	MaxSent = 8
	// MaxJob is the largest job that is handed from one scheduler to another, of the requests that a front takes.
	MaxJob = 2 << 20
)

// ErrVersion says that something is of a version that is not known here.
var ErrVersion = errors.New("owners: a version that is not known")

// Kind says what a message is.
type Kind uint8

// The kinds of messages. All but Told want a reply of their number; a reply goes to who asked.
const (
	Put     Kind = iota + 1 // Record: keep it. Reply: Code, and what stands if it is not this one
	Drop                    // Record: its job never ran and is no more. Reply: Code
	Read                    // ID: what do you keep of it. Reply: Code, Record
	Ask                     // Record: what has become of this job of yours. Reply: Code, Outcome; Going: Told comes later
	Sync                    // Roster: I am to keep by this roster. Reply: Part
	Part                    // Roster, Piece of Pieces, Lasts, Records: what you are to keep of what I keep
	Where                   // Reply: Roster, the one by which I keep
	Hand                    // Job: it is yours now, by the permit in Roster. Reply: Code
	Event                   // Event: a provider's word on a job of yours. Reply: Code
	Reply                   // Number, Code, Record, Outcome, Roster
	Told                    // ID, Outcome: the job that you have asked about is over
	Many                    // Bundle: several messages, each whole
	Formers                 // Formers: I tell for these processes, which are over, with Part messages in their name
	Offer                   // ID: may I hand you this job. Reply: Code; Yes: Roster is a permit for a moment
	last
)

// Code is the word of a reply.
type Code uint8

// The codes.
const (
	Yes       Code = iota + 1
	No             // of Put: Record stands. Of Hand, Event: not taken
	Later          // not now: another roster counts here, or none yet
	Full           // there is no room
	Going          // of Ask: it goes on
	Over           // of Ask: Outcome is its answer
	Never          // of Ask: nothing of it was sent, and nothing will be
	Unknown        // of Ask, Event: nothing is known of it
	Another        // of Ask: its id is another job's
	Elsewhere      // of Ask: it has been handed to Record.Owner
	lastCode
)

// Process is a scheduler's process.
type Process struct {
	Name  string
	Start uint64
}

// Call is an invoker call of a job.
type Call struct {
	Provider string
	Ago      time.Duration // since it was about to be sent
}

// Outcome is a job's answer.
type Outcome struct {
	Kind       uint8 // of job.Outcome
	Result     []byte
	RetryAfter time.Duration
	Why        string
}

// Record is what is kept of a job's id.
type Record struct {
	ID     string
	Owner  Process
	Nonce  uint64   // of the owner's taking
	Term   uint64   // of ownership, from 1
	Rev    uint64   // of the owner's words on it, from 1
	Digest [16]byte // of what was asked
	Effect uint8    // of its class: what a repeat does
	Ledger bool     // its owner finds it again after a restart
	Won    bool     // a majority has said yes to this taking
	Left   time.Duration
	Due    time.Duration // from now until its first owner had to have answered
	Calls  []Call
	Ended  bool
	Kept   bool // Outcome is there; else its owner has it
	Outcome

	// Of Put: which record of another owner this one may replace; the zero Owner: none.
	Over     Process
	OverTerm uint64
	OverRev  uint64 // what of it was seen
}

// Past is a call of a job that is handed over.
type Past struct {
	Provider            string
	Ago                 time.Duration
	Begun, MayRun, Over bool
}

// Field is a field of a job's message.
type Field struct{ Name, Value string }

// Job is a job that another scheduler goes on with.
type Job struct {
	Record            Record
	Class, Party, Key string
	Subject, Protocol string
	Deadline, Left    time.Duration
	Hint              time.Duration
	Slots             float64
	Payload           []byte
	Fields            []Field
	Past              []Past
}

// ProviderWord is what a provider has said of a job.
type ProviderWord struct {
	From   string
	Lease  uint64
	State  uint8
	Share  float64
	Result []byte
}

// Message is anything that one scheduler tells another.
type Message struct {
	Kind   Kind
	Number uint64
	From   Process
	Code   Code
	Roster uint64 // its digest; 0: none
	ID     string

	Record        *Record
	Outcome       *Outcome
	Job           *Job
	Word          *ProviderWord
	Piece, Pieces int
	Lasts         [][]Process // the rosters by which it was kept
	Records       []Record
	Bundle        [][]byte
	Unsure        [][]Process // rosters, each followed by those of it who have not told
	Formers       []Process
}

type codec struct{ binarycodec.Codec }

// texts goes over texts that must be short.
func (w *codec) texts(most int, values ...*string) {
	for _, v := range values {
		if w.Text(v); w.Reading && len(*v) > most {
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
	w.texts(MaxName, &o.Why)
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
	binarycodec.Integers(&w.Codec, &r.Left, &r.Due)
	w.Flag(&r.Ledger, &r.Won, &r.Ended, &r.Kept)
	binarycodec.List(&w.Codec, &r.Calls, func(c *Call) {
		w.texts(MaxName, &c.Provider)
		binarycodec.Integers(&w.Codec, &c.Ago)
	})
	if w.Reading && len(r.Calls) > MaxSent {
		w.Fail("has too many calls")
	}
	if len(r.Calls) == 0 {
		r.Calls = nil
	}
	if r.Kept {
		if w.outcome(&r.Outcome); w.Reading && len(r.Result) > MaxKept {
			w.Fail("has a result that is too long")
		}
	}
	w.process(&r.Over)
	binarycodec.Integers(&w.Codec, &r.OverTerm, &r.OverRev)
}

func (w *codec) job(j *Job) {
	w.record(&j.Record)
	w.texts(MaxName, &j.Class)
	w.texts(MaxJob, &j.Party, &j.Key, &j.Subject, &j.Protocol)
	binarycodec.Integers(&w.Codec, &j.Deadline, &j.Left, &j.Hint)
	w.Float(&j.Slots)
	w.Data(&j.Payload)
	binarycodec.List(&w.Codec, &j.Fields, func(f *Field) { w.texts(MaxJob, &f.Name, &f.Value) })
	binarycodec.List(&w.Codec, &j.Past, func(p *Past) {
		w.texts(MaxName, &p.Provider)
		binarycodec.Integers(&w.Codec, &p.Ago)
		w.Flag(&p.Begun, &p.MayRun, &p.Over)
	})
	if len(j.Payload) == 0 {
		j.Payload = nil
	}
	if w.Reading && len(j.Past) > MaxSent {
		w.Fail("has too many calls")
	}
}

func (w *codec) word(e *ProviderWord) {
	w.texts(MaxName, &e.From)
	binarycodec.Integers(&w.Codec, &e.Lease)
	binarycodec.Integers(&w.Codec, &e.State)
	w.Float(&e.Share)
	w.Data(&e.Result)
}

// there goes over whether something follows, and makes it when it does.
func there[T any](w *codec, v **T, each func(*T)) {
	is := *v != nil
	if w.Flag(&is); !is || w.Err != nil {
		return
	}
	if w.Reading {
		*v = new(T)
	}
	each(*v)
}

func (w *codec) message(m *Message) {
	binarycodec.Integers(&w.Codec, &m.Kind)
	if m.Kind == 0 || m.Kind >= last {
		w.Fail("is of no kind")
		return
	}
	binarycodec.Integers(&w.Codec, &m.Number, &m.Roster)
	w.process(&m.From)
	if binarycodec.Integers(&w.Codec, &m.Code); m.Code >= lastCode {
		w.Fail("has no such word")
		return
	}
	w.texts(MaxID, &m.ID)
	there(w, &m.Record, w.record)
	there(w, &m.Outcome, w.outcome)
	there(w, &m.Job, w.job)
	there(w, &m.Word, w.word)
	if m.Kind == Part {
		binarycodec.Integers(&w.Codec, &m.Piece, &m.Pieces)
		binarycodec.List(&w.Codec, &m.Lasts, func(all *[]Process) { binarycodec.List(&w.Codec, all, w.process) })
		binarycodec.List(&w.Codec, &m.Unsure, func(all *[]Process) { binarycodec.List(&w.Codec, all, w.process) })
		binarycodec.List(&w.Codec, &m.Records, w.record)
	}
	if m.Kind == Many {
		binarycodec.List(&w.Codec, &m.Bundle, func(b *[]byte) { w.Data(b) })
	}
	if m.Kind == Formers {
		if binarycodec.List(&w.Codec, &m.Formers, w.process); w.Reading && len(m.Formers) > MaxFormers {
			w.Fail("has too many former processes")
		}
	}
	if w.Reading && w.Err == nil && m.lacks() {
		w.Fail("lacks what it is about")
	}
}

// lacks tells whether a message is without what its kind is about.
func (m *Message) lacks() bool {
	switch m.Kind {
	case Put, Drop, Ask:
		return m.Record == nil || m.Record.ID == "" || m.Record.Owner.Name == ""
	case Read, Offer:
		return m.ID == ""
	case Told:
		return m.ID == "" || m.Outcome == nil
	case Hand:
		return m.Job == nil || m.Job.Record.ID == ""
	case Event:
		return m.ID == "" || m.Word == nil
	case Formers:
		return len(m.Formers) == 0
	case Part:
		return m.Piece < 0 || m.Pieces < 1 || m.Piece >= m.Pieces
	}
	return false
}

// Append gives a message's bytes.
func (m *Message) Append() []byte {
	w := codec{}
	version := Version
	binarycodec.Integers(&w.Codec, &version)
	w.message(m)
	return w.Bytes
}

// Is tells whether bytes are meant to be a message of this package.
func Is(b []byte) bool {
	w := codec{binarycodec.Codec{Bytes: b, Reading: true}}
	version := 0
	binarycodec.Integers(&w.Codec, &version)
	return w.Err == nil && version >= Version
}

// Parse reads a message.
func Parse(b []byte) (*Message, error) {
	if len(b) > MaxWhole {
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
