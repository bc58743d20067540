package slope

import "gonum.org/v1/gonum/stat/distuv"

// The exponents that are tried. An interval that reaches one of the ends is no result.
const (
	lowestExponent = 0.05
	exponentStep   = 0.01
	exponentTries  = 396 // up to 4
)

const (
	// exponentSamples and exponentPoints are the fewest samples and parameters that an exponent is fitted to.
	exponentSamples = 5
	exponentPoints  = 4
)

// Exponent is p of y = a + b·x^p.
type Exponent struct {
	Estimate
	Known bool // false: too few points, or the samples allow nearly any exponent
}

// fitExponent searches the exponent with the smallest residuals. straight is the fit with exponent 1.
func fitExponent(samples []Sample, straight line) Exponent {
	if len(samples) < exponentSamples || distinct(samples) < exponentPoints || samples[0].X < 0 {
		return Exponent{}
	}
	if straight.residual == 0 {
		return Exponent{Estimate: Estimate{Value: 1, Low: 1, High: 1}, Known: straight.total > 0}
	}
	exponents, sums := profile(samples)
	best := 0
	for i := range sums {
		if sums[i] < sums[best] {
			best = i
		}
	}
	freedom := float64(len(samples) - 3)
	limit := sums[best] * (1 + distuv.F{D1: 1, D2: freedom}.Quantile(Confidence)/freedom)
	low, high := best, best
	for low > 0 && sums[low-1] <= limit {
		low--
	}
	for high < len(sums)-1 && sums[high+1] <= limit {
		high++
	}
	return Exponent{
		Estimate: Estimate{Value: exponents[best], Low: exponents[low], High: exponents[high]},
		Known:    low > 0 && high < len(sums)-1,
	}
}

// profile returns the exponents that are tried and the sum of squared residuals with each.
func profile(samples []Sample) (exponents, sums []float64) {
	for i := range exponentTries {
		p := lowestExponent + float64(i)*exponentStep
		exponents = append(exponents, p)
		sums = append(sums, fitLine(samples, power(p)).residual)
	}
	return exponents, sums
}

// distinct counts the parameters of sorted samples.
func distinct(samples []Sample) int {
	n := 0
	for i := range samples {
		if i == 0 || samples[i].X != samples[i-1].X {
			n++
		}
	}
	return n
}
