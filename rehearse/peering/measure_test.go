package peering

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"laddertide/rehearse/daemon"
	"laddertide/rehearse/daemon/daemontest"
)

// long skips a measurement unless it is asked for: it takes minutes of a machine that is better left alone meanwhile.
func long(t *testing.T) {
	t.Helper()
	if os.Getenv("LADDERTIDE_LONG") == "" {
		t.Skip("LADDERTIDE_LONG is not set")
	}
}

// costs is what some processes take.
type costs struct {
	cpu                  time.Duration // each, since it began
	resident, pss, anon  float64       // each, in MB
	descriptors, threads int           // the most of one
}

// look reads the system's account of all processes that run.
func look(t *testing.T, all []*post) (c costs) {
	t.Helper()
	for _, p := range all {
		folder := filepath.Join("/proc", strconv.Itoa(p.proc.PID()))
		stat, err := os.ReadFile(filepath.Join(folder, "stat"))
		if err != nil {
			t.Fatal(err)
		}
		rollup, err := os.ReadFile(filepath.Join(folder, "smaps_rollup"))
		if err != nil {
			t.Fatal(err)
		}
		open, err := os.ReadDir(filepath.Join(folder, "fd"))
		if err != nil {
			t.Fatal(err)
		}
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])) // the state is the first
		ticks := func(i int) time.Duration {
			n, _ := strconv.Atoi(fields[i])
			return time.Duration(n) * 10 * time.Millisecond
		}
		mb := func(name string) float64 {
			_, rest, _ := strings.Cut(string(rollup), "\n"+name+":")
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
		threads, _ := strconv.Atoi(fields[17])
		c.cpu += ticks(11) + ticks(12)
		c.resident, c.pss, c.anon = c.resident+mb("Rss"), c.pss+mb("Pss"), c.anon+mb("Anonymous")
		c.descriptors, c.threads = max(c.descriptors, len(open)), max(c.threads, threads)
	}
	n := float64(len(all))
	c.cpu /= time.Duration(len(all))
	c.resident, c.pss, c.anon = c.resident/n, c.pss/n, c.anon/n
	return c
}

var unreachable = regexp.MustCompile(`time=(\S+) \S+ msg="scheduler unreachable" peer=(\S+)`)

// alarms are the times at which a scheduler has given up another one, by its log.
func (p *post) alarms(of string) (at []time.Time) {
	for _, found := range unreachable.FindAllStringSubmatch(p.log.all(), -1) {
		if when, err := time.Parse(time.RFC3339Nano, found[1]); err == nil && (of == "" || found[2] == of) {
			at = append(at, when)
		}
	}
	return at
}

// TestMany measures what each of many processes costs beside one that knows nobody, and how long all others take to notice
// that one was killed. LADDERTIDE_MANY names how many there are; 30 and 100 if it is not set.
func TestMany(t *testing.T) {
	long(t)
	sizes := []int{30, 100}
	if n, err := strconv.Atoi(os.Getenv("LADDERTIDE_MANY")); err == nil {
		sizes = []int{n}
	}
	for _, n := range sizes {
		t.Run(strconv.Itoa(n), func(t *testing.T) { many(t, n) })
	}
}

