// Package size reads a description of a fleet's size from a YAML file and checks it: unknown keys, values out of range and
// values that contradict each other are refused with the file, the line and the reason. Units are part of the key names. It
// starts nothing.
package size

import (
	"laddertide/rehearse/strictyaml"
)

// Size is a fleet's size. Counts and rates are extensive: Scaled multiplies them. Times, deadlines and budgets are not.
type Size struct {
	Name          string        `yaml:"name"`
	About         string        `yaml:"about"`
	Workers       Workers       `yaml:"workers"`
	Schedulers    Schedulers    `yaml:"schedulers"`
	Tasks         Tasks         `yaml:"tasks"`
	Classes       []Class       `yaml:"classes"`
	Tenants       Tenants       `yaml:"tenants"`
	Regions       []Region      `yaml:"regions"`
	Network       Network       `yaml:"network"`
	Configuration Configuration `yaml:"configuration"`
	Failures      Failures      `yaml:"failures"`
	Budget        Budget        `yaml:"budget"`
}

// Workers are the machines that run tasks.
type Workers struct {
	Count        int     `yaml:"count"`
	Accelerators int     `yaml:"accelerators"`    // of all workers together
	TaskSlots    int     `yaml:"task_slots_each"` // tasks that one worker runs at once at full speed
	WarmS        float64 `yaml:"warm_s"`          // from the start of a worker until it has its full capacity
}

// Schedulers are the members of the schedulers' membership.
type Schedulers struct {
	Real     int `yaml:"real"`     // processes of the daemon, which take all tasks and are measured
	Hollow   int `yaml:"hollow"`   // members without a listener for tasks
	Machines int `yaml:"machines"` // set aside for control

	Ownership      bool `yaml:"ownership"`       // each task has one owner among all members, real and hollow
	LedgerReplicas int  `yaml:"ledger_replicas"` // of each member's ledger; 0: ledgers are not replicated. It needs ownership
}

// Tasks are what clients ask for.
type Tasks struct {
	Running    int     `yaml:"running"`           // at once, at the peak
	StartsPerS float64 `yaml:"starts_per_s"`      // at the peak
	Jobs       int     `yaml:"jobs_per_day"`      // a job has one or more tasks
	Retries    int     `yaml:"retries_of_client"` // after the first try of a task
}

// Class is a kind of tasks.
type Class struct {
	Name         string  `yaml:"name"`
	Repeat       string  `yaml:"repeat"` // read_like, idempotency_key or non_idempotent
	Share        float64 `yaml:"share"`  // of all tasks
	RunMeanS     float64 `yaml:"run_mean_s"`
	RunMostS     float64 `yaml:"run_most_s"` // no task runs longer
	RunVariation float64 `yaml:"run_variation"`
	WantedS      float64 `yaml:"wanted_s"`       // wanted within this and twice its own running time
	DeadlineS    float64 `yaml:"deadline_s"`     // of a client
	StartWithinS float64 `yaml:"start_within_s"` // promise for the start of a task; 0: there is none
	Slots        int     `yaml:"slots"`          // that a task takes; more than a worker has: a gang
	Worth        float64 `yaml:"worth"`
}

// Tenants are the teams that share the fleet.
type Tenants struct {
	Count        int     `yaml:"count"`
	Skew         float64 `yaml:"skew"`           // exponent of the shares by rank; 0: all ask for the same
	QuotaOfUsual float64 `yaml:"quota_of_usual"` // a tenant's quota as a multiple of what it usually asks for
}

// Region has zones that are near each other.
type Region struct {
	Name  string   `yaml:"name"`
	Zones []string `yaml:"zones"`
}

// Network is how far zones are from each other.
type Network struct {
	ZoneRoundTripMS    float64 `yaml:"within_zone_round_trip_ms"`
	RegionRoundTripMS  float64 `yaml:"within_region_round_trip_ms"`
	RegionsRoundTripMS float64 `yaml:"between_regions_round_trip_ms"`
}

// Configuration is how often it changes.
type Configuration struct {
	ChangesPerDay  float64 `yaml:"changes_per_day"`
	InForceWithinS float64 `yaml:"in_force_within_s"`
	VersionMB      float64 `yaml:"version_mb"` // of one whole version
}

// Failures are how often things fail.
type Failures struct {
	MachinesPerDay    float64 `yaml:"machines_per_day"`
	RestartsPerDay    float64 `yaml:"restarts_per_day"` // restarted or replaced
	RacksPerMonth     float64 `yaml:"racks_per_month"`
	RackWorkers       int     `yaml:"rack_workers"`
	ZonesPerYear      float64 `yaml:"zones_per_year"`
	RegionCutsPerYear float64 `yaml:"region_cuts_per_year"`
	RegionCutS        float64 `yaml:"region_cut_s"`
}

// Budget is what a scheduler may take.
type Budget struct {
	CPUPercent      float64 `yaml:"control_cpu_percent"` // of a core
	MemoryMB        float64 `yaml:"memory_mb"`
	ControlBytes    float64 `yaml:"control_bytes_per_s"`
	DescriptorsEach int     `yaml:"descriptors_each"` // limit of one scheduler process
}

// Load reads a size from a file.
func Load(file string) (*Size, error) {
	raw, err := strictyaml.Read(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, raw)
}

// Parse reads a size. An error names the file, the line and the key.
func Parse(file string, raw []byte) (*Size, error) {
	s := &Size{}
	if err := strictyaml.Decode(file, raw, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

// Zones are all zones with the place of their region.
func (s *Size) Zones() (names []string, region map[string]int) {
	region = make(map[string]int)
	for i, r := range s.Regions {
		for _, z := range r.Zones {
			names = append(names, z)
			region[z] = i
		}
	}
	return names, region
}

// MeanRunS is how long a task runs in the mean over all classes.
func (s *Size) MeanRunS() float64 {
	sum, shares := 0.0, 0.0
	for _, c := range s.Classes {
		sum += c.Share * c.RunMeanS
		shares += c.Share
	}
	return sum / shares
}
