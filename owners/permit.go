package owners

import (
	"math/rand/v2"
	"time"

	wire "laddertide/wire/owners"
)

// A job that is handed over is read by its receiver at some time, and a receiver that stood still in between may read it when the
// job's records count no more and another scheduler has run it. So a receiver gives a permit first, a reading of its own clock, and
// takes a job only by one that is not older than a hand-over lasts. The time that the job has left counts from the permit.

const (
	permitClockBits = 40 // milliseconds of the receiver's clock; the bits above tell its process from others
	permitKeyBits   = 64 - permitClockBits
	permitClockMask = 1<<permitClockBits - 1
)

// newPermitKey draws what tells the permits of a process from those of others of its name.
func newPermitKey() uint64 { return rand.Uint64()>>(64-permitKeyBits) | 1 }

// permit returns a permit as of now. Called under mu.
func (h *Handler) permit() uint64 {
	return h.permitKey<<permitClockBits | uint64(h.now()/time.Millisecond)&permitClockMask
}

// permitAge returns for how long a permit has been given; false: it is not this process's, or older than a hand-over lasts. Called
// under mu.
func (h *Handler) permitAge(permit uint64) (time.Duration, bool) {
	given := time.Duration(permit&permitClockMask) * time.Millisecond
	age := max(0, h.now()-given)
	return age, permit>>permitClockBits == h.permitKey && age <= h.handOverLead()
}

// askPermit asks a scheduler whether it takes a job; false: it does not, or does not say so in time. Nothing is handed over yet.
func (h *Handler) askPermit(id string, to wire.Process) (permit uint64, ok bool) {
	type answer struct {
		code   wire.Code
		permit uint64
	}
	answers := make(chan answer, 2)
	left := map[wire.Process]bool{to: true}
	hear := func(from wire.Process, m *wire.Message) {
		if from.Name == to.Name && left[to] {
			delete(left, to)
			answers <- answer{m.Code, m.Roster}
		}
	}
	h.mu.Lock()
	if h.net == nil {
		h.unlock()
		return 0, false
	}
	h.ask(&wire.Message{Kind: wire.Offer, ID: id}, h.cfg.Answer, hear, func() []wire.Process { return keys(left) },
		func() { answers <- answer{} })
	h.unlock()
	a := <-answers
	return a.permit, a.code == wire.Yes
}
