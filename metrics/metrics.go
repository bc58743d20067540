// Package metrics exports the scheduler's metrics: counters, gauges and timers with tags for class, tenant and server, as
// statsd or Influx lines.
package metrics

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"laddertide/core/recovery"
	"laddertide/dispatch"
	"laddertide/policy"
)

// prefix begins the name of each metric.
const prefix = "laddertide."

// The metrics. Those that count verdicts or ends are in the order of those enumerations.
type metric uint8

const (
	verdicts             metric = 0
	ends                        = verdicts + metric(dispatch.InvalidJob)
	started                     = ends + metric(dispatch.Withdrawn) + 1
	jobTime                     = started + 1
	attemptTime                 = jobTime + 1
	startTime                   = attemptTime + 1
	openJobs                    = startTime + 1
	attemptsInFlight            = openJobs + 1
	lostMetrics                 = attemptsInFlight + 1
	peersPresent                = lostMetrics + 1
	peersMayRun                 = peersPresent + 1
	peersBans                   = peersMayRun + 1
	peersRestrained             = peersBans + 1
	recoveryStep                = peersRestrained + 1
	recoveryTime                = recoveryStep + 1
	configurationVersion        = recoveryTime + metric(recovery.Service)
	configurationRefused        = configurationVersion + 1
	configurationCurrent        = configurationRefused + 1
	requestAge                  = configurationCurrent + 1
	closedUnread                = requestAge + 1
	durableOpen                 = closedUnread + 1
	durableKept                 = durableOpen + 1
	durableKeptBytes            = durableKept + 1
	durableDiskBytes            = durableKeptBytes + 1
	durableRefused              = durableDiskBytes + 1
	numMetrics                  = durableRefused + 1
)

var metricNames = [numMetrics]string{
	verdicts + metric(dispatch.Answer) - 1:     "answered",
	verdicts + metric(dispatch.Rejection) - 1:  "rejected",
	verdicts + metric(dispatch.Failure) - 1:    "failed",
	verdicts + metric(dispatch.ClientLeft) - 1: "left",
	verdicts + metric(dispatch.InvalidJob) - 1: "mistakes",

	ends + metric(dispatch.NotConnected):   "call_not_connected",
	ends + metric(dispatch.Refused):        "call_turned_away",
	ends + metric(dispatch.NotSent):        "call_not_sent",
	ends + metric(dispatch.Unusable):       "call_unusable",
	ends + metric(dispatch.Served):         "call_served",
	ends + metric(dispatch.Failed):         "call_failed",
	ends + metric(dispatch.Broken):         "call_broken",
	ends + metric(dispatch.Unacknowledged): "call_silent",
	ends + metric(dispatch.TimedOut):       "call_timed_out",
	ends + metric(dispatch.Withdrawn):      "call_withdrawn",

	started: "started", jobTime: "job_time", attemptTime: "call_time", startTime: "start_time",
	openJobs: "open", attemptsInFlight: "calls_out", lostMetrics: "figures_lost",
	peersPresent: "peers_present", peersMayRun: "peers_may_run", peersBans: "peers_bans", peersRestrained: "peers_restrained",
	recoveryStep:         "return_step",
	configurationVersion: "configuration_version", configurationRefused: "configuration_refused",
	configurationCurrent: "configuration_current_ms",
	requestAge:           "request_age", closedUnread: "closed_unread",
	durableOpen: "durable_open", durableKept: "durable_kept", durableKeptBytes: "durable_kept_bytes",
	durableDiskBytes: "durable_disk_bytes", durableRefused: "durable_refused",

	recoveryTime + metric(recovery.Read):   "return_read",
	recoveryTime + metric(recovery.Find):   "return_find",
	recoveryTime + metric(recovery.Agree):  "return_agree",
	recoveryTime + metric(recovery.Take):   "return_take",
	recoveryTime + metric(recovery.Settle): "return_settle",
	recoveryTime + metric(recovery.Carry):  "return_carry",
	recoveryTime + metric(recovery.Ready):  "return_ready",
	recoveryTime + metric(recovery.Admit):  "return_admit",
}

