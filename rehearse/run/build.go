package run

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"laddertide/core/history"
	"laddertide/core/world"
	"laddertide/rehearse/book"
	"laddertide/rehearse/clients"
	"laddertide/rehearse/discovery"
	"laddertide/rehearse/fleet"
	"laddertide/rehearse/links"
	"laddertide/rehearse/loop"
	"laddertide/rehearse/record"
	"laddertide/rehearse/scenario"
)

// LogFile is the name of a scheduler's log file, in the subfolder of Options.Dir named after the scheduler.
const LogFile = "scheduler.log"

// build creates all components of the run, but starts only the workers and discovery.
func (r *run) build() error {
	r.net = loop.NewNet()
	r.terms, r.openRequests = make(chan int, 64), clients.NewOpenRequests()
	var at []fleet.Scheduler
	for i, s := range r.plan.Schedulers {
		listen, err := freeAddress(r.net)
		if err != nil {
			return err
		}
		p := &schedulerHost{r: r, index: i, name: s.Name, listen: listen, dir: filepath.Join(r.opt.Dir, s.Name)}
		if r.plan.Peers != nil {
			if err := r.addPeerRelay(p); err != nil {
				return err
			}
		}
		if err := PrepareFolder(r.plan, p.dir); err != nil {
			return err
		}
		if p.log, err = os.Create(filepath.Join(p.dir, LogFile)); err != nil {
			return err
		}
		r.hosts = append(r.hosts, p)
		at = append(at, fleet.Scheduler{Name: s.Name, Zone: r.plan.Zones[s.Zone], CallBack: listen})
	}
	if err := r.addOtherRelays(); err != nil {
		return err
	}
	if err := r.writeOperatorsFiles(); err != nil {
		return err
	}
	if err := r.setDelays(); err != nil {
		return err
	}
	if r.plan.Relays {
		r.routeLinks = links.New(r.plan.Seed, r.net)
	}
	var ways *Relays
	if r.routeLinks != nil {
		ways = &Relays{Links: r.routeLinks, Needed: r.plan.HasLinkFault}
	}
	w, err := NewWorld(r.plan, at, r.net, r.rec, r.book, nil, ways)
	if err != nil {
		return err
	}
	r.world, r.fleet, r.discovery = w, w.Fleet, w.Discovery
	for i, p := range r.hosts {
		if p.discovery, err = w.DiscoveryAddress(i); err != nil {
			return err
		}
	}
	return nil
}

// PrepareFolder creates a scheduler's working folder, with the plan's operators' file and the folders that the plan names.
func PrepareFolder(plan *scenario.Plan, dir string) error {
	for _, f := range append([]string{"."}, plan.Folders...) {
		if err := os.MkdirAll(filepath.Join(dir, f), 0o755); err != nil {
			return err
		}
	}
	if plan.State != nil {
		if err := os.MkdirAll(filepath.Join(dir, scenario.StateFolder), 0o755); err != nil {
			return err
		}
	}
	if plan.Operators == "" && plan.State == nil {
		return nil
	}
	text, err := operatorsText(plan, nil, nil)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, scenario.OperatorsFile), text, 0o600)
}

// World holds the plan's emulated workers and discovery, which listen on sockets.
type World struct {
	Fleet     *fleet.Fleet
	Discovery *discovery.Discovery

	relays     *Relays  // nil: schedulers connect to workers and discovery directly
	schedulers []string // names
}

// Relays configures the relays between schedulers and workers, and between schedulers and discovery. Each relay needs a
// listener, so Needed should leave out those on which no fault is injected.
type Relays struct {
	Links  *links.Links
	Needed func(scheduler, worker int) bool // worker -1: discovery; nil: all are
}

// relayed reports whether there is a relay between a scheduler and a worker or, with worker -1, its discovery.
func (w *Relays) relayed(scheduler, worker int) bool {
	return w != nil && (w.Needed == nil || w.Needed(scheduler, worker))
}

// EstimateJob has the type of the field of that name in fleet.Config.
type EstimateJob = func(class, key string, hint time.Duration) (book.Job, bool)

