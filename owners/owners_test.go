package owners

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"laddertide/core/fleet"
	"laddertide/job"
	"laddertide/provider"
	wire "laddertide/wire/owners"
)

// Requests for one job arrive at several schedulers at the same time, over links that lose a fifth of all packets: there is one
// attempt and one answer.
func TestConcurrentRequests(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		clusterTest(t, 5, func(r *cluster) { r.lossRate = loss }, func(r *cluster) {
			for i := range 60 {
				id, class := fmt.Sprint("j", i), keyed+i%2
				var all []*pendingRequest
				for k := range 2 + i%2 {
					all = append(all, r.request(string(rune('a'+(i+k)%5)), id, class, "x"))
				}
				var results []string
				for _, a := range all {
					for tries := 0; ; tries++ {
						out := a.outcome()
						if out.Kind == job.Served {
							results = append(results, string(out.Result))
							break
						}
						if out.Kind != job.Rejected && out.RetryAfter == 0 || tries == 10 || loss == 0 {
							t.Errorf("%s: %v after %v", id, out.Kind, a.took)
							break
						}
						time.Sleep(out.RetryAfter)
						a = r.request(string(rune('a'+i%5)), id, class, "x")
					}
				}
				for _, s := range results {
					if s != results[0] {
						t.Errorf("%s has two answers: %q, %q", id, s, results[0])
					}
				}
				if n := r.attemptCount(id); n != 1 {
					t.Errorf("%s: %d attempts", id, n)
				}
			}
		})
	}
}

// Requests that repeat a job at other schedulers are joined while it runs, and answered from the record or by its owner after its
// end. A request for another job with the same ID learns nothing of its result.
func TestRepeatedRequests(t *testing.T) {
	for _, size := range []int{20, 700, 50_000} {
		clusterTest(t, 5, nil, func(r *cluster) {
			for class := safe; class <= unsafe; class++ {
				id := fmt.Sprint("j", class)
				r.members["a"].resultSize, r.members["a"].work = size, time.Second
				first := r.request("a", id, class, "x")
				time.Sleep(answerTime)
				stranger := r.request("b", id, class, "y")
				time.Sleep(r.delay / 2)
				r.wantOutcome(r.request("b", id, class, "x"), job.Failed, true, "while it is undecided which of two has the ID")
				r.wantOutcome(stranger, job.Conflict, false, "another body")
				var joined, other []*pendingRequest
				for name := range r.members {
					joined = append(joined, r.request(name, id, class, "x"))
				}
				time.Sleep(answerTime)
				for name := range r.members {
					other = append(other, r.request(name, id, class, "y"))
				}
				want := string(r.wantOutcome(first, job.Served, false, "%s", id).Result)
				for _, a := range joined {
					if got := string(r.wantOutcome(a, job.Served, false, "%s, asked again", id).Result); got != want {
						t.Errorf("two answers: %q, %q", got, want)
					}
					if a.took > time.Second-answerTime+4*answerTime/10 {
						t.Errorf("%s: a joined client is answered after %v", id, a.took)
					}
				}
				for _, a := range other {
					if out := r.wantOutcome(a, job.Conflict, false, "%s with another body", id); out.Result != nil {
						t.Error("the other job's result is given out")
					}
				}
				if size < wire.MaxRecordResult { // its owner is no longer needed
					r.members["a"].kill()
					r.state("a", fleet.Unreachable)
				}
				for _, name := range []string{"b", "c", "d", "e"} {
					if got := string(r.wantOutcome(r.request(name, id, class, "x"), job.Served, false, "%s, asked after its end", id).Result); got != want {
						t.Errorf("two answers: %q, %q", got, want)
					}
				}
				if n := r.attemptCount(id); n != 1 && class != safe {
					t.Errorf("%d attempts", n)
				}
				if size < wire.MaxRecordResult {
					r.member("a", uint64(class+2))
					r.members["a"].h.Join(r.members["a"], r.members["a"].me)
					r.settle()
				}
			}
		})
	}
}

