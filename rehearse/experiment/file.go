package experiment

import (
	"crypto/sha256"
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"laddertide/rehearse/scenario"
	"laddertide/rehearse/strictyaml"
)

// Sweep is what a sweep's file says.
type Sweep struct {
	About      string     `yaml:"about"`
	Names      []string   `yaml:"scenarios"` // of the program, or files: those with a slash or the end .yaml or .yml
	Seeds      Seeds      `yaml:"seeds"`
	Grid       string     `yaml:"grid"`       // full, which is the default, or one-at-a-time
	Set        Parameters `yaml:"set"`        // one value each, for all runs
	Parameters Parameters `yaml:"parameters"` // the values that are gone through
	MostRuns   int        `yaml:"most_runs"`  // more are refused; 500 if it is not given

	Scenarios []Source `yaml:"-"` // the names' files
}

// Source is a scenario with the fingerprint of its text.
type Source struct {
	*scenario.Scenario
	Text string
}

// The limits of a sweep.
const (
	DefaultRuns  = 500
	MaxRuns      = 10_000
	maxScenarios = 64
	maxValues    = 100
)

// The kinds of grid.
const (
	Full       = "full"
	OneAtATime = "one-at-a-time"
)

// Seeds are a number, for the seeds from 1 on, or a list.
type Seeds []uint64

// UnmarshalYAML reads either.
func (s *Seeds) UnmarshalYAML(n *yaml.Node) error {
	if n.Kind != yaml.ScalarNode {
		var list []uint64
		if err := n.Decode(&list); err != nil {
			return fmt.Errorf("line %d: whole numbers from 0 on are wanted", n.Line)
		}
		*s = list
		return nil
	}
	var count int
	if err := n.Decode(&count); err != nil || count < 1 || count > MaxRuns {
		return fmt.Errorf("line %d: %q is no number of seeds from 1 to %d, nor a list of seeds", n.Line, n.Value,
			MaxRuns)
	}
	for i := range count {
		*s = append(*s, uint64(i+1))
	}
	return nil
}

// Values are a list of numbers, or one.
type Values []float64

// UnmarshalYAML reads either.
func (v *Values) UnmarshalYAML(n *yaml.Node) error {
	if n.Kind == yaml.ScalarNode {
		var one float64
		if err := n.Decode(&one); err != nil {
			return fmt.Errorf("line %d: %q is no number", n.Line, n.Value)
		}
		*v = Values{one}
		return nil
	}
	var list []float64
	if err := n.Decode(&list); err != nil {
		return fmt.Errorf("line %d: a list of numbers is wanted", n.Line)
	}
	*v = list
	return nil
}

// Parameters are what a sweep can move, each with its values.
type Parameters struct {
	Rate       Values `yaml:"rate"`       // jobs a second; the load moves with it unless that is given
	Load       Values `yaml:"load"`       // the share of the fleet's capacity
	Workers    Values `yaml:"workers"`    // how many
	Schedulers Values `yaml:"schedulers"` // how many
	Seconds    Values `yaml:"seconds"`    // for which clients arrive
	Times      Values `yaml:"times"`      // how much larger the part of the workers is that a trouble meets
}

// ParameterNames are the keys of Parameters in the order in which files and tables have them.
var ParameterNames = []string{"rate", "load", "workers", "schedulers", "seconds", "times"}

func (p *Parameters) of(name string) *Values {
	return map[string]*Values{"rate": &p.Rate, "load": &p.Load, "workers": &p.Workers, "schedulers": &p.Schedulers,
		"seconds": &p.Seconds, "times": &p.Times}[name]
}

// limits are those of scenario.Overrides, and whether only whole numbers make sense.
var limits = map[string]struct {
	lo, hi float64
	whole  bool
}{
	"rate": {0.1, scenario.MaxRate, false}, "load": {0.01, 5, false}, "workers": {1, scenario.MaxWorkers, true},
	"schedulers": {1, scenario.MaxSchedulers, true}, "seconds": {1, scenario.MaxSeconds, false}, "times": {0.01, 100,
		false},
}

