package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	protocolPrefix = "HTTP/1." // followed by one digit, the minor version
	// maxReusedHeadBytes is the size of the largest head buffer that is kept for reuse, so that an idle connection doesn't
	// hold a larger one.
	maxReusedHeadBytes = 4 << 10
	// contentLengthBits limits Content-Length: values of 2^62 and more are malformed.
	contentLengthBits = 62
)

var headEnd = []byte("\r\n\r\n")

// parseHeadBytes collects the bytes of a head, parses the head once it is complete, and returns the bytes that follow
// it.
func (p *Parser) parseHeadBytes(b []byte, handler Handler) (rest []byte, err error) {
	if len(p.partial) == 0 {
		if b = p.skipEmptyLines(b); len(b) == 0 {
			return nil, nil
		}
	}
	text, rest, complete, err := p.collectHead(b)
	if err != nil || !complete {
		return nil, err
	}
	h, err := p.parseHead(text)
	if err != nil {
		return nil, err
	}
	p.partial = p.partial[:0]
	if cap(p.partial) > maxReusedHeadBytes {
		p.partial = nil
	}
	if p.Response && h.Status < http.StatusOK && h.Status != http.StatusSwitchingProtocols {
		return rest, nil // skip an interim response
	}
	if err := p.setFraming(h); err != nil {
		return nil, err
	}
	if err := handler.Head(h); err != nil {
		return nil, err
	}
	if p.state == inBody && p.remaining == 0 {
		return rest, p.endMessage(handler, len(rest))
	}
	return rest, nil
}

// skipEmptyLines drops the empty lines that may precede a request line.
func (p *Parser) skipEmptyLines(b []byte) []byte {
	if p.Response {
		return b
	}
	return bytes.TrimLeft(b, "\r\n")
}

// collectHead appends data to the part of the head that has arrived. Once the head is complete, it returns the text of
// the head without the empty line at its end, and the bytes that follow the head. It copies none of these, because they
// may be many more heads.
func (p *Parser) collectHead(data []byte) (text string, rest []byte, complete bool, err error) {
	limit := p.Limits.HeadBytes + len(headEnd)
	taken := data[:min(len(data), max(limit-len(p.partial), 0))]
	size, complete := p.findHeadEnd(taken)
	if complete {
		taken = taken[:size]
	}
	p.partial = append(p.partial, taken...)
	if n := min(len(p.partial), len(protocolPrefix)); p.Response && string(p.partial[:n]) != protocolPrefix[:n] {
		// Bytes that are not HTTP may never contain the end of a head, so the error is reported without waiting for that end.
		return "", nil, false, protocolError(ErrMalformed, "no status line but %.20q", p.partial)
	}
	if complete {
		return string(p.partial[:len(p.partial)-len(headEnd)]), data[size:], true, nil
	}
	if len(taken) < len(data) || len(p.partial) >= limit {
		return "", nil, false, protocolError(ErrHeadTooLarge, "the head is larger than %d bytes", p.Limits.HeadBytes)
	}
	return "", nil, false, nil
}

// findHeadEnd returns how many bytes of data belong to the head, including the empty line at its end. It reports false
// if the head does not end in data. The end may have begun in the part of the head that has arrived before.
func (p *Parser) findHeadEnd(data []byte) (size int, found bool) {
	overlap := min(len(p.partial), len(headEnd)-1)
	seam := append(make([]byte, 0, 2*len(headEnd)), p.partial[len(p.partial)-overlap:]...)
	seam = append(seam, data[:min(len(data), len(headEnd)-1)]...)
	if at := bytes.Index(seam, headEnd); at >= 0 {
		return at + len(headEnd) - overlap, true
	}
	at := bytes.Index(data, headEnd)
	return at + len(headEnd), at >= 0
}

func (p *Parser) parseHead(text string) (*Head, error) {
	startLine, fields, _ := strings.Cut(text, "\r\n")
	h := &Head{}
	if err := p.parseStartLine(h, startLine); err != nil {
		return nil, err
	}
	for fields != "" {
		var line string
		line, fields, _ = strings.Cut(fields, "\r\n")
		field, err := parseField(line)
		if err != nil {
			return nil, err
		}
		if h.Fields = append(h.Fields, field); len(h.Fields) > p.Limits.FieldCount {
			return nil, protocolError(ErrHeadTooLarge, "more than %d fields", p.Limits.FieldCount)
		}
	}
	return h, nil
}

