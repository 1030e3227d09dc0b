package launch

import "plumspindle/internal/eventloop"

// If the configuration file can't be read because of a transient error, the reload is retried for 3 s. The platform
// expects that 4 s after SIGHUP the dispatcher uses what discovery sends at its new address.
const (
	reloadRetryInterval = 100 * eventloop.Millisecond
	maxReloadAttempts   = 30
)

// reload reads discovery's address from the configuration file again. The parameter attempts is the number of attempts
// that have failed so far. reload reads the file with a reserved file descriptor and retries after a transient error,
// because without the new address the dispatcher would learn of no drain once the old address falls silent.
func (p *process) reload(attempts int) {
	var config *Config
	err := p.loop.WithReservedDescriptor(func() (err error) {
		config, err = Load(p.getenv)
		return err
	})
	switch {
	case err == nil:
		p.log.Info().Str("discovery", config.Discovery).Msg("configuration reloaded")
		p.loop.Post(func() { p.dispatcher.SetDiscoveryAddress(config.Discovery) })
	case isTransient(err) && attempts < maxReloadAttempts:
		p.log.Warn().Err(err).Int("attempt", attempts+1).Msg("configuration not readable")
		p.loop.Post(func() {
			p.loop.AfterFunc(reloadRetryInterval, func() { p.requestReload(attempts + 1) })
		})
	default:
		p.log.Error().Err(err).Msg("configuration rejected")
	}
}

// requestReload asks Run's goroutine for another attempt, unless one is already requested.
func (p *process) requestReload(attempts int) {
	select {
	case p.reloads <- attempts:
	default:
	}
}
