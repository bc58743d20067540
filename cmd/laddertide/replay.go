package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"laddertide/capture"
	"laddertide/internal/asyncwriter"
	"laddertide/scheduler"
)

// exitError is the error of a command that examined its input completely and found a fault, with the exit code of the program.
// For replay: 2, a decision differs; 3, none differs, but a part could not be replayed. For all other errors the code is 1.
type exitError struct {
	code int
	what string
}

func (f *exitError) Error() string { return f.what }

// replay repeats the decisions of a capture. The operators' file is checked, but only supplies the folder of the captures,
// as each capture holds the settings and the seed of its scheduler.
func replay(args []string, operators string, out io.Writer) error {
	if len(args) != 1 {
		return errors.New("replay wants one file")
	}
	path := args[0]
	if operators != "" {
		set, err := scheduler.LoadCapture(operators)
		if err != nil {
			return err
		}
		if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) && set != nil && set.Dir != "" && path == filepath.Base(path) {
			path = filepath.Join(set.Dir, path)
		}
	}
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	res, err := capture.Replay(file, out)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintf(out, "%d lines replayed, %d differences", res.Lines, res.Differences)
	if res.Invalid+res.Skipped+res.Gaps > 0 {
		fmt.Fprintf(out, "; %d bad lines, %d skipped after them, %d gaps", res.Invalid, res.Skipped, res.Gaps)
	}
	fmt.Fprintln(out)
	switch {
	case res.Differences > 0:
		return &exitError{2, "decisions differ"}
	case res.Invalid+res.Skipped+res.Gaps > 0 || res.Segments == 0:
		return &exitError{3, "not all of the capture could be replayed"}
	}
	return nil
}

// dumpCaptures writes the ring of the capture to standard error at every SIGUSR1.
func dumpCaptures(ctx context.Context, usr1 <-chan os.Signal, s *scheduler.Scheduler, to *asyncwriter.Writer, log *slog.Logger) {
	for {
		select {
		case <-usr1:
		case <-ctx.Done():
			return
		}
		if err := s.WriteCapture(to.WriteWait); err != nil {
			log.Error("cannot write the capture", "err", err)
		}
	}
}
