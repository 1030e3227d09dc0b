package scheduler

import "math"

const (
	// Factor on the rate that the overload rule allows. That rate is computed from the observed throughput of warm
	// endpoints, which is much less than the throughput that these endpoints could reach.
	slowStartHeadroom = 1.2

	// The overload rule allows an endpoint a rate that follows from the endpoint's own observed throughput. An endpoint
	// that has recently completed more than minCompletedRequests requests of mean size may be sent ownThroughputShare of
	// that rate.
	ownThroughputShare   = 0.9
	minCompletedRequests = 2.0

	// If an endpoint's throughput is not known, all dispatchers together may send it this many requests of mean size in
	// each window of the overload rule.
	unknownThroughputRequests = 4.0

	// Time constant, in seconds, of the decay of completedTokens.
	throughputDecayTime = 5.0
)

// warmThroughput is the mean of the warm endpoints of one kind.
type warmThroughput struct {
	tokensPerSecond float64 // as last observed
	size            float64 // see EndpointStatus.Size
}

// slowStart limits what is sent to an endpoint whose process has just started.
type slowStart struct {
	completedTokens  float64 // tokens of completed requests, decaying exponentially
	decayedAt        Micros  // when completedTokens was last decayed
	credit           float64 // at most 0, in tokens; the next attempt may be sent when the credit has reached 0
	creditRefilledAt Micros  // when credit was last refilled; 0 if credit was never set
}

func (w *slowStart) decay(now Micros) {
	w.completedTokens *= math.Exp(-seconds(now-w.decayedAt) / throughputDecayTime)
	w.decayedAt = now
}

// recordCompleted adds the tokens of a completed prefill or answer.
func (w *slowStart) recordCompleted(now Micros, tokens float64) {
	w.decay(now)
	w.completedTokens += tokens
}

func (s *Scheduler) warmingUp(ep *endpoint) bool {
	return ep.startedAt > 0 && s.now-ep.startedAt < s.WarmUp
}

// measureWarmThroughput updates the recent throughput of warm endpoints of each kind. The kinds of one role are
// measured separately, because one kind may do several times the work of another. It runs each time the periodic timer
// fires, not only while endpoints are warming up. It keeps the last value while a kind has no warm endpoint. Both are
// needed because when all endpoints of a kind restart together, there is no warm one to measure. Endpoints that look
// faulty do not count, because dead ones that are still listed would lower the mean.
func (s *Scheduler) measureWarmThroughput() {
	sums, counts := make([]warmThroughput, len(s.Kinds)), make([]float64, len(s.Kinds))
	s.examined += uint64(len(s.endpoints.all))
	for _, ep := range s.endpoints.all {
		if ep.ready && ep.outlier.failureScore == 0 && !s.warmingUp(ep) {
			ep.slowStart.decay(s.now)
			sums[ep.kind].tokensPerSecond += ep.slowStart.completedTokens / throughputDecayTime
			sums[ep.kind].size += ep.size
			counts[ep.kind]++
		}
	}
	for kind, count := range counts {
		if count > 0 {
			s.warmThroughput[kind] = warmThroughput{sums[kind].tokensPerSecond / count, sums[kind].size / count}
		}
	}
}

// expected returns the tokens per second that an endpoint of the kind can be expected to complete when warm, from its
// size. An endpoint that is larger than the mean counts as one of mean size, because listed sizes may be approximate.
func (w warmThroughput) expected(size float64) float64 {
	if size <= 0 || size >= w.size {
		return w.tokensPerSecond
	}
	return w.tokensPerSecond * size / w.size
}

// slowStartAllows reports whether an endpoint may be sent one more attempt. An endpoint that is not warming up may
// always be sent one. Each dispatcher assumes that all dispatchers send at similar rates. It therefore limits its own
// sends by the throughput that it has observed itself, both of warm endpoints of the same kind and of the endpoint that
// warms up.
func (s *Scheduler) slowStartAllows(ep *endpoint) bool {
	if !s.warmingUp(ep) {
		return true
	}
	w := &ep.slowStart
	w.decay(s.now)
	requestTokens := s.estimates.largestMeanRequest()
	rate := s.slowStartRate(ep, requestTokens)
	// Each dispatcher begins with a random credit. Otherwise, dispatchers whose even shares of the endpoint are less than
	// one request would all send their first request at once.
	if w.creditRefilledAt == 0 {
		w.credit, w.creditRefilledAt = -requestTokens*s.rand.Float64(), s.now
	}
	w.credit = min(w.credit+rate*seconds(s.now-w.creditRefilledAt), 0)
	w.creditRefilledAt = s.now
	return w.credit >= 0
}

// slowStartRate returns the tokens per second that this dispatcher may send to an endpoint that is warming up.
func (s *Scheduler) slowStartRate(ep *endpoint, requestTokens float64) float64 {
	rate := s.OverloadFactor * slowStartHeadroom * s.SlowStartFactor * s.warmThroughput[ep.kind].expected(ep.size)
	// A single completed request must not count, because each dispatcher that saw one would overestimate the rate.
	if ep.slowStart.completedTokens > minCompletedRequests*requestTokens {
		rate = max(rate, s.OverloadFactor*ownThroughputShare*ep.slowStart.completedTokens/throughputDecayTime)
	}
	// If this dispatcher knows no throughput, for example after its restart, it may send one request of mean size in each
	// window of the overload rule. All dispatchers together may send at most unknownThroughputRequests such requests.
	window := max(seconds(s.OverloadWindow), 1)
	return max(rate, requestTokens/window*min(1, unknownThroughputRequests/float64(max(s.Dispatchers, 1))))
}

// spendSlowStart charges an attempt to the credit of its endpoint.
func (s *Scheduler) spendSlowStart(ep *endpoint, class ClassID) {
	ep.slowStart.credit -= max(s.estimates.requestTokens[class], 1)
}
