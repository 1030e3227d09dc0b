package dispatch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/lifecycle"
)

// A call is split into parts, which endpoints answer in any order, and its answer has the vectors in the order of the
// inputs. Repeated inputs are prefilled once. The test also covers both encoding formats, fewer dimensions, lists of
// tokens and compressed bodies.
func TestBatchIsJoinedInOrder(t *testing.T) {
	r := newBatchHarness(t, nil, "prefill west", "prefill west", "prefill east", "decode west")
	random := rand.New(rand.NewSource(4))
	prefilled := 0
	r.serveAll(func(c *fakeConn) {
		prefilled += len(gjson.GetBytes(c.body, "input").Array())
		answerEmbeddingsAfter(eventloop.Micros(random.Intn(40_000)))(c)
	})
	inputs := append(inputTexts(300, 0), inputTexts(40, 0)...)
	r.expectEmbeddings(r.embed(inputs, `,"encoding_format":"base64"`), inputs, 256)
	if prefilled != 300 {
		t.Errorf("%d inputs were prefilled, want the 300 different ones", prefilled)
	}
	r.expectEmbeddings(r.embed(inputs[:5], `,"dimensions":64`), inputs[:5], 64)
	c := r.post("/v1/embeddings", []byte(`{"input":[5,6,7],"model":"embed"}`))
	r.expectFinal(c, "streamed")
	if n := gjson.GetBytes(c.dechunk(t), "data.#").Int(); n != 1 {
		t.Errorf("a list of tokens gave %d vectors, want 1", n)
	}
	plain := embeddingsBody(inputs, "")
	c = r.post("/v1/embeddings", gzipped(t, plain), "Content-Encoding", "gzip")
	r.expectEmbeddings(c, inputs, 256)
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	c = r.post("/v1/embeddings", encoder.EncodeAll(plain, nil), "Content-Encoding", "zstd")
	r.expectEmbeddings(c, inputs, 256)
}

// One endpoint crashes while it has parts, another sends invalid vectors, and a third does not answer its first parts.
// The dispatcher retries single parts, avoids these endpoints, and completes the call.
func TestBatchCompletesDespiteBadEndpoints(t *testing.T) {
	r := newBatchHarness(t, withBatches(&pb.Batches{PartInputs: 4}),
		"prefill west", "prefill west", "prefill east", "prefill east", "decode west")
	invalid := []string{
		`{"data":[]}`,
		`{"data":[{"index":0,"embedding":"AAAAAA=="}]}`,
		`{"data":[{"index":0,"embedding":[NaN]}]}`,
		`{"data":{}}`,
		"no",
		`{"data":[{"index":7,"embedding":""}]}`,
		`{"data":[{"index":0,"embedding":"AADAfw=="}]}`,
	}
	invalidAnswers, silent := 0, 0
	r.endpoints[1].serve = func(c *fakeConn) {
		invalidAnswers++
		c.answer(200, invalid[invalidAnswers%len(invalid)])
	}
	r.endpoints[2].serve = func(c *fakeConn) {
		if silent++; silent > 3 {
			answerEmbeddings(c)
		}
	}
	inputs := inputTexts(400, 0)
	c := r.embed(inputs, "")
	r.network.Run(60 * eventloop.Millisecond)
	r.remote.Do(r.endpoints[0].crash)
	r.expectEmbeddings(c, inputs, 256)
	if invalidAnswers == 0 || invalidAnswers > 60 {
		t.Errorf("the endpoint that sends invalid vectors got %d parts, want 1 to 60", invalidAnswers)
	}
}

// If one input always fails, the call fails with an error that names this input. The call fails at once if an endpoint
// reports the input as invalid.
func TestFailingInputIsNamed(t *testing.T) {
	for name, serve := range map[string]func(*fakeConn){
		"fails":      func(c *fakeConn) { c.answer(500, `{"error":{"message":"x"}}`) },
		"is invalid": answerError(422, "invalid_input"),
	} {
		r := newBatchHarness(t, nil, "prefill west", "prefill west", "prefill east", "decode west")
		r.serveAll(func(c *fakeConn) {
			if bytes.Contains(c.body, []byte("poison")) {
				serve(c)
			} else {
				answerEmbeddings(c)
			}
		})
		inputs := inputTexts(64, 0)
		inputs[37] = "poison"
		c := r.embed(inputs, "")
		r.expectFinal(c, "422")
		if param := gjson.GetBytes(c.dechunk(t), "error.param").Str; param != "input[37]" {
			t.Errorf("%s: the error names %q: %s", name, param, c.raw)
		}
	}
}

