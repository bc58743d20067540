package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"laddertide/attempt"
	"laddertide/directory"
	"laddertide/dispatch"
	"laddertide/internal/testrig"
	"laddertide/job"
	"laddertide/policy"
	"laddertide/provider"
	"laddertide/wire/http1"
)

// rig is a server with one provider, which accepts jobs and reports nothing.
type rig struct {
	t       *testing.T
	address string
	jobs    chan string // "METHOD target" of the requests that the provider receives
	stop    context.CancelFunc
	served  chan error
	server  *Server // of newRig
}

func newRig(t *testing.T, conns int) *rig {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	set := policy.Settings{
		Balancers: 1, MaxAttempts: 4, Cancel: true, TellsStart: true, WorthByWork: true,
		ColdFrom: 0.3, WarmWithin: 9 * time.Second, FallMultiple: 3, FallWindow: time.Second,
		MaxRetryAfter: 2 * time.Second,
		Classes: []policy.Class{
			{Name: "check", Aim: time.Second, Stretch: 2, Deadline: 5 * time.Second, Worth: 1, Kind: -1},
			{Name: "issue", Aim: time.Second, Stretch: 2, Deadline: 5 * time.Second, Worth: 1, Kind: -1,
				Effect: policy.Unsafe},
			{Name: "settle", Aim: time.Second, Stretch: 2, Deadline: 5 * time.Second, Worth: 1, Kind: -1,
				Effect: policy.Keyed, Window: time.Minute},
		},
	}
	engine, err := dispatch.New(set, log)
	if err != nil {
		t.Fatal(err)
	}
	pool := provider.NewPool(provider.Limits{Dial: time.Second, Idle: time.Minute, MaxConnections: 10}, log)
	r := &rig{t: t, jobs: make(chan string, 100), served: make(chan error, 1)}
	worker := testrig.Listen(t, func(c net.Conn) {
		testrig.ReadRequests(c, func(h *http1.Head) {
			c.Write(http1.AppendResponse(nil, 202, nil, nil, false))
			r.jobs <- h.Method + " " + h.Target
		})
	})
	pool.UpdateProviders([]directory.Entry{{Name: "s-1", Address: worker, Status: directory.Serving}}, true)
	engine.UpdateProviders(policy.ListCached, 0, []policy.Entry{{Weight: 4}}, []string{"s-1"})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	s := &Server{Settings: set, Jobs: &attempt.Handler{Engine: engine, Pool: pool, Log: log}, CallBack: pool.HandleCallBack,
		OnShutdown: engine.Stop, Log: log, MaxConns: conns, Grace: grace}
	r.server = s
	go func() { r.served <- s.Serve(ctx, ln) }()
	t.Cleanup(func() { stop(); engine.Close(); pool.Close() })
	return r
}

const grace = 4 * time.Second // well past the window for new connections, also on a busy machine

type client struct {
	net.Conn
	br *bufio.Reader
	t  *testing.T
}

func (r *rig) dial() *client {
	r.t.Helper()
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{c, bufio.NewReader(c), r.t}
}

func (c *client) send(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) expect(status int) (*http1.Head, string) {
	c.t.Helper()
	h, err := http1.ReadResponseHead(c.br)
	if err != nil || h.Status != status {
		c.t.Fatalf("answer %+v, %v; want %d", h, err, status)
	}
	body, err := h.ReadBody(c.br)
	if err != nil {
		c.t.Fatal(err)
	}
	return h, string(body)
}

func jobRequest(id, class string, more ...string) string {
	return fmt.Sprintf("POST /api/x HTTP/1.1\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Cost-Hint: 1000\r\n%sContent-Length: 4\r\n\r\nbody",
		id, class, strings.Join(more, ""))
}

