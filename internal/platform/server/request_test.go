package server

import (
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

func TestParseTimeout(t *testing.T) {
	for text, want := range map[string]eventloop.Micros{
		"4800m":         4800 * eventloop.Millisecond,
		"17u":           17,
		"0m":            0,
		"999999999999u": maxTimeout,
	} {
		if got, err := parseTimeout(text); err != nil || got != want {
			t.Errorf("%q: %d, %v", text, got, err)
		}
	}
	for _, text := range []string{
		"", "m", "4800", "4.5m", "+4m", "-4m", " 4m", "4 m", "4ms", "4s", "0x4m", "99999999999999999999m",
	} {
		if got, err := parseTimeout(text); err == nil {
			t.Errorf("%q was decoded as %d, want an error", text, got)
		}
	}
}

// requestChecker parses requests in the way that the server does, and checks those that are accepted.
type requestChecker struct {
	t    *testing.T
	body []byte
}

func (c *requestChecker) Head(head *http1.Head) error {
	if isReadinessProbe(head) {
		return nil
	}
	request, rejection := parseRequest(head)
	if (request == nil) == (rejection == nil) {
		c.t.Errorf("%+v, %+v", request, rejection)
	}
	if request == nil {
		return nil
	}
	lengthsValid := request.PromptTokens >= 0 && request.PrefixTokens >= 0 && request.MaxOutputTokens >= 0
	if !validID(request.ID) || request.Timeout < 0 || !lengthsValid {
		c.t.Errorf("%+v", request)
	}
	forwarded := request.Target + strings.Join(request.Fields, "")
	if strings.ContainsAny(forwarded, "\r\n") || strings.Contains(request.ID, "/") {
		c.t.Errorf("a field that can't be forwarded unchanged: %+v", request)
	}
	return nil
}

func (c *requestChecker) Body(data []byte) error {
	c.body = append(c.body, data...)
	return nil
}

func (c *requestChecker) End() error {
	checkBody(c.body)
	c.body = nil
	return nil
}

func FuzzRequest(f *testing.F) {
	f.Add("POST /v1/chat/completions HTTP/1.1\r\nReq-Id: 9b1f\r\nReq-Kind: chat\r\nReq-Deadline: 4800m\r\n" +
		"Req-Extra: prefix=5c,prompt_len=5120,max_out=1e9\r\nContent-Length: 2\r\n\r\n{}")
	f.Add("GET /up HTTP/1.1\r\n\r\n" +
		"POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		p := http1.Parser{Limits: http1.Limits{HeadBytes: 16 << 10, FieldCount: 100, BodyBytes: 256 << 10}}
		_ = p.Feed([]byte(text), &requestChecker{t: t})
	})
}
