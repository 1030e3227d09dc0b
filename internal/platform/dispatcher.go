// Package platform hosts the decision module on the users' platform, as package dispatch does for the chat API: it tells the module
// what happens and does what it orders. Clients come by package server, attempts go by package upstream, the list of model hosts comes
// by package discovery. It runs on one event loop, and decides nothing itself.
package platform

import (
	"fmt"

	"github.com/rs/zerolog"

	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/platform/discovery"
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/platform/server"
	"plumspindle/internal/platform/upstream"
	"plumspindle/internal/settings"
	"plumspindle/scheduler"
)

// Config is where a dispatcher stands, and what it may use.
type Config struct {
	Name      string
	Discovery string // address
	Seed      int64
	Settings  *settings.Settings
	Known     []byte // the list as it was last known, in discovery's form; empty: none
	Sockets   int    // descriptors
	Memory    int    // bytes
	Log       zerolog.Logger
}

const (
	// A stream that has begun and brings nothing for so long is broken: a client may not be left waiting for 5 s.
	streamSilence = 4200 * eventloop.Millisecond
	// The agent on this machine tells what it has at once; without a word of it for so long, what was known before will do.
	discoveryTimeout = eventloop.Second
	// A dispatcher that knows no host to serve with says that it is ready all the same after so long: it rejects requests with a time to
	// come back, where a process that is never ready counts as one that did not start.
	readyWithoutEndpoints = 5 * eventloop.Second
	discoveryPoll         = 10 * eventloop.Millisecond
	unknownKind           = 255
)

// Counts are what the dispatcher has done since its start.
type Counts struct {
	Accepted, Completed, Broken, Rejected, Failed, ClientDisconnects, Attempts uint64
	Outcomes                                                                   [9]uint64 // by scheduler.Ending
	Reasons                                                                    [8]uint64 // of rejections and failures, by scheduler.Reason
}

// Dispatcher serves the clients of one process.
type Dispatcher struct {
	loop              eventloop.Loop
	config            Config
	settings          *settings.Settings
	scheduler         *scheduler.Scheduler
	upstream          *upstream.Client
	server            *server.Server
	discovery         *discovery.Watcher
	guard             *guard.Guard
	requests          map[scheduler.RequestID]*request
	lastRequest       scheduler.RequestID
	activeIDs         map[string]bool
	recentIDs         [2]map[string]bool // of requests that were answered a while ago
	endpoints         map[scheduler.EndpointID]discovery.Entry
	ready             []scheduler.EndpointID // that want new requests, in order
	startedAt         eventloop.Micros
	discoveryWasReady bool // discovery has spoken since, or had its chance to
	shuttingDown      bool
	lastActiveAt      eventloop.Micros // while it is shutting down
	// OnViolation, where it is set, is told what the guard reports.
	OnViolation func(guard.Violation)
	Counts
}

// Start makes a dispatcher on a loop; Server's Accept takes its clients.
func Start(loop eventloop.Loop, config Config) *Dispatcher {
	t := config.Settings
	d := &Dispatcher{loop: loop, config: config, settings: t, requests: map[scheduler.RequestID]*request{}, activeIDs: map[string]bool{},
		recentIDs: [2]map[string]bool{{}, {}}, endpoints: map[scheduler.EndpointID]discovery.Entry{}, startedAt: loop.Now()}
	place := t.Scheduler
	place.IdleTimeout /= 2 // connections are closed well before hosts do: what is written to one that is closed counts as lost
	d.guard = d.newGuard(t.StateTimeout)
	e := engine.New(loop, config.Name, "", upstreamLimits(t, config.Sockets, place.IdleTimeout))
	d.upstream = upstream.New(loop, e, upstream.Options{StateTimeout: t.StateTimeout, Endpoints: d.releaseTargets, Log: config.Log})
	d.server = server.New(loop, clientLimits(config.Sockets, config.Memory), d)
	d.server.OnUnansweredClose = d.reportUnansweredClose
	d.discovery = discovery.New(loop, discovery.Options{Address: config.Discovery, Seed: config.Seed, OnUpdate: d.updateEndpoints, Log: config.Log})
	d.scheduler = scheduler.New(loop.Now(), config.Seed, place, d)
	if len(config.Known) > 0 {
		if err := d.discovery.ApplyCached(config.Known); err != nil {
			config.Log.Warn().Err(err).Msg("the known list is not used")
		}
	}
	d.discovery.Start()
	d.forgetIDs()
	return d
}

