// Package http1 parses and writes HTTP/1.1 messages (RFC 9112). It does no I/O: the caller feeds a Parser the bytes of
// a connection as they arrive, in pieces of any size, and the Parser reports heads, bodies and ends to a Handler.
//
// A Parser owns the parsing state of one connection and the bytes that it has not reported yet. It has no timers and
// starts no goroutines: its caller is responsible for timeouts, and has to feed it from one goroutine at a time. It
// rejects messages that can be interpreted in two ways, because such messages allow request smuggling. It never buffers
// more of a head than its Limits allow.
package http1

import "strings"

// Limits are the limits for one message.
type Limits struct {
	HeadBytes  int // size of the start line and all fields
	FieldCount int
	BodyBytes  int // size of a request's body; the body of a response is not limited
	// BodyBytesFor, if set, returns the limit for a request with the given target, and replaces BodyBytes.
	BodyBytesFor func(target string) int
}

// DefaultLimits are far above what common clients send.
var DefaultLimits = Limits{HeadBytes: 32 << 10, FieldCount: 100, BodyBytes: 4 << 20}

// Field is one header field.
type Field struct{ Name, Value string }

// UnknownLength is the ContentLength of a body that is chunked or ends when the connection is closed.
const UnknownLength = -1

// Head is the head of a message: its start line and its fields.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	MinorVersion   int    // the minor version of HTTP/1.x
	Fields         []Field
	ContentLength  int64 // of the body in bytes, or UnknownLength
}

// Get returns the value of the first field with the given name, ignoring case, or an empty string if there is none.
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

// Handler receives the parts of messages. If a method returns an error, the Parser stops and returns that error.
type Handler interface {
	Head(h *Head) error
	Body(b []byte) error // b is valid only until Body returns
	End() error
}
