package policy

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
)

// A checkpoint is all that a Dispatcher will decide by, but for its settings: its random numbers, what it
// believes of workers, and the requests that are open. Nothing here decides anything.

// checkpointVersion comes first in a checkpoint. Another one is not read.
const checkpointVersion = 3

// Checkpoint appends the machine's state to b.
func (d *Dispatcher) Checkpoint(b []byte) []byte {
	w := walker{b: b}
	w.dispatcher(d)
	return w.b
}

// Restore returns a Dispatcher with the state of a checkpoint that was made under the same settings. It acts
// from there on as the one that made it.
func Restore(s Settings, checkpoint []byte) (*Dispatcher, error) {
	d, err := New(s)
	if err != nil {
		return nil, err
	}
	w := walker{b: checkpoint, reading: true}
	w.dispatcher(d)
	if w.err == nil && len(w.b) > 0 {
		w.fail("has bytes after its end")
	}
	return d, w.err
}

// Inherit returns a Dispatcher that believes what the one of a checkpoint did, and has none of its requests: another host
// goes on with them, and hands them over by Resume. Workers' ids must be below ids.
func Inherit(s Settings, checkpoint []byte, ids int) (*Dispatcher, error) {
	d, err := Restore(s, checkpoint)
	if err != nil {
		return nil, err
	}
	clear(d.requests)
	d.open, d.stopBy, d.dirty = nil, 0, true
	for i := range d.workers {
		w := &d.workers[i]
		if w.id >= WorkerID(ids) {
			return nil, errors.New("checkpoint: has a worker that nobody is called by")
		}
		w.held, w.tries, w.waiting, w.occHeld = 0, 0, 0, 0
	}
	for i := range d.pools {
		d.pools[i].held, d.pools[i].parked = 0, nil
	}
	return d, nil
}

// Holder is the worker that an attempt was sent to, while its request is open.
func (d *Dispatcher) Holder(id RequestID, number int) (WorkerID, bool) {
	r := d.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return 0, false
	}
	return d.workers[r.attempts[number].worker].id, true
}

// walker writes values to b, or reads them from it. One walk serves both, so that they cannot disagree.
type walker struct {
	b       []byte
	reading bool
	err     error
}

func (w *walker) fail(why string) {
	if w.err == nil {
		w.err = errors.New("checkpoint: " + why)
	}
}

// whole walks over whole numbers.
func whole[T ~int | ~int32 | ~int64 | ~uint8 | ~uint64](w *walker, values ...*T) {
	for _, v := range values {
		if !w.reading {
			w.b = binary.AppendVarint(w.b, int64(*v))
			continue
		}
		x, n := binary.Varint(w.b)
		if n <= 0 {
			w.fail("ends early")
			w.b = nil
			return
		}
		*v, w.b = T(x), w.b[n:]
		if int64(*v) != x {
			w.fail("has a number out of range")
		}
	}
}

func (w *walker) float(values ...*float64) {
	for _, v := range values {
		if !w.reading {
			w.b = binary.LittleEndian.AppendUint64(w.b, math.Float64bits(*v))
			continue
		}
		if len(w.b) < 8 {
			w.fail("ends early")
			w.b = nil
			return
		}
		*v, w.b = math.Float64frombits(binary.LittleEndian.Uint64(w.b)), w.b[8:]
	}
}

func (w *walker) flag(values ...*bool) {
	for _, v := range values {
		n := 0
		if *v {
			n = 1
		}
		whole(w, &n)
		*v = n != 0
	}
}

// list walks over a slice. Each element takes at least a byte, so a wrong length costs no memory.
func list[T any](w *walker, s *[]T, each func(*T)) {
	n := len(*s)
	whole(w, &n)
	if w.reading {
		if n < 0 || n > len(w.b) {
			w.fail("has a list out of range")
			n = 0
		}
		*s = make([]T, n)
	}
	for i := range *s {
		each(&(*s)[i])
	}
}

func (w *walker) floats(s *[]float64) { list(w, s, func(v *float64) { w.float(v) }) }

// place walks over a number that must be a place among n.
func place[T ~int | ~int32](w *walker, v *T, n int) {
	whole(w, v)
	if !w.reading {
		return
	}
	if *v < 0 || int(*v) >= n {
		w.fail("names something that is not there")
	}
	if w.err != nil {
		*v = 0
	}
}

func (w *walker) dispatcher(d *Dispatcher) {
	version := checkpointVersion
	whole(w, &version)
	if version != checkpointVersion {
		w.fail(fmt.Sprintf("has version %d, not %d", version, checkpointVersion))
		return
	}
	w.random(d)
	list(w, &d.workers, w.worker)
	list(w, &d.kinds, func(k *kindStats) {
		w.float(&k.slowSum, &k.slowN, &k.slowSq, &k.base, &k.guest, &k.slots)
		whole(w, &k.shown)
	})
	w.float(&d.meanWork, &d.worthSeen, &d.slowdown, &d.calm, &d.workN, &d.arrived, &d.seen, &d.rate, &d.fails, &d.oks,
		&d.solver.lambda, &d.home)
	for _, s := range []*[]float64{&d.classWork, &d.classN, &d.boundIn, &d.boundRate, &d.all, &d.bound, &d.tenantRate} {
		w.floats(s)
	}
	// mu, limit and xi are made anew by every solve; spare is memory.
	list(w, &d.order, func(i *int32) { place(w, i, len(d.workers)) })
	list(w, &d.cold, func(i *int32) { place(w, i, len(d.workers)) })
	list(w, &d.spans, func(s *span) { whole(w, &s.from, &s.to) })
	whole(w, &d.budget, &d.agedAt, &d.stopBy)
	whole(w, &d.shut, &d.asks)
	w.flag(&d.crowded, &d.dirty, &d.begun, &d.subscribed)
	list(w, &d.zones, func(z *zone) {
		whole(w, &z.fails)
		whole(w, &z.wait, &z.until)
	})
	for _, t := range []*turnedAway{&d.near, &d.far} {
		w.float(&t.sent, &t.full, &t.prompt.Mean, &t.prompt.Dev)
	}
	w.requests(d)
	if !w.reading || w.err != nil {
		return
	}
	clear(d.index)
	for i := range d.workers {
		d.index[d.workers[i].id] = int32(i)
	}
	w.sound(d)
}

