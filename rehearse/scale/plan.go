package scale

import (
	"fmt"
	"math"
	"slices"
	"time"

	"laddertide/core/history"
	"laddertide/core/traffic"
	"laddertide/core/world"
	"laddertide/rehearse/scale/hollow"
	"laddertide/rehearse/scale/size"
	"laddertide/rehearse/scenario"
)

// planOf makes the plan of a run: the scenario's draw for all that a size does not say, and the size for the rest. The
// window begins after leadIn and ends with the plan.
func planOf(s *size.Size, seed uint64, leadIn, window time.Duration) (*scenario.Plan, error) {
	text := fmt.Sprintf("{name: scale-%s, seconds: %g, workers: %d, schedulers: %d, rate: %g, load: 0.5, retries: %d, peers: {}%s}",
		s.Name, (leadIn + window).Seconds(), s.Workers.Count, s.Schedulers.Real, s.Tasks.StartsPerS, s.Tasks.Retries, optionalParts(s))
	sc, err := scenario.Parse(s.Name+".yaml", []byte(text))
	if err != nil {
		return nil, err
	}
	plan, err := sc.Draw(seed, scenario.Overrides{})
	if err != nil {
		return nil, err
	}
	plan.MembersWithoutJobs = s.Schedulers.Hollow
	plan.MemoryMB, plan.Sockets = s.Budget.MemoryMB, s.Budget.DescriptorsEach
	members := s.Schedulers.Real + s.Schedulers.Hollow
	plan.Rules.AgreeWithin = int64(float64(plan.Rules.AgreeWithin) * max(1, math.Log10(float64(members+1)))) // as the membership's doubts last
	spread(plan, s)
	setWorkers(plan, s)
	setTraffic(plan, s, leadIn)
	return plan, nil
}

// Folders of a scheduler with a replicated ledger, within its own.
const (
	ledgerFolder = "ledger"
	groupsFolder = "groups"
)

// optionalParts are the keys of a scenario that turn on what a size may leave off.
func optionalParts(s *size.Size) string {
	parts := ""
	if s.Schedulers.Ownership {
		parts += ", owners: {first_s: 0}" // all schedulers start for the first time
	}
	if n := s.Schedulers.LedgerReplicas; n > 0 {
		operators := fmt.Sprintf("durable: {dir: %s}\nreplicated: {dir: %s, replicas: %d, max_mb: %d}\n", ledgerFolder, groupsFolder, n, hollow.LedgerMB)
		parts += fmt.Sprintf(", operators: %q, folders: [%s, %s]", operators, ledgerFolder, groupsFolder)
	}
	return parts
}

// spread puts schedulers into zones, regions in turn, and sets how far zones are from each other.
func spread(plan *scenario.Plan, s *size.Size) {
	names, region := s.Zones()
	plan.Zones = inTurn(names, region, len(s.Regions))
	for i := range plan.Schedulers {
		plan.Schedulers[i].Zone = i % len(plan.Zones)
	}
	oneWay := func(roundTripMS float64) time.Duration {
		return time.Duration(roundTripMS / 2 * float64(time.Millisecond))
	}
	plan.ZoneDelay = func(a, b string) time.Duration {
		switch {
		case a == b:
			return oneWay(s.Network.ZoneRoundTripMS)
		case region[a] == region[b]:
			return oneWay(s.Network.RegionRoundTripMS)
		}
		return oneWay(s.Network.RegionsRoundTripMS)
	}
}

// inTurn orders zones so that the first ones are of different regions.
func inTurn(names []string, region map[string]int, regions int) []string {
	byRegion := make([][]string, regions)
	for _, name := range names {
		byRegion[region[name]] = append(byRegion[region[name]], name)
	}
	var out []string
	for rank := 0; len(out) < len(names); rank++ {
		for _, zones := range byRegion {
			if rank < len(zones) {
				out = append(out, zones[rank])
			}
		}
	}
	return out
}

// queueOfSlots is how many tasks may wait at a worker, for each slot.
const queueOfSlots = 1

// setWorkers makes all workers alike but for their zones and kinds. An accelerator is no part of the daemon's protocol: a
// worker tells its slots.
func setWorkers(plan *scenario.Plan, s *size.Size) {
	plan.Capacity = 0
	for i := range plan.Workers {
		w := &plan.Workers[i]
		w.Zone = plan.Zones[i%len(plan.Zones)]
		w.Cores, w.Slots, w.Memory = s.Workers.TaskSlots, s.Workers.TaskSlots, float64(s.Workers.TaskSlots)
		w.Speed, w.Queue = 1, queueOfSlots*s.Workers.TaskSlots
		w.Warm = seconds(s.Workers.WarmS)
		w.FallSlack = seconds(2 * s.MeanRunS())
		plan.Capacity += float64(w.Cores) * w.Speed
	}
}

// setTraffic sets classes, tenants and the rate. So that as many tasks run when the window begins as the size says, clients
// ask for more during leadIn.
func setTraffic(plan *scenario.Plan, s *size.Size, leadIn time.Duration) {
	plan.Classes = nil
	for _, c := range s.Classes {
		plan.Classes = append(plan.Classes, classOf(c, s.Workers.TaskSlots))
	}
	shares := tenantShares(s)
	plan.Tenants, plan.Traffic.Tenants = nil, nil
	for i, share := range shares {
		name := fmt.Sprintf("team-%03d", i+1)
		plan.Traffic.Tenants = append(plan.Traffic.Tenants, traffic.Tenant{Name: name, Share: share})
		plan.Tenants = append(plan.Tenants, history.Tenant{Name: name, Quota: share * s.Tasks.StartsPerS * s.Tenants.QuotaOfUsual})
	}
	t := &plan.Traffic
	t.Classes, t.Rate, t.Shape, t.Length = plan.Classes, s.Tasks.StartsPerS, "steady", plan.Length
	t.Zones = slices.Repeat([]float64{1 / float64(len(plan.Zones))}, len(plan.Zones))
	if fill := s.MeanRunS() / leadIn.Seconds(); fill > 0.2 {
		t.Bursts = append(t.Bursts, traffic.Burst{Length: leadIn, Factor: 1 + fill})
	}
	plan.Load = t.Rate * s.MeanRunS() / plan.Capacity
}

const stretch = 2 // as the kit's classes have it

func classOf(c size.Class, slotsOfWorker int) traffic.Class {
	micros := func(s float64) int64 { return seconds(s).Microseconds() }
	out := traffic.Class{
		Class: history.Class{Name: c.Name, Repeat: history.Repeat(c.Repeat), Aim: micros(c.WantedS), Stretch: stretch,
			Deadline: micros(c.DeadlineS), Window: micros(c.DeadlineS), Worth: c.Worth, LateWorth: 0.3},
		Share: c.Share, Work: seconds(c.RunMeanS), Dist: "lognormal", CV: c.RunVariation, MaxWork: seconds(c.RunMostS), Slots: 1,
	}
	if c.Slots <= slotsOfWorker {
		out.Slots = float64(c.Slots)
	}
	return out
}

// tenantShares are the shares of tenants by their rank, which add up to 1.
func tenantShares(s *size.Size) []float64 {
	shares, sum := make([]float64, s.Tenants.Count), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -s.Tenants.Skew)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// entries are the workers as a discovery of hollow schedulers lists them.
func entries(workers []world.Spec) []history.Entry {
	out := make([]history.Entry, len(workers))
	for i, w := range workers {
		out[i] = history.Entry{Worker: w.Name, Status: history.Serving, Life: 1}
	}
	return out
}
