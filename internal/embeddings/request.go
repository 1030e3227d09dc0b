// Package embeddings is the client's APIs whose answers are complete with the read: embeddings after the public OpenAI
// specification, and reranking in the form that is commonly published. It reads a body as it comes, keeps each input only
// until its part is back, and shapes vectors and scores into the one answer. How a call is parted is package batch's.
package embeddings

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/klauspost/compress/zstd"
	"github.com/tidwall/gjson"

	"plumspindle/internal/frontend"
	"plumspindle/internal/vectors"
)

// Kind is which API a call came by.
type Kind uint8

const (
	Embeddings Kind = iota
	Rerank
)

// Limits are what a call is held to.
type Limits struct {
	MaxInputs      int // of a call
	MaxInputTokens int // of one input
	MaxBody        int // bytes, also once it is decoded
	MaxBuffered    int // bytes of inputs that are kept at once
}

// Input is one text, or list of tokens, without repeats.
type Input struct {
	Raw    []byte // as JSON; nil once it is not needed any more
	Tokens int
	Key    vectors.Key
}

// Handler is what stands behind a call.
type Handler interface {
	// Begin is told once that all is known that a part needs; inputs may go out from now on.
	Begin() *frontend.Problem
	// Added tells of further inputs, or, with whole, that there will be none.
	Added(whole bool) *frontend.Problem
}

// Request is what a client wants, as far as its body has come. It is the front's Sink.
type Request struct {
	Kind            Kind
	Model           string
	Base64          bool
	Dimensions      int // 0: as many as the model has
	Query           string
	TopN            int  // 0: all
	ReturnDocuments bool // the documents are to be given back
	Inputs          []Input
	Order           []int32  // of each input as it came, its place among Inputs
	BufferedBytes   int      // bytes of inputs that are kept
	Texts           []string // of documents that are to be given back, by place among Inputs

	bounds  Limits
	owner   Handler
	to      *frontend.Response
	scan    scanner
	places  map[vectors.Key]int32
	tokens  []byte // of one list of tokens that is not inside another
	listed  int
	begun   bool
	coded   []byte
	coding  string
	decoder io.Reader
	decoded int
	ended   bool // the body has come
	over    bool
	piece   []byte
}

// tokenBytes is how many bytes of text are taken for a token; hosts tell the true count afterwards.
const tokenBytes = 4

// codedMost is how large a coded body may be as it comes: it is kept whole and decoded as there is room.
const codedMost = 16 << 20

// NewRequest makes one for a body in a coding, "" for none.
func NewRequest(kind Kind, coding string, bounds Limits, owner Handler, to *frontend.Response) *Request {
	a := &Request{Kind: kind, bounds: bounds, owner: owner, to: to, places: map[vectors.Key]int32{}, coding: strings.ToLower(coding), piece: make([]byte, 32<<10)}
	if a.coding == "identity" {
		a.coding = ""
	}
	a.scan = scanner{lists: []string{"input", "documents"}, most: min(bounds.MaxInputTokens*16+1024, bounds.MaxBody), member: a.member, element: a.element}
	return a
}

// Data takes the body's next bytes.
func (a *Request) Data(b []byte) *frontend.Problem {
	if a.coding != "" {
		if a.coded = append(a.coded, b...); len(a.coded) > codedMost {
			return &frontend.Problem{Status: 413, Type: "invalid_request_error", Code: "body_too_large",
				Message: fmt.Sprintf("A coded body may have %d bytes.", codedMost)}
		}
		return nil
	}
	return a.take(b)
}

func (a *Request) take(b []byte) *frontend.Problem {
	if p := a.scan.feed(b); p != nil {
		return p
	}
	return a.grown()
}

