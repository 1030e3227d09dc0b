package chat

import (
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/frontend"
)

// memberParser reads one JSON member that is not null. It returns a problem if the member is not accepted.
type memberParser func(p *parser, name string, value gjson.Result) *frontend.Problem

// memberParsers has a parser for each member that the router reads. All other members are passed on unread.
var memberParsers = map[string]memberParser{
	"model":                 readModel,
	"messages":              readMessages,
	"prompt_cache_key":      readCacheKey,
	"stream":                readStream,
	"stream_options":        readStreamOptions,
	"max_tokens":            readMaxTokens,
	"max_completion_tokens": readMaxTokens,
	"n":                     readChoiceCount,
	"modalities":            readModalities,
	"audio":                 refuseAudio,
	"kv_transfer_params":    refuseRouterMember,
	"cache_salt":            refuseRouterMember,
}

// readMember reads a member. A member that is null counts as omitted; model and messages must not be null.
func (p *parser) readMember(name string, value gjson.Result) *frontend.Problem {
	if value.Type == gjson.Null {
		if name == "model" || name == "messages" {
			return wrongType(name, "a value", value)
		}
		return nil
	}
	if read := memberParsers[name]; read != nil {
		return read(p, name, value)
	}
	return nil
}

// wrongType returns the problem of a member whose JSON type is not the wanted one.
func wrongType(name, want string, value gjson.Result) *frontend.Problem {
	return frontend.WrongType(name, want, strings.ToLower(value.Type.String()))
}

// readString returns the value of a member that must be a string.
func readString(name string, value gjson.Result) (string, *frontend.Problem) {
	if value.Type != gjson.String {
		return "", wrongType(name, "a string", value)
	}
	return value.String(), nil
}

func readModel(p *parser, name string, value gjson.Result) (problem *frontend.Problem) {
	p.request.Model, problem = readString(name, value)
	return problem
}

func readMessages(p *parser, name string, value gjson.Result) *frontend.Problem {
	if !value.IsArray() {
		return wrongType(name, "an array", value)
	}
	p.messages = value
	return nil
}

func readCacheKey(p *parser, name string, value gjson.Result) (problem *frontend.Problem) {
	p.cacheKey, problem = readString(name, value)
	return problem
}

func readStream(p *parser, name string, value gjson.Result) *frontend.Problem {
	if !value.IsBool() {
		return wrongType(name, "a boolean", value)
	}
	p.request.Stream = value.Bool()
	return nil
}

func readStreamOptions(p *parser, name string, value gjson.Result) *frontend.Problem {
	if !value.IsObject() {
		return wrongType(name, "an object", value)
	}
	p.request.IncludeUsage = value.Get("include_usage").Bool()
	return nil
}

// readMaxTokens reads the token limit under either of its names. If both are given, max_completion_tokens applies,
// because it is the newer name.
func readMaxTokens(p *parser, name string, value gjson.Result) *frontend.Problem {
	if value.Type != gjson.Number || value.Num != float64(int(value.Num)) {
		return wrongType(name, "an integer", value)
	}
	if value.Num < 1 {
		return frontend.BelowOne(name)
	}
	if p.request.MaxTokens == 0 || name == "max_completion_tokens" {
		p.request.MaxTokens = int(value.Num)
	}
	return nil
}

func readChoiceCount(_ *parser, name string, value gjson.Result) *frontend.Problem {
	if value.Num != 1 {
		return frontend.Invalid(name, "unsupported_value", "Only one answer a request is served: 'n' must be 1.")
	}
	return nil
}

func readModalities(_ *parser, name string, value gjson.Result) *frontend.Problem {
	for _, modality := range value.Array() {
		if modality.String() != "text" {
			return frontend.Invalid(name, "unsupported_value", "Only the modality 'text' is served.")
		}
	}
	return nil
}

func refuseAudio(_ *parser, name string, _ gjson.Result) *frontend.Problem {
	return frontend.Invalid(name, "unsupported_parameter", "Audio is not served.")
}

// refuseRouterMember refuses members that only the router sends to endpoints and that are not part of the public API.
func refuseRouterMember(_ *parser, name string, _ gjson.Result) *frontend.Problem {
	return frontend.UnknownParameter(name)
}
