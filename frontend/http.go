package frontend

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"laddertide/internal/netfault"
	"laddertide/job"
	"laddertide/wire/http1"
)

// Paths with a meaning of their own; every other path is that of a job.
const (
	pathHealth = "/_health"
	pathEvents = "/v1/job-events"
	pathStatus = "/v1/job-status/" // followed by the job's id
)

// answer is a response to be written.
type answer struct {
	status int
	fields http1.Fields
	body   []byte
	last   bool // the connection closes after it

	written func() // called once it is written; may be nil
}

func (a *answer) bytes() []byte {
	return http1.AppendResponse(nil, a.status, a.fields, a.body, a.last)
}

func textAnswer(status int, why string) answer {
	return answer{status: status, body: []byte(why + "\n")}
}

// serveMessage reads one message and answers it. It reports whether the connection can be used further.
func (s *Server) serveMessage(c *conn) bool {
	head, err := http1.ReadRequestHead(c.br)
	var body []byte
	if err == nil {
		if head.Continue && c.br.Buffered() == 0 {
			c.SetWriteDeadline(time.Now().Add(writeLimit))
			if _, err := c.Write(http1.AppendResponse(nil, 100, nil, nil, false)); err != nil {
				return false
			}
		}
		body, err = head.ReadBody(c.br)
	}
	var syntax *http1.SyntaxError
	if errors.As(err, &syntax) {
		s.Log.Debug("malformed request", "from", c.RemoteAddr(), "err", err)
		status := 400
		if syntax.TooLarge {
			status = 413
		}
		s.write(c, answer{status: status, last: true})
		return false
	}
	if err != nil {
		if netfault.DeadlinePassed(err) {
			s.Log.Debug("unfinished request", "from", c.RemoteAddr(), "err", err)
			s.write(c, answer{status: 408, last: true})
		}
		return false // the request was incomplete, so nothing was accepted
	}
	c.arrivedAt = c.arrivals.consumedAt(c.br.Buffered()+len(c.readAhead), time.Now())
	if c.messages == 0 {
		s.surge.firstRequest(time.Since(c.arrivedAt))
	}
	c.answerOwed.Store(true)
	s.setStage(c, working)
	a, ok := s.route(c, head, body)
	if !ok {
		return false // the client has left, or another process answers
	}
	if head.Method == "HEAD" {
		a.body = nil // a client would read it as the start of the next answer
	}
	return s.respond(c, a, head.Close)
}

// respond writes the answer to the current message. last says that the connection closes with it. It reports whether the connection
// can be used further.
func (s *Server) respond(c *conn, a answer, last bool) bool {
	if !c.claimAnswer() {
		return false
	}
	s.mu.Lock()
	a.last = a.last || last || s.closingIdle || c.evicted || c.broken
	s.mu.Unlock()
	if !s.write(c, a) {
		return false
	}
	if a.written != nil {
		a.written()
	}
	return !a.last
}

// write writes an answer and reports whether all of it was written.
func (s *Server) write(c *conn, a answer) bool {
	c.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := c.Write(a.bytes())
	if err != nil {
		s.Log.Debug("answer not written", "to", c.RemoteAddr(), "err", err)
	}
	return err == nil
}

// route returns the answer to one message. It reports false if no answer is to be written here.
func (s *Server) route(c *conn, head *http1.Head, body []byte) (answer, bool) {
	path, _, _ := strings.Cut(head.Target, "?")
	switch path {
	case pathHealth:
		if head.Method != "GET" {
			return textAnswer(405, "GET only"), true
		}
		if s.Healthy != nil && !s.Healthy() {
			return textAnswer(503, "not yet: it comes back after a loss of power, or has nobody to serve"), true
		}
		if s.Limitation != nil {
			if why := s.Limitation(); why != "" {
				return textAnswer(200, "serving, but "+why), true
			}
		}
		return textAnswer(200, "serving"), true
	case pathEvents:
		if head.Method != "POST" {
			return textAnswer(405, "POST only"), true
		}
		if err := s.CallBack(body); err != nil {
			if errors.Is(err, job.ErrNotStored) {
				return textAnswer(500, err.Error()), true
			}
			s.logMalformedCallBack(c, err)
			return textAnswer(400, err.Error()), true
		}
		s.mu.Lock()
		if !c.carriesCallBacks {
			c.carriesCallBacks = true
			s.callBackConns++
		}
		s.mu.Unlock()
		return answer{status: 204}, true
	}
	if id, ok := strings.CutPrefix(path, pathStatus); ok && s.Status != nil && head.Method == "GET" {
		return s.statusAnswer(id, head), true
	}
	if head.Method != "POST" {
		return textAnswer(404, "no such page"), true
	}
	j, why := s.parse(head, body)
	if why != "" {
		s.Log.Debug("unusable request", "from", c.RemoteAddr(), "why", why)
		return textAnswer(400, why), true
	}
	j.TimeLeft = max(0, j.TimeLeft-time.Since(c.arrivedAt))
	return s.answerTo(j, c, head.Close)
}

