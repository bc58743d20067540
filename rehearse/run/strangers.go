package run

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"laddertide/core/history"
	"laddertide/rehearse/scenario"
)

// strangerTimeout is the time within which a scheduler must close a connection to its peers' address that is not a peer's.
const strangerTimeout = 3 * time.Second

// connectStrangers connects to the schedulers' addresses for their peers at a rate per second, until ctx ends: these connections
// send nothing or noise, or a burst of UDP packets is sent. The scheduler must close each connection.
func (r *run) connectStrangers(ctx context.Context, rate float64) {
	chance := scenario.RandomStream(r.plan.Seed, "peer strangers")
	for sleep(ctx, time.Duration(chance.ExpFloat64()/rate*float64(time.Second))) {
		p := r.hosts[chance.IntN(len(r.hosts))]
		kind, noise := chance.IntN(3), make([]byte, 64+chance.IntN(4000))
		for i := range noise {
			noise[i] = byte(chance.Uint32())
		}
		r.goroutines.Go(func() {
			if kind == 2 {
				if c, err := net.Dial("udp", p.peerAddress); err == nil {
					for range 100 {
						c.Write(noise[:min(len(noise), 1400)])
					}
					c.Close()
				}
				return
			}
			name := []string{"peer stranger: silent", "peer stranger: noise"}[kind]
			c, err := net.DialTimeout("tcp", p.peerAddress, strangerTimeout)
			if err != nil {
				return // it is down
			}
			defer c.Close()
			from, stalled := r.rec.Since(), r.rec.Stalled()
			if kind == 1 {
				c.SetWriteDeadline(time.Now().Add(time.Second))
				c.Write(noise)
			}
			ev := history.Event{Kind: history.KindBadClient, Scheduler: p.name, From: from.Microseconds(), Note: name}
			for {
				c.SetReadDeadline(r.rec.At(from + strangerTimeout + time.Duration(r.plan.Rules.Slack)*time.Microsecond + r.rec.Stalled() - stalled))
				if _, err = io.Copy(io.Discard, c); !errors.Is(err, os.ErrDeadlineExceeded) {
					break
				}
				if r.rec.Since()-from > strangerTimeout+time.Duration(r.plan.Rules.Slack)*time.Microsecond+r.rec.Stalled()-stalled {
					ev.Bytes = 1
					break
				}
			}
			r.rec.Add(ev)
		})
	}
}
