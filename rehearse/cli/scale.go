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

	"laddertide/rehearse/daemon"
	"laddertide/rehearse/scale"
	"laddertide/rehearse/scale/hollow"
	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
)

const scaleCommand = "scale"

const scaleUsage = `rehearse scale: play a fleet of a given size, and measure what each scheduler of it takes

  rehearse scale --file SIZE.yaml [--scale 0.1]                   one run
  rehearse scale --file SIZE.yaml --sweep workers --json FILE     move one parameter over points and seeds
  rehearse scale --file SIZE.yaml --failures --json FILE          play the failures of the size
  rehearse scale --join --json FILE [--sweep NAME] PART.json...   put measurements that were made in pieces into one file

The size is described by a file; rehearse/scale/files/size-two-years.yaml is an example, and docs/operate/capacity.md explains
its keys. Flags such as --workers change what the file says, after --scale. Nothing starts if the size needs over 200
processes, 12 GiB or the descriptors of the limit that is there.

Exit status: 0 all runs count; 1 it could not run; 2 a rule was broken; 4 a run does not count.

Flags:
`

// scaleApp is one call of the command scale.
type scaleApp struct {
	out, err io.Writer
	flags    *pflag.FlagSet

	file       string
	scale      float64
	sweep      string
	points     []float64
	failures   bool
	only       []string
	seed       uint64
	seeds      int
	parallel   int
	seconds    float64
	leadIn     float64
	taskS      float64
	deadlines  []float64
	workers    int
	schedulers int
	hollow     int
	tenants    int
	starts     float64
	roundTrip  float64
	ownership  bool
	replicas   int
	whole      bool
	daemonPath string
	json       string
	note       string
	outDir     string
	check      bool
	join       bool
}

