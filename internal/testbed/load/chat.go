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
	lastEvent    = "[DONE]"
)

// errNoLastEvent is a stream that ended without its last event.
var errNoLastEvent = errors.New("a stream without its last event")

// chatBody is the body of a chat request, its fields in the order of their names.
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

// chatRequest is one chat request, over all its attempts.
type chatRequest struct {
	generator  *Generator
	session    *session
	id         string
	since      eventloop.Micros
	timeLimit  eventloop.Micros // in all
	maxTokens  int
	unstreamed bool
	attempts   int
}

// chatAttempt is one attempt of a chat request.
type chatAttempt struct {
	attempt
	chat       *chatRequest
	events     sse.Parser
	firstToken eventloop.Micros // 0: none has come
	lastToken  eventloop.Micros
}

// try makes the next attempt, if there is time and a dispatcher for it.
func (r *chatRequest) try() {
	generator, product := r.generator, r.session.product
	left := r.since + r.timeLimit - generator.loop.Now()
	near := generator.targetsNear(r.session.zone)
	if left < minAttemptTime || len(near) == 0 {
		r.over(record.Unserved, 0, 0)
		return
	}
	r.attempts++
	patience := generator.MinPatience + (1-generator.MinPatience)*generator.random.Float64()
	limit := eventloop.Micros(float64(left) * patience)
	target := near[generator.random.Intn(len(near))]
	c := call{path: modelserver.ChatPath, body: r.body()}
	if generator.Keyed && product.Effect != pb.Product_IDEMPOTENT {
		// A dispatcher knows only its own keys.
		target = generator.Targets[int(xxhash.Sum64String(r.id)%uint64(len(generator.Targets)))]
		c.idempotencyKey = r.id
	}
	next := &chatAttempt{chat: r, events: sse.Parser{MaxEventBytes: maxEventSize}}
	next.attempt = attempt{
		generator: generator,
		request:   r.id,
		number:    r.attempts,
		product:   product.Name,
		tenant:    r.session.tenant,
		timeLimit: limit,
		onTimeout: next.timeOut,
		onOver:    next.over,
	}
	next.send(target, c, next)
}

func (r *chatRequest) body() []byte {
	body := chatBody{MaxTokens: r.maxTokens, Messages: r.session.messages, Model: r.session.product.Name}
	if !r.unstreamed {
		body.Stream, body.StreamOptions = true, &streamOptions{IncludeUsage: true}
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings and numbers always have a JSON form
	}
	return text
}

// over ends the request for its client. firstToken is the time to it, pace that between two tokens.
func (r *chatRequest) over(outcome string, firstToken, pace eventloop.Micros) {
	generator, dialogue := r.generator, r.session
	generator.Open--
	event := record.Event{At: int64(generator.loop.Now()), Type: record.RequestOver, Request: r.id, Detail: outcome,
		Product: dialogue.product.Name, Tenant: generator.deployment.Tenants[dialogue.tenant].Name, Count: int64(firstToken),
		ClientAttempt: r.attempts}
	event.Exact = outcome == record.Completed && firstToken <= r.firstTokenSLO() &&
		pace <= eventloop.Micros(dialogue.product.TokenSloMs)*eventloop.Millisecond
	generator.recorder.Add(event)
	if outcome == record.Completed && dialogue.turns > 1 {
		dialogue.turns--
		dialogue.messages = append(dialogue.messages, message{Role: roleAssistant, Content: assistantText})
		generator.sessions[dialogue.tenant] = append(generator.sessions[dialogue.tenant], dialogue)
	}
}

// firstTokenSLO returns the latency objective for the first token, which grows with the prompt.
func (r *chatRequest) firstTokenSLO() eventloop.Micros {
	product, promptTokens := r.session.product, 0
	for _, m := range r.session.messages {
		promptTokens += len(m.Content) / charactersPerToken
	}
	return eventloop.Micros(product.SloMs)*eventloop.Millisecond +
		eventloop.Micros(float64(product.SloMsPer_1000Tokens)*float64(promptTokens))
}

// timeOut gives up on an answer of which nothing has come, or that is to come in one piece.
func (a *chatAttempt) timeOut() {
	if a.firstToken == 0 || a.chat.unstreamed {
		a.giveUp()
	}
}

