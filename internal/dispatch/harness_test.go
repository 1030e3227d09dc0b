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

// harness is one dispatcher with fake endpoints and clients that do what a test scripts, in virtual time or over
// sockets.
type harness struct {
	t          *testing.T
	world      *virtual.Network // nil over sockets
	loop       testLoop
	remote     testLoop // of endpoints and clients
	deployment deployment.Deployment
	dispatcher *Dispatcher
	addr       string
	endpoints  []*fakeEndpoint
	list       endpoints.Update
	cachedList []byte // the list, as it is cached
}

// testLoop is a loop in virtual time or over sockets.
type testLoop interface {
	eventloop.Loop
	Do(f func())
}

// testTenant is the tenant of the tests' key.
func testTenant() *pb.Tenant {
	digest := sha256.Sum256([]byte(key))
	return &pb.Tenant{Name: "one", KeySha256: []string{hex.EncodeToString(digest[:])}}
}

// newHarness starts a dispatcher in virtual time with a list of endpoints like "prefill west".
func newHarness(t *testing.T, change func(dep deployment.Deployment), kindsAndZones ...string) *harness {
	t.Helper()
	dep := deployment.Standard()
	dep.Tenants = []*pb.Tenant{testTenant()}
	if change != nil {
		change(dep)
	}
	world := virtual.NewNetwork(1)
	r := &harness{t: t, world: world, loop: world.NewLoop("d"), remote: world.NewLoop("far"), deployment: dep}
	r.start(kindsAndZones)
	return r
}

// newSocketHarness does the same over real sockets, with shorter timeouts. A silent endpoint's attempt is cancelled
// after 0.8 s, so that the time limit leaves as much again for the retry, also where processors are short; what must
// happen within the limit is checked in virtual time.
func newSocketHarness(t *testing.T, kindsAndZones ...string) *harness {
	t.Helper()
	dep := deployment.Standard()
	dep.Dispatching.SilenceMs = 300
	for _, p := range dep.Products {
		p.SloMs, p.TimeLimitMs = 600, 1700
	}
	dep.Tenants = []*pb.Tenant{testTenant()}
	var loops [2]*sockets.Loop
	for i := range loops {
		var err error
		if loops[i], err = sockets.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(loops[i].Stop)
	}
	r := &harness{t: t, loop: loops[0], remote: loops[1], deployment: dep}
	r.start(kindsAndZones)
	return r
}

// start brings up the endpoints and the dispatcher.
func (r *harness) start(kindsAndZones []string) {
	r.t.Helper()
	r.list = endpoints.Update{Epoch: "e", Version: 1, Complete: true, SavedAt: int64(r.remote.Now())}
	for i, kindAndZone := range kindsAndZones {
		kind, zone, _ := strings.Cut(kindAndZone, " ")
		endpoint := &fakeEndpoint{harness: r, id: uint32(i + 1), kind: kind, zone: zone, serve: answerPrefill}
		if kind != "prefill" {
			endpoint.serve = answerDecode
		}
		r.remote.Do(endpoint.listen)
		r.endpoints = append(r.endpoints, endpoint)
		r.list.Endpoints = append(r.list.Endpoints, endpoint.entry("ready"))
	}
	var err error
	if r.cachedList, err = json.Marshal(r.list); err != nil {
		r.t.Fatal(err)
	}
	r.startDispatcher(r.loop, func(*Config) error { return nil })
}

// startDispatcher starts a dispatcher on a loop, in place of the one before; configure runs on the loop.
func (r *harness) startDispatcher(loop testLoop, configure func(*Config) error) {
	r.t.Helper()
	r.loop = loop
	config := Config{
		Name:            "d",
		Zone:            r.deployment.Zones[0],
		Seed:            1,
		CachedEndpoints: [][]byte{r.cachedList},
		Log:             zerolog.Nop(),
	}
	var err error
	loop.Do(func() {
		if err = configure(&config); err != nil {
			return
		}
		if r.dispatcher, err = Start(loop, r.deployment, config); err != nil {
			return
		}
		listener, listenErr := loop.Listen("127.0.0.1:0", r.dispatcher.Frontend().Accept)
		r.addr, err = listener.Addr(), listenErr
	})
	if err != nil {
		r.t.Fatal(err)
	}
}

// startWithIntents starts a dispatcher anew, with its intents on a disk of the virtual network.
func (r *harness) startWithIntents(disk *virtual.Disk) {
	r.t.Helper()
	loop := r.world.NewLoop("durable")
	r.startDispatcher(loop, func(config *Config) (err error) {
		config.Name = "durable"
		config.Intents, err = store.Open(disk.AttachTo(loop), store.DefaultLimits)
		return err
	})
}

// runUntil lets time pass until a condition holds of the endpoints and clients.
func (r *harness) runUntil(timeout eventloop.Micros, condition func() bool) bool {
	if r.world != nil {
		return r.world.RunUntil(timeout, condition)
	}
	ticker := time.NewTicker(time.Millisecond) // real sockets take real time
	defer ticker.Stop()
	for end := r.remote.Now() + timeout; ; <-ticker.C {
		var holds bool
		r.remote.Do(func() { holds = condition() })
		if holds || r.remote.Now() > end {
			return holds
		}
	}
}

// updateEndpoints passes a change of the list to the dispatcher.
func (r *harness) updateEndpoints(entries ...endpoints.Entry) {
	r.loop.Do(func() { r.dispatcher.endpointsUpdated(entries, false) })
}

// replaceEndpoints passes a complete list to the dispatcher.
func (r *harness) replaceEndpoints(entries ...endpoints.Entry) {
	r.loop.Do(func() { r.dispatcher.endpointsUpdated(entries, true) })
}

// virtual is the dispatcher's loop as one of the virtual network's.
func (r *harness) virtual() *virtual.Loop { return r.loop.(*virtual.Loop) }

// expectFinal waits for the final answer, and checks that it is the only one and that nothing is left.
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

// decodes counts the attempts at all endpoints but the first, which is a prefill endpoint in the tests that ask.
func (r *harness) decodes() (n int) {
	for _, endpoint := range r.endpoints[1:] {
		n += endpoint.attempts()
	}
	return n
}

// serveDecodes sets what all endpoints but the first do.
func (r *harness) serveDecodes(serve func(*fakeConn)) {
	for _, endpoint := range r.endpoints[1:] {
		endpoint.serve = serve
	}
}

// expectRelease lets time pass until a prefill endpoint has got a release, and fails where that takes too long.
func (r *harness) expectRelease(endpoint *fakeEndpoint, before int, what string) {
	r.t.Helper()
	timeout := milliseconds(r.deployment.Rules.LetGoMs)
	if !r.runUntil(timeout, func() bool { return endpoint.releases() > before }) {
		r.t.Errorf("%s: the prefill state was not released in time", what)
	}
}
