package scenario

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laddertide/core/history"
	"laddertide/core/traffic"
	"laddertide/core/world"
)

// Overrides holds the overrides of a scenario from the command line; zero values change nothing.
type Overrides struct {
	Seconds             float64
	Rate                float64 // jobs a second; the work of each job stays the same, so the load changes with the rate
	Load                float64 // the share of capacity in use; scales the work of each job
	Workers, Schedulers int
	DropState           bool    // schedulers keep no state across a power loss, whatever the file says
	TroubleScale        float64 // scales the part of workers that each trouble affects; 0: 1
}

// Check returns an error for a value out of range, named by its command-line flag.
func (c *Overrides) Check() error {
	for _, f := range []struct {
		name      string
		v, lo, hi float64
	}{
		{"--seconds", c.Seconds, 1, MaxSeconds}, {"--rate", c.Rate, 0.1, MaxRate}, {"--load", c.Load, 0.01, 5},
		{"--workers", float64(c.Workers), 1, MaxWorkers}, {"--schedulers", float64(c.Schedulers), 1, MaxSchedulers},
		{"size of troubles", c.TroubleScale, 0.01, 100},
	} {
		if f.v != 0 && !(f.v >= f.lo && f.v <= f.hi) {
			return fmt.Errorf("%s: %g is not between %g and %g", f.name, f.v, f.lo, f.hi)
		}
	}
	return nil
}

// Scheduler is a scheduler of a plan.
type Scheduler struct {
	Name string
	Zone int
}

// Step is a timed action of the run on the fleet.
type Step struct {
	At         time.Duration // since the first arrival
	Act        Act
	Trouble    int // the 1-based index of the trouble that it belongs to; 0: none
	Workers    []int
	Schedulers []int
	Value      float64
	Down       time.Duration // with Drain, Kill: until the new process starts
	MinDrain   time.Duration // with Drain: the minimum time that the worker drains

	// For faults of links to workers and discovery.
	FailsFrom, FailsTo bool     // the directions that fail: from Schedulers, to Schedulers
	Bytes              int64    // connections are reset after this many bytes; 0: they are cut, or delayed by Down if that is set
	Note               string   // a description
	Clients            []string // the kinds of bad clients; empty: all but those that must be named

	Disk string // with Kill: what happens to the disk, one of the constants below; empty: it stays as it is

	SecondTerm bool // with Term: a second SIGTERM follows after the gap below
	AfterHup   bool // with Term: SIGHUP precedes it by the gap below
	SignalGap  time.Duration

	KillStarting bool // with Kill: also kills a process that does not serve yet
	OldLists     bool // with Kill: the new process starts with the lists of workers and of peers as they were before the first arrival

	// For steps that end workers: the step waits up to this long until one of Workers runs, or with Arriving is just
	// receiving, a job that must never run twice. This is the hardest case for schedulers when a worker ends.
	MaxWait  time.Duration
	Arriving bool
}

// Act is the kind of a step.
type Act string

// The acts.
const (
	Crash               Act = "crash"
	MachineSilent       Act = "vanish"
	MachineUnresponsive Act = "mute"
	StartCold           Act = "return"  // crashed, vanished and mute workers start a cold process
	NetworkCut          Act = "cut"     // no traffic passes between Schedulers and Workers
	EndNetworkCut       Act = "mend"    // ends a cut
	SlowWorkers         Act = "slow"    // workers are slower by the factor Value; 1 ends it
	DelayDiscovery      Act = "stale"   // updates from discovery are delayed by Value seconds; 0 ends it
	SilenceDiscovery    Act = "silence" // discovery sends nothing while Value is 1
	Drain               Act = "drain"   // each worker drains, exits, and restarts cold
	Term                Act = "term"    // SIGTERM, and a new process after the exit
	Kill                Act = "kill"    // SIGKILL, and a new process after Down
	DiskFull            Act = "full"    // while Value is 1, writes to the disks of Schedulers fail
	Reload              Act = "reload"  // SIGHUP with another address of discovery
	Upgrade             Act = "upgrade" // starts a second process, and sends SIGTERM to the first once the second is ready
	OperatorChange      Act = "hand"    // an operator takes each worker out, replaces it, and puts it back after Down
	SettingsChange      Act = "retune"  // SIGHUP with an invalid file, then with other settings
	BadClients          Act = "rude"    // bad clients connect at Value a second; 0 ends it
	CutPeers            Act = "part"    // while Value is 1, no traffic passes between Schedulers and the other schedulers
	CutPeersOneWay      Act = "mute1"   // while Value is 1, no traffic passes from Schedulers to the other schedulers
	LosePackets         Act = "lossy"   // the share Value of packets between schedulers is lost, the others are delayed by up to Down; 0 ends it
	PeerStrangers       Act = "intrude" // strangers connect to the peer addresses, Value a second; 0 ends it
	Pause               Act = "pause"   // SIGSTOP, and SIGCONT when Value is 0
	LinkFault           Act = "route"   // while Value is 1, the relays between Schedulers and Workers (discovery if Workers is empty) fail
)

