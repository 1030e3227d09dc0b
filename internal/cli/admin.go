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
	Listen    string `default:"127.0.0.1:8070" help:"Address of the administration, loopback only; port 0 picks one. Dispatchers follow it here too."`
	Records   string `required:"" type:"path" help:"Folder that tenants, usage and the log of changes are stored in."`
	Secret    string `required:"" type:"path" help:"File with the secret that keys are sealed with, 32 bytes at least, mode 600; the dispatchers have the same."`
	Staff     string `required:"" type:"existingfile" help:"File with a line for each operator or viewer: role, name, SHA-256 of the key."`
	ReadyFile string `help:"File that is written, as JSON, once it serves."`
}

// Run serves until the program is asked to stop.
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

// startAdmin starts the administration on a loop and listens for its clients.
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
