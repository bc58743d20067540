package scheduler

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"laddertide/core/maintenance"
	"laddertide/core/runonce"
	"laddertide/directory"
	"laddertide/frontend"
	"laddertide/handover"
	"laddertide/internal/netfault"
	"laddertide/job"
	"laddertide/policy"
	wire "laddertide/wire/handover"
)

// roster returns the list of providers for the next process. Called under mu.
func (s *Scheduler) roster() wire.Roster {
	r := wire.Roster{Index: s.index}
	for _, p := range s.list.All() {
		e := &p.Entry
		r.Providers = append(r.Providers, wire.Provider{Name: p.Name, Address: e.Address, Zone: e.Zone, Type: e.Type,
			Status: string(e.Status), Group: e.Group, Weight: e.Weight, SinceMS: e.SinceMS, Unlisted: p.Unlisted, Banned: p.Banned, BanLiftedAt: p.BanLiftedAt})
	}
	return r
}

// adoptRoster replaces this process's list with that of the previous process. Called under mu.
func (s *Scheduler) adoptRoster(r *wire.Roster) {
	all := make([]maintenance.Provider[directory.Entry], len(r.Providers))
	for i, p := range r.Providers {
		all[i] = maintenance.Provider[directory.Entry]{Name: p.Name, Unlisted: p.Unlisted, Banned: p.Banned, BanLiftedAt: p.BanLiftedAt,
			Entry: directory.Entry{Name: p.Name, Address: p.Address, Zone: p.Zone, Type: p.Type, Group: p.Group,
				Status: directory.Status(p.Status), Weight: p.Weight, SinceMS: p.SinceMS}}
	}
	s.list.Replace(all)
	s.index = r.Index
	s.publishAll()
}

// adoptRosterStandingBy replaces this process's list with that of the previous process, unless this one has taken over since: the takeover
// had a newer list.
func (s *Scheduler) adoptRosterStandingBy(r *wire.Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standingBy {
		s.adoptRoster(r)
	}
}

// takeOver makes this process the serving one, unless it has been stopped.
func (s *Scheduler) takeOver(m *wire.Takeover) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.standingBy {
		return false
	}
	// Class indices must mean the same here as in the previous process.
	of := s.cfg.Settings
	of.Classes, of.Tenants = nil, nil
	for _, c := range m.Classes {
		of.Classes = append(of.Classes, policy.Class{Name: c.Name, Aim: c.Aim, Deadline: c.Deadline, Window: c.Window,
			Stretch: c.Stretch, Worth: c.Worth, Effect: policy.Effect(c.Effect), Group: policy.Group(c.Group), Kind: c.Kind,
			Retired: c.Retired})
	}
	for _, t := range m.Tenants {
		of.Tenants = append(of.Tenants, policy.Tenant{Name: t.Name, Quota: t.Quota})
	}
	s.continueClock(s.previousClock)
	next := s.cfg
	var err error
	if next.Settings, err = s.cfg.Settings.AlignedWith(&of); err == nil {
		err = s.engine.RestoreWithoutRequests(of, m.Names, m.Checkpoint)
		if err := s.updateSettings(next); err != nil {
			s.log.Error("settings of the previous process are incompatible with this one's", "err", err)
		}
	}
	if err != nil {
		s.log.Warn("estimates of the previous process are not taken over", "err", err)
	}
	s.adoptRoster(&m.Roster)
	s.standingBy = false
	s.log.Info("taking over", "connections", m.Conns, "calls", m.OpenAttempts, "providers", len(m.Roster.Providers))
	return true
}

// handOver hands over to the standby process, if there is one: that process serves from then on.
func (s *Scheduler) handOver(held int) frontend.Successor {
	s.mu.Lock()
	s.stopping = true
	next := s.successor
	if next == nil {
		by := s.stopDeadline
		s.mu.Unlock()
		if s.owners != nil { // the standby process may have exited a moment ago
			s.owners.Stop(by)
		}
		return nil
	}
	s.handingOver = make(chan struct{}) // operators' calls wait: the roster is being sent
	if s.configuration.follower != nil {
		s.mu.Unlock()
		s.closeFollower() // the version in force stays until the next process has read it
		s.mu.Lock()
	}
	s.setRuntimeLimits(standbyMemory)
	s.pool.StartHandover() // nothing is sent from this process any more
	names, estimates := s.engine.CheckpointEstimates()
	m := &wire.Takeover{Roster: s.roster(), Names: names, Checkpoint: estimates, Conns: held, OpenAttempts: s.pool.OpenConnections()}
	for _, c := range s.cfg.Settings.Classes {
		m.Classes = append(m.Classes, wire.Class{Name: c.Name, Aim: c.Aim, Deadline: c.Deadline, Window: c.Window,
			Stretch: c.Stretch, Worth: c.Worth, Effect: byte(c.Effect), Group: byte(c.Group), Kind: c.Kind, Retired: c.Retired})
	}
	for _, t := range s.cfg.Settings.Tenants {
		m.Tenants = append(m.Tenants, wire.Tenant{Name: t.Name, Quota: t.Quota})
	}
	peersState, clock := s.releasePeers(), s.clockMessage()
	s.log.Info("the next process continues this one's clock", "system_clock_stepped_by", s.clockOffset().Round(time.Millisecond),
		"ahead_of_fleet_at_most", clock.Ahead.Round(time.Millisecond))
	s.mu.Unlock()
	next.Send(clock, nil)
	s.sendRunOnce(next) // after the last attempt of this process
	if peersState != nil {
		next.Send(peersState, nil) // without it the next process finds the others by itself
	}
	reply, err := next.Ask(m, nil, takeoverTimeout)
	if err == nil && reply.Code != wire.Yes {
		err = errors.New(reply.Reason)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.handingOver)
	s.handingOver = nil
	if err != nil {
		s.log.Error("the standby process does not take over", "err", err)
		go s.resumeFollowing()
		s.successor = nil
		next.Close()
		s.pool.CancelHandover()
		s.setRuntimeLimits(fullMemory)
		if s.owners != nil {
			go s.owners.Stop(s.stopDeadline)
		}
		return nil
	}
	s.handedOver = true
	s.log.Info("handing over", "connections", held, "calls", m.OpenAttempts)
	return &successor{s, next}
}

