// Package idempotency decides how to answer a request that repeats an earlier one with the same Idempotency-Key.
//
// It owns the cache of keys and of the answers that can be replayed, within bounds on both. It relies on its caller for
// the time and for the order of events. It never does I/O, and it never evicts a key to make space for another: the
// request of a key that is forgotten before its window has passed could run twice.
package idempotency

import "plumspindle/scheduler/timerqueue"

// Micros is a time or a span in whole microseconds.
type Micros = timerqueue.Micros

// Key is the digest of a tenant's product and of the Idempotency-Key that its client sent.
type Key [16]byte

// Decision is how a request with a key is answered.
type Decision uint8

// The decisions that Begin can return.
const (
	New        Decision = iota // not seen before: run it
	Join                       // running with its events buffered: replay them, then follow
	Replay                     // completed with its events buffered: replay them
	AlreadyRan                 // ran or may have run, and its answer is not buffered
	Conflict                   // the key was used for another request
	Full                       // the limit on keys is reached, so that no new request may run
)

// Limits bounds what a cache remembers.
type Limits struct {
	Entries     int // keys
	Bytes       int // buffered answers, all together
	AnswerBytes int // one buffered answer
}

// Outcome is how a request ended.
type Outcome struct {
	Completed  bool
	MayHaveRun bool
	Window     Micros // how long its key is remembered
}

// Record is a key that outlives its dispatcher.
type Record struct {
	Key     Key
	Request uint64 // digest of the request
	Until   Micros // when the key expires
	Window  Micros
}

// Entry is one remembered request.
type Entry struct {
	Events [][]byte // the streamed events, while they are buffered

	key       Key
	request   uint64 // digest of the request
	until     Micros // when it expires; 0 while it runs
	bytes     int    // of Events
	buffered  bool   // Events has everything that was streamed
	ended     bool
	completed bool
	expired   bool
}

// Key returns the entry's key.
func (e *Entry) Key() Key { return e.key }

// Request returns the digest of the entry's request.
func (e *Entry) Request() uint64 { return e.request }

// Until returns when the entry expires, 0 while its request runs.
func (e *Entry) Until() Micros { return e.until }

// Cache remembers keys and answers within its limits.
type Cache struct {
	// OnExpire, if set, is called with each key that is forgotten.
	OnExpire func(Key)

	limits    Limits
	entries   map[Key]*Entry
	expiries  []*expiryQueue
	completed []*Entry // buffered answers in the order of their ends, in which they are dropped
	bytes     int
}

// expiryQueue has the ended entries of one window, which expire in the order in which they were added.
type expiryQueue struct {
	window  Micros
	entries []*Entry
}

// NewCache returns an empty cache.
func NewCache(limits Limits) *Cache {
	return &Cache{limits: limits, entries: map[Key]*Entry{}}
}

// Len returns the number of remembered keys.
func (c *Cache) Len() int { return len(c.entries) }

// Bytes returns the size of all buffered answers.
func (c *Cache) Bytes() int { return c.bytes }

// Begin decides on a request. For New the caller reports the request's events and end on the entry; for Join and
// Replay the entry has what was streamed; otherwise the entry is nil.
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

// AddEvent buffers one more event of a running answer, as far as the limits allow. Answers that completed earlier are
// dropped to make space, but no keys.
func (c *Cache) AddEvent(e *Entry, data []byte) {
	if !e.buffered || e.expired {
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

// End reports how a request ended. Where nothing ran, its key is free again at once.
func (c *Cache) End(now Micros, e *Entry, outcome Outcome) {
	if e.ended || e.expired {
		return
	}
	e.ended, e.completed = true, outcome.Completed
	if !outcome.MayHaveRun {
		c.forget(e)
		return
	}
	e.until = now + outcome.Window
	if e.completed && e.buffered {
		c.completed = append(c.completed, e)
	} else {
		c.dropEvents(e) // an incomplete answer can't be replayed
	}
	c.scheduleExpiry(e, outcome.Window)
}

// Restore adds a key that an earlier process remembered: its request ran or may have run, and its answer is lost. It
// must be called on a new cache, in the order of Until. Records beyond the limit on entries are added too: the limit
// restricts what may run, and these have run.
func (c *Cache) Restore(record Record) {
	e := &Entry{key: record.Key, request: record.Request, until: record.Until, ended: true}
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
		for n < len(queue.entries) && queue.entries[n].until <= now {
			c.forget(queue.entries[n])
			queue.entries[n] = nil
			n++
		}
		queue.entries = queue.entries[n:]
	}
	for len(c.completed) > 0 && c.completed[0].expired {
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

func (c *Cache) forget(e *Entry) {
	c.dropEvents(e)
	e.expired = true
	delete(c.entries, e.key)
	if c.OnExpire != nil {
		c.OnExpire(e.key)
	}
}
