package frontend

import (
	"net/http"
	"strconv"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

// Response sends exactly one final answer to a client. Calls after the final answer have no effect.
type Response struct {
	connection  *connection
	keepAlive   bool             // the connection stays open after the answer
	receivedAt  eventloop.Micros // when the request's first byte arrived
	received    bool             // the whole request has been received
	started     bool             // the head of a streamed answer has been sent
	done        bool             // the final answer was given or the client has disconnected
	buffered    int              // bytes of the request's body that count as buffered
	maxBuffered int              // Route.MaxBuffered
	bodyPaused  bool
	format      Format
	scratch     []byte // buffer that is reused for events

	// OnDisconnect is called at most once: when the connection ends before the final answer, whether the client or the
	// server ends it, or when the request is rejected because its body would exceed MaxBufferedBytes.
	OnDisconnect func()
	// OnDrained is called when the network has taken all written data, which means that a slow client has caught up.
	OnDrained func()
}

// ReceivedAt returns when the first byte of the request arrived. The time that the client waits counts from then, not
// from the request's last byte.
func (r *Response) ReceivedAt() eventloop.Micros { return r.receivedAt }

// Done reports whether the final answer was given or the client has disconnected.
func (r *Response) Done() bool { return r.done }

// SendProblem sends a problem as the final answer to a request that can't be carried out. If the request is still being
// received, the answer follows its last byte.
func (r *Response) SendProblem(problem *Problem) {
	if r.done {
		return
	}
	if r.received {
		r.finishProblem(problem)
		return
	}
	r.connection.problem = problem
	r.SetBodyPaused(false)
}

// AfterOtherEvents calls f after the events that the event loop has to handle at present, unless the request has ended
// by then. It is for work on a request that would take too long at once.
func (r *Response) AfterOtherEvents(f func()) {
	r.connection.server.loop.AfterFunc(0, func() {
		if !r.done {
			f()
		}
	})
}

// Complete sends the final answer to a request that was carried out, as the Format presents it. If the answer is
// streamed, Complete sends the end of the stream.
func (r *Response) Complete() {
	if r.done {
		return
	}
	if !r.format.Streaming() {
		r.finish(http.StatusOK, r.format.Object(), "x-request-id", r.format.RequestID())
		return
	}
	var out []byte
	if !r.started {
		out = r.appendStreamHead(out)
	}
	out = http1.AppendChunk(out, r.format.AppendEnd(nil))
	r.connection.conn.Write(http1.AppendLastChunk(out))
	r.close()
}

// RejectOverQuota sends the final answer to a request that its tenant's limits do not admit. Parts of a batch call
// may have run before.
func (r *Response) RejectOverQuota(reason string, retryAfter eventloop.Micros) {
	r.end(overQuota(reason), retryFields(retryAfter)...)
}

// Reject sends the final answer to a request of which no part has run and which the client may retry. retryAfter is how
// long the client should wait; 0 stands for defaultRetryAfter.
func (r *Response) Reject(retryAfter eventloop.Micros) {
	r.end(Overloaded(), retryFields(retryAfter)...)
}

// Fail sends the final answer to a request that failed. The answer states whether the client may retry, because common
// client libraries otherwise retry after any 5xx status.
func (r *Response) Fail(retryable bool, message string) {
	r.end(failed(message), fieldShouldRetry, strconv.FormatBool(retryable))
}

// end sends a problem as the final answer. If a stream has started, end sends an error event without the stream's last
// event and closes the connection within the body.
func (r *Response) end(problem *Problem, fields ...string) {
	if r.done {
		return
	}
	if !r.started {
		r.finish(problem.Status, problem.Body(), fields...)
		return
	}
	r.keepAlive = false
	r.connection.conn.Write(http1.AppendChunk(nil, sse.Append(nil, problem.Body())))
	r.close()
}

// finishProblem sends a problem as the final answer to a request that has been received. No part of another answer may
// have been sent before.
func (r *Response) finishProblem(problem *Problem) {
	var fields []string
	if problem.Status == http.StatusUnauthorized {
		fields = append(fields, "WWW-Authenticate", "Bearer")
	}
	if problem.NoRetry {
		fields = append(fields, fieldShouldRetry, "false")
	}
	r.finish(problem.Status, problem.Body(), fields...)
}

// finish sends a final answer that is not streamed.
func (r *Response) finish(status int, body []byte, fields ...string) {
	if r.done {
		return
	}
	fields = append(fields, "Content-Type", "application/json")
	r.keepAlive = r.keepAlive && !r.connection.server.aboveLimit()
	if !r.keepAlive {
		fields = append(fields, "Connection", "close")
	}
	r.connection.conn.Write(http1.AppendResponse(nil, status, body, fields...))
	r.close()
}

// close ends the request after its final answer was written. It closes the connection or prepares it for the next
// request.
func (r *Response) close() {
	c := r.connection
	r.markDone()
	switch {
	case !r.keepAlive || c.server.shuttingDown:
		c.response, c.closing = nil, true
		c.closeWithin(c.server.limits.StallTimeout)
	case c.parser.Pipelined() > 0 || c.parser.Buffered() > 0: // the loop handles other events between two requests
		c.server.loop.AfterFunc(0, r.continueConnection)
	default:
		c.server.loop.Defer(r.continueConnection)
	}
}

// continueConnection makes the connection ready for the next request after the final answer. It waits while too much of
// the answers is unsent.
func (r *Response) continueConnection() {
	c := r.connection
	if c.response != r || c.closing {
		return
	}
	limits := c.server.limits
	if c.timeout.LimitUnsent(c.server.loop, c.conn, limits.MaxUnsentBytes, limits.StallTimeout, c.stalled) {
		r.OnDrained = r.continueConnection
		return
	}
	c.startNextRequest()
}

// disconnect ends a request whose client has disconnected, and calls OnDisconnect.
func (r *Response) disconnect() {
	if r.done {
		return
	}
	r.abandon()
	if r.OnDisconnect != nil {
		r.OnDisconnect()
	}
}

// abandon ends a request without an answer and without calling OnDisconnect.
func (r *Response) abandon() {
	r.markDone()
	r.connection.response = nil
}

// markDone marks the request as done and subtracts it from the counts of open requests and buffered bytes.
func (r *Response) markDone() {
	r.releaseBuffer()
	r.done = true
	r.connection.server.OpenRequests--
}
