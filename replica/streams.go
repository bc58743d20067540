package replica

import (
	"bufio"
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	wire "laddertide/wire/groups"
)

// Streams sends and receives frames over connections: one to each scheduler for which there are frames, and those made by other
// schedulers. Frames are encrypted with the keys of the membership protocol, if it has any. Frames that cannot be sent in time
// are dropped; the raft library repeats their messages.
type Streams struct {
	Dial        func(to string) (net.Conn, error) // connects to a scheduler, given by its name
	HandleFrame func(f *wire.Frame)               // called with each received frame
	Keys        [][]byte                          // the first one encrypts, all of them decrypt; nil: nothing is encrypted
	Cluster     string                            // name of the cluster: frames of another one cannot be decrypted
	Timeout     time.Duration                     // timeout for sending or receiving a frame
	Log         *slog.Logger
	MaxConns    int // connections made by others that may be open; a further one replaces the oldest that has sent no frame

	checkOnce sync.Once
	ciphers   []cipher.AEAD
	checkErr  error

	mu         sync.Mutex
	outgoing   map[string]*stream
	incoming   map[net.Conn]bool
	silent     []net.Conn // those of in from which no complete frame was received, oldest first
	closed     bool
	goroutines sync.WaitGroup
}

// stream is the connection to one scheduler and its queue.
type stream struct {
	to    string
	queue chan []byte
	bytes int // in the queue; guarded by the Streams' mutex
}

const (
	queueFrames = 64
	headerBytes = 4
)

// Check creates the ciphers. An error means that a key is invalid.
func (s *Streams) Check() error {
	s.checkOnce.Do(func() {
		s.outgoing, s.incoming = make(map[string]*stream), make(map[net.Conn]bool)
		for _, k := range s.Keys {
			block, err := aes.NewCipher(k)
			if err != nil {
				s.checkErr = fmt.Errorf("replica: %w", err)
				return
			}
			gcm, err := cipher.NewGCMWithRandomNonce(block)
			if err != nil {
				s.checkErr = fmt.Errorf("replica: %w", err)
				return
			}
			s.ciphers = append(s.ciphers, gcm)
		}
	})
	return s.checkErr
}

// Send implements Transport.
func (s *Streams) Send(to string, f *wire.Frame) {
	if s.Check() != nil {
		return
	}
	b := f.Append()
	if len(s.ciphers) > 0 {
		b = s.ciphers[0].Seal(nil, nil, b, []byte(s.Cluster))
	}
	if len(b) > wire.MaxFrame {
		return
	}
	b = append(binary.BigEndian.AppendUint32(make([]byte, 0, headerBytes+len(b)), uint32(len(b))), b...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	st := s.outgoing[to]
	if st == nil {
		st = &stream{to: to, queue: make(chan []byte, queueFrames)}
		s.outgoing[to] = st
		s.goroutines.Go(func() { s.write(st) })
	}
	if st.bytes+len(b) > wire.MaxFrame {
		return // the receiver is too slow
	}
	select {
	case st.queue <- b:
		st.bytes += len(b)
	default:
	}
}

// write sends the queued frames of one scheduler. It returns when the queue has been empty for 8 times Limit, or Streams closes.
// A broken connection is replaced with the next frame.
func (s *Streams) write(st *stream) {
	var c net.Conn
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	idle := time.NewTimer(s.Timeout)
	defer idle.Stop()
	for {
		idle.Reset(8 * s.Timeout)
		var b []byte
		select {
		case b = <-st.queue:
		case <-idle.C:
		}
		s.mu.Lock()
		if b == nil && len(st.queue) == 0 || s.closed {
			delete(s.outgoing, st.to)
			s.mu.Unlock()
			return
		}
		st.bytes -= len(b)
		s.mu.Unlock()
		if b == nil {
			continue
		}
		if c == nil {
			var err error
			if c, err = s.Dial(st.to); err != nil {
				s.dropQueue(st)
				continue
			}
			b = append([]byte{wire.FirstByte}, b...)
		}
		c.SetWriteDeadline(time.Now().Add(s.Timeout))
		if _, err := c.Write(b); err != nil {
			c.Close()
			c = nil
			s.dropQueue(st)
		}
	}
}

// dropQueue drops the queued frames: they would be out of date by the time the next connection is established.
func (s *Streams) dropQueue(st *stream) {
	for {
		select {
		case b := <-st.queue:
			s.mu.Lock()
			st.bytes -= len(b)
			s.mu.Unlock()
		default:
			return
		}
	}
}

var errDecrypt = errors.New("replica: cannot decrypt a frame: another key, or another cluster")

// Serve reads frames from a connection made by another scheduler, after its first byte, until it ends.
func (s *Streams) Serve(c net.Conn) {
	if s.Check() != nil {
		c.Close()
		return
	}
	if !s.register(c) {
		c.Close()
		return
	}
	s.goroutines.Go(func() {
		err := s.read(c)
		s.mu.Lock()
		s.unregister(c)
		s.mu.Unlock()
		if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
			s.Log.Debug("a connection between group members has ended", "from", c.RemoteAddr(), "err", err)
		}
	})
}

