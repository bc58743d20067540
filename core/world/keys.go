package world

import (
	"sync"
	"time"
)

const (
	maxKeys      = 1 << 20
	maxClockSkew = 5 * time.Second // largest time difference between workers that share the keys
)

// Keys is the fleet-wide record of idempotency keys that took effect. A key is kept for the window of the run that took
// effect, including its last moment; a dropped repeat does not extend it. Keys stay 5 s beyond their window, so that the times
// of workers may differ by that much, and there are at most a million (2^20): beyond that the key that expires first is
// evicted early, which Forgotten counts. It is safe for concurrent use.
type Keys struct {
	mu      sync.Mutex
	now     Time
	byKey   map[string]*keyEntry
	expiry  []*keyEntry // a heap by until
	limit   int
	evicted int
}

type keyEntry struct {
	key       string
	at, until Time
	index     int
}

// NewKeys returns an empty set of keys.
func NewKeys() *Keys { return &Keys{byKey: map[string]*keyEntry{}, limit: maxKeys} }

// Evicted returns the number of keys that were evicted before they expired. If it is not 0, a repeat may have taken
// effect that a real fleet would have dropped.
func (k *Keys) Evicted() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.evicted
}

// takeEffect records a run that ended at the given time and reports whether it takes effect.
func (k *Keys) takeEffect(key string, at, window Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.now = max(k.now, at)
	for len(k.expiry) > 0 && k.expiry[0].until+maxClockSkew < k.now {
		k.evictFirst()
	}
	if e := k.byKey[key]; e != nil {
		// A run that ended earlier but is reported later is still the repeat: only one of the two counts.
		if at <= e.until && at >= e.at-(e.until-e.at) {
			return false
		}
		if at < e.at {
			return true
		}
		e.at, e.until = at, at+max(window, 0)
		k.siftDown(e.index)
		k.siftUp(e.index)
		return true
	}
	if len(k.expiry) >= k.limit {
		k.evictFirst()
		k.evicted++
	}
	e := &keyEntry{key: key, at: at, until: at + max(window, 0), index: len(k.expiry)}
	k.byKey[key] = e
	k.expiry = append(k.expiry, e)
	k.siftUp(e.index)
	return true
}

// evictFirst removes the key that expires first.
func (k *Keys) evictFirst() {
	n := len(k.expiry) - 1
	delete(k.byKey, k.expiry[0].key)
	k.swap(0, n)
	k.expiry[n] = nil
	k.expiry = k.expiry[:n]
	k.siftDown(0)
}

func (k *Keys) swap(i, j int) {
	h := k.expiry
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (k *Keys) siftUp(i int) {
	for i > 0 && k.expiry[i].until < k.expiry[(i-1)/2].until {
		k.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (k *Keys) siftDown(i int) {
	for {
		c := 2*i + 1
		if c >= len(k.expiry) {
			return
		}
		if c+1 < len(k.expiry) && k.expiry[c+1].until < k.expiry[c].until {
			c++
		}
		if k.expiry[c].until >= k.expiry[i].until {
			return
		}
		k.swap(i, c)
		i = c
	}
}
