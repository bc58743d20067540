package size

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"laddertide/core/history"
	"laddertide/rehearse/strictyaml"
)

// Limits of a description. What this machine bears is checked by Bounds.
const (
	mostWorkers    = 1000 // as of a scenario
	mostSchedulers = 1000
	mostTenants    = 10_000
	mostClasses    = 32
	mostZones      = 64
	mostSeconds    = 86_400
	mostRate       = 50_000
	mostCount      = 1e9
)

// littlesLaw is how far tasks running may be from starts a second times the mean running time.
const littlesLaw = 0.1

// rangeOf is one number of a file and what it may be.
type rangeOf struct {
	path   string
	value  float64
	lo, hi float64
}

// check is of a file.
func (s *Size) check() error { return errors.Join(s.Sane(), s.checkDeadlines()) }

// checkDeadlines refuses classes whose tasks can run for longer than their clients wait. Flags of a command may make such
// ones all the same, to find out what that does.
func (s *Size) checkDeadlines() error {
	for i, c := range s.Classes {
		if c.DeadlineS < c.RunMostS {
			return mistake(fmt.Sprintf("classes.%d.deadline_s", i), "%g is less than run_most_s, %g", c.DeadlineS, c.RunMostS)
		}
	}
	return nil
}

// Sane checks a size, also one that was changed after it was read.
func (s *Size) Sane() error {
	if s.Name == "" || strings.ContainsAny(s.Name, "/\\ \t\n") {
		return mistake("name", "a size needs a name without blanks and slashes")
	}
	ranges := []rangeOf{
		{"workers.count", float64(s.Workers.Count), 1, mostWorkers},
		{"workers.accelerators", float64(s.Workers.Accelerators), 1, mostCount},
		{"workers.task_slots_each", float64(s.Workers.TaskSlots), 1, 1024},
		{"workers.warm_s", s.Workers.WarmS, 0.1, mostSeconds},
		{"schedulers.real", float64(s.Schedulers.Real), 1, 32},
		{"schedulers.hollow", float64(s.Schedulers.Hollow), 0, mostSchedulers},
		{"schedulers.machines", float64(s.Schedulers.Machines), 1, mostCount},
		{"tasks.running", float64(s.Tasks.Running), 1, mostCount},
		{"tasks.starts_per_s", s.Tasks.StartsPerS, 0.1, mostRate},
		{"tasks.jobs_per_day", float64(s.Tasks.Jobs), 1, mostCount},
		{"tasks.retries_of_client", float64(s.Tasks.Retries), 0, 5},
		{"tenants.count", float64(s.Tenants.Count), 1, mostTenants},
		{"tenants.skew", s.Tenants.Skew, 0, 3},
		{"tenants.quota_of_usual", s.Tenants.QuotaOfUsual, 0.1, 1000},
		{"network.within_zone_round_trip_ms", s.Network.ZoneRoundTripMS, 0, 10_000},
		{"network.within_region_round_trip_ms", s.Network.RegionRoundTripMS, 0, 10_000},
		{"network.between_regions_round_trip_ms", s.Network.RegionsRoundTripMS, 0, 10_000},
		{"configuration.changes_per_day", s.Configuration.ChangesPerDay, 0, mostCount},
		{"configuration.in_force_within_s", s.Configuration.InForceWithinS, 0.001, mostSeconds},
		{"configuration.version_mb", s.Configuration.VersionMB, 0, 1024},
		{"failures.machines_per_day", s.Failures.MachinesPerDay, 0, mostCount},
		{"failures.restarts_per_day", s.Failures.RestartsPerDay, 0, mostCount},
		{"failures.racks_per_month", s.Failures.RacksPerMonth, 0, mostCount},
		{"failures.rack_workers", float64(s.Failures.RackWorkers), 1, mostWorkers},
		{"failures.zones_per_year", s.Failures.ZonesPerYear, 0, mostCount},
		{"failures.region_cuts_per_year", s.Failures.RegionCutsPerYear, 0, mostCount},
		{"failures.region_cut_s", s.Failures.RegionCutS, 0, mostSeconds},
		{"budget.control_cpu_percent", s.Budget.CPUPercent, 0.01, 10_000},
		{"budget.memory_mb", s.Budget.MemoryMB, 16, 65_536},
		{"budget.control_bytes_per_s", s.Budget.ControlBytes, 1, mostCount},
		{"budget.descriptors_each", float64(s.Budget.DescriptorsEach), 64, 65_536},
	}
	for _, r := range ranges {
		if !(r.value >= r.lo && r.value <= r.hi) {
			return mistake(r.path, "%g is not between %g and %g", r.value, r.lo, r.hi)
		}
	}
	return errors.Join(s.checkLedger(), s.checkClasses(), s.checkZones(), s.checkLoad())
}

