package scheduler

// The numbers of outcomes and of reasons, which are the lengths of tables indexed by them.
const (
	OutcomeCount = int(NotSent) + 1
	ReasonCount  = int(StreamEndedEarly) + 1
)

var outcomeNames = [OutcomeCount]string{
	Completed:      "completed",
	PrefillDone:    "prefill_done",
	Errored:        "errored",
	NoCapacity:     "no_capacity",
	TimedOut:       "timed_out",
	Unreachable:    "unreachable",
	ConnectionLost: "connection_lost",
	Cancelled:      "cancelled",
	NotSent:        "not_sent",
}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }
