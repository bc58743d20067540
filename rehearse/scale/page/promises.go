package page

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
)

// promise is one line of the operators' list.
type promise struct {
	what      string
	mechanism string  // packages or settings that carry it, for the reader
	folder    string  // the package that must be there; "" if none would carry it
	missing   string  // what of it nothing carries; "" if all of it has a mechanism
	perDay    float64 // events a day that the list states; 0: none
	most      float64 // how many there can be at most, where only a size is stated
	measure   func(*report) finding
}

// finding is what the measurements say of a promise.
type finding struct {
	verdict verdict
	text    string
}

// Shares that a point must reach to carry the fleet's load. The list of the size names none.
const (
	// leastDone is the share of tasks that must end with a worker's result.
	leastDone = 0.99
	// mostUnanswered is the share that may stay without an answer: one in 500, as in the standing test.
	mostUnanswered = 1.0 / 500
)

func promises(s *size.Size) []promise {
	size := fullSize(s)
	zones, _ := s.Zones()
	urgent := urgentLimit(s)
	loads := func(parameter measurement.Parameter) func(*report) finding {
		return func(r *report) finding { return r.loadFinding(parameter) }
	}
	budget := func(resource string, control bool) func(*report) finding {
		return func(r *report) finding { return r.budgetFinding(key{measurement.Scheduler, resource}, control) }
	}
	return []promise{
		{fmt.Sprintf("%s workers", number(size.Workers)), "`directory`, `policy`, `provider`", "policy", "", 0, 0,
			loads(measurement.Workers)},
		{fmt.Sprintf("%s accelerators", number(size.Accelerators)), "slots of a worker (`policy`)", "policy", "", 0, 0,
			loads(measurement.Accelerators)},
		{fmt.Sprintf("%s jobs a day", number(float64(s.Tasks.Jobs))), "a job is served task by task (`frontend`, `policy`)",
			"policy", "", float64(s.Tasks.Jobs), 0, loads(measurement.TaskStartsPerSecond)},
		{fmt.Sprintf("%s task starts a second", number(size.TaskStartsPerSecond)), "`frontend`, `policy`, `provider`", "policy",
			"", 0, s.Tasks.StartsPerS * secondsOfDay, loads(measurement.TaskStartsPerSecond)},
		{fmt.Sprintf("%s tasks running", number(size.TasksRunning)), "`dispatch`, `provider`", "policy", "", 0, 0,
			loads(measurement.TasksRunning)},
		{fmt.Sprintf("gangs of up to %d", largestGang(s)), "", "", "nothing places several tasks at once or none",
			0, float64(s.Tasks.Jobs), nil},
		{fmt.Sprintf("%s teams with quotas", number(size.Tenants)), "`policy` (the rate that one scheduler sees, times the schedulers)",
			"policy", "a quota over all schedulers, where their shares of a team's tasks differ", 0, 0, nil},
		{fmt.Sprintf("urgent work starts within %s s", number(urgent)), "worth and aim of a class (`policy`); nothing is kept free for it",
			"policy", "", 0, 0, func(r *report) finding { return r.urgent(urgent) }},
		{fmt.Sprintf("%d regions with %d zones", len(s.Regions), len(zones)), "zones (`policy`)", "policy",
			"nothing knows of regions; membership's timing assumes one network", s.Failures.RegionCutsPerYear / daysOfYear, 0,
			func(r *report) finding { return r.regions() }},
		{fmt.Sprintf("%s changes of configuration a day, in force everywhere within %s s", number(s.Configuration.ChangesPerDay),
			number(s.Configuration.InForceWithinS)), "`configuration/source`, `configuration/follower`", "configuration/follower", "",
			s.Configuration.ChangesPerDay, 0, func(r *report) finding { return r.inForce(s.Configuration.InForceWithinS) }},
		{fmt.Sprintf("control takes at most %s%% of a core of a scheduler", number(s.Budget.CPUPercent)), "see the table of budgets",
			"policy", "", 0, 0, budget(cpu, true)},
		{fmt.Sprintf("%s MB", number(s.Budget.MemoryMB)), "see the table of budgets", "policy", "", 0, 0, budget(memoryPeak, true)},
		{fmt.Sprintf("%s bytes a second", number(s.Budget.ControlBytes)), "see the table of budgets", "policy", "", 0, 0,
			budget(controlBytes, true)},
		{fmt.Sprintf("%d machines set aside for control", s.Schedulers.Machines), "`configuration/source`", "configuration/source",
			"", 0, 0, func(r *report) finding { return r.machines(s.Schedulers.Machines) }},
	}
}