// series is a metric with its tags. Class and tenant are indices into the settings, -1 for no such tag: text that a
// client sends never becomes a tag, so the number of series is bounded.
type series struct {
	figure        metric
	class, tenant int
	server        string // empty: no such tag
}

// Limits of what is held until the next flush. Anything beyond them is dropped and counted.
const (
	maxSeries  = 4096
	maxSamples = 8192
)

// MemoryBytes is approximately the most that an Emitter holds, including the buffer of its target.
const MemoryBytes = 1 << 20

// pending holds what has been recorded since the last flush.
type pending struct {
	counts  map[series]int
	timers  map[series][]time.Duration
	samples int
	lost    int
}

func newPending() *pending {
	return &pending{counts: make(map[series]int), timers: make(map[series][]time.Duration)}
}

// Emitter records the engine's events and writes metrics in a goroutine of its own, once per flush interval.
type Emitter struct {
	set   Settings
	tags  tags
	write writer
	log   *slog.Logger
	stop  chan struct{}
	done  chan struct{}

	mu      sync.Mutex
	current *pending
	gauges  map[series]int

	spare  *pending // used by the flusher only
	warned time.Time
	unsent int // lines that the target did not accept, not yet reported
}

// New returns an Emitter that records events. It writes nothing before Start.
func New(set Settings, settings policy.Settings, stderr io.Writer, log *slog.Logger) *Emitter {
	return &Emitter{set: set, tags: newTags(settings, set.Format), write: newWriter(set.Target, stderr), log: log,
		stop: make(chan struct{}), done: make(chan struct{}),
		current: newPending(), spare: newPending(), gauges: make(map[series]int)}
}

// UpdateSettings replaces the settings by later ones, in which the indices of classes and tenants keep their meaning.
func (e *Emitter) UpdateSettings(settings policy.Settings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tags = newTags(settings, e.set.Format)
}

// SetFleet sets the gauges about the other schedulers: how many are present and how many may run, including this one, the number of
// bans in force, and whether this scheduler restrains itself to half of its share.
func (e *Emitter) SetFleet(present, mayRun, banned int, restrained bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	restrainedValue := 0
	if restrained {
		restrainedValue = 1
	}
	for f, v := range map[metric]int{peersPresent: present, peersMayRun: mayRun, peersBans: banned, peersRestrained: restrainedValue} {
		s := series{figure: f, class: -1, tenant: -1}
		e.gauge(s, v-e.gauges[s])
	}
}

// SetConfiguration sets the gauges about the configuration: the version in force, the version that was refused (0: none), and the
// milliseconds since the version in force was last known to be the newest (-1: never).
func (e *Emitter) SetConfiguration(version, refused uint64, currentMS int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for f, v := range map[metric]int{configurationVersion: int(version), configurationRefused: int(refused), configurationCurrent: int(currentMS)} {
		s := series{figure: f, class: -1, tenant: -1}
		e.gauge(s, v-e.gauges[s])
	}
}

// Durable is how much of their bounds durable jobs use.
type Durable struct {
	Open, Kept           int   // jobs that have not ended, and ended ones that are known
	KeptBytes, DiskBytes int64 // memory that stays with the ended ones, and the ledger's size on disk
	Refused              uint64
}

// SetDurable sets the gauges about durable jobs.
func (e *Emitter) SetDurable(d Durable) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for f, v := range map[metric]int{durableOpen: d.Open, durableKept: d.Kept, durableKeptBytes: int(d.KeptBytes),
		durableDiskBytes: int(d.DiskBytes), durableRefused: int(d.Refused)} {
		s := series{figure: f, class: -1, tenant: -1}
		e.gauge(s, v-e.gauges[s])
	}
}

// SetRecoveryStep records that a step of the recovery after a power loss begins, and how long the previous step took.
func (e *Emitter) SetRecoveryStep(step int, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if step < 1 || step > int(recovery.Service) {
		return
	}
	at := series{figure: recoveryStep, class: -1, tenant: -1}
	e.gauge(at, step-e.gauges[at])
	e.addSample(series{class: -1, tenant: -1}, recoveryTime+metric(step-1), took)
}

