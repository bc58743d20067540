package judge

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"laddertide/core/history"
)

// Schedulers that know each other report which of them are present. Their reports are compared with what the kit did: which
// processes it ran, paused and stopped, and which links it cut. A report may differ on what a scheduler cannot know yet.

const (
	// The schedulers together may appear to take more than maxBudgets budgets for up to overBudgetTime: views are taken one after
	// another, and changes take time to spread.
	maxBudgets     = 1.1
	overBudgetTime = 5_000_000
	// banDelay is how soon a ban is binding for the schedulers that the links reach.
	banDelay = 1_000_000
)

// lastDisturbance is the end of the last disturbance before t: a failing link, or a scheduler that was paused, starting, leaving or
// dying. It is never if a disturbance lasts at t.
func (c *checker) lastDisturbance(t int64) int64 {
	since := int64(0)
	for _, s := range c.anyLinkFault {
		if s.from <= t {
			if t <= s.until {
				return never
			}
			since = max(since, s.until)
		}
	}
	for _, list := range c.pauses {
		for _, s := range list {
			if s.from <= t {
				if t <= s.until {
					return never
				}
				since = max(since, s.until)
			}
		}
	}
	for _, p := range c.sorted {
		for _, at := range []int64{p.start, p.ready, p.term, p.kill, p.exit} {
			if at <= t {
				since = max(since, at)
			}
		}
		if p.start <= t && p.ready > t && min(p.exit, p.kill) > t {
			return never // it is still starting
		}
	}
	return since
}

// allLinksUp reports whether no link failed between two times.
func (c *checker) allLinksUp(from, to int64) bool {
	return !slices.ContainsFunc(c.anyLinkFault, func(s span) bool { return s.from <= to && s.until >= from })
}

// runningAt reports whether a process of a name ran at t and had run for long enough, with working links, for all to know
// (known); and whether it was ready, too, without having been sent a SIGTERM (staying).
func (c *checker) runningAt(name string, t int64) (known, staying bool) {
	for _, p := range c.lives[name] {
		if p.ready != never && p.ready+c.rules.KnownWithin <= t && c.allLinksUp(p.ready, p.ready+c.rules.KnownWithin) {
			known = true // applies to later processes of the same name, too
		}
		end := min(p.kill, p.exit, p.term)
		if p.start <= t && c.latestRecorded(t) < end && known {
			return true, p.ready <= t
		}
		if how, _ := c.processOutcome(p); how == stopped {
			known = false // It announced that it would leave, and the others don't know its successor yet.
		}
	}
	return false, false
}

