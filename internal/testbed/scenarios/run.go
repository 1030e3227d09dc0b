// Package scenarios runs scripted scenarios: dispatchers against simulated endpoints that fail as the script says, with
// load from simulated clients. Each run is audited from the record of what clients and endpoints observed.
//
// A scenario runs over sockets, with dispatchers as real processes that are killed with SIGKILL, or in virtual time
// within this process, where the same seed gives the same run. The package owns the processes, event loops and files of
// a run, and injects the faults. It uses the packages modelserver, load, record and audit of the test bed. The audit
// never inspects the internal state of a dispatcher. A run in virtual time does: it reads which requests are still open
// at the end, the usage and the lifecycle transitions, and checks the invariants for fault searches.
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

	quotaShare = 0.4 // quota of each of the three tenants, as a share of the total rate
)

// Run is one run of a scenario. Its exported fields up to ExtraLatency may be set before the run; BatchClients and the
// exported fields after it are the results of the run.
type Run struct {
	Script      *pb.Day
	Deployment  deployment.Deployment
	Dispatchers int
	Seed        int64
	Binary      string // path of this program's executable
	RecordDir   string // folder that the record is written to; empty: it stays in memory
	Progress    io.Writer
	// UseIdempotencyKeys makes clients send an Idempotency-Key and retry broken streams at the same dispatcher.
	UseIdempotencyKeys bool
	StoreIntents       bool                     // dispatchers store intents that survive their restarts
	OnLoadStarted      func(addresses []string) // over sockets: called with the dispatchers' addresses

	// In virtual time only.
	Mutant       *Mutant
	AfterStep    func()                  // called after each step of the network
	ExtraLatency func() eventloop.Micros // extra latency of each segment or close, once the load has started

	BatchClients []*load.BatchClients
	// In virtual time only.
	Usage             []tenancy.Usage      // usage that the dispatchers report
	Steps             int                  // steps of the virtual network
	LifecycleCoverage []lifecycle.Coverage // lifecycle transitions that the last incarnation of each dispatcher reached

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

// loop is the event loop interface of a run, implemented over sockets and in virtual time.
type loop interface {
	eventloop.Loop
	Do(f func())
	Post(f func())
}

// faultTarget is one dispatcher of a run that faults can be injected into.
type faultTarget interface {
	// crash kills the dispatcher without a shutdown and restarts it after the downtime.
	crash(ctx context.Context, downtime eventloop.Micros)
	// limitDescriptors limits the dispatcher to the descriptors that it has open plus some spare ones. The function
	// returned lifts the limit.
	limitDescriptors(spare int) (undo func())
}

// ReplaceTenants replaces the tenants of a deployment and returns the API keys of the new ones.
func ReplaceTenants(d deployment.Deployment, names []string, quota float64, key func(i int) string) (keys []string) {
	d.Tenants = nil
	for i, name := range names {
		keys = append(keys, key(i))
		digest := sha256.Sum256([]byte(keys[i]))
		d.Tenants = append(d.Tenants,
			&pb.Tenant{Name: name, KeySha256: []string{hex.EncodeToString(digest[:])}, QuotaPerS: quota})
	}
	return keys
}

// prepare sets the scenario's tenants and number of dispatchers in the deployment and opens the record. It returns the
// text of the deployment.
func (r *Run) prepare() (text []byte, err error) {
	r.random = rand.New(rand.NewSource(r.Seed))
	r.tenantKeys = ReplaceTenants(r.Deployment, []string{"north", "middle", "south"}, quotaShare*r.Script.Rate,
		func(i int) string { return fmt.Sprintf("sk-day-%d-%016x", i, r.random.Uint64()) })
	r.Deployment.Dispatching.Dispatchers = uint32(r.Dispatchers)
	if err := r.checkBatches(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", r.Script.Name, err)
	}
	text = r.Deployment.Text()
	r.recorder, err = openRecorder(r.RecordDir, text)
	return text, err
}

// checkBatches checks the script's batches against the deployment's products and tenants and the limits of a call.
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

// findProduct returns the deployment's product with a name, or nil.
func (r *Run) findProduct(name string) (found *pb.Product) {
	for _, product := range r.Deployment.Products {
		if product.Name == name {
			found = product
		}
	}
	return found
}

// openRecorder opens a record in a folder and stores the deployment, which the audit needs, beside it. Without a folder
// the record stays in memory.
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

// closeAndAudit closes the record and audits it.
func (r *Run) closeAndAudit() (*audit.Verdict, error) {
	events, err := r.recorder.Close()
	if err != nil {
		return nil, err
	}
	r.events = events
	return audit.Judge(r.Deployment, events), nil
}

// JudgeRecorded audits the record of an earlier run.
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

// newTarget returns the target of a dispatcher that has not started. Dispatchers are assigned to zones round robin.
func (r *Run) newTarget(index int) *load.Target {
	return &load.Target{Zone: r.Deployment.Zones[index%len(r.Deployment.Zones)], Addr: anyLocalPort, Alive: true}
}

// startFleet starts the simulated endpoints and their discovery service.
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
		r.generator.Rate, r.generator.UseIdempotencyKeys = r.Script.Rate, r.UseIdempotencyKeys
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

// scheduleBatch schedules the start and the stop of the clients of a batch.
func (r *Run) scheduleBatch(batch *pb.Day_Batch) {
	clients := &load.BatchClients{Generator: r.generator, Product: r.findProduct(batch.Product), Tenant: int(batch.Tenant),
		Concurrency: int(batch.AtOnce), InputsPerCall: int(batch.Inputs), TokensPerInput: int(batch.Tokens),
		MaxCalls: int(batch.Calls)}
	r.BatchClients = append(r.BatchClients, clients)
	r.clientLoop.AfterFunc(eventloop.Micros(batch.FromMs)*eventloop.Millisecond, clients.Run)
	if batch.ForMs > 0 {
		r.clientLoop.AfterFunc(eventloop.Micros(batch.FromMs+batch.ForMs)*eventloop.Millisecond, clients.Stop)
	}
}

// stopLoad lets clients start no further requests; those in flight continue.
func (r *Run) stopLoad() {
	r.generator.Stop()
	for _, clients := range r.BatchClients {
		clients.Stop()
	}
}

// openCalls returns how many chat requests and batch calls of the clients are in flight.
func (r *Run) openCalls() int {
	open := r.generator.OpenRequests
	for _, clients := range r.BatchClients {
		open += clients.OpenCalls
	}
	return open
}

// pickShare draws a share of a list at random, but at least one element.
func pickShare[T any](random *rand.Rand, all []T, share float64) (picked []T) {
	count := min(max(int(share*float64(len(all))+0.5), 1), len(all))
	for _, i := range random.Perm(len(all))[:count] {
		picked = append(picked, all[i])
	}
	return picked
}
