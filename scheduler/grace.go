package scheduler

import (
	"time"

	"laddertide/job"
)

// The platform kills a process this long after the stop signal plus the longest deadline of a job, which counts as at most
// maxCountedDeadline. Jobs that are unanswered then are lost.
const (
	killAfter          = 700 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
	answerMargin       = 350 * time.Millisecond // for sending the last answers, also on a busy machine
	exitMargin         = 50 * time.Millisecond  // the process exits this long before the kill, even if something delays its end
	cancelNoticeTime   = 50 * time.Millisecond  // after the last answer, workers are still notified of cancelled jobs
)

// ExitLimit is the time after the stop signal within which the process must have exited. All jobs are answered by then.
func (s *Scheduler) ExitLimit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grace() + answerMargin - exitMargin
}

// grace is the time from the stop signal until all jobs are answered.
func (s *Scheduler) grace() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.cfg.Settings.Classes {
		if !c.Retired {
			longest = max(longest, c.Deadline)
		}
	}
	return min(longest, maxCountedDeadline) + killAfter - answerMargin
}

// unfinishedOutcome is the answer to jobs that are delayed beyond the end of this process. Durable and owned jobs may
// continue without it, so their clients are told to ask again.
func (s *Scheduler) unfinishedOutcome() job.Outcome {
	out := job.Outcome{Kind: job.Failed}
	if op := &s.cfg.Operator; op.Durable != nil || op.Replicated != nil || op.Owners != nil {
		out.RetryAfter = retryUnfinishedAfter
	}
	return out
}

// retryUnfinishedAfter is when a client may ask for such a job again: the next process serves by then.
const retryUnfinishedAfter = time.Second
