package scheduler

import "slices"

const (
	loadMargin     = 2.0 // streams above the median load at which a decode endpoint no longer fits
	memoryCeiling  = 0.9 // memory usage above which a decode endpoint does not fit, where usage is reported
	nearFactor     = 1.3 // a near decode endpoint is preferred up to this many times the mean usage in other cells,
	nearMargin     = 0.1 // plus this usage,
	nearAlwaysFits = 0.6 // and up to this usage in any case
)

// placementTier orders the decode endpoints for one decision: only those of the lowest tier found are compared.
type placementTier int

const (
	tierSameCell placementTier = iota // as the prefill endpoint
	tierSameZone
	tierAnywhere
	tierOverLimits
	tierNone
)

// sendToDecode sends a request to the endpoint that decodes it, which fetches the state or prefills so many tokens.
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

// decodeEnded continues a request after an attempt that did not answer it.
func (s *Scheduler) decodeEnded(req *request, ep *endpoint, res AttemptResult) {
	if res.StateReleased || res.StateMissing && res.Outcome == NoCapacity {
		s.releaseState(req)
	}
	if res.Outcome != NoCapacity || !res.StateMissing { // otherwise the endpoint is not at fault, and may be the only one
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

// decodeCandidates are the candidates for a decode; without any decode endpoint, mixed endpoints are.
func (s *Scheduler) decodeCandidates(req *request) []*endpoint {
	if endpoints := s.candidates(req, Decode); len(endpoints) > 0 {
		return endpoints
	}
	return s.candidates(req, Mixed)
}

// pickDecode is the least filled decode endpoint that fits, in the prefill endpoint's cell, else its zone, else
// anywhere; if none fits, the least filled past the limits. It reports whether the one it returns fits.
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

// setTiers puts each endpoint in its tier and returns the lowest tier that has any.
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
			ep.tier = tierSameZone // many dispatchers together would overfill a cell's few endpoints
		}
		lowest = min(lowest, ep.tier)
	}
	return lowest
}

// nearUsageLimit is the memory usage up to which decode endpoints near the prefill endpoint are preferred. The load
// margin is not enough: where most endpoints are in one cell, their own load is the median.
func (s *Scheduler) nearUsageLimit(endpoints []*endpoint, prefill *endpoint) float64 {
	outside := s.scratch.numbers[:0]
	for _, ep := range endpoints {
		if prefill != nil && ep.cell != prefill.cell {
			outside = append(outside, s.memoryUsage(ep))
		}
	}
	s.scratch.numbers = outside
	return max(nearFactor*mean(outside)+nearMargin, nearAlwaysFits)
}

// fits reports whether a decode endpoint can take the request without being overfilled or overloaded.
func (s *Scheduler) fits(ep *endpoint, req *request, medianLoad float64) bool {
	if s.currentLoad(ep) > medianLoad+loadMargin || s.now < ep.memory.noCapacityUntil || s.startOverdue(ep) {
		return false
	}
	adds := req.memoryTokens()
	if ep.load.reservedTokens+adds >= s.reservationLimit(ep) {
		return false
	}
	return !s.usageReported(ep) || s.memoryUsage(ep)+adds/s.memoryTokens(ep) < memoryCeiling
}

// decodeCapacityAvailable reports whether a decode endpoint fits, and the endpoints that fit have capacity for this
// request besides those that are being prefilled.
func (s *Scheduler) decodeCapacityAvailable(req *request) bool {
	_, fits := s.pickDecode(req, nil)
	return fits && s.capacityBesidePrefills(req)
}

// capacityBesidePrefills reports whether the decode and mixed endpoints that fit can still reserve the tokens of this
// request and of all requests that are being prefilled. Every prefill must be decoded, and without this check the first
// free slot would start a burst of prefills. An endpoint that is warming up counts as capacity for one request. While
// nothing is being prefilled, a request always passes.
func (s *Scheduler) capacityBesidePrefills(req *request) bool {
	adds := req.memoryTokens()
	left := -s.prefilling - adds
	defer s.scratch.release(s.scratch.mark())
	endpoints := s.candidates(req, Decode, Mixed)
	medianLoad := median(s.loads(endpoints))
	for _, ep := range endpoints {
		if s.warmingUp(ep) {
			left += adds
		} else if s.fits(ep, req, medianLoad) {
			left += max(s.reservationLimit(ep)-ep.load.reservedTokens, 0)
		}
	}
	return left >= 0 || s.prefilling == 0
}
