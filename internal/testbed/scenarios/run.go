// Package scenarios runs scripted scenarios: dispatchers against stand-in endpoints that fail as the script says, with
// load from open-loop clients, judged by the record of what clients and endpoints saw.
//
// A scenario runs over sockets, with dispatchers as real processes that are killed outright, or in virtual time within
// this process, where the same seed is the same run. The package owns the processes, event loops and files of a run,
// and the injection of faults. It relies on testbed/modelserver, load, record and audit. It never looks into a
// dispatcher to judge it, but for the checks of its own state that fault searches ask for.
package scenarios

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand"
	"os"
	"path/filepath"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/tenancy"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/load"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/record"
)

const (
	deploymentFile = "deployment.textproto"
	recordFile     = "record.ndjson"
	anyLocalPort   = "127.0.0.1:0"

	maxBatchInputs = 2048
	minInputTokens = 8
	maxInputTokens = 8000

	quotaShare = 0.4 // of the whole rate, for each of the three tenants
)

// Run is one run of a scenario. Its exported fields up to Mutant may be set before a run, the last ones are its
// results.
type Run struct {
	Script      *pb.Day
	Deployment  deployment.Deployment
	Dispatchers int
	Seed        int64
	Binary      string // of this program
	RecordDir   string // that the record is written to; empty: it is not
	Progress    io.Writer
	// Keyed has clients send Idempotency-Keys and retry broken streams at the same dispatcher.
	Keyed         bool
	Intents       bool                     // dispatchers record intents across their incarnations
	OnLoadStarted func(addresses []string) // over sockets: with the dispatchers' addresses, once the load has begun

	// In virtual time only.
	Mutant    *Mutant
	AfterStep func()                  // called after each step
	Delay     func() eventloop.Micros // how much longer each segment is on its way, once the load has begun

	BatchClients []*load.BatchClients
	// In virtual time only.
	Usage   []tenancy.Usage      // what the dispatchers say was used
	Steps   int                  // of the world
	Reached []lifecycle.Coverage // by each dispatcher's last incarnation

	random       *rand.Rand
	tenantKeys   []string
	recorder     *record.Recorder
	events       []record.Event
	fleetLoop    loop
	clientLoop   loop
	fleet        *modelserver.Fleet
	generator    *load.Generator
	faultTargets []faultTarget

	sockets *socketRun  // nil in virtual time
	virtual *virtualRun // nil over sockets
}

// loop is an event loop as a run needs it, over sockets or in virtual time.
type loop interface {
	eventloop.Loop
	Do(f func())
	Post(f func())
}

// faultTarget is one dispatcher of a run, as faults act on it.
type faultTarget interface {
	// crash kills it outright and brings it back after a while.
	crash(ctx context.Context, downtime eventloop.Micros)
	// limitDescriptors leaves it so many descriptors beyond those that it has open, until the function returned is called.
	limitDescriptors(spare int) (undo func())
}

// Tenants replaces a deployment's tenants, and returns the keys of the new ones.
func Tenants(d deployment.Deployment, names []string, quota float64, key func(i int) string) (keys []string) {
	d.Tenants = nil
	for i, name := range names {
		keys = append(keys, key(i))
		digest := sha256.Sum256([]byte(keys[i]))
		d.Tenants = append(d.Tenants,
			&pb.Tenant{Name: name, KeySha256: []string{hex.EncodeToString(digest[:])}, QuotaPerS: quota})
	}
	return keys
}

// prepare gives the deployment the scenario's tenants and its number of dispatchers, and begins the record. It returns
// the deployment's text.
func (r *Run) prepare() (text []byte, err error) {
	r.random = rand.New(rand.NewSource(r.Seed))
	r.tenantKeys = Tenants(r.Deployment, []string{"north", "middle", "south"}, quotaShare*r.Script.Rate,
		func(i int) string { return fmt.Sprintf("sk-day-%d-%016x", i, r.random.Uint64()) })
	r.Deployment.Dispatching.Dispatchers = uint32(r.Dispatchers)
	if err := r.checkBatches(); err != nil {
		return nil, fmt.Errorf("day %s: %w", r.Script.Name, err)
	}
	text = r.Deployment.Text()
	r.recorder, err = openRecorder(r.RecordDir, text)
	return text, err
}

// checkBatches checks that the deployment has what the script's batches ask for.
func (r *Run) checkBatches() error {
	for i, batch := range r.Script.Batches {
		product := r.findProduct(batch.Product)
		switch {
		case product == nil || product.Form == pb.Product_CHAT:
			return fmt.Errorf("batches[%d].product: the deployment has no product %q for batches", i, batch.Product)
		case int(batch.Tenant) >= len(r.Deployment.Tenants):
			return fmt.Errorf("batches[%d].tenant: there are %d tenants, numbered from 0", i, len(r.Deployment.Tenants))
		case batch.Inputs < 1 || batch.Inputs > maxBatchInputs || batch.Tokens < minInputTokens ||
			batch.Tokens > maxInputTokens:
			return fmt.Errorf("batches[%d]: a call has 1 to %d inputs of %d to %d tokens",
				i, maxBatchInputs, minInputTokens, maxInputTokens)
		}
	}
	return nil
}

