package load

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/record"
)

const (
	rerankQuery      = "why?"
	maxBatchAttempts = 2 * maxAttempts
)

// BatchClients are closed-loop clients of the embeddings or rerank API. They keep Concurrency calls in flight: each
// starts its next call once the previous one has finished.
type BatchClients struct {
	Generator      *Generator
	Product        *pb.Product
	Tenant         int
	Concurrency    int // calls in flight at once
	InputsPerCall  int
	TokensPerInput int // approximate tokens of each input
	MaxCalls       int // 0: calls are started until Stop

	OpenCalls      int
	CallsStarted   int
	InputsAnswered int            // inputs of completed calls, those with a wrong answer included
	TokensAnswered int            // input tokens of completed calls, by TokensPerInput
	WrongAnswers   int            // calls whose answer does not match their inputs
	Outcomes       map[string]int // finished calls by outcome

	stopped bool
	filler  string // random text that pads each input to its length
}

// Run starts the first calls.
func (b *BatchClients) Run() {
	b.Outcomes = map[string]int{}
	b.filler = b.Generator.randomText(b.TokensPerInput)
	for range b.Concurrency {
		b.startNext()
	}
}

// Stop lets no further call start; calls in flight continue.
func (b *BatchClients) Stop() { b.stopped = true }

// startNext starts a call, unless Stop was called or all calls have been started.
func (b *BatchClients) startNext() {
	if b.stopped || b.MaxCalls > 0 && b.CallsStarted >= b.MaxCalls {
		return
	}
	b.CallsStarted++
	b.OpenCalls++
	c := &batchCall{
		clients:   b,
		id:        fmt.Sprintf("b%s%d", b.Product.Name, b.CallsStarted),
		startedAt: b.Generator.loop.Now(),
	}
	filler := b.filler[:max(charactersPerToken*b.TokensPerInput-len(c.id)-8, 1)]
	for i := range b.InputsPerCall {
		c.inputs = append(c.inputs, strconv.Quote(fmt.Sprintf("%s %d %s", c.id, i, filler)))
	}
	c.startAttempt()
}

// batchCall is one call of a client, which may take several attempts.
type batchCall struct {
	clients   *BatchClients
	id        string
	inputs    []string // JSON-encoded
	startedAt eventloop.Micros
	attempts  int
}

// batchAttempt is one attempt of a batch call.
type batchAttempt struct {
	attempt
	call *batchCall
}

// startAttempt starts the next attempt. If too little time is left, no dispatcher is alive or the attempts are used up,
// the call ends with the outcome NotAttempted.
func (c *batchCall) startAttempt() {
	clients := c.clients
	generator := clients.Generator
	timeLeft := c.startedAt + timeLimit(clients.Product) - generator.loop.Now()
	targets := generator.aliveTargets("")
	if timeLeft < minAttemptTime || len(targets) == 0 || c.attempts >= maxBatchAttempts {
		c.finish(record.NotAttempted)
		return
	}
	c.attempts++
	target := targets[generator.random.Intn(len(targets))]
	next := &batchAttempt{call: c}
	next.attempt = attempt{
		generator:  generator,
		request:    c.id,
		number:     c.attempts,
		product:    clients.Product.Name,
		tenant:     clients.Tenant,
		timeLimit:  timeLeft,
		onTimeout:  next.giveUp,
		onFinished: next.handleOutcome,
	}
	next.send(target, c.postRequest(), next)
}

// postRequest returns the HTTP request of the call. The request is the same for each attempt.
func (c *batchCall) postRequest() postRequest {
	model, inputs := c.clients.Product.Name, strings.Join(c.inputs, ",")
	if c.isRerank() {
		body := `{"model":"` + model + `","query":"` + rerankQuery + `","documents":[` + inputs + `]}`
		return postRequest{path: modelserver.RerankPath, body: []byte(body)}
	}
	body := `{"model":"` + model + `","encoding_format":"base64","input":[` + inputs + `]}`
	return postRequest{path: modelserver.EmbeddingsPath, body: []byte(body)}
}

