package standin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"

	"laddertide/internal/testrig"
)

// listen takes the address of jobs. With an address for operators a second process may take it too: this one is no model
// for upgrades, as nothing is handed over.
func (s *scheduler) listen() (net.Listener, error) {
	admin := os.Getenv("GW_ADMIN")
	if admin == "" {
		return net.Listen("tcp4", s.cfg.Listen)
	}
	calls, err := net.Listen("tcp4", admin)
	if err != nil {
		return nil, err
	}
	go testrig.Accept(calls, s.operator)
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	return shared.Listen(context.Background(), "tcp4", s.cfg.Listen)
}

// operator answers a call: yes to all.
func (s *scheduler) operator(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	rest, isWorker := strings.CutPrefix(r.URL.Path, "/-/auth-workers/")
	if name, verb, _ := strings.Cut(rest, "/"); isWorker && !s.bad["ignore-hand"] {
		s.handed(name, verb == "disable")
	}
	if s.bad["deaf-to-hand"] && isWorker {
		return
	}
	if r.URL.Path == "/-/fleet" && s.peers != nil {
		page := s.view()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(page), page)
		return
	}
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}
