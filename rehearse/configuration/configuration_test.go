package configuration

import (
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"laddertide/configuration/client"
	"laddertide/rehearse/links"
	wire "laddertide/wire/configuration"
)

const schedulers = 6

// TestAChangeIsInForceEverywhere: accepted once, in force at all, and each page names who has it.
func TestAChangeIsInForceEverywhere(t *testing.T) {
	r := newRig(t, schedulers)
	r.startAll()
	document := r.document(1)
	version := r.change(0, document)
	r.untilInForce(version, document, r.schedulers...)
	r.until("nobody is behind by any page", func() bool {
		for _, p := range r.schedulers {
			page := p.page()
			if page == nil || page.Fleet == nil || len(page.Fleet.Followers) != schedulers {
				return false
			}
			for _, row := range page.Fleet.Followers {
				if row.Version != version || row.BehindMS != 0 || row.InDoubt {
					return false
				}
			}
		}
		return true
	})
}

// TestTheLeaderDiesAfterItsYes: what it accepted is in force everywhere by the other two, and changes go on.
func TestTheLeaderDiesAfterItsYes(t *testing.T) {
	r := newRig(t, schedulers)
	r.startAll()
	document := r.document(1)
	m := &wire.Propose{Request: client.NewRequest(), Base: 0, Author: "rig", Document: document}
	var leader *sourceProcess
	var answer wire.Proposed
	r.until("a leader has an answer", func() bool {
		leader = r.leader()
		answer = leader.propose(m)
		return answer.Code != wire.Uncertain // else another one was elected meanwhile: it is asked for the same
	})
	leader.kill()
	if answer.Code != wire.Accepted {
		t.Fatalf("%+v", answer)
	}
	r.untilInForce(answer.Version, document, r.schedulers...)
	var others []*sourceProcess
	for _, p := range r.sources {
		if p != leader {
			others = append(others, p)
		}
	}
	document = r.document(2)
	r.untilInForce(r.change(answer.Version, document, others...), document, r.schedulers...)
}

// TestARegionIsCutOff: the minority's change is refused with the reason, its schedulers serve on with what they have and say how old
// that is; after the cut there is one history.
func TestARegionIsCutOff(t *testing.T) {
	r := newRig(t, schedulers)
	r.startAll()
	first := r.document(1)
	version := r.change(0, first)
	r.untilInForce(version, first, r.schedulers...)
	const region = 2
	inside, outside := r.in(region)
	r.cut(region)
	second := r.document(2)
	majority := r.change(version, second, r.sources[:region]...)
	r.untilInForce(majority, second, outside...)
	minority := r.document(3)
	r.until("the minority's change is refused", func() bool {
		answer := r.sources[region].propose(&wire.Propose{Request: client.NewRequest(), Base: version, Author: "rig", Document: minority})
		if answer.Code == wire.Accepted {
			t.Fatalf("a minority accepts: %+v", answer)
		}
		return answer.Code == wire.NoQuorum && answer.Text != ""
	})
	for _, p := range inside {
		page := p.page()
		if page == nil || page.Version != version || page.Digest != wire.DigestOf(first).String() {
			t.Fatalf("%s beyond the cut: %+v", p.name, page)
		}
		r.until(p.name+" says how old what it has is", func() bool {
			page := p.page()
			return page != nil && page.CurrentMS > (4*time.Second).Milliseconds()
		})
		if status, _ := call(p.admin, "/-/ready"); status != 200 {
			t.Errorf("%s is not ready beyond the cut: %d", p.name, status)
		}
	}
	r.heal()
	r.untilInForce(majority, second, r.schedulers...)
	third := r.document(4)
	r.untilInForce(r.change(majority, third), third, r.schedulers...)
}

// TestARestartDuringACut: a scheduler that restarts beyond a cut begins with what its disk has, before it is ready, and not with its
// file's settings.
func TestARestartDuringACut(t *testing.T) {
	r := newRig(t, schedulers)
	r.startAll()
	document := r.document(1)
	version := r.change(0, document)
	r.untilInForce(version, document, r.schedulers...)
	const region = 1
	inside, outside := r.in(region)
	r.cut(region)
	next := r.document(2)
	newer := r.change(version, next, r.sources[0], r.sources[2])
	r.untilInForce(newer, next, outside...)
	for i, p := range inside {
		if i%2 == 0 {
			p.kill()
		} else {
			p.signal(syscall.SIGTERM)
			<-p.proc.Done()
		}
		p.start()
		p.ready()
		if page := p.page(); page == nil || page.Version != version || page.Digest != wire.DigestOf(document).String() {
			t.Fatalf("%s after its restart: %+v", p.name, page)
		}
		all := p.changes()
		if last := all[len(all)-1]; !last.fromDisk || last.version != version {
			t.Fatalf("%s began with %+v", p.name, last)
		}
	}
	r.heal()
	r.untilInForce(newer, next, r.schedulers...)
}

// TestFiftyChangesInASecond: each is accepted, the last one is in force everywhere, and no scheduler goes back.
func TestFiftyChangesInASecond(t *testing.T) {
	r := newRig(t, schedulers)
	r.startAll()
	const changes = 50
	leader := r.leader()
	version := uint64(0)
	var document []byte
	for i := range changes {
		document = r.document(i)
		version = r.change(version, document, leader)
	}
	if version != changes {
		t.Fatalf("%d changes make version %d", changes, version)
	}
	r.untilInForce(version, document, r.schedulers...)
	for _, p := range r.schedulers {
		if n := len(p.changes()); n > changes {
			t.Errorf("%s has put %d versions in force of %d", p.name, n, changes)
		}
	}
}