// A silent owner costs one time-out, and an owner without room for a question costs none; neither counts as the end of another
// scheduler's job.
func TestSilentAndBusyOwners(t *testing.T) {
	clusterTest(t, 4, func(r *cluster) { r.settings.MaxWaiters = 1 }, func(r *cluster) {
		r.members["a"].work = 3 * time.Second
		first := r.request("a", "j", unsafe, "x")
		time.Sleep(answerTime)
		waiting := r.request("b", "j", unsafe, "x")
		time.Sleep(answerTime)
		busy := r.request("c", "j", unsafe, "x")
		if r.wantOutcome(busy, job.Failed, true, "no room"); busy.took > answerTime {
			t.Errorf("the refusal takes %v", busy.took)
		}
		resume := r.members["a"].pause()
		silent := r.request("d", "j", unsafe, "x")
		if r.wantOutcome(silent, job.Failed, true, "silent"); silent.took < 2*answerTime || silent.took > 4*answerTime {
			t.Errorf("a silent owner costs %v", silent.took)
		}
		r.wantOutcome(waiting, job.Failed, true, "its owner is silent")
		resume()
		r.wantOutcome(first, job.Served, false, "the owner")
		if n := r.attemptCount("j"); n != 1 {
			t.Errorf("%d attempts", n)
		}
	})
}

// 2000 requests wait for jobs of one owner, which is paused: all are answered in time, and they leave nothing behind.
func TestManyWaiters(t *testing.T) {
	const n = 2000
	clusterTest(t, 3, func(r *cluster) { r.settings.MaxWaiters = n / 2 }, func(r *cluster) {
		r.members["a"].work = 2 * time.Second
		before := runtime.NumGoroutine()
		var first, waits []*pendingRequest
		for i := range n {
			first = append(first, r.request("a", fmt.Sprint("j", i), keyed, "x"))
		}
		time.Sleep(answerTime)
		for i := range n {
			waits = append(waits, r.request("b", fmt.Sprint("j", i), keyed, "x"))
		}
		time.Sleep(answerTime)
		if got := r.members["a"].h.Counts().Waiters; got != n/2 {
			t.Errorf("%d questions wait", got)
		}
		resume := r.members["a"].pause()
		for _, a := range waits {
			if r.wantOutcome(a, job.Failed, true, "a question"); a.took > 10*answerTime {
				t.Errorf("answered after %v", a.took)
			}
		}
		resume()
		for _, a := range first {
			r.wantOutcome(a, job.Served, false, "a job")
		}
		time.Sleep(10 * time.Second)
		if now := runtime.NumGoroutine(); now > before+n/100 {
			t.Errorf("%d goroutines before, %d now", before, now)
		}
	})
}

// The owner dies after the first byte of its attempts. A job that may run twice, or twice within its group, is taken over with its
// attempts; a job that must not run twice waits until its time is over, or until an event of its provider ends it.
func TestOwnerDies(t *testing.T) {
	clusterTest(t, 5, nil, func(r *cluster) {
		r.members["a"].work = time.Hour
		for class := safe; class <= unsafe; class++ {
			r.request("a", fmt.Sprint("j", class), class, "x")
		}
		time.Sleep(answerTime)
		r.members["a"].kill()
		r.state("a", fleet.Unreachable)
		r.mu.Lock()
		r.dropMessage = func(_, _ string, m *wire.Message) bool { return m.Kind == wire.Put && m.Record.Term == 2 }
		r.mu.Unlock()
		r.wantOutcome(r.request("b", "j1", keyed, "x"), job.Failed, true, "too few keepers acknowledge the takeover, and it may have run")
		r.mu.Lock()
		r.dropMessage = nil
		r.mu.Unlock()
		var again [3]*pendingRequest
		for class := range again {
			again[class] = r.request("b", fmt.Sprint("j", class), class, "x")
		}
		r.wantOutcome(again[unsafe], job.Failed, true, "a job that never runs twice")
		time.Sleep(10 * answerTime)
		for class := safe; class <= keyed; class++ {
			ev := provider.Event{ID: fmt.Sprint("j", class), Provider: "w-a", State: provider.Done, Result: []byte("r")}
			if err := r.members["b"].pool.HandleEvent(ev); err != nil {
				t.Error(err)
			}
			if out := r.wantOutcome(again[class], job.Served, false, "class %d", class); string(out.Result) != "r" {
				t.Errorf("%q", out.Result)
			}
			if n := r.attemptCount(fmt.Sprint("j", class)); n != 1 && class != safe {
				t.Errorf("class %d: %d attempts", class, n)
			}
		}
		// A later process of the name receives an event that its provider repeats because nobody had acknowledged it.
		r.member("a", 2)
		r.members["a"].h.Join(r.members["a"], r.members["a"].me)
		r.state("a", fleet.Present)
		if err := r.members["a"].pool.HandleEvent(provider.Event{ID: "j2", Provider: "w-x", State: provider.Done, Result: []byte("x")}); err != nil {
			t.Error(err)
		}
		r.wantOutcome(r.request("c", "j2", unsafe, "x"), job.Failed, true, "after an event of a provider that never had it")
		if err := r.members["a"].pool.HandleEvent(provider.Event{ID: "j2", Provider: "w-a", State: provider.Done, Result: []byte("r")}); err != nil {
			t.Error(err)
		}
		for name := range r.members {
			if out := r.wantOutcome(r.request(name, "j2", unsafe, "x"), job.Served, false, "found"); string(out.Result) != "r" {
				t.Errorf("%q", out.Result)
			}
		}
		// A job without any event fails finally when its time is over.
		r.members["d"].work = time.Hour
		r.request("d", "late", unsafe, "x")
		time.Sleep(answerTime)
		r.members["d"].kill()
		r.state("d", fleet.Left)
		r.wantOutcome(r.request("b", "late", unsafe, "x"), job.Failed, true, "while it has time")
		time.Sleep(deadline)
		r.wantOutcome(r.request("c", "late", unsafe, "x"), job.Failed, false, "after its time")
	})
}

