package leases

import "container/heap"

// links are a job's links in the lists of ended jobs: in that of all, and in one of those by answer.
type links [2]jobLinks

type jobLinks struct{ prev, next *job }

// The indexes of links.
const (
	endedLinks = iota
	answerLinks
)

// jobList is a doubly linked list of jobs in the order in which they were added. index selects the job's links.
type jobList struct {
	index      int
	head, tail *job
}

func (l *jobList) add(j *job) {
	j.links[l.index].prev = l.tail
	if l.tail != nil {
		l.tail.links[l.index].next = j
	} else {
		l.head = j
	}
	l.tail = j
}

// remove removes j if it is in the list.
func (l *jobList) remove(j *job) {
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

// expiryHeap is a heap of the jobs whose lease can expire, the next one first. A sign of life only changes job.expiresAt;
// job.heapKey, by which the heap is ordered, is updated when the job reaches the top.
type expiryHeap []*job

func (d expiryHeap) Len() int           { return len(d) }
func (d expiryHeap) Less(a, b int) bool { return d[a].heapKey < d[b].heapKey }
func (d expiryHeap) Swap(a, b int) {
	d[a], d[b] = d[b], d[a]
	d[a].heapIndex, d[b].heapIndex = a, b
}

// Push implements heap.Interface; use add.
func (d *expiryHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*d)
	*d = append(*d, j)
}

// Pop implements heap.Interface; use remove.
func (d *expiryHeap) Pop() any {
	n := len(*d) - 1
	j := (*d)[n]
	(*d)[n] = nil
	*d = (*d)[:n]
	j.heapIndex = -1
	return j
}

// add schedules the expiry of j's lease at j.until, or moves it there.
func (d *expiryHeap) add(j *job) {
	j.heapKey = j.expiresAt
	if j.heapIndex >= 0 {
		heap.Fix(d, j.heapIndex)
	} else {
		heap.Push(d, j)
	}
}

// remove removes j if it is in the heap.
func (d *expiryHeap) remove(j *job) {
	if j.details != nil && j.heapIndex >= 0 {
		heap.Remove(d, j.heapIndex)
	}
}
