// Package stream sends and receives messages of wire/configuration over a connection: each message is prefixed with its length and,
// if there are keys, encrypted. Every read and write has a deadline. Sources, followers and tools all use it.
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

// ErrDecrypt reports that a message cannot be decrypted: it was encrypted with another key or for another cluster, or is plain text.
var ErrDecrypt = errors.New("configuration: a message that does not open: another key or another cluster")

const (
	lengthBytes  = 4
	sealOverhead = 64 // upper bound on the bytes that encryption adds
)

// Seals encrypts and decrypts messages. A nil *Seals leaves messages unchanged.
type Seals struct {
	ciphers []cipher.AEAD
	label   []byte
}

// NewSeals returns a Seals for keys of 16, 24 or 32 bytes: the first key encrypts, all of them decrypt. The label, a cluster's name,
// is authenticated with each message, so messages of another cluster cannot be decrypted. Without keys it returns nil.
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
	return nil, ErrDecrypt
}

// Conn is a connection that carries messages. One goroutine may read while others write.
type Conn struct {
	conn         net.Conn
	seals        *Seals
	writeTimeout time.Duration // time-out for one message

	mu       sync.Mutex // serializes writes
	in, out  atomic.Int64
	messages atomic.Int64
}

// New returns a Conn that uses the given connection. writeTimeout is the time-out for writing a message, and for reading one after its
// first byte.
func New(conn net.Conn, seals *Seals, writeTimeout time.Duration) *Conn {
	return &Conn{conn: conn, seals: seals, writeTimeout: writeTimeout}
}

// Read waits for the first byte of a message for the given time-out, and for the rest of it for the write time-out. A message larger
// than maxBytes is an error. The memory used grows with the bytes received, not with the length that the message announces.
func (c *Conn) Read(timeout time.Duration, maxBytes int) (wire.Message, error) {
	var head [lengthBytes]byte
	c.conn.SetReadDeadline(time.Now().Add(timeout))
	if _, err := io.ReadFull(c.conn, head[:1]); err != nil {
		return nil, err
	}
	c.conn.SetReadDeadline(time.Now().Add(c.writeTimeout))
	if _, err := io.ReadFull(c.conn, head[1:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(head[:]))
	if size > int64(maxBytes)+sealOverhead {
		return nil, fmt.Errorf("configuration: a message of %d bytes, and %d are the most here", size, maxBytes)
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

// Write writes a message. The connection cannot be used for writing after an error.
func (c *Conn) Write(m wire.Message) error {
	b := c.seals.seal(wire.Append(m))
	if len(b) > wire.MaxFrame+sealOverhead {
		return fmt.Errorf("configuration: a message of %d bytes is too large", len(b))
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(b)), uint32(len(b)))
	frame = append(frame, b...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	n, err := c.conn.Write(frame)
	c.out.Add(int64(n))
	c.messages.Add(1)
	return err
}

// Bytes returns the number of bytes of messages read and written.
func (c *Conn) Bytes() (in, out int64) { return c.in.Load(), c.out.Load() }

// Messages returns the number of messages read and written, in total.
func (c *Conn) Messages() int64 { return c.messages.Load() }

// RemoteAddr returns the address of the remote end.
func (c *Conn) RemoteAddr() net.Addr { return c.conn.RemoteAddr() }

// Close closes the connection.
func (c *Conn) Close() error { return c.conn.Close() }
