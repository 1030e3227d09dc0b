package http1

import (
	"errors"
	"fmt"
	"net/http"
)

// The kinds of protocol errors, for errors.Is.
var (
	ErrMalformed          = errors.New("malformed message")
	ErrTruncated          = errors.New("truncated message")
	ErrHeadTooLarge       = errors.New("message head too large")
	ErrBodyTooLarge       = errors.New("message body too large")
	ErrUnsupportedVersion = errors.New("unsupported protocol version")
	ErrUnsupportedCoding  = errors.New("unsupported transfer coding")
)

// ProtocolError is the error for a message that can't be parsed. Its text is written for the sender of the message.
type ProtocolError struct {
	Status int // the status code of a server's response to a request with this error
	Reason string
	kind   error // one of the errors above
}

// Error returns the reason.
func (e *ProtocolError) Error() string { return e.Reason }

// Unwrap returns the kind of the error, for example ErrBodyTooLarge.
func (e *ProtocolError) Unwrap() error { return e.kind }

// statusCodes maps each kind of error to the status code of the response.
var statusCodes = map[error]int{
	ErrMalformed:          http.StatusBadRequest,
	ErrTruncated:          http.StatusBadRequest,
	ErrHeadTooLarge:       http.StatusRequestHeaderFieldsTooLarge,
	ErrBodyTooLarge:       http.StatusRequestEntityTooLarge,
	ErrUnsupportedVersion: http.StatusHTTPVersionNotSupported,
	ErrUnsupportedCoding:  http.StatusNotImplemented,
}

func protocolError(kind error, format string, args ...any) *ProtocolError {
	return &ProtocolError{Status: statusCodes[kind], Reason: fmt.Sprintf(format, args...), kind: kind}
}
