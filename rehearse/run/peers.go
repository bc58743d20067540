package run

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"sigs.k8s.io/yaml"

	"laddertide/core/history"
	"laddertide/rehearse/daemon"
	"laddertide/rehearse/links"
	"laddertide/rehearse/loop"
	"laddertide/rehearse/scenario"
)

// Schedulers with a membership: the links between them, and their views of each other.

const (
	viewInterval = 250 * time.Millisecond
	maxViewBytes = 1 << 20
	cluster      = "rehearsal"
)

// addPeerRelay allocates a scheduler's address for its peers, and creates the relay in front of it.
func (r *run) addPeerRelay(p *schedulerHost) (err error) {
	if r.links == nil {
		r.links = links.New(r.plan.Seed, r.net)
	}
	if p.peerAddress, err = freeTCPUDPAddress(r.net); err != nil {
		return err
	}
	p.peerRelay, err = r.links.Join(p.name, p.peerAddress)
	return err
}

// freeTCPUDPAddress finds a port that is free for both TCP and UDP.
func freeTCPUDPAddress(n *loop.Net) (string, error) {
	for range 20 {
		address, err := freeAddress(n)
		if err != nil {
			return "", err
		}
		at, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return "", err
		}
		if udp, err := net.ListenUDP("udp", at); err == nil {
			udp.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no address for a scheduler's peers")
}

// writeOperatorsFiles writes the sections peers and owners into every scheduler's operators' file. The setting first_s of owners, for
// an installation that starts for the first time, is left out once clients have started, so that processes started later
// do not get it.
func (r *run) writeOperatorsFiles() error {
	if r.links == nil {
		return nil
	}
	join := r.joinAddresses()
	for _, p := range r.hosts {
		if err := p.writeOperatorsFile(join); err != nil {
			return err
		}
	}
	return nil
}

func (p *schedulerHost) writeOperatorsFile(join []string) error {
	section := maps.Clone(p.r.plan.Peers)
	section["listen"], section["advertise"], section["join"], section["cluster"] = p.peerAddress, p.peerRelay, join, cluster
	owners := maps.Clone(p.r.plan.Owners)
	if p.r.clientsStarted {
		delete(owners, "first_s")
	}
	all, err := operatorsText(p.r.plan, section, owners)
	if err != nil {
		return err
	}
	return replace(filepath.Join(p.dir, scenario.OperatorsFile), all)
}

// operatorsText returns the text of a scheduler's operators' file: the scenario's own text and the sections that the kit adds.
// peers and owners may be nil.
func operatorsText(plan *scenario.Plan, peers, owners map[string]any) ([]byte, error) {
	add := make(map[string]any)
	if peers != nil {
		add["peers"] = peers
	}
	if owners != nil {
		add["owners"] = owners
	}
	if plan.State != nil {
		state := maps.Clone(plan.State)
		state["dir"] = scenario.StateFolder
		add["state"] = state
	}
	if len(add) == 0 {
		return []byte(plan.Operators), nil
	}
	text, err := yaml.Marshal(add)
	return append([]byte(plan.Operators+"\n"), text...), err
}

// writeOutdatedPeers gives a scheduler with peers an outdated list of addresses to join at: of three, only that of the next scheduler
// is in use.
func (p *schedulerHost) writeOutdatedPeers() error {
	if p.r.links == nil {
		return nil
	}
	var join []string
	for range 2 {
		dead, err := freeTCPUDPAddress(p.r.net)
		if err != nil {
			return err
		}
		join = append(join, dead)
	}
	return p.writeOperatorsFile(append(join, p.r.hosts[(p.index+1)%len(p.r.hosts)].peerRelay))
}

// setLinks injects a fault into the links between schedulers, or removes it.
func (r *run) setLinks(st scenario.Step) {
	set := func(from, to int, f links.Fault, what string) {
		a, b := r.hosts[from].name, r.hosts[to].name
		on := f != links.Fault{}
		f.Delay += r.zoneDelay(r.plan.Schedulers[from].Zone, r.plan.Schedulers[to].Zone)
		if on { // the start of a fault is recorded before it takes effect, its end after
			r.rec.Add(history.Event{Kind: history.KindLink, Scheduler: a, Peer: b, On: true, Note: what})
		}
		r.must(r.links.Set(a, b, f))
		if !on {
			r.rec.Add(history.Event{Kind: history.KindLink, Scheduler: a, Peer: b, Note: what})
		}
	}
	for i := range r.hosts {
		for j := range r.hosts {
			one, other := slices.Contains(st.Schedulers, i), slices.Contains(st.Schedulers, j)
			switch {
			case i == j:
			case st.Act == scenario.LosePackets:
				f := links.Fault{}
				if st.Value > 0 {
					f = links.Fault{Loss: st.Value, Repeat: st.Value / 4, Reorder: st.Value / 4, Jitter: st.Down}
				}
				set(i, j, f, "lossy")
			case st.Act == scenario.CutPeers && one != other, st.Act == scenario.CutPeersOneWay && one && !other:
				set(i, j, links.Fault{Cut: st.Value > 0}, "cut")
			}
		}
	}
	r.partitionOthers(st)
}

// setRoutes injects the step's fault into the relays between some schedulers and workers, or discovery, or removes it.
func (r *run) setRoutes(st scenario.Step) {
	f := links.Fault{}
	if st.Value > 0 {
		f = links.Fault{Cut: st.Bytes == 0 && st.Down == 0, Delay: st.Down, Reset: st.Bytes}
	}
	for _, s := range st.Schedulers {
		name := r.hosts[s].name
		if len(st.Workers) == 0 {
			r.setRoute(st, f, history.Event{Scheduler: name, Peer: history.Discovery}, history.Discovery)
		}
		for _, w := range st.Workers {
			worker := r.plan.Workers[w].Name
			r.setRoute(st, f, history.Event{Scheduler: name, Worker: worker}, worker)
		}
	}
}

func (r *run) setRoute(st scenario.Step, f links.Fault, ev history.Event, other string) {
	ev.Kind, ev.On, ev.Note = history.KindLink, st.Value > 0, st.Note
	if ev.On {
		r.rec.Add(ev)
	}
	if st.FailsFrom {
		r.must(r.routeLinks.Set(ev.Scheduler, other, f))
	}
	if st.FailsTo {
		r.must(r.routeLinks.Set(other, ev.Scheduler, f))
	}
	if ev.On {
		return
	}
	if st.Down == 0 {
		r.rec.Add(ev)
		return
	}
	r.goroutines.Go(func() { // delayed traffic still arrives for a while
		sleep(r.ctx, st.Down)
		r.rec.Add(ev)
	})
}

// pause pauses the current process, or resumes it.
func (p *schedulerHost) pause(on bool) {
	sig := syscall.SIGCONT
	if on {
		sig = syscall.SIGSTOP
	}
	p.controlWithEvent(history.Event{Kind: history.KindPause, On: on}, true, func(proc *daemon.Process) { proc.Signal(sig) })
}

// recordViews periodically records a scheduler's view of the other members, until ctx ends.
func (p *schedulerHost) recordViews(ctx context.Context) {
	for sleep(ctx, viewInterval) {
		p.mu.Lock()
		admin, ready, life := p.admin, p.ready, p.life
		p.mu.Unlock()
		if !ready {
			continue
		}
		from := p.r.rec.Since()
		view, ok := fetchView(admin)
		p.mu.Lock()
		same := p.life == life
		p.mu.Unlock()
		if ok && same {
			p.r.removeOthers(view)
			p.r.rec.Add(history.Event{Kind: history.KindView, Scheduler: p.name, Life: life, From: from.Microseconds(), View: view})
		}
	}
}

// fetchFleetPage requests a scheduler's page on the other members and decodes it, and reports whether that succeeded.
func fetchFleetPage(address string, into any) bool {
	c, err := net.DialTimeout("tcp", address, operatorTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(operatorTimeout))
	if _, err := fmt.Fprintf(c, "GET /-/fleet HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", address); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4096), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	defer resp.Body.Close()
	return json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxViewBytes)).Decode(into) == nil
}

// fetchView requests a scheduler's view of the other members and returns it in the form of the history.
func fetchView(address string) (*history.View, bool) {
	var page struct {
		Start   uint64  `json:"start"`
		Self    string  `json:"self"`
		Present int     `json:"present"`
		MayRun  int     `json:"may_run"`
		Share   float64 `json:"share"`
		Members []struct {
			Name  string `json:"name"`
			State string `json:"state"`
			Start uint64 `json:"start"`
		} `json:"members"`
		Bans []struct {
			Provider string `json:"provider"`
		} `json:"bans"`
	}
	if !fetchFleetPage(address, &page) {
		return nil, false
	}
	v := &history.View{Start: page.Start, Self: page.Self, Present: page.Present, MayRun: page.MayRun, Share: page.Share, Members: make(map[string]string)}
	for _, m := range page.Members {
		v.Members[m.Name] = m.State
	}
	for _, b := range page.Bans {
		if !slices.Contains(v.Out, b.Provider) {
			v.Out = append(v.Out, b.Provider)
		}
	}
	return v, true
}
