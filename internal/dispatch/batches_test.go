package dispatch

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/sse"
	"plumspindle/internal/testbed/modelserver"
)

// embeds answers a part as every host should.
func embeds(l *line) {
	list := []any{}
	gjson.GetBytes(l.body, "input").ForEach(func(_, v gjson.Result) bool {
		list = append(list, map[string]any{"index": len(list), "embedding": base64.StdEncoding.EncodeToString(modelserver.Vector(v.Raw, int(gjson.GetBytes(l.body, "dimensions").Int())))})
		return true
	})
	b, _ := json.Marshal(map[string]any{"data": list, "usage": map[string]int{"prompt_tokens": len(list)}})
	l.answer(200, string(b))
}

func batchRig(t *testing.T, change func(d deployment.Deployment), names ...string) *rig {
	r := newRig(t, change, names...)
	for _, h := range r.hosts {
		h.serve = embeds
	}
	return r
}

// post sends a whole body to a URL.
func (r *rig) post(path string, body []byte, fields ...string) *call {
	c := &call{r: r, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}}
	c.request = http1.AppendRequest(nil, http1.Request{Method: "POST", Target: path, Host: r.addr, Body: body},
		append([]string{
			"Authorization", "Bearer " + key, "Content-Type", "application/json"}, fields...)...)
	r.far.Do(func() { c.conn = r.far.Dial(r.addr, eventloop.Second, c) })
	return c
}

func body(inputs []string, more string) []byte {
	b, _ := json.Marshal(inputs)
	return []byte(`{"model":"embed"` + more + `,"input":` + string(b) + `}`)
}

func texts(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("text %d of the collection, with some words that make it a little longer", i))
	}
	return all
}

// dechunk is the body of a chunked answer.
func (c *call) dechunk(t *testing.T) []byte {
	t.Helper()
	got := &bodyOf{}
	p := http1.Parser{Response: true, Limits: http1.DefaultLimits}
	if err := p.Feed(c.raw, got); err != nil {
		t.Fatal(err)
	}
	return got.b
}

type bodyOf struct{ b []byte }

func (g *bodyOf) Head(*http1.Head) error { return nil }
func (g *bodyOf) Body(b []byte) error    { g.b = append(g.b, b...); return nil }
func (g *bodyOf) End() error             { return nil }

