package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"laddertide/admin"
	"laddertide/core/maintenance"
	"laddertide/directory"
	"laddertide/policy"
)

// serveAdmin listens for the operators' calls until the listener that it returns is closed.
func (s *Scheduler) serveAdmin(ctx context.Context) (net.Listener, error) {
	ln, err := net.Listen("tcp", s.cfg.Admin)
	if err != nil {
		return nil, fmt.Errorf("scheduler: admin: %w", err)
	}
	server := &admin.Server{
		Places: s.cfg.callers(), Log: s.log, Disable: s.takeOut, Enable: s.putBack,
		Ready: func() error { return s.isReady(ctx) },
	}
	go server.Serve(ln)
	s.log.Info("serving the operators", "listen", ln.Addr())
	return ln, nil
}

// isReady says why this process is not ready to serve; nil: it is.
func (s *Scheduler) isReady(ctx context.Context) error {
	switch {
	case ctx.Err() != nil:
		return errors.New("stopping")
	case !s.ready.Load():
		return errors.New("starting")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.cfg.Known.Entries) == 0 && s.current == nil {
		return errors.New("no list of providers yet")
	}
	return nil
}

// takeOut bans a provider. Once it returns, no job is sent there any more.
func (s *Scheduler) takeOut(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, known := s.list.TakeOut(name)
	return s.byHand("provider taken out by hand", p, known)
}

// putBack ends a provider's ban.
func (s *Scheduler) putBack(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, known := s.list.PutBack(name, time.Duration(time.Now().UnixNano()))
	return s.byHand("provider put back by hand", p, known)
}

// byHand makes what an operator has said of a provider count. Called under mu.
func (s *Scheduler) byHand(what string, p maintenance.Provider[directory.Entry], known bool) error {
	if !known {
		return admin.ErrUnknown
	}
	s.log.Info(what, "provider", p.Name, "listed", !p.Gone)
	if !p.Gone {
		s.tell(policy.ListDelta, directory.List{Index: s.index, Entries: []directory.Entry{effective(p)}})
	}
	return nil
}
