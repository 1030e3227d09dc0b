package idempotency

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// A plain model beside the book: no key whose generation may have run is new again inside its window, whatever the
// bounds; bytes and keys stay within them; what is replayed is what was streamed.
func TestAgainstPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most, bytesMost, answerMost = 6, 60, 25
		b := NewCache(most, bytesMost, answerMost)
		type known struct {
			entry   *Entry
			request uint64
			ended   bool
			good    bool
			until   Micros
			all     string
		}
		model := map[Key]*known{}
		var now Micros
		windows := []Micros{50, 200}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += Micros(rapid.IntRange(0, 30).Draw(t, "wait"))
			for k, m := range model {
				if m.ended && m.until <= now {
					delete(model, k)
				}
			}
			key := Key{byte(rapid.IntRange(0, 9).Draw(t, "key"))}
			m := model[key]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				request := uint64(rapid.IntRange(0, 1).Draw(t, "request"))
				v, e := b.Begin(now, key, request)
				switch {
				case m == nil && len(model) >= most:
					if v != Full {
						t.Fatalf("%d keys remembered, and got %d", len(model), v)
					}
				case m == nil:
					if v != New {
						t.Fatalf("a new key got %d", v)
					}
					model[key] = &known{entry: e, request: request}
				case m.request != request:
					if v != Conflict {
						t.Fatalf("another request got %d", v)
					}
				case v == New || v == Full:
					t.Fatalf("a remembered key got %d", v)
				case v == Replay && !(m.ended && m.good), v == Join && m.ended:
					t.Fatalf("ended %v, good %v, and got %d", m.ended, m.good, v)
				case v == Replay || v == Join:
					all := ""
					for _, x := range e.Events {
						all += string(x)
					}
					if all != m.all {
						t.Fatalf("kept %q, streamed %q", all, m.all)
					}
				}
			case 2:
				if m != nil && !m.ended {
					text := fmt.Sprint(rapid.IntRange(0, 99999).Draw(t, "text"))
					m.all += text
					b.AddEvent(m.entry, []byte(text))
				}
			case 3:
				if m != nil && !m.ended {
					ran := rapid.Bool().Draw(t, "ran")
					m.good = ran && rapid.Bool().Draw(t, "good")
					window := windows[rapid.IntRange(0, 1).Draw(t, "window")]
					b.End(now, m.entry, m.good, ran, window)
					if m.ended, m.until = true, now+window; !ran {
						delete(model, key)
					}
				}
			}
			if b.Len() > most || b.Bytes() > bytesMost || b.Bytes() < 0 {
				t.Fatalf("%d keys, %d bytes", b.Len(), b.Bytes())
			}
		}
	})
}

// A flood of keys is refused at the bound, and room comes back with time only.
func TestFloodOfKeys(t *testing.T) {
	b := NewCache(1000, 1<<20, 1<<10)
	for i := range 5000 {
		v, e := b.Begin(Micros(i), Key{byte(i), byte(i >> 8)}, 1)
		if (v == New) != (i < 1000) || v != New && v != Full {
			t.Fatalf("key %d got %d", i, v)
		}
		if e != nil {
			b.AddEvent(e, make([]byte, 500))
			b.End(Micros(i), e, true, true, 10000)
		}
	}
	if v, _ := b.Begin(10500, Key{1}, 1); v != New {
		t.Errorf("after its window a key got %d", v)
	}
	if v, _ := b.Begin(10500, Key{99, 3}, 1); v != Replay {
		t.Errorf("within its window a key got %d", v)
	}
}
