// Package frontend serves the clients' side: it takes their requests, makes a job of each, hands that to the Handlers
// of jobs, and words their outcome as the one answer. Providers' call-backs come to the same address and are passed on.
// It owns the connections that it accepts and the duty to answer on them; what becomes of a job is never its to say.
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

// Server answers consumers and takes call-backs.
type Server struct {
	Settings policy.Settings            // until Tune
	Jobs     job.Handler                // answers each job; a panic in it ends one job
	CallBack func(message []byte) error // takes a provider's call-back, or says what is wrong with it
	Stopping func(by time.Time)         // is told that it stops, and by when each job must have its outcome
	Log      *slog.Logger
	Conns    int           // connections that may be open at once
	Grace    time.Duration // from the word to stop until all answers must be out
	Held     int           // of these slots, those that an earlier process still holds connections on; see Adopt and Released

	Accepts AcceptObserver // is told how connections fare before their first request is read; nil: nobody is

	// DeferSilent has the system keep connections back on which nothing has come yet, for a second at most; see netfault.DeferAccept.
	DeferSilent bool

	// FindSuccessor hands over to the process that stands by, at the word to stop: from then on jobs are Moved. held is how
	// many slots are taken. Nil, or a nil Successor: there is no such process.
	FindSuccessor func(held int) Successor

	// Unfinished is the answer to jobs that the Handlers have not answered when the grace is over. The zero value promises nothing.
	Unfinished job.Outcome

	// Limitation tells which jobs are not taken and why, for GET /_health; empty, or nil: all are.
	Limitation func() string
	// Healthy tells whether jobs can be taken, for GET /_health. Nil: they can.
	Healthy func() bool

	// Status describes a job to its tenant, or says that there is none. Nil: nobody can ask.
	Status func(id, tenant string) (description []byte, ok bool)

	tuned     atomic.Pointer[policy.Settings] // those in force, swapped whole; nil: Settings
	once      sync.Once
	mu        sync.Mutex
	successor Successor     // takes all that is between messages, and jobs
	moving    chan struct{} // closed once successor is set, or it is known that there is none
	conns     map[*conn]struct{}
	leaving   int            // of them, those that are evicted
	wanted    int            // slots that are waited for
	slots     chan struct{}  // one is taken for each connection
	busy      int            // connections with a message being read or worked on
	callBacks int            // connections that have carried a call-back
	quiet     *sync.Cond     // busy has become 0
	ending    bool           // connections close once they are between messages
	closing   bool           // and new connections that have said nothing close too
	deferring []net.Listener // those with connections kept back by the system
	readBy    time.Time      // while ending: by when a message that has begun is to be whole
	overdue   atomic.Bool    // the grace is over: what comes is answered at once
	warned    time.Time      // when the log last told that all are busy

	crowd          crowdLog
	unaccepted     int       // times that a connection could not be accepted
	toldUnaccepted time.Time // when the log last told so
}

// conn is a connection that was accepted.
type conn struct {
	net.Conn
	br        *bufio.Reader
	opened    time.Time    // when it was accepted; if its client has been silent for long by then, connected
	connected time.Time    // when its client had connected
	heard     atomic.Int64 // when its last byte came, or its last answer went out; on the clock of silence

	// Guarded by the server's mutex.
	stage   stage
	since   time.Time // when it last fell idle
	told    int       // messages that it has carried
	events  bool      // one of them was a call-back
	evicted bool      // it is evicted
	waits   bool      // it has no slot yet
	readBy  time.Time // while reading: by when the message in hand is to be whole
	closeBy time.Time // while parting: by when it closes, whatever its client does

	finishBy     atomic.Int64 // by when it reads what has come of its first message, on the clock of silence; 0: it is not evicted
	owed         atomic.Bool  // an answer, which belongs to whoever takes it; see takeAnswer
	answerInTime func()       // answers what is open, as the grace is over; set by sessions of protocols with several jobs at once

	// Its goroutine's own, and that of the watch while there is one.
	stomp    *Stomp // it speaks STOMP
	broken   bool   // it cannot be read any more
	ahead    []byte // read while the buffer was full; it comes before what is still to be read
	dropped  int    // bytes that could not be kept
	arrivals arrivalLog
	arrived  time.Time // when the last byte of the message in hand came
	passed   bool      // another process has it
}

