package platform

import (
	"math/rand"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// auditor checks what reaches the endpoints: that nothing is repeated that must not be, and that nothing comes after a
// disconnect or a drain.
type auditor struct {
	t              *testing.T
	classes        map[string]testClass // by request
	hanging        map[string]*endpointConn
	ranAt          map[string]eventloop.Micros // when the first attempt that may have had an effect arrived
	prefillKind    string                      // attempts at its endpoints have none
	disconnectedAt map[string]eventloop.Micros
	drainedAt      map[*fakeEndpoint]eventloop.Micros
}

// What a disconnect or a change of the list may take to be known: the way through the network and the loop's own
// pauses.
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

// watch checks what an endpoint is sent, and has it misbehave by chance.
func (a *auditor) watch(endpoint *fakeEndpoint, random *rand.Rand) {
	usual := endpoint.serve
	faults := []func(*endpointConn){respond(500), decline(503), reset, sendRaw("noise"), hang}
	const declines, hangs = 1, 4
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
		usual(conn)
	}
}

// checkArrival checks when an attempt comes.
func (a *auditor) checkArrival(id string, endpoint *fakeEndpoint) {
	a.t.Helper()
	now := endpoint.env.network.Now()
	visitor, _, _ := strings.Cut(id, ".")
	if at := a.disconnectedAt[visitor]; at > 0 && now > at+disconnectLatency {
		a.t.Errorf("%s: an attempt %d ms after its client's disconnect", id, (now-at)/eventloop.Millisecond)
	}
	if at := a.drainedAt[endpoint]; at > 0 && now > at+drainLatency {
		a.t.Errorf("%s: an attempt at %s %d ms after its drain", id, endpoint.id, (now-at)/eventloop.Millisecond)
	}
	if before := a.hanging[id]; before != nil && !before.closed {
		a.t.Errorf("%s: a second attempt is in flight", id)
	}
}

// checkRepeat checks an attempt against those before, and records one that may run.
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
