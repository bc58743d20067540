package trial

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"laddertide/internal/pin"
)

func TestMain(m *testing.M) { pin.Run(m) }

func near(a, b, within float64) bool { return math.Abs(a-b) <= within }

// Student's own data of 1908: the hours of sleep that two drugs gave ten patients. The textbook's paired t is 4.06, its
// interval 0.70 to 2.46.
func TestPairedOnStudentsOwnData(t *testing.T) {
	a := []float64{0.7, -1.6, -0.2, -1.2, -0.1, 3.4, 3.7, 0.8, 0.0, 2.0}
	b := []float64{1.9, 0.8, 1.1, 0.1, -0.1, 4.4, 5.5, 1.6, 4.6, 3.4}
	var pairs []Pair
	for i := range a {
		pairs = append(pairs, Pair{a[i], b[i]})
	}
	pairs = append(pairs, Pair{math.NaN(), 1}, Pair{3, math.NaN()})
	d := Paired(pairs)
	if d.N != 10 || !near(d.A, 0.75, 1e-9) || !near(d.B, 2.33, 1e-9) || !near(d.Mean, 1.58, 1e-9) ||
		!near(d.Low, 0.7001142, 1e-6) || !near(d.High, 2.4598858, 1e-6) || !near(d.SD, 1.229995, 1e-6) {
		t.Errorf("%+v", d)
	}
	if d.Up != 9 || d.Down != 0 || !near(d.SignP, 2.0/512, 1e-12) || !d.Told() {
		t.Errorf("9 of 9 signs: %+v", d)
	}
}

func TestFewValues(t *testing.T) {
	if m := Mean(nil); m.N != 0 || !math.IsNaN(m.Mean) || !math.IsNaN(m.Low) {
		t.Errorf("nothing: %+v", m)
	}
	if m := Mean([]float64{3, math.NaN()}); m.N != 1 || m.Mean != 3 || !math.IsNaN(m.High) {
		t.Errorf("one: %+v", m)
	}
	if d := Paired([]Pair{{1, 2}}); d.Told() || d.Mean != 1 {
		t.Errorf("one pair tells a difference from noise: %+v", d)
	}
	if d := Paired([]Pair{{1, 1}, {2, 2}, {3, 3}}); d.Told() || d.SignP != 1 || d.Low != 0 || d.High != 0 {
		t.Errorf("equal pairs: %+v", d)
	}
}

func TestSign(t *testing.T) {
	for _, c := range []struct {
		up, down int
		p        float64
	}{{0, 0, 1}, {3, 3, 1}, {5, 0, 0.0625}, {0, 6, 0.03125}, {8, 2, 0.109375}, {2, 8, 0.109375}} {
		if p := Sign(c.up, c.down); !near(p, c.p, 1e-12) {
			t.Errorf("%d up, %d down: %g, want %g", c.up, c.down, p, c.p)
		}
	}
}

// Of many experiments with a known difference, 95% must have it in their interval, however few pairs they have.
func TestIntervalsHoldTheTruthAsOftenAsTheySay(t *testing.T) {
	for _, n := range []int{2, 3, 5, 12} {
		c, in := rand.New(rand.NewPCG(9, uint64(n))), 0
		const experiments = 5000
		for range experiments {
			pairs := make([]Pair, n)
			for i := range pairs {
				day := c.NormFloat64() // what both meet: pairing takes it out
				pairs[i] = Pair{day + 0.03*c.NormFloat64(), day + 0.02 + 0.04*c.NormFloat64()}
			}
			if d := Paired(pairs); d.Low <= 0.02 && 0.02 <= d.High {
				in++
			}
		}
		if share := float64(in) / experiments; share < 0.94 || share > 0.96 {
			t.Errorf("%d pairs: %.4f of intervals hold the truth", n, share)
		}
	}
}

// What PairsToShow says must come true: of experiments with so many pairs, 80% tell the difference.
func TestPairsToShow(t *testing.T) {
	if n := PairsToShow(1, 1); n != 10 { // as tables of the paired t-test have it
		t.Errorf("a difference as large as its scatter: %d pairs", n)
	}
	if n := PairsToShow(0, 0.01); n != 2 {
		t.Errorf("no scatter: %d pairs", n)
	}
	for _, bad := range [][2]float64{{math.NaN(), 1}, {1, 0}, {1, -1}, {1e9, 1}} {
		if n := PairsToShow(bad[0], bad[1]); n != 0 {
			t.Errorf("%v: %d pairs", bad, n)
		}
	}
	for _, sd := range []float64{0.01, 0.03} {
		n := PairsToShow(sd, 0.02)
		c, told := rand.New(rand.NewPCG(4, 4)), 0
		for range 4000 {
			pairs := make([]Pair, n)
			for i := range pairs {
				pairs[i].B = 0.02 + sd*c.NormFloat64()
			}
			if Paired(pairs).Told() {
				told++
			}
		}
		if share := float64(told) / 4000; share < 0.77 || share > 0.93 {
			t.Errorf("sd %g: %d pairs tell it in %.3f of experiments", sd, n, share)
		}
	}
}

func TestSearchFindsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Search{Least: 0.1, Most: 50_000, Grow: rapid.Float64Range(1.2, 4).Draw(t, "grow"),
			Width: rapid.Float64Range(0.005, 0.3).Draw(t, "width"),
			Start: math.Exp(rapid.Float64Range(-5, 14).Draw(t, "start"))}
		limit := math.Exp(rapid.Float64Range(-5, 14).Draw(t, "limit"))
		tried := make(map[float64]bool)
		for {
			rate, more := s.Next()
			if !more {
				break
			}
			if tried[rate] || rate < s.Least || rate > s.Most || len(tried) > 200 {
				t.Fatalf("tries %g after %d others", rate, len(tried))
			}
			tried[rate] = true
			s.Tell(rate, rate <= limit)
		}
		holds, fails := s.Found()
		switch {
		case limit < s.Least:
			if holds != 0 || fails != s.Least {
				t.Fatalf("holds %g, fails %g, though nothing does", holds, fails)
			}
		case limit >= s.Most:
			if holds != s.Most || fails != 0 {
				t.Fatalf("holds %g, fails %g, though all do", holds, fails)
			}
		case holds > limit || fails <= limit || fails > holds*(1+s.Width)*1.001:
			t.Fatalf("holds %g, fails %g, limit %g", holds, fails, limit)
		}
	})
}

// Whatever single rates answer, the search ends, and what it found is what it was told.
func TestSearchEndsInNoise(t *testing.T) {
	c := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		s := Search{Start: 30, Least: 0.1, Most: 1000, Grow: 1.5, Width: 0.02}
		said := make(map[float64]bool)
		for n := 0; ; n++ {
			rate, more := s.Next()
			if !more {
				break
			}
			if n > 100 {
				t.Fatal("no end")
			}
			said[rate] = c.IntN(2) == 0
			s.Tell(rate, said[rate])
		}
		holds, fails := s.Found()
		if holds != 0 && !said[holds] || fails != 0 && said[fails] || holds != 0 && fails != 0 && holds >= fails {
			t.Fatalf("holds %g, fails %g", holds, fails)
		}
	}
}
