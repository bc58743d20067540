// Package state measures in this process how many bytes the parts of a scheduler keep for each worker, tenant, task and
// scheduler, and how long discovery's whole list is. It uses no sockets: the real code is filled, and the live heap is
// read before and after.
package state

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"laddertide/core/fleet"
	"laddertide/directory"
	"laddertide/policy"
	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
)

// Command is the command that measures all files again.
const Command = "go run ./cmd/rehearse capacity-page --state"

// copies of each part are filled and measured together, so that what the runtime itself allocates does not count.
const copies = 8

// seeds of each point.
const seeds = 3

// parts of the full size that are measured.
var parts = []float64{0.2, 0.4, 0.6, 0.8, 1}

// subject is one kind of state against one parameter.
type subject struct {
	file     string
	role     measurement.Role
	varied   measurement.Parameter
	note     string
	size     func(s *size.Size) float64
	bytes    func(n int, seed uint64) (float64, error)
	sharedBy float64 // how many schedulers share the parameter's value; 0: each has it by itself
}

func subjects() []subject {
	return []subject{
		{"state-workers.json", measurement.Scheduler, measurement.Workers,
			"live heap of the decision module with so many workers in its list, no tenants and no tasks",
			func(s *size.Size) float64 { return float64(s.Workers.Count) },
			heapOf(func(n int, seed uint64) (any, error) { return dispatcher(n, 0, 0, seed) }), 0},
		{"state-tenants.json", measurement.Scheduler, measurement.Tenants,
			"live heap of the decision module with so many tenants, no workers and no tasks",
			func(s *size.Size) float64 { return float64(s.Tenants.Count) },
			heapOf(func(n int, seed uint64) (any, error) { return dispatcher(0, n, 0, seed) }), 0},
		{"state-tasks.json", measurement.Scheduler, measurement.TasksRunning,
			"live heap of the decision module of one scheduler with so many tasks at 200 workers; connections, requests and " +
				"answers are not part of it",
			func(s *size.Size) float64 { return float64(s.Tasks.Running) / float64(s.Schedulers.Real) },
			heapOf(func(n int, seed uint64) (any, error) { return dispatcher(workersOfTasks, 0, n, seed) }), 1},
		{"state-schedulers.json", measurement.Scheduler, measurement.HollowSchedulers,
			"live heap of the view of one scheduler that knows so many others; buffers of membership's library are not part of it",
			func(s *size.Size) float64 { return float64(s.Schedulers.Real + s.Schedulers.Hollow) },
			heapOf(view), 0},
		{"state-list.json", measurement.Discovery, measurement.Workers,
			"bytes of discovery's whole list as one line of JSON; a scheduler reads 262,144 bytes of one list at most",
			func(s *size.Size) float64 { return float64(s.Workers.Count) }, wholeList, 0},
	}
}

// Measure measures all subjects and returns their files by name.
func Measure(ctx context.Context, s *size.Size, sizeFile string) (map[string]*measurement.File, error) {
	machine, err := measurement.ThisMachine()
	if err != nil {
		return nil, err
	}
	commit, err := measurement.ThisCommit(ctx)
	if err != nil {
		return nil, err
	}
	files := make(map[string]*measurement.File)
	for _, sub := range subjects() {
		points, err := sub.points(ctx, sub.size(s))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", sub.file, err)
		}
		files[sub.file] = &measurement.File{Version: measurement.Version, Command: Command, Commit: commit,
			Date: time.Now().UTC().Format(time.RFC3339), Machine: machine,
			Size: measurement.SizeFile{File: sizeFile, Scale: 1}, Varied: string(sub.varied), Note: sub.note, Points: points}
	}
	return files, nil
}

func (sub *subject) points(ctx context.Context, full float64) ([]measurement.Point, error) {
	var points []measurement.Point
	for _, part := range parts {
		n := int(part*full + 0.5)
		for seed := range uint64(seeds) {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			bytes, err := sub.bytes(n, seed+1)
			if err != nil {
				return nil, err
			}
			p := measurement.Point{Seed: seed + 1, Valid: true,
				Roles: []measurement.Usage{{Role: sub.role, Instances: 1, State: &bytes, Traffic: []measurement.Traffic{}}}}
			p.Parameters.Schedulers = sub.sharedBy
			p.Parameters.Set(sub.varied, float64(n))
			points = append(points, p)
		}
	}
	return points, nil
}

