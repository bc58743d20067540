package size

import "math"

// Scaled returns the size with all counts and rates multiplied by factor, counts at least 1. Regions, zones, times,
// deadlines, slots and budgets stay as they are; so does the size of a rack, but it has no more workers than there are.
func (s *Size) Scaled(factor float64) *Size {
	out := *s
	count := func(n int) int { return max(1, int(math.Round(float64(n)*factor))) }
	out.Workers.Count = count(s.Workers.Count)
	out.Workers.Accelerators = count(s.Workers.Accelerators)
	out.Schedulers.Real = count(s.Schedulers.Real)
	if s.Schedulers.Hollow > 0 {
		out.Schedulers.Hollow = count(s.Schedulers.Hollow)
	}
	out.Schedulers.Machines = count(s.Schedulers.Machines)
	out.Tasks.Running = count(s.Tasks.Running)
	out.Tasks.StartsPerS = s.Tasks.StartsPerS * factor
	out.Tasks.Jobs = count(s.Tasks.Jobs)
	out.Tenants.Count = count(s.Tenants.Count)
	out.Configuration.ChangesPerDay = s.Configuration.ChangesPerDay * factor
	out.Failures.MachinesPerDay = s.Failures.MachinesPerDay * factor
	out.Failures.RestartsPerDay = s.Failures.RestartsPerDay * factor
	out.Failures.RacksPerMonth = s.Failures.RacksPerMonth * factor
	out.Failures.RackWorkers = min(s.Failures.RackWorkers, out.Workers.Count)
	return &out
}

// WithRunTimes returns the size with all running times multiplied so that a task runs for so long in the mean, and as many
// tasks running as follow from that. Deadlines stay.
func (s *Size) WithRunTimes(meanS float64) *Size {
	out := *s
	factor := meanS / s.MeanRunS()
	out.Classes = make([]Class, len(s.Classes))
	for i, c := range s.Classes {
		c.RunMeanS *= factor
		c.RunMostS *= factor
		out.Classes[i] = c
	}
	out.Tasks.Running = max(1, int(math.Round(out.Tasks.StartsPerS*meanS)))
	return &out
}
