// Package frontend is the client-facing side of the scheduler: it reads requests, turns each into a job, passes the job to the
// configured job.Handler, and writes the outcome as the one answer. Providers' call-backs arrive at the same address and are passed
// on. The package owns the accepted connections and the duty to answer on them; it never decides the outcome of a job.
package frontend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/internal/netfault"
	"laddertide/job"
	"laddertide/policy"
)

// Server answers clients and accepts call-backs.
type Server struct {
	Settings       policy.Settings            // initial settings, in force until they are updated
	Jobs           job.Handler                // answers each job; a panic in it ends one job
	CallBack       func(message []byte) error // handles a provider's call-back, or returns an error that says what is wrong with it
	OnShutdown     func(by time.Time)         // called at shutdown, with the time by which each job must have its outcome
	Log            *slog.Logger
	MaxConns       int           // maximum number of open connections
	Grace          time.Duration // from the stop signal until all answers must be written
	HeldByPrevious int           // how many of these slots are still used by connections of the previous process; see Adopt

	Observer AcceptObserver // notified of each connection's first request, and of connections closed unread; nil: none

	// DeferSilent makes the system defer connections on which nothing has arrived yet, for a second at most; see
	// netfault.DeferAccept.
	DeferSilent bool

	// FindSuccessor hands over to the standby process at shutdown; from then on handlers return jobs as Moved. held is the number
	// of slots in use. If it is nil, or returns nil, there is no such process.
	FindSuccessor func(held int) Successor

	// Unfinished is the outcome of jobs that have none from the Handler when the grace period is over. The zero value promises
	// nothing.
	Unfinished job.Outcome

	// Limitation says, for GET /_health, which jobs are not accepted and why. If it is nil, or returns "", all jobs are.
	Limitation func() string
	// Healthy reports, for GET /_health, whether jobs can be accepted. If it is nil, they can.
	Healthy func() bool

	// Status describes a job to its tenant, or reports that there is none. If it is nil, job status cannot be queried.
	Status func(id, tenant string) (description []byte, ok bool)

	updatedSettings    atomic.Pointer[policy.Settings] // the settings in force, replaced as a whole; nil: Settings
	once               sync.Once
	mu                 sync.Mutex
	successor          Successor     // receives idle connections, and jobs with theirs
	successorKnown     chan struct{} // closed once successor is set, or there is known to be none
	conns              map[*conn]struct{}
	evictedConns       int            // number of evicted connections in conns
	slotWaiters        int            // number of callers that wait for a slot
	slots              chan struct{}  // holds one element for each slot in use
	busyConns          int            // number of connections on which a message is being read or answered
	callBackConns      int            // number of connections that have carried a call-back
	stateChanged       *sync.Cond     // signals changes of stage, of busyConns and of conns
	closingIdle        bool           // connections close once they are idle
	closingNew         bool           // new connections without a first message close too
	deferringListeners []net.Listener // listeners on which the system defers silent connections
	readDeadline       time.Time      // while closingIdle: deadline for the rest of a message that has begun
	graceOver          atomic.Bool    // the grace period is over: later jobs are answered at once
	busyLoggedAt       time.Time      // when it was last logged that all connections are busy

	malformedCallBacks int       // number of malformed call-backs since that was last logged
	malformedLoggedAt  time.Time // when it was last logged

	surge                 surgeLog
	acceptFailures        int       // number of failures to accept a connection
	acceptFailureLoggedAt time.Time // when such a failure was last logged
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	br          *bufio.Reader
	openedAt    time.Time    // when it was accepted, or when its client connected if that was silent for long before
	connectedAt time.Time    // when its client connected
	lastActive  atomic.Int64 // when its last byte arrived or its last answer was written, as time since epoch

	// Guarded by the server's mutex.
	stage            stage
	idleSince        time.Time // start of the current idle period
	messages         int       // number of messages that it has carried
	carriesCallBacks bool      // one of the messages was a call-back
	evicted          bool      // selected for closing to free its slot
	awaitsSlot       bool      // adopted and without a slot yet
	readDeadline     time.Time // while reading: deadline for the rest of the current message
	closeDeadline    time.Time // while lingering: when it is closed, whatever its client does

	finishDeadline atomic.Int64 // until when data that has already arrived of its first message is read, as time since epoch; 0: it is not evicted
	answerOwed     atomic.Bool  // an answer is owed; whoever clears this must write it, see claimAnswer
	answerOpenJobs func()       // answers all open jobs when the grace period is over; set by protocols with several concurrent jobs on a connection

	// Used only by the connection's goroutine, or by the one started by watchLeave while that runs.
	stomp        *Stomp // non-nil if the connection uses STOMP
	broken       bool   // no further message can be read
	readAhead    []byte // bytes read while the buffer was full; they precede unread bytes of the socket
	droppedBytes int    // number of bytes that were read and discarded
	arrivals     arrivalLog
	arrivedAt    time.Time // when the last byte of the current message arrived
	handedOver   bool      // it was handed over to another process
}

