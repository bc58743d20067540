package experiment

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"laddertide/rehearse/experiment/trial"
	"laddertide/rehearse/scenario"
)

// point is a row of summary.csv: all that count of a scenario's runs with one setting.
type point struct {
	scenario string
	changes  scenario.Overrides
	runs     int // that count
	leftOut  int // played, but none of their tries counts
	missing  int // not played
	broken   int // in which a rule was broken, whether they count or not
	figures  []trial.Interval
}

// summarised are the columns whose means mean something.
func (o *Swept) summarised() []string {
	out := []string{"service", "worst_10s"}
	for _, c := range o.classes {
		out = append(out, c+".in_time_share", c+".p50_ms", c+".p99_ms")
	}
	return append(out, "attempts", "crossings", "wasted_share", "daemon_cpu_ms_request", "daemon_peak_mb", "late_ms")
}

// points are the means and 95% intervals over the seeds.
func (o *Swept) points() []point {
	var out []point
	var values [][]float64
	at := make(map[key]int) // without the seed
	names := o.summarised()
	breaches := o.column("breaches")
	o.each(func(k key, tries []Row) {
		id := key{scenario: k.scenario, changes: k.changes}
		i, ok := at[id]
		if !ok {
			i = len(out)
			at[id] = i
			out = append(out, point{scenario: k.scenario, changes: k.changes})
			values = append(values, make([][]float64, len(names))...)
		}
		p := &out[i]
		if slices.ContainsFunc(tries, func(r Row) bool { return r.Figures[breaches] > 0 }) {
			p.broken++
		}
		r := counted(tries)
		switch {
		case r != nil:
			p.runs++
			for n, name := range names {
				values[i*len(names)+n] = append(values[i*len(names)+n], r.Figures[o.column(name)])
			}
		case len(tries) > 0:
			p.leftOut++
		default:
			p.missing++
		}
	})
	for i := range out {
		for n := range names {
			out[i].figures = append(out[i].figures, trial.Mean(values[i*len(names)+n]))
		}
	}
	return out
}

func (o *Swept) summary(points []point) []byte {
	head := slices.Concat([]string{"scenario"}, ParameterNames, []string{"runs", "left_out", "missing", "broken"})
	for _, name := range o.summarised() {
		head = append(head, name, name+".low", name+".high")
	}
	b := bytes.NewBuffer(line(head))
	for _, p := range points {
		r := Row{Scenario: p.scenario, Changes: p.changes}
		fields := []string{p.scenario}
		fields = append(fields, r.fields()[2:2+len(ParameterNames)]...)
		for _, n := range []int{p.runs, p.leftOut, p.missing, p.broken} {
			fields = append(fields, strconv.Itoa(n))
		}
		for _, f := range p.figures {
			fields = append(fields, number(f.Mean), number(f.Low), number(f.High))
		}
		b.Write(line(fields))
	}
	return b.Bytes()
}

// write writes all files but runs.csv, which is there already.
func (o *Swept) write(dir string) error {
	points := o.points()
	if err := replace(filepath.Join(dir, SummaryFile), o.summary(points)); err != nil {
		return err
	}
	plots := o.plots()
	for _, p := range plots {
		if err := replace(filepath.Join(dir, p.File), p.document()); err != nil {
			return err
		}
	}
	page, err := o.page(points, plots)
	if err != nil {
		return err
	}
	return replace(filepath.Join(dir, IndexFile), page)
}

// replace writes a file so that there is the old one or the new one, never half of it.
func replace(file string, data []byte) error {
	next := file + ".new"
	if err := os.WriteFile(next, data, 0o644); err != nil {
		return err
	}
	return os.Rename(next, file)
}

// course is a line of a plot: a scenario's service along one parameter. Where several parameters move, a seed's value
// is the mean over all settings of the others, and only of seeds that have all of them; the interval is over seeds.
type course struct {
	scenario string
	x        []float64
	y        []trial.Interval
}

// courses are the lines along a parameter.
func (o *Swept) courses(parameter, figure string) []course {
	at := o.column(figure)
	var out []course
	for _, src := range o.Sweep.Scenarios {
		c := course{scenario: src.Name}
		for _, v := range sorted(*o.Sweep.Parameters.of(parameter)) {
			var seeds []float64
			for _, seed := range o.Sweep.Seeds {
				sum, n := 0.0, 0
				for _, ch := range o.along(parameter) {
					if valuesOf(ch)[parameter] != v {
						continue
					}
					if r := counted(o.rows[key{src.Name, seed, ch}]); r != nil {
						sum += r.Figures[at]
					} else {
						sum = math.NaN()
					}
					n++
				}
				seeds = append(seeds, sum/float64(n))
			}
			if m := trial.Mean(seeds); m.N > 0 {
				c.x, c.y = append(c.x, v), append(c.y, m)
			}
		}
		out = append(out, c)
	}
	return out
}

// along are the points that belong to a parameter's plot: all of a full grid, else those at which it is the one moved.
func (o *Swept) along(parameter string) []scenario.Overrides {
	points := o.Sweep.Points()
	if o.Sweep.Grid != OneAtATime {
		return points
	}
	return slices.DeleteFunc(points, func(ch scenario.Overrides) bool { return valuesOf(ch)[parameter] == 0 })
}

func sorted(vs Values) []float64 { return slices.Sorted(slices.Values(vs)) }
