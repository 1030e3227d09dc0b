package discovery

import (
	"github.com/cespare/xxhash/v2"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/starttimes"
	"plumspindle/scheduler"
)

const (
	// recordRetention is how long the ID of a removed endpoint is not assigned to another. The scheduler drops its own
	// state of a removed endpoint earlier.
	recordRetention = 1800 * eventloop.Second
	cleanupInterval = recordRetention / 10
	// newestPrecedence is how long a list takes precedence over one with a lower version that arrives later, for example
	// from a replica of discovery that lags behind. After that time the lower version counts as newer, because discovery
	// may have restarted its version count.
	newestPrecedence = 60 * eventloop.Second
)

// record is the state of an endpoint that the watcher keeps from one list to the next.
type record struct {
	name      string
	removedAt eventloop.Micros // 0 if the endpoint is listed

	// These fields come from the newest list.
	start    starttimes.Start
	notReady bool             // the endpoint accepts no new requests
	listedAt eventloop.Micros // when the newest list was received
}

// EndpointID returns the ID of an endpoint. The ID is a hash of the name alone, so that all dispatchers choose the same
// affinity endpoints for a prefix, also after a restart. If two names have the same hash, the one that is listed later
// is hashed again with a suffix.
func (w *Watcher) EndpointID(name string) scheduler.EndpointID {
	hashed := name
	for {
		id := scheduler.EndpointID(xxhash.Sum64String(hashed))
		stored := w.records[id]
		if stored == nil {
			w.records[id] = &record{name: name}
			return id
		}
		if stored.name == name {
			return id
		}
		hashed += "+"
	}
}

// reconcile updates an endpoint's record from an entry. If the entry's list is older than that of the record, reconcile
// corrects the entry from the record instead. Without this correction, the older entry would undo what a newer list has
// said: that the endpoint accepts no new requests, or that it has restarted.
func (w *Watcher) reconcile(stored *record, entry *Entry, version uint64, now eventloop.Micros) {
	if version < w.newestVersion && now-stored.listedAt < newestPrecedence {
		if stored.notReady && entry.start.Timestamp <= stored.start.Timestamp {
			entry.State = scheduler.Draining
		}
		entry.start = stored.start
		return
	}
	stored.start = entry.start
	stored.notReady = entry.State != scheduler.Ready
	stored.listedAt = now
}

// markUnlisted marks the endpoints that a complete list does not contain as removed.
func (w *Watcher) markUnlisted(entries []Entry, now eventloop.Micros) {
	listed := map[scheduler.EndpointID]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for id, stored := range w.records {
		if stored.removedAt == 0 && !listed[id] {
			stored.removedAt, stored.notReady, stored.listedAt = now, true, now
		}
	}
}

// removeExpired deletes the records of endpoints that were removed long ago. Without this removal the number of records
// would grow without bound, because over months many endpoints are replaced by others with new names.
func (w *Watcher) removeExpired(now eventloop.Micros) {
	if now-w.lastCleanup < cleanupInterval {
		return
	}
	w.lastCleanup = now
	for id, stored := range w.records {
		if stored.removedAt > 0 && now-stored.removedAt > recordRetention {
			delete(w.records, id)
		}
	}
}
