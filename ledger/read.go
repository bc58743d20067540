package ledger

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"iter"
	"slices"
	"strconv"
	"strings"
)

// Damage describes a part of the ledger that was on disk and cannot be read.
type Damage struct {
	Segment  string // file name
	Offset   int64
	Bytes    int64
	Seq      uint64 // number of the job whose record is damaged; 0: not known
	Harmless bool   // no record is lost
	Reason   string
}

func (d Damage) String() string {
	s := fmt.Sprintf("segment %s, offset %d, %d bytes: %s", d.Segment, d.Offset, d.Bytes, d.Reason)
	if d.Seq != 0 {
		s += fmt.Sprintf(" (of job number %d)", d.Seq)
	}
	if d.Harmless {
		s += "; nothing is lost"
	}
	return s
}

// The file name of a segment is its number; while it is being created, the file has another suffix.
const (
	nameDigits  = 16
	nameSuffix  = ".ledger"
	tempSuffix  = ".new"
	numberLimit = 1 << 53
)

func segmentName(number uint64) string { return fmt.Sprintf("%0*d%s", nameDigits, number, nameSuffix) }

func segmentNumber(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, nameSuffix)
	if !ok || len(digits) != nameDigits {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil && n > 0 && n < numberLimit
}

// segmentFile is a segment file that is read, and the range of its valid data.
type segmentFile struct {
	number           uint64
	file             File
	size             int64
	header           header
	headerOK         bool   // a copy of the header is valid
	headerFlaw       string // what is wrong with a copy of the header, if anything is
	headerFlawOffset int64  // offset of that copy

	end    int64 // of the valid data
	synced int64 // unreadable data before this offset is damage
	last   bool
	maxSeq uint64
}

// openSegments opens all segments before any is read, so that none can be removed meanwhile. If one is removed before it is
// opened, it starts again.
func openSegments(dir FS) ([]*segmentFile, error) {
	for try := 0; ; try++ {
		all, err := tryOpenSegments(dir)
		if !errors.Is(err, fs.ErrNotExist) || try == 10 {
			return all, err
		}
	}
}

func tryOpenSegments(dir FS) (all []*segmentFile, err error) {
	names, err := dir.List()
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			closeAll(all)
			all = nil
		}
	}()
	for _, name := range names {
		n, ok := segmentNumber(name)
		if !ok {
			continue
		}
		f := &segmentFile{number: n}
		if f.file, err = dir.Open(name); err != nil {
			return all, err
		}
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b *segmentFile) int {
		if a.number < b.number {
			return -1
		}
		return 1
	})
	for i, f := range all {
		if f.size, err = f.file.Size(); err != nil {
			return all, err
		}
		if err = f.readHeader(); err != nil {
			return all, err
		}
		f.end, f.synced, f.last = f.size, 0, i == len(all)-1
	}
	// The end of a segment is recorded in the header of the next one.
	for i, f := range all[:max(0, len(all)-1)] {
		if next := all[i+1]; next.headerOK && next.number == f.number+1 && next.header.prevEnd > 0 {
			f.end, f.synced = next.header.prevEnd, next.header.prevSynced
		}
	}
	for _, f := range all {
		if f.headerOK && f.synced < f.end {
			f.findSynced()
		}
	}
	return all, nil
}

func closeAll(all []*segmentFile) {
	for _, f := range all {
		f.file.Close()
	}
}

// readHeader reads both copies of the header. If both are valid it keeps the first.
func (f *segmentFile) readHeader() error {
	b := make([]byte, firstFrameOffset)
	n, err := f.file.ReadAt(b, 0)
	b = b[:n]
	why := "the header"
	if err != nil && err != io.EOF {
		why += ": " + err.Error()
	}
	for _, at := range []int{secondHeaderOffset, 0} {
		h, version, ok := parseHeader(b[min(at, len(b)):])
		switch {
		case ok && version != formatVersion:
			return &versionError{segmentName(f.number), version}
		case ok && h.number == f.number:
			f.header, f.headerOK = h, true
		default:
			f.headerFlaw, f.headerFlawOffset = why, int64(at)
		}
	}
	return nil
}

