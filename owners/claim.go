package owners

import (
	"sync"
	"time"

	core "laddertide/core/owners"
	"laddertide/job"
	"laddertide/provider"
	wire "laddertide/wire/owners"
)

// maxClaims is the number of jobs that are claimed at a time.
const maxClaims = 16

// Claim records jobs of a ledger as this scheduler's, after it has taken over the lead of their former owner's ledger, so that
// requests at other schedulers are directed here. Of the jobs in ended only the IDs are known. Claim returns at once and works in
// the background.
func (h *Handler) Claim(open []*job.Job, ended []string) {
	jobs := make(map[string]*job.Job, len(open)+len(ended)) // by ID; nil for one that has ended
	for _, id := range ended {
		jobs[id] = nil
	}
	for _, j := range open {
		jobs[j.ID] = j
	}
	h.mu.Lock()
	for id := range jobs {
		h.claimed[id] = true
	}
	h.unlock()
	time.AfterFunc(h.ledgerRecordLife(), func() {
		h.mu.Lock()
		defer h.unlock()
		for id := range jobs {
			delete(h.claimed, id)
		}
	})
	h.work.Go(func() { h.claimAll(jobs) })
}

// claimAll claims jobs, maxClaims at a time, and waits until that is done.
func (h *Handler) claimAll(jobs map[string]*job.Job) {
	var claims sync.WaitGroup
	defer claims.Wait()
	slots := make(chan struct{}, maxClaims)
	for id, j := range jobs {
		select {
		case slots <- struct{}{}:
		case <-h.closing:
			return
		}
		claims.Go(func() {
			defer func() { <-slots }()
			h.claimWithRetries(id, j)
		})
	}
}

// claimWithRetries claims a job, and logs a warning if that fails.
func (h *Handler) claimWithRetries(id string, j *job.Job) {
	for range maxTries {
		if h.claimOnce(id, j) {
			return
		}
		select {
		case <-time.After(h.cfg.AnswerTime):
		case <-h.closing:
			return
		}
	}
	h.log.Warn("a job that this scheduler has taken over could not be recorded as its own", "id", id)
}

// claimOnce claims a job unless its record shows that there is no need. It returns false if that should be tried again.
func (h *Handler) claimOnce(id string, j *job.Job) bool {
	h.mu.Lock()
	roster, ok := h.rosters.Roster()
	h.unlock()
	if !ok {
		return false
	}
	r, answered := h.readRecord(id, &roster)
	switch {
	case r == nil && answered < roster.Quorum():
		return false
	case r == nil && j == nil: // no keeper knows it
		return true
	case r != nil && (r.Owner == h.self() || r.Ended && r.HasOutcome):
		return true
	}
	h.mu.Lock()
	p := h.startPut(h.claimEntry(id, j, r))
	h.unlock()
	return p.wait(time.Now().Add(2*h.cfg.AnswerTime)) == core.Won
}

// claimEntry returns an entry for the claim of a job, with the record that succeeds r. r is nil if the job's keepers have ended or
// lost their records; j is not nil then. Called under mu.
func (h *Handler) claimEntry(id string, j *job.Job, r *wire.Record) *entry {
	h.nonce++
	e := &entry{h: h, id: id, nonce: h.nonce, done: make(chan struct{})}
	if r != nil {
		e.digest = r.Digest
		e.deadline = time.Now().Add(r.DueIn)
		e.effect = core.Effect(r.Effect)
		e.record = core.TakeoverRecord(r, h.me, e.nonce)
	} else {
		left := max(0, j.TimeLeft)
		e.digest = digest(j)
		e.deadline = time.Now().Add(j.TimeLeft)
		if j.Class < len(h.cfg.Classes) {
			e.effect = core.Effect(h.cfg.Classes[j.Class].Effect)
		}
		e.record = wire.Record{
			ID:       id,
			Owner:    h.me,
			Nonce:    e.nonce,
			Term:     1,
			Rev:      1,
			Digest:   e.digest,
			Effect:   uint8(e.effect),
			DueIn:    left,
			TimeLeft: left + h.retention(true),
		}
	}
	e.record.InLedger = true
	return e
}

// Forward forwards a provider's event to the scheduler that carries its job now, if that is not this one. It returns nil, so that
// the event is acknowledged, once that scheduler has received it or the job has ended, and job.ErrNotStored otherwise.
func (h *Handler) Forward(ev provider.Event) error {
	h.mu.Lock()
	net, full, me := h.net, h.lookups >= maxLookups, h.me
	roster, ok := h.rosters.Roster()
	if net == nil || full || !ok {
		h.unlock()
		return job.ErrNotStored
	}
	h.lookups++
	h.unlock()
	defer func() {
		h.mu.Lock()
		h.lookups--
		h.unlock()
	}()
	r, _ := h.readRecord(ev.ID, &roster)
	switch {
	case r == nil || r.Owner.Name == me.Name: // no other scheduler is known to carry it yet
		return job.ErrNotStored
	case r.Ended:
		return nil
	}
	return h.forwardEvent(ev, r.Owner)
}
