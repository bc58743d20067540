package fleet

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"laddertide/core/history"
	"laddertide/rehearse/loop"
)

const (
	maxTries         = 10
	tryTimeout       = time.Second // for one try, including the connect
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = time.Second
	maxSenders       = 4
	maxPending       = 8192            // attempts with pending call-backs on one link
	callBackIdle     = 5 * time.Second // a connection for call-backs that has been idle this long is closed
	maxResponseBytes = 64 << 10
)

// link connects a worker and a scheduler: the listener for the scheduler's requests, and the worker's call-backs.
type link struct {
	w              *worker
	scheduler      int
	name, callBack string
	callBackVia    string        // address at which callBack is reached, maybe a relay's
	delay          time.Duration // one way
	listener       *loop.Door

	cut    bool // guarded by the worker's mutex
	silent bool // no data passes; guarded by the worker's mutex

	mu       sync.Mutex
	conns    map[*conn]struct{}
	silenced []*attempt // attempts that will get no response, while the link is silent

	pending         map[int64]*pendingCallBacks // by attempt number: those with pending call-backs
	queue           []*pendingCallBacks         // those ready to be sent
	senders         int
	callBackConns   map[*callBackConn]struct{} // connections for call-backs
	idleConns       []*callBackConn            // the unused ones, the most recently used last
	reaper          *time.Timer
	callBacksSilent bool // copy of silent, guarded by mu
	closed          bool
}

// pendingCallBacks holds the pending call-backs of one attempt, in order. Only one sender at a time works on it.
type pendingCallBacks struct {
	attempt   *attempt
	callBacks []callBack
	tries     int           // of the first call-back
	due       time.Duration // when the first call-back arrives
	queued    bool          // it is in the queue, with a sender, or waiting for a retry
	dropped   bool          // no further call-backs are sent
}

type callBack struct {
	state  history.State
	result string
}

// callBackConn is a connection for call-backs.
type callBackConn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time // when it became idle

	mu     sync.Mutex // held during writes, see conn
	silent bool
}

func (b *callBackConn) setSilent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
}

func (b *callBackConn) write(p []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent {
		return net.ErrClosed
	}
	_, err := b.Conn.Write(p)
	return err
}

// updateSockets sets the mode of the sockets from the worker's state and the cut. When a silence ends, all earlier
// connections are reset. Called under the worker's mutex.
func (l *link) updateSockets() error {
	quiet := l.cut || l.w.state == vanished || l.w.state == mute
	ends := l.silent && !quiet
	l.silent = quiet
	l.mu.Lock()
	l.callBacksSilent = quiet
	if quiet {
		for c := range l.conns {
			c.setSilent()
		}
		for b := range l.callBackConns {
			b.setSilent()
		}
	}
	if ends {
		l.silenced = nil
	}
	l.mu.Unlock()
	mode := loop.Accepting
	switch {
	case l.cut || l.w.state == vanished:
		mode = loop.Silent
	case l.w.state == down:
		mode = loop.Refusing
	}
	if ends {
		if err := l.listener.Set(loop.Refusing); err != nil {
			return err
		}
		l.closeConns(true)
	}
	return l.listener.Set(mode)
}

// closeConns closes all connections from this side.
func (l *link) closeConns(reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.shutdown(reset)
	}
	for b := range l.callBackConns {
		if reset {
			loop.Reset(b)
		} else {
			b.Close()
		}
	}
	clear(l.callBackConns)
	l.idleConns = nil
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.reaper.Stop()
	l.queue = nil
	l.mu.Unlock()
	l.closeConns(true)
}

// notify queues a call-back with the state of an attempt.
func (l *link) notify(a *attempt, state history.State, result string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	t := l.pending[a.number]
	if t == nil {
		if len(l.pending) >= maxPending {
			l.recordUndelivered(a, state, 0, "too much to tell")
			return
		}
		t = &pendingCallBacks{attempt: a}
		l.pending[a.number] = t
	}
	t.callBacks = append(t.callBacks, callBack{state, result})
	if !t.queued {
		t.queued, t.due = true, l.w.f.now()+l.delay
		l.push(t)
	}
}

