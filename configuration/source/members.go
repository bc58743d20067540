package source

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"laddertide/configuration/stream"
	wire "laddertide/wire/configuration"
)

// Bounds of what waits for another member. What does not go out in time is lost, and said again by the library.
const (
	senderQueue = 256
	senderBytes = 8 << 20
)

// sender is the connection to another member, by which this one sends; the other one has its own.
type sender struct {
	source *Source
	to     Member
	queue  chan wire.Message
	bytes  atomic.Int64 // in the queue
}

func newSender(s *Source, to Member) *sender {
	return &sender{source: s, to: to, queue: make(chan wire.Message, senderQueue)}
}

// send hands a message to the sender of a member. It does not block.
func (s *Source) send(to string, m wire.Message) {
	if sender := s.senders[to]; sender != nil {
		sender.put(m)
	}
}

func (s *sender) put(m wire.Message) {
	size := int64(sizeOf(m))
	if s.bytes.Load()+size > senderBytes {
		return
	}
	select {
	case s.queue <- m:
		s.bytes.Add(size)
	default:
	}
}

// sizeOf is about how many bytes a message holds.
func sizeOf(m wire.Message) int {
	const row, rest = 256, 256
	switch m := m.(type) {
	case *wire.Raft:
		return len(m.Bytes) + rest
	case *wire.Propose:
		return len(m.Document) + rest
	case *wire.Followers:
		return row*len(m.Rows) + rest
	case *wire.Status:
		return row*len(m.Rows) + rest
	}
	return rest
}

// run sends what waits until the context ends. A connection that breaks is made anew with the next message.
func (s *sender) run(ctx context.Context) {
	beat := time.NewTicker(s.source.cfg.Heartbeat)
	defer beat.Stop()
	var c *stream.Conn
	closed := make(<-chan struct{})
	for {
		var m wire.Message
		select {
		case <-ctx.Done():
			if c != nil {
				c.Close()
			}
			return
		case <-closed:
			c.Close()
			c, closed = nil, nil
			continue
		case <-beat.C:
			if c == nil {
				continue
			}
			m = &wire.Beat{}
		case m = <-s.queue:
			s.bytes.Add(-int64(sizeOf(m)))
		}
		if c == nil {
			if c, closed = s.dial(ctx); c == nil {
				s.drain()
				continue
			}
		}
		if err := c.Write(m); err != nil {
			c.Close()
			c, closed = nil, nil
			s.drain()
		}
	}
}

// drain loses what waits: it is old by the time that the next connection is up.
func (s *sender) drain() {
	for {
		select {
		case m := <-s.queue:
			s.bytes.Add(-int64(sizeOf(m)))
		default:
			return
		}
	}
}

// dial makes a connection. The channel is closed when the other side ends it; without one there is no connection.
func (s *sender) dial(ctx context.Context) (*stream.Conn, <-chan struct{}) {
	dialer := net.Dialer{Timeout: s.source.timing.Dial}
	conn, err := dialer.DialContext(ctx, "tcp", s.to.Address)
	if err != nil {
		s.source.log.Debug("a member cannot be reached", "member", s.to.Name, "err", err)
		return nil, nil
	}
	c := stream.New(conn, s.source.seals, s.source.writeLimit())
	hello := &wire.Hello{Role: wire.RoleMember, Cluster: s.source.cfg.Cluster, Name: s.source.cfg.Name, Start: s.source.start}
	if err := c.Write(hello); err != nil {
		c.Close()
		return nil, nil
	}
	closed := make(chan struct{})
	s.source.serving.Go(func() {
		defer close(closed)
		s.watch(ctx, c)
	})
	return c, closed
}

// watch reads what a member answers, which is how it takes the connection, until that ends.
func (s *sender) watch(ctx context.Context, c *stream.Conn) {
	end := context.AfterFunc(ctx, func() { c.Close() })
	defer end()
	for {
		m, err := c.Read(time.Hour, wire.MaxSmall)
		if err != nil {
			return
		}
		if r, is := m.(*wire.Rejected); is {
			s.source.log.Error("a member does not take this one", "member", s.to.Name, "code", r.Code, "why", r.Text)
			return
		}
	}
}

// hearFrom reads what another member sends until its connection ends.
func (s *Source) hearFrom(c *stream.Conn, name string) error {
	for {
		m, err := c.Read(silentBeats*s.cfg.Heartbeat, wire.MaxFrame)
		if err != nil {
			return err
		}
		if _, is := m.(*wire.Beat); is {
			continue
		}
		s.do(sizeOf(m), maxQueue, func() { s.node.hear(name, m, time.Now()) }) // lost if too much waits
	}
}

// writeLimit is how long a message may take to be written.
func (s *Source) writeLimit() time.Duration { return silentBeats * s.cfg.Heartbeat }
