// Package scenario reads what a rehearsal plays, a YAML file each, and draws from a seed all that a run needs: workers,
// clients, discovery's lag and the timetable of troubles. The same file, seed and changes give the same plan on every
// machine. It starts nothing.
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

// Scenario is a file.
type Scenario struct {
	Name       string    `yaml:"name"`
	About      string    `yaml:"about"`
	Seconds    Range     `yaml:"seconds"`    // clients arrive for so long
	Workers    Range     `yaml:"workers"`    // how many
	Schedulers Range     `yaml:"schedulers"` // how many
	Rate       Range     `yaml:"rate"`       // jobs a second
	Load       Range     `yaml:"load"`       // the share of the fleet's capacity that they need
	Shape      string    `yaml:"shape"`      // steady or wave
	Swing      Range     `yaml:"swing"`      // of a wave
	PeriodS    Range     `yaml:"period_s"`   // of a wave
	Retries    Range     `yaml:"retries"`    // of a client
	SkewZones  Range     `yaml:"zone_skew"`  // how much more clients the first zone has
	ErrorRate  Range     `yaml:"error_rate"` // of jobs that ran
	Rude       Range     `yaml:"rude"`       // bad clients a second, all the time
	MemoryMB   Range     `yaml:"memory_mb"`  // of a scheduler
	Sockets    Range     `yaml:"sockets"`    // of a scheduler
	DeadlineS  Range     `yaml:"deadline_s"` // of no class of jobs longer than this
	Troubles   []Trouble `yaml:"troubles"`

	// Operators is the text of an operators' file, which each scheduler is handed as --fleet. Relative paths in it mean
	// the scheduler's own folder, which outlives its processes and holds Folders.
	Operators string   `yaml:"operators"`
	Folders   []string `yaml:"folders"`
	AskAgain  bool     `yaml:"ask_again"` // clients ask again for jobs whose answer they have not got: durable ones, or with Owners all
	Stomp     bool     `yaml:"stomp"`     // clients speak STOMP, on the port that Operators opens

	// Peers lets the schedulers know each other, by relays that the kit puts between them; what it holds goes into the
	// section peers of their operators' file.
	Peers map[string]any `yaml:"peers"`

	// Owners has any scheduler asked for a job that another has taken; it needs peers, and goes into a section of its own
	// beside theirs.
	Owners map[string]any `yaml:"owners"`

	// State has schedulers keep what outlives a loss of power; what it holds goes into a section of its own.
	State map[string]any `yaml:"state"`

	stompPort int
	durable   bool     // Operators has jobs kept
	keptOnly  []string // of these classes; nil: all
}

// Trouble is one thing that goes wrong. Which fields count depends on its kind.
type Trouble struct {
	Kind    string   `yaml:"kind"`
	At      Range    `yaml:"at_s"`    // from the first arrival on
	For     Range    `yaml:"for_s"`   // how long it lasts, or one of its parts is down
	After   Range    `yaml:"after_s"` // instead of at_s: from the end of the trouble before it in the file
	Part    Range    `yaml:"part"`    // of the workers
	Count   Range    `yaml:"count"`   // of the schedulers, or how often
	Every   Range    `yaml:"every_s"` // between one and the next
	Times   Range    `yaml:"times"`   // of the usual rate
	Factor  Range    `yaml:"factor"`  // of the usual running time
	Delay   Range    `yaml:"delay_s"` // of discovery's news
	Rate    Range    `yaml:"rate"`    // of bad clients a second
	Clients []string `yaml:"clients"` // the kinds of bad clients that come; empty: all that come by themselves
	Stay    Range    `yaml:"stay_s"`  // how long a worker drains at least; every third one for the longest time
	Twice   Range    `yaml:"twice"`   // the share of kills after which the next process is killed within a second as well
	Loss    Range    `yaml:"loss"`    // of packets between schedulers
	Way     string   `yaml:"way"`     // there: from the scheduler on; back: to it; empty: both ways
	Bytes   Range    `yaml:"bytes"`   // after which a connection is reset
	Lost    Range    `yaml:"lost"`    // the part of schedulers whose disks are gone after a blackout
	Rolled  Range    `yaml:"rolled"`  // the part whose disks are put back to what they were some seconds before it
}

