package dispatch

import (
	"fmt"
	"slices"
	"strconv"

	"plumspindle/internal/batch"
	"plumspindle/internal/chat"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/embeddings"
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/http1"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/tenancy"
	"plumspindle/internal/vectors"
	"plumspindle/scheduler"
)

const (
	partAnswer  = 32 << 20 // bytes of a host's answer to a part
	cachesMost  = 64       // tenants' caches at once; the one that was not used for longest makes way
	batchMargin = 20 * eventloop.Millisecond
	answersMost = 256 << 20 // bytes that the answers of all calls that run may have
)

// batches is all calls with many inputs of one dispatcher. Their parts are generations like any other; which of them goes
// next, and how many may be out, is package batch's.
type batches struct {
	pb      *pb.Batches
	limiter *batch.Limiter
	turns   []*batcher // tenants that have calls, the next one first
	calls   int
	caches  []*tenantCache // the one used last comes last
	answers int            // bytes that the answers of all calls that run are going to have
}

// batcher is one tenant's calls; they take turns too.
type batcher struct {
	seat   *seat
	calls  []*batchCall
	queued int
}

type tenantCache struct {
	name string
	*vectors.Cache
}

// batchCall is one client's.
type batchCall struct {
	x          *Dispatcher
	ask        *embeddings.Request
	who        frontend.Identity
	to         *frontend.Response
	clientID   string
	product    scheduler.ClassID
	form       pb.Product_Form
	dimensions int
	deadline   eventloop.Micros
	limit      eventloop.Timer
	wake       eventloop.Timer
	parts      *batch.Call
	parted     int // inputs that are in parts
	whole      bool
	home       *batcher
	out        map[batch.PartID]*gen
	answer     embeddings.Answer
	cache      *vectors.Cache
	ended      bool
	answers    int // bytes that its answer is going to have
}

// part ties a generation to the call that it is a part of.
type part struct {
	call   *batchCall
	no     batch.PartID
	inputs []int
	result embeddings.PartResult
	sent   eventloop.Micros // to the module
	queued bool
	broken int  // hosts that failed on it
	bad    bool // a host says that an input is no good
}

// batchRoute is one of the APIs whose answers are complete with the read.
func (x *Dispatcher) batchRoute(kind embeddings.Kind, form pb.Product_Form) frontend.Route {
	b := x.batches.pb
	bounds := embeddings.Limits{MaxInputs: int(b.InputsMost), MaxInputTokens: int(b.InputTokensMost), MaxBody: int(b.BodyMost), MaxBuffered: int(b.Window)}
	if kind == embeddings.Rerank {
		bounds.MaxInputs = int(b.DocumentsMost)
	}
	return frontend.Route{Method: "POST", MaxBody: bounds.MaxBody, MaxBuffered: bounds.MaxBuffered, Begin: func(head *http1.Head, who frontend.Identity, to *frontend.Response) (frontend.Sink, *frontend.Problem) {
		if p := frontend.RequireJSON(head, "gzip", "zstd"); p != nil {
			return nil, p
		}
		limit, p := number(head, limitField, 1)
		if p != nil {
			return nil, p
		}
		c := &batchCall{x: x, who: who, to: to, form: form, clientID: head.Get("x-client-request-id"), deadline: limit, out: map[batch.PartID]*gen{}}
		c.ask = embeddings.NewRequest(kind, head.Get("Content-Encoding"), bounds, c, to)
		to.OnDisconnect = func() { x.loop.Defer(c.left) }
		return c.ask, nil
	}}
}

