// Package source implements a member of the quorum that stores the configuration: an ordered log of versioned changes, replicated by
// a consensus library (etcd's raft), from which each member pushes the newest version to the schedulers connected to it. It owns its
// folder and the connections to the other members, to followers and to operators' tools. The outcome of a change, and which
// followers are behind, are decided in core/configuration.
package source

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/configuration/stream"
	core "laddertide/core/configuration"
	"laddertide/ledger"
	wire "laddertide/wire/configuration"
)

// Member is an entry in the fixed list of all sources.
type Member struct {
	Name    string
	Address string // at which the other members reach it
}

// Config configures a Source.
type Config struct {
	Name         string
	Listen       string        // address for members, followers and tools
	Listener     net.Listener  // used instead of Listen; nil: New listens on Listen
	Members      []Member      // all members, in the same order everywhere; 3, 5 or 7
	Dir          string        // a folder for this source alone, on a disk that outlives the process
	Cluster      string        // name of the cluster: connections of another cluster are rejected
	Keys         [][]byte      // see stream.NewSeals
	MaxFollowers int           // maximum number of connections of followers; 0: 256
	RoundTrip    time.Duration // longest round trip between members; 0: 25 ms
	Heartbeat    time.Duration // interval of heartbeats; 0: 1 s
	Log          *slog.Logger  // nil: none

	// Validate checks a document before it is accepted. It must be safe for concurrent use.
	Validate func(document []byte) error
}

// Defaults and limits of a Config.
const (
	DefaultMaxFollowers = 256
	DefaultRoundTrip    = 25 * time.Millisecond
	DefaultHeartbeat    = time.Second

	minTick      = 50 * time.Millisecond
	maxTools     = 16 // maximum number of connections of operators' tools
	helloTimeout = 3 * time.Second
	forgetAfter  = time.Hour // how long a disconnected follower stays listed

	// maxMissedBeats is the number of heartbeat intervals without a message after which a connection is closed.
	maxMissedBeats = 3
)

// Timing is derived from the longest round trip between members.
type Timing struct {
	Tick            time.Duration // between two heartbeats of the leader
	ElectionTimeout time.Duration // minimum time without a leader before another is elected; the maximum is twice as long
	ProposalTimeout time.Duration // after which a proposal is answered as uncertain
	DialTimeout     time.Duration // time-out for connecting to another member
}

// TimingOf derives the timing: the answer to a heartbeat takes a round trip, and the same time again is left for a sync on a busy
// machine.
func TimingOf(roundTrip time.Duration) Timing {
	tick := max(2*roundTrip, minTick)
	return Timing{Tick: tick, ElectionTimeout: electionTicks * tick, ProposalTimeout: proposalTicks * tick, DialTimeout: 4 * tick}
}

// silenceLimit returns the time without a message after which the state of a follower is in doubt: the heartbeat limit, and the time that
// its report may take to reach the leader.
func silenceLimit(t Timing, heartbeat time.Duration) time.Duration {
	return maxMissedBeats*heartbeat + 2*rowsInterval*t.Tick
}

// Source is a member of the quorum.
type Source struct {
	cfg    Config
	timing Timing
	seals  *stream.Seals
	log    *slog.Logger
	ln     net.Listener
	store  *ledger.Store
	node   *node // used only by the loop, once Serve is called
	start  uint64

	senders     map[string]*sender
	latest      latest
	lastContact atomic.Pointer[time.Time] // last contact with a quorum, on the monotonic clock

	wake         chan struct{}
	mu           sync.Mutex // guards the fields below
	queue        []func()
	queuedBytes  int // of messages in queue
	conns        map[net.Conn]bool
	unidentified []net.Conn // elements of conns that have not sent a hello yet, oldest first
	idleTools    []net.Conn // connections of tools without a request in progress, longest idle first
	roleCounts   map[wire.Role]int
	closed       bool
	background   sync.WaitGroup
}

// check returns an error if the Config is not valid.
func (c *Config) check() error {
	names, listed := make(map[string]bool), false
	for _, m := range c.Members {
		if m.Name == "" || names[m.Name] {
			return fmt.Errorf("configuration: member %q is there twice, or has no name", m.Name)
		}
		names[m.Name] = true
		listed = listed || m.Name == c.Name
	}
	switch {
	case len(c.Members) != 3 && len(c.Members) != 5 && len(c.Members) != 7:
		return fmt.Errorf("configuration: %d members; there must be 3, 5 or 7", len(c.Members))
	case !listed:
		return fmt.Errorf("configuration: %q is not in the list of members", c.Name)
	case c.Validate == nil:
		return errors.New("configuration: Validate is not set")
	}
	return nil
}

