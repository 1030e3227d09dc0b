package platform

import (
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/platform/server"
	"plumspindle/internal/settings"
	"plumspindle/internal/sse"
	"plumspindle/internal/virtual"
)

const testSettings = `{"group_size": 2, "tick": 4000000, "zone": 0, "localities": ["west", "east"], "host_types": ["prefill", "decode"],
"domain": {"duty_by_kind": ["read", "write"], "kv_tokens": [200000, 140000], "token_aim": [50000000, 60000000],
 "aim_us_per_1000_prompt_tokens": [60000.0, 40000.0], "let_go_by": 500000000},
"limits": {"send_cap": 6, "may_cancel": true, "retry_after": true, "max_retry_after": 1000000000, "connect_timeout": 250000000, "conn_idle": 30000000000},
"obligations": {"cold": 14000000000, "cold_from": 0.25, "fall": 2000000000, "fall_multiple": 2.5},
"request_classes": [
 {"name": "explain", "aim": 1000000000, "deadline": 4000000000, "repeat": "read_like", "points": 2.0, "late_share": 0.2},
 {"name": "post", "aim": 1000000000, "deadline": 4000000000, "repeat": "non_idempotent", "points": 6.0, "late_share": 0.2}]}`

// harness is one dispatcher in virtual time, with stand-ins of model hosts and discovery that do what a test scripts.
type harness struct {
	t          *testing.T
	world      *virtual.Network
	loop       *virtual.Loop // the dispatcher's
	remote     *virtual.Loop // clients and discovery
	dispatcher *Dispatcher
	address    string
	listener   eventloop.Listener
	agent      *discoveryAgent
	endpoints  []*endpoint
	sent       int

	violations []guard.Violation
}

func newHarness(t *testing.T, sockets int, hosts ...string) *harness {
	t.Helper()
	return newHarnessWith(t, testSettings, sockets, hosts...)
}

func newHarnessWith(t *testing.T, rawSettings string, sockets int, hosts ...string) *harness {
	t.Helper()
	w := virtual.NewNetwork(1)
	r := &harness{t: t, world: w, loop: w.NewLoop("d"), remote: w.NewLoop("far")}
	for i, kind := range hosts {
		r.addEndpoint(fmt.Sprintf("s-%d", i), kind)
	}
	r.agent = &discoveryAgent{harness: r, version: 7}
	r.agent.listen("127.0.0.9:8500")
	var known []string
	for _, h := range r.endpoints {
		known = append(known, h.entry("SERVING"))
	}
	told, err := settings.Parse([]byte(rawSettings))
	if err != nil {
		t.Fatal(err)
	}
	r.loop.Do(func() {
		r.dispatcher = Start(r.loop, Config{Name: "n0", Discovery: "127.0.0.9:8500", Seed: 1, Settings: told, Sockets: sockets, Memory: 32 << 20, Log: zerolog.Nop(),
			Known: []byte(`{"version":7,"full":true,"servers":[` + strings.Join(known, ",") + `]}`)})
		ln, err := r.loop.Listen("127.0.0.1:0", r.dispatcher.Server().Accept)
		if err != nil {
			t.Fatal(err)
		}
		r.address, r.listener = ln.Addr(), ln
	})
	r.dispatcher.OnViolation = func(v guard.Violation) { r.violations = append(r.violations, v) }
	r.world.Run(20 * eventloop.Millisecond)
	return r
}

// --- Model hosts ---

type endpoint struct {
	harness      *harness
	loop         *virtual.Loop
	id           string
	kind         string
	zone         string
	addr         string
	listener     eventloop.Listener
	serve        func(*endpointConn)
	received     []*http1.Head // of all requests, in their order
	bodies       []string
	opened       int
	connections  []*endpointConn
	releaseDelay eventloop.Micros // before it answers a release
	onReleased   func()           // runs behind that answer
}

type endpointConn struct {
	endpoint *endpoint
	conn     eventloop.Conn
	parser   http1.Parser
	head     *http1.Head
	body     []byte
	closed   bool
	mute     bool
}

func (r *harness) addEndpoint(id, kind string) *endpoint {
	h := &endpoint{harness: r, loop: r.world.NewLoop(id), id: id, kind: kind, zone: "west", serve: servePrefill}
	if kind != "prefill" {
		h.serve = serveDecode
	}
	h.loop.Do(func() { h.listen("127.0.0.1:0") })
	r.endpoints = append(r.endpoints, h)
	return h
}

