package scheduler

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"laddertide/directory"
	"laddertide/wire/http1"
)

// cpuListen and cpuProvider are the variables by which BenchmarkRequest makes this program the scheduler that it
// measures.
const cpuListen, cpuProvider = "LADDERTIDE_CPU_LISTEN", "LADDERTIDE_CPU_PROVIDER"

func TestMain(m *testing.M) {
	if os.Getenv(cpuListen) != "" {
		measured()
		return
	}
	os.Exit(m.Run())
}

// measured is a scheduler in a process of its own. For each line that it reads it says what it has used up to then:
// microseconds of CPU, allocations, and bytes of them.
func measured() {
	cfg, err := Parse([]byte(config))
	if err != nil {
		panic(err)
	}
	cfg.Listen, cfg.Discovery = os.Getenv(cpuListen), "127.0.0.1:1"
	cfg.Limits = Limits{Sockets: 1024, Cores: 1}
	cfg.Known = directory.List{Index: 41, Snapshot: true, Entries: []directory.Entry{{Name: "s-0badcafe",
		Address: os.Getenv(cpuProvider), Status: directory.Serving, Weight: 40, Type: "fast-2", Zone: "tukwila"}}}
	s, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		panic(err)
	}
	go func() { panic(s.Serve(context.Background())) }()
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		var ru syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
			panic(err)
		}
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		fmt.Println((ru.Utime.Nano()+ru.Stime.Nano())/1000, mem.Mallocs, mem.TotalAlloc)
	}
}

// BenchmarkRequest says what a job costs a scheduler on one core: CPU, allocations and bytes. The scheduler is a
// process of its own; its consumers and its provider, which tells of start and end, are here, on real sockets. To
// compare two trees, build each one's test program (go test -c -o NAME ./scheduler), and run them in turn, many times:
//
//	NAME -test.run '^$' -test.bench Request -test.benchtime 20000x
func BenchmarkRequest(b *testing.B) {
	worker, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer worker.Close()
	child := exec.Command(os.Args[0])
	address := ownAddress()
	child.Env = append(os.Environ(), cpuListen+"="+address, cpuProvider+"="+worker.Addr().String())
	child.Stderr = os.Stderr
	in, err := child.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := child.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := child.Start(); err != nil {
		b.Fatal(err)
	}
	defer child.Wait()
	defer in.Close()
	used := func() (n [3]float64) {
		fmt.Fprintln(in)
		if _, err := fmt.Fscan(out, &n[0], &n[1], &n[2]); err != nil {
			b.Fatal(err)
		}
		return n
	}
	used()
	for range 1000 {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	go work(worker, address)

	const consumers = 8
	run := func(n int, name string) {
		var all sync.WaitGroup
		for k := range consumers {
			all.Go(func() {
				c, err := net.Dial("tcp", address)
				if err != nil {
					b.Error(err)
					return
				}
				defer c.Close()
				br := bufio.NewReader(c)
				for i := k; i < n; i += consumers {
					fmt.Fprintf(c, "POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s-%d\r\n"+
						"X-Class: settle\r\nX-Tenant: rainier-haul\r\nX-Deadline-Ms: 20000\r\n"+
						"Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nX-Cost-Hint: 1000\r\n"+
						"X-Extras: slots=1,memory=0.40\r\nContent-Length: 212\r\n\r\n%s", name, i, strings.Repeat("x", 212))
					h, err := http1.ReadResponseHead(br)
					if err == nil {
						_, err = h.ReadBody(br)
					}
					if err != nil || h.Status != 200 {
						b.Errorf("%+v, %v", h, err)
						return
					}
				}
			})
		}
		all.Wait()
	}
	run(2000, "warm")
	before := used()
	b.ResetTimer()
	run(b.N, "job")
	b.StopTimer()
	after := used()
	for i, unit := range []string{"cpu-us/job", "allocs/job", "B/job"} {
		b.ReportMetric((after[i]-before[i])/float64(b.N), unit)
	}
}

// work is a provider that takes each job, and tells of its start and its end at once.
func work(ln net.Listener, scheduler string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			back, err := net.Dial("tcp", scheduler)
			if err != nil {
				return
			}
			defer back.Close()
			br, answers := bufio.NewReader(c), bufio.NewReader(back)
			for {
				h, err := http1.ReadRequestHead(br)
				if err != nil {
					return
				}
				if _, err := h.ReadBody(br); err != nil {
					return
				}
				io.WriteString(c, taken)
				for _, rest := range []string{`started"}`, `done","result":"0123456789abcdef"}`} {
					body := `{"id":"` + h.Fields.Get("X-Request-Id") + `","from":"s-0badcafe","state":"` + rest
					io.WriteString(back, post("/v1/job-events", body))
					if _, err := http1.ReadResponseHead(answers); err != nil {
						return
					}
				}
			}
		}()
	}
}
