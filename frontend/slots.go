package frontend

import "time"

// Connection slots: the limit of open connections, which connections are evicted when slots run out, and how many slots jobs can
// have.

// evictBatchDivisor limits the slots that may be in the process of being freed at once, to one in evictBatchDivisor of all. A surge of
// silent connections stands before all other clients in the backlog, and evicting them one by one would use up the time that the
// others have.
const evictBatchDivisor = 8

// acquireSlot waits for a slot. If all are taken and no connection can be evicted, the next client waits in the backlog: it cannot be
// rejected here, as only the decision module rejects.
func (s *Server) acquireSlot() {
	select {
	case s.slots <- struct{}{}:
		return
	default:
	}
	s.addSlotWaiters(1)
	defer s.addSlotWaiters(-1)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case s.slots <- struct{}{}:
			return
		case <-timer.C:
		}
		s.shortenLingering()
		if s.slotsBeingFreed() == 0 {
			s.evict()
		}
		for s.slotsBeingFreed() < cap(s.slots)/evictBatchDivisor && s.evictUpTo(rankNewcomer) {
		}
		timer.Reset(2 * finalReadTime) // an evicted connection may have read a request instead of closing
	}
}

// addSlotWaiters adds to the number of connections that wait for a slot.
func (s *Server) addSlotWaiters(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slotWaiters += by
}

// shortenLingering closes evicted connections whose answer is written, or that had none, and that only wait for their client to close
// its side.
func (s *Server) shortenLingering() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if by := time.Now().Add(c.shortLinger()); c.evicted && c.stage == lingering && by.Before(c.closeDeadline) {
			c.closeDeadline = by
			c.SetReadDeadline(by)
		}
	}
}

// shortLinger returns how long a connection may still wait, after its last answer, for its client to close its side while its slot
// is wanted. A client that has had several answers may be sending its next request, which must be dropped in order; see
// lingerIdle.
func (c *conn) shortLinger() time.Duration {
	if c.messages <= 1 {
		return 0
	}
	return finalReadTime
}

// slotsForJobs returns how many connections can wait for the answer to a job, 1 at least. Connections on which workers send
// call-backs are not available to clients, and those of the previous process have not been handed over yet.
func (s *Server) slotsForJobs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, cap(s.slots)-s.callBackConns-s.HeldByPrevious)
}

// slotsBeingFreed returns how many evicted connections are about to close, unless a complete request arrives on them.
func (s *Server) slotsBeingFreed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.evicted && c.stage != working && !(c.stage == reading && c.messages > 0) {
			n++
		}
	}
	return n
}

// evict closes the connection of the lowest rank. A surge of connections that are silent, or never finish a request, must not keep
// ordinary clients out, and least of all call-backs: without these the jobs of all waiting clients would not end.
func (s *Server) evict() { s.evictUpTo(rankCallBacks) }

// evictUpTo is evict for connections up to maxRank. It reports whether it found one.
func (s *Server) evictUpTo(maxRank int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidate *conn
	rank := rankNever
	for c := range s.conns {
		r := c.evictionRank()
		if r > 0 && r <= maxRank && (candidate == nil || r < rank || r == rank && c.lastActive.Load() < candidate.lastActive.Load()) {
			candidate, rank = c, r
		}
	}
	if candidate == nil {
		if len(s.conns)-s.evictedConns >= cap(s.slots) && time.Since(s.busyLoggedAt) > logInterval {
			s.busyLoggedAt = time.Now()
			s.Log.Warn("all connections are busy: new ones wait", "open", len(s.conns))
		}
		return false
	}
	candidate.evicted = true
	s.evictedConns++
	switch candidate.stage {
	case reading:
		candidate.finishReading()
	case lingering:
		candidate.closeDeadline = time.Now().Add(candidate.shortLinger())
		candidate.SetReadDeadline(candidate.closeDeadline)
	default:
		candidate.SetReadDeadline(time.Now())
	}
	return true
}

// Ranks of connections, in the order in which they are evicted.
const (
	rankNever     = iota
	rankLingering // its last answer is written
	rankStranger  // it has carried no message, or one and nothing since
	rankIdle      // it is idle after several messages
	rankNewcomer  // it was just accepted, and its first message may be in transit
	rankCallBacks // it is idle, and workers send call-backs on it
)

// evictionRank returns the rank of a connection for eviction; lower ranks are evicted first, and of equal ranks the connection that
// has been silent longest. A stranger's rank does not depend on how much of its message it has sent: one that was just accepted
// could not be read yet, and a message that is sent slowly differs from one that never ends only in its silence. A newcomer, whose
// first message may be in transit, ranks after idle connections: a client repeats a request that crosses the close of an idle
// connection, but not one that was to be the first on a new connection.
func (c *conn) evictionRank() int {
	switch {
	case c.evicted || c.awaitsSlot || c.stage == working || c.stage == reading && c.messages > 0:
		return rankNever
	case c.stage == lingering:
		return rankLingering
	case c.carriesCallBacks:
		return rankCallBacks
	case c.messages == 0 && time.Since(c.openedAt) < newcomerAge:
		return rankNewcomer
	case c.messages <= 1:
		return rankStranger
	}
	return rankIdle
}
