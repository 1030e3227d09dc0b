package platform

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/platform/server"
	"plumspindle/scheduler"
)

const (
	// An id is not accepted again for so long after its request's answer: a duplicate of an open request may come when
	// that has just ended.
	recentIDTime = 10 * eventloop.Second
	// bytesPerToken estimates a prompt's length where the client does not give it.
	bytesPerToken = 4
)

// request is what the dispatcher records of a client's request: what the scheduler does not know, and nothing that it
// does.
type request struct {
	id      scheduler.RequestID
	class   scheduler.ClassID
	client  client
	attempt attempt
	lease   lease
	ledger  *guard.Request
}

// client is the client's side of a request.
type client struct {
	*server.Request
	response *server.Response
	answered bool // or nobody waits any more
	reason   scheduler.Reason
}

// Handle implements server.Handler.
func (d *Dispatcher) Handle(accepted *server.Request, response *server.Response) *server.Rejection {
	class := slices.Index(d.settings.Classes, accepted.Class)
	if class < 0 {
		reason := fmt.Sprintf("unknown kind of request %.40q", accepted.Class)
		return &server.Rejection{Status: http.StatusBadRequest, Reason: reason}
	}
	if d.isDuplicate(accepted.ID) {
		return &server.Rejection{Status: http.StatusConflict, Reason: "the id is that of another request"}
	}
	if accepted.PromptTokens == 0 {
		accepted.PromptTokens = float64(len(accepted.Body)) / bytesPerToken
	}
	d.lastRequest++
	d.Accepted++
	r := &request{
		id:     d.lastRequest,
		class:  scheduler.ClassID(class),
		client: client{Request: accepted, response: response},
		ledger: d.openLedger(accepted, scheduler.ClassID(class)),
	}
	d.debugRequest(r).Str("class", accepted.Class).Int64("timeout_us", int64(accepted.Timeout)).Msg("request accepted")
	d.requests[r.id] = r
	d.activeIDs[accepted.ID] = true
	response.OnDisconnect = func() {
		d.loop.Defer(func() { d.clientDisconnected(r) }) // never within the scheduler's own call
	}
	response.OnWritable = func() {
		if r.attempt.inFlight != nil {
			r.attempt.inFlight.PauseReading(false)
		}
	}
	d.scheduler.RequestArrived(d.loop.Now(), d.arrival(r))
	d.finishIfIdle(r)
	return nil
}

// arrival is the request in the scheduler's terms.
func (d *Dispatcher) arrival(r *request) scheduler.Arrival {
	tenant := max(slices.Index(d.settings.Tenants, r.client.Tenant), 0)
	return scheduler.Arrival{
		ID:              r.id,
		Session:         scheduler.SessionID(hashName(r.client.Session)),
		Prefix:          scheduler.PrefixID(hashName(r.client.Prefix)),
		Class:           r.class,
		Tenant:          scheduler.TenantID(tenant),
		PromptTokens:    r.client.PromptTokens,
		PrefixTokens:    r.client.PrefixTokens,
		MaxOutputTokens: r.client.MaxOutputTokens,
		Deadline:        r.client.ReceivedAt + r.client.Timeout,
	}
}

// hashName makes a number of a session's or a prefix's id, alike at every dispatcher; only an empty id's is 0.
func hashName(id string) uint64 {
	if id == "" {
		return 0
	}
	return max(xxhash.Sum64String(id), 1)
}

// clientDisconnected ends what is done for a request that nobody waits for.
func (d *Dispatcher) clientDisconnected(r *request) {
	if r.client.answered {
		return
	}
	r.client.answered = true
	d.ClientDisconnects++
	r.ledger.ClientDisconnected(d.loop.Now())
	d.debugRequest(r).Bool("started", r.attempt.started).Int("attempts", int(r.attempt.count)).
		Msg("client disconnected")
	if r.attempt.started {
		inFlight, number := r.attempt.inFlight, r.attempt.number()
		inFlight.Cancel()
		d.attemptEnded(r, number, newResult(scheduler.Cancelled, reasonClientDisconnected))
		return
	}
	d.scheduler.ClientDisconnected(d.loop.Now(), r.id)
	d.cancelUnsent(r)
	d.finishIfIdle(r)
}

// cancelUnsent cancels an attempt that has not been written and must not be, as nobody waits for it any more. That is
// done also where the settings allow no cancellation.
func (d *Dispatcher) cancelUnsent(r *request) {
	unsent := r.attempt.inFlight != nil && r.attempt.inFlight.Unsent()
	if unsent || r.lease.waiting != nil {
		d.Cancel(r.id, r.attempt.number())
	}
}

// finishIfIdle does, after each of the scheduler's calls, what no order comes for: a request without an attempt in
// flight has its KV state released, and one that is answered is forgotten.
func (d *Dispatcher) finishIfIdle(r *request) {
	if r.attempt.inFlight != nil || r.lease.waiting != nil || r.lease.releasing || d.requests[r.id] != r {
		return
	}
	if r.lease.active {
		d.release(r)
		return
	}
	if r.client.answered {
		r.ledger.Closed()
		delete(d.requests, r.id)
		delete(d.activeIDs, r.client.ID)
		d.recentIDs[0][r.client.ID] = true
	}
}

// isDuplicate reports whether an id is that of a request that is open, or was a while ago.
func (d *Dispatcher) isDuplicate(id string) bool {
	return d.activeIDs[id] || d.recentIDs[0][id] || d.recentIDs[1][id]
}

// expireIDs drops the ids of requests that were answered a while ago, again and again.
func (d *Dispatcher) expireIDs() {
	d.recentIDs[1], d.recentIDs[0] = d.recentIDs[0], map[string]bool{}
	d.loop.AfterFunc(recentIDTime, d.expireIDs)
}

// requestsByID are the requests in order, so that nothing depends on the order of a map.
func (d *Dispatcher) requestsByID() []*request {
	byID := func(a, b *request) int { return cmp.Compare(a.id, b.id) }
	return slices.SortedFunc(maps.Values(d.requests), byID)
}
