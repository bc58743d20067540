// Package pollschedule says when a scheduler asks discovery, and for how long it waits for an answer. It decides nothing of what
// the answers mean, and asks nobody.
package pollschedule

import (
	"math/rand/v2"
	"time"
)

// Whatever discovery has to tell counts as told this long after discovery had it and could be reached, whatever a scheduler
// was waiting for by then; and so soon after an order to ask another discovery. All other times follow from these two.
const (
	NotifyLimit     = 6 * time.Second
	MoveNotifyLimit = 4 * time.Second
)

const (
	beat  = 2 * time.Second // a watch that has nothing to tell sends an empty line that often
	quick = time.Second     // a connection, a question and its answer, where discovery can be reached and all are busy

	// SilenceLimit is how long a watch may be silent: a line may be late by most of the time between two. Past this the
	// connection is held for dead, as the network never says so.
	SilenceLimit = beat + beat*3/4
	// CallLimit is the most that a call may take, from its connection to the end of its answer: half of the time for what may
	// have been asked in vain, when discovery returns, and half for asking again.
	CallLimit = NotifyLimit / 2

	// What costs nothing is asked for at once, and again soon.
	freeFirst = 50 * time.Millisecond
	freeMost  = 2 * time.Second
)

// Schedule is when one scheduler polls discovery.
type Schedule struct {
	// Over is the time over which many schedulers spread their calls; 0: calls cost nothing. Those that were killed together
	// start together, and a service that all of them ask at once answers nobody: each call waits behind calls that
	// have been given up by the time of their turn.
	Over time.Duration
	By   time.Duration // from the start to the first list; 0: NotifyLimit
	Rand *rand.Rand    // never nil

	wait time.Duration
}

// Spread is how long many schedulers spread their calls: each of n may take as long as a connection may, and the list is
// to be asked for once in every. It leaves a call its time before the list must be there.
func Spread(n int, connection, every time.Duration) time.Duration {
	return min(every, time.Duration(n)*connection, NotifyLimit-CallLimit)
}

// First is how long to wait before the first call.
func (p *Schedule) First() time.Duration {
	by := p.By
	if by <= 0 {
		by = NotifyLimit
	}
	return p.draw(min(p.Over, max(0, by-CallLimit)))
}

// Came notes that a call has brought something.
func (p *Schedule) Came() { p.wait = 0 }

// Failed is how long to wait before the next call: longer each time, up to what is left of the time in which a change must
// be told, if discovery is back since deaf: the last moment in which it was heard, or the call began that failed.
//
// The first call that fails after one that went well may fail everybody at once, as a discovery that dies does, so the
// next ones are spread. Those that fail on and on show a service that is asked too much: they come as seldom as may be,
// and stay spread.
func (p *Schedule) Failed(deaf time.Duration) time.Duration {
	most := max(0, NotifyLimit-quick-deaf)
	first := p.Over
	if p.Over <= 0 {
		first, most = freeFirst, min(most, freeMost)
	}
	again := p.wait > 0
	p.wait = min(max(2*p.wait, first), most)
	if again && p.Over > 0 {
		return p.wait - p.draw(p.wait/4)
	}
	return p.wait - p.draw(p.wait*3/4)
}

func (p *Schedule) draw(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(p.Rand.Int64N(int64(d)))
}