// maxOncePart is how many jobs one message for the next process has.
const maxOncePart = 4096

// sendRunOnce tells the next process of the jobs that must not run twice and of which something was sent.
func (s *Scheduler) sendRunOnce(next *handover.Peer) {
	for part := range slices.Chunk(s.once.Entries(), maxOncePart) {
		m := &wire.RunOnce{}
		for _, e := range part {
			m.Jobs = append(m.Jobs, wire.OnceJob{Key: e.Key, Age: e.Age})
		}
		next.Send(m, nil)
	}
}

// restoreRunOnce takes over what sendRunOnce has sent.
func (s *Scheduler) restoreRunOnce(m *wire.RunOnce) {
	entries := make([]runonce.Entry, len(m.Jobs))
	for i, j := range m.Jobs {
		entries[i] = runonce.Entry{Key: j.Key, Age: j.Age}
	}
	s.once.Restore(entries)
}

// successor is the next process, for the frontend's server.
type successor struct {
	s    *Scheduler
	peer *handover.Peer
}

// HandOverConn implements frontend.Successor.
func (h *successor) HandOverConn(c *net.TCPConn, k frontend.ConnState) error {
	return h.resumeOnError(h.peer.Send(&wire.Conn{Messages: k.Messages, CarriesCallBacks: k.CarriesCallBacks, ReadAhead: k.ReadAhead}, c))
}

// HandOverJob implements frontend.Successor. It returns once the next process accepts call-backs for the attempt of the job.
func (h *successor) HandOverJob(c *net.TCPConn, k frontend.ConnState, last bool, j *job.Job, past []job.PastAttempt) error {
	defer h.s.pool.JobArrived(j.ID)
	m := &wire.Job{Conn: wire.Conn{Messages: k.Messages, CarriesCallBacks: k.CarriesCallBacks, ReadAhead: k.ReadAhead}, CloseAfter: last,
		ID: j.ID, TenantName: j.TenantName, Key: j.Key, Subject: j.Subject, Protocol: j.Protocol,
		Class: j.Class, Tenant: j.Tenant, Deadline: j.Deadline, TimeLeft: j.TimeLeft, WorkHint: j.Hint, Slots: j.Slots, Payload: j.Payload, Fields: j.Fields}
	for _, p := range past {
		m.PastAttempts = append(m.PastAttempts, wire.PastAttempt{Provider: p.Provider, Age: time.Since(p.Sent), Started: p.Started, MayHaveRun: p.MayHaveRun, InFlight: p.InFlight})
	}
	reply, err := h.peer.Ask(m, c, jobTimeout)
	switch {
	case errors.Is(err, handover.ErrUnsendable):
		return fmt.Errorf("%w: %w", frontend.ErrJobRefused, err)
	case errors.Is(err, handover.ErrNotSent):
		return h.resumeOnError(err)
	case err != nil:
		h.s.log.Warn("no confirmation of a job that was handed over", "id", j.ID, "err", err) // the job is not this process's any more
		return nil
	case reply.Code != wire.Yes:
		return fmt.Errorf("%w: %s", frontend.ErrJobRefused, reply.Reason)
	}
	return nil
}

// resumeOnError allows attempts by this process again if the next process cannot continue them.
func (h *successor) resumeOnError(err error) error {
	if err != nil {
		h.s.pool.CancelHandover()
	}
	return err
}

// jobFromMessage converts a job that the previous process has handed over.
func (s *Scheduler) jobFromMessage(m *wire.Job) (*job.Job, error) {
	s.mu.Lock()
	set := s.cfg.Settings
	s.mu.Unlock()
	if m.Class < 0 || m.Class >= len(set.Classes) || m.Tenant < 0 {
		return nil, fmt.Errorf("scheduler: there is no class %d or tenant %d", m.Class, m.Tenant)
	}
	return &job.Job{ID: m.ID, TenantName: m.TenantName, Key: m.Key, Subject: m.Subject, Protocol: m.Protocol, Class: m.Class,
		ClassName: set.Classes[m.Class].Name, Tenant: m.Tenant, Deadline: m.Deadline, TimeLeft: max(0, m.TimeLeft), Hint: m.WorkHint,
		Slots: m.Slots, Payload: m.Payload, Fields: m.Fields}, nil
}

// pastAttempts returns the attempts that the previous process has made for a job, whose client waits on conn.
func pastAttempts(m *wire.Job, conn net.Conn) []job.PastAttempt {
	out := make([]job.PastAttempt, len(m.PastAttempts))
	written := time.Now().Add(-transitTime(m, conn))
	for i, p := range m.PastAttempts {
		out[i] = job.PastAttempt{Provider: p.Provider, Sent: written.Add(-p.Age), Started: p.Started, MayHaveRun: p.MayHaveRun, InFlight: p.InFlight}
	}
	return out
}

// transitTime returns how long ago, at least, the previous process wrote a message with a job: the time that the job had left then, less the
// time that it has left now, counted from the arrival of its request at this machine.
func transitTime(m *wire.Job, conn net.Conn) time.Duration {
	left := m.Deadline - netfault.SinceArrival(conn)
	return max(0, m.TimeLeft-left)
}
