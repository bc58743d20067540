package policy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"laddertide/wire/binarycodec"
)

// A checkpoint is all that a Dispatcher will decide by, but for its settings: its random numbers, what it
// believes of workers, and the requests that are open. Nothing here decides anything.

// checkpointVersion comes first in a checkpoint. Older ones are read back to oldestCheckpoint.
const (
	checkpointVersion = 5
	oldestCheckpoint  = 4 // its requests do not tell whether they keep a connection
)

// Checkpoint appends the machine's state to b.
func (d *Dispatcher) Checkpoint(b []byte) []byte {
	w := codec{Codec: binarycodec.Codec{Bytes: b}}
	w.dispatcher(d)
	return w.Bytes
}

// Beliefs appends the machine's state without its requests, which Inherit and Adopt leave out anyway.
func (d *Dispatcher) Beliefs(b []byte) []byte {
	w := codec{Codec: binarycodec.Codec{Bytes: b}, bare: true}
	w.dispatcher(d)
	return w.Bytes
}

// Restore returns a Dispatcher with the state of a checkpoint that was made under the same settings. It acts
// from there on as the one that made it.
func Restore(s Settings, checkpoint []byte) (*Dispatcher, error) {
	d, err := New(s)
	if err != nil {
		return nil, err
	}
	w := codec{Codec: binarycodec.Codec{Bytes: checkpoint, Reading: true}}
	w.dispatcher(d)
	if w.Err == nil && len(w.Bytes) > 0 {
		w.Fail("has bytes after its end")
	}
	if w.Err != nil {
		return nil, fmt.Errorf("checkpoint: %w", w.Err)
	}
	return d, nil
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

// Adopt returns a Dispatcher that begins with what another one, which goes on, has learnt of workers: speeds, slots and
// health, as of now on a clock that both share. What that one has seen of its own place is left out: what reaches it, what
// comes to it, and its part of budgets. Its random numbers are its own, or both would draw the same.
func Adopt(s Settings, checkpoint []byte, ids int, now time.Duration) (*Dispatcher, error) {
	d, err := Inherit(s, checkpoint, ids)
	if err != nil {
		return nil, err
	}
	own, err := New(s)
	if err != nil {
		return nil, err
	}
	d.src, d.rng = own.src, own.rng
	d.arrived, d.seen, d.rate, d.home = 0, 0, 0, own.home
	clear(d.boundIn)
	clear(d.boundRate)
	clear(d.tenantRate)
	d.near, d.far, d.zones = turnedAway{}, turnedAway{}, nil
	d.begun, d.subscribed, d.asks, d.solver = false, false, 0, solver{}
	for i := range d.pools {
		d.pools[i] = pool{}
	}
	for i := range d.workers {
		w := &d.workers[i]
		if w.awayFor, w.awayUntil, w.occSeen = 0, 0, false; w.lostAt == missing {
			w.lostAt = now // it may be starting anew
		}
		w.sentAt = 0
		d.cool(w, now)
	}
	return d, nil
}

// Recall returns a Dispatcher that begins with what one of before a restart had learnt, age ago: speeds and slots, faded by that
// time, and with health what it knew of workers' as well. Else that is over, or not known.
func Recall(s Settings, checkpoint []byte, ids int, now, age time.Duration, health bool) (*Dispatcher, error) {
	d, err := Adopt(s, checkpoint, ids, now)
	if err != nil {
		return nil, err
	}
	d.agedAt = now - age // the next solve fades it
	for i := range d.workers {
		if w := &d.workers[i]; !health {
			w.fails, w.oks, w.shutFor, w.shutUntil, w.lostAt = 0, 0, 0, 0, 0
		}
	}
	return d, nil
}

// Memory is in what time what is learnt of kinds of workers fades to 1/e, and how long one is shut out at most.
func Memory() (learnt, shut time.Duration) { return seconds(kindMemory), mostShut }

// Bears is the part of its present capacity that all dispatchers together may send to a cold worker.
func (s *Settings) Bears() float64 { return coldSafety * s.FallMultiple }

// Holder is the worker that an attempt was sent to, while its request is open.
func (d *Dispatcher) Holder(id RequestID, number int) (WorkerID, bool) {
	r := d.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return 0, false
	}
	return d.workers[r.attempts[number].worker].id, true
}

