package asyncwriter

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// TestFullPipe checks that a pipe which nobody reads blocks no writer: lines are dropped whole, and a line reports how many.
func TestFullPipe(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	writer := New(w, 4096)
	line := []byte(strings.Repeat("x", 99) + "\n")
	began := time.Now()
	for range 5000 { // far past what the pipe and the buffer hold
		writer.Write(line)
	}
	writer.Close(50 * time.Millisecond)
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("took %v", took)
	}
	if writer.WriteWait(line) {
		t.Fatal("accepted after Close")
	}
	go func() { <-writer.done; w.Close() }()
	var kept, dropped int
	for {
		b := make([]byte, 1<<16)
		n, err := r.Read(b)
		for s := range strings.Lines(string(b[:n])) {
			if strings.Contains(s, "lost") {
				fmt.Sscanf(s[strings.Index(s, "writes=")+7:], "%d", &dropped)
			} else if strings.HasSuffix(s, "\n") {
				kept++
			}
		}
		if err != nil {
			break
		}
	}
	if dropped == 0 || kept == 0 {
		t.Fatalf("%d kept, %d reported as dropped", kept, dropped)
	}
}

// TestWriteWait checks that WriteWait waits for room, and that all data arrives in order.
func TestWriteWait(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	writer := New(w, 1000)
	go func() {
		for i := range 1000 {
			writer.WriteWait(fmt.Appendf(nil, "%d,", i))
		}
		writer.Close(10 * time.Second)
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
