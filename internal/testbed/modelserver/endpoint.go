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

// requestLimits are those of requests to an endpoint.
var requestLimits = http1.Limits{HeadBytes: 64 << 10, FieldCount: 100, BodyBytes: 64 << 20}

// Endpoint is one stand-in endpoint, over all its restarts.
type Endpoint struct {
	ID   uint32
	Zone string
	Cell uint16
	Addr string

	fleet *Fleet
	group *pb.Fleet_Group
	kind  *pb.Kind

	alive     bool
	draining  bool
	startedAt eventloop.Micros // 0: long ago
	restart   eventloop.Timer  // nil: none is to come
	listener  eventloop.Listener
	conns     map[*endpointConn]int // with the order of their opening
	lastConn  int

	running       []*endpointAttempt // in slots
	queued        []*endpointAttempt
	states        map[string]*pinnedState // by the prefill's attempt
	releasedEarly map[string]bool         // attempts whose state was released before it was there
	prefixes      map[uint64]int          // cached tokens of a prefix, by its hash
	usedMemory    int                     // tokens
	stepping      bool                    // a step of the batch is under way
	portFreeAt    eventloop.Micros        // for the next state to be sent
	arrivals      []arrival               // during slow start

	faults
	lastReport string
	reportedAt eventloop.Micros
	lastError  string // its code
}

// Kind returns the name of the endpoint's kind.
func (e *Endpoint) Kind() string { return e.kind.Name }

// start starts the endpoint with nothing in it; startedAt is 0 for one that has run for long.
func (e *Endpoint) start(startedAt eventloop.Micros) error {
	e.conns, e.states, e.releasedEarly = map[*endpointConn]int{}, map[string]*pinnedState{}, map[string]bool{}
	e.running, e.queued, e.prefixes, e.arrivals = nil, nil, map[uint64]int{}, nil
	e.usedMemory, e.portFreeAt, e.startedAt = 0, 0, startedAt
	e.alive, e.draining, e.stepping = true, false, false
	e.frozen, e.hung, e.failShare, e.slowFactor = false, false, 0, 1
	listener, err := e.fleet.loop.Listen(anyLocalPort, func(conn eventloop.Conn) eventloop.Handler {
		return &endpointConn{endpoint: e, conn: conn, parser: http1.Parser{Limits: requestLimits}}
	})
	if err != nil {
		return fmt.Errorf("host %d: %w", e.ID, err)
	}
	e.listener, e.Addr = listener, listener.Addr()
	e.fleet.record(e, record.EndpointUp, nil)
	return nil
}

// stop ends the endpoint and resets its connections.
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

// connsInOrder returns the connections in the order of their opening, so that nothing depends on the order of a map.
func (e *Endpoint) connsInOrder() []*endpointConn {
	return slices.SortedFunc(maps.Keys(e.conns), func(a, b *endpointConn) int { return e.conns[a] - e.conns[b] })
}
