// Package scale plays a fleet of a given size and measures what each scheduler of it takes. Real schedulers are processes of
// the daemon; beside them hollow ones take part in the membership, and hollow workers speak the platform's protocol in the
// kit's own process. What is measured is written as the package measurement defines it.
package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"laddertide/core/history"
	"laddertide/rehearse/daemon"
	"laddertide/rehearse/report"
	"laddertide/rehearse/run"
	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
	"laddertide/rehearse/scenario"
	"laddertide/rehearse/session"
)

// Options are all that a run needs beside its size.
type Options struct {
	Program daemon.Program // the scheduler
	Kit     string         // this program, which hollow schedulers are started from
	Window  time.Duration  // in which is counted
	LeadIn  time.Duration  // before it; 0: as LeadInOf derives it
	Whole   bool           // the run goes on until the last client has its answer, else it ends with the window
	Out     string         // folder for the run's history, report and logs; empty: nothing is kept
	Changes float64        // of configuration, a second at each scheduler; 0: none
	Shorten float64        // factor on how long failures and what is around them last; 0: 1

	beside func(context.Context, *run.Handle) // is called beside the window's watch; nil: nothing is
}

// Result is what a run gave.
type Result struct {
	Point  measurement.Point
	Report *report.Run
	Events []history.Event
	Window window
}

// Lead-in of a run: connections come up, and as many tasks start as are to run.
const (
	leastLeadIn = 3 * time.Second
	mostLeadIn  = 15 * time.Second
	leadInParts = 2 // of the mean running time
)

// LeadInOf is how long a run needs before its window.
func LeadInOf(s *size.Size) time.Duration {
	return min(mostLeadIn, max(leastLeadIn, seconds(s.MeanRunS())/leadInParts))
}

// Check refuses a size that this machine does not bear.
func Check(s *size.Size) error {
	limit, err := size.DescriptorLimit()
	if err != nil {
		return err
	}
	return size.NeedsOf(s).Check(limit)
}

// Play plays a size without failures and measures its window.
func Play(ctx context.Context, s *size.Size, seed uint64, opt Options) (*Result, error) {
	if opt.LeadIn == 0 {
		opt.LeadIn = LeadInOf(s)
	}
	plan, err := planOf(s, seed, opt.LeadIn, opt.Window)
	if err != nil {
		return nil, err
	}
	plan.Rules.AgreeWithin = 0 // nobody asks schedulers for their views: that costs them CPU
	return play(ctx, s, plan, opt)
}

// play plays a plan, and measures from opt.LeadIn on for opt.Window.
func play(ctx context.Context, s *size.Size, plan *scenario.Plan, opt Options) (*Result, error) {
	if err := Check(s); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rehearse-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	res := &Result{}
	members := &hollowMembers{}
	defer func() { members.close() }()
	lost := ""
	sess := session.Session{Program: opt.Program, Out: opt.Out, Extend: func(o *run.Options) {
		o.Others = hollowNames(plan)
		o.Prepare = func(ctx context.Context, stage *run.Handle) error {
			started, err := startHollow(ctx, opt.Kit, dir, s, plan, stage)
			if err == nil {
				members = started
			}
			return err
		}
		o.OnClientsStart = func(ctx context.Context, stage *run.Handle) {
			var others sync.WaitGroup
			defer others.Wait()
			others.Go(func() { changeConfiguration(ctx, stage, opt.Changes) })
			if opt.beside != nil {
				others.Go(func() { opt.beside(ctx, stage) })
			}
			res.Window = watchWindow(ctx, stage, members, os.Getpid(), stage.Start.Add(opt.LeadIn), opt.Window)
			lost = members.lost()
		}
		if !opt.Whole {
			o.EndAfter = plan.Length + endMargin
		}
	}, Events: func(events []history.Event) { res.Events = events }}
	if res.Report, err = sess.Play(ctx, plan); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	res.Point = pointOf(s, plan, opt, res, lost)
	return res, nil
}

// endMargin is how much longer than its window a run lasts that ends without its last answers: the window's second look must
// not meet schedulers that are being ended.
const endMargin = time.Second

// pointOf puts what a run gave into a point of a measurement.
func pointOf(s *size.Size, plan *scenario.Plan, opt Options, res *Result, lost string) measurement.Point {
	p := measurement.Point{Parameters: parametersOf(s), Seed: plan.Seed, WindowSeconds: opt.Window.Seconds()}
	p.Parameters.ChangesPerDay = opt.Changes * secondsOfDay
	p.WhyNot = whyNot(res, plan, lost)
	p.Valid = p.WhyNot == ""
	if res.Window.whyNot == "" {
		u, disagreement := usage(&res.Window, s.Schedulers.LedgerReplicas > 0)
		p.Roles = append(p.Roles, u, discoveryUsage(&res.Window))
		if disagreement != "" && p.Valid {
			p.Valid, p.WhyNot = false, "counts of bytes disagree by more than 5%: "+disagreement
		}
	}
	if opt.Whole {
		p.Service = serviceOf(s, res)
	}
	return p
}

const secondsOfDay = 86_400

// Limits past which a run does not count.
const (
	mostBusy = 0.9 // of all processors' time in the window
	mostKit  = 0.7 // of one processor's time times the processors, by the kit
)

// whyNot says why a run does not count; empty: it does.
func whyNot(res *Result, plan *scenario.Plan, lost string) string {
	w := &res.Window
	switch {
	case w.whyNot != "":
		return w.whyNot
	case lost != "":
		return lost
	case res.Report.Late:
		k := &res.Report.Figures.Harness
		return fmt.Sprintf("the kit was late: p99 %.1f ms, %d stalls, worst step of the plan %.1f ms", k.LateP99, k.Stalls, k.StepLateMax)
	case w.end.machine.Swapped > w.begin.machine.Swapped:
		return fmt.Sprintf("the machine swapped %d pages", w.end.machine.Swapped-w.begin.machine.Swapped)
	}
	busy := float64(w.end.machine.Busy - w.begin.machine.Busy)
	all := busy + float64(w.end.machine.Idle-w.begin.machine.Idle)
	if all > 0 && busy > mostBusy*all {
		return fmt.Sprintf("the machine was busy for %.0f%% of the window", 100*busy/all)
	}
	kit := float64(w.end.kitCPU - w.begin.kitCPU)
	if all > 0 && kit > mostKit*all {
		return fmt.Sprintf("the kit took %.0f%% of all processors", 100*kit/all)
	}
	members := len(plan.Schedulers) + plan.MembersWithoutJobs
	for i, l := range w.end.schedulers {
		if l.page.Present != members {
			return fmt.Sprintf("scheduler %d knew %d of %d members at the end of the window", i+1, l.page.Present, members)
		}
	}
	return ""
}

// KitProgram is the path of this program.
func KitProgram() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	if path, err = filepath.EvalSymlinks(path); err != nil {
		return "", err
	}
	return path, nil
}
