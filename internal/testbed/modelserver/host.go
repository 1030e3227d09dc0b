package modelserver

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/testbed/record"
)

// Endpoint is one stand-in.
type Endpoint struct {
	fleet *Fleet
	ID    uint32
	Zone  string
	Cell  uint16
	group *pb.Fleet_Group
	kind  *pb.Kind
	Addr  string

	alive    bool
	draining bool
	fallen   bool
	started  eventloop.Micros // 0 = long ago
	listener eventloop.Listener
	conns    map[*hostConn]int // by the order of their opening
	lastConn int
	running  []*job
	waiting  []*job
	states   map[string]*state
	gone     map[string]bool // legs whose state was released before it was there
	texts    map[uint64]int
	used     int // tokens of memory
	stepping bool
	portFree eventloop.Micros
	came     []arrival // work that reached it while it was cold

	slow       float64          // times as long as usual
	errs       float64          // share of legs that fail
	hung       bool             // takes work and does none
	frozen     bool             // does nothing at all
	cut        string           // the zone that is parted from the rest
	full       string           // a product that is turned away
	greets     eventloop.Micros // how long a new connection waits before it is served
	stale      eventloop.Micros // reports are refreshed only this often
	report     string
	reportedAt eventloop.Micros
	said       string // the last refusal, in words
}

type arrival struct {
	at   eventloop.Micros
	work float64
}

// job is one leg at a host.
type job struct {
	conn                             *hostConn
	leg, client, dispatcher, product string
	reads, away, ran                 bool
	prompt, kept, toRead, most       int
	work                             float64 // tokens to be read, and half of those that may be written
	shared                           uint64
	sharedTokens                     int
	sent                             int
	length                           int
	fetchFrom, fetchLeg              string
	fetching                         bool
	usage                            bool
	whole                            func() []byte // the answer of a read that is all that was asked for
	fails                            int           // the status that it is answered with, whatever host it comes to
	out                              []byte
}

// state is what a read left.
type state struct {
	tokens int
	lease  eventloop.Timer
	job    *job
}

func (h *Endpoint) up(started eventloop.Micros) error {
	f := h.fleet
	h.conns, h.states, h.gone, h.texts = map[*hostConn]int{}, map[string]*state{}, map[string]bool{}, map[uint64]int{}
	h.running, h.waiting, h.used, h.came, h.portFree = nil, nil, 0, nil, 0
	h.alive, h.draining, h.frozen, h.hung, h.errs, h.slow, h.started = true, false, false, false, 0, 1, started
	h.stepping = false
	listener, err := f.loop.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler {
		hc := &hostConn{host: h, conn: c, parser: http1.Parser{Limits: http1.Limits{HeadBytes: 64 << 10, FieldCount: 100, BodyBytes: 64 << 20}}}
		return hc
	})
	if err != nil {
		return fmt.Errorf("host %d: %w", h.ID, err)
	}
	h.listener, h.Addr = listener, listener.Addr()
	f.note(h, "up", nil)
	return nil
}

func (h *Endpoint) down() {
	if !h.alive {
		return
	}
	h.alive = false
	h.listener.Close()
	for _, c := range h.inOrder() {
		c.conn.Abort()
	}
	for _, s := range h.states {
		s.lease.Stop()
	}
	h.running, h.waiting, h.stepping = nil, nil, false
	h.fleet.note(h, "down", nil)
}

// inOrder are the connections in the order of their opening, so that nothing hangs on the order of a map.
func (h *Endpoint) inOrder() []*hostConn {
	return slices.SortedFunc(maps.Keys(h.conns), func(a, b *hostConn) int { return h.conns[a] - h.conns[b] })
}

// --- Troubles ---

// Crash kills the host; it comes back cold, or never if the span is 0.
func (h *Endpoint) Crash(back eventloop.Micros) {
	h.down()
	h.fleet.changed(h, "gone")
	if back > 0 {
		h.fleet.loop.AfterFunc(back, func() {
			if err := h.up(h.fleet.loop.Now()); err == nil {
				h.fleet.changed(h, "ready")
			}
		})
	}
}

