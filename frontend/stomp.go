package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"laddertide/internal/netfault"
	"laddertide/job"
	"laddertide/operator"
	"laddertide/wire/http1"
	"laddertide/wire/stomp"
)

// Stomp holds the settings of the STOMP port.
type Stomp struct {
	Port      int
	HeartBeat time.Duration // interval of heart-beats that this side can send and wants to receive; 0: none
	MaxJobs   int           // maximum of jobs without an answer in a session
	MaxFrame  int           // maximum size of a frame's body, in bytes
	TLS       bool          // encrypted, with the settings of the section tls
}

// ParseStomp reads the settings from their section of the operator's file.
func ParseStomp(s *operator.Section) (Stomp, error) {
	set, beat := Stomp{MaxJobs: 16, MaxFrame: http1.MaxBody}, 10_000
	s.Require("listen_port")
	s.Int("listen_port", &set.Port, 1, 65535)
	s.Int("heart_beat_ms", &beat, 0, 60_000)
	s.Int("max_jobs", &set.MaxJobs, 1, 1024)
	s.Int("max_frame_bytes", &set.MaxFrame, 256, http1.MaxBody)
	s.Bool("tls", &set.TLS)
	set.HeartBeat = time.Duration(beat) * time.Millisecond
	return set, s.Done()
}

// ConnBytes returns the memory that a session may use beside one message of full size, mainly for jobs that it has accepted or
// holds for a COMMIT.
func (set *Stomp) ConnBytes() int {
	return set.MaxFrame + stomp.DefaultHead + maxSubscriptions*2*maxName
}

// StompListener is a listener for STOMP connections.
type StompListener struct {
	net.Listener
	Stomp
}

// SyscallConn implements syscall.Conn.
func (l StompListener) SyscallConn() (syscall.RawConn, error) {
	return netfault.RawListener(l.Listener)
}

const (
	maxSubscriptions = 16  // subscriptions of a session
	maxTransactions  = 4   // open transactions of a session
	maxName          = 256 // bytes in the name of a subscription, transaction or receipt, or in a destination

	defaultReplyTo = "/answers"
	jobPrefix      = "/jobs/"
	statusPrefix   = "/status/"

	// beatTolerance is the number of intervals after which a heart-beat is missing: it may be late because of its transit time or a
	// busy machine.
	beatTolerance = 2
)

var stompHeaderNames = fieldNames{id: "request-id", class: "class", tenant: "tenant", key: "idempotency-key", deadline: "deadline-ms",
	hint: "cost-hint", extras: "extras"}

var stompUniqueHeaders = append(stompHeaderNames.unique(), "destination", "reply-to")

// subscription is a subscription of the client.
type subscription struct {
	id, destination string
	wantsAcks       bool // the client acknowledges its messages
	cancel          context.CancelCauseFunc
	ctx             context.Context
}

// sendRequest is a checked SEND frame: its request, and the subscription that gets the answer.
type sendRequest struct {
	j             *job.Job
	statusOf      string // id of the job whose status is requested; empty: the frame is a job
	invalidReason string // why the job is invalid; sent as its answer
	id            string // request-id, as received
	tenant        string
	receipt       string
	replyTo       *subscription
	bytes         int
	arrivedAt     time.Time // arrival of the frame, or of its COMMIT in a transaction: the job's time runs from then on
}

// session is the state of a STOMP connection. One goroutine reads it, and each job has its own.
type session struct {
	s   *Server
	c   *conn
	set Stomp
	r   *stomp.Reader
	v   stomp.Version

	ctx        context.Context // ends when the client has left
	cancel     context.CancelCauseFunc
	clientBeat time.Duration // interval at which the client promised to send something; 0: no promise

	writing  sync.Mutex // held while a frame is written
	wroteAt  time.Time
	writeErr error // a frame was not written completely, so that nothing may follow it

	mu            sync.Mutex
	jobEnded      sync.Cond // signals that a job has ended
	subscriptions map[string]*subscription
	transactions  map[string][]*sendRequest
	openJobs      int                   // number of jobs without an answer
	unanswered    map[*sendRequest]bool // of those, the started ones whose answer nobody has claimed yet
	heldBytes     int                   // bytes of jobs that are open or wait for a COMMIT
	uncommitted   int                   // number of jobs that wait for a COMMIT
	reading       bool
	lastMessage   uint64 // number of the last message; its message-id
}

