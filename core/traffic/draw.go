package traffic

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laddertide/core/history"
)

// MaxWorkMultiple bounds a job's running time, as a multiple of its class's mean. The distribution is scaled so that its mean
// is still that of the class after truncation.
const MaxWorkMultiple = 20

// Limits of a plan.
const (
	maxArrivals = 20_000_000
	maxCV       = 10
	maxFactor   = 1000 // peak rate relative to the usual rate
	maxBody     = 64 << 10
)

// RandomStream returns an independent random stream for a seed and a label, so that additional draws for one purpose do not
// change the values drawn for another.
func RandomStream(seed uint64, label string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, labelHash(label)))
}

func labelHash(label string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(label))
	return h.Sum64()
}

// Validate returns an error if the plan is invalid.
func (p *Plan) Validate() error {
	bad := func(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) || x < 0 }
	switch {
	case bad(p.Rate):
		return fmt.Errorf("traffic: invalid rate: %v", p.Rate)
	case p.Length < 0:
		return fmt.Errorf("traffic: invalid length: %v", p.Length)
	case p.Shape != "" && p.Shape != "steady" && p.Shape != "wave" && p.Shape != "burst":
		return fmt.Errorf("traffic: unknown shape %q", p.Shape)
	case p.Shape == "wave" && (bad(p.Amplitude) || p.Amplitude > 1 || p.Period <= 0):
		return fmt.Errorf("traffic: invalid wave: swing %v, period %v", p.Amplitude, p.Period)
	case math.IsNaN(p.HintSpread) || p.HintSpread > 5:
		return fmt.Errorf("traffic: invalid spread of hints: %v", p.HintSpread)
	case p.Body[0] < 0 || p.Body[1] < p.Body[0] || p.Body[1] > maxBody:
		return fmt.Errorf("traffic: invalid body sizes: %d to %d bytes", p.Body[0], p.Body[1])
	case bad(p.Memory[0]) || bad(p.Memory[1]) || p.Memory[1] < p.Memory[0]:
		return fmt.Errorf("traffic: invalid memory of jobs: %v to %v", p.Memory[0], p.Memory[1])
	}
	peak := 1.0
	if p.Shape == "wave" {
		peak += p.Amplitude
	}
	for i, b := range p.Bursts {
		if bad(b.Factor) || b.At < 0 || b.Length < 0 || b.Rise < 0 || b.Fall < 0 {
			return fmt.Errorf("traffic: burst %d is invalid: %+v", i, b)
		}
		peak *= max(1, b.Factor)
	}
	if peak > maxFactor {
		return fmt.Errorf("traffic: the wave and bursts multiply the rate by %v, more than the limit", peak)
	}
	if n := p.Rate * peak * p.Length.Seconds(); n > maxArrivals {
		return fmt.Errorf("traffic: too many jobs: %.0f; at most %d can be drawn", n, maxArrivals)
	}
	var classes, tenants []float64
	for _, c := range p.Classes {
		if c.Work <= 0 || bad(c.CV) || c.CV > maxCV {
			return fmt.Errorf("traffic: class %q: invalid mean running time %v or coefficient of variation %v", c.Name, c.Work, c.CV)
		}
		if c.MaxWork != 0 && c.MaxWork < 2*c.Work {
			return fmt.Errorf("traffic: class %q: with a mean running time of %v, the maximum of %v is too low", c.Name, c.Work, c.MaxWork)
		}
		if c.Dist != "lognormal" && c.Dist != "pareto" {
			return fmt.Errorf("traffic: class %q: unknown distribution %q", c.Name, c.Dist)
		}
		classes = append(classes, c.Share)
	}
	for _, t := range p.Tenants {
		tenants = append(tenants, t.Share)
	}
	for what, shares := range map[string][]float64{"classes": classes, "tenants": tenants, "zones": p.Zones} {
		sum := 0.0
		for _, s := range shares {
			if bad(s) {
				return fmt.Errorf("traffic: %s: invalid share %v", what, s)
			}
			sum += s
		}
		if sum <= 0 || bad(sum) {
			return errors.New("traffic: " + what + ": the sum of the shares is not a positive number")
		}
	}
	return nil
}

