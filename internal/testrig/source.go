package testrig

import (
	"net"
	"sync"
	"testing"
	"time"

	"laddertide/configuration/stream"
	wire "laddertide/wire/configuration"
)

// Source is a scripted source of configuration: it pushes the given documents to its followers and records their reports. It stores
// nothing and has no other members.
type Source struct {
	Address string

	t     testing.TB
	seals *stream.Seals

	mu        sync.Mutex
	newest    wire.Push
	quorumAge time.Duration // the age of the contact with a quorum that heartbeats report
	silent    bool          // no heartbeats
	status    wire.Status
	conns     map[*stream.Conn]bool
	hellos    []wire.Hello
	reports   []wire.Report
}

// Limits of a scripted source.
const (
	sourceBeat  = 50 * time.Millisecond
	sourceWait  = 20 * time.Second
	sourceWrite = 5 * time.Second
)

// NewSource starts a source without any version. It ends with the test.
func NewSource(t testing.TB, seals *stream.Seals) *Source {
	t.Helper()
	s := &Source{t: t, seals: seals, conns: make(map[*stream.Conn]bool)}
	s.Address = Listen(t, s.serve)
	t.Cleanup(s.CloseFollowers)
	return s
}

func (s *Source) serve(raw net.Conn) {
	c := stream.New(raw, s.seals, sourceWrite)
	defer c.Close()
	m, err := c.Read(sourceWait, wire.MaxSmall)
	hello, ok := m.(*wire.Hello)
	if err != nil || !ok {
		return
	}
	s.mu.Lock()
	newest := s.newest
	s.hellos = append(s.hellos, *hello)
	s.mu.Unlock()
	if c.Write(&wire.Welcome{Name: "scripted", Newest: newest.Version}) != nil {
		return
	}
	if hello.Role == wire.RoleOperator {
		s.answer(c)
		return
	}
	s.join(c, hello)
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	ended := make(chan struct{})
	defer close(ended)
	go s.beat(c, ended)
	s.listen(c)
}

// join adds a follower and sends it the newest version unless it has that. It holds the lock, so that later pushes follow.
func (s *Source) join(c *stream.Conn, hello *wire.Hello) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	if s.newest.Version != hello.Version || s.newest.Digest != hello.Digest {
		c.Write(&s.newest)
	}
}

// answer answers the status request of a tool.
func (s *Source) answer(c *stream.Conn) {
	if m, err := c.Read(sourceWait, wire.MaxSmall); err != nil {
		return
	} else if _, ok := m.(*wire.StatusRequest); !ok {
		return
	}
	s.mu.Lock()
	status := s.status
	s.mu.Unlock()
	c.Write(&status)
}

func (s *Source) beat(c *stream.Conn, ended <-chan struct{}) {
	ticker := time.NewTicker(sourceBeat)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		beat, silent := &wire.Beat{Newest: s.newest.Version, QuorumAge: s.quorumAge.Milliseconds()}, s.silent
		s.mu.Unlock()
		if !silent && c.Write(beat) != nil {
			return
		}
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
	}
}

// listen records a follower's reports until its connection ends.
func (s *Source) listen(c *stream.Conn) {
	for {
		m, err := c.Read(sourceWait, wire.MaxSmall)
		if err != nil {
			return
		}
		if report, ok := m.(*wire.Report); ok {
			s.mu.Lock()
			s.reports = append(s.reports, *report)
			s.mu.Unlock()
		}
	}
}

// Push makes a document the newest version and sends it to all followers.
func (s *Source) Push(version uint64, document string) {
	s.PushRaw(wire.Push{Version: version, Digest: wire.DigestOf([]byte(document)), AcceptedAt: time.Now().UnixMilli(), Document: []byte(document)})
}

// PushRaw is like Push, with a message that the test provides and that may be invalid.
func (s *Source) PushRaw(m wire.Push) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = m
	for c := range s.conns {
		c.Write(&m)
	}
}

// SetQuorumAge sets the age of the contact with a quorum that heartbeats report.
func (s *Source) SetQuorumAge(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quorumAge = age
}

// SetSilent stops the heartbeats, or resumes them.
func (s *Source) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
}

// SetStatus sets the answer to status requests.
func (s *Source) SetStatus(status wire.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// CloseFollowers closes the followers' connections; they may reconnect.
func (s *Source) CloseFollowers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Followers returns the number of connected followers.
func (s *Source) Followers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Reports returns the followers' reports so far.
func (s *Source) Reports() []wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]wire.Report(nil), s.reports...)
}

// Hellos returns the first messages of all connections so far.
func (s *Source) Hellos() []wire.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]wire.Hello(nil), s.hellos...)
}
