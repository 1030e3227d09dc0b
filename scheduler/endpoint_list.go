package scheduler

import "slices"

const (
	forgetAfter = 600 * sec // in which an endpoint was not ready
	watchRetry  = sec / 2   // least pause before the endpoint list is asked for again; up to watchJitter is added
	watchJitter = sec
)

// endpoint is what one dispatcher knows of one model server.
type endpoint struct {
	id               EndpointID
	zone             ZoneID
	kind             KindID
	cell             CellID
	role             Role
	ready            bool
	listed           bool   // in the list that is being received
	unavailableSince Micros // when a list first had it not ready; 0 if it is ready
	startedAt        Micros // of its process; 0 if it is not known

	pending        []*attempt // in flight without a first token, in the order of their sending
	cachedPrefixes map[PrefixID]bool
	prefillRate    prefillRate
	load           endpointLoad
	memory         memoryState
	outlier        outlierState
	slowStart      slowStart

	tier placementTier // in the current decision
}

// endpointList has the endpoints in the order of their ids, so that no decision depends on the order of a map.
type endpointList struct {
	all  []*endpoint
	byID map[EndpointID]*endpoint
}

// getOrAdd finds an endpoint or inserts a new one in order.
func (l *endpointList) getOrAdd(id EndpointID) *endpoint {
	if ep := l.byID[id]; ep != nil {
		return ep
	}
	ep := &endpoint{id: id, memory: memoryState{reportedUsage: NoLoadReport}, cachedPrefixes: map[PrefixID]bool{}}
	l.byID[id] = ep
	at, _ := slices.BinarySearchFunc(l.all, id, func(ep *endpoint, id EndpointID) int { return int(ep.id) - int(id) })
	l.all = slices.Insert(l.all, at, ep)
	return ep
}

// EndpointUpdated applies one entry of an endpoint list; EndpointUpdateEnded follows the last.
func (s *Scheduler) EndpointUpdated(now Micros, status EndpointStatus) {
	s.now = now
	ep := s.endpoints.getOrAdd(status.ID)
	if ep.startedAt != status.StartedAt && status.StartedAt > 0 {
		ep.processRestarted()
	}
	ep.zone, ep.kind, ep.cell = status.Zone, status.Kind, status.Cell
	ep.startedAt, ep.listed = status.StartedAt, true
	// The role of a kind that the configuration does not name is unknown: nothing is sent there.
	ep.ready = status.State == Ready && int(status.Kind) < len(s.Kinds)
	if ep.ready {
		ep.role = s.Kinds[status.Kind].Role
	}
}

// processRestarted drops what was learned of the old process: its cache is gone, and its failures say nothing of the
// new one.
func (ep *endpoint) processRestarted() {
	ep.outlier = outlierState{}
	ep.slowStart = slowStart{}
	ep.prefillRate = prefillRate{}
	ep.memory.reportedUsage = NoLoadReport
	clear(ep.cachedPrefixes)
}

// EndpointUpdateEnded ends a list. An endpoint that a complete list does not name is not ready, and is forgotten after
// forgetAfter: where endpoints are replaced under new ids for months, decisions must not look at all of them.
func (s *Scheduler) EndpointUpdateEnded(now Micros, complete bool) {
	s.now = now
	s.endpoints.all = slices.DeleteFunc(s.endpoints.all, func(ep *endpoint) bool {
		ep.ready = ep.ready && (ep.listed || !complete)
		ep.listed = false
		if ep.ready {
			ep.unavailableSince = 0
			return false
		}
		if ep.unavailableSince == 0 {
			ep.unavailableSince = now
		}
		if now-ep.unavailableSince < forgetAfter || len(ep.pending) > 0 || ep.load.streams > 0 {
			return false
		}
		delete(s.endpoints.byID, ep.id)
		return true
	})
	s.placeQueued()
	s.armDeadlineTimer()
}

// EndpointWatchFailed asks for the list again after a random pause: instances that lost it together must not all ask at
// once.
func (s *Scheduler) EndpointWatchFailed(now Micros) {
	s.now = now
	if s.WatchOnDemand {
		s.timers.due.Set(now+watchRetry+Micros(s.rand.Int63n(int64(watchJitter))), s.executor.WatchEndpoints)
	}
	s.armDeadlineTimer()
}
