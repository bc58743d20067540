package scheduler

import (
	"fmt"
	"io"
	"maps"
	"net"
	"path/filepath"
	"slices"
	"strconv"

	"laddertide/capture"
	"laddertide/configuration/follower"
	"laddertide/durable"
	"laddertide/frontend"
	"laddertide/jobstatus"
	"laddertide/metrics"
	"laddertide/operator"
	"laddertide/owners"
	"laddertide/peers"
	"laddertide/replicated"
	"laddertide/returning"
	"laddertide/tlslistener"
)

// Operator holds the features of the operator's file. A feature that is nil is off.
type Operator struct {
	Figures    *metrics.Settings
	TLS        *tlslistener.Settings
	Capture    *capture.Settings
	JobStatus  *jobstatus.Settings
	Durable    *durable.Settings
	Stomp      *frontend.Stomp
	Peers      *peers.Settings
	Owners     *owners.Settings
	State      *returning.Settings
	Replicated *replicated.Settings

	Configuration *follower.Settings

	Path   string    // of the file; empty: not read from a file
	Stderr io.Writer // replaces standard error; nil: os.Stderr
}

// LoadOperator reads the operator's file. Each section in it turns its feature on.
func LoadOperator(path string) (Operator, error) {
	op := Operator{Path: path}
	file, err := operator.Load(path, sections...)
	if err != nil {
		return op, err
	}
	op.Figures, err = section(file, "figures", metrics.Parse, err)
	op.TLS, err = section(file, "tls", tlslistener.Parse, err)
	if op.Capture, err = section(file, "capture", capture.Parse, err); err == nil && op.Capture != nil {
		if err = op.Capture.CheckDir(); err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}
	op.JobStatus, err = section(file, "job_status", jobstatus.Parse, err)
	if op.Durable, err = section(file, "durable", durable.Parse, err); err == nil && op.Durable != nil {
		if err = op.Durable.CheckDir(); err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}
	op.Stomp, err = section(file, "stomp", frontend.ParseStomp, err)
	op.Peers, err = section(file, "peers", peers.Parse, err)
	if op.Owners, err = section(file, "owners", owners.Parse, err); err == nil && op.Owners != nil {
		if err = op.Owners.CheckDir(); err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}
	if op.State, err = section(file, "state", returning.Parse, err); err == nil && op.State != nil {
		if err = op.State.CheckDir(); err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}
	if op.Replicated, err = section(file, "replicated", replicated.Parse, err); err == nil && op.Replicated != nil {
		if err = op.Replicated.CheckDir(); err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}
	if op.Configuration, err = section(file, "configuration", follower.Parse, err); err == nil && op.Configuration != nil {
		if err = op.Configuration.CheckDir(); err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}
	return op, err
}

var sections = []string{"figures", "tls", "capture", "job_status", "durable", "stomp", "peers", "owners", "state", "replicated", "configuration"}

// LoadCapture reads only the section capture, for a replay, which may run where the paths of the file do not exist. It
// returns nil if there is none.
func LoadCapture(path string) (*capture.Settings, error) {
	file, err := operator.Load(path, sections...)
	if err != nil {
		return nil, err
	}
	return section(file, "capture", capture.Parse, nil)
}

// LoadDurable reads only the section durable, for tools that inspect its folder. It returns nil if there is none.
func LoadDurable(path string) (*durable.Settings, error) {
	file, err := operator.Load(path, sections...)
	if err != nil {
		return nil, err
	}
	return section(file, "durable", durable.Parse, nil)
}

// section parses one feature's section, unless an earlier one had an error.
func section[T any](file *operator.File, name string, parse func(*operator.Section) (T, error), before error) (*T, error) {
	s := file.Section(name)
	if s == nil || before != nil {
		return nil, before
	}
	set, err := parse(s)
	return &set, err
}

// descriptors is the number of descriptors that the features may use.
func (op *Operator) descriptors() (n int) {
	if op.Figures != nil {
		n += op.Figures.Descriptors()
	}
	if op.TLS != nil {
		n += tlslistener.Descriptors
	}
	if op.Capture != nil {
		n += op.Capture.Descriptors()
	}
	if op.Durable != nil {
		n += durable.Descriptors
	}
	if op.Stomp != nil {
		n++ // its listener
	}
	if op.Peers != nil {
		n += peers.Descriptors
	}
	if op.Owners != nil {
		n += op.Owners.Descriptors()
	}
	if op.State != nil {
		n += returning.Descriptors
	}
	if op.Replicated != nil {
		n += replicated.Descriptors
	}
	if op.Configuration != nil {
		n += follower.Descriptors
	}
	return n
}

