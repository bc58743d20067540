// Package provider makes attempts: it keeps connections to the providers, sends them jobs and handles their call-backs. It determines how an
// attempt ended and never repeats one by itself.
package provider

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/directory"
	"laddertide/internal/netfault"
)

// Limits bounds the resources of a Pool.
type Limits struct {
	Dial           time.Duration // time limit for establishing a connection
	Idle           time.Duration // connections that have been idle this long are closed
	RestTime       time.Duration // how long a connection rests after a message before it carries another; 0: not at all
	MaxConnections int           // open connections to all providers, including idle ones
}

// Pool holds the providers' addresses and connections, and the attempts in flight.
type Pool struct {
	limits atomic.Pointer[Limits] // replaced as a whole
	log    *slog.Logger

	// HandleUnclaimed handles call-backs that belong to no attempt in flight here; nil: they are ignored. It is set before the pool is used. An
	// error means that the provider should repeat the call-back.
	HandleUnclaimed func(Event) error

	// AwaitCurrent is called before the first byte of an attempt and may block, at most until the given time; nil: not called. It is set before the
	// pool is used.
	AwaitCurrent func(until time.Time)

	mu        sync.Mutex
	providers map[string]*provider                  // by name
	open      int                                   // connections, including those being established
	calls     map[string]*call                      // by request id
	earlier   map[string]map[string]earlierAttempts // of reserved jobs, by request id and provider
	reserved  map[string]*reservation               // by request id
	closed    bool

	cancellers  map[string]*canceller // by worker; only workers with a running sender
	cancelSlots chan struct{}         // holds one element for each worker to which a cancellation is being sent

	dial func(ctx context.Context, address string, until time.Time) (net.Conn, error) // TCP except in tests

	idleLimit      time.Duration // connections that were idle for longer have broken under a job; 0: none has
	idleLimitSetAt time.Time     // when the last one broke

	handover handoverState
}

type provider struct {
	name       string
	address    string
	startedAt  time.Duration
	returnedAt time.Duration // when it returned from maintenance
	listed     bool          // by discovery, as serving or draining: a process that may have jobs
	serving    bool
	idle       []*conn // most recently used last
}

// conn is one connection to a provider.
type conn struct {
	net.Conn
	br        *bufio.Reader
	provider  *provider
	expiry    *time.Timer
	reused    bool
	idleSince time.Time     // when it last became idle
	idleTime  time.Duration // how long it had been idle when it was last taken
}

// NewPool returns a Pool without providers.
func NewPool(limits Limits, log *slog.Logger) *Pool {
	p := &Pool{log: log, dial: dialTCP,
		providers: make(map[string]*provider), calls: make(map[string]*call),
		earlier: make(map[string]map[string]earlierAttempts), reserved: make(map[string]*reservation),
		cancellers: make(map[string]*canceller), cancelSlots: make(chan struct{}, cancelWorkers)}
	p.SetLimits(limits)
	p.handover.inTransit = make(map[string]chan struct{})
	p.CancelHandover()
	return p
}

// SetLimits sets the limits for later connections and attempts.
func (p *Pool) SetLimits(limits Limits) { p.limits.Store(&limits) }

// UpdateProviders applies a discovery update about the providers; complete means that providers missing from entries have left.
func (p *Pool) UpdateProviders(entries []directory.Entry, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for i := range entries {
		e := &entries[i]
		listed[e.Name] = true
		pr := p.providers[e.Name]
		if pr == nil {
			if e.Status == directory.Deleted {
				continue
			}
			pr = &provider{name: e.Name}
			p.providers[e.Name] = pr
		}
		if e.Status == directory.Deleted {
			p.unlist(pr)
			continue
		}
		if pr.address != e.Address || pr.startedAt != e.LastStart() || pr.returnedAt != e.MaintenanceEnd {
			// Connections to the previous process would break under the next job.
			p.closeIdle(pr)
		}
		pr.address, pr.startedAt, pr.returnedAt = e.Address, e.LastStart(), e.MaintenanceEnd
		pr.serving, pr.listed = e.Status == directory.Serving, true
	}
	if complete {
		for name, pr := range p.providers {
			if !listed[name] {
				p.unlist(pr)
			}
		}
	}
}