// The values of Step.Disk: what happens to a killed scheduler's disk.
const (
	DiskSave    = "keep" // a copy is saved
	DiskDelete  = "lose" // the disk is deleted
	DiskRestore = "back" // the saved copy is restored
)

// TroubleInterval is the interval of a trouble, for shading in plots.
type TroubleInterval struct {
	Name     string
	From, To time.Duration // since the first arrival
}

// Plan is a scenario with all values drawn from a seed.
type Plan struct {
	Scenario string
	About    string
	Seed     uint64
	Length   time.Duration

	Zones      []string
	Schedulers []Scheduler
	Workers    []world.Spec
	Classes    []traffic.Class
	Tenants    []history.Tenant
	Rules      history.Rules
	Weights    history.Weights

	Traffic traffic.Plan
	Retry   traffic.Retry
	Notice  [2]time.Duration // range of the time until the front notices that a scheduler has died

	Roster         world.RosterSpec
	SameZoneDelay  time.Duration // one-way delay within a zone
	CrossZoneDelay time.Duration // one-way delay between zones
	ZoneDelay      OneWay        // replaces the two delays above, also between schedulers; nil: these two, and no delay between schedulers
	AgentDelay     time.Duration // until the jobs of a dead process are reported as lost
	ProbeCost      time.Duration

	MemoryMB float64
	Sockets  int

	Operators string   // the text of an operators' file; empty: none
	Folders   []string // created in each scheduler's folder
	Durable   []string // classes whose jobs survive their scheduler's process
	AskAgain  bool     // clients ask again for durable jobs, or with Owners for all jobs
	StompPort int      // the port on which clients speak STOMP; 0: they speak HTTP

	State            map[string]any // settings of the state that schedulers keep across a power loss; nil: they keep none
	LosesUnsynced    bool           // SIGKILL loses unsynced writes: the daemon must be built for this
	Relays           bool           // the run places relays between schedulers and workers, and schedulers and discovery
	Admin            bool           // schedulers have an admin address
	Peers            map[string]any // settings of the links between schedulers; nil: schedulers do not know each other
	Owners           map[string]any // settings of job ownership, with which any scheduler is asked for any job; nil: jobs have no owners
	Steps            []Step
	TroubleIntervals []TroubleInterval

	MembersWithoutJobs int // further members of the schedulers' membership that take no jobs

	Load     float64 // the requested share of the fleet's capacity
	Capacity float64 // of the whole fleet when warm, in seconds of work a second
}

// OneWay returns the one-way delay of a message between two zones.
type OneWay func(from, to string) time.Duration

// Delay returns the one-way delay between a scheduler and a worker in these zones.
func (p *Plan) Delay(a, b string) time.Duration {
	switch {
	case p.ZoneDelay != nil:
		return p.ZoneDelay(a, b)
	case a == b:
		return p.SameZoneDelay
	}
	return p.CrossZoneDelay
}

// HasLinkFault reports whether a step makes the link between a scheduler and a worker fail, or, with worker -1, the link between
// the scheduler and its discovery.
func (p *Plan) HasLinkFault(scheduler, worker int) bool {
	return slices.ContainsFunc(p.Steps, func(s Step) bool {
		if s.Act != LinkFault || !slices.Contains(s.Schedulers, scheduler) {
			return false
		}
		if len(s.Workers) == 0 {
			return worker < 0
		}
		return slices.Contains(s.Workers, worker)
	})
}

