package scheduler

// Reason says why the scheduler gave a request its final answer.
type Reason uint8

// The reasons.
const (
	DeadlineReached   Reason = iota // the request's deadline is due
	AttemptsExhausted               // the request has too few attempts left
	TooLate                         // the request can no longer meet its SLO, and another queued request can meet its own
	MayHaveRun                      // an attempt may have run, and a retry could repeat its effect
	UnknownClass                    // the configuration has no such class
	Withdrawn                       // the caller withdrew the request
	RuleViolation                   // the guard blocked the attempt because it would have broken a rule
	StreamEndedEarly                // the answer's stream ended before the answer was complete
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

// String returns the reason's text in logs.
func (r Reason) String() string { return reasonNames[r] }

// Explainer is an optional interface of an Executor that wants to know the reason for a final answer. The scheduler
// calls Explain just before Reject or Fail.
type Explainer interface {
	Explain(request RequestID, reason Reason)
}
