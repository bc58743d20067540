package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/spf13/pflag"

	"laddertide/rehearse/daemon"
	"laddertide/rehearse/experiment"
	"laddertide/rehearse/report"
	"laddertide/rehearse/session"
)

const experimentUsage = `  rehearse sweep FILE --out DIR      move parameters over seeds: CSV, plots, a page
  rehearse compare A B [flags]       two daemons' programs, or two files or folders of earlier reports, in pairs by seed
  rehearse capacity NAME [flags]     the highest rate that keeps --min-service (here 0.9 if not given) and all rules
  rehearse capacity --kit [flags]    the kit's own: the highest rate at which its p99 lateness is under 2 ms
`

// What compare and capacity play if nothing else is said.
var comparedScenarios = []string{"calm", "crash", "burst"}

const (
	comparedSeeds   = 5
	capacitySeeds   = 3
	capacityService = 0.9
	kitScenario     = "wide"
	kitLateMS       = 2
	kitSeconds      = 10
	mostWidth       = 1
	mostMostRuns    = 10_000
)

// experiments are the flags that only experiments have.
type experiments struct {
	scenarios []string
	width     float64
	mostRuns  int
	kit       bool
}

func (e *experiments) flags(f *pflag.FlagSet) {
	f.StringArrayVar(&e.scenarios, "scenario", nil,
		"compare: a scenario to play, may be given several times; else calm, crash and burst")
	f.Float64Var(&e.width, "width", 0.05,
		"capacity: end when the failing rate is within this share of the one that holds")
	f.IntVar(&e.mostRuns, "most-runs", 40, "capacity: play no more runs than this")
	f.BoolVar(&e.kit, "kit", false, "capacity: of the kit itself, on "+kitScenario+"; --late-ms is the limit")
}

// experiment plays one of the experiments.
func (a *app) experiment(ctx context.Context, name string, args []string) (int, error) {
	if err := a.writable(); err != nil {
		return 0, err
	}
	switch name {
	case "sweep":
		return a.sweep(ctx, args)
	case "compare":
		return a.compare(ctx, args)
	}
	return a.capacity(ctx, args)
}

// unused refuses flags that a command would pass over in silence.
func (a *app) unused(command string, names ...string) error {
	for _, name := range names {
		if a.flags.Changed(name) {
			return fmt.Errorf("%s takes no --%s", command, name)
		}
	}
	return nil
}

// say prints progress, one line after the other.
func (a *app) say() func(string) {
	if a.quiet {
		return nil
	}
	var mu sync.Mutex
	return func(s string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintln(a.err, s)
	}
}

func (a *app) player(p daemon.Program) experiment.Player {
	return &session.Session{Program: p, Late: a.late()}
}

// fingerprint tells one file's bytes from another's.
func fingerprint(file string) (string, error) {
	f, err := os.Open(file)
	if err != nil {
		return "", err
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return fmt.Sprintf("%x", h.Sum(nil))[:12], nil
}

func (a *app) sweep(ctx context.Context, args []string) (int, error) {
	if len(args) != 1 {
		return 0, errors.New("sweep takes one file; docs/operate/experiments.md has its form")
	}
	if err := a.unused("sweep", "file", "seed", "seeds", "json", "min-service", "scenario", "width", "most-runs",
		"kit"); err != nil {
		return 0, err
	}
	if a.outDir == "" {
		return 0, errors.New("sweep needs a folder for what it finds: --out DIR")
	}
	s, err := experiment.LoadSweep(args[0])
	if err != nil {
		return 0, err
	}
	if err := s.Override(a.change); err != nil {
		return 0, err
	}
	program, remove, err := a.program(ctx, false)
	if err != nil {
		return 0, err
	}
	defer remove()
	opt := experiment.Options{Dir: a.outDir, Player: a.player(program), Parallel: a.parallel, Say: a.say()}
	if opt.Daemon, err = fingerprint(program.Path); err != nil {
		return 0, err
	}
	if a.fleet != "" {
		if opt.Fleet, err = fingerprint(a.fleet); err != nil {
			return 0, err
		}
	}
	out, err := s.Run(ctx, opt)
	if out == nil {
		return 0, err
	}
	if !a.quiet {
		out.Print(a.out)
		fmt.Fprintf(a.out, "The page is %s\n", filepath.Join(a.outDir, experiment.IndexFile))
	}
	if err != nil {
		return 0, err
	}
	switch {
	case len(out.Broken) > 0:
		return Broken, nil
	case len(out.LeftOut) > 0:
		return RanLate, nil
	}
	return Kept, nil
}

// tell prints what an experiment found, as a table, as JSON or both.
func (a *app) tell(print func(io.Writer), encode func(io.Writer) error) error {
	if a.json != "" {
		var b bytes.Buffer
		if err := encode(&b); err != nil {
			return err
		}
		if a.json == "-" {
			_, err := a.out.Write(b.Bytes())
			return err
		}
		if err := os.WriteFile(a.json, b.Bytes(), 0o644); err != nil {
			return fmt.Errorf("--json: %w", err)
		}
	}
	if !a.quiet {
		print(a.out)
	}
	return nil
}

// lines is a file of reports that grows by one line a run.
type lines struct{ f *os.File }

func (a *app) lines(name string) (*lines, error) {
	if a.outDir == "" {
		return &lines{}, nil
	}
	if err := os.MkdirAll(a.outDir, 0o755); err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(a.outDir, name))
	return &lines{f}, err
}