// push queues pending call-backs of an attempt for sending. Called under mu.
func (l *link) push(t *pendingCallBacks) {
	l.queue = append(l.queue, t)
	if l.senders < maxSenders && !l.closed {
		l.senders++
		l.w.f.running.Add(1)
		go l.send()
	}
}

// dropAttempt drops the pending call-backs of an attempt.
func (l *link) dropAttempt(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.pending[a.number]; t != nil {
		t.dropped = true
		delete(l.pending, a.number)
	}
}

const silentNote = "the machine is silent"

// dropPending drops all pending call-backs of a process, and returns the attempts whose end has not been reported.
// Reports of the machine's agent on an earlier process are dropped only if the machine is silent.
func (l *link) dropPending(silent bool) []*attempt {
	why := "the process died"
	if silent {
		why = silentNote
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var lost []*attempt
	for n, t := range l.pending {
		if !silent && t.callBacks[0].state == history.StateLost {
			continue
		}
		t.dropped = true
		delete(l.pending, n)
		tries := t.tries
		for _, n := range t.callBacks {
			l.recordUndelivered(t.attempt, n.state, tries, why)
			tries = 0
			if n.state != history.StateStarted {
				lost = append(lost, t.attempt)
			}
		}
	}
	return lost
}

func (l *link) recordUndelivered(a *attempt, state history.State, tries int, why string) {
	l.w.f.record(history.Event{T: micros(l.w.f.now()), Kind: history.KindCallbackFailed, Attempt: a.number, State: state,
		Scheduler: l.name, Tries: tries, Note: why})
}

// send makes the queued call-backs until there are none.
func (l *link) send() {
	f := l.w.f
	defer f.running.Done()
	for {
		l.mu.Lock()
		for len(l.queue) > 0 && l.queue[0].dropped {
			l.queue = l.queue[1:]
		}
		if len(l.queue) == 0 || l.closed {
			l.queue = nil
			l.senders--
			l.mu.Unlock()
			return
		}
		t := l.queue[0]
		l.queue[0] = nil
		l.queue = l.queue[1:]
		n := t.callBacks[0]
		l.mu.Unlock()
		if left := t.due - f.now(); left > 0 {
			time.Sleep(left)
		}
		acknowledged, why := l.try(t, n)
		l.mu.Lock()
		l.finishTry(t, n, acknowledged, why)
		l.mu.Unlock()
	}
}

// finishTry handles the result of a try. Called under mu.
func (l *link) finishTry(t *pendingCallBacks, n callBack, acknowledged bool, why string) {
	f := l.w.f
	if t.dropped {
		return // its undelivered call-backs have been recorded already
	}
	t.tries++
	switch {
	case acknowledged:
		f.record(history.Event{T: micros(f.now()), Kind: history.KindCallbackDelivered, Attempt: t.attempt.number, State: n.state,
			Scheduler: l.name, Life: int(f.lives[l.scheduler].Load()), Tries: t.tries})
	case t.tries < maxTries:
		pause := min(minBackoff<<(t.tries-1), maxBackoff)
		if l.callBacksSilent {
			pause += tryTimeout // a try during a silence would run into its time limit
		}
		time.AfterFunc(pause, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			if !t.dropped && !l.closed {
				l.push(t)
			}
		})
		return
	default:
		l.recordUndelivered(t.attempt, n.state, t.tries, why)
	}
	t.callBacks, t.tries = t.callBacks[1:], 0
	if len(t.callBacks) == 0 {
		t.queued = false
		delete(l.pending, t.attempt.number)
		return
	}
	t.due = f.now()
	l.push(t)
}

var errSilent = errors.New("nothing passes")

