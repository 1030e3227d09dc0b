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
	// prefillMembers are JSON members that ask an endpoint to compute the KV cache of a prompt and to keep it for a
	// decode endpoint.
	prefillMembers = `"stream":false,"max_tokens":1,` +
		`"kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false}`
	// streamMembers are JSON members that ask for a streamed completion with its usage. The token limit is appended.
	streamMembers = `"stream":true,"stream_options":{"include_usage":true},"max_tokens":`
)

// Target holds the destination, the request ids and the timeout of one attempt.
type Target struct {
	Endpoint  scheduler.EndpointID
	RequestID string // the attempt's request id, from AttemptRequestID; sent as x-request-id
	ClientID  string // the client's request id; sent as x-client-request-id
	Timeout   eventloop.Micros
}

// DecodeRequest is the request of a decode attempt.
type DecodeRequest struct {
	Chat      *chat.Request
	KVParams  string // kv_transfer_params of the prefill's response, as JSON; empty if the endpoint does the prefill too
	MaxTokens int    // maximum number of tokens of the answer
}

// PrefillOnlyRequest is a request that needs no decode, such as one for embeddings.
type PrefillOnlyRequest struct {
	Path            string
	Body            []byte
	MaxResponseBody int // bytes
	// ReadResponse reads the body of a response with status 200. It returns an Errored result if the body is not a valid
	// answer to the request.
	ReadResponse func(body []byte) Result
}

// AttemptRequestID returns the request id that an attempt is sent with.
func (e *Engine) AttemptRequestID(request scheduler.RequestID, attempt scheduler.AttemptNumber) string {
	return e.name + "-" + strconv.FormatUint(uint64(request), 10) + "-" + strconv.Itoa(int(attempt))
}

// Prefill asks an endpoint to compute the KV cache of a prompt. No callback runs before Prefill has returned.
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

// Decode asks an endpoint to stream the answer. No callback runs before Decode has returned.
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

// PrefillOnly sends a request that needs no decode. No callback runs before PrefillOnly has returned.
func (e *Engine) PrefillOnly(target Target, request PrefillOnlyRequest, callbacks Callbacks) *Attempt {
	call := Call{
		MaxResponseBody: request.MaxResponseBody,
		BuildRequest: func(addr string, _ eventloop.Micros) []byte {
			return e.buildPost(target, request.Path, addr, request.Body)
		},
		ReadResponse: func(head *http1.Head, body []byte) Result {
			if head.Status != http.StatusOK {
				return readError(head.Status, body)
			}
			result := request.ReadResponse(body)
			result.MemoryUsage = 0 // Attempt.end fills in the value from the response's head
			return result
		},
	}
	return e.Call(target.Endpoint, call, target.Timeout, callbacks)
}

// completionRequest returns a Call.BuildRequest for a chat completion. The body has the given JSON members, then the
// cache salt, then the members of the client's request.
func (e *Engine) completionRequest(
	target Target, request *chat.Request, members string,
) func(addr string, remaining eventloop.Micros) []byte {
	return func(addr string, _ eventloop.Micros) []byte {
		routerMembers := members
		if request.CacheSalt != "" {
			routerMembers += `,"cache_salt":` + strconv.Quote(request.CacheSalt)
		}
		body := make([]byte, 0, len(routerMembers)+len(request.Passthrough)+len("{,}"))
		body = append(body, '{')
		body = append(body, routerMembers...)
		if len(request.Passthrough) > 0 {
			body = append(body, ',')
			body = append(body, request.Passthrough...)
		}
		body = append(body, '}')
		return e.buildPost(target, chat.Path, addr, body)
	}
}

// buildPost returns a POST request with a JSON body and the headers that identify the attempt and this dispatcher.
func (e *Engine) buildPost(target Target, path, addr string, body []byte) []byte {
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
	errEventAfterLast = errors.New("event after the last event of the stream")
	errNoFinishReason = errors.New("stream ended without a finish reason")
)

// notChunkError reports an event that is not a completion chunk.
type notChunkError struct{ event string }

func (e *notChunkError) Error() string {
	return fmt.Sprintf("event is not a completion chunk: %.60q", e.event)
}

// completionStream reads the events of a streamed chat completion.
type completionStream struct {
	done     bool // the last event has been read
	finished bool // a chunk with a finish reason has been read
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

// Broken implements Stream. A chunk with a finish reason is the last one with content, so the answer is complete once
// that chunk has been read.
func (s *completionStream) Broken(outcome scheduler.Outcome, reason string) Result {
	if s.finished {
		return Result{Outcome: scheduler.Completed, Reason: "decode had finished before: " + reason}
	}
	return Result{Outcome: outcome, Reason: reason}
}
