package frontend

import (
	"errors"
	"net"
	"slices"
	"time"

	"laddertide/internal/netfault"
	"laddertide/job"
)

// ErrJobRefused is the error of a Successor that cannot continue one job and still takes the others.
var ErrJobRefused = errors.New("frontend: the next process cannot continue this job")

// Successor is another process that takes over the connections and jobs of this one. Once a method returns without an error, the
// successor owns the connection, and it is closed in this process; after an error it stays with this process. After an error other than
// ErrJobRefused nothing more is handed over.
type Successor interface {
	// HandOverConn hands over an idle connection.
	HandOverConn(c *net.TCPConn, k ConnState) error
	// HandOverJob hands over a job and the connection on which its client waits. last says that the connection closes with the answer.
	HandOverJob(c *net.TCPConn, k ConnState, last bool, j *job.Job, past []job.PastAttempt) error
}

// ConnState is the state that is handed over with a connection.
type ConnState struct {
	Messages         int    // number of messages that it has carried
	CarriesCallBacks bool   // one of the messages was a call-back
	ReadAhead        []byte // bytes already read of its next message
}

// handOver returns once the successor has everything that can be handed over, and all the rest is answered. end is the time by
// which that must be done.
func (s *Server) handOver(successor Successor, listeners []net.Listener, end time.Time) {
	for _, ln := range listeners {
		ln.Close() // the successor accepts from the same queue
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successor = successor
	close(s.successorKnown)
	s.readDeadline = end.Add(-lastReadMargin)
	for c := range s.conns {
		if c.stage == idle {
			c.SetReadDeadline(time.Now())
		}
		s.limitReading(c)
	}
	s.awaitAllAnswered(end)
}

// anyNotLingering reports whether any connection is not in its last stage. Called with mu held.
func (s *Server) anyNotLingering() bool {
	for c := range s.conns {
		if c.stage != lingering {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether there is a successor.
func (s *Server) hasSuccessor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor != nil
}

// handoverState returns the successor, the socket of c and the state to hand over; false if c is not to be handed over. An evicted
// connection is handed over only with a job.
func (s *Server) handoverState(c *conn, job bool) (Successor, *net.TCPConn, ConnState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tcp, ok := c.Conn.(*net.TCPConn)
	if s.successor == nil || !ok || c.evicted && !job || c.broken {
		return nil, nil, ConnState{}, false
	}
	ahead, _ := c.br.Peek(c.br.Buffered())
	return s.successor, tcp, ConnState{Messages: c.messages, CarriesCallBacks: c.carriesCallBacks, ReadAhead: slices.Concat(ahead, c.readAhead)}, true
}

// handOverConn hands an idle connection over to the successor, if there is one.
func (s *Server) handOverConn(c *conn) {
	successor, tcp, k, ok := s.handoverState(c, false)
	if !ok {
		return
	}
	if err := successor.HandOverConn(tcp, k); err != nil {
		s.dropSuccessor(err)
		return
	}
	c.handedOver = true
}

// transfer is what has become of a job that was to be handed over.
type transfer uint8

const (
	transferred transfer = iota // another process answers it, or it has been answered
	kept                        // it continues here
	refused                     // no process can continue it: it is answered here as it is
)

// handOverJob hands a job and its connection over to the successor, and with them the duty to answer.
func (s *Server) handOverJob(c *conn, j *job.Job, past []job.PastAttempt, last bool) transfer {
	<-s.successorKnown // the successor is about to be notified of the handover
	successor, tcp, k, ok := s.handoverState(c, true)
	if !ok {
		return kept
	}
	if !c.claimAnswer() {
		return transferred
	}
	err := successor.HandOverJob(tcp, k, last, j, past)
	switch {
	case err == nil:
		c.handedOver = true
		return transferred
	case errors.Is(err, ErrJobRefused):
		c.answerOwed.Store(true)
		s.Log.Warn("a job cannot continue in the next process: it is answered as failed", "id", j.ID, "err", err)
		return refused
	}
	c.answerOwed.Store(true)
	s.dropSuccessor(err)
	return kept
}

// dropSuccessor continues without the successor after an error: the rest is answered here.
func (s *Server) dropSuccessor(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != nil {
		s.Log.Error("handover to the next process failed: the rest is answered here", "err", err)
	}
	s.successor, s.closingIdle = nil, true
}

// Adopt takes over a connection of another process, with the job that was accepted on it there, if any. The job's time has run
// since its arrival at this machine, however long the handover took.
func (s *Server) Adopt(nc net.Conn, k ConnState, last bool, j *job.Job) {
	s.once.Do(s.prepare)
	began := time.Now()
	c := newConn(nc, k.ReadAhead)
	c.messages, c.carriesCallBacks = k.Messages, k.CarriesCallBacks
	s.mu.Lock()
	s.conns[c] = struct{}{}
	if c.carriesCallBacks {
		s.callBackConns++
	}
	hasSlot := s.HeldByPrevious > 0 // it uses a slot that is held for the previous process
	if hasSlot {
		s.HeldByPrevious--
	}
	c.awaitsSlot = !hasSlot
	s.mu.Unlock()
	go func() {
		if !hasSlot {
			s.acquireSlot()
			s.mu.Lock()
			c.awaitsSlot = false
			s.mu.Unlock()
		}
		if j != nil {
			j.TimeLeft = max(0, min(j.TimeLeft-time.Since(began), j.Deadline-deadlineMargin-netfault.SinceArrival(nc)))
		}
		s.serve(c, j, last)
	}()
}

// ReleaseHeldSlots frees the slots that are still held for the previous process, which has no connections any more.
func (s *Server) ReleaseHeldSlots() {
	s.once.Do(s.prepare)
	s.mu.Lock()
	defer s.mu.Unlock()
	for ; s.HeldByPrevious > 0; s.HeldByPrevious-- {
		<-s.slots
	}
}