// Read returns bytes that were read ahead first, then bytes of the socket.
func (c *conn) Read(b []byte) (int, error) {
	if len(c.readAhead) > 0 {
		n := copy(b, c.readAhead)
		c.readAhead = c.readAhead[n:]
		return n, nil
	}
	return c.readSocket(b)
}

// readSocket reads from the socket. The arrival time of bytes is when the system received them, as the process may have been paused
// since, or the connection may have waited to be accepted.
func (c *conn) readSocket(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for netfault.DeadlinePassed(err) && c.extendRead() {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.noteActivity()
		now := time.Now() // taken before the system is asked, so that a pause in between makes the bytes older, not younger
		c.arrivals.add(n, now.Add(-netfault.SinceArrival(c.Conn)))
	}
	return n, err
}

// noteActivity resets the time of silence, by which connections of equal rank are evicted.
func (c *conn) noteActivity() { c.lastActive.Store(int64(time.Since(epoch))) }

// epoch is the origin of the times in lastActive and finishDeadline, which are only compared with each other.
var epoch = time.Now()

// newConn returns a connection opened now. ahead holds the bytes already read from it.
func newConn(nc net.Conn, ahead []byte) *conn {
	now := time.Now()
	c := &conn{Conn: nc, openedAt: now, connectedAt: now, idleSince: now}
	c.lastActive.Store(int64(now.Sub(epoch)))
	var from io.Reader = c
	if len(ahead) > 0 {
		from = io.MultiReader(bytes.NewReader(ahead), c)
		c.arrivals.add(len(ahead), now.Add(-netfault.SinceArrival(nc)))
	}
	c.br = bufio.NewReaderSize(from, 2048)
	return c
}

// stage is what a connection is currently doing.
type stage uint8

const (
	idle      stage = iota // between messages
	reading                // a message has begun
	working                // a complete message is being answered
	lingering              // its last answer has been written; it lingers until it is closed
)

// A usual client writes as soon as it has connected, so a connection that does not deliver its first message in good time is taken
// for a stray one. A connection that has carried a message is kept, as its client need not send anything between messages.
const (
	firstByteLimit    = 2 * time.Second         // for a new connection's first byte
	firstMessageLimit = 2500 * time.Millisecond // for all of its first message, from when its client connected

	newcomerAge = 150 * time.Millisecond // time that a client may take between connecting and writing, as its machine may be paused

	readLimit              = 2500 * time.Millisecond // from the first byte of a later message to its last
	idleLimit              = 60 * time.Second
	writeLimit             = 5 * time.Second
	shutdownFirstByteLimit = time.Second // for a new connection's first byte during shutdown
	MaxReadAhead           = 16 << 10    // bytes kept, beside the buffer, of what arrives while an answer is owed
	acceptRetryDelay       = 10 * time.Millisecond
	logInterval            = time.Second // minimum time between log lines of the same kind
)

// Serve accepts connections until ctx ends, then drains: it returns once all accepted requests are answered. The listeners share
// the limits of the server.
func (s *Server) Serve(ctx context.Context, listeners ...net.Listener) error {
	s.once.Do(s.prepare)
	if s.DeferSilent {
		s.deferSilent(listeners)
	}
	accepting := make(chan error, len(listeners))
	for _, ln := range listeners {
		go func() { accepting <- s.accept(ln) }()
	}
	select {
	case err := <-accepting:
		return err
	case <-ctx.Done():
	}
	end := s.drain(listeners)
	s.closeAll(end)
	return nil
}