// upstreamLimits are the terms of connections to hosts. Clients may hold about half of the descriptors, and each request needs one on
// either side; what is left is for releases, discovery and the poller.
func upstreamLimits(t *settings.Settings, sockets int, idle eventloop.Micros) engine.Limits {
	most := max(sockets*2/5, 8)
	return engine.Limits{ConnectTimeout: t.ConnectTimeout, IdleTimeout: idle, StreamIdleTimeout: streamSilence, MaxPerEndpoint: most, MaxOpening: max(most/4, 4), MaxTotal: most}
}

func clientLimits(sockets, memory int) server.Limits {
	limits := server.DefaultLimits
	limits.Connections = max(sockets/2, 8)
	limits.BufferedBytes = max(memory/8, 2*limits.BodyBytes)
	limits.UnsentBytes = min(max(memory/4/limits.Connections, 8<<10), 64<<10)
	return limits
}

// Server is the clients' side.
func (d *Dispatcher) Server() *server.Server { return d.server }

// MoveDiscovery has discovery asked at another address.
func (d *Dispatcher) MoveDiscovery(address string) { d.discovery.SetAddress(address) }

// discoveryReady tells whether discovery speaks, or has had its chance to. What discovery has counts as told from the first moment, and what
// was known before may name hosts that are gone.
func (d *Dispatcher) discoveryReady() bool {
	d.discoveryWasReady = d.discoveryWasReady || d.discovery.Connected() || d.loop.Now()-d.startedAt >= discoveryTimeout
	return d.discoveryWasReady
}

// WhenDiscoveryReady calls do once discovery speaks, or has had its chance to: until then no request should be taken.
func (d *Dispatcher) WhenDiscoveryReady(do func()) {
	if d.discoveryReady() {
		do()
		return
	}
	d.loop.AfterFunc(discoveryPoll, func() { d.WhenDiscoveryReady(do) })
}

// Ready implements server.Handler: it tells whether there is a host for prefill and one to decode.
func (d *Dispatcher) Ready() bool {
	if !d.discoveryReady() {
		return false
	}
	return d.canServe() || d.loop.Now()-d.startedAt >= readyWithoutEndpoints
}

func (d *Dispatcher) canServe() bool {
	var prefill, decode bool
	for _, id := range d.ready {
		switch d.role(id) {
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

// Summary describes the dispatcher in a few numbers, for logs.
func (d *Dispatcher) Summary() string {
	open := d.scheduler.InFlight()
	return fmt.Sprintf("requests %d, attempts %d, held %d; connections: clients %d, hosts %d; unsent %d at most, buffered %d; "+
		"accepted %d, completed %d, broken %d, rejected %d, failed %d, clients gone %d, attempts %d, outcomes %v; "+
		"releases %d in %d tries, late %d; bad requests %d, evicted %d, timed out %d; hosts ready %d, list heard %d; "+
		"closed %v; answered for %v; violations %d, refused sends %d",
		open.Requests, open.Attempts, open.Queued, d.server.Connections(), d.upstream.Connections(), d.server.Unsent(), d.server.Buffered(),
		d.Accepted, d.Completed, d.Broken, d.Rejected, d.Failed, d.ClientDisconnects, d.Attempts, d.Outcomes,
		d.upstream.Releases, d.upstream.ReleaseAttempts, d.upstream.LateReleases,
		d.server.Rejected, d.server.Evicted, d.server.TimedOut, len(d.ready), d.discovery.Updates,
		d.server.Closed, d.Reasons, d.guard.Violations(), d.scheduler.Violations())
}
