package owners

import (
	"math/rand/v2"
	"time"

	wire "laddertide/wire/owners"
)

// A receiver that is paused while a job is handed to it may read the job much later, when the job's records no longer count and
// another scheduler has run it. So a receiver first gives a permit, which holds a reading of its own clock, and accepts a job only
// with a permit that is not older than a handover lasts. The time that the job has left counts from the permit.

const (
	permitClockBits = 40 // milliseconds of the receiver's clock; the bits above identify its process
	permitKeyBits   = 64 - permitClockBits
	permitClockMask = 1<<permitClockBits - 1
)

// newPermitKey returns a random key that distinguishes the permits of a process from those of other processes of its name.
func newPermitKey() uint64 { return rand.Uint64()>>(64-permitKeyBits) | 1 }

// permit returns a permit with the current time. Called under mu.
func (h *Handler) permit() uint64 {
	return h.permitKey<<permitClockBits | uint64(h.now()/time.Millisecond)&permitClockMask
}

// permitAge returns the age of a permit, and false if the permit is not of this process or is older than a handover lasts. Called
// under mu.
func (h *Handler) permitAge(permit uint64) (time.Duration, bool) {
	given := time.Duration(permit&permitClockMask) * time.Millisecond
	age := max(0, h.now()-given)
	return age, permit>>permitClockBits == h.permitKey && age <= h.handOverLead()
}

// askPermit asks a scheduler for a permit to hand a job over to it. It returns false if the scheduler declines or does not reply in
// time. Nothing is handed over yet.
func (h *Handler) askPermit(id string, to wire.Process) (permit uint64, ok bool) {
	type answer struct {
		code   wire.Code
		permit uint64
	}
	answers := make(chan answer, 2)
	unanswered := map[wire.Process]bool{to: true}
	onReply := func(from wire.Process, m *wire.Message) {
		if from.Name == to.Name && unanswered[to] {
			delete(unanswered, to)
			answers <- answer{m.Code, m.Roster}
		}
	}
	h.mu.Lock()
	if h.net == nil {
		h.unlock()
		return 0, false
	}
	h.ask(&wire.Message{Kind: wire.Offer, ID: id}, h.cfg.AnswerTime, onReply, func() []wire.Process { return keys(unanswered) },
		func() { answers <- answer{} })
	h.unlock()
	a := <-answers
	return a.permit, a.code == wire.Yes
}
