package handover

import (
	"errors"
	"math"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"laddertide/internal/testrig"
	wire "laddertide/wire/handover"
)

// startListener listens in a new folder and admits each process, until the test ends.
func startListener(t *testing.T) (dir string) {
	t.Helper()
	door, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { door.Close() })
	dir = t.TempDir()
	place, err := Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(place.Close)
	welcome := func(*wire.Hello) wire.Message { return &wire.Welcome{Version: wire.Version} }
	go place.Serve(door, welcome, func(*Peer) {})
	return dir
}

// TestSilentProcessesDoNotBlockJoin guards against silent connections that block a successor: behind many processes that send no complete
// Hello, Join still receives its Welcome in time.
func TestSilentProcessesDoNotBlockJoin(t *testing.T) {
	dir := startListener(t)
	begun, err := wire.Append([]byte{1}, &wire.Hello{Version: wire.Version, Name: "next"}) // more packets follow
	if err != nil {
		t.Fatal(err)
	}
	testrig.OpenSilent(t, "unixpacket", filepath.Join(dir, socketName), begun)
	began := time.Now()
	peer, _, door, err := Join(dir, wire.Hello{Name: "next"})
	if err != nil {
		t.Fatalf("behind %d silent processes the next one is not admitted: %v after %s", testrig.SilentConns, err, time.Since(began))
	}
	t.Logf("admitted after %s", time.Since(began))
	peer.Close()
	door.Close()
}

// TestMalformedMessageCostsNoOther guards against a message that cannot be decoded and takes the connection, and with it the jobs that
// follow, along: it is refused by its number, and its socket is closed.
func TestMalformedMessageCostsNoOther(t *testing.T) {
	both, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	peers := make([]*Peer, len(both))
	for i, fd := range both {
		file := os.NewFile(uintptr(fd), "pair")
		conn, err := net.FileConn(file)
		if err != nil {
			t.Fatal(err)
		}
		file.Close()
		peers[i] = newPeer(conn)
		t.Cleanup(peers[i].Close)
	}
	older, newer := peers[0], peers[1]
	taken := make(chan wire.Message, 10)
	go newer.Run(func(r Received) {
		taken <- r.Message
		newer.Send(&wire.Reply{Number: wire.NumberOf(r.Message)}, nil)
	})
	go older.Run(func(Received) {})

	good := &wire.Job{ID: "good", Slots: 1}
	whole, err := wire.Append([]byte{0}, &wire.Job{Number: 77, ID: "cut"})
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan wire.Reply, 1)
	older.mu.Lock()
	older.waiting[77] = refused
	older.mu.Unlock()
	for _, packet := range [][]byte{whole[:len(whole)-1], {0}, {0, 99}, {0, whole[1]}} {
		if _, err := older.conn.Write(packet); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := older.Ask(&wire.Job{ID: "endless", Slots: math.Inf(1)}, nil, testLimit); !errors.Is(err, ErrUnsendable) {
		t.Errorf("a message that cannot be encoded: %v", err)
	}
	if reply, err := older.Ask(good, nil, testLimit); err != nil || reply.Code != wire.Yes {
		t.Fatalf("the message behind them: %+v, %v", reply, err)
	}
	if got := <-taken; len(taken) > 0 || got.(*wire.Job).ID != "good" {
		t.Errorf("%+v was passed on", got)
	}
	if reply := <-refused; reply.Code != wire.No {
		t.Errorf("the message that was cut short: %+v", reply)
	}
}

// testLimit is generous for busy machines.
const testLimit = 20 * time.Second
