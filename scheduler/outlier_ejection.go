package scheduler

import (
	"math"
	"slices"
)

const (
	firstEjection   = 400 * ms // doubles with each further failure,
	maxFailureScore = 5.0      // up to this score
	successFactor   = 0.5      // applied to the failure score at each success
	recoveredBelow  = 0.4      // a lower score becomes 0

	minSilence          = 400 * ms // least silence of an endpoint with replies pending that gets it ejected,
	silenceFactor       = 4        // or this many times the typical latency,
	silentPrefillFactor = 2        // plus this many times what its prefills take
	cancelFactor        = 2        // times that silence, after which attempts are cancelled
)

// outlierState is the recent failures of an endpoint.
type outlierState struct {
	failureScore float64 // one for each failure, halved by each success
	ejectedUntil Micros
	lastHeard    Micros // when the endpoint last replied; 0 if never, or since a connection failed
}

// acceptable reports whether an endpoint is neither ejected nor has recent failures. After an ejection it gets one
// attempt at a time, of idempotent requests only, until it has recovered.
func (s *Scheduler) acceptable(ep *endpoint, req *request) bool {
	mayTry := len(ep.pending) == 0 && s.Classes[req.class].Effect == Idempotent
	return s.now >= ep.outlier.ejectedUntil && (ep.outlier.failureScore == 0 || mayTry)
}

// recordOutcome updates the endpoint's state by an attempt's result.
func (s *Scheduler) recordOutcome(att *attempt, res AttemptResult) {
	ep := att.endpoint
	switch res.Outcome {
	case Completed, PrefillDone:
		ep.outlier.lastHeard = s.now
		ep.outlier.recordSuccess()
		ep.slowStart.recordCompleted(s.now, s.estimates.requestTokens[att.request.class])
	case NoCapacity:
		if !res.StateMissing { // a missing state may have been found without a reply from the endpoint
			ep.outlier.lastHeard = s.now
			ep.memory.noCapacityUntil = s.now + noCapacityPause
		}
	case Unreachable, ConnectionLost:
		ep.outlier.lastHeard = 0
		s.recordFailure(ep, AttemptFailed)
	case Errored:
		s.recordFailure(ep, AttemptFailed)
	case TimedOut:
		if ep.outlier.lastHeard <= att.sentAt {
			s.recordFailure(ep, AttemptTimedOut)
		}
	}
}

func (o *outlierState) recordSuccess() {
	if o.failureScore *= successFactor; o.failureScore < recoveredBelow {
		o.failureScore = 0
	}
}

// recordFailure ejects an endpoint, longer each time. An endpoint that fails quickly would otherwise look the emptiest
// and draw every request. Ejection also covers a dead endpoint that is still listed, a network partition and an
// endpoint out of connections.
func (s *Scheduler) recordFailure(ep *endpoint, reason EjectionReason) {
	o := &ep.outlier
	if s.now < o.ejectedUntil {
		return // attempts that fail together count as one failure
	}
	o.failureScore = min(o.failureScore+1, maxFailureScore)
	o.ejectedUntil = s.now + Micros(float64(firstEjection)*math.Exp2(o.failureScore-1))
	s.executor.Log(EndpointEjected{Endpoint: ep.id, Reason: reason, For: o.ejectedUntil - s.now})
}

// detectSilentEndpoints finds endpoints that hang or vanished, long before attempts time out: replies are pending and
// none arrives. Such an endpoint is ejected first; when it stays silent, attempts that can be retried elsewhere are
// cancelled. An endpoint that is only overloaded must not lose its attempts, so the limit follows the typical latency.
func (s *Scheduler) detectSilentEndpoints() {
	for _, ep := range s.endpoints.all {
		i := slices.IndexFunc(ep.pending, func(att *attempt) bool { return !att.cancelled })
		if i < 0 {
			continue
		}
		oldest := ep.pending[i]
		limit := s.silenceLimit(oldest)
		silence := s.now - max(oldest.sentAt, ep.outlier.lastHeard)
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

// silenceLimit is how long an endpoint may send no reply while this attempt is its oldest.
func (s *Scheduler) silenceLimit(oldest *attempt) Micros {
	limit := max(minSilence, Micros(silenceFactor*s.estimates.typicalLatency(oldest)))
	work := oldest.tokensAhead + oldest.prefillTokens
	return limit + Micros(silentPrefillFactor*float64(sec)*work/oldest.endpoint.prefillRate.tokensPerSecond())
}
