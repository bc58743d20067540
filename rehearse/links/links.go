// Package links puts relays between processes, so that a test can do to each direction of each pair what networks do: cut
// it, hold it up, lose, repeat and reorder packets, take bytes and deliver none, and reset connections in the middle of a
// message. It owns the relays' sockets, on addresses of their own in 127.0.0.0/8, and knows nothing of what passes. A seed
// gives the same fates to the same packets of a pair.
//
// A relay that Join makes stands in front of a process and tells by the source's address whose packets and connections come
// in, so each process must send from the address that it is known by here. One that Lead makes is on the way from one process
// to another and for that one alone, wherever it sends from; it carries connections only.
package links

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"laddertide/rehearse/loop"
)

// Fault is what one direction of a pair suffers. The zero value passes everything on at once.
type Fault struct {
	Cut     bool          // nothing passes; a connection goes on where it stopped once the fault has gone, as TCP does
	Swallow bool          // bytes are taken and never delivered; such a connection is reset once the fault has gone
	Delay   time.Duration // of everything
	Jitter  time.Duration // up to so much more, drawn for each packet
	Loss    float64       // part of the packets that is lost
	Repeat  float64       // part of the packets that comes twice
	Reorder float64       // part of the packets that others overtake
	Reset   int64         // connections are reset after so many bytes in this direction; 0: they are not
}

// Counts are what passed one direction of a pair. Bytes are of packets and of connections; StreamBytes of connections alone.
type Counts struct{ Packets, Lost, Bytes, Streams, StreamBytes int64 }

// Add adds what passed another one.
func (c *Counts) Add(d Counts) {
	c.Packets += d.Packets
	c.Lost += d.Lost
	c.Bytes += d.Bytes
	c.Streams += d.Streams
	c.StreamBytes += d.StreamBytes
}

type pair struct{ from, to string }

// Links are the relays of some processes.
type Links struct {
	seed uint64
	net  *loop.Net

	mu      sync.Mutex
	changed *sync.Cond
	faults  map[pair]Fault
	chance  map[pair]*rand.Rand
	counts  map[pair]*Counts
	names   map[string]string // by source address
	relays  []*relay
	ways    map[pair]*way
	open    map[net.Conn]bool
	waiting int // packets that are held up
	closed  bool
	all     sync.WaitGroup
}

const mostWaiting = 20_000

// New returns links without processes.
func New(seed uint64, n *loop.Net) *Links {
	if n == nil {
		n = loop.NewNet()
	}
	l := &Links{seed: seed, net: n, faults: make(map[pair]Fault), chance: make(map[pair]*rand.Rand),
		counts: make(map[pair]*Counts), names: make(map[string]string), ways: make(map[pair]*way), open: make(map[net.Conn]bool)}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// relay stands in front of one process.
type relay struct {
	l      *Links
	name   string
	target string
	ip     net.IP
	tcp    *net.TCPListener
	udp    *net.UDPConn
	to     *net.UDPAddr
}

// Join puts a relay in front of the process of a name, which listens at target and sends from its address. It returns the
// address that the others are to be told.
func (l *Links) Join(name, target string) (string, error) {
	at, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return "", err
	}
	if err := loop.Check(target); err != nil {
		return "", err
	}
	for range 20 { // until a port is free for both
		ip := net.ParseIP(l.net.Next())
		tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
		if err != nil {
			continue
		}
		port := tcp.Addr().(*net.TCPAddr).Port
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: port})
		if err != nil {
			tcp.Close()
			continue
		}
		r := &relay{l: l, name: name, target: target, ip: ip, tcp: tcp, udp: udp, to: at}
		l.mu.Lock()
		l.names[at.IP.String()] = name
		l.relays = append(l.relays, r)
		l.mu.Unlock()
		l.all.Go(r.packets)
		l.all.Go(r.streams)
		return tcp.Addr().String(), nil
	}
	return "", errors.New("links: no free address")
}

// way is a relay from one process to another.
type way struct {
	pair
	target string
	door   *loop.Door
}

// Lead puts a relay on the way from one process to another, which listens for TCP at target, and returns the address that
// the first is to call. While either direction is cut, no connection comes up, as none would: a handshake takes both. A
// target that refuses is seen as a reset, as the relay's own handshake is over by then. Another Lead for the same pair takes
// the place of the one before, for connections to come.
func (l *Links) Lead(from, to, target string) (string, error) {
	if err := loop.Check(target); err != nil {
		return "", err
	}
	w := &way{pair: pair{from, to}, target: target}
	door, err := loop.NewDoor(l.net.Next(), func(c net.Conn) {
		l.all.Go(func() { l.carry(from, to, target, nil, c.(*net.TCPConn)) })
	})
	if err != nil {
		return "", err
	}
	w.door = door
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		door.Close()
		return "", net.ErrClosed
	}
	if before := l.ways[w.pair]; before != nil {
		before.door.Close()
	}
	l.ways[w.pair] = w
	return door.Address(), l.bear(w)
}

