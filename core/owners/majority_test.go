package owners

import (
	"fmt"
	"testing"
	"time"
)

// Three of seven have been over for long. Of the four that are left two can ask the one half and two the other: each half has been told
// by two and, with the three, by a majority of the seven, and neither knows of the other. Only one of them may keep by a new roster.
func TestMajoritiesMeetAmongTheLiving(t *testing.T) {
	const life = time.Minute
	var all []Process
	for i := range 7 {
		all = append(all, Process{Name: string(rune('a' + i)), Start: 1})
	}
	living := all[3:]
	complete := func(me Process, half []Process) bool {
		r := NewRosters(me, 3, life, 0, 0, 0)
		r.Resume(all, 0)
		now := time.Second
		look := func() {
			g := Ground{Majority: true, Met: true} // as the membership of each half may see it
			for _, p := range living {
				if p != me {
					g.All = append(g.All, Candidate{Process: p, Reached: p == half[0] || p == half[1]})
				}
			}
			r.Look(now, g)
		}
		look() // the three are over from here on
		now += 2 * life
		look()
		_, digest := r.Begin(now)
		for _, p := range half {
			if p != me {
				r.Told(p, digest)
			}
		}
		now += time.Second
		return r.Complete(now)
	}
	halves := [][]Process{living[:2], living[2:]}
	kept := 0
	for _, half := range halves {
		if complete(half[0], half) {
			kept++
		}
	}
	if kept != 1 {
		t.Errorf("%d halves keep by a roster of their own", kept)
	}
	if !complete(living[1], living[:3]) {
		t.Error(fmt.Sprint("a majority of the living does not: ", living[:3]))
	}
}
