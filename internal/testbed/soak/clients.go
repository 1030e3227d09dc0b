package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Timeouts and times of the clients.
const (
	answerGrace   = 500 * time.Millisecond // how long after a request's deadline its answer may still arrive
	headTimeout   = 500 * time.Millisecond // how long after answerGrace a client still waits for the answer's head
	bodyTimeout   = 12 * time.Second
	dialTimeout   = time.Second
	maxIdle       = 2500 * time.Millisecond
	floodInterval = 2 * time.Millisecond // between two connections of a flood
	maxFloodIdle  = 500 * time.Millisecond
)

const (
	workers                  = 5 // of one process; each uses one connection at a time
	maxRequestsPerConnection = 8
	persistentOneIn          = 3  // one connection in so many is used until it closes or the run ends
	idleOneIn                = 12 // one request in so many is sent after the connection was idle
	misbehaviourOneIn        = 40 // one request in so many is sent with each kind of misbehaviour
	maxBodyBits              = 15 // a request has less than 1<<maxBodyBits bytes of content

	reusedConnection = "on a reused connection" // Text of a Sent event
	closedConnection = "closed"                 // Text of a Lost event
	lastChunk        = "data: [DONE]\n\n"

	requestFormat = "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\n" +
		"Req-Kind: %s\r\nReq-Key: %s\r\nReq-Deadline: %dm\r\nReq-Extra: prompt_len=%d,max_out=40\r\n" +
		"Content-Length: %d\r\n\r\n%s"
)

// Classes of requests. Each is named in the dispatchers' settings.
const (
	idempotentClass    = "chat"
	deduplicatedClass  = "note"
	nonIdempotentClass = "post"
)

var classes = []string{idempotentClass, deduplicatedClass, nonIdempotentClass}

// Ways in which a client misbehaves with a request; any other number that is drawn stands for the usual behaviour.
const (
	sendHalf = iota
	sendMalformed
	sendSlowly
	giveUp
	giveUpToo // means the same as giveUp; with two numbers, clients give up twice as often
)

// clients simulates clients that send requests to the dispatchers, and that misbehave at random.
type clients struct {
	*standIn
	sent   atomic.Int64
	endsAt int64
}

// clientConn is a client's connection to a dispatcher.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	target string
	reused bool // it has carried a request or was idle, so the dispatcher may close it at any time
}

func startClients(s *standIn) handler {
	c := &clients{standIn: s, endsAt: now() + s.Duration.Microseconds()}
	for range workers {
		go func() {
			for now() < c.endsAt {
				c.useConnection(c.Targets[c.draw(len(c.Targets))])
			}
		}()
	}
	return func(command string, arguments []string) {
		if command == commandFlood {
			go c.flood(arguments[0], durationArgument(arguments, 1))
		}
	}
}

// flood opens connections on which it sends nothing, for a while.
func (c *clients) flood(target string, duration time.Duration) {
	for end := now() + duration.Microseconds(); now() < end; {
		conn, err := net.DialTimeout("tcp", target, dialTimeout)
		if err == nil {
			time.AfterFunc(c.drawDuration(maxFloodIdle), func() { closeConn(conn) })
		}
		time.Sleep(floodInterval)
	}
}

// useConnection sends some requests to a dispatcher on one connection.
func (c *clients) useConnection(target string) {
	dialled, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer closeConn(dialled)
	conn := &clientConn{Conn: dialled, reader: bufio.NewReader(dialled), target: target}
	persistent := c.draw(persistentOneIn) == 0
	for count := 1 + c.draw(maxRequestsPerConnection); count > 0 || persistent && now() < c.endsAt; count-- {
		if c.draw(idleOneIn) == 0 {
			time.Sleep(c.drawDuration(maxIdle))
			conn.reused = true
		}
		if !c.sendRequest(conn) {
			return
		}
		conn.reused = true
	}
}

// sendRequest sends one request and reads its answer. It returns false if the connection must not be used again.
func (c *clients) sendRequest(conn *clientConn) bool {
	class := classes[c.draw(len(classes))]
	id := fmt.Sprintf("%s-%d", c.Name, c.sent.Add(1))
	body := fmt.Sprintf(`{"stream":true,"messages":["%s"]}`, strings.Repeat("x", 1<<c.draw(maxBodyBits)))
	text := fmt.Sprintf(requestFormat, id, class, c.Name, c.Deadline.Milliseconds(), 100+len(body)/4, len(body), body)
	behaviour := c.draw(misbehaviourOneIn)
	began := now()
	if !c.writeRequest(conn, text, behaviour) {
		return false
	}
	sent := Event{Kind: Sent, ID: id, Class: class, Dispatcher: conn.target, Value: began}
	if conn.reused {
		sent.Text = reusedConnection
	}
	c.record.add(sent)
	if behaviour == giveUp || behaviour == giveUpToo {
		c.disconnect(conn, sent)
		return false
	}
	return c.readAnswer(conn, sent)
}

// writeRequest writes a request. It returns false if the request was not written completely.
func (c *clients) writeRequest(conn *clientConn, text string, behaviour int) bool {
	switch behaviour {
	case sendHalf: // and then stay idle before closing
		_, _ = io.WriteString(conn, text[:len(text)/2])
		time.Sleep(c.drawDuration(maxIdle))
		return false
	case sendMalformed:
		_, _ = io.WriteString(conn, "nonsense\r\n\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, _ = io.Copy(io.Discard, conn.reader)
		return false
	case sendSlowly:
		for len(text) > 0 {
			size := min(1+c.draw(len(text)), len(text))
			if _, err := io.WriteString(conn, text[:size]); err != nil {
				return false
			}
			text = text[size:]
			time.Sleep(c.drawDuration(20 * time.Millisecond))
		}
		return true
	}
	_, err := io.WriteString(conn, text)
	return err == nil
}

// disconnect closes a connection before the answer.
func (c *clients) disconnect(conn *clientConn, sent Event) {
	if c.draw(2) == 0 {
		time.Sleep(c.drawDuration(60 * time.Millisecond))
	}
	c.record.add(Event{Kind: Disconnected, ID: sent.ID, Class: sent.Class, Dispatcher: sent.Dispatcher})
	if c.draw(2) == 0 {
		resetConn(conn.Conn)
	} else {
		closeConn(conn.Conn)
	}
}

// readAnswer reads the answer and records it. It returns false if the connection must not be used again.
func (c *clients) readAnswer(conn *clientConn, sent Event) bool {
	record := func(kind EventKind, status int, text string) {
		c.record.add(Event{Kind: kind, ID: sent.ID, Class: sent.Class, Dispatcher: sent.Dispatcher, Status: status,
			Value: sent.At, Text: text})
	}
	_ = conn.SetReadDeadline(time.Now().Add(c.Deadline + answerGrace + headTimeout))
	answer, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		text := err.Error()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			text = closedConnection
		}
		record(Lost, 0, text)
		return false
	}
	defer func() { _ = answer.Body.Close() }() // the body was read to its end
	_ = conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(answer.Body)
	switch {
	case answer.StatusCode != http.StatusOK:
		record(Answered, answer.StatusCode, "")
	case err != nil:
		record(Broken, answer.StatusCode, err.Error())
	case !strings.HasSuffix(string(body), lastChunk):
		record(Lost, answer.StatusCode, "an incomplete stream was ended as if it were complete")
	default:
		record(Answered, answer.StatusCode, "")
	}
	if answer.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(c.drawDuration(100 * time.Millisecond))
	}
	return err == nil && !answer.Close
}