// readRecord reads the record of a job at a position.
func (s *Store) readRecord(seq uint64, at Position) ([]byte, error) {
	file, err := s.fs.Open(segmentName(at.Segment))
	if err != nil {
		return nil, withPrefix(err)
	}
	defer file.Close()
	f := &segmentFile{number: at.Segment, file: file}
	if f.size, err = file.Size(); err == nil {
		err = f.readHeader()
	}
	if err != nil {
		return nil, withPrefix(err)
	}
	f.end = f.size
	if !f.headerOK || at.Offset < firstFrameOffset {
		return nil, ErrUnreadable
	}
	p := newPageReader(f)
	fr, ok := f.frameAt(p, at.Offset)
	if !ok || fr.kind != kindRecord || fr.seq != seq {
		return nil, cmp.Or(p.errorIn(at.Offset, at.Offset+frameHeadBytes), ErrUnreadable)
	}
	record := p.bytesAt(at.Offset+frameHeadBytes, fr.length)
	if len(record) < fr.length || !fr.matches(record) {
		return nil, cmp.Or(p.errorIn(at.Offset, at.Offset+frameHeadBytes+int64(fr.length)), ErrUnreadable)
	}
	return bytes.Clone(record), nil
}

// findSynced finds, from the frames of a segment, the offset up to which it was synced. It is used where the header of the
// next segment does not say that all of it was.
func (f *segmentFile) findSynced() {
	p := newPageReader(f)
	for pc := range f.pieces(p, firstFrameOffset) {
		if pc.reason == "" {
			f.synced = max(f.synced, min(pc.synced, f.end))
		}
	}
	f.synced = max(f.synced, firstFrameOffset)
}

// piece is a range of a segment: a frame or, if reason is not empty, data that is not a valid frame.
type piece struct {
	at, end int64
	frame
	record     []byte // valid until the next piece
	reason     string
	allZero    bool
	unreadable bool // reading failed
}

// pieces returns an iterator over the pieces of a segment, from the offset at of a frame on.
func (f *segmentFile) pieces(p *pageReader, at int64) iter.Seq[piece] {
	return func(yield func(piece) bool) {
		for at < f.end {
			pc := piece{at: at}
			if fr, ok := f.frameAt(p, at); ok {
				pc.frame, pc.end = fr, at+frameHeadBytes+int64(fr.length)
				pc.record = p.bytesAt(at+frameHeadBytes, fr.length)
				if len(pc.record) < fr.length || !fr.matches(pc.record) {
					pc.record, pc.reason = nil, "a record that is not as it was written"
				} else if fr.kind == kindSyncMarker {
					pc.synced = at
				}
			} else {
				pc.end, pc.allZero = f.findNextFrame(p, at)
				pc.reason = "no frame, or one whose head is not as it was written"
			}
			if pc.reason != "" {
				if err := p.errorIn(pc.at, pc.end); err != nil {
					pc.reason, pc.unreadable = err.Error(), true
				}
			}
			if !yield(pc) {
				return
			}
			at = pc.end
		}
	}
}

// frameAt reads the head of the frame at the offset at. It returns false if there is no valid frame.
func (f *segmentFile) frameAt(p *pageReader, at int64) (frame, bool) {
	fr, ok := f.header.parseFrame(p.bytesAt(at, frameHeadBytes), at)
	if !ok || at+frameHeadBytes+int64(fr.length) > f.end || fr.kind != kindRecord && fr.kind != kindSyncMarker ||
		(fr.kind == kindRecord) != (fr.length > 0) {
		return fr, false
	}
	return fr, true
}

// findNextFrame returns the offset of the next frame after an invalid one at the offset at, or the end if there is none. zeroes
// reports whether all bytes between are zero.
func (f *segmentFile) findNextFrame(p *pageReader, at int64) (next int64, zeroes bool) {
	const step = 32 << 10
	zeroes = true
	for from := at; from < f.end; from += step {
		b := p.bytesAt(from, step+len(frameMagic)-1)
		for i := 0; ; i++ {
			k := bytes.Index(b[i:], frameMagic)
			if k < 0 {
				break
			}
			i += k
			if place := from + int64(i); place > at {
				if _, ok := f.frameAt(p, place); ok {
					return place, zeroes && isZero(b[:i])
				}
				b = p.bytesAt(from, step+len(frameMagic)-1) // frameAt may have moved the window
			}
		}
		zeroes = zeroes && isZero(b[:min(step, len(b))])
	}
	return f.end, zeroes
}

func isZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// pageReader reads a file through a buffer. Parts that cannot be read are zero, and are recorded.
type pageReader struct {
	f          File
	end        int64
	base       int64
	buf        []byte
	readErrors []readError
}

type readError struct {
	from, to int64
	err      error
}

const pageBytes = 64 << 10

func newPageReader(f *segmentFile) *pageReader {
	return &pageReader{f: f.file, end: min(f.end, f.size)}
}

// bytesAt returns the bytes of the file from the offset off on: n of them, or fewer at the end of the valid data. They are
// valid until the next call.
func (p *pageReader) bytesAt(off int64, n int) []byte {
	n = int(max(0, min(int64(n), p.end-off)))
	if n == 0 {
		return nil
	}
	if off < p.base || off+int64(n) > p.base+int64(len(p.buf)) {
		size := int(min(int64(max(n, pageBytes)), p.end-off))
		p.buf = slices.Grow(p.buf[:0], size)[:size]
		p.base = off
		p.fill()
	}
	return p.buf[off-p.base:][:n]
}

// fill reads the window. If that fails, it reads block by block.
func (p *pageReader) fill() {
	if n, err := p.f.ReadAt(p.buf, p.base); n == len(p.buf) || err == io.EOF {
		clear(p.buf[n:]) // the file has become shorter meanwhile
		return
	}
	const block = 4096
	for i := 0; i < len(p.buf); i += block {
		b := p.buf[i:min(i+block, len(p.buf))]
		n, err := p.f.ReadAt(b, p.base+int64(i))
		clear(b[n:])
		if n < len(b) && err != io.EOF && len(p.readErrors) < 1000 {
			p.readErrors = append(p.readErrors, readError{p.base + int64(i), p.base + int64(i+len(b)), err})
		}
	}
}

// errorIn returns the error of reading any part of a range, or nil.
func (p *pageReader) errorIn(from, to int64) error {
	for _, b := range p.readErrors {
		if b.from < to && from < b.to {
			return b.err
		}
	}
	return nil
}

// walkResult is the result of reading all segments.
type walkResult struct {
	records int
	torn    int      // torn writes: in progress at a crash
	tail    []record // of the last segment, not known to be on disk
}

// walkSegments reads the valid data of all segments. damaged may be nil. If keepTail is set, the records of the last segment
// that are not known to be on disk are also returned in tail.
func walkSegments(all []*segmentFile, keepTail bool, each func(at Position, seq uint64, record []byte) error,
	damaged func(Damage)) (w walkResult, err error) {
	if damaged == nil {
		damaged = func(Damage) {}
	}
	for i, f := range all {
		name := segmentName(f.number)
		if i > 0 && f.number != all[i-1].number+1 {
			damaged(Damage{Segment: segmentName(all[i-1].number + 1), Reason: fmt.Sprintf("%d segments are missing",
				f.number-all[i-1].number-1)})
		}
		if !f.headerOK {
			damaged(Damage{Segment: name, Bytes: f.size, Reason: f.headerFlaw + ", in both its copies"})
			continue
		}
		if f.headerFlaw != "" {
			damaged(Damage{Segment: name, Offset: f.headerFlawOffset, Bytes: headerBytes, Harmless: true,
				Reason: f.headerFlaw + ", one of its copies"})
		}
		for pc := range f.pieces(newPageReader(f), firstFrameOffset) {
			switch {
			case pc.reason == "" && pc.kind == kindRecord:
				w.records++
				f.maxSeq = max(f.maxSeq, pc.seq)
				if keepTail && f.last && pc.at >= f.synced {
					w.tail = append(w.tail, record{pc.seq, bytes.Clone(pc.record)})
				}
				if err := each(Position{f.number, pc.at}, pc.seq, pc.record); err != nil {
					return w, err
				}
			case pc.reason == "":
			case pc.at < f.synced || pc.unreadable:
				d := Damage{Segment: name, Offset: pc.at, Bytes: pc.end - pc.at, Seq: pc.seq, Reason: pc.reason}
				if pc.at < f.synced {
					d.Bytes = min(pc.end, f.synced) - pc.at
				}
				// The range ends where the next frame begins, and a frame of this length holds no record.
				d.Harmless = pc.end-pc.at == frameHeadBytes && !pc.unreadable
				damaged(d)
			case !pc.allZero:
				w.torn++
			}
		}
	}
	return w, nil
}
