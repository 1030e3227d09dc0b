package chat

import (
	"encoding/json"
	"strconv"

	"github.com/tidwall/gjson"

	"plumspindle/internal/sse"
)

// Answer shapes what a writer streams into what the client asked for: chunks of its own, or one whole object.
type Answer struct {
	ID      string
	Model   string
	Created int64 // seconds since 1970
	Request *Request

	CompletionTokens int    // chunks of content so far, about a token each
	FinishReason     string // the reason that the writer gave for the end

	usage   string
	content []byte
	refusal []byte
	calls   []toolCall
	scratch []byte
	roled   bool
}

type toolCall struct {
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// RequestID is the id that the client is told.
func (a *Answer) RequestID() string { return a.ID }

// Streaming tells whether the answer is streamed.
func (a *Answer) Streaming() bool { return a.Request.Stream }

// Unstarted tells whether nothing of the answer has been sent yet.
func (a *Answer) Unstarted() bool { return !a.roled }

// Usable tells whether a writer's event is a chunk of an answer at all.
func Usable(data []byte) bool {
	return gjson.ValidBytes(data) && gjson.GetBytes(data, "choices").IsArray()
}

// AppendEvent appends to b what the client is sent for one of the writer's events, which must be usable; nothing for a
// whole answer, which Whole gives at the end.
func (a *Answer) AppendEvent(b, data []byte) []byte {
	if u := gjson.GetBytes(data, "usage"); u.IsObject() {
		a.usage = u.Raw
	}
	choice := gjson.GetBytes(data, "choices.0")
	if !choice.Exists() {
		return b
	}
	delta := choice.Get("delta")
	if reason := choice.Get("finish_reason"); reason.Type == gjson.String {
		a.FinishReason = reason.String()
	}
	if text := delta.Get("content"); text.Type == gjson.String && text.Raw != `""` {
		a.CompletionTokens++
	}
	if !a.Request.Stream {
		a.keep(delta)
		return b
	}
	raw := delta.Raw
	if raw == "" {
		raw = "{}"
	}
	if !a.roled {
		a.roled = true
		if !delta.Get("role").Exists() {
			if raw = `{"role":"assistant"}`; delta.Raw != "" && len(delta.Raw) > 2 {
				raw = `{"role":"assistant",` + delta.Raw[1:]
			}
		}
	}
	out := a.open(a.scratch[:0], "chat.completion.chunk")
	out = append(out, `"choices":[{"index":0,"delta":`...)
	out = append(out, raw...)
	if lp := choice.Get("logprobs"); lp.IsObject() {
		out = append(out, `,"logprobs":`...)
		out = append(out, lp.Raw...)
	}
	out = append(out, `,"finish_reason":`...)
	if a.FinishReason == "" {
		out = append(out, "null"...)
	} else {
		out = strconv.AppendQuote(out, a.FinishReason)
	}
	out = append(out, '}', ']')
	if a.Request.IncludeUsage {
		out = append(out, `,"usage":null`...)
	}
	out = append(out, '}')
	a.scratch = out
	return sse.Append(b, out)
}

// AppendEnd appends the end of a streamed answer: the usage where it was asked for, and the closing mark.
func (a *Answer) AppendEnd(b []byte) []byte {
	if a.Request.IncludeUsage {
		out := a.open(a.scratch[:0], "chat.completion.chunk")
		out = append(out, `"choices":[],"usage":`...)
		out = append(out, a.Usage()...)
		b = sse.Append(b, append(out, '}'))
	}
	return sse.Append(b, []byte("[DONE]"))
}

// Object is a whole answer's object.
func (a *Answer) Object() []byte {
	message := map[string]any{"role": "assistant", "content": string(a.content), "refusal": nil}
	if len(a.refusal) > 0 {
		message["refusal"] = string(a.refusal)
	}
	if len(a.calls) > 0 {
		message["tool_calls"] = a.calls
		if len(a.content) == 0 {
			message["content"] = nil
		}
	}
	text, _ := json.Marshal(message)
	out := a.open(nil, "chat.completion")
	out = append(out, `"choices":[{"index":0,"message":`...)
	out = append(out, text...)
	out = append(out, `,"logprobs":null,"finish_reason":`...)
	out = strconv.AppendQuote(out, a.FinishReason)
	out = append(out, `}],"usage":`...)
	out = append(out, a.Usage()...)
	return append(out, '}')
}

// Usage is what the writer counted, or, where it was lost before it told, what was counted here.
func (a *Answer) Usage() string {
	if a.usage != "" {
		return a.usage
	}
	p, c := strconv.Itoa(a.Request.PromptTokens), strconv.Itoa(a.CompletionTokens)
	return `{"prompt_tokens":` + p + `,"completion_tokens":` + c + `,"total_tokens":` + strconv.Itoa(a.Request.PromptTokens+a.CompletionTokens) + `}`
}

func (a *Answer) open(b []byte, object string) []byte {
	b = append(b, `{"id":"`...)
	b = append(b, a.ID...)
	b = append(b, `","object":"`...)
	b = append(b, object...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, a.Created, 10)
	b = append(b, `,"model":`...)
	b = strconv.AppendQuote(b, a.Model)
	return append(b, ',')
}

func (a *Answer) keep(delta gjson.Result) {
	a.content = append(a.content, delta.Get("content").String()...)
	a.refusal = append(a.refusal, delta.Get("refusal").String()...)
	for _, call := range delta.Get("tool_calls").Array() {
		at := int(call.Get("index").Int())
		if at < 0 || at > 127 {
			continue
		}
		for len(a.calls) <= at {
			a.calls = append(a.calls, toolCall{Type: "function"})
		}
		c := &a.calls[at]
		if id := call.Get("id"); id.Exists() {
			c.ID = id.String()
		}
		c.Function.Name += call.Get("function.name").String()
		c.Function.Arguments += call.Get("function.arguments").String()
	}
}
