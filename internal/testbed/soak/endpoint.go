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

// Answers of an endpoint and their parts, and the kinds of endpoints.
const (
	streamHead     = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	tokenEvent     = `{"choices":[{"index":0,"delta":{"content":"Lamu"},"finish_reason":null}]}`
	streamEnd      = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
	declinedAnswer = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
	failedAnswer   = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	releasedAnswer = "HTTP/1.1 204 No Content\r\n\r\n"
	prefilled      = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}"
	surplusAnswer  = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

	prefillKind = "prefill"
	decodeKind  = "decode"
)

// Odds of an endpoint's misbehaviour: it happens once in so many requests.
const (
	idleCloseOneIn    = 400 // may close a connection that stays idle
	declineOneIn      = 50  // declines the request
	prefillFaultOneIn = 60  // for each way to misbehave
	decodeFaultOneIn  = 80  // for each way to misbehave
)

// Ways in which an endpoint misbehaves in a decode; any other number that is drawn stands for the usual behaviour.
const (
	resetsAtOnce = iota
	fails
	sendsGarbage
	resetsInStream
	breaksChunking
	stallsInStream
	answersTwice
)

// endpoint simulates a model server that prefills or decodes, and that misbehaves at random.
type endpoint struct {
	*standIn
	silentUntil  atomic.Int64 // until this time, the endpoint answers nothing
	declineUntil atomic.Int64 // until this time, the endpoint declines all requests
}

func startEndpoint(s *standIn) (handler, error) {
	e := &endpoint{standIn: s}
	if err := listen(s.Listen[0], e.serve); err != nil {
		return nil, err
	}
	return func(command string, arguments []string) {
		switch command {
		case commandSilent: // recorded here and not by the run, as an endpoint that is stopped executes the command later
			e.record.add(Event{Kind: FaultBegan, Text: notRunningText, Endpoint: e.Name,
				Value: durationArgument(arguments, 0).Microseconds()})
			e.silentUntil.Store(endTime(arguments))
		case commandDecline:
			e.declineUntil.Store(endTime(arguments))
		}
	}, nil
}

// exchange is one request and the connection that its answer is written to.
type exchange struct {
	conn       net.Conn
	id         string
	dispatcher string // last number of its proxy's IP address
	arrivedAt  int64
}

// serve answers the requests of one connection. Each dispatcher's proxy connects from its own IP address, which
// identifies the dispatcher.
func (e *endpoint) serve(conn net.Conn) {
	defer closeConn(conn)
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	dispatcher := host[strings.LastIndexByte(host, '.')+1:]
	reader := bufio.NewReader(conn)
	for {
		if e.draw(idleCloseOneIn) == 0 && reader.Buffered() == 0 {
			_ = conn.SetReadDeadline(time.Now().Add(e.drawDuration(500 * time.Millisecond)))
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !e.answer(request, exchange{conn: conn, dispatcher: dispatcher}) {
			return
		}
	}
}

// answer answers a request. It returns false if the connection must not be used again.
func (e *endpoint) answer(request *http.Request, call exchange) bool {
	if request.Method == http.MethodDelete {
		e.waitWhileSilent()
		id := strings.TrimPrefix(request.URL.Path, "/v1/holds/")
		e.record.add(Event{Kind: Released, ID: id, Endpoint: e.Name, Dispatcher: call.dispatcher})
		return call.write(releasedAnswer)
	}
	e.waitWhileSilent()
	if isClosedByPeer(call.conn) { // the request was abandoned while this endpoint did not run
		return false
	}
	call.id, call.arrivedAt = request.Header.Get("Req-Id"), now()
	remaining, _ := time.ParseDuration(strings.Replace(request.Header.Get("Req-Deadline"), "u", "us", 1))
	e.record.add(Event{At: call.arrivedAt, Kind: Arrived, ID: call.id, Endpoint: e.Name, Dispatcher: call.dispatcher,
		Value: remaining.Microseconds(), Text: e.Kind})
	if now() < e.declineUntil.Load() || e.draw(declineOneIn) == 0 {
		e.recordRefused(call)
		return call.write(declinedAnswer)
	}
	time.Sleep(e.drawDuration(30 * time.Millisecond))
	if isClosedByPeer(call.conn) { // an abandoned request is not run
		e.recordRefused(call)
		return false
	}
	if e.Kind == prefillKind {
		return e.prefill(call)
	}
	return e.decode(call)
}

// recordRefused records that a decode endpoint does not use the state that is reserved for the request. It records
// nothing at a prefill endpoint.
func (e *endpoint) recordRefused(call exchange) {
	if e.Kind == decodeKind {
		e.record.add(Event{Kind: Refused, ID: call.id, Endpoint: e.Name, Dispatcher: call.dispatcher})
	}
}

// waitWhileSilent waits for as long as the endpoint hangs.
func (e *endpoint) waitWhileSilent() {
	for now() < e.silentUntil.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

// isClosedByPeer reports whether the other side has closed a connection.
func isClosedByPeer(conn net.Conn) (closed bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(descriptor uintptr) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		ready, _ := unix.Poll(poll, 0)
		closed = ready > 0
	})
	return closed || err != nil
}

// write writes a part of an answer. It returns false once the connection is broken.
func (x exchange) write(text string) bool {
	_, err := io.WriteString(x.conn, text)
	return err == nil
}

// reset resets the connection. It returns false, as the connection must not be used again.
func (x exchange) reset() bool {
	resetConn(x.conn)
	return false
}

// prefill reserves a state and answers, unless it misbehaves.
func (e *endpoint) prefill(call exchange) bool {
	e.record.add(Event{Kind: Reserved, ID: call.id, Endpoint: e.Name, Dispatcher: call.dispatcher})
	switch e.draw(prefillFaultOneIn) {
	case 0: // the prompt was prefilled, but the answer gets lost
		return call.reset()
	case 1:
		return call.write(failedAnswer)
	}
	return call.write(prefilled)
}

// decode streams a random number of tokens, unless it misbehaves.
func (e *endpoint) decode(call exchange) bool {
	e.record.add(Event{Kind: Ran, ID: call.id, Endpoint: e.Name, Dispatcher: call.dispatcher, Value: call.arrivedAt})
	misbehaviour := e.draw(decodeFaultOneIn)
	switch misbehaviour {
	case resetsAtOnce:
		return call.reset()
	case fails:
		return call.write(failedAnswer)
	case sendsGarbage:
		call.write("\x00\x01noise\r\n")
		time.Sleep(time.Second)
		return false
	}
	if !call.write(streamHead) {
		return false
	}
	events := 2 + e.draw(12)
	for i := range events {
		if i == events/2 && e.breakStream(call, misbehaviour) {
			return false
		}
		if !call.write(fmt.Sprintf("%x\r\ndata: %s\n\n\r\n", len(tokenEvent)+len("data: \n\n"), tokenEvent)) {
			return false
		}
		time.Sleep(e.drawDuration(8 * time.Millisecond))
	}
	if misbehaviour == answersTwice {
		return call.write(streamEnd + surplusAnswer)
	}
	return call.write(streamEnd)
}

// breakStream breaks or stalls a stream if the misbehaviour is one that does either. It reports whether it was one.
func (e *endpoint) breakStream(call exchange, misbehaviour int) (broken bool) {
	switch misbehaviour {
	case resetsInStream:
		call.reset()
	case breaksChunking:
		call.write("zz\r\n")
	case stallsInStream:
		time.Sleep(5 * time.Second)
	default:
		return false
	}
	return true
}
