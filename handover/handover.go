// Package handover connects the two processes of an upgrade: over a private Unix socket in their common folder, with
// messages that can carry file descriptors. It owns that socket; the caller decides what is handed over and what
// happens to it.
package handover

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	wire "laddertide/wire/handover"
)

const (
	socketName = "laddertide.handover"
	maxPacket  = 32 << 10        // part of a message; the system accepts at most a socket buffer at a time
	writeLimit = 2 * time.Second // per packet; the other side may be short of CPU
	helloLimit = 2 * time.Second // for the first message of either side

	finishLimit = 500 * time.Millisecond // for the other side to read the rest
)

// ErrPeerEnded means that the other process has ended, ErrNotSent that a message was not sent completely, ErrUnsendable that it can never be
// sent and that nothing of it was; others still can.
var (
	ErrPeerEnded  = errors.New("handover: the other process has gone")
	ErrNotSent    = errors.New("handover: message not sent to the other process")
	ErrUnsendable = errors.New("handover: message cannot be sent")
)

// Received is a message and the socket that accompanied it, if any.
type Received struct {
	Message wire.Message
	File    *os.File
}

// Peer is the other process.
type Peer struct {
	conn *net.UnixConn
	gone chan struct{}

	writeMu    sync.Mutex
	sendBuffer []byte

	mu         sync.Mutex
	lastNumber uint64
	waiting    map[uint64]chan wire.Reply
	closed     bool
}

func newPeer(c net.Conn) *Peer {
	return &Peer{conn: c.(*net.UnixConn), gone: make(chan struct{}), waiting: make(map[uint64]chan wire.Reply)}
}

// Done returns a channel that is closed once the connection to the other process has ended on either side.
func (p *Peer) Done() <-chan struct{} { return p.gone }

// Close closes the connection to the other process.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		p.conn.Close()
		close(p.gone)
	}
}

// CloseAfterRead closes the connection once the other process has read all messages, or after finishLimit.
func (p *Peer) CloseAfterRead() {
	if p.conn.CloseWrite() == nil {
		timer := time.NewTimer(finishLimit)
		defer timer.Stop()
		select {
		case <-p.gone: // the other side has read to the end and closed
		case <-timer.C:
		}
	}
	p.Close()
}

// Send sends a message, and a copy of c's socket if c is not nil. An error means that the message was not sent completely;
// with ErrNotSent, the other process has ended or the connection has been closed; with ErrUnsendable, the connection is as before.
func (p *Peer) Send(m wire.Message, c syscall.Conn) error {
	if c == nil {
		return p.send(m, nil)
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	// Control keeps the descriptor open meanwhile, so it need not be duplicated.
	if err := raw.Control(func(fd uintptr) { sent = p.send(m, syscall.UnixRights(int(fd))) }); err != nil {
		return err
	}
	return sent
}

func (p *Peer) send(m wire.Message, rights []byte) error {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	b := append(p.sendBuffer[:0], 0) // the mark of the first packet
	b, err := wire.Append(b, m)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnsendable, err)
	}
	p.sendBuffer = b[:0]
	if cap(b) > 4*maxPacket {
		p.sendBuffer = nil
	}
	if len(b) > wire.MaxMessage {
		return fmt.Errorf("%w: %d bytes are too many", ErrUnsendable, len(b))
	}
	for first := true; first || len(b) > 1; first = false {
		n := min(len(b), maxPacket)
		if b[0] = 0; n < len(b) {
			b[0] = 1 // more packets follow
		}
		p.conn.SetWriteDeadline(time.Now().Add(writeLimit))
		if _, _, err := p.conn.WriteMsgUnix(b[:n], rights, nil); err != nil {
			if !errors.Is(err, syscall.EPIPE) { // with EPIPE the peer has ended; keep the connection to read its last messages
				p.Close()
			}
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		rights = nil
		b = b[n-1:] // the next mark overwrites the last byte sent
	}
	return nil
}

// Ask sends a numbered message and waits for its reply.
func (p *Peer) Ask(m wire.Numbered, c syscall.Conn, limit time.Duration) (wire.Reply, error) {
	answer := make(chan wire.Reply, 1)
	p.mu.Lock()
	p.lastNumber++
	number := p.lastNumber
	p.waiting[number] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.waiting, number)
		p.mu.Unlock()
	}()
	m.SetNumber(number)
	if err := p.Send(m, c); err != nil {
		return wire.Reply{}, err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case r := <-answer:
		return r, nil
	case <-p.gone:
		return wire.Reply{}, ErrPeerEnded
	case <-timer.C:
		return wire.Reply{}, errors.New("handover: the other process does not answer")
	}
}

