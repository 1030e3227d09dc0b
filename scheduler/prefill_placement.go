package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	busyPrefillWait     = 0.5  // seconds of work at the chosen prefill endpoint above which other roles may prefill
	affinityFactor      = 2.0  // times the least wait that an affinity endpoint may have,
	affinityWait        = 0.05 // plus these seconds: on an idle fleet any work is more than twice none
	maxPrefillWaitShare = 0.3  // of the SLO time; a prefill that would take longer is queued
	prefillOnlyWait     = 0.02 // seconds of other work before a prefill-only request, above which it is queued
	mixedLoadFactor     = 1.3  // times the decode endpoints' mean load, up to which mixed endpoints get complete requests
	minAttemptsToRun    = 2    // a prefill and a decode
)

// place sends a request to its first endpoint, or queues it while no decode endpoint fits or no prefill endpoint is
// available.
func (s *Scheduler) place(req *request) {
	if req.attemptsSent+minAttemptsToRun > s.MaxAttempts {
		s.rejectOrFail(req, AttemptsExhausted)
		return
	}
	prefillOnly := s.Classes[req.class].PrefillOnly // it goes to mixed endpoints only where the prefill endpoints are busy
	if mixed := s.pickMixed(req); mixed != nil && !prefillOnly {
		s.sendToDecode(req, mixed, req.promptTokens)
		return
	}
	ep, wait := s.pickPrefill(req), math.Inf(1)
	if ep != nil {
		wait = s.prefillWait(ep, req)
	}
	// With no prefill endpoint at all, as when all are drained at once, long prompts too are prefilled elsewhere.
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

// mayPrefill reports whether a request may be sent to its prefill endpoint now. A longer wait there would only make all
// requests late, and other endpoints than its affinity endpoint would prefill it in full: in this dispatcher's queue a
// request can still be sorted, and rejected when it is too late.
func (s *Scheduler) mayPrefill(req *request, ep *endpoint, wait float64) bool {
	prefillOnly := s.Classes[req.class].PrefillOnly
	longest := maxPrefillWaitShare * seconds(req.sloAt-req.arrivedAt)
	if prefillOnly {
		// It has the lower priority: chat queued behind it would move to another endpoint and be prefilled in full there.
		longest = prefillOnlyWait + req.promptTokens/ep.prefillRate.tokensPerSecond()
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

// pickPrefill is an affinity endpoint of the prefix, or if those are busy the prefill endpoint with the least work.
// Endpoints whose states no decode endpoint could fetch in time are left out.
func (s *Scheduler) pickPrefill(req *request) *endpoint {
	defer s.scratch.release(s.scratch.mark())
	if s.Classes[req.class].PrefillOnly { // it leaves no state, and no prefix worth caching
		endpoints := s.candidates(req, Prefill, Embedder)
		return s.lowestCost(endpoints, func(ep *endpoint) float64 { return s.prefillWait(ep, req) })
	}
	endpoints := s.withoutBlockedCells(req, s.candidates(req, Prefill))
	affinity := s.affinityEndpoints(req, endpoints)
	wait := func(ep *endpoint) float64 {
		return s.prefillWait(ep, req) + max(s.handoverDelay(ep.cell)-seconds(req.sloTimeShare(lateStartShare/2)), 0)
	}
	least := s.lowestCost(endpoints, wait)
	for _, ep := range affinity {
		if ep != nil && wait(ep) <= affinityFactor*wait(least)+affinityWait {
			return ep
		}
	}
	return least
}

// withoutBlockedCells leaves out the endpoints behind a congested link, unless a decode endpoint in their own cell
// fits.
func (s *Scheduler) withoutBlockedCells(req *request, endpoints []*endpoint) []*endpoint {
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

// cellsAcceptingState are the cells, in order, with a decode endpoint of their own that fits: a state behind a
// congested link stays in its cell. One search finds them for all prefill endpoints.
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

// prefillWait is the seconds until an endpoint would have prefilled the request, by its own rate and this
// dispatcher's counts.
func (s *Scheduler) prefillWait(ep *endpoint, req *request) float64 {
	return (ep.load.unprefilledTokens + s.tokensToPrefill(ep, req)) / ep.prefillRate.tokensPerSecond()
}

// pickMixed gives mixed endpoints their share of complete requests, by their load relative to the decode endpoints'
// mean. By memory, of which they have the most, they would get more than they can prefill in time.
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

// pickFallbackPrefill is an endpoint that prefills and decodes the request while the prefill endpoints are busy.
func (s *Scheduler) pickFallbackPrefill(req *request) *endpoint {
	defer s.scratch.release(s.scratch.mark())
	roles := []Role{Mixed}
	if s.DecodePrefills {
		roles = append(roles, Decode)
	}
	endpoints := s.replaceableCandidates(req, roles...)
	return s.leastLoaded(endpoints, req, median(s.loads(endpoints)))
}

func (s *Scheduler) leastLoaded(endpoints []*endpoint, req *request, medianLoad float64) *endpoint {
	return s.lowestCost(endpoints, func(ep *endpoint) float64 {
		if !s.fits(ep, req, medianLoad) {
			return math.Inf(1)
		}
		return s.currentLoad(ep)
	})
}