// largestGang is the most slots that a class of the size takes at once.
func largestGang(s *size.Size) int {
	most := 0
	for _, c := range s.Classes {
		most = max(most, c.Slots)
	}
	return most
}

// urgentLimit is the strictest promise for the start of a task.
func urgentLimit(s *size.Size) float64 {
	limit := 0.0
	for _, c := range s.Classes {
		if c.StartWithinS > 0 && (limit == 0 || c.StartWithinS < limit) {
			limit = c.StartWithinS
		}
	}
	return limit
}

// judge is the verdict on a promise.
func (p *promise) judge(r *report) finding {
	switch {
	case p.missing != "":
		text := p.missing
		if p.measure != nil {
			text += "; " + p.measure(r).text
		}
		return finding{noMechanism, text}
	case p.folder == "" || !r.exists(p.folder):
		return finding{noMechanism, "nothing carries it"}
	}
	return p.measure(r)
}

// promises is the table of the operators' list.
func (r *report) promises() string {
	t := newTable("promise", "mechanism", "verdict", "what was measured", "events a day")
	for _, p := range promises(r.fleet) {
		found := p.judge(r)
		mechanism := p.mechanism
		if mechanism == "" || found.verdict == noMechanism && p.missing == "" {
			mechanism = "none"
		}
		t.row(p.what, mechanism, string(found.verdict), found.text, p.events())
	}
	return t.String()
}

// events says how many a day the list states.
func (p *promise) events() string {
	switch {
	case p.perDay > 0:
		return value(p.perDay)
	case p.most > 0:
		return "not stated, at most " + value(p.most)
	}
	return "not stated"
}

// aDay is the rate of events from which a stated rate goes before one that is only bounded.
const aDay = 1

