package modelserver

import (
	"fmt"
	"maps"
	"slices"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/testbed/record"
)

// Paths of the APIs that an endpoint serves.
const (
	ChatPath       = "/v1/chat/completions"
	EmbeddingsPath = "/v1/embeddings"
	RerankPath     = "/v1/rerank"
)

// requestLimits are the size limits of requests to an endpoint.
var requestLimits = http1.Limits{HeadBytes: 64 << 10, FieldCount: 100, BodyBytes: 64 << 20}

// Endpoint is one simulated endpoint; it keeps its id over restarts.
type Endpoint struct {
	ID   uint32
	Zone string
	Cell uint16
	Addr string

	fleet *Fleet
	group *pb.Fleet_Group
	kind  *pb.Kind

	alive          bool
	draining       bool
	startedAt      eventloop.Micros // 0: it was warm from the start of the test bed
	restartTimer   eventloop.Timer  // of the next start; nil: none is scheduled
	listener       eventloop.Listener
	conns          map[*endpointConn]int // open connections with their sequence numbers
	lastConnNumber int

	running            []*endpointAttempt // attempts in the batch, each in a slot
	queued             []*endpointAttempt
	states             map[string]*pinnedState // by the id of the prefill attempt
	releasedEarly      map[string]bool         // ids of the attempts whose release arrived before their prefill finished
	cachedPrefixes     map[uint64]int          // number of cached tokens by prefix hash
	usedMemory         int                     // in tokens
	stepping           bool                    // a step of the batch is in progress
	transferPortFreeAt eventloop.Micros        // when the port is free to send the next KV state
	arrivals           []arrival               // recent work during slow start

	faults
	lastReport string
	reportedAt eventloop.Micros
	lastError  string // code of the last error response
}

// Kind returns the name of the endpoint's kind.
func (e *Endpoint) Kind() string { return e.kind.Name }

// start starts the endpoint with empty queues, memory and caches. With startedAt 0 it is warm and skips slow start.
func (e *Endpoint) start(startedAt eventloop.Micros) error {
	e.conns, e.states, e.releasedEarly = map[*endpointConn]int{}, map[string]*pinnedState{}, map[string]bool{}
	e.running, e.queued, e.cachedPrefixes, e.arrivals = nil, nil, map[uint64]int{}, nil
	e.usedMemory, e.transferPortFreeAt, e.startedAt = 0, 0, startedAt
	e.alive, e.draining, e.stepping = true, false, false
	e.frozen, e.hung, e.failShare, e.slowFactor = false, false, 0, 1
	listener, err := e.fleet.loop.Listen(anyLocalPort, func(conn eventloop.Conn) eventloop.Handler {
		return &endpointConn{endpoint: e, conn: conn, parser: http1.Parser{Limits: requestLimits}}
	})
	if err != nil {
		return fmt.Errorf("endpoint %d: %w", e.ID, err)
	}
	e.listener, e.Addr = listener, listener.Addr()
	e.fleet.record(e, record.EndpointUp, nil)
	return nil
}

// stop stops the endpoint and resets its connections.
func (e *Endpoint) stop() {
	if !e.alive {
		return
	}
	e.alive = false
	e.listener.Close()
	for _, conn := range e.connsInOrder() {
		conn.conn.Abort()
	}
	for _, state := range e.states {
		state.lease.Stop()
	}
	e.running, e.queued, e.stepping = nil, nil, false
	e.fleet.record(e, record.EndpointDown, nil)
}

// connsInOrder returns the connections in the order in which they were opened, to be independent of the map order.
func (e *Endpoint) connsInOrder() []*endpointConn {
	return slices.SortedFunc(maps.Keys(e.conns), func(a, b *endpointConn) int { return e.conns[a] - e.conns[b] })
}
