package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/sockets"
	"plumspindle/internal/store"
	"plumspindle/internal/virtual"
)

const key = "sk-test"

// harness is one dispatcher in virtual time, with hosts that do what a test scripts.
type harness struct {
	t          *testing.T
	world      *virtual.Network // none over sockets
	loop       testLoop
	remote     testLoop // of hosts and clients
	deployment deployment.Deployment
	dispatcher *Dispatcher
	addr       string
	endpoints  []*fakeEndpoint
	list       endpoints.Update
	cachedList []byte // the list, as it is kept
}

// testLoop is a loop of either seam.
type testLoop interface {
	eventloop.Loop
	Do(f func())
}

// newHarness makes a dispatcher with a list of hosts like "prefill west".
func newHarness(t *testing.T, change func(d deployment.Deployment), hosts ...string) *harness {
	t.Helper()
	d := deployment.Standard()
	digest := sha256.Sum256([]byte(key))
	d.Tenants = []*pb.Tenant{{Name: "one", KeySha256: []string{hex.EncodeToString(digest[:])}}}
	if change != nil {
		change(d)
	}
	w := virtual.NewNetwork(1)
	r := &harness{t: t, world: w, loop: w.NewLoop("d"), remote: w.NewLoop("far"), deployment: d}
	r.start(hosts)
	return r
}

// newSocketHarness is the same over real sockets, with clients and streams of less patience.
func newSocketHarness(t *testing.T, hosts ...string) *harness {
	t.Helper()
	d := deployment.Standard()
	d.Dispatching.SilenceMs = 300
	for _, p := range d.Products {
		p.SloMs, p.TimeLimitMs = 600, 900
	}
	digest := sha256.Sum256([]byte(key))
	d.Tenants = []*pb.Tenant{{Name: "one", KeySha256: []string{hex.EncodeToString(digest[:])}}}
	var loops [2]*sockets.Loop
	for i := range loops {
		var err error
		if loops[i], err = sockets.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(loops[i].Stop)
	}
	r := &harness{t: t, loop: loops[0], remote: loops[1], deployment: d}
	r.start(hosts)
	return r
}

// start brings up the hosts and the dispatcher.
func (r *harness) start(hosts []string) {
	r.t.Helper()
	r.list = endpoints.Update{Epoch: "e", Version: 1, Complete: true, SavedAt: int64(r.remote.Now())}
	for i, h := range hosts {
		kind, zone, _ := strings.Cut(h, " ")
		s := &fakeEndpoint{harness: r, id: uint32(i + 1), kind: kind, zone: zone, serve: answerPrefill}
		if kind != "prefill" {
			s.serve = answerDecode
		}
		r.remote.Do(s.listen)
		r.endpoints = append(r.endpoints, s)
		r.list.Endpoints = append(r.list.Endpoints, s.entry("ready"))
	}
	r.cachedList, _ = json.Marshal(r.list)
	var err error
	r.loop.Do(func() {
		r.dispatcher, err = Start(r.loop, r.deployment, Config{Name: "d", Zone: "west", Seed: 1, CachedEndpoints: [][]byte{r.cachedList}, Log: zerolog.Nop()})
		if err != nil {
			return
		}
		ln, e := r.loop.Listen("127.0.0.1:0", r.dispatcher.Frontend().Accept)
		r.addr, err = ln.Addr(), e
	})
	if err != nil {
		r.t.Fatal(err)
	}
}

// startWithIntents starts a dispatcher anew, with its intents in a folder of the world.
func (r *harness) startWithIntents(f *virtual.Disk) {
	r.t.Helper()
	loop := r.world.NewLoop("kept")
	r.loop = loop
	loop.Do(func() {
		intents, err := store.Open(f.AttachTo(loop), store.DefaultLimits)
		if err != nil {
			r.t.Fatal(err)
		}
		if r.dispatcher, err = Start(loop, r.deployment, Config{Name: "kept", Zone: "west", Seed: 1, CachedEndpoints: [][]byte{r.cachedList}, Log: zerolog.Nop(), Intents: intents}); err != nil {
			r.t.Fatal(err)
		}
		ln, err := loop.Listen("127.0.0.1:0", r.dispatcher.Frontend().Accept)
		if err != nil {
			r.t.Fatal(err)
		}
		r.addr = ln.Addr()
	})
}

// runUntil lets time pass until something holds of the hosts and clients.
func (r *harness) runUntil(span eventloop.Micros, holds func() bool) bool {
	if r.world != nil {
		return r.world.RunUntil(span, holds)
	}
	for end := r.remote.Now() + span; ; {
		var held bool
		r.remote.Do(func() { held = holds() })
		if held || r.remote.Now() > end {
			return held
		}
		time.Sleep(time.Millisecond) // real sockets take real time
	}
}

// updateEndpoints passes a change of the list to the dispatcher.
func (r *harness) updateEndpoints(entries ...endpoints.Entry) {
	r.loop.Do(func() { r.dispatcher.endpointsUpdated(entries, false) })
}

// virtual is a rig's loop as one of the world's.
func (r *harness) virtual() *virtual.Loop { return r.loop.(*virtual.Loop) }

// expectFinal waits for the final answer, and checks that it is the one and that nothing remains.
func (r *harness) expectFinal(c *clientCall, want string) {
	r.t.Helper()
	r.runUntil(30*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if r.world != nil {
		r.world.Run(eventloop.Second)
	} else {
		r.runUntil(2*eventloop.Second, func() bool {
			running := 0
			r.loop.Do(func() { running = r.dispatcher.OpenRequests() })
			return running == 0
		})
	}
	if len(c.finals) != 1 || c.finals[0] != want || c.eventsAfterFinal > 0 {
		r.t.Errorf("final answers %v (%d events after), want %s; raw %.300q", c.finals, c.eventsAfterFinal, want, c.raw)
	}
	r.expectIdle()
}

func (r *harness) expectIdle() {
	r.t.Helper()
	r.loop.Do(func() {
		if r.dispatcher.OpenRequests() != 0 {
			r.t.Errorf("left over: %v", r.dispatcher.DescribeOpenRequests())
		}
	})
}

// expectRelease lets time pass until a reader has been told to let go of what it held, and fails where that takes too long.
func (r *harness) expectRelease(reader *fakeEndpoint, before int, what string) {
	r.t.Helper()
	if !r.runUntil(eventloop.Micros(r.deployment.Rules.LetGoMs)*eventloop.Millisecond, func() bool { return reader.releases() > before }) {
		r.t.Errorf("%s: the reader was not told to let go in time", what)
	}
}
