package load

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/record"
)

// BatchClients are clients that ask for embeddings or rerankings, so many calls at once; each asks again when it was answered.
type BatchClients struct {
	Generator   *Generator
	Product     *pb.Product
	Tenant      int
	Concurrency int // calls at once
	Inputs      int // of a call
	Tokens      int // of an input, about
	Calls       int // in all; 0: until Stop

	Open       int
	Started    int
	InputsRead int // inputs that came back, each at its place
	TokensRead int
	Wrong      int
	Outcomes   map[string]int
	stopped    bool
	filler     string
}

// Run begins.
func (b *BatchClients) Run() {
	b.Outcomes = map[string]int{}
	b.filler = b.Generator.words(b.Tokens)
	for range b.Concurrency {
		b.next()
	}
}

// Stop has nothing more asked.
func (b *BatchClients) Stop() { b.stopped = true }

func (b *BatchClients) next() {
	if b.stopped || b.Calls > 0 && b.Started >= b.Calls {
		return
	}
	b.Started++
	b.Open++
	c := &batchCall{load: b, id: fmt.Sprintf("b%s%d", b.Product.Name, b.Started)}
	for i := range b.Inputs {
		c.inputs = append(c.inputs, strconv.Quote(fmt.Sprintf("%s %d %s", c.id, i, b.filler[:max(4*b.Tokens-len(c.id)-8, 1)])))
	}
	c.since = b.Generator.loop.Now()
	c.try()
}

type batchCall struct {
	load   *BatchClients
	id     string
	inputs []string
	since  eventloop.Micros
	tries  int
}

func (c *batchCall) try() {
	b := c.load
	crowd := b.Generator
	left := c.since + eventloop.Micros(b.Product.TimeLimitMs)*eventloop.Millisecond - crowd.loop.Now()
	var near []*Target
	for _, t := range crowd.Targets {
		if t.Alive {
			near = append(near, t)
		}
	}
	if left < 50*eventloop.Millisecond || len(near) == 0 || c.tries >= 2*triesMost {
		c.over(record.Unserved)
		return
	}
	c.tries++
	target := near[crowd.rand.Intn(len(near))]
	path, body := "/v1/embeddings", `{"model":"`+b.Product.Name+`","encoding_format":"base64","input":[`+strings.Join(c.inputs, ",")+`]}`
	if b.Product.Form == pb.Product_RERANK {
		path, body = "/v1/rerank", `{"model":"`+b.Product.Name+`","query":"why?","documents":[`+strings.Join(c.inputs, ",")+`]}`
	}
	t := &batchTry{call: c, no: c.tries, name: target.Name, allow: left, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}}
	t.request = http1.AppendRequest(nil, http1.Request{
		Method: "POST", Target: path, Host: target.Addr, Body: []byte(body),
	}, "Content-Type", "application/json",
		"Authorization", "Bearer "+crowd.Keys[b.Tenant], "x-client-request-id", c.id,
		"x-time-limit-ms", strconv.FormatInt(int64(left/eventloop.Millisecond), 10), "Connection", "close")
	t.conn = crowd.loop.Dial(target.Addr, 300*eventloop.Millisecond, t)
}

func (c *batchCall) over(how string) {
	b := c.load
	b.Open--
	b.Outcomes[how]++
	took := b.Generator.loop.Now() - c.since
	if how == record.Completed {
		b.InputsRead += len(c.inputs)
		b.TokensRead += len(c.inputs) * b.Tokens
	}
	b.Generator.book.Add(record.Event{At: int64(b.Generator.loop.Now()), Type: record.RequestOver, Request: c.id, Detail: how, Product: b.Product.Name,
		Tenant: b.Generator.d.Tenants[b.Tenant].Name, Count: int64(took), ClientAttempt: c.tries, Exact: how == record.Completed})
	b.Generator.loop.Defer(b.next)
}

// batchTry is one request of a call.
type batchTry struct {
	call    *batchCall
	no      int
	name    string
	conn    eventloop.Conn
	request []byte
	allow   eventloop.Micros
	timer   eventloop.Timer
	parser  http1.Parser
	head    *http1.Head
	body    []byte
	sent    bool
	ended   bool
	whole   bool // the message has ended
	exact   bool
	cause   string
}

