// Command laddertide is the scheduler daemon and its tools.
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

  laddertide serve   [flags]  serve clients until SIGTERM or SIGINT
  laddertide check   [flags]  read the configuration and report what is wrong with it
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
	stderrBuffer     = 64 << 10               // bytes buffered while standard error is not read
	stderrFlushLimit = 200 * time.Millisecond // for flushing the buffer at exit
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "laddertide:", err)
		code := 1
		if found, ok := errors.AsType[*exitError](err); ok {
			code = found.code
		}
		os.Exit(code)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) > 0 && args[0] == "ledger" {
		return runLedger(args[1:], out)
	}
	if len(args) > 0 && args[0] == "state" {
		return runState(args[1:], out)
	}
	if len(args) > 0 && args[0] == "fleet" {
		return runFleet(args[1:], out)
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
		if flags.Changed("config") { // GW_CONFIG names the platform's file instead
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
		ctx, stop = catchSignals(hup)
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
	cfg.HandoverDir = os.Getenv("TMPDIR")
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
		// Features write more to standard error than the log does. If it is not read, no request may wait for it.
		buffered = asyncwriter.New(os.Stderr, stderrBuffer)
		defer buffered.Close(stderrFlushLimit)
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
	s.RereadFile = reread
	serving, served := context.WithCancel(context.Background())
	defer served()
	go reload(serving, hup, reread)
	if buffered != nil && cfg.Operator.Capture != nil { // with capture files there is nothing to dump, but the signal must not kill the process
		usr1 := make(chan os.Signal, 1)
		signal.Notify(usr1, syscall.SIGUSR1)
		go dumpCaptures(serving, usr1, s, buffered, log)
	}
	if cfg.Operator.Durable != nil {
		usr2 := make(chan os.Signal, 1)
		signal.Notify(usr2, syscall.SIGUSR2)
		go copyLedgers(serving, usr2, s, cfg.Operator.Durable.Dir, log)
	}
	go exitAfterLimit(ctx, serving, s.ExitLimit, log)
	return s.Serve(ctx)
}

// exitAfterLimit exits the process if shutdown has not finished within the limit after the stop signal, for example because a disk does
// not answer. The state on disk is then the same as after a kill.
func exitAfterLimit(stopping, serving context.Context, limit func() time.Duration, log *slog.Logger) {
	select {
	case <-stopping.Done():
	case <-serving.Done():
		return
	}
	timer := time.NewTimer(limit())
	defer timer.Stop()
	select {
	case <-timer.C:
		log.Error("shutdown did not finish in time: exiting now")
		os.Exit(1)
	case <-serving.Done():
	}
}

// catchSignals returns a context that ends at SIGTERM or SIGINT, and sends SIGHUP to hup. It is called before anything that
// may block: a signal during the start must not kill the process. The signals stay caught until the process has exited, so
// that a repeated or late one does not kill it. hup needs to hold only one SIGHUP, because the file is read after it is
// received.
func catchSignals(hup chan<- os.Signal) (context.Context, context.CancelFunc) {
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

// copyLedgers copies the ledger into a new folder beside it at every SIGUSR2.
func copyLedgers(ctx context.Context, usr2 <-chan os.Signal, s *scheduler.Scheduler, dir string, log *slog.Logger) {
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

// reload rereads the configuration file at every SIGHUP; uncaught, that signal ends a Go program. After a reload
// the file's discovery address takes precedence over the flag and the environment, which hold that of the start.
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

// version returns the version from the build information.
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
