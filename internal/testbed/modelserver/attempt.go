package modelserver

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/http1"
	"plumspindle/internal/testbed/record"
)

// bytesPerToken is how many bytes of a request's JSON count as one token.
const bytesPerToken = 4

// Codes of errors. By those but errorInternal and errorUnknown an endpoint says that the attempt has not run.
const (
	errorFull         = "full"
	errorDraining     = "draining"
	errorStateLost    = "state_lost"
	errorInvalidInput = "invalid_input"
	errorInternal     = "internal"
	errorUnknown      = "unknown"
)

// endpointAttempt is one attempt of a dispatcher at an endpoint: a prefill, a decode, both, or a batch.
type endpointAttempt struct {
	conn        *endpointConn
	id          string
	clientID    string
	dispatcher  string
	product     string
	prefillOnly bool
	abandoned   bool // its connection is gone
	ran         bool // its effects took place

	promptTokens int
	cachedTokens int // of the prompt, that need no prefill
	toPrefill    int // tokens that are still to be prefilled
	maxTokens    int
	work         float64 // tokens to prefill, and half of those that may be decoded
	prefixHash   uint64  // of the part of the prompt that other prompts share
	prefixTokens int

	sent         int // tokens of the answer
	answerTokens int
	includeUsage bool
	buffer       []byte

	fetchFrom    string // address of the endpoint that pins the state of the prefill
	fetchAttempt string // whose state that is; empty: none is fetched
	fetching     bool

	answer       func() []byte // of a batch, which ends with its prefill
	forcedStatus int           // that it is answered with at any endpoint; 0: none
}

// newAttempt reads what chat and batches have in common.
func newAttempt(conn *endpointConn, head *http1.Head, body []byte) *endpointAttempt {
	attempt := &endpointAttempt{
		conn:       conn,
		id:         head.Get("x-request-id"),
		clientID:   head.Get("x-client-request-id"),
		dispatcher: head.Get("x-dispatcher"),
		product:    gjson.GetBytes(body, "model").String(),
	}
	if attempt.clientID == "" {
		attempt.clientID = attempt.id
	}
	return attempt
}

// memoryNeeded returns the tokens of memory that the attempt and its state take.
func (a *endpointAttempt) memoryNeeded() int { return a.promptTokens + a.maxTokens/2 }

// acceptChat accepts a chat request.
func (e *Endpoint) acceptChat(conn *endpointConn, head *http1.Head, body []byte) {
	messages := gjson.GetBytes(body, "messages")
	params := gjson.GetBytes(body, "kv_transfer_params")
	attempt := newAttempt(conn, head, body)
	attempt.promptTokens = len(messages.Raw)/bytesPerToken + 1
	attempt.maxTokens = int(gjson.GetBytes(body, "max_tokens").Int())
	attempt.prefillOnly = params.Get("do_remote_decode").Bool()
	attempt.includeUsage = gjson.GetBytes(body, "stream_options.include_usage").Bool()
	if first := messages.Get("0"); first.Get("role").String() == "system" {
		attempt.prefixHash = xxhash.Sum64String(gjson.GetBytes(body, "cache_salt").String() + first.Raw)
		attempt.prefixTokens = len(first.Raw) / bytesPerToken
	}
	attempt.cachedTokens = min(e.prefixes[attempt.prefixHash], attempt.promptTokens-1)
	decodeWork := float64(attempt.maxTokens) / 2
	if attempt.fetchAttempt = params.Get("remote_request_id").String(); attempt.fetchAttempt != "" {
		attempt.fetchFrom = params.Get("remote_addr").String()
		attempt.work = decodeWork
	} else {
		attempt.toPrefill = attempt.promptTokens - attempt.cachedTokens
		attempt.work = float64(attempt.toPrefill)
		if !attempt.prefillOnly {
			attempt.work += decodeWork
		}
	}
	e.accept(attempt)
}

// accept counts an attempt that has arrived and begins it, or has it wait until the endpoint can act.
func (e *Endpoint) accept(attempt *endpointAttempt) {
	e.fleet.record(e, record.AttemptArrived, attempt)
	e.countSlowStartLoad(attempt.work)
	conn := attempt.conn
	conn.attempt = attempt
	if !e.alive {
		return
	}
	if !conn.canAct() {
		e.fleet.record(e, record.AttemptDeferred, attempt)
	}
	if !e.frozen && !conn.partitioned() {
		e.begin(attempt)
		return
	}
	conn.deferred = append(conn.deferred, func() {
		if !e.hung {
			e.fleet.record(e, record.AttemptTaken, attempt)
		}
		e.begin(attempt)
	})
}

// begin refuses an attempt, fails it or queues it.
func (e *Endpoint) begin(attempt *endpointAttempt) {
	conn := attempt.conn
	decodeOnly := e.kind.Role == pb.Kind_WRITER
	prefillsHere := attempt.prefillOnly || attempt.toPrefill > 0 && !e.fleet.deployment.Dispatching.WritersRead
	switch {
	case e.hung:
		e.queued = append(e.queued, attempt)
	case e.draining:
		conn.fail(http.StatusServiceUnavailable, errorDraining)
	case e.rejectedProduct != "" && e.rejectedProduct == attempt.product, len(e.queued) >= int(e.group.Queue):
		conn.fail(http.StatusTooManyRequests, errorFull)
	case attempt.answer == nil && e.kind.Role == pb.Kind_EMBEDDER:
		e.fleet.record(e, record.ChatAtEmbedder, attempt)
		conn.fail(http.StatusInternalServerError, errorInternal)
	case attempt.forcedStatus == http.StatusInternalServerError:
		conn.fail(http.StatusInternalServerError, errorInternal)
	case attempt.forcedStatus == http.StatusUnprocessableEntity:
		conn.fail(http.StatusUnprocessableEntity, errorInvalidInput)
	case decodeOnly && prefillsHere:
		conn.fail(http.StatusConflict, errorStateLost)
	case e.failShare > 0 && e.fleet.random.Float64() < e.failShare:
		if !attempt.prefillOnly {
			attempt.ran = true
			e.fleet.record(e, record.AttemptRan, attempt) // it may have taken effect before it failed
		}
		conn.fail(http.StatusInternalServerError, errorInternal)
	default:
		e.queued = append(e.queued, attempt)
		e.admit()
		e.wake()
	}
}
