// Package peers reads and writes what schedulers tell each other. It owns the format of messages and states; it opens
// nothing, and what a message brings about is not decided here. Everything begins with a version: of another one nothing
// else is read, so that it can be passed over.
package peers

import (
	"errors"
	"fmt"
	"time"

	"laddertide/wire/binarycodec"
)

// Version is that of all messages, states and notes.
const Version = 1

// Bounds on what is read. A message has to fit into a packet beside the membership's own words.
const (
	MaxMessage = 1200
	MaxState   = 4 << 20
	MaxName    = 255
)

// ErrVersion says that something is of a version that is not known here.
var ErrVersion = errors.New("peers: a version that is not known")

// Kind says what a message is.
type Kind uint8

// The kinds of messages.
const (
	Ban    Kind = iota + 1 // Dots[0], Provider, At
	Enable                 // Dots, Provider, At
	Forget                 // Name, Start: operators say that this process is over
	Ack                    // Number: of a message that wanted one, which is in force now
	Stop                   // Provider, Since, Index: the sender's list says that it drains or is gone
	Lesson                 // Provider, Start, Index: From has found that it fails what it is sent; the last two name the lesson
	Leave                  // Start: the sender's process is over, it sends nothing more
	last
)

// Dot names a ban.
type Dot struct {
	By    string
	Start uint64
	Seq   uint64
}

// Message is anything that one scheduler tells another.
type Message struct {
	Kind     Kind
	Number   uint64 // wants an Ack if not 0
	From     string
	Start    uint64 // of the sender; of Forget: of the process that is over
	Name     string // of Forget
	Provider string
	At       time.Duration // Unix time
	Since    time.Duration
	Index    uint64
	Dots     []Dot
}

// BanOf is a ban in a state.
type BanOf struct {
	Dot
	Provider string
	At       time.Duration
}

// Member is a scheduler in a state.
type Member struct {
	Name, Address string
	Start         uint64
	State         uint8
	Weight        float64
	Voter         bool
}

// State is all that a scheduler knows, for one that may have missed some of it.
type State struct {
	From    string
	Start   uint64
	Met     bool
	Members []Member
	Bans    []BanOf
	Undone  []Dot
	At      time.Duration // Unix time, by the sender's clock
	Beliefs []byte        // for one that has just started
}

// Note is what a scheduler says of itself to the membership.
type Note struct {
	Start   uint64
	Keeps   bool   // it keeps records of jobs' owners
	Leaving bool   // it will be over: it keeps nothing new
	ToGo    byte   // steps of its return after a loss of power that are yet to come; 0: it is in service, or has none
	Disk    uint64 // what its disk is called among members of groups; 0: it keeps none
}

// note goes over a note. What is said of records, and then of a return, follows only where there is something to say.
func (w *codec) note(n *Note) {
	binarycodec.Integers(&w.Codec, &n.Start)
	if w.Reading && len(w.Bytes) > 0 || !w.Reading && (n.Keeps || n.Leaving || n.ToGo > 0 || n.Disk != 0) {
		w.Flag(&n.Keeps, &n.Leaving)
	}
	if w.Reading && len(w.Bytes) > 0 || !w.Reading && (n.ToGo > 0 || n.Disk != 0) {
		binarycodec.Integers(&w.Codec, &n.ToGo)
	}
	if w.Reading && len(w.Bytes) > 0 || !w.Reading && n.Disk != 0 {
		binarycodec.Integers(&w.Codec, &n.Disk)
	}
}

type codec struct{ binarycodec.Codec }

// names goes over texts that must be short.
func (w *codec) names(values ...*string) {
	for _, v := range values {
		if w.Text(v); w.Reading && len(*v) > MaxName {
			w.Fail("has a name that is too long")
		}
	}
}

func (w *codec) dots(s *[]Dot) { binarycodec.List(&w.Codec, s, w.dot) }

func (w *codec) dot(d *Dot) {
	w.names(&d.By)
	binarycodec.Integers(&w.Codec, &d.Start, &d.Seq)
}

func (w *codec) message(m *Message) {
	binarycodec.Integers(&w.Codec, &m.Kind)
	if m.Kind == 0 || m.Kind >= last {
		w.Fail("is of no kind")
		return
	}
	binarycodec.Integers(&w.Codec, &m.Number, &m.Start, &m.Index)
	w.names(&m.From, &m.Name, &m.Provider)
	binarycodec.Integers(&w.Codec, &m.At, &m.Since)
	w.dots(&m.Dots)
	if m.Kind == Ban && len(m.Dots) != 1 {
		w.Fail("is a ban without its name")
	}
}

func (w *codec) state(s *State) {
	w.names(&s.From)
	binarycodec.Integers(&w.Codec, &s.Start)
	w.Flag(&s.Met)
	binarycodec.List(&w.Codec, &s.Members, func(m *Member) {
		w.names(&m.Name, &m.Address)
		binarycodec.Integers(&w.Codec, &m.Start)
		binarycodec.Integers(&w.Codec, &m.State)
		w.Float(&m.Weight)
		w.Flag(&m.Voter)
	})
	binarycodec.List(&w.Codec, &s.Bans, func(b *BanOf) {
		w.dot(&b.Dot)
		w.names(&b.Provider)
		binarycodec.Integers(&w.Codec, &b.At)
	})
	w.dots(&s.Undone)
	binarycodec.Integers(&w.Codec, &s.At)
	w.Data(&s.Beliefs)
}

func write(each func(*codec)) []byte {
	w := codec{}
	version := Version
	binarycodec.Integers(&w.Codec, &version)
	each(&w)
	return w.Bytes
}

func read(what string, b []byte, most int, each func(*codec)) error {
	if len(b) > most {
		return fmt.Errorf("peers: %s of %d bytes is too large", what, len(b))
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
		return fmt.Errorf("peers: %s %w", what, w.Err)
	}
	return nil
}

// Append gives a message's bytes.
func (m *Message) Append() []byte { return write(func(w *codec) { w.message(m) }) }

// ReadMessage reads a message.
func ReadMessage(b []byte) (m Message, err error) {
	err = read("a message", b, MaxMessage, func(w *codec) { w.message(&m) })
	return m, err
}

// Append gives a state's bytes.
func (s *State) Append() []byte { return write(func(w *codec) { w.state(s) }) }

// ReadState reads a state.
func ReadState(b []byte) (s State, err error) {
	err = read("a state", b, MaxState, func(w *codec) { w.state(&s) })
	return s, err
}

// Append gives a note's bytes.
func (n *Note) Append() []byte {
	return write(func(w *codec) { w.note(n) })
}

// ReadNote reads a note.
func ReadNote(b []byte) (n Note, err error) {
	err = read("a note", b, 64, func(w *codec) { w.note(&n) })
	return n, err
}
