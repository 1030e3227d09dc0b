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

// source is a fake source. It answers each connection's request with the next of its responses, and sends nothing to
// further requests.
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

// startSource starts a source on a virtual network. It also returns the network and the client's event loop.
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

// recorder records the messages and resets of a client.
type recorder struct {
	messages []string
	resets   int
	logged   bytes.Buffer
}

func (r *recorder) options() Options {
	return Options{
		Source: "test source",
		Target: func() string { return fmt.Sprintf("/watch?reset=%d", r.resets) },
		OnMessage: func(data []byte) error {
			if string(data) == "gap" {
				return fmt.Errorf("apply: %w", &GapError{Have: 3, Since: 5})
			}
			if string(data) == "bad" {
				return errors.New("malformed")
			}
			r.messages = append(r.messages, string(data))
			return nil
		},
		OnReset: func() { r.resets++ },
		Log:     zerolog.New(&r.logged),
	}
}

func TestRejectedMessageHasTheClientSubscribeAgain(t *testing.T) {
	for message, wantResets := range map[string]int{"gap": 1, "bad": 0} {
		t.Run(message, func(t *testing.T) {
			src, network, loop := startSource(t, stream("one", message, "lost"), stream("two"))
			r := &recorder{}
			client := NewClient(loop, 1, sourceAddress, r.options())
			loop.Do(client.Subscribe)
			network.Run(2 * eventloop.Second)
			if want := []string{"one", "two"}; !slices.Equal(r.messages, want) || r.resets != wantResets {
				t.Errorf("messages %q, %d resets", r.messages, r.resets)
			}
			if len(src.requests) != 2 || !client.Connected() {
				t.Fatalf("%d requests, connected %v", len(src.requests), client.Connected())
			}
			if target := fmt.Sprintf("GET /watch?reset=%d ", wantResets); !strings.HasPrefix(src.requests[1], target) {
				t.Errorf("second request %q, want %q", src.requests[1], target)
			}
			if !strings.Contains(r.logged.String(), `"message":"subscription message rejected"`) {
				t.Errorf("logged %s", r.logged.String())
			}
		})
	}
}

func TestStatusOtherThanOKIsRetried(t *testing.T) {
	src, network, loop := startSource(t, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", stream("one"))
	r := &recorder{}
	client := NewClient(loop, 1, sourceAddress, r.options())
	loop.Do(client.Subscribe)
	network.Run(2 * eventloop.Second)
	if len(src.requests) != 2 || !slices.Equal(r.messages, []string{"one"}) {
		t.Errorf("%d requests, messages %q", len(src.requests), r.messages)
	}
	if want := (&StatusError{Status: 503}).Error(); !strings.Contains(r.logged.String(), want) {
		t.Errorf("logged %s, want %q", r.logged.String(), want)
	}
}

func TestSilentSourceIsAskedAgain(t *testing.T) {
	for name, standby := range map[string]bool{"alone": false, "with standby": true} {
		t.Run(name, func(t *testing.T) {
			src, network, loop := startSource(t, stream("one"))
			r := &recorder{}
			options := r.options()
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
	r := &recorder{}
	client := NewClient(loop, 1, sourceAddress, r.options())
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