// Replicas of a ledger, as the daemon takes them.
const (
	leastReplicas = 2
	mostReplicas  = 7
)

func (s *Size) checkLedger() error {
	const key = "schedulers.ledger_replicas"
	replicas, members := s.Schedulers.LedgerReplicas, s.Schedulers.Real+s.Schedulers.Hollow
	switch {
	case replicas == 0:
		return nil
	case replicas < leastReplicas || replicas > mostReplicas:
		return mistake(key, "%d is neither 0 nor between %d and %d", replicas, leastReplicas, mostReplicas)
	case !s.Schedulers.Ownership:
		return mistake(key, "a replicated ledger needs schedulers.ownership")
	case replicas > members:
		return mistake(key, "%d replicas are more than the %d schedulers", replicas, members)
	}
	return nil
}

func (s *Size) checkClasses() error {
	if len(s.Classes) == 0 || len(s.Classes) > mostClasses {
		return mistake("classes", "between 1 and %d are wanted", mostClasses)
	}
	names := make(map[string]bool)
	for i, c := range s.Classes {
		at := "classes." + strconv.Itoa(i) + "."
		switch repeat := history.Repeat(c.Repeat); {
		case c.Name == "" || names[c.Name]:
			return mistake(at+"name", "a class needs a name that no other has")
		case repeat != history.ReadLike && repeat != history.Keyed && repeat != history.NonIdempotent:
			return mistake(at+"repeat", "%q is none of %s, %s, %s", c.Repeat, history.ReadLike, history.Keyed, history.NonIdempotent)
		}
		names[c.Name] = true
		for _, r := range []rangeOf{
			{"share", c.Share, 0.0001, 1}, {"run_mean_s", c.RunMeanS, 0.001, mostSeconds},
			{"run_most_s", c.RunMostS, 2 * c.RunMeanS, 20 * c.RunMeanS}, {"run_variation", c.RunVariation, 0, 10},
			{"wanted_s", c.WantedS, 0.001, mostSeconds}, {"deadline_s", c.DeadlineS, 0.001, mostSeconds},
			{"start_within_s", c.StartWithinS, 0, mostSeconds}, {"slots", float64(c.Slots), 1, 4096},
			{"worth", c.Worth, 0.001, 1000},
		} {
			if !(r.value >= r.lo && r.value <= r.hi) {
				return mistake(at+r.path, "%g is not between %g and %g", r.value, r.lo, r.hi)
			}
		}
	}
	return nil
}

func (s *Size) checkZones() error {
	if len(s.Regions) == 0 {
		return mistake("regions", "there are none")
	}
	names := make(map[string]bool)
	for i, r := range s.Regions {
		at := "regions." + strconv.Itoa(i) + "."
		if r.Name == "" || len(r.Zones) == 0 {
			return mistake(at+"zones", "a region needs a name and zones")
		}
		for _, z := range r.Zones {
			if z == "" || names[z] {
				return mistake(at+"zones", "%q is no name that no other zone has", z)
			}
			names[z] = true
		}
	}
	if len(names) > mostZones {
		return mistake("regions", "%d zones are more than %d", len(names), mostZones)
	}
	return nil
}

// checkLoad looks for figures that contradict each other.
func (s *Size) checkLoad() error {
	running := s.Tasks.StartsPerS * s.MeanRunS()
	if math.Abs(running-float64(s.Tasks.Running)) > littlesLaw*running {
		return mistake("tasks.running", "%g starts a second that run %.3g s in the mean are %.0f tasks running, not %d",
			s.Tasks.StartsPerS, s.MeanRunS(), running, s.Tasks.Running)
	}
	if slots := s.Workers.Count * s.Workers.TaskSlots; s.Tasks.Running > slots {
		return mistake("tasks.running", "%d are more than the %d slots of all workers", s.Tasks.Running, slots)
	}
	return nil
}

func mistake(path, format string, args ...any) error {
	return &strictyaml.Mistake{Path: strings.Split(path, "."), What: fmt.Sprintf(format, args...)}
}
