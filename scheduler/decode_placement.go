package scheduler

import "slices"

const (
	// Number of streams by which the load of a decode endpoint that fits may exceed the median load.
	loadMargin = 2.0

	// Memory usage above which a decode endpoint does not fit, if its usage is reported.
	memoryCeiling = 0.9

	// A decode endpoint near the prefill endpoint is preferred while its memory usage is at most nearUsageFactor times the
	// mean usage in other cells plus nearUsageMargin, or at most minNearUsageLimit.
	nearUsageFactor   = 1.3
	nearUsageMargin   = 0.1
	minNearUsageLimit = 0.6
)

// placementTier ranks the decode endpoints for one decision. The endpoint is chosen from the lowest tier that has any
// endpoint.
type placementTier int

const (
	tierSameCell   placementTier = iota // in the prefill endpoint's cell, or in its zone if there are many dispatchers
	tierSameZone                        // in the prefill endpoint's zone
	tierAnywhere                        // fits, but is in another zone or fuller than nearUsageLimit
	tierOverLimits                      // does not fit
	tierNone                            // above all others; no endpoint is in this tier
)

// sendToDecode sends a request to the endpoint that decodes it. The endpoint fetches the prefilled state if
// prefillTokens is 0, and prefills that many tokens itself otherwise.
func (s *Scheduler) sendToDecode(req *request, ep *endpoint, prefillTokens float64) {
	s.send(req, ep, prefillTokens, func(res AttemptResult) { s.decodeEnded(req, ep, res) })
}

// decode sends a request with a prefilled state to a decode endpoint, even to one that does not fit, because a state
// must not wait. If there is no decode endpoint or no attempt left, it releases the state and places the request again.
func (s *Scheduler) decode(req *request) {
	if ep, _ := s.pickDecode(req, req.stateAt); ep != nil && req.attemptsSent < s.MaxAttempts {
		s.sendToDecode(req, ep, 0)
		return
	}
	s.releaseState(req)
	req.tried = nil
	s.place(req)
}

// decodeEnded continues a request after a decode attempt that ended before its answer began.
func (s *Scheduler) decodeEnded(req *request, ep *endpoint, res AttemptResult) {
	if res.StateReleased || res.StateMissing && res.Outcome == NoCapacity {
		s.releaseState(req)
	}
	// If the state was missing, the endpoint is not at fault and may be the only one, so it may be tried again.
	if res.Outcome != NoCapacity || !res.StateMissing {
		req.tried = append(req.tried, ep)
	}
	switch {
	case !s.mayRetry(req, nil):
		s.rejectOrFail(req, MayHaveRun)
	case req.stateAt != nil:
		s.decode(req)
	default:
		s.place(req)
	}
}

// decodeCandidates returns the decode endpoints that the request may be sent to now, or the mixed endpoints if there
// are no such decode endpoints.
func (s *Scheduler) decodeCandidates(req *request) []*endpoint {
	if endpoints := s.candidates(req, Decode); len(endpoints) > 0 {
		return endpoints
	}
	return s.candidates(req, Mixed)
}

// pickDecode returns the decode endpoint with the lowest memory usage in the lowest placementTier that has any
// endpoint. Of the endpoints that fit, those in the prefill endpoint's cell come first, then those in its zone, then
// all others. Endpoints that do not fit come last. It also reports whether the returned endpoint fits. While the link
// out of the prefill endpoint's cell is congested, it considers only endpoints in that cell if there are any. If there
// are many dispatchers, it compares only a random sample of the tier.
func (s *Scheduler) pickDecode(req *request, prefill *endpoint) (*endpoint, bool) {
	defer s.scratch.release(s.scratch.mark())
	endpoints := s.decodeCandidates(req)
	if prefill != nil && s.linkCongested(prefill.cell, req, s.congestedCells()) {
		outside := func(ep *endpoint) bool { return ep.cell != prefill.cell }
		if slices.ContainsFunc(endpoints, func(ep *endpoint) bool { return !outside(ep) }) {
			endpoints = slices.DeleteFunc(endpoints, outside)
		}
	}
	if len(endpoints) == 0 {
		return nil, false
	}
	lowest := s.setTiers(req, endpoints, prefill)
	endpoints = slices.DeleteFunc(endpoints, func(ep *endpoint) bool { return ep.tier != lowest })
	return s.lowestCost(s.sample(endpoints), s.memoryUsage), lowest < tierOverLimits
}