func many(t *testing.T, n int) {
	const idle, kills = 30 * time.Second, 10
	r := newRig(t, n)
	measure := func(what string) {
		before := look(t, r.all)
		time.Sleep(idle)
		after := look(t, r.all)
		t.Logf("%d %s: CPU %s in %s; resident %.1f MB, Pss %.1f, anonymous %.1f; %d descriptors, %d threads at most", n, what,
			(after.cpu - before.cpu).Round(time.Millisecond), idle, after.resident, after.pss, after.anon, after.descriptors, after.threads)
	}
	began := time.Now()
	for _, p := range r.all {
		p.start()
	}
	for _, p := range r.all {
		p.ready()
	}
	r.whole(n)
	t.Logf("%d are whole %s after the first start", n, time.Since(began).Round(100*time.Millisecond))
	measure("with each other")
	var all, last []time.Duration
	for i := range kills {
		dead := r.all[(7*i+3)%n]
		killed := time.Now()
		dead.kill()
		var noticed []time.Duration
		r.until(dead.name+"'s end is noticed", func() bool {
			time.Sleep(time.Second) // logs are read whole
			noticed = noticed[:0]
			for _, p := range r.all {
				if p == dead {
					continue
				}
				at := p.alarms(dead.name)
				at = slices.DeleteFunc(at, func(at time.Time) bool { return at.Before(killed) })
				if len(at) == 0 {
					return false
				}
				noticed = append(noticed, at[0].Sub(killed))
			}
			return true
		})
		all, last = append(all, noticed...), append(last, slices.Max(noticed))
		dead.start()
		dead.ready()
		r.whole(n)
	}
	slices.Sort(all)
	slices.Sort(last)
	ms := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
	t.Logf("%d kills among %d: noticed by one p50 %s, p99 %s, worst %s; by all p50 %s, worst %s", kills, n, ms(all[len(all)/2]),
		ms(all[len(all)*99/100]), ms(all[len(all)-1]), ms(last[len(last)/2]), ms(last[len(last)-1]))
	for _, p := range r.all {
		p.kill()
		p.alone = true
		p.start()
	}
	for _, p := range r.all {
		p.ready()
	}
	measure("by themselves")
}

// TestFalseAlarms counts what five idle processes take for lost beside three busy loops a core, for ten minutes or
// LADDERTIDE_ALARM_S seconds.
func TestFalseAlarms(t *testing.T) {
	long(t)
	lasting := 10 * time.Minute
	if s, err := strconv.Atoi(os.Getenv("LADDERTIDE_ALARM_S")); err == nil {
		lasting = time.Duration(s) * time.Second
	}
	r := newRig(t, 5)
	r.startAll()
	seen := func() (alarms, stalls int) {
		for _, p := range r.all {
			alarms += len(p.alarms(""))
			stalls += strings.Count(p.log.all(), "stood still")
		}
		return alarms, stalls
	}
	alarms, stalls := seen()
	ctx, cancel := context.WithTimeout(context.Background(), lasting)
	defer cancel()
	var busy sync.WaitGroup
	loops := 3 * runtime.NumCPU()
	for range loops {
		// It ends by itself, too, should nobody be left to end it.
		c := exec.CommandContext(ctx, "timeout", fmt.Sprint(int(lasting.Seconds())+5), "sh", "-c", "while :; do :; done")
		c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		c.Cancel = func() error { return syscall.Kill(-c.Process.Pid, syscall.SIGKILL) }
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		busy.Go(func() { c.Wait() })
	}
	busy.Wait()
	after, stood := seen()
	t.Logf("5 processes beside %d busy loops on %d cores for %s: %d false alarms of 20 pairs, %d times one stood still", loops,
		runtime.NumCPU(), lasting, after-alarms, stood-stalls)
	r.whole(5)
	for _, p := range r.all {
		f, _ := p.fleet()
		for _, m := range f.Members {
			if m.State == "left" || m.State == "forgotten" || m.Replaced > 0 {
				t.Errorf("%s takes %s, which is there, for %s after %d", p.name, m.Name, m.State, m.Replaced)
			}
		}
	}
}

// press keeps so many connections to a port until the test ends: connections that say nothing are closed there after a while, and those
// are made again. It needs no more than one dial a connection at a time.
func press(t *testing.T, to string, connections int) {
	ctx, end := context.WithCancel(t.Context())
	var all sync.WaitGroup
	t.Cleanup(func() {
		end()
		all.Wait()
	})
	for range connections {
		all.Go(func() {
			for ctx.Err() == nil {
				hold(ctx, to)
			}
		})
	}
}

// pressAgain is the time before a connection that could not be made is tried again.
const pressAgain = 20 * time.Millisecond

