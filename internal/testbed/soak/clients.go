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

// Times of the clients' requests.
const (
	answerGrace  = 500 * time.Millisecond // after a request's deadline, for its answer
	headTimeout  = 500 * time.Millisecond // after that, for which a client still waits for an answer's head
	bodyTimeout  = 12 * time.Second
	dialTimeout  = time.Second
	maxIdle      = 2500 * time.Millisecond
	crowdPause   = 2 * time.Millisecond // between two connections of a crowd
	maxCrowdIdle = 500 * time.Millisecond
)

const (
	workers             = 5 // of one process, each with one connection at a time
	maxRequestsPerVisit = 8
	lastingVisits       = 3  // one of so many goes on for as long as its connection is open
	idleVisits          = 12 // one of so many requests comes after the connection was idle
	manners             = 40 // one of so many requests is of each kind of misbehaviour
	maxBodyBits         = 15

	reusedConnection = "on a connection that rested" // Text of a Sent event
	closedConnection = "closed"                      // Text of a Lost event
	lastChunk        = "data: [DONE]\n\n"

	requestFormat = "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\n" +
		"Req-Kind: %s\r\nReq-Key: %s\r\nReq-Deadline: %dm\r\nReq-Extra: prompt_len=%d,max_out=40\r\n" +
		"Content-Length: %d\r\n\r\n%s"
)

// Classes of requests.
const (
	idempotentClass    = "chat"
	deduplicatedClass  = "note"
	nonIdempotentClass = "post"
)

var classes = []string{idempotentClass, deduplicatedClass, nonIdempotentClass}

// Ways in which a client sends a request; any other is the usual one.
const (
	sendHalf = iota
	sendNonsense
	sendSlowly
	giveUp
	giveUpToo // as clients give up twice as often
)

// clients send requests to the dispatchers, and some of them misbehave.
type clients struct {
	*role
	sent   atomic.Int64
	endsAt int64
}

// clientConn is a client's connection to a dispatcher.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	target string
	reused bool // it carried a request before, or was idle: the dispatcher may close it at any moment
}

func startClients(r *role) handler {
	k := &clients{role: r, endsAt: now() + r.Duration.Microseconds()}
	for range workers {
		go func() {
			for now() < k.endsAt {
				k.visit(k.Targets[k.draw(len(k.Targets))])
			}
		}()
	}
	return func(order string, arguments []string) {
		if order == orderCrowd {
			go k.crowd(arguments[0], durationOf(arguments, 1))
		}
	}
}

// crowd opens connections that say nothing, for a while.
func (k *clients) crowd(target string, duration time.Duration) {
	for end := now() + duration.Microseconds(); now() < end; {
		conn, err := net.DialTimeout("tcp", target, dialTimeout)
		if err == nil {
			time.AfterFunc(k.drawDuration(maxCrowdIdle), func() { closeConn(conn) })
		}
		time.Sleep(crowdPause)
	}
}

// visit sends some requests on one connection.
func (k *clients) visit(target string) {
	conn, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer closeConn(conn)
	c := &clientConn{Conn: conn, reader: bufio.NewReader(conn), target: target}
	lasting := k.draw(lastingVisits) == 0
	for count := 1 + k.draw(maxRequestsPerVisit); count > 0 || lasting && now() < k.endsAt; count-- {
		if k.draw(idleVisits) == 0 {
			time.Sleep(k.drawDuration(maxIdle))
			c.reused = true
		}
		if !k.ask(c) {
			return
		}
		c.reused = true
	}
}

// ask sends one request and reads its answer; it returns false where the connection must not be used again.
func (k *clients) ask(conn *clientConn) bool {
	class := classes[k.draw(len(classes))]
	id := fmt.Sprintf("%s-%d", k.Name, k.sent.Add(1))
	body := fmt.Sprintf(`{"stream":true,"messages":["%s"]}`, strings.Repeat("x", 1<<k.draw(maxBodyBits)))
	text := fmt.Sprintf(requestFormat, id, class, k.Name, k.Deadline.Milliseconds(), 100+len(body)/4, len(body), body)
	manner := k.draw(manners)
	began := now()
	if !k.send(conn, text, manner) {
		return false
	}
	sent := Event{Kind: Sent, ID: id, Class: class, Dispatcher: conn.target, Value: began}
	if conn.reused {
		sent.Text = reusedConnection
	}
	k.record.add(sent)
	if manner == giveUp || manner == giveUpToo {
		k.leave(conn, sent)
		return false
	}
	return k.readAnswer(conn, sent)
}

// send writes a request; it returns false where it was not written completely.
func (k *clients) send(conn *clientConn, text string, manner int) bool {
	switch manner {
	case sendHalf: // and then close or stay
		_, _ = io.WriteString(conn, text[:len(text)/2])
		time.Sleep(k.drawDuration(maxIdle))
		return false
	case sendNonsense:
		_, _ = io.WriteString(conn, "nonsense\r\n\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, _ = io.Copy(io.Discard, conn.reader)
		return false
	case sendSlowly:
		for len(text) > 0 {
			size := min(1+k.draw(len(text)), len(text))
			if _, err := io.WriteString(conn, text[:size]); err != nil {
				return false
			}
			text = text[size:]
			time.Sleep(k.drawDuration(20 * time.Millisecond))
		}
		return true
	}
	_, err := io.WriteString(conn, text)
	return err == nil
}

// leave closes a connection before the answer.
func (k *clients) leave(conn *clientConn, sent Event) {
	if k.draw(2) == 0 {
		time.Sleep(k.drawDuration(60 * time.Millisecond))
	}
	k.record.add(Event{Kind: Left, ID: sent.ID, Class: sent.Class, Dispatcher: sent.Dispatcher})
	if k.draw(2) == 0 {
		resetConn(conn.Conn)
	} else {
		closeConn(conn.Conn)
	}
}

// readAnswer reads the answer and records it; it returns false where the connection must not be used again.
func (k *clients) readAnswer(conn *clientConn, sent Event) bool {
	record := func(kind Kind, status int, text string) {
		k.record.add(Event{Kind: kind, ID: sent.ID, Class: sent.Class, Dispatcher: sent.Dispatcher, Status: status,
			Value: sent.At, Text: text})
	}
	_ = conn.SetReadDeadline(time.Now().Add(k.Deadline + answerGrace + headTimeout))
	answer, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		text := err.Error()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			text = closedConnection
		}
		record(Lost, 0, text)
		return false
	}
	defer func() { _ = answer.Body.Close() }() // it was read to its end
	_ = conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(answer.Body)
	switch {
	case answer.StatusCode != http.StatusOK:
		record(Answered, answer.StatusCode, "")
	case err != nil:
		record(Broken, answer.StatusCode, err.Error())
	case !strings.HasSuffix(string(body), lastChunk):
		record(Lost, answer.StatusCode, "a stream that is not complete was ended as if it were")
	default:
		record(Answered, answer.StatusCode, "")
	}
	if answer.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(k.drawDuration(100 * time.Millisecond))
	}
	return err == nil && !answer.Close
}
