package score

import (
	"cmp"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// window is the length of the worst stretch; windowStep is how far the stretch slides.
const (
	window     = 10 * second
	windowStep = second
)

// maxMoments and maxKinds bound what a long run or an odd one makes of a report.
const (
	maxMoments = 240
	maxKinds   = 50
)

// mostLatency is the longest time that a histogram tells apart, in microseconds; longer ones count as this.
const mostLatency = 600 * second

func seconds(us int64) float64 { return float64(us) / float64(second) }
func ms(us int64) float64      { return float64(us) / 1000 }

// step is the shortest of the usual steps, no shorter than least, that divides so much time into few enough moments.
func step(span, least int64) int64 {
	for _, s := range []int64{250_000, 500_000, second, 2 * second, 5 * second, 10 * second, 30 * second, 60 * second} {
		if s >= least && span/s < maxMoments {
			return s
		}
	}
	return (span/maxMoments/(60*second) + 1) * 60 * second
}

// recorder is a histogram of times with three significant figures.
type recorder struct {
	h    *hdrhistogram.Histogram
	most int64 // exactly
}

func newRecorder() *recorder { return &recorder{h: hdrhistogram.New(1, mostLatency, 3)} }

// add enters microseconds; what is less than nothing is nothing.
func (r *recorder) add(us int64) {
	us = min(max(0, us), mostLatency)
	r.most = max(r.most, us)
	// In range, so it cannot fail.
	_ = r.h.RecordValue(us)
}

// at is a percentile in ms; 0 if there was nothing.
func (r *recorder) at(percentile float64) float64 {
	if r.h.TotalCount() == 0 {
		return 0
	}
	return ms(min(r.h.ValueAtQuantile(percentile), r.most))
}

func (r *recorder) reset() {
	r.h.Reset()
	r.most = 0
}

func (e *Ends) count(how end) {
	e.Asked++
	switch how {
	case inTime:
		e.InTime++
	case late:
		e.Late++
	case refused:
		e.Refused++
	case failed:
		e.Failed++
	default:
		e.Unanswered++
	}
}

// ratio is a share; of nothing it is 0.
func ratio(part, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return part / of
}

// groups counts jobs by class and tenant. A tenant's share is that of what it asked within its quota.
func (c *counter) groups() {
	tally := func(groups []Group, place func(*job) int, within bool) {
		times := make([]*recorder, len(groups))
		worth, earned := make([]float64, len(groups)), make([]float64, len(groups))
		for i := range c.jobs {
			j := &c.jobs[i]
			n := place(j)
			g := &groups[n]
			g.count(j.end)
			g.Worth += j.worth
			g.Earned += j.earned
			if j.beyond {
				g.Beyond++
			}
			if !within || !j.beyond {
				worth[n] += j.worth
				earned[n] += j.earned
			}
			if j.end == inTime || j.end == late {
				if times[n] == nil {
					times[n] = newRecorder()
				}
				times[n].add(j.ended - j.due)
			}
		}
		for n := range groups {
			groups[n].Share = ratio(earned[n], worth[n])
			if r := times[n]; r != nil {
				groups[n].P50, groups[n].P99, groups[n].P999 = r.at(50), r.at(99), r.at(99.9)
			}
		}
	}
	tally(c.rep.Classes, func(j *job) int { return j.class }, false)
	tally(c.rep.Tenants, func(j *job) int { return j.tenant }, true)

	t, all := &c.rep.Totals, newRecorder()
	for i := range c.jobs {
		j := &c.jobs[i]
		t.count(j.end)
		if j.end == inTime || j.end == late {
			all.add(j.ended - j.due)
		}
	}
	t.P50, t.P99, t.P999 = all.at(50), all.at(99), all.at(99.9)
}

// moments draws the course of the run, by the times for which jobs were meant.
func (c *counter) moments() {
	last := int64(0)
	if n := len(c.jobs); n > 0 {
		last = max(0, c.jobs[n-1].due)
	}
	c.rep.Step = step(last, second)
	if len(c.jobs) == 0 {
		return
	}
	c.rep.Moments = make([]Moment, last/c.rep.Step+1)
	times, at := newRecorder(), 0
	for n := range c.rep.Moments {
		m := &c.rep.Moments[n]
		m.T = int64(n) * c.rep.Step
		times.reset()
		for ; at < len(c.jobs) && c.jobs[at].due < m.T+c.rep.Step; at++ {
			j := &c.jobs[at]
			m.count(j.end)
			m.Worth += j.worth
			m.Earned += j.earned
			switch j.end {
			case inTime:
				m.InTimeWorth += j.worth
				times.add(j.ended - j.due)
			case late:
				times.add(j.ended - j.due)
			}
		}
		m.P50, m.P99 = times.at(50), times.at(99)
	}
}

// service mixes the parts and takes off the deductions.
func (c *counter) service() {
	p, d, w := &c.rep.Parts, &c.rep.Deductions, c.setup.Weights
	var worth, earned, lateFail float64
	for i := range c.jobs {
		j := &c.jobs[i]
		worth += j.worth
		earned += j.earned
		// One that ran out of time is past its aim, even where that is no earlier than the deadline.
		outOfTime := j.end == unanswered && j.ended >= j.deadline
		if j.end != inTime && j.end != late && (outOfTime || j.ended > j.aim) {
			lateFail += j.worth
		}
	}
	p.Whole = ratio(earned, worth)
	p.Window, p.WindowFrom = c.worstWindow(p.Whole)
	p.WorstClass, p.Class = worst(c.rep.Classes, p.Whole, func(i int) float64 { return c.rep.Classes[i].Worth })
	within := make([]float64, len(c.rep.Tenants))
	for i := range c.jobs {
		if j := &c.jobs[i]; !j.beyond {
			within[j.tenant] += j.worth
		}
	}
	p.WorstTenant, p.Tenant = worst(c.rep.Tenants, p.Whole, func(i int) float64 { return within[i] })

	t, jobs := &c.rep.Totals, float64(len(c.jobs))
	d.CrossingsPerJob = ratio(float64(t.Crossings), jobs)
	d.LateFailShare = ratio(lateFail, worth)
	d.WasteShare = ratio(t.WorkWasted, t.WorkAsked)
	d.ProbesPerJob = ratio(float64(t.Probes), jobs)
	d.CrossZone, d.LateFail = w.CrossZone*d.CrossingsPerJob, w.LateFail*d.LateFailShare
	d.Waste, d.Probe = w.Waste*d.WasteShare, w.Probe*d.ProbesPerJob
	d.Sum = d.CrossZone + d.LateFail + d.Waste + d.Probe
	goal := w.Whole*p.Whole + w.Window*p.Window + w.WorstClass*p.WorstClass + w.WorstTenant*p.WorstTenant
	c.rep.Service = max(0, goal-d.Sum)
}

// worst is the smallest share among groups that asked for anything of worth; without such it is the whole's.
func worst(groups []Group, whole float64, worth func(int) float64) (float64, string) {
	share, name := whole, ""
	for i := range groups {
		if worth(i) > 0 && (name == "" || groups[i].Share < share) {
			share, name = groups[i].Share, groups[i].Name
		}
	}
	return share, name
}

// worstWindow slides 10 s over the times for which jobs were meant, from the whole second of the first on by a second,
// and last to where they end with the last job. In a run of 10 s or less it is the whole. One in which nothing of worth
// was asked does not count.
func (c *counter) worstWindow(whole float64) (share float64, from int64) {
	n := len(c.jobs)
	if n == 0 {
		return whole, 0
	}
	first, last := max(0, c.jobs[0].due)/second*second, c.jobs[n-1].due
	if last-first < window {
		return whole, first
	}
	share, from = math.Inf(1), first
	var worth, earned float64
	lo, hi := 0, 0
	look := func(at int64) {
		for ; hi < n && c.jobs[hi].due < at+window; hi++ {
			worth += c.jobs[hi].worth
			earned += c.jobs[hi].earned
		}
		for ; lo < hi && c.jobs[lo].due < at; lo++ {
			worth -= c.jobs[lo].worth
			earned -= c.jobs[lo].earned
		}
		// What adding and taking away leaves of nothing is not a share.
		if lo == hi || worth <= 1e-9 {
			return
		}
		if s := min(1, max(0, earned/worth)); s < share {
			share, from = s, at
		}
	}
	end := last + 1 - window
	// A history with times that no run has must not take for ever.
	for at := first; at < end; at += max(windowStep, (end-first)/100_000) {
		look(at)
	}
	look(end)
	if math.IsInf(share, 1) {
		return whole, first
	}
	return share, from
}

// counts puts counts in the order of their size; what is too many becomes one.
func counts(m map[string]int) []Count {
	out := make([]Count, 0, len(m))
	for name, n := range m {
		out = append(out, Count{name, n})
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.N, a.N), cmp.Compare(a.Name, b.Name))
	})
	if len(out) > maxKinds {
		rest := Count{Name: "others"}
		for _, o := range out[maxKinds-1:] {
			rest.N += o.N
		}
		out = append(out[:maxKinds-1], rest)
	}
	return out
}
