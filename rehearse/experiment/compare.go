package experiment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"

	"laddertide/rehearse/experiment/trial"
	"laddertide/rehearse/report"
	"laddertide/rehearse/scenario"
)

// Compare is which runs two daemons play.
type Compare struct {
	A, B      Player
	Scenarios []*scenario.Scenario
	Seeds     []uint64
	Changes   scenario.Overrides
	// with two or more, the halves of a pair are played side by side, so many runs in all
	Parallel int
	Say      func(string)                          // as of Options
	Keep     func(half int, run *report.Run) error // is given each run that was played, of A with 0; may be nil
}

// Half is what one daemon made of a run: all its tries.
type Half []*Outcome

// Pair is a run that both daemons played.
type Pair struct {
	Scenario string
	Seed     uint64
	A, B     Half
}

// Counts says whether both halves' figures do. The halves' last tries were played beside each other.
func (p *Pair) Counts() bool {
	a, b := last(p.A), last(p.B)
	return a != nil && b != nil && a.counts() == "yes" && b.counts() == "yes"
}

// Play plays all pairs: one half after the other with the order changing from pair to pair, or side by side, so that
// neither daemon has more of a machine's good moments. A pair of which a half was late is played again, both halves of
// it. Cut short, it returns the pairs that were over.
func (c *Compare) Play(ctx context.Context) ([]Pair, error) {
	type job struct {
		sc   *scenario.Scenario
		seed uint64
	}
	var jobs []job
	length := 0.0
	for _, seed := range c.Seeds { // outermost: cut short, there are whole seeds
		for _, sc := range c.Scenarios {
			plan, err := sc.Draw(seed, c.Changes)
			if err != nil {
				return nil, err
			}
			length += (plan.Length + around).Seconds()
			jobs = append(jobs, job{sc, seed})
		}
	}
	beside := c.Parallel >= 2
	pairsAtOnce, how := 1, "one half after the other"
	if beside {
		pairsAtOnce, how = c.Parallel/2, "the halves side by side"
	} else {
		length *= 2
	}
	say := func(format string, args ...any) {
		if c.Say != nil {
			c.Say(fmt.Sprintf(format, args...))
		}
	}
	say("%s (%s, %s), %s, %d at a time: about %s", plural(len(jobs), "pair"), plural(len(c.Scenarios), "scenario"),
		plural(len(c.Seeds), "seed"), how, pairsAtOnce, rough(seconds(length/float64(min(pairsAtOnce, len(jobs))))))
	pairs := make([]*Pair, len(jobs))
	var mu sync.Mutex // for keep
	clock := newClock(len(jobs), pairsAtOnce)
	err := side(ctx, len(jobs), pairsAtOnce, func(ctx context.Context, i int) error {
		j := jobs[i]
		p := &Pair{Scenario: j.sc.Name, Seed: j.seed}
		for range Tries {
			a, b, err := c.once(ctx, j.sc, j.seed, i%2 == 1, beside, &mu)
			if a != nil {
				p.A = append(p.A, a)
			}
			if b != nil {
				p.B = append(p.B, b)
			}
			pairs[i] = p // a rule that only one half has broken is to be known, however the other ends
			if err != nil {
				return err
			}
			if !a.Late && !b.Late {
				break
			}
		}
		a, b := last(p.A), last(p.B)
		at, left := clock.tick()
		say("%s %s, seed %d: A %.3f, %s%s; B %.3f, %s%s%s", at, p.Scenario, p.Seed, a.Service, rulesText(a),
			countsText(a),
			b.Service, rulesText(b), countsText(b), left)
		return nil
	})
	var out []Pair
	for _, p := range pairs {
		if p != nil {
			out = append(out, *p)
		}
	}
	if ctx.Err() != nil {
		err = errors.New("interrupted")
	}
	return out, err
}

// once plays both halves of a pair once.
func (c *Compare) once(ctx context.Context, sc *scenario.Scenario, seed uint64, swap, beside bool, mu *sync.Mutex) (a,
	b *Outcome, err error) {
	halves := []int{0, 1}
	if swap {
		halves = []int{1, 0}
	}
	out, n := make([]*Outcome, 2), 1
	if beside {
		n = 2
	}
	err = side(ctx, 2, n, func(ctx context.Context, i int) error {
		half := halves[i]
		plan, err := sc.Draw(seed, c.Changes) // each its own: nothing that a run does to its plan reaches the other
		if err != nil {
			return err
		}
		run, err := []Player{c.A, c.B}[half].Play(ctx, plan)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err != nil {
			return fmt.Errorf("%s: %s, seed %d: %w", []string{"A", "B"}[half], sc.Name, seed, err)
		}
		if out[half], err = of(run); err != nil || c.Keep == nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		return c.Keep(half, run)
	})
	return out[0], out[1], err
}

