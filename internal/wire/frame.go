// Package wire decodes and encodes the adapter's binary frames.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"laddertide/policy"
)

// Record codes of events.
const (
	codeBegin      = 10
	codeUpdate     = 20
	codeWorkItem   = 30
	codeStarted    = 40
	codeAttemptEnd = 50
	codeClientGone = 60
	codeReminder   = 70
	codePingResult = 80
	codeNeighbour  = 90
	codePowerOff   = 100
	codeLedger     = 110
	codeHeartbeat  = 120
	codeFor        = 130
	batchHeader    = 16
	replyHeader    = 8
	entryBytes     = 24
	maxFrame       = 1 << 30
	maxLists       = 16
	flagHint       = 1
	noteStart      = 1
	maxMicros      = math.MaxInt64 / 1000
	allPeers       = math.MaxUint32
	maxPeerMessage = 256
	listKindCached = 0
	listKindFull   = 1
	listKindFailed = 2
	listKindDelta  = 4
)

// ReadFrame reads one complete frame into buf, growing it as needed. If the input
// ends before the frame, it returns io.EOF.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	if cap(buf) < batchHeader {
		buf = make([]byte, batchHeader, 1<<16)
	}
	buf = buf[:batchHeader]
	if _, err := io.ReadFull(r, buf); err != nil {
		if errors.Is(err, io.EOF) {
			return buf, io.EOF
		}
		return buf, fmt.Errorf("frame header: %w", err)
	}
	n := binary.LittleEndian.Uint32(buf[8:])
	if n < batchHeader || n > maxFrame {
		return buf, fmt.Errorf("frame header: length %d is out of range", n)
	}
	for len(buf) < int(n) { // grow as bytes arrive, so that a wrong length does not allocate memory
		from := len(buf)
		to := min(int(n), from+1<<20)
		if cap(buf) < to {
			grown := make([]byte, from, max(to, 2*cap(buf)))
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:to]
		if _, err := io.ReadFull(r, buf[from:]); err != nil {
			return buf, fmt.Errorf("frame body at byte %d of %d: %w", from, n, unexpectedEOF(err))
		}
	}
	return buf, nil
}

// unexpectedEOF turns io.EOF within a frame into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// reader decodes a frame from its start; a read beyond the end sets short.
type reader struct {
	b         []byte
	offset    int
	truncated bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.b)-r.offset {
		r.truncated = true
		return nil
	}
	b := r.b[r.offset : r.offset+n]
	r.offset += n
	return b
}

