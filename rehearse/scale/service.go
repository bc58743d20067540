package scale

import (
	"slices"

	"laddertide/core/history"
	"laddertide/rehearse/report"
	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
)

// serviceOf is what clients saw of a whole run.
func serviceOf(s *size.Size, res *Result) *measurement.Service {
	f := &res.Report.Figures
	out := &measurement.Service{Share: f.Service, Asked: f.Totals.Asked, Done: f.Totals.Served(), Refused: f.Totals.Refused,
		Failed: f.Totals.Failed, Unanswered: f.Totals.Unanswered, RulesBroken: rulesBroken(res.Report)}
	all, urgent := startDelays(s, res.Events)
	if len(all) > 0 {
		out.StartP50, out.StartP99 = pointer(quantile(all, 0.5)), pointer(quantile(all, 0.99))
	}
	if len(urgent) > 0 {
		out.UrgentStartP99, out.UrgentWorst = pointer(quantile(urgent, 0.99)), pointer(urgent[len(urgent)-1])
	}
	return out
}

// rulesBroken names the judge's rules that a run broke.
func rulesBroken(r *report.Run) []string {
	out := []string{}
	for rule, n := range r.Verdict.Counts {
		if n > 0 {
			out = append(out, string(rule))
		}
	}
	for _, b := range r.Verdict.Breaches {
		out = append(out, string(b.Rule))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// startDelays are the times in seconds from when a task was due to when it first ran, sorted: of all tasks, and of those
// whose class promises a start.
func startDelays(s *size.Size, events []history.Event) (all, promised []float64) {
	promises := make(map[string]bool)
	for _, c := range s.Classes {
		promises[c.Name] = c.StartWithinS > 0
	}
	type task struct {
		due     int64
		class   string
		started bool
	}
	tasks := make(map[string]*task)
	firstOf := make(map[string]string)
	requestOf := make(map[int64]string)
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case history.KindAsk:
			firstOf[ev.Request] = ev.First
			if ev.Request == ev.First {
				tasks[ev.First] = &task{due: ev.Due, class: ev.Class}
			}
		case history.KindAttempt:
			requestOf[ev.Attempt] = ev.Request
		case history.KindAttemptBegan:
			t := tasks[firstOf[requestOf[ev.Attempt]]]
			if t == nil || t.started {
				continue
			}
			t.started = true
			delay := float64(max(0, ev.T-t.due)) / 1e6
			all = append(all, delay)
			if promises[t.class] {
				promised = append(promised, delay)
			}
		}
	}
	slices.Sort(all)
	slices.Sort(promised)
	return all, promised
}

// quantile of sorted values that are not none.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