// connBytes is the memory that a connection may use beside its message.
func (op *Operator) connBytes() (n int) {
	if op.TLS != nil {
		n += tlslistener.ConnBytes
	}
	if op.Stomp != nil {
		n += op.Stomp.ConnBytes()
	}
	return n
}

func (op *Operator) memory() (n int) {
	if op.Figures != nil {
		n += metrics.MemoryBytes
	}
	if op.Capture != nil {
		n += op.Capture.Memory()
	}
	if op.JobStatus != nil {
		n += op.JobStatus.Memory()
	}
	if op.Durable != nil {
		n += op.Durable.Memory()
	}
	if op.Peers != nil {
		n += op.Peers.Memory()
	}
	if op.Owners != nil {
		n += op.Owners.Memory()
	}
	if op.State != nil {
		n += op.State.Memory()
	}
	if op.Replicated != nil {
		n += op.Replicated.Memory()
	}
	if op.Configuration != nil {
		n += op.Configuration.Memory()
	}
	if n > 0 {
		n += stderrBytes
	}
	return n
}

// stderrBytes is the memory for lines that wait until standard error is read.
const stderrBytes = 256 << 10

// check reports conflicts between features, and features that leave too little of the machine for the scheduler itself.
func (op *Operator) check(c *Config) error {
	name := op.Path
	if name == "" {
		name = "operator's file"
	}
	if op.TLS != nil {
		if _, port, _ := net.SplitHostPort(c.Listen); port == strconv.Itoa(op.TLS.Port) {
			return fmt.Errorf("%s: tls.listen_port: is the port of the plain listener", name)
		}
	}
	if op.Stomp != nil {
		if _, port, _ := net.SplitHostPort(c.Listen); port == strconv.Itoa(op.Stomp.Port) {
			return fmt.Errorf("%s: stomp.listen_port: is the port of the plain listener", name)
		}
		if op.TLS != nil && op.TLS.Port == op.Stomp.Port {
			return fmt.Errorf("%s: stomp.listen_port: is tls.listen_port", name)
		}
		if op.Stomp.TLS && op.TLS == nil {
			return fmt.Errorf("%s: stomp.tls: there is no section tls to take the certificate from", name)
		}
	}
	if op.Durable != nil {
		if err := op.Durable.Check(&c.Settings); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if op.Owners != nil && op.Peers == nil {
		return fmt.Errorf("%s: owners: there is no section peers: nobody else can be asked for a job", name)
	}
	if op.State != nil && op.Durable != nil && filepath.Clean(op.State.Dir) == filepath.Clean(op.Durable.Dir) {
		return fmt.Errorf("%s: state.dir: is durable.dir: each needs a folder of its own", name)
	}
	if op.Replicated != nil && (op.Peers == nil || op.Durable == nil || op.Owners == nil) {
		return fmt.Errorf("%s: replicated: needs the sections peers, durable and owners: which jobs are kept, with whom, and who is asked for them", name)
	}
	if op.Replicated != nil && op.Replicated.Dir == op.Durable.Dir {
		return fmt.Errorf("%s: replicated.dir: is the folder of durable.dir", name)
	}
	if op.Configuration != nil {
		if err := op.checkFolder("configuration.dir", op.Configuration.Dir); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if op.storesRecords() {
		if err := op.checkFolder("owners.dir", op.Owners.Dir); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if c.Limits.MemoryMB > 0 && float64(op.memory()) > c.Limits.MemoryMB*(1<<20)/4 {
		return fmt.Errorf("%s: its features may take %d bytes, over a quarter of limits.memory_mb: lower their bounds", name,
			op.memory())
	}
	return nil
}

// checkFolder reports whether a feature's folder is another feature's: each locks its own.
func (op *Operator) checkFolder(key, dir string) error {
	all := make(map[string]string)
	if op.State != nil {
		all["state.dir"] = op.State.Dir
	}
	if op.Durable != nil {
		all["durable.dir"] = op.Durable.Dir
	}
	if op.Replicated != nil {
		all["replicated.dir"] = op.Replicated.Dir
	}
	if op.Configuration != nil {
		all["configuration.dir"] = op.Configuration.Dir
	}
	for _, other := range slices.Sorted(maps.Keys(all)) {
		if other != key && filepath.Clean(dir) == filepath.Clean(all[other]) {
			return fmt.Errorf("%s: is %s: each needs a folder of its own", key, other)
		}
	}
	return nil
}

// storesRecords reports whether records of jobs' owners are kept on disk.
func (op *Operator) storesRecords() bool { return op.Owners != nil && op.Owners.Dir != "" }
