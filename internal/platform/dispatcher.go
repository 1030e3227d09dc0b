// Package platform runs the scheduler on the users' platform, as package dispatch does for the chat API.
//
// It reports events to the scheduler and executes its orders. It owns the requests from their acceptance to their last
// byte: the client's response, the attempt in flight, the lease of the KV state that an endpoint may hold, and the
// guard's ledger. Package server serves the clients, package upstream sends the attempts, package discovery follows the
// endpoint list. Everything runs on one event loop. It never decides where or whether an attempt is made.
package platform

import (
	"github.com/rs/zerolog"

	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/platform/discovery"
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/platform/server"
	"plumspindle/internal/platform/upstream"
	"plumspindle/internal/schedulerhost"
	"plumspindle/internal/settings"
	"plumspindle/scheduler"
)

// Config is a dispatcher's identity, its deployment's settings and the resources that it may use.
type Config struct {
	Name       string
	Discovery  string // address
	Seed       int64
	Settings   *settings.Settings
	CachedList []byte // the endpoint list as it was last known, in discovery's form; empty: none
	Sockets    int    // descriptors
	Memory     int    // bytes
	Log        zerolog.Logger
}

const (
	// streamSilence is how long a started stream may bring nothing until it counts as broken: the platform allows a
	// client to be left waiting for less than 5 s.
	streamSilence = 4200 * eventloop.Millisecond
	// discoveryTimeout is how long the discovery agent has to respond, which runs on this machine and sends what it has
	// at once. After that the cached list is used.
	discoveryTimeout = eventloop.Second
	discoveryPoll    = 10 * eventloop.Millisecond
	// readyWithoutEndpoints is the time after which a dispatcher reports ready even if it knows no endpoint to serve
	// with. It rejects requests with a Retry-After then; a process that never becomes ready counts as failed to start.
	readyWithoutEndpoints = 5 * eventloop.Second
)

// Bounds of what is derived from the resources in Config.
const (
	minConnections = 8 // on either side
	minConnecting  = 4
	minUnsentBytes = 8 << 10
	maxUnsentBytes = 64 << 10
)

// Dispatcher serves the clients of one process.
type Dispatcher struct {
	loop      eventloop.Loop
	config    Config
	settings  *settings.Settings
	scheduler *scheduler.Scheduler
	engine    *engine.Engine // connections to endpoints
	upstream  *upstream.Client
	server    *server.Server
	discovery *discovery.Watcher
	guard     *guard.Guard

	requests    map[scheduler.RequestID]*request
	lastRequest scheduler.RequestID
	activeIDs   map[string]bool
	recentIDs   [2]map[string]bool // of requests that have ended, the latest first

	topology  schedulerhost.Topology
	endpoints map[scheduler.EndpointID]discovery.Entry
	ready     []scheduler.EndpointID // that accept new requests, in order

	startedAt         eventloop.Micros
	discoveryWasReady bool
	shuttingDown      bool
	lastActiveAt      eventloop.Micros // while it is shutting down; 0: requests are accepted

	// onViolation, where it is set, is called with each violation that the guard reports.
	onViolation func(guard.Violation)
	Counts
}

