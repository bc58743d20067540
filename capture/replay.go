package capture

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"laddertide/dispatch"
	"laddertide/policy"
)

// Result summarizes a replay.
type Result struct {
	Segments    int
	Lines       int  // replayed
	Differences int  // in lines, or in the states between segments
	Invalid     int  // lines that are invalid
	Skipped     int  // lines after an invalid one that could not be replayed
	Gaps        int  // places where events are missing
	Truncated   bool // the last line is incomplete
}

// replay is the state of a running replay.
type replay struct {
	out     io.Writer
	res     Result
	disp    *policy.Dispatcher // nil until the next head
	segment int
	w       writer
	ids     map[string]policy.WorkerID
	actions []policy.Action
}

// maxLine limits the length of a line.
const maxLine = 64 << 20

// Replay repeats the recorded calls and reports on out each line for which the module now decides differently, each invalid
// line, and each gap. It returns an error only if reading fails.
func Replay(in io.Reader, out io.Writer) (Result, error) {
	r := &replay{out: out}
	br := bufio.NewReaderSize(in, 1<<16)
	for n := 1; ; n++ {
		text, err := readLine(br)
		if err != nil && !errors.Is(err, io.EOF) {
			return r.res, fmt.Errorf("line %d: %w", n, err)
		}
		if errors.Is(err, io.EOF) {
			if len(text) > 0 {
				r.res.Truncated = true
				r.report(n, "is cut off: skipped")
			}
			return r.res, nil
		}
		r.line(n, text)
	}
}

func readLine(br *bufio.Reader) ([]byte, error) {
	var text []byte
	for {
		part, err := br.ReadSlice('\n')
		if len(text)+len(part) > maxLine {
			return nil, errors.New("is longer than any line of a capture")
		}
		text = append(text, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return text, err
		}
	}
}

func (r *replay) report(n int, format string, args ...any) {
	fmt.Fprintf(r.out, "line %d: %s\n", n, fmt.Sprintf(format, args...))
}

// bad reports an invalid line. The lines after it cannot be replayed, because the state is no longer known.
func (r *replay) bad(n int, why error) {
	r.res.Invalid++
	if r.disp != nil {
		r.res.Gaps++
		r.disp = nil
	}
	r.report(n, "is invalid, and nothing is replayed up to the next segment: %v", why)
}

func (r *replay) line(n int, text []byte) {
	var kind struct {
		Capture *int `json:"capture"`
	}
	if err := json.Unmarshal(text, &kind); err != nil {
		r.bad(n, err)
		return
	}
	if kind.Capture != nil {
		r.head(n, text)
		return
	}
	if r.disp == nil {
		if r.segment == 0 && r.res.Invalid == 0 {
			r.bad(n, errors.New("a capture begins with a segment's head"))
		} else {
			r.res.Skipped++
		}
		return
	}
	var l line
	err := json.Unmarshal(text, &l)
	var s *dispatch.Step
	if err == nil {
		s, err = l.step(&r.w, r.ids)
	}
	if err != nil {
		r.bad(n, err)
		return
	}
	r.res.Lines++
	want, got := r.attemptWorker(s, &l), ""
	if want != l.To {
		got = fmt.Sprintf(`"to":%q`, want)
	}
	if again := r.play(s); !bytes.Equal(l.recorded(s.Input), again) {
		got += string(again)
	}
	if got != "" {
		r.res.Differences++
		r.report(n, "the decision differs\n  recorded: %s\n  replayed: %s", bytes.TrimSpace(text), strings.TrimPrefix(got, ","))
	}
}

// attemptWorker returns the provider that a line's attempt was sent to. The attempt that begins with the line is one of its actions instead.
func (r *replay) attemptWorker(s *dispatch.Step, l *line) string {
	if s.Input != dispatch.Note && s.Input != dispatch.Outcome {
		return l.To
	}
	id, ok := r.disp.AttemptWorker(s.Number, l.Attempt)
	if !ok {
		return ""
	}
	return r.w.provider(id)
}

// play repeats a call of the module and returns its actions in the recorded form.
func (r *replay) play(s *dispatch.Step) []byte {
	func() {
		defer func() {
			if recover() != nil {
				s.Actions, s.Failed = nil, true
			}
		}()
		r.actions = s.Apply(r.disp, r.actions[:0])
		s.Actions = r.actions
	}()
	return r.w.actions(r.w.decision(nil, s), s)
}

// head begins a segment. If there is no gap to the previous one, its state must equal the state of the replay.
func (r *replay) head(n int, text []byte) {
	var h head
	err := json.Unmarshal(text, &h)
	if err == nil && h.Capture != version {
		err = fmt.Errorf("the format's version is %d, this program reads %d", h.Capture, version)
	}
	if err == nil {
		h.Settings.Seed, err = strconv.ParseUint(h.Seed, 16, 64)
	}
	var disp *policy.Dispatcher
	if err == nil {
		disp, err = policy.Restore(h.Settings, h.State)
	}
	if err != nil {
		r.bad(n, err)
		r.segment = h.Segment
		return
	}
	switch {
	case h.Gap > 0:
		r.res.Gaps++
		r.report(n, "a gap: %d events before it were not recorded", h.Gap)
	case r.segment > 0 && h.Segment != r.segment+1:
		r.res.Gaps++
		r.report(n, "a gap: segment %d follows segment %d", h.Segment, r.segment)
	case h.StateReplaced: // no events lead to this state, so there is nothing to compare
	case r.disp != nil && !bytes.Equal(r.disp.Checkpoint(nil), h.State):
		r.res.Differences++
		r.report(n, "the module's state differs from the one recorded: going on from that")
	}
	r.res.Segments++
	r.disp, r.segment = disp, h.Segment
	r.w = writer{set: &h.Settings, origin: time.Duration(h.Origin), providers: h.Providers, index: h.Index}
	r.ids = make(map[string]policy.WorkerID, len(h.Providers))
	for i, name := range h.Providers {
		r.ids[name] = policy.WorkerID(i)
	}
}
