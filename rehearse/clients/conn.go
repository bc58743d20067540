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

// place keeps the connections to one scheduler.
type place struct {
	Scheduler
	kit *kit
	at  int

	mu     sync.Mutex
	idle   []*conn // the most recently used comes last
	all    map[*conn]struct{}
	coming int // connections that are being opened
	closed bool
}

// conn is a connection. A goroutine of its own reads it as long as it lives, as only a blocked read sees a close, or
// bytes that nobody asked for, at the moment they come.
type conn struct {
	place  *place
	nc     *net.TCPConn
	id     int64
	life   int // of the process that accepted it
	opened time.Duration
	chance float64 // by which its idle time is drawn

	ended atomic.Bool  // the scheduler had ended its half before any of the last request was there
	size  atomic.Int64 // of the last request

	in   io.LimitedReader // of nc; N is set anew for each answer
	br   *bufio.Reader
	held int // bytes of the present answer that br had when N was set

	frames *stomp.Reader // of br, where it speaks STOMP

	// These are guarded by place.mu.
	wait    *pending      // the request that is out; nil: idle
	heard   *pending      // the request that is or was out
	last    string        // the id of the request that is or was out
	carried bool          // it has carried a request before the present one
	end     time.Duration // its read deadline
	gone    bool          // it is not to be used any more
}

// pending is a request that is out.
type pending struct {
	came  chan answer   // holds the one answer
	noted chan struct{} // closed once that is recorded
}

func newPending() *pending { return &pending{make(chan answer, 1), make(chan struct{})} }

// answer is what came back on a connection.
type answer struct {
	t      time.Duration
	whole  bool
	status int
	result string
	after  float64 // Retry-After in seconds
	bytes  int64   // that came, if it is not whole
	read   bool    // if it is not whole: the scheduler had read the request before it closed
	note   string
}

var errFull = errors.New("no more connections to it are allowed")

func (p *place) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

func (p *place) full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 && len(p.all)+p.coming >= p.kit.Conns
}

// take makes the most recently used idle connection the request's own; nil: none is idle.
func (p *place) take(id string, wait *pending, until time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	c.wait, c.heard, c.last, c.carried = wait, wait, id, true
	c.readUntil(until)
	return c
}

// dial opens a connection for a request.
func (p *place) dial(id string, wait *pending, until time.Duration) (*conn, error) {
	p.mu.Lock()
	full := len(p.all)+p.coming >= p.kit.Conns
	if !full {
		p.coming++
	}
	p.mu.Unlock()
	if full {
		return nil, errFull
	}
	dialer := net.Dialer{Timeout: dialLimit, KeepAlive: -1}
	address := p.Address
	if p.Sessions != "" {
		address = p.Sessions
	}
	nc, err := dialer.DialContext(p.kit.ctx, "tcp4", address)
	if err == nil && p.Sessions != "" {
		_ = nc.SetWriteDeadline(time.Now().Add(writeLimit))
		if _, err = io.WriteString(nc, hello); err != nil {
			nc.Close()
		}
	}
	if err != nil {
		p.mu.Lock()
		p.coming--
		p.mu.Unlock()
		return nil, err
	}
	k := p.kit
	k.tally.conns.Add(1)
	c := &conn{place: p, nc: nc.(*net.TCPConn), id: k.ids.Add(1), life: k.Life(p.at), opened: k.Record.Since(),
		wait: wait, heard: wait, last: id}
	c.chance = rand.New(rand.NewPCG(k.Seed, uint64(c.id))).Float64()
	c.in.R = c.nc
	c.br = bufio.NewReader(&c.in)
	if p.Sessions != "" {
		c.frames = stomp.NewReader(c.br, stomp.Limits{})
	}
	c.readUntil(until)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coming--
	if p.closed {
		nc.Close()
		return nil, net.ErrClosed
	}
	p.all[c] = struct{}{}
	k.conns.Go(c.read)
	return c, nil
}

// readUntil moves the read deadline. The caller holds mu, or is alone.
func (c *conn) readUntil(end time.Duration) {
	c.end = end
	c.nc.SetReadDeadline(c.place.kit.Record.At(end))
}

// leave takes a connection out of use. The caller holds mu.
func (c *conn) leave() {
	c.gone = true
	for i, other := range c.place.idle {
		if other == c {
			c.place.idle = append(c.place.idle[:i], c.place.idle[i+1:]...)
			break
		}
	}
}

// drop ends a connection that a request holds.
func (c *conn) drop() {
	c.place.mu.Lock()
	c.leave()
	c.place.mu.Unlock()
	c.nc.Close()
}

// hangUp tells the scheduler that the request's client has gone away, and leaves the connection open for an answer
// that is on its way. It says false if an answer is there already.
func (c *conn) hangUp(wait *pending) bool {
	c.place.mu.Lock()
	defer c.place.mu.Unlock()
	if c.wait != wait {
		return false
	}
	c.gone = true
	c.nc.CloseWrite()
	return true
}

func (p *place) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.all {
		c.gone = true
		c.nc.Close()
	}
	p.idle = nil
}

// read is the life of a connection.
func (c *conn) read() {
	p, k := c.place, c.place.kit
	defer func() {
		p.mu.Lock()
		c.leave()
		delete(p.all, c)
		p.mu.Unlock()
		c.nc.Close()
	}()
	for {
		c.renew()
		_, err := c.br.Peek(1)
		now := k.Record.Since()
		p.mu.Lock()
		wait, gone := c.wait, c.gone
		if errors.Is(err, os.ErrDeadlineExceeded) && now < c.end {
			// It was idle for its time, but a request took it at the last moment.
			p.mu.Unlock()
			continue
		}
		if wait == nil {
			c.leave()
		}
		p.mu.Unlock()
		switch {
		case wait == nil && err == nil && !gone:
			c.stray()
			return
		case wait == nil:
			return
		case err != nil:
			c.deliver(answer{t: now, read: errors.Is(err, io.EOF) && c.wasRead(), note: cause(err)}, false)
			return
		}
		a, more := c.parse()
		if a.whole && c.br.Buffered() > 0 {
			c.deliver(a, false)
			c.stray()
			return
		}
		if !c.deliver(a, more) {
			return
		}
	}
}