// grown: where much is kept the rest of the body waits, and what has come goes out, if all is known that it needs.
func (a *Request) grown() *frontend.Problem {
	if a.BufferedBytes <= a.bounds.MaxBuffered/2 {
		return nil
	}
	if !a.begun {
		if a.Model == "" || a.Kind == Rerank && a.Query == "" {
			if a.BufferedBytes <= a.bounds.MaxBuffered {
				return nil
			}
			return &frontend.Problem{Status: 413, Type: "invalid_request_error", Code: "body_too_large", Message: fmt.Sprintf(
				"Where the inputs have more than %d bytes, 'model' and what else is no input have to come before them.", a.bounds.MaxBuffered)}
		}
		if p := a.begin(); p != nil {
			return p
		}
	}
	if p := a.owner.Added(false); p != nil {
		return p
	}
	a.to.PauseBody(a.BufferedBytes > a.bounds.MaxBuffered)
	return nil
}

func (a *Request) begin() *frontend.Problem {
	a.begun = true
	if !a.ReturnDocuments { // it can't be asked for any more
		a.Texts = nil
	}
	return a.owner.Begin()
}

// End tells that the body has come.
func (a *Request) End() *frontend.Problem {
	a.ended = true
	if a.coding == "" {
		return a.finish()
	}
	return a.decode()
}