// Start makes a dispatcher on a loop. Its clients are accepted by the Accept method of Server.
func Start(loop eventloop.Loop, config Config) *Dispatcher {
	d := &Dispatcher{
		loop:      loop,
		config:    config,
		settings:  config.Settings,
		requests:  map[scheduler.RequestID]*request{},
		activeIDs: map[string]bool{},
		recentIDs: [2]map[string]bool{{}, {}},
		endpoints: map[scheduler.EndpointID]discovery.Entry{},
		startedAt: loop.Now(),
	}
	schedulerConfig := d.settings.Scheduler
	d.topology = schedulerhost.NewTopology(d.settings.Zones, d.settings.Kinds, schedulerConfig.Kinds)
	// Idle connections are closed here well before the endpoints close them: a request that is written to a connection
	// closed by its endpoint counts as lost.
	schedulerConfig.IdleTimeout /= 2
	d.guard = d.newGuard()
	limits := upstreamLimits(d.settings, config.Sockets, schedulerConfig.IdleTimeout)
	d.engine = engine.New(loop, config.Name, "", limits)
	d.upstream = upstream.New(loop, d.engine, upstream.Options{
		StateTimeout:    d.settings.StateTimeout,
		ReadyEndpoints:  func() []scheduler.EndpointID { return d.ready },
		ListedEndpoints: d.listedEndpoints,
		Log:             config.Log,
	})
	d.server = server.New(loop, clientLimits(config.Sockets, config.Memory), d)
	d.server.OnUnansweredClose = d.reportUnansweredClose
	d.discovery = discovery.New(loop, discovery.Options{
		Address:  config.Discovery,
		Seed:     config.Seed,
		OnUpdate: d.updateEndpoints,
		Log:      config.Log,
	})
	d.scheduler = scheduler.New(loop.Now(), config.Seed, schedulerConfig, d)
	if len(config.CachedList) > 0 {
		if err := d.discovery.ApplyCached(config.CachedList); err != nil {
			config.Log.Warn().Err(err).Msg("cached endpoint list unreadable")
		}
	}
	d.discovery.Start()
	d.expireIDs()
	return d
}

// upstreamLimits are the limits of connections to endpoints. Clients may use about half of the descriptors, and each
// request needs one on either side; what is left is for releases, discovery and the poller.
func upstreamLimits(s *settings.Settings, sockets int, idle eventloop.Micros) engine.Limits {
	total := max(sockets*2/5, minConnections)
	return engine.Limits{
		ConnectTimeout:    s.ConnectTimeout,
		IdleTimeout:       idle,
		StreamIdleTimeout: streamSilence,
		MaxPerEndpoint:    total,
		MaxOpening:        max(total/4, minConnecting),
		MaxTotal:          total,
	}
}

// clientLimits are the limits of connections to clients: half of the descriptors, an eighth of the memory for bodies
// and pipelined requests, and a quarter of it for streams that clients have not read.
func clientLimits(sockets, memory int) server.Limits {
	limits := server.DefaultLimits
	limits.Connections = max(sockets/2, minConnections)
	limits.BufferedBytes = max(memory/8, 2*limits.BodyBytes)
	limits.UnsentBytes = min(max(memory/4/limits.Connections, minUnsentBytes), maxUnsentBytes)
	return limits
}

// Server is the clients' side.
func (d *Dispatcher) Server() *server.Server { return d.server }

// MoveDiscovery watches discovery at another address.
func (d *Dispatcher) MoveDiscovery(address string) { d.discovery.SetAddress(address) }

// discoveryReady reports whether discovery has responded since the start, or has not within discoveryTimeout. Until
// then only the cached list is known, which may name endpoints that are gone. Once true it stays so.
func (d *Dispatcher) discoveryReady() bool {
	timedOut := d.loop.Now()-d.startedAt >= discoveryTimeout
	d.discoveryWasReady = d.discoveryWasReady || d.discovery.Connected() || timedOut
	return d.discoveryWasReady
}

// WhenDiscoveryReady calls do once discovery has responded, or has had its time to: until then no request should be
// accepted.
func (d *Dispatcher) WhenDiscoveryReady(do func()) {
	if d.discoveryReady() {
		do()
		return
	}
	d.loop.AfterFunc(discoveryPoll, func() { d.WhenDiscoveryReady(do) })
}

// Ready implements server.Handler: it reports whether requests can be served, or at least rejected.
func (d *Dispatcher) Ready() bool {
	if !d.discoveryReady() {
		return false
	}
	return d.canServe() || d.loop.Now()-d.startedAt >= readyWithoutEndpoints
}

// canServe reports whether there is an endpoint for prefill and one to decode.
func (d *Dispatcher) canServe() bool {
	var prefill, decode bool
	for _, id := range d.ready {
		switch d.roleOf(id) {
		case scheduler.Prefill:
			prefill = true
		case scheduler.Decode:
			decode = true
		case scheduler.Mixed:
			return true
		}
	}
	return prefill && decode
}
