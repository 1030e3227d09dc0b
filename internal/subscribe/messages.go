package subscribe

import (
	"plumspindle/internal/eventloop"
	"plumspindle/internal/sse"
)

const (
	// maxMessage is the size in bytes above which a message is rejected.
	maxMessage = 8 << 20
	// maxIdleBuffer is the capacity in bytes that a parser retains between two messages.
	maxIdleBuffer = 4 << 10
)

// messageParser cuts the body of a response into messages, however its bytes arrive.
type messageParser interface {
	// feed parses bytes that arrived at a time, and delivers each message that they complete. It stops at the first
	// error. A message's bytes are valid only until deliver returns.
	feed(now eventloop.Micros, data []byte, deliver func(message []byte) error) error
	// incompleteSince returns when the message began that is not complete yet. 0: there is none, or it is not known.
	incompleteSince() eventloop.Micros
}

func newMessageParser(format Format) messageParser {
	if format == JSONObjects {
		return &objectParser{}
	}
	return &eventParser{sse.Parser{MaxEventBytes: maxMessage}}
}

// eventParser reads text/event-stream.
type eventParser struct{ events sse.Parser }

func (p *eventParser) feed(_ eventloop.Micros, data []byte, deliver func([]byte) error) error {
	return p.events.Feed(data, deliver)
}

func (p *eventParser) incompleteSince() eventloop.Micros { return 0 }

// objectParser reads a sequence of JSON objects. It only finds where each one ends.
type objectParser struct {
	buffered []byte           // of an object whose end has not arrived
	beganAt  eventloop.Micros // when that object began; 0: there is none
	depth    int              // of open braces and brackets
	quoted   bool             // within a string
	escaped  bool             // behind a backslash in a string
}

func (p *objectParser) incompleteSince() eventloop.Micros { return p.beganAt }

func (p *objectParser) feed(now eventloop.Micros, data []byte, deliver func([]byte) error) error {
	start := 0 // of the object's part in data
	for i, char := range data {
		if p.depth == 0 {
			if isSpace(char) {
				continue
			}
			if char != '{' {
				return errNotObject
			}
			start, p.beganAt = i, now
		}
		p.scan(char)
		if p.depth > 0 {
			continue
		}
		message := append(p.buffered, data[start:i+1]...)
		p.reset(message)
		if err := deliver(message); err != nil {
			return err
		}
	}
	if p.depth > 0 {
		p.buffered = append(p.buffered, data[start:]...)
		if len(p.buffered) > maxMessage {
			return sse.ErrEventTooLong
		}
	}
	return nil
}

// scan follows strings and nesting by one byte.
func (p *objectParser) scan(char byte) {
	switch {
	case p.quoted:
		p.quoted = p.escaped || char != '"'
		p.escaped = !p.escaped && char == '\\'
	case char == '"':
		p.quoted = true
	case char == '{' || char == '[':
		p.depth++
	case char == '}' || char == ']':
		p.depth--
	}
}

// reset prepares for the next object; the buffer of a large one is not retained.
func (p *objectParser) reset(buffer []byte) {
	p.beganAt = 0
	p.buffered = buffer[:0]
	if cap(buffer) > maxIdleBuffer {
		p.buffered = nil
	}
}

func isSpace(char byte) bool { return char == ' ' || char == '\t' || char == '\r' || char == '\n' }
