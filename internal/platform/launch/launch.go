// Package launch runs a dispatcher as a process in the way that the users' platform expects. It handles the environment
// and the configuration file, the limits of the Go runtime, the listener, reloads on SIGHUP and the graceful shutdown
// on SIGTERM. It owns the event loop, the signal handler and the listener, and stops them when Run returns. Package
// platform handles the requests; this package never touches one.
package launch

import (
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"plumspindle/internal/http1"
	"plumspindle/internal/sockets"
)

const (
	// signalBacklog is the number of signals that are queued while one is handled.
	signalBacklog = 16
	// heapPercent is the percentage of the memory limit that the Go runtime may use. The memory limit applies to the whole
	// process. The rest of the limit is for code, stacks, the buffers of sockets, and the garbage collector's work in
	// progress.
	heapPercent = 60
	// minReadBuffer and maxReadBuffer bound the read buffer of one connection, in bytes. Between these bounds, a quarter
	// of the memory limit is divided equally among all connections.
	minReadBuffer = 8 << 10
	maxReadBuffer = 128 << 10
)

// Run serves until a signal shuts the dispatcher down, and returns nil after a graceful shutdown.
func Run(log zerolog.Logger, getenv func(string) string) error {
	signals := make(chan os.Signal, signalBacklog)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	var config *Config
	err := retry(func() (err error) {
		config, err = Load(getenv)
		return err
	})
	if err != nil {
		return err
	}
	config.limitRuntime()
	var loop *sockets.Loop
	err = retry(func() (err error) {
		loop, err = newLoop(config)
		return err
	})
	if err != nil {
		return err
	}
	defer loop.Stop()
	p := newProcess(log.With().Str("dispatcher", config.Name).Logger(), getenv, loop)
	p.logStart(config)
	loop.Post(func() { p.start(config) })
	return p.handleSignals(signals)
}

// limitRuntime sets the cores and memory that the Go runtime may use. A fraction of a core is rounded up to one core.
// Without a CPU limit the runtime uses one core.
func (c *Config) limitRuntime() {
	const almostOne = 0.99
	runtime.GOMAXPROCS(max(1, int(c.Cores+almostOne)))
	debug.SetMemoryLimit(int64(c.Memory) * heapPercent / 100)
}

func newLoop(config *Config) (*sockets.Loop, error) {
	loop, err := sockets.Start()
	if err != nil {
		return nil, err
	}
	loop.AllowAnyAddress = true
	loop.ReadBufferLimit = min(max(config.Memory/4/config.Sockets, minReadBuffer), maxReadBuffer)
	loop.OverloadResponse = http1.AppendResponse(nil, http.StatusServiceUnavailable,
		[]byte("no connection is left for it\n"), "Connection", "close", "Content-Type", "text/plain")
	return loop, nil
}

func (p *process) logStart(config *Config) {
	schedulerConfig := &config.Settings.Scheduler
	for i, class := range schedulerConfig.Classes {
		p.log.Info().Str("class", config.Settings.Classes[i]).
			Int("effect", int(class.Effect)).Int("group", int(class.Group)).
			Int64("window", int64(class.DedupWindow)).Int64("slo", int64(class.SLO)).
			Msg("request class")
	}
	p.log.Info().Str("discovery", config.Discovery).
		Float64("cores", config.Cores).Int("memory", config.Memory).Int("sockets", config.Sockets).
		Int("dispatchers", schedulerConfig.Dispatchers).
		Msg("starting")
}
