package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"laddertide/rehearse/report"
	"laddertide/rehearse/scenario"
)

// The files that a sweep leaves in its folder, beside one plot for each parameter.
const (
	RunsFile    = "runs.csv"    // a row a run, written as it goes
	SummaryFile = "summary.csv" // a row a point
	IndexFile   = "index.html"
)

// Options are how an experiment is played.
type Options struct {
	Dir      string // where files go
	Player   Player
	Parallel int
	Daemon   string       // fingerprint of the daemon's program
	Fleet    string       // of the operators' file; empty: there is none
	Say      func(string) // is told a line of progress now and then, by any goroutine; may be nil
}

func (o *Options) say(format string, args ...any) {
	if o.Say != nil {
		o.Say(fmt.Sprintf(format, args...))
	}
}

// Swept is what came of a sweep.
type Swept struct {
	Sweep   *Sweep
	Partial bool // not all runs were played
	Wanted  int  // runs, each counted once
	There   int  // of them: were there before
	Done    int  // of them: count
	Broken  []string
	LeftOut []string // runs that do not count, with why
	Notes   []string

	columns []string
	classes []string
	rows    map[key][]Row // by run: all tries, the earliest first
}

// Run plays what of a sweep its folder does not have yet. The rows in the folder must be of the same daemon, operators'
// file and scenarios' texts: others are refused, as a mean over two daemons would be one of neither. Cut short, it
// still writes all files, with Swept.Partial; the error then says why.
func (s *Sweep) Run(ctx context.Context, opt Options) (*Swept, error) {
	out := &Swept{Sweep: s, rows: make(map[key][]Row)}
	type job struct {
		source Source
		key    key
	}
	var jobs []job
	cost := time.Duration(0)
	points := s.Points()
	lengths := make(map[key]time.Duration)
	for _, seed := range s.Seeds { // outermost: cut short, a sweep has whole grids of some seeds
		for _, src := range s.Scenarios {
			for _, ch := range points {
				plan, err := src.Draw(seed, ch)
				if err != nil {
					return nil, err
				}
				k := key{src.Name, seed, ch}
				jobs = append(jobs, job{src, k})
				lengths[k] = plan.Length
				for _, c := range plan.Classes {
					if !slices.Contains(out.classes, c.Name) {
						out.classes = append(out.classes, c.Name)
					}
				}
			}
		}
	}
	out.Wanted = len(jobs)
	out.Notes = s.idle()
	measured := figures(out.classes)
	out.columns = slices.Clone(identity)
	for _, f := range measured {
		out.columns = append(out.columns, f.name)
	}
	if err := os.MkdirAll(opt.Dir, 0o755); err != nil {
		return nil, err
	}
	file, rows, err := openRows(opt.Dir, out.columns)
	if err != nil {
		return nil, err
	}
	defer file.close()
	for _, r := range rows {
		if err := s.same(&r, &opt); err != nil {
			return nil, err
		}
		out.rows[r.key()] = append(out.rows[r.key()], r)
	}
	jobs = slices.DeleteFunc(jobs, func(j job) bool { return counted(out.rows[j.key]) != nil })
	for _, j := range jobs {
		cost += lengths[j.key] + around
	}
	out.There = out.Wanted - len(jobs)
	opt.say("%s (%s, %s, %s), %d of them there already; %d to play, %d at a time: about %s",
		plural(out.Wanted, "run"), plural(len(s.Scenarios), "scenario"), plural(len(points), "point"),
		plural(len(s.Seeds), "seed"), out.There, len(jobs), max(1, opt.Parallel),
		rough(cost/time.Duration(min(max(1, opt.Parallel), max(1, len(jobs))))))
	for _, n := range out.Notes {
		opt.say("%s", n)
	}
	clock := newClock(len(jobs), opt.Parallel)
	var mu sync.Mutex
	err = side(ctx, len(jobs), opt.Parallel, func(ctx context.Context, i int) error {
		j := jobs[i]
		plan, err := j.source.Draw(j.key.seed, j.key.changes)
		if err != nil {
			return err
		}
		tries := 0
		runs, err := try(ctx, opt.Player, plan, func(run *report.Run) error {
			o, err := of(run)
			if err != nil {
				return err
			}
			tries++
			r := Row{Scenario: j.source.Name, Seed: j.key.seed, Changes: j.key.changes, Text: j.source.Text,
				Daemon: opt.Daemon,
				Fleet:  opt.Fleet, Try: tries, Counts: o.counts()}
			for _, f := range measured {
				r.Figures = append(r.Figures, f.of(o))
			}
			mu.Lock()
			defer mu.Unlock()
			out.rows[j.key] = append(out.rows[j.key], r)
			return file.add(&r)
		})
		if err != nil {
			return err
		}
		o := last(runs)
		at, left := clock.tick()
		opt.say("%s %s: service %.3f, worst 10 s %.3f, %s%s%s", at, j.key, o.Service, o.Worst10s, rulesText(o),
			countsText(o), left)
		return nil
	})
	switch {
	case ctx.Err() != nil:
		err = errors.New("interrupted")
		out.Partial = true
	case err != nil:
		out.Partial = true
	}
	out.conclude()
	if werr := out.write(opt.Dir); err == nil {
		err = werr
	}
	return out, err
}

