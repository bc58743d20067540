package consumer

import (
	"net"
	"slices"
	"time"

	"laddertide/internal/netfault"
	"laddertide/job"
)

// Heir is another process that goes on with what this one has. Once a method returns without an error, the connection
// is the heir's and is closed here; an error means that it has it not.
type Heir interface {
	// Conn takes a connection between messages.
	Conn(c *net.TCPConn, k Kept) error
	// Job takes a job and the connection on which its consumer waits. last says that it ends with the answer.
	Job(c *net.TCPConn, k Kept, last bool, j *job.Job, past []job.Past) error
}

// Kept is what is known of a connection.
type Kept struct {
	Told   int    // messages that it has carried
	Events bool   // one of them was a call-back
	Ahead  []byte // what has been read of its next message
}

// handOver returns once the heir has all that can be handed over, and nothing else is owed to anyone. end is when that has to be so.
func (s *Server) handOver(heir Heir, listeners []net.Listener, end time.Time) {
	for _, ln := range listeners {
		ln.Close() // the heir accepts from the same queue
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heir = heir
	close(s.moving)
	s.readBy = end.Add(-beforeEnd)
	for c := range s.conns {
		if c.stage == idle {
			c.SetReadDeadline(time.Now())
		}
		s.limitReading(c)
	}
	s.awaitParting(end)
}

// owed tells whether any connection is not on its way out. Called under mu.
func (s *Server) owed() bool {
	for c := range s.conns {
		if c.stage != parting {
			return true
		}
	}
	return false
}

// succeeded tells whether there is an heir.
func (s *Server) succeeded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heir != nil
}

// kept is what the heir must know of c, and its socket; false if c is not to go over. One that has been told to make room
// goes over with a job only.
func (s *Server) kept(c *conn, job bool) (Heir, *net.TCPConn, Kept, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tcp, ok := c.Conn.(*net.TCPConn)
	if s.heir == nil || !ok || c.woken && !job || c.broken {
		return nil, nil, Kept{}, false
	}
	ahead, _ := c.br.Peek(c.br.Buffered())
	return s.heir, tcp, Kept{Told: c.told, Events: c.events, Ahead: slices.Concat(ahead, c.ahead)}, true
}

// pass hands a connection that is between messages to the heir, if there is one.
func (s *Server) pass(c *conn) {
	heir, tcp, k, ok := s.kept(c, false)
	if !ok {
		return
	}
	if err := heir.Conn(tcp, k); err != nil {
		s.disinherit(err)
		return
	}
	c.passed = true
}

// passJob hands a job and its connection to the heir, and with them the duty to answer. It reports false if the job stays here.
func (s *Server) passJob(c *conn, j *job.Job, past []job.Past, last bool) bool {
	<-s.moving // the heir is about to be told that it takes over
	heir, tcp, k, ok := s.kept(c, true)
	if !ok {
		return false
	}
	if !c.takeAnswer() {
		return true
	}
	if err := heir.Job(tcp, k, last, j, past); err != nil {
		c.owed.Store(true)
		s.disinherit(err)
		return false
	}
	c.passed = true
	return true
}

// disinherit goes on without the heir: what is left is answered here.
func (s *Server) disinherit(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heir != nil {
		s.Log.Error("the next process does not take over: what is left is answered here", "err", err)
	}
	s.heir, s.ending = nil, true
}

// Adopt goes on with a connection of another process, and with the job that was taken on it there, if any. The job's time has run since
// it arrived there, however long it was on its way.
func (s *Server) Adopt(nc net.Conn, k Kept, last bool, j *job.Job) {
	s.once.Do(s.prepare)
	began := time.Now()
	c := newConn(nc, k.Ahead)
	c.told, c.events = k.Told, k.Events
	s.mu.Lock()
	s.conns[c] = struct{}{}
	itsOwn := s.Held > 0 // one of those that the other process had told of
	if itsOwn {
		s.Held--
	}
	s.mu.Unlock()
	go func() {
		if !itsOwn {
			s.takePlace()
		}
		if j != nil {
			j.Left = max(0, min(j.Left-time.Since(began), j.Deadline-margin-netfault.SinceArrival(nc)))
		}
		s.serve(c, j, last)
	}()
}

// Released tells that the other process holds no connections any more.
func (s *Server) Released() {
	s.once.Do(s.prepare)
	s.mu.Lock()
	defer s.mu.Unlock()
	for ; s.Held > 0; s.Held-- {
		<-s.room
	}
}
