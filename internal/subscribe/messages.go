package subscribe

import (
	"plumspindle/internal/eventloop"
	"plumspindle/internal/sse"
)

const (
	// maxMessageBytes is the largest size of a message; a larger one is rejected.
	maxMessageBytes = 8 << 20
	// maxIdleBufferBytes is the largest buffer capacity that a parser retains between two messages.
	maxIdleBufferBytes = 4 << 10
)

// messageParser splits the body of a response into messages. The result does not depend on how the body is divided into
// calls of feed.
type messageParser interface {
	// feed parses data that arrived at the time now, and calls deliver with each message that is complete. It stops at
	// the first error. A message's bytes are valid only until deliver returns.
	feed(now eventloop.Micros, data []byte, deliver func(message []byte) error) error
	// incompleteSince returns when the first byte of the incomplete message arrived. It returns 0 if there is no
	// incomplete message, or if the parser does not record the time.
	incompleteSince() eventloop.Micros
}

func newMessageParser(format Format) messageParser {
	if format == JSONObjects {
		return &objectParser{}
	}
	return &eventParser{sse.Parser{MaxEventBytes: maxMessageBytes}}
}

// eventParser parses text/event-stream.
type eventParser struct{ events sse.Parser }

func (p *eventParser) feed(_ eventloop.Micros, data []byte, deliver func([]byte) error) error {
	return p.events.Feed(data, deliver)
}

func (p *eventParser) incompleteSince() eventloop.Micros { return 0 }

// objectParser splits a sequence of JSON objects. It finds the end of each object but does not validate its syntax.
type objectParser struct {
	partial        []byte           // earlier bytes of the incomplete object
	startedAt      eventloop.Micros // when the first byte of the incomplete object arrived; 0 if there is none
	depth          int              // number of open braces and brackets
	inString       bool             // the next byte is within a string
	afterBackslash bool             // the next byte follows an unescaped backslash in a string
}

func (p *objectParser) incompleteSince() eventloop.Micros { return p.startedAt }

func (p *objectParser) feed(now eventloop.Micros, data []byte, deliver func([]byte) error) error {
	start := 0 // position in data at which the current object, or the rest of it, starts
	for i, char := range data {
		if p.depth == 0 {
			if isSpace(char) {
				continue
			}
			if char != '{' {
				return errNotObject
			}
			start, p.startedAt = i, now
		}
		p.scan(char)
		if p.depth > 0 {
			continue
		}
		message := append(p.partial, data[start:i+1]...)
		p.reset(message)
		if err := deliver(message); err != nil {
			return err
		}
	}
	if p.depth > 0 {
		p.partial = append(p.partial, data[start:]...)
		if len(p.partial) > maxMessageBytes {
			return sse.ErrEventTooLong
		}
	}
	return nil
}

// scan updates the string and nesting state with the next byte.
func (p *objectParser) scan(char byte) {
	switch {
	case p.inString:
		p.inString = p.afterBackslash || char != '"'
		p.afterBackslash = !p.afterBackslash && char == '\\'
	case char == '"':
		p.inString = true
	case char == '{' || char == '[':
		p.depth++
	case char == '}' || char == ']':
		p.depth--
	}
}

// reset prepares the parser for the next object. It reuses the buffer unless the buffer is large.
func (p *objectParser) reset(buffer []byte) {
	p.startedAt = 0
	p.partial = buffer[:0]
	if cap(buffer) > maxIdleBufferBytes {
		p.partial = nil
	}
}

func isSpace(char byte) bool { return char == ' ' || char == '\t' || char == '\r' || char == '\n' }