// heapOf measures the live heap that one value of build keeps.
func heapOf(build func(n int, seed uint64) (any, error)) func(int, uint64) (float64, error) {
	return func(n int, seed uint64) (float64, error) {
		var kept [copies]any
		before := liveHeap()
		for i := range kept {
			value, err := build(n, seed+uint64(i)*seeds)
			if err != nil {
				return 0, err
			}
			kept[i] = value
		}
		after := liveHeap()
		runtime.KeepAlive(kept)
		return max(0, (after-before)/copies), nil
	}
}

// liveHeap is what is reachable: two collections, as the first one may leave what finalizers hold.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// The settings of the decision module under measurement: one class, seven zones.
const (
	workersOfTasks = 200
	zones          = 7
	slotsOfWorker  = 6
	deadline       = 5 * time.Minute
	aim            = time.Minute
)

// dispatcher is a decision module with workers, tenants and tasks in hand.
func dispatcher(workers, tenants, tasks int, seed uint64) (*policy.Dispatcher, error) {
	settings := policy.Settings{
		Seed: seed, Balancers: 6, Zones: zones, Kinds: 1, MaxAttempts: 3, TellsStart: true, Cancel: true,
		ColdFrom: 0.3, WarmWithin: 6 * time.Second, FallMultiple: 3, FallWindow: time.Second,
		Classes: []policy.Class{{Name: "batch", Aim: aim, Deadline: deadline, Worth: 1, Kind: -1}},
	}
	for i := range tenants {
		settings.Tenants = append(settings.Tenants, policy.Tenant{Name: fmt.Sprintf("team-%03d", i), Quota: 1})
	}
	d, err := policy.New(settings)
	if err != nil {
		return nil, err
	}
	entries := make([]policy.Entry, workers)
	for i := range entries {
		entries[i] = policy.Entry{ID: policy.WorkerID(i + 1), Zone: i % zones, Weight: slotsOfWorker}
	}
	now := time.Minute
	actions := d.List(now, policy.ListFull, entries, nil)
	for i := range tasks {
		now += time.Millisecond
		actions = d.Request(now, policy.Request{ID: policy.RequestID(i + 1), Left: deadline, Slots: 1}, actions[:0])
	}
	return d, nil
}

// The bounds of a view are those of a membership of this timing; how much it keeps does not depend on them.
const (
	settle = 2 * time.Second
	term   = 10 * time.Second
	most   = 1024
)

// view is what one scheduler knows of so many others.
func view(others int, seed uint64) (any, error) {
	limits := fleet.Limits{SettleTime: settle, NoticeTime: term, MaxMembers: most, ExpectedSchedulers: others + 1}
	v := fleet.New("scheduler-0", fleet.Start(seed), "127.0.0.1:7946", limits, 0)
	for i := range others {
		name := fmt.Sprintf("scheduler-%d", i+1)
		v.RecordAlive(time.Second, name, fleet.Start(seed), fmt.Sprintf("127.0.%d.%d:7946", i/250, i%250+1))
		v.RecordMessage(time.Second, name)
	}
	if got := len(v.Members()); got != others+1 {
		return nil, fmt.Errorf("the view knows %d of %d members", got, others+1)
	}
	return v, nil
}

// wholeList is the length of the whole list as one line of JSON, as the kit's discovery writes it.
func wholeList(workers int, seed uint64) (float64, error) {
	list := directory.List{Index: seed, Snapshot: true}
	for i := range workers {
		list.Entries = append(list.Entries, directory.Entry{
			Name: fmt.Sprintf("worker-%04d", i), Address: fmt.Sprintf("127.%d.%d.1:8000", i/250, i%250),
			Zone: fmt.Sprintf("zone-%d", i%zones), Type: "standard", Group: i % zones, Status: directory.Serving,
			Weight: slotsOfWorker, SinceMS: 1.7e12,
		})
	}
	raw, err := json.Marshal(list)
	if err != nil {
		return 0, err
	}
	return float64(len(raw) + 1), nil
}
