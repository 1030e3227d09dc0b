package platform

import (
	"maps"
	"slices"

	"plumspindle/internal/engine"
	"plumspindle/internal/platform/discovery"
	"plumspindle/scheduler"
)

// updateHosts takes a list of hosts, or what has changed in it.
func (d *Dispatcher) updateHosts(entries []discovery.Entry, whole bool) {
	d.informed() // by this, if discovery speaks
	listed := map[scheduler.EndpointID]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		d.updateHost(e)
	}
	for id := range d.hosts {
		if whole && !listed[id] {
			delete(d.hosts, id)
		}
	}
	d.updateReady()
	d.takeBackUnsent()
	d.module.EndpointUpdateEnded(d.loop.Now(), whole)
	for _, e := range entries {
		if e.Condition == scheduler.Removed {
			d.upstream.RemoveEndpoint(e.ID)
		}
	}
	if whole {
		d.upstream.RetainEndpoints(listed)
	}
}

func (d *Dispatcher) updateHost(e discovery.Entry) {
	zone, kind := slices.Index(d.settings.Zones, e.Zone), slices.Index(d.settings.Kinds, e.Kind)
	if zone < 0 || kind < 0 || kind >= len(d.settings.Place.Kinds) {
		d.config.Log.Warn().Str("host", e.Name).Str("zone", e.Zone).Str("kind", e.Kind).
			Msg("a host of a zone or kind that the settings do not name; nothing is sent there")
		zone, kind = max(zone, 0), unknownKind
	}
	if e.Condition == scheduler.Removed {
		delete(d.hosts, e.ID)
	} else {
		d.hosts[e.ID] = e
		d.upstream.SetAddress(e.ID, e.Addr)
	}
	d.config.Log.Debug().Str("host", e.Name).Uint32("number", uint32(e.ID)).Str("addr", e.Addr).Str("kind", e.Kind).Str("zone", e.Zone).
		Uint16("cell", uint16(e.Cell)).Int("condition", int(e.Condition)).Int64("started", int64(e.Started)).Msg("listed")
	now := d.loop.Now()
	d.module.EndpointUpdated(now, scheduler.EndpointStatus{ID: e.ID, Zone: scheduler.ZoneID(zone), Kind: scheduler.KindID(kind), Cell: e.Cell,
		State: e.Condition, StartedAt: min(e.Started, now)})
}

// listedHosts are those that want new requests, or all that are listed, in order.
func (d *Dispatcher) listedHosts(all bool) []scheduler.EndpointID {
	if !all {
		return d.ready
	}
	return slices.Sorted(maps.Keys(d.hosts))
}

// wanted tells whether a host wants new requests.
func (d *Dispatcher) wanted(id scheduler.EndpointID) bool {
	_, found := slices.BinarySearch(d.ready, id)
	return found
}

func (d *Dispatcher) updateReady() {
	d.ready = d.ready[:0]
	for id, e := range d.hosts {
		if e.Condition == scheduler.Ready {
			d.ready = append(d.ready, id)
		}
	}
	slices.Sort(d.ready)
}

// takeBackUnsent takes back what has not left yet to hosts that want nothing new: a connection that opens only now must not carry it.
func (d *Dispatcher) takeBackUnsent() {
	for _, r := range d.inOrder() {
		if r.attempt != nil && r.attempt.Unsent() && !d.wanted(r.host) {
			d.takeBack(r, engine.Result{Outcome: scheduler.Unreachable, MemoryUsage: scheduler.NoLoadReport, Reason: "the host is going"})
		}
	}
}

func (d *Dispatcher) role(id scheduler.EndpointID) scheduler.Role {
	if k := slices.Index(d.settings.Kinds, d.hosts[id].Kind); k >= 0 && k < len(d.settings.Place.Kinds) {
		return d.settings.Place.Kinds[k].Role
	}
	return scheduler.Decode
}
