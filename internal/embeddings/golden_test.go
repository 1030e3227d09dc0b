package embeddings

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"

	"plumspindle/internal/frontend"
	"plumspindle/internal/testbed/golden"
)

// recordingHandler is the Handler of a Request, and writes to out which of its methods are called.
type recordingHandler struct{ out *bytes.Buffer }

func (h recordingHandler) Begin() *frontend.Problem {
	fmt.Fprintln(h.out, "begin")
	return nil
}

func (h recordingHandler) InputsAdded(last bool) *frontend.Problem {
	fmt.Fprintf(h.out, "added, whole: %t\n", last)
	return nil
}

func (h recordingHandler) BodyRejected(problem *frontend.Problem) {
	fmt.Fprintln(h.out, "rejected:", problem)
}

var testLimits = Limits{MaxInputs: 4, MaxInputTokens: 10, MaxBody: 4 << 10, MaxBuffered: 1 << 10}

// parse makes a request and passes it a body in pieces of the given size.
func parse(kind Kind, encoding, body string, size int, out *bytes.Buffer) (*Request, *frontend.Problem) {
	req := NewRequest(kind, encoding, testLimits, recordingHandler{out}, nil)
	return req, feed(req, body, size)
}

// feed passes a request its body in pieces of the given size, and then ends the body.
func feed(req *Request, body string, size int) *frontend.Problem {
	defer req.Close()
	for b := []byte(body); len(b) > 0; b = b[min(size, len(b)):] {
		if p := req.Data(b[:min(size, len(b))]); p != nil {
			return p
		}
	}
	return req.End()
}