// PairUp makes pairs of what was kept of earlier runs: those of the same scenario and seed, played in the same size.
// alone is how many reports have no match.
func PairUp(a, b []*Outcome) (pairs []Pair, alone int, err error) {
	type id struct {
		scenario            string
		seed                uint64
		length, rate        float64
		workers, schedulers int
	}
	byID := func(name string, runs []*Outcome) (map[id]*Outcome, error) {
		out := make(map[id]*Outcome)
		for _, o := range runs {
			k := id{o.Scenario, o.Seed, o.LengthS, o.Rate, o.Workers, o.Schedulers}
			if old := out[k]; old != nil && old.counts() == "yes" && o.counts() == "yes" {
				return nil, fmt.Errorf("%s: %s, seed %d is there twice", name, o.Scenario, o.Seed)
			} else if old != nil && old.counts() == "yes" {
				continue // a try that counts goes before one that does not
			}
			out[k] = o
		}
		return out, nil
	}
	as, err := byID("A", a)
	if err != nil {
		return nil, 0, err
	}
	bs, err := byID("B", b)
	if err != nil {
		return nil, 0, err
	}
	for k, o := range as {
		if other := bs[k]; other != nil {
			pairs = append(pairs, Pair{k.scenario, k.seed, Half{o}, Half{other}})
		}
	}
	slices.SortFunc(pairs, func(x, y Pair) int {
		return cmp.Or(cmp.Compare(x.Seed, y.Seed), cmp.Compare(x.Scenario, y.Scenario), cmp.Compare(last(x.A).Rate,
			last(y.A).Rate),
			cmp.Compare(last(x.A).LengthS, last(y.A).LengthS), cmp.Compare(last(x.A).Workers, last(y.A).Workers),
			cmp.Compare(last(x.A).Schedulers, last(y.A).Schedulers))
	})
	if len(pairs) == 0 {
		return nil, 0, errors.New("no run of A has one of B of the same scenario, seed and size")
	}
	return pairs, len(as) + len(bs) - 2*len(pairs), nil
}

// Line is one figure of a comparison.
type Line struct {
	Scenario string // empty: over all of them
	Figure   string
	trial.Difference
}

// Comparison is what pairs say.
type Comparison struct {
	NameA, NameB     string
	Lines            []Line
	Pairs            int // that count
	Seeds            int // for which the pairs of all scenarios count
	Scenarios        []string
	LeftOut          []string
	BrokenA, BrokenB []string
	Partial          string   // why it was cut short; empty: it was not
	Said             []string // what it comes to, in plain sentences
}

// shown is a difference in service about which something is always said.
const shown = 0.01

type comparedFigure struct {
	name string
	of   func(*Outcome) float64 // NaN: a run says nothing of it
}

// compared are the figures of a comparison.
func compared(pairs []Pair) []comparedFigure {
	out := []comparedFigure{
		{"service", func(o *Outcome) float64 { return o.Service }},
		{"worst_10s", func(o *Outcome) float64 { return o.Worst10s }},
	}
	for _, c := range classesOf(pairs) {
		out = append(out, comparedFigure{c + " in_time", func(o *Outcome) float64 { return o.Classes[c].inTime() }},
			comparedFigure{c + p99, func(o *Outcome) float64 { return o.Classes[c].latency(o.Classes[c].P99) }})
	}
	return append(out, comparedFigure{"daemon CPU ms a request", (*Outcome).cpuMS})
}

func classesOf(pairs []Pair) []string {
	var out []string
	for _, p := range pairs {
		for _, o := range slices.Concat(p.A, p.B) {
			for name := range o.Classes {
				if !slices.Contains(out, name) {
					out = append(out, name)
				}
			}
		}
	}
	slices.Sort(out)
	return out
}