// vectors holds an answer against what each input's vector has to be.
func (c *call) vectors(t *testing.T, inputs []string, dimensions int) {
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

// A call is parted, read at several hosts that answer in any order, and joined in its own; repeats inside it are read once;
// both formats, fewer dimensions, token lists and coded bodies.
func TestBatchIsJoinedInOrder(t *testing.T) {
	r := batchRig(t, nil, "prefill west", "prefill west", "prefill east", "decode west")
	chance := rand.New(rand.NewSource(4))
	asked := 0
	for _, h := range r.hosts {
		h.serve = func(l *line) {
			copied := *l
			asked += len(gjson.GetBytes(l.body, "input").Array())
			r.far.AfterFunc(eventloop.Micros(chance.Intn(40_000)), func() { embeds(&copied) })
		}
	}
	inputs := append(texts(300), texts(40)...)
	c := r.post("/v1/embeddings", body(inputs, `,"encoding_format":"base64"`))
	r.ends(c, "streamed")
	c.vectors(t, inputs, 256)
	if asked != 300 {
		t.Errorf("%d inputs were read; 300 differ", asked)
	}
	c = r.post("/v1/embeddings", body(inputs[:5], `,"dimensions":64`))
	r.ends(c, "streamed")
	c.vectors(t, inputs[:5], 64)
	c = r.post("/v1/embeddings", []byte(`{"input":[5,6,7],"model":"embed"}`))
	r.ends(c, "streamed")
	if n := gjson.GetBytes(c.dechunk(t), "data.#").Int(); n != 1 {
		t.Errorf("a list of tokens gave %d vectors", n)
	}
	plain := body(inputs, "")
	var zipped bytes.Buffer
	z := gzip.NewWriter(&zipped)
	_, _ = z.Write(plain)
	_ = z.Close()
	c = r.post("/v1/embeddings", zipped.Bytes(), "Content-Encoding", "gzip")
	r.ends(c, "streamed")
	c.vectors(t, inputs, 256)
	enc, _ := zstd.NewWriter(nil)
	c = r.post("/v1/embeddings", enc.EncodeAll(plain, nil), "Content-Encoding", "zstd")
	r.ends(c, "streamed")
	c.vectors(t, inputs, 256)
}

// One host dies with parts on it, another sends vectors that are none, a third falls silent for a while: single parts go out again,
// the hosts are blamed, and the call is whole.
func TestBatchThroughBadHosts(t *testing.T) {
	r := batchRig(t, func(d deployment.Deployment) { d.Batches = &pb.Batches{PartInputs: 4} }, "prefill west", "prefill west", "prefill east", "prefill east", "decode west")
	bad := []string{`{"data":[]}`, `{"data":[{"index":0,"embedding":"AAAAAA=="}]}`, `{"data":[{"index":0,"embedding":[NaN]}]}`, `{"data":{}}`, "no", `{"data":[{"index":7,"embedding":""}]}`,
		`{"data":[{"index":0,"embedding":"` + strings.Repeat("AADAfw==", 1) + `"}]}`}
	n, first := 0, 0
	r.hosts[1].serve = func(l *line) { n++; l.answer(200, bad[n%len(bad)]) }
	r.hosts[2].serve = func(l *line) {
		if first++; first > 3 {
			embeds(l)
		}
	}
	inputs := texts(400)
	c := r.post("/v1/embeddings", body(inputs, ""))
	r.w.Run(60 * eventloop.Millisecond)
	r.far.Do(func() { // the first host dies
		r.hosts[0].ln.Close()
		for l := range r.hosts[0].conns {
			l.conn.Abort()
		}
	})
	r.ends(c, "streamed")
	c.vectors(t, inputs, 256)
	if n == 0 || n > 60 {
		t.Errorf("a host whose vectors are none was asked %d times", n)
	}
}

// One input that always fails is found and named; the call fails with it, at once where a host says that it is no good.
func TestPoisonousInput(t *testing.T) {
	for _, how := range []string{"fails", "is no good"} {
		r := batchRig(t, nil, "prefill west", "prefill west", "prefill east", "decode west")
		for _, h := range r.hosts {
			h.serve = func(l *line) {
				switch {
				case !bytes.Contains(l.body, []byte("poison")):
					embeds(l)
				case how == "fails":
					l.answer(500, `{"error":{"message":"x"}}`)
				default:
					l.answer(422, `{"error":{"code":"invalid_input"}}`)
				}
			}
		}
		inputs := texts(64)
		inputs[37] = "poison"
		c := r.post("/v1/embeddings", body(inputs, ""))
		r.ends(c, "422")
		if at := gjson.GetBytes(c.dechunk(t), "error.param").Str; at != "input[37]" {
			t.Errorf("%s: blamed %q: %s", how, at, c.raw)
		}
	}
}

// A client that leaves in mid-batch leaves nothing; one whose time is up with parts missing gets one answer in time.
func TestBatchEndsEarly(t *testing.T) {
	r := batchRig(t, nil, "prefill west", "prefill west", "decode west")
	held := 0
	for _, h := range r.hosts {
		h.serve = func(l *line) {
			if held++; held < 10 {
				embeds(l)
			}
		}
	}
	c := r.post("/v1/embeddings", body(texts(2000), ""))
	r.until(5*eventloop.Second, func() bool { return held > 10 })
	r.far.Do(c.conn.Abort)
	r.w.Run(eventloop.Second)
	r.idle()
	if r.x.batches.calls != 0 || len(r.x.batches.turns) != 0 || r.x.batches.limiter.InFlight() != 0 {
		t.Errorf("left: %d calls, %d tenants, %d parts out", r.x.batches.calls, len(r.x.batches.turns), r.x.batches.limiter.InFlight())
	}
	began := r.far.Now()
	c = r.post("/v1/embeddings", body(texts(100), ""), "x-time-limit-ms", "700")
	r.until(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if took := r.far.Now() - began; took > 700*eventloop.Millisecond || took < 600*eventloop.Millisecond {
		t.Errorf("the answer came after %d ms", took/eventloop.Millisecond)
	}
	r.ends(c, "terminated")
}

// A thousand small calls beside a huge one: the huge one does not stand before them.
func TestSmallCallsBesideAHugeOne(t *testing.T) {
	r := batchRig(t, nil, "prefill west", "prefill west", "prefill east", "decode west")
	for _, h := range r.hosts {
		h.serve = func(l *line) {
			copied := *l
			r.far.AfterFunc(4*eventloop.Millisecond, func() { embeds(&copied) })
		}
	}
	long := texts(2048)
	for i := range long {
		long[i] += strings.Repeat(" long", 150)
	}
	huge := r.post("/v1/embeddings", body(long, ""))
	r.w.Run(100 * eventloop.Millisecond)
	var small []*call
	began, last := r.far.Now(), eventloop.Micros(0)
	for i := range 1000 {
		small = append(small, r.post("/v1/embeddings", body([]string{fmt.Sprint("small ", i)}, "")))
	}
	r.until(60*eventloop.Second, func() bool {
		for _, c := range small {
			if len(c.finals) == 0 {
				return false
			}
		}
		last = r.far.Now()
		return true
	})
	if len(huge.finals) > 0 {
		t.Error("the huge call was over before the small ones")
	}
	t.Logf("a thousand small calls took %d ms beside the huge one", (last-began)/eventloop.Millisecond)
	r.until(60*eventloop.Second, func() bool { return len(huge.finals) > 0 })
	for _, c := range append(small, huge) {
		if len(c.finals) != 1 || c.finals[0] != "streamed" {
			t.Fatalf("finals %v: %.200q", c.finals, c.raw)
		}
	}
	r.w.Run(eventloop.Second)
	r.idle()
}

// A body far larger than what is kept: its inputs go out while it comes, and what is kept of it stays within the bound.
func TestBodyLargerThanTheWindow(t *testing.T) {
	r := batchRig(t, func(d deployment.Deployment) { d.Batches = &pb.Batches{Window: 256 << 10, PartTokens: 4096} }, "prefill west", "prefill west", "prefill east", "decode west")
	inputs := texts(1500)
	for i := range inputs {
		inputs[i] += strings.Repeat(" long", 800)
	}
	most := 0
	for _, h := range r.hosts {
		h.serve = func(l *line) {
			for _, t := range r.x.batches.turns {
				for _, c := range t.calls {
					most = max(most, c.ask.BufferedBytes)
				}
			}
			embeds(l)
		}
	}
	c := r.post("/v1/embeddings", body(inputs, ""))
	r.ends(c, "streamed")
	c.vectors(t, inputs, 256)
	if most > 512<<10 || most == 0 {
		t.Errorf("%d bytes of inputs were kept, of %d that came", most, len(c.request))
	}
	late, _ := json.Marshal(inputs)
	c = r.post("/v1/embeddings", []byte(`{"input":`+string(late)+`,"model":"embed"}`))
	r.ends(c, "413") // nothing can go out before the model is known, and all of it is more than is kept
	c = r.post("/v1/embeddings", body(append(inputs, "x"), `,"dimensions":900`))
	r.ends(c, "400")
}

// What a call is refused for: each fault with its parameter.
func TestBatchRefusals(t *testing.T) {
	r := batchRig(t, func(d deployment.Deployment) { d.Batches = &pb.Batches{InputsMost: 3, InputTokensMost: 50} }, "prefill west", "decode west")
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
		r.ends(got, c.want)
		if p := gjson.GetBytes(got.dechunk(t), "error.param").Str; p != c.param {
			t.Errorf("%s %.80s: parameter %q, want %q: %s", c.path, c.body, p, c.param, got.dechunk(t))
		}
	}
	got := r.post("/v1/embeddings", []byte("not gzip"), "Content-Encoding", "gzip")
	r.ends(got, "400")
	got = r.post("/v1/embeddings", []byte("x"), "Content-Encoding", "br")
	r.ends(got, "415")
}

// Documents come back sorted, the best first, equal ones in the order in which they came, with their true places and texts.
func TestRerank(t *testing.T) {
	r := batchRig(t, func(d deployment.Deployment) { d.Batches = &pb.Batches{PartInputs: 3} }, "prefill west", "prefill west", "decode west")
	for _, h := range r.hosts {
		h.serve = func(l *line) {
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
	r.ends(c, "streamed")
	var order []string
	for _, v := range gjson.GetBytes(c.dechunk(t), "results").Array() {
		order = append(order, fmt.Sprint(v.Get("index").Int(), v.Get("document.text").Str, v.Get("relevance_score").Num))
	}
	if got := strings.Join(order, ","); got != "0aaa3,4eee3,6aaa3,2cc2,7gg2,1b1" {
		t.Errorf("order: %s", got)
	}
}

// A tenant's vectors are kept for itself alone.
func TestVectorCache(t *testing.T) {
	r := batchRig(t, func(d deployment.Deployment) { d.Batches = &pb.Batches{Cache: 1 << 20} }, "prefill west", "decode west")
	inputs := texts(50)
	for range 3 {
		c := r.post("/v1/embeddings", body(inputs, ""))
		r.ends(c, "streamed")
		c.vectors(t, inputs, 256)
	}
	legs := 0
	for _, h := range r.hosts {
		legs += len(h.seen)
	}
	if legs > 8 {
		t.Errorf("%d legs for 50 inputs that were asked for three times", legs)
	}
	for _, dimensions := range []int{64, 256} { // another size is another vector
		c := r.post("/v1/embeddings", body(inputs[:2], fmt.Sprintf(`,"dimensions":%d`, dimensions)))
		r.ends(c, "streamed")
		c.vectors(t, inputs[:2], dimensions)
	}
	if a, b := r.x.cacheOf("1-a", 256), r.x.cacheOf("2-b", 256); a == b {
		t.Error("two tenants share a cache")
	}
}

// Where a leg can't be taken back its read ends after its client has left: both cells of the path's table that chat never reaches.
func TestReadEndsAfterItsClientLeft(t *testing.T) {
	r := batchRig(t, func(d deployment.Deployment) { d.Dispatching.MayCancel = false }, "prefill west", "decode west")
	for _, h := range r.hosts {
		h.serve = func(l *line) {
			copied := *l
			r.far.AfterFunc(100*eventloop.Millisecond, func() { embeds(&copied) })
		}
	}
	r.ends(r.post("/v1/embeddings", body(texts(3), "")), "streamed")
	c := r.post("/v1/embeddings", body(texts(3), ""))
	r.w.Run(50 * eventloop.Millisecond)
	r.far.Do(c.conn.Abort)
	r.w.Run(eventloop.Second)
	r.idle()
	if n, m := r.x.Coverage[lifecycle.Prefilling][lifecycle.PrefillOnlyCompleted], r.x.Coverage[lifecycle.Closing][lifecycle.PrefillOnlyCompleted]; n == 0 || m == 0 {
		t.Errorf("reached %d times while it was read, %d after its client left", n, m)
	}
}

// Vectors that are kept make room for more of a coded body while its inputs are parted; none is passed over for that.
func TestKeptVectorsInACodedBody(t *testing.T) {
	r := batchRig(t, func(d deployment.Deployment) { d.Batches = &pb.Batches{Cache: 4 << 20, Window: 16 << 10} }, "prefill west", "decode west")
	inputs := texts(900)
	for i := range inputs {
		inputs[i] += strings.Repeat(" long", 40)
	}
	for _, n := range []int{600, 900} { // the first ones are kept when all are asked for
		var zipped bytes.Buffer
		z := gzip.NewWriter(&zipped)
		_, _ = z.Write(body(inputs[:n], ""))
		_ = z.Close()
		c := r.post("/v1/embeddings", zipped.Bytes(), "Content-Encoding", "gzip")
		r.ends(c, "streamed")
		c.vectors(t, inputs[:n], 256)
	}
}
