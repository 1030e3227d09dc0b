package launch

import (
	"os"
	"syscall"

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/platform"
	"plumspindle/internal/sockets"
)

// statusInterval is the time between two status lines in the log.
const statusInterval = 5 * eventloop.Second

// process is one running dispatcher. Run's goroutine handles signals, and the event loop handles everything else.
type process struct {
	log     zerolog.Logger
	getenv  func(string) string
	loop    *sockets.Loop
	result  chan error // what Run returns
	reloads chan int   // requests to retry a failed reload, each with the number of attempts that have failed

	// Only the loop's goroutine uses the following fields.
	dispatcher   *platform.Dispatcher
	listener     eventloop.Listener // nil until the process listens
	shuttingDown bool
}

func newProcess(log zerolog.Logger, getenv func(string) string, loop *sockets.Loop) *process {
	return &process{
		log:     log,
		getenv:  getenv,
		loop:    loop,
		result:  make(chan error, 1),
		reloads: make(chan int, 1),
	}
}

// handleSignals handles signals and retries of reloads until the process ends, and returns the result of Run.
func (p *process) handleSignals(signals <-chan os.Signal) error {
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGHUP {
				p.reload(0)
			} else {
				p.loop.Post(p.shutDown)
			}
		case attempts := <-p.reloads:
			p.reload(attempts)
		case err := <-p.result:
			return err
		}
	}
}

// start starts the dispatcher, and listens once the dispatcher reports that discovery is ready: discovery has
// responded, or the wait for its response is over.
func (p *process) start(config *Config) {
	dispatcherConfig := config.Config
	dispatcherConfig.Log = p.log
	p.dispatcher = platform.Start(p.loop, dispatcherConfig)
	p.dispatcher.WhenDiscoveryReady(func() { p.listen(config.Listen, p.loop.Now()) })
	p.loop.AfterFunc(statusInterval, p.logStatus)
}

// listen opens the listener. It retries for a short time, because a previous process may still use the address.
func (p *process) listen(address string, since eventloop.Micros) {
	if p.shuttingDown {
		return
	}
	listener, err := p.loop.Listen(address, p.dispatcher.Server().Accept)
	switch {
	case err == nil:
		p.listener = listener
		p.log.Info().Str("listen", address).Msg("serving")
	case isTransient(err) && p.loop.Now()-since <= startRetryTimeout:
		p.log.Warn().Err(err).Msg("listen failed")
		p.loop.AfterFunc(startRetryInterval, func() { p.listen(address, since) })
	default:
		p.end(err)
	}
}

// shutDown begins the shutdown, which ends the process once the accepted requests are answered. Further calls have no
// effect.
func (p *process) shutDown() {
	if p.shuttingDown {
		return
	}
	p.shuttingDown = true
	p.log.Info().Msg("shutting down")
	closeListener := func() {
		if p.listener != nil {
			p.listener.Drain()
		}
	}
	p.dispatcher.Shutdown(closeListener, func() {
		p.log.Info().EmbedObject(p.dispatcher.Summary()).Msg("shutdown complete")
		p.end(nil)
	})
}

// end makes Run return err. Only the first call has an effect.
func (p *process) end(err error) {
	select {
	case p.result <- err:
	default:
	}
}

func (p *process) logStatus() {
	p.log.Info().EmbedObject(p.dispatcher.Summary()).Msg("status")
	p.loop.AfterFunc(statusInterval, p.logStatus)
}
