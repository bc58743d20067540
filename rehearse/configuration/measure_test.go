package configuration

import (
	"encoding/json"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"laddertide/configuration/client"
	"laddertide/rehearse/scale/measurement"
	system "laddertide/rehearse/scale/process"
	wire "laddertide/wire/configuration"
)

// Cases of a measurement.
const (
	casePlain  = measurement.CaseWithoutFailure
	caseLeader = "leader-kill"    // the leader is killed after a third of the changes, and started again after two thirds
	caseRegion = "region-cut"     // a region without the leader is cut off after a third of the changes, until two thirds
	caseZone   = "zone-loss"      // the source and the schedulers of such a region are killed, and started again, at those times
	caseAll    = "all-schedulers" // all schedulers are killed after a third of the changes, and started again at once
)

const (
	idleFor     = 10 * time.Second
	changeEvery = 130 * time.Millisecond // a change begins so long after the one before did, or as that is accepted
)

// TestMeasure measures how long a change takes until it is in force everywhere, and what it costs. It wants LADDERTIDE_LONG;
// LADDERTIDE_CASE names the case (plain), LADDERTIDE_SCHEDULERS how many there are (6), LADDERTIDE_CHANGES how many changes (500),
// and LADDERTIDE_OUT the file that the result is written to.
func TestMeasure(t *testing.T) {
	if os.Getenv("LADDERTIDE_LONG") == "" {
		t.Skip("LADDERTIDE_LONG is not set")
	}
	m := &measurement.Configuration{Case: casePlain, Schedulers: number(t, "LADDERTIDE_SCHEDULERS", 6), Changes: number(t, "LADDERTIDE_CHANGES", 500),
		Sources: regions, Regions: regions, RoundTripMS: roundTrip.Milliseconds(), ChangeEveryMS: changeEvery.Milliseconds(),
		Date: time.Now().UTC().Format(time.RFC3339)}
	if name := os.Getenv("LADDERTIDE_CASE"); name != "" {
		m.Case = name
	}
	r := newRig(t, m.Schedulers+1)
	off := r.schedulers[m.Schedulers] // for the account without the section
	off.off = true
	r.startAll()
	following := r.schedulers[:m.Schedulers]
	first := r.document(0)
	m.DocumentBytes = len(first)
	version := r.change(0, first)
	r.untilInForce(version, first, following...)
	time.Sleep(2 * time.Second) // what starts has started

	before, began := r.account(following, off), time.Now()
	time.Sleep(idleFor)
	idle := r.account(following, off).minus(before).over(time.Since(began))
	m.IdleBytesPerSecond, m.IdleCPUPercent = idle.schedulerBytes, idle.schedulerCPU*100
	m.IdleCPUPercentOff = idle.offCPU * 100
	m.SourceIdleBytesPerSecond, m.SourceIdleCPUPercent = idle.sourceBytes, idle.sourceCPU*100

	before, began = r.account(following, off), time.Now()
	run := r.makeChanges(m, version)
	r.untilInForce(version+uint64(m.Changes), run.last, following...)
	took := time.Since(began)
	spent := r.account(following, off).minus(before)
	perChange := func(total, idle float64) float64 { return (total - idle*took.Seconds()) / float64(m.Changes) }
	m.SchedulerBytesPerChange = perChange(spent.schedulerBytes, idle.schedulerBytes)
	m.SchedulerCPUPerChange = perChange(spent.schedulerCPU, idle.schedulerCPU) * 1e6
	m.SourceBytesPerChange = perChange(spent.sourceBytes, idle.sourceBytes)
	m.SourceCPUPerChange = perChange(spent.sourceCPU, idle.sourceCPU) * 1e6
	r.times(m, following, run)
	r.holdings(m)
	write(t, m)
}

