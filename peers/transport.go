package peers

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"laddertide/internal/netfault"
	"laddertide/wire/groups"
	wire "laddertide/wire/peers"
)

// Traffic counts the traffic of the sockets. BytesIn and BytesOut count packets; the bytes of connections for full exchanges
// are in the fields for streams. Connections between members of groups are not counted here.
type Traffic struct {
	PacketsIn, PacketsOut, BytesIn, BytesOut, Streams, Refused uint64
	StreamBytesIn, StreamBytesOut                              uint64
}

// sockets is the transport of the membership protocol: one UDP socket, one listener, and connections with deadlines and size
// limits. The library's own transport allocates 64 KiB per packet and accepts any number of connections.
type sockets struct {
	timing          Timing
	udp             *net.UDPConn
	tcp             *net.TCPListener
	packets         chan *memberlist.Packet
	streams         chan net.Conn
	closing         chan struct{}
	closeOnce       sync.Once
	goroutines      sync.WaitGroup
	handleGroupConn func(net.Conn) // handles connections that begin with groups.FirstByte; nil: there are none

	mu   sync.Mutex
	open []*limitedConn // connections opened by others, oldest first

	packetsIn, packetsOut, bytesIn, bytesOut, accepted, refused atomic.Uint64
	streamBytesIn, streamBytesOut                               atomic.Uint64
}

// listen opens a TCP listener and a UDP socket on the same port and starts reading from both.
func listen(address string, timing Timing, handleGroupConn func(net.Conn)) (*sockets, error) {
	at, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, err := net.ListenTCP("tcp", at)
	if err != nil {
		return nil, err
	}
	port := tcp.Addr().(*net.TCPAddr).Port
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: port})
	if err != nil {
		tcp.Close()
		return nil, err
	}
	s := &sockets{timing: timing, udp: udp, tcp: tcp, packets: make(chan *memberlist.Packet, 64),
		streams: make(chan net.Conn), closing: make(chan struct{}), handleGroupConn: handleGroupConn}
	s.goroutines.Go(s.readPackets)
	s.goroutines.Go(s.accept)
	return s, nil
}

