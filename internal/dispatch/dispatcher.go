// Package dispatch connects the scheduler with clients and model endpoints: it reports events to the scheduler and
// executes the scheduler's orders.
//
// A Dispatcher owns the clients' requests from admission to the final answer, their attempts, the record of their
// idempotency keys, and the state of tenants and endpoints that it reports to the scheduler. Package frontend handles
// the connections to clients, package engine handles the connections to endpoints, and package lifecycle defines how
// each event changes a request. A dispatcher never decides where an attempt goes, whether it is retried, or which
// requests are rejected for lack of capacity: the scheduler does.
//
// A dispatcher runs on one event loop, and all of its methods must be called on that loop. A request passes through
// these steps: the frontend passes the request to handleChat; the dispatcher reports its arrival to the scheduler; for
// each Send of the scheduler, the engine starts an attempt, whose start and end are reported back; and a Reject, a Fail
// or the end of the stream becomes the one final answer.
package dispatch

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"plumspindle/internal/batch"
	"plumspindle/internal/chat"
	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/embeddings"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/http1"
	"plumspindle/internal/idempotency"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/schedulerhost"
	"plumspindle/internal/starttimes"
	"plumspindle/internal/subscribe"
	"plumspindle/internal/tenancy"
	"plumspindle/scheduler"
)

// Counters count what a dispatcher has done since its start.
type Counters struct {
	Accepted, Completed, Rejected, Failed, Disconnected uint64

	Shed      uint64 // rejected on arrival due to too many open requests, open batch calls or remembered idempotency keys
	OverQuota uint64 // requests or parts that were rejected or delayed by their tenants' limits
	Attempts  uint64
	Events    uint64 // stream events received from endpoints
	Repeats   uint64 // requests whose idempotency key was in use or had been used before
	Coverage  lifecycle.Coverage
}

// Dispatcher serves clients through the model endpoints of one deployment.
type Dispatcher struct {
	Counters
	Deployment deployment.Deployment // must not be changed
	loop       eventloop.Loop
	config     Config
	engine     *engine.Engine
	frontend   *frontend.Server
	onDrained  func() // set by Shutdown; called, or moved to onReported, once no request or batch call is open

	scheduler       *scheduler.Scheduler
	schedulerConfig scheduler.Config
	topology        schedulerhost.Topology
	classes         map[string]scheduler.ClassID // by the name of the product

	requests      map[scheduler.RequestID]*request
	lastRequestID scheduler.RequestID
	batches       batchManager

	admission     *tenancy.AdmissionController
	directory     *tenancy.Directory
	usage         *tenancy.UsageMeter
	onReported    func() // set during a shutdown; called once all usage is reported, or a report has failed
	tenantFeed    *subscribe.Client
	tenantSlots   map[string]*tenantSlot
	staticKeys    map[[sha256.Size]byte]*tenantSlot // by the digest of an API key that the deployment lists
	freeTenantIDs []scheduler.TenantID
	nextTenantID  scheduler.TenantID

	endpoints       map[scheduler.EndpointID]endpoints.Entry
	startTimes      map[scheduler.EndpointID]starttimes.Start
	endpointWatch   *endpoints.Watcher
	endpointUpdates uint64 // number of updates received from discovery
	cacheScheduled  bool   // a timer that will cache the endpoint list is running

	idempotencyCache  *idempotency.Cache
	runningByKey      map[*idempotency.Entry]*request // requests with an idempotency key that are not answered yet
	recoveringIntents bool                            // the intent store has failed, and its repair is being retried
}

// Start starts a dispatcher on a loop. The caller passes client connections to Frontend, and stops the dispatcher
// by Shutdown.
func Start(loop eventloop.Loop, dep deployment.Deployment, config Config) (*Dispatcher, error) {
	if !slices.Contains(dep.Zones, config.Zone) {
		return nil, fmt.Errorf("the deployment has no zone %q", config.Zone)
	}
	d := &Dispatcher{
		Deployment:   dep,
		loop:         loop,
		config:       config,
		classes:      map[string]scheduler.ClassID{},
		requests:     map[scheduler.RequestID]*request{},
		endpoints:    map[scheduler.EndpointID]endpoints.Entry{},
		startTimes:   map[scheduler.EndpointID]starttimes.Start{},
		runningByKey: map[*idempotency.Entry]*request{},
	}
	for i, product := range dep.Products {
		d.classes[product.Name] = scheduler.ClassID(i)
	}
	d.batches.limits = dep.BatchLimits()
	d.batches.limiter = batch.NewLimiter(int(d.batches.limits.FixedLimit))
	d.engine = d.newEngine()
	d.frontend = d.newFrontend()
	d.idempotencyCache = idempotency.NewCache(idempotency.Limits{
		Entries:     int(dep.Doors.RememberMost),
		Bytes:       int(dep.Doors.RememberBytes),
		AnswerBytes: maxReplayBytes,
	})
	d.restoreIntents()
	d.startScheduler()
	if err := d.startTenants(); err != nil {
		return nil, err
	}
	d.startEndpoints()
	return d, nil
}

