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
	// recentIDTime is how long an id is rejected after its request has ended: a duplicate that was sent while the
	// request was open may arrive later than its end.
	recentIDTime = 10 * eventloop.Second
	// bytesPerToken estimates a prompt's length where the client does not give it.
	bytesPerToken = 4
)

// request is the dispatcher's record of a client's request. What the scheduler records is not repeated here.
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
	closed   bool // it has its final answer, or has disconnected
	reason   scheduler.Reason
}

// Handle implements server.Handler.
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
	d.lastRequest++
	d.Accepted++
	req := &request{
		id:     d.lastRequest,
		class:  scheduler.ClassID(class),
		client: client{Request: incoming, response: response},
		ledger: d.openLedger(incoming, scheduler.ClassID(class)),
	}
	d.debugRequest(req).Str("class", incoming.Class).Int64("timeout_us", int64(incoming.Timeout)).Msg("request accepted")
	d.requests[req.id] = req
	d.activeIDs[incoming.ID] = true
	response.OnDisconnect = func() {
		d.loop.Defer(func() { d.clientDisconnected(req) }) // never within the scheduler's own call
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

// clientDisconnected closes a request whose client has disconnected. A started stream and an unsent attempt are
// cancelled; the scheduler decides about any other attempt.
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

// cancelUnsent cancels an attempt of a closed request that has not been written. It does so even if the settings allow
// no cancellation, as the endpoint has not seen the attempt.
func (d *Dispatcher) cancelUnsent(req *request) {
	unsent := req.attempt.inFlight != nil && req.attempt.inFlight.Unsent()
	if unsent || req.lease.waiting != nil {
		d.Cancel(req.id, req.attempt.number())
	}
}

// finishIfIdle completes a request that has no attempt in flight: its KV state is released, and after that, once the
// request is closed, its record is dropped. It follows each call of the scheduler, which gives no order for this.
func (d *Dispatcher) finishIfIdle(req *request) {
	if req.attempt.inFlight != nil || req.lease.waiting != nil || req.lease.releasing || d.requests[req.id] != req {
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

// isDuplicate reports whether an id is that of a request that is open, or has ended recently.
func (d *Dispatcher) isDuplicate(id string) bool {
	return d.activeIDs[id] || d.recentIDs[0][id] || d.recentIDs[1][id]
}

// expireIDs rotates the two sets of recent ids every recentIDTime: an id is remembered for one to two of them.
func (d *Dispatcher) expireIDs() {
	d.recentIDs[1], d.recentIDs[0] = d.recentIDs[0], map[string]bool{}
	d.loop.AfterFunc(recentIDTime, d.expireIDs)
}

// requestsByID returns the requests in order of id, so that nothing depends on the order of a map.
func (d *Dispatcher) requestsByID() []*request {
	byID := func(a, b *request) int { return cmp.Compare(a.id, b.id) }
	return slices.SortedFunc(maps.Values(d.requests), byID)
}