// LoadSweep reads a sweep from a file, and the scenarios that it names: files from where it lies itself.
func LoadSweep(file string) (*Sweep, error) {
	raw, err := strictyaml.Read(file)
	if err != nil {
		return nil, err
	}
	return ParseSweep(file, raw)
}

// ParseSweep reads a sweep. An error names the file, the line and the key.
func ParseSweep(file string, raw []byte) (*Sweep, error) {
	s := &Sweep{}
	if err := strictyaml.Decode(file, raw, s, func() error { return s.check(filepath.Dir(file)) }); err != nil {
		return nil, err
	}
	return s, nil
}

func mistake(what string, path ...string) error { return &strictyaml.Mistake{Path: path, What: what} }

func (s *Sweep) check(dir string) error {
	if len(s.Names) == 0 || len(s.Names) > maxScenarios {
		return mistake(fmt.Sprintf("1 to %d scenarios are wanted", maxScenarios), "scenarios")
	}
	for i, name := range s.Names {
		src, err := source(dir, name)
		if err != nil {
			return mistake(err.Error(), "scenarios", strconv.Itoa(i))
		}
		if slices.ContainsFunc(s.Scenarios, func(o Source) bool { return o.Name == src.Name }) {
			return mistake(fmt.Sprintf("a scenario called %q is there already", src.Name), "scenarios", strconv.Itoa(i))
		}
		s.Scenarios = append(s.Scenarios, src)
	}
	switch {
	case len(s.Seeds) == 0:
		return mistake("a number of seeds is wanted, or a list of them", "seeds")
	case len(s.Seeds) > MaxRuns:
		return mistake(fmt.Sprintf("over %d", MaxRuns), "seeds")
	case s.Grid != "" && s.Grid != Full && s.Grid != OneAtATime:
		return mistake(fmt.Sprintf("%q is neither %s nor %s", s.Grid, Full, OneAtATime), "grid")
	case s.MostRuns < 0 || s.MostRuns > MaxRuns:
		return mistake(fmt.Sprintf("%d is not between 1 and %d", s.MostRuns, MaxRuns), "most_runs")
	}
	for i, seed := range s.Seeds {
		if slices.Contains(s.Seeds[:i], seed) {
			return mistake(fmt.Sprintf("%d is there twice", seed), "seeds", strconv.Itoa(i))
		}
	}
	for _, name := range ParameterNames {
		if err := checkValues(*s.Set.of(name), name, "set", name); err != nil {
			return err
		}
		if err := checkValues(*s.Parameters.of(name), name, "parameters", name); err != nil {
			return err
		}
		switch n, set := len(*s.Parameters.of(name)), *s.Set.of(name); {
		case len(set) > 1:
			return mistake("one value is wanted; several belong under parameters", "set", name)
		case len(set) == 1 && n > 0:
			return mistake("it is under parameters too", "set", name)
		}
	}
	return s.bounded()
}

func checkValues(vs Values, name string, path ...string) error {
	l := limits[name]
	if len(vs) > maxValues {
		return mistake(fmt.Sprintf("over %d values", maxValues), path...)
	}
	for i, v := range vs {
		at := append(slices.Clone(path), strconv.Itoa(i))
		switch {
		case !(v >= l.lo && v <= l.hi):
			return mistake(fmt.Sprintf("%g is not between %g and %g", v, l.lo, l.hi), at...)
		case l.whole && v != math.Trunc(v):
			return mistake(fmt.Sprintf("%g is no whole number", v), at...)
		case slices.Contains(vs[:i], v):
			return mistake(fmt.Sprintf("%g is there twice", v), at...)
		}
	}
	return nil
}