// Kinds are the troubles, each with the fields that it needs and those that it may have.
var Kinds = map[string]struct{ Needs, May []string }{
	"crash":       {[]string{"part", "for_s"}, nil},               // processes die and come back cold
	"vanish":      {[]string{"part", "for_s"}, nil},               // machines go silent and come back cold
	"mute":        {[]string{"part", "for_s"}, nil},               // the same, but they accept connections
	"cut":         {[]string{"part", "for_s"}, []string{"count"}}, // between count schedulers and the workers' part
	"slow":        {[]string{"factor", "for_s"}, []string{"part"}},
	"burst":       {[]string{"times", "for_s"}, nil},
	"stale":       {[]string{"delay_s", "for_s"}, nil},                        // discovery's news comes later
	"lost-roster": {[]string{"for_s"}, nil},                                   // discovery says nothing at all
	"drain":       {[]string{"every_s", "for_s"}, []string{"part", "stay_s"}}, // a rolling release of workers
	"restart":     {[]string{"every_s"}, []string{"count"}},                   // SIGTERM of one scheduler after another
	"signals":     {[]string{"every_s", "count"}, nil},                        // the same in turn, or twice, after SIGHUP, or SIGKILL
	"kill":        {[]string{"for_s"}, []string{"count", "every_s"}},
	"old-roster":  {[]string{"for_s"}, []string{"count", "every_s"}},          // as kill, and the new process has lists from before
	"kills":       {[]string{"for_s", "count", "every_s"}, []string{"twice"}}, // of all in turn; times drawn for each
	"full":        {[]string{"for_s"}, []string{"count"}},                     // the disks of some schedulers take no writes
	"reload":      {nil, []string{"count", "every_s"}},                        // SIGHUP with another address of discovery
	"upgrade":     {[]string{"every_s"}, []string{"count"}},                   // a second process takes over, of one scheduler after another
	"hand":        {[]string{"every_s", "for_s"}, []string{"part"}},           // workers are taken out, replaced and put back by hand
	"retune":      {nil, nil},                                                 // SIGHUP with a broken file, then with other settings
	"rude":        {[]string{"rate", "for_s"}, []string{"clients"}},

	// The power goes, for all or for a part of the zones, discovery with all of them; everyone comes back by himself within
	// for_s, and discovery delay_s after all others.
	"blackout": {[]string{"for_s"}, []string{"part", "count", "every_s", "delay_s", "lost", "rolled"}},

	// Between schedulers that know each other: part of them on one side.
	"peer-cut":       {[]string{"for_s"}, []string{"part", "count", "every_s"}}, // nothing passes between the two sides
	"peer-oneway":    {[]string{"for_s"}, []string{"part"}},                     // nothing passes from the one side to the other
	"peer-lossy":     {[]string{"for_s", "loss"}, []string{"delay_s"}},          // on all links
	"herd":           {[]string{"part", "for_s"}, nil},                          // SIGKILL of a part of the schedulers at once
	"peer-strangers": {[]string{"rate", "for_s"}, nil},                          // at the addresses for peers, so many a second
	"pause":          {[]string{"for_s"}, []string{"count"}},                    // SIGSTOP of some schedulers, and SIGCONT
	"pauses":         {[]string{"for_s", "count", "every_s"}, nil},              // the same, of all in turn
	"peer-troubles":  {[]string{"for_s", "count", "every_s"}, nil},              // kills, pauses, cuts and links dead one way, side by side

	// Relays between count schedulers, the same for all of these troubles, and a part of the workers, or their discovery.
	"provider-cut":    {[]string{"for_s", "part"}, []string{"count", "way"}}, // nothing passes
	"provider-slow":   {[]string{"for_s", "part", "delay_s"}, []string{"count", "way"}},
	"provider-reset":  {[]string{"for_s", "part", "bytes"}, []string{"count", "way"}}, // connections, in the middle of a message
	"discovery-cut":   {[]string{"for_s"}, []string{"count", "way"}},
	"discovery-slow":  {[]string{"for_s", "delay_s"}, []string{"count", "way"}},
	"discovery-reset": {[]string{"for_s", "bytes"}, []string{"count", "way"}},
}

