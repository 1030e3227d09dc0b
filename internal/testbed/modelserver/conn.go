package modelserver

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/testbed/record"
)

const (
	statePath   = "/v1/kv/" // followed by the id of the attempt whose state is fetched
	releasePath = "/v1/kv/release"

	loadReportHeader = "endpoint-load-metrics"
)

// endpointConn is a connection of a dispatcher, or of another endpoint, to an endpoint.
type endpointConn struct {
	endpoint   *Endpoint
	conn       eventloop.Conn
	parser     http1.Parser
	head       *http1.Head
	body       []byte
	attempt    *endpointAttempt // the attempt in flight; nil: none
	zone       string           // zone of the peer, as the last request stated it
	deferred   []func()         // actions to run once the endpoint is neither frozen nor partitioned
	heldOutput []byte           // bytes written during a partition; they are sent once the partition has ended
	closed     bool
	streaming  bool
}

// Opened registers the connection, and pauses it for connectDelay if that fault is active.
func (c *endpointConn) Opened() {
	e := c.endpoint
	if !e.alive {
		return
	}
	e.lastConnNumber++
	e.conns[c] = e.lastConnNumber
	if e.connectDelay > 0 {
		c.conn.SetPaused(true)
		e.fleet.loop.AfterFunc(e.connectDelay, func() { c.conn.SetPaused(false) })
	}
}

// Drained does nothing: responses are small, so no backpressure is needed.
func (c *endpointConn) Drained() {}

// Closed marks the attempt in flight as disconnected, and removes it if it is queued or fetches its KV state.
func (c *endpointConn) Closed(error) {
	c.closed = true
	endpoint, attempt := c.endpoint, c.attempt
	delete(endpoint.conns, c)
	if attempt == nil {
		return
	}
	attempt.disconnected = true
	endpoint.fleet.record(endpoint, record.ConnectionLost, attempt)
	if i := slices.Index(endpoint.queued, attempt); i >= 0 {
		endpoint.queued = slices.Delete(endpoint.queued, i, i+1)
	} else if attempt.fetching {
		endpoint.removeAttempt(attempt)
	}
}

// Data parses requests, and aborts the connection on a malformed one.
func (c *endpointConn) Data(data []byte) {
	if c.parser.Feed(data, c) != nil {
		c.conn.Abort()
	}
}

// Head stores the head of a new request.
func (c *endpointConn) Head(head *http1.Head) error { c.head, c.body = head, nil; return nil }

// Body collects the body of a request.
func (c *endpointConn) Body(data []byte) error { c.body = append(c.body, data...); return nil }

// End handles a complete request. While the endpoint is frozen or partitioned, it defers all requests but the releases
// of KV states.
func (c *endpointConn) End() error {
	endpoint := c.endpoint
	if !endpoint.alive {
		return nil
	}
	head, body := c.head, c.body
	c.zone = head.Get("x-zone")
	switch head.Target {
	case releasePath:
		c.releaseStates(body)
	case ChatPath:
		endpoint.acceptChat(c, head, body)
	case EmbeddingsPath, RerankPath:
		endpoint.acceptBatch(c, head, body)
	default:
		serve := func() { c.serveOther(head) }
		if endpoint.frozen || c.partitioned() {
			c.deferred = append(c.deferred, serve)
			return nil
		}
		serve()
	}
	return nil
}

// releaseStates releases KV states at once, even while the endpoint can't serve, because the record states what arrived
// on the socket and when. The response waits until the endpoint can serve, as a response proves that its process runs.
func (c *endpointConn) releaseStates(body []byte) {
	for _, id := range gjson.GetBytes(body, "request_ids").Array() {
		c.endpoint.requestRelease(id.String())
	}
	respond := func() { c.respond(http.StatusOK, []byte("{}")) }
	if !c.canServe() {
		c.deferred = append(c.deferred, respond)
		return
	}
	respond()
}