// Begin: all is known that a part needs.
func (c *batchCall) Begin() *frontend.Problem {
	x, a := c.x, c.ask
	product, known := x.products[a.Model]
	if !known {
		return frontend.ModelNotFound(a.Model)
	}
	p := x.Products[product]
	if p.Form != c.form {
		return frontend.Invalid("model", "unsupported_value", "The model '%.60s' is not served by this API.", a.Model)
	}
	if c.dimensions = int(p.Dimensions); a.Dimensions > 0 {
		if a.Dimensions > c.dimensions {
			return frontend.Invalid("dimensions", "integer_above_max_value", "The model has %d dimensions.", c.dimensions)
		}
		c.dimensions = a.Dimensions
	}
	s := x.seats[c.who.Tenant]
	if s == nil || !c.who.Active {
		return &frontend.Problem{Status: 403, Type: "permission_error", Code: "tenant_suspended", NoRetry: true, Message: "This account is suspended."}
	}
	if x.batches.calls >= int(x.Doors.OpenMost) {
		x.Shed++
		return frontend.TooManyConnections()
	}
	now := x.loop.Now()
	span := eventloop.Micros(p.TimeLimitMs) * eventloop.Millisecond
	if c.deadline > 0 {
		span = min(span, c.deadline)
	}
	c.product, c.deadline = product, now+span
	c.limit = x.loop.AfterFunc(max(span-batchMargin, 0), c.late)
	c.parts = batch.NewCall(nil, batch.PartLimits{})
	if x.batches.pb.Cache > 0 && c.form == pb.Product_EMBEDDING {
		c.cache = x.cacheOf(c.who.Space, c.dimensions)
	}
	x.batches.calls++
	x.Accepted++
	c.home = x.batches.of(s)
	c.home.calls = append(c.home.calls, c)
	return nil
}

// InputsAdded: further inputs have come, or all have.
func (c *batchCall) InputsAdded(whole bool) *frontend.Problem {
	if c.ended {
		return nil
	}
	c.whole = c.whole || whole
	n := len(c.ask.Inputs)
	need := 4 * c.dimensions * (n - len(c.answer.Vectors))
	if c.x.batches.answers+need > answersMost {
		c.crowded()
		return nil
	}
	c.x.batches.answers, c.answers = c.x.batches.answers+need, c.answers+need
	c.answer.Vectors = append(c.answer.Vectors, make([][]byte, n-len(c.answer.Vectors))...)
	c.answer.Scores = append(c.answer.Scores, make([]float64, n-len(c.answer.Scores))...)
	b := batch.PartLimits{Tokens: int(c.x.batches.pb.PartTokens), Inputs: int(c.x.batches.pb.PartInputs)}
	for c.parted < n {
		// What is cached is there already; what is not goes out, neighbours together.
		from := c.parted
		var tokens []int
		for ; c.parted < n; c.parted++ {
			if c.cached(c.parted) {
				break
			}
			tokens = append(tokens, c.ask.CountTokens([]int{c.parted}))
		}
		c.parts.Add(from, tokens, b)
		for c.parted < n && c.cached(c.parted) {
			c.parted++
		}
	}
	c.x.pump()
	c.finished()
	return nil
}

func (c *batchCall) cached(i int) bool {
	if c.cache == nil {
		return false
	}
	if c.answer.Vectors[i] != nil {
		return true
	}
	v, some := c.cache.Get(c.ask.CacheKey(i, c.dimensions))
	if some {
		c.answer.Vectors[i] = slices.Clone(v)
		c.x.loop.Defer(func() { // it may read on in the body, and this is called while its inputs are parted
			if p := c.ask.DiscardInput(i); p != nil {
				c.fail(p)
			}
		})
	}
	return some
}

// cacheOf is a tenant's own cache for vectors of a size; no two tenants share one.
func (x *Dispatcher) cacheOf(space string, dimensions int) *vectors.Cache {
	b := &x.batches
	name := strconv.Itoa(dimensions) + " " + space
	at := slices.IndexFunc(b.caches, func(t *tenantCache) bool { return t.name == name })
	var t *tenantCache
	if at >= 0 {
		t = b.caches[at]
		b.caches = slices.Delete(b.caches, at, at+1)
	} else {
		if len(b.caches) >= cachesMost {
			b.caches = slices.Delete(b.caches, 0, 1)
		}
		t = &tenantCache{name, vectors.New(4*dimensions, int(b.pb.Cache))}
	}
	b.caches = append(b.caches, t)
	return t.Cache
}

