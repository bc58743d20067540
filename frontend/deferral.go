package frontend

import (
	"net"
	"time"

	"laddertide/internal/netfault"
)

// A crowd that connects and says nothing must not stand before requests in a listener's queue, which is served in order. So the system
// keeps a connection back until something comes on it; one that comes without a byte has been silent for long, and is closed at once where
// slots are getting scarce.

const (
	longSilent = 500 * time.Millisecond // for a client that has connected

	// deferralExcused is the part of a handshake that is not taken off the time for a first message, so that slow networks have all of it.
	deferralExcused = 200 * time.Millisecond
)

// deferSilent has the system keep back connections on which nothing has come yet, if all of them would come before a process that is told to
// stop closes its listeners. Where the system can't they come as they are.
func (s *Server) deferSilent(listeners []net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Grace+handlersLast < netfault.DeferredAtMost {
		return
	}
	for _, ln := range listeners {
		if err := netfault.DeferAccept(ln, true); err != nil {
			s.Log.Warn("silent connections are not kept back by the system: a crowd of them delays others", "listen", ln.Addr(), "err", err)
			continue
		}
		s.deferring = append(s.deferring, ln)
	}
}

// endDeferral has connections come at once again, DeferredAtMost before the end of a window or now if that is sooner: a client that has
// connected and not spoken finds its connection closed in order then, where the close of the listener would reset it. It returns when all
// that were kept back have come; the zero time: none were.
func (s *Server) endDeferral(window time.Time) (handedOver time.Time) {
	s.mu.Lock()
	deferring := s.deferring
	s.mu.Unlock()
	if len(deferring) == 0 {
		return time.Time{}
	}
	timer := time.NewTimer(time.Until(window.Add(-netfault.DeferredAtMost)))
	<-timer.C
	for _, ln := range deferring {
		if err := netfault.DeferAccept(ln, false); err != nil {
			s.Log.Debug("silent connections are kept back until the listener closes", "listen", ln.Addr(), "err", err)
		}
	}
	handedOver = time.Now().Add(netfault.DeferredAtMost)
	time.AfterFunc(netfault.DeferredAtMost, s.wakeWaits)
	return handedOver
}

// wakeWaits has all that wait in waitUntil look at their condition again.
func (s *Server) wakeWaits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quiet.Broadcast()
}

// acceptOne returns the next connection that is worth a slot. Its limits run from when its client had connected, but it is no stranger yet if
// something has come on it, or may be about to: over a long way the first bytes come as late as those of a client that hesitates, and the
// rest of a message behind them.
func (s *Server) acceptOne(ln net.Listener) (*conn, error) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return nil, err
		}
		silent := netfault.HandshakeTime(nc)
		stranger := silent >= longSilent && !received(nc)
		if !stranger || !s.silentExceed() {
			return newConnSince(nc, silent, stranger), nil
		}
		nc.Close()
		s.crowd.closedUnread()
	}
}

// newConnSince is a connection that is accepted now, whose client had connected some time before. A stranger has been silent since then.
func newConnSince(nc net.Conn, ago time.Duration, stranger bool) *conn {
	c := newConn(nc, nil)
	c.connected = c.opened.Add(-min(max(0, ago-deferralExcused), netfault.DeferredAtMost))
	if stranger {
		c.opened = c.opened.Add(-ago)
		c.heard.Store(int64(c.opened.Sub(epoch)))
	}
	return c
}

// silentExceed reports whether so many connections are open that silent ones get no slot.
func (s *Server) silentExceed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)-s.leaving > cap(s.slots)*4/5
}

// received reports whether anything has come on a connection that nothing has been read of. Where that is not known it says yes.
func received(nc net.Conn) bool {
	waiting, known := netfault.Waiting(netfault.Socket(nc))
	return waiting || !known
}
