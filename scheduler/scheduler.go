// Package scheduler builds a scheduler from its configuration and runs it.
package scheduler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/attempt"
	"laddertide/capture"
	"laddertide/core/maintenance"
	"laddertide/core/pollschedule"
	"laddertide/core/starttime"
	"laddertide/directory"
	"laddertide/dispatch"
	"laddertide/durable"
	"laddertide/frontend"
	"laddertide/job"
	"laddertide/jobstatus"
	"laddertide/metrics"
	"laddertide/owners"
	"laddertide/peers"
	"laddertide/policy"
	"laddertide/provider"
	"laddertide/replicated"
	"laddertide/returning"
	"laddertide/stall"
)

// Scheduler is one scheduler process: New builds it and Serve runs it.
type Scheduler struct {
	cfg    Config
	log    *slog.Logger
	engine *dispatch.Engine
	pool   *provider.Pool

	// Optional features; nil if the operator has not turned them on.
	metrics        *metrics.Emitter
	capture        *capture.Recorder
	status         *jobstatus.Store
	durable        *durable.Handler // set by Serve
	once           *attempt.Once
	peers          *peers.Peers        // set by Serve, under mu
	owners         *owners.Handler     // set by Serve
	recoveryDriver *returning.Driver   // set by Serve
	groups         *replicated.Handler // set by Serve

	// mu serialises updates from discovery, whichever watch they come from.
	mu       sync.Mutex
	watching context.Context // set once serving; its end ends all watches
	current  *discoveryWatch // the watch that the list comes from
	next     *discoveryWatch // the watch that replaces current when its first list arrives

	server *frontend.Server // set by Serve

	// RereadFile reads the configuration file again and passes it to Reload. It is set before Serve; nil if there is no file.
	RereadFile func()

	// list holds the providers with the state from discovery and the operators, under mu; index is discovery's latest.
	list              maintenance.List[directory.Entry]
	index             uint64
	starts            starttime.Clock // start times of workers, by the engine's clock
	haveDiscoveryList bool            // discovery has sent a list, so that a start that appears now is a new one
	ready             atomic.Bool

	// State of the recovery, under mu.
	startNumber    uint64    // start number of this process; 0: derived from the clock
	listReceivedAt time.Time // when discovery last sent a list
	savedMembers   int       // number of schedulers that may run, as of the last requested save of the state

	configuration followedConfiguration

	succession
}

// discoveryWatch follows the list at one discovery address.
type discoveryWatch struct {
	address string
	stop    context.CancelFunc
	watcher *directory.Watcher
}

// New returns a Scheduler that knows the providers of the configuration's list.
func New(cfg Config, log *slog.Logger) (*Scheduler, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Scheduler{cfg: cfg, log: log}
	s.loadStoredConfiguration()
	cfg = s.cfg
	engine, err := dispatch.NewAt(cfg.Settings, log, time.Now().Add(cfg.clockAhead))
	if err != nil {
		return nil, err
	}
	s.engine = engine
	s.once = attempt.NewOnce(s.mustNotRunTwice)
	s.createObservers()
	s.pool = provider.NewPool(poolLimits(&cfg.Settings, cfg.providerConnections()), log)
	s.applyDiscoveryList(policy.ListCached, cfg.Known)
	return s, nil
}

// mustNotRunTwice reports whether jobs of a class must not run twice. The effect of a class of that index never changes.
func (s *Scheduler) mustNotRunTwice(class int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	classes := s.cfg.Settings.Classes
	return class >= 0 && class < len(classes) && classes[class].Effect == policy.Unsafe
}

