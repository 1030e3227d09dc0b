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

var fleet = []string{"prefill", "prefill", "decode", "decode"}

func (r *rig) readers() []*host { return r.hosts[:2] }
func (r *rig) writers() []*host { return r.hosts[2:] }

// all sets what hosts do.
func all(hosts []*host, serve func(*line)) {
	for _, h := range hosts {
		h.serve = serve
	}
}

func TestAGeneration(t *testing.T) {
	r := newRig(t, 256, fleet...)
	c := r.ask("explain", "Req-Id", "00ABcdef.x-1")
	if got := r.final(c); got != 200 {
		t.Fatalf("answered %d", got)
	}
	if want := []string{word, stop, usage, "[DONE]"}; !slices.Equal(c.got, want) {
		t.Errorf("events %q, want them unchanged", c.got)
	}
	for _, h := range r.hosts {
		for i, head := range h.heads {
			if head.Get("Req-Id") != "00ABcdef.x-1" || head.Target != "/v1/chat/completions?a=b" || h.bodies[i] != `{"model":"chat","stream":true,"messages":[]}` ||
				!strings.HasSuffix(head.Get("Req-Deadline"), "u") {
				t.Errorf("%s was sent %+v %q", h.id, head, h.bodies[i])
			}
		}
	}
	if r.legs() != 2 || r.releases() != 0 {
		t.Errorf("%d legs, %d releases", r.legs(), r.releases())
	}
	if c.closed {
		t.Error("the client's connection was not kept")
	}
	r.quiet()
}

// TestWhatBecomesOfIt plays each row of the platform's outcomes through the whole path: an idempotent generation is tried again, a
// side-effecting one only where its write is known not to have run.
func TestWhatBecomesOfIt(t *testing.T) {
	begun := func(rest string) func(*line) {
		return func(l *line) { l.stream(word); l.conn.Write([]byte(rest)) }
	}
	raw := func(text string) func(*line) { return func(l *line) { l.conn.Write([]byte(text)) } }
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	declined := func(status int) func(*line) {
		return func(l *line) { l.answer(status, "", "Srv-Declined", "1") }
	}
	whole := string(http1.AppendLastChunk(http1.AppendChunk(nil, sse.Append(nil, []byte(word)))))
	for name, c := range map[string]struct {
		first         func(*line) // what the first write meets; later ones are good
		explain, post int         // final answers; 0: the connection ends without the last chunk
	}{
		"error":                       {func(l *line) { l.answer(500, "") }, 200, 500},
		"declined":                    {declined(503), 200, 200},
		"declined as late":            {declined(504), 200, 200},
		"state gone":                  {declined(410), 200, 200},
		"503 that does not say so":    {func(l *line) { l.answer(503, "") }, 200, 500},
		"410 that does not say so":    {func(l *line) { l.answer(410, "") }, 200, 500},
		"reset":                       {func(l *line) { l.conn.Abort() }, 200, 500},
		"closed":                      {func(l *line) { l.conn.Close() }, 200, 500},
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
		"broken later":                {func(l *line) { l.stream(word, stop, usage, "[DONE]"); l.conn.Close() }, 0, 0},
		"silent later":                {func(l *line) { l.stream(word) }, 0, 0},
		"interim answers ahead":       {raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + head + whole), 200, 200},
		"unreadable load report":      {raw(strings.Replace(head, "\r\n\r\n", "\r\nSrv-Load: {{\xff\r\n\r\n", 1) + whole), 200, 200},
		"a second answer right after": {raw(head + whole + head + whole), 200, 200},
	} {
		for i, product := range []string{"explain", "post"} {
			t.Run(name+", "+product, func(t *testing.T) {
				r := newRig(t, 256, fleet...)
				met := 0
				all(r.writers(), func(l *line) {
					if met++; met == 1 {
						c.first(l)
						return
					}
					write(l)
				})
				client := r.ask(product)
				began := r.w.Now()
				if got, want := r.final(client), []int{c.explain, c.post}[i]; got != want {
					t.Errorf("answered %d, want %d", got, want)
				}
				if r.w.Now()-began > 5*eventloop.Second {
					t.Errorf("the client waited %d ms", (r.w.Now()-began)/eventloop.Millisecond)
				}
				if product == "post" && c.post != 200 && met > 1 {
					t.Error("it was written twice")
				}
				r.quiet()
				if product != "explain" {
					return
				}
				// What is behind an answer must not be taken for the next one. A side-effecting one would show it, as it is not tried again.
				r.w.Run(3 * eventloop.Second)
				for range 6 {
					if got := r.final(r.ask("post")); got != 200 {
						t.Errorf("the next one was answered %d", got)
					}
				}
			})
		}
	}
}

