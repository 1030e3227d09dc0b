package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// Wait at the chosen prefill endpoint, in seconds, above which endpoints of other roles may prefill.
	busyPrefillWait = 0.5

	// An affinity endpoint is chosen if its wait is at most affinityWaitFactor times the shortest wait, plus
	// affinityWaitMargin seconds. The margin is needed on an idle fleet, where the shortest wait is close to zero and any
	// other wait is more than twice as long.
	affinityWaitFactor = 2.0
	affinityWaitMargin = 0.05

	// Share of the time from a request's arrival to its SLO time that the wait for its prefill may take. With a longer
	// wait, the request is queued.
	maxPrefillWaitShare = 0.3

	// A prefill-only request is queued if its endpoint has more than this many seconds of other work to do first.
	maxPrefillOnlyWait = 0.02

	// Mixed endpoints get complete requests while their mean load is at most this multiple of the decode endpoints' mean
	// load.
	mixedLoadFactor = 1.3

	// Attempts that a request needs: a prefill and a decode.
	minAttemptsToRun = 2
)

// place sends a request to the endpoint that prefills it. It queues the request if no prefill endpoint is available, if
// the wait for the prefill is too long, or if no decode endpoint has capacity. It ends the request if too few attempts
// are left.
func (s *Scheduler) place(req *request) {
	if req.attemptsSent+minAttemptsToRun > s.MaxAttempts {
		s.rejectOrFail(req, AttemptsExhausted)
		return
	}
	// Prefill-only requests use mixed endpoints only while the prefill endpoints are busy.
	prefillOnly := s.Classes[req.class].PrefillOnly
	if mixed := s.pickMixed(req); mixed != nil && !prefillOnly {
		s.sendToDecode(req, mixed, req.promptTokens)
		return
	}
	ep, wait := s.pickPrefill(req), math.Inf(1)
	if ep != nil {
		wait = s.prefillWait(ep, req)
	}
	// If the prefill endpoints are busy, only prompts of up to the mean request size are prefilled elsewhere. If there is
	// no prefill endpoint at all, for example because all are drained at once, longer prompts are prefilled elsewhere too.
	if wait > busyPrefillWait && (ep == nil || req.promptTokens <= s.estimates.requestTokens[req.class]) {
		if other := s.pickFallbackPrefill(req); other != nil {
			s.sendToDecode(req, other, req.promptTokens)
			return
		}
	}
	if ep != nil && s.mayPrefill(req, ep, wait) {
		s.send(req, ep, s.tokensToPrefill(ep, req), func(res AttemptResult) { s.prefillEnded(req, ep, res.Outcome) })
		return
	}
	s.queue.add(req)
}

// mayPrefill reports whether a request may be sent to its prefill endpoint now. A request must not be sent if the wait
// at the endpoint is long, because a long queue at the endpoint would make all its requests late. Another endpoint
// would not help, because it lacks the prefix that the affinity endpoint has cached and would have to prefill the whole
// prompt. In this dispatcher's queue, a request can still be reordered, or rejected when it is too late.
func (s *Scheduler) mayPrefill(req *request, ep *endpoint, wait float64) bool {
	prefillOnly := s.Classes[req.class].PrefillOnly
	longest := maxPrefillWaitShare * seconds(req.sloAt-req.arrivedAt)
	if prefillOnly {
		// Prefill-only requests have a lower priority than chat requests. A chat request that had to wait for a prefill-only
		// request would move to another endpoint, which would have to prefill its whole prompt.
		longest = maxPrefillOnlyWait + req.promptTokens/ep.prefillRate.tokensPerSecond()
	}
	if len(ep.pending) > 0 && wait > longest {
		return false
	}
	return prefillOnly || s.decodeCapacityAvailable(req)
}

// prefillEnded continues a request after its prefill attempt.
func (s *Scheduler) prefillEnded(req *request, ep *endpoint, outcome Outcome) {
	if outcome == PrefillDone {
		req.stateAt, req.tried = ep, nil
		s.decode(req)
		return
	}
	req.tried = append(req.tried, ep)
	s.place(req)
}

