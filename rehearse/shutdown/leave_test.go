package shutdown

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	leaveLimit  = 100 * time.Millisecond // from a client's leave on, in which an attempt may still begin
	leaveSlack  = 25 * time.Millisecond  // for the way of the attempt, and the system's count of the time since
	leavers     = 60                     // clients
	leavesFor   = 2500 * time.Millisecond
	leaveAfter  = 260 * time.Millisecond // at the latest
	standsStill = 150 * time.Millisecond // the scheduler, now and then
)

// leave is one request whose client left before its answer came.
type leave struct {
	id   string
	how  string
	left time.Time
}

// ways are the ways in which a client leaves.
var ways = []struct {
	name string
	end  func(c *conn)
}{
	{"closes", func(c *conn) { c.Close() }},
	{"resets", func(c *conn) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() }},
	{"closes with more requests behind", func(c *conn) { fmt.Fprint(c, "GET /"); c.Close() }},
}

// No attempt begins more than 0.1 s after its client has left, whatever workers do, whether the scheduler ends, and also if it stands
// still just as its client leaves.
func TestNoAttemptForAClientThatHasLeft(t *testing.T) {
	for _, p := range plays {
		for _, held := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/held up %t", p.name, held), func(t *testing.T) {
				t.Parallel()
				p.leave(t, held)
			})
		}
	}
}

func (p play) leave(t *testing.T, held bool) {
	r := newRig(t, playWorkers, 5*time.Second)
	for i, w := range r.workers {
		if i%p.every == 0 {
			w.hang(p.mode)
		}
	}
	var mu sync.Mutex
	var left []leave
	var running sync.WaitGroup
	until := time.Now().Add(leavesFor)
	for number := range leavers {
		rng := rand.New(rand.NewPCG(1, uint64(number)))
		running.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				if l, ok := r.askAndLeave(fmt.Sprintf("l%d-%d", number, n), rng); ok {
					mu.Lock()
					left = append(left, l)
					mu.Unlock()
				}
			}
		})
	}
	for held && time.Now().Before(until) {
		time.Sleep(2 * standsStill)
		r.signal(syscall.SIGSTOP)
		time.Sleep(standsStill)
		r.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Until(until) - leaveAfter)
	r.terminate(false)
	running.Wait()
	late, forwarded := 0, 0
	for _, l := range left {
		last, ok := r.forwardedLast(l.id)
		if !ok {
			continue
		}
		forwarded++
		if since := last.at.Sub(l.left); since > leaveLimit+leaveSlack {
			late++
			t.Errorf("%s: its client %s, and an attempt began %v later", l.id, l.how, since)
		}
	}
	if forwarded == 0 {
		t.Error("nothing was forwarded")
	}
	t.Logf("%d of %d were forwarded, %d too late", forwarded, len(left), late)
}

// askAndLeave sends a job and leaves after a moment. ok is false if the scheduler does not take connections.
func (r *rig) askAndLeave(id string, rng *rand.Rand) (l leave, ok bool) {
	c, err := r.dial()
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return leave{}, false
	}
	if c.send(id, r.classes[rng.IntN(len(r.classes))]) != nil {
		c.Close()
		return leave{}, false
	}
	time.Sleep(time.Duration(rng.Int64N(int64(leaveAfter))))
	way := ways[rng.IntN(len(ways))]
	way.end(c)
	return leave{id: id, how: way.name, left: time.Now()}, true
}
