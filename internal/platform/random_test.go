package platform

import (
	"fmt"
	"math/rand"
	"testing"

	"plumspindle/internal/eventloop"
)

// randomRunTime is the time over which clients arrive in a randomRun.
const randomRunTime = 6 * eventloop.Second

// randomRun is a test run with many clients at a random deployment.
type randomRun struct {
	env        *testEnv
	deployment testDeployment
	auditor    *auditor
	random     *rand.Rand
	clients    []*randomClient
}

// newRandomRun draws a deployment and the network's delays, and schedules the arrivals of the clients.
func newRandomRun(t *testing.T, seed int64) *randomRun {
	t.Helper()
	run := &randomRun{random: rand.New(rand.NewSource(seed))}
	run.deployment = randomDeployment(run.random)
	run.env, run.auditor = run.deployment.newTestEnv(t, run.random)
	run.env.network.DeliveryDelay = eventloop.Micros(run.random.Intn(2000))
	run.env.network.ExtraLatency = func() eventloop.Micros { return eventloop.Micros(run.random.Intn(3000)) }
	for i := range 60 {
		run.env.remote.AfterFunc(run.randomSpan(randomRunTime), func() { run.startClient(i) })
	}
	return run
}

// randomSpan draws a span that is shorter than the limit.
func (run *randomRun) randomSpan(limit eventloop.Micros) eventloop.Micros {
	return eventloop.Micros(run.random.Int63n(int64(limit)))
}

// randomEndpoint draws one of the endpoints.
func (run *randomRun) randomEndpoint() *fakeEndpoint {
	return run.env.endpoints[run.random.Intn(len(run.env.endpoints))]
}

// finish shuts the dispatcher down at a random time, and checks the clients' answers and that nothing is left.
func (run *randomRun) finish(t *testing.T) {
	t.Helper()
	env := run.env
	env.network.Run(run.randomSpan(randomRunTime + eventloop.Second))
	ended := env.shutDown()
	env.network.Run(2 * randomRunTime)
	env.waitFor(20*eventloop.Second, "the end of the shutdown", func() bool { return *ended })
	for _, client := range run.clients {
		client.check(t)
	}
	if n := len(env.dispatcher.requests); n > 0 {
		t.Errorf("%d requests are left: %+v", n, env.dispatcher.Summary())
	}
}

// randomClient is one client of a randomRun, with what is needed to check its answers.
type randomClient struct {
	*testClient
	id           string
	disconnected bool // the client has closed its connection
	requests     int  // number of requests that it sent on its connection
}

// startClient connects a client that sends one request or several pipelined ones, and that at random disconnects or
// stops reading for a while.
func (run *randomRun) startClient(number int) {
	env, random := run.env, run.random
	class := run.deployment.classes[random.Intn(len(run.deployment.classes))]
	client := &randomClient{id: fmt.Sprintf("r-%d", number), requests: 1}
	text := ""
	if random.Intn(8) == 0 {
		client.requests = 3
	}
	for n := range client.requests {
		id := fmt.Sprintf("%s.%d", client.id, n)
		run.auditor.classes[id] = class
		text += env.requestText(class.name, "Req-Id", id, "Req-Key", randomName(random),
			"Req-Deadline", fmt.Sprintf("%du", class.deadline))
	}
	client.testClient = env.connect(text)
	run.clients = append(run.clients, client)
	switch random.Intn(6) {
	case 0:
		env.remote.AfterFunc(run.randomSpan(eventloop.Second), func() { run.disconnect(client) })
	case 1:
		span := run.randomSpan(eventloop.Second)
		env.remote.AfterFunc(eventloop.Micros(random.Intn(20000)), func() {
			client.conn.SetPaused(true)
			env.remote.AfterFunc(span, func() { client.conn.SetPaused(false) })
		})
	}
}

// disconnect closes or resets a client's connection.
func (run *randomRun) disconnect(client *randomClient) {
	client.disconnected = true
	run.auditor.disconnectedAt[client.id] = run.env.network.Now()
	if run.random.Intn(2) == 0 {
		client.conn.Abort()
	} else {
		client.conn.Close()
	}
}

