package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"laddertide/admin"
	"laddertide/core/fleet"
	"laddertide/directory"
	"laddertide/owners"
	"laddertide/peers"
	"laddertide/policy"
	"laddertide/returning"
	"laddertide/wire/binarycodec"
	wire "laddertide/wire/handover"
)

// startPeers contacts the other schedulers, if the operators' file has any. The bans and drains that they know are in force
// when it returns. serving ends when this process has nothing left to do; before is the peers' state of the previous
// process, if this one continues as the same member.
func (s *Scheduler) startPeers(ctx, serving context.Context, before *wire.Peers) error {
	set := s.cfg.Operator.Peers
	if set == nil {
		return nil
	}
	start := s.startNumber
	var state []byte
	if before != nil {
		start, state = before.Start, before.State
	}
	var calls func([]byte)
	if s.owners != nil {
		calls = s.owners.HandleEncoded
	}
	var streams func(net.Conn)
	var disk uint64
	if s.groups != nil {
		streams, disk = s.groups.Serve, s.groups.Disk()
	}
	p, err := peers.Start(ctx, peers.Config{
		Name: s.cfg.Name, Settings: *set, Timing: peers.TimingOf(s.cfg.Settings.DialTimeout), ExpectedSchedulers: s.expectedSchedulers(),
		Start: start, State: state, Log: s.log, Apply: s.applyPeerReports, OwnListEntry: s.readOwnEntry, HandleFailureReport: s.engine.HandleFailureReport, CheckpointEstimates: s.encodeEstimates, RestoreFromPeer: s.adoptEstimates,
		HandleOwnership: calls, Stored: s.savedPeers(), HandleGroupConn: streams, Disk: disk,
	})
	if err != nil {
		return fmt.Errorf("scheduler: %w", err)
	}
	if set.Lessons {
		if err := s.engine.EnableFailureReports(p.ReportFailure); err != nil {
			p.Close()
			return err
		}
	}
	s.mu.Lock()
	s.peers = p
	s.mu.Unlock()
	if serving.Err() != nil { // it has ended meanwhile
		s.leavePeers()
		return nil
	}
	if s.owners != nil {
		if before != nil && len(before.Owners) > 0 {
			if err := s.owners.Resume(before.Owners, p.Self()); err != nil {
				s.log.Error("records of jobs' owners are not taken over from the previous process", "err", err)
			}
		}
		s.owners.Join(p, p.Self())
	}
	if s.groups != nil {
		s.groups.Join(p.Self().Start, p)
	}
	s.applyPeerReports()
	s.log.Info("taking part with other schedulers", "listen", set.Listen, "cluster", set.Cluster, "encrypted", set.Keys != nil)
	return nil
}

// resumePeers continues as the member that the previous process was. Jobs do not wait for it, because the bans came with the
// roster.
func (s *Scheduler) resumePeers(ctx, serving context.Context) {
	s.mu.Lock()
	before := s.previousPeers
	s.mu.Unlock()
	if err := s.startPeers(ctx, serving, before); err != nil {
		s.log.Error("no other schedulers after the upgrade: this one goes on by itself until it is restarted", "err", err)
	}
}

// leavePeers announces the end of this scheduler, unless another process takes over from it.
func (s *Scheduler) leavePeers() {
	s.mu.Lock()
	p := s.peers
	s.peers = nil
	s.mu.Unlock()
	if p != nil {
		if s.owners != nil {
			s.owners.AwaitNewRoster()
			s.owners.Disconnect()
		}
		p.Leave()
	}
}

// releasePeers ends this process's part among the other schedulers and returns the state for the standby process. Called
// under mu, which it releases meanwhile.
func (s *Scheduler) releasePeers() *wire.Peers {
	p := s.peers
	if s.peers = nil; p == nil {
		return nil
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	var owned []byte
	if s.owners != nil {
		owned = s.owners.State()
	}
	start, state := p.Release()
	if len(owned) > wire.MaxMessage/2 {
		s.log.Warn("records of jobs' owners are too large for the handover: the next process reads them from other schedulers", "bytes", len(owned))
		owned = nil
	}
	return &wire.Peers{Start: start, State: state, Owners: owned}
}

// ownEntry is the state of a provider in this scheduler's own list. Called under mu.
func (s *Scheduler) ownEntry(name string) fleet.OwnListEntry {
	p, _ := s.list.Get(name)
	return fleet.OwnListEntry{Index: s.index, Since: p.Entry.LastStart(), Serving: !p.Unlisted && p.Entry.Status == directory.Serving}
}

func (s *Scheduler) readOwnEntry(name string) fleet.OwnListEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownEntry(name)
}