// Blackhole makes it silent, without a reset; then it comes back cold.
func (h *Endpoint) Blackhole(span eventloop.Micros) {
	h.frozen = true
	h.fleet.loop.AfterFunc(span, func() { h.Crash(100 * eventloop.Millisecond) })
}

// Hang has it take work and do none, then start anew.
func (h *Endpoint) Hang(span eventloop.Micros) {
	h.hung = true
	h.fleet.loop.AfterFunc(span, func() { h.Crash(100 * eventloop.Millisecond) })
}

// Pause freezes it; it goes on as if nothing had been.
func (h *Endpoint) Pause(span eventloop.Micros) {
	h.frozen = true
	h.fleet.loop.AfterFunc(span, func() {
		h.frozen = false
		h.thaw()
	})
}

// SlowDown makes all that it does take so many times as long.
func (h *Endpoint) SlowDown(factor float64, span eventloop.Micros) {
	h.slow = factor
	h.fleet.loop.AfterFunc(span, func() { h.slow = 1 })
}

// FailAttempts has it fail a share of its legs at once.
func (h *Endpoint) FailAttempts(share float64, span eventloop.Micros) {
	h.errs = share
	h.fleet.loop.AfterFunc(span, func() { h.errs = 0 })
}

// RejectProduct has it turn away one product for a while.
func (h *Endpoint) RejectProduct(product string, span eventloop.Micros) {
	h.full = product
	h.fleet.loop.AfterFunc(span, func() { h.full = "" })
}

// DelayConnections has new connections wait before they are served.
func (h *Endpoint) DelayConnections(wait, span eventloop.Micros) {
	h.greets = wait
	h.fleet.loop.AfterFunc(span, func() { h.greets = 0 })
}

// DelayLoadReports has its load reports be old ones.
func (h *Endpoint) DelayLoadReports(age, span eventloop.Micros) {
	h.stale = age
	h.fleet.loop.AfterFunc(span, func() { h.stale = 0 })
}

// ClearPrefixCache makes it forget the texts that it kept.
func (h *Endpoint) ClearPrefixCache() { clear(h.texts) }

// Drain has it announced as draining, then replaced.
func (h *Endpoint) Drain(span, back eventloop.Micros) {
	h.draining = true
	h.fleet.changed(h, "draining")
	h.fleet.loop.AfterFunc(span, func() { h.Crash(back) })
}

func (h *Endpoint) thaw() {
	if !h.alive || h.frozen {
		return
	}
	for _, c := range h.inOrder() {
		if len(c.unsent) > 0 {
			c.conn.Write(c.unsent)
			c.unsent = nil
		}
		for len(c.late) > 0 && !c.away() {
			j := c.late[0]
			c.late = c.late[1:]
			j()
		}
	}
	h.wake()
}

// --- Capacity ---

// factor is the share of its capacity that it has now.
func (h *Endpoint) factor() float64 {
	v := 1 / h.slow
	if age := h.fleet.loop.Now() - h.started; h.started > 0 {
		r := h.fleet.d.Rules
		warm := eventloop.Micros(r.ColdMs) * eventloop.Millisecond * 9 / 10
		if age < warm {
			v *= r.ColdFrom + (1-r.ColdFrom)*float64(age)/float64(warm)
		}
	}
	return v
}

// bear counts the work that reaches a cold host, whose budget any span of the stated length has.
func (h *Endpoint) bear(work float64) {
	r := h.fleet.d.Rules
	now := h.fleet.loop.Now()
	if h.started == 0 || now-h.started >= eventloop.Micros(r.ColdMs)*eventloop.Millisecond {
		return
	}
	span := eventloop.Micros(r.FallMs) * eventloop.Millisecond
	h.came = slices.DeleteFunc(h.came, func(a arrival) bool { return a.at < now-span })
	h.came = append(h.came, arrival{now, work})
	sum := 0.0
	for _, a := range h.came {
		sum += a.work
	}
	could := h.group.ReadTokensPerS
	if h.kind.Role == pb.Kind_WRITER {
		could = float64(h.group.Slots) * 1e6 / float64(h.group.StepUs+h.group.StepUsPerStream*h.group.Slots)
	}
	used := sum / (r.FallMultiple * could * h.factor() * float64(r.FallMs) / 1000)
	// One leg by itself is borne: the rule is about what all send together, kept up for a span.
	if h.fleet.book != nil && len(h.came) > 1 {
		h.fleet.book.Add(record.Event{At: int64(now), Type: "cold", Endpoint: h.ID, Value: used, Count: int64(len(h.came))})
	}
	if used > 1 && len(h.came) > 1 {
		h.fallen = true
		h.fleet.note(h, "fell", nil)
		h.Crash(0)
	}
}

