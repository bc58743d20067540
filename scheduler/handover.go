package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"laddertide/admin"
	"laddertide/frontend"
	"laddertide/handover"
	"laddertide/internal/netfault"
	wire "laddertide/wire/handover"
)

// succession is the state of the handover with the previous and the next process. One process serves at any time; another
// one stands by until the first is stopped, and then continues with all of its state.
type succession struct {
	// Guarded by the scheduler's mutex.
	previous         *handover.Peer // the previous process, until it has exited
	standingBy       bool           // the previous process serves
	successor        *handover.Peer // the next process
	handedOver       bool           // successor serves
	handingOver      chan struct{}  // not nil while successor is asked to take over; closed afterwards
	handoverListener *handover.Listener
	listener         *net.TCPListener // the socket that is handed to the next process
	stopping         bool
	stopDeadline     time.Time // when all must be answered, once stopping

	previousPeers *wire.Peers    // what the previous process knew of the other schedulers; nil: nothing
	previousClock *receivedClock // the clock of the previous process; nil: from an earlier version, whose clock equals this process's

	takeover chan *wire.Takeover // the previous process's message that this one serves now
	canAdopt chan struct{}       // closed once server can adopt connections
}

const (
	joinTimeout       = 4 * time.Second        // readiness is due 6 s after the start
	joinRetryInterval = 50 * time.Millisecond  // after a refusal that may be temporary
	askTimeout        = 600 * time.Millisecond // operators wait for 1 s
	eventTimeout      = 1200 * time.Millisecond
	jobTimeout        = 2 * time.Second
	takeoverTimeout   = time.Second // for the next process to confirm that it serves
)

// Fractions of the memory limit set for the garbage collector. The two processes of an upgrade together stay within one
// limit.
const (
	fullMemory    = 1.0
	standbyMemory = 0.25
	sharedMemory  = 0.5
)

// acquireListener returns the listening socket: that of the previous process, if this one can take over from it, once the
// handover happens; otherwise a new one. It returns neither socket nor error if this process was stopped while standing by.
func (s *Scheduler) acquireListener(ctx context.Context) (net.Listener, *wire.Takeover, error) {
	if !s.cfg.canHandOver() {
		ln, err := netfault.Listen(s.cfg.Listen)
		if err != nil {
			return nil, nil, fmt.Errorf("scheduler: %w", err)
		}
		return ln, nil, nil
	}
	s.mu.Lock()
	s.takeover, s.canAdopt = make(chan *wire.Takeover, 1), make(chan struct{})
	s.mu.Unlock()
	var ln net.Listener
	for by := time.Now().Add(joinTimeout); ctx.Err() == nil; {
		peer, welcome, file, err := handover.Join(s.cfg.HandoverDir, wire.Hello{Name: s.cfg.Name, Listen: s.cfg.Listen})
		if err == nil {
			takeover, inherited, err := s.standBy(ctx, peer, welcome, file)
			if takeover != nil || ctx.Err() != nil {
				return inherited, takeover, err
			}
			s.log.Warn("the previous process exited without a handover", "err", err)
			if ln != nil {
				ln.Close()
			}
			ln = inherited // and ask again: it may still be running
			continue
		}
		var refused *handover.Refused
		if errors.As(err, &refused) && refused.RetryLater && time.Now().Before(by) && ctx.Err() == nil {
			time.Sleep(joinRetryInterval)
			continue
		}
		if !errors.Is(err, handover.ErrPeerEnded) {
			s.log.Warn("no handover: this process opens its own listener", "err", err)
		}
		break
	}
	s.mu.Lock()
	s.standingBy = false
	s.mu.Unlock()
	if ln != nil || ctx.Err() != nil {
		return ln, nil, nil
	}
	// A process that cannot receive the socket listens on the same port as the process that has it.
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
			return e
		}
		return err
	}}
	ln, err := config.Listen(ctx, "tcp", s.cfg.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("scheduler: %w", err)
	}
	return ln, nil, nil
}

// standBy waits until the previous process hands over or exits. This process reports ready meanwhile.
func (s *Scheduler) standBy(ctx context.Context, peer *handover.Peer, welcome *wire.Welcome, file *os.File) (*wire.Takeover,
	net.Listener, error) {
	ln, err := net.FileListener(file)
	file.Close()
	if err != nil {
		peer.Close()
		return nil, nil, err
	}
	s.setRuntimeLimits(standbyMemory)
	s.mu.Lock()
	s.previous, s.standingBy = peer, true
	s.adoptRoster(&welcome.Roster)
	s.mu.Unlock()
	ended := make(chan error, 1)
	go func() {
		ended <- peer.Run(func(r handover.Received) { s.handleHandoverMessage(peer, r) })
	}()
	s.log.Info("standing by: another process serves", "name", s.cfg.Name, "listen", ln.Addr(), "providers", len(welcome.Roster.Providers))
	s.ready.Store(true)
	select {
	case takeover := <-s.takeover:
		return takeover, ln, nil
	case <-ctx.Done():
		s.mu.Lock()
		serves := !s.standingBy // this process has taken over: connections that are handed over must be answered
		s.standingBy = false
		s.mu.Unlock()
		if serves {
			return <-s.takeover, ln, nil
		}
		peer.Close()
		ln.Close()
		return nil, nil, nil
	case err = <-ended:
	}
	select {
	case took := <-s.takeover: // the previous process exited right after the handover
		return took, ln, nil
	default:
	}
	s.setRuntimeLimits(fullMemory)
	return nil, ln, err
}

