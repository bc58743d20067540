package peers

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"laddertide/core/fleet"
	"laddertide/operator"
	wire "laddertide/wire/peers"
)

// Settings is the section peers of the operator's file.
type Settings struct {
	Listen    string // TCP and UDP address of this scheduler's sockets
	Advertise string // the address at which the others reach them
	Join      []string
	Cluster   string
	KeyFile   string
	Keys      [][]byte // the first one encrypts, all of them decrypt; nil: nothing is encrypted

	Shares    string        // ByMayRun, ByPresent or Off: which schedulers are counted to divide a cold provider's budget
	Bans      bool          // a ban issued at one scheduler applies at all of them
	Drains    bool          // a provider that a peer reports as draining or gone gets no new jobs here
	Lessons   bool          // a peer's failure reports count here; off by default, as no gain has been shown
	Beliefs   bool          // a scheduler that starts adopts a peer's estimates about providers; off by default, as no gain has been shown
	DrainHold time.Duration // how long a peer's drain notice applies
}

// Values of Settings.Shares.
const (
	ByMayRun  = "may_run"
	ByPresent = "present"
	Off       = "off"
)

const (
	defaultHoldS = 30
	maxJoin      = 64
	maxCluster   = 64
	maxBans      = 4096
	maxStops     = 4096
	maxMembers   = 1024
)

// Parse reads the section peers and the key file that it names. A relative path of the key file is relative to the folder of
// the operator's file.
func Parse(s *operator.Section) (Settings, error) {
	set := Settings{Cluster: "laddertide", Shares: ByMayRun, Bans: true, Drains: true}
	hold := defaultHoldS
	s.Require("listen", "cluster")
	s.Text("listen", &set.Listen)
	s.Text("advertise", &set.Advertise)
	s.Texts("join", &set.Join)
	s.Text("cluster", &set.Cluster)
	s.Text("key_file", &set.KeyFile)
	s.OneOf("shares", &set.Shares, ByMayRun, ByPresent, Off)
	s.Bool("bans", &set.Bans)
	s.Bool("drains", &set.Drains)
	s.Bool("lessons", &set.Lessons)
	s.Bool("beliefs", &set.Beliefs)
	s.Int("drains_hold_s", &hold, 1, 3600)
	set.DrainHold = time.Duration(hold) * time.Second
	if set.Advertise == "" {
		set.Advertise = set.Listen
	}
	if len(set.Cluster) > maxCluster {
		s.Fail("cluster", "is longer than %d bytes", maxCluster)
	}
	if len(set.Join) > maxJoin {
		s.Fail("join", "has more than %d addresses", maxJoin)
	}
	if set.KeyFile != "" {
		path := set.KeyFile
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(s.Path()), path)
		}
		var err error
		if set.Keys, err = ReadKeys(path); err != nil {
			s.Fail("key_file", "%s", err)
		}
	}
	for _, setting := range []struct {
		key  string
		list []string
	}{{"listen", []string{set.Listen}}, {"advertise", []string{set.Advertise}}, {"join", set.Join}} {
		key := setting.key
		for _, a := range setting.list {
			at, err := netip.ParseAddrPort(a)
			switch {
			case a == "" && key == "advertise":
			case err != nil:
				s.Fail(key, "%q is no IP address with a port", a)
			case at.Port() == 0 && key != "listen":
				s.Fail(key, "%q has no port", a)
			case at.Addr().IsUnspecified() && key != "listen":
				s.Fail(key, "%q is not the address of one machine", a)
			case set.Keys == nil && !at.Addr().IsLoopback():
				s.Fail(key, "%q is not on this machine: without key_file anybody could take part", a)
			}
		}
	}
	return set, s.Done()
}

