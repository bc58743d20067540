package page

import (
	"fmt"
	"slices"
	"strings"

	"laddertide/rehearse/scale/measurement"
)

// extra is what following the configuration adds to a figure of a scheduler.
type extra struct {
	idle, changes float64 // without changes; by the size's changes
	file          string  // "" if nothing is added
}

func (e extra) formula() string {
	if e.file == "" {
		return ""
	}
	return fmt.Sprintf(" + %s for following + %s for the changes", measured(e.idle), measured(e.changes))
}

// plainConfiguration is the measurement without failures that has the most schedulers, or nil.
func (r *report) plainConfiguration() *measurement.NamedConfiguration {
	var best *measurement.NamedConfiguration
	for i := range r.configurations {
		c := &r.configurations[i]
		if c.Case == measurement.CaseWithoutFailure && (best == nil || c.Schedulers >= best.Schedulers) {
			best = c
		}
	}
	return best
}

// followable tells whether it is known what following the configuration adds to a resource of a scheduler.
func (r *report) followable(k key) bool {
	return r.plainConfiguration() != nil && k.role == measurement.Scheduler && (k.resource == cpu || k.resource == controlBytes)
}

// rowFigure is the figure of a row, with what following the configuration adds where the row asks for it.
func (r *report) rowFigure(row budgetRow) *figure {
	f := r.figure(row.key, row.control)
	if f == nil || !row.follows {
		return f
	}
	if !r.followable(row.key) {
		return nil
	}
	c := r.plainConfiguration()
	perSecond := r.fleet.Configuration.ChangesPerDay / secondsOfDay
	f.extra = extra{c.IdleBytesPerSecond, c.SchedulerBytesPerChange * perSecond, c.Name}
	if row.resource == cpu {
		f.extra.idle = c.IdleCPUPercent - c.IdleCPUPercentOff
		f.extra.changes = percent * c.SchedulerCPUPerChange / microseconds * perSecond
	}
	// Changes reach such a scheduler from the source alone: a slope by changes of its file is not missed.
	f.missing = slices.DeleteFunc(f.missing, func(name string) bool { return strings.HasPrefix(name, changesRegressor+" ") })
	added := f.extra.idle + f.extra.changes
	f.estimate.Value += added
	f.estimate.Low += added
	f.estimate.High += added
	return f
}

const microseconds = 1e6

// inForce judges the time until a change is in force everywhere, of the measurement without failures.
func (r *report) inForce(limit float64) finding {
	c := r.plainConfiguration()
	if c == nil {
		return finding{notMeasured, "no run"}
	}
	size := fullSize(r.fleet)
	worst := c.WorstMS / 1000
	text := fmt.Sprintf("%s changes, %d schedulers, %d regions, %d ms: p50 %s s, p99 %s s, worst %s s (%s)",
		number(float64(c.Changes)), c.Schedulers, c.Regions, c.RoundTripMS, measured(c.P50MS/1000), measured(c.P99MS/1000),
		measured(worst), c.Name)
	switch {
	case worst > limit:
		return finding{over, text}
	case float64(c.Schedulers) < size.Schedulers+size.HollowSchedulers || float64(c.Regions) < size.Regions ||
		float64(c.RoundTripMS) < size.RoundTripMS:
		return finding{notMeasured, "no run at the size; " + text}
	}
	return finding{within, text}
}

// machines judges how many machines the sources of configuration need, one each.
func (r *report) machines(most int) finding {
	var widest *measurement.NamedConfiguration
	for i := range r.configurations {
		if c := &r.configurations[i]; widest == nil || c.Sources > widest.Sources {
			widest = c
		}
	}
	if widest == nil {
		return finding{notMeasured, "no run of the source of configuration"}
	}
	text := fmt.Sprintf("%d sources of configuration, a machine each (%s); discovery is the platform's", widest.Sources, widest.Name)
	if widest.Sources > most {
		return finding{over, text}
	}
	return finding{within, text}
}