var bodies = []struct {
	kind       Kind
	name, body string
}{
	{Embeddings, "one text", `{"model":"m","input":"Hello"}`},
	{Embeddings, "texts with repeats", `{"model":"m","input":["a","b","a","\u0061"]}`},
	{Embeddings, "tokens", `{"model":"m","input":[1,2,3]}`},
	{Embeddings, "lists of tokens", `{"model":"m","input":[[1,2],[3]]}`},
	{Embeddings, "all members", `{"model":"m","user":"u","dimensions":3,"encoding_format":"base64","input":["a"]}`},
	{Embeddings, "members after the inputs", `{"input":["a"],"encoding_format":"float","model":"m"}`},
	{Embeddings, "nulls", `{"model":"m","user":null,"dimensions":null,"encoding_format":null,"input":"a"}`},
	{Embeddings, "not JSON", `{"model":"m","input":["a" "b"]}`},
	{Embeddings, "truncated", `{"model":"m","input":["a"`},
	{Embeddings, "not an object", `["a"]`},
	{Embeddings, "data after the object", `{"model":"m","input":"a"} x`},
	{Embeddings, "duplicate member", `{"model":"m","model":"m"}`},
	{Embeddings, "a long name", `{"` + strings.Repeat("n", 300) + `":1}`},
	{Embeddings, "a long value", `{"model":"` + strings.Repeat("m", 2000) + `"}`},
	{Embeddings, "no model", `{"input":"a"}`},
	{Embeddings, "empty model", `{"model":"","input":"a"}`},
	{Embeddings, "null model", `{"model":null,"input":"a"}`},
	{Embeddings, "model of a wrong type", `{"model":1,"input":"a"}`},
	{Embeddings, "no input", `{"model":"m"}`},
	{Embeddings, "null input", `{"model":"m","input":null}`},
	{Embeddings, "number as input", `{"model":"m","input":1}`},
	{Embeddings, "object as input", `{"model":"m","input":{"text":"a"}}`},
	{Embeddings, "empty list", `{"model":"m","input":[]}`},
	{Embeddings, "empty text", `{"model":"m","input":["a",""]}`},
	{Embeddings, "empty inner list", `{"model":"m","input":[[]]}`},
	{Embeddings, "a negative token", `{"model":"m","input":[1,-2]}`},
	{Embeddings, "a fractional token", `{"model":"m","input":[[1.5]]}`},
	{Embeddings, "a token among texts", `{"model":"m","input":["a",1]}`},
	{Embeddings, "a text among tokens", `{"model":"m","input":[1,"a"]}`},
	{Embeddings, "true among texts", `{"model":"m","input":["a",true]}`},
	{Embeddings, "too many inputs", `{"model":"m","input":["a","b","c","d","e"]}`},
	{Embeddings, "a long text", `{"model":"m","input":["` + strings.Repeat("a", 41) + `"]}`},
	{Embeddings, "many tokens", `{"model":"m","input":[1,2,3,4,5,6,7,8,9,10,11]}`},
	{Embeddings, "many tokens in a list", `{"model":"m","input":[[1,2,3,4,5,6,7,8,9,10,11]]}`},
	{Embeddings, "unknown member", `{"model":"m","top_n":1}`},
	{Embeddings, "documents", `{"model":"m","documents":["a"]}`},
	{Embeddings, "unknown format", `{"model":"m","encoding_format":"int8"}`},
	{Embeddings, "format of a wrong type", `{"model":"m","encoding_format":1}`},
	{Embeddings, "zero dimensions", `{"model":"m","dimensions":0}`},
	{Embeddings, "dimensions of a wrong type", `{"model":"m","dimensions":"3"}`},
	{Embeddings, "fractional dimensions", `{"model":"m","dimensions":1.5}`},
	{Rerank, "texts", `{"model":"m","query":"q","documents":["a","b","a"]}`},
	{Rerank, "objects", `{"model":"m","query":"q","documents":[{"text":"a"},{"text":"b","x":1}]}`},
	{Rerank, "all rerank members", `{"model":"m","query":"q","top_n":2,"return_documents":true,"user":"u",` +
		`"documents":["b","a","c","b"]}`},
	{Rerank, "documents first", `{"documents":["","a"],"return_documents":true,"query":"q","model":"m"}`},
	{Rerank, "documents not returned", `{"documents":["a"],"return_documents":false,"query":"q","model":"m"}`},
	{Rerank, "no query", `{"model":"m","documents":["a"]}`},
	{Rerank, "empty query", `{"model":"m","query":"","documents":["a"]}`},
	{Rerank, "null query", `{"model":"m","query":null,"documents":["a"]}`},
	{Rerank, "no documents", `{"model":"m","query":"q"}`},
	{Rerank, "text as documents", `{"model":"m","query":"q","documents":"a"}`},
	{Rerank, "null documents", `{"model":"m","query":"q","documents":null}`},
	{Rerank, "object without a text", `{"model":"m","query":"q","documents":[{"x":1}]}`},
	{Rerank, "tokens as documents", `{"model":"m","query":"q","documents":[1]}`},
	{Rerank, "input", `{"model":"m","query":"q","input":["a"]}`},
	{Rerank, "zero top_n", `{"model":"m","query":"q","top_n":0}`},
	{Rerank, "return_documents of a wrong type", `{"model":"m","query":"q","return_documents":1}`},
}

// TestRequestForms compares with a golden file how each body is parsed and which request to an endpoint results from
// it. Parsing byte by byte must give the same result as parsing in one piece.
func TestRequestForms(t *testing.T) {
	var out bytes.Buffer
	for _, c := range bodies {
		fmt.Fprintf(&out, "== %s\n", c.name)
		var whole, pieces bytes.Buffer
		req, problem := parse(c.kind, "", c.body, len(c.body), &whole)
		_, piecesProblem := parse(c.kind, "", c.body, 1, &pieces)
		if whole.String() != pieces.String() || fmt.Sprint(problem) != fmt.Sprint(piecesProblem) {
			t.Errorf("%s: parsed as %q (%v), byte by byte as %q (%v)",
				c.name, whole.String(), problem, pieces.String(), piecesProblem)
		}
		out.Write(whole.Bytes())
		if problem != nil {
			fmt.Fprintf(&out, "%d %s\n", problem.Status, problem.Body())
			continue
		}
		var all []int
		for i, input := range req.Inputs {
			all = append(all, i)
			fmt.Fprintf(&out, "input %s, %d tokens, key %x, cache key %x\n",
				input.Raw, input.Tokens, input.Key, req.CacheKey(i, 3))
		}
		path, body := req.BuildPart(all, 3)
		fmt.Fprintf(&out, "order %d, texts %q, %d bytes buffered, %d tokens\n%s %s\n",
			req.Order, req.Texts, req.BufferedBytes, req.EstimateTokens(all), path, body)
	}
	golden.Compare(t, out.Bytes())
}

