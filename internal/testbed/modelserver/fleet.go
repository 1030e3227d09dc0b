// Package modelserver has the stand-ins of the test bed: model endpoints that prefill and decode, and the discovery
// service that lists them. They compute nothing; they take the time, slots and memory that real ones would.
//
// It owns the endpoints' queues, batches, memory, pinned states and faults. It relies on the event loop for time and
// connections, real or virtual, and on a record to which it reports what it sees. It never calls a dispatcher.
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
	firstID      = 100 // below the endpoints' ids
	maxIDGap     = 7   // between two ids, which carry no meaning
)

// Fleet is a set of stand-in endpoints on one loop, with their discovery.
type Fleet struct {
	Endpoints []*Endpoint
	Discovery *Discovery // nil: there is none

	loop       eventloop.Loop
	deployment deployment.Deployment
	random     *rand.Rand
	recorder   *record.Recorder             // nil: nothing is recorded
	linkFreeAt map[uint16]*eventloop.Micros // for the next state out of a cell
	lastID     uint32
}

// Start starts the whole fleet of a deployment, warm, with its discovery if that has an address. It is called on the
// loop.
func Start(
	loop eventloop.Loop, dep deployment.Deployment, seed int64, discoveryAddress string, recorder *record.Recorder,
) (*Fleet, error) {
	if dep.Fleet == nil {
		return nil, deployment.ErrNoFleet
	}
	fleet := &Fleet{loop: loop, deployment: dep, random: rand.New(rand.NewSource(seed)), recorder: recorder,
		linkFreeAt: map[uint16]*eventloop.Micros{}, lastID: firstID}
	for zoneIndex, zone := range dep.Zones {
		for _, group := range dep.Fleet.Groups {
			for i := range int(group.HostsPerZone) {
				cells := int(dep.Fleet.CellsPerZone)
				cell := uint16(zoneIndex*cells + i%cells)
				e := &Endpoint{Zone: zone, Cell: cell, group: group, kind: kindOf(dep, group.Kind)}
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

func kindOf(d deployment.Deployment, name string) *pb.Kind {
	for _, kind := range d.Kinds {
		if kind.Name == name {
			return kind
		}
	}
	return nil
}

// add starts an endpoint with an id of its own.
func (f *Fleet) add(endpoint *Endpoint, startedAt eventloop.Micros) error {
	f.lastID += 1 + uint32(f.random.Intn(maxIDGap))
	endpoint.fleet, endpoint.ID, endpoint.slowFactor = f, f.lastID, 1
	if f.linkFreeAt[endpoint.Cell] == nil {
		f.linkFreeAt[endpoint.Cell] = new(eventloop.Micros)
	}
	f.Endpoints = append(f.Endpoints, endpoint)
	return endpoint.start(startedAt)
}

// Close stops discovery and all endpoints.
func (f *Fleet) Close() {
	if f.Discovery != nil {
		f.Discovery.Close()
	}
	for _, e := range f.Endpoints {
		e.stop()
	}
}

// Entries returns all endpoints' entries in the endpoint list.
func (f *Fleet) Entries() (entries []endpoints.Entry) {
	for _, e := range f.Endpoints {
		entries = append(entries, e.Entry(endpoints.Ready))
	}
	return entries
}

// Entry returns an endpoint's entry in the endpoint list.
func (e *Endpoint) Entry(condition string) endpoints.Entry {
	return endpoints.Entry{ID: scheduler.EndpointID(e.ID), Addr: e.Addr, Zone: e.Zone, Kind: e.kind.Name, Cell: e.Cell,
		Condition: condition, StartedAt: int64(e.startedAt)}
}

// announce publishes an endpoint's new condition, after a random delay.
func (f *Fleet) announce(endpoint *Endpoint, condition string) {
	entry := endpoint.Entry(condition)
	maxDelay := int64(f.deployment.Fleet.RosterLateMs) * int64(eventloop.Millisecond)
	f.loop.AfterFunc(eventloop.Micros(f.random.Int63n(maxDelay+1)), func() {
		if condition == endpoints.Draining && !endpoint.alive {
			return
		}
		restarted := endpoint.alive && endpoint.startedAt > 0 && entry.StartedAt != int64(endpoint.startedAt)
		if condition == endpoints.Gone && restarted {
			return // its start is announced by the change that follows
		}
		if f.Discovery != nil {
			f.Discovery.Publish(entry)
		}
	})
}

// Pick draws a share of the endpoints of a kind, one at least; of all kinds if none is named.
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

// Replace stops a share of the endpoints for good and starts as many others, with ids and addresses of their own.
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

// Partition cuts a zone off from all others for a while: what crosses is neither answered nor read.
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

// record records what happened at an endpoint, to an attempt or, where that is nil, to the endpoint itself.
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
		event.Value = attempt.work
	case record.AttemptRefused:
		event.Detail = endpoint.lastError
	case record.EndpointUp:
		event.Count = int64(endpoint.startedAt)
	}
	f.recorder.Add(event)
}
