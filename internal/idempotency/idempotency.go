// Package idempotency decides how to answer a request that repeats an earlier one with the same Idempotency-Key.
//
// It has a cache of keys and of the answers that can be replayed, and bounds both. The caller supplies the time and the
// order of events. The package does no I/O. It never evicts a key to make space for another, because a request whose
// key is forgotten before its window has passed could run twice.
package idempotency

import "plumspindle/scheduler/timerqueue"

// Micros is a time or a duration in whole microseconds.
type Micros = timerqueue.Micros

// Key is the digest of the tenant, the product and the Idempotency-Key that the client sent.
type Key [16]byte

// Decision says how to answer a request with a key.
type Decision uint8

// The decisions that Begin can return.
const (
	New        Decision = iota // the key is not remembered, so run the request
	Join                       // the first request is running and its events are buffered, so replay and then follow them
	Replay                     // the first request completed and its events are buffered, so replay these
	AlreadyRan                 // the first request ran or may have run, and its answer is not buffered
	Conflict                   // the key was used for a different request
	Full                       // the limit on keys is reached, so a request with a new key must not run
)

// Limits bounds the size of a cache.
type Limits struct {
	Entries     int // maximum number of keys
	Bytes       int // maximum size of all buffered answers together
	AnswerBytes int // maximum size of one buffered answer
}

// Outcome says how a request ended.
type Outcome struct {
	Completed  bool
	MayHaveRun bool
	Window     Micros // how long the key is remembered after the request's end
}

// Record is a key as it is stored for a restart of the dispatcher.
type Record struct {
	Key       Key
	Request   uint64 // digest of the request
	ExpiresAt Micros // when the key expires; 0 while its request runs
	Window    Micros // how long the key is remembered after the request's end
}

// Entry is one remembered key with its request's answer.
type Entry struct {
	Events [][]byte // the events of the answer, while they are buffered

	key       Key
	request   uint64 // digest of the request
	expiresAt Micros // when the key expires; 0 while the request runs
	bytes     int    // total size of Events
	buffered  bool   // Events has every event that was streamed
	ended     bool
	completed bool
	removed   bool // the entry is no longer in the cache
}

// Key returns the entry's key.
func (e *Entry) Key() Key { return e.key }

// Request returns the digest of the entry's request.
func (e *Entry) Request() uint64 { return e.request }

// ExpiresAt returns when the entry expires; 0 while its request runs.
func (e *Entry) ExpiresAt() Micros { return e.expiresAt }

// Cache holds keys and answers within its limits.
type Cache struct {
	// OnExpire, if set, is called with each key that is removed. A key is removed when it expires, or when its request
	// ends without having run.
	OnExpire func(Key)

	limits    Limits
	entries   map[Key]*Entry
	expiries  []*expiryQueue
	completed []*Entry // entries with a buffered answer, oldest end first; answers are dropped in this order
	bytes     int
}

// expiryQueue holds the ended entries with the same window, which expire in the order in which they were added.
type expiryQueue struct {
	window  Micros
	entries []*Entry
}

// NewCache returns an empty cache.
func NewCache(limits Limits) *Cache {
	return &Cache{limits: limits, entries: map[Key]*Entry{}}
}

// Len returns the number of keys in the cache.
func (c *Cache) Len() int { return len(c.entries) }

// Bytes returns the total size of all buffered answers.
func (c *Cache) Bytes() int { return c.bytes }

// Begin decides how to answer a request with a key. For New, the caller passes the entry to AddEvent with each event of
// the answer, and to End when the request has ended. For Join and Replay, the entry has the events that were streamed.
// For all other decisions the entry is nil.
func (c *Cache) Begin(now Micros, key Key, request uint64) (Decision, *Entry) {
	c.expire(now)
	e := c.entries[key]
	switch {
	case e == nil && len(c.entries) >= c.limits.Entries:
		return Full, nil
	case e == nil:
		e = &Entry{key: key, request: request, buffered: true}
		c.entries[key] = e
		return New, e
	case e.request != request:
		return Conflict, nil
	case !e.buffered:
		return AlreadyRan, nil
	case !e.ended:
		return Join, e
	case e.completed:
		return Replay, e
	}
	return AlreadyRan, nil
}

// AddEvent buffers the next event of a running answer. If there is no space left, it drops the buffered answers that
// completed first, but keeps their keys. An answer that exceeds the limits is no longer buffered.
func (c *Cache) AddEvent(e *Entry, data []byte) {
	if !e.buffered || e.removed {
		return
	}
	if e.bytes+len(data) > c.limits.AnswerBytes {
		c.dropEvents(e)
		return
	}
	for c.bytes+len(data) > c.limits.Bytes {
		if len(c.completed) == 0 {
			c.dropEvents(e)
			return
		}
		c.dropEvents(c.popCompleted())
	}
	e.Events = append(e.Events, append([]byte(nil), data...))
	e.bytes += len(data)
	c.bytes += len(data)
}

// End records how a request ended. If the request did not run, the key can be used again at once.
func (c *Cache) End(now Micros, e *Entry, outcome Outcome) {
	if e.ended || e.removed {
		return
	}
	e.ended, e.completed = true, outcome.Completed
	if !outcome.MayHaveRun {
		c.remove(e)
		return
	}
	e.expiresAt = now + outcome.Window
	if e.completed && e.buffered {
		c.completed = append(c.completed, e)
	} else {
		c.dropEvents(e) // an incomplete answer can't be replayed
	}
	c.scheduleExpiry(e, outcome.Window)
}

// Restore adds a key that an earlier process recorded. The key's request ran or may have run, and the answer is lost.
// The caller must restore into a new cache, in the order of ExpiresAt. Restore adds records even beyond the limit on
// entries, because that limit decides which requests may run, and the restored requests may already have run.
func (c *Cache) Restore(record Record) {
	e := &Entry{key: record.Key, request: record.Request, expiresAt: record.ExpiresAt, ended: true}
	c.entries[record.Key] = e
	c.scheduleExpiry(e, record.Window)
}

func (c *Cache) scheduleExpiry(e *Entry, window Micros) {
	for _, queue := range c.expiries {
		if queue.window == window {
			queue.entries = append(queue.entries, e)
			return
		}
	}
	c.expiries = append(c.expiries, &expiryQueue{window, []*Entry{e}})
}

func (c *Cache) expire(now Micros) {
	for _, queue := range c.expiries {
		n := 0
		for n < len(queue.entries) && queue.entries[n].expiresAt <= now {
			c.remove(queue.entries[n])
			queue.entries[n] = nil
			n++
		}
		queue.entries = queue.entries[n:]
	}
	for len(c.completed) > 0 && c.completed[0].removed {
		c.popCompleted()
	}
}

func (c *Cache) popCompleted() *Entry {
	first := c.completed[0]
	c.completed[0] = nil
	c.completed = c.completed[1:]
	return first
}

func (c *Cache) dropEvents(e *Entry) {
	c.bytes -= e.bytes
	e.Events, e.bytes, e.buffered = nil, 0, false
}

func (c *Cache) remove(e *Entry) {
	c.dropEvents(e)
	e.removed = true
	delete(c.entries, e.key)
	if c.OnExpire != nil {
		c.OnExpire(e.key)
	}
}
