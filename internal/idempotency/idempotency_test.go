package idempotency

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

var testLimits = Limits{Entries: 6, Bytes: 60, AnswerBytes: 25}

// modelEntry is what the model knows of one key.
type modelEntry struct {
	entry     *Entry
	request   uint64
	ended     bool
	completed bool
	expiresAt Micros
	streamed  string
}

// model tracks the remembered keys in a plain map, independently of the cache.
type model struct {
	t       *rapid.T
	cache   *Cache
	now     Micros
	entries map[Key]*modelEntry
}

func (m *model) advance() {
	m.now += Micros(rapid.IntRange(0, 30).Draw(m.t, "wait"))
	for key, e := range m.entries {
		if e.ended && e.expiresAt <= m.now {
			delete(m.entries, key)
		}
	}
}

func (m *model) begin(key Key) {
	request := uint64(rapid.IntRange(0, 1).Draw(m.t, "request"))
	known := m.entries[key]
	decision, entry := m.cache.Begin(m.now, key, request)
	switch {
	case known == nil && len(m.entries) >= testLimits.Entries:
		if decision != Full {
			m.t.Fatalf("%d keys are remembered, and a new key got decision %d, want Full", len(m.entries), decision)
		}
	case known == nil:
		if decision != New {
			m.t.Fatalf("a new key got decision %d, want New", decision)
		}
		m.entries[key] = &modelEntry{entry: entry, request: request}
	case known.request != request:
		if decision != Conflict {
			m.t.Fatalf("another request with a known key got decision %d, want Conflict", decision)
		}
	case decision == New || decision == Full:
		m.t.Fatalf("a remembered key got decision %d", decision)
	case decision == Replay && !(known.ended && known.completed), decision == Join && known.ended:
		m.t.Fatalf("a request with ended %v and completed %v got decision %d", known.ended, known.completed, decision)
	case decision == Replay || decision == Join:
		if buffered := string(bytes.Join(entry.Events, nil)); buffered != known.streamed {
			m.t.Fatalf("buffered %q, streamed %q", buffered, known.streamed)
		}
	}
}

func (m *model) stream(known *modelEntry) {
	text := fmt.Sprint(rapid.IntRange(0, 99999).Draw(m.t, "text"))
	known.streamed += text
	m.cache.AddEvent(known.entry, []byte(text))
}

func (m *model) end(key Key, known *modelEntry) {
	windows := []Micros{50, 200}
	ran := rapid.Bool().Draw(m.t, "ran")
	known.completed = ran && rapid.Bool().Draw(m.t, "completed")
	window := windows[rapid.IntRange(0, 1).Draw(m.t, "window")]
	m.cache.End(m.now, known.entry, Outcome{Completed: known.completed, MayHaveRun: ran, Window: window})
	known.ended, known.expiresAt = true, m.now+window
	if !ran {
		delete(m.entries, key)
	}
}

// TestCacheAgreesWithModel checks that a key whose request may have run is not New again within its window, however
// small the limits; that the bytes and keys stay within the limits; and that the replayed events are those that were
// streamed.
func TestCacheAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, cache: NewCache(testLimits), entries: map[Key]*modelEntry{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.advance()
			key := Key{byte(rapid.IntRange(0, 9).Draw(t, "key"))}
			known := m.entries[key]
			running := known != nil && !known.ended
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action <= 1:
				m.begin(key)
			case action == 2 && running:
				m.stream(known)
			case action == 3 && running:
				m.end(key, known)
			}
			if keys, size := m.cache.Len(), m.cache.Bytes(); keys > testLimits.Entries || size > testLimits.Bytes || size < 0 {
				t.Fatalf("%d keys and %d bytes exceed the limits", keys, size)
			}
		}
	})
}

// TestKeysBeyondTheLimitAreRefused checks that keys beyond the limit are refused, and that a key is free again only
// once its window has passed.
func TestKeysBeyondTheLimitAreRefused(t *testing.T) {
	const limit, window = 1000, 10000
	cache := NewCache(Limits{Entries: limit, Bytes: 1 << 20, AnswerBytes: 1 << 10})
	for i := range 5 * limit {
		decision, entry := cache.Begin(Micros(i), Key{byte(i), byte(i >> 8)}, 1)
		if (decision == New) != (i < limit) || decision != New && decision != Full {
			t.Fatalf("key %d got decision %d", i, decision)
		}
		if entry != nil {
			cache.AddEvent(entry, make([]byte, 500))
			cache.End(Micros(i), entry, Outcome{Completed: true, MayHaveRun: true, Window: window})
		}
	}
	if decision, _ := cache.Begin(10500, Key{1}, 1); decision != New {
		t.Errorf("after its window a key got decision %d, want New", decision)
	}
	if decision, _ := cache.Begin(10500, Key{99, 3}, 1); decision != Replay {
		t.Errorf("within its window a key got decision %d, want Replay", decision)
	}
}
