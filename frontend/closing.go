package frontend

import (
	"io"
	"time"

	"laddertide/internal/netfault"
)

// A connection is closed in three steps: a last look for bytes that have arrived, the end of this side's half
// (shutdown for writing), and a bounded wait. To close with bytes unread makes the kernel reset the connection, and a reset may discard
// answers that have not arrived at the client's machine yet; hence the wait. A request that arrives
// after the shutdown of a connection between messages was never taken: its client finds the end of the connection in place of an
// answer and sends it again on a new one.
const (
	finalReadWait = 5 * time.Millisecond   // for a request that is on its way while its connection closes
	partLimit     = 500 * time.Millisecond // for the client to end its half too
	crowdedLimit  = 50 * time.Millisecond  // the same, for a connection whose slot is needed
	restWait      = time.Millisecond       // for the rest of a message that has begun on a connection whose slot is needed
	partBytes     = 8 << 20                // what may still come in that time
	afterEnd      = 150 * time.Millisecond // for connections that close when the time to answer is over
	lookForEnd    = 5 * time.Millisecond   // between looks at whether a client has ended its half
)

// aLongTimeAgo is a deadline that ends a read at once.
var aLongTimeAgo = time.Unix(1, 0)

// lookAgain looks once more for the first byte of a message, for a time. A deadline that has passed hides what has
// arrived since, and on a busy machine long may lie between the two; so the socket itself is asked in the end.
func (c *conn) lookAgain(wait time.Duration) error {
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.br.Peek(1)
	if netfault.DeadlinePassed(err) && c.pending() {
		c.SetReadDeadline(time.Now().Add(partLimit)) // it does not wait: there is something to read
		_, err = c.br.Peek(1)
	}
	return err
}

// finalWait is how long a connection that closes is looked at for a request that is on its way. One that has had its answer and stays is
// not waited for while its slot is: its client sends what crosses the close once more.
func (s *Server) finalWait(c *conn) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	longSilentNow := c.told == 0 && time.Since(c.opened) >= longSilent
	if c.evicted && s.wanted > 0 && (c.told == 1 || longSilentNow) {
		return 0
	}
	return finalReadWait
}

// finishReading gives the message that is being read the time to become whole from what has arrived, as the connection is evicted: whatever
// the system has is read, for crowdedLimit at most. Called under the server's mutex.
func (c *conn) finishReading() {
	by := time.Now().Add(crowdedLimit)
	c.readBy = by
	c.finishBy.Store(int64(by.Sub(epoch)))
	wait := restWait
	if netfault.SinceArrival(c.Conn) > 0 {
		wait = 0 // what was to come at once would be here
	}
	c.SetReadDeadline(time.Now().Add(wait))
}

// readsOn reports whether an evicted connection is to be read further although its read deadline has passed: a deadline hides what has arrived.
func (c *conn) readsOn() bool {
	if time.Since(epoch) >= time.Duration(c.finishBy.Load()) {
		return false
	}
	waiting, known := netfault.Waiting(netfault.Socket(c.Conn))
	if !waiting || !known {
		return false
	}
	c.SetReadDeadline(time.Now().Add(restWait))
	return true
}

// pending tells whether a read of the socket would return at once. Of a connection that is encrypted it says no.
func (c *conn) pending() bool {
	waiting, known := netfault.Waiting(c.Conn)
	return known && waiting
}

// partResting is part for a connection between messages. What still comes is never read: a request that crosses the end of this half was
// not taken, and its client sends it again on a new connection only if nobody has read it. To close with bytes unread resets the
// connection, after the client has had time to take its last answer and the end behind it. Linux keeps what has arrived through a reset
// that comes after the end; see TestRequestAfterShutdownIsDropped.
func (s *Server) partResting(c *conn) {
	if c.passed {
		return
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	socket := netfault.Socket(c.Conn) // an encrypted connection would read what it looks at
	if _, known := netfault.Waiting(socket); !ok || !known {
		s.part(c)
		return
	}
	shut := half.CloseWrite() == nil
	s.partBy(c)
	s.enter(c, parting)
	if shut && netfault.AwaitWaiting(socket) {
		for s.lingers(c) && !netfault.Ended(socket) {
			time.Sleep(lookForEnd)
		}
	}
}

// lingers reports whether a connection that parts still has time before it is closed.
func (s *Server) lingers(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(c.closeBy)
}

// partBy sets the time by which a connection that parts is closed.
func (s *Server) partBy(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := partLimit
	switch {
	case c.evicted && c.told == 0 && c.stage == idle:
		limit = 0 // nothing was sent on it, so nothing can be lost
	case s.wanted > 0:
		limit = c.lingerWanted()
	case c.evicted:
		limit = crowdedLimit
	}
	c.closeBy = time.Now().Add(limit)
	c.SetReadDeadline(c.closeBy)
}

// part ends this side's half of the connection and lets the peer take its last answer before the connection closes.
// What still comes is read for a moment and dropped.
func (s *Server) part(c *conn) {
	if c.passed {
		return
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	shut := ok && half.CloseWrite() == nil
	s.partBy(c)
	s.enter(c, parting)
	if !shut {
		return
	}
	io.CopyN(io.Discard, c.br, partBytes)
}

// closeAll waits for connections that are closing, and closes those that are left after partLimit. end is when all had
// to be answered: from then on there is less time.
func (s *Server) closeAll(end time.Time) {
	limit := partLimit
	if left := time.Until(end) + afterEnd; left < limit {
		limit = max(left, 2*finalReadWait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitUntil(time.Now().Add(limit), func() bool { return len(s.conns) == 0 })
	for c := range s.conns {
		c.Close()
	}
}
