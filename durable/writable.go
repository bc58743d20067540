package durable

import (
	"fmt"
	"time"

	"laddertide/core/leases"
	"laddertide/ledger"
)

// A process may start while the ledger's folder takes no writes. It is still responsible for the jobs that it reads there: it accepts
// reports on the attempts in flight and lets clients wait for open jobs, and it sends or takes nothing until the folder takes writes.

const (
	firstWriteLimit = 2 * time.Second        // of the first write of a start
	writeRetry      = 250 * time.Millisecond // between attempts to write
)

// failedCommit is the ledger.Commit of a ledger that takes no writes.
type failedCommit struct{ err error }

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Done implements ledger.Commit.
func (failedCommit) Done() <-chan struct{} { return closed }

// Wait implements ledger.Commit.
func (u failedCommit) Wait() error { return u.err }

// firstWrite waits until the records that were read are known to be on disk. If the folder temporarily takes no writes, it retries in
// the background; an error means that retrying would not help.
func (h *Handler) firstWrite(commit ledger.Commit) error {
	err := h.waitCommit(commit, time.Now().Add(firstWriteLimit))
	switch {
	case err == nil:
		close(h.writable)
		return nil
	case h.replicated || err != errWriteTimeout && !ledger.Temporary(err):
		return fmt.Errorf("durable: %w", err)
	}
	h.log.Error("the ledger's folder takes no writes: jobs of before are waited for, and no new ones are taken until it does", "err", err,
		"dir", h.set.Dir)
	h.mu.Lock()
	h.startErr = err
	h.mu.Unlock()
	h.background.Go(func() { h.awaitWrite(commit) })
	return nil
}

// awaitWrite repeats the first write until it succeeds or the Handler is closed. commit is that of the first try.
func (h *Handler) awaitWrite(commit ledger.Commit) {
	began := time.Now()
	for {
		select {
		case <-commit.Done():
		case <-h.closing:
			return
		}
		if commit.Wait() == nil {
			break
		}
		select {
		case <-time.After(writeRetry):
		case <-h.closing:
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

// StartWriteError returns the error because of which no new jobs have been taken since the start; nil: they are taken.
func (h *Handler) StartWriteError() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startErr
}

// awaitWritable waits until the folder takes writes and returns the jobs that can continue then. It ends the jobs whose deadline passes
// before. The jobs must be ordered by deadline.
func (h *Handler) awaitWritable(jobs []*entry) []*entry {
	for len(jobs) > 0 {
		first := jobs[0]
		timer := time.NewTimer(time.Until(first.due))
		select {
		case <-h.writable:
			timer.Stop()
			return jobs
		case <-h.closing:
			timer.Stop()
			return nil
		case <-timer.C:
			jobs = jobs[1:]
			h.running.Go(func() { h.end(first, first.missedDeadline(0)) })
		}
	}
	return nil
}
