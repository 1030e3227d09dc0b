package dispatch

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/lifecycle"
	"plumspindle/scheduler"
)

// filler is text that a storm's long streams carry, and that is not counted as part of the answer.
const filler = "\u2063"

// storm sends requests through endpoints that fail at random, from clients that disconnect and lag at random.
type storm struct {
	*harness
	chance *rand.Rand
	fates  map[string]*requestFate // by the client's request id
	hung   *fakeEndpoint           // takes everything and answers nothing, for some seconds
}

// requestFate is what the storm's endpoints did for one client's request.
type requestFate struct {
	product      string
	call         *clientCall
	disconnected bool
	ran          int // decodes, without those that the endpoint said not to have run
}

// newStorm starts a dispatcher and its endpoints.
func newStorm(t *testing.T, seed int64, change func(dep deployment.Deployment)) *storm {
	t.Helper()
	s := &storm{chance: rand.New(rand.NewSource(seed)), fates: map[string]*requestFate{}}
	s.harness = newHarness(t, func(dep deployment.Deployment) {
		dep.Dispatching.SilenceMs = 400
		dep.Doors.UnsentMost, dep.Doors.StallMs = 2000, 1500
		for _, p := range dep.Products {
			p.SloMs, p.TimeLimitMs = 300, 700
		}
		change(dep)
	},
		"prefill west", "prefill west", "prefill east",
		"decode west", "decode west", "decode east", "decode east",
		"mixed west")
	s.world.MaxSegment, s.world.ReceiveWindow = 900, 4<<10
	for _, endpoint := range s.endpoints {
		endpoint.serve = s.serve
	}
	return s
}

// upTo draws a time below a bound.
func (s *storm) upTo(bound eventloop.Micros) eventloop.Micros {
	return eventloop.Micros(s.chance.Intn(int(bound)))
}

// upToMillis draws a time of whole milliseconds below a bound.
func (s *storm) upToMillis(bound int) eventloop.Micros {
	return eventloop.Micros(s.chance.Intn(bound)) * eventloop.Millisecond
}

func (s *storm) serve(c *fakeConn) {
	isPrefill := strings.Contains(string(c.body), "do_remote_decode")
	fate := s.fates[c.head.Get("x-client-request-id")]
	switch {
	case c.endpoint == s.hung:
		if !isPrefill {
			fate.ran++
		}
	case isPrefill:
		s.servePrefill(c)
	default:
		s.serveDecode(c, fate)
	}
}

func (s *storm) servePrefill(c *fakeConn) {
	if s.chance.Intn(6) > 0 {
		c.after(s.upTo(30*eventloop.Millisecond), func() { answerPrefill(c) })
		return
	}
	failures := []func(*fakeConn){
		closeConn,
		abortConn,
		neverAnswer,
		func(c *fakeConn) { c.answer(500, `{}`) },
		answerError(429, "full"),
		func(c *fakeConn) { c.after(s.upToMillis(900), func() { answerPrefill(c) }) },
		func(c *fakeConn) { c.after(s.upToMillis(900), func() { answerError(429, "full")(c) }) },
	}
	failures[s.chance.Intn(len(failures))](c)
}

func (s *storm) serveDecode(c *fakeConn, fate *requestFate) {
	switch s.chance.Intn(10) {
	case 0, 1:
		failure := decodeFailures[s.chance.Intn(len(decodeFailures))]
		if !failure.provesNotRun() {
			fate.ran++
		}
		failure.serve(c)
	case 2: // late, perhaps too late
		fate.ran++
		c.after(s.upToMillis(900), func() { answerDecode(c) })
	case 3: // long, so that a client can disconnect, lag, or reach its deadline in it
		fate.ran++
		s.streamLong(c)
	default:
		fate.ran++
		answerDecode(c)
	}
}

func (s *storm) streamLong(c *fakeConn) {
	const interval = 20 * eventloop.Millisecond
	streamFirstEvent(c)
	events := s.chance.Intn(40)
	for i := range events {
		c.after(eventloop.Micros(i)*interval, func() { c.writeChunk(chunkEvent(strings.Repeat(filler, 400), "")) })
	}
	c.after(eventloop.Micros(events)*interval, c.finishStream)
}

