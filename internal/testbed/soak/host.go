package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// host is a model host: it reads prompts, or makes streams, and misbehaves now and then.
type host struct {
	*role
	silent  atomic.Int64 // until then it answers nothing
	refuses atomic.Int64 // until then it declines all
}

const eventText = `{"choices":[{"index":0,"delta":{"content":"Lamu"},"finish_reason":null}]}`

func runHost(r *role) (func(string, []string), error) {
	h := &host{role: r}
	if err := listen(r.Listen[0], h.serve); err != nil {
		return nil, err
	}
	return func(order string, arguments []string) {
		until := now() + span(arguments, 0).Microseconds()
		switch order {
		case "silent":
			h.silent.Store(until)
		case "decline":
			h.refuses.Store(until)
		}
	}, nil
}

// serve answers the requests of one connection. Each dispatcher's proxy comes from an address of its own.
func (h *host) serve(c net.Conn) {
	defer c.Close()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	from = from[strings.LastIndexByte(from, '.')+1:]
	in := bufio.NewReader(c)
	for {
		if h.draw(400) == 0 && in.Buffered() == 0 { // it forgets an idle connection
			_ = c.SetReadDeadline(time.Now().Add(h.within(500 * time.Millisecond)))
		}
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !h.answer(c, request, from) {
			return
		}
	}
}

// answer tells whether the connection goes on.
func (h *host) answer(c net.Conn, request *http.Request, from string) bool {
	id := request.Header.Get("Req-Id")
	if request.Method == http.MethodDelete {
		id = strings.TrimPrefix(request.URL.Path, "/v1/holds/")
		h.record.add(Event{Kind: Released, ID: id, Endpoint: h.Name, Dispatcher: from})
		h.hang()
		return say(c, "HTTP/1.1 204 No Content\r\n\r\n")
	}
	left, _ := time.ParseDuration(strings.Replace(request.Header.Get("Req-Deadline"), "u", "us", 1))
	arrivedAt := now()
	h.record.add(Event{At: arrivedAt, Kind: Arrived, ID: id, Endpoint: h.Name, Dispatcher: from, Value: left.Microseconds(), Text: h.Kind})
	h.hang()
	if now() < h.refuses.Load() || h.draw(50) == 0 {
		return say(c, "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
	}
	time.Sleep(h.within(30 * time.Millisecond))
	if hungUp(c) { // what was given up is not done
		return false
	}
	if h.Kind == "prefill" {
		return h.prefill(c, id, from)
	}
	return h.decode(c, id, arrivedAt)
}

// hang does nothing for as long as it is told to.
func (h *host) hang() {
	for now() < h.silent.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

// hungUp tells that the other side has closed a connection.
func hungUp(c net.Conn) (gone bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, _ := unix.Poll(p, 0)
		gone = n > 0
	})
	return gone || err != nil
}

func say(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func reset(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

func (h *host) prefill(c net.Conn, id, from string) bool {
	h.record.add(Event{Kind: Reserved, ID: id, Endpoint: h.Name, Dispatcher: from})
	switch h.draw(60) {
	case 0: // the prompt is read, and the answer lost
		return reset(c)
	case 1:
		return say(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	}
	return say(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}")
}

func (h *host) decode(c net.Conn, id string, arrivedAt int64) bool {
	h.record.add(Event{Kind: Ran, ID: id, Endpoint: h.Name, Value: arrivedAt})
	misbehaves := h.draw(80)
	switch misbehaves {
	case 0:
		return reset(c)
	case 1:
		return say(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case 2:
		say(c, "\x00\x01noise\r\n")
		time.Sleep(time.Second)
		return false
	}
	if !say(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	events := 2 + h.draw(12)
	for i := range events {
		if i == events/2 {
			switch misbehaves {
			case 3:
				return reset(c)
			case 4:
				return say(c, "zz\r\n") && false
			case 5: // the stream falls silent
				time.Sleep(5 * time.Second)
				return false
			}
		}
		if !say(c, fmt.Sprintf("%x\r\ndata: %s\n\n\r\n", len(eventText)+8, eventText)) {
			return false
		}
		time.Sleep(h.within(8 * time.Millisecond))
	}
	end := "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
	if misbehaves == 6 { // more than belongs to the answer
		end += "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	}
	return say(c, end)
}
