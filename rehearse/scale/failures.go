package scale

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
	"laddertide/rehearse/scenario"
)

// failure is one kind of failure that is played.
type failure struct {
	kind   string
	note   string
	lasts  time.Duration
	strike strike
	// standsFor is the length that is stood for; nil: the one that is played.
	standsFor func(s *size.Size) float64
}

// strike adds to a plan what happens from one time to another, and returns how many workers or schedulers it meets.
type strike func(plan *scenario.Plan, s *size.Size, from, to time.Duration) (struck int)

// Times of failures as they are played.
const (
	steadyFor    = 6 * time.Second  // after the lead-in, of tasks that have ended when the failure strikes
	mostInHand   = 20 * time.Second // no longer is waited for tasks of before to end
	failureAfter = 25 * time.Second // from a failure's end to the last arrival
	windowPart   = 0.8              // of the time before the failure
)

var failures = []failure{
	{kind: "worker", lasts: 8 * time.Second, strike: workerCrash},
	{kind: "rolling-restart", note: "the restarts of a day, in proportion to the workers, within 14 s instead of a day",
		lasts: 14 * time.Second, strike: rollingRestart, standsFor: func(*size.Size) float64 { return secondsOfDay }},
	{kind: "rack", note: "workers of one zone fall silent together", lasts: 8 * time.Second, strike: rackSilent},
	{kind: "zone", note: "all workers of a zone fall silent, and its real schedulers are killed unless they are all that there are",
		lasts: 8 * time.Second, strike: zoneLost},
	{kind: "region-cut", note: "a region's schedulers are cut off from the other regions' schedulers and workers",
		lasts: 12 * time.Second, strike: regionCut, standsFor: func(s *size.Size) float64 { return s.Failures.RegionCutS }},
	{kind: "all-schedulers", note: "all real schedulers are killed at once; hollow ones stay", lasts: 3 * time.Second,
		strike: allSchedulers},
}

// FailureKinds names the failures in the order in which they are played.
func FailureKinds() []string {
	var names []string
	for _, f := range failures {
		names = append(names, f.kind)
	}
	return names
}

// PlayFailures plays failures of a size, each in a run of its own that goes on until the last answer. only names those that
// are played; empty: all.
func PlayFailures(ctx context.Context, s *size.Size, seeds []uint64, only []string, opt Options, say func(string)) (
	[]measurement.Point, error) {
	for _, name := range only {
		if !slices.Contains(FailureKinds(), name) {
			return nil, fmt.Errorf("--only: %q is none of %s", name, strings.Join(FailureKinds(), ", "))
		}
	}
	var points []measurement.Point
	for _, f := range failures {
		if len(only) > 0 && !slices.Contains(only, f.kind) {
			continue
		}
		for _, seed := range seeds {
			p, err := playFailure(ctx, s, seed, f, opt)
			if err != nil {
				return points, fmt.Errorf("%s, seed %d: %w", f.kind, seed, err)
			}
			points = append(points, *p)
			say(fmt.Sprintf("%s, seed %d: service %.3f, %s", f.kind, seed, p.Service.Share, rulesText(p.Service.RulesBroken)))
		}
	}
	return points, nil
}

func rulesText(broken []string) string {
	if len(broken) == 0 {
		return "all rules kept"
	}
	return "BROKEN: " + strings.Join(broken, ", ")
}