// createObservers creates the observers that the operator has turned on and registers them with the engine.
func (s *Scheduler) createObservers() {
	op := &s.cfg.Operator
	var all dispatch.Observers
	if op.Figures != nil {
		var stderr io.Writer = os.Stderr
		if op.Stderr != nil {
			stderr = op.Stderr
		}
		s.metrics = metrics.New(*op.Figures, s.cfg.Settings, stderr, s.log)
		all = append(all, s.metrics)
	}
	if op.Capture != nil {
		s.capture = capture.New(*op.Capture, s.log)
		all = append(all, s.capture)
	}
	if op.JobStatus != nil {
		s.status = jobstatus.New(*op.JobStatus, s.cfg.Settings)
		all = append(all, s.status)
	}
	if all != nil {
		s.engine.Observe(all)
	}
}

// ledgerLimitation returns the reason why durable jobs are rejected, for GET /_health; empty if they are accepted.
func (s *Scheduler) ledgerLimitation() string {
	if err := s.durable.StartWriteError(); err != nil {
		return "durable jobs are refused, as the ledger's folder takes no writes: " + err.Error()
	}
	return ""
}

// SnapshotLedger copies the ledger of durable jobs into an empty or new folder while the scheduler serves.
func (s *Scheduler) SnapshotLedger(dst string) error {
	s.mu.Lock()
	d := s.durable
	s.mu.Unlock()
	if d == nil {
		return errors.New("scheduler: no ledger is open")
	}
	return d.Snapshot(dst)
}

// handlerChain builds the chain of Handlers that a job passes, from the frontend to the attempt Handler, each wrapping the
// next. It is the only place that sets their order. Optional Handlers wrap the attempt Handler here, innermost first; those
// that are turned off are not in the chain.
func (s *Scheduler) handlerChain() (job.Handler, error) {
	var h job.Handler = &attempt.Handler{Engine: s.engine, Pool: s.pool, Log: s.log, Once: s.once}
	if set := s.cfg.Operator.Replicated; set != nil {
		r, err := s.newReplicated(*set, h)
		if err != nil {
			return nil, err
		}
		s.groups = r
		h = r
	} else if set := s.cfg.Operator.Durable; set != nil {
		d, err := durable.Open(*set, s.cfg.Settings, h, s.pool, s.log)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.durable = d
		s.mu.Unlock()
		h = d
	}
	if s.recoveryDriver != nil {
		h = s.recoveryGate(h)
	}
	if set := s.cfg.Operator.Owners; set != nil {
		o, err := s.newOwners(*set, h)
		if err != nil {
			return nil, err
		}
		s.owners, h = o, o
	}
	return h, nil
}

// startObservers starts the background work of the observers.
func (s *Scheduler) startObservers() {
	if s.metrics != nil {
		s.metrics.Start()
	}
	if s.capture != nil {
		s.capture.Start()
	}
}

// closeObservers closes the observers, after the last answer.
func (s *Scheduler) closeObservers() {
	if s.metrics != nil {
		s.metrics.Close()
	}
	if s.capture != nil {
		s.capture.Close()
	}
}

// WriteCapture passes the captured lines that are held in memory to write, in whole lines, until write returns false.
func (s *Scheduler) WriteCapture(write func([]byte) bool) error {
	if s.capture == nil {
		return errors.New("scheduler: capture is off")
	}
	return s.capture.Dump(write)
}

// applyDiscoveryList applies a list from discovery. Called under mu, except by New.
func (s *Scheduler) applyDiscoveryList(kind policy.ListKind, list directory.List) {
	s.index = list.Index
	s.reportListReceived()
	now := s.engine.Now()
	s.observeStartDates(list.Entries, now)
	names := make([]string, len(list.Entries))
	for i := range list.Entries {
		e := &list.Entries[i]
		names[i] = e.Name
		s.starts.Translate(e.Name, e.LastStart(), now, s.haveDiscoveryList)
		before := s.ownEntry(e.Name)
		s.list.Report(e.Name, *e, e.Status == directory.Deleted)
		s.reportStopped(e.Name, before, s.ownEntry(e.Name))
	}
	if kind != policy.ListDelta {
		s.list.SetListed(names)
		s.starts.Retain(names)
	}
	s.haveDiscoveryList = s.haveDiscoveryList || kind != policy.ListCached
	changed := s.reviewRestrictions() // an entry of the own list can end a peer's restriction
	for i := range list.Entries {
		p, _ := s.list.Get(names[i])
		list.Entries[i] = s.effectiveEntry(p)
	}
	for _, e := range changed {
		if !slices.Contains(names, e.Name) {
			list.Entries = append(list.Entries, e)
		}
	}
	s.publishList(kind, list)
}

