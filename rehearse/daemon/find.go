package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	name       = "laddertide"
	mainOf     = "laddertide/cmd/laddertide"
	buildLimit = 5 * time.Minute
)

// Find returns the path of the daemon: the one given, else the one beside the kit's own program, else one that it
// builds with the Go tool into a folder that remove takes away again.
func Find(ctx context.Context, given string) (path string, remove func(), err error) {
	nothing := func() {}
	if given != "" {
		return given, nothing, usable(given)
	}
	if self, err := os.Executable(); err == nil {
		if beside := filepath.Join(filepath.Dir(self), name); usable(beside) == nil {
			return beside, nothing, nil
		}
	}
	return build(ctx)
}

// PowerLoss builds the daemon with a file layer that keeps what is not synced in memory only, so that a kill loses it as a
// power cut does. Its environment's LADDERTIDE_POWERLOSS has the plan of what gets through; see package faultfs.
func PowerLoss(ctx context.Context) (path string, remove func(), err error) {
	return build(ctx, "-tags", "powerloss")
}

func build(ctx context.Context, flags ...string) (path string, remove func(), err error) {
	nothing := func() {}
	dir, err := os.MkdirTemp("", "rehearse-daemon-")
	if err != nil {
		return "", nothing, err
	}
	remove = func() { os.RemoveAll(dir) }
	ctx, stop := context.WithTimeout(ctx, buildLimit)
	defer stop()
	path = filepath.Join(dir, name)
	cmd := exec.CommandContext(ctx, "go", append(append([]string{"build"}, flags...), "-o", path, mainOf)...)
	cmd.WaitDelay = time.Second
	if out, err := cmd.CombinedOutput(); err != nil {
		remove()
		if ctx.Err() != nil {
			return "", nothing, context.Cause(ctx)
		}
		if errors.Is(err, exec.ErrNotFound) {
			err = errors.New("the Go tool is not there")
		} else if text := strings.TrimSpace(string(out)); text != "" {
			first, _, _ := strings.Cut(text, "\n")
			err = errors.New(first)
		}
		return "", nothing, fmt.Errorf("no daemon: %s is not beside this program, and cannot be built (%w); name one with --daemon", name, err)
	}
	return path, remove, nil
}

func usable(path string) error {
	st, err := os.Stat(path)
	switch {
	case err != nil:
		return fmt.Errorf("daemon: %w", err)
	case st.IsDir():
		return fmt.Errorf("daemon: %s is a folder", path)
	case st.Mode()&0o111 == 0:
		return fmt.Errorf("daemon: %s cannot be executed", path)
	}
	return nil
}
