package trial

import "math"

// Search finds the highest rate that holds, supposing that a rate holds if a higher one does. It goes up or down from
// its start in steps of Grow until one rate holds and another fails, then halves what is between them.
type Search struct {
	Start       float64
	Least, Most float64 // rates beyond are never tried
	Grow        float64 // over 1
	Width       float64 // it ends when the failing rate is no more than this share above the one that holds

	holds, fails float64 // 0: none yet
}

// Next is the rate to try, and whether there is one.
func (s *Search) Next() (rate float64, more bool) {
	switch {
	case s.holds == 0 && s.fails == 0:
		return min(s.Most, max(s.Least, round(s.Start))), true
	case s.fails == 0:
		if s.holds >= s.Most {
			return 0, false
		}
		return min(s.Most, round(s.holds*s.Grow)), true
	case s.holds == 0:
		if s.fails <= s.Least {
			return 0, false
		}
		return max(s.Least, round(s.fails/s.Grow)), true
	case s.fails <= s.holds*(1+s.Width):
		return 0, false
	}
	rate = round(math.Sqrt(s.holds * s.fails))
	return rate, rate > s.holds && rate < s.fails
}

// Tell says how a rate did that Next had named.
func (s *Search) Tell(rate float64, holds bool) {
	if holds {
		s.holds = max(s.holds, rate)
	} else if s.fails == 0 || rate < s.fails {
		s.fails = rate
	}
}

// Found is the highest rate that held and the lowest that failed; 0 for what was not met.
func (s *Search) Found() (holds, fails float64) { return s.holds, s.fails }

// round leaves four digits, so that what a table shows is what was played.
func round(x float64) float64 {
	if !(x > 0) {
		return x
	}
	p := math.Pow(10, 3-math.Floor(math.Log10(x)))
	return math.Round(x*p) / p
}
