package clients

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/core/history"
	"laddertide/rehearse/loop"
	"laddertide/wire/stomp"
)

// endpoint is the connection pool of one scheduler.
type endpoint struct {
	Scheduler
	runner *runner
	index  int

	mu      sync.Mutex
	idle    []*conn // the most recently used is last
	conns   map[*conn]struct{}
	dialing int // connections that are being opened
	closed  bool
}

// conn is a connection. A goroutine of its own reads it during its whole lifetime, as only a blocked read sees a close or
// unsolicited bytes the moment they arrive.
type conn struct {
	endpoint     *endpoint
	nc           *net.TCPConn
	id           int64
	life         int // number of the process that accepted it
	opened       time.Duration
	idleFraction float64 // in [0, 1); determines its idle time

	peerClosedFirst atomic.Bool  // the scheduler had closed its half before any byte of the last request arrived
	requestSize     atomic.Int64 // bytes of the last request

	in       io.LimitedReader // reads nc; N is reset for each answer
	br       *bufio.Reader
	buffered int // bytes of the current answer that br had buffered when N was reset

	frames *stomp.Reader // reads br, if the connection uses STOMP

	// Guarded by endpoint.mu.
	inFlight     *pending      // the open request; nil: idle
	latest       *pending      // the latest request, open or not
	latestID     string        // the id of the latest request
	reused       bool          // it has carried an earlier request
	readDeadline time.Duration // as last set
	retired      bool          // it must not be used any more
}

// pending is an open request.
type pending struct {
	answered chan answer   // holds the only answer
	recorded chan struct{} // closed once the answer is recorded
}

func newPending() *pending { return &pending{make(chan answer, 1), make(chan struct{})} }

// answer is what was received for a request, complete or not.
type answer struct {
	t           time.Duration
	complete    bool
	status      int
	result      string
	retryAfter  float64 // Retry-After in seconds
	bytes       int64   // received, if it is not complete
	requestRead bool    // if it is not complete: the scheduler had read the request before it closed
	note        string
}

var errFull = errors.New("no more connections to it are allowed")

func (p *endpoint) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

func (p *endpoint) full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 && len(p.conns)+p.dialing >= p.runner.MaxConns
}

// takeIdle assigns the most recently used idle connection to the request; nil: none is idle.
func (p *endpoint) takeIdle(id string, wait *pending, until time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	c.inFlight, c.latest, c.latestID, c.reused = wait, wait, id, true
	c.readUntil(until)
	return c
}

// dial opens a connection for a request.
func (p *endpoint) dial(id string, wait *pending, until time.Duration) (*conn, error) {
	p.mu.Lock()
	full := len(p.conns)+p.dialing >= p.runner.MaxConns
	if !full {
		p.dialing++
	}
	p.mu.Unlock()
	if full {
		return nil, errFull
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	address := p.Address
	if p.STOMPAddress != "" {
		address = p.STOMPAddress
	}
	nc, err := dialer.DialContext(p.runner.ctx, "tcp4", address)
	if err == nil && p.STOMPAddress != "" {
		_ = nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err = io.WriteString(nc, sessionOpening); err != nil {
			nc.Close()
		}
	}
	if err != nil {
		p.mu.Lock()
		p.dialing--
		p.mu.Unlock()
		return nil, err
	}
	k := p.runner
	k.tally.conns.Add(1)
	c := &conn{endpoint: p, nc: nc.(*net.TCPConn), id: k.ids.Add(1), life: k.ProcessNumber(p.index), opened: k.Record.Since(),
		inFlight: wait, latest: wait, latestID: id}
	c.idleFraction = rand.New(rand.NewPCG(k.Seed, uint64(c.id))).Float64()
	c.in.R = c.nc
	c.br = bufio.NewReader(&c.in)
	if p.STOMPAddress != "" {
		c.frames = stomp.NewReader(c.br, stomp.Limits{})
	}
	c.readUntil(until)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if p.closed {
		nc.Close()
		return nil, net.ErrClosed
	}
	p.conns[c] = struct{}{}
	k.conns.Go(c.readLoop)
	return c, nil
}

// readUntil sets the read deadline. The caller holds mu, or nobody else knows the connection yet.
func (c *conn) readUntil(end time.Duration) {
	c.readDeadline = end
	c.nc.SetReadDeadline(c.endpoint.runner.Record.At(end))
}

// retire retires a connection from the pool. The caller holds mu.
func (c *conn) retire() {
	c.retired = true
	for i, other := range c.endpoint.idle {
		if other == c {
			c.endpoint.idle = append(c.endpoint.idle[:i], c.endpoint.idle[i+1:]...)
			break
		}
	}
}

// drop closes a connection that a request holds.
func (c *conn) drop() {
	c.endpoint.mu.Lock()
	c.retire()
	c.endpoint.mu.Unlock()
	c.nc.Close()
}

// hangUp closes the write half, which signals the scheduler that the client has given up, and leaves the read half open for
// an answer in transit. It returns false if an answer has already arrived.
func (c *conn) hangUp(wait *pending) bool {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	if c.inFlight != wait {
		return false
	}
	c.retired = true
	c.nc.CloseWrite()
	return true
}

func (p *endpoint) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		c.retired = true
		c.nc.Close()
	}
	p.idle = nil
}

