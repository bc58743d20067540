package scheduler

import (
	"context"
	"fmt"
	"net"
	"strconv"

	"laddertide/frontend"
	"laddertide/internal/netfault"
	"laddertide/tlslistener"
)

// listeners opens what the operators' file asks for beside the plain listener, which comes first in what it returns. ctx ends the work
// that goes on with them. On an error none but the plain one is open.
func (s *Scheduler) listeners(ctx context.Context, plain net.Listener) ([]net.Listener, error) {
	all := []net.Listener{plain}
	if set := s.cfg.Operator.TLS; set != nil {
		secure, err := tlslistener.Listen(*set, s.cfg.Listen, s.log)
		if err != nil {
			return nil, fmt.Errorf("scheduler: tls: %w", err)
		}
		all = append(all, secure)
	}
	if set := s.cfg.Operator.Stomp; set != nil {
		sessions, err := s.listenStomp(ctx, set)
		if err != nil {
			closeListeners(all[1:])
			return nil, fmt.Errorf("scheduler: stomp: %w", err)
		}
		all = append(all, frontend.StompListener{Listener: sessions, Stomp: *set})
	}
	return all, nil
}

// listenStomp opens the port that speaks STOMP. Its certificate, if it is encrypted, is that of the other encrypted port.
func (s *Scheduler) listenStomp(ctx context.Context, set *frontend.Stomp) (net.Listener, error) {
	if !set.TLS {
		host, _, _ := net.SplitHostPort(s.cfg.Listen)
		return netfault.Listen(net.JoinHostPort(host, strconv.Itoa(set.Port)))
	}
	own := *s.cfg.Operator.TLS
	own.Port = set.Port
	ln, err := tlslistener.Listen(own, s.cfg.Listen, s.log)
	if err == nil {
		go ln.Run(ctx)
	}
	return ln, err
}

// logListeners says what is served where, beside the plain listener, and lets the certificates of encrypted ones be read again until ctx
// ends.
func (s *Scheduler) logListeners(ctx context.Context, all []net.Listener) {
	for _, ln := range all {
		switch ln := ln.(type) {
		case *tlslistener.Listener:
			s.log.Info("serving with encryption", "listen", ln.Addr())
			go ln.Run(ctx)
		case frontend.StompListener:
			s.log.Info("serving STOMP", "listen", ln.Addr())
		}
	}
}

func closeListeners(all []net.Listener) {
	for _, ln := range all {
		ln.Close()
	}
}
