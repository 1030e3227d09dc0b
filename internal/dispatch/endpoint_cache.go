package dispatch

import (
	"plumspindle/internal/endpointcache"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// restoreEndpoints applies the newest readable cached list. The list's age decides how far the list is trusted.
func (d *Dispatcher) restoreEndpoints() {
	for i, cached := range d.config.CachedEndpoints {
		if len(cached) == 0 {
			continue
		}
		entries, savedAt, err := d.endpointWatch.Restore(cached)
		if err != nil {
			d.config.Log.Error().Err(err).Int("list", i).Msg("cached endpoint list unreadable")
			continue
		}
		d.applyCachedEndpoints(entries, eventloop.Micros(savedAt))
		return
	}
}

func (d *Dispatcher) applyCachedEndpoints(entries []endpoints.Entry, savedAt eventloop.Micros) {
	now := d.loop.Now()
	byID := map[uint32]endpoints.Entry{}
	var cached []endpointcache.Endpoint
	for _, entry := range entries {
		byID[uint32(entry.ID)] = entry
		cached = append(cached, endpointcache.Endpoint{
			ID:        uint32(entry.ID),
			Group:     entry.Zone + "/" + entry.Kind,
			StartedAt: eventloop.Micros(entry.StartedAt),
		})
	}
	freshness := endpointcache.FreshnessOf(now, savedAt)
	d.config.Log.Info().
		Int("endpoints", len(cached)).
		Stringer("freshness", freshness).
		Int64("age_ms", int64((now-savedAt)/eventloop.Millisecond)).
		Msg("starting with the cached endpoint list")
	for _, part := range endpointcache.Plan(now, freshness, cached) {
		var planned []endpoints.Entry
		for _, endpoint := range part.Endpoints {
			entry := byID[endpoint.ID]
			entry.StartedAt = int64(endpoint.StartedAt)
			planned = append(planned, entry)
		}
		if part.Delay == 0 {
			d.applyChanges(planned)
			continue
		}
		d.loop.AfterFunc(part.Delay, func() {
			if d.endpointUpdates == 0 { // discovery has not sent an update yet
				d.applyChanges(planned)
			}
		})
	}
}

// confirmRemovals applies an update from discovery. If a complete list leaves out most endpoints at once, discovery may
// have just restarted, so confirmRemovals delays the removal of these endpoints. What an update says about a listed
// endpoint is applied at once in any case.
func (d *Dispatcher) confirmRemovals(entries []endpoints.Entry, complete bool) {
	if !complete {
		d.applyChanges(entries)
		return
	}
	missing, ready := d.missingFrom(entries)
	drainGrace := milliseconds(d.Deployment.Rules.DrainGraceMs)
	delay := endpointcache.RemovalDelay(ready, len(missing), drainGrace)
	if delay == 0 {
		d.applyCompleteList(entries)
		return
	}
	d.config.Log.Warn().Int("ready", ready).Int("missing", len(missing)).Msg("endpoint removals delayed")
	d.applyChanges(entries)
	update := d.endpointUpdates
	d.loop.AfterFunc(delay, func() {
		if d.endpointUpdates == update { // discovery has not sent another update
			d.applyCompleteList(entries)
			return
		}
		var gone []endpoints.Entry
		for _, entry := range missing {
			if current, known := d.endpointWatch.Endpoints[entry.ID]; !known || current.State() != scheduler.Ready {
				gone = append(gone, entry)
			}
		}
		d.applyChanges(gone)
	})
}

// missingFrom returns the ready endpoints that a complete list leaves out, marked as gone, and the number of all ready
// endpoints.
func (d *Dispatcher) missingFrom(entries []endpoints.Entry) (missing []endpoints.Entry, ready int) {
	listed := map[scheduler.EndpointID]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for _, entry := range d.endpoints {
		if entry.State() != scheduler.Ready {
			continue
		}
		ready++
		if !listed[entry.ID] {
			entry.Condition = endpoints.Gone
			missing = append(missing, entry)
		}
	}
	return missing, ready
}
