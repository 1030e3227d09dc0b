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

// Dispatchers as processes run out of descriptors while generations are read, moved and written, and clients that say nothing hold
// all that is given back: what runs goes on, what comes is told so, no state is pinned, and with room again service is back without
// a restart. Judged from what clients and hosts saw.
func TestDayWithoutDescriptors(t *testing.T) {
	script, err := scenarios.ReadScript("room", []byte(`name: "room" seconds: 11 rate: 40
		troubles { at_ms: 2500 kind: "descriptors" share: 1 factor: 6 for_ms: 3000 }`))
	if err != nil {
		t.Fatal(err)
	}
	p := &scenarios.Run{Script: script, Deployment: deployment.Standard(), Dispatchers: 1, Seed: 4, Binary: binary}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var held sync.WaitGroup
	p.OnLoadStarted = func(addrs []string) {
		held.Go(func() { // clients that hold what they can get, while there is little
			begun, tick := time.Now(), time.NewTicker(5*time.Millisecond)
			defer tick.Stop()
			var open []net.Conn
			defer func() {
				for _, c := range open {
					c.Close()
				}
			}()
			for range tick.C {
				if at := time.Since(begun); at > 5500*time.Millisecond {
					return
				} else if at < 2500*time.Millisecond {
					continue
				}
				if c, err := net.DialTimeout("tcp", addrs[0], time.Second); err == nil {
					open = append(open, c)
				}
			}
		})
	}
	v, err := p.Run(ctx)
	held.Wait()
	if err != nil {
		t.Fatal(err)
	}
	t.Log(v.Text())
	if !v.Passed() {
		t.Error("a rule was broken")
	}
	asked, streamed := p.CompletedInSecond(9)
	if asked < 20 || streamed*10 < asked*9 {
		t.Errorf("with room again %d of %d are streamed", streamed, asked)
	}
	if asked, streamed = p.CompletedInSecond(4); asked < 10 || streamed == asked {
		t.Errorf("without room %d of %d are streamed: it did not bind", streamed, asked)
	}
}
