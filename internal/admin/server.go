// Package admin is the administration: an HTTP API on a listener of its own for adding, limiting and removing tenants, and
// the source that dispatchers follow. What a change means is package tenancy's; here it is asked for, kept and told.
package admin

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/store"
)

const (
	bodyMost  = 1 << 20
	idleFor   = 60 * eventloop.Second
	slowFor   = 10 * eventloop.Second
	heartbeat = 4 * eventloop.Second

	unsentMost = 4 << 20 // bytes that are kept for a follower that lags; past it it is cut off, and asks for all again
)

// request is one call, taken apart.
type request struct {
	method string
	path   []string // without the leading /admin/v1 or /internal/v1
	query  map[string]string
	head   *http1.Head
	body   []byte
	who    caller
	also   []store.Op // kept together with the change that it makes
}

// answer is what a call gets.
type answer struct {
	status int
	body   any
	etag   uint64
	text   []byte // in place of body, with kind
	kind   string
}

func fail(status int, code, field, message string) answer {
	return answer{status: status, body: map[string]any{"error": map[string]any{"code": code, "field": field, "message": message}}}
}

// conn is one connection to the administration.
type conn struct {
	admin  *Server
	conn   eventloop.Conn
	parser http1.Parser
	head   *http1.Head
	body   []byte
	timer  eventloop.Timer
	over   bool
	follow bool // it is told of changes
	name   string
}

// Accept is for the listener.
func (a *Server) Accept(c eventloop.Conn) eventloop.Handler {
	return &conn{admin: a, conn: c, parser: http1.Parser{Limits: http1.Limits{HeadBytes: 16 << 10, FieldCount: 64, BodyBytes: bodyMost}}}
}

func (c *conn) Opened()  { c.wait(idleFor) }
func (c *conn) Drained() {}
func (c *conn) wait(span eventloop.Micros) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = c.admin.loop.AfterFunc(span, c.conn.Abort)
}

func (c *conn) Closed(error) {
	c.over = true
	c.timer.Stop()
	c.admin.unfollow(c)
}

func (c *conn) Data(b []byte) {
	if c.over || c.follow {
		return
	}
	if c.parser.Idle() {
		c.wait(slowFor)
	}
	var fault *http1.ProtocolError
	if err := c.parser.Feed(b, c); errors.As(err, &fault) {
		c.over = true
		c.send(fail(fault.Status, "malformed", "", fault.Reason), "Connection", "close")
		c.conn.Close()
	}
}

func (c *conn) Head(h *http1.Head) error { c.head, c.body = h, nil; return nil }
func (c *conn) Body(b []byte) error      { c.body = append(c.body, b...); return nil }

func (c *conn) End() error {
	c.wait(idleFor)
	keep := c.head.KeepAlive()
	target, query, _ := strings.Cut(c.head.Target, "?")
	r := &request{method: c.head.Method, head: c.head, body: c.body, query: map[string]string{}}
	for _, pair := range strings.Split(query, "&") {
		if k, v, ok := strings.Cut(pair, "="); ok {
			r.query[k] = v
		}
	}
	token, _ := strings.CutPrefix(c.head.Get("Authorization"), "Bearer ")
	switch {
	case strings.HasPrefix(target, "/internal/v1/"):
		if !c.admin.isDispatcher(token) {
			c.send(fail(401, "unauthorized", "", "this is for dispatchers"))
		} else if rest := strings.TrimPrefix(target, "/internal/v1/"); rest == "tenants" {
			c.begin(r)
			return nil
		} else if rest == "usage" && r.method == "POST" {
			c.send(c.admin.takeReport(r.body))
		} else {
			c.send(fail(404, "unknown_url", "", "unknown URL"))
		}
	case strings.HasPrefix(target, "/admin/v1/"), target == "/metrics":
		r.path = strings.Split(strings.Trim(strings.TrimPrefix(target, "/admin/v1/"), "/"), "/")
		var known bool
		if r.who, known = c.admin.identify(token); !known {
			c.send(fail(401, "unauthorized", "", "no valid key was given"))
		} else {
			c.send(c.admin.call(r))
		}
	default:
		c.send(fail(404, "unknown_url", "", "unknown URL"))
	}
	if !keep {
		c.over = true
		c.conn.Close()
	}
	return nil
}

func (c *conn) send(a answer, fields ...string) {
	body, kind := a.text, a.kind
	if a.text == nil {
		body, _ = json.Marshal(a.body)
		kind = "application/json"
	}
	if a.etag != 0 {
		fields = append(fields, "ETag", strconv.Quote(strconv.FormatUint(a.etag, 10)))
	}
	c.conn.Write(http1.AppendResponse(nil, a.status, body, append(fields, "Content-Type", kind, "Cache-Control", "no-store")...))
}

// begin makes a connection one that is told of changes.
func (c *conn) begin(r *request) {
	c.follow = true
	c.timer.Stop()
	c.name = r.head.Get("x-dispatcher")
	c.conn.Write(http1.AppendStreamHead(nil, 200, "Content-Type", "text/event-stream"))
	since, _ := strconv.ParseUint(r.query["since"], 10, 64)
	c.tell(c.admin.registry.UpdateSince(r.query["epoch"], since))
	c.admin.followers = append(c.admin.followers, c)
}

func (c *conn) tell(news any) {
	b, err := json.Marshal(news)
	if c.conn.Unsent() > unsentMost {
		c.conn.Abort()
		return
	}
	if err == nil {
		c.conn.Write(http1.AppendChunk(nil, sse.Append(nil, b)))
	}
}

// version reads If-Match; 0 is any.
func (r *request) version() (uint64, bool) {
	text := r.head.Get("If-Match")
	if text == "" || text == "*" {
		return 0, true
	}
	v, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	return v, err == nil && v > 0
}
