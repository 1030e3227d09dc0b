package server

import (
	"net/http"

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
	// maxRejectionsPerTurn bounds the requests of one connection that are rejected before the loop handles the events of
	// other connections.
	maxRejectionsPerTurn = 32
)

// pipeline is what a client has sent after the request that is being answered.
type pipeline struct {
	buffer           pipelineBuffer
	overflow         *overflow // the requests that were not buffered; nil if all were buffered
	overflowTimerSet bool      // the timeout for the rest of the overflow's partial request is set
}

// pending reports whether there may be pipelined requests that wait for their turn.
func (p *pipeline) pending() bool { return p.buffer.size() > 0 || p.overflow != nil }

// readPipelined buffers what arrives while a request is being answered, or passes it to the overflow.
func (c *connection) readPipelined(data []byte) {
	s, p := c.server, &c.pipeline
	size := p.buffer.size() + len(data)
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
	c.pipeline.buffer.add(c.server.loop.Now(), data)
	c.server.bufferedBytes += len(data)
}

func (c *connection) dropPipelined() {
	c.server.bufferedBytes -= c.pipeline.buffer.size()
	c.pipeline.buffer = pipelineBuffer{}
}

// servePipelined starts the first request in the buffer. It takes the buffer out of the connection meanwhile, because
// only what follows the request counts as pipelined.
func (c *connection) servePipelined() {
	buffer := c.pipeline.buffer
	if buffer.size() == 0 { // the overflow has begun since serveNext, and has dropped a partial request
		c.serveNext()
		return
	}
	c.dropPipelined()
	c.beginRequest(buffer.receivedAt())
	rest, err := c.parser.Parse(buffer.bytes(), c)
	switch {
	case err != nil:
		c.malformed(err)
	case c.state != closing && len(rest) > 0:
		buffer.removeFirst(buffer.size() - len(rest))
		c.pipeline.buffer = buffer
		c.server.bufferedBytes += buffer.size()
	}
}

// startOverflow stops buffering. The complete requests stay in the buffer; what follows them is parsed and not kept.
func (c *connection) startOverflow(data []byte) {
	p := &c.pipeline
	p.overflow = newOverflow(c.parser.Limits)
	p.overflow.feed(p.buffer.bytes())
	c.server.bufferedBytes -= p.buffer.size() - p.overflow.completeBytes
	p.buffer.truncate(p.overflow.completeBytes)
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

// continueRejecting continues rejectOverflow in a later turn of the loop.
func (c *connection) continueRejecting() {
	c.timer.Clear()
	c.rejectOverflow()
}

// rejectOverflow rejects the requests that were not buffered, in order. It stops while the client is slow to read the
// responses, and lets the loop handle other events after some of the responses.
func (c *connection) rejectOverflow() {
	s, p := c.server, &c.pipeline
	for rejected := 0; p.overflow.pending > 0; rejected++ {
		if rejected == maxRejectionsPerTurn {
			c.timer.Set(s.loop, 0, c.continueRejecting)
			return
		}
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
	case p.overflow.partial() && c.conn.Unsent() > 0:
		c.timer.LimitUnsent(s.loop, c.conn, s.limits.UnsentBytes, s.limits.StallTimeout, c.abortStalled)
	case p.overflow.partial():
		if !p.overflowTimerSet {
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