// A scheduler that is stopped hands its open jobs over with their attempts. A provider's event that it receives reaches the new
// owner, even if it comes too early, or twice; any request finds the job.
func TestHandOver(t *testing.T) {
	for _, silent := range []bool{false, true} {
		clusterTest(t, 5, func(r *cluster) { r.delay = 10 * time.Millisecond }, func(r *cluster) {
			for _, m := range r.members {
				m.callBackDelay = 2 * answerTime
			}
			a := r.members["a"]
			a.work = time.Hour
			first := make([]*pendingRequest, 3)
			for class := range first {
				first[class] = r.request("a", fmt.Sprint("j", class), class, "x")
			}
			time.Sleep(answerTime)
			successors := make(map[string]bool)
			r.mu.Lock()
			r.dropMessage = func(from, to string, m *wire.Message) bool {
				if m.Kind == wire.HandOver {
					successors[to] = true
				}
				return silent && (m.Kind == wire.HandOver || m.Kind == wire.Reply && to == "a" && successors[from] && m.Record == nil && m.Roster == 0)
			}
			r.mu.Unlock()
			a.h.Stop(time.Now().Add(6 * answerTime))
			time.Sleep(2 * answerTime)
			if silent {
				for class, ask := range first {
					r.wantOutcome(ask, job.Failed, class != 0 || ask.outcome().RetryAfter > 0, "its successor does not reply")
				}
				r.mu.Lock()
				r.dropMessage = nil
				r.mu.Unlock()
				r.wantOutcome(r.request("b", "j2", unsafe, "x"), job.Failed, true, "its owner is not known")
				if n := r.attemptCount("j2"); n != 1 {
					t.Errorf("%d attempts", n)
				}
				return
			}
			result := strings.Repeat("r", 5000)
			for class, ask := range first {
				id := fmt.Sprint("j", class)
				r.wantOutcome(ask, job.Failed, true, "handed over")
				again := r.request("b", id, class, "x")
				for tries := 0; a.pool.HandleEvent(provider.Event{ID: id, Provider: "w-a", State: provider.Done, Result: []byte(result)}) != nil; tries++ {
					if tries == 20 {
						t.Fatal("its provider's event is never acknowledged")
					}
					time.Sleep(answerTime)
				}
				a.pool.HandleEvent(provider.Event{ID: id, Provider: "w-a", State: provider.Done, Result: []byte(result)})
				if out := r.wantOutcome(again, job.Served, false, "%s", id); string(out.Result) != result {
					t.Errorf("%s: %q", id, out.Result)
				}
				if n := r.attemptCount(id); n != 1 && class != safe {
					t.Errorf("%s: %d attempts", id, n)
				}
			}
			r.wantOutcome(r.request("a", "late", unsafe, "x"), job.Rejected, true, "one that arrives during the handover")
			a.h.AwaitNewRoster()
		})
	}
}

