package platform

import (
	"maps"
	"slices"

	"plumspindle/internal/platform/discovery"
	"plumspindle/scheduler"
)

// updateEndpoints takes an endpoint list, or what has changed in it.
func (d *Dispatcher) updateEndpoints(entries []discovery.Entry, full bool) {
	d.discoveryReady() // by this, if discovery speaks
	listed := map[scheduler.EndpointID]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		d.updateEndpoint(e)
	}
	for id := range d.endpoints {
		if full && !listed[id] {
			delete(d.endpoints, id)
		}
	}
	d.updateReady()
	d.cancelUnsentToUnready()
	d.scheduler.EndpointUpdateEnded(d.loop.Now(), full)
	for _, e := range entries {
		if e.State == scheduler.Removed {
			d.upstream.RemoveEndpoint(e.ID)
		}
	}
	if full {
		d.upstream.RetainEndpoints(listed)
	}
}

func (d *Dispatcher) updateEndpoint(e discovery.Entry) {
	zone, kind := d.topology.Locate(&d.config.Log, e.Name, e.Zone, e.Kind)
	if e.State == scheduler.Removed {
		delete(d.endpoints, e.ID)
	} else {
		d.endpoints[e.ID] = e
		d.upstream.SetAddress(e.ID, e.Addr)
	}
	d.config.Log.Debug().Str("endpoint", e.Name).Uint32("endpoint_id", uint32(e.ID)).Str("address", e.Addr).
		Str("kind", e.Kind).Str("zone", e.Zone).Uint16("cell", uint16(e.Cell)).Int("state", int(e.State)).
		Int64("started_us", int64(e.StartedAt)).Msg("endpoint updated")
	now := d.loop.Now()
	d.scheduler.EndpointUpdated(now, scheduler.EndpointStatus{
		ID:        e.ID,
		Zone:      zone,
		Kind:      kind,
		Cell:      e.Cell,
		State:     e.State,
		StartedAt: min(e.StartedAt, now),
	})
}

// releaseTargets are the endpoints that accept new requests, or all that are listed, in order.
func (d *Dispatcher) releaseTargets(all bool) []scheduler.EndpointID {
	if !all {
		return d.ready
	}
	return slices.Sorted(maps.Keys(d.endpoints))
}

// isReady reports whether an endpoint accepts new requests.
func (d *Dispatcher) isReady(id scheduler.EndpointID) bool {
	_, found := slices.BinarySearch(d.ready, id)
	return found
}

func (d *Dispatcher) updateReady() {
	d.ready = d.ready[:0]
	for id, e := range d.endpoints {
		if e.State == scheduler.Ready {
			d.ready = append(d.ready, id)
		}
	}
	slices.Sort(d.ready)
}

// cancelUnsentToUnready cancels what has not been written yet to endpoints that accept nothing new: a connection that
// opens only now must not carry it.
func (d *Dispatcher) cancelUnsentToUnready() {
	for _, r := range d.requestsByID() {
		inFlight := r.attempt.inFlight
		if inFlight != nil && inFlight.Unsent() && !d.isReady(r.attempt.endpoint) {
			d.cancelAttempt(r, newResult(scheduler.Unreachable, reasonEndpointNotReady))
		}
	}
}

func (d *Dispatcher) role(id scheduler.EndpointID) scheduler.Role {
	return d.topology.Role(d.endpoints[id].Kind)
}
