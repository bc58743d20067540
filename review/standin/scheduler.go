//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// object is a part of a configuration.
type object = map[string]any

// settings returns settings like those of the deployment, with its three classes.
func settings() object {
	class := func(name, repeat string, goal, deadline int, worth float64) object {
		return object{"name": name, "repeat": repeat, "goal-time": goal, "deadline": deadline, "worth": worth,
			"late-value": 0.25, "stream": false, "group": "all", "repeat-window": 5_000_000}
	}
	limitCheck := class("limit-check", "read_like", 150_000, 5_000_000, 1)
	settle := class("settle", "idempotency_key", 600_000, 25_000_000, 8)
	settle["repeat-window"] = 40_000_000
	cardIssue := class("card-issue", "non_idempotent", 600_000, 8_000_000, 8)
	return object{
		"me": 0, "fleet-size": 1, "zone": 0,
		"localities": []string{"tukwila", "hillsboro"}, "shapes": []string{"fast-2", "wide-3"},
		"discovery": "automatic", "worth-by": "work", "over-share-worth": 0.2,
		"family-info": object{"tells-start": true, "class-stretch": []float64{2, 2, 2.5}},
		"fees":        object{"cross-zone": 0.084},
		"obligations": object{"answer-slack": 8000, "cold-from": 0.3, "warm-within": 9_000_000, "fall": 1_000_000,
			"fall-multiple": 3.0, "stop-sending-within": 2_000_000},
		"permissions": object{"cancel": true, "dial-timeout": 250_000, "idle-close": 10_000_000, "try-limit": 4,
			"retry-after": true, "max-retry-after": 2_000_000},
		"lanes": []object{limitCheck, settle, cardIssue},
		"parties": []object{{"name": "rainier-haul", "quota-rps": 13.0}, {"name": "puget-delivery", "quota-rps": 12.0},
			{"name": "willamette-crews", "quota-rps": 5.0}},
	}
}

// lane returns the class of a name in settings.
func lane(set object, name string) object {
	for _, l := range set["lanes"].([]object) {
		if l["name"] == name {
			return l
		}
	}
	return nil
}

// deployment is one scheduler as the platform describes it to the program.
type deployment struct {
	name, listen, admin, discovery string
	config, fleet, tmp             string // paths
	members                        []member
}

// writeConfig writes the configuration file, in place of the one before.
func (d *deployment) writeConfig(set object) error {
	file := object{"name": d.name, "listen": d.listen, "discovery": d.discovery, "seed": "8c1f30d27a5be964",
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    list{Index: 41, Snapshot: true, Members: d.members},
		"settings": set}
	b, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.config+".next", b, 0o600); err != nil {
		return err
	}
	return os.Rename(d.config+".next", d.config)
}

// deploy prepares a scheduler: its address, its folders, its files. fleet is added to the operators' file of the deploy file.
func (p *play) deploy(disc *discovery, set object, fleet string) (*deployment, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	d := &deployment{name: "n0", listen: listen, discovery: disc.address, members: disc.now.Members,
		config: filepath.Join(p.dir, "config.json"), fleet: filepath.Join(p.dir, "fleet.yaml"), tmp: filepath.Join(p.dir, "tmp")}
	operators, err := os.ReadFile(filepath.Join(p.root, "deploy", "fleet.yaml"))
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(d.fleet, append(operators, fleet...), 0o600); err != nil {
		return nil, err
	}
	if err := os.Mkdir(d.tmp, 0o700); err != nil {
		return nil, err
	}
	return d, d.writeConfig(set)
}

// process is a scheduler process.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	log   string
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// starts are functions that run on one thread, which lives as long as the program: a child is killed when the thread that started it ends.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for f := range starts {
			f()
		}
	}()
}

// start starts the program by the run line of the deploy file, and waits until it is ready: by its health page or, with a second
// address, as the platform asks there.
func (p *play) start(d *deployment, log string) (*process, error) {
	b, err := os.ReadFile(filepath.Join(p.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	m := runLine.FindSubmatch(b)
	if m == nil {
		return nil, errors.New("the deploy file has no run line")
	}
	line := strings.ReplaceAll(string(m[1]), "deploy/fleet.yaml", d.fleet)
	x := &process{cmd: exec.Command("/bin/sh", "-c", line), ended: make(chan struct{}), log: filepath.Join(p.dir, log)}
	out, err := os.Create(x.log)
	if err != nil {
		return nil, err
	}
	x.cmd.Dir, x.cmd.Stdout, x.cmd.Stderr = p.root, out, out
	x.cmd.Env = append(os.Environ(), "GW_NAME="+d.name, "GW_LISTEN="+d.listen, "GW_DISCOVERY="+d.discovery, "GW_CONFIG="+d.config,
		"GW_ADMIN="+d.admin, "TMPDIR="+d.tmp)
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts <- func() { started <- x.cmd.Start() }
	if err := <-started; err != nil {
		return nil, err
	}
	p.note("scheduler process %s started", log)
	go func() {
		err := x.cmd.Wait()
		p.note("scheduler process %s ended: %v", log, err)
		out.Close()
		close(x.ended)
	}()
	p.onEnd(func() {
		x.signal(syscall.SIGKILL)
		<-x.ended
	})
	url := "http://" + d.listen + "/_health"
	if d.admin != "" {
		url = "http://" + d.admin + "/-/ready"
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 100 {
		if r, err := client.Get(url); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				p.note("scheduler process %s is ready", log)
				return x, nil
			}
		}
		select {
		case <-x.ended:
			return nil, fmt.Errorf("the scheduler ended at its start: %s", x.tail())
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil, errors.New("the scheduler is not ready after 10 s: " + x.tail())
}

func (x *process) signal(s syscall.Signal) {
	select {
	case <-x.ended:
	default:
		x.cmd.Process.Signal(s)
	}
}

// tail returns the last lines that the process has written.
func (x *process) tail() string {
	b, _ := os.ReadFile(x.log)
	return string(b[max(0, len(b)-400):])
}

// sawLine reports whether the process has written a text.
func (x *process) sawLine(text string) bool {
	b, _ := os.ReadFile(x.log)
	return strings.Contains(string(b), text)
}
