// Package record writes down the history of a rehearsal while it runs: one clock, one order, and a file that holds all
// but the last moment even if the kit is killed. It decides nothing and reads nothing back.
package record

import (
	"bufio"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/core/history"
)

// flushEvery is how much of the history a kill of the kit may cost.
const flushEvery = 250 * time.Millisecond

// chunk is how many events are stored in one piece.
const chunk = 256

// Recorder takes events from any goroutine.
type Recorder struct {
	begin time.Time

	mu     sync.Mutex
	setup  []history.Event   // at most one; it goes before all others
	chunks [][]history.Event // all full but the last; one slice would stop everyone while it moves to a larger place
	closed bool

	stalled atomic.Int64 // in ns, as Watch has seen

	out  *bufio.Writer
	err  error // the first one of out
	kick chan struct{}
	done chan struct{}
}

// New begins a history now. Should out not be nil, events are written to it as they come.
func New(out io.Writer) *Recorder {
	r := &Recorder{begin: time.Now()}
	if out != nil {
		r.out = bufio.NewWriterSize(out, 256<<10)
		r.kick, r.done = make(chan struct{}), make(chan struct{})
		go r.write()
	}
	return r
}

// Begin is when the history begins.
func (r *Recorder) Begin() time.Time { return r.begin }

// Since is the time of the history, by the monotonic clock.
func (r *Recorder) Since() time.Duration { return time.Since(r.begin) }

// Now is the same in microseconds, as events have it.
func (r *Recorder) Now() int64 { return r.Since().Microseconds() }

// At is the time of day of a moment of the history.
func (r *Recorder) At(d time.Duration) time.Time { return r.begin.Add(d) }

// Add takes an event; one without a time happens now. What comes after Close is dropped. The setup may come when it is
// known; until then nothing is written to the file, as it is the first line there.
func (r *Recorder) Add(ev history.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	if ev.Kind == history.KindSetup {
		r.setup = []history.Event{ev}
		return
	}
	if ev.T == 0 {
		ev.T = max(1, r.Now())
	}
	last := len(r.chunks) - 1
	if last < 0 || len(r.chunks[last]) == chunk {
		r.chunks = append(r.chunks, make([]history.Event, 0, chunk))
		last++
	}
	r.chunks[last] = append(r.chunks[last], ev)
}

// Close ends the history and returns it in the order of time, with the first error of the writer.
func (r *Recorder) Close(end history.Event) ([]history.Event, error) {
	end.Kind = history.KindEnd
	r.Add(end)
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	if r.out != nil {
		close(r.kick)
		<-r.done
	}
	events := slices.Concat(append([][]history.Event{r.setup}, r.chunks...)...)
	history.Sort(events)
	return events, r.err
}

// write copies events to the file, behind those who add them.
func (r *Recorder) write() {
	defer close(r.done)
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	at, written := 0, 0 // the chunk that is being written, and how much of it has been
	begun := false      // the setup has been written
	var line []byte
	put := func(ev *history.Event) {
		var err error
		if line, err = history.Append(line[:0], ev); err == nil {
			_, err = r.out.Write(line)
		}
		if err != nil && r.err == nil {
			r.err = err
		}
	}
	for last := false; !last; {
		select {
		case <-tick.C:
		case <-r.kick:
			last = true
		}
		r.mu.Lock()
		setup, fresh := r.setup, slices.Clone(r.chunks[at:])
		r.mu.Unlock()
		if len(setup) == 0 {
			continue
		}
		if !begun {
			put(&setup[0])
			begun = true
		}
		for i, events := range fresh {
			if i > 0 {
				at, written = at+1, 0
			}
			for ; written < len(events); written++ {
				put(&events[written])
			}
		}
		if err := r.out.Flush(); err != nil && r.err == nil {
			r.err = err
		}
	}
}