func TestAReadIsTriedElsewhere(t *testing.T) {
	for name, first := range map[string]func(*line){
		"error": func(l *line) { l.answer(500, "") }, "reset": func(l *line) { l.conn.Abort() }, "noise": func(l *line) { l.conn.Write([]byte("noise")) },
		"declined": func(l *line) { l.answer(503, "", "Srv-Declined", "1") }, "silent": func(*line) {},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 256, fleet...)
			met := 0
			all(r.readers(), func(l *line) {
				if met++; met == 1 {
					first(l)
					return
				}
				read(l)
			})
			if got := r.final(r.ask("post")); got != 200 { // a read has no effect, however it ends
				t.Errorf("answered %d", got)
			}
			r.quiet()
		})
	}
}

// TestTimeLimit: whatever can't be had in time is answered before the client's time is up, and a side-effecting generation whose
// write is out is not said to be harmless.
func TestTimeLimit(t *testing.T) {
	for product, want := range map[string]int{"explain": 503, "post": 500} {
		r := newRig(t, 256, fleet...)
		all(r.writers(), func(*line) {})
		began := r.w.Now()
		c := r.ask(product, "Req-Deadline", "1500000u")
		if got := r.final(c); got != want {
			t.Errorf("%s: answered %d, want %d", product, got, want)
		}
		if late := c.at - began - 1500*eventloop.Millisecond; late > 0 {
			t.Errorf("%s: answered %d µs late", product, late)
		}
		if want == 503 && c.head.Get("Retry-After") == "" {
			t.Error("no time to come back is named")
		}
		r.quiet()
		if r.releases() == 0 && product == "explain" {
			t.Error("its state was not let go of")
		}
	}
}

// TestHeldState: a state is let go of in time after its client left, also where its reader can't be reached.
func TestHeldState(t *testing.T) {
	for _, away := range []bool{false, true} {
		r := newRig(t, 256, fleet...)
		all(r.writers(), func(*line) {})
		c := r.ask("explain")
		r.until(eventloop.Second, "the write", func() bool { return r.writers()[0].count("POST")+r.writers()[1].count("POST") > 0 })
		if away {
			for _, h := range r.readers() {
				r.w.Block(r.loop, h.loop, 5*eventloop.Second)
			}
		}
		r.far.Do(c.conn.Abort)
		r.until(500*eventloop.Millisecond, "a release", func() bool { return r.releases() > 0 })
		r.quiet()
	}
}

// TestAReadThatWasGivenUpMayLie: as it may have ended well just then.
func TestAReadThatWasGivenUpMayLie(t *testing.T) {
	r := newRig(t, 256, fleet...)
	all(r.readers(), func(*line) {})
	c := r.ask("explain")
	r.until(eventloop.Second, "the read", func() bool { return r.legs() > 0 })
	r.far.Do(c.conn.Abort)
	r.until(500*eventloop.Millisecond, "a release", func() bool { return r.releases() > 0 })
	r.quiet()
}

// TestReleaseBeforeTheNextRead: a release takes all that is held for a request, so a read behind it has to wait for its answer.
func TestReleaseBeforeTheNextRead(t *testing.T) {
	r := newRig(t, 256, fleet...)
	var order []string
	all(r.readers(), func(l *line) { order = append(order, "read"); read(l) })
	for _, h := range r.hosts {
		h.slack = 30 * eventloop.Millisecond
	}
	met := 0
	all(r.writers(), func(l *line) {
		if met++; met == 1 {
			l.answer(410, "", "Srv-Declined", "1")
			return
		}
		write(l)
	})
	r.w.Watch = func() { // it is over once the host has answered it
		if r.releases() > 0 && r.x.upstream.Releases > 0 && !slices.Contains(order, "release") && !slices.ContainsFunc(r.x.inOrder(), func(g *request) bool { return g.releasing }) {
			order = append(order, "release")
		}
	}
	if got := r.final(r.ask("explain")); got != 200 || !slices.Equal(order, []string{"read", "release", "read"}) {
		t.Errorf("answered %d in the order %v", got, order)
	}
	r.quiet()
}

