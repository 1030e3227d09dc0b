// Package load is the laboratory's open-loop client: it asks at its own times whatever the answers do, through the
// chat API and nothing else, checks every byte that it is sent, and records each final answer.
package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/record"
)

// Target is one dispatcher that clients may go to.
type Target struct {
	Name, Zone, Addr string
	Alive            bool // as the front layer before it believes
}

// Generator is all clients.
type Generator struct {
	loop    eventloop.Loop
	d       deployment.Deployment
	rand    *rand.Rand
	book    *record.Recorder
	Targets []*Target
	Keys    []string // by tenant

	Rate            float64   // generations a second
	TenantShares    []float64 // how much of the traffic each tenant has, against the others
	MinPatience     float64   // of its product's time limit that a client waits in all, at least; 1 at most
	Open            int
	Asked           int
	nextID          int
	stopped         bool
	texts           map[string][]string
	chat            []*pb.Product
	sessions        [][]*session // by tenant
	Keyed           bool         // what may not simply run again goes with an Idempotency-Key, always to the same dispatcher
	UnstreamedShare float64      // of the answers that are asked for in one piece
}

// New makes a crowd that does nothing until Run.
func New(loop eventloop.Loop, d deployment.Deployment, seed int64, keys []string, targets []*Target, book *record.Recorder) *Generator {
	c := &Generator{loop: loop, d: d, rand: rand.New(rand.NewSource(seed)), book: book, Targets: targets, Keys: keys,
		MinPatience: 0.5, texts: map[string][]string{}, UnstreamedShare: 0.15}
	for range d.Tenants {
		c.TenantShares = append(c.TenantShares, 1)
		c.sessions = append(c.sessions, nil)
	}
	for _, p := range d.Products {
		if p.Form != pb.Product_CHAT {
			continue
		}
		c.chat = append(c.chat, p)
		for range 6 {
			c.texts[p.Name] = append(c.texts[p.Name], c.words(800+c.rand.Intn(1600)))
		}
	}
	return c
}

// words makes a text of some tokens.
func (c *Generator) words(tokens int) string {
	var b strings.Builder
	for b.Len() < 4*tokens {
		b.WriteString(strconv.FormatUint(uint64(c.rand.Uint32()), 36))
		b.WriteByte(' ')
	}
	return b.String()
}

type session struct {
	product  *pb.Product
	tenant   int
	zone     string
	messages []map[string]string
	turns    int
}

// Run asks until Stop.
func (c *Generator) Run() {
	if c.stopped {
		return
	}
	c.loop.AfterFunc(eventloop.Micros(-math.Log(1-c.rand.Float64())/max(c.Rate, 0.01)*1e6), func() {
		if !c.stopped {
			c.ask()
			c.Run()
		}
	})
}

// Stop asks no more; what is out goes on.
func (c *Generator) Stop() { c.stopped = true }

func (c *Generator) tenant() int {
	sum := 0.0
	for _, f := range c.TenantShares {
		sum += f
	}
	at := c.rand.Float64() * sum
	for i, f := range c.TenantShares {
		if at -= f; at < 0 {
			return i
		}
	}
	return 0
}

// ask begins a generation: a session's next turn, or a new session's first.
func (c *Generator) ask() {
	var s *session
	tenant := c.tenant()
	if own := c.sessions[tenant]; len(own) > 0 && c.rand.Float64() < 0.45 {
		i, n := c.rand.Intn(len(own)), len(own)
		s = own[i]
		own[i] = own[n-1]
		c.sessions[tenant] = own[:n-1]
	} else {
		p := c.chat[c.rand.Intn(len(c.chat))]
		s = &session{product: p, tenant: tenant, zone: c.d.Zones[c.rand.Intn(len(c.d.Zones))], turns: 1 + c.rand.Intn(4)}
		if c.rand.Float64() < 0.85 {
			s.messages = append(s.messages, map[string]string{"role": "system", "content": c.texts[p.Name][c.rand.Intn(6)]})
		}
	}
	s.messages = append(s.messages, map[string]string{"role": "user", "content": c.words(80 + c.rand.Intn(400))})
	c.nextID++
	c.Asked++
	g := &want{crowd: c, session: s, id: "g" + strconv.Itoa(c.nextID), since: c.loop.Now(), whole: c.rand.Float64() < c.UnstreamedShare}
	g.limit = eventloop.Micros(s.product.TimeLimitMs) * eventloop.Millisecond
	g.most = int(s.product.MostTokens)
	if g.whole {
		g.most = min(g.most, 60) // a whole answer must fit into the client's time altogether
	}
	c.Open++
	g.try()
}

