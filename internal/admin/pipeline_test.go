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

// startPipeline passes pipelined requests to a new connection in one event.
func startPipeline(t *testing.T, conn *answerCounter, requests int) *virtual.Network {
	t.Helper()
	network := virtual.NewNetwork(1)
	loop := network.NewLoop("admin")
	loop.Do(func() {
		server, err := Start(loop, Config{Secret: secret, Records: &MemoryRecords{}})
		if err != nil {
			t.Fatal(err)
		}
		handler := server.Accept(conn)
		handler.Opened()
		handler.Data([]byte(strings.Repeat(unauthorizedRequest, requests)))
	})
	return network
}

// All pipelined requests of a client were answered in one go. The calls of all other clients waited for that.
func TestPipelinedRequestsLetOtherEventsPass(t *testing.T) {
	const requests = 200
	conn := &answerCounter{}
	network := startPipeline(t, conn, requests)
	if conn.answers != 1 {
		t.Errorf("%d requests were answered in one event, want 1", conn.answers)
	}
	if network.Run(eventloop.Second); conn.answers != requests {
		t.Errorf("%d answers to %d requests", conn.answers, requests)
	}
}
