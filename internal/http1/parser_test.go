package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

type heard struct {
	log  []string
	body []byte
}

func (h *heard) Head(head *Head) error {
	h.log = append(h.log, fmt.Sprintf("%s%s %d %d", head.Method, head.Target, head.Status, len(head.Fields)))
	h.body = nil
	return nil
}
func (h *heard) Body(b []byte) error { h.body = append(h.body, b...); return nil }
func (h *heard) End() error          { h.log = append(h.log, "end "+string(h.body)); return nil }

// feed cuts the text into pieces of some size.
func feed(text string, size int, response bool) (string, error) {
	p := Parser{Response: response, Limits: Limits{HeadBytes: 200, FieldCount: 5, BodyBytes: 50}}
	h := &heard{}
	var err error
	for b := []byte(text); len(b) > 0 && err == nil; {
		n := min(size, len(b))
		err = p.Feed(b[:n], h)
		b = b[n:]
	}
	if err == nil {
		err = p.Close(h)
	}
	return strings.Join(h.log, "|"), err
}

func TestMessages(t *testing.T) {
	for _, c := range []struct {
		text     string
		response bool
		want     string
		status   int
	}{
		{"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", false, "GET/a 0 1|end ", 0},
		{"\r\nPOST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.0\r\n\r\n", false, "POST/a 0 1|end abc|GET/b 0 0|end ", 0},
		{"POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n", false, "POST/a 0 1|end abcde", 0},
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", false, "POST/ 0 2|end abc", 0},
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", false, "", 400},
		{"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", false, "", 400},
		{"POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n", false, "", 400},
		{"POST / HTTP/1.1\r\nContent-Length: 51\r\n\r\n", false, "", 413},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, "POST/ 0 1", 400},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n", false, "POST/ 0 1", 400},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc", false, "POST/ 0 1", 400},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n33\r\n" + strings.Repeat("a", 60), false, "POST/ 0 1", 413},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", false, "", 501},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", false, "", 400},
		{"GET / HTTP/2.0\r\n\r\n", false, "", 505},
		{"GET  / HTTP/1.1\r\n\r\n", false, "", 400},
		{"GET / HTTP/1.1\r\nA : b\r\n\r\n", false, "", 400},
		{"GET / HTTP/1.1\r\n folded\r\n\r\n", false, "", 400},
		{"GET / HTTP/1.1\r\nA: b\x00c\r\n\r\n", false, "", 400},
		{"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 300), false, "", 431},
		{"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 6) + "\r\n", false, "", 431},
		{"GET / HTTP/1.1\r\nA: b\r\n", false, "", 400},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", true, " 200 1|end hi", 0},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n", true, " 204 0|end ", 0},
		{"HTTP/1.1 200 OK\r\n\r\nuntil the close", true, " 200 0|end until the close", 0},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", true, " 200 1", 400},
		{"HTTP/1.1 20\r\n\r\n", true, "", 400},
	} {
		for _, size := range []int{1, 2, 7, 1000} {
			got, err := feed(c.text, size, c.response)
			var f *ProtocolError
			status := 0
			if errors.As(err, &f) {
				status = f.Status
			}
			if got != c.want || status != c.status {
				t.Errorf("%.60q in pieces of %d: %q, %v; want %q, %d", c.text, size, got, err, c.want, c.status)
			}
		}
	}
}

// However the bytes are cut, the same is read from them.
func FuzzParser(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"), 3, false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 204 x\r\n\r\n"), 1, true)
	f.Add([]byte("GET / HTTP/1.1\r\nA: b\r\n\r\n\r\n"), 5, false)
	f.Fuzz(func(t *testing.T, b []byte, size int, response bool) {
		if size < 1 || size > 100 {
			return
		}
		whole, err1 := feed(string(b), len(b)+1, response)
		cut, err2 := feed(string(b), size, response)
		if (err1 == nil) != (err2 == nil) || err1 == nil && whole != cut {
			t.Errorf("whole: %q, %v; in pieces of %d: %q, %v", whole, err1, size, cut, err2)
		}
	})
}

// TestNoiseIsSeenAtOnce: what is no status line may never bring the end of a head.
func TestNoiseIsSeenAtOnce(t *testing.T) {
	for _, text := range []string{"\x01", "HTTP/2", "HTTX", "<html>"} {
		p := Parser{Response: true, Limits: DefaultLimits}
		if err := p.Feed([]byte(text), nil); err == nil {
			t.Errorf("%q was waited for", text)
		}
	}
	p := Parser{Response: true, Limits: DefaultLimits}
	for _, c := range "HTTP/1.1 2" {
		if err := p.Feed([]byte(string(c)), nil); err != nil {
			t.Fatalf("a status line that comes in pieces: %v", err)
		}
	}
}
