package scheduler

import "slices"

const (
	unavailableRetention = 600 * sec // time after which an endpoint that is not ready is forgotten
	watchRetryDelay      = sec / 2   // minimum delay before asking for the endpoint list again
	watchRetryJitter     = sec       // upper bound of the random delay that is added to watchRetryDelay
)

// endpoint is what this dispatcher knows about one model server.
type endpoint struct {
	id               EndpointID
	zone             ZoneID
	kind             KindID
	cell             CellID
	role             Role
	size             float64 // in proportion to other endpoints of its kind; 0 if it is not known
	ready            bool
	listed           bool   // named by the list that is being received
	unavailableSince Micros // when a list first showed the endpoint as not ready; 0 if the endpoint is ready
	startedAt        Micros // when the endpoint's process started; 0 if that time is not known

	pending        []*attempt // attempts in flight that have no first token yet, in the order in which they were sent
	cachedPrefixes map[PrefixID]bool
	prefillRate    prefillRate
	load           endpointLoad
	memory         memoryState
	outlier        outlierState
	slowStart      slowStart

	tier placementTier // valid during one decision only
}

// endpointList holds the endpoints in the order of their ids, because no decision may depend on the iteration order of
// a map.
type endpointList struct {
	all  []*endpoint
	byID map[EndpointID]*endpoint
}

// getOrAdd returns the endpoint with this id. If there is none, it inserts a new one.
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

// EndpointUpdated applies one entry of an endpoint list. The caller calls EndpointUpdateEnded after the last entry.
func (s *Scheduler) EndpointUpdated(now Micros, status EndpointStatus) {
	s.now = now
	ep := s.endpoints.getOrAdd(status.ID)
	if ep.startedAt != status.StartedAt && status.StartedAt > 0 {
		ep.processRestarted()
	}
	ep.zone, ep.kind, ep.cell = status.Zone, status.Kind, status.Cell
	ep.startedAt, ep.size, ep.listed = status.StartedAt, status.Size, true
	// An endpoint whose kind is not in the configuration has no known role and must get no requests.
	ep.ready = status.State == Ready && int(status.Kind) < len(s.Kinds)
	if ep.ready {
		ep.role = s.Kinds[status.Kind].Role
	}
}

// processRestarted drops what was learned about the endpoint's previous process, because the cache of that process is
// gone and its failures say nothing about the new process.
func (ep *endpoint) processRestarted() {
	ep.outlier = outlierState{}
	ep.slowStart = slowStart{}
	ep.prefillRate = prefillRate{}
	ep.memory.reportedUsage = NoLoadReport
	clear(ep.cachedPrefixes)
}

// EndpointUpdateEnded ends a list. An endpoint that a complete list does not name is no longer ready. An endpoint that
// has been unavailable for unavailableRetention and has no attempt in flight is forgotten, because over months
// endpoints are replaced under new ids, and decisions must not examine all endpoints that ever existed.
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
		if now-ep.unavailableSince < unavailableRetention || len(ep.pending) > 0 || ep.load.streams > 0 {
			return false
		}
		delete(s.endpoints.byID, ep.id)
		return true
	})
	s.placeQueued()
	s.armDeadlineTimer()
}

// EndpointWatchFailed asks for the endpoint list again if Config.WatchOnDemand is set. It asks after a random delay,
// because dispatchers that lost their watch at the same time must not all ask at once.
func (s *Scheduler) EndpointWatchFailed(now Micros) {
	s.now = now
	if s.WatchOnDemand {
		s.timers.due.Set(now+watchRetryDelay+Micros(s.rand.Int63n(int64(watchRetryJitter))), s.executor.WatchEndpoints)
	}
	s.armDeadlineTimer()
}