func (b *batches) of(s *seat) *batcher {
	for _, t := range b.turns {
		if t.seat == s {
			return t
		}
	}
	t := &batcher{seat: s}
	b.turns = append(b.turns, t)
	return t
}

// pump sends parts as far as the limit lets them, tenants in turn, and each tenant's calls in turn.
func (x *Dispatcher) pump() {
	b := &x.batches
	now := x.loop.Now()
	for idle := 0; idle < len(b.turns) && b.limiter.HasCapacity(); {
		t := b.turns[0]
		b.turns = append(b.turns[1:], t)
		c := t.next(now)
		if c == nil || t.queued >= batch.MaxQueuedParts {
			idle++
			continue
		}
		idle = 0
		c.send(now)
	}
}

func (t *batcher) next(now eventloop.Micros) *batchCall {
	for range t.calls {
		c := t.calls[0]
		t.calls = append(t.calls[1:], c)
		if !c.ended && c.parts.Ready(now) {
			return c
		}
	}
	return nil
}

// send makes a generation of the call's next part.
func (c *batchCall) send(now eventloop.Micros) {
	x, s := c.x, c.home.seat
	no, inputs := c.parts.SendNext()
	tokens := c.ask.CountTokens(inputs)
	t, v := x.gate.Admit(now, tenancy.AdmissionRequest{Tenant: s.id, Key: c.who.Key, Product: c.ask.Model, PromptTokens: tokens})
	if v.Reason != tenancy.NotRejected {
		x.OverQuota++
		after := v.RetryAfter
		if after == 0 {
			after = 100 * eventloop.Millisecond
		}
		// A limit delays a call that has begun; one of which nothing has gone out yet is refused as chat would be.
		if v.Reason == tenancy.PromptTooLarge || v.Reason == tenancy.NotServed || !c.begun() {
			c.parts.PartFailed(now, no, batch.Overloaded, after)
			x.loop.Defer(func() { c.refuse(v) })
			return
		}
		c.back(no, batch.Overloaded, after)
		return
	}
	x.lastGen++
	g := &gen{id: x.lastGen, ask: &chat.Request{Model: c.ask.Model, PromptTokens: tokens}, product: c.product, deadline: c.deadline, taken: now, clientID: c.clientID,
		ticket: t, seat: s, part: &part{call: c, no: no, inputs: inputs, sent: now}}
	t.Owner = g
	x.gens[g.id] = g
	c.out[no] = g
	if v.Admitted {
		x.batches.limiter.Acquire()
		g.State = lifecycle.Pending
		x.arrived(g)
		return
	}
	g.part.queued = true
	c.home.queued++
	x.wait(g)
}

// begun tells whether anything of the call has gone out.
func (c *batchCall) begun() bool {
	return len(c.out) > 0 || c.answer.Tokens > 0 || c.parts.Retries > 0 || c.parts.Splits > 0
}

// admitted: a part's turn at the gate has come.
func (p *part) admitted(now eventloop.Micros) {
	if p.queued {
		p.queued = false
		p.call.home.queued--
		p.call.x.batches.limiter.Acquire()
		p.sent = now
	}
}

