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
	maxAttempts      = 3                          // attempts of one chat request
	minAttemptTime   = 50 * eventloop.Millisecond // no attempt starts with less time left
	connectTimeout   = 300 * eventloop.Millisecond
	retryDelay       = 100 * eventloop.Millisecond // unless a retry-after-ms header gives another delay
	retryDelaySpread = 200 * eventloop.Millisecond // limit of the random part of a chat retry's default delay
)

// attempt is the common part of an attempt of a chat request and of a batch call. It owns the connection and the time
// limit, and records the attempt's events.
type attempt struct {
	generator  *Generator
	request    string // request id that the client chose; all attempts share it
	number     int    // counts from 1
	dispatcher string // name of the dispatcher that the attempt is sent to
	product    string
	tenant     int
	timeLimit  eventloop.Micros

	responseHandler http1.Handler
	onTimeout       func() // called at the time limit unless the attempt has finished
	onFinished      func(outcome string)

	conn          eventloop.Conn
	data          []byte // the serialised HTTP request
	timer         eventloop.Timer
	parser        http1.Parser
	head          *http1.Head
	body          []byte
	sent          bool
	finished      bool   // the outcome is recorded
	messageEnded  bool   // the HTTP response has ended
	exact         bool   // the answer has the content that the endpoints generate for this request
	tokens        int    // tokens of the answer that were received
	invalidReason string // why the response is invalid; empty: it is valid
	closeCause    string // why the connection closed before the final answer
}

// postRequest is the HTTP POST request that an attempt sends.
type postRequest struct {
	path           string
	body           []byte
	idempotencyKey string // empty: the request carries none
}

// send connects to a target; Opened sends the request once the connection is established.
func (a *attempt) send(target *Target, request postRequest, handler http1.Handler) {
	a.dispatcher, a.responseHandler = target.Name, handler
	a.parser = http1.Parser{Response: true, Limits: http1.DefaultLimits}
	a.data = http1.AppendRequest(nil, http1.Request{
		Method: http.MethodPost, Target: request.path, Host: target.Addr, Body: request.body,
	}, "Content-Type", "application/json",
		"Authorization", "Bearer "+a.generator.Keys[a.tenant], "x-client-request-id", a.request,
		"x-time-limit-ms", strconv.FormatInt(int64(a.timeLimit/eventloop.Millisecond), 10), "Connection", "close",
		"Idempotency-Key", request.idempotencyKey) // AppendRequest leaves out a header without a value
	a.conn = a.generator.loop.Dial(target.Addr, connectTimeout, a)
}

// record adds an event with the attempt's current state to the record.
func (a *attempt) record(eventType record.EventType, detail string) {
	g := a.generator
	g.recorder.Add(record.Event{At: int64(g.loop.Now()), Type: eventType, Request: a.request, ClientAttempt: a.number,
		Dispatcher: a.dispatcher, Product: a.product, Tenant: g.deployment.Tenants[a.tenant].Name, Detail: detail,
		Count: int64(a.tokens), Exact: a.exact, Value: float64(a.timeLimit), Kind: a.closeCause})
}

// Opened sends the request and starts the timer of the time limit.
func (a *attempt) Opened() {
	a.sent = true
	a.record(record.RequestSent, "")
	a.conn.Write(a.data)
	a.data = nil
	a.timer = a.generator.loop.AfterFunc(a.timeLimit, a.onTimeout)
}

// giveUp finishes the attempt because no answer arrived in time, and aborts its connection.
func (a *attempt) giveUp() {
	a.finish(record.TimedOut)
	a.conn.Abort()
}

// Drained does nothing: the whole request is written in one call.
func (a *attempt) Drained() {}

// Data parses the response. Bytes after its end are recorded as an error.
func (a *attempt) Data(data []byte) {
	if a.messageEnded {
		a.record(record.BytesAfterFinal, "bytes")
		return
	}
	if err := a.parser.Feed(data, a.responseHandler); err != nil && !a.finished {
		a.invalidReason = err.Error()
		a.finish(record.Malformed)
		a.conn.Abort()
	}
}

// Closed finishes an attempt whose connection failed or closed before the final answer.
func (a *attempt) Closed(cause error) {
	switch {
	case a.finished:
	case !a.sent:
		a.finish(record.ConnectFailed)
	default:
		a.closeCause = cause.Error()
		a.finish(record.Broken)
	}
}

// Head stores the head of the response.
func (a *attempt) Head(head *http1.Head) error {
	a.head = head
	return nil
}

// Body collects the body of a response that is not streamed.
func (a *attempt) Body(data []byte) error {
	if a.finished {
		a.record(record.BytesAfterFinal, "bytes")
	}
	a.body = append(a.body, data...)
	return nil
}

// finish stops the timer, records the attempt's outcome and reports it to onFinished.
func (a *attempt) finish(outcome string) {
	a.finished = true
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.sent {
		a.record(record.FinalAnswer, outcome)
	}
	if a.invalidReason != "" {
		a.record(record.MalformedAnswer, a.invalidReason)
	}
	a.onFinished(outcome)
}

// unexpectedStatus returns the error for a response whose status the API does not define.
func (a *attempt) unexpectedStatus() error {
	return fmt.Errorf("status %d: %.120s", a.head.Status, a.body)
}

// errorCode returns the code in the response's error body, empty if it has none.
func (a *attempt) errorCode() string { return gjson.GetBytes(a.body, "error.code").String() }

// retryAfter returns the delay that the response's retry-after-ms header asks for, or the fallback if the response has
// no such header.
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
