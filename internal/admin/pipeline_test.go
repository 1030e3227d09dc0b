package admin

import (
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/virtual"
)

// answerCounter is a connection that counts the answers written to it. Its other methods must not be called.
type answerCounter struct {
	eventloop.Conn
	answers, unsent int
}

func (c *answerCounter) Write([]byte)   { c.answers++ }
func (c *answerCounter) Unsent() int    { return c.unsent }
func (c *answerCounter) SetPaused(bool) {}
func (c *answerCounter) Abort()         {}

const unauthorizedRequest = "GET /admin/v1/tenants HTTP/1.1\r\n\r\n"

// startPipeline passes pipelined requests to a new connection in one event, and returns the connection's handler.
func startPipeline(
	t *testing.T, conn *answerCounter, requests int,
) (*virtual.Network, *virtual.Loop, eventloop.Handler) {
	t.Helper()
	network := virtual.NewNetwork(1)
	loop := network.NewLoop("admin")
	var handler eventloop.Handler
	loop.Do(func() {
		server, err := Start(loop, Config{Secret: secret, Records: &MemoryRecords{}})
		if err != nil {
			t.Fatal(err)
		}
		handler = server.Accept(conn)
		handler.Opened()
		handler.Data([]byte(strings.Repeat(unauthorizedRequest, requests)))
	})
	return network, loop, handler
}

// All pipelined requests of a client were answered in one go. The calls of all other clients waited for that.
func TestPipelinedRequestsLetOtherEventsPass(t *testing.T) {
	const requests = 200
	conn := &answerCounter{}
	network, _, _ := startPipeline(t, conn, requests)
	if conn.answers != 1 {
		t.Errorf("%d requests were answered in one event, want 1", conn.answers)
	}
	if network.Run(eventloop.Second); conn.answers != requests {
		t.Errorf("%d answers to %d requests", conn.answers, requests)
	}
}

// The answers to pipelined requests were buffered without a bound for a client that reads none of them.
func TestPipelinedRequestsWaitForAClientThatDoesNotRead(t *testing.T) {
	const requests = 200
	conn := &answerCounter{unsent: maxAnswerBytes + 1}
	network, loop, handler := startPipeline(t, conn, requests)
	if network.Run(eventloop.Second); conn.answers != 1 {
		t.Errorf("%d requests were answered though nothing was sent", conn.answers)
	}
	conn.unsent = 0
	loop.Do(handler.Drained)
	if network.Run(eventloop.Second); conn.answers != requests {
		t.Errorf("%d answers to %d requests once all was sent", conn.answers, requests)
	}
}
