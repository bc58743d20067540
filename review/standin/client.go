//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// request is what a client asks for.
type request struct {
	id, class, tenant, key string
	deadline               time.Duration
	run                    time.Duration // that the worker takes
	hint                   time.Duration
	extras                 string
}

func (q *request) bytes() []byte {
	body := strconv.FormatInt(q.run.Milliseconds(), 10) + " ms"
	s := fmt.Sprintf("POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline-Ms: %d\r\n",
		q.id, q.class, q.tenant, q.deadline.Milliseconds())
	if q.key != "" {
		s += "Idempotency-Key: " + q.key + "\r\n"
	}
	if q.hint > 0 {
		s += fmt.Sprintf("X-Cost-Hint: %d\r\n", q.hint.Microseconds())
	}
	if q.extras != "" {
		s += "X-Extras: " + q.extras + "\r\n"
	}
	return []byte(s + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

// answer is what a client has got for a request.
type answer struct {
	status     int
	retryAfter string
	body       string
	took       time.Duration // from the last byte of the request to the last one of the answer
	err        error         // there was none
}

func (a *answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %.3f s: %v", a.took.Seconds(), a.err)
	}
	text := a.body[:min(len(a.body), 40)]
	return fmt.Sprintf("%d after %.3f s, %d bytes: %q", a.status, a.took.Seconds(), len(a.body), text)
}

// send sends a request on a new connection, and returns the connection.
func send(address string, q *request) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write(q.bytes()); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// receive reads the answer, until a time after sent.
func receive(c net.Conn, sent time.Time, wait time.Duration) (a answer) {
	defer func() { a.took = time.Since(sent) }()
	c.SetReadDeadline(sent.Add(wait))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return answer{err: errors.Join(errors.New("not a whole answer"), err)}
	}
	return answer{status: r.StatusCode, retryAfter: r.Header.Get("Retry-After"), body: string(b)}
}

// ask sends a request on a new connection and waits for its answer, for wait at most.
func (p *play) ask(address string, q *request, wait time.Duration) answer {
	sent := time.Now()
	c, err := send(address, q)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	p.note("client sends %s %s key %q deadline %d ms", q.class, q.id, q.key, q.deadline.Milliseconds())
	a := receive(c, sent, wait)
	p.note("client of %s has: %s", q.id, &a)
	return a
}
