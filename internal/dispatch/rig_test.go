package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sockets"
	"plumspindle/internal/sse"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

const key = "sk-test"

// rig is one dispatcher in virtual time, with hosts that do what a test scripts.
type rig struct {
	t     *testing.T
	w     *virtual.Network // none over sockets
	loop  either
	far   either // of hosts and clients
	d     deployment.Deployment
	x     *Dispatcher
	addr  string
	hosts []*script
	list  endpoints.Update
	kept  []byte // the list, as it is kept
}

// either is a loop of either seam.
type either interface {
	eventloop.Loop
	Do(f func())
}

// script is one host; serve is called for each request.
type script struct {
	rig   *rig
	id    uint32
	kind  string
	zone  string
	ln    eventloop.Listener
	serve func(c *line)
	seen  []*line
	conns map[*line]bool
}

// line is one connection to a script, and the request that it is about.
type line struct {
	s      *script
	conn   eventloop.Conn
	parser http1.Parser
	head   *http1.Head
	body   []byte
	closed bool
	target string
}

func (l *line) Opened()                  {}
func (l *line) Drained()                 {}
func (l *line) Data(b []byte)            { _ = l.parser.Feed(b, l) }
func (l *line) Closed(error)             { l.closed = true }
func (l *line) Head(h *http1.Head) error { l.head, l.body = h, nil; return nil }
func (l *line) Body(b []byte) error      { l.body = append(l.body, b...); return nil }
func (l *line) answer(st int, body string) {
	l.conn.Write(http1.AppendResponse(nil, st, []byte(body), "Content-Type", "application/json"))
}

func (l *line) End() error {
	seen := &line{s: l.s, conn: l.conn, head: l.head, body: l.body, target: l.head.Target}
	l.s.seen = append(l.s.seen, seen)
	if l.head.Target == "/v1/kv/release" {
		l.answer(200, "{}")
		return nil
	}
	l.s.serve(l)
	return nil
}

// legs counts the requests for work that a host has seen; releases those to let go.
func (s *script) legs() (n int) {
	for _, l := range s.seen {
		if l.target == "/v1/chat/completions" {
			n++
		}
	}
	return n
}

func (s *script) releases() int { return len(s.seen) - s.legs() }

// read answers a read at once.
func read(l *line) {
	l.answer(200, fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens_details":{"cached_tokens":3}},"kv_transfer_params":{"remote_request_id":%q}}`,
		l.head.Get("x-request-id")))
}

func event(text, finish string) string {
	f := "null"
	if finish != "" {
		f = `"` + finish + `"`
	}
	delta, _ := json.Marshal(map[string]string{"content": text})
	return string(sse.Append(nil, []byte(`{"choices":[{"index":0,"delta":`+string(delta)+`,"finish_reason":`+f+`}]}`)))
}

// stream answers with a head and some chunks.
func (l *line) stream(chunks ...string) {
	b := http1.AppendStreamHead(nil, 200, "Content-Type", "text/event-stream")
	for _, c := range chunks {
		b = http1.AppendChunk(b, []byte(c))
	}
	l.conn.Write(b)
}

// write answers a write well.
func write(l *line) {
	l.stream(event("Lamu ", ""), event("é", "stop"), "data: [DONE]\n\n")
	l.conn.Write(http1.AppendLastChunk(nil))
}

// newRig makes a dispatcher with a list of hosts like "prefill west".
func newRig(t *testing.T, change func(d deployment.Deployment), hosts ...string) *rig {
	t.Helper()
	d := deployment.Standard()
	digest := sha256.Sum256([]byte(key))
	d.Tenants = []*pb.Tenant{{Name: "one", KeySha256: []string{hex.EncodeToString(digest[:])}}}
	if change != nil {
		change(d)
	}
	w := virtual.NewNetwork(1)
	r := &rig{t: t, w: w, loop: w.NewLoop("d"), far: w.NewLoop("far"), d: d}
	r.bring(hosts)
	return r
}

// socketRig is the same over real sockets, with clients and streams of less patience.
func socketRig(t *testing.T, hosts ...string) *rig {
	t.Helper()
	d := deployment.Standard()
	d.Dispatching.SilenceMs = 300
	for _, p := range d.Products {
		p.SloMs, p.TimeLimitMs = 600, 900
	}
	digest := sha256.Sum256([]byte(key))
	d.Tenants = []*pb.Tenant{{Name: "one", KeySha256: []string{hex.EncodeToString(digest[:])}}}
	var loops [2]*sockets.Loop
	for i := range loops {
		var err error
		if loops[i], err = sockets.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(loops[i].Stop)
	}
	r := &rig{t: t, loop: loops[0], far: loops[1], d: d}
	r.bring(hosts)
	return r
}

