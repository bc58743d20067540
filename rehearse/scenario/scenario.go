// Package scenario reads the scenarios of rehearsals from YAML files and draws from a seed all that a run needs: workers,
// clients, the delays of discovery and the timetable of troubles. The same file, seed and changes give the same plan on every
// machine. The package starts no processes.
package scenario

import (
	"embed"
	"errors"
	"fmt"
	"math"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"laddertide/rehearse/strictyaml"
)

//go:embed files/*.yaml
var embedded embed.FS

// Scenario is the content of a scenario file.
type Scenario struct {
	Name          string    `yaml:"name"`
	About         string    `yaml:"about"`
	Seconds       Range     `yaml:"seconds"`    // how long clients arrive
	Workers       Range     `yaml:"workers"`    // how many
	Schedulers    Range     `yaml:"schedulers"` // how many
	Rate          Range     `yaml:"rate"`       // jobs a second
	Load          Range     `yaml:"load"`       // the share of the fleet's capacity that the jobs need
	Shape         string    `yaml:"shape"`      // steady or wave
	Swing         Range     `yaml:"swing"`      // of a wave
	PeriodS       Range     `yaml:"period_s"`   // of a wave
	Retries       Range     `yaml:"retries"`    // of a client
	ZoneSkew      Range     `yaml:"zone_skew"`  // the difference between the zones' shares of clients, in favour of the first
	ErrorRate     Range     `yaml:"error_rate"` // the share of jobs that fail after running
	BadClientRate Range     `yaml:"rude"`       // bad clients a second, throughout the run
	MemoryMB      Range     `yaml:"memory_mb"`  // of a scheduler
	Sockets       Range     `yaml:"sockets"`    // of a scheduler
	DeadlineS     Range     `yaml:"deadline_s"` // upper limit for the deadline of every class
	Troubles      []Trouble `yaml:"troubles"`

	// Operators is the text of an operators' file, passed to each scheduler as --fleet. Relative paths in it refer to the
	// scheduler's own folder, which persists across its processes and contains Folders.
	Operators string   `yaml:"operators"`
	Folders   []string `yaml:"folders"`
	AskAgain  bool     `yaml:"ask_again"` // clients ask again for unanswered jobs: durable ones, or with Owners all
	Stomp     bool     `yaml:"stomp"`     // clients speak STOMP, on the port that Operators opens

	// Peers connects the schedulers with each other, by relays that the kit places between them; its entries go into the
	// section peers of their operators' file.
	Peers map[string]any `yaml:"peers"`

	// Owners lets clients ask any scheduler for a job that another has taken. It requires Peers; its entries go into the
	// section owners.
	Owners map[string]any `yaml:"owners"`

	// State makes schedulers keep state across a power loss; its entries go into the section state.
	State map[string]any `yaml:"state"`

	stompPort      int
	durable        bool     // Operators has a section durable
	durableClasses []string // the durable classes; nil: all
}

// Trouble is a planned fault, change or surge of load. Its kind determines which fields apply.
type Trouble struct {
	Kind         string   `yaml:"kind"`
	At           Range    `yaml:"at_s"`    // since the first arrival
	For          Range    `yaml:"for_s"`   // how long it lasts, or how long each process is down
	After        Range    `yaml:"after_s"` // instead of at_s: since the end of the previous trouble in the file
	Part         Range    `yaml:"part"`    // the share of workers, schedulers or zones affected
	Count        Range    `yaml:"count"`   // the number of schedulers, or of repetitions
	Every        Range    `yaml:"every_s"` // the time between one and the next
	RateFactor   Range    `yaml:"times"`   // multiple of the usual rate
	Factor       Range    `yaml:"factor"`  // multiple of the usual running time
	Delay        Range    `yaml:"delay_s"` // of updates from discovery
	Rate         Range    `yaml:"rate"`    // bad clients a second
	Clients      []string `yaml:"clients"` // the kinds of bad clients; empty: all but those that must be named
	MinDrain     Range    `yaml:"stay_s"`  // the minimum time that a worker drains; every third one takes the upper value
	SecondKill   Range    `yaml:"twice"`   // the share of kills after which the next process is killed, too, within a second of its start
	Loss         Range    `yaml:"loss"`    // of packets between schedulers
	Direction    string   `yaml:"way"`     // the direction that fails; there: from the scheduler; back: to it; empty: both
	Bytes        Range    `yaml:"bytes"`   // after which a connection is reset
	DiskLost     Range    `yaml:"lost"`    // the part of schedulers whose disks are lost in a blackout
	DiskRestored Range    `yaml:"rolled"`  // the part whose disks are restored to a state some seconds before the blackout
}

