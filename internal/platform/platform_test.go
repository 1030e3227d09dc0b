package platform

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/scheduler"
)

var usualEndpoints = []string{"prefill", "prefill", "decode", "decode"}

func (r *harness) prefillEndpoints() []*endpoint { return r.endpoints[:2] }
func (r *harness) decodeEndpoints() []*endpoint  { return r.endpoints[2:] }

// serveAll sets what hosts do.
func serveAll(hosts []*endpoint, serve func(*endpointConn)) {
	for _, h := range hosts {
		h.serve = serve
	}
}

func TestRequestIsServedUnchanged(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	c := r.sendRequest("explain", "Req-Id", "00ABcdef.x-1")
	if got := r.finalStatus(c); got != 200 {
		t.Fatalf("answered %d", got)
	}
	if want := []string{wordEvent, stopEvent, usageEvent, "[DONE]"}; !slices.Equal(c.events, want) {
		t.Errorf("events %q, want them unchanged", c.events)
	}
	for _, h := range r.endpoints {
		for i, head := range h.received {
			if head.Get("Req-Id") != "00ABcdef.x-1" || head.Target != "/v1/chat/completions?a=b" || h.bodies[i] != `{"model":"chat","stream":true,"messages":[]}` ||
				!strings.HasSuffix(head.Get("Req-Deadline"), "u") {
				t.Errorf("%s was sent %+v %q", h.id, head, h.bodies[i])
			}
		}
	}
	if r.attempts() != 2 || r.releases() != 0 {
		t.Errorf("%d legs, %d releases", r.attempts(), r.releases())
	}
	if c.closed {
		t.Error("the client's connection was not kept")
	}
	r.requireIdle()
}

