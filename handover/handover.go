// Package handover finds the other process of an upgrade and talks with it: over a private socket in the folder that both
// have, in messages that carry descriptors along. It owns that socket; what is handed over, and what becomes of it, is
// never decided here.
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
	file       = "laddertide.handover"
	packet     = 32 << 10        // of a message: the system takes no more at a time than a socket's buffer
	writeLimit = 2 * time.Second // for a packet; the other side may be short of CPU
	helloLimit = 2 * time.Second // for the first word of either side

	finishLimit = 500 * time.Millisecond // for the other side to read what is left
)

// ErrGone says that the other process is not there any more, ErrNotSent that it has not been sent all of a message.
var (
	ErrGone    = errors.New("handover: the other process has gone")
	ErrNotSent = errors.New("handover: the other process has not been told")
)

// Received is a message and the socket that came with it, if any.
type Received struct {
	Message wire.Message
	File    *os.File
}

// Peer is the other process.
type Peer struct {
	conn *net.UnixConn
	gone chan struct{}

	writing sync.Mutex
	packets []byte

	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan wire.Reply
	closed  bool
}

func newPeer(c net.Conn) *Peer {
	return &Peer{conn: c.(*net.UnixConn), gone: make(chan struct{}), waiting: make(map[uint64]chan wire.Reply)}
}

// Gone is closed once the other process is gone, or has been let go.
func (p *Peer) Gone() <-chan struct{} { return p.gone }

// Close lets the other process go.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		p.conn.Close()
		close(p.gone)
	}
}

// Finish lets the other process go once it has read all that was sent to it.
func (p *Peer) Finish() {
	if p.conn.CloseWrite() == nil {
		timer := time.NewTimer(finishLimit)
		defer timer.Stop()
		select {
		case <-p.gone: // it has read to the end, and closed
		case <-timer.C:
		}
	}
	p.Close()
}