// applyPeerReports puts in force what the other schedulers have reported.
func (s *Scheduler) applyPeerReports() {
	if s.owners != nil {
		s.owners.MembershipChanged()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		return
	}
	if s.owners != nil && s.recoveryDriver != nil {
		s.owners.SetProcess(s.peers.Self())
	}
	if entries := s.reviewRestrictions(); len(entries) > 0 {
		s.publishList(policy.ListDelta, directory.List{Index: s.index, Entries: entries})
		if successor := s.successor; successor != nil {
			go s.updateSuccessor(successor, s.roster())
		}
	}
	c := s.peers.Conclusion()
	s.reportFleet()
	if s.metrics != nil {
		s.metrics.SetFleet(c.Present, c.MayRun, s.peers.Bans(), c.Halved)
	}
	switch s.cfg.Operator.Peers.Shares {
	case peers.ByMayRun:
		s.engine.SetShare(c.Sharers, c.Share)
	case peers.ByPresent:
		s.engine.SetShare(c.Sharers, 1/float64(c.Sharers))
	}
}

// reviewRestrictions combines the bans and drains of operators and peers, and returns the providers whose effective state
// has changed. Called under mu.
func (s *Scheduler) reviewRestrictions() (changed []directory.Entry) {
	if s.peers == nil {
		return nil
	}
	set := s.cfg.Operator.Peers
	names := s.peers.RestrictedProviders()
	for _, p := range s.list.All() {
		if p.Banned || p.HeldBack {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	held := make(map[string]bool)
	for _, name := range names {
		if s.peers.HeldBack(name, s.ownEntry(name)) {
			held[name] = true
		}
	}
	// A peer whose discovery is faulty may report that all providers drain. The own list then prevails: to serve from an
	// outdated list for a while costs less than to serve nobody.
	if serving := s.countServing(); 2*len(held) > serving && len(held) > 1 {
		s.log.Warn("peers' words would hold back more than half of all providers: passed over", "held", len(held), "serving", serving)
		clear(held)
	}
	for _, name := range names {
		before, _ := s.list.Get(name)
		out := before.Banned
		if set.Bans {
			out = s.peers.Banned(name)
		}
		p, differs := s.list.SetRestrictions(name, out, held[name], s.engine.Now())
		if !differs {
			continue
		}
		s.log.Info("effective state of a provider changed", "provider", name, "out", p.Banned, "held", p.HeldBack, "listed", !p.Unlisted)
		if !p.Unlisted {
			changed = append(changed, s.effectiveEntry(p))
		}
	}
	return changed
}

// countServing counts the providers that serve by the own list. Called under mu.
func (s *Scheduler) countServing() (n int) {
	for _, p := range s.list.All() {
		if !p.Unlisted && p.Entry.Status == directory.Serving {
			n++
		}
	}
	return n
}

// reportStopped tells the other schedulers about a worker that has just stopped serving by the own list. Called under mu,
// with the own entries before and after an update from discovery.
func (s *Scheduler) reportStopped(name string, before, after fleet.OwnListEntry) {
	if s.peers != nil && before.Serving && !after.Serving {
		s.peers.AnnounceDrain(name, before.Since, after.Index)
	}
}

// setFleetBan bans a provider, or lifts its ban, in all schedulers, and returns which have it in force.
func (s *Scheduler) setFleetBan(verb, name string) (string, error) {
	s.mu.Lock()
	_, known := s.list.Get(name)
	p := s.peers
	s.mu.Unlock()
	if !known {
		return "", admin.ErrUnknownWorker
	}
	var coverage peers.AnnounceResult
	var err error
	if verb == "enable" {
		coverage, err = p.Enable(name)
	} else {
		coverage, err = p.Ban(name)
	}
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	successor, roster := s.successor, s.roster()
	s.mu.Unlock()
	if successor != nil {
		s.updateSuccessor(successor, roster)
	}
	return describeSpread(coverage), nil
}

// describeSpread lists the schedulers that have an operator's change in force, and those that do not.
func describeSpread(h peers.AnnounceResult) string {
	text := "in force: " + strings.Join(h.InForce, " ")
	if len(h.Missing) > 0 {
		text += "\nnot heard: " + strings.Join(h.Missing, " ")
	}
	return text
}

// FleetPage describes the other schedulers to operators.
type FleetPage struct {
	peers.Report
	Owners    *owners.Report    `json:"owners,omitempty"`
	Return    *returning.Report `json:"return,omitempty"`
	Discovery DiscoveryReport   `json:"discovery"`

	Configuration *ConfigurationReport `json:"configuration,omitempty"`
}

// DiscoveryReport counts the lists and bytes received from discovery since the current watches started.
type DiscoveryReport struct {
	Lists   uint64 `json:"lists"`
	BytesIn uint64 `json:"bytes_in"`
}

// discoveryReport sums over the current watch and the one that will replace it. Called under mu.
func (s *Scheduler) discoveryReport() (r DiscoveryReport) {
	for _, w := range []*discoveryWatch{s.current, s.next} {
		if w != nil {
			lists, bytes := w.watcher.Received()
			r.Lists, r.BytesIn = r.Lists+lists, r.BytesIn+bytes
		}
	}
	return r
}

// errStarting means that the other schedulers are not known yet.
var errStarting = errors.New("starting")

// fleetPage returns the page on the other schedulers for operators.
func (s *Scheduler) fleetPage() ([]byte, error) {
	s.mu.Lock()
	p := s.peers
	page := FleetPage{Discovery: s.discoveryReport()}
	s.mu.Unlock()
	page.Configuration = s.configurationReport()
	if s.recoveryDriver != nil {
		page.Return = s.recoveryDriver.Report()
	}
	switch {
	case p != nil:
		page.Report = p.Report()
	case page.Return == nil && page.Configuration == nil:
		return nil, errStarting
	default:
		page.Me = s.cfg.Name
	}
	if s.owners != nil {
		page.Owners = s.owners.Report()
	}
	return json.Marshal(page)
}

// forget handles the operators' statement that a scheduler has ended.
func (s *Scheduler) forget(name string) (string, error) {
	s.mu.Lock()
	p := s.peers
	s.mu.Unlock()
	if p == nil {
		return "", errStarting
	}
	coverage, err := p.Forget(name)
	if errors.Is(err, peers.ErrUnknownPeer) && s.recoveryDriver != nil && s.recoveryDriver.DeclareOver(name) { // known from the saved state, and not met yet
		s.reportFleet()
		return "of before the return", s.saveState()
	}
	switch {
	case errors.Is(err, peers.ErrUnknownPeer):
		return "", admin.ErrUnknownScheduler
	case errors.Is(err, peers.ErrReachable):
		return "", fmt.Errorf("%w: %w", admin.ErrConflict, err)
	}
	return describeSpread(coverage), err
}

// maxSkew is the largest difference to another machine's clock with which the times in its estimates are usable here.
const maxSkew = 500 * time.Millisecond

// encodeEstimates encodes this scheduler's estimates of providers for another scheduler.
func (s *Scheduler) encodeEstimates() []byte {
	names, state := s.engine.CheckpointEstimates()
	w := binarycodec.Codec{}
	binarycodec.List(&w, &names, func(n *string) { w.Text(n) })
	w.Data(&state)
	return w.Bytes
}

// adoptEstimates starts from the estimates of another scheduler.
func (s *Scheduler) adoptEstimates(from string, b []byte, skew time.Duration) {
	if skew.Abs() > maxSkew {
		s.log.Warn("a peer's estimates are not taken over: its clock differs too much", "peer", from, "ahead", skew)
		return
	}
	w := binarycodec.Codec{Bytes: b, Reading: true}
	var names []string
	var state []byte
	binarycodec.List(&w, &names, func(n *string) { w.Text(n) })
	w.Data(&state)
	err := w.Err
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		err = s.engine.RestoreFromPeer(s.cfg.Settings, names, state)
	}
	if err != nil {
		s.log.Warn("a peer's estimates are not taken over", "peer", from, "err", err)
		return
	}
	s.publishAll()
	s.log.Info("a peer's estimates taken over", "peer", from, "providers", len(names))
}
