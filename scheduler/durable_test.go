package scheduler

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"laddertide/ledger"
)

// askJob sends a job that may be answered from the ledger alone.
func (c *client) askJob(id, class, tenant, body string) {
	c.t.Helper()
	c.send("POST /api/x HTTP/1.1\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nIdempotency-Key: k%s\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, class, tenant, id, len(body), body)
}

// A durable job is sent once and answered to each client that asks for it, also by the next process, and to no other client.
func TestDurableJobOverARestart(t *testing.T) {
	dir := t.TempDir()
	text := fmt.Sprintf("durable: {dir: %s}\njob_status: {}\n", dir)
	r := newRig(t, text, io.Discard)
	first, second := r.dial(), r.dial()
	r.submit(first, "d1", "settle", "rainier-haul", "")
	second.askJob("d1", "settle", "rainier-haul", "x") // joins
	r.event("d1", "started", "")
	r.event("d1", "done", `,"result":"the result","lease":1000000`) // a report for another lease changes nothing
	r.event("d1", "done", `,"result":"the result"`)
	for _, c := range []*client{first, second} {
		if got := c.receive(200); got != "the result" {
			t.Errorf("answered %q", got)
		}
	}
	for body, status := range map[string]int{"x": 200, "y": 409} {
		c := r.dial()
		c.askJob("d1", "settle", "rainier-haul", body)
		if got := c.receive(status); status == 409 && strings.Contains(got, "result") {
			t.Errorf("a conflicting request gets the result: %q", got)
		}
	}
	c := r.dial()
	c.askJob("d1", "settle", "puget-delivery", "x")
	c.receive(409)
	copied := filepath.Join(t.TempDir(), "copy")
	if err := r.sched.SnapshotLedger(copied); err != nil {
		t.Fatal(err)
	}
	records := 0
	if _, err := ledger.Read(copied, func(uint64, []byte) error { records++; return nil }, nil); err != nil || records < 3 {
		t.Errorf("%d records in the copy, %v", records, err)
	}
	r.stopAndWait()
	if len(r.jobs) != 0 {
		t.Errorf("sent again: %s", <-r.jobs)
	}

	next := newRig(t, text, io.Discard)
	c = next.dial()
	c.askJob("d1", "settle", "rainier-haul", "x")
	if got := c.receive(200); got != "the result" {
		t.Errorf("the next process answers %q", got)
	}
	if len(next.jobs) != 0 {
		t.Errorf("sent again: %s", <-next.jobs)
	}
	next.stopAndWait()
}

// TestDurableJobOverReloads guards against a durable job that runs a second time, as its class was changed by a reload and its client asks
// again: while the job is out, after its end, after further changes, and at the next process.
func TestDurableJobOverReloads(t *testing.T) {
	text := fmt.Sprintf("durable: {dir: %s}\n", t.TempDir())
	worth := func(w string) Config {
		return changedExample(t, `"worth": 8.0`, `"worth": `+w) // of settle
	}
	r := startRig(t, text, io.Discard, func(cfg *Config) { *cfg = withTree(*cfg) })
	asks := func(r *rig, when string, status int) {
		t.Helper()
		c := r.dial()
		c.askJob("d1", "settle", "rainier-haul", "x")
		if got := c.receive(status); status == 200 && got != "the result" {
			t.Errorf("%s: answered %q", when, got)
		}
	}
	reload := func(cfg Config) {
		t.Helper()
		if err := r.sched.Reload(cfg); err != nil {
			t.Fatal(err)
		}
	}
	broken, waits := r.dial(), r.dial()
	r.submit(broken, "d1", "settle", "rainier-haul", "")
	broken.Close()
	reload(worth("9.0"))
	waits.askJob("d1", "settle", "rainier-haul", "x")
	r.until("the second client waits", func(s *Scheduler) bool { return s.durable.Counts().Joins == 1 })
	r.event("d1", "done", `,"result":"the result"`)
	if got := waits.receive(200); got != "the result" {
		t.Errorf("while it is out: answered %q", got)
	}
	asks(r, "after its end", 200)
	reload(worth("7.0"))
	asks(r, "after another change", 200)
	reload(changedExample(t, `"repeat": "idempotency_key"`, `"repeat": "non_idempotent"`))
	asks(r, "with another effect", 200)
	reload(changedExample(t, `"name": "settle"`, `"name": "settle-2"`))
	asks(r, "without the class", 400) // docs/operate/service.md: requests of a class that is gone get 400
	reload(changedExample(t))
	asks(r, "with the class as it was", 200)
	if len(r.jobs) > 0 {
		t.Errorf("sent again: %s", <-r.jobs)
	}
	r.stopAndWait()

	next := startRig(t, text, io.Discard, func(cfg *Config) { cfg.Settings = worth("9.0").Settings })
	asks(next, "in the next process, with another file", 200)
	if len(next.jobs) > 0 {
		t.Errorf("sent again: %s", <-next.jobs)
	}
	next.stopAndWait()
}
