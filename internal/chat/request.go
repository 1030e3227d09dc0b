package chat

import (
	"slices"

	"github.com/tidwall/gjson"

	"plumspindle/internal/frontend"
	"plumspindle/internal/jsonsyntax"
)

// Request is a client's chat completion request.
type Request struct {
	Model              string
	Stream             bool
	IncludeUsage       bool
	MaxTokens          int    // of the answer; 0: not stated
	PromptTokens       int    // an estimate; endpoints count the exact number
	SharedPrefixTokens int    // the part of PromptTokens in the shared prefix
	Session            uint64 // hash that identifies the conversation
	SharedPrefix       uint64 // hash that identifies the leading system and developer messages; 0: there are none
	CacheSalt          string // endpoints share cached prefixes only between requests with the same salt
	// Passthrough holds the request's JSON members without the enclosing braces, except attemptMembers.
	Passthrough []byte
}

// bytesPerToken estimates how many bytes of text make a token.
const bytesPerToken = 4

// attemptMembers are the JSON members that the router sets itself for each attempt.
var attemptMembers = []string{
	"stream", "stream_options", "max_tokens", "max_completion_tokens", "kv_transfer_params", "cache_salt",
}

// ParseRequest parses a request's body. The hashes of sessions and prefixes include the namespace, so that the hashes
// of two tenants differ even for equal texts. Tenants share the prefixes for which isPublic returns true; isPublic may
// be nil.
func ParseRequest(body []byte, namespace string, isPublic IsPublic) (*Request, *frontend.Problem) {
	root, problem := parseObject(body)
	if problem != nil {
		return nil, problem
	}
	p := parser{
		request: &Request{Passthrough: make([]byte, 0, len(body))},
		seen:    map[string]bool{},
	}
	if problem := p.readMembers(root); problem != nil {
		return nil, problem
	}
	if problem := p.checkRequired(); problem != nil {
		return nil, problem
	}
	conversation := newConversation(namespace)
	if problem := conversation.read(p.messages); problem != nil {
		return nil, problem
	}
	conversation.fillRequest(p.request, p.cacheKey, isPublic)
	return p.request, nil
}

// parseObject parses a body that must be a JSON object.
func parseObject(body []byte) (gjson.Result, *frontend.Problem) {
	if !jsonsyntax.Valid(body) {
		return gjson.Result{}, frontend.InvalidJSON()
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return gjson.Result{}, frontend.NotAnObject()
	}
	return root, nil
}

// parser reads the members of one request.
type parser struct {
	request  *Request
	seen     map[string]bool // names of the members read so far
	messages gjson.Result
	cacheKey string
}

// readMembers reads each member. It appends to Request.Passthrough the unchanged text of the members that are passed on
// to endpoints.
func (p *parser) readMembers(root gjson.Result) (problem *frontend.Problem) {
	root.ForEach(func(key, value gjson.Result) bool {
		name := key.String()
		if p.seen[name] {
			problem = frontend.DuplicateParameter(name)
			return false
		}
		p.seen[name] = true
		if problem = p.readMember(name, value); problem != nil {
			return false
		}
		if !slices.Contains(attemptMembers, name) {
			p.request.passThrough(key, value)
		}
		return true
	})
	return problem
}

// passThrough appends a member to Passthrough.
func (r *Request) passThrough(key, value gjson.Result) {
	if len(r.Passthrough) > 0 {
		r.Passthrough = append(r.Passthrough, ',')
	}
	r.Passthrough = append(r.Passthrough, key.Raw...)
	r.Passthrough = append(r.Passthrough, ':')
	r.Passthrough = append(r.Passthrough, value.Raw...)
}

// checkRequired returns a problem if a required member is missing or a member is given without another one that it
// depends on.
func (p *parser) checkRequired() *frontend.Problem {
	switch {
	case p.request.Model == "":
		return frontend.MissingParameter("model")
	case !p.seen["messages"]:
		return frontend.MissingParameter("messages")
	case p.seen["stream_options"] && !p.request.Stream:
		return frontend.Invalid("stream_options", "", "'stream_options' is only allowed when 'stream' is true.")
	}
	return nil
}
