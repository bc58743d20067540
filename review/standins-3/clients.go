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
	key      string
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
	key := ""
	if a.key != "" {
		key = "Idempotency-Key: " + a.key + "\r\n"
	}
	patience := a.patience
	if patience == 0 {
		patience = a.deadline + 500*time.Millisecond
	}
	conn.SetDeadline(began.Add(patience))
	body := "payload"
	if _, err := fmt.Fprintf(conn, "POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: rainier-haul\r\n"+
		"X-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s", a.id, a.class, a.deadline.Milliseconds(), key, len(body), body); err != nil {
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

// newCuttingProxy starts a proxy before an address. It passes on what clients send. cut is called with each connection's number, from 1,
// when the first bytes come back on it, or, with early set, as soon as bytes have gone there and a time has passed; if it returns true,
// both sides of the connection are reset and nothing of the answer is passed on.
func newCuttingProxy(r *rig, to string, cutAfter time.Duration, cut func() bool) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go relay(r, c.(*net.TCPConn), to, cutAfter, cut)
		}
	}()
	return ln.Addr().String()
}

// relay passes bytes on between a client's connection and one to the scheduler. If cut says so, both are reset cutAfter after the client
// connected or, if that is 0, once the first bytes of an answer come back.
func relay(r *rig, client *net.TCPConn, to string, cutAfter time.Duration, cut func() bool) {
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		client.Close()
		return
	}
	server := conn.(*net.TCPConn)
	cutting := cut()
	reset := func() {
		r.note("proxy: the connection is reset")
		for _, c := range []*net.TCPConn{client, server} {
			c.SetLinger(0)
			c.Close()
		}
	}
	if cutting && cutAfter > 0 {
		time.AfterFunc(cutAfter, reset)
	}
	go func() {
		io.Copy(server, client)
		server.CloseWrite()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := server.Read(buffer)
		if n > 0 && cutting && cutAfter == 0 {
			reset()
			return
		}
		if n > 0 {
			client.Write(buffer[:n])
		}
		if err != nil {
			client.Close()
			return
		}
	}
}
