package frontend

import (
	"net"
	"slices"
	"sync"
	"time"

	"laddertide/internal/netfault"
)

// Shutdown. From the stop signal on all limits are in real time, and each step has a time limit that depends on nobody else: not on
// the Handler, not on workers, not on clients. Jobs without an outcome soon after the end of the grace period are answered here, as
// the platform kills the process soon after that.
const (
	newcomerWindow      = 2200 * time.Millisecond // in which new connections, and requests on open ones, are still served normally
	graceReserveDivisor = 3                       // one in this many parts of a short grace period is reserved for what arrives last
	lastReadMargin      = 50 * time.Millisecond   // before the end of the grace period, for the requests that are completed last
	handlerSlack        = 100 * time.Millisecond  // after the grace period, for outcomes that the Handler gives at its end
	lateWriteLimit      = 100 * time.Millisecond  // for writing an answer after that
	backlogPollInterval = 2 * time.Millisecond    // interval of checks for connections that are not accepted yet
)

// drain returns once all accepted requests are answered. end is the end of the grace period.
func (s *Server) drain(listeners []net.Listener) (end time.Time) {
	s.mu.Lock()
	grace, began := s.Grace, time.Now()
	end = began.Add(grace)
	window := began.Add(min(newcomerWindow, grace-grace/graceReserveDivisor))
	s.Log.Info("stopping: answering accepted requests, and new ones for a while", "busy", s.busyConns, "within", grace)
	s.mu.Unlock()
	// The front needs a moment to notice the shutdown: new connections and requests keep arriving, and are served normally.
	// Connections that stayed open longer would bring jobs that cannot end in time.
	s.callShutdownCallback(end, window)
	if s.FindSuccessor != nil {
		if successor := s.FindSuccessor(len(s.slots)); successor != nil {
			s.handOver(successor, listeners, end)
			return end
		}
	}
	close(s.successorKnown)
	handedOver := s.endDeferral(window)
	timer := time.NewTimer(time.Until(window))
	<-timer.C
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closingIdle = true
	s.readDeadline = end.Add(-lastReadMargin)
	s.wakeIdle(false)
	// Call-backs arrive on connections that are accepted here, so the listener stays open until the last job is answered.
	s.waitUntil(end, func() bool { return s.busyConns == 0 && !time.Now().Before(handedOver) })
	s.ignoreConnections(listeners)
	s.awaitBacklog(listeners, handedOver, end.Add(handlerSlack))
	for _, ln := range listeners {
		ln.Close()
	}
	s.closingNew = true
	s.wakeIdle(true)
	s.awaitAllAnswered(end)
	return end
}

// ignoreConnections makes the system ignore new connections: closing a listener resets the connections that it has not accepted, so
// its queue must run empty before. A socket shared with a standby process is left as it is.
func (s *Server) ignoreConnections(listeners []net.Listener) {
	if s.FindSuccessor != nil {
		return
	}
	for _, ln := range listeners {
		if err := netfault.IgnoreConnections(ln); err != nil {
			s.Log.Debug("clients can connect until the listener closes", "listen", ln.Addr(), "err", err)
		}
	}
}

// awaitBacklog returns once the listeners have no connections that wait to be accepted, all deferred ones have been handed over (by
// handedOver), and nothing is being answered, or at the time until. Where all slots were taken by open jobs, the connections in the
// queue carry requests, which would be lost with the listener. Called with mu held, which it releases while it waits.
func (s *Server) awaitBacklog(listeners []net.Listener, handedOver, until time.Time) {
	waits := func() bool {
		return s.busyConns > 0 || time.Now().Before(handedOver) || slices.ContainsFunc(listeners, netfault.Backlogged)
	}
	for time.Now().Before(until) && waits() {
		s.mu.Unlock()
		time.Sleep(backlogPollInterval)
		s.mu.Lock()
	}
}

// awaitAllAnswered returns once no answer is owed on any connection. Jobs that are still open soon after the end of the grace period
// are answered here. Called with mu held.
func (s *Server) awaitAllAnswered(end time.Time) {
	nothingOwed := func() bool { return !s.anyNotLingering() }
	s.waitUntil(end.Add(handlerSlack), nothingOwed)
	if nothingOwed() {
		return
	}
	s.answerUnfinished()
	s.waitUntil(end.Add(handlerSlack+lateWriteLimit), nothingOwed)
}

// callShutdownCallback calls the shutdown callback, and waits for it until the given time at most, so that it cannot delay the steps that follow.
func (s *Server) callShutdownCallback(end, until time.Time) {
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		s.OnShutdown(end)
	}()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-returned:
	case <-timer.C:
		s.Log.Error("the shutdown callback did not return in time: shutting down without it")
	}
}

// wakeIdle wakes the idle connections: each checks for a request once more and closes. Connections on which a message has begun get
// until readDeadline for the rest. newConns includes connections without any message yet. Called with mu held.
func (s *Server) wakeIdle(newConns bool) {
	for c := range s.conns {
		if c.stage == idle && (c.messages > 0 || newConns) {
			c.SetReadDeadline(time.Now())
		}
		s.limitReading(c)
	}
}

// limitReading sets the read deadline for the rest of the message that is being read on c. Called with mu held.
func (s *Server) limitReading(c *conn) {
	if c.stage != reading {
		return
	}
	limit := c.readDeadline
	if !s.readDeadline.IsZero() && s.readDeadline.Before(limit) {
		limit = s.readDeadline
	}
	c.SetReadDeadline(limit)
}

// waitUntil waits until a condition holds, which may change whenever a connection changes its stage, or until the given time.
// Called with mu held.
func (s *Server) waitUntil(until time.Time, holds func() bool) {
	over := false
	timer := time.AfterFunc(time.Until(until), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		over = true
		s.stateChanged.Broadcast()
	})
	defer timer.Stop()
	for !over && !holds() {
		s.stateChanged.Wait()
	}
}

// answerUnfinished answers the jobs that the Handler still has, and makes later ones be answered at once. Late outcomes from the
// Handler are dropped. Called with mu held, which it releases meanwhile.
func (s *Server) answerUnfinished() {
	s.graceOver.Store(true)
	var held []*conn
	for c := range s.conns {
		if c.stage == working {
			held = append(held, c)
		}
	}
	if len(held) == 0 {
		return
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	s.Log.Warn("jobs have no outcome at the end of the grace period: answering them as failed", "connections", len(held))
	var all sync.WaitGroup
	for _, c := range held {
		all.Go(func() { s.answerUnfinishedOn(c) })
	}
	all.Wait()
}

// answerUnfinishedOn answers the open jobs of a connection. It blocks for lateWriteLimit at most for each answer.
func (s *Server) answerUnfinishedOn(c *conn) {
	if c.answerOpenJobs != nil {
		c.answerOpenJobs()
		return
	}
	if !c.claimAnswer() {
		return
	}
	a, _ := s.answerFor(s.Unfinished)
	a.last = true
	c.SetWriteDeadline(time.Now().Add(lateWriteLimit))
	if _, err := c.Write(a.bytes()); err != nil {
		s.Log.Debug("answer not written", "to", c.RemoteAddr(), "err", err)
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	s.setStage(c, lingering)
}

// claimAnswer claims the duty to answer the current request. It reports false if another goroutine or process has claimed it.
func (c *conn) claimAnswer() bool { return c.answerOwed.CompareAndSwap(true, false) }
