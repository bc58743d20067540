package durable

import (
	"fmt"
	"time"

	"laddertide/core/leases"
	"laddertide/ledger"
	"laddertide/policy"
)

// A process may start while the ledger's folder takes no writes. What it reads there is owed all the same: it listens for the attempts
// that are out, lets clients join the jobs that are open, and sends or takes nothing until the folder takes writes.

const (
	firstWriteLimit = 2 * time.Second        // for the first write of a start
	writeAgain      = 250 * time.Millisecond // between attempts to write
)

// unwritable is a ledger.Commit of a ledger that takes no writes.
type unwritable struct{ err error }

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Done implements ledger.Commit.
func (unwritable) Done() <-chan struct{} { return closed }

// Wait implements ledger.Commit.
func (u unwritable) Wait() error { return u.err }

// firstWrite waits until what was read is known to be on disk. If the folder takes no writes for the moment that is waited for in the
// background; an error says that this would be no use.
func (h *Handler) firstWrite(commit ledger.Commit) error {
	err := h.wait(commit, time.Now().Add(firstWriteLimit))
	switch {
	case err == nil:
		close(h.writable)
		return nil
	case h.hosted || err != errDisk && !ledger.Temporary(err):
		return fmt.Errorf("durable: %w", err)
	}
	h.log.Error("the ledger's folder takes no writes: jobs of before are waited for, and no new ones are taken until it does", "err", err,
		"dir", h.set.Dir)
	h.mu.Lock()
	h.startErr = err
	h.mu.Unlock()
	h.ended.Go(func() { h.awaitWrite(commit) })
	return nil
}

// awaitWrite tries to write until that succeeds or the Handler is closed. commit is the first attempt's.
func (h *Handler) awaitWrite(commit ledger.Commit) {
	began := time.Now()
	for {
		select {
		case <-commit.Done():
		case <-h.ending:
			return
		}
		if commit.Wait() == nil {
			break
		}
		select {
		case <-time.After(writeAgain):
		case <-h.ending:
			return
		}
		h.mu.Lock()
		commit = h.append(leases.Step{Sync: true})
		h.mu.Unlock()
	}
	h.mu.Lock()
	h.startErr = nil
	h.mu.Unlock()
	close(h.writable)
	h.log.Info("the ledger's folder takes writes: going on", "after", time.Since(began).Round(time.Millisecond), "dir", h.set.Dir)
}

// Unwritable returns why new jobs are not taken since the start; nil: they are.
func (h *Handler) Unwritable() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startErr
}

// awaitWritable waits until the folder takes writes and returns the jobs that can go on then. Those whose time is over before are
// ended. The jobs are ordered by their deadlines.
func (h *Handler) awaitWritable(jobs []*entry) []*entry {
	for len(jobs) > 0 {
		first := jobs[0]
		timer := time.NewTimer(time.Until(first.due))
		select {
		case <-h.writable:
			timer.Stop()
			return jobs
		case <-h.ending:
			timer.Stop()
			return nil
		case <-timer.C:
			jobs = jobs[1:]
			h.work.Go(func() { h.end(first, first.late(0)) })
		}
	}
	return nil
}

// goesOn is what a client is told of a job that another process may go on with.
var goesOn = leases.Outcome{Kind: leases.Failed, RetryAfter: askAgain}

// tellable waits until a job's end is kept and returns what its clients may be told, and why the end is not kept. What is not kept may go
// on in the process that comes after a kill: a client that was told an end would see its job sent after that, and one that was told
// that nothing ran would see it run. So an end is held back until it is kept or the job's time is over, as no process sends it then, or until this process ends. One
// that must not run twice is never sent again, so its result may be told at once. Where others keep the ledger one of them may have ended
// the job otherwise: its client is to ask again.
func (h *Handler) tellable(e *entry, out leases.Outcome, commit ledger.Commit) (leases.Outcome, error) {
	by := e.due.Add(atTheEnd)
	err := h.wait(commit, by)
	for err != nil && h.holdsBack(e, out) && time.Now().Before(e.due) {
		select {
		case <-time.After(min(writeAgain, time.Until(e.due))):
		case <-h.ending:
			return goesOn, err
		}
		h.mu.Lock()
		commit = h.kept(e.seq)
		h.mu.Unlock()
		err = h.wait(commit, by)
	}
	if err != nil && h.hosted {
		return goesOn, err
	}
	return unkeptOutcome(out, err), err
}

// holdsBack reports whether an end that is not kept must not be told yet.
func (h *Handler) holdsBack(e *entry, out leases.Outcome) bool {
	sentAgain := e.job.Class < 0 || h.classes[e.job.Class].Effect != policy.Unsafe
	return !h.hosted && (sentAgain || out.Kind != leases.Served)
}

// unkeptOutcome returns what may be told of an end that was not kept for the reason err; nil: it was. That nothing ran may not be.
func unkeptOutcome(out leases.Outcome, err error) leases.Outcome {
	if err != nil && out.Kind == leases.Rejected {
		return leases.Outcome{Kind: leases.Failed}
	}
	return out
}