func (l *lines) add(run *report.Run) error {
	if l.f == nil {
		return nil
	}
	var b bytes.Buffer // so that a line is written at once
	if err := report.Encode(&b, []report.Run{*run}); err != nil {
		return err
	}
	_, err := l.f.Write(b.Bytes())
	return err
}

func (l *lines) close() {
	if l.f != nil {
		l.f.Close()
	}
}

// seedList are the seeds from --seed on, as many as --seeds says or otherwise.
func (a *app) seedList(otherwise int) []uint64 {
	n := otherwise
	if a.flags.Changed("seeds") {
		n = a.seeds
	}
	var out []uint64
	for i := range n {
		out = append(out, a.seed+uint64(i))
	}
	return out
}

func (a *app) compare(ctx context.Context, args []string) (int, error) {
	if len(args) != 2 {
		return 0, errors.New("compare takes two: daemons' programs, or files or folders of reports")
	}
	if err := a.unused("compare", "daemon", "min-service", "width", "most-runs", "kit"); err != nil {
		return 0, err
	}
	var programs [2]bool
	for i, path := range args {
		st, err := os.Stat(path)
		if err != nil {
			return 0, err
		}
		programs[i] = st.Mode().IsRegular() && st.Mode()&0o111 != 0
	}
	var pairs []experiment.Pair
	var note []string
	var err error
	switch {
	case programs[0] != programs[1]:
		return 0, fmt.Errorf("%s and %s: one is a program and the other is not; "+
			"compare takes two programs, or reports of two", args[0], args[1])
	case programs[0]:
		pairs, err = a.playPairs(ctx, args)
		if len(pairs) == 0 && err != nil {
			return 0, err
		}
	default:
		for _, name := range []string{"file", "scenario", "seed", "seeds", "seconds", "rate", "load", "workers",
			"schedulers", "fleet", "parallel", "out"} {
			if a.flags.Changed(name) {
				return 0, fmt.Errorf("--%s: the reports of earlier runs are compared as they are", name)
			}
		}
		var halves [2][]*experiment.Outcome
		for i, path := range args {
			if halves[i], err = experiment.ReadReports(path, session.ReportFile); err != nil {
				return 0, err
			}
		}
		alone := 0
		if pairs, alone, err = experiment.PairUp(halves[0], halves[1]); err != nil {
			return 0, err
		}
		if alone > 0 {
			note = append(note, fmt.Sprintf("%d reports have no match of the same scenario, seed and size", alone))
		}
	}
	c := experiment.Conclude(args[0], args[1], pairs)
	c.LeftOut = append(c.LeftOut, note...)
	if err != nil {
		c.Partial = err.Error()
	}
	if perr := a.tell(c.Print, c.JSON); perr != nil {
		return 0, perr
	}
	if a.outDir != "" {
		var b bytes.Buffer
		if err := c.JSON(&b); err != nil {
			return 0, err
		}
		if err := os.WriteFile(filepath.Join(a.outDir, "compare.json"), b.Bytes(), 0o644); err != nil {
			return 0, err
		}
	}
	switch {
	case c.Broken():
		return Broken, nil
	case err != nil:
		return 0, err
	case c.Pairs == 0:
		return RanLate, nil
	}
	return Kept, nil
}

