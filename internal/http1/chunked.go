package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// maxChunkLineBytes is the length limit of the lines that delimit chunks, and of those of the trailer.
const maxChunkLineBytes = 256

// chunkSizeBits limits the size of one chunk: sizes of 2 GB and more are malformed.
const chunkSizeBits = 31

// chunkLine parses a line of the chunked coding: the size of a chunk, its end, or a field of the trailer. It returns
// what follows the line.
func (p *Parser) chunkLine(b []byte, handler Handler) (rest []byte, err error) {
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
	p.partial = p.partial[:0] // text may point into it, and is used before anything is appended
	switch p.state {
	case inChunkSize:
		return rest, p.chunkSize(string(text))
	case inChunkEnd:
		if len(text) > 0 {
			return nil, protocolError(ErrMalformed, "a chunk is longer than its size")
		}
		p.state = inChunkSize
	case inTrailer:
		if len(text) == 0 {
			return rest, p.end(handler, len(rest))
		}
	}
	return rest, nil
}

// chunkSize parses the size of a chunk; extensions behind it are ignored.
func (p *Parser) chunkSize(text string) error {
	digits, _, _ := strings.Cut(text, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, chunkSizeBits)
	if err != nil {
		return protocolError(ErrMalformed, "malformed chunk size %.20q", text)
	}
	p.left = int64(size)
	p.state = inChunk
	if size == 0 {
		p.state = inTrailer
	}
	return nil
}
