package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/pprof"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"plumspindle/internal/admin"
	"plumspindle/internal/deployment"
	"plumspindle/internal/dispatch"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/sockets"
	"plumspindle/internal/store"
	"plumspindle/internal/testbed/scenarios"
)

const (
	maxDescriptors       = 1 << 20 // a dispatcher's descriptor limit is the process's, but at most this number
	randomNameCount      = 1 << 40 // number of different random dispatcher names
	randomNameBase       = 36
	localShutdownTimeout = 30 * time.Second // for a dispatcher that runs in one process with its endpoints
)

type serveCommand struct {
	Deployment      string        `type:"existingfile" help:"File with the deployment in protobuf text format; the built-in deployment if none is given."`
	Listen          string        `default:"127.0.0.1:8080" help:"Address that clients connect to, loopback only; port 0 selects a free port."`
	Discovery       string        `name:"roster" help:"Address of the discovery service that pushes the endpoint list."`
	Zone            string        `help:"Zone that this dispatcher runs in; the first zone of the deployment if none is given."`
	Name            string        `help:"Name that no other dispatcher and no earlier incarnation of this one has; random if none is given."`
	ReadyFile       string        `help:"File that is written, as JSON, once the dispatcher accepts requests."`
	ListFile        string        `help:"File that caches the endpoint list; the dispatcher starts from it while discovery is unreachable."`
	Seed            int64         `help:"Seed of all random choices; 0 for a random seed."`
	Tenants         string        `help:"Address of the admin service whose tenants are served."`
	Secret          string        `type:"path" help:"File with the secret that the admin service seals keys with, mode 600; required with --tenants."`
	TenantFile      string        `help:"File that caches the tenants; the dispatcher starts from it while the admin service is unreachable."`
	ShutdownTimeout time.Duration `name:"end-within" default:"30s" help:"How long requests in flight may continue at shutdown."`
	StateDir        string        `type:"path" help:"Folder of the intent store, which records the requests with an Idempotency-Key that may have run, so that a restarted dispatcher still knows them."`
	Profile         string        `type:"path" help:"File that a CPU profile of the whole run is written to."`
}

// Run serves requests until ctx ends and then shuts the dispatcher down gracefully.
func (c *serveCommand) Run(ctx context.Context, env *environment) error {
	dep, err := loadDeployment(c.Deployment)
	if err != nil {
		return err
	}
	if c.Discovery == "" && c.ListFile == "" {
		return errors.New("serve: --roster or --list-file is required; without either the dispatcher learns of no endpoint")
	}
	stopProfile, err := startProfile(c.Profile)
	if err != nil {
		return err
	}
	defer stopProfile()
	secret, err := c.readSecret()
	if err != nil {
		return err
	}
	process, err := c.start(env.log, dep, secret)
	if err != nil {
		return err
	}
	defer process.close()
	api := "http://" + process.listener.Addr()
	if err := scenarios.WriteReady(c.ReadyFile, scenarios.Ready{API: api}); err != nil {
		return err
	}
	env.log.Info().Str("api", api).Str("name", process.name).Str("zone", process.zone).Msg("serving")
	<-ctx.Done()
	return process.shutDown(c.ShutdownTimeout)
}

// readSecret reads the secret that keys are sealed with. It returns nil if neither a secret nor an admin service is
// configured.
func (c *serveCommand) readSecret() ([]byte, error) {
	if c.Secret != "" {
		return admin.ReadSecret(c.Secret)
	}
	if c.Tenants != "" {
		return nil, errors.New("serve: --tenants requires --secret")
	}
	return nil, nil
}

// startProfile writes a CPU profile to a file until the returned function is called. With an empty path it does
// nothing.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("profile: %w", err)
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("profile: %w", err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close() // an incomplete profile does not matter
	}, nil
}

// dispatcherProcess is a dispatcher with its own event loop, client listener, cache files and intent store.
type dispatcherProcess struct {
	name, zone  string
	loop        *sockets.Loop
	dispatcher  *dispatch.Dispatcher
	listener    eventloop.Listener
	intentFiles *store.Files // nil without --state-dir
	caches      []*cacheFile
	log         zerolog.Logger
}

