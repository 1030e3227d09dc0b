package admin

import (
	"crypto/sha256"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment"
	"plumspindle/internal/dispatch"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/virtual"
)

var secret = []byte("0123456789abcdef0123456789abcdef")

// Keys of the operator and of the viewer.
const (
	operatorKey = "op"
	viewerKey   = "view"
)

const (
	anyPort       = "127.0.0.1:0"
	callTimeout   = 5 * eventloop.Second
	answerTimeout = 40 * eventloop.Second
)

// Outcomes of a chat request that was answered with a stream. The outcome of any other request is the HTTP status.
const (
	completed       = "streamed"
	failedMidStream = "terminated"
)

func deterministicRandom(seed int64) *rand.Rand { return rand.New(rand.NewSource(seed)) }

// environment has an administration server, dispatchers that follow it, and model servers, in virtual time.
type environment struct {
	t           *testing.T
	network     *virtual.Network
	server      *Server
	serverLoop  *virtual.Loop
	serverAddr  string
	records     *MemoryRecords
	clientLoop  *virtual.Loop
	fleet       *modelserver.Fleet
	dispatchers []*testDispatcher
}

type testDispatcher struct {
	*dispatch.Dispatcher
	loop          *virtual.Loop
	addr          string
	cachedTenants []byte
}

func newEnvironment(t *testing.T, dispatchers int) *environment {
	t.Helper()
	network := virtual.NewNetwork(3)
	e := &environment{
		t: t, network: network, records: &MemoryRecords{}, serverAddr: anyPort, clientLoop: network.NewLoop("far"),
	}
	e.startServer()
	dep := deployment.Standard()
	dep.Dispatching.Dispatchers = uint32(dispatchers)
	for _, product := range dep.Products {
		product.TimeLimitMs = 8000
	}
	var err error
	fleetLoop := network.NewLoop("fleet")
	fleetLoop.Do(func() { e.fleet, err = modelserver.Start(fleetLoop, dep, 1, anyPort, nil) })
	if err != nil {
		t.Fatal(err)
	}
	for i := range dispatchers {
		e.dispatchers = append(e.dispatchers, &testDispatcher{addr: anyPort})
		e.startDispatcher(i, dep, fmt.Sprintf("d%d", i))
	}
	network.Run(200 * eventloop.Millisecond)
	return e
}

// startServer starts the administration server. A restarted server has the address and the records of the previous one.
func (e *environment) startServer() {
	e.t.Helper()
	e.serverLoop = e.network.NewLoop("admin")
	config := Config{
		Secret: secret,
		Staff: []StaffMember{
			{Name: "ann", Role: Operator, Digest: sha256.Sum256([]byte(operatorKey))},
			{Name: "vic", Role: Viewer, Digest: sha256.Sum256([]byte(viewerKey))},
		},
		Records: e.records,
		Random:  deterministicRandom(9),
		Log:     zerolog.Nop(),
	}
	var err error
	e.serverLoop.Do(func() {
		if e.server, err = Start(e.serverLoop, config); err != nil {
			return
		}
		var listener eventloop.Listener
		if listener, err = e.serverLoop.Listen(e.serverAddr, e.server.Accept); err == nil {
			e.serverAddr = listener.Addr()
		}
	})
	if err != nil {
		e.t.Fatal(err)
	}
}

// startDispatcher starts a dispatcher. A restarted dispatcher has the address and the cached tenants of the previous
// one.
func (e *environment) startDispatcher(i int, dep deployment.Deployment, name string) {
	e.t.Helper()
	dispatcher := e.dispatchers[i]
	dispatcher.loop = e.network.NewLoop(name)
	config := dispatch.Config{
		Name:          name,
		Zone:          dep.Zones[i%2],
		Seed:          int64(i + 1),
		Discovery:     e.fleet.Discovery.Addr,
		Log:           zerolog.Nop(),
		AdminAddr:     e.serverAddr,
		Secret:        secret,
		CachedTenants: dispatcher.cachedTenants,
		CacheTenants:  func(tenants []byte) { dispatcher.cachedTenants = tenants },
	}
	var err error
	dispatcher.loop.Do(func() {
		if dispatcher.Dispatcher, err = dispatch.Start(dispatcher.loop, dep, config); err != nil {
			return
		}
		var listener eventloop.Listener
		if listener, err = dispatcher.loop.Listen(dispatcher.addr, dispatcher.Frontend().Accept); err == nil {
			dispatcher.addr = listener.Addr()
		}
	})
	if err != nil {
		e.t.Fatal(err)
	}
}

// clientRequest is one HTTP request of a client.
type clientRequest struct {
	addr, method, target, key, body string
	fields                          []string // names and values of header fields, in pairs
}

