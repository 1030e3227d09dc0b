// Package sse parses and writes server-sent events (text/event-stream). It does no I/O: the caller feeds a Parser the
// bytes of a stream as they arrive, cut anywhere.
//
// A Parser owns the part of an event that has arrived; it has no timers and starts no goroutine. It relies on its
// caller to feed it from one goroutine at a time, and never buffers more than its limit for one event. Of the fields
// of an event only the data is read.
package sse

import (
	"bytes"
	"errors"
)

// ErrEventTooLong is the error of an event that exceeds Parser.MaxEventBytes.
var ErrEventTooLong = errors.New("a streamed event is too long")

var dataField = []byte("data")

// Parser extracts the data of events. Comments and events without data are skipped. Lines end with LF, CRLF or CR, as
// the specification allows. Its zero value with MaxEventBytes set is ready for use.
type Parser struct {
	MaxEventBytes int

	line    []byte // the part of a line that has arrived
	data    []byte // of the event whose end has not arrived
	hasData bool
	afterCR bool // the last line ended with a CR: an LF that follows belongs to it
}

// Idle reports whether no part of an event is waiting for its rest.
func (p *Parser) Idle() bool { return len(p.line) == 0 && !p.hasData }

// Feed parses the next bytes and calls handle for each event that they complete. The data are valid only until handle
// returns. The first error of handle ends the parsing and is returned.
func (p *Parser) Feed(chunk []byte, handle func(data []byte) error) error {
	for len(chunk) > 0 {
		if p.afterCR && chunk[0] == '\n' {
			p.afterCR = false
			chunk = chunk[1:]
			continue
		}
		p.afterCR = false
		at := bytes.IndexAny(chunk, "\r\n")
		if at < 0 {
			p.line = append(p.line, chunk...)
			return p.checkLength(len(p.line))
		}
		line := chunk[:at]
		if len(p.line) > 0 {
			p.line = append(p.line, line...)
			line = p.line
		}
		p.afterCR = chunk[at] == '\r'
		chunk = chunk[at+1:]
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

func (p *Parser) completeEvent(handle func([]byte) error) error {
	if !p.hasData {
		return nil
	}
	data := p.data
	p.data, p.hasData = p.data[:0], false
	return handle(data)
}

// Append appends one event to b, with each line of its data as a line of its own.
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
