package server

import (
	"net/http"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

const (
	// maxPipelinedBodies times Limits.BodyBytes is the maximum number of bytes of one connection's pipelined requests that
	// are buffered while a request is being answered. Requests beyond this maximum are read and not left in the socket,
	// because the server would otherwise not notice if the client disconnects. Each of them is rejected when its turn to
	// be answered comes.
	maxPipelinedBodies = 4
	// minPipelinedBytes is the number of bytes of one connection's pipelined requests that are buffered even if half of
	// Limits.BufferedBytes is in use. More is buffered only if the total stays within that half. The other half is kept
	// free for requests that are being read.
	minPipelinedBytes = 16 << 10
	// maxOverflowBytes bounds the bytes of one connection that are read without being buffered. A client that sends more
	// is disconnected.
	maxOverflowBytes = 16 << 20
)

// pipeline is what a client has sent after the request that is being answered.
type pipeline struct {
	buffered         []byte
	receivedAt       eventloop.Micros // when the first of the buffered bytes arrived
	overflow         *overflow        // the requests that were not buffered; nil if all were buffered
	overflowTimerSet bool             // the timeout for the rest of the overflow's partial request is set
}

// pending reports whether there may be pipelined requests that wait for their turn.
func (p *pipeline) pending() bool { return len(p.buffered) > 0 || p.overflow != nil }

// readPipelined buffers what arrives while a request is being answered, or passes it to the overflow.
func (c *connection) readPipelined(data []byte) {
	s, p := c.server, &c.pipeline
	if len(p.buffered) == 0 {
		p.receivedAt = s.loop.Now()
	}
	size := len(p.buffered) + len(data)
	exceedsConnectionLimit := size > maxPipelinedBodies*s.limits.BodyBytes
	exceedsTotalLimit := size > minPipelinedBytes && s.bufferedBytes+len(data) > s.limits.BufferedBytes/2
	switch {
	case p.overflow != nil:
		p.overflow.feed(data)
	case exceedsConnectionLimit || exceedsTotalLimit:
		c.startOverflow(data)
	default:
		c.bufferPipelined(data)
	}
	if p.overflow != nil && p.overflow.bytesRead > maxOverflowBytes {
		s.Rejected++
		c.abort(PipelineOverflow)
	}
}

func (c *connection) bufferPipelined(data []byte) {
	c.pipeline.buffered = append(c.pipeline.buffered, data...)
	c.server.bufferedBytes += len(data)
}

func (c *connection) dropPipelined() {
	c.server.bufferedBytes -= len(c.pipeline.buffered)
	c.pipeline.buffered = nil
}

// startOverflow stops buffering. The complete requests stay in the buffer; what follows them is parsed and not kept.
func (c *connection) startOverflow(data []byte) {
	p := &c.pipeline
	p.overflow = newOverflow(c.parser.Limits)
	p.overflow.feed(p.buffered)
	c.server.bufferedBytes -= len(p.buffered) - p.overflow.completeBytes
	p.buffered = p.buffered[:p.overflow.completeBytes]
	p.overflow.pending = 0 // the complete requests are served from the buffer
	p.overflow.feed(data)
}

// readOverflow handles what arrives while the requests that were not buffered are being rejected.
func (c *connection) readOverflow(data []byte) {
	p := &c.pipeline
	before := p.overflow.pending
	p.overflow.feed(data)
	if p.overflow.pending > before { // the request that was partial is now complete
		p.overflowTimerSet = false
		c.timer.Clear()
	}
	if p.overflow.bytesRead > maxOverflowBytes {
		c.abort(PipelineOverflow)
		return
	}
	c.rejectOverflow()
}

// rejectOverflow rejects the requests that were not buffered, in order. It stops while the client is slow to read the
// responses.
func (c *connection) rejectOverflow() {
	s, p := c.server, &c.pipeline
	for p.overflow.pending > 0 {
		if c.timer.LimitUnsent(s.loop, c.conn, s.limits.UnsentBytes, s.limits.StallTimeout, c.abortStalled) {
			return
		}
		p.overflow.pending--
		s.Rejected++
		last := p.overflow.lastRequest && p.overflow.pending == 0
		response := textResponse{status: http.StatusServiceUnavailable, text: "too much was sent ahead"}
		if !c.writeResponse(response, !last) {
			return
		}
	}
	switch {
	case p.overflow.err != nil:
		c.malformed(p.overflow.err)
	case p.overflow.partial():
		if c.conn.Unsent() == 0 && !p.overflowTimerSet {
			p.overflowTimerSet = true
			c.timer.Set(s.loop, s.limits.RequestTimeout, c.requestTimedOut)
		}
	default:
		p.overflow, p.overflowTimerSet = nil, false
		c.timer.Clear()
		c.awaitNextRequest()
	}
}

// overflow parses pipelined requests that are not buffered. It finds where each one ends, and keeps nothing else. Each
// is rejected in its turn, so that all requests that were read are answered.
type overflow struct {
	parser        http1.Parser
	pending       int  // number of complete requests that are not answered
	completeBytes int  // number of bytes up to the end of the last complete request
	bytesRead     int  // number of all bytes that were read
	lastRequest   bool // the last request asked to close the connection, so what follows it is ignored
	err           error
}

func newOverflow(limits http1.Limits) *overflow {
	return &overflow{parser: http1.Parser{Limits: limits}}
}

// feed parses the next bytes.
func (o *overflow) feed(data []byte) {
	o.bytesRead += len(data)
	if o.err == nil && !o.lastRequest {
		o.err = o.parser.Feed(data, o)
	}
}

// Head implements http1.Handler.
func (o *overflow) Head(head *http1.Head) error {
	o.lastRequest = !head.KeepAlive()
	return nil
}

// Body implements http1.Handler.
func (o *overflow) Body([]byte) error { return nil }

// End implements http1.Handler.
func (o *overflow) End() error {
	o.pending++
	o.completeBytes = o.bytesRead - o.parser.Pipelined()
	if o.lastRequest {
		o.parser.Pause()
	}
	return nil
}

// partial reports whether a request has begun and is not complete.
func (o *overflow) partial() bool { return !o.parser.Idle() }
