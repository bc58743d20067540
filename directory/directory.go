// Package directory watches the list of providers that discovery publishes. It maintains the connection,
// parses the lists and passes each on; the caller decides what a change means.
package directory

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/core/pollschedule"
	"laddertide/wire/http1"
)

// Status is the status of a provider in discovery's list.
type Status string

// The values of Status.
const (
	Serving  Status = "SERVING"
	Draining Status = "DRAINING" // finishes its jobs and takes no new ones
	Deleted  Status = "DELETED"  // removed; occurs in changes only
)

// Entry is one provider in the list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  Status  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"` // Unix time of its last start; 0: long ago

	// MaintenanceEnd is the Unix time at which the provider came back from maintenance; 0: never. It is not part of discovery's list.
	MaintenanceEnd time.Duration `json:"-"`
}

// LastStart returns the provider's last start as Unix time, or 0 if SinceMS is absent or out of range.
func (e *Entry) LastStart() time.Duration {
	if e.SinceMS > 0 && e.SinceMS < math.MaxInt64/1e6 {
		return time.Duration(e.SinceMS * 1e6)
	}
	return 0
}

// List is a set of changes or the full list.
type List struct {
	Index    uint64  `json:"index"`
	Snapshot bool    `json:"snapshot"` // the list is complete: providers that are absent have left
	Entries  []Entry `json:"endpoints"`
}

// normalize drops unusable entries, so that one of them does not invalidate the rest of the list. An unknown
// status counts as draining: nothing is sent to such a provider.
func (l *List) normalize() {
	kept := l.Entries[:0]
	for _, e := range l.Entries {
		if e.Status != Serving && e.Status != Deleted {
			e.Status = Draining
		}
		if e.Name != "" && (e.Address != "" || e.Status == Deleted) {
			kept = append(kept, e)
		}
	}
	l.Entries = kept
}

const (
	membersPath = "/catalog/members"
	dialTimeout = time.Second
	// maxList allows for several thousand workers at about 250 bytes each, indented and with long names. It is generous because a list
	// that is rejected as too long hides every drain in it.
	maxList = 4 << 20
)

// Watcher watches the list that is served at Address.
type Watcher struct {
	Address  string
	Index    uint64                // the version of the latest list that was delivered
	FullList bool                  // the next watch begins by fetching the full list
	Polls    pollschedule.Schedule // Run sets its Rand if that is nil
	Deliver  func(List)
	Log      *slog.Logger

	dial func(context.Context) (net.Conn, error) // for tests; nil: TCP

	lists, bytes atomic.Uint64 // received since the watcher was created

	mu        sync.Mutex
	conn      net.Conn      // the current connection, or nil
	refreshed chan struct{} // not nil while Refresh waits; closed when the next full list has been delivered
	wake      chan struct{} // ends a pause early
}

// Refresh fetches the full list on a new connection, discarding any response in flight, and returns once it has been delivered or ctx
// ends.
func (w *Watcher) Refresh(ctx context.Context) {
	w.mu.Lock()
	if w.refreshed == nil {
		w.refreshed = make(chan struct{})
	}
	fresh := w.refreshed
	if w.conn != nil {
		w.conn.Close()
	}
	if w.wake != nil {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.mu.Unlock()
	select {
	case <-fresh:
	case <-ctx.Done():
	}
}

// refreshPending reports whether a call of Refresh is waiting.
func (w *Watcher) refreshPending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refreshed != nil
}

// Run watches the list until ctx ends. Lists that were delivered stay valid while discovery is unavailable.
func (w *Watcher) Run(ctx context.Context) {
	if w.Polls.Rand == nil {
		w.Polls.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	w.mu.Lock()
	w.wake = make(chan struct{}, 1)
	w.mu.Unlock()
	w.pause(ctx, w.Polls.FirstDelay())
	for ctx.Err() == nil {
		began := time.Now()
		wasPending := w.refreshPending()
		lastLine, got, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if got {
			w.Polls.Succeeded()
		}
		if !wasPending && w.refreshPending() {
			continue // Refresh closed the connection
		}
		wait := w.Polls.RetryDelay(time.Since(lastLine))
		w.Log.Warn("discovery watch ended", "after", time.Since(began).Round(time.Millisecond),
			"retry_in", wait, "index", w.Index, "err", err)
		w.pause(ctx, wait)
	}
}

func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.wake:
	case <-ctx.Done():
	}
}

func (w *Watcher) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if w.dial != nil {
		return w.dial(ctx)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", w.Address)
}

