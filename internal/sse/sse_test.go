package sse

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

const testMaxEventBytes = 40

// feed feeds text to a parser in pieces of the given size. It returns a text that holds the data of the events and
// whether the parser is idle afterwards.
func feed(text string, size int) (string, error) {
	p := Parser{MaxEventBytes: testMaxEventBytes}
	var events []string
	var err error
	for chunk := []byte(text); len(chunk) > 0 && err == nil; {
		n := min(size, len(chunk))
		err = p.Feed(chunk[:n], func(data []byte) error { events = append(events, string(data)); return nil })
		chunk = chunk[n:]
	}
	return fmt.Sprintf("%q idle %v", events, p.Idle()), err
}

func TestParserReadsEventsHoweverTheyAreCut(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"data: a\n\ndata:b\r\n\r\ndata: c\r\r", `["a" "b" "c"] idle true`},
		{": comment\n\ndata: a\ndata: b\n\n", `["a\nb"] idle true`},
		{"event: x\nid: 3\ndata\n\ndatum: y\n\n", `[""] idle true`},
		{"data: a\n\ndata: half", `["a"] idle false`},
		{string(Append(nil, []byte("{\"é\":1}"))), `["{\"é\":1}"] idle true`},
	} {
		for _, size := range []int{1, 2, 3, 100} {
			got, err := feed(test.text, size)
			if err != nil || got != test.want {
				t.Errorf("%q in pieces of %d: %s, %v, want %s", test.text, size, got, err, test.want)
			}
		}
	}
}

func TestParserRejectsEventsThatAreTooLong(t *testing.T) {
	text := "data: " + strings.Repeat("x", 50) + "\n"
	for _, size := range []int{1, 2, 3, 100} {
		if got, err := feed(text, size); !errors.Is(err, ErrEventTooLong) {
			t.Errorf("in pieces of %d: %s, %v, want ErrEventTooLong", size, got, err)
		}
	}
}

func FuzzParserIsIndependentOfCuts(f *testing.F) {
	f.Add([]byte("data: a\r\n\r\n: c\ndata: b\n\n"), 2)
	f.Fuzz(func(t *testing.T, chunk []byte, size int) {
		if size < 1 || size > 100 {
			return
		}
		whole, wholeErr := feed(string(chunk), len(chunk)+1)
		cut, cutErr := feed(string(chunk), size)
		if (wholeErr == nil) != (cutErr == nil) || wholeErr == nil && whole != cut {
			t.Errorf("whole: %s, %v; in pieces of %d: %s, %v", whole, wholeErr, size, cut, cutErr)
		}
	})
}

func TestAppendedEventsAreReadBack(t *testing.T) {
	for _, data := range []string{"one", "two\nlines", "\n", "an end\n", "a\n\nb"} {
		p := Parser{MaxEventBytes: 100}
		var events []string
		handle := func(chunk []byte) error { events = append(events, string(chunk)); return nil }
		err := p.Feed(Append(nil, []byte(data)), handle)
		if err != nil || len(events) != 1 || events[0] != data {
			t.Errorf("%q was read back as %q, %v", data, events, err)
		}
	}
}

// BenchmarkParser parses a stream of chat events in pieces of 4 kB.
func BenchmarkParser(b *testing.B) {
	const readBytes = 4 << 10
	event := []byte(`{"id":"chat-1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"token"}}]}`)
	var stream []byte
	for len(stream) < 16*readBytes {
		stream = Append(stream, event)
	}
	events := 0
	count := func([]byte) error { events++; return nil }
	p := Parser{MaxEventBytes: 64 << 10}
	b.SetBytes(int64(len(stream)))
	b.ReportAllocs()
	for b.Loop() {
		for rest := stream; len(rest) > 0; {
			n := min(readBytes, len(rest))
			if err := p.Feed(rest[:n], count); err != nil {
				b.Fatal(err)
			}
			rest = rest[n:]
		}
	}
	if events == 0 {
		b.Fatal("no events")
	}
}