// carryPart makes a part's leg.
func (x *Dispatcher) carryPart(g *gen, name string, w what, hear engine.Callbacks) {
	p := g.part
	c := p.call
	to, body := c.ask.BuildPart(p.inputs, c.dimensions)
	inputs := len(p.inputs)
	target := engine.Target{Endpoint: w.host, RequestID: name, ClientID: g.clientID, Timeout: w.allow}
	read := func(body []byte) engine.Result {
		r, err := c.ask.ReadPart(body, inputs, c.dimensions)
		if err != nil {
			return engine.Result{Outcome: scheduler.Errored, Reason: "an answer that is not what was asked for: " + err.Error()}
		}
		p.result = r
		return engine.Result{Outcome: scheduler.PrefillDone, Reason: "read"}
	}
	request := engine.PrefillOnlyRequest{Path: to, Body: body, MaxResponseBody: partAnswer, ReadResponse: read}
	g.leg = x.engine.PrefillOnly(target, request, hear)
}

// answered takes the final answer of a part's generation.
func (p *part) answered(g *gen, a lifecycle.Action, comeBack eventloop.Micros) {
	c := p.call
	x := c.x
	now := x.loop.Now()
	delete(c.out, p.no)
	if p.queued {
		p.queued = false
		c.home.queued--
	} else if c.ended || p.bad {
		x.batches.limiter.Cancelled()
	} else {
		x.batches.limiter.Completed(now, g.ask.PromptTokens, now-p.sent, a == lifecycle.AnswerCompleted)
	}
	if c.ended {
		x.loop.Defer(x.pump)
		return
	}
	if a != lifecycle.AnswerCompleted {
		why := batch.Overloaded
		switch {
		case p.bad:
			why = batch.InvalidInput
		case p.broken > 0:
			why = batch.EndpointFailed
		}
		c.back(p.no, why, comeBack)
		return
	}
	c.parts.PartCompleted(p.no)
	g.prompt = max(p.result.Tokens, 1)
	g.tokens = 0
	c.answer.Tokens += g.prompt
	for n, i := range p.inputs {
		if c.ask.Kind == embeddings.Rerank {
			c.answer.Scores[i] = p.result.Scores[n]
		} else {
			c.answer.Vectors[i] = p.result.Vectors[n]
			if c.cache != nil {
				c.cache.Put(c.ask.CacheKey(i, c.dimensions), p.result.Vectors[n])
			}
		}
	}
	inputs := p.inputs
	x.loop.Defer(func() { // never within the module's own call
		for _, i := range inputs {
			if problem := c.ask.DiscardInput(i); problem != nil {
				c.fail(problem)
				return
			}
		}
		x.pump()
		c.finished()
	})
}

// back takes a part that did not come back with its results.
func (c *batchCall) back(no batch.PartID, why batch.Failure, after eventloop.Micros) {
	x := c.x
	if c.parts.PartFailed(x.loop.Now(), no, why, after) == batch.Abandoned {
		x.loop.Defer(c.gaveUp)
		return
	}
	x.loop.Defer(func() {
		c.sleep()
		x.pump()
	})
}

// sleep sets the time at which the next part that waits may go.
func (c *batchCall) sleep() {
	if c.wake != nil {
		c.wake.Stop()
		c.wake = nil
	}
	if at, some := c.parts.NextRetryAt(); some && !c.ended {
		c.wake = c.x.loop.AfterFunc(max(at-c.x.loop.Now(), 0)+1, func() {
			c.parts.Ready(c.x.loop.Now())
			c.sleep()
			c.x.pump()
		})
	}
}

// finished answers, once all has come and all is back.
func (c *batchCall) finished() {
	if c.ended || !c.whole || c.parts.Pending() > 0 {
		return
	}
	c.answer.Request, c.answer.ID = c.ask, c.x.answerID(c.x.lastGen)
	c.x.Completed++
	c.meter(lifecycle.AnswerCompleted)
	c.end()
	c.to.Stream("application/json", c.answer.Next, "x-request-id", c.answer.ID)
}