// codec encodes and decodes a Dispatcher by one definition.
type codec struct {
	binarycodec.Codec
	bare    bool // requests are left out
	version int
}

func (w *codec) floats(s *[]float64) { binarycodec.List(&w.Codec, s, func(v *float64) { w.Float(v) }) }

// place goes over a number that must be a place among n.
func place[T ~int | ~int32](w *codec, v *T, n int) {
	binarycodec.Integers(&w.Codec, v)
	if !w.Reading {
		return
	}
	if *v < 0 || int(*v) >= n {
		w.Fail("names something that is not there")
	}
	if w.Err != nil {
		*v = 0
	}
}

func (w *codec) dispatcher(d *Dispatcher) {
	version := checkpointVersion
	binarycodec.Integers(&w.Codec, &version)
	if version < oldestCheckpoint || version > checkpointVersion {
		w.Fail(fmt.Sprintf("has version %d, not %d to %d", version, oldestCheckpoint, checkpointVersion))
		return
	}
	w.version = version
	w.random(d)
	binarycodec.List(&w.Codec, &d.workers, w.worker)
	binarycodec.List(&w.Codec, &d.kinds, func(k *kindStats) {
		w.Float(&k.slowSum, &k.slowN, &k.slowSq, &k.base, &k.guest, &k.slots)
		binarycodec.Integers(&w.Codec, &k.shown)
	})
	w.Float(&d.meanWork, &d.worthSeen, &d.slowdown, &d.calm, &d.workN, &d.arrived, &d.seen, &d.rate, &d.fails, &d.oks,
		&d.solver.lambda, &d.home, &d.twice)
	for _, s := range []*[]float64{&d.classWork, &d.classN, &d.boundIn, &d.boundRate, &d.all, &d.bound, &d.tenantRate} {
		w.floats(s)
	}
	// mu, limit and xi are made anew by every solve; spare is memory.
	binarycodec.List(&w.Codec, &d.order, func(i *int32) { place(w, i, len(d.workers)) })
	binarycodec.List(&w.Codec, &d.cold, func(i *int32) { place(w, i, len(d.workers)) })
	binarycodec.List(&w.Codec, &d.spans, func(s *span) { binarycodec.Integers(&w.Codec, &s.from, &s.to) })
	binarycodec.Integers(&w.Codec, &d.budget, &d.agedAt, &d.stopBy)
	binarycodec.Integers(&w.Codec, &d.shut, &d.asks)
	w.Flag(&d.crowded, &d.dirty, &d.begun, &d.subscribed)
	binarycodec.List(&w.Codec, &d.zones, func(z *zone) {
		binarycodec.Integers(&w.Codec, &z.fails)
		binarycodec.Integers(&w.Codec, &z.wait, &z.until)
	})
	for _, t := range []*turnedAway{&d.near, &d.far} {
		w.Float(&t.sent, &t.full, &t.startDelay.Mean, &t.startDelay.Dev)
	}
	w.requests(d)
	if !w.Reading || w.Err != nil {
		return
	}
	clear(d.index)
	for i := range d.workers {
		d.index[d.workers[i].id] = int32(i)
	}
	w.sound(d)
}

// sound checks what the machine takes for granted of the sizes of its lists.
func (w *codec) sound(d *Dispatcher) {
	kinds, drawn := len(d.kinds), len(d.order)
	if len(d.pools) != kinds+1 || len(d.boundIn) != kinds || len(d.boundRate) != kinds || len(d.all) != drawn ||
		len(d.bound) != drawn || len(d.spans) > kinds || len(d.classWork) != len(d.set.Classes) ||
		len(d.classN) != len(d.set.Classes) || len(d.tenantRate) != len(d.set.Tenants) {
		w.Fail("has lists of wrong lengths")
	}
	for _, s := range d.spans {
		if s.from < 0 || s.to < s.from || s.to > len(d.order) {
			w.Fail("has a span out of range")
		}
	}
}

// random goes over the state of the random numbers.
func (w *codec) random(d *Dispatcher) {
	state, _ := d.src.MarshalBinary() // has no errors
	binarycodec.List(&w.Codec, &state, func(b *byte) { binarycodec.Integers(&w.Codec, b) })
	if !w.Reading || w.Err != nil {
		return
	}
	src := new(rand.PCG)
	if src.UnmarshalBinary(state) != nil {
		w.Fail("has no random numbers")
		return
	}
	d.src, d.rng = src, rand.New(src)
}