// logMalformedCallBack logs a call-back that makes no sense, at most once an interval: a client may send them at full speed.
func (s *Server) logMalformedCallBack(c *conn, err error) {
	s.mu.Lock()
	s.malformedCallBacks++
	count, due := s.malformedCallBacks, time.Since(s.malformedLoggedAt) > logInterval
	if due {
		s.malformedLoggedAt, s.malformedCallBacks = time.Now(), 0
	}
	s.mu.Unlock()
	if due {
		s.Log.Warn("malformed call-back", "from", c.RemoteAddr(), "err", err, "since_last_line", count)
	}
}

// answerTo returns the answer to a job. It reports false if the client has left, or another process answers.
func (s *Server) answerTo(j *job.Job, c *conn, last bool) (answer, bool) {
	j.ConnectionSlots = s.slotsForJobs()
	started := time.Now()
	out := s.handleWatched(j, c)
	for out.Kind == job.Moved {
		moved := *j
		moved.TimeLeft -= time.Since(started)
		switch s.handOverJob(c, &moved, out.PastAttempts, last) {
		case transferred:
			return answer{}, false
		case refused:
			return s.answerFor(job.Outcome{Kind: job.Failed})
		}
		if s.graceOver.Load() {
			return s.answerFor(s.Unfinished)
		}
		moved.Keeper = job.NewInheritedKeeper(out.PastAttempts, func() {})
		j, started = &moved, time.Now()
		out = s.handleWatched(j, c)
	}
	return s.answerFor(out)
}

// answerFor converts an outcome to an answer. It reports false if the client has left.
func (s *Server) answerFor(out job.Outcome) (answer, bool) {
	a := textAnswer(502, "failed")
	after := out.RetryAfter
	switch out.Kind {
	case job.Served:
		a, after = answer{status: 200, body: out.Result}, 0
	case job.Rejected:
		a = textAnswer(503, "rejected: try again later")
	case job.Gone:
		return answer{}, false
	case job.Invalid:
		a, after = textAnswer(400, out.Why), 0
	case job.Conflict:
		a, after = textAnswer(409, "this id is another job's"), 0
	default:
		if after > 0 {
			a = textAnswer(502, "not over yet: ask again with the same id")
		}
	}
	if after > 0 {
		a.fields = http1.Fields{{Name: "Retry-After", Value: retryAfter(after, s.settings().MaxRetryAfter)}}
	}
	a.written = out.Written
	return a, true
}

// statusAnswer answers a query for the status of a job. The answer to other tenants does not reveal whether the job exists.
func (s *Server) statusAnswer(id string, head *http1.Head) answer {
	if head.Fields.Count("X-Tenant") == 1 {
		if b, ok := s.Status(id, head.Fields.Get("X-Tenant")); ok {
			return answer{status: 200, fields: http1.Fields{{Name: "Content-Type", Value: "application/json"}}, body: b}
		}
	}
	return textAnswer(404, "no such job")
}

// retryAfter formats a delay, at most limit, in seconds with decimals, as clients read it.
func retryAfter(d, limit time.Duration) string {
	return strconv.FormatFloat(min(d, limit).Seconds(), 'f', 3, 64)
}

var httpFieldNames = fieldNames{id: "X-Request-Id", class: "X-Class", tenant: "X-Tenant", key: "Idempotency-Key",
	deadline: "X-Deadline-Ms", hint: "X-Cost-Hint", extras: "X-Extras"}

var httpUniqueFields = httpFieldNames.unique()

// parse returns the job of a request, or the reason why the request is not a valid job.
func (s *Server) parse(head *http1.Head, body []byte) (*job.Job, string) {
	for _, name := range httpUniqueFields {
		if head.Fields.Count(name) > 1 {
			return nil, name + " is repeated" // a provider may use the other value
		}
	}
	j, why := s.parseJob(&httpFieldNames, head.Fields.Get)
	if why != "" {
		return nil, why
	}
	j.Subject, j.Payload, j.Protocol = head.Target, body, http1.Protocol
	j.Fields = head.Fields.EndToEnd("X-Deadline-Ms")
	return j, ""
}
