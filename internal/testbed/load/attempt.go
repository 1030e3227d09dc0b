package load

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/tidwall/gjson"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/testbed/record"
)

const (
	maxAttempts      = 3                          // of a chat request
	minAttemptTime   = 50 * eventloop.Millisecond // below which no further attempt is made
	connectTimeout   = 300 * eventloop.Millisecond
	retryDelay       = 100 * eventloop.Millisecond // where no header says another
	retryDelaySpread = 200 * eventloop.Millisecond
)

// attempt is what one attempt of a chat request and of a batch call have in common: its connection, its time limit and
// its events in the record.
type attempt struct {
	generator  *Generator
	request    string // the client's id
	number     int    // from 1
	dispatcher string // its name
	product    string
	tenant     int
	timeLimit  eventloop.Micros

	answer    http1.Handler
	onTimeout func() // at the time limit, unless the attempt has ended
	onOver    func(outcome string)

	conn     eventloop.Conn
	data     []byte // of the request
	timer    eventloop.Timer
	parser   http1.Parser
	head     *http1.Head
	body     []byte
	sent     bool
	ended    bool   // the final answer is here
	complete bool   // the HTTP message has ended
	exact    bool   // the answer is what the endpoints gave
	tokens   int    // of the answer
	failure  string // why the answer is no good
	cause    string // of the connection's end, where it brought no final answer
}

// call is an HTTP request of a client.
type call struct {
	path           string
	body           []byte
	idempotencyKey string // empty: none
}

// send sends the attempt to a target.
func (a *attempt) send(target *Target, c call, answer http1.Handler) {
	a.dispatcher, a.answer = target.Name, answer
	a.parser = http1.Parser{Response: true, Limits: http1.DefaultLimits}
	a.data = http1.AppendRequest(nil, http1.Request{
		Method: http.MethodPost, Target: c.path, Host: target.Addr, Body: c.body,
	}, "Content-Type", "application/json",
		"Authorization", "Bearer "+a.generator.Keys[a.tenant], "x-client-request-id", a.request,
		"x-time-limit-ms", strconv.FormatInt(int64(a.timeLimit/eventloop.Millisecond), 10), "Connection", "close",
		"Idempotency-Key", c.idempotencyKey) // a field without a value is left out
	a.conn = a.generator.loop.Dial(target.Addr, connectTimeout, a)
}

func (a *attempt) record(eventType record.EventType, detail string) {
	g := a.generator
	g.recorder.Add(record.Event{At: int64(g.loop.Now()), Type: eventType, Request: a.request, ClientAttempt: a.number,
		Dispatcher: a.dispatcher, Product: a.product, Tenant: g.deployment.Tenants[a.tenant].Name, Detail: detail,
		Count: int64(a.tokens), Exact: a.exact, Value: float64(a.timeLimit), Kind: a.cause})
}

// Opened sends the request.
func (a *attempt) Opened() {
	a.sent = true
	a.record(record.RequestSent, "")
	a.conn.Write(a.data)
	a.data = nil
	a.timer = a.generator.loop.AfterFunc(a.timeLimit, a.onTimeout)
}

// giveUp ends the attempt for want of an answer.
func (a *attempt) giveUp() {
	a.finish(record.GaveUp)
	a.conn.Abort()
}

// Drained is not needed: the request is written at once.
func (a *attempt) Drained() {}

// Data parses the answer; nothing may follow it.
func (a *attempt) Data(data []byte) {
	if a.complete {
		a.record(record.BytesAfterFinal, "bytes")
		return
	}
	if err := a.parser.Feed(data, a.answer); err != nil && !a.ended {
		a.failure = err.Error()
		a.finish(record.Malformed)
		a.conn.Abort()
	}
}

// Closed ends an attempt that has no final answer.
func (a *attempt) Closed(cause error) {
	switch {
	case a.ended:
	case !a.sent:
		a.finish(record.Unreached)
	default:
		a.cause = cause.Error()
		a.finish(record.Broken)
	}
}

// Head takes the answer's head.
func (a *attempt) Head(head *http1.Head) error {
	a.head = head
	return nil
}

// Body collects an answer in one piece.
func (a *attempt) Body(data []byte) error {
	if a.ended {
		a.record(record.BytesAfterFinal, "bytes")
	}
	a.body = append(a.body, data...)
	return nil
}

// finish records the attempt's outcome.
func (a *attempt) finish(outcome string) {
	a.ended = true
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.sent {
		a.record(record.FinalAnswer, outcome)
	}
	if a.failure != "" {
		a.record(record.MalformedAnswer, a.failure)
	}
	a.onOver(outcome)
}

// unexpectedStatus returns the error for an answer that the API does not know.
func (a *attempt) unexpectedStatus() error {
	return fmt.Errorf("status %d: %.120s", a.head.Status, a.body)
}

func (a *attempt) errorCode() string { return gjson.GetBytes(a.body, "error.code").String() }

// retryAfter returns how long the answer asks to wait, or a default.
func (a *attempt) retryAfter(fallback eventloop.Micros) eventloop.Micros {
	if a.head == nil {
		return fallback
	}
	millis, err := strconv.Atoi(a.head.Get("retry-after-ms"))
	if err != nil {
		return fallback
	}
	return eventloop.Micros(millis) * eventloop.Millisecond
}
