package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// A stand-in whose operators' file has a section durable keeps all jobs in a file of lines, and goes on with them when
// it is started again. It waits for the word of workers that may have a job out, whatever its class.

// lasting is what a durable job has beside what any has.
type lasting struct {
	done   chan struct{} // closed when there is an answer; nil: it is not durable
	status int           // the answer
	body   string

	// These belong to the scheduler's mutex.
	left    bool // it goes on in the next process
	ended   bool // its end is in the ledger
	resumed bool // a process before this one may have it out
}

// entry is a line of the ledger.
type entry struct {
	Kind   string      `json:"k"` // taken, leased, over, ended
	ID     string      `json:"id"`
	Target string      `json:"target,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	Time   time.Time   `json:"time,omitzero"` // taken: by when its client wants its answer; leased: when
	Worker string      `json:"worker,omitempty"`
	Never  bool        `json:"never,omitempty"` // over: it never ran
	Status int         `json:"status,omitempty"`
	Result string      `json:"result,omitempty"`
}

var ledgerDir = regexp.MustCompile(`durable:\s*\{\s*dir:\s*([^,}\s]+)`)

// remember opens the ledger, if the operators' file that the arguments name wants one, and reads what it has.
func (s *scheduler) remember(args []string) error {
	file := ""
	for i := range len(args) - 1 {
		if args[i] == "--fleet" {
			file = args[i+1]
		}
	}
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	m := ledgerDir.FindSubmatch(raw)
	if m == nil {
		return nil
	}
	s.ledger, err = os.OpenFile(filepath.Join(string(m[1]), "jobs"), os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	s.kept = make(map[string]*job)
	if s.bad["forget-ledger"] {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	br := bufio.NewReader(s.ledger)
	for {
		line, err := br.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			break // a line without an end was never written whole
		}
		if err != nil {
			return err
		}
		var e entry
		if json.Unmarshal(line, &e) == nil { // else torn, and another process has gone on behind it
			s.replay(&e)
		}
	}
	for _, j := range s.jobs {
		s.resume(j)
	}
	return nil
}

// replay takes in a line of the ledger. Called under mu.
func (s *scheduler) replay(e *entry) {
	j := s.jobs[e.ID]
	if e.Kind == "taken" {
		r := &request{method: "POST", target: e.Target, header: e.Header, body: e.Body}
		if class := s.classes[e.Header.Get("X-Class")]; class != nil {
			s.jobs[e.ID] = s.newLasting(r, e.ID, class, e.Time)
		}
		return
	}
	if j == nil {
		return
	}
	switch e.Kind {
	case "leased":
		if j.at = s.workers[e.Worker]; j.at == nil {
			j.at = &worker{name: e.Worker}
			s.workers[e.Worker] = j.at
		}
		j.sends++
		j.sent, j.resumed, j.heard = e.Time, true, make(chan event, 1)
	case "over":
		if !e.Never && j.mayRun.IsZero() {
			j.mayRun = j.sent
		}
		j.at, j.resumed = nil, false
	case "ended":
		delete(s.jobs, e.ID)
		j.stop()
		s.ends(j, e.Status, e.Result)
		close(j.done)
	}
}

// resume goes on with a job. Called under mu.
func (s *scheduler) resume(j *job) {
	switch {
	case j.resumed && s.bad["resend-recovered"]:
		j.at, j.resumed = nil, false
	case j.resumed && j.at.since > j.sent.UnixMilli():
		j.hear(event{State: "lost", From: j.at.name})
	case !j.resumed && !j.mayRun.IsZero() && j.class.repeat == "non_idempotent":
		j.stop() // no word is to be waited for
	}
	go j.carry()
}

// newLasting makes a job that is to be answered by due.
func (s *scheduler) newLasting(r *request, id string, class *class, due time.Time) *job {
	s.count++
	j := &job{s: s, r: r, id: id, class: class, due: due, n: s.count, lasting: lasting{done: make(chan struct{})}}
	j.ctx, j.stop = context.WithDeadline(context.Background(), due.Add(-margin))
	return j
}

// takeLasting finds a job that is known, or takes it. Called under mu.
func (s *scheduler) takeLasting(r *request, id string, class *class, left time.Duration) *job {
	if j := s.jobs[id]; j != nil {
		return j
	}
	if j := s.kept[id]; j != nil {
		if s.bad["recant"] {
			j = &job{s: s, id: id, lasting: lasting{done: j.done, status: 500}}
		}
		return j
	}
	j := s.newLasting(r, id, class, r.at.Add(left))
	s.note(entry{Kind: "taken", ID: id, Target: r.target, Header: r.header, Body: r.body, Time: j.due})
	if s.isStopping() {
		j.hurry()
	}
	s.jobs[id] = j
	go j.carry()
	return j
}

// note writes a line, which outlives the process from then on. Called under mu.
func (s *scheduler) note(e entry) {
	line, err := json.Marshal(e)
	if err == nil {
		_, err = s.ledger.Write(append(line, '\n'))
	}
	if err != nil {
		s.fail(err)
	}
}

// keep has a job end so for good, unless it has ended before. Called under mu.
func (s *scheduler) keep(j *job, status int, result string) {
	if j.done == nil || j.ended {
		return
	}
	s.note(entry{Kind: "ended", ID: j.id, Status: status, Result: result})
	s.ends(j, status, result)
}

func (s *scheduler) ends(j *job, status int, result string) {
	j.ended, j.status, j.body = true, status, result
	s.kept[j.id] = j
}

// carry brings a durable job to its end, apart from its client's connection.
func (j *job) carry() {
	status, body := j.run()
	j.stop()
	s := j.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.left && !j.ended {
		j.status = 502
	} else {
		s.keep(j, status, body)
	}
	delete(s.jobs, j.id)
	close(j.done)
}

// await waits for what becomes of an attempt of a process before this one.
func (j *job) await() (end, string) {
	defer func() {
		j.s.mu.Lock()
		defer j.s.mu.Unlock()
		j.at, j.resumed = nil, false
	}()
	if j.mayRun.IsZero() {
		j.mayRun = j.sent
	}
	select {
	case e := <-j.heard:
		return j.what(e)
	case <-j.ctx.Done():
	}
	if !j.isLeft() {
		go j.s.giveUp(j.at.address, j.id)
	}
	return timeOver, ""
}

// lease writes down that a job is about to be sent.
func (j *job) lease(w *worker, at time.Time) {
	if j.done == nil {
		return
	}
	j.s.mu.Lock()
	defer j.s.mu.Unlock()
	j.s.note(entry{Kind: "leased", ID: j.id, Worker: w.name, Time: at})
}

// over writes down how an attempt has ended. One that goes on is not over.
func (j *job) over(how end) {
	if j.done == nil || how == timeOver || how == served {
		return
	}
	j.s.mu.Lock()
	defer j.s.mu.Unlock()
	j.s.note(entry{Kind: "over", ID: j.id, Never: how == neverRan})
}

// leave leaves a durable job to the next process.
func (j *job) leave() {
	if j.done == nil {
		return
	}
	j.s.mu.Lock()
	defer j.s.mu.Unlock()
	j.left = true
}

func (j *job) isLeft() bool {
	j.s.mu.Lock()
	defer j.s.mu.Unlock()
	return j.left
}

// lastingClient waits with the client of a durable job, who may go and ask again.
func (s *scheduler) lastingClient(c net.Conn, br *bufio.Reader, r *request, j *job) bool {
	gone := make(chan error, 1)
	go func() {
		_, err := br.Peek(1)
		gone <- err
	}()
	more := false
	select {
	case <-j.done:
	case err := <-gone:
		if err != nil {
			return false
		}
		more = true
		<-j.done
	}
	s.mu.Lock()
	last := r.close || s.isStopping() && time.Since(s.stopping) > keepOpen/2
	text := answerOf(j.status, j.body, last)
	if j.status == 502 && j.left {
		text = strings.Replace(text, "\r\n", "\r\nRetry-After: 1\r\n", 1)
	}
	s.mu.Unlock()
	if !write(c, text) || last {
		return false
	}
	s.busy(c, false)
	c.SetReadDeadline(time.Now().Add(idleLimit))
	return more || <-gone == nil
}
