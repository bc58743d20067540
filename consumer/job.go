package consumer

import (
	"runtime/debug"
	"time"

	"laddertide/decide"
	"laddertide/provider"
)

// margin is taken off a consumer's deadline, so that the answer is there before it gives up.
const margin = 10 * time.Millisecond

// job is a consumer's request, as the codec read it.
type job struct {
	facts decide.Job   // for the decisions
	call  provider.Job // for the providers
}

// outcome is what became of a job.
type outcome struct {
	verdict decide.Verdict // a final one
	result  []byte         // with decide.Answer
}

// run carries a job to its final verdict. It is the same for every protocol: the module decides, the
// pool calls, and whoever knows the protocol puts the outcome into words.
func (s *Server) run(j *job, c *conn) (out outcome) {
	ticket := s.Desk.Take(j.facts)
	calling := false
	defer func() {
		if r := recover(); r != nil {
			// The module must still hear how the call ended, and the consumer gets its answer. A call
			// that panicked may have run.
			if calling {
				ticket.Report(decide.Broken)
			}
			ticket.Leave()
			s.Log.Error("panic while carrying a job", "panic", r, "stack", string(debug.Stack()))
			out = outcome{verdict: decide.Verdict{Kind: decide.Failure}}
		}
	}()
	stop := watch(c, ticket.Leave)
	defer stop()
	var result []byte
	began := time.Now()
	for {
		v := ticket.Pick()
		if v.Kind != decide.Call {
			s.Log.Debug("job over", "id", j.call.ID, "class", j.facts.Class, "verdict", v.Kind, "took", time.Since(began))
			return outcome{v, result}
		}
		var end decide.End
		sent := time.Now()
		calling = true
		end, result = s.Pool.Invoke(&j.call, v, ticket.Hear)
		calling = false
		s.Log.Debug("call over", "id", j.call.ID, "provider", v.Provider, "end", end, "took", time.Since(sent))
		ticket.Report(end)
	}
}