// bounded refuses more runs than the file wants.
func (s *Sweep) bounded() error {
	points := 1.0
	if s.Grid == OneAtATime {
		points = 0
	}
	for _, name := range ParameterNames {
		n := float64(len(*s.Parameters.of(name)))
		if s.Grid == OneAtATime {
			points += n
		} else {
			points *= max(1, n)
		}
	}
	points = max(1, points)
	most := s.MostRuns
	if most == 0 {
		most = DefaultRuns
	}
	if runs := points * float64(len(s.Names)*len(s.Seeds)); runs > float64(most) {
		return mistake(fmt.Sprintf("%d scenarios, %.0f points and %d seeds make %.0f runs, over %d (most_runs)",
			len(s.Names),
			points, len(s.Seeds), runs, most), "parameters")
	}
	return nil
}

// source reads one scenario.
func source(dir, name string) (Source, error) {
	var raw []byte
	var err error
	if strings.ContainsAny(name, `/\`) || slices.Contains([]string{".yaml", ".yml"}, filepath.Ext(name)) {
		if !filepath.IsAbs(name) {
			name = filepath.Join(dir, name)
		}
		raw, err = strictyaml.Read(name)
	} else {
		raw, err = scenario.Text(name)
		name += ".yaml"
	}
	if err != nil {
		return Source{}, err
	}
	sc, err := scenario.Parse(name, raw)
	return Source{sc, fingerprint(raw)}, err
}

// fingerprint is short, and tells one text from another.
func fingerprint(raw []byte) string { return fmt.Sprintf("%x", sha256.Sum256(raw))[:12] }

// Override sets parameters for all runs, as a command line does: over what the file sets, but never what it moves.
func (s *Sweep) Override(ch scenario.Overrides) error {
	for name, v := range valuesOf(ch) {
		if v == 0 {
			continue
		}
		if len(*s.Parameters.of(name)) > 0 {
			return fmt.Errorf("--%s: the sweep's file moves it", name)
		}
		*s.Set.of(name) = Values{v}
	}
	return nil
}

func valuesOf(ch scenario.Overrides) map[string]float64 {
	return map[string]float64{"rate": ch.Rate, "load": ch.Load, "workers": float64(ch.Workers),
		"schedulers": float64(ch.Schedulers), "seconds": ch.Seconds, "times": ch.TroubleScale}
}

func changesOf(vs map[string]float64) scenario.Overrides {
	return scenario.Overrides{Rate: vs["rate"], Load: vs["load"], Workers: int(vs["workers"]),
		Schedulers: int(vs["schedulers"]), Seconds: vs["seconds"], TroubleScale: vs["times"]}
}

// Points are the settings that the sweep goes through, each once, without scenarios and seeds.
func (s *Sweep) Points() []scenario.Overrides {
	base := make(map[string]float64)
	for _, name := range ParameterNames {
		if set := *s.Set.of(name); len(set) > 0 {
			base[name] = set[0]
		}
	}
	with := func(vs map[string]float64, name string, v float64) map[string]float64 {
		out := map[string]float64{name: v}
		for k, old := range vs {
			if k != name {
				out[k] = old
			}
		}
		return out
	}
	points := []map[string]float64{base}
	var single []map[string]float64
	for _, name := range ParameterNames {
		values := *s.Parameters.of(name)
		var grid []map[string]float64
		for _, p := range points {
			for _, v := range values {
				grid = append(grid, with(p, name, v))
			}
		}
		if len(values) > 0 {
			points = grid
		}
		for _, v := range values {
			single = append(single, with(base, name, v))
		}
		if s.Grid == OneAtATime {
			points = []map[string]float64{base}
		}
	}
	if s.Grid == OneAtATime && len(single) > 0 {
		points = single
	}
	var out []scenario.Overrides
	for _, p := range points {
		out = append(out, changesOf(p))
	}
	return out
}

// moved are the names of the parameters that the sweep moves.
func (s *Sweep) moved() []string {
	var out []string
	for _, name := range ParameterNames {
		if len(*s.Parameters.of(name)) > 0 {
			out = append(out, name)
		}
	}
	return out
}
