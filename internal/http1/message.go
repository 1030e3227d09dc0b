// Package http1 parses and writes HTTP/1.1 messages (RFC 9112). It does no I/O: the caller feeds a Parser the bytes of
// a connection as they arrive, cut anywhere, and the Parser reports heads, bodies and ends to a Handler.
//
// A Parser owns the parsing state of one connection and the bytes that are not reported yet; it has no timers and
// starts no goroutine. It relies on its caller for timeouts, and to feed it from one goroutine at a time. It never
// accepts a message of which two readings are possible, as those are how requests are smuggled, and never buffers more
// of a head than its Limits allow.
package http1

import "strings"

// Limits bound what one message may take.
type Limits struct {
	HeadBytes  int // of the start line and all fields
	FieldCount int
	BodyBytes  int // of a request; responses are not limited
	// BodyBytesFor, if set, returns the limit in place of BodyBytes, by the target of the request.
	BodyBytesFor func(target string) int
}

// DefaultLimits are limits that common clients stay far below.
var DefaultLimits = Limits{HeadBytes: 32 << 10, FieldCount: 100, BodyBytes: 4 << 20}

// Field is one header field.
type Field struct{ Name, Value string }

// UnknownLength is the ContentLength of a body that is chunked or ends with the connection.
const UnknownLength = -1

// Head is a start line with its fields.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	MinorVersion   int    // of HTTP/1
	Fields         []Field
	ContentLength  int64 // of the body in bytes, or UnknownLength
}

// Get returns the value of the first field with a name, in whatever case, or an empty string.
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// KeepAlive reports whether the connection may carry another message after this one.
func (h *Head) KeepAlive() bool {
	connection := strings.ToLower(h.Get("Connection"))
	if h.MinorVersion == 0 {
		return strings.Contains(connection, "keep-alive")
	}
	return !strings.Contains(connection, "close")
}

// Handler receives the parts of messages. An error that it returns ends the parsing and is returned by Feed.
type Handler interface {
	Head(h *Head) error
	Body(b []byte) error // b is valid only until Body returns
	End() error
}
