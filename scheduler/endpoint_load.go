package scheduler

import "math"

// loadMeanTime times the number of other dispatchers is the time constant, in seconds, of the moving averages of this
// dispatcher's load at an endpoint.
const loadMeanTime = 0.25

// endpointLoad is the load that this dispatcher has in flight at an endpoint.
type endpointLoad struct {
	unprefilledTokens float64 // prompt tokens that the endpoint still has to prefill
	reservedTokens    float64 // memory that the requests decoded at the endpoint are expected to take
	streams           int     // number of attempts that decode at the endpoint

	meanReservedTokens, meanStreams float64
	meansUpdatedAt                  Micros
}

// track counts an attempt as in flight.
func (s *Scheduler) track(att *attempt) {
	ep := att.endpoint
	s.updateLoadMeans(ep)
	if att.decodes {
		ep.load.reservedTokens += att.memoryTokens
		ep.load.streams++
	} else if !s.Classes[att.request.class].PrefillOnly { // prefill-only requests need no decode capacity
		s.prefillingTokens += att.memoryTokens
	}
	ep.load.unprefilledTokens += att.prefillTokens
	ep.pending = append(ep.pending, att)
	att.request.attemptsSent++
	att.request.attempt = att
}

// untrack reverses track when an attempt has ended.
func (s *Scheduler) untrack(att *attempt) {
	ep := att.endpoint
	s.updateLoadMeans(ep)
	if att.decodes {
		ep.load.reservedTokens = max(ep.load.reservedTokens-att.memoryTokens, 0)
		ep.load.streams--
	} else if !s.Classes[att.request.class].PrefillOnly {
		s.prefillingTokens = max(s.prefillingTokens-att.memoryTokens, 0)
	}
	att.prefillFinished()
	att.request.attempt = nil
}

// currentLoad estimates the number of streams at an endpoint per dispatcher. It assumes that each other dispatcher has
// as many streams there as this one has on average.
func (s *Scheduler) currentLoad(ep *endpoint) float64 {
	s.updateLoadMeans(ep)
	others := float64(s.otherDispatchers())
	return (float64(ep.load.streams) + ep.load.meanStreams*others) / float64(s.otherDispatchers()+1)
}

// loads returns the current loads of the endpoints. The next call overwrites the result.
func (s *Scheduler) loads(endpoints []*endpoint) []float64 {
	s.scratch.numbers = s.scratch.numbers[:0]
	for _, ep := range endpoints {
		s.scratch.numbers = append(s.scratch.numbers, s.currentLoad(ep))
	}
	return s.scratch.numbers
}

// updateLoadMeans updates the moving averages of this dispatcher's load at an endpoint. The averaging time grows with
// the number of dispatchers, because the more dispatchers there are, the less often each sends to the endpoint.
func (s *Scheduler) updateLoadMeans(ep *endpoint) {
	load := &ep.load
	gap, others := s.now-load.meansUpdatedAt, s.otherDispatchers()
	if gap <= 0 || others == 0 {
		return
	}
	weight := 1 - math.Exp(-seconds(gap)/(loadMeanTime*float64(others)))
	load.meanReservedTokens += weight * (load.reservedTokens - load.meanReservedTokens)
	load.meanStreams += weight * (float64(load.streams) - load.meanStreams)
	load.meansUpdatedAt = s.now
}
