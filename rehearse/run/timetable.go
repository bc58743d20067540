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

// timetable applies the plan's steps, each at its time. No step delays another: a step that waits for its cue does so on a
// goroutine of its own, and each scheduler has a queue of its own, as its steps may have to wait until a process has been
// started. All other steps are quick and are applied in turn. So steps for one scheduler keep their order, and workers return
// only after the step of the same trouble that ends them, whenever the cue for that comes.
type timetable struct {
	run    *run
	start  time.Duration // of the first arrival
	queues []chan func() // by scheduler
	// pendingEnds has a channel for each trouble whose step that ends workers waits for its cue. It is closed when that step has been
	// applied, or never will be.
	pendingEnds map[int]<-chan struct{}
	// stopTraffic has the functions that stop the current misbehaving clients and strangers, by the act that started them.
	stopTraffic map[scenario.Act]context.CancelFunc
}

// applySteps applies the plan's steps and returns when the last of them has been started, or the run ends. Steps that have
// been started continue in the background.
func (r *run) applySteps(start time.Duration) {
	t := &timetable{run: r, start: start, pendingEnds: make(map[int]<-chan struct{}), stopTraffic: make(map[scenario.Act]context.CancelFunc)}
	steps := slices.Clone(r.plan.Steps)
	slices.SortStableFunc(steps, func(a, b scenario.Step) int { return cmp.Compare(a.At, b.At) })
	for range r.hosts {
		queue := make(chan func(), len(steps)) // has room for all steps, so that sending never blocks
		t.queues = append(t.queues, queue)
		r.goroutines.Go(func() { runQueue(r.ctx, queue) })
	}
	for _, step := range steps {
		if !sleep(r.ctx, start+step.At-r.rec.Since()) {
			return
		}
		t.schedule(step)
	}
}