func (w *codec) worker(x *worker) {
	binarycodec.Integers(&w.Codec, &x.id)
	binarycodec.Integers(&w.Codec, &x.kind, &x.zone, &x.cell, &x.tries, &x.waiting)
	binarycodec.Integers(&w.Codec, &x.state)
	binarycodec.Integers(&w.Codec, &x.started, &x.back, &x.sentAt, &x.occAt, &x.shutFor, &x.shutUntil, &x.awayFor, &x.awayUntil, &x.lostAt, &x.creditAt)
	w.Flag(&x.listed, &x.occSeen)
	w.Float(&x.weight, &x.held, &x.xi, &x.load, &x.target, &x.run, &x.slowSum, &x.slowN, &x.occ, &x.occHeld, &x.fails,
		&x.oks, &x.credit)
	if x.kind < 0 || x.zone < 0 {
		w.Fail("has a worker without a kind or zone")
	}
}

// requests goes over the open requests and the pools that hold them. A request of before the list of pools
// grew still belongs to the pool as it was: such pools come after those of the list.
func (w *codec) requests(d *Dispatcher) {
	pools := make([]*pool, 0, len(d.pools)+1)
	number := make(map[*pool]int)
	add := func(p *pool) {
		if _, ok := number[p]; !ok {
			number[p] = len(pools)
			pools = append(pools, p)
		}
	}
	n, more := len(d.pools), 0
	open := d.open
	if w.bare {
		open = nil
	}
	if !w.Reading {
		for i := range d.pools {
			add(&d.pools[i])
		}
		for _, r := range open {
			if r.pool != nil { // a panic may have left one without
				add(r.pool)
			}
		}
		more = len(pools) - n
	}
	binarycodec.Integers(&w.Codec, &n, &more)
	if w.Reading {
		if n < 0 || more < 0 || n+more > len(w.Bytes) {
			w.Fail("has too many pools")
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
	binarycodec.List(&w.Codec, &open, func(at **request) {
		if w.Reading {
			*at = new(request)
		}
		r := *at
		w.request(r, len(d.set.Classes), len(d.workers))
		p := len(pools) // none
		if n, ok := number[r.pool]; ok {
			p = n
		}
		place(w, &p, len(pools)+1)
		if w.Reading && w.Err == nil && p < len(pools) {
			r.pool = pools[p]
		}
	})
	if w.Reading {
		d.open = open
	}
	for _, p := range pools {
		parked := p.parked
		if w.bare {
			parked = nil
		}
		w.Float(&p.held, &p.limit, &p.seen, &p.wait, &p.turned.sent, &p.turned.full)
		binarycodec.Integers(&w.Codec, &p.at)
		binarycodec.List(&w.Codec, &parked, func(at **request) {
			slot := 0
			if !w.Reading {
				slot = (*at).slot
			}
			if place(w, &slot, len(d.open)); w.Err == nil {
				*at = d.open[slot]
			}
		})
		if w.Reading {
			p.parked = parked
		}
	}
	if w.Reading {
		clear(d.requests)
		for i, r := range d.open {
			r.slot = i
			d.requests[r.id] = r
		}
	}
}

func (w *codec) request(r *request, classes, workers int) {
	binarycodec.Integers(&w.Codec, &r.id)
	place(w, &r.class, classes)
	binarycodec.Integers(&w.Codec, &r.tenant, &r.out, &r.fulls)
	binarycodec.Integers(&w.Codec, &r.deadline, &r.aim, &r.born, &r.wakeAt)
	w.Float(&r.work, &r.slots, &r.density)
	w.Flag(&r.hinted, &r.ended, &r.parked, &r.held)
	if w.version > oldestCheckpoint {
		w.Flag(&r.connected)
	}
	binarycodec.List(&w.Codec, &r.attempts, func(a *attempt) {
		place(w, &a.worker, workers)
		w.Flag(&a.out, &a.mayRun)
		w.Float(&a.held, &a.blamed)
		binarycodec.Integers(&w.Codec, &a.sent, &a.started)
	})
}
