package measurement

import "slices"

// Role is a part of a fleet that uses resources of its own.
type Role string

// The roles.
const (
	Scheduler           Role = "scheduler"
	Worker              Role = "worker" // as seen by schedulers
	Discovery           Role = "discovery"
	LedgerMember        Role = "ledger_member"
	ConfigurationSource Role = "configuration_source"
	Client              Role = "client"
)

// Roles lists all roles in the order of the page.
func Roles() []Role {
	return []Role{Scheduler, Worker, Discovery, LedgerMember, ConfigurationSource, Client}
}

// Path says on whose behalf a message is sent.
type Path string

// The paths.
const (
	Control Path = "control" // membership, discovery, configuration, replication of state
	Job     Path = "job"     // requests of clients, attempts at workers, and their answers
)

// Direction is that of a message as the role that counts it sees it.
type Direction string

// The directions.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Source is who counted messages or bytes.
type Source string

// The sources of counts.
const (
	DaemonCounter Source = "daemon counter"
	Relay         Source = "relay"
	System        Source = "system" // the kernel's counts for the process or its sockets
)

// Parameter is the JSON name of a field of Parameters.
type Parameter string

// The parameters.
const (
	Workers             Parameter = "workers"
	Accelerators        Parameter = "accelerators"
	TasksRunning        Parameter = "tasks_running"
	TaskStartsPerSecond Parameter = "task_starts_per_second"
	Tenants             Parameter = "tenants"
	Schedulers          Parameter = "schedulers"
	HollowSchedulers    Parameter = "hollow_schedulers"
	Members             Parameter = "members"
	ReplicatedGroups    Parameter = "replicated_groups"
	ChangesPerDay       Parameter = "changes_per_day"
	ConfigurationBytes  Parameter = "configuration_bytes"
	Regions             Parameter = "regions"
	RoundTripMS         Parameter = "round_trip_ms"
)

// AllParameters lists all parameters in the order of the fields.
func AllParameters() []Parameter {
	return []Parameter{Workers, Accelerators, TasksRunning, TaskStartsPerSecond, Tenants, Schedulers, HollowSchedulers,
		Members, ReplicatedGroups, ChangesPerDay, ConfigurationBytes, Regions, RoundTripMS}
}

// Value returns the value of a parameter, and whether there is one of this name.
func (p *Parameters) Value(name Parameter) (float64, bool) {
	field := p.field(name)
	if field == nil {
		return 0, false
	}
	return *field, true
}

// Set sets the value of a parameter and tells whether there is one of this name.
func (p *Parameters) Set(name Parameter, value float64) bool {
	field := p.field(name)
	if field == nil {
		return false
	}
	*field = value
	return true
}

func (p *Parameters) field(name Parameter) *float64 {
	fields := []*float64{&p.Workers, &p.Accelerators, &p.TasksRunning, &p.TaskStartsPerSecond, &p.Tenants, &p.Schedulers,
		&p.HollowSchedulers, &p.Members, &p.ReplicatedGroups, &p.ChangesPerDay, &p.ConfigurationBytes, &p.Regions,
		&p.RoundTripMS}
	at := slices.Index(AllParameters(), name)
	if at < 0 {
		return nil
	}
	return fields[at]
}

// Usage returns what a role used at a point, or nil.
func (p *Point) Usage(role Role) *Usage {
	for i := range p.Roles {
		if p.Roles[i].Role == role {
			return &p.Roles[i]
		}
	}
	return nil
}
