package scheduler

// Event is an event for the operator's log: EndpointEjected or SendBlocked. The Executor formats the log message.
type Event interface{ event() }

// EndpointEjected reports that outlier ejection took an endpoint out of use for a while because it looks faulty.
type EndpointEjected struct {
	Endpoint EndpointID
	Reason   EjectionReason
	For      Micros
}

// EjectionReason says why an endpoint was ejected.
type EjectionReason uint8

// The reasons for an ejection.
const (
	AttemptFailed   EjectionReason = iota // an attempt ended in an error, got no connection or lost its connection
	AttemptTimedOut                       // an attempt timed out, and the endpoint sent no other reply meanwhile
	EndpointSilent                        // replies are overdue, and the endpoint sends none
)

var ejectionReasonNames = [...]string{
	AttemptFailed:   "attempt failed",
	AttemptTimedOut: "attempt timed out",
	EndpointSilent:  "no reply",
}

// String returns the reason's text in logs.
func (r EjectionReason) String() string { return ejectionReasonNames[r] }

// SendBlocked reports that the guard blocked an attempt that would have broken a rule. It shows a bug in the scheduler.
type SendBlocked struct {
	Request  RequestID
	Endpoint EndpointID
	Rule     Rule
}

// Rule is a rule that the guard checks before each send.
type Rule uint8

// The rules that the guard checks.
const (
	SingleAttempt   Rule = iota // a request has at most one attempt in flight
	NotAnswered                 // a request that has its final answer is not sent again
	EndpointReady               // an endpoint that is draining or removed gets no new attempts
	SafeRetry                   // a retry must not repeat a request's effect
	WarmUpProtected             // an endpoint that is warming up gets no more attempts than slow start allows
)

var ruleNames = [...]string{
	SingleAttempt:   "an attempt is in flight",
	NotAnswered:     "already answered",
	EndpointReady:   "endpoint not ready",
	SafeRetry:       "retry could repeat an effect",
	WarmUpProtected: "endpoint is warming up",
}

// String returns the rule's text in logs.
func (r Rule) String() string { return ruleNames[r] }

func (EndpointEjected) event() {}
func (SendBlocked) event()     {}
