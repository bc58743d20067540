// Package client is the client of a configuration source for operators' tools: it proposes changes of the configuration, and queries
// the newest version and which follower has which version.
package client

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"time"

	"laddertide/configuration/stream"
	wire "laddertide/wire/configuration"
)

// Options configures a connection to a source.
type Options struct {
	Address string
	Cluster string
	Keys    [][]byte // see stream.NewSeals
	Name    string   // of the tool, for the source's log

	DialTimeout   time.Duration // time-out for the connection; 0: 2 s
	AnswerTimeout time.Duration // time-out for an answer; 0: a minute, as a proposal may wait for an election
}

// ErrRejected reports that the source does not serve this tool.
var ErrRejected = errors.New("configuration: the source does not serve this tool")

// Client is a connection to a source. It is not safe for concurrent use.
type Client struct {
	conn          *stream.Conn
	answerTimeout time.Duration
	source        string
}

// Dial connects to a source.
func Dial(ctx context.Context, o Options) (*Client, error) {
	if o.DialTimeout <= 0 {
		o.DialTimeout = 2 * time.Second
	}
	if o.AnswerTimeout <= 0 {
		o.AnswerTimeout = time.Minute
	}
	seals, err := stream.NewSeals(o.Keys, o.Cluster)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: o.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Client{conn: stream.New(conn, seals, o.DialTimeout), answerTimeout: o.AnswerTimeout}
	if err := c.handshake(o); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Client) handshake(o Options) error {
	if err := c.conn.Write(&wire.Hello{Role: wire.RoleOperator, Cluster: o.Cluster, Name: o.Name}); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	m, err := c.conn.Read(o.DialTimeout, wire.MaxSmall)
	if err != nil {
		return fmt.Errorf("configuration: the source does not answer, or has another key: %w", err)
	}
	switch m := m.(type) {
	case *wire.Welcome:
		c.source = m.Name
		return nil
	case *wire.Rejected:
		return fmt.Errorf("%w: %s: %s", ErrRejected, m.Code, m.Text)
	}
	return fmt.Errorf("configuration: the source answers with %T", m)
}

// Source returns the name of the connected source.
func (c *Client) Source() string { return c.source }

// NewRequest returns a random request id. A proposal keeps its id when it is repeated, also to another source.
func NewRequest() string { return rand.Text() }

// Propose proposes a change. The code of the answer is its outcome. After an error the change may or may not have been accepted:
// repeat the proposal with the same request id.
func (c *Client) Propose(p *wire.Propose) (*wire.Proposed, error) {
	return request[*wire.Proposed](c, p)
}

// Newest returns the newest version.
func (c *Client) Newest() (*wire.Push, error) { return request[*wire.Push](c, &wire.Fetch{}) }

// Status returns the state of the cluster: which follower has which version.
func (c *Client) Status() (*wire.Status, error) {
	return request[*wire.Status](c, &wire.StatusRequest{})
}

// request sends a request and reads its answer.
func request[T wire.Message](c *Client, message wire.Message) (answer T, err error) {
	if err := c.conn.Write(message); err != nil {
		return answer, fmt.Errorf("configuration: %w", err)
	}
	m, err := c.conn.Read(c.answerTimeout, wire.MaxFrame)
	if err != nil {
		return answer, fmt.Errorf("configuration: no answer of %s: %w", c.source, err)
	}
	answer, ok := m.(T)
	if !ok {
		return answer, fmt.Errorf("configuration: %s answers with %T", c.source, m)
	}
	return answer, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }
