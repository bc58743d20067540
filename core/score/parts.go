package score

import (
	"cmp"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// window is the length of the sliding window for Parts.Window; windowStep is the distance between its positions.
const (
	window     = 10 * second
	windowStep = second
)

// maxMoments and maxKinds limit the size of a report.
const (
	maxMoments = 240
	maxKinds   = 50
)

// maxLatency is the maximum of the histograms, in microseconds; longer times are recorded as this.
const maxLatency = 600 * second

func seconds(us int64) float64 { return float64(us) / float64(second) }
func ms(us int64) float64      { return float64(us) / 1000 }

// chooseStep returns the shortest of the usual intervals, at least least, that divides the span into at most maxMoments.
func chooseStep(span, least int64) int64 {
	for _, s := range []int64{250_000, 500_000, second, 2 * second, 5 * second, 10 * second, 30 * second, 60 * second} {
		if s >= least && span/s < maxMoments {
			return s
		}
	}
	return (span/maxMoments/(60*second) + 1) * 60 * second
}

// histogram records times with three significant figures.
type histogram struct {
	h       *hdrhistogram.Histogram
	maximum int64 // exact, not rounded to a bucket
}

func newHistogram() *histogram { return &histogram{h: hdrhistogram.New(1, maxLatency, 3)} }

// add records a time in microseconds; negative values count as 0.
func (r *histogram) add(us int64) {
	us = min(max(0, us), maxLatency)
	r.maximum = max(r.maximum, us)
	// The value is in range, so this cannot fail.
	_ = r.h.RecordValue(us)
}

// percentile returns a percentile in ms; 0 if nothing was recorded.
func (r *histogram) percentile(percentile float64) float64 {
	if r.h.TotalCount() == 0 {
		return 0
	}
	return ms(min(r.h.ValueAtQuantile(percentile), r.maximum))
}

func (r *histogram) reset() {
	r.h.Reset()
	r.maximum = 0
}

func (e *Ends) add(how outcome) {
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

// ratio returns part/of, or 0 if of is not positive.
func ratio(part, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return part / of
}

// computeGroups computes the figures by class and tenant. A tenant's share covers only its jobs within quota.
func (c *calculator) computeGroups() {
	tally := func(groups []Group, place func(*job) int, within bool) {
		times := make([]*histogram, len(groups))
		worth, earned := make([]float64, len(groups)), make([]float64, len(groups))
		for i := range c.jobs {
			j := &c.jobs[i]
			n := place(j)
			g := &groups[n]
			g.add(j.outcome)
			g.Worth += j.worth
			g.Earned += j.earned
			if j.overQuota {
				g.OverQuota++
			}
			if !within || !j.overQuota {
				worth[n] += j.worth
				earned[n] += j.earned
			}
			if j.outcome == inTime || j.outcome == late {
				if times[n] == nil {
					times[n] = newHistogram()
				}
				times[n].add(j.ended - j.due)
			}
		}
		for n := range groups {
			groups[n].Share = ratio(earned[n], worth[n])
			if r := times[n]; r != nil {
				groups[n].P50, groups[n].P99, groups[n].P999 = r.percentile(50), r.percentile(99), r.percentile(99.9)
			}
		}
	}
	tally(c.rep.Classes, func(j *job) int { return j.class }, false)
	tally(c.rep.Tenants, func(j *job) int { return j.tenant }, true)

	t, all := &c.rep.Totals, newHistogram()
	for i := range c.jobs {
		j := &c.jobs[i]
		t.add(j.outcome)
		if j.outcome == inTime || j.outcome == late {
			all.add(j.ended - j.due)
		}
	}
	t.P50, t.P99, t.P999 = all.percentile(50), all.percentile(99), all.percentile(99.9)
}

// computeMoments computes the time series of the run, by the jobs' intended send times.
func (c *calculator) computeMoments() {
	last := int64(0)
	if n := len(c.jobs); n > 0 {
		last = max(0, c.jobs[n-1].due)
	}
	c.rep.Step = chooseStep(last, second)
	if len(c.jobs) == 0 {
		return
	}
	c.rep.Intervals = make([]Interval, last/c.rep.Step+1)
	times, at := newHistogram(), 0
	for n := range c.rep.Intervals {
		m := &c.rep.Intervals[n]
		m.T = int64(n) * c.rep.Step
		times.reset()
		for ; at < len(c.jobs) && c.jobs[at].due < m.T+c.rep.Step; at++ {
			j := &c.jobs[at]
			m.add(j.outcome)
			m.Worth += j.worth
			m.Earned += j.earned
			switch j.outcome {
			case inTime:
				m.InTimeWorth += j.worth
				times.add(j.ended - j.due)
			case late:
				times.add(j.ended - j.due)
			}
		}
		m.P50, m.P99 = times.percentile(50), times.percentile(99)
	}
}

// computeService computes the parts, the deductions and the score.
func (c *calculator) computeService() {
	p, d, w := &c.rep.Parts, &c.rep.Deductions, c.setup.Weights
	var worth, earned, lateFail float64
	for i := range c.jobs {
		j := &c.jobs[i]
		worth += j.worth
		earned += j.earned
		// A job whose deadline passed is past its response-time goal, even if that is not before the deadline.
		outOfTime := j.outcome == unanswered && j.ended >= j.deadline
		if j.outcome != inTime && j.outcome != late && (outOfTime || j.ended > j.aim) {
			lateFail += j.worth
		}
	}
	p.Whole = ratio(earned, worth)
	p.Window, p.WindowFrom = c.worstWindow(p.Whole)
	p.WorstClass, p.WorstClassName = worst(c.rep.Classes, p.Whole, func(i int) float64 { return c.rep.Classes[i].Worth })
	within := make([]float64, len(c.rep.Tenants))
	for i := range c.jobs {
		if j := &c.jobs[i]; !j.overQuota {
			within[j.tenant] += j.worth
		}
	}
	p.WorstTenant, p.WorstTenantName = worst(c.rep.Tenants, p.Whole, func(i int) float64 { return within[i] })

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

// worst returns the smallest share among the groups with positive worth, and its name; if there are none, whole.
func worst(groups []Group, whole float64, worth func(int) float64) (float64, string) {
	share, name := whole, ""
	for i := range groups {
		if worth(i) > 0 && (name == "" || groups[i].Share < share) {
			share, name = groups[i].Share, groups[i].Name
		}
	}
	return share, name
}

// worstWindow slides a window of 10 s over the jobs' intended send times, in steps of a second from the second of the
// first job on; the final position ends with the last job. In a run of 10 s or less it returns whole. Windows without
// worth are ignored.
func (c *calculator) worstWindow(whole float64) (share float64, from int64) {
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
	measure := func(at int64) {
		for ; hi < n && c.jobs[hi].due < at+window; hi++ {
			worth += c.jobs[hi].worth
			earned += c.jobs[hi].earned
		}
		for ; lo < hi && c.jobs[lo].due < at; lo++ {
			worth -= c.jobs[lo].worth
			earned -= c.jobs[lo].earned
		}
		// Ignore what rounding errors of the additions and subtractions leave of an empty window.
		if lo == hi || worth <= 1e-9 {
			return
		}
		if s := min(1, max(0, earned/worth)); s < share {
			share, from = s, at
		}
	}
	end := last + 1 - window
	// At most 100,000 positions: a history with absurd times must not take forever.
	for at := first; at < end; at += max(windowStep, (end-first)/100_000) {
		measure(at)
	}
	measure(end)
	if math.IsInf(share, 1) {
		return whole, first
	}
	return share, from
}

// counts sorts counts by decreasing size; beyond maxKinds, the smallest are combined into one.
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
