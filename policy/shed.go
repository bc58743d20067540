package policy

import "time"

// Shares of the host's connections above which requests are shed. The rest is reserved for connections that
// are accepted only to reject their request: one that is not accepted times out without an answer.
const (
	maxWaitingShare = 1.0 / 2 // with more open than this, no request waits for a worker
	maxOpenShare    = 7.0 / 8 // with more open than this, no new request is accepted
)

// shareOfConnections returns the given share of connections, at least 1; 0: no limit is known.
func shareOfConnections(connections int, share float64) int {
	if connections <= 0 {
		return 0
	}
	return max(1, int(share*float64(connections)))
}

// shed rejects one request if more than limit requests occupy a connection: of those that wait for a worker
// the one with the least worth per slot-second, and of equals the newest. Requests in flight at a worker are
// kept. A limit of 0 means no limit.
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
		if r.inFlight == 0 && d.repeatHarmless(r) && (least == nil || r.shedBefore(least)) {
			least = r
		}
	}
	if connected <= limit || least == nil {
		return acts
	}
	return d.finish(now, least, acts)
}

// shedBefore reports whether r is rejected before other.
func (r *request) shedBefore(other *request) bool {
	if r.density != other.density {
		return r.density < other.density
	}
	return r.id > other.id
}
