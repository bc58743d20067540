package measurement

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"
)

// gitTimeout bounds each call of git.
const gitTimeout = 10 * time.Second

// ThisMachine describes the machine that the program runs on.
func ThisMachine() (Machine, error) {
	model, err := procField("/proc/cpuinfo", "model name")
	if err != nil {
		return Machine{}, err
	}
	total, err := procField("/proc/meminfo", "MemTotal")
	if err != nil {
		return Machine{}, err
	}
	kilobytes, err := strconv.ParseInt(strings.TrimSuffix(total, " kB"), 10, 64)
	if err != nil {
		return Machine{}, fmt.Errorf("/proc/meminfo: MemTotal: %w", err)
	}
	return Machine{CPU: model, Cores: runtime.NumCPU(), Memory: kilobytes * 1024}, nil
}

// procField returns the value of the first line "name: value" of a file.
func procField(path, name string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		key, value, found := strings.Cut(lines.Text(), ":")
		if found && strings.TrimSpace(key) == name {
			return strings.TrimSpace(value), nil
		}
	}
	if err := lines.Err(); err != nil {
		return "", err
	}
	return "", errors.New(path + ": no " + name)
}

// ThisCommit returns the commit of the working tree in the current folder, with "+changes" if Go files differ from it.
func ThisCommit(ctx context.Context) (string, error) {
	commit, err := git(ctx, "rev-parse", "--short=10", "HEAD")
	if err != nil {
		return "", err
	}
	changed, err := git(ctx, "status", "--porcelain", "--", "*.go", "go.mod")
	if err != nil {
		return "", err
	}
	if changed != "" {
		commit += "+changes"
	}
	return commit, nil
}

func git(ctx context.Context, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, gitTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, "git", args...).Output()
	if err != nil {
		return "", fmt.Errorf("git %s: %w", args[0], err)
	}
	return strings.TrimSpace(string(out)), nil
}
