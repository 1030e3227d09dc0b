package platform

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

// TestFieldsPassOn: a model host gets the fields that the client sent, as the key by which repeats are dropped, but for those that speak of
// the client's own connection; and the time that is left in place of the client's.
func TestFieldsPassOn(t *testing.T) {
	r := newRig(t, 256, fleet...)
	text := strings.Replace(r.request("explain", "Req-Id", "77"), "Host: ", "Idempotency-Key: fc46\r\nX-Custom:  a, b\r\nConnection: keep-alive, X-Hop, Req-Id\r\nX-Hop: 1\r\nTE: trailers\r\nHost: ", 1)
	if got := r.final(r.raw(text)); got != 200 {
		t.Fatalf("answered %d", got)
	}
	for _, h := range r.hosts {
		for _, head := range h.heads {
			for name, want := range map[string]string{"Idempotency-Key": "fc46", "X-Custom": "a, b", "Req-Id": "77", "Req-Kind": "explain", "Req-Key": "7f3a9c21e0b4d655",
				"Host": h.addr, "X-Hop": "", "TE": "", "Connection": ""} {
				if got := head.Get(name); got != want {
					t.Errorf("%s: %s is %q, want %q", h.id, name, got, want)
				}
			}
			seen := map[string]bool{}
			for _, f := range head.Fields {
				if name := strings.ToLower(f.Name); seen[name] {
					t.Errorf("%s: two fields %s", h.id, f.Name)
				} else {
					seen[name] = true
				}
			}
		}
	}
}

// TestTimeOfWhatIsSentAhead: a request sent behind another counts its time from when it came, not from when its turn comes.
func TestTimeOfWhatIsSentAhead(t *testing.T) {
	r := newRig(t, 256, fleet...)
	met := 0
	all(r.writers(), func(l *line) {
		if met++; met == 1 {
			l.h.loop.AfterFunc(800*eventloop.Millisecond, func() { write(l) })
		} // the second never is answered
	})
	began := r.w.Now()
	c := r.raw(r.request("explain") + r.request("explain", "Req-Deadline", "1500m"))
	r.until(10*eventloop.Second, "two answers", func() bool { return len(c.finals) == 2 })
	if took := c.at - began; took > 1500*eventloop.Millisecond {
		t.Errorf("the second was answered after %d ms of 1500", took/eventloop.Millisecond)
	}
	r.quiet()
}

// TestTimeToldAfterARelease: an attempt that waited for a release tells its host what the client has left then.
func TestTimeToldAfterARelease(t *testing.T) {
	r := newRig(t, 256, fleet...)
	const limit = 480 * eventloop.Millisecond // short enough for a host to be given all of it
	began := r.w.Now()
	check := func(then func(*line)) func(*line) {
		return func(l *line) {
			told, _ := strconv.ParseInt(strings.TrimSuffix(l.head.Get("Req-Deadline"), "u"), 10, 64)
			if left := limit - (r.w.Now() - began); eventloop.Micros(told) > left+eventloop.Millisecond {
				t.Errorf("told %d ms, %d ms are left", told/1000, left/eventloop.Millisecond)
			}
			then(l)
		}
	}
	met := 0
	all(r.readers(), check(read))
	all(r.writers(), check(func(l *line) {
		if met++; met == 1 {
			l.answer(410, "", "Srv-Declined", "1")
			return
		}
		write(l)
	}))
	for _, h := range r.hosts {
		h.slack = 60 * eventloop.Millisecond // of a release
	}
	if got := r.final(r.ask("explain", "Req-Deadline", "480m")); got != 200 || r.releases() == 0 {
		t.Errorf("answered %d after %d releases", got, r.releases())
	}
	r.quiet()
}

