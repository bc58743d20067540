package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"laddertide/core/traffic"
)

// agreeWithin is the time within which schedulers must report the same view of each other after the last trouble: one that was cut
// off alone suspects each of the others for up to six times as long as one whose suspicion is confirmed, looks for a lost peer
// every half second, and waits until all have been notified. knownWithin is the time within which all must know of a started process.
const (
	agreeWithin = 16 * time.Second
	knownWithin = 4 * time.Second
)

// maxStepWait is the longest Step.MaxWait of a step that ends a worker.
const maxStepWait = 4 * time.Second

// drawTroubles builds the timetable. Each trouble draws from a random stream of its own.
func (p *Plan) drawTroubles(s *Scenario, times float64) {
	if s.BadClientRate.Given {
		p.Steps = append(p.Steps, Step{At: 0, Act: BadClients, Value: s.BadClientRate.Lo})
	}
	end := time.Duration(0) // of the previous trouble
	// Steps that end workers alternate between waiting for a running job and for an arriving one, so that a scenario with
	// two of them covers both. Jobs held by a crashed process can be reported as lost, so a crash starts with a running job.
	waitForArriving := len(s.Troubles) > 0 && s.Troubles[0].Kind != "crash"
	for i := range s.Troubles {
		t, first := &s.Troubles[i], len(p.Steps)
		c := RandomStream(p.Seed, fmt.Sprintf("trouble %d %s", i, t.Kind))
		at := seconds(t.At.withDefault(6, 8).draw(c))
		if t.After.Given {
			at = end + seconds(t.After.draw(c))
		}
		length := seconds(t.For.withDefault(0, 0).draw(c))
		every := seconds(t.Every.withDefault(6, 6).draw(c))
		to := at + length
		addPair := func(on, off Step) {
			on.At, off.At = at, to
			p.Steps = append(p.Steps, on, off)
		}
		part := t.Part.withDefault(1, 1).draw(c)
		if t.Part.Given {
			part = min(1, part*times)
		}
		workers := sample(c, len(p.Workers), part)
		switch t.Kind {
		case "provider-cut", "provider-slow", "provider-reset", "discovery-cut", "discovery-slow", "discovery-reset":
			// All of these affect the same schedulers, so that one can lose several links at once.
			schedulers := sample(RandomStream(p.Seed, "routes"), len(p.Schedulers), t.Count.withDefault(1, 1).Lo/float64(len(p.Schedulers)))
			st := Step{Act: LinkFault, Schedulers: schedulers, FailsFrom: t.Direction != "back", FailsTo: t.Direction != "there", Note: t.Kind + " " + t.Direction}
			if strings.HasPrefix(t.Kind, "provider") {
				st.Workers = workers
			}
			switch {
			case strings.HasSuffix(t.Kind, "slow"):
				st.Down = seconds(t.Delay.draw(c))
			case strings.HasSuffix(t.Kind, "reset"):
				st.Bytes = int64(t.Bytes.draw(c))
			}
			on := st
			on.Value = 1
			addPair(on, st)
			p.Relays = true
		case "crash", "vanish", "mute":
			on := Step{Act: Act(t.Kind), Workers: workers, MaxWait: min(maxStepWait, length/2), Arriving: waitForArriving}
			waitForArriving = !waitForArriving
			addPair(on, Step{Act: StartCold, Workers: workers})
		case "cut":
			at := sample(c, len(p.Schedulers), t.Count.withDefault(1, 1).Lo/float64(len(p.Schedulers)))
			addPair(Step{Act: NetworkCut, Workers: workers, Schedulers: at}, Step{Act: EndNetworkCut, Workers: workers, Schedulers: at})
		case "full":
			at := sample(c, len(p.Schedulers), t.Count.withDefault(1, 1).Lo/float64(len(p.Schedulers)))
			addPair(Step{Act: DiskFull, Schedulers: at, Value: 1}, Step{Act: DiskFull, Schedulers: at})
		case "slow":
			addPair(Step{Act: SlowWorkers, Workers: workers, Value: t.Factor.draw(c)}, Step{Act: SlowWorkers, Workers: workers, Value: 1})
		case "burst":
			size := t.RateFactor.draw(c)
			p.Traffic.Bursts = append(p.Traffic.Bursts, traffic.Burst{At: at, Length: length, Factor: size,
				Rise: min(length/3, 500*time.Millisecond), Fall: min(length/3, 500*time.Millisecond)})
		case "stale":
			addPair(Step{Act: DelayDiscovery, Value: t.Delay.draw(c)}, Step{Act: DelayDiscovery})
		case "lost-roster":
			addPair(Step{Act: SilenceDiscovery, Value: 1}, Step{Act: SilenceDiscovery})
		case "drain":
			for j, w := range workers {
				stay := t.MinDrain.withDefault(6, 6)
				if j%3 == 0 {
					// Long enough that a scheduler that never asks discovery counts as notified while the worker still drains.
					stay.Lo = stay.Hi
				}
				p.Steps = append(p.Steps, Step{At: at + time.Duration(j)*every, Act: Drain, Workers: []int{w}, Down: length,
					MinDrain: seconds(stay.draw(c))})
			}
			to = at + time.Duration(len(workers))*every + length
		case "retune":
			all := make([]int, len(p.Schedulers))
			for j := range all {
				all[j] = j
			}
			p.Steps = append(p.Steps, Step{At: at, Act: SettingsChange, Schedulers: all})
			to = at + 2*time.Second
		case "hand":
			for j, w := range workers {
				p.Steps = append(p.Steps, Step{At: at + time.Duration(j)*every, Act: OperatorChange, Workers: []int{w}, Down: length})
			}
			p.Admin, to = true, at+time.Duration(len(workers))*every+length
		case "restart", "kill", "old-roster", "reload", "upgrade":
			p.Admin = p.Admin || t.Kind == "upgrade"
			n := t.Count.withDefault(float64(len(p.Schedulers)), 0).Lo
			do := map[string]Act{"restart": Term, "kill": Kill, "old-roster": Kill, "reload": Reload, "upgrade": Upgrade}[t.Kind]
			if t.Kind != "restart" && t.Kind != "upgrade" && !t.Count.Given {
				n = 1
			}
			order := c.Perm(len(p.Schedulers))
			for j := range int(n) {
				st := Step{At: at + time.Duration(j)*every, Act: do, Schedulers: []int{order[j%len(order)]}, Down: length, OldLists: t.Kind == "old-roster"}
				if do == Reload { // a new configuration is sent to all schedulers
					st.Schedulers = order
				}
				p.Steps = append(p.Steps, st)
				to = st.At + length
			}
			to += time.Second
		case "signals":
			to = p.drawSignals(c, t, at)
		case "blackout":
			to = p.drawBlackouts(c, t, at)
		case "kills":
			to = p.drawKills(c, t, at)
		case "pauses":
			to = p.drawPauses(c, t, at)
		case "peer-troubles":
			to = p.drawPeerTroubles(c, t, at)
		case "peer-cut":
			n := t.Count.withDefault(1, 1).drawInt(c)
			side := sample(c, len(p.Schedulers), t.Part.withDefault(0.5, 0.5).draw(c))
			for k := range n {
				on := at + time.Duration(k)*(length+every)
				to = on + length
				p.Steps = append(p.Steps, Step{At: on, Act: CutPeers, Schedulers: side, Value: 1}, Step{At: to, Act: CutPeers, Schedulers: side})
			}
		case "peer-oneway":
			side := sample(c, len(p.Schedulers), t.Part.withDefault(0.5, 0.5).draw(c))
			addPair(Step{Act: CutPeersOneWay, Schedulers: side, Value: 1}, Step{Act: CutPeersOneWay, Schedulers: side})
		case "peer-lossy":
			addPair(Step{Act: LosePackets, Value: t.Loss.draw(c), Down: seconds(t.Delay.withDefault(0.02, 0.02).draw(c))}, Step{Act: LosePackets})
		case "peer-strangers":
			addPair(Step{Act: PeerStrangers, Value: t.Rate.draw(c)}, Step{Act: PeerStrangers})
		case "herd":
			p.Steps = append(p.Steps, Step{At: at, Act: Kill, Schedulers: sample(c, len(p.Schedulers), part), Down: length})
			to += time.Second
		case "pause":
			at := sample(c, len(p.Schedulers), t.Count.withDefault(1, 1).Lo/float64(len(p.Schedulers)))
			addPair(Step{Act: Pause, Schedulers: at, Value: 1}, Step{Act: Pause, Schedulers: at})
		case "rude":
			addPair(Step{Act: BadClients, Value: t.Rate.draw(c), Clients: t.Clients}, Step{Act: BadClients})
		}
		for j := range p.Steps[first:] {
			p.Steps[first+j].Trouble = i + 1
		}
		end = to
		p.TroubleIntervals = append(p.TroubleIntervals, TroubleInterval{t.Kind, at, to})
	}
}

