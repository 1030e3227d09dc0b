package platform

import (
	"maps"
	"slices"

	"plumspindle/internal/engine"
	"plumspindle/internal/platform/discovery"
	"plumspindle/scheduler"
)

// updateEndpoints takes a list of hosts, or what has changed in it.
func (d *Dispatcher) updateEndpoints(entries []discovery.Entry, whole bool) {
	d.discoveryReady() // by this, if discovery speaks
	listed := map[scheduler.EndpointID]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		d.updateEndpoint(e)
	}
	for id := range d.endpoints {
		if whole && !listed[id] {
			delete(d.endpoints, id)
		}
	}
	d.updateReady()
	d.cancelUnsentToUnready()
	d.scheduler.EndpointUpdateEnded(d.loop.Now(), whole)
	for _, e := range entries {
		if e.State == scheduler.Removed {
			d.upstream.RemoveEndpoint(e.ID)
		}
	}
	if whole {
		d.upstream.RetainEndpoints(listed)
	}
}

func (d *Dispatcher) updateEndpoint(e discovery.Entry) {
	zone, kind := slices.Index(d.settings.Zones, e.Zone), slices.Index(d.settings.Kinds, e.Kind)
	if zone < 0 || kind < 0 || kind >= len(d.settings.Scheduler.Kinds) {
		d.config.Log.Warn().Str("host", e.Name).Str("zone", e.Zone).Str("kind", e.Kind).
			Msg("a host of a zone or kind that the settings do not name; nothing is sent there")
		zone, kind = max(zone, 0), unknownKind
	}
	if e.State == scheduler.Removed {
		delete(d.endpoints, e.ID)
	} else {
		d.endpoints[e.ID] = e
		d.upstream.SetAddress(e.ID, e.Addr)
	}
	d.config.Log.Debug().Str("host", e.Name).Uint32("number", uint32(e.ID)).Str("addr", e.Addr).Str("kind", e.Kind).Str("zone", e.Zone).
		Uint16("cell", uint16(e.Cell)).Int("condition", int(e.State)).Int64("started", int64(e.StartedAt)).Msg("listed")
	now := d.loop.Now()
	d.scheduler.EndpointUpdated(now, scheduler.EndpointStatus{ID: e.ID, Zone: scheduler.ZoneID(zone), Kind: scheduler.KindID(kind), Cell: e.Cell,
		State: e.State, StartedAt: min(e.StartedAt, now)})
}

// releaseTargets are those that want new requests, or all that are listed, in order.
func (d *Dispatcher) releaseTargets(all bool) []scheduler.EndpointID {
	if !all {
		return d.ready
	}
	return slices.Sorted(maps.Keys(d.endpoints))
}

// isReady tells whether a host wants new requests.
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

// cancelUnsentToUnready takes back what has not left yet to hosts that want nothing new: a connection that opens only now must not carry it.
func (d *Dispatcher) cancelUnsentToUnready() {
	for _, r := range d.requestsByID() {
		if r.attempt != nil && r.attempt.Unsent() && !d.isReady(r.endpoint) {
			d.cancelAttempt(r, engine.Result{Outcome: scheduler.Unreachable, MemoryUsage: scheduler.NoLoadReport, Reason: "the host is going"})
		}
	}
}

func (d *Dispatcher) role(id scheduler.EndpointID) scheduler.Role {
	if k := slices.Index(d.settings.Kinds, d.endpoints[id].Kind); k >= 0 && k < len(d.settings.Scheduler.Kinds) {
		return d.settings.Scheduler.Kinds[k].Role
	}
	return scheduler.Decode
}
