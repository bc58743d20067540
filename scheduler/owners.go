package scheduler

import (
	"time"

	"laddertide/job"
	"laddertide/owners"
	"laddertide/peers"
	"laddertide/provider"
	wire "laddertide/wire/owners"
)

// newOwners creates the Handler that joins a repeated request for a job to the job's owner, whichever scheduler that is. It
// wraps all other Handlers: a job that another scheduler owns must not enter this one's ledger.
func (s *Scheduler) newOwners(set owners.Settings, next job.Handler) (*owners.Handler, error) {
	stored, err := owners.OpenStored(&set, s.log)
	if err != nil {
		return nil, err
	}
	timing := peers.TimingOf(s.cfg.Settings.DialTimeout)
	cfg := owners.Config{Settings: set, Self: wire.Process{Name: s.cfg.Name}, Classes: s.cfg.Settings.Classes, Tenants: s.cfg.Settings.Tenants,
		Next: next, Pool: s.pool, Log: s.log, Stored: stored, AnswerTime: timing.AnswerTime, SettleTime: timing.SettleTime(s.cfg.Settings.Balancers)}
	if s.durable != nil {
		cfg.Ledger = s.durable
	}
	if s.groups != nil {
		cfg.Ledger = s.groups
	}
	if cfg.Ledger != nil {
		cfg.LedgerRetention = s.cfg.Operator.Durable.Keep
	}
	return owners.New(cfg), nil
}

// stopOwners notifies the other schedulers that this one will end, unless another process takes over from it.
func (s *Scheduler) stopOwners(by time.Time) {
	s.mu.Lock()
	s.stopDeadline = by
	successor := s.successor
	s.mu.Unlock()
	if successor == nil {
		s.owners.Stop(by)
	}
}

// stopBoth combines two functions that handle the stop signal.
func stopBoth(first, then func(by time.Time)) func(by time.Time) {
	return func(by time.Time) { first(by); then(by) }
}

// withOwnersUnclaimed returns a handler of call-backs that belong to no attempt here: after before, it passes them to the
// current owner of the job.
func (s *Scheduler) withOwnersUnclaimed(before func(provider.Event) error) func(provider.Event) error {
	if s.owners == nil {
		return before
	}
	return func(ev provider.Event) error {
		if before != nil {
			if err := before(ev); err != nil {
				return err
			}
		}
		return s.owners.HandleUnclaimed(ev)
	}
}
