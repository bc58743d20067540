package page

import (
	"fmt"
	"io"

	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/slope"
)

// MovedShare is by how much of itself a slope must differ from the earlier one to be told.
const MovedShare = 0.2

// Compare prints the slopes of a later file that moved by MovedShare or more against an earlier one, and those that are
// gone, and returns how many these are. A slope whose interval holds 0 in both files has no value that could move; it is
// printed and does not count.
func Compare(out io.Writer, before, after measurement.Named) (moved int, err error) {
	if before.Varied == "" || before.Varied != after.Varied {
		return 0, fmt.Errorf("%s varies %q and %s varies %q: they have no slopes in common", before.Name, before.Varied,
			after.Name, after.Varied)
	}
	now := make(map[key]*sweep)
	for _, s := range sweeps([]measurement.Named{after}) {
		now[s.key] = s
	}
	for _, was := range sweeps([]measurement.Named{before}) {
		if was.fit == nil {
			continue
		}
		name := fmt.Sprintf("%s %s, %s by %s", roleName(was.key.role), was.key.resource, was.unit, was.regressor.name)
		is := now[was.key]
		switch {
		case is == nil || is.fit == nil:
			moved++
			fmt.Fprintf(out, "%s: no slope any more, %s before\n", name, interval(was.fit.Slope))
		case !slope.Moved(was.fit.Slope.Value, is.fit.Slope.Value, MovedShare):
		case !was.fit.Slope.Excludes(0) && !is.fit.Slope.Excludes(0):
			fmt.Fprintf(out, "%s: not told from 0 in both, %s and %s\n", name, interval(was.fit.Slope), interval(is.fit.Slope))
		default:
			moved++
			fmt.Fprintf(out, "%s: MOVED%s, %s before, %s now\n", name, change(was.fit.Slope.Value, is.fit.Slope.Value),
				interval(was.fit.Slope), interval(is.fit.Slope))
		}
	}
	return moved, nil
}

// change is by how much of itself a value moved.
func change(before, after float64) string {
	if before == 0 {
		return " from 0"
	}
	return fmt.Sprintf(" by %+.0f%%", percent*(after-before)/before)
}