// TestAnswerBeforeTheRequestHasLeft: a host that speaks before it has the whole request has not run it, whatever it says; its word is not
// taken for the answer.
func TestAnswerBeforeTheRequestHasLeft(t *testing.T) {
	r := newRig(t, 256, fleet...)
	r.w.ReceiveWindow = 16 << 10
	hasty := true
	for _, h := range r.writers() {
		h.ln.Close()
		h.ln, _ = h.loop.Listen(h.addr, func(c eventloop.Conn) eventloop.Handler {
			l := &line{h: h, conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
			if hasty { // it takes in what its window holds, reads nothing, and answers all the same
				hasty = false
				c.Pause(true)
				h.loop.AfterFunc(10*eventloop.Millisecond, func() { l.stream(`{"choices":[]}`); l.last() })
			}
			return l
		})
	}
	c := r.ask("post", "body", `{"messages":["`+strings.Repeat("x", 100<<10)+`"]}`)
	if got := r.final(c); got != 200 || hasty || len(c.got) == 0 || c.got[0] != word {
		t.Errorf("answered %d with %.60q", got, c.got)
	}
	r.quiet()
}

// TestHostThatDoesNotRead: an attempt that has not left in the time for a connection does not leave any more; it goes elsewhere, also with
// side effects, and a repeat can't arrive after its window.
func TestHostThatDoesNotRead(t *testing.T) {
	r := newRig(t, 256, fleet...)
	r.w.ReceiveWindow = 16 << 10
	var deaf eventloop.Conn
	for _, h := range r.writers() {
		h.ln.Close()
		h.ln, _ = h.loop.Listen(h.addr, func(c eventloop.Conn) eventloop.Handler {
			if deaf == nil {
				deaf = c
				c.Pause(true)
			}
			return &line{h: h, conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
		})
	}
	began := r.w.Now()
	c := r.ask("post", "body", `{"messages":["`+strings.Repeat("x", 100<<10)+`"]}`)
	if got := r.final(c); got != 200 {
		t.Errorf("answered %d", got)
	}
	if took := c.at - began; took > eventloop.Second || r.x.Outcomes[scheduler.Unreachable] != 1 {
		t.Errorf("answered after %d ms with outcomes %v", took/eventloop.Millisecond, r.x.Outcomes)
	}
	r.quiet()
}

// TestListThatTrickles: one that does not come to its end is given up when a silent watch would be, however its bytes come.
func TestListThatTrickles(t *testing.T) {
	for _, every := range []eventloop.Micros{100, 1900, 2990} {
		r := newRig(t, 256, fleet...)
		r.agent.watches[0].mute = true
		began := r.w.Now()
		var trickle func()
		trickle = func() {
			if !r.agent.watches[0].closed {
				r.agent.watches[0].conn.Write(http1.AppendChunk(nil, []byte("{ ")[:1+int(min(r.w.Now()-began, 1))]))
				r.far.AfterFunc(every*eventloop.Millisecond, trickle)
			}
		}
		r.far.Do(trickle)
		r.until(6*eventloop.Second, "another watch", func() bool { return len(r.agent.watches) == 2 })
		if took := r.w.Now() - began; took > 4*eventloop.Second {
			t.Errorf("a byte each %d ms: another watch after %d ms", every, took/eventloop.Millisecond)
		}
		r.w.Run(10 * eventloop.Second)
		if n := r.far.OpenConnections(); n != 1 {
			t.Errorf("%d watches are open", n)
		}
	}
}

// TestOlderList: a list of an older version does not take back that a host drains, is gone or has started anew.
func TestOlderList(t *testing.T) {
	r := newRig(t, 256, fleet...)
	started := func(h *host, ms int64) string {
		return strings.Replace(h.entry("SERVING"), `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, ms), 1)
	}
	now := int64(r.w.Now() / eventloop.Millisecond)
	r.agent.tell(false, r.hosts[0].entry("DRAINING"), r.hosts[2].entry("DELETED"), started(r.hosts[3], now))
	r.w.Run(10 * eventloop.Millisecond)
	r.agent.version -= 3
	r.agent.tell(true, r.hosts[0].entry("SERVING"), r.hosts[1].entry("SERVING"), r.hosts[2].entry("SERVING"), r.hosts[3].entry("SERVING"))
	r.w.Run(10 * eventloop.Millisecond)
	if len(r.x.ready) != 2 {
		t.Errorf("%d hosts are ready", len(r.x.ready))
	}
	if e := r.x.hosts[r.x.discovery.EndpointID(r.hosts[3].id)]; e.StartedAt != eventloop.Micros(now)*eventloop.Millisecond {
		t.Errorf("it started at %d", e.StartedAt)
	}
	// A newer one does, and so does an older one that names a new process.
	r.agent.tell(true, r.hosts[0].entry("SERVING"), r.hosts[1].entry("SERVING"), started(r.hosts[2], now+1), r.hosts[3].entry("SERVING"))
	r.w.Run(10 * eventloop.Millisecond)
	if len(r.x.ready) != 3 {
		t.Errorf("with a new process: %d hosts are ready", len(r.x.ready))
	}
	r.agent.version += 10
	r.agent.tell(true, r.hosts[0].entry("SERVING"), r.hosts[1].entry("SERVING"), r.hosts[2].entry("SERVING"), r.hosts[3].entry("SERVING"))
	r.w.Run(10 * eventloop.Millisecond)
	if len(r.x.ready) != 4 {
		t.Errorf("by a newer list: %d hosts are ready", len(r.x.ready))
	}
}

// TestWhenInformed: no request is taken before discovery has spoken or has had its chance to.
func TestWhenInformed(t *testing.T) {
	for _, away := range []bool{false, true} {
		r := newRig(t, 256, fleet...)
		r.agent.away, r.agent.watches = true, nil
		var at eventloop.Micros
		began := r.w.Now()
		r.loop.Do(func() {
			r.x.discovery.Close()
			r.x = Start(r.loop, r.x.config)
			r.x.WhenInformed(func() { at = r.w.Now() })
		})
		r.w.Run(300 * eventloop.Millisecond)
		if at != 0 {
			t.Fatal("informed before discovery has spoken")
		}
		if !away {
			r.far.Do(func() { r.agent.greet(r.agent.watches[0]) })
		}
		r.w.Run(eventloop.Second)
		if took := at - began; at == 0 || (took < 500*eventloop.Millisecond) == away {
			t.Errorf("away %v: informed after %d ms", away, took/eventloop.Millisecond)
		}
	}
}

// TestReadyWithoutHosts: a process that knows no host to serve with says that it is ready after a while, and rejects what comes.
func TestReadyWithoutHosts(t *testing.T) {
	r := newRig(t, 256)
	if r.w.Run(2 * eventloop.Second); r.x.Ready() {
		t.Error("ready at once")
	}
	if r.w.Run(4 * eventloop.Second); !r.x.Ready() {
		t.Error("never ready")
	}
	for _, class := range []string{"explain", "post"} {
		if got := r.final(r.ask(class)); got != 503 {
			t.Errorf("%s: answered %d", class, got)
		}
	}
}

// TestInOneRound: what a client and a host send is heard in one round, in either order: nothing is left behind, and no attempt begins
// after the close was heard.
func TestInOneRound(t *testing.T) {
	const pause = 50 * eventloop.Millisecond
	for name, arrive := range map[string]func(r *rig, c *client, l *line){
		"the close, then the first event": func(r *rig, c *client, l *line) {
			r.far.Do(c.conn.Abort)
			r.w.Run(5 * eventloop.Millisecond)
			l.stream(word)
		},
		"the first event, then the close": func(r *rig, c *client, l *line) {
			l.stream(word)
			r.w.Run(5 * eventloop.Millisecond)
			r.far.Do(c.conn.Abort)
		},
		"the close, then a refusal": func(r *rig, c *client, l *line) {
			r.far.Do(c.conn.Abort)
			r.w.Run(5 * eventloop.Millisecond)
			l.answer(503, "", "Srv-Declined", "1")
		},
		"the close, then the host's end": func(r *rig, c *client, l *line) {
			r.far.Do(c.conn.Abort)
			r.w.Run(5 * eventloop.Millisecond)
			l.conn.Abort()
		},
	} {
		for _, class := range []string{"explain", "post"} {
			r := newRig(t, 256, fleet...)
			var out *line
			all(r.writers(), func(l *line) { out = l })
			c := r.ask(class)
			r.until(eventloop.Second, "the decode attempt", func() bool { return out != nil })
			r.loop.Freeze(pause)
			attempts := r.legs()
			arrive(r, c, out)
			r.w.Run(pause + 50*eventloop.Millisecond)
			if !out.closed {
				t.Errorf("%s, %s: the attempt's connection is still open", name, class)
			}
			r.quiet()
			if n := r.legs() - attempts; n > 0 {
				t.Errorf("%s, %s: %d attempts began after the close", name, class, n)
			}
		}
	}
}

// TestRequestAndCloseInOneRound: the attempt that begins in the very moment is given up at once, and no other follows.
func TestRequestAndCloseInOneRound(t *testing.T) {
	r := newRig(t, 256, fleet...)
	all(r.hosts, func(*line) {})
	c := r.raw("")
	r.w.Run(10 * eventloop.Millisecond)
	r.loop.Freeze(50 * eventloop.Millisecond)
	r.far.Do(func() { c.conn.Write([]byte(r.request("explain"))); c.conn.Close() })
	r.w.Run(eventloop.Second)
	if r.x.Accepted > 1 || r.legs() > 1 || len(r.x.requests) > 0 {
		t.Errorf("%d were accepted, %d attempts arrived, %d requests are left", r.x.Accepted, r.legs(), len(r.x.requests))
	}
	r.quiet()
}

// TestSlowClientGoes: the end of a client is heard while its stream is slowed for it.
func TestSlowClientGoes(t *testing.T) {
	r := newRig(t, 256, "prefill", "decode")
	r.w.ReceiveWindow = 4 << 10
	var out *line
	r.hosts[1].serve = func(l *line) {
		out = l
		wordy(2000)(l)
	}
	c := r.ask("explain")
	r.until(eventloop.Second, "its stream", func() bool { return len(c.got) > 0 })
	r.far.Do(func() { c.conn.Pause(true) })
	r.w.Run(200 * eventloop.Millisecond)
	r.far.Do(c.conn.Abort)
	if r.w.Run(20 * eventloop.Millisecond); !out.closed || r.x.ClientsGone != 1 {
		t.Errorf("its host's connection is closed: %v; %d clients have gone", out.closed, r.x.ClientsGone)
	}
	r.quiet()
}