// Jobs that were handed over are remembered for as long as records count, but no more of them than the limit of records.
func TestDeparturesExpire(t *testing.T) {
	clusterTest(t, 1, func(r *cluster) { r.settings.MaxRecords = 16 }, func(r *cluster) {
		h := r.members["a"].h
		h.mu.Lock()
		defer h.mu.Unlock()
		for i := range 100 {
			h.addDeparture(fmt.Sprint("j", i), wire.Process{Name: "b", Start: 1})
		}
		if len(h.handedTo) != 16 || len(h.departures) != 16 || h.departedTo("j99").Name != "b" {
			t.Errorf("%d, %d are known", len(h.handedTo), len(h.departures))
		}
		h.mu.Unlock()
		time.Sleep(deadline + keepTime)
		h.mu.Lock()
		if to := h.departedTo("j99"); to.Name != "" || len(h.handedTo)+len(h.departures) > 0 {
			t.Errorf("%d are known after that", len(h.handedTo))
		}
	})
}

// An owner that was paused sends nothing, and gives no answer of its own, after another scheduler has taken its job over.
func TestPausedOwner(t *testing.T) {
	for _, sent := range []bool{false, true} {
		clusterTest(t, 5, nil, func(r *cluster) {
			a := r.members["a"]
			refused := make(chan error, 2)
			a.script = func(ctx context.Context, j *job.Job) job.Outcome {
				if sent {
					if _, err := j.Keeper.BeforeSend("w-a"); err != nil {
						t.Error(err)
					}
				}
				if sent {
					return a.await(ctx, j, []job.PastAttempt{{Provider: "w-a", InFlight: true}})
				}
				time.Sleep(2 * settleTime)
				a.waitWhilePaused()
				_, err := j.Keeper.BeforeSend("w-a")
				refused <- err
				return job.Outcome{Kind: job.Rejected}
			}
			first := r.request("a", "j", keyed, "x")
			time.Sleep(answerTime)
			resume := a.pause()
			r.state("a", fleet.Unreachable)
			again := r.request("b", "j", keyed, "x")
			if sent { // the provider repeats its event to the sender of the attempt until it is acknowledged
				time.Sleep(settleTime)
				go func() {
					a.waitWhilePaused()
					for a.pool.HandleEvent(provider.Event{ID: "j", Provider: "w-a", State: provider.Done, Result: []byte("r")}) != nil {
						time.Sleep(answerTime)
					}
				}()
				resume()
			}
			want := string(r.wantOutcome(again, job.Served, false, "taken over elsewhere").Result)
			time.Sleep(settleTime)
			if !sent {
				resume()
			}
			r.state("a", fleet.Present)
			if got := string(r.wantOutcome(first, job.Served, false, "at the paused owner").Result); got != want {
				t.Errorf("two answers: %q, %q", got, want)
			}
			if !sent {
				if err := <-refused; err == nil {
					t.Error("the paused owner may still send")
				}
			}
			if n := r.attemptCount("j"); !sent && n != 1 {
				t.Errorf("%d attempts", n)
			}
		})
	}
}

// A scheduler takes over another one's job, of which an attempt was made, and its next Handler rejects it: the job then fails, for
// all clients, as the attempt may have run.
func TestRejectionAfterTakeover(t *testing.T) {
	clusterTest(t, 5, nil, func(r *cluster) {
		a, b := r.members["a"], r.members["b"]
		a.work = settleTime
		b.script = func(context.Context, *job.Job) job.Outcome {
			time.Sleep(2 * settleTime)
			return job.Outcome{Kind: job.Rejected}
		}
		first := r.request("a", "j", keyed, "x")
		time.Sleep(answerTime)
		resume := a.pause()
		r.state("a", fleet.Unreachable)
		again := r.request("b", "j", keyed, "x")
		time.Sleep(settleTime)
		resume()
		r.state("a", fleet.Present)
		r.wantOutcome(again, job.Failed, false, "given up")
		r.wantOutcome(first, job.Failed, false, "at its first owner")
		if r.wantOutcome(r.request("c", "j", keyed, "x"), job.Failed, false, "elsewhere"); r.attemptCount("j") != 1 {
			t.Errorf("%d attempts", r.attemptCount("j"))
		}
	})
}

