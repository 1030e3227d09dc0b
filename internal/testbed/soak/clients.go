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

// Terms of the clients' requests.
const (
	deadline          = 3 * time.Second
	lateAnswer        = deadline + 500*time.Millisecond
	restingConnection = "on a connection that rested"
	workers           = 5 // of one process, each with one connection at a time
)

var classes = []string{"chat", "note", "post"} // idempotent, deduplicated, with effects

// clients ask the dispatchers, and some of them misbehave.
type clients struct {
	*role
	asked atomic.Int64
}

func runClients(r *role) (func(string, []string), error) {
	k := &clients{role: r}
	end := now() + r.Duration.Microseconds()
	for i := range workers {
		go func() {
			for now() < end {
				k.visit(k.Targets[k.draw(len(k.Targets))], i)
			}
		}()
	}
	return func(order string, arguments []string) {
		if order == "crowd" { // connections that say nothing
			go k.crowd(arguments[0], span(arguments, 1))
		}
	}, nil
}

func (k *clients) crowd(target string, span time.Duration) {
	for end := now() + span.Microseconds(); now() < end; {
		c, err := net.DialTimeout("tcp", target, time.Second)
		if err == nil {
			time.AfterFunc(k.within(500*time.Millisecond), func() { c.Close() })
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// visit makes some requests on one connection.
func (k *clients) visit(target string, worker int) {
	c, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer c.Close()
	in, rested := bufio.NewReader(c), false
	for n := range 1 + k.draw(8) {
		if k.draw(12) == 0 {
			time.Sleep(k.within(2500 * time.Millisecond))
			rested = true
		}
		if !k.ask(c, in, target, rested || n > 0) {
			return
		}
	}
}

// ask makes one request and tells whether the connection goes on.
func (k *clients) ask(c net.Conn, in *bufio.Reader, target string, resting bool) bool {
	class := classes[k.draw(len(classes))]
	id := fmt.Sprintf("%s-%d", k.Name, k.asked.Add(1))
	body := fmt.Sprintf(`{"stream":true,"messages":["%s"]}`, strings.Repeat("x", 1<<k.draw(15)))
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Key: %s\r\nReq-Deadline: %dm\r\n"+
		"Req-Extra: prompt_len=%d,max_out=40\r\nContent-Length: %d\r\n\r\n%s", id, class, k.Name, deadline.Milliseconds(), 100+len(body)/4, len(body), body)
	manner := k.draw(40)
	began := now()
	switch manner {
	case 0: // half a request, and then it closes or stays
		_, _ = io.WriteString(c, text[:len(text)/2])
		time.Sleep(k.within(2500 * time.Millisecond))
		return false
	case 1:
		_, _ = io.WriteString(c, "nonsense\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, _ = io.Copy(io.Discard, in)
		return false
	case 2: // slowly
		for len(text) > 0 {
			n := min(1+k.draw(len(text)), len(text))
			if _, err := io.WriteString(c, text[:n]); err != nil {
				return false
			}
			text = text[n:]
			time.Sleep(k.within(20 * time.Millisecond))
		}
	}
	if _, err := io.WriteString(c, text); err != nil {
		return false // it has not been taken whole
	}
	sent := Event{Kind: Sent, ID: id, Class: class, Dispatcher: target, Value: began}
	if resting { // the dispatcher may close the connection in this moment
		sent.Text = restingConnection
	}
	k.record.add(sent)
	if manner == 3 || manner == 4 { // it gives up
		if k.draw(2) == 0 {
			time.Sleep(k.within(60 * time.Millisecond))
		}
		k.record.add(Event{Kind: Left, ID: id, Class: class, Dispatcher: target})
		if k.draw(2) == 0 {
			reset(c)
		}
		c.Close()
		return false
	}
	return k.hear(c, in, sent)
}

// hear takes the answer.
func (k *clients) hear(c net.Conn, in *bufio.Reader, sent Event) bool {
	record := func(kind Kind, status int, text string) {
		k.record.add(Event{Kind: kind, ID: sent.ID, Class: sent.Class, Dispatcher: sent.Dispatcher, Status: status, Value: sent.At, Text: text})
	}
	_ = c.SetReadDeadline(time.Now().Add(lateAnswer + 500*time.Millisecond))
	answer, err := http.ReadResponse(in, nil)
	if err != nil {
		text := err.Error()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			text = "closed"
		}
		record(Lost, 0, text)
		return false
	}
	defer answer.Body.Close()
	_ = c.SetReadDeadline(time.Now().Add(12 * time.Second))
	body, err := io.ReadAll(answer.Body)
	switch {
	case answer.StatusCode != http.StatusOK:
		record(Answered, answer.StatusCode, "")
	case err != nil:
		record(Broken, answer.StatusCode, err.Error())
	case !strings.HasSuffix(string(body), "data: [DONE]\n\n"):
		record(Lost, answer.StatusCode, "a stream that is not whole was ended as if it were")
	default:
		record(Answered, answer.StatusCode, "")
	}
	if answer.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(k.within(100 * time.Millisecond))
	}
	return err == nil && !answer.Close
}
