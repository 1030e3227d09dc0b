package engine

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/tidwall/gjson"

	"plumspindle/internal/chat"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

const (
	// prefillMembers ask an endpoint to compute the KV cache of a prompt and to keep it for a decode endpoint.
	prefillMembers = `"stream":false,"max_tokens":1,` +
		`"kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false}`
	// streamMembers ask for a streamed completion with its usage; the token limit follows.
	streamMembers = `"stream":true,"stream_options":{"include_usage":true},"max_tokens":`
)

// Target says where one attempt goes, under which names, and how long it may take.
type Target struct {
	Endpoint  scheduler.EndpointID
	RequestID string // the attempt's own, as AttemptName gives it; sent as x-request-id
	ClientID  string // the client's request id; sent as x-client-request-id
	Timeout   eventloop.Micros
}

// DecodeRequest is what a decode attempt sends.
type DecodeRequest struct {
	Chat      *chat.Request
	KVParams  string // kv_transfer_params as the prefill answered them, JSON; empty where the endpoint prefills itself
	MaxTokens int    // that the answer may have
}

// PrefillOnlyRequest is a call that a prefill completes, such as embeddings.
type PrefillOnlyRequest struct {
	Path            string
	Body            []byte
	MaxResponseBody int // bytes
	// ReadResponse reads the body of a response with status 200. It returns an Errored result where the body is not
	// what was asked for.
	ReadResponse func(body []byte) Result
}

// AttemptName returns the request id under which an endpoint sees an attempt.
func (e *Engine) AttemptName(request scheduler.RequestID, attempt scheduler.AttemptNo) string {
	return e.name + "-" + strconv.FormatUint(uint64(request), 10) + "-" + strconv.Itoa(int(attempt))
}

// Prefill has an endpoint compute the KV cache of a prompt. No callback runs before it has returned.
func (e *Engine) Prefill(target Target, request *chat.Request, callbacks Callbacks) *Attempt {
	call := Call{
		MaxResponseBody: maxResponseBody,
		BuildRequest:    e.completionRequest(target, request, prefillMembers),
		ReadResponse: func(head *http1.Head, body []byte) Result {
			if head.Status != http.StatusOK {
				return readError(head.Status, body)
			}
			return readPrefill(body)
		},
	}
	return e.Call(target.Endpoint, call, target.Timeout, callbacks)
}

// Decode has an endpoint stream the answer. No callback runs before it has returned.
func (e *Engine) Decode(target Target, request DecodeRequest, callbacks Callbacks) *Attempt {
	members := streamMembers + strconv.Itoa(request.MaxTokens)
	if request.KVParams != "" {
		members += `,"kv_transfer_params":` + request.KVParams
	}
	stream := &completionStream{}
	call := Call{
		MaxResponseBody: maxResponseBody,
		Stream:          stream,
		BuildRequest:    e.completionRequest(target, request.Chat, members),
		ReadResponse: func(head *http1.Head, body []byte) Result {
			if head.Status != http.StatusOK {
				return readError(head.Status, body)
			}
			return stream.Ended()
		},
	}
	return e.Call(target.Endpoint, call, target.Timeout, callbacks)
}

// PrefillOnly sends a call that a prefill completes. No callback runs before it has returned.
func (e *Engine) PrefillOnly(target Target, request PrefillOnlyRequest, callbacks Callbacks) *Attempt {
	call := Call{
		MaxResponseBody: request.MaxResponseBody,
		BuildRequest: func(addr string, _ eventloop.Micros) []byte {
			return e.appendPost(target, request.Path, addr, request.Body)
		},
		ReadResponse: func(head *http1.Head, body []byte) Result {
			if head.Status != http.StatusOK {
				return readError(head.Status, body)
			}
			result := request.ReadResponse(body)
			result.MemoryUsage = 0 // Attempt.end fills in what the response's head reports
			return result
		},
	}
	return e.Call(target.Endpoint, call, target.Timeout, callbacks)
}

// completionRequest returns the builder of a chat completion: the given members, then those of the client's request.
func (e *Engine) completionRequest(
	target Target, request *chat.Request, members string,
) func(addr string, remaining eventloop.Micros) []byte {
	return func(addr string, _ eventloop.Micros) []byte {
		own := members
		if request.CacheSalt != "" {
			own += `,"cache_salt":` + strconv.Quote(request.CacheSalt)
		}
		body := make([]byte, 0, len(own)+len(request.Passthrough)+len("{,}"))
		body = append(body, '{')
		body = append(body, own...)
		if len(request.Passthrough) > 0 {
			body = append(body, ',')
			body = append(body, request.Passthrough...)
		}
		body = append(body, '}')
		return e.appendPost(target, chat.Path, addr, body)
	}
}

func (e *Engine) appendPost(target Target, path, addr string, body []byte) []byte {
	return http1.AppendRequest(nil, http1.Request{Method: "POST", Target: path, Host: addr, Body: body},
		"Content-Type", "application/json",
		"x-request-id", target.RequestID,
		"x-client-request-id", target.ClientID,
		"x-dispatcher", e.name,
		"x-zone", e.zone)
}

// lastEvent ends a stream of completion chunks.
const lastEvent = "[DONE]"

var (
	errEventAfterLast = errors.New("event after the last one")
	errNoFinishReason = errors.New("last event before any finish reason")
)

// notChunkError is an event that is not a completion chunk.
type notChunkError struct{ event string }

func (e *notChunkError) Error() string {
	return fmt.Sprintf("event is not a completion chunk: %.60q", e.event)
}

// completionStream reads the events of a streamed chat completion.
type completionStream struct {
	done     bool // the last event has come
	finished bool // a chunk gave a finish reason
}

// Event implements Stream.
func (s *completionStream) Event(data []byte) (pass bool, err error) {
	switch {
	case s.done:
		return false, errEventAfterLast
	case string(data) == lastEvent:
		s.done = true
		if !s.finished {
			return false, errNoFinishReason
		}
		return false, nil
	case !chat.IsChunk(data):
		return false, &notChunkError{event: string(data)}
	}
	if gjson.GetBytes(data, "choices.0.finish_reason").Type == gjson.String {
		s.finished = true
	}
	return true, nil
}

// Ended implements Stream.
func (s *completionStream) Ended() Result {
	if s.done {
		return Result{Outcome: scheduler.Completed, Reason: "streamed"}
	}
	return s.Broken(scheduler.Errored, "stream ended without its last event")
}

// Complete implements Stream.
func (s *completionStream) Complete() bool { return s.done }

// Broken implements Stream. Once a chunk has given the finish reason, no content is missing: the answer is complete.
func (s *completionStream) Broken(outcome scheduler.Outcome, reason string) Result {
	if s.finished {
		return Result{Outcome: scheduler.Completed, Reason: "decode had finished, then: " + reason}
	}
	return Result{Outcome: outcome, Reason: reason}
}
