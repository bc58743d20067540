// Package run executes one plan: it starts the workers, discovery, schedulers and clients, applies the steps of the
// timetable to them, and returns the history. It owns every process and socket of the run and releases all of them before
// it returns, however the run ends. It does not evaluate the history.
package run

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"laddertide/core/history"
	"laddertide/core/traffic"
	"laddertide/rehearse/book"
	"laddertide/rehearse/clients"
	"laddertide/rehearse/daemon"
	"laddertide/rehearse/discovery"
	"laddertide/rehearse/fleet"
	"laddertide/rehearse/links"
	"laddertide/rehearse/loop"
	"laddertide/rehearse/record"
	"laddertide/rehearse/scenario"
)

// errEndAfter is the cause with which clients are cancelled after Options.EndAfter.
var errEndAfter = errors.New("ended as planned")

// Options holds what a run needs in addition to its plan.
type Options struct {
	Program  daemon.Program      // the scheduler; it gets its configuration through the platform's environment variables
	Dir      string              // an empty folder for configuration files and logs; not removed after the run
	History  io.Writer           // receives the history while the run goes on; may be nil
	Progress func(time.Duration) // called periodically with the elapsed part of the plan's length; may be nil

	// Others are members of the schedulers' membership that the caller runs itself, as many as the plan has.
	Others []OtherMember
	// Prepare is called once all schedulers serve, before the first client, and is to start Others. An error ends the run.
	Prepare func(context.Context, *Handle) error
	// OnClientsStart is called when clients start, on a goroutine of its own that the run waits for. Its context ends with the run.
	OnClientsStart func(context.Context, *Handle)
	// EndAfter ends the run this long after the first arrival, even with open requests; 0: the run ends with the last client.
	EndAfter time.Duration
}

// Result is the outcome of a run.
type Result struct {
	Events     []history.Event
	Partial    string // why the run was cut short; empty: it was not
	Clients    clients.Stats
	Schedulers map[string]daemon.Usage // by name, summed over all its processes
	CPU        time.Duration           // CPU time of the kit's process during the run, anything else in that process included
}

const (
	startupTimeout    = 30 * time.Second      // the platform's limit for all schedulers to start serving
	settleTime        = time.Second           // before the first client, for the front to detect which schedulers serve
	healthInterval    = 20 * time.Millisecond // between health checks of a starting process
	drainPollInterval = 50 * time.Millisecond // between checks whether a draining worker is empty
	minUptime         = time.Second           // no SIGHUP in a process's first second
	minTail           = 90 * time.Second      // after the last arrival, everything must end within this time or the longest deadline
)

// Run executes a plan. An error means that the plan could not be executed; misbehaviour of a scheduler is not an error but
// appears in the history.
func Run(ctx context.Context, plan *scenario.Plan, opt Options) (*Result, error) {
	if plan.Operators != "" || plan.Peers != nil || plan.State != nil {
		if slices.ContainsFunc(opt.Program.Args, func(a string) bool { return strings.HasPrefix(a, "--fleet") }) {
			return nil, errors.New("the scenario has operators of its own, and --fleet names others: give one of them")
		}
		// A path relative to the folder in which the scheduler runs.
		opt.Program.Args = append(slices.Clone(opt.Program.Args), "--fleet", scenario.OperatorsFile)
	}
	for _, step := range plan.Steps {
		if err := clients.CheckKinds(step.Clients); err != nil {
			return nil, err
		}
	}
	arrivals, err := traffic.Draw(plan.Traffic)
	if err != nil {
		return nil, err
	}
	r := &run{plan: plan, opt: opt, rec: record.New(opt.History), book: book.New(), arrivals: arrivals}
	limited, stop := context.WithTimeoutCause(ctx, startupTimeout+plan.Length+tail(plan), errors.New("the run did not end in time"))
	defer stop()
	r.ctx, r.stop = context.WithCancelCause(limited)
	cpu := cpuTime()
	stats, err := r.execute()
	partial := ""
	switch cause := context.Cause(r.ctx); {
	case cause == nil:
	case limited.Err() == nil:
		err = cause // the kit itself failed
	case errors.Is(cause, context.Canceled):
		partial = "interrupted"
	default:
		partial = cause.Error()
	}
	if r.endedByPlan && partial == "" {
		partial = errEndAfter.Error()
	}
	r.stop(nil) // releases all goroutines that still wait
	r.shutdown()
	events, writeErr := r.rec.Close(history.Event{Partial: partial != "", Note: partial})
	switch {
	case partial != "" && !r.clientsStarted:
		return nil, errors.New(partial + " before the first client")
	case err != nil && partial == "":
		return nil, err
	}
	if writeErr != nil {
		return nil, fmt.Errorf("cannot write the history: %w", writeErr)
	}
	res := &Result{Events: events, Partial: partial, Clients: stats, Schedulers: make(map[string]daemon.Usage), CPU: cpuTime() - cpu}
	for _, p := range r.hosts {
		res.Schedulers[p.name] = p.totalUsage()
	}
	return res, nil
}

