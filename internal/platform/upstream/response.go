package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/tidwall/gjson"

	"plumspindle/internal/engine"
	"plumspindle/internal/http1"
	"plumspindle/internal/jsonsyntax"
	"plumspindle/scheduler"
)

// declinedResults are the results of the statuses by which an endpoint states that it has not run the attempt. A status
// proves this only together with the header field Srv-Declined.
var declinedResults = map[int]engine.Result{
	http.StatusServiceUnavailable: {Outcome: scheduler.NoCapacity, Reason: "rejected"},
	http.StatusGatewayTimeout:     {Outcome: scheduler.NoCapacity, Reason: "rejected, as its deadline has passed"},
	http.StatusGone:               {Outcome: scheduler.NoCapacity, StateMissing: true, Reason: "KV state missing"},
}

// prefillResult returns the result of a prefill from its response.
func prefillResult(head *http1.Head, body []byte) engine.Result {
	if head.Status != http.StatusAccepted {
		return rejectionResult(head, body)
	}
	cached := 0
	if jsonsyntax.Valid(body) {
		cached = cachedTokens(body, "cached_tokens")
	}
	return engine.Result{Outcome: scheduler.PrefillDone, CachedTokens: cached, Reason: "prefilled"}
}

// rejectionResult returns the result of an attempt whose response is neither a stream nor a completed prefill.
func rejectionResult(head *http1.Head, _ []byte) engine.Result {
	result, known := declinedResults[head.Status]
	if known && head.Get("Srv-Declined") == "1" {
		return result
	}
	return engine.Result{Outcome: scheduler.Errored, Reason: statusReason(head)}
}

func statusReason(head *http1.Head) string { return "status " + strconv.Itoa(head.Status) }

// cachedTokens reads a number of tokens from valid JSON; it returns 0 for a negative one.
func cachedTokens(data []byte, path string) int { return int(max(gjson.GetBytes(data, path).Int(), 0)) }

const (
	lastEvent        = "[DONE]"
	usageTokensField = "usage.prompt_tokens_details.cached_tokens"
)

var (
	errEventAfterLast = errors.New("an event after the last")
	errMalformedEvent = errors.New("malformed event")
	usageKey          = []byte(`"usage"`)
)

// responseStream implements engine.Stream for one response. It validates the events.
type responseStream struct {
	received     bool // an event was received
	complete     bool // the last event was received
	cachedTokens int
}

// Event implements engine.Stream.
func (s *responseStream) Event(data []byte) (pass bool, err error) {
	switch {
	case s.complete:
		return false, errEventAfterLast
	case string(data) == lastEvent:
		s.complete = true
	case !jsonsyntax.Valid(data):
		return false, fmt.Errorf("%w: %.40q", errMalformedEvent, data)
	}
	if bytes.Contains(data, usageKey) {
		s.cachedTokens = cachedTokens(data, usageTokensField)
	}
	s.received = true
	return true, nil
}

// Ended implements engine.Stream.
func (s *responseStream) Ended() engine.Result {
	if !s.received {
		return engine.Result{Outcome: scheduler.Errored, Reason: "a stream without an event"}
	}
	return engine.Result{Outcome: scheduler.Completed, CachedTokens: s.cachedTokens, Reason: "completed"}
}

// Complete implements engine.Stream.
func (s *responseStream) Complete() bool { return s.complete }

// Broken implements engine.Stream. A chunked stream without its last chunk counts as incomplete even if its last event
// was received, because the client must not be told that the response is complete.
func (s *responseStream) Broken(outcome scheduler.Outcome, reason string) engine.Result {
	return engine.Result{Outcome: outcome, Reason: reason}
}