// startServing makes this process serve: server is about to accept. takeover is the previous process's last message, if
// there was one.
func (s *Scheduler) startServing(server *frontend.Server, ln net.Listener, takeover *wire.Takeover) {
	defer s.ready.Store(true)
	if !s.cfg.canHandOver() {
		return
	}
	server.FindSuccessor = s.handOver
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return
	}
	if takeover != nil {
		// Bounded by this process's own limits, whatever the other one sends.
		server.HeldByPrevious, takeover.OpenAttempts = takeover.Conns, min(max(0, takeover.OpenAttempts), s.cfg.providerConnections()-1)
		s.pool.AddForeignConnections(takeover.OpenAttempts)
		s.setRuntimeLimits(sharedMemory)
	}
	s.pool.HandleUnclaimed = s.withOwnersUnclaimed(s.forwardUnclaimed)
	s.mu.Lock()
	s.listener = tcp
	previous := s.previous
	if takeover == nil {
		s.previous = nil
	}
	s.mu.Unlock()
	close(s.canAdopt)
	if takeover != nil {
		go func() {
			<-previous.Done()
			s.mu.Lock()
			s.previous = nil
			s.mu.Unlock()
			server.ReleaseHeldSlots()
			s.pool.AddForeignConnections(-takeover.OpenAttempts)
			s.setRuntimeLimits(fullMemory)
			s.log.Info("the previous process has exited")
		}()
	}
	go s.acceptSuccessors()
}

// closeSuccession closes the connections to the other processes once this one has nothing left to do.
func (s *Scheduler) closeSuccession() {
	s.mu.Lock()
	previous, successor, listener := s.previous, s.successor, s.handoverListener
	s.stopping = true
	s.mu.Unlock()
	if previous != nil {
		previous.Close()
	}
	if successor != nil {
		successor.CloseAfterRead()
	}
	if listener != nil {
		listener.Close()
	}
}

// acceptSuccessors accepts next processes for as long as this one serves.
func (s *Scheduler) acceptSuccessors() {
	listener, err := handover.Listen(s.cfg.HandoverDir)
	if err != nil {
		s.log.Warn("no process can follow this one without a break", "err", err)
		return
	}
	s.mu.Lock()
	s.handoverListener = listener
	socket := s.listener
	if s.stopping {
		listener.Close()
	}
	s.mu.Unlock()
	listener.Serve(socket, func(hello *wire.Hello) wire.Message {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case hello.Name != s.cfg.Name || hello.Listen != s.cfg.Listen:
			return &wire.Refusal{Version: wire.Version, Reason: "this is another scheduler: " + s.cfg.Name}
		case s.successor != nil:
			return &wire.Refusal{Version: wire.Version, Reason: "another process stands by already", RetryLater: true}
		case s.stopping:
			return &wire.Refusal{Version: wire.Version, Reason: "this process is stopping", RetryLater: true}
		}
		return &wire.Welcome{Version: wire.Version, Roster: s.roster()}
	}, s.successorAdmitted)
}

// successorAdmitted records the standby process.
func (s *Scheduler) successorAdmitted(peer *handover.Peer) {
	s.mu.Lock()
	s.successor = peer
	roster := s.roster()
	s.mu.Unlock()
	s.log.Info("another process stands by to take over")
	go func() {
		err := peer.Run(func(r handover.Received) { s.handleHandoverMessage(peer, r) })
		s.mu.Lock()
		if s.successor == peer && !s.handedOver {
			s.successor = nil
			s.log.Warn("the standby process has exited: this one continues to serve", "err", err)
		}
		s.mu.Unlock()
	}()
	go s.updateSuccessor(peer, roster) // changes since the welcome; in the background, as a process that joins meanwhile must not wait for the confirmation
}

// updateSuccessor sends the roster with the bans to the standby process. One that does not confirm it must not take over
// with an older list. Once it is asked to take over, it gets the roster of that moment instead, and its connection carries jobs.
func (s *Scheduler) updateSuccessor(peer *handover.Peer, roster wire.Roster) {
	_, err := peer.Ask(&wire.RosterChange{Roster: roster}, nil, askTimeout)
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handedOver || s.handingOver != nil {
		return
	}
	s.log.Warn("the standby process does not answer: its connection is closed", "err", err)
	peer.Close()
}

// otherServing returns the process that serves, if it is not this one. Called under mu.
func (s *Scheduler) otherServing() *handover.Peer {
	switch {
	case s.handedOver:
		return s.successor
	case s.standingBy:
		return s.previous
	}
	return nil
}

// forwardCall passes an operator's call to another process.
func (s *Scheduler) forwardCall(to *handover.Peer, verb, name string) error {
	reply, err := to.Ask(&wire.OperatorRequest{Verb: verb, ID: name}, nil, askTimeout)
	switch {
	case err != nil:
		return err
	case reply.Code == wire.Unknown:
		return admin.ErrUnknownWorker
	case reply.Code != wire.Yes:
		return errors.New(reply.Reason)
	}
	return nil
}
