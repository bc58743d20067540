package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"laddertide/rehearse/experiment/trial"
	"laddertide/rehearse/report"
	"laddertide/rehearse/scenario"
)

// Capacity is a search for the highest rate that holds. The daemon's holds if the mean service of the seeds is
// MinService at least and no run broke a rule; that of the kit if its p99 lateness is under KitLate ms in all of them.
type Capacity struct {
	Player   Player
	Scenario *scenario.Scenario
	Seeds    []uint64
	// Rate: where to begin, 0: at the scenario's own; Load: given, jobs grow lighter with the rate
	Changes    scenario.Overrides
	MinService float64
	KitLate    float64 // over 0: the kit's limit is searched, in ms
	Width      float64 // relative: how near the failing rate must come to the one that holds
	MostRuns   int     // no step begins that could make it more
	Parallel   int
	Say        func(string)            // as of Options
	Keep       func(*report.Run) error // is given each run that was played; may be nil
}

// growth is the step while the limit is not yet bracketed.
const growth = 1.5

// Step is one rate that was tried.
type Step struct {
	Rate              float64
	Runs              int // played, with those that were played again
	Service, Worst10s float64
	LateMS            float64 // the largest p99 of a seed's last try
	KitMS             float64 // of the kit's CPU for a job; NaN if runs were played side by side
	DaemonMS          float64 // of the daemons' CPU for a request
	Breaches          int
	Holds             bool
	Kit               bool // the kit was late, so that the step says nothing of the daemon
	Why               string
}

// Found is what a search found.
type Found struct {
	Scenario     string
	Wants        string // in words, what must hold
	Holds, Fails float64
	KitLimit     bool // what failed at Fails was the kit, though the daemon's limit was searched
	Steps        []Step
	Broken       []string
	Said         []string
	Partial      string // why it was cut short; empty: it was not
}

// Search plays steps until the limit is known to within Width, or MostRuns are played. Cut short, it returns the steps
// that were over, with the error.
func (c *Capacity) Search(ctx context.Context) (*Found, error) {
	out := &Found{Scenario: c.Scenario.Name, Wants: fmt.Sprintf("service %g on the mean of %s, and all rules kept",
		c.MinService, plural(len(c.Seeds), "seed"))}
	if c.KitLate > 0 {
		out.Wants = fmt.Sprintf("the kit's own p99 lateness under %g ms with %s", c.KitLate, plural(len(c.Seeds),
			"seed"))
	}
	start, length := c.Changes.Rate, 0.0
	sum := 0.0
	for _, seed := range c.Seeds {
		plan, err := c.Scenario.Draw(seed, c.Changes)
		if err != nil {
			return nil, err
		}
		sum += plan.Traffic.Rate
		length += (plan.Length + around).Seconds()
	}
	if start == 0 {
		start = sum / float64(len(c.Seeds))
	}
	search := trial.Search{Start: start, Least: 0.1, Most: scenario.MaxRate, Grow: growth, Width: c.Width}
	say := func(format string, args ...any) {
		if c.Say != nil {
			c.Say(fmt.Sprintf(format, args...))
		}
	}
	step := rough(seconds(length / float64(min(max(1, c.Parallel), len(c.Seeds)))))
	say("%s: the highest rate with %s; from %s a second, to within %.3g%%, %s at most; a step takes about %s",
		out.Scenario, out.Wants, number(start), 100*c.Width, plural(c.MostRuns, "run"), step)
	runs := 0
	for {
		rate, more := search.Next()
		if !more {
			break
		}
		// Each seed may have to be played again.
		if runs+len(c.Seeds) > c.MostRuns {
			out.Said = append(out.Said,
				fmt.Sprintf("Stopped after %s, as many as were allowed, before it was known to within %.3g%%.",
					plural(runs, "run"), 100*c.Width))
			break
		}
		step, broken, err := c.step(ctx, rate, c.MostRuns-runs)
		out.Broken = append(out.Broken, broken...)
		if err != nil {
			if out.Partial = err.Error(); ctx.Err() != nil {
				out.Partial = "interrupted"
				err = errors.New(out.Partial)
			}
			out.conclude(&search, c)
			return out, err
		}
		runs += step.Runs
		out.Steps = append(out.Steps, *step)
		say("%s a second: service %s, kit late %s ms: %s", number(rate), fixed(step.Service, 3), fixed(step.LateMS, 2),
			step.verdict())
		search.Tell(rate, step.Holds)
	}
	out.conclude(&search, c)
	return out, nil
}

func (s *Step) verdict() string {
	if s.Holds {
		return "holds"
	}
	return "fails, " + s.Why
}

// step plays all seeds at a rate. spare is how many runs there may be in all.
func (c *Capacity) step(ctx context.Context, rate float64, spare int) (*Step, []string, error) {
	ch := c.Changes
	ch.Rate = rate
	tries := make([]Half, len(c.Seeds))
	var mu sync.Mutex
	spare -= len(c.Seeds) // for playing again
	err := side(ctx, len(c.Seeds), c.Parallel, func(ctx context.Context, i int) error {
		for {
			plan, err := c.Scenario.Draw(c.Seeds[i], ch)
			if err != nil {
				return err
			}
			run, err := c.Player.Play(ctx, plan)
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			if err != nil {
				return fmt.Errorf("%s, seed %d, %g a second: %w", plan.Scenario, plan.Seed, rate, err)
			}
			o, err := of(run)
			if err != nil {
				return err
			}
			tries[i] = append(tries[i], o)
			again := func() bool {
				mu.Lock()
				defer mu.Unlock()
				if c.Keep != nil {
					err = c.Keep(run)
				}
				if len(tries[i]) < Tries && spare > 0 && c.late(o) {
					spare--
					return true
				}
				return false
			}()
			if err != nil || !again {
				return err
			}
		}
	})
	var broken []string
	for i, h := range tries {
		broken = append(broken, h.broken(fmt.Sprintf("seed %d at %s a second", c.Seeds[i], number(rate)))...)
	}
	if err != nil {
		return nil, broken, err
	}
	return c.judge(rate, tries), broken, nil
}

