// Package frontend is what all of the client's APIs share: connections of clients, who they are, bodies with their bounds, the
// one final answer to a request, error objects. An API is a Route: how its requests are read and its answers are shaped. The
// front decides nothing about where a generation goes, nor whether it is throttled.
package frontend

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

// ClientLimits is how long the front waits for a client, and what it buffers for it.
type ClientLimits struct {
	MessageTimeout eventloop.Micros // for a request, from its first byte to its last
	IdleTimeout    eventloop.Micros // for the next request
	StallTimeout   eventloop.Micros // for a client that reads nothing of what is sent
	MaxUnsentBytes int              // bytes of an answer kept for a slow client; past it the writer is slowed
}

// DefaultClientLimits suits clients near by.
var DefaultClientLimits = ClientLimits{MessageTimeout: 10 * eventloop.Second, IdleTimeout: 75 * eventloop.Second, StallTimeout: 10 * eventloop.Second, MaxUnsentBytes: 64 << 10}

// Service is what stands behind the front.
type Service interface {
	// Identify finds whose key it is.
	Identify(key string) (who Identity, known bool)
}

// Route is one URL of an API.
type Route struct {
	Method      string
	MaxBody     int // bytes that a body may have; 0: as the front's bounds say
	MaxBuffered int // bytes of a body that are kept at once, however long it is; 0: all
	// Begin takes a request whose head has come: either it gives what takes the body, or the request is refused. Once the
	// body's end was taken without a problem exactly one final answer is owed on the reply.
	Begin func(head *http1.Head, who Identity, to *Response) (Sink, *Problem)
}

// Sink takes one request's body as it comes.
type Sink interface {
	Data(b []byte) *Problem
	End() *Problem
}

// BufferedBody is a Sink that needs all of a body at once.
type BufferedBody struct {
	body   []byte
	Handle func(body []byte) *Problem
}

func (w *BufferedBody) Data(b []byte) *Problem { w.body = append(w.body, b...); return nil }
func (w *BufferedBody) End() *Problem          { return w.Handle(w.body) }

// RequireJSON refuses what is not said to be JSON, and codings other than those that are taken.
func RequireJSON(head *http1.Head, codings ...string) *Problem {
	if t := head.Get("Content-Type"); t != "" && !strings.HasPrefix(strings.ToLower(t), "application/json") {
		return &Problem{Status: 415, Type: "invalid_request_error", Code: "unsupported_content_type", Message: "The content type must be application/json."}
	}
	e := strings.ToLower(head.Get("Content-Encoding"))
	if e == "" || e == "identity" || slices.Contains(codings, e) {
		return nil
	}
	message := "Coded bodies are not taken."
	if len(codings) > 0 {
		message = "Bodies are taken plain or coded as " + strings.Join(codings, " or ") + "."
	}
	return &Problem{Status: 415, Type: "invalid_request_error", Code: "unsupported_content_encoding", Message: message}
}

// Problem is a request that can't be carried, as the client is told of it.
type Problem struct {
	Status  int
	Type    string
	Param   string
	Code    string
	Message string
	NoRetry bool // no repeat can help: client libraries are told not to try
}

func (p *Problem) Error() string { return p.Message }

// Body is the error object of the specification.
func (p *Problem) Body() []byte {
	quote := func(s string) any {
		if s == "" {
			return nil
		}
		return s
	}
	b, _ := json.Marshal(map[string]any{"error": map[string]any{"message": p.Message, "type": p.Type,
		"param": quote(p.Param), "code": quote(p.Code)}})
	return b
}

