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

const usualSettings = `{"group_size": 2, "tick": 4000000, "zone": 0, "localities": ["west", "east"], "host_types": ["prefill", "decode"],
"domain": {"duty_by_kind": ["read", "write"], "kv_tokens": [200000, 140000], "token_aim": [50000000, 60000000],
 "aim_us_per_1000_prompt_tokens": [60000.0, 40000.0], "let_go_by": 500000000},
"limits": {"send_cap": 6, "may_cancel": true, "retry_after": true, "max_retry_after": 1000000000, "connect_timeout": 250000000, "conn_idle": 30000000000},
"obligations": {"cold": 14000000000, "cold_from": 0.25, "fall": 2000000000, "fall_multiple": 2.5},
"request_classes": [
 {"name": "explain", "aim": 1000000000, "deadline": 4000000000, "repeat": "read_like", "points": 2.0, "late_share": 0.2},
 {"name": "post", "aim": 1000000000, "deadline": 4000000000, "repeat": "non_idempotent", "points": 6.0, "late_share": 0.2}]}`

// rig is one dispatcher in virtual time, with stand-ins of model hosts and discovery that do what a test scripts.
type rig struct {
	t     *testing.T
	w     *virtual.Network
	loop  *virtual.Loop // the dispatcher's
	far   *virtual.Loop // clients and discovery
	x     *Dispatcher
	door  string
	ln    eventloop.Listener
	agent *agent
	hosts []*host
	asked int

	violations []guard.Violation
}

func newRig(t *testing.T, sockets int, hosts ...string) *rig {
	t.Helper()
	return newRigAt(t, usualSettings, sockets, hosts...)
}

func newRigAt(t *testing.T, rawSettings string, sockets int, hosts ...string) *rig {
	t.Helper()
	w := virtual.NewNetwork(1)
	r := &rig{t: t, w: w, loop: w.NewLoop("d"), far: w.NewLoop("far")}
	for i, kind := range hosts {
		r.host(fmt.Sprintf("s-%d", i), kind)
	}
	r.agent = &agent{rig: r, version: 7}
	r.agent.up("127.0.0.9:8500")
	var known []string
	for _, h := range r.hosts {
		known = append(known, h.entry("SERVING"))
	}
	told, err := settings.Parse([]byte(rawSettings))
	if err != nil {
		t.Fatal(err)
	}
	r.loop.Do(func() {
		r.x = Start(r.loop, Config{Name: "n0", Discovery: "127.0.0.9:8500", Seed: 1, Settings: told, Sockets: sockets, Memory: 32 << 20, Log: zerolog.Nop(),
			Known: []byte(`{"version":7,"full":true,"servers":[` + strings.Join(known, ",") + `]}`)})
		ln, err := r.loop.Listen("127.0.0.1:0", r.x.Server().Accept)
		if err != nil {
			t.Fatal(err)
		}
		r.door, r.ln = ln.Addr(), ln
	})
	r.x.OnViolation = func(v guard.Violation) { r.violations = append(r.violations, v) }
	r.w.Run(20 * eventloop.Millisecond)
	return r
}

// --- Model hosts ---

type host struct {
	rig    *rig
	loop   *virtual.Loop
	id     string
	kind   string
	zone   string
	addr   string
	ln     eventloop.Listener
	serve  func(*line)
	heads  []*http1.Head // of all requests, in their order
	bodies []string
	opened int
	lines  []*line
	slack  eventloop.Micros // before it answers a release
	after  func()           // runs behind that answer
}

type line struct {
	h      *host
	conn   eventloop.Conn
	parser http1.Parser
	head   *http1.Head
	body   []byte
	closed bool
	mute   bool
}

func (r *rig) host(id, kind string) *host {
	h := &host{rig: r, loop: r.w.NewLoop(id), id: id, kind: kind, zone: "west", serve: read}
	if kind != "prefill" {
		h.serve = write
	}
	h.loop.Do(func() { h.up("127.0.0.1:0") })
	r.hosts = append(r.hosts, h)
	return h
}

