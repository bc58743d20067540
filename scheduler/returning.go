package scheduler

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"laddertide/admin"
	"laddertide/core/maintenance"
	"laddertide/core/pollschedule"
	"laddertide/core/recovery"
	"laddertide/directory"
	"laddertide/frontend"
	"laddertide/job"
	"laddertide/peers"
	"laddertide/returning"
	wire "laddertide/wire/handover"
	"laddertide/wire/snapshot"
)

// The section state: the recovery after a restart, and its exchange with the other schedulers. If s.recoveryDriver is nil,
// the functions here do nothing.

// Names of parts of the state.
const (
	partClasses = "classes" // class names, in the order of the estimates' class indices
	partClock   = "clock"   // this scheduler's clock when the state was saved: a message of wire/handover
)

// openState opens the saved state of the previous process and restores the parts that can be trusted.
func (s *Scheduler) openState() error {
	set := s.cfg.Operator.State
	if set == nil {
		return nil
	}
	limits := returning.LimitsOf(&s.cfg.Settings)
	cfg := returning.Config{Settings: *set, Name: s.cfg.Name, Classes: s.cfg.Settings.Classes, Log: s.log, OnStep: s.recoveryStepStarted}
	if p := s.cfg.Operator.Peers; p != nil {
		timing := peers.TimingOf(s.cfg.Settings.DialTimeout)
		cfg.Cluster = p.Cluster
		limits.HasPeers, limits.ExpectedSchedulers = true, s.cfg.Settings.Balancers
		limits.ExchangeTime, limits.SettleTime = timing.ExchangeTime, timing.SettleTime(s.cfg.Settings.Balancers)
	}
	if s.cfg.Settings.Subscribe {
		limits.DiscoverySpread = pollschedule.SpreadTime(s.cfg.Settings.Balancers, s.cfg.Settings.DialTimeout, s.cfg.Settings.AskEvery)
	}
	limits.HasLedger, limits.HasOwners = s.cfg.Operator.Durable != nil, s.cfg.Operator.Owners != nil
	cfg.Limits = limits
	room, err := returning.New(cfg)
	if err != nil {
		return fmt.Errorf("scheduler: state: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recoveryDriver = room
	if st, trust := room.Found(); st != nil {
		s.restoreClock(st)
		s.restoreEstimates(st, trust)
		if trust.List && len(st.List.Providers) > 0 {
			s.adoptRoster((*wire.Roster)(&st.List.Roster))
		}
		// Bans apply at once, before other schedulers have been contacted.
		for _, b := range st.Bans {
			if p := s.cfg.Operator.Peers; trust.Membership && p != nil && p.Bans {
				s.list.SetRestrictions(b.Provider, true, false, 0)
			}
		}
	}
	s.publishAll() // no provider of the list is known to be warm
	return nil
}

// restoreEstimates restores the decision module's estimates, if class indices mean the same as before. Called under mu.
func (s *Scheduler) restoreEstimates(st *snapshot.State, trust recovery.Trust) {
	if trust.Speeds <= 0 || len(st.Estimates.Checkpoint) == 0 || string(st.Part(partClasses)) != s.classNames() {
		return
	}
	err := s.engine.RestoreFromPrevious(s.cfg.Settings, st.Estimates.Names, st.Estimates.Checkpoint, s.recoveryDriver.Downtime().Max, trust.Health)
	if err != nil {
		s.log.Warn("estimates of the previous process are not taken over", "err", err)
	}
}

// restoreClock continues the clock of the previous process, carried on by the time since boot: that process had more
// evidence for the fleet's clock than this one, and its estimates use that clock. After a reboot, or with the state of an
// earlier version, this process has a clock of its own. Called under mu.
func (s *Scheduler) restoreClock(st *snapshot.State) {
	away := s.recoveryDriver.Downtime()
	part := st.Part(partClock)
	if away.Power != recovery.PowerKept || !away.Known || len(part) == 0 {
		return
	}
	m, err := wire.Parse(part)
	c, isClock := m.(*wire.Clock)
	if err != nil || !isClock {
		s.log.Warn("the clock of the previous process is not taken over", "err", err)
		return
	}
	s.continueClock(&receivedClock{Clock: c, received: time.Now().Add(-away.Max)})
}

func (s *Scheduler) classNames() string {
	var names []string
	for _, c := range s.cfg.Settings.Classes {
		names = append(names, c.Name)
	}
	return strings.Join(names, "\n")
}

func (s *Scheduler) closeState() {
	if s.recoveryDriver == nil {
		return
	}
	if err := s.recoveryDriver.Close(); err != nil {
		s.log.Warn("the folder of the saved state could not be closed", "err", err)
	}
}

// clockPart returns this process's clock for the next one; empty: it cannot be encoded. Called under mu.
func (s *Scheduler) clockPart() []byte {
	part, err := wire.Append(nil, s.clockMessage())
	if err != nil {
		s.log.Warn("the clock of this process is not saved", "err", err)
	}
	return part
}

// currentState returns the state to be saved.
func (s *Scheduler) currentState() snapshot.State {
	names, checkpoint := s.engine.CheckpointEstimates()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := snapshot.State{Estimates: snapshot.Estimates{Names: names, Checkpoint: checkpoint},
		Parts: []snapshot.Part{{Name: partClasses, Data: []byte(s.classNames())}, {Name: partClock, Data: s.clockPart()}}}
	st.List.Roster = snapshot.Roster(s.roster())
	if s.current != nil {
		st.List.Age = time.Since(s.listReceivedAt)
	}
	if s.durable != nil {
		st.Parts = append(st.Parts, snapshot.Part{Name: returning.PartLedger, Data: []byte{1}})
	}
	previous, _ := s.recoveryDriver.Found()
	if p := s.peers; p != nil {
		st.Members = p.MembersToSave()
		st.Bans, st.LiftedBans = p.BansToSave()
	} else if previous != nil {
		st.Bans, st.LiftedBans = previous.Bans, previous.LiftedBans
	}
	if previous != nil { // schedulers that were known before may come back
		for _, m := range previous.Members {
			if !s.schedulerKnown(m.Name, st.Members) && !s.recoveryDriver.IsDeclaredOver(m.Name) {
				st.Members = append(st.Members, m)
			}
		}
	}
	return st
}

// schedulerKnown reports whether a scheduler that was known before has been met, or is in among. Called under mu.
func (s *Scheduler) schedulerKnown(name string, among []snapshot.Member) bool {
	if slices.ContainsFunc(among, func(m snapshot.Member) bool { return m.Name == name }) {
		return true
	}
	return s.peers != nil && s.peers.OwnerStatus(name).Known
}

// recoveryGate returns the Handler that holds new jobs until the recovery allows them.
func (s *Scheduler) recoveryGate(next job.Handler) job.Handler {
	g := &returning.Gate{Driver: s.recoveryDriver, Next: next}
	if d := s.durable; d != nil {
		g.Known = d.Carries
	}
	return g
}

// expectedSchedulers is the number of schedulers to assume until they are met.
func (s *Scheduler) expectedSchedulers() int {
	if s.recoveryDriver == nil {
		return s.cfg.Settings.Balancers
	}
	return s.recoveryDriver.ExpectedSchedulers()
}

// savedPeers returns what the package peers needs of the saved state.
func (s *Scheduler) savedPeers() *peers.StoredState {
	if s.recoveryDriver == nil {
		return nil
	}
	b := &peers.StoredState{Save: s.recoveryDriver.Save, NextStart: s.recoveryDriver.Renumber, StepsRemaining: s.recoveryDriver.StepsRemaining}
	if st, trust := s.recoveryDriver.Found(); st != nil && trust.Membership {
		b.Bans, b.LiftedBans = st.Bans, st.LiftedBans
		for _, m := range st.Members {
			b.Addresses = append(b.Addresses, m.Address)
		}
	}
	return b
}

// startRecovery runs the recovery beside the server, and returns a context that ends with ctx or when the recovery fails.
// The returned function ends the recovery and waits for it.
func (s *Scheduler) startRecovery(ctx, serving context.Context, server *frontend.Server) (context.Context, func() error) {
	if s.recoveryDriver == nil {
		return ctx, func() error { return nil }
	}
	server.Healthy, server.CallBack = s.recoveryDriver.Healthy, s.recoveryDriver.HoldCallbacks(server.CallBack)
	ctx, fail := context.WithCancelCause(ctx)
	running, stop := context.WithCancel(serving)
	driverDone, done := make(chan struct{}), make(chan error, 1)
	go func() {
		defer close(driverDone)
		s.recoveryDriver.Run(running)
	}()
	go func() {
		err := s.runRecovery(ctx, serving)
		if err != nil && ctx.Err() == nil {
			fail(err)
			done <- err
			return
		}
		done <- nil
	}()
	var err error
	waited := false
	return ctx, func() error {
		if waited {
			return err
		}
		waited = true
		fail(nil)
		stop()
		<-driverDone
		timer := time.NewTimer(recoveryEndTimeout)
		defer timer.Stop()
		select {
		case err = <-done:
		case <-timer.C: // a disk operation hangs; the process exits
		}
		return err
	}
}

// recoveryEndTimeout is how long a running recovery may take to notice that the process ends.
const recoveryEndTimeout = time.Second

// runRecovery performs the steps of the recovery.
func (s *Scheduler) runRecovery(ctx, serving context.Context) error {
	s.recoveryDriver.SetLedger(s.durable != nil && s.durable.HasRecords())
	if err := s.recoveryDriver.AwaitStep(ctx, recovery.Find); err != nil {
		return err
	}
	number, err := s.recoveryDriver.Begin(ctx, s.currentState)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.startNumber = number
	s.mu.Unlock()
	if err := s.startPeers(ctx, serving, nil); err != nil {
		return err
	}
	if err := s.recoveryDriver.AwaitStep(ctx, recovery.Settle); err != nil {
		return err
	}
	if d := s.durable; d != nil {
		if err := d.Recover(s.recoveryDriver.LedgerStale()); err != nil {
			return err
		}
		if s.owners != nil {
			s.pool.HandleUnclaimed = s.withOwnersUnclaimed(s.pool.HandleUnclaimed) // safe, as no call-backs are let through yet
		}
	}
	s.recoveryDriver.SetJobsKnown()
	if s.durable == nil {
		s.recoveryDriver.SetUnheardAttempts(0)
		return nil
	}
	if err := s.recoveryDriver.AwaitStep(ctx, recovery.Carry); err != nil {
		return err
	}
	s.durable.AcceptCallBacks(s.recoveryDriver.SetUnheardAttempts)
	s.durable.ContinueJobs(s.recoveryDriver)
	return nil
}

// reportFleet reports the other schedulers to the recovery. Called under mu, or before there are any.
func (s *Scheduler) reportFleet() {
	if s.recoveryDriver == nil || s.peers == nil {
		return
	}
	all, noneFound, seen := s.peers.Evidence()
	f := recovery.Fleet{NoneFound: noneFound, LatestSeen: seen}
	for _, e := range all {
		f.Peers = append(f.Peers, recovery.Peer{Name: e.Name, Start: e.Start, Step: returning.StepFromRemaining(e.StepsRemaining), Reachable: e.Reachable, Ended: e.Ended,
			Answered: e.SentState, OtherVersion: e.OtherVersion})
	}
	s.recoveryDriver.SetFleet(f)
	s.reportServingProviders()
	// Each scheduler that is present must be looked for after a power loss that comes before the next scheduled save.
	names := s.peers.MembersToSave()
	if len(names) != s.savedMembers {
		s.savedMembers = len(names)
		go s.recoveryDriver.Save()
	}
}

// reportListReceived reports to the recovery that discovery has sent its list. Called under mu, before the list is
// published.
func (s *Scheduler) reportListReceived() {
	if s.recoveryDriver != nil && s.current != nil {
		s.listReceivedAt = time.Now()
		s.recoveryDriver.ListReceived(s.index)
	}
}

// reportServingProviders reports to the recovery which providers serve, and this scheduler's share of their capacity. Called
// under mu, except by New.
func (s *Scheduler) reportServingProviders() {
	if s.recoveryDriver == nil {
		return
	}
	var serving []returning.ServingProvider
	for _, p := range s.list.All() {
		if e := s.effectiveEntry(p); !p.Unlisted && e.Status == directory.Serving {
			serving = append(serving, returning.ServingProvider{Name: p.Name, Since: p.Entry.LastStart(), Back: p.BanLiftedAt, Weight: p.Entry.Weight})
		}
	}
	each := 1 / float64(s.recoveryDriver.ExpectedSchedulers())
	part := recovery.CapacityShare{Work: each, Cold: each}
	if s.peers != nil && s.cfg.Operator.Peers.Shares != peers.Off { // the shares that the engine uses
		c := s.peers.Conclusion()
		part.Work = 1 / float64(c.Sharers)
		if part.Cold = part.Work; s.cfg.Operator.Peers.Shares == peers.ByMayRun {
			part.Cold = c.Share
		}
	}
	s.recoveryDriver.SetProviders(serving, part)
}

// coldSince is the time since which a provider counts as cold, whatever its start time; 0: its start time decides.
func (s *Scheduler) coldSince(p *maintenance.Provider[directory.Entry]) time.Duration {
	if s.recoveryDriver == nil {
		return 0
	}
	return s.recoveryDriver.ColdSince(p.Name, p.Entry.LastStart())
}

// recoveryStepStarted reports a new step to the other schedulers and the metrics.
func (s *Scheduler) recoveryStepStarted(step recovery.Step, took time.Duration) {
	if s.metrics != nil {
		s.metrics.SetRecoveryStep(int(step), took)
	}
	s.mu.Lock()
	p := s.peers
	s.mu.Unlock()
	if p != nil {
		p.PublishNote()
	}
}

// saveState writes an operator's ban or forget to disk before it is confirmed.
func (s *Scheduler) saveState() error {
	if s.recoveryDriver == nil {
		return nil
	}
	return s.recoveryDriver.Save()
}

// proceed handles the operators' call to continue without what a step waits for.
func (s *Scheduler) proceed(step string) (string, error) {
	text, err := s.recoveryDriver.Proceed(step)
	if err != nil {
		return "", fmt.Errorf("%w: %w", admin.ErrConflict, err)
	}
	return text, nil
}