// readLoop is the reader goroutine of a connection.
func (c *conn) readLoop() {
	p, k := c.endpoint, c.endpoint.runner
	defer func() {
		p.mu.Lock()
		c.retire()
		delete(p.conns, c)
		p.mu.Unlock()
		c.nc.Close()
	}()
	for {
		c.beginAnswer()
		_, err := c.br.Peek(1)
		now := k.Record.Since()
		p.mu.Lock()
		wait, gone := c.inFlight, c.retired
		if errors.Is(err, os.ErrDeadlineExceeded) && now < c.readDeadline {
			// Its idle time was over, but a request took it at the last moment.
			p.mu.Unlock()
			continue
		}
		if wait == nil {
			c.retire()
		}
		p.mu.Unlock()
		switch {
		case wait == nil && err == nil && !gone:
			c.recordUnsolicited()
			return
		case wait == nil:
			return
		case err != nil:
			c.deliver(answer{t: now, requestRead: errors.Is(err, io.EOF) && c.wasRead(), note: describeNetError(err)}, false)
			return
		}
		a, more := c.parse()
		if a.complete && c.br.Buffered() > 0 {
			c.deliver(a, false)
			c.recordUnsolicited()
			return
		}
		if !c.deliver(a, more) {
			return
		}
	}
}

// resetTimeout is how long a machine may take to reset a connection that received data after its program closed it.
const resetTimeout = 25 * time.Millisecond

// write writes a request, and records whether the scheduler had closed its half of the connection before any byte of it arrived.
// Such a request certainly crossed the close, even if the scheduler still reads it and discards it; whether it was forwarded shows
// at the workers.
func (c *conn) write(request []byte) (n int, err error) {
	c.requestSize.Store(int64(len(request)))
	n, crossed, err := loop.Write(c.nc, request)
	c.peerClosedFirst.Store(crossed)
	return n, err
}

// wasRead reports, for a connection that the scheduler has closed, whether the scheduler had read all that was sent on it.
func (c *conn) wasRead() bool {
	return !c.peerClosedFirst.Load() && !loop.Unreached(c.nc, int(c.requestSize.Load())) && loop.WasRead(c.nc, resetTimeout)
}

// beginAnswer resets the byte count and limit for the next answer.
func (c *conn) beginAnswer() { c.buffered, c.in.N = c.br.Buffered(), maxAnswer }

// received returns the number of bytes received of the current answer.
func (c *conn) received() int64 { return int64(c.buffered) + maxAnswer - c.in.N }

// deliver passes an answer to its request. If more is set, the connection becomes idle. It returns false if the connection
// must not be read any more.
func (c *conn) deliver(a answer, more bool) bool {
	p, k := c.endpoint, c.endpoint.runner
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := c.inFlight
	c.inFlight = nil
	wait.answered <- a // never blocks: the buffer holds one, and there is only one answer
	if !more || c.retired || p.closed {
		c.retire()
		return false
	}
	idle := k.IdleTime[0] + time.Duration(c.idleFraction*float64(k.IdleTime[1]-k.IdleTime[0]))
	c.readUntil(k.Record.Since() + idle)
	p.idle = append(p.idle, c)
	return true
}

