// Package runonce remembers jobs that must not run twice and of which something was sent, so that a request that repeats one after its
// client has left, or after its answer, is not taken for a new job. It does no I/O, takes the time as an argument and is not safe for
// concurrent use.
package runonce

import "time"

// Key identifies a job: a digest of all that two requests for the same job have in common.
type Key [16]byte

// Entry is a remembered job.
type Entry struct {
	Key Key
	Age time.Duration // since it was last recorded
}

// Memory is a bounded set of jobs. Each is remembered for a time after it was last recorded; if there are too many, the oldest is
// forgotten.
type Memory struct {
	keep   time.Duration
	max    int
	last   map[Key]record // the last record of each job
	order  []record       // by time, from first on; a record that is not the last one of its job is obsolete
	first  int
	number uint64 // of the last record
	early  uint64 // forgotten for lack of room
}

type record struct {
	key    Key
	at     time.Duration
	number uint64
}

// New returns an empty Memory that remembers at most max jobs, each for the time keep.
func New(keep time.Duration, max int) *Memory {
	return &Memory{keep: keep, max: max, last: make(map[Key]record)}
}

// Record records that something of a job was sent, or that it has ended. Times must not decrease.
func (m *Memory) Record(key Key, now time.Duration) {
	m.expire(now)
	m.add(key, now)
}

// Restore records the entries of another Memory, in any order.
func (m *Memory) Restore(entries []Entry, now time.Duration) {
	for _, e := range entries {
		at := now - max(0, e.Age)
		if known, ok := m.last[e.Key]; !ok || known.at < at {
			m.insert(e.Key, at)
		}
	}
	m.expire(now)
	m.bound()
}

// Forget removes a job of which nothing has run.
func (m *Memory) Forget(key Key) { delete(m.last, key) }

// Contains reports whether a job is remembered.
func (m *Memory) Contains(key Key, now time.Duration) bool {
	r, ok := m.last[key]
	return ok && now-r.at < m.keep
}

// Entries returns all remembered jobs, the oldest first.
func (m *Memory) Entries(now time.Duration) []Entry {
	m.expire(now)
	entries := make([]Entry, 0, len(m.last))
	for _, r := range m.order[m.first:] {
		if m.isCurrent(r) {
			entries = append(entries, Entry{r.key, now - r.at})
		}
	}
	return entries
}

// Len returns the number of remembered jobs, and how many were forgotten for lack of room.
func (m *Memory) Len() (remembered int, forgottenEarly uint64) { return len(m.last), m.early }

func (m *Memory) add(key Key, at time.Duration) {
	m.order = append(m.order, m.newRecord(key, at))
	m.bound()
}

// newRecord returns the last record of a job from now on.
func (m *Memory) newRecord(key Key, at time.Duration) record {
	m.number++
	r := record{key, at, m.number}
	m.last[key] = r
	return r
}

// insert adds a record in its place in the order.
func (m *Memory) insert(key Key, at time.Duration) {
	r := m.newRecord(key, at)
	i := len(m.order)
	for i > m.first && m.order[i-1].at > at {
		i--
	}
	m.order = append(m.order, record{})
	copy(m.order[i+1:], m.order[i:])
	m.order[i] = r
}

// isCurrent reports whether a record is the last one of its job.
func (m *Memory) isCurrent(r record) bool {
	return m.last[r.key].number == r.number
}

// expire forgets jobs whose time is over.
func (m *Memory) expire(now time.Duration) {
	for m.first < len(m.order) && (now-m.order[m.first].at >= m.keep || !m.isCurrent(m.order[m.first])) {
		m.dropFirst()
	}
	m.compact()
}

// bound forgets the oldest jobs if there are too many.
func (m *Memory) bound() {
	for len(m.last) > m.max {
		if m.isCurrent(m.order[m.first]) {
			m.early++
		}
		m.dropFirst()
	}
	m.compact()
}

func (m *Memory) dropFirst() {
	if r := m.order[m.first]; m.isCurrent(r) {
		delete(m.last, r.key)
	}
	m.first++
}

// compact releases the memory of obsolete records once they are more than the others.
func (m *Memory) compact() {
	if len(m.order) < 2*len(m.last)+64 && m.first < len(m.last)+64 {
		return
	}
	current := make([]record, 0, len(m.last)+64)
	for _, r := range m.order[m.first:] {
		if m.isCurrent(r) {
			current = append(current, r)
		}
	}
	m.order, m.first = current, 0
}
