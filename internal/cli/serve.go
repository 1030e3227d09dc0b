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
	maxDescriptors       = 1 << 20 // that a dispatcher reckons with, whatever its limit
	randomNames          = 1 << 40 // from which the name of a dispatcher is drawn
	randomNameBase       = 36
	localShutdownTimeout = 30 * time.Second // of a dispatcher that runs beside its endpoints
)

type serveCommand struct {
	Deployment string        `type:"existingfile" help:"Deployment, as protobuf text format; the built-in one if none is given."`
	Listen     string        `default:"127.0.0.1:8080" help:"Address for clients, loopback only; port 0 picks one."`
	Discovery  string        `name:"roster" help:"Address of the discovery service that pushes the endpoint list."`
	Zone       string        `help:"Zone that this dispatcher runs in; the deployment's first if none is given."`
	Name       string        `help:"Name that differs from those of all other dispatchers and of this one's earlier incarnations; random if none is given."`
	ReadyFile  string        `help:"File that is written, as JSON, once the dispatcher serves."`
	ListFile   string        `help:"File that the endpoint list is cached in, and started from while discovery is unreachable."`
	Seed       int64         `help:"Seed of all random choices; drawn if 0."`
	Tenants    string        `help:"Address of the administration, whose tenants are served."`
	Secret     string        `type:"path" help:"File with the secret that the administration seals keys with, mode 600; needed with --tenants."`
	TenantFile string        `help:"File that the tenants are cached in, and started from while the administration is unreachable."`
	EndWithin  time.Duration `default:"30s" help:"At shutdown, how long requests in flight may go on."`
	StateDir   string        `type:"path" help:"Folder that records which requests with an Idempotency-Key may have run, so that a restart does not forget them."`
	Profile    string        `type:"path" help:"File that a CPU profile of the whole run is written to."`
}

// Run serves until the program is asked to stop.
func (c *serveCommand) Run(ctx context.Context, env *environment) error {
	dep, err := loadDeployment(c.Deployment)
	if err != nil {
		return err
	}
	if c.Discovery == "" && c.ListFile == "" {
		return errors.New("serve: neither --roster nor --list-file is given, so no endpoint could ever be known")
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
	return process.shutDown(c.EndWithin)
}

// readSecret reads the secret that keys are sealed with, if one is named.
func (c *serveCommand) readSecret() ([]byte, error) {
	if c.Secret != "" {
		return admin.ReadSecret(c.Secret)
	}
	if c.Tenants != "" {
		return nil, errors.New("serve: --tenants needs --secret")
	}
	return nil, nil
}

// startProfile profiles the CPU into a file, if one is named, until the function that it returns is called.
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

// dispatcherProcess is a dispatcher on an event loop of its own, with the files that it writes.
type dispatcherProcess struct {
	name, zone string
	loop       *sockets.Loop
	dispatcher *dispatch.Dispatcher
	listener   eventloop.Listener
	state      *store.Files
	caches     []*cacheFile
	log        zerolog.Logger
}

// start starts a dispatcher and listens for clients. The secret is empty where no administration is followed.
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
		if config.Intents, err = process.openState(c.StateDir); err != nil {
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

// config returns the dispatcher's configuration but for the secret and the record of intents.
func (c *serveCommand) config(process *dispatcherProcess, dep deployment.Deployment) dispatch.Config {
	seed := seedOrRandom(c.Seed)
	process.name, process.zone = c.Name, c.Zone
	if process.name == "" {
		process.name = "d" + strconv.FormatUint(uint64(seed)%randomNames, randomNameBase)
	}
	if process.zone == "" {
		process.zone = dep.Zones[0]
	}
	config := dispatch.Config{Name: process.name, Zone: process.zone, Seed: seed, Discovery: c.Discovery,
		Tenants: c.Tenants, Log: process.log}
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
		config.Descriptors = int(min(limit.Cur, maxDescriptors))
	}
	return config
}

// readCache reads what an earlier incarnation cached; without a file there is nothing. A file that can't be read is
// logged with the message given.
func (p *dispatcherProcess) readCache(path, failureMessage string) []byte {
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		p.log.Error().Err(err).Msg(failureMessage)
	}
	return content
}

// openCache returns the function that caches new content; close ends its writer.
func (p *dispatcherProcess) openCache(path string, options cacheOptions) func([]byte) {
	file := newCacheFile(path, options)
	p.caches = append(p.caches, file)
	return file.Put
}

func (p *dispatcherProcess) openState(dir string) (*store.Store, error) {
	files, err := store.OpenFiles(dir, p.loop.Post)
	if err != nil {
		return nil, err
	}
	p.state = files
	intents, err := store.Open(files, store.DefaultLimits)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return intents, nil
}

// shutDown closes the listener and waits for requests in flight, for as long as is given.
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
	// The bench command reads events, allocations and taken, also from the logs of earlier builds.
	p.log.Info().Uint64("events", counts.Events).Uint64("allocations", memory.Mallocs).Uint64("taken", counts.Accepted).
		Uint64("completed", counts.Completed).Uint64("rejected", counts.Rejected).Uint64("failed", counts.Failed).
		Uint64("disconnected", counts.Disconnected).Uint64("attempts", counts.Attempts).
		Int("in_flight", inFlight).Msg("ended")
	if inFlight > 0 {
		return fmt.Errorf("%d generations were still running after %v", inFlight, timeout)
	}
	return nil
}

// close writes what is still to be cached and stops the loop.
func (p *dispatcherProcess) close() {
	for _, cache := range p.caches {
		cache.Close()
	}
	if p.state != nil {
		p.state.Close()
	}
	p.loop.Stop()
}