func (a *scaleApp) defineFlags() {
	f := a.flags
	f.StringVar(&a.file, "file", "", "the description of the size")
	f.Float64Var(&a.scale, "scale", 1, "factor on all counts and rates of the size, over 0 and at most 1")
	f.StringVar(&a.sweep, "sweep", "", "move this parameter: "+strings.Join(axisNames(), ", "))
	f.Float64SliceVar(&a.points, "points", nil, "its values, five at least; else parts of the whole size, or usual ones")
	f.BoolVar(&a.failures, "failures", false, "play the failures of the size, each run to its end")
	f.StringSliceVar(&a.only, "only", nil, "of the failures, play these: "+strings.Join(scale.FailureKinds(), ", "))
	f.Uint64Var(&a.seed, "seed", 1, "what everything that is drawn is drawn from")
	f.IntVar(&a.seeds, "seeds", 0, "so many seeds from --seed on; 0: three for a sweep, else one")
	f.IntVar(&a.parallel, "parallel", 1, "play so many runs side by side")
	f.Float64Var(&a.seconds, "seconds", 10, "how long the window is in which is counted")
	f.Float64Var(&a.leadIn, "lead-in", 0, "seconds before the window; 0: derived from how long tasks run")
	f.Float64Var(&a.taskS, "task-seconds", 0, "how long a task runs in the mean, instead of what the file says")
	f.Float64SliceVar(&a.deadlines, "deadline-seconds", nil, "each class's deadline in turn, instead of what the file says")
	f.IntVar(&a.workers, "workers", 0, "how many workers, instead of what file and scale say")
	f.IntVar(&a.schedulers, "schedulers", 0, "how many real schedulers, instead of what file and scale say")
	f.IntVar(&a.hollow, "hollow-schedulers", 0, "how many hollow schedulers, instead of what file and scale say")
	f.IntVar(&a.tenants, "tenants", 0, "how many tenants, instead of what file and scale say")
	f.Float64Var(&a.starts, "task-starts", 0, "task starts a second, instead of what file and scale say")
	f.Float64Var(&a.roundTrip, "round-trip-ms", 0, "between regions, instead of what the file says")
	f.BoolVar(&a.ownership, "ownership", false, "each task has one owner among all schedulers, whatever the file says")
	f.IntVar(&a.replicas, "ledger-replicas", 0, "each scheduler's ledger has so many replicas; with --ownership; instead of what the file says")
	f.BoolVar(&a.whole, "whole", false, "go on until the last client has its answer, and report the service")
	f.StringVar(&a.daemonPath, "daemon", "", "the scheduler's program; else the laddertide beside this one, else one built by go")
	f.StringVar(&a.json, "json", "", "write the measurement to this file")
	f.StringVar(&a.note, "note", "", "what a reader of the file has to know")
	f.StringVar(&a.outDir, "out", "", "keep histories, pages with plots and logs in this folder")
	f.BoolVar(&a.join, "join", false, "play nothing: put the points of the files that are named into the one of --json")
	f.BoolVar(&a.check, "check", false, "only tell what the size needs, and start nothing")
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func axisNames() []string {
	var names []string
	for _, a := range scale.Axes() {
		names = append(names, a.Name)
	}
	return names
}

// scaleMain runs the command scale and returns the exit status.
func scaleMain(args []string, out, errs io.Writer) int {
	a := &scaleApp{out: out, err: errs, flags: pflag.NewFlagSet("rehearse scale", pflag.ContinueOnError)}
	a.flags.SetOutput(io.Discard)
	a.flags.Usage = func() {}
	a.defineFlags()
	fail := (&app{err: errs}).fail
	if err := a.flags.Parse(args); errors.Is(err, pflag.ErrHelp) {
		fmt.Fprint(out, scaleUsage+a.flags.FlagUsagesWrapped(118))
		return Kept
	} else if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the program at once
	code, err := a.run(ctx, args)
	if err != nil {
		return fail(err)
	}
	return code
}

// hollowMain runs a process of hollow schedulers.
func hollowMain(args []string, out, errs io.Writer) int {
	fail := (&app{err: errs}).fail
	if len(args) != 1 {
		return fail(errors.New(hollow.Command + " takes one file"))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := hollow.Main(ctx, args[0], out); err != nil {
		return fail(err)
	}
	return Kept
}

func (a *scaleApp) run(ctx context.Context, args []string) (int, error) {
	if a.join {
		return a.joinFiles(a.flags.Args())
	}
	whole, base, err := a.sizes()
	if err != nil {
		return 0, err
	}
	if a.check {
		return a.tellNeeds(base)
	}
	opt := scale.Options{Window: seconds(a.seconds), LeadIn: seconds(a.leadIn), Whole: a.whole, Out: a.outDir}
	work, err := a.work(whole, base, opt)
	if err != nil {
		return 0, err
	}
	if opt.Kit, err = scale.KitProgram(); err != nil {
		return 0, err
	}
	path, remove, err := daemon.Find(ctx, a.daemonPath)
	if err != nil {
		return 0, err
	}
	defer remove()
	opt.Program = daemon.Program{Path: path, Args: []string{"serve"}}
	varied, points, err := work(ctx, opt)
	if len(points) > 0 {
		scale.Table(a.out, varied, points)
	}
	if err != nil {
		return 0, err
	}
	if a.json != "" {
		if err := a.write(ctx, args, varied, points); err != nil {
			return 0, err
		}
	}
	return statusOf(points), nil
}

// sizes are the size of the file, and what of it is played.
func (a *scaleApp) sizes() (whole, base *size.Size, err error) {
	switch {
	case a.flags.NArg() > 0:
		return nil, nil, fmt.Errorf("scale takes no %q", a.flags.Arg(0))
	case a.file == "":
		return nil, nil, errors.New("scale needs --file with the description of a size")
	case !(a.scale > 0 && a.scale <= 1):
		return nil, nil, fmt.Errorf("--scale: %g is not over 0 and at most 1", a.scale)
	case !(a.seconds >= 1 && a.seconds <= 3600):
		return nil, nil, fmt.Errorf("--seconds: %g is not between 1 and 3600", a.seconds)
	case a.leadIn < 0 || a.taskS < 0 || a.starts < 0 || a.roundTrip < 0 || a.workers < 0 || a.schedulers < 0 ||
		a.hollow < 0 || a.tenants < 0 || a.seeds < 0 || a.parallel < 1 || a.parallel > 16:
		return nil, nil, errors.New("a flag is under 0, or --parallel is not between 1 and 16")
	}
	if whole, err = size.Load(a.file); err != nil {
		return nil, nil, err
	}
	if n := len(a.deadlines); n > 0 && n != len(whole.Classes) {
		return nil, nil, fmt.Errorf("--deadline-seconds: %d values for %d classes", n, len(whole.Classes))
	}
	base = a.changed(whole.Scaled(a.scale))
	if err := base.Sane(); err != nil {
		return nil, nil, fmt.Errorf("%s at --scale %g with these flags: %w", a.file, a.scale, err)
	}
	return whole, base, nil
}

// changed applies the flags that change a size.
func (a *scaleApp) changed(s *size.Size) *size.Size {
	if a.flags.Changed("workers") {
		s.Workers.Count = a.workers
		s.Failures.RackWorkers = min(s.Failures.RackWorkers, a.workers)
	}
	if a.flags.Changed("schedulers") {
		s.Schedulers.Real = a.schedulers
	}
	if a.flags.Changed("hollow-schedulers") {
		s.Schedulers.Hollow = a.hollow
	}
	if a.flags.Changed("tenants") {
		s.Tenants.Count = a.tenants
	}
	if a.flags.Changed("task-starts") {
		s.Tasks.StartsPerS = a.starts
	}
	if a.flags.Changed("ownership") {
		s.Schedulers.Ownership = a.ownership
	}
	if a.flags.Changed("ledger-replicas") {
		s.Schedulers.LedgerReplicas = a.replicas
	}
	if a.flags.Changed("round-trip-ms") {
		s.Network.RegionsRoundTripMS = a.roundTrip
	}
	s.Classes = slices.Clone(s.Classes)
	for i := range min(len(s.Classes), len(a.deadlines)) {
		s.Classes[i].DeadlineS = a.deadlines[i]
	}
	meanS := s.MeanRunS()
	if a.taskS > 0 {
		meanS = a.taskS
	}
	return s.WithRunTimes(meanS)
}

func (a *scaleApp) tellNeeds(s *size.Size) (int, error) {
	if err := scale.Check(s); err != nil {
		return 0, err
	}
	n := size.NeedsOf(s)
	fmt.Fprintf(a.out, "%d processes, %d MB, descriptors: %d of the kit, %d of a real scheduler, %d of a process of hollow ones\n",
		n.Processes, n.MemoryMB, n.KitDescriptors, n.SchedulerDescriptors, n.HollowDescriptors)
	return Kept, nil
}

// work is what a call measures: it is checked before anything starts.
type work func(context.Context, scale.Options) (measurement.Parameter, []measurement.Point, error)

func (a *scaleApp) work(whole, base *size.Size, opt scale.Options) (work, error) {
	seeds := a.seedsFrom(1)
	switch {
	case a.sweep != "" && a.failures:
		return nil, errors.New("--sweep and --failures do not go together")
	case a.sweep != "":
		sweep, err := a.sweepOf(whole, base)
		if err != nil {
			return nil, err
		}
		if err := sweep.Check(base, opt); err != nil {
			return nil, err
		}
		return func(ctx context.Context, opt scale.Options) (measurement.Parameter, []measurement.Point, error) {
			points, err := sweep.Play(ctx, base, opt)
			return sweep.Axis.Parameter, points, err
		}, nil
	}
	if err := scale.Check(base); err != nil {
		return nil, err
	}
	if a.failures {
		return func(ctx context.Context, opt scale.Options) (measurement.Parameter, []measurement.Point, error) {
			points, err := scale.PlayFailures(ctx, base, seeds, a.only, opt, a.say)
			return "", points, err
		}, nil
	}
	return func(ctx context.Context, opt scale.Options) (measurement.Parameter, []measurement.Point, error) {
		var points []measurement.Point
		for _, seed := range seeds {
			options := opt
			if opt.Out != "" && len(seeds) > 1 {
				options.Out = filepath.Join(opt.Out, fmt.Sprint(seed))
			}
			res, err := scale.Play(ctx, base, seed, options)
			if err != nil {
				return "", points, err
			}
			points = append(points, res.Point)
		}
		return "", points, nil
	}, nil
}

func (a *scaleApp) sweepOf(whole, base *size.Size) (*scale.Sweep, error) {
	axis, err := scale.AxisOf(a.sweep)
	if err != nil {
		return nil, err
	}
	points := a.points
	if len(points) == 0 {
		points = axis.Usual(whole)
	}
	const seedsOfSweep = 3
	return &scale.Sweep{Axis: axis, Points: points, Seeds: a.seedsFrom(seedsOfSweep), Parallel: a.parallel,
		Done: func(value float64, seed uint64, p *measurement.Point, err error) {
			counts := "counts"
			if !p.Valid {
				counts = "does not count: " + p.WhyNot
			}
			a.say(fmt.Sprintf("%s %g, seed %d: %s", axis.Name, value, seed, counts))
		}}, nil
}

func (a *scaleApp) seedsFrom(usual int) []uint64 {
	n := a.seeds
	if n == 0 {
		n = usual
	}
	seeds := make([]uint64, n)
	for i := range seeds {
		seeds[i] = a.seed + uint64(i)
	}
	return seeds
}

func (a *scaleApp) say(text string) { fmt.Fprintln(a.err, text) }

// write writes the measurement, whole or not at all.
func (a *scaleApp) write(ctx context.Context, args []string, varied measurement.Parameter, points []measurement.Point) error {
	file, err := scale.FileOf(ctx, "go run ./cmd/rehearse scale "+strings.Join(quoted(args), " "), a.file, a.scale, varied, a.note,
		points)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(a.json), 0o755); err != nil {
		return err
	}
	return file.Write(a.json)
}

// joinFiles puts measurements that were made in pieces into one file.
func (a *scaleApp) joinFiles(names []string) (int, error) {
	if a.json == "" {
		return 0, errors.New("--join needs --json with the file to write")
	}
	varied := measurement.Parameter("")
	if a.sweep != "" {
		axis, err := scale.AxisOf(a.sweep)
		if err != nil {
			return 0, err
		}
		varied = axis.Parameter
	}
	var files []*measurement.File
	for _, name := range names {
		f, err := measurement.Read(name)
		if err != nil {
			return 0, err
		}
		files = append(files, f)
	}
	joined, err := scale.Join(files, varied, a.note)
	if err != nil {
		return 0, err
	}
	scale.Table(a.out, varied, joined.Points)
	if err := joined.Write(a.json); err != nil {
		return 0, err
	}
	return statusOf(joined.Points), nil
}

// quoted are arguments as a shell takes them. The daemon's and the output's places are this machine's own and are left out.
func quoted(args []string) []string {
	var out []string
	for i := 0; i < len(args); i++ {
		name, _, joined := strings.Cut(args[i], "=")
		if slices.Contains([]string{"--daemon", "--out", "--note", "--json"}, name) {
			if !joined {
				i++
			}
			continue
		}
		if strings.ContainsAny(args[i], " \t\"'$&|;<>()*?") {
			out = append(out, "'"+strings.ReplaceAll(args[i], "'", `'\''`)+"'")
			continue
		}
		out = append(out, args[i])
	}
	return out
}

// statusOf is the exit status of points.
func statusOf(points []measurement.Point) int {
	status := Kept
	for _, p := range points {
		if p.Service != nil && len(p.Service.RulesBroken) > 0 {
			return Broken
		}
		for _, f := range p.Failures {
			if len(f.RulesBroken) > 0 {
				return Broken
			}
		}
		if !p.Valid {
			status = RanLate
		}
	}
	return status
}
