package embeddings

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/frontend"
	"plumspindle/internal/vectors"
)

const (
	// bytesPerToken is used to estimate the tokens of a text; endpoints count the exact number.
	bytesPerToken = 4
	// A value of a body may have maxBytesPerToken bytes for each token of the longest input, and maxValueOverhead more.
	maxBytesPerToken = 16
	maxValueOverhead = 1024 // bytes
)

// Input is one text, document or array of tokens. Inputs with the same JSON are stored once.
type Input struct {
	Raw    []byte      // JSON; nil once the input has its result
	Tokens int         // estimated for a text
	Key    vectors.Key // digest of Raw
}

// tokenArray collects the elements of "input" if these are tokens instead of inputs: the whole array is then one input.
type tokenArray struct {
	raw   []byte // JSON of the tokens, each followed by a comma
	count int
}

// readElement reads one element of the array of inputs, or the only input of a body that has no such array.
func (r *Request) readElement(name string, raw []byte) *frontend.Problem {
	if name != r.Kind.InputsMember() {
		return frontend.UnknownParameter(name)
	}
	path := fmt.Sprintf("%s[%d]", name, len(r.Order))
	if r.Kind == Rerank {
		return r.readDocument(path, raw)
	}
	return r.readInput(path, raw)
}

// readDocument reads a document, which is a string or an object with a member "text".
func (r *Request) readDocument(path string, raw []byte) *frontend.Problem {
	value := gjson.ParseBytes(raw)
	if value.IsObject() {
		value = value.Get("text")
		raw = []byte(value.Raw)
	}
	if value.Type != gjson.String {
		return frontend.Invalid(path, "invalid_type",
			"Invalid type for '%s': expected a string or an object with a text.", path)
	}
	text := decodeText(raw)
	r.storeText(text)
	return r.addInput(path, raw, estimateTokens(text))
}

// readInput reads an input to embed, which is a string or an array of tokens, or one token of a tokenArray.
func (r *Request) readInput(path string, raw []byte) *frontend.Problem {
	value := gjson.ParseBytes(raw)
	switch {
	case value.Type == gjson.String:
		text := decodeText(raw)
		if text == "" {
			return frontend.Invalid(path, "invalid_value", "Invalid '%s': an input may not be empty.", path)
		}
		return r.addInput(path, raw, estimateTokens(text))
	case value.Type == gjson.Number && (len(r.Order) == 0 || r.tokenArray.count > 0):
		return r.appendToken(raw, value)
	case value.IsArray():
		return r.readTokens(path, raw, value)
	}
	return frontend.Invalid(path, "invalid_type",
		"Invalid type for '%s': expected a string or an array of tokens.", path)
}

// readTokens reads an input that is an array of tokens. It reads no more of them than an input may have.
func (r *Request) readTokens(path string, raw []byte, value gjson.Result) *frontend.Problem {
	count, valid := 0, true
	value.ForEach(func(_, token gjson.Result) bool {
		count++
		valid = isToken(token)
		return valid && count <= r.limits.MaxInputTokens
	})
	switch {
	case !valid:
		return invalidToken(path)
	case count == 0:
		return frontend.EmptyArray(path)
	case count > r.limits.MaxInputTokens:
		return r.inputTooLong(path, bytes.Count(raw, []byte{','})+1)
	}
	return r.addInput(path, raw, count)
}

// appendToken reads one token of a tokenArray.
func (r *Request) appendToken(raw []byte, value gjson.Result) *frontend.Problem {
	list := r.Kind.InputsMember()
	if !isToken(value) {
		return invalidToken(list)
	}
	if r.tokenArray.count++; r.tokenArray.count > r.limits.MaxInputTokens {
		return r.inputTooLong(list, r.tokenArray.count)
	}
	r.tokenArray.raw = append(r.tokenArray.raw, raw...)
	r.tokenArray.raw = append(r.tokenArray.raw, ',')
	return nil
}

// finishTokenArray makes one input of the tokens of the tokenArray, if there are any.
func (r *Request) finishTokenArray() *frontend.Problem {
	tokens := r.tokenArray
	if tokens.count == 0 {
		return nil
	}
	r.tokenArray = tokenArray{}
	raw := append([]byte{'['}, tokens.raw...)
	raw[len(raw)-1] = ']'
	return r.addInput(r.Kind.InputsMember(), raw, tokens.count)
}

