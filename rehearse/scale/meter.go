package scale

import (
	"context"
	"time"

	"laddertide/rehearse/links"
	"laddertide/rehearse/run"
)

// controlMeter counts what all members have sent each other, by the relays, which outlive a scheduler that is killed.
type controlMeter struct {
	at     []time.Duration // from the first arrival on: before the failure, at its beginning, and when all is over
	counts []links.Counts
	times  []time.Time
}

// run takes the counts at their times.
func (m *controlMeter) run(ctx context.Context, stage *run.Handle) {
	for _, at := range m.at {
		if !sleepUntil(ctx, stage.Start.Add(at)) {
			return
		}
		var all links.Counts
		for _, name := range stage.Names() {
			sent, _ := stage.Traffic(name)
			all.Add(sent)
		}
		m.counts, m.times = append(m.counts, all), append(m.times, time.Now())
	}
}

// caused is how many packets and bytes were sent beyond the usual rate since the failure began; nil if the run ended before.
// Less than the usual rate, as members that are down send nothing, is none.
func (m *controlMeter) caused() (packets, bytes *float64) {
	if len(m.counts) < len(m.at) {
		return nil, nil
	}
	usual := m.times[1].Sub(m.times[0]).Seconds()
	after := m.times[2].Sub(m.times[1]).Seconds()
	beyond := func(of func(links.Counts) int64) *float64 {
		rate := float64(of(m.counts[1])-of(m.counts[0])) / usual
		return pointer(max(0, float64(of(m.counts[2])-of(m.counts[1]))-rate*after))
	}
	return beyond(packetCount), beyond(func(c links.Counts) int64 { return c.Bytes })
}
