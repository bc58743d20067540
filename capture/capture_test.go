package capture

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laddertide/dispatch"
	"laddertide/internal/pin"
	"laddertide/operator"
	"laddertide/policy"
)

func TestMain(m *testing.M) { pin.Run(m) }

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// newEngine returns an engine with providers, and the Recorder that observes it.
func newEngine(t *testing.T, set Settings, log *slog.Logger) (*dispatch.Engine, *Recorder) {
	t.Helper()
	d, err := dispatch.New(policy.Settings{
		Seed: 0xfedcba9876543210, Balancers: 2, MaxAttempts: 4, Cancel: true, TellsStart: true, WorthByWork: true, MaxRetryAfter: time.Second,
		ColdFrom: 0.3, WarmWithin: 9 * time.Second, FallMultiple: 3, FallWindow: time.Second, Probes: true, Subscribe: true,
		Classes: []policy.Class{{Name: "check", Aim: time.Second, Stretch: 2, Deadline: 5 * time.Second, Worth: 1, Kind: -1},
			{Name: "issue", Aim: time.Second, Deadline: 5 * time.Second, Worth: 8, Effect: policy.Unsafe, Kind: -1}},
	}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	r := New(set, log)
	d.Observe(r)
	d.UpdateProviders(policy.ListCached, 41, []policy.Entry{{Weight: 2}, {Weight: 3, Zone: 1}, {Weight: 2, Kind: 1}}, []string{"a", "b", "c \"\n"})
	return d, r
}

// runJobs runs jobs, several at a time, with all kinds of ends.
func runJobs(d *dispatch.Engine, jobs int) {
	var open []*dispatch.Ticket
	for i := range jobs {
		j := dispatch.Job{ID: fmt.Sprintf("j%d", i), Class: i % 2, TenantName: "x\ny\"\xff", TimeLeft: 5 * time.Second,
			Deadline: 5 * time.Second, Hint: time.Duration(i) * time.Millisecond, Slots: 0.1 + float64(i%3)}
		if i%7 == 3 { // a job of a previous process, sent to a provider that has left or not
			open = append(open, d.Resume(j, []dispatch.PastAttempt{{Provider: "a", Age: time.Second, MayHaveRun: i%14 == 3},
				{Provider: fmt.Sprintf("left\n%d", i%3), Age: time.Second / 2, Started: i%3 == 0, InFlight: i%4 > 0, MayHaveRun: i%4 == 0}}))
		} else {
			open = append(open, d.Submit(j))
		}
		if len(open) < 8 {
			continue
		}
		t := open[0]
		open = open[1:]
		end := dispatch.Served
		if i%5 == 0 && i < 100 { // each end twice; more would make the module avoid providers for a while
			end = dispatch.End(i / 5 % int(dispatch.Withdrawn+1))
		}
		for ; ; end = dispatch.Served {
			if i%11 == 0 {
				t.Leave()
			}
			if v := t.NextVerdict(); v.Kind != dispatch.Attempt && v.Kind != dispatch.Await {
				break
			}
			t.HandleReport(dispatch.ProviderReport{Kind: dispatch.StartReport})
			t.Report(end)
		}
	}
	d.Stop(time.Now().Add(time.Minute))
}

func (r *Recorder) dump() []byte {
	var b bytes.Buffer
	r.Dump(func(p []byte) bool { b.Write(p); return true })
	return b.Bytes()
}

func checkReplay(t *testing.T, text []byte, lines int) Result {
	t.Helper()
	var out strings.Builder
	res, err := Replay(bytes.NewReader(text), &out)
	if err != nil || res.Differences+res.Invalid+res.Skipped > 0 || res.Truncated || res.Lines < lines {
		t.Fatalf("%+v, %v\n%.2000s", res, err, out.String())
	}
	return res
}

// The capture is complete: a replay makes the same decisions across segments, each of which begins with the state that the
// lines before it lead to, and the ring stays within MaxBytes.
func TestRing(t *testing.T) {
	d, r := newEngine(t, Settings{MaxBytes: 128 << 10, Files: 3}, quiet)
	runJobs(d, 30)
	if res := checkReplay(t, r.dump(), 60); res.Segments != 1 || res.Gaps != 0 {
		t.Fatalf("%+v", res)
	}
	runJobs(d, 600)
	d.Close() // the module's own timers are steps as well
	text := r.dump()
	if res := checkReplay(t, text, 150); res.Segments != 3 || res.Gaps != 0 || len(text) > 128<<10 {
		t.Fatalf("%+v in %d bytes", res, len(text))
	}
	if r.ring[0].number < 3 {
		t.Fatalf("begins with segment %d", r.ring[0].number)
	}
	// A missing segment, and a state that the lines before it do not lead to, are detected.
	second := bytes.Index(text, []byte("\n{\"capture\"")) + 1
	third := second + bytes.Index(text[second:], []byte("\n{\"capture\"")) + 1
	if res := checkReplay(t, append(text[:second:second], text[third:]...), 50); res.Gaps != 1 {
		t.Fatalf("%+v", res)
	}
	line := bytes.LastIndexByte(text[:second-1], '\n') + 1
	if res, _ := Replay(bytes.NewReader(append(text[:line:line], text[second:]...)), io.Discard); res.Differences == 0 {
		t.Fatal("a missing line is not detected")
	}
}

// A panic in the module is recorded: a replay panics at the same line, and continues as the module did.
func TestPanic(t *testing.T) {
	d, r := newEngine(t, Settings{MaxBytes: 128 << 10, Files: 4}, quiet)
	runJobs(d, 10)
	d.Submit(dispatch.Job{ID: "odd", Tenant: -1, TimeLeft: time.Second, Slots: 1}) // the codec accepts no such tenant
	runJobs(d, 100)
	text := r.dump()
	if res := checkReplay(t, text, 200); res.Segments < 2 || res.Gaps > 0 || bytes.Count(text, []byte(`"panic":true`)) != 1 {
		t.Fatalf("%+v\n%s", res, text)
	}
	text = bytes.Replace(text, []byte(`"panic":true,`), nil, 1)
	if res, _ := Replay(bytes.NewReader(text), io.Discard); res.Differences != 1 {
		t.Fatalf("%+v", res)
	}
}

// Every line is valid JSON, with the keys that describe the event.
func TestLines(t *testing.T) {
	d, r := newEngine(t, Settings{MaxBytes: 128 << 10, Files: 2}, quiet)
	d.Submit(dispatch.Job{ID: "9b1f03aa5c7e2d41", TenantName: "willamette-crews", TimeLeft: time.Second, Deadline: 5 * time.Second, Slots: 1})
	lines := bytes.Split(bytes.TrimSpace(r.dump()), []byte("\n"))
	var got struct {
		T                          json.Number
		ID, Class, Tenant, To, Out string
		DeadlineMS                 float64 `json:"deadline_ms"`
		Index                      int
	}
	// The third line: it follows the head and the list, and a timer of the job may follow it.
	if err := json.Unmarshal(lines[2], &got); err != nil {
		t.Fatal(err)
	}
	if got.ID != "9b1f03aa5c7e2d41" || got.Class != "check" || got.Tenant != "willamette-crews" || got.DeadlineMS != 5000 ||
		got.Index != 41 || got.To == "" || got.T == "" {
		t.Fatalf("%+v", got)
	}
	rapid.Check(t, func(t *rapid.T) {
		var back string
		text := rapid.OneOf(rapid.String(), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) })).Draw(t, "text")
		line := appendString(nil, text)
		if err := json.Unmarshal(line, &back); err != nil || back != strings.ToValidUTF8(text, "\ufffd") && !strings.Contains(back, "\ufffd") ||
			bytes.ContainsAny(line, "\n\r") {
			t.Fatalf("%q: %s, %v", text, line, err)
		}
		at := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "t"))
		if got, err := parseMillis(string(appendMillis(nil, at))); err != nil || got != at {
			t.Fatalf("%d: %s, %v", at, appendMillis(nil, at), err)
		}
	})
}

