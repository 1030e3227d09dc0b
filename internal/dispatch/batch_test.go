package dispatch

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/lifecycle"
)

// A call is parted, read at several hosts that answer in any order, and joined in its own; repeats inside it are read once;
// both formats, fewer dimensions, token lists and coded bodies.
func TestBatchIsJoinedInOrder(t *testing.T) {
	r := newBatchHarness(t, nil, "prefill west", "prefill west", "prefill east", "decode west")
	chance := rand.New(rand.NewSource(4))
	asked := 0
	for _, h := range r.endpoints {
		h.serve = func(l *fakeConn) {
			copied := *l
			asked += len(gjson.GetBytes(l.body, "input").Array())
			r.remote.AfterFunc(eventloop.Micros(chance.Intn(40_000)), func() { answerEmbeddings(&copied) })
		}
	}
	inputs := append(inputTexts(300), inputTexts(40)...)
	c := r.post("/v1/embeddings", embeddingsBody(inputs, `,"encoding_format":"base64"`))
	r.expectFinal(c, "streamed")
	c.expectVectors(t, inputs, 256)
	if asked != 300 {
		t.Errorf("%d inputs were read; 300 differ", asked)
	}
	c = r.post("/v1/embeddings", embeddingsBody(inputs[:5], `,"dimensions":64`))
	r.expectFinal(c, "streamed")
	c.expectVectors(t, inputs[:5], 64)
	c = r.post("/v1/embeddings", []byte(`{"input":[5,6,7],"model":"embed"}`))
	r.expectFinal(c, "streamed")
	if n := gjson.GetBytes(c.dechunk(t), "data.#").Int(); n != 1 {
		t.Errorf("a list of tokens gave %d vectors", n)
	}
	plain := embeddingsBody(inputs, "")
	var zipped bytes.Buffer
	z := gzip.NewWriter(&zipped)
	_, _ = z.Write(plain)
	_ = z.Close()
	c = r.post("/v1/embeddings", zipped.Bytes(), "Content-Encoding", "gzip")
	r.expectFinal(c, "streamed")
	c.expectVectors(t, inputs, 256)
	enc, _ := zstd.NewWriter(nil)
	c = r.post("/v1/embeddings", enc.EncodeAll(plain, nil), "Content-Encoding", "zstd")
	r.expectFinal(c, "streamed")
	c.expectVectors(t, inputs, 256)
}

// One host dies with parts on it, another sends vectors that are none, a third falls silent for a while: single parts go out again,
// the hosts are blamed, and the call is whole.
func TestBatchCompletesDespiteBadEndpoints(t *testing.T) {
	r := newBatchHarness(t, func(d deployment.Deployment) { d.Batches = &pb.Batches{PartInputs: 4} }, "prefill west", "prefill west", "prefill east", "prefill east", "decode west")
	bad := []string{`{"data":[]}`, `{"data":[{"index":0,"embedding":"AAAAAA=="}]}`, `{"data":[{"index":0,"embedding":[NaN]}]}`, `{"data":{}}`, "no", `{"data":[{"index":7,"embedding":""}]}`,
		`{"data":[{"index":0,"embedding":"` + strings.Repeat("AADAfw==", 1) + `"}]}`}
	n, first := 0, 0
	r.endpoints[1].serve = func(l *fakeConn) { n++; l.answer(200, bad[n%len(bad)]) }
	r.endpoints[2].serve = func(l *fakeConn) {
		if first++; first > 3 {
			answerEmbeddings(l)
		}
	}
	inputs := inputTexts(400)
	c := r.post("/v1/embeddings", embeddingsBody(inputs, ""))
	r.world.Run(60 * eventloop.Millisecond)
	r.remote.Do(func() { // the first host dies
		r.endpoints[0].listener.Close()
		for l := range r.endpoints[0].conns {
			l.conn.Abort()
		}
	})
	r.expectFinal(c, "streamed")
	c.expectVectors(t, inputs, 256)
	if n == 0 || n > 60 {
		t.Errorf("a host whose vectors are none was asked %d times", n)
	}
}

// One input that always fails is found and named; the call fails with it, at once where a host says that it is no good.
func TestFailingInputIsNamed(t *testing.T) {
	for _, how := range []string{"fails", "is no good"} {
		r := newBatchHarness(t, nil, "prefill west", "prefill west", "prefill east", "decode west")
		for _, h := range r.endpoints {
			h.serve = func(l *fakeConn) {
				switch {
				case !bytes.Contains(l.body, []byte("poison")):
					answerEmbeddings(l)
				case how == "fails":
					l.answer(500, `{"error":{"message":"x"}}`)
				default:
					l.answer(422, `{"error":{"code":"invalid_input"}}`)
				}
			}
		}
		inputs := inputTexts(64)
		inputs[37] = "poison"
		c := r.post("/v1/embeddings", embeddingsBody(inputs, ""))
		r.expectFinal(c, "422")
		if at := gjson.GetBytes(c.dechunk(t), "error.param").Str; at != "input[37]" {
			t.Errorf("%s: blamed %q: %s", how, at, c.raw)
		}
	}
}

