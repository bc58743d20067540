package handover

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	"laddertide/internal/testrig"
	wire "laddertide/wire/handover"
)

// found is a process that serves and can be found in a folder until the test ends.
func found(t *testing.T) (dir string) {
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

// TestSilentProcessesKeepNobodyOut: processes that connect and do not say who they are take nothing from the next one, which has its
// welcome within the time that it waits for that.
func TestSilentProcessesKeepNobodyOut(t *testing.T) {
	dir := found(t)
	begun := append([]byte{1}, wire.Append(nil, &wire.Hello{Version: wire.Version, Name: "next"})...) // more of it follows
	testrig.Silent(t, "unixpacket", filepath.Join(dir, file), begun)
	began := time.Now()
	peer, _, door, err := Join(dir, wire.Hello{Name: "next"})
	if err != nil {
		t.Fatalf("behind %d silent processes the next one is not let in: %v after %s", testrig.SilentConns, err, time.Since(began))
	}
	t.Logf("let in after %s", time.Since(began))
	peer.Close()
	door.Close()
}
