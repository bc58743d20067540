package cli

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/spf13/pflag"

	"laddertide/rehearse/daemon"
	"laddertide/rehearse/experiment"
	"laddertide/rehearse/session"
)

const experimentUsage = `  rehearse sweep FILE [flags]        move parameters over seeds: CSV, plots and a page in --out
`

// experiments are the flags that only experiments have.
type experiments struct {
	scenarios []string
	width     float64
	mostRuns  int
	kit       bool
}

func (e *experiments) flags(f *pflag.FlagSet) {
}

// experiment plays one of the experiments.
func (a *app) experiment(ctx context.Context, name string, args []string) (int, error) {
	switch name {
	case "sweep":
		return a.sweep(ctx, args)
	}
	return 0, errors.New("no such experiment")
}

// unused refuses flags that a command would pass over in silence.
func (a *app) unused(command string, names ...string) error {
	for _, name := range names {
		if a.flags.Changed(name) {
			return fmt.Errorf("%s takes no --%s", command, name)
		}
	}
	return nil
}

// say prints progress, one line after the other.
func (a *app) say() func(string) {
	if a.quiet {
		return nil
	}
	var mu sync.Mutex
	return func(s string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintln(a.err, s)
	}
}

func (a *app) player(p daemon.Program) experiment.Player { return &session.Session{Program: p, Late: a.late()} }

// fingerprint tells one file's bytes from another's.
func fingerprint(file string) (string, error) {
	f, err := os.Open(file)
	if err != nil {
		return "", err
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return fmt.Sprintf("%x", h.Sum(nil))[:12], nil
}

func (a *app) sweep(ctx context.Context, args []string) (int, error) {
	if len(args) != 1 {
		return 0, errors.New("sweep takes one file; docs/operate/rehearse.md has its form")
	}
	if err := a.unused("sweep", "file", "seed", "seeds", "json", "min-service"); err != nil {
		return 0, err
	}
	if a.outDir == "" {
		return 0, errors.New("sweep needs a folder for what it finds: --out DIR")
	}
	s, err := experiment.LoadSweep(args[0])
	if err != nil {
		return 0, err
	}
	if err := s.Override(a.change); err != nil {
		return 0, err
	}
	program, remove, err := a.program(ctx)
	if err != nil {
		return 0, err
	}
	defer remove()
	opt := experiment.Options{Dir: a.outDir, Player: a.player(program), Parallel: a.parallel, Say: a.say()}
	if opt.Daemon, err = fingerprint(program.Path); err != nil {
		return 0, err
	}
	if a.fleet != "" {
		if opt.Fleet, err = fingerprint(a.fleet); err != nil {
			return 0, err
		}
	}
	out, err := s.Run(ctx, opt)
	if out == nil {
		return 0, err
	}
	if !a.quiet {
		out.Print(a.out)
		fmt.Fprintf(a.out, "The page is %s\n", filepath.Join(a.outDir, experiment.IndexFile))
	}
	if err != nil {
		return 0, err
	}
	switch {
	case len(out.Broken) > 0:
		return Broken, nil
	case len(out.LeftOut) > 0:
		return RanLate, nil
	}
	return Kept, nil
}
