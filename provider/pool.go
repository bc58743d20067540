// Package provider makes invoker calls: it keeps connections to the providers, sends them jobs and
// takes their call-backs. It finds out how a call ended and never sends one again by itself.
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

// Limits bound what a Pool holds.
type Limits struct {
	Dial  time.Duration // a connection that is not up by then has failed
	Idle  time.Duration // connections that stood idle this long are closed
	Rest  time.Duration // a connection that has carried a message carries no other before; 0: it may at once
	Conns int           // open connections to all providers, idle ones included
}

// Pool holds the providers' addresses and connections, and the calls that are out.
type Pool struct {
	limits atomic.Pointer[Limits] // swapped whole
	log    *slog.Logger

	// Unclaimed takes call-backs that belong to no call that is out; nil: they have no effect. It is set before the pool
	// is used. An error means that the call-back should come again.
	Unclaimed func(Event) error

	// Awake is called before the first byte of a call and may hold it up, until a time at the most; nil: nothing does. It is
	// set before the pool is used.
	Awake func(until time.Time)

	mu        sync.Mutex
	providers map[string]*provider                  // by name
	open      int                                   // connections, those being made included
	calls     map[string]*call                      // by request id
	earlier   map[string]map[string]earlierAttempts // of reserved jobs, by request id and provider
	reserved  map[string]*reservation               // by request id
	closed    bool

	cancellers  map[string]*canceller // by worker; those with a sender
	cancelSlots chan struct{}         // holds an element for each worker that is being sent a cancellation

	dial func(ctx context.Context, address string, until time.Time) (net.Conn, error) // TCP, but in tests

	idleMost time.Duration // kept connections that stood idle longer have broken under a job; 0: none did
	brokeAt  time.Time     // the last of them

	move leaving
}

type provider struct {
	name    string
	address string
	since   time.Duration
	back    time.Duration // from maintenance
	listed  bool          // as serving or draining: a process that may hold jobs
	serving bool
	idle    []*conn // last used last
}

// conn is one connection to a provider.
type conn struct {
	net.Conn
	br     *bufio.Reader
	of     *provider
	expiry *time.Timer
	reused bool
	since  time.Time     // when it last fell idle
	age    time.Duration // how long it had been idle when it was last taken
}

// NewPool returns a Pool without providers.
func NewPool(limits Limits, log *slog.Logger) *Pool {
	p := &Pool{log: log, dial: dialTCP,
		providers: make(map[string]*provider), calls: make(map[string]*call),
		earlier: make(map[string]map[string]earlierAttempts), reserved: make(map[string]*reservation),
		cancellers: make(map[string]*canceller), cancelSlots: make(chan struct{}, cancelWorkers)}
	p.Tune(limits)
	p.move.transit = make(map[string]chan struct{})
	p.Retain()
	return p
}

// Tune takes other limits, for connections and calls from now on.
func (p *Pool) Tune(limits Limits) { p.limits.Store(&limits) }

// Directory takes news of the providers; whole says that those absent have left.
func (p *Pool) Directory(entries []directory.Entry, whole bool) {
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
			p.gone(pr)
			continue
		}
		if pr.address != e.Address || pr.since != e.Since() || pr.back != e.Back {
			// Connections to a process that is no more would only break under the next job.
			p.drain(pr)
		}
		pr.address, pr.since, pr.back = e.Address, e.Since(), e.Back
		pr.serving, pr.listed = e.Status == directory.Serving, true
	}
	if whole {
		for name, pr := range p.providers {
			if !listed[name] {
				p.gone(pr)
			}
		}
	}
}

// Address is where a provider is reached, or was last; empty if nobody of that name has been heard of.
func (p *Pool) Address(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pr := p.providers[name]; pr != nil {
		return pr.address
	}
	return ""
}

// Know tells of a provider that the directory does not name: nothing is sent there, but what an earlier process has left
// there may have to be ended.
func (p *Pool) Know(name, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.providers[name] == nil {
		p.providers[name] = &provider{name: name, address: address}
	}
}

// gone stops sends to pr. Its address stays known, as calls that are out may have to be ended there.
func (p *Pool) gone(pr *provider) {
	pr.serving, pr.listed = false, false
	p.drain(pr)
}

// runs tells whether the directory lists the provider, be it this process of it or the next: news of a start may come
// after the connection to what has started.
func (p *Pool) runs(pr *provider) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return pr.listed
}

// drain closes the idle connections of pr.
func (p *Pool) drain(pr *provider) {
	for _, c := range pr.idle {
		c.expiry.Stop()
		p.open--
		c.Close()
	}
	pr.idle = nil
}

// mistrust closes the idle connections to a provider that seems to have vanished.
func (p *Pool) mistrust(pr *provider) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drain(pr)
}

