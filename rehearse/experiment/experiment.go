// Package experiment plays many runs to learn what one cannot tell: how the service moves with a parameter (a sweep),
// whether one daemon does better than another (a comparison), and how much a daemon or the kit itself bears (the
// capacity). It decides which runs are played and in what order, keeps what is done when it is cut short, and leaves
// out runs in which the kit was late. It never plays a run itself and judges none.
package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"laddertide/rehearse/report"
	"laddertide/rehearse/scenario"
)

// Player plays one run. With an error there is no report.
type Player interface {
	Play(ctx context.Context, plan *scenario.Plan) (*report.Run, error)
}

// around is about what a run takes beside the time in which clients arrive: for starting, and for its last jobs.
const around = 15 * time.Second

// Tries is how often a run is played at most: once more when the kit was late, as that may have been another's doing.
const Tries = 2

// try plays a plan until its figures count, Tries times at most, and returns all that was played. A run that was cut
// short with the context is none of them: then the error is the context's.
func try(ctx context.Context, p Player, plan *scenario.Plan, keep func(*report.Run) error) ([]*Outcome, error) {
	var out []*Outcome
	for range Tries {
		run, err := p.Play(ctx, plan)
		if ctx.Err() != nil {
			return out, context.Cause(ctx)
		}
		if err != nil {
			return out, fmt.Errorf("%s, seed %d: %w", plan.Scenario, plan.Seed, err)
		}
		o, err := of(run)
		if err != nil {
			return out, err
		}
		out = append(out, o)
		if keep != nil {
			if err := keep(run); err != nil {
				return out, err
			}
		}
		if !o.Late {
			break
		}
	}
	return out, nil
}

// last is the try that decides.
func last(tries []*Outcome) *Outcome {
	if len(tries) == 0 {
		return nil
	}
	return tries[len(tries)-1]
}

// side plays n things, some side by side, beginning them in order. After the first error or the end of the context no
// further one begins; it returns when none is left.
func side(ctx context.Context, n, parallel int, play func(context.Context, int) error) error {
	g, within := errgroup.WithContext(ctx)
	g.SetLimit(max(1, parallel))
	for i := range n {
		g.Go(func() error {
			if within.Err() != nil {
				return nil
			}
			return play(within, i)
		})
	}
	err := g.Wait()
	if ctx.Err() == nil {
		return err
	}
	return context.Cause(within) // whichever came first
}

// clock tells how long what is left will take.
type clock struct {
	mu       sync.Mutex
	begin    time.Time
	parallel int
	done, n  int
}

func newClock(n, parallel int) *clock {
	return &clock{begin: time.Now(), parallel: max(1, parallel), n: n}
}

// tick counts one as done and words how far it is.
func (c *clock) tick() (at, left string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done++
	at = fmt.Sprintf("%d/%d", c.done, c.n)
	if c.done >= c.n {
		return at, ""
	}
	// With so many side by side the first are done when others are nearly so.
	each := time.Since(c.begin).Seconds() / float64(c.done)
	return at, ", about " + rough(seconds(each*float64(c.n-c.done))) + " left"
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rough words a time that is only about right.
func rough(d time.Duration) string {
	switch {
	case d < 100*time.Second:
		return fmt.Sprintf("%.0f s", d.Seconds())
	case d < 100*time.Minute:
		return fmt.Sprintf("%.0f min", d.Minutes())
	}
	return fmt.Sprintf("%.1f h", d.Hours())
}

// rulesText words the breaches of a run.
func rulesText(o *Outcome) string {
	if n := o.Breaches(); n > 0 {
		return fmt.Sprintf("RULES BROKEN (%d)", n)
	}
	return "rules kept"
}

// countsText says what is to be known of a run that does not count.
func countsText(o *Outcome) string {
	switch o.counts() {
	case "late":
		return fmt.Sprintf("; the kit was late (p99 %.3g ms): it does not count", o.LateMS)
	case "partial":
		return "; it was cut off: it does not count"
	}
	return ""
}

// plural words a number of things.
func plural(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}
