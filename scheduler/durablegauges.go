package scheduler

import (
	"context"
	"time"

	"laddertide/durable"
	"laddertide/metrics"
)

// durableGaugeInterval is the interval of updates of the gauges of durable jobs.
const durableGaugeInterval = time.Second

// updateDurableGauges updates the gauges of durable jobs until ctx ends, if metrics and durable jobs are on.
func (s *Scheduler) updateDurableGauges(ctx context.Context) {
	if s.metrics == nil || s.cfg.Operator.Durable == nil {
		return
	}
	tick := time.NewTicker(durableGaugeInterval)
	defer tick.Stop()
	for {
		u := s.durableUsage()
		s.metrics.SetDurable(metrics.Durable{Open: u.Open, Kept: u.Kept, KeptBytes: u.RecordBytes, DiskBytes: u.DiskBytes, Refused: u.Refused})
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// durableUsage returns how much of their bounds durable jobs use.
func (s *Scheduler) durableUsage() durable.Usage {
	s.mu.Lock()
	own := s.durable
	s.mu.Unlock()
	switch {
	case own != nil:
		return own.Usage()
	case s.groups != nil:
		return s.groups.Usage()
	}
	return durable.Usage{}
}