func (r *reader) u8() uint8 {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64() uint64 {
	if b := r.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *reader) f32() float64 { return float64(math.Float32frombits(r.u32())) }

func (r *reader) micros32() time.Duration { return time.Duration(r.u32()) * time.Microsecond }

// worker reads four address bytes, in network order, and the port, and packs them into an ID.
func (r *reader) worker() policy.WorkerID {
	b := r.take(6)
	if b == nil {
		return 0
	}
	addr := uint64(binary.BigEndian.Uint32(b))
	return policy.WorkerID(addr<<16 | uint64(binary.LittleEndian.Uint16(b[4:])))
}

// Batch receives a frame's events in their order.
type Batch interface {
	// Begin starts an instance. All arguments are valid during the call only.
	Begin(inst uint16, seed uint64, params string) error
	Stop(inst uint16)
	// Target returns the dispatcher of an instance, or nil if it is not running.
	Target(inst uint16) *policy.Dispatcher
	// Actions returns the slice to which the instance's actions are appended.
	Actions(inst uint16) *[]policy.Action
}

// Decoder decodes frames. It keeps the lists that later events refer to.
type Decoder struct {
	lists   [maxLists][]policy.Entry
	hasList [maxLists]bool
	report  []float64
}

// Decode decodes one frame and applies its events to b.
func (d *Decoder) Decode(frame []byte, b Batch) error {
	r := reader{b: frame, offset: batchHeader}
	micros := binary.LittleEndian.Uint64(frame)
	if micros > maxMicros {
		return fmt.Errorf("frame header: clock %d is out of range", micros)
	}
	now := time.Duration(micros) * time.Microsecond
	count := binary.LittleEndian.Uint32(frame[12:])
	c := cursor{inst: -1, now: now}
	for i := range count {
		at := r.offset
		code := r.u8()
		if r.truncated {
			return fmt.Errorf("record %d of %d at byte %d: frame ends", i, count, at)
		}
		if err := d.record(code, &r, b, &c); err != nil {
			return fmt.Errorf("record %d (code %d) at byte %d: %w", i, code, at, err)
		}
	}
	if r.offset != len(frame) {
		return fmt.Errorf("frame: %d bytes after the last of %d records", len(frame)-r.offset, count)
	}
	return nil
}

// cursor is the state of decoding one frame: the current instance (-1: none yet) and the time of the events.
type cursor struct {
	inst int
	now  time.Duration
}

var errTruncated = errors.New("frame ends inside the record")

func (d *Decoder) record(code uint8, r *reader, b Batch, c *cursor) error {
	switch code {
	case codeFor:
		c.inst = int(r.u16())
		return r.end()
	case codeLedger:
		return d.ledger(r)
	}
	if c.inst < 0 {
		if code > codeFor || code%10 != 0 || code == 0 {
			return errors.New("unknown record code")
		}
		return errors.New("event before any instance is named")
	}
	inst := uint16(c.inst)
	switch code {
	case codeBegin:
		seed := r.u64()
		params := r.take(int(r.u32()))
		if err := r.end(); err != nil {
			return err
		}
		return b.Begin(inst, seed, string(params))
	case codePowerOff:
		b.Stop(inst)
		return nil
	case codeUpdate, codeWorkItem, codeStarted, codeAttemptEnd, codeClientGone, codeReminder,
		codePingResult, codeNeighbour, codeHeartbeat:
	default:
		return errors.New("unknown record code")
	}
	disp := b.Target(inst)
	if disp == nil {
		return fmt.Errorf("instance %d has not begun", inst)
	}
	return d.event(code, r, disp, b.Actions(inst), c.now)
}

func (r *reader) end() error {
	if r.truncated {
		return errTruncated
	}
	return nil
}

func (d *Decoder) event(code uint8, r *reader, disp *policy.Dispatcher, acts *[]policy.Action,
	now time.Duration) error {
	switch code {
	case codeUpdate:
		return d.update(r, disp, acts, now)
	case codeWorkItem:
		q := policy.Request{
			ID: policy.RequestID(r.u64()), Class: int(r.u8()), Tenant: int(r.u16()),
		}
		r.u64() // the partition key, which is not used
		q.Left, q.Hint = r.micros32(), r.micros32()
		q.Slots = r.f32()
		r.f32() // memory, which is not used: a worker without enough of it refuses the job as full
		flags := r.u8()
		if flags&flagHint == 0 {
			q.Hint = 0
		}
		if err := r.end(); err != nil {
			return err
		}
		*acts = disp.Request(now, q, *acts)
	case codeStarted:
		id, attempt, worker := policy.RequestID(r.u64()), int(r.u16()), r.worker()
		r.u32()
		if err := r.end(); err != nil {
			return err
		}
		*acts = disp.AnswerStarted(now, policy.Note{Request: id, Attempt: attempt, Worker: worker}, *acts)
	case codeAttemptEnd:
		o := policy.Outcome{Request: policy.RequestID(r.u64())}
		st := r.u16()
		r.u32()
		o.Worker, o.Closed, o.Attempt, o.Elapsed = r.worker(), r.u8() != 0, int(r.u16()), r.micros32()
		o.Report = d.load(r)
		if err := r.end(); err != nil {
			return err
		}
		var err error
		if o.Status, err = parseStatus(st); err != nil {
			return err
		}
		*acts = disp.Outcome(now, o, *acts)
	case codeClientGone:
		id := policy.RequestID(r.u64())
		if err := r.end(); err != nil {
			return err
		}
		*acts = disp.ClientGone(now, id, *acts)
	case codeReminder:
		token := r.u64()
		if err := r.end(); err != nil {
			return err
		}
		*acts = disp.Timer(now, token, *acts)
	case codePingResult:
		p := policy.ProbeOutcome{Worker: r.worker()}
		st := r.u16()
		p.Elapsed, p.Report = r.micros32(), d.load(r)
		if err := r.end(); err != nil {
			return err
		}
		var err error
		if p.Status, err = parseStatus(st); err != nil {
			return err
		}
		*acts = disp.ProbeEnded(now, p, *acts)
	case codeNeighbour:
		from := r.u32()
		data := r.take(int(r.u16()))
		if err := r.end(); err != nil {
			return err
		}
		*acts = disp.PeerMessage(now, int(from), data, *acts)
	case codeHeartbeat:
		n := policy.Note{Request: policy.RequestID(r.u64()), Attempt: int(r.u16()), Worker: r.worker()}
		n.Started, n.Progress = r.u8() == noteStart, r.f32()
		if err := r.end(); err != nil {
			return err
		}
		*acts = disp.Note(now, n, *acts)
	}
	return nil
}

func (d *Decoder) load(r *reader) []float64 {
	d.report = d.report[:0]
	for range r.u8() {
		d.report = append(d.report, r.f32())
	}
	return d.report
}

func (d *Decoder) ledger(r *reader) error {
	number, n := r.u16(), r.u32()
	if err := r.end(); err != nil {
		return err
	}
	if number >= maxLists {
		return fmt.Errorf("list number %d is out of range", number)
	}
	if int64(n)*entryBytes > int64(len(r.b)-r.offset) {
		return errTruncated
	}
	list := d.lists[number][:0]
	for range n {
		e := policy.Entry{}
		state := r.u8()
		if state > 2 {
			return fmt.Errorf("list %d: unknown availability %d", number, state)
		}
		e.State = policy.State(state)
		e.Kind, e.Weight, e.Zone = int(r.u16()), r.f32(), int(r.u8())
		e.ID = r.worker()
		started := min(r.u64(), maxMicros)
		e.Started = time.Duration(started) * time.Microsecond
		e.Cell = int(r.u16())
		list = append(list, e)
	}
	d.lists[number], d.hasList[number] = list, true
	return r.end()
}

func (d *Decoder) update(r *reader, disp *policy.Dispatcher, acts *[]policy.Action,
	now time.Duration) error {
	number, kind := r.u16(), r.u8()
	r.u64()
	if err := r.end(); err != nil {
		return err
	}
	var k policy.ListKind
	switch kind {
	case listKindCached:
		k = policy.ListCached
	case listKindFull:
		k = policy.ListFull
	case listKindDelta:
		k = policy.ListDelta
	case listKindFailed:
		*acts = disp.List(now, policy.ListFailed, nil, *acts)
		return nil
	default:
		return fmt.Errorf("unknown list kind %d", kind)
	}
	if number >= maxLists || !d.hasList[number] {
		return fmt.Errorf("unknown list %d", number)
	}
	*acts = disp.List(now, k, d.lists[number], *acts)
	return nil
}

func parseStatus(code uint16) (policy.Status, error) {
	if code < 10 || code > 80 || code%10 != 0 {
		return 0, fmt.Errorf("unknown disposition %d", code)
	}
	return policy.Status(code/10 - 1), nil
}
