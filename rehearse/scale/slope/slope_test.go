package slope

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func near(t *testing.T, name string, got, want, tolerance float64) {
	t.Helper()
	if !(math.Abs(got-want) <= tolerance) {
		t.Errorf("%s is %g, want %g", name, got, want)
	}
}

func fit(t *testing.T, samples []Sample) *Fit {
	t.Helper()
	f, err := New(samples)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// The first set of Anscombe, "Graphs in Statistical Analysis", The American Statistician 27 (1973): slope 0.5001 with
// standard error 0.1179, intercept 3.0001 with 1.1247, residual standard error 1.2366, R² 0.6665.
func TestAnscombe(t *testing.T) {
	f := fit(t, []Sample{{10, 8.04}, {8, 6.95}, {13, 7.58}, {9, 8.81}, {11, 8.33}, {14, 9.96}, {6, 7.24}, {4, 4.26},
		{12, 10.84}, {7, 4.82}, {5, 5.68}})
	const critical = 2.262157 // Student's t, 9 degrees of freedom, 97.5%
	near(t, "slope", f.Slope.Value, 0.50009, 1e-5)
	near(t, "slope's interval", f.Slope.High-f.Slope.Value, critical*0.11791, 1e-4)
	near(t, "slope's interval below", f.Slope.Value-f.Slope.Low, critical*0.11791, 1e-4)
	near(t, "intercept", f.Intercept.Value, 3.00009, 1e-5)
	near(t, "intercept's interval", f.Intercept.High-f.Intercept.Value, critical*1.12475, 1e-4)
	near(t, "standard error", f.StandardError, 1.23660, 1e-5)
	near(t, "R²", f.RSquared, 0.66654, 1e-5)
	// The mean of x is 9: one more run there has the interval 7.50091 ± t·s·sqrt(1+1/11).
	p := f.Predict(9)
	near(t, "prediction", p.Value, 7.50091, 1e-5)
	near(t, "prediction's interval", p.High-p.Value, critical*1.23660*math.Sqrt(12.0/11), 1e-4)
}

func TestExactLine(t *testing.T) {
	f := fit(t, []Sample{{1, 5}, {2, 7}, {3, 9}, {4, 11}, {5, 13}})
	near(t, "slope", f.Slope.Value, 2, 1e-12)
	near(t, "intercept", f.Intercept.Value, 3, 1e-12)
	near(t, "prediction", f.Predict(100).Value, 203, 1e-9)
	if !f.Straight() || !f.Exponent.Known || f.Exponent.Value != 1 {
		t.Errorf("an exact line has exponent %+v", f.Exponent)
	}
}

func TestFlat(t *testing.T) {
	f := fit(t, []Sample{{1, 5}, {2, 5}, {3, 5}, {4, 5}, {5, 5}})
	if f.Slope.Value != 0 || !f.Straight() || f.RSquared != 1 {
		t.Errorf("got %+v", f)
	}
}

// The last digit of a measurement, or of a step of the arithmetic, is not the same on all machines. Nothing that is told may depend on it.
func TestRoundingErrorsAreNoFigures(t *testing.T) {
	random := rand.New(rand.NewPCG(70, 1))
	for _, c := range []struct{ intercept, slope float64 }{{0, 3}, {0, 0.1}, {72, 3}, {0.1, 0}, {90, 0}, {1e9 / 3, 0}, {-1e-6, 1e-7}, {0, -1e5 / 7}} {
		for range 50 {
			var samples []Sample
			for _, x := range []float64{10, 18, 30, 54, 100} {
				for range 3 {
					y := c.intercept + c.slope*x
					samples = append(samples, Sample{X: x, Y: math.Nextafter(y, math.Inf(random.IntN(2)-1))})
				}
			}
			f := fit(t, samples)
			for name, e := range map[string]struct {
				got  Estimate
				want float64
			}{"slope": {f.Slope, c.slope}, "intercept": {f.Intercept, c.intercept}, "prediction": {f.Predict(200), c.intercept + c.slope*200}} {
				near(t, name, e.got.Value, e.want, 1e-12*max(math.Abs(c.intercept), 200*math.Abs(c.slope)))
				if e.got.Low != e.got.High || e.want == 0 && e.got.Value != 0 {
					t.Fatalf("%s of %g + %g·x is %+v", name, c.intercept, c.slope, e.got)
				}
			}
			for _, r := range f.Residuals {
				if r.Difference() != 0 {
					t.Fatalf("%g + %g·x misses %g at %g", c.intercept, c.slope, r.Difference(), r.X)
				}
			}
			if f.StandardError != 0 || f.RSquared != 1 || f.Exponent != (Exponent{Estimate{1, 1, 1}, c.slope != 0}) {
				t.Fatalf("%g + %g·x: standard error %g, R² %g, exponent %+v", c.intercept, c.slope, f.StandardError, f.RSquared, f.Exponent)
			}
		}
	}
}

func TestRoundingErrorsOfMeans(t *testing.T) {
	up := func(x float64) float64 { return math.Nextafter(x, math.Inf(1)) }
	if m := Mean([]float64{0.1, up(0.1), 0.1}); m.Low != m.High {
		t.Errorf("the mean of three times 0.1 is %+v", m)
	}
	top, err := CheckTop([]Sample{{1, 3}, {2, 6}, {3, 9}, {4, 12}, {5, up(15)}})
	if err != nil || !top.Inside() || top.Error() != 0 {
		t.Errorf("the last digit of the highest point is taken for a miss: %+v, %v", top, err)
	}
}

// What is small beside the largest measurement, and yet no rounding error, stays.
func TestSmallFiguresStay(t *testing.T) {
	const large, small = 2e7, 1e-3 // bytes
	f := fit(t, []Sample{{1, large}, {2, large + small}, {3, large + 2*small}, {4, large + 3*small}, {5, large + 4*small}})
	near(t, "slope", f.Slope.Value, small, 1e-3*small)
	f = fit(t, []Sample{{1, large + small}, {2, 2 * large}, {3, 3 * large}, {4, 4 * large}, {5, 5 * large}})
	if f.StandardError == 0 || f.Slope.Low == f.Slope.High || f.Residuals[0].Difference() == 0 || f.RSquared > 1 {
		t.Errorf("a miss by %g is taken for a rounding error: %+v", small, f)
	}
}

// noisy are three runs at each of six points of a + b·x^p, with normal noise of a share of the value.
func noisy(seed uint64, a, b, p, share float64) []Sample {
	random := rand.New(rand.NewPCG(seed, 1))
	var out []Sample
	for _, x := range []float64{50, 100, 200, 400, 700, 1000} {
		for range 3 {
			y := a + b*math.Pow(x, p)
			out = append(out, Sample{X: x, Y: y * (1 + share*random.NormFloat64())})
		}
	}
	return out
}

func TestCurveIsSaidToBeOne(t *testing.T) {
	const rounds = 100
	held := 0
	for seed := range uint64(rounds) {
		f := fit(t, noisy(seed, 20, 0.01, 1.4, 0.01))
		if f.Straight() {
			t.Fatalf("seed %d: exponent %+v was taken for a line", seed, f.Exponent)
		}
		near(t, "exponent", f.Exponent.Value, 1.4, 0.15)
		want := 20 + 0.01*math.Pow(2000, 1.4)
		if !f.Predict(2000).Excludes(want) {
			held++
		}
	}
	if held < 85 { // the noise here grows with the value, which the interval does not know
		t.Errorf("at twice the highest parameter %d of %d intervals held the truth", held, rounds)
	}
}

// With an intercept the log-log exponent is under 1 although the line is straight.
func TestInterceptIsNoCurve(t *testing.T) {
	wrong := 0
	for seed := range uint64(100) {
		if !fit(t, noisy(seed, 50, 0.1, 1, 0.01)).Straight() {
			wrong++
		}
	}
	if wrong > 12 { // 5 of 100 at the level of 95%; the noise here grows with the value, which the test does not assume
		t.Errorf("%d of 100 straight lines were called curves", wrong)
	}
}

func TestIntervalsHoldTheTruth(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	slopeHeld, predictionHeld := 0, 0
	const rounds = 400
	for range rounds {
		var samples []Sample
		for x := 1.0; x <= 5; x++ {
			for range 3 {
				samples = append(samples, Sample{X: x, Y: 2 + 3*x + random.NormFloat64()})
			}
		}
		l := fitLine(samples, identity)
		if !l.slopeEstimate().Excludes(3) {
			slopeHeld++
		}
		if !l.predict(8).Excludes(2 + 3*8 + random.NormFloat64()) {
			predictionHeld++
		}
	}
	for name, held := range map[string]int{"slope": slopeHeld, "prediction": predictionHeld} {
		if share := float64(held) / rounds; share < 0.92 || share > 0.98 {
			t.Errorf("%s: the 95%% interval held the truth in %g of all", name, share)
		}
	}
}

func TestTopPoint(t *testing.T) {
	samples := []Sample{{100, 11}, {200, 21}, {300, 31}, {400, 41}, {1000, 111}, {1000, 111}}
	top, err := CheckTop(samples)
	if err != nil {
		t.Fatal(err)
	}
	near(t, "x", top.X, 1000, 0)
	near(t, "measured", top.Measured, 111, 1e-9)
	near(t, "predicted", top.Predicted.Value, 101, 1e-9)
	near(t, "error", top.Error(), 10.0/101, 1e-9)
	if top.Inside() {
		t.Error("a miss of a tenth of an exact line is inside")
	}
}

func TestTooLittle(t *testing.T) {
	cases := []struct {
		samples []Sample
		want    error
	}{
		{nil, ErrTooFew},
		{[]Sample{{1, 1}, {2, 2}}, ErrTooFew},
		{[]Sample{{1, 1}, {1, 2}, {1, 3}}, ErrSameX},
	}
	for _, c := range cases {
		if _, err := New(c.samples); !errors.Is(err, c.want) {
			t.Errorf("%v: got %v", c.samples, err)
		}
		if _, err := CheckTop(c.samples); !errors.Is(err, ErrNoLower) {
			t.Errorf("top of %v: got %v", c.samples, err)
		}
	}
	if _, err := New([]Sample{{1, 1}, {2, math.NaN()}, {3, 3}}); err == nil {
		t.Error("NaN was fitted")
	}
}

func TestResidualsAreMeansByPoint(t *testing.T) {
	f := fit(t, []Sample{{2, 4}, {1, 1}, {2, 6}, {3, 9}, {1, 3}})
	if len(f.Residuals) != 3 || f.Residuals[0].X != 1 || f.Residuals[0].N != 2 || f.Residuals[0].Mean != 2 {
		t.Fatalf("got %+v", f.Residuals)
	}
	sum := 0.0
	for _, r := range f.Residuals {
		sum += r.Difference() * float64(r.N)
	}
	near(t, "sum of residuals", sum, 0, 1e-9)
}

func TestMoved(t *testing.T) {
	cases := []struct {
		before, after float64
		want          bool
	}{{10, 12, true}, {10, 11.9, false}, {10, 8, true}, {10, 8.1, false}, {-10, -12, true}, {0, 0, false}, {0, 1, true}}
	for _, c := range cases {
		if got := Moved(c.before, c.after, 0.2); got != c.want {
			t.Errorf("from %g to %g: %t", c.before, c.after, got)
		}
	}
}

// A change of units changes slope and intercept with it, and nothing else.
func TestUnits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var samples, scaled []Sample
		factorX := rapid.Float64Range(0.01, 100).Draw(t, "factorX")
		factorY := rapid.Float64Range(0.01, 100).Draw(t, "factorY")
		for i := range rapid.IntRange(4, 15).Draw(t, "n") {
			s := Sample{X: float64(i + 1), Y: rapid.Float64Range(1, 100).Draw(t, "y")}
			samples = append(samples, s)
			scaled = append(scaled, Sample{X: s.X * factorX, Y: s.Y * factorY})
		}
		a, err := New(samples)
		if err != nil {
			t.Fatal(err)
		}
		b, err := New(scaled)
		if err != nil {
			t.Fatal(err)
		}
		same := func(name string, got, want, size float64) {
			if math.Abs(got-want) > 1e-6*(size+math.Abs(want)) {
				t.Errorf("%s: %g, want %g", name, got, want)
			}
		}
		same("slope", b.Slope.Value, a.Slope.Value*factorY/factorX, factorY/factorX)
		same("slope's low end", b.Slope.Low, a.Slope.Low*factorY/factorX, factorY/factorX)
		same("intercept", b.Intercept.Value, a.Intercept.Value*factorY, 100*factorY)
		same("R²", b.RSquared, a.RSquared, 1)
	})
}

func TestChange(t *testing.T) {
	straight := fit(t, []Sample{{1, 5}, {2, 7}, {3, 9}, {4, 11}, {5, 13}})
	if change, half := straight.Change(10, 4); math.Abs(change+12) > 1e-9 || half > 1e-6 {
		t.Errorf("a line changes by %g, half of its interval %g", change, half)
	}
	curve := fit(t, noisy(1, 20, 0.01, 1.4, 0.005))
	want := 0.01 * (math.Pow(2000, 1.4) - math.Pow(500, 1.4))
	change, half := curve.Change(500, 2000)
	if math.Abs(change-want) > 2*half || half > 0.05*want { // the noise here grows with the value
		t.Errorf("a curve changes by %g, half of its interval %g; truly by %g", change, half, want)
	}
}

func TestMean(t *testing.T) {
	m := Mean([]float64{1, 2, 3})
	near(t, "mean", m.Value, 2, 1e-12)
	near(t, "interval", m.High-m.Value, 4.302653/math.Sqrt(3), 1e-5) // Student's t, 2 degrees of freedom
	if one := Mean([]float64{7}); one.Low != 7 || one.High != 7 {
		t.Errorf("the mean of one run is %+v", one)
	}
}
