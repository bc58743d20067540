package session

import (
	"fmt"
	"strings"
	"time"

	"laddertide/core/score"
)

// mostLateSteps is how many late steps are told of one by one.
const mostLateSteps = 5

// lateSteps are notes of the steps that were later than StepLateLimit.
func lateSteps(steps []score.Step) (notes []string) {
	late := 0
	for i := range steps {
		s := &steps[i]
		if s.Late() <= StepLateLimit.Microseconds() {
			continue
		}
		if late++; late <= mostLateSteps {
			notes = append(notes, fmt.Sprintf("the step %s, due at %.3f s, was done %.0f ms late",
				strings.TrimSpace(s.Action+" "+s.Scheduler), seconds(s.Due), float64(s.Late())/1e3))
		}
	}
	if more := late - mostLateSteps; more > 0 {
		notes = append(notes, fmt.Sprintf("%d more steps were done over %s late", more, StepLateLimit))
	}
	return notes
}

// uncued are notes of the steps whose cue did not come in its time.
func uncued(steps []score.Step) (notes []string) {
	for i := range steps {
		if s := &steps[i]; s.Uncued() {
			notes = append(notes, fmt.Sprintf("the step %s, planned at %.3f s, was done at %.3f s without its cue: no job came for it within %.3f s",
				s.Action, seconds(s.Planned), seconds(s.Done), seconds(s.Wait)))
		}
	}
	return notes
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// seconds words microseconds as the history has them.
func seconds(microseconds int64) float64 { return float64(microseconds) / 1e6 }
