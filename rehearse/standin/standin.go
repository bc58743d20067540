// Package standin is a small scheduler for tests of the rehearsal kit. It keeps all rules, unless it is told to break
// one in a certain way: the kit must then find just that. It is no part of any program; a test's binary becomes one by
// calling Main when it is started with the argument serve. It owns its sockets and decides nothing for the kit.
package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Env is the environment variable that names sabotages, separated by commas.
const Env = "STANDIN"

const (
	margin      = 250 * time.Millisecond // before the client's deadline a final answer is due
	ackLimit    = time.Second            // for a worker's 202
	suspectFor  = 2 * time.Second        // nothing goes to a worker that did not answer for so long
	coldFor     = 10 * time.Second       // for so long after its start a worker is treated with care
	coldPause   = 1200 * time.Millisecond
	keepOpen    = 450 * time.Millisecond  // after SIGTERM, in which clients may still come
	stopLimit   = 3100 * time.Millisecond // after SIGTERM all is answered
	perCore     = 3                       // jobs at one worker at once
	mostHead    = 16 << 10
	mostBody    = 64 << 10
	firstByte   = 2 * time.Second // for a request on a new connection
	wholeLimit  = 2 * time.Second // for a request, from its first byte on
	idleLimit   = time.Minute
	writeLimit  = time.Second
	watchSilent = 5 * time.Second
)

type config struct {
	Name, Listen, Discovery string
	Known                   roster
	Settings                struct {
		FleetSize   int `json:"fleet-size"`
		Permissions struct {
			DialTimeout int64 `json:"dial-timeout"`
			TryLimit    int   `json:"try-limit"`
		}
		Obligations struct {
			ColdFrom     float64 `json:"cold-from"`
			Fall         int64   `json:"fall"`
			FallMultiple float64 `json:"fall-multiple"`
		}
		Lanes []struct {
			Name, Repeat string
			Window       int64 `json:"repeat-window"`
		}
	}
}

type roster struct {
	Index     uint64
	Snapshot  bool
	Endpoints []struct {
		Name, Address, Type, Status string
		Weight                      float64
		SinceMS                     int64 `json:"since_ms"`
	}
}

// worker is an auth worker as this scheduler sees it. All fields belong to the scheduler's mutex.
type worker struct {
	name, address string
	serving       bool
	banned        bool // by an operator
	cores         float64
	since         int64
	begun         time.Time // when it started, as far as that is known and lately
	suspect       time.Time // until then it gets nothing
	unreached     bool      // the last try to reach it failed
	last          time.Time // when it was sent something
	out           int       // attempts
}

// class is a class of jobs with the mean of the hints seen.
type class struct {
	name, repeat string
	window       time.Duration
	hints        float64
	seen         int
}

type scheduler struct {
	cfg   config
	file  string
	bad   map[string]bool
	hoard []any // what it never lets go of
	ln    net.Listener
	began time.Time

	mu       sync.Mutex
	changed  chan struct{} // closed when a job that waits may have a place
	workers  map[string]*worker
	classes  map[string]*class
	jobs     map[string]*job // by request id
	index    uint64
	watch    net.Conn
	stopping time.Time
	count    int // requests taken, for sabotage of every so many
	conns    map[net.Conn]bool
	last     string // a result that was given to somebody
	ledger   *os.File
	kept     map[string]*job // that have ended, by request id
	peers    *peers          // nil: it knows no others
}

// Main serves until SIGTERM or worse. sabotages is what Env says.
func Main(sabotages string) {
	s := &scheduler{bad: make(map[string]bool), changed: make(chan struct{}), workers: make(map[string]*worker),
		classes: make(map[string]*class), jobs: make(map[string]*job), conns: make(map[net.Conn]bool), began: time.Now()}
	for _, name := range strings.Split(sabotages, ",") {
		if _, known := Sabotages[name]; name != "" && !known {
			s.fail(fmt.Errorf("no such sabotage: %s", name))
		}
		s.bad[name] = true
	}
	s.sabotageStart()
	s.file = os.Getenv("GW_CONFIG")
	if err := s.configure(); err != nil {
		s.fail(err)
	}
	s.tell(&s.cfg.Known)
	if err := s.remember(os.Args); err != nil {
		s.fail(err)
	}
	if err := s.meet(os.Args); err != nil {
		s.fail(err)
	}
	ln, err := s.listen()
	if err != nil {
		s.fail(err)
	}
	s.ln = ln
	if !s.bad["no-watch"] {
		go s.follow()
	}
	go s.accept()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	for sig := range signals {
		if sig == syscall.SIGTERM {
			if !s.bad["deaf"] {
				s.stop()
			}
			continue
		}
		s.hup()
	}
}

