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

// filler is the text of the extra events in long streams; it is no part of the expected answer.
const filler = "\u2063"

// randomFaultTest sends requests to endpoints that fail at random, from clients that disconnect and lag at random.
type randomFaultTest struct {
	*harness
	random   *rand.Rand
	outcomes map[string]*requestOutcome // by the client's request id
	hung     *fakeEndpoint              // accepts requests and answers none, for some seconds; nil if no endpoint hangs
}

// requestOutcome is the outcome of one client's request.
type requestOutcome struct {
	product      string
	call         *clientCall
	disconnected bool
	ran          int // decode attempts, without those that the endpoint reported as not run
}

// newRandomFaultTest starts a dispatcher and its endpoints.
func newRandomFaultTest(t *testing.T, seed int64, change func(dep deployment.Deployment)) *randomFaultTest {
	t.Helper()
	s := &randomFaultTest{random: rand.New(rand.NewSource(seed)), outcomes: map[string]*requestOutcome{}}
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
	s.network.MaxSegment, s.network.ReceiveWindow = 900, 4<<10
	for _, endpoint := range s.endpoints {
		endpoint.serve = s.serve
	}
	return s
}

// upTo draws a duration below a bound.
func (s *randomFaultTest) upTo(bound eventloop.Micros) eventloop.Micros {
	return eventloop.Micros(s.random.Intn(int(bound)))
}

// upToMillis draws a duration of whole milliseconds below a bound.
func (s *randomFaultTest) upToMillis(bound int) eventloop.Micros {
	return eventloop.Micros(s.random.Intn(bound)) * eventloop.Millisecond
}

func (s *randomFaultTest) serve(c *fakeConn) {
	isPrefill := strings.Contains(string(c.body), "do_remote_decode")
	outcome := s.outcomes[c.head.Get("x-client-request-id")]
	switch {
	case c.endpoint == s.hung:
		if !isPrefill {
			outcome.ran++
		}
	case isPrefill:
		s.servePrefill(c)
	default:
		s.serveDecode(c, outcome)
	}
}

