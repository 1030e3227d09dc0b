package cli

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"os"

	"plumspindle/internal/admin"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/sockets"
	"plumspindle/internal/testbed/scenarios"
)

type adminCommand struct {
	Listen    string `default:"127.0.0.1:8070" help:"Address of the admin service, loopback only; port 0 selects a free port. Operators and dispatchers both connect here."`
	Records   string `required:"" type:"path" help:"Folder that stores the tenants, their usage and the log of changes."`
	Secret    string `required:"" type:"path" help:"File with the secret that keys are sealed with, at least 32 bytes, mode 600; dispatchers need the same secret."`
	Staff     string `required:"" type:"existingfile" help:"File with one line for each operator or viewer: role, name, SHA-256 of the key."`
	ReadyFile string `help:"File that is written, as JSON, once the admin service accepts requests."`
}

// Run serves the admin API until ctx ends.
func (c *adminCommand) Run(ctx context.Context, env *environment) error {
	secret, err := admin.ReadSecret(c.Secret)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.Staff)
	if err != nil {
		return fmt.Errorf("staff: %w", err)
	}
	staff, err := admin.ParseStaff(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", c.Staff, err)
	}
	records, err := admin.OpenStoredRecords(c.Records)
	if err != nil {
		return err
	}
	defer records.Close()
	loop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer loop.Stop()
	listener, err := startAdmin(loop, c.Listen,
		admin.Config{Secret: secret, Staff: staff, Records: records, Random: crand.Reader, Log: env.log})
	if err != nil {
		return err
	}
	api := "http://" + listener.Addr()
	if err := scenarios.WriteReady(c.ReadyFile, scenarios.Ready{API: api}); err != nil {
		return err
	}
	env.log.Info().Str("admin", api).Msg("serving")
	<-ctx.Done()
	loop.Do(listener.Close)
	return nil
}

// startAdmin starts the admin service on an event loop and listens for its clients.
func startAdmin(loop *sockets.Loop, address string, config admin.Config) (eventloop.Listener, error) {
	var listener eventloop.Listener
	var err error
	loop.Do(func() {
		var server *admin.Server
		if server, err = admin.Start(loop, config); err == nil {
			listener, err = loop.Listen(address, server.Accept)
		}
	})
	return listener, err
}
