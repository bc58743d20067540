package scale

import (
	"context"
	"time"

	"laddertide/rehearse/run"
)

// changeConfiguration has every scheduler read its file anew so often a second, until ctx ends: a change reaches a scheduler
// by its own file and SIGHUP.
func changeConfiguration(ctx context.Context, stage *run.Handle, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			stage.Reconfigure()
		}
	}
}
