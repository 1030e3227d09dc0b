package subscribe

import (
	"errors"
	"net/http"
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// connection is one connection to the source.
type connection struct {
	client     *Client
	conn       eventloop.Conn
	response   http1.Parser
	messages   messageParser
	silence    eventloop.Timeout // until the source has to send something
	responded  bool              // the head of the response was received
	delivered  bool              // a message of it was accepted
	superseded bool              // its address was replaced; it counts until the new one has received something
	dropped    bool              // nothing that it still receives counts
}

func newConnection(client *Client) *connection {
	return &connection{
		client:   client,
		response: http1.Parser{Response: true, Limits: http1.DefaultLimits},
		messages: newMessageParser(client.options.Format),
	}
}

// open dials with a spare descriptor: a subscription has to come up also while clients occupy all others.
func (c *connection) open() {
	client := c.client
	c.conn = client.loop.DialReserved(client.address, connectTimeout, c)
	if client.options.ResponseTimeout > 0 {
		c.silence.Set(client.loop, client.options.ResponseTimeout, c.silent)
	}
}

// drop aborts a connection whose messages no longer count.
func (c *connection) drop() {
	c.dropped = true
	c.silence.Clear()
	c.conn.Abort()
}

// silent handles a source that has sent nothing, or has not come to the end of a message, for too long. A connection
// with half a message is never put on standby: the rest would be taken for a sign that the source is back.
func (c *connection) silent() {
	client := c.client
	if !client.options.Standby || c.messages.incompleteSince() > 0 {
		c.conn.Abort()
		return
	}
	if c == client.current {
		client.current = nil
		client.toStandby(c)
		client.retry(errSilent, c.delivered)
	}
}

// Opened implements eventloop.Handler: it sends the request.
func (c *connection) Opened() {
	if c.dropped {
		c.conn.Abort()
		return
	}
	client := c.client
	fields := append([]string{"Accept", "text/event-stream"}, client.options.Fields...)
	request := http1.Request{Method: "GET", Target: client.options.Target(), Host: client.address}
	c.conn.Write(http1.AppendRequest(nil, request, fields...))
	if client.options.ResponseTimeout == 0 {
		c.silence.Set(client.loop, client.options.SilenceTimeout, c.silent)
	}
}

// Drained implements eventloop.Handler.
func (c *connection) Drained() {}

// Data implements eventloop.Handler.
func (c *connection) Data(data []byte) {
	if c.dropped {
		return
	}
	client := c.client
	if c.responded {
		client.makeCurrent(c)
	}
	c.silence.Set(client.loop, client.options.SilenceTimeout, c.silent)
	if err := c.response.Feed(data, c); err != nil {
		c.rejectMessage(err)
		return
	}
	if since := c.messages.incompleteSince(); since > 0 { // a message that trickles in is given no further time
		remaining := max(since+client.options.SilenceTimeout-client.loop.Now(), 0)
		c.silence.Set(client.loop, remaining, c.silent)
	}
}

// rejectMessage closes a connection on which something unusable was received; Closed follows.
func (c *connection) rejectMessage(cause error) {
	options := &c.client.options
	var gap *GapError
	if errors.As(cause, &gap) {
		options.OnReset()
	}
	options.Log.Warn().Str("source", options.Source).Err(cause).Msg("subscription message rejected")
	c.conn.Abort()
}

// Head implements http1.Handler.
func (c *connection) Head(head *http1.Head) error {
	if head.Status != http.StatusOK {
		return &StatusError{Status: head.Status}
	}
	c.responded = true
	c.client.makeCurrent(c)
	return nil
}

// Body implements http1.Handler.
func (c *connection) Body(data []byte) error {
	return c.messages.feed(c.client.loop.Now(), data, c.deliver)
}

// End implements http1.Handler: a subscription has no end.
func (c *connection) End() error { return errEnded }

func (c *connection) deliver(message []byte) error {
	if err := c.client.options.OnMessage(message); err != nil {
		return err
	}
	c.delivered = true
	c.client.backoff.reset()
	return nil
}

// Closed implements eventloop.Handler: the current connection is replaced, any other one forgotten.
func (c *connection) Closed(cause error) {
	client := c.client
	c.silence.Clear()
	if c.dropped {
		return
	}
	c.dropped = true
	if client.current != c {
		client.standby = slices.DeleteFunc(client.standby, func(other *connection) bool { return other == c })
		return
	}
	client.current = nil
	if !client.closed {
		client.retry(cause, c.delivered)
	}
}
