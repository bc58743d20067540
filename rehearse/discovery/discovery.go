// Package discovery puts the model of discovery on sockets: an agent for each scheduler, on an address of its own, that
// tells the scheduler at once whatever it has been sent. When the agent has it is the model's; whether the scheduler
// heeds it is the judge's. It does not know workers, only what is said of them.
package discovery

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/core/history"
	"laddertide/core/world"
	"laddertide/rehearse/loop"
	"laddertide/rehearse/record"
)

// Info is what the list says of a worker besides its status.
type Info struct {
	Zone, Type string
	Group      int
	Weight     float64
}

// Config says what a Discovery is made of. Its functions may be called at any time and from any goroutine.
type Config struct {
	Roster     *world.Roster // from now on the Discovery's own
	Schedulers []string      // their names, in the roster's order
	Address    func(scheduler int, worker string) string
	Info       func(worker string) Info
	Since      func(worker string, life int) int64 // Unix time in milliseconds; 0: long ago
	Record     *record.Recorder
	Net        *loop.Net // nil: one of its own
}

const (
	beat       = 2 * time.Second         // an empty line comes this often when nothing changes
	oldAgent   = 1500 * time.Millisecond // after a move its open connections last so long
	idleMost   = 5 * time.Minute
	headLimit  = 10 * time.Second
	writeLimit = 2 * time.Second
	mostHead   = 16 << 10
	mostConns  = 256 // of one agent
	path       = "/catalog/members"
)

// Discovery is the agents of all schedulers. Schedulers go by their places in the Config.
type Discovery struct {
	cfg    Config
	agents []*agent

	mu     sync.Mutex // the roster's
	timer  *time.Timer
	closed bool

	running sync.WaitGroup
}

// agent speaks to one scheduler.
type agent struct {
	d         *Discovery
	scheduler int
	name      string
	life      atomic.Int64
	sent      atomic.Int64 // bytes written to its connections

	mu      sync.Mutex
	ln      *net.TCPListener
	news    chan struct{} // closed when there are some, or a silence begins or ends
	silent  bool
	conns   map[net.Conn]*net.TCPListener // with the listener that each came from
	retired []*time.Timer                 // of listeners that have moved
	closed  bool
}

// New binds an agent for each scheduler and starts telling.
func New(cfg Config) (*Discovery, error) {
	if cfg.Net == nil {
		cfg.Net = loop.NewNet()
	}
	d := &Discovery{cfg: cfg}
	d.timer = time.AfterFunc(time.Hour, d.tick)
	d.timer.Stop()
	for i, name := range cfg.Schedulers {
		a := &agent{d: d, scheduler: i, name: name, news: make(chan struct{}), conns: map[net.Conn]*net.TCPListener{}}
		d.agents = append(d.agents, a)
		if _, err := a.listen(); err != nil {
			d.Close()
			return nil, fmt.Errorf("discovery: %w", err)
		}
	}
	d.with(func(now world.Time) {
		for i, a := range d.agents {
			index, entries := cfg.Roster.List(i)
			cfg.Record.Add(history.Event{T: max(1, now.Microseconds()), Kind: history.KindDiscoveryHeld, Scheduler: a.name,
				Index: index, Full: true, Entries: d.addressed(i, entries)})
		}
	})
	return d, nil
}

// Address is where a scheduler's agent listens now.
func (d *Discovery) Address(scheduler int) string {
	a := d.agents[scheduler]
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ln.Addr().String()
}

// Sent is how many bytes a scheduler's agent has written to its connections.
func (d *Discovery) Sent(scheduler int) int64 { return d.agents[scheduler].sent.Load() }

// SetLife says which process of a scheduler there is now.
func (d *Discovery) SetLife(scheduler, life int) { d.agents[scheduler].life.Store(int64(life)) }

// Change tells the roster what is true of a worker from now on; silent if its machine says nothing of it.
func (d *Discovery) Change(entry history.Entry, silent bool) {
	d.with(func(now world.Time) { d.cfg.Roster.SetState(now, entry, silent) })
}

// Lag makes news so much later from now on.
func (d *Discovery) Lag(extra time.Duration) {
	d.with(func(now world.Time) { d.cfg.Roster.SetLag(now, extra) })
}

// Known is the list that a scheduler's agent has, as a configuration's "known" states it, and its entries.
func (d *Discovery) Known(scheduler int) ([]byte, []history.Entry) {
	var index uint64
	var entries []history.Entry
	d.with(func(world.Time) { index, entries = d.cfg.Roster.List(scheduler) })
	return d.list(scheduler, index, true, entries)
}