// TroubleKinds lists the kinds of troubles, each with its required and optional keys.
var TroubleKinds = map[string]struct{ Needs, May []string }{
	"crash":       {[]string{"part", "for_s"}, nil},               // processes die and restart cold
	"vanish":      {[]string{"part", "for_s"}, nil},               // machines become unreachable and restart cold
	"mute":        {[]string{"part", "for_s"}, nil},               // as vanish, but the machines still accept connections
	"cut":         {[]string{"part", "for_s"}, []string{"count"}}, // no traffic between count schedulers and part of the workers
	"slow":        {[]string{"factor", "for_s"}, []string{"part"}},
	"burst":       {[]string{"times", "for_s"}, nil},
	"stale":       {[]string{"delay_s", "for_s"}, nil},                        // updates from discovery are delayed
	"lost-roster": {[]string{"for_s"}, nil},                                   // discovery sends nothing
	"drain":       {[]string{"every_s", "for_s"}, []string{"part", "stay_s"}}, // a rolling restart of workers
	"restart":     {[]string{"every_s"}, []string{"count"}},                   // SIGTERM to one scheduler after another
	"signals":     {[]string{"every_s", "count"}, nil},                        // to schedulers in turn: SIGTERM once, twice or after SIGHUP, or SIGKILL
	"kill":        {[]string{"for_s"}, []string{"count", "every_s"}},
	"old-roster":  {[]string{"for_s"}, []string{"count", "every_s"}},          // as kill, and the new process starts with outdated lists
	"kills":       {[]string{"for_s", "count", "every_s"}, []string{"twice"}}, // kills of all schedulers in turn, with times drawn for each
	"full":        {[]string{"for_s"}, []string{"count"}},                     // writes to the disks of some schedulers fail
	"reload":      {nil, []string{"count", "every_s"}},                        // SIGHUP with another address of discovery
	"upgrade":     {[]string{"every_s"}, []string{"count"}},                   // a second process takes over, for one scheduler after another
	"hand":        {[]string{"every_s", "for_s"}, []string{"part"}},           // an operator takes workers out, replaces them and puts them back
	"retune":      {nil, nil},                                                 // SIGHUP with an invalid file, then with other settings
	"rude":        {[]string{"rate", "for_s"}, []string{"clients"}},

	// A power loss of all zones, discovery included, or of a part of the zones. Each process restarts at its own time within
	// for_s, and discovery delay_s after all others if that is given.
	"blackout": {[]string{"for_s"}, []string{"part", "count", "every_s", "delay_s", "lost", "rolled"}},

	// Troubles between schedulers that know each other; part is the share of them on one side.
	"peer-cut":       {[]string{"for_s"}, []string{"part", "count", "every_s"}}, // no traffic between the two sides
	"peer-oneway":    {[]string{"for_s"}, []string{"part"}},                     // no traffic from one side to the other
	"peer-lossy":     {[]string{"for_s", "loss"}, []string{"delay_s"}},          // on all links
	"herd":           {[]string{"part", "for_s"}, nil},                          // SIGKILL to a part of the schedulers at once
	"peer-strangers": {[]string{"rate", "for_s"}, nil},                          // strangers connect to the peer addresses, at this rate
	"pause":          {[]string{"for_s"}, []string{"count"}},                    // SIGSTOP to some schedulers, later SIGCONT
	"pauses":         {[]string{"for_s", "count", "every_s"}, nil},              // the same, for all schedulers in turn
	"peer-troubles":  {[]string{"for_s", "count", "every_s"}, nil},              // kills, pauses, cuts and one-way failures of links, which may overlap

	// Failures of the relays between count schedulers, the same for all of these troubles, and a part of the workers, or
	// discovery.
	"provider-cut":    {[]string{"for_s", "part"}, []string{"count", "way"}}, // no traffic
	"provider-slow":   {[]string{"for_s", "part", "delay_s"}, []string{"count", "way"}},
	"provider-reset":  {[]string{"for_s", "part", "bytes"}, []string{"count", "way"}}, // connections are reset in the middle of a message
	"discovery-cut":   {[]string{"for_s"}, []string{"count", "way"}},
	"discovery-slow":  {[]string{"for_s", "delay_s"}, []string{"count", "way"}},
	"discovery-reset": {[]string{"for_s", "bytes"}, []string{"count", "way"}},
}