// playFailure plays one failure. The window in which CPU and bytes are counted is that before the failure, so that a
// scheduler that is killed does not take its counts along.
func playFailure(ctx context.Context, s *size.Size, seed uint64, f failure, opt Options) (*measurement.Point, error) {
	shorten := cmp.Or(opt.Shorten, 1)
	opt.LeadIn, opt.Whole = LeadInOf(s), true
	before := steadyFor + inHand(s)
	opt.Window = shortened(windowPart*shorten, before)
	plan, err := planOf(s, seed, opt.LeadIn, opt.Window)
	if err != nil {
		return nil, err
	}
	at := opt.LeadIn + shortened(shorten, before)
	until := at + shortened(shorten, f.lasts)
	struck := f.strike(plan, s, at, until)
	plan.Length = until + shortened(shorten, failureAfter)
	plan.Traffic.Length = plan.Length
	plan.TroubleIntervals = append(plan.TroubleIntervals, scenario.TroubleInterval{Name: f.kind, From: at, To: until})
	if opt.Out != "" {
		opt.Out = fmt.Sprintf("%s/%s-%d", opt.Out, f.kind, seed)
	}
	meter := &controlMeter{at: []time.Duration{opt.LeadIn, at, plan.Length}}
	opt.beside = meter.run
	res, err := play(ctx, s, plan, opt)
	if err != nil {
		return nil, err
	}
	out := measurement.Failure{Kind: f.kind, LastedSeconds: (until - at).Seconds(), StandsForSeconds: (until - at).Seconds(),
		Struck: float64(struck), RulesBroken: rulesBroken(res.Report), Note: f.note}
	if f.standsFor != nil {
		out.StandsForSeconds = f.standsFor(s)
	}
	steadyUntil := opt.LeadIn + shortened(shorten, steadyFor)
	cost(&out, res, plan, opt.LeadIn, steadyUntil, until)
	out.Messages, out.Bytes = meter.caused()
	res.Point.Failures = []measurement.Failure{out}
	return &res.Point, nil
}

// backShare is how much of the service from before counts as back.
const backShare = 0.97

// inHand is how long before a failure a task may have been meant that the failure still finds running: as long as any task runs.
func inHand(s *size.Size) time.Duration {
	longest := 0.0
	for _, c := range s.Classes {
		longest = max(longest, c.RunMostS)
	}
	return min(mostInHand, seconds(longest))
}

// cost fills in the service before and during a failure, and when it was back: by the time for which tasks were meant, in
// steps of a second. Worth goes by what was earned in the end. What a failure may find in hand is its cost: tasks that were meant
// from steadyUntil on count as during it.
func cost(f *measurement.Failure, res *Result, plan *scenario.Plan, from, steadyUntil, until time.Duration) {
	start := time.Duration(res.Report.Figures.End) // replaced below if the setup says it
	if len(res.Events) > 0 {
		for i := range res.Events {
			if setup := res.Events[i].Setup; setup != nil {
				start = time.Duration(setup.Start) * time.Microsecond
				break
			}
		}
	}
	share := func(from, to time.Duration) (float64, bool) {
		worth, earned := 0.0, 0.0
		for _, m := range res.Report.Figures.Intervals {
			t := time.Duration(m.T)*time.Microsecond - start
			if t >= from && t < to {
				worth, earned = worth+m.Worth, earned+m.Earned
			}
		}
		return earned / max(worth, math.SmallestNonzeroFloat64), worth > 0
	}
	before, ok := share(from, steadyUntil)
	if !ok {
		return
	}
	f.ServiceBefore = pointer(min(1, before))
	if during, ok := share(steadyUntil, until); ok {
		f.ServiceDuring = pointer(min(1, during))
	}
	const steady = 3 * time.Second // for which it must stay back
	for t := until; t+steady <= plan.Length; t += time.Second {
		if now, ok := share(t, t+steady); ok && now >= backShare*before {
			f.SecondsUntilBack = pointer((t - until).Seconds())
			return
		}
	}
}

func shortened(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}

func workerCrash(plan *scenario.Plan, _ *size.Size, from, to time.Duration) int {
	one := []int{len(plan.Workers) / 2}
	plan.Steps = append(plan.Steps, scenario.Step{At: from, Act: scenario.Crash, Workers: one},
		scenario.Step{At: to, Act: scenario.StartCold, Workers: one})
	return 1
}

// silence makes workers silent for a while.
func silence(plan *scenario.Plan, workers []int, from, to time.Duration) {
	plan.Steps = append(plan.Steps, scenario.Step{At: from, Act: scenario.MachineSilent, Workers: workers},
		scenario.Step{At: to, Act: scenario.StartCold, Workers: workers})
}

