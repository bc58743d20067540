package scale

import (
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
	kind string
	note string
	// steps adds what happens to a plan, from at on, and returns when it ends and how many it strikes.
	steps func(plan *scenario.Plan, s *size.Size, at time.Duration) (until time.Duration, struck int)
	// standsFor is the length that is stood for; nil: the one that is played.
	standsFor func(s *size.Size) float64
}

// Times of failures as they are played.
const (
	failureAt      = 10 * time.Second // after the window's beginning
	failureAfter   = 25 * time.Second // from a failure's end to the last arrival
	workerDown     = 8 * time.Second
	zoneDown       = 8 * time.Second
	regionCutShort = 12 * time.Second
	schedulerDown  = 3 * time.Second
	restartsDrawn  = 10 * time.Second // in which the workers of a rolling restart are taken
	workerStop     = 2 * time.Second  // from a drained worker's end to its next process
)

var failures = []failure{
	{kind: "worker", steps: crashOf(func(plan *scenario.Plan, _ *size.Size) []int { return []int{len(plan.Workers) / 2} }, workerDown)},
	{kind: "rolling-restart", note: "the restarts of a day, in proportion to the workers, within 10 s instead of a day", steps: rollingRestart,
		standsFor: func(*size.Size) float64 { return secondsOfDay }},
	{kind: "rack", note: "workers of one zone go silent together", steps: silenceOf(rack, workerDown)},
	{kind: "zone", note: "all workers of a zone go silent, and its real schedulers are killed", steps: zoneLost},
	{kind: "region-cut", note: "a region's schedulers are cut off from the other regions' schedulers and workers", steps: regionCut,
		standsFor: func(s *size.Size) float64 { return s.Failures.RegionCutS }},
	{kind: "all-schedulers", note: "all real schedulers are killed at once; hollow ones stay", steps: allSchedulers},
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
	opt.LeadIn, opt.Whole = LeadInOf(s), true
	opt.Window = failureAt - 2*time.Second
	plan, err := planOf(s, seed, opt.LeadIn, 0)
	if err != nil {
		return nil, err
	}
	at := opt.LeadIn + failureAt
	until, struck := f.steps(plan, s, at)
	plan.Length = until + failureAfter
	plan.Traffic.Length = plan.Length
	plan.Rules.Agree, plan.Rules.Met = agreeWithin.Microseconds(), metWithin.Microseconds()
	plan.Shades = append(plan.Shades, scenario.Shade{Name: f.kind, From: at, To: until})
	if opt.Out != "" {
		opt.Out = fmt.Sprintf("%s/%s-%d", opt.Out, f.kind, seed)
	}
	res, err := play(ctx, s, plan, opt)
	if err != nil {
		return nil, err
	}
	out := measurement.Failure{Kind: f.kind, LastedSeconds: (until - at).Seconds(), StandsForSeconds: (until - at).Seconds(),
		Struck: float64(struck), RulesBroken: rulesBroken(res.Report), Note: f.note}
	if f.standsFor != nil {
		out.StandsForSeconds = f.standsFor(s)
	}
	cost(&out, res, plan, opt.LeadIn, at, until)
	res.Point.Failures = []measurement.Failure{out}
	return &res.Point, nil
}

// What the judge allows: for how long after the last failure schedulers may say different things of each other, and how long
// a start may be news to some.
const (
	agreeWithin = 40 * time.Second
	metWithin   = 4 * time.Second
)

// backShare is how much of the service from before counts as back.
const backShare = 0.97

