// Package door takes the platform's clients: it reads requests, refuses what can't be read or could do harm, and gives each
// request that it passes on exactly one final answer. What becomes of a request is decided elsewhere.
package server

import (
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

// Limits are what clients may take.
type Limits struct {
	Head    int              // bytes of a request's head
	Body    int              // bytes of a request's body
	Most    int              // connections
	Kept    int              // bytes of bodies, of all requests that come or wait
	Unsent  int              // bytes of a stream that are kept for a slow client; past it its model host is slowed
	Message eventloop.Micros // for a request, from the connection's beginning or the request's first byte to its last
	Idle    eventloop.Micros // for the next request on a connection
	Stall   eventloop.Micros // for a client that reads nothing of what it is sent
}

// DefaultLimits are the bounds that do not hang on the limits. A connection that brings nothing readable is owed an end within 3 s.
var DefaultLimits = Limits{Head: 16 << 10, Body: 256 << 10, Message: 2 * eventloop.Second, Idle: 10 * eventloop.Second, Stall: 20 * eventloop.Second}

// A client that sent what can't be used is not read again for so long: one that repeats it at once would take the time of all.
const rest = 100 * eventloop.Millisecond

// Handler is what stands behind the door.
type Handler interface {
	// Ready tells whether there is anything to serve with.
	Ready() bool
	// Handle takes a request, or says why not.
	Handle(*Request, *Response) *Rejection
}

// Rejection is the answer to a request that is not passed on.
type Rejection struct {
	Status int
	Reason    string
}

// Counts are what the door has seen.
type Counts struct{ Rejected, Evicted, TimedOut uint64 }

// Server takes connections.
type Server struct {
	loop    eventloop.Loop
	clerk   Handler
	bounds  Limits
	clients map[*client]bool
	oldest  *client // of those without a request under way, in the order in which they fell idle
	newest  *client
	kept    int
	leaving bool
	gone    bool
	Open    int // requests that wait for their answer's end
	Counts
}

// New makes one; its Accept goes to Listen.
func New(loop eventloop.Loop, bounds Limits, clerk Handler) *Server {
	return &Server{loop: loop, bounds: bounds, clerk: clerk, clients: map[*client]bool{}}
}

// Accept is for the listener.
func (d *Server) Accept(c eventloop.Conn) eventloop.Handler {
	return &client{door: d, conn: c, parser: http1.Parser{Bounds: http1.Bounds{Head: d.bounds.Head, Fields: 100, Body: d.bounds.Body}}}
}

// Drain has connections end with their next answer; they are still served.
func (d *Server) Drain() { d.leaving = true }

// Shutdown closes the connections that wait for a request; those with one are closed after it.
func (d *Server) Shutdown() {
	d.leaving, d.gone = true, true
	for d.oldest != nil {
		d.oldest.finish()
	}
}

// Connections is how many there are.
func (d *Server) Connections() int { return len(d.clients) }

// client is one connection, with one request at a time.
type client struct {
	door   *Server
	conn   eventloop.Conn
	parser http1.Parser
	head   *http1.Head
	ask    *Request
	reply  *Response
	body   []byte
	refuse *Rejection
	waits  eventloop.Wait
	over   bool             // nothing more is read
	came   eventloop.Micros // the first byte of the request
	out    []byte
	event  []byte

	idle       bool // it is in the door's order
	prev, next *client
}

// --- The order of those that wait for a request ---

func (c *client) fallIdle() {
	d := c.door
	if c.idle {
		return
	}
	c.idle = true
	if c.prev = d.newest; c.prev != nil {
		c.prev.next = c
	} else {
		d.oldest = c
	}
	d.newest = c
}

func (c *client) busy() {
	d := c.door
	if !c.idle {
		return
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		d.oldest = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		d.newest = c.prev
	}
	c.idle, c.prev, c.next = false, nil, nil
}

// --- A connection's life ---

func (c *client) Opened() {
	d := c.door
	d.clients[c] = true
	c.fallIdle()
	c.waits.For(c.door.loop, d.bounds.Message, c.silent)
	if len(d.clients) <= d.bounds.Most {
		return
	}
	// The one that has said nothing for longest makes way; a client that has something to say, says it at once.
	d.Evicted++
	if old := d.oldest; old != nil && old != c {
		old.finish()
		return
	}
	c.refused(&Rejection{503, "no connection is left for it"})
}

// silent ends a connection that brought nothing, or not all, in time.
func (c *client) silent() {
	c.door.TimedOut++
	if c.idle {
		c.finish()
		return
	}
	c.refused(&Rejection{408, "the request did not come in time"})
}

// finish closes it without a word: no request has come.
func (c *client) finish() {
	c.busy()
	c.over = true
	c.waits.Over()
	delete(c.door.clients, c)
	c.conn.Close()
}

func (c *client) Data(b []byte) {
	if c.over {
		return
	}
	if c.idle && c.reply == nil {
		c.begins()
	}
	c.check(c.parser.Feed(b, c))
	if !c.over && c.parser.Waiting() > 0 {
		c.conn.Hold(true) // what is sent ahead waits in the socket
	}
}

// begins: a whole request is waited for from its first byte; bytes that trickle in buy no further time.
func (c *client) begins() {
	c.busy()
	c.came = c.door.loop.Now()
	c.waits.For(c.door.loop, c.door.bounds.Message, c.silent)
}

func (c *client) check(err error) {
	if err == nil || c.over {
		return
	}
	status := 400
	if f, is := err.(*http1.Fault); is {
		status = f.Status
	}
	c.refused(&Rejection{status, err.Error()})
}

// refused answers what can't be read and closes, as what follows can't be told apart any more.
func (c *client) refused(r *Rejection) {
	if c.over {
		return
	}
	c.door.Rejected++
	if c.reply != nil { // what was sent behind a request that runs is broken: the client is not a sound one
		c.over = true
		c.reply.leave()
		c.conn.Abort()
		return
	}
	c.drop()
	c.answer(r.Status, r.Reason, false)
}

// drop gives back what was kept of a request.
func (c *client) drop() {
	c.door.kept -= cap(c.body)
	c.head, c.ask, c.body, c.refuse = nil, nil, nil, nil
}

// answer writes a whole answer, and closes where the connection does not stay.
func (c *client) answer(status int, why string, stays bool, fields ...string) {
	if !stays {
		fields = append(fields, "Connection", "close")
	}
	c.conn.Write(http1.AppendResponse(nil, status, []byte(why+"\n"), append(fields, "Content-Type", "text/plain")...))
	if !stays {
		c.end()
	}
}

// end closes once all is sent.
func (c *client) end() {
	c.busy()
	c.over = true
	c.conn.Close()
	c.waits.For(c.door.loop, c.door.bounds.Stall, c.conn.Abort)
}

func (c *client) Drained() {
	if r := c.reply; r != nil && !c.over {
		c.waits.Over()
		if r.OnWritable != nil {
			r.OnWritable()
		}
	}
}

func (c *client) Closed(error) {
	c.busy()
	c.over = true
	c.waits.Over()
	delete(c.door.clients, c)
	c.drop()
	if c.reply != nil {
		c.reply.leave()
	}
}

// again makes the connection ready for another request.
func (c *client) again() {
	if c.over {
		return
	}
	c.reply = nil
	c.fallIdle()
	c.waits.For(c.door.loop, c.door.bounds.Idle, c.finish)
	if c.door.gone {
		c.finish()
		return
	}
	c.conn.Hold(false)
	if c.parser.Waiting() > 0 {
		c.begins()
	}
	c.check(c.parser.Resume(c))
}

// --- A request ---

// Head, Body and End are the parser's events.
func (c *client) Head(h *http1.Head) error {
	c.head = h
	c.ask, c.refuse = read(h)
	if c.ask != nil {
		c.ask.ReceivedAt = c.came
	}
	if strings.EqualFold(h.Get("Expect"), "100-continue") && c.refuse == nil {
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if c.refuse == nil && h.Length > 0 && c.ask != nil {
		c.keep(int(h.Length))
	}
	return nil
}

// keep makes room for a body; without any, nothing of it is kept and the request is refused.
func (c *client) keep(n int) {
	d := c.door
	if n <= cap(c.body) {
		return
	}
	if d.kept+n-cap(c.body) > d.bounds.Kept {
		d.kept -= cap(c.body)
		c.body, c.refuse = nil, &Rejection{503, "no room is left for the request"}
		return
	}
	grown := make([]byte, len(c.body), n)
	copy(grown, c.body)
	d.kept += cap(grown) - cap(c.body)
	c.body = grown
}

func (c *client) Body(b []byte) error {
	if c.refuse != nil || c.ask == nil {
		return nil
	}
	if n := len(c.body) + len(b); n > cap(c.body) {
		c.keep(max(2*cap(c.body), n, 4<<10))
	}
	if c.refuse == nil {
		c.body = append(c.body, b...)
	}
	return nil
}

func (c *client) End() error {
	c.parser.Hold()
	c.waits.Over()
	stays := c.head.KeepAlive() && !c.door.leaving
	if c.ask == nil && c.refuse == nil { // it asks whether there is anything to serve with
		status, why := 200, "ready"
		if !c.door.clerk.Ready() {
			status, why = 503, "no model host is known yet"
		}
		c.drop()
		c.answer(status, why, stays)
		if stays {
			c.door.loop.Later(c.again)
		}
		return nil
	}
	r := c.refuse
	if r == nil {
		r = whole(c.body)
	}
	if r == nil {
		reply := &Response{client: c, stays: stays, kept: cap(c.body)}
		ask := c.ask
		ask.Body = c.body
		c.head, c.ask, c.body = nil, nil, nil
		c.reply = reply
		c.door.Open++
		if r = c.door.clerk.Handle(ask, reply); r == nil {
			return nil
		}
		reply.over()
		c.reply = nil
	}
	c.drop()
	c.door.Rejected++
	c.answer(r.Status, r.Reason, stays)
	if stays {
		c.waits.For(c.door.loop, rest, c.again)
	}
	return nil
}

// --- The reply ---

// Response carries the one final answer to a request, and lets nothing through after it.
type Response struct {
	client *client
	stays  bool
	kept   int
	begun  bool
	done   bool
	// OnClientGone is called once when the client goes away before its answer's end, OnDrained when one that lagged has caught up.
	OnClientGone    func()
	OnWritable func()
}

// over: nothing is owed, or kept, any more.
func (r *Response) over() {
	r.done = true
	r.client.door.kept -= r.kept
	r.client.door.Open--
}

// WriteEvent hands on one event, unchanged. It tells whether the client lags behind.
func (r *Response) WriteEvent(data []byte) (lags bool) {
	if r.done {
		return false
	}
	c := r.client
	b := c.out[:0]
	if !r.begun {
		r.begun = true
		fields := []string{"Content-Type", "text/event-stream", "Cache-Control", "no-cache"}
		if !r.stays || c.door.leaving {
			r.stays = false
			fields = append(fields, "Connection", "close")
		}
		b = http1.AppendStreamHead(b, 200, fields...)
	}
	c.event = sse.Append(c.event[:0], data)
	c.out = http1.AppendChunk(b, c.event)
	c.conn.Write(c.out)
	return c.waits.Lags(c.door.loop, c.conn, c.door.bounds.Unsent, c.door.bounds.Stall, c.stalled)
}

// stalled ends a stream whose client reads nothing of it.
func (c *client) stalled() {
	c.over = true
	if c.reply != nil {
		c.reply.leave()
	}
	c.conn.Abort()
}

// Complete ends a stream that is whole.
func (r *Response) Complete() {
	if !r.done {
		r.client.conn.Write(http1.AppendLastChunk(nil))
		r.close()
	}
}

// Break ends a stream that is not: the connection is closed without the last chunk.
func (r *Response) Break() {
	if !r.done {
		r.stays = false
		r.close()
	}
}

// Reject says that the request may come again without harm, after a while if one is given.
func (r *Response) Reject(comeBack eventloop.Micros) {
	var fields []string
	if comeBack > 0 {
		fields = []string{"Retry-After", seconds(comeBack)}
	}
	r.final(503, "nothing was run; please try again", fields...)
}

// Fail says that the request failed, with no word on what it did.
func (r *Response) Fail() { r.final(500, "the generation failed") }

func (r *Response) final(status int, why string, fields ...string) {
	if r.done || r.begun {
		return
	}
	r.stays = r.stays && !r.client.door.leaving
	if !r.stays {
		fields = append(fields, "Connection", "close")
	}
	r.client.conn.Write(http1.AppendResponse(nil, status, []byte(why+"\n"), append(fields, "Content-Type", "text/plain")...))
	r.close()
}

func (r *Response) close() {
	c := r.client
	r.over()
	c.reply = nil
	if r.stays {
		c.waits.Over()
		c.door.loop.Later(c.again)
		return
	}
	c.end()
}

// leave: nobody waits for the answer any more.
func (r *Response) leave() {
	if r.done {
		return
	}
	r.over()
	r.client.reply = nil
	if r.OnClientGone != nil {
		r.OnClientGone()
	}
}

// Kept is how many bytes of bodies are held, of requests that come or wait.
func (d *Server) Kept() int { return d.kept }

// Unsent is how many bytes are kept for the client that lags most.
func (d *Server) Unsent() (most int) {
	for c := range d.clients {
		most = max(most, c.conn.Unsent())
	}
	return most
}
