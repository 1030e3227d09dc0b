package http1

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// recorder is a Handler that logs its calls.
type recorder struct {
	log  []string
	body []byte
}

func (r *recorder) Head(head *Head) error {
	r.log = append(r.log, fmt.Sprintf("%s%s %d %d", head.Method, head.Target, head.Status, len(head.Fields)))
	r.body = nil
	return nil
}

func (r *recorder) Body(b []byte) error {
	r.body = append(r.body, b...)
	return nil
}

func (r *recorder) End() error {
	r.log = append(r.log, "end "+string(r.body))
	return nil
}

// parse feeds text to a parser in pieces of the given size, closes the parser, and returns the log of the handler's
// calls.
func parse(text string, size int, response bool) (string, error) {
	p := Parser{Response: response, Limits: Limits{HeadBytes: 200, FieldCount: 5, BodyBytes: 50}}
	r := &recorder{}
	var err error
	for b := []byte(text); len(b) > 0 && err == nil; {
		n := min(size, len(b))
		err = p.Feed(b[:n], r)
		b = b[n:]
	}
	if err == nil {
		err = p.Close(r)
	}
	return strings.Join(r.log, "|"), err
}

type parserTest struct {
	text string
	want string
	// The status code and the kind of the expected error, if any.
	status int
	kind   error
}

func (test parserTest) run(t *testing.T, response bool) {
	t.Helper()
	for _, size := range []int{1, 2, 7, 1000} {
		got, err := parse(test.text, size, response)
		status := 0
		var protocol *ProtocolError
		if errors.As(err, &protocol) {
			status = protocol.Status
		}
		if got != test.want || status != test.status || !errors.Is(err, test.kind) {
			t.Errorf("%.60q in pieces of %d: %q, %v; want %q, %d, %v",
				test.text, size, got, err, test.want, test.status, test.kind)
		}
	}
}

const chunkedHead = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"

func TestParserReadsRequestsHoweverTheyAreCut(t *testing.T) {
	for _, test := range []parserTest{
		{text: "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", want: "GET/a 0 1|end "},
		{text: "\r\nPOST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.0\r\n\r\n",
			want: "POST/a 0 1|end abc|GET/b 0 0|end "},
		{text: "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n",
			want: "POST/a 0 1|end abcde"},
		{text: "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", want: "POST/ 0 2|end abc"},
	} {
		test.run(t, false)
	}
}

func TestParserRejectsRequestsHoweverTheyAreCut(t *testing.T) {
	for _, test := range []parserTest{
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "", 400, ErrMalformed},
		{"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", "", 400, ErrMalformed},
		{"POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n", "", 400, ErrMalformed},
		{"POST / HTTP/1.1\r\nContent-Length: 51\r\n\r\n", "", 413, ErrBodyTooLarge},
		{chunkedHead + "zz\r\n", "POST/ 0 1", 400, ErrMalformed},
		{chunkedHead + "3\r\nabcd\r\n", "POST/ 0 1", 400, ErrMalformed},
		{chunkedHead + "3\nabc", "POST/ 0 1", 400, ErrMalformed},
		{chunkedHead + "33\r\n" + strings.Repeat("a", 60), "POST/ 0 1", 413, ErrBodyTooLarge},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "", 501, ErrUnsupportedCoding},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", "", 400, ErrMalformed},
		{"GET / HTTP/2.0\r\n\r\n", "", 505, ErrUnsupportedVersion},
		{"GET  / HTTP/1.1\r\n\r\n", "", 400, ErrMalformed},
		{"GET / HTTP/1.1 x\r\n\r\n", "", 400, ErrMalformed},
		{"GET /\r\n\r\n", "", 400, ErrMalformed},
		{"GET / HTTP/1.1\r\nA : b\r\n\r\n", "", 400, ErrMalformed},
		{"GET / HTTP/1.1\r\n folded\r\n\r\n", "", 400, ErrMalformed},
		{"GET / HTTP/1.1\r\nA: b\x00c\r\n\r\n", "", 400, ErrMalformed},
		{"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 300), "", 431, ErrHeadTooLarge},
		{"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 6) + "\r\n", "", 431, ErrHeadTooLarge},
		{"GET / HTTP/1.1\r\nA: b\r\n", "", 400, ErrTruncated},
	} {
		test.run(t, false)
	}
}