func callBackRequest(id, state string) string {
	body := fmt.Sprintf(`{"id":%q,"from":"s-1","state":%q,"result":"the result"}`, id, state)
	return fmt.Sprintf("POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A job is answered with the result from the provider, its call-backs at once, on connections that stay open.
func TestServed(t *testing.T) {
	r := newRig(t, 10)
	c, back := r.dial(), r.dial()
	for _, id := range []string{"a1", "a2"} {
		c.send(jobRequest(id, "check"))
		if got := <-r.jobs; got != "POST /api/x" {
			t.Fatal(got)
		}
		for _, state := range []string{"started", "started", "done", "done"} {
			back.send(callBackRequest(id, state))
			back.expect(204)
		}
		if _, body := c.expect(200); body != "the result" {
			t.Fatalf("body %q", body)
		}
	}
	c.send("HEAD /_health HTTP/1.1\r\n\r\n")
	if _, body := c.expect(405); body != "" {
		t.Fatalf("HEAD was answered with %q", body)
	}
	c.send("GET /_health HTTP/1.1\r\n\r\n")
	c.expect(200)
}

// A rejection is only sent where a repeat is harmless: never once a job that must not run twice may have run. When the time of such
// a job runs out while it is at its provider, the answer is a failure.
func TestFinalAnswers(t *testing.T) {
	r := newRig(t, 10)
	c, back := r.dial(), r.dial()
	c.send(jobRequest("b1", "issue"))
	<-r.jobs
	back.send(callBackRequest("b1", "lost"))
	back.expect(204)
	c.expect(502)
	began := time.Now()
	c.send(jobRequest("b2", "issue", "X-Deadline-Ms: 100\r\n"))
	<-r.jobs
	c.expect(502)
	if took := time.Since(began); took > time.Second { // the class has 5 s; a busy machine is slow
		t.Fatalf("answered %v after a request with 100 ms", took)
	}
	if got := <-r.jobs; got != "DELETE /jobs/b2" {
		t.Fatal(got)
	}
	c.send(jobRequest("b3", "check", "X-Deadline-Ms: 100\r\n"))
	<-r.jobs
	c.expect(503)
}

// A request that is not a valid job never reaches the decision module, and is never answered as a rejection.
func TestInvalidRequests(t *testing.T) {
	r := newRig(t, 10)
	c := r.dial()
	for message, status := range map[string]int{
		jobRequest("", "check"):                                      400,
		jobRequest("../x", "check"):                                  400,
		jobRequest("c1", "other"):                                    400,
		jobRequest("c2", "settle"):                                   400, // its key is missing
		jobRequest("c3", "check", "X-Deadline-Ms: soon\r\n"):         400,
		jobRequest("c4", "check", "X-Request-Id: c5\r\n"):            400, // a provider could use either id
		"GET /api/x HTTP/1.1\r\n\r\n":                                404,
		"POST /_health HTTP/1.1\r\n\r\n":                             405,
		"POST /v1/job-events HTTP/1.1\r\nContent-Length: 1\r\n\r\n{": 400,
	} {
		c.send(message)
		c.expect(status)
	}
	for message, status := range map[string]int{
		"garbage\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\n0\r\n0\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n":                          413,
	} {
		c := r.dial()
		c.send(message)
		if h, _ := c.expect(status); !h.Close {
			t.Errorf("%q: the connection stays open", message)
		}
	}
	if len(r.jobs) != 0 {
		t.Fatal("a provider was called")
	}
}

// An oversized request is refused because of its declared length alone, and the answer is not lost although the client goes on
// sending: closing the socket with unread bytes would reset the connection.
func TestOversized(t *testing.T) {
	c := newRig(t, 10).dial()
	c.send("POST /api/x HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + strings.Repeat("x", 1<<20))
	if h, _ := c.expect(413); !h.Close {
		t.Error("the connection stays open")
	}
}

// A connection that is silent, or does not complete its first message, is closed within the 3 s that its client is owed; a
// connection that has carried a message stays open, as its client may use it again at any time.
func TestSilentConnectionsAreClosed(t *testing.T) {
	r := newRig(t, 10)
	usual, silent, half := r.dial(), r.dial(), r.dial()
	usual.send("GET /_health HTTP/1.1\r\n\r\n")
	usual.expect(200)
	half.send("POST /api/x HTTP/1.1\r\nX-Request-Id: ")
	for _, c := range []*client{silent, half} {
		c.SetDeadline(time.Now().Add(3 * time.Second))
	}
	half.expect(408)
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the silent connection: %v", err)
	}
	usual.send("GET /_health HTTP/1.1\r\n\r\n")
	usual.expect(200)
}

// A surge of connections that are silent, or never complete a request, delays no other client and evicts no connection with
// call-backs.
func TestCrowd(t *testing.T) {
	r := newRig(t, 10)
	back := r.dial()
	back.send(callBackRequest("none", "done"))
	back.expect(204)
	for i := range 40 {
		c := r.dial()
		if i%2 == 0 {
			io.WriteString(c, "POST /api/x HTTP/1.1\r\n")
		}
	}
	usual := r.dial()
	usual.SetDeadline(time.Now().Add(time.Second))
	usual.send("GET /_health HTTP/1.1\r\n\r\n")
	usual.expect(200)
	back.send(callBackRequest("none", "done"))
	back.expect(204)
}

// Pipelined requests are answered in their order.
func TestPipelined(t *testing.T) {
	r := newRig(t, 10)
	c, back := r.dial(), r.dial()
	c.send(jobRequest("p1", "check") + jobRequest("p2", "check") + "GET /_health HTTP/1.1\r\n\r\n")
	for range 2 {
		<-r.jobs
		for _, id := range []string{"p2", "p1"} { // a job that is not in flight has no attempt to end
			back.send(callBackRequest(id, "done"))
			back.expect(204)
		}
		if _, body := c.expect(200); body != "the result" {
			t.Fatalf("body %q", body)
		}
	}
	c.expect(200)
}

// A client that closes its connection ends its job at the provider as well, though a next request waits unread.
func TestClientLeaveEndsItsJob(t *testing.T) {
	r := newRig(t, 10)
	c := r.dial()
	c.send(jobRequest("d1", "check") + jobRequest("d2", "check"))
	<-r.jobs
	c.Close()
	select {
	case got := <-r.jobs:
		if got != "DELETE /jobs/d1" {
			t.Fatal(got)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the job goes on")
	}
}

// awaitAllIdle waits until no connection of the server has a message in progress, except those that are being closed.
func (r *rig) awaitAllIdle() {
	r.t.Helper()
	for range 4000 {
		r.server.mu.Lock()
		busy := 0
		for c := range r.server.conns {
			if !c.evicted && c.stage != idle {
				busy++
			}
		}
		r.server.mu.Unlock()
		if busy == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatal("connections stay busy")
}

// With all slots taken an idle connection is evicted: silent connections keep no client out.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	r := newRig(t, 3)
	back := r.dial() // it carries call-backs and so is the last to be evicted
	back.send(callBackRequest("none", "done"))
	back.expect(204)
	first := r.dial()
	first.send("GET /_health HTTP/1.1\r\n\r\n")
	first.expect(200)
	for range 5 {
		c := r.dial()
		c.send("GET /_health HTTP/1.1\r\n\r\n")
		c.expect(200)
		r.awaitAllIdle() // its answer arrives a moment before it counts as idle
	}
	if _, err := first.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the oldest connection: %v", err)
	}
	back.send(callBackRequest("none", "done"))
	back.expect(204)
}

// After the stop signal, accepted requests are answered, new connections are served, idle connections close, and Serve returns
// without an error.
func TestShutdown(t *testing.T) {
	r := newRig(t, 10)
	c, back := r.dial(), r.dial()
	c.send(jobRequest("e1", "check"))
	<-r.jobs
	r.stop()
	late := r.dial()
	late.send(jobRequest("e2", "check"))
	<-r.jobs
	back.send(callBackRequest("e2", "done"))
	back.expect(204)
	late.expect(200)
	if _, err := late.Read(make([]byte, 1)); err != io.EOF { // closed after the window for new connections
		t.Fatalf("the idle connection: %v", err)
	}
	again := r.dial() // still accepted for the call-back, which may come late
	time.Sleep(10 * finalReadTime)
	again.send(callBackRequest("e1", "done"))
	again.expect(204)
	if h, _ := c.expect(200); !h.Close {
		t.Error("the connection stays open")
	}
	select {
	case err := <-r.served:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("still serving")
	}
}

// The platform kills the process soon after the stop signal: a job without an outcome by then still gets its one answer.
func TestShutdownAnswersJobsInTime(t *testing.T) {
	r := newRig(t, 10)
	check, issue := r.dial(), r.dial()
	check.send(jobRequest("f1", "check"))
	issue.send(jobRequest("f2", "issue"))
	for range 2 {
		<-r.jobs
	}
	began := time.Now()
	r.stop()
	for _, c := range []*client{check, issue} {
		c.SetDeadline(began.Add(grace + 500*time.Millisecond))
	}
	check.expect(503)
	issue.expect(502) // it may have run
	if err := <-r.served; err != nil {
		t.Fatal(err)
	}
}

// The attributes of a request reach the decision module in its units, and the provider unchanged.
func TestParse(t *testing.T) {
	s := &Server{Settings: policy.Settings{
		Classes: []policy.Class{{Name: "check"}, {Name: "settle", Effect: policy.Keyed, Deadline: 25 * time.Second}},
		Tenants: []policy.Tenant{{Name: "a"}, {Name: "b"}},
	}}
	parse := func(fields string) *job.Job {
		t.Helper()
		h, err := http1.ReadRequestHead(bufio.NewReader(strings.NewReader("POST /api/x?y HTTP/1.1\r\n" + fields + "\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		j, why := s.parse(h, []byte("body"))
		if why != "" {
			t.Fatal(why)
		}
		return j
	}
	j := parse("X-Request-Id: id\r\nX-Class: settle\r\nIdempotency-Key: k\r\nX-Tenant: b\r\nX-Deadline-Ms: 480\r\n" +
		"X-Cost-Hint: 1500\r\nX-Extras: memory=0.5, slots=2\r\nConnection: X-Hop\r\nX-Hop: 1\r\n")
	want := &job.Job{ID: "id", Class: 1, ClassName: "settle", Tenant: 1, TenantName: "b", Deadline: 480 * time.Millisecond,
		TimeLeft: 480*time.Millisecond - deadlineMargin, Hint: 1500 * time.Microsecond, Slots: 2, Key: "k", Subject: "/api/x?y",
		Payload: []byte("body"), Protocol: http1.Protocol, Fields: []job.Field{{Name: "X-Request-Id", Value: "id"},
			{Name: "X-Class", Value: "settle"}, {Name: "Idempotency-Key", Value: "k"}, {Name: "X-Tenant", Value: "b"},
			{Name: "X-Cost-Hint", Value: "1500"}, {Name: "X-Extras", Value: "memory=0.5, slots=2"}}}
	if !reflect.DeepEqual(j, want) {
		t.Fatalf("%+v", j)
	}
	// Without a deadline the deadline of the class applies; an unknown tenant has no share; a deadline that has passed leaves no
	// time.
	j = parse("X-Request-Id: id\r\nX-Class: settle\r\nIdempotency-Key: k\r\nX-Tenant: z\r\n")
	if j.Tenant != 2 || j.TenantName != "z" || j.Deadline != 25*time.Second || j.TimeLeft != 25*time.Second-deadlineMargin || j.Hint != 0 ||
		j.Slots != 1 {
		t.Fatalf("%+v", j)
	}
	if j = parse("X-Request-Id: id\r\nX-Class: check\r\nX-Deadline-Ms: 3\r\n"); j.TimeLeft != 0 {
		t.Fatalf("%+v", j)
	}
}

// newServer starts a server whose jobs go to handle.
func newServer(t *testing.T, handle job.HandlerFunc) *rig {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newServerOn(t, ln, handle)
}

func newServerOn(t *testing.T, ln net.Listener, handle job.HandlerFunc) *rig {
	t.Helper()
	s := &Server{Settings: policy.Settings{Classes: []policy.Class{{Name: "check", Deadline: 5 * time.Second}},
		MaxRetryAfter: 2 * time.Second}, Jobs: handle, OnShutdown: func(time.Time) {}, Log: slog.New(slog.DiscardHandler),
		MaxConns: 10, Grace: time.Second}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go s.Serve(ctx, ln)
	return &rig{t: t, address: ln.Addr().String()}
}

// Each outcome of a Handler becomes one answer; a panic in it is answered too, and the connection stays open.
func TestOutcomesBecomeAnswers(t *testing.T) {
	outcomes := map[string]job.Outcome{
		"served":   {Kind: job.Served, Result: []byte("the result")},
		"rejected": {Kind: job.Rejected, RetryAfter: time.Minute},
		"later":    {Kind: job.Rejected},
		"failed":   {},
		"mistaken": {Kind: job.Invalid, Why: "too blue"},
	}
	r := newServer(t, func(_ context.Context, j *job.Job) job.Outcome {
		out, ok := outcomes[j.ID]
		if !ok {
			panic("a handler's")
		}
		return out
	})
	c := r.dial()
	for id, want := range map[string]string{"served": "200 the result", "rejected": "503 rejected: try again later\n2.000",
		"later": "503 rejected: try again later\n", "failed": "502 failed\n", "mistaken": "400 too blue\n",
		"panics": "502 failed\n", "panics-too": "502 failed\n"} {
		c.send(jobRequest(id, "check"))
		status, rest, _ := strings.Cut(want, " ")
		n, _ := strconv.Atoi(status)
		if h, body := c.expect(n); body+h.Fields.Get("Retry-After") != rest || h.Close {
			t.Errorf("%s: %q, %+v, want %q", id, body, h, rest)
		}
	}
}

// A job's context ends when its client leaves, with the reason as its cause; it also ends after its answer, and not before. Nothing
// is sent to a client that has left.
func TestJobContext(t *testing.T) {
	jobs := make(chan context.Context, 1)
	r := newServer(t, func(ctx context.Context, j *job.Job) job.Outcome {
		jobs <- ctx
		if j.ID == "left" {
			<-ctx.Done()
			return job.Outcome{Kind: job.Gone}
		}
		if ctx.Err() != nil {
			t.Error("the context has ended before the answer")
		}
		return job.Outcome{Kind: job.Served}
	})
	c := r.dial()
	c.send(jobRequest("answered", "check"))
	c.expect(200)
	for _, id := range []string{"answered", "left"} {
		want := job.ErrAnswered
		if id == "left" {
			want = job.ErrClientLeft
			c.send(jobRequest(id, "check"))
		}
		ctx := <-jobs
		if id == "left" { // once it is handled; a client that leaves earlier gets nothing started
			if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: the context goes on", id)
		}
		if got := context.Cause(ctx); got != want {
			t.Errorf("%s: %v, want %v", id, got, want)
		}
	}
	if b, err := io.ReadAll(c.br); len(b) > 0 || err != nil {
		t.Errorf("%q, %v", b, err)
	}
}

// Clients comply with a retry delay up to a limit; a longer one would be ignored.
func TestRetryAfter(t *testing.T) {
	for d, want := range map[time.Duration]string{1500 * time.Millisecond: "1.500", time.Minute: "2.000"} {
		if got := retryAfter(d, 2*time.Second); got != want {
			t.Errorf("%v: %s", d, got)
		}
	}
}