// TestAttemptOutcomes plays each row of the platform's outcomes through the whole path: an idempotent generation is tried again, a
// side-effecting one only where its write is known not to have run.
func TestAttemptOutcomes(t *testing.T) {
	begun := func(rest string) func(*endpointConn) {
		return func(l *endpointConn) { l.stream(wordEvent); l.conn.Write([]byte(rest)) }
	}
	raw := func(text string) func(*endpointConn) { return func(l *endpointConn) { l.conn.Write([]byte(text)) } }
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	declined := func(status int) func(*endpointConn) {
		return func(l *endpointConn) { l.answer(status, "", "Srv-Declined", "1") }
	}
	whole := string(http1.AppendLastChunk(http1.AppendChunk(nil, sse.Append(nil, []byte(wordEvent)))))
	for name, c := range map[string]struct {
		first         func(*endpointConn) // what the first write meets; later ones are good
		explain, post int                 // final answers; 0: the connection ends without the last chunk
	}{
		"error":                       {func(l *endpointConn) { l.answer(500, "") }, 200, 500},
		"declined":                    {declined(503), 200, 200},
		"declined as late":            {declined(504), 200, 200},
		"state gone":                  {declined(410), 200, 200},
		"503 that does not say so":    {func(l *endpointConn) { l.answer(503, "") }, 200, 500},
		"410 that does not say so":    {func(l *endpointConn) { l.answer(410, "") }, 200, 500},
		"reset":                       {func(l *endpointConn) { l.conn.Abort() }, 200, 500},
		"closed":                      {func(l *endpointConn) { l.conn.Close() }, 200, 500},
		"noise":                       {raw("\x01\x02 noise"), 200, 500},
		"unreadable head":             {raw("HTTP/1.1 200 OK\r\nno field\r\n\r\n"), 200, 500},
		"endless head":                {raw("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 64<<10)), 200, 500},
		"unreadable chunk at once":    {raw(head + "zz\r\n"), 200, 500},
		"huge chunk at once":          {raw(head + "C0000000\r\n" + strings.Repeat("x", 300<<10)), 200, 500},
		"stream without an event":     {raw(head + "0\r\n\r\n"), 200, 500},
		"unreadable event":            {raw(head + "8\r\ndata: {\n\r\n2\r\n\n\n\r\n"), 200, 500},
		"unreadable chunk later":      {begun("zz\r\n"), 0, 0},
		"chunk that does not fit":     {begun("3\r\nabcdef\r\n"), 0, 0},
		"huge chunk later":            {begun("C0000000\r\n" + strings.Repeat("x", 300<<10)), 0, 0},
		"broken later":                {func(l *endpointConn) { l.stream(wordEvent, stopEvent, usageEvent, "[DONE]"); l.conn.Close() }, 0, 0},
		"silent later":                {func(l *endpointConn) { l.stream(wordEvent) }, 0, 0},
		"interim answers ahead":       {raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + head + whole), 200, 200},
		"unreadable load report":      {raw(strings.Replace(head, "\r\n\r\n", "\r\nSrv-Load: {{\xff\r\n\r\n", 1) + whole), 200, 200},
		"a second answer right after": {raw(head + whole + head + whole), 200, 200},
	} {
		for i, product := range []string{"explain", "post"} {
			t.Run(name+", "+product, func(t *testing.T) {
				r := newHarness(t, 256, usualEndpoints...)
				met := 0
				serveAll(r.decodeEndpoints(), func(l *endpointConn) {
					if met++; met == 1 {
						c.first(l)
						return
					}
					serveDecode(l)
				})
				client := r.sendRequest(product)
				began := r.world.Now()
				if got, want := r.finalStatus(client), []int{c.explain, c.post}[i]; got != want {
					t.Errorf("answered %d, want %d", got, want)
				}
				if r.world.Now()-began > 5*eventloop.Second {
					t.Errorf("the client waited %d ms", (r.world.Now()-began)/eventloop.Millisecond)
				}
				if product == "post" && c.post != 200 && met > 1 {
					t.Error("it was written twice")
				}
				r.requireIdle()
				if product != "explain" {
					return
				}
				// What is behind an answer must not be taken for the next one. A side-effecting one would show it, as it is not tried again.
				r.world.Run(3 * eventloop.Second)
				for range 6 {
					if got := r.finalStatus(r.sendRequest("post")); got != 200 {
						t.Errorf("the next one was answered %d", got)
					}
				}
			})
		}
	}
}

func TestPrefillIsRetriedElsewhere(t *testing.T) {
	for name, first := range map[string]func(*endpointConn){
		"error": func(l *endpointConn) { l.answer(500, "") }, "reset": func(l *endpointConn) { l.conn.Abort() }, "noise": func(l *endpointConn) { l.conn.Write([]byte("noise")) },
		"declined": func(l *endpointConn) { l.answer(503, "", "Srv-Declined", "1") }, "silent": func(*endpointConn) {},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 256, usualEndpoints...)
			met := 0
			serveAll(r.prefillEndpoints(), func(l *endpointConn) {
				if met++; met == 1 {
					first(l)
					return
				}
				servePrefill(l)
			})
			if got := r.finalStatus(r.sendRequest("post")); got != 200 { // a read has no effect, however it ends
				t.Errorf("answered %d", got)
			}
			r.requireIdle()
		})
	}
}

// TestDeadline: whatever can't be had in time is answered before the client's time is up, and a side-effecting generation whose
// write is out is not said to be harmless.
func TestDeadline(t *testing.T) {
	for product, want := range map[string]int{"explain": 503, "post": 500} {
		r := newHarness(t, 256, usualEndpoints...)
		serveAll(r.decodeEndpoints(), func(*endpointConn) {})
		began := r.world.Now()
		c := r.sendRequest(product, "Req-Deadline", "1500000u")
		if got := r.finalStatus(c); got != want {
			t.Errorf("%s: answered %d, want %d", product, got, want)
		}
		if late := c.answeredAt - began - 1500*eventloop.Millisecond; late > 0 {
			t.Errorf("%s: answered %d µs late", product, late)
		}
		if want == 503 && c.head.Get("Retry-After") == "" {
			t.Error("no time to come back is named")
		}
		r.requireIdle()
		if r.releases() == 0 && product == "explain" {
			t.Error("its state was not let go of")
		}
	}
}

// TestStateIsReleasedAfterDisconnect: a state is let go of in time after its client left, also where its reader can't be reached.
func TestStateIsReleasedAfterDisconnect(t *testing.T) {
	for _, away := range []bool{false, true} {
		r := newHarness(t, 256, usualEndpoints...)
		serveAll(r.decodeEndpoints(), func(*endpointConn) {})
		c := r.sendRequest("explain")
		r.waitFor(eventloop.Second, "the write", func() bool { return r.decodeEndpoints()[0].count("POST")+r.decodeEndpoints()[1].count("POST") > 0 })
		if away {
			for _, h := range r.prefillEndpoints() {
				r.world.Block(r.loop, h.loop, 5*eventloop.Second)
			}
		}
		r.remote.Do(c.conn.Abort)
		r.waitFor(500*eventloop.Millisecond, "a release", func() bool { return r.releases() > 0 })
		r.requireIdle()
	}
}

