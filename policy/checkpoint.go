package policy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"laddertide/wire/binarycodec"
)

// A checkpoint is the whole state that determines a Dispatcher's decisions, except its settings: the random
// generator, the estimates of workers, and the open requests. No decision is made in this file.

// checkpointVersion is the first field of a checkpoint. Versions from oldestCheckpointVersion on can be read.
const (
	checkpointVersion       = 5
	oldestCheckpointVersion = 4 // its requests have no connected flag
)

// Checkpoint appends the machine's state to b.
func (d *Dispatcher) Checkpoint(b []byte) []byte {
	w := codec{Codec: binarycodec.Codec{Bytes: b}}
	w.dispatcher(d)
	return w.Bytes
}

// CheckpointEstimates appends the machine's state without its requests, for use in another dispatcher or
// process.
func (d *Dispatcher) CheckpointEstimates(b []byte) []byte {
	w := codec{Codec: binarycodec.Codec{Bytes: b}, omitRequests: true}
	w.dispatcher(d)
	return w.Bytes
}

// Restore returns a Dispatcher with the state of a checkpoint that was made under the same settings. From
// then on it makes the same decisions as the one that wrote the checkpoint.
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

// RestoreWithoutRequests returns a Dispatcher with the estimates of a checkpoint and without its requests:
// the host that continues these passes them to Dispatcher.Resume. Worker IDs in the checkpoint must be below
// ids.
func RestoreWithoutRequests(s Settings, checkpoint []byte, ids int) (*Dispatcher, error) {
	d, err := Restore(s, checkpoint)
	if err != nil {
		return nil, err
	}
	clear(d.requests)
	d.open, d.stopBy, d.splitStale = nil, 0, true
	for i := range d.workers {
		w := &d.workers[i]
		if w.id >= WorkerID(ids) {
			return nil, errors.New("checkpoint: has a worker without a name")
		}
		w.heldSlots, w.inFlight, w.notStarted, w.occupancyHeld = 0, 0, 0, 0
	}
	for i := range d.pools {
		d.pools[i].heldSlots, d.pools[i].heldRequests = 0, nil
	}
	return d, nil
}

// RestoreFromPeer returns a Dispatcher that starts with the estimates of another one that stays in
// service: the speeds, slots and health of workers, as of now on a clock that both share. Estimates that are
// specific to the other one are left out: the workers that it can reach, its arrivals, and its share of
// budgets. The random generator is new, or both would draw the same numbers.
func RestoreFromPeer(s Settings, checkpoint []byte, ids int, now time.Duration) (*Dispatcher, error) {
	d, err := RestoreWithoutRequests(s, checkpoint, ids)
	if err != nil {
		return nil, err
	}
	fresh, err := New(s)
	if err != nil {
		return nil, err
	}
	d.src, d.rng = fresh.src, fresh.rng
	d.arrivedSlots, d.arrivalSeconds, d.arrivalRate, d.localShare = 0, 0, 0, fresh.localShare
	clear(d.boundArrivedSlots)
	clear(d.boundArrivalRate)
	clear(d.tenantRate)
	d.localSends, d.remoteSends, d.zones = sendStats{}, sendStats{}, nil
	d.timersStarted, d.subscribed, d.listFailures, d.solver = false, false, 0, solver{}
	for i := range d.pools {
		d.pools[i] = pool{}
	}
	for i := range d.workers {
		w := &d.workers[i]
		if w.connectBackoff, w.connectRetryAt, w.occupancyKnown = 0, 0, false; w.coldSince == coldPending {
			w.coldSince = now // it may be restarting
		}
		w.lastSentAt = 0
		d.resetCredit(w, now)
	}
	return d, nil
}

// RestoreFromPrevious returns a Dispatcher that starts with the estimates of the previous process, from
// before a restart and of the given age: speeds and slots, decayed by that age, and the health of workers if
// health is true. If not, their health is out of date or unknown.
func RestoreFromPrevious(
	s Settings, checkpoint []byte, ids int, now, age time.Duration, health bool,
) (*Dispatcher, error) {
	d, err := RestoreFromPeer(s, checkpoint, ids, now)
	if err != nil {
		return nil, err
	}
	d.decayedAt = now - age // the next solve decays the estimates by age
	for i := range d.workers {
		if w := &d.workers[i]; !health {
			w.failures, w.successes, w.ejectedFor, w.ejectedUntil, w.coldSince = 0, 0, 0, 0, 0
		}
	}
	return d, nil
}

