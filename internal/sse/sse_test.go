package sse

import (
	"fmt"
	"strings"
	"testing"
)

func feed(text string, size int) (string, error) {
	p := Parser{MaxEventBytes: 40}
	var got []string
	var err error
	for b := []byte(text); len(b) > 0 && err == nil; {
		n := min(size, len(b))
		err = p.Feed(b[:n], func(data []byte) error { got = append(got, string(data)); return nil })
		b = b[n:]
	}
	return fmt.Sprintf("%q idle %v", got, p.Idle()), err
}

func TestEvents(t *testing.T) {
	for text, want := range map[string]string{
		"data: a\n\ndata:b\r\n\r\ndata: c\r\r":    `["a" "b" "c"] idle true`,
		": comment\n\ndata: a\ndata: b\n\n":       `["a\nb"] idle true`,
		"event: x\nid: 3\ndata\n\ndatum: y\n\n":   `[""] idle true`,
		"data: a\n\ndata: half":                   `["a"] idle false`,
		string(Append(nil, []byte("{\"é\":1}"))):  `["{\"é\":1}"] idle true`,
		"data: " + strings.Repeat("x", 50) + "\n": "too long",
	} {
		for _, size := range []int{1, 2, 3, 100} {
			got, err := feed(text, size)
			if err != nil {
				got = "too long"
			}
			if got != want {
				t.Errorf("%q in pieces of %d: %s, want %s", text, size, got, want)
			}
		}
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: a\r\n\r\n: c\ndata: b\n\n"), 2)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		if size < 1 || size > 100 {
			return
		}
		whole, err1 := feed(string(b), len(b)+1)
		cut, err2 := feed(string(b), size)
		if (err1 == nil) != (err2 == nil) || err1 == nil && whole != cut {
			t.Errorf("whole: %s, %v; in pieces of %d: %s, %v", whole, err1, size, cut, err2)
		}
	})
}

// An event of several lines of data is read back as it was written.
func TestAppendLines(t *testing.T) {
	for _, data := range []string{"one", "two\nlines", "\n", "an end\n", "a\n\nb"} {
		p := Parser{MaxEventBytes: 100}
		var got []string
		err := p.Feed(Append(nil, []byte(data)), func(b []byte) error { got = append(got, string(b)); return nil })
		if err != nil || len(got) != 1 || got[0] != data {
			t.Errorf("%q was read back as %q, %v", data, got, err)
		}
	}
}
