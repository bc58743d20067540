// Package capture records the calls of the decision module and replays them: each call, in order, with its exact time and
// the actions that the module returned. The oldest lines are dropped in whole segments. Each segment begins with the
// module's state, so a replay does not need the segments that were dropped.
package capture

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"laddertide/dispatch"
	"laddertide/operator"
	"laddertide/policy"
)

// Settings are those of the capture section of the operator's file.
type Settings struct {
	MaxBytes int
	Dir      string // empty: the ring is kept in memory
	Files    int
}

const (
	minSegment = 32 << 10
	maxBytes   = 1 << 30
	maxFiles   = 1000
)

// Parse reads the section of the operator's file.
func Parse(s *operator.Section) (Settings, error) {
	set := Settings{MaxBytes: 768 << 10, Files: 4}
	s.Int("max_bytes", &set.MaxBytes, 2*minSegment, maxBytes)
	s.Text("dir", &set.Dir)
	s.Int("files", &set.Files, 2, maxFiles)
	if err := s.Done(); err != nil {
		return set, err
	}
	if set.segment() < minSegment {
		s.Fail("max_bytes", "%d bytes in %d files are under %d for each", set.MaxBytes, set.Files, minSegment)
	}
	return set, s.Done()
}

// CheckDir returns an error if the folder cannot be used.
func (set *Settings) CheckDir() error {
	if set.Dir == "" {
		return nil
	}
	return operator.CheckFolder("capture.dir", set.Dir)
}

// segment returns the largest size of a segment; all segments together fill MaxBytes.
func (set *Settings) segment() int { return set.MaxBytes / set.Files }

// Memory returns the most bytes that a Recorder holds: the ring and a dropped segment that is still being read, or the queue
// for the disk; and the lines and checkpoints that are being written.
func (set *Settings) Memory() int {
	if set.Dir != "" {
		return 2*queueBytes + stateBytes
	}
	return set.MaxBytes + set.segment() + stateBytes
}

// Descriptors returns the number of files that are open at a time.
func (set *Settings) Descriptors() int {
	if set.Dir == "" {
		return 0
	}
	return 1
}

const (
	retryAfter = time.Second // until another attempt to begin a segment
	queueBytes = 512 << 10   // limit of the queue for the disk
	stateBytes = 256 << 10   // allowance for heads that are being written
)

// segment is a head and the lines after it. Its text is append-only, and empty if the segment is on disk.
type segment struct {
	number int
	size   int
	text   []byte
}

// Recorder observes an engine and keeps the latest events in a ring of segments.
type Recorder struct {
	set  Settings
	log  *slog.Logger
	disk *disk // nil: in memory

	mu             sync.Mutex
	w              writer
	settings       policy.Settings
	seed           string
	ring           []*segment // oldest first; the last one is being written, unless closed. On disk: only the last one
	closed         bool       // no segment is open: events are lost until one can begin
	number         int        // number of the last segment
	stateReplaced  bool       // the module's state or settings have changed other than by events
	gap            int        // events lost since the last one that was recorded
	retryAt        time.Duration
	tooLargeLogged bool // it has been logged why no segment can begin
	scratch        []byte
}

// New returns a Recorder. If the settings name a folder, nothing is written before Start.
func New(set Settings, log *slog.Logger) *Recorder {
	r := &Recorder{set: set, log: log, closed: true}
	if set.Dir != "" {
		r.disk = newDisk(set, log, r.notWritten)
	}
	return r
}

// Start starts writing files, until Close.
func (r *Recorder) Start() {
	if r.disk != nil {
		r.disk.start()
	}
}

// Close writes the queue to disk, for at most closeLimit.
func (r *Recorder) Close() {
	if r.disk != nil {
		r.disk.close()
	}
}

