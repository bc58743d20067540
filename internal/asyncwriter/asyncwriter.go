// Package asyncwriter provides an io.Writer that never blocks its callers: data goes into a bounded buffer, which a goroutine
// writes out. Data for which the buffer has no room is dropped and counted.
package asyncwriter

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Writer buffers writes to an io.Writer that may block, such as a pipe that nobody reads. It is safe for concurrent use.
type Writer struct {
	destination io.Writer
	limit       int           // capacity of pending, in bytes
	done        chan struct{} // closed when all is written after Close

	mu      sync.Mutex
	changed *sync.Cond
	pending []byte // not yet handed to destination
	spare   []byte // the buffer that pending swaps with
	dropped int    // writes dropped since the last report of them
	closed  bool
}

// New returns a Writer for destination that holds up to limit bytes pending, and as many again that are being written.
func New(destination io.Writer, limit int) *Writer {
	w := &Writer{destination: destination, limit: limit, done: make(chan struct{})}
	w.changed = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write buffers all of p or, if there is no room for it or after Close, drops and counts it. It never blocks on the
// destination. It always returns len(p) and no error.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(p) > w.limit {
		w.dropped++
		return len(p), nil
	}
	w.append(p)
	return len(p), nil
}

// WriteWait blocks until p and the pending data together fill no more than half of the buffer, or nothing is pending: bulk
// output must not crowd out the writes of others. It reports whether p was accepted; after Close nothing is.
func (w *Writer) WriteWait(p []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.closed && len(w.pending) > 0 && len(w.pending)+len(p) > w.limit/2 {
		w.changed.Wait()
	}
	if w.closed {
		return false
	}
	w.append(p)
	return true
}

// append adds p to the pending bytes. Called under mu.
func (w *Writer) append(p []byte) {
	w.pending = append(w.pending, p...)
	w.changed.Broadcast()
}

// Close stops accepting data and waits until all pending data is written, for no longer than timeout. It does not close
// the destination.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.changed.Broadcast()
	w.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// run writes pending data out until the Writer is closed and nothing is pending. It holds mu except while it writes.
func (w *Writer) run() {
	defer close(w.done)
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		for len(w.pending) == 0 && !w.closed {
			w.changed.Wait()
		}
		if len(w.pending) == 0 {
			return
		}
		out := w.takePending()
		w.mu.Unlock()
		w.destination.Write(out) // there is nowhere left to report an error to
		w.mu.Lock()
		w.spare = out
		w.changed.Broadcast()
	}
}

// takePending returns the pending data, with a report of dropped writes appended if there were any, and swaps the buffers.
// Called under mu.
func (w *Writer) takePending() []byte {
	out := w.pending
	if w.dropped > 0 {
		out = fmt.Appendf(out, "level=WARN msg=\"standard error was not read: writes lost\" writes=%d\n", w.dropped)
		w.dropped = 0
	}
	w.pending, w.spare = w.spare[:0], nil
	return out
}
