package session

import (
	"fmt"

	"laddertide/core/score"
)

// uncued are notes of the steps whose cue did not come in its time.
func uncued(steps []score.Step) (notes []string) {
	for i := range steps {
		if s := &steps[i]; s.Uncued() {
			notes = append(notes, fmt.Sprintf("the step %s, planned at %.3f s, was done at %.3f s without its cue: no job came for it within %.3f s",
				s.What, seconds(s.Planned), seconds(s.Done), seconds(s.Wait)))
		}
	}
	return notes
}

// seconds words microseconds as the history has them.
func seconds(microseconds int64) float64 { return float64(microseconds) / 1e6 }
