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

// batchGrace is the time before the client's deadline at which an incomplete call is given up.
const batchGrace = 20 * eventloop.Millisecond

// batchCall is one client's embeddings or rerank call. Its inputs are split into parts, which are sent as requests.
type batchCall struct {
	dispatcher      *Dispatcher
	request         *embeddings.Request
	form            pb.Product_Form
	identity        frontend.Identity
	response        *frontend.Response
	clientRequestID string
	clientLimit     eventloop.Micros // time limit from the client's header; 0: none

	// Set by Begin, when the product is known.
	class         scheduler.ClassID
	dimensions    int
	deadline      eventloop.Micros
	deadlineTimer eventloop.Timer
	cache         *vectors.Cache // nil: vectors are not cached
	tenantCalls   *tenantBatches // nil: the call has not begun

	parts            *batch.Call
	splitInputs      int // number of inputs that are in a part or were cached
	allInputsArrived bool
	inFlight         map[batch.PartID]*request
	retryTimer       eventloop.Timer
	answer           embeddings.Answer
	answerBytes      int // size that the complete answer will have
	closed           bool
}

// batchRoute returns the route of an API whose answers need a prefill only.
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
		limit, problem := readMilliseconds(head, timeLimitField, minTimeLimitMs)
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

// Begin starts the call. The embeddings.Request calls Begin once it has read enough of the body to send parts.
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
		c.cache = d.batches.vectorCache(c.identity.Namespace, c.dimensions)
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

// InputsAdded handles further inputs of the call; last is true once the call has all of its inputs.
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

// growAnswer makes space in the answer for all inputs that have arrived. It returns false if the answers of all calls
// would then exceed their limit.
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

// splitIntoParts splits the new inputs into parts of neighbouring inputs. Inputs whose vectors are cached need no part.
func (c *batchCall) splitIntoParts() {
	settings := c.dispatcher.batches.limits
	limits := batch.PartLimits{Tokens: int(settings.PartTokens), Inputs: int(settings.PartInputs)}
	inputs := len(c.request.Inputs)
	for c.splitInputs < inputs {
		first := c.splitInputs
		var tokens []int
		for c.splitInputs < inputs && !c.useCachedVector(c.splitInputs) {
			tokens = append(tokens, c.request.EstimateTokens([]int{c.splitInputs}))
			c.splitInputs++
		}
		c.parts.AddInputs(first, tokens, limits)
		for c.splitInputs < inputs && c.useCachedVector(c.splitInputs) {
			c.splitInputs++
		}
	}
}

// useCachedVector copies an input's vector from the cache into the answer, and reports whether the vector was cached.
func (c *batchCall) useCachedVector(input int) bool {
	if c.cache == nil {
		return false
	}
	if c.answer.Vectors[input] != nil {
		return true
	}
	vector, cached := c.cache.Get(c.request.CacheKey(input, c.dimensions))
	if cached {
		c.answer.Vectors[input] = slices.Clone(vector)
		// Discarding an input can add further inputs from the body, which must not happen while splitIntoParts runs.
		c.dispatcher.loop.Defer(func() { c.discardInputs(input) })
	}
	return cached
}

// discardInputs frees the memory of inputs whose results are known. That can make space for further inputs from the
// body. If one of these further inputs is invalid, discardInputs fails the call and returns false.
func (c *batchCall) discardInputs(inputs ...int) bool {
	for _, input := range inputs {
		if problem := c.request.DiscardInput(input); problem != nil {
			c.failWith(problem)
			return false
		}
	}
	return true
}
