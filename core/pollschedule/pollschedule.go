// Package pollschedule determines when a scheduler polls discovery, and how long it waits for an answer. It makes no calls itself and
// does not interpret the answers.
package pollschedule

import (
	"math/rand/v2"
	"time"
)

// NotifyLimit is the time within which a change must reach a scheduler, from when discovery had it and was reachable, whatever the
// scheduler was waiting for at that time. MoveNotifyLimit is the same limit after an order to use another discovery service. All
// other times are derived from these two.
const (
	NotifyLimit     = 6 * time.Second
	MoveNotifyLimit = 4 * time.Second
)

const (
	emptyLineInterval = 2 * time.Second // interval of the empty lines that an idle watch sends
	callTime          = time.Second     // connection, request and response together, with discovery reachable and all machines busy

	// SilenceLimit is how long a watch may be silent. It allows a line to be late by three quarters of the interval. After
	// that the connection is considered dead, as the network does not report this.
	SilenceLimit = emptyLineInterval + emptyLineInterval*3/4
	// CallLimit is the time limit for a call, from connecting to the end of the response. It is half of NotifyLimit: one half
	// for a call that was in progress when discovery returned and may fail, the other half for the next call.
	CallLimit = NotifyLimit / 2

	// Retry delays for calls that cost nothing: short at first, with a low maximum.
	minFreeDelay = 50 * time.Millisecond
	maxFreeDelay = 2 * time.Second
)

// Schedule determines when one scheduler polls discovery.
type Schedule struct {
	// SpreadOver is the time over which many schedulers spread their calls; 0: calls cost nothing. Schedulers that were killed together
	// start together, and a service that all of them call at once answers none of them: each call queues behind calls that
	// have already timed out when they are served.
	SpreadOver     time.Duration
	FirstListLimit time.Duration // limit from the start to the first list; 0: NotifyLimit
	Rand           *rand.Rand    // never nil

	delay time.Duration
}

// SpreadTime returns the time over which n schedulers spread their calls, given that each call may take as long as connection and the
// list is polled once in every. It leaves time for one call before the list must be there.
func SpreadTime(n int, connection, every time.Duration) time.Duration {
	return min(every, time.Duration(n)*connection, NotifyLimit-CallLimit)
}

// FirstDelay returns the delay before the first call.
func (p *Schedule) FirstDelay() time.Duration {
	by := p.FirstListLimit
	if by <= 0 {
		by = NotifyLimit
	}
	return p.random(min(p.SpreadOver, max(0, by-CallLimit)))
}

// Succeeded resets the retry delay after a call that has delivered something.
func (p *Schedule) Succeeded() { p.delay = 0 }

// RetryDelay returns the delay before the next call. It grows with each failure, up to what remains of NotifyLimit in case discovery
// became reachable again right at the start of silence: the time since discovery last responded, or since the failed call began.
//
// The first failure after a success may hit all schedulers at the same time, as when discovery crashes, so the next calls are
// spread. Repeated failures indicate an overloaded service: the calls are then made as rarely as the limit permits, and remain
// spread.
func (p *Schedule) RetryDelay(silence time.Duration) time.Duration {
	limit := max(0, NotifyLimit-callTime-silence)
	first := p.SpreadOver
	if p.SpreadOver <= 0 {
		first, limit = minFreeDelay, min(limit, maxFreeDelay)
	}
	repeated := p.delay > 0
	p.delay = min(max(2*p.delay, first), limit)
	if repeated && p.SpreadOver > 0 {
		return p.delay - p.random(p.delay/4)
	}
	return p.delay - p.random(p.delay*3/4)
}

func (p *Schedule) random(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(p.Rand.Int64N(int64(d)))
}
