package cli

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"plumspindle/internal/deployment"
	"plumspindle/internal/testbed/scenarios"
)

// TestScenarioWithoutFreeDescriptors lets a dispatcher process run out of file descriptors while requests are
// prefilled, migrated and decoded. Silent clients occupy every descriptor that it releases. Requests in flight must
// continue, new ones must be rejected, and no prompt state may stay pinned on an endpoint. Once descriptors are free
// again, service must return without a restart. The audit judges the run by what clients and endpoints saw.
func TestScenarioWithoutFreeDescriptors(t *testing.T) {
	const (
		begin, duration = 2500 * time.Millisecond, 3 * time.Second // of the descriptor shortage
		requiredShare   = 0.9
	)
	script, err := scenarios.ReadScript("room", []byte(`name: "room" seconds: 11 rate: 40
		troubles { at_ms: 2500 kind: "descriptors" share: 1 factor: 6 for_ms: 3000 }`))
	if err != nil {
		t.Fatal(err)
	}
	run := &scenarios.Run{Script: script, Deployment: deployment.Standard(), Dispatchers: 1, Seed: 4, Binary: binary}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var silentClients sync.WaitGroup
	run.OnLoadStarted = func(addresses []string) {
		silentClients.Go(func() { occupyDescriptors(addresses[0], begin, begin+duration) })
	}
	verdict, err := run.Run(ctx)
	silentClients.Wait()
	if err != nil {
		t.Fatal(err)
	}
	t.Log(verdict.Text())
	if !verdict.Passed() {
		t.Error("the audit found a violated rule")
	}
	requests, completed := run.CompletedInSecond(9)
	if requests < 20 || float64(completed) < float64(requests)*requiredShare {
		t.Errorf("after the shortage %d of %d requests completed", completed, requests)
	}
	if requests, completed = run.CompletedInSecond(4); requests < 10 || completed == requests {
		t.Errorf("during the shortage %d of %d requests completed, so that it had no effect", completed, requests)
	}
}

// occupyDescriptors opens connections that send nothing during a span of time, and closes them at its end. Both ends of
// the span are measured from the call of the function.
func occupyDescriptors(address string, from, to time.Duration) {
	startTime, ticker := time.Now(), time.NewTicker(5*time.Millisecond)
	defer ticker.Stop()
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}()
	for range ticker.C {
		elapsed := time.Since(startTime)
		if elapsed > to {
			return
		}
		if elapsed < from {
			continue
		}
		if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			open = append(open, conn)
		}
	}
}
