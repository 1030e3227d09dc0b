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
	req := &request{
		id:     d.lastRequest,
		class:  scheduler.ClassID(class),
		client: client{Request: accepted, response: response},
		ledger: d.openLedger(accepted, scheduler.ClassID(class)),
	}
	d.debugRequest(req).Str("class", accepted.Class).Int64("timeout_us", int64(accepted.Timeout)).Msg("request accepted")
	d.requests[req.id] = req
	d.activeIDs[accepted.ID] = true
	response.OnDisconnect = func() {
		d.loop.Defer(func() { d.clientDisconnected(req) }) // never within the scheduler's own call
	}
	response.OnWritable = func() {
		if req.attempt.inFlight != nil {
			req.attempt.inFlight.PauseReading(false)
		}
	}
	d.scheduler.RequestArrived(d.loop.Now(), d.arrival(req))
	d.finishIfIdle(req)
	return nil
}

// arrival is the request in the scheduler's terms.
func (d *Dispatcher) arrival(req *request) scheduler.Arrival {
	tenant := max(slices.Index(d.settings.Tenants, req.client.Tenant), 0)
	return scheduler.Arrival{
		ID:              req.id,
		Session:         scheduler.SessionID(hashName(req.client.Session)),
		Prefix:          scheduler.PrefixID(hashName(req.client.Prefix)),
		Class:           req.class,
		Tenant:          scheduler.TenantID(tenant),
		PromptTokens:    req.client.PromptTokens,
		PrefixTokens:    req.client.PrefixTokens,
		MaxOutputTokens: req.client.MaxOutputTokens,
		Deadline:        req.client.ReceivedAt + req.client.Timeout,
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
func (d *Dispatcher) clientDisconnected(req *request) {
	if req.client.answered {
		return
	}
	req.client.answered = true
	d.ClientDisconnects++
	req.ledger.ClientDisconnected(d.loop.Now())
	d.debugRequest(req).Bool("started", req.attempt.started).Int("attempts", int(req.attempt.count)).
		Msg("client disconnected")
	if req.attempt.started {
		inFlight, number := req.attempt.inFlight, req.attempt.number()
		inFlight.Cancel()
		d.attemptEnded(req, number, newResult(scheduler.Cancelled, reasonClientDisconnected))
		return
	}
	d.scheduler.ClientDisconnected(d.loop.Now(), req.id)
	d.cancelUnsent(req)
	d.finishIfIdle(req)
}

// cancelUnsent cancels an attempt that has not been written and must not be, as nobody waits for it any more. That is
// done also where the settings allow no cancellation.
func (d *Dispatcher) cancelUnsent(req *request) {
	unsent := req.attempt.inFlight != nil && req.attempt.inFlight.Unsent()
	if unsent || req.lease.waiting != nil {
		d.Cancel(req.id, req.attempt.number())
	}
}

// finishIfIdle does, after each of the scheduler's calls, what no order comes for: a request without an attempt in
// flight has its KV state released, and one that is answered is forgotten.
func (d *Dispatcher) finishIfIdle(req *request) {
	if req.attempt.inFlight != nil || req.lease.waiting != nil || req.lease.releasing || d.requests[req.id] != req {
		return
	}
	if req.lease.active {
		d.release(req)
		return
	}
	if req.client.answered {
		req.ledger.Closed()
		delete(d.requests, req.id)
		delete(d.activeIDs, req.client.ID)
		d.recentIDs[0][req.client.ID] = true
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