// --- Work ---

func (h *Endpoint) wake() {
	if h.stepping || !h.alive || h.frozen || h.hung || len(h.running)+len(h.waiting) == 0 {
		return
	}
	h.stepping = true
	step := float64(h.group.StepUs) + float64(h.group.StepUsPerStream)*float64(len(h.running))
	span := eventloop.Micros(step)
	writes := slices.ContainsFunc(h.running, func(j *job) bool { return !j.reads && j.toRead == 0 })
	if f := h.factor(); writes {
		span = eventloop.Micros(step / f) // a slow writer's steps are longer; a slow reader's do less
	}
	generation := h.started
	h.fleet.loop.AfterFunc(span, func() {
		if h.alive && h.started == generation {
			h.stepping = false
			h.step(span)
			h.wake()
		}
	})
}

// step is one round of the batch: waiting work takes free slots, prompts are read on, each answer gets a token.
func (h *Endpoint) step(span eventloop.Micros) {
	if h.frozen || h.hung {
		return
	}
	h.admit()
	budget := h.group.ReadTokensPerS * h.factor() * float64(span) / 1e6
	h.advance(budget)
}

// admit lets waiting work into free slots and memory.
func (h *Endpoint) admit() {
	for len(h.waiting) > 0 && len(h.running) < int(h.group.Slots) {
		j := h.waiting[0]
		if need := j.prompt + j.most/2; h.used > 0 && h.used+need > int(h.kind.MemoryTokens) {
			break
		} else {
			h.used += need
		}
		h.waiting = h.waiting[1:]
		h.running = append(h.running, j)
		if j.fetchLeg != "" {
			h.fetch(j)
		}
	}
}

func (h *Endpoint) advance(budget float64) {
	for _, j := range slices.Clone(h.running) {
		switch {
		case j.away && h.fleet.d.Fleet.CancelStops:
			h.leave(j)
		case j.fetching:
		case j.toRead > 0:
			n := min(j.toRead, int(budget))
			budget -= float64(n)
			if j.toRead -= n; j.toRead > 0 {
				continue
			}
			if j.shared != 0 {
				h.texts[j.shared] = j.sharedTokens
			}
			if j.whole != nil {
				h.wholeDone(j)
			} else if j.reads {
				h.readDone(j)
			}
		case !j.reads:
			h.token(j)
		}
	}
}

func (h *Endpoint) leave(j *job) {
	if i := slices.Index(h.running, j); i >= 0 {
		h.running = slices.Delete(h.running, i, i+1)
		h.used -= j.prompt + j.most/2
	}
	h.fleet.note(h, "left", j)
}

// readDone ends a read: the state waits, in its slot's memory.
func (h *Endpoint) readDone(j *job) {
	if i := slices.Index(h.running, j); i >= 0 {
		h.running = slices.Delete(h.running, i, i+1)
	}
	need := j.prompt + j.most/2
	if j.away || h.gone[j.leg] {
		h.used -= need
		h.fleet.note(h, "left", j)
		return
	}
	h.fleet.note(h, "hold", j)
	s := &state{tokens: j.prompt, job: j}
	s.lease = h.fleet.loop.AfterFunc(eventloop.Micros(h.fleet.d.Fleet.LeaseMs)*eventloop.Millisecond, func() { h.release(j.leg, "lease") })
	h.states[j.leg] = s
	params := fmt.Sprintf(`{"do_remote_decode":false,"do_remote_prefill":true,"remote_engine_id":"%d","remote_block_ids":[%d],`+
		`"remote_request_id":%q,"remote_addr":%q,"tokens":%d}`, h.ID, j.prompt/16, j.leg, h.Addr, j.prompt)
	j.conn.answer(200, []byte(fmt.Sprintf(`{"id":%q,"object":"chat.completion","created":0,"model":%q,"choices":[{"index":0,`+
		`"message":{"role":"assistant","content":""},"finish_reason":"length"}],"usage":{"prompt_tokens":%d,`+
		`"completion_tokens":1,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}},"kv_transfer_params":%s}`,
		j.leg, j.product, j.prompt, j.prompt+1, j.kept, params)))
}