// end: nothing more is sent, what is out is taken back, and the call is forgotten.
func (c *batchCall) end() {
	x := c.x
	c.ended = true
	c.ask.Close()
	if c.home == nil {
		return
	}
	c.parts.Cancel()
	for _, t := range []eventloop.Timer{c.limit, c.wake} {
		if t != nil {
			t.Stop()
		}
	}
	c.home.calls = slices.DeleteFunc(c.home.calls, func(o *batchCall) bool { return o == c })
	if len(c.home.calls) == 0 {
		x.batches.turns = slices.DeleteFunc(x.batches.turns, func(t *batcher) bool { return t == c.home })
	}
	x.batches.calls--
	x.batches.answers -= c.answers
	var out []batch.PartID
	for no := range c.out {
		out = append(out, no)
	}
	slices.Sort(out)
	for _, no := range out {
		if g := c.out[no]; g != nil {
			x.take(g, lifecycle.ClientDisconnected)
		}
	}
	x.loop.Defer(x.left)
}

func (c *batchCall) meter(final lifecycle.Action) {
	u := tenancy.Usage{Tenant: c.who.Tenant, Product: c.ask.Model, Day: tenancy.Day(c.x.loop.Now()), Accepted: 1}
	switch final {
	case lifecycle.AnswerCompleted:
		u.Completed = 1
	case lifecycle.AnswerRejected:
		u.Rejected = 1
	case lifecycle.AnswerFailed:
		u.Failed = 1
	default:
		u.Disconnected = 1
	}
	c.x.meter.Add(u)
}

// left: its client waits no more.
func (c *batchCall) left() {
	if c.ended {
		return
	}
	if c.x.Disconnected++; c.home != nil {
		c.meter(lifecycle.Forget)
	}
	c.end()
}

// fail answers a call whose body shows a problem after parts of it have gone out.
func (c *batchCall) fail(p *frontend.Problem) {
	if c.ended {
		return
	}
	c.x.Failed++
	c.meter(lifecycle.AnswerFailed)
	c.end()
	c.to.SendProblem(p)
}

// crowded: the answers of all calls together would take more memory than they may.
func (c *batchCall) crowded() {
	c.x.Rejected++
	c.meter(lifecycle.AnswerRejected)
	c.end()
	c.to.SendProblem(&frontend.Problem{Status: 429, Type: "rate_limit_error", Code: "throttled", Message: "The service is busy. Please try again."})
}

// late: its client's time is up.
func (c *batchCall) late() {
	if c.ended {
		return
	}
	c.terminate(fmt.Sprintf("The call was not complete within the client's time: %d parts are missing.", c.parts.Pending()), true)
}

// gaveUp: a part has failed for good.
func (c *batchCall) gaveUp() {
	if c.ended {
		return
	}
	if i := c.parts.FailedInput; i >= 0 {
		at := slices.Index(c.ask.Order, int32(i))
		name := "input"
		if c.ask.Kind == embeddings.Rerank {
			name = "documents"
		}
		c.fail(&frontend.Problem{Status: 422, Type: "invalid_request_error", Param: fmt.Sprintf("%s[%d]", name, at), Code: "input_not_served", NoRetry: true,
			Message: fmt.Sprintf("'%s[%d]' could not be read; the others could.", name, at)})
		return
	}
	c.terminate("Some of the call's inputs could not be read.", true)
}

func (c *batchCall) terminate(why string, again bool) {
	c.x.Failed++
	c.meter(lifecycle.AnswerFailed)
	c.end()
	if !c.to.Done() {
		c.to.Fail(again, why)
	}
}

// refuse answers a call of which nothing has gone out and that its tenant's limits don't let in.
func (c *batchCall) refuse(v tenancy.Decision) {
	if c.ended {
		return
	}
	if v.Reason == tenancy.PromptTooLarge {
		c.fail(&frontend.Problem{Status: 400, Type: "invalid_request_error", Param: "input", Code: "prompt_too_large",
			Message: "An input has more tokens than this account may ask for."})
		return
	}
	c.x.Rejected++
	c.meter(lifecycle.AnswerRejected)
	c.end()
	c.to.RejectOverQuota(v.Reason.String(), v.RetryAfter)
}
