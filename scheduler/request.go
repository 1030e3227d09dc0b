package scheduler

import "plumspindle/scheduler/timerqueue"

// expectedAnswerDivisor of the maximum output tokens gives those expected of a request without a decode time.
const expectedAnswerDivisor = 2

// request is one client's request until it is answered and has no attempt in flight.
type request struct {
	id           RequestID
	class        ClassID
	session      SessionID
	prefix       PrefixID
	promptTokens float64
	prefixTokens float64
	answerTokens float64 // expected
	arrivedAt    Micros
	sloAt        Micros
	deadline     Micros
	overQuota    bool

	queued        bool
	attemptsSent  int
	attempt       *attempt     // in flight
	affinity      [2]*endpoint // where its prefix should be prefilled
	stateAt       *endpoint    // that stores its prefilled state
	tried         []*endpoint  // without success in this stage
	mayHaveRun    *attempt     // the first that may have taken effect
	answered      bool         // its final answer is given, or its client has disconnected
	deadlineTimer *timerqueue.Item
}

// sloTimeShare is a share of the time from a request's arrival to its SLO time.
func (req *request) sloTimeShare(share float64) Micros {
	return Micros(share * float64(req.sloAt-req.arrivedAt))
}

// memoryTokens is the memory that its decode is expected to take.
func (req *request) memoryTokens() float64 { return req.promptTokens + req.answerTokens }

// RequestArrived accepts a request, which gets exactly one final answer.
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
	req.sloAt = now + class.SLO + Micros(float64(class.SLOPer1000)*req.promptTokens/1000)
	s.prefixes.count(req.prefix)
	blend(&s.estimates.requestTokens[req.class], req.memoryTokens())
	req.overQuota = s.quotas.take(int(arrival.Tenant))
	// Two ticks early: an answer given at the deadline itself would reach the client after it has hung up.
	answerBy := req.deadline - 2*s.TickInterval - ms
	req.deadlineTimer = s.timers.due.Set(answerBy, func() { s.rejectOrFail(req, DeadlineReached) })
	s.place(req)
	s.armDeadlineTimer()
}

// RequestWithdrawn rejects or fails a request whose answer has not begun, as when its tenant is removed.
func (s *Scheduler) RequestWithdrawn(now Micros, id RequestID) {
	s.now = now
	req := s.requests[id]
	if req != nil && !req.answered && (req.attempt == nil || !req.attempt.started) {
		s.rejectOrFail(req, Withdrawn)
	}
	s.armDeadlineTimer()
}

// ClientDisconnected ends a request whose client has disconnected, without a final answer.
func (s *Scheduler) ClientDisconnected(now Micros, id RequestID) {
	s.now = now
	if req := s.requests[id]; req != nil {
		req.answered = true
		s.finish(req)
	}
}