// String words a run.
func (k key) String() string {
	parts := []string{k.scenario, fmt.Sprintf("seed %d", k.seed)}
	if p := pointText(k.changes); p != "" {
		parts = append(parts, p)
	}
	return strings.Join(parts, ", ")
}

func pointText(ch scenario.Overrides) string {
	var parts []string
	vs := valuesOf(ch)
	for _, name := range ParameterNames {
		if vs[name] != 0 {
			parts = append(parts, fmt.Sprintf("%s %g", name, vs[name]))
		}
	}
	return strings.Join(parts, ", ")
}

// same refuses a row of the folder with which others cannot be put together.
func (s *Sweep) same(r *Row, opt *Options) error {
	path := filepath.Join(opt.Dir, RunsFile)
	again := "take another folder, or what they were played with"
	if r.Daemon != opt.Daemon {
		return fmt.Errorf("%s has runs of another daemon (%s, not %s): %s", path, r.Daemon, opt.Daemon, again)
	}
	if r.Fleet != opt.Fleet {
		return fmt.Errorf("%s has runs with another operators' file: %s", path, again)
	}
	for _, src := range s.Scenarios {
		if src.Name == r.Scenario && src.Text != r.Text {
			return fmt.Errorf("%s has runs of %s as its file was before (%s, not %s): %s", path, r.Scenario, r.Text,
				src.Text, again)
		}
	}
	return nil
}

// counted is the row that counts of a run's tries; nil if none does.
func counted(tries []Row) *Row {
	for i := range tries {
		if tries[i].Counts == "yes" {
			return &tries[i]
		}
	}
	return nil
}

// idle notes where the size of troubles is moved and a scenario has none that the size could change.
func (s *Sweep) idle() []string {
	var out []string
	if len(s.Parameters.Times) == 0 {
		return nil
	}
	for _, src := range s.Scenarios {
		a, errA := src.Draw(s.Seeds[0], scenario.Overrides{TroubleScale: 0.01})
		b, errB := src.Draw(s.Seeds[0], scenario.Overrides{TroubleScale: 100})
		if errA == nil && errB == nil && reflect.DeepEqual(a.Steps, b.Steps) {
			out = append(out, fmt.Sprintf("times changes nothing in %s: it has no trouble that meets a part "+
				"of the workers", src.Name))
		}
	}
	return out
}

// each goes through the runs that the sweep wants, in its order.
func (o *Swept) each(visit func(k key, tries []Row)) {
	for _, src := range o.Sweep.Scenarios {
		for _, ch := range o.Sweep.Points() {
			for _, seed := range o.Sweep.Seeds {
				k := key{src.Name, seed, ch}
				visit(k, o.rows[k])
			}
		}
	}
}

// column finds a figure of a row by its name.
func (o *Swept) column(name string) int { return slices.Index(o.columns, name) - len(identity) }

// conclude counts what there is.
func (o *Swept) conclude() {
	breaches := o.column("breaches")
	o.each(func(k key, tries []Row) {
		if counted(tries) != nil {
			o.Done++
		} else if len(tries) > 0 {
			why := "the kit was late"
			if tries[len(tries)-1].Counts == "partial" {
				why = "it was cut off"
			}
			o.LeftOut = append(o.LeftOut, fmt.Sprintf("%s: %s, in %s", k, why, tried(len(tries))))
		}
		for _, r := range tries { // a broken rule is one in a run that does not count, too
			if n := r.Figures[breaches]; n > 0 {
				o.Broken = append(o.Broken, fmt.Sprintf("%s: %s", k, o.brokenText(&r)))
				break
			}
		}
	})
}

func (o *Swept) brokenText(r *Row) string {
	var parts []string
	for _, rule := range ruleNames {
		if n := r.Figures[o.column(rule)]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s %.0f", rule, n))
		}
	}
	return strings.Join(parts, ", ")
}

func tried(n int) string {
	if n == 1 {
		return "1 try"
	}
	return fmt.Sprintf("%d tries", n)
}
