// Command laddertide is a scheduler on sockets.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/pflag"

	"laddertide/internal/asyncwriter"
	"laddertide/scheduler"
)

const usage = `laddertide: a scheduler for jobs

  laddertide serve   [flags]  serve consumers until SIGTERM or SIGINT
  laddertide check   [flags]  read the configuration and say what is wrong with it
  laddertide version          print the version
  laddertide replay FILE [--config fleet.yaml]
                              make the decisions of a capture again and print those that differ
  laddertide ledger --help    look at the ledger of durable jobs, also while it is in use
  laddertide state --help     look at the small state that a scheduler keeps on disk
  laddertide fleet --help     what a scheduler knows of the others
  laddertide source --help    keep the configuration of all schedulers, with other sources
  laddertide config --help    change that configuration, and see which scheduler has which version

Flags, each with the environment variable that it stands in for:
`

const (
	stderrWaits = 64 << 10               // that may wait for standard error to be read
	stderrLast  = 200 * time.Millisecond // for the last of it, once all is answered
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "laddertide:", err)
		code := 1
		if found, ok := errors.AsType[*finding](err); ok {
			code = found.code
		}
		os.Exit(code)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) > 0 && args[0] == "ledger" {
		return lookAtLedger(args[1:], out)
	}
	if len(args) > 0 && args[0] == "state" {
		return lookAtState(args[1:], out)
	}
	if len(args) > 0 && args[0] == "fleet" {
		return showFleet(args[1:], out)
	}
	if len(args) > 0 && args[0] == "source" {
		return runSource(args[1:], out)
	}
	if len(args) > 0 && args[0] == "config" {
		return runConfig(args[1:], out)
	}
	flags := pflag.NewFlagSet("laddertide", pflag.ContinueOnError)
	config := flags.StringP("config", "c", os.Getenv("GW_CONFIG"), "configuration file (GW_CONFIG)")
	name := flags.String("name", os.Getenv("GW_NAME"), "name of this scheduler (GW_NAME)")
	listen := flags.String("listen", os.Getenv("GW_LISTEN"), "address to listen on (GW_LISTEN)")
	admin := flags.String("admin", os.Getenv("GW_ADMIN"), "address for the operators' calls; none: off (GW_ADMIN)")
	discovery := flags.String("discovery", os.Getenv("GW_DISCOVERY"), "address of discovery (GW_DISCOVERY)")
	fleet := flags.String("fleet", "", "the operator's file, which turns features on")
	level := flags.String("log-level", "info", "debug, info, warn or error; debug logs each request")
	flags.Usage = func() { fmt.Fprintln(out, usage+flags.FlagUsages()) }
	if err := flags.Parse(args); err == pflag.ErrHelp {
		return nil
	} else if err != nil {
		return err
	}
	command := flags.Arg(0)
	switch {
	case command == "replay":
		operators := ""
		if flags.Changed("config") { // the environment's is the platform's file
			operators = *config
		}
		return replay(flags.Args()[1:], operators, out)
	case flags.NArg() != 1:
		return fmt.Errorf("one command is wanted: serve, check, version, replay, ledger, state, fleet, source or config")
	case command == "version":
		fmt.Fprintln(out, "laddertide", version())
		return nil
	case command != "serve" && command != "check":
		return fmt.Errorf("unknown command %q: serve, check, version, replay, ledger, state, fleet, source and config are known", command)
	}
	ctx, hup := context.Background(), make(chan os.Signal, 1)
	if command == "serve" {
		var stop context.CancelFunc
		ctx, stop = takeSignals(hup)
		defer stop()
	}
	var lv slog.Level
	if err := lv.UnmarshalText([]byte(*level)); err != nil {
		return err
	}
	cfg, err := scheduler.Load(*config)
	if err != nil {
		return err
	}
	for _, f := range []struct{ value, to *string }{{name, &cfg.Name}, {listen, &cfg.Listen}, {admin, &cfg.Admin},
		{discovery, &cfg.Discovery}} {
		if *f.value != "" {
			*f.to = *f.value
		}
	}
	if flags.Changed("fleet") {
		if cfg.Operator, err = scheduler.LoadOperator(*fleet); err != nil {
			return err
		}
	}
	cfg.Dir = os.Getenv("TMPDIR")
	if command == "check" {
		if err := cfg.Check(); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: usable; %d providers known, %d classes\n", *config, len(cfg.Known.Entries), len(cfg.Settings.Classes))
		if flags.Changed("fleet") {
			fmt.Fprintf(out, "%s: usable\n", *fleet)
		}
		return nil
	}
	var stderr io.Writer = os.Stderr
	var buffered *asyncwriter.Writer
	if flags.Changed("fleet") {
		// Features write more there than the log does. Should nobody read it, no request may wait for that.
		buffered = asyncwriter.New(os.Stderr, stderrWaits)
		defer buffered.Close(stderrLast)
		stderr, cfg.Operator.Stderr = buffered, buffered
	}
	log := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: lv}))
	s, err := scheduler.New(cfg, log)
	if err != nil {
		return err
	}
	reread := func() {
		cfg, err := scheduler.Load(*config)
		if err == nil {
			err = s.Reload(cfg)
		}
		if err != nil {
			log.Error("cannot reread the configuration: nothing changes", "file", *config, "err", err)
		}
	}
	s.Reread = reread
	serving, served := context.WithCancel(context.Background())
	defer served()
	go reload(serving, hup, reread)
	if buffered != nil && cfg.Operator.Capture != nil { // with files there is nothing to write, but the signal must not kill
		usr1 := make(chan os.Signal, 1)
		signal.Notify(usr1, syscall.SIGUSR1)
		go dump(serving, usr1, s, buffered, log)
	}
	if cfg.Operator.Durable != nil {
		usr2 := make(chan os.Signal, 1)
		signal.Notify(usr2, syscall.SIGUSR2)
		go snapshots(serving, usr2, s, cfg.Operator.Durable.Dir, log)
	}
	go exitInTime(ctx, serving, s.ExitLimit, log)
	return s.Serve(ctx)
}

