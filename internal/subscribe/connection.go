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
	client       *Client
	conn         eventloop.Conn
	response     http1.Parser
	messages     messageParser
	silenceTimer eventloop.Timeout // limits how long the source may send nothing
	responded    bool              // the head of a response with status 200 was received
	delivered    bool              // a message was accepted
	superseded   bool              // the address has changed; messages are accepted until the new connection gets data
	dropped      bool              // all data that is still received is ignored
}

func newConnection(client *Client) *connection {
	return &connection{
		client:   client,
		response: http1.Parser{Response: true, Limits: http1.DefaultLimits},
		messages: newMessageParser(client.options.Format),
	}
}

// open dials with a reserved file descriptor, so that it can connect even if clients use all other descriptors.
func (c *connection) open() {
	client := c.client
	c.conn = client.loop.DialReserved(client.address, connectTimeout, c)
	if client.options.ResponseTimeout > 0 {
		c.silenceTimer.Set(client.loop, client.options.ResponseTimeout, c.onSilence)
	}
}

// drop aborts a connection whose messages are no longer needed.
func (c *connection) drop() {
	c.dropped = true
	c.silenceTimer.Clear()
	c.conn.Abort()
}

// onSilence handles the timeout for a source that has sent nothing, or has not completed a message, for too long. A
// connection with an incomplete message is never moved to standby, because the arrival of the remaining bytes would be
// mistaken for a sign that the source works again.
func (c *connection) onSilence() {
	client := c.client
	if !client.options.Standby || c.messages.incompleteSince() > 0 {
		c.conn.Abort()
		return
	}
	if c == client.current {
		client.current = nil
		client.moveToStandby(c)
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
		c.silenceTimer.Set(client.loop, client.options.SilenceTimeout, c.onSilence)
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
	c.silenceTimer.Set(client.loop, client.options.SilenceTimeout, c.onSilence)
	if err := c.response.Feed(data, c); err != nil {
		c.rejectMessage(err)
		return
	}
	if since := c.messages.incompleteSince(); since > 0 { // the timeout covers a whole message, however slowly it arrives
		remaining := max(since+client.options.SilenceTimeout-client.loop.Now(), 0)
		c.silenceTimer.Set(client.loop, remaining, c.onSilence)
	}
}

// rejectMessage aborts a connection on which an invalid response or message was received. The event loop then calls
// Closed, which retries.
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

// End implements http1.Handler. The end of the response is an error, as a subscription never ends by itself.
func (c *connection) End() error { return errEnded }

func (c *connection) deliver(message []byte) error {
	if err := c.client.options.OnMessage(message); err != nil {
		return err
	}
	c.delivered = true
	c.client.backoff.reset()
	return nil
}

// Closed implements eventloop.Handler. If the connection was the current one, the client retries; a standby connection
// is only removed from the list.
func (c *connection) Closed(cause error) {
	client := c.client
	c.silenceTimer.Clear()
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