// want is one generation with its tries.
type want struct {
	crowd   *Generator
	session *session
	id      string
	since   eventloop.Micros
	limit   eventloop.Micros
	most    int
	whole   bool
	tries   int
}

const triesMost = 3

func (g *want) try() {
	c := g.crowd
	left := g.since + g.limit - c.loop.Now()
	var near []*Target
	for _, t := range c.Targets {
		if t.Alive && t.Zone == g.session.zone {
			near = append(near, t)
		}
	}
	if len(near) == 0 {
		for _, t := range c.Targets {
			if t.Alive {
				near = append(near, t)
			}
		}
	}
	if left < 50*eventloop.Millisecond || len(near) == 0 {
		g.over(record.Unserved, 0, 0)
		return
	}
	g.tries++
	allow := eventloop.Micros(float64(left) * (c.MinPatience + (1-c.MinPatience)*c.rand.Float64()))
	target := near[c.rand.Intn(len(near))]
	keyed := c.Keyed && g.session.product.Effect != pb.Product_IDEMPOTENT
	if keyed {
		target = c.Targets[int(xxhash.Sum64String(g.id)%uint64(len(c.Targets)))] // dispatchers know their own keys only
	}
	t := &try{want: g, no: g.tries, name: target.Name, allow: allow, began: c.loop.Now(),
		parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}}
	body := map[string]any{"model": g.session.product.Name, "messages": g.session.messages, "max_tokens": g.most}
	if !g.whole {
		body["stream"] = true
		body["stream_options"] = map[string]bool{"include_usage": true}
	}
	text, _ := json.Marshal(body)
	key := ""
	if keyed {
		key = g.id
	}
	t.request = http1.AppendRequest(nil, http1.Request{
		Method: "POST", Target: "/v1/chat/completions", Host: target.Addr, Body: text,
	}, "Content-Type", "application/json",
		"Authorization", "Bearer "+c.Keys[g.session.tenant], "x-client-request-id", g.id,
		"x-time-limit-ms", strconv.FormatInt(int64(allow/eventloop.Millisecond), 10), "Connection", "close", "Idempotency-Key", key)
	t.conn = c.loop.Dial(target.Addr, 300*eventloop.Millisecond, t)
}

// over ends a generation for its client.
func (g *want) over(how string, first, pace eventloop.Micros) {
	c := g.crowd
	c.Open--
	p := g.session.product
	prompt := 0
	for _, m := range g.session.messages {
		prompt += len(m["content"]) / 4
	}
	slo := eventloop.Micros(p.SloMs)*eventloop.Millisecond + eventloop.Micros(float64(p.SloMsPer_1000Tokens)*float64(prompt))
	e := record.Event{At: int64(c.loop.Now()), Type: record.RequestOver, Request: g.id, Detail: how, Product: p.Name,
		Tenant: c.d.Tenants[g.session.tenant].Name, Count: int64(first), ClientAttempt: g.tries}
	e.Exact = how == record.Completed && first <= slo && pace <= eventloop.Micros(p.TokenSloMs)*eventloop.Millisecond
	c.book.Add(e)
	if s := g.session; how == record.Completed && s.turns > 1 {
		s.turns--
		s.messages = append(s.messages, map[string]string{"role": "assistant", "content": "noted"})
		c.sessions[s.tenant] = append(c.sessions[s.tenant], s)
	}
}

// try is one request of a generation.
type try struct {
	want    *want
	no      int
	name    string // of the dispatcher
	conn    eventloop.Conn
	request []byte
	allow   eventloop.Micros
	began   eventloop.Micros
	timer   eventloop.Timer
	parser  http1.Parser
	events  sse.Parser
	head    *http1.Head
	body    []byte
	first   eventloop.Micros
	last    eventloop.Micros
	tokens  int
	exact   bool
	ended   bool // the final answer is here
	closed  bool
	sent    bool
	whole   bool // the message has ended
	broken  string
}

func (t *try) note(what record.EventType, how string) {
	c := t.want.crowd
	c.book.Add(record.Event{At: int64(c.loop.Now()), Type: what, Request: t.want.id, ClientAttempt: t.no, Dispatcher: t.name,
		Product: t.want.session.product.Name, Tenant: c.d.Tenants[t.want.session.tenant].Name, Detail: how, Count: int64(t.tokens),
		Exact: t.exact, Value: float64(t.allow)})
}

func (t *try) Opened() {
	t.sent = true
	t.note(record.RequestSent, "")
	t.conn.Write(t.request)
	t.timer = t.want.crowd.loop.AfterFunc(t.allow, func() {
		if t.first == 0 || t.want.whole {
			t.final(record.GaveUp)
			t.conn.Abort()
		}
	})
}

