package metrics

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"laddertide/operator"
)

// Settings are those of the operator's file.
type Settings struct {
	Format     string // "statsd" or "influx"
	Target     string // "stderr", "file:PATH" or "udp:HOST:PORT"
	Flush      time.Duration
	BatchBytes int
}

const (
	statsd     = "statsd"
	influx     = "influx"
	stderr     = "stderr"
	filePrefix = "file:"
	udpPrefix  = "udp:"

	maxDatagram = 65507 // payload limit of a UDP datagram
)

// Parse reads the section of the operator's file.
func Parse(s *operator.Section) (Settings, error) {
	set := Settings{Format: statsd, Target: stderr, BatchBytes: 1400}
	flush := 1000
	s.OneOf("format", &set.Format, statsd, influx)
	s.Text("target", &set.Target)
	s.Int("flush_ms", &flush, 10, 3_600_000)
	s.Int("batch_bytes", &set.BatchBytes, 1, maxDatagram)
	set.Flush = time.Duration(flush) * time.Millisecond
	path, isFile := strings.CutPrefix(set.Target, filePrefix)
	address, isUDP := strings.CutPrefix(set.Target, udpPrefix)
	switch {
	case isFile && path == "":
		s.Fail("target", "%q names no path", set.Target)
	case isFile:
		if dir, err := os.Stat(filepath.Dir(path)); err != nil {
			s.Fail("target", "%v", err)
		} else if file, err := os.Stat(path); !dir.IsDir() || err == nil && file.IsDir() {
			s.Fail("target", "%s cannot be a file", path)
		}
	case isUDP:
		host, port, err := net.SplitHostPort(address)
		if n, e := strconv.ParseUint(port, 10, 16); err != nil || host == "" || e != nil || n == 0 {
			s.Fail("target", "%q is not udp:HOST:PORT", set.Target)
		}
	case set.Target != stderr:
		s.Fail("target", "%q is not stderr, file:PATH or udp:HOST:PORT", set.Target)
	}
	return set, s.Done()
}

// Descriptors returns the number of file descriptors that the target holds open.
func (s *Settings) Descriptors() int {
	if s.Target == stderr {
		return 0
	}
	return 1
}

// writer is a target. It is used by the flusher only, so it may block.
type writer interface {
	batch(b []byte) error
	close()
}

func newWriter(target string, stderr io.Writer) writer {
	if path, ok := strings.CutPrefix(target, filePrefix); ok {
		return &file{path: path}
	}
	if address, ok := strings.CutPrefix(target, udpPrefix); ok {
		return &udp{address: address}
	}
	return stream{stderr}
}

type stream struct{ w io.Writer }

func (s stream) batch(b []byte) error {
	_, err := s.w.Write(append(b, '\n'))
	return err
}

func (s stream) close() {}

const writeLimit = 200 * time.Millisecond

// file appends to a path. It is reopened for each batch, so that the file can be moved away at any time.
type file struct{ path string }

func (f *file) batch(b []byte) error {
	// Without O_NONBLOCK, opening a pipe without a reader would block.
	w, err := os.OpenFile(f.path, os.O_WRONLY|os.O_APPEND|os.O_CREATE|syscall.O_NONBLOCK, 0o644)
	if err != nil {
		return err
	}
	w.SetWriteDeadline(time.Now().Add(writeLimit)) // has no effect on a regular file
	_, err = w.Write(append(b, '\n'))
	if e := w.Close(); err == nil {
		err = e
	}
	return err
}

func (f *file) close() {}

// udp sends each batch as a datagram.
type udp struct {
	address string
	conn    net.Conn
}

func (u *udp) batch(b []byte) error {
	if u.conn == nil {
		dialer := net.Dialer{Timeout: writeLimit} // for the name look-up
		conn, err := dialer.Dial("udp", u.address)
		if err != nil {
			return err
		}
		u.conn = conn
	}
	u.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := u.conn.Write(b)
	if err != nil { // the next batch resolves the name again, as its address may have changed
		u.conn.Close()
		u.conn = nil
	}
	return err
}

func (u *udp) close() {
	if u.conn != nil {
		u.conn.Close()
	}
}