// TestDrainWhileLettingGo: a read that waits for a release does not go to a host that has begun to drain meanwhile.
func TestDrainWhileLettingGo(t *testing.T) {
	r := newRig(t, 256, fleet...)
	met := 0
	all(r.writers(), func(l *line) {
		if met++; met == 1 {
			l.answer(410, "", "Srv-Declined", "1")
			return
		}
		write(l)
	})
	for _, h := range r.hosts {
		h.slack = 50 * eventloop.Millisecond
	}
	c := r.ask("post")
	waits := func() *request {
		for _, g := range r.x.inOrder() {
			if g.deferred != nil {
				return g
			}
		}
		return nil
	}
	r.until(eventloop.Second, "a read that waits", func() bool { return waits() != nil })
	for _, h := range r.readers() {
		if r.x.discovery.Number(h.id) == waits().host {
			before := h.count("POST")
			r.agent.tell(false, h.entry("DRAINING"))
			if got := r.final(c); got != 200 || h.count("POST") != before {
				t.Errorf("answered %d; the draining reader was sent %d more", got, h.count("POST")-before)
			}
			r.quiet()
			return
		}
	}
	t.Error("it waits for no reader")
}

// TestBadRequests: each gets an error or a close within 3 s and never reaches a model host.
func TestBadRequests(t *testing.T) {
	r := newRig(t, 256, fleet...)
	good := r.request("explain")
	twice := func(field string) string { return strings.Replace(good, "Host: ", field+"\r\nHost: ", 1) }
	for name, c := range map[string]struct {
		sends string
		want  int // 0: a close will do
	}{
		"no id":                  {r.request("explain", "Req-Id", "-"), 400},
		"unreadable id":          {r.request("explain", "Req-Id", "a b"), 400},
		"id with a path":         {r.request("explain", "Req-Id", "../x"), 400},
		"id of dots":             {r.request("explain", "Req-Id", ".."), 400},
		"two ids":                {twice("Req-Id: 12"), 400},
		"two lengths":            {twice("Content-Length: 44"), 400},
		"length and coding":      {twice("Transfer-Encoding: chunked"), 400},
		"unknown kind":           {r.request("nonsense"), 400},
		"no kind":                {r.request("-"), 400},
		"no time limit":          {r.request("explain", "Req-Deadline", "-"), 400},
		"time limit in seconds":  {r.request("explain", "Req-Deadline", "4s"), 400},
		"time limit no number":   {r.request("explain", "Req-Deadline", "soon"), 400},
		"time limit without m":   {r.request("explain", "Req-Deadline", "4000"), 400},
		"negative time limit":    {r.request("explain", "Req-Deadline", "-5m"), 400},
		"extra no number":        {r.request("explain", "Req-Extra", "prompt_len=many"), 400},
		"extra not a number":     {r.request("explain", "Req-Extra", "prompt_len=NaN"), 400},
		"extra below zero":       {r.request("explain", "Req-Extra", "max_out=-1"), 400},
		"extra without a value":  {r.request("explain", "Req-Extra", "prompt_len"), 400},
		"body cut by its length": {strings.Replace(good, "Content-Length: 44", "Content-Length: 20", 1), 400},
		"body no JSON":           {r.request("explain", "body", "hello"), 400},
		"body no object":         {r.request("explain", "body", "[1]"), 400},
		"body too long":          {r.request("explain", "body", strings.Repeat("x", 257<<10)), 413},
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
		client := r.raw(c.sends)
		r.until(3*eventloop.Second, name+": an end", func() bool { return client.closed || len(client.finals) > 0 })
		if c.want != 0 && (len(client.finals) != 1 || client.finals[0] != c.want) {
			t.Errorf("%s: answered %v, want %d", name, client.finals, c.want)
		}
	}
	if r.legs() != 0 || r.x.Accepted != 0 {
		t.Errorf("%d were taken, %d legs were made", r.x.Accepted, r.legs())
	}
	r.quiet()
}

