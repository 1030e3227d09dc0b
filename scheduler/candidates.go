package scheduler

import (
	"math"
	"slices"
)

const (
	// Mean number of dispatchers that may choose the same endpoint because it looks the least filled to all of them.
	dispatchersPerChoice = 4

	// Endpoints with an open connection are preferred while at least this share of new connections fails.
	connectFailureLimit = 0.3
)

// scratch holds buffers that decisions reuse, to avoid allocations.
type scratch struct {
	endpoints []*endpoint // a stack of lists; release pops the lists that were pushed since mark
	numbers   []float64
	cells     []CellID
}

func (s *scratch) mark() int { return len(s.endpoints) }

// release pops the lists that were pushed since the mark. A decision pushes several lists and must not keep any.
func (s *scratch) release(mark int) { s.endpoints = s.endpoints[:mark] }

// candidates returns the endpoints of the given roles that the request may be sent to now. If outlier ejection would
// exclude all of them, it is ignored, because when all endpoints look faulty, the cause is more likely the network or
// this dispatcher. The other conditions, such as readiness, safe retries and slow start, always apply.
func (s *Scheduler) candidates(req *request, roles ...Role) []*endpoint {
	from := s.scratch.mark()
	s.examined += uint64(len(s.endpoints.all))
	for _, ep := range s.endpoints.all {
		if !slices.Contains(roles, ep.role) || !ep.ready || req.stateAt == nil && s.now < ep.memory.noCapacityUntil {
			continue // trying an endpoint without capacity would use up the remaining attempts
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

// replaceableCandidates returns the candidates of the given roles. It is for work that endpoints of other roles can do
// instead. Outlier ejection is therefore ignored only if it would exclude all candidates of the roles Prefill, Decode
// and Mixed. Otherwise a dead endpoint would be accepted because it is the only one of its role.
func (s *Scheduler) replaceableCandidates(req *request, roles ...Role) []*endpoint {
	all := s.candidates(req, Prefill, Decode, Mixed)
	return slices.DeleteFunc(all, func(ep *endpoint) bool { return !slices.Contains(roles, ep.role) })
}

// preferConnected filters endpoints while new connections often fail. Connections fail because they are slow to
// establish or because the endpoints accept no more of them. preferConnected drops the endpoints without an open
// connection if another endpoint of the same role has one.
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

// hasConnection estimates whether a connection to the endpoint is open. It assumes an open one if the endpoint has
// replied within the idle timeout.
func (s *Scheduler) hasConnection(ep *endpoint) bool {
	return ep.outlier.lastReplyAt > 0 && s.now-ep.outlier.lastReplyAt < s.IdleTimeout
}

// sample returns a random subset of the endpoints if there are many dispatchers. All dispatchers see the same load
// reports, and without sampling they would all choose the endpoint with the lowest reported usage.
func (s *Scheduler) sample(endpoints []*endpoint) []*endpoint {
	n := max(2, len(endpoints)*dispatchersPerChoice/max(s.Dispatchers, 1))
	if n >= len(endpoints) {
		return endpoints
	}
	s.rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	return endpoints[:n]
}

// lowestCost returns the endpoint with the lowest finite cost, or nil if there is none. The search starts at a random
// endpoint, because after a restart all costs are equal and the requests must not all go to the same endpoint.
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