// EstimateLifetimes returns the time in which the estimates of kinds of workers decay to 1/e, and the
// maximum time for which a worker is ejected.
func EstimateLifetimes() (decay, ejection time.Duration) {
	return seconds(kindDecaySeconds), maxEjection
}

// ColdSendMultiple returns the multiple of its current capacity that all dispatchers together may send to a
// cold worker.
func (s *Settings) ColdSendMultiple() float64 { return coldBudgetShare * s.FallMultiple }

// AttemptWorker returns the worker that an attempt was sent to; false if its request is not open any more.
func (d *Dispatcher) AttemptWorker(id RequestID, number int) (WorkerID, bool) {
	r := d.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return 0, false
	}
	return d.workers[r.attempts[number].worker].id, true
}

// codec encodes and decodes a Dispatcher; both directions share one definition of the fields.
type codec struct {
	binarycodec.Codec
	omitRequests bool // requests are left out
	version      int
}

func (w *codec) floats(s *[]float64) { binarycodec.List(&w.Codec, s, func(v *float64) { w.Float(v) }) }

// index encodes or decodes an index into a list of length n.
func index[T ~int | ~int32](w *codec, v *T, n int) {
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
	if version < oldestCheckpointVersion || version > checkpointVersion {
		w.Fail(fmt.Sprintf("has version %d, not %d to %d",
			version, oldestCheckpointVersion, checkpointVersion))
		return
	}
	w.version = version
	w.random(d)
	binarycodec.List(&w.Codec, &d.workers, w.worker)
	binarycodec.List(&w.Codec, &d.kinds, func(k *kindStats) {
		w.Float(&k.slownessSum, &k.slownessSamples, &k.slownessSquares,
			&k.baseSlowness, &k.unboundShare, &k.slots)
		binarycodec.Integers(&w.Codec, &k.slotReports)
	})
	w.Float(&d.meanWork, &d.meanWorth, &d.slowdown, &d.baseRatio, &d.workSamples,
		&d.arrivedSlots, &d.arrivalSeconds, &d.arrivalRate, &d.failures, &d.successes,
		&d.solver.lambda, &d.localShare, &d.rerouteBudget)
	for _, s := range []*[]float64{&d.classWork, &d.classSamples, &d.boundArrivedSlots, &d.boundArrivalRate,
		&d.unboundSums, &d.boundSums, &d.tenantRate} {
		w.floats(s)
	}
	// mu, limit and xi are recomputed by every solve; freeRequests is for reuse only.
	binarycodec.List(&w.Codec, &d.drawable, func(i *int32) { index(w, i, len(d.workers)) })
	binarycodec.List(&w.Codec, &d.coldWorkers, func(i *int32) { index(w, i, len(d.workers)) })
	binarycodec.List(&w.Codec, &d.spans, func(s *span) { binarycodec.Integers(&w.Codec, &s.from, &s.to) })
	binarycodec.Integers(&w.Codec, &d.waitBudget, &d.decayedAt, &d.stopBy)
	binarycodec.Integers(&w.Codec, &d.ejected, &d.listFailures)
	w.Flag(&d.ignoreHealth, &d.splitStale, &d.timersStarted, &d.subscribed)
	binarycodec.List(&w.Codec, &d.zones, func(z *zoneReachability) {
		binarycodec.Integers(&w.Codec, &z.failures)
		binarycodec.Integers(&w.Codec, &z.backoff, &z.retryAt)
	})
	for _, t := range []*sendStats{&d.localSends, &d.remoteSends} {
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
	w.checkLengths(d)
}

// checkLengths checks the lengths of lists that the machine relies on.
func (w *codec) checkLengths(d *Dispatcher) {
	kinds, drawn := len(d.kinds), len(d.drawable)
	if len(d.pools) != kinds+1 || len(d.boundArrivedSlots) != kinds || len(d.boundArrivalRate) != kinds ||
		len(d.unboundSums) != drawn ||
		len(d.boundSums) != drawn || len(d.spans) > kinds || len(d.classWork) != len(d.set.Classes) ||
		len(d.classSamples) != len(d.set.Classes) || len(d.tenantRate) != len(d.set.Tenants) {
		w.Fail("has lists of wrong lengths")
	}
	for _, s := range d.spans {
		if s.from < 0 || s.to < s.from || s.to > len(d.drawable) {
			w.Fail("has a span out of range")
		}
	}
}

// random encodes or decodes the state of the random generator.
func (w *codec) random(d *Dispatcher) {
	state, _ := d.src.MarshalBinary() // never returns an error
	binarycodec.List(&w.Codec, &state, func(b *byte) { binarycodec.Integers(&w.Codec, b) })
	if !w.Reading || w.Err != nil {
		return
	}
	src := new(rand.PCG)
	if src.UnmarshalBinary(state) != nil {
		w.Fail("has an invalid state of the random generator")
		return
	}
	d.src, d.rng = src, rand.New(src)
}

func (w *codec) worker(x *worker) {
	binarycodec.Integers(&w.Codec, &x.id)
	binarycodec.Integers(&w.Codec, &x.kind, &x.zone, &x.cell, &x.inFlight, &x.notStarted)
	binarycodec.Integers(&w.Codec, &x.state)
	binarycodec.Integers(&w.Codec, &x.started, &x.returnedAt, &x.lastSentAt, &x.occupancyAt,
		&x.ejectedFor, &x.ejectedUntil, &x.connectBackoff, &x.connectRetryAt, &x.coldSince, &x.creditAt)
	w.Flag(&x.listed, &x.occupancyKnown)
	w.Float(&x.weight, &x.heldSlots, &x.xi, &x.load, &x.target, &x.meanRunSeconds,
		&x.slownessSum, &x.slownessSamples, &x.occupancy, &x.occupancyHeld, &x.failures,
		&x.successes, &x.credit)
	if x.kind < 0 || x.zone < 0 {
		w.Fail("has a worker without a kind or zone")
	}
}

// requests encodes or decodes the open requests and their pools. A request may belong to a pool that is no
// longer in the list, from before the list grew: such pools follow those of the list.
func (w *codec) requests(d *Dispatcher) {
	pools := make([]*pool, 0, len(d.pools)+1)
	number := make(map[*pool]int)
	add := func(p *pool) {
		if _, ok := number[p]; !ok {
			number[p] = len(pools)
			pools = append(pools, p)
		}
	}
	n, former := len(d.pools), 0
	open := d.open
	if w.omitRequests {
		open = nil
	}
	if !w.Reading {
		for i := range d.pools {
			add(&d.pools[i])
		}
		for _, r := range open {
			if r.pool != nil { // after a panic a request may have no pool
				add(r.pool)
			}
		}
		former = len(pools) - n
	}
	binarycodec.Integers(&w.Codec, &n, &former)
	if w.Reading {
		if n < 0 || former < 0 || n+former > len(w.Bytes) {
			w.Fail("has too many pools")
			return
		}
		d.pools = make([]pool, n)
		for i := range d.pools {
			add(&d.pools[i])
		}
		for range former {
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
		index(w, &p, len(pools)+1)
		if w.Reading && w.Err == nil && p < len(pools) {
			r.pool = pools[p]
		}
	})
	if w.Reading {
		d.open = open
	}
	for _, p := range pools {
		parked := p.heldRequests
		if w.omitRequests {
			parked = nil
		}
		w.Float(&p.heldSlots, &p.limit, &p.waitSamples, &p.meanWait, &p.sends.sent, &p.sends.full)
		binarycodec.Integers(&w.Codec, &p.adjustedAt)
		binarycodec.List(&w.Codec, &parked, func(at **request) {
			slot := 0
			if !w.Reading {
				slot = (*at).openIndex
			}
			if index(w, &slot, len(d.open)); w.Err == nil {
				*at = d.open[slot]
			}
		})
		if w.Reading {
			p.heldRequests = parked
		}
	}
	if w.Reading {
		clear(d.requests)
		for i, r := range d.open {
			r.openIndex = i
			d.requests[r.id] = r
		}
	}
}

func (w *codec) request(r *request, classes, workers int) {
	binarycodec.Integers(&w.Codec, &r.id)
	index(w, &r.class, classes)
	binarycodec.Integers(&w.Codec, &r.tenant, &r.inFlight, &r.fullAnswers)
	binarycodec.Integers(&w.Codec, &r.deadline, &r.aim, &r.arrivedAt, &r.timerAt)
	w.Float(&r.work, &r.slots, &r.density)
	w.Flag(&r.hinted, &r.ended, &r.parked, &r.held)
	if w.version > oldestCheckpointVersion {
		w.Flag(&r.connected)
	}
	binarycodec.List(&w.Codec, &r.attempts, func(a *attempt) {
		index(w, &a.worker, workers)
		w.Flag(&a.inFlight, &a.mayHaveRun)
		w.Float(&a.heldSlots, &a.chargedRatio)
		binarycodec.Integers(&w.Codec, &a.sent, &a.started)
	})
}
