package owners

import (
	"time"

	core "laddertide/core/owners"
	"laddertide/job"
	"laddertide/policy"
	wire "laddertide/wire/owners"
)

// maxOffers is the number of schedulers to which an open job is offered, one after another.
const maxOffers = 2

// departure is the ID of a job that was handed over, and the time until which that is remembered.
type departure struct {
	id    string
	until time.Duration
}

// self returns this process as the others know it.
func (h *Handler) self() wire.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.me
}

// handOverLead returns how long before the end of the program open jobs are handed over. A peer accepts a job within Answer, and
// its keepers within the same time again; the last answers of a stopping decision module must be given by then, too.
func (h *Handler) handOverLead() time.Duration { return 4 * h.cfg.AnswerTime }

// programEnd returns the time at which this program ends. If it is not stopping, that is a time at which all open jobs will have
// ended.
func (h *Handler) programEnd() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.endTime.IsZero() {
		return time.Now().Add(h.recordLife())
	}
	return h.endTime
}

// Stop announces that the program ends at by: this scheduler accepts no new records, and hands its open jobs over shortly before.
// Further calls only change the time.
func (h *Handler) Stop(by time.Time) {
	h.mu.Lock()
	net := h.net
	stopping := !h.endTime.IsZero()
	h.endTime = by
	h.mu.Unlock()
	if stopping {
		return
	}
	if net != nil {
		net.AnnounceShutdown()
	}
	h.work.Go(func() { h.handOverBefore(by) })
}

// handOverBefore waits until handOverLead before the end of the program, and then has open jobs handed over. With a ledger they
// are left to the next process.
func (h *Handler) handOverBefore(by time.Time) {
	timer := time.NewTimer(time.Until(by) - h.handOverLead())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.closing:
		return
	}
	close(h.departing) // clients that wait for another scheduler's answer ask again elsewhere
	if h.cfg.Ledger != nil {
		return
	}
	h.mu.Lock()
	h.leaving = true
	open := len(h.live)
	h.unlock()
	if open > 0 && h.cfg.Pool != nil {
		h.log.Info("open jobs are handed over", "jobs", open)
		h.cfg.Pool.StartHandover()
	}
}

// handOver offers an open job, with the attempts that were made for it, to other schedulers. It returns the outcome for the clients
// that wait here.
func (h *Handler) handOver(e *entry, past []job.PastAttempt) job.Outcome {
	failed := job.Outcome{Kind: job.Failed}
	if !anyMayRun(past) {
		failed = job.Outcome{Kind: job.Rejected, RetryAfter: 2 * h.cfg.AnswerTime}
	}
	if h.cfg.Pool != nil {
		defer h.cfg.Pool.JobArrived(e.id)
	}
	h.mu.Lock()
	candidates := h.successors(e.id)
	e.record.Rev++
	e.refreshRecord()
	j := e.wireJob(past)
	owned := e.owned && e.recorded && !e.ownedElsewhere && h.net != nil
	h.unlock()
	if !owned || len(j.Payload) > wire.MaxJob {
		return failed
	}
	for _, to := range candidates[:min(maxOffers, len(candidates))] {
		if time.Until(h.programEnd()) < h.cfg.AnswerTime {
			break
		}
		code := h.offer(j, to)
		if code != wire.Yes && code != 0 {
			continue
		}
		// A scheduler that has not replied may still have received the job, so it is offered to no other one.
		h.mu.Lock()
		h.addDeparture(e.id, to)
		if code == wire.Yes {
			h.count.HandedOver++
		}
		h.unlock()
		return h.askAgain()
	}
	return failed
}

