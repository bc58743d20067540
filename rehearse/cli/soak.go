package cli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/pflag"
	"golang.org/x/sync/errgroup"

	"laddertide/rehearse/daemon"
	"laddertide/rehearse/report"
	"laddertide/rehearse/scenario"
	"laddertide/rehearse/session"
	"laddertide/rehearse/soak"
)

const soakCommand = "soak"

const soakUsage = `rehearse soak: draw deployments and troubles from seeds, and look for broken rules

  rehearse soak --seed 1 --seeds 50              one scenario a seed, a line each
  rehearse soak --seed 17 --faults signals,hang  a seed again with some of its faults; all that happened to what broke a rule
  rehearse soak --short                          as in CI: a few seconds and schedulers a seed

Exit status: 0 all rules were kept; 1 it could not run; 2 a rule was broken; 4 a run does not count, as the kit was late.

Faults:
`

// soakApp is one call of the command soak.
type soakApp struct {
	out, err io.Writer
	flags    *pflag.FlagSet

	seed     string
	seeds    int
	faults   []string
	short    bool
	size     soak.Size
	daemon   string
	outDir   string
	parallel int
	lateMS   float64

	printing sync.Mutex
}

// soakMain runs the command and returns its exit status.
func soakMain(args []string, out, errs io.Writer) int {
	a := &soakApp{out: out, err: errs}
	code, err := a.main(args)
	if err != nil {
		fmt.Fprintln(errs, "rehearse: soak:", strings.Join(strings.Fields(err.Error()), " "))
		return Failed
	}
	return code
}

