// Package clients emulates the clients of a rehearsal on real sockets, with the front that distributes them over the
// schedulers. Each arrival sends its request at its time, regardless of the outcome of earlier ones (open loop), and all that
// its client sees is recorded. The package also emulates bad clients, which send what no regular client would. core/traffic
// decides on the requests and the retries; nothing here judges an answer. The package dials only addresses in 127.0.0.0/8.
package clients

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/core/history"
	"laddertide/core/traffic"
	"laddertide/rehearse/book"
	"laddertide/rehearse/record"
)

// Defaults of a Config, and fixed limits.
const (
	defaultGrace    = 250 * time.Millisecond
	defaultOpen     = 50_000
	dialTimeout     = time.Second     // until a connection must be established
	writeTimeout    = 5 * time.Second // until a request must be written
	earlyAnswerWait = 50 * time.Millisecond
	maxResult       = 64 << 10
	maxAnswer       = 192 << 10 // a complete answer with its head and framing
)

// Scheduler holds the addresses of a scheduler.
type Scheduler struct {
	Name, Zone   string
	Address      string // host:port within 127.0.0.0/8
	STOMPAddress string // host:port for STOMP, which clients then use; empty: they use HTTP at Address
}

// Config configures Run.
type Config struct {
	Plan        traffic.Plan      // for its classes, tenants and names; nothing is drawn here
	Arrivals    []traffic.Arrival // sorted by time
	Retry       traffic.Retry
	Schedulers  []Scheduler
	Zones       []string // names as in Scheduler.Zone, indexed by Arrival.Zone
	Front       Front
	Rules       history.Rules // for Slack, AnswerSlack and Crossing; zero: history.FleetRules
	Record      *record.Recorder
	Book        *book.Book
	Seed        uint64
	Host        string           // empty: api.internal
	Start       time.Duration    // when an arrival with At 0 is due; 0: once the front has polled each scheduler
	HangUpGrace time.Duration    // how long an answer may cross a client's hang-up; 0: 250 ms
	MaxOpen     int              // limit of open requests; 0: 50,000. Arrivals beyond it count as unsent
	IdleTime    [2]time.Duration // an idle connection is closed after a time drawn between these; zero: 20 to 40 s
	MaxConns    int              // limit of connections to one scheduler; 0: that of open requests
	Durable     []string         // classes whose clients ask again, with the same id, until they have an answer

	// KeepEnded is how long all schedulers know a job that has ended. If it is set, the client of every job asks any of them again
	// until it has an answer; some clients ask two at once, ask again for an answer that they have, or send a different
	// request under a known id. 0: clients do none of this.
	KeepEnded time.Duration

	// OpenRequests tracks the open requests whose ids bad clients may steal. May be nil.
	OpenRequests *OpenRequests
	// ProcessNumber returns the number, from 1, of the process of a scheduler that runs or ran last. Nil: always 1.
	ProcessNumber func(scheduler int) int
	// Terminated receives the index of each scheduler as soon as it has been sent SIGTERM. May be nil.
	Terminated <-chan int
}

// Stats holds the totals of a run, for the kit's own figures.
type Stats struct {
	Jobs        int // arrivals that were due before the end
	Tries       int // tries
	Sent        int // requests whose last byte was written, including those sent again
	Answers     int
	Broken      int
	Unsent      int
	GaveUp      int
	Resent      int // requests sent once more, as they had crossed a close, or as the client asks again for an unanswered job
	Unsolicited int // unsolicited answers or bytes
	Overflow    int // jobs not sent because too many requests were open
	Conns       int // connections established

	// Percentiles and maximum of the lag of first tries: from when a job was due to when its client began to send.
	LagP50, LagP99, MaxLag time.Duration
}

// tally holds the counters of Stats.
type tally struct {
	jobs, asks, sent, answers, broken, unsent, gaveUp, again, strays, overflow, conns atomic.Int64
}

// runner is the state of one Run.
type runner struct {
	Config
	ctx       context.Context
	front     *front
	endpoints []*endpoint
	bodies    sync.Pool
	ids       atomic.Int64 // of connections
	open      atomic.Int64 // requests
	lags      []time.Duration
	tally     tally
	jobs      sync.WaitGroup
	conns     sync.WaitGroup
}

