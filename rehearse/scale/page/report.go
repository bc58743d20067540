package page

import (
	"fmt"
	"strings"

	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
	"laddertide/rehearse/scale/slope"
)

// report is all that the tables are made from.
type report struct {
	fleet          *size.Size
	files          []measurement.Named
	sweeps         []*sweep
	configurations []measurement.NamedConfiguration
	exists         func(folder string) bool // whether a package is in the repository
}

func newReport(fleet *size.Size, files []measurement.Named, configurations []measurement.NamedConfiguration,
	exists func(string) bool) *report {
	return &report{fleet: fleet, files: files, sweeps: sweeps(files), configurations: configurations, exists: exists}
}

// tables are all generated parts of the page by name.
func (r *report) tables() map[string]string {
	return map[string]string{
		"promises":    r.promises(),
		"missing":     r.missing(),
		"budgets":     r.budgets(),
		"units":       r.units(),
		"slopes":      r.slopes(),
		"residuals":   r.residuals(),
		"predictions": r.predictions(),
		"traffic":     r.traffic(),
		"failures":    r.failures(),
		"load":        r.load(),
		"propagation": r.propagation(),
		"changes":     r.changes(),
		"quotas":      r.quotas(),
		"files":       r.measured(),
	}
}

// figure computes a resource at the size.
func (r *report) figure(k key, control bool) *figure {
	for _, res := range resourcesOf(r.files, k.role) {
		if res.name != k.resource {
			continue
		}
		want := fullSize(r.fleet)
		if control {
			want = controlOnly(want)
		}
		return figureAt(k, want, anchors(r.files, k.role, res), chosenSlopes(r.sweeps, k))
	}
	return nil
}

// budgets is the table of roles and resources at the size.
func (r *report) budgets() string {
	t := newTable("role", "resource", "formula", "figure at the size", "budget", "verdict", "measured or computed", "mechanism",
		"from")
	for _, row := range budgetRows() {
		if row.role == measurement.ConfigurationSource {
			r.sourceRow(t, row)
			continue
		}
		f := r.rowFigure(row)
		budget := row.budget(r.fleet)
		name := fmt.Sprintf("%s, %s", row.resource, row.unit)
		if row.control {
			name += ", without tasks"
		}
		if row.follows {
			name += ", configuration followed"
		}
		budgetText := "none"
		if budget > 0 {
			budgetText = number(budget) + row.limitOf
		}
		if f == nil {
			t.row(roleName(row.role), name, "", "", budgetText, string(notMeasured), "", row.mechanism, "")
			continue
		}
		v := string(judge(f, budget))
		if d := doubt(f, budget); d != "" {
			v += " (" + d + ")"
		}
		t.row(roleName(row.role), name, formula(f), interval(f.estimate), budgetText, v, origin(f), row.mechanism,
			strings.Join(f.files(), ", "))
	}
	r.perUnitRows(t)
	return t.String()
}

// perUnitRows adds the rows of the roles that are seen from schedulers alone: what one more of them costs a scheduler.
func (r *report) perUnitRows(t *table) {
	for _, role := range []struct {
		role measurement.Role
		by   string
	}{{measurement.Worker, "workers"}, {measurement.Client, "starts/s a scheduler"}} {
		for _, res := range fixedResources() {
			name := fmt.Sprintf("%s, %s, one more of %s costs a scheduler", res.name, res.unit, role.by)
			s := chosenSlopes(r.sweeps, key{measurement.Scheduler, res.name})[role.by]
			if s == nil {
				t.row(roleName(role.role), name, "", "", "none", string(notMeasured), "", "", "")
				continue
			}
			low, high := s.fit.Range()
			t.row(roleName(role.role), name, "the slope", interval(s.fit.Slope), "none", string(noBudget),
				fmt.Sprintf("slope over %d runs from %s to %s", s.fit.N(), value(low), value(high)), "", s.file)
		}
	}
}

func roleName(role measurement.Role) string { return strings.ReplaceAll(string(role), "_", " ") }

// formula writes the figure as a sum over what was varied.
func formula(f *figure) string {
	if len(f.terms) == 0 {
		return "measured" + f.extra.formula()
	}
	constant := f.from.estimate.Value
	var parts []string
	for _, t := range f.terms {
		fit := t.sweep.fit
		if fit.Straight() {
			constant -= fit.Slope.Value * t.from
			parts = append(parts, fmt.Sprintf("%s × %s", interval(fit.Slope), t.sweep.regressor.name))
			continue
		}
		toZero, _ := fit.Change(t.from, 0)
		fromZero, _ := fit.Change(0, 1)
		constant += toZero
		parts = append(parts, fmt.Sprintf("%s × (%s)^%s", measured(fromZero), t.sweep.regressor.name,
			measured(fit.Exponent.Value)))
	}
	return measured(constant) + " + " + strings.Join(parts, " + ") + f.extra.formula()
}

// origin says whether a figure was measured at the size, else from where to where it was computed.
func origin(f *figure) string {
	runs := fmt.Sprintf("%d runs", f.from.runs)
	if f.from.runs == 1 {
		runs = "1 run"
	}
	if len(f.terms) == 0 && len(f.missing) == 0 {
		return "measured at the full size, " + runs
	}
	var parts []string
	for _, t := range f.terms {
		parts = append(parts, fmt.Sprintf("%s from %s to %s%s", t.sweep.regressor.name, value(t.from), value(t.to),
			beyond(t)))
	}
	if len(parts) == 0 {
		return runs + " at a part of the size"
	}
	return "computed from " + runs + ": " + strings.Join(parts, ", ")
}

// beyond says whether a term leaves the range in which its slope was measured.
func beyond(t term) string {
	low, high := t.sweep.fit.Range()
	if t.to < low || t.to > high {
		return fmt.Sprintf(" (slope measured from %s to %s)", value(low), value(high))
	}
	return ""
}

