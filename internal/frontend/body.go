package frontend

import (
	"slices"
	"strings"

	"plumspindle/internal/http1"
)

// Sink receives the body of one request as it arrives. A problem that it returns becomes the request's final answer.
type Sink interface {
	Data(data []byte) *Problem
	End() *Problem
}

// BufferedBody is a Sink that buffers the body and passes the complete body to Handle.
type BufferedBody struct {
	body   []byte
	Handle func(body []byte) *Problem
}

// Data implements Sink.
func (b *BufferedBody) Data(data []byte) *Problem {
	b.body = append(b.body, data...)
	return nil
}

// End implements Sink.
func (b *BufferedBody) End() *Problem { return b.Handle(b.body) }

// discardingSink is a Sink that ignores the body and calls the function end after the body.
type discardingSink struct{ end func() }

func (d *discardingSink) Data([]byte) *Problem { return nil }

func (d *discardingSink) End() *Problem {
	d.end()
	return nil
}

func isDiscarding(sink Sink) bool {
	_, is := sink.(*discardingSink)
	return is
}

// RequireJSON returns a problem if a body's content type is stated and is not JSON, or if its content encoding is not
// among the given ones.
func RequireJSON(head *http1.Head, encodings ...string) *Problem {
	contentType := strings.ToLower(head.Get("Content-Type"))
	if contentType != "" && !strings.HasPrefix(contentType, "application/json") {
		return unsupported("unsupported_content_type", "The content type must be application/json.")
	}
	encoding := strings.ToLower(head.Get("Content-Encoding"))
	if encoding == "" || encoding == "identity" || slices.Contains(encodings, encoding) {
		return nil
	}
	message := "Coded bodies are not taken."
	if len(encodings) > 0 {
		message = "Bodies are taken plain or coded as " + strings.Join(encodings, " or ") + "."
	}
	return unsupported("unsupported_content_encoding", message)
}

// reserve counts bytes of the body as buffered, up to maxBuffered for one request, and returns true. If these
// bytes would take the server's count above its limit, reserve counts nothing and returns false.
func (r *Response) reserve(size int) bool {
	server := r.connection.server
	if r.maxBuffered > 0 {
		size = max(min(size, r.maxBuffered-r.buffered), 0)
	}
	if server.MaxBufferedBytes > 0 && server.BufferedBytes+size > server.MaxBufferedBytes {
		return false
	}
	r.buffered += size
	server.BufferedBytes += size
	return true
}

// releaseBuffer subtracts the body from the count of buffered bytes.
func (r *Response) releaseBuffer() {
	r.connection.server.BufferedBytes -= r.buffered
	r.buffered = 0
}

// SetBodyPaused pauses or resumes reading the request's body, for a Sink that has buffered enough. MessageTimeout does
// not run while reading is paused.
func (r *Response) SetBodyPaused(on bool) {
	c := r.connection
	if r.received || r.done || r.bodyPaused == on {
		return
	}
	r.bodyPaused = on
	c.conn.SetPaused(on)
	if on {
		c.timeout.Clear()
	} else {
		c.restartMessageTimeout()
	}
}