// TestLargeBodyBeginsEarly checks that a call begins before its body has ended once half of the buffer is full, if the
// members that a part needs have arrived.
func TestLargeBodyBeginsEarly(t *testing.T) {
	limits := Limits{MaxInputs: 9, MaxInputTokens: 10, MaxBody: 4 << 10, MaxBuffered: 40}
	inputs := `["aaaaaaaaaa","bbbbbbbbbb"]`
	cases := []struct {
		kind       Kind
		name, body string
	}{
		{Embeddings, "model first", `{"model":"m","input":` + inputs + `}`},
		{Embeddings, "format after the inputs", `{"model":"m","input":` + inputs +
			`,"user":"u","encoding_format":"base64"}`},
		{Embeddings, "dimensions after the inputs", `{"model":"m","input":` + inputs + `,"dimensions":3}`},
		{Embeddings, "model after few inputs", `{"input":` + inputs + `,"model":"m"}`},
		{Embeddings, "model after many inputs", `{"input":["aaaaaaaaaa","bbbbbbbbbb","cccccccccc","dddddddddd"],` +
			`"model":"m"}`},
		{Rerank, "query first", `{"model":"m","query":"q","documents":` + inputs + `,"top_n":1}`},
		{Rerank, "return_documents after the documents",
			`{"model":"m","query":"q","documents":` + inputs + `,"return_documents":true}`},
		{Rerank, "query after many documents", `{"model":"m","documents":["aaaaaaaaaa","bbbbbbbbbb","cccccccccc",` +
			`"dddddddddd"],"query":"q"}`},
	}
	var out bytes.Buffer
	for _, c := range cases {
		fmt.Fprintf(&out, "== %s\n", c.name)
		req := NewRequest(c.kind, "", limits, recordingHandler{&out}, &frontend.Response{})
		if p := feed(req, c.body, 1); p != nil {
			fmt.Fprintf(&out, "%d %s\n", p.Status, p.Body())
			continue
		}
		fmt.Fprintf(&out, "order %d, texts %q\n", req.Order, req.Texts)
	}
	golden.Compare(t, out.Bytes())
}

// TestEncodedBodies compares with a golden file how bodies with a content encoding are parsed, both valid and invalid
// bodies.
func TestEncodedBodies(t *testing.T) {
	plain := `{"model":"m","input":["a","b"]}`
	var zipped bytes.Buffer
	z := gzip.NewWriter(&zipped)
	_, _ = z.Write([]byte(plain))
	_ = z.Close()
	zstandard, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = zstandard.Close() })
	large := append(bytes.Repeat([]byte(" "), testLimits.MaxBody), plain...)
	cases := []struct{ name, encoding, body string }{
		{"identity", "identity", plain},
		{"gzip", "GZIP", zipped.String()},
		{"zstd", "zstd", string(zstandard.EncodeAll([]byte(plain), nil))},
		{"invalid gzip", "gzip", plain},
		{"invalid zstd", "zstd", plain},
		{"truncated gzip", "gzip", zipped.String()[:zipped.Len()-9]},
		{"too large after decoding", "zstd", string(zstandard.EncodeAll(large, nil))},
	}
	var out bytes.Buffer
	for _, c := range cases {
		fmt.Fprintf(&out, "== %s\n", c.name)
		req, p := parse(Embeddings, c.encoding, c.body, 7, &out)
		if p != nil {
			fmt.Fprintf(&out, "%d %s\n", p.Status, p.Body())
			continue
		}
		fmt.Fprintf(&out, "order %d\n", req.Order)
	}
	golden.Compare(t, out.Bytes())
}