// readPackets reads from the UDP socket until it is closed.
func (s *sockets) readPackets() {
	buf := make([]byte, packetSize+512)
	for {
		// The deadline only bounds each read: when it passes, the next read begins.
		s.udp.SetReadDeadline(time.Now().Add(time.Minute))
		n, from, err := s.udp.ReadFrom(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case netfault.DeadlinePassed(err):
			continue
		case err != nil: // for example an ICMP message that a peer's port is closed
			select {
			case <-s.closing:
				return
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		s.packetsIn.Add(1)
		s.bytesIn.Add(uint64(n))
		if n == 0 || n == len(buf) { // empty, or longer than anything that a peer sends
			s.refused.Add(1)
			continue
		}
		packet := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: time.Now()}
		select {
		case s.packets <- packet:
		case <-s.closing:
			return
		}
	}
}

// accept accepts connections until the listener is closed.
func (s *sockets) accept() {
	for {
		c, err := s.tcp.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			select {
			case <-s.closing:
				return
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		s.accepted.Add(1)
		b := s.limit(c, s.removeOpen)
		// An exchange takes milliseconds: beyond the limit the connection that has been open longest is closed.
		s.mu.Lock()
		if !b.closed.Load() {
			s.open = append(s.open, b)
		}
		var oldest *limitedConn
		if len(s.open) > maxStreams {
			oldest = s.open[0]
		}
		s.mu.Unlock()
		if oldest != nil {
			s.refused.Add(1)
			oldest.Close()
		}
		if s.handleGroupConn != nil {
			s.goroutines.Go(func() { s.route(b) })
			s.closeUnrouted() // it may have been accepted after Shutdown closed the others
			continue
		}
		select {
		case s.streams <- b:
		case <-s.closing:
			b.Close()
			return
		}
	}
}

// route reads the first byte of a connection and passes it to handleGroupConn or the membership protocol.
func (s *sockets) route(b *limitedConn) {
	var first [1]byte
	if _, err := io.ReadFull(b, first[:]); err != nil {
		b.Close()
		return
	}
	if first[0] == groups.FirstByte {
		s.handleGroupConn(b.detach())
		return
	}
	b.unread = first[:]
	select {
	case s.streams <- b:
	case <-s.closing:
		b.Close()
	}
}

// closeUnrouted closes the connections whose first byte route may be waiting for, if the sockets are being closed, as Shutdown
// waits for route.
func (s *sockets) closeUnrouted() {
	select {
	case <-s.closing:
	default:
		return
	}
	s.mu.Lock()
	open := slices.Clone(s.open)
	s.mu.Unlock()
	for _, b := range open {
		b.Close()
	}
}

// detach returns the connection without its limits: the receiver sets its own deadlines and counts it.
func (b *limitedConn) detach() net.Conn {
	b.closeOnce.Do(func() {
		b.mu.Lock()
		b.timer.Stop()
		b.mu.Unlock()
		if b.closed.Store(true); b.release != nil {
			b.release(b)
		}
	})
	b.Conn.SetDeadline(time.Time{})
	return b.Conn
}

// removeOpen removes a connection from the open ones.
func (s *sockets) removeOpen(b *limitedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.open, b); i >= 0 {
		s.open = slices.Delete(s.open, i, i+1)
	}
}

// limitedConn is a connection with a fixed deadline and a limit on the bytes read, which is that of a full exchange.
type limitedConn struct {
	net.Conn
	deadline  time.Time
	bytesLeft int64
	closeOnce sync.Once
	release   func(*limitedConn) // called once when it is closed or detached; nil: it is not counted
	unread    []byte             // bytes read by route, which Read returns again
	closed    atomic.Bool

	bytesIn, bytesOut *atomic.Uint64 // totals over all connections of the sockets

	mu    sync.Mutex // guards timer, which may fire before it is stored here
	timer *time.Timer
}

var errExchangeTooLarge = errors.New("peers: exchange exceeds its size limit")

// limit returns c with limits on its time and size.
func (s *sockets) limit(c net.Conn, release func(*limitedConn)) *limitedConn {
	b := &limitedConn{Conn: c, deadline: time.Now().Add(s.timing.ExchangeTime), bytesLeft: wire.MaxState + (1 << 20), release: release,
		bytesIn: &s.streamBytesIn, bytesOut: &s.streamBytesOut}
	c.SetDeadline(b.deadline)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(s.timing.ExchangeTime, func() { b.Close() }) // also if its user is neither reading nor writing
	return b
}

// SetDeadline implements net.Conn. It never extends the deadline of the connection.
func (b *limitedConn) SetDeadline(t time.Time) error {
	if t.IsZero() || t.After(b.deadline) {
		t = b.deadline
	}
	return b.Conn.SetDeadline(t)
}

// Read implements net.Conn.
func (b *limitedConn) Read(p []byte) (int, error) {
	if len(b.unread) > 0 {
		n := copy(p, b.unread)
		b.unread = b.unread[n:]
		return n, nil
	}
	if b.bytesLeft <= 0 {
		return 0, errExchangeTooLarge
	}
	n, err := b.Conn.Read(p[:min(int64(len(p)), b.bytesLeft)])
	b.bytesLeft -= int64(n)
	b.bytesIn.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (b *limitedConn) Write(p []byte) (int, error) {
	n, err := b.Conn.Write(p)
	b.bytesOut.Add(uint64(n))
	return n, err
}

// Close implements net.Conn.
func (b *limitedConn) Close() error {
	err := b.Conn.Close()
	b.closeOnce.Do(func() {
		b.mu.Lock()
		b.timer.Stop()
		b.mu.Unlock()
		if b.closed.Store(true); b.release != nil {
			b.release(b)
		}
	})
	return err
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (s *sockets) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	own := s.tcp.Addr().(*net.TCPAddr)
	if ip == "" {
		return own.IP, own.Port, nil
	}
	at := net.ParseIP(ip)
	if at == nil {
		return nil, 0, fmt.Errorf("peers: %q is no address", ip)
	}
	if v4 := at.To4(); v4 != nil {
		at = v4
	}
	if port == 0 {
		port = own.Port
	}
	return at, port, nil
}

// WriteTo implements memberlist.Transport.
func (s *sockets) WriteTo(b []byte, address string) (time.Time, error) {
	return s.WriteToAddress(b, memberlist.Address{Addr: address})
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (s *sockets) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", a.Addr)
	if err != nil {
		return time.Time{}, err
	}
	s.udp.SetWriteDeadline(time.Now().Add(s.timing.AnswerTime))
	n, err := s.udp.WriteTo(b, to)
	s.packetsOut.Add(1)
	s.bytesOut.Add(uint64(n))
	return time.Now(), err
}

// PacketCh implements memberlist.Transport.
func (s *sockets) PacketCh() <-chan *memberlist.Packet { return s.packets }

// DialTimeout implements memberlist.Transport.
func (s *sockets) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return s.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (s *sockets) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: min(timeout, s.timing.ExchangeTime)}
	if own := s.tcp.Addr().(*net.TCPAddr).IP; !own.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: own} // firewalls see one address of this scheduler
	}
	c, err := dialer.Dial("tcp", a.Addr)
	if err != nil {
		return nil, err
	}
	return s.limit(c, nil), nil
}

// StreamCh implements memberlist.Transport.
func (s *sockets) StreamCh() <-chan net.Conn { return s.streams }

// Shutdown implements memberlist.Transport.
func (s *sockets) Shutdown() error {
	s.closeOnce.Do(func() { close(s.closing) })
	s.tcp.Close()
	s.udp.Close()
	if s.handleGroupConn != nil {
		s.closeUnrouted()
	}
	s.goroutines.Wait()
	return nil
}

// Traffic returns the counts since the start.
func (s *sockets) Traffic() Traffic {
	return Traffic{PacketsIn: s.packetsIn.Load(), PacketsOut: s.packetsOut.Load(), BytesIn: s.bytesIn.Load(), BytesOut: s.bytesOut.Load(),
		Streams: s.accepted.Load(), Refused: s.refused.Load(), StreamBytesIn: s.streamBytesIn.Load(), StreamBytesOut: s.streamBytesOut.Load()}
}

var _ memberlist.NodeAwareTransport = (*sockets)(nil)
var _ io.Closer = (*limitedConn)(nil)