// Read notes that the peer is not silent.
func (c *conn) Read(b []byte) (int, error) {
	if len(c.ahead) > 0 {
		n := copy(b, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	return c.readSocket(b)
}

// readSocket reads what has not been read yet. It counts as arrived when the system had it: the process may have stood still since, or
// the connection may have waited to be accepted.
func (c *conn) readSocket(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for netfault.DeadlinePassed(err) && c.readsOn() {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.hears()
		now := time.Now() // before the system is asked: a standstill in between makes the bytes older, not younger
		c.arrivals.add(n, now.Add(-netfault.SinceArrival(c.Conn)))
	}
	return n, err
}

// hears sets the clock of silence back.
func (c *conn) hears() { c.heard.Store(int64(time.Since(epoch))) }

// epoch is when the clock of silence began: times on it are compared with each other only.
var epoch = time.Now()

// newConn is a connection that opens now. ahead is what was read of it before.
func newConn(nc net.Conn, ahead []byte) *conn {
	now := time.Now()
	c := &conn{Conn: nc, opened: now, connected: now, since: now}
	c.heard.Store(int64(now.Sub(epoch)))
	var from io.Reader = c
	if len(ahead) > 0 {
		from = io.MultiReader(bytes.NewReader(ahead), c)
		c.arrivals.add(len(ahead), now.Add(-netfault.SinceArrival(nc)))
	}
	c.br = bufio.NewReaderSize(from, 2048)
	return c
}

// stage is what a connection is doing.
type stage uint8

const (
	idle    stage = iota // between messages
	reading              // a message has begun
	working              // a message is whole and being answered
	parting              // its last answer is out
)

// A usual consumer speaks as soon as it has connected, so a connection that does not say its first message in
// good time is a stray. One that has carried a message is kept: between messages it owes nothing.
const (
	firstByte  = 2 * time.Second         // for a new connection's first byte
	firstLimit = 2500 * time.Millisecond // and for all of its first message, from when its client connected

	firstOnItsWay = 150 * time.Millisecond // for which a client's machine may stand still between connecting and writing

	readLimit   = 2500 * time.Millisecond // from a later message's first byte to its last
	idleLimit   = 60 * time.Second
	writeLimit  = 5 * time.Second
	strangers   = time.Second // for a new connection's first byte while stopping
	MaxAhead    = 16 << 10    // that is kept of what comes while an answer is owed, beside the buffer
	retryAccept = 10 * time.Millisecond
	tellEvery   = time.Second // the log tells of one kind of trouble
)

// Serve accepts connections until ctx ends, then until all that was taken is answered. The listeners share all that
// bounds a server.
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

// Tune takes other settings for what comes from now on. A job keeps the class that it was taken with: places of classes
// must keep their meaning.
func (s *Server) Tune(set policy.Settings, grace time.Duration) {
	s.mu.Lock()
	s.Grace = grace
	s.mu.Unlock()
	s.tuned.Store(&set)
}

// settings are those in force.
func (s *Server) settings() *policy.Settings {
	if set := s.tuned.Load(); set != nil {
		return set
	}
	return &s.Settings
}

func (s *Server) prepare() {
	s.crowd.log, s.crowd.observer = s.Log, s.Accepts
	s.conns = make(map[*conn]struct{})
	s.slots = make(chan struct{}, max(1, s.Conns))
	s.quiet = sync.NewCond(&s.mu)
	s.moving = make(chan struct{})
	s.Held = min(s.Held, cap(s.slots))
	for range s.Held {
		s.slots <- struct{}{}
	}
}

// accept takes connections while there are slots for them.
func (s *Server) accept(ln net.Listener) error {
	for {
		s.takeSlot()
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
		crowded := len(s.conns)-s.leaving > cap(s.slots)*4/5
		s.mu.Unlock()
		if crowded {
			s.evictUpTo(rankKept) // ahead of need: it takes a moment, and a crowd comes faster than that
		}
		go s.serve(c, nil, false)
	}
}

// acceptFailed waits a moment after a connection could not be accepted. Where something is short that connections take, the one that
// is missed least gives it back.
func (s *Server) acceptFailed(err error) {
	s.mu.Lock()
	s.unaccepted++
	tell := time.Since(s.toldUnaccepted) > tellEvery
	if tell {
		s.toldUnaccepted = time.Now()
	}
	failures := s.unaccepted
	s.mu.Unlock()
	if tell {
		s.Log.Error("cannot accept a connection", "err", err, "failures", failures)
	}
	if netfault.Shortage(err) {
		s.evict()
	}
	timer := time.NewTimer(retryAccept)
	<-timer.C
}

// enter moves c to another stage.
func (s *Server) enter(c *conn, next stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := c.stage == reading || c.stage == working
	is := next == reading || next == working
	if next == idle && was {
		c.since = time.Now()
		c.hears()
		c.told++
	}
	c.stage = next
	if next == parting {
		s.quiet.Broadcast()
	}
	if was == is {
		return
	}
	if is {
		s.busy++
	} else if s.busy--; s.busy == 0 {
		s.quiet.Broadcast()
	}
}

// serve is the goroutine of one connection.
// If it comes from another process, j is the job that was taken on it there, if any, and last says that it ends with that.
func (s *Server) serve(c *conn, j *job.Job, last bool) {
	defer func() {
		// Whatever goes wrong with one request must not end the others.
		if r := recover(); r != nil {
			s.Log.Error("panic while serving a connection", "panic", r, "stack", string(debug.Stack()))
			if c.stomp == nil {
				s.write(c, answer{status: 500, last: true})
			}
		}
		c.Close()
		s.enter(c, parting)
		s.mu.Lock()
		delete(s.conns, c)
		if c.evicted {
			s.leaving--
		}
		if c.events {
			s.callBacks--
		}
		s.quiet.Broadcast()
		s.mu.Unlock()
		<-s.slots
	}()
	if g, ok := c.Conn.(greeter); ok && !s.greet(c, g) {
		return
	}
	if c.stomp != nil {
		s.stomp(c, *c.stomp)
		return
	}
	if j != nil {
		c.owed.Store(true)
		s.enter(c, working)
		a, ok := s.answerTo(j, c, last)
		if !ok || !s.respond(c, a, last) {
			s.part(c)
			return
		}
		s.enter(c, idle)
	}
	for s.await(c) {
		if !s.message(c) {
			s.part(c)
			return
		}
		s.enter(c, idle)
	}
	if s.pass(c); !c.broken {
		s.noteUnread(c)
		s.Log.Debug("connection closed between messages", "from", c.RemoteAddr(), "messages", c.told, "why", s.whyClosed(c))
		s.partResting(c)
		return
	}
	s.Log.Debug("connection ended by the client, or broken", "from", c.RemoteAddr(), "messages", c.told)
}

// noteUnread notes a connection that closes for others before anything has come on it.
func (s *Server) noteUnread(c *conn) {
	s.mu.Lock()
	unread := c.evicted && c.told == 0
	s.mu.Unlock()
	if unread {
		s.crowd.closedUnread()
	}
}

// whyClosed is the reason for which a connection between messages is closed here, in words.
func (s *Server) whyClosed(c *conn) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.passed:
		return "the next process has it"
	case c.evicted:
		return "its slot is needed"
	case s.ending:
		return "this process ends"
	case c.told == 0:
		return "it said nothing in time"
	}
	return "idle for its time"
}