func (s *scheduler) fail(err error) {
	fmt.Fprintln(os.Stderr, "stand-in:", err)
	os.Exit(1)
}

// configure reads the configuration file.
func (s *scheduler) configure() error {
	raw, err := os.ReadFile(s.file)
	if err != nil {
		return err
	}
	var cfg config
	if err := json.Unmarshal(raw, &cfg); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg = cfg
	for _, l := range cfg.Settings.Lanes {
		if s.classes[l.Name] == nil {
			s.classes[l.Name] = &class{name: l.Name, repeat: l.Repeat, window: time.Duration(l.Window) * time.Microsecond}
		}
	}
	return nil
}

// hup reads the configuration again and watches where that says.
func (s *scheduler) hup() {
	if s.bad["hup-exit"] {
		os.Exit(0)
	}
	if s.bad["hup-ignored"] {
		return
	}
	if err := s.configure(); err != nil {
		fmt.Fprintln(os.Stderr, "stand-in: keeps its configuration:", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watch != nil {
		s.watch.Close()
	}
}

// stop ends in order: what was taken is answered first.
func (s *scheduler) stop() {
	if s.bad["term-exit"] {
		os.Exit(0)
	}
	s.mu.Lock()
	s.stopping = time.Now()
	for _, j := range s.jobs {
		j.hurry()
	}
	s.mu.Unlock()
	go func() {
		time.Sleep(keepOpen)
		s.ln.Close()
		s.mu.Lock()
		for c, busy := range s.conns {
			if !busy {
				c.Close()
			}
		}
		s.mu.Unlock()
		for limit := s.stopping.Add(stopLimit + margin); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
			s.mu.Lock()
			open := len(s.jobs)
			s.mu.Unlock()
			if open == 0 {
				break
			}
		}
		time.Sleep(100 * time.Millisecond) // the last answers are on their way
		os.Exit(0)
	}()
}

func (s *scheduler) isStopping() bool { return !s.stopping.IsZero() }

// follow keeps a watch of discovery open.
func (s *scheduler) follow() {
	for {
		s.mu.Lock()
		address, after := s.cfg.Discovery, s.index
		s.mu.Unlock()
		if err := s.watchOnce(address, after); err != nil {
			if s.bad["watch-once"] {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (s *scheduler) watchOnce(address string, after uint64) error {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	s.mu.Lock()
	s.watch = c
	s.mu.Unlock()
	c.SetDeadline(time.Now().Add(watchSilent))
	_, err = fmt.Fprintf(c, "GET /catalog/members?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", after, address)
	if err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 64<<10), 4<<20)
	for lines.Scan() {
		c.SetDeadline(time.Now().Add(watchSilent))
		if len(lines.Bytes()) == 0 {
			continue
		}
		var news roster
		if err := json.Unmarshal(lines.Bytes(), &news); err != nil {
			return err
		}
		if s.bad["late-news"] {
			time.AfterFunc(4*time.Second, func() { s.tell(&news) })
			s.mu.Lock()
			s.index = news.Index
			s.mu.Unlock()
			continue
		}
		s.tell(&news)
	}
	return errors.New("the watch has ended")
}

// tell takes news of the workers.
func (s *scheduler) tell(news *roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index = max(s.index, news.Index)
	seen := make(map[string]bool)
	for _, e := range news.Endpoints {
		seen[e.Name] = true
		w := s.workers[e.Name]
		if w == nil {
			w = &worker{name: e.Name, banned: s.peers != nil && s.peers.hands[e.Name]%2 == 1}
			s.workers[e.Name] = w
		}
		w.address, w.cores = e.Address, max(1, e.Weight)
		if e.SinceMS > w.since {
			w.since = e.SinceMS
			if w.begun.Before(time.UnixMilli(e.SinceMS)) {
				w.begun = time.UnixMilli(e.SinceMS)
			}
			s.gone(w, time.UnixMilli(e.SinceMS)) // whatever its process before had has ended
		}
		switch {
		case e.Status == "SERVING":
			w.serving = true
		case e.Status == "DRAINING" && !s.bad["ignore-draining"]:
			w.serving = false
		case e.Status == "DELETED" && !s.bad["ignore-deleted"]:
			w.serving = false
		}
	}
	for name, w := range s.workers {
		if news.Snapshot && !seen[name] && !s.bad["ignore-deleted"] {
			w.serving = false
		}
	}
	s.wake()
}

// gone ends the attempts at a process that another has followed, but not those that this has got already. Called under
// mu.
func (s *scheduler) gone(w *worker, since time.Time) {
	for _, j := range s.jobs {
		if j.at == w && j.sent.Before(since) {
			j.hear(event{State: "lost", From: w.name})
		}
	}
}

// wake lets waiting jobs look for a place again. Called under mu.
func (s *scheduler) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// accept takes connections of clients, workers and the front.
func (s *scheduler) accept() {
	for {
		c, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		s.conns[c] = false
		s.mu.Unlock()
		go s.serve(c)
	}
}

// busy marks a connection; it says false if the connection should end instead.
func (s *scheduler) busy(c net.Conn, busy bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = busy
	return busy || !s.isStopping() || time.Since(s.stopping) < keepOpen
}

func (s *scheduler) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReaderSize(c, mostHead)
	for first := true; ; first = false {
		if !s.busy(c, false) {
			return
		}
		limit := idleLimit
		if first {
			limit = firstByte
		}
		c.SetReadDeadline(time.Now().Add(limit))
		if _, err := br.Peek(1); err != nil {
			return
		}
		s.busy(c, true)
		c.SetReadDeadline(time.Now().Add(wholeLimit))
		r, err := read(br)
		if err != nil {
			if s.bad["serve-strangers"] {
				write(c, answerOf(200, "made up", false))
			} else {
				write(c, answerOf(400, err.Error(), true))
			}
			c.(*net.TCPConn).CloseWrite()
			c.SetReadDeadline(time.Now().Add(300 * time.Millisecond)) // so that the answer is not reset away
			for b := make([]byte, 32<<10); err != nil; {
				if _, err := c.Read(b); err != nil {
					break
				}
			}
			return
		}
		c.SetReadDeadline(time.Time{})
		if !s.dispatch(c, br, r) {
			return
		}
	}
}

// request is a message that somebody sent.
type request struct {
	method, target string
	header         http.Header
	body           []byte
	close          bool
	at             time.Time
	raw            string // its head
}

// read reads a message. What could be read in two ways is an error.
func read(br *bufio.Reader) (*request, error) {
	var head []byte
	for !strings.HasSuffix(string(head), "\r\n\r\n") {
		b, err := br.ReadByte()
		if err != nil {
			return nil, errors.New("the head broke off")
		}
		if head = append(head, b); len(head) > mostHead {
			return nil, errors.New("the head is too long")
		}
	}
	lower := strings.ToLower(string(head))
	if strings.Contains(lower, "transfer-encoding") || strings.Count(lower, "\ncontent-length") > 1 {
		return nil, errors.New("only one plain length is taken")
	}
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(head))))
	if err != nil {
		return nil, err
	}
	if r.ContentLength > mostBody {
		return nil, errors.New("the body is too long")
	}
	m := &request{method: r.Method, target: r.RequestURI, header: r.Header, close: r.Close, raw: string(head)}
	m.body = make([]byte, max(0, r.ContentLength))
	for n := 0; n < len(m.body); {
		k, err := br.Read(m.body[n:])
		if err != nil {
			return nil, errors.New("the body broke off")
		}
		n += k
	}
	m.at = time.Now()
	return m, nil
}

