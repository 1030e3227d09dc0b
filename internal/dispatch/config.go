package dispatch

import (
	"github.com/rs/zerolog"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/store"
	"plumspindle/scheduler"
)

// Config is what one dispatcher is given besides its deployment.
type Config struct {
	Name string // distinct from all other dispatchers, also from the one that it replaces
	Zone string
	Seed int64
	Log  zerolog.Logger

	Discovery       string   // address of the endpoint list's source; empty: only the cached list is used
	CachedEndpoints [][]byte // what CacheEndpoints was given last, newest first; the first that can be read is used
	CacheEndpoints  func(list []byte)

	// Intents keeps, across restarts, which requests with an idempotency key may have run; nil: a restart forgets them.
	Intents *store.Store

	Tenants       string // address of the administration; empty: only the deployment's and the cached tenants are served
	Secret        []byte // shared with the administration; the digests of keys are sealed with it
	CachedTenants []byte // what CacheTenants was given last
	CacheTenants  func([]byte)

	Descriptors int // that this process may have open; 0: not known, and clients are not limited

	Mutation *Mutation // nil in service
}

// Mutation injects faults on purpose, to show that tests detect them. It is never used in service.
type Mutation struct {
	Executor       func(scheduler.Executor) scheduler.Executor
	Config         func(*scheduler.Config)
	EndpointUpdate func([]endpoints.Entry) []endpoints.Entry
}

const (
	// maxBufferedBodies is how many bodies of the largest size clients may have buffered at once, in all. Each attempt
	// sends its request's body again, so that the memory that goes with them is a few times as much.
	maxBufferedBodies = 64
	// maxReplayBytes bounds one answer that is buffered for repeats with its key.
	maxReplayBytes = 256 << 10
	// endpointCacheInterval is how often the endpoint list is cached at most.
	endpointCacheInterval = eventloop.Second
	// reservedDescriptors are for neither clients nor attempts: discovery, the administration, files, the poller.
	// Clients may have half of the rest, as each request needs one on either side.
	reservedDescriptors = 64
)

// milliseconds converts a setting.
func milliseconds(ms uint32) eventloop.Micros { return eventloop.Micros(ms) * eventloop.Millisecond }
