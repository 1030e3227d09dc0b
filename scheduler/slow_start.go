package scheduler

import "math"

const (
	slowStartHeadroom = 1.2 // times the overload rule's part: warm endpoints are seen to do much less than they could

	// Share of the overload rule's limit by the warming endpoint's own recent throughput, which counts from so many mean
	// requests on.
	provenShare    = 0.9
	provenRequests = 2.0

	// Mean requests in a window of the rule that all dispatchers together may send to an endpoint of which nothing is
	// known.
	unknownRequests = 4.0

	throughputTime = 5.0 // seconds over which completed work is counted
)

// slowStart protects an endpoint whose process has just started.
type slowStart struct {
	completedTokens float64 // decaying
	completedAt     Micros  // when they were last decayed
	credit          float64 // tokens that may still be sent to it while it is warming up, if not negative
	creditAt        Micros  // when the credit was last refilled; 0 if it was not begun
}

func (w *slowStart) decay(now Micros) {
	w.completedTokens *= math.Exp(-seconds(now-w.completedAt) / throughputTime)
	w.completedAt = now
}

// recordCompleted counts a prefill or an answer that was completed.
func (w *slowStart) recordCompleted(now Micros, tokens float64) {
	w.decay(now)
	w.completedTokens += tokens
}

func (s *Scheduler) warmingUp(ep *endpoint) bool {
	return ep.startedAt > 0 && s.now-ep.startedAt < s.WarmUp
}

// measureWarmThroughput updates the recent throughput of warm endpoints of each role. It runs each time the periodic
// timer fires, not only while endpoints are warming up, and keeps the last value: when all endpoints of a role restart
// together, there is no warm one to measure. Endpoints that look faulty do not count, because dead ones that are still
// listed would lower the mean.
func (s *Scheduler) measureWarmThroughput() {
	var sum, count [roleCount]float64
	s.examined += uint64(len(s.endpoints.all))
	for _, ep := range s.endpoints.all {
		if ep.ready && ep.outlier.failureScore == 0 && !s.warmingUp(ep) {
			ep.slowStart.decay(s.now)
			sum[ep.role] += ep.slowStart.completedTokens / throughputTime
			count[ep.role]++
		}
	}
	for role := range count {
		if count[role] > 0 {
			s.warmThroughput[role] = sum[role] / count[role]
		}
	}
}

// slowStartAllows reports whether an endpoint may be sent one more attempt; only one that is warming up may not. All
// dispatchers are assumed to send alike, so each limits itself by the throughput that it has seen of warm endpoints of
// the role and of the warming one.
func (s *Scheduler) slowStartAllows(ep *endpoint) bool {
	if !s.warmingUp(ep) {
		return true
	}
	w := &ep.slowStart
	w.decay(s.now)
	requestTokens := s.estimates.largestMeanRequest()
	rate := s.slowStartRate(ep, requestTokens)
	// Each dispatcher begins at a random phase: with parts of less than one request, all would otherwise send their first
	// request at once.
	if w.creditAt == 0 {
		w.credit, w.creditAt = -requestTokens*s.rand.Float64(), s.now
	}
	w.credit = min(w.credit+rate*seconds(s.now-w.creditAt), 0)
	w.creditAt = s.now
	return w.credit >= 0
}

// slowStartRate is the tokens a second that this dispatcher may send to a warming endpoint.
func (s *Scheduler) slowStartRate(ep *endpoint, requestTokens float64) float64 {
	rate := s.OverloadFactor * slowStartHeadroom * s.SlowStartFactor * s.warmThroughput[ep.role]
	// One completed request is no measure: each dispatcher that saw one would overestimate the rate.
	if ep.slowStart.completedTokens > provenRequests*requestTokens {
		rate = max(rate, s.OverloadFactor*provenShare*ep.slowStart.completedTokens/throughputTime)
	}
	// Where nothing is known, as after a restart: one mean request in each window of the rule, and at most
	// unknownRequests from all dispatchers together.
	window := max(seconds(s.OverloadWindow), 1)
	return max(rate, requestTokens/window*min(1, unknownRequests/float64(max(s.Dispatchers, 1))))
}

// spendSlowStart charges an attempt that is sent.
func (s *Scheduler) spendSlowStart(ep *endpoint, class ClassID) {
	ep.slowStart.credit -= max(s.estimates.requestTokens[class], 1)
}
