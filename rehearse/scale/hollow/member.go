package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"laddertide/core/fleet"
	"laddertide/core/history"
	"laddertide/durable"
	"laddertide/job"
	"laddertide/owners"
	"laddertide/peers"
	"laddertide/policy"
	"laddertide/provider"
	"laddertide/replicated"
	wire "laddertide/wire/owners"
)

// The daemon's defaults.
const (
	mostHold       = 30 * time.Second // of what peers tell of a worker
	recordReplicas = 3
	recordKeep     = 30 * time.Second
	mostRecords    = 10_000
	mostWaits      = 2000
	ledgerKeep     = 120 * time.Second
	ledgerLease    = 60 * time.Second
	ledgerMostOpen = 2000
	ledgerSync     = "batch"
)

// LedgerMB is the size of a ledger's log, real or hollow: half of the daemon's default, as a process of 256 MB may give its features a
// quarter of that.
const LedgerMB = 32

// member is one hollow scheduler.
type member struct {
	peers      *peers.Peers
	ownership  *owners.Handler     // nil: off
	replicated *replicated.Handler // nil: off
	pool       *provider.Pool      // without workers
}

// start starts one member with the daemon's defaults.
func start(ctx context.Context, cfg Config, m Member) (_ *member, err error) {
	timing := peers.TimingOf(cfg.DialTimeout)
	out := &member{pool: provider.NewPool(provider.Limits{Dial: cfg.DialTimeout, MaxConnections: 1}, quiet())}
	defer func() {
		if err != nil {
			out.close()
		}
	}()
	membership := peers.Config{
		Name: m.Name,
		Settings: peers.Settings{Listen: m.Listen, Advertise: m.Advertise, Join: cfg.Join, Cluster: cfg.Cluster,
			Shares: peers.ByMayRun, Bans: true, Drains: true, DrainHold: mostHold},
		Timing: timing, ExpectedSchedulers: cfg.Expect, Log: quiet(),
		Apply:               out.look,
		OwnListEntry:        func(string) fleet.OwnListEntry { return fleet.OwnListEntry{} },
		HandleFailureReport: func(string) {},
	}
	if cfg.LedgerReplicas > 0 {
		if out.replicated, err = newLedger(cfg, m, timing, out); err != nil {
			return nil, err
		}
		membership.HandleGroupConn, membership.Disk = out.replicated.Serve, out.replicated.Disk()
	}
	if cfg.Ownership {
		out.ownership = newOwnership(cfg, m, timing, out)
		membership.HandleOwnership = out.ownership.HandleEncoded
	}
	if out.peers, err = peers.Start(ctx, membership); err != nil {
		return nil, err
	}
	out.join()
	return out, nil
}

// join tells what is on that the membership is there.
func (m *member) join() {
	me := m.peers.Self()
	if m.ownership != nil {
		m.ownership.Join(m.peers, me)
	}
	if m.replicated != nil {
		m.replicated.Join(me.Start, m.peers)
	}
	m.look()
}

// look lets ownership look at the membership again.
func (m *member) look() {
	if m.ownership != nil {
		m.ownership.MembershipChanged()
	}
}

// close ends the member without a word to the others.
func (m *member) close() {
	if m.ownership != nil {
		m.ownership.Disconnect()
	}
	if m.peers != nil {
		m.peers.Close()
	}
	if m.replicated != nil {
		m.replicated.Close()
	}
	m.pool.Close()
}

// refuse is the last Handler of a hollow scheduler: it runs nothing.
type refuse struct{}

// Handle implements job.Handler.
func (refuse) Handle(context.Context, *job.Job) job.Outcome { return job.Outcome{Kind: job.Rejected} }

func newOwnership(cfg Config, m Member, timing peers.Timing, out *member) *owners.Handler {
	with := owners.Config{
		Settings: owners.Settings{Keepers: recordReplicas, Retention: recordKeep, MaxRecords: mostRecords, MaxWaiters: mostWaits},
		Self:     wire.Process{Name: m.Name}, Classes: cfg.classes(), Next: refuse{}, Pool: out.pool, Log: quiet(),
		AnswerTime: timing.AnswerTime, SettleTime: timing.SettleTime(cfg.Expect),
	}
	if out.replicated != nil {
		with.Next, with.Ledger = out.replicated, out.replicated
	}
	return owners.New(with)
}

func newLedger(cfg Config, m Member, timing peers.Timing, out *member) (*replicated.Handler, error) {
	if err := os.MkdirAll(m.Folder, 0o700); err != nil {
		return nil, err
	}
	return replicated.New(replicated.Config{
		Name:     m.Name,
		Settings: replicated.Settings{Replicas: cfg.LedgerReplicas, Dir: m.Folder, MaxMB: LedgerMB},
		Durable:  durable.Settings{Sync: ledgerSync, Lease: ledgerLease, Keep: ledgerKeep, MaxMB: LedgerMB, MaxOpen: ledgerMostOpen},
		Policy:   policy.Settings{Balancers: cfg.Expect, DialTimeout: cfg.DialTimeout, Classes: cfg.classes()},
		Next:     refuse{}, Pool: out.pool, Log: quiet(), Label: cfg.Cluster, AnswerTime: timing.AnswerTime, SettleTime: timing.SettleTime(cfg.Expect),
		OnTakeover: func(open []*job.Job, ended []string) { out.ownership.Claim(open, ended) },
		Forward:    func(event provider.Event) error { return out.ownership.Forward(event) },
	})
}

// effects are what a repeat of a job does, by the words of the settings.
var effects = map[history.Repeat]policy.Effect{
	history.ReadLike: policy.Safe, history.Keyed: policy.Keyed, history.NonIdempotent: policy.Unsafe,
}

func (cfg *Config) classes() []policy.Class {
	out := make([]policy.Class, len(cfg.Classes))
	for i, c := range cfg.Classes {
		out[i] = policy.Class{Name: c.Name, Effect: effects[c.Repeat], Deadline: c.Deadline, Window: c.Deadline}
	}
	return out
}

// check refuses what no member can start with.
func (cfg *Config) check() error {
	if len(cfg.Members) == 0 {
		return errors.New("no members")
	}
	if cfg.LedgerReplicas > 0 && !cfg.Ownership {
		return errors.New("ledger_replicas: a replicated ledger needs ownership")
	}
	for _, c := range cfg.Classes {
		if _, known := effects[c.Repeat]; !known {
			return fmt.Errorf("classes: %s: %q is no kind of repeat", c.Name, c.Repeat)
		}
	}
	return nil
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }
