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

// request is a request to the administration.
type request struct {
	method string
	path   []string // segments below apiPrefix
	query  map[string]string
	head   *http1.Head
	body   []byte
	caller caller

	// Server.route sets the tenant and the version.
	tenant  string // tenant name in the path; may be empty
	version uint64 // expected version from If-Match, or 0 if any version is accepted

	extraOps []store.Op // record changes to save together with the change of the registry
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

// segment returns the segment of the path at an index. It returns an empty string if the path has no such segment.
func (r *request) segment(i int) string {
	if i < len(r.path) {
		return r.path[i]
	}
	return ""
}

// dryRun reports whether the request only asks for the answer and must not change anything.
func (r *request) dryRun() bool { return r.query["dry_run"] == "true" }

// ifMatch returns the version in the If-Match header, or 0 if any version matches. ok is false if the header is
// malformed.
func (r *request) ifMatch() (version uint64, ok bool) {
	text := r.head.Get("If-Match")
	if text == "" || text == "*" {
		return 0, true
	}
	version, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	return version, err == nil && version > 0
}

// decode decodes the JSON body. It rejects unknown members, as a misspelt limit would otherwise be ignored.
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

// pageSize returns the maximum number of list entries in the answer.
func (r *request) pageSize() int {
	size, err := strconv.Atoi(r.query["limit"])
	if err != nil || size < 1 {
		return defaultPageSize
	}
	return min(size, maxPageSize)
}

// response is the answer to a request.
type response struct {
	status      int
	body        any    // encoded as JSON
	etag        uint64 // 0 for none
	text        []byte // sent as it is, instead of the body
	contentType string // of the text
}

func okResponse(body any) response { return response{status: http.StatusOK, body: body} }

// errorBody is the JSON body of an error response. The order of its members is part of the API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    tenancy.ErrorCode `json:"code"`
	Field   string            `json:"field"` // name of the invalid field of the request; may be empty
	Message string            `json:"message"`
}

func errorResponse(status int, code tenancy.ErrorCode, field, message string) response {
	return response{status: status, body: errorBody{errorDetail{Code: code, Field: field, Message: message}}}
}

// malformed returns the error for a request that can't be parsed.
func malformed(field, reason string) error {
	return &tenancy.ChangeError{Status: http.StatusBadRequest, Code: "malformed", Field: field, Reason: reason}
}

// responseForError returns the response to a request that failed with an error.
func responseForError(err error) response {
	var change *tenancy.ChangeError
	if errors.As(err, &change) {
		return errorResponse(change.Status, change.Code, change.Field, change.Reason)
	}
	return errorResponse(http.StatusInternalServerError, "internal", "", err.Error())
}
