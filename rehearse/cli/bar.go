package cli

import (
	"os"
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"

	"laddertide/rehearse/report"
	"laddertide/rehearse/scenario"
)

// bar shows how much of all runs is over, on a terminal only.
type bar struct {
	mu   sync.Mutex
	bar  *progressbar.ProgressBar
	done []time.Duration
}

func (a *app) bar(plans []*scenario.Plan) *bar {
	b := &bar{done: make([]time.Duration, len(plans))}
	f, ok := a.err.(*os.File)
	if a.quiet || !ok || !report.Terminal(f) {
		return b
	}
	total := time.Duration(0)
	for _, p := range plans {
		total += p.Length
	}
	b.bar = progressbar.NewOptions64(total.Milliseconds(), progressbar.OptionSetWriter(f), progressbar.OptionSetWidth(40),
		progressbar.OptionSetDescription("playing"), progressbar.OptionClearOnFinish(), progressbar.OptionSetPredictTime(true))
	return b
}

// of is told how far run i is.
func (b *bar) of(i int) func(time.Duration) {
	return func(done time.Duration) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.done[i] = done
		if b.bar == nil {
			return
		}
		sum := time.Duration(0)
		for _, d := range b.done {
			sum += d
		}
		b.bar.Set64(sum.Milliseconds())
	}
}

func (b *bar) end() {
	if b.bar != nil {
		b.bar.Finish()
	}
}
