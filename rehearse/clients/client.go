package clients

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"laddertide/core/history"
	"laddertide/core/traffic"
)

// runClient runs one client: its first try, and the retries that follow from the outcomes.
func (k *runner) runClient(i int, a *traffic.Arrival, due time.Duration) {
	class := k.class(a)
	whole := microseconds(class.Deadline)
	first, sent := k.id(a, 0), time.Duration(0)
	for try := 0; ; try++ {
		now := k.Record.Since()
		left := whole
		if try == 0 {
			k.lags[i] = now - due
			sent = now
		} else {
			left -= now - sent
		}
		left = left.Truncate(time.Millisecond)
		if left <= 0 {
			return
		}
		t := &clientTry{runner: k, arrival: a, id: k.id(a, try), try: try, limit: left, started: now, durable: slices.Contains(k.Durable, class.Name)}
		k.recordAsk(a, t.id, first, try, due, now, left)
		if k.KeepEnded > 0 {
			t.initRoaming()
		}
		out, after := t.send()
		switch {
		case t.roam != nil:
			out, after = t.askUntilAnswered(out, after)
			out, after = t.roam.combine(out, after)
		case t.durable && t.endpoint != nil:
			out, after = t.askUntilAnswered(out, after)
		}
		if k.ctx.Err() != nil {
			return
		}
		if try == 0 && t.sent > 0 {
			sent = t.sent
		}
		now = k.Record.Since()
		wait, again := k.Retry.Next(traffic.RandomStream(a.ClientSeed, "retry"), class.Repeat, try, whole-(now-sent), now-sent,
			microseconds(class.Window), out, after)
		if !again {
			return
		}
		due = now + wait
		if !k.sleep(wait) {
			return
		}
	}
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// recordAsk records that a client is about to send a request.
func (k *runner) recordAsk(a *traffic.Arrival, id, first string, try int, due, now, limit time.Duration) {
	k.tally.asks.Add(1)
	k.Record.Add(history.Event{T: max(1, now.Microseconds()), Kind: history.KindAsk, Request: id, First: first,
		Try: try, Class: k.class(a).Name, Tenant: k.Plan.Tenants[a.Tenant].Name, Zone: k.Zones[a.Zone], Key: a.Key,
		Work: a.Work.Microseconds(), Due: due.Microseconds(), Limit: limit.Microseconds()})
}

// recordUnsent records that a request was not written to its last byte.
func (k *runner) recordUnsent(id, scheduler, note string) {
	k.tally.unsent.Add(1)
	k.Record.Add(history.Event{Kind: history.KindUnsent, Request: id, Scheduler: scheduler, Note: note})
}

// clientTry is a try of a client, with a request id of its own.
type clientTry struct {
	runner  *runner
	arrival *traffic.Arrival
	id      string
	try     int
	limit   time.Duration // how long the client waits, from the last byte on
	started time.Duration
	sent    time.Duration // when the last byte was first written; 0: not yet

	durable  bool       // the client asks again until it has an answer
	roam     *roamState // set if any scheduler may be asked for the job; nil: only the one that it was sent to
	endpoint *endpoint  // where the request was sent; nil: nowhere yet
	status   int        // of the latest complete answer; 0: none
}

// send sends the request and waits for its outcome.
func (t *clientTry) send() (traffic.Outcome, time.Duration) {
	k := t.runner
	buf := k.bodies.Get().(*[]byte)
	defer k.bodies.Put(buf)
	*buf = t.appendAndRecord((*buf)[:0], t.limit)
	patience := t.waitLimit(t.limit + microseconds(k.Rules.Slack+k.Rules.AnswerSlack))

	var c *conn
	var wait *pending
	again := false
	for renewed := false; ; {
		until := k.Record.Since() + dialTimeout + writeTimeout + patience + k.HangUpGrace + time.Second
		fresh := false
		if c == nil {
			wait = newPending()
			at, err := 0, error(nil)
			if c, at, fresh, err = k.connect(t.arrival.Zone, t.id, wait, until); err != nil {
				if k.ctx.Err() == nil {
					name := ""
					if at >= 0 {
						name = k.Schedulers[at].Name
					}
					k.recordUnsent(t.id, name, describeNetError(err))
				}
				return traffic.Unreachable, 0
			}
		} else {
			fresh = true
		}
		age := int64(0)
		if fresh {
			age = max(1, (k.Record.Since() - c.opened).Microseconds())
		}
		c.nc.SetWriteDeadline(time.Now().Add(min(writeTimeout, patience)))
		if n, err := c.write(*buf); err != nil {
			out, after, note := t.writeFailed(wait, n, err)
			c.drop()
			if k.ctx.Err() != nil {
				return out, 0
			}
			k.recordUnsent(t.id, c.endpoint.Name, note)
			if fresh || renewed || out != traffic.Unreachable {
				return out, after
			}
			// A reused connection was already dead, so the scheduler has not taken the request.
			renewed = true
			old := c
			wait = newPending()
			if c, err = old.endpoint.dial(t.id, wait, until); err != nil {
				k.recordUnsent(t.id, old.endpoint.Name, describeNetError(err))
				return traffic.Unreachable, 0
			}
			continue
		}
		now := k.Record.Since()
		if t.sent == 0 {
			t.sent = now
		}
		t.endpoint = c.endpoint
		k.recordSent(c, t.id, now, age, again)
		t.sendTwin()
		if k.OpenRequests != nil {
			k.OpenRequests.add(c.endpoint.Name, t.id, openRequest{t.arrival.Work, now})
		}
		a, over := t.await(c, wait, now, patience)
		if k.OpenRequests != nil {
			k.OpenRequests.remove(c.endpoint.Name, t.id)
		}
		if over {
			return traffic.Unanswered, 0
		}
		if a.complete {
			k.recordAnswer(c, t.id, a)
			close(wait.recorded)
			t.status = a.status
			return outcome(a)
		}
		k.recordBroken(c, t.id, a)
		// A close between requests may have crossed this request, unless it was the connection's first or the scheduler has read it.
		if t.durable || t.roam != nil || fresh || a.bytes > 0 || a.requestRead || a.t-now > microseconds(k.Rules.CrossingWindow) {
			return traffic.FailedTry, 0
		}
		wait = newPending()
		if c = t.redial(c, wait, until); c == nil {
			return traffic.FailedTry, 0
		}
		again = true
		k.tally.again.Add(1)
	}
}

// recordSent records that a request's last byte was written.
func (k *runner) recordSent(c *conn, id string, now time.Duration, age int64, again bool) {
	k.tally.sent.Add(1)
	k.Record.Add(history.Event{T: max(1, now.Microseconds()), Kind: history.KindSent, Request: id,
		Scheduler: c.endpoint.Name, Life: c.life, Conn: c.id, Fresh: age, Again: again})
}

// writeFailed returns the outcome of a failed write: the request was not taken, but may have been answered early.
func (t *clientTry) writeFailed(wait *pending, n int, err error) (traffic.Outcome, time.Duration, string) {
	timer := time.NewTimer(earlyAnswerWait)
	defer timer.Stop()
	note := fmt.Sprintf("%s after %d bytes of the request", describeNetError(err), n)
	select {
	case a := <-wait.answered:
		if a.complete {
			out, after := outcome(a)
			return out, after, fmt.Sprintf("%s; answered %d before its last byte", note, a.status)
		}
	case <-timer.C:
	case <-t.runner.ctx.Done():
	}
	return traffic.Unreachable, 0, note
}

// redial opens the connection on which a request that crossed a close is sent once more; nil: it is not sent again. The
// connection goes to the same process, or to another scheduler if that process is shutting down in an orderly way. A process
// that died instead may have taken the request, and a real client would not treat that as a close between requests.
func (t *clientTry) redial(old *conn, wait *pending, until time.Duration) *conn {
	k := t.runner
	c, err := old.endpoint.dial(t.id, wait, until)
	if err == nil {
		if c.life == old.life {
			return c
		}
		c.drop()
		return nil
	}
	if !k.front.isLeaving(old.endpoint.index) {
		return nil
	}
	at, ok := k.front.pick(k.Zones[t.arrival.Zone], func(i int) bool { return i == old.endpoint.index || k.endpoints[i].full() })
	if !ok {
		return nil
	}
	if c, err = k.endpoints[at].dial(t.id, wait, until); err != nil {
		return nil
	}
	return c
}

// await waits for the answer. over reports that the client's time expired first, or that it switches to another scheduler; this is
// recorded here, and so is an answer that crosses the client's hang-up.
func (t *clientTry) await(c *conn, wait *pending, sent, patience time.Duration) (a answer, over bool) {
	k := t.runner
	timer := time.NewTimer(sent + patience - k.Record.Since())
	defer timer.Stop()
	// The connection's goroutine may have seen the answer before this goroutine read the clock.
	late := func(a answer) answer {
		// A close seen before the request was written has crossed it. That goroutine may have run before the write found out
		// that the two crossed.
		a.requestRead = a.requestRead && a.t >= sent && !c.peerClosedFirst.Load()
		a.t = max(a.t, sent)
		return a
	}
	select {
	case a := <-wait.answered:
		return late(a), false
	case <-k.ctx.Done():
		c.drop()
		return answer{}, true
	case <-timer.C:
	}
	now := k.Record.Since()
	if !c.hangUp(wait) {
		return late(<-wait.answered), false
	}
	switches := t.recordHangUp(c, now)
	timer.Reset(k.HangUpGrace)
	select {
	case a := <-wait.answered:
		if a.complete && switches {
			return late(a), false // arrived just after the client switched
		}
		if a.complete {
			a.t = max(a.t, now)
			k.recordAnswer(c, t.id, a)
			close(wait.recorded)
		}
	case <-k.ctx.Done():
	case <-timer.C:
	}
	c.drop()
	return answer{}, true
}

// outcome maps a complete answer to the client's outcome and retry delay.
func outcome(a answer) (traffic.Outcome, time.Duration) {
	after := time.Duration(a.retryAfter * float64(time.Second))
	switch a.status {
	case 200:
		return traffic.Served, 0
	case 429, 503:
		return traffic.Refused, after
	}
	return traffic.FailedTry, after
}

var errNoScheduler = errors.New("the front admits no scheduler, or none that may have another connection")

// connect returns a connection for a client of a zone. at is the index of the scheduler, also with an error; -1: none.
func (k *runner) connect(zone int, id string, wait *pending, until time.Duration) (c *conn, at int, fresh bool,
	err error) {
	for range 8 {
		var ok bool
		if at, ok = k.front.pick(k.Zones[zone], func(i int) bool { return k.endpoints[i].full() }); !ok {
			return nil, -1, false, errNoScheduler
		}
		if c = k.endpoints[at].takeIdle(id, wait, until); c != nil {
			return c, at, false, nil
		}
		if k.front.closedTo(at) {
			continue // the idle connection because of which it was picked was taken or closed meanwhile
		}
		c, err = k.endpoints[at].dial(id, wait, until)
		return c, at, true, err
	}
	return nil, -1, false, errNoScheduler
}

// appendAndRecord appends the complete request with the given limit to b, and records it in the book.
func (t *clientTry) appendAndRecord(b []byte, limit time.Duration) []byte {
	b, target, body := t.appendRequest(b, limit)
	t.recordInBook(target, body)
	return b
}

// appendRequest is appendAndRecord without the record in the book; target and body are the values that the book needs.
func (t *clientTry) appendRequest(b []byte, limit time.Duration) (all []byte, target string, body []byte) {
	k, a := t.runner, t.arrival
	target, sep, end := "/api/"+a.Object, ": ", "\r\n"
	names := []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms", "Idempotency-Key", "X-Cost-Hint", "X-Extras", "X-Retry",
		"Content-Length"}
	inStomp := k.speaksSTOMP()
	if inStomp {
		target, sep, end = t.destination(a), ":", "\n"
		names = []string{"request-id", "class", "tenant", "deadline-ms", "idempotency-key", "cost-hint", "extras", "retry", "content-length"}
	}
	header := func(name, value string) {
		b = append(b, name...)
		b = append(b, sep...)
		b = append(b, value...)
		b = append(b, end...)
	}
	number := func(name string, n int64) { header(name, strconv.FormatInt(n, 10)) }
	if inStomp {
		b = append(b, "SEND\n"...)
		header("destination", target)
	} else {
		b = append(b, "POST "...)
		b = append(b, target...)
		b = append(b, " HTTP/1.1\r\n"...)
		header("Host", k.Host)
	}
	header(names[0], t.id)
	header(names[1], k.class(a).Name)
	header(names[2], k.Plan.Tenants[a.Tenant].Name)
	number(names[3], limit.Milliseconds())
	if a.Key != "" {
		header(names[4], a.Key)
	}
	if a.Hint > 0 {
		number(names[5], max(1, a.Hint.Microseconds()))
	}
	header(names[6], "slots="+strconv.FormatFloat(a.Slots, 'f', -1, 64)+
		",memory="+strconv.FormatFloat(a.Memory, 'f', 2, 64))
	if t.try > 0 {
		header(names[7], "1")
	}
	number(names[8], int64(a.Body))
	b = append(b, end...)
	head := len(b)
	b = appendText(b, a.Body, rand.NewPCG(a.ClientSeed, 0xb0d1))
	body = b[head:]
	if inStomp {
		b = append(b, 0)
	}
	return b, target, body
}

// appendText appends n random printable bytes.
func appendText(b []byte, n int, chance *rand.PCG) []byte {
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"
	for n > 0 {
		x := chance.Uint64()
		for range min(n, 10) {
			b = append(b, letters[x&63])
			x >>= 6
		}
		n -= min(n, 10)
	}
	return b
}
