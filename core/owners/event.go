package owners

// This file decides what a scheduler does with a provider's event (a call-back) that belongs to no attempt there. An event may be
// acknowledged only if its job's owner has received it, or if it is certain that nobody can use it: that its job is not known is no
// proof, as long as not all who may know it could be asked.

// EventFacts is what a scheduler knows, by itself, of the job of such an event.
type EventFacts struct {
	Carried    bool // this process owns the open job and runs it, or has its answer: the event is a repeat, or of an attempt that was given up
	Pending    bool // it owns the open job, and does not accept events of the attempt in flight yet, or no longer, as it hands the job over
	Wanted     bool // a request for the job is open here, and which scheduler owns the job is not known yet
	HandedOver bool // it has handed the job over to another scheduler
	Expired    bool // all records from before this process began have expired
	Joined     bool // it is connected to the other schedulers
	RosterOK   bool // a roster of keepers is in force
}

// EventAction is what becomes of an event.
type EventAction uint8

// The actions.
const (
	RepeatEvent      EventAction = iota // the provider has to send it again
	AcknowledgeEvent                    // nobody can use it
	ForwardEvent                        // the job's owner decides
	ReadRecord                          // ask the keepers of the job's record
	EndJob                              // the event's result is the job's answer
)

// NextForEvent returns the action for an event, before its job's record is read.
func NextForEvent(f EventFacts) EventAction {
	switch {
	case f.Pending:
		return RepeatEvent
	case f.Carried:
		return AcknowledgeEvent
	case f.HandedOver && f.Joined:
		return ForwardEvent
	case f.Expired && !f.Wanted && !f.HandedOver:
		return AcknowledgeEvent
	case !f.Joined || !f.RosterOK:
		return RepeatEvent
	}
	return ReadRecord
}

// RecordFacts is what the keepers have told about the job of an event.
type RecordFacts struct {
	Record    *Record // nil: none of them has one
	Quorum    bool    // a majority of them has answered
	Wanted    bool    // see EventFacts
	Forwarded bool    // the event came from another scheduler, which took this one for the job's owner
}

// NextForRecord returns the action for an event whose job's record was read. me is this process; done reports whether the event has a
// result.
func NextForRecord(f RecordFacts, me Process, provider string, done bool) EventAction {
	r := f.Record
	switch {
	case r == nil && !f.Quorum:
		return RepeatEvent
	case r == nil || r.Ended:
		return AcknowledgeEvent
	case r.Owner.Name != me.Name && f.Forwarded:
		return RepeatEvent // the other scheduler reads the record again
	case r.Owner.Name != me.Name:
		return ForwardEvent
	case r.Owner == me && f.Wanted:
		return RepeatEvent // the request's own claim, not decided yet: the record of an earlier attempt may be at other keepers
	case done && mayBeOf(r, provider):
		return EndJob
	}
	return AcknowledgeEvent
}

// mayBeOf reports whether a result of a provider may be of an attempt of the job in a record. Where a majority has to record each attempt
// before it is sent, the record has them all; otherwise it may lack the only one, as its keepers are told without being waited for.
func mayBeOf(r *Record, provider string) bool {
	for _, c := range r.Attempts {
		if c.Provider == provider {
			return true
		}
	}
	return len(r.Attempts) == 0 && !Effect(r.Effect).NeedsProviderRecorded()
}
