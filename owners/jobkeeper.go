package owners

import (
	"time"

	core "laddertide/core/owners"
	"laddertide/job"
	wire "laddertide/wire/owners"
)

// The methods of entry in this file implement job.Keeper, which the next Handler calls to report what it does with an open job.

// PastAttempts implements job.Keeper.
func (e *entry) PastAttempts() ([]job.PastAttempt, bool) { return e.earlier, e.carriedBefore }

// CallBacksAccepted implements job.Keeper.
func (e *entry) CallBacksAccepted() {
	e.h.mu.Lock()
	before := e.earlierKeepers
	e.earlierKeepers = nil
	e.callBacksAccepted = true
	e.h.unlock()
	for _, k := range before {
		k.CallBacksAccepted()
	}
}

// listenerPending reports whether a provider's event for the job may come too early: an attempt is in flight, and nothing receives
// its end yet. Called under mu.
func (e *entry) listenerPending() bool {
	n := len(e.earlier)
	return n > 0 && e.earlier[n-1].InFlight && !e.callBacksAccepted
}

// BeforeSend implements job.Keeper. If the job is one whose repeat a group of providers can drop, the attempt is recorded with a
// majority of keepers before its first byte. So is any attempt if ownership of the job was confirmed too long ago, as after a
// pause: another scheduler may own the job by now.
func (e *entry) BeforeSend(to string) (uint64, error) {
	h := e.h
	h.mu.Lock()
	if err := e.checkSending(); err != nil {
		h.unlock()
		return 0, err
	}
	e.attempts = append(e.attempts, attempt{provider: to, at: time.Now()})
	if !e.recorded {
		h.unlock()
		return 0, nil
	}
	e.record.Rev++
	e.refreshRecord()
	if !e.effect.NeedsProviderRecorded() && !e.mayHaveMoved() {
		h.notifyKeepers(e)
		h.unlock()
		return 0, nil
	}
	p := h.startPut(e)
	p.onLost = func() { // called under mu
		if e.cancel != nil {
			e.cancel(errMoved)
		}
	}
	h.unlock()
	return 0, e.confirmSending(p)
}

// checkSending returns an error if nothing may be sent for the job. If nobody waits for the job any more it also cancels the job:
// its clients may have been answered elsewhere while this process was paused. Called under mu.
func (e *entry) checkSending() error {
	switch {
	case e.h.leaving:
		return errLeft
	case e.ownedElsewhere:
		return errMoved
	case !time.Now().Before(e.deadline): // its record may expire while the attempt is on its way
		return errOver
	}
	wanted := e.joined > 0 || len(e.waiters) > 0 || e.handedOver
	started := len(e.attempts) > 0 || e.carriedBefore
	if wanted || started {
		return nil
	}
	if e.cancel != nil {
		e.cancel(job.ErrClientLeft)
	}
	return errNobody
}

// confirmSending waits for the keepers' verdict on the record with the last attempt. It returns nil if the attempt may be sent.
func (e *entry) confirmSending(p *recordPut) error {
	switch p.wait(e.deadline) {
	case core.Won:
		if time.Now().Before(e.deadline) {
			return nil
		}
		return errOver
	case core.TooFew:
		if !e.effect.NeedsOwnership() {
			e.exempt()
			return nil // it may be sent without a majority
		}
		e.retractCall()
		return errShort
	}
	e.retractCall()
	return errMoved
}

// exempt records that an attempt may be sent without a majority.
func (e *entry) exempt() {
	e.h.mu.Lock()
	defer e.h.unlock()
	e.exempted = time.Now()
}

// MayStillSend implements job.Keeper. An attempt that was allowed may not be sent once another scheduler may own the job.
func (e *entry) MayStillSend(uint64) error {
	e.h.mu.Lock()
	defer e.h.unlock()
	if err := e.checkSending(); err != nil {
		return err
	}
	if e.mayHaveMoved() && time.Since(e.exempted) > core.ConfirmationValidity(e.h.cfg.SettleTime) {
		return errStale
	}
	return nil
}

// retractCall removes the last attempt, of which nothing is sent.
func (e *entry) retractCall() {
	e.h.mu.Lock()
	defer e.h.unlock()
	e.attempts = e.attempts[:len(e.attempts)-1]
}

// notifyKeepers sends the keepers the latest revision of a job's record, without waiting for replies. Called under mu.
func (h *Handler) notifyKeepers(e *entry) {
	roster, ok := h.rosters.PutRoster()
	if !ok {
		return
	}
	record := e.record
	var encoded []byte
	for _, keeper := range roster.Keepers(e.id) {
		if keeper == h.me {
			if h.isKeeperUnder(&roster) && !h.rosters.MayBeMissing(h.now(), e.id) {
				h.storeLocally(h.now(), &record)
			}
			continue
		}
		if encoded == nil { // without a number, so that nobody replies
			m := wire.Message{Kind: wire.Put, From: h.me, Roster: roster.Digest(), Record: &record}
			encoded = m.Append()
		}
		h.send(keeper.Name, encoded)
	}
}

// Started implements job.Keeper.
func (e *entry) Started(uint64) {}

// Running implements job.Keeper.
func (e *entry) Running(uint64) {}

// mayHaveMoved reports whether another scheduler may by now own a job whose ownership by this one was confirmed. Called under mu.
func (e *entry) mayHaveMoved() bool {
	return e.owned && e.effect != core.Unsafe && time.Since(e.confirmed) > core.ConfirmationValidity(e.h.cfg.SettleTime)
}

// StoreResult implements job.Keeper. It returns job.ErrNotStored if another scheduler has taken the job over, as the result is for that one.
func (e *entry) StoreResult(uint64, []byte) error {
	h := e.h
	h.mu.Lock()
	if !e.ownedElsewhere && e.recorded && e.mayHaveMoved() {
		e.record.Rev++
		e.refreshRecord()
		p := h.startPut(e)
		h.unlock()
		p.wait(e.within(2 * h.cfg.AnswerTime))
		h.mu.Lock()
	}
	defer h.unlock()
	if e.ownedElsewhere {
		return job.ErrNotStored
	}
	return nil
}

// within returns the time after a duration from now, or the time by which the job must be answered if that is earlier.
func (e *entry) within(d time.Duration) time.Time {
	if by := time.Now().Add(d); by.Before(e.deadline) {
		return by
	}
	return e.deadline
}

// AttemptEnded implements job.Keeper. An attempt that is proven to have had no effect is removed.
func (e *entry) AttemptEnded(_ uint64, noEffect bool) {
	e.h.mu.Lock()
	defer e.h.unlock()
	last := len(e.attempts) - 1
	if last < 0 {
		return
	}
	e.attempts[last].ended = true
	if noEffect {
		e.attempts = e.attempts[:last]
	}
}

// LeftToNextProcess implements job.Keeper. It reports whether open jobs are being handed over: their attempts are not withdrawn.
func (e *entry) LeftToNextProcess() bool {
	e.h.mu.Lock()
	defer e.h.mu.Unlock()
	return e.h.leaving
}
