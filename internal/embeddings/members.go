package embeddings

import (
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/frontend"
)

// member is one member of the body's JSON object, other than the arrays that the scanner passes on by element.
type member struct {
	name  string
	raw   []byte // JSON
	value gjson.Result
}

// memberParser reads one member into the request, or rejects it.
type memberParser func(r *Request, m member) *frontend.Problem

// memberParsers has a parser for each member of an API. Other members are rejected.
var memberParsers = map[Kind]map[string]memberParser{
	Embeddings: {
		"model":           readModel,
		"user":            readUser,
		"input":           readSingleInput,
		"encoding_format": readEncodingFormat,
		"dimensions":      readDimensions,
	},
	Rerank: {
		"model":            readModel,
		"user":             readUser,
		"query":            readQuery,
		"top_n":            readTopN,
		"return_documents": readReturnDocuments,
		"documents":        rejectSingleDocument,
	},
}

// readMember reads one member. A member that is null counts as absent, but a required member must not be null.
func (r *Request) readMember(name string, raw []byte) *frontend.Problem {
	m := member{name: name, raw: raw, value: gjson.ParseBytes(raw)}
	if m.value.Type == gjson.Null && !isRequired(name) {
		return nil
	}
	if r.begun && !allowedAfterBegin(name) {
		return frontend.Invalid(name, "parameter_too_late",
			"In a body of this size '%s' has to come before the inputs.", name)
	}
	if read := memberParsers[r.Kind][name]; read != nil {
		return read(r, m)
	}
	return frontend.UnknownParameter(name)
}

// isRequired reports whether a member must not be null.
func isRequired(name string) bool {
	switch name {
	case "model", "input", "query", "documents":
		return true
	}
	return false
}

// allowedAfterBegin reports whether a member may still come after Handler.Begin was called. Such a member does not
// change the parts that are sent.
func allowedAfterBegin(name string) bool {
	switch name {
	case "user", "top_n", "encoding_format":
		return true
	}
	return false
}

// wrongType returns the problem of a member whose type is not the wanted one.
func (m member) wrongType(want string) *frontend.Problem {
	return frontend.WrongType(m.name, want, strings.ToLower(m.value.Type.String()))
}

// text returns the value of a member that must be a non-empty string.
func (m member) text() (string, *frontend.Problem) {
	if m.value.Type != gjson.String || m.value.Str == "" {
		return "", m.wrongType("a string")
	}
	return m.value.String(), nil
}

// count returns the value of a member that must be a positive integer.
func (m member) count() (int, *frontend.Problem) {
	if m.value.Type != gjson.Number || m.value.Num != float64(int(m.value.Num)) {
		return 0, m.wrongType("an integer")
	}
	if m.value.Num < 1 {
		return 0, frontend.BelowOne(m.name)
	}
	return int(m.value.Num), nil
}

func readModel(r *Request, m member) (problem *frontend.Problem) {
	r.Model, problem = m.text()
	return problem
}

func readUser(_ *Request, m member) *frontend.Problem {
	if m.value.Type != gjson.String {
		return frontend.UnknownParameter(m.name)
	}
	return nil
}

func readSingleInput(r *Request, m member) *frontend.Problem {
	if m.value.Type != gjson.String {
		return m.wrongType("a string or an array")
	}
	return r.readElement(m.name, m.raw)
}

func readEncodingFormat(r *Request, m member) *frontend.Problem {
	format := m.value.String()
	if format != "float" && format != "base64" {
		return frontend.Invalid(m.name, "invalid_value",
			"Invalid value: '%.40s'. Supported values are: float, base64.", format)
	}
	r.EncodeBase64 = format == "base64"
	return nil
}

func readDimensions(r *Request, m member) (problem *frontend.Problem) {
	r.Dimensions, problem = m.count()
	return problem
}

func readQuery(r *Request, m member) (problem *frontend.Problem) {
	r.Query, problem = m.text()
	return problem
}

func readTopN(r *Request, m member) (problem *frontend.Problem) {
	r.TopN, problem = m.count()
	return problem
}

func readReturnDocuments(r *Request, m member) *frontend.Problem {
	if !m.value.IsBool() {
		return m.wrongType("a boolean")
	}
	r.ReturnDocuments = m.value.Bool()
	return nil
}

// rejectSingleDocument rejects documents that are not an array; an array's elements are passed to readElement instead.
func rejectSingleDocument(_ *Request, m member) *frontend.Problem { return m.wrongType("an array") }
