package dispatch

import (
	"github.com/rs/zerolog"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/store"
	"plumspindle/scheduler"
)

// Config holds the settings of one dispatcher that are not part of its deployment.
type Config struct {
	Name string // unique among all dispatchers; a restarted dispatcher needs a new name
	Zone string
	Seed int64
	Log  zerolog.Logger

	Discovery       string   // address of the discovery service; empty: only the cached endpoint list is used
	CachedEndpoints [][]byte // lists that CacheEndpoints stored, the newest first; the first readable one is used
	CacheEndpoints  func(list []byte)

	// IntentStore stores which requests with an idempotency key may have run, so that a restart does not run them again.
	// If IntentStore is nil, a restart loses this record.
	IntentStore *store.Store

	AdminAddr     string // address of the administration; empty: only the deployment's and the cached tenants are served
	Secret        []byte // shared with the administration; the key of the MACs of API keys
	CachedTenants []byte // the tenants that CacheTenants stored last
	CacheTenants  func([]byte)

	// MaxDescriptors is the limit on this process's open file descriptors. If MaxDescriptors is 0, the limit is not known,
	// and client connections are not limited.
	MaxDescriptors int

	Mutation *Mutation // set by the test bed only
}

// Mutation injects faults, to show that tests detect them. It is never set in production.
type Mutation struct {
	Executor       func(scheduler.Executor) scheduler.Executor
	Config         func(*scheduler.Config)
	EndpointUpdate func([]endpoints.Entry) []endpoints.Entry
}

const (
	// maxBufferedBodies sets the limit on the bytes of all clients' bodies that are buffered at once: maxBufferedBodies
	// times the size of the largest allowed body. The memory in use is a few times this limit, because each attempt sends
	// its request's body again.
	maxBufferedBodies = 64
	// maxReplayBytes is the limit on one answer that is buffered for repeats with the same idempotency key.
	maxReplayBytes = 256 << 10
	// endpointCacheInterval is the shortest time between two writes of the cached endpoint list.
	endpointCacheInterval = eventloop.Second
	// reservedDescriptors is the number of file descriptors that clients and attempts must leave free for discovery, the
	// administration, files and the poller. Clients may use half of the rest, since each request needs a connection to its
	// client and one to an endpoint.
	reservedDescriptors = 64
)

// milliseconds converts a setting in milliseconds.
func milliseconds(ms uint32) eventloop.Micros { return eventloop.Micros(ms) * eventloop.Millisecond }