func (c *checker) judgeViews() {
	if c.rules.AgreeWithin <= 0 {
		return
	}
	slices.SortStableFunc(c.views, func(a, b int32) int { return sign(c.events[a].From - c.events[b].From) })
	names := slices.Sorted(maps.Keys(c.lives))
	latest := make(map[string]*history.Event)
	overSince := int64(never)                  // since when the schedulers have taken too much
	numbers := make(map[string]map[int]uint64) // by name and process
	for _, i := range c.views {
		ev := &c.events[i]
		v := ev.View
		report := func(kind, format string, args ...any) {
			c.addBreach(Breach{Rule: Views, Kind: kind, T: ev.T, Scheduler: ev.Scheduler, Text: fmt.Sprintf(format, args...)})
		}
		own := c.processes[life{ev.Scheduler, ev.Life}]
		c.judgeStartNumber(ev, own, numbers, report)
		// A scheduler that was paused or has just started has received nothing in that time.
		settled := own != nil && own.ready != never && own.ready+c.rules.KnownWithin <= ev.From && !c.pausedNear(ev.Scheduler, ev.From) &&
			ev.T < min(own.term, own.kill, own.exit)
		runs, all := 0, true
		for _, n := range names {
			known, staying := c.runningAt(n, ev.From)
			if !known {
				all = all && c.hasShutDown(n, ev.From)
				continue
			}
			runs++
			state := v.Members[n]
			if settled && staying && (state == "left" || state == "forgotten") && c.allLinksUp(ev.From-c.rules.AgreeWithin, ev.T) {
				report(RunningReportedGone, "%s takes %s for one that is over (%s), and it runs.", ev.Scheduler, n, state)
			}
		}
		if settled && v.MayRun < runs {
			report(Undercount, "%s says that %d may be sending, and %d are.", ev.Scheduler, v.MayRun, runs)
		}
		// A busy machine can pause a process, too, without the kit noticing. That is over by the next view.
		before := latest[ev.Scheduler]
		justWoken := v.Self == "woken" && (before == nil || before.Life != ev.Life || before.View.Self != "woken")
		quietSince := c.lastDisturbance(ev.From)
		if settled && quietSince != never && c.clock.between(quietSince, ev.From) > c.rules.AgreeWithin && all &&
			(v.Self != "whole" && !justWoken || v.MayRun != runs || v.Present != runs) {
			report(ViewsDiffer, "%s says %s, %d present and %d that may be sending, %s after the last trouble; %d run.", ev.Scheduler,
				v.Self, v.Present, v.MayRun, seconds(ev.From-quietSince), runs)
		}
		if settled && quietSince != never && c.clock.between(quietSince, ev.From) > c.rules.AgreeWithin {
			for _, w := range c.confirmedBans(ev.From-c.rules.AgreeWithin, ev.T) {
				if !slices.Contains(v.Out, w) {
					report(LostBan, "%s does not know that %s is out, %s after the last trouble; an operator was told yes.", ev.Scheduler, w,
						seconds(ev.From-quietSince))
				}
			}
		}
		latest[ev.Scheduler] = ev
		sum, takers := 0.0, []string{}
		for _, n := range names {
			l := latest[n]
			if l == nil || ev.From-l.T > 1_000_000 {
				continue
			}
			if p := c.processes[life{n, l.Life}]; p == nil || min(p.kill, p.exit) <= ev.From || c.pausedNear(n, ev.From) {
				continue
			}
			sum += l.View.Share
			takers = append(takers, n)
		}
		switch {
		case sum <= maxBudgets:
			overSince = never
		case overSince == never:
			overSince = ev.From
		case c.clock.between(overSince, ev.From) > overBudgetTime:
			report(OverBudget, "For %s %s together have taken %.2f of what all may send to a cold worker.", seconds(ev.From-overSince),
				strings.Join(takers, ", "), sum)
			overSince = never
		}
	}
	for _, i := range c.badClients {
		ev := &c.events[i]
		if strings.HasPrefix(ev.Note, "peer stranger") && ev.Bytes == 1 && !c.pausedNear(ev.Scheduler, ev.T) {
			c.addBreach(Breach{Rule: Views, Kind: UnclosedPeerConn, T: ev.T, Scheduler: ev.Scheduler,
				Text: fmt.Sprintf("%s has kept a stranger (%s) for %s.", ev.Scheduler, ev.Note, seconds(ev.T-ev.From))})
		}
	}
	c.judgePeerBans()
}

// judgeStartNumber checks that the start number of a process is above those of all previous processes of its name. A process whose disk
// is behind what the others know takes a later number once it has met them, and is checked from then on.
func (c *checker) judgeStartNumber(ev *history.Event, own *process, all map[string]map[int]uint64, report func(kind, format string, args ...any)) {
	if ev.View.Start == 0 || own == nil {
		return
	}
	of := all[ev.Scheduler]
	if of == nil {
		of = make(map[int]uint64)
		all[ev.Scheduler] = of
	}
	met := own.ready != never && own.ready+c.rules.KnownWithin <= ev.From && c.allLinksUp(own.ready, ev.From)
	for before, n := range of {
		if met && before < ev.Life && ev.View.Start <= n {
			report(StartNumberNotAbove, "%s has the number %d as its process %d; process %d had %d.", ev.Scheduler, ev.View.Start, ev.Life, before, n)
		}
	}
	of[ev.Life] = max(of[ev.Life], ev.View.Start)
}

