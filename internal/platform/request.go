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
	// recentIDRetention is the minimum time for which the id of a request is rejected after the request has ended. A
	// duplicate that was sent while the request was open may arrive after the request has ended.
	recentIDRetention = 10 * eventloop.Second
	// bytesPerToken estimates a prompt's length in tokens from the size of the request's body, for clients that don't
	// give the length.
	bytesPerToken = 4
)

// request is the dispatcher's record of a client's request. It doesn't repeat what the scheduler records.
type request struct {
	id      scheduler.RequestID
	class   scheduler.ClassID
	client  client
	attempt attempt
	lease   lease
	ledger  *guard.Request
}

// client holds the parts of a request that concern its client: what the client sent, and the response to it.
type client struct {
	*server.Request
	response *server.Response
	closed   bool             // the client has its final answer, or has disconnected
	reason   scheduler.Reason // why the request was rejected or failed
}

// Handle implements server.Handler: it accepts a client's request and passes it to the scheduler, or returns why it
// rejects the request.
func (d *Dispatcher) Handle(incoming *server.Request, response *server.Response) *server.Rejection {
	class := slices.Index(d.settings.Classes, incoming.Class)
	if class < 0 {
		reason := fmt.Sprintf("unknown kind of request %.40q", incoming.Class)
		return &server.Rejection{Status: http.StatusBadRequest, Reason: reason}
	}
	if d.isDuplicate(incoming.ID) {
		return &server.Rejection{Status: http.StatusConflict, Reason: "the id is that of another request"}
	}
	if incoming.PromptTokens == 0 {
		incoming.PromptTokens = float64(len(incoming.Body)) / bytesPerToken
	}
	d.lastRequestID++
	d.Accepted++
	req := &request{
		id:     d.lastRequestID,
		class:  scheduler.ClassID(class),
		client: client{Request: incoming, response: response},
		ledger: d.openLedger(incoming, scheduler.ClassID(class)),
	}
	d.debugRequest(req).Str("class", incoming.Class).Int64("timeout_us", int64(incoming.Timeout)).Msg("request accepted")
	d.requests[req.id] = req
	d.activeIDs[incoming.ID] = true
	response.OnDisconnect = func() {
		// The scheduler must not be called back from within its own call.
		d.loop.Defer(func() { d.clientDisconnected(req) })
	}
	response.OnWritable = func() {
		if req.attempt.inFlight != nil {
			req.attempt.inFlight.SetReadingPaused(false)
		}
	}
	d.scheduler.RequestArrived(d.loop.Now(), d.arrival(req))
	d.finishIfIdle(req)
	return nil
}

// arrival describes a new request to the scheduler.
func (d *Dispatcher) arrival(req *request) scheduler.Arrival {
	tenant := max(slices.Index(d.settings.Tenants, req.client.Tenant), 0)
	return scheduler.Arrival{
		ID:              req.id,
		Session:         scheduler.SessionID(hashID(req.client.Session)),
		Prefix:          scheduler.PrefixID(hashID(req.client.Prefix)),
		Class:           req.class,
		Tenant:          scheduler.TenantID(tenant),
		PromptTokens:    req.client.PromptTokens,
		PrefixTokens:    req.client.PrefixTokens,
		MaxOutputTokens: req.client.MaxOutputTokens,
		Deadline:        req.client.ReceivedAt + req.client.Timeout,
	}
}

// hashID hashes the id of a session or prefix. The result is the same at every dispatcher. It is 0 only for an empty
// id.
func hashID(id string) uint64 {
	if id == "" {
		return 0
	}
	return max(xxhash.Sum64String(id), 1)
}

// clientDisconnected closes a request whose client has disconnected. It cancels a started stream or an unsent attempt;
// the scheduler decides whether any other attempt is cancelled.
func (d *Dispatcher) clientDisconnected(req *request) {
	if req.client.closed {
		return
	}
	req.client.closed = true
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

// cancelUnsent cancels an attempt of a closed request if the attempt has not been written. It does so even if the
// settings forbid cancelling attempts, since no endpoint has seen an attempt that has not been written.
func (d *Dispatcher) cancelUnsent(req *request) {
	unsent := req.attempt.inFlight != nil && req.attempt.inFlight.Unsent()
	if unsent || req.lease.startWaiting != nil {
		d.Cancel(req.id, req.attempt.number())
	}
}

// finishIfIdle cleans up a request that has no attempt in flight: it releases the request's KV state. When no release
// is left and the request is closed, it drops the request's record. It is called after each call to the scheduler about
// a request, since the scheduler gives no order to clean up.
func (d *Dispatcher) finishIfIdle(req *request) {
	if req.attempt.inFlight != nil || req.lease.startWaiting != nil || req.lease.releasing || d.requests[req.id] != req {
		return
	}
	if req.lease.active {
		d.release(req)
		return
	}
	if req.client.closed {
		req.ledger.Closed()
		delete(d.requests, req.id)
		delete(d.activeIDs, req.client.ID)
		d.recentIDs[0][req.client.ID] = true
	}
}

// isDuplicate reports whether an id belongs to a request that is open or has ended recently.
func (d *Dispatcher) isDuplicate(id string) bool {
	return d.activeIDs[id] || d.recentIDs[0][id] || d.recentIDs[1][id]
}

// expireIDs rotates the two sets of recent ids every recentIDRetention, so an id is remembered for at least one and at
// most two of these periods.
func (d *Dispatcher) expireIDs() {
	d.recentIDs[1], d.recentIDs[0] = d.recentIDs[0], map[string]bool{}
	d.loop.AfterFunc(recentIDRetention, d.expireIDs)
}

// requestsByID returns the open requests sorted by id, so that no behaviour depends on the iteration order of a map.
func (d *Dispatcher) requestsByID() []*request {
	byID := func(a, b *request) int { return cmp.Compare(a.id, b.id) }
	return slices.SortedFunc(maps.Values(d.requests), byID)
}
