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
	doneEvent = "[DONE]"
)

// emitToken sends the next token of an answer. After the last one it ends the stream and removes the attempt.
func (e *Endpoint) emitToken(attempt *endpointAttempt) {
	if !attempt.ran {
		attempt.ran = true
		e.fleet.record(e, record.AttemptRan, attempt)
	}
	attempt.buffer = attempt.buffer[:0]
	role := ""
	if attempt.tokensSent == 0 {
		attempt.answerTokens = AnswerLength(attempt.clientID, attempt.maxTokens)
		role = `"role":"assistant",`
	}
	text := TokenText(attempt.clientID, attempt.tokensSent)
	if padding := int(e.group.TokenBytes) - len(text); padding > 0 {
		text += strings.Repeat("x", padding)
	}
	attempt.appendEvent(chunkFormat, attempt.id, attempt.product, `{`+role+`"content":"`+text+`"}`, "null")
	attempt.tokensSent++
	last := attempt.tokensSent >= attempt.answerTokens
	if last {
		attempt.appendEvent(chunkFormat, attempt.id, attempt.product, "{}", `"stop"`)
		if attempt.includeUsage {
			attempt.appendEvent(usageFormat, attempt.id, attempt.product, attempt.promptTokens, attempt.tokensSent,
				attempt.promptTokens+attempt.tokensSent)
		}
		attempt.buffer = sse.Append(attempt.buffer, []byte(doneEvent))
	}
	attempt.conn.writeEvents(attempt.buffer, last)
	if last {
		e.removeAttempt(attempt)
	}
}

// appendEvent formats a server-sent event and appends it to the buffer.
func (a *endpointAttempt) appendEvent(format string, args ...any) {
	a.buffer = sse.Append(a.buffer, fmt.Appendf(nil, format, args...))
}