// watch reads one connection until it ends. It returns when it last received a complete line (or began, without one), and whether it
// received a list. Each request, and each wait for the next complete line, has its own deadline, which bytes of an incomplete line do
// not extend.
func (w *Watcher) watch(ctx context.Context) (lastLine time.Time, got bool, err error) {
	lastLine = time.Now()
	deadline := lastLine.Add(pollschedule.CallLimit)
	conn, err := w.connect(ctx)
	if err != nil {
		return lastLine, false, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	w.mu.Lock()
	w.conn, w.FullList = conn, w.FullList || w.refreshed != nil
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.conn = nil
	}()
	br := bufio.NewReader(&countingConn{conn, &w.bytes})
	if w.FullList {
		// The address is new or the last list was invalid, so changes relative to the known list cannot be trusted.
		if got, err = w.fetchFullList(conn, br, deadline); err != nil {
			return lastLine, got, err
		}
		lastLine = time.Now()
		deadline = lastLine.Add(pollschedule.CallLimit)
	}
	head, err := w.get(conn, br, membersPath+"?watch=1&after="+strconv.FormatUint(w.Index, 10), deadline)
	if err != nil {
		return lastLine, got, err
	}
	body, err := head.Stream(br)
	if err != nil {
		return lastLine, got, err
	}
	lines := bufio.NewReader(body)
	var text listBuffer
	lastLine = time.Now()
	conn.SetReadDeadline(lastLine.Add(pollschedule.SilenceLimit))
	for {
		// A truncated list results from a broken connection. It does not count as invalid: the next watch
		// continues after the same version.
		line, err := lines.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return lastLine, got, err
		}
		complete, err := text.add(line)
		if err != nil {
			w.FullList = true
			return lastLine, got, err
		}
		if !complete {
			continue
		}
		lastLine = time.Now()
		if err := conn.SetReadDeadline(lastLine.Add(pollschedule.SilenceLimit)); err != nil {
			return lastLine, got, err
		}
		if len(text.bytes) == 0 {
			continue
		}
		list, err := parse(text.bytes)
		if err == nil && !list.Snapshot && list.Index < w.Index {
			err = fmt.Errorf("directory: received changes of version %d after version %d", list.Index, w.Index)
		}
		if err != nil {
			w.FullList = true
			return lastLine, got, err
		}
		text.bytes = text.bytes[:0]
		got = true
		w.deliver(list)
	}
}

// listBuffer accumulates a list that is being read. The JSON may be indented, so the list ends with the line that closes its last bracket.
type listBuffer struct {
	bytes           []byte // without leading white space
	depth           int
	quoted, escaped bool
}

// add appends a line or a part of one, and reports whether that completes a list or an empty line; bytes is empty after the latter.
func (t *listBuffer) add(line []byte) (complete bool, err error) {
	if len(t.bytes) == 0 {
		if rest := bytes.TrimLeft(line, " \t\r\n"); len(rest) > 0 {
			line = rest
		} else {
			return line[len(line)-1] == '\n', nil
		}
	}
	if len(t.bytes)+len(line) > maxList {
		return false, errors.New("directory: list is too long")
	}
	t.bytes = append(t.bytes, line...)
	for _, c := range line {
		switch {
		case t.escaped:
			t.escaped = false
		case t.quoted && c == '\\':
			t.escaped = true
		case c == '"':
			t.quoted = !t.quoted
		case t.quoted:
		case c == '{' || c == '[':
			t.depth++
		case c == '}' || c == ']':
			t.depth--
		}
	}
	return t.depth <= 0 && line[len(line)-1] == '\n', nil
}

// Received returns the number of lists and bytes that were received since the watcher was created.
func (w *Watcher) Received() (lists, bytes uint64) { return w.lists.Load(), w.bytes.Load() }

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read implements io.Reader.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

func (w *Watcher) deliver(list List) {
	w.lists.Add(1)
	w.Index = list.Index
	w.Deliver(list)
}

// get sends a request and reads the head of the response. The deadline covers the whole response.
func (w *Watcher) get(conn net.Conn, br *bufio.Reader, target string, deadline time.Time) (*http1.Head, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	req := http1.AppendRequest(nil, "GET", target, http1.Fields{{Name: "Host", Value: w.Address}}, nil)
	if _, err := conn.Write(req); err != nil {
		return nil, err
	}
	head, err := http1.ReadResponseHeadUpTo(br, maxList)
	if err == nil && head.Status != 200 {
		err = fmt.Errorf("discovery answered %d", head.Status)
	}
	return head, err
}

// fetchFullList requests the full list, and reports whether it was delivered.
func (w *Watcher) fetchFullList(conn net.Conn, br *bufio.Reader, deadline time.Time) (got bool, err error) {
	head, err := w.get(conn, br, membersPath, deadline)
	if err != nil {
		return false, err
	}
	body, err := head.ReadBody(br)
	if err != nil {
		return false, err
	}
	list, err := parse(body)
	if err != nil {
		return false, err
	}
	if !list.Snapshot {
		return false, errors.New("directory: the full list is not marked as a snapshot")
	}
	w.FullList = false
	w.deliver(list)
	w.mu.Lock()
	if w.refreshed != nil {
		close(w.refreshed)
		w.refreshed = nil
	}
	w.mu.Unlock()
	if head.Close {
		return true, errors.New("discovery closed the connection after the full list")
	}
	return true, nil
}

func parse(b []byte) (List, error) {
	var list List
	if err := json.Unmarshal(b, &list); err != nil {
		return list, fmt.Errorf("directory: %w", err)
	}
	list.normalize()
	return list, nil
}
