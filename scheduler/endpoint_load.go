package scheduler

import "math"

// loadMeanTime is the seconds, for each other dispatcher, over which this one's load of an endpoint is averaged.
const loadMeanTime = 0.25

// endpointLoad counts what this dispatcher has in flight at an endpoint.
type endpointLoad struct {
	unprefilledTokens float64 // of prompts that are still to be prefilled there
	reservedTokens    float64 // memory that its answers are expected to take
	streams           int     // attempts that decode there

	meanReservedTokens, meanStreams float64
	meanAt                          Micros
}

// track counts an attempt as in flight.
func (s *Scheduler) track(att *attempt) {
	ep := att.endpoint
	s.updateLoadMeans(ep)
	if att.decodes {
		ep.load.reservedTokens += att.memoryTokens
		ep.load.streams++
	} else if !s.Classes[att.request.class].PrefillOnly { // a prefill-only request needs no decode capacity
		s.prefilling += att.memoryTokens
	}
	ep.load.unprefilledTokens += att.prefillTokens
	ep.pending = append(ep.pending, att)
	att.request.attemptsSent++
	att.request.attempt = att
}

// untrack subtracts what track added, when the attempt has ended.
func (s *Scheduler) untrack(att *attempt) {
	ep := att.endpoint
	s.updateLoadMeans(ep)
	if att.decodes {
		ep.load.reservedTokens = max(ep.load.reservedTokens-att.memoryTokens, 0)
		ep.load.streams--
	} else if !s.Classes[att.request.class].PrefillOnly {
		s.prefilling = max(s.prefilling-att.memoryTokens, 0)
	}
	att.prefillFinished()
	att.request.attempt = nil
}

// currentLoad estimates an endpoint's streams for each dispatcher; the others are assumed to have this one's mean.
func (s *Scheduler) currentLoad(ep *endpoint) float64 {
	s.updateLoadMeans(ep)
	others := float64(s.otherDispatchers())
	return (float64(ep.load.streams) + ep.load.meanStreams*others) / float64(s.otherDispatchers()+1)
}

// loads are the current loads of endpoints. The next call overwrites them.
func (s *Scheduler) loads(endpoints []*endpoint) []float64 {
	s.scratch.numbers = s.scratch.numbers[:0]
	for _, ep := range endpoints {
		s.scratch.numbers = append(s.scratch.numbers, s.currentLoad(ep))
	}
	return s.scratch.numbers
}

// updateLoadMeans updates the means of what this dispatcher has in flight at an endpoint. The more dispatchers there
// are, the more seldom each sends there, so the longer it averages.
func (s *Scheduler) updateLoadMeans(ep *endpoint) {
	load := &ep.load
	gap, others := s.now-load.meanAt, s.otherDispatchers()
	if gap <= 0 || others == 0 {
		return
	}
	weight := 1 - math.Exp(-seconds(gap)/(loadMeanTime*float64(others)))
	load.meanReservedTokens += weight * (load.reservedTokens - load.meanReservedTokens)
	load.meanStreams += weight * (float64(load.streams) - load.meanStreams)
	load.meanAt = s.now
}