// sendRequest sends one request, whose client may disconnect or lag.
func (s *storm) sendRequest(id string) {
	products := []string{"explain", "build-note", "review-post"}
	fate := &requestFate{product: products[s.chance.Intn(len(products))]}
	s.fates[id] = fate
	stream := s.chance.Intn(5) > 0
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"system","content":"text %d"},`+
		`{"role":"user","content":"why?"}]}`, fate.product, stream, s.chance.Intn(4))
	fields := []string{"x-client-request-id", id, "Connection", "close"}
	if s.chance.Intn(4) == 0 {
		fields = append(fields, "Idempotency-Key", id)
	}
	if s.chance.Intn(10) == 0 {
		fields = append(fields, "x-heartbeat-ms", "250")
	}
	fate.call = s.send(body, fields...)
	switch s.chance.Intn(12) {
	case 0:
		s.remote.AfterFunc(s.upTo(500*eventloop.Millisecond), func() {
			if len(fate.call.finals) == 0 {
				fate.disconnected = true
				fate.call.conn.Abort()
			}
		})
	case 1:
		const earliest = 60 * eventloop.Millisecond
		s.remote.AfterFunc(s.upTo(earliest), func() { fate.call.conn.SetPaused(true) })
		s.remote.AfterFunc(earliest+s.upTo(400*eventloop.Millisecond), func() { fate.call.conn.SetPaused(false) })
	}
}

// disturb stops a request as the removal of its tenant does, hangs an endpoint or drains one, each now and then.
func (s *storm) disturb() {
	if s.chance.Intn(40) == 0 {
		id := scheduler.RequestID(int(s.dispatcher.lastRequestID) - s.chance.Intn(12))
		if r := s.dispatcher.requests[id]; r != nil {
			details := eventDetails{reason: "The tenant was removed."}
			s.loop.Do(func() { s.dispatcher.fireWith(r, lifecycle.TenantStopped, details) })
		}
	}
	if s.chance.Intn(700) == 0 {
		s.hung = s.endpoints[s.chance.Intn(len(s.endpoints))]
		s.remote.AfterFunc(3*eventloop.Second, func() { s.hung = nil })
	}
	if s.chance.Intn(500) == 0 {
		endpoint := s.endpoints[s.chance.Intn(len(s.endpoints))]
		s.updateEndpoints(endpoint.entry("draining"))
		s.remote.AfterFunc(300*eventloop.Millisecond, func() { s.updateEndpoints(endpoint.entry("ready")) })
	}
}

// run sends n requests, and checks at the end what the clients have got.
func (s *storm) run(count int) {
	s.t.Helper()
	for i := range count {
		s.sendRequest(fmt.Sprintf("s%d", i))
		s.disturb()
		s.world.Run(s.upTo(9 * eventloop.Millisecond))
	}
	s.world.Run(30 * eventloop.Second)
	s.expectIdle()
	const reported = 10
	wrong := 0
	for id, fate := range s.fates {
		if fate.valid() {
			continue
		}
		if wrong++; wrong < reported {
			c := fate.call
			s.t.Errorf("%s (%s): finals %v, after %d, disconnected %v, ran %d, closed %v, %d bytes, last %.120q",
				id, fate.product, c.finals, c.eventsAfterFinal, fate.disconnected, fate.ran, c.closed,
				len(c.raw), c.raw[max(0, len(c.raw)-120):])
		}
	}
	if wrong > 0 {
		s.t.Errorf("%d of %d wrong", wrong, count)
	}
	for _, endpoint := range s.endpoints {
		if s.dispatcher.engine.InFlight(endpoint.entry("ready").ID) != 0 {
			s.t.Errorf("attempts left in flight at endpoint %d", endpoint.id)
		}
	}
}

// valid reports whether a request had one final answer, byte for byte where it was streamed, and ran once at most where
// it has side effects.
func (f *requestFate) valid() bool {
	c := f.call
	answered := len(c.finals) == 1
	if c.eventsAfterFinal > 0 || !answered && !(f.disconnected && len(c.finals) == 0) {
		return false
	}
	if answered && c.finals[0] == "streamed" && c.head.Get("Content-Type") != "application/json" &&
		strings.ReplaceAll(c.text, filler, "") != completeText {
		return false
	}
	return f.product != "review-post" || f.ran <= 1
}

// Twenty thousand requests through failures: one final answer each, byte for byte where it is streamed, no
// side-effecting one run twice, nothing left, and every cell of the lifecycle's table reached.
func TestTwentyThousandRequestsThroughFailures(t *testing.T) {
	var all lifecycle.Coverage
	for i, part := range []struct {
		requests int
		seed     int64
		change   func(dep deployment.Deployment)
	}{
		{6000, 1, func(dep deployment.Deployment) { dep.Tenants[0].QuotaPerS = 60 }},
		{4000, 3, func(dep deployment.Deployment) {
			for _, p := range dep.Products {
				p.SloMs, p.TimeLimitMs = 1000, 5000
			}
		}},
		{10000, 2, func(dep deployment.Deployment) { dep.Dispatching.MayCancel = false }},
	} {
		s := newStorm(t, part.seed, part.change)
		s.run(part.requests)
		counters := s.dispatcher.Counters
		t.Logf("storm %d: accepted %d, completed %d, rejected %d, failed %d, disconnected %d", i+1,
			counters.Accepted, counters.Completed, counters.Rejected, counters.Failed, counters.Disconnected)
		for state := range counters.Coverage {
			for event, n := range counters.Coverage[state] {
				all[state][event] += n
			}
		}
	}
	for state := range lifecycle.Transitions {
		for event, transition := range lifecycle.Transitions[state] {
			if !transition.Defined {
				continue
			}
			n := all[state][event]
			t.Logf("%-10v %-16v %8d", lifecycle.State(state), lifecycle.Event(event), n)
			// TestPrefillOnlyCompletesAfterClientDisconnect reaches the cells that chat requests never do.
			if n == 0 && lifecycle.Event(event) != lifecycle.PrefillOnlyCompleted {
				t.Errorf("%v in %v was never reached", lifecycle.Event(event), lifecycle.State(state))
			}
		}
	}
}