// A claim counts as dropped only if nothing of it was or will be sent.
func TestDroppedClaims(t *testing.T) {
	clusterTest(t, 1, nil, func(r *cluster) {
		h := r.members["a"].h
		h.mu.Lock()
		defer h.mu.Unlock()
		e := h.newEntry(&job.Job{ID: "j", Class: unsafe}, [16]byte{}, time.Now())
		delete(h.live, "j")
		taking := e.record
		for what, c := range map[string]struct {
			e     *entry
			owner wire.Process
			never bool
		}{
			"dropped, the job open":   {&entry{effect: unsafe}, h.me, true},
			"dropped, the job ended":  {nil, h.me, true},
			"put":                     {&entry{record: taking, recorded: true}, h.me, false},
			"carried":                 {&entry{effect: unsafe, started: true}, h.me, false},
			"of the previous process": {&entry{inherited: true}, h.me, false},
			"another process's":       {nil, wire.Process{Name: "a", Start: 7}, false},
		} {
			rec := taking
			if rec.Owner = c.owner; h.isDroppedClaim(c.e, &rec) != c.never {
				t.Errorf("%s: dropped is %v", what, !c.never)
			}
		}
		h.forgottenNonce = taking.Nonce
		if h.isDroppedClaim(nil, &taking) {
			t.Error("a claim counts as dropped that may have been forgotten")
		}
	})
}

// A job is rejected with nothing sent. If it may run twice it can be taken by another scheduler: at once if its keepers receive the
// drop, else after asking its owner. If it must not run twice it is rejected for all clients, as some may have asked before.
func TestRejectedJobsAreDropped(t *testing.T) {
	for _, lost := range []bool{false, true} {
		clusterTest(t, 5, nil, func(r *cluster) {
			lose := func(_, _ string, m *wire.Message) bool { return lost && m.Kind == wire.Drop }
			r.members["a"].script = func(context.Context, *job.Job) job.Outcome { return job.Outcome{Kind: job.Rejected} }
			for _, at := range []string{"b", "a"} {
				r.mu.Lock()
				r.dropMessage = lose
				r.mu.Unlock()
				r.wantOutcome(r.request("a", "u"+at, unsafe, "x"), job.Rejected, false, "at first")
				r.wantOutcome(r.request(at, "u"+at, unsafe, "x"), job.Rejected, false, "one that must not run twice, again at %s", at)
				r.wantOutcome(r.request("a", "j"+at, safe, "x"), job.Rejected, false, "at first")
				if time.Sleep(answerTime / 10); lost {
					time.Sleep(3 * answerTime)
				}
				r.mu.Lock()
				r.dropMessage = nil
				r.mu.Unlock()
				if at == "a" {
					r.members["a"].script = nil
				}
				r.wantOutcome(r.request(at, "j"+at, safe, "x"), job.Served, false, "again at %s, drops lost: %v", at, lost)
				if n, never := r.attemptCount("j"+at), r.attemptCount("u"+at); n == 0 || never != 0 {
					t.Errorf("%d and %d attempts", n, never)
				}
			}
		})
	}
}

// Without room for records, jobs that must not run twice are rejected, and that is logged once a minute; jobs that may run twice go
// on.
func TestFullTable(t *testing.T) {
	clusterTest(t, 3, func(r *cluster) { r.settings.MaxRecords = 16 }, func(r *cluster) {
		refused := 0
		for i := range 40 {
			if r.request("a", fmt.Sprint("j", i), unsafe, "x").outcome().Kind == job.Rejected {
				refused++
			}
		}
		if refused != 40-16 || r.attemptCount("j39") != 0 {
			t.Errorf("%d of 40 are rejected", refused)
		}
		if n := strings.Count(r.logged(), "no room for records"); n == 0 || n > 2*3 {
			t.Errorf("logged %d times by three schedulers in less than two minutes", n)
		}
		r.wantOutcome(r.request("a", "s", safe, "x"), job.Served, false, "one that may run twice")
		time.Sleep(keepTime + deadline)
		r.wantOutcome(r.request("a", "after", unsafe, "x"), job.Served, false, "when there is room again")
	})
}