// Run sends the request of each arrival at its time and returns when all have ended, or when ctx ends; requests still open then
// are dropped without a record. An error means that the Config is invalid.
func Run(ctx context.Context, cfg Config) (Stats, error) {
	k, err := newKit(ctx, cfg)
	if err != nil {
		return Stats{}, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	k.ctx = ctx
	k.front.run(ctx, cfg.Terminated)
	if k.Start == 0 {
		k.Start = k.Record.Since()
	}
	k.runArrivals()
	k.jobs.Wait()
	// Leaves time to see a scheduler answer a second time.
	k.sleep(k.HangUpGrace)
	stop()
	for _, p := range k.endpoints {
		p.closeAll()
	}
	k.conns.Wait()
	k.front.wait()
	return k.stats(), nil
}

func newKit(ctx context.Context, cfg Config) (*runner, error) {
	if cfg.Record == nil || cfg.Book == nil {
		return nil, errors.New("clients: no recorder or no book")
	}
	if len(cfg.Schedulers) == 0 {
		return nil, errors.New("clients: no schedulers")
	}
	if cfg.ProcessNumber == nil {
		cfg.ProcessNumber = func(int) int { return 1 }
	}
	if cfg.Rules == (history.Rules{}) {
		cfg.Rules = history.FleetRules()
	}
	if cfg.Host == "" {
		cfg.Host = "api.internal"
	}
	if cfg.HangUpGrace <= 0 {
		cfg.HangUpGrace = defaultGrace
	}
	if cfg.IdleTime == [2]time.Duration{} {
		cfg.IdleTime = [2]time.Duration{20 * time.Second, 40 * time.Second}
	}
	if cfg.MaxOpen <= 0 {
		cfg.MaxOpen = defaultOpen
	}
	if cfg.MaxConns <= 0 {
		cfg.MaxConns = cfg.MaxOpen
	}
	names := append([]string{cfg.Host}, cfg.Zones...)
	for _, c := range cfg.Plan.Classes {
		names = append(names, c.Name)
	}
	for _, t := range cfg.Plan.Tenants {
		names = append(names, t.Name)
	}
	for _, name := range names {
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' }) {
			return nil, fmt.Errorf("clients: %q is not valid in a header", name)
		}
	}
	for i, a := range cfg.Arrivals {
		if a.Class < 0 || a.Class >= len(cfg.Plan.Classes) || a.Tenant < 0 || a.Tenant >= len(cfg.Plan.Tenants) ||
			a.Zone < 0 || a.Zone >= len(cfg.Zones) || a.Body < 0 || a.Body > maxResult {
			return nil, fmt.Errorf("clients: arrival %d does not fit the plan: %+v", i, a)
		}
	}
	if !slices.IsSortedFunc(cfg.Arrivals, func(a, b traffic.Arrival) int { return int(a.At - b.At) }) {
		return nil, errors.New("clients: the arrivals are not sorted by time")
	}
	k := &runner{Config: cfg, ctx: ctx, lags: make([]time.Duration, len(cfg.Arrivals))}
	k.bodies.New = func() any { return new([]byte) }
	for i, s := range cfg.Schedulers {
		if err := loopback(s.Address); err != nil {
			return nil, err
		}
		k.endpoints = append(k.endpoints, &endpoint{runner: k, index: i, Scheduler: s, conns: make(map[*conn]struct{})})
	}
	k.front = newFront(k)
	return k, nil
}

// loopback returns an error for an address outside 127.0.0.0/8.
func loopback(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().Is4() || !at.Addr().IsLoopback() {
		return fmt.Errorf("clients: %q is not an address within 127.0.0.0/8 with a port", address)
	}
	return nil
}

// runArrivals starts the client of each arrival at its time.
func (k *runner) runArrivals() {
	for i := range k.Arrivals {
		a := &k.Arrivals[i]
		due := k.Start + a.At
		if !k.waitUntil(due) {
			return
		}
		k.tally.jobs.Add(1)
		if k.open.Add(1) > int64(k.MaxOpen) {
			k.open.Add(-1)
			k.recordOverflow(a, due)
			continue
		}
		k.jobs.Go(func() {
			defer k.open.Add(-1)
			k.runClient(i, a, due)
		})
	}
}

// waitUntil waits for a time of the history. It returns false if the run ends first.
func (k *runner) waitUntil(due time.Duration) bool {
	for {
		left := due - k.Record.Since()
		if left <= 0 {
			return k.ctx.Err() == nil
		}
		if left > 100*time.Millisecond {
			if !k.sleep(left - 50*time.Millisecond) {
				return false
			}
			continue
		}
		time.Sleep(left)
	}
}

// sleep returns false if the run ends first.
func (k *runner) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-k.ctx.Done():
		return false
	}
}

func (k *runner) recordOverflow(a *traffic.Arrival, due time.Duration) {
	k.tally.overflow.Add(1)
	id := k.id(a, 0)
	k.recordAsk(a, id, id, 0, due, k.Record.Since(), microseconds(k.class(a).Deadline))
	k.recordUnsent(id, "", fmt.Sprintf("the kit holds %d open requests and no more", k.MaxOpen))
}

func (k *runner) class(a *traffic.Arrival) *traffic.Class { return &k.Plan.Classes[a.Class] }

// id returns the unique request id of a try: 16 hex digits.
func (k *runner) id(a *traffic.Arrival, try int) string {
	return fmt.Sprintf("%016x", rand.NewPCG(a.ClientSeed, k.Seed*2654435761+uint64(try)).Uint64())
}

func (k *runner) stats() Stats {
	n := func(c *atomic.Int64) int { return int(c.Load()) }
	t := &k.tally
	s := Stats{Jobs: n(&t.jobs), Tries: n(&t.asks), Sent: n(&t.sent), Answers: n(&t.answers), Broken: n(&t.broken),
		Unsent: n(&t.unsent), GaveUp: n(&t.gaveUp), Resent: n(&t.again), Unsolicited: n(&t.strays),
		Overflow: n(&t.overflow), Conns: n(&t.conns)}
	if late := slices.Sorted(slices.Values(k.lags[:s.Jobs])); len(late) > 0 {
		s.LagP50, s.LagP99, s.MaxLag = late[len(late)/2], late[len(late)*99/100], late[len(late)-1]
	}
	return s
}
