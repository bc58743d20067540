// Package slope fits a resource to a parameter: a straight line by least squares with 95% intervals, a test whether it
// is straight, and predictions beyond the samples.
//
// The line is y = intercept + slope·x. The test compares it with y = a + b·x^p: the exponent p that leaves the smallest
// residuals, with the interval of all p whose residuals are not significantly larger (profile likelihood, F test). A
// log-log regression would take a positive intercept for an exponent under 1; here the intercept is fitted as well.
package slope

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Confidence is the level of all intervals.
const Confidence = 0.95

// Errors of Fit and CheckTop.
var (
	ErrTooFew  = errors.New("fewer than three samples")
	ErrSameX   = errors.New("all samples have the same parameter")
	ErrNoLower = errors.New("too few samples under the highest parameter")
)

// Sample is one run: the parameter and what was measured.
type Sample struct{ X, Y float64 }

// Estimate is a value with its interval.
type Estimate struct{ Value, Low, High float64 }

// Excludes tells whether v lies outside the interval.
func (e Estimate) Excludes(v float64) bool { return v < e.Low || v > e.High }

// Residual is the mean of the samples at one parameter against the line.
type Residual struct {
	X, Mean, Line float64
	N             int
}

// Difference is what the line misses, in the unit of the resource.
func (r Residual) Difference() float64 { return r.Mean - r.Line }

// Fit is a resource as a function of a parameter.
type Fit struct {
	Slope, Intercept Estimate
	StandardError    float64 // of the residuals, in the unit of the resource
	RSquared         float64
	Residuals        []Residual // one a parameter, ascending
	Exponent         Exponent

	samples []Sample
}

// New fits a line to samples. It takes three samples at two parameters at least.
func New(samples []Sample) (*Fit, error) {
	if len(samples) < 3 {
		return nil, ErrTooFew
	}
	for _, s := range samples {
		if math.IsNaN(s.X+s.Y) || math.IsInf(s.X+s.Y, 0) {
			return nil, fmt.Errorf("sample %g, %g is not a pair of numbers", s.X, s.Y)
		}
	}
	f := &Fit{samples: slices.Clone(samples)}
	slices.SortStableFunc(f.samples, func(a, b Sample) int { return compare(a.X, b.X) })
	if f.samples[0].X == f.samples[len(f.samples)-1].X {
		return nil, ErrSameX
	}
	l := fitLine(f.samples, identity)
	f.StandardError = l.standardError()
	f.Slope = l.slopeEstimate()
	f.Intercept = l.meanEstimate(0)
	f.RSquared = l.rSquared()
	f.Residuals = residuals(f.samples, l)
	f.Exponent = fitExponent(f.samples, l)
	return f, nil
}

// Straight tells whether the samples give no reason to doubt the line.
func (f *Fit) Straight() bool { return !f.Exponent.Known || !f.Exponent.Excludes(1) }

// Predict returns what one run would measure at x, with the interval for it. Where the samples are not straight it
// follows the curve with the fitted exponent, and the interval covers all exponents that the samples allow.
func (f *Fit) Predict(x float64) Estimate {
	if f.Straight() || x < 0 {
		return fitLine(f.samples, identity).predict(x)
	}
	out := fitLine(f.samples, power(f.Exponent.Value)).predict(x)
	for _, p := range []float64{f.Exponent.Low, f.Exponent.High} {
		bound := fitLine(f.samples, power(p)).predict(x)
		out.Low = min(out.Low, bound.Low)
		out.High = max(out.High, bound.High)
	}
	return out
}

// Range returns the lowest and the highest parameter of the samples.
func (f *Fit) Range() (low, high float64) {
	return f.samples[0].X, f.samples[len(f.samples)-1].X
}

// N is the number of samples.
func (f *Fit) N() int { return len(f.samples) }

// Top compares the highest point with what the lower ones predict for it.
type Top struct {
	X         float64
	Measured  float64 // mean of the samples there
	Predicted Estimate
}

// Error is by how much of the prediction the measurement differs from it: 0.1 if it is a tenth more.
func (t Top) Error() float64 { return (t.Measured - t.Predicted.Value) / t.Predicted.Value }

// Inside tells whether the measurement lies within the prediction's interval.
func (t Top) Inside() bool { return !t.Predicted.Excludes(t.Measured) }

// CheckTop predicts the samples with the highest parameter from the others.
func CheckTop(samples []Sample) (Top, error) {
	if len(samples) == 0 {
		return Top{}, ErrNoLower
	}
	highest := slices.MaxFunc(samples, func(a, b Sample) int { return compare(a.X, b.X) }).X
	var lower []Sample
	var measured []float64
	for _, s := range samples {
		if s.X == highest {
			measured = append(measured, s.Y)
		} else {
			lower = append(lower, s)
		}
	}
	f, err := New(lower)
	if errors.Is(err, ErrTooFew) || errors.Is(err, ErrSameX) {
		return Top{}, ErrNoLower
	}
	if err != nil {
		return Top{}, err
	}
	top := Top{X: highest, Measured: stat.Mean(measured, nil), Predicted: f.Predict(highest)}
	if math.Abs(top.Measured-top.Predicted.Value) <= rounding*math.Abs(top.Measured) {
		top.Measured = top.Predicted.Value
	}
	return top, nil
}

// Moved tells whether a slope differs from an earlier one by at least the share of it.
func Moved(before, after, share float64) bool {
	if before == 0 {
		return after != 0
	}
	return math.Abs(after-before) >= share*math.Abs(before)
}

func residuals(samples []Sample, l line) []Residual {
	var out []Residual
	for start := 0; start < len(samples); {
		end := start
		sum := 0.0
		for end < len(samples) && samples[end].X == samples[start].X {
			sum += samples[end].Y
			end++
		}
		n := end - start
		r := Residual{X: samples[start].X, Mean: sum / float64(n), Line: l.at(samples[start].X), N: n}
		if math.Abs(r.Difference()) <= l.least {
			r.Line = r.Mean
		}
		out = append(out, r)
		start = end
	}
	return out
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// studentT is the two-sided critical value with the given degrees of freedom.
func studentT(freedom float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile(1 - (1-Confidence)/2)
}

// Change is by how much the resource differs between two parameters, with half of its interval.
func (f *Fit) Change(from, to float64) (change, half float64) {
	if f.Straight() || from < 0 || to < 0 {
		return f.Slope.Value * (to - from), (f.Slope.High - f.Slope.Value) * math.Abs(to-from)
	}
	exponents := []float64{f.Exponent.Value, f.Exponent.Low, f.Exponent.High}
	for i, p := range exponents {
		l := fitLine(f.samples, power(p))
		estimate := l.slopeEstimate()
		distance := l.of(to) - l.of(from)
		one := estimate.Value * distance
		if i == 0 {
			change = one
		}
		half = max(half, math.Abs(one-change)+math.Abs((estimate.High-estimate.Value)*distance))
	}
	return change, half
}

// Mean is the mean of several runs of the same point with its interval. Of one run the interval is not known and taken
// as nothing.
func Mean(values []float64) Estimate {
	mean := stat.Mean(values, nil)
	if len(values) < 2 {
		return around(mean, 0)
	}
	deviation := stat.StdDev(values, nil)
	if deviation <= rounding*math.Abs(mean) {
		return around(mean, 0)
	}
	n := float64(len(values))
	return around(mean, studentT(n-1)*deviation/math.Sqrt(n))
}
