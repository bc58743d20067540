package score

import "strings"

// Recovery describes how service is restored after a loss of power. Service is the earned worth of jobs divided by their
// worth, by intended send time. First, Half and Nearly are in microseconds from the loss on, -1 if never; At and Until
// are times in the run.
type Recovery struct {
	At                           int64   // the first loss of the run
	Until                        int64   // time at which power was restored everywhere
	Before                       float64 // service before the loss
	FirstAnswer                  int64   // the first answer with a result to a job that was due after the loss
	HalfRestored, NearlyRestored int64   // start of the time from which service stays at 0.5 and 0.95 of Before, over recoveryWindow each
	End                          float64 // service at the end of the run
	Served, Refused              int     // of the jobs that were due between the loss and the end of the run
	Asked                        int     // all of these jobs
}

// recoveryWindow is the interval over which service is measured: shorter ones hold too few jobs to tell 0.95 from less.
const recoveryWindow = 5 * second

// beforeWindow is the interval before the loss over which service is measured: as long as that of Parts.Window.
const beforeWindow = window

// computeRecovery determines how service recovered; nil: there was no loss of power.
func (c *calculator) computeRecovery() *Recovery {
	b := Recovery{At: -1, FirstAnswer: -1, HalfRestored: -1, NearlyRestored: -1}
	for _, t := range c.rep.Faults {
		if strings.HasPrefix(t.Name, "blackout") {
			if b.At < 0 || t.From < b.At {
				b.At = t.From
			}
			b.Until = max(b.Until, t.Until)
		}
	}
	if b.At < 0 {
		return nil
	}
	start := c.setup.Start
	last := start + c.setup.Length
	worth, earned := map[int64]float64{}, map[int64]float64{} // by second
	all, got := 0.0, 0.0
	for i := range c.jobs {
		j := &c.jobs[i]
		if j.due < b.At {
			// Jobs that were open at the loss, and those from just after the start of the run, say nothing about service.
			if ended := j.outcome == inTime || j.outcome == late; j.due >= b.At-beforeWindow && (ended && j.ended < b.At || j.deadline < b.At) {
				all += j.worth
				got += j.earned
			}
			continue
		}
		worth[j.due/second] += j.worth
		earned[j.due/second] += j.earned
		b.Asked++
		switch j.outcome {
		case inTime, late:
			if b.Served++; b.FirstAnswer < 0 || j.ended-b.At < b.FirstAnswer {
				b.FirstAnswer = j.ended - b.At
			}
		case refused:
			b.Refused++
		}
	}
	b.Before = ratio(got, all)
	over := func(from int64) float64 {
		w, e := 0.0, 0.0
		for s := from; s < from+recoveryWindow/second; s++ {
			w, e = w+worth[s], e+earned[s]
		}
		return ratio(e, w)
	}
	ends := last/second - recoveryWindow/second
	stays := func(part float64) int64 {
		at := int64(-1)
		for s := ends; s >= b.At/second && over(s) >= part*b.Before; s-- {
			at = max(0, s*second-b.At)
		}
		return at
	}
	b.HalfRestored, b.NearlyRestored, b.End = stays(0.5), stays(0.95), over(ends)
	return &b
}
