package source

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"laddertide/configuration/stream"
	wire "laddertide/wire/configuration"
)

// accept accepts connections until the listener is closed.
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
		if !s.register(conn) {
			conn.Close()
			continue
		}
		s.background.Go(func() {
			defer s.unregister(conn)
			err := s.serve(ctx, conn)
			if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
				s.log.Warn("a connection was ended", "from", conn.RemoteAddr(), "err", err)
			}
		})
	}
}

// maxMemberConns returns the maximum number of connections of members: for each member the current connection and the next one.
func (s *Source) maxMemberConns() int { return 2 * len(s.cfg.Members) }

// register adds a connection. At the maximum number of connections of all roles, it replaces the one that has been open longest
// without sending a hello: working peers send it at once. At the maximum there are at least maxTools such connections.
func (s *Source) register(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.conns) >= s.cfg.MaxFollowers+2*maxTools+s.maxMemberConns() {
		if len(s.unidentified) == 0 {
			return false
		}
		s.evict(s.unidentified[0])
	}
	s.conns[conn] = true
	s.unidentified = append(s.unidentified, conn)
	return true
}

// evict closes a connection and removes it from all lists. Called with mu held.
func (s *Source) evict(conn net.Conn) {
	conn.Close()
	delete(s.conns, conn)
	s.unidentified, s.idleTools = remove(s.unidentified, conn), remove(s.idleTools, conn)
}

// remove removes a connection from a list, if it is in the list.
func remove(all []net.Conn, conn net.Conn) []net.Conn {
	if i := slices.Index(all, conn); i >= 0 {
		return slices.Delete(all, i, i+1)
	}
	return all
}

// markIdentified records that a connection has sent its hello, and reports whether the connection has not been evicted.
func (s *Source) markIdentified(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unidentified = remove(s.unidentified, conn)
	return s.conns[conn]
}

func (s *Source) unregister(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(conn)
}

// acquireSlot counts a connection in its role, and returns false if there are too many; releaseSlot ends the count. At the maximum a
// tool replaces the tool that has been idle longest.
func (s *Source) acquireSlot(role wire.Role) bool {
	limits := map[wire.Role]int{wire.RoleFollower: s.cfg.MaxFollowers, wire.RoleMember: s.maxMemberConns(), wire.RoleOperator: maxTools}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roleCounts[role] >= limits[role] {
		if role != wire.RoleOperator || len(s.idleTools) == 0 {
			return false
		}
		s.evict(s.idleTools[0])
		s.roleCounts[role]--
	}
	s.roleCounts[role]++
	return true
}

func (s *Source) releaseSlot(role wire.Role, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[conn] { // otherwise it was evicted, and the connection that replaced it is counted
		s.roleCounts[role]--
	}
}

// setIdle records whether a tool has no request in progress.
func (s *Source) setIdle(conn net.Conn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleTools = remove(s.idleTools, conn)
	if idle && s.conns[conn] {
		s.idleTools = append(s.idleTools, conn)
	}
}

// serve reads the hello of a connection, and serves the connection in its role.
func (s *Source) serve(ctx context.Context, conn net.Conn) error {
	c := stream.New(conn, s.seals, s.writeTimeout())
	m, err := c.Read(helloTimeout, wire.MaxSmall)
	if err != nil {
		return err
	}
	hello, is := m.(*wire.Hello)
	if !is {
		return fmt.Errorf("configuration: a connection begins with %T", m)
	}
	if !s.markIdentified(conn) {
		return net.ErrClosed
	}
	if why := s.rejectReason(hello); why != "" {
		c.Write(&wire.Rejected{Code: wire.Foreign, Text: why})
		return errors.New("configuration: " + why)
	}
	if !s.acquireSlot(hello.Role) {
		c.Write(&wire.Rejected{Code: wire.TooMany, Text: "as many connections of this kind as there may be"})
		return nil
	}
	defer s.releaseSlot(hello.Role, conn)
	newest, _ := s.latest.get()
	if err := c.Write(&wire.Welcome{Name: s.cfg.Name, Newest: newest.Version, Heartbeat: s.cfg.Heartbeat.Milliseconds()}); err != nil {
		return err
	}
	switch hello.Role {
	case wire.RoleMember:
		return s.serveMember(c, hello.Name)
	case wire.RoleFollower:
		return s.serveFollower(ctx, c, hello)
	default:
		return s.serveTool(ctx, c, conn)
	}
}

// rejectReason returns why the sender of a hello is not served here; "": it is served.
func (s *Source) rejectReason(h *wire.Hello) string {
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
