package consumer

import "time"

// Connection slots: how many connections may be open, which are evicted for others where they run out, and how many of them jobs can have.

// takeSlot waits for a slot. If all are taken and nobody can be evicted, the next consumer waits in the backlog: a
// rejection is no way out, as that is a decision of the module's.
func (s *Server) takeSlot() {
	select {
	case s.slots <- struct{}{}:
		return
	default:
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case s.slots <- struct{}{}:
			return
		case <-timer.C:
		}
		if !s.slotIsComing() {
			s.evict()
		}
		timer.Reset(2 * crowdedLimit) // one that was told to may have read a request instead
	}
}

// slotsForJobs is how many connections there can be that wait for the answer to a job, 1 at least. Those on which workers report what
// becomes of jobs are no use to clients, and those of an earlier process are not here yet.
func (s *Server) slotsForJobs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, cap(s.slots)-s.callBacks-s.Held)
}

// slotIsComing tells whether a connection that is evicted is about to close: its slot comes free within
// crowdedLimit, so no other has to go.
func (s *Server) slotIsComing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.evicted && (c.stage == idle || c.stage == parting) {
			return true
		}
	}
	return false
}

// evict tells the connection to close that is missed least. Crowds that connect and say nothing, or never
// end what they say, must not keep usual consumers out, and least of all call-backs: without them the
// jobs of all who wait would not end.
func (s *Server) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var least *conn
	rank := 0
	for c := range s.conns {
		r := c.evictionRank()
		if r > 0 && (least == nil || r < rank || r == rank && c.heard.Load() < least.heard.Load()) {
			least, rank = c, r
		}
	}
	if least == nil {
		if len(s.conns)-s.leaving >= cap(s.slots) && time.Since(s.warned) > tellEvery {
			s.warned = time.Now()
			s.Log.Warn("all connections are busy: new ones wait", "open", len(s.conns))
		}
		return
	}
	least.evicted = true
	s.leaving++
	least.SetReadDeadline(time.Now())
}

// evictionRank ranks connections that may be told to close, those that are missed least first; 0: not this one. Of one rank the
// most silent goes. A stranger is no better or worse for what it has said so far: one that has just been accepted has had
// no turn yet, and a message that is written slowly looks like one that never ends, but for its silence. One whose first
// message may be on its way goes after those between messages: a client sends what crosses their close once more, but not
// what it was to be the first on a new connection.
func (c *conn) evictionRank() int {
	switch {
	case c.evicted || c.stage == working || c.stage == reading && c.told > 0:
		return 0
	case c.stage == parting:
		return 1
	case c.events:
		return 5
	case c.told == 0 && time.Since(epoch)-time.Duration(c.heard.Load()) < firstOnItsWay:
		return 4
	case c.told <= 1:
		return 2
	}
	return 3
}
