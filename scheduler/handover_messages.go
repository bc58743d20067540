package scheduler

import (
	"context"
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

// handleHandoverMessage handles a message of the previous or the next process. A message that cannot be handled is refused by a Reply, if
// it has a number: it must not cost the jobs and connections that follow it.
func (s *Scheduler) handleHandoverMessage(ctx context.Context, from *handover.Peer, r handover.Received) error {
	s.mu.Lock()
	fromPrevious := from == s.previous
	standingBy := fromPrevious && s.standingBy
	s.mu.Unlock()
	var conn net.Conn
	if r.File != nil {
		var err error
		conn, err = net.FileConn(r.File)
		if r.File.Close(); err != nil { // its message is refused below
			s.log.Warn("a socket of the other process cannot be used", "message", fmt.Sprintf("%T", r.Message), "err", err)
		}
	}
	reply := func(number uint64, code wire.Code, why string) {
		from.Send(&wire.Reply{Number: number, Code: code, Reason: why}, nil)
	}
	switch m := r.Message.(type) {
	case *wire.OperatorRequest:
		go func() {
			code, why := codeOf(s.handleForwardedCall(m))
			reply(m.Number, code, why)
		}()
		return nil
	case *wire.Event:
		go func() {
			code, why := s.handleForwardedEvent(m)
			reply(m.Number, code, why)
		}()
		return nil
	case *wire.RosterChange:
		if fromPrevious {
			s.adoptRosterStandingBy(&m.Roster)
			reply(m.Number, wire.Yes, "")
			return nil
		}
	case *wire.RereadConfig:
		if fromPrevious { // this process may have taken over since it was asked: then it serves by the new file as well
			go func() {
				if s.RereadFile != nil {
					s.RereadFile()
				}
				if standingBy {
					s.rereadConfiguration()
				}
				reply(m.Number, wire.Yes, "")
			}()
			return nil
		}
	case *wire.Peers:
		if standingBy {
			s.mu.Lock()
			s.previousPeers = m
			s.mu.Unlock()
			return nil
		}
	case *wire.Clock:
		if standingBy {
			s.mu.Lock()
			s.previousClock = &receivedClock{Clock: m, received: time.Now()}
			s.mu.Unlock()
			return nil
		}
	case *wire.Takeover:
		if standingBy {
			s.rereadConfiguration() // the previous process has released the folder
		}
		if standingBy && s.takeOver(m) {
			s.takeover <- m
			<-s.canAdopt
			reply(m.Number, wire.Yes, "")
			return nil
		}
	case *wire.Conn:
		if fromPrevious && !standingBy && conn != nil {
			s.server.Adopt(conn, frontend.ConnState{Messages: m.Messages, CarriesCallBacks: m.CarriesCallBacks, ReadAhead: m.ReadAhead}, false, nil)
			return nil
		}
	case *wire.Job:
		if fromPrevious && !standingBy && conn != nil {
			j, err := s.jobFromMessage(m)
			if err != nil {
				conn.Close()
				reply(m.Number, wire.No, err.Error())
				return nil
			}
			j.Keeper = job.NewInheritedKeeper(pastAttempts(m, conn), func() { reply(m.Number, wire.Yes, "") })
			s.server.Adopt(conn, frontend.ConnState{Messages: m.Conn.Messages, CarriesCallBacks: m.Conn.CarriesCallBacks, ReadAhead: m.Conn.ReadAhead}, m.CloseAfter, j)
			return nil
		}
	}
	if conn != nil {
		conn.Close()
	}
	s.log.Warn("a message of the other process is refused", "message", fmt.Sprintf("%T", r.Message))
	if number := wire.NumberOf(r.Message); number != 0 {
		reply(number, wire.No, fmt.Sprintf("scheduler: unexpected %T", r.Message))
	}
	return nil
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
