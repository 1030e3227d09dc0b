// Package chat is the chat API of the public OpenAI specification: from a body to an Ask, and from what a writer streams
// to what the client is sent.
package chat

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"plumspindle/internal/frontend"
	"plumspindle/internal/http1"
)

// Route is the API's one URL. Public tells whether the operator lets tenants share a text, by its digest.
func Route(public func(digest string) bool, take func(ask *Request, who frontend.Identity, head *http1.Head, to *frontend.Response) *frontend.Problem) (string, frontend.Route) {
	return "/v1/chat/completions", frontend.Route{Method: "POST", Begin: func(head *http1.Head, who frontend.Identity, to *frontend.Response) (frontend.Sink, *frontend.Problem) {
		if p := frontend.RequireJSON(head); p != nil {
			return nil, p
		}
		return &frontend.BufferedBody{Handle: func(body []byte) *frontend.Problem {
			ask, p := ParseRequest(body, who.Space, public)
			if p != nil {
				return p
			}
			return take(ask, who, head, to)
		}}, nil
	}}
}

// Request is what a client wants.
type Request struct {
	Model              string
	Stream             bool
	IncludeUsage       bool
	MaxTokens          int // tokens that the answer may have; 0 = not stated
	PromptTokens       int // of the prompt, as far as it can be known here
	SharedPrefixTokens int // of these, those of the shared text
	Session            uint64
	SharedPrefix       uint64 // names the shared text; 0 = there is none
	CacheSalt          string // kept texts at the hosts are shared only where this is equal
	Passthrough        []byte // the request's members but for those that each leg states anew, without the braces
}

// tokenBytes is how many bytes of text are taken for a token; hosts tell the true count afterwards.
const tokenBytes = 4

// legMembers are the members that the router states itself on each leg.
var legMembers = []string{"stream", "stream_options", "max_tokens", "max_completion_tokens", "kv_transfer_params", "cache_salt"}

// roles that the specification knows.
var roles = []string{"system", "developer", "user", "assistant", "tool", "function"}

// ParseRequest reads a request's body. Names are kept apart by a space, so that equal texts of two tenants are never taken for
// one, unless the operator lets a text be shared.
func ParseRequest(body []byte, space string, public func(digest string) bool) (*Request, *frontend.Problem) {
	if !gjson.ValidBytes(body) {
		return nil, frontend.Invalid("", "invalid_json", "The body is not valid JSON.")
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return nil, frontend.Invalid("", "invalid_json", "The body must be a JSON object.")
	}
	a := &Request{Passthrough: make([]byte, 0, len(body))}
	var trouble *frontend.Problem
	var messages gjson.Result
	var cacheKey string
	seen := map[string]bool{}
	root.ForEach(func(key, v gjson.Result) bool {
		name := key.String()
		if seen[name] {
			trouble = frontend.Invalid(name, "duplicate_parameter", "The parameter %q is given twice.", name)
			return false
		}
		seen[name] = true
		trouble = a.member(name, v)
		switch name {
		case "messages":
			messages = v
		case "prompt_cache_key":
			cacheKey = v.String()
		}
		if !slices.Contains(legMembers, name) {
			if len(a.Passthrough) > 0 {
				a.Passthrough = append(a.Passthrough, ',')
			}
			a.Passthrough = append(a.Passthrough, key.Raw...)
			a.Passthrough = append(a.Passthrough, ':')
			a.Passthrough = append(a.Passthrough, v.Raw...)
		}
		return trouble == nil
	})
	switch {
	case trouble != nil:
		return nil, trouble
	case a.Model == "":
		return nil, frontend.Invalid("model", "missing_required_parameter", "Missing required parameter: 'model'.")
	case !seen["messages"]:
		return nil, frontend.Invalid("messages", "missing_required_parameter", "Missing required parameter: 'messages'.")
	case seen["stream_options"] && !a.Stream:
		return nil, frontend.Invalid("stream_options", "", "'stream_options' is only allowed when 'stream' is true.")
	}
	if trouble := a.messages(messages, space, cacheKey, public); trouble != nil {
		return nil, trouble
	}
	return a, nil
}

