// Package hollow runs schedulers without a listener for tasks, many in one process: each has the daemon's own membership
// (peers) and watch of discovery (directory) on real sockets, and where the run wants them, ownership of jobs (owners) and
// replicated ledgers (replicated). It holds records and replicas of other schedulers' jobs, and takes none itself.
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

	"laddertide/core/history"
	"laddertide/directory"
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

	Ownership      bool    `json:"ownership"`       // members keep records of other schedulers' jobs
	LedgerReplicas int     `json:"ledger_replicas"` // of each ledger; 0: ledgers are not replicated
	Classes        []Class `json:"classes"`         // as in the schedulers' settings
}

// Class is a kind of jobs.
type Class struct {
	Name     string         `json:"name"`
	Repeat   history.Repeat `json:"repeat"`
	Deadline time.Duration  `json:"deadline_ns"`
}

// Member is one hollow scheduler.
type Member struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
	Discovery string `json:"discovery"`
	Folder    string `json:"folder"` // for its ledger; it is made if it is needed
}

const (
	mostConfig = 1 << 20
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
	members := make([]*member, len(cfg.Members))
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
		for _, m := range members {
			if m != nil {
				m.close()
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
	if err := cfg.check(); err != nil {
		return Config{}, fmt.Errorf("%s: %w", file, err)
	}
	return cfg, nil
}

// watch follows discovery's list as a scheduler does.
func watch(ctx context.Context, address string) {
	watcher := &directory.Watcher{Address: address, FullList: true, Log: slog.New(slog.DiscardHandler),
		Deliver: func(directory.List) {}}
	watcher.Run(ctx)
}

// await waits until every member knows so many.
func await(ctx context.Context, members []*member, expect int) bool {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		whole := true
		for _, m := range members {
			whole = whole && m != nil && m.peers.Conclusion().Present >= expect
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
