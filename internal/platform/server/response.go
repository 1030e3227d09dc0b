package server

import (
	"net/http"
	"strconv"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

// Response carries the one final answer to a request, and lets nothing through after it.
type Response struct {
	connection *connection
	id         string
	bodyBytes  int  // bytes of the request's body
	started    bool // its head has been written
	staysOpen  bool // which says that another request may follow
	done       bool
	// OnDisconnect is called once when the client goes away before its answer's end, OnWritable when one that lagged has caught up.
	OnDisconnect func()
	OnWritable   func()
}

// Disconnected tells whether the client has closed its connection, also where that was not told yet.
func (r *Response) Disconnected() bool { return r.done || r.connection.conn.PeerClosed() }

// finish tells that nothing is owed, or kept, any more.
func (r *Response) finish() {
	r.done = true
	r.connection.server.bufferedBytes -= r.bodyBytes
}

// WriteEvent hands on one event, unchanged. It tells whether the client lags behind.
func (r *Response) WriteEvent(data []byte) (lags bool) {
	if r.done {
		return false
	}
	c := r.connection
	b := c.buffer[:0]
	if !r.started {
		r.started = true
		fields := []string{"Content-Type", "text/event-stream", "Cache-Control", "no-cache"}
		if r.staysOpen = c.staysOpen(); !r.staysOpen {
			fields = append(fields, "Connection", "close")
		}
		b = http1.AppendStreamHead(b, http.StatusOK, fields...)
	}
	c.event = sse.Append(c.event[:0], data)
	c.buffer = http1.AppendChunk(b, c.event)
	c.conn.Write(c.buffer)
	limits := &c.server.limits
	return c.wait.LimitUnsent(c.server.loop, c.conn, limits.UnsentBytes, limits.StallTimeout, func() { c.abort(ClientStalled) })
}

// Drained implements eventloop.Handler.
func (c *connection) Drained() {
	if c.state == rejectingOverflow {
		c.wait.Clear()
		c.overflowTimed = false
		c.rejectOverflow()
		return
	}
	if c.response == nil || c.state != answering {
		return
	}
	c.wait.Clear()
	if c.response.OnWritable != nil {
		c.response.OnWritable()
	}
}

// Complete ends a stream that is whole.
func (r *Response) Complete() {
	if !r.done {
		r.connection.conn.Write(http1.AppendLastChunk(nil))
		r.close(AfterResponse)
	}
}

// Break ends a stream that is not whole: the connection is closed without the last chunk.
func (r *Response) Break() {
	if !r.done {
		r.staysOpen = false
		r.close(StreamBroken)
	}
}

// Reject says that the request may come again without harm, after a while if one is given.
func (r *Response) Reject(retryAfter eventloop.Micros) {
	var fields []string
	if retryAfter > 0 {
		fields = []string{"Retry-After", seconds(retryAfter)}
	}
	r.answer(http.StatusServiceUnavailable, "nothing was run; please try again", fields...)
}

// Fail says that the request failed, with no word on what it did.
func (r *Response) Fail() { r.answer(http.StatusInternalServerError, "the generation failed") }

func (r *Response) answer(status int, text string, fields ...string) {
	if r.done || r.started {
		return
	}
	c := r.connection
	r.finish()
	c.response = nil
	if c.writeResponse(status, text, c.staysOpen(), AfterResponse, fields...) {
		c.server.loop.Defer(c.next)
	}
}

func (r *Response) close(why CloseReason) {
	c := r.connection
	r.finish()
	c.response = nil
	if !r.staysOpen {
		c.close(why)
		return
	}
	c.wait.Clear()
	c.server.loop.Defer(c.next)
}

// abandon tells that nobody waits for the answer any more.
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