// tail returns the time after the last arrival within which everything must end.
func tail(plan *scenario.Plan) time.Duration {
	longest := minTail
	for _, c := range plan.Classes {
		longest = max(longest, time.Duration(c.Deadline)*time.Microsecond+settleTime)
	}
	return longest
}

// run is the state of a run in progress.
type run struct {
	plan           *scenario.Plan
	opt            Options
	rec            *record.Recorder
	book           *book.Book
	arrivals       []traffic.Arrival
	ctx            context.Context
	stop           context.CancelCauseFunc
	clientsStarted bool // clients have started
	endedByPlan    bool // the run was ended by Options.EndAfter

	net          *loop.Net
	world        *World
	fleet        *fleet.Fleet
	discovery    *discovery.Discovery
	links        *links.Links // between schedulers; nil: they have no membership
	routeLinks   *links.Links // to workers and discovery; nil: schedulers connect to them directly
	hosts        []*schedulerHost
	terms        chan int
	openRequests *clients.OpenRequests // requests whose ids misbehaving clients reuse
	goroutines   sync.WaitGroup
}

// execute starts everything and returns when the last client is done.
func (r *run) execute() (clients.Stats, error) {
	if err := r.build(); err != nil {
		return clients.Stats{}, err
	}
	for _, p := range r.hosts {
		if err := p.start(nil); err != nil {
			return clients.Stats{}, err
		}
	}
	for _, p := range r.hosts {
		if err := p.awaitReady(r.ctx); err != nil {
			return clients.Stats{}, err
		}
	}
	if r.opt.Prepare != nil {
		if err := r.opt.Prepare(r.ctx, r.stage(0)); err != nil {
			return clients.Stats{}, err
		}
	}
	start := r.rec.Since() + settleTime
	setup := r.plan.Setup()
	setup.Begin, setup.Start = r.rec.Begin().UnixMicro(), start.Microseconds()
	r.rec.Add(history.Event{Kind: history.KindSetup, Setup: setup})
	for _, s := range r.plan.TroubleIntervals {
		r.rec.Add(history.Event{Kind: history.KindFault, Note: s.Name, From: (start + s.From).Microseconds(), Until: (start + s.To).Microseconds()})
	}
	r.clientsStarted = true
	if err := r.writeOperatorsFiles(); err != nil {
		return clients.Stats{}, err
	}
	r.goroutines.Go(func() { r.rec.Watch(r.ctx) })
	r.goroutines.Go(func() { r.applySteps(start) })
	if r.links != nil && r.plan.Rules.AgreeWithin > 0 {
		for _, p := range r.hosts {
			r.goroutines.Go(func() { p.recordViews(r.ctx) })
		}
	}
	if r.opt.OnClientsStart != nil {
		r.goroutines.Go(func() { r.opt.OnClientsStart(r.ctx, r.stage(start)) })
	}
	clientCtx, cancel := r.ctx, func() {}
	if r.opt.EndAfter > 0 {
		clientCtx, cancel = context.WithTimeoutCause(r.ctx, start+r.opt.EndAfter-r.rec.Since(), errEndAfter)
	}
	defer cancel()
	if r.opt.Progress != nil {
		r.goroutines.Go(func() { r.progress(start) })
	}
	stats, err := clients.Run(clientCtx, clients.Config{
		Plan: r.plan.Traffic, Arrivals: r.arrivals, Retry: r.plan.Retry, Schedulers: r.clientSchedulers(), Zones: r.plan.Zones,
		Front: clients.Front{Notice: r.plan.Notice}, Rules: r.plan.Rules, Record: r.rec, Book: r.book, Seed: r.plan.Seed,
		Durable: r.durableClasses(), KeepEnded: r.keepTime(), Start: start, ProcessNumber: func(i int) int { return r.hosts[i].currentLife() }, Terminated: r.terms, OpenRequests: r.openRequests,
	})
	if errors.Is(context.Cause(clientCtx), errEndAfter) {
		r.endedByPlan = true
	}
	return stats, err
}

