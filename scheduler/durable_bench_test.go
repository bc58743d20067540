package scheduler

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkDurable says what it costs that jobs are durable: one scheduler on one core for each way in which they can be,
// and one without, which get jobs in short turns, one after the other. The ledgers are in TMPDIR's file system.
//
//	go test ./scheduler -run '^$' -bench Durable -benchtime 40000x
func BenchmarkDurable(b *testing.B) {
	for _, consumers := range []int{8, 256} {
		b.Run(fmt.Sprintf("consumers=%d", consumers), func(b *testing.B) {
			ways := []string{"off", "none", "batch", "each"}
			subjects := make([]*subject, len(ways))
			folders := make([]string, len(ways))
			for i, way := range ways {
				file := ""
				if way != "off" {
					folders[i] = b.TempDir()
					file = filepath.Join(b.TempDir(), "fleet.yaml")
					text := fmt.Sprintf("durable: {dir: %s, sync: %s, keep_s: 1, max_mb: 2048}\n", folders[i], way)
					if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
						b.Fatal(err)
					}
				}
				subjects[i] = startSubject(b, os.Args[0], consumers, file)
				subjects[i].turn(4 * consumers)
				subjects[i].took = hdrhistogram.New(1, 60_000_000, 3)
			}
			turn := 20 * consumers
			cpu, took, jobs, written := make([]float64, len(ways)), make([]time.Duration, len(ways)), 0, make([]float64, len(ways))
			b.ResetTimer()
			for i := range max(4, b.N/turn) {
				for k := range ways {
					k = (k + i) % len(ways)
					s := subjects[k]
					before, wrote, began := s.used()[0], s.wrote(b), time.Now()
					s.turn(turn)
					took[k] += time.Since(began)
					cpu[k] += s.used()[0] - before
					written[k] += s.wrote(b) - wrote
				}
				jobs += turn
			}
			b.StopTimer()
			for k, way := range ways {
				b.ReportMetric(float64(jobs)/took[k].Seconds(), way+"-jobs/s")
				b.ReportMetric(cpu[k]/float64(jobs), way+"-cpu-us/job")
				b.ReportMetric(float64(subjects[k].took.ValueAtQuantile(50)), way+"-p50-us")
				b.ReportMetric(float64(subjects[k].took.ValueAtQuantile(99)), way+"-p99-us")
				if way != "off" {
					b.ReportMetric(written[k]/float64(jobs), way+"-written-B/job")
				}
			}
		})
	}
}

// wrote is how many bytes the subject has given to the disk up to now, as the system counts it.
func (s *subject) wrote(b *testing.B) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", s.pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(raw), "\nwrite_bytes: ")
	var n float64
	if _, err := fmt.Sscan(rest, &n); err != nil {
		b.Fatal(err)
	}
	return n
}