// A panic in the next Handler fails one job only, whether the job was requested here or handed over.
func TestPanic(t *testing.T) {
	clusterTest(t, 3, nil, func(r *cluster) {
		for _, m := range r.members {
			m.script = func(context.Context, *job.Job) job.Outcome { panic("x") }
		}
		r.wantOutcome(r.request("a", "j", unsafe, "x"), job.Failed, false, "a panic")
		r.wantOutcome(r.request("b", "j", unsafe, "x"), job.Failed, false, "asked again")
		a := r.members["a"]
		a.script, a.work = nil, time.Hour
		first := r.request("a", "k", unsafe, "x")
		time.Sleep(answerTime)
		a.h.Stop(time.Now().Add(4 * answerTime))
		r.wantOutcome(first, job.Failed, true, "handed over")
		r.wantOutcome(r.request("b", "k", unsafe, "x"), job.Failed, false, "a panic at the successor's")
	})
}

// A scheduler's process is replaced by another one in an upgrade, with jobs open, questions waiting and answers retained.
func TestUpgrade(t *testing.T) {
	clusterTest(t, 4, nil, func(r *cluster) {
		a := r.members["a"]
		r.wantOutcome(r.request("a", "before", unsafe, "x"), job.Served, false, "before")
		a.work = time.Hour
		ids := []string{"j0", "j1", "j2"}
		for class, id := range ids {
			r.request("a", id, class, "x")
		}
		time.Sleep(answerTime)
		var waits []*pendingRequest
		for class, id := range ids {
			waits = append(waits, r.request("b", id, class, "x"))
		}
		time.Sleep(answerTime)
		state := a.h.State()
		a.kill()
		me := a.me
		next := r.member("a", 0) // it does not know its start number yet
		next.callBackDelay = answerTime / 4
		var arrived [2 * 3]chan struct{}
		var own []*pendingRequest
		for i := range arrived { // two clients of each job
			arrived[i] = make(chan struct{})
			keeper := job.NewInheritedKeeper([]job.PastAttempt{{Provider: "w-a", Sent: time.Now().Add(-time.Second), InFlight: true}}, func() { close(arrived[i]) })
			own = append(own, r.requestJob("a", &job.Job{ID: ids[i%3], Class: i % 3, ClassName: []string{"safe", "keyed", "unsafe"}[i%3], TimeLeft: deadline,
				Payload: []byte("x"), Keeper: keeper}))
		}
		fresh := r.request("a", "fresh", unsafe, "x") // it arrives before this process has joined the others
		time.Sleep(answerTime / 2)
		for _, c := range arrived {
			select {
			case <-c:
			default:
				t.Error("it is not notified that call-backs are accepted")
			}
		}
		r.mu.Lock()
		next.me = me
		r.mu.Unlock()
		if err := next.h.Resume(state, me); err != nil {
			t.Fatal(err)
		}
		number := func(h *Handler) uint64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.lastQuestion
		}
		if number(next.h) < number(a.h) {
			t.Error("a reply to the previous process can be taken for one to this one")
		}
		next.h.Join(next, me)
		time.Sleep(answerTime / 2)
		again := r.request("d", "fresh", unsafe, "x")
		if err := next.h.Resume([]byte("nonsense"), me); err == nil {
			t.Error("a malformed state is accepted")
		}
		time.Sleep(2 * answerTime)
		for i, id := range ids {
			if err := next.pool.HandleEvent(provider.Event{ID: id, Provider: "w-a", State: provider.Done, Result: []byte(id)}); err != nil {
				t.Error(err)
			}
			for _, a := range []*pendingRequest{own[i], own[i+3], waits[i], r.request("c", id, i, "x")} {
				if out := r.wantOutcome(a, job.Served, false, "%s", id); string(out.Result) != id {
					t.Errorf("%s: %q", id, out.Result)
				}
			}
			if n := r.attemptCount(id); n != 1 && i != safe {
				t.Errorf("%s: %d attempts", id, n)
			}
		}
		r.wantOutcome(fresh, job.Served, false, "one that arrived before it joined the others")
		r.wantOutcome(again, job.Served, false, "the same, elsewhere")
		r.wantOutcome(r.request("d", "before", unsafe, "x"), job.Served, false, "before")
		r.wantOutcome(r.request("a", "before", unsafe, "y"), job.Conflict, false, "before")
		if n := r.attemptCount("fresh") + r.attemptCount("before"); n != 2 {
			t.Errorf("%d attempts", n)
		}
	})
}