func (d *Dispatcher) newEngine() *engine.Engine {
	settings := d.Deployment.Dispatching
	return engine.New(d.loop, d.config.Name, d.config.Zone, engine.Limits{
		ConnectTimeout:    milliseconds(settings.ConnectMs),
		IdleTimeout:       milliseconds(settings.IdleMs),
		StreamIdleTimeout: milliseconds(settings.SilenceMs),
		MaxPerEndpoint:    int(settings.Connections),
		MaxOpening:        int(settings.Openings),
	})
}

func (d *Dispatcher) newFrontend() *frontend.Server {
	settings := d.Deployment.Doors
	requestLimits := http1.DefaultLimits
	requestLimits.HeadBytes, requestLimits.BodyBytes = int(settings.HeadMost), int(settings.BodyMost)
	clientLimits := frontend.DefaultClientLimits
	clientLimits.MessageTimeout = milliseconds(settings.MessageMs)
	clientLimits.StallTimeout = milliseconds(settings.StallMs)
	clientLimits.MaxUnsentBytes = int(settings.UnsentMost)
	server := frontend.New(d.loop, d, d.routes(), requestLimits, clientLimits)
	server.MaxBufferedBytes = maxBufferedBodies * requestLimits.BodyBytes
	if n := d.config.MaxDescriptors; n > 0 {
		server.MaxConnections = max((n-min(reservedDescriptors, n/2))/2, 1)
	}
	return server
}

// routes returns the routes of the APIs for clients, by path.
func (d *Dispatcher) routes() map[string]frontend.Route {
	routes := frontend.ModelRoutes(d.Models)
	isPublic := func(digest string) bool { return d.directory.IsPublicText(digest) }
	routes[chat.Path] = chat.Route(isPublic, d.handleChat)
	routes[embeddings.Embeddings.Path()] = d.batchRoute(embeddings.Embeddings, pb.Product_EMBEDDING)
	routes[embeddings.Rerank.Path()] = d.batchRoute(embeddings.Rerank, pb.Product_RERANK)
	return routes
}

func (d *Dispatcher) startScheduler() {
	d.schedulerConfig = d.Deployment.SchedulerConfig()
	d.schedulerConfig.Quotas = nil // setTenant reports each tenant's quota to the scheduler
	d.schedulerConfig.Zone = scheduler.ZoneID(slices.Index(d.Deployment.Zones, d.config.Zone))
	kinds := make([]string, len(d.Deployment.Kinds))
	for i, kind := range d.Deployment.Kinds {
		kinds[i] = kind.Name
	}
	d.topology = schedulerhost.NewTopology(d.Deployment.Zones, kinds, d.schedulerConfig.Kinds)
	config := d.schedulerConfig
	var executor scheduler.Executor = d
	if mutation := d.config.Mutation; mutation != nil {
		if mutation.Config != nil {
			mutation.Config(&config)
		}
		if mutation.Executor != nil {
			executor = mutation.Executor(d)
		}
	}
	d.scheduler = scheduler.New(d.loop.Now(), d.config.Seed, config, executor)
}

// Frontend returns the server for the clients' connections.
func (d *Dispatcher) Frontend() *frontend.Server { return d.frontend }

// Models returns the names of the products, which clients use as model names.
func (d *Dispatcher) Models() []string {
	names := make([]string, len(d.Deployment.Products))
	for i, product := range d.Deployment.Products {
		names[i] = product.Name
	}
	return names
}

// Ready reports whether at least one known endpoint accepts new attempts.
func (d *Dispatcher) Ready() bool {
	for _, entry := range d.endpoints {
		if entry.State() == scheduler.Ready {
			return true
		}
	}
	return false
}

// OpenRequests returns the number of requests that the dispatcher has accepted and not finished yet.
func (d *Dispatcher) OpenRequests() int { return len(d.requests) }

// DescribeOpenRequests returns one line for each open request, to diagnose a shutdown that does not end.
func (d *Dispatcher) DescribeOpenRequests() []string {
	var lines []string
	for id, r := range d.requests {
		lines = append(lines, fmt.Sprintf("request %d (%s): %v, %d attempts, the last at endpoint %d, %d clients",
			id, r.clientRequestID, r.State, r.attempts, r.endpoint, len(r.responses)))
	}
	slices.Sort(lines)
	return lines
}

// Shutdown stops accepting requests, lets the open ones complete, reports the remaining usage to the administration,
// and then calls done.
func (d *Dispatcher) Shutdown(done func()) {
	d.onDrained = done
	d.frontend.Shutdown()
	d.endpointWatch.Close()
	if d.tenantFeed != nil {
		d.tenantFeed.Close()
	}
	d.finishShutdown()
}

// finishShutdown completes a shutdown once no request and no batch call is open.
func (d *Dispatcher) finishShutdown() {
	if d.onDrained == nil || len(d.requests) > 0 || d.batches.openCalls > 0 {
		return
	}
	done := d.onDrained
	d.onDrained = nil
	d.engine.Close()
	if d.config.IntentStore != nil {
		d.config.IntentStore.Flush()
	}
	if d.config.AdminAddr == "" {
		done()
		return
	}
	d.onReported = done
	d.reportUsage() // the usage since the last report
}
