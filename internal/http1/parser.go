// Package http1 reads and writes HTTP/1.1 messages without any I/O: it is fed bytes as they come, however they
// are cut, and tells of heads, bodies and ends. After RFC 9112; what that lets a receiver refuse is refused,
// as two readings of one message are how requests are smuggled.
package http1

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// ProtocolError is a message that can't be read; Status is what a server answers it with.
type ProtocolError struct {
	Status int
	Reason string
}

func (f *ProtocolError) Error() string { return f.Reason }

func fault(status int, format string, args ...any) *ProtocolError {
	return &ProtocolError{status, fmt.Sprintf(format, args...)}
}

// Limits limit what one message may take.
type Limits struct {
	HeadBytes  int // bytes of the start line and all fields
	FieldCount int
	BodyBytes  int // bytes; for a request
	// BodyBytesFor, where it is set, stands for Body by the request's target.
	BodyBytesFor func(target string) int
}

// DefaultLimits are bounds that common clients stay far below.
var DefaultLimits = Limits{HeadBytes: 32 << 10, FieldCount: 100, BodyBytes: 4 << 20}

// Field is one header field.
type Field struct{ Name, Value string }

// Head is a start line with its fields.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	MinorVersion   int    // HTTP/1.Minor
	Fields         []Field
	ContentLength  int64 // of the body; below zero where it is chunked or goes on until the close
}

// Get is the first field of a name, whatever the case of its letters.
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// KeepAlive tells whether the connection may carry another message after this one.
func (h *Head) KeepAlive() bool {
	c := strings.ToLower(h.Get("Connection"))
	if h.MinorVersion == 0 {
		return strings.Contains(c, "keep-alive")
	}
	return !strings.Contains(c, "close")
}

// Handler are told of each part of a message as it becomes known.
type Handler interface {
	Head(h *Head) error
	Body(b []byte) error // the bytes are the callee's only until it returns
	End() error
}

type state uint8

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	untilClose
	paused
)

// Parser reads one connection's messages in turn.
type Parser struct {
	Response bool // responses are read, else requests
	Limits   Limits

	state     state
	line      []byte // of the head, or of a chunk's size, as far as it has come
	left      int64
	body      int
	most      int    // bytes that this body may have
	buffered  []byte // what came while held
	pipelined int    // bytes behind the message that has just ended
}

// Pipelined is how many bytes came at once with the message that has just ended, behind it; for use within End.
func (p *Parser) Pipelined() int { return p.pipelined }

// Idle tells that nothing of a message has been read yet.
func (p *Parser) Idle() bool { return (p.state == inHead || p.state == paused) && len(p.line) == 0 }

// Pause keeps what follows the message that has just ended until Resume; for use within End.
func (p *Parser) Pause() { p.state = paused }

// Resume reads on.
func (p *Parser) Resume(ev Handler) error {
	if p.state != paused {
		return nil
	}
	p.state = inHead
	b := p.buffered
	p.buffered = nil
	return p.Feed(b, ev)
}

// Buffered is how many bytes came while held.
func (p *Parser) Buffered() int { return len(p.buffered) }

// TakeBuffered gives up what came while held, to one who keeps it elsewhere.
func (p *Parser) TakeBuffered() []byte {
	b := p.buffered
	p.buffered = nil
	return b
}