// runQueue executes the functions in a queue, one after another, until ctx ends.
func runQueue(ctx context.Context, queue <-chan func()) {
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

// stepEvent returns the event for the history of a step that is applied at its planned time.
func (t *timetable) stepEvent(step scenario.Step) history.Event {
	planned := (t.start + step.At).Microseconds()
	return history.Event{Kind: history.KindStep, Note: string(step.Act), From: planned, Until: planned, Limit: step.MaxWait.Microseconds()}
}

// schedule applies a step whose time has come, or has it applied once what it must wait for has happened.
func (t *timetable) schedule(step scenario.Step) {
	endApplied, pending := t.pendingEnds[step.Trouble]
	switch {
	case step.MaxWait > 0:
		played := make(chan struct{})
		t.pendingEnds[step.Trouble] = played
		t.run.goroutines.Go(func() {
			defer close(played)
			t.applyOnCue(step)
		})
	case step.Act == scenario.StartCold && pending:
		t.run.goroutines.Go(func() {
			select {
			case <-endApplied:
				t.apply(step, t.stepEvent(step))
			case <-t.run.ctx.Done():
			}
		})
	default:
		t.apply(step, t.stepEvent(step))
	}
}

// applyOnCue applies a step when its cue comes or the time limit for that is over. A step that still waits when the run ends
// is not applied.
func (t *timetable) applyOnCue(step scenario.Step) {
	cue := fleet.JobTaken
	if step.Arriving {
		cue = fleet.JobArriving
	}
	due := t.start + step.At + step.MaxWait
	came, at, played := t.run.fleet.AwaitCue(t.run.ctx, step.Workers, cue, due-t.run.rec.Since())
	defer played()
	if t.run.ctx.Err() != nil {
		return
	}
	if came {
		due = at
	}
	entry := t.stepEvent(step)
	entry.Until, entry.On = due.Microseconds(), came
	t.apply(step, entry)
}

// apply applies a step now, or puts it into the queues of its schedulers, and records entry when that is done: steps for
// schedulers once for each of them.
func (t *timetable) apply(step scenario.Step, entry history.Event) {
	on := step.Value > 0
	switch step.Act {
	case scenario.Crash, scenario.MachineSilent, scenario.MachineUnresponsive, scenario.StartCold, scenario.SlowWorkers, scenario.NetworkCut, scenario.EndNetworkCut, scenario.OperatorChange,
		scenario.Drain:
		for _, worker := range step.Workers {
			t.run.must(t.applyToWorker(step, worker))
		}
	case scenario.DelayDiscovery:
		t.run.discovery.Lag(time.Duration(step.Value * float64(time.Second)))
	case scenario.SilenceDiscovery:
		t.silenceDiscovery(on)
	case scenario.CutPeers, scenario.CutPeersOneWay, scenario.LosePackets:
		t.run.setLinks(step)
	case scenario.LinkFault:
		t.run.setRoutes(step)
	case scenario.BadClients, scenario.PeerStrangers:
		t.setBadTraffic(step)
	case scenario.Pause, scenario.DiskFull, scenario.Term, scenario.Kill, scenario.Reload, scenario.Upgrade, scenario.SettingsChange:
		for _, scheduler := range step.Schedulers {
			host, own := t.run.hosts[scheduler], entry
			own.Scheduler = host.name
			t.queues[scheduler] <- func() {
				host.apply(t.run.ctx, step)
				t.run.rec.Add(own)
			}
		}
		return
	}
	t.run.rec.Add(entry)
}

// applyToWorker applies a step to one worker. A worker that has fallen under overload stays down.
func (t *timetable) applyToWorker(step scenario.Step, worker int) (err error) {
	r := t.run
	if r.fleet.Fallen(worker) {
		return nil
	}
	switch step.Act {
	case scenario.Crash:
		return r.fleet.Crash(worker)
	case scenario.MachineSilent:
		return r.fleet.Vanish(worker)
	case scenario.MachineUnresponsive:
		return r.fleet.Mute(worker)
	case scenario.StartCold:
		return r.fleet.Return(worker)
	case scenario.SlowWorkers:
		r.fleet.Slow(worker, step.Value)
	case scenario.NetworkCut, scenario.EndNetworkCut:
		for _, scheduler := range step.Schedulers {
			err = errors.Join(err, r.fleet.SetCut(scheduler, worker, step.Act == scenario.NetworkCut))
		}
	case scenario.OperatorChange:
		r.goroutines.Go(func() { r.maintainWorker(worker, step.Down) })
	case scenario.Drain:
		r.goroutines.Go(func() { r.replaceWorker(worker, step.MinDrain, step.Down) })
	}
	return err
}

// silenceDiscovery makes discovery silent, or ends the silence with new connections, as after a restart.
func (t *timetable) silenceDiscovery(on bool) {
	for scheduler := range t.run.hosts {
		if !on {
			t.run.discovery.Break(scheduler)
		}
		t.run.discovery.Silence(scheduler, on)
	}
}

// setBadTraffic stops the misbehaving clients or strangers that an earlier step of this act has started, and starts those of this step.
func (t *timetable) setBadTraffic(step scenario.Step) {
	r := t.run
	if end := t.stopTraffic[step.Act]; end != nil {
		end()
	}
	ctx, end := context.WithCancel(r.ctx)
	t.stopTraffic[step.Act] = end
	switch {
	case step.Value == 0:
		end()
	case step.Act == scenario.BadClients:
		r.goroutines.Go(func() { r.must(clients.RunBadClients(ctx, r.badClients(step, t.start))) })
	case r.links != nil:
		r.goroutines.Go(func() { r.connectStrangers(ctx, step.Value) })
	}
}

// badClients returns the configuration of a step's misbehaving clients.
func (r *run) badClients(step scenario.Step, start time.Duration) clients.BadClientConfig {
	return clients.BadClientConfig{Schedulers: r.clientSchedulers(), Record: r.rec, Rate: step.Value, Seed: r.plan.Seed,
		Start: start + step.At, Length: r.plan.Length - step.At, Class: r.plan.Classes[0].Name, Tenant: r.plan.Tenants[0].Name,
		Kinds: step.Clients, OpenRequests: r.openRequests}
}
