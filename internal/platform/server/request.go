package server

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// Request is a client's request that is sound.
type Request struct {
	ID              string // as the client wrote it, byte for byte
	Class           string
	Tenant          string
	Session         string
	Prefix          string
	Target          string   // path and query
	Fields          []string // of the head, name and value in turn, that pass on to a model host
	PromptTokens    float64
	PrefixTokens    float64 // of the prompt
	MaxOutputTokens float64 // of the answer
	ReceivedAt      eventloop.Micros
	Timeout         eventloop.Micros // counted from when the client sent it
	Body            []byte
}

// singleFields may be there once at most: a second one could be read differently behind us.
var singleFields = []string{"Req-Id", "Req-Kind", "Req-Key", "Req-Owner", "Req-Deadline", "Req-Extra", "Content-Length", "Transfer-Encoding", "Host"}

const (
	chatPath   = "/v1/chat/completions"
	readyPath  = "/up"
	maxID      = 64 // bytes
	maxTimeout = 3600 * eventloop.Second
)

// parseRequest takes what a head says; with neither a request nor a rejection it asks whether the dispatcher is ready.
func parseRequest(h *http1.Head) (*Request, *Rejection) {
	path, _, _ := strings.Cut(h.Target, "?")
	switch {
	case path == readyPath && h.Method == "GET":
		return nil, nil
	case path != chatPath:
		return nil, &Rejection{404, "there is nothing at this path"}
	case h.Method != "POST":
		return nil, &Rejection{405, "only POST is served here"}
	}
	var seen [16]bool
	r := &Request{Target: h.Target, Fields: endToEnd(h)}
	for _, f := range h.Fields {
		for i, name := range singleFields {
			if len(f.Name) == len(name) && strings.EqualFold(f.Name, name) {
				if seen[i] {
					return nil, &Rejection{400, "two fields " + name}
				}
				seen[i] = true
			}
		}
	}
	r.ID, r.Class, r.Session, r.Tenant = h.Get("Req-Id"), h.Get("Req-Kind"), h.Get("Req-Key"), h.Get("Req-Owner")
	if !validID(r.ID) {
		return nil, &Rejection{400, "the field Req-Id is missing or can't be read"}
	}
	if r.Class == "" {
		return nil, &Rejection{400, "the field Req-Kind is missing"}
	}
	timeout, err := parseTimeout(h.Get("Req-Deadline"))
	if err != nil {
		return nil, &Rejection{400, "the field Req-Deadline " + err.Error()}
	}
	r.Timeout = timeout
	if err := r.parseExtra(h.Get("Req-Extra")); err != nil {
		return nil, &Rejection{400, "the field Req-Extra " + err.Error()}
	}
	return r, nil
}

// hopByHop are the fields that speak of this connection, or of how the body is sent on it, and those that the dispatcher writes itself.
var hopByHop = []string{"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Req-Deadline", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// endToEnd are the fields that pass on unchanged: those of a class whose repeats are dropped by a key carry the key.
func endToEnd(h *http1.Head) (fields []string) {
	named := strings.Split(h.Get("Connection"), ",")
	for _, f := range h.Fields {
		is := func(name string) bool { return strings.EqualFold(strings.TrimSpace(name), f.Name) }
		if slices.ContainsFunc(hopByHop, is) || slices.ContainsFunc(named, is) && !is("Req-Id") {
			continue
		}
		fields = append(fields, f.Name, f.Value)
	}
	return fields
}

// validID tells whether an id may be passed on. It is passed on as it is, in heads and paths, and so may hold only what is plain in both.
func validID(id string) bool {
	for i := 0; i < len(id); i++ {
		c := id[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return id != "" && len(id) <= maxID && strings.Trim(id, ".") != ""
}

// parseTimeout reads a number with its unit, m for milliseconds or u for microseconds.
func parseTimeout(text string) (eventloop.Micros, error) {
	if text == "" {
		return 0, fmt.Errorf("is missing")
	}
	digits, unit := text[:len(text)-1], text[len(text)-1]
	n, err := strconv.ParseUint(digits, 10, 40)
	if err != nil || unit != 'm' && unit != 'u' {
		return 0, fmt.Errorf("is no number of m or u: %.20q", text)
	}
	t := eventloop.Micros(n)
	if unit == 'm' {
		t *= eventloop.Millisecond
	}
	return min(t, maxTimeout), nil
}

// parseExtra reads pairs like prompt_len=5120; names that it does not know it passes over.
func (r *Request) parseExtra(text string) error {
	if text == "" {
		return nil
	}
	for _, pair := range strings.Split(text, ",") {
		name, value, some := strings.Cut(strings.TrimSpace(pair), "=")
		if !some {
			return fmt.Errorf("has no value for %.20q", name)
		}
		var to *float64
		switch name {
		case "prefix":
			r.Prefix = value
			continue
		case "prompt_len":
			to = &r.PromptTokens
		case "prefix_len":
			to = &r.PrefixTokens
		case "max_out":
			to = &r.MaxOutputTokens
		default:
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || n < 0 || n > math.MaxInt32 || n != n {
			return fmt.Errorf("has a %s that is no length: %.20q", name, value)
		}
		*to = n
	}
	return nil
}

// checkBody judges a body: one that is not whole, as where a length was wrong, would be turned away by every model host in turn.
func checkBody(body []byte) *Rejection {
	if !gjson.ValidBytes(body) || bytes.TrimLeft(body, " \t\r\n")[0] != '{' {
		return &Rejection{400, "the body is not a JSON object"}
	}
	return nil
}
