package dispatch

import (
	"net/http"
	"slices"

	"plumspindle/internal/batch"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/embeddings"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/http1"
	"plumspindle/internal/vectors"
	"plumspindle/scheduler"
)

// batchGrace is how long before its client's deadline a call is given up that is not complete.
const batchGrace = 20 * eventloop.Millisecond

// batchCall is one client's call with many inputs.
type batchCall struct {
	dispatcher      *Dispatcher
	request         *embeddings.Request
	form            pb.Product_Form
	identity        frontend.Identity
	response        *frontend.Response
	clientRequestID string
	clientLimit     eventloop.Micros // that the client asked for; 0: none

	// From Begin on, when the product is known.
	class         scheduler.ClassID
	dimensions    int
	deadline      eventloop.Micros
	deadlineTimer eventloop.Timer
	cache         *vectors.Cache // nil: there is none
	tenantCalls   *tenantBatches // nil: the call has not begun

	parts            *batch.Call
	splitInputs      int // how many inputs are in parts or cached
	allInputsArrived bool
	inFlight         map[batch.PartID]*request
	retryTimer       eventloop.Timer
	answer           embeddings.Answer
	answerBytes      int // that the answer is going to have
	closed           bool
}

// batchRoute returns one of the APIs whose answers are complete with the prefill.
func (d *Dispatcher) batchRoute(kind embeddings.Kind, form pb.Product_Form) frontend.Route {
	settings := d.batches.limits
	limits := embeddings.Limits{
		MaxInputs:      int(settings.InputsMost),
		MaxInputTokens: int(settings.InputTokensMost),
		MaxBody:        int(settings.BodyMost),
		MaxBuffered:    int(settings.Window),
	}
	if kind == embeddings.Rerank {
		limits.MaxInputs = int(settings.DocumentsMost)
	}
	begin := func(
		head *http1.Head, identity frontend.Identity, response *frontend.Response,
	) (frontend.Sink, *frontend.Problem) {
		if problem := frontend.RequireJSON(head, "gzip", "zstd"); problem != nil {
			return nil, problem
		}
		limit, problem := readMilliseconds(head, timeLimitField, minTimeLimit)
		if problem != nil {
			return nil, problem
		}
		call := &batchCall{
			dispatcher:      d,
			form:            form,
			identity:        identity,
			response:        response,
			clientRequestID: head.Get(clientRequestIDField),
			clientLimit:     limit,
			inFlight:        map[batch.PartID]*request{},
		}
		call.request = embeddings.NewRequest(kind, head.Get("Content-Encoding"), limits, call, response)
		response.OnDisconnect = func() { d.loop.Defer(call.clientDisconnected) }
		return call.request, nil
	}
	return frontend.Route{
		Method:      http.MethodPost,
		MaxBody:     limits.MaxBody,
		MaxBuffered: limits.MaxBuffered,
		Begin:       begin,
	}
}

// Begin starts the call, once all is known that a part needs.
func (c *batchCall) Begin() *frontend.Problem {
	d := c.dispatcher
	class, problem := d.classFor(c.request.Model, c.form)
	if problem != nil {
		return problem
	}
	product := d.Deployment.Products[class]
	if problem := c.chooseDimensions(int(product.Dimensions)); problem != nil {
		return problem
	}
	slot := d.tenantSlots[c.identity.Tenant]
	if slot == nil || !c.identity.Active {
		return frontend.TenantSuspended()
	}
	if d.batches.openCalls >= int(d.Deployment.Doors.OpenMost) {
		d.Shed++
		return frontend.Overloaded()
	}
	timeout := milliseconds(product.TimeLimitMs)
	if c.clientLimit > 0 {
		timeout = min(timeout, c.clientLimit)
	}
	c.class, c.deadline = class, c.response.ReceivedAt()+timeout
	c.deadlineTimer = d.loop.AfterFunc(max(c.deadline-batchGrace-d.loop.Now(), 0), c.deadlineExceeded)
	c.parts = batch.NewCall(nil, batch.PartLimits{})
	if d.batches.limits.Cache > 0 && c.form == pb.Product_EMBEDDING {
		c.cache = d.batches.vectorCache(c.identity.Space, c.dimensions)
	}
	d.Accepted++
	c.tenantCalls = d.batches.callsOf(slot)
	d.batches.add(c)
	return nil
}

func (c *batchCall) chooseDimensions(available int) *frontend.Problem {
	c.dimensions = available
	if wanted := c.request.Dimensions; wanted > 0 {
		if wanted > available {
			return frontend.Invalid("dimensions", "integer_above_max_value", "The model has %d dimensions.", available)
		}
		c.dimensions = wanted
	}
	return nil
}

// InputsAdded takes further inputs, or the end of them.
func (c *batchCall) InputsAdded(last bool) *frontend.Problem {
	if c.closed {
		return nil
	}
	c.allInputsArrived = c.allInputsArrived || last
	if !c.growAnswer() {
		c.rejectForMemory()
		return nil
	}
	c.splitIntoParts()
	c.dispatcher.sendParts()
	c.finishIfDone()
	return nil
}

// growAnswer makes space in the answer for all inputs that have arrived, as far as the limit on all answers allows.
func (c *batchCall) growAnswer() bool {
	inputs, known := len(c.request.Inputs), len(c.answer.Vectors)
	b := &c.dispatcher.batches
	bytes := embeddings.VectorBytes(c.dimensions) * (inputs - known)
	if b.answerBytes+bytes > maxBatchAnswerBytes {
		return false
	}
	b.answerBytes += bytes
	c.answerBytes += bytes
	c.answer.Vectors = append(c.answer.Vectors, make([][]byte, inputs-known)...)
	c.answer.Scores = append(c.answer.Scores, make([]float64, inputs-len(c.answer.Scores))...)
	return true
}

// splitIntoParts makes parts of the inputs that are not in one yet, neighbours together. Inputs whose vectors are
// cached need none.
func (c *batchCall) splitIntoParts() {
	settings := c.dispatcher.batches.limits
	limits := batch.PartLimits{Tokens: int(settings.PartTokens), Inputs: int(settings.PartInputs)}
	inputs := len(c.request.Inputs)
	for c.splitInputs < inputs {
		first := c.splitInputs
		var tokens []int
		for c.splitInputs < inputs && !c.takeCached(c.splitInputs) {
			tokens = append(tokens, c.request.CountTokens([]int{c.splitInputs}))
			c.splitInputs++
		}
		c.parts.Add(first, tokens, limits)
		for c.splitInputs < inputs && c.takeCached(c.splitInputs) {
			c.splitInputs++
		}
	}
}

// takeCached takes an input's vector from the cache, if it is there.
func (c *batchCall) takeCached(input int) bool {
	if c.cache == nil {
		return false
	}
	if c.answer.Vectors[input] != nil {
		return true
	}
	vector, cached := c.cache.Get(c.request.CacheKey(input, c.dimensions))
	if cached {
		c.answer.Vectors[input] = slices.Clone(vector)
		// Discarding an input can read on in the body, and this is called while its inputs are split.
		c.dispatcher.loop.Defer(func() { c.discardInputs(input) })
	}
	return cached
}

// discardInputs frees the memory of inputs that are done with, which can make the body's next inputs arrive. It reports
// whether the body is still valid; if not, the call has failed.
func (c *batchCall) discardInputs(inputs ...int) bool {
	for _, input := range inputs {
		if problem := c.request.DiscardInput(input); problem != nil {
			c.failWith(problem)
			return false
		}
	}
	return true
}
