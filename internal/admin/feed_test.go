package admin

import (
	"fmt"
	"testing"

	"plumspindle/internal/dispatch"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/tenancy"
)

// The data that is buffered for a follower that reads nothing is bounded, as the server aborts its connection. Other
// followers stay connected.
func TestFollowerThatReadsNothingIsCutOff(t *testing.T) {
	e := newEnvironment(t, 1)
	follower := &clientCall{
		network: e.network,
		parser:  http1.Parser{Response: true, Limits: http1.DefaultLimits},
		events:  sse.Parser{MaxEventBytes: 64 << 20},
	}
	follower.request = http1.AppendRequest(nil, http1.Request{
		Method: "GET", Target: internalPrefix + "tenants?epoch=&since=0", Host: e.serverAddr,
	}, "Authorization", "Bearer "+dispatch.FeedToken(secret))
	e.clientLoop.Do(func() { follower.conn = e.clientLoop.Dial(e.serverAddr, eventloop.Second, follower) })
	e.network.Run(100 * eventloop.Millisecond)
	e.clientLoop.Do(func() { follower.conn.SetPaused(true) })
	buffered := 0
	for i := range 400 {
		e.serverLoop.Do(func() { e.server.route(createTenantRequest(fmt.Sprint("t", i))) })
		// Sends each follower a complete update.
		e.serverLoop.Do(func() { e.server.notifyFollowers(tenancy.NewRegistry("")) })
		for _, f := range e.server.followers {
			buffered = max(buffered, f.conn.Unsent())
		}
		e.network.Run(10 * eventloop.Millisecond)
	}
	if buffered > 2*maxUnsentBytes || len(e.server.followers) != 1 {
		t.Errorf("%d bytes are buffered for a follower that reads nothing; %d followers", buffered, len(e.server.followers))
	}
}
