package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// ask describes one request of a client.
type ask struct {
	id, class, key string
	deadline       time.Duration
	extra          string
	body           string
}

func (a ask) text(host string) string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", host)
	fmt.Fprintf(b, "Req-Id: %s\r\nReq-Kind: %s\r\nReq-Key: %s\r\nReq-Deadline: %dm\r\n", a.id, a.class, a.key,
		a.deadline.Milliseconds())
	if a.extra != "" {
		fmt.Fprintf(b, "Req-Extra: %s\r\n", a.extra)
	}
	fmt.Fprintf(b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return b.String()
}

// chatBody is the body of a usual request with a prompt of about so many tokens.
func chatBody(tokens int) string {
	return `{"model":"chat","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"` +
		strings.Repeat("abc ", max(tokens, 1)) + `"}]}`
}

// answer is what a client has seen.
type answer struct {
	status   int
	body     string
	complete bool // the last chunk, or the whole body, has come
	err      error
	sentAt   time.Time
	headAt   time.Time
	endAt    time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, broken: %v", a.status, a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete %v", a.status, len(a.body), a.complete)
}

// send sends a request on a connection of its own and waits for the whole answer, for limit at most.
func (w *world) send(address string, a ask, limit time.Duration) answer {
	got := answer{}
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		got.err = err
		return got
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit))
	got.sentAt = time.Now()
	if _, err := io.WriteString(conn, a.text(address)); err != nil {
		got.err = err
		return got
	}
	return readAnswer(bufio.NewReader(conn), got)
}

func readAnswer(reader *bufio.Reader, got answer) answer {
	response, err := http.ReadResponse(reader, nil)
	got.headAt = time.Now()
	if err != nil {
		got.err, got.endAt = err, time.Now()
		return got
	}
	got.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	got.body, got.err, got.endAt = string(body), err, time.Now()
	got.complete = err == nil
	return got
}
