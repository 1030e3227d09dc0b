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

// BatchClients are clients that call for embeddings or rerankings, Concurrency calls at once; each call is followed by
// the next once it has its answer.
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
	InputsRead int // that came back, each at its place
	TokensRead int
	Wrong      int // calls with an answer that is not that of their inputs
	Outcomes   map[string]int

	stopped bool
	filler  string // of inputs
}

// Run begins the calls.
func (b *BatchClients) Run() {
	b.Outcomes = map[string]int{}
	b.filler = b.Generator.words(b.Tokens)
	for range b.Concurrency {
		b.next()
	}
}

// Stop begins no more calls.
func (b *BatchClients) Stop() { b.stopped = true }

func (b *BatchClients) next() {
	if b.stopped || b.Calls > 0 && b.Started >= b.Calls {
		return
	}
	b.Started++
	b.Open++
	c := &batchCall{clients: b, id: fmt.Sprintf("b%s%d", b.Product.Name, b.Started), since: b.Generator.loop.Now()}
	filler := b.filler[:max(charactersPerToken*b.Tokens-len(c.id)-8, 1)]
	for i := range b.Inputs {
		c.inputs = append(c.inputs, strconv.Quote(fmt.Sprintf("%s %d %s", c.id, i, filler)))
	}
	c.try()
}

// batchCall is one call, over all its attempts.
type batchCall struct {
	clients  *BatchClients
	id       string
	inputs   []string // as JSON
	since    eventloop.Micros
	attempts int
}

// batchAttempt is one attempt of a call.
type batchAttempt struct {
	attempt
	batch *batchCall
}

// try makes the next attempt, if there is time and a dispatcher for it.
func (c *batchCall) try() {
	clients := c.clients
	generator := clients.Generator
	left := c.since + timeLimit(clients.Product) - generator.loop.Now()
	targets := generator.targetsNear("")
	if left < minAttemptTime || len(targets) == 0 || c.attempts >= maxBatchAttempts {
		c.over(record.Unserved)
		return
	}
	c.attempts++
	target := targets[generator.random.Intn(len(targets))]
	next := &batchAttempt{batch: c}
	next.attempt = attempt{
		generator: generator,
		request:   c.id,
		number:    c.attempts,
		product:   clients.Product.Name,
		tenant:    clients.Tenant,
		timeLimit: left,
		onTimeout: next.giveUp,
		onOver:    next.over,
	}
	next.send(target, c.call(), next)
}

func (c *batchCall) call() call {
	model, inputs := c.clients.Product.Name, strings.Join(c.inputs, ",")
	if c.isRerank() {
		body := `{"model":"` + model + `","query":"` + rerankQuery + `","documents":[` + inputs + `]}`
		return call{path: modelserver.RerankPath, body: []byte(body)}
	}
	body := `{"model":"` + model + `","encoding_format":"base64","input":[` + inputs + `]}`
	return call{path: modelserver.EmbeddingsPath, body: []byte(body)}
}

func (c *batchCall) isRerank() bool { return c.clients.Product.Form == pb.Product_RERANK }

// over ends the call for its client, which then begins the next.
func (c *batchCall) over(outcome string) {
	clients := c.clients
	generator := clients.Generator
	clients.Open--
	clients.Outcomes[outcome]++
	if outcome == record.Completed {
		clients.InputsRead += len(c.inputs)
		clients.TokensRead += len(c.inputs) * clients.Tokens
	}
	generator.recorder.Add(record.Event{At: int64(generator.loop.Now()), Type: record.RequestOver, Request: c.id,
		Detail:  outcome,
		Product: clients.Product.Name, Tenant: generator.deployment.Tenants[clients.Tenant].Name,
		Count:         int64(generator.loop.Now() - c.since),
		ClientAttempt: c.attempts, Exact: outcome == record.Completed})
	generator.loop.Defer(clients.next)
}

// End takes the end of the HTTP message.
func (a *batchAttempt) End() error {
	a.complete = true
	if a.ended {
		return nil
	}
	status := a.head.Status
	switch {
	case status == http.StatusOK:
		a.failure = a.batch.check(a.body)
		if a.failure != "" {
			a.batch.clients.Wrong++
		}
		a.exact = a.failure == ""
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

// over ends the call, or retries it, which is always harmless.
func (a *batchAttempt) over(outcome string) {
	if outcome == record.Completed {
		a.batch.over(outcome)
		return
	}
	a.generator.loop.AfterFunc(a.retryAfter(retryDelay), a.batch.try)
}

// check compares an answer with what each input's vector, or score, has to be, and says what is wrong.
func (c *batchCall) check(body []byte) (wrong string) {
	if c.isRerank() {
		return c.checkScores(body)
	}
	return c.checkVectors(body)
}

func (c *batchCall) checkScores(body []byte) (wrong string) {
	previous, seen := 2.0, map[int]bool{} // all scores are below 2
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
