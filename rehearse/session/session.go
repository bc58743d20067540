// Package session plays a plan and makes its report: the run, the judge's verdict, the figures, and the files that are
// kept of it. It decides nothing of its own but when the kit was too late for a run to count.
package session

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"laddertide/core/history"
	"laddertide/core/judge"
	"laddertide/core/score"
	"laddertide/rehearse/daemon"
	"laddertide/rehearse/ids"
	"laddertide/rehearse/report"
	"laddertide/rehearse/run"
	"laddertide/rehearse/scenario"
)

// The names of the files that a run leaves in its folder.
const (
	HistoryFile = "history.jsonl"
	ReportFile  = "report.json"
	PageFile    = "report.html"
)

// LateLimit is the kit's own lateness (the p99 of how late clients began to send) past which a run does not count.
const LateLimit = 20 * time.Millisecond

// StepLateLimit is how late the kit may be with a step of the plan: with a later one, another plan was played than the seed's, and
// the run does not count.
const StepLateLimit = 50 * time.Millisecond

// Session is how runs are played.
type Session struct {
	Program  daemon.Program
	Out      string              // the folder for what is kept of a run; empty: nothing is
	Progress func(time.Duration) // as of run.Options; may be nil
	Late     time.Duration       // instead of LateLimit; 0: that

	Extend func(*run.Options)    // changes what a run is told; may be nil
	Events func([]history.Event) // is given the whole history; may be nil
}

// Play plays one plan. With an error there is no report; a run that was cut short has one that says so.
func (s *Session) Play(ctx context.Context, plan *scenario.Plan) (*report.Run, error) {
	dir, err := os.MkdirTemp("", "rehearse-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	opt := run.Options{Program: s.Program, Dir: dir, Progress: s.Progress}
	if s.Out != "" {
		if err := os.MkdirAll(s.Out, 0o755); err != nil {
			return nil, err
		}
		file, err := os.Create(filepath.Join(s.Out, HistoryFile))
		if err != nil {
			return nil, err
		}
		defer file.Close()
		opt.History = file
	}
	if s.Extend != nil {
		s.Extend(&opt)
	}
	res, err := run.Run(ctx, plan, opt)
	if err != nil {
		return nil, err
	}
	if s.Events != nil {
		s.Events(res.Events)
	}
	out := Report(res.Events, s.Late)
	out.Partial = res.Partial != ""
	if out.Partial {
		out.Notes = append(out.Notes, "cut short: "+res.Partial)
	}
	if n := res.Clients.Overflow; n > 0 {
		out.Late = true
		out.Notes = append(out.Notes, fmt.Sprintf("%d jobs were not asked for, as the kit had too many open", n))
	}
	out.KitCPU = res.CPU.Seconds()
	for _, sc := range plan.Schedulers {
		u := res.Schedulers[sc.Name]
		out.Daemon.CPUSeconds += u.CPU.Seconds()
		out.Daemon.PeakMB = max(out.Daemon.PeakMB, u.PeakMB)
		out.Daemon.Descriptors = max(out.Daemon.Descriptors, u.Descriptors)
		out.Daemon.Schedulers = append(out.Daemon.Schedulers, report.Process{Name: sc.Name, CPUSeconds: u.CPU.Seconds(),
			PeakMB: u.PeakMB, Descriptors: u.Descriptors})
	}
	if s.Out == "" {
		return out, nil
	}
	for _, p := range plan.Schedulers {
		if log, err := os.ReadFile(filepath.Join(dir, p.Name, run.LogFile)); err == nil {
			if err := os.WriteFile(filepath.Join(s.Out, p.Name+".log"), log, 0o644); err != nil {
				return nil, err
			}
		}
	}
	return out, Keep(s.Out, []report.Run{*out})
}

// Keep writes the report of runs into a folder.
func Keep(dir string, runs []report.Run) error {
	for name, write := range map[string]func(*bytes.Buffer) error{
		ReportFile: func(b *bytes.Buffer) error { return report.Encode(b, runs) },
		PageFile:   func(b *bytes.Buffer) error { return report.Page(b, runs) },
	} {
		var b bytes.Buffer
		if err := write(&b); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), b.Bytes(), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// Report judges a history and counts its figures. late is the limit past which it does not count; 0: LateLimit.
func Report(events []history.Event, late time.Duration) *report.Run {
	if late == 0 {
		late = LateLimit
	}
	setup := events[0].Setup
	out := &report.Run{Scenario: setup.Scenario, Seed: setup.Seed, Figures: score.Figures(events), Verdict: judge.Judge(events),
		Length: float64(setup.Length) / 1e6, Workers: len(setup.Workers), Schedulers: len(setup.Schedulers),
		Stories: make(map[string][]history.Event)}
	if setup.Rules.KeepEnded > 0 {
		out.IDs = ids.Check(events)
		for _, f := range out.IDs.Findings {
			out.Verdict.Add(judge.Breach{Rule: judge.Owners, Kind: judge.InconsistentOrder, T: f.T, Request: f.Request, Text: f.Text})
		}
		if out.IDs.Unsure > 0 {
			out.Notes = append(out.Notes, fmt.Sprintf("for %d ids the search for an order took too long", out.IDs.Unsure))
		}
	}
	out.Rate, _ = setup.Drawn["rate"].(float64)
	kit := &out.Figures.Harness
	out.Late = kit.LateP99 > milliseconds(late) || kit.StepLateMax > milliseconds(StepLateLimit)
	out.Partial = out.Verdict.Partial
	out.Notes = append(out.Notes, lateSteps(out.Figures.Steps)...)
	out.Notes = append(out.Notes, uncued(out.Figures.Steps)...)
	for _, b := range out.Verdict.Breaches {
		if _, told := out.Stories[b.Request]; b.Request != "" && !told && len(out.Stories) < 50 {
			out.Stories[b.Request] = judge.RequestEvents(events, b.Request)
		}
	}
	return out
}

// Judge reads a recorded history and reports on it again.
func Judge(file string, late time.Duration) (*report.Run, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	events, err := history.Read(bufio.NewReader(f))
	if err != nil && !errors.Is(err, history.ErrTruncated) {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return Report(events, late), nil
}