// Close closes all idle connections; those in use are closed when their calls end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, pr := range p.providers {
		p.drain(pr)
	}
}

const (
	leastIdle  = 20 * time.Millisecond // idle for less, no connection has been forgotten
	trustAgain = 15 * time.Second      // in which the trusted age doubles
)

var (
	errUnknown    = errors.New("provider is not in the directory")
	errNotServing = errors.New("provider drains or is gone")
	errCrowded    = errors.New("no connection to spare")
)

// acquire returns an idle connection to the provider, or a new one. Only a job needs it to be serving.
//
// HTTP/1.1 tells answers apart by their order alone. A provider's second answer to one message, a while after the first, would
// be read as the answer to the next message on that connection. So connections rest, and one on which anything has come
// meanwhile is closed.
//
// A new one that is not up in time says that the provider has vanished, and with it its idle connections.
func (p *Pool) acquire(ctx context.Context, name string, job bool, until time.Time) (*conn, error) {
	c, err := p.connection(ctx, name, job, until)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		p.mu.Lock()
		p.drain(p.providers[name])
		p.mu.Unlock()
	}
	return c, err
}

// connection does the same and concludes nothing from a new connection that is not up in time.
func (p *Pool) connection(ctx context.Context, name string, job bool, until time.Time) (*conn, error) {
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
		c.age = time.Since(c.since)
		if c.age < p.limits.Load().Rest {
			continue
		}
		pr.idle = slices.Delete(pr.idle, n, n+1)
		if !c.expiry.Stop() || c.age > p.trusted() || !c.alive() {
			p.open--
			c.Close()
			continue
		}
		p.mu.Unlock()
		return c, nil
	}
	if p.open >= p.limits.Load().Conns && !p.reclaim() {
		p.mu.Unlock()
		return nil, errCrowded
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
			return nil, fmt.Errorf("%w: %w", errCrowded, err)
		}
		return nil, err
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, 2048), of: pr}, nil
}

// dialAgain is the pause after a connection failed for a reason that may pass.
const dialAgain = 5 * time.Millisecond

// connectTo makes a connection, within the dial timeout. What fails for a moment on this machine is tried again until then: it
// says nothing of the worker, and nothing was sent.
func (p *Pool) connectTo(ctx context.Context, address string, until time.Time) (net.Conn, error) {
	if limit := p.limits.Load().Dial; limit > 0 {
		if by := time.Now().Add(limit); until.IsZero() || by.Before(until) {
			until = by
		}
	}
	for failures := 0; ; failures++ {
		nc, err := p.dial(ctx, address, until)
		if err == nil || !netfault.Momentary(err) || time.Until(until) < dialAgain {
			return nc, err
		}
		if failures == 0 {
			p.log.Debug("a connection fails for the moment: tried again", "address", address, "err", err)
		}
		timer := time.NewTimer(dialAgain)
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

// trusted is how long a connection may have been idle to carry a job. Something on the way may forget idle
// connections far sooner than the settings say and tell nobody: then each job written to one ends as a reset.
// What was seen is forgotten by and by. Called under mu.
func (p *Pool) trusted() time.Duration {
	if p.idleMost == 0 {
		return p.limits.Load().Idle
	}
	grown := float64(p.idleMost) * math.Exp2(float64(time.Since(p.brokeAt))/float64(trustAgain))
	return time.Duration(min(float64(p.limits.Load().Idle), grown))
}

// forgotten notes that a connection broke under a job after it had been idle.
func (p *Pool) forgotten(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleMost = max(leastIdle, min(p.trusted(), c.age/2))
	p.brokeAt = time.Now()
}

// reclaim closes the idle connection of the provider that has most of them.
func (p *Pool) reclaim() bool {
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

// release keeps a connection on which nothing is out for later.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := c.of
	known := c.RemoteAddr().String() == pr.address
	if p.closed || !known || c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.open--
		c.Close()
		return
	}
	c.reused, c.since = true, time.Now()
	// Retired well before the provider's machine would: a job written to a connection that closes at
	// that moment ends as a reset, which may have run.
	c.expiry = time.AfterFunc(p.limits.Load().Idle, func() { p.expire(c) })
	pr.idle = append(pr.idle, c)
}

func (p *Pool) expire(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, x := range c.of.idle {
		if x == c {
			c.of.idle = append(c.of.idle[:i], c.of.idle[i+1:]...)
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

// abort closes a connection with a reset: what the worker has not received of it never arrives.
func (p *Pool) abort(c *conn) {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // if that fails, it is closed as any other
	}
	p.discard(c)
}

// alive tells whether an idle connection is still open and silent, without waiting: one that its peer
// has closed would take a job's bytes and break, and the job might count as run.
func (c *conn) alive() bool {
	waiting, _ := netfault.Waiting(c.Conn)
	return !waiting
}
