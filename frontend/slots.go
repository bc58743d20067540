package frontend

import "time"

// Connection slots: how many connections may be open, which are evicted for others where they run out, and how many of them jobs can have.

// evictTogether is the part of the slots, one of so many, that may be on its way back at once: a crowd that connects in one moment and says
// nothing stands before all others in the backlog, and one after the other it would take as long as they have.
const evictTogether = 8

// takeSlot waits for a slot. If all are taken and nobody can be evicted, the next consumer waits in the backlog: a
// rejection is no way out, as that is a decision of the module's.
func (s *Server) takeSlot() {
	select {
	case s.slots <- struct{}{}:
		return
	default:
	}
	s.slotsWanted(1)
	defer s.slotsWanted(-1)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case s.slots <- struct{}{}:
			return
		case <-timer.C:
		}
		s.endLingering()
		if s.slotsComing() == 0 {
			s.evict()
		}
		for s.slotsComing() < cap(s.slots)/evictTogether && s.evictUpTo(rankNewcomer) {
		}
		timer.Reset(2 * finalReadWait) // one that was told to may have read a request instead
	}
}

// slotsWanted notes that by more connections wait for a slot.
func (s *Server) slotsWanted(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted += by
}

// endLingering closes evicted connections whose answer is out, or that had none, and that wait for their client to end its half.
func (s *Server) endLingering() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if by := time.Now().Add(c.lingerWanted()); c.evicted && c.stage == parting && by.Before(c.closeBy) {
			c.closeBy = by
			c.SetReadDeadline(by)
		}
	}
}

// lingerWanted is how long a connection that has had its last answer may still wait for its client to end its half when its slot is wanted. A
// client that has had several answers may be sending its next request, which must be dropped in order; see partResting.
func (c *conn) lingerWanted() time.Duration {
	if c.told <= 1 {
		return 0
	}
	return finalReadWait
}

// slotsForJobs is how many connections there can be that wait for the answer to a job, 1 at least. Those on which workers report what
// becomes of jobs are no use to clients, and those of an earlier process are not here yet.
func (s *Server) slotsForJobs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, cap(s.slots)-s.callBacks-s.Held)
}

// slotsComing is how many connections that are evicted are about to close, unless a whole request has come on them.
func (s *Server) slotsComing() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	coming := 0
	for c := range s.conns {
		if c.evicted && c.stage != working && !(c.stage == reading && c.told > 0) {
			coming++
		}
	}
	return coming
}

// evict tells the connection to close that is missed least. Crowds that connect and say nothing, or never
// end what they say, must not keep usual consumers out, and least of all call-backs: without them the
// jobs of all who wait would not end.
func (s *Server) evict() { s.evictUpTo(rankCallBacks) }

// evictUpTo is evict for connections up to a rank. It reports whether there is one.
func (s *Server) evictUpTo(most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var least *conn
	rank := rankNever
	for c := range s.conns {
		r := c.evictionRank()
		if r > 0 && r <= most && (least == nil || r < rank || r == rank && c.heard.Load() < least.heard.Load()) {
			least, rank = c, r
		}
	}
	if least == nil {
		if len(s.conns)-s.leaving >= cap(s.slots) && time.Since(s.warned) > tellEvery {
			s.warned = time.Now()
			s.Log.Warn("all connections are busy: new ones wait", "open", len(s.conns))
		}
		return false
	}
	least.evicted = true
	s.leaving++
	switch least.stage {
	case reading:
		least.finishReading()
	case parting:
		least.closeBy = time.Now().Add(least.lingerWanted())
		least.SetReadDeadline(least.closeBy)
	default:
		least.SetReadDeadline(time.Now())
	}
	return true
}

// Ranks of connections in the order in which they are evicted.
const (
	rankNever     = iota
	rankParting   // its last answer is out
	rankStranger  // it has carried nothing, or one message and nothing since
	rankKept      // it is between messages
	rankNewcomer  // its first message may be on its way
	rankCallBacks // it is between messages in which workers report
)

// evictionRank ranks connections that may be told to close, those that are missed least first. Of one rank the
// most silent goes. A stranger is no better or worse for what it has said so far: one that has just been accepted has had
// no turn yet, and a message that is written slowly looks like one that never ends, but for its silence. One whose first
// message may be on its way goes after those between messages: a client sends what crosses their close once more, but not
// what it was to be the first on a new connection.
func (c *conn) evictionRank() int {
	switch {
	case c.evicted || c.waits || c.stage == working || c.stage == reading && c.told > 0:
		return rankNever
	case c.stage == parting:
		return rankParting
	case c.events:
		return rankCallBacks
	case c.told == 0 && time.Since(c.opened) < firstOnItsWay:
		return rankNewcomer
	case c.told <= 1:
		return rankStranger
	}
	return rankKept
}