func answerOf(status int, body string, last bool) string {
	out := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if status == 503 || status == 429 {
		out += "Retry-After: 0.3\r\n"
	}
	if last {
		out += "Connection: close\r\n"
	}
	return out + "\r\n" + body
}

func write(c net.Conn, text string) bool {
	c.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := c.Write([]byte(text))
	return err == nil
}

// dispatch serves a message, and says whether another may come on the connection.
func (s *scheduler) dispatch(c net.Conn, br *bufio.Reader, r *request) bool {
	path := r.target
	if u, err := url.ParseRequestURI(r.target); err == nil {
		path = u.Path
	}
	switch {
	case path == "/_health":
		status := 200
		if s.bad["unhealthy"] {
			status = 503
		}
		return write(c, answerOf(status, "", r.close)) && !r.close
	case r.method == "POST" && path == "/v1/job-events":
		var e event
		if json.Unmarshal(r.body, &e) != nil {
			return write(c, answerOf(400, "", false))
		}
		if !s.hear(e) {
			return write(c, answerOf(500, "", false))
		}
		return write(c, answerOf(204, "", false))
	case r.method == "POST" && strings.HasPrefix(path, "/api/"):
		return s.client(c, br, r)
	}
	return write(c, answerOf(404, "", false))
}

// hear takes a call-back, and says whether it is acknowledged.
func (s *scheduler) hear(e event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[e.ID]
	switch {
	case j == nil:
		return s.ledger == nil || s.kept[e.ID] != nil // else it is another process's
	case e.State == "started" || e.State == "running":
	case j.at != nil && j.at.name == e.From:
		if e.State == "done" {
			s.keep(j, 200, e.Result)
		}
		j.hear(e)
	case j.left:
		return false // the next process's
	}
	return true
}
