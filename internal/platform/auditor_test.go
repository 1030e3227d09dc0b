package platform

import (
	"math/rand"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// auditor checks the attempts that reach the endpoints: that a request runs again only if a repeat is allowed, that no
// two attempts of a request are in flight, and that no attempt arrives after its client's disconnect or its endpoint's
// drain.
type auditor struct {
	t              *testing.T
	classes        map[string]testClass        // by request id
	hanging        map[string]*endpointConn    // by request id; connections of attempts that are never answered
	ranAt          map[string]eventloop.Micros // by request id; arrival of the first attempt that may have had effects
	prefillKind    string                      // the kind of the prefill endpoints, where attempts have no side effects
	disconnectedAt map[string]eventloop.Micros // by client id
	drainedAt      map[*fakeEndpoint]eventloop.Micros
}

// These constants limit how late an attempt may arrive after its client's disconnect or its endpoint's drain. The
// dispatcher learns of a disconnect or a drain only after the network's latency and after pauses of its event loop.
const (
	disconnectLatency = 220 * eventloop.Millisecond
	drainLatency      = 250 * eventloop.Millisecond
)

func newAuditor(t *testing.T, deployment testDeployment) *auditor {
	return &auditor{
		t:              t,
		classes:        map[string]testClass{},
		hanging:        map[string]*endpointConn{},
		ranAt:          map[string]eventloop.Micros{},
		prefillKind:    deployment.kinds[0],
		disconnectedAt: map[string]eventloop.Micros{},
		drainedAt:      map[*fakeEndpoint]eventloop.Micros{},
	}
}

// wrapEndpoint has the auditor check each attempt that an endpoint receives, and makes the endpoint misbehave at
// random.
func (a *auditor) wrapEndpoint(endpoint *fakeEndpoint, random *rand.Rand) {
	serveNormally := endpoint.serve
	faults := []func(*endpointConn){respond(500), decline(503), reset, sendRaw("noise"), hang}
	const declines, hangs = 1, 4 // indices into faults
	endpoint.serve = func(conn *endpointConn) {
		id := conn.head.Get("Req-Id")
		a.checkArrival(id, endpoint)
		delete(a.hanging, id)
		fault := -1
		if random.Intn(4) == 0 {
			fault = random.Intn(len(faults))
		}
		a.checkRepeat(id, endpoint, fault != declines)
		if fault == hangs {
			a.hanging[id] = conn
		}
		if fault >= 0 {
			faults[fault](conn)
			return
		}
		serveNormally(conn)
	}
}

// checkArrival checks that an attempt doesn't arrive after its client's disconnect or its endpoint's drain, nor while
// another attempt of the request is in flight.
func (a *auditor) checkArrival(id string, endpoint *fakeEndpoint) {
	a.t.Helper()
	now := endpoint.env.network.Now()
	clientID, _, _ := strings.Cut(id, ".")
	if at := a.disconnectedAt[clientID]; at > 0 && now > at+disconnectLatency {
		a.t.Errorf("%s: an attempt %d ms after its client's disconnect", id, (now-at)/eventloop.Millisecond)
	}
	if at := a.drainedAt[endpoint]; at > 0 && now > at+drainLatency {
		a.t.Errorf("%s: an attempt at %s %d ms after its drain", id, endpoint.id, (now-at)/eventloop.Millisecond)
	}
	if before := a.hanging[id]; before != nil && !before.closed {
		a.t.Errorf("%s: a second attempt is in flight", id)
	}
}

// checkRepeat checks that an attempt may repeat the request if an earlier attempt may have run. It records the first
// attempt that may have run.
func (a *auditor) checkRepeat(id string, endpoint *fakeEndpoint, mayRun bool) {
	a.t.Helper()
	if endpoint.kind == a.prefillKind {
		return
	}
	now := endpoint.env.network.Now()
	if first, ran := a.ranAt[id]; ran {
		class := a.classes[id]
		repeatable := class.effect == "read_like" || class.effect == "idempotency_key" && now <= first+class.window
		if !repeatable {
			a.t.Errorf("%s of %s (%s) ran again after %d ms", id, class.name, class.effect, (now-first)/eventloop.Millisecond)
		}
		return
	}
	if mayRun {
		a.ranAt[id] = now
	}
}