// TestAnOpenRequestsId, and one that was open a moment ago.
func TestAnOpenRequestsId(t *testing.T) {
	r := newRig(t, 256, fleet...)
	all(r.writers(), func(l *line) { l.stream(word) })
	c := r.ask("explain", "Req-Id", "77")
	r.until(eventloop.Second, "its stream", func() bool { return len(c.got) > 0 })
	if got := r.final(r.ask("explain", "Req-Id", "77")); got != 409 {
		t.Errorf("the copy was answered %d", got)
	}
	r.final(c)
	if got := r.final(r.ask("explain", "Req-Id", "77")); got != 409 {
		t.Errorf("the late copy was answered %d", got)
	}
	if r.legs() != 2 {
		t.Errorf("%d legs", r.legs())
	}
}

// TestCrowd: connections that say nothing, and requests sent again as soon as they are turned away, do not keep others out.
func TestCrowd(t *testing.T) {
	r := newRig(t, 64, fleet...)
	r.loop.Descriptors = 64
	var silent []*client
	for i := 0; i < 300; i++ {
		silent = append(silent, r.raw(""))
		if i%10 == 0 {
			if got := r.final(r.ask("post")); got != 200 {
				t.Fatalf("after %d silent ones: answered %d", i, got)
			}
		}
		if r.loop.Open() > 64 {
			t.Fatalf("%d descriptors", r.loop.Open())
		}
	}
	r.w.Run(3 * eventloop.Second)
	for i, c := range silent {
		if !c.closed {
			t.Fatalf("silent connection %d is still there", i)
		}
	}
	r.quiet()
}

// TestDrain: nothing new goes to a host that wants none; a stream goes on, and a whole list of one leaves no other.
func TestDrain(t *testing.T) {
	r := newRig(t, 256, "prefill", "decode")
	all(r.hosts[1:], func(l *line) { l.stream(word) })
	c := r.ask("explain")
	r.until(eventloop.Second, "its stream", func() bool { return len(c.got) > 0 })
	other := r.host("s-9", "decode")
	r.agent.tell(false, other.entry("SERVING"), r.hosts[1].entry("DRAINING"))
	r.w.Run(10 * eventloop.Millisecond)
	if got := r.final(r.ask("post")); got != 200 || r.hosts[1].count("POST") != 1 || other.count("POST") != 1 {
		t.Errorf("answered %d; the draining host was sent %d", got, r.hosts[1].count("POST"))
	}
	if c.closed {
		t.Error("the stream was cut")
	}
	r.agent.tell(true, r.hosts[0].entry("SERVING"))
	r.w.Run(10 * eventloop.Millisecond)
	if r.x.Ready() || len(r.x.ready) != 1 {
		t.Errorf("%d hosts are left by a whole list of one", len(r.x.ready))
	}
}

// TestDrainWhileConnecting: a leg whose connection opens only after the news is taken back, and goes elsewhere, also with side effects.
func TestDrainWhileConnecting(t *testing.T) {
	r := newRig(t, 256, "prefill", "decode")
	r.final(r.ask("post")) // the reader's connection is there from now on; the writer's is left to close
	r.hosts[1].loop.Do(func() { r.hosts[1].ln.Close() })
	slow := r.host("s-9", "decode")
	other := r.host("s-10", "decode")
	r.agent.tell(false, r.hosts[1].entry("DELETED"), slow.entry("SERVING"))
	r.w.Run(10 * eventloop.Millisecond)
	r.w.Latency = 40 * eventloop.Millisecond
	c := r.ask("post")
	r.until(eventloop.Second, "the write's connection", func() bool { return slow.opened > 0 })
	// The host has accepted; the dispatcher hears of it only one way later. The news is there before.
	r.w.Latency = 10 * eventloop.Millisecond
	r.agent.tell(false, slow.entry("DRAINING"), other.entry("SERVING"))
	if got := r.final(c); got != 200 || slow.count("POST") != 0 || other.count("POST") != 1 {
		t.Errorf("answered %d; the draining host was sent %d, the other %d", got, slow.count("POST"), other.count("POST"))
	}
	r.quiet()
}

