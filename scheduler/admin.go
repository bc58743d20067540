package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net"

	"laddertide/admin"
	"laddertide/core/maintenance"
	"laddertide/directory"
	"laddertide/policy"
)

// serveAdmin serves the operators' calls until the returned listener is closed.
func (s *Scheduler) serveAdmin(ctx context.Context) (net.Listener, error) {
	ln, err := net.Listen("tcp", s.cfg.Admin)
	if err != nil {
		return nil, fmt.Errorf("scheduler: admin: %w", err)
	}
	server := &admin.Server{
		MaxConns: s.cfg.adminConnections(), Log: s.log, Disable: s.disable, Enable: s.enable,
		Ready: func() error { return s.isReady(ctx) },
	}
	if s.cfg.Operator.Peers != nil {
		server.Fleet, server.Forget = s.fleetPage, s.forget
	}
	if s.cfg.Operator.Configuration != nil {
		server.Fleet = s.fleetPage
	}
	if s.recoveryDriver != nil {
		server.Fleet, server.Proceed = s.fleetPage, s.proceed
	}
	go server.Serve(ln)
	s.log.Info("serving the operators", "listen", ln.Addr())
	return ln, nil
}

// isReady returns the reason why this process is not ready to serve, or nil.
func (s *Scheduler) isReady(ctx context.Context) error {
	switch {
	case ctx.Err() != nil:
		return errors.New("stopping")
	case !s.ready.Load():
		return errStarting
	}
	if s.recoveryDriver != nil {
		if err := s.recoveryDriver.Ready(); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.list.All()) == 0 && s.current == nil {
		return errors.New("no list of providers yet")
	}
	return nil
}

// disable bans a provider. Once it returns, no job is sent to it any more.
func (s *Scheduler) disable(name string) (string, error) { return s.setBan("disable", name) }

// enable lifts a provider's ban.
func (s *Scheduler) enable(name string) (string, error) { return s.setBan("enable", name) }

// setBan bans a provider or lifts its ban, here or in all schedulers.
func (s *Scheduler) setBan(verb, name string) (string, error) {
	s.mu.Lock()
	s.awaitHandover()
	started, set, elsewhere := s.peers != nil, s.cfg.Operator.Peers, s.otherServing() != nil
	s.mu.Unlock()
	switch {
	case set == nil || !set.Bans || elsewhere:
	case !started:
		return "", errStarting
	default:
		return s.setFleetBan(verb, name)
	}
	if err := s.setLocalBan(verb, name); err != nil {
		return "", err
	}
	return "", s.saveState()
}

// setLocalBan bans a provider or lifts its ban in the process that serves, and in the standby process.
func (s *Scheduler) setLocalBan(verb, name string) error {
	s.mu.Lock()
	s.awaitHandover()
	if owner := s.otherServing(); owner != nil {
		s.mu.Unlock()
		return s.forwardCall(owner, verb, name)
	}
	err := s.applyBan(verb, name)
	successor, roster := s.successor, s.roster()
	s.mu.Unlock()
	if err == nil && successor != nil {
		s.updateSuccessor(successor, roster)
	}
	return err
}

// applyBan bans a provider or lifts its ban in this process. Called under mu.
func (s *Scheduler) applyBan(verb, name string) error {
	var p maintenance.Provider[directory.Entry]
	var known bool
	if verb == "disable" {
		p, known = s.list.Ban(name)
	} else {
		p, known = s.list.LiftBan(name, s.engine.Now())
	}
	if !known {
		return admin.ErrUnknownWorker
	}
	s.log.Info(map[bool]string{true: "provider banned by an operator", false: "provider ban lifted by an operator"}[p.Banned], "provider", p.Name, "listed", !p.Unlisted)
	if !p.Unlisted {
		s.publishList(policy.ListDelta, directory.List{Index: s.index, Entries: []directory.Entry{s.effectiveEntry(p)}})
	}
	return nil
}