// drawKills adds kills of all schedulers in turn, and returns the time at which the last one ends. Some are followed by a
// kill of the next process, possibly during its recovery.
func (p *Plan) drawKills(c *rand.Rand, t *Trouble, at time.Duration) (to time.Duration) {
	order := c.Perm(len(p.Schedulers))
	kill := func(at time.Duration, scheduler int) time.Duration {
		down := seconds(t.For.draw(c))
		p.Steps = append(p.Steps, Step{At: at, Act: Kill, Schedulers: []int{scheduler}, Down: down, KillStarting: true})
		return at + down
	}
	twice := t.SecondKill.withDefault(0, 0).draw(c)
	for j := range t.Count.drawInt(c) {
		whom := order[j%len(order)]
		restarted := kill(at, whom)
		if c.Float64() < twice {
			restarted = kill(restarted+time.Duration(c.Float64()*float64(time.Second)), whom)
		}
		to = max(to, restarted)
		at += seconds(t.Every.draw(c))
	}
	return to + time.Second
}

// drawSignals stops schedulers in turn, by SIGTERM once or twice, after SIGHUP, or by SIGKILL, and returns the time by which the
// last one serves again.
func (p *Plan) drawSignals(c *rand.Rand, t *Trouble, at time.Duration) (to time.Duration) {
	order := c.Perm(len(p.Schedulers))
	for j := range t.Count.drawInt(c) {
		st := Step{At: at, Act: Term, Schedulers: []int{order[j%len(order)]}, SignalGap: time.Duration(c.Float64() * float64(maxSignalGap))}
		switch c.IntN(5) {
		case 0:
			st.SecondTerm = true
		case 1:
			st.AfterHup = true
		case 2:
			st.Act, st.Down = Kill, time.Duration(c.Float64()*float64(time.Second))
		}
		p.Steps = append(p.Steps, st)
		to = at + p.KillAfter() + time.Second
		at += seconds(t.Every.draw(c))
	}
	return to
}