// TestStateOfACancelledPrefill: as it may have ended well just then.
func TestStateOfACancelledPrefill(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	serveAll(r.prefillEndpoints(), func(*endpointConn) {})
	c := r.sendRequest("explain")
	r.waitFor(eventloop.Second, "the read", func() bool { return r.attempts() > 0 })
	r.remote.Do(c.conn.Abort)
	r.waitFor(500*eventloop.Millisecond, "a release", func() bool { return r.releases() > 0 })
	r.requireIdle()
}

// TestReleaseBeforeNextPrefill: a release takes all that is held for a request, so a read behind it has to wait for its answer.
func TestReleaseBeforeNextPrefill(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	var order []string
	serveAll(r.prefillEndpoints(), func(l *endpointConn) { order = append(order, "read"); servePrefill(l) })
	for _, h := range r.endpoints {
		h.releaseDelay = 30 * eventloop.Millisecond
	}
	met := 0
	serveAll(r.decodeEndpoints(), func(l *endpointConn) {
		if met++; met == 1 {
			l.answer(410, "", "Srv-Declined", "1")
			return
		}
		serveDecode(l)
	})
	r.world.AfterStep = func() { // it is over once the host has answered it
		if r.releases() > 0 && r.dispatcher.upstream.Releases > 0 && !slices.Contains(order, "release") && !slices.ContainsFunc(r.dispatcher.requestsByID(), func(g *request) bool { return g.releasing }) {
			order = append(order, "release")
		}
	}
	if got := r.finalStatus(r.sendRequest("explain")); got != 200 || !slices.Equal(order, []string{"read", "release", "read"}) {
		t.Errorf("answered %d in the order %v", got, order)
	}
	r.requireIdle()
}

// TestDrainDuringRelease: a read that waits for a release does not go to a host that has begun to drain meanwhile.
func TestDrainDuringRelease(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	met := 0
	serveAll(r.decodeEndpoints(), func(l *endpointConn) {
		if met++; met == 1 {
			l.answer(410, "", "Srv-Declined", "1")
			return
		}
		serveDecode(l)
	})
	for _, h := range r.endpoints {
		h.releaseDelay = 50 * eventloop.Millisecond
	}
	c := r.sendRequest("post")
	waits := func() *request {
		for _, g := range r.dispatcher.requestsByID() {
			if g.deferred != nil {
				return g
			}
		}
		return nil
	}
	r.waitFor(eventloop.Second, "a read that waits", func() bool { return waits() != nil })
	for _, h := range r.prefillEndpoints() {
		if r.dispatcher.discovery.EndpointID(h.id) == waits().endpoint {
			before := h.count("POST")
			r.agent.update(false, h.entry("DRAINING"))
			if got := r.finalStatus(c); got != 200 || h.count("POST") != before {
				t.Errorf("answered %d; the draining reader was sent %d more", got, h.count("POST")-before)
			}
			r.requireIdle()
			return
		}
	}
	t.Error("it waits for no reader")
}