func TestParserReadsResponsesHoweverTheyAreCut(t *testing.T) {
	for _, test := range []parserTest{
		{text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", want: " 200 1|end hi"},
		{text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n", want: " 204 0|end "},
		{text: "HTTP/1.1 200 OK\r\n\r\nuntil the close", want: " 200 0|end until the close"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", " 200 1", 400, ErrTruncated},
		{"HTTP/1.1 20\r\n\r\n", "", 400, ErrMalformed},
	} {
		test.run(t, true)
	}
}

func FuzzParserIsIndependentOfCuts(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"),
		3, false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 204 x\r\n\r\n"), 1, true)
	f.Add([]byte("GET / HTTP/1.1\r\nA: b\r\n\r\n\r\n"), 5, false)
	f.Fuzz(func(t *testing.T, b []byte, size int, response bool) {
		if size < 1 || size > 100 {
			return
		}
		whole, wholeErr := parse(string(b), len(b)+1, response)
		cut, cutErr := parse(string(b), size, response)
		if (wholeErr == nil) != (cutErr == nil) || wholeErr == nil && whole != cut {
			t.Errorf("whole: %q, %v; in pieces of %d: %q, %v", whole, wholeErr, size, cut, cutErr)
		}
	})
}

// A response parser must reject bytes that don't begin with a status line without waiting for the end of the head,
// which may never come.
func TestResponseParserRejectsOtherProtocolsAtOnce(t *testing.T) {
	for _, text := range []string{"\x01", "HTTP/2", "HTTX", "<html>"} {
		p := Parser{Response: true, Limits: DefaultLimits}
		if err := p.Feed([]byte(text), nil); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q was not rejected at once: %v", text, err)
		}
	}
	p := Parser{Response: true, Limits: DefaultLimits}
	for _, c := range "HTTP/1.1 2" {
		if err := p.Feed([]byte(string(c)), nil); err != nil {
			t.Fatalf("a status line in pieces was rejected: %v", err)
		}
	}
}

// discardHandler is a Handler that ignores all calls.
type discardHandler struct{}

func (discardHandler) Head(*Head) error  { return nil }
func (discardHandler) Body([]byte) error { return nil }
func (discardHandler) End() error        { return nil }

// BenchmarkParser parses a request with a body of known length, and a response with a chunked body.
func BenchmarkParser(b *testing.B) {
	request := []byte("POST /v1/chat/completions HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nContent-Type: application/json\r\n" +
		"Authorization: Bearer 0123456789abcdef\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024))
	response := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 64 {
		response = append(response, "64\r\n"+strings.Repeat("y", 100)+"\r\n"...)
	}
	response = append(response, "0\r\n\r\n"...)
	for _, run := range []struct {
		name     string
		message  []byte
		response bool
	}{{"request", request, false}, {"chunked response", response, true}} {
		b.Run(run.name, func(b *testing.B) {
			p := Parser{Response: run.response, Limits: DefaultLimits}
			b.SetBytes(int64(len(run.message)))
			b.ReportAllocs()
			for b.Loop() {
				if err := p.Feed(run.message, discardHandler{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// For each head, up to Limits.HeadBytes of what followed it were copied, so that many small pipelined heads cost far
// more than their size.
func TestPipelinedHeadsCostTheirOwnSize(t *testing.T) {
	const heads, maxBytesEach = 10000, 1 << 10
	data := []byte(strings.Repeat("GET / HTTP/1.1\r\n\r\n", heads))
	p := Parser{Limits: DefaultLimits}
	r := &headCounter{}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if err := p.Feed(data, r); err != nil || r.heads != heads {
		t.Fatalf("%d heads, %v", r.heads, err)
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / heads; each > maxBytesEach {
		t.Errorf("%d bytes of memory were allocated for each head", each)
	}
}

// headCounter is a Handler that counts heads.
type headCounter struct{ heads int }

func (c *headCounter) Head(*Head) error {
	c.heads++
	return nil
}

func (c *headCounter) Body([]byte) error { return nil }

func (c *headCounter) End() error { return nil }