// Nothing is left of a call whose client disconnects. A call with parts missing at its deadline gets one final answer
// in time.
func TestBatchEndingEarlyLeavesNothing(t *testing.T) {
	r := newBatchHarness(t, nil, "prefill west", "prefill west", "decode west")
	parts := 0
	r.serveAll(func(c *fakeConn) {
		if parts++; parts < 10 {
			answerEmbeddings(c)
		}
	})
	c := r.embed(inputTexts(2000, 0), "")
	r.runUntil(5*eventloop.Second, func() bool { return parts > 10 })
	r.remote.Do(c.conn.Abort)
	r.network.Run(eventloop.Second)
	r.expectIdle()
	batches := &r.dispatcher.batches
	calls, tenants, inFlight := batches.openCalls, len(batches.tenants), batches.limiter.InFlight()
	if calls != 0 || tenants != 0 || inFlight != 0 {
		t.Errorf("%d calls, %d tenants and %d parts in flight are left", calls, tenants, inFlight)
	}
	began := r.remote.Now()
	c = r.embed(inputTexts(100, 0), "", "x-time-limit-ms", "700")
	r.runUntil(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if took := r.remote.Now() - began; took > 700*eventloop.Millisecond || took < 600*eventloop.Millisecond {
		t.Errorf("the answer came after %d ms", took/eventloop.Millisecond)
	}
	r.expectFinal(c, "terminated")
}

// A thousand small calls that arrive during a huge call complete before the huge call.
func TestHugeBatchDoesNotDelaySmallOnes(t *testing.T) {
	r := newBatchHarness(t, nil, "prefill west", "prefill west", "prefill east", "decode west")
	r.serveAll(answerEmbeddingsAfter(4 * eventloop.Millisecond))
	huge := r.embed(inputTexts(2048, 150), "")
	r.network.Run(100 * eventloop.Millisecond)
	var small []*clientCall
	began, last := r.remote.Now(), eventloop.Micros(0)
	for i := range 1000 {
		small = append(small, r.embed([]string{fmt.Sprint("small ", i)}, ""))
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
		t.Error("the huge call completed before the small ones")
	}
	t.Logf("a thousand small calls took %d ms beside the huge one", (last-began)/eventloop.Millisecond)
	r.runUntil(60*eventloop.Second, func() bool { return len(huge.finals) > 0 })
	for _, c := range append(small, huge) {
		if len(c.finals) != 1 || c.finals[0] != "streamed" {
			t.Fatalf("finals %v: %.200q", c.finals, c.raw)
		}
	}
	r.network.Run(eventloop.Second)
	r.expectIdle()
}

// The inputs of a body that is far larger than its buffer are sent while the body arrives, and the buffered bytes stay
// within the limit.
func TestBatchBodyLargerThanItsWindow(t *testing.T) {
	r := newBatchHarness(t, withBatches(&pb.Batches{Window: 256 << 10, PartTokens: 4096}),
		"prefill west", "prefill west", "prefill east", "decode west")
	inputs := inputTexts(1500, 800)
	most := 0
	r.serveAll(func(c *fakeConn) {
		for _, tenant := range r.dispatcher.batches.tenants {
			for _, call := range tenant.calls {
				most = max(most, call.request.BufferedBytes)
			}
		}
		answerEmbeddings(c)
	})
	c := r.embed(inputs, "")
	r.expectEmbeddings(c, inputs, 256)
	if most > 512<<10 || most == 0 {
		t.Errorf("up to %d bytes of inputs were buffered, of a request with %d bytes", most, len(c.request))
	}
	list, err := json.Marshal(inputs)
	if err != nil {
		t.Fatal(err)
	}
	c = r.post("/v1/embeddings", []byte(`{"input":`+string(list)+`,"model":"embed"}`))
	r.expectFinal(c, "413") // no part can be sent before the model is known, and the body is larger than the buffer
	c = r.embed(append(inputs, "x"), `,"dimensions":900`)
	r.expectFinal(c, "400")
}

// If the scheduler is not allowed to cancel attempts, a prefill completes after its client has disconnected. The test
// reaches the cells of the lifecycle's table that chat requests never reach.
func TestPrefillOnlyCompletesAfterClientDisconnect(t *testing.T) {
	noCancel := func(dep deployment.Deployment) { dep.Dispatching.MayCancel = false }
	r := newBatchHarness(t, noCancel, "prefill west", "decode west")
	r.serveAll(answerEmbeddingsAfter(100 * eventloop.Millisecond))
	r.expectFinal(r.embed(inputTexts(3, 0), ""), "streamed")
	c := r.embed(inputTexts(3, 0), "")
	r.network.Run(50 * eventloop.Millisecond)
	r.remote.Do(c.conn.Abort)
	r.network.Run(eventloop.Second)
	r.expectIdle()
	for _, state := range []lifecycle.State{lifecycle.Prefilling, lifecycle.Closing} {
		if r.dispatcher.Coverage[state][lifecycle.PrefillOnlyCompleted] == 0 {
			t.Errorf("no prefill-only request completed in the state %v", state)
		}
	}
}
