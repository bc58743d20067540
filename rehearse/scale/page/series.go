package page

import (
	"fmt"
	"math"
	"slices"

	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/slope"
)

// sweep is one resource of one file that varies a parameter.
type sweep struct {
	file      string
	key       key
	unit      string
	parameter measurement.Parameter // as the file names it
	regressor regressor             // what of it counts
	samples   []slope.Sample
	fit       *slope.Fit
	why       string // why there is no fit
	confused  string // a regressor that moves as well, so that the slope can't be told apart
}

// sweeps fits all resources of all files that vary a parameter.
func sweeps(files []measurement.Named) []*sweep {
	var out []*sweep
	for _, f := range files {
		if f.Varied == "" {
			continue
		}
		for _, role := range measurement.Roles() {
			for _, r := range resourcesOf(files, role) {
				if s := newSweep(f, role, r); s != nil {
					out = append(out, s)
				}
			}
		}
	}
	return out
}

func resourcesOf(files []measurement.Named, role measurement.Role) []resource {
	list := fixedResources()
	for _, kind := range kindsOf(files, role) {
		list = append(list, kindResources(kind)...)
	}
	return list
}

// newSweep fits one resource, or returns nil if no valid point has it.
func newSweep(f measurement.Named, role measurement.Role, r resource) *sweep {
	parameter := measurement.Parameter(f.Varied)
	reg, known := regressorBy(parameter)
	if !known {
		reg = regressor{name: "real schedulers", by: parameter, of: func(p *measurement.Parameters) float64 {
			value, _ := p.Value(parameter)
			return value
		}}
	}
	s := &sweep{file: f.Name, key: key{role, r.name}, unit: r.unit, parameter: parameter, regressor: reg}
	var used []*measurement.Parameters
	for i := range f.Points {
		p := &f.Points[i]
		y, ok := valueAt(p, role, r)
		if !ok {
			continue
		}
		s.samples = append(s.samples, slope.Sample{X: reg.of(&p.Parameters), Y: y})
		used = append(used, &p.Parameters)
	}
	if len(s.samples) == 0 {
		return nil
	}
	if !known {
		s.confused = "load and members of each"
	} else {
		s.confused = confusion(reg, used)
	}
	fit, err := slope.New(s.samples)
	if err != nil {
		s.why = err.Error()
		return s
	}
	s.fit = fit
	return s
}

// valueAt is a resource at a valid point without a failure.
func valueAt(p *measurement.Point, role measurement.Role, r resource) (float64, bool) {
	u := p.Usage(role)
	if !p.Valid || len(p.Failures) > 0 || u == nil {
		return 0, false
	}
	return r.of(u, p.WindowSeconds)
}

// confusion names a regressor that moves with the swept one and isn't covered by it.
func confusion(swept regressor, points []*measurement.Parameters) string {
	for _, other := range regressors {
		if other.name == swept.name {
			continue
		}
		for _, p := range points[1:] {
			if other.of(p) != other.of(points[0]) && !swept.covers(other, p, points[0]) {
				return other.name
			}
		}
	}
	return ""
}

// usable tells whether the slope may be part of a sum.
func (s *sweep) usable() bool { return s.fit != nil && s.confused == "" }

// anchor is a measured point that a figure is computed from.
type anchor struct {
	file       string
	parameters measurement.Parameters
	estimate   slope.Estimate
	runs       int
}

// anchors are the means of a resource at all points that were measured.
func anchors(files []measurement.Named, role measurement.Role, r resource) []anchor {
	var out []anchor
	for _, f := range files {
		var order []measurement.Parameters
		values := make(map[measurement.Parameters][]float64)
		for i := range f.Points {
			p := &f.Points[i]
			y, ok := valueAt(p, role, r)
			if !ok {
				continue
			}
			if values[p.Parameters] == nil {
				order = append(order, p.Parameters)
			}
			values[p.Parameters] = append(values[p.Parameters], y)
		}
		for _, parameters := range order {
			at := values[parameters]
			out = append(out, anchor{f.Name, parameters, slope.Mean(at), len(at)})
		}
	}
	return out
}

// figure is a resource at a size, measured or computed.
type figure struct {
	estimate slope.Estimate
	from     anchor
	terms    []term   // empty: measured there
	missing  []string // regressors that differ and were not varied
	extra    extra    // what following the configuration adds
}

// term is one regressor's part of a computed figure.
type term struct {
	sweep    *sweep
	from, to float64
	part     float64
}

// figureAt computes a resource at a size from the anchor that leaves the fewest regressors unknown and the least to
// compute, and the slopes. It returns nil if nothing was measured.
func figureAt(k key, want measurement.Parameters, list []anchor, slopes map[string]*sweep) *figure {
	var best *figure
	for _, a := range list {
		f := compute(k, want, a, slopes)
		if best == nil || better(f, best) {
			best = f
		}
	}
	return best
}

func better(a, b *figure) bool {
	if len(a.missing) != len(b.missing) {
		return len(a.missing) < len(b.missing)
	}
	return a.computed() < b.computed()
}

// computed is how much of a figure is no measurement.
func (f *figure) computed() float64 {
	sum := 0.0
	for _, t := range f.terms {
		sum += math.Abs(t.part)
	}
	return sum
}

// compute adds to an anchor the part of each regressor that differs.
func compute(k key, want measurement.Parameters, a anchor, slopes map[string]*sweep) *figure {
	f := &figure{from: a}
	total := a.estimate.Value
	variance := square(a.estimate.High - a.estimate.Value)
	covered := make(map[string]bool)
	for _, r := range regressors {
		for _, other := range regressors {
			if slopes[r.name] != nil && r.covers(other, &want, &a.parameters) {
				covered[other.name] = true
			}
		}
	}
	for _, r := range regressors {
		from, to := r.of(&a.parameters), r.of(&want)
		if near(from, to) || covered[r.name] || !slices.Contains(relevant(k), r.name) {
			continue
		}
		s := slopes[r.name]
		if s == nil {
			f.missing = append(f.missing, fmt.Sprintf("%s (%s there, %s wanted)", r.name, value(from), value(to)))
			continue
		}
		part, half := s.fit.Change(from, to)
		total += part
		variance += square(half)
		f.terms = append(f.terms, term{s, from, to, part})
	}
	half := math.Sqrt(variance)
	f.estimate = slope.Estimate{Value: total, Low: total - half, High: total + half}
	return f
}

// sameParameter is the share by which two values of a parameter may differ and still count as one.
const sameParameter = 0.01

func near(a, b float64) bool { return math.Abs(a-b) <= sameParameter*max(math.Abs(a), math.Abs(b)) }

func square(x float64) float64 { return x * x }

// chosenSlopes picks for each regressor the sweep of a resource that reaches furthest, of equals the last file's.
func chosenSlopes(all []*sweep, k key) map[string]*sweep {
	out := make(map[string]*sweep)
	for _, s := range all {
		if s.key != k || !s.usable() {
			continue
		}
		old := out[s.regressor.name]
		if old == nil || reach(s) >= reach(old) {
			out[s.regressor.name] = s
		}
	}
	return out
}

func reach(s *sweep) float64 {
	return slices.MaxFunc(s.samples, func(a, b slope.Sample) int { return compareFloats(a.X, b.X) }).X
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
