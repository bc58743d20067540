package world

// RosterSpec says how discovery lags.
type RosterSpec struct {
	Schedulers   int     // each has an agent of its own
	Notice       [2]Time // until it notices that a process has died or drains; drawn for each change
	SilentNotice [2]Time // the same of a machine that went silent
	Add          [2]Time // the same of a process that started
	Period       [2]Time // changes go out in batches; one period is drawn for a run
	Spread       [2]Time // how much later an agent has a batch; drawn for each
}