// Move gives a scheduler's agent a new address. The old one accepts nothing more and closes its connections later.
func (d *Discovery) Move(scheduler int) (address string, err error) {
	a := d.agents[scheduler]
	a.mu.Lock()
	old := a.ln
	a.mu.Unlock()
	if address, err = a.listen(); err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	old.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retired = append(a.retired, time.AfterFunc(oldAgent, func() { a.end(old) }))
	return address, nil
}

// Silence makes a scheduler's agent say nothing while on; it still takes connections.
func (d *Discovery) Silence(scheduler int, on bool) {
	a := d.agents[scheduler]
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
	a.wake()
}

// Break ends all connections to a scheduler's agent, watches included, as a restart of the agent does. It stays where
// it is, and new ones come up.
func (d *Discovery) Break(scheduler int) { d.agents[scheduler].end(nil) }

// Close ends everything and waits for it.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.closed = true
	d.timer.Stop()
	d.mu.Unlock()
	for _, a := range d.agents {
		a.close()
	}
	d.running.Wait()
}

// with calls f with the roster brought up to the present, and passes on whatever has come to agents by then.
func (d *Discovery) with(f func(now world.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	now := d.cfg.Record.Since()
	d.push(now)
	f(now)
	d.push(now)
	if next, ok := d.cfg.Roster.Next(); ok {
		d.timer.Reset(next - d.cfg.Record.Since())
	} else {
		d.timer.Stop()
	}
}

func (d *Discovery) tick() { d.with(func(world.Time) {}) }

// push writes down what agents have got and wakes those who wait for it.
func (d *Discovery) push(now world.Time) {
	for _, p := range d.cfg.Roster.Advance(now) {
		a := d.agents[p.Scheduler]
		d.cfg.Record.Add(history.Event{T: max(1, p.At.Microseconds()), Kind: history.KindDiscoveryHeld, Scheduler: a.name,
			Index: p.Index, Entries: d.addressed(p.Scheduler, p.Entries)})
		a.mu.Lock()
		a.wake()
		a.mu.Unlock()
	}
}

func (d *Discovery) addressed(scheduler int, entries []history.Entry) []history.Entry {
	out := make([]history.Entry, len(entries))
	for i, e := range entries {
		e.Address = d.cfg.Address(scheduler, e.Worker)
		out[i] = e
	}
	return out
}

type endpoint struct {
	Name    string         `json:"name"`
	Address string         `json:"address"`
	Zone    string         `json:"zone"`
	Type    string         `json:"type"`
	Group   int            `json:"group"`
	Status  history.Status `json:"status"`
	Weight  float64        `json:"weight"`
	SinceMS int64          `json:"since_ms"`
}

// list is a list as the protocol has it, and its entries with the addresses as this scheduler knows them.
func (d *Discovery) list(scheduler int, index uint64, full bool, entries []history.Entry) ([]byte, []history.Entry) {
	entries = d.addressed(scheduler, entries)
	endpoints := make([]endpoint, len(entries))
	for i, e := range entries {
		info := d.cfg.Info(e.Worker)
		endpoints[i] = endpoint{e.Worker, e.Address, info.Zone, info.Type, info.Group, e.Status, info.Weight,
			d.cfg.Since(e.Worker, e.Life)}
	}
	b, err := json.Marshal(struct {
		Index     uint64     `json:"index"`
		Snapshot  bool       `json:"snapshot"`
		Endpoints []endpoint `json:"endpoints"`
	}{index, full, endpoints})
	if err != nil { // a weight that is no number
		panic(err)
	}
	return b, entries
}

// listen gives the agent a new listener, and tells its address.
func (a *agent) listen() (string, error) {
	ln, err := loop.Listen(a.d.cfg.Net.Next())
	if err != nil {
		return "", err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		ln.Close()
		return "", errors.New("it is closed")
	}
	a.ln = ln
	a.d.running.Add(1)
	go a.accept(ln)
	return ln.Addr().String(), nil
}

func (a *agent) accept(ln *net.TCPListener) {
	defer a.d.running.Done()
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // no descriptors left for a moment
			continue
		}
		a.mu.Lock()
		if a.closed || ln != a.ln || len(a.conns) >= mostConns {
			a.mu.Unlock()
			loop.Reset(c)
			continue
		}
		a.conns[c] = ln
		a.d.running.Add(1)
		a.mu.Unlock()
		go a.serve(c, int(a.life.Load()))
	}
}

