package wire

import (
	"encoding/binary"
	"math"
	"time"

	"laddertide/policy"
)

// Record codes of actions.
const (
	codeCancel    = 20
	codeRoute     = 40
	codeTimer     = 50
	codePublish   = 60
	codeCheck     = 80
	codeAt        = 90
	codeObserve   = 100
	codeSurrender = 120
	codeBusy      = 130
)

// Reply builds one reply frame.
type Reply struct {
	b     []byte
	count uint32
}

// Reset empties the reply.
func (p *Reply) Reset() {
	if p.b == nil {
		p.b = make([]byte, replyHeader, 1<<16)
	}
	p.b, p.count = p.b[:replyHeader], 0
}

// Bytes completes the frame and returns it. The result is valid until the next Reset.
func (p *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(p.b, p.count)
	binary.LittleEndian.PutUint32(p.b[4:], uint32(len(p.b)))
	return p.b
}

func (p *Reply) code(c byte) {
	p.b = append(p.b, c)
	p.count++
}

func (p *Reply) u16(v uint16) { p.b = binary.LittleEndian.AppendUint16(p.b, v) }
func (p *Reply) u32(v uint32) { p.b = binary.LittleEndian.AppendUint32(p.b, v) }
func (p *Reply) u64(v uint64) { p.b = binary.LittleEndian.AppendUint64(p.b, v) }

func (p *Reply) micros(d time.Duration) {
	us := (d + time.Microsecond - 1) / time.Microsecond
	p.u32(uint32(max(0, min(us, math.MaxInt32))))
}

func (p *Reply) worker(w policy.WorkerID) {
	p.b = binary.BigEndian.AppendUint32(p.b, uint32(w>>16))
	p.u16(uint16(w))
}

// Append adds the actions of one instance.
func (p *Reply) Append(inst uint16, acts []policy.Action) {
	if len(acts) == 0 {
		return
	}
	p.code(codeAt)
	p.u16(inst)
	for i := range acts {
		p.action(&acts[i])
	}
}

func (p *Reply) action(a *policy.Action) {
	switch a.Kind {
	case policy.Send:
		p.code(codeRoute)
		p.u64(uint64(a.Request))
		p.micros(a.Timeout)
		p.worker(a.Worker)
	case policy.Reject:
		p.code(codeBusy)
		p.u64(uint64(a.Request))
		p.micros(a.RetryIn)
	case policy.Fail:
		p.code(codeSurrender)
		p.u64(uint64(a.Request))
	case policy.CancelSend:
		p.code(codeCancel)
		p.u64(uint64(a.Request))
		p.u16(uint16(a.Attempt))
	case policy.SetTimer:
		p.code(codeTimer)
		p.u64(a.Token)
		p.u64(uint64(max(0, (a.At+time.Microsecond-1)/time.Microsecond)))
	case policy.Probe:
		p.code(codeCheck)
		p.worker(a.Worker)
	case policy.Subscribe:
		p.code(codeObserve)
		p.b = append(p.b, 1)
	case policy.NotifyPeers:
		p.code(codePublish)
		p.u32(allPeers)
		p.u16(uint16(min(len(a.Data), maxPeerMessage)))
		p.b = append(p.b, a.Data[:min(len(a.Data), maxPeerMessage)]...)
	}
}
