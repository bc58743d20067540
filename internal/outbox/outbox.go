// Package outbox is a writer that keeps nobody waiting: what it is given goes into a bounded buffer, and a goroutine
// of its own writes that out. What finds no room is dropped and counted.
package outbox

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Outbox stands before a writer that may block, as a pipe that nobody reads does.
type Outbox struct {
	w     io.Writer
	limit int
	done  chan struct{} // all is written, after Close

	mu     sync.Mutex
	change *sync.Cond
	buf    []byte // waits to be written
	spare  []byte
	lost   int // writes that found no room, not yet told
	closed bool
}

// New returns an Outbox for w that keeps up to limit bytes waiting, and as many being written.
func New(w io.Writer, limit int) *Outbox {
	o := &Outbox{w: w, limit: limit, done: make(chan struct{})}
	o.change = sync.NewCond(&o.mu)
	go o.run()
	return o
}

// Write takes all of p or nothing of it, and never waits.
func (o *Outbox) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.buf)+len(p) > o.limit {
		o.lost++
	} else {
		o.buf = append(o.buf, p...)
		o.change.Broadcast()
	}
	return len(p), nil
}

// Feed waits until there is room for p beside as much again, so that lines of others are not lost over it. It
// reports whether p was taken: after Close nothing is.
func (o *Outbox) Feed(p []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for !o.closed && len(o.buf) > 0 && len(o.buf)+len(p) > o.limit/2 {
		o.change.Wait()
	}
	if !o.closed {
		o.buf = append(o.buf, p...)
		o.change.Broadcast()
	}
	return !o.closed
}

// Close takes nothing more and waits until all is written, but no longer than limit.
func (o *Outbox) Close(limit time.Duration) {
	o.mu.Lock()
	o.closed = true
	o.change.Broadcast()
	o.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-o.done:
	case <-timer.C:
	}
}

func (o *Outbox) run() {
	defer close(o.done)
	o.mu.Lock()
	defer o.mu.Unlock()
	for {
		for len(o.buf) == 0 && !o.closed {
			o.change.Wait()
		}
		if len(o.buf) == 0 {
			return
		}
		out := o.buf
		if o.lost > 0 {
			out = fmt.Appendf(out, "level=WARN msg=\"standard error was not read: writes lost\" writes=%d\n", o.lost)
			o.lost = 0
		}
		o.buf, o.spare = o.spare[:0], nil
		o.mu.Unlock()
		o.w.Write(out) // there is nowhere to tell of an error
		o.mu.Lock()
		o.spare = out
		o.change.Broadcast()
	}
}
