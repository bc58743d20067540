package scheduler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"laddertide/handover"
	"laddertide/internal/testrig"
	wire "laddertide/wire/handover"
	"laddertide/wire/http1"
)

// newUpgradeRig starts a scheduler that a next process can take over from.
func newUpgradeRig(t *testing.T, log io.Writer) *rig {
	t.Helper()
	dir := t.TempDir()
	r := newAdminRig(t, log, func(cfg *Config) { cfg.HandoverDir = dir })
	r.until("it can be found", func(s *Scheduler) bool { return s.handoverListener != nil })
	return r
}

// until waits until a condition holds in the scheduler.
func (r *rig) until(what string, so func(*Scheduler) bool) {
	r.t.Helper()
	for range 4000 {
		r.sched.mu.Lock()
		is := so(r.sched)
		r.sched.mu.Unlock()
		if is {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatal("condition never met: " + what)
}

// startSuccessor starts another process of the same scheduler and waits until it stands by. It shares the rig's provider.
func (r *rig) startSuccessor(log io.Writer) *rig {
	r.t.Helper()
	next := *r
	next.cfg.Admin = testrig.FreeAddress(r.t)
	next.served = make(chan error, 1)
	var err error
	if next.sched, err = New(next.cfg, slog.New(slog.NewTextHandler(log, nil))); err != nil {
		r.t.Fatal(err)
	}
	if r.reread != nil {
		next.sched.RereadFile = func() { r.reread(next.sched) }
	}
	var ctx context.Context
	ctx, next.stop = context.WithCancel(context.Background())
	go func() { next.served <- next.sched.Serve(ctx) }()
	r.t.Cleanup(next.stop)
	awaitListening(r.t, next.cfg.Admin)
	for range 1000 {
		if next.call("GET /-/ready") == 200 {
			return &next
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatal("the next process is not ready")
	return nil
}

// upgrade lets the next process take over from r.
func (r *rig) upgrade(next *rig) {
	r.t.Helper()
	r.stop()
	select {
	case err := <-r.served:
		if err != nil {
			r.t.Fatal(err)
		}
	case <-time.After(20 * time.Second):
		r.t.Fatal("the previous process does not end")
	}
	next.until("it has taken over", func(s *Scheduler) bool { return s.previous == nil && !s.standingBy })
}

// An upgrade with jobs in flight: each stays in flight and is not sent again; a call-back on a connection that the previous
// process had accepted reaches the job, which gets one answer on its own connection; idle connections stay open; a ban
// holds.
func TestUpgrade(t *testing.T) {
	var log logBuffer
	r := newUpgradeRig(t, &log)
	kept, half := r.dial(), r.dial()
	r.submit(kept, "first", "limit-check", "rainier-haul", "")
	r.event("first", "done", `,"result":"x"`)
	kept.receive(200)
	half.send("GET /_hea")
	waiting := make(map[string]*client)
	for i := range 30 {
		id := fmt.Sprint("out-", i)
		c := r.dial()
		r.submit(c, id, []string{"limit-check", "settle", "card-issue"}[i%3], "rainier-haul", "")
		if i%2 == 0 {
			r.event(id, "started", "")
		}
		waiting[id] = c
	}
	next := r.startSuccessor(&log)
	if got := next.call("PUT /-/auth-workers/s-0badcafe/disable"); got != 200 {
		t.Fatalf("a call to the standby process: %d", got)
	}
	r.stop()
	half.send("lth HTTP/1.1\r\n\r\n") // started before the handover, completed after it
	half.receive(200)
	r.upgrade(next)
	select {
	case got := <-r.jobs:
		t.Fatalf("%s was sent again", got)
	case got := <-r.cancellations:
		t.Fatalf("the provider received the cancellation %s", got)
	default:
	}
	c := next.dial()
	c.send("POST /api/x HTTP/1.1\r\nX-Request-Id: banned\r\nX-Class: limit-check\r\nX-Deadline-Ms: 60\r\nContent-Length: 0\r\n\r\n")
	c.receive(503)
	for id, c := range waiting {
		next.event(id, "done", `,"result":"`+id+`"`)
		next.event(id, "done", `,"result":"again"`)
		if got := c.receive(200); got != id {
			t.Fatalf("%s answered with %q", id, got)
		}
	}
	if got := next.call("PUT /-/auth-workers/s-0badcafe/enable"); got != 200 {
		t.Fatalf("a call to the next one: %d", got)
	}
	kept.send("GET /_health HTTP/1.1\r\n\r\n")
	kept.receive(200)
	last := next.startSuccessor(&log)
	next.upgrade(last)
	kept.send("GET /_health HTTP/1.1\r\n\r\n")
	kept.receive(200)
	last.stopAndWait()
}

// If a standby process exits, the previous one continues to serve, and another one can stand by.
func TestStandbyProcessExits(t *testing.T) {
	r := newUpgradeRig(t, io.Discard)
	for range 2 {
		next := r.startSuccessor(io.Discard)
		next.stopAndWait()
	}
	c := r.dial()
	r.submit(c, "on", "limit-check", "rainier-haul", "")
	next := r.startSuccessor(io.Discard)
	r.event("on", "done", `,"result":"x"`)
	c.receive(200)
	r.upgrade(next)
}

// If the previous process is killed, the standby process has the socket, the list and the bans.
func TestPreviousProcessDies(t *testing.T) {
	r := newUpgradeRig(t, io.Discard)
	next := r.startSuccessor(io.Discard)
	if got := r.call("PUT /-/auth-workers/s-0badcafe/disable"); got != 200 {
		t.Fatal(got)
	}
	r.sched.mu.Lock() // as if its process had died: it cannot be found and sends nothing
	r.sched.handoverListener.Close()
	r.sched.successor.Close()
	r.sched.mu.Unlock()
	next.until("it serves", func(s *Scheduler) bool { return s.handoverListener != nil })
	next.sched.mu.Lock()
	defer next.sched.mu.Unlock()
	if all := next.sched.list.All(); len(all) != 1 || !all[0].Banned {
		t.Fatalf("%+v", all)
	}
}

// A process serves whatever it finds in the folder: a stale socket, or a process that is silent, uses another version, or
// sends a wrong message.
func TestInvalidPredecessors(t *testing.T) {
	for name, answer := range map[string]func(*handover.Listener){
		"stale": func(p *handover.Listener) { p.Close() },
		"another version": func(p *handover.Listener) {
			p.Serve(nil, func(*wire.Hello) wire.Message { return &wire.Refusal{Version: 99, RetryLater: true} }, nil)
		},
		"another scheduler": func(p *handover.Listener) {
			p.Serve(nil, func(*wire.Hello) wire.Message { return &wire.Refusal{Version: wire.Version, Reason: "no"} }, nil)
		},
		"a welcome without a socket": func(p *handover.Listener) {
			p.Serve(nil, func(*wire.Hello) wire.Message { return &wire.Welcome{Version: wire.Version} }, func(*handover.Peer) {})
		},
		"silent": nil,
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			place, err := handover.Listen(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer place.Close()
			if answer != nil {
				go answer(place)
			}
			r := newAdminRig(t, io.Discard, func(cfg *Config) { cfg.HandoverDir = dir })
			c := r.dial()
			r.submit(c, "x", "limit-check", "rainier-haul", "")
			r.event("x", "done", `,"result":"x"`)
			c.receive(200)
		})
	}
}

// Without the operators' address there is nothing in the folder.
func TestNoAdminNoSocket(t *testing.T) {
	dir := t.TempDir()
	r := startRig(t, "", io.Discard, func(cfg *Config) { cfg.HandoverDir = dir })
	c := r.dial()
	c.send("GET /_health HTTP/1.1\r\n\r\n")
	c.receive(200)
	if found, _ := filepath.Glob(filepath.Join(dir, "*")); len(found) > 0 {
		t.Fatalf("%v", found)
	}
	if _, err := handover.Listen(dir); err != nil {
		t.Fatal(err)
	}
	if _, err := net.Listen("tcp", r.cfg.Listen); !errors.Is(err, syscall.EADDRINUSE) {
		t.Fatalf("the port is shared: %v", err)
	}
}

// fakeSuccessor stands by for a rig as a process that the test controls; received has the messages that it gets.
type fakeSuccessor struct {
	*handover.Peer
	received chan wire.Message
}

func (r *rig) fakeSuccessor(take func(*fakeSuccessor, wire.Message)) *fakeSuccessor {
	r.t.Helper()
	peer, _, file, err := handover.Join(r.cfg.HandoverDir, wire.Hello{Name: r.cfg.Name, Listen: r.cfg.Listen})
	if err != nil {
		r.t.Fatal(err)
	}
	file.Close()
	r.t.Cleanup(peer.Close)
	f := &fakeSuccessor{peer, make(chan wire.Message, 100)}
	go peer.Run(func(m handover.Received) {
		if m.File != nil {
			m.File.Close()
		}
		if news, ok := m.Message.(*wire.RosterChange); ok {
			f.confirm(news.Number)
			return
		}
		if take != nil {
			take(f, m.Message)
		}
		f.received <- m.Message
	})
	r.until("the successor is known", func(s *Scheduler) bool { return s.successor != nil })
	return f
}

func (f *fakeSuccessor) confirm(number uint64) {
	f.Send(&wire.Reply{Number: number, Code: wire.Yes}, nil)
}

// awaitMessage waits for a message of a type.
func awaitMessage[M wire.Message](t *testing.T, f *fakeSuccessor) M {
	t.Helper()
	for {
		select {
		case m := <-f.received:
			if m, ok := m.(M); ok {
				return m
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the successor does not receive the message")
		}
	}
}

// halfEvent sends the head of a call-back on a connection of its own, and returns the body.
func (r *rig) halfEvent(id string) (c *client, rest string) {
	r.t.Helper()
	body := fmt.Sprintf(`{"id":%q,"from":"s-0badcafe","state":"done","result":"x"}`, id)
	c = r.dial()
	c.send("GET /_health HTTP/1.1\r\n\r\n")
	c.receive(200)
	c.send("POST /v1/job-events HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body))
	interim := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	if _, err := io.ReadFull(c.br, interim); err != nil { // so its head has been read
		r.t.Fatal(err)
	}
	return c, body
}

// A call-back for a job that is being handed over is not acknowledged before the next process has received it.
func TestCallBackDuringHandover(t *testing.T) {
	r := newUpgradeRig(t, io.Discard)
	successor := r.fakeSuccessor(func(f *fakeSuccessor, m wire.Message) {
		if m, ok := m.(*wire.Takeover); ok {
			f.confirm(m.Number)
		}
	})
	r.submit(r.dial(), "moving", "card-issue", "rainier-haul", "")
	back, rest := r.halfEvent("moving")
	r.stop()
	j := awaitMessage[*wire.Job](t, successor)
	if j.ID != "moving" || len(j.PastAttempts) != 1 || !j.PastAttempts[0].InFlight || j.PastAttempts[0].Provider != "s-0badcafe" {
		t.Fatalf("%+v", j)
	}
	back.send("%s", rest)
	select {
	case m := <-successor.received:
		if ev, ok := m.(*wire.Event); ok {
			t.Fatalf("asked about %s before the job has arrived", ev.ID)
		}
	case <-time.After(100 * time.Millisecond):
	}
	successor.confirm(j.Number)
	ev := awaitMessage[*wire.Event](t, successor)
	if ev.ID != "moving" || string(ev.Result) != "x" {
		t.Fatalf("%+v", ev)
	}
	successor.confirm(ev.Number)
	back.receive(204)
	if err := <-r.served; err != nil {
		t.Fatal(err)
	}
}

// If the next process dies during the takeover, or never confirms it, no job is lost: the previous process answers it.
func TestSuccessorDies(t *testing.T) {
	for name, take := range map[string]func(*fakeSuccessor, wire.Message){
		"at the takeover": func(f *fakeSuccessor, m wire.Message) { f.Close() },
		"after it": func(f *fakeSuccessor, m wire.Message) {
			if m, ok := m.(*wire.Takeover); ok {
				f.confirm(m.Number)
				f.Close()
			}
		},
		"silent": func(*fakeSuccessor, wire.Message) {},
		"lies":   func(f *fakeSuccessor, m wire.Message) { f.Send(&wire.Takeover{}, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newUpgradeRig(t, io.Discard)
			r.fakeSuccessor(take)
			c := r.dial()
			r.submit(c, "stays", "card-issue", "rainier-haul", "")
			back, rest := r.halfEvent("stays")
			r.stop()
			if name != "silent" {
				time.Sleep(100 * time.Millisecond)
			}
			back.send("%s", rest)
			for tries := 0; ; tries++ { // a provider repeats a call-back that was not acknowledged
				h, err := http1.ReadResponseHead(back.br)
				if err == nil {
					_, err = h.ReadBody(back.br)
				}
				if tries == 10 || err == nil && h.Status != 204 && h.Status != 500 {
					t.Fatalf("%+v, %v", h, err)
				}
				if err == nil && h.Status == 204 {
					break
				}
				if err != nil { // its connection went to the process that has died
					back = r.redial()
				}
				body := `{"id":"stays","from":"s-0badcafe","state":"done","result":"x"}`
				back.send("%s", post("/v1/job-events", body))
			}
			if got := c.receive(200); got != "x" {
				t.Fatal(got)
			}
			if err := <-r.served; err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Processes that send their name and then stay silent must not keep the next one from standing by within the time for
// joining.
func TestSilentSuccessorsDoNotBlockTheNext(t *testing.T) {
	r := newUpgradeRig(t, io.Discard)
	hello, err := wire.Append([]byte{0}, &wire.Hello{Version: wire.Version, Name: r.cfg.Name, Listen: r.cfg.Listen})
	if err != nil {
		t.Fatal(err)
	}
	at := &net.UnixAddr{Name: filepath.Join(r.cfg.HandoverDir, "laddertide.handover"), Net: "unixpacket"}
	for range testrig.SilentConns {
		c, err := net.DialUnix("unixpacket", nil, at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write(hello)
	}
	began := time.Now()
	for {
		peer, _, file, err := handover.Join(r.cfg.HandoverDir, wire.Hello{Name: r.cfg.Name, Listen: r.cfg.Listen})
		if err == nil {
			file.Close()
			peer.Close()
			break
		}
		var refused *handover.Refused
		if !errors.As(err, &refused) || !refused.RetryLater || time.Since(began) > joinTimeout {
			t.Fatalf("with %d silent processes the next one is not admitted: %v after %s", testrig.SilentConns, err, time.Since(began))
		}
		time.Sleep(joinRetryInterval)
	}
	t.Logf("admitted after %s", time.Since(began))
}
