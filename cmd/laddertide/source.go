package main

import (
	"context"
	"encoding/json"
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
  laddertide source --file FILE --check  read the file and say what is wrong with it

The file is told of in docs/operate/configuration.md.

`

// runSource is the command source.
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
		return fmt.Errorf("unknown command %q of source: it has flags alone", flags.Arg(0))
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
	cfg.Validate = checkDocument
	s, err := source.New(cfg)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg.Log.Info("source of configuration", "version", version(), "listen", s.Addr(), "member", cfg.Name)
	return s.Serve(ctx)
}

// documentFile is the rest of a configuration file round a document, by which the document is checked as check does: its own
// place in the fleet and its zone are each scheduler's, so any will do.
var documentFile = map[string]any{"name": "document", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1"}

// checkDocument checks the settings of a configuration file by the rules for a whole one.
func checkDocument(document []byte) error {
	var settings map[string]json.RawMessage
	if err := json.Unmarshal(document, &settings); err != nil {
		return fmt.Errorf("the document is no JSON object of settings: %w", err)
	}
	if settings == nil {
		return errors.New("the document is null")
	}
	settings["me"], settings["zone"] = json.RawMessage("0"), json.RawMessage("0")
	file := map[string]any{"settings": settings}
	for key, value := range documentFile {
		file[key] = value
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return err
	}
	cfg, err := scheduler.Parse(raw)
	if err != nil {
		return err
	}
	return cfg.Check()
}
