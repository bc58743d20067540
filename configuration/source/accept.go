package source

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"laddertide/configuration/stream"
	wire "laddertide/wire/configuration"
)

// accept takes connections until the listener is closed.
func (s *Source) accept(ctx context.Context) {
	for {
		conn, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			s.log.Warn("a connection cannot be accepted", "err", err)
			time.Sleep(s.timing.Tick) // out of descriptors, most likely
			continue
		}
		if !s.open(conn) {
			conn.Close()
			continue
		}
		s.serving.Go(func() {
			defer s.close(conn)
			err := s.serve(ctx, stream.New(conn, s.seals, s.writeLimit()))
			if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
				s.log.Warn("a connection was ended", "from", conn.RemoteAddr(), "err", err)
			}
		})
	}
}

// maxMembers is how many connections of members there may be: one of each, and its next one.
func (s *Source) maxMembers() int { return 2 * len(s.cfg.Members) }

// open notes a connection, if there is room for one more of any kind.
func (s *Source) open(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.cfg.MaxFollowers+2*maxTools+s.maxMembers() {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Source) close(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// enter counts a connection in a role, if there is room; leave counts it out.
func (s *Source) enter(role wire.Role) bool {
	most := map[wire.Role]int{wire.RoleFollower: s.cfg.MaxFollowers, wire.RoleMember: s.maxMembers(), wire.RoleOperator: maxTools}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts[role] >= most[role] {
		return false
	}
	s.counts[role]++
	return true
}

func (s *Source) leave(role wire.Role) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[role]--
}

// serve hears who has made a connection, and serves it.
func (s *Source) serve(ctx context.Context, c *stream.Conn) error {
	m, err := c.Read(helloWait, wire.MaxSmall)
	if err != nil {
		return err
	}
	hello, is := m.(*wire.Hello)
	if !is {
		return fmt.Errorf("configuration: a connection begins with %T", m)
	}
	if why := s.foreign(hello); why != "" {
		c.Write(&wire.Rejected{Code: wire.Foreign, Text: why})
		return errors.New("configuration: " + why)
	}
	if !s.enter(hello.Role) {
		c.Write(&wire.Rejected{Code: wire.TooMany, Text: "as many connections of this kind as there may be"})
		return nil
	}
	defer s.leave(hello.Role)
	newest, _ := s.latest.get()
	if err := c.Write(&wire.Welcome{Name: s.cfg.Name, Newest: newest.Version, Heartbeat: s.cfg.Heartbeat.Milliseconds()}); err != nil {
		return err
	}
	switch hello.Role {
	case wire.RoleMember:
		return s.hearFrom(c, hello.Name)
	case wire.RoleFollower:
		return s.serveFollower(ctx, c, hello)
	default:
		return s.serveTool(ctx, c)
	}
}

// foreign tells why whoever says hello is not served here; "": it is.
func (s *Source) foreign(h *wire.Hello) string {
	switch {
	case h.Cluster != s.cfg.Cluster:
		return fmt.Sprintf("this is cluster %q", s.cfg.Cluster)
	case h.Role == wire.RoleMember && s.senders[h.Name] == nil:
		return fmt.Sprintf("%q is none of the other members", h.Name)
	case h.Role == wire.RoleFollower && h.Name == "":
		return "a follower without a name"
	}
	return ""
}