// pausedNear reports whether a scheduler was paused at t or shortly before.
func (c *checker) pausedNear(name string, t int64) bool {
	return slices.ContainsFunc(c.pauses[name], func(s span) bool { return s.from <= t && (s.until == never || t <= s.until+c.rules.KnownWithin) })
}

// hasShutDown reports whether the last process of a name that had started by t had shut down after SIGTERM, or there was none.
func (c *checker) hasShutDown(name string, t int64) bool {
	var last *process
	for _, p := range c.lives[name] {
		if p.start <= t {
			last = p
		}
	}
	if last == nil {
		return true
	}
	how, at := c.processOutcome(last)
	return how == stopped && at < t
}

// confirmedBans returns the workers whose ban was confirmed by t and that nobody has tried to put back by until. Later requests
// are ignored: workers that are put back at the end of a run must not hide a ban that was lost before.
func (c *checker) confirmedBans(t, until int64) (out []string) {
	at := make(map[string]int64)
	for _, i := range c.operatorRequests {
		if ev := &c.events[i]; ev.On && ev.Status == 200 && ev.From <= until {
			at[ev.Worker] = max(at[ev.Worker], ev.T)
		}
	}
	for _, i := range c.operatorRequests {
		if ev := &c.events[i]; !ev.On && ev.From <= until {
			delete(at, ev.Worker)
		}
	}
	for w, from := range at {
		if from <= t {
			out = append(out, w)
		}
	}
	slices.Sort(out)
	return out
}

// judgePeerBans finds attempts that a scheduler sent to a worker which an operator had banned at another scheduler, while all
// links worked.
func (c *checker) judgePeerBans() {
	byWorker := make(map[string][]pair)
	for at := range c.bans {
		byWorker[at.worker] = append(byWorker[at.worker], at)
	}
	for i := range c.attempts {
		a := &c.attempts[i]
		ev := &c.events[a.event]
		from := c.earliestSent(a)
		for _, at := range byWorker[ev.Worker] {
			if at.scheduler == ev.Scheduler {
				continue
			}
			for _, h := range c.bans[at] {
				if from <= c.latestRecorded(h.from+banDelay) || c.banLiftedAt(ev.Worker, h.from) <= c.latestRecorded(from) || !c.allLinksUp(h.from-c.rules.AgreeWithin, from) ||
					c.pausedNear(at.scheduler, h.from) || c.pausedIn(ev.Scheduler, h.from, from) {
					continue
				}
				if own := c.processes[c.sender(a)]; own == nil || own.ready == never || own.ready > h.from-c.rules.KnownWithin && own.ready < from {
					continue // it was still starting
				}
				c.addBreach(Breach{Rule: Drains, Kind: SentWhileBanned, T: from, Scheduler: ev.Scheduler, Worker: ev.Worker,
					Request: ev.Request, Attempt: ev.Attempt,
					Text: fmt.Sprintf("Request %q was sent to %s by %s, %s after an operator had %s take it out.", ev.Request, ev.Worker,
						ev.Scheduler, seconds(from-h.from), at.scheduler)})
			}
		}
	}
}

// pausedIn reports whether a scheduler was paused at any time between two times.
func (c *checker) pausedIn(name string, from, to int64) bool {
	return slices.ContainsFunc(c.pauses[name], func(s span) bool { return s.from <= to && s.until >= from })
}

// banLiftedAt is when an operator first put a worker back after t, at any scheduler.
func (c *checker) banLiftedAt(worker string, t int64) int64 {
	back := int64(never)
	for _, i := range c.operatorRequests {
		if ev := &c.events[i]; ev.Worker == worker && !ev.On && ev.From >= t {
			back = min(back, ev.From)
		}
	}
	return back
}