// A replay of anything but a capture ends, reports that, and is never taken for one without differences.
func TestGarbage(t *testing.T) {
	d, r := newEngine(t, Settings{MaxBytes: 128 << 10, Files: 2}, quiet)
	runJobs(d, 30)
	valid := r.dump()
	rapid.Check(t, func(t *rapid.T) {
		text := bytes.Clone(valid)
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			text[rapid.IntRange(0, len(text)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		Replay(bytes.NewReader(text), io.Discard)
		text = rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "garbage")
		res, _ := Replay(bytes.NewReader(text), io.Discard)
		if res.Segments > 0 || res.Invalid == 0 && !res.Truncated {
			t.Fatalf("%+v", res)
		}
	})
}

func readFiles(t *testing.T, dir string) (texts [][]byte) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, b)
	}
	return texts
}

// With a folder the ring consists of files: each can be replayed by itself, and a restart continues after the old ones.
func TestFiles(t *testing.T) {
	set := Settings{MaxBytes: 160 << 10, Files: 4, Dir: t.TempDir()}
	for range 2 {
		d, r := newEngine(t, set, quiet)
		r.Start()
		for range 4 {
			runJobs(d, 100)
			time.Sleep(writeEvery + 50*time.Millisecond) // so that the queue does not overflow
		}
		r.Close()
	}
	texts, total := readFiles(t, set.Dir), 0
	for _, text := range texts {
		// The last file of a process may have its head alone.
		if res := checkReplay(t, text, 0); res.Segments != 1 || res.Gaps != 0 {
			t.Errorf("%+v", res)
		}
		total += len(text)
	}
	if len(texts) != 4 || total > set.MaxBytes || total < set.MaxBytes/2 {
		t.Fatalf("%d files, %d bytes", len(texts), total)
	}
	end := slices.Concat(texts[2], texts[3]) // a file may begin right after the stop
	at := bytes.LastIndex(end, []byte(`"event":"stop"`))
	if at < 0 {
		t.Fatalf("ends with %s", end[len(end)-200:])
	}
	// Jobs that are open at the stop have timers for their starts.
	for _, line := range bytes.Split(bytes.TrimSpace(end[at:]), []byte("\n"))[1:] {
		if !bytes.Contains(line, []byte(`"event":"timer"`)) && !bytes.HasPrefix(line, []byte(`{"capture":`)) {
			t.Fatalf("after the stop comes %s", line)
		}
	}
}

