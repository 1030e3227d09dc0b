package embeddings

import (
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
	// bytesPerToken estimates how many bytes of text make a token; endpoints count the true number.
	bytesPerToken = 4
	// maxBytesPerToken and maxValueOverhead bound the bytes of one value by the tokens that it may have.
	maxBytesPerToken = 16
	maxValueOverhead = 1024
)

// Input is one text, document or list of tokens; equal ones are one input.
type Input struct {
	Raw    []byte // as JSON; nil once its result is there
	Tokens int
	Key    vectors.Key // identifies the input by its content
}

// looseTokens are the elements of a list of tokens that is not inside another list: together they are one input.
type looseTokens struct {
	raw   []byte // each with a comma behind it
	count int
}

// readElement reads one of the inputs.
func (r *Request) readElement(name string, raw []byte) *frontend.Problem {
	if name != r.Kind.ListName() {
		return frontend.UnknownParameter(name)
	}
	path := fmt.Sprintf("%s[%d]", name, len(r.Order))
	if r.Kind == Rerank {
		return r.readDocument(path, raw)
	}
	return r.readInput(path, raw)
}

// readDocument reads a document, which is a string or an object with a text.
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
	return r.add(path, raw, estimateTokens(text))
}

// readInput reads an input to embed, which is a string, a list of tokens or a loose token.
func (r *Request) readInput(path string, raw []byte) *frontend.Problem {
	value := gjson.ParseBytes(raw)
	switch {
	case value.Type == gjson.String:
		text := decodeText(raw)
		if text == "" {
			return frontend.Invalid(path, "invalid_value", "Invalid '%s': an input may not be empty.", path)
		}
		return r.add(path, raw, estimateTokens(text))
	case value.Type == gjson.Number && (len(r.Order) == 0 || r.loose.count > 0):
		return r.addLooseToken(raw, value)
	case value.IsArray():
		return r.readTokens(path, raw, value)
	}
	return frontend.Invalid(path, "invalid_type",
		"Invalid type for '%s': expected a string or an array of tokens.", path)
}

// readTokens reads an input that is a list of tokens.
func (r *Request) readTokens(path string, raw []byte, value gjson.Result) *frontend.Problem {
	tokens := value.Array()
	for _, token := range tokens {
		if !isToken(token) {
			return invalidToken(path)
		}
	}
	if len(tokens) == 0 {
		return frontend.EmptyArray(path)
	}
	return r.add(path, raw, len(tokens))
}

func (r *Request) addLooseToken(raw []byte, value gjson.Result) *frontend.Problem {
	list := r.Kind.ListName()
	if !isToken(value) {
		return invalidToken(list)
	}
	if r.loose.count++; r.loose.count > r.limits.MaxInputTokens {
		return r.inputTooLong(list, r.loose.count)
	}
	r.loose.raw = append(r.loose.raw, raw...)
	r.loose.raw = append(r.loose.raw, ',')
	return nil
}

// endLooseTokens makes one input of the loose tokens, if there are any.
func (r *Request) endLooseTokens() *frontend.Problem {
	loose := r.loose
	if loose.count == 0 {
		return nil
	}
	r.loose = looseTokens{}
	raw := append([]byte{'['}, loose.raw...)
	raw[len(raw)-1] = ']'
	return r.add(r.Kind.ListName(), raw, loose.count)
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

// storeText stores a document's text where it may have to be given back; whether it has to may be said after it.
func (r *Request) storeText(text string) {
	if len(r.Texts) == len(r.Inputs) && (!r.begun || r.ReturnDocuments) {
		r.Texts = append(r.Texts, text)
	}
}

// add adds an input, which is stored once however often it comes.
func (r *Request) add(path string, raw []byte, tokens int) *frontend.Problem {
	if r.loose.count > 0 {
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
	place, known := r.places[key]
	if !known {
		place = int32(len(r.Inputs))
		r.places[key] = place
		r.Inputs = append(r.Inputs, Input{Raw: append([]byte(nil), raw...), Tokens: max(tokens, 1), Key: key})
		r.BufferedBytes += len(raw)
	} else if len(r.Texts) > len(r.Inputs) { // its text was stored with the first one
		r.Texts = r.Texts[:len(r.Inputs)]
	}
	r.Order = append(r.Order, place)
	return nil
}

// CacheKey identifies an input's vector for the request's model and a number of dimensions.
func (r *Request) CacheKey(i, dimensions int) vectors.Key {
	hash := sha256.New()
	_, _ = hash.Write(r.Inputs[i].Key[:])
	_ = binary.Write(hash, binary.LittleEndian, uint32(dimensions))
	_, _ = io.WriteString(hash, r.Model)
	return vectors.Key(hash.Sum(nil)[:len(vectors.Key{})])
}

// BuildPart returns the path and body of the request to an endpoint for some inputs.
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

// CountTokens returns how many tokens are read for some inputs: a query is read with each document.
func (r *Request) CountTokens(inputs []int) (sum int) {
	for _, i := range inputs {
		sum += r.Inputs[i].Tokens
		if r.Kind == Rerank {
			sum += estimateTokens(r.Query)
		}
	}
	return sum
}

func estimateTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// decodeText returns the text of a JSON string, in valid UTF-8.
func decodeText(raw []byte) string {
	return strings.ToValidUTF8(gjson.ParseBytes(raw).String(), "\uFFFD")
}
