package scheduler

const (
	timeoutLatencyFactor = 6       // times the typical latency that an attempt may take at least, and
	timeoutPrefillFactor = 3       // times what its prefill takes at its endpoint,
	timeoutMargin        = sec / 2 // and this
	timeoutShare         = 2       // or the time left divided by this, if that is more
)

// mayRetry reports whether the class lets the request be sent again (to ep, or to any endpoint at all if ep is nil).
func (s *Scheduler) mayRetry(req *request, ep *endpoint) bool {
	class := s.Classes[req.class]
	if req.mayHaveRun == nil || class.Effect == Idempotent {
		return true
	}
	// The endpoint counts a repeat when it arrives, and the attempt may wait for its connection before.
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

// attemptTimeout is enough for what is typical, but where another endpoint could still serve the request, not the
// whole of the time that is left, so that an endpoint that stalls leaves time for the other.
func (s *Scheduler) attemptTimeout(att *attempt) Micros {
	left := att.request.deadline - s.now
	if att.decodes && s.Classes[att.request.class].Effect != Idempotent {
		return left
	}
	work := att.tokensAhead + att.prefillTokens
	prefill := timeoutPrefillFactor * float64(sec) * work / att.endpoint.prefillRate.tokensPerSecond()
	enough := Micros(timeoutLatencyFactor*s.estimates.typicalLatency(att)+prefill) + timeoutMargin
	return min(left, max(enough, left/timeoutShare))
}

// cancel takes back an attempt that has not begun to answer; its end is reported like any other.
func (s *Scheduler) cancel(att *attempt) {
	if s.CancelAllowed && !att.cancelled && !att.started {
		att.cancelled = true
		s.executor.Cancel(att.request.id, att.number)
	}
}