// Conclude draws from pairs what they say. What counts as one observation is a seed: over several scenarios, the mean
// of a seed's pairs, as the same seed draws the same fleet in all of them and its pairs are not independent of each
// other.
func Conclude(nameA, nameB string, pairs []Pair) *Comparison {
	out := &Comparison{NameA: nameA, NameB: nameB}
	by := make(map[string][]Pair)
	for _, p := range pairs {
		if !slices.Contains(out.Scenarios, p.Scenario) {
			out.Scenarios = append(out.Scenarios, p.Scenario)
		}
		what := fmt.Sprintf("%s, seed %d", p.Scenario, p.Seed)
		out.BrokenA = append(out.BrokenA, p.A.broken(what)...)
		out.BrokenB = append(out.BrokenB, p.B.broken(what)...)
		if !p.Counts() {
			out.LeftOut = append(out.LeftOut, what+": "+p.why())
			continue
		}
		out.Pairs++
		by[p.Scenario] = append(by[p.Scenario], p)
	}
	slices.Sort(out.Scenarios)
	units := whole(by, out.Scenarios)
	out.Seeds = len(units)
	for _, f := range compared(pairs) {
		if len(out.Scenarios) > 1 {
			out.Lines = append(out.Lines, Line{"", f.name, trial.Paired(f.over(units))})
		}
		for _, name := range out.Scenarios {
			var single [][]Pair
			for _, p := range by[name] {
				single = append(single, []Pair{p})
			}
			out.Lines = append(out.Lines, Line{name, f.name, trial.Paired(f.over(single))})
		}
	}
	out.Said = out.sentences()
	return out
}

func (h Half) broken(what string) []string {
	for _, o := range h {
		if o.Breaches() == 0 {
			continue
		}
		var parts []string
		for name, n := range o.Rules {
			if n > 0 {
				parts = append(parts, fmt.Sprintf("%s %d", name, n))
			}
		}
		slices.Sort(parts)
		return []string{what + ": " + strings.Join(parts, ", ")}
	}
	return nil
}

// why says why a pair does not count.
func (p *Pair) why() string {
	for _, h := range []struct {
		name string
		half Half
	}{{"A", p.A}, {"B", p.B}} {
		switch o := last(h.half); {
		case o == nil:
			return h.name + " was not played to its end"
		case o.Partial:
			return h.name + " was cut off"
		case o.Late:
			return fmt.Sprintf("the kit was late with %s (p99 %.3g ms, worst step of the plan %.3g ms), in %s", h.name, o.LateMS, o.Kit.StepLateMax, tried(len(h.half)))
		}
	}
	return ""
}

// whole are the seeds for which the pairs of all scenarios count, each with its pairs. Runs of one scenario and seed in
// different sizes, as reports may have them, belong to the seed, too.
func whole(by map[string][]Pair, scenarios []string) [][]Pair {
	bySeed := make(map[uint64][]Pair)
	has := make(map[uint64]map[string]bool)
	for name, pairs := range by {
		for _, p := range pairs {
			if bySeed[p.Seed] = append(bySeed[p.Seed], p); has[p.Seed] == nil {
				has[p.Seed] = make(map[string]bool)
			}
			has[p.Seed][name] = true
		}
	}
	var out [][]Pair
	for seed, pairs := range bySeed {
		if len(has[seed]) == len(scenarios) {
			out = append(out, pairs)
		}
	}
	slices.SortFunc(out, func(a, b []Pair) int { return cmp.Compare(a[0].Seed, b[0].Seed) })
	for _, ps := range out { // in one order, as sums of floats hang on it
		slices.SortStableFunc(ps, func(a, b Pair) int { return cmp.Compare(a.Scenario, b.Scenario) })
	}
	return out
}

// over makes one pair of numbers of each unit: the means of its pairs' figures, with equal weight for each scenario.
func (f *comparedFigure) over(units [][]Pair) []trial.Pair {
	var out []trial.Pair
	for _, unit := range units {
		sum, n := trial.Pair{}, 0.0
		for i := 0; i < len(unit); {
			var of trial.Pair
			k := 0
			for i+k < len(unit) && unit[i+k].Scenario == unit[i].Scenario {
				of.A += f.of(last(unit[i+k].A))
				of.B += f.of(last(unit[i+k].B))
				k++
			}
			sum.A += of.A / float64(k)
			sum.B += of.B / float64(k)
			n++
			i += k
		}
		out = append(out, trial.Pair{A: sum.A / n, B: sum.B / n})
	}
	return out
}

// line finds a line.
func (c *Comparison) line(scenario, figure string) *Line {
	for i := range c.Lines {
		if c.Lines[i].Scenario == scenario && c.Lines[i].Figure == figure {
			return &c.Lines[i]
		}
	}
	return nil
}

