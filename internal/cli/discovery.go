package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/sockets"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/scenarios"
)

type discoveryCommand struct {
	List      string `arg:"" type:"existingfile" help:"File with the endpoint list, as JSON: {\"hosts\":[{\"id\":1,\"addr\":\"127.0.0.1:9001\",\"zone\":...,\"kind\":...,\"cell\":0,\"condition\":\"ready\"}]}. It is read again whenever it changes."`
	Listen    string `default:"127.0.0.1:8090" help:"Address that discovery listens on, loopback only; port 0 selects a free port."`
	ReadyFile string `help:"File that is written, as JSON, once discovery accepts connections."`
}

// listPollInterval is the interval at which the file of the endpoint list is checked for changes.
const listPollInterval = 300 * time.Millisecond

// Run serves the endpoint list of the file until ctx ends.
func (c *discoveryCommand) Run(ctx context.Context, env *environment) error {
	entries, err := readEndpointList(c.List)
	if err != nil {
		return err
	}
	loop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer loop.Stop()
	var discovery *modelserver.Discovery
	loop.Do(func() { discovery, err = modelserver.NewDiscovery(loop, c.Listen, entries, nil) })
	if err != nil {
		return err
	}
	api := "http://" + discovery.Addr
	if err := scenarios.WriteReady(c.ReadyFile, scenarios.Ready{API: api}); err != nil {
		return err
	}
	env.log.Info().Str("discovery", api).Int("endpoints", len(entries)).Msg("serving")
	c.follow(ctx, env, func(entries []endpoints.Entry) {
		loop.Do(func() {
			if changes := discovery.Replace(entries); changes > 0 {
				env.log.Info().Int("changes", changes).Msg("endpoint list changed")
			}
		})
	})
	loop.Do(discovery.Close)
	return nil
}

// follow calls update with the endpoint list at its first poll of the file and whenever the file has changed, until ctx
// ends. It ignores a missing or invalid file, so that a bad write removes no endpoint.
func (c *discoveryCommand) follow(ctx context.Context, env *environment, update func([]endpoints.Entry)) {
	ticker := time.NewTicker(listPollInterval)
	defer ticker.Stop()
	var last os.FileInfo
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		info, err := os.Stat(c.List)
		if err != nil || last != nil && info.ModTime().Equal(last.ModTime()) && info.Size() == last.Size() {
			continue
		}
		last = info
		entries, err := readEndpointList(c.List)
		if err != nil {
			env.log.Error().Err(err).Msg("endpoint list unreadable")
			continue
		}
		update(entries)
	}
}

// readEndpointList reads an endpoint list and validates it with the code that dispatchers use.
func readEndpointList(path string) ([]endpoints.Entry, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("endpoint list: %w", err)
	}
	var list endpoints.Update
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, fmt.Errorf("endpoint list %s: %w", path, err)
	}
	list.Epoch, list.Version, list.Complete = "x", 1, true
	content, err = json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("endpoint list %s: %w", path, err)
	}
	view := endpoints.View{}
	entries, _, err := view.Apply(content)
	if err != nil {
		return nil, fmt.Errorf("endpoint list %s: %w", path, err)
	}
	return entries, nil
}