func (t *batchTry) note(what record.EventType, how string) {
	b := t.call.load
	b.Generator.book.Add(record.Event{At: int64(b.Generator.loop.Now()), Type: what, Request: t.call.id, ClientAttempt: t.no, Dispatcher: t.name, Product: b.Product.Name,
		Tenant: b.Generator.d.Tenants[b.Tenant].Name, Detail: how, Exact: t.exact, Value: float64(t.allow)})
}

func (t *batchTry) Opened() {
	t.sent = true
	t.note(record.RequestSent, "")
	t.conn.Write(t.request)
	t.request = nil
	t.timer = t.call.load.Generator.loop.AfterFunc(t.allow, func() {
		t.final(record.GaveUp)
		t.conn.Abort()
	})
}

func (t *batchTry) Drained() {}
func (t *batchTry) Data(b []byte) {
	if t.whole {
		t.note(record.BytesAfterFinal, "bytes")
		return
	}
	if err := t.parser.Feed(b, t); err != nil && !t.ended {
		t.cause = err.Error()
		t.final(record.Malformed)
		t.conn.Abort()
	}
}
func (t *batchTry) Head(h *http1.Head) error { t.head = h; return nil }
func (t *batchTry) Body(b []byte) error {
	if t.ended {
		t.note(record.BytesAfterFinal, "bytes")
	}
	t.body = append(t.body, b...)
	return nil
}

func (t *batchTry) End() error {
	t.whole = true
	if t.ended {
		return nil
	}
	switch {
	case t.head.Status == 200:
		if t.cause = t.check(); t.cause != "" {
			t.call.load.Wrong++
		}
		t.exact = t.cause == ""
		t.final(record.Completed)
	case t.head.Status == 429:
		t.final(record.Rejected)
	case t.head.Status >= 500 || t.head.Status == 422:
		t.final(record.Failed)
	default:
		return fmt.Errorf("status %d: %.120s", t.head.Status, t.body)
	}
	return nil
}

// check holds an answer against what each input's vector, or score, has to be.
func (t *batchTry) check() (wrong string) {
	b, inputs := t.call.load, t.call.inputs
	if b.Product.Form == pb.Product_RERANK {
		last, seen := 2.0, map[int]bool{}
		gjson.GetBytes(t.body, "results").ForEach(func(_, r gjson.Result) bool {
			i, score := int(r.Get("index").Int()), r.Get("relevance_score").Num
			if i < 0 || i >= len(inputs) || seen[i] || score != modelserver.Score("why?", inputs[i]) || score > last {
				wrong = fmt.Sprintf("document %d, score %v after %v", i, score, last)
				return false
			}
			seen[i], last = true, score
			return true
		})
		if wrong == "" && len(seen) != len(inputs) {
			wrong = fmt.Sprintf("%d documents of %d", len(seen), len(inputs))
		}
		return wrong
	}
	n := 0
	gjson.GetBytes(t.body, "data").ForEach(func(_, v gjson.Result) bool {
		if n >= len(inputs) || v.Get("index").Int() != int64(n) ||
			v.Get("embedding").Str != base64.StdEncoding.EncodeToString(modelserver.Vector(inputs[n], int(b.Product.Dimensions))) {
			wrong = fmt.Sprintf("vector %d is not its input's", n)
			return false
		}
		n++
		return true
	})
	if wrong == "" && n != len(inputs) {
		wrong = fmt.Sprintf("%d vectors of %d", n, len(inputs))
	}
	return wrong
}

func (t *batchTry) Closed(error) {
	switch {
	case t.ended:
	case !t.sent:
		t.final(record.Unreached)
	default:
		t.final(record.Broken)
	}
}

// final takes the try's end. A call may always come again.
func (t *batchTry) final(how string) {
	t.ended = true
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.sent {
		t.note(record.FinalAnswer, how)
	}
	if t.cause != "" {
		t.note(record.MalformedAnswer, t.cause)
	}
	if how == record.Completed {
		t.call.over(how)
		return
	}
	wait := 100 * eventloop.Millisecond
	if t.head != nil {
		if ms, err := strconv.Atoi(t.head.Get("retry-after-ms")); err == nil {
			wait = eventloop.Micros(ms) * eventloop.Millisecond
		}
	}
	t.call.load.Generator.loop.AfterFunc(wait, t.call.try)
}