// maxSignalGap is the longest time between two signals of one step.
const maxSignalGap = 100 * time.Millisecond

// drawBlackouts adds power losses of all zones at one instant, or of a part of them, and the later starts. With count and
// every_s they repeat, possibly before all processes have started again. It returns the time of the last start.
func (p *Plan) drawBlackouts(c *rand.Rand, t *Trouble, at time.Duration) (to time.Duration) {
	p.LosesUnsynced = true
	part := t.Part.withDefault(1, 1).draw(c)
	darkZones := make(map[int]bool)
	for _, z := range sample(c, len(p.Zones), part) {
		darkZones[z] = true
	}
	darkZoneNames := make(map[string]bool)
	for z := range darkZones {
		darkZoneNames[p.Zones[z]] = true
	}
	over := t.For.draw(c)
	lost, rolled := t.DiskLost.withDefault(0, 0).draw(c), t.DiskRestored.withDefault(0, 0).draw(c)
	for range t.Count.withDefault(1, 1).drawInt(c) {
		allBack := at
		drawDowntime := func() time.Duration {
			d := seconds(over * c.Float64())
			allBack = max(allBack, at+d)
			return d
		}
		for i, s := range p.Schedulers {
			if !darkZones[s.Zone] {
				continue
			}
			st := Step{At: at, Act: Kill, Schedulers: []int{i}, Down: drawDowntime(), KillStarting: true}
			switch x := c.Float64(); {
			case x < lost:
				st.Disk = DiskDelete
			case x < lost+rolled:
				st.Disk = DiskRestore
				// The copy of the disk is made while the process is down, so that nothing writes to it.
				p.Steps = append(p.Steps, Step{At: max(0, at-diskCopyAge), Act: Kill, Schedulers: []int{i}, Down: time.Second / 2, Disk: DiskSave})
			}
			p.Steps = append(p.Steps, st)
		}
		for i, w := range p.Workers {
			if darkZoneNames[w.Zone] {
				p.Steps = append(p.Steps, Step{At: at, Act: Crash, Workers: []int{i}}, Step{At: at + drawDowntime(), Act: StartCold, Workers: []int{i}})
			}
		}
		if part >= 1 {
			until := drawDowntime()
			if t.Delay.Given {
				until = allBack - at + seconds(t.Delay.draw(c))
			}
			p.Steps = append(p.Steps, Step{At: at, Act: SilenceDiscovery, Value: 1}, Step{At: at + until, Act: SilenceDiscovery})
			allBack = max(allBack, at+until)
		}
		to = max(to, allBack)
		at += seconds(t.Every.withDefault(over/2, over/2).draw(c))
	}
	return to
}