// Address returns the provider's current or last address; empty if the name is unknown.
func (p *Pool) Address(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pr := p.providers[name]; pr != nil {
		return pr.address
	}
	return ""
}

// AddUnlisted adds a provider that discovery does not list: no job is sent there, but attempts that a previous process left there may have to be
// given up.
func (p *Pool) AddUnlisted(name, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.providers[name] == nil {
		p.providers[name] = &provider{name: name, address: address}
	}
}

// unlist stops sends to pr. Its address is kept, as attempts in flight may have to be given up there.
func (p *Pool) unlist(pr *provider) {
	pr.serving, pr.listed = false, false
	p.closeIdle(pr)
}

// isListed reports whether discovery lists the provider, in the same process or a later one: the update about a restart may arrive after the
// connection to the new process.
func (p *Pool) isListed(pr *provider) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return pr.listed
}

// closeIdle closes the idle connections of pr.
func (p *Pool) closeIdle(pr *provider) {
	for _, c := range pr.idle {
		c.expiry.Stop()
		p.open--
		c.Close()
	}
	pr.idle = nil
}

// closeSuspectIdle closes the idle connections to a provider that appears to have vanished.
func (p *Pool) closeSuspectIdle(pr *provider) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(pr)
}

// Close closes all idle connections; those in use are closed when their attempts end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, pr := range p.providers {
		p.closeIdle(pr)
	}
}

const (
	minIdleLimit      = 20 * time.Millisecond // lower bound for idleLimit: connections idle for less are assumed to be intact
	idleLimitDoubling = 15 * time.Second      // time in which the trusted idle time doubles
)

var (
	errUnknown      = errors.New("provider is not in the directory")
	errNotServing   = errors.New("provider drains or is gone")
	errNoConnection = errors.New("no connection available")
)

// acquire returns an idle connection to the provider, or a new one. Only for a job must the provider be serving.
//
// HTTP/1.1 matches answers to requests by order alone. If a provider sends a second answer to one message, some time after the first, it
// would be read as the answer to the next message on that connection. So connections rest after use, and one on which data has arrived in
// the meantime is closed.
//
// If a new connection times out, the provider is considered to have vanished, and its idle connections are closed.
func (p *Pool) acquire(ctx context.Context, name string, job bool, until time.Time) (*conn, error) {
	c, err := p.tryAcquire(ctx, name, job, until)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		p.mu.Lock()
		p.closeIdle(p.providers[name])
		p.mu.Unlock()
	}
	return c, err
}

// tryAcquire is acquire without closing idle connections when a new one times out.
func (p *Pool) tryAcquire(ctx context.Context, name string, job bool, until time.Time) (*conn, error) {
	p.mu.Lock()
	pr := p.providers[name]
	switch {
	case pr == nil:
		p.mu.Unlock()
		return nil, errUnknown
	case job && !pr.serving:
		p.mu.Unlock()
		return nil, errNotServing
	}
	for n := len(pr.idle) - 1; n >= 0; n-- {
		c := pr.idle[n]
		c.idleTime = time.Since(c.idleSince)
		if c.idleTime < p.limits.Load().RestTime {
			continue
		}
		pr.idle = slices.Delete(pr.idle, n, n+1)
		if !c.expiry.Stop() || c.idleTime > p.maxIdleTime() || !c.alive() {
			p.open--
			c.Close()
			continue
		}
		p.mu.Unlock()
		return c, nil
	}
	if p.open >= p.limits.Load().MaxConnections && !p.evictIdle() {
		p.mu.Unlock()
		return nil, errNoConnection
	}
	p.open++
	address := pr.address
	p.mu.Unlock()

	nc, err := p.connectTo(ctx, address, until)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		if netfault.Shortage(err) {
			return nil, fmt.Errorf("%w: %w", errNoConnection, err)
		}
		return nil, err
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, 2048), provider: pr}, nil
}

