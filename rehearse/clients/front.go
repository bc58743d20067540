package clients

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"laddertide/core/traffic"
)

// Front configures the emulated load balancer before the schedulers.
type Front struct {
	Poll   time.Duration    // interval of health polls; 0: 250 ms
	Notice [2]time.Duration // range of the time until a failing scheduler is noticed; zero: 0.86 to 3.9 s
	Leave  [2]time.Duration // range of the time until a scheduler that was sent SIGTERM gets no new connections; zero: 0.2 to 0.4 s
}

// pollTimeout is the timeout of a health poll. It is below the shortest Notice.
const pollTimeout = 800 * time.Millisecond

// front distributes clients over the schedulers of their zone.
type front struct {
	runner     *runner
	cfg        Front
	goroutines sync.WaitGroup

	mu       sync.Mutex
	chance   *rand.Rand
	views    []schedulerView
	rotation map[string]int
}

// schedulerView is the front's view of a scheduler.
type schedulerView struct {
	admitted bool
	failing  bool
	removeAt time.Duration // when the front notices, if the failure persists

	leaving     bool
	closedAt    time.Duration // when it stops getting new connections
	leavingLife int           // number of the process that is leaving
	pollFailed  bool          // a poll has failed since
}

func newFront(k *runner) *front {
	f := &front{runner: k, cfg: k.Front, chance: traffic.RandomStream(k.Seed, "front"), rotation: make(map[string]int),
		views: make([]schedulerView, len(k.Schedulers))}
	if f.cfg.Poll <= 0 {
		f.cfg.Poll = 250 * time.Millisecond
	}
	if f.cfg.Notice == [2]time.Duration{} {
		f.cfg.Notice = [2]time.Duration{860 * time.Millisecond, 3900 * time.Millisecond}
	}
	if f.cfg.Leave == [2]time.Duration{} {
		f.cfg.Leave = [2]time.Duration{200 * time.Millisecond, 400 * time.Millisecond}
	}
	return f
}

// draw draws a duration from a range. The caller holds mu.
func (f *front) draw(between [2]time.Duration) time.Duration {
	return between[0] + time.Duration(f.chance.Float64()*float64(between[1]-between[0]))
}

// run starts the polls of all schedulers, which last until ctx ends. It returns when each has been polled once, or at Start at
// the latest if that is set.
func (f *front) run(ctx context.Context, terms <-chan int) {
	var first sync.WaitGroup
	for i := range f.views {
		first.Add(1)
		f.goroutines.Go(func() {
			f.poll(ctx, i)
			first.Done()
			for f.runner.sleep(f.cfg.Poll) {
				f.poll(ctx, i)
			}
		})
	}
	if terms != nil {
		f.goroutines.Go(func() {
			for {
				select {
				case i, ok := <-terms:
					if !ok {
						return
					}
					if i >= 0 && i < len(f.views) {
						f.markLeaving(i)
					}
				case <-ctx.Done():
					return
				}
			}
		})
	}
	looked := make(chan struct{})
	f.goroutines.Go(func() { first.Wait(); close(looked) })
	if f.runner.Start > 0 {
		timer := time.NewTimer(f.runner.Start - f.runner.Record.Since())
		defer timer.Stop()
		select {
		case <-looked:
		case <-timer.C:
		}
		return
	}
	<-looked
}

func (f *front) wait() { f.goroutines.Wait() }

// markLeaving notes that a scheduler has been sent SIGTERM.
func (f *front) markLeaving(i int) {
	life := f.runner.ProcessNumber(i)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.views[i]
	s.leaving, s.pollFailed, s.leavingLife = true, false, life
	s.closedAt = f.runner.Record.Since() + f.draw(f.cfg.Leave)
}

// poll polls a scheduler's health, on a connection of its own.
func (f *front) poll(ctx context.Context, i int) {
	began, life := f.runner.Record.Since(), f.runner.ProcessNumber(i)
	ok := healthy(ctx, f.runner.Schedulers[i].Address, f.runner.Host)
	ok = ok && life == f.runner.ProcessNumber(i)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.views[i]
	f.noticeFailure(s)
	if !ok {
		s.pollFailed = true
		if !s.failing {
			s.failing, s.removeAt = true, began+f.draw(f.cfg.Notice)
		}
		return
	}
	s.failing = false
	if s.leaving && (life > s.leavingLife || s.pollFailed) {
		s.leaving = false
	}
	s.admitted = s.admitted || !s.leaving
}

// noticeFailure removes a scheduler whose failure the front is due to notice. The caller holds mu.
func (f *front) noticeFailure(s *schedulerView) {
	if s.failing && f.runner.Record.Since() >= s.removeAt {
		s.admitted = false
	}
}

// pick returns the scheduler for the next client of a zone. A leaving scheduler is picked only if it still has an idle
// connection. It returns false if there is no scheduler.
func (f *front) pick(zone string, except func(int) bool) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []int
	for i := range f.views {
		s := &f.views[i]
		f.noticeFailure(s)
		if !s.admitted || f.pastLeave(s) && !f.runner.endpoints[i].hasIdle() || except(i) {
			continue
		}
		if f.runner.Schedulers[i].Zone == zone {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return 0, false
	}
	f.rotation[zone]++
	return near[f.rotation[zone]%len(near)], true
}

func (f *front) pastLeave(s *schedulerView) bool {
	return s.leaving && f.runner.Record.Since() >= s.closedAt
}

// isLeaving reports whether a scheduler was sent SIGTERM and has not been admitted again since.
func (f *front) isLeaving(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.views[i].leaving
}

// healthy reports whether GET /_health is answered 200 in time.
func healthy(ctx context.Context, address, host string) bool {
	dialer := net.Dialer{Timeout: pollTimeout, KeepAlive: -1}
	deadline := time.Now().Add(pollTimeout)
	nc, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(deadline)
	if _, err := io.WriteString(nc, "GET /_health HTTP/1.1\r\nHost: "+host+"\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(nc, maxAnswer)), nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// closedTo reports whether a scheduler gets no new connections, as it is leaving.
func (f *front) closedTo(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pastLeave(&f.views[i])
}