// wake wakes all who wait for news. Called under mu.
func (a *agent) wake() {
	close(a.news)
	a.news = make(chan struct{})
}

// end ends the connections that came from a listener, or all.
func (a *agent) end(of *net.TCPListener) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c, ln := range a.conns {
		if of == nil || ln == of {
			c.Close()
		}
	}
	a.wake()
}

func (a *agent) close() {
	a.mu.Lock()
	a.closed = true
	for _, t := range a.retired {
		t.Stop()
	}
	if a.ln != nil {
		a.ln.Close()
	}
	a.mu.Unlock()
	a.end(nil)
}

// limited ends the reading of a head that never ends.
type limited struct {
	net.Conn
	left int
}

func (l *limited) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errors.New("the head is too long")
	}
	n, err := l.Conn.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// serve speaks to a connection that a process of the scheduler has opened.
func (a *agent) serve(c net.Conn, life int) {
	defer a.d.running.Done()
	defer func() {
		c.Close()
		a.mu.Lock()
		delete(a.conns, c)
		a.mu.Unlock()
	}()
	lc := &limited{Conn: c}
	br := bufio.NewReader(lc)
	for {
		lc.left = mostHead
		_ = c.SetReadDeadline(time.Now().Add(idleMost))
		if _, err := br.Peek(1); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(headLimit))
		req, err := http.ReadRequest(br)
		if err != nil || req.ContentLength != 0 {
			_ = a.write(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		if !a.answer(c, req, life) || req.Close {
			return
		}
	}
}

func (a *agent) write(c net.Conn, s string) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeLimit))
	n, err := c.Write([]byte(s))
	a.sent.Add(int64(n))
	return err
}

// answer answers a request; false: the connection is done with.
func (a *agent) answer(c net.Conn, req *http.Request, life int) bool {
	if _, ok := a.speaks(c); !ok {
		return false
	}
	if req.Method != "GET" || req.URL.Path != path {
		return a.write(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") == nil
	}
	query, err := url.ParseQuery(req.URL.RawQuery)
	if err == nil && query.Get("watch") == "1" {
		var after uint64
		if query.Has("after") {
			after, err = strconv.ParseUint(query.Get("after"), 10, 64)
		}
		if err == nil {
			a.watch(c, after, life)
			return false
		}
	}
	if err != nil {
		return a.write(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n") == nil
	}
	index, _, entries := a.since(0)
	list, entries := a.d.list(a.scheduler, index, true, entries)
	if a.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		len(list), list)) != nil {
		return false
	}
	a.wrote(life, index, true, entries)
	return true
}

// since is what the agent has that came after a version.
func (a *agent) since(after uint64) (index uint64, full bool, entries []history.Entry) {
	a.d.with(func(world.Time) { index, full, entries = a.d.cfg.Roster.Since(a.scheduler, after) })
	return index, full, entries
}

func (a *agent) wrote(life int, index uint64, full bool, entries []history.Entry) {
	a.d.cfg.Record.Add(history.Event{Kind: history.KindDiscoveryWritten, Scheduler: a.name, Life: life,
		Index: index, Full: full, Entries: entries})
}

// speaks waits while the agent is silent, and returns what tells of news from then on; false: the connection is done
// with.
func (a *agent) speaks(c net.Conn) (news <-chan struct{}, ok bool) {
	for {
		a.mu.Lock()
		_, open := a.conns[c]
		silent, news, closed := a.silent, a.news, a.closed
		a.mu.Unlock()
		switch {
		case closed || !open:
			return nil, false
		case !silent:
			return news, true
		}
		<-news
	}
}

// watch tells all that changes until the connection ends. What a slow reader has yet to be told is a version, no queue.
func (a *agent) watch(c net.Conn, after uint64, life int) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	if a.write(c, head) != nil {
		return
	}
	timer := time.NewTimer(beat)
	defer timer.Stop()
	for first := true; ; first = false {
		news, ok := a.speaks(c) // before the look at the roster: what comes after it wakes us
		if !ok {
			return
		}
		if index, full, entries := a.since(after); len(entries) > 0 || full && (first || index != after) {
			list, entries := a.d.list(a.scheduler, index, full, entries)
			if a.write(c, fmt.Sprintf("%x\r\n%s\n\r\n", len(list)+1, list)) != nil {
				return
			}
			a.wrote(life, index, full, entries)
			after = index
		}
		timer.Reset(beat)
		select {
		case <-news:
			continue
		case <-timer.C:
		}
		if _, ok := a.speaks(c); !ok || a.write(c, "1\r\n\n\r\n") != nil {
			return
		}
	}
}
