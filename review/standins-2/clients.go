package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client gets: a status with a body, or an error (a connection that broke, or nothing in time).
type answer struct {
	status     int
	body       string
	retryAfter string
	err        error
	took       time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %.3f s: %v", a.took.Seconds(), a.err)
	}
	body := a.body
	if len(body) > 60 {
		body = fmt.Sprintf("%s... (%d bytes)", body[:30], len(body))
	}
	text := fmt.Sprintf("%d %q after %.3f s", a.status, body, a.took.Seconds())
	if a.retryAfter != "" {
		text += ", Retry-After " + a.retryAfter
	}
	return text
}

// send sends one message on a new connection and reads its answer, within a time.
func send(to, message string, within time.Duration) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	c, err := net.DialTimeout("tcp", to, within)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	c.SetDeadline(began.Add(within))
	if _, err := io.WriteString(c, message); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c))
}

func readAnswer(br *bufio.Reader) answer {
	p, err := http.ReadResponse(br, nil)
	if err != nil {
		return answer{err: err}
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: p.StatusCode, body: string(b), retryAfter: p.Header.Get("Retry-After")}
}

// lostAfter is how long after its time a request still gets its final answer; a later one is lost.
const lostAfter = 500 * time.Millisecond

// request is a client's job.
type request struct {
	id, class, key string
	deadline       time.Duration
	body           string
	tenant         string // rainier-haul, if it is left out
}

func (q request) message() string {
	key := ""
	if q.key != "" {
		key = "Idempotency-Key: " + q.key + "\r\n"
	}
	tenant := "rainier-haul"
	if q.tenant != "" {
		tenant = q.tenant
	}
	return fmt.Sprintf("POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\n"+
		"X-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s", q.id, q.class, tenant, q.deadline.Milliseconds(), key, len(q.body), q.body)
}

// ask sends a job and waits for its answer, a little beyond the client's own patience so that a late answer is seen.
func (r *rig) ask(who, to string, q request, patience time.Duration) answer {
	r.note("%s: sends %s %s, X-Deadline-Ms %d", who, q.class, q.id, q.deadline.Milliseconds())
	a := send(to, q.message(), patience)
	r.note("%s: %s: %v", who, q.id, a)
	return a
}
