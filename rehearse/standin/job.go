package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// event is a call-back.
type event struct {
	ID, From, State, Result string
}

// job is a request that was taken.
type job struct {
	s     *scheduler
	r     *request
	id    string
	class *class
	hint  float64 // microseconds
	due   time.Time
	ctx   context.Context
	n     int // place among the requests taken

	// These belong to the scheduler's mutex.
	at    *worker // that has the present attempt; nil: none is out
	heard chan event
	sent  time.Time // when a place was found for it
	stop  context.CancelFunc

	sends  int
	again  bool      // sabotage: it is sent again whatever has become of it
	mayRun time.Time // when an attempt that may have run was sent first; zero: none may have

	lasting
}

// hear passes on what became of the present attempt, the first that is said of it. Called under mu.
func (j *job) hear(e event) {
	select {
	case j.heard <- e:
	default:
	}
}

// client serves a client's request, and says whether another may come on the connection.
func (s *scheduler) client(c net.Conn, br *bufio.Reader, r *request) bool {
	j, status, why := s.take(r)
	if j == nil {
		if s.bad["serve-strangers"] {
			status = 200
		}
		return write(c, answerOf(status, why, r.close)) && !r.close
	}
	if j.done != nil {
		return s.lastingClient(c, br, r, j)
	}
	if s.sabotageAtOnce(c, j) {
		s.mu.Lock()
		delete(s.jobs, j.id)
		s.mu.Unlock()
		return false
	}
	stop := j.stop
	gone := make(chan error, 1)
	go func() { // only a blocked read sees a client that hangs up
		_, err := br.Peek(1)
		if err != nil {
			stop()
		}
		gone <- err
	}()
	status, body := j.run()
	stop()
	s.sabotageEnded(j)
	s.mu.Lock()
	delete(s.jobs, j.id)
	last := r.close || s.isStopping() && time.Since(s.stopping) > keepOpen/2
	if status == 200 {
		defer func() { s.mu.Lock(); s.last = body; s.mu.Unlock() }()
	}
	s.mu.Unlock()
	ok, done := s.sabotageAnswer(c, j, status, body)
	if !done {
		ok = write(c, answerOf(status, body, last))
	}
	if !ok || last {
		return false
	}
	s.busy(c, false)
	// Whoever stops closes it in its time; a dead connection ends the wait too.
	c.SetReadDeadline(time.Now().Add(idleLimit))
	return <-gone == nil
}

// take checks a request and keeps it.
func (s *scheduler) take(r *request) (j *job, status int, why string) {
	id := r.header.Get("X-Request-Id")
	ms, err := strconv.Atoi(r.header.Get("X-Deadline-Ms"))
	if id == "" || err != nil || ms <= 0 {
		return nil, 400, "no id or no deadline"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	class := s.classes[r.header.Get("X-Class")]
	if class == nil {
		return nil, 400, "no such class"
	}
	if s.ledger != nil {
		return s.takeLasting(r, id, class, time.Duration(ms)*time.Millisecond), 0, ""
	}
	if s.jobs[id] != nil {
		return nil, 409, "this id is open"
	}
	s.count++
	j = &job{s: s, r: r, id: id, class: class, due: r.at.Add(time.Duration(ms) * time.Millisecond), n: s.count}
	if j.hint, err = strconv.ParseFloat(r.header.Get("X-Cost-Hint"), 64); err != nil {
		j.hint = 0
	}
	class.hints, class.seen = class.hints+j.hint, class.seen+1
	j.ctx, j.stop = context.WithDeadline(context.Background(), j.due.Add(-margin))
	if s.isStopping() {
		j.hurry()
	}
	s.jobs[id] = j
	return j, 0, ""
}

// hurry lets a job end in time for a scheduler that stops. Called under mu.
func (j *job) hurry() {
	if end := j.s.stopping.Add(stopLimit); end.Before(j.due.Add(-margin)) {
		time.AfterFunc(time.Until(end), func() {
			j.leave()
			j.stop()
		})
	}
}

// end is how an attempt ended.
type end int

const (
	served end = iota
	neverRan
	mayHaveRun
	timeOver
)

// run brings a job to its answer.
func (j *job) run() (status int, body string) {
	if j.s.bad["hold-while-down"] {
		j.s.holdWhileDown(j)
	}
	for {
		var how end
		var result string
		if j.resumed {
			how, result = j.await()
		} else {
			w := j.place()
			if w == nil {
				return j.refuse()
			}
			how, result = j.attempt(w)
		}
		j.over(how)
		if j.s.bad["ignore-returned"] && how == neverRan {
			how = mayHaveRun
		}
		switch how {
		case served:
			return 200, result
		case mayHaveRun:
			if j.mayRun.IsZero() {
				j.mayRun = time.Now()
			}
			if again := j.mayRepeat(); !again {
				return j.refuse()
			}
		case timeOver:
			return j.refuse()
		}
		if j.sends >= j.limit() {
			return j.refuse()
		}
	}
}

func (j *job) limit() int {
	if j.s.bad["many-attempts"] {
		return 50
	}
	return max(1, j.s.cfg.Settings.Permissions.TryLimit)
}

// mayRepeat says whether a job of which an attempt may have run can be sent again.
func (j *job) mayRepeat() bool {
	switch {
	case j.s.bad["resend-issue"] || j.again:
		return true
	case j.class.repeat == "read_like":
		return true
	case j.class.repeat == "idempotency_key":
		return time.Since(j.mayRun) < j.class.window/2
	}
	return false
}

// refuse is the final answer of a job that was not served.
func (j *job) refuse() (int, string) {
	if j.mayRun.IsZero() || j.class.repeat == "read_like" || j.s.bad["refuse-after-run"] {
		return 503, "try again"
	}
	return 504, "it may have run"
}

// place waits for a worker that may have the job; nil: its time is over.
func (j *job) place() *worker {
	s := j.s
	for {
		if j.ctx.Err() != nil {
			return nil
		}
		s.mu.Lock()
		if w := s.pick(j); w != nil {
			w.out++
			w.last = time.Now()
			j.at, j.heard, j.sent = w, make(chan event, 1), time.Now()
			s.mu.Unlock()
			return w
		}
		changed := s.changed
		s.mu.Unlock()
		timer := time.NewTimer(100 * time.Millisecond) // some places open with time alone
		select {
		case <-changed:
		case <-timer.C:
		case <-j.ctx.Done():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// pick is the worker with the least to do, of those that may have the job. Called under mu.
func (s *scheduler) pick(j *job) *worker {
	var best *worker
	now := time.Now()
	for _, w := range s.workers {
		if !w.serving || w.banned || now.Before(w.suspect) && !s.bad["hold-while-down"] {
			continue
		}
		if s.bad["flood-cold"] || s.bad["hold-while-down"] {
			if best == nil || w.since > best.since {
				best = w
			}
			continue
		}
		most := int(w.cores * perCore)
		if w.unreached {
			most = 1
		}
		if s.bad["many-attempts"] {
			most = 1 << 20
		}
		if w.out >= most || now.Sub(w.begun) < coldFor && !s.mild(j, w, now) {
			continue
		}
		if best == nil || float64(w.out)/w.cores < float64(best.out)/best.cores ||
			float64(w.out)/w.cores == float64(best.out)/best.cores && w.name < best.name {
			best = w
		}
	}
	return best
}

// mild says whether a job can do a cold worker no harm even if all schedulers send one like it. Called under mu.
func (s *scheduler) mild(j *job, w *worker, now time.Time) bool {
	if w.out > 0 || now.Sub(w.last) < coldPause || j.class.seen < 3 || now.Sub(w.begun) < coldPause {
		return false
	}
	o := s.cfg.Settings.Obligations
	bears := o.ColdFrom * o.FallMultiple * float64(o.Fall) * w.cores * 0.85
	return j.class.hints/float64(j.class.seen)*float64(max(1, s.cfg.Settings.FleetSize)) < bears
}

// attempt sends the job to a worker and waits for what becomes of it.
func (j *job) attempt(w *worker) (end, string) {
	s := j.s
	s.mu.Lock()
	heard, address := j.heard, w.address
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		w.out--
		j.at = nil
		s.wake()
		s.mu.Unlock()
	}()
	limit := time.Duration(s.cfg.Settings.Permissions.DialTimeout) * time.Microsecond
	c, err := net.DialTimeout("tcp4", address, max(limit, 100*time.Millisecond))
	if err != nil {
		s.unreached(w)
		sleep(j.ctx, 30*time.Millisecond)
		return neverRan, ""
	}
	defer c.Close()
	sent := time.Now()
	j.sends++
	j.lease(w, sent)
	text := j.text()
	c.SetDeadline(sent.Add(ackLimit))
	if _, err := c.Write(text); err != nil {
		return neverRan, "" // the last byte was not written
	}
	s.sabotageSent(j, w)
	if j.mayRun.IsZero() && s.bad["answer-early"] {
		return served, "early"
	}
	stop := context.AfterFunc(j.ctx, func() { c.SetDeadline(time.Now()) })
	defer stop()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		// A call-back may have come before the 202, and instead of it.
		select {
		case e := <-heard:
			return j.what(e)
		default:
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && j.ctx.Err() == nil {
			s.unreached(w)
		}
		if j.mayRun.IsZero() {
			j.mayRun = sent
		}
		if j.ctx.Err() != nil {
			return timeOver, ""
		}
		return mayHaveRun, ""
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, mostBody))
	s.mu.Lock()
	w.unreached = false
	s.mu.Unlock()
	switch {
	case resp.StatusCode == 202:
	case resp.Header.Get("X-Not-Run") == "1" && (resp.StatusCode == 503 || resp.StatusCode == 504):
		if s.bad["many-attempts"] {
			return neverRan, ""
		}
		sleep(j.ctx, 100*time.Millisecond)
		return neverRan, ""
	default:
		return mayHaveRun, ""
	}
	if s.sabotageTaken(j, w, heard) {
		return mayHaveRun, ""
	}
	select {
	case e := <-heard:
		if e.State != "done" && e.State != "returned" && j.mayRun.IsZero() {
			j.mayRun = sent
		}
		return j.what(e)
	case <-j.ctx.Done():
	}
	if j.mayRun.IsZero() {
		j.mayRun = sent
	}
	if !j.isLeft() {
		go s.giveUp(address, j.id)
	}
	return timeOver, ""
}

// what is what an event says of its attempt.
func (j *job) what(e event) (end, string) {
	switch e.State {
	case "done":
		return served, e.Result
	case "returned":
		return neverRan, ""
	}
	return mayHaveRun, ""
}

// unreached keeps jobs from a worker that does not answer, for a while. One that answers later is cold.
func (s *scheduler) unreached(w *worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.unreached = true
	w.suspect = time.Now().Add(suspectFor)
	w.begun = w.suspect
}

// giveUp withdraws an attempt that a worker has taken.
func (s *scheduler) giveUp(address, id string) {
	c, err := net.DialTimeout("tcp4", address, 250*time.Millisecond)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(ackLimit))
	fmt.Fprintf(c, "DELETE /jobs/%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", id, address)
	io.Copy(io.Discard, c)
}

// text is the job as a worker gets it: as it came, but for the headers that are the scheduler's own.
func (j *job) text() []byte {
	target, id, key, body := j.sabotageForm()
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: worker\r\nX-Request-Id: %s\r\n", target, id)
	if key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", key)
	}
	for _, name := range []string{"X-Class", "X-Tenant", "X-Cost-Hint", "X-Extras"} {
		if v := j.r.header.Get(name); v != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	left := max(time.Millisecond, time.Until(j.due))
	fmt.Fprintf(&b, "X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", left.Milliseconds(), len(body))
	b.Write(body)
	return []byte(b.String())
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