func number(t *testing.T, name string, usual int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// changesMade is what a run of changes was, by version.
type changesMade struct {
	proposed, accepted []time.Time
	first              uint64 // the version of the first one
	last               []byte
	leader             *sourceProcess   // as the run began
	ask                []*sourceProcess // who is there to be asked
	following          []*schedulerProcess
	healed             time.Time // when the region that was away was to come back
	awayRegion         int       // -1: none
}

// fault is what fails after a third of a run's changes, and how it ends after two thirds. mend may be nil.
type fault struct{ strike, mend func(*rig, *changesMade) }

// faults are those of the cases.
var faults = map[string]fault{
	casePlain: {strike: func(*rig, *changesMade) {}},
	caseLeader: {
		strike: func(_ *rig, run *changesMade) {
			run.ask = slices.DeleteFunc(run.ask, func(p *sourceProcess) bool { return p == run.leader })
			run.leader.kill()
		},
		mend: func(_ *rig, run *changesMade) { run.leader.start() },
	},
	caseRegion: {
		strike: func(r *rig, run *changesMade) {
			run.loseRegion()
			r.cut(run.awayRegion)
		},
		mend: func(r *rig, run *changesMade) {
			r.heal()
			run.healed = time.Now()
		},
	},
	caseZone: {
		strike: func(r *rig, run *changesMade) {
			run.loseRegion()
			r.eachOf(run.awayRegion, (*sourceProcess).kill, (*schedulerProcess).kill)
		},
		mend: func(r *rig, run *changesMade) {
			run.healed = time.Now()
			r.eachOf(run.awayRegion, (*sourceProcess).start, func(p *schedulerProcess) { p.start() })
		},
	},
	caseAll: {
		strike: func(_ *rig, run *changesMade) {
			for _, p := range run.following {
				p.kill()
			}
			for _, p := range run.following {
				p.start()
			}
		},
	},
}

// loseRegion chooses a region without the leader: nobody asks its source any more.
func (c *changesMade) loseRegion() {
	c.awayRegion = (c.leader.region + 1) % regions
	c.ask = slices.DeleteFunc(c.ask, func(p *sourceProcess) bool { return p.region == c.awayRegion })
}

// makeChanges proposes changes, one after the other, and lets fail what the case says meanwhile.
func (r *rig) makeChanges(m *measurement.Configuration, version uint64) *changesMade {
	r.t.Helper()
	during, known := faults[m.Case]
	if !known {
		r.t.Fatalf("there is no case %q", m.Case)
	}
	run := &changesMade{first: version + 1, leader: r.leader(), ask: slices.Clone(r.sources), following: r.schedulers[:m.Schedulers],
		awayRegion: -1}
	for i := range m.Changes {
		switch {
		case i == m.Changes/3:
			during.strike(r, run)
		case i == 2*m.Changes/3 && during.mend != nil:
			during.mend(r, run)
		}
		run.last = r.document(i + 1)
		began := time.Now()
		run.proposed = append(run.proposed, began)
		version = r.propose(version, run.last, run.ask, i)
		run.accepted = append(run.accepted, time.Now())
		time.Sleep(time.Until(began.Add(changeEvery)))
	}
	return run
}

// eachOf does something to the source and the schedulers of a region. The scheduler without the section stays as it is.
func (r *rig) eachOf(region int, source func(*sourceProcess), scheduler func(*schedulerProcess)) {
	for _, p := range r.sources {
		if p.region == region {
			source(p)
		}
	}
	for _, p := range r.schedulers {
		if p.region == region && !p.off {
			scheduler(p)
		}
	}
}

// propose makes a change, asking the next source wherever one cannot tell, and returns its version.
func (r *rig) propose(base uint64, document []byte, ask []*sourceProcess, turn int) uint64 {
	r.t.Helper()
	m := &wire.Propose{Request: client.NewRequest(), Base: base, Author: "rig", Document: document}
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); turn++ {
		switch answer := ask[turn%len(ask)].propose(m); answer.Code {
		case wire.Accepted:
			return answer.Version
		case wire.Conflict, wire.Invalid, wire.RequestReuse:
			r.t.Fatalf("%+v", answer)
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatal("a change is not accepted")
	return 0
}

// account is what has been spent so far: by schedulers and sources each on the average. CPU is in seconds.
type account struct {
	schedulerBytes, schedulerCPU, offCPU, sourceBytes, sourceCPU float64
}

func (a account) minus(b account) account {
	return account{a.schedulerBytes - b.schedulerBytes, a.schedulerCPU - b.schedulerCPU, a.offCPU - b.offCPU, a.sourceBytes - b.sourceBytes,
		a.sourceCPU - b.sourceCPU}
}

func (a account) over(d time.Duration) account {
	s := d.Seconds()
	return account{a.schedulerBytes / s, a.schedulerCPU / s, a.offCPU / s, a.sourceBytes / s, a.sourceCPU / s}
}

// account reads the relays' counts and the system's account of each process.
func (r *rig) account(following []*schedulerProcess, off *schedulerProcess) (a account) {
	bytes := func(x, y string) float64 { return float64(r.links.Counts(x, y).Bytes + r.links.Counts(y, x).Bytes) }
	n, sources := float64(len(following)), float64(len(r.sources))
	for _, p := range following {
		a.schedulerCPU += p.cpu() / n
		for _, source := range r.sources {
			passed := bytes(p.name, source.name)
			a.schedulerBytes += passed / n
			a.sourceBytes += passed / sources
		}
	}
	for i, p := range r.sources {
		a.sourceCPU += p.cpu() / sources
		for _, other := range r.sources[i+1:] {
			a.sourceBytes += 2 * bytes(p.name, other.name) / sources // it is both ends'
		}
	}
	a.offCPU = off.cpu()
	return a
}

// cpu is what a process has taken of the processor, in seconds: by the scheduler's account of each thread, as that by ticks is too rough.
func (p *process) cpu() (seconds float64) {
	seconds = p.spent.Seconds()
	if p.proc == nil {
		return seconds
	}
	tasks, _ := filepath.Glob(filepath.Join("/proc", strconv.Itoa(p.proc.PID()), "task", "*", "schedstat"))
	for _, task := range tasks {
		b, _ := os.ReadFile(task)
		if fields := strings.Fields(string(b)); len(fields) > 0 {
			ns, _ := strconv.ParseFloat(fields[0], 64)
			seconds += ns / 1e9
		}
	}
	return seconds
}

// times works out how long changes took.
func (r *rig) times(m *measurement.Configuration, following []*schedulerProcess, run *changesMade) {
	accepted, inForce := make([]float64, m.Changes), make([]float64, m.Changes)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	for i := range accepted {
		accepted[i] = ms(run.accepted[i].Sub(run.proposed[i]))
	}
	for _, p := range following {
		all := p.changes()
		at := 0
		for i := range inForce {
			for at < len(all) && all[at].version < run.first+uint64(i) {
				at++
			}
			if at == len(all) {
				r.t.Fatalf("%s never had version %d", p.name, run.first+uint64(i))
			}
			if p.region != run.awayRegion {
				inForce[i] = max(inForce[i], ms(all[at].at.Sub(run.proposed[i])))
			}
		}
		if p.region == run.awayRegion {
			healed := slices.IndexFunc(all, func(c change) bool { return c.at.After(run.healed) && !c.fromDisk })
			if healed < 0 {
				r.t.Fatalf("%s has no version that came after its region was back", p.name)
			}
			m.AfterHealMS = max(m.AfterHealMS, ms(all[healed].at.Sub(run.healed)))
		}
	}
	slices.Sort(accepted)
	slices.Sort(inForce)
	m.AcceptedP50MS = accepted[len(accepted)/2]
	m.P50MS, m.P99MS, m.WorstMS = inForce[len(inForce)/2], inForce[len(inForce)*99/100], inForce[len(inForce)-1]
}

// holdings are what the sources hold at the end: the most of all.
func (r *rig) holdings(m *measurement.Configuration) {
	r.t.Helper()
	for _, p := range r.sources {
		sample, err := system.Look(p.proc.PID())
		if err != nil {
			r.t.Fatal(err)
		}
		m.SourceMemoryPeakBytes = max(m.SourceMemoryPeakBytes, sample.Peak)
		m.SourceDescriptors = max(m.SourceDescriptors, float64(sample.Descriptors))
		m.SourceStateBytes = max(m.SourceStateBytes, float64(folderBytes(r.t, filepath.Join(p.dir, "kept"))))
	}
}

// folderBytes is how large the files of a folder are together.
func folderBytes(t *testing.T, folder string) (bytes int64) {
	t.Helper()
	err := filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		bytes += info.Size()
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return bytes
}

// write keeps a measurement.
func write(t *testing.T, m *measurement.Configuration) {
	t.Helper()
	commit, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		t.Log(err)
	}
	m.Commit = strings.TrimSpace(string(commit))
	if m.Machine, err = measurement.ThisMachine(); err != nil {
		t.Fatal(err)
	}
	m.Command = "LADDERTIDE_LONG=1 LADDERTIDE_CASE=" + m.Case + " LADDERTIDE_SCHEDULERS=" + strconv.Itoa(m.Schedulers) +
		" LADDERTIDE_CHANGES=" + strconv.Itoa(m.Changes) + " go test -count=1 -run TestMeasure ./rehearse/configuration"
	if err := m.Check(); err != nil {
		t.Fatal(err)
	}
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", text)
	if out := os.Getenv("LADDERTIDE_OUT"); out != "" {
		if err := os.WriteFile(out, append(text, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
