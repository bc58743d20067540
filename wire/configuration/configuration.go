// Package configuration encodes and decodes the messages between sources of configuration, the schedulers that follow them and
// operators' tools. It defines the format and its limits; it opens no connection, and what a message causes is decided in
// core/configuration.
package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"laddertide/wire/binarycodec"
)

// FormatVersion is the format version of everything in this package.
const FormatVersion = 1

// Limits of what is decoded. A message that exceeds one is an error.
const (
	MaxDocument = 256 << 10 // bytes of a configuration document
	MaxName     = 255       // bytes of a name, an address, an author or a request id
	MaxReason   = 1 << 10   // bytes of a reason or another human-readable text
	MaxRows     = 4096      // followers in one message
	MaxMembers  = 7         // sources of one cluster

	// MaxFrame limits any message. MaxSmall limits a message without a document and rows: the first message of a connection and
	// everything that a follower sends.
	MaxFrame = 4 << 20
	MaxSmall = 4 << 10
)

// ErrFormat is returned for a message of an unknown version of this format.
var ErrFormat = errors.New("configuration: a message of an unknown version")

// Digest is the SHA-256 of a document.
type Digest [sha256.Size]byte

// DigestOf returns a document's digest.
func DigestOf(document []byte) Digest { return sha256.Sum256(document) }

// String returns the first eight bytes in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

// Role is the role of the process that opens a connection to a source.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota + 1 // a scheduler: Hello, then Report and Beat; receives Push and Beat
	RoleMember                   // another source: Hello, then messages between members; receives nothing
	RoleOperator                 // an operator's tool: Hello, then Propose, Fetch and StatusRequest; receives the answers
)

// Code is the result of a proposal or of a connection attempt.
type Code uint8

// The codes.
const (
	Accepted     Code = iota + 1 // the change is in the log of a majority
	Conflict                     // its base is not the newest version, which is in Version
	Invalid                      // the document fails validation
	RequestReuse                 // its request id was used for another document
	NoQuorum                     // no majority is reachable, or known to be; nothing was accepted
	Busy                         // too many proposals are in progress; nothing was accepted
	Uncertain                    // it may have been accepted or not: retry with the same request id
	TooMany                      // the connection exceeds the limit
	Foreign                      // it belongs to another cluster, or its name is not a member's
)

// String returns the code's name.
func (c Code) String() string {
	names := [...]string{"none", "accepted", "conflict", "invalid", "request id reused", "no quorum", "busy", "uncertain", "too many", "foreign"}
	if int(c) < len(names) {
		return names[c]
	}
	return fmt.Sprintf("code %d", uint8(c))
}

// Message is one of the pointer types below.
type Message interface {
	kind() kind
	fields(w *codec)
}

type kind uint8

const (
	kindHello kind = iota + 1
	kindWelcome
	kindRejected
	kindPush
	kindReport
	kindBeat
	kindPropose
	kindProposed
	kindFetch
	kindStatusRequest
	kindStatus
	kindRaft
	kindMember
	kindFollowers
)

// Hello is the first message on a connection, from the process that opened it.
type Hello struct {
	Role    Role
	Cluster string
	Name    string // of the scheduler, member or tool
	Start   uint64 // start number of the process; a later process of that name has a higher one
	Version uint64 // of a follower: the version in force; 0: none
	Digest  Digest // of that version
}

// Welcome is a source's answer to a Hello that it accepts.
type Welcome struct {
	Name      string // of the member
	Newest    uint64 // the newest version that it has
	Heartbeat int64  // milliseconds between two Beats, in both directions
}

// Rejected is a source's answer to a Hello that it does not accept. The source then closes the connection.
type Rejected struct {
	Code Code
	Text string
}

// Push carries the newest version to a follower, and answers a Fetch. At most one is in flight to a follower: the next is sent
// after its Report.
type Push struct {
	Version    uint64 // 0: there is none yet
	Digest     Digest
	AcceptedAt int64 // milliseconds since 1970, by the clock of the leader that accepted it
	Document   []byte
}

// Report carries the version that is in force at a follower. It is sent after each Push and after each change of that version.
type Report struct {
	Version uint64
	Digest  Digest
	Refused uint64 // the newest version that it refused; 0: none since its start
	Reason  string
}

// Beat is the heartbeat on a follower's connection, in both directions, and, with zero fields, on those between members.
type Beat struct {
	Newest    uint64 // from a source: the newest version that it has; from a follower: the version in force
	QuorumAge int64  // from a source: milliseconds since its last contact with a quorum; from a follower: 0
}

// Propose asks for a change.
type Propose struct {
	Request  string // ID of the proposal; a repeated one has the same
	Base     uint64 // the version that the change was made from: if that is not the newest, the change is refused
	Author   string
	Document []byte
}

// Proposed answers a Propose.
type Proposed struct {
	Request string
	Version uint64 // if accepted, the version of the change; on a conflict, the newest version
	Code    Code
	Text    string
}

// Fetch requests the newest version, which is sent as a Push.
type Fetch struct{}