// changes is what a change of configuration costs.
func (r *report) changes() string {
	t := newTable("file", "who", "idle bytes/s", "bytes a change", "bytes/s at the size", "idle CPU, % of a core",
		"CPU a change, ms", "% of a core at the size")
	perSecond := r.fleet.Configuration.ChangesPerDay / secondsOfDay
	for _, c := range r.configurations {
		follow := c.IdleCPUPercent - c.IdleCPUPercentOff
		t.row(c.Name, "a scheduler, beyond one that does not follow", measured(c.IdleBytesPerSecond), measured(c.SchedulerBytesPerChange),
			measured(c.IdleBytesPerSecond+c.SchedulerBytesPerChange*perSecond), measured(follow), measured(c.SchedulerCPUPerChange/1000),
			measured(follow+percent*c.SchedulerCPUPerChange/microseconds*perSecond))
		t.row(c.Name, fmt.Sprintf("each of %d sources", c.Sources), measured(c.SourceIdleBytesPerSecond),
			measured(c.SourceBytesPerChange), measured(c.SourceIdleBytesPerSecond+c.SourceBytesPerChange*perSecond),
			measured(c.SourceIdleCPUPercent), measured(c.SourceCPUPerChange/1000),
			measured(c.SourceIdleCPUPercent+percent*c.SourceCPUPerChange/microseconds*perSecond))
	}
	if len(r.configurations) == 0 {
		t.row(string(notMeasured), "", "", "", "", "", "", "")
	}
	return t.String()
}

// sourceRow is a row of what a source of configuration takes at the size.
func (r *report) sourceRow(t *table, row budgetRow) {
	name := row.resource + ", " + row.unit
	f := r.sourceFigure(row.resource)
	if f == nil {
		t.row(roleName(row.role), name, "", "", "none", string(notMeasured), "", row.mechanism, "")
		return
	}
	c := r.plainConfiguration()
	if f.perChange == nil {
		t.row(roleName(row.role), name, "measured", measured(f.idle), "none", string(noBudget),
			fmt.Sprintf("the most of %d sources with %d schedulers after %s changes", c.Sources, c.Schedulers, number(float64(c.Changes))),
			row.mechanism, c.Name)
		return
	}
	perSecond := r.fleet.Configuration.ChangesPerDay / secondsOfDay
	t.row(roleName(row.role), name, fmt.Sprintf("%s + %s × changes/s", measured(f.idle), measured(*f.perChange)),
		measured(f.idle+*f.perChange*perSecond), "none", string(noBudget),
		fmt.Sprintf("computed from %s changes with %d schedulers to %s a day", number(float64(c.Changes)), c.Schedulers,
			number(r.fleet.Configuration.ChangesPerDay)), row.mechanism, c.Name)
}

// sourceFigure is what one source of configuration takes.
type sourceFigure struct {
	idle      float64
	perChange *float64 // nil: idle is all, and holds after the measurement's changes
}

// sourceFigure returns what a source takes of a resource, or nil if that was not measured.
func (r *report) sourceFigure(resource string) *sourceFigure {
	c := r.plainConfiguration()
	if c == nil {
		return nil
	}
	held := func(amount float64) *sourceFigure {
		if amount == 0 {
			return nil
		}
		return &sourceFigure{idle: amount}
	}
	switch resource {
	case cpu:
		perChange := percent * c.SourceCPUPerChange / microseconds
		return &sourceFigure{c.SourceIdleCPUPercent, &perChange}
	case controlBytes:
		return &sourceFigure{c.SourceIdleBytesPerSecond, &c.SourceBytesPerChange}
	case memoryPeak:
		return held(c.SourceMemoryPeakBytes)
	case descriptors:
		return held(c.SourceDescriptors)
	case state:
		return held(c.SourceStateBytes)
	}
	return nil
}

// propagation is how long changes of configuration took.
func (r *report) propagation() string {
	t := newTable("file", "case", "schedulers", "regions, round trip", "sources", "changes, one each", "accepted, p50",
		"in force everywhere: p50, p99, worst", "after the heal, worst")
	for _, c := range r.configurations {
		heal := ""
		if c.AfterHealMS > 0 {
			heal = measured(c.AfterHealMS) + " ms"
		}
		t.row(c.Name, strings.ReplaceAll(c.Case, "-", " "), fmt.Sprint(c.Schedulers), fmt.Sprintf("%d, %d ms", c.Regions, c.RoundTripMS),
			fmt.Sprint(c.Sources), fmt.Sprintf("%s, %d ms", number(float64(c.Changes)), c.ChangeEveryMS), measured(c.AcceptedP50MS)+" ms",
			fmt.Sprintf("%s, %s, %s ms", measured(c.P50MS), measured(c.P99MS), measured(c.WorstMS)), heal)
	}
	if len(r.configurations) == 0 {
		t.row(string(notMeasured), "", "", "", "", "", "", "", "")
	}
	return t.String()
}
