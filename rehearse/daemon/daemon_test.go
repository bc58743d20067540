package daemon

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The test binary plays the scheduler, and in one test the kit that dies.
func TestMain(m *testing.M) {
	switch os.Getenv("PLAY") {
	case "":
		os.Exit(m.Run())
	case "writes":
		f, err := os.CreateTemp("", "full-")
		if err != nil {
			panic(err)
		}
		for os.Remove(f.Name()); ; time.Sleep(5 * time.Millisecond) {
			if _, err := f.WriteString("x"); err != nil {
				fmt.Println(err)
			} else {
				fmt.Println("written")
			}
		}
	case "sleep":
		fmt.Println("up", os.Getpid())
		time.Sleep(time.Minute)
	case "exit":
		fmt.Fprintln(os.Stderr, "first\nlast words")
		os.Exit(7)
	case "panic":
		panic("on purpose")
	case "hoard":
		b := bytes.Repeat([]byte{1}, 200<<20)
		time.Sleep(time.Minute)
		fmt.Println(len(b))
	case "files":
		n := 0
		for ; n < 500; n++ {
			if _, err := os.Open("/dev/null"); err != nil {
				break
			}
		}
		fmt.Println("opened", n)
		time.Sleep(2 * time.Second)
	case "parent":
		cmd := exec.Command(os.Args[0])
		cmd.Env = []string{"PLAY=sleep"}
		if err := cmd.Start(); err != nil {
			panic(err)
		}
		fmt.Println("child", cmd.Process.Pid)
	case "kit":
		p := play("sleep", Limits{})
		fmt.Println("child", p.PID())
		time.Sleep(time.Minute)
	}
}

func play(what string, limits Limits) *Process {
	p, err := Start(Program{Path: os.Args[0]}, "", []string{"PLAY=" + what}, limits, nil)
	if err != nil {
		panic(err)
	}
	return p
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 3000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not seen: " + what)
}

func ended(t *testing.T, p *Process) {
	t.Helper()
	select {
	case <-p.Done():
	case <-time.After(30 * time.Second):
		t.Fatal("it has not ended")
	}
}

func TestTellsHowAProcessEnded(t *testing.T) {
	for what, want := range map[string]struct {
		code  int
		words string
	}{"exit": {7, "last words"}, "panic": {2, "panic: on purpose"}} {
		p := play(what, Limits{})
		ended(t, p)
		if code, words := p.End(); code != want.code || !strings.HasPrefix(words, want.words) {
			t.Errorf("%s: %d, %q", what, code, words)
		}
	}
	p := play("sleep", Limits{})
	p.Kill()
	ended(t, p)
	if code, _ := p.End(); code != 128+int(syscall.SIGKILL) {
		t.Errorf("killed: %d", code)
	}
}

func TestMemoryOverTheLimitIsKilledAndSaid(t *testing.T) {
	p := play("hoard", Limits{MemoryMB: 100})
	ended(t, p)
	if _, words := p.End(); !strings.HasPrefix(words, "killed for memory: ") || p.Usage().PeakMB < 100 {
		t.Errorf("%q, peak %g MB", words, p.Usage().PeakMB)
	}
}

func TestDescriptorsAreLimitedAndCounted(t *testing.T) {
	p := play("files", Limits{Sockets: 100})
	defer p.Kill()
	await(t, "opened", func() bool { return strings.HasPrefix(p.LastWords(), "opened") })
	n, _ := strconv.Atoi(strings.TrimPrefix(p.LastWords(), "opened "))
	if n < 50 || n >= 100 {
		t.Errorf("%d files under a limit of 100", n)
	}
	await(t, "their count", func() bool { return p.Usage().Descriptors > 50 })
}

// A full disk fails writes, ends nobody, and heals.
func TestADiskThatIsFull(t *testing.T) {
	p := play("writes", Limits{})
	defer p.Kill()
	await(t, "a write", func() bool { return p.LastWords() == "written" })
	for range 2 {
		if err := p.Full(true); err != nil {
			t.Fatal(err)
		}
		await(t, "a failing write", func() bool { return strings.HasSuffix(p.LastWords(), "file too large") })
		if err := p.Full(false); err != nil {
			t.Fatal(err)
		}
		await(t, "a write that goes through again", func() bool { return p.LastWords() == "written" })
	}
	p.Kill()
	ended(t, p)
	if err := p.Full(true); err != nil {
		t.Errorf("of one that has ended: %v", err)
	}
}

// However the kit ends, its children must not outlive it.
func TestChildrenDieWithAKitThatIsKilled(t *testing.T) {
	kit := exec.Command(os.Args[0])
	kit.Env = []string{"PLAY=kit"}
	var out bytes.Buffer
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	kit.Stdout = w
	if err := kit.Start(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	line := make([]byte, 100)
	n, err := r.Read(line)
	out.Write(line[:n])
	pid, convErr := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(out.String(), "child ")))
	if err != nil || convErr != nil || syscall.Kill(pid, 0) != nil {
		t.Fatalf("no child: %q, %v, %v", out.String(), err, convErr)
	}
	kit.Process.Kill()
	kit.Wait()
	await(t, "the child's end", func() bool { return syscall.Kill(pid, 0) == syscall.ESRCH || zombie(pid) })
}

// zombie tells whether a process is dead and nobody has asked how it ended: whoever adopted it may be slow.
func zombie(pid int) bool {
	stat, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	return err != nil || strings.Contains(string(stat), ") Z ")
}

func TestFindsTheGivenDaemonOnly(t *testing.T) {
	dir := t.TempDir()
	plain := filepath.Join(dir, "plain")
	if err := os.WriteFile(plain, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{filepath.Join(dir, "none"), dir, plain} {
		if _, _, err := Find(context.Background(), path); err == nil || !strings.HasPrefix(err.Error(), "daemon: ") {
			t.Errorf("%s: %v", path, err)
		}
	}
	if path, _, err := Find(context.Background(), os.Args[0]); err != nil || path != os.Args[0] {
		t.Errorf("%s, %v", path, err)
	}
}

// A scheduler that ends must not leave behind what it has started.
func TestNothingIsLeftOfOneThatEnded(t *testing.T) {
	p := play("parent", Limits{})
	ended(t, p)
	_, words := p.End()
	pid, err := strconv.Atoi(strings.TrimPrefix(words, "child "))
	if err != nil {
		t.Fatalf("it said %q", words)
	}
	await(t, "the end of the child", func() bool {
		raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
		return err != nil || bytes.Contains(raw, []byte(") Z "))
	})
}
