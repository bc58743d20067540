// Command adapter runs dispatchers that are driven by the frames on standard input.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"

	"laddertide/internal/wire"
	"laddertide/policy"
)

func main() {
	runtime.GOMAXPROCS(1)   // the frames are answered one by one
	debug.SetGCPercent(800) // the heap is small and CPU is metered
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// instance is a dispatcher and its actions for the current frame.
type instance struct {
	number  uint16
	disp    *policy.Dispatcher
	acts    []policy.Action
	pending bool
}

// host holds the instances of this process.
type host struct {
	instances map[uint16]*instance
	last      *instance
	touched   []*instance
}

// Begin implements wire.Batch.
func (h *host) Begin(number uint16, seed uint64, params string) error {
	settings, err := wire.ParseSettings(seed, params)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	disp, err := policy.New(settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	in := h.instances[number]
	if in == nil {
		in = &instance{number: number}
		h.instances[number] = in
	}
	in.disp = disp
	return nil
}

// Stop implements wire.Batch. It discards the instance's pending actions.
func (h *host) Stop(number uint16) {
	if in := h.find(number); in != nil {
		in.disp, in.acts = nil, in.acts[:0]
	}
}

// Target implements wire.Batch.
func (h *host) Target(number uint16) *policy.Dispatcher {
	if in := h.find(number); in != nil {
		return in.disp
	}
	return nil
}

// Actions implements wire.Batch.
func (h *host) Actions(number uint16) *[]policy.Action {
	in := h.find(number)
	if !in.pending {
		in.pending = true
		h.touched = append(h.touched, in)
	}
	return &in.acts
}

func (h *host) find(number uint16) *instance {
	if h.last == nil || h.last.number != number {
		h.last = h.instances[number]
	}
	return h.last
}

// run answers frames until the input ends.
func run(stdin io.Reader, stdout io.Writer) error {
	in := bufio.NewReaderSize(stdin, 1<<18)
	out := bufio.NewWriterSize(stdout, 1<<18)
	h := &host{instances: make(map[uint16]*instance)}
	var dec wire.Decoder
	var reply wire.Reply
	var buf []byte
	for n := 0; ; n++ {
		var err error
		if buf, err = wire.ReadFrame(in, buf); errors.Is(err, io.EOF) {
			return out.Flush()
		} else if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		if err := dec.Decode(buf, h); err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		reply.Reset()
		for _, in := range h.touched {
			reply.Append(in.number, in.acts)
			in.acts, in.pending = in.acts[:0], false
		}
		h.touched = h.touched[:0]
		if _, err := out.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("reply %d: %w", n, err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("reply %d: %w", n, err)
		}
	}
}
