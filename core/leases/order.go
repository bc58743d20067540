package leases

import "container/heap"

// links are a job's places in the two lists of ended jobs.
type links [2]struct{ prev, next *job }

// list is a list of jobs in the order in which they were added, by the links of that index.
type list struct {
	index      int
	head, tail *job
}

func (l *list) add(j *job) {
	j.links[l.index].prev = l.tail
	if l.tail != nil {
		l.tail.links[l.index].next = j
	} else {
		l.head = j
	}
	l.tail = j
}

// remove takes out j, which may not be in the list.
func (l *list) remove(j *job) {
	k := &j.links[l.index]
	if l.head != j && k.prev == nil {
		return
	}
	if k.prev != nil {
		k.prev.links[l.index].next = k.next
	} else {
		l.head = k.next
	}
	if k.next != nil {
		k.next.links[l.index].prev = k.prev
	} else {
		l.tail = k.prev
	}
	k.prev, k.next = nil, nil
}

// due holds the jobs with a lease that can run out, the next one first. Signs of life move job.until alone; job.key,
// which orders, follows when it comes up.
type due []*job

func (d due) Len() int           { return len(d) }
func (d due) Less(a, b int) bool { return d[a].key < d[b].key }
func (d due) Swap(a, b int) {
	d[a], d[b] = d[b], d[a]
	d[a].place, d[b].place = a, b
}

// Push is heap's; see add.
func (d *due) Push(x any) {
	j := x.(*job)
	j.place = len(*d)
	*d = append(*d, j)
}

// Pop is heap's; see remove.
func (d *due) Pop() any {
	n := len(*d) - 1
	j := (*d)[n]
	(*d)[n] = nil
	*d = (*d)[:n]
	j.place = -1
	return j
}

// add makes j's lease run out at j.until, or moves it there.
func (d *due) add(j *job) {
	j.key = j.until
	if j.place >= 0 {
		heap.Fix(d, j.place)
	} else {
		heap.Push(d, j)
	}
}

// remove takes out j, which may not be in.
func (d *due) remove(j *job) {
	if j.place >= 0 {
		heap.Remove(d, j.place)
	}
}