// late says whether the kit was too late for what is searched.
func (c *Capacity) late(o *Outcome) bool {
	if c.KitLate > 0 {
		return o.LateMS >= c.KitLate
	}
	return o.Late
}

// judge says whether a rate holds.
func (c *Capacity) judge(rate float64, tries []Half) *Step {
	s := &Step{Rate: rate}
	var service, worst, kit, daemon []float64
	late, partial := 0, 0
	for _, h := range tries {
		s.Runs += len(h)
		for _, o := range h {
			s.Breaches += o.Breaches()
		}
		o := last(h)
		s.LateMS = max(s.LateMS, o.LateMS)
		switch {
		case o.Partial:
			partial++
		case c.late(o):
			late++
		}
		service, worst = append(service, o.Service), append(worst, o.Worst10s)
		kit, daemon = append(kit, ratio(1000*o.Kit.CPU, float64(o.All.Asked))), append(daemon, o.cpuMS())
	}
	s.Service, s.Worst10s, s.KitMS, s.DaemonMS = trial.Mean(service).Mean, trial.Mean(worst).Mean, trial.Mean(kit).Mean,
		trial.Mean(daemon).Mean
	if c.Parallel > 1 && len(tries) > 1 {
		s.KitMS = trial.Mean(nil).Mean // the kit plays them in one process
	}
	kitIsIt := fmt.Sprintf("the kit was late (p99 %.3g ms)", s.LateMS)
	switch {
	case c.KitLate > 0 && late > 0:
		s.Why = kitIsIt
	case partial > 0:
		s.Why = "a run did not end in time"
	case c.KitLate > 0:
		s.Holds = true
	case s.Breaches > 0:
		s.Why = fmt.Sprintf("rules broken (%d)", s.Breaches)
	case late > 0:
		s.Why, s.Kit = kitIsIt, true
	case s.Service < c.MinService:
		s.Why = fmt.Sprintf("service %.3f", s.Service)
	default:
		s.Holds = true
	}
	return s
}

// conclude says what the steps come to.
func (f *Found) conclude(search *trial.Search, c *Capacity) {
	f.Holds, f.Fails = search.Found()
	at := func(rate float64) *Step {
		if i := slices.IndexFunc(f.Steps, func(s Step) bool { return s.Rate == rate }); i >= 0 {
			return &f.Steps[i]
		}
		return &Step{}
	}
	var said string
	switch fails := at(f.Fails); {
	case f.Holds == 0 && f.Fails == 0:
		said = "Nothing can be said: no step was played to its end."
	case f.Holds == 0:
		said = fmt.Sprintf("No rate that was tried holds, down to %s a second: %s.", number(f.Fails), fails.Why)
		f.KitLimit = fails.Kit
	case f.Fails == 0:
		said = fmt.Sprintf("It holds at every rate that was tried, up to %s jobs a second.", number(f.Holds))
	default:
		said = fmt.Sprintf("It holds up to %s jobs a second and fails at %s: %s.", number(f.Holds),
			number(f.Fails), fails.Why)
		f.KitLimit = fails.Kit
	}
	f.Said = append(f.Said, said)
	if f.KitLimit {
		f.Said = append(f.Said,
			"The limit met is the kit's, not the daemon's: of the daemon this is only the least that it bears.")
	}
	if s := at(f.Holds); c.KitLate > 0 && f.Holds > 0 {
		f.Said = append(f.Said, fmt.Sprintf("There the kit's CPU is %s ms a job, and the daemons' %s ms a request.",
			fixed(s.KitMS, 3),
			fixed(s.DaemonMS, 3)))
	}
}

// Print writes the search for people.
func (f *Found) Print(w io.Writer) {
	fmt.Fprintf(w, "%s: %s\n\n", f.Scenario, f.Wants)
	var rows [][]string
	for _, s := range f.Steps {
		rows = append(rows, []string{number(s.Rate), fmt.Sprint(s.Runs), fixed(s.Service, 3),
			fixed(s.Worst10s, 3), fmt.Sprint(s.Breaches), fixed(s.LateMS, 2), fixed(s.KitMS, 3), fixed(s.DaemonMS, 3),
			s.verdict()})
	}
	grid(w, []string{"jobs a second", "runs", "service", "worst 10 s", "breaches", "kit late ms", "kit CPU ms/job",
		"daemon ms/req", ""}, rows)
	fmt.Fprintln(w)
	fmt.Fprintln(w, strings.Join(f.Said, "\n"))
	list(w, "RULES BROKEN", f.Broken)
	if f.Partial != "" {
		fmt.Fprintf(w, "PARTIAL: %s; this is of the steps that were over.\n", f.Partial)
	}
}