// start starts a dispatcher and listens for clients. The secret is nil if none is configured.
func (c *serveCommand) start(log zerolog.Logger, dep deployment.Deployment, secret []byte) (*dispatcherProcess, error) {
	loop, err := sockets.Start()
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	process := &dispatcherProcess{loop: loop, log: log}
	config := c.config(process, dep)
	config.Secret = secret
	loop.OverloadResponse = frontend.OverloadedResponse()
	if c.StateDir != "" {
		if config.IntentStore, err = process.openIntentStore(c.StateDir); err != nil {
			process.close()
			return nil, err
		}
	}
	loop.Do(func() {
		if process.dispatcher, err = dispatch.Start(loop, dep, config); err != nil {
			return
		}
		process.listener, err = loop.Listen(c.Listen, process.dispatcher.Frontend().Accept)
	})
	if err != nil {
		process.close()
		return nil, err
	}
	return process, nil
}

// config returns the dispatcher's configuration without the secret and the intent store.
func (c *serveCommand) config(process *dispatcherProcess, dep deployment.Deployment) dispatch.Config {
	seed := seedOrRandom(c.Seed)
	process.name, process.zone = c.Name, c.Zone
	if process.name == "" {
		process.name = "d" + strconv.FormatUint(uint64(seed)%randomNameCount, randomNameBase)
	}
	if process.zone == "" {
		process.zone = dep.Zones[0]
	}
	config := dispatch.Config{Name: process.name, Zone: process.zone, Seed: seed, Discovery: c.Discovery,
		AdminAddr: c.Tenants, Log: process.log}
	if c.ListFile != "" {
		for _, path := range []string{c.ListFile, c.ListFile + previousSuffix} {
			config.CachedEndpoints = append(config.CachedEndpoints, process.readCache(path, "cached endpoint list unreadable"))
		}
		config.CacheEndpoints = process.openCache(c.ListFile, cacheOptions{
			keepPrevious: true,
			onError:      func(err error) { process.log.Error().Err(err).Msg("endpoint list not cached") },
		})
	}
	if c.TenantFile != "" {
		config.CachedTenants = process.readCache(c.TenantFile, "cached tenants unreadable")
		config.CacheTenants = process.openCache(c.TenantFile, cacheOptions{
			onError: func(err error) { process.log.Error().Err(err).Msg("tenants not cached") },
		})
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		config.MaxDescriptors = int(min(limit.Cur, maxDescriptors))
	}
	return config
}

// readCache returns the content that an earlier incarnation cached, or nil if the file does not exist. It logs any
// other read error with the given message.
func (p *dispatcherProcess) readCache(path, failureMessage string) []byte {
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		p.log.Error().Err(err).Msg(failureMessage)
	}
	return content
}

// openCache starts a cache file and returns the function that caches new content. The method close stops the cache
// file.
func (p *dispatcherProcess) openCache(path string, options cacheOptions) func([]byte) {
	file := newCacheFile(path, options)
	p.caches = append(p.caches, file)
	return file.Put
}

// openIntentStore opens the store that records intents in a folder. The method close closes the store.
func (p *dispatcherProcess) openIntentStore(dir string) (*store.Store, error) {
	files, err := store.OpenFiles(dir, p.loop.Post)
	if err != nil {
		return nil, err
	}
	p.intentFiles = files
	intents, err := store.Open(files, store.DefaultLimits)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return intents, nil
}

// shutDown closes the listener and waits up to timeout for requests in flight. It returns an error if any still run.
func (p *dispatcherProcess) shutDown(timeout time.Duration) error {
	done := make(chan struct{})
	p.loop.Do(func() {
		p.listener.Close()
		p.dispatcher.Shutdown(func() { close(done) })
	})
	select {
	case <-done:
	case <-time.After(timeout):
	}
	var counts dispatch.Counters
	var inFlight int
	p.loop.Do(func() { counts, inFlight = p.dispatcher.Counters, p.dispatcher.OpenRequests() })
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	// The bench command parses events, allocations and taken from this line, also in the logs of earlier builds.
	p.log.Info().Uint64("events", counts.Events).Uint64("allocations", memory.Mallocs).Uint64("taken", counts.Accepted).
		Uint64("completed", counts.Completed).Uint64("rejected", counts.Rejected).Uint64("failed", counts.Failed).
		Uint64("disconnected", counts.Disconnected).Uint64("attempts", counts.Attempts).
		Int("in_flight", inFlight).Msg("ended")
	if inFlight > 0 {
		return fmt.Errorf("%d generations were still running after %v", inFlight, timeout)
	}
	return nil
}

// close stops the cache files after their pending writes, closes the intent store and stops the event loop.
func (p *dispatcherProcess) close() {
	for _, cache := range p.caches {
		cache.Close()
	}
	if p.intentFiles != nil {
		p.intentFiles.Close()
	}
	p.loop.Stop()
}