// sessionError is an error of the client that ends the session with an ERROR frame.
type sessionError struct {
	reason  string
	receipt string
	headers stomp.Fields
}

func (m *sessionError) Error() string { return m.reason }

// serveStomp serves a STOMP connection. It returns once all jobs accepted on it are answered, or the client has left.
func (s *Server) serveStomp(c *conn, set Stomp) {
	n := &session{s: s, c: c, set: set, subscriptions: make(map[string]*subscription),
		transactions: make(map[string][]*sendRequest), unanswered: make(map[*sendRequest]bool)}
	n.r = stomp.NewReader(c.br, stomp.Limits{Body: set.MaxFrame})
	n.jobEnded.L = &n.mu
	n.ctx, n.cancel = context.WithCancelCause(context.Background())
	defer n.cancel(job.ErrAnswered)
	s.mu.Lock()
	c.answerOpenJobs = n.answerOpenJobs
	s.mu.Unlock()
	err := n.connect()
	if err == nil {
		err = n.readFrames()
	}
	var m *sessionError
	var syntax *stomp.SyntaxError
	var large *stomp.TooLargeError
	switch {
	case errors.As(err, &syntax) || errors.As(err, &large):
		m = &sessionError{reason: err.Error()}
	case netfault.DeadlinePassed(err):
		m = &sessionError{reason: "no whole frame, or heart-beat, in time"}
	case !errors.As(err, &m) && err != nil:
		n.cancel(job.ErrClientLeft)
	}
	n.awaitAnswers() // accepted jobs are answered first
	if m != nil {
		// Until a version is agreed, the client may take a backslash for the start of an escape sequence.
		why := strings.ReplaceAll(m.reason, `\`, "/")
		f := stomp.Frame{Command: stomp.ERROR, Headers: append(stomp.Fields{{Name: "message", Value: why}}, m.headers...)}
		if m.receipt != "" {
			f.Headers = append(f.Headers, stomp.Field{Name: "receipt-id", Value: m.receipt})
		}
		n.write(&f)
	}
	n.writing.Lock()
	n.cancel(job.ErrAnswered) // no heart-beat after the last frame
	n.writing.Unlock()
	if m != nil || err == nil {
		s.linger(c)
	}
}

// connect reads the first frame and agrees on a version and on heart-beats.
func (n *session) connect() error {
	if !n.s.awaitMessage(n.c) {
		return io.EOF
	}
	f := stomp.Frame{}
	for f.Command == stomp.Beat {
		if err := n.r.Next(&f); err != nil {
			return err
		}
	}
	if f.Command != stomp.CONNECT && f.Command != stomp.STOMP {
		return &sessionError{reason: "the first frame is to be CONNECT"}
	}
	v, err := stomp.Negotiate(f.Headers)
	if err != nil {
		return &sessionError{reason: err.Error(), headers: stomp.Fields{{Name: "version", Value: stomp.Versions}}}
	}
	theirs, err := stomp.HeartBeatOf(f.Headers)
	if err != nil {
		return err
	}
	ours := stomp.HeartBeat{Can: n.set.HeartBeat, Want: n.set.HeartBeat}
	n.clientBeat = stomp.Interval(theirs, ours)
	ok := stomp.Frame{Command: stomp.CONNECTED, Headers: stomp.Fields{{Name: "version", Value: v.String()},
		{Name: "heart-beat", Value: ours.String()}, {Name: "server", Value: "laddertide"}}}
	if err := n.write(&ok); err != nil {
		return err
	}
	n.v = v
	n.r.SetVersion(v)
	n.s.setStage(n.c, idle)
	if every := stomp.Interval(ours, theirs); every > 0 {
		go n.sendBeats(every)
	}
	return nil
}

// sendBeats sends heart-beats so that the client receives something at least at this interval.
func (n *session) sendBeats(every time.Duration) {
	ticker := time.NewTicker(max(every/4, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		n.writing.Lock()
		err := n.ctx.Err()
		if err == nil && time.Since(n.wroteAt) >= every/2 {
			err = n.writeBytes(stomp.AppendBeat(nil))
		}
		n.writing.Unlock()
		if err != nil {
			return
		}
	}
}

// readFrames handles frames until the session ends. A regular end returns no error.
func (n *session) readFrames() error {
	var f stomp.Frame
	for {
		if done, err := n.awaitFrame(); done {
			return nil
		} else if err != nil {
			return err
		}
		err := n.r.Next(&f)
		n.updateStage(func() { n.reading = false })
		if err != nil {
			return err
		}
		if f.Command == stomp.Beat {
			continue
		}
		n.c.arrivedAt = n.c.arrivals.consumedAt(n.c.br.Buffered()+len(n.c.readAhead), time.Now())
		if done, err := n.handleFrame(&f); done || err != nil {
			return err
		}
	}
}

// updateStage applies a change to the session's state and updates the stage of the connection.
func (n *session) updateStage(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	switch {
	case n.openJobs > 0:
		n.s.setStage(n.c, working)
	case n.reading:
		n.s.setStage(n.c, reading)
	default:
		n.s.setStage(n.c, idle)
	}
}

// awaitFrame waits for the first byte of a frame, and sets the time limit for the frame. done says that the connection is to be closed.
func (n *session) awaitFrame() (done bool, err error) {
	s := n.s
	for {
		n.mu.Lock()
		busy := n.openJobs > 0
		s.mu.Lock()
		limit := n.c.idleSince.Add(idleLimit)
		if busy {
			limit = time.Time{} // no limit while answers are open
		}
		if n.clientBeat > 0 {
			limit = time.Now().Add(beatTolerance * n.clientBeat)
		}
		closing := n.c.evicted || s.closingIdle && !busy
		if closing {
			limit = time.Now().Add(finalReadTime)
		}
		n.c.SetReadDeadline(limit)
		s.mu.Unlock()
		n.mu.Unlock()
		_, err := n.c.br.Peek(1)
		if err == nil {
			n.updateStage(func() { n.reading = true })
			n.limitReading()
			return false, nil
		}
		if !netfault.DeadlinePassed(err) {
			return false, err
		}
		if closing {
			return true, nil
		}
		n.mu.Lock()
		s.mu.Lock()
		woken := n.c.evicted || s.closingIdle || busy && n.openJobs == 0
		s.mu.Unlock()
		n.mu.Unlock()
		if !woken {
			return n.clientBeat == 0 && !busy, err // idle time limit reached, or heart-beats missing
		}
	}
}

// limitReading sets the time limit for the frame that has begun.
func (n *session) limitReading() {
	n.s.mu.Lock()
	defer n.s.mu.Unlock()
	n.c.readDeadline = time.Now().Add(readLimit)
	n.c.SetReadDeadline(n.c.readDeadline)
	n.s.limitReading(n.c)
}

// awaitAnswers waits until all accepted jobs are answered. Open transactions are dropped.
func (n *session) awaitAnswers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transactions = nil // jobs without a COMMIT were not accepted
	for n.openJobs > 0 {
		n.jobEnded.Wait()
	}
}

// handleFrame handles a frame. done says that the session ends regularly.
func (n *session) handleFrame(f *stomp.Frame) (done bool, err error) {
	h := f.Headers
	receipt := h.Get("receipt")
	fail := func(why string) (bool, error) { return false, &sessionError{reason: why, receipt: receipt} }
	for _, name := range []string{"receipt", "id", "transaction", "destination", "reply-to"} {
		if len(h.Get(name)) > maxName {
			return fail(name + " is too long")
		}
	}
	tx := h.Get("transaction")
	switch f.Command {
	case stomp.SEND:
		t, why := n.parseSend(f)
		if why != "" {
			return fail(why)
		}
		if tx == "" {
			n.admit(t)
			n.startJob(t)
			return false, nil
		}
		if why := n.holdForCommit(tx, t); why != "" {
			return fail(why)
		}
		return false, nil // the receipt is sent when the job is accepted
	case stomp.SUBSCRIBE:
		err = n.subscribe(h)
	case stomp.UNSUBSCRIBE:
		err = n.unsubscribe(h)
	case stomp.ACK, stomp.NACK:
		// An answer is final in either case, so there is nothing to do.
	case stomp.BEGIN:
		n.mu.Lock()
		_, twice := n.transactions[tx]
		switch {
		case tx == "" || twice:
			err = errors.New("a transaction needs a name of its own")
		case len(n.transactions) == maxTransactions:
			err = errors.New("too many transactions have begun")
		default:
			n.transactions[tx] = nil
		}
		n.mu.Unlock()
	case stomp.COMMIT, stomp.ABORT:
		list, why := n.endTransaction(tx, f.Command == stomp.COMMIT)
		if why != "" {
			return fail(why)
		}
		for _, t := range list {
			t.arrivedAt = n.c.arrivedAt
			n.startJob(t)
		}
	case stomp.DISCONNECT:
		n.awaitAnswers()
		if receipt != "" {
			n.sendReceipt(receipt)
		}
		return true, nil
	default:
		return fail("a client does not send " + string(f.Command))
	}
	if err != nil {
		return fail(err.Error())
	}
	if receipt != "" {
		return false, n.sendReceipt(receipt)
	}
	return false, nil
}

// parseSend parses a SEND frame. why says why it cannot be answered; an invalid job for which there is a subscription gets its error as
// the answer.
func (n *session) parseSend(f *stomp.Frame) (t *sendRequest, why string) {
	h := f.Headers
	t = &sendRequest{id: h.Get("request-id"), tenant: h.Get("tenant"), receipt: h.Get("receipt"), bytes: len(f.Body), arrivedAt: n.c.arrivedAt}
	for i := range h {
		t.bytes += len(h[i].Name) + len(h[i].Value) // headers share memory: each of them keeps all of them alive
	}
	replyTo := defaultReplyTo
	if v, ok := h.Lookup("reply-to"); ok {
		replyTo = v
	}
	n.mu.Lock()
	for _, x := range n.subscriptions {
		if x.destination == replyTo && (t.replyTo == nil || x.id < t.replyTo.id) {
			t.replyTo = x
		}
	}
	n.mu.Unlock()
	if t.replyTo == nil {
		return nil, "the answer has nowhere to go: there is no subscription of its destination"
	}
	destination := h.Get("destination")
	if id, ok := strings.CutPrefix(destination, statusPrefix); ok && n.s.Status != nil {
		t.statusOf = id
		return t, ""
	}
	rest, ok := strings.CutPrefix(destination, jobPrefix)
	if !ok {
		return nil, "there is no such destination"
	}
	class, _, _ := strings.Cut(rest, "/")
	for _, name := range stompUniqueHeaders {
		if h.Count(name) > 1 {
			t.invalidReason = name + " is repeated"
			return t, ""
		}
		for _, c := range []byte(h.Get(name)) {
			if c < ' ' || c == 0x7f || name == "destination" && (c == ' ' || c > 0x7f) {
				t.invalidReason = name + " has a character that it may not have"
				return t, ""
			}
		}
	}
	t.j, t.invalidReason = n.s.parseJob(&stompHeaderNames, func(name string) string {
		if name == stompHeaderNames.class {
			return class
		}
		return h.Get(name)
	})
	if t.j != nil {
		t.j.Subject, t.j.Payload, t.j.Protocol = destination, f.Body, "STOMP"
	}
	return t, ""
}

// admit waits until the session may have one more job. Nothing is read meanwhile, which slows the client down.
func (n *session) admit(t *sendRequest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.openJobs > 0 && (n.openJobs+n.uncommitted >= n.set.MaxJobs || n.heldBytes+t.bytes > n.set.MaxFrame+stomp.DefaultHead) {
		n.jobEnded.Wait()
	}
	n.openJobs++
	n.heldBytes += t.bytes
}

// holdForCommit keeps a SEND for its COMMIT, or says why it cannot. It must not wait, as the COMMIT would not be read then.
func (n *session) holdForCommit(tx string, t *sendRequest) (why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	list, ok := n.transactions[tx]
	switch {
	case !ok:
		return "there is no such transaction"
	case n.openJobs+n.uncommitted >= n.set.MaxJobs || n.heldBytes+t.bytes > n.set.MaxFrame+stomp.DefaultHead:
		return "more is held for transactions than a session may have"
	}
	n.uncommitted++
	n.heldBytes += t.bytes
	n.transactions[tx] = append(list, t)
	return ""
}

// endTransaction ends a transaction. Committed jobs are returned and admitted all at once: none waits for the end of another.
func (n *session) endTransaction(tx string, commit bool) (list []*sendRequest, why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	list, known := n.transactions[tx]
	if !known {
		return nil, "there is no such transaction"
	}
	for _, t := range list {
		if commit && n.subscriptions[t.replyTo.id] != t.replyTo {
			return nil, "an answer has nowhere to go: its subscription has ended since"
		}
	}
	delete(n.transactions, tx)
	n.uncommitted -= len(list)
	if commit {
		n.openJobs += len(list)
		return list, ""
	}
	for _, t := range list {
		n.heldBytes -= t.bytes
	}
	return nil, ""
}

func (n *session) sendReceipt(id string) error {
	return n.write(&stomp.Frame{Command: stomp.RECEIPT, Headers: stomp.Fields{{Name: "receipt-id", Value: id}}})
}

// write writes a frame. A client that does not receive it in time is treated as one that has left.
func (n *session) write(f *stomp.Frame) error {
	b, err := stomp.AppendFrame(nil, n.v, f)
	if err != nil {
		return err
	}
	n.writing.Lock()
	defer n.writing.Unlock()
	return n.writeBytes(b)
}

// writeBytes writes bytes. Called with writing held.
func (n *session) writeBytes(b []byte) error {
	if n.writeErr != nil {
		return n.writeErr
	}
	n.c.SetWriteDeadline(time.Now().Add(writeLimit))
	n.wroteAt = time.Now()
	if _, n.writeErr = n.c.Write(b); n.writeErr != nil {
		n.s.Log.Debug("frame not written", "to", n.c.RemoteAddr(), "err", n.writeErr)
		n.cancel(job.ErrClientLeft)
		n.c.SetReadDeadline(time.Now())
	}
	return n.writeErr
}

func (n *session) subscribe(h stomp.Fields) error {
	x := &subscription{id: h.Get("id"), destination: h.Get("destination")}
	if n.v == stomp.V10 && x.id == "" {
		x.id = x.destination // in 1.0 a subscription may be identified by its destination alone
	}
	mode, hasAck := h.Lookup("ack")
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case x.id == "":
		return errors.New("a subscription needs an id")
	case n.subscriptions[x.id] != nil:
		return errors.New("there is a subscription of that id")
	case x.destination == "" || strings.HasPrefix(x.destination, jobPrefix) || strings.HasPrefix(x.destination, statusPrefix):
		return errors.New("nothing comes from that destination")
	case len(n.subscriptions) == maxSubscriptions:
		return errors.New("too many subscriptions")
	case hasAck && mode != "auto" && mode != "client" && mode != "client-individual":
		return errors.New("ack is none of auto, client and client-individual")
	}
	x.wantsAcks = hasAck && mode != "auto"
	x.ctx, x.cancel = context.WithCancelCause(n.ctx)
	n.subscriptions[x.id] = x
	return nil
}

// unsubscribe ends a subscription and withdraws the jobs whose answers would be sent to it.
func (n *session) unsubscribe(h stomp.Fields) error {
	id := h.Get("id")
	if n.v == stomp.V10 && id == "" {
		id = h.Get("destination")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	x := n.subscriptions[id]
	if x == nil {
		return errors.New("there is no such subscription")
	}
	delete(n.subscriptions, id)
	x.cancel(job.ErrClientLeft)
	return nil
}
