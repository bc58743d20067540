package scale

import (
	"context"
	"fmt"
	"time"

	"laddertide/rehearse/links"
	"laddertide/rehearse/run"
	"laddertide/rehearse/scale/process"
)

// fleetPage is what is read of a scheduler's own counts.
type fleetPage struct {
	Present   int              `json:"present"`
	Traffic   map[string]int64 `json:"traffic"`
	Counts    map[string]int   `json:"counts"`
	Discovery struct {
		Lists   int64 `json:"lists"`
		BytesIn int64 `json:"bytes_in"`
	} `json:"discovery"`
}

// look is what was counted of one scheduler up to a time.
type look struct {
	pid            int
	system         process.Sample
	page           fleetPage
	sent, received links.Counts
	discoverySent  int64 // by its discovery
}

// snapshot is what was counted of all schedulers up to a time.
type snapshot struct {
	at         time.Time
	schedulers []look
	machine    process.Machine
	kitCPU     time.Duration

	hollowDiscovery int64 // bytes that hollow schedulers' discovery has sent
}

// takeSnapshot looks at all schedulers. The system's counts are read last at the beginning of a window and first at its end,
// so that answering for the page is no part of it.
func takeSnapshot(stage *run.Handle, members *hollowMembers, kit int, begin bool) (snapshot, error) {
	s := snapshot{hollowDiscovery: members.discoverySent()}
	processes := stage.Processes()
	s.schedulers = make([]look, len(processes))
	parts := []func(i int, p run.Process, l *look) error{
		func(i int, p run.Process, l *look) error { return l.own(stage, i, p) },
		func(_ int, p run.Process, l *look) (err error) {
			l.pid = p.PID
			l.system, err = process.Look(p.PID)
			return err
		},
	}
	if !begin {
		parts[0], parts[1] = parts[1], parts[0]
	}
	for _, part := range parts {
		for i, p := range processes {
			if err := part(i, p, &s.schedulers[i]); err != nil {
				return s, err
			}
		}
	}
	var err error
	if s.machine, err = process.LookAtMachine(); err != nil {
		return s, err
	}
	own, err := process.Look(kit)
	if err != nil {
		return s, err
	}
	s.kitCPU, s.at = own.CPU, time.Now()
	return s, nil
}

// own reads a scheduler's counts of itself beside those of the relays.
func (l *look) own(stage *run.Handle, i int, p run.Process) error {
	if err := stage.FleetPage(p, &l.page); err != nil {
		return err
	}
	l.sent, l.received = stage.Traffic(p.Name)
	l.discoverySent = stage.DiscoveryBytesSent(i)
	return nil
}

// window is what was counted between its two ends.
type window struct {
	begin, end  snapshot
	descriptors []int // by scheduler, the most that were open
	whyNot      string
}

const sampleEvery = 500 * time.Millisecond

// watchWindow counts from a time for so long. A mistake of the rig is why the window does not count.
func watchWindow(ctx context.Context, stage *run.Handle, members *hollowMembers, kit int, from time.Time, length time.Duration) (w window) {
	if !sleepUntil(ctx, from) {
		w.whyNot = "the run ended before the window"
		return w
	}
	var err error
	if w.begin, err = takeSnapshot(stage, members, kit, true); err != nil {
		w.whyNot = err.Error()
		return w
	}
	w.descriptors = make([]int, len(w.begin.schedulers))
	for end := from.Add(length); time.Now().Before(end); {
		for i, p := range stage.Processes() {
			if s, err := process.Look(p.PID); err == nil && i < len(w.descriptors) {
				w.descriptors[i] = max(w.descriptors[i], s.Descriptors)
			}
		}
		next := time.Now().Add(sampleEvery)
		if next.After(end) {
			next = end
		}
		if !sleepUntil(ctx, next) {
			w.whyNot = "the run ended within the window"
			return w
		}
	}
	if w.end, err = takeSnapshot(stage, members, kit, false); err != nil {
		w.whyNot = err.Error()
		return w
	}
	for i, before := range w.begin.schedulers {
		if after := w.end.schedulers[i]; after.pid != before.pid {
			w.whyNot = fmt.Sprintf("scheduler %d was another process at the end of the window", i+1)
		}
	}
	return w
}

// sleepUntil waits, and tells whether that was until the time.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
