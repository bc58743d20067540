package owners

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"laddertide/core/fleet"
	core "laddertide/core/owners"
	"laddertide/dispatch"
	"laddertide/job"
	"laddertide/ledger/faultfs"
	"laddertide/owners/recordlog"
	"laddertide/policy"
	"laddertide/provider"
	wire "laddertide/wire/owners"
)

const (
	answerTime = 100 * time.Millisecond // of a healthy peer
	settleTime = 8 * answerTime
	keepTime   = 20 * time.Second
	deadline   = 5 * time.Second
)

// The classes of the tests, by effect.
const (
	safe = iota
	keyed
	unsafe
)

// cluster is several schedulers in one synctest bubble, on a network with delay, loss and cuts.
type cluster struct {
	bundleCount int // packets with several messages
	t           *testing.T
	settings    Settings
	delay       time.Duration

	mu          sync.Mutex
	random      *rand.Rand
	lossRate    float64
	dropMessage func(from, to string, m *wire.Message) bool // nil: no others are lost
	states      map[string]fleet.State
	members     map[string]*member
	attempts    []string // attempts made: "id by scheduler"
	log         bytes.Buffer
	began       time.Time
	disks       map[string]*faultfs.Disk // of members, by name; nil: records are in memory only
}

// member is a scheduler. Its next Handler makes one attempt, which ends by itself after work, or with its provider's event.
type member struct {
	r             *cluster
	me            wire.Process
	h             *Handler
	pool          *provider.Pool
	dead          chan struct{}
	leaving       bool
	resumed       chan struct{} // closed when it resumes; nil: it is not paused
	script        func(ctx context.Context, j *job.Job) job.Outcome
	work          time.Duration
	callBackDelay time.Duration // delay until call-backs for an earlier process's attempt are accepted
	resultSize    int           // of results
}

func newCluster(t *testing.T, n int, change func(*cluster)) *cluster {
	r := &cluster{t: t, delay: 2 * time.Millisecond, random: rand.New(rand.NewPCG(1, 23)), states: make(map[string]fleet.State),
		members: make(map[string]*member), settings: Settings{Keepers: 3, Retention: keepTime, MaxRecords: 10_000, MaxWaiters: 2000}}
	if change != nil {
		change(r)
	}
	r.began = time.Now().Add(-time.Hour)
	for i := range n {
		r.member(string(rune('a'+i)), 1)
	}
	for _, m := range r.members {
		m.h.Join(m, m.me)
	}
	r.settle()
	return r
}

// clusterTest runs a test in a bubble. It fails if a goroutine or a question is left behind.
func clusterTest(t *testing.T, n int, change func(*cluster), test func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		r := newCluster(t, n, change)
		defer func() {
			for _, m := range r.members {
				m.kill()
			}
		}()
		test(r)
		time.Sleep(time.Minute)
		for _, m := range r.members {
			m.h.mu.Lock()
			open := [...]int{len(m.h.questions), len(m.h.live), m.h.waiterCount, m.h.largeCount, m.h.lookups, len(m.h.departures), len(m.h.received)}
			m.h.mu.Unlock()
			for i, n := range open {
				if n > 0 && m.resumed == nil && i != 5 {
					t.Errorf("%s keeps %v after all has ended", m.me.Name, open)
				}
			}
		}
	})
}

func (r *cluster) settle() { time.Sleep(4 * answerTime) }

func (r *cluster) member(name string, start uint64) *member {
	m := &member{r: r, me: wire.Process{Name: name, Start: start}, dead: make(chan struct{}), work: 200 * time.Millisecond, resultSize: 20}
	m.pool = provider.NewPool(provider.Limits{Dial: time.Second, Idle: time.Second, MaxConnections: 8}, slog.New(slog.DiscardHandler))
	var classes []policy.Class
	for i, name := range []string{"safe", "keyed", "unsafe"} {
		classes = append(classes, policy.Class{Name: name, Deadline: deadline, Effect: policy.Effect(i)})
	}
	stored := r.stored(name)
	m.h = New(Config{Stored: stored, Settings: r.settings, Self: m.me, Classes: classes, Next: job.HandlerFunc(m.handle), Pool: m.pool,
		Log: slog.New(slog.NewTextHandler(r, nil)), AnswerTime: answerTime, SettleTime: settleTime})
	m.pool.HandleUnclaimed = m.h.HandleUnclaimed
	r.mu.Lock()
	r.members[name], r.states[name] = m, fleet.Present
	r.mu.Unlock()
	return m
}

