package chat

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/tidwall/gjson"

	"plumspindle/internal/jsonsyntax"
	"plumspindle/internal/sse"
)

const (
	chunkObject      = "chat.completion.chunk"
	completionObject = "chat.completion"

	// lastEvent is the event that ends a streamed answer.
	lastEvent = "[DONE]"
	// maxToolCalls bounds the tool calls of one answer. Tool calls with a higher index are dropped.
	maxToolCalls = 128
)

// Answer converts the events of a decode endpoint into the form that the client asked for: chunks or one object.
type Answer struct {
	ID      string
	Model   string
	Created int64 // seconds since 1970
	Request *Request

	CompletionTokens int    // an estimate: the chunks with content so far, each of about one token
	FinishReason     string // as stated by the endpoint; empty: not stated yet

	started   bool   // a chunk was appended
	usage     string // JSON as stated by the endpoint; empty: not stated yet
	content   []byte // collected for Object, like the refusal and the tool calls
	refusal   []byte
	toolCalls []collectedToolCall
	scratch   []byte // buffer that is reused for chunks
}

// collectedToolCall is a tool call as far as its deltas have arrived.
type collectedToolCall struct {
	id              string
	name, arguments []byte
}

// message is the message of an answer that is not streamed. Its fields are in alphabetical order.
type message struct {
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal"`
	Role      string     `json:"role"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// IsChunk reports whether an endpoint's event is a chunk of an answer: a JSON object with a list of choices.
func IsChunk(event []byte) bool {
	return jsonsyntax.Valid(event) && gjson.GetBytes(event, "choices").IsArray()
}

// RequestID returns the answer's id, which the client gets as the request id.
func (a *Answer) RequestID() string { return a.ID }

// Streaming reports whether the answer is streamed.
func (a *Answer) Streaming() bool { return a.Request.Stream }

// Unstarted reports whether no chunk of the answer has been appended yet.
func (a *Answer) Unstarted() bool { return !a.started }

// AppendEvent appends to out the bytes to send to the client for an endpoint's event, which must be a chunk. For an
// answer that is not streamed it appends nothing and collects the content for Object.
func (a *Answer) AppendEvent(out, event []byte) []byte {
	if usage := gjson.GetBytes(event, "usage"); usage.IsObject() {
		a.usage = usage.Raw
	}
	choice := gjson.GetBytes(event, "choices.0")
	if !choice.Exists() {
		return out
	}
	delta := choice.Get("delta")
	if reason := choice.Get("finish_reason"); reason.Type == gjson.String {
		a.FinishReason = reason.String()
	}
	if text := delta.Get("content"); text.Type == gjson.String && text.Raw != `""` {
		a.CompletionTokens++
	}
	if !a.Request.Stream {
		a.collect(delta)
		return out
	}
	a.scratch = a.appendChunk(a.scratch[:0], delta, choice.Get("logprobs"))
	return sse.Append(out, a.scratch)
}

// appendChunk appends one chunk of a streamed answer, as JSON.
func (a *Answer) appendChunk(out []byte, delta, logprobs gjson.Result) []byte {
	out = a.appendHead(out, chunkObject)
	out = append(out, `"choices":[{"index":0,"delta":`...)
	out = append(out, a.deltaWithRole(delta)...)
	if logprobs.IsObject() {
		out = append(out, `,"logprobs":`...)
		out = append(out, logprobs.Raw...)
	}
	out = append(out, `,"finish_reason":`...)
	if a.FinishReason == "" {
		out = append(out, "null"...)
	} else {
		out = strconv.AppendQuote(out, a.FinishReason)
	}
	out = append(out, "}]"...)
	if a.Request.IncludeUsage {
		out = append(out, `,"usage":null`...)
	}
	return append(out, '}')
}

// deltaWithRole returns a delta as JSON. It adds the role to the first delta if the endpoint has left it out, as some
// endpoints do.
func (a *Answer) deltaWithRole(delta gjson.Result) string {
	const empty = "{}"
	first := !a.started
	a.started = true
	switch {
	case first && len(delta.Raw) <= len(empty):
		return `{"role":"assistant"}`
	case first && !delta.Get("role").Exists():
		return `{"role":"assistant",` + delta.Raw[1:]
	case delta.Raw == "":
		return empty
	}
	return delta.Raw
}

// AppendEnd appends the end of a streamed answer: the usage, if the client asked for it, and the last event.
func (a *Answer) AppendEnd(out []byte) []byte {
	if a.Request.IncludeUsage {
		chunk := a.appendHead(a.scratch[:0], chunkObject)
		chunk = append(chunk, `"choices":[],"usage":`...)
		chunk = append(chunk, a.Usage()...)
		out = sse.Append(out, append(chunk, '}'))
	}
	return sse.Append(out, []byte(lastEvent))
}

// Object returns the whole answer as JSON, if it is not streamed.
func (a *Answer) Object() []byte {
	text, err := json.Marshal(a.message())
	if err != nil {
		panic(fmt.Errorf("marshal message: %w", err)) // can't happen: a message holds only strings
	}
	out := a.appendHead(nil, completionObject)
	out = append(out, `"choices":[{"index":0,"message":`...)
	out = append(out, text...)
	out = append(out, `,"logprobs":null,"finish_reason":`...)
	out = strconv.AppendQuote(out, a.FinishReason)
	out = append(out, `}],"usage":`...)
	out = append(out, a.Usage()...)
	return append(out, '}')
}

// message returns the message with the collected content. The content is null if the answer only calls tools.
func (a *Answer) message() message {
	m := message{Role: "assistant"}
	for _, call := range a.toolCalls {
		function := toolFunction{Name: string(call.name), Arguments: string(call.arguments)}
		m.ToolCalls = append(m.ToolCalls, toolCall{ID: call.id, Type: "function", Function: function})
	}
	if len(a.content) > 0 || len(a.toolCalls) == 0 {
		content := string(a.content)
		m.Content = &content
	}
	if len(a.refusal) > 0 {
		refusal := string(a.refusal)
		m.Refusal = &refusal
	}
	return m
}

// Usage returns the usage as JSON: as stated by the endpoint or, if the endpoint stated none before the stream ended,
// an estimate.
func (a *Answer) Usage() string {
	if a.usage != "" {
		return a.usage
	}
	prompt, completion := a.Request.PromptTokens, a.CompletionTokens
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`,
		prompt, completion, prompt+completion)
}

// appendHead appends the opening brace and the members that all objects of the API begin with.
func (a *Answer) appendHead(out []byte, object string) []byte {
	out = append(out, `{"id":"`...)
	out = append(out, a.ID...)
	out = append(out, `","object":"`...)
	out = append(out, object...)
	out = append(out, `","created":`...)
	out = strconv.AppendInt(out, a.Created, 10)
	out = append(out, `,"model":`...)
	out = strconv.AppendQuote(out, a.Model)
	return append(out, ',')
}

// collect adds a delta to an answer that is not streamed.
func (a *Answer) collect(delta gjson.Result) {
	a.content = append(a.content, delta.Get("content").String()...)
	a.refusal = append(a.refusal, delta.Get("refusal").String()...)
	for _, part := range delta.Get("tool_calls").Array() {
		a.collectToolCall(part)
	}
}

// collectToolCall adds a part of a tool call. The name and the arguments may be split over several deltas, like the
// content.
func (a *Answer) collectToolCall(part gjson.Result) {
	index := int(part.Get("index").Int())
	if index < 0 || index >= maxToolCalls {
		return
	}
	for len(a.toolCalls) <= index {
		a.toolCalls = append(a.toolCalls, collectedToolCall{})
	}
	call := &a.toolCalls[index]
	if id := part.Get("id"); id.Exists() {
		call.id = id.String()
	}
	call.name = append(call.name, part.Get("function.name").String()...)
	call.arguments = append(call.arguments, part.Get("function.arguments").String()...)
}