// TestBadRequests: each gets an error or a close within 3 s and never reaches a model host.
func TestBadRequests(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	good := r.requestText("explain")
	twice := func(field string) string { return strings.Replace(good, "Host: ", field+"\r\nHost: ", 1) }
	for name, c := range map[string]struct {
		sends string
		want  int // 0: a close will do
	}{
		"no id":                  {r.requestText("explain", "Req-Id", "-"), 400},
		"unreadable id":          {r.requestText("explain", "Req-Id", "a b"), 400},
		"id with a path":         {r.requestText("explain", "Req-Id", "../x"), 400},
		"id of dots":             {r.requestText("explain", "Req-Id", ".."), 400},
		"two ids":                {twice("Req-Id: 12"), 400},
		"two lengths":            {twice("Content-Length: 44"), 400},
		"length and coding":      {twice("Transfer-Encoding: chunked"), 400},
		"unknown kind":           {r.requestText("nonsense"), 400},
		"no kind":                {r.requestText("-"), 400},
		"no time limit":          {r.requestText("explain", "Req-Deadline", "-"), 400},
		"time limit in seconds":  {r.requestText("explain", "Req-Deadline", "4s"), 400},
		"time limit no number":   {r.requestText("explain", "Req-Deadline", "soon"), 400},
		"time limit without m":   {r.requestText("explain", "Req-Deadline", "4000"), 400},
		"negative time limit":    {r.requestText("explain", "Req-Deadline", "-5m"), 400},
		"extra no number":        {r.requestText("explain", "Req-Extra", "prompt_len=many"), 400},
		"extra not a number":     {r.requestText("explain", "Req-Extra", "prompt_len=NaN"), 400},
		"extra below zero":       {r.requestText("explain", "Req-Extra", "max_out=-1"), 400},
		"extra without a value":  {r.requestText("explain", "Req-Extra", "prompt_len"), 400},
		"body cut by its length": {strings.Replace(good, "Content-Length: 44", "Content-Length: 20", 1), 400},
		"body no JSON":           {r.requestText("explain", "body", "hello"), 400},
		"body no object":         {r.requestText("explain", "body", "[1]"), 400},
		"body too long":          {r.requestText("explain", "body", strings.Repeat("x", 257<<10)), 413},
		"length too long":        {strings.Replace(good, "Content-Length: 44", "Content-Length: 60000000", 1), 413},
		"negative length":        {strings.Replace(good, "Content-Length: 44", "Content-Length: -44", 1), 400},
		"length no number":       {strings.Replace(good, "Content-Length: 44", "Content-Length: 99999999999999999999999", 1), 400},
		"half a request":         {good[:len(good)-5], 408},
		"half a head":            {good[:60], 408},
		"endless head":           {"GET /up HTTP/1.1\r\nX: " + strings.Repeat("x", 40<<10), 431},
		"noise":                  {"\x00\xff\r\n\r\n", 400},
		"nothing":                {"", 0},
		"another path":           {strings.Replace(good, "/v1/chat/completions", "/v1/models", 1), 404},
		"another method":         {strings.Replace(good, "POST", "PUT", 1), 405},
		"unknown coding":         {strings.Replace(good, "Content-Length: 44", "Transfer-Encoding: zip", 1), 501},
		"endless chunks": {strings.Replace(good[:strings.Index(good, "\r\n\r\n")+4], "Content-Length: 44", "Transfer-Encoding: chunked", 1) +
			strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 20), 413},
	} {
		if !strings.Contains(good, "Content-Length: 44") {
			t.Fatal("the request's length has changed")
		}
		client := r.connect(c.sends)
		r.waitFor(3*eventloop.Second, name+": an end", func() bool { return client.closed || len(client.statuses) > 0 })
		if c.want != 0 && (len(client.statuses) != 1 || client.statuses[0] != c.want) {
			t.Errorf("%s: answered %v, want %d", name, client.statuses, c.want)
		}
	}
	if r.attempts() != 0 || r.dispatcher.Accepted != 0 {
		t.Errorf("%d were taken, %d legs were made", r.dispatcher.Accepted, r.attempts())
	}
	r.requireIdle()
}

// TestDuplicateRequestID, and one that was open a moment ago.
func TestDuplicateRequestID(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	serveAll(r.decodeEndpoints(), func(l *endpointConn) { l.stream(wordEvent) })
	c := r.sendRequest("explain", "Req-Id", "77")
	r.waitFor(eventloop.Second, "its stream", func() bool { return len(c.events) > 0 })
	if got := r.finalStatus(r.sendRequest("explain", "Req-Id", "77")); got != 409 {
		t.Errorf("the copy was answered %d", got)
	}
	r.finalStatus(c)
	if got := r.finalStatus(r.sendRequest("explain", "Req-Id", "77")); got != 409 {
		t.Errorf("the late copy was answered %d", got)
	}
	if r.attempts() != 2 {
		t.Errorf("%d legs", r.attempts())
	}
}

// TestIdleConnectionsDoNotStarveOthers: connections that say nothing, and requests sent again as soon as they are turned away, do not keep others out.
func TestIdleConnectionsDoNotStarveOthers(t *testing.T) {
	r := newHarness(t, 64, usualEndpoints...)
	r.loop.DescriptorLimit = 64
	var silent []*client
	for i := 0; i < 300; i++ {
		silent = append(silent, r.connect(""))
		if i%10 == 0 {
			if got := r.finalStatus(r.sendRequest("post")); got != 200 {
				t.Fatalf("after %d silent ones: answered %d", i, got)
			}
		}
		if r.loop.OpenConnections() > 64 {
			t.Fatalf("%d descriptors", r.loop.OpenConnections())
		}
	}
	r.world.Run(3 * eventloop.Second)
	for i, c := range silent {
		if !c.closed {
			t.Fatalf("silent connection %d is still there", i)
		}
	}
	r.requireIdle()
}

