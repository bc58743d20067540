package outbox

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// A pipe that nobody reads keeps nobody waiting: lines are dropped whole and the next reader is told how many.
func TestFullPipe(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	o := New(w, 4096)
	line := []byte(strings.Repeat("x", 99) + "\n")
	began := time.Now()
	for range 5000 { // far past what the pipe and the buffer hold
		o.Write(line)
	}
	o.Close(50 * time.Millisecond)
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("took %v", took)
	}
	if o.Feed(line) {
		t.Fatal("taken after the end")
	}
	go func() { <-o.done; w.Close() }()
	var kept, lost int
	for {
		b := make([]byte, 1<<16)
		n, err := r.Read(b)
		for s := range strings.Lines(string(b[:n])) {
			if strings.Contains(s, "lost") {
				fmt.Sscanf(s[strings.Index(s, "writes=")+7:], "%d", &lost)
			} else if strings.HasSuffix(s, "\n") {
				kept++
			}
		}
		if err != nil {
			break
		}
	}
	if lost == 0 || kept == 0 {
		t.Fatalf("%d kept, %d told as lost", kept, lost)
	}
}

// Feed waits for room, and all of it arrives in order.
func TestFeed(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	o := New(w, 1000)
	go func() {
		for i := range 1000 {
			o.Feed(fmt.Appendf(nil, "%d,", i))
		}
		o.Close(10 * time.Second)
		w.Close()
	}()
	var got strings.Builder
	b := make([]byte, 512)
	for {
		n, err := r.Read(b)
		got.Write(b[:n])
		if err != nil {
			break
		}
	}
	want := ""
	for i := range 1000 {
		want += fmt.Sprintf("%d,", i)
	}
	if got.String() != want {
		t.Fatalf("%d bytes of %d", got.Len(), len(want))
	}
}
