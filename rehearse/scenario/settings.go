package scenario

import (
	"encoding/json"
	"fmt"

	"laddertide/core/history"
)

// Config returns the configuration file of the plan's scheduler i, as the platform would provide it. known is discovery's
// list of workers in the JSON form of discovery.
func (p *Plan) Config(i int, listen, discovery string, known json.RawMessage) ([]byte, error) {
	return p.ConfigWithSettings(i, listen, discovery, known, false)
}

// ChangedSettings returns what a retune step changes: half the attempts, and the first class becomes non-idempotent.
func (p *Plan) ChangedSettings() (attempts int, class string, repeat history.Repeat) {
	return max(1, p.Rules.Attempts/2), p.Classes[0].Name, history.NonIdempotent
}

// ConfigWithSettings is Config, with the changed settings of a retune step applied if retuned is set.
func (p *Plan) ConfigWithSettings(i int, listen, discovery string, known json.RawMessage, retuned bool) ([]byte, error) {
	set := p.settings(i)
	if retuned {
		attempts, class, repeat := p.ChangedSettings()
		set["permissions"].(map[string]any)["try-limit"] = attempts
		for _, lane := range set["lanes"].([]map[string]any) {
			if lane["name"] == class {
				lane["repeat"] = string(repeat)
			}
		}
	}
	if known == nil {
		known = json.RawMessage(`{"index":0,"snapshot":true,"endpoints":[]}`)
	}
	return json.MarshalIndent(map[string]any{
		"name": p.Schedulers[i].Name, "listen": listen, "discovery": discovery,
		"seed":     fmt.Sprintf("%016x", RandomStream(p.Seed, "scheduler "+p.Schedulers[i].Name).Uint64()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": p.MemoryMB, "sockets": p.Sockets},
		"known":    known,
		"settings": set,
	}, "", " ")
}

// settings returns the settings object of the protocol, with the protocol's names and units (microseconds).
func (p *Plan) settings(me int) map[string]any {
	lanes := make([]map[string]any, len(p.Classes))
	stretch, kind, priority := make([]float64, len(p.Classes)), make([]int, len(p.Classes)), make([]int, len(p.Classes))
	for i, c := range p.Classes {
		lanes[i] = map[string]any{"name": c.Name, "repeat": string(c.Repeat), "goal-time": c.Aim, "deadline": c.Deadline,
			"repeat-window": c.Window, "worth": c.Worth, "late-value": c.LateWorth, "group": "all", "stream": false}
		stretch[i], kind[i], priority[i] = c.Stretch, -1, min(i, 1)
	}
	parties := make([]map[string]any, len(p.Tenants))
	for i, t := range p.Tenants {
		parties[i] = map[string]any{"name": t.Name, "quota-rps": t.Quota * p.quotaFactor(), "share": p.Traffic.Tenants[i].Share}
	}
	shapes := make([]string, len(machineKinds))
	for i, k := range machineKinds {
		shapes[i] = k.name
	}
	return map[string]any{
		"me": me, "fleet-size": len(p.Schedulers) + p.MembersWithoutJobs, "zone": p.Schedulers[me].Zone, "localities": p.Zones, "shapes": shapes,
		"layer": 0, "layers": []string{"auth-workers"}, "discovery": "automatic", "weights": "nominal", "worth-by": "work",
		"over-share-worth": p.Rules.OverShare, "tick": 2000, "family": "jobs",
		"callers": map[string]any{"marks-retry": true},
		"family-info": map[string]any{"tells-start": true, "progress": 0, "queue-order": "fifo", "class-stretch": stretch,
			"class-kind": kind, "class-priority": priority, "memory-unit": "a worker has one unit for each slot"},
		"stats":       map[string]any{"names": []string{}, "via": "none"},
		"fees":        map[string]any{"cross-zone": p.Weights.CrossZone, "late-fail": p.Weights.LateFail, "waste": p.Weights.Waste, "probe": p.Weights.Probe},
		"scoring-mix": map[string]any{"whole": p.Weights.Whole, "worst-window": p.Weights.Window, "worst-class": p.Weights.WorstClass, "worst-tenant": p.Weights.WorstTenant},
		"obligations": map[string]any{"answer-slack": p.Rules.AnswerSlack, "ask-every": 10_000_000,
			"stop-sending-within": p.Rules.Drain, "cold-from": 0.3, "warm-within": 9_000_000,
			"fall": p.Rules.FallWindow, "fall-multiple": p.Rules.FallMultiple},
		"permissions": map[string]any{"cancel": true, "cpu-us-per-request": 10, "cpu-us-per-s": 12000,
			"dial-timeout": 250_000, "idle-close": p.Workers[0].Idle.Microseconds(), "max-open": 30000,
			"max-retry-after": p.Retry.MaxRetryAfter.Microseconds(), "retry-after": true, "peers": false, "probes": true,
			"second-copies": false, "streams-per-conn": 1, "try-limit": p.Rules.Attempts},
		"lanes": lanes, "parties": parties,
	}
}

// quotaFactor compensates for members that take no jobs: a scheduler estimates a tenant's rate over the whole fleet as its own
// rate times the number of members.
func (p *Plan) quotaFactor() float64 {
	return float64(len(p.Schedulers)+p.MembersWithoutJobs) / float64(len(p.Schedulers))
}

// Setup returns the setup record at the start of a history.
func (p *Plan) Setup() *history.Setup {
	s := &history.Setup{Version: history.Version, Scenario: p.Scenario, Seed: p.Seed, Length: p.Length.Microseconds(),
		Tenants: p.Tenants, Rules: p.Rules, Weights: p.Weights, Durable: p.Durable,
		Drawn: map[string]any{"about": p.About, "rate": p.Traffic.Rate, "load": p.Load, "capacity": p.Capacity}}
	for _, c := range p.Classes {
		s.Classes = append(s.Classes, c.Class)
	}
	for _, w := range p.Workers {
		s.Workers = append(s.Workers, history.WorkerSetup{Name: w.Name, Zone: w.Zone, Kind: w.Kind, Cores: w.Cores,
			Slots: w.Slots, Speed: w.Speed})
	}
	for _, sc := range p.Schedulers {
		s.Schedulers = append(s.Schedulers, history.SchedulerSetup{Name: sc.Name, Zone: p.Zones[sc.Zone]})
	}
	return s
}