// FirstRequest implements frontend.AcceptObserver.
func (e *Emitter) FirstRequest(age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addSample(series{class: -1, tenant: -1}, requestAge, age)
}

// ClosedUnread implements frontend.AcceptObserver.
func (e *Emitter) ClosedUnread() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count(series{class: -1, tenant: -1}, closedUnread)
}

// Start starts writing, until Close.
func (e *Emitter) Start() { go e.run() }

// Observe implements dispatch.Observer. It counts in memory and leaves the rest to the flusher.
func (e *Emitter) Observe(ev *dispatch.Event) {
	if ev.Kind == dispatch.Stepped {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := series{class: ev.Job.Class, tenant: min(ev.Job.Tenant, len(e.tags.tenants)-1), server: ev.Provider}
	calls := series{figure: attemptsInFlight, class: -1, tenant: -1, server: ev.Provider}
	jobs := series{figure: openJobs, class: s.class, tenant: s.tenant}
	switch ev.Kind {
	case dispatch.Taken:
		e.gauge(jobs, 1)
	case dispatch.Sent:
		e.gauge(calls, 1)
	case dispatch.Started:
		e.count(s, started)
		e.addSample(s, startTime, ev.Took)
	case dispatch.Ended:
		e.gauge(calls, -1)
		e.count(s, ends+metric(ev.End))
		e.addSample(s, attemptTime, ev.Took)
	case dispatch.Decided:
		e.gauge(jobs, -1)
		e.count(s, verdicts+metric(ev.Verdict)-1)
		e.addSample(s, jobTime, ev.Took)
	}
}

func (e *Emitter) gauge(s series, by int) {
	if _, ok := e.gauges[s]; !ok && len(e.gauges) >= maxSeries {
		e.current.lost++
		return
	}
	e.gauges[s] += by
}

func (e *Emitter) count(s series, f metric) {
	s.figure = f
	if _, ok := e.current.counts[s]; !ok && len(e.current.counts) >= maxSeries {
		e.current.lost++
		return
	}
	e.current.counts[s]++
}

func (e *Emitter) addSample(s series, f metric, took time.Duration) {
	s.figure = f
	if e.current.samples >= maxSamples {
		e.current.lost++
		return
	}
	e.current.samples++
	e.current.timers[s] = append(e.current.timers[s], took)
}

// closeLimit bounds the last flush: a target that blocks must not keep the program from ending.
const closeLimit = 200 * time.Millisecond

// Close flushes once more and stops writing. Observe must not be called after it.
func (e *Emitter) Close() {
	close(e.stop)
	timer := time.NewTimer(closeLimit)
	defer timer.Stop()
	select {
	case <-e.done:
	case <-timer.C:
	}
}

func (e *Emitter) run() {
	defer close(e.done)
	defer e.write.close()
	timer := time.NewTimer(e.set.Flush)
	defer timer.Stop()
	for {
		select {
		case <-e.stop:
			e.flush()
			return
		case <-timer.C:
			e.flush()
			timer.Reset(e.set.Flush)
		}
	}
}

// flush writes all that was recorded since the last flush. A batch that the target does not accept is dropped and not
// retried, as the next one is due soon.
func (e *Emitter) flush() {
	e.mu.Lock()
	p := e.current
	e.current, e.spare = e.spare, nil
	tags := e.tags
	gauges := make(map[series]int, len(e.gauges))
	for s, v := range e.gauges {
		gauges[s] = v
		if v == 0 {
			delete(e.gauges, s) // written once as 0 and then dropped, as providers come and go
		}
	}
	e.mu.Unlock()
	p.lost += e.unsent
	e.unsent = 0
	for _, b := range batches(tags.lines(p, gauges, time.Now()), e.set.BatchBytes) {
		if err := e.write.batch(b.text); err != nil {
			e.unsent += b.lines
			if time.Since(e.warned) > time.Minute {
				e.warned = time.Now()
				e.log.Warn("figures not written: they are dropped", "target", e.set.Target, "err", err)
			}
		}
	}
	clear(p.counts)
	clear(p.timers)
	p.samples, p.lost = 0, 0
	e.spare = p
}
