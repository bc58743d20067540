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

// listeners opens the listeners of the operators' file beside the plain one, which is the first of the result. ctx ends
// their background work. On an error only the plain one remains open.
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

// listenStomp opens the port for STOMP. If it is encrypted, it uses the certificate of the TLS port.
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

// logListeners logs the addresses of the further listeners, and rereads the certificates of the encrypted ones until ctx
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
