package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Version is the version of the format that Write writes and Read accepts.
const Version = 1

// maxLine limits the length of a line. The longest line is a setup with thousands of workers.
const maxLine = 16 << 20

// Append appends an event to b as one line of JSON.
func Append(b []byte, ev *Event) ([]byte, error) {
	line, err := json.Marshal(ev)
	if err != nil {
		return b, fmt.Errorf("history: %w", err)
	}
	return append(append(b, line...), '\n'), nil
}

// Write writes events to w, one per line.
func Write(w io.Writer, events []Event) error {
	bw := bufio.NewWriterSize(w, 64<<10)
	var b []byte
	for i := range events {
		var err error
		if b, err = Append(b[:0], &events[i]); err != nil {
			return err
		}
		if _, err := bw.Write(b); err != nil {
			return err
		}
	}
	return bw.Flush()
}

// ErrTruncated means that a history has no end event: its writer died or is still running. The events that were read are valid.
var ErrTruncated = errors.New("history: no end event, the run was cut off")

// Read reads a history and sorts it by time. It returns an error that names the line for anything but a complete history
// of this version. With ErrTruncated it also returns the events, without the last line if that is incomplete.
func Read(r io.Reader) ([]Event, error) {
	br := bufio.NewReaderSize(r, 64<<10)
	var out []Event
	cut := true
	for n := 1; ; n++ {
		line, err := readLine(br)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("history: line %d: %w", n, err)
		}
		if errors.Is(err, io.EOF) {
			// A line without its newline is incomplete, even if it happens to be valid JSON.
			break
		}
		if len(line) == 0 {
			continue
		}
		var ev Event
		dec := json.NewDecoder(bytes.NewReader(line))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&ev); err != nil {
			return nil, fmt.Errorf("history: line %d: %w", n, err)
		}
		switch {
		case len(out) == 0 && (ev.Kind != KindSetup || ev.Setup == nil):
			return nil, fmt.Errorf("history: line %d: the first event must be a setup", n)
		case len(out) > 0 && ev.Kind == KindSetup:
			return nil, fmt.Errorf("history: line %d: a second setup", n)
		case len(out) == 0 && ev.Setup.Version != Version:
			return nil, fmt.Errorf("history: line %d: version %d, this program reads version %d", n, ev.Setup.Version, Version)
		case ev.Kind == KindEnd:
			cut = false
		}
		out = append(out, ev)
	}
	if len(out) == 0 {
		return nil, errors.New("history: empty, no events")
	}
	Sort(out)
	if cut {
		return out, ErrTruncated
	}
	return out, nil
}

// readLine reads a line and returns it without its newline. At the end it returns io.EOF with the bytes after the last newline.
func readLine(br *bufio.Reader) ([]byte, error) {
	var out []byte
	for {
		part, err := br.ReadSlice('\n')
		if err == nil {
			return append(out, part[:len(part)-1]...), nil
		}
		out = append(out, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return out, err
		}
		if len(out) > maxLine {
			return nil, errors.New("the line is too long")
		}
	}
}

// Sort sorts events by time; the sort is stable. The setup is always first and the end always last.
func Sort(events []Event) {
	rank := func(e *Event) int {
		switch e.Kind {
		case KindSetup:
			return -1
		case KindEnd:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(events, func(a, b Event) int {
		if ra, rb := rank(&a), rank(&b); ra != rb {
			return ra - rb
		}
		switch {
		case a.T < b.T:
			return -1
		case a.T > b.T:
			return 1
		}
		return 0
	})
}