// Observe implements dispatch.Observer. It writes to memory only.
func (r *Recorder) Observe(ev *dispatch.Event) {
	if ev.Kind != dispatch.Stepped {
		return
	}
	s := ev.Step
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Input == dispatch.NoInput {
		r.settings = s.Settings()
		r.seed = fmt.Sprintf("%016x", r.settings.Seed)
		r.settings.Seed = 0 // the head has it as seed
		r.w = writer{set: &r.settings, origin: s.Now}
		r.begin(s)
		return
	}
	r.w.providers = s.Providers()
	if s.Input == dispatch.StateChanged {
		r.settings = s.Settings()
		r.settings.Seed = 0
		r.stateReplaced = true
		r.begin(s)
		return
	}
	if s.Input == dispatch.List && s.List != policy.ListFailed {
		r.w.index = s.Index
	}
	if r.closed {
		r.gap++
		if s.Now >= r.retryAt {
			r.begin(s)
		}
		return
	}
	r.scratch = r.w.line(r.scratch[:0], s)
	if !r.add(r.scratch) {
		// The segment ends before this event, and the next one begins after it: the event is lost.
		r.gap++
		r.closed = true
		r.begin(s)
		return
	}
	if r.ring[len(r.ring)-1].size > r.set.segment()-r.set.segment()/16 {
		r.begin(s) // early, so that a long line still fits
	}
}

// add appends to the open segment; it returns false if the text does not fit.
func (r *Recorder) add(text []byte) bool {
	last := r.ring[len(r.ring)-1]
	if last.size+len(text) > r.set.segment() {
		return false
	}
	if r.disk != nil {
		if !r.disk.add(text, false) {
			return false
		}
	} else {
		last.text = append(last.text, text...)
	}
	last.size += len(text)
	return true
}

// begin starts a segment with the state after s.
func (r *Recorder) begin(s *dispatch.Step) {
	r.closed, r.retryAt = true, s.Now+retryAfter
	r.scratch = s.Checkpoint(r.scratch[:0])
	text, err := json.Marshal(head{Capture: version, Segment: r.number + 1, Gap: r.gap, StateReplaced: r.stateReplaced, Origin: int64(r.w.origin),
		T: json.Number(appendMillis(nil, s.Now-r.w.origin)), Seed: r.seed, Index: r.w.index, Settings: r.settings,
		Providers: s.Providers(), State: r.scratch})
	text = append(text, '\n')
	if err != nil || len(text) > min(r.set.segment(), queueBytes)/2 {
		if !r.tooLargeLogged {
			r.tooLargeLogged = true
			r.log.Error("the state is too large for a segment of the capture: events are lost", "setting", "capture.max_bytes",
				"bytes", len(text), "err", err)
		}
		return
	}
	seg := &segment{number: r.number + 1, size: len(text)}
	if r.disk == nil {
		seg.text = append(make([]byte, 0, r.set.segment()), text...)
		if len(r.ring) >= r.set.Files {
			r.ring = append(r.ring[:0], r.ring[1:]...)
		}
		r.ring = append(r.ring, seg)
	} else {
		if !r.disk.add(text, true) {
			return
		}
		r.ring = append(r.ring[:0], seg)
	}
	r.number++
	r.gap, r.closed, r.tooLargeLogged, r.stateReplaced = 0, false, false, false
}

// notWritten records that the given number of events could not be written: the file ends before them.
func (r *Recorder) notWritten(events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gap += events
	r.closed = true
}

// Dump passes the ring to write, oldest first, in pieces of complete lines. It does not block the Recorder: a segment that is
// dropped meanwhile is left out, which a replay detects by the segment numbers. It ends early if write returns false.
func (r *Recorder) Dump(write func([]byte) bool) error {
	if r.disk != nil {
		return fmt.Errorf("the capture is in the files of %s", r.set.Dir)
	}
	for done := 0; ; {
		r.mu.Lock()
		var text []byte
		for _, seg := range r.ring {
			if seg.number > done {
				done, text = seg.number, seg.text[:len(seg.text):len(seg.text)]
				break
			}
		}
		r.mu.Unlock()
		if text == nil {
			return nil
		}
		for len(text) > 0 {
			n := len(text)
			if n > pieceBytes {
				if n = bytes.LastIndexByte(text[:pieceBytes], '\n') + 1; n == 0 { // a line that is longer than a piece is not split
					n = bytes.IndexByte(text, '\n') + 1
				}
			}
			if !write(text[:n]) {
				return io.ErrClosedPipe
			}
			text = text[n:]
		}
	}
}

const pieceBytes = 8 << 10
