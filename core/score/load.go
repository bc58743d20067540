package score

// loadTracker tracks the numbers of waiting and of all jobs of each worker, as means over intervals of length step.
type loadTracker struct {
	step        int64
	last        int64
	generations []int // by worker: the generation of its jobs; jobs of earlier generations no longer exist
	rows        []workerLoad
}

type workerLoad struct {
	queued, held   int
	at             int64 // time up to which the sums are complete
	queuedT, heldT []float64
}

func newLoadTracker(workers int, step, last int64) *loadTracker {
	l := &loadTracker{step: step, last: last, generations: make([]int, workers), rows: make([]workerLoad, workers)}
	for i := range l.rows {
		n := max(0, last)/step + 1
		l.rows[i].queuedT, l.rows[i].heldT = make([]float64, n), make([]float64, n)
	}
	return l
}

// isCurrent reports whether a worker's jobs of that generation still exist.
func (l *loadTracker) isCurrent(worker, generation int) bool {
	return l.generations[worker] == generation
}

// extend extends a worker's sums up to a time.
func (l *loadTracker) extend(r *workerLoad, t int64) {
	t = min(t, l.last)
	if r.queued == 0 && r.held == 0 {
		r.at = max(r.at, t)
		return
	}
	for r.at < t {
		n := r.at / l.step
		until := min(t, (n+1)*l.step)
		r.queuedT[n] += float64(r.queued) * float64(until-r.at)
		r.heldT[n] += float64(r.held) * float64(until-r.at)
		r.at = until
	}
}

// change adds to the numbers of a worker's jobs.
func (l *loadTracker) change(worker int, t int64, queued, held int) {
	r := &l.rows[worker]
	l.extend(r, t)
	r.queued += queued
	r.held += held
}

// clear removes all jobs of a worker whose process has ended.
func (l *loadTracker) clear(worker int, t int64) {
	r := &l.rows[worker]
	l.extend(r, t)
	r.queued, r.held = 0, 0
	l.generations[worker]++
}

// means returns the mean numbers of jobs by interval; the last interval covers only the time up to the end of the history.
func (l *loadTracker) means(worker int) (queued, held []float32) {
	r := &l.rows[worker]
	l.extend(r, l.last)
	queued, held = make([]float32, len(r.queuedT)), make([]float32, len(r.heldT))
	for n := range queued {
		long := float64(min(l.step, l.last-int64(n)*l.step))
		if long > 0 {
			queued[n], held[n] = float32(r.queuedT[n]/long), float32(r.heldT[n]/long)
		}
	}
	return queued, held
}
