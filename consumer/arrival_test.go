package consumer

import (
	"context"
	"strings"
	"testing"
	"time"

	"laddertide/job"
)

// The time of a request that waits behind another one on its connection runs from its last byte on, also where it did not
// fit into the buffer.
func TestPipelinedDeadline(t *testing.T) {
	const waits, deadline = time.Second, 5 * time.Second
	for name, padding := range map[string]string{"short": "", "long": "X-Padding: " + strings.Repeat("x", 5000) + "\r\n"} {
		left := make(chan time.Duration, 10)
		r := newServer(t, func(_ context.Context, j *job.Job) job.Outcome {
			left <- j.Left
			if j.ID == "first" {
				time.Sleep(waits)
			}
			return job.Outcome{Kind: job.Served}
		})
		c := r.dial()
		c.say(ask("first", "check") + ask("second", "check", "X-Deadline-Ms: 5000\r\n", padding))
		c.hear(200)
		c.hear(200)
		<-left
		if got := <-left; got > deadline-waits/2 {
			t.Errorf("%s: %v are left of %v after %v", name, got, deadline, waits)
		}
		c.say(ask("third", "check", "X-Deadline-Ms: 5000\r\n"))
		c.hear(200)
		if got := <-left; got <= deadline-waits/2 {
			t.Errorf("%s: a request that did not wait has %v of %v", name, got, deadline)
		}
	}
}

// The log tells the read that brought the last byte taken, and stays within its bound.
func TestArrivalLog(t *testing.T) {
	var l arrivalLog
	begin := time.Unix(1000, 0)
	at := func(i int) time.Time { return begin.Add(time.Duration(i) * time.Second) }
	for i := range 10 {
		l.add(10, at(i))
	}
	for _, c := range []struct{ left, want int }{{95, 0}, {90, 0}, {89, 1}, {15, 8}, {0, 9}, {0, 9}} {
		if got := l.taken(c.left, at(99)); !got.Equal(at(c.want)) {
			t.Errorf("%d bytes left: %v, want %v", c.left, got, at(c.want))
		}
	}
	for i := range 10 * maxArrivals {
		l.add(1, at(i))
	}
	if len(l.reads) > maxArrivals {
		t.Errorf("%d reads are kept", len(l.reads))
	}
	if got := l.taken(0, at(9999)); !got.Equal(at(10*maxArrivals - 1)) {
		t.Errorf("the last byte came at %v", got)
	}
}
