package frontend

import (
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
