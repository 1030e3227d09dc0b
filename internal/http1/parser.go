package http1

// state is the part of a message that the parser expects next.
type state uint8

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	inBodyUntilClose
	paused
)

// Parser parses the messages of one connection in sequence. Its zero value with Limits set is ready for use.
type Parser struct {
	Response bool // parse responses instead of requests
	Limits   Limits

	state     state
	partial   []byte // the part of the head, or of a line of the chunked coding, that has arrived
	remaining int64  // bytes of the current body or chunk that have not arrived
	bodyRead  int    // bytes of the current body that have arrived
	bodyLimit int    // maximum size of the current body in bytes
	buffered  []byte // bytes that have arrived while paused
	pipelined int    // bytes that arrived after the message that has just ended, in the same call of Feed
}

// Pipelined returns how many bytes of the data passed to Feed follow the message that has just ended. It is meant to be
// called from Handler.End.
func (p *Parser) Pipelined() int { return p.pipelined }

// Idle reports whether no part of a message has been parsed since the last one ended.
func (p *Parser) Idle() bool {
	return (p.state == inHead || p.state == paused) && len(p.partial) == 0
}

// Pause makes the parser buffer the bytes that follow the message that has just ended, until Resume is called. It is
// meant to be called from Handler.End.
func (p *Parser) Pause() { p.state = paused }

// Resume ends a pause and parses the buffered bytes.
func (p *Parser) Resume(handler Handler) error {
	if p.state != paused {
		return nil
	}
	p.state = inHead
	buffered := p.buffered
	p.buffered = nil
	rest, err := p.Parse(buffered, handler)
	p.buffered = rest
	return err
}

// Buffered returns how many bytes have arrived while paused.
func (p *Parser) Buffered() int { return len(p.buffered) }

// Feed parses the next bytes of the connection, and buffers those that follow a pause. After an error the parser must
// not be used again.
func (p *Parser) Feed(data []byte, handler Handler) error {
	rest, err := p.Parse(data, handler)
	p.buffered = append(p.buffered, rest...)
	return err
}

// Parse parses the next bytes of the connection, and returns those that follow a pause without a copy. After an error
// the parser must not be used again.
func (p *Parser) Parse(data []byte, handler Handler) (rest []byte, err error) {
	for len(data) > 0 {
		switch p.state {
		case paused:
			return data, nil
		case inHead:
			data, err = p.parseHeadBytes(data, handler)
		case inBody, inChunk:
			data, err = p.parseSizedBody(data, handler)
		case inBodyUntilClose:
			err = p.deliverBody(data, handler)
			data = nil
		default:
			data, err = p.parseChunkLine(data, handler)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// Close has to be called when the connection has ended. It ends a body that is delimited by the connection's end, and
// returns an error if a message is incomplete.
func (p *Parser) Close(handler Handler) error {
	switch {
	case p.state == inBodyUntilClose:
		return p.endMessage(handler, 0)
	case p.Idle():
		return nil
	}
	return protocolError(ErrTruncated, "the message was cut short")
}

// parseSizedBody parses bytes of a body or chunk of known length, and returns the bytes that follow it.
func (p *Parser) parseSizedBody(b []byte, handler Handler) (rest []byte, err error) {
	n := int(min(int64(len(b)), p.remaining))
	p.remaining -= int64(n)
	if err := p.deliverBody(b[:n], handler); err != nil {
		return nil, err
	}
	rest = b[n:]
	switch {
	case p.remaining > 0:
		return rest, nil
	case p.state == inChunk:
		p.state = inChunkEnd
		return rest, nil
	default:
		return rest, p.endMessage(handler, len(rest))
	}
}

// deliverBody passes bytes of the body to the handler, unless a request's body exceeds its limit.
func (p *Parser) deliverBody(b []byte, handler Handler) error {
	if p.bodyRead += len(b); !p.Response && p.bodyRead > p.bodyLimit {
		return protocolError(ErrBodyTooLarge, "the body is larger than %d bytes", p.bodyLimit)
	}
	return handler.Body(b)
}

// endMessage reports the end of a message, which is followed by the given number of bytes.
func (p *Parser) endMessage(handler Handler, pipelined int) error {
	p.state, p.bodyRead, p.partial, p.pipelined = inHead, 0, p.partial[:0], pipelined
	return handler.End()
}