// stored opens a member's disk, if it has one.
func (r *cluster) stored(name string) *Stored {
	if r.disks == nil {
		return nil
	}
	if r.disks[name] == nil {
		r.disks[name] = faultfs.New()
	}
	log, found, err := recordlog.Open(recordlog.Options{FS: r.disks[name], MaxBytes: 16 << 20, Log: slog.New(slog.NewTextHandler(r, nil)),
		BootID: "boot", Clock: func() time.Duration { return time.Since(r.began) }})
	if err != nil {
		r.t.Fatal(err)
	}
	return &Stored{log, found}
}

// restart starts a later process of a member that was killed.
func (r *cluster) restart(name string) *member {
	m := r.member(name, r.members[name].me.Start+1)
	m.h.Join(m, m.me)
	return m
}

func (r *cluster) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Write(b)
}

func (r *cluster) logged() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.String()
}

// kill ends a process: it sends nothing more, and the jobs that it carried are lost.
func (m *member) kill() {
	select {
	case <-m.dead:
		return
	default:
	}
	close(m.dead)
	m.h.Disconnect()
}

// pause pauses a process, and delays its messages in both directions, until the returned function is called.
func (m *member) pause() (resume func()) {
	on := make(chan struct{})
	m.r.mu.Lock()
	m.resumed = on
	m.r.mu.Unlock()
	return func() {
		m.r.mu.Lock()
		m.resumed = nil
		m.r.mu.Unlock()
		close(on)
	}
}

func (m *member) resumeSignal() chan struct{} {
	m.r.mu.Lock()
	defer m.r.mu.Unlock()
	return m.resumed
}

// waitWhilePaused waits while the process is paused, and returns false if it is dead.
func (m *member) waitWhilePaused() bool {
	if on := m.resumeSignal(); on != nil {
		select {
		case <-on:
		case <-m.dead:
		}
	}
	select {
	case <-m.dead:
		return false
	default:
		return true
	}
}

func (r *cluster) state(name string, s fleet.State) {
	r.mu.Lock()
	r.states[name] = s
	r.mu.Unlock()
	r.settle()
}

// Send and the four methods after it implement Network.
func (m *member) Send(to string, b []byte) {
	// A bundle is lost as a whole on a real network, but the tests here lose single messages.
	if msg, err := wire.Parse(b); err == nil && msg.Kind == wire.Batch {
		m.r.mu.Lock()
		m.r.bundleCount++
		m.r.mu.Unlock()
		for _, one := range msg.Bundle {
			go m.SendLarge(to, one)
		}
		return
	}
	go m.SendLarge(to, b)
}

func (m *member) SendLarge(to string, b []byte) error {
	if !m.waitWhilePaused() {
		return context.Canceled
	}
	msg, err := wire.Parse(b)
	if err != nil {
		m.r.t.Errorf("a message that cannot be read: %v", err)
	}
	r := m.r
	r.mu.Lock()
	other := r.members[to]
	lost := other == nil || r.random.Float64() < r.lossRate && len(b) <= wire.MaxPacket
	silent := r.dropMessage != nil && r.dropMessage(m.me.Name, to, msg)
	delay := r.delay + time.Duration(r.random.Int64N(int64(r.delay))) // so that packets overtake each other
	r.mu.Unlock()
	time.Sleep(delay)
	if lost || !other.waitWhilePaused() {
		return context.DeadlineExceeded
	}
	if silent { // lost without an error for the sender
		return nil
	}
	other.h.HandleEncoded(b)
	return nil
}

func (m *member) Membership() core.Membership {
	m.r.mu.Lock()
	defer m.r.mu.Unlock()
	g := core.Membership{Majority: true, FleetContacted: true, Leaving: m.leaving}
	for name, o := range m.r.members {
		if s := m.r.states[name]; o.me.Name != m.me.Name && s.MayRun() {
			g.All = append(g.All, core.Candidate{Process: o.me, Reached: s <= fleet.Suspected, Leaving: o.leaving})
		}
	}
	return g
}

func (m *member) OwnerStatus(name string) core.OwnerStatus {
	m.r.mu.Lock()
	defer m.r.mu.Unlock()
	o := m.r.members[name]
	if o == nil {
		return core.OwnerStatus{}
	}
	return core.OwnerStatus{State: m.r.states[name], Process: o.me, Known: true, Self: name == m.me.Name}
}