// TestDrainingEndpointGetsNothingNew: nothing new goes to a host that wants none; a stream goes on, and a whole list of one leaves no other.
func TestDrainingEndpointGetsNothingNew(t *testing.T) {
	r := newHarness(t, 256, "prefill", "decode")
	serveAll(r.endpoints[1:], func(l *endpointConn) { l.stream(wordEvent) })
	c := r.sendRequest("explain")
	r.waitFor(eventloop.Second, "its stream", func() bool { return len(c.events) > 0 })
	other := r.addEndpoint("s-9", "decode")
	r.agent.update(false, other.entry("SERVING"), r.endpoints[1].entry("DRAINING"))
	r.world.Run(10 * eventloop.Millisecond)
	if got := r.finalStatus(r.sendRequest("post")); got != 200 || r.endpoints[1].count("POST") != 1 || other.count("POST") != 1 {
		t.Errorf("answered %d; the draining host was sent %d", got, r.endpoints[1].count("POST"))
	}
	if c.closed {
		t.Error("the stream was cut")
	}
	r.agent.update(true, r.endpoints[0].entry("SERVING"))
	r.world.Run(10 * eventloop.Millisecond)
	if r.dispatcher.Ready() || len(r.dispatcher.ready) != 1 {
		t.Errorf("%d hosts are left by a whole list of one", len(r.dispatcher.ready))
	}
}

// TestDrainWhileConnecting: a leg whose connection opens only after the news is taken back, and goes elsewhere, also with side effects.
func TestDrainWhileConnecting(t *testing.T) {
	r := newHarness(t, 256, "prefill", "decode")
	r.finalStatus(r.sendRequest("post")) // the reader's connection is there from now on; the writer's is left to close
	r.endpoints[1].loop.Do(func() { r.endpoints[1].listener.Close() })
	slow := r.addEndpoint("s-9", "decode")
	other := r.addEndpoint("s-10", "decode")
	r.agent.update(false, r.endpoints[1].entry("DELETED"), slow.entry("SERVING"))
	r.world.Run(10 * eventloop.Millisecond)
	r.world.Latency = 40 * eventloop.Millisecond
	c := r.sendRequest("post")
	r.waitFor(eventloop.Second, "the write's connection", func() bool { return slow.opened > 0 })
	// The host has accepted; the dispatcher hears of it only one way later. The news is there before.
	r.world.Latency = 10 * eventloop.Millisecond
	r.agent.update(false, slow.entry("DRAINING"), other.entry("SERVING"))
	if got := r.finalStatus(c); got != 200 || slow.count("POST") != 0 || other.count("POST") != 1 {
		t.Errorf("answered %d; the draining host was sent %d, the other %d", got, slow.count("POST"), other.count("POST"))
	}
	r.requireIdle()
}

