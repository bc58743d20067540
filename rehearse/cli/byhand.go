package cli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"laddertide/core/history"
	"laddertide/core/traffic"
	"laddertide/rehearse/book"
	"laddertide/rehearse/clients"
	"laddertide/rehearse/fleet"
	"laddertide/rehearse/loop"
	"laddertide/rehearse/record"
	"laddertide/rehearse/report"
	"laddertide/rehearse/run"
	"laddertide/rehearse/scenario"
	"laddertide/rehearse/session"
)

// The addresses that commands by hand use if nothing else is said.
const handListen = "127.0.0.1:9000"

// one is the only scenario that a command by hand plays.
func (a *app) one(names []string) (*scenario.Plan, error) {
	if len(names) == 0 && len(a.files) == 0 {
		names = []string{"calm"}
	}
	chosen, err := a.chosen(names)
	if err != nil {
		return nil, err
	}
	if len(chosen) > 1 {
		return nil, errors.New("by hand one scenario is played at a time")
	}
	return chosen[0].Draw(a.seed, a.change)
}

// handFleet starts workers and discovery alone, says how a scheduler is started on them, and does what it is told on
// standard input until that is interrupted.
func (a *app) handFleet(ctx context.Context, names []string, in io.Reader) (code int, err error) {
	if a.change.Schedulers == 0 {
		a.change.Schedulers = 1
	}
	plan, err := a.one(names)
	if err != nil {
		return 0, err
	}
	addresses, err := a.listens(len(plan.Schedulers))
	if err != nil {
		return 0, err
	}
	dir := a.outDir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "rehearse-fleet-"); err != nil {
			return 0, err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	var at []fleet.Scheduler
	for i, s := range plan.Schedulers {
		at = append(at, fleet.Scheduler{Name: s.Name, Zone: plan.Zones[s.Zone], CallBack: addresses[i]})
	}
	rec, stop, err := handRecord(plan, filepath.Join(dir, session.HistoryFile))
	if err != nil {
		return 0, err
	}
	defer func() {
		_, stopErr := stop(history.Event{Partial: true, Note: "by hand, without the clients' side"})
		err = errors.Join(err, stopErr)
	}()
	w, err := run.NewWorld(plan, at, loop.NewNet(), rec, book.New(), guess(plan), nil)
	if err != nil {
		return 0, err
	}
	defer w.Close()
	fmt.Fprintf(a.out, "%d workers and discovery are up. Start a scheduler on them:\n\n", len(plan.Workers))
	for i := range plan.Schedulers {
		w.Fleet.SetLife(i, 1)
		w.Discovery.SetLife(i, 1)
		known, _ := w.Discovery.Known(i)
		raw, err := plan.Config(i, addresses[i], w.Discovery.Address(i), known)
		if err != nil {
			return 0, err
		}
		file := filepath.Join(dir, plan.Schedulers[i].Name+".json")
		if err := os.WriteFile(file, raw, 0o644); err != nil {
			return 0, err
		}
		if plan.Operators == "" {
			fmt.Fprintf(a.out, "    laddertide serve --config %s\n", file)
			continue
		}
		own, err := filepath.Abs(filepath.Join(dir, plan.Schedulers[i].Name))
		if err == nil {
			err = run.PrepareFolder(plan, own)
		}
		if err != nil {
			return 0, err
		}
		fmt.Fprintf(a.out, "    (cd %s && laddertide serve --config %s --fleet %s)\n", own,
			filepath.Join("..", filepath.Base(file)), scenario.OperatorsFile)
	}
	fmt.Fprintf(a.out, "\nThen a first job:\n\n    curl -s -i -X POST http://%s/api/7f3a9c21e0b4d655 -H 'X-Request-Id: job-1' "+
		"-H 'X-Class: %s' -H 'X-Tenant: %s' -H 'X-Deadline-Ms: 5000' -H 'X-Cost-Hint: 300000' -d fill\n\n",
		addresses[0], plan.Classes[0].Name, plan.Tenants[0].Name)
	fmt.Fprintf(a.out, "or many, from another terminal:\n\n    rehearse load %s --scheduler %s --seconds 20\n\n%s\n",
		plan.Scenario, strings.Join(addresses, " --scheduler "), handHelp)
	h := &hand{out: a.out, w: w, plan: plan}
	lines := make(chan string)
	go func() {
		// Without a terminal, standard input may be at its end from the beginning: the fleet stays up all the same.
		for scan := bufio.NewScanner(in); scan.Scan(); {
			select {
			case lines <- scan.Text():
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return Kept, nil
		case line := <-lines:
			if done := h.do(strings.Fields(line)); done {
				return Kept, nil
			}
		}
	}
}

// listens are the addresses for n schedulers: those given, or the usual one and the ports after it.
func (a *app) listens(n int) ([]string, error) {
	out := slices.Clone(a.schedulers)
	for i := len(out); i < n; i++ {
		host, port, _ := strings.Cut(handListen, ":")
		p, _ := strconv.Atoi(port)
		out = append(out, fmt.Sprintf("%s:%d", host, p+i))
	}
	for _, address := range out {
		if err := loop.Check(address); err != nil {
			return nil, fmt.Errorf("--scheduler: %w", err)
		}
	}
	return out, nil
}

// handRecord begins a history in a file; stop ends it.
func handRecord(plan *scenario.Plan, file string) (*record.Recorder, func(end history.Event) ([]history.Event, error), error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, nil, err
	}
	rec := record.New(f)
	setup := plan.Setup()
	setup.Begin, setup.Start = rec.Begin().UnixMicro(), settle.Microseconds()
	rec.Add(history.Event{Kind: history.KindSetup, Setup: setup})
	return rec, func(end history.Event) ([]history.Event, error) {
		events, err := rec.Close(end)
		return events, errors.Join(err, f.Close())
	}, nil
}

