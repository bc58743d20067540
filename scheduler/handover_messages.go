package scheduler

import (
	"errors"
	"fmt"
	"net"
	"time"

	"laddertide/admin"
	"laddertide/frontend"
	"laddertide/handover"
	"laddertide/job"
	"laddertide/provider"
	wire "laddertide/wire/handover"
)

// incoming is a message of the previous or the next process that is being handled.
type incoming struct {
	*Scheduler
	from         *handover.Peer
	conn         net.Conn // the socket that came with it; nil: none
	fromPrevious bool
	standingBy   bool // the previous process serves
}

// handleHandoverMessage handles a message of the previous or the next process. A message that cannot be handled is refused by a Reply, if
// it has a number: it must not cost the jobs and connections that follow it.
func (s *Scheduler) handleHandoverMessage(from *handover.Peer, r handover.Received) {
	s.mu.Lock()
	in := incoming{Scheduler: s, from: from, fromPrevious: from == s.previous}
	in.standingBy = in.fromPrevious && s.standingBy
	s.mu.Unlock()
	if r.File != nil {
		conn, err := net.FileConn(r.File)
		r.File.Close()
		if err != nil { // its message is refused below
			s.log.Warn("a socket of the other process cannot be used", "message", fmt.Sprintf("%T", r.Message), "err", err)
		} else {
			in.conn = conn
		}
	}
	if !in.handle(r.Message) {
		in.refuse(r.Message)
	}
}

// reply answers a numbered message.
func (in *incoming) reply(number uint64, code wire.Code, why string) {
	in.from.Send(&wire.Reply{Number: number, Code: code, Reason: why}, nil)
}

// refuse answers a message that was not handled.
func (in *incoming) refuse(m wire.Message) {
	if in.conn != nil {
		in.conn.Close()
	}
	in.log.Warn("a message of the other process is refused", "message", fmt.Sprintf("%T", m))
	if number := wire.NumberOf(m); number != 0 {
		in.reply(number, wire.No, fmt.Sprintf("scheduler: unexpected %T", m))
	}
}

// handle handles a message, and reports false if it is none that this process can handle now.
func (in *incoming) handle(m wire.Message) bool {
	switch m := m.(type) {
	case *wire.OperatorRequest:
		go func() {
			code, why := codeOf(in.handleForwardedCall(m))
			in.reply(m.Number, code, why)
		}()
		return true
	case *wire.Event:
		go func() {
			code, why := in.handleForwardedEvent(m)
			in.reply(m.Number, code, why)
		}()
		return true
	}
	if !in.fromPrevious {
		return false
	}
	switch m := m.(type) {
	case *wire.RosterChange:
		in.adoptRosterStandingBy(&m.Roster)
		in.reply(m.Number, wire.Yes, "")
		return true
	case *wire.RereadConfig:
		go in.reread(m) // this process may have taken over since it was asked: then it serves by the new file as well
		return true
	}
	if in.standingBy {
		return in.handleStandingBy(m)
	}
	return in.conn != nil && in.handleServing(m)
}

// reread reads this process's configuration again.
func (in *incoming) reread(m *wire.RereadConfig) {
	if in.RereadFile != nil {
		in.RereadFile()
	}
	if in.standingBy {
		in.rereadConfiguration()
	}
	in.reply(m.Number, wire.Yes, "")
}

// handleStandingBy handles a message by which the previous process prepares, or makes, this one the serving process.
func (in *incoming) handleStandingBy(m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Peers:
		in.mu.Lock()
		defer in.mu.Unlock()
		in.previousPeers = m
		return true
	case *wire.Clock:
		in.mu.Lock()
		defer in.mu.Unlock()
		in.previousClock = &receivedClock{Clock: m, received: time.Now()}
		return true
	case *wire.RunOnce:
		in.restoreRunOnce(m)
		return true
	case *wire.Takeover:
		in.rereadConfiguration() // the previous process has released the folder
		if !in.takeOver(m) {
			return false
		}
		in.takeover <- m
		<-in.canAdopt
		in.reply(m.Number, wire.Yes, "")
		return true
	}
	return false
}

