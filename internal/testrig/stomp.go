package testrig

import (
	"bufio"
	"net"
	"testing"
	"time"

	"laddertide/wire/stomp"
)

// STOMPPeer is one side of a STOMP connection. Its version is set once that has been negotiated.
type STOMPPeer struct {
	net.Conn
	Version stomp.Version
	Reader  *stomp.Reader
	t       testing.TB
}

// NewSTOMPPeer returns the STOMP side of a connection, which is closed when the test ends.
func NewSTOMPPeer(t testing.TB, c net.Conn) *STOMPPeer {
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return &STOMPPeer{Conn: c, Reader: stomp.NewReader(bufio.NewReader(c), stomp.Limits{}), t: t}
}

// Connect opens a session with the given version, and subscribes to /answers with the id s.
func (p *STOMPPeer) Connect(version, beat string) {
	p.t.Helper()
	p.Send("CONNECT", "", "accept-version", version, "host", "x", "heart-beat", beat)
	got := p.Expect(stomp.CONNECTED)
	v, err := stomp.ConnectedVersion(got.Headers)
	if err != nil || v.String() != version {
		p.t.Fatalf("%v, %v", v, err)
	}
	p.Version = v
	p.Reader.SetVersion(v)
	p.Send("SUBSCRIBE", "", "id", "s", "destination", "/answers", "receipt", "subscribed")
	p.Expect(stomp.RECEIPT, "receipt-id", "subscribed")
}

// Send sends a frame. headers alternates names and values.
func (p *STOMPPeer) Send(command, body string, headers ...string) {
	p.t.Helper()
	f := stomp.Frame{Command: stomp.Command(command), Body: []byte(body)}
	for i := 0; i < len(headers); i += 2 {
		f.Headers = append(f.Headers, stomp.Field{Name: headers[i], Value: headers[i+1]})
	}
	text, err := stomp.AppendFrame(nil, p.Version, &f)
	if err != nil {
		p.t.Fatal(err)
	}
	if _, err := p.Write(text); err != nil {
		p.t.Fatal(err)
	}
}

// Expect reads the next frame other than a heart-beat, which must have the given command and headers.
func (p *STOMPPeer) Expect(command stomp.Command, headers ...string) stomp.Frame {
	p.t.Helper()
	var f stomp.Frame
	for f.Command == stomp.Beat {
		if err := p.Reader.Next(&f); err != nil {
			p.t.Fatalf("instead of %s: %v", command, err)
		}
	}
	if f.Command != command {
		p.t.Fatalf("%s %v %q, want %s", f.Command, f.Headers, f.Body, command)
	}
	for i := 0; i < len(headers); i += 2 {
		if got := f.Headers.Get(headers[i]); got != headers[i+1] {
			p.t.Fatalf("%s: %s is %q, want %q", command, headers[i], got, headers[i+1])
		}
	}
	return f
}
