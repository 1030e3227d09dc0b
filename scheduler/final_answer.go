package scheduler

// rejectRetryAfter is how long a rejected client is asked to wait. Config.MaxRetryAfter can shorten it.
const rejectRetryAfter = sec / 2

// rejectOrFail ends a request that will not be served. It rejects the request if a retry by the client is harmless, and
// fails it otherwise.
func (s *Scheduler) rejectOrFail(req *request, reason Reason) {
	if !s.mayReject(req) {
		s.fail(req, reason)
		return
	}
	s.explain(req, reason)
	if !req.answered {
		req.answered = true
		s.executor.Reject(req.id, min(rejectRetryAfter, s.MaxRetryAfter))
	}
	s.finish(req)
}

func (s *Scheduler) fail(req *request, reason Reason) {
	s.explain(req, reason)
	if !req.answered {
		req.answered = true
		s.executor.Fail(req.id)
	}
	s.finish(req)
}

// mayReject reports whether the client can safely send the request again. An attempt that is still in flight may have
// an effect, even if it is a prefill.
func (s *Scheduler) mayReject(req *request) bool {
	return s.Classes[req.class].Effect == Idempotent || req.mayHaveRun == nil && req.attempt == nil
}

func (s *Scheduler) explain(req *request, reason Reason) {
	if explainer, ok := s.executor.(Explainer); ok && !req.answered {
		explainer.Explain(req.id, reason)
	}
}

// finish ends an answered request. If an attempt is in flight, finish cancels that attempt and is called again when it
// ends. Otherwise finish releases the state and forgets the request.
func (s *Scheduler) finish(req *request) {
	s.timers.due.Drop(req.deadlineTimer)
	s.queue.remove(req)
	if req.attempt != nil {
		s.cancel(req.attempt)
		return
	}
	s.releaseState(req)
	delete(s.requests, req.id)
}

// releaseState tells the prefill endpoint to drop the request's state. The call is needed even after a decode endpoint
// found no state, because the prefill endpoint may still store the state and only be unreachable from that decode
// endpoint.
func (s *Scheduler) releaseState(req *request) {
	if req.stateAt != nil {
		s.executor.Release(req.id)
		req.stateAt = nil
	}
}