// observeStartDates uses all start dates of a list as evidence for the error of this machine's clock, before any is
// translated.
func (s *Scheduler) observeStartDates(entries []directory.Entry, now time.Duration) {
	for i := range entries {
		s.starts.Observe(entries[i].LastStart(), now)
	}
}

// effectiveEntry is the entry that the pool and the decision module receive for a provider: a banned one drains, whatever
// discovery reports.
func (s *Scheduler) effectiveEntry(p maintenance.Provider[directory.Entry]) directory.Entry {
	e := p.Entry
	e.Name, e.MaintenanceEnd = p.Name, max(p.BanLiftedAt, s.coldSince(&p))
	switch {
	case p.Unlisted:
		e.Status = directory.Deleted
	case p.Banned, p.HeldBack:
		e.Status = directory.Draining
	}
	return e
}

// publishList passes a list to the pool and the engine. The pool comes first: it must know each provider that the engine may
// choose.
func (s *Scheduler) publishList(kind policy.ListKind, list directory.List) {
	entries := make([]policy.Entry, len(list.Entries))
	names := make([]string, len(list.Entries))
	now := s.engine.Now()
	s.observeStartDates(list.Entries, now) // dates that came from the previous process have not been observed by this one
	for i := range list.Entries {
		e := &list.Entries[i]
		names[i] = e.Name
		state := policy.Draining
		switch e.Status {
		case directory.Serving:
			state = policy.Ready
		case directory.Deleted:
			state = policy.Gone
		}
		entries[i] = policy.Entry{
			State: state, Kind: nameIndex(s.cfg.Settings.KindNames, e.Type), Zone: nameIndex(s.cfg.Settings.ZoneNames, e.Zone),
			Cell: e.Group, Weight: e.Weight, Back: e.MaintenanceEnd,
			Started: s.starts.Translate(e.Name, e.LastStart(), now, false),
		}
	}
	s.pool.UpdateProviders(list.Entries, kind != policy.ListDelta)
	s.engine.UpdateProviders(kind, list.Index, entries, names)
	s.reportServingProviders()
}

