// Package idempotency decides what a client's repeat of a generation with the same Idempotency-Key is answered with. It is
// free of I/O. A key is remembered from the moment that its generation is taken; it is forgotten at once where nothing
// ran, and else only when its window has passed: never to make room, since a forgotten key could run twice.
package idempotency

import "plumspindle/scheduler/timerqueue"

// Micros is a time or a span in whole microseconds.
type Micros = timerqueue.Micros

// Key names a tenant's product and what its client called the generation, as a digest.
type Key [16]byte

// Decision is what becomes of a request with a key.
type Decision uint8

const (
	New        Decision = iota // run it
	Join                       // it is running, and all that was streamed is here: be sent that, then what follows
	Replay                     // it has been streamed, and all of it is here
	AlreadyRan                 // it ran or may have run, and its answer is not here any more
	Conflict                   // the key was used for another request
	Full                       // no more keys can be remembered: nothing may run that would have to be
)

// Entry is one remembered generation.
type Entry struct {
	key     Key
	request uint64 // digest of what was asked
	until   Micros // 0 while it runs
	whole   bool   // all events are here
	ended   bool
	good    bool // it was streamed to its end
	Events  [][]byte
	bytes   int
	gone    bool
}

// Cache remembers keys, within bounds on their number and on the bytes of answers kept for them.
type Cache struct {
	most, bytesMost, answerMost int
	entries                     map[Key]*Entry
	lines                       []*line // one for each length of window, each in the order of its ends
	bytes                       int
	// OnExpire is told of each key that is remembered no more.
	OnExpire func(Key)
	answers  []*Entry // whole answers, oldest first, whose events go first when bytes run short
}

// line holds ended entries of one window, which end in the order of their coming.
type line struct {
	window Micros
	queue  []*Entry
}

// NewCache makes one that remembers at most so many keys, and so many bytes of answers: in all, and of one.
func NewCache(most, bytesMost, answerMost int) *Cache {
	return &Cache{most: most, bytesMost: bytesMost, answerMost: answerMost, entries: map[Key]*Entry{}}
}

// Len is how many keys are remembered, Bytes what their answers take.
func (b *Cache) Len() int   { return len(b.entries) }
func (b *Cache) Bytes() int { return b.bytes }

// Begin takes a request. For New the entry is to be told of what becomes of it; for Join and Replay it holds what was
// streamed.
func (b *Cache) Begin(now Micros, key Key, request uint64) (Decision, *Entry) {
	b.expire(now)
	e := b.entries[key]
	switch {
	case e == nil && len(b.entries) >= b.most:
		return Full, nil
	case e == nil:
		e = &Entry{key: key, request: request, whole: true}
		b.entries[key] = e
		return New, e
	case e.request != request:
		return Conflict, nil
	case !e.whole:
		return AlreadyRan, nil
	case !e.ended:
		return Join, e
	case e.good:
		return Replay, e
	}
	return AlreadyRan, nil
}

// AddEvent keeps one more event of a running answer, while the bounds let it. Room is made by dropping the answers that
// ended first, never by dropping a key.
func (b *Cache) AddEvent(e *Entry, data []byte) {
	if !e.whole || e.gone {
		return
	}
	if e.bytes+len(data) > b.answerMost {
		b.drop(e)
		return
	}
	for b.bytes+len(data) > b.bytesMost {
		if len(b.answers) == 0 {
			b.drop(e)
			return
		}
		oldest := b.answers[0]
		b.answers[0] = nil
		b.answers = b.answers[1:]
		b.drop(oldest)
	}
	e.Events = append(e.Events, append([]byte(nil), data...))
	e.bytes += len(data)
	b.bytes += len(data)
}

func (b *Cache) drop(e *Entry) {
	b.bytes -= e.bytes
	e.Events, e.bytes, e.whole = nil, 0, false
}

// End tells how a generation came out. Where nothing ran its key is free again at once.
func (b *Cache) End(now Micros, e *Entry, good, mayHaveRun bool, window Micros) {
	if e.ended || e.gone {
		return
	}
	e.ended, e.good = true, good
	if !mayHaveRun {
		b.forget(e)
		return
	}
	e.until = now + window
	if good && e.whole {
		b.answers = append(b.answers, e)
	} else {
		b.drop(e) // half an answer serves nobody who comes later
	}
	b.queue(e, window)
}

func (b *Cache) queue(e *Entry, window Micros) {
	for _, l := range b.lines {
		if l.window == window {
			l.queue = append(l.queue, e)
			return
		}
	}
	b.lines = append(b.lines, &line{window, []*Entry{e}})
}

func (b *Cache) forget(e *Entry) {
	b.drop(e)
	e.gone = true
	delete(b.entries, e.key)
	if b.OnExpire != nil {
		b.OnExpire(e.key)
	}
}

// Key and Request are what an entry is for; Until when it is forgotten, 0 while it runs.
func (e *Entry) Key() Key        { return e.key }
func (e *Entry) Request() uint64 { return e.request }
func (e *Entry) Until() Micros   { return e.until }

// Restore puts back what an earlier life of the dispatcher had remembered: it ran or may have run, and its answer is not
// here. It is for a book that is new; keys come in the order of their ends. One more than the bound is taken all the same:
// the bound is on what may run, and this has.
func (b *Cache) Restore(key Key, request uint64, until, window Micros) {
	e := &Entry{key: key, request: request, until: until, ended: true}
	b.entries[key] = e
	b.queue(e, window)
}

func (b *Cache) expire(now Micros) {
	for _, l := range b.lines {
		n := 0
		for n < len(l.queue) && l.queue[n].until <= now {
			b.forget(l.queue[n])
			l.queue[n] = nil
			n++
		}
		l.queue = l.queue[n:]
	}
	for len(b.answers) > 0 && b.answers[0].gone {
		b.answers[0] = nil
		b.answers = b.answers[1:]
	}
}
