package fleet

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"laddertide/core/history"
	"laddertide/rehearse/loop"
)

const (
	messageTimeout    = 10 * time.Second // from a message's first byte to its last
	defaultIdle       = time.Minute      // for machines whose Idle is 0
	silentReadTimeout = time.Minute      // read timeout on a silent connection; the read is then repeated
	writeTimeout      = time.Second
	discardTime       = 500 * time.Millisecond // during which input after an invalid message is discarded, so that the response is read
	maxSilent         = 4096                   // limit for silent connections of a link, and for the attempts recorded on them
	crossWindow       = time.Second            // a close this soon after a 202 may have crossed it
)

// conn is a connection that a scheduler has opened to a worker.
type conn struct {
	net.Conn
	link     *link
	br       *bufio.Reader
	lastRead time.Duration // when bytes were last read
	life     int           // of the process that accepted it
	readyAt  time.Duration // when the first request on it may be processed

	answered     *attempt // attempt that got the latest 202
	answeredAt   time.Duration
	silenced     []*attempt // attempts that will get no response
	closedByPeer bool       // the scheduler has closed it

	mu     sync.Mutex // held during writes, so that nothing is sent after it has become silent
	silent bool       // no data passes, but the scheduler's machine cannot detect that
	closed bool       // closed from this side
}

// Read records when bytes were read.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead = c.link.w.f.now()
	}
	return n, err
}

// admit registers a new connection and serves it. A connection above the worker's limit is reset.
func (l *link) admit(nc net.Conn) {
	w := l.w
	c := &conn{Conn: nc, link: l}
	now := w.lock()
	defer w.unlock()
	c.life = w.model.Life()
	if quiet := l.cut || w.state == vanished || w.state == mute; quiet {
		c.silent = true
	} else {
		if w.state != up {
			loop.Reset(nc)
			return
		}
		effects, wait, ok := w.model.Connect(now, w.effects[:0])
		w.apply(effects)
		if !ok {
			loop.Reset(nc)
			return
		}
		c.readyAt = now + l.delay + wait
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || (c.silent && len(l.conns) >= maxSilent) {
		loop.Reset(nc)
		return
	}
	c.br = bufio.NewReaderSize(c, 4096)
	l.conns[c] = struct{}{}
	w.f.running.Add(1)
	go c.serve()
}

// shutdown closes the connection from this side, with a reset or gracefully.
func (c *conn) shutdown(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if reset {
		loop.Reset(c.Conn)
	} else {
		c.Conn.Close()
	}
}

func (c *conn) setSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *conn) serve() {
	defer c.link.w.f.running.Done()
	for c.serveMessage() || !c.closeUnlessSilent() {
	}
	w, l := c.link.w, c.link
	now := w.lock()
	if w.model.Life() == c.life && c.readyAt > 0 {
		w.apply(w.model.Disconnect(now, w.effects[:0]))
	}
	w.unlock()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// closeUnlessSilent closes the connection gracefully, unless it is silent and the scheduler has not closed it yet.
func (c *conn) closeUnlessSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent && !c.closed && !c.closedByPeer {
		return false
	}
	if !c.closed {
		c.closed = true
		c.Conn.Close()
	}
	return true
}

// serveMessage serves one message, and reports whether another may follow.
func (c *conn) serveMessage() bool {
	if !c.awaitMessage() {
		return false
	}
	from := c.lastRead
	c.answered = nil
	_ = c.SetReadDeadline(time.Now().Add(messageTimeout))
	m, err := readMessage(c.br, func() error { return c.write("HTTP/1.1 100 Continue\r\n\r\n") })
	if err != nil {
		return c.handleInvalid(err)
	}
	m.firstByteAt, m.lastByteAt = from, c.lastRead
	l := c.link
	id, isGiveUp := strings.CutPrefix(m.target, "/jobs/")
	switch {
	case m.method == "DELETE" && isGiveUp:
		return c.handleDelete(m, id)
	case m.method == "GET" && m.id == "" && m.target == "/ping" && l.w.f.cfg.Probes:
		return c.handleProbe(m)
	case m.method != "POST" && m.id == "":
		return c.respond(m, nil, 404)
	}
	return c.handleJob(m)
}

// awaitMessage waits for the first byte of a message. The machine closes a connection that has been idle too long.
func (c *conn) awaitMessage() bool {
	for {
		idle := c.link.w.spec.Idle
		if idle <= 0 {
			idle = defaultIdle
		}
		if c.isSilent() {
			idle = silentReadTimeout
		}
		_ = c.SetReadDeadline(time.Now().Add(idle))
		_, err := c.br.Peek(1)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.handleEnd(err)
			return false
		case !c.isSilent():
			return false
		}
	}
}

// handleInvalid handles input that is not a valid message.
func (c *conn) handleInvalid(err error) bool {
	switch {
	case c.isSilent():
		for {
			_ = c.SetReadDeadline(time.Now().Add(silentReadTimeout))
			if _, err := io.Copy(io.Discard, c.br); !errors.Is(err, os.ErrDeadlineExceeded) || !c.isSilent() {
				c.handleEnd(io.EOF)
				return false
			}
		}
	case !errors.Is(err, errInvalidMessage):
		return false // the connection ended within the message, or the message took too long
	}
	if c.write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n") != nil {
		return false
	}
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.CopyN(io.Discard, c.br, 1<<20)
	return false
}

// waitUntil waits until a time of the record. It returns false if the connection has ended in the meantime.
func (c *conn) waitUntil(until time.Duration) bool {
	for {
		left := until - c.link.w.f.now()
		if left <= 0 {
			return true
		}
		if c.br.Buffered() > 0 {
			// A pipelined message in the buffer hides the end of the connection behind it.
			time.Sleep(left)
			return true
		}
		_ = c.SetReadDeadline(time.Now().Add(left))
		if _, err := c.br.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
}

// write sends s at once; it fails if the connection is silent or closed.
func (c *conn) write(s string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent || c.closed {
		return net.ErrClosed
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := io.WriteString(c.Conn, s)
	return err
}

var responses = map[int]string{
	200: "200 OK\r\nContent-Length: 0\r\n",
	202: "202 Accepted\r\nContent-Length: 0\r\n",
	400: "400 Bad Request\r\nContent-Length: 0\r\n",
	404: "404 Not Found\r\nContent-Length: 0\r\n",
	503: "503 Service Unavailable\r\nContent-Length: 0\r\n",
	999: "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n",
}

const notRun = 999 // 503 with X-Not-Run

// respond sends the response to a message, with the attempt if it was a job. The response arrives after the one-way
// delay, so it says what was true at the time of sending.
func (c *conn) respond(m *message, a *attempt, status int) bool {
	if !c.waitUntil(max(c.link.w.f.now(), m.lastByteAt+c.link.delay) + c.link.delay) {
		c.handleWithdrawal(a)
		return false
	}
	text := "HTTP/1.1 " + responses[status]
	if m.closeAfter {
		text += "Connection: close\r\n"
	}
	text += "\r\n"
	c.mu.Lock()
	if c.silent || c.closed {
		c.mu.Unlock()
		c.recordSilenced(a)
		return true
	}
	if c.br.Buffered() == 0 && loop.Look(c.Conn) == loop.Ended {
		c.mu.Unlock()
		c.handleWithdrawal(a)
		return false
	}
	at := c.link.w.f.now()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := io.WriteString(c.Conn, text)
	c.mu.Unlock()
	if err != nil {
		c.handleWithdrawal(a)
		return false
	}
	if a != nil && status == 202 {
		c.link.w.f.record(history.Event{T: micros(at), Kind: history.KindAttemptAccepted, Attempt: a.number})
		c.answered, c.answeredAt = a, at
	}
	return !m.closeAfter
}

// handleJob handles a job and responds to it.
func (c *conn) handleJob(m *message) bool {
	w, l := c.link.w, c.link
	a, result := w.addAttempt(c, m)
	switch result {
	case neverArrives, processEnded:
		c.recordSilenced(a)
		return true
	case refused400:
		return c.respond(m, nil, 400)
	case refused404:
		return c.respond(m, nil, 404)
	}
	w.holdForCue(a)
	if !c.waitUntil(max(m.lastByteAt+l.delay, c.readyAt)) {
		c.handleWithdrawal(a)
		return false
	}
	switch w.submit(a) {
	case processEnded:
		c.recordSilenced(a)
		return true // the next read finds the connection reset, or silent
	case notTaken:
		return c.respond(m, a, notRun)
	}
	return c.respond(m, a, 202)
}

// recordSilenced records an attempt on a silent connection, which will get no response: if the scheduler closes the
// connection, it has given the attempt up.
func (c *conn) recordSilenced(a *attempt) {
	if a == nil || !c.isSilent() {
		return
	}
	if len(c.silenced) < maxSilent {
		c.silenced = append(c.silenced, a)
	}
	l := c.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.silenced) >= maxSilent {
		l.silenced = l.silenced[1:]
	}
	l.silenced = append(l.silenced, a)
}

// handleWithdrawal handles a connection that ended before the response: the scheduler has given the attempt up.
func (c *conn) handleWithdrawal(a *attempt) {
	c.closedByPeer = true
	if c.isClosed() {
		return
	}
	w := c.link.w
	at := w.f.now()
	if a != nil {
		w.recordGivenUp(a, at, "close")
	}
	for _, b := range c.silenced {
		w.recordGivenUp(b, at, "close")
	}
	c.silenced = nil
	if a == nil || c.isSilent() {
		return // the worker cannot know
	}
	time.Sleep(c.link.delay)
	w.cancel(a)
}

// handleEnd handles a connection that the scheduler has closed between messages. If it did so before the latest 202
// reached it, it has given that attempt up.
func (c *conn) handleEnd(err error) {
	if c.isClosed() {
		return
	}
	c.handleWithdrawal(nil)
	a, w := c.answered, c.link.w
	if a == nil || c.isSilent() || w.f.now()-c.answeredAt > crossWindow {
		return
	}
	switch {
	case errors.Is(err, syscall.EPIPE), errors.Is(err, io.EOF) && c.closeCrossedResponse():
		w.recordGivenUp(a, c.answeredAt, "close")
		time.Sleep(c.link.delay)
		w.cancel(a)
	case errors.Is(err, syscall.ECONNRESET):
		// Either the scheduler did not read the 202, or it closes all connections with a reset. The job keeps running,
		// so that the second case does no harm.
		w.recordGivenUp(a, w.f.now(), "close")
	}
}

// closeCrossedResponse reports whether data reached the scheduler's machine only after it had closed the connection:
// the machine then responds with a reset, which may arrive a little later than the close itself.
func (c *conn) closeCrossedResponse() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	for range 25 {
		broken := false
		_ = raw.Control(func(fd uintptr) {
			code, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
			broken = err == nil && syscall.Errno(code) == syscall.EPIPE
		})
		if broken {
			return true
		}
		time.Sleep(2 * time.Millisecond)
	}
	return false
}

