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

// harness is one dispatcher in virtual time, with hosts that do what a test scripts.
type harness struct {
	t          *testing.T
	world      *virtual.Network // none over sockets
	loop       testLoop
	remote     testLoop // of hosts and clients
	deployment deployment.Deployment
	dispatcher *Dispatcher
	addr       string
	endpoints  []*fakeEndpoint
	list       endpoints.Update
	cachedList []byte // the list, as it is kept
}

// testLoop is a loop of either seam.
type testLoop interface {
	eventloop.Loop
	Do(f func())
}

// fakeEndpoint is one host; serve is called for each request.
type fakeEndpoint struct {
	harness  *harness
	id       uint32
	kind     string
	zone     string
	listener eventloop.Listener
	serve    func(c *fakeConn)
	seen     []*fakeConn
	conns    map[*fakeConn]bool
}

// fakeConn is one connection to a script, and the request that it is about.
type fakeConn struct {
	endpoint *fakeEndpoint
	conn     eventloop.Conn
	parser   http1.Parser
	head     *http1.Head
	body     []byte
	closed   bool
	target   string
}

func (l *fakeConn) Opened()                  {}
func (l *fakeConn) Drained()                 {}
func (l *fakeConn) Data(b []byte)            { _ = l.parser.Feed(b, l) }
func (l *fakeConn) Closed(error)             { l.closed = true }
func (l *fakeConn) Head(h *http1.Head) error { l.head, l.body = h, nil; return nil }
func (l *fakeConn) Body(b []byte) error      { l.body = append(l.body, b...); return nil }
func (l *fakeConn) answer(st int, body string) {
	l.conn.Write(http1.AppendResponse(nil, st, []byte(body), "Content-Type", "application/json"))
}

func (l *fakeConn) End() error {
	seen := &fakeConn{endpoint: l.endpoint, conn: l.conn, head: l.head, body: l.body, target: l.head.Target}
	l.endpoint.seen = append(l.endpoint.seen, seen)
	if l.head.Target == "/v1/kv/release" {
		l.answer(200, "{}")
		return nil
	}
	l.endpoint.serve(l)
	return nil
}

// attempts counts the requests for work that a host has seen; releases those to let go.
func (s *fakeEndpoint) attempts() (n int) {
	for _, l := range s.seen {
		if l.target == "/v1/chat/completions" {
			n++
		}
	}
	return n
}

func (s *fakeEndpoint) releases() int { return len(s.seen) - s.attempts() }

// answerPrefill answers a read at once.
func answerPrefill(l *fakeConn) {
	l.answer(200, fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens_details":{"cached_tokens":3}},"kv_transfer_params":{"remote_request_id":%q}}`,
		l.head.Get("x-request-id")))
}

func chunkEvent(text, finish string) string {
	f := "null"
	if finish != "" {
		f = `"` + finish + `"`
	}
	delta, _ := json.Marshal(map[string]string{"content": text})
	return string(sse.Append(nil, []byte(`{"choices":[{"index":0,"delta":`+string(delta)+`,"finish_reason":`+f+`}]}`)))
}

// stream answers with a head and some chunks.
func (l *fakeConn) stream(chunks ...string) {
	b := http1.AppendStreamHead(nil, 200, "Content-Type", "text/event-stream")
	for _, c := range chunks {
		b = http1.AppendChunk(b, []byte(c))
	}
	l.conn.Write(b)
}

// answerDecode answers a write well.
func answerDecode(l *fakeConn) {
	l.stream(chunkEvent("Lamu ", ""), chunkEvent("é", "stop"), "data: [DONE]\n\n")
	l.conn.Write(http1.AppendLastChunk(nil))
}

// newHarness makes a dispatcher with a list of hosts like "prefill west".
func newHarness(t *testing.T, change func(d deployment.Deployment), hosts ...string) *harness {
	t.Helper()
	d := deployment.Standard()
	digest := sha256.Sum256([]byte(key))
	d.Tenants = []*pb.Tenant{{Name: "one", KeySha256: []string{hex.EncodeToString(digest[:])}}}
	if change != nil {
		change(d)
	}
	w := virtual.NewNetwork(1)
	r := &harness{t: t, world: w, loop: w.NewLoop("d"), remote: w.NewLoop("far"), deployment: d}
	r.start(hosts)
	return r
}

// newSocketHarness is the same over real sockets, with clients and streams of less patience.
func newSocketHarness(t *testing.T, hosts ...string) *harness {
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
	r := &harness{t: t, loop: loops[0], remote: loops[1], deployment: d}
	r.start(hosts)
	return r
}

