package scheduler

// An attempt's timeout is timeoutLatencyFactor times the typical latency, plus timeoutPrefillFactor times the prefill
// time at its endpoint, plus timeoutMargin. The timeout is at least the time until the request's deadline divided by
// timeoutDivisor, and at most the time until that deadline.
const (
	timeoutLatencyFactor = 6
	timeoutPrefillFactor = 3
	timeoutMargin        = sec / 2
	timeoutDivisor       = 2
)

// mayRetry reports whether the request may be sent to ep without repeating an effect. If ep is nil, it reports whether
// the request may still be sent to any endpoint.
func (s *Scheduler) mayRetry(req *request, ep *endpoint) bool {
	class := s.Classes[req.class]
	if req.mayHaveRun == nil || class.Effect == Idempotent {
		return true
	}
	// The repeat must arrive at the endpoint within DedupWindow. It may first wait for a tick and for a connection.
	latestArrival := s.now + s.TickInterval + s.ConnectTimeout
	if class.Effect == NonIdempotent || latestArrival >= req.mayHaveRun.sentAt+class.DedupWindow {
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

// attemptTimeout returns a timeout that is long enough for a typical attempt. If the request can be retried at another
// endpoint, the timeout may end before the request's deadline, to leave time for a retry if the endpoint stalls.
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

// cancel cancels an attempt whose answer has not begun. The caller still reports the attempt's end by AttemptEnded.
func (s *Scheduler) cancel(att *attempt) {
	if s.CancelAllowed && !att.cancelled && !att.started {
		att.cancelled = true
		s.executor.Cancel(att.request.id, att.number)
	}
}
