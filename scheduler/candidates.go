package scheduler

import (
	"math"
	"slices"
)

const (
	// How many dispatchers may find the same endpoint to be the least filled one.
	dispatchersPerChoice = 4

	// Share of failed connection attempts from which on endpoints with an open connection are preferred.
	connectFailureLimit = 0.3
)

// scratch is memory that decisions reuse, so that they do not allocate.
type scratch struct {
	endpoints []*endpoint // a stack of lists; release gives back those made since a mark
	numbers   []float64
	cells     []CellID
}

func (s *scratch) mark() int { return len(s.endpoints) }

// release gives back the lists that were made since the mark: one decision makes several, and none outlives it.
func (s *scratch) release(mark int) { s.endpoints = s.endpoints[:mark] }

// candidates are the endpoints of some roles that the request may be sent to now. Where none of them is acceptable,
// health is ignored: when all look faulty, the cause is more likely the network or this dispatcher. Readiness, safe
// retries and slow start are never ignored.
func (s *Scheduler) candidates(req *request, roles ...Role) []*endpoint {
	from := s.scratch.mark()
	s.examined += uint64(len(s.endpoints.all))
	for _, ep := range s.endpoints.all {
		if !slices.Contains(roles, ep.role) || !ep.ready || req.stateAt == nil && s.now < ep.memory.noCapacityUntil {
			continue // one without capacity is never tried all the same: that would use up the remaining attempts
		}
		if slices.Contains(req.tried, ep) || !s.mayRetry(req, ep) || !s.slowStartAllows(ep) {
			continue
		}
		s.scratch.endpoints = append(s.scratch.endpoints, ep)
	}
	end := s.scratch.mark()
	found := s.scratch.endpoints[from:end:end]
	faulty := func(ep *endpoint) bool { return !s.acceptable(ep, req) }
	if slices.ContainsFunc(found, func(ep *endpoint) bool { return !faulty(ep) }) {
		found = slices.DeleteFunc(found, faulty)
	}
	return s.preferConnected(found)
}

// replaceableCandidates are the candidates of roles that others can stand in for. Health is judged among all roles: a
// dead endpoint that is the only one of its role must not be accepted because nothing better has that role.
func (s *Scheduler) replaceableCandidates(req *request, roles ...Role) []*endpoint {
	all := s.candidates(req, Prefill, Decode, Mixed)
	return slices.DeleteFunc(all, func(ep *endpoint) bool { return !slices.Contains(roles, ep.role) })
}

// preferConnected filters endpoints while new connections often fail, because they are slow to set up or the endpoints
// accept no more: those with an open connection remain, and all of a role where none has one.
func (s *Scheduler) preferConnected(endpoints []*endpoint) []*endpoint {
	if s.connectFailures.valueAt(s.now, 0) < connectFailureLimit {
		return endpoints
	}
	var connected [roleCount]bool
	for _, ep := range endpoints {
		connected[ep.role] = connected[ep.role] || s.hasConnection(ep)
	}
	return slices.DeleteFunc(endpoints, func(ep *endpoint) bool { return connected[ep.role] && !s.hasConnection(ep) })
}

// hasConnection estimates whether a connection to the endpoint is open: it replied within the idle timeout.
func (s *Scheduler) hasConnection(ep *endpoint) bool {
	return ep.outlier.lastHeard > 0 && s.now-ep.outlier.lastHeard < s.IdleTimeout
}

// sample picks some of the endpoints at random where there are many dispatchers: all of them see the same load
// reports, and would all send to the endpoint that was last reported the least filled.
func (s *Scheduler) sample(endpoints []*endpoint) []*endpoint {
	n := max(2, len(endpoints)*dispatchersPerChoice/max(s.Dispatchers, 1))
	if n >= len(endpoints) {
		return endpoints
	}
	s.rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	return endpoints[:n]
}

// lowestCost is the endpoint of the lowest cost below infinity. The search starts at random, because after a restart
// all costs are equal and the requests must not all go to the same endpoint.
func (s *Scheduler) lowestCost(endpoints []*endpoint, cost func(*endpoint) float64) (best *endpoint) {
	if len(endpoints) == 0 {
		return nil
	}
	lowest, first := math.Inf(1), s.rand.Intn(len(endpoints))
	for i := range endpoints {
		ep := endpoints[(first+i)%len(endpoints)]
		if c := cost(ep); c < lowest {
			best, lowest = ep, c
		}
	}
	return best
}
