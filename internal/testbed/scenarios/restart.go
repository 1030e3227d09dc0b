package scenarios

import (
	"errors"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/virtual"
)

// cachingTime is how long dispatchers run before they die, for the endpoint list to arrive and to be cached.
const cachingTime = 3 * eventloop.Second

// RunRestart runs one restart of all dispatchers in virtual time: they cache their endpoint lists, die together, and
// come back after a while in which a share of the endpoints has been replaced by others elsewhere, with discovery
// answering or not. The script's seconds and rate are those after the return.
func (p *Run) RunRestart(away eventloop.Micros, replaced float64, discovery bool) (
	verdict *audit.Verdict, leftOver int, err error) {
	if _, err := p.prepare(); err != nil {
		return nil, 0, err
	}
	network := virtual.NewNetwork(p.Seed)
	if err := p.startWorld(network); err != nil {
		return nil, 0, err
	}
	network.Run(cachingTime)
	for _, dispatcher := range p.world.dispatchers {
		if len(dispatcher.cachedEndpoints) == 0 {
			return nil, 0, errors.New("a dispatcher cached no endpoint list")
		}
		dispatcher.kill()
	}
	network.Run(away / 2)
	p.fleetLoop.Do(func() {
		err = p.fleet.Replace(replaced)
		if !discovery {
			p.fleet.Discovery.Close()
		}
	})
	if err != nil {
		return nil, 0, err
	}
	network.Run(away - away/2)
	for _, dispatcher := range p.world.dispatchers {
		if err := dispatcher.start(); err != nil {
			return nil, 0, err
		}
	}
	leftOver = p.runVirtualLoad()
	verdict, err = p.judge()
	if err = errors.Join(err, p.world.failure); err != nil {
		return nil, leftOver, err
	}
	return verdict, leftOver, nil
}
