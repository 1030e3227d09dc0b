// Package modelserver simulates the servers of the test bed: model endpoints that prefill and decode, and the discovery
// service that lists them. The endpoints run no model; they take the time, slots and memory that real ones would.
//
// It owns the endpoints' queues, batches, memory, pinned KV states and faults. It uses the event loop for time and
// connections, real or virtual, and reports what the endpoints observe to a record. It never calls a dispatcher.
package modelserver

import (
	"math/rand"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
	"plumspindle/scheduler"
)

const (
	anyLocalPort = "127.0.0.1:0"
	baseID       = 100 // all endpoint ids are greater
	maxIDGap     = 7   // largest difference between consecutive ids, which carry no meaning
)

// Fleet is a set of simulated endpoints on one event loop, with their discovery service.
type Fleet struct {
	Endpoints []*Endpoint
	Discovery *Discovery // nil: the fleet has no discovery service

	loop           eventloop.Loop
	deployment     deployment.Deployment
	random         *rand.Rand
	recorder       *record.Recorder             // nil: events are not recorded
	cellLinkFreeAt map[uint16]*eventloop.Micros // by cell: when its outgoing link is free to send the next KV state
	lastID         uint32
}

// Start starts the whole fleet of a deployment, with warm endpoints, and its discovery service unless the address is
// empty. It must be called on the loop.
func Start(
	loop eventloop.Loop, dep deployment.Deployment, seed int64, discoveryAddress string, recorder *record.Recorder,
) (*Fleet, error) {
	if dep.Fleet == nil {
		return nil, deployment.ErrNoFleet
	}
	fleet := &Fleet{loop: loop, deployment: dep, random: rand.New(rand.NewSource(seed)), recorder: recorder,
		cellLinkFreeAt: map[uint16]*eventloop.Micros{}, lastID: baseID}
	for zoneIndex, zone := range dep.Zones {
		for _, group := range dep.Fleet.Groups {
			for i := range int(group.HostsPerZone) {
				cells := int(dep.Fleet.CellsPerZone)
				cell := uint16(zoneIndex*cells + i%cells)
				e := &Endpoint{Zone: zone, Cell: cell, group: group, kind: findKind(dep, group.Kind)}
				if err := fleet.add(e, 0); err != nil {
					return nil, err
				}
			}
		}
	}
	if discoveryAddress == "" {
		return fleet, nil
	}
	var err error
	fleet.Discovery, err = NewDiscovery(loop, discoveryAddress, fleet.Entries(), recorder)
	return fleet, err
}

// findKind returns the kind with a name, or nil.
func findKind(d deployment.Deployment, name string) *pb.Kind {
	for _, kind := range d.Kinds {
		if kind.Name == name {
			return kind
		}
	}
	return nil
}

// add assigns an endpoint a new id and starts it.
func (f *Fleet) add(endpoint *Endpoint, startedAt eventloop.Micros) error {
	f.lastID += 1 + uint32(f.random.Intn(maxIDGap))
	endpoint.fleet, endpoint.ID, endpoint.slowFactor = f, f.lastID, 1
	if f.cellLinkFreeAt[endpoint.Cell] == nil {
		f.cellLinkFreeAt[endpoint.Cell] = new(eventloop.Micros)
	}
	f.Endpoints = append(f.Endpoints, endpoint)
	return endpoint.start(startedAt)
}

// Close stops the discovery service and all endpoints.
func (f *Fleet) Close() {
	if f.Discovery != nil {
		f.Discovery.Close()
	}
	for _, e := range f.Endpoints {
		e.stop()
	}
}

// Entries returns the endpoint list, with all endpoints ready.
func (f *Fleet) Entries() (entries []endpoints.Entry) {
	for _, e := range f.Endpoints {
		entries = append(entries, e.Entry(endpoints.Ready))
	}
	return entries
}

// Entry returns the endpoint's entry in the endpoint list, with the given condition.
func (e *Endpoint) Entry(condition string) endpoints.Entry {
	return endpoints.Entry{ID: scheduler.EndpointID(e.ID), Addr: e.Addr, Zone: e.Zone, Kind: e.kind.Name, Cell: e.Cell,
		Condition: condition, StartedAt: int64(e.startedAt)}
}

// announce publishes an endpoint's new condition after a random delay, unless the condition is out of date by then.
func (f *Fleet) announce(endpoint *Endpoint, condition string) {
	entry := endpoint.Entry(condition)
	maxDelay := int64(f.deployment.Fleet.RosterLateMs) * int64(eventloop.Millisecond)
	f.loop.AfterFunc(eventloop.Micros(f.random.Int63n(maxDelay+1)), func() {
		if condition == endpoints.Draining && !endpoint.alive {
			return
		}
		restarted := endpoint.alive && endpoint.startedAt > 0 && entry.StartedAt != int64(endpoint.startedAt)
		if condition == endpoints.Gone && restarted {
			return // the announcement of the new start replaces this one
		}
		if f.Discovery != nil {
			f.Discovery.Publish(entry)
		}
	})
}

// Pick draws a share of the running endpoints of a kind, or of all kinds if the kind is empty. It draws at least one
// endpoint, if any such endpoint runs.
func (f *Fleet) Pick(kind string, share float64) []*Endpoint {
	var candidates []*Endpoint
	for _, e := range f.Endpoints {
		if (kind == "" || e.kind.Name == kind) && e.alive {
			candidates = append(candidates, e)
		}
	}
	f.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	count := int(share*float64(len(candidates)) + 0.5)
	return candidates[:min(max(count, 1), len(candidates))]
}

// Replace stops a share of the endpoints permanently and starts as many new ones, with new ids and addresses.
func (f *Fleet) Replace(share float64) error {
	if share == 0 {
		return nil
	}
	for _, old := range f.Pick("", share) {
		old.Crash(0)
		e := &Endpoint{Zone: old.Zone, Cell: old.Cell, group: old.group, kind: old.kind}
		if err := f.add(e, f.loop.Now()); err != nil {
			return err
		}
		f.announce(e, endpoints.Ready)
	}
	return nil
}

// Partition partitions a zone from all others for the duration. Until it ends, requests that cross the boundary are
// deferred and responses are held back. Releases of KV states are the exception: they take effect at once, and only
// their responses are held back.
func (f *Fleet) Partition(zone string, duration eventloop.Micros) {
	for _, e := range f.Endpoints {
		e.partitionedZone = zone
	}
	f.loop.AfterFunc(duration, func() {
		for _, e := range f.Endpoints {
			e.partitionedZone = ""
			e.resume()
		}
	})
}

// record records an event of an attempt at an endpoint, or of the endpoint itself if the attempt is nil.
func (f *Fleet) record(endpoint *Endpoint, eventType record.EventType, attempt *endpointAttempt) {
	if f.recorder == nil {
		return
	}
	event := record.Event{At: int64(f.loop.Now()), Type: eventType, Endpoint: endpoint.ID, Kind: endpoint.kind.Name,
		Zone: endpoint.Zone, Cell: endpoint.Cell}
	if attempt != nil {
		event.Attempt, event.Request, event.Dispatcher = attempt.id, attempt.clientID, attempt.dispatcher
		event.Product, event.Count, event.Detail = attempt.product, int64(attempt.promptTokens), record.Decode
		if attempt.prefillOnly {
			event.Detail = record.Prefill
		}
	}
	switch eventType {
	case record.AttemptArrived:
		event.Value = attempt.workTokens
	case record.AttemptRefused:
		event.Detail = endpoint.lastError
	case record.EndpointUp:
		event.Count = int64(endpoint.startedAt)
	}
	f.recorder.Add(event)
}
