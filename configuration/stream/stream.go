// Package stream carries messages of wire/configuration over a connection: each behind its length, sealed where there are keys,
// with a deadline on every read and write. Sources and followers use the same.
package stream

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	wire "laddertide/wire/configuration"
)

// ErrSealed says that a message does not open: another key, or another cluster.
var ErrSealed = errors.New("configuration: a message that does not open: another key or another cluster")

const (
	lengthBytes = 4
	sealBytes   = 64 // more than a seal adds
)

// Seals seal and open messages. A nil *Seals passes them on as they are.
type Seals struct {
	ciphers []cipher.AEAD
	label   []byte
}

// NewSeals makes seals of keys of 16, 24 or 32 bytes: the first one seals, all of them open. The label, a cluster's name, is
// sealed in: what is of another cluster does not open. Without keys it returns nil.
func NewSeals(keys [][]byte, label string) (*Seals, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	s := &Seals{label: []byte(label)}
	for _, key := range keys {
		block, err := aes.NewCipher(key)
		if err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}
		gcm, err := cipher.NewGCMWithRandomNonce(block)
		if err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}
		s.ciphers = append(s.ciphers, gcm)
	}
	return s, nil
}

func (s *Seals) seal(b []byte) []byte {
	if s == nil {
		return b
	}
	return s.ciphers[0].Seal(nil, nil, b, s.label)
}

func (s *Seals) open(b []byte) ([]byte, error) {
	if s == nil {
		return b, nil
	}
	for _, c := range s.ciphers {
		if out, err := c.Open(nil, nil, b, s.label); err == nil {
			return out, nil
		}
	}
	return nil, ErrSealed
}

// Conn is a connection that carries messages. One goroutine may read while others write.
type Conn struct {
	conn  net.Conn
	seals *Seals
	write time.Duration // for one message

	mu       sync.Mutex // of a write
	in, out  atomic.Int64
	messages atomic.Int64
}

// New makes a Conn of a connection. A message that is not written within the given time ends the connection.
func New(conn net.Conn, seals *Seals, write time.Duration) *Conn {
	return &Conn{conn: conn, seals: seals, write: write}
}

// Read waits as long as the first limit for a message to begin, and as long as the write limit for the rest of it. One that is
// larger than most bytes is an error. It takes no more memory than bytes have come.
func (c *Conn) Read(wait time.Duration, most int) (wire.Message, error) {
	var head [lengthBytes]byte
	c.conn.SetReadDeadline(time.Now().Add(wait))
	if _, err := io.ReadFull(c.conn, head[:1]); err != nil {
		return nil, err
	}
	c.conn.SetReadDeadline(time.Now().Add(c.write))
	if _, err := io.ReadFull(c.conn, head[1:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(head[:]))
	if size > int64(most)+sealBytes {
		return nil, fmt.Errorf("configuration: a message of %d bytes, and %d are the most here", size, most)
	}
	b, err := io.ReadAll(io.LimitReader(c.conn, size))
	if err == nil && int64(len(b)) < size {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	c.in.Add(lengthBytes + size)
	c.messages.Add(1)
	if b, err = c.seals.open(b); err != nil {
		return nil, err
	}
	return wire.Read(b)
}

// Write writes a message. After an error nothing more can be written.
func (c *Conn) Write(m wire.Message) error {
	b := c.seals.seal(wire.Append(m))
	if len(b) > wire.MaxFrame+sealBytes {
		return fmt.Errorf("configuration: a message of %d bytes is too large", len(b))
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(b)), uint32(len(b)))
	frame = append(frame, b...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(c.write))
	n, err := c.conn.Write(frame)
	c.out.Add(int64(n))
	c.messages.Add(1)
	return err
}

// Bytes returns how many bytes of messages have been read and written.
func (c *Conn) Bytes() (in, out int64) { return c.in.Load(), c.out.Load() }

// Messages returns how many messages have been read and written.
func (c *Conn) Messages() int64 { return c.messages.Load() }

// RemoteAddr returns the other side's address.
func (c *Conn) RemoteAddr() net.Addr { return c.conn.RemoteAddr() }

// Close ends the connection.
func (c *Conn) Close() error { return c.conn.Close() }
