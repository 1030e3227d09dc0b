package modelserver

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/http1"
	"plumspindle/internal/testbed/record"
)

// bytesPerToken is the number of bytes of a request's JSON that count as one token.
const bytesPerToken = 4

// Error codes of the responses. All but errorInternal and errorUnknown state that the attempt did not run.
const (
	errorQueueFull    = "full"
	errorDraining     = "draining"
	errorStateLost    = "state_lost"
	errorInvalidInput = "invalid_input"
	errorInternal     = "internal"
	errorUnknown      = "unknown"
)

// endpointAttempt is one attempt that a dispatcher sent to an endpoint: a prefill, a decode, both, or a batch.
type endpointAttempt struct {
	conn         *endpointConn
	id           string
	clientID     string
	dispatcher   string
	product      string
	prefillOnly  bool
	disconnected bool // its connection closed before the response was complete
	ran          bool // its side effects took place

	promptTokens     int
	cachedTokens     int // prompt tokens found in the prefix cache, which need no prefill
	prefillRemaining int // prompt tokens that remain to be prefilled
	maxTokens        int
	workTokens       float64 // estimated work: the tokens to prefill plus half of maxTokens if it decodes
	prefixHash       uint64  // hash of the system message, the prefix that several prompts share; 0: none
	prefixTokens     int

	tokensSent   int // tokens of the answer that were sent
	answerTokens int
	includeUsage bool
	buffer       []byte

	stateAddr      string // address of the endpoint that pins the KV state to decode from
	stateAttemptID string // id of the prefill attempt that left that state; empty: no state is fetched
	fetching       bool

	batchResponse func() []byte // returns the response body of a batch call; nil: a chat attempt
	forcedStatus  int           // error status that every endpoint responds with; 0: none
}

// newAttempt returns an attempt with the fields that chat requests and batch calls share.
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

// memoryNeeded returns the memory, in tokens, that the attempt and its state occupy: the prompt and an average answer,
// half of maxTokens.
func (a *endpointAttempt) memoryNeeded() int { return a.promptTokens + a.maxTokens/2 }

// acceptChat parses a chat request and accepts it.
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
	attempt.cachedTokens = min(e.cachedPrefixes[attempt.prefixHash], attempt.promptTokens-1)
	decodeWork := float64(attempt.maxTokens) / 2
	if attempt.stateAttemptID = params.Get("remote_request_id").String(); attempt.stateAttemptID != "" {
		attempt.stateAddr = params.Get("remote_addr").String()
		attempt.workTokens = decodeWork
	} else {
		attempt.prefillRemaining = attempt.promptTokens - attempt.cachedTokens
		attempt.workTokens = float64(attempt.prefillRemaining)
		if !attempt.prefillOnly {
			attempt.workTokens += decodeWork
		}
	}
	e.accept(attempt)
}

// accept records the arrival of an attempt and starts it, or defers it while the endpoint is frozen or partitioned from
// the sender.
func (e *Endpoint) accept(attempt *endpointAttempt) {
	e.fleet.record(e, record.AttemptArrived, attempt)
	e.countSlowStartLoad(attempt.workTokens)
	conn := attempt.conn
	conn.attempt = attempt
	if !e.alive {
		return
	}
	if !conn.canServe() {
		e.fleet.record(e, record.AttemptDeferred, attempt)
	}
	if !e.frozen && !conn.partitioned() {
		e.startOrRefuse(attempt)
		return
	}
	conn.deferred = append(conn.deferred, func() {
		if !e.hung {
			e.fleet.record(e, record.DeferredAttemptAccepted, attempt)
		}
		e.startOrRefuse(attempt)
	})
}

// startOrRefuse queues an attempt, or responds with an error if the endpoint refuses it or an injected fault makes it
// fail. A hung endpoint queues every attempt and processes none.
func (e *Endpoint) startOrRefuse(attempt *endpointAttempt) {
	conn := attempt.conn
	decodeOnly := e.kind.Role == pb.Kind_WRITER
	needsPrefillHere := attempt.prefillOnly || attempt.prefillRemaining > 0 && !e.fleet.deployment.Dispatching.WritersRead
	switch {
	case e.hung:
		e.queued = append(e.queued, attempt)
	case e.draining:
		conn.respondError(http.StatusServiceUnavailable, errorDraining)
	case e.rejectedProduct != "" && e.rejectedProduct == attempt.product, len(e.queued) >= int(e.group.Queue):
		conn.respondError(http.StatusTooManyRequests, errorQueueFull)
	case attempt.batchResponse == nil && e.kind.Role == pb.Kind_EMBEDDER:
		e.fleet.record(e, record.ChatAtEmbeddingEndpoint, attempt)
		conn.respondError(http.StatusInternalServerError, errorInternal)
	case attempt.forcedStatus == http.StatusInternalServerError:
		conn.respondError(http.StatusInternalServerError, errorInternal)
	case attempt.forcedStatus == http.StatusUnprocessableEntity:
		conn.respondError(http.StatusUnprocessableEntity, errorInvalidInput)
	case decodeOnly && needsPrefillHere:
		conn.respondError(http.StatusConflict, errorStateLost)
	case e.failShare > 0 && e.fleet.random.Float64() < e.failShare:
		if !attempt.prefillOnly {
			attempt.ran = true
			e.fleet.record(e, record.AttemptRan, attempt) // its effects may have taken place before it failed
		}
		conn.respondError(http.StatusInternalServerError, errorInternal)
	default:
		e.queued = append(e.queued, attempt)
		e.admit()
		e.startStep()
	}
}
