package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

const (
	maxHeadBytes   = 16 << 10
	maxHeadFields  = 64
	maxBodyBytes   = 1 << 20
	maxAnswerBytes = 256 << 10 // unsent answers of one connection; above this, its next request waits
	idleTimeout    = 60 * eventloop.Second
	requestTimeout = 10 * eventloop.Second // from the first byte of a request to its last
)

const (
	apiPrefix      = "/admin/v1/"
	internalPrefix = "/internal/v1/" // for dispatchers
	metricsPath    = "/metrics"
)

// connection is the connection of a client. It handles its requests one after the other. Once it is a follower that
// gets updates, it ignores further requests.
type connection struct {
	server    *Server
	conn      eventloop.Conn
	parser    http1.Parser
	head      *http1.Head
	body      []byte
	timer     eventloop.Timer
	closed    bool
	following bool
	lagging   bool // the next request waits until all answers were sent
}

// Accept returns the handler for a new connection of the listener.
func (s *Server) Accept(conn eventloop.Conn) eventloop.Handler {
	limits := http1.Limits{HeadBytes: maxHeadBytes, FieldCount: maxHeadFields, BodyBytes: maxBodyBytes}
	return &connection{server: s, conn: conn, parser: http1.Parser{Limits: limits}}
}

// Opened is called once the connection is open.
func (c *connection) Opened() { c.abortAfter(idleTimeout) }

// Drained is called when all data has been sent. For followers it does nothing, as notify detects lagging followers by
// the amount of their unsent data.
func (c *connection) Drained() {
	if c.lagging {
		c.lagging = false
		c.serveNext()
	}
}

// Closed is called once the connection is closed.
func (c *connection) Closed(error) {
	c.closed = true
	c.timer.Stop()
	c.server.removeFollower(c)
}

// abortAfter aborts the connection after a timeout. It replaces the previous timeout.
func (c *connection) abortAfter(timeout eventloop.Micros) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = c.server.loop.AfterFunc(timeout, c.conn.Abort)
}

// Data is called with data from the client.
func (c *connection) Data(data []byte) {
	if c.closed || c.following {
		return
	}
	if c.parser.Idle() {
		c.abortAfter(requestTimeout)
	}
	c.checkParsed(c.parser.Feed(data, c))
	if c.parser.Buffered() > maxHeadBytes {
		c.conn.SetPaused(true) // leave further pipelined requests in the socket
	}
}

// checkParsed rejects a request that can't be parsed, and closes the connection.
func (c *connection) checkParsed(err error) {
	var protocolErr *http1.ProtocolError
	if errors.As(err, &protocolErr) && !c.closed {
		c.closed = true
		c.send(errorResponse(protocolErr.Status, "malformed", "", protocolErr.Reason), "Connection", "close")
		c.conn.Close()
	}
}

// serveNext parses the pipelined requests, once the answers before them were sent. The parser pauses after each one.
func (c *connection) serveNext() {
	switch {
	case c.closed || c.following:
	case c.conn.Unsent() > maxAnswerBytes:
		c.lagging = true
	default:
		c.conn.SetPaused(false)
		c.checkParsed(c.parser.Resume(c))
	}
}

// Head is called with the head of a request.
func (c *connection) Head(head *http1.Head) error {
	c.head, c.body = head, nil
	return nil
}

// Body is called with a part of the body of a request.
func (c *connection) Body(data []byte) error {
	c.body = append(c.body, data...)
	return nil
}

// End is called at the end of a request, and answers it.
func (c *connection) End() error {
	c.abortAfter(idleTimeout)
	keepAlive := c.head.KeepAlive()
	target, query, _ := strings.Cut(c.head.Target, "?")
	r := &request{method: c.head.Method, head: c.head, body: c.body, query: parseQuery(query)}
	token, _ := strings.CutPrefix(c.head.Get("Authorization"), "Bearer ")
	if path, ok := strings.CutPrefix(target, internalPrefix); ok {
		c.handleDispatcher(r, path, token)
		if c.following {
			return nil
		}
	} else {
		c.send(c.server.handleAPI(r, target, token))
	}
	if !keepAlive {
		c.closed = true
		c.conn.Close()
		return nil
	}
	c.parser.Pause()
	c.server.loop.AfterFunc(0, c.serveNext) // the loop handles other events between two requests
	return nil
}

// handleDispatcher handles a request of the internal API for dispatchers.
func (c *connection) handleDispatcher(r *request, path, token string) {
	switch {
	case !c.server.isDispatcher(token):
		c.send(errorResponse(http.StatusUnauthorized, "unauthorized", "", "this is for dispatchers"))
	case path == "tenants":
		c.follow(r)
	case path == "usage" && r.method == http.MethodPost:
		c.send(c.server.addReport(r.body))
	default:
		c.send(errorResponse(http.StatusNotFound, "unknown_url", "", "unknown URL"))
	}
}

// handleAPI returns the answer to a request of an operator, a viewer or a tenant.
func (s *Server) handleAPI(r *request, target, token string) response {
	path, isAPI := strings.CutPrefix(target, apiPrefix)
	if !isAPI && target != metricsPath {
		return errorResponse(http.StatusNotFound, "unknown_url", "", "unknown URL")
	}
	r.path = strings.Split(strings.Trim(path, "/"), "/")
	identified, known := s.identify(token)
	if !known {
		return errorResponse(http.StatusUnauthorized, "unauthorized", "", "no valid key was given")
	}
	r.caller = identified
	return s.route(r)
}

// send sends a response. fields are the names and values of additional header fields, in pairs.
func (c *connection) send(r response, fields ...string) {
	body, contentType := r.text, r.contentType
	if r.text == nil {
		body, _ = json.Marshal(r.body) // can't fail for the types of response bodies
		contentType = "application/json"
	}
	if r.etag != 0 {
		fields = append(fields, "ETag", strconv.Quote(strconv.FormatUint(r.etag, 10)))
	}
	fields = append(fields, "Content-Type", contentType, "Cache-Control", "no-store")
	c.conn.Write(http1.AppendResponse(nil, r.status, body, fields...))
}