// missing lists the promises that are not kept in the order in which they are to be met: those that nothing carries go
// before those over their budget. Of these, first those with a stated rate of one event a day or more, the most first;
// then those of which only the most is known; then the rest.
func (r *report) missing() string {
	type open struct {
		promise
		found finding
	}
	var list []open
	for _, p := range promises(r.fleet) {
		if found := p.judge(r); found.verdict == noMechanism || found.verdict == over {
			list = append(list, open{p, found})
		}
	}
	slices.SortStableFunc(list, func(a, b open) int {
		if a.found.verdict != b.found.verdict {
			if a.found.verdict == noMechanism {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(daily(b.perDay), daily(a.perDay)), cmp.Compare(b.most, a.most), cmp.Compare(b.perDay, a.perDay))
	})
	t := newTable("order", "promise", "verdict", "events a day", "why")
	for i, p := range list {
		t.row(fmt.Sprint(i+1), p.what, string(p.found.verdict), p.events(), p.found.text)
	}
	return t.String()
}

// daily is a rate of one event a day or more, else 0.
func daily(perDay float64) float64 {
	if perDay < aDay {
		return 0
	}
	return perDay
}

// regions says what was measured with all regions apart as the size has them.
func (r *report) regions() finding {
	size := fullSize(r.fleet)
	count, all := 0, 0
	for _, f := range r.files {
		for i := range f.Points {
			p := &f.Points[i]
			if p.Usage(measurement.Scheduler) == nil || p.Parameters.Regions < size.Regions ||
				p.Parameters.RoundTripMS < size.RoundTripMS {
				continue
			}
			all++
			if p.Valid {
				count++
			}
		}
	}
	return finding{notMeasured, fmt.Sprintf("of %d runs with %s regions and %s ms or more between them %d count", all,
		number(size.Regions), number(size.RoundTripMS), count)}
}

// loadFinding judges a parameter of the load: the point nearest to the size whose service was counted.
func (r *report) loadFinding(parameter measurement.Parameter) finding {
	size := fullSize(r.fleet)
	want, _ := size.Value(parameter)
	var best *measurement.Point
	var file string
	for _, f := range r.files {
		for i := range f.Points {
			p := &f.Points[i]
			if !p.Valid || p.Service == nil || len(p.Failures) > 0 || p.Service.Asked == 0 {
				continue
			}
			if best == nil || nearer(size, p, best, parameter) {
				best, file = p, f.Name
			}
		}
	}
	if best == nil {
		return finding{notMeasured, "no run with its service counted"}
	}
	value, _ := best.Parameters.Value(parameter)
	s := best.Service
	asked := float64(s.Asked)
	text := fmt.Sprintf("%s at once with %s workers, %s running, %s starts/s: service %s, %s%% done, %s%% refused, %s%% failed, "+
		"%d of %d unanswered (%s)", number(value), number(best.Parameters.Workers), number(best.Parameters.TasksRunning),
		number(best.Parameters.TaskStartsPerSecond), measured(s.Share), measured(percent*float64(s.Done)/asked),
		measured(percent*float64(s.Refused)/asked), measured(percent*float64(s.Failed)/asked), s.Unanswered, s.Asked, file)
	if len(s.RulesBroken) > 0 {
		text += "; rules broken: " + strings.Join(s.RulesBroken, ", ")
	}
	switch {
	case len(s.RulesBroken) > 0 || float64(s.Unanswered) > mostUnanswered*asked || float64(s.Done) < leastDone*asked:
		return finding{over, text}
	case value < want*(1-sameParameter):
		return finding{notMeasured, "no run at the size; " + text}
	}
	return finding{within, text}
}

// nearer tells whether a is nearer to the size than b: first by the parameter itself, then by workers, tasks running and
// starts together, as the least of their shares.
func nearer(size measurement.Parameters, a, b *measurement.Point, parameter measurement.Parameter) bool {
	x, y := part(size, a, parameter), part(size, b, parameter)
	if !near(x, y) {
		return x > y
	}
	return leastPart(size, a) > leastPart(size, b)
}

// part is a point's share of a parameter of the size, 1 at most.
func part(size measurement.Parameters, p *measurement.Point, parameter measurement.Parameter) float64 {
	want, _ := size.Value(parameter)
	value, _ := p.Parameters.Value(parameter)
	if want == 0 {
		return 1
	}
	return min(1, value/want)
}

func leastPart(size measurement.Parameters, p *measurement.Point) float64 {
	return min(part(size, p, measurement.Workers), part(size, p, measurement.TasksRunning),
		part(size, p, measurement.TaskStartsPerSecond))
}

// urgent judges the promise for the start of urgent tasks.
func (r *report) urgent(limit float64) finding {
	size := fullSize(r.fleet)
	var best *measurement.Point
	var file string
	for _, f := range r.files {
		for i := range f.Points {
			p := &f.Points[i]
			if !p.Valid || p.Service == nil || p.Service.UrgentWorst == nil || len(p.Failures) > 0 {
				continue
			}
			if best == nil || leastPart(size, p) > leastPart(size, best) {
				best, file = p, f.Name
			}
		}
	}
	if best == nil {
		return finding{notMeasured, "no run with urgent tasks"}
	}
	worst := *best.Service.UrgentWorst
	text := fmt.Sprintf("worst %s s", measured(worst))
	if p99 := best.Service.UrgentStartP99; p99 != nil {
		text += fmt.Sprintf(", p99 %s s", measured(*p99))
	}
	text += fmt.Sprintf(" with %s workers, %s running, %s starts/s (%s)", number(best.Parameters.Workers),
		number(best.Parameters.TasksRunning), number(best.Parameters.TaskStartsPerSecond), file)
	switch {
	case worst > limit:
		return finding{over, text}
	case leastPart(size, best) < 1-sameParameter:
		return finding{notMeasured, "no run at the size; " + text}
	}
	return finding{within, text}
}

// budgetFinding is the verdict of the budgets' table.
func (r *report) budgetFinding(k key, control bool) finding {
	for _, row := range budgetRows() {
		if row.key != k || row.control != control || row.follows != (control && r.followable(k)) {
			continue
		}
		f := r.rowFigure(row)
		budget := row.budget(r.fleet)
		found := finding{judge(f, budget), ""}
		if f != nil {
			found.text = interval(f.estimate) + " " + row.unit
			if d := doubt(f, budget); d != "" {
				found.text += "; " + d
			}
		}
		return found
	}
	return finding{notMeasured, ""}
}
