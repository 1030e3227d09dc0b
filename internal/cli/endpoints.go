package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"plumspindle/internal/deployment"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/sockets"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/scenarios"
)

type endpointsCommand struct {
	Deployment string `type:"existingfile" help:"File with a deployment that has a fleet; the built-in deployment if none is given."`
	Discovery  string `name:"roster" default:"127.0.0.1:8090" help:"Address that discovery listens on, loopback only; port 0 selects a free port. Empty for no discovery, as with --list-out and a separate discovery service."`
	ListOut    string `type:"path" help:"File that the endpoint list is written to, for a separate discovery service."`
	ReadyFile  string `help:"File that is written, as JSON, once all endpoints accept requests."`
	Seed       int64  `help:"Seed of all random choices; 0 for a random seed."`
}

// Run runs the stand-in endpoints, and their discovery service if it has an address, until ctx ends.
func (c *endpointsCommand) Run(ctx context.Context, env *environment) error {
	dep, err := loadDeployment(c.Deployment)
	if err != nil {
		return err
	}
	loop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer loop.Stop()
	fleet, err := startFleet(loop, dep, c.Seed, c.Discovery)
	if err != nil {
		return err
	}
	if c.ListOut != "" {
		list, err := json.Marshal(endpoints.Update{Complete: true, Endpoints: fleet.Entries()})
		if err != nil {
			return fmt.Errorf("endpoint list: %w", err)
		}
		if err := replaceFile(c.ListOut, list); err != nil {
			return err
		}
	}
	discovery := ""
	if fleet.Discovery != nil {
		discovery = "http://" + fleet.Discovery.Addr
	}
	if err := scenarios.WriteReady(c.ReadyFile, scenarios.Ready{API: discovery}); err != nil {
		return err
	}
	for _, endpoint := range fleet.Endpoints {
		env.log.Info().Uint32("endpoint", endpoint.ID).Str("zone", endpoint.Zone).Uint16("cell", endpoint.Cell).
			Str("address", endpoint.Addr).Msg("stand-in endpoint")
	}
	env.log.Info().Str("discovery", discovery).Msg("serving")
	<-ctx.Done()
	loop.Do(fleet.Close)
	return nil
}

// startFleet starts a deployment's stand-in endpoints, and their discovery service unless its address is empty.
func startFleet(
	loop *sockets.Loop, dep deployment.Deployment, seed int64, discovery string,
) (*modelserver.Fleet, error) {
	var fleet *modelserver.Fleet
	var err error
	loop.Do(func() { fleet, err = modelserver.Start(loop, dep, seedOrRandom(seed), discovery, nil) })
	return fleet, err
}
