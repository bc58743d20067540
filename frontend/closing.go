package frontend

import (
	"io"
	"time"

	"laddertide/internal/netfault"
)

// A connection is closed in three steps: a final check for bytes that have arrived, a shutdown of the write side, and a bounded
// wait. Closing a socket with unread bytes makes the kernel send a reset, and a reset may discard answers that have not reached the
// client's machine yet; hence the wait. A request that arrives after an idle connection's shutdown was never accepted: its client
// reads the end of the connection in place of an answer and sends the request again on a new one.
const (
	finalReadTime   = 5 * time.Millisecond   // for a request that is in transit while its connection closes
	lingerLimit     = 500 * time.Millisecond // for the client to close its side too
	evictedLimit    = 50 * time.Millisecond  // the same, for an evicted connection
	restWait        = time.Millisecond       // for the rest of a message that has begun on an evicted connection
	lingerBytes     = 8 << 20                // maximum of bytes read and dropped in that time
	afterGraceLimit = 150 * time.Millisecond // for connections that still close after the end of the grace period
	endPollInterval = 5 * time.Millisecond   // interval of checks whether a client has closed its side
)

// aLongTimeAgo is a deadline that ends a read at once.
var aLongTimeAgo = time.Unix(1, 0)

// finalRead waits once more, for a limited time, for the first byte of a message. Once its deadline has passed, a read fails even
// if bytes have arrived, and on a busy machine the read may run long after the deadline; so the socket itself is queried at the
// end.
func (c *conn) finalRead(wait time.Duration) error {
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.br.Peek(1)
	if netfault.DeadlinePassed(err) && c.readable() {
		c.SetReadDeadline(time.Now().Add(lingerLimit)) // the read does not wait, as there is something to read
		_, err = c.br.Peek(1)
	}
	return err
}

// finalReadTimeFor returns how long a closing connection is checked for a request that is in transit. While its slot is wanted, there is
// no wait for an evicted connection that has had exactly one answer and stayed open, or that has long been silent: its client
// repeats a request that crosses the close.
func (s *Server) finalReadTimeFor(c *conn) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	silentLong := c.messages == 0 && time.Since(c.openedAt) >= longSilence
	if c.evicted && s.slotWaiters > 0 && (c.messages == 1 || silentLong) {
		return 0
	}
	return finalReadTime
}

// finishReading limits the time for the current message of an evicted connection: what the system has received is read, for
// evictedLimit at most. Called with the server's mutex held.
func (c *conn) finishReading() {
	by := time.Now().Add(evictedLimit)
	c.readDeadline = by
	c.finishDeadline.Store(int64(by.Sub(epoch)))
	wait := restWait
	if netfault.SinceArrival(c.Conn) > 0 {
		wait = 0 // the rest would have arrived by now if it had been sent at once
	}
	c.SetReadDeadline(time.Now().Add(wait))
}

// extendRead reports whether an evicted connection is read further although its read deadline has passed: after the deadline a read
// fails even if bytes have arrived.
func (c *conn) extendRead() bool {
	if time.Since(epoch) >= time.Duration(c.finishDeadline.Load()) {
		return false
	}
	waiting, known := netfault.Readable(netfault.Socket(c.Conn))
	if !waiting || !known {
		return false
	}
	c.SetReadDeadline(time.Now().Add(restWait))
	return true
}

// readable reports whether a read of the socket would return at once. For an encrypted connection it returns false.
func (c *conn) readable() bool {
	waiting, known := netfault.Readable(c.Conn)
	return known && waiting
}

// lingerIdle is linger for an idle connection. Bytes that still arrive are never read: a request that arrives after the shutdown was
// not accepted, and its client sends it again on a new connection only if nobody has read it. Closing the socket with unread bytes
// resets the connection, after the client has had time to read its last answer and the end of the stream behind it. On Linux, bytes
// that have arrived at the client survive a reset that comes after the end of the stream; see TestRequestAfterShutdownIsDropped.
func (s *Server) lingerIdle(c *conn) {
	if c.handedOver {
		return
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	socket := netfault.Socket(c.Conn) // an encrypted connection can only check by reading
	if _, known := netfault.Readable(socket); !ok || !known {
		s.linger(c)
		return
	}
	shut := half.CloseWrite() == nil
	s.setCloseDeadline(c)
	s.setStage(c, lingering)
	if shut && netfault.AwaitReadable(socket) {
		for s.mayLinger(c) && !netfault.PeerClosed(socket) {
			time.Sleep(endPollInterval)
		}
	}
}

// mayLinger reports whether a connection in its last stage still has time before it is closed.
func (s *Server) mayLinger(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(c.closeDeadline)
}

// setCloseDeadline sets the time by which a connection in its last stage is closed.
func (s *Server) setCloseDeadline(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := lingerLimit
	switch {
	case c.evicted && c.messages == 0 && c.stage == idle:
		limit = 0 // nothing was sent on it, so nothing can be lost
	case s.slotWaiters > 0:
		limit = c.shortLinger()
	case c.evicted:
		limit = evictedLimit
	}
	c.closeDeadline = time.Now().Add(limit)
	c.SetReadDeadline(c.closeDeadline)
}

// linger shuts down the write side and lets the client receive its last answer before the connection is closed. Bytes that still
// arrive are read for a limited time and dropped.
func (s *Server) linger(c *conn) {
	if c.handedOver {
		return
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	shut := ok && half.CloseWrite() == nil
	s.setCloseDeadline(c)
	s.setStage(c, lingering)
	if !shut {
		return
	}
	io.CopyN(io.Discard, c.br, lingerBytes)
}

// closeAll waits for connections in their last stage, and closes those that are left after lingerLimit. end is the time by which
// everything had to be answered: after it the wait is shorter.
func (s *Server) closeAll(end time.Time) {
	limit := lingerLimit
	if left := time.Until(end) + afterGraceLimit; left < limit {
		limit = max(left, 2*finalReadTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitUntil(time.Now().Add(limit), func() bool { return len(s.conns) == 0 })
	for c := range s.conns {
		c.Close()
	}
}