// units is what one worker, task start and so on more costs one instance: the slopes by themselves.
func (r *report) units() string {
	t := newTable("one more", "role that pays", "resource", "costs", "straight", "from")
	for _, reg := range regressors {
		for _, s := range r.sweeps {
			if s.regressor.name != reg.name || !s.usable() || !perUnit(s.key) {
				continue
			}
			t.row(reg.name, roleName(s.key.role), s.key.resource+", "+s.unit, interval(s.fit.Slope), straightness(s.fit), s.file)
		}
	}
	return t.String()
}

// perUnit tells whether a resource is one of those that are listed by unit; kinds of messages are in the slopes.
func perUnit(k key) bool {
	for _, r := range fixedResources() {
		if r.name == k.resource {
			return true
		}
	}
	return false
}

func straightness(f *slope.Fit) string {
	switch {
	case !f.Exponent.Known:
		return "not told"
	case f.Straight():
		return "yes, exponent " + interval(f.Exponent.Estimate)
	}
	return "**not straight**, exponent " + interval(f.Exponent.Estimate)
}

// slopes is each fit.
func (r *report) slopes() string {
	t := newTable("file", "role", "resource", "by", "slope", "intercept", "straight", "R²", "points", "used")
	for _, s := range r.sweeps {
		by := s.regressor.name
		if s.fit == nil {
			t.row(s.file, roleName(s.key.role), s.key.resource+", "+s.unit, by, "no fit: "+s.why, "", "", "",
				fmt.Sprint(len(s.samples)), "no")
			continue
		}
		used := "yes"
		switch {
		case s.confused != "":
			used = "no: " + s.confused + " varies as well"
		case chosenSlopes(r.sweeps, s.key)[s.regressor.name] != s:
			used = "no: another file reaches further"
		}
		low, high := s.fit.Range()
		t.row(s.file, roleName(s.key.role), s.key.resource+", "+s.unit, by, interval(s.fit.Slope), interval(s.fit.Intercept),
			straightness(s.fit), measured(s.fit.RSquared), fmt.Sprintf("%d from %s to %s", s.fit.N(), value(low), value(high)),
			used)
	}
	return t.String()
}

// residuals is what the lines of fixed resources miss at each point.
func (r *report) residuals() string {
	t := newTable("file", "resource", "by", "standard error", "measured less the line at each point")
	for _, s := range r.sweeps {
		if s.fit == nil || !perUnit(s.key) {
			continue
		}
		var parts []string
		for _, res := range s.fit.Residuals {
			parts = append(parts, fmt.Sprintf("%s: %s", value(res.X), measured(res.Difference())))
		}
		t.row(s.file, roleName(s.key.role)+" "+s.key.resource+", "+s.unit, s.regressor.name, measured(s.fit.StandardError),
			strings.Join(parts, "; "))
	}
	return t.String()
}

// predictions holds the highest point against what the lower ones foretell.
func (r *report) predictions() string {
	t := newTable("file", "resource", "highest point", "predicted from the lower ones", "measured", "error",
		"within the interval")
	for _, s := range r.sweeps {
		if !perUnit(s.key) {
			continue
		}
		top, err := slope.CheckTop(s.samples)
		if err != nil {
			continue
		}
		inside := "no"
		if top.Inside() {
			inside = "yes"
		}
		t.row(s.file, roleName(s.key.role)+" "+s.key.resource+", "+s.unit, s.regressor.name+" "+value(top.X),
			interval(top.Predicted), measured(top.Measured), fmt.Sprintf("%+.1f%%", percent*top.Error()), inside)
	}
	return t.String()
}

// traffic is each kind of message at the points that are nearest to the size.
func (r *report) traffic() string {
	t := newTable("role", "kind", "figure at the size", "measured or computed", "from")
	for _, role := range measurement.Roles() {
		for _, kind := range kindsOf(r.files, role) {
			for _, res := range kindResources(kind) {
				f := r.figure(key{role, res.name}, false)
				if f == nil {
					continue
				}
				t.row(roleName(role), res.name+", "+res.unit, interval(f.estimate), withMissing(f), strings.Join(f.files(), ", "))
			}
		}
	}
	return t.String()
}

func withMissing(f *figure) string {
	if len(f.missing) == 0 {
		return origin(f)
	}
	return origin(f) + "; without " + strings.Join(f.missing, ", ")
}

// measured lists the files.
func (r *report) measured() string {
	t := newTable("file", "command", "commit, date", "machine", "points that count", "why others do not")
	for _, f := range r.files {
		valid := 0
		reasons := make(map[string]int)
		var order []string
		for _, p := range f.Points {
			if p.Valid {
				valid++
				continue
			}
			if reasons[p.WhyNot] == 0 {
				order = append(order, p.WhyNot)
			}
			reasons[p.WhyNot]++
		}
		var why []string
		for _, reason := range order {
			why = append(why, fmt.Sprintf("%d: %s", reasons[reason], reason))
		}
		t.row(f.Name, code(f.Command), f.Commit+", "+f.Date, machineText(f.Machine), fmt.Sprintf("%d of %d", valid, len(f.Points)),
			strings.Join(why, "; "))
	}
	for _, c := range r.configurations {
		t.row(c.Name, code(c.Command), c.Commit+", "+c.Date, machineText(c.Machine), "1 of 1", "")
	}
	return t.String()
}

func machineText(m measurement.Machine) string {
	if m == (measurement.Machine{}) {
		return "not recorded"
	}
	return fmt.Sprintf("%s, %d cores, %s GB", m.CPU, m.Cores, measured(float64(m.Memory)/1e9))
}