// hold keeps a connection until it is closed at the other end, or ctx ends.
func hold(ctx context.Context, to string) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		time.Sleep(pressAgain)
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	io.Copy(io.Discard, c)
}

// countEvery is the time between two counts of descriptors. The processes stand still during each.
const countEvery = 3 * time.Millisecond

// openTogether counts the descriptors of two processes at one moment: they stand still meanwhile, so that none that goes from one to
// the other is counted twice.
func openTogether(a, b *daemon.Process) (ofA, ofB int64) {
	defer daemontest.Stop(a, b)()
	return openOf(a), openOf(b)
}

// openOf counts a process's descriptors: none once it has ended.
func openOf(p *daemon.Process) int64 {
	open, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.PID()), "fd"))
	return int64(len(open))
}

// TestUpgradeDescriptors: the port of jobs is full to its bound while a second process takes over from the first. Both
// together stay within the limit that the scheduler counts them off.
func TestUpgradeDescriptors(t *testing.T) {
	r := newRig(t, 5)
	r.plan.Sockets = 160
	r.startAll()
	p := r.all[0]
	press(t, p.listen, 2*r.plan.Sockets)
	var most, both atomic.Int64
	old := p.proc
	full := func() bool { return openOf(old) > int64(r.plan.Sockets/2) }
	r.until("the port is full", full)
	p.admin = free(t, r.nets)
	p.start()
	over := make(chan struct{})
	counted := make(chan struct{})
	go func() {
		defer close(counted)
		for {
			a, b := openTogether(old, p.proc)
			most.Store(max(most.Load(), a+b))
			if a > 0 && b > 0 {
				both.Add(1)
			}
			select {
			case <-over:
				return
			case <-time.After(countEvery):
			}
		}
	}()
	p.ready()
	old.Signal(syscall.SIGTERM)
	<-old.Done()
	r.whole(5)
	close(over)
	<-counted
	t.Logf("at most %d descriptors of both, of %d; seen together %d times", most.Load(), r.plan.Sockets, both.Load())
	if n := most.Load(); n > int64(r.plan.Sockets) {
		t.Errorf("both processes together held %d descriptors: more than %d", n, r.plan.Sockets)
	}
	if both.Load() == 0 {
		t.Error("the two were never seen together")
	}
}

// TestStartCost compares what a start costs, with nothing turned on, of this program and of the one at LADDERTIDE_BEFORE.
func TestStartCost(t *testing.T) {
	long(t)
	before := os.Getenv("LADDERTIDE_BEFORE")
	if before == "" {
		t.Skip("LADDERTIDE_BEFORE names no program to compare with")
	}
	r := newRig(t, 1)
	p := r.all[0]
	p.alone = true
	now := daemontest.Program
	defer func() { daemontest.Program = now }()
	const times = 15
	cpu, resident := map[string][]float64{}, map[string][]float64{}
	for range times {
		for name, path := range map[string]string{"before": before, "now": now} {
			daemontest.Program = path
			p.start()
			p.ready()
			ran, c := 0.0, look(t, r.all)
			tasks, _ := filepath.Glob(filepath.Join("/proc", strconv.Itoa(p.proc.PID()), "task", "*", "schedstat"))
			for _, task := range tasks { // in ns: the account by ticks is too rough
				b, _ := os.ReadFile(task)
				if f := strings.Fields(string(b)); len(f) > 0 {
					ns, _ := strconv.ParseFloat(f[0], 64)
					ran += ns / 1e6
				}
			}
			p.kill()
			cpu[name], resident[name] = append(cpu[name], ran), append(resident[name], c.resident)
		}
	}
	for name := range cpu {
		slices.Sort(cpu[name])
		slices.Sort(resident[name])
		t.Logf("%s: CPU until ready %.1f ms (median of %d, %.1f to %.1f), resident %.1f MB (%.1f to %.1f)", name, cpu[name][times/2], times, cpu[name][0],
			cpu[name][times-1], resident[name][times/2], resident[name][0], resident[name][times-1])
	}
}
