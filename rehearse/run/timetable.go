package run

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"laddertide/core/history"
	"laddertide/rehearse/clients"
	"laddertide/rehearse/fleet"
	"laddertide/rehearse/scenario"
)

// timetable plays the plan's steps, each at its time. No step holds up another: one that waits for its cue does so on a goroutine
// of its own, and each scheduler has a queue of its own, as what is done to it may have to wait until a process has been started.
// All other steps are quick and are played in turn. So steps for one scheduler keep their order, and workers return only after
// the end that the same trouble has brought them, whenever the cue for that comes.
type timetable struct {
	run    *run
	start  time.Duration // of the first arrival
	queues []chan func() // of schedulers
	// ends are those of workers that wait for their cues, by trouble. They are closed when the end has been played, or never will be.
	ends map[int]<-chan struct{}
	// visits end the visits of bad clients and strangers that come now, by the act that has begun them.
	visits map[scenario.Act]context.CancelFunc
}

// playSteps plays the plan's steps until the last of them has its time, or the run ends. What has begun then goes on.
func (r *run) playSteps(start time.Duration) {
	t := &timetable{run: r, start: start, ends: make(map[int]<-chan struct{}), visits: make(map[scenario.Act]context.CancelFunc)}
	steps := slices.Clone(r.plan.Steps)
	slices.SortStableFunc(steps, func(a, b scenario.Step) int { return cmp.Compare(a.At, b.At) })
	for range r.posts {
		queue := make(chan func(), len(steps)) // nobody waits to put something in
		t.queues = append(t.queues, queue)
		r.all.Go(func() { playQueue(r.ctx, queue) })
	}
	for _, step := range steps {
		if !sleep(r.ctx, start+step.At-r.rec.Since()) {
			return
		}
		t.begin(step)
	}
}

// playQueue does what comes in a queue, one after another, until ctx ends.
func playQueue(ctx context.Context, queue <-chan func()) {
	for {
		select {
		case play := <-queue:
			if ctx.Err() == nil {
				play()
			}
		case <-ctx.Done():
			return
		}
	}
}

// entry is what the history has of a step that is played at its time.
func (t *timetable) entry(step scenario.Step) history.Event {
	planned := (t.start + step.At).Microseconds()
	return history.Event{Kind: history.KindStep, Note: string(step.Do), From: planned, Until: planned, Limit: step.Wait.Microseconds()}
}

// begin plays a step whose time has come, or has it played when nothing that it must wait for is left.
func (t *timetable) begin(step scenario.Step) {
	end, waits := t.ends[step.Trouble]
	switch {
	case step.Wait > 0:
		played := make(chan struct{})
		t.ends[step.Trouble] = played
		t.run.all.Go(func() {
			defer close(played)
			t.playOnCue(step)
		})
	case step.Do == scenario.Return && waits:
		t.run.all.Go(func() {
			select {
			case <-end:
				t.play(step, t.entry(step))
			case <-t.run.ctx.Done():
			}
		})
	default:
		t.play(step, t.entry(step))
	}
}

// playOnCue plays a step when its cue comes or the time for that is over. A step that still waits when the run ends is not played.
func (t *timetable) playOnCue(step scenario.Step) {
	cue := fleet.Held
	if step.Arriving {
		cue = fleet.Arriving
	}
	due := t.start + step.At + step.Wait
	came, at, played := t.run.fleet.Await(t.run.ctx, step.Workers, cue, due-t.run.rec.Since())
	defer played()
	if t.run.ctx.Err() != nil {
		return
	}
	if came {
		due = at
	}
	entry := t.entry(step)
	entry.Until, entry.On = due.Microseconds(), came
	t.play(step, entry)
}

// play plays a step now, or has its schedulers' queues play it, and writes that down when it is done: in entry, once for each scheduler
// that has a queue for it.
func (t *timetable) play(step scenario.Step, entry history.Event) {
	on := step.Value > 0
	switch step.Do {
	case scenario.Crash, scenario.Vanish, scenario.Mute, scenario.Return, scenario.Slow, scenario.Cut, scenario.Mend, scenario.Hand,
		scenario.Drain:
		for _, worker := range step.Workers {
			t.run.must(t.playOnWorker(step, worker))
		}
	case scenario.Stale:
		t.run.discovery.Lag(time.Duration(step.Value * float64(time.Second)))
	case scenario.Silence:
		t.silenceDiscovery(on)
	case scenario.Part, scenario.Mute1, scenario.Lossy:
		t.run.link(step)
	case scenario.Route:
		t.run.route(step)
	case scenario.Rude, scenario.Intrude:
		t.visit(step)
	case scenario.Pause, scenario.Full, scenario.Term, scenario.Kill, scenario.Reload, scenario.Upgrade, scenario.Retune:
		for _, scheduler := range step.Schedulers {
			post, own := t.run.posts[scheduler], entry
			own.Scheduler = post.name
			t.queues[scheduler] <- func() {
				post.play(t.run.ctx, step)
				t.run.rec.Add(own)
			}
		}
		return
	}
	t.run.rec.Add(entry)
}

// playOnWorker does what a step says to one worker. One that was pushed over stays down.
func (t *timetable) playOnWorker(step scenario.Step, worker int) (err error) {
	r := t.run
	if r.fleet.Fallen(worker) {
		return nil
	}
	switch step.Do {
	case scenario.Crash:
		return r.fleet.Crash(worker)
	case scenario.Vanish:
		return r.fleet.Vanish(worker)
	case scenario.Mute:
		return r.fleet.Mute(worker)
	case scenario.Return:
		return r.fleet.Return(worker)
	case scenario.Slow:
		r.fleet.Slow(worker, step.Value)
	case scenario.Cut, scenario.Mend:
		for _, scheduler := range step.Schedulers {
			err = errors.Join(err, r.fleet.Cut(scheduler, worker, step.Do == scenario.Cut))
		}
	case scenario.Hand:
		r.all.Go(func() { r.maintain(worker, step.Down) })
	case scenario.Drain:
		r.all.Go(func() { r.release(worker, step.Stay, step.Down) })
	}
	return err
}

// silenceDiscovery makes discovery say nothing, or has it come back as one that was started anew.
func (t *timetable) silenceDiscovery(on bool) {
	for scheduler := range t.run.posts {
		if !on {
			t.run.discovery.Break(scheduler)
		}
		t.run.discovery.Silence(scheduler, on)
	}
}

// visit ends the visits that an earlier step of this act has begun, and begins those that this one wants.
func (t *timetable) visit(step scenario.Step) {
	r := t.run
	if end := t.visits[step.Do]; end != nil {
		end()
	}
	ctx, end := context.WithCancel(r.ctx)
	t.visits[step.Do] = end
	switch {
	case step.Value == 0:
		end()
	case step.Do == scenario.Rude:
		r.all.Go(func() { r.must(clients.Rude(ctx, r.rude(step, t.start))) })
	case r.links != nil:
		r.all.Go(func() { r.strangers(ctx, step.Value) })
	}
}

// rude are the bad clients of a step.
func (r *run) rude(step scenario.Step, start time.Duration) clients.RudeConfig {
	return clients.RudeConfig{Schedulers: r.clientSide(), Record: r.rec, Rate: step.Value, Seed: r.plan.Seed,
		Start: start + step.At, Length: r.plan.Length - step.At, Class: r.plan.Classes[0].Name, Tenant: r.plan.Tenants[0].Name,
		Kinds: step.Clients, Open: r.open}
}