// greeter is a connection that makes a handshake before its first message.
type greeter interface {
	net.Conn
	Greet() (subject string, err error)
	Plain() net.Conn // what is under it
}

// greet makes the handshake, in the time that a new connection has for its first message. Until it is made, the
// connection is one that has said nothing.
func (s *Server) greet(c *conn, g greeter) bool {
	s.mu.Lock()
	limit := c.connected.Add(firstLimit)
	if s.ending {
		limit = c.opened.Add(strangers)
	}
	if c.evicted || s.closing {
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
		// The alert that says why is out. It must not be overtaken by a reset.
		s.mu.Lock()
		c.Conn = g.Plain()
		c.br.Reset(c)
		s.mu.Unlock()
		s.part(c)
	}
	return false
}

// await waits for the first byte of a message, between messages. It tells whether there is one.
func (s *Server) await(c *conn) bool {
	s.mu.Lock()
	limit := c.since.Add(idleLimit)
	switch {
	case c.told == 0 && s.ending && !s.closing:
		// A new connection may bring a call-back that a job waits for, so it is given time to speak.
		limit = c.opened.Add(strangers)
	case c.told == 0 && !s.ending:
		limit = c.connected.Add(firstByte)
	case s.ending:
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
			return false // it goes over as it is
		}
		err = c.lookAgain(s.finalWait(c)) // a request that crosses with the close is still taken if it is here by now
	}
	if err != nil {
		c.broken = !netfault.DeadlinePassed(err)
		return false
	}
	s.enter(c, reading)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.readBy = time.Now().Add(readLimit)
	if c.told == 0 {
		c.readBy = c.connected.Add(firstLimit)
	}
	if c.evicted && c.told == 0 {
		c.finishReading()
		return true
	}
	s.limitReading(c)
	return true
}
