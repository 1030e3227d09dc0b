package http1

import (
	"net/http"
	"strconv"
	"strings"
)

// reasonPhrases are the reason phrases of status lines. http.StatusText isn't used because its phrases for 413 and 422
// differ from those of RFC 9110.
var reasonPhrases = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusCreated:                     "Created",
	http.StatusNoContent:                   "No Content",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusUnauthorized:                "Unauthorized",
	http.StatusForbidden:                   "Forbidden",
	http.StatusNotFound:                    "Not Found",
	http.StatusMethodNotAllowed:            "Method Not Allowed",
	http.StatusRequestTimeout:              "Request Timeout",
	http.StatusConflict:                    "Conflict",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusUnsupportedMediaType:        "Unsupported Media Type",
	http.StatusUnprocessableEntity:         "Unprocessable Content",
	http.StatusTooManyRequests:             "Too Many Requests",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusInternalServerError:         "Internal Server Error",
	http.StatusNotImplemented:              "Not Implemented",
	http.StatusBadGateway:                  "Bad Gateway",
	http.StatusServiceUnavailable:          "Service Unavailable",
	http.StatusGatewayTimeout:              "Gateway Timeout",
	http.StatusHTTPVersionNotSupported:     "HTTP Version Not Supported",
}

// Request is a request to write. Fields other than Host are passed to AppendRequest separately.
type Request struct {
	Method, Target, Host string
	Body                 []byte
}

// AppendRequest appends a request to b. Further fields are passed as alternating names and values; a field with an
// empty value is omitted.
func AppendRequest(b []byte, request Request, fields ...string) []byte {
	b = append(b, request.Method...)
	b = append(b, ' ')
	b = append(b, request.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, request.Host...)
	b = append(b, "\r\n"...)
	b = appendFields(b, fields)
	if request.Method != http.MethodGet {
		b = appendContentLength(b, request.Body)
	}
	b = append(b, "\r\n"...)
	return append(b, request.Body...)
}

// AppendResponse appends a complete response to b. The fields are passed as for AppendRequest.
func AppendResponse(b []byte, status int, body []byte, fields ...string) []byte {
	b = appendStatus(b, status)
	b = appendFields(b, fields)
	b = appendContentLength(b, body)
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// AppendStreamHead appends the head of a response with a chunked body. The fields are passed as for AppendRequest.
func AppendStreamHead(b []byte, status int, fields ...string) []byte {
	b = appendStatus(b, status)
	b = appendFields(b, fields)
	return append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
}

// AppendChunk appends one chunk of a body. It omits an empty chunk, which would end the body.
func AppendChunk(b, chunk []byte) []byte {
	if len(chunk) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(chunk)), 16)
	b = append(b, "\r\n"...)
	b = append(b, chunk...)
	return append(b, "\r\n"...)
}

// AppendLastChunk appends the last chunk and the empty trailer, which end a chunked body.
func AppendLastChunk(b []byte) []byte { return append(b, "0\r\n\r\n"...) }

func appendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	return append(b, "\r\n"...)
}

func appendContentLength(b, body []byte) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	return append(b, "\r\n"...)
}

func appendFields(b []byte, fields []string) []byte {
	for i := 0; i+1 < len(fields); i += 2 {
		name, value := fields[i], fields[i+1]
		if value == "" {
			continue
		}
		b = append(b, name...)
		b = append(b, ": "...)
		b = append(b, valueSanitizer.Replace(value)...)
		b = append(b, "\r\n"...)
	}
	return b
}

// valueSanitizer replaces the bytes with which a value could end its line and inject another field.
var valueSanitizer = strings.NewReplacer("\r", " ", "\n", " ", "\x00", " ")