// parse reads an answer. more reports whether the connection may be reused.
func (c *conn) parse() (a answer, more bool) {
	k := c.endpoint.runner
	fail := func(note string) (answer, bool) {
		return answer{t: k.Record.Since(), bytes: c.received(), note: note}, false
	}
	if c.endpoint.STOMPAddress != "" {
		f, err := c.nextFrame()
		if err != nil {
			return fail(c.describeError("frame", err))
		}
		status, _ := strconv.Atoi(f.Headers.Get("status"))
		if f.Command != stomp.MESSAGE || status == 0 {
			return fail(fmt.Sprintf("%s %.80q", f.Command, f.Headers.Get("message")))
		}
		return answer{t: k.Record.Since(), complete: true, status: status, result: string(f.Body),
			retryAfter: parseRetryAfter(f.Headers.Get("retry-after"))}, true
	}
	var resp *http.Response
	for range 5 {
		var err error
		if resp, err = http.ReadResponse(c.br, &http.Request{Method: http.MethodPost}); err != nil {
			return fail(c.describeError("head", err))
		}
		if resp.StatusCode >= 200 {
			break
		}
	}
	if resp.StatusCode < 200 {
		return fail("nothing but informational answers")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResult+1))
	switch {
	case err != nil:
		return fail(c.describeError("body", err))
	case len(body) > maxResult:
		return fail("a body of over 64 KiB")
	}
	return answer{t: k.Record.Since(), complete: true, status: resp.StatusCode, result: string(body),
		retryAfter: parseRetryAfter(resp.Header.Get("Retry-After"))}, !resp.Close
}

// describeError describes an error while reading an answer.
func (c *conn) describeError(part string, err error) string {
	if c.in.N <= 0 {
		return "an answer of over 192 KiB"
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "ended within its " + part
	}
	if _, ok := errors.AsType[net.Error](err); ok {
		return describeNetError(err) + " within its " + part
	}
	return fmt.Sprintf("unreadable %s: %.80q", part, err.Error())
}

// recordUnsolicited records what arrived without a request: a second answer to the last one, or other bytes.
func (c *conn) recordUnsolicited() {
	k := c.endpoint.runner
	k.tally.strays.Add(1)
	c.beginAnswer()
	c.endpoint.mu.Lock()
	c.readUntil(k.Record.Since() + k.HangUpGrace)
	last, heard := c.latestID, c.latest
	c.endpoint.mu.Unlock()
	a, _ := c.parse()
	// The first answer must come first in the history, even if its client is slow to record it.
	timer := time.NewTimer(k.HangUpGrace)
	defer timer.Stop()
	select {
	case <-heard.recorded:
	case <-timer.C:
	case <-k.ctx.Done():
	}
	a.t = k.Record.Since()
	if a.complete {
		k.recordAnswer(c, last, a)
		return
	}
	a.note = "bytes that nobody had asked for: " + a.note
	k.recordBroken(c, last, a)
}

// parseRetryAfter parses a Retry-After, whole or decimal; anything else yields 0.
func parseRetryAfter(s string) float64 {
	if s == "" || strings.Trim(s, "0123456789.") != "" {
		return 0
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0
	}
	return min(f, 1e6)
}

// describeNetError describes a network error without addresses.
func describeNetError(err error) string {
	switch {
	case errors.Is(err, io.EOF):
		return "closed"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "timed out"
	}
	if sys, ok := errors.AsType[*os.SyscallError](err); ok {
		return sys.Err.Error()
	}
	if op, ok := errors.AsType[*net.OpError](err); ok {
		return op.Err.Error()
	}
	return err.Error()
}

// recordAnswer records a complete answer.
func (k *runner) recordAnswer(c *conn, id string, a answer) {
	k.tally.answers.Add(1)
	k.Record.Add(history.Event{T: max(1, a.t.Microseconds()), Kind: history.KindAnswer, Request: id,
		Scheduler: c.endpoint.Name, Conn: c.id, Status: a.status, Result: a.result, After: a.retryAfter})
}

// recordBroken records a connection that ended without a complete answer.
func (k *runner) recordBroken(c *conn, id string, a answer) {
	k.tally.broken.Add(1)
	k.Record.Add(history.Event{T: max(1, a.t.Microseconds()), Kind: history.KindBroken, Request: id,
		Scheduler: c.endpoint.Name, Conn: c.id, Bytes: a.bytes, Read: a.requestRead, Note: a.note})
}
