package server

import (
	"net/http"
	"strconv"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

// Response carries the one final response to a request; calls that follow it have no effect.
type Response struct {
	connection *connection
	id         string // the request's
	bodyBytes  int    // of the request's body
	started    bool   // its head has been written
	staysOpen  bool   // its head allows another request to follow
	done       bool
	// OnDisconnect is called once when the client disconnects before the response's end.
	OnDisconnect func()
	// OnWritable is called when a client that lagged has caught up.
	OnWritable func()
}

// Disconnected reports whether the client has closed its connection, even if OnDisconnect has not been called yet. It
// is true of a finished response, too.
func (r *Response) Disconnected() bool { return r.done || r.connection.conn.PeerClosed() }

// finish notes that nothing more follows, and releases what is buffered of the request.
func (r *Response) finish() {
	r.done = true
	r.connection.server.bufferedBytes -= r.bodyBytes
}

// WriteEvent forwards one event, unchanged, and reports whether the client lags behind.
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
	return c.wait.LimitUnsent(c.server.loop, c.conn, limits.UnsentBytes, limits.StallTimeout, c.abortStalled)
}

// appendHead starts the stream.
func (r *Response) appendHead(b []byte) []byte {
	r.started = true
	r.staysOpen = r.connection.staysOpen()
	fields := []string{"Content-Type", "text/event-stream", "Cache-Control", "no-cache"}
	if !r.staysOpen {
		fields = append(fields, "Connection", "close")
	}
	return http1.AppendStreamHead(b, http.StatusOK, fields...)
}

// Complete ends a stream that is complete.
func (r *Response) Complete() {
	if !r.done {
		r.connection.conn.Write(http1.AppendLastChunk(nil))
		r.end(AfterResponse)
	}
}

// Break ends a stream that is not complete: the connection is closed without the last chunk.
func (r *Response) Break() {
	if !r.done {
		r.staysOpen = false
		r.end(StreamBroken)
	}
}

// Reject answers that nothing was run, so that the request may be retried, after a while if one is given.
func (r *Response) Reject(retryAfter eventloop.Micros) {
	response := shortResponse{status: http.StatusServiceUnavailable, text: "nothing was run; please try again"}
	if retryAfter > 0 {
		response.fields = []string{"Retry-After", seconds(retryAfter)}
	}
	r.answer(response)
}

// Fail answers that the request failed, without saying whether anything was run.
func (r *Response) Fail() {
	r.answer(shortResponse{status: http.StatusInternalServerError, text: "the generation failed"})
}

func (r *Response) answer(response shortResponse) {
	if r.done || r.started {
		return
	}
	c := r.connection
	r.finish()
	c.response = nil
	if c.writeResponse(response, c.staysOpen()) {
		c.server.loop.Defer(c.next)
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
	c.wait.Clear()
	c.server.loop.Defer(c.next)
}

// abandon ends the response to a client that has disconnected.
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

func seconds(t eventloop.Micros) string {
	return strconv.FormatFloat(float64(t)/float64(eventloop.Second), 'f', -1, 64)
}
