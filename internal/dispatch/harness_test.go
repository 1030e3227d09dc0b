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

const apiKey = "sk-test"

// harness runs one dispatcher with fake endpoints and clients, whose behaviour each test defines, in virtual time or
// over sockets.
type harness struct {
	t          *testing.T
	network    *virtual.Network // nil over sockets
	loop       testLoop
	remote     testLoop // the loop of the endpoints and clients
	deployment deployment.Deployment
	dispatcher *Dispatcher
	addr       string
	endpoints  []*fakeEndpoint
	list       endpoints.Update
	cachedList []byte // the field list in the form in which a dispatcher caches it
}

// testLoop is an event loop in virtual time or over sockets.
type testLoop interface {
	eventloop.Loop
	Do(f func())
}

// testTenant returns the tenant that the tests' API key belongs to.
func testTenant() *pb.Tenant {
	digest := sha256.Sum256([]byte(apiKey))
	return &pb.Tenant{Name: "one", KeySha256: []string{hex.EncodeToString(digest[:])}}
}

// newHarness starts a dispatcher in virtual time. Each endpoint is given by its kind and zone, such as "prefill west".
func newHarness(t *testing.T, change func(dep deployment.Deployment), kindsAndZones ...string) *harness {
	t.Helper()
	dep := deployment.Standard()
	dep.Tenants = []*pb.Tenant{testTenant()}
	if change != nil {
		change(dep)
	}
	network := virtual.NewNetwork(1)
	r := &harness{t: t, network: network, loop: network.NewLoop("d"), remote: network.NewLoop("far"), deployment: dep}
	r.start(kindsAndZones)
	return r
}

// newSocketHarness starts a dispatcher over real sockets, with shorter timeouts. An attempt at a silent endpoint is
// cancelled after 0.8 s. The time limit leaves as much time again for the retry, to let a test pass on a busy machine
// too. Tests in virtual time check what must happen within the limit.
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

// start starts the endpoints and the dispatcher.
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

// startDispatcher starts a dispatcher on a loop. The dispatcher replaces the earlier one in the harness. The function
// configure is called on the loop.
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

// startWithIntents starts another dispatcher, which stores its intents on a virtual disk.
func (r *harness) startWithIntents(disk *virtual.Disk) {
	r.t.Helper()
	loop := r.network.NewLoop("durable")
	r.startDispatcher(loop, func(config *Config) (err error) {
		config.Name = "durable"
		config.IntentStore, err = store.Open(disk.AttachTo(loop), store.DefaultLimits)
		return err
	})
}

// runUntil lets time pass until a condition on the endpoints and clients holds, or the timeout is over. It reports
// whether the condition holds.
func (r *harness) runUntil(timeout eventloop.Micros, condition func() bool) bool {
	if r.network != nil {
		return r.network.RunUntil(timeout, condition)
	}
	ticker := time.NewTicker(time.Millisecond) // real sockets need real time
	defer ticker.Stop()
	for end := r.remote.Now() + timeout; ; <-ticker.C {
		var holds bool
		r.remote.Do(func() { holds = condition() })
		if holds || r.remote.Now() > end {
			return holds
		}
	}
}

// updateEndpoints passes changed entries of the endpoint list to the dispatcher.
func (r *harness) updateEndpoints(entries ...endpoints.Entry) {
	r.loop.Do(func() { r.dispatcher.endpointsUpdated(entries, false) })
}

// replaceEndpoints passes a complete endpoint list to the dispatcher.
func (r *harness) replaceEndpoints(entries ...endpoints.Entry) {
	r.loop.Do(func() { r.dispatcher.endpointsUpdated(entries, true) })
}

// virtual returns the dispatcher's loop, which must be one of the virtual network.
func (r *harness) virtual() *virtual.Loop { return r.loop.(*virtual.Loop) }

// expectFinal waits for the final answer, and checks that it is the only one and that no request is left open.
func (r *harness) expectFinal(c *clientCall, want string) {
	r.t.Helper()
	r.runUntil(30*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if r.network != nil {
		r.network.Run(eventloop.Second)
	} else {
		r.runUntil(2*eventloop.Second, func() bool {
			running := 0
			r.loop.Do(func() { running = r.dispatcher.OpenRequests() })
			return running == 0
		})
	}
	if len(c.finals) != 1 || c.finals[0] != want || c.eventsAfterFinal > 0 {
		r.t.Errorf("final answers %v (%d events after them), want %s; raw %.300q", c.finals, c.eventsAfterFinal, want, c.raw)
	}
	r.expectIdle()
}

func (r *harness) expectIdle() {
	r.t.Helper()
	r.loop.Do(func() {
		if r.dispatcher.OpenRequests() != 0 {
			r.t.Errorf("requests are left open: %v", r.dispatcher.DescribeOpenRequests())
		}
	})
}

// decodes counts the attempts at all endpoints but the first, which is a prefill endpoint in the tests that use this
// count.
func (r *harness) decodes() (n int) {
	for _, endpoint := range r.endpoints[1:] {
		n += endpoint.attempts()
	}
	return n
}

// serveDecodes sets how all endpoints but the first serve requests.
func (r *harness) serveDecodes(serve func(*fakeConn)) {
	for _, endpoint := range r.endpoints[1:] {
		endpoint.serve = serve
	}
}

// expectRelease waits until a prefill endpoint has got a further release, and fails if that takes too long.
func (r *harness) expectRelease(endpoint *fakeEndpoint, before int, what string) {
	r.t.Helper()
	timeout := milliseconds(r.deployment.Rules.LetGoMs)
	if !r.runUntil(timeout, func() bool { return endpoint.releases() > before }) {
		r.t.Errorf("%s: the prefill state was not released in time", what)
	}
}
