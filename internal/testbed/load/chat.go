package load

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/sse"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/record"
)

const (
	maxEventSize = 1 << 20
	doneEvent    = "[DONE]"
)

// errNoDoneEvent is the error of a streamed answer that ended without the [DONE] event.
var errNoDoneEvent = errors.New("a stream without its last event")

// chatBody is the JSON body of a chat request. Its fields are in alphabetical order.
type chatBody struct {
	MaxTokens     int            `json:"max_tokens"`
	Messages      []message      `json:"messages"`
	Model         string         `json:"model"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatRequest is one chat request of a client, which may take several attempts.
type chatRequest struct {
	generator    *Generator
	session      *session
	id           string
	startedAt    eventloop.Micros
	timeLimit    eventloop.Micros // for all attempts together
	maxTokens    int
	nonStreaming bool
	attempts     int
}

// chatAttempt is one attempt of a chat request.
type chatAttempt struct {
	attempt
	chat         *chatRequest
	events       sse.Parser
	firstTokenAt eventloop.Micros // 0: no token has arrived
	lastTokenAt  eventloop.Micros
}

// startAttempt starts the next attempt. If too little time is left or no dispatcher is alive, the request ends with the
// outcome NotAttempted.
func (r *chatRequest) startAttempt() {
	generator, product := r.generator, r.session.product
	timeLeft := r.startedAt + r.timeLimit - generator.loop.Now()
	targets := generator.aliveTargets(r.session.zone)
	if timeLeft < minAttemptTime || len(targets) == 0 {
		r.finish(record.NotAttempted, 0, 0)
		return
	}
	r.attempts++
	limitShare := generator.MinTimeLimitShare + (1-generator.MinTimeLimitShare)*generator.random.Float64()
	limit := eventloop.Micros(float64(timeLeft) * limitShare)
	target := targets[generator.random.Intn(len(targets))]
	request := postRequest{path: modelserver.ChatPath, body: r.body()}
	if generator.UseIdempotencyKeys && product.Effect != pb.Product_IDEMPOTENT {
		// All attempts go to the same dispatcher, as dispatchers do not share their idempotency keys.
		target = generator.Targets[int(xxhash.Sum64String(r.id)%uint64(len(generator.Targets)))]
		request.idempotencyKey = r.id
	}
	next := &chatAttempt{chat: r, events: sse.Parser{MaxEventBytes: maxEventSize}}
	next.attempt = attempt{
		generator:  generator,
		request:    r.id,
		number:     r.attempts,
		product:    product.Name,
		tenant:     r.session.tenant,
		timeLimit:  limit,
		onTimeout:  next.handleTimeout,
		onFinished: next.handleOutcome,
	}
	next.send(target, request, next)
}

// body returns the JSON body of the request.
func (r *chatRequest) body() []byte {
	body := chatBody{MaxTokens: r.maxTokens, Messages: r.session.messages, Model: r.session.product.Name}
	if !r.nonStreaming {
		body.Stream, body.StreamOptions = true, &streamOptions{IncludeUsage: true}
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // can't happen: strings and numbers can always be encoded
	}
	return text
}

// finish records the request's outcome. If the request was completed and its session has a turn left, the session
// becomes available for that turn. firstToken is the time to the first token, tokenInterval the mean time between
// tokens.
func (r *chatRequest) finish(outcome string, firstToken, tokenInterval eventloop.Micros) {
	generator, session := r.generator, r.session
	generator.OpenRequests--
	event := record.Event{At: int64(generator.loop.Now()), Type: record.RequestFinished, Request: r.id, Detail: outcome,
		Product: session.product.Name, Tenant: generator.deployment.Tenants[session.tenant].Name, Count: int64(firstToken),
		ClientAttempt: r.attempts}
	event.Exact = outcome == record.Completed && firstToken <= r.firstTokenSLO() &&
		tokenInterval <= eventloop.Micros(session.product.TokenSloMs)*eventloop.Millisecond
	generator.recorder.Add(event)
	if outcome == record.Completed && session.turnsLeft > 1 {
		session.turnsLeft--
		session.messages = append(session.messages, message{Role: roleAssistant, Content: assistantText})
		generator.waitingSessions[session.tenant] = append(generator.waitingSessions[session.tenant], session)
	}
}

// firstTokenSLO returns the latency objective for the first token, which grows linearly with the prompt. The growth
// needs no conversion of units, because milliseconds per 1000 tokens are microseconds per token.
func (r *chatRequest) firstTokenSLO() eventloop.Micros {
	product, promptTokens := r.session.product, 0
	for _, m := range r.session.messages {
		promptTokens += len(m.Content) / charactersPerToken
	}
	return eventloop.Micros(product.SloMs)*eventloop.Millisecond +
		eventloop.Micros(float64(product.SloMsPer_1000Tokens)*float64(promptTokens))
}

// handleTimeout gives up at the time limit if no token has arrived or the answer is not streamed. A stream that has
// begun may continue.
func (a *chatAttempt) handleTimeout() {
	if a.firstTokenAt == 0 || a.chat.nonStreaming {
		a.giveUp()
	}
}

// Body parses the events of a streamed answer, or collects any other response.
func (a *chatAttempt) Body(data []byte) error {
	if a.head.Status == http.StatusOK && strings.HasPrefix(a.head.Get("Content-Type"), "text/event-stream") {
		return a.events.Feed(data, a.handleEvent)
	}
	return a.attempt.Body(data)
}

// handleEvent handles one server-sent event of a streamed answer and checks its token.
func (a *chatAttempt) handleEvent(data []byte) error {
	switch {
	case a.finished:
		a.record(record.BytesAfterFinal, "event")
	case string(data) == doneEvent:
		a.exact = a.exact && a.tokens == modelserver.AnswerLength(a.request, a.chat.maxTokens)
		a.finish(record.Completed)
	case gjson.GetBytes(data, "error").Exists():
		a.finish(record.Failed)
	default:
		if token := gjson.GetBytes(data, "choices.0.delta.content"); token.Exists() {
			a.checkToken(token.String())
		}
	}
	return nil
}

// checkToken counts a received token and compares it with the expected one.
func (a *chatAttempt) checkToken(text string) {
	now := a.generator.loop.Now()
	if a.tokens == 0 {
		a.exact, a.firstTokenAt = true, now
	}
	if text != modelserver.TokenText(a.request, a.tokens) {
		a.exact = false
	}
	a.tokens++
	a.lastTokenAt = now
}

// End finishes the attempt at the end of a response, unless the [DONE] event or an error event already did.
func (a *chatAttempt) End() error {
	a.messageEnded = true
	if a.finished {
		return nil
	}
	status := a.head.Status
	switch {
	case status == http.StatusOK && a.chat.nonStreaming:
		a.checkWholeAnswer()
		a.finish(record.Completed)
	case status == http.StatusTooManyRequests:
		a.finish(record.Rejected)
	case status == http.StatusConflict && a.errorCode() == "already_ran":
		a.finish(record.Failed)
	case status >= http.StatusInternalServerError && gjson.GetBytes(a.body, "error.message").Exists():
		a.finish(record.Failed)
	case status == http.StatusOK:
		return errNoDoneEvent
	default:
		return a.unexpectedStatus()
	}
	return nil
}

// checkWholeAnswer checks the content and usage of an answer that is not streamed.
func (a *chatAttempt) checkWholeAnswer() {
	var want strings.Builder
	tokens := modelserver.AnswerLength(a.request, a.chat.maxTokens)
	for i := range tokens {
		want.WriteString(modelserver.TokenText(a.request, i))
	}
	a.tokens, a.firstTokenAt = tokens, a.generator.loop.Now()
	a.lastTokenAt = a.firstTokenAt
	a.exact = gjson.GetBytes(a.body, "choices.0.message.content").String() == want.String() &&
		gjson.GetBytes(a.body, "usage.completion_tokens").Int() == int64(tokens)
}

// handleOutcome finishes the request, or retries it where that is safe: after an attempt that was rejected or did not
// reach a dispatcher, where the product is idempotent, and after a broken connection if an idempotency key was sent.
func (a *chatAttempt) handleOutcome(outcome string) {
	request, generator := a.chat, a.generator
	if outcome == record.Completed {
		firstToken, tokenInterval := a.latency()
		request.finish(record.Completed, firstToken, tokenInterval)
		return
	}
	safeToRetry := outcome == record.Rejected || outcome == record.ConnectFailed ||
		request.session.product.Effect == pb.Product_IDEMPOTENT || generator.UseIdempotencyKeys && outcome == record.Broken
	if !safeToRetry || request.attempts >= maxAttempts {
		request.finish(outcome, 0, 0)
		return
	}
	delay := retryDelay + eventloop.Micros(generator.random.Int63n(int64(retryDelaySpread)))
	generator.loop.AfterFunc(a.retryAfter(delay), request.startAttempt)
}

// latency returns the time from the start of the request to the first token, and the mean time between tokens.
func (a *chatAttempt) latency() (firstToken, tokenInterval eventloop.Micros) {
	r := a.chat
	firstToken = a.firstTokenAt - r.startedAt
	if r.nonStreaming {
		// The client can't see when the first token of an answer that is not streamed was generated. The time to the first
		// token is estimated by subtracting the token SLO for each token.
		tokenSLO := eventloop.Micros(r.session.product.TokenSloMs) * eventloop.Millisecond
		return max(firstToken-eventloop.Micros(a.tokens)*tokenSLO, 1), 0
	}
	if a.tokens > 1 {
		tokenInterval = (a.lastTokenAt - a.firstTokenAt) / eventloop.Micros(a.tokens-1)
	}
	return firstToken, tokenInterval
}
