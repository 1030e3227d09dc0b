package dispatch

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/lifecycle"
	"plumspindle/scheduler"
)

// requestFate is what the storm's hosts were seen to do for one client's generation.
type requestFate struct {
	product string
	call    *clientCall
	left    bool
	ran     int // writes that were not refused in words
}

// storm sends generations through hosts that break at random, to clients that leave and lag at random, and counts
// final answers at the clients' sockets.
func storm(t *testing.T, n int, seed int64, change func(d deployment.Deployment)) *Dispatcher {
	chance := rand.New(rand.NewSource(seed))
	r := newHarness(t, func(d deployment.Deployment) {
		d.Dispatching.SilenceMs = 400
		d.Doors.UnsentMost, d.Doors.StallMs = 2000, 1500
		for _, p := range d.Products {
			p.SloMs, p.TimeLimitMs = 300, 700
		}
		change(d)
	}, "prefill west", "prefill west", "prefill east", "decode west", "decode west", "decode east", "decode east", "mixed west")
	r.world.MaxSegment, r.world.ReceiveWindow = 900, 4<<10
	fates := map[string]*requestFate{}
	readBreaks := []func(*fakeConn){closeConn, abortConn, func(*fakeConn) {}, func(l *fakeConn) { l.answer(500, `{}`) }, func(l *fakeConn) { l.answer(429, `{"error":{"code":"full"}}`) },
		func(l *fakeConn) {
			r.remote.AfterFunc(eventloop.Micros(chance.Intn(900))*eventloop.Millisecond, func() { answerPrefill(l) })
		},
		func(l *fakeConn) {
			r.remote.AfterFunc(eventloop.Micros(chance.Intn(900))*eventloop.Millisecond, func() { l.answer(429, `{"error":{"code":"full"}}`) })
		}}
	var hung *fakeEndpoint // takes all and answers nothing, for some seconds
	proofs := map[string]bool{"full": true, "draining": true, "state lost": true}
	for _, h := range r.endpoints {
		h.serve = func(l *fakeConn) {
			if l.endpoint == hung {
				if f := fates[l.head.Get("x-client-request-id")]; !strings.Contains(string(l.body), "do_remote_decode") {
					f.ran++
				}
				return
			}
			if strings.Contains(string(l.body), "do_remote_decode") {
				if chance.Intn(6) == 0 {
					readBreaks[chance.Intn(len(readBreaks))](l)
				} else {
					r.remote.AfterFunc(eventloop.Micros(chance.Intn(30_000)), func() { answerPrefill(l) })
				}
				return
			}
			f := fates[l.head.Get("x-client-request-id")]
			switch chance.Intn(10) {
			case 0, 1:
				b := decodeFailures[chance.Intn(len(decodeFailures))]
				if !proofs[b.name] {
					f.ran++
				}
				b.serve(l)
			case 2: // late, perhaps too late
				f.ran++
				r.remote.AfterFunc(eventloop.Micros(chance.Intn(900))*eventloop.Millisecond, func() { answerDecode(l) })
			case 3: // long, so that a client can leave, lag, or run out of time in it
				f.ran++
				l.stream(chunkEvent("Lamu ", ""))
				parts := chance.Intn(40)
				for i := range parts {
					r.remote.AfterFunc(eventloop.Micros(i*20)*eventloop.Millisecond, func() { l.conn.Write(http1.AppendChunk(nil, []byte(chunkEvent(strings.Repeat("\u2063", 400), "")))) })
				}
				r.remote.AfterFunc(eventloop.Micros(parts*20)*eventloop.Millisecond, func() {
					l.conn.Write(http1.AppendLastChunk(http1.AppendChunk(nil, []byte(chunkEvent("é", "stop")+"data: [DONE]\n\n"))))
				})
			default:
				f.ran++
				answerDecode(l)
			}
		}
	}
	products := []string{"explain", "build-note", "review-post"}
	for i := range n {
		f := &requestFate{product: products[chance.Intn(3)]}
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
			r.remote.AfterFunc(eventloop.Micros(chance.Intn(500_000)), func() {
				if len(f.call.finals) == 0 {
					f.left = true
					f.call.conn.Abort()
				}
			})
		case 1:
			r.remote.AfterFunc(eventloop.Micros(chance.Intn(60_000)), func() { f.call.conn.Pause(true) })
			r.remote.AfterFunc(eventloop.Micros(60_000+chance.Intn(400_000)), func() { f.call.conn.Pause(false) })
		}
		if chance.Intn(100) == 0 { // as where a tenant is removed
			if g := r.dispatcher.requests[scheduler.RequestID(int(r.dispatcher.lastRequestID)-chance.Intn(12))]; g != nil {
				r.loop.Do(func() {
					r.dispatcher.fireWith(g, lifecycle.TenantStopped, eventDetails{reason: "The tenant was removed."})
				})
			}
		}
		if chance.Intn(700) == 0 {
			hung = r.endpoints[chance.Intn(len(r.endpoints))]
			r.remote.AfterFunc(3*eventloop.Second, func() { hung = nil })
		}
		if chance.Intn(500) == 0 {
			h := r.endpoints[chance.Intn(len(r.endpoints))]
			r.updateEndpoints(h.entry("draining"))
			r.remote.AfterFunc(300*eventloop.Millisecond, func() { r.updateEndpoints(h.entry("ready")) })
		}
		r.world.Run(eventloop.Micros(chance.Intn(9_000)))
	}
	r.world.Run(30 * eventloop.Second)
	r.expectIdle()
	bad := 0
	for id, f := range fates {
		finals := len(f.call.finals)
		wrong := finals != 1 && !(f.left && finals == 0) || f.call.eventsAfterFinal > 0
		if finals == 1 && f.call.finals[0] == "streamed" {
			text := strings.ReplaceAll(f.call.text, "\u2063", "")
			wrong = wrong || f.call.head.Get("Content-Type") != "application/json" && text != completeText
		}
		wrong = wrong || f.product == "review-post" && f.ran > 1
		if wrong {
			if bad++; bad < 10 {
				t.Errorf("%s (%s): finals %v, after %d, left %v, ran %d, closed %v, %d bytes, last %.120q", id, f.product, f.call.finals,
					f.call.eventsAfterFinal, f.left, f.ran, f.call.closed, len(f.call.raw), f.call.raw[max(0, len(f.call.raw)-120):])
			}
		}
	}
	if bad > 0 {
		t.Errorf("%d of %d wrong", bad, n)
	}
	for _, h := range r.endpoints {
		if r.dispatcher.engine.InFlight(h.entry("ready").ID) != 0 {
			t.Errorf("legs left out at host %d", h.id)
		}
	}
	return r.dispatcher
}

// Twenty thousand generations under breaks: one final answer each, byte for byte where it is streamed, no
// side-effecting one run twice, nothing left, and every cell of the path's table reached.
func TestTwentyThousandRequestsThroughFailures(t *testing.T) {
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
