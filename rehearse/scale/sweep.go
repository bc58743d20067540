package scale

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
)

// Axis is a parameter that a sweep moves.
type Axis struct {
	Name      string // on the command line
	Parameter measurement.Parameter
	// Usual are the points if none are given, from the whole size that the file describes.
	Usual func(whole *size.Size) []float64
	set   func(s *size.Size, opt *Options, value float64)
}

// usualParts are the parts of the whole size at which a sweep measures.
var usualParts = []float64{0.2, 0.4, 0.6, 0.8, 1}

func partsOf(of func(*size.Size) float64) func(*size.Size) []float64 {
	return func(whole *size.Size) []float64 {
		points := make([]float64, len(usualParts))
		for i, part := range usualParts {
			points[i] = part * of(whole)
		}
		return points
	}
}

func fixed(points ...float64) func(*size.Size) []float64 {
	return func(*size.Size) []float64 { return points }
}

// Axes are all parameters that a sweep can move.
func Axes() []Axis {
	return []Axis{
		{"workers", measurement.Workers, partsOf(func(s *size.Size) float64 { return float64(s.Workers.Count) }),
			func(s *size.Size, _ *Options, v float64) {
				s.Workers.Accelerators = max(1, int(math.Round(float64(s.Workers.Accelerators)*v/float64(s.Workers.Count))))
				s.Workers.Count = int(v)
			}},
		{"task-starts", measurement.TaskStartsPerSecond, partsOf(func(s *size.Size) float64 { return s.Tasks.StartsPerS }),
			func(s *size.Size, _ *Options, v float64) {
				s.Tasks.StartsPerS = v
				s.Tasks.Running = max(1, int(math.Round(v*s.MeanRunS())))
			}},
		{"tenants", measurement.Tenants, partsOf(func(s *size.Size) float64 { return float64(s.Tenants.Count) }),
			func(s *size.Size, _ *Options, v float64) { s.Tenants.Count = int(v) }},
		{"schedulers", measurement.Schedulers, fixed(2, 4, 6, 9, 12),
			func(s *size.Size, _ *Options, v float64) { s.Schedulers.Real = int(v) }},
		{"hollow-schedulers", measurement.HollowSchedulers, fixed(4, 12, 24, 48, 94),
			func(s *size.Size, _ *Options, v float64) { s.Schedulers.Hollow = int(v) }},
		{"changes", measurement.ChangesPerDay, fixed(0, 43_200, 86_400, 172_800, 259_200),
			func(_ *size.Size, opt *Options, v float64) { opt.Changes = v / secondsOfDay }},
		{"ledger-replicas", measurement.Members, fixed(2, 3, 4, 5, 7),
			func(s *size.Size, _ *Options, v float64) {
				s.Schedulers.Ownership, s.Schedulers.LedgerReplicas = true, int(v)
			}},
		{"round-trip", measurement.RoundTripMS, fixed(2, 40, 80, 120, 160),
			func(s *size.Size, _ *Options, v float64) { s.Network.RegionsRoundTripMS = v }},
	}
}

// AxisOf finds an axis by its name.
func AxisOf(name string) (Axis, error) {
	var names []string
	for _, a := range Axes() {
		if a.Name == name {
			return a, nil
		}
		names = append(names, a.Name)
	}
	return Axis{}, fmt.Errorf("--sweep: %q is none of %s", name, strings.Join(names, ", "))
}

// Sweep is a parameter, its points and the seeds of each.
type Sweep struct {
	Axis     Axis
	Points   []float64
	Seeds    []uint64
	Parallel int // runs side by side
	// Done is told of each run that is over; err if it could not be played. May be nil.
	Done func(point float64, seed uint64, p *measurement.Point, err error)
}

// leastPoints is how many points a sweep needs.
const leastPoints = 5

// Check refuses a sweep with too few points, or one that this machine does not bear, before anything starts.
func (sw *Sweep) Check(base *size.Size, opt Options) error {
	if len(sw.Points) < leastPoints {
		return fmt.Errorf("a sweep needs %d points at least, and %d are given", leastPoints, len(sw.Points))
	}
	for _, value := range sw.Points {
		if !(value >= 0) || value > 1e9 {
			return fmt.Errorf("--points: %g is no value of %s", value, sw.Axis.Name)
		}
		s, _ := sw.at(base, opt, value)
		if err := s.Sane(); err != nil {
			return fmt.Errorf("%s %g: %w", sw.Axis.Name, value, err)
		}
		if err := Check(s); err != nil {
			return fmt.Errorf("%s %g: %w", sw.Axis.Name, value, err)
		}
	}
	if err := sw.checkSideBySide(base, opt); err != nil {
		return fmt.Errorf("--parallel %d: %w", sw.Parallel, err)
	}
	return nil
}

// checkSideBySide refuses a sweep whose largest runs do not fit beside each other.
func (sw *Sweep) checkSideBySide(base *size.Size, opt Options) error {
	var all []size.Needs
	for _, value := range sw.Points {
		s, _ := sw.at(base, opt, value)
		for range sw.Seeds {
			all = append(all, size.NeedsOf(s))
		}
	}
	slices.SortFunc(all, func(a, b size.Needs) int { return cmp.Compare(b.KitDescriptors, a.KitDescriptors) })
	sum := all[0]
	for _, n := range all[1:min(len(all), max(1, sw.Parallel))] {
		sum = sum.Add(n)
	}
	limit, err := size.DescriptorLimit()
	if err != nil {
		return err
	}
	return sum.Check(limit)
}

// at is the size and the options of a point.
func (sw *Sweep) at(base *size.Size, opt Options, value float64) (*size.Size, Options) {
	s := *base
	sw.Axis.set(&s, &opt, value)
	return &s, opt
}

// Play plays all points with all seeds, seeds in turn, and returns what each gave in the order of points and seeds. A run
// that could not be played is a point that does not count.
func (sw *Sweep) Play(ctx context.Context, base *size.Size, opt Options) ([]measurement.Point, error) {
	if err := sw.Check(base, opt); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var out []measurement.Point
	group := errgroup.Group{}
	group.SetLimit(max(1, sw.Parallel))
	for _, value := range sw.Points {
		for _, seed := range sw.Seeds {
			group.Go(func() error {
				if ctx.Err() != nil {
					return context.Cause(ctx)
				}
				s, options := sw.at(base, opt, value)
				p, err := pointOrFailure(ctx, s, seed, options)
				mu.Lock()
				defer mu.Unlock()
				out = append(out, *p)
				if sw.Done != nil {
					sw.Done(value, seed, p, err)
				}
				return nil
			})
		}
	}
	err := group.Wait()
	slices.SortStableFunc(out, func(a, b measurement.Point) int {
		x, _ := a.Parameters.Value(sw.Axis.Parameter)
		y, _ := b.Parameters.Value(sw.Axis.Parameter)
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(a.Seed, b.Seed))
	})
	return out, err
}

// pointOrFailure plays one run; what could not be played is a point that says why it does not count.
func pointOrFailure(ctx context.Context, s *size.Size, seed uint64, opt Options) (*measurement.Point, error) {
	res, err := Play(ctx, s, seed, opt)
	if err != nil {
		p := measurement.Point{Parameters: parametersOf(s), Seed: seed, WhyNot: "not played: " + err.Error()}
		p.Parameters.ChangesPerDay = opt.Changes * secondsOfDay
		return &p, err
	}
	return &res.Point, nil
}
