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

// Dispatchers as processes run out of descriptors while requests are prefilled, migrated and decoded, and silent
// clients occupy every descriptor that is released: requests in flight go on, new ones are rejected, no endpoint state
// stays pinned, and once descriptors are free again service returns without a restart. The judgement is by what clients
// and endpoints saw.
func TestScenarioWithoutFreeDescriptors(t *testing.T) {
	const (
		begin, duration = 2500 * time.Millisecond, 3 * time.Second // of the shortage
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
		t.Error("a rule was broken")
	}
	asked, completed := run.CompletedInSecond(9)
	if asked < 20 || float64(completed) < float64(asked)*requiredShare {
		t.Errorf("with descriptors again %d of %d are completed", completed, asked)
	}
	if asked, completed = run.CompletedInSecond(4); asked < 10 || completed == asked {
		t.Errorf("without descriptors %d of %d are completed: the shortage had no effect", completed, asked)
	}
}

// occupyDescriptors opens connections that say nothing, between two times from now on, and closes them at the end.
func occupyDescriptors(address string, from, to time.Duration) {
	began, ticker := time.Now(), time.NewTicker(5*time.Millisecond)
	defer ticker.Stop()
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}()
	for range ticker.C {
		elapsed := time.Since(began)
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
