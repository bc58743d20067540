package configuration

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"laddertide/configuration/client"
	"laddertide/rehearse/daemon/daemontest"
	wire "laddertide/wire/configuration"
)

// loseDisk ends a source and empties its folder, as on a machine that takes its place.
func (p *sourceProcess) loseDisk() {
	p.r.t.Helper()
	p.kill()
	kept := filepath.Join(p.dir, "kept")
	if err := os.RemoveAll(kept); err != nil {
		p.r.t.Fatal(err)
	}
	if err := os.Mkdir(kept, 0o700); err != nil {
		p.r.t.Fatal(err)
	}
}

// tool runs a command of laddertide config and returns what it printed, and whether it succeeded.
func (r *rig) tool(args ...string) (out, errs string, ok bool) {
	r.t.Helper()
	var stdout, stderr bytes.Buffer
	c := exec.Command(daemontest.Program, append([]string{"config", "--cluster", cluster}, args...)...)
	c.Stdout, c.Stderr = &stdout, &stderr
	err := c.Run()
	return stdout.String(), stderr.String(), err == nil
}

// sourcesFlag names all sources to a tool.
func (r *rig) sourcesFlag() string {
	var addresses []string
	for _, p := range r.sources {
		addresses = append(addresses, p.listen)
	}
	return "--source=" + strings.Join(addresses, ",")
}

// TestAMajorityOfSourcesIsLostForGood: nothing is accepted by what is left. A new cluster that begins behind all versions with what a
// scheduler has kept is followed by all schedulers, which go on running.
func TestAMajorityOfSourcesIsLostForGood(t *testing.T) {
	r := newRig(t, schedulers)
	r.startAll()
	version := uint64(0)
	var newest []byte
	for n := range 3 {
		newest = r.document(n + 1)
		version = r.change(version, newest)
	}
	r.untilInForce(version, newest, r.schedulers...)

	survivor := r.sources[2]
	for _, p := range r.sources[:2] {
		p.loseDisk()
		p.start()
	}
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, p := range r.sources {
			answer := p.propose(&wire.Propose{Request: client.NewRequest(), Base: version, Author: "rig", Document: r.document(9)})
			if answer.Code == wire.Accepted {
				t.Fatalf("%s accepts a change without the majority that was lost: %+v", p.name, answer)
			}
		}
	}

	file := filepath.Join(t.TempDir(), "settings.json")
	kept, note, ok := r.tool("kept", "--dir", filepath.Join(r.schedulers[0].dir, "kept"), "--name", r.schedulers[0].name)
	if !ok || kept != string(newest) || !strings.Contains(note, "version 3,") {
		t.Fatalf("what a scheduler keeps: %t, %s\n%s", ok, note, kept)
	}
	if err := os.WriteFile(file, []byte(kept), 0o600); err != nil {
		t.Fatal(err)
	}
	survivor.loseDisk()
	survivor.start()
	if _, why, ok := r.tool("set", file, "--base", "3", "--wait", "2s", r.sourcesFlag()); ok || !strings.Contains(why, "there is no version yet") {
		t.Errorf("a change of a version that the new cluster does not have: %t, %s", ok, why)
	}
	if out, why, ok := r.tool("restore", file, "--version", "1003", r.sourcesFlag()); !ok || !strings.HasPrefix(out, "version 1003,") {
		t.Fatalf("restore: %t, %s%s", ok, out, why)
	}
	r.untilInForce(1003, newest, r.schedulers...)
	next := r.document(4)
	if got := r.change(1003, next); got != 1004 {
		t.Errorf("the next version is %d", got)
	}
	r.untilInForce(1004, next, r.schedulers...)
	if _, why, ok := r.tool("restore", file, "--version", "2000", "--wait", "2s", r.sourcesFlag()); ok ||
		!strings.Contains(why, "there is a version 1004 already") {
		t.Errorf("restore of a cluster that has versions: %t, %s", ok, why)
	}
}