// wireJob returns the job in its wire form, with the attempts that were made for it. Called under mu.
func (e *entry) wireJob(past []job.PastAttempt) *wire.Job {
	j := &wire.Job{
		Record:     e.record,
		Class:      e.job.ClassName,
		TenantName: e.job.TenantName,
		Key:        e.job.Key,
		Subject:    e.job.Subject,
		Protocol:   e.job.Protocol,
		Deadline:   e.job.Deadline,
		TimeLeft:   max(0, time.Until(e.deadline)),
		WorkHint:   e.job.Hint,
		Slots:      e.job.Slots,
		Payload:    e.job.Payload,
	}
	for _, f := range e.job.Fields {
		j.Fields = append(j.Fields, wire.Field{Name: f.Name, Value: f.Value})
	}
	for _, p := range past[:min(wire.MaxAttempts, len(past))] {
		j.PastAttempts = append(j.PastAttempts, wire.PastAttempt{Provider: p.Provider, Age: time.Since(p.Sent), Started: p.Started, MayHaveRun: p.MayHaveRun, Ended: !p.InFlight})
	}
	return j
}

// addDeparture records to whom a job was handed over, for as long as its record may count. Called under mu.
func (h *Handler) addDeparture(id string, to wire.Process) {
	h.handedTo[id] = to
	h.departures = append(h.departures, departure{id, h.now() + h.recordLife()})
	h.expireDepartures()
}

// expireDepartures removes expired departures, and the oldest ones if there are too many. Called under mu.
func (h *Handler) expireDepartures() {
	for len(h.departures) > 0 && (len(h.departures) > h.cfg.Settings.MaxRecords || h.departures[0].until <= h.now()) {
		delete(h.handedTo, h.departures[0].id)
		h.departures = h.departures[1:]
	}
}

// departedTo returns the process to which a job was handed over, or the zero Process. Called under mu.
func (h *Handler) departedTo(id string) wire.Process {
	h.expireDepartures()
	return h.handedTo[id]
}

// successors returns the schedulers that may take a job over, its keepers first. Called under mu.
func (h *Handler) successors(id string) []wire.Process {
	if h.net == nil {
		return nil
	}
	var able []wire.Process
	for _, c := range h.net.Membership().All {
		if c.Reached && !c.Leaving && !c.Disabled && !c.CapabilityUnknown && c.Process != h.me {
			able = append(able, c.Process)
		}
	}
	r := core.NewRoster(able, len(able))
	return r.Keepers(id)
}

// offer offers a job to a scheduler and returns the code of its reply, wire.No if the offer cannot be delivered or is declined, or
// 0 if there is no reply in time. It returns before the program ends, so that the job's client can still be answered.
func (h *Handler) offer(j *wire.Job, to wire.Process) wire.Code {
	permit, ok := h.askPermit(j.Record.ID, to)
	if !ok {
		return wire.No
	}
	replies := make(chan wire.Code, 1)
	m := &wire.Message{Kind: wire.HandOver, Roster: permit, Job: j}
	h.mu.Lock()
	net := h.net
	if net == nil {
		h.unlock()
		return wire.No
	}
	q := h.expect(m, func(from wire.Process, m *wire.Message) {
		if from.Name != to.Name {
			return
		}
		select {
		case replies <- m.Code:
		default:
		}
	})
	h.unlock()
	defer func() {
		h.mu.Lock()
		h.closeQuestion(q)
		h.unlock()
	}()
	delivered := make(chan error, 1)
	h.work.Go(func() {
		h.largeSlots <- struct{}{}
		defer func() { <-h.largeSlots }()
		delivered <- net.SendLarge(to.Name, m.Append()) // a packet could be lost, and the job with it
	})
	timer := time.NewTimer(min(2*h.cfg.AnswerTime, time.Until(h.programEnd())-h.cfg.AnswerTime/4))
	defer timer.Stop()
	for {
		select {
		case err := <-delivered:
			if err != nil {
				return wire.No
			}
			delivered = nil
		case code := <-replies:
			return code
		case <-timer.C:
			return 0
		}
	}
}

