// Package admin serves the operators' requests on an address of its own. It owns that address's connections, with limits and
// deadlines that are independent of the job port; callbacks carry out the requests.
package admin

import (
	"bufio"
	"errors"
	"log/slog"
	"net"
	"net/url"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"laddertide/internal/netfault"
	"laddertide/wire/http1"
)

// ErrUnknownWorker means that no worker of that name is known.
var ErrUnknownWorker = errors.New("no such auth worker")

// ErrUnknownScheduler means that no scheduler of that name is known.
var ErrUnknownScheduler = errors.New("no such scheduler")

// ErrConflict means that a request does not fit the current state.
var ErrConflict = errors.New("not as things are")

// Server answers one request per connection, which it then closes. A callback's error becomes an error response; its text is added to
// the success response.
type Server struct {
	Ready           func() error // the reason why this process is not ready to serve, or nil
	Disable, Enable func(id string) (string, error)
	Fleet           func() ([]byte, error)            // the other schedulers, as JSON; nil: no such page
	Forget          func(name string) (string, error) // declares a scheduler gone for good; nil: no such page
	Proceed         func(step string) (string, error) // lets a step of the recovery go on without what it waits for; nil: no such page
	MaxConns        int                               // limit of open connections
	Log             *slog.Logger

	mu        sync.Mutex
	open      map[net.Conn]bool // the open connections
	evictable []net.Conn        // those of open whose request is incomplete or answered, longest in that state first
}

const (
	requestLimit = 2500 * time.Millisecond // for a complete request: bad callers are answered or closed within 3 s
	writeLimit   = time.Second             // for writing a response; callers wait no longer
	lingerLimit  = 200 * time.Millisecond  // for a caller to read the response before the connection closes
	lingerBytes  = http1.MaxHead + http1.MaxBody
	retryAccept  = 10 * time.Millisecond
	retryAddConn = 2 * time.Millisecond // while all open connections have requests in progress
)

// Descriptors returns the number of file descriptors that a server with the given limit needs: two more, for the listener and for an
// accepted connection that waits to be admitted.
func Descriptors(maxConns int) int { return 2 + maxConns }

// Serve answers until ln is closed.
func (s *Server) Serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Log.Error("cannot accept an operator's call", "err", err)
			time.Sleep(retryAccept)
			continue
		}
		for !s.addConn(c) {
			time.Sleep(retryAddConn)
		}
		go s.serve(c)
	}
}

// serve answers the request of a connection that counts against the limit.
func (s *Server) serve(c net.Conn) {
	defer func() {
		if r := recover(); r != nil {
			s.Log.Error("panic in an operator's call", "panic", r, "stack", string(debug.Stack()))
		}
		s.removeConn(c)
	}()
	s.handleRequest(c)
}

// addConn adds a connection, and returns false if the limit does not allow it. A request takes milliseconds, so at the limit the
// connection that has been longest without a complete request, or with its response, is evicted.
func (s *Server) addConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.MaxConns && !s.evict() {
		return false
	}
	if s.open == nil {
		s.open = make(map[net.Conn]bool)
	}
	s.open[c] = true
	s.evictable = append(s.evictable, c)
	return true
}

// evict closes the connection that has been quiet for longest, among those without unread bytes; it returns false if there is none.
// Called under mu.
func (s *Server) evict() bool {
	for _, c := range s.evictable {
		if unread, _ := netfault.Readable(c); !unread {
			s.drop(c)
			return true
		}
	}
	return false
}

// drop closes and removes a connection. Called under mu.
func (s *Server) drop(c net.Conn) {
	c.Close()
	delete(s.open, c)
	if i := slices.Index(s.evictable, c); i >= 0 {
		s.evictable = slices.Delete(s.evictable, i, i+1)
	}
}

func (s *Server) removeConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(c)
}

// requestRead records that a connection's request is complete, or cannot be read.
func (s *Server) requestRead(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.evictable, c); i >= 0 {
		s.evictable = slices.Delete(s.evictable, i, i+1)
	}
}

// responseSent records that a connection only waits for its caller to close.
func (s *Server) responseSent(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[c] {
		s.evictable = append(s.evictable, c)
	}
}

