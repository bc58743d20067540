package follower

import (
	"net/netip"
	"path/filepath"
	"time"

	"laddertide/ledger"
	"laddertide/operator"
	"laddertide/peers"
	wire "laddertide/wire/configuration"
)

// Settings are the settings of the section configuration in the operator's file.
type Settings struct {
	Sources []string // their addresses
	Dir     string   // folder in which the newest version is saved; it must exist
	Cluster string
	Keys    [][]byte // the first one encrypts, all of them decrypt; nil: nothing is encrypted

	FS ledger.FS // nil: the operating system's file system
}

// Parse reads the section configuration, and the key file that it names. A relative path of a key file is relative to the folder of
// the operator's file.
func Parse(s *operator.Section) (Settings, error) {
	set := Settings{}
	keyFile := ""
	s.Require("sources", "dir", "cluster")
	s.Texts("sources", &set.Sources)
	s.Text("dir", &set.Dir)
	s.Text("cluster", &set.Cluster)
	s.Text("key_file", &keyFile)
	if len(set.Cluster) > wire.MaxName {
		s.Fail("cluster", "is longer than %d bytes", wire.MaxName)
	}
	if len(set.Sources) > wire.MaxMembers {
		s.Fail("sources", "has more than %d addresses", wire.MaxMembers)
	}
	if keyFile != "" {
		if !filepath.IsAbs(keyFile) {
			keyFile = filepath.Join(filepath.Dir(s.Path()), keyFile)
		}
		var err error
		if set.Keys, err = peers.ReadKeys(keyFile); err != nil {
			s.Fail("key_file", "%s", err)
		}
	}
	for _, address := range set.Sources {
		at, err := netip.ParseAddrPort(address)
		switch {
		case err != nil:
			s.Fail("sources", "%q is no IP address with a port", address)
		case at.Port() == 0:
			s.Fail("sources", "%q has no port", address)
		case at.Addr().IsUnspecified():
			s.Fail("sources", "%q is not the address of one machine", address)
		case set.Keys == nil && !at.Addr().IsLoopback():
			s.Fail("sources", "%q is not on this machine: without key_file anybody could change the configuration", address)
		}
	}
	return set, s.Done()
}

// CheckDir returns an error if the folder cannot be used.
func (s *Settings) CheckDir() error { return operator.CheckFolder("configuration.dir", s.Dir) }

// maxQueries is the maximum number of concurrent queries for the state of all followers.
const maxQueries = 2

// Descriptors is the maximum number of file descriptors of a follower: the folder's lock, the folder, the file being written, the
// connection to a source, the next connection while that one closes, and the connections of queries.
const Descriptors = 3 + 2 + maxQueries

// Memory returns the maximum memory of a follower in bytes: for a document as received, as parsed, in force and being written to
// disk, and for the answers to queries.
func (s *Settings) Memory() int {
	const documents, parsed = 4, 8 // copies of a document, and the size of a parsed document as a multiple of its bytes
	return (documents+parsed)*wire.MaxDocument + maxQueries*wire.MaxFrame
}

// Timing holds the intervals and time-outs of a follower.
type Timing struct {
	HeartbeatInterval time.Duration // between two heartbeats
	SilenceLimit      time.Duration // without a message, after which the connection to a source is closed
	QuorumAgeLimit    time.Duration // without contact with a quorum, after which a source is left for another one
	DialTimeout       time.Duration // to establish a connection, and again for the source's answer to the hello
	WriteTimeout      time.Duration // to write one message
	MinRetry          time.Duration // between attempts in the first round over all sources
	MaxRetry          time.Duration // maximum between attempts in later rounds
	QueryTimeout      time.Duration // for a query of the state of all followers
}

const (
	// defaultHeartbeat is the sources' default interval. With it, a source that stops sending is left after 3 s, so a change is in force
	// within 6 s.
	defaultHeartbeat = time.Second

	// Limits on the heartbeat interval that a source may announce.
	minHeartbeat = 50 * time.Millisecond
	maxHeartbeat = 10 * time.Second

	// maxMissedBeats is the number of heartbeat intervals without a message after which a connection is closed; sources use the same
	// number for followers.
	maxMissedBeats = 3

	// queryTimeout limits a query for the state of all followers: the operator's page must answer within a second.
	queryTimeout = 700 * time.Millisecond
)

// defaultTiming applies until a source has announced its heartbeat interval.
var defaultTiming = Timing{DialTimeout: defaultHeartbeat, WriteTimeout: defaultHeartbeat, MinRetry: defaultHeartbeat / 4, MaxRetry: 2 * defaultHeartbeat,
	QueryTimeout: queryTimeout}.withHeartbeat(defaultHeartbeat)

// withHeartbeat returns the timing for a source with the given heartbeat interval.
func (t Timing) withHeartbeat(heartbeat time.Duration) Timing {
	t.HeartbeatInterval = min(max(heartbeat, minHeartbeat), maxHeartbeat)
	t.SilenceLimit, t.QuorumAgeLimit = maxMissedBeats*t.HeartbeatInterval, maxMissedBeats*t.HeartbeatInterval
	return t
}