// register registers a connection, or returns false to refuse it. At the limit it replaces the oldest connection that has sent no
// frame: a scheduler connects only when it has a frame to send.
func (s *Streams) register(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.incoming) >= s.MaxConns {
		if len(s.silent) == 0 {
			return false
		}
		s.unregister(s.silent[0])
	}
	s.incoming[c] = true
	s.silent = append(s.silent, c)
	return true
}

// unregister closes and unregisters a connection. Called under mu.
func (s *Streams) unregister(c net.Conn) {
	c.Close()
	delete(s.incoming, c)
	s.removeSilent(c)
}

// removeSilent records that a frame was received on a connection. Called under mu.
func (s *Streams) removeSilent(c net.Conn) {
	if i := slices.Index(s.silent, c); i >= 0 {
		s.silent = slices.Delete(s.silent, i, i+1)
	}
}

// read passes the frames of a connection to Streams.HandleFrame until the connection ends.
func (s *Streams) read(c net.Conn) error {
	br := bufio.NewReaderSize(c, 32<<10)
	var head [headerBytes]byte
	for first := true; ; first = false {
		// A leader sends several heartbeats in that time; a scheduler with nothing to send reconnects later.
		c.SetReadDeadline(time.Now().Add(16 * s.Timeout))
		if _, err := io.ReadFull(br, head[:]); err != nil {
			return err
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > wire.MaxFrame {
			return fmt.Errorf("replica: a frame of %d bytes is too large", n)
		}
		c.SetReadDeadline(time.Now().Add(s.Timeout))
		b, err := io.ReadAll(io.LimitReader(br, int64(n))) // memory is allocated only for bytes that arrive
		if err == nil && len(b) < int(n) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(s.ciphers) > 0 {
			if b, err = s.open(b); err != nil {
				return err
			}
		}
		f, err := wire.ReadFrame(b)
		if err != nil {
			return err
		}
		if first {
			s.mu.Lock()
			s.removeSilent(c)
			s.mu.Unlock()
		}
		s.HandleFrame(&f)
	}
}

// open decrypts a frame with the first key that fits.
func (s *Streams) open(b []byte) ([]byte, error) {
	for _, aead := range s.ciphers {
		if out, err := aead.Open(nil, nil, b, []byte(s.Cluster)); err == nil {
			return out, nil
		}
	}
	return nil, errDecrypt
}

// Close closes all connections and waits for their goroutines.
func (s *Streams) Close() {
	if s.Check() != nil {
		return
	}
	s.mu.Lock()
	s.closed = true
	for c := range s.incoming {
		c.Close()
	}
	for _, st := range s.outgoing {
		select {
		case st.queue <- nil:
		default:
		}
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// newDiskID returns a random number that identifies a disk among members. It is never 0.
func newDiskID() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])>>1 | 1
}