// diskCopyAge is how long before a blackout the copy is made to which a disk is restored.
const diskCopyAge = 6 * time.Second

// drawPauses pauses all schedulers in turn, and returns the time at which the last one continues.
func (p *Plan) drawPauses(c *rand.Rand, t *Trouble, at time.Duration) (to time.Duration) {
	order := c.Perm(len(p.Schedulers))
	freeAt := make([]time.Duration, len(p.Schedulers)) // when each continues
	for j := range t.Count.drawInt(c) {
		scheduler := order[j%len(order)]
		at = max(at, freeAt[scheduler])
		freeAt[scheduler] = at + seconds(t.For.draw(c))
		p.Steps = append(p.Steps, Step{At: at, Act: Pause, Schedulers: []int{scheduler}, Value: 1},
			Step{At: freeAt[scheduler], Act: Pause, Schedulers: []int{scheduler}})
		to = max(to, freeAt[scheduler])
		at += seconds(t.Every.draw(c))
	}
	return to
}

// drawPeerTroubles adds kills and pauses of schedulers, and links between them that fail in one or both directions, which may
// overlap at random. Troubles of links do not overlap each other, as the kit has one state for each link; neither do troubles
// of the same process.
func (p *Plan) drawPeerTroubles(c *rand.Rand, t *Trouble, at time.Duration) (to time.Duration) {
	freeAt, linksFreeAt := make([]time.Duration, len(p.Schedulers)), time.Duration(0)
	for range t.Count.drawInt(c) {
		length, kind := seconds(t.For.draw(c)), c.IntN(4)
		side := sample(c, len(p.Schedulers), 0.2+0.3*c.Float64())
		scheduler := c.IntN(len(p.Schedulers))
		if kind < 2 {
			for range p.Schedulers { // the next scheduler without a trouble at this time
				if freeAt[scheduler] <= at {
					break
				}
				scheduler = (scheduler + 1) % len(p.Schedulers)
			}
			at = max(at, freeAt[scheduler])
		} else {
			at = max(at, linksFreeAt)
		}
		end := at + length
		switch kind {
		case 0:
			p.Steps = append(p.Steps, Step{At: at, Act: Kill, Schedulers: []int{scheduler}, Down: length})
			freeAt[scheduler] = end + time.Second
		case 1:
			p.Steps = append(p.Steps, Step{At: at, Act: Pause, Schedulers: []int{scheduler}, Value: 1},
				Step{At: end, Act: Pause, Schedulers: []int{scheduler}})
			freeAt[scheduler] = end
		case 2:
			p.Steps = append(p.Steps, Step{At: at, Act: CutPeers, Schedulers: side, Value: 1}, Step{At: end, Act: CutPeers, Schedulers: side})
			linksFreeAt = end + 100*time.Millisecond
		case 3:
			p.Steps = append(p.Steps, Step{At: at, Act: CutPeersOneWay, Schedulers: side, Value: 1}, Step{At: end, Act: CutPeersOneWay, Schedulers: side})
			linksFreeAt = end + 100*time.Millisecond
		}
		to = max(to, end)
		at += seconds(t.Every.draw(c))
	}
	return to + time.Second
}

// sample draws a part of the indices below n, at least one, in random order.
func sample(c *rand.Rand, n int, part float64) []int {
	k := min(n, max(1, int(math.Round(part*float64(n)))))
	return c.Perm(n)[:k]
}