// TestAnswerForms compares the answers to calls with a golden file.
func TestAnswerForms(t *testing.T) {
	vectors := [][]byte{{0, 0, 128, 63, 0, 0, 0, 192}, {0, 0, 0, 0, 205, 204, 204, 61}}
	embed := Request{Model: `m"`, Order: []int32{0, 1, 0}}
	encoded := embed
	encoded.EncodeBase64 = true
	rerank := Request{Kind: Rerank, Model: "m", Order: []int32{0, 1, 0}, Texts: []string{"<a>", "b"}}
	top := rerank
	top.TopN, top.ReturnDocuments = 2, true
	var out bytes.Buffer
	for _, request := range []*Request{&embed, &encoded, &rerank, &top, {}, {Kind: Rerank}} {
		answer := Answer{Request: request, ID: "id", Vectors: vectors, Scores: []float64{-0.5, 1e-9}, Tokens: 12}
		for more := true; more; {
			var piece []byte
			piece, more = answer.Next()
			out.Write(piece)
		}
		out.WriteByte('\n')
	}
	many := Request{Model: "m", Order: make([]int32, 4000)}
	answer := Answer{Request: &many, Vectors: vectors}
	for more := true; more; {
		var piece []byte
		piece, more = answer.Next()
		fmt.Fprintf(&out, "a piece of %d bytes\n", len(piece))
	}
	golden.Compare(t, out.Bytes())
}

// TestReadPartTakesOnlyCompleteResponses checks that ReadPart rejects a response unless each input has exactly one
// valid result.
func TestReadPartTakesOnlyCompleteResponses(t *testing.T) {
	vector := base64.StdEncoding.EncodeToString(make([]byte, 8))
	cases := []struct {
		kind  Kind
		body  string
		valid bool
	}{
		{Embeddings, `{"usage":{"prompt_tokens":7},"data":[{"index":1,"embedding":[1,2]},` +
			`{"index":0,"embedding":"` + vector + `"}]}`, true},
		{Embeddings, `{"data":[{"index":0,"embedding":[1,2]}]}`, false},
		{Embeddings, `{"data":[{"index":0,"embedding":[1,2]},{"index":0,"embedding":[1,2]}]}`, false},
		{Embeddings, `{"data":[{"index":0,"embedding":[1,2]},{"index":2,"embedding":[1,2]}]}`, false},
		{Embeddings, `{"data":[{"index":0,"embedding":[1,2]},{"index":0.5,"embedding":[1,2]}]}`, false},
		{Embeddings, `{"data":[{"index":0,"embedding":[1,2]},{"index":1,"embedding":[1]}]}`, false},
		{Embeddings, `{"data":[{"index":0,"embedding":[1,2]},{"index":1,"embedding":[1,"2"]}]}`, false},
		{Embeddings, `{"data":[{"index":0,"embedding":[1,2]},{"index":1,"embedding":[1,1e60]}]}`, false},
		{Embeddings, `{"data":[{"index":0,"embedding":[1,2]},{"index":1,"embedding":"!"}]}`, false},
		{Embeddings, `{"data":[{"index":0,"embedding":[1,2]},{"index":1}]}`, false},
		{Embeddings, `{"data":{}}`, false},
		{Embeddings, `{"data":[`, false},
		{Rerank, `{"results":[{"index":0,"relevance_score":0.5},{"index":1,"relevance_score":-1}]}`, true},
		{Rerank, `{"results":[{"index":0,"relevance_score":0.5},{"index":1,"relevance_score":"1"}]}`, false},
		{Rerank, `{"results":[{"index":0,"relevance_score":0.5},{"index":1,"relevance_score":1e999}]}`, false},
		{Rerank, `{"data":[{"index":0,"embedding":[1,2]},{"index":1,"embedding":[1,2]}]}`, false},
	}
	for _, c := range cases {
		request := Request{Kind: c.kind}
		if _, err := request.ReadPart([]byte(c.body), 2, 2); (err == nil) != c.valid {
			t.Errorf("%s: error %v, want valid: %t", c.body, err, c.valid)
		}
	}
}