// exitInTime ends the process a limit after the word to stop, if something still holds up the end of serving: a disk that does not
// answer, for one. What is on disk then is what a kill would leave.
func exitInTime(stopping, serving context.Context, limit func() time.Duration, log *slog.Logger) {
	select {
	case <-stopping.Done():
	case <-serving.Done():
		return
	}
	timer := time.NewTimer(limit())
	defer timer.Stop()
	select {
	case <-timer.C:
		log.Error("the end of this process is held up: it ends now")
		os.Exit(1)
	case <-serving.Done():
	}
}

// takeSignals returns a context that ends at SIGTERM or SIGINT, and lets hup have SIGHUP. It comes before anything that may
// last: a signal that comes while the scheduler starts must not kill it. The signals stay taken until the process has
// exited, so that none kills it that comes twice or in its last moment. One SIGHUP that waits is enough: the file is read
// after it.
func takeSignals(hup chan<- os.Signal) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(context.Background())
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		select {
		case <-term:
			stop()
		case <-ctx.Done():
		}
	}()
	return ctx, stop
}

// snapshots copies the ledger at every SIGUSR2, into a new folder beside it.
func snapshots(ctx context.Context, usr2 <-chan os.Signal, s *scheduler.Scheduler, dir string, log *slog.Logger) {
	for {
		select {
		case <-usr2:
		case <-ctx.Done():
			return
		}
		to := filepath.Clean(dir) + time.Now().UTC().Format(".snapshot-20060102T150405.000")
		began := time.Now()
		if err := s.SnapshotLedger(to); err != nil {
			log.Error("cannot copy the ledger", "to", to, "err", err)
			continue
		}
		log.Info("ledger copied", "to", to, "took", time.Since(began).Round(time.Millisecond))
	}
}

// reload rereads the file at every SIGHUP; left alone, that signal ends a Go program. The file's address
// of discovery wins here over the flag and the environment, which still hold the one of the start.
func reload(ctx context.Context, hup <-chan os.Signal, reread func()) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		reread()
	}
}

// version is the one that the build has stamped on the program.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v + " " + info.GoVersion
}