// A client that leaves in mid-batch leaves nothing; one whose time is up with parts missing gets one answer in time.
func TestBatchEndingEarlyLeavesNothing(t *testing.T) {
	r := newBatchHarness(t, nil, "prefill west", "prefill west", "decode west")
	held := 0
	for _, h := range r.endpoints {
		h.serve = func(l *fakeConn) {
			if held++; held < 10 {
				answerEmbeddings(l)
			}
		}
	}
	c := r.post("/v1/embeddings", embeddingsBody(inputTexts(2000), ""))
	r.runUntil(5*eventloop.Second, func() bool { return held > 10 })
	r.remote.Do(c.conn.Abort)
	r.world.Run(eventloop.Second)
	r.expectIdle()
	if r.dispatcher.batches.openCalls != 0 || len(r.dispatcher.batches.tenants) != 0 || r.dispatcher.batches.limiter.InFlight() != 0 {
		t.Errorf("left: %d calls, %d tenants, %d parts out", r.dispatcher.batches.openCalls, len(r.dispatcher.batches.tenants), r.dispatcher.batches.limiter.InFlight())
	}
	began := r.remote.Now()
	c = r.post("/v1/embeddings", embeddingsBody(inputTexts(100), ""), "x-time-limit-ms", "700")
	r.runUntil(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if took := r.remote.Now() - began; took > 700*eventloop.Millisecond || took < 600*eventloop.Millisecond {
		t.Errorf("the answer came after %d ms", took/eventloop.Millisecond)
	}
	r.expectFinal(c, "terminated")
}

// A thousand small calls beside a huge one: the huge one does not stand before them.
func TestHugeBatchDoesNotDelaySmallOnes(t *testing.T) {
	r := newBatchHarness(t, nil, "prefill west", "prefill west", "prefill east", "decode west")
	for _, h := range r.endpoints {
		h.serve = func(l *fakeConn) {
			copied := *l
			r.remote.AfterFunc(4*eventloop.Millisecond, func() { answerEmbeddings(&copied) })
		}
	}
	long := inputTexts(2048)
	for i := range long {
		long[i] += strings.Repeat(" long", 150)
	}
	huge := r.post("/v1/embeddings", embeddingsBody(long, ""))
	r.world.Run(100 * eventloop.Millisecond)
	var small []*clientCall
	began, last := r.remote.Now(), eventloop.Micros(0)
	for i := range 1000 {
		small = append(small, r.post("/v1/embeddings", embeddingsBody([]string{fmt.Sprint("small ", i)}, "")))
	}
	r.runUntil(60*eventloop.Second, func() bool {
		for _, c := range small {
			if len(c.finals) == 0 {
				return false
			}
		}
		last = r.remote.Now()
		return true
	})
	if len(huge.finals) > 0 {
		t.Error("the huge call was over before the small ones")
	}
	t.Logf("a thousand small calls took %d ms beside the huge one", (last-began)/eventloop.Millisecond)
	r.runUntil(60*eventloop.Second, func() bool { return len(huge.finals) > 0 })
	for _, c := range append(small, huge) {
		if len(c.finals) != 1 || c.finals[0] != "streamed" {
			t.Fatalf("finals %v: %.200q", c.finals, c.raw)
		}
	}
	r.world.Run(eventloop.Second)
	r.expectIdle()
}

// A body far larger than what is kept: its inputs go out while it comes, and what is kept of it stays within the bound.
func TestBatchBodyLargerThanItsWindow(t *testing.T) {
	r := newBatchHarness(t, func(d deployment.Deployment) { d.Batches = &pb.Batches{Window: 256 << 10, PartTokens: 4096} }, "prefill west", "prefill west", "prefill east", "decode west")
	inputs := inputTexts(1500)
	for i := range inputs {
		inputs[i] += strings.Repeat(" long", 800)
	}
	most := 0
	for _, h := range r.endpoints {
		h.serve = func(l *fakeConn) {
			for _, t := range r.dispatcher.batches.tenants {
				for _, c := range t.calls {
					most = max(most, c.request.BufferedBytes)
				}
			}
			answerEmbeddings(l)
		}
	}
	c := r.post("/v1/embeddings", embeddingsBody(inputs, ""))
	r.expectFinal(c, "streamed")
	c.expectVectors(t, inputs, 256)
	if most > 512<<10 || most == 0 {
		t.Errorf("%d bytes of inputs were kept, of %d that came", most, len(c.request))
	}
	late, _ := json.Marshal(inputs)
	c = r.post("/v1/embeddings", []byte(`{"input":`+string(late)+`,"model":"embed"}`))
	r.expectFinal(c, "413") // nothing can go out before the model is known, and all of it is more than is kept
	c = r.post("/v1/embeddings", embeddingsBody(append(inputs, "x"), `,"dimensions":900`))
	r.expectFinal(c, "400")
}

// Where a leg can't be taken back its read ends after its client has left: both cells of the path's table that chat never reaches.
func TestPrefillOnlyCompletesAfterClientDisconnect(t *testing.T) {
	r := newBatchHarness(t, func(d deployment.Deployment) { d.Dispatching.MayCancel = false }, "prefill west", "decode west")
	for _, h := range r.endpoints {
		h.serve = func(l *fakeConn) {
			copied := *l
			r.remote.AfterFunc(100*eventloop.Millisecond, func() { answerEmbeddings(&copied) })
		}
	}
	r.expectFinal(r.post("/v1/embeddings", embeddingsBody(inputTexts(3), "")), "streamed")
	c := r.post("/v1/embeddings", embeddingsBody(inputTexts(3), ""))
	r.world.Run(50 * eventloop.Millisecond)
	r.remote.Do(c.conn.Abort)
	r.world.Run(eventloop.Second)
	r.expectIdle()
	if n, m := r.dispatcher.Coverage[lifecycle.Prefilling][lifecycle.PrefillOnlyCompleted], r.dispatcher.Coverage[lifecycle.Closing][lifecycle.PrefillOnlyCompleted]; n == 0 || m == 0 {
		t.Errorf("reached %d times while it was read, %d after its client left", n, m)
	}
}