// UpdateSettings replaces the settings for later requests. A job keeps the class it was accepted with: class indices must keep their meaning.
func (s *Server) UpdateSettings(set policy.Settings, grace time.Duration) {
	s.mu.Lock()
	s.Grace = grace
	s.mu.Unlock()
	s.updatedSettings.Store(&set)
}

// settings returns the settings in force.
func (s *Server) settings() *policy.Settings {
	if set := s.updatedSettings.Load(); set != nil {
		return set
	}
	return &s.Settings
}

func (s *Server) prepare() {
	s.surge.log, s.surge.observer = s.Log, s.Observer
	s.conns = make(map[*conn]struct{})
	s.slots = make(chan struct{}, max(1, s.MaxConns))
	s.stateChanged = sync.NewCond(&s.mu)
	s.successorKnown = make(chan struct{})
	s.HeldByPrevious = min(s.HeldByPrevious, cap(s.slots))
	for range s.HeldByPrevious {
		s.slots <- struct{}{}
	}
}

// accept accepts connections from a listener as slots become available.
func (s *Server) accept(ln net.Listener) error {
	for {
		s.acquireSlot()
		c, err := s.acceptOne(ln)
		if err != nil {
			<-s.slots
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			s.acceptFailed(err)
			continue
		}
		if ln, ok := ln.(StompListener); ok {
			c.stomp = &ln.Stomp
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		scarce := len(s.conns)-s.evictedConns > cap(s.slots)*4/5
		s.mu.Unlock()
		if scarce {
			s.evictUpTo(rankIdle) // evict early: closing takes a moment, and a surge of connections arrives faster than that
		}
		go s.serve(c, nil, false)
	}
}

// acceptFailed waits briefly after a connection could not be accepted. If the cause is a shortage of a resource that connections
// use, the connection of the lowest eviction rank is closed to free it.
func (s *Server) acceptFailed(err error) {
	s.mu.Lock()
	s.acceptFailures++
	shouldLog := time.Since(s.acceptFailureLoggedAt) > logInterval
	if shouldLog {
		s.acceptFailureLoggedAt = time.Now()
	}
	failures := s.acceptFailures
	s.mu.Unlock()
	if shouldLog {
		s.Log.Error("cannot accept a connection", "err", err, "failures", failures)
	}
	if netfault.Shortage(err) {
		s.evict()
	}
	timer := time.NewTimer(acceptRetryDelay)
	<-timer.C
}

// setStage moves c to the stage next.
func (s *Server) setStage(c *conn, next stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasBusy := c.stage == reading || c.stage == working
	isBusy := next == reading || next == working
	if next == idle && wasBusy {
		c.idleSince = time.Now()
		c.noteActivity()
		c.messages++
	}
	c.stage = next
	if next == lingering {
		s.stateChanged.Broadcast()
	}
	if wasBusy == isBusy {
		return
	}
	if isBusy {
		s.busyConns++
	} else if s.busyConns--; s.busyConns == 0 {
		s.stateChanged.Broadcast()
	}
}

// serve runs the goroutine of one connection. If the connection comes from another process, j is the job accepted on it there, if
// any, and last says that the connection closes after the answer to j.
func (s *Server) serve(c *conn, j *job.Job, last bool) {
	defer func() {
		// A failure in one request must not end the others.
		if r := recover(); r != nil {
			s.Log.Error("panic while serving a connection", "panic", r, "stack", string(debug.Stack()))
			if c.stomp == nil {
				s.write(c, answer{status: 500, last: true})
			}
		}
		c.Close()
		s.setStage(c, lingering)
		s.mu.Lock()
		delete(s.conns, c)
		if c.evicted {
			s.evictedConns--
		}
		if c.carriesCallBacks {
			s.callBackConns--
		}
		s.stateChanged.Broadcast()
		s.mu.Unlock()
		<-s.slots
	}()
	if g, ok := c.Conn.(greeter); ok && !s.greet(c, g) {
		return
	}
	if c.stomp != nil {
		s.serveStomp(c, *c.stomp)
		return
	}
	if j != nil {
		c.answerOwed.Store(true)
		s.setStage(c, working)
		a, ok := s.answerTo(j, c, last)
		if !ok || !s.respond(c, a, last) {
			s.linger(c)
			return
		}
		s.setStage(c, idle)
	}
	for s.awaitMessage(c) {
		if !s.serveMessage(c) {
			s.linger(c)
			return
		}
		s.setStage(c, idle)
	}
	if s.handOverConn(c); !c.broken {
		s.noteClosedUnread(c)
		s.Log.Debug("connection closed between messages", "from", c.RemoteAddr(), "messages", c.messages, "why", s.closeReason(c))
		s.lingerIdle(c)
		return
	}
	s.Log.Debug("connection ended by the client, or broken", "from", c.RemoteAddr(), "messages", c.messages)
}

// noteClosedUnread counts a connection that was evicted before its first message was read.
func (s *Server) noteClosedUnread(c *conn) {
	s.mu.Lock()
	unread := c.evicted && c.messages == 0
	s.mu.Unlock()
	if unread {
		s.surge.closedUnread()
	}
}

// closeReason returns the reason, for the log, why an idle connection is closed by this side.
func (s *Server) closeReason(c *conn) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.handedOver:
		return "handed over to the next process"
	case c.evicted:
		return "its slot is needed"
	case s.closingIdle:
		return "this process is stopping"
	case c.messages == 0:
		return "it said nothing in time"
	}
	return "idle time limit reached"
}