// readLook is how long a machine may take to turn away what came to a connection that its program has closed.
const readLook = 25 * time.Millisecond

// write writes a request, and notes whether the scheduler had ended its half of the connection before any of it was there. Such a
// request crosses that end for certain, also where the scheduler reads what still comes and drops it: whether it was sent on shows at
// the workers.
func (c *conn) write(request []byte) (n int, err error) {
	c.size.Store(int64(len(request)))
	n, crossed, err := loop.Write(c.nc, request)
	c.ended.Store(crossed)
	return n, err
}

// wasRead tells of a connection that the scheduler has closed whether it had read all that was sent there.
func (c *conn) wasRead() bool {
	return !c.ended.Load() && !loop.Unreached(c.nc, int(c.size.Load())) && loop.WasRead(c.nc, readLook)
}

// renew begins an answer.
func (c *conn) renew() { c.held, c.in.N = c.br.Buffered(), maxAnswer }

// came is how many bytes of the present answer have come.
func (c *conn) came() int64 { return int64(c.held) + maxAnswer - c.in.N }

// deliver hands an answer to its request. With more the connection is idle from then on; it says false if the
// connection is not to be read any more.
func (c *conn) deliver(a answer, more bool) bool {
	p, k := c.place, c.place.kit
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := c.wait
	c.wait = nil
	wait.came <- a // it holds one, and this is the only one
	if !more || c.gone || p.closed {
		c.leave()
		return false
	}
	idle := k.Idle[0] + time.Duration(c.chance*float64(k.Idle[1]-k.Idle[0]))
	c.readUntil(k.Record.Since() + idle)
	p.idle = append(p.idle, c)
	return true
}

// parse reads an answer. more says whether the connection may be used again.
func (c *conn) parse() (a answer, more bool) {
	k := c.place.kit
	fail := func(note string) (answer, bool) {
		return answer{t: k.Record.Since(), bytes: c.came(), note: note}, false
	}
	if c.place.Sessions != "" {
		f, err := c.frame()
		if err != nil {
			return fail(c.why("frame", err))
		}
		status, _ := strconv.Atoi(f.Headers.Get("status"))
		if f.Command != stomp.MESSAGE || status == 0 {
			return fail(fmt.Sprintf("%s %.80q", f.Command, f.Headers.Get("message")))
		}
		return answer{t: k.Record.Since(), whole: true, status: status, result: string(f.Body),
			after: seconds(f.Headers.Get("retry-after"))}, true
	}
	var resp *http.Response
	for range 5 {
		var err error
		if resp, err = http.ReadResponse(c.br, &http.Request{Method: http.MethodPost}); err != nil {
			return fail(c.why("head", err))
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
		return fail(c.why("body", err))
	case len(body) > maxResult:
		return fail("a body of over 64 KiB")
	}
	return answer{t: k.Record.Since(), whole: true, status: resp.StatusCode, result: string(body),
		after: seconds(resp.Header.Get("Retry-After"))}, !resp.Close
}

// why words an error of reading an answer.
func (c *conn) why(part string, err error) string {
	if c.in.N <= 0 {
		return "an answer of over 192 KiB"
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "ended within its " + part
	}
	if _, ok := errors.AsType[net.Error](err); ok {
		return cause(err) + " within its " + part
	}
	return fmt.Sprintf("unreadable %s: %.80q", part, err.Error())
}

// stray records what came without a request: a second answer to the last one, or bytes that are none.
func (c *conn) stray() {
	k := c.place.kit
	k.tally.strays.Add(1)
	c.renew()
	c.place.mu.Lock()
	c.readUntil(k.Record.Since() + k.Grace)
	last, heard := c.last, c.heard
	c.place.mu.Unlock()
	a, _ := c.parse()
	// The first answer comes first in the history, even if its client is slow to note it.
	timer := time.NewTimer(k.Grace)
	defer timer.Stop()
	select {
	case <-heard.noted:
	case <-timer.C:
	case <-k.ctx.Done():
	}
	a.t = k.Record.Since()
	if a.whole {
		k.answered(c, last, a)
		return
	}
	a.note = "bytes that nobody had asked for: " + a.note
	k.ended(c, last, a)
}

// seconds reads a Retry-After, whole or decimal; anything else is none.
func seconds(s string) float64 {
	if s == "" || strings.Trim(s, "0123456789.") != "" {
		return 0
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0
	}
	return min(f, 1e6)
}

// cause words an error of the network without addresses.
func cause(err error) string {
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

// answered records a whole answer.
func (k *kit) answered(c *conn, id string, a answer) {
	k.tally.answers.Add(1)
	k.Record.Add(history.Event{T: max(1, a.t.Microseconds()), Kind: history.KindAnswer, Request: id,
		Scheduler: c.place.Name, Conn: c.id, Status: a.status, Result: a.result, After: a.after})
}

// ended records a connection that ended without a whole answer.
func (k *kit) ended(c *conn, id string, a answer) {
	k.tally.broken.Add(1)
	k.Record.Add(history.Event{T: max(1, a.t.Microseconds()), Kind: history.KindBroken, Request: id,
		Scheduler: c.place.Name, Conn: c.id, Bytes: a.bytes, Read: a.read, Note: a.note})
}
