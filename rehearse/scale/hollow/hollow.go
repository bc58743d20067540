// Package hollow runs schedulers without a listener for tasks, many in one process: each has the daemon's own membership
// (peers) and watch of discovery (directory) on real sockets, and nothing else. Ownership and replication of jobs are not
// among what it runs.
package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"laddertide/core/fleet"
	"laddertide/directory"
	"laddertide/peers"
	"laddertide/rehearse/loop"
)

// Command is the name of the program's command that runs Main.
const Command = "hollow-schedulers"

// Ready is the line that a process of members prints once all of them know everybody.
const Ready = "all members know everybody"

// Config is what a process of hollow schedulers is told, as JSON.
type Config struct {
	Cluster     string        `json:"cluster"`
	Join        []string      `json:"join"`
	Expect      int           `json:"expect"` // members in all, those of other processes included
	DialTimeout time.Duration `json:"dial_timeout_ns"`
	Members     []Member      `json:"members"`
}

// Member is one hollow scheduler.
type Member struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
	Discovery string `json:"discovery"`
}

const (
	mostConfig = 1 << 20
	mostHold   = 30 * time.Second // as the daemon's default
	lookEvery  = 50 * time.Millisecond
)

// Main runs the members of a file until ctx ends, and prints Ready to out once.
func Main(ctx context.Context, file string, out io.Writer) error {
	cfg, err := read(file)
	if err != nil {
		return err
	}
	for _, m := range cfg.Members {
		for _, address := range []string{m.Listen, m.Advertise, m.Discovery} {
			if err := loop.Check(address); err != nil {
				return err
			}
		}
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	members := make([]*peers.Peers, len(cfg.Members))
	var starting, watching sync.WaitGroup
	for i, m := range cfg.Members {
		watching.Go(func() { watch(ctx, m.Discovery) })
		starting.Go(func() {
			p, err := start(ctx, cfg, m)
			if err != nil {
				stop(fmt.Errorf("%s: %w", m.Name, err))
				return
			}
			members[i] = p
		})
	}
	starting.Wait()
	defer watching.Wait()
	defer func() {
		for _, p := range members {
			if p != nil {
				p.Close()
			}
		}
	}()
	if await(ctx, members, cfg.Expect) {
		fmt.Fprintln(out, Ready)
		<-ctx.Done()
	}
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func read(file string) (Config, error) {
	f, err := os.Open(file)
	if err != nil {
		return Config{}, err
	}
	defer f.Close()
	var cfg Config
	decoder := json.NewDecoder(io.LimitReader(f, mostConfig))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&cfg); err != nil {
		return Config{}, fmt.Errorf("%s: %w", file, err)
	}
	if len(cfg.Members) == 0 {
		return Config{}, fmt.Errorf("%s: no members", file)
	}
	return cfg, nil
}

// start starts one member's membership with the daemon's defaults.
func start(ctx context.Context, cfg Config, m Member) (*peers.Peers, error) {
	return peers.Start(ctx, peers.Config{
		Name: m.Name,
		Settings: peers.Settings{Listen: m.Listen, Advertise: m.Advertise, Join: cfg.Join, Cluster: cfg.Cluster,
			Shares: peers.ByMayRun, Bans: true, Drains: true, Hold: mostHold},
		Timing: peers.TimingOf(cfg.DialTimeout), Expect: cfg.Expect, Log: slog.New(slog.DiscardHandler),
		Apply:   func() {},
		Own:     func(string) fleet.Own { return fleet.Own{} },
		Failing: func(string) {},
	})
}

// watch follows discovery's list as a scheduler does.
func watch(ctx context.Context, address string) {
	watcher := &directory.Watcher{Address: address, Whole: true, Log: slog.New(slog.DiscardHandler),
		Deliver: func(directory.List) {}}
	watcher.Run(ctx)
}

// await waits until every member knows so many.
func await(ctx context.Context, members []*peers.Peers, expect int) bool {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		whole := true
		for _, p := range members {
			whole = whole && p != nil && p.Conclusion().Present >= expect
		}
		if whole {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
}