// handleDelete handles a DELETE. The response is 200 whether the job was at this worker or not: either way the worker
// no longer has it, which is all that the scheduler needs to know, and a job that has just ended must not look like an
// error.
func (c *conn) handleDelete(m *message, id string) bool {
	w, l := c.link.w, c.link
	list := w.attemptsOf(l, id)
	quiet := c.isSilent()
	if quiet {
		l.mu.Lock()
		for _, a := range l.silenced {
			if a.id == id && !slices.Contains(list, a) {
				list = append(list, a)
			}
		}
		l.mu.Unlock()
	}
	for _, a := range list {
		w.recordGivenUp(a, m.lastByteAt, "delete")
	}
	if quiet {
		return true
	}
	c.waitUntil(max(m.lastByteAt+l.delay, c.readyAt))
	for _, a := range list {
		w.cancel(a)
	}
	return c.respond(m, nil, 200)
}

// handleProbe handles a probe.
func (c *conn) handleProbe(m *message) bool {
	w, l := c.link.w, c.link
	if c.isSilent() {
		return true
	}
	w.f.record(history.Event{T: micros(m.lastByteAt), Kind: history.KindProbe, Worker: w.spec.Name, Scheduler: l.name})
	if !c.waitUntil(max(m.lastByteAt+l.delay, c.readyAt)) {
		return false
	}
	now := w.lock()
	w.apply(w.model.Probe(now, w.f.cfg.ProbeCost, w.effects[:0]))
	s := w.model.State()
	w.unlock()
	if s.Draining || !s.Alive {
		return c.respond(m, nil, 503)
	}
	return c.respond(m, nil, 200)
}
