// Package sse parses and writes server-sent events (text/event-stream). It does no I/O: the caller feeds a Parser the
// bytes of a stream as they arrive, in pieces of any size.
//
// A Parser owns the part of an event that has arrived. It has no timers and starts no goroutines, and its caller has to
// feed it from one goroutine at a time. It never buffers more than its limit for one event. It reads only the data
// field of events and ignores the other fields.
package sse

import (
	"bytes"
	"errors"
)

// ErrEventTooLong is the error for an event that exceeds Parser.MaxEventBytes.
var ErrEventTooLong = errors.New("a streamed event is too long")

var dataField = []byte("data")

// Parser extracts the data of events. It skips comments and events without data. Lines may end with LF, CRLF or CR, as
// the specification allows. Its zero value with MaxEventBytes set is ready for use.
type Parser struct {
	MaxEventBytes int

	line    []byte // the part of an incomplete line that has arrived
	data    []byte // the data of the event whose end has not arrived
	hasData bool
	afterCR bool // the last line ended with a CR, so an LF that follows belongs to its line end
}

// Idle reports whether the parser holds no part of an incomplete event.
func (p *Parser) Idle() bool { return len(p.line) == 0 && !p.hasData }

// Feed parses the next bytes and calls handle for each event that they complete. The slice passed to handle is valid
// only until handle returns. If handle returns an error, Feed stops and returns that error.
func (p *Parser) Feed(chunk []byte, handle func(data []byte) error) error {
	for len(chunk) > 0 {
		if p.afterCR && chunk[0] == '\n' {
			p.afterCR = false
			chunk = chunk[1:]
			continue
		}
		p.afterCR = false
		lineEnd := bytes.IndexAny(chunk, "\r\n")
		if lineEnd < 0 {
			p.line = append(p.line, chunk...)
			return p.checkLength(len(p.line))
		}
		line := chunk[:lineEnd]
		if len(p.line) > 0 {
			p.line = append(p.line, line...)
			line = p.line
		}
		p.afterCR = chunk[lineEnd] == '\r'
		chunk = chunk[lineEnd+1:]
		if err := p.checkLength(len(line)); err != nil {
			return err
		}
		err := p.completeLine(line, handle)
		p.line = p.line[:0]
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *Parser) checkLength(lineBytes int) error {
	if lineBytes+len(p.data) > p.MaxEventBytes {
		return ErrEventTooLong
	}
	return nil
}

// completeLine handles a line whose end has arrived.
func (p *Parser) completeLine(line []byte, handle func([]byte) error) error {
	if len(line) == 0 {
		return p.completeEvent(handle)
	}
	value, ok := bytes.CutPrefix(line, dataField)
	if !ok || len(value) > 0 && value[0] != ':' {
		return nil
	}
	if len(value) > 0 {
		value = bytes.TrimPrefix(value[1:], []byte(" "))
	}
	if p.hasData {
		p.data = append(p.data, '\n')
	}
	p.data = append(p.data, value...)
	p.hasData = true
	return nil
}

// completeEvent handles the empty line that ends an event.
func (p *Parser) completeEvent(handle func([]byte) error) error {
	if !p.hasData {
		return nil
	}
	data := p.data
	p.data, p.hasData = p.data[:0], false
	return handle(data)
}

// Append appends one event to b, with a separate data field for each line of its data.
func Append(b, data []byte) []byte {
	for more := true; more; {
		var line []byte
		line, data, more = bytes.Cut(data, []byte("\n"))
		b = append(b, "data: "...)
		b = append(b, line...)
		b = append(b, '\n')
	}
	return append(b, '\n')
}
