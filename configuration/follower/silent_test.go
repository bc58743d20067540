package follower

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"laddertide/internal/testrig"
)

// TestSilentSourceDoesNotHoldUpTheEnd: Close does not wait for a source that takes a connection and does not say who it is.
func TestSilentSourceDoesNotHoldUpTheEnd(t *testing.T) {
	hello := make(chan struct{})
	silent := testrig.Listen(t, func(c net.Conn) {
		if _, err := io.ReadFull(c, make([]byte, 1)); err == nil {
			close(hello)
		}
		io.Copy(io.Discard, c)
	})
	h := &host{}
	f, _, err := Open(Config{Settings: Settings{Dir: t.TempDir(), Cluster: "c", Sources: []string{silent}}, Name: "n1",
		Log: slog.New(slog.DiscardHandler), Check: h.check, Apply: h.apply})
	if err != nil {
		t.Fatal(err)
	}
	f.timing.Dial, f.timing.Silent = time.Hour, time.Hour // what waits for the source does not end
	f.Start(Document{})
	<-hello
	began, ended := time.Now(), make(chan struct{})
	go func() {
		f.Close()
		close(ended)
	}()
	select {
	case <-ended:
		t.Logf("ended after %s", time.Since(began))
	case <-time.After(patience):
		t.Fatalf("behind a silent source it has not ended after %s", patience)
	}
}