// TestBrokenBeforeLastByteHasNotRun: what was not written whole can't have run, so that a side-effecting generation is tried elsewhere.
func TestBrokenBeforeLastByteHasNotRun(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	r.world.ReceiveWindow = 16 << 10
	deaf := true
	for _, h := range r.decodeEndpoints() {
		h.listener.Close()
		ln, err := h.loop.Listen(h.addr, func(c eventloop.Conn) eventloop.Handler {
			l := &endpointConn{endpoint: h, conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
			if deaf { // it takes in what its window holds, reads nothing, and breaks
				deaf = false
				c.Pause(true)
				h.loop.AfterFunc(50*eventloop.Millisecond, c.Abort)
			}
			return l
		})
		if err != nil {
			t.Fatal(err)
		}
		h.listener = ln
	}
	body := `{"messages":["` + strings.Repeat("x", 100<<10) + `"]}`
	if got := r.finalStatus(r.sendRequest("post", "body", body)); got != 200 || deaf {
		t.Errorf("answered %d", got)
	}
	r.requireIdle()
	// Nor can it have run where its time is over, or it is given up, before that: there is nothing to let go of.
	for _, h := range r.prefillEndpoints() {
		h.listener.Close()
		h.listener, _ = h.loop.Listen(h.addr, func(c eventloop.Conn) eventloop.Handler {
			c.Pause(true)
			return &endpointConn{endpoint: h, conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
		})
	}
	r.world.Run(20 * eventloop.Second)
	released := r.releases()
	for _, product := range []string{"explain", "post"} {
		if got := r.finalStatus(r.sendRequest(product, "body", body)); got != 503 {
			t.Errorf("%s: never read, and answered %d", product, got)
		}
	}
	r.requireIdle()
	if r.dispatcher.Outcomes[scheduler.TimedOut] > 0 || r.dispatcher.Outcomes[scheduler.Cancelled] > 0 || r.releases() > released {
		t.Errorf("endings %v, %d releases", r.dispatcher.Outcomes, r.releases()-released)
	}
}

// TestBytesCutAnywhere: it is all the same however bytes are cut on their way.
func TestBytesCutAnywhere(t *testing.T) {
	for _, most := range []int{1, 3, 50} {
		r := newHarness(t, 256, usualEndpoints...)
		r.world.MaxSegment = most
		r.agent.update(true, r.endpoints[0].entry("SERVING"), r.endpoints[2].entry("SERVING"))
		r.world.Run(eventloop.Second)
		if len(r.dispatcher.ready) != 2 {
			t.Errorf("pieces of %d: %d hosts are ready", most, len(r.dispatcher.ready))
		}
		c := r.sendRequest("post")
		if got := r.finalStatus(c); got != 200 || !slices.Equal(c.events, []string{wordEvent, stopEvent, usageEvent, "[DONE]"}) {
			t.Errorf("pieces of %d: answered %d with %q", most, got, c.events)
		}
		r.requireIdle()
	}
}

func TestDiscoveryWatch(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	if got := r.agent.targets; len(got) != 1 || got[0] != "/discovery/hosts?stream=1&index=7" {
		t.Fatalf("asked %v", got)
	}
	// What can't be read costs a watch, and the whole list is asked for; the list stands meanwhile.
	r.remote.Do(func() { r.agent.watches[0].conn.Write(http1.AppendChunk(nil, []byte("{nonsense}\n"))) })
	r.waitFor(2*eventloop.Second, "another watch", func() bool { return len(r.agent.targets) == 2 })
	if !strings.HasSuffix(r.agent.targets[1], "index=0") || len(r.dispatcher.ready) != 4 {
		t.Errorf("asked %v with %d hosts", r.agent.targets, len(r.dispatcher.ready))
	}
	// One entry that can't be read does not cost the others, and changes follow on whole lists.
	r.agent.update(true, r.endpoints[0].entry("SERVING"), `{"id":""}`, r.endpoints[2].entry("SERVING"), r.endpoints[3].entry("ODD"))
	r.agent.update(false, r.endpoints[1].entry("SERVING"))
	r.world.Run(10 * eventloop.Millisecond)
	if len(r.dispatcher.ready) != 3 {
		t.Errorf("%d hosts are ready", len(r.dispatcher.ready))
	}
	// A broken agent is asked again soon, from what is known on.
	r.remote.Do(func() { r.agent.watches[1].conn.Abort() })
	r.waitFor(2*eventloop.Second, "a third watch", func() bool { return len(r.agent.targets) == 3 })
	if !strings.HasSuffix(r.agent.targets[2], fmt.Sprintf("index=%d", r.agent.version)) {
		t.Errorf("asked %v", r.agent.targets)
	}
	// It moves: nothing that runs is disturbed.
	r.agent.listen("127.0.0.9:8600")
	asked := len(r.agent.targets)
	r.loop.Do(func() { r.dispatcher.MoveDiscovery("127.0.0.9:8600") })
	r.waitFor(eventloop.Second, "the watch at the new address", func() bool { return len(r.agent.targets) > asked })
	if r.world.Run(3 * eventloop.Second); len(r.agent.targets) != asked+1 {
		t.Errorf("asked %d times at the new address", len(r.agent.targets)-asked)
	}
	if got := r.finalStatus(r.sendRequest("post")); got != 200 {
		t.Errorf("answered %d", got)
	}
}

// TestConnectionClosedByEndpoint: a connection that its host closed while it was idle is not written to, and idle ones are closed in time. Where
// the news of it is still on its way up, the socket is asked (package sockets).
func TestConnectionClosedByEndpoint(t *testing.T) {
	r := newHarness(t, 256, "prefill", "decode")
	var kept []*endpointConn
	keep := func(then func(*endpointConn)) func(*endpointConn) {
		return func(l *endpointConn) { kept = append(kept, l); then(l) }
	}
	r.endpoints[0].serve, r.endpoints[1].serve = keep(servePrefill), keep(serveDecode)
	for i := 0; i < 5; i++ {
		if got := r.finalStatus(r.sendRequest("post")); got != 200 {
			t.Fatalf("answered %d", got)
		}
		for _, l := range kept {
			l.endpoint.loop.Do(l.conn.Close)
		}
		kept = nil
	}
	if r.endpoints[0].opened != 5 || r.attempts() != 10 {
		t.Errorf("%d connections, %d legs", r.endpoints[0].opened, r.attempts())
	}
	// A request is on its way up, and so is, behind it, the end of the connection that it would be sent on.
	r.finalStatus(r.sendRequest("post"))
	r.world.DeliveryDelay = 5 * eventloop.Millisecond
	r.world.Run(20 * eventloop.Millisecond)
	c := r.sendRequest("post")
	r.world.Run(3 * eventloop.Millisecond)
	for _, l := range kept {
		l.endpoint.loop.Do(l.conn.Close)
	}
	if got := r.finalStatus(c); got != 200 || r.dispatcher.Outcomes[scheduler.ConnectionLost] != 0 {
		t.Errorf("answered %d, with %d legs lost", got, r.dispatcher.Outcomes[scheduler.ConnectionLost])
	}
}

// TestConnectionReuse: one connection to each host carries what comes one after the other.
func TestConnectionReuse(t *testing.T) {
	r := newHarness(t, 256, "prefill", "decode")
	for i := 0; i < 10; i++ {
		r.finalStatus(r.sendRequest("post"))
	}
	if r.endpoints[0].opened != 1 || r.endpoints[1].opened != 1 {
		t.Errorf("%d and %d connections", r.endpoints[0].opened, r.endpoints[1].opened)
	}
	if r.world.Run(10 * eventloop.Second); r.dispatcher.upstream.Connections() != 2 {
		t.Errorf("%d connections after 10 s", r.dispatcher.upstream.Connections())
	}
	if r.world.Run(7 * eventloop.Second); r.dispatcher.upstream.Connections() != 0 { // hosts close them after 30 s
		t.Errorf("%d connections after 17 s", r.dispatcher.upstream.Connections())
	}
}

// TestTotalConnectionLimit: idle ones to some hosts make way for those to others.
func TestTotalConnectionLimit(t *testing.T) {
	var many []string
	for range 10 {
		many = append(many, "prefill", "decode")
	}
	r := newHarness(t, 20, many...)
	for i := range 60 {
		if got := r.finalStatus(r.sendRequest("post", "Req-Extra", fmt.Sprintf("prefix=%d,prompt_len=100", i))); got != 200 {
			t.Fatalf("answered %d", got)
		}
		if n := r.dispatcher.upstream.Connections(); n > 8 {
			t.Fatalf("%d connections of 8", n)
		}
	}
}

// TestTotalBodyLimit: bodies that do not come to their end can't take more than their part of the memory, nor for ever.
func TestTotalBodyLimit(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	for range 40 {
		text := r.requestText("explain", "body", `"`+strings.Repeat("x", 200<<10)+`"`)
		r.connect(text[:len(text)-10])
	}
	r.world.Run(eventloop.Second)
	if n := r.dispatcher.server.Buffered(); n > 4<<20 || n < 3<<20 {
		t.Errorf("%d bytes are kept of 32 MB", n)
	}
	big := `{"messages":["` + strings.Repeat("x", 250<<10) + `"]}`
	if got := r.finalStatus(r.sendRequest("post", "body", big)); got != 503 {
		t.Errorf("without room: answered %d", got)
	}
	r.world.Run(3 * eventloop.Second)
	if got := r.finalStatus(r.sendRequest("post", "body", big)); got != 200 || r.dispatcher.server.Buffered() != 0 {
		t.Errorf("with room again: answered %d, %d bytes are kept", got, r.dispatcher.server.Buffered())
	}
}

// TestThrottledAfterRejection: a client that repeats what can't be used is not read for a while.
func TestThrottledAfterRejection(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	bad := r.requestText("nonsense")
	began := r.world.Now()
	c := r.connect(bad + bad + bad)
	r.waitFor(eventloop.Second, "three answers", func() bool { return len(c.statuses) == 3 })
	if !slices.Equal(c.statuses, []int{400, 400, 400}) || c.answeredAt-began < 200*eventloop.Millisecond {
		t.Errorf("answered %v in %d µs", c.statuses, c.answeredAt-began)
	}
}

// TestUnsentPrefillHasNoState: a read that was given up before it left has left no state, so that nothing is let go of.
func TestUnsentPrefillHasNoState(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	r.world.Latency = 40 * eventloop.Millisecond
	c := r.sendRequest("explain")
	r.waitFor(eventloop.Second, "the read", func() bool { return r.dispatcher.Attempts > 0 })
	r.remote.Do(c.conn.Abort)
	r.requireIdle()
	if r.attempts() != 0 || r.releases() != 0 {
		t.Errorf("%d legs, %d releases", r.attempts(), r.releases())
	}
}

// TestSlowClient: what is kept for one that does not read is bounded, its host is slowed, and all arrives once it reads.
func TestSlowClient(t *testing.T) {
	r := newHarness(t, 256, "prefill", "decode")
	r.world.ReceiveWindow = 4 << 10
	const many = 2000
	r.endpoints[1].serve = serveLongStream(many)
	c := r.sendRequest("explain")
	r.waitFor(eventloop.Second, "its stream", func() bool { return len(c.events) > 0 })
	r.remote.Do(func() { c.conn.Pause(true) })
	r.world.Run(4 * eventloop.Second)
	if n := r.dispatcher.server.Unsent(); n > 96<<10 { // the bound, and what one turn may bring past it
		t.Errorf("%d bytes are kept for it", n)
	}
	r.remote.Do(func() { c.conn.Pause(false) })
	if got := r.finalStatus(c); got != 200 || len(c.events) != many+1 {
		t.Errorf("answered %d with %d events", got, len(c.events))
	}
}

// TestGracefulShutdown: on SIGTERM what still comes for a short while is taken, all is answered, and then the dispatcher ends.
func TestGracefulShutdown(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	serveAll(r.decodeEndpoints(), func(l *endpointConn) { l.endpoint.loop.AfterFunc(2*eventloop.Second, func() { serveDecode(l) }) })
	idle := r.connect("GET /up HTTP/1.1\r\n\r\n")
	first := r.sendRequest("post")
	r.world.Run(100 * eventloop.Millisecond)
	var shut, done bool
	r.loop.Do(func() { r.dispatcher.Shutdown(func() { r.listener.Close(); shut = true }, func() { done = true }) })
	r.world.Run(300 * eventloop.Millisecond)
	second := r.sendRequest("post") // the front has not noticed yet
	r.world.Run(300 * eventloop.Millisecond)
	if !shut || done || !idle.closed {
		t.Errorf("after 0.6 s: shut %v, done %v, idle connection closed %v", shut, done, idle.closed)
	}
	for _, c := range []*client{first, second} {
		if got := r.finalStatus(c); got != 200 || !c.closed {
			t.Errorf("answered %d, closed %v", got, c.closed)
		}
	}
	r.waitFor(eventloop.Second, "the end", func() bool { return done })
}

// TestNoLeakOverReplacements: hosts replaced all day under new ids, and clients that ask once and stay, leave nothing behind.
func TestNoLeakOverReplacements(t *testing.T) {
	r := newHarness(t, 128, usualEndpoints...)
	for i := 0; i < 150; i++ {
		old := r.endpoints[i]
		h := r.addEndpoint(fmt.Sprintf("n-%d", i), old.kind)
		r.agent.update(false, old.entry("DELETED"), h.entry("SERVING"))
		r.world.Run(eventloop.Second)
		if got := r.finalStatus(r.sendRequest("post")); got != 200 {
			t.Fatalf("after %d replacements: answered %d", i, got)
		}
	}
	r.world.Run(70 * eventloop.Second)
	if n := r.dispatcher.upstream.EndpointCount(); n > 4 {
		t.Errorf("%d hosts are still known to the legs", n)
	}
	if n := r.dispatcher.server.Connections(); n > 0 {
		t.Errorf("%d clients' connections are left", n)
	}
	r.requireIdle()
}
