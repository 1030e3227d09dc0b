package chat

import (
	"slices"

	"github.com/tidwall/gjson"

	"plumspindle/internal/frontend"
)

// Request is what a client asks for.
type Request struct {
	Model              string
	Stream             bool
	IncludeUsage       bool
	MaxTokens          int    // tokens that the answer may have; 0: not stated
	PromptTokens       int    // an estimate: endpoints count the true number
	SharedPrefixTokens int    // of these, those of the shared prefix
	Session            uint64 // identifies the conversation
	SharedPrefix       uint64 // identifies the leading system and developer messages; 0: there are none
	CacheSalt          string // endpoints share cached prefixes only between requests with the same salt
	// Passthrough is the request's members, without the braces, except those that each attempt states anew.
	Passthrough []byte
}

// bytesPerToken estimates how many bytes of text make a token.
const bytesPerToken = 4

// attemptMembers are the members that the router states itself on each attempt.
var attemptMembers = []string{
	"stream", "stream_options", "max_tokens", "max_completion_tokens", "kv_transfer_params", "cache_salt",
}

// ParseRequest reads a request's body. Sessions and prefixes are identified within a space, so that equal texts of two
// tenants are never taken for one, except where isPublic says so; it may be nil.
func ParseRequest(body []byte, space string, isPublic IsPublic) (*Request, *frontend.Problem) {
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
	conversation := newConversation(space)
	if problem := conversation.read(p.messages); problem != nil {
		return nil, problem
	}
	conversation.identify(p.request, p.cacheKey, isPublic)
	return p.request, nil
}

func parseObject(body []byte) (gjson.Result, *frontend.Problem) {
	if !gjson.ValidBytes(body) {
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
	seen     map[string]bool // names of members
	messages gjson.Result
	cacheKey string
}

// readMembers reads each member and copies those that pass through, as they are written.
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

func (r *Request) passThrough(key, value gjson.Result) {
	if len(r.Passthrough) > 0 {
		r.Passthrough = append(r.Passthrough, ',')
	}
	r.Passthrough = append(r.Passthrough, key.Raw...)
	r.Passthrough = append(r.Passthrough, ':')
	r.Passthrough = append(r.Passthrough, value.Raw...)
}

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
