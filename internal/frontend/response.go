package frontend

import (
	"net/http"
	"strconv"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

// Response carries one final answer to a client, and nothing after it.
type Response struct {
	connection  *connection
	keepAlive   bool             // the connection stays open after the answer
	receivedAt  eventloop.Micros // when the request's first byte came
	received    bool             // the request has arrived to its end
	started     bool             // a streamed answer's first byte has been sent
	done        bool
	buffered    int // bytes of the request's body
	maxBuffered int
	bodyPaused  bool
	format      Format
	scratch     []byte

	// OnDisconnect is called once when the client goes away before its final answer.
	OnDisconnect func()
	// OnDrained is called when a client that lagged has caught up.
	OnDrained func()
}

// ReceivedAt returns when the first byte of the request came. Its client's time counts from there: it does not wait for
// the request to arrive.
func (r *Response) ReceivedAt() eventloop.Micros { return r.receivedAt }

// Done reports whether the final answer was given, or the client has disconnected.
func (r *Response) Done() bool { return r.done }

// SendProblem gives the final answer to a request that can't be carried out, whether or not its body has arrived.
func (r *Response) SendProblem(problem *Problem) {
	if r.done {
		return
	}
	if r.received {
		r.finishProblem(problem)
		return
	}
	r.connection.problem = problem
	r.PauseBody(false)
}

// Complete gives the final answer to a request that was carried out, as its Format says.
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

// RejectOverQuota gives the final answer to a request that its tenant's limits do not admit; nothing of it has run.
func (r *Response) RejectOverQuota(reason string, retryAfter eventloop.Micros) {
	r.end(overQuota(reason), retryFields(retryAfter)...)
}

// Reject gives the final answer to a request of which nothing has run and which may come again, after a while if
// retryAfter is above 0.
func (r *Response) Reject(retryAfter eventloop.Micros) {
	r.end(Overloaded(), retryFields(retryAfter)...)
}

// Fail gives the final answer to a request that failed. The client learns whether it may retry, as common client
// libraries retry a 5xx by themselves.
func (r *Response) Fail(retryable bool, message string) {
	r.end(failed(message), fieldShouldRetry, strconv.FormatBool(retryable))
}

// end gives a problem as the final answer. Where a stream has started it is an error event without the closing mark,
// and the connection closes within the body.
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

// finishProblem gives a problem as the final answer to a request that has arrived and not begun.
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

// finish gives a final answer that is not streamed.
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

// close ends the request after its final answer was written.
func (r *Response) close() {
	c := r.connection
	r.settle()
	if r.keepAlive && !c.server.shuttingDown {
		c.server.loop.Defer(func() {
			if c.response == r && !c.closing {
				c.next()
			}
		})
		return
	}
	c.response, c.closing = nil, true
	c.closeWithin(c.server.limits.StallTimeout)
}

// disconnect ends a request whose client has disconnected, and reports that to its owner.
func (r *Response) disconnect() {
	if r.done {
		return
	}
	r.abandon()
	if r.OnDisconnect != nil {
		r.OnDisconnect()
	}
}

// abandon ends a request without an answer, and without reporting it to its owner.
func (r *Response) abandon() {
	r.settle()
	r.connection.response = nil
}

// settle marks the request as done and takes it off the counts of open requests and buffered bytes.
func (r *Response) settle() {
	r.releaseBuffer()
	r.done = true
	r.connection.server.OpenRequests--
}