// NewWorld starts the workers and discovery of a plan for schedulers that receive call-backs at the given addresses. If
// ways is not nil, connections between schedulers and workers go through relays, one for each direction, as do those from
// schedulers to their discovery. The caller still owns ways.Links and closes it.
func NewWorld(plan *scenario.Plan, at []fleet.Scheduler, net *loop.Net, rec *record.Recorder, asked *book.Book,
	guess EstimateJob, ways *Relays) (*World, error) {
	w := &World{relays: ways}
	var entries []history.Entry
	infos, index := make(map[string]discovery.Info), make(map[string]int)
	for i, spec := range plan.Workers {
		index[spec.Name] = i
		entries = append(entries, history.Entry{Worker: spec.Name, Status: history.Serving, Life: 1})
		infos[spec.Name] = discovery.Info{Zone: spec.Zone, Type: spec.Kind, Group: i / 8, Weight: float64(spec.Cores)}
	}
	at = slices.Clone(at)
	for i, s := range at {
		w.schedulers = append(w.schedulers, s.Name)
		if ways != nil {
			at[i].CallBackVia = func(worker string) (string, error) {
				if !ways.relayed(i, index[worker]) {
					return s.CallBack, nil
				}
				return ways.Links.Lead(worker, s.Name, s.CallBack)
			}
		}
	}
	costs := make([]time.Duration, len(plan.Classes))
	classes := make([]history.Class, len(plan.Classes))
	for i, c := range plan.Classes {
		costs[i], classes[i] = c.Work, c.Class
	}
	var err error
	w.Fleet, err = fleet.New(fleet.Config{
		Workers: plan.Workers, Schedulers: at, Net: net, Record: rec, Book: asked, EstimateJob: guess,
		Classes: classes, ColdCosts: costs,
		Delay:     plan.Delay,
		ProbeCost: plan.ProbeCost, Probes: true, AgentDelay: plan.AgentDelay, Seed: plan.Seed,
		OnChange: func(c fleet.Change) {
			w.Discovery.Change(history.Entry{Worker: c.Name, Status: c.Status, Life: c.Life}, c.Silent)
		},
	})
	if err != nil {
		return nil, err
	}
	address := func(s int, worker string) string { return w.Fleet.Address(s, w.Fleet.Index(worker)) }
	if ways != nil {
		if address, err = w.addRelays(plan); err != nil {
			w.Fleet.Close()
			return nil, err
		}
	}
	w.Discovery, err = discovery.New(discovery.Config{
		Roster: world.NewRoster(plan.Roster, plan.Seed, entries), Schedulers: w.schedulers, Net: net, Record: rec,
		Address: address,
		Info:    func(worker string) discovery.Info { return infos[worker] },
		Since:   w.Fleet.ProcessStartMS,
	})
	if err != nil {
		w.Fleet.Close()
		return nil, err
	}
	if err := w.Fleet.Start(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// addRelays creates a relay from each scheduler to each worker that needs one, and returns a function that gives the address
// at which a scheduler reaches a worker.
func (w *World) addRelays(plan *scenario.Plan) (func(s int, worker string) string, error) {
	addresses := make([]map[string]string, len(w.schedulers))
	for s, name := range w.schedulers {
		addresses[s] = make(map[string]string)
		for i, spec := range plan.Workers {
			addresses[s][spec.Name] = w.Fleet.Address(s, i)
			if !w.relays.relayed(s, i) {
				continue
			}
			var err error
			if addresses[s][spec.Name], err = w.relays.Links.Lead(name, spec.Name, addresses[s][spec.Name]); err != nil {
				return nil, err
			}
		}
	}
	return func(s int, worker string) string { return addresses[s][worker] }, nil
}

// DiscoveryAddress returns the address at which a scheduler currently reaches its discovery.
func (w *World) DiscoveryAddress(scheduler int) (string, error) {
	address := w.Discovery.Address(scheduler)
	if !w.relays.relayed(scheduler, -1) {
		return address, nil
	}
	return w.relays.Links.Lead(w.schedulers[scheduler], history.Discovery, address)
}

// Close closes the workers and discovery with all their sockets.
func (w *World) Close() {
	w.Fleet.Close()
	w.Discovery.Close()
}

// freeAddress finds a free port on an address that nothing else in this run uses, for a scheduler to bind.
func freeAddress(net *loop.Net) (string, error) {
	ln, err := loop.Listen(net.Next())
	if err != nil {
		return "", fmt.Errorf("no address for a scheduler: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