// try makes one call-back, and returns whether it was acknowledged, and if not, why.
func (l *link) try(t *pendingCallBacks, n callBack) (acknowledged bool, why string) {
	deadline := time.Now().Add(tryTimeout)
	b, err := l.acquireConn(t, deadline)
	if err != nil {
		return false, err.Error()
	}
	_ = b.SetDeadline(deadline)
	if err := b.write(l.encode(t.attempt, n)); err != nil {
		l.discardConn(b)
		return false, err.Error()
	}
	resp, err := http.ReadResponse(b.br, nil)
	if err != nil {
		l.discardConn(b)
		return false, err.Error()
	}
	size, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	resp.Body.Close()
	if err != nil || resp.Close || size == maxResponseBytes {
		l.discardConn(b)
	} else {
		l.releaseConn(b)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent {
		return false, errSilent.Error() // the response came after the machine had become silent or the network was cut
	}
	return resp.StatusCode == 200 || resp.StatusCode == 204, "answered " + strconv.Itoa(resp.StatusCode)
}

func (l *link) encode(a *attempt, n callBack) []byte {
	body, _ := json.Marshal(struct {
		ID     string `json:"id"`
		From   string `json:"from"`
		State  string `json:"state"`
		Result string `json:"result,omitempty"`
		Lease  uint64 `json:"lease,omitempty"`
	}{a.id, l.w.spec.Name, string(n.state), n.result, a.lease})
	out := make([]byte, 0, 160+len(body))
	out = append(out, "POST /v1/job-events HTTP/1.1\r\nHost: "...)
	out = append(out, l.callBack...)
	out = append(out, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	out = append(out, "\r\n\r\n"...)
	return append(out, body...)
}

// acquireConn returns an idle connection for a call-back, or opens one.
func (l *link) acquireConn(t *pendingCallBacks, deadline time.Time) (*callBackConn, error) {
	l.mu.Lock()
	for {
		if l.callBacksSilent || l.closed || t.dropped {
			l.mu.Unlock()
			return nil, errSilent
		}
		if len(l.idleConns) == 0 {
			break
		}
		b := l.idleConns[len(l.idleConns)-1]
		l.idleConns = l.idleConns[:len(l.idleConns)-1]
		if b.br.Buffered() == 0 && loop.Look(b.Conn) == loop.Quiet {
			l.mu.Unlock()
			return b, nil
		}
		delete(l.callBackConns, b)
		b.Close()
	}
	l.mu.Unlock()
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	nc, err := dialer.Dial("tcp4", l.callBackVia)
	if err != nil {
		return nil, err
	}
	b := &callBackConn{Conn: nc, br: bufio.NewReaderSize(nc, 1024)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || t.dropped && !l.callBacksSilent {
		loop.Reset(nc)
		return nil, errSilent
	}
	l.callBackConns[b] = struct{}{}
	if l.callBacksSilent {
		b.silent = true // it was established as the silence began
		return nil, errSilent
	}
	return b, nil
}

// releaseConn returns a connection to the idle ones for later call-backs.
func (l *link) releaseConn(b *callBackConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ours := l.callBackConns[b]; !ours || l.closed {
		b.Close()
		return
	}
	if l.callBacksSilent {
		return // it stays open until the silence ends
	}
	b.idleSince = time.Now()
	if len(l.idleConns) == 0 {
		l.reaper.Reset(callBackIdle)
	}
	l.idleConns = append(l.idleConns, b)
}

// discardConn closes a connection that cannot be reused; during a silence it stays open until the silence ends.
func (l *link) discardConn(b *callBackConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.callBacksSilent && !l.closed {
		return
	}
	delete(l.callBackConns, b)
	b.Close()
}

// closeIdle closes connections that have been idle for callBackIdle.
func (l *link) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.callBacksSilent || l.closed {
		return
	}
	n := 0
	for n < len(l.idleConns) && time.Since(l.idleConns[n].idleSince) >= callBackIdle {
		delete(l.callBackConns, l.idleConns[n])
		l.idleConns[n].Close()
		n++
	}
	l.idleConns = append([]*callBackConn(nil), l.idleConns[n:]...)
	if len(l.idleConns) > 0 {
		l.reaper.Reset(max(time.Millisecond, callBackIdle-time.Since(l.idleConns[0].idleSince)))
	}
}