// New opens the folder and listens on the address. The source does nothing else before Serve.
func New(cfg Config) (_ *Source, err error) {
	cfg.MaxFollowers = cmp.Or(cfg.MaxFollowers, DefaultMaxFollowers)
	cfg.RoundTrip = cmp.Or(cfg.RoundTrip, DefaultRoundTrip)
	cfg.Heartbeat = cmp.Or(cfg.Heartbeat, DefaultHeartbeat)
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := &Source{cfg: cfg, timing: TimingOf(cfg.RoundTrip), log: cfg.Log, ln: cfg.Listener, start: uint64(time.Now().UnixNano()),
		senders: make(map[string]*sender), wake: make(chan struct{}, 1), conns: make(map[net.Conn]bool), roleCounts: make(map[wire.Role]int)}
	s.latest.init()
	if s.seals, err = stream.NewSeals(cfg.Keys, cfg.Cluster); err != nil {
		return nil, err
	}
	if s.store, err = ledger.Open(ledger.Options{Dir: cfg.Dir, MaxBytes: maxLedgerBytes, Log: cfg.Log}); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer func() {
		if err != nil {
			s.store.Close()
		}
	}()
	names := make([]string, 0, len(cfg.Members))
	for _, m := range cfg.Members {
		names = append(names, m.Name)
		if m.Name != cfg.Name {
			s.senders[m.Name] = newSender(s, m)
		}
	}
	s.node, err = newNode(nodeConfig{name: cfg.Name, members: names, disk: s.store, tick: s.timing.Tick, log: cfg.Log,
		limits: core.Limits{SilenceLimit: silenceLimit(s.timing, cfg.Heartbeat), ForgetAfter: forgetAfter, MaxFollowers: wire.MaxRows},
		send:   s.send, onNewest: s.latest.set}, time.Now())
	if err != nil {
		return nil, err
	}
	s.publishContact()
	if s.ln == nil {
		if s.ln, err = net.Listen("tcp", cfg.Listen); err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}
	}
	return s, nil
}

// Addr returns the address on which the source listens.
func (s *Source) Addr() net.Addr { return s.ln.Addr() }

// Serve runs the source until the context ends, which is not an error, or a write to the disk fails. It must be called at most once.
func (s *Source) Serve(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for _, sender := range s.senders {
		s.background.Go(func() { sender.run(ctx) })
	}
	s.background.Go(func() { s.accept(ctx) })
	err := s.run(ctx)
	stop()
	s.ln.Close()
	s.closeAll()
	s.background.Wait()
	s.node.trimming.Wait()
	return errors.Join(err, s.store.Close())
}

// run is the loop that owns the node.
func (s *Source) run(ctx context.Context) error {
	ticker := time.NewTicker(s.timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.node.tick(time.Now())
		case <-s.wake:
		}
		for _, task := range s.takeQueue() {
			task()
		}
		if err := s.node.processReady(); err != nil {
			s.log.Error("stopping this source: its disk does not accept writes", "err", err)
			return err
		}
		s.publishContact()
	}
}

// publishContact makes the time of the last contact with a quorum available to other goroutines.
func (s *Source) publishContact() { s.lastContact.Store(new(s.node.quorumContact())) }

// quorumAge returns the time since the last contact with a quorum, in milliseconds.
func (s *Source) quorumAge() int64 {
	contact := s.lastContact.Load()
	if contact == nil {
		contact = &time.Time{} // never
	}
	return max(0, time.Since(*contact).Milliseconds())
}

// Limits of the loop's queue.
const (
	maxQueue      = 4096
	maxQueueBytes = 16 << 20
)

// enqueue queues a function for the loop that holds the given number of bytes. It does not block. It returns false if limit functions, or
// too many bytes, are queued already; callers for followers leave half of the queue to the members.
func (s *Source) enqueue(bytes, limit int, task func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.queue) >= limit || s.queuedBytes > 0 && s.queuedBytes+bytes > maxQueueBytes {
		return false
	}
	s.queue = append(s.queue, task)
	s.queuedBytes += bytes
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

func (s *Source) takeQueue() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queue
	s.queue, s.queuedBytes = nil, 0
	return queue
}

// closeAll closes all accepted connections, and makes later ones be refused.
func (s *Source) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}

// latest holds the newest version, and wakes the goroutines that wait for a newer one. They share one copy of the document.
type latest struct {
	mu      sync.Mutex
	push    *wire.Push
	changed chan struct{}
}

func (l *latest) init() { l.push, l.changed = &wire.Push{}, make(chan struct{}) }

func (l *latest) set(p wire.Push) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.Version <= l.push.Version {
		return // a member that restarts with an empty disk applies the log again
	}
	l.push = &p
	close(l.changed)
	l.changed = make(chan struct{})
}

// get returns the newest version, which must not be modified, and a channel that is closed when there is a newer one.
func (l *latest) get() (*wire.Push, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.push, l.changed
}
