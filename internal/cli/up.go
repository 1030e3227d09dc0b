package cli

import (
	"context"
	crand "crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"plumspindle/internal/admin"
	"plumspindle/internal/deployment"
	"plumspindle/internal/sockets"
	"plumspindle/internal/testbed/scenarios"
)

type upCommand struct {
	Listen    string `default:"127.0.0.1:8080" help:"Address that clients connect to, loopback only; port 0 selects a free port."`
	Admin     string `default:"127.0.0.1:0" help:"Address of the admin service, loopback only; port 0 selects a free port."`
	ReadyFile string `help:"File that is written, as JSON with the address of each API and a key for it, once both accept requests."`
	Seed      int64  `help:"Seed of all random choices; 0 for a random seed."`
}

const (
	anyLocalPort      = "127.0.0.1:0"
	readyPollInterval = 2 * time.Millisecond
)

// localSecrets holds the secrets that each start generates: the secret that seals keys, the API key of the only tenant
// and the admin key of the operator.
type localSecrets struct {
	sealingKey  [48]byte
	tenantKey   string
	operatorKey string
}

// newLocalSecrets generates random secrets.
func newLocalSecrets() (*localSecrets, error) {
	s := &localSecrets{}
	if _, err := crand.Read(s.sealingKey[:]); err != nil {
		return nil, fmt.Errorf("secret: %w", err)
	}
	s.tenantKey = "sk-local-" + hex.EncodeToString(s.sealingKey[30:])
	s.operatorKey = "op-" + hex.EncodeToString(s.sealingKey[:9])
	return s, nil
}

// Run runs the admin service, the endpoints and a dispatcher until ctx ends.
func (c *upCommand) Run(ctx context.Context, env *environment) error {
	dep := deployment.Standard()
	secrets, err := newLocalSecrets()
	if err != nil {
		return err
	}
	scenarios.ReplaceTenants(dep, []string{"local"}, 0, func(int) string { return secrets.tenantKey })
	adminLoop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer adminLoop.Stop()
	operator := admin.StaffMember{Name: "local", Role: admin.Operator, Digest: sha256.Sum256([]byte(secrets.operatorKey))}
	adminListener, err := startAdmin(adminLoop, c.Admin, admin.Config{Secret: secrets.sealingKey[:],
		Staff: []admin.StaffMember{operator}, Records: &admin.MemoryRecords{}, Random: crand.Reader, Log: env.log})
	if err != nil {
		return err
	}
	fleetLoop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer fleetLoop.Stop()
	fleet, err := startFleet(fleetLoop, dep, c.Seed, anyLocalPort)
	if err != nil {
		return err
	}
	serve := &serveCommand{Listen: c.Listen, Discovery: fleet.Discovery.Addr, Seed: c.Seed, Tenants: adminListener.Addr()}
	process, err := serve.start(env.log, dep, secrets.sealingKey[:])
	if err != nil {
		return err
	}
	defer process.close()
	if !process.waitUntilReady(ctx) {
		return nil
	}
	ready := scenarios.Ready{API: "http://" + process.listener.Addr(), Key: secrets.tenantKey,
		Admin: "http://" + adminListener.Addr(), AdminKey: secrets.operatorKey}
	if err := scenarios.WriteReady(c.ReadyFile, ready); err != nil {
		return err
	}
	printUsage(env, ready, len(fleet.Endpoints))
	<-ctx.Done()
	return process.shutDown(localShutdownTimeout)
}

// waitUntilReady returns true once the dispatcher is ready, or false if ctx ends first.
func (p *dispatcherProcess) waitUntilReady(ctx context.Context) bool {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		ready := false
		p.loop.Do(func() { ready = p.dispatcher.Ready() })
		if ready {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// printUsage prints example commands that call the admin API and the chat API.
func printUsage(env *environment, ready scenarios.Ready, endpoints int) {
	env.printf("Tenants: PLUMSPINDLE_ADMIN=%s PLUMSPINDLE_ADMIN_KEY=%s plumspindle tenant add NAME\n\n",
		ready.Admin, ready.AdminKey)
	env.printf("Serving at %s with %d stand-in endpoints. Try:\n\n"+
		"curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-H 'Content-Type: application/json' -d '{\"model\":\"explain\",\"stream\":true,\"max_tokens\":24,"+
		"\"messages\":[{\"role\":\"user\",\"content\":\"Why did the build fail?\"}]}'\n\n",
		ready.API, endpoints, ready.API, ready.Key)
}