// Run passes each message to take, in order, until the connection ends; replies go to the waiting call of Ask. take owns the
// socket that accompanies a message. A message that cannot be decoded is refused by a Reply, if it has a number, and costs no other.
func (p *Peer) Run(take func(Received)) error {
	defer p.Close()
	p.conn.SetReadDeadline(time.Time{})
	for {
		r, err := p.receive()
		var malformed *wire.MalformedError
		switch reply, isReply := r.Message.(*wire.Reply); {
		case errors.As(err, &malformed):
			if malformed.Number != 0 {
				p.Send(&wire.Reply{Number: malformed.Number, Code: wire.No, Reason: malformed.Error()}, nil)
			}
		case err != nil:
			return err
		case isReply && r.File == nil:
			p.deliver(reply)
		default:
			take(r)
		}
	}
}

// deliver passes a reply to the call of Ask that waits for it.
func (p *Peer) deliver(reply *wire.Reply) {
	p.mu.Lock()
	answer := p.waiting[reply.Number]
	delete(p.waiting, reply.Number)
	p.mu.Unlock()
	if answer != nil {
		answer <- *reply
	}
}

// receive reads a complete message.
func (p *Peer) receive() (r Received, err error) {
	defer func() {
		if err != nil && r.File != nil {
			r.File.Close()
			r.File = nil
		}
	}()
	var whole []byte
	reset := false
	b, oob := make([]byte, maxPacket+1), make([]byte, syscall.CmsgSpace(4*4))
	for {
		n, on, flags, _, err := p.conn.ReadMsgUnix(b, oob)
		if errors.Is(err, syscall.ECONNRESET) && !reset {
			reset = true // the peer ended with data unread; its last messages follow this error
			continue
		}
		if err != nil {
			return r, err
		}
		for _, f := range receivedFiles(oob[:on]) {
			if r.File == nil {
				r.File = f
			} else {
				f.Close()
			}
		}
		switch {
		case n == 0:
			return r, io.EOF
		case flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 || b[0] > 1:
			return r, errors.New("handover: malformed packet")
		case len(whole)+n > wire.MaxMessage:
			return r, errors.New("handover: received message is too large")
		}
		whole = append(whole, b[1:n]...)
		if b[0] == 0 {
			r.Message, err = wire.Parse(whole)
			return r, err
		}
	}
}

// receivedFiles returns the sockets of a control message.
func receivedFiles(oob []byte) (out []*os.File) {
	all, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for i := range all {
		fds, err := syscall.ParseUnixRights(&all[i])
		if err != nil {
			continue
		}
		for _, fd := range fds {
			out = append(out, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return out
}

// receiveFirst reads the first message of the other side.
func (p *Peer) receiveFirst() (Received, error) {
	p.conn.SetReadDeadline(time.Now().Add(helloLimit))
	return p.receive()
}

// address returns the socket's address. A path of 100 bytes or more is too long for a Unix address and is replaced by one through
// /proc/self/fd; done releases the descriptor which that needs.
func address(dir, file string) (a *net.UnixAddr, done func(), err error) {
	path := filepath.Join(dir, file)
	if len(path) < 100 {
		return &net.UnixAddr{Name: path, Net: "unixpacket"}, func() {}, nil
	}
	d, err := os.Open(dir)
	if err != nil {
		return nil, nil, err
	}
	return &net.UnixAddr{Name: fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), file), Net: "unixpacket"}, func() { d.Close() }, nil
}

// Refused is the error of Join if the older process refuses.
type Refused struct {
	Reason     string
	RetryLater bool // Join may be retried soon
}

func (r *Refused) Error() string { return "handover: refused: " + r.Reason }

// Join connects to the process that serves and asks to become its successor. Without such a process the error is ErrPeerEnded.
func Join(dir string, hello wire.Hello) (*Peer, *wire.Welcome, *os.File, error) {
	a, done, err := address(dir, socketName)
	if err != nil {
		return nil, nil, nil, err
	}
	defer done()
	c, err := net.DialUnix("unixpacket", nil, a)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
			err = ErrPeerEnded
		}
		return nil, nil, nil, err
	}
	p := newPeer(c)
	hello.Version = wire.Version
	r := Received{}
	if err = p.Send(&hello, nil); err == nil {
		r, err = p.receiveFirst()
	}
	switch m := r.Message.(type) {
	case *wire.Welcome:
		if m.Version == wire.Version && r.File != nil {
			return p, m, r.File, nil
		}
		err = fmt.Errorf("handover: the older process speaks version %d, not %d", m.Version, wire.Version)
	case *wire.Refusal:
		err = &Refused{Reason: m.Reason, RetryLater: m.RetryLater && m.Version == wire.Version}
	default:
		if err == nil {
			err = fmt.Errorf("handover: %T instead of a welcome", m)
		}
	}
	if r.File != nil {
		r.File.Close()
	}
	p.Close()
	return nil, nil, nil, err
}