// start brings up the hosts and the dispatcher.
func (r *harness) start(hosts []string) {
	r.t.Helper()
	r.list = endpoints.Update{Epoch: "e", Version: 1, Complete: true, SavedAt: int64(r.remote.Now())}
	for i, h := range hosts {
		kind, zone, _ := strings.Cut(h, " ")
		s := &fakeEndpoint{harness: r, id: uint32(i + 1), kind: kind, zone: zone, serve: answerPrefill}
		if kind != "prefill" {
			s.serve = answerDecode
		}
		r.remote.Do(s.listen)
		r.endpoints = append(r.endpoints, s)
		r.list.Endpoints = append(r.list.Endpoints, s.entry("ready"))
	}
	r.cachedList, _ = json.Marshal(r.list)
	var err error
	r.loop.Do(func() {
		r.dispatcher, err = Start(r.loop, r.deployment, Config{Name: "d", Zone: "west", Seed: 1, CachedEndpoints: [][]byte{r.cachedList}, Log: zerolog.Nop()})
		if err != nil {
			return
		}
		ln, e := r.loop.Listen("127.0.0.1:0", r.dispatcher.Frontend().Accept)
		r.addr, err = ln.Addr(), e
	})
	if err != nil {
		r.t.Fatal(err)
	}
}

// runUntil lets time pass until something holds of the hosts and clients.
func (r *harness) runUntil(span eventloop.Micros, holds func() bool) bool {
	if r.world != nil {
		return r.world.RunUntil(span, holds)
	}
	for end := r.remote.Now() + span; ; {
		var held bool
		r.remote.Do(func() { held = holds() })
		if held || r.remote.Now() > end {
			return held
		}
		time.Sleep(time.Millisecond) // real sockets take real time
	}
}

func (s *fakeEndpoint) listen() {
	s.listener, _ = s.harness.remote.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler {
		return &fakeConn{endpoint: s, conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
	})
}

func (s *fakeEndpoint) entry(condition string) endpoints.Entry {
	return endpoints.Entry{ID: scheduler.EndpointID(s.id), Addr: s.listener.Addr(), Zone: s.zone, Kind: s.kind, Condition: condition}
}

// updateEndpoints passes a change of the list to the dispatcher.
func (r *harness) updateEndpoints(entries ...endpoints.Entry) {
	r.loop.Do(func() { r.dispatcher.endpointsUpdated(entries, false) })
}

// clientCall is one client's request and all that came back.
type clientCall struct {
	harness          *harness
	conn             eventloop.Conn
	request          []byte
	parser           http1.Parser
	events           sse.Parser
	head             *http1.Head
	raw              []byte
	text             string
	finals           []string
	eventsAfterFinal int
	closed           bool
}

func (c *clientCall) Opened()                  { c.conn.Write(c.request) }
func (c *clientCall) Drained()                 {}
func (c *clientCall) Closed(error)             { c.closed = true }
func (c *clientCall) Head(h *http1.Head) error { c.head = h; return nil }
func (c *clientCall) Data(b []byte) {
	c.raw = append(c.raw, b...)
	if err := c.parser.Feed(b, c); err != nil {
		c.finals = append(c.finals, "malformed")
	}
}

func (c *clientCall) Body(b []byte) error {
	if c.head.Status != 200 || c.head.Get("Content-Type") == "application/json" {
		return nil
	}
	return c.events.Feed(b, func(data []byte) error {
		if len(c.finals) > 0 {
			c.eventsAfterFinal++
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

func (c *clientCall) End() error {
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

func (r *harness) ask(product string, fields ...string) *clientCall {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"why?"}]}`, product)
	return r.send(body, fields...)
}

func (r *harness) send(body string, fields ...string) *clientCall {
	c := &clientCall{harness: r, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}}
	c.request = http1.AppendRequest(nil, "POST", "/v1/chat/completions", r.addr, []byte(body), append([]string{
		"Authorization", "Bearer " + key, "Content-Type", "application/json"}, fields...)...)
	r.remote.Do(func() { c.conn = r.remote.Dial(r.addr, eventloop.Second, c) })
	return c
}

// virtual is a rig's loop as one of the world's.
func (r *harness) virtual() *virtual.Loop { return r.loop.(*virtual.Loop) }

// expectFinal waits for the final answer, and checks that it is the one and that nothing remains.
func (r *harness) expectFinal(c *clientCall, want string) {
	r.t.Helper()
	r.runUntil(30*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if r.world != nil {
		r.world.Run(eventloop.Second)
	} else {
		r.runUntil(2*eventloop.Second, func() bool {
			running := 0
			r.loop.Do(func() { running = r.dispatcher.OpenRequests() })
			return running == 0
		})
	}
	if len(c.finals) != 1 || c.finals[0] != want || c.eventsAfterFinal > 0 {
		r.t.Errorf("final answers %v (%d events after), want %s; raw %.300q", c.finals, c.eventsAfterFinal, want, c.raw)
	}
	r.expectIdle()
}

func (r *harness) expectIdle() {
	r.t.Helper()
	r.loop.Do(func() {
		if r.dispatcher.OpenRequests() != 0 {
			r.t.Errorf("left over: %v", r.dispatcher.DescribeOpenRequests())
		}
	})
}
