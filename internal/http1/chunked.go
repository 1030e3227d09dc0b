package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// maxChunkLineBytes limits the length of the lines that delimit chunks and of the lines of the trailer.
const maxChunkLineBytes = 256

// chunkSizeBits limits the size of one chunk: sizes of 2 GB and more are malformed.
const chunkSizeBits = 31

// parseChunkLine parses a line of the chunked coding: the size of a chunk, the line end after its data, or a field of
// the trailer. It returns the bytes that follow the line.
func (p *Parser) parseChunkLine(b []byte, handler Handler) (rest []byte, err error) {
	at := bytes.IndexByte(b, '\n')
	if at < 0 {
		p.partial = append(p.partial, b...)
		if len(p.partial) > maxChunkLineBytes {
			return nil, protocolError(ErrMalformed, "a line of the chunked body is too long")
		}
		return nil, nil
	}
	line, rest := b[:at+1], b[at+1:]
	if len(p.partial) > 0 {
		p.partial = append(p.partial, line...)
		line = p.partial
	}
	text, complete := bytes.CutSuffix(line, []byte("\r\n"))
	if len(line) > maxChunkLineBytes || !complete {
		return nil, protocolError(ErrMalformed, "a malformed line in the chunked body")
	}
	p.partial = p.partial[:0] // text may share memory with p.partial, but is used before p.partial grows
	switch p.state {
	case inChunkSize:
		return rest, p.parseChunkSize(string(text))
	case inChunkEnd:
		if len(text) > 0 {
			return nil, protocolError(ErrMalformed, "a chunk is longer than its size")
		}
		p.state = inChunkSize
	case inTrailer:
		if len(text) == 0 {
			return rest, p.endMessage(handler, len(rest))
		}
	}
	return rest, nil
}

// parseChunkSize parses the size of a chunk, and ignores chunk extensions.
func (p *Parser) parseChunkSize(text string) error {
	digits, _, _ := strings.Cut(text, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, chunkSizeBits)
	if err != nil {
		return protocolError(ErrMalformed, "malformed chunk size %.20q", text)
	}
	p.remaining = int64(size)
	p.state = inChunk
	if size == 0 {
		p.state = inTrailer
	}
	return nil
}
