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

// Settings are what the operators' file says of the configuration that this scheduler follows.
type Settings struct {
	Sources []string // their addresses
	Dir     string   // the folder that the newest version is kept in; it must be there
	Cluster string
	Keys    [][]byte // the first one encrypts, all of them decrypt; nil: nothing is encrypted

	FS ledger.FS // in place of the system's folder; nil: that one
}

// Parse reads the section configuration. A key file is read as well: its place is beside the operators' file.
func Parse(s *operator.Section) (Settings, error) {
	set := Settings{}
	keyFile := ""
	s.Need("sources", "dir", "cluster")
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

// CheckDir says what is wrong with the folder.
func (s *Settings) CheckDir() error { return operator.CheckFolder("configuration.dir", s.Dir) }

// mostAsking is how many questions for the state of all followers are under way at once.
const mostAsking = 2

// Descriptors are the folder's lock, the folder, the file that is written, the connection to a source, the next one while that
// closes, and those of questions.
const Descriptors = 3 + 2 + mostAsking

// Memory is what this may take, in bytes: a document as it comes, as it is parsed, in force and on its way to the disk, and the
// answers to questions.
func (s *Settings) Memory() int {
	const documents, parsed = 4, 8 // how many copies there are, and how many times its bytes a parsed one takes
	return (documents+parsed)*wire.MaxDocument + mostAsking*wire.MaxFrame
}

// Timing is how often a follower and a source hear of each other, and what is too long.
type Timing struct {
	Beat       time.Duration // between two heartbeats
	Silent     time.Duration // without a message, after which a source is given up
	Stale      time.Duration // without contact with a quorum, after which a source is left for another one
	Dial       time.Duration // for a connection to come up
	Write      time.Duration // for one message to be written
	RetryFirst time.Duration // between attempts in the first round of all sources
	RetryMost  time.Duration // between attempts in later rounds
	Ask        time.Duration // for the state of all followers
}

const (
	// usualHeartbeat is the sources' default. One that falls silent is left after 3 s then, so that a change is in force within 6 s.
	usualHeartbeat = time.Second

	// Bounds of what a source may say of its heartbeats.
	leastHeartbeat = 50 * time.Millisecond
	mostHeartbeat  = 10 * time.Second

	// silentBeats is how many heartbeats are missed before a source is given up, as it gives a follower up.
	silentBeats = 3

	// askLimit bounds a question for the state of all followers: the operators' page has an answer within a second.
	askLimit = 700 * time.Millisecond
)

// usualTiming is what counts before a source has said how often its heartbeats are.
var usualTiming = Timing{Dial: usualHeartbeat, Write: usualHeartbeat, RetryFirst: usualHeartbeat / 4, RetryMost: 2 * usualHeartbeat,
	Ask: askLimit}.under(usualHeartbeat)

// under is the timing with a source of the given heartbeat.
func (t Timing) under(heartbeat time.Duration) Timing {
	t.Beat = min(max(heartbeat, leastHeartbeat), mostHeartbeat)
	t.Silent, t.Stale = silentBeats*t.Beat, silentBeats*t.Beat
	return t
}