// handleRequest reads the request of a connection and answers it.
func (s *Server) handleRequest(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(requestLimit))
	br := bufio.NewReaderSize(c, 1024)
	head, err := http1.ReadRequestHead(br)
	status := 431
	if err == nil {
		status = 413
		_, err = head.ReadBody(br)
	}
	s.requestRead(c)
	var syntax *http1.SyntaxError
	switch {
	case err == nil:
		s.answer(c, head)
	case errors.As(err, &syntax) && syntax.TooLarge:
		s.write(c, status, "too large")
	case errors.As(err, &syntax):
		s.write(c, 400, "malformed call")
	case netfault.DeadlinePassed(err):
		s.write(c, 408, "no whole call in time")
		return
	default:
		return
	}
	// Closing with unread bytes would reset the connection, and the reset can overtake the response.
	if half, ok := c.(*net.TCPConn); ok && half.CloseWrite() == nil {
		s.responseSent(c)
		c.SetReadDeadline(time.Now().Add(lingerLimit))
		for left := lingerBytes; left > 0; {
			n, err := br.Discard(min(left, br.Size()))
			if left -= n; err != nil {
				return
			}
		}
	}
}

const (
	workersPath = "/-/auth-workers/"
	fleetPath   = "/-/fleet"
)

// answer carries out a request.
func (s *Server) answer(c net.Conn, head *http1.Head) {
	path, query, _ := strings.Cut(head.Target, "?")
	if path == "/-/ready" {
		switch {
		case head.Method != "GET":
			s.write(c, 405, "GET only", "GET")
		default:
			s.reply(c, "ready", "", s.Ready())
		}
		return
	}
	if path == fleetPath && s.Fleet != nil {
		s.writeFleet(c, head)
		return
	}
	if path == fleetPath+"/proceed" && s.Proceed != nil {
		if head.Method != "PUT" {
			s.write(c, 405, "PUT only", "PUT")
			return
		}
		values, err := url.ParseQuery(query)
		if err != nil {
			s.write(c, 400, "malformed call")
			return
		}
		more, err := s.Proceed(values.Get("step"))
		s.reply(c, "proceeds", more, err)
		return
	}
	verbs := map[string]func(string) (string, error){"disable": s.Disable, "enable": s.Enable}
	past := map[string]string{"disable": "disabled", "enable": "enabled", "forget": "forgotten"}
	rest, ok := strings.CutPrefix(path, workersPath)
	if !ok && s.Forget != nil {
		rest, ok = strings.CutPrefix(path, fleetPath+"/")
		verbs = map[string]func(string) (string, error){"forget": s.Forget}
	}
	escaped, verb, _ := strings.Cut(rest, "/")
	id, err := url.PathUnescape(escaped)
	do := verbs[verb]
	switch {
	case !ok || err != nil || id == "" || do == nil:
		s.write(c, 404, "no such page")
	case head.Method != "PUT":
		s.write(c, 405, "PUT only", "PUT")
	default:
		more, err := do(id)
		s.reply(c, past[verb], more, err)
	}
}

// writeFleet writes the list of the other schedulers.
func (s *Server) writeFleet(c net.Conn, head *http1.Head) {
	if head.Method != "GET" {
		s.write(c, 405, "GET only", "GET")
		return
	}
	page, err := s.Fleet()
	if err != nil {
		s.reply(c, "", "", err)
		return
	}
	s.send(c, 200, http1.Fields{{Name: "Content-Type", Value: "application/json"}}, append(page, '\n'))
}

// reply writes yes and more as a success response, or err as an error response.
func (s *Server) reply(c net.Conn, yes, more string, err error) {
	switch {
	case err == nil:
		if more != "" {
			yes += "\n" + more
		}
		s.write(c, 200, yes)
	case errors.Is(err, ErrConflict):
		s.write(c, 409, err.Error())
	case errors.Is(err, ErrUnknownWorker), errors.Is(err, ErrUnknownScheduler):
		s.write(c, 404, err.Error())
	default:
		s.write(c, 503, err.Error())
	}
}

func (s *Server) write(c net.Conn, status int, text string, allow ...string) {
	fields := http1.Fields{{Name: "Content-Type", Value: "text/plain"}}
	for _, method := range allow {
		fields = append(fields, http1.Field{Name: "Allow", Value: method})
	}
	s.send(c, status, fields, []byte(text+"\n"))
}

func (s *Server) send(c net.Conn, status int, fields http1.Fields, body []byte) {
	c.SetWriteDeadline(time.Now().Add(writeLimit))
	if _, err := c.Write(http1.AppendResponse(nil, status, fields, body, true)); err != nil {
		s.Log.Debug("answer to an operator not written", "to", c.RemoteAddr(), "err", err)
	}
}