// guess makes a job of what its client says of it: as heavy as the hint, else as its class in the mean.
func guess(plan *scenario.Plan) run.EstimateJob {
	return func(class, key string, hint time.Duration) (book.Job, bool) {
		for i, c := range plan.Classes {
			if c.Name != class {
				continue
			}
			work := c.Work
			if hint > 0 {
				work = min(hint, time.Minute)
			}
			return book.Job{Class: i, Key: key, Work: work, Noise: c.WorkSpread, Slots: 1, Memory: 0.5}, true
		}
		return book.Job{}, false
	}
}

const handHelp = `Type: workers | crash W | vanish W | mute W | return W | drain W | stop W | slow FACTOR | stale SECONDS |
silence on|off | quit, where W is a worker's name or its number in the list. Ctrl-C ends it.`

// errUnknown is what is typed that means nothing.
var errUnknown = errors.New("nothing is called that")

// hand does what is typed.
type hand struct {
	out  io.Writer
	w    *run.World
	plan *scenario.Plan
}

func (h *hand) do(words []string) (quit bool) {
	if len(words) == 0 {
		return false
	}
	if words[0] == "quit" {
		return true
	}
	switch err := h.act(words); {
	case errors.Is(err, errUnknown):
		fmt.Fprintln(h.out, handHelp)
	case err != nil:
		fmt.Fprintln(h.out, err)
	}
	return false
}

