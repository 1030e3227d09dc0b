package discovery

import (
	"github.com/cespare/xxhash/v2"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/starttimes"
	"plumspindle/scheduler"
)

const (
	// recordRetention is how long the ID of a removed endpoint is not given to another: longer than the scheduler
	// remembers endpoints.
	recordRetention = 1800 * eventloop.Second
	cleanupInterval = recordRetention / 10
	// newestPrecedence is how long a list takes precedence over an older one that is received after it, as from another
	// replica of discovery that lags. After that the source may have restarted its count.
	newestPrecedence = 60 * eventloop.Second
)

// record is what is remembered of an endpoint between two lists.
type record struct {
	name      string
	removedAt eventloop.Micros // 0: it is listed

	// As the newest list had it, and when that was.
	start    starttimes.Start
	retired  bool // it accepts no new requests
	listedAt eventloop.Micros
}

// EndpointID returns the ID of an endpoint: a hash of its name and nothing else, so that all dispatchers agree on the
// affinity endpoints of a prefix, also after a restart. Where two names have the same hash, the later one is hashed
// again with a suffix.
func (w *Watcher) EndpointID(name string) scheduler.EndpointID {
	hashed := name
	for {
		id := scheduler.EndpointID(xxhash.Sum64String(hashed))
		known := w.records[id]
		if known == nil {
			w.records[id] = &record{name: name}
			return id
		}
		if known.name == name {
			return id
		}
		hashed += "+"
	}
}

// reconcile stops an older list from taking back what a newer one said: that an endpoint accepts no new requests, or
// that it has restarted.
func (w *Watcher) reconcile(known *record, entry *Entry, version uint64, now eventloop.Micros) {
	if version < w.newest && now-known.listedAt < newestPrecedence {
		if known.retired && entry.start.Timestamp <= known.start.Timestamp {
			entry.State = scheduler.Draining
		}
		entry.start = known.start
		return
	}
	known.start = entry.start
	known.retired = entry.State != scheduler.Ready
	known.listedAt = now
}

// markUnlisted marks what a complete list leaves out as removed.
func (w *Watcher) markUnlisted(entries []Entry, now eventloop.Micros) {
	listed := map[scheduler.EndpointID]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for id, known := range w.records {
		if known.removedAt == 0 && !listed[id] {
			known.removedAt, known.retired, known.listedAt = now, true, now
		}
	}
}

// removeExpired drops the records of endpoints that were removed long ago: in months many are replaced under new names.
func (w *Watcher) removeExpired(now eventloop.Micros) {
	if now-w.lastCleanup < cleanupInterval {
		return
	}
	w.lastCleanup = now
	for id, known := range w.records {
		if known.removedAt > 0 && now-known.removedAt > recordRetention {
			delete(w.records, id)
		}
	}
}
