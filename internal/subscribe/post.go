package subscribe

import (
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// PostRequest is a POST request with a JSON body to a source.
type PostRequest struct {
	Address string
	Target  string
	Fields  []string // additional header fields, as alternating names and values
	Body    []byte
	Timeout eventloop.Micros // for the complete exchange, including the time to connect
}

// Post sends one request on a new connection. It calls done exactly once, with the status of the response, or with 0 if
// no complete response arrived within the timeout.
func Post(loop eventloop.Loop, request PostRequest, done func(status int)) {
	fields := slices.Concat(request.Fields, []string{"Content-Type", "application/json", "Connection", "close"})
	httpRequest := http1.Request{Method: "POST", Target: request.Target, Host: request.Address, Body: request.Body}
	p := &post{
		request:  http1.AppendRequest(nil, httpRequest, fields...),
		response: http1.Parser{Response: true, Limits: http1.DefaultLimits},
		done:     done,
	}
	p.timeout = loop.AfterFunc(request.Timeout, func() {
		p.finish(0)
		p.conn.Abort()
	})
	p.conn = loop.Dial(request.Address, connectTimeout, p)
}

// post is a request in progress.
type post struct {
	conn     eventloop.Conn
	request  []byte
	response http1.Parser
	timeout  eventloop.Timer
	status   int
	done     func(status int) // nil once it has been called
}

// Opened implements eventloop.Handler.
func (p *post) Opened() { p.conn.Write(p.request) }

// Drained implements eventloop.Handler.
func (p *post) Drained() {}

// Data implements eventloop.Handler.
func (p *post) Data(data []byte) {
	if p.response.Feed(data, p) != nil {
		p.conn.Abort()
	}
}

// Closed implements eventloop.Handler.
func (p *post) Closed(error) { p.finish(0) }

// Head implements http1.Handler.
func (p *post) Head(head *http1.Head) error {
	p.status = head.Status
	return nil
}

// Body implements http1.Handler. It ignores the body, as only the status is needed.
func (p *post) Body([]byte) error { return nil }

// End implements http1.Handler.
func (p *post) End() error {
	p.finish(p.status)
	p.conn.Close()
	return nil
}

func (p *post) finish(status int) {
	if p.done == nil {
		return
	}
	done := p.done
	p.done = nil
	p.timeout.Stop()
	done(status)
}