// TestBrokenBeforeTheLastByte: what was not written whole can't have run, so that a side-effecting generation is tried elsewhere.
func TestBrokenBeforeTheLastByte(t *testing.T) {
	r := newRig(t, 256, fleet...)
	r.w.Window = 16 << 10
	deaf := true
	for _, h := range r.writers() {
		h.ln.Close()
		ln, err := h.loop.Listen(h.addr, func(c eventloop.Conn) eventloop.Handler {
			l := &line{h: h, conn: c, parser: http1.Parser{Bounds: http1.Usual}}
			if deaf { // it takes in what its window holds, reads nothing, and breaks
				deaf = false
				c.Pause(true)
				h.loop.After(50*eventloop.Millisecond, c.Abort)
			}
			return l
		})
		if err != nil {
			t.Fatal(err)
		}
		h.ln = ln
	}
	body := `{"messages":["` + strings.Repeat("x", 100<<10) + `"]}`
	if got := r.final(r.ask("post", "body", body)); got != 200 || deaf {
		t.Errorf("answered %d", got)
	}
	r.quiet()
	// Nor can it have run where its time is over, or it is given up, before that: there is nothing to let go of.
	for _, h := range r.readers() {
		h.ln.Close()
		h.ln, _ = h.loop.Listen(h.addr, func(c eventloop.Conn) eventloop.Handler {
			c.Pause(true)
			return &line{h: h, conn: c, parser: http1.Parser{Bounds: http1.Usual}}
		})
	}
	r.w.Run(20 * eventloop.Second)
	released := r.releases()
	for _, product := range []string{"explain", "post"} {
		if got := r.final(r.ask(product, "body", body)); got != 503 {
			t.Errorf("%s: never read, and answered %d", product, got)
		}
	}
	r.quiet()
	if r.x.Outcomes[scheduler.TimedOut] > 0 || r.x.Outcomes[scheduler.Cancelled] > 0 || r.releases() > released {
		t.Errorf("endings %v, %d releases", r.x.Outcomes, r.releases()-released)
	}
}

// TestCutAnywhere: it is all the same however bytes are cut on their way.
func TestCutAnywhere(t *testing.T) {
	for _, most := range []int{1, 3, 50} {
		r := newRig(t, 256, fleet...)
		r.w.Segment = most
		r.agent.tell(true, r.hosts[0].entry("SERVING"), r.hosts[2].entry("SERVING"))
		r.w.Run(eventloop.Second)
		if len(r.x.ready) != 2 {
			t.Errorf("pieces of %d: %d hosts are ready", most, len(r.x.ready))
		}
		c := r.ask("post")
		if got := r.final(c); got != 200 || !slices.Equal(c.got, []string{word, stop, usage, "[DONE]"}) {
			t.Errorf("pieces of %d: answered %d with %q", most, got, c.got)
		}
		r.quiet()
	}
}

func TestDiscovery(t *testing.T) {
	r := newRig(t, 256, fleet...)
	if got := r.agent.targets; len(got) != 1 || got[0] != "/discovery/hosts?stream=1&index=7" {
		t.Fatalf("asked %v", got)
	}
	// What can't be read costs a watch, and the whole list is asked for; the list stands meanwhile.
	r.far.Do(func() { r.agent.watches[0].conn.Write(http1.AppendChunk(nil, []byte("{nonsense}\n"))) })
	r.until(2*eventloop.Second, "another watch", func() bool { return len(r.agent.targets) == 2 })
	if !strings.HasSuffix(r.agent.targets[1], "index=0") || len(r.x.ready) != 4 {
		t.Errorf("asked %v with %d hosts", r.agent.targets, len(r.x.ready))
	}
	// One entry that can't be read does not cost the others, and changes follow on whole lists.
	r.agent.tell(true, r.hosts[0].entry("SERVING"), `{"id":""}`, r.hosts[2].entry("SERVING"), r.hosts[3].entry("ODD"))
	r.agent.tell(false, r.hosts[1].entry("SERVING"))
	r.w.Run(10 * eventloop.Millisecond)
	if len(r.x.ready) != 3 {
		t.Errorf("%d hosts are ready", len(r.x.ready))
	}
	// A broken agent is asked again soon, from what is known on.
	r.far.Do(func() { r.agent.watches[1].conn.Abort() })
	r.until(2*eventloop.Second, "a third watch", func() bool { return len(r.agent.targets) == 3 })
	if !strings.HasSuffix(r.agent.targets[2], fmt.Sprintf("index=%d", r.agent.version)) {
		t.Errorf("asked %v", r.agent.targets)
	}
	// It moves: nothing that runs is disturbed.
	r.agent.up("127.0.0.9:8600")
	asked := len(r.agent.targets)
	r.loop.Do(func() { r.x.MoveDiscovery("127.0.0.9:8600") })
	r.until(eventloop.Second, "the watch at the new address", func() bool { return len(r.agent.targets) > asked })
	if r.w.Run(3 * eventloop.Second); len(r.agent.targets) != asked+1 {
		t.Errorf("asked %d times at the new address", len(r.agent.targets)-asked)
	}
	if got := r.final(r.ask("post")); got != 200 {
		t.Errorf("answered %d", got)
	}
}

