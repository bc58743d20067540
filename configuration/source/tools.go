package source

import (
	"context"
	"fmt"
	"net"
	"time"

	"laddertide/configuration/stream"
	wire "laddertide/wire/configuration"
)

// toolIdleTimeout is how long a tool may be idle between two requests.
const toolIdleTimeout = time.Minute

// serveTool answers the requests of an operator's tool, one after another.
func (s *Source) serveTool(ctx context.Context, c *stream.Conn, conn net.Conn) error {
	for {
		s.setIdle(conn, true)
		m, err := c.Read(toolIdleTimeout, wire.MaxDocument+wire.MaxSmall)
		s.setIdle(conn, false)
		if err != nil {
			return err
		}
		var answer wire.Message
		switch m := m.(type) {
		case *wire.Fetch:
			answer, _ = s.latest.get()
		case *wire.Propose:
			answer = s.propose(ctx, m)
		case *wire.StatusRequest:
			answer = s.status(ctx)
		default:
			return fmt.Errorf("configuration: a tool sends %T", m)
		}
		if answer == nil { // this source is shutting down, or too much is queued for a status
			return nil
		}
		if err := c.Write(answer); err != nil {
			return err
		}
	}
}

// propose validates a document, and proposes it to the quorum.
func (s *Source) propose(ctx context.Context, m *wire.Propose) wire.Message {
	answer := &wire.Proposed{Request: m.Request, Code: wire.Invalid}
	if m.Request == "" {
		answer.Text = "no request id"
		return answer
	}
	if err := s.cfg.Validate(m.Document); err != nil {
		answer.Text = err.Error()[:min(len(err.Error()), wire.MaxReason)]
		return answer
	}
	done := make(chan wire.Proposed, 1)
	if !s.enqueue(len(m.Document), maxQueue, func() { s.node.propose(m, time.Now(), func(p wire.Proposed) { done <- p }) }) {
		answer.Code, answer.Text = wire.Busy, "too much waits"
		return answer
	}
	select {
	case p := <-done:
		return &p
	case <-ctx.Done():
		return nil
	}
}

func (s *Source) status(ctx context.Context) wire.Message {
	done := make(chan wire.Status, 1)
	if !s.enqueue(0, maxQueue, func() { s.node.status(time.Now(), func(st wire.Status) { done <- st }) }) {
		return nil
	}
	select {
	case st := <-done:
		return &st
	case <-ctx.Done():
		return nil
	}
}