func rackSilent(plan *scenario.Plan, s *size.Size, from, to time.Duration) int {
	some := rack(plan, s)
	silence(plan, some, from, to)
	return len(some)
}

// rack is some workers of the first zone.
func rack(plan *scenario.Plan, s *size.Size) []int {
	all := workersIn(plan, plan.Zones[0])
	return all[:min(len(all), s.Failures.RackWorkers)]
}

func workersIn(plan *scenario.Plan, zones ...string) (out []int) {
	for i, w := range plan.Workers {
		if slices.Contains(zones, w.Zone) {
			out = append(out, i)
		}
	}
	return out
}

// rollingRestart drains and restarts as many workers as a day does, one after another.
func rollingRestart(plan *scenario.Plan, s *size.Size, from, to time.Duration) int {
	const stop = 2 * time.Second // for a worker to drain, and again until its next process starts
	n := min(len(plan.Workers), max(1, int(math.Round(s.Failures.RestartsPerDay))))
	order := scenario.RandomStream(plan.Seed, "rolling restart").Perm(len(plan.Workers))
	last := max(0, to-from-2*stop)
	for i := range n {
		plan.Steps = append(plan.Steps, scenario.Step{At: from + last*time.Duration(i)/time.Duration(n), Act: scenario.Drain,
			Workers: []int{order[i]}, Down: stop, MinDrain: stop})
	}
	return n
}

// zoneLost takes the first zone away: its workers fall silent and its schedulers are killed.
func zoneLost(plan *scenario.Plan, _ *size.Size, from, to time.Duration) int {
	workers, schedulers := workersIn(plan, plan.Zones[0]), schedulersIn(plan, plan.Zones[0])
	silence(plan, workers, from, to)
	if len(schedulers) == len(plan.Schedulers) {
		return len(workers)
	}
	plan.Steps = append(plan.Steps, scenario.Step{At: from, Act: scenario.Kill, Schedulers: schedulers, Down: to - from})
	return len(workers) + len(schedulers)
}

func schedulersIn(plan *scenario.Plan, zones ...string) (out []int) {
	for i, sc := range plan.Schedulers {
		if slices.Contains(zones, plan.Zones[sc.Zone]) {
			out = append(out, i)
		}
	}
	return out
}

// regionCut cuts the first region off: nothing passes between its schedulers and the others, nor between schedulers and
// workers on two sides.
func regionCut(plan *scenario.Plan, s *size.Size, from, to time.Duration) int {
	var inside, outside []string
	for _, r := range s.Regions {
		if r.Name == s.Regions[0].Name {
			inside = append(inside, r.Zones...)
		} else {
			outside = append(outside, r.Zones...)
		}
	}
	near, far := schedulersIn(plan, inside...), schedulersIn(plan, outside...)
	cut := func(schedulers, workers []int) {
		if len(schedulers) == 0 || len(workers) == 0 {
			return
		}
		plan.Steps = append(plan.Steps, scenario.Step{At: from, Act: scenario.NetworkCut, Workers: workers, Schedulers: schedulers},
			scenario.Step{At: to, Act: scenario.EndNetworkCut, Workers: workers, Schedulers: schedulers})
	}
	cut(near, workersIn(plan, outside...))
	cut(far, workersIn(plan, inside...))
	if len(near) > 0 {
		plan.Steps = append(plan.Steps, scenario.Step{At: from, Act: scenario.CutPeers, Schedulers: near, Value: 1},
			scenario.Step{At: to, Act: scenario.CutPeers, Schedulers: near})
	}
	return len(near)
}

// allSchedulers kills all real schedulers at once.
func allSchedulers(plan *scenario.Plan, _ *size.Size, from, to time.Duration) int {
	all := make([]int, len(plan.Schedulers))
	for i := range all {
		all[i] = i
	}
	plan.Steps = append(plan.Steps, scenario.Step{At: from, Act: scenario.Kill, Schedulers: all, Down: to - from})
	return len(all)
}