// release drops a state, however it comes to that.
func (h *Endpoint) release(leg, how string) bool {
	s := h.states[leg]
	if s == nil {
		return false
	}
	s.lease.Stop()
	delete(h.states, leg)
	h.used -= s.job.prompt + s.job.most/2
	h.fleet.note(h, how, s.job)
	h.wake()
	return true
}

// fetch gets a state from the reader that holds it.
func (h *Endpoint) fetch(j *job) {
	j.fetching = true
	mover := &mover{h: h, j: j, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}}
	mover.conn = h.fleet.loop.Dial(j.fetchFrom, 500*eventloop.Millisecond, mover)
}

type mover struct {
	h      *Endpoint
	j      *job
	conn   eventloop.Conn
	parser http1.Parser
	status int
	done   bool
}

func (m *mover) Opened() {
	m.conn.Write(http1.AppendRequest(nil, http1.Request{
		Method: "GET", Target: "/v1/kv/" + m.j.fetchLeg, Host: m.j.fetchFrom,
	}, "x-zone", m.h.Zone,
		"x-cell", strconv.Itoa(int(m.h.Cell))))
}
func (m *mover) Drained() {}
func (m *mover) Data(b []byte) {
	if m.parser.Feed(b, m) != nil {
		m.conn.Abort()
	}
}
func (m *mover) Head(head *http1.Head) error { m.status = head.Status; return nil }
func (m *mover) Body([]byte) error           { return nil }
func (m *mover) End() error                  { m.finish(); m.conn.Close(); return nil }
func (m *mover) Closed(error)                { m.finish() }

func (m *mover) finish() {
	if m.done {
		return
	}
	m.done = true
	if !slices.Contains(m.h.running, m.j) {
		return
	}
	m.j.fetching = false
	if m.status == 200 {
		if !m.h.frozen && !m.h.hung {
			m.h.token(m.j) // the first comes with the state
		}
		m.h.wake()
		return
	}
	m.h.leave(m.j)
	m.j.conn.problem(409, "state_lost")
}

// serveState sends a state out, over its port and, to another cell, over the one link of this cell.
func (h *Endpoint) serveState(c *hostConn, leg, zone string, cell uint16) {
	s := h.states[leg]
	if s == nil {
		c.problem(404, "state_lost")
		return
	}
	f := h.fleet
	free, rate := &h.portFree, f.d.Fleet.CellTokensPerS
	if cell != h.Cell {
		free, rate = f.links[h.Cell], f.d.Fleet.LinkTokensPerS
		if zone != h.Zone {
			rate /= f.d.Fleet.FarFactor
		}
	}
	now := f.loop.Now()
	*free = max(*free, now) + eventloop.Micros(float64(s.tokens)/rate*1e6)
	f.loop.AfterFunc(*free-now, func() {
		if !h.alive || c.away() {
			return
		}
		if h.release(leg, "took") {
			c.answer(200, []byte(`{"tokens":`+strconv.Itoa(s.tokens)+`}`))
		} else {
			c.problem(404, "state_lost")
		}
	})
}

// token gives an answer its next one.
func (h *Endpoint) token(j *job) {
	if !j.ran {
		j.ran = true
		h.fleet.note(h, "ran", j)
	}
	chunk := func(delta, finish string) {
		j.out = sse.Append(j.out, []byte(fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","created":0,"model":%q,`+
			`"choices":[{"index":0,"delta":%s,"finish_reason":%s}]}`, j.leg, j.product, delta, finish)))
	}
	j.out = j.out[:0]
	if j.sent == 0 {
		j.length = AnswerLength(j.client, j.most)
	}
	role := ""
	if j.sent == 0 {
		role = `"role":"assistant",`
	}
	text := TokenText(j.client, j.sent)
	if n := int(h.group.TokenBytes) - len(text); n > 0 {
		text += strings.Repeat("x", n)
	}
	chunk(`{`+role+`"content":"`+text+`"}`, "null")
	j.sent++
	if j.sent >= j.length {
		chunk("{}", `"stop"`)
		if j.usage {
			j.out = sse.Append(j.out, []byte(fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","created":0,"model":%q,"choices":[],`+
				`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`, j.leg, j.product, j.prompt, j.sent, j.prompt+j.sent)))
		}
		j.out = sse.Append(j.out, []byte("[DONE]"))
	}
	j.conn.chunk(j.out, j.sent >= j.length)
	if j.sent >= j.length {
		h.leave(j)
	}
}

