// Package peers encodes and decodes the messages that schedulers exchange. It defines the format of messages and states; it
// opens no connection and does not decide what a message causes. Everything begins with a version. If that is another one,
// nothing else is read, so that the receiver can ignore the message.
package peers

import (
	"errors"
	"fmt"
	"time"

	"laddertide/wire/binarycodec"
)

// Version is the format version of all messages, states and notes.
const Version = 1

// Limits of what is decoded. A message must fit into one packet together with the membership library's own data.
const (
	MaxMessage = 1200
	MaxState   = 4 << 20
	MaxName    = 255
)

// ErrVersion is returned for data of an unknown version.
var ErrVersion = errors.New("peers: unknown version")

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	Ban           Kind = iota + 1 // the ban's ID, Provider, At
	Enable                        // IDs of the lifted bans, Provider, At
	Forget                        // Name, Start: operators have declared this process to be over
	Ack                           // Number: of the acknowledged message, which is now in force
	Stop                          // Provider, Since, Index: the provider drains or is no longer listed, according to the sender's list
	FailureReport                 // Provider, Start, Index: From reports that the provider fails its jobs; Start and Index identify the report
	Leave                         // Start: the sender's process ends and sends nothing more
	kindEnd
)

// BanID is the ID of a ban.
type BanID struct {
	By    string
	Start uint64
	Seq   uint64
}

// Message is a message from one scheduler to another.
type Message struct {
	Kind     Kind
	Number   uint64 // if not 0, the receiver replies with an Ack
	From     string
	Start    uint64 // of the sender; in a Forget, of the process that is over
	Name     string // in a Forget only
	Provider string
	At       time.Duration // Unix time
	Since    time.Duration
	Index    uint64
	BanIDs   []BanID
}

// BanRecord is a ban within a State.
type BanRecord struct {
	BanID
	Provider string
	At       time.Duration
}

// Member is a scheduler within a State.
type Member struct {
	Name, Address string
	Start         uint64
	State         uint8
	Weight        float64
	Voter         bool
}

// State is everything that a scheduler knows. It is sent to a scheduler that may have missed messages.
type State struct {
	From       string
	Start      uint64
	Met        bool
	Members    []Member
	Bans       []BanRecord
	LiftedBans []BanID
	At         time.Duration // Unix time, by the sender's clock
	Checkpoint []byte        // checkpoint of the decision module's estimates, for a scheduler that has just started
}

// Note is the metadata that a scheduler publishes about itself through the membership protocol.
type Note struct {
	Start          uint64
	KeepsRecords   bool   // it stores records of jobs' owners
	Leaving        bool   // it is shutting down and stores nothing new
	StepsRemaining byte   // remaining steps of its recovery after a power loss; 0: it is in service, or has none
	Disk           uint64 // ID of its disk among members of groups; 0: it takes part in no group
}

// note encodes or decodes a note. The fields on records, on recovery and on the disk follow only if they, or later ones, are not zero.
func (w *codec) note(n *Note) {
	binarycodec.Integers(&w.Codec, &n.Start)
	if w.Reading && len(w.Bytes) > 0 || !w.Reading && (n.KeepsRecords || n.Leaving || n.StepsRemaining > 0 || n.Disk != 0) {
		w.Flag(&n.KeepsRecords, &n.Leaving)
	}
	if w.Reading && len(w.Bytes) > 0 || !w.Reading && (n.StepsRemaining > 0 || n.Disk != 0) {
		binarycodec.Integers(&w.Codec, &n.StepsRemaining)
	}
	if w.Reading && len(w.Bytes) > 0 || !w.Reading && n.Disk != 0 {
		binarycodec.Integers(&w.Codec, &n.Disk)
	}
}

type codec struct{ binarycodec.Codec }

// names encodes or decodes strings of at most MaxName bytes.
func (w *codec) names(values ...*string) {
	for _, v := range values {
		if w.Text(v); w.Reading && len(*v) > MaxName {
			w.Fail("has a name that is too long")
		}
	}
}

func (w *codec) banIDs(s *[]BanID) { binarycodec.List(&w.Codec, s, w.banID) }

func (w *codec) banID(d *BanID) {
	w.names(&d.By)
	binarycodec.Integers(&w.Codec, &d.Start, &d.Seq)
}

func (w *codec) message(m *Message) {
	binarycodec.Integers(&w.Codec, &m.Kind)
	if m.Kind == 0 || m.Kind >= kindEnd {
		w.Fail("has an unknown kind")
		return
	}
	binarycodec.Integers(&w.Codec, &m.Number, &m.Start, &m.Index)
	w.names(&m.From, &m.Name, &m.Provider)
	binarycodec.Integers(&w.Codec, &m.At, &m.Since)
	w.banIDs(&m.BanIDs)
	if m.Kind == Ban && len(m.BanIDs) != 1 {
		w.Fail("is a ban without its ID")
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
	binarycodec.List(&w.Codec, &s.Bans, func(b *BanRecord) {
		w.banID(&b.BanID)
		w.names(&b.Provider)
		binarycodec.Integers(&w.Codec, &b.At)
	})
	w.banIDs(&s.LiftedBans)
	binarycodec.Integers(&w.Codec, &s.At)
	w.Data(&s.Checkpoint)
}

func write(each func(*codec)) []byte {
	w := codec{}
	version := Version
	binarycodec.Integers(&w.Codec, &version)
	each(&w)
	return w.Bytes
}

func read(what string, b []byte, limit int, each func(*codec)) error {
	if len(b) > limit {
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

// Append returns the encoded message.
func (m *Message) Append() []byte { return write(func(w *codec) { w.message(m) }) }

// ReadMessage decodes a message.
func ReadMessage(b []byte) (m Message, err error) {
	err = read("a message", b, MaxMessage, func(w *codec) { w.message(&m) })
	return m, err
}

// Append returns the encoded state.
func (s *State) Append() []byte { return write(func(w *codec) { w.state(s) }) }

// ReadState decodes a state.
func ReadState(b []byte) (s State, err error) {
	err = read("a state", b, MaxState, func(w *codec) { w.state(&s) })
	return s, err
}

// Append returns the encoded note.
func (n *Note) Append() []byte {
	return write(func(w *codec) { w.note(n) })
}

// ReadNote decodes a note.
func ReadNote(b []byte) (n Note, err error) {
	err = read("a note", b, 64, func(w *codec) { w.note(&n) })
	return n, err
}
