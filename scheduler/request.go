package scheduler

import "plumspindle/scheduler/timerqueue"

// expectedAnswerDivisor divides the maximum output tokens to estimate the length of an answer whose decode time is not
// known.
const expectedAnswerDivisor = 2

// request is the state of a client's request. It is kept until the request is answered and has no attempt in flight.
type request struct {
	id           RequestID
	class        ClassID
	session      SessionID
	prefix       PrefixID
	promptTokens float64
	prefixTokens float64
	answerTokens float64 // expected length of the answer
	arrivedAt    Micros
	sloAt        Micros // the SLO time: the first token is due by then
	deadline     Micros
	overQuota    bool

	queued        bool
	attemptsSent  int
	attempt       *attempt     // the attempt in flight; nil if there is none
	affinity      [2]*endpoint // endpoints to prefill the prefix: the one in the dispatcher's zone, and the one among all
	stateAt       *endpoint    // endpoint that stores the request's prefilled state; nil if there is none
	tried         []*endpoint  // endpoints that were tried without success in the current stage (prefill or decode)
	mayHaveRun    *attempt     // first attempt that may have taken effect
	answered      bool         // the client has its final answer, or has disconnected
	deadlineTimer *timerqueue.Item
}

// sloTimeShare returns a share of the time from the request's arrival to its SLO time.
func (req *request) sloTimeShare(share float64) Micros {
	return Micros(share * float64(req.sloAt-req.arrivedAt))
}

// memoryTokens is the memory that the request is expected to take at its decode endpoint, in tokens.
func (req *request) memoryTokens() float64 { return req.promptTokens + req.answerTokens }

// RequestArrived accepts a request. Each accepted request gets exactly one final answer, unless its client disconnects.
func (s *Scheduler) RequestArrived(now Micros, arrival Arrival) {
	s.now = now
	req := &request{
		id:           arrival.ID,
		class:        arrival.Class,
		session:      arrival.Session,
		prefix:       arrival.Prefix,
		promptTokens: arrival.PromptTokens,
		prefixTokens: arrival.PrefixTokens,
		answerTokens: arrival.MaxOutputTokens / expectedAnswerDivisor,
		arrivedAt:    now,
		deadline:     arrival.Deadline,
	}
	s.requests[req.id] = req
	if int(req.class) >= len(s.Classes) {
		s.fail(req, UnknownClass)
		return
	}
	class := s.Classes[req.class]
	if arrival.DecodeTime > 0 && class.TokenSLO > 0 {
		req.answerTokens = float64(arrival.DecodeTime) / float64(class.TokenSLO)
	}
	req.sloAt = now + class.SLO + Micros(float64(class.SLOPer1000Tokens)*req.promptTokens/1000)
	s.prefixes.count(req.prefix)
	updateRunningMean(&s.estimates.requestTokens[req.class], req.memoryTokens())
	req.overQuota = s.quotas.take(int(arrival.Tenant))
	// The final answer is given two ticks and one millisecond before the deadline. An answer given at the deadline would
	// reach the client after the client has disconnected.
	answerBy := req.deadline - 2*s.TickInterval - ms
	req.deadlineTimer = s.timers.due.Set(answerBy, func() { s.rejectOrFail(req, DeadlineReached) })
	s.place(req)
	s.armDeadlineTimer()
}

// RequestWithdrawn rejects or fails a request whose answer has not begun. The caller withdraws requests, for example,
// when their tenant is removed.
func (s *Scheduler) RequestWithdrawn(now Micros, id RequestID) {
	s.now = now
	req := s.requests[id]
	if req != nil && !req.answered && (req.attempt == nil || !req.attempt.started) {
		s.rejectOrFail(req, Withdrawn)
	}
	s.armDeadlineTimer()
}

// ClientDisconnected ends a request without a final answer because its client has disconnected.
func (s *Scheduler) ClientDisconnected(now Micros, id RequestID) {
	s.now = now
	if req := s.requests[id]; req != nil {
		req.answered = true
		s.finish(req)
	}
}