// Range is a number, or an interval from which a seed draws.
type Range struct {
	Lo, Hi float64
	Given  bool // set by the file or by a default
}

// UnmarshalYAML decodes a number or a list of two numbers.
func (r *Range) UnmarshalYAML(n *yaml.Node) error {
	var list []float64
	if n.Kind == yaml.ScalarNode {
		list = make([]float64, 1)
		if err := n.Decode(&list[0]); err != nil {
			return fmt.Errorf("line %d: %q is not a number", n.Line, n.Value)
		}
	} else if err := n.Decode(&list); err != nil || len(list) != 2 || list[0] > list[1] {
		return fmt.Errorf("line %d: want a number or [least, most]", n.Line)
	}
	*r = Range{list[0], list[len(list)-1], true}
	return nil
}

// String formats a Range as in a scenario file.
func (r Range) String() string {
	if r.Lo == r.Hi || math.IsNaN(r.Lo) {
		return strconv.FormatFloat(r.Lo, 'g', -1, 64)
	}
	return fmt.Sprintf("[%g, %g]", r.Lo, r.Hi)
}

// Names lists the embedded scenarios, calm first.
func Names() []string {
	entries, err := embedded.ReadDir("files")
	if err != nil {
		panic(err) // the files are embedded in the program
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".yaml"))
	}
	slices.SortFunc(names, func(a, b string) int {
		return strings.Compare(strings.Replace(a, "calm", "", 1), strings.Replace(b, "calm", "", 1))
	})
	return names
}

// Text returns the file of an embedded scenario.
func Text(name string) ([]byte, error) {
	raw, err := embedded.ReadFile(path.Join("files", name+".yaml"))
	if err != nil {
		return nil, fmt.Errorf("no scenario is called %q; there are %s", name, strings.Join(Names(), ", "))
	}
	return raw, nil
}

// Get returns an embedded scenario.
func Get(name string) (*Scenario, error) {
	raw, err := Text(name)
	if err != nil {
		return nil, err
	}
	return Parse(name+".yaml", raw)
}

// Load reads a scenario from a file.
func Load(file string) (*Scenario, error) {
	raw, err := strictyaml.Read(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, raw)
}

