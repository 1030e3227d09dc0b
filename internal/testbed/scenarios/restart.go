package scenarios

import (
	"errors"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/virtual"
)

// listCacheTime is how long dispatchers run before they are killed, so that they receive and cache the endpoint list.
const listCacheTime = 3 * eventloop.Second

// Restart configures what happens while all dispatchers are down.
type Restart struct {
	Downtime      eventloop.Micros
	ReplacedShare float64 // share of the endpoints that are replaced by new ones at other addresses
	DiscoveryDown bool    // discovery fails and stays down after the restart of the dispatchers
}

// RunRestart runs one restart of all dispatchers in virtual time: they cache their endpoint lists, are killed together
// and restart after the downtime. The load of the script starts after the restart.
func (r *Run) RunRestart(restart Restart) (*VirtualOutcome, error) {
	if _, err := r.prepare(); err != nil {
		return nil, err
	}
	network := virtual.NewNetwork(r.Seed)
	if err := r.startVirtual(network); err != nil {
		return nil, err
	}
	network.Run(listCacheTime)
	for _, dispatcher := range r.virtual.dispatchers {
		if len(dispatcher.cachedEndpoints) == 0 {
			return nil, errors.New("a dispatcher did not cache its endpoint list")
		}
		dispatcher.kill()
	}
	network.Run(restart.Downtime / 2)
	var err error
	r.fleetLoop.Do(func() {
		err = r.fleet.Replace(restart.ReplacedShare)
		if restart.DiscoveryDown {
			r.fleet.Discovery.Close()
		}
	})
	if err != nil {
		return nil, err
	}
	network.Run(restart.Downtime - restart.Downtime/2)
	for _, dispatcher := range r.virtual.dispatchers {
		if err := dispatcher.start(); err != nil {
			return nil, err
		}
	}
	return r.finishVirtual()
}