func (c *batchCall) isRerank() bool { return c.clients.Product.Form == pb.Product_RERANK }

// finish records the call's outcome and lets its client start the next call.
func (c *batchCall) finish(outcome string) {
	clients := c.clients
	generator := clients.Generator
	clients.OpenCalls--
	clients.Outcomes[outcome]++
	if outcome == record.Completed {
		clients.InputsAnswered += len(c.inputs)
		clients.TokensAnswered += len(c.inputs) * clients.TokensPerInput
	}
	generator.recorder.Add(record.Event{At: int64(generator.loop.Now()), Type: record.RequestFinished, Request: c.id,
		Detail:  outcome,
		Product: clients.Product.Name, Tenant: generator.deployment.Tenants[clients.Tenant].Name,
		Count:         int64(generator.loop.Now() - c.startedAt),
		ClientAttempt: c.attempts, Exact: outcome == record.Completed})
	generator.loop.Defer(clients.startNext)
}

// End checks a complete response and finishes the attempt.
func (a *batchAttempt) End() error {
	a.messageEnded = true
	if a.finished {
		return nil
	}
	status := a.head.Status
	switch {
	case status == http.StatusOK:
		a.invalidReason = a.call.check(a.body)
		if a.invalidReason != "" {
			a.call.clients.WrongAnswers++
		}
		a.exact = a.invalidReason == ""
		a.finish(record.Completed)
	case status == http.StatusTooManyRequests:
		a.finish(record.Rejected)
	case status >= http.StatusInternalServerError, status == http.StatusUnprocessableEntity:
		a.finish(record.Failed)
	default:
		return a.unexpectedStatus()
	}
	return nil
}

// handleOutcome finishes a completed call. It retries any other call, because batch calls are idempotent.
func (a *batchAttempt) handleOutcome(outcome string) {
	if outcome == record.Completed {
		a.call.finish(outcome)
		return
	}
	a.generator.loop.AfterFunc(a.retryAfter(retryDelay), a.call.startAttempt)
}

// check compares a response body with the vector or score expected for each input, and returns the first mismatch.
func (c *batchCall) check(body []byte) (wrong string) {
	if c.isRerank() {
		return c.checkScores(body)
	}
	return c.checkVectors(body)
}

// checkScores checks that each document occurs once, with its expected score, in descending order of the scores.
func (c *batchCall) checkScores(body []byte) (wrong string) {
	previous, seen := 2.0, map[int]bool{} // previous starts above every score
	gjson.GetBytes(body, "results").ForEach(func(_, result gjson.Result) bool {
		i, score := int(result.Get("index").Int()), result.Get("relevance_score").Num
		if i < 0 || i >= len(c.inputs) || seen[i] || score > previous ||
			score != modelserver.Score(rerankQuery, c.inputs[i]) {
			wrong = fmt.Sprintf("document %d, score %v after %v", i, score, previous)
			return false
		}
		seen[i], previous = true, score
		return true
	})
	if wrong == "" && len(seen) != len(c.inputs) {
		wrong = fmt.Sprintf("%d documents of %d", len(seen), len(c.inputs))
	}
	return wrong
}

// checkVectors checks that each input has its expected vector, in the order of the inputs.
func (c *batchCall) checkVectors(body []byte) (wrong string) {
	count, dimensions := 0, int(c.clients.Product.Dimensions)
	gjson.GetBytes(body, "data").ForEach(func(_, vector gjson.Result) bool {
		if count >= len(c.inputs) || vector.Get("index").Int() != int64(count) || vector.Get("embedding").Str !=
			base64.StdEncoding.EncodeToString(modelserver.Vector(c.inputs[count], dimensions)) {
			wrong = fmt.Sprintf("vector %d is not its input's", count)
			return false
		}
		count++
		return true
	})
	if wrong == "" && count != len(c.inputs) {
		wrong = fmt.Sprintf("%d vectors of %d", count, len(c.inputs))
	}
	return wrong
}