// TestAChangeThatIsInvalidForOne: a fleet size that one scheduler's place is beyond is refused there, with the reason on its page and
// every other's; the others take it, and that one takes the next.
func TestAChangeThatIsInvalidForOne(t *testing.T) {
	r := newRig(t, schedulers)
	r.startAll()
	first := r.document(1)
	version := r.change(0, first)
	r.untilInForce(version, first, r.schedulers...)
	second := r.document(2, func(settings map[string]any) { settings["fleet-size"] = schedulers - 1 })
	invalid := r.change(version, second)
	last, others := r.schedulers[schedulers-1], r.schedulers[:schedulers-1]
	r.untilInForce(invalid, second, others...)
	r.until("it is refused by one", func() bool {
		page := last.page()
		return page != nil && page.Refused == invalid
	})
	if page := last.page(); page.Version != version || page.Digest != wire.DigestOf(first).String() || !strings.Contains(page.Reason, "is not among") {
		t.Fatalf("%+v", page)
	}
	r.until("the others' pages say who is behind, and why", func() bool {
		page := others[0].page()
		if page == nil || page.Fleet == nil {
			return false
		}
		for _, row := range page.Fleet.Followers {
			if row.Name == last.name {
				return row.Refused == invalid && row.Reason != "" && row.BehindMS > 0 && row.Version == version
			}
		}
		return false
	})
	third := r.document(3)
	r.untilInForce(r.change(invalid, third), third, r.schedulers...)
	if page := last.page(); page.Refused != 0 {
		t.Fatalf("%+v", page)
	}
}

// TestASlowReader: one whose bytes are swallowed holds up nobody, and comes to the newest version once that ends.
func TestASlowReader(t *testing.T) {
	r := newRig(t, schedulers)
	r.startAll()
	slow, others := r.schedulers[0], r.schedulers[1:]
	for _, source := range r.sources {
		if err := r.links.Set(source.name, slow.name, links.Fault{Swallow: true}); err != nil {
			t.Fatal(err)
		}
	}
	version := uint64(0)
	var document []byte
	for i := range 10 {
		document = r.document(i, func(settings map[string]any) { settings["padding"] = strings.Repeat("x", 100<<10) })
		version = r.change(version, document)
	}
	r.untilInForce(version, document, others...)
	if page := slow.page(); page == nil || page.Version == version {
		t.Fatalf("the slow one: %+v", page)
	}
	r.heal()
	r.untilInForce(version, document, slow)
}

// TestASourceRestarts: its schedulers go to another one, and it comes back with all that was accepted.
func TestASourceRestarts(t *testing.T) {
	r := newRig(t, schedulers)
	r.startAll()
	version, document := uint64(0), []byte(nil)
	for i, p := range r.sources {
		document = r.document(2 * i)
		version = r.change(version, document)
		p.kill()
		document = r.document(2*i + 1)
		var others []*sourceProcess
		for _, other := range r.sources {
			if other != p {
				others = append(others, other)
			}
		}
		version = r.change(version, document, others...)
		r.untilInForce(version, document, r.schedulers...)
		p.start()
		r.until(p.name+" has what was accepted", func() bool {
			status := p.status()
			return status != nil && status.Newest == version
		})
	}
}

// TestAllSchedulersRestartAtOnce: each begins with what it had, and the next change reaches all.
func TestAllSchedulersRestartAtOnce(t *testing.T) {
	r := newRig(t, schedulers)
	r.startAll()
	first := r.document(1)
	version := r.change(0, first)
	r.untilInForce(version, first, r.schedulers...)
	var all sync.WaitGroup
	for _, p := range r.schedulers {
		all.Go(p.kill)
	}
	all.Wait()
	for _, p := range r.schedulers {
		p.start()
	}
	second := r.document(2)
	next := r.change(version, second)
	for _, p := range r.schedulers {
		p.ready()
		again := false // it has begun with the first, or has had the second by the time that it looked
		for _, c := range p.changes() {
			again = again || c.fromDisk && c.version >= version
		}
		if !again {
			t.Errorf("%s did not begin with what its disk has", p.name)
		}
	}
	r.untilInForce(next, second, r.schedulers...)
}

// TestANewScheduler: a scheduler without a disk's version waits for the sources' before it serves.
func TestANewScheduler(t *testing.T) {
	r := newRig(t, 1)
	r.startSources()
	document := r.document(1)
	version := r.change(0, document)
	p := r.schedulers[0]
	p.start()
	p.ready()
	if page := p.page(); page == nil || page.Version != version {
		t.Fatalf("%+v", page)
	}
}

// TestAnUpgradeBeyondACut: the next process of a scheduler that no source reaches any more begins with what the one before has, goes
// on with it after the takeover, and follows the sources itself after the cut.
func TestAnUpgradeBeyondACut(t *testing.T) {
	r := newRig(t, 1)
	r.startAll()
	p := r.schedulers[0]
	first := r.document(1)
	version := r.change(0, first)
	r.untilInForce(version, first, p)
	for _, source := range r.sources {
		r.links.Both(p.name, source.name, links.Fault{Cut: true})
	}
	second := r.document(2)
	newer := r.change(version, second)
	before, served := p.proc, p.admin
	p.admin = p.spare
	p.start()
	p.ready()
	same := func() bool {
		page := p.page()
		return page != nil && page.Version == version && page.Digest == wire.DigestOf(first).String()
	}
	if !same() {
		t.Fatalf("the one that stands by: %+v", p.page())
	}
	if err := before.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-before.Done()
	if code, words := before.End(); code != 0 {
		t.Fatalf("the older process ends with %d: %s", code, words)
	}
	if status, _ := call(served, "/-/ready"); status != 0 {
		t.Fatalf("the older process answers %d", status)
	}
	if !same() {
		t.Fatalf("after the takeover: %+v", p.page())
	}
	r.heal()
	r.untilInForce(newer, second, p)
}
