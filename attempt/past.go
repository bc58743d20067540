package attempt

import (
	"slices"
	"sync"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
)

// attemptLog holds the attempts made for a job, including those of previous processes, for a process that may take the job over.
type attemptLog struct {
	mu       sync.Mutex
	attempts []job.PastAttempt
}

func (p *attemptLog) addEarlier(earlier []job.PastAttempt) {
	p.attempts = append(p.attempts, earlier...)
}

// begin records an attempt that is about to be made.
func (p *attemptLog) begin(provider string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts = append(p.attempts, job.PastAttempt{Provider: provider, Sent: time.Now(), InFlight: true})
}

// recordStart returns a function that passes reports on to next and records when the job of the last attempt has started.
func (p *attemptLog) recordStart(next func(dispatch.ProviderReport)) func(dispatch.ProviderReport) {
	return func(n dispatch.ProviderReport) {
		if n.Kind == dispatch.StartReport {
			p.mu.Lock()
			p.attempts[len(p.attempts)-1].Started = true
			p.mu.Unlock()
		}
		next(n)
	}
}

// recordEnd records how the last attempt ended.
func (p *attemptLog) recordEnd(end dispatch.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := &p.attempts[len(p.attempts)-1]
	last.InFlight, last.MayHaveRun = false, !end.ProvesNotRun()
}

// removeLast removes the last attempt, as it was not made.
func (p *attemptLog) removeLast() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts = p.attempts[:len(p.attempts)-1]
}

// mayHaveRun reports whether any of the attempts may have run, or is in flight.
func (p *attemptLog) mayHaveRun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.attempts, func(a job.PastAttempt) bool { return a.MayHaveRun || a.InFlight })
}

// list returns the attempts as they are now.
func (p *attemptLog) list() []job.PastAttempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.attempts)
}
