package page

import (
	"math"

	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
)

// regressor is what a resource of one instance depends on. Load is shared by the schedulers, so it counts for each.
type regressor struct {
	name string
	of   func(p *measurement.Parameters) float64
	by   measurement.Parameter // the swept parameter that moves it
	with string                // another regressor that moves in proportion and is covered by it
}

func share(total, schedulers float64) float64 {
	if schedulers == 0 {
		return total
	}
	return total / schedulers
}

// changesRegressor is the rate of changes of a scheduler's own file.
const changesRegressor = "changes/day"

var regressors = []regressor{
	{"workers", func(p *measurement.Parameters) float64 { return p.Workers }, measurement.Workers, "accelerators"},
	{"accelerators", func(p *measurement.Parameters) float64 { return p.Accelerators }, measurement.Accelerators, ""},
	{"starts/s a scheduler", func(p *measurement.Parameters) float64 {
		return share(p.TaskStartsPerSecond, p.Schedulers)
	}, measurement.TaskStartsPerSecond, "running a scheduler"},
	{"running a scheduler", func(p *measurement.Parameters) float64 {
		return share(p.TasksRunning, p.Schedulers)
	}, measurement.TasksRunning, ""},
	{"tenants", func(p *measurement.Parameters) float64 { return p.Tenants }, measurement.Tenants, ""},
	{"schedulers", func(p *measurement.Parameters) float64 { return p.Schedulers + p.HollowSchedulers },
		measurement.HollowSchedulers, ""},
	{"members", func(p *measurement.Parameters) float64 { return p.Members }, measurement.Members, ""},
	{"groups", func(p *measurement.Parameters) float64 { return p.ReplicatedGroups }, measurement.ReplicatedGroups, ""},
	{changesRegressor, func(p *measurement.Parameters) float64 { return p.ChangesPerDay }, measurement.ChangesPerDay, ""},
	{"configuration bytes", func(p *measurement.Parameters) float64 { return p.ConfigurationBytes },
		measurement.ConfigurationBytes, ""},
	{"regions", func(p *measurement.Parameters) float64 { return p.Regions }, measurement.Regions, ""},
	{"round trip ms", func(p *measurement.Parameters) float64 { return p.RoundTripMS }, measurement.RoundTripMS, ""},
}

// regressorBy returns the regressor that a swept parameter moves. Real schedulers, when swept, share the load among
// more of them: that moves two regressors, and is a table of its own.
func regressorBy(parameter measurement.Parameter) (regressor, bool) {
	for _, r := range regressors {
		if r.by == parameter {
			return r, true
		}
	}
	return regressor{}, false
}

// proportion is how far two ratios may differ for one regressor to cover another.
const proportion = 0.1

// covers tells whether r and the regressor that it carries along are in the same proportion at both.
func (r regressor) covers(other regressor, a, b *measurement.Parameters) bool {
	if r.with != other.name {
		return false
	}
	left := r.of(a) * other.of(b)
	right := r.of(b) * other.of(a)
	return math.Abs(left-right) <= proportion*max(left, right)
}

// usualReplicas is how many replicas a ledger has if the operators' file does not say it; the size states none.
const usualReplicas = 3

// fullSize is the size of the file as parameters.
func fullSize(s *size.Size) measurement.Parameters {
	return measurement.Parameters{
		Workers:             float64(s.Workers.Count),
		Accelerators:        float64(s.Workers.Accelerators),
		TasksRunning:        float64(s.Tasks.Running),
		TaskStartsPerSecond: s.Tasks.StartsPerS,
		Tenants:             float64(s.Tenants.Count),
		Schedulers:          float64(s.Schedulers.Real),
		HollowSchedulers:    float64(s.Schedulers.Hollow),
		Members:             usualReplicas,
		ChangesPerDay:       s.Configuration.ChangesPerDay,
		ConfigurationBytes:  s.Configuration.VersionMB * megabyte,
		Regions:             float64(len(s.Regions)),
		RoundTripMS:         s.Network.RegionsRoundTripMS,
	}
}

// controlOnly is the same fleet with no task in it: what is used then is control's.
func controlOnly(p measurement.Parameters) measurement.Parameters {
	p.TasksRunning = 0
	p.TaskStartsPerSecond = 0
	return p
}

const megabyte = 1_000_000

// relevant lists the regressors on which a resource of a role can depend, as the code reads. A parameter that the size
// does not state, such as the members of a quorum, is none: it stays as it was measured. Accelerators are none either: no
// message to a scheduler has them.
func relevant(k key) []string {
	switch {
	case k.resource == state && k.role == measurement.Scheduler:
		return []string{"workers", "running a scheduler", "tenants", "schedulers"}
	case k.resource == state && k.role == measurement.Discovery:
		return []string{"workers"}
	}
	switch k.role {
	case measurement.Scheduler:
		return []string{"workers", "starts/s a scheduler", "running a scheduler", "tenants", "schedulers",
			changesRegressor, "regions", "round trip ms"}
	case measurement.Discovery:
		return []string{"workers", "schedulers", "regions", "round trip ms"}
	case measurement.LedgerMember:
		return []string{"starts/s a scheduler", "running a scheduler", "members", "regions", "round trip ms"}
	case measurement.ConfigurationSource:
		return []string{"schedulers", changesRegressor, "configuration bytes", "regions", "round trip ms"}
	}
	return []string{"starts/s a scheduler", "running a scheduler"}
}