// check checks that a client has one answer for each of its requests. A client may have fewer answers if it has
// disconnected, if its connection never opened, or if a stream broke, which ends the connection.
func (client *randomClient) check(t *testing.T) {
	t.Helper()
	answers := len(client.statuses)
	streaming := client.head != nil && client.head.Status == 200
	broke := streaming && client.closed && answers < client.requests
	switch {
	case answers > client.requests:
		t.Errorf("%s: %d answers to %d requests", client.id, answers, client.requests)
	case client.disconnected || broke || !client.opened:
	case answers < client.requests:
		t.Errorf("%s: %v are the answers to %d requests; closed %v",
			client.id, client.statuses, client.requests, client.closed)
	}
}

// TestRandomTraffic runs many clients at once at random deployments. Clients disconnect, read slowly or pipeline
// requests; endpoints misbehave, don't answer or drain; connections are reset; the dispatcher freezes, and shuts down
// at a random time. The auditor checks the attempts that reach the endpoints, and each client that doesn't disconnect
// must get its answers.
func TestRandomTraffic(t *testing.T) {
	for seed := range int64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomTraffic(t, seed) })
	}
}

func runRandomTraffic(t *testing.T, seed int64) {
	t.Helper()
	run := newRandomRun(t, seed)
	env := run.env
	for range 4 {
		endpoint := run.randomEndpoint()
		switch run.random.Intn(3) {
		case 0:
			env.remote.AfterFunc(run.randomSpan(randomRunTime), func() {
				env.agent.update(false, endpoint.entry("DRAINING"))
				run.auditor.drainedAt[endpoint] = env.network.Now()
			})
		case 1:
			env.remote.AfterFunc(run.randomSpan(randomRunTime), func() {
				env.loop.Freeze(run.randomSpan(100 * eventloop.Millisecond))
			})
		default:
			env.remote.AfterFunc(run.randomSpan(randomRunTime), func() {
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

// TestRandomFaults runs the clients of TestRandomTraffic with overlapping faults of the network and of the dispatcher's
// machine: connections to some endpoints are silent, descriptors run out, watches break, and the event loop freezes.
// The guard must report no violation, and each client that doesn't disconnect must get its answers.
func TestRandomFaults(t *testing.T) {
	for seed := range int64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomFaults(t, seed) })
	}
}

func runRandomFaults(t *testing.T, seed int64) {
	t.Helper()
	run := newRandomRun(t, seed)
	// The auditor's errors are discarded: attempts that a silent connection delays arrive late through no fault of the
	// dispatcher.
	run.auditor.t = &testing.T{}
	faults := run.faults()
	for range 12 {
		run.env.remote.AfterFunc(run.randomSpan(randomRunTime), faults[run.random.Intn(len(faults))])
	}
	run.finish(t)
	for _, v := range run.env.violations {
		t.Errorf("%s of %s: %s", v.Rule, v.RequestID, v.Detail)
	}
	if n := run.env.dispatcher.scheduler.Violations(); n > 0 {
		t.Errorf("the scheduler refused %d of its own sends", n)
	}
}

// faults returns functions that each inject one fault of the network or of the dispatcher's machine.
func (run *randomRun) faults() []func() {
	env := run.env
	return []func(){
		func() { env.network.Block(env.loop, run.randomEndpoint().loop, run.randomSpan(eventloop.Second)) },
		func() { env.network.Block(run.randomEndpoint().loop, env.loop, run.randomSpan(eventloop.Second)) },
		func() {
			env.loop.DescriptorLimit = env.loop.OpenConnections() + run.random.Intn(4)
			env.remote.AfterFunc(run.randomSpan(eventloop.Second), func() { env.loop.DescriptorLimit = 0 })
		},
		func() {
			for _, conn := range env.agent.watches {
				conn.socket.Abort()
			}
		},
		func() { env.loop.Freeze(run.randomSpan(140 * eventloop.Millisecond)) },
		func() { env.agent.update(false, run.randomEndpoint().entry("DRAINING")) },
		func() {
			for _, conn := range run.randomEndpoint().connections {
				conn.socket.Abort()
			}
		},
	}
}