// A scheduler that parts while questions are open leaves nobody waiting.
func TestDisconnectWithOpenQuestions(t *testing.T) {
	clusterTest(t, 3, nil, func(r *cluster) {
		a := r.members["a"]
		r.mu.Lock()
		r.dropMessage = func(_, to string, m *wire.Message) bool { return to == "a" }
		r.mu.Unlock()
		job1 := r.request("a", "j", unsafe, "x")
		unclaimed := make(chan error, 1)
		go func() {
			unclaimed <- a.h.HandleUnclaimed(provider.Event{ID: "k", Provider: "w-a", State: provider.Done})
		}()
		time.Sleep(answerTime / 10)
		a.h.Disconnect()
		if err := <-unclaimed; err == nil {
			t.Error("an event that nobody received is acknowledged")
		}
		if r.wantOutcome(job1, job.Failed, true, "a job without any reply of its keepers"); job1.took > 6*answerTime {
			t.Errorf("it takes %v", job1.took)
		}
		r.wantOutcome(r.request("a", "s", safe, "x"), job.Served, false, "one that may run twice")
	})
}

// A scheduler that joins reads the records that it is to keep, in many pieces. Thirty of them are lost at first, and records change
// meanwhile; the remaining members still know all records.
func TestJoiningMemberReadsRecords(t *testing.T) {
	clusterTest(t, 3, nil, func(r *cluster) {
		const n = 4000
		for i := range n {
			for name, m := range r.members {
				if at := i % 3; name != string(rune('a'+at)) {
					m.h.mu.Lock()
					m.h.table.Put(m.h.now(), &wire.Record{ID: fmt.Sprint("j", i), Owner: wire.Process{Name: "z", Start: 1}, Nonce: 1, Term: 1, Rev: 1, TimeLeft: time.Minute,
						Effect: uint8(i % 2), Ended: true, HasOutcome: true, Outcome: wire.Outcome{Kind: uint8(job.Served), Result: make([]byte, 300)}})
					m.h.mu.Unlock()
				}
			}
		}
		lost := 0
		r.mu.Lock()
		r.dropMessage = func(_, _ string, m *wire.Message) bool {
			if m.Kind == wire.RecordsPart && m.Pieces > 1 && lost < 30 && m.Piece%3 == 0 {
				lost++
				return true
			}
			return false
		}
		r.mu.Unlock()
		d := r.member("d", 1)
		d.h.Join(d, d.me)
		for range 4 {
			r.settle()
		}
		records := d.h.Counts().Records
		d.h.mu.Lock()
		defer d.h.mu.Unlock()
		roster, ok := d.h.rosters.Roster()
		missing := 0
		for i := range n {
			if id := fmt.Sprint("j", i); roster.IsKeeper(d.me, id) && d.h.table.Read(d.h.now(), id) == nil {
				missing++
			}
		}
		if !ok || missing > 0 || lost < 30 || records < n/2 {
			t.Errorf("in force %v, %d of %d are missing, %d pieces lost", ok, missing, records, lost)
		}
	})
}

// The time that ownership adds to a job, with 1 to 2 ms between any two schedulers each way: nothing if it may run twice, one round
// trip if it must not, and three if it may run twice within a group, as a majority must receive its claim, its attempt and its end.
func TestRoundTrips(t *testing.T) {
	for keepers := 2; keepers <= 5; keepers++ {
		clusterTest(t, 5, func(r *cluster) { r.settings.Keepers, r.delay = keepers, time.Millisecond }, func(r *cluster) {
			const n = 500
			for class, trips := range []int{safe: 0, keyed: 3, unsafe: 1} {
				var took []time.Duration
				for i := range n {
					a := r.request(string(rune('a'+i%5)), fmt.Sprint("j", class, "-", i), class, "x")
					r.wantOutcome(a, job.Served, false, "class %d", class)
					took = append(took, a.took-200*time.Millisecond)
				}
				slices.Sort(took)
				t.Logf("%d keepers, class %d: p50 %v, p99 %v longer", keepers, class, took[n/2], took[n*99/100])
				if most := time.Duration(trips) * 4 * r.delay; took[n-1] > most {
					t.Errorf("%d keepers, class %d: %v longer, want %v at most", keepers, class, took[n-1], most)
				}
			}
		})
	}
}
