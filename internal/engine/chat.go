package engine

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/tidwall/gjson"

	"plumspindle/internal/chat"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

// AttemptName is how an attempt is named to its host.
func (e *Engine) AttemptName(gen scheduler.RequestID, leg scheduler.AttemptNo) string {
	return e.name + "-" + strconv.FormatUint(uint64(gen), 10) + "-" + strconv.Itoa(int(leg))
}

// Prefill sends a read; Write a write, with the state that a read told of, or without one where the host reads the
// prompt itself. Neither calls back before it has returned.
func (e *Engine) Prefill(id scheduler.EndpointID, name, clientID string, ask *chat.Request, allow eventloop.Micros, hear Callbacks) *Attempt {
	members := `"stream":false,"max_tokens":1,"kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false}`
	return e.chatAttempt(id, name, clientID, ask, members, nil, allow, hear)
}

func (e *Engine) Decode(id scheduler.EndpointID, name, clientID string, ask *chat.Request, state string, most int,
	allow eventloop.Micros, hear Callbacks) *Attempt {
	members := `"stream":true,"stream_options":{"include_usage":true},"max_tokens":` + strconv.Itoa(most)
	if state != "" {
		members += `,"kv_transfer_params":` + state
	}
	return e.chatAttempt(id, name, clientID, ask, members, &chunks{}, allow, hear)
}

// PrefillOnly sends what is complete with its read. Its answer is read by judge, which says Errored of one that is not what was
// asked for. It does not call back before it has returned.
func (e *Engine) PrefillOnly(id scheduler.EndpointID, name, clientID, path string, body []byte, most int, allow eventloop.Micros, judge func(body []byte) Result,
	hear Callbacks) *Attempt {
	return e.Call(id, Call{MaxBody: most, Answer: func(head *http1.Head, answer []byte) Result {
		if head.Status != 200 {
			return refused(head.Status, answer)
		}
		o := judge(answer)
		o.MemoryUsage = 0 // as its head reports
		return o
	}, Request: func(addr string, _ eventloop.Micros) []byte {
		return http1.AppendRequest(nil, http1.Request{Method: "POST", Target: path, Host: addr, Body: body},
			"Content-Type", "application/json", "x-request-id", name,
			"x-client-request-id", clientID, "x-dispatcher", e.name, "x-zone", e.zone)
	}}, allow, hear)
}

func (e *Engine) chatAttempt(id scheduler.EndpointID, name, clientID string, ask *chat.Request, members string, stream Stream,
	allow eventloop.Micros, hear Callbacks) *Attempt {
	answer := func(head *http1.Head, body []byte) Result {
		switch {
		case head.Status != 200:
			return refused(head.Status, body)
		case stream != nil:
			return stream.Ended()
		}
		return readDone(body)
	}
	return e.Call(id, Call{Answer: answer, Stream: stream, MaxBody: answerMost, Request: func(addr string, _ eventloop.Micros) []byte {
		if ask.Salt != "" {
			members += `,"cache_salt":` + strconv.Quote(ask.Salt)
		}
		body := make([]byte, 0, len(members)+len(ask.Rest)+3)
		body = append(append(body, '{'), members...)
		if len(ask.Rest) > 0 {
			body = append(append(body, ','), ask.Rest...)
		}
		body = append(body, '}')
		return http1.AppendRequest(nil, http1.Request{Method: "POST", Target: "/v1/chat/completions", Host: addr, Body: body},
			"Content-Type",
			"application/json", "x-request-id", name, "x-client-request-id", clientID, "x-dispatcher", e.name, "x-zone", e.zone)
	}}, allow, hear)
}

// chunks are the events of the published chat API.
type chunks struct {
	done     bool // [DONE] was seen
	finished bool // an event gave the reason of the end
}

func (c *chunks) Event(data []byte) (pass bool, err error) {
	switch {
	case c.done:
		return false, errors.New("an event after the last")
	case string(data) == "[DONE]":
		c.done = true
		if !c.finished {
			return false, errors.New("a last event before any reason of the end")
		}
		return false, nil
	case !chat.Usable(data):
		return false, fmt.Errorf("an event that is no chunk: %.60q", data)
	}
	if gjson.GetBytes(data, "choices.0.finish_reason").Type == gjson.String {
		c.finished = true
	}
	return true, nil
}

func (c *chunks) Ended() Result {
	if c.done {
		return Result{Outcome: scheduler.Completed, Reason: "streamed"}
	}
	return c.Broken(scheduler.Errored, "the stream ended without its last event")
}

func (c *chunks) Complete() bool { return c.done }

// Broken: where the writer had already told how the answer ended, nothing of it is missing: it is complete.
func (c *chunks) Broken(how scheduler.Outcome, why string) Result {
	if c.finished {
		return Result{Outcome: scheduler.Completed, Reason: "the writer had finished, then " + why}
	}
	return Result{Outcome: how, Reason: why}
}