// Feed takes the next bytes.
func (p *Parser) Feed(b []byte, ev Handler) error {
	for len(b) > 0 {
		var err error
		switch p.state {
		case paused:
			p.buffered = append(p.buffered, b...)
			return nil
		case inHead:
			b, err = p.head(b, ev)
		case inBody, inChunk:
			n := int(min(int64(len(b)), p.left))
			p.left -= int64(n)
			if err = p.deliver(b[:n], ev); err != nil {
				return err
			}
			b = b[n:]
			if p.left == 0 {
				if p.state == inChunk {
					p.state = inChunkEnd
				} else {
					err = p.end(ev, len(b))
				}
			}
		case untilClose:
			err = p.deliver(b, ev)
			b = nil
		default:
			b, err = p.chunkLine(b, ev)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Close tells that no more will come. A message that was not complete by then is a fault.
func (p *Parser) Close(ev Handler) error {
	switch {
	case p.state == untilClose:
		return p.end(ev, 0)
	case p.Idle():
		return nil
	}
	return fault(400, "the message was cut short")
}

func (p *Parser) deliver(b []byte, ev Handler) error {
	if p.body += len(b); !p.Response && p.body > p.most {
		return fault(413, "the body is larger than %d bytes", p.most)
	}
	return ev.Body(b)
}

func (p *Parser) end(ev Handler, more int) error {
	p.state, p.body, p.line, p.pipelined = inHead, 0, p.line[:0], more
	return ev.End()
}

const protocol = "HTTP/1."

var headEnd = []byte("\r\n\r\n")

func (p *Parser) head(b []byte, ev Handler) ([]byte, error) {
	if len(p.line) == 0 {
		for len(b) > 0 && (b[0] == '\r' || b[0] == '\n') && !p.Response {
			b = b[1:] // empty lines before a request line are to be let pass
		}
		if len(b) == 0 {
			return nil, nil
		}
	}
	had := len(p.line)
	room := p.Limits.HeadBytes + len(headEnd) - had
	take := b[:min(len(b), max(room, 0))]
	p.line = append(p.line, take...)
	if n := min(len(p.line), len(protocol)); p.Response && string(p.line[:n]) != protocol[:n] {
		return nil, fault(400, "no status line but %.20q", p.line) // noise may never bring the end of a head
	}
	from := max(had-len(headEnd)+1, 0)
	at := bytes.Index(p.line[from:], headEnd)
	if at < 0 {
		if len(take) < len(b) || len(p.line) >= p.Limits.HeadBytes+len(headEnd) {
			return nil, fault(431, "the head is larger than %d bytes", p.Limits.HeadBytes)
		}
		return nil, nil
	}
	at += from
	rest := b[at+len(headEnd)-had:]
	h, err := p.parseHead(string(p.line[:at]))
	if err != nil {
		return nil, err
	}
	p.line = p.line[:0]
	if cap(p.line) > 4<<10 {
		p.line = nil
	}
	if p.Response && h.Status < 200 && h.Status != 101 {
		return rest, nil // an interim answer
	}
	if err := p.framing(h); err != nil {
		return nil, err
	}
	if err := ev.Head(h); err != nil {
		return nil, err
	}
	if p.state == inBody && p.left == 0 {
		return rest, p.end(ev, len(rest))
	}
	return rest, nil
}

func (p *Parser) parseHead(text string) (*Head, error) {
	first, rest, _ := strings.Cut(text, "\r\n")
	h := &Head{}
	if p.Response {
		proto, code, ok := strings.Cut(first, " ")
		if !ok || len(code) < 3 {
			return nil, fault(400, "malformed status line %.40q", first)
		}
		n, err := strconv.Atoi(code[:3])
		if err != nil || n < 100 {
			return nil, fault(400, "malformed status %.40q", first)
		}
		if h.Status = n; !h.version(proto) {
			return nil, fault(400, "unknown protocol %.20q", proto)
		}
	} else {
		parts := strings.Split(first, " ")
		if len(parts) != 3 || parts[0] == "" || parts[1] == "" || !token(parts[0]) {
			return nil, fault(400, "malformed request line %.40q", first)
		}
		if h.Method, h.Target = parts[0], parts[1]; !h.version(parts[2]) {
			return nil, fault(505, "unknown protocol %.20q", parts[2])
		}
	}
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) {
			return nil, fault(400, "malformed field %.40q", line)
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\r\n\x00") {
			return nil, fault(400, "a control byte in field %q", name)
		}
		if h.Fields = append(h.Fields, Field{name, value}); len(h.Fields) > p.Limits.FieldCount {
			return nil, fault(431, "more than %d fields", p.Limits.FieldCount)
		}
	}
	return h, nil
}

func (h *Head) version(proto string) bool {
	if len(proto) != 8 || proto[:7] != "HTTP/1." || proto[7] < '0' || proto[7] > '9' {
		return false
	}
	h.MinorVersion = int(proto[7] - '0')
	return true
}

// token tells whether a text is one by RFC 9110, as names must be.
func token(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// framing finds how the body is delimited.
func (p *Parser) framing(h *Head) error {
	var length, coding string
	for _, f := range h.Fields {
		switch {
		case strings.EqualFold(f.Name, "Content-Length"):
			if length != "" && length != f.Value {
				return fault(400, "two lengths, %.20q and %.20q", length, f.Value)
			}
			length = f.Value
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if coding != "" {
				return fault(400, "two transfer codings")
			}
			coding = strings.ToLower(f.Value)
		}
	}
	p.body, p.most = 0, p.Limits.BodyBytes
	if p.Limits.BodyBytesFor != nil {
		p.most = p.Limits.BodyBytesFor(h.Target)
	}
	switch {
	case coding != "" && length != "":
		return fault(400, "both a length and a transfer coding")
	case coding == "chunked":
		p.state, h.ContentLength = inChunkSize, -1
	case coding != "":
		return fault(501, "unknown transfer coding %.20q", coding)
	case p.Response && (h.Status == 204 || h.Status == 304):
		p.state, p.left = inBody, 0
	case length != "":
		n, err := strconv.ParseUint(length, 10, 62)
		if err != nil {
			return fault(400, "malformed length %.20q", length)
		}
		if !p.Response && n > uint64(p.most) {
			return fault(413, "the body of %d bytes is larger than %d", n, p.most)
		}
		p.state, p.left, h.ContentLength = inBody, int64(n), int64(n)
	case p.Response:
		p.state, h.ContentLength = untilClose, -1
	default:
		p.state, p.left = inBody, 0
	}
	return nil
}

const chunkLineMost = 256

// chunkLine reads the lines of the chunked coding: sizes, the ends of chunks and the trailer.
func (p *Parser) chunkLine(b []byte, ev Handler) ([]byte, error) {
	at := bytes.IndexByte(b, '\n')
	if at < 0 {
		p.line = append(p.line, b...)
		if len(p.line) > chunkLineMost {
			return nil, fault(400, "a line of the chunked body is too long")
		}
		return nil, nil
	}
	line := b[:at+1]
	if len(p.line) > 0 {
		p.line = append(p.line, line...)
		line = p.line
	}
	if len(line) > chunkLineMost || len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, fault(400, "a malformed line in the chunked body")
	}
	text := string(line[:len(line)-2])
	p.line = p.line[:0]
	b = b[at+1:]
	switch p.state {
	case inChunkSize:
		digits, _, _ := strings.Cut(text, ";")
		n, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
		if err != nil {
			return nil, fault(400, "malformed chunk size %.20q", text)
		}
		if p.left = int64(n); n == 0 {
			p.state = inTrailer
		} else {
			p.state = inChunk
		}
	case inChunkEnd:
		if text != "" {
			return nil, fault(400, "a chunk is longer than its size")
		}
		p.state = inChunkSize
	case inTrailer:
		if text == "" {
			return b, p.end(ev, len(b))
		}
	}
	return b, nil
}