func (h *hand) act(words []string) error {
	f := h.w.Fleet
	argument := ""
	if len(words) > 1 {
		argument = words[1]
	}
	number, numberErr := strconv.ParseFloat(argument, 64)
	switch words[0] {
	case "workers":
		for i, spec := range h.plan.Workers {
			st := f.State(i)
			what := "serving"
			switch {
			case st.Crashed:
				what = "fallen"
			case !st.Alive:
				what = "gone"
			case st.Draining:
				what = "draining"
			}
			fmt.Fprintf(h.out, "%3d  %s  %-10s %-7s %-8s running %d, waiting %d, connections %d, process %d\n", i, spec.Name,
				spec.Zone, spec.Kind, what, st.Running, st.Waiting, st.Connections, st.Life)
		}
		return nil
	case "slow":
		if numberErr != nil || !(number >= 0.1 && number <= 100) {
			return errors.New("slow takes a factor between 0.1 and 100; 1 ends it")
		}
		for i := range h.plan.Workers {
			f.Slow(i, number)
		}
		return nil
	case "stale":
		if numberErr != nil || !(number >= 0 && number <= 3600) {
			return errors.New("stale takes seconds; 0 ends it")
		}
		h.w.Discovery.Lag(time.Duration(number * float64(time.Second)))
		return nil
	case "silence":
		if argument != "on" && argument != "off" {
			return errors.New("silence on, or silence off")
		}
		for i := range h.plan.Schedulers {
			h.w.Discovery.Silence(i, argument == "on")
		}
		return nil
	}
	i := f.Index(argument)
	if n, err := strconv.Atoi(argument); i < 0 && err == nil && n >= 0 && n < len(h.plan.Workers) {
		i = n
	}
	does := map[string]func(int) error{"crash": f.Crash, "vanish": f.Vanish, "mute": f.Mute, "return": f.Return,
		"drain": func(i int) error { f.Drain(i); return nil },
		"stop": func(i int) error {
			ended, err := f.Stop(i)
			if err == nil && !ended {
				err = errors.New("it still has something to do")
			}
			return err
		}}[words[0]]
	switch {
	case does == nil:
		return errUnknown
	case i < 0:
		return fmt.Errorf("no worker is called %q", argument)
	}
	return does(i)
}

// handLoad plays clients alone, against schedulers that somebody else has started.
func (a *app) handLoad(ctx context.Context, names []string) (int, error) {
	plan, err := a.one(names)
	if err != nil {
		return 0, err
	}
	n := max(1, len(a.schedulers))
	addresses, err := a.listens(n)
	if err != nil {
		return 0, err
	}
	plan.Schedulers = plan.Schedulers[:0]
	var at []clients.Scheduler
	for i, address := range addresses {
		s := scenario.Scheduler{Name: fmt.Sprintf("n%d", i+1), Zone: i % len(plan.Zones)}
		plan.Schedulers = append(plan.Schedulers, s)
		at = append(at, clients.Scheduler{Name: s.Name, Zone: plan.Zones[s.Zone], Address: address})
	}
	arrivals, err := traffic.Draw(plan.Traffic)
	if err != nil {
		return 0, err
	}
	plan.Workers = nil // somebody else's
	dir := a.outDir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "rehearse-load-"); err != nil {
			return 0, err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	rec, end, err := handRecord(plan, filepath.Join(dir, session.HistoryFile))
	if err != nil {
		return 0, err
	}
	watching, stop := context.WithCancel(ctx)
	go rec.Watch(watching)
	var durable []string
	if plan.AskAgain {
		durable = plan.Durable
	}
	_, err = clients.Run(ctx, clients.Config{Plan: plan.Traffic, Arrivals: arrivals, Retry: plan.Retry, Schedulers: at,
		Zones: plan.Zones, Front: clients.Front{Notice: plan.Notice}, Rules: plan.Rules, Record: rec, Book: book.New(),
		Seed: plan.Seed, Start: settle, Durable: durable})
	stop()
	last := history.Event{Partial: ctx.Err() != nil}
	if last.Partial {
		last.Note = "interrupted"
	}
	events, endErr := end(last)
	if err = errors.Join(err, endErr); err != nil {
		return 0, err
	}
	out := session.Report(events, a.late())
	// The workers' side was not seen here, so the judge could not tell a result that a worker made from one that none
	// did; what it says of answers would be wrong.
	out.Verdict, out.Stories, out.Unjudged = report.Verdict{Partial: last.Partial}, nil, true
	if err := a.print([]report.Run{*out}); err != nil {
		return 0, err
	}
	return a.status([]report.Run{*out}), nil
}

// settle is the time that the front has to find out which schedulers serve, before the first job.
const settle = time.Second
