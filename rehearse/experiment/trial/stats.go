// Package trial holds what experiments decide by numbers alone: means with their intervals, differences of pairs, and
// the search for the highest rate that holds. All of it is functions of what they are given; nothing here plays a run,
// reads a clock or draws chance. It is no part of core only as gonum's distributions, which it takes its quantiles
// from, hold samplers beside them.
package trial

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Confidence is that of all intervals, and Power the chance with which PairsToShow wants a difference to be seen.
const (
	Confidence = 0.95
	Power      = 0.8
)

// Interval is a mean with the interval that holds the true one in 95 of 100 experiments, by Student's t.
type Interval struct {
	N         int
	Mean      float64 // NaN without values
	Low, High float64 // NaN with fewer than two
	SD        float64 // of single values; NaN with fewer than two
}

// Mean returns the interval of values that were measured independently of each other. Those that are NaN are left out.
func Mean(values []float64) Interval {
	var xs []float64
	for _, x := range values {
		if !math.IsNaN(x) {
			xs = append(xs, x)
		}
	}
	out := Interval{N: len(xs), Mean: math.NaN(), Low: math.NaN(), High: math.NaN(), SD: math.NaN()}
	switch len(xs) {
	case 0:
		return out
	case 1:
		out.Mean = xs[0]
		return out
	}
	out.Mean, out.SD = stat.MeanStdDev(xs, nil)
	half := student(len(xs)-1, 0.5+Confidence/2) * out.SD / math.Sqrt(float64(len(xs)))
	out.Low, out.High = out.Mean-half, out.Mean+half
	return out
}

func student(freedom int, p float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(freedom)}.Quantile(p)
}

// Pair is one figure of two daemons that met the same run.
type Pair struct{ A, B float64 }

// Difference is what pairs say of B less A.
type Difference struct {
	Interval         // of the differences
	A, B     float64 // the means of each
	Up, Down int     // how many differences are above and below 0
	SignP    float64 // two-sided, of the sign test; 1 if no pair differs
}

// Paired compares pairs that are independent of each other. Those of which one half is NaN are left out.
func Paired(pairs []Pair) Difference {
	var as, bs, ds []float64
	var out Difference
	for _, p := range pairs {
		d := p.B - p.A
		if math.IsNaN(d) {
			continue
		}
		as, bs, ds = append(as, p.A), append(bs, p.B), append(ds, d)
		switch {
		case d > 0:
			out.Up++
		case d < 0:
			out.Down++
		}
	}
	out.Interval, out.A, out.B = Mean(ds), Mean(as).Mean, Mean(bs).Mean
	out.SignP = Sign(out.Up, out.Down)
	return out
}

// Told says whether the difference can be told from noise: its interval leaves out 0.
func (d Difference) Told() bool { return d.N > 1 && (d.Low > 0 || d.High < 0) }

// Sign is the sign test's two-sided p: how likely signs so uneven are when both are as likely.
func Sign(up, down int) float64 {
	if up+down == 0 {
		return 1
	}
	tail := distuv.Binomial{N: float64(up + down), P: 0.5}.CDF(float64(min(up, down)))
	return min(1, 2*tail)
}

// PairsToShow is about how many pairs it takes to tell a difference of a size from 0, in 80 of 100 experiments, when
// single differences scatter with a standard deviation of sd. It is 0 if no sensible number would.
func PairsToShow(sd, size float64) int {
	if !(sd >= 0) || !(size > 0) || sd/size > 1000 {
		return 0
	}
	z := distuv.UnitNormal.Quantile(0.5+Confidence/2) + distuv.UnitNormal.Quantile(Power)
	for n := max(2, int(math.Pow(z*sd/size, 2))); ; n++ {
		t := student(n-1, 0.5+Confidence/2) + student(n-1, Power)
		if float64(n) >= math.Pow(t*sd/size, 2) {
			return n
		}
	}
}