// Range is a number, or two between which a seed draws.
type Range struct {
	Lo, Hi float64
	Given  bool // in the file
}

// UnmarshalYAML reads a number or a list of two.
func (r *Range) UnmarshalYAML(n *yaml.Node) error {
	var list []float64
	if n.Kind == yaml.ScalarNode {
		list = make([]float64, 1)
		if err := n.Decode(&list[0]); err != nil {
			return fmt.Errorf("line %d: %q is no number", n.Line, n.Value)
		}
	} else if err := n.Decode(&list); err != nil || len(list) != 2 || list[0] > list[1] {
		return fmt.Errorf("line %d: a number is wanted, or [least, most]", n.Line)
	}
	*r = Range{list[0], list[len(list)-1], true}
	return nil
}

// String writes a Range as files have it.
func (r Range) String() string {
	if r.Lo == r.Hi || math.IsNaN(r.Lo) {
		return strconv.FormatFloat(r.Lo, 'g', -1, 64)
	}
	return fmt.Sprintf("[%g, %g]", r.Lo, r.Hi)
}

// Names lists the scenarios that the program has, the plain one first.
func Names() []string {
	entries, err := embedded.ReadDir("files")
	if err != nil {
		panic(err) // they are part of the program
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

// Text is the file of a scenario that the program has.
func Text(name string) ([]byte, error) {
	raw, err := embedded.ReadFile(path.Join("files", name+".yaml"))
	if err != nil {
		return nil, fmt.Errorf("no scenario is called %q; there are %s", name, strings.Join(Names(), ", "))
	}
	return raw, nil
}

// Get returns a scenario that the program has.
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

// within checks a range of numbers that a file gives; one that it leaves out has its default.
func within(r Range, lo, hi float64, path ...string) error {
	switch {
	case !r.Given:
	case !(r.Lo >= lo && r.Hi <= hi):
		return &strictyaml.Mistake{Path: path, What: fmt.Sprintf("%s is not between %g and %g", r, lo, hi)}
	case slices.Contains(whole, path[len(path)-1]) && (r.Lo != math.Trunc(r.Lo) || r.Hi != math.Trunc(r.Hi)):
		return &strictyaml.Mistake{Path: path, What: fmt.Sprintf("%s is no whole number", r)}
	}
	return nil
}

// whole are the keys of what comes in whole numbers only.
var whole = []string{"workers", "schedulers", "retries", "sockets", "count"}

// The limits of a scenario. A fleet beyond them would not fit on a machine.
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
		within(s.Seconds, 1, MaxSeconds, "seconds"), within(s.Workers, 1, MaxWorkers, "workers"),
		within(s.Schedulers, 1, MaxSchedulers, "schedulers"), within(s.Rate, 0.1, MaxRate, "rate"),
		within(s.Load, 0.01, 5, "load"), within(s.Swing, 0, 0.95, "swing"), within(s.PeriodS, 1, MaxSeconds, "period_s"),
		within(s.Retries, 0, 5, "retries"), within(s.SkewZones, 0, 1, "zone_skew"),
		within(s.ErrorRate, 0, 1, "error_rate"), within(s.Rude, 0, 200, "rude"),
		within(s.MemoryMB, 16, 65536, "memory_mb"), within(s.Sockets, 64, 65536, "sockets"),
		within(s.DeadlineS, 0.2, 60, "deadline_s"))
	for i := range s.Troubles {
		err = errors.Join(err, s.Troubles[i].check(i))
	}
	return errors.Join(err, s.checkOperators())
}

// Reread checks a Scenario that was changed or made by a program, as Parse checks a file.
func (s *Scenario) Reread() error { return s.check() }

