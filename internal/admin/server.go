// Package admin is the administration of tenants: an HTTP API on a listener of its own.
//
// Operators, and tenants for themselves, add, limit and remove tenants and their keys over it. Dispatchers
// follow the changes as a stream of updates and report what was used. The package owns the registry, the
// usage ledger and their records, which it writes before a change counts or a call is answered. What a change
// means is up to package tenancy.
//
// It relies on its caller for the listener and an event loop, which all of its code runs on, and on Records to be
// durable when Save returns. It never shows or logs a key, except for the answer to its creation, or a key's MAC,
// except to dispatchers.
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

// Records is the storage of the administration.
type Records interface {
	ScanFrom(from, prefix string, each func(key string, value []byte) bool)
	Get(key string) ([]byte, bool)
	// Save makes changes together, all or none, and returns only once they are durable.
	Save(ops []store.Op) error
}

// Config is what an administration is started with.
type Config struct {
	Secret  []byte // shared with the dispatchers; minSecretBytes at least
	Staff   []Staff
	Records Records
	Random  io.Reader // source of the random bytes of keys
	Log     zerolog.Logger
}

// Server is the administration on one event loop.
type Server struct {
	loop      eventloop.Loop
	secret    []byte
	feedToken string // what dispatchers authenticate with
	staff     []Staff
	records   Records
	random    io.Reader
	log       zerolog.Logger

	registry  *tenancy.Registry
	ledger    *tenancy.UsageLedger
	changes   uint64 // entries in the audit log
	followers []*connection
}

// Start restores the state from the records and starts the heartbeat on the loop.
func Start(loop eventloop.Loop, config Config) (*Server, error) {
	if len(config.Secret) < minSecretBytes {
		return nil, fmt.Errorf("the secret has %d bytes; it needs %d at least", len(config.Secret), minSecretBytes)
	}
	s := &Server{
		loop:      loop,
		secret:    config.Secret,
		feedToken: dispatch.FeedToken(config.Secret),
		staff:     config.Staff,
		records:   config.Records,
		random:    config.Random,
		log:       config.Log,
		ledger:    tenancy.NewUsageLedger(),
	}
	if err := s.restore(); err != nil {
		return nil, err
	}
	if s.registry == nil {
		s.registry = tenancy.NewRegistry(strconv.FormatInt(int64(loop.Now()), 36))
	}
	s.tick()
	return s, nil
}

// heartbeatInterval is how often followers are shown that the administration is alive.
const heartbeatInterval = 4 * eventloop.Second

func (s *Server) tick() {
	s.sendHeartbeats()
	s.completeRemovals()
	s.loop.AfterFunc(heartbeatInterval, s.tick)
}

// now returns the time in seconds since 1970.
func (s *Server) now() int64 { return int64(s.loop.Now() / eventloop.Second) }
