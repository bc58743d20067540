package consumer

import (
	"context"
	"syscall"
	"testing"
	"time"

	"laddertide/internal/netfault"
	"laddertide/job"
)

// SyscallConn implements syscall.Conn.
func (l *hookedListener) SyscallConn() (syscall.RawConn, error) {
	return netfault.RawListener(l.Listener)
}

// TestRequestsInTheBacklogAreAnsweredAtTheEnd guards against requests that are lost as a listener closes: all places were taken by jobs
// in hand until the end of the grace, and the connections behind them had not been accepted.
func TestRequestsInTheBacklogAreAnsweredAtTheEnd(t *testing.T) {
	const places, waiting = 4, 12
	var over context.Context
	r := newClosingRig(t, places, &hookedListener{}, func(s *Server) {
		ended, end := context.WithCancel(context.Background())
		over = ended
		s.Grace = 1500 * time.Millisecond
		// After the window for newcomers, and early enough that a busy machine can answer all by the end.
		s.Stopping = func(by time.Time) { time.AfterFunc(time.Until(by)-s.Grace/newcomersOf/2, end) }
		s.Jobs = job.HandlerFunc(func(context.Context, *job.Job) job.Outcome {
			<-over.Done()
			return job.Outcome{Kind: job.Rejected}
		})
	})
	var clients []*client
	for i := range places + waiting {
		c := r.dial()
		c.say(ask(string(rune('a'+i)), "check"))
		clients = append(clients, c)
	}
	r.stop()
	for _, c := range clients {
		c.hear(503)
		c.Close()
	}
}