// clientCall is an HTTP request on a connection of its own, and the answer to it.
type clientCall struct {
	network  *virtual.Network
	conn     eventloop.Conn
	request  []byte
	parser   http1.Parser
	events   sse.Parser
	head     *http1.Head
	body     []byte
	tokens   int
	sentAt   eventloop.Micros
	firstAt  eventloop.Micros // when the first token arrived
	outcomes []string         // more than one is an error
}

func (c *clientCall) Opened()          { c.conn.Write(c.request) }
func (c *clientCall) Drained()         {}
func (c *clientCall) Closed(error)     {}
func (c *clientCall) Data(data []byte) { _ = c.parser.Feed(data, c) }

func (c *clientCall) Head(head *http1.Head) error {
	c.head = head
	return nil
}

func (c *clientCall) Body(data []byte) error {
	if !strings.HasPrefix(c.head.Get("Content-Type"), "text/event-stream") {
		c.body = append(c.body, data...)
		return nil
	}
	return c.events.Feed(data, func(event []byte) error {
		switch {
		case string(event) == "[DONE]":
			c.outcomes = append(c.outcomes, completed)
		case gjson.GetBytes(event, "error").Exists():
			c.outcomes = append(c.outcomes, failedMidStream)
		default:
			c.tokens++
			if c.tokens == 1 {
				c.firstAt = c.network.Now()
			}
		}
		return nil
	})
}

func (c *clientCall) End() error {
	if c.head.Status != http.StatusOK || len(c.body) > 0 {
		c.outcomes = append(c.outcomes, fmt.Sprint(c.head.Status))
	}
	return nil
}

func (c *clientCall) answered() bool { return len(c.outcomes) > 0 }

// send sends a request without waiting for the answer.
func (e *environment) send(r clientRequest) *clientCall {
	c := &clientCall{
		network: e.network,
		sentAt:  e.network.Now(),
		parser:  http1.Parser{Response: true, Limits: http1.DefaultLimits},
		events:  sse.Parser{MaxEventBytes: 1 << 20},
	}
	fields := append(r.fields, "Authorization", "Bearer "+r.key, "Content-Type", "application/json", "Connection", "close")
	c.request = http1.AppendRequest(nil, http1.Request{
		Method: r.method, Target: r.target, Host: r.addr, Body: []byte(r.body),
	}, fields...)
	e.clientLoop.Do(func() { c.conn = e.clientLoop.Dial(r.addr, eventloop.Second, c) })
	return c
}

// call makes a call to the administration and waits for the answer. A path without a leading slash is relative to
// apiPrefix.
func (e *environment) call(key, method, path, body string, fields ...string) *clientCall {
	e.t.Helper()
	if !strings.HasPrefix(path, "/") {
		path = apiPrefix + path
	}
	c := e.send(clientRequest{addr: e.serverAddr, method: method, target: path, key: key, body: body, fields: fields})
	if !e.network.RunUntil(callTimeout, c.answered) {
		e.t.Fatalf("%s %s: no answer", method, path)
	}
	e.network.Run(20 * eventloop.Millisecond)
	return c
}

// must makes a call as the operator, checks the status and returns the body of the answer.
func (e *environment) must(status int, method, path, body string, fields ...string) gjson.Result {
	e.t.Helper()
	c := e.call(operatorKey, method, path, body, fields...)
	if c.head.Status != status {
		e.t.Fatalf("%s %s: status %d, want %d: %s", method, path, c.head.Status, status, c.body)
	}
	return gjson.ParseBytes(c.body)
}

// addTenant adds a tenant and returns a key of the tenant.
func (e *environment) addTenant(name, limits string) string {
	e.t.Helper()
	e.must(201, "POST", "tenants", fmt.Sprintf(`{"name":%q,"limits":%s}`, name, limits))
	return e.must(201, "POST", "tenants/"+name+"/keys", `{"label":"test"}`).Get("key").String()
}

// chat sends a chat request to a dispatcher.
func (e *environment) chat(dispatcher int, key, product string) *clientCall {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":400,`+
		`"messages":[{"role":"system","content":"you explain"},{"role":"user","content":"why?"}]}`, product)
	return e.sendChat(dispatcher, key, body)
}

func (e *environment) sendChat(dispatcher int, key, body string, fields ...string) *clientCall {
	return e.send(clientRequest{
		addr: e.dispatchers[dispatcher].addr, method: "POST", target: "/v1/chat/completions",
		key: key, body: body, fields: fields,
	})
}

// expect waits for the outcome of a call, and checks that the call has the wanted outcome and no other.
func (e *environment) expect(c *clientCall, want string) {
	e.t.Helper()
	e.network.RunUntil(answerTimeout, c.answered)
	if len(c.outcomes) != 1 || c.outcomes[0] != want {
		e.t.Errorf("outcomes %v, want %s; %s", c.outcomes, want, c.body)
	}
}
