package subscribe

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/sse"
)

// feedInPieces feeds text to a parser in pieces of size bytes and returns the messages.
func feedInPieces(parser messageParser, text string, size int) (messages []string, err error) {
	for piece := range slices.Chunk([]byte(text), size) {
		err := parser.feed(eventloop.Second, piece, func(message []byte) error {
			messages = append(messages, string(message))
			return nil
		})
		if err != nil {
			return messages, err
		}
	}
	return messages, nil
}

func TestMessagesAreTheSameHoweverTheyArrive(t *testing.T) {
	for name, test := range map[string]struct {
		format Format
		text   string
		want   []string
	}{
		"objects on lines":   {JSONObjects, "{\"a\":1}\n\n{\"b\":[2]}\n", []string{`{"a":1}`, `{"b":[2]}`}},
		"object over lines":  {JSONObjects, "{\n\t\"a\": {\r\n}\n}", []string{"{\n\t\"a\": {\r\n}\n}"}},
		"objects unspaced":   {JSONObjects, `{}{"a":{}}`, []string{`{}`, `{"a":{}}`}},
		"braces in strings":  {JSONObjects, `{"a":"}\"}\\"} {"b":"]["}`, []string{`{"a":"}\"}\\"}`, `{"b":"]["}`}},
		"heartbeats only":    {JSONObjects, "\n \n\t", nil},
		"incomplete object":  {JSONObjects, `{"a":1} {"b":`, []string{`{"a":1}`}},
		"event stream":       {EventStream, "data: {\"a\":1}\n\n: here\n\ndata: x\n\n", []string{`{"a":1}`, "x"}},
		"incomplete event":   {EventStream, "data: x\n\ndata: y\n", []string{"x"}},
		"no messages at all": {EventStream, "", nil},
	} {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(test.text)+1; size++ {
				got, err := feedInPieces(newMessageParser(test.format), test.text, size)
				if err != nil || !slices.Equal(got, test.want) {
					t.Errorf("in pieces of %d: %q, %v, want %q", size, got, err, test.want)
				}
			}
		})
	}
}

func TestMessagesThatAreRejected(t *testing.T) {
	tooLong := strings.Repeat("x", maxMessageBytes)
	for name, test := range map[string]struct {
		format Format
		text   string
		want   error
	}{
		"array":           {JSONObjects, "[]", errNotObject},
		"text":            {JSONObjects, "\n x", errNotObject},
		"object too long": {JSONObjects, `{"a":"` + tooLong, sse.ErrEventTooLong},
		"event too long":  {EventStream, "data: " + tooLong, sse.ErrEventTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			const piece = 1 << 20
			if _, err := feedInPieces(newMessageParser(test.format), test.text, piece); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

func TestIncompleteObjectTellsWhenItBegan(t *testing.T) {
	parser := &objectParser{}
	ignore := func([]byte) error { return nil }
	for _, step := range []struct {
		now  eventloop.Micros
		text string
		want eventloop.Micros
	}{
		{1, "\n", 0},
		{2, ` {"a"`, 2},
		{3, `:1`, 2},
		{4, `} {`, 4},
		{5, `}`, 0},
	} {
		if err := parser.feed(step.now, []byte(step.text), ignore); err != nil {
			t.Fatal(err)
		}
		if got := parser.incompleteSince(); got != step.want {
			t.Errorf("at %d, after %q: incomplete since %d, want %d", step.now, step.text, got, step.want)
		}
	}
}

// FuzzObjectParser checks that the messages do not depend on how the text is divided into pieces, and that each message
// begins like an object.
func FuzzObjectParser(f *testing.F) {
	f.Add(`{"a":"}\""}`+"\n\n"+`{"b":[{}]}`, 3)
	f.Add(`{]`, 1)
	f.Fuzz(func(t *testing.T, text string, size int) {
		if size < 1 {
			return
		}
		whole, wholeErr := feedInPieces(&objectParser{}, text, len(text)+1)
		pieces, piecesErr := feedInPieces(&objectParser{}, text, size)
		if !slices.Equal(whole, pieces) || !errors.Is(piecesErr, wholeErr) {
			t.Errorf("%q, %v; in pieces %q, %v", whole, wholeErr, pieces, piecesErr)
		}
		for _, message := range whole {
			if message[0] != '{' {
				t.Errorf("message %q", message)
			}
		}
	})
}
