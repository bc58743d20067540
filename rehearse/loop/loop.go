// Package loop owns the addresses of a rehearsal: each party gets its own in 127.0.0.0/8, and a listening socket there
// can refuse, fall silent and come back. It never binds or names an address outside of that, and serves nothing itself.
package loop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

var loopback = netip.MustParsePrefix("127.0.0.0/8")

// ErrOutside says that an address is none of loopback's.
var ErrOutside = errors.New("only addresses in 127.0.0.0/8 are used here")

// Check tells whether an address, HOST:PORT or an IP alone, lies in 127.0.0.0/8. A name does not: what it stands for
// can change.
func Check(address string) error {
	host := address
	if h, port, err := net.SplitHostPort(address); err == nil {
		if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return fmt.Errorf("address %q: the port is no number from 0 to 65535", address)
		}
		host = h
	}
	ip, err := netip.ParseAddr(host)
	if err != nil || !loopback.Contains(ip) {
		return fmt.Errorf("address %q: %w", address, ErrOutside)
	}
	return nil
}

// given counts the addresses that all Nets of this process have handed out.
var given atomic.Uint32

// Net hands out addresses, each one once. Those of other processes begin elsewhere, but may be the same after many:
// what keeps runs apart for certain is that ports are the kernel's choice.
type Net struct{ start uint32 }

// NewNet returns a Net.
func NewNet() *Net { return &Net{uint32(os.Getpid()) * 4099} }

const perOctet = 254 // 1 to 254

// Next returns an address that is not 127.0.0.1.
func (n *Net) Next() string {
	k := (n.start + given.Add(1)) % (perOctet * perOctet * perOctet)
	return fmt.Sprintf("127.%d.%d.%d", 1+k/(perOctet*perOctet), 1+k/perOctet%perOctet, 1+k%perOctet)
}

// Listen listens at an address, on a port of the kernel's choice.
func Listen(ip string) (*net.TCPListener, error) { return listen(net.JoinHostPort(ip, "0")) }

func listen(address string) (*net.TCPListener, error) {
	if err := Check(address); err != nil {
		return nil, err
	}
	var lc net.ListenConfig
	// What makes a socket silent is for plain TCP only.
	lc.SetMultipathTCP(false)
	ln, err := lc.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// Reset ends a connection with a reset.
func Reset(c net.Conn) {
	if tc, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// Bearing is how a Door meets those who dial it.
type Bearing uint8

// The bearings.
const (
	Refusing  Bearing = iota // as where no process listens: new connections are refused
	Accepting                // connections come up
	Silent                   // as a machine that is not there: nothing answers
)

// Door is a listening socket that changes its bearing and keeps its address. A connection that has come up is its
// holder's, whatever becomes of the Door.
type Door struct {
	ln    *net.TCPListener
	admit func(net.Conn)

	mu      sync.Mutex
	changed *sync.Cond
	bearing Bearing
	deaf    bool // the socket drops whatever comes
	closed  bool
	done    chan struct{}
}

// NewDoor binds an address, on a port of the kernel's choice, and refuses. Each connection that comes up is handed to
// admit, one after the other, from a goroutine of the Door.
func NewDoor(ip string, admit func(net.Conn)) (*Door, error) {
	ln, err := bind(ip)
	if err != nil {
		return nil, err
	}
	d := &Door{ln: ln, admit: admit, bearing: Accepting, done: make(chan struct{})}
	d.changed = sync.NewCond(&d.mu)
	if err := d.Set(Refusing); err != nil {
		ln.Close()
		return nil, err
	}
	go d.accept()
	return d, nil
}

// bind listens on a port that stays the socket's while it does not listen. A port that the kernel gave would not: the
// socket must have asked for it by its number.
func bind(ip string) (*net.TCPListener, error) {
	var err error
	for range 20 {
		var ln *net.TCPListener
		if ln, err = Listen(ip); err != nil {
			return nil, err
		}
		address := ln.Addr().String()
		ln.Close()
		if ln, err = listen(address); err == nil {
			return ln, nil
		}
	}
	return nil, err
}

// Address is where it listens, always the same.
func (d *Door) Address() string { return d.ln.Addr().String() }

// Set changes the bearing. Connections that had not come up, or that nobody had taken yet, are reset when it refuses
// and when a silence ends.
func (d *Door) Set(to Bearing) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || to == d.bearing {
		return nil
	}
	err := d.control(func(fd int) error {
		if to == Silent {
			if err := deafen(fd); err != nil {
				return err
			}
			d.deaf = true
			if d.bearing == Refusing {
				return startListening(fd) // a socket that does not listen would refuse
			}
			return nil
		}
		// A socket that does not listen any more would take this for an end of its reading half, and hand that on.
		if d.bearing != Refusing {
			if err := stopListening(fd); err != nil {
				return err
			}
		}
		if d.deaf {
			if err := hear(fd); err != nil {
				return err
			}
			d.deaf = false
		}
		if to == Accepting {
			return startListening(fd)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("%s: %w", d.Address(), err)
	}
	d.bearing = to
	d.changed.Broadcast()
	return nil
}

// control calls f with the socket.
func (d *Door) control(f func(fd int) error) error {
	raw, err := d.ln.SyscallConn()
	if err != nil {
		return err
	}
	var ferr error
	if err := raw.Control(func(fd uintptr) { ferr = f(int(fd)) }); err != nil {
		return err
	}
	return ferr
}

func (d *Door) accept() {
	defer close(d.done)
	for {
		c, err := d.ln.Accept()
		if err == nil {
			d.admit(c)
			continue
		}
		d.mu.Lock()
		for d.bearing == Refusing && !d.closed {
			d.changed.Wait()
		}
		closed := d.closed
		d.mu.Unlock()
		if closed {
			return
		}
		// Either it listens again, or there are no descriptors left for a moment.
		time.Sleep(time.Millisecond)
	}
}

// Close closes the socket and waits until nothing is handed to admit any more.
func (d *Door) Close() {
	d.mu.Lock()
	d.closed = true
	d.changed.Broadcast()
	d.mu.Unlock()
	d.ln.Close()
	<-d.done
}
