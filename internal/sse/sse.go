// Package sse reads streamed events (text/event-stream) without any I/O, however their bytes are cut.
package sse

import (
	"bytes"
	"errors"
)

// Parser finds the data of each event; a comment or an event without data is passed over. Lines end with LF,
// CRLF or CR, as the specification lets them.
type Parser struct {
	MaxEventBytes int // bytes that one event may have
	line          []byte
	data          []byte
	hasData       bool
	wasCR         bool
	EventCount    int // how many events there were
}

// ErrEventTooLong is an event beyond the bound.
var ErrEventTooLong = errors.New("a streamed event is too long")

// Idle tells that no part of an event is waiting for its rest.
func (p *Parser) Idle() bool { return len(p.line) == 0 && !p.hasData }

// Feed takes the next bytes and calls each for every event that they complete; the data are the callee's
// only until it returns. It stops at the first error.
func (p *Parser) Feed(b []byte, each func(data []byte) error) error {
	for len(b) > 0 {
		if p.wasCR && b[0] == '\n' {
			p.wasCR = false
			b = b[1:]
			continue
		}
		p.wasCR = false
		at := bytes.IndexAny(b, "\r\n")
		if at < 0 {
			if p.line = append(p.line, b...); len(p.line)+len(p.data) > p.MaxEventBytes {
				return ErrEventTooLong
			}
			return nil
		}
		line := b[:at]
		if len(p.line) > 0 {
			p.line = append(p.line, line...)
			line = p.line
		}
		p.wasCR = b[at] == '\r'
		b = b[at+1:]
		if len(line)+len(p.data) > p.MaxEventBytes {
			return ErrEventTooLong
		}
		err := p.take(line, each)
		p.line = p.line[:0]
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *Parser) take(line []byte, each func([]byte) error) error {
	if len(line) == 0 {
		if !p.hasData {
			return nil
		}
		data := p.data
		p.data, p.hasData = p.data[:0], false
		p.EventCount++
		return each(data)
	}
	value, ok := bytes.CutPrefix(line, []byte("data"))
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

// Append adds one event, each line of its data as a line of its own.
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