// RateFactor returns the factor of the rate at a time. A burst begins to rise at At and to fall at At + Length.
func (p *Plan) RateFactor(t Time) float64 {
	f := 1.0
	if p.Shape == "wave" {
		f += float64(p.Amplitude * math.Sin(2*math.Pi*float64(t%p.Period)/float64(p.Period)))
	}
	for _, b := range p.Bursts {
		f *= 1 + float64((b.Factor-1)*b.strength(t))
	}
	return f
}

// strength returns the strength of a burst at a time, from 0 to 1.
func (b Burst) strength(t Time) float64 {
	up := func(d Time) float64 {
		if d >= b.Rise {
			return 1
		}
		return float64(d) / float64(b.Rise)
	}
	switch past := t - b.At; {
	case past < 0:
		return 0
	case past < b.Length:
		return up(past)
	case past < b.Length+b.Fall:
		return up(b.Length) * (1 - float64(past-b.Length)/float64(b.Fall))
	}
	return 0
}

// Draw generates the arrivals of a plan within [0, Length), in order of time. The same plan gives the same arrivals on
// every machine: values are rounded to microseconds and hundredths, which removes floating-point differences.
//
// Arrivals are the points of a Poisson process in the plane of time and height that lie under the factor of the rate
// (thinning), drawn in layers of height 1. A burst therefore adds arrivals without changing the others, and each arrival
// draws its properties from its own seed.
func Draw(p Plan) ([]Arrival, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	d := newDrawer(&p)
	var out []Arrival
	if p.Rate > 0 {
		top := 1.0
		if p.Shape == "wave" {
			top += p.Amplitude
		}
		for _, b := range p.Bursts {
			top *= max(1, b.Factor)
		}
		for layer := 0; float64(layer) < top; layer++ {
			times := RandomStream(p.Seed, fmt.Sprintf("times %d", layer))
			marks := RandomStream(p.Seed, fmt.Sprintf("marks %d", layer))
			gap := float64(time.Second) / p.Rate
			for t := Time(0); ; {
				t += Time(min(times.ExpFloat64()*gap, float64(p.Length)) + 0.5)
				if t >= p.Length {
					break
				}
				height, seed := float64(layer)+marks.Float64(), marks.Uint64()
				if height < p.RateFactor(t) {
					out = append(out, d.arrival(t.Truncate(time.Microsecond), seed))
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ClientSeed, b.ClientSeed))
	})
	return out, nil
}

// drawer draws the properties of arrivals.
type drawer struct {
	plan                    *Plan
	classes, tenants, zones []float64 // cumulative shares
	scales                  []float64 // by class: the median of the lognormal or the minimum of the Pareto, in nanoseconds
	source                  *rand.PCG
	chance                  *rand.Rand
}

func newDrawer(p *Plan) *drawer {
	d := &drawer{plan: p, source: rand.NewPCG(0, 0)}
	d.chance = rand.New(d.source)
	sum := 0.0
	for _, c := range p.Classes {
		sum += c.Share
		d.classes = append(d.classes, sum)
		d.scales = append(d.scales, findScale(c))
	}
	sum = 0
	for _, t := range p.Tenants {
		sum += t.Share
		d.tenants = append(d.tenants, sum)
	}
	sum = 0
	for _, z := range p.Zones {
		sum += z
		d.zones = append(d.zones, sum)
	}
	return d
}

// The random streams of an arrival.
const (
	forClass uint64 = iota
	forTenant
	forZone
	forWork
	forHint
	forKey
	forObject
	forBody
	forMemory
	forClient
)

// restart reseeds the random source for one purpose of one arrival.
func (d *drawer) restart(seed, purpose uint64) *rand.Rand {
	d.source.Seed(seed, purpose)
	return d.chance
}

