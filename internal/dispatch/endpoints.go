package dispatch

import (
	"strconv"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/starttimes"
	"plumspindle/scheduler"
)

// startEndpoints applies the cached endpoint list, and subscribes to discovery.
func (d *Dispatcher) startEndpoints() {
	d.endpointWatch = endpoints.NewWatcher(d.loop, endpoints.WatcherOptions{
		Address:    d.config.Discovery,
		Dispatcher: d.config.Name,
		Seed:       d.config.Seed,
		OnUpdate:   d.endpointsUpdated,
		Log:        d.config.Log,
	})
	d.restoreEndpoints()
	if d.config.Discovery != "" {
		d.endpointWatch.Subscribe()
	}
}

// endpointsUpdated handles an update from discovery. A complete update lists all endpoints.
func (d *Dispatcher) endpointsUpdated(entries []endpoints.Entry, complete bool) {
	if mutation := d.config.Mutation; mutation != nil && mutation.EndpointUpdate != nil {
		entries = mutation.EndpointUpdate(entries)
	}
	d.endpointUpdates++
	d.confirmRemovals(entries, complete)
	if d.config.CacheEndpoints == nil || d.cacheScheduled {
		return
	}
	d.cacheScheduled = true
	d.loop.AfterFunc(endpointCacheInterval, func() {
		d.cacheScheduled = false
		d.config.CacheEndpoints(d.endpointWatch.Snapshot(int64(d.loop.Now())))
	})
}

// applyChanges reports changed entries to the scheduler; all other endpoints stay unchanged.
func (d *Dispatcher) applyChanges(entries []endpoints.Entry) { d.applyEndpoints(entries, false) }

// applyCompleteList reports a complete list to the scheduler; endpoints that are not listed are removed.
func (d *Dispatcher) applyCompleteList(entries []endpoints.Entry) { d.applyEndpoints(entries, true) }

func (d *Dispatcher) applyEndpoints(entries []endpoints.Entry, complete bool) {
	now := d.loop.Now()
	var startedAt []eventloop.Micros
	for _, entry := range entries {
		startedAt = append(startedAt, eventloop.Micros(entry.StartedAt))
	}
	listing := starttimes.Listing{
		Now:       now,
		Skew:      starttimes.ClockSkew(now, startedAt...),
		InService: d.endpointUpdates > 1,
	}
	for _, entry := range entries {
		d.applyEndpoint(entry, listing)
	}
	d.scheduler.EndpointUpdateEnded(now, complete)
	d.countPrefillEndpoints()
	d.admitQueued()
}

func (d *Dispatcher) applyEndpoint(entry endpoints.Entry, listing starttimes.Listing) {
	zone, kind := d.topology.Locate(&d.config.Log, strconv.FormatUint(uint64(entry.ID), 10), entry.Zone, entry.Kind)
	if entry.Condition == endpoints.Gone {
		d.engine.RemoveEndpoint(entry.ID)
		delete(d.endpoints, entry.ID)
		delete(d.startTimes, entry.ID)
	} else {
		d.engine.SetAddress(entry.ID, entry.Addr)
		d.endpoints[entry.ID] = entry
	}
	start := starttimes.Next(d.startTimes[entry.ID], eventloop.Micros(entry.StartedAt), listing)
	if entry.Condition != endpoints.Gone {
		d.startTimes[entry.ID] = start
	}
	d.scheduler.EndpointUpdated(listing.Now, scheduler.EndpointStatus{
		ID:        entry.ID,
		Zone:      zone,
		Kind:      kind,
		Cell:      scheduler.CellID(entry.Cell),
		State:     entry.State(),
		StartedAt: start.At,
	})
}

// countPrefillEndpoints tells the admission control how many ready endpoints can prefill.
func (d *Dispatcher) countPrefillEndpoints() {
	n := 0
	for id, entry := range d.endpoints {
		if entry.State() == scheduler.Ready && d.roleOf(id) != scheduler.Decode {
			n++
		}
	}
	d.admission.SetPrefillEndpoints(n)
}

func (d *Dispatcher) roleOf(id scheduler.EndpointID) scheduler.Role {
	return d.topology.Role(d.endpoints[id].Kind)
}
