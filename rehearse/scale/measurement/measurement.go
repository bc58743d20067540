// Package measurement defines the files of docs/capacity: what one command measured of a fleet, at which size and on
// which machine. The files are written by the programs that measure and read by the one that generates docs/CAPACITY.md.
//
// Reading is strict: an unknown field, an unknown name or a value that makes no sense is an error that names the file
// and the field. A figure that was not measured is null or left out; it is never 0.
package measurement

// Version is the version of the schema that this package reads and writes.
const Version = 1

// File is what one command measured: one or several points of a sweep, or a single run.
type File struct {
	Version int      `json:"version"`
	Command string   `json:"command"`        // the command that measures it again, run at the repository's root
	Commit  string   `json:"commit"`         // the program's commit, with "+changes" where the tree had any
	Date    string   `json:"date"`           // when it ended, RFC 3339
	Machine Machine  `json:"machine"`        // where everything ran
	Size    SizeFile `json:"size"`           // which size was asked for
	Varied  string   `json:"varied"`         // the parameter that differs between points, a Parameter; "" if none is swept
	Note    string   `json:"note,omitempty"` // what a reader has to know beside the figures
	Points  []Point  `json:"points"`
}

// Machine is the hardware of a measurement.
type Machine struct {
	CPU    string `json:"cpu"`          // model
	Cores  int    `json:"cores"`        // logical
	Memory int64  `json:"memory_bytes"` // physical
}

// SizeFile is the description of the fleet that was measured.
type SizeFile struct {
	File  string  `json:"file"`  // path from the repository's root; "" if the measurement has no such file
	Scale float64 `json:"scale"` // factor on all of it; 1 is the full size
}

// Point is one run.
type Point struct {
	Parameters    Parameters    `json:"parameters"`
	Seed          uint64        `json:"seed"`
	WindowSeconds float64       `json:"window_seconds"` // over which CPU and traffic were counted; 0 if only state was measured
	Valid         bool          `json:"valid"`          // false: it does not count
	WhyNot        string        `json:"why_not"`        // reason if not valid
	Roles         []Usage       `json:"roles"`
	Service       *Service      `json:"service,omitempty"`
	Failures      []Failure     `json:"failures,omitempty"`
	Propagation   []Propagation `json:"propagation,omitempty"`
}

// Parameters is every parameter in force during a run. One that has no meaning for it is 0.
type Parameters struct {
	Workers             float64 `json:"workers"`
	Accelerators        float64 `json:"accelerators"`
	TasksRunning        float64 `json:"tasks_running"`
	TaskStartsPerSecond float64 `json:"task_starts_per_second"`
	Tenants             float64 `json:"tenants"`
	Schedulers          float64 `json:"schedulers"`        // real ones
	HollowSchedulers    float64 `json:"hollow_schedulers"` // beside the real ones
	Members             float64 `json:"members"`           // of a replicated ledger or of the source of configuration
	ReplicatedGroups    float64 `json:"replicated_groups"`
	ChangesPerDay       float64 `json:"changes_per_day"`     // of configuration
	ConfigurationBytes  float64 `json:"configuration_bytes"` // of one whole version
	Regions             float64 `json:"regions"`
	RoundTripMS         float64 `json:"round_trip_ms"` // between regions
}

// Usage is what the instances of one role used during the window. Figures are means over the instances, except where
// a field says otherwise.
type Usage struct {
	Role         Role      `json:"role"`
	Instances    int       `json:"instances"`
	CPUSeconds   *float64  `json:"cpu_seconds"`         // user and system together, in the window
	MemorySteady *float64  `json:"memory_steady_bytes"` // resident, at the end of the window
	MemoryPeak   *float64  `json:"memory_peak_bytes"`   // resident, the largest of all instances since their start
	Descriptors  *float64  `json:"descriptors"`         // the most that was open at one time
	State        *float64  `json:"state_bytes"`         // live heap or files that the varied parameter accounts for
	Traffic      []Traffic `json:"traffic"`
}

// Traffic is a count of one kind of message in one direction during the window, an instance.
type Traffic struct {
	Kind      string    `json:"kind"` // such as "membership", "configuration", "raft", "job", "discovery"
	Path      Path      `json:"path"`
	Direction Direction `json:"direction"`
	Messages  *float64  `json:"messages"` // null where the source counts bytes alone
	Bytes     *float64  `json:"bytes"`    // null where the source counts messages alone
	Source    Source    `json:"source"`
}

// Service is what clients saw during the window.
type Service struct {
	Share          float64  `json:"share"` // as the report counts service, 0 to 1
	Asked          int      `json:"asked"`
	Done           int      `json:"done"`
	Refused        int      `json:"refused"`
	Failed         int      `json:"failed"`
	Unanswered     int      `json:"unanswered"`
	StartP50       *float64 `json:"start_seconds_p50"` // from arrival to the start of the task
	StartP99       *float64 `json:"start_seconds_p99"`
	UrgentStartP99 *float64 `json:"urgent_start_seconds_p99"`
	UrgentWorst    *float64 `json:"urgent_start_seconds_worst"`
	RulesBroken    []string `json:"rules_broken"`
}

// Failure is one failure that was played, and what it cost.
type Failure struct {
	Kind             string   `json:"kind"`               // such as "worker", "rack", "zone", "region-cut", "rolling-restart"
	LastedSeconds    float64  `json:"lasted_seconds"`     // as played
	StandsForSeconds float64  `json:"stands_for_seconds"` // the length that it stands for; equal unless it was shortened
	Struck           float64  `json:"struck"`             // how many workers or schedulers it took
	ServiceBefore    *float64 `json:"service_before"`
	ServiceDuring    *float64 `json:"service_during"`
	SecondsUntilBack *float64 `json:"seconds_until_back"` // from its end; null if service was not back within the window
	Messages         *float64 `json:"messages"`           // control messages that it caused, all roles
	Bytes            *float64 `json:"bytes"`              // control bytes that it caused, all roles
	RulesBroken      []string `json:"rules_broken"`
	Note             string   `json:"note,omitempty"`
}

// Propagation is how long changes of configuration took until they were in force in every scheduler that could be
// reached, in seconds from the request.
type Propagation struct {
	Condition  string  `json:"condition"` // "no failure", or the failure during it
	Changes    int     `json:"changes"`
	Schedulers int     `json:"schedulers"`
	P50        float64 `json:"seconds_p50"`
	P99        float64 `json:"seconds_p99"`
	Worst      float64 `json:"seconds_worst"`
	Refused    int     `json:"refused"`      // with an error to the one who asked
	NotInForce int     `json:"not_in_force"` // accepted, and not in force everywhere when the run ended
}