// findProduct returns the deployment's findProduct of a name, or nil.
func (r *Run) findProduct(name string) (found *pb.Product) {
	for _, product := range r.Deployment.Products {
		if product.Name == name {
			found = product
		}
	}
	return found
}

// openRecorder begins a record in a folder, beside the deployment that it is judged by; without a folder the record
// stays in memory.
func openRecorder(dir string, deploymentText []byte) (*record.Recorder, error) {
	if dir == "" {
		return record.Open("")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, deploymentFile), deploymentText, 0o644); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return record.Open(filepath.Join(dir, recordFile))
}

// closeAndAudit ends the record and judges it.
func (r *Run) closeAndAudit() (*audit.Verdict, error) {
	events, err := r.recorder.Close()
	if err != nil {
		return nil, err
	}
	r.events = events
	return audit.Judge(r.Deployment, events), nil
}

// JudgeRecorded judges the record of an earlier run.
func JudgeRecorded(dir string) (*audit.Verdict, error) {
	d, err := deployment.Load(filepath.Join(dir, deploymentFile))
	if err != nil {
		return nil, err
	}
	events, err := record.Read(filepath.Join(dir, recordFile))
	if err != nil {
		return nil, err
	}
	return audit.Judge(d, events), nil
}

// newTarget returns the target of a dispatcher that has not started; the zones take turns.
func (r *Run) newTarget(index int) *load.Target {
	return &load.Target{Zone: r.Deployment.Zones[index%len(r.Deployment.Zones)], Addr: anyLocalPort, Alive: true}
}

// startFleet starts the stand-in endpoints.
func (r *Run) startFleet() (err error) {
	r.fleetLoop.Do(func() {
		r.fleet, err = modelserver.Start(r.fleetLoop, r.Deployment, r.Seed, anyLocalPort, r.recorder)
	})
	return err
}

// startLoad starts the clients and schedules the faults.
func (r *Run) startLoad(ctx context.Context, targets []*load.Target) {
	r.clientLoop.Do(func() {
		r.generator = load.New(r.clientLoop, load.Config{Deployment: r.Deployment, Seed: r.Seed,
			Keys: r.tenantKeys, Targets: targets, Recorder: r.recorder})
		r.generator.Rate, r.generator.UseIdempotencyKeys = r.Script.Rate, r.Keyed
		r.generator.Run()
	})
	for _, batch := range r.Script.Batches {
		r.clientLoop.Do(func() { r.scheduleBatch(batch) })
	}
	for _, fault := range r.Script.Troubles {
		after := eventloop.Micros(fault.AtMs) * eventloop.Millisecond
		r.fleetLoop.Do(func() { r.fleetLoop.AfterFunc(after, func() { r.inject(ctx, fault) }) })
	}
}

func (r *Run) scheduleBatch(batch *pb.Day_Batch) {
	clients := &load.BatchClients{Generator: r.generator, Product: r.findProduct(batch.Product), Tenant: int(batch.Tenant),
		Concurrency: int(batch.AtOnce), InputsPerCall: int(batch.Inputs), TokensPerInput: int(batch.Tokens), MaxCalls: int(batch.Calls)}
	r.BatchClients = append(r.BatchClients, clients)
	r.clientLoop.AfterFunc(eventloop.Micros(batch.FromMs)*eventloop.Millisecond, clients.Run)
	if batch.ForMs > 0 {
		r.clientLoop.AfterFunc(eventloop.Micros(batch.FromMs+batch.ForMs)*eventloop.Millisecond, clients.Stop)
	}
}

// stopLoad has the clients send nothing more; requests in flight go on.
func (r *Run) stopLoad() {
	r.generator.Stop()
	for _, clients := range r.BatchClients {
		clients.Stop()
	}
}

// openCalls returns how many calls of clients are in flight.
func (r *Run) openCalls() int {
	open := r.generator.OpenRequests
	for _, clients := range r.BatchClients {
		open += clients.OpenCalls
	}
	return open
}

// pickShare draws a share of some things, one at least.
func pickShare[T any](random *rand.Rand, all []T, share float64) (picked []T) {
	count := min(max(int(share*float64(len(all))+0.5), 1), len(all))
	for _, i := range random.Perm(len(all))[:count] {
		picked = append(picked, all[i])
	}
	return picked
}