// handleHand handles the handover of a job by another scheduler. Called under mu.
func (h *Handler) handleHand(m *wire.Message) {
	handed := m.Job
	class := h.classIndex(handed.Class)
	if e := h.live[handed.Record.ID]; e != nil || class < 0 || h.leaving || handed.Record.Digest == [16]byte{} {
		code := wire.No
		if e != nil && e.record.Replaces == handed.Record.Owner { // a repeat of an offer that was accepted
			code = wire.Yes
		}
		h.reply(m, wire.Message{Code: code})
		return
	}
	age, valid := h.permitAge(m.Roster)
	if early := m.Roster == 0 && core.Effect(handed.Record.Effect) != core.Unsafe; early {
		age, valid = 0, true // from a version that does not ask for permits, and the job may run twice
	}
	if !valid {
		h.log.Warn("a job that was handed over long ago is not taken", "id", handed.Record.ID, "from", m.From.Name)
		h.reply(m, wire.Message{Code: wire.No})
		return
	}
	handed.TimeLeft = max(0, handed.TimeLeft-age)
	e := h.newEntry(h.jobOf(handed, class), handed.Record.Digest, time.Now().Add(handed.TimeLeft))
	e.handedOver = true
	e.carriedBefore = true
	written := time.Now().Add(-age) // the permit is older than the message
	for _, p := range handed.PastAttempts {
		e.earlier = append(e.earlier, job.PastAttempt{Provider: p.Provider, Sent: written.Add(-p.Age), Started: p.Started, MayHaveRun: p.MayHaveRun, InFlight: !p.Ended})
	}
	for _, c := range handed.Record.Attempts {
		e.attempts = append(e.attempts, attempt{provider: c.Provider, at: written.Add(-c.Age)})
	}
	e.record = core.TakeoverRecord(&handed.Record, h.me, e.nonce)
	p := h.startPut(e)
	h.processInBackground(e, func() job.Outcome { return h.runHanded(e, p, m) })
}

// runHanded runs a job that was handed over to this scheduler, and replies to the offer m. The former owner has given the job up in
// favor of this scheduler alone, so that this one owns it even if too few keepers reply; the keepers direct requests here.
func (h *Handler) runHanded(e *entry, p *recordPut, m *wire.Message) job.Outcome {
	verdict := p.wait(time.Now().Add(h.cfg.AnswerTime))
	h.mu.Lock()
	if verdict == core.Lost || verdict == core.Tied { // another scheduler has taken it over already
		h.reply(m, wire.Message{Code: wire.No})
		e.answeredByOwner = true
		h.unlock()
		return h.askAgain()
	}
	h.count.TakenOver++
	h.reply(m, wire.Message{Code: wire.Yes})
	h.unlock()
	return h.run(e, p)
}

// classIndex returns the index of the class with a name, unless it is retired, or -1. Called under mu.
func (h *Handler) classIndex(name string) int {
	index := policy.ClassIndex(h.cfg.Classes, name)
	if index >= 0 && h.cfg.Classes[index].Retired {
		return -1
	}
	return index
}

// tenantIndex returns the index of the tenant with a name, or the number of tenants if there is none. Called under mu.
func (h *Handler) tenantIndex(name string) int {
	for i, t := range h.cfg.Tenants {
		if t.Name == name {
			return i
		}
	}
	return len(h.cfg.Tenants)
}

// jobOf converts a job from its wire form. Called under mu.
func (h *Handler) jobOf(w *wire.Job, class int) *job.Job {
	j := &job.Job{
		ID:         w.Record.ID,
		Class:      class,
		ClassName:  w.Class,
		Tenant:     h.tenantIndex(w.TenantName),
		TenantName: w.TenantName,
		Key:        w.Key,
		Subject:    w.Subject,
		Protocol:   w.Protocol,
		Deadline:   w.Deadline,
		TimeLeft:   w.TimeLeft,
		Hint:       w.WorkHint,
		Slots:      w.Slots,
		Payload:    w.Payload,
	}
	for _, f := range w.Fields {
		j.Fields = append(j.Fields, job.Field{Name: f.Name, Value: f.Value})
	}
	return j
}