// sentences say what the service comes to, and name the other figures that differ.
func (c *Comparison) sentences() []string {
	scope, unit := "", "pair"
	if len(c.Scenarios) == 1 {
		scope = c.Scenarios[0]
	} else {
		unit = "seed"
	}
	l := c.line(scope, "service")
	if l == nil || l.N == 0 {
		if c.Pairs > 0 {
			return []string{fmt.Sprintf("No seed has pairs of all %d scenarios that count: "+
				"see each scenario by itself.", len(c.Scenarios))}
		}
		return []string{"Nothing can be said: no pair counts."}
	}
	with := plural(l.N, unit)
	if unit == "seed" {
		with += fmt.Sprintf(" (each over %d scenarios)", len(c.Scenarios))
	}
	var out []string
	need := ""
	if n := trial.PairsToShow(l.SD, shown); n > l.N {
		need = fmt.Sprintf("; about %s would show one of %g", plural(n, unit), shown)
	} else if n > 0 {
		need = fmt.Sprintf("; one of %g would most likely have shown", shown)
	}
	switch {
	case l.N == 1:
		out = append(out, fmt.Sprintf("B serves %s, but one %s tells nothing of noise: play more seeds.",
			moreLess(l.Mean, 3), unit))
	case l.Told():
		out = append(out, fmt.Sprintf("B serves %s (%s), with %s.", moreLess(l.Mean, 3), between(&l.Difference, 3),
			with))
	case l.SD == 0:
		out = append(out, fmt.Sprintf("A and B served just the same in all %s.", with))
	default:
		out = append(out, fmt.Sprintf("No difference can be told from noise with %s (%s)%s.", with,
			signed(&l.Difference, 3), need))
	}
	for i := range c.Lines {
		l := &c.Lines[i]
		if l.Scenario != scope || l.Figure == "service" || !l.Told() {
			continue
		}
		d := l.decimals()
		out = append(out, fmt.Sprintf("%s: B has %s (%s).", l.Figure, moreLess(l.Mean, d), between(&l.Difference, d)))
	}
	return out
}

const p99 = " p99_ms"

// decimals are those with which a figure is worth being read.
func (l *Line) decimals() int {
	if strings.HasSuffix(l.Figure, p99) {
		return 0
	}
	return 3
}

func moreLess(d float64, decimals int) string {
	if d < 0 {
		return fmt.Sprintf("%.*f less", decimals, -d)
	}
	return fmt.Sprintf("%.*f more", decimals, d)
}

// between words the size of a difference of known sign.
func between(d *trial.Difference, decimals int) string {
	low, high := math.Abs(d.Low), math.Abs(d.High)
	return fmt.Sprintf("%.*f to %.*f", decimals, min(low, high), decimals, max(low, high))
}

// signed words a difference whose sign is not known.
func signed(d *trial.Difference, decimals int) string {
	return fmt.Sprintf("B - A: %.*f, %.*f to %.*f", decimals, d.Mean, decimals, d.Low, decimals, d.High)
}

// Broken says whether either broke a rule.
func (c *Comparison) Broken() bool { return len(c.BrokenA)+len(c.BrokenB) > 0 }

// Print writes the comparison for people.
func (c *Comparison) Print(w io.Writer) {
	fmt.Fprintf(w, "A is %s\nB is %s\n\n", c.NameA, c.NameB)
	scopes := c.Scenarios
	if len(scopes) > 1 {
		scopes = append([]string{""}, scopes...)
	}
	for _, scope := range scopes {
		var rows [][]string
		for i := range c.Lines {
			l := &c.Lines[i]
			if l.Scenario != scope {
				continue
			}
			row := []string{l.Figure, fmt.Sprint(l.N)}
			d := l.decimals()
			for _, x := range []float64{l.A, l.B, l.Mean, l.Low, l.High} {
				row = append(row, fixed(x, d))
			}
			rows = append(rows, append(row, fixed(l.SignP, 3)))
		}
		head := scope
		if scope == "" {
			head = "all scenarios"
		}
		grid(w, []string{head, "n", "A", "B", "B - A", "95% from", "to", "sign p"}, rows)
		fmt.Fprintln(w)
	}
	for _, s := range c.Said {
		fmt.Fprintln(w, s)
	}
	list(w, "RULES BROKEN by A", c.BrokenA)
	list(w, "RULES BROKEN by B", c.BrokenB)
	list(w, "Left out", c.LeftOut)
	if c.Partial != "" {
		fmt.Fprintf(w, "PARTIAL: %s; this is of the pairs that were over.\n", c.Partial)
	}
}

func fixed(x float64, decimals int) string {
	if math.IsNaN(x) {
		return "-"
	}
	if s := fmt.Sprintf("%.*f", decimals, x); strings.Trim(s, "-0.") != "" {
		return s
	}
	return fmt.Sprintf("%.*f", decimals, 0.0) // never -0
}
