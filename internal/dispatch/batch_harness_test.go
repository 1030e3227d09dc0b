package dispatch

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment"
	"plumspindle/internal/testbed/modelserver"
)

// answerEmbeddings answers a part as every host should.
func answerEmbeddings(l *fakeConn) {
	list := []any{}
	gjson.GetBytes(l.body, "input").ForEach(func(_, v gjson.Result) bool {
		list = append(list, map[string]any{"index": len(list), "embedding": base64.StdEncoding.EncodeToString(modelserver.Vector(v.Raw, int(gjson.GetBytes(l.body, "dimensions").Int())))})
		return true
	})
	b, _ := json.Marshal(map[string]any{"data": list, "usage": map[string]int{"prompt_tokens": len(list)}})
	l.answer(200, string(b))
}

func newBatchHarness(t *testing.T, change func(d deployment.Deployment), names ...string) *harness {
	r := newHarness(t, change, names...)
	for _, h := range r.endpoints {
		h.serve = answerEmbeddings
	}
	return r
}

func embeddingsBody(inputs []string, more string) []byte {
	b, _ := json.Marshal(inputs)
	return []byte(`{"model":"embed"` + more + `,"input":` + string(b) + `}`)
}

func inputTexts(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("text %d of the collection, with some words that make it a little longer", i))
	}
	return all
}

// expectVectors holds an answer against what each input's vector has to be.
func (c *clientCall) expectVectors(t *testing.T, inputs []string, dimensions int) {
	t.Helper()
	b := c.dechunk(t)
	data := gjson.GetBytes(b, "data").Array()
	if len(data) != len(inputs) || !gjson.ValidBytes(b) || gjson.GetBytes(b, "object").Str != "list" {
		t.Fatalf("%d vectors for %d inputs: %.200s", len(data), len(inputs), b)
	}
	for i, v := range data {
		raw, _ := json.Marshal(inputs[i])
		want := modelserver.Vector(string(raw), dimensions)
		e := v.Get("embedding")
		if e.IsArray() {
			list := e.Array()
			back := make([]float32, len(list))
			for k := range list {
				back[k] = float32(list[k].Num)
			}
			if len(list) != dimensions || fmt.Sprint(back) != fmt.Sprint(floats(want)) {
				t.Fatalf("vector %d is wrong: %d numbers", i, len(list))
			}
		} else if e.Str != base64.StdEncoding.EncodeToString(want) {
			t.Fatalf("vector %d is wrong", i)
		}
		if v.Get("index").Int() != int64(i) {
			t.Fatalf("index %d at place %d", v.Get("index").Int(), i)
		}
	}
}

func floats(raw []byte) (all []float32) {
	for i := 0; i+4 <= len(raw); i += 4 {
		all = append(all, math.Float32frombits(binary.LittleEndian.Uint32(raw[i:])))
	}
	return all
}
