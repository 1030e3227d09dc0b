package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	declined  = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
	noState   = "HTTP/1.1 410 Gone\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
	letGo     = "HTTP/1.1 204 No Content\r\n\r\n"
	read      = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}"
	streamTop = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// fleet holds the states that the model hosts keep, which any of them can let go.
type fleet struct {
	mu     sync.Mutex
	states map[string]string // request id to the reader that holds the read prompt
}

// host is a model host. It serves each connection until its end.
type host struct {
	w         *world
	fleet     *fleet
	name      string
	listeners []*net.TCPListener // one for each dispatcher
	reader    bool

	// A reader reads prompts one after the other at rate tokens a second, times speed(now). A writer streams so many
	// events with a pause after each, divided by speed(now), for as many requests at once as it has slots.
	rate      float64
	queueMost int // requests that may wait or run at a reader, or wait at a writer
	events    int
	pause     time.Duration
	slots     chan struct{} // of a writer; nil: no limit
	speed     func(time.Time) float64
	onArrival func(dispatcher int, id string)

	mu       sync.Mutex
	waiting  int
	freeAt   time.Time
	conns    map[net.Conn]bool
	down     bool
	draining bool // what comes is turned away
	done     int  // requests that were read or streamed to the end
	refused  int
}

func (w *world) newHost(f *fleet, name, ip string, reader bool, dispatchers int) *host {
	h := &host{w: w, fleet: f, name: name, reader: reader, rate: 15000, queueMost: 64, events: 10,
		pause: 2 * time.Millisecond, conns: map[net.Conn]bool{}, speed: func(time.Time) float64 { return 1 }}
	for i := range dispatchers {
		l := listen(ip)
		h.listeners = append(h.listeners, l)
		go h.acceptAll(l, i)
	}
	return h
}

func (h *host) address(dispatcher int) string { return h.listeners[dispatcher].Addr().String() }

func (h *host) acceptAll(l *net.TCPListener, dispatcher int) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		down := h.down
		if !down {
			h.conns[conn] = true
		}
		h.mu.Unlock()
		if down {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			continue
		}
		go h.serve(conn, dispatcher)
	}
}

// crash resets all connections; new ones are reset too until comeBack.
func (h *host) crash() {
	h.w.log("%s dies", h.name)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = true
	for conn := range h.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	h.conns = map[net.Conn]bool{}
	h.waiting, h.freeAt = 0, time.Time{}
}

func (h *host) comeBack() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = false
}

func (h *host) serve(conn net.Conn, dispatcher int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !h.answer(conn, request, dispatcher) {
			return
		}
	}
}

func (h *host) answer(conn net.Conn, request *http.Request, dispatcher int) bool {
	if request.Method == http.MethodDelete {
		h.fleet.mu.Lock()
		delete(h.fleet.states, strings.TrimPrefix(request.URL.Path, "/v1/holds/"))
		h.fleet.mu.Unlock()
		return write(conn, letGo)
	}
	id := request.Header.Get("Req-Id")
	if h.onArrival != nil {
		h.onArrival(dispatcher, id)
	}
	h.mu.Lock()
	draining := h.draining
	h.mu.Unlock()
	switch {
	case draining:
		return write(conn, declined)
	case h.reader:
		return h.read(conn, request, id)
	}
	return h.write(conn, id)
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// promptTokens reads prompt_len of the field Req-Extra.
func promptTokens(request *http.Request) (tokens float64) {
	for _, pair := range strings.Split(request.Header.Get("Req-Extra"), ",") {
		if value, found := strings.CutPrefix(pair, "prompt_len="); found {
			fmt.Sscanf(value, "%g", &tokens)
		}
	}
	return max(tokens, 1)
}

func (h *host) read(conn net.Conn, request *http.Request, id string) bool {
	h.mu.Lock()
	if h.waiting >= h.queueMost {
		h.refused++
		h.mu.Unlock()
		return write(conn, declined)
	}
	h.waiting++
	now := time.Now()
	if h.freeAt.Before(now) {
		h.freeAt = now
	}
	work := promptTokens(request) / (h.rate * h.speed(now))
	h.freeAt = h.freeAt.Add(time.Duration(work * float64(time.Second)))
	until := h.freeAt
	h.mu.Unlock()
	time.Sleep(time.Until(until))
	h.mu.Lock()
	h.waiting = max(h.waiting-1, 0)
	h.done++
	h.mu.Unlock()
	h.fleet.mu.Lock()
	h.fleet.states[id] = h.name
	h.fleet.mu.Unlock()
	return write(conn, read)
}

func (h *host) write(conn net.Conn, id string) bool {
	h.fleet.mu.Lock()
	_, held := h.fleet.states[id]
	delete(h.fleet.states, id)
	h.fleet.mu.Unlock()
	if !held {
		return write(conn, noState)
	}
	if h.slots != nil {
		h.mu.Lock()
		full := h.waiting >= h.queueMost
		if full {
			h.refused++
		} else {
			h.waiting++
		}
		h.mu.Unlock()
		if full {
			h.fleet.mu.Lock() // the state still waits at its reader
			h.fleet.states[id] = h.name
			h.fleet.mu.Unlock()
			return write(conn, declined)
		}
		h.slots <- struct{}{}
		h.mu.Lock()
		h.waiting = max(h.waiting-1, 0)
		h.mu.Unlock()
		defer func() { <-h.slots }()
	}
	if !write(conn, streamTop) {
		return false
	}
	for i := range h.events {
		event := fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s-%d \"},\"finish_reason\":null}]}\n\n", id, i)
		if !write(conn, chunk(event)) {
			return false
		}
		time.Sleep(time.Duration(float64(h.pause) / h.speed(time.Now())))
	}
	h.mu.Lock()
	h.done++
	h.mu.Unlock()
	return write(conn, chunk("data: [DONE]\n\n")+"0\r\n\r\n")
}
