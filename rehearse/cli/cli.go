// Package cli is the command line of the rehearsal kit: it reads flags, has runs played and prints what came of them.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/pflag"
	"golang.org/x/sync/errgroup"

	"laddertide/rehearse/daemon"
	"laddertide/rehearse/report"
	"laddertide/rehearse/scale/hollow"
	"laddertide/rehearse/scenario"
	"laddertide/rehearse/session"
)

const usage = `rehearse: play troubles against real schedulers, and judge what they make of them

  rehearse list                      the scenarios
  rehearse show NAME                 the file of one
  rehearse run NAME... [flags]       play scenarios and print a table
  rehearse judge HISTORY... [flags]  judge recorded histories again
  rehearse fleet [NAME] [flags]      by hand: start workers and discovery alone, for a scheduler of yours
  rehearse load [NAME] [flags]       by hand: play clients alone, against --scheduler ADDRESS
` + experimentUsage + `  rehearse soak [flags]              draw deployments and troubles from seeds; soak --help tells more
  rehearse scale --file SIZE [flags] what each scheduler of a fleet of a size takes; scale --help tells more
` + `
Exit status: 0 all rules were kept; 1 it could not run; 2 a rule was broken; 3 the service was under --min-service;
4 the kit itself ran late, so the run does not count.

Flags:
`

// The exit statuses.
const (
	Kept    = 0
	Failed  = 1
	Broken  = 2
	TooLow  = 3
	RanLate = 4
)

// app is one call of the program.
type app struct {
	out, err io.Writer
	flags    *pflag.FlagSet

	files      []string
	schedulers []string
	seed       uint64
	seeds      int
	change     scenario.Overrides
	daemonPath string
	fleet      string
	json       string
	outDir     string
	minService float64
	quiet      bool
	parallel   int
	lateMS     float64
	experiments
}

