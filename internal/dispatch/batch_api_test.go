package dispatch

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
)

// What a call is refused for: each fault with its parameter.
func TestInvalidBatchesAreRejected(t *testing.T) {
	r := newBatchHarness(t, func(d deployment.Deployment) { d.Batches = &pb.Batches{InputsMost: 3, InputTokensMost: 50} }, "prefill west", "decode west")
	for _, c := range []struct{ path, body, want, param string }{
		{"embeddings", `{"model":"embed"}`, "400", "input"},
		{"embeddings", `{"model":"embed","input":[]}`, "400", "input"},
		{"embeddings", `{"model":"embed","input":""}`, "400", "input[0]"},
		{"embeddings", `{"model":"embed","input":["a",5]}`, "400", "input[1]"},
		{"embeddings", `{"model":"embed","input":[1,"a"]}`, "400", "input[0]"},
		{"embeddings", `{"model":"embed","input":[1,-2]}`, "400", "input"},
		{"embeddings", `{"model":"embed","input":["a","b","c","d"]}`, "400", "input"},
		{"embeddings", `{"model":"embed","input":"` + strings.Repeat("word ", 80) + `"}`, "400", "input[0]"},
		{"embeddings", `{"model":"embed","input":"a","dimensions":9999}`, "400", "dimensions"},
		{"embeddings", `{"model":"embed","input":"a","encoding_format":"hex"}`, "400", "encoding_format"},
		{"embeddings", `{"model":"embed","input":"a","input":"b"}`, "400", "input"},
		{"embeddings", `{"model":"embed","input":"a","strange":1}`, "400", "strange"},
		{"embeddings", `{"model":"explain","input":"a"}`, "400", "model"},
		{"embeddings", `{"model":"none","input":"a"}`, "404", "model"},
		{"embeddings", `{"model":"embed","input":"a"`, "400", ""},
		{"embeddings", `{"model":"embed","input":"a"}}`, "400", ""},
		{"embeddings", `[]`, "400", ""},
		{"rerank", `{"model":"rank","documents":["a"]}`, "400", "query"},
		{"rerank", `{"model":"rank","query":"q","documents":"a"}`, "400", "documents"},
		{"rerank", `{"model":"rank","query":"q","documents":[{"x":1}]}`, "400", "documents[0]"},
		{"rerank", `{"model":"rank","query":"q","documents":["a"],"top_n":0}`, "400", "top_n"},
		{"rerank", `{"model":"embed","query":"q","documents":["a"]}`, "400", "model"},
		{"chat/completions", `{"model":"embed","messages":[{"role":"user","content":"a"}]}`, "400", "model"},
	} {
		got := r.post("/v1/"+c.path, []byte(c.body))
		r.expectFinal(got, c.want)
		if p := gjson.GetBytes(got.dechunk(t), "error.param").Str; p != c.param {
			t.Errorf("%s %.80s: parameter %q, want %q: %s", c.path, c.body, p, c.param, got.dechunk(t))
		}
	}
	got := r.post("/v1/embeddings", []byte("not gzip"), "Content-Encoding", "gzip")
	r.expectFinal(got, "400")
	got = r.post("/v1/embeddings", []byte("x"), "Content-Encoding", "br")
	r.expectFinal(got, "415")
}

// Documents come back sorted, the best first, equal ones in the order in which they came, with their true places and texts.
func TestRerankSortsDocuments(t *testing.T) {
	r := newBatchHarness(t, func(d deployment.Deployment) { d.Batches = &pb.Batches{PartInputs: 3} }, "prefill west", "prefill west", "decode west")
	for _, h := range r.endpoints {
		h.serve = func(l *fakeConn) {
			list := []any{}
			gjson.GetBytes(l.body, "documents").ForEach(func(_, v gjson.Result) bool {
				list = append(list, map[string]any{"index": len(list), "relevance_score": float64(len(v.Str) % 4)})
				return true
			})
			b, _ := json.Marshal(map[string]any{"results": list})
			l.answer(200, string(b))
		}
	}
	c := r.post("/v1/rerank", []byte(`{"model":"rank","query":"q","top_n":6,"return_documents":true,"documents":["aaa",{"text":"b"},"cc","dddd","eee","f","aaa","gg"]}`))
	r.expectFinal(c, "streamed")
	var order []string
	for _, v := range gjson.GetBytes(c.dechunk(t), "results").Array() {
		order = append(order, fmt.Sprint(v.Get("index").Int(), v.Get("document.text").Str, v.Get("relevance_score").Num))
	}
	if got := strings.Join(order, ","); got != "0aaa3,4eee3,6aaa3,2cc2,7gg2,1b1" {
		t.Errorf("order: %s", got)
	}
}

// A tenant's vectors are kept for itself alone.
func TestVectorCacheIsPerTenant(t *testing.T) {
	r := newBatchHarness(t, func(d deployment.Deployment) { d.Batches = &pb.Batches{Cache: 1 << 20} }, "prefill west", "decode west")
	inputs := inputTexts(50)
	for range 3 {
		c := r.post("/v1/embeddings", embeddingsBody(inputs, ""))
		r.expectFinal(c, "streamed")
		c.expectVectors(t, inputs, 256)
	}
	legs := 0
	for _, h := range r.endpoints {
		legs += len(h.seen)
	}
	if legs > 8 {
		t.Errorf("%d legs for 50 inputs that were asked for three times", legs)
	}
	for _, dimensions := range []int{64, 256} { // another size is another vector
		c := r.post("/v1/embeddings", embeddingsBody(inputs[:2], fmt.Sprintf(`,"dimensions":%d`, dimensions)))
		r.expectFinal(c, "streamed")
		c.expectVectors(t, inputs[:2], dimensions)
	}
	if a, b := r.dispatcher.batches.vectorCache("1-a", 256), r.dispatcher.batches.vectorCache("2-b", 256); a == b {
		t.Error("two tenants share a cache")
	}
}

// Vectors that are kept make room for more of a coded body while its inputs are parted; none is passed over for that.
func TestCachedVectorsInACompressedBody(t *testing.T) {
	r := newBatchHarness(t, func(d deployment.Deployment) { d.Batches = &pb.Batches{Cache: 4 << 20, Window: 16 << 10} }, "prefill west", "decode west")
	inputs := inputTexts(900)
	for i := range inputs {
		inputs[i] += strings.Repeat(" long", 40)
	}
	for _, n := range []int{600, 900} { // the first ones are kept when all are asked for
		var zipped bytes.Buffer
		z := gzip.NewWriter(&zipped)
		_, _ = z.Write(embeddingsBody(inputs[:n], ""))
		_ = z.Close()
		c := r.post("/v1/embeddings", zipped.Bytes(), "Content-Encoding", "gzip")
		r.expectFinal(c, "streamed")
		c.expectVectors(t, inputs[:n], 256)
	}
}
