package frontend

import (
	"net/http"

	"plumspindle/internal/http1"
)

// heartbeatComment is an event stream's comment, which clients pass over.
const heartbeatComment = ": waiting\n\n"

// Format is how an API presents an answer.
type Format interface {
	// RequestID returns the id that the client sees.
	RequestID() string
	// Streaming reports whether the client is sent events, else one object.
	Streaming() bool
	// Unstarted reports whether nothing of the answer has been formatted yet.
	Unstarted() bool
	// AppendEvent appends what the client is sent for one event of a decode endpoint.
	AppendEvent(out, event []byte) []byte
	// AppendEnd appends what the client is sent at the end of a stream.
	AppendEnd(out []byte) []byte
	// Object returns the answer that is not streamed.
	Object() []byte
}

// SetFormat says how the answer is presented; it must precede the first event.
func (r *Response) SetFormat(format Format) { r.format = format }

// WriteEvent sends what the format makes of one event and reports whether the client lags behind.
func (r *Response) WriteEvent(event []byte) (lags bool) {
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

// Heartbeat sends a comment, after the stream's head where it has not started, and reports whether there is still
// something to wait for.
func (r *Response) Heartbeat() bool {
	if r.done || r.started && !r.format.Unstarted() {
		return false
	}
	r.writeChunk([]byte(heartbeatComment))
	return true
}

// writeChunk sends one chunk of an event stream, after its head where it has not started.
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

// Stream gives a long final answer, made piece by piece as the client takes it.
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

// writePieces sends pieces until the answer ends or the client lags.
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