func (s *randomFaultTest) servePrefill(c *fakeConn) {
	if s.random.Intn(6) > 0 {
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
	failures[s.random.Intn(len(failures))](c)
}

func (s *randomFaultTest) serveDecode(c *fakeConn, outcome *requestOutcome) {
	switch s.random.Intn(10) {
	case 0, 1:
		failure := decodeFailures[s.random.Intn(len(decodeFailures))]
		if !failure.provesNotRun() {
			outcome.ran++
		}
		failure.serve(c)
	case 2: // answers late, perhaps after the deadline
		outcome.ran++
		c.after(s.upToMillis(900), func() { answerDecode(c) })
	case 3: // streams long enough for the client to disconnect, lag, or reach its deadline
		outcome.ran++
		s.streamLong(c)
	default:
		outcome.ran++
		answerDecode(c)
	}
}

func (s *randomFaultTest) streamLong(c *fakeConn) {
	const interval = 20 * eventloop.Millisecond
	streamFirstEvent(c)
	events := s.random.Intn(40)
	for i := range events {
		c.after(eventloop.Micros(i)*interval, func() { c.writeChunk(chunkEvent(strings.Repeat(filler, 400), "")) })
	}
	c.after(eventloop.Micros(events)*interval, c.finishStream)
}

// sendRequest sends one request; its client may disconnect or lag.
func (s *randomFaultTest) sendRequest(id string) {
	products := []string{"explain", "build-note", "review-post"}
	outcome := &requestOutcome{product: products[s.random.Intn(len(products))]}
	s.outcomes[id] = outcome
	stream := s.random.Intn(5) > 0
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"system","content":"text %d"},`+
		`{"role":"user","content":"why?"}]}`, outcome.product, stream, s.random.Intn(4))
	fields := []string{"x-client-request-id", id, "Connection", "close"}
	if s.random.Intn(4) == 0 {
		fields = append(fields, "Idempotency-Key", id)
	}
	if s.random.Intn(10) == 0 {
		fields = append(fields, "x-heartbeat-ms", "250")
	}
	outcome.call = s.send(body, fields...)
	switch s.random.Intn(12) {
	case 0:
		s.remote.AfterFunc(s.upTo(500*eventloop.Millisecond), func() {
			if len(outcome.call.finals) == 0 {
				outcome.disconnected = true
				outcome.call.conn.Abort()
			}
		})
	case 1:
		const earliestResume = 60 * eventloop.Millisecond
		s.remote.AfterFunc(s.upTo(earliestResume), func() { outcome.call.conn.SetPaused(true) })
		s.remote.AfterFunc(earliestResume+s.upTo(400*eventloop.Millisecond), func() { outcome.call.conn.SetPaused(false) })
	}
}

// injectFault sometimes stops a request as the removal of its tenant does, hangs an endpoint, or drains an endpoint.
func (s *randomFaultTest) injectFault() {
	if s.random.Intn(40) == 0 {
		id := scheduler.RequestID(int(s.dispatcher.lastRequestID) - s.random.Intn(12))
		if r := s.dispatcher.requests[id]; r != nil {
			details := eventDetails{reason: "The tenant was removed."}
			s.loop.Do(func() { s.dispatcher.fireWith(r, lifecycle.TenantStopped, details) })
		}
	}
	if s.random.Intn(700) == 0 {
		s.hung = s.endpoints[s.random.Intn(len(s.endpoints))]
		s.remote.AfterFunc(3*eventloop.Second, func() { s.hung = nil })
	}
	if s.random.Intn(500) == 0 {
		endpoint := s.endpoints[s.random.Intn(len(s.endpoints))]
		s.updateEndpoints(endpoint.entry("draining"))
		s.remote.AfterFunc(300*eventloop.Millisecond, func() { s.updateEndpoints(endpoint.entry("ready")) })
	}
}

// run sends a number of requests, and checks at the end what the clients have received.
func (s *randomFaultTest) run(count int) {
	s.t.Helper()
	for i := range count {
		s.sendRequest(fmt.Sprintf("s%d", i))
		s.injectFault()
		s.network.Run(s.upTo(9 * eventloop.Millisecond))
	}
	s.network.Run(30 * eventloop.Second)
	s.expectIdle()
	const reported = 10
	wrong := 0
	for id, outcome := range s.outcomes {
		if outcome.valid() {
			continue
		}
		if wrong++; wrong < reported {
			c := outcome.call
			s.t.Errorf("%s (%s): finals %v, %d events after them, disconnected %v, ran %d, closed %v, %d bytes, last %.120q",
				id, outcome.product, c.finals, c.eventsAfterFinal, outcome.disconnected, outcome.ran, c.closed,
				len(c.raw), c.raw[max(0, len(c.raw)-120):])
		}
	}
	if wrong > 0 {
		s.t.Errorf("%d of %d requests ended wrongly", wrong, count)
	}
	for _, endpoint := range s.endpoints {
		if s.dispatcher.engine.InFlight(endpoint.entry("ready").ID) != 0 {
			s.t.Errorf("attempts are still in flight at endpoint %d", endpoint.id)
		}
	}
}

// valid reports whether the request got one final answer, with the complete text if it was streamed, and ran once at
// most if it has side effects. A request whose client disconnected may have no final answer.
func (o *requestOutcome) valid() bool {
	c := o.call
	answered := len(c.finals) == 1
	if c.eventsAfterFinal > 0 || !answered && !(o.disconnected && len(c.finals) == 0) {
		return false
	}
	if answered && c.finals[0] == "streamed" && c.head.Get("Content-Type") != "application/json" &&
		strings.ReplaceAll(c.text, filler, "") != completeText {
		return false
	}
	return o.product != "review-post" || o.ran <= 1
}

// Twenty thousand requests are sent while endpoints and clients fail at random. Each request gets one final answer,
// with the complete text if it is streamed; no side-effecting request runs twice; nothing is left; and every cell of
// the lifecycle's table that chat requests can reach is reached.
func TestTwentyThousandRequestsThroughFailures(t *testing.T) {
	var coverage lifecycle.Coverage
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
		s := newRandomFaultTest(t, part.seed, part.change)
		s.run(part.requests)
		counters := s.dispatcher.Counters
		t.Logf("part %d: accepted %d, completed %d, rejected %d, failed %d, disconnected %d", i+1,
			counters.Accepted, counters.Completed, counters.Rejected, counters.Failed, counters.Disconnected)
		for state := range counters.Coverage {
			for event, n := range counters.Coverage[state] {
				coverage[state][event] += n
			}
		}
	}
	for state := range lifecycle.Transitions {
		for event, transition := range lifecycle.Transitions[state] {
			if !transition.Defined {
				continue
			}
			n := coverage[state][event]
			t.Logf("%-10v %-16v %8d", lifecycle.State(state), lifecycle.Event(event), n)
			// TestPrefillOnlyCompletesAfterClientDisconnect reaches the cells that chat requests never do.
			if n == 0 && lifecycle.Event(event) != lifecycle.PrefillOnlyCompleted {
				t.Errorf("the event %v in the state %v never occurred", lifecycle.Event(event), lifecycle.State(state))
			}
		}
	}
}
