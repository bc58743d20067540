package report

import (
	"fmt"
	"strings"

	"laddertide/core/history"
)

// told is one event of a story, in words.
type told struct {
	At    string
	Since string // since the story's first event
	Who   string
	What  string
	Here  bool // it is of the attempt that broke the rule
}

// tell words a request's history, its first events if there are very many. Names in it are still as others gave them.
func tell(events []history.Event, attempt int64) (out []told, left int) {
	if len(events) > eventsInStory {
		events, left = events[:eventsInStory], len(events)-eventsInStory
	}
	for i := range events {
		ev := &events[i]
		who, what := words(ev)
		out = append(out, told{
			At: at(ev.T), Since: fmt.Sprintf("+%.1f ms", float64(ev.T-events[0].T)/1e3), Who: clip(who, 40),
			What: clip(what, 400), Here: attempt != 0 && ev.Attempt == attempt,
		})
	}
	return out, left
}

// words says who did or saw an event, and what it was.
func words(ev *history.Event) (who, what string) {
	client, scheduler, worker := "client", "scheduler "+ev.Scheduler, "worker "+ev.Worker
	// Of a worker's later events the attempt alone is known.
	if ev.Worker == "" {
		worker = "worker"
	}
	a := fmt.Sprintf("attempt %d", ev.Attempt)
	switch ev.Kind {
	case history.KindAsk:
		what = fmt.Sprintf("asks for %s as %s: %.0f ms of work, meant for %s, waits %s", ev.Class, ev.Tenant,
			millisOf(ev.Work), at(ev.Due), at(ev.Limit))
		if ev.Try > 0 {
			what = fmt.Sprintf("tries again (%d) after %s; ", ev.Try, ev.First) + what
		}
		return client, what
	case history.KindSent:
		what = "request " + ev.Request + " is written to " + ev.Scheduler
		if ev.Again {
			what += " once more, as a close had crossed it"
		}
		return client, what
	case history.KindUnsent:
		return client, "could not send it to " + ev.Scheduler + note(ev)
	case history.KindAnswer:
		what = fmt.Sprintf("has the whole answer of %s: %d", ev.Scheduler, ev.Status)
		if ev.Result != "" {
			what += ", result " + ev.Result
		}
		if ev.After > 0 {
			what += fmt.Sprintf(", come back after %g s", ev.After)
		}
		return client, what
	case history.KindBroken:
		return client, ev.Scheduler + " ended the connection without a whole answer" + note(ev)
	case history.KindClientTimeout:
		return client, "its time is over, it hangs up"
	case history.KindAttempt:
		what = fmt.Sprintf("%s arrives at worker %s (its first byte at %s)", a, ev.Worker, at(ev.From))
		if ev.Note != "" {
			what += ", which turns it away" + note(ev)
		}
		return scheduler, what
	case history.KindAttemptUndelivered:
		return scheduler, a + " is written to silent worker " + ev.Worker + ", nothing runs"
	case history.KindAttemptAccepted:
		return worker, a + ": 202 was written"
	case history.KindAttemptBegan:
		return worker, a + " begins to run"
	case history.KindAttemptOver:
		what = fmt.Sprintf("%s is over: %s", a, ev.State)
		if ev.Ran {
			what += fmt.Sprintf(", ran (%.0f ms of work)", millisOf(ev.Work))
		} else {
			what += ", never ran"
		}
		if ev.Effect {
			what += ", took effect"
		}
		if ev.Result != "" {
			what += ", result " + ev.Result
		}
		return worker, what
	case history.KindAttemptCancelled:
		return "scheduler", a + " is given up by a " + ev.Note
	case history.KindCallbackDelivered:
		return worker, fmt.Sprintf("%s: the call-back %q was taken by %s", a, ev.State, ev.Scheduler)
	case history.KindCallbackFailed:
		return worker, fmt.Sprintf("%s: the call-back %q was taken by nobody in %d tries", a, ev.State,
			ev.Tries) + note(ev)
	case history.KindDiscoveryHeld, history.KindDiscoveryWritten:
		var list []string
		for i, e := range ev.Entries {
			if i == 8 {
				list = append(list, "...")
				break
			}
			list = append(list, e.Worker+" "+string(e.Status))
		}
		verb := " now stands at the agent of "
		if ev.Kind == history.KindDiscoveryWritten {
			verb = " was written to "
		}
		return "discovery", fmt.Sprintf("version %d%s%s: %s", ev.Index, verb, ev.Scheduler, strings.Join(list, ", "))
	}
	who = strings.TrimSpace(ev.Worker + " " + ev.Scheduler)
	if who == "" {
		who = "run"
	}
	return who, string(ev.Kind) + note(ev)
}

func note(ev *history.Event) string {
	if ev.Note == "" {
		return ""
	}
	return " (" + ev.Note + ")"
}

func millisOf(us int64) float64 { return float64(us) / 1e3 }

// StoryLines words a request's history for a terminal, a line an event. The attempt that broke a rule is marked.
func StoryLines(events []history.Event, attempt int64) []string {
	story, left := tell(events, attempt)
	var lines []string
	for _, t := range story {
		mark := " "
		if t.Here {
			mark = "*"
		}
		lines = append(lines, fmt.Sprintf("%s %s %s  %s: %s", mark, t.At, t.Since, t.Who, t.What))
	}
	if left > 0 {
		lines = append(lines, fmt.Sprintf("  and %d more events", left))
	}
	return lines
}