// Invalid is a request whose parameter is no good.
func Invalid(param, code, format string, args ...any) *Problem {
	return &Problem{Status: 400, Type: "invalid_request_error", Param: param, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Identity is whom a key belongs to. Names of texts and sessions are apart by Space, which no two tenants share.
type Identity struct {
	Tenant string
	Key    string // the key's id, never the key
	Space  string
	Active bool // false: the tenant is known and not served now
}

// Server takes connections of clients.
type Server struct {
	loop     eventloop.Loop
	service  Service
	routes   map[string]Route
	bounds   http1.Limits
	patience ClientLimits
	clients  map[*client]bool
	leaving  bool
	lastNo   uint64
	// OpenRequests is how many requests wait for their final answer.
	OpenRequests int
	// MaxConnections, where it is above 0, is how many connections clients may have. Requests on more are throttled, and their connections
	// closed; connections beyond an eighth more are not served at all. What hosts, the list's source and the administration are
	// reached by must not run out because clients hold all there is.
	MaxConnections int
	// MaxBufferedBytes, where it is above 0, is how many bytes of bodies are kept at once, of requests that come or wait for their answer; one
	// that would go beyond it is throttled, and nothing more of it is kept.
	MaxBufferedBytes int
	// BufferedBytes is how many are.
	BufferedBytes int
}

// New makes one; its Accept goes to Listen. Routes are by path; one that ends in a slash takes all paths below it.
func New(loop eventloop.Loop, service Service, routes map[string]Route, bounds http1.Limits, patience ClientLimits) *Server {
	f := &Server{loop: loop, service: service, routes: routes, bounds: bounds, patience: patience, clients: map[*client]bool{}}
	f.bounds.BodyBytesFor = func(target string) int {
		if r, some := f.route(target); some && r.MaxBody > 0 {
			return r.MaxBody
		}
		return bounds.BodyBytes
	}
	return f
}

func (f *Server) route(target string) (Route, bool) {
	path, _, _ := strings.Cut(target, "?")
	r, some := f.routes[path]
	if at := strings.LastIndexByte(path, '/'); !some && at > 0 {
		r, some = f.routes[path[:at+1]]
	}
	return r, some
}

// Accept is for the listener.
func (f *Server) Accept(c eventloop.Conn) eventloop.Handler {
	return &client{front: f, conn: c, parser: http1.Parser{Limits: f.bounds}}
}

// Shutdown takes no further request; what runs goes on, and a connection is closed after its answer.
func (f *Server) Shutdown() {
	f.leaving = true
	for c := range f.clients {
		if c.reply == nil {
			c.idleTimedOut()
		}
	}
}

// client is one connection of a client, with one request at a time.
type client struct {
	front  *Server
	conn   eventloop.Conn
	parser http1.Parser
	head   *http1.Head
	sink   Sink
	refuse *Problem // what the request will be answered with, once it has come
	came   int      // bytes of its body since its time was last drawn out
	reply  *Response
	waits  eventloop.Timeout
	out    []byte
	over   bool // nothing more is read
	no     uint64
	idle   eventloop.Micros // since when it has waited for a request
}

func (c *client) Opened() {
	f := c.front
	if f.leaving {
		c.over = true
		c.conn.Close()
		return
	}
	if f.MaxConnections > 0 && len(f.clients) >= f.MaxConnections {
		f.dropIdle()
	}
	if f.MaxConnections > 0 && len(f.clients) >= f.MaxConnections+f.MaxConnections/8+1 {
		c.over = true
		c.conn.Write(BusyResponse())
		c.waits.Set(c.front.loop, busyFor, func() { c.conn.Close() }) // what it sends is taken meanwhile, as a reset would overtake the answer
		return
	}
	f.lastNo++
	c.no, c.idle = f.lastNo, f.loop.Now()
	f.clients[c] = true
	c.waits.Set(c.front.loop, c.front.patience.IdleTimeout, c.idleTimedOut)
}

// idleTimedOut closes a connection without a request, unless something has come that was not handed over yet: a request that was read
// must not meet a close.
func (c *client) idleTimedOut() {
	if !c.conn.CloseIfIdle() {
		c.waits.Set(c.front.loop, crossingPause, c.idleTimedOut)
	}
}

// crowded tells whether clients have all the connections that they may have.
func (f *Server) crowded() bool { return f.MaxConnections > 0 && len(f.clients) > f.MaxConnections }

// dropIdle closes the connection that has waited longest for a request, where that is a while. One on which something has just come
// waits no more.
func (f *Server) dropIdle() {
	for {
		oldest := f.oldestIdle()
		if oldest == nil {
			return
		}
		if oldest.conn.CloseIfIdle() {
			oldest.over = true
			delete(f.clients, oldest)
			return
		}
		oldest.idle = f.loop.Now()
	}
}

func (f *Server) oldestIdle() (oldest *client) {
	for c := range f.clients {
		if c.reply == nil && !c.over && c.parser.Idle() && f.loop.Now()-c.idle > idleLeast && (oldest == nil || c.no < oldest.no) {
			oldest = c
		}
	}
	return oldest
}

// BusyResponse is the answer to a connection that is not served for want of room; nothing has run.
func BusyResponse() []byte {
	p := TooManyConnections()
	return http1.AppendResponse(nil, p.Status, p.Body(), append(backFields(0), "Connection", "close", "Content-Type", "application/json")...)
}

// TooManyConnections is a request that is turned away for want of room; nothing of it has run.
func TooManyConnections() *Problem {
	return &Problem{Status: 429, Type: "rate_limit_error", Code: "throttled", Message: "The service is busy; nothing was run. Please try again."}
}

// deaf takes a body that is not looked at.
type deaf struct{ end func() }

func isDeaf(s Sink) bool { _, is := s.(*deaf); return is }

func (d *deaf) Data([]byte) *Problem { return nil }
func (d *deaf) End() *Problem        { d.end(); return nil }

func (c *client) Data(b []byte) {
	if c.over {
		return
	}
	if c.reply == nil && c.parser.Idle() {
		// A whole message is waited for from its first byte: bytes that trickle in buy no further time.
		c.awaitMessage()
	}
	c.check(c.parser.Feed(b, c))
	if c.parser.Buffered() > c.front.bounds.HeadBytes {
		c.conn.Pause(true) // requests sent ahead wait in the socket
	}
}

func (c *client) awaitMessage() {
	c.came = 0
	c.waits.Set(c.front.loop, c.front.patience.MessageTimeout, func() {
		c.refused(&Problem{Status: 408, Type: "invalid_request_error", Code: "request_timeout", Message: "The request did not come in time."})
	})
}

func (c *client) check(err error) {
	var fault *http1.ProtocolError
	if errors.As(err, &fault) {
		kind := "invalid_request_error"
		c.refused(&Problem{Status: fault.Status, Type: kind, Message: "The request can't be read: " + fault.Reason + "."})
	}
}

// refused answers a request that can't be carried and closes, as what follows can't be told apart any more.
func (c *client) refused(p *Problem) {
	if c.over {
		return
	}
	c.over = true
	if r := c.reply; r != nil && !r.taken {
		r.free()
		r.done, c.reply = true, nil // it is answered here, and nobody else was told of it
		c.front.OpenRequests--
	} else if r != nil {
		c.reply.leave() // what was pipelined behind it is broken; its answer can't be told apart from the refusal's
		c.conn.Abort()
		return
	}
	c.send(p, "Connection", "close")
	c.conn.Close()
	c.waits.Set(c.front.loop, c.front.patience.StallTimeout, func() { c.conn.Abort() })
}

func (c *client) send(p *Problem, fields ...string) {
	c.conn.Write(http1.AppendResponse(nil, p.Status, p.Body(), append(fields, "Content-Type", "application/json")...))
}

// idleLeast is how long a connection has waited for a request before it makes way for others.
const idleLeast = eventloop.Second

// crossingPause is how long an idle connection on which something has just come is left alone.
const crossingPause = 50 * eventloop.Millisecond

// busyFor is how long a connection that is not served may take to read why.
const busyFor = 200 * eventloop.Millisecond

// drawOut is how much of a long body buys a whole message's time again.
const drawOut = 1 << 20

// Head, Body and End are the parser's events.
func (c *client) Head(h *http1.Head) error {
	c.head, c.sink, c.refuse = h, nil, nil
	c.reply = &Response{client: c, stays: h.KeepAlive() && !c.front.leaving}
	c.front.OpenRequests++
	c.sink, c.refuse = c.front.begin(h, c.reply)
	if r, some := c.front.route(h.Target); some {
		c.reply.keeps = r.MaxBuffered
	}
	if strings.EqualFold(h.Get("Expect"), "100-continue") {
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return nil
}

func (c *client) Body(b []byte) error {
	if c.came += len(b); c.came >= drawOut && !c.reply.paused {
		c.awaitMessage()
	}
	switch {
	case c.refuse != nil || c.sink == nil:
	case !isDeaf(c.sink) && !c.reply.keep(len(b)):
		to := c.reply
		if to.OnDisconnect != nil { // what takes the body has begun with it, and is told that nobody waits
			to.OnDisconnect()
			to.OnDisconnect = nil
		}
		to.free()
		to.PauseBody(false)
		c.sink = &deaf{func() { to.Reject(0) }}
	default:
		c.refuse = c.sink.Data(b)
	}
	return nil
}

func (c *client) End() error {
	c.parser.Pause()
	c.waits.Clear()
	to, sink, p := c.reply, c.sink, c.refuse
	c.head, c.sink, c.refuse = nil, nil, nil
	to.taken = true
	if p == nil && sink != nil {
		p = sink.End()
	}
	if p != nil {
		to.problem(p)
	}
	return nil
}

// begin finds what a request asks for, and who asks.
func (f *Server) begin(head *http1.Head, to *Response) (Sink, *Problem) {
	if f.leaving || f.crowded() {
		// Nothing ran; another dispatcher takes it.
		to.stays = false
		return &deaf{func() { to.Reject(0) }}, nil
	}
	path, _, _ := strings.Cut(head.Target, "?")
	key, bearer := strings.CutPrefix(head.Get("Authorization"), "Bearer ")
	unknown := &Problem{Status: 404, Type: "invalid_request_error", Code: "unknown_url", Message: "Unknown request URL: " + head.Method + " " + path + "."}
	if !strings.HasPrefix(path, "/v1/") {
		return nil, unknown
	}
	if !bearer || key == "" {
		return nil, &Problem{Status: 401, Type: "invalid_request_error", Message: "You didn't provide an API key."}
	}
	who, known := f.service.Identify(key)
	if !known {
		return nil, &Problem{Status: 401, Type: "invalid_request_error", Code: "invalid_api_key", Message: "Incorrect API key provided."}
	}
	r, some := f.route(head.Target)
	switch {
	case !some:
		return nil, unknown
	case head.Method != r.Method:
		return nil, method(head.Method)
	}
	return r.Begin(head, who, to)
}

func method(name string) *Problem {
	return &Problem{Status: 405, Type: "invalid_request_error", Message: "Not allowed to " + strings.ToUpper(name) + " on this URL."}
}

// ModelRoutes are the routes by which clients ask what is on offer.
func ModelRoutes(names func() []string) map[string]Route {
	entry := func(m string) map[string]any {
		return map[string]any{"id": m, "object": "model", "created": 0, "owned_by": "plumspindle"}
	}
	all := Route{Method: "GET", Begin: func(_ *http1.Head, _ Identity, to *Response) (Sink, *Problem) {
		return &BufferedBody{Handle: func([]byte) *Problem {
			list := []any{}
			for _, m := range names() {
				list = append(list, entry(m))
			}
			b, _ := json.Marshal(map[string]any{"object": "list", "data": list})
			to.finish(200, b)
			return nil
		}}, nil
	}}
	one := Route{Method: "GET", Begin: func(head *http1.Head, _ Identity, to *Response) (Sink, *Problem) {
		path, _, _ := strings.Cut(head.Target, "?")
		name := path[strings.LastIndexByte(path, '/')+1:]
		if !slices.Contains(names(), name) {
			return nil, ModelNotFound(name)
		}
		return &BufferedBody{Handle: func([]byte) *Problem {
			b, _ := json.Marshal(entry(name))
			to.finish(200, b)
			return nil
		}}, nil
	}}
	return map[string]Route{"/v1/models": all, "/v1/models/": one}
}

// ModelNotFound is the answer to a model that is not on offer.
func ModelNotFound(name string) *Problem {
	if len(name) > 60 {
		name = name[:60]
	}
	return &Problem{Status: 404, Type: "invalid_request_error", Param: "model", Code: "model_not_found", Message: "The model '" + name + "' does not exist or you do not have access to it."}
}

func (c *client) Drained() {
	if c.over {
		return
	}
	if r := c.reply; r != nil {
		c.waits.Clear()
		if r.OnDrained != nil {
			r.OnDrained()
		}
	}
}

func (c *client) Closed(error) {
	delete(c.front.clients, c)
	c.over = true
	c.waits.Clear()
	if c.reply != nil {
		c.reply.leave()
	}
}

// next makes the connection ready for another request.
func (c *client) next() {
	c.reply, c.idle = nil, c.front.loop.Now()
	c.waits.Set(c.front.loop, c.front.patience.IdleTimeout, c.idleTimedOut)
	c.conn.Pause(false)
	c.check(c.parser.Resume(c))
}

// --- The reply ---

// Format is what an API makes of a writer's events.
type Format interface {
	RequestID() string
	Streaming() bool                    // the client is sent events, else one whole answer
	Unstarted() bool                    // nothing of the answer has been shaped yet
	AppendEvent(b, event []byte) []byte // appends what the client is sent for one event
	AppendEnd(b []byte) []byte          // what it is sent at the end of a stream
	Object() []byte                     // the whole answer
}

// Response carries one final answer to the client, and nothing after it.
type Response struct {
	client *client
	stays  bool // the connection does, after the answer
	taken  bool // the whole request has come
	kept   int  // bytes of its body
	keeps  int
	paused bool
	begun  bool
	done   bool
	shape  Format
	out    []byte
	// OnDisconnect is called once when the client goes away before its final answer; OnDrained when a client that
	// lagged has caught up.
	OnDisconnect func()
	OnDrained    func()
}

// Done tells that the final answer was given, or that nobody waits for one.
func (r *Response) Done() bool { return r.done }

// keep counts bytes of the body that are kept from now on, if there is room for them.
func (r *Response) keep(n int) bool {
	f := r.client.front
	if r.keeps > 0 {
		n = max(min(n, r.keeps-r.kept), 0)
	}
	if f.MaxBufferedBytes > 0 && f.BufferedBytes+n > f.MaxBufferedBytes {
		return false
	}
	r.kept, f.BufferedBytes = r.kept+n, f.BufferedBytes+n
	return true
}

// free: nothing of the body is kept any more.
func (r *Response) free() {
	r.client.front.BufferedBytes -= r.kept
	r.kept = 0
}

// Started tells that the first byte of a streamed answer has been sent.
func (r *Response) Started() bool { return r.begun }

// SetFormat says how the answer is to look; before the first chunk.
func (r *Response) SetFormat(s Format) { r.shape = s }

// PauseBody has the request's body wait, where what was read of it already is enough to go on with.
func (r *Response) PauseBody(on bool) {
	c := r.client
	if r.taken || r.done || r.paused == on {
		return
	}
	r.paused = on
	c.conn.Pause(on)
	if on {
		c.waits.Clear()
	} else {
		c.awaitMessage()
	}
}

// Error is the final answer to a request whose body is still coming, or has come.
func (r *Response) Error(p *Problem) {
	if r.done {
		return
	}
	if r.taken {
		r.problem(p)
		return
	}
	r.client.refuse = p
	r.PauseBody(false)
}

// Stream is a long whole answer that is made piece by piece, as the client takes it.
func (r *Response) Stream(kind string, next func() (piece []byte, more bool), fields ...string) {
	if r.done {
		return
	}
	c := r.client
	r.begun = true
	c.conn.Write(http1.AppendStreamHead(nil, 200, append(fields, "Content-Type", kind)...))
	on := func() {
		for !r.done && c.conn.Unsent() < c.front.patience.MaxUnsentBytes {
			piece, more := next()
			b := http1.AppendChunk(nil, piece)
			if !more {
				c.conn.Write(http1.AppendLastChunk(b))
				r.close()
				return
			}
			c.conn.Write(b)
		}
		if !r.done {
			c.waits.Set(c.front.loop, c.front.patience.StallTimeout, func() { c.stalled() })
		}
	}
	r.OnDrained = on
	on()
}

// WriteEvent hands on one usable event of a writer. It tells whether the client lags behind.
func (r *Response) WriteEvent(data []byte) (lags bool) {
	if r.done {
		return false
	}
	c := r.client
	event := r.shape.AppendEvent(r.out[:0], data)
	r.out = event
	if len(event) == 0 {
		return false
	}
	b := c.out[:0]
	if !r.begun {
		r.begun = true
		b = r.head(b)
	}
	c.out = http1.AppendChunk(b, event)
	c.conn.Write(c.out)
	return c.waits.LimitUnsent(c.front.loop, c.conn, c.front.patience.MaxUnsentBytes, c.front.patience.StallTimeout, c.stalled)
}

// Heartbeat begins the stream, where it has not begun, and sends a comment that clients pass over. It tells whether there
// is still something to wait for.
func (r *Response) Heartbeat() bool {
	if r.done || r.begun && !r.shape.Unstarted() {
		return false
	}
	c := r.client
	b := c.out[:0]
	if !r.begun {
		r.begun = true
		b = r.head(b)
	}
	c.out = http1.AppendChunk(b, []byte(": waiting\n\n"))
	c.conn.Write(c.out)
	return true
}

func (r *Response) head(b []byte) []byte {
	return http1.AppendStreamHead(b, 200, "Content-Type", "text/event-stream; charset=utf-8", "Cache-Control", "no-cache",
		"x-request-id", r.shape.RequestID())
}

// stalled ends a stream that its client does not read: nothing can be told to it any more.
func (c *client) stalled() {
	c.over = true
	if c.reply != nil {
		c.reply.leave()
	}
	c.conn.Abort()
}

// Complete is the final answer of a generation that came to its end.
func (r *Response) Complete() {
	if r.done {
		return
	}
	if !r.shape.Streaming() {
		r.finish(200, r.shape.Object(), "x-request-id", r.shape.RequestID())
		return
	}
	b := []byte(nil)
	if !r.begun {
		b = r.head(b)
	}
	b = http1.AppendChunk(b, r.shape.AppendEnd(nil))
	r.client.conn.Write(http1.AppendLastChunk(b))
	r.close()
}

// RejectOverQuota is the final answer of a generation that its tenant's limits don't let in; nothing has run.
func (r *Response) RejectOverQuota(why string, comeBack eventloop.Micros) {
	p := &Problem{Status: 429, Type: "rate_limit_error", Code: "rate_limit_exceeded", Message: "Rate limit reached: " + why + "."}
	r.end(p, backFields(comeBack)...)
}

func backFields(comeBack eventloop.Micros) []string {
	if comeBack <= 0 {
		comeBack = 200 * eventloop.Millisecond
	}
	return []string{"Retry-After", strconv.FormatInt(int64((comeBack+eventloop.Second-1)/eventloop.Second), 10),
		"retry-after-ms", strconv.FormatInt(int64((comeBack+eventloop.Millisecond-1)/eventloop.Millisecond), 10)}
}

// Reject is the final answer of a generation that did nothing and may come again, after a while if one is
// given.
func (r *Response) Reject(comeBack eventloop.Micros) {
	r.end(TooManyConnections(), backFields(comeBack)...)
}

// Fail is the final answer of a generation that failed. Where it must not run again the client is told
// so, as common client libraries repeat a 5xx by themselves.
func (r *Response) Fail(mayComeAgain bool, why string) {
	retry := "false"
	if mayComeAgain {
		retry = "true"
	}
	r.end(&Problem{Status: 503, Type: "server_error", Code: "terminated", Message: why}, "x-should-retry", retry)
}

func (r *Response) end(p *Problem, fields ...string) {
	if r.done {
		return
	}
	if !r.begun {
		r.finish(p.Status, p.Body(), fields...)
		return
	}
	// The stream has begun: an error event, no closing mark, and the connection closes in mid-body.
	r.stays = false
	r.client.conn.Write(http1.AppendChunk(nil, sse.Append(nil, p.Body())))
	r.close()
}

func (r *Response) problem(p *Problem) {
	fields := []string{}
	if p.Status == 401 {
		fields = append(fields, "WWW-Authenticate", "Bearer")
	}
	if p.NoRetry {
		fields = append(fields, "x-should-retry", "false")
	}
	r.finish(p.Status, p.Body(), fields...)
}

func (r *Response) finish(status int, body []byte, fields ...string) {
	if r.done {
		return
	}
	fields = append(fields, "Content-Type", "application/json")
	r.stays = r.stays && !r.client.front.crowded()
	if !r.stays {
		fields = append(fields, "Connection", "close")
	}
	r.client.conn.Write(http1.AppendResponse(nil, status, body, fields...))
	r.close()
}

func (r *Response) close() {
	c := r.client
	r.free()
	r.done = true
	c.front.OpenRequests--
	if r.stays && !c.front.leaving {
		c.front.loop.Defer(func() {
			if c.reply == r && !c.over {
				c.next()
			}
		})
		return
	}
	c.reply, c.over = nil, true
	c.conn.Close()
	c.waits.Set(c.front.loop, c.front.patience.StallTimeout, func() { c.conn.Abort() })
}

// leave: nobody waits for the answer any more.
func (r *Response) leave() {
	if r.done {
		return
	}
	r.free()
	r.done = true
	r.client.front.OpenRequests--
	r.client.reply = nil
	if r.OnDisconnect != nil {
		r.OnDisconnect()
	}
}