func (p *Parser) parseStartLine(h *Head, line string) error {
	if p.Response {
		return h.parseStatusLine(line)
	}
	return h.parseRequestLine(line)
}

func (h *Head) parseStatusLine(line string) error {
	protocol, code, ok := strings.Cut(line, " ")
	if !ok || len(code) < 3 {
		return protocolError(ErrMalformed, "malformed status line %.40q", line)
	}
	status, err := strconv.Atoi(code[:3])
	if err != nil || status < http.StatusContinue {
		return protocolError(ErrMalformed, "malformed status %.40q", line)
	}
	h.Status = status
	if !h.parseVersion(protocol) {
		return protocolError(ErrMalformed, "unknown protocol %.20q", protocol)
	}
	return nil
}

func (h *Head) parseRequestLine(line string) error {
	method, rest, _ := strings.Cut(line, " ")
	target, protocol, complete := strings.Cut(rest, " ")
	if !complete || target == "" || !isToken(method) || strings.Contains(protocol, " ") {
		return protocolError(ErrMalformed, "malformed request line %.40q", line)
	}
	h.Method, h.Target = method, target
	if !h.parseVersion(protocol) {
		return protocolError(ErrUnsupportedVersion, "unknown protocol %.20q", protocol)
	}
	return nil
}

func (h *Head) parseVersion(protocol string) bool {
	minor, ok := strings.CutPrefix(protocol, protocolPrefix)
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return false
	}
	h.MinorVersion = int(minor[0] - '0')
	return true
}

func parseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return Field{}, protocolError(ErrMalformed, "malformed field %.40q", line)
	}
	value = strings.Trim(value, " \t")
	if strings.ContainsAny(value, "\r\n\x00") {
		return Field{}, protocolError(ErrMalformed, "a control byte in field %q", name)
	}
	return Field{name, value}, nil
}

// isToken reports whether s is a token as defined by RFC 9110. Methods and field names must be tokens.
func isToken(s string) bool {
	for i := range len(s) {
		if c := s[i]; !isLetter(c) && !isDigit(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// setFraming determines how the body of a message is delimited, and sets the parser's state accordingly.
func (p *Parser) setFraming(h *Head) error {
	length, coding, err := framingFields(h)
	if err != nil {
		return err
	}
	p.bodyRead, p.bodyLimit = 0, p.Limits.BodyBytes
	if p.Limits.BodyBytesFor != nil {
		p.bodyLimit = p.Limits.BodyBytesFor(h.Target)
	}
	switch {
	case coding != "" && length != "":
		return protocolError(ErrMalformed, "both a length and a transfer coding")
	case coding == "chunked":
		p.state, h.ContentLength = inChunkSize, UnknownLength
	case coding != "":
		return protocolError(ErrUnsupportedCoding, "unknown transfer coding %.20q", coding)
	case p.Response && (h.Status == http.StatusNoContent || h.Status == http.StatusNotModified):
		p.state, p.remaining = inBody, 0
	case length != "":
		return p.setContentLength(h, length)
	case p.Response:
		p.state, h.ContentLength = inBodyUntilClose, UnknownLength
	default:
		p.state, p.remaining = inBody, 0
	}
	return nil
}

// framingFields returns the values of Content-Length and Transfer-Encoding. Content-Length may be repeated with the
// same value.
func framingFields(h *Head) (length, coding string, err error) {
	for _, f := range h.Fields {
		switch {
		case strings.EqualFold(f.Name, "Content-Length"):
			if length != "" && length != f.Value {
				return "", "", protocolError(ErrMalformed, "two lengths, %.20q and %.20q", length, f.Value)
			}
			length = f.Value
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if coding != "" {
				return "", "", protocolError(ErrMalformed, "two transfer codings")
			}
			coding = strings.ToLower(f.Value)
		}
	}
	return length, coding, nil
}

// setContentLength prepares the parser for a body with the length given by Content-Length.
func (p *Parser) setContentLength(h *Head, length string) error {
	n, err := strconv.ParseUint(length, 10, contentLengthBits)
	if err != nil {
		return protocolError(ErrMalformed, "malformed length %.20q", length)
	}
	if !p.Response && n > uint64(p.bodyLimit) {
		return protocolError(ErrBodyTooLarge, "the body of %d bytes is larger than %d", n, p.bodyLimit)
	}
	p.state, p.remaining, h.ContentLength = inBody, int64(n), int64(n)
	return nil
}
