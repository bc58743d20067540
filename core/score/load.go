package score

// load follows how many jobs each worker has waiting and in all, as means over steps of time.
type load struct {
	step  int64
	last  int64
	lives []int // by worker: the generation of its jobs; those of an earlier one are gone
	rows  []row
}

type row struct {
	queued, held   int
	at             int64 // up to where the sums go
	queuedT, heldT []float64
}

func newLoad(workers int, step, last int64) *load {
	l := &load{step: step, last: last, lives: make([]int, workers), rows: make([]row, workers)}
	for i := range l.rows {
		n := max(0, last)/step + 1
		l.rows[i].queuedT, l.rows[i].heldT = make([]float64, n), make([]float64, n)
	}
	return l
}

// alive says whether a worker's jobs of that generation still exist.
func (l *load) alive(worker, life int) bool { return l.lives[worker] == life }

// pass carries a worker's sums up to a time.
func (l *load) pass(r *row, t int64) {
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

// change adds to what a worker has.
func (l *load) change(worker int, t int64, queued, held int) {
	r := &l.rows[worker]
	l.pass(r, t)
	r.queued += queued
	r.held += held
}

// clear takes all that a worker has: its process is gone.
func (l *load) clear(worker int, t int64) {
	r := &l.rows[worker]
	l.pass(r, t)
	r.queued, r.held = 0, 0
	l.lives[worker]++
}

// course returns the means; the last step counts only as far as the history goes.
func (l *load) course(worker int) (queued, held []float32) {
	r := &l.rows[worker]
	l.pass(r, l.last)
	queued, held = make([]float32, len(r.queuedT)), make([]float32, len(r.heldT))
	for n := range queued {
		long := float64(min(l.step, l.last-int64(n)*l.step))
		if long > 0 {
			queued[n], held[n] = float32(r.queuedT[n]/long), float32(r.heldT[n]/long)
		}
	}
	return queued, held
}
