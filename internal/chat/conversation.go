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

// publicSalt is the cache salt of prompts that may be shared between tenants.
const publicSalt = "public"

// roles are the message roles of the OpenAI specification.
var roles = []string{"system", "developer", "user", "assistant", "tool", "function"}

// conversation checks a request's messages, estimates their size, and hashes their shared prefix and their beginning.
// The shared prefix is the text of the leading system and developer messages. Its hash identifies prompts that
// endpoints can cache together. The beginning is the shared prefix and the first message after it. Its hash identifies
// the session.
type conversation struct {
	namespace         string
	prefix            hash.Hash
	beginning         *xxhash.Digest
	count             int  // messages read so far
	inPrefix          bool // only system and developer messages so far
	beginningComplete bool // the first message after the shared prefix has been read
	textBytes         int  // size of the text and tool calls of all messages, plus bytesPerToken for each message
	prefixBytes       int  // the part of textBytes in the shared prefix
}

func newConversation(namespace string) *conversation {
	c := &conversation{namespace: namespace, prefix: sha256.New(), beginning: xxhash.New(), inPrefix: true}
	_, _ = c.beginning.WriteString(namespace + "\x00")
	return c
}

// read reads all messages. It returns a problem if a message is invalid or there is no message.
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
	size += bytesPerToken // each message costs about one token in addition to its text
	c.textBytes += size
	if c.inPrefix {
		c.prefixBytes += size
	} else {
		c.beginningComplete = true
	}
	return nil
}

// readContent reads a message's content and returns the size of its text in bytes. Only an assistant's message may lack
// content.
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
		case "text", "refusal": // the text is in the member with the same name as the type
			size += c.addText(part.Get(kind).String())
		default:
			return 0, frontend.Invalid(fmt.Sprintf("%s.content[%d].type", path, i), "unsupported_value",
				"Only parts of type 'text' are served, not '%.40s'.", kind)
		}
	}
	return size, nil
}

// addText adds text of the current message to the hashes of the shared prefix and the beginning, as far as the text
// belongs to them. It returns the text's size in bytes.
func (c *conversation) addText(text string) (size int) {
	if c.inPrefix {
		_, _ = c.prefix.Write([]byte(text))
	}
	if !c.beginningComplete {
		_, _ = c.beginning.WriteString(text)
	}
	return len(text)
}

// fillRequest sets the fields of a request that follow from its messages. If the client stated a cache key, the key
// rather than the beginning identifies the session.
func (c *conversation) fillRequest(request *Request, cacheKey string, isPublic IsPublic) {
	request.PromptTokens = (c.textBytes + bytesPerToken - 1) / bytesPerToken
	request.SharedPrefixTokens = c.prefixBytes / bytesPerToken
	request.CacheSalt = c.namespace
	if request.SharedPrefixTokens > 0 {
		digest := hex.EncodeToString(c.prefix.Sum(nil))
		if isPublic != nil && isPublic(digest) {
			request.CacheSalt = publicSalt
		}
		request.SharedPrefix = nonZero(xxhash.Sum64String(request.CacheSalt + "\x00" + digest))
	}
	request.Session = nonZero(c.beginning.Sum64())
	if cacheKey != "" {
		request.Session = nonZero(xxhash.Sum64String(c.namespace + "\x00key\x00" + cacheKey))
	}
}

// nonZero returns a hash, or 1 in place of 0, since 0 stands for no hash.
func nonZero(hash uint64) uint64 { return max(hash, 1) }