// nameIndex returns the index of a name, or len(names) for a name that the settings do not have.
func nameIndex(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// Serve runs the scheduler until ctx ends and all accepted jobs are answered.
func (s *Scheduler) Serve(ctx context.Context) error {
	s.setRuntimeLimits(fullMemory)
	s.startObservers()
	defer s.closeObservers()
	if err := s.openConfiguration(ctx); err != nil {
		return err
	}
	defer s.closeFollower()
	if err := s.openState(); err != nil {
		return err
	}
	defer s.closeState()
	jobs, err := s.handlerChain()
	if err != nil {
		return err
	}
	defer s.pool.Close()
	defer s.engine.Close()
	// Discovery is followed until the end, so that jobs answered after the stop signal are sent by the same rules.
	watching, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if s.cfg.Admin != "" {
		adminListener, err := s.serveAdmin(ctx)
		if err != nil {
			return err
		}
		defer adminListener.Close()
	}
	ln, takeover, err := s.acquireListener(ctx)
	if err != nil {
		return err
	}
	if ln == nil { // stopped while it was standing by
		s.log.Info("stopped", "name", s.cfg.Name)
		return nil
	}
	defer ln.Close()
	defer s.closeSuccession()
	if takeover == nil && s.recoveryDriver == nil {
		if err := s.startPeers(ctx, watching, nil); err != nil {
			return err
		}
	}
	defer s.leavePeers()
	s.followConfiguration()
	go s.updateConfigurationGauges(watching)
	go s.updateDurableGauges(watching)
	stalls := stall.New(pauseCheckInterval(s.cfg.Settings.DialTimeout), 2*pauseCheckInterval(s.cfg.Settings.DialTimeout), s.catchUp, s.log)
	s.pool.AwaitCurrent = stalls.Wait
	go stalls.Run(watching)
	s.mu.Lock()
	s.watching = watching
	s.startWatch(s.cfg.Discovery, s.index, s.recoveryDriver != nil)
	s.mu.Unlock()
	stopping := s.engine.Stop
	if s.durable != nil {
		defer s.durable.Close()
		// Before there is an address for call-backs: a call-back must find its job.
		if s.recoveryDriver == nil {
			if err := s.durable.Start(); err != nil {
				return err
			}
		}
		stopping = func(by time.Time) { s.engine.Stop(by); s.durable.Stop(by) }
	}
	if s.recoveryDriver != nil {
		stopping = stopBoth(stopping, func(time.Time) { s.recoveryDriver.Shutdown() })
	}
	if s.groups != nil {
		defer s.groups.Close()
		stopping = stopBoth(stopping, s.groups.Stop)
		s.pool.HandleUnclaimed = s.groups.HandleUnclaimed
	}
	if s.owners != nil {
		stopping = stopBoth(stopping, s.stopOwners)
		s.pool.HandleUnclaimed = s.withOwnersUnclaimed(s.pool.HandleUnclaimed)
	}
	listeners, err := s.listeners(watching, ln)
	if err != nil {
		return err
	}
	defer closeListeners(listeners[1:])
	s.mu.Lock()
	server := &frontend.Server{
		Settings: s.cfg.Settings, Jobs: jobs, CallBack: s.pool.HandleCallBack, OnShutdown: stopping, Log: s.log,
		MaxConns: s.cfg.connectionSlots(), DeferSilent: true, Grace: s.grace(), Unfinished: s.unfinishedOutcome(),
	}
	if s.metrics != nil {
		server.Observer = s.metrics
	}
	s.server = server
	s.mu.Unlock()
	ctx, returned := s.startRecovery(ctx, watching, server)
	defer returned()
	if s.status != nil {
		server.Status = s.status.Get
	}
	if s.durable != nil {
		server.Limitation = s.ledgerLimitation
	}
	s.log.Info("serving", "name", s.cfg.Name, "listen", ln.Addr(), "providers", len(s.cfg.Known.Entries))
	s.logListeners(watching, listeners)
	began := time.Now()
	go s.logSummaries(watching)
	s.startServing(server, ln, takeover)
	if takeover != nil {
		go s.resumePeers(ctx, watching)
	}
	if err := server.Serve(ctx, listeners...); err != nil {
		return fmt.Errorf("scheduler: %w", err)
	}
	s.pool.AwaitAnswered(time.Now().Add(cancelNoticeTime))
	if err := returned(); err != nil {
		return err
	}
	s.log.Info("stopped", "name", s.cfg.Name, "after", time.Since(began).Round(time.Millisecond))
	return nil
}

// startWatch starts a watch at once, whatever the current one waits for. The current one continues until the new one has
// received a list, so that no update is missed. Called under mu.
func (s *Scheduler) startWatch(address string, index uint64, whole bool) {
	if s.next != nil {
		s.next.stop()
	}
	ctx, stop := context.WithCancel(s.watching)
	w := &discoveryWatch{address: address, stop: stop}
	s.next = w
	watcher := &directory.Watcher{
		Address: address, Index: index, FullList: whole, Log: s.log,
		Deliver: func(list directory.List) { s.receiveList(w, list) },
	}
	if s.current != nil {
		watcher.Polls.FirstListLimit = pollschedule.MoveNotifyLimit
	}
	if set := &s.cfg.Settings; set.Subscribe {
		// All schedulers ask the same discovery for their watches, so the requests are spread over time. The known list
		// serves meanwhile.
		watcher.Polls.SpreadOver = pollschedule.SpreadTime(set.Balancers, set.DialTimeout, set.AskEvery)
	}
	w.watcher = watcher
	go watcher.Run(ctx)
}

// pauseCheckInterval is the interval of the checks for a pause of this process: twice the longest time to connect, within
// bounds. What arrived during the pause must be read within the time of a few connections: the rules allow 2 s from the
// notice of a drain to the last send.
func pauseCheckInterval(dial time.Duration) time.Duration {
	return min(max(2*dial, 100*time.Millisecond), 500*time.Millisecond)
}

// catchUp reads what arrived while this process was paused: it requests its own list and the peers' state again.
func (s *Scheduler) catchUp(ctx context.Context) {
	s.mu.Lock()
	p := s.peers
	var lists []*directory.Watcher
	for _, w := range []*discoveryWatch{s.current, s.next} {
		if w != nil {
			lists = append(lists, w.watcher)
		}
	}
	s.mu.Unlock()
	var all sync.WaitGroup
	for _, w := range lists {
		all.Go(func() { w.Refresh(ctx) })
	}
	if p != nil {
		p.MarkPaused()
		all.Go(func() { p.Refresh(ctx) })
	}
	all.Wait()
}

// receiveList applies a list from a watch and reports whether it counts: a late list from a replaced watch must not undo
// what the new one reported.
func (s *Scheduler) receiveList(w *discoveryWatch, list directory.List) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch w {
	case s.next:
		if s.current != nil {
			s.current.stop()
		}
		s.current, s.next = w, nil
	case s.current:
	default:
		return false
	}
	kind := policy.ListDelta
	if list.Snapshot {
		kind = policy.ListFull
	}
	s.log.Debug("list from discovery", "from", w.address, "index", list.Index, "whole", list.Snapshot, "entries", len(list.Entries))
	if s.log.Enabled(context.Background(), slog.LevelDebug) {
		for _, e := range list.Entries {
			s.log.Debug("entry from discovery", "provider", e.Name, "status", e.Status, "since_ms", e.SinceMS, "address", e.Address)
		}
	}
	s.applyDiscoveryList(kind, list)
	return true
}

