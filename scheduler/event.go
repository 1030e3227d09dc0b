package scheduler

// Event is something that an operator may want to find in the log. Its types are EndpointEjected and SendBlocked;
// the host of the scheduler chooses their wording.
type Event interface{ event() }

// EndpointEjected reports that an endpoint gets no attempts for a while because it looks faulty.
type EndpointEjected struct {
	Endpoint EndpointID
	Reason   EjectionReason
	For      Micros
}

// EjectionReason is what made an endpoint look faulty.
type EjectionReason uint8

// The reasons for an ejection.
const (
	AttemptFailed   EjectionReason = iota // an attempt ended in an error or lost its connection
	AttemptTimedOut                       // an attempt timed out and nothing else came from the endpoint meanwhile
	EndpointSilent                        // replies are overdue and nothing comes from the endpoint
)

var ejectionReasonNames = [...]string{
	AttemptFailed:   "attempt failed",
	AttemptTimedOut: "attempt timed out",
	EndpointSilent:  "no reply",
}

// String is the reason's text in logs.
func (r EjectionReason) String() string { return ejectionReasonNames[r] }

// SendBlocked reports that the guard stopped an attempt that would have broken a rule: a fault in a decision.
type SendBlocked struct {
	Request  RequestID
	Endpoint EndpointID
	Rule     Rule
}

// Rule is a rule that the guard checks before each send.
type Rule uint8

// The rules that the guard checks.
const (
	SingleAttempt   Rule = iota // a request has one attempt in flight at most
	NotAnswered                 // a request with its final answer is not sent again
	EndpointReady               // an endpoint that is draining or removed gets nothing new
	SafeRetry                   // a retry must not repeat an effect
	WarmUpProtected             // an endpoint that is warming up gets no more than its part
)

var ruleNames = [...]string{
	SingleAttempt:   "an attempt is in flight",
	NotAnswered:     "already answered",
	EndpointReady:   "endpoint not ready",
	SafeRetry:       "retry could repeat an effect",
	WarmUpProtected: "endpoint is warming up",
}

// String is the rule's text in logs.
func (r Rule) String() string { return ruleNames[r] }

func (EndpointEjected) event() {}
func (SendBlocked) event()     {}
