package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"laddertide/core/world"
	"laddertide/rehearse/daemon"
	"laddertide/rehearse/discovery"
	"laddertide/rehearse/record"
	"laddertide/rehearse/run"
	"laddertide/rehearse/scale/hollow"
	"laddertide/rehearse/scale/size"
	"laddertide/rehearse/scenario"
)

// hollowMembers are the hollow schedulers of a run, in processes of their own, with a discovery of their own.
type hollowMembers struct {
	count     int
	discovery *discovery.Discovery
	processes []*daemon.Process
	outputs   []*output
}

const (
	hollowReady   = 60 * time.Second // for all members to know everybody
	hollowMemory  = 1024             // MB, for a process of members
	nowhere       = "127.0.0.1:9"    // hollow schedulers call no worker
	awaitInterval = 20 * time.Millisecond
)

// hollowNames are the members' names and zones.
func hollowNames(plan *scenario.Plan) []run.OtherMember {
	out := make([]run.OtherMember, plan.MembersWithoutJobs)
	for i := range out {
		out[i] = run.OtherMember{Name: fmt.Sprintf("h%d", i+1), Zone: (len(plan.Schedulers) + i) % len(plan.Zones)}
	}
	return out
}

// startHollow starts the hollow members and waits until each knows all others. program is this kit's own.
func startHollow(ctx context.Context, program string, dir string, s *size.Size, plan *scenario.Plan, stage *run.Handle) (*hollowMembers, error) {
	h := &hollowMembers{}
	if len(stage.Others) == 0 {
		return h, nil
	}
	if err := h.startDiscovery(plan, stage.Others); err != nil {
		return nil, err
	}
	h.count = len(stage.Others)
	for first := 0; first < len(stage.Others); first += size.HollowPerProcess {
		some := stage.Others[first:min(len(stage.Others), first+size.HollowPerProcess)]
		cfg := hollow.Config{Cluster: stage.Cluster, Join: stage.JoinAddresses, Expect: len(plan.Schedulers) + plan.MembersWithoutJobs,
			DialTimeout: dialTimeout, Ownership: s.Schedulers.Ownership, LedgerReplicas: s.Schedulers.LedgerReplicas}
		for _, c := range plan.Classes {
			cfg.Classes = append(cfg.Classes, hollow.Class{Name: c.Name, Repeat: c.Repeat, Deadline: time.Duration(c.Deadline) * time.Microsecond})
		}
		for i, o := range some {
			cfg.Members = append(cfg.Members, hollow.Member{Name: o.Name, Listen: o.Listen, Advertise: o.Advertise,
				Discovery: h.discovery.Address(first + i), Folder: filepath.Join(dir, o.Name)})
		}
		if err := h.startProcess(program, filepath.Join(dir, fmt.Sprintf("hollow-%d.json", first)), cfg); err != nil {
			h.close()
			return nil, err
		}
	}
	if err := h.await(ctx); err != nil {
		h.close()
		return nil, err
	}
	return h, nil
}

// dialTimeout is the one of the settings that the kit gives schedulers; the membership's timing derives from it.
const dialTimeout = 250 * time.Millisecond

// startDiscovery starts an agent for each hollow member. Its list is as long as that of the real schedulers and stays as it
// is.
func (h *hollowMembers) startDiscovery(plan *scenario.Plan, members []run.OtherMember) (err error) {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	infos := make(map[string]discovery.Info)
	for i, w := range plan.Workers {
		infos[w.Name] = discovery.Info{Zone: w.Zone, Type: w.Kind, Group: i / 8, Weight: float64(w.Cores)}
	}
	roster := plan.Roster
	roster.Schedulers = len(members)
	h.discovery, err = discovery.New(discovery.Config{
		Roster: world.NewRoster(roster, plan.Seed, entries(plan.Workers)), Schedulers: names, Record: record.New(nil),
		Address: func(int, string) string { return nowhere },
		Info:    func(worker string) discovery.Info { return infos[worker] },
		Since:   func(string, int) int64 { return 0 },
	})
	return err
}

func (h *hollowMembers) startProcess(program, file string, cfg hollow.Config) error {
	raw, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	out := &output{}
	p, err := daemon.Start(daemon.Program{Path: program, Args: []string{hollow.Command, file}}, filepath.Dir(file), os.Environ(),
		daemon.Limits{MemoryMB: hollowMemory}, out)
	if err != nil {
		return err
	}
	h.processes, h.outputs = append(h.processes, p), append(h.outputs, out)
	return nil
}

// await waits until all processes have said that they are ready.
func (h *hollowMembers) await(ctx context.Context) error {
	deadline := time.Now().Add(hollowReady)
	tick := time.NewTicker(awaitInterval)
	defer tick.Stop()
	for {
		ready := 0
		for _, out := range h.outputs {
			if out.has(hollow.Ready) {
				ready++
			}
		}
		switch {
		case ready == len(h.outputs):
			return nil
		case h.lost() != "":
			return errors.New(h.lost())
		case time.Now().After(deadline):
			return fmt.Errorf("%d of %d processes of hollow schedulers know everybody after %s", ready, len(h.outputs), hollowReady)
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-tick.C:
		}
	}
}

// lost says which process has ended; empty: none has.
func (h *hollowMembers) lost() string {
	for i, p := range h.processes {
		select {
		case <-p.Done():
			code, words := p.End()
			return fmt.Sprintf("process %d of the hollow schedulers has ended with status %d: %s", i+1, code, words)
		default:
		}
	}
	return ""
}

// discoverySent is how many bytes the members' discovery has sent.
func (h *hollowMembers) discoverySent() (bytes int64) {
	for i := range h.count {
		bytes += h.discovery.Sent(i)
	}
	return bytes
}

func (h *hollowMembers) close() {
	for _, p := range h.processes {
		p.Kill()
		<-p.Done()
	}
	if h.discovery != nil {
		h.discovery.Close()
	}
}

// output keeps what a process prints.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// mostOutput is how much is kept of it.
const mostOutput = 64 << 10

// Write implements io.Writer.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.text.Len() < mostOutput {
		o.text.Write(b)
	}
	return len(b), nil
}

func (o *output) has(line string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Contains(o.text.Bytes(), []byte(line))
}