// TestClosedByItsHost: a connection that its host closed while it was idle is not written to, and idle ones are closed in time. Where
// the news of it is still on its way up, the socket is asked (package sockets).
func TestClosedByItsHost(t *testing.T) {
	r := newRig(t, 256, "prefill", "decode")
	var kept []*line
	keep := func(then func(*line)) func(*line) {
		return func(l *line) { kept = append(kept, l); then(l) }
	}
	r.hosts[0].serve, r.hosts[1].serve = keep(read), keep(write)
	for i := 0; i < 5; i++ {
		if got := r.final(r.ask("post")); got != 200 {
			t.Fatalf("answered %d", got)
		}
		for _, l := range kept {
			l.h.loop.Do(l.conn.Close)
		}
		kept = nil
	}
	if r.hosts[0].opened != 5 || r.legs() != 10 {
		t.Errorf("%d connections, %d legs", r.hosts[0].opened, r.legs())
	}
	// A request is on its way up, and so is, behind it, the end of the connection that it would be sent on.
	r.final(r.ask("post"))
	r.w.Heard = 5 * eventloop.Millisecond
	r.w.Run(20 * eventloop.Millisecond)
	c := r.ask("post")
	r.w.Run(3 * eventloop.Millisecond)
	for _, l := range kept {
		l.h.loop.Do(l.conn.Close)
	}
	if got := r.final(c); got != 200 || r.x.Outcomes[scheduler.ConnectionLost] != 0 {
		t.Errorf("answered %d, with %d legs lost", got, r.x.Outcomes[scheduler.ConnectionLost])
	}
}

// TestReuse: one connection to each host carries what comes one after the other.
func TestReuse(t *testing.T) {
	r := newRig(t, 256, "prefill", "decode")
	for i := 0; i < 10; i++ {
		r.final(r.ask("post"))
	}
	if r.hosts[0].opened != 1 || r.hosts[1].opened != 1 {
		t.Errorf("%d and %d connections", r.hosts[0].opened, r.hosts[1].opened)
	}
	if r.w.Run(10 * eventloop.Second); r.x.upstream.Connections() != 2 {
		t.Errorf("%d connections after 10 s", r.x.upstream.Connections())
	}
	if r.w.Run(7 * eventloop.Second); r.x.upstream.Connections() != 0 { // hosts close them after 30 s
		t.Errorf("%d connections after 17 s", r.x.upstream.Connections())
	}
}

// TestConnectionsInAll: idle ones to some hosts make way for those to others.
func TestConnectionsInAll(t *testing.T) {
	var many []string
	for range 10 {
		many = append(many, "prefill", "decode")
	}
	r := newRig(t, 20, many...)
	for i := range 60 {
		if got := r.final(r.ask("post", "Req-Extra", fmt.Sprintf("prefix=%d,prompt_len=100", i))); got != 200 {
			t.Fatalf("answered %d", got)
		}
		if n := r.x.upstream.Connections(); n > 8 {
			t.Fatalf("%d connections of 8", n)
		}
	}
}

// TestBodiesInAll: bodies that do not come to their end can't take more than their part of the memory, nor for ever.
func TestBodiesInAll(t *testing.T) {
	r := newRig(t, 256, fleet...)
	for range 40 {
		text := r.request("explain", "body", `"`+strings.Repeat("x", 200<<10)+`"`)
		r.raw(text[:len(text)-10])
	}
	r.w.Run(eventloop.Second)
	if n := r.x.server.Buffered(); n > 4<<20 || n < 3<<20 {
		t.Errorf("%d bytes are kept of 32 MB", n)
	}
	big := `{"messages":["` + strings.Repeat("x", 250<<10) + `"]}`
	if got := r.final(r.ask("post", "body", big)); got != 503 {
		t.Errorf("without room: answered %d", got)
	}
	r.w.Run(3 * eventloop.Second)
	if got := r.final(r.ask("post", "body", big)); got != 200 || r.x.server.Buffered() != 0 {
		t.Errorf("with room again: answered %d, %d bytes are kept", got, r.x.server.Buffered())
	}
}

