package scheduler

import "slices"

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	number        AttemptNumber
	request       *request
	endpoint      *endpoint
	sentAt        Micros
	prefillTokens float64 // tokens of the prompt that the endpoint still has to prefill
	tokensAhead   float64 // tokens of earlier requests that the endpoint still had to prefill when the attempt was sent
	memoryTokens  float64 // memory that the request is expected to take at its decode endpoint
	decodes       bool
	started       bool   // the answer has begun to stream
	lateAt        Micros // time after which the start of the answer is late
	crossesCells  bool   // the state is fetched from a cell other than the endpoint's
	stateCell     CellID // cell of the endpoint that stores the state
	cancelled     bool   // the scheduler has cancelled the attempt
	newConnection bool   // there was probably no open connection to the endpoint when the attempt was sent
	onResult      func(AttemptResult)
}

// send sends a request to an endpoint. When the attempt ends, onResult is called, unless the answer has begun or the
// request is closed. If the request has used all its attempts or reached its deadline, or the guard blocks the attempt,
// send ends the request with a final answer instead.
func (s *Scheduler) send(req *request, ep *endpoint, prefillTokens float64, onResult func(AttemptResult)) {
	switch {
	case req.attemptsSent >= s.MaxAttempts:
		s.rejectOrFail(req, AttemptsExhausted)
		return
	case req.deadline <= s.now:
		s.rejectOrFail(req, DeadlineReached)
		return
	case s.blocked(req, ep):
		s.rejectOrFail(req, RuleViolation)
		return
	}
	att := &attempt{
		number:        AttemptNumber(req.attemptsSent),
		request:       req,
		endpoint:      ep,
		sentAt:        s.now,
		prefillTokens: prefillTokens,
		tokensAhead:   ep.load.unprefilledTokens,
		memoryTokens:  req.memoryTokens(),
		decodes:       ep.role != Prefill,
		lateAt:        s.now + req.sloTimeShare(lateStartShare),
		newConnection: !s.hasConnection(ep),
		onResult:      onResult,
	}
	if req.stateAt != nil {
		att.crossesCells, att.stateCell = req.stateAt.cell != ep.cell, req.stateAt.cell
	}
	s.track(att)
	s.spendSlowStart(ep, req.class)
	s.executor.Send(req.id, ep.id, s.attemptTimeout(att))
}

// currentAttempt returns the request's attempt in flight if that attempt has the given number. Otherwise the caller's
// event is late or its request is unknown, and currentAttempt returns nil.
func (s *Scheduler) currentAttempt(id RequestID, number AttemptNumber) *attempt {
	if req := s.requests[id]; req != nil && req.attempt != nil && req.attempt.number == number {
		return req.attempt
	}
	return nil
}

// prefillFinished subtracts the attempt's prompt from the prefill work of its endpoint. It also removes the attempt
// from the endpoint's attempts that have no first token yet.
func (att *attempt) prefillFinished() {
	ep := att.endpoint
	ep.load.unprefilledTokens = max(ep.load.unprefilledTokens-att.prefillTokens, 0)
	att.prefillTokens = 0
	ep.pending = slices.DeleteFunc(ep.pending, func(other *attempt) bool { return other == att })
}

// AttemptStarted records that the answer has begun to stream to the client. It drops the request's deadline timer.
func (s *Scheduler) AttemptStarted(now Micros, id RequestID, number AttemptNumber) {
	s.now = now
	att := s.currentAttempt(id, number)
	if att == nil {
		return
	}
	if att.prefillTokens == 0 {
		updateRunningMean(&s.estimates.firstTokenLatency, float64(now-att.sentAt))
	}
	s.recordHandover(att)
	att.started, att.request.stateAt = true, nil
	s.timers.due.Drop(att.request.deadlineTimer)
	att.prefillFinished()
	ep := att.endpoint
	ep.outlier.recordSuccess()
	ep.outlier.lastReplyAt = now
	switch {
	case now <= att.lateAt:
		ep.memory.lastTimelyStartAt = now
		if att.crossesCells {
			delete(s.links.lastLateAt, att.stateCell)
		}
	case delayedByLink(att):
		s.links.lastLateAt[att.stateCell] = now
	default:
		s.cutReservationLimit(ep)
	}
}

// AttemptEnded records an attempt's result and continues its request.
func (s *Scheduler) AttemptEnded(now Micros, id RequestID, number AttemptNumber, res AttemptResult) {
	s.now = now
	att := s.currentAttempt(id, number)
	if att == nil {
		return
	}
	prefillTokens := att.prefillTokens
	s.untrack(att)
	s.recordUsage(att.endpoint, res.MemoryUsage)
	if !att.started && (res.Outcome == TimedOut || res.Outcome == Cancelled) {
		s.recordHandover(att)
	}
	s.recordConnection(att, res.Outcome)
	s.recordOutcome(att, res)
	if res.Outcome == PrefillDone {
		s.recordPrefill(att, prefillTokens, float64(res.CachedTokens))
	}
	s.continueRequest(att, res)
	s.placeQueued()
	s.armDeadlineTimer()
}

// continueRequest continues the request of an attempt that has ended.
func (s *Scheduler) continueRequest(att *attempt, res AttemptResult) {
	req := att.request
	if att.decodes && req.mayHaveRun == nil && !res.Outcome.KnownNotRun() {
		req.mayHaveRun = att
	}
	switch {
	case res.RequestClosed || req.answered:
		req.answered = true
		if !att.decodes && !s.Classes[req.class].PrefillOnly {
			req.stateAt = att.endpoint // a cancelled prefill may have left a state, and a needless release is harmless
		}
		s.finish(req)
	case att.started:
		// The stream ended before the answer was complete, for example because the attempt was cancelled while its first
		// token was on the way. The client still needs a final answer.
		s.rejectOrFail(req, StreamEndedEarly)
	default:
		att.onResult(res)
	}
}

// recordConnection updates the share of new connections that fail.
func (s *Scheduler) recordConnection(att *attempt, outcome Outcome) {
	if !att.newConnection {
		return
	}
	failed := 0.0
	if outcome == Unreachable {
		failed = 1
	}
	s.connectFailures.record(s.now, 0, failed)
}
