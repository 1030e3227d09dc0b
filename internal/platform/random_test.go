package platform

import (
	"fmt"
	"math/rand"
	"testing"

	"plumspindle/internal/eventloop"
)

// randomRunTime is how long clients arrive in a randomRun.
const randomRunTime = 6 * eventloop.Second

// randomRun is many clients at a deployment drawn by chance.
type randomRun struct {
	env        *testEnv
	deployment testDeployment
	auditor    *auditor
	random     *rand.Rand
	visitors   []*visitor
}

func newRandomRun(t *testing.T, seed int64) *randomRun {
	t.Helper()
	run := &randomRun{random: rand.New(rand.NewSource(seed))}
	run.deployment = randomDeployment(run.random)
	run.env, run.auditor = run.deployment.newTestEnv(t, run.random)
	run.env.network.DeliveryDelay = eventloop.Micros(run.random.Intn(2000))
	run.env.network.ExtraLatency = func() eventloop.Micros { return eventloop.Micros(run.random.Intn(3000)) }
	for i := range 60 {
		run.env.remote.AfterFunc(run.within(randomRunTime), func() { run.visit(i) })
	}
	return run
}

// within draws a span.
func (run *randomRun) within(most eventloop.Micros) eventloop.Micros {
	return eventloop.Micros(run.random.Int63n(int64(most)))
}

// endpoint draws one.
func (run *randomRun) endpoint() *fakeEndpoint {
	return run.env.endpoints[run.random.Intn(len(run.env.endpoints))]
}

// finish shuts the dispatcher down at any moment, and checks what clients got and that nothing is left.
func (run *randomRun) finish(t *testing.T) {
	t.Helper()
	env := run.env
	env.network.Run(run.within(randomRunTime + eventloop.Second))
	ended := env.shutDown()
	env.network.Run(2 * randomRunTime)
	env.waitFor(20*eventloop.Second, "the end", func() bool { return *ended })
	for _, visitor := range run.visitors {
		visitor.check(t)
	}
	if n := len(env.dispatcher.requests); n > 0 {
		t.Errorf("%d requests are left: %+v", n, env.dispatcher.Summary())
	}
}

// visitor is one client of a randomRun, and what it may expect.
type visitor struct {
	*testClient
	id       string
	left     bool
	requests int // that it sent on its connection
}

// visit sends a request, perhaps more behind it, and disconnects or lags by chance.
func (run *randomRun) visit(number int) {
	env, random := run.env, run.random
	class := run.deployment.classes[random.Intn(len(run.deployment.classes))]
	visitor := &visitor{id: fmt.Sprintf("r-%d", number), requests: 1}
	text := ""
	if random.Intn(8) == 0 {
		visitor.requests = 3
	}
	for n := range visitor.requests {
		id := fmt.Sprintf("%s.%d", visitor.id, n)
		run.auditor.classes[id] = class
		text += env.requestText(class.name, "Req-Id", id, "Req-Key", randomName(random),
			"Req-Deadline", fmt.Sprintf("%du", class.deadline))
	}
	visitor.testClient = env.connect(text)
	run.visitors = append(run.visitors, visitor)
	switch random.Intn(6) {
	case 0:
		env.remote.AfterFunc(run.within(eventloop.Second), func() { run.leave(visitor) })
	case 1:
		span := run.within(eventloop.Second)
		env.remote.AfterFunc(eventloop.Micros(random.Intn(20000)), func() {
			visitor.conn.SetPaused(true)
			env.remote.AfterFunc(span, func() { visitor.conn.SetPaused(false) })
		})
	}
}

// leave disconnects a client, in one way or another.
func (run *randomRun) leave(visitor *visitor) {
	visitor.left = true
	run.auditor.disconnectedAt[visitor.id] = run.env.network.Now()
	if run.random.Intn(2) == 0 {
		visitor.conn.Abort()
	} else {
		visitor.conn.Close()
	}
}

