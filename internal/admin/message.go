package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"plumspindle/internal/http1"
	"plumspindle/internal/store"
	"plumspindle/internal/tenancy"
)

// request is one call of the API.
type request struct {
	method string
	path   []string // segments below the prefix
	query  map[string]string
	head   *http1.Head
	body   []byte
	who    caller

	// The router sets these.
	tenant  string // in the path; may be empty
	version uint64 // from If-Match; 0 is any version

	extraOps []store.Op // records to save together with the call's change
}

// parseQuery parses a query string. It does not decode percent-encoded values.
func parseQuery(text string) map[string]string {
	query := map[string]string{}
	for _, pair := range strings.Split(text, "&") {
		if key, value, ok := strings.Cut(pair, "="); ok {
			query[key] = value
		}
	}
	return query
}

// segment returns a segment of the path, or an empty string past the last one.
func (r *request) segment(i int) string {
	if i < len(r.path) {
		return r.path[i]
	}
	return ""
}

// dryRun reports whether the call must not change anything.
func (r *request) dryRun() bool { return r.query["dry_run"] == "true" }

// ifMatch returns the version in If-Match; 0 is any version.
func (r *request) ifMatch() (version uint64, ok bool) {
	text := r.head.Get("If-Match")
	if text == "" || text == "*" {
		return 0, true
	}
	version, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	return version, err == nil && version > 0
}

// decode decodes the body. It rejects unknown members: a misspelt limit would otherwise be ignored.
func (r *request) decode(to any) error {
	decoder := json.NewDecoder(bytes.NewReader(r.body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(to); err != nil {
		return malformed("", "the body can't be read: "+strings.TrimPrefix(err.Error(), "json: "))
	}
	if decoder.More() {
		return malformed("", "the body has more than one value")
	}
	return nil
}

const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// pageSize returns how many entries of a list to return.
func (r *request) pageSize() int {
	size, err := strconv.Atoi(r.query["limit"])
	if err != nil || size < 1 {
		return defaultPageSize
	}
	return min(size, maxPageSize)
}

// response is the answer to a call.
type response struct {
	status      int
	body        any    // to be encoded as JSON
	etag        uint64 // 0: none
	text        []byte // in place of the body
	contentType string // of the text
}

func okResponse(body any) response { return response{status: http.StatusOK, body: body} }

// errorBody is the body of a response with an error. The order of its members is part of the API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    tenancy.ErrorCode `json:"code"`
	Field   string            `json:"field"` // of the request that is at fault; may be empty
	Message string            `json:"message"`
}

func errorResponse(status int, code tenancy.ErrorCode, field, message string) response {
	return response{status: status, body: errorBody{errorDetail{Code: code, Field: field, Message: message}}}
}

// malformed is the error of a request that can't be read.
func malformed(field, reason string) error {
	return &tenancy.ChangeError{Status: http.StatusBadRequest, Code: "malformed", Field: field, Reason: reason}
}

// failed returns the response to a call that ended in an error.
func failed(err error) response {
	var change *tenancy.ChangeError
	if errors.As(err, &change) {
		return errorResponse(change.Status, change.Code, change.Field, change.Reason)
	}
	return errorResponse(http.StatusInternalServerError, "internal", "", err.Error())
}
