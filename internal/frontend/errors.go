package frontend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// Error types of the public API.
const (
	typeInvalidRequest = "invalid_request_error"
	typePermission     = "permission_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// Header fields that tell a client whether and when to retry.
const (
	fieldRetryAfter   = "Retry-After"
	fieldRetryAfterMs = "retry-after-ms"
	fieldShouldRetry  = "x-should-retry"
)

// Problem is the error that a client gets for a request that can't be carried out.
type Problem struct {
	Status  int
	Type    string
	Param   string // the invalid parameter; empty: the problem concerns none
	Code    string
	Message string
	NoRetry bool // a retry can't succeed; the response tells client libraries not to retry
}

// Error implements error.
func (p *Problem) Error() string { return p.Message }

// errorBody is the public API's error object. The fields of errorBody and errorObject are in alphabetical order.
type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Code    *string `json:"code"`
	Message string  `json:"message"`
	Param   *string `json:"param"`
	Type    string  `json:"type"`
}

// Body returns the problem as the public API's error object, in JSON.
func (p *Problem) Body() []byte {
	return mustMarshal(errorBody{errorObject{
		Code:    nullIfEmpty(p.Code),
		Message: p.Message,
		Param:   nullIfEmpty(p.Param),
		Type:    p.Type,
	}})
}

func nullIfEmpty(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}

// mustMarshal returns the JSON encoding of a value whose type can't fail to encode.
func mustMarshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Errorf("marshal %T: %w", value, err))
	}
	return text
}

// Overloaded returns the problem of a request that is rejected for lack of capacity and of which no part has run.
func Overloaded() *Problem {
	return overloaded("The service is busy; nothing was run. Please try again.")
}

// OverloadedAfterPartialRun returns the problem of a request that is rejected for lack of capacity after parts of it
// have run.
func OverloadedAfterPartialRun() *Problem {
	return overloaded("The service is busy. Please try again.")
}

func overloaded(message string) *Problem {
	return &Problem{Status: http.StatusTooManyRequests, Type: typeRateLimit, Code: "throttled", Message: message}
}

// TenantSuspended returns the problem of a request whose tenant is suspended.
func TenantSuspended() *Problem {
	return &Problem{
		Status:  http.StatusForbidden,
		Type:    typePermission,
		Code:    "tenant_suspended",
		NoRetry: true,
		Message: "This account is suspended.",
	}
}

// PromptTooLarge returns the problem of a request that has more tokens in a parameter than its tenant may send.
func PromptTooLarge(param, message string) *Problem {
	return Invalid(param, "prompt_too_large", "%s", message)
}

// InputNotServed returns the problem of a call with several inputs, one of which no endpoint could process.
func InputNotServed(param string) *Problem {
	return &Problem{
		Status:  http.StatusUnprocessableEntity,
		Type:    typeInvalidRequest,
		Param:   param,
		Code:    "input_not_served",
		NoRetry: true,
		Message: fmt.Sprintf("'%s' could not be read; the others could.", param),
	}
}

// ModelNotFound returns the problem of a request for a model that is not served.
func ModelNotFound(name string) *Problem {
	if len(name) > maxEchoedNameBytes {
		name = name[:maxEchoedNameBytes]
	}
	return &Problem{
		Status:  http.StatusNotFound,
		Type:    typeInvalidRequest,
		Param:   "model",
		Code:    "model_not_found",
		Message: "The model '" + name + "' does not exist or you do not have access to it.",
	}
}

// BodyTooLarge returns the problem of a request whose body, or the part of it that has to be buffered, is too large.
func BodyTooLarge(format string, args ...any) *Problem {
	return &Problem{
		Status:  http.StatusRequestEntityTooLarge,
		Type:    typeInvalidRequest,
		Code:    "body_too_large",
		Message: fmt.Sprintf(format, args...),
	}
}

func overQuota(reason string) *Problem {
	return &Problem{
		Status:  http.StatusTooManyRequests,
		Type:    typeRateLimit,
		Code:    "rate_limit_exceeded",
		Message: "Rate limit reached: " + reason + ".",
	}
}

func failed(message string) *Problem {
	return &Problem{Status: http.StatusServiceUnavailable, Type: typeServer, Code: "terminated", Message: message}
}

func missingKey() *Problem {
	return &Problem{Status: http.StatusUnauthorized, Type: typeInvalidRequest, Message: "You didn't provide an API key."}
}

func unknownKey() *Problem {
	return &Problem{
		Status:  http.StatusUnauthorized,
		Type:    typeInvalidRequest,
		Code:    "invalid_api_key",
		Message: "Incorrect API key provided.",
	}
}

func unknownURL(method, path string) *Problem {
	return &Problem{
		Status:  http.StatusNotFound,
		Type:    typeInvalidRequest,
		Code:    "unknown_url",
		Message: "Unknown request URL: " + method + " " + path + ".",
	}
}

func methodNotAllowed(method string) *Problem {
	return &Problem{
		Status:  http.StatusMethodNotAllowed,
		Type:    typeInvalidRequest,
		Message: "Not allowed to " + strings.ToUpper(method) + " on this URL.",
	}
}

func requestTimeout() *Problem {
	return &Problem{
		Status:  http.StatusRequestTimeout,
		Type:    typeInvalidRequest,
		Code:    "request_timeout",
		Message: "The request did not come in time.",
	}
}

func malformed(err *http1.ProtocolError) *Problem {
	return &Problem{
		Status:  err.Status,
		Type:    typeInvalidRequest,
		Message: "The request can't be read: " + err.Reason + ".",
	}
}

func unsupported(code, message string) *Problem {
	return &Problem{Status: http.StatusUnsupportedMediaType, Type: typeInvalidRequest, Code: code, Message: message}
}

// OverloadedResponse returns the response on a connection that is closed for lack of capacity without being read.
func OverloadedResponse() []byte {
	problem := Overloaded()
	fields := append(retryFields(0), "Connection", "close", "Content-Type", "application/json")
	return http1.AppendResponse(nil, problem.Status, problem.Body(), fields...)
}

// retryFields returns the header fields that tell when to retry. The delay is rounded up to whole units. A delay of 0
// or less stands for defaultRetryAfter.
func retryFields(delay eventloop.Micros) []string {
	if delay <= 0 {
		delay = defaultRetryAfter
	}
	return []string{
		fieldRetryAfter, formatCeil(delay, eventloop.Second),
		fieldRetryAfterMs, formatCeil(delay, eventloop.Millisecond),
	}
}

// formatCeil returns a duration in the given unit, rounded up, as decimal text.
func formatCeil(duration, unit eventloop.Micros) string {
	return strconv.FormatInt(int64((duration+unit-1)/unit), 10)
}
