// Package configuration reads and writes the messages between sources of configuration, the schedulers that follow them and
// operators' tools. It owns the format and its limits; it opens nothing, and what a message brings about is decided elsewhere
// (core/configuration).
package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"laddertide/wire/binarycodec"
)

// FormatVersion is that of all that is read and written here.
const FormatVersion = 1

// Limits of what is read. A message that passes one is an error.
const (
	MaxDocument = 256 << 10 // bytes of a configuration document
	MaxName     = 255       // bytes of a name, an address, an author or a request id
	MaxReason   = 1 << 10   // bytes of a reason or another text for people
	MaxRows     = 4096      // followers in one message
	MaxMembers  = 7         // sources of one cluster

	// MaxFrame bounds any message, MaxSmall one that carries neither a document nor rows: the first message of a connection, and
	// all that a follower sends, are small.
	MaxFrame = 4 << 20
	MaxSmall = 4 << 10
)

// ErrFormat says that a message is of a version of this format that is not known.
var ErrFormat = errors.New("configuration: a message of an unknown version")

// Digest is the SHA-256 of a document.
type Digest [sha256.Size]byte

// DigestOf returns a document's digest.
func DigestOf(document []byte) Digest { return sha256.Sum256(document) }

// String returns the first eight bytes in hexadecimal, for people.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

// Role says what opens a connection to a source.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota + 1 // a scheduler: Hello, then Report and Beat; receives Push and Beat
	RoleMember                   // another source: Hello, then messages between members, one way
	RoleOperator                 // a tool: Hello, then Propose, Fetch and StatusRequest; receives their answers
)

// Code says how a proposal or a connection was answered.
type Code uint8

// The codes.
const (
	Accepted     Code = iota + 1 // the change is in the log of a majority
	Conflict                     // its base is not the newest version; Version is
	Invalid                      // the document does not pass the check
	RequestReuse                 // its request id was used for another document
	NoQuorum                     // no majority is in reach, or none is known to be; nothing was accepted
	Busy                         // too much is under way; nothing was accepted
	Uncertain                    // it may be accepted or not: ask again with the same request id
	TooMany                      // a connection beyond the limit
	Foreign                      // of another cluster, or a name that is no member's
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

// Hello is the first message of whoever opens a connection.
type Hello struct {
	Role    Role
	Cluster string
	Name    string // of the scheduler, member or tool
	Start   uint64 // tells its processes apart: it grows from one to the next
	Version uint64 // of a follower: in force; 0: none
	Digest  Digest // of that
}

// Welcome is a source's answer to a Hello that it takes.
type Welcome struct {
	Name      string // of the member
	Newest    uint64 // the newest version that it has
	Heartbeat int64  // milliseconds between two Beats, both ways
}

// Rejected is a source's answer to a Hello that it does not take. It closes the connection.
type Rejected struct {
	Code Code
	Text string
}

// Push carries the newest version to a follower, and answers a Fetch. At most one is on its way to a follower: the next follows
// its Report.
type Push struct {
	Version    uint64 // 0: there is none yet
	Digest     Digest
	AcceptedAt int64 // milliseconds since 1970, by the clock of the leader that accepted it
	Document   []byte
}

// Report says which version is in force at a follower, after each Push and whenever it changes.
type Report struct {
	Version uint64
	Digest  Digest
	Refused uint64 // the newest version that it has refused; 0: none since its start
	Reason  string
}

// Beat goes both ways on a follower's connection at each heartbeat.
type Beat struct {
	Newest    uint64 // the newest version that a source has; of a follower: the version in force
	QuorumAge int64  // milliseconds since the source had contact with a quorum; of a follower: 0
}

// Propose asks for a change.
type Propose struct {
	Request  string // draws apart proposals: one that is repeated has the same
	Base     uint64 // the version that the change was made from: it is refused if that is not the newest
	Author   string
	Document []byte
}

// Proposed answers a Propose.
type Proposed struct {
	Request string
	Version uint64 // accepted: the change's; conflict: the newest
	Code    Code
	Text    string
}

// Fetch asks for the newest version, which comes as a Push.
type Fetch struct{}

// StatusRequest asks for a Status.
type StatusRequest struct{}

// Status says how the cluster is, as one member knows it.
type Status struct {
	Member     string // which one answers
	Leader     string // ""; none is known
	Term       uint64
	Newest     uint64
	Digest     Digest
	AcceptedAt int64 // see Push
	QuorumAge  int64 // see Beat
	Rows       []Follower
}

// Follower is one row of a Status: what is known of a scheduler.
type Follower struct {
	Name     string
	Start    uint64
	Version  uint64
	Digest   Digest
	Refused  uint64
	Reason   string
	HeardAgo int64  // milliseconds since it was heard of
	Behind   int64  // milliseconds since the first version that it does not have was accepted; 0: it has all of them
	InDoubt  bool   // it has not been heard of for longer than its heartbeats allow
	Member   string // that it is, or was, connected to
}

// Raft carries a message of the consensus library to another member.
type Raft struct {
	To    uint64 // the disk that it is for
	Bytes []byte
}

// Member is what a member tells another one of itself, at each heartbeat and when it starts.
type Member struct {
	Disk   uint64 // what its disk is called: drawn anew for one that is empty or was lost
	Fresh  bool   // it has promised nothing by that disk, and asks to be taken in
	Term   uint64 // its state on disk, as of its start
	Vote   uint64
	Last   uint64 // the last index of its log
	Asks   bool   // it has just started, and asks what this member has heard from its disk
	Tells  bool   // what follows is set
	Known  Promise
	Voters []Voter // of the first configuration, from the member that founds the cluster
}

// Promise is what a member has heard from another one's disk.
type Promise struct {
	Disk    uint64
	Term    uint64
	Vote    uint64 // for whom in that term, if it is known
	Last    uint64 // the last index that it acknowledged in that term
	Removed bool   // the disk is no member's any more
}

// Voter is a member with the disk by which it takes part.
type Voter struct {
	Name string
	Disk uint64
}

// Followers carries to the leader what another member knows of the followers connected to it.
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

// blank returns an empty message of a kind; nil: there is no such kind.
func blank(k kind) Message {
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

// Append returns a message's bytes.
func Append(m Message) []byte {
	w := codec{}
	format, k := FormatVersion, m.kind()
	binarycodec.Integers(&w.Codec, &format)
	binarycodec.Integers(&w.Codec, &k)
	m.fields(&w)
	return w.Bytes
}

// Read reads a message from all of b.
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
	m := blank(k)
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