// bear sets how a way meets those who dial it. Called under mu.
func (l *Links) bear(w *way) error {
	there, back := l.faults[w.pair], l.faults[pair{w.to, w.from}]
	if there.Cut || there.Swallow || back.Cut || back.Swallow {
		return w.door.Set(loop.Silent)
	}
	return w.door.Set(loop.Accepting)
}

// Set makes one direction of a pair suffer a fault from now on. An error says that this machine cannot play it.
func (l *Links) Set(from, to string, f Fault) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[pair{from, to}] = f
	l.changed.Broadcast()
	return l.bearAll(pair{from, to}, pair{to, from})
}

func (l *Links) bearAll(pairs ...pair) (err error) {
	for _, p := range pairs {
		if w := l.ways[p]; w != nil {
			err = errors.Join(err, l.bear(w))
		}
	}
	return err
}

// Both makes both directions of a pair suffer a fault.
func (l *Links) Both(a, b string, f Fault) {
	l.Set(a, b, f)
	l.Set(b, a, f)
}

// Between makes all links between two sides suffer a fault.
func (l *Links) Between(one, other []string, f Fault) {
	for _, a := range one {
		for _, b := range other {
			if a != b {
				l.Both(a, b, f)
			}
		}
	}
}

// Heal ends all faults.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
	l.changed.Broadcast()
	for _, w := range l.ways {
		l.bear(w) // it was played before, so it can be ended
	}
}

// Counts are what passed from one process to another.
func (l *Links) Counts(from, to string) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *l.count(pair{from, to})
}

// Total is what passed from a process to all others, and to it from all others.
func (l *Links) Total(name string) (sent, received Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, c := range l.counts {
		if p.from == name {
			sent.Add(*c)
		}
		if p.to == name {
			received.Add(*c)
		}
	}
	return sent, received
}

func (l *Links) count(p pair) *Counts {
	c := l.counts[p]
	if c == nil {
		c = &Counts{}
		l.counts[p] = c
	}
	return c
}

// draw gives a pair's stream of chance. Called under mu.
func (l *Links) draw(p pair) *rand.Rand {
	r := l.chance[p]
	if r == nil {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s>%s", p.from, p.to)
		r = rand.New(rand.NewPCG(l.seed, h.Sum64()))
		l.chance[p] = r
	}
	return r
}

// Close lets go of all sockets.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	relays, ways := l.relays, l.ways
	l.ways = nil
	for c := range l.open {
		c.Close()
	}
	l.changed.Broadcast()
	l.mu.Unlock()
	for _, r := range relays {
		r.tcp.Close()
		r.udp.Close()
	}
	for _, w := range ways {
		w.door.Close()
	}
	l.all.Wait()
}

func (l *Links) source(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.names[host]
}

func (r *relay) packets() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.udp.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // word that the process is not there
			continue
		}
		p := pair{r.l.source(from), r.name}
		if p.from == "" {
			continue // nobody of these
		}
		packet := append([]byte(nil), buf[:n]...)
		l := r.l
		l.mu.Lock()
		f, c, count := l.faults[p], l.draw(p), l.count(p)
		// All chances are drawn for each packet, so that one fault does not shift the others.
		loss, repeat, reorder, jitter := c.Float64(), c.Float64(), c.Float64(), c.Float64()
		if f.Cut || f.Swallow || loss < f.Loss || l.waiting >= mostWaiting {
			count.Lost++
			l.mu.Unlock()
			continue
		}
		count.Packets++
		count.Bytes += int64(n)
		times := 1
		if repeat < f.Repeat {
			times = 2
		}
		wait := f.Delay + time.Duration(jitter*float64(f.Jitter))
		if reorder < f.Reorder {
			wait += f.Delay + f.Jitter + 5*time.Millisecond
		}
		if wait > 0 {
			l.waiting += times
		}
		l.mu.Unlock()
		for range times {
			if wait == 0 {
				r.udp.WriteTo(packet, r.to)
				continue
			}
			time.AfterFunc(wait, func() {
				r.udp.WriteTo(packet, r.to)
				l.mu.Lock()
				l.waiting--
				l.mu.Unlock()
			})
		}
	}
}