func (t *try) Drained() {}

func (t *try) Data(b []byte) {
	if t.whole {
		t.note(record.BytesAfterFinal, "bytes") // the message has ended, and with it all that may come
		return
	}
	if err := t.parser.Feed(b, t); err != nil && !t.ended {
		t.broken = err.Error()
		t.final(record.Malformed)
		t.conn.Abort()
	}
}

func (t *try) Head(h *http1.Head) error { t.head = h; return nil }

func (t *try) Body(b []byte) error {
	if t.head.Status == 200 && strings.HasPrefix(t.head.Get("Content-Type"), "text/event-stream") {
		return t.events.Feed(b, t.event)
	}
	if t.ended {
		t.note(record.BytesAfterFinal, "bytes")
	}
	t.body = append(t.body, b...)
	return nil
}

func (t *try) event(data []byte) error {
	now := t.want.crowd.loop.Now()
	switch {
	case t.ended:
		t.note(record.BytesAfterFinal, "event")
	case string(data) == "[DONE]":
		t.exact = t.exact && t.tokens == modelserver.AnswerLength(t.want.id, t.want.most)
		t.final(record.Completed)
	case gjson.GetBytes(data, "error").Exists():
		t.final(record.Failed)
	default:
		delta := gjson.GetBytes(data, "choices.0.delta.content")
		if !delta.Exists() {
			return nil
		}
		if t.tokens == 0 {
			t.exact, t.first = true, now
		}
		if delta.String() != modelserver.TokenText(t.want.id, t.tokens) {
			t.exact = false
		}
		t.tokens++
		t.last = now
	}
	return nil
}

func (t *try) End() error {
	t.whole = true
	if t.ended {
		return nil
	}
	switch {
	case t.head.Status == 200 && t.want.whole:
		var all strings.Builder
		n := modelserver.AnswerLength(t.want.id, t.want.most)
		for i := range n {
			all.WriteString(modelserver.TokenText(t.want.id, i))
		}
		t.tokens, t.first = n, t.want.crowd.loop.Now()
		t.last = t.first
		t.exact = gjson.GetBytes(t.body, "choices.0.message.content").String() == all.String() &&
			gjson.GetBytes(t.body, "usage.completion_tokens").Int() == int64(n)
		t.final(record.Completed)
	case t.head.Status == 429:
		t.final(record.Rejected)
	case t.head.Status == 409 && gjson.GetBytes(t.body, "error.code").String() == "already_ran":
		t.final(record.Failed)
	case t.head.Status >= 500 && gjson.GetBytes(t.body, "error.message").Exists():
		t.final(record.Failed)
	case t.head.Status == 200:
		return errors.New("a stream without its last event")
	default:
		return fmt.Errorf("status %d: %.120s", t.head.Status, t.body)
	}
	return nil
}

func (t *try) Closed(error) {
	t.closed = true
	switch {
	case t.ended:
	case !t.sent:
		t.final(record.Unreached)
	default:
		t.final(record.Broken)
	}
}

// final takes the try's end, and tries again where that is harmless.
func (t *try) final(how string) {
	t.ended = true
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.sent {
		t.note(record.FinalAnswer, how)
	}
	if t.broken != "" {
		t.note(record.MalformedAnswer, t.broken)
	}
	g, c := t.want, t.want.crowd
	if how == record.Completed {
		pace := eventloop.Micros(0)
		if t.tokens > 1 && !g.whole {
			pace = (t.last - t.first) / eventloop.Micros(t.tokens-1)
		}
		first := t.first - g.since
		if g.whole {
			// What a whole answer took before its first token isn't seen; the time of the rest is taken off at the stated pace.
			first = max(first-eventloop.Micros(t.tokens)*eventloop.Micros(g.session.product.TokenSloMs)*eventloop.Millisecond, 1)
		}
		g.over(record.Completed, first, pace)
		return
	}
	harmless := how == record.Rejected || how == record.Unreached
	if g.session.product.Effect == pb.Product_IDEMPOTENT || c.Keyed && how == record.Broken {
		harmless = true
	}
	if !harmless || g.tries >= triesMost {
		g.over(how, 0, 0)
		return
	}
	wait := 100*eventloop.Millisecond + eventloop.Micros(c.rand.Int63n(200_000))
	if t.head != nil {
		if ms, err := strconv.Atoi(t.head.Get("retry-after-ms")); err == nil {
			wait = eventloop.Micros(ms) * eventloop.Millisecond
		}
	}
	c.loop.AfterFunc(wait, g.try)
}
