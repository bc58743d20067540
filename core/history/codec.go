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

// Version is the form that Write writes and Read takes.
const Version = 1

// maxLine bounds a line of a history: a setup with thousands of workers is the longest there is.
const maxLine = 16 << 20

// Append appends an event as one line.
func Append(b []byte, ev *Event) ([]byte, error) {
	line, err := json.Marshal(ev)
	if err != nil {
		return b, fmt.Errorf("history: %w", err)
	}
	return append(append(b, line...), '\n'), nil
}

// Write writes events, a line each.
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

// ErrCut says that a history has no end: whoever wrote it died or is still at it. What was read is good.
var ErrCut = errors.New("history: it has no end, the run was cut off")

// Read reads a history and puts it in the order of time. Anything but a whole history of this form is an error that
// names the line; with ErrCut the events are returned too, without the last line if that is torn.
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
			// Without its line end a line is torn, even if it happens to make sense.
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
			return nil, fmt.Errorf("history: line %d: a history begins with its setup", n)
		case len(out) > 0 && ev.Kind == KindSetup:
			return nil, fmt.Errorf("history: line %d: a second setup", n)
		case len(out) == 0 && ev.Setup.Version != Version:
			return nil, fmt.Errorf("history: line %d: form %d, this program knows form %d", n, ev.Setup.Version, Version)
		case ev.Kind == KindEnd:
			cut = false
		}
		out = append(out, ev)
	}
	if len(out) == 0 {
		return nil, errors.New("history: it is empty")
	}
	Sort(out)
	if cut {
		return out, ErrCut
	}
	return out, nil
}

// readLine reads a line without its end; io.EOF with whatever follows the last one.
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

// Sort puts events in the order of their times. Those of one instant stay as they were written, but for the setup,
// which comes first, and the end, which comes last.
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
