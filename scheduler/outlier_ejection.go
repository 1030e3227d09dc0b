package scheduler

import (
	"math"
	"slices"
)

const (
	firstEjection   = 400 * ms // duration of the first ejection; each further failure doubles it
	maxFailureScore = 5.0      // upper bound of the failure score, which bounds the duration of an ejection
	successFactor   = 0.5      // factor applied to the failure score at each success
	recoveredBelow  = 0.4      // failure score below which the score is set to 0

	// An endpoint with pending attempts is ejected when its silence reaches a limit. The limit is the larger of minSilence
	// and silenceFactor times the typical latency, plus silentPrefillFactor times the time that its prefills take.
	minSilence          = 400 * ms
	silenceFactor       = 4
	silentPrefillFactor = 2

	// Attempts are cancelled after cancelFactor times the silence that leads to an ejection.
	cancelFactor = 2
)

// outlierState is the recent failures and the ejection of an endpoint.
type outlierState struct {
	failureScore float64 // increased by one by each failure, halved by each success
	ejectedUntil Micros
	lastReplyAt  Micros // when the endpoint last replied; 0 if there was no reply since its last connection failure
}

// acceptable reports whether an endpoint is healthy enough for the request. The endpoint must not be ejected and must
// have no recent failures. As an exception, after an ejection the endpoint gets one attempt at a time, of idempotent
// requests only, until it has recovered.
func (s *Scheduler) acceptable(ep *endpoint, req *request) bool {
	mayTry := len(ep.pending) == 0 && s.Classes[req.class].Effect == Idempotent
	return s.now >= ep.outlier.ejectedUntil && (ep.outlier.failureScore == 0 || mayTry)
}

// recordOutcome updates the state of the endpoint after an attempt has ended.
func (s *Scheduler) recordOutcome(att *attempt, res AttemptResult) {
	ep := att.endpoint
	switch res.Outcome {
	case Completed, PrefillDone:
		ep.outlier.lastReplyAt = s.now
		ep.outlier.recordSuccess()
		ep.slowStart.recordCompleted(s.now, s.estimates.requestTokens[att.request.class])
	case NoCapacity:
		if !res.StateMissing { // a missing state may be noticed without a reply from the endpoint
			ep.outlier.lastReplyAt = s.now
			ep.memory.noCapacityUntil = s.now + noCapacityPause
		}
	case Unreachable, ConnectionLost:
		ep.outlier.lastReplyAt = 0
		s.recordFailure(ep, AttemptFailed)
	case Errored:
		s.recordFailure(ep, AttemptFailed)
	case TimedOut:
		if ep.outlier.lastReplyAt <= att.sentAt {
			s.recordFailure(ep, AttemptTimedOut)
		}
	}
}

// recordSuccess lowers the failure score.
func (o *outlierState) recordSuccess() {
	if o.failureScore *= successFactor; o.failureScore < recoveredBelow {
		o.failureScore = 0
	}
}

// recordFailure ejects an endpoint, for a longer time with each failure. Without ejection, an endpoint that fails
// quickly would look the least loaded and attract every request. Ejection also covers a dead endpoint that is still
// listed, a network partition and an endpoint that is out of connections.
func (s *Scheduler) recordFailure(ep *endpoint, reason EjectionReason) {
	o := &ep.outlier
	if s.now < o.ejectedUntil {
		return // attempts that are in flight together may fail together, which counts as one failure
	}
	o.failureScore = min(o.failureScore+1, maxFailureScore)
	o.ejectedUntil = s.now + Micros(float64(firstEjection)*math.Exp2(o.failureScore-1))
	s.executor.Log(EndpointEjected{Endpoint: ep.id, Reason: reason, For: o.ejectedUntil - s.now})
}

// detectSilentEndpoints finds endpoints that hang or are gone, long before their attempts time out. Such an endpoint
// has pending attempts and sends no reply. It is ejected first. If it stays silent, its attempts that can be retried
// elsewhere are cancelled. The limit on the silence depends on the typical latency, because an endpoint that is only
// overloaded must not lose its attempts.
func (s *Scheduler) detectSilentEndpoints() {
	for _, ep := range s.endpoints.all {
		i := slices.IndexFunc(ep.pending, func(att *attempt) bool { return !att.cancelled })
		if i < 0 {
			continue
		}
		oldest := ep.pending[i]
		limit := s.silenceLimit(oldest)
		silence := s.now - max(oldest.sentAt, ep.outlier.lastReplyAt)
		if silence >= limit {
			s.recordFailure(ep, EndpointSilent)
		}
		if silence < cancelFactor*limit {
			continue
		}
		for _, att := range ep.pending {
			if !att.decodes || s.Classes[att.request.class].Effect == Idempotent {
				s.cancel(att)
			}
		}
	}
}

// silenceLimit is the time that an endpoint may go without a reply while the given attempt is its oldest pending one.
func (s *Scheduler) silenceLimit(oldest *attempt) Micros {
	limit := max(minSilence, Micros(silenceFactor*s.estimates.typicalLatency(oldest)))
	work := oldest.tokensAhead + oldest.prefillTokens
	return limit + Micros(silentPrefillFactor*float64(sec)*work/oldest.endpoint.prefillRate.tokensPerSecond())
}