// greeter is a connection that needs a handshake before its first message.
type greeter interface {
	net.Conn
	Greet() (subject string, err error)
	Plain() net.Conn // the underlying connection
}

// greet performs the handshake within the time limit of a new connection's first message. Until it is done, the connection counts
// as one without any message.
func (s *Server) greet(c *conn, g greeter) bool {
	s.mu.Lock()
	limit := c.connectedAt.Add(firstMessageLimit)
	if s.closingIdle {
		limit = c.openedAt.Add(shutdownFirstByteLimit)
	}
	if c.evicted || s.closingNew {
		limit = time.Now()
	}
	c.SetDeadline(limit)
	s.mu.Unlock()
	subject, err := g.Greet()
	if err == nil {
		if subject != "" {
			s.Log.Info("client known by its certificate", "from", c.RemoteAddr(), "client_subject", subject)
		}
		return true
	}
	s.Log.Debug("handshake failed", "from", c.RemoteAddr(), "err", err)
	if !netfault.DeadlinePassed(err) {
		// The alert with the reason has been sent. A reset must not overtake it.
		s.mu.Lock()
		c.Conn = g.Plain()
		c.br.Reset(c)
		s.mu.Unlock()
		s.linger(c)
	}
	return false
}

// awaitMessage waits for the first byte of the next message. It reports whether there is one.
func (s *Server) awaitMessage(c *conn) bool {
	s.mu.Lock()
	limit := c.idleSince.Add(idleLimit)
	switch {
	case c.messages == 0 && s.closingIdle && !s.closingNew:
		// A new connection may carry a call-back that a job waits for, so it is given time.
		limit = c.openedAt.Add(shutdownFirstByteLimit)
	case c.messages == 0 && !s.closingIdle:
		limit = c.connectedAt.Add(firstByteLimit)
	case s.closingIdle:
		limit = time.Now()
	}
	if c.evicted || s.successor != nil {
		limit = time.Now()
	}
	c.SetReadDeadline(limit)
	s.mu.Unlock()
	_, err := c.br.Peek(1)
	if netfault.DeadlinePassed(err) {
		if s.hasSuccessor() {
			return false // it is handed over as it is
		}
		err = c.finalRead(s.finalReadTimeFor(c)) // a request that crosses with the close is still accepted if it has arrived by now
	}
	if err != nil {
		c.broken = !netfault.DeadlinePassed(err)
		return false
	}
	s.setStage(c, reading)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.readDeadline = time.Now().Add(readLimit)
	if c.messages == 0 {
		c.readDeadline = c.connectedAt.Add(firstMessageLimit)
	}
	if c.evicted && c.messages == 0 {
		c.finishReading()
		return true
	}
	s.limitReading(c)
	return true
}