// check compares a client's answers with what it may expect: one for each request, in order; a stream that broke ends
// its connection.
func (visitor *visitor) check(t *testing.T) {
	t.Helper()
	answers := len(visitor.statuses)
	streaming := visitor.head != nil && visitor.head.Status == 200
	broke := streaming && visitor.closed && answers < visitor.requests
	switch {
	case answers > visitor.requests:
		t.Errorf("%s: %d answers to %d requests", visitor.id, answers, visitor.requests)
	case visitor.left || broke || !visitor.opened:
	case answers < visitor.requests:
		t.Errorf("%s: %v are the answers to %d requests; closed %v",
			visitor.id, visitor.statuses, visitor.requests, visitor.closed)
	}
}

// TestRandomTraffic plays many clients at once at deployments drawn by chance, with whatever comes between: clients
// that disconnect, that read slowly or pipeline requests, endpoints that misbehave, fall silent, freeze or drain,
// connections that are reset, and a shutdown at any moment. The rules are checked on what reaches the endpoints, and
// each client that stays gets its answers.
func TestRandomTraffic(t *testing.T) {
	for seed := range int64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomTraffic(t, seed) })
	}
}

func playRandomTraffic(t *testing.T, seed int64) {
	t.Helper()
	run := newRandomRun(t, seed)
	env := run.env
	for range 4 {
		endpoint := run.endpoint()
		switch run.random.Intn(3) {
		case 0:
			env.remote.AfterFunc(run.within(randomRunTime), func() {
				env.agent.update(false, endpoint.entry("DRAINING"))
				run.auditor.drainedAt[endpoint] = env.network.Now()
			})
		case 1:
			env.remote.AfterFunc(run.within(randomRunTime), func() { env.loop.Freeze(run.within(100 * eventloop.Millisecond)) })
		default:
			env.remote.AfterFunc(run.within(randomRunTime), func() {
				for _, conn := range endpoint.connections {
					if run.random.Intn(2) == 0 {
						endpoint.loop.Do(conn.socket.Abort)
					}
				}
			})
		}
	}
	run.finish(t)
}

// TestRandomFaults plays what TestRandomTraffic does, with faults of the network and of this machine on top that
// overlap: connections to some endpoints are silent, descriptors run out, watches break, the loop stands still. The
// guard judges, and each client that stays gets its answers.
func TestRandomFaults(t *testing.T) {
	for seed := range int64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomFaults(t, seed) })
	}
}

func playRandomFaults(t *testing.T, seed int64) {
	t.Helper()
	run := newRandomRun(t, seed)
	run.auditor.t = &testing.T{} // what arrives after a silence is no fault of the dispatcher's
	faults := run.faults()
	for range 12 {
		run.env.remote.AfterFunc(run.within(randomRunTime), faults[run.random.Intn(len(faults))])
	}
	run.finish(t)
	for _, v := range run.env.violations {
		t.Errorf("%s of %s: %s", v.Rule, v.RequestID, v.Detail)
	}
	if n := run.env.dispatcher.scheduler.Violations(); n > 0 {
		t.Errorf("the scheduler refused %d of its own sends", n)
	}
}

// faults are those of the network and of this machine.
func (run *randomRun) faults() []func() {
	env := run.env
	return []func(){
		func() { env.network.Block(env.loop, run.endpoint().loop, run.within(eventloop.Second)) },
		func() { env.network.Block(run.endpoint().loop, env.loop, run.within(eventloop.Second)) },
		func() {
			env.loop.DescriptorLimit = env.loop.OpenConnections() + run.random.Intn(4)
			env.remote.AfterFunc(run.within(eventloop.Second), func() { env.loop.DescriptorLimit = 0 })
		},
		func() {
			for _, conn := range env.agent.watches {
				conn.socket.Abort()
			}
		},
		func() { env.loop.Freeze(run.within(140 * eventloop.Millisecond)) },
		func() { env.agent.update(false, run.endpoint().entry("DRAINING")) },
		func() {
			for _, conn := range run.endpoint().connections {
				conn.socket.Abort()
			}
		},
	}
}
