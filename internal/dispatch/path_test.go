package dispatch

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/store"
	"plumspindle/scheduler"

	"github.com/rs/zerolog"
)

// fate is what the storm's hosts were seen to do for one client's generation.
type fate struct {
	product string
	call    *call
	left    bool
	ran     int // writes that were not refused in words
}

// storm sends generations through hosts that break at random, to clients that leave and lag at random, and counts
// final answers at the clients' sockets.
func storm(t *testing.T, n int, seed int64, change func(d deployment.Deployment)) *Dispatcher {
	chance := rand.New(rand.NewSource(seed))
	r := newRig(t, func(d deployment.Deployment) {
		d.Dispatching.SilenceMs = 400
		d.Doors.UnsentMost, d.Doors.StallMs = 2000, 1500
		for _, p := range d.Products {
			p.SloMs, p.TimeLimitMs = 300, 700
		}
		change(d)
	}, "prefill west", "prefill west", "prefill east", "decode west", "decode west", "decode east", "decode east", "mixed west")
	r.w.MaxSegment, r.w.ReceiveWindow = 900, 4<<10
	fates := map[string]*fate{}
	readBreaks := []func(*line){cut, reset, func(*line) {}, func(l *line) { l.answer(500, `{}`) }, func(l *line) { l.answer(429, `{"error":{"code":"full"}}`) },
		func(l *line) {
			r.far.AfterFunc(eventloop.Micros(chance.Intn(900))*eventloop.Millisecond, func() { read(l) })
		},
		func(l *line) {
			r.far.AfterFunc(eventloop.Micros(chance.Intn(900))*eventloop.Millisecond, func() { l.answer(429, `{"error":{"code":"full"}}`) })
		}}
	var hung *script // takes all and answers nothing, for some seconds
	proofs := map[string]bool{"full": true, "draining": true, "state lost": true}
	for _, h := range r.hosts {
		h.serve = func(l *line) {
			if l.s == hung {
				if f := fates[l.head.Get("x-client-request-id")]; !strings.Contains(string(l.body), "do_remote_decode") {
					f.ran++
				}
				return
			}
			if strings.Contains(string(l.body), "do_remote_decode") {
				if chance.Intn(6) == 0 {
					readBreaks[chance.Intn(len(readBreaks))](l)
				} else {
					r.far.AfterFunc(eventloop.Micros(chance.Intn(30_000)), func() { read(l) })
				}
				return
			}
			f := fates[l.head.Get("x-client-request-id")]
			switch chance.Intn(10) {
			case 0, 1:
				b := breaks[chance.Intn(len(breaks))]
				if !proofs[b.name] {
					f.ran++
				}
				b.serve(l)
			case 2: // late, perhaps too late
				f.ran++
				r.far.AfterFunc(eventloop.Micros(chance.Intn(900))*eventloop.Millisecond, func() { write(l) })
			case 3: // long, so that a client can leave, lag, or run out of time in it
				f.ran++
				l.stream(event("Lamu ", ""))
				parts := chance.Intn(40)
				for i := range parts {
					r.far.AfterFunc(eventloop.Micros(i*20)*eventloop.Millisecond, func() { l.conn.Write(http1.AppendChunk(nil, []byte(event(strings.Repeat("\u2063", 400), "")))) })
				}
				r.far.AfterFunc(eventloop.Micros(parts*20)*eventloop.Millisecond, func() {
					l.conn.Write(http1.AppendLastChunk(http1.AppendChunk(nil, []byte(event("é", "stop")+"data: [DONE]\n\n"))))
				})
			default:
				f.ran++
				write(l)
			}
		}
	}
	products := []string{"explain", "build-note", "review-post"}
	for i := range n {
		f := &fate{product: products[chance.Intn(3)]}
		id := fmt.Sprintf("s%d", i)
		fates[id] = f
		stream := chance.Intn(5) > 0
		body := fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"system","content":"text %d"},{"role":"user","content":"why?"}]}`, f.product, stream, chance.Intn(4))
		fields := []string{"x-client-request-id", id, "Connection", "close"}
		if chance.Intn(4) == 0 {
			fields = append(fields, "Idempotency-Key", id)
		}
		if chance.Intn(10) == 0 {
			fields = append(fields, "x-heartbeat-ms", "250")
		}
		f.call = r.send(body, fields...)
		switch chance.Intn(12) {
		case 0:
			r.far.AfterFunc(eventloop.Micros(chance.Intn(500_000)), func() {
				if len(f.call.finals) == 0 {
					f.left = true
					f.call.conn.Abort()
				}
			})
		case 1:
			r.far.AfterFunc(eventloop.Micros(chance.Intn(60_000)), func() { f.call.conn.Pause(true) })
			r.far.AfterFunc(eventloop.Micros(60_000+chance.Intn(400_000)), func() { f.call.conn.Pause(false) })
		}
		if chance.Intn(100) == 0 { // as where a tenant is removed
			if g := r.x.gens[scheduler.RequestID(int(r.x.lastGen)-chance.Intn(12))]; g != nil {
				r.loop.Do(func() { r.x.take(g, lifecycle.TenantStopped, what{why: "The tenant was removed."}) })
			}
		}
		if chance.Intn(700) == 0 {
			hung = r.hosts[chance.Intn(len(r.hosts))]
			r.far.AfterFunc(3*eventloop.Second, func() { hung = nil })
		}
		if chance.Intn(500) == 0 {
			h := r.hosts[chance.Intn(len(r.hosts))]
			r.told(h.entry("draining"))
			r.far.AfterFunc(300*eventloop.Millisecond, func() { r.told(h.entry("ready")) })
		}
		r.w.Run(eventloop.Micros(chance.Intn(9_000)))
	}
	r.w.Run(30 * eventloop.Second)
	r.idle()
	bad := 0
	for id, f := range fates {
		finals := len(f.call.finals)
		wrong := finals != 1 && !(f.left && finals == 0) || f.call.after > 0
		if finals == 1 && f.call.finals[0] == "streamed" {
			text := strings.ReplaceAll(f.call.text, "\u2063", "")
			wrong = wrong || f.call.head.Get("Content-Type") != "application/json" && text != whole
		}
		wrong = wrong || f.product == "review-post" && f.ran > 1
		if wrong {
			if bad++; bad < 10 {
				t.Errorf("%s (%s): finals %v, after %d, left %v, ran %d, closed %v, %d bytes, last %.120q", id, f.product, f.call.finals,
					f.call.after, f.left, f.ran, f.call.closed, len(f.call.raw), f.call.raw[max(0, len(f.call.raw)-120):])
			}
		}
	}
	if bad > 0 {
		t.Errorf("%d of %d wrong", bad, n)
	}
	for _, h := range r.hosts {
		if r.x.engine.InFlight(h.entry("ready").ID) != 0 {
			t.Errorf("legs left out at host %d", h.id)
		}
	}
	return r.x
}

// Twenty thousand generations under breaks: one final answer each, byte for byte where it is streamed, no
// side-effecting one run twice, nothing left, and every cell of the path's table reached.
func TestTwentyThousandGenerations(t *testing.T) {
	var all lifecycle.Coverage
	for i, x := range []*Dispatcher{
		storm(t, 6000, 1, func(d deployment.Deployment) { d.Tenants[0].QuotaPerS = 60 }),
		storm(t, 4000, 3, func(d deployment.Deployment) {
			for _, p := range d.Products {
				p.SloMs, p.TimeLimitMs = 1000, 5000
			}
		}),
		storm(t, 10000, 2, func(d deployment.Deployment) { d.Dispatching.MayCancel = false }),
	} {
		t.Logf("storm %d: taken %d, streamed %d, throttled %d, terminated %d, left %d", i+1, x.Accepted, x.Completed, x.Rejected, x.Failed, x.Disconnected)
		for s := range x.Coverage {
			for e, n := range x.Coverage[s] {
				all[s][e] += n
			}
		}
	}
	for s := range lifecycle.Transitions {
		for e, step := range lifecycle.Transitions[s] {
			if step.Defined {
				t.Logf("%-10v %-16v %8d", lifecycle.State(s), lifecycle.Event(e), all[s][e])
				if all[s][e] == 0 && lifecycle.Event(e) != lifecycle.PrefillOnlyCompleted { // TestReadEndsAfterItsClientLeft reaches those
					t.Errorf("%v in %v was never reached", lifecycle.Event(e), lifecycle.State(s))
				}
			}
		}
	}
}

// A repeat with the key of a running generation joins it, from its first token; of a streamed one it is sent the same
// answer; of one that may have run and was lost it is told so. Nothing is run twice.
func TestIdempotencyKey(t *testing.T) {
	for _, product := range []string{"build-note", "review-post"} {
		r := newRig(t, nil, "prefill west", "decode west", "decode west")
		var l1 *line
		for _, h := range r.hosts[1:] {
			h.serve = func(l *line) { l1 = l; l.stream(event("Lamu ", "")) }
		}
		writes := func() int { return r.hosts[1].legs() + r.hosts[2].legs() }
		first := r.ask(product, "Idempotency-Key", "k")
		r.w.Run(50 * eventloop.Millisecond)
		second := r.ask(product, "Idempotency-Key", "k")
		r.w.Run(50 * eventloop.Millisecond)
		r.far.Do(first.conn.Abort) // the generation goes on for the other
		r.w.Run(50 * eventloop.Millisecond)
		r.far.Do(second.conn.Abort) // and for one that may come
		r.w.Run(50 * eventloop.Millisecond)
		third := r.ask(product, "Idempotency-Key", "k")
		r.w.Run(50 * eventloop.Millisecond)
		r.far.Do(func() {
			l1.conn.Write(http1.AppendLastChunk(http1.AppendChunk(nil, []byte(event("é", "stop")+"data: [DONE]\n\n"))))
		})
		r.ends(third, "streamed")
		fourth := r.ask(product, "Idempotency-Key", "k")
		r.ends(fourth, "streamed")
		if second.text != "Lamu " || third.text != whole || fourth.text != whole || writes() != 1 {
			t.Errorf("%s: texts %q, %q, %q; written %d times", product, second.text, third.text, fourth.text, writes())
		}
		r.ends(r.send(`{"model":"`+product+`","stream":true,"messages":[{"role":"user","content":"other"}]}`, "Idempotency-Key", "k"), "422")
		r.hosts[0].serve = func(l *line) { r.far.AfterFunc(100*eventloop.Millisecond, func() { read(l) }) }
		r.hosts[1].serve, r.hosts[2].serve = write, write
		early := r.ask(product, "Idempotency-Key", "m")
		r.w.Run(10 * eventloop.Millisecond)
		joined := r.ask(product, "Idempotency-Key", "m") // while the prompt is still read
		r.ends(joined, "streamed")
		r.ends(early, "streamed")
		r.hosts[1].serve, r.hosts[2].serve = reset, reset
		lost := r.ask("review-post", "Idempotency-Key", "l")
		r.ends(lost, "terminated")
		before := writes()
		again := r.ask("review-post", "Idempotency-Key", "l")
		r.ends(again, "409")
		if again.head.Get("x-should-retry") != "false" || writes() != before {
			t.Errorf("a lost one: x-should-retry %q, %d more writes", again.head.Get("x-should-retry"), writes()-before)
		}
	}
}

// What was throttled did not run, so its key is free; so is that of an idempotent product, which needs none.
func TestKeyOfWhatDidNotRun(t *testing.T) {
	r := newRig(t, nil, "prefill west", "decode west")
	r.told(r.hosts[1].entry("gone"))
	r.ends(r.ask("review-post", "Idempotency-Key", "k", "x-time-limit-ms", "300"), "throttled")
	r.told(r.hosts[1].entry("ready"))
	r.ends(r.ask("review-post", "Idempotency-Key", "k"), "streamed")
	r.ends(r.ask("explain", "Idempotency-Key", "k"), "streamed")
	r.ends(r.ask("explain", "Idempotency-Key", "k"), "streamed")
	if n := r.hosts[1].legs(); n != 3 {
		t.Errorf("written %d times", n)
	}
	r.ends(r.ask("review-post", "Idempotency-Key", strings.Repeat("k", 300)), "400")
}

// Comments keep a held stream alive; the answer, or the throttling as an event, follows them.
func TestHeartbeat(t *testing.T) {
	r := newRig(t, nil, "prefill west", "decode west")
	r.told(r.hosts[1].entry("gone"))
	c := r.ask("explain", "x-heartbeat-ms", "250")
	r.w.Run(1100 * eventloop.Millisecond)
	if n := strings.Count(string(c.raw), ": waiting"); n != 4 {
		t.Errorf("%d comments", n)
	}
	r.told(r.hosts[1].entry("ready"))
	r.ends(c, "streamed")
	if c.text != whole {
		t.Errorf("text %q", c.text)
	}
	r.told(r.hosts[1].entry("gone"))
	c = r.ask("explain", "x-heartbeat-ms", "250")
	r.ends(c, "terminated") // an error event
	if !strings.Contains(string(c.raw), `"code":"throttled"`) || strings.Contains(string(c.raw), "[DONE]") || !c.closed {
		t.Errorf("raw %.300q", c.raw)
	}
}

// instant is a Disk in memory that answers after the call.
type instant struct {
	loop  eventloop.Loop
	files map[string][]byte
	fails bool
}

func (d *instant) List() (names []string, err error) {
	for n := range d.files {
		names = append(names, n)
	}
	return names, nil
}
func (d *instant) Read(name string) ([]byte, error) { return d.files[name], nil }
func (d *instant) Truncate(name string, size int64) error {
	d.files[name] = d.files[name][:size]
	return nil
}
func (d *instant) Remove(name string, done func(error)) { delete(d.files, name); d.tell(done) }
func (d *instant) Append(name string, b []byte, done func(error)) {
	if !d.fails {
		d.files[name] = append(d.files[name], b...)
	}
	d.tell(done)
}
func (d *instant) Write(name string, build func() []byte, done func(error)) {
	d.files[name] = build()
	d.tell(done)
}
func (d *instant) tell(done func(error)) {
	var err error
	if d.fails {
		err = errors.New("no space left on device")
	}
	d.loop.AfterFunc(2*eventloop.Millisecond, func() { done(err) })
}

// A dispatcher is killed while a keyed, side-effecting generation is being written. Its next life does not run the client's
// repeat; without the record of intents it does.
func TestIntentSurvivesAKill(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		r := newRig(t, nil, "prefill west", "decode west", "decode west")
		disk := &instant{loop: r.far, files: map[string][]byte{}}
		life := func(name string) {
			loop := r.w.NewLoop(name)
			r.loop, disk.loop = loop, loop
			post := Config{Name: name, Zone: "west", Seed: 1, CachedEndpoints: [][]byte{r.kept}, Log: zerolog.Nop()}
			loop.Do(func() {
				var err error
				if keeps {
					if post.Intents, err = store.Open(disk, store.DefaultLimits); err != nil {
						t.Fatal(err)
					}
				}
				if r.x, err = Start(loop, r.d, post); err != nil {
					t.Fatal(err)
				}
				ln, err := loop.Listen("127.0.0.1:0", r.x.Front().Accept)
				if err != nil {
					t.Fatal(err)
				}
				r.addr = ln.Addr()
			})
		}
		life("d.1")
		for _, h := range r.hosts[1:] {
			h.serve = func(l *line) { l.stream(event("Lamu ", "")) }
		}
		writes := func() int { return r.hosts[1].legs() + r.hosts[2].legs() }
		r.ask("review-post", "Idempotency-Key", "k")
		r.w.Run(200 * eventloop.Millisecond)
		if writes() != 1 {
			t.Fatalf("keeps %v: written %d times", keeps, writes())
		}
		r.virtual().Kill()
		life("d.2")
		for _, h := range r.hosts[1:] {
			h.serve = write
		}
		if keeps {
			r.ends(r.ask("review-post", "Idempotency-Key", "k"), "409")
		} else {
			r.ends(r.ask("review-post", "Idempotency-Key", "k"), "streamed")
		}
		if twice := writes() == 2; twice == keeps {
			t.Errorf("keeps %v: written %d times", keeps, writes())
		}
		r.ends(r.ask("review-post", "Idempotency-Key", "other"), "streamed")
		if !keeps {
			continue
		}
		before := writes()
		disk.fails = true // what can't be kept is not run, and may come again
		r.ends(r.ask("review-post", "Idempotency-Key", "third"), "throttled")
		r.ends(r.ask("review-post"), "streamed")
		if writes() != before+1 {
			t.Errorf("written %d times more", writes()-before)
		}
	}
}

// The client of a keyed generation leaves while it is being written, and the writer then says that it has not run it: nobody waits,
// and nothing of it is left to wait for. Its key is free.
func TestRefusedAfterItsClientLeft(t *testing.T) {
	r := newRig(t, nil, "prefill west", "decode west")
	r.hosts[1].serve = func(l *line) {
		r.far.AfterFunc(100*eventloop.Millisecond, func() { l.answer(429, `{"error":{"code":"full"}}`) })
	}
	c := r.ask("review-post", "Idempotency-Key", "k")
	r.w.Run(50 * eventloop.Millisecond)
	r.far.Do(c.conn.Abort)
	r.w.Run(100 * eventloop.Millisecond)
	if err := r.x.Check(); err != nil || r.x.OpenRequests() > 0 || r.hosts[0].releases() != 1 {
		t.Errorf("%v; left %v; %d releases", err, r.x.DescribeOpen(), r.hosts[0].releases())
	}
	r.hosts[1].serve = write
	r.ends(r.ask("review-post", "Idempotency-Key", "k"), "streamed")
}
