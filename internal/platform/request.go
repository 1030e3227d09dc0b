package platform

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/platform/server"
	"plumspindle/scheduler"
)

// An id is not taken again for so long after its answer: a copy of an open request may come when that has just ended.
const recentIDTime = 10 * eventloop.Second

// request is what the dispatcher keeps of a client's request: what the module does not know, and nothing that it does.
type request struct {
	id       scheduler.RequestID
	class    scheduler.ClassID
	client   *server.Request
	response *server.Response
	answered bool // or nobody waits any more
	reason   scheduler.Reason
	ledger   *guard.Request

	// The attempt that is out.
	attempts   scheduler.AttemptNo // made so far
	attempt    *engine.Attempt
	endpoint   scheduler.EndpointID
	sentAt     eventloop.Micros // when it was ordered
	prefill    bool
	cancelling bool // it is given up, and its host may not have seen it yet
	started    bool // its stream has, and the client has it

	// The KV state that a host may hold for the request.
	leased        bool
	unconfirmed   bool                 // the prefill that may have left it was not answered
	leaseEndpoint scheduler.EndpointID // the likely one
	lease         eventloop.Timeout
	leaseEnd      eventloop.Micros
	confirming    bool   // whether a call has reached its host is looked at once more
	releasing     bool   // it is being released
	deferred      func() // the attempt that waits for it, as the release would take what that attempt leaves
}

// Handle implements server.Handler.
func (d *Dispatcher) Handle(client *server.Request, response *server.Response) *server.Rejection {
	class := slices.Index(d.settings.Classes, client.Class)
	if class < 0 {
		return &server.Rejection{Status: http.StatusBadRequest, Reason: fmt.Sprintf("unknown kind of request %.40q", client.Class)}
	}
	if d.activeIDs[client.ID] || d.recentIDs[0][client.ID] || d.recentIDs[1][client.ID] {
		return &server.Rejection{Status: http.StatusConflict, Reason: "the id is that of another request"}
	}
	tenant := max(slices.Index(d.settings.Tenants, client.Tenant), 0)
	if client.PromptTokens == 0 {
		client.PromptTokens = float64(len(client.Body)) / 4
	}
	d.lastRequest++
	d.Accepted++
	r := &request{id: d.lastRequest, class: scheduler.ClassID(class), client: client, response: response, ledger: d.openLedger(client, scheduler.ClassID(class))}
	d.logState(r, "accepted").Str("class", client.Class).Int64("allowed", int64(client.Timeout)).Msg("request")
	d.requests[r.id] = r
	d.activeIDs[client.ID] = true
	response.OnDisconnect = func() { d.loop.Defer(func() { d.clientDisconnected(r) }) } // never within the module's own call
	response.OnWritable = func() {
		if r.attempt != nil {
			r.attempt.PauseReading(false)
		}
	}
	d.scheduler.RequestArrived(d.loop.Now(), scheduler.Arrival{
		ID:              r.id,
		Session:         scheduler.SessionID(hashName(client.Session)),
		Prefix:          scheduler.PrefixID(hashName(client.Prefix)),
		Class:           scheduler.ClassID(class),
		Tenant:          scheduler.TenantID(tenant),
		PromptTokens:    client.PromptTokens,
		PrefixTokens:    client.PrefixTokens,
		MaxOutputTokens: client.MaxOutputTokens,
		Deadline:        client.ReceivedAt + client.Timeout,
	})
	d.finishIfIdle(r)
	return nil
}

// hashName makes a number of a session's or a prefix's id, alike at every dispatcher; none is 0.
func hashName(id string) uint64 {
	if id == "" {
		return 0
	}
	return max(xxhash.Sum64String(id), 1)
}

// clientDisconnected ends what is done for a request that nobody waits for.
func (d *Dispatcher) clientDisconnected(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	d.ClientDisconnects++
	r.ledger.ClientDisconnected(d.loop.Now())
	d.logState(r, "its client left").Bool("started", r.started).Int("attempts", int(r.attempts)).Msg("request")
	if r.started {
		attempt, no := r.attempt, r.attempts-1
		attempt.Cancel()
		d.attemptEnded(r, no, engine.Result{Outcome: scheduler.Cancelled, MemoryUsage: scheduler.NoLoadReport, Reason: "its client left"})
		return
	}
	d.scheduler.ClientDisconnected(d.loop.Now(), r.id)
	d.cancelUnsent(r)
	d.finishIfIdle(r)
}

// cancelUnsent takes an attempt back that has not begun and must not, as nobody waits for it any more. That is no cancellation, and done also
// where the settings allow none.
func (d *Dispatcher) cancelUnsent(r *request) {
	if r.deferred != nil || r.attempt != nil && r.attempt.Unsent() {
		d.Cancel(r.id, r.attempts-1)
	}
}

// finishIfIdle sees, after each of the module's calls, to what no order comes for: nothing stays held for a request without an attempt that
// is out, and one that is over is forgotten.
func (d *Dispatcher) finishIfIdle(r *request) {
	if r.attempt != nil || r.deferred != nil || r.releasing || d.requests[r.id] != r {
		return
	}
	if r.leased {
		d.release(r)
		return
	}
	if r.answered {
		r.ledger.Closed()
		delete(d.requests, r.id)
		delete(d.activeIDs, r.client.ID)
		d.recentIDs[0][r.client.ID] = true
	}
}

// forgetIDs drops the ids of requests that were answered a while ago.
func (d *Dispatcher) forgetIDs() {
	d.recentIDs[1], d.recentIDs[0] = d.recentIDs[0], map[string]bool{}
	d.loop.AfterFunc(recentIDTime, d.forgetIDs)
}

// requestsByID are the requests, so that nothing depends on the order of a map.
func (d *Dispatcher) requestsByID() []*request {
	return slices.SortedFunc(maps.Values(d.requests), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}