// StatusRequest requests a Status.
type StatusRequest struct{}

// Status is the state of the cluster as one member knows it.
type Status struct {
	Member     string // the member that answers
	Leader     string // empty if none is known
	Term       uint64
	Newest     uint64
	Digest     Digest
	AcceptedAt int64 // see Push
	QuorumAge  int64 // see Beat
	Rows       []Follower
}

// Follower is one row of a Status: the state of a scheduler as far as it is known.
type Follower struct {
	Name     string
	Start    uint64
	Version  uint64
	Digest   Digest
	Refused  uint64
	Reason   string
	HeardAgo int64  // milliseconds since its last message
	Behind   int64  // milliseconds since the first version that it lacks was accepted; 0: it has the newest
	InDoubt  bool   // it has been silent for longer than its heartbeats allow
	Member   string // the member that it is, or was last, connected to
}

// Raft carries a message of the consensus library to another member.
type Raft struct {
	To    uint64 // ID of the receiver's disk
	Bytes []byte
}

// Member carries a member's own state to another member. A member sends it while it must not vote yet, while its disk is not part
// of the cluster, while it has had no contact with a majority for long, and as an answer to such a message.
type Member struct {
	Disk     uint64 // ID of its disk: drawn at random for a disk that is empty or replaces a lost one
	Unused   bool   // it has not voted or acknowledged anything with that disk, and asks to be added
	Term     uint64 // its hard state on disk
	Vote     uint64
	Last     uint64 // the last index of its log
	IsQuery  bool   // it asks the receiver what it has received from this disk
	IsAnswer bool   // this is an answer: Known is set
	Known    Promise
	Voters   []Voter // of the first configuration, from the member that founds the cluster
}

// Promise is what a member knows of the votes and acknowledgements that were given with another member's disk.
type Promise struct {
	Disk    uint64
	Term    uint64
	Vote    uint64 // the disk that it voted for in that term, if known
	Last    uint64 // the last index that it acknowledged in that term
	Removed bool   // the disk was removed from the cluster
}

// Voter is a voting member, with its disk.
type Voter struct {
	Name string
	Disk uint64
}

// Followers carries the state of the followers that are connected to a member from that member to the leader.
type Followers struct{ Rows []Follower }

func (*Hello) kind() kind         { return kindHello }
func (*Welcome) kind() kind       { return kindWelcome }
func (*Rejected) kind() kind      { return kindRejected }
func (*Push) kind() kind          { return kindPush }
func (*Report) kind() kind        { return kindReport }
func (*Beat) kind() kind          { return kindBeat }
func (*Propose) kind() kind       { return kindPropose }
func (*Proposed) kind() kind      { return kindProposed }
func (*Fetch) kind() kind         { return kindFetch }
func (*StatusRequest) kind() kind { return kindStatusRequest }
func (*Status) kind() kind        { return kindStatus }
func (*Raft) kind() kind          { return kindRaft }
func (*Member) kind() kind        { return kindMember }
func (*Followers) kind() kind     { return kindFollowers }

// newMessage returns an empty message of a kind, or nil if the kind is unknown.
func newMessage(k kind) Message {
	switch k {
	case kindHello:
		return &Hello{}
	case kindWelcome:
		return &Welcome{}
	case kindRejected:
		return &Rejected{}
	case kindPush:
		return &Push{}
	case kindReport:
		return &Report{}
	case kindBeat:
		return &Beat{}
	case kindPropose:
		return &Propose{}
	case kindProposed:
		return &Proposed{}
	case kindFetch:
		return &Fetch{}
	case kindStatusRequest:
		return &StatusRequest{}
	case kindStatus:
		return &Status{}
	case kindRaft:
		return &Raft{}
	case kindMember:
		return &Member{}
	case kindFollowers:
		return &Followers{}
	}
	return nil
}

// Append returns the encoded message.
func Append(m Message) []byte {
	w := codec{}
	format, k := FormatVersion, m.kind()
	binarycodec.Integers(&w.Codec, &format)
	binarycodec.Integers(&w.Codec, &k)
	m.fields(&w)
	return w.Bytes
}

// Read decodes a message, which must take all of b.
func Read(b []byte) (Message, error) {
	if len(b) > MaxFrame {
		return nil, fmt.Errorf("configuration: a message of %d bytes is too large", len(b))
	}
	w := codec{binarycodec.Codec{Bytes: b, Reading: true}}
	format, k := 0, kind(0)
	if binarycodec.Integers(&w.Codec, &format); w.Err == nil && format != FormatVersion {
		return nil, ErrFormat
	}
	binarycodec.Integers(&w.Codec, &k)
	m := newMessage(k)
	if w.Err == nil && m == nil {
		w.Fail("is of an unknown kind")
	}
	if w.Err == nil {
		m.fields(&w)
	}
	if w.Err == nil && len(w.Bytes) > 0 {
		w.Fail("has bytes after its end")
	}
	if w.Err != nil {
		return nil, fmt.Errorf("configuration: a message %w", w.Err)
	}
	return m, nil
}