func (m *member) AnnounceShutdown() {
	m.r.mu.Lock()
	defer m.r.mu.Unlock()
	m.leaving = true
}

// handle is the member's next Handler.
func (m *member) handle(ctx context.Context, j *job.Job) job.Outcome {
	if m.script != nil {
		return m.script(ctx, j)
	}
	past, again := j.Keeper.PastAttempts()
	if n := len(past); again && n > 0 && past[n-1].InFlight {
		time.Sleep(m.callBackDelay)
		return m.await(ctx, j, past)
	}
	if _, err := j.Keeper.BeforeSend("w-" + m.me.Name); err != nil {
		return job.Outcome{Kind: job.Rejected}
	}
	return m.attempt(ctx, j, past)
}

// attempt makes an attempt that takes the time of work.
func (m *member) attempt(ctx context.Context, j *job.Job, past []job.PastAttempt) job.Outcome {
	call := fmt.Sprintf("%s by %s", j.ID, m.me.Name)
	m.r.mu.Lock()
	m.r.attempts = append(m.r.attempts, call)
	m.r.mu.Unlock()
	sent := time.Now()
	select {
	case <-time.After(m.work):
	case <-ctx.Done():
		return job.Outcome{Kind: job.Gone}
	case <-m.pool.HandoverContext().Done():
		return job.Outcome{Kind: job.Moved, PastAttempts: append(past, job.PastAttempt{Provider: "w-" + m.me.Name, Sent: sent, InFlight: true})}
	case <-m.dead:
		return job.Outcome{}
	}
	if !m.waitWhilePaused() {
		return job.Outcome{}
	}
	return job.Outcome{Kind: job.Served, Result: fmt.Appendf(nil, "%-*s", m.resultSize, call)}
}

// await waits for the end of an attempt of an earlier process.
func (m *member) await(ctx context.Context, j *job.Job, past []job.PastAttempt) job.Outcome {
	if m.pool.Reserve(j.ID, 0) != nil {
		return job.Outcome{Kind: job.Invalid}
	}
	defer m.pool.Unreserve(j.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(m.pool.HandoverContext(), cancel)()
	end, result := m.pool.AwaitAttempt(j, 0, dispatch.Verdict{Provider: past[len(past)-1].Provider, Until: time.Now().Add(j.TimeLeft), Context: ctx},
		func(dispatch.ProviderReport) {})
	switch end {
	case dispatch.Served:
		return job.Outcome{Kind: job.Served, Result: result}
	case provider.Moved:
		return job.Outcome{Kind: job.Moved, PastAttempts: past}
	}
	return job.Outcome{Kind: job.Failed}
}

// request requests a job at a scheduler, in the background.
func (r *cluster) request(at, id string, class int, body string) *pendingRequest {
	return r.requestJob(at, &job.Job{ID: id, Class: class, ClassName: []string{"safe", "keyed", "unsafe"}[class], TimeLeft: deadline, Payload: []byte(body)})
}

func (r *cluster) requestJob(at string, j *job.Job) *pendingRequest {
	a := &pendingRequest{done: make(chan struct{})}
	m := r.members[at]
	began := time.Now()
	go func() {
		a.out = m.h.Handle(context.Background(), j)
		a.took = time.Since(began)
		close(a.done)
	}()
	return a
}

type pendingRequest struct {
	done chan struct{}
	out  job.Outcome
	took time.Duration
}

func (a *pendingRequest) outcome() job.Outcome {
	<-a.done
	return a.out
}

// wantOutcome waits for the outcome and fails the test, with a description of the request, if it is not of a kind.
func (r *cluster) wantOutcome(a *pendingRequest, kind job.Kind, wantRetry bool, what string, args ...any) job.Outcome {
	r.t.Helper()
	out := a.outcome()
	if out.Kind != kind || (out.RetryAfter > 0) != wantRetry {
		r.t.Errorf("%s: %v %q, ask again in %v after %v; want %v, ask again %v", fmt.Sprintf(what, args...), out.Kind, out.Result, out.RetryAfter,
			a.took, kind, wantRetry)
	}
	if a.took > deadline+answerSlack {
		r.t.Errorf("%s: answered after %v", fmt.Sprintf(what, args...), a.took)
	}
	return out
}

// attemptCount returns the number of attempts made for a job.
func (r *cluster) attemptCount(id string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.attempts {
		if len(c) > len(id) && c[:len(id)+1] == id+" " {
			n++
		}
	}
	return n
}