func isToken(value gjson.Result) bool {
	number := value.Num
	return value.Type == gjson.Number && number >= 0 && number == float64(int64(number)) && number <= math.MaxInt32
}

func invalidToken(path string) *frontend.Problem {
	return frontend.Invalid(path, "invalid_value", "Invalid '%s': a token is an integer >= 0.", path)
}

func (r *Request) inputTooLong(path string, tokens int) *frontend.Problem {
	return frontend.Invalid(path, "input_too_long", "Invalid '%s': about %d tokens, and an input may have %d.",
		path, tokens, r.limits.MaxInputTokens)
}

// storeText stores a document's text if it may have to be returned. Until Handler.Begin is called, every text may have
// to be returned, because return_documents may come after the documents.
func (r *Request) storeText(text string) {
	if len(r.Texts) == len(r.Inputs) && (!r.begun || r.ReturnDocuments) {
		r.Texts = append(r.Texts, text)
	}
}

// addInput adds an input to Order, and to Inputs unless an earlier input has the same JSON.
func (r *Request) addInput(path string, raw []byte, tokens int) *frontend.Problem {
	if r.tokenArray.count > 0 {
		return frontend.Invalid(path, "invalid_type", "Tokens and other inputs can't stand in one list.")
	}
	if tokens > r.limits.MaxInputTokens {
		return r.inputTooLong(path, tokens)
	}
	if len(r.Order) >= r.limits.MaxInputs {
		list, _, _ := strings.Cut(path, "[")
		return frontend.Invalid(list, "array_above_max_length",
			"More than %d inputs are not taken in one call.", r.limits.MaxInputs)
	}
	digest := sha256.Sum256(raw)
	key := vectors.Key(digest[:len(vectors.Key{})])
	index, known := r.indexByKey[key]
	if !known {
		index = int32(len(r.Inputs))
		r.indexByKey[key] = index
		r.Inputs = append(r.Inputs, Input{Raw: append([]byte(nil), raw...), Tokens: max(tokens, 1), Key: key})
		r.BufferedBytes += len(raw)
	} else if len(r.Texts) > len(r.Inputs) { // the text was already stored with the earlier input
		r.Texts = r.Texts[:len(r.Inputs)]
	}
	r.Order = append(r.Order, index)
	return nil
}

// CacheKey returns the key of an input's vector, which also depends on the request's model and the dimensions.
func (r *Request) CacheKey(i, dimensions int) vectors.Key {
	hash := sha256.New()
	_, _ = hash.Write(r.Inputs[i].Key[:])
	_ = binary.Write(hash, binary.LittleEndian, uint32(dimensions))
	_, _ = io.WriteString(hash, r.Model)
	return vectors.Key(hash.Sum(nil)[:len(vectors.Key{})])
}

// BuildPart returns the path and body of the request to an endpoint for a part with the given inputs.
func (r *Request) BuildPart(inputs []int, dimensions int) (path string, body []byte) {
	body = append(body, `{"model":`...)
	body = appendString(body, r.Model)
	if r.Kind == Rerank {
		body = append(body, `,"query":`...)
		body = appendString(body, r.Query)
		body = append(body, `,"documents":[`...)
	} else {
		body = fmt.Appendf(body, `,"encoding_format":"base64","dimensions":%d,"input":[`, dimensions)
	}
	for n, i := range inputs {
		if n > 0 {
			body = append(body, ',')
		}
		body = append(body, r.Inputs[i].Raw...)
	}
	return r.Kind.Path(), append(body, "]}"...)
}

// EstimateTokens returns an estimate of the tokens that an endpoint processes for the given inputs. It counts the query
// of a reranking once for each document.
func (r *Request) EstimateTokens(inputs []int) (sum int) {
	for _, i := range inputs {
		sum += r.Inputs[i].Tokens
		if r.Kind == Rerank {
			sum += estimateTokens(r.Query)
		}
	}
	return sum
}

// estimateTokens returns an estimate of the tokens of a text.
func estimateTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// decodeText returns the text of a JSON string. It replaces invalid UTF-8.
func decodeText(raw []byte) string {
	return strings.ToValidUTF8(gjson.ParseBytes(raw).String(), "\uFFFD")
}
