package server

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/jsonsyntax"
)

// Request is a well-formed request of a client.
type Request struct {
	ID              string // exactly as the client sent it
	Class           string
	Tenant          string
	Session         string
	Prefix          string
	Target          string   // path and query
	Fields          []string // head fields to forward to an endpoint, as alternating names and values
	PromptTokens    float64
	PrefixTokens    float64 // the part of PromptTokens that belongs to the prefix
	MaxOutputTokens float64
	ReceivedAt      eventloop.Micros // when the first byte arrived
	Timeout         eventloop.Micros // as the client sent it, at most maxTimeout; counted from ReceivedAt
	Body            []byte
}

const (
	chatPath   = "/v1/chat/completions"
	readyPath  = "/up"
	maxID      = 64 // bytes
	maxTimeout = 3600 * eventloop.Second
)

// These are the names of fields of a request's head that the server reads.
const (
	idField       = "Req-Id"
	classField    = "Req-Kind"
	sessionField  = "Req-Key"
	tenantField   = "Req-Owner"
	deadlineField = "Req-Deadline"
	extraField    = "Req-Extra"
)

// singleFields are the fields that may occur at most once. If a field occurred twice, this server and an endpoint could
// each read a different one of the two.
var singleFields = []string{
	idField, classField, sessionField, tenantField, deadlineField, extraField,
	"Content-Length", "Transfer-Encoding", "Host",
}

// isReadinessProbe reports whether a request asks whether the dispatcher is ready.
func isReadinessProbe(head *http1.Head) bool {
	return head.Method == http.MethodGet && requestPath(head) == readyPath
}

func requestPath(head *http1.Head) string {
	p, _, _ := strings.Cut(head.Target, "?")
	return p
}

// parseRequest decodes a request's head, or returns why the request is rejected.
func parseRequest(head *http1.Head) (*Request, *Rejection) {
	if requestPath(head) != chatPath {
		return nil, &Rejection{Status: http.StatusNotFound, Reason: "there is nothing at this path"}
	}
	if head.Method != http.MethodPost {
		return nil, &Rejection{Status: http.StatusMethodNotAllowed, Reason: "only POST is served here"}
	}
	if name := duplicateField(head); name != "" {
		return nil, badRequest("two fields " + name)
	}
	r := &Request{
		ID:      head.Get(idField),
		Class:   head.Get(classField),
		Session: head.Get(sessionField),
		Tenant:  head.Get(tenantField),
		Target:  head.Target,
	}
	if !validID(r.ID) {
		return nil, badRequest("the field Req-Id is missing or can't be read")
	}
	if r.Class == "" {
		return nil, badRequest("the field Req-Kind is missing")
	}
	var err error
	if r.Timeout, err = parseTimeout(head.Get(deadlineField)); err != nil {
		return nil, badRequest("the field Req-Deadline " + err.Error())
	}
	if err := r.parseExtra(head.Get(extraField)); err != nil {
		return nil, badRequest("the field Req-Extra " + err.Error())
	}
	r.Fields = endToEndFields(head)
	return r, nil
}

// duplicateField returns the name of one of singleFields that occurs more than once, or "".
func duplicateField(head *http1.Head) string {
	seen := make([]bool, len(singleFields))
	for _, f := range head.Fields {
		for i, name := range singleFields {
			if !strings.EqualFold(f.Name, name) {
				continue
			}
			if seen[i] {
				return name
			}
			seen[i] = true
		}
	}
	return ""
}

// validID reports whether an ID may be forwarded. IDs are forwarded unescaped in heads and paths, so they may contain
// only characters that need no escaping in either.
func validID(id string) bool {
	for i := 0; i < len(id); i++ {
		if !allowedInID(id[i]) {
			return false
		}
	}
	return id != "" && len(id) <= maxID && strings.Trim(id, ".") != ""
}

// allowedInID reports whether a character may occur in an ID.
func allowedInID(c byte) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	return c == '-' || c == '_' || c == '.'
}

var errMissing = errors.New("is missing")

// timeoutBits bounds the number in a timeout so that its conversion to microseconds does not overflow.
const timeoutBits = 40

// parseTimeout decodes a timeout: a number followed by a unit, m for milliseconds or u for microseconds.
func parseTimeout(text string) (eventloop.Micros, error) {
	if text == "" {
		return 0, errMissing
	}
	digits, unit := text[:len(text)-1], text[len(text)-1]
	n, err := strconv.ParseUint(digits, 10, timeoutBits)
	if err != nil || unit != 'm' && unit != 'u' {
		return 0, fmt.Errorf("is no number of m or u: %.20q", text)
	}
	t := eventloop.Micros(n)
	if unit == 'm' {
		t *= eventloop.Millisecond
	}
	return min(t, maxTimeout), nil
}

// parseExtra decodes a list of pairs such as prompt_len=5120. It ignores unknown names.
func (r *Request) parseExtra(text string) error {
	if text == "" {
		return nil
	}
	lengths := map[string]*float64{
		"prompt_len": &r.PromptTokens,
		"prefix_len": &r.PrefixTokens,
		"max_out":    &r.MaxOutputTokens,
	}
	for _, pair := range strings.Split(text, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found {
			return fmt.Errorf("has no value for %.20q", name)
		}
		if name == "prefix" {
			r.Prefix = value
			continue
		}
		length := lengths[name]
		if length == nil {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || n < 0 || n > math.MaxInt32 || math.IsNaN(n) {
			return fmt.Errorf("has a %s that is no length: %.20q", name, value)
		}
		*length = n
	}
	return nil
}

// checkBody returns a rejection unless the body is a JSON object. An invalid body, such as one that is cut off because
// its length was wrong, would be rejected by every endpoint that it is sent to.
func checkBody(body []byte) *Rejection {
	if !jsonsyntax.Valid(body) || bytes.TrimLeft(body, " \t\r\n")[0] != '{' {
		return badRequest("the body is not a JSON object")
	}
	return nil
}