// summaryInterval is the interval of the summary in the log, which has no lines for single requests.
const summaryInterval = 30 * time.Second

func (s *Scheduler) logSummaries(ctx context.Context) {
	timer := time.NewTimer(summaryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(summaryInterval)
		}
		counts := s.engine.Counts()
		if counts.Jobs == 0 && counts.Open == 0 {
			continue
		}
		s.log.Info("summary", "jobs", counts.Jobs, "open", counts.Open,
			"answered", counts.Verdicts[dispatch.Answer], "rejected", counts.Verdicts[dispatch.Rejection],
			"failed", counts.Verdicts[dispatch.Failure], "left", counts.Verdicts[dispatch.ClientLeft],
			"mistakes", counts.Verdicts[dispatch.InvalidJob],
			"served", counts.Ends[dispatch.Served], "not_connected", counts.Ends[dispatch.NotConnected],
			"turned_away", counts.Ends[dispatch.Refused], "unusable", counts.Ends[dispatch.Unusable], "broken", counts.Ends[dispatch.Broken],
			"call_failed", counts.Ends[dispatch.Failed], "silent", counts.Ends[dispatch.Unacknowledged], "timed_out", counts.Ends[dispatch.TimedOut],
			"withdrawn", counts.Ends[dispatch.Withdrawn]+counts.Ends[dispatch.NotSent])
	}
}

// setRuntimeLimits keeps the runtime within the machine's limits. The garbage collector starts to work harder well before
// the memory limit, at which the scheduler would be killed.
func (s *Scheduler) setRuntimeLimits(part float64) {
	if c := s.cfg.Limits.Cores; c > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c))))
	}
	if mb := s.cfg.Limits.MemoryMB; mb > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(mb * 0.6 * part * (1 << 20)))
	}
}
