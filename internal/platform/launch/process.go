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

// process is one running dispatcher. Signals are handled on Run's goroutine, all else on the loop.
type process struct {
	log     zerolog.Logger
	getenv  func(string) string
	loop    *sockets.Loop
	ended   chan error // the result of Run
	reloads chan int   // a failed reload is due again, after so many attempts

	// Only the loop uses these.
	dispatcher   *platform.Dispatcher
	listener     eventloop.Listener // nil until it listens
	shuttingDown bool
}

func newProcess(log zerolog.Logger, getenv func(string) string, loop *sockets.Loop) *process {
	return &process{
		log:     log,
		getenv:  getenv,
		loop:    loop,
		ended:   make(chan error, 1),
		reloads: make(chan int, 1),
	}
}

// handle handles signals until the process ends, and returns its result.
func (p *process) handle(signals <-chan os.Signal) error {
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
		case err := <-p.ended:
			return err
		}
	}
}

// start makes the dispatcher, which listens once discovery has sent its list or had its chance to.
func (p *process) start(config *Config) {
	dispatcherConfig := config.Config
	dispatcherConfig.Log = p.log
	p.dispatcher = platform.Start(p.loop, dispatcherConfig)
	p.dispatcher.WhenDiscoveryReady(func() { p.listen(config.Listen, p.loop.Now()) })
	p.loop.AfterFunc(statusInterval, p.logStatus)
}

// listen retries for a while, as an address may be in use for a moment by the process before.
func (p *process) listen(address string, since eventloop.Micros) {
	if p.shuttingDown {
		return
	}
	listener, err := p.loop.Listen(address, p.dispatcher.Server().Accept)
	switch {
	case err == nil:
		p.listener = listener
		p.log.Info().Str("listen", address).Msg("serving")
	case transient(err) && p.loop.Now()-since <= startPatience:
		p.log.Warn().Err(err).Msg("listen failed")
		p.loop.AfterFunc(startPause, func() { p.listen(address, since) })
	default:
		p.end(err)
	}
}

// shutDown answers the requests that were accepted, and ends the process; a second signal changes nothing.
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

// end has Run return; only the first call counts.
func (p *process) end(err error) {
	select {
	case p.ended <- err:
	default:
	}
}

func (p *process) logStatus() {
	p.log.Info().EmbedObject(p.dispatcher.Summary()).Msg("status")
	p.loop.AfterFunc(statusInterval, p.logStatus)
}
