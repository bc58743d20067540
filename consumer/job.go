package consumer

import (
	"context"
	"runtime/debug"
	"time"

	"laddertide/job"
)

// margin is taken off a consumer's deadline, so that the answer is there before it gives up.
const margin = 10 * time.Millisecond

// carry hands a job to the Handlers and returns what became of it. It is the same for every protocol: whoever knows
// the protocol puts the outcome into words.
func (s *Server) carry(j *job.Job, c *conn) (out job.Outcome) {
	ctx, over := context.WithCancelCause(context.Background())
	defer over(job.ErrAnswered)
	defer func() {
		if r := recover(); r != nil {
			// Its consumer gets its answer. The job may have run.
			s.Log.Error("panic in a handler of jobs", "id", j.ID, "panic", r, "stack", string(debug.Stack()))
			out = job.Outcome{Kind: job.Failed}
		}
	}()
	stop := watch(c, func() { over(job.ErrLeft) })
	defer stop()
	return s.Jobs.Handle(ctx, j)
}
