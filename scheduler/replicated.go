package scheduler

import (
	"laddertide/job"
	"laddertide/peers"
	"laddertide/provider"
	"laddertide/replicated"
)

// newReplicated creates the Handler of durable jobs that are replicated between schedulers. It takes the place of the one
// with this scheduler's own ledger.
func (s *Scheduler) newReplicated(set replicated.Settings, next job.Handler) (*replicated.Handler, error) {
	timing := peers.TimingOf(s.cfg.Settings.DialTimeout)
	with := s.cfg.Operator.Peers
	return replicated.New(replicated.Config{Name: s.cfg.Name, Settings: set, Durable: *s.cfg.Operator.Durable, Policy: s.cfg.Settings, Next: next, Pool: s.pool,
		Log: s.log, Keys: with.Keys, Label: with.Cluster, AnswerTime: timing.AnswerTime, SettleTime: timing.SettleTime(s.cfg.Settings.Balancers),
		OnTakeover: func(open []*job.Job, ended []string) { s.owners.Claim(open, ended) },
		Forward:    func(ev provider.Event) error { return s.owners.Forward(ev) }})
}
