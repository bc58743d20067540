package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// ask is a client's request for a job.
type ask struct {
	to       string // address
	id       string
	class    string
	deadline time.Duration
	patience time.Duration // for how long the client reads on; 0: half a second over the deadline
}

// reply is what became of a request.
type reply struct {
	status     int // 0: no answer
	retryAfter string
	body       string
	took       time.Duration
	err        error
}

func (a reply) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer in %.3f s: %v", a.took.Seconds(), a.err)
	}
	text := a.body
	if len(text) > 40 {
		text = fmt.Sprintf("%s... (%d bytes)", text[:20], len(a.body))
	}
	more := ""
	if a.retryAfter != "" {
		more = ", Retry-After " + a.retryAfter
	}
	return fmt.Sprintf("%d%s after %.3f s: %q", a.status, more, a.took.Seconds(), text)
}

// send makes a request on a connection of its own and waits for the answer.
func (a ask) send() (out reply) {
	began := time.Now()
	defer func() { out.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp", a.to, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	return a.sendOn(conn)
}

// sendOn makes a request on a connection and waits for the answer.
func (a ask) sendOn(conn net.Conn) (out reply) {
	began := time.Now()
	defer func() { out.took = time.Since(began) }()
	patience := a.patience
	if patience == 0 {
		patience = a.deadline + 500*time.Millisecond
	}
	conn.SetDeadline(began.Add(patience))
	body := "payload"
	if _, err := fmt.Fprintf(conn, "POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: rainier-haul\r\n"+
		"X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", a.id, a.class, a.deadline.Milliseconds(), len(body), body); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	return reply{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), body: string(text)}
}