// A missing folder is logged and affects nothing else; once it exists a file is written, which records the gap.
func TestMissingFolder(t *testing.T) {
	set := Settings{MaxBytes: 160 << 10, Files: 4, Dir: filepath.Join(t.TempDir(), "captures")}
	var log bytes.Buffer
	d, r := newEngine(t, set, slog.New(slog.NewTextHandler(&log, nil)))
	r.Start()
	runJobs(d, 20)
	time.Sleep(2 * writeEvery)
	if err := os.Mkdir(set.Dir, 0o700); err != nil {
		t.Fatal(err)
	}
	time.Sleep(retryAfter)
	runJobs(d, 20)
	r.Close()
	if !strings.Contains(log.String(), "capture not written") {
		t.Errorf("the log: %s", log.String())
	}
	texts := readFiles(t, set.Dir)
	if len(texts) != 1 {
		t.Fatalf("%d files", len(texts))
	}
	if res := checkReplay(t, texts[0], 20); res.Gaps != 1 {
		t.Fatalf("%+v", res)
	}
}

// A disk that accepts nothing costs a bounded amount of memory, and events, whose number the next segment records.
func TestDiskStuck(t *testing.T) {
	set := Settings{MaxBytes: 4 << 20, Files: 4, Dir: t.TempDir()}
	d, r := newEngine(t, set, quiet)
	for range 10 {
		runJobs(d, 500) // nothing is started, so nothing is written
	}
	r.mu.Lock()
	queued, gap := r.disk.bytes, r.gap
	r.mu.Unlock()
	if queued > queueBytes || queued < queueBytes/2 || gap == 0 {
		t.Fatalf("%d bytes are queued, %d events are lost", queued, gap)
	}
	r.Start()
	time.Sleep(retryAfter + 2*writeEvery)
	runJobs(d, 20)
	r.Close()
	gaps := 0
	for _, text := range readFiles(t, set.Dir) {
		gaps += checkReplay(t, text, 0).Gaps
	}
	if gaps != 1 {
		t.Fatalf("%d gaps", gaps)
	}
}

// A state that is too large for a segment is logged once, and nothing is recorded; jobs are not affected.
func TestStateTooLarge(t *testing.T) {
	var log bytes.Buffer
	d, r := newEngine(t, Settings{MaxBytes: 64 << 10, Files: 2}, slog.New(slog.NewTextHandler(&log, nil)))
	entries, names := make([]policy.Entry, 300), make([]string, 300)
	for i := range names {
		names[i] = fmt.Sprintf("s-%d", i)
	}
	d.UpdateProviders(policy.ListFull, 42, entries, names)
	runJobs(d, 300)
	d.Close()
	if n := strings.Count(log.String(), "too large"); n != 1 {
		t.Fatalf("logged %d times: %s", n, log.String())
	}
	if text := r.dump(); len(text) > 64<<10 {
		t.Fatalf("%d bytes", len(text))
	}
}

func TestSettings(t *testing.T) {
	dir := t.TempDir()
	parse := func(text string) (Settings, error) {
		path := filepath.Join(dir, "fleet.yaml")
		if err := os.WriteFile(path, []byte("capture:\n"+text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := operator.Load(path, "capture")
		if err != nil {
			t.Fatal(err)
		}
		set, err := Parse(f.Section("capture"))
		if err == nil {
			err = set.CheckDir()
		}
		return set, err
	}
	if got, err := parse(""); err != nil || got != (Settings{MaxBytes: 786432, Files: 4}) {
		t.Fatalf("%+v, %v", got, err)
	}
	if got, err := parse("  dir: " + dir + "\n"); err != nil || got.Dir != dir {
		t.Fatalf("%+v, %v", got, err)
	}
	for text, key := range map[string]string{
		"max_bytes: 1000": "max_bytes", "max_bytes: 768KiB": "max_bytes", "files: 1": "files", "files: 0": "files", "files: 100": "max_bytes",
		"dir: " + dir + "/none": "dir", "dir: " + dir + "/fleet.yaml": "dir", "dir:": "dir", "file: 3": "file",
	} {
		if _, err := parse("  " + text + "\n"); err == nil || !strings.Contains(err.Error(), "capture."+key+": ") {
			t.Errorf("%s: %v", text, err)
		}
	}
}
