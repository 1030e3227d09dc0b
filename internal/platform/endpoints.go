package platform

import (
	"maps"
	"slices"

	"plumspindle/internal/platform/discovery"
	"plumspindle/scheduler"
)

// updateEndpoints applies a complete endpoint list, or changes to the list, from discovery.
func (d *Dispatcher) updateEndpoints(entries []discovery.Entry, complete bool) {
	// This call records that discovery has responded. The connection may be lost before discoveryReady is called again.
	d.discoveryReady()
	listed := map[scheduler.EndpointID]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		d.updateEndpoint(e)
	}
	for id := range d.endpoints {
		if complete && !listed[id] {
			delete(d.endpoints, id)
		}
	}
	d.updateReadyEndpoints()
	d.cancelUnsentToUnready()
	d.scheduler.EndpointUpdateEnded(d.loop.Now(), complete)
	for _, e := range entries {
		if e.State == scheduler.Removed {
			d.engine.RemoveEndpoint(e.ID)
		}
	}
	if complete {
		d.engine.RetainEndpoints(listed)
	}
}

func (d *Dispatcher) updateEndpoint(entry discovery.Entry) {
	zone, kind := d.topology.Locate(&d.config.Log, entry.Name, entry.Zone, entry.Kind)
	if entry.State == scheduler.Removed {
		delete(d.endpoints, entry.ID)
	} else {
		d.endpoints[entry.ID] = entry
		d.engine.SetAddress(entry.ID, entry.Addr)
	}
	d.config.Log.Debug().Str("endpoint", entry.Name).Uint32("endpoint_id", uint32(entry.ID)).Str("address", entry.Addr).
		Str("kind", entry.Kind).Str("zone", entry.Zone).Uint16("cell", uint16(entry.Cell)).Int("state", int(entry.State)).
		Int64("started_us", int64(entry.StartedAt)).Msg("endpoint updated")
	now := d.loop.Now()
	status := scheduler.EndpointStatus{
		ID:        entry.ID,
		Zone:      zone,
		Kind:      kind,
		Cell:      entry.Cell,
		State:     entry.State,
		StartedAt: min(entry.StartedAt, now),
	}
	if d.settings.SizesListed {
		status.Size = entry.Weight
	}
	d.scheduler.EndpointUpdated(now, status)
}

// listedEndpoints returns all listed endpoints sorted by id, including those that accept no new requests.
func (d *Dispatcher) listedEndpoints() []scheduler.EndpointID {
	return slices.Sorted(maps.Keys(d.endpoints))
}

// isReady reports whether an endpoint accepts new requests.
func (d *Dispatcher) isReady(id scheduler.EndpointID) bool {
	_, found := slices.BinarySearch(d.ready, id)
	return found
}

func (d *Dispatcher) updateReadyEndpoints() {
	d.ready = d.ready[:0]
	for id, e := range d.endpoints {
		if e.State == scheduler.Ready {
			d.ready = append(d.ready, id)
		}
	}
	slices.Sort(d.ready)
}

// cancelUnsentToUnready cancels each attempt that has not been written yet and whose endpoint accepts no new requests.
// Otherwise the attempt would still be sent once its connection opens.
func (d *Dispatcher) cancelUnsentToUnready() {
	for _, req := range d.requestsByID() {
		inFlight := req.attempt.inFlight
		if inFlight != nil && inFlight.Unsent() && !d.isReady(req.attempt.endpoint) {
			d.cancelAttempt(req, newResult(scheduler.Unreachable, reasonEndpointNotReady))
		}
	}
}

func (d *Dispatcher) roleOf(id scheduler.EndpointID) scheduler.Role {
	return d.topology.Role(d.endpoints[id].Kind)
}
