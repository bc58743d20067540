package page

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"laddertide/rehearse/scale/measurement"
)

// failureKind is a failure of the operators' list: how often it strikes, and what discovery has to say of it.
type failureKind struct {
	kind   string  // as measurement files name it
	name   string  // for the reader
	perDay float64 // events
	struck float64 // workers, an event
	lines  float64 // of discovery's watch, a worker: see linesCrash and linesRestart
	stops  bool    // tasks in hand are lost
}

// Lines that a watch carries for one worker.
const (
	linesCrash   = 2 // gone, back
	linesRestart = 3 // draining, gone, back
)

const (
	daysOfMonth = 365.25 / 12
	daysOfYear  = 365.25
)

// failureKinds are the rates of the list as events a day.
func (r *report) failureKinds() []failureKind {
	f := r.fleet.Failures
	workers := float64(r.fleet.Workers.Count)
	zones, _ := r.fleet.Zones()
	return []failureKind{
		{"worker", "a machine fails", f.MachinesPerDay, 1, linesCrash, true},
		{"rolling-restart", "a machine is restarted or replaced", f.RestartsPerDay, 1, linesRestart, false},
		{"rack", "a rack or switch", f.RacksPerMonth / daysOfMonth, float64(f.RackWorkers), linesCrash, true},
		{"zone", "a zone", f.ZonesPerYear / daysOfYear, workers / float64(len(zones)), linesCrash, true},
		{"region-cut", "regions lose each other", f.RegionCutsPerYear / daysOfYear, workers / float64(len(r.fleet.Regions)), 0, false},
		{"all-schedulers", "all schedulers at once", 0, 0, 0, true},
	}
}

// load turns the rates of failures into messages and bytes for each scheduler.
func (r *report) load() string {
	t := newTable("failure", "a day", "workers struck", "tasks in hand there", "messages of discovery to one scheduler: an event, a day",
		"bytes to one scheduler: an event, a day", "mean bytes/s")
	perWorker := float64(r.fleet.Tasks.Running) / float64(r.fleet.Workers.Count)
	entry := chosenSlopes(r.sweeps, key{measurement.Discovery, state})["workers"]
	for _, kind := range r.failureKinds() {
		rate := value(kind.perDay)
		if kind.perDay == 0 {
			rate = "not stated"
		}
		tasks := "finished before it leaves, or tried again"
		if kind.stops {
			tasks = value(kind.struck*perWorker) + " lost, tried again where that is safe"
		}
		if kind.lines == 0 {
			t.row(kind.name, rate, value(kind.struck), tasksOfOthers(kind), "none; membership: see the table of failures", "", "")
			continue
		}
		event := kind.struck * kind.lines
		bytes, mean := string(notMeasured), string(notMeasured)
		if entry != nil {
			each := event * entry.fit.Slope.Value
			bytes = measured(each) + ", " + measured(each*kind.perDay)
			mean = measured(each * kind.perDay / secondsOfDay)
		}
		t.row(kind.name, rate, value(kind.struck), tasks, value(event)+", "+value(event*kind.perDay), bytes, mean)
	}
	whole := string(notMeasured)
	if list := r.figure(key{measurement.Discovery, state}, false); list != nil {
		whole = measured(list.estimate.Value) + doubtSuffix(list)
	}
	t.row("a scheduler starts, or its watch ends", "not stated", "0", "", "1 whole list", whole, "")
	return t.String()
}

// doubtSuffix says which parameters a figure lacks.
func doubtSuffix(f *figure) string {
	if d := doubt(f, 0); d != "" {
		return " (" + d + ")"
	}
	return ""
}

func tasksOfOthers(kind failureKind) string {
	if kind.stops {
		return "all that are in hand"
	}
	return "none is lost by the cut itself"
}

// failures is what each failure cost where it was played.
func (r *report) failures() string {
	t := newTable("failure", "file, scale", "runs", "struck", "lasted, stands for", "service before", "service during (worst)",
		"seconds until back (worst)", "rules", "note")
	for _, kind := range r.failureKinds() {
		groups := r.played(kind.kind)
		if len(groups) == 0 {
			t.row(kind.name, string(notMeasured), "", "", "", "", "", "", "", "")
		}
		for _, g := range groups {
			t.row(append([]string{kind.name}, g.cells()...)...)
		}
	}
	return t.String()
}

// playedGroup is the runs of one kind of failure in one file.
type playedGroup struct {
	file    measurement.Named
	all     []measurement.Failure
	invalid int
}

func (r *report) played(kind string) []playedGroup {
	var out []playedGroup
	for _, f := range r.files {
		g := playedGroup{file: f}
		for _, p := range f.Points {
			for _, failure := range p.Failures {
				switch {
				case failure.Kind != kind:
				case p.Valid:
					g.all = append(g.all, failure)
				default:
					g.invalid++
				}
			}
		}
		if len(g.all)+g.invalid > 0 {
			out = append(out, g)
		}
	}
	return out
}

func (g *playedGroup) cells() []string {
	source := fmt.Sprintf("%s, %s", g.file.Name, number(g.file.Size.Scale))
	if len(g.all) == 0 {
		return []string{source, fmt.Sprintf("0 count, %d do not", g.invalid), "", "", "", "", "", string(notMeasured), ""}
	}
	runs := fmt.Sprint(len(g.all))
	if g.invalid > 0 {
		runs += fmt.Sprintf(", %d more do not count", g.invalid)
	}
	first := g.all[0]
	lasted := fmt.Sprintf("%s s, %s s", value(first.LastedSeconds), number(first.StandsForSeconds))
	var broken []string
	for _, f := range g.all {
		broken = append(broken, f.RulesBroken...)
	}
	slices.Sort(broken)
	rules := "kept"
	if len(broken) > 0 {
		rules = "**broken**: " + strings.Join(slices.Compact(broken), ", ")
	}
	return []string{source, runs, value(first.Struck), lasted,
		extreme(g.all, math.Min, func(f measurement.Failure) *float64 { return f.ServiceBefore }, "not known"),
		extreme(g.all, math.Min, func(f measurement.Failure) *float64 { return f.ServiceDuring }, "not known"),
		extreme(g.all, math.Max, func(f measurement.Failure) *float64 { return f.SecondsUntilBack }, "not back within the run"),
		rules, first.Note}
}

// extreme is the worst of a figure over runs; one that is missing in any run is the worst of all.
func extreme(all []measurement.Failure, worse func(a, b float64) float64, of func(measurement.Failure) *float64,
	missing string) string {
	worst := math.NaN()
	for i, f := range all {
		value := of(f)
		if value == nil {
			return missing
		}
		if i == 0 {
			worst = *value
			continue
		}
		worst = worse(worst, *value)
	}
	return measured(worst)
}

// quotas is by how much a scheduler is wrong about a tenant of which it sees another share than the others: it takes the
// rate that it sees, times the schedulers, for the tenant's rate.
func (r *report) quotas() string {
	t := newTable("schedulers", "share of the tenant's tasks that one sees", "rate it takes the tenant for, of the true one",
		"the quota is passed there from, of the quota")
	for _, n := range []int{r.fleet.Schedulers.Real, r.fleet.Schedulers.Real + r.fleet.Schedulers.Hollow} {
		equal := 1 / float64(n)
		for _, part := range []float64{0, equal / 2, equal, 2 * equal, 0.5, 1} {
			believed := part * float64(n)
			from := "never"
			if believed > 0 {
				from = measured(1 / believed)
			}
			t.row(fmt.Sprint(n), value(part), measured(believed), from)
		}
	}
	return t.String()
}

const secondsOfDay = 86_400
