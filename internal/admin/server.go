// Package admin is the server for the administration of tenants. It has an HTTP API on a listener of its own.
//
// Operators manage tenants and their keys with the API, and tenants manage their own keys. Dispatchers receive changes
// as a stream of updates and report usage. The package owns the registry, the usage ledger and their records, which it
// saves before a change takes effect and before it answers the request. Package tenancy makes the changes themselves.
//
// The caller provides the listener and the event loop that all code of the package runs on. Records must be durable
// when Save returns. The package shows a key only in the answer to its creation, and the MAC of a key only to
// dispatchers. It logs neither.
package admin

import (
	"fmt"
	"io"
	"strconv"

	"github.com/rs/zerolog"

	"plumspindle/internal/dispatch"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/store"
	"plumspindle/internal/tenancy"
)

// Records is the key-value storage of the administration.
type Records interface {
	ScanFrom(from, prefix string, each func(key string, value []byte) bool)
	Get(key string) ([]byte, bool)
	// Save applies all changes or none, and returns only once they are durable.
	Save(ops []store.Op) error
}

// Config configures a Server.
type Config struct {
	Secret  []byte // shared with the dispatchers; at least minSecretBytes
	Staff   []StaffMember
	Records Records
	Random  io.Reader // source of random bytes for keys
	Log     zerolog.Logger
}

// Server is an administration server on one event loop.
type Server struct {
	loop            eventloop.Loop
	secret          []byte
	dispatcherToken string // token that dispatchers authenticate with
	staff           []StaffMember
	records         Records
	random          io.Reader
	log             zerolog.Logger

	registry       *tenancy.Registry
	tenantsByKeyID map[string][]*tenancy.Tenant // of the registry
	ledger         *tenancy.UsageLedger
	auditEntries   uint64 // number of entries in the audit log
	followers      []*connection
}

// Start returns a server with the state from the records, and starts its periodic tasks on the loop.
func Start(loop eventloop.Loop, config Config) (*Server, error) {
	if len(config.Secret) < minSecretBytes {
		return nil, fmt.Errorf("the secret has %d bytes; it needs at least %d", len(config.Secret), minSecretBytes)
	}
	s := &Server{
		loop:            loop,
		secret:          config.Secret,
		dispatcherToken: dispatch.FeedToken(config.Secret),
		staff:           config.Staff,
		records:         config.Records,
		random:          config.Random,
		log:             config.Log,
		ledger:          tenancy.NewUsageLedger(),
	}
	if err := s.restore(); err != nil {
		return nil, err
	}
	if s.registry == nil {
		s.registry = tenancy.NewRegistry(strconv.FormatInt(int64(loop.Now()), 36))
	}
	s.setRegistry(s.registry)
	s.runPeriodicTasks()
	return s, nil
}

// heartbeatInterval is the interval of heartbeats to followers, and of attempts to complete removals.
const heartbeatInterval = 4 * eventloop.Second

func (s *Server) runPeriodicTasks() {
	s.sendHeartbeats()
	s.completeRemovals()
	s.loop.AfterFunc(heartbeatInterval, s.runPeriodicTasks)
}

// now returns the current time in seconds since 1970.
func (s *Server) now() int64 { return int64(s.loop.Now() / eventloop.Second) }
