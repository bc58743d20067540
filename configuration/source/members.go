package source

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"laddertide/configuration/stream"
	wire "laddertide/wire/configuration"
)

// Limits of the queue to another member. Messages that do not fit are dropped; the library repeats them.
const (
	maxSenderQueue = 256
	maxSenderBytes = 8 << 20
)

// sender is the connection over which this member sends to another one; the other member sends over its own connection.
type sender struct {
	source *Source
	to     Member
	queue  chan wire.Message
	bytes  atomic.Int64 // in the queue
}

func newSender(s *Source, to Member) *sender {
	return &sender{source: s, to: to, queue: make(chan wire.Message, maxSenderQueue)}
}

// send queues a message to a member. It does not block.
func (s *Source) send(to string, m wire.Message) {
	if sender := s.senders[to]; sender != nil {
		sender.enqueue(m)
	}
}

func (s *sender) enqueue(m wire.Message) {
	size := int64(sizeOf(m))
	if s.bytes.Load()+size > maxSenderBytes {
		return
	}
	select {
	case s.queue <- m:
		s.bytes.Add(size)
	default:
	}
}

// sizeOf returns the approximate size of a message in bytes.
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

// run sends queued messages until the context ends. After a connection breaks, the next message opens a new one.
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
				s.discardQueue()
				continue
			}
		}
		if err := c.Write(m); err != nil {
			c.Close()
			c, closed = nil, nil
			s.discardQueue()
		}
	}
}

// discardQueue drops the queued messages: they would be outdated by the time the next connection is up.
func (s *sender) discardQueue() {
	for {
		select {
		case m := <-s.queue:
			s.bytes.Add(-int64(sizeOf(m)))
		default:
			return
		}
	}
}

// dial opens a connection. The channel is closed when the other side closes the connection. Both results are nil if dialing fails.
func (s *sender) dial(ctx context.Context) (*stream.Conn, <-chan struct{}) {
	dialer := net.Dialer{Timeout: s.source.timing.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", s.to.Address)
	if err != nil {
		s.source.log.Debug("a member cannot be reached", "member", s.to.Name, "err", err)
		return nil, nil
	}
	c := stream.New(conn, s.source.seals, s.source.writeTimeout())
	hello := &wire.Hello{Role: wire.RoleMember, Cluster: s.source.cfg.Cluster, Name: s.source.cfg.Name, Start: s.source.start}
	if err := c.Write(hello); err != nil {
		c.Close()
		return nil, nil
	}
	closed := make(chan struct{})
	s.source.background.Go(func() {
		defer close(closed)
		s.readAnswers(ctx, c)
	})
	return c, closed
}

// readAnswers reads the member's answers, which accept or reject the connection, until the connection ends.
func (s *sender) readAnswers(ctx context.Context, c *stream.Conn) {
	end := context.AfterFunc(ctx, func() { c.Close() })
	defer end()
	for {
		m, err := c.Read(time.Hour, wire.MaxSmall)
		if err != nil {
			return
		}
		if r, is := m.(*wire.Rejected); is {
			s.source.log.Error("a member rejects connections of this one", "member", s.to.Name, "code", r.Code, "why", r.Text)
			return
		}
	}
}

// serveMember reads another member's messages until its connection ends.
func (s *Source) serveMember(c *stream.Conn, name string) error {
	for {
		m, err := c.Read(maxMissedBeats*s.cfg.Heartbeat, wire.MaxFrame)
		if err != nil {
			return err
		}
		if _, is := m.(*wire.Beat); is {
			continue
		}
		s.enqueue(sizeOf(m), maxQueue, func() { s.node.handle(name, m, time.Now()) }) // dropped if the queue is full
	}
}

// writeTimeout returns the time-out for writing a message.
func (s *Source) writeTimeout() time.Duration { return maxMissedBeats * s.cfg.Heartbeat }
