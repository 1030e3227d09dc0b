package http1

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

// Parser parses the messages of one connection, one after the other. Its zero value with Limits set is ready for use.
type Parser struct {
	Response bool // parse responses, not requests
	Limits   Limits

	state     state
	partial   []byte // the part of the head, or of a line of the chunked coding, that has arrived
	left      int64  // bytes of the body or chunk that have not arrived
	bodyRead  int    // bytes of this body that have arrived
	bodyLimit int    // bytes that this body may have
	buffered  []byte // what has arrived while paused
	pipelined int    // bytes behind the message that has just ended
}

// Pipelined returns how many bytes arrived together with the message that has just ended, behind it. It is meant for
// use within Handler.End.
func (p *Parser) Pipelined() int { return p.pipelined }

// Idle reports whether no part of a message has been parsed since the last one ended.
func (p *Parser) Idle() bool {
	return (p.state == inHead || p.state == paused) && len(p.partial) == 0
}

// Pause buffers what follows the message that has just ended, until Resume. It is meant for use within Handler.End.
func (p *Parser) Pause() { p.state = paused }

// Resume ends a pause and parses what was buffered.
func (p *Parser) Resume(handler Handler) error {
	if p.state != paused {
		return nil
	}
	p.state = inHead
	return p.Feed(p.TakeBuffered(), handler)
}

// Buffered returns how many bytes have arrived while paused.
func (p *Parser) Buffered() int { return len(p.buffered) }

// TakeBuffered hands the bytes that have arrived while paused over to the caller.
func (p *Parser) TakeBuffered() []byte {
	b := p.buffered
	p.buffered = nil
	return b
}

// Feed parses the next bytes of the connection. After an error the parser must not be used again.
func (p *Parser) Feed(data []byte, handler Handler) error {
	for len(data) > 0 {
		var err error
		switch p.state {
		case paused:
			p.buffered = append(p.buffered, data...)
			return nil
		case inHead:
			data, err = p.head(data, handler)
		case inBody, inChunk:
			data, err = p.sizedBody(data, handler)
		case untilClose:
			err = p.deliver(data, handler)
			data = nil
		default:
			data, err = p.chunkLine(data, handler)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Close ends the parsing when the connection has ended. A message that is not complete by then is an error.
func (p *Parser) Close(handler Handler) error {
	switch {
	case p.state == untilClose:
		return p.end(handler, 0)
	case p.Idle():
		return nil
	}
	return protocolError(ErrTruncated, "the message was cut short")
}

// sizedBody parses bytes of a body or chunk whose length is known, and returns what follows it.
func (p *Parser) sizedBody(b []byte, handler Handler) (rest []byte, err error) {
	n := int(min(int64(len(b)), p.left))
	p.left -= int64(n)
	if err := p.deliver(b[:n], handler); err != nil {
		return nil, err
	}
	rest = b[n:]
	switch {
	case p.left > 0:
		return rest, nil
	case p.state == inChunk:
		p.state = inChunkEnd
		return rest, nil
	default:
		return rest, p.end(handler, len(rest))
	}
}

func (p *Parser) deliver(b []byte, handler Handler) error {
	if p.bodyRead += len(b); !p.Response && p.bodyRead > p.bodyLimit {
		return protocolError(ErrBodyTooLarge, "the body is larger than %d bytes", p.bodyLimit)
	}
	return handler.Body(b)
}

func (p *Parser) end(handler Handler, pipelined int) error {
	p.state, p.bodyRead, p.partial, p.pipelined = inHead, 0, p.partial[:0], pipelined
	return handler.End()
}