// decode reads on in a coded body, as far as there is room.
func (a *Request) decode() *frontend.Problem {
	if a.decoder == nil {
		var err error
		if a.coding == "gzip" {
			a.decoder, err = gzip.NewReader(bytes.NewReader(a.coded))
		} else {
			a.decoder, err = zstd.NewReader(bytes.NewReader(a.coded), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
		}
		if err != nil {
			return a.undecodable()
		}
	}
	for a.BufferedBytes <= a.bounds.MaxBuffered {
		n, err := a.decoder.Read(a.piece)
		if a.decoded += n; a.decoded > a.bounds.MaxBody {
			return &frontend.Problem{Status: 413, Type: "invalid_request_error", Code: "body_too_large",
				Message: fmt.Sprintf("The body is larger than %d bytes once it is decoded.", a.bounds.MaxBody)}
		}
		if p := a.take(a.piece[:n]); p != nil {
			return p
		}
		if errors.Is(err, io.EOF) {
			a.Close()
			return a.finish()
		}
		if err != nil {
			return a.undecodable()
		}
	}
	return nil
}

func (a *Request) undecodable() *frontend.Problem {
	return frontend.Invalid("", "invalid_coding", "The body can't be decoded as %s.", a.coding)
}

// Close gives back what decoding took.
func (a *Request) Close() {
	if z, ok := a.decoder.(*zstd.Decoder); ok {
		z.Close()
	}
	a.decoder, a.coded = nil, nil
}

func (a *Request) finish() *frontend.Problem {
	if a.over {
		return nil
	}
	a.over = true
	if p := a.scan.close(); p != nil {
		return p
	}
	if p := a.endTokens(); p != nil {
		return p
	}
	list := "input"
	if a.Kind == Rerank {
		list = "documents"
	}
	missing := func(name string) *frontend.Problem {
		return frontend.Invalid(name, "missing_required_parameter", "Missing required parameter: '%s'.", name)
	}
	switch {
	case a.Model == "":
		return missing("model")
	case a.Kind == Rerank && !a.scan.seen["query"]:
		return missing("query")
	case !a.scan.seen[list]:
		return missing(list)
	case len(a.Order) == 0:
		return frontend.Invalid(list, "empty_array", "Invalid '%s': empty array.", list)
	}
	if !a.begun {
		if p := a.begin(); p != nil {
			return p
		}
	}
	return a.owner.Added(true)
}

// DiscardInput lets go of an input that is not needed any more. It tells of a problem that shows in what is read on then.
func (a *Request) DiscardInput(i int) *frontend.Problem {
	in := &a.Inputs[i]
	a.BufferedBytes -= len(in.Raw)
	in.Raw = nil
	if a.over || a.BufferedBytes > a.bounds.MaxBuffered/2 {
		return nil
	}
	if a.ended && a.coding != "" {
		return a.decode()
	}
	a.to.PauseBody(false)
	return nil
}

// early members have to come before the inputs of a body that is larger than what is kept: parts have gone out without them.
func (a *Request) late(name string) *frontend.Problem {
	if !a.begun {
		return nil
	}
	return frontend.Invalid(name, "parameter_too_late", "In a body of this size '%s' has to come before the inputs.", name)
}

func (a *Request) member(name string, raw []byte) *frontend.Problem {
	v := gjson.ParseBytes(raw)
	wrong := func(want string) *frontend.Problem {
		return frontend.Invalid(name, "invalid_type", "Invalid type for '%s': expected %s, but got %s instead.", name, want, strings.ToLower(v.Type.String()))
	}
	if v.Type == gjson.Null && name != "model" && name != "input" && name != "query" && name != "documents" {
		return nil
	}
	if p := a.late(name); p != nil && name != "user" && name != "top_n" && name != "encoding_format" {
		return p
	}
	count := func() (int, *frontend.Problem) {
		if v.Type != gjson.Number || v.Num != float64(int(v.Num)) {
			return 0, wrong("an integer")
		}
		if v.Num < 1 {
			return 0, frontend.Invalid(name, "integer_below_min_value", "Invalid '%s': expected a value >= 1.", name)
		}
		return int(v.Num), nil
	}
	var p *frontend.Problem
	switch {
	case name == "model":
		if v.Type != gjson.String || v.Str == "" {
			return wrong("a string")
		}
		a.Model = v.String()
	case a.Kind == Embeddings && name == "input":
		if v.Type != gjson.String {
			return wrong("a string or an array")
		}
		return a.element(name, raw)
	case a.Kind == Embeddings && name == "encoding_format":
		if f := v.String(); f != "float" && f != "base64" {
			return frontend.Invalid(name, "invalid_value", "Invalid value: '%.40s'. Supported values are: float, base64.", f)
		}
		a.Base64 = v.String() == "base64"
	case a.Kind == Embeddings && name == "dimensions":
		a.Dimensions, p = count()
		return p
	case a.Kind == Rerank && name == "query":
		if v.Type != gjson.String || v.Str == "" {
			return wrong("a string")
		}
		a.Query = v.String()
	case a.Kind == Rerank && name == "top_n":
		a.TopN, p = count()
		return p
	case a.Kind == Rerank && name == "return_documents":
		if !v.IsBool() {
			return wrong("a boolean")
		}
		a.ReturnDocuments = v.Bool()
	case a.Kind == Rerank && name == "documents":
		return wrong("an array")
	case name == "user" && v.Type == gjson.String:
	default:
		return frontend.Invalid(name, "unknown_parameter", "Unknown parameter: '%.60s'.", name)
	}
	return nil
}

// element takes one of the inputs.
func (a *Request) element(name string, raw []byte) *frontend.Problem {
	if (name == "documents") != (a.Kind == Rerank) {
		return frontend.Invalid(name, "unknown_parameter", "Unknown parameter: '%.60s'.", name)
	}
	at := fmt.Sprintf("%s[%d]", name, len(a.Order))
	v := gjson.ParseBytes(raw)
	if a.Kind == Rerank && v.IsObject() {
		if v = v.Get("text"); v.Type == gjson.String {
			raw = []byte(v.Raw)
		}
	}
	switch {
	case v.Type == gjson.String:
		text := quoteLess(raw)
		if text == "" && a.Kind == Embeddings {
			return frontend.Invalid(at, "invalid_value", "Invalid '%s': an input may not be empty.", at)
		}
		if a.Kind == Rerank {
			a.keepText(text)
		}
		return a.add(at, raw, (len(text)+tokenBytes-1)/tokenBytes)
	case v.Type == gjson.Number && a.Kind == Embeddings && (len(a.Order) == 0 || a.listed > 0):
		if !a.token(v) {
			return frontend.Invalid("input", "invalid_value", "Invalid 'input': a token is an integer >= 0.")
		}
		if a.listed++; a.listed > a.bounds.MaxInputTokens {
			return a.tooManyTokens("input", a.listed)
		}
		a.tokens = append(append(a.tokens, raw...), ',')
		return nil
	case v.IsArray() && a.Kind == Embeddings:
		list := v.Array()
		for _, t := range list {
			if !a.token(t) {
				return frontend.Invalid(at, "invalid_value", "Invalid '%s': a token is an integer >= 0.", at)
			}
		}
		if len(list) == 0 {
			return frontend.Invalid(at, "empty_array", "Invalid '%s': empty array.", at)
		}
		return a.add(at, raw, len(list))
	}
	want := "a string or an array of tokens"
	if a.Kind == Rerank {
		want = "a string or an object with a text"
	}
	return frontend.Invalid(at, "invalid_type", "Invalid type for '%s': expected %s.", at, want)
}

func (a *Request) token(v gjson.Result) bool {
	return v.Type == gjson.Number && v.Num >= 0 && v.Num == float64(int64(v.Num)) && v.Num < 1<<31
}

// endTokens: tokens that were not inside a further list are one input.
func (a *Request) endTokens() *frontend.Problem {
	if a.listed == 0 {
		return nil
	}
	n := a.listed
	a.listed = 0
	raw := append([]byte{'['}, a.tokens...)
	raw[len(raw)-1] = ']'
	a.tokens = nil
	return a.add("input", raw, n)
}

func (a *Request) tooManyTokens(at string, n int) *frontend.Problem {
	return frontend.Invalid(at, "input_too_long", "Invalid '%s': about %d tokens, and an input may have %d.", at, n, a.bounds.MaxInputTokens)
}

// keepText keeps a document's text where it is to be given back; whether that is so may be said after it.
func (a *Request) keepText(text string) {
	if len(a.Texts) == len(a.Inputs) && (!a.begun || a.ReturnDocuments) {
		a.Texts = append(a.Texts, text)
	}
}

func (a *Request) add(at string, raw []byte, tokens int) *frontend.Problem {
	if a.listed > 0 {
		return frontend.Invalid(at, "invalid_type", "Tokens and other inputs can't stand in one list.")
	}
	if tokens > a.bounds.MaxInputTokens {
		return a.tooManyTokens(at, tokens)
	}
	if len(a.Order) >= a.bounds.MaxInputs {
		return frontend.Invalid(at[:strings.IndexByte(at+"[", '[')], "array_above_max_length", "More than %d inputs are not taken in one call.", a.bounds.MaxInputs)
	}
	digest := sha256.Sum256(raw)
	key := vectors.Key(digest[:16])
	place, some := a.places[key]
	if !some {
		place = int32(len(a.Inputs))
		a.places[key] = place
		a.Inputs = append(a.Inputs, Input{Raw: append([]byte(nil), raw...), Tokens: max(tokens, 1), Key: key})
		a.BufferedBytes += len(raw)
	} else if a.Kind == Rerank && len(a.Texts) > len(a.Inputs) {
		a.Texts = a.Texts[:len(a.Inputs)]
	}
	a.Order = append(a.Order, place)
	return nil
}

// CacheKey names an input's vector for a product and a number of dimensions.
func (a *Request) CacheKey(i, dimensions int) vectors.Key {
	k := a.Inputs[i].Key
	h := sha256.New()
	_, _ = h.Write(k[:])
	_ = binary.Write(h, binary.LittleEndian, uint32(dimensions))
	_, _ = io.WriteString(h, a.Model)
	return vectors.Key(h.Sum(nil)[:16])
}

// PartRequest is the body of the request to a host for some inputs.
func (a *Request) PartRequest(inputs []int, dimensions int) (path string, body []byte) {
	body = append(body, `{"model":`...)
	body = appendString(body, a.Model)
	if a.Kind == Rerank {
		path = "/v1/rerank"
		body = append(body, `,"query":`...)
		body = appendString(body, a.Query)
		body = append(body, `,"documents":[`...)
	} else {
		path = "/v1/embeddings"
		body = append(body, fmt.Sprintf(`,"encoding_format":"base64","dimensions":%d,"input":[`, dimensions)...)
	}
	for n, i := range inputs {
		if n > 0 {
			body = append(body, ',')
		}
		body = append(body, a.Inputs[i].Raw...)
	}
	return path, append(body, "]}"...)
}

// Tokens is how much is to be read for some inputs.
func (a *Request) Tokens(inputs []int) (sum int) {
	for _, i := range inputs {
		sum += a.Inputs[i].Tokens
		if a.Kind == Rerank {
			sum += (len(a.Query) + tokenBytes - 1) / tokenBytes
		}
	}
	return sum
}
