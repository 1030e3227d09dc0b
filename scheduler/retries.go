package scheduler

const (
	timeoutLatencyFactor = 6       // times the typical latency, plus
	timeoutPrefillFactor = 3       // times what its prefill takes at its endpoint, plus
	timeoutMargin        = sec / 2 // is the timeout of an attempt,
	timeoutDivisor       = 2       // or the remaining time divided by this, if that is more
)

// mayRetry reports whether the class lets the request be sent again (to ep, or to any endpoint at all if ep is nil).
func (s *Scheduler) mayRetry(req *request, ep *endpoint) bool {
	class := s.Classes[req.class]
	if req.mayHaveRun == nil || class.Effect == Idempotent {
		return true
	}
	// The window ends when the repeat arrives at the endpoint, and the attempt may first wait for a connection.
	latest := s.now + s.TickInterval + s.ConnectTimeout
	if class.Effect == NonIdempotent || latest >= req.mayHaveRun.sentAt+class.Window {
		return false
	}
	first := req.mayHaveRun.endpoint
	switch {
	case ep == nil || class.Group == AllEndpoints:
		return true
	case class.Group == SameZone:
		return ep.zone == first.zone
	}
	return ep.cell == first.cell
}

// attemptTimeout is enough for a typical attempt. Where another endpoint could still serve the request, it is not all
// of the remaining time, so that a stalled endpoint leaves time for a retry.
func (s *Scheduler) attemptTimeout(att *attempt) Micros {
	left := att.request.deadline - s.now
	if att.decodes && s.Classes[att.request.class].Effect != Idempotent {
		return left
	}
	work := att.tokensAhead + att.prefillTokens
	prefill := timeoutPrefillFactor * float64(sec) * work / att.endpoint.prefillRate.tokensPerSecond()
	enough := Micros(timeoutLatencyFactor*s.estimates.typicalLatency(att)+prefill) + timeoutMargin
	return min(left, max(enough, left/timeoutDivisor))
}

// cancel cancels an attempt that has not begun to answer; its end is reported like any other.
func (s *Scheduler) cancel(att *attempt) {
	if s.CancelAllowed && !att.cancelled && !att.started {
		att.cancelled = true
		s.executor.Cancel(att.request.id, att.number)
	}
}