// serveOther serves the fetch of a KV state and responds to any other path with an error.
func (c *endpointConn) serveOther(head *http1.Head) {
	attemptID, isState := strings.CutPrefix(head.Target, statePath)
	if !isState {
		c.respondError(http.StatusNotFound, errorUnknown)
		return
	}
	cell, _ := strconv.Atoi(head.Get("x-cell")) // 0, the first cell, if the request names none
	c.endpoint.serveState(c, attemptID, uint16(cell))
}

// loadReport returns the value of the load report header, which each response carries. While the fault of
// DelayLoadReports is active, loadReport repeats the last value until that value is reportAge old.
func (c *endpointConn) loadReport() string {
	e := c.endpoint
	now := e.fleet.loop.Now()
	if e.lastReport != "" && now-e.reportedAt < e.reportAge {
		return e.lastReport
	}
	usage := min(float64(e.usedMemory)/float64(e.kind.MemoryTokens), 1)
	e.reportedAt = now
	e.lastReport = "TEXT named_metrics.kv_cache_usage_perc=" + strconv.FormatFloat(usage, 'f', 3, 64)
	return e.lastReport
}

// partitioned reports whether a network partition separates the endpoint from its peer.
func (c *endpointConn) partitioned() bool {
	e := c.endpoint
	return e.partitionedZone != "" && (e.partitionedZone == c.zone) != (e.partitionedZone == e.Zone)
}

// canServe reports whether the endpoint's process is making progress and no partition separates it from its peer.
func (c *endpointConn) canServe() bool {
	return !c.endpoint.frozen && !c.endpoint.hung && !c.partitioned()
}

// write sends bytes, or holds them back during a partition.
func (c *endpointConn) write(data []byte) {
	if c.partitioned() {
		c.heldOutput = append(c.heldOutput, data...)
	} else {
		c.conn.Write(data)
	}
}

// respond sends a response. The attempt that it answers stays in flight until the response is on the network. A
// response that is sent during a partition reaches the network only when the partition ends.
func (c *endpointConn) respond(status int, body []byte) {
	endpoint := c.endpoint
	if c.closed || !endpoint.alive {
		return
	}
	if attempt := c.attempt; attempt != nil {
		recordAnswered := func() {
			endpoint.fleet.record(endpoint, record.AttemptAnswered, attempt)
			c.attempt = nil
		}
		if c.partitioned() {
			c.deferred = append(c.deferred, recordAnswered)
		} else {
			recordAnswered()
		}
	}
	c.write(http1.AppendResponse(nil, status, body,
		"Content-Type", "application/json", loadReportHeader, c.loadReport()))
}

// respondError responds with an error and records an AttemptRefused event with the error's code, even if the attempt
// ran before it failed.
func (c *endpointConn) respondError(status int, code string) {
	c.endpoint.lastError = code
	c.endpoint.fleet.record(c.endpoint, record.AttemptRefused, c.attempt)
	c.respond(status, []byte(`{"error":{"message":"`+code+`","type":"server_error","param":null,"code":"`+code+`"}}`))
}

// writeEvents writes server-sent events of a streamed answer. It writes the head of the response before the first
// events.
func (c *endpointConn) writeEvents(events []byte, last bool) {
	if c.closed || !c.endpoint.alive {
		return
	}
	var data []byte
	if !c.streaming {
		c.streaming = true
		data = http1.AppendStreamHead(data, http.StatusOK,
			"Content-Type", "text/event-stream", loadReportHeader, c.loadReport())
	}
	data = http1.AppendChunk(data, events)
	if last {
		data = http1.AppendLastChunk(data)
		c.attempt, c.streaming = nil, false
	}
	c.write(data)
}

// resume sends the bytes that were held back and runs the actions that were deferred during a freeze or a partition.
func (c *endpointConn) resume() {
	if len(c.heldOutput) > 0 {
		c.conn.Write(c.heldOutput)
		c.heldOutput = nil
	}
	for len(c.deferred) > 0 && !c.closed {
		next := c.deferred[0]
		c.deferred = c.deferred[1:]
		next()
	}
}
