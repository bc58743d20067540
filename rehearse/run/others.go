package run

import (
	"fmt"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"laddertide/core/fleet"
	"laddertide/core/history"
	"laddertide/rehearse/daemon"
	"laddertide/rehearse/links"
	"laddertide/rehearse/scenario"
)

// Members of the schedulers' membership that take no jobs, and the view of a run that their caller gets.

// OtherMember is a member of the membership that the caller of Run starts itself.
type OtherMember struct {
	Name string
	Zone int // index into the plan's zones

	// Set by the run before Prepare.
	Listen    string // address for TCP and UDP traffic of the membership, also the source address
	Advertise string // address of the relay in front of Listen
}

// Process describes the current process of a scheduler.
type Process struct {
	Name  string
	PID   int
	Admin string // address of its operators' interface
	Usage daemon.Usage
}

// Handle gives the functions in Options access to the run. Its methods may be called from any goroutine until the run ends.
type Handle struct {
	Others        []OtherMember
	JoinAddresses []string  // addresses at which members join the membership
	Cluster       string    // name of the membership
	Start         time.Time // time of the first arrival; zero before it is known

	r *run
}

func (r *run) stage(start time.Duration) *Handle {
	s := &Handle{Others: slices.Clone(r.opt.Others), JoinAddresses: r.joinAddresses(), Cluster: cluster, r: r}
	if start > 0 {
		s.Start = r.rec.At(start)
	}
	return s
}

// Processes returns the current processes of the schedulers, in the plan's order.
func (s *Handle) Processes() []Process {
	var out []Process
	for _, p := range s.r.hosts {
		p.mu.Lock()
		if p.process != nil {
			out = append(out, Process{p.name, p.process.PID(), p.admin, p.process.Usage()})
		}
		p.mu.Unlock()
	}
	return out
}

// Names returns the names of all members, schedulers first.
func (s *Handle) Names() []string {
	var names []string
	for _, m := range s.r.members() {
		names = append(names, m.name)
	}
	return names
}

// Traffic returns the traffic that the relays have passed from a member to all others, and from all others to it. Both are
// zero if the schedulers have no membership.
func (s *Handle) Traffic(name string) (sent, received links.Counts) {
	if s.r.links == nil {
		return sent, received
	}
	return s.r.links.Total(name)
}

// maxPageTries limits the requests for a scheduler's page: the kit itself can be too busy to read a response in time.
const maxPageTries = 3

// FleetPage requests a scheduler's page on the other members, and decodes the response.
func (s *Handle) FleetPage(p Process, into any) error {
	for range maxPageTries {
		if fetchFleetPage(p.Admin, into) {
			return nil
		}
	}
	return fmt.Errorf("scheduler %s did not return its page on the other members", p.Name)
}

// DiscoveryBytesSent returns the number of bytes that a scheduler's discovery has written.
func (s *Handle) DiscoveryBytesSent(scheduler int) int64 { return s.r.discovery.Sent(scheduler) }

// Stop ends the run with an error.
func (s *Handle) Stop(err error) { s.r.stop(err) }

// addOtherRelays allocates an address for each of the caller's members, and creates the relay in front of it.
func (r *run) addOtherRelays() (err error) {
	if r.links == nil {
		return nil
	}
	for i := range r.opt.Others {
		o := &r.opt.Others[i]
		if o.Listen, err = freeTCPUDPAddress(r.net); err != nil {
			return err
		}
		if o.Advertise, err = r.links.Join(o.Name, o.Listen); err != nil {
			return err
		}
	}
	return nil
}

// joinAddresses returns the addresses at which members join the membership.
func (r *run) joinAddresses() []string {
	var join []string
	for _, p := range r.hosts {
		join = append(join, p.peerRelay)
	}
	return join
}

// zoneDelay returns the delay of a message between members in two zones.
func (r *run) zoneDelay(a, b int) time.Duration {
	if r.plan.ZoneDelay == nil {
		return 0
	}
	return r.plan.ZoneDelay(r.plan.Zones[a], r.plan.Zones[b])
}

// member is any member of the membership: a scheduler or one of the caller's.
type member struct {
	name string
	zone int
}

func (r *run) members() []member {
	var all []member
	for i, p := range r.hosts {
		all = append(all, member{p.name, r.plan.Schedulers[i].Zone})
	}
	for _, o := range r.opt.Others {
		all = append(all, member{o.Name, o.Zone})
	}
	return all
}

// removeOthers removes the caller's members from a view, as the rules apply to schedulers only.
func (r *run) removeOthers(v *history.View) {
	for _, o := range r.opt.Others {
		state := v.Members[o.Name]
		delete(v.Members, o.Name)
		switch state {
		case fleet.Present.String(), fleet.Suspected.String():
			v.Present--
			v.MayRun--
		case fleet.Unreachable.String():
			v.MayRun--
		}
	}
}

// setDelays sets the delays of messages between members.
func (r *run) setDelays() error {
	if r.links == nil || r.plan.ZoneDelay == nil {
		return nil
	}
	all := r.members()
	for i, a := range all {
		for j, b := range all {
			if i == j {
				continue
			}
			if err := r.links.Set(a.name, b.name, links.Fault{Delay: r.zoneDelay(a.zone, b.zone)}); err != nil {
				return err
			}
		}
	}
	return nil
}

// partitionOthers applies a partition to the caller's members as well: those in a zone of the partitioned schedulers are on the
// side of these schedulers.
func (r *run) partitionOthers(st scenario.Step) {
	if st.Act != scenario.CutPeers || len(r.opt.Others) == 0 {
		return
	}
	side := make(map[int]bool)
	for _, s := range st.Schedulers {
		side[r.plan.Schedulers[s].Zone] = true
	}
	real := len(r.hosts)
	all := r.members()
	for i, a := range all {
		for j, b := range all {
			if (i < real && j < real) || side[a.zone] == side[b.zone] {
				continue
			}
			r.must(r.links.Set(a.name, b.name, links.Fault{Cut: st.Value > 0, Delay: r.zoneDelay(a.zone, b.zone)}))
		}
	}
}

// Reconfigure rewrites every scheduler's configuration file from the current discovery list and settings, and signals
// serving processes to read it.
func (s *Handle) Reconfigure() {
	for _, p := range s.r.hosts {
		p.mu.Lock()
		known, _ := s.r.discovery.Known(p.index)
		err := p.configure(filepath.Join(p.dir, "config.json"), known)
		if err == nil && p.process != nil && p.ready {
			p.process.Signal(syscall.SIGHUP)
		}
		p.mu.Unlock()
		s.r.must(err)
	}
}
