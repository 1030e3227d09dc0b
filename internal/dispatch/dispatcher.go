// Package dispatch hosts the scheduler: it reports to it what happens and executes its orders.
//
// A Dispatcher owns the clients' requests from their admission to their final answer, the attempts that are made for
// them, the record of their idempotency keys, and what it reports to the scheduler of tenants and endpoints. It
// relies on the frontend for connections to clients, on the engine for those to endpoints, and on package lifecycle for
// what each event does to a request. It never decides where an attempt goes, whether it is retried, or which requests
// are rejected for lack of capacity: those are the scheduler's decisions.
//
// A dispatcher lives on one event loop, and all of its methods are called on it. The way of a request: the frontend
// hands it in (handleChat), the scheduler is notified of its arrival, each of the scheduler's Sends becomes an attempt
// of the engine, the start and the end of each attempt are reported back, and a Reject, a Fail or a completed stream
// becomes the one final answer.
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

// Counters are what a dispatcher has done since its start.
type Counters struct {
	Accepted, Completed, Rejected, Failed, Disconnected uint64

	Shed      uint64 // rejected on arrival: too many open requests, open batch calls or remembered idempotency keys
	OverQuota uint64 // rejected or delayed by their tenants' limits
	Attempts  uint64
	Events    uint64 // received from endpoints
	Repeats   uint64 // with a key that was in use or used before
	Coverage  lifecycle.Coverage
}

// Dispatcher serves clients through the model endpoints of one deployment.
type Dispatcher struct {
	Counters
	Deployment deployment.Deployment // what it serves; not to be changed
	loop       eventloop.Loop
	config     Config
	engine     *engine.Engine
	frontend   *frontend.Server
	onDrained  func() // what to do once no request is open; set by Shutdown

	scheduler       *scheduler.Scheduler
	schedulerConfig scheduler.Config
	topology        schedulerhost.Topology
	classes         map[string]scheduler.ClassID // by the product's name

	requests      map[scheduler.RequestID]*request
	lastRequestID scheduler.RequestID
	batches       batchManager

	admission     *tenancy.AdmissionController
	directory     *tenancy.Directory
	usage         *tenancy.UsageMeter
	onReported    func() // what to do once the last usage report was acknowledged; set while shutting down
	tenantFeed    *subscribe.Client
	tenantSlots   map[string]*tenantSlot
	staticKeys    map[[sha256.Size]byte]*tenantSlot // by the digest of a key that the deployment states
	freeTenantIDs []scheduler.TenantID
	nextTenantID  scheduler.TenantID

	endpoints       map[scheduler.EndpointID]endpoints.Entry
	startTimes      map[scheduler.EndpointID]starttimes.Start
	endpointWatch   *endpoints.Watcher
	endpointUpdates uint64 // received from discovery
	cacheScheduled  bool   // the endpoint list is to be cached

	idempotencyCache  *idempotency.Cache
	runningByKey      map[*idempotency.Entry]*request // requests with a key that are not answered yet
	recoveringIntents bool                            // the intent store has failed, and is tried again
}

// Start starts a dispatcher on a loop; its Frontend accepts the clients, and Shutdown ends it.
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
	if n := d.config.Descriptors; n > 0 {
		server.MaxConnections = max((n-min(reservedDescriptors, n/2))/2, 1)
	}
	return server
}

// routes returns the clients' APIs.
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
	d.schedulerConfig.Quotas = nil // reported tenant by tenant, as they come
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

// Frontend returns the clients' side.
func (d *Dispatcher) Frontend() *frontend.Server { return d.frontend }

// Models returns the names of the products.
func (d *Dispatcher) Models() []string {
	names := make([]string, len(d.Deployment.Products))
	for i, product := range d.Deployment.Products {
		names[i] = product.Name
	}
	return names
}

// Ready reports whether an endpoint is known that may be sent to.
func (d *Dispatcher) Ready() bool {
	for _, entry := range d.endpoints {
		if entry.State() == scheduler.Ready {
			return true
		}
	}
	return false
}

// OpenRequests returns how many requests are accepted and not forgotten yet.
func (d *Dispatcher) OpenRequests() int { return len(d.requests) }

// DescribeOpenRequests returns a line for each open request, for the diagnosis of a shutdown that does not end.
func (d *Dispatcher) DescribeOpenRequests() []string {
	var lines []string
	for id, r := range d.requests {
		lines = append(lines, fmt.Sprintf("request %d (%s): %v, %d attempts, the last at endpoint %d, %d clients",
			id, r.clientRequestID, r.State, r.attempts, r.endpoint, len(r.responses)))
	}
	slices.Sort(lines)
	return lines
}

// Shutdown accepts nothing new, lets what runs complete, and then calls done.
func (d *Dispatcher) Shutdown(done func()) {
	d.onDrained = done
	d.frontend.Shutdown()
	d.endpointWatch.Close()
	if d.tenantFeed != nil {
		d.tenantFeed.Close()
	}
	d.finishShutdown()
}

// finishShutdown ends a shutdown once no request and no batch call is open.
func (d *Dispatcher) finishShutdown() {
	if d.onDrained == nil || len(d.requests) > 0 || d.batches.openCalls > 0 {
		return
	}
	done := d.onDrained
	d.onDrained = nil
	d.engine.Close()
	if d.config.Intents != nil {
		d.config.Intents.Flush()
	}
	if d.config.Tenants == "" {
		done()
		return
	}
	d.onReported = done
	d.reportUsage() // what was used since the last report
}