// setTiers sets the tier of each endpoint and returns the lowest tier that has any endpoint.
func (s *Scheduler) setTiers(req *request, endpoints []*endpoint, prefill *endpoint) placementTier {
	medianLoad := median(s.loads(endpoints))
	nearLimit := s.nearUsageLimit(endpoints, prefill)
	lowest := tierNone
	for _, ep := range endpoints {
		ep.tier = tierSameCell
		switch {
		case !s.fits(ep, req, medianLoad):
			ep.tier = tierOverLimits
		case prefill == nil || ep.zone != prefill.zone || s.memoryUsage(ep) > nearLimit:
			ep.tier = tierAnywhere
		case ep.cell != prefill.cell && s.Dispatchers <= dispatchersPerChoice*len(endpoints):
			// If there are more dispatchers than this limit, the zone's endpoints stay in one tier with those of the cell,
			// because many dispatchers together would overfill the few endpoints of a cell.
			ep.tier = tierSameZone
		}
		lowest = min(lowest, ep.tier)
	}
	return lowest
}

// nearUsageLimit returns the memory usage up to which decode endpoints near the prefill endpoint are preferred. The
// check of loadMargin alone does not protect these endpoints from overload. If most endpoints are in the prefill
// endpoint's cell, the median load is the load of that cell, and no endpoint of the cell exceeds that median by much.
func (s *Scheduler) nearUsageLimit(endpoints []*endpoint, prefill *endpoint) float64 {
	outside := s.scratch.numbers[:0]
	for _, ep := range endpoints {
		if prefill != nil && ep.cell != prefill.cell {
			outside = append(outside, s.memoryUsage(ep))
		}
	}
	s.scratch.numbers = outside
	return max(nearUsageFactor*mean(outside)+nearUsageMargin, minNearUsageLimit)
}

// fits reports whether a decode endpoint has capacity for the request in memory and in load.
func (s *Scheduler) fits(ep *endpoint, req *request, medianLoad float64) bool {
	if s.currentLoad(ep) > medianLoad+loadMargin || s.now < ep.memory.noCapacityUntil || s.startOverdue(ep) {
		return false
	}
	needed := req.memoryTokens()
	if ep.load.reservedTokens+needed >= s.reservationLimit(ep) {
		return false
	}
	return !s.usageReported(ep) || s.memoryUsage(ep)+needed/s.memoryTokens(ep) < memoryCeiling
}

// decodeCapacityAvailable reports whether a decode endpoint fits, and whether the endpoints that fit have capacity for
// this request in addition to the requests that are being prefilled.
func (s *Scheduler) decodeCapacityAvailable(req *request) bool {
	_, fits := s.pickDecode(req, nil)
	return fits && s.capacityBeyondPrefills(req)
}

// capacityBeyondPrefills reports whether the decode and mixed endpoints that fit can still reserve the tokens of this
// request and of all requests that are being prefilled. Every prefill must be decoded, and without this check the first
// free slot would start a burst of prefills. An endpoint that is warming up counts as capacity for one request. While
// nothing is being prefilled, a request always passes.
func (s *Scheduler) capacityBeyondPrefills(req *request) bool {
	needed := req.memoryTokens()
	left := -s.prefillingTokens - needed
	defer s.scratch.release(s.scratch.mark())
	endpoints := s.candidates(req, Decode, Mixed)
	medianLoad := median(s.loads(endpoints))
	for _, ep := range endpoints {
		if s.warmingUp(ep) {
			left += needed
		} else if s.fits(ep, req, medianLoad) {
			left += max(s.reservationLimit(ep)-ep.load.reservedTokens, 0)
		}
	}
	return left >= 0 || s.prefillingTokens == 0
}
