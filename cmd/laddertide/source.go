package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/pflag"

	"laddertide/configuration/source"
	"laddertide/scheduler"
)

const sourceUsage = `laddertide source: a member of the quorum that keeps the configuration of all schedulers

  laddertide source --file FILE          take part until SIGTERM or SIGINT
  laddertide source --file FILE --check  read the file and report what is wrong with it

The file is described in docs/operate/configuration.md.

`

// runSource runs the command source.
func runSource(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("laddertide source", pflag.ContinueOnError)
	file := flags.String("file", "", "the source's file")
	check := flags.Bool("check", false, "read the file, and no more")
	level := flags.String("log-level", "info", "debug, info, warn or error")
	flags.Usage = func() { fmt.Fprintln(out, sourceUsage+flags.FlagUsages()) }
	if err := flags.Parse(args); err == pflag.ErrHelp {
		return nil
	} else if err != nil {
		return err
	}
	var lv slog.Level
	if err := lv.UnmarshalText([]byte(*level)); err != nil {
		return err
	}
	switch {
	case flags.NArg() > 0:
		return fmt.Errorf("unknown command %q of source: it takes only flags", flags.Arg(0))
	case *file == "":
		return errors.New("source wants --file with its file")
	}
	cfg, err := source.Load(*file)
	if err != nil {
		return err
	}
	if *check {
		fmt.Fprintf(out, "%s: usable; member %s of %d\n", *file, cfg.Name, len(cfg.Members))
		return nil
	}
	cfg.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: lv}))
	cfg.Validate = scheduler.CheckDocument
	s, err := source.New(cfg)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg.Log.Info("source of configuration", "version", version(), "listen", s.Addr(), "member", cfg.Name)
	return s.Serve(ctx)
}