// TestRefusedAtOnceAgain: a client that repeats what can't be used is not read for a while.
func TestRefusedAtOnceAgain(t *testing.T) {
	r := newRig(t, 256, fleet...)
	bad := r.request("nonsense")
	began := r.w.Now()
	c := r.raw(bad + bad + bad)
	r.until(eventloop.Second, "three answers", func() bool { return len(c.finals) == 3 })
	if !slices.Equal(c.finals, []int{400, 400, 400}) || c.at-began < 200*eventloop.Millisecond {
		t.Errorf("answered %v in %d µs", c.finals, c.at-began)
	}
}

// TestNeverLeft: a read that was given up before it left has left no state, so that nothing is let go of.
func TestNeverLeft(t *testing.T) {
	r := newRig(t, 256, fleet...)
	r.w.Latency = 40 * eventloop.Millisecond
	c := r.ask("explain")
	r.until(eventloop.Second, "the read", func() bool { return r.x.Attempts > 0 })
	r.far.Do(c.conn.Abort)
	r.quiet()
	if r.legs() != 0 || r.releases() != 0 {
		t.Errorf("%d legs, %d releases", r.legs(), r.releases())
	}
}

// TestSlowClient: what is kept for one that does not read is bounded, its host is slowed, and all arrives once it reads.
func TestSlowClient(t *testing.T) {
	r := newRig(t, 256, "prefill", "decode")
	r.w.Window = 4 << 10
	const many = 2000
	r.hosts[1].serve = wordy(many)
	c := r.ask("explain")
	r.until(eventloop.Second, "its stream", func() bool { return len(c.got) > 0 })
	r.far.Do(func() { c.conn.Pause(true) })
	r.w.Run(4 * eventloop.Second)
	if n := r.x.server.Unsent(); n > 96<<10 { // the bound, and what one turn may bring past it
		t.Errorf("%d bytes are kept for it", n)
	}
	r.far.Do(func() { c.conn.Pause(false) })
	if got := r.final(c); got != 200 || len(c.got) != many+1 {
		t.Errorf("answered %d with %d events", got, len(c.got))
	}
}

// TestLeave: on SIGTERM what still comes for a short while is taken, all is answered, and then the dispatcher ends.
func TestLeave(t *testing.T) {
	r := newRig(t, 256, fleet...)
	all(r.writers(), func(l *line) { l.h.loop.After(2*eventloop.Second, func() { write(l) }) })
	idle := r.raw("GET /up HTTP/1.1\r\n\r\n")
	first := r.ask("post")
	r.w.Run(100 * eventloop.Millisecond)
	var shut, done bool
	r.loop.Do(func() { r.x.Shutdown(func() { r.ln.Close(); shut = true }, func() { done = true }) })
	r.w.Run(300 * eventloop.Millisecond)
	second := r.ask("post") // the front has not noticed yet
	r.w.Run(300 * eventloop.Millisecond)
	if !shut || done || !idle.closed {
		t.Errorf("after 0.6 s: shut %v, done %v, idle connection closed %v", shut, done, idle.closed)
	}
	for _, c := range []*client{first, second} {
		if got := r.final(c); got != 200 || !c.closed {
			t.Errorf("answered %d, closed %v", got, c.closed)
		}
	}
	r.until(eventloop.Second, "the end", func() bool { return done })
}

// TestNothingGrows: hosts replaced all day under new ids, and clients that ask once and stay, leave nothing behind.
func TestNothingGrows(t *testing.T) {
	r := newRig(t, 128, fleet...)
	for i := 0; i < 150; i++ {
		old := r.hosts[i]
		h := r.host(fmt.Sprintf("n-%d", i), old.kind)
		r.agent.tell(false, old.entry("DELETED"), h.entry("SERVING"))
		r.w.Run(eventloop.Second)
		if got := r.final(r.ask("post")); got != 200 {
			t.Fatalf("after %d replacements: answered %d", i, got)
		}
	}
	r.w.Run(70 * eventloop.Second)
	if n := r.x.upstream.EndpointCount(); n > 4 {
		t.Errorf("%d hosts are still known to the legs", n)
	}
	if n := r.x.server.Connections(); n > 0 {
		t.Errorf("%d clients' connections are left", n)
	}
	r.quiet()
}