// take begins a leg.
func (h *Endpoint) take(c *hostConn, head *http1.Head, body []byte) {
	messages := gjson.GetBytes(body, "messages")
	params := gjson.GetBytes(body, "kv_transfer_params")
	j := &job{conn: c, leg: head.Get("x-request-id"), client: head.Get("x-client-request-id"),
		dispatcher: head.Get("x-dispatcher"), product: gjson.GetBytes(body, "model").String(),
		prompt: len(messages.Raw)/4 + 1, most: int(gjson.GetBytes(body, "max_tokens").Int()),
		reads: params.Get("do_remote_decode").Bool(), usage: gjson.GetBytes(body, "stream_options.include_usage").Bool()}
	if j.client == "" {
		j.client = j.leg
	}
	if first := messages.Get("0"); first.Get("role").String() == "system" {
		j.shared, j.sharedTokens = xxhash.Sum64String(gjson.GetBytes(body, "cache_salt").String()+first.Raw), len(first.Raw)/4
	}
	j.kept = min(h.texts[j.shared], j.prompt-1)
	j.work = float64(j.prompt - j.kept)
	if j.fetchLeg = params.Get("remote_request_id").String(); j.fetchLeg != "" {
		j.fetchFrom = params.Get("remote_addr").String()
		j.work = float64(j.most) / 2
	} else {
		j.toRead = j.prompt - j.kept
		if !j.reads {
			j.work += float64(j.most) / 2
		}
	}
	h.fleet.note(h, "leg", j)
	h.bear(j.work)
	c.job = j
	if !h.alive {
		return
	}
	if h.frozen || c.parted() {
		c.late = append(c.late, func() { h.begin(j) })
		return
	}
	h.begin(j)
}

func (h *Endpoint) begin(j *job) {
	c := j.conn
	switch {
	case h.hung:
		h.waiting = append(h.waiting, j)
	case h.draining:
		c.problem(503, "draining")
	case h.full != "" && h.full == j.product, len(h.waiting) >= int(h.group.Queue):
		c.problem(429, "full")
	case j.whole == nil && h.kind.Role == pb.Kind_EMBEDDER:
		h.fleet.note(h, "misled", j) // chat is never to come here
		c.problem(500, "internal")
	case j.fails == 500:
		c.problem(500, "internal")
	case j.fails == 422:
		c.problem(422, "invalid_input")
	case j.reads && h.kind.Role == pb.Kind_WRITER, j.toRead > 0 && h.kind.Role == pb.Kind_WRITER && !h.fleet.d.Dispatching.WritersRead:
		c.problem(409, "state_lost")
	case h.errs > 0 && h.fleet.rand.Float64() < h.errs:
		if !j.reads {
			j.ran = true
			h.fleet.note(h, "ran", j) // it may have taken effect before it failed
		}
		c.problem(500, "internal")
	default:
		h.waiting = append(h.waiting, j)
		h.admit()
		h.wake()
	}
}

// --- Connections ---

type hostConn struct {
	host   *Endpoint
	conn   eventloop.Conn
	parser http1.Parser
	head   *http1.Head
	body   []byte
	job    *job
	zone   string // of whoever is at the other end
	late   []func()
	unsent []byte // what was written while cut off; the network brings it once it can
	closed bool
	begun  bool
}

func (c *hostConn) Opened() {
	if h := c.host; h.alive {
		h.lastConn++
		h.conns[c] = h.lastConn
		if h.greets > 0 {
			c.conn.Pause(true)
			h.fleet.loop.AfterFunc(h.greets, func() { c.conn.Pause(false) })
		}
	}
}
func (c *hostConn) Drained()   {}
func (c *hostConn) away() bool { return c.closed }

