package experiment

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"math"

	"laddertide/rehearse/experiment/trial"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("sweep").Parse(pageText))

// page is what the template shows; all its words are made here.
type page struct {
	About, Counts  string
	Partial        bool
	Caveats, Notes []string
	Broken         []string
	Plots          []*drawing
	Heads          []string
	Rows           []pageRow
}

type pageRow struct {
	Cells  []string
	Broken bool
}

// mostListed is how many single runs the page names.
const mostListed = 50

func (o *Swept) page(points []point, plots []*drawing) ([]byte, error) {
	p := page{About: o.Sweep.About, Plots: plots, Partial: o.Partial, Notes: o.Notes,
		Counts: fmt.Sprintf("%d of %d runs count.", o.Done, o.Wanted)}
	some := func(list []string) []string {
		if n := len(list) - mostListed; n > 0 {
			return append(list[:mostListed:mostListed], fmt.Sprintf("and %d more, see %s", n, RunsFile))
		}
		return list
	}
	p.Caveats, p.Broken = some(o.LeftOut), some(o.Broken)
	p.Heads = []string{"scenario"}
	p.Heads = append(p.Heads, o.Sweep.moved()...)
	p.Heads = append(p.Heads, "runs", "service", "worst 10 s")
	for _, c := range o.classes {
		p.Heads = append(p.Heads, c+" in time", c+" p99, ms")
	}
	p.Heads = append(p.Heads, "daemon's CPU a request, ms", "rules broken in")
	column := make(map[string]int)
	for i, name := range o.summarised() {
		column[name] = i
	}
	for _, pt := range points {
		vs := valuesOf(pt.changes)
		r := pageRow{Cells: []string{pt.scenario}, Broken: pt.broken > 0}
		for _, name := range o.Sweep.moved() {
			if vs[name] == 0 {
				r.Cells = append(r.Cells, "as drawn")
			} else {
				r.Cells = append(r.Cells, fmt.Sprintf("%g", vs[name]))
			}
		}
		f := func(name string, decimals int) string { return intervalText(pt.figures[column[name]], decimals) }
		r.Cells = append(r.Cells, fmt.Sprint(pt.runs), f("service", 3), f("worst_10s", 3))
		for _, c := range o.classes {
			r.Cells = append(r.Cells, f(c+".in_time_share", 3), f(c+".p99_ms", 0))
		}
		r.Cells = append(r.Cells, f("daemon_cpu_ms_request", 2), fmt.Sprint(pt.broken))
		p.Rows = append(p.Rows, r)
	}
	var b bytes.Buffer
	err := pageTemplate.Execute(&b, p)
	return b.Bytes(), err
}

// intervalText words a mean with its interval.
func intervalText(m trial.Interval, decimals int) string {
	switch {
	case m.N == 0:
		return "-"
	case math.IsNaN(m.Low):
		return fmt.Sprintf("%.*f", decimals, m.Mean)
	}
	return fmt.Sprintf("%.*f (%.*f to %.*f)", decimals, m.Mean, decimals, m.Low, decimals, m.High)
}