// MaxUnanswered is the number of connections that are kept open before they have been answered.
const MaxUnanswered = 4

// Listener is the listening socket at which a successor finds the process that serves.
type Listener struct {
	ln       *net.UnixListener
	answerMu sync.Mutex // serializes answers

	mu         sync.Mutex
	unanswered []*Peer // connected and not yet answered, oldest first; at most MaxUnanswered
}

// Listen replaces the socket of a previous process atomically: at any time a successor finds one of the two.
func Listen(dir string) (*Listener, error) {
	const next = socketName + ".next"
	a, done, err := address(dir, next)
	if err != nil {
		return nil, err
	}
	defer done()
	if err := os.Remove(filepath.Join(dir, next)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	ln, err := net.ListenUnix("unixpacket", a)
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // a path under /proc may then refer to another folder
	if err = os.Chmod(filepath.Join(dir, next), 0o600); err == nil {
		err = os.Rename(filepath.Join(dir, next), filepath.Join(dir, socketName))
	}
	if err != nil {
		ln.Close()
		return nil, err
	}
	return &Listener{ln: ln}, nil
}

// Close ends Serve. The socket's file stays, and connections to it are refused.
func (p *Listener) Close() { p.ln.Close() }

// Serve calls welcome with the Hello of each process, one at a time. welcome returns the answer: a Welcome, which is sent with the
// socket of listener, or a Refusal. admitted is called after a Welcome has been sent. Silent processes do not block others: beyond
// MaxUnanswered the oldest connection is closed.
func (p *Listener) Serve(listener syscall.Conn, welcome func(*wire.Hello) wire.Message, admitted func(*Peer)) {
	for {
		c, err := p.ln.AcceptUnix()
		if err != nil {
			return
		}
		peer := newPeer(c)
		p.addUnanswered(peer)
		go func() {
			defer p.removeUnanswered(peer)
			if hello := peer.receiveHello(); hello == nil || !p.answer(peer, hello, listener, welcome, admitted) {
				peer.Close()
			}
		}()
	}
}

// addUnanswered adds a process that has not been answered, and closes the oldest if there are too many.
func (p *Listener) addUnanswered(peer *Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered = append(p.unanswered, peer)
	if len(p.unanswered) > MaxUnanswered {
		p.unanswered[0].Close() // a real successor sends its Hello right after connecting
		p.unanswered = slices.Delete(p.unanswered, 0, 1)
	}
}

// removeUnanswered removes a process that has been answered, or will not be.
func (p *Listener) removeUnanswered(peer *Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.unanswered, peer); i >= 0 {
		p.unanswered = slices.Delete(p.unanswered, i, i+1)
	}
}

// receiveHello reads the first message of a connected process; nil: it is not a Hello.
func (p *Peer) receiveHello() *wire.Hello {
	r, err := p.receiveFirst()
	if r.File != nil {
		r.File.Close()
	}
	if hello, ok := r.Message.(*wire.Hello); ok && err == nil {
		return hello
	}
	return nil
}

// answer answers a Hello, and reports whether the process is admitted.
func (p *Listener) answer(peer *Peer, hello *wire.Hello, listener syscall.Conn, welcome func(*wire.Hello) wire.Message, admitted func(*Peer)) bool {
	p.answerMu.Lock()
	defer p.answerMu.Unlock()
	var answer wire.Message = &wire.Refusal{Version: wire.Version, Reason: fmt.Sprintf("this process speaks version %d, not %d",
		wire.Version, hello.Version)}
	if hello.Version == wire.Version {
		answer = welcome(hello)
	}
	if _, ok := answer.(*wire.Welcome); !ok {
		peer.Send(answer, nil)
		return false
	}
	if peer.Send(answer, listener) != nil {
		return false
	}
	p.removeUnanswered(peer)
	admitted(peer)
	return true
}
