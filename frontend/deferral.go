package frontend

import (
	"net"
	"time"

	"laddertide/internal/netfault"
)

// A listener's queue is served in order, so a surge of silent connections must not stand before requests in it. Therefore the
// system defers a connection until data arrives on it (see netfault.DeferAccept); one that is accepted without any data has long
// been silent, and is closed at once where slots are getting scarce.

const (
	longSilence = 500 * time.Millisecond // time without data after which a connected client counts as silent

	// handshakeAllowance is the part of the handshake time that is not deducted from the time for a first message, so that clients on
	// slow networks have all of it.
	handshakeAllowance = 200 * time.Millisecond
)

// deferSilent makes the system defer silent connections, provided that all of them would be handed over before a stopping process
// closes its listeners. Where the system does not support this, connections are accepted without deferral.
func (s *Server) deferSilent(listeners []net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Grace+handlerSlack < netfault.MaxDeferral {
		return
	}
	for _, ln := range listeners {
		if err := netfault.DeferAccept(ln, true); err != nil {
			s.Log.Warn("the system does not defer silent connections: many of them would delay other clients", "listen", ln.Addr(), "err", err)
			continue
		}
		s.deferringListeners = append(s.deferringListeners, ln)
	}
}

// endDeferral ends the deferral, DeferredAtMost before the end of the window or now if that is sooner: a silent client then finds
// its connection closed in order, where closing the listener would reset it. It returns the time by which all deferred connections
// are handed over, or the zero time if none were deferred.
func (s *Server) endDeferral(window time.Time) (handedOver time.Time) {
	s.mu.Lock()
	deferring := s.deferringListeners
	s.mu.Unlock()
	if len(deferring) == 0 {
		return time.Time{}
	}
	timer := time.NewTimer(time.Until(window.Add(-netfault.MaxDeferral)))
	<-timer.C
	for _, ln := range deferring {
		if err := netfault.DeferAccept(ln, false); err != nil {
			s.Log.Debug("silent connections stay deferred until the listener closes", "listen", ln.Addr(), "err", err)
		}
	}
	handedOver = time.Now().Add(netfault.MaxDeferral)
	time.AfterFunc(netfault.MaxDeferral, s.wakeWaiters)
	return handedOver
}

// wakeWaiters makes all callers of waitUntil check their condition again.
func (s *Server) wakeWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateChanged.Broadcast()
}

// acceptOne returns the next connection that is worth a slot. The time limits of a connection run from when its client connected. A
// connection does not count as a stranger yet if data has arrived on it, or may be about to: on a slow network the first bytes come
// as late as those of a client that hesitates, with the rest of the message behind them.
func (s *Server) acceptOne(ln net.Listener) (*conn, error) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return nil, err
		}
		silent := netfault.HandshakeTime(nc)
		stranger := silent >= longSilence && !hasReceived(nc)
		if !stranger || !s.slotsScarce() {
			return newAcceptedConn(nc, silent, stranger), nil
		}
		nc.Close()
		s.surge.closedUnread()
	}
}

// newAcceptedConn returns a connection accepted now, whose client connected the time connectedAgo before. A stranger has been silent since
// then.
func newAcceptedConn(nc net.Conn, connectedAgo time.Duration, stranger bool) *conn {
	c := newConn(nc, nil)
	c.connectedAt = c.openedAt.Add(-min(max(0, connectedAgo-handshakeAllowance), netfault.MaxDeferral))
	if stranger {
		c.openedAt = c.openedAt.Add(-connectedAgo)
		c.lastActive.Store(int64(c.openedAt.Sub(epoch)))
	}
	return c
}

// slotsScarce reports whether so many connections are open that silent ones get no slot.
func (s *Server) slotsScarce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)-s.evictedConns > cap(s.slots)*4/5
}

// hasReceived reports whether data has arrived on a connection that nothing was read from. If that is not known, it returns true.
func hasReceived(nc net.Conn) bool {
	waiting, known := netfault.Readable(netfault.Socket(nc))
	return waiting || !known
}