// bring brings up the hosts and the dispatcher.
func (r *rig) bring(hosts []string) {
	r.t.Helper()
	r.list = endpoints.Update{Epoch: "e", Version: 1, Complete: true, SavedAt: int64(r.far.Now())}
	for i, h := range hosts {
		kind, zone, _ := strings.Cut(h, " ")
		s := &script{rig: r, id: uint32(i + 1), kind: kind, zone: zone, serve: read}
		if kind != "prefill" {
			s.serve = write
		}
		r.far.Do(s.up)
		r.hosts = append(r.hosts, s)
		r.list.Endpoints = append(r.list.Endpoints, s.entry("ready"))
	}
	r.kept, _ = json.Marshal(r.list)
	var err error
	r.loop.Do(func() {
		r.x, err = Start(r.loop, r.d, Config{Name: "d", Zone: "west", Seed: 1, CachedEndpoints: [][]byte{r.kept}, Log: zerolog.Nop()})
		if err != nil {
			return
		}
		ln, e := r.loop.Listen("127.0.0.1:0", r.x.Front().Accept)
		r.addr, err = ln.Addr(), e
	})
	if err != nil {
		r.t.Fatal(err)
	}
}

// until lets time pass until something holds of the hosts and clients.
func (r *rig) until(span eventloop.Micros, holds func() bool) bool {
	if r.w != nil {
		return r.w.RunUntil(span, holds)
	}
	for end := r.far.Now() + span; ; {
		var held bool
		r.far.Do(func() { held = holds() })
		if held || r.far.Now() > end {
			return held
		}
		time.Sleep(time.Millisecond) // real sockets take real time
	}
}

func (s *script) up() {
	s.ln, _ = s.rig.far.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler {
		return &line{s: s, conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
	})
}

func (s *script) entry(condition string) endpoints.Entry {
	return endpoints.Entry{ID: scheduler.EndpointID(s.id), Addr: s.ln.Addr(), Zone: s.zone, Kind: s.kind, Condition: condition}
}

// told passes a change of the list to the dispatcher.
func (r *rig) told(entries ...endpoints.Entry) {
	r.loop.Do(func() { r.x.news(entries, false) })
}

// call is one client's request and all that came back.
type call struct {
	r       *rig
	conn    eventloop.Conn
	request []byte
	parser  http1.Parser
	events  sse.Parser
	head    *http1.Head
	raw     []byte
	text    string
	finals  []string
	after   int
	closed  bool
}

func (c *call) Opened()                  { c.conn.Write(c.request) }
func (c *call) Drained()                 {}
func (c *call) Closed(error)             { c.closed = true }
func (c *call) Head(h *http1.Head) error { c.head = h; return nil }
func (c *call) Data(b []byte) {
	c.raw = append(c.raw, b...)
	if err := c.parser.Feed(b, c); err != nil {
		c.finals = append(c.finals, "malformed")
	}
}

func (c *call) Body(b []byte) error {
	if c.head.Status != 200 || c.head.Get("Content-Type") == "application/json" {
		return nil
	}
	return c.events.Feed(b, func(data []byte) error {
		if len(c.finals) > 0 {
			c.after++
		}
		switch {
		case string(data) == "[DONE]":
			c.finals = append(c.finals, "streamed")
		case gjson.GetBytes(data, "error").Exists():
			c.finals = append(c.finals, "terminated")
		default:
			c.text += gjson.GetBytes(data, "choices.0.delta.content").String()
		}
		return nil
	})
}

func (c *call) End() error {
	switch {
	case c.head.Status == 429:
		c.finals = append(c.finals, "throttled")
	case c.head.Status >= 500:
		c.finals = append(c.finals, "terminated")
	case c.head.Status >= 400:
		c.finals = append(c.finals, fmt.Sprint(c.head.Status))
	case c.head.Get("Content-Type") == "application/json":
		c.finals = append(c.finals, "streamed")
	}
	return nil
}

func (r *rig) ask(product string, fields ...string) *call {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"why?"}]}`, product)
	return r.send(body, fields...)
}

func (r *rig) send(body string, fields ...string) *call {
	c := &call{r: r, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}}
	c.request = http1.AppendRequest(nil, http1.Request{
		Method: "POST", Target: "/v1/chat/completions", Host: r.addr, Body: []byte(body),
	}, append([]string{
		"Authorization", "Bearer " + key, "Content-Type", "application/json"}, fields...)...)
	r.far.Do(func() { c.conn = r.far.Dial(r.addr, eventloop.Second, c) })
	return c
}

// virtual is a rig's loop as one of the world's.
func (r *rig) virtual() *virtual.Loop { return r.loop.(*virtual.Loop) }

// ends waits for the final answer, and checks that it is the one and that nothing remains.
func (r *rig) ends(c *call, want string) {
	r.t.Helper()
	r.until(30*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if r.w != nil {
		r.w.Run(eventloop.Second)
	} else {
		r.until(2*eventloop.Second, func() bool {
			running := 0
			r.loop.Do(func() { running = r.x.OpenRequests() })
			return running == 0
		})
	}
	if len(c.finals) != 1 || c.finals[0] != want || c.after > 0 {
		r.t.Errorf("final answers %v (%d events after), want %s; raw %.300q", c.finals, c.after, want, c.raw)
	}
	r.idle()
}

func (r *rig) idle() {
	r.t.Helper()
	r.loop.Do(func() {
		if r.x.OpenRequests() != 0 {
			r.t.Errorf("left over: %v", r.x.DescribeOpen())
		}
	})
}