// checkOperators looks for what the kit must know of an operators' file; the rest of it is the scheduler's to check.
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
		s.keptOnly = op.Durable.Classes
	}
	if s.AskAgain && !s.durable && s.Owners == nil {
		return mistake("ask_again", "only durable jobs are asked for again, and operators has no section durable")
	}
	if s.Owners != nil && s.Peers == nil {
		return mistake("owners", "only schedulers that know each other (peers) have owners for their jobs")
	}
	if _, _, err := s.keep(); err != nil {
		return mistake("owners", "%s", err)
	}
	if s.stompPort = op.Stomp.Port; s.Stomp && s.stompPort == 0 {
		return mistake("stomp", "operators opens no port for it")
	}
	if _, ok := s.State["dir"]; ok {
		return mistake("state", "dir is the kit's to say")
	}
	if len(s.Folders) > 0 && s.Operators == "" && s.Owners["dir"] == nil {
		return mistake("folders", "without operators nothing needs them")
	}
	for _, f := range s.Folders {
		if !filepath.IsLocal(f) || filepath.Clean(f) != f || f == "." || slices.Contains(taken, strings.Split(f, "/")[0]) {
			return mistake("folders", "%q is no folder that can be made within a scheduler's own", f)
		}
	}
	return nil
}

// Power tells whether the power goes: then the daemon is to be one that loses with a kill what was not synced.
func (s *Scenario) Power() bool {
	return slices.ContainsFunc(s.Troubles, func(t Trouble) bool { return t.Kind == "blackout" })
}

// keep is for how long schedulers with Owners know a job that has ended, and how many keep its record.
func (s *Scenario) keep() (keep time.Duration, keepers int, err error) {
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
			err = fmt.Errorf("%s: %v is no number between 0 and %g", key, s.Owners[key], most)
		}
		return v
	}
	return seconds(number("keep_s", keepDefault, MaxSeconds)), int(number("keepers", keepersDefault, MaxSchedulers)), err
}

// What the daemon takes where owners does not say it.
const (
	keepDefault    = 30
	keepersDefault = 3
)

// OperatorsFile is the name of an operators' file in a scheduler's folder.
const OperatorsFile = "operators.yaml"

// taken are the names in a scheduler's folder that the kit uses itself.
var taken = []string{OperatorsFile, "config.json", "config.json.new", "scheduler.log", "tmp", "tmp-kept", StateFolder}

// StateFolder is where a scheduler keeps what outlives a loss of power.
const StateFolder = "state"

func (t *Trouble) check(i int) error {
	kind, ok := Kinds[t.Kind]
	at := func(key string) []string { return []string{"troubles", strconv.Itoa(i), key} }
	if !ok {
		names := make([]string, 0, len(Kinds))
		for name := range Kinds {
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
		{"times", t.Times, 0.1, 20}, {"factor", t.Factor, 0.1, 100}, {"delay_s", t.Delay, 0, MaxSeconds},
		{"rate", t.Rate, 0.1, 200}, {"stay_s", t.Stay, 0, MaxSeconds}, {"twice", t.Twice, 0, 1}, {"loss", t.Loss, 0, 0.9},
		{"bytes", t.Bytes, 1, 1 << 20}, {"lost", t.Lost, 0, 1}, {"rolled", t.Rolled, 0, 1},
	} {
		needed := slices.Contains(kind.Needs, f.key)
		known := needed || slices.Contains(kind.May, f.key) || f.key == "at_s" || f.key == "after_s"
		switch {
		case f.r.Given && !known:
			return &strictyaml.Mistake{Path: at(f.key), What: "a trouble of kind " + t.Kind + " has no such key"}
		case needed && !f.r.Given:
			return &strictyaml.Mistake{Path: at(f.key), What: "a trouble of kind " + t.Kind + " needs it"}
		}
		if err := within(f.r, f.lo, f.hi, at(f.key)...); err != nil {
			return err
		}
	}
	if len(t.Clients) > 0 && !slices.Contains(kind.May, "clients") {
		return &strictyaml.Mistake{Path: at("clients"), What: "a trouble of kind " + t.Kind + " has no such key"}
	}
	switch {
	case t.Way != "" && !slices.Contains(kind.May, "way"):
		return &strictyaml.Mistake{Path: at("way"), What: "a trouble of kind " + t.Kind + " has no such key"}
	case t.Way != "" && t.Way != "there" && t.Way != "back":
		return &strictyaml.Mistake{Path: at("way"), What: fmt.Sprintf("%q is neither there nor back", t.Way)}
	}
	if t.At.Given && t.After.Given {
		return &strictyaml.Mistake{Path: at("after_s"), What: "give at_s or after_s, not both"}
	}
	if t.After.Given && i == 0 {
		return &strictyaml.Mistake{Path: at("after_s"), What: "there is no trouble before this one"}
	}
	return nil
}