// dialRetryDelay is the pause after a connection attempt that failed with a transient error.
const dialRetryDelay = 5 * time.Millisecond

// connectTo establishes a connection, within the dial timeout. Transient local errors are retried until then: they say nothing about the
// worker, and nothing was sent.
func (p *Pool) connectTo(ctx context.Context, address string, until time.Time) (net.Conn, error) {
	if limit := p.limits.Load().Dial; limit > 0 {
		if by := time.Now().Add(limit); until.IsZero() || by.Before(until) {
			until = by
		}
	}
	for failures := 0; ; failures++ {
		nc, err := p.dial(ctx, address, until)
		if err == nil || !netfault.Transient(err) || time.Until(until) < dialRetryDelay {
			return nc, err
		}
		if failures == 0 {
			p.log.Debug("connecting failed with a transient error: retrying", "address", address, "err", err)
		}
		timer := time.NewTimer(dialRetryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, err
		}
	}
}

func dialTCP(ctx context.Context, address string, until time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

// maxIdleTime returns how long a connection may have been idle to carry a job. A middlebox may drop idle connections far earlier than the
// settings say, and silently: then each job written to such a connection ends as a reset. An observed limit is relaxed over time. Called
// under mu.
func (p *Pool) maxIdleTime() time.Duration {
	if p.idleLimit == 0 {
		return p.limits.Load().Idle
	}
	grown := float64(p.idleLimit) * math.Exp2(float64(time.Since(p.idleLimitSetAt))/float64(idleLimitDoubling))
	return time.Duration(min(float64(p.limits.Load().Idle), grown))
}

// recordIdleBreak records that a connection broke under a job after it had been idle.
func (p *Pool) recordIdleBreak(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimit = max(minIdleLimit, min(p.maxIdleTime(), c.idleTime/2))
	p.idleLimitSetAt = time.Now()
}

// evictIdle closes the least recently used idle connection of the provider that has the most idle ones, and reports whether there was one.
func (p *Pool) evictIdle() bool {
	var most *provider
	for _, pr := range p.providers {
		if len(pr.idle) > 0 && (most == nil || len(pr.idle) > len(most.idle)) {
			most = pr
		}
	}
	if most == nil {
		return false
	}
	c := most.idle[0]
	most.idle = append(most.idle[:0], most.idle[1:]...)
	c.expiry.Stop()
	p.open--
	c.Close()
	return true
}

// release keeps a connection without an outstanding message for reuse.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := c.provider
	known := c.RemoteAddr().String() == pr.address
	if p.closed || !known || c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.open--
		c.Close()
		return
	}
	c.reused, c.idleSince = true, time.Now()
	// Closed well before the provider's side would close it: a job written to a connection that closes at that moment ends as a reset, and
	// may have run.
	c.expiry = time.AfterFunc(p.limits.Load().Idle, func() { p.expire(c) })
	pr.idle = append(pr.idle, c)
}

func (p *Pool) expire(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, x := range c.provider.idle {
		if x == c {
			c.provider.idle = append(c.provider.idle[:i], c.provider.idle[i+1:]...)
			p.open--
			c.Close()
			return
		}
	}
}

// discard closes a connection that cannot be used again.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// abort closes a connection with a reset: data that the worker has not yet received never arrives.
func (p *Pool) abort(c *conn) {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // if this fails, it is closed normally
	}
	p.discard(c)
}

// alive reports, without blocking, whether an idle connection is still open and has no unread data: one that its peer has closed would
// accept a job's bytes and break, and the job might count as run.
func (c *conn) alive() bool {
	waiting, _ := netfault.Readable(c.Conn)
	return !waiting
}
