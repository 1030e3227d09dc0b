package dispatch

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/jsonsyntax"
	"plumspindle/internal/testbed/modelserver"
)

// embeddingItem is one vector in the response of an endpoint.
type embeddingItem struct {
	Index     int    `json:"index"`
	Embedding string `json:"embedding"`
}

// answerEmbeddings answers a part correctly.
func answerEmbeddings(c *fakeConn) {
	dimensions := int(gjson.GetBytes(c.body, "dimensions").Int())
	items := []embeddingItem{}
	gjson.GetBytes(c.body, "input").ForEach(func(_, input gjson.Result) bool {
		vector := modelserver.Vector(input.Raw, dimensions)
		items = append(items, embeddingItem{len(items), base64.StdEncoding.EncodeToString(vector)})
		return true
	})
	b, _ := json.Marshal(map[string]any{"data": items, "usage": map[string]int{"prompt_tokens": len(items)}})
	c.answer(200, string(b))
}

// answerEmbeddingsAfter answers a part with a delay.
func answerEmbeddingsAfter(delay eventloop.Micros) func(*fakeConn) {
	return func(c *fakeConn) {
		request := c.request()
		c.after(delay, func() { answerEmbeddings(request) })
	}
}

// withBatches returns a change of the deployment that sets the limits of batch calls.
func withBatches(limits *pb.Batches) func(dep deployment.Deployment) {
	return func(dep deployment.Deployment) { dep.Batches = limits }
}

// newBatchHarness starts a dispatcher with endpoints that answer parts of embeddings calls.
func newBatchHarness(t *testing.T, change func(dep deployment.Deployment), endpoints ...string) *harness {
	t.Helper()
	r := newHarness(t, change, endpoints...)
	r.serveAll(answerEmbeddings)
	return r
}

// serveAll sets how all endpoints serve requests.
func (r *harness) serveAll(serve func(*fakeConn)) {
	for _, endpoint := range r.endpoints {
		endpoint.serve = serve
	}
}

// embed sends an embeddings call. The parameter members is JSON text to insert into the body; each member in this text
// has to begin with a comma.
func (r *harness) embed(inputs []string, members string, fields ...string) *clientCall {
	return r.post("/v1/embeddings", embeddingsBody(inputs, members), fields...)
}

func embeddingsBody(inputs []string, members string) []byte {
	b, _ := json.Marshal(inputs)
	return []byte(`{"model":"embed"` + members + `,"input":` + string(b) + `}`)
}

// gzipped returns a body compressed by gzip.
func gzipped(t *testing.T, body []byte) []byte {
	t.Helper()
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(body); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return compressed.Bytes()
}

// inputTexts returns n different texts, each followed by a number of further words.
func inputTexts(n, words int) (all []string) {
	more := strings.Repeat(" long", words)
	for i := range n {
		text := fmt.Sprintf("text %d of the collection, with some words that make it a little longer", i)
		all = append(all, text+more)
	}
	return all
}

// expectEmbeddings waits for the answer to a call, and checks its vectors.
func (r *harness) expectEmbeddings(c *clientCall, inputs []string, dimensions int) {
	r.t.Helper()
	r.expectFinal(c, "streamed")
	c.expectVectors(r.t, inputs, dimensions)
}

// expectVectors compares the vectors of an answer with the vectors that the model server returns for the inputs.
func (c *clientCall) expectVectors(t *testing.T, inputs []string, dimensions int) {
	t.Helper()
	body := c.dechunk(t)
	data := gjson.GetBytes(body, "data").Array()
	if len(data) != len(inputs) || !jsonsyntax.Valid(body) || gjson.GetBytes(body, "object").Str != "list" {
		t.Fatalf("%d vectors for %d inputs: %.200s", len(data), len(inputs), body)
	}
	for i, item := range data {
		raw, _ := json.Marshal(inputs[i])
		want := modelserver.Vector(string(raw), dimensions)
		embedding := item.Get("embedding")
		if embedding.IsArray() {
			got := floatsOfJSON(embedding)
			if len(got) != dimensions || !slices.EqualFunc(got, floatsOf(want), sameBits) {
				t.Fatalf("vector %d is wrong: %d numbers", i, len(got))
			}
		} else if embedding.Str != base64.StdEncoding.EncodeToString(want) {
			t.Fatalf("vector %d is wrong", i)
		}
		if index := item.Get("index").Int(); index != int64(i) {
			t.Fatalf("item %[2]d has the index %[1]d", index, i)
		}
	}
}

func floatsOfJSON(list gjson.Result) (all []float32) {
	for _, number := range list.Array() {
		all = append(all, float32(number.Num))
	}
	return all
}

// sameBits reports whether two numbers have the same bits. Zeros with different signs have different bits.
func sameBits(a, b float32) bool { return math.Float32bits(a) == math.Float32bits(b) }

func floatsOf(vector []byte) (all []float32) {
	for i := 0; i+4 <= len(vector); i += 4 {
		all = append(all, math.Float32frombits(binary.LittleEndian.Uint32(vector[i:])))
	}
	return all
}