func (r *run) clientSchedulers() []clients.Scheduler {
	out := make([]clients.Scheduler, len(r.hosts))
	for i, p := range r.hosts {
		out[i] = clients.Scheduler{Name: p.name, Zone: r.plan.Zones[r.plan.Schedulers[i].Zone], Address: p.listen}
		if host, _, err := net.SplitHostPort(p.listen); err == nil && r.plan.StompPort > 0 {
			out[i].STOMPAddress = net.JoinHostPort(host, strconv.Itoa(r.plan.StompPort))
		}
	}
	return out
}

// durableClasses returns the classes whose jobs clients ask for again.
func (r *run) durableClasses() []string {
	if !r.plan.AskAgain {
		return nil
	}
	return r.plan.Durable
}

// keepTime returns how long clients ask any scheduler for a job that has ended; 0: they ask only their own scheduler.
func (r *run) keepTime() time.Duration {
	if !r.plan.AskAgain {
		return 0
	}
	return time.Duration(r.plan.Rules.KeepEnded) * time.Microsecond
}

// must ends the run if the kit itself has failed.
func (r *run) must(err error) {
	if err != nil {
		r.stop(fmt.Errorf("the kit failed: %w", err))
	}
}

// replaceWorker replaces a worker's process gracefully: it drains, stops, and a cold process starts.
func (r *run) replaceWorker(w int, drainTime, down time.Duration) {
	r.fleet.Drain(w)
	if !sleep(r.ctx, drainTime) {
		return
	}
	for {
		stopped, err := r.fleet.Stop(w)
		r.must(err)
		if stopped {
			break
		}
		if !sleep(r.ctx, drainPollInterval) {
			return
		}
	}
	if sleep(r.ctx, down) && !r.fleet.Fallen(w) {
		r.must(r.fleet.Return(w))
	}
}

func (r *run) progress(start time.Duration) {
	for sleep(r.ctx, 200*time.Millisecond) {
		r.opt.Progress(min(r.plan.Length, r.rec.Since()-start))
	}
}

// shutdown stops the remaining components, in an order in which none of them notices the end of another.
func (r *run) shutdown() {
	for _, p := range r.hosts {
		p.shutdown()
	}
	r.goroutines.Wait()
	for _, l := range []*links.Links{r.links, r.routeLinks} {
		if l != nil {
			l.Close()
		}
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
}

// sleep waits for d or until ctx ends, and reports whether the whole time has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// powerLoss is the environment variable that controls which unsynced writes reach the disk; see package faultfs.
const powerLoss = "LADDERTIDE_POWERLOSS"

// environment returns the kit's own environment with the platform's variables set, and without inherited values of these
// variables, which would reach the scheduler.
func environment(set map[string]string) []string {
	var env []string
	for _, e := range os.Environ() {
		if name, _, _ := strings.Cut(e, "="); !strings.HasPrefix(name, "GW_") && name != "TMPDIR" && name != powerLoss {
			env = append(env, e)
		}
	}
	for _, name := range []string{"GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONFIG", "TMPDIR"} {
		env = append(env, name+"="+set[name])
	}
	for _, name := range []string{"GW_ADMIN", powerLoss} {
		if set[name] != "" {
			env = append(env, name+"="+set[name])
		}
	}
	return env
}

// replace writes a file atomically: a reader finds the old or the new content, never a part of it.
func replace(file string, data []byte) error {
	next := file + ".new"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return err
	}
	return os.Rename(next, filepath.Clean(file))
}
