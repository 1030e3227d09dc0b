// Package platform runs the scheduler on the users' platform, as package dispatch does for the chat API.
//
// It reports events to the scheduler and executes its orders. It owns each request from its acceptance to the last byte
// of its response: the client's response, the attempt in flight, the lease of the KV state that an endpoint may hold,
// and the ledger in which the guard checks the request. Package server serves the clients, package upstream sends the
// attempts, and package discovery follows the endpoint list. Everything runs on one event loop. The scheduler alone
// decides whether and where an attempt is made.
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

// Config holds a dispatcher's name, its deployment's settings and the resources that it may use.
type Config struct {
	Name       string
	Discovery  string // address of the discovery agent
	Seed       int64
	Settings   *settings.Settings
	CachedList []byte // the last known endpoint list, in discovery's format; empty if there is none
	Sockets    int    // maximum number of file descriptors for sockets
	Memory     int    // bytes of memory
	Log        zerolog.Logger
}

const (
	// streamIdleTimeout is how long a started stream may stay silent until it counts as broken. The platform requires
	// that a client is left waiting for less than 5 s.
	streamIdleTimeout = 4200 * eventloop.Millisecond
	// discoveryTimeout is how long a new dispatcher waits for the discovery agent before it uses the cached list. The
	// agent runs on the same machine and sends its current list at once.
	discoveryTimeout      = eventloop.Second
	discoveryPollInterval = 10 * eventloop.Millisecond
	// readyWithoutEndpointsDelay is the time after which a dispatcher reports ready even if it knows no endpoint that
	// can serve requests. It then rejects requests with a Retry-After. If it never reported ready, the platform would
	// treat its start as failed.
	readyWithoutEndpointsDelay = 5 * eventloop.Second
)

// Bounds of the limits that are derived from the resources in Config.
const (
	minConnections = 8        // connections to clients; also the minimum number of connections to endpoints
	minConnecting  = 4        // connections to endpoints, counting only those that are being opened
	minUnsentBytes = 8 << 10  // buffered for one client
	maxUnsentBytes = 64 << 10 // buffered for one client
)

// Dispatcher serves the clients of one process: it accepts their requests, sends attempts to endpoints as the scheduler
// orders, and forwards the responses.
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

	requests      map[scheduler.RequestID]*request
	lastRequestID scheduler.RequestID
	activeIDs     map[string]bool
	recentIDs     [2]map[string]bool // ids of requests that have ended recently; the first set holds the newest

	topology  schedulerhost.Topology
	endpoints map[scheduler.EndpointID]discovery.Entry
	ready     []scheduler.EndpointID // endpoints that accept new requests, sorted by id

	startedAt         eventloop.Micros
	discoveryWasReady bool
	shuttingDown      bool
	// lastActiveAt is when something was last pending during the shutdown; 0 as long as requests are accepted.
	lastActiveAt eventloop.Micros

	// onViolation, if set, is called with each violation that the guard reports.
	onViolation func(guard.Violation)
	Counts
}

// Start creates a dispatcher on an event loop and subscribes it to discovery. The caller opens the listener for clients
// and passes each connection to the Accept method of Server.
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
	// The dispatcher closes idle connections well before the endpoints do, because a request counts as lost if it is
	// written to a connection after the endpoint has closed the connection.
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

// upstreamLimits returns the limits for connections to endpoints. Each request needs one connection to its client and
// one to its endpoint. Clients may use half of the descriptors, and attempts two fifths. The rest is for releases,
// discovery and the poller.
func upstreamLimits(s *settings.Settings, sockets int, idle eventloop.Micros) engine.Limits {
	total := max(sockets*2/5, minConnections)
	return engine.Limits{
		ConnectTimeout:    s.ConnectTimeout,
		IdleTimeout:       idle,
		StreamIdleTimeout: streamIdleTimeout,
		MaxPerEndpoint:    total,
		MaxOpening:        max(total/4, minConnecting),
		MaxTotal:          total,
	}
}

// clientLimits returns the limits for connections to clients: half of the descriptors, an eighth of the memory for
// bodies and pipelined requests, and a quarter of the memory for streamed bytes that clients have not read yet.
func clientLimits(sockets, memory int) server.Limits {
	limits := server.DefaultLimits
	limits.Connections = max(sockets/2, minConnections)
	limits.BufferedBytes = max(memory/8, 2*limits.BodyBytes)
	limits.UnsentBytes = min(max(memory/4/limits.Connections, minUnsentBytes), maxUnsentBytes)
	return limits
}

// Server returns the HTTP server that serves the dispatcher's clients.
func (d *Dispatcher) Server() *server.Server { return d.server }

// SetDiscoveryAddress continues to watch the endpoint list at another address of the discovery agent.
func (d *Dispatcher) SetDiscoveryAddress(address string) { d.discovery.SetAddress(address) }

// discoveryReady reports whether discovery has responded since the start, or discoveryTimeout has passed. Before that,
// the dispatcher knows only the cached list, which may name endpoints that no longer exist. Once the result is true, it
// stays true.
func (d *Dispatcher) discoveryReady() bool {
	timedOut := d.loop.Now()-d.startedAt >= discoveryTimeout
	d.discoveryWasReady = d.discoveryWasReady || d.discovery.Connected() || timedOut
	return d.discoveryWasReady
}

// WhenDiscoveryReady calls do once discovery has responded or discoveryTimeout has passed. The caller should accept no
// request before the call of do.
func (d *Dispatcher) WhenDiscoveryReady(do func()) {
	if d.discoveryReady() {
		do()
		return
	}
	d.loop.AfterFunc(discoveryPollInterval, func() { d.WhenDiscoveryReady(do) })
}

// Ready implements server.Handler. It reports whether the dispatcher can serve requests, or, after
// readyWithoutEndpointsDelay, at least reject them.
func (d *Dispatcher) Ready() bool {
	if !d.discoveryReady() {
		return false
	}
	return d.canServe() || d.loop.Now()-d.startedAt >= readyWithoutEndpointsDelay
}

// canServe reports whether some endpoint that accepts new requests can prefill and some such endpoint can decode. A
// mixed endpoint can do both.
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