// Body parses a stream, or collects an answer in one piece.
func (a *chatAttempt) Body(data []byte) error {
	if a.head.Status == http.StatusOK && strings.HasPrefix(a.head.Get("Content-Type"), "text/event-stream") {
		return a.events.Feed(data, a.event)
	}
	return a.attempt.Body(data)
}

// event takes an event of a stream and checks its token.
func (a *chatAttempt) event(data []byte) error {
	switch {
	case a.ended:
		a.record(record.BytesAfterFinal, "event")
	case string(data) == lastEvent:
		a.exact = a.exact && a.tokens == modelserver.AnswerLength(a.request, a.chat.maxTokens)
		a.finish(record.Completed)
	case gjson.GetBytes(data, "error").Exists():
		a.finish(record.Failed)
	default:
		if token := gjson.GetBytes(data, "choices.0.delta.content"); token.Exists() {
			a.takeToken(token.String())
		}
	}
	return nil
}

func (a *chatAttempt) takeToken(text string) {
	now := a.generator.loop.Now()
	if a.tokens == 0 {
		a.exact, a.firstToken = true, now
	}
	if text != modelserver.TokenText(a.request, a.tokens) {
		a.exact = false
	}
	a.tokens++
	a.lastToken = now
}

// End takes the end of the HTTP message.
func (a *chatAttempt) End() error {
	a.complete = true
	if a.ended {
		return nil
	}
	status := a.head.Status
	switch {
	case status == http.StatusOK && a.chat.unstreamed:
		a.takeWholeAnswer()
		a.finish(record.Completed)
	case status == http.StatusTooManyRequests:
		a.finish(record.Rejected)
	case status == http.StatusConflict && a.errorCode() == "already_ran":
		a.finish(record.Failed)
	case status >= http.StatusInternalServerError && gjson.GetBytes(a.body, "error.message").Exists():
		a.finish(record.Failed)
	case status == http.StatusOK:
		return errNoLastEvent
	default:
		return a.unexpectedStatus()
	}
	return nil
}

// takeWholeAnswer checks an answer in one piece.
func (a *chatAttempt) takeWholeAnswer() {
	var want strings.Builder
	tokens := modelserver.AnswerLength(a.request, a.chat.maxTokens)
	for i := range tokens {
		want.WriteString(modelserver.TokenText(a.request, i))
	}
	a.tokens, a.firstToken = tokens, a.generator.loop.Now()
	a.lastToken = a.firstToken
	a.exact = gjson.GetBytes(a.body, "choices.0.message.content").String() == want.String() &&
		gjson.GetBytes(a.body, "usage.completion_tokens").Int() == int64(tokens)
}

// over ends the request, or retries it where that is harmless.
func (a *chatAttempt) over(outcome string) {
	request, generator := a.chat, a.generator
	if outcome == record.Completed {
		firstToken, pace := a.latency()
		request.over(record.Completed, firstToken, pace)
		return
	}
	harmless := outcome == record.Rejected || outcome == record.Unreached ||
		request.session.product.Effect == pb.Product_IDEMPOTENT || generator.Keyed && outcome == record.Broken
	if !harmless || request.attempts >= maxAttempts {
		request.over(outcome, 0, 0)
		return
	}
	delay := retryDelay + eventloop.Micros(generator.random.Int63n(int64(retryDelaySpread)))
	generator.loop.AfterFunc(a.retryAfter(delay), request.try)
}

// latency returns the time to the first token since the request began, and the time between two tokens.
func (a *chatAttempt) latency() (firstToken, pace eventloop.Micros) {
	r := a.chat
	firstToken = a.firstToken - r.since
	if r.unstreamed {
		// What an answer in one piece took before its first token isn't seen; the rest is taken off at the stated pace.
		statedPace := eventloop.Micros(r.session.product.TokenSloMs) * eventloop.Millisecond
		return max(firstToken-eventloop.Micros(a.tokens)*statedPace, 1), 0
	}
	if a.tokens > 1 {
		pace = (a.lastToken - a.firstToken) / eventloop.Micros(a.tokens-1)
	}
	return firstToken, pace
}
