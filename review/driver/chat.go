package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	sent   bool // the last byte of the request was written
	status int  // 0: no head came
	tokens int  // events with content
	final  string
	err    error
}

// Kinds of final answers. An empty one means that the client got none.
const (
	streamed  = "streamed"  // the whole stream, with its last event
	finalFail = "failed"    // an error object, before or within a stream
	finalBusy = "throttled" // 429
)

func (a answer) String() string {
	final := a.final
	if final == "" {
		final = "NO FINAL ANSWER"
	}
	return fmt.Sprintf("%s (status %d, %d events, error %v)", final, a.status, a.tokens, a.err)
}

// post is a request of a client.
type post struct {
	address, path, key string
	fields             []string
	body               []byte
}

// send opens a connection and writes a request.
func (p post) send() (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", p.address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n",
		p.path, p.address, p.key)
	for i := 0; i+1 < len(p.fields); i += 2 {
		fmt.Fprintf(&head, "%s: %s\r\n", p.fields[i], p.fields[i+1])
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(p.body))
	if _, err := conn.Write(append(head.Bytes(), p.body...)); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// do sends a request and reads its answer until the end or until the time is over.
func (p post) do(within time.Duration) answer {
	conn, err := p.send()
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	return readAnswer(conn, within)
}

// readAnswer reads the answer to a request that was written.
func readAnswer(conn net.Conn, within time.Duration) (a answer) {
	a.sent = true
	_ = conn.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return a
	}
	a.status = response.StatusCode
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		_, a.err = io.Copy(io.Discard, response.Body)
		switch {
		case a.err != nil:
		case a.status == http.StatusOK:
			a.final = streamed
		case a.status == http.StatusTooManyRequests:
			a.final = finalBusy
		default:
			a.final = finalFail
		}
		return a
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !isData:
		case data == "[DONE]":
			a.final = streamed
		case strings.HasPrefix(data, `{"error"`):
			a.final = finalFail
			a.err = fmt.Errorf("%s", data)
			return a
		default:
			a.tokens++
		}
	}
	if a.err = lines.Err(); a.err == nil && a.final == "" {
		a.err = io.ErrUnexpectedEOF
	}
	return a
}

// chatBody returns the body of a streamed chat request.
func chatBody(model string, words, maxTokens int, text string) []byte {
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": text + strings.Repeat(" word", words)}},
	})
	return body
}
