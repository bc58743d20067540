// Package pace says when a scheduler asks discovery: the first time and after calls that failed. It decides nothing of
// what the answers mean, and asks nobody.
package pace

import (
	"math/rand/v2"
	"time"
)

// What costs nothing is asked for at once, and again soon.
const (
	freeFirst = 50 * time.Millisecond
	freeMost  = 2 * time.Second
)

// Pace is the pace of one scheduler.
type Pace struct {
	// Over is the time over which many schedulers spread their calls; 0: calls cost nothing. Those that were killed together
	// start together, and a service that all of them ask at once answers nobody: each call waits behind calls that
	// have been given up by the time of their turn.
	Over time.Duration
	Rand *rand.Rand // never nil

	wait time.Duration
}

// Over is how long many schedulers spread their calls: each of n may take as long as a connection may, and the list is
// to be asked for once in every.
func Over(n int, connection, every time.Duration) time.Duration {
	return min(every, time.Duration(n)*connection)
}

// First is how long to wait before the first call.
func (p *Pace) First() time.Duration { return p.draw(p.Over) }

// Came notes that a call has brought something.
func (p *Pace) Came() { p.wait = 0 }

// Failed is how long to wait before the next call: longer each time, and never in step with the others. A paid call that
// failed shows a service that is asked too much: its repeats are spread over as much time as the first ones, then over
// twice and four times of it.
func (p *Pace) Failed() time.Duration {
	first, most := freeFirst, freeMost
	if p.Over > 0 {
		first, most = p.Over, 4*p.Over
	}
	p.wait = min(max(2*p.wait, first), most)
	return p.wait/2 + p.draw(p.wait)
}

func (p *Pace) draw(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(p.Rand.Int64N(int64(d)))
}