// Parse reads a scenario. An error names the file, the line and the key.
func Parse(file string, raw []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := strictyaml.Decode(file, raw, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

// checkRange checks that a range lies between lo and hi. A range that the file omits passes, as it has a default.
func checkRange(r Range, lo, hi float64, path ...string) error {
	switch {
	case !r.Given:
	case !(r.Lo >= lo && r.Hi <= hi):
		return &strictyaml.Mistake{Path: path, What: fmt.Sprintf("%s is not between %g and %g", r, lo, hi)}
	case slices.Contains(wholeNumberKeys, path[len(path)-1]) && (r.Lo != math.Trunc(r.Lo) || r.Hi != math.Trunc(r.Hi)):
		return &strictyaml.Mistake{Path: path, What: fmt.Sprintf("%s is not a whole number", r)}
	}
	return nil
}

// wholeNumberKeys lists the keys whose values must be whole numbers.
var wholeNumberKeys = []string{"workers", "schedulers", "retries", "sockets", "count"}

// Limits of a scenario. A larger fleet would not fit on one machine.
const (
	MaxSeconds    = 3600
	MaxWorkers    = 1000
	MaxSchedulers = 32
	MaxRate       = 50_000
)

func (s *Scenario) check() error {
	if s.Name == "" || strings.ContainsAny(s.Name, "/\\ \t\n") {
		return &strictyaml.Mistake{Path: []string{"name"}, What: "a scenario needs a name without blanks and slashes"}
	}
	if s.Shape != "" && s.Shape != "steady" && s.Shape != "wave" {
		return &strictyaml.Mistake{Path: []string{"shape"}, What: fmt.Sprintf("%q is neither steady nor wave", s.Shape)}
	}
	err := errors.Join(
		checkRange(s.Seconds, 1, MaxSeconds, "seconds"), checkRange(s.Workers, 1, MaxWorkers, "workers"),
		checkRange(s.Schedulers, 1, MaxSchedulers, "schedulers"), checkRange(s.Rate, 0.1, MaxRate, "rate"),
		checkRange(s.Load, 0.01, 5, "load"), checkRange(s.Swing, 0, 0.95, "swing"), checkRange(s.PeriodS, 1, MaxSeconds, "period_s"),
		checkRange(s.Retries, 0, 5, "retries"), checkRange(s.ZoneSkew, 0, 1, "zone_skew"),
		checkRange(s.ErrorRate, 0, 1, "error_rate"), checkRange(s.BadClientRate, 0, 200, "rude"),
		checkRange(s.MemoryMB, 16, 65536, "memory_mb"), checkRange(s.Sockets, 64, 65536, "sockets"),
		checkRange(s.DeadlineS, 0.2, 60, "deadline_s"))
	for i := range s.Troubles {
		err = errors.Join(err, s.Troubles[i].check(i))
	}
	return errors.Join(err, s.checkOperators())
}

// Validate validates a Scenario that a program has built or changed, as Parse validates a file.
func (s *Scenario) Validate() error { return s.check() }

// checkOperators extracts and checks what the kit needs from the operators' file; the scheduler checks the rest.
func (s *Scenario) checkOperators() error {
	mistake := func(key, format string, args ...any) error {
		return &strictyaml.Mistake{Path: []string{key}, What: fmt.Sprintf(format, args...)}
	}
	var op struct {
		Durable *struct {
			Classes []string `yaml:"classes"`
		} `yaml:"durable"`
		Stomp struct {
			Port int `yaml:"listen_port"`
		} `yaml:"stomp"`
	}
	if err := yaml.Unmarshal([]byte(s.Operators), &op); err != nil {
		return mistake("operators", "%s", strings.Join(strings.Fields(err.Error()), " "))
	}
	s.durable = op.Durable != nil
	if s.durable {
		s.durableClasses = op.Durable.Classes
	}
	if s.AskAgain && !s.durable && s.Owners == nil {
		return mistake("ask_again", "only durable jobs are asked for again, and operators has no section durable")
	}
	if s.Owners != nil && s.Peers == nil {
		return mistake("owners", "only schedulers that know each other (peers) have owners for their jobs")
	}
	if _, _, err := s.ownerRetention(); err != nil {
		return mistake("owners", "%s", err)
	}
	if s.stompPort = op.Stomp.Port; s.Stomp && s.stompPort == 0 {
		return mistake("stomp", "operators configures no port for it")
	}
	if _, ok := s.State["dir"]; ok {
		return mistake("state", "dir is set by the kit")
	}
	if len(s.Folders) > 0 && s.Operators == "" && s.Owners["dir"] == nil {
		return mistake("folders", "nothing uses them without operators")
	}
	for _, f := range s.Folders {
		if !filepath.IsLocal(f) || filepath.Clean(f) != f || f == "." || slices.Contains(reservedNames, strings.Split(f, "/")[0]) {
			return mistake("folders", "%q cannot be created as a folder within a scheduler's own", f)
		}
	}
	return nil
}

// HasPowerLoss reports whether the scenario has a power loss. The daemon must then be built to lose unsynced writes on SIGKILL.
func (s *Scenario) HasPowerLoss() bool {
	return slices.ContainsFunc(s.Troubles, func(t Trouble) bool { return t.Kind == "blackout" })
}

// ownerRetention returns how long schedulers with Owners keep a job that has ended, and how many of them keep its record.
func (s *Scenario) ownerRetention() (keep time.Duration, keepers int, err error) {
	if s.Owners == nil {
		return 0, 0, nil
	}
	number := func(key string, otherwise, most float64) float64 {
		v := otherwise
		switch given := s.Owners[key].(type) {
		case nil:
		case int:
			v = float64(given)
		case float64:
			v = given
		default:
			v = -1
		}
		if !(v > 0 && v <= most) {
			err = fmt.Errorf("%s: %v is not a number between 0 and %g", key, s.Owners[key], most)
		}
		return v
	}
	return seconds(number("keep_s", defaultKeepSeconds, MaxSeconds)), int(number("keepers", defaultKeepers, MaxSchedulers)), err
}

// The daemon's defaults for keep_s and keepers in the section owners.
const (
	defaultKeepSeconds = 30
	defaultKeepers     = 3
)

// OperatorsFile is the name of the operators' file in a scheduler's folder.
const OperatorsFile = "operators.yaml"

// reservedNames lists the names in a scheduler's folder that the kit reserves.
var reservedNames = []string{OperatorsFile, "config.json", "config.json.new", "scheduler.log", "tmp", "tmp-kept", StateFolder}

// StateFolder is the folder in which a scheduler keeps its state across power losses.
const StateFolder = "state"

func (t *Trouble) check(i int) error {
	kind, ok := TroubleKinds[t.Kind]
	at := func(key string) []string { return []string{"troubles", strconv.Itoa(i), key} }
	if !ok {
		names := make([]string, 0, len(TroubleKinds))
		for name := range TroubleKinds {
			names = append(names, name)
		}
		slices.Sort(names)
		return &strictyaml.Mistake{Path: at("kind"), What: fmt.Sprintf("%q is none of %s", t.Kind, strings.Join(names, ", "))}
	}
	for _, f := range []struct {
		key    string
		r      Range
		lo, hi float64
	}{
		{"at_s", t.At, 0, MaxSeconds}, {"for_s", t.For, 0.05, MaxSeconds}, {"after_s", t.After, 0, MaxSeconds},
		{"part", t.Part, 0.001, 1}, {"count", t.Count, 1, 1000}, {"every_s", t.Every, 0.05, MaxSeconds},
		{"times", t.RateFactor, 0.1, 20}, {"factor", t.Factor, 0.1, 100}, {"delay_s", t.Delay, 0, MaxSeconds},
		{"rate", t.Rate, 0.1, 200}, {"stay_s", t.MinDrain, 0, MaxSeconds}, {"twice", t.SecondKill, 0, 1}, {"loss", t.Loss, 0, 0.9},
		{"bytes", t.Bytes, 1, 1 << 20}, {"lost", t.DiskLost, 0, 1}, {"rolled", t.DiskRestored, 0, 1},
	} {
		needed := slices.Contains(kind.Needs, f.key)
		known := needed || slices.Contains(kind.May, f.key) || f.key == "at_s" || f.key == "after_s"
		switch {
		case f.r.Given && !known:
			return &strictyaml.Mistake{Path: at(f.key), What: "a trouble of kind " + t.Kind + " has no such key"}
		case needed && !f.r.Given:
			return &strictyaml.Mistake{Path: at(f.key), What: "a trouble of kind " + t.Kind + " needs it"}
		}
		if err := checkRange(f.r, f.lo, f.hi, at(f.key)...); err != nil {
			return err
		}
	}
	if len(t.Clients) > 0 && !slices.Contains(kind.May, "clients") {
		return &strictyaml.Mistake{Path: at("clients"), What: "a trouble of kind " + t.Kind + " has no such key"}
	}
	switch {
	case t.Direction != "" && !slices.Contains(kind.May, "way"):
		return &strictyaml.Mistake{Path: at("way"), What: "a trouble of kind " + t.Kind + " has no such key"}
	case t.Direction != "" && t.Direction != "there" && t.Direction != "back":
		return &strictyaml.Mistake{Path: at("way"), What: fmt.Sprintf("%q is neither there nor back", t.Direction)}
	}
	if t.At.Given && t.After.Given {
		return &strictyaml.Mistake{Path: at("after_s"), What: "give at_s or after_s, not both"}
	}
	if t.After.Given && i == 0 {
		return &strictyaml.Mistake{Path: at("after_s"), What: "there is no trouble before this one"}
	}
	return nil
}
