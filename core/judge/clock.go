package judge

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// never is the time of an event that did not happen.
const never = math.MaxInt64

// clock counts the time for which the kit was stalled, so that limits can leave it out.
type clock struct {
	from, until   []int64 // stalls, in order and disjoint
	stalledBefore []int64 // total length of all stalls before this one
}

type span struct{ from, until int64 }

func newClock(stalls []span) clock {
	slices.SortFunc(stalls, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	var c clock
	var sum int64
	for _, s := range stalls {
		n := len(c.from)
		switch {
		case s.until <= s.from:
		case n > 0 && s.from <= c.until[n-1]:
			if s.until > c.until[n-1] {
				sum += s.until - c.until[n-1]
				c.until[n-1] = s.until
			}
		default:
			c.from, c.until, c.stalledBefore = append(c.from, s.from), append(c.until, s.until), append(c.stalledBefore, sum)
			sum += s.until - s.from
		}
	}
	return c
}

// stalled is the total time for which the kit had been stalled by t.
func (c *clock) stalled(t int64) int64 {
	i := sort.Search(len(c.from), func(i int) bool { return c.from[i] >= t }) - 1
	if i < 0 {
		return 0
	}
	return c.stalledBefore[i] + min(t, c.until[i]) - c.from[i]
}

// between is the time from a to b without the stalls; negative if b is before a.
func (c *clock) between(a, b int64) int64 {
	if len(c.from) == 0 {
		return b - a
	}
	return b - a - (c.stalled(b) - c.stalled(a))
}

// after is the time at which d has passed since t, not counting stalls. d must not be negative.
func (c *clock) after(t, d int64) int64 {
	if t == never || d > never-t {
		return never
	}
	i := sort.Search(len(c.from), func(i int) bool { return c.until[i] > t })
	for ; i < len(c.from); i++ {
		gap := max(0, c.from[i]-t)
		if gap >= d {
			break
		}
		d -= gap
		t = max(t, c.until[i])
	}
	return t + d
}