// RandomStream returns a random stream for the given label. Each drawn value has a stream of its own, so that a change to one leaves
// the others unchanged.
func RandomStream(seed uint64, label string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(label))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func (r Range) withDefault(lo, hi float64) Range {
	if r.Given {
		return r
	}
	return Range{lo, hi, true}
}

func (r Range) draw(c *rand.Rand) float64 { return r.Lo + (r.Hi-r.Lo)*c.Float64() }

func (r Range) drawInt(c *rand.Rand) int { return int(r.Lo) + c.IntN(int(r.Hi-r.Lo)+1) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func drawMillis(c *rand.Rand, lo, hi float64) time.Duration {
	return time.Duration((lo + (hi-lo)*c.Float64()) * float64(time.Millisecond))
}

// machineKind is a machine kind of the reference fleet (fleetpay-nw), with the ranges that its specification gives or leaves open.
type machineKind struct {
	name                              string
	cores                             int
	share, speed, spread, queue, cold Range // spread: deviation of a machine's speed from its kind's; queue: per core
	warmS                             Range
}

var machineKinds = []machineKind{
	{"fast-2", 2, Range{0.58, 0.78, true}, Range{1.3, 1.7, true}, Range{0.033, 0.22, true}, Range{9.4, 15, true}, Range{0.3, 0.56, true}, Range{3.5, 9, true}},
	{"wide-3", 3, Range{0.27, 0.37, true}, Range{0.85, 1.1, true}, Range{0.048, 0.21, true}, Range{5.4, 9.3, true}, Range{0.31, 0.56, true}, Range{4.2, 8, true}},
}

// Draw draws a plan from a seed. It fails only if Changes.Check does, or if the settings of Owners are invalid.
func (s *Scenario) Draw(seed uint64, ch Overrides) (*Plan, error) {
	if err := ch.Check(); err != nil {
		return nil, err
	}
	p := &Plan{Scenario: s.Name, About: s.About, Seed: seed, Zones: []string{"tukwila", "hillsboro"},
		Rules: history.FleetRules(), Weights: history.FleetWeights()}
	size := RandomStream(seed, "size")
	workers, schedulers := s.Workers.withDefault(12, 15).drawInt(size), s.Schedulers.withDefault(2, 3).drawInt(size)
	base := workers // the fleet size for which the work of jobs is scaled
	if ch.Workers > 0 {
		workers = ch.Workers
	}
	if ch.Schedulers > 0 {
		schedulers = ch.Schedulers
	}
	p.Length = seconds(orDefault(ch.Seconds, s.Seconds.withDefault(30, 30).draw(size)))
	for i := range schedulers {
		p.Schedulers = append(p.Schedulers, Scheduler{fmt.Sprintf("n%d", i+1), i % len(p.Zones)})
	}
	p.drawWorkers(s, workers)
	p.drawTraffic(s, ch, float64(base)/float64(workers))
	net := RandomStream(seed, "net")
	p.SameZoneDelay, p.CrossZoneDelay = drawMillis(net, 0.11, 0.29), drawMillis(net, 1.4, 2.6)
	p.AgentDelay, p.ProbeCost = drawMillis(net, 40, 160), drawMillis(net, 0.11, 0.21)
	p.Notice = [2]time.Duration{860 * time.Millisecond, 3900 * time.Millisecond}
	p.Roster = world.RosterSpec{Schedulers: schedulers,
		DetectionTime:       [2]time.Duration{510 * time.Millisecond, 4200 * time.Millisecond},
		SilentDetectionTime: [2]time.Duration{4100 * time.Millisecond, 13 * time.Second},
		StartDetectionTime:  [2]time.Duration{440 * time.Millisecond, 1900 * time.Millisecond},
		BatchInterval:       [2]time.Duration{200 * time.Millisecond, 1400 * time.Millisecond},
		ArrivalDelay:        [2]time.Duration{15 * time.Millisecond, 78 * time.Millisecond}}
	p.Operators, p.Folders, p.AskAgain = s.Operators, s.Folders, s.AskAgain
	if p.Peers = s.Peers; p.Peers != nil {
		p.Admin = true
		p.Rules.AgreeWithin, p.Rules.KnownWithin = agreeWithin.Microseconds(), knownWithin.Microseconds()
	}
	if p.Owners = s.Owners; p.Owners != nil {
		keep, keepers, err := s.ownerRetention()
		if err != nil {
			return nil, err
		}
		p.Rules.KeepEnded, p.Rules.Keepers = keep.Microseconds(), keepers
	}
	if p.State = s.State; ch.DropState {
		p.State = nil
	}
	if s.Stomp {
		p.StompPort = s.stompPort
	}
	for _, c := range p.Classes {
		if s.durable && (s.durableClasses == nil || slices.Contains(s.durableClasses, c.Name)) {
			p.Durable = append(p.Durable, c.Name)
		}
	}
	p.MemoryMB, p.Sockets = s.MemoryMB.withDefault(192, 192).Lo, int(s.Sockets.withDefault(1024, 1024).Lo)
	p.drawTroubles(s, orDefault(ch.TroubleScale, 1))
	return p, nil
}

func orDefault(v, otherwise float64) float64 {
	if v != 0 {
		return v
	}
	return otherwise
}

func (p *Plan) drawWorkers(s *Scenario, n int) {
	kc := RandomStream(p.Seed, "kinds")
	fast := machineKinds[0].share.draw(kc)
	type drawn struct {
		speed, spread, queue, cold float64
		warm                       time.Duration
	}
	perKind := make([]drawn, len(machineKinds))
	for i, k := range machineKinds {
		perKind[i] = drawn{speed: k.speed.draw(kc), spread: k.spread.draw(kc), queue: k.queue.draw(kc), cold: k.cold.draw(kc),
			warm: seconds(k.warmS.draw(kc))}
	}
	handshake, conns, tax := drawMillis(kc, 2.2, 6), Range{600, 900, true}.draw(kc), Range{0.17, 0.4, true}.draw(kc)
	drops := kc.IntN(2) == 1
	for i := range n {
		c := RandomStream(p.Seed, fmt.Sprintf("worker %d", i))
		// The kinds are distributed evenly over the fleet, so that small fleets have both.
		k := 0
		if math.Floor(float64(i+1)*(1-fast)) > math.Floor(float64(i)*(1-fast)) {
			k = 1
		}
		d, cores := perKind[k], machineKinds[k].cores
		p.Workers = append(p.Workers, world.Spec{
			Name: fmt.Sprintf("s-%08x", c.Uint32()), Zone: p.Zones[i%len(p.Zones)], Kind: machineKinds[k].name,
			Cores: cores, Slots: cores, Memory: float64(cores),
			Speed: d.speed * math.Exp(d.spread*c.NormFloat64()-d.spread*d.spread/2),
			Queue: int(math.Round(d.queue * float64(cores))),
			Cold:  d.cold, Warm: d.warm, Handshake: handshake,
			Conns: int(conns) * cores, FullTableLoss: tax, Idle: 10 * time.Second,
			ErrorRate: s.ErrorRate.withDefault(0.0005, 0.0005).Lo, DropsExpired: drops, DrainReturns: true,
			FallMultiple: p.Rules.FallMultiple, FallWindow: time.Duration(p.Rules.FallWindow) * time.Microsecond,
		})
		w := &p.Workers[i]
		p.Capacity += float64(w.Cores) * w.Speed
	}
}

// drawTraffic draws the clients. scale is the ratio of the fleet size that the load refers to and the actual fleet size.
func (p *Plan) drawTraffic(s *Scenario, ch Overrides, scale float64) {
	c := RandomStream(p.Seed, "traffic")
	const ms = 1000 // microseconds
	p.Classes = []traffic.Class{
		{Class: history.Class{Name: "limit-check", Repeat: history.ReadLike, Aim: 150 * ms, Stretch: 2, Deadline: 5000 * ms,
			Window: 5000 * ms, Worth: 1, LateWorth: 0.3},
			Share: 0.51, Work: drawMillis(c, 240, 470), Dist: "lognormal", CV: Range{1.4, 2.4, true}.draw(c), WorkSpread: Range{0.083, 0.38, true}.draw(c)},
		{Class: history.Class{Name: "settle", Repeat: history.Keyed, Aim: 600 * ms, Stretch: 2, Deadline: 25000 * ms,
			Window: 40000 * ms, Worth: 8, LateWorth: 0.25},
			Share: 0.34, Work: drawMillis(c, 1500, 2800), Dist: "lognormal", CV: Range{1.4, 2.5, true}.draw(c), WorkSpread: Range{0.09, 0.6, true}.draw(c)},
		{Class: history.Class{Name: "card-issue", Repeat: history.NonIdempotent, Aim: 600 * ms, Stretch: 2.5, Deadline: 8000 * ms,
			Window: 5000 * ms, Worth: 8, LateWorth: 0.25},
			Share: 0.15, Work: drawMillis(c, 480, 930), Dist: []string{"lognormal", "pareto"}[c.IntN(2)], CV: Range{1.5, 2.7, true}.draw(c), WorkSpread: Range{0.12, 0.5, true}.draw(c)},
	}
	mean := 0.0
	for _, cl := range p.Classes {
		mean += cl.Share * cl.Work.Seconds()
	}
	if s.DeadlineS.Given {
		p.limitDeadlines(seconds(s.DeadlineS.draw(c)))
	}
	// The work of jobs is scaled to give the load at the scenario's own rate and fleet; another rate or fleet on the
	// command line then changes the load, unless the load is given too.
	rate, load := s.Rate.withDefault(29, 29).draw(c), s.Load.withDefault(0.53, 0.59).draw(c)
	capacity := p.Capacity * scale
	if ch.Load > 0 {
		load, capacity = ch.Load, p.Capacity
		rate = orDefault(ch.Rate, rate)
	}
	heavier := load * capacity / (rate * mean)
	rate = orDefault(ch.Rate, rate)
	for i := range p.Classes {
		c := &p.Classes[i]
		c.Work = time.Duration(float64(c.Work) * heavier)
		// Limits the tail: a job too long for any worker to finish in time would add noise, and much of it, as worth is
		// proportional to work.
		c.MaxWork = max(3*c.Work, time.Duration(0.4*float64(c.Deadline))*time.Microsecond)
	}
	p.Load = rate * mean * heavier / p.Capacity
	mean *= heavier
	for i := range p.Workers {
		p.Workers[i].FallMean = seconds(mean)
	}
	shares := []history.Tenant{{Name: "rainier-haul", Quota: 0.44}, {Name: "puget-delivery", Quota: 0.40}, {Name: "willamette-crews", Quota: 0.16}}
	full := p.Capacity / mean * Range{0.71, 0.9, true}.draw(c) // jobs a second of all quotas together
	var tenants []traffic.Tenant
	for _, t := range shares {
		tenants = append(tenants, traffic.Tenant{Name: t.Name, Share: t.Quota * Range{0.65, 1.25, true}.draw(c)})
		t.Quota *= full
		p.Tenants = append(p.Tenants, t)
	}
	skew := s.ZoneSkew.withDefault(0.15, 0.45).draw(c)
	p.Traffic = traffic.Plan{Seed: p.Seed, Length: p.Length, Rate: rate, Shape: s.Shape, Amplitude: s.Swing.withDefault(0.073, 0.2).draw(c),
		Period: seconds(s.PeriodS.withDefault(15, 25).draw(c)), Classes: p.Classes, Tenants: tenants,
		Zones: []float64{0.5 + skew/2, 0.5 - skew/2}, HintSpread: 0.35, Body: [2]int{40, 400}, Memory: [2]float64{0.2, 0.9}}
	if p.Traffic.Shape == "" {
		p.Traffic.Shape = "steady"
	}
	p.Retry = traffic.Retry{MaxRetries: s.Retries.withDefault(1, 2).drawInt(c), Backoff: drawMillis(c, 9.9, 79),
		HonourShare: Range{0.7, 1, true}.draw(c), MaxRetryAfter: 2 * time.Second}
}

// limitDeadlines limits the deadline of each class to longest, and its aim in proportion.
func (p *Plan) limitDeadlines(longest time.Duration) {
	for i := range p.Classes {
		c := &p.Classes[i]
		c.Deadline = min(c.Deadline, longest.Microseconds())
		c.Aim = min(c.Aim, c.Deadline/aimDivisor)
	}
}

// aimDivisor is the least ratio of deadline to aim of a class when deadlines are limited.
const aimDivisor = 3

// The platform sends SIGKILL this long after SIGTERM plus the longest deadline of a class, which counts as maxCountedDeadline at most.
const (
	killAfter          = 700 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
)

// KillAfter returns the time from SIGTERM to SIGKILL.
func (p *Plan) KillAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.Classes {
		longest = max(longest, time.Duration(c.Deadline)*time.Microsecond)
	}
	return min(longest, maxCountedDeadline) + killAfter
}