// pickPrefill returns an affinity endpoint of the prefix, or the prefill endpoint with the shortest wait if the
// affinity endpoints are busy. It leaves out endpoints whose states no decode endpoint could fetch in time.
func (s *Scheduler) pickPrefill(req *request) *endpoint {
	defer s.scratch.release(s.scratch.mark())
	if s.Classes[req.class].PrefillOnly { // the request leaves no state to fetch, and no prefix worth caching
		endpoints := s.candidates(req, Prefill, Embedder)
		return s.lowestCost(endpoints, func(ep *endpoint) float64 { return s.prefillWait(ep, req) })
	}
	endpoints := s.excludeCongestedCells(req, s.candidates(req, Prefill))
	affinity := s.affinityEndpoints(req, endpoints)
	wait := func(ep *endpoint) float64 {
		return s.prefillWait(ep, req) + max(s.handoverDelay(ep.cell)-seconds(req.sloTimeShare(lateStartShare/2)), 0)
	}
	shortest := s.lowestCost(endpoints, wait)
	for _, ep := range affinity {
		if ep != nil && wait(ep) <= affinityWaitFactor*wait(shortest)+affinityWaitMargin {
			return ep
		}
	}
	return shortest
}

// excludeCongestedCells drops the endpoints in cells whose link is congested, except in cells with a decode endpoint
// that has capacity for the request.
func (s *Scheduler) excludeCongestedCells(req *request, endpoints []*endpoint) []*endpoint {
	congested := s.congestedCells()
	var accepting []CellID
	searched := false
	return slices.DeleteFunc(endpoints, func(ep *endpoint) bool {
		if !s.linkCongested(ep.cell, req, congested) {
			return false
		}
		if !searched {
			accepting, searched = s.cellsAcceptingState(req), true
		}
		_, accepts := slices.BinarySearch(accepting, ep.cell)
		return !accepts
	})
}

// cellsAcceptingState returns the cells, sorted, that have a decode endpoint with capacity for the request. A cell
// whose link is congested may prefill a prompt only if the cell is in the result, because the state has to stay in the
// cell. One search serves all prefill endpoints.
func (s *Scheduler) cellsAcceptingState(req *request) []CellID {
	defer s.scratch.release(s.scratch.mark())
	endpoints, accepting := s.decodeCandidates(req), s.scratch.cells[:0]
	slices.SortFunc(endpoints, func(a, b *endpoint) int { return cmp.Compare(a.cell, b.cell) })
	for len(endpoints) > 0 {
		n := 1
		for n < len(endpoints) && endpoints[n].cell == endpoints[0].cell {
			n++
		}
		medianLoad := median(s.loads(endpoints[:n]))
		if slices.ContainsFunc(endpoints[:n], func(ep *endpoint) bool { return s.fits(ep, req, medianLoad) }) {
			accepting = append(accepting, endpoints[0].cell)
		}
		endpoints = endpoints[n:]
	}
	s.scratch.cells = accepting
	return accepting
}

// prefillWait estimates the seconds until an endpoint would have prefilled the request, from the endpoint's observed
// prefill rate and the prefill work that this dispatcher has sent there.
func (s *Scheduler) prefillWait(ep *endpoint, req *request) float64 {
	return (ep.load.unprefilledTokens + s.tokensToPrefill(ep, req)) / ep.prefillRate.tokensPerSecond()
}

// pickMixed returns the least loaded mixed endpoint if mixed endpoints should get another complete request. It compares
// the loads of mixed and decode endpoints and not their memory usage. Mixed endpoints have the most memory, so if
// compared by memory usage they would get more requests than they can prefill in time.
func (s *Scheduler) pickMixed(req *request) *endpoint {
	defer s.scratch.release(s.scratch.mark())
	mixed := s.replaceableCandidates(req, Mixed)
	if len(mixed) == 0 {
		return nil
	}
	decode := s.candidates(req, Decode)
	best := s.leastLoaded(mixed, req, median(s.loads(slices.Concat(mixed, decode))))
	if len(decode) > 0 && mean(s.loads(mixed)) > mixedLoadFactor*mean(s.loads(decode)) {
		return nil
	}
	return best
}

// pickFallbackPrefill returns an endpoint of another role that can both prefill and decode the request, for use while
// the prefill endpoints are busy.
func (s *Scheduler) pickFallbackPrefill(req *request) *endpoint {
	defer s.scratch.release(s.scratch.mark())
	roles := []Role{Mixed}
	if s.DecodePrefills {
		roles = append(roles, Decode)
	}
	endpoints := s.replaceableCandidates(req, roles...)
	return s.leastLoaded(endpoints, req, median(s.loads(endpoints)))
}

// leastLoaded returns the endpoint with the lowest load among those that have capacity for the request.
func (s *Scheduler) leastLoaded(endpoints []*endpoint, req *request, medianLoad float64) *endpoint {
	return s.lowestCost(endpoints, func(ep *endpoint) float64 {
		if !s.fits(ep, req, medianLoad) {
			return math.Inf(1)
		}
		return s.currentLoad(ep)
	})
}