// member takes one member of the request that the router reads, or refuses.
func (a *Request) member(name string, v gjson.Result) *frontend.Problem {
	wrong := func(want string) *frontend.Problem {
		return frontend.Invalid(name, "invalid_type", "Invalid type for '%s': expected %s, but got %s instead.", name, want,
			strings.ToLower(v.Type.String()))
	}
	if v.Type == gjson.Null {
		if name == "model" || name == "messages" {
			return wrong("a value")
		}
		return nil
	}
	switch name {
	case "model":
		if v.Type != gjson.String {
			return wrong("a string")
		}
		a.Model = v.String()
	case "messages":
		if !v.IsArray() {
			return wrong("an array")
		}
	case "prompt_cache_key":
		if v.Type != gjson.String {
			return wrong("a string")
		}
	case "stream":
		if !v.IsBool() {
			return wrong("a boolean")
		}
		a.Stream = v.Bool()
	case "stream_options":
		if !v.IsObject() {
			return wrong("an object")
		}
		a.IncludeUsage = v.Get("include_usage").Bool()
	case "max_tokens", "max_completion_tokens":
		if v.Type != gjson.Number || v.Num != float64(int(v.Num)) {
			return wrong("an integer")
		}
		if v.Num < 1 {
			return frontend.Invalid(name, "integer_below_min_value", "Invalid '%s': expected a value >= 1.", name)
		}
		if a.MaxTokens == 0 || name == "max_completion_tokens" {
			a.MaxTokens = int(v.Num)
		}
	case "n":
		if v.Num != 1 {
			return frontend.Invalid(name, "unsupported_value", "Only one answer a request is served: 'n' must be 1.")
		}
	case "modalities":
		for _, m := range v.Array() {
			if m.String() != "text" {
				return frontend.Invalid(name, "unsupported_value", "Only the modality 'text' is served.")
			}
		}
	case "audio":
		return frontend.Invalid(name, "unsupported_parameter", "Audio is not served.")
	case "kv_transfer_params", "cache_salt":
		return frontend.Invalid(name, "unknown_parameter", "Unknown parameter: '%s'.", name)
	}
	return nil
}

// messages checks the conversation and draws the names from it: the shared text is what the leading system
// and developer messages say, the session the stated key or else how the conversation begins.
func (a *Request) messages(list gjson.Result, space, cacheKey string, public func(string) bool) *frontend.Problem {
	shared, begins := sha256.New(), xxhash.New()
	_, _ = begins.WriteString(space + "\x00")
	var trouble *frontend.Problem
	i, leading, begun, text, sharedText := 0, true, false, 0, 0
	list.ForEach(func(_, m gjson.Result) bool {
		at := fmt.Sprintf("messages[%d]", i)
		i++
		role := m.Get("role").String()
		if !m.IsObject() || !slices.Contains(roles, role) {
			trouble = frontend.Invalid(at+".role", "invalid_value", "Invalid value: '%.40s'. Supported values are: %s.", role,
				strings.Join(roles, ", "))
			return false
		}
		leading = leading && (role == "system" || role == "developer")
		size := 0
		take := func(s string) {
			size += len(s)
			if leading {
				_, _ = io.WriteString(shared, s)
			}
			if !begun {
				_, _ = begins.WriteString(s)
			}
		}
		content := m.Get("content")
		switch {
		case content.Type == gjson.String:
			take(content.String())
		case content.IsArray():
			for j, part := range content.Array() {
				switch part.Get("type").String() {
				case "text":
					take(part.Get("text").String())
				case "refusal":
					take(part.Get("refusal").String())
				default:
					trouble = frontend.Invalid(fmt.Sprintf("%s.content[%d].type", at, j), "unsupported_value",
						"Only parts of type 'text' are served, not '%.40s'.", part.Get("type").String())
					return false
				}
			}
		case content.Exists() && content.Type != gjson.Null:
			trouble = frontend.Invalid(at+".content", "invalid_type", "The content must be a string or an array of parts.")
			return false
		case role != "assistant":
			trouble = frontend.Invalid(at+".content", "missing_required_parameter", "The message has no content.")
			return false
		}
		size += len(m.Get("tool_calls").Raw)
		text += size + tokenBytes // a message costs about a token by itself
		if leading {
			sharedText += size + tokenBytes
		} else {
			begun = true
		}
		return true
	})
	switch {
	case trouble != nil:
		return trouble
	case i == 0:
		return frontend.Invalid("messages", "empty_array", "Invalid 'messages': empty array.")
	}
	a.PromptTokens, a.SharedPrefixTokens = (text+tokenBytes-1)/tokenBytes, sharedText/tokenBytes
	a.CacheSalt = space
	if a.SharedPrefixTokens > 0 {
		digest := hex.EncodeToString(shared.Sum(nil))
		if public != nil && public(digest) {
			a.CacheSalt = "public"
		}
		a.SharedPrefix = max(xxhash.Sum64String(a.CacheSalt+"\x00"+digest), 1)
	}
	if a.Session = max(begins.Sum64(), 1); cacheKey != "" {
		a.Session = max(xxhash.Sum64String(space+"\x00key\x00"+cacheKey), 1)
	}
	return nil
}
