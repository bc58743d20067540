package slope

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// transform maps the parameter to the regressor.
type transform func(x float64) float64

func identity(x float64) float64 { return x }

func power(p float64) transform {
	return func(x float64) float64 { return math.Pow(x, p) }
}

// rounding is the share of the largest y under which a figure is the rounding errors of arithmetic. No resource is measured to so many digits,
// and the errors are not the same on all machines: some round once where others round twice, as in a·b + c.
const rounding = 1e-12

// line is a least squares fit of y on a transform of x. Its figures have no rounding errors in place of 0.
type line struct {
	of               transform
	intercept, slope float64
	n                float64
	mean             float64 // of the regressor
	spread           float64 // sum of squares of the regressor round its mean
	residual         float64 // sum of squares of the residuals
	total            float64 // sum of squares of y round its mean
	least            float64 // of y; what is less is rounding errors
}

func fitLine(samples []Sample, of transform) line {
	xs := make([]float64, len(samples))
	ys := make([]float64, len(samples))
	for i, s := range samples {
		xs[i] = of(s.X)
		ys[i] = s.Y
	}
	l := line{of: of, n: float64(len(samples)), mean: stat.Mean(xs, nil)}
	l.intercept, l.slope = stat.LinearRegression(xs, ys, nil, false)
	meanY := stat.Mean(ys, nil)
	for i := range xs {
		l.spread += square(xs[i] - l.mean)
		l.residual += square(ys[i] - l.intercept - l.slope*xs[i])
		l.total += square(ys[i] - meanY)
	}
	l.clear(xs, ys, meanY)
	return l
}

// clear puts 0 where there are rounding errors alone.
func (l *line) clear(xs, ys []float64, meanY float64) {
	reach, largest := 0.0, 0.0
	for i := range xs {
		reach = max(reach, math.Abs(xs[i]-l.mean))
		largest = max(largest, math.Abs(ys[i]))
	}
	l.least = rounding * largest
	squares := l.n * square(l.least)
	if math.Abs(l.slope)*reach <= l.least {
		l.slope, l.intercept = 0, meanY
	}
	if math.Abs(l.intercept) <= l.least {
		l.intercept = 0
	}
	if l.residual <= squares {
		l.residual = 0
	}
	if l.total <= squares {
		l.total = 0
	}
}

func (l line) at(x float64) float64 { return l.intercept + l.slope*l.of(x) }

func (l line) freedom() float64 { return l.n - 2 }

func (l line) standardError() float64 { return math.Sqrt(l.residual / l.freedom()) }

func (l line) rSquared() float64 {
	if l.total == 0 {
		return 1
	}
	return 1 - l.residual/l.total
}

func (l line) slopeEstimate() Estimate {
	return around(l.slope, studentT(l.freedom())*l.standardError()/math.Sqrt(l.spread))
}

// meanEstimate is the line at x with the interval for the mean of many runs.
func (l line) meanEstimate(x float64) Estimate {
	leverage := 1/l.n + square(l.of(x)-l.mean)/l.spread
	return around(l.at(x), studentT(l.freedom())*l.standardError()*math.Sqrt(leverage))
}

// predict is the line at x with the interval for one more run.
func (l line) predict(x float64) Estimate {
	leverage := 1 + 1/l.n + square(l.of(x)-l.mean)/l.spread
	return around(l.at(x), studentT(l.freedom())*l.standardError()*math.Sqrt(leverage))
}

func around(value, half float64) Estimate {
	return Estimate{Value: value, Low: value - half, High: value + half}
}

func square(x float64) float64 { return x * x }