// Send sends a message, and a copy of c's socket if c is not nil. An error means that the message was not sent whole; if
// it is ErrNotSent, the other process has ended or been let go.
func (p *Peer) Send(m wire.Message, c syscall.Conn) error {
	if c == nil {
		return p.send(m, nil)
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	// The socket cannot be closed meanwhile, and needs no copy of its own.
	if err := raw.Control(func(fd uintptr) { sent = p.send(m, syscall.UnixRights(int(fd))) }); err != nil {
		return err
	}
	return sent
}

func (p *Peer) send(m wire.Message, rights []byte) error {
	p.writing.Lock()
	defer p.writing.Unlock()
	b := append(p.packets[:0], 0) // room for the mark of the first packet
	b = wire.Append(b, m)
	p.packets = b[:0]
	if cap(b) > 4*packet {
		p.packets = nil
	}
	if len(b) > wire.MaxMessage {
		return fmt.Errorf("handover: a message of %d bytes is too large", len(b))
	}
	for first := true; first || len(b) > 1; first = false {
		n := min(len(b), packet)
		if b[0] = 0; n < len(b) {
			b[0] = 1 // more of it follows
		}
		p.conn.SetWriteDeadline(time.Now().Add(writeLimit))
		if _, _, err := p.conn.WriteMsgUnix(b[:n], rights, nil); err != nil {
			if !errors.Is(err, syscall.EPIPE) { // else it has ended, and what it sent before is still to be read
				p.Close()
			}
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		rights = nil
		b = b[n-1:] // the last byte sent makes room for the next mark
	}
	return nil
}

// Ask sends a message that wants a reply and waits for that.
func (p *Peer) Ask(m wire.Numbered, c syscall.Conn, limit time.Duration) (wire.Reply, error) {
	answer := make(chan wire.Reply, 1)
	p.mu.Lock()
	p.number++
	number := p.number
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
		return wire.Reply{}, ErrGone
	case <-timer.C:
		return wire.Reply{}, errors.New("handover: the other process does not answer")
	}
}

// Run hands each message to take, in order, until the other process is gone; replies go to who asked. take owns the
// socket that comes with a message. An error of take lets the other process go.
func (p *Peer) Run(take func(Received) error) error {
	defer p.Close()
	p.conn.SetReadDeadline(time.Time{})
	for {
		r, err := p.receive()
		if err == nil {
			if reply, ok := r.Message.(*wire.Reply); ok && r.File == nil {
				p.mu.Lock()
				answer := p.waiting[reply.Number]
				delete(p.waiting, reply.Number)
				p.mu.Unlock()
				if answer != nil {
					answer <- *reply
				}
				continue
			}
			err = take(r)
		}
		if err != nil {
			return err
		}
	}
}

// receive reads a whole message.
func (p *Peer) receive() (r Received, err error) {
	defer func() {
		if err != nil && r.File != nil {
			r.File.Close()
			r.File = nil
		}
	}()
	var whole []byte
	reset := false
	b, oob := make([]byte, packet+1), make([]byte, syscall.CmsgSpace(4*4))
	for {
		n, on, flags, _, err := p.conn.ReadMsgUnix(b, oob)
		if errors.Is(err, syscall.ECONNRESET) && !reset {
			reset = true // the other side has ended with something unread; what it sent before comes after this
			continue
		}
		if err != nil {
			return r, err
		}
		for _, f := range files(oob[:on]) {
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
			return r, errors.New("handover: a packet makes no sense")
		case len(whole)+n > wire.MaxMessage:
			return r, errors.New("handover: a message is too large")
		}
		whole = append(whole, b[1:n]...)
		if b[0] == 0 {
			r.Message, err = wire.Parse(whole)
			return r, err
		}
	}
}

// files are the sockets in a control message.
func files(oob []byte) (out []*os.File) {
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

// first reads the first word of the other side.
func (p *Peer) first() (Received, error) {
	p.conn.SetReadDeadline(time.Now().Add(helloLimit))
	return p.receive()
}

// address is where the socket is, by a path that is short enough for one. done frees what that takes.
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

// Refused is the older process's no.
type Refused struct {
	Why   string
	Later bool // it may be asked again soon
}

func (r *Refused) Error() string { return "handover: refused: " + r.Why }

// Join asks the process that serves to stand by. Without such a process the error is ErrGone.
func Join(dir string, hello wire.Hello) (*Peer, *wire.Welcome, *os.File, error) {
	a, done, err := address(dir, file)
	if err != nil {
		return nil, nil, nil, err
	}
	defer done()
	c, err := net.DialUnix("unixpacket", nil, a)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
			err = ErrGone
		}
		return nil, nil, nil, err
	}
	p := newPeer(c)
	hello.Version = wire.Version
	r := Received{}
	if err = p.Send(&hello, nil); err == nil {
		r, err = p.first()
	}
	switch m := r.Message.(type) {
	case *wire.Welcome:
		if m.Version == wire.Version && r.File != nil {
			return p, m, r.File, nil
		}
		err = fmt.Errorf("handover: the older process speaks version %d, not %d", m.Version, wire.Version)
	case *wire.Refusal:
		err = &Refused{Why: m.Why, Later: m.Later && m.Version == wire.Version}
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

// MaxGreeted is how many processes may have connected to a Place and not have their answer yet.
const MaxGreeted = 4

// Place is where a process that serves is found by its successor.
type Place struct {
	ln        *net.UnixListener
	answering sync.Mutex // held while a process is answered

	mu      sync.Mutex
	greeted []*Peer // those that have no answer yet, oldest first; at most MaxGreeted
}

// Listen takes the place of whatever process was found there before, in one go: at no time is nobody found.
func Listen(dir string) (*Place, error) {
	const next = file + ".next"
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
	ln.SetUnlinkOnClose(false) // a path under /proc would be another one by then
	if err = os.Chmod(filepath.Join(dir, next), 0o600); err == nil {
		err = os.Rename(filepath.Join(dir, next), filepath.Join(dir, file))
	}
	if err != nil {
		ln.Close()
		return nil, err
	}
	return &Place{ln: ln}, nil
}

// Close ends Serve. The file stays; nobody answers there.
func (p *Place) Close() { p.ln.Close() }

// Serve lets welcome have each process that says its first word, one after the other. welcome says what it is answered:
// a Welcome, with the socket of door, or a Refusal; admitted is told of the former once the answer is out. Processes that say nothing keep nobody waiting: beyond MaxGreeted the oldest is let go.
func (p *Place) Serve(door syscall.Conn, welcome func(*wire.Hello) wire.Message, admitted func(*Peer)) {
	for {
		c, err := p.ln.AcceptUnix()
		if err != nil {
			return
		}
		peer := newPeer(c)
		p.enter(peer)
		go func() {
			defer p.leave(peer)
			if hello := peer.hello(); hello == nil || !p.answer(peer, hello, door, welcome, admitted) {
				peer.Close()
			}
		}()
	}
}

// enter notes a process that has no answer yet, and lets go of the oldest if there are too many.
func (p *Place) enter(peer *Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.greeted = append(p.greeted, peer)
	if len(p.greeted) > MaxGreeted {
		p.greeted[0].Close() // whoever is to follow says its first word as soon as it has connected
		p.greeted = slices.Delete(p.greeted, 0, 1)
	}
}

// leave notes that a process has its answer, or will have none.
func (p *Place) leave(peer *Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.greeted, peer); i >= 0 {
		p.greeted = slices.Delete(p.greeted, i, i+1)
	}
}

// hello reads the first word of a process that has connected; nil: it does not say who it is.
func (p *Peer) hello() *wire.Hello {
	r, err := p.first()
	if r.File != nil {
		r.File.Close()
	}
	if hello, ok := r.Message.(*wire.Hello); ok && err == nil {
		return hello
	}
	return nil
}

// answer answers a process's first word, and tells whether it is admitted.
func (p *Place) answer(peer *Peer, hello *wire.Hello, door syscall.Conn, welcome func(*wire.Hello) wire.Message, admitted func(*Peer)) bool {
	p.answering.Lock()
	defer p.answering.Unlock()
	var answer wire.Message = &wire.Refusal{Version: wire.Version, Why: fmt.Sprintf("this process speaks version %d, not %d",
		wire.Version, hello.Version)}
	if hello.Version == wire.Version {
		answer = welcome(hello)
	}
	if _, ok := answer.(*wire.Welcome); !ok {
		peer.Send(answer, nil)
		return false
	}
	if peer.Send(answer, door) != nil {
		return false
	}
	p.leave(peer)
	admitted(peer)
	return true
}
