package dispatch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
)

// Each kind of invalid call is answered with the right status and an error that names the invalid parameter.
func TestInvalidBatchesAreRejected(t *testing.T) {
	r := newBatchHarness(t, withBatches(&pb.Batches{InputsMost: 3, InputTokensMost: 50}), "prefill west", "decode west")
	for _, test := range []struct{ path, body, want, param string }{
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
		got := r.post("/v1/"+test.path, []byte(test.body))
		r.expectFinal(got, test.want)
		if p := gjson.GetBytes(got.dechunk(t), "error.param").Str; p != test.param {
			t.Errorf("%s %.80s: parameter %q, want %q: %s", test.path, test.body, p, test.param, got.dechunk(t))
		}
	}
	got := r.post("/v1/embeddings", []byte("not gzip"), "Content-Encoding", "gzip")
	r.expectFinal(got, "400")
	got = r.post("/v1/embeddings", []byte("x"), "Content-Encoding", "br")
	r.expectFinal(got, "415")
}

// The end of an encoded body that is large once it is decoded is read after the call has arrived. The client gets its
// answer also if that end is invalid, before and after the first parts were sent.
func TestLargeEncodedBodies(t *testing.T) {
	r := newBatchHarness(t, withBatches(&pb.Batches{Window: 64 << 10}), "prefill west", "decode west")
	r.serveAll(answerEmbeddings)
	for name, test := range map[string]struct {
		inputs []string
		ending string
		want   string
	}{
		"valid, one part":     {inputTexts(1, 0), "", "streamed"},
		"invalid, no part":    {inputTexts(1, 0), "}", "400"},
		"valid, many parts":   {inputTexts(1500, 10), "", "streamed"},
		"invalid, many parts": {inputTexts(1500, 10), "}", "400"},
	} {
		body := string(embeddingsBody(test.inputs, "")) + strings.Repeat(" ", 1<<20) + test.ending
		got := r.post("/v1/embeddings", gzipped(t, []byte(body)), "Content-Encoding", "gzip")
		t.Log(name)
		r.expectFinal(got, test.want)
	}
	r.network.Run(eventloop.Second)
	if n := r.dispatcher.batches.openCalls; n != 0 {
		t.Errorf("%d calls are open at the end", n)
	}
}

// rerankItem is one document's score in the response of an endpoint.
type rerankItem struct {
	Index int     `json:"index"`
	Score float64 `json:"relevance_score"`
}

// answerRerank scores each document of a part by the document's length modulo 4.
func answerRerank(c *fakeConn) {
	items := []rerankItem{}
	gjson.GetBytes(c.body, "documents").ForEach(func(_, document gjson.Result) bool {
		items = append(items, rerankItem{len(items), float64(len(document.Str) % 4)})
		return true
	})
	b, _ := json.Marshal(map[string]any{"results": items})
	c.answer(200, string(b))
}

// Documents are returned with their index and text, sorted by falling score; documents with equal scores keep their
// order.
func TestRerankSortsDocuments(t *testing.T) {
	r := newBatchHarness(t, withBatches(&pb.Batches{PartInputs: 3}), "prefill west", "prefill west", "decode west")
	r.serveAll(answerRerank)
	c := r.post("/v1/rerank", []byte(`{"model":"rank","query":"q","top_n":6,"return_documents":true,`+
		`"documents":["aaa",{"text":"b"},"cc","dddd","eee","f","aaa","gg"]}`))
	r.expectFinal(c, "streamed")
	var order []string
	for _, v := range gjson.GetBytes(c.dechunk(t), "results").Array() {
		order = append(order, fmt.Sprint(v.Get("index").Int(), v.Get("document.text").Str, v.Get("relevance_score").Num))
	}
	if got := strings.Join(order, ","); got != "0aaa3,4eee3,6aaa3,2cc2,7gg2,1b1" {
		t.Errorf("got the documents %s", got)
	}
}

// A tenant's vectors are cached, and the cache is not shared with another tenant.
func TestVectorCacheIsPerTenant(t *testing.T) {
	r := newBatchHarness(t, withBatches(&pb.Batches{Cache: 1 << 20}), "prefill west", "decode west")
	inputs := inputTexts(50, 0)
	for range 3 {
		r.expectEmbeddings(r.embed(inputs, ""), inputs, 256)
	}
	attempts := 0
	for _, endpoint := range r.endpoints {
		attempts += len(endpoint.seen)
	}
	if attempts > 8 {
		t.Errorf("%d attempts for the same 50 inputs in three calls, want 8 at most", attempts)
	}
	for _, dimensions := range []int{64, 256} { // each number of dimensions has its own cache
		c := r.embed(inputs[:2], fmt.Sprintf(`,"dimensions":%d`, dimensions))
		r.expectEmbeddings(c, inputs[:2], dimensions)
	}
	batches := &r.dispatcher.batches
	if batches.vectorCache("1-a", 256) == batches.vectorCache("2-b", 256) {
		t.Error("two tenants share a cache")
	}
}

// A cached vector frees space for more of a compressed body while the inputs are still being split into parts. None of
// the inputs that are read meanwhile may be skipped.
func TestCachedVectorsInACompressedBody(t *testing.T) {
	r := newBatchHarness(t, withBatches(&pb.Batches{Cache: 4 << 20, Window: 16 << 10}), "prefill west", "decode west")
	inputs := inputTexts(900, 40)
	for _, n := range []int{600, 900} { // the second call finds the first 600 vectors in the cache
		c := r.post("/v1/embeddings", gzipped(t, embeddingsBody(inputs[:n], "")), "Content-Encoding", "gzip")
		r.expectEmbeddings(c, inputs[:n], 256)
	}
}