func (h *endpoint) listen(addr string) {
	h.listener, _ = h.loop.Listen(addr, func(c eventloop.Conn) eventloop.Handler {
		h.opened++
		l := &endpointConn{endpoint: h, conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
		h.connections = append(h.connections, l)
		return l
	})
	h.addr = h.listener.Addr()
}

func (h *endpoint) entry(state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":0,"state":%q,"weight":1.0,"started_ms":0}`, h.id, h.addr, h.zone, h.kind, state)
}

// count is how many requests of a method the host has had.
func (h *endpoint) count(method string) (n int) {
	for _, head := range h.received {
		if head.Method == method {
			n++
		}
	}
	return n
}

func (l *endpointConn) Opened()                  {}
func (l *endpointConn) Drained()                 {}
func (l *endpointConn) Data(b []byte)            { _ = l.parser.Feed(b, l) }
func (l *endpointConn) Closed(error)             { l.closed = true }
func (l *endpointConn) Head(h *http1.Head) error { l.head, l.body = h, nil; return nil }
func (l *endpointConn) Body(b []byte) error      { l.body = append(l.body, b...); return nil }

func (l *endpointConn) End() error {
	l.endpoint.received = append(l.endpoint.received, l.head)
	l.endpoint.bodies = append(l.endpoint.bodies, string(l.body))
	if l.head.Method == "DELETE" {
		l.endpoint.loop.AfterFunc(l.endpoint.releaseDelay, func() {
			l.answer(204, "")
			if l.endpoint.onReleased != nil {
				l.endpoint.onReleased()
			}
		})
		return nil
	}
	l.endpoint.serve(l)
	return nil
}

func (l *endpointConn) answer(status int, body string, fields ...string) {
	l.conn.Write(http1.AppendResponse(nil, status, []byte(body), fields...))
}

func servePrefill(l *endpointConn) { l.answer(202, `{"cached_tokens":16}`) }

const (
	wordEvent  = `{"choices":[{"index":0,"delta":{"content":"Lamu"},"finish_reason":null}]}`
	stopEvent  = `{"choices":[{"index":0,"delta":{"content":"."},"finish_reason":"stop"}]}`
	usageEvent = `{"choices":[],"usage":{"prompt_tokens":5120,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4096}}}`
)

// stream begins an answer with some events; write makes a whole one.
func (l *endpointConn) stream(events ...string) {
	b := http1.AppendStreamHead(nil, 200, "Content-Type", "text/event-stream")
	for _, e := range events {
		b = http1.AppendChunk(b, sse.Append(nil, []byte(e)))
	}
	l.conn.Write(b)
}

func (l *endpointConn) endStream() { l.conn.Write(http1.AppendLastChunk(nil)) }

func serveDecode(l *endpointConn) {
	l.stream(wordEvent, stopEvent, usageEvent, "[DONE]")
	l.endStream()
}

// serveLongStream makes an answer of many events, which ends unless it is cut.
func serveLongStream(many int) func(*endpointConn) {
	return func(l *endpointConn) {
		l.stream(wordEvent)
		for range many {
			l.conn.Write(http1.AppendChunk(nil, sse.Append(nil, []byte(wordEvent))))
		}
		l.endStream()
	}
}

// --- Discovery ---

type discoveryAgent struct {
	harness  *harness
	version  int
	watches  []*endpointConn
	targets  []string
	listener eventloop.Listener
	silent   bool // it takes connections and answers none
}

func (a *discoveryAgent) listen(addr string) {
	a.listener, _ = a.harness.remote.Listen(addr, func(c eventloop.Conn) eventloop.Handler {
		l := &endpointConn{conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
		l.endpoint = &endpoint{harness: a.harness, serve: func(l *endpointConn) {
			a.targets = append(a.targets, l.head.Target)
			a.watches = append(a.watches, l)
			if !a.silent {
				a.startStream(l)
			}
		}}
		return l
	})
}

func (a *discoveryAgent) startStream(l *endpointConn) {
	l.conn.Write(http1.AppendStreamHead(nil, 200))
	a.heartbeat(l)
}

// fullList is the text of a whole list.
func (a *discoveryAgent) fullList(entries ...string) []byte {
	a.version++
	return http1.AppendChunk(nil, []byte(fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`+"\n", a.version, strings.Join(entries, ","))))
}

func (a *discoveryAgent) heartbeat(l *endpointConn) {
	if !l.closed && !l.mute {
		l.conn.Write(http1.AppendChunk(nil, []byte("\n")))
		a.harness.remote.AfterFunc(2*eventloop.Second, func() { a.heartbeat(l) })
	}
}

// push sends whatever it is told to all that watch.
func (a *discoveryAgent) push(text string) {
	a.harness.remote.Do(func() {
		for _, l := range a.watches {
			l.conn.Write(http1.AppendChunk(nil, []byte(text)))
		}
	})
}

// update sends a list, or changes, to all that watch.
func (a *discoveryAgent) update(whole bool, entries ...string) {
	a.version++
	text := fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`+"\n", a.version, whole, strings.Join(entries, ","))
	a.push(text)
}

// --- Clients ---

type client struct {
	conn        eventloop.Conn
	input       string
	parser      http1.Parser
	head        *http1.Head
	eventParser sse.Parser
	events      []string // data of events
	statuses    []int    // statuses of whole answers
	answeredAt  eventloop.Micros
	opened      bool
	closed      bool
	harness     *harness
}

func (c *client) Opened() {
	c.opened = true
	c.conn.Write([]byte(c.input))
}

func (c *client) Drained()                 {}
func (c *client) Data(b []byte)            { _ = c.parser.Feed(b, c) }
func (c *client) Closed(error)             { c.closed = true }
func (c *client) Head(h *http1.Head) error { c.head = h; return nil }

func (c *client) Body(b []byte) error {
	if c.head.Status != 200 {
		return nil
	}
	return c.eventParser.Feed(b, func(data []byte) error { c.events = append(c.events, string(data)); return nil })
}

func (c *client) End() error {
	c.statuses, c.answeredAt = append(c.statuses, c.head.Status), c.harness.world.Now()
	return nil
}

// connect opens a connection and sends some bytes.
func (r *harness) connect(sends string) *client {
	c := &client{harness: r, input: sends, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, eventParser: sse.Parser{MaxEventBytes: 1 << 20}}
	r.remote.Do(func() { c.conn = r.remote.Dial(r.address, eventloop.Second, c) })
	return c
}

// requestText is the text of a sound request, with fields replaced or, with a value "-", left out.
func (r *harness) requestText(product string, change ...string) string {
	r.sent++
	fields := []string{"Host", "origin.svc", "Req-Id", fmt.Sprintf("9b1f03aa5c7e%04x", r.sent), "Req-Kind", product, "Req-Key", "7f3a9c21e0b4d655",
		"Req-Deadline", "4000m", "Req-Extra", "prefix=5c0f6e1a2b3d4c59,prompt_len=512,prefix_len=256,max_out=80"}
	body := `{"model":"chat","stream":true,"messages":[]}`
	for i := 0; i < len(change); i += 2 {
		if change[i] == "body" {
			body = change[i+1]
			continue
		}
		for j := 0; j < len(fields); j += 2 {
			if fields[j] == change[i] {
				fields[j+1] = change[i+1]
			}
		}
	}
	text := "POST /v1/chat/completions?a=b HTTP/1.1\r\n"
	for j := 0; j < len(fields); j += 2 {
		if fields[j+1] != "-" {
			text += fields[j] + ": " + fields[j+1] + "\r\n"
		}
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func (r *harness) sendRequest(product string, change ...string) *client {
	return r.connect(r.requestText(product, change...))
}

// waitFor lets time pass until something holds, and fails the test if it does not in time.
func (r *harness) waitFor(span eventloop.Micros, what string, holds func() bool) {
	r.t.Helper()
	if !r.world.RunUntil(span, holds) {
		r.t.Fatalf("not in %d ms: %s\n%s", span/eventloop.Millisecond, what, r.dispatcher.Summary())
	}
}

// finalStatus waits for the answer's end and gives its status, 0 for a connection that was closed without.
func (r *harness) finalStatus(c *client) int {
	r.t.Helper()
	r.waitFor(20*eventloop.Second, "a final answer", func() bool { return c.closed || len(c.statuses) > 0 })
	r.world.Run(50 * eventloop.Millisecond)
	if len(c.statuses) > 1 {
		r.t.Fatalf("%d answers", len(c.statuses))
	}
	if len(c.statuses) == 0 {
		return 0
	}
	return c.statuses[0]
}

func (r *harness) attempts() (n int) {
	for _, h := range r.endpoints {
		n += h.count("POST")
	}
	return n
}

func (r *harness) releases() (n int) {
	for _, h := range r.endpoints {
		n += h.count("DELETE")
	}
	return n
}

// requireIdle checks that nothing is left of any generation.
func (r *harness) requireIdle() {
	r.t.Helper()
	r.world.Run(eventloop.Second)
	if r.dispatcher.guard.Violations() > 0 || r.dispatcher.scheduler.Violations() > 0 {
		r.t.Errorf("the guard counts violations: %s; %v", r.dispatcher.Summary(), r.violations)
	}
	open := r.dispatcher.scheduler.InFlight()
	if len(r.dispatcher.requests) != 0 || open.Requests != 0 || open.Attempts != 0 || r.dispatcher.server.Answering() != 0 {
		r.t.Errorf("something is left: %s", r.dispatcher.Summary())
	}
	if !r.world.RunUntil(server.DefaultLimits.RequestTimeout, func() bool { return r.dispatcher.server.Active() == 0 }) { // half a request waits for so long
		r.t.Errorf("half a request is left: %s", r.dispatcher.Summary())
	}
}