// Main runs the program and returns its exit status.
func Main(args []string, out, errs io.Writer) int {
	if len(args) > 0 && args[0] == scaleCommand {
		return scaleMain(args[1:], out, errs)
	}
	if len(args) > 0 && args[0] == soakCommand {
		return soakMain(args[1:], out, errs)
	}
	if len(args) > 0 && args[0] == hollow.Command {
		return hollowMain(args[1:], out, errs)
	}
	if len(args) > 0 && args[0] == capacityPageCommand {
		return capacityPageMain(args[1:], out, errs)
	}
	a := &app{out: out, err: errs}
	f := pflag.NewFlagSet("rehearse", pflag.ContinueOnError)
	f.SetOutput(io.Discard)
	a.flags = f
	f.StringArrayVar(&a.files, "file", nil, "a scenario's file, beside or instead of the program's own")
	f.Uint64Var(&a.seed, "seed", 1, "what everything that is drawn is drawn from")
	f.IntVar(&a.seeds, "seeds", 1, "play each scenario with so many seeds, from --seed on")
	f.BoolVar(&a.change.DropState, "no-state", false, "schedulers keep nothing that outlives a loss of power, whatever the file says")
	f.Float64Var(&a.change.Seconds, "seconds", 0, "how long clients arrive, instead of what the file says")
	f.IntVar(&a.change.Schedulers, "schedulers", 0, "how many schedulers")
	f.IntVar(&a.change.Workers, "workers", 0, "how many workers")
	f.Float64Var(&a.change.Rate, "rate", 0, "jobs a second; the load moves with it")
	f.Float64Var(&a.change.Load, "load", 0, "the share of the fleet's capacity that is asked for; makes jobs lighter or heavier")
	f.StringVar(&a.daemonPath, "daemon", "", "the scheduler's program; else the laddertide beside this one, else one built by go")
	f.StringVar(&a.fleet, "fleet", "", "an operators' file, handed to the schedulers")
	f.StringVar(&a.json, "json", "", "write the reports to this file, - for standard output: an object a run, one a line if several")
	f.StringVar(&a.outDir, "out", "", "keep page, report, history and logs in this folder")
	f.Float64Var(&a.minService, "min-service", 0, "exit with 3 if the service is under this, 0 to 1")
	f.StringArrayVar(&a.schedulers, "scheduler", nil, "by hand: where a scheduler listens, in 127.0.0.0/8; may be repeated")
	f.BoolVar(&a.quiet, "quiet", false, "print no table and no progress")
	f.IntVar(&a.parallel, "parallel", 1, "play so many runs side by side")
	f.Float64Var(&a.lateMS, "late-ms", float64(session.LateLimit.Milliseconds()), "a run in which the kit's own p99 is later than this does not count")
	a.experiments.flags(f)
	f.Usage = func() {}
	if err := f.Parse(args); errors.Is(err, pflag.ErrHelp) {
		fmt.Fprint(out, usage+f.FlagUsagesWrapped(118))
		return Kept
	} else if err != nil {
		return a.fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the program at once
	command, rest := f.Arg(0), f.Args()
	if len(rest) > 0 {
		rest = rest[1:]
	}
	code, err := a.command(ctx, command, rest)
	if err != nil {
		return a.fail(err)
	}
	return code
}

// fail says in one line why it could not run.
func (a *app) fail(err error) int {
	line := strings.Join(strings.Fields(strings.ReplaceAll(err.Error(), "\n", "; ")), " ")
	fmt.Fprintln(a.err, "rehearse:", line)
	return Failed
}

func (a *app) command(ctx context.Context, name string, args []string) (int, error) {
	if err := a.check(); err != nil {
		return 0, err
	}
	switch name {
	case "list":
		return a.list(args)
	case "show":
		return a.show(args)
	case "run":
		return a.run(ctx, args)
	case "judge":
		return a.judge(args)
	case "sweep", "compare", "capacity":
		return a.experiment(ctx, name, args)
	case "fleet":
		return a.handFleet(ctx, args, os.Stdin)
	case "load":
		return a.handLoad(ctx, args)
	case "":
		return 0, errors.New("a command is wanted, such as list or run; --help tells more")
	}
	return 0, fmt.Errorf("unknown command %q; --help names those that there are", name)
}

// check looks at the flags that no command could use as they are.
func (a *app) check() error {
	for name, v := range map[string]float64{"seconds": a.change.Seconds, "rate": a.change.Rate, "load": a.change.Load,
		"workers": float64(a.change.Workers), "schedulers": float64(a.change.Schedulers), "seeds": float64(a.seeds),
		"parallel": float64(a.parallel), "late-ms": a.lateMS} {
		if a.flags.Changed(name) && !(v > 0) {
			return fmt.Errorf("--%s: %g is not more than 0", name, v)
		}
	}
	if a.seeds > 10_000 || a.parallel > 64 {
		return errors.New("--seeds takes 10000 at most, --parallel 64")
	}
	if !(a.minService >= 0 && a.minService <= 1) {
		return fmt.Errorf("--min-service: %g is not between 0 and 1", a.minService)
	}
	return a.change.Check()
}

func (a *app) late() time.Duration { return time.Duration(a.lateMS * float64(time.Millisecond)) }

func (a *app) list(args []string) (int, error) {
	if len(args) > 0 {
		return 0, errors.New("list takes no names")
	}
	for _, name := range scenario.Names() {
		s, err := scenario.Get(name)
		if err != nil {
			return 0, err
		}
		fmt.Fprintf(a.out, "%-18s %s\n", name, s.About)
	}
	return Kept, nil
}

func (a *app) show(args []string) (int, error) {
	if len(args) != 1 {
		return 0, errors.New("show takes one name")
	}
	text, err := scenario.Text(args[0])
	if err != nil {
		return 0, err
	}
	_, err = a.out.Write(text)
	return Kept, err
}

// chosen are the scenarios that a command names. A file goes before a scenario of the program with its name.
func (a *app) chosen(names []string) ([]*scenario.Scenario, error) {
	var out []*scenario.Scenario
	from := make(map[string]string)
	for _, file := range a.files {
		s, err := scenario.Load(file)
		if err != nil {
			return nil, err
		}
		if other, ok := from[s.Name]; ok {
			return nil, fmt.Errorf("%s and %s are both called %q", other, file, s.Name)
		}
		from[s.Name] = file
		out = append(out, s)
	}
	for _, name := range names {
		if _, ok := from[name]; ok {
			continue
		}
		s, err := scenario.Get(name)
		if err != nil {
			return nil, err
		}
		from[name] = "the command line"
		out = append(out, s)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("name a scenario, or a file with --file; there are %s", strings.Join(scenario.Names(), ", "))
	}
	return out, nil
}

// program finds the daemon; remove takes away what that left.
// power: one that loses with a kill what was not synced.
func (a *app) program(ctx context.Context, power bool) (p daemon.Program, remove func(), err error) {
	args := []string{"serve"}
	if a.fleet != "" {
		file, err := filepath.Abs(a.fleet)
		if err != nil {
			return p, nil, err
		}
		if _, err := os.Stat(file); err != nil {
			return p, nil, fmt.Errorf("--fleet: %w", err)
		}
		args = append(args, "--fleet", file)
	}
	find := daemon.Find
	if power && a.daemonPath == "" {
		find = func(ctx context.Context, _ string) (string, func(), error) { return daemon.PowerLoss(ctx) }
	}
	path, remove, err := find(ctx, a.daemonPath)
	return daemon.Program{Path: path, Args: args}, remove, err
}

// writable finds out early whether the reports can be written: an hour's work must not end with a file that cannot.
func (a *app) writable() error {
	if a.outDir != "" { // the file of --json may lie there
		if err := os.MkdirAll(a.outDir, 0o755); err != nil {
			return fmt.Errorf("--out: %w", err)
		}
	}
	if a.json == "" || a.json == "-" {
		return nil
	}
	f, err := os.OpenFile(a.json, os.O_WRONLY|os.O_CREATE, 0o644)
	if err != nil {
		return fmt.Errorf("--json: %w", err)
	}
	return f.Close()
}

func (a *app) run(ctx context.Context, names []string) (int, error) {
	if err := a.unused("run", "scheduler", "scenario", "kit", "width", "most-runs"); err != nil {
		return 0, err
	}
	scenarios, err := a.chosen(names)
	if err != nil {
		return 0, err
	}
	var plans []*scenario.Plan
	for _, s := range scenarios {
		for i := range a.seeds {
			plan, err := s.Draw(a.seed+uint64(i), a.change)
			if err != nil {
				return 0, err
			}
			plans = append(plans, plan)
		}
	}
	if err := a.writable(); err != nil {
		return 0, err
	}
	power := slices.ContainsFunc(plans, func(p *scenario.Plan) bool { return p.LosesUnsynced })
	program, remove, err := a.program(ctx, power)
	if err != nil {
		return 0, err
	}
	defer remove()
	runs, err := a.play(ctx, plans, program)
	if err != nil && len(runs) == 0 {
		return 0, err
	}
	if a.outDir != "" && len(plans) > 1 {
		if err := session.Keep(a.outDir, runs); err != nil {
			return 0, err
		}
	}
	if perr := a.print(runs); perr != nil {
		return 0, perr
	}
	if err != nil {
		return 0, err
	}
	return a.status(runs), nil
}

// play plays plans, some side by side, and returns the reports in the plans' order. After the first error no further
// run begins.
func (a *app) play(ctx context.Context, plans []*scenario.Plan, program daemon.Program) ([]report.Run, error) {
	out := make([]*report.Run, len(plans))
	bar := a.bar(plans)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(a.parallel)
	for i, plan := range plans {
		g.Go(func() (err error) {
			if ctx.Err() != nil {
				return nil
			}
			s := session.Session{Program: program, Progress: bar.of(i), Late: a.late()}
			if a.outDir != "" {
				s.Out = a.outDir
				if len(plans) > 1 {
					s.Out = filepath.Join(a.outDir, fmt.Sprintf("%s-%d", plan.Scenario, plan.Seed))
				}
			}
			if out[i], err = s.Play(ctx, plan); err != nil {
				return fmt.Errorf("%s, seed %d: %w", plan.Scenario, plan.Seed, err)
			}
			return nil
		})
	}
	err := g.Wait()
	bar.end()
	var runs []report.Run
	for _, r := range out {
		if r != nil {
			runs = append(runs, *r)
		}
	}
	if err != nil {
		return runs, err
	}
	if len(runs) == 0 {
		return nil, errors.New("interrupted before it began")
	}
	return runs, nil
}

func (a *app) judge(files []string) (int, error) {
	if len(files) == 0 {
		return 0, errors.New("judge takes the files of histories")
	}
	var runs []report.Run
	for _, file := range files {
		r, err := session.Judge(file, a.late())
		if err != nil {
			return 0, err
		}
		runs = append(runs, *r)
	}
	if a.outDir != "" {
		if err := os.MkdirAll(a.outDir, 0o755); err != nil {
			return 0, err
		}
		if err := session.Keep(a.outDir, runs); err != nil {
			return 0, err
		}
	}
	if err := a.print(runs); err != nil {
		return 0, err
	}
	return a.status(runs), nil
}

// print gives the reports to whoever wants them.
func (a *app) print(runs []report.Run) error {
	switch a.json {
	case "":
	case "-":
		if err := report.Encode(a.out, runs); err != nil {
			return err
		}
	default:
		f, err := os.Create(a.json)
		if err == nil {
			err = report.Encode(f, runs)
			err = errors.Join(err, f.Close())
		}
		if err != nil {
			return fmt.Errorf("--json: %w", err)
		}
	}
	if a.quiet || a.json == "-" {
		return nil
	}
	f, ok := a.out.(*os.File)
	if err := report.Table(a.out, runs, ok && report.Terminal(f)); err != nil {
		return err
	}
	if a.outDir != "" {
		fmt.Fprintf(a.out, "The page is %s\n", filepath.Join(a.outDir, session.PageFile))
	}
	return nil
}

// status is the exit status of runs. A broken rule goes before a late kit, as the judge allows for that; and a run that
// does not count says nothing of its service.
func (a *app) status(runs []report.Run) int {
	switch {
	case slices.ContainsFunc(runs, func(r report.Run) bool { return !r.Kept() }):
		return Broken
	case slices.ContainsFunc(runs, func(r report.Run) bool { return r.Partial }) && a.flags.Arg(0) != "judge":
		// What there was of it has been printed. A history that is judged again was cut short another time.
		return a.fail(errors.New("cut short: the report is partial"))
	case slices.ContainsFunc(runs, func(r report.Run) bool { return r.Late }):
		return RanLate
	case slices.ContainsFunc(runs, func(r report.Run) bool { return r.Figures.Service < a.minService }):
		return TooLow
	}
	return Kept
}
