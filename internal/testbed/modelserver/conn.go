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
	statePath   = "/v1/kv/" // followed by the attempt that the state is of
	releasePath = "/v1/kv/release"

	loadReportHeader = "endpoint-load-metrics"
)

// endpointConn is a connection of a dispatcher, or of another endpoint, to an endpoint.
type endpointConn struct {
	endpoint  *Endpoint
	conn      eventloop.Conn
	parser    http1.Parser
	head      *http1.Head
	body      []byte
	attempt   *endpointAttempt // in flight
	zone      string           // of the other end
	deferred  []func()         // to be done once the endpoint is neither frozen nor partitioned
	unsent    []byte           // what was written while partitioned; the network brings it once it can
	closed    bool
	streaming bool
}

// Opened counts the connection, and has it wait where the endpoint is slow to accept.
func (c *endpointConn) Opened() {
	e := c.endpoint
	if !e.alive {
		return
	}
	e.lastConn++
	e.conns[c] = e.lastConn
	if e.connectDelay > 0 {
		c.conn.SetPaused(true)
		e.fleet.loop.AfterFunc(e.connectDelay, func() { c.conn.SetPaused(false) })
	}
}

// Drained is not needed: answers are small.
func (c *endpointConn) Drained() {}

// Closed abandons the attempt in flight.
func (c *endpointConn) Closed(error) {
	c.closed = true
	endpoint, attempt := c.endpoint, c.attempt
	delete(endpoint.conns, c)
	if attempt == nil {
		return
	}
	attempt.abandoned = true
	endpoint.fleet.record(endpoint, record.ConnectionLost, attempt)
	if i := slices.Index(endpoint.queued, attempt); i >= 0 {
		endpoint.queued = slices.Delete(endpoint.queued, i, i+1)
	} else if attempt.fetching {
		endpoint.finish(attempt)
	}
}

// Data parses requests.
func (c *endpointConn) Data(data []byte) {
	if c.parser.Feed(data, c) != nil {
		c.conn.Abort()
	}
}

// Head begins a request.
func (c *endpointConn) Head(head *http1.Head) error { c.head, c.body = head, nil; return nil }

// Body collects a request's body.
func (c *endpointConn) Body(data []byte) error { c.body = append(c.body, data...); return nil }

// End serves a request, or has it wait until the endpoint can act.
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

// releaseStates releases states, also while the endpoint can't act: the record is of what came over the socket, and
// when. It is answered only once the endpoint can act, as an answer proves that it runs.
func (c *endpointConn) releaseStates(body []byte) {
	for _, id := range gjson.GetBytes(body, "request_ids").Array() {
		c.endpoint.requestRelease(id.String())
	}
	confirm := func() { c.answer(http.StatusOK, []byte("{}")) }
	if !c.canAct() {
		c.deferred = append(c.deferred, confirm)
		return
	}
	confirm()
}

func (c *endpointConn) serveOther(head *http1.Head) {
	attemptID, isState := strings.CutPrefix(head.Target, statePath)
	if !isState {
		c.fail(http.StatusNotFound, errorUnknown)
		return
	}
	cell, _ := strconv.Atoi(head.Get("x-cell")) // the first where none is named
	c.endpoint.serveState(c, attemptID, uint16(cell))
}

// loadReport returns the endpoint's load as it is sent with each answer; a slow endpoint sends old ones.
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

// partitioned reports whether the network carries nothing between the two ends.
func (c *endpointConn) partitioned() bool {
	e := c.endpoint
	return e.partitionedZone != "" && (e.partitionedZone == c.zone) != (e.partitionedZone == e.Zone)
}

// canAct reports whether the endpoint's process runs and is reached from the other end.
func (c *endpointConn) canAct() bool {
	return !c.endpoint.frozen && !c.endpoint.hung && !c.partitioned()
}

func (c *endpointConn) write(data []byte) {
	if c.partitioned() {
		c.unsent = append(c.unsent, data...)
	} else {
		c.conn.Write(data)
	}
}

// answer answers a request. Its attempt is in flight until the answer is on the network.
func (c *endpointConn) answer(status int, body []byte) {
	endpoint := c.endpoint
	if c.closed || !endpoint.alive {
		return
	}
	if attempt := c.attempt; attempt != nil {
		answered := func() {
			endpoint.fleet.record(endpoint, record.AttemptAnswered, attempt)
			c.attempt = nil
		}
		if c.partitioned() {
			c.deferred = append(c.deferred, answered)
		} else {
			answered()
		}
	}
	c.write(http1.AppendResponse(nil, status, body,
		"Content-Type", "application/json", loadReportHeader, c.loadReport()))
}

// fail answers with an error.
func (c *endpointConn) fail(status int, code string) {
	c.endpoint.lastError = code
	c.endpoint.fleet.record(c.endpoint, record.AttemptRefused, c.attempt)
	c.answer(status, []byte(`{"error":{"message":"`+code+`","type":"server_error","param":null,"code":"`+code+`"}}`))
}

// writeEvents writes events of a streamed answer.
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

// resume sends what was written and does what was deferred while the endpoint was frozen or partitioned.
func (c *endpointConn) resume() {
	if len(c.unsent) > 0 {
		c.conn.Write(c.unsent)
		c.unsent = nil
	}
	for len(c.deferred) > 0 && !c.closed {
		next := c.deferred[0]
		c.deferred = c.deferred[1:]
		next()
	}
}