func (d *drawer) arrival(at Time, seed uint64) Arrival {
	p := d.plan
	a := Arrival{At: at, Slots: 1,
		Class:  pickIndex(d.classes, d.restart(seed, forClass)),
		Tenant: pickIndex(d.tenants, d.restart(seed, forTenant)),
		Zone:   pickIndex(d.zones, d.restart(seed, forZone)),
	}
	class := p.Classes[a.Class]
	if class.Slots > 0 {
		a.Slots = class.Slots
	}
	a.Work = drawWork(class, d.scales[a.Class], d.restart(seed, forWork))
	if p.HintSpread >= 0 {
		a.Hint = toMicroseconds(float64(a.Work) * math.Exp(p.HintSpread*d.restart(seed, forHint).NormFloat64()))
	}
	if class.Repeat == history.Keyed {
		chance := d.restart(seed, forKey)
		a.Key = fmt.Sprintf("%016x%016x", chance.Uint64(), chance.Uint64())
	}
	a.Object = fmt.Sprintf("%016x", d.restart(seed, forObject).Uint64())
	a.Body = p.Body[0] + d.restart(seed, forBody).IntN(p.Body[1]-p.Body[0]+1)
	a.Memory = p.Memory[0] + float64((p.Memory[1]-p.Memory[0])*d.restart(seed, forMemory).Float64())
	a.Memory = math.Round(a.Memory*100) / 100
	a.ClientSeed = d.restart(seed, forClient).Uint64()
	return a
}

// pickIndex draws an index by cumulative shares. An index with a share of 0 is never drawn.
func pickIndex(sums []float64, chance *rand.Rand) int {
	at := chance.Float64() * sums[len(sums)-1]
	for i, sum := range sums {
		if at < sum {
			return i
		}
	}
	return len(sums) - 1
}

// toMicroseconds converts nanoseconds to a time in whole microseconds, at least one.
func toMicroseconds(ns float64) Time {
	return max(1, Time(math.Round(min(ns, 1e15)/1e3))) * time.Microsecond
}

// drawWork draws a running time.
func drawWork(c Class, scale float64, chance *rand.Rand) Time {
	x := scale
	switch {
	case c.CV == 0:
	case c.Dist == "pareto":
		x *= math.Pow(1-chance.Float64(), -1/paretoShape(c.CV))
	default:
		x *= math.Exp(lognormalSigma(c.CV) * chance.NormFloat64())
	}
	most := c.maxWork()
	return min(toMicroseconds(min(x, float64(most))), max(time.Microsecond, most))
}

// maxWork returns the maximum running time of the class's jobs.
func (c *Class) maxWork() Time {
	if c.MaxWork > 0 {
		return min(c.MaxWork, MaxWorkMultiple*c.Work)
	}
	return MaxWorkMultiple * c.Work
}

// lognormalSigma returns the parameter of a lognormal distribution with this coefficient of variation.
func lognormalSigma(cv float64) float64 { return math.Sqrt(math.Log1p(cv * cv)) }

// paretoShape returns the parameter of a Pareto distribution with this coefficient of variation.
func paretoShape(cv float64) float64 { return 1 + math.Sqrt(1+1/(cv*cv)) }

// findScale finds by bisection the scale parameter with which the class's distribution, truncated at its maximum, has the
// class's mean.
func findScale(c Class) float64 {
	mean := float64(c.Work)
	if c.CV == 0 {
		return mean
	}
	most := float64(c.maxWork())
	low, high := 0.0, most
	for range 100 {
		mid := (low + high) / 2
		if truncatedMean(c, mid, most) < mean {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// truncatedMean returns the mean of min(X, most), where X has the class's distribution with this scale.
func truncatedMean(c Class, scale, most float64) float64 {
	if c.Dist == "pareto" {
		a := paretoShape(c.CV)
		return (a*scale - most*math.Pow(scale/most, a)) / (a - 1)
	}
	s := lognormalSigma(c.CV)
	below := func(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }
	z := math.Log(most/scale) / s
	return scale*math.Exp(s*s/2)*below(z-s) + most*below(-z)
}