func (h *host) up(addr string) {
	h.ln, _ = h.loop.Listen(addr, func(c eventloop.Conn) eventloop.Handler {
		h.opened++
		l := &line{h: h, conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
		h.lines = append(h.lines, l)
		return l
	})
	h.addr = h.ln.Addr()
}

func (h *host) entry(state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":0,"state":%q,"weight":1.0,"started_ms":0}`, h.id, h.addr, h.zone, h.kind, state)
}

// count is how many requests of a method the host has had.
func (h *host) count(method string) (n int) {
	for _, head := range h.heads {
		if head.Method == method {
			n++
		}
	}
	return n
}

func (l *line) Opened()                  {}
func (l *line) Drained()                 {}
func (l *line) Data(b []byte)            { _ = l.parser.Feed(b, l) }
func (l *line) Closed(error)             { l.closed = true }
func (l *line) Head(h *http1.Head) error { l.head, l.body = h, nil; return nil }
func (l *line) Body(b []byte) error      { l.body = append(l.body, b...); return nil }

func (l *line) End() error {
	l.h.heads = append(l.h.heads, l.head)
	l.h.bodies = append(l.h.bodies, string(l.body))
	if l.head.Method == "DELETE" {
		l.h.loop.AfterFunc(l.h.slack, func() {
			l.answer(204, "")
			if l.h.after != nil {
				l.h.after()
			}
		})
		return nil
	}
	l.h.serve(l)
	return nil
}

func (l *line) answer(status int, body string, fields ...string) {
	l.conn.Write(http1.AppendResponse(nil, status, []byte(body), fields...))
}

func read(l *line) { l.answer(202, `{"cached_tokens":16}`) }

const (
	word  = `{"choices":[{"index":0,"delta":{"content":"Lamu"},"finish_reason":null}]}`
	stop  = `{"choices":[{"index":0,"delta":{"content":"."},"finish_reason":"stop"}]}`
	usage = `{"choices":[],"usage":{"prompt_tokens":5120,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4096}}}`
)

// stream begins an answer with some events; write makes a whole one.
func (l *line) stream(events ...string) {
	b := http1.AppendStreamHead(nil, 200, "Content-Type", "text/event-stream")
	for _, e := range events {
		b = http1.AppendChunk(b, sse.Append(nil, []byte(e)))
	}
	l.conn.Write(b)
}

func (l *line) last() { l.conn.Write(http1.AppendLastChunk(nil)) }

func write(l *line) {
	l.stream(word, stop, usage, "[DONE]")
	l.last()
}

// wordy makes an answer of many events, which ends unless it is cut.
func wordy(many int) func(*line) {
	return func(l *line) {
		l.stream(word)
		for range many {
			l.conn.Write(http1.AppendChunk(nil, sse.Append(nil, []byte(word))))
		}
		l.last()
	}
}

// --- Discovery ---

type agent struct {
	rig     *rig
	version int
	watches []*line
	targets []string
	ln      eventloop.Listener
	away    bool // it takes connections and answers none
}

func (a *agent) up(addr string) {
	a.ln, _ = a.rig.far.Listen(addr, func(c eventloop.Conn) eventloop.Handler {
		l := &line{conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
		l.h = &host{rig: a.rig, serve: func(l *line) {
			a.targets = append(a.targets, l.head.Target)
			a.watches = append(a.watches, l)
			if !a.away {
				a.greet(l)
			}
		}}
		return l
	})
}

func (a *agent) greet(l *line) {
	l.conn.Write(http1.AppendStreamHead(nil, 200))
	a.beat(l)
}

// list is the text of a whole list.
func (a *agent) list(entries ...string) []byte {
	a.version++
	return http1.AppendChunk(nil, []byte(fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`+"\n", a.version, strings.Join(entries, ","))))
}

func (a *agent) beat(l *line) {
	if !l.closed && !l.mute {
		l.conn.Write(http1.AppendChunk(nil, []byte("\n")))
		a.rig.far.AfterFunc(2*eventloop.Second, func() { a.beat(l) })
	}
}

// text sends whatever it is told to all that watch.
func (a *agent) text(text string) {
	a.rig.far.Do(func() {
		for _, l := range a.watches {
			l.conn.Write(http1.AppendChunk(nil, []byte(text)))
		}
	})
}

// tell sends a list, or changes, to all that watch.
func (a *agent) tell(whole bool, entries ...string) {
	a.version++
	text := fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`+"\n", a.version, whole, strings.Join(entries, ","))
	a.text(text)
}

// --- Clients ---

type client struct {
	conn   eventloop.Conn
	sends  string
	parser http1.Parser
	head   *http1.Head
	events sse.Parser
	got    []string // data of events
	finals []int    // statuses of whole answers
	at     eventloop.Micros
	opened bool
	closed bool
	rig    *rig
}

func (c *client) Opened() {
	c.opened = true
	c.conn.Write([]byte(c.sends))
}

func (c *client) Drained()                 {}
func (c *client) Data(b []byte)            { _ = c.parser.Feed(b, c) }
func (c *client) Closed(error)             { c.closed = true }
func (c *client) Head(h *http1.Head) error { c.head = h; return nil }

func (c *client) Body(b []byte) error {
	if c.head.Status != 200 {
		return nil
	}
	return c.events.Feed(b, func(data []byte) error { c.got = append(c.got, string(data)); return nil })
}

func (c *client) End() error {
	c.finals, c.at = append(c.finals, c.head.Status), c.rig.w.Now()
	return nil
}

// raw opens a connection and sends some bytes.
func (r *rig) raw(sends string) *client {
	c := &client{rig: r, sends: sends, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}}
	r.far.Do(func() { c.conn = r.far.Dial(r.door, eventloop.Second, c) })
	return c
}

// request is the text of a sound request, with fields replaced or, with a value "-", left out.
func (r *rig) request(product string, change ...string) string {
	r.asked++
	fields := []string{"Host", "origin.svc", "Req-Id", fmt.Sprintf("9b1f03aa5c7e%04x", r.asked), "Req-Kind", product, "Req-Key", "7f3a9c21e0b4d655",
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

func (r *rig) ask(product string, change ...string) *client {
	return r.raw(r.request(product, change...))
}

// until lets time pass until something holds, and fails the test if it does not in time.
func (r *rig) until(span eventloop.Micros, what string, holds func() bool) {
	r.t.Helper()
	if !r.w.RunUntil(span, holds) {
		r.t.Fatalf("not in %d ms: %s\n%s", span/eventloop.Millisecond, what, r.x.Summary())
	}
}

// final waits for the answer's end and gives its status, 0 for a connection that was closed without.
func (r *rig) final(c *client) int {
	r.t.Helper()
	r.until(20*eventloop.Second, "a final answer", func() bool { return c.closed || len(c.finals) > 0 })
	r.w.Run(50 * eventloop.Millisecond)
	if len(c.finals) > 1 {
		r.t.Fatalf("%d answers", len(c.finals))
	}
	if len(c.finals) == 0 {
		return 0
	}
	return c.finals[0]
}

func (r *rig) legs() (n int) {
	for _, h := range r.hosts {
		n += h.count("POST")
	}
	return n
}

func (r *rig) releases() (n int) {
	for _, h := range r.hosts {
		n += h.count("DELETE")
	}
	return n
}

// quiet checks that nothing is left of any generation.
func (r *rig) quiet() {
	r.t.Helper()
	r.w.Run(eventloop.Second)
	if r.x.guard.Violations() > 0 || r.x.module.Violations() > 0 {
		r.t.Errorf("the guard counts violations: %s; %v", r.x.Summary(), r.violations)
	}
	open := r.x.module.InFlight()
	if len(r.x.requests) != 0 || open.Requests != 0 || open.Attempts != 0 || r.x.server.Answering() != 0 {
		r.t.Errorf("something is left: %s", r.x.Summary())
	}
	if !r.w.RunUntil(server.DefaultLimits.Message, func() bool { return r.x.server.Active() == 0 }) { // half a request waits for so long
		r.t.Errorf("half a request is left: %s", r.x.Summary())
	}
}
