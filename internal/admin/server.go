// Package admin is the administration of tenants: an HTTP API on a listener of its own.
//
// Operators manage tenants and their keys with it, and tenants their own keys. Dispatchers follow the changes as a
// stream of updates and report usage. The package owns the registry, the usage ledger and their records, which are
// written before a change takes effect or a call is answered. The changes themselves are made by package tenancy.
//
// It relies on its caller for the listener and an event loop, which all of its code runs on, and on Records to be
// durable when Save returns. It shows a key only in the answer to its creation and a key's MAC only to dispatchers, and
// logs neither.
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
	feedToken string // that dispatchers authenticate with
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

// heartbeatInterval is how often followers get a heartbeat.
const heartbeatInterval = 4 * eventloop.Second

func (s *Server) tick() {
	s.sendHeartbeats()
	s.completeRemovals()
	s.loop.AfterFunc(heartbeatInterval, s.tick)
}

// now returns the time in seconds since 1970.
func (s *Server) now() int64 { return int64(s.loop.Now() / eventloop.Second) }
