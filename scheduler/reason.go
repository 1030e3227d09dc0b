package scheduler

// Reason is why a request got its final answer from the scheduler.
type Reason uint8

// The reasons.
const (
	DeadlineReached   Reason = iota // its deadline is reached
	AttemptsExhausted               // its attempts are used up
	TooLate                         // it can't meet its SLO time, and others can
	MayHaveRun                      // an attempt may have run, and a repeat could do harm
	UnknownClass                    // its class is not one of the deployment's
	Withdrawn                       // the caller withdrew it
	RuleViolation                   // the attempt that was chosen would have broken a rule
	StreamEndedEarly                // an answer had begun, and ended before it was complete
)

var reasonNames = [ReasonCount]string{
	DeadlineReached:   "no time left",
	AttemptsExhausted: "no attempts left",
	TooLate:           "too late",
	MayHaveRun:        "may have run",
	UnknownClass:      "no such class",
	Withdrawn:         "withdrawn",
	RuleViolation:     "send refused",
	StreamEndedEarly:  "closed behind",
}

// String is the reason's text in logs.
func (r Reason) String() string { return reasonNames[r] }

// Explainer is implemented by an Executor that wants the reason of a final answer. It is called just before Reject or
// Fail.
type Explainer interface {
	Explain(request RequestID, why Reason)
}
