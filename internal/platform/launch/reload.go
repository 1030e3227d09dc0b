package launch

import "plumspindle/internal/eventloop"

// A configuration file that can't be read for the moment is retried for 3 s: the platform expects what discovery sends
// at its new address to be in use 4 s after SIGHUP.
const (
	reloadPause       = 100 * eventloop.Millisecond
	maxReloadAttempts = 30
)

// reload reads discovery's address from the configuration file again; attempts is how many have failed before. The file
// is read with a reserved descriptor, and again after a transient error: without the new address no drain would be
// known once the old one falls silent.
func (p *process) reload(attempts int) {
	var config *Config
	err := p.loop.WithReservedDescriptor(func() (err error) {
		config, err = Load(p.getenv)
		return err
	})
	switch {
	case err == nil:
		p.log.Info().Str("discovery", config.Discovery).Msg("configuration reloaded")
		p.loop.Post(func() { p.dispatcher.MoveDiscovery(config.Discovery) })
	case transient(err) && attempts < maxReloadAttempts:
		p.log.Warn().Err(err).Int("attempt", attempts+1).Msg("configuration not readable")
		p.loop.Post(func() {
			p.loop.AfterFunc(reloadPause, func() { p.requestReload(attempts + 1) })
		})
	default:
		p.log.Error().Err(err).Msg("configuration rejected")
	}
}

// requestReload asks Run's goroutine for another attempt, unless one is due anyway.
func (p *process) requestReload(attempts int) {
	select {
	case p.reloads <- attempts:
	default:
	}
}
