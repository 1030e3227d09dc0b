package frontend

import (
	"bytes"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// turnCounter is an Authenticator that counts how many requests are begun before the loop handles another event.
type turnCounter struct {
	singleKeyAuthenticator
	loop                  eventloop.Loop
	requests, most, total int
}

func (c *turnCounter) Identify(key string) (Identity, bool) {
	c.total++
	c.requests++
	c.most = max(c.most, c.requests)
	c.loop.AfterFunc(0, func() { c.requests = 0 })
	return c.singleKeyAuthenticator.Identify(key)
}

const unknownURLRequest = "GET /v1/unknown HTTP/1.1\r\nAuthorization: Bearer good\r\n\r\n"

// All pipelined requests of a client were answered in one go. The requests of all other clients waited for that.
func TestPipelinedRequestsLetOtherEventsPass(t *testing.T) {
	const requests = 200
	var counter *turnCounter
	h := newHarness(t, func(s *Server) {
		counter = &turnCounter{loop: s.loop}
		s.authenticator = counter
	})
	h.exchange(eventloop.Second, strings.Repeat(unknownURLRequest, requests))
	if counter.total != requests || counter.most > 1 {
		t.Errorf("of %d requests, %d were begun between two events of others", counter.total, counter.most)
	}
}

// The answers to pipelined requests were buffered without a bound for a client that reads none of them.
func TestPipelinedRequestsWaitForAClientThatDoesNotRead(t *testing.T) {
	const requests, window = 5000, 4 << 10
	h := newHarness(t, nil)
	h.network.ReceiveWindow = window
	client, conn := h.connect()
	client.onOpened = func() {
		conn.SetPaused(true)
		for sent := 0; sent < requests; sent += 50 {
			h.client.AfterFunc(eventloop.Micros(sent)*eventloop.Millisecond, func() {
				conn.Write([]byte(strings.Repeat(unknownURLRequest, 50)))
			})
		}
	}
	unsent := 0
	for range 1000 {
		h.network.Run(10 * eventloop.Millisecond)
		for c := range h.server.connections {
			unsent = max(unsent, c.conn.Unsent())
		}
	}
	if limit := DefaultClientLimits.MaxUnsentBytes; unsent <= limit/2 || unsent > limit+window {
		t.Errorf("up to %d bytes were unsent, where about %d may be", unsent, limit)
	}
	h.network.Run(2 * DefaultClientLimits.StallTimeout)
	if len(h.server.connections) > 0 {
		t.Error("the connection was not reset after the stall timeout")
	}
}

// A client that reads its answers after a while gets all of them.
func TestPipelinedRequestsGoOnOnceTheClientReads(t *testing.T) {
	const requests = 500
	h := newHarness(t, nil)
	h.network.ReceiveWindow = 4 << 10
	client, conn := h.connect()
	client.onOpened = func() {
		conn.SetPaused(true)
		conn.Write([]byte(strings.Repeat(unknownURLRequest, requests)))
		h.client.AfterFunc(5*eventloop.Second, func() { conn.SetPaused(false) })
	}
	h.network.Run(30 * eventloop.Second)
	if got := bytes.Count(client.received, []byte("HTTP/1.1 404")); got != requests {
		t.Errorf("%d answers to %d requests", got, requests)
	}
}
