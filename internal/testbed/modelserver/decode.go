package modelserver

import (
	"fmt"
	"strings"

	"plumspindle/internal/sse"
	"plumspindle/internal/testbed/record"
)

const (
	chunkFormat = `{"id":%q,"object":"chat.completion.chunk","created":0,"model":%q,` +
		`"choices":[{"index":0,"delta":%s,"finish_reason":%s}]}`
	usageFormat = `{"id":%q,"object":"chat.completion.chunk","created":0,"model":%q,"choices":[],` +
		`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`
	lastEvent = "[DONE]"
)

// emitToken sends the next token of an answer, and with the last one the end of the stream.
func (e *Endpoint) emitToken(a *attempt) {
	if !a.ran {
		a.ran = true
		e.fleet.record(e, record.AttemptRan, a)
	}
	a.buffer = a.buffer[:0]
	role := ""
	if a.sent == 0 {
		a.answerTokens = AnswerLength(a.clientID, a.maxTokens)
		role = `"role":"assistant",`
	}
	text := TokenText(a.clientID, a.sent)
	if padding := int(e.group.TokenBytes) - len(text); padding > 0 {
		text += strings.Repeat("x", padding)
	}
	a.appendEvent(chunkFormat, a.id, a.product, `{`+role+`"content":"`+text+`"}`, "null")
	a.sent++
	last := a.sent >= a.answerTokens
	if last {
		a.appendEvent(chunkFormat, a.id, a.product, "{}", `"stop"`)
		if a.includeUsage {
			a.appendEvent(usageFormat, a.id, a.product, a.promptTokens, a.sent, a.promptTokens+a.sent)
		}
		a.buffer = sse.Append(a.buffer, []byte(lastEvent))
	}
	a.conn.writeEvents(a.buffer, last)
	if last {
		e.finish(a)
	}
}

func (a *attempt) appendEvent(format string, args ...any) {
	a.buffer = sse.Append(a.buffer, fmt.Appendf(nil, format, args...))
}
