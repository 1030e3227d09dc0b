package launch

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/platform"
	"plumspindle/internal/sockets"
)

const (
	summaryEvery = 5 * eventloop.Second
	// What one connection may have read and not yet handled: a quarter of the memory over all descriptors, between these.
	minReadAhead, maxReadAhead = 8 << 10, 128 << 10
)

// limitRuntime sets what the Go runtime may use. The limit holds for all of the process; its code, stacks, and what sockets and the
// collector have under way need a part of their own.
func (e *Environment) limitRuntime() {
	runtime.GOMAXPROCS(max(1, int(e.Cores+0.99)))
	debug.SetMemoryLimit(int64(e.Memory) * 6 / 10)
}

// process is one running dispatcher.
type process struct {
	log        zerolog.Logger
	getenv     func(string) string
	loop       *sockets.Loop
	dispatcher *platform.Dispatcher
	listener   eventloop.Listener // nil until it listens
	leaving    bool
	ended      chan error // what it ends with
	rereads    chan int   // a new configuration is read again, after so many tries
}

// Run serves until the platform ends it.
func Run(log zerolog.Logger, getenv func(string) string) error {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	var env *Environment
	err := retry(func() (err error) {
		env, err = Read(getenv)
		return err
	})
	if err != nil {
		return err
	}
	env.limitRuntime()
	p := &process{log: log.With().Str("dispatcher", env.Name).Logger(), getenv: getenv, ended: make(chan error, 1), rereads: make(chan int, 1)}
	err = retry(func() (err error) {
		p.loop, err = newLoop(env)
		return err
	})
	if err != nil {
		return err
	}
	defer p.loop.Stop()
	p.logStart(env)
	p.loop.Post(func() { p.start(env) })
	for {
		select {
		case s := <-signals:
			p.signalled(s)
		case tries := <-p.rereads:
			p.reload(tries)
		case err := <-p.ended:
			return err
		}
	}
}

func newLoop(env *Environment) (*sockets.Loop, error) {
	loop, err := sockets.Start()
	if err != nil {
		return nil, err
	}
	loop.AllowAnyAddress = true
	loop.ReadBufferLimit = min(max(env.Memory/4/env.Sockets, minReadAhead), maxReadAhead)
	loop.OverloadResponse = http1.AppendResponse(nil, 503, []byte("no connection is left for it\n"), "Connection", "close", "Content-Type", "text/plain")
	return loop, nil
}

// start makes the dispatcher, and has it listen once it knows what discovery has to tell. What follows runs in the loop.
func (p *process) start(env *Environment) {
	config := env.Config
	config.Log = p.log
	p.dispatcher = platform.Start(p.loop, config)
	p.dispatcher.WhenDiscoveryReady(func() { p.listen(env.Listen, p.loop.Now()) })
	p.loop.AfterFunc(summaryEvery, p.logSummary)
}

// listen tries for a while, as what is wanting may be there a moment later.
func (p *process) listen(address string, since eventloop.Micros) {
	if p.leaving {
		return
	}
	var err error
	if p.listener, err = p.loop.Listen(address, p.dispatcher.Server().Accept); err != nil {
		p.listener = nil
		if !transient(err) || p.loop.Now()-since > startPatience {
			p.end(err)
			return
		}
		p.log.Warn().Err(err).Msg("can't listen for the moment")
		p.loop.AfterFunc(startPause, func() { p.listen(address, since) })
		return
	}
	p.log.Info().Str("listen", address).Msg("serving")
}

// end has Run return; only the first call counts.
func (p *process) end(err error) {
	select {
	case p.ended <- err:
	default:
	}
}

func (p *process) signalled(s os.Signal) {
	if s == syscall.SIGHUP {
		p.reload(0)
		return
	}
	p.loop.Post(p.leave)
}

// reload takes discovery's address from the configuration as it is now. One that can't be read for the moment is read again: without it
// nothing more would be heard of drains once the old address falls silent.
func (p *process) reload(tries int) {
	var env *Environment
	err := p.loop.WithReservedDescriptor(func() (err error) {
		env, err = Read(p.getenv)
		return err
	})
	if transient(err) && tries < maxReloadTries {
		p.log.Warn().Err(err).Int("tries", tries+1).Msg("the configuration can't be read for the moment")
		p.loop.Post(func() {
			p.loop.AfterFunc(reloadPause, func() {
				select {
				case p.rereads <- tries + 1:
				default: // another will be read anyway
				}
			})
		})
		return
	}
	if err != nil {
		p.log.Error().Err(err).Msg("the configuration is not taken; the one before stands")
		return
	}
	p.log.Info().Str("discovery", env.Discovery).Msg("the configuration was read again")
	p.loop.Post(func() { p.dispatcher.MoveDiscovery(env.Discovery) })
}

// leave answers what was taken and ends the process; a second signal changes nothing.
func (p *process) leave() {
	if p.leaving {
		return
	}
	p.leaving = true
	p.log.Info().Msg("leaving: what was taken is answered")
	closeListener := func() {
		if p.listener != nil {
			p.listener.Drain()
		}
	}
	p.dispatcher.Shutdown(closeListener, func() {
		p.log.Info().Msg("left; " + p.dispatcher.Summary())
		p.end(nil)
	})
}

func (p *process) logStart(env *Environment) {
	place := env.Settings.Scheduler
	for i, class := range place.Classes {
		p.log.Info().Str("class", env.Settings.Classes[i]).Int("effect", int(class.Effect)).Int("group", int(class.Group)).
			Int64("window", int64(class.Window)).Int64("slo", int64(class.SLO)).Msg("a class of requests")
	}
	p.log.Info().Str("discovery", env.Discovery).Float64("cores", env.Cores).Int("memory", env.Memory).Int("sockets", env.Sockets).
		Int("dispatchers", place.Dispatchers).Msg("starting")
}

func (p *process) logSummary() {
	p.log.Info().Msg(p.dispatcher.Summary())
	p.loop.AfterFunc(summaryEvery, p.logSummary)
}