func (c *hostConn) Closed(error) {
	c.closed = true
	delete(c.host.conns, c)
	j := c.job
	if j == nil {
		return
	}
	h := c.host
	j.away = true
	h.fleet.note(h, "quit", j)
	if i := slices.Index(h.waiting, j); i >= 0 {
		h.waiting = slices.Delete(h.waiting, i, i+1)
	} else if j.fetching {
		h.leave(j)
	}
}

func (c *hostConn) Data(b []byte) {
	if c.parser.Feed(b, c) != nil {
		c.conn.Abort()
	}
}

func (c *hostConn) Head(h *http1.Head) error { c.head, c.body = h, nil; return nil }
func (c *hostConn) Body(b []byte) error      { c.body = append(c.body, b...); return nil }

func (c *hostConn) End() error {
	h := c.host
	if !h.alive {
		return nil
	}
	head, body := c.head, c.body
	c.zone = head.Get("x-zone")
	if head.Target == "/v1/kv/release" {
		// Also while frozen or cut off: the record is of what came over the socket, and when.
		for _, id := range gjson.GetBytes(body, "request_ids").Array() {
			if !h.release(id.String(), "released") {
				h.gone[id.String()] = true
			}
		}
		c.answer(200, []byte("{}"))
		return nil
	}
	serve := func() {
		leg, fetch := strings.CutPrefix(head.Target, "/v1/kv/")
		switch {
		case fetch:
			cell, _ := strconv.Atoi(head.Get("x-cell"))
			h.serveState(c, leg, c.zone, uint16(cell))
		default:
			c.problem(404, "unknown")
		}
	}
	switch {
	case head.Target == "/v1/chat/completions":
		h.take(c, head, body)
	case head.Target == "/v1/embeddings", head.Target == "/v1/rerank":
		h.takeWhole(c, head, body)
	case h.frozen || c.parted():
		c.late = append(c.late, serve)
	default:
		serve()
	}
	return nil
}

func (c *hostConn) orca() string {
	h := c.host
	now := h.fleet.loop.Now()
	if h.report != "" && now-h.reportedAt < h.stale {
		return h.report
	}
	h.reportedAt = now
	h.report = "TEXT named_metrics.kv_cache_usage_perc=" +
		strconv.FormatFloat(min(float64(h.used)/float64(h.kind.MemoryTokens), 1), 'f', 3, 64)
	return h.report
}

// parted: the network brings nothing across now.
func (c *hostConn) parted() bool {
	h := c.host
	return h.cut != "" && (h.cut == c.zone) != (h.cut == h.Zone)
}

func (c *hostConn) write(b []byte) {
	if c.parted() {
		c.unsent = append(c.unsent, b...)
	} else {
		c.conn.Write(b)
	}
}

func (c *hostConn) answer(status int, body []byte) {
	if c.closed || !c.host.alive {
		return
	}
	if j := c.job; j != nil {
		// A leg is out until its answer is on the network.
		told := func() {
			c.host.fleet.note(c.host, "answered", j)
			c.job = nil
		}
		if c.parted() {
			c.late = append(c.late, told)
		} else {
			told()
		}
	}
	c.write(http1.AppendResponse(nil, status, body, "Content-Type", "application/json", "endpoint-load-metrics", c.orca()))
}

func (c *hostConn) problem(status int, code string) {
	c.host.said = code
	c.host.fleet.note(c.host, "refuse", c.job)
	c.answer(status, []byte(`{"error":{"message":"`+code+`","type":"server_error","param":null,"code":"`+code+`"}}`))
}

func (c *hostConn) chunk(events []byte, last bool) {
	if c.closed || !c.host.alive {
		return
	}
	var b []byte
	if !c.begun {
		c.begun = true
		b = http1.AppendStreamHead(b, 200, "Content-Type", "text/event-stream", "endpoint-load-metrics", c.orca())
	}
	b = http1.AppendChunk(b, events)
	if last {
		b = http1.AppendLastChunk(b)
		c.job, c.begun = nil, false
	}
	c.write(b)
}