func (a *soakApp) main(args []string) (int, error) {
	a.declare()
	if err := a.flags.Parse(args); errors.Is(err, pflag.ErrHelp) {
		a.help()
		return Kept, nil
	} else if err != nil {
		return 0, err
	}
	seeds, err := a.check()
	if err != nil {
		return 0, err
	}
	var plans []*scenario.Plan
	for _, seed := range seeds {
		s, err := soak.Scenario(seed, a.faults, a.size)
		if err != nil {
			return 0, err
		}
		plan, err := s.Draw(seed, scenario.Overrides{})
		if err != nil {
			return 0, err
		}
		plans = append(plans, plan)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	path, remove, err := daemon.Find(ctx, a.daemon)
	if err != nil {
		return 0, err
	}
	defer remove()
	return a.play(ctx, plans, daemon.Program{Path: path, Args: []string{"serve", "--log-level", "debug"}})
}

func (a *soakApp) declare() {
	f := pflag.NewFlagSet("rehearse soak", pflag.ContinueOnError)
	f.SetOutput(io.Discard)
	f.Usage = func() {}
	f.StringVar(&a.seed, "seed", "1", "the first seed")
	f.IntVar(&a.seeds, "seeds", 1, "so many seeds, from --seed on")
	f.StringSliceVar(&a.faults, "faults", nil, "only these faults, by commas; else those that the seed draws")
	f.BoolVar(&a.short, "short", false, "short runs with few schedulers")
	f.Float64Var(&a.size.Seconds, "seconds", 0, "how long clients arrive, instead")
	f.IntVar(&a.size.Schedulers, "schedulers", 0, "how many schedulers at most, instead")
	f.StringVar(&a.daemon, "daemon", "", "the scheduler's program; else the laddertide beside this one, else one built by go")
	f.StringVar(&a.outDir, "out", "", "keep page, report, history and logs of each seed in a folder here")
	f.IntVar(&a.parallel, "parallel", 1, "play so many seeds side by side")
	f.Float64Var(&a.lateMS, "late-ms", float64(session.LateLimit.Milliseconds()), "a run in which the kit's own p99 is later does not count")
	a.flags = f
}

func (a *soakApp) help() {
	fmt.Fprint(a.out, soakUsage)
	for _, name := range soak.Faults() {
		fmt.Fprintf(a.out, "  %-10s %s\n", name, soak.About(name))
	}
	fmt.Fprint(a.out, "\nFlags:\n", a.flags.FlagUsagesWrapped(118))
}

// The most that flags may ask for.
const (
	mostSeeds    = 10_000
	mostParallel = 64
)

// check looks at the flags before anything starts, and returns the seeds.
func (a *soakApp) check() ([]uint64, error) {
	if a.flags.NArg() > 0 {
		return nil, fmt.Errorf("%q is no flag", a.flags.Arg(0))
	}
	first, err := strconv.ParseUint(a.seed, 10, 63)
	if err != nil {
		return nil, fmt.Errorf("--seed: %q is no seed: a whole number from 0 on is", a.seed)
	}
	size := soak.Long
	if a.short {
		size = soak.Short
	}
	if !a.flags.Changed("seconds") {
		a.size.Seconds = size.Seconds
	}
	if !a.flags.Changed("schedulers") {
		a.size.Schedulers = size.Schedulers
	}
	for _, c := range []struct {
		flag          string
		v, least, max float64
	}{{"seeds", float64(a.seeds), 1, mostSeeds}, {"parallel", float64(a.parallel), 1, mostParallel},
		{"seconds", a.size.Seconds, 4, 600}, {"schedulers", float64(a.size.Schedulers), 1, scenario.MaxSchedulers},
		{"late-ms", a.lateMS, 1, 1000}} {
		if !(c.v >= c.least && c.v <= c.max) {
			return nil, fmt.Errorf("--%s: %g is not between %g and %g", c.flag, c.v, c.least, c.max)
		}
	}
	if err := soak.Check(a.faults); err != nil {
		return nil, fmt.Errorf("--faults: %w", err)
	}
	seeds := make([]uint64, a.seeds)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds, nil
}

// play plays all plans and prints a line for each, and what happened around each broken rule.
func (a *soakApp) play(ctx context.Context, plans []*scenario.Plan, program daemon.Program) (int, error) {
	codes := make([]int, len(plans))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(a.parallel)
	for i, plan := range plans {
		g.Go(func() (err error) {
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			codes[i], err = a.seedRun(ctx, plan, program)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return 0, err
	}
	broken, late := count(codes, Broken), count(codes, RanLate)
	fmt.Fprintf(a.out, "%d seeds: %d kept all rules, %d broke one, %d do not count\n", len(codes), len(codes)-broken-late, broken, late)
	switch {
	case broken > 0:
		return Broken, nil
	case late > 0:
		return RanLate, nil
	}
	return Kept, nil
}

func count(codes []int, code int) (n int) {
	for _, c := range codes {
		if c == code {
			n++
		}
	}
	return n
}

// seedRun plays one plan.
func (a *soakApp) seedRun(ctx context.Context, plan *scenario.Plan, program daemon.Program) (int, error) {
	dir := filepath.Join(a.outDir, fmt.Sprintf("seed-%d", plan.Seed))
	if a.outDir == "" {
		temporary, err := os.MkdirTemp("", "rehearse-soak-")
		if err != nil {
			return 0, err
		}
		defer os.RemoveAll(temporary)
		dir = temporary
	}
	s := session.Session{Program: program, Out: dir, Late: time.Duration(a.lateMS * float64(time.Millisecond))}
	run, err := s.Play(ctx, plan)
	if err != nil {
		return 0, fmt.Errorf("seed %d: %w", plan.Seed, err)
	}
	a.printing.Lock()
	defer a.printing.Unlock()
	code := Kept
	switch {
	case !run.Kept():
		code = Broken
	case run.Partial:
		return 0, fmt.Errorf("seed %d: cut short", plan.Seed)
	case run.Late:
		code = RanLate
	}
	fmt.Fprintln(a.out, summary(plan, run, code))
	for i := range run.Verdict.Breaches {
		a.explain(dir, plan, run, &run.Verdict.Breaches[i])
	}
	return code, nil
}

// summary is the line of one seed.
func summary(plan *scenario.Plan, run *report.Run, code int) string {
	names := make([]string, 0, len(plan.TroubleIntervals))
	for _, s := range plan.TroubleIntervals {
		names = append(names, s.Name)
	}
	longest := int64(0)
	for _, c := range plan.Classes {
		longest = max(longest, c.Deadline)
	}
	verdict := map[int]string{Kept: "kept", Broken: "BROKEN", RanLate: "does not count: the kit was late"}[code]
	if late := run.Figures.Harness.StepLateMax; late > float64(session.StepLateLimit.Milliseconds()) {
		verdict += fmt.Sprintf(" (a step of the plan was done %.0f ms late)", late)
	}
	if waiting, uncued := run.Cues(); uncued > 0 {
		verdict += fmt.Sprintf(" (%d of %d steps that wait for a cue had none)", uncued, waiting)
	}
	f := &run.Figures
	return fmt.Sprintf("seed %-5d %2d schedulers, %2d workers, deadlines to %.4g s, %.0f jobs/s; %s: %d jobs, service %.3f: %s",
		plan.Seed, run.Schedulers, run.Workers, float64(longest)/1e6, run.Rate, strings.Join(names, " "), f.Totals.Asked, f.Service, verdict)
}

// explain prints a broken rule, all that the history has of its request, and what the schedulers logged of it.
func (a *soakApp) explain(dir string, plan *scenario.Plan, run *report.Run, b *report.Breach) {
	fmt.Fprintf(a.out, "  %s (%s) at %.3f s: %s\n", b.Rule, b.Kind, float64(b.T)/1e6, b.Text)
	for _, line := range report.StoryLines(run.Stories[b.Request], b.Attempt) {
		fmt.Fprintln(a.out, "    "+line)
	}
	if b.Request == "" {
		return
	}
	for _, s := range plan.Schedulers {
		for _, line := range linesWith(filepath.Join(dir, s.Name+".log"), b.Request) {
			fmt.Fprintf(a.out, "    log of %s: %s\n", s.Name, line)
		}
	}
}

// mostLines is how many lines of one log are printed of a request.
const mostLines = 40

// linesWith are the lines of a file that contain a text.
func linesWith(file, text string) (lines []string) {
	f, err := os.Open(file)
	if err != nil {
		return nil
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	for scanner.Scan() && len(lines) < mostLines {
		if strings.Contains(scanner.Text(), text) {
			lines = append(lines, scanner.Text())
		}
	}
	return slices.Clip(lines)
}