// cost fills in the service before and during a failure, and when it was back: by the time for which tasks were meant, in
// steps of a second. Worth goes by what was earned in the end.
func cost(f *measurement.Failure, res *Result, plan *scenario.Plan, from, at, until time.Duration) {
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
		for _, m := range res.Report.Figures.Moments {
			t := time.Duration(m.T)*time.Microsecond - start
			if t >= from && t < to {
				worth, earned = worth+m.Worth, earned+m.Earned
			}
		}
		return earned / max(worth, math.SmallestNonzeroFloat64), worth > 0
	}
	before, ok := share(from, at)
	if !ok {
		return
	}
	f.ServiceBefore = pointer(min(1, before))
	if during, ok := share(at, until); ok {
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

func crashOf(who func(*scenario.Plan, *size.Size) []int, down time.Duration) func(*scenario.Plan, *size.Size, time.Duration) (
	time.Duration, int) {
	return func(plan *scenario.Plan, s *size.Size, at time.Duration) (time.Duration, int) {
		some := who(plan, s)
		plan.Steps = append(plan.Steps, scenario.Step{At: at, Do: scenario.Crash, Workers: some},
			scenario.Step{At: at + down, Do: scenario.Return, Workers: some})
		return at + down, len(some)
	}
}

func silenceOf(who func(*scenario.Plan, *size.Size) []int, down time.Duration) func(*scenario.Plan, *size.Size, time.Duration) (
	time.Duration, int) {
	return func(plan *scenario.Plan, s *size.Size, at time.Duration) (time.Duration, int) {
		some := who(plan, s)
		plan.Steps = append(plan.Steps, scenario.Step{At: at, Do: scenario.Vanish, Workers: some},
			scenario.Step{At: at + down, Do: scenario.Return, Workers: some})
		return at + down, len(some)
	}
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
func rollingRestart(plan *scenario.Plan, s *size.Size, at time.Duration) (time.Duration, int) {
	n := min(len(plan.Workers), max(1, int(math.Round(s.Failures.RestartsPerDay))))
	order := scenario.Chance(plan.Seed, "rolling restart").Perm(len(plan.Workers))
	for i := range n {
		plan.Steps = append(plan.Steps, scenario.Step{At: at + restartsDrawn*time.Duration(i)/time.Duration(n), Do: scenario.Drain,
			Workers: []int{order[i]}, Down: workerStop, Stay: workerStop})
	}
	return at + restartsDrawn + 2*workerStop, n
}

// zoneLost takes the first zone away: its workers fall silent and its schedulers are killed.
func zoneLost(plan *scenario.Plan, _ *size.Size, at time.Duration) (time.Duration, int) {
	workers := workersIn(plan, plan.Zones[0])
	schedulers := schedulersIn(plan, plan.Zones[0])
	plan.Steps = append(plan.Steps, scenario.Step{At: at, Do: scenario.Vanish, Workers: workers},
		scenario.Step{At: at + zoneDown, Do: scenario.Return, Workers: workers})
	if len(schedulers) > 0 && len(schedulers) < len(plan.Schedulers) {
		plan.Steps = append(plan.Steps, scenario.Step{At: at, Do: scenario.Kill, Schedulers: schedulers, Down: zoneDown})
	}
	return at + zoneDown, len(workers) + len(schedulers)
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
func regionCut(plan *scenario.Plan, s *size.Size, at time.Duration) (time.Duration, int) {
	var inside, outside []string
	for _, r := range s.Regions {
		if r.Name == s.Regions[0].Name {
			inside = append(inside, r.Zones...)
		} else {
			outside = append(outside, r.Zones...)
		}
	}
	until := at + regionCutShort
	near, far := schedulersIn(plan, inside...), schedulersIn(plan, outside...)
	cut := func(schedulers, workers []int) {
		if len(schedulers) == 0 || len(workers) == 0 {
			return
		}
		plan.Steps = append(plan.Steps, scenario.Step{At: at, Do: scenario.Cut, Workers: workers, Schedulers: schedulers},
			scenario.Step{At: until, Do: scenario.Mend, Workers: workers, Schedulers: schedulers})
	}
	cut(near, workersIn(plan, outside...))
	cut(far, workersIn(plan, inside...))
	if len(near) > 0 {
		plan.Steps = append(plan.Steps, scenario.Step{At: at, Do: scenario.Part, Schedulers: near, Value: 1},
			scenario.Step{At: until, Do: scenario.Part, Schedulers: near})
	}
	return until, len(near)
}

// allSchedulers kills all real schedulers at once.
func allSchedulers(plan *scenario.Plan, _ *size.Size, at time.Duration) (time.Duration, int) {
	all := make([]int, len(plan.Schedulers))
	for i := range all {
		all[i] = i
	}
	plan.Steps = append(plan.Steps, scenario.Step{At: at, Do: scenario.Kill, Schedulers: all, Down: schedulerDown})
	return at + schedulerDown, len(all)
}
