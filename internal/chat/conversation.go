package chat

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"plumspindle/internal/frontend"
)

// publicSalt is the cache salt of prompts that all tenants share.
const publicSalt = "public"

// roles are those that the specification knows.
var roles = []string{"system", "developer", "user", "assistant", "tool", "function"}

// conversation checks a request's messages and gathers what identifies it: the shared prefix is the text of the leading
// system and developer messages, the beginning is that text and the first message after it.
type conversation struct {
	space       string
	prefix      hash.Hash
	beginning   *xxhash.Digest
	count       int  // messages so far
	inPrefix    bool // only system and developer messages so far
	begun       bool // the beginning is complete
	textBytes   int
	prefixBytes int // of these, those of the shared prefix
}

func newConversation(space string) *conversation {
	c := &conversation{space: space, prefix: sha256.New(), beginning: xxhash.New(), inPrefix: true}
	_, _ = c.beginning.WriteString(space + "\x00")
	return c
}

// read reads all messages.
func (c *conversation) read(messages gjson.Result) (problem *frontend.Problem) {
	messages.ForEach(func(_, message gjson.Result) bool {
		problem = c.readMessage(message)
		return problem == nil
	})
	if problem == nil && c.count == 0 {
		return frontend.EmptyArray("messages")
	}
	return problem
}

func (c *conversation) readMessage(message gjson.Result) *frontend.Problem {
	path := fmt.Sprintf("messages[%d]", c.count)
	c.count++
	role := message.Get("role").String()
	if !message.IsObject() || !slices.Contains(roles, role) {
		return frontend.Invalid(path+".role", "invalid_value",
			"Invalid value: '%.40s'. Supported values are: %s.", role, strings.Join(roles, ", "))
	}
	c.inPrefix = c.inPrefix && (role == "system" || role == "developer")
	size, problem := c.readContent(path, role, message.Get("content"))
	if problem != nil {
		return problem
	}
	size += len(message.Get("tool_calls").Raw)
	size += bytesPerToken // a message costs about a token by itself
	c.textBytes += size
	if c.inPrefix {
		c.prefixBytes += size
	} else {
		c.begun = true
	}
	return nil
}

// readContent reads a message's content and returns the size of its text in bytes.
func (c *conversation) readContent(path, role string, content gjson.Result) (size int, problem *frontend.Problem) {
	switch {
	case content.Type == gjson.String:
		return c.addText(content.String()), nil
	case content.IsArray():
		return c.readParts(path, content)
	case content.Exists() && content.Type != gjson.Null:
		return 0, frontend.Invalid(path+".content", "invalid_type", "The content must be a string or an array of parts.")
	case role != "assistant":
		return 0, frontend.Invalid(path+".content", "missing_required_parameter", "The message has no content.")
	}
	return 0, nil
}

func (c *conversation) readParts(path string, parts gjson.Result) (size int, problem *frontend.Problem) {
	for i, part := range parts.Array() {
		kind := part.Get("type").String()
		switch kind {
		case "text", "refusal": // each names the member that holds its text
			size += c.addText(part.Get(kind).String())
		default:
			return 0, frontend.Invalid(fmt.Sprintf("%s.content[%d].type", path, i), "unsupported_value",
				"Only parts of type 'text' are served, not '%.40s'.", kind)
		}
	}
	return size, nil
}

// addText adds text of the current message to what identifies the conversation, and returns its size.
func (c *conversation) addText(text string) (size int) {
	if c.inPrefix {
		_, _ = c.prefix.Write([]byte(text))
	}
	if !c.begun {
		_, _ = c.beginning.WriteString(text)
	}
	return len(text)
}

// identify sets what the messages say of a request. A stated cache key identifies the session in place of its
// beginning.
func (c *conversation) identify(request *Request, cacheKey string, isPublic IsPublic) {
	request.PromptTokens = (c.textBytes + bytesPerToken - 1) / bytesPerToken
	request.SharedPrefixTokens = c.prefixBytes / bytesPerToken
	request.CacheSalt = c.space
	if request.SharedPrefixTokens > 0 {
		digest := hex.EncodeToString(c.prefix.Sum(nil))
		if isPublic != nil && isPublic(digest) {
			request.CacheSalt = publicSalt
		}
		request.SharedPrefix = nonZero(xxhash.Sum64String(request.CacheSalt + "\x00" + digest))
	}
	request.Session = nonZero(c.beginning.Sum64())
	if cacheKey != "" {
		request.Session = nonZero(xxhash.Sum64String(c.space + "\x00key\x00" + cacheKey))
	}
}

// nonZero keeps a hash apart from 0, which stands for none.
func nonZero(hash uint64) uint64 { return max(hash, 1) }