// ReadKeys reads a file with one key or two, each a line of base64 that decodes to 16, 24 or 32 bytes. Empty lines and those
// that begin with # are ignored.
func ReadKeys(path string) (keys [][]byte, err error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if st.Size() > 4096 {
		return nil, fmt.Errorf("%s is larger than two keys", path)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	n := 0
	for line := range bytes.Lines(raw) {
		n++
		text := strings.TrimSpace(string(line))
		if text == "" || text[0] == '#' {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(key) != 16 && len(key) != 24 && len(key) != 32 {
			return nil, fmt.Errorf("%s: line %d is not 16, 24 or 32 bytes in base64", path, n)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > 2 {
		return nil, fmt.Errorf("%s has %d keys: one is wanted, or two while it is changed", path, len(keys))
	}
	return keys, nil
}

// Resource limits.
const (
	maxStreams = 8 // connections made by others that are open at once; a further one closes the oldest
	ownStreams = 4 // connections made by this scheduler: a probe, a full exchange, a search, one that is closing
	// Descriptors is the number of file descriptors of the two sockets and the connections.
	Descriptors = 2 + maxStreams + 1 + ownStreams

	inboxSize  = 512
	packetSize = 1400
)

// Memory returns the memory that Peers may use, in bytes: members and their states, queued packets, and two full exchanges at a time.
func (set *Settings) Memory() int {
	return maxMembers*512 + maxBans*2*128 + maxStops*2*128 + inboxSize*wire.MaxMessage + 2*wire.MaxState/4
}

// Timing holds the intervals and timeouts of the membership protocol. All derive from one figure, the time within which a
// connection is established under normal conditions: a peer that takes longer to answer is not healthy.
type Timing struct {
	AnswerTime       time.Duration // timeout for a peer's answer
	ProbeInterval    time.Duration // interval between two probes by this scheduler
	GossipInterval   time.Duration // interval between two rounds of gossip
	ExchangeInterval time.Duration // interval between two exchanges of the full state
	ExchangeTime     time.Duration // timeout of such an exchange
}

// TimingOf derives the timing from the settings' time for a connection.
func TimingOf(dial time.Duration) Timing {
	dial = min(max(dial, 50*time.Millisecond), time.Second)
	return Timing{AnswerTime: dial, ProbeInterval: 2 * dial, GossipInterval: dial / 2, ExchangeInterval: 40 * dial, ExchangeTime: min(8*dial, 2*time.Second)}
}

const (
	// Multipliers of the membership library. A suspicion lasts at least suspicionMult probe intervals times the logarithm of
	// the number of members, and up to suspicionMaxTimeoutMult times as long while no other member confirms it. A member that
	// suspects itself of being slow probes up to awarenessMaxMult times more slowly.
	suspicionMult           = 4
	suspicionMaxTimeoutMult = 6
	awarenessMaxMult        = 8

	// retransmitMult determines how often a member forwards a broadcast: this factor times the decimal logarithm of the number of
	// members, rounded up. Each transmission goes to a member drawn at random, so all others may miss a member, which then never receives
	// the broadcast. With the library's default of 4, TestDrainNoticesReachAll with 40 members missed one in 7 of 360 runs, with 8 in none of 600.
	retransmitMult = 8
)

// limits returns the limits of conclusions for a fleet of expect schedulers.
func (t Timing) limits(expect int) fleet.Limits {
	n := float64(max(2, expect))
	settle := time.Duration(suspicionMult * max(1, math.Log10(n+1)) * float64(t.ProbeInterval))
	// A member that is cut off probes the others ever more slowly until it has given up half of them, and suspects each for the longest time.
	return fleet.Limits{SettleTime: settle, NoticeTime: time.Duration(n/2+1)*awarenessMaxMult*t.ProbeInterval + (suspicionMaxTimeoutMult+1)*settle, MaxMembers: maxMembers,
		ExpectedSchedulers: expect}
}

// splitAddress returns the IP address and port of a; the port is 0 if a is invalid.
func splitAddress(a string) (string, int) {
	at, err := net.ResolveTCPAddr("tcp", a) // Parse has checked that it is an IP address, so there is no DNS lookup
	if err != nil {
		return "", 0
	}
	return at.IP.String(), at.Port
}

// SettleTime returns the time within which a broadcast reaches all reachable schedulers of a fleet of expect, and before which
// no member is given up.
func (t Timing) SettleTime(expect int) time.Duration { return t.limits(expect).SettleTime }
