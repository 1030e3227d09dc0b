package modelserver

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/testbed/record"
	"plumspindle/scheduler"
)

// heartbeatInterval is the time between the heartbeat comments on every watch, whether or not there are updates.
const heartbeatInterval = 4 * eventloop.Second

// Discovery is a discovery service: it pushes the endpoint list and its changes to all watchers.
type Discovery struct {
	Addr string

	loop     eventloop.Loop
	recorder *record.Recorder // nil: updates are not recorded
	listener eventloop.Listener
	epoch    string
	version  uint64
	entries  map[scheduler.EndpointID]endpoints.Entry
	watchers []*watcher
}

// NewDiscovery starts a discovery service for an endpoint list. It must be called on the loop.
func NewDiscovery(loop eventloop.Loop, address string, entries []endpoints.Entry, recorder *record.Recorder) (
	*Discovery, error) {
	discovery := &Discovery{loop: loop, recorder: recorder, epoch: strconv.FormatInt(int64(loop.Now()), 36), version: 1,
		entries: map[scheduler.EndpointID]endpoints.Entry{}}
	for _, entry := range entries {
		discovery.entries[entry.ID] = entry
	}
	var err error
	discovery.listener, err = loop.Listen(address, func(conn eventloop.Conn) eventloop.Handler {
		return &watcher{discovery: discovery, conn: conn, parser: http1.Parser{Limits: http1.DefaultLimits}}
	})
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	discovery.Addr = discovery.listener.Addr()
	discovery.sendHeartbeats()
	return discovery, nil
}

// Close stops listening; open watches continue.
func (d *Discovery) Close() { d.listener.Close() }

// Publish updates entries of the list and sends the changes to all watchers.
func (d *Discovery) Publish(changes ...endpoints.Entry) {
	for _, entry := range changes {
		d.entries[entry.ID] = entry
	}
	d.version++
	for _, w := range d.watchers {
		w.send(endpoints.Update{Epoch: d.epoch, Version: d.version, Since: d.version - 1, Endpoints: changes})
	}
}

// Replace replaces the whole list, publishes the differences and returns their number. Entries that the new list lacks
// are published as gone.
func (d *Discovery) Replace(entries []endpoints.Entry) (changed int) {
	listed := map[scheduler.EndpointID]bool{}
	var changes []endpoints.Entry
	for _, entry := range entries {
		listed[entry.ID] = true
		if d.entries[entry.ID] != entry {
			changes = append(changes, entry)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if entry := d.entries[id]; !listed[id] && entry.Condition != endpoints.Gone {
			entry.Condition = endpoints.Gone
			changes = append(changes, entry)
		}
	}
	if len(changes) > 0 {
		d.Publish(changes...)
	}
	return len(changes)
}

// ResetWatches resets the connections of all watchers, as a network failure does.
func (d *Discovery) ResetWatches() {
	for _, w := range slices.Clone(d.watchers) {
		w.conn.Abort()
	}
}

// sendHeartbeats sends a comment to all watchers at each heartbeat interval.
func (d *Discovery) sendHeartbeats() {
	for _, w := range d.watchers {
		w.conn.Write(http1.AppendChunk(nil, []byte(": here\n\n")))
	}
	d.loop.AfterFunc(heartbeatInterval, d.sendHeartbeats)
}

// watcher is the connection of a dispatcher that watches the list.
type watcher struct {
	discovery  *Discovery
	conn       eventloop.Conn
	parser     http1.Parser
	dispatcher string // name of the dispatcher
	head       *http1.Head
}

// Opened does nothing: the dispatcher sends its request first.
func (w *watcher) Opened() {}

// Drained does nothing: updates are small, so no backpressure is needed.
func (w *watcher) Drained() {}

// Data parses the request, and aborts the connection on a malformed one.
func (w *watcher) Data(data []byte) {
	if w.parser.Feed(data, w) != nil {
		w.conn.Abort()
	}
}

// Closed removes the watcher.
func (w *watcher) Closed(error) {
	w.discovery.watchers = slices.DeleteFunc(w.discovery.watchers, func(other *watcher) bool { return other == w })
}

// Head stores the head of the request.
func (w *watcher) Head(head *http1.Head) error { w.head = head; return nil }

// Body ignores the body of the request.
func (w *watcher) Body([]byte) error { return nil }

// End sends the complete list and registers the watcher for updates.
func (w *watcher) End() error {
	d := w.discovery
	w.dispatcher = w.head.Get("x-dispatcher")
	w.conn.Write(http1.AppendStreamHead(nil, http.StatusOK, "Content-Type", "text/event-stream"))
	list := endpoints.Update{Epoch: d.epoch, Version: d.version, Complete: true}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		list.Endpoints = append(list.Endpoints, d.entries[id])
	}
	w.send(list)
	d.watchers = append(d.watchers, w)
	return nil
}

// send sends an update and records its delivery.
func (w *watcher) send(update endpoints.Update) {
	w.conn.Write(http1.AppendChunk(nil, sse.Append(nil, marshal(update))))
	recorder := w.discovery.recorder
	if recorder == nil {
		return
	}
	now := int64(w.discovery.loop.Now())
	for _, entry := range update.Endpoints {
		recorder.Add(record.Event{At: now, Type: record.UpdateDelivered, Dispatcher: w.dispatcher,
			Endpoint: uint32(entry.ID), Detail: entry.Condition})
	}
}