// handleServing handles a connection that the previous process hands over, with or without a job.
func (in *incoming) handleServing(m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Conn:
		in.server.Adopt(in.conn, connState(m), false, nil)
		return true
	case *wire.Job:
		j, err := in.jobFromMessage(m)
		if err != nil {
			in.conn.Close()
			in.reply(m.Number, wire.No, err.Error())
			return true
		}
		j.Keeper = job.NewInheritedKeeper(pastAttempts(m, in.conn), func() { in.reply(m.Number, wire.Yes, "") })
		in.server.Adopt(in.conn, connState(&m.Conn), m.CloseAfter, j)
		return true
	}
	return false
}

// connState returns the state of a connection that is handed over.
func connState(m *wire.Conn) frontend.ConnState {
	return frontend.ConnState{Messages: m.Messages, CarriesCallBacks: m.CarriesCallBacks, ReadAhead: m.ReadAhead}
}

func codeOf(err error) (wire.Code, string) {
	switch {
	case err == nil:
		return wire.Yes, ""
	case errors.Is(err, admin.ErrUnknownWorker):
		return wire.Unknown, ""
	}
	return wire.No, err.Error()
}

// handleForwardedCall executes an operator's call that the other process received.
func (s *Scheduler) handleForwardedCall(m *wire.OperatorRequest) error {
	s.mu.Lock()
	if s.otherServing() != nil || m.Verb != "disable" && m.Verb != "enable" {
		s.mu.Unlock()
		return errors.New("scheduler: not this process's call")
	}
	s.mu.Unlock()
	_, err := s.setBan(m.Verb, m.ID)
	return err
}

// handleForwardedEvent handles a call-back for which the other process has no job.
func (s *Scheduler) handleForwardedEvent(m *wire.Event) (wire.Code, string) {
	if m.State > byte(provider.Lost) {
		return wire.Unknown, ""
	}
	claimed, moved, err := s.pool.HandleForwarded(provider.Event{ID: m.ID, Provider: m.Provider, Lease: m.Lease, State: provider.State(m.State),
		Share: m.Share, Result: m.Result})
	switch {
	case err != nil:
		return wire.No, err.Error()
	case claimed:
		return wire.Yes, ""
	case moved:
		return wire.Moved, ""
	}
	return wire.Unknown, ""
}

// forwardUnclaimed asks the other process of an upgrade about a call-back that belongs to no attempt here. It is
// acknowledged only once the process that has the job has received it, or none of them knows the job.
func (s *Scheduler) forwardUnclaimed(ev provider.Event) error {
	s.mu.Lock()
	s.awaitHandover()
	peer, handed := s.previous, s.handedOver
	if handed {
		peer = s.successor
	}
	s.mu.Unlock()
	// While a job is in transit, neither process knows it until one of them accepts its call-backs.
	claimed, moved, err := s.pool.HandleForwarded(ev)
	if moved && !handed { // the job stayed here, or came back
		claimed, _, err = s.pool.HandleForwarded(ev)
	}
	if claimed || err != nil || peer == nil {
		return retryLater(err)
	}
	reply, err := peer.Ask(&wire.Event{ID: ev.ID, Provider: ev.Provider, Lease: ev.Lease, State: byte(ev.State), Share: ev.Share,
		Result: ev.Result}, nil, eventTimeout)
	if err != nil && !errors.Is(err, handover.ErrPeerEnded) && !errors.Is(err, handover.ErrNotSent) {
		return job.ErrNotStored
	}
	if err == nil && (reply.Code == wire.Yes || reply.Code == wire.Unknown) {
		return nil
	}
	if err == nil && reply.Code == wire.No {
		return job.ErrNotStored
	}
	// Meanwhile the job was handed over, or came back, or the process that had it has exited.
	claimed, _, err = s.pool.HandleForwarded(ev)
	if !claimed && err == nil && handed {
		return job.ErrNotStored // it may be on its way back
	}
	return retryLater(err)
}

// retryLater makes the provider repeat a call-back that could not be handled.
func retryLater(err error) error {
	if err != nil {
		return job.ErrNotStored
	}
	return nil
}

// awaitHandover waits until it is certain which process serves. Called under mu, which it releases meanwhile.
func (s *Scheduler) awaitHandover() {
	for s.handingOver != nil {
		handing := s.handingOver
		s.mu.Unlock()
		<-handing
		s.mu.Lock()
	}
}
