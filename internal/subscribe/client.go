// Package subscribe follows a source that pushes messages over HTTP. Its job is the subscription: it opens the
// connection, cuts the response into messages, notices a source that has fallen silent, and retries with backoff.
// It owns the connections to the source and their timers. It relies on package eventloop for time and sockets and
// on http1 and sse for parsing. It never interprets a message: versions, and what follows from a message, are the
// caller's.
package subscribe

import (
	"math/rand"
	"slices"

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
)

const (
	connectTimeout        = eventloop.Second
	defaultSilenceTimeout = 15 * eventloop.Second // sources send heartbeats far more often
	defaultMinRetryDelay  = 200 * eventloop.Millisecond
	defaultMaxRetryDelay  = 5 * eventloop.Second
	// maxStandby is the number of silent connections that stay open beside the current one.
	maxStandby = 2
)

// Format is how a response is divided into messages.
type Format uint8

const (
	// EventStream is text/event-stream; a comment is a heartbeat.
	EventStream Format = iota
	// JSONObjects is a sequence of JSON objects, each on one line or on several; white space between them is a heartbeat.
	JSONObjects
)

// Options say what to subscribe to, and how patient to be.
type Options struct {
	// Source names the source in logs.
	Source string
	// Target returns the request target; it is called for every connection, so that it can name the version known then.
	Target func() string
	// Fields holds further request header fields, names and values in turn.
	Fields []string
	// Format is that of the response.
	Format Format
	// OnMessage is called with each message, whose bytes are valid only during the call. An error closes the connection
	// and the client subscribes again; where the error is a *GapError, OnReset is called before that.
	OnMessage func(data []byte) error
	// OnReset makes Target ask for everything.
	OnReset func()
	// SilenceTimeout is how long the source may send nothing. 0: 15 s.
	SilenceTimeout eventloop.Micros
	// ResponseTimeout is how long the source may take until it responds, connecting included. 0: SilenceTimeout, from
	// the time that the connection is open.
	ResponseTimeout eventloop.Micros
	// MinRetryDelay and MaxRetryDelay bound the backoff between two connections. 0: 200 ms and 5 s.
	MinRetryDelay, MaxRetryDelay eventloop.Micros
	// Standby leaves a silent connection open beside the next ones until one of them receives something: a source that
	// was unreachable may go on with any of them, and what it sends at its return would be lost between two retries.
	Standby bool
	// Log receives warnings of lost subscriptions and rejected messages.
	Log zerolog.Logger
}

// Client keeps one subscription.
type Client struct {
	loop    eventloop.Loop
	address string
	options Options
	backoff backoff

	current    *connection   // nil while none is open
	standby    []*connection // silent ones that stay open, the oldest first
	retryTimer eventloop.Timeout
	closed     bool
}

// NewClient makes a client that has not subscribed yet; seed is that of the backoff's jitter.
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
			shortest: options.MinRetryDelay,
			longest:  options.MaxRetryDelay,
			random:   rand.New(rand.NewSource(seed)),
		},
	}
}

// Subscribe opens a connection unless there is one, and retries until Close whenever it breaks.
func (c *Client) Subscribe() {
	if c.current != nil || c.closed {
		return
	}
	c.current = newConnection(c)
	c.current.open()
}

// Close ends the subscription for good.
func (c *Client) Close() {
	c.closed = true
	c.retryTimer.Clear()
	c.dropStandby(nil)
	if c.current != nil {
		c.current.conn.Close()
	}
}

// SetAddress subscribes at another address, from the version known on. With Standby the connection to the address
// before still delivers messages until the new one has received something.
func (c *Client) SetAddress(address string) {
	if c.closed || address == c.address {
		return
	}
	c.address = address
	c.backoff.reset()
	c.retryTimer.Clear()
	if old := c.current; old != nil {
		c.current = nil
		c.toStandby(old)
	}
	for _, old := range c.standby {
		old.superseded = true
	}
	c.Subscribe()
}

// Connected reports whether the source has responded on the current connection.
func (c *Client) Connected() bool { return c.current != nil && c.current.responded }

// toStandby leaves a connection open beside the next one, or drops it.
func (c *Client) toStandby(connection *connection) {
	if !c.options.Standby {
		connection.drop()
		return
	}
	c.standby = append(c.standby, connection)
	if len(c.standby) > maxStandby {
		// The first is the one that the source has served, the last the newest.
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

// makeCurrent makes a connection that has received something the only one.
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

// retry subscribes again after the backoff, which grows unless the lost connection had delivered a message.
func (c *Client) retry(cause error, delivered bool) {
	if !delivered {
		c.backoff.grow()
	}
	delay := c.backoff.delay()
	c.options.Log.Warn().Str("source", c.options.Source).Err(cause).
		Int64("retry_ms", int64(delay/eventloop.Millisecond)).Msg("subscription lost")
	c.retryTimer.Set(c.loop, delay, c.Subscribe)
}
