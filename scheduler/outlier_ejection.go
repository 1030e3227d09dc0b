package scheduler

import (
	"math"
	"slices"
)

const (
	firstEjection   = 400 * ms // doubles with each further failure,
	maxFailureScore = 5.0      // up to this score
	successFactor   = 0.5      // what one good reply leaves of the failure score
	recoveredBelow  = 0.4      // score that counts as none

	minSilence        = 400 * ms // that an endpoint with replies pending may say nothing, at least,
	silenceFactor     = 4        // times the typical latency, and
	silentPrefillTime = 2        // times what its prefills take
	cancelFactor      = 2        // times that limit, after which attempts are cancelled
)

// outlierState is how an endpoint has failed lately.
type outlierState struct {
	failureScore float64 // one for each failure, halved by each success
	ejectedUntil Micros
	lastHeard    Micros // when the endpoint last replied; 0 if never, or since a connection failed
}

// acceptable reports whether an endpoint is neither ejected nor under suspicion. One that has come back from an
// ejection recovers by one attempt at a time, with requests that may run again.
func (s *Scheduler) acceptable(ep *endpoint, req *request) bool {
	mayTry := len(ep.pending) == 0 && s.Classes[req.class].Effect == Idempotent
	return s.now >= ep.outlier.ejectedUntil && (ep.outlier.failureScore == 0 || mayTry)
}

// recordOutcome draws from an attempt's result what it says of the endpoint.
func (s *Scheduler) recordOutcome(att *attempt, res AttemptResult) {
	ep := att.endpoint
	switch res.Outcome {
	case Completed, PrefillDone:
		ep.outlier.lastHeard = s.now
		ep.outlier.recordSuccess()
		ep.slowStart.recordCompleted(s.now, s.estimates.requestTokens[att.request.class])
	case NoCapacity:
		if !res.StateMissing { // that a state is gone may be known without a reply from the endpoint
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

// recordFailure ejects an endpoint, longer each time. It guards against an endpoint that fails quickly: that one
// frees its counted memory at once, would look the emptiest and draw every request. It also works against a dead
// endpoint that the list still names, a cut network and an endpoint out of connections.
func (s *Scheduler) recordFailure(ep *endpoint, reason EjectionReason) {
	o := &ep.outlier
	if s.now < o.ejectedUntil {
		return // many attempts that break at once are one failure
	}
	o.failureScore = min(o.failureScore+1, maxFailureScore)
	o.ejectedUntil = s.now + Micros(float64(firstEjection)*math.Exp2(o.failureScore-1))
	s.executor.Log(EndpointEjected{Endpoint: ep.id, Reason: reason, For: o.ejectedUntil - s.now})
}

// detectSilentEndpoints finds endpoints with replies pending that say nothing, long before attempts time out. Such an
// endpoint is ejected at first; when it stays silent, what may be sent elsewhere is cancelled. It guards against
// endpoints that hang or vanish. It can hurt where an endpoint is merely overloaded, as what is cancelled loses its
// place there: so the limit follows the typical latency.
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

// silenceLimit is how long an endpoint may say nothing while this attempt is its oldest.
func (s *Scheduler) silenceLimit(oldest *attempt) Micros {
	limit := max(minSilence, Micros(silenceFactor*s.estimates.typicalLatency(oldest)))
	work := oldest.tokensAhead + oldest.prefillTokens
	return limit + Micros(silentPrefillTime*float64(sec)*work/oldest.endpoint.prefillRate.tokensPerSecond())
}
