package frontend

import (
	"context"
	"errors"
	"maps"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"laddertide/job"
	"laddertide/wire/stomp"
)

// Answers to the jobs of a session. Each job has a goroutine of its own and one answer.

// startJob accepts an admitted job and starts its goroutine: from here on it gets one answer.
func (n *session) startJob(t *sendRequest) {
	n.updateStage(func() { n.unanswered[t] = true })
	if t.receipt != "" && t.invalidReason == "" {
		n.sendReceipt(t.receipt)
	}
	go func() {
		defer func() {
			if p := recover(); p != nil {
				// A failure in one answer must not end the others.
				n.s.Log.Error("panic while answering a session", "panic", p, "stack", string(debug.Stack()))
				n.deliver(t, textAnswer(500, "failed"), true)
			}
		}()
		a, ok := n.answerTo(t)
		n.deliver(t, a, ok)
	}()
}

// deliver sends the answer to a job, unless it has one already. ok is false if the client has left.
func (n *session) deliver(t *sendRequest, a answer, ok bool) {
	if !n.claimAnswer(t) {
		return
	}
	defer n.endJob(t)
	if ok && n.sendMessage(t, a) == nil && a.written != nil {
		a.written()
	}
}

// claimAnswer claims the duty to answer a job. It reports false if another goroutine has claimed it.
func (n *session) claimAnswer(t *sendRequest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	taken := n.unanswered[t]
	delete(n.unanswered, t)
	return taken
}

// answerOpenJobs answers the jobs that the Handler still has at the end of the grace period.
func (n *session) answerOpenJobs() {
	n.mu.Lock()
	held := slices.Collect(maps.Keys(n.unanswered))
	n.mu.Unlock()
	for _, t := range held {
		a, ok := n.s.answerFor(n.s.Unfinished)
		n.deliver(t, a, ok)
	}
}

// endJob marks a job as answered, so that the session may have another one.
func (n *session) endJob(t *sendRequest) {
	n.updateStage(func() {
		n.openJobs--
		n.heldBytes -= t.bytes
		if n.openJobs == 0 && !n.reading {
			n.c.SetReadDeadline(time.Now()) // the reader waits without a deadline, or with one that has passed
		}
		n.jobEnded.Broadcast()
	})
}

// answerTo returns the answer to a SEND. It reports false if the client has left.
func (n *session) answerTo(t *sendRequest) (answer, bool) {
	switch {
	case t.invalidReason != "":
		return textAnswer(400, t.invalidReason), true
	case t.j == nil:
		b, ok := []byte(nil), false
		if t.tenant != "" {
			b, ok = n.s.Status(t.statusOf, t.tenant)
		}
		if !ok {
			return textAnswer(404, "no such job"), true
		}
		return answer{status: 200, body: b}, true
	}
	t.j.TimeLeft = max(0, t.j.TimeLeft-time.Since(t.arrivedAt))
	ctx, cancel := context.WithCancelCause(n.ctx)
	defer cancel(job.ErrAnswered)
	stop := context.AfterFunc(t.replyTo.ctx, func() { cancel(job.ErrClientLeft) })
	defer stop()
	return n.s.answerFor(n.s.handle(n.c.withLeaveCheck(ctx, cancel), t.j))
}

// sendMessage sends an answer to its subscription.
func (n *session) sendMessage(t *sendRequest, a answer) error {
	f := stomp.Frame{Command: stomp.MESSAGE, Body: a.body}
	n.mu.Lock()
	n.lastMessage++
	id := strconv.FormatUint(n.lastMessage, 10)
	if n.subscriptions[t.replyTo.id] != t.replyTo {
		n.mu.Unlock()
		return errors.New("frontend: the subscription has ended")
	}
	n.mu.Unlock()
	f.Headers = append(f.Headers, stomp.Field{Name: "destination", Value: t.replyTo.destination},
		stomp.Field{Name: "message-id", Value: id}, stomp.Field{Name: "request-id", Value: t.id},
		stomp.Field{Name: "status", Value: strconv.Itoa(a.status)})
	if t.replyTo.id != "" {
		f.Headers = append(f.Headers, stomp.Field{Name: "subscription", Value: t.replyTo.id})
	}
	if t.replyTo.wantsAcks && n.v >= stomp.V12 {
		f.Headers = append(f.Headers, stomp.Field{Name: "ack", Value: id})
	}
	if after := a.fields.Get("Retry-After"); after != "" {
		f.Headers = append(f.Headers, stomp.Field{Name: "retry-after", Value: after})
	}
	return n.write(&f)
}
