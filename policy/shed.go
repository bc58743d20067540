package policy

import "time"

// Parts of the host's connections for requests that open ones may take. The rest is for those that are
// accepted only to be refused: who waits to be accepted runs out of time without an answer.
const (
	mostWaiting = 1.0 / 2 // with more open than this none waits for a worker
	mostOpen    = 7.0 / 8 // with more open than this none is taken on
)

// part is a part of so many connections; 0: no bound is known.
func part(connections int, of float64) int {
	if connections <= 0 {
		return 0
	}
	return max(1, int(of*float64(connections)))
}

// shed refuses a request if more than limit keep a connection: of those that wait for a worker the one with
// the least worth for a slot-second, and of equals the newest. What is out at a worker stays. A limit of 0 is
// none.
func (d *Dispatcher) shed(now time.Duration, limit int, acts []Action) []Action {
	if limit == 0 || len(d.open) <= limit {
		return acts
	}
	connected := 0
	var least *request
	for _, r := range d.open {
		if r.ended || !r.connected {
			continue
		}
		connected++
		if r.out == 0 && d.harmless(r) && (least == nil || r.lessThan(least)) {
			least = r
		}
	}
	if connected <= limit || least == nil {
		return acts
	}
	return d.finish(now, least, acts)
}

// lessThan tells whether r is refused before other.
func (r *request) lessThan(other *request) bool {
	if r.density != other.density {
		return r.density < other.density
	}
	return r.id > other.id
}
