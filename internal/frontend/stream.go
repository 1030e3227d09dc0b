package frontend

import (
	"net/http"

	"plumspindle/internal/http1"
)

// heartbeatComment is a comment of an event stream, which clients ignore.
const heartbeatComment = ": waiting\n\n"

// Format presents an answer in the form that an API defines.
type Format interface {
	// RequestID returns the request id that is sent to the client.
	RequestID() string
	// Streaming reports whether the answer is a stream of events; otherwise it is one object.
	Streaming() bool
	// Unstarted reports whether no part of the answer has been formatted yet.
	Unstarted() bool
	// AppendEvent appends the bytes to send to the client for one event of a decode endpoint.
	AppendEvent(out, event []byte) []byte
	// AppendEnd appends the bytes to send to the client at the end of a stream.
	AppendEnd(out []byte) []byte
	// Object returns the whole answer, if it is not streamed.
	Object() []byte
}

// SetFormat sets how the answer is presented. It must be called before the first event is written.
func (r *Response) SetFormat(format Format) { r.format = format }

// WriteEvent formats and sends one event. It reports whether the client reads too slowly, that is, whether more than
// MaxUnsentBytes are unsent.
func (r *Response) WriteEvent(event []byte) (tooSlow bool) {
	if r.done {
		return false
	}
	r.scratch = r.format.AppendEvent(r.scratch[:0], event)
	if len(r.scratch) == 0 {
		return false
	}
	r.writeChunk(r.scratch)
	c := r.connection
	limits := c.server.limits
	return c.timeout.LimitUnsent(c.server.loop, c.conn, limits.MaxUnsentBytes, limits.StallTimeout, c.stalled)
}

// Heartbeat sends a comment, preceded by the stream's head if the head has not been sent. It returns true if the client
// was still waiting for the first content. Otherwise Heartbeat sends nothing and returns false.
func (r *Response) Heartbeat() bool {
	if r.done || r.started && !r.format.Unstarted() {
		return false
	}
	r.writeChunk([]byte(heartbeatComment))
	return true
}

// writeChunk sends one chunk of an event stream, preceded by the stream's head if the head has not been sent.
func (r *Response) writeChunk(data []byte) {
	c := r.connection
	out := c.scratch[:0]
	if !r.started {
		r.started = true
		out = r.appendStreamHead(out)
	}
	c.scratch = http1.AppendChunk(out, data)
	c.conn.Write(c.scratch)
}

func (r *Response) appendStreamHead(out []byte) []byte {
	return http1.AppendStreamHead(out, http.StatusOK,
		"Content-Type", "text/event-stream; charset=utf-8",
		"Cache-Control", "no-cache",
		"x-request-id", r.format.RequestID())
}

// Stream sends a long final answer. It takes the pieces of the answer from the function next, and asks for another
// piece whenever the client has read enough of the earlier pieces.
func (r *Response) Stream(contentType string, next func() (piece []byte, more bool), fields ...string) {
	if r.done {
		return
	}
	r.started = true
	fields = append(fields, "Content-Type", contentType)
	r.connection.conn.Write(http1.AppendStreamHead(nil, http.StatusOK, fields...))
	r.OnDrained = func() { r.writePieces(next) }
	r.writePieces(next)
}

// writePieces sends pieces until the answer ends or MaxUnsentBytes are unsent.
func (r *Response) writePieces(next func() (piece []byte, more bool)) {
	c := r.connection
	limits := c.server.limits
	for !r.done && c.conn.Unsent() < limits.MaxUnsentBytes {
		piece, more := next()
		out := http1.AppendChunk(nil, piece)
		if !more {
			c.conn.Write(http1.AppendLastChunk(out))
			r.close()
			return
		}
		c.conn.Write(out)
	}
	if !r.done {
		c.timeout.Set(c.server.loop, limits.StallTimeout, c.stalled)
	}
}
