package modelserver

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/testbed/record"
	"plumspindle/scheduler"
)

// Discovery pushes the list of hosts.
type Discovery struct {
	loop     eventloop.Loop
	book     *record.Recorder
	listener eventloop.Listener
	epoch    string
	version  uint64
	entries  map[scheduler.EndpointID]endpoints.Entry
	watchers []*watcher
	Addr     string
}

const heartbeat = 4 * eventloop.Second

// NewDiscovery serves a list on an address.
func NewDiscovery(loop eventloop.Loop, addr string, entries []endpoints.Entry, book *record.Recorder) (*Discovery, error) {
	r := &Discovery{loop: loop, book: book, epoch: strconv.FormatInt(int64(loop.Now()), 36), version: 1, entries: map[scheduler.EndpointID]endpoints.Entry{}}
	for _, e := range entries {
		r.entries[e.ID] = e
	}
	var err error
	r.listener, err = loop.Listen(addr, func(c eventloop.Conn) eventloop.Handler {
		return &watcher{roster: r, conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
	})
	if err != nil {
		return nil, err
	}
	r.Addr = r.listener.Addr()
	r.beat()
	return r, nil
}

// Publish passes changes on to all that watch.
func (r *Discovery) Publish(changes ...endpoints.Entry) {
	for _, e := range changes {
		r.entries[e.ID] = e
	}
	r.version++
	for _, w := range r.watchers {
		w.send(endpoints.Update{Epoch: r.epoch, Version: r.version, Since: r.version - 1, Endpoints: changes})
	}
}

// Replace takes a whole new list and tells what has changed by it.
func (r *Discovery) Replace(entries []endpoints.Entry) (changed int) {
	named := map[scheduler.EndpointID]bool{}
	var changes []endpoints.Entry
	for _, e := range entries {
		named[e.ID] = true
		if r.entries[e.ID] != e {
			changes = append(changes, e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		if e := r.entries[id]; !named[id] && e.Condition != "gone" {
			e.Condition = "gone"
			changes = append(changes, e)
		}
	}
	if len(changes) > 0 {
		r.Publish(changes...)
	}
	return len(changes)
}

func (r *Discovery) beat() {
	for _, w := range r.watchers {
		w.conn.Write(http1.AppendChunk(nil, []byte(": here\n\n")))
	}
	r.loop.AfterFunc(heartbeat, r.beat)
}

// Close ends it.
func (r *Discovery) Close() { r.listener.Close() }

// Entry is a host's line in the list.
func (h *Endpoint) Entry(condition string) endpoints.Entry {
	return endpoints.Entry{ID: scheduler.EndpointID(h.ID), Addr: h.Addr, Zone: h.Zone, Kind: h.kind.Name, Cell: h.Cell,
		Condition: condition, StartedAt: int64(h.started)}
}

// changed tells of a host's new condition, after a while.
func (f *Fleet) changed(h *Endpoint, condition string) {
	e := h.Entry(condition)
	f.loop.AfterFunc(eventloop.Micros(f.rand.Int63n(int64(f.d.Fleet.RosterLateMs)*1000+1)), func() {
		if condition == "draining" && !h.alive {
			return
		}
		if condition == "gone" && h.alive && h.started > 0 && e.StartedAt != int64(h.started) {
			return // it is back already; its start is told by the change that follows
		}
		if f.Discovery != nil {
			f.Discovery.Publish(e)
		}
	})
}

type watcher struct {
	roster *Discovery
	conn   eventloop.Conn
	parser http1.Parser
	name   string
	head   *http1.Head
}

func (w *watcher) Opened()  {}
func (w *watcher) Drained() {}
func (w *watcher) Data(b []byte) {
	if w.parser.Feed(b, w) != nil {
		w.conn.Abort()
	}
}
func (w *watcher) Closed(error) {
	w.roster.watchers = slices.DeleteFunc(w.roster.watchers, func(o *watcher) bool { return o == w })
}
func (w *watcher) Head(h *http1.Head) error { w.head = h; return nil }
func (w *watcher) Body([]byte) error        { return nil }
func (w *watcher) End() error {
	w.name = w.head.Get("x-dispatcher")
	w.conn.Write(http1.AppendStreamHead(nil, 200, "Content-Type", "text/event-stream"))
	r := w.roster
	all := endpoints.Update{Epoch: r.epoch, Version: r.version, Complete: true}
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		all.Endpoints = append(all.Endpoints, r.entries[id])
	}
	w.send(all)
	r.watchers = append(r.watchers, w)
	return nil
}

func (w *watcher) send(l endpoints.Update) {
	b, _ := json.Marshal(l)
	w.conn.Write(http1.AppendChunk(nil, sse.Append(nil, b)))
	book := w.roster.book
	if book == nil {
		return
	}
	now := int64(w.roster.loop.Now())
	for _, e := range l.Endpoints {
		book.Add(record.Event{At: now, Type: "told", Dispatcher: w.name, Endpoint: uint32(e.ID), Detail: e.Condition})
	}
}

// ResetWatches resets the connections of all that watch, as a network does.
func (r *Discovery) ResetWatches() {
	for _, w := range slices.Clone(r.watchers) {
		w.conn.Abort()
	}
}