// sound checks what the machine takes for granted of the sizes of its lists.
func (w *walker) sound(d *Dispatcher) {
	kinds, drawn := len(d.kinds), len(d.order)
	if len(d.pools) != kinds+1 || len(d.boundIn) != kinds || len(d.boundRate) != kinds || len(d.all) != drawn ||
		len(d.bound) != drawn || len(d.spans) > kinds || len(d.classWork) != len(d.set.Classes) ||
		len(d.classN) != len(d.set.Classes) || len(d.tenantRate) != len(d.set.Tenants) {
		w.fail("has lists of wrong lengths")
	}
	for _, s := range d.spans {
		if s.from < 0 || s.to < s.from || s.to > len(d.order) {
			w.fail("has a span out of range")
		}
	}
}

// random walks over the state of the random numbers.
func (w *walker) random(d *Dispatcher) {
	state, _ := d.src.MarshalBinary() // has no errors
	list(w, &state, func(b *byte) { whole(w, b) })
	if !w.reading || w.err != nil {
		return
	}
	src := new(rand.PCG)
	if src.UnmarshalBinary(state) != nil {
		w.fail("has no random numbers")
		return
	}
	d.src, d.rng = src, rand.New(src)
}

func (w *walker) worker(x *worker) {
	whole(w, &x.id)
	whole(w, &x.kind, &x.zone, &x.cell, &x.tries, &x.waiting)
	whole(w, &x.state)
	whole(w, &x.started, &x.back, &x.sentAt, &x.occAt, &x.shutFor, &x.shutUntil, &x.awayFor, &x.awayUntil, &x.lostAt, &x.creditAt)
	w.flag(&x.listed, &x.occSeen)
	w.float(&x.weight, &x.held, &x.xi, &x.load, &x.target, &x.run, &x.slowSum, &x.slowN, &x.occ, &x.occHeld, &x.fails,
		&x.oks, &x.credit)
	if x.kind < 0 || x.zone < 0 {
		w.fail("has a worker without a kind or zone")
	}
}

// requests walks over the open requests and the pools that hold them. A request of before the list of pools
// grew still belongs to the pool as it was: such pools come after those of the list.
func (w *walker) requests(d *Dispatcher) {
	pools := make([]*pool, 0, len(d.pools)+1)
	number := make(map[*pool]int)
	add := func(p *pool) {
		if _, ok := number[p]; !ok {
			number[p] = len(pools)
			pools = append(pools, p)
		}
	}
	n, more := len(d.pools), 0
	if !w.reading {
		for i := range d.pools {
			add(&d.pools[i])
		}
		for _, r := range d.open {
			if r.pool != nil { // a panic may have left one without
				add(r.pool)
			}
		}
		more = len(pools) - n
	}
	whole(w, &n, &more)
	if w.reading {
		if n < 0 || more < 0 || n+more > len(w.b) {
			w.fail("has too many pools")
			return
		}
		d.pools = make([]pool, n)
		for i := range d.pools {
			add(&d.pools[i])
		}
		for range more {
			add(new(pool))
		}
	}
	list(w, &d.open, func(at **request) {
		if w.reading {
			*at = new(request)
		}
		r := *at
		w.request(r, len(d.set.Classes), len(d.workers))
		p := len(pools) // none
		if n, ok := number[r.pool]; ok {
			p = n
		}
		place(w, &p, len(pools)+1)
		if w.reading && w.err == nil && p < len(pools) {
			r.pool = pools[p]
		}
	})
	for _, p := range pools {
		w.float(&p.held, &p.limit, &p.wait, &p.turned.sent, &p.turned.full)
		whole(w, &p.at)
		list(w, &p.parked, func(at **request) {
			slot := 0
			if !w.reading {
				slot = (*at).slot
			}
			if place(w, &slot, len(d.open)); w.err == nil {
				*at = d.open[slot]
			}
		})
	}
	if w.reading {
		clear(d.requests)
		for i, r := range d.open {
			r.slot = i
			d.requests[r.id] = r
		}
	}
}

func (w *walker) request(r *request, classes, workers int) {
	whole(w, &r.id)
	place(w, &r.class, classes)
	whole(w, &r.tenant, &r.out, &r.fulls)
	whole(w, &r.deadline, &r.aim, &r.born, &r.wakeAt)
	w.float(&r.work, &r.slots, &r.density)
	w.flag(&r.hinted, &r.ended, &r.parked, &r.held)
	list(w, &r.attempts, func(a *attempt) {
		place(w, &a.worker, workers)
		w.flag(&a.out, &a.mayRun)
		w.float(&a.held, &a.blamed)
		whole(w, &a.sent, &a.started)
	})
}
