package subscribe

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/virtual"
)

const sourceAddress = "127.0.0.1:9000"

// source responds to each request on a connection of its own with the next of its responses; to the rest it is silent.
type source struct {
	requests  []string
	responses []string
}

// sourceConn is the source's side of one connection.
type sourceConn struct {
	source  *source
	conn    eventloop.Conn
	request strings.Builder
}

func (c *sourceConn) Opened()      {}
func (c *sourceConn) Drained()     {}
func (c *sourceConn) Closed(error) {}

func (c *sourceConn) Data(data []byte) {
	c.request.Write(data)
	if !strings.Contains(c.request.String(), "\r\n\r\n") {
		return
	}
	src := c.source
	src.requests = append(src.requests, c.request.String())
	if i := len(src.requests) - 1; i < len(src.responses) {
		c.conn.Write([]byte(src.responses[i]))
	}
}

// startSource has a source listen in virtual time, and returns the client's loop.
func startSource(t *testing.T, responses ...string) (*source, *virtual.Network, *virtual.Loop) {
	t.Helper()
	network := virtual.NewNetwork(1)
	src := &source{responses: responses}
	loop := network.NewLoop("source")
	loop.Do(func() {
		_, err := loop.Listen(sourceAddress, func(conn eventloop.Conn) eventloop.Handler {
			return &sourceConn{source: src, conn: conn}
		})
		if err != nil {
			t.Fatal(err)
		}
	})
	return src, network, network.NewLoop("client")
}

func stream(events ...string) string {
	var response strings.Builder
	response.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, event := range events {
		text := "data: " + event + "\n\n"
		fmt.Fprintf(&response, "%x\r\n%s\r\n", len(text), text)
	}
	return response.String()
}

// follower keeps what a client delivers.
type follower struct {
	messages []string
	resets   int
	logged   bytes.Buffer
}

func (f *follower) options() Options {
	return Options{
		Source: "test source",
		Target: func() string { return fmt.Sprintf("/watch?reset=%d", f.resets) },
		OnMessage: func(data []byte) error {
			if string(data) == "gap" {
				return fmt.Errorf("apply: %w", &GapError{Have: 3, Since: 5})
			}
			if string(data) == "bad" {
				return errors.New("malformed")
			}
			f.messages = append(f.messages, string(data))
			return nil
		},
		OnReset: func() { f.resets++ },
		Log:     zerolog.New(&f.logged),
	}
}

func TestRejectedMessageHasTheClientSubscribeAgain(t *testing.T) {
	for message, wantResets := range map[string]int{"gap": 1, "bad": 0} {
		t.Run(message, func(t *testing.T) {
			src, network, loop := startSource(t, stream("one", message, "lost"), stream("two"))
			f := &follower{}
			client := NewClient(loop, 1, sourceAddress, f.options())
			loop.Do(client.Subscribe)
			network.Run(2 * eventloop.Second)
			if want := []string{"one", "two"}; !slices.Equal(f.messages, want) || f.resets != wantResets {
				t.Errorf("messages %q, %d resets", f.messages, f.resets)
			}
			if len(src.requests) != 2 || !client.Connected() {
				t.Fatalf("%d requests, connected %v", len(src.requests), client.Connected())
			}
			if target := fmt.Sprintf("GET /watch?reset=%d ", wantResets); !strings.HasPrefix(src.requests[1], target) {
				t.Errorf("second request %q, want %q", src.requests[1], target)
			}
			if !strings.Contains(f.logged.String(), `"message":"subscription message rejected"`) {
				t.Errorf("logged %s", f.logged.String())
			}
		})
	}
}

func TestStatusOtherThanOKIsRetried(t *testing.T) {
	src, network, loop := startSource(t, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", stream("one"))
	f := &follower{}
	client := NewClient(loop, 1, sourceAddress, f.options())
	loop.Do(client.Subscribe)
	network.Run(2 * eventloop.Second)
	if len(src.requests) != 2 || !slices.Equal(f.messages, []string{"one"}) {
		t.Errorf("%d requests, messages %q", len(src.requests), f.messages)
	}
	if want := (&StatusError{Status: 503}).Error(); !strings.Contains(f.logged.String(), want) {
		t.Errorf("logged %s, want %q", f.logged.String(), want)
	}
}

func TestSilentSourceIsAskedAgain(t *testing.T) {
	for name, standby := range map[string]bool{"alone": false, "with standby": true} {
		t.Run(name, func(t *testing.T) {
			src, network, loop := startSource(t, stream("one"))
			f := &follower{}
			options := f.options()
			options.Standby = standby
			client := NewClient(loop, 1, sourceAddress, options)
			loop.Do(client.Subscribe)
			network.Run(defaultSilenceTimeout - eventloop.Second)
			if len(src.requests) != 1 {
				t.Errorf("%d requests before the silence timeout", len(src.requests))
			}
			network.Run(2 * eventloop.Second)
			if len(src.requests) != 2 {
				t.Errorf("%d requests after the silence timeout", len(src.requests))
			}
		})
	}
}

func TestCloseEndsTheSubscription(t *testing.T) {
	src, network, loop := startSource(t, stream("bad"))
	f := &follower{}
	client := NewClient(loop, 1, sourceAddress, f.options())
	loop.Do(client.Subscribe)
	network.Run(10 * eventloop.Millisecond)
	loop.Do(client.Close)
	loop.Do(client.Subscribe)
	network.Run(10 * eventloop.Second)
	if len(src.requests) != 1 || client.Connected() {
		t.Errorf("%d requests, connected %v", len(src.requests), client.Connected())
	}
}

func TestPostReportsTheStatus(t *testing.T) {
	for name, test := range map[string]struct {
		responses []string
		want      int
	}{
		"accepted":  {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"}, 200},
		"refused":   {[]string{"HTTP/1.1 401 No\r\nContent-Length: 0\r\n\r\n"}, 401},
		"malformed": {[]string{"nonsense\r\n\r\n"}, 0},
		"silent":    {nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			src, network, loop := startSource(t, test.responses...)
			var statuses []int
			request := PostRequest{
				Address: sourceAddress,
				Target:  "/usage",
				Fields:  []string{"Authorization", "Bearer x"},
				Body:    []byte(`{"n":1}`),
				Timeout: eventloop.Second,
			}
			loop.Do(func() { Post(loop, request, func(status int) { statuses = append(statuses, status) }) })
			network.Run(5 * eventloop.Second)
			if !slices.Equal(statuses, []int{test.want}) {
				t.Errorf("statuses %v, want %d once", statuses, test.want)
			}
			if len(src.requests) != 1 || !strings.HasPrefix(src.requests[0], "POST /usage HTTP/1.1\r\n") ||
				!strings.HasSuffix(src.requests[0], `{"n":1}`) || !strings.Contains(src.requests[0], "Authorization: Bearer x") {
				t.Errorf("requests %q", src.requests)
			}
		})
	}
}