// playPairs has two daemons play the same runs.
func (a *app) playPairs(ctx context.Context, paths []string) ([]experiment.Pair, error) {
	names := a.scenarios
	if len(names)+len(a.files) == 0 {
		names = comparedScenarios
	}
	scenarios, err := a.chosen(names)
	if err != nil {
		return nil, err
	}
	var players [2]experiment.Player
	var kept [2]*lines
	for i, path := range paths {
		if a.daemonPath, err = filepath.Abs(path); err != nil {
			return nil, err
		}
		program, remove, err := a.program(ctx, false)
		if err != nil {
			return nil, err
		}
		defer remove()
		players[i] = a.player(program)
		if kept[i], err = a.lines([]string{"a.jsonl", "b.jsonl"}[i]); err != nil {
			return nil, err
		}
		defer kept[i].close()
	}
	c := experiment.Compare{A: players[0], B: players[1], Scenarios: scenarios, Seeds: a.seedList(comparedSeeds),
		Changes:  a.change,
		Parallel: a.parallel, Say: a.say(), Keep: func(half int, run *report.Run) error { return kept[half].add(run) }}
	return c.Play(ctx)
}

func (a *app) capacity(ctx context.Context, args []string) (int, error) {
	if err := a.unused("capacity", "scenario"); err != nil {
		return 0, err
	}
	if !(a.width >= 0.001 && a.width <= mostWidth) || a.mostRuns < 1 || a.mostRuns > mostMostRuns {
		return 0, fmt.Errorf("--width takes 0.001 to %d, --most-runs 1 to %d", mostWidth, mostMostRuns)
	}
	c := experiment.Capacity{Changes: a.change, MinService: capacityService, Width: a.width, MostRuns: a.mostRuns,
		Parallel: a.parallel,
		Say:      a.say(), Seeds: a.seedList(capacitySeeds)}
	if a.flags.Changed("min-service") {
		c.MinService = a.minService
	}
	if a.kit {
		if len(args)+len(a.files) == 0 {
			args = []string{kitScenario}
		}
		if err := a.unused("capacity --kit", "min-service"); err != nil {
			return 0, err
		}
		c.Seeds = a.seedList(1)
		if c.KitLate = kitLateMS; a.flags.Changed("late-ms") {
			c.KitLate = a.lateMS
		}
		if c.Changes.Seconds == 0 {
			c.Changes.Seconds = kitSeconds
		}
	}
	scenarios, err := a.chosen(args)
	if err != nil {
		return 0, err
	}
	if len(scenarios) != 1 {
		return 0, errors.New("capacity takes one scenario")
	}
	c.Scenario = scenarios[0]
	if a.kit && c.Changes.Load == 0 { // many jobs, not much work: the workers are not what is to be found out
		plan, err := c.Scenario.Draw(c.Seeds[0], a.change)
		if err != nil {
			return 0, err
		}
		c.Changes.Load = plan.Load
	}
	program, remove, err := a.program(ctx, c.Scenario.HasPowerLoss())
	if err != nil {
		return 0, err
	}
	defer remove()
	c.Player = a.player(program)
	kept, err := a.lines("runs.jsonl")
	if err != nil {
		return 0, err
	}
	defer kept.close()
	c.Keep = kept.add
	out, err := c.Search(ctx)
	if out == nil || err != nil && len(out.Steps) == 0 && len(out.Broken) == 0 {
		return 0, err
	}
	if perr := a.tell(out.Print, out.JSON); perr != nil {
		return 0, perr
	}
	switch {
	case len(out.Broken) > 0:
		return Broken, nil
	case err != nil:
		return 0, err
	case out.KitLimit:
		return RanLate, nil
	case out.Holds == 0:
		return TooLow, nil
	}
	return Kept, nil
}
