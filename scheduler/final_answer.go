package scheduler

const rejectRetryAfter = sec / 2 // that a rejected client is asked to wait; Config.MaxRetryAfter may be less

// rejectOrFail ends a request without an answer: rejected where a retry by the client is harmless, otherwise failed.
func (s *Scheduler) rejectOrFail(req *request, why Reason) {
	if !s.mayReject(req) {
		s.fail(req, why)
		return
	}
	s.explain(req, why)
	if !req.answered {
		req.answered = true
		s.executor.Reject(req.id, min(rejectRetryAfter, s.MaxRetryAfter))
	}
	s.finish(req)
}

func (s *Scheduler) fail(req *request, why Reason) {
	s.explain(req, why)
	if !req.answered {
		req.answered = true
		s.executor.Fail(req.id)
	}
	s.finish(req)
}

// mayReject reports whether the client can safely retry. Any attempt that is still in flight, even a prefill, may have
// an effect.
func (s *Scheduler) mayReject(req *request) bool {
	return s.Classes[req.class].Effect == Idempotent || req.mayHaveRun == nil && req.attempt == nil
}

func (s *Scheduler) explain(req *request, why Reason) {
	if explainer, ok := s.executor.(Explainer); ok && !req.answered {
		explainer.Explain(req.id, why)
	}
}

// finish ends an answered request: it cancels its attempt, or releases its state and forgets it.
func (s *Scheduler) finish(req *request) {
	s.timers.due.Drop(req.deadlineTimer)
	s.queue.remove(req)
	if req.attempt != nil {
		s.cancel(req.attempt) // finish is called again when the attempt ends
		return
	}
	s.releaseState(req)
	delete(s.requests, req.id)
}

// releaseState has the prefill endpoint drop the request's state, also after a decode endpoint found none: the prefill
// endpoint may only be cut off from that decode endpoint and still store it.
func (s *Scheduler) releaseState(req *request) {
	if req.stateAt != nil {
		s.executor.Release(req.id)
		req.stateAt = nil
	}
}