func (r *relay) streams() {
	for {
		in, err := r.tcp.AcceptTCP()
		if err != nil {
			return
		}
		from := r.l.source(in.RemoteAddr())
		if from == "" {
			loop.Reset(in)
			continue
		}
		r.l.all.Go(func() { r.l.carry(from, r.name, r.target, r.ip, in) })
	}
}

// lifetime bounds a connection, so that none outlives its run: the longest scenario is an hour.
const lifetime = time.Hour

// carry relays one connection. Its other half comes from ip; nil: from any.
func (l *Links) carry(from, to, target string, ip net.IP, in *net.TCPConn) {
	defer in.Close()
	there, back := pair{from, to}, pair{to, from}
	over := time.Now().Add(lifetime)
	in.SetDeadline(over)
	if !l.keep(in) {
		return
	}
	defer l.drop(in)
	if !l.passable(there) || !l.passable(back) { // the handshake takes both ways
		return
	}
	dialer := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: ip}}
	c, err := dialer.Dial("tcp", target)
	if err != nil {
		loop.Reset(in) // there is nobody
		return
	}
	out := c.(*net.TCPConn)
	defer out.Close()
	out.SetDeadline(over)
	if !l.keep(out) {
		return
	}
	defer l.drop(out)
	l.mu.Lock()
	l.count(there).Streams++
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pour(there, in, out) })
	both.Go(func() { l.pour(back, out, in) })
	both.Wait()
}

// keep has a connection closed when the links are; false: they are closed already.
func (l *Links) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.open[c] = true
	}
	return !l.closed
}

func (l *Links) drop(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// passable waits until nothing holds a direction up, and is false if the links are closed first.
func (l *Links) passable(p pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && (l.faults[p].Cut || l.faults[p].Swallow) {
		l.changed.Wait()
	}
	return !l.closed
}

// mostHeld bounds the reads of one direction of a connection that its delay holds up; a sender is held up beyond that, as by a
// full window.
const mostHeld = 256

// chunk is what one read of a connection gave, and what is to be done with it once it is due.
type chunk struct {
	bytes []byte
	due   time.Time
	reset bool // both halves are reset after these bytes
}

// pour carries one direction of a connection. A delay holds up each read by itself, as a long way does: what is sent meanwhile
// follows at the distance at which it was sent.
func (l *Links) pour(p pair, from, to *net.TCPConn) {
	held := make(chan chunk, mostHeld)
	var delivering sync.WaitGroup
	delivering.Go(func() { deliver(held, from, to) })
	if l.take(p, from, held) {
		close(held)
		delivering.Wait()
		to.CloseWrite()
		return
	}
	close(held)
	delivering.Wait()
}

// take reads one direction of a connection until it ends, and hands on what is to be delivered. It tells whether the end was
// the sender's own.
func (l *Links) take(p pair, from *net.TCPConn, held chan<- chunk) bool {
	buf := make([]byte, 16<<10)
	passed := int64(0)
	swallowed := false
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		for !l.closed && l.faults[p].Cut {
			l.changed.Wait()
		}
		f, closed := l.faults[p], l.closed
		due := time.Now().Add(f.Delay + time.Duration(l.draw(p).Float64()*float64(f.Jitter)))
		count := l.count(p)
		count.Bytes += int64(n)
		count.StreamBytes += int64(n)
		l.mu.Unlock()
		if closed {
			return false
		}
		if f.Swallow && n > 0 {
			swallowed = true
			continue
		}
		if swallowed {
			held <- chunk{due: due, reset: true}
			return false
		}
		if f.Reset > 0 && passed+int64(n) > f.Reset {
			held <- chunk{bytes: bytes.Clone(buf[:max(0, f.Reset-passed)]), due: due, reset: true}
			return false
		}
		passed += int64(n)
		if n > 0 {
			held <- chunk{bytes: bytes.Clone(buf[:n]), due: due}
		}
		if err != nil {
			return true
		}
	}
}

// deliver writes what was read once it is due.
func deliver(held <-chan chunk, from, to *net.TCPConn) {
	broken := false
	for c := range held {
		if broken {
			continue
		}
		time.Sleep(time.Until(c.due))
		if len(c.bytes) > 0 {
			if _, err := to.Write(c.bytes); err != nil {
				from.Close()
				broken = true
			}
		}
		if c.reset {
			loop.Reset(from)
			loop.Reset(to)
			broken = true
		}
	}
}
