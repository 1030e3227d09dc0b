// Package subscribe subscribes to a source that pushes messages over HTTP. It opens the connection, splits the response
// into messages, detects that a source sends nothing any more, and retries with backoff. It owns the connections to the
// source and their timers. It uses package eventloop for time and sockets, and packages http1 and sse for parsing. It
// never interprets a message: the caller keeps track of versions and acts on messages.
package subscribe

import (
	"math/rand"
	"slices"

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
)

const (
	connectTimeout        = eventloop.Second
	defaultSilenceTimeout = 15 * eventloop.Second // much longer than the interval between a source's heartbeats
	defaultMinRetryDelay  = 200 * eventloop.Millisecond
	defaultMaxRetryDelay  = 5 * eventloop.Second
	// maxStandby is the largest number of silent connections that stay open in addition to the current one.
	maxStandby = 2
)

// Format is the format of a response, which determines how it is split into messages.
type Format uint8

const (
	// EventStream is text/event-stream (server-sent events), with comments as heartbeats.
	EventStream Format = iota
	// JSONObjects is a sequence of JSON objects, each on one or several lines, with white space between them as
	// heartbeats.
	JSONObjects
)

// Options configure a subscription and its timeouts.
type Options struct {
	// Source names the source in logs.
	Source string
	// Target returns the request target. It is called for each connection, so that the target can contain the version
	// that is known at that time.
	Target func() string
	// Fields holds additional request header fields, as alternating names and values.
	Fields []string
	// Format is the format of the response.
	Format Format
	// OnMessage is called with each message, whose bytes are valid only during the call. If it returns an error, the
	// client closes the connection and subscribes again; for a *GapError it calls OnReset before that.
	OnMessage func(data []byte) error
	// OnReset must make Target request the complete state.
	OnReset func()
	// SilenceTimeout is how long the source may send nothing. 0 means 15 s.
	SilenceTimeout eventloop.Micros
	// ResponseTimeout is how long the source may take to respond, including the time to connect. 0 means
	// SilenceTimeout, counted from when the connection has opened.
	ResponseTimeout eventloop.Micros
	// MinRetryDelay and MaxRetryDelay bound the backoff between two connections. If they are 0, they default to 200 ms
	// and 5 s.
	MinRetryDelay, MaxRetryDelay eventloop.Micros
	// Standby keeps silent connections open while the client opens others, until any of the connections receives data. A
	// source that was unreachable may continue on any of them. Without Standby, messages that it sends when it is
	// reachable again would be lost if they arrived between two retries.
	Standby bool
	// Log receives warnings about lost subscriptions and rejected messages.
	Log zerolog.Logger
}

// Client maintains one subscription.
type Client struct {
	loop    eventloop.Loop
	address string
	options Options
	backoff backoff

	current    *connection   // nil before Subscribe, and while the client waits to retry
	standby    []*connection // silent connections that stay open, the oldest first
	retryTimer eventloop.Timeout
	closed     bool
}

// NewClient returns a client that has not subscribed yet. seed seeds the random jitter of the backoff.
func NewClient(loop eventloop.Loop, seed int64, address string, options Options) *Client {
	if options.SilenceTimeout == 0 {
		options.SilenceTimeout = defaultSilenceTimeout
	}
	if options.MinRetryDelay == 0 {
		options.MinRetryDelay = defaultMinRetryDelay
	}
	if options.MaxRetryDelay == 0 {
		options.MaxRetryDelay = defaultMaxRetryDelay
	}
	return &Client{
		loop:    loop,
		address: address,
		options: options,
		backoff: backoff{
			minDelay: options.MinRetryDelay,
			maxDelay: options.MaxRetryDelay,
			random:   rand.New(rand.NewSource(seed)),
		},
	}
}

// Subscribe opens a connection unless there is one. Whenever the connection is lost, the client opens a new one, until
// Close is called.
func (c *Client) Subscribe() {
	if c.current != nil || c.closed {
		return
	}
	c.current = newConnection(c)
	c.current.open()
}

// Close ends the subscription permanently.
func (c *Client) Close() {
	c.closed = true
	c.retryTimer.Clear()
	c.dropStandby(nil)
	if c.current != nil {
		c.current.conn.Close()
	}
}

// SetAddress changes the source's address and subscribes there. With Standby the connection to the previous address
// still delivers messages until the new connection has received data.
func (c *Client) SetAddress(address string) {
	if c.closed || address == c.address {
		return
	}
	c.address = address
	c.backoff.reset()
	c.retryTimer.Clear()
	if old := c.current; old != nil {
		c.current = nil
		c.moveToStandby(old)
	}
	for _, old := range c.standby {
		old.superseded = true
	}
	c.Subscribe()
}

// Connected reports whether the source has responded on the current connection.
func (c *Client) Connected() bool { return c.current != nil && c.current.responded }

// moveToStandby keeps a connection open while the client opens the next one, or drops it if Standby is not set.
func (c *Client) moveToStandby(connection *connection) {
	if !c.options.Standby {
		connection.drop()
		return
	}
	c.standby = append(c.standby, connection)
	if len(c.standby) > maxStandby {
		// The oldest connection is kept because the source has served it, and the last one because it is the newest.
		c.standby[1].drop()
		c.standby = slices.Delete(c.standby, 1, 2)
	}
}

// dropStandby drops all standby connections except one.
func (c *Client) dropStandby(except *connection) {
	for _, connection := range c.standby {
		if connection != except {
			connection.drop()
		}
	}
	c.standby = nil
}

// makeCurrent makes a connection that has received data the current one and drops all others. It does nothing for a
// connection to a previous address.
func (c *Client) makeCurrent(connection *connection) {
	if connection.superseded {
		return
	}
	if c.current != connection {
		if c.current != nil {
			c.current.drop()
		}
		c.current = connection
	}
	c.retryTimer.Clear()
	c.dropStandby(connection)
}

// retry schedules the next connection after the backoff delay, which grows unless the lost connection had delivered a
// message.
func (c *Client) retry(cause error, delivered bool) {
	if !delivered {
		c.backoff.grow()
	}
	delay := c.backoff.nextDelay()
	c.options.Log.Warn().Str("source", c.options.Source).Err(cause).
		Int64("retry_ms", int64(delay/eventloop.Millisecond)).Msg("subscription lost")
	c.retryTimer.Set(c.loop, delay, c.Subscribe)
}
