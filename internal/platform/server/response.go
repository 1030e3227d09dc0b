package server

import (
	"net/http"
	"strconv"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

// Response sends the one final response to a request. Calls after the response's end have no effect.
type Response struct {
	connection *connection
	id         string // the request's ID
	bodyBytes  int    // size of the memory that is reserved for the request's body
	started    bool   // the head of the stream has been written
	staysOpen  bool   // the head of the stream does not announce the connection's close
	done       bool
	// OnDisconnect is called once if the client disconnects before the response's end.
	OnDisconnect func()
	// OnWritable is called when all written bytes have been sent after some of them had to be buffered.
	OnWritable func()
}

// Disconnected reports whether the client has closed its connection, even if OnDisconnect has not been called yet. For
// a finished response it always returns true.
func (r *Response) Disconnected() bool { return r.done || r.connection.conn.PeerClosed() }

// finish marks the response as done, and releases the memory that is reserved for the request's body.
func (r *Response) finish() {
	r.done = true
	r.connection.server.bufferedBytes -= r.bodyBytes
}

// WriteEvent forwards one event unchanged, and reports whether the client lags: more than Limits.UnsentBytes are
// unsent.
func (r *Response) WriteEvent(data []byte) (lags bool) {
	if r.done {
		return false
	}
	c := r.connection
	b := c.buffer[:0]
	if !r.started {
		b = r.appendHead(b)
	}
	c.event = sse.Append(c.event[:0], data)
	c.buffer = http1.AppendChunk(b, c.event)
	c.conn.Write(c.buffer)
	limits := &c.server.limits
	return c.timer.LimitUnsent(c.server.loop, c.conn, limits.UnsentBytes, limits.StallTimeout, c.abortStalled)
}

// appendHead appends the head of a streamed response, and marks the stream as started.
func (r *Response) appendHead(b []byte) []byte {
	r.started = true
	r.staysOpen = r.connection.staysOpen()
	fields := []string{"Content-Type", "text/event-stream", "Cache-Control", "no-cache"}
	if !r.staysOpen {
		fields = append(fields, "Connection", "close")
	}
	return http1.AppendStreamHead(b, http.StatusOK, fields...)
}

// Complete ends a complete stream.
func (r *Response) Complete() {
	if !r.done {
		r.connection.conn.Write(http1.AppendLastChunk(nil))
		r.end(AfterResponse)
	}
}

// Break ends an incomplete stream: it closes the connection without the last chunk.
func (r *Response) Break() {
	if !r.done {
		r.staysOpen = false
		r.end(StreamBroken)
	}
}

// Reject answers that nothing was run. The client may therefore retry the request. A retryAfter above 0 tells the
// client how long to wait.
func (r *Response) Reject(retryAfter eventloop.Micros) {
	response := textResponse{status: http.StatusServiceUnavailable, text: "nothing was run; please try again"}
	if retryAfter > 0 {
		response.fields = []string{"Retry-After", seconds(retryAfter)}
	}
	r.answer(response)
}

// Fail answers that the request failed, without saying whether anything was run.
func (r *Response) Fail() {
	r.answer(textResponse{status: http.StatusInternalServerError, text: "the generation failed"})
}

func (r *Response) answer(response textResponse) {
	if r.done || r.started {
		return
	}
	c := r.connection
	r.finish()
	c.response = nil
	if c.writeResponse(response, c.staysOpen()) {
		c.server.loop.Defer(c.serveNext)
	}
}

// end finishes a stream after its last byte.
func (r *Response) end(reason CloseReason) {
	c := r.connection
	r.finish()
	c.response = nil
	if !r.staysOpen {
		c.close(reason)
		return
	}
	c.timer.Clear()
	c.server.loop.Defer(c.serveNext)
}

// abandon ends the response because the client has disconnected.
func (r *Response) abandon() {
	if r.done {
		return
	}
	r.finish()
	r.connection.response = nil
	if r.OnDisconnect != nil {
		r.OnDisconnect()
	}
}

// seconds formats a duration in seconds.
func seconds(t eventloop.Micros) string {
	return strconv.FormatFloat(float64(t)/float64(eventloop.Second), 'f', -1, 64)
}
