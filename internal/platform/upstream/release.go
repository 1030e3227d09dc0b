package upstream

import (
	"errors"
	"net/http"
	"slices"

	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

const (
	// attemptsPerStateTimeout is the number of attempts that a release starts within one state timeout while none is
	// answered. An attempt to an endpoint that can't be reached thus leaves time to try other endpoints. The same number
	// is the maximum number of attempts in flight for one release.
	attemptsPerStateTimeout = 6
	// releaseTimeoutFactor is how many state timeouts a release is retried for. A KV state that could not be released
	// within one state timeout is still worth freeing.
	releaseTimeoutFactor = 10
	minAttemptInterval   = eventloop.Millisecond
)

var errReleaseTimeout = errors.New("no endpoint confirmed the release")

// release is a release in progress. If an endpoint does not respond soon, attempts to other endpoints follow while the
// earlier ones go on, because connections may be slow to open everywhere. The first confirmation ends all attempts.
type release struct {
	client     *Client
	id         string // id of the request
	startedAt  eventloop.Micros
	lastTried  scheduler.EndpointID          // the endpoint of the latest attempt
	tried      map[scheduler.EndpointID]bool // tried in this round; a round ends once all candidates had an attempt
	useAll     bool                          // also try endpoints that aren't ready, because no ready one confirmed
	attempts   []*engine.Attempt             // in flight, oldest first
	retryTimer eventloop.Timeout             // runs until the next attempt
	ended      bool
	done       func(confirmed bool)
}

// Release frees all KV state that is reserved for a request. Any endpoint accepts a release, whichever endpoints hold
// the state. The first attempt goes to the endpoint given by first if that endpoint has sent something within the state
// timeout and has an idle connection. Release calls done once.
func (c *Client) Release(id string, first scheduler.EndpointID, done func(confirmed bool)) {
	c.Releases++
	now := c.loop.Now()
	r := &release{client: c, id: id, done: done, startedAt: now, tried: map[scheduler.EndpointID]bool{}}
	if c.connections.IdleConnections(first) == 0 || now-c.connections.LastReceived(first) > c.options.StateTimeout {
		first = r.next(first)
	}
	r.send(first)
}

// next chooses the endpoint of the next attempt. It prefers endpoints that were not tried in this round, then those
// with an idle connection, then the one that has sent something most recently. The last criterion matters if many
// endpoints have fallen silent together: their connections still look idle, and trying them one after the other takes
// longer than the KV state may wait.
func (r *release) next(fallback scheduler.EndpointID) scheduler.EndpointID {
	best, bestRank, bestReceived := fallback, -1, eventloop.Micros(0)
	for _, id := range r.candidates() {
		rank := r.rank(id)
		received := r.client.connections.LastReceived(id)
		if rank > bestRank || rank == bestRank && received > bestReceived {
			best, bestRank, bestReceived = id, rank, received
		}
	}
	return best
}

// candidates returns the endpoints that the release may be sent to.
func (r *release) candidates() []scheduler.EndpointID {
	if r.useAll {
		return r.client.options.ListedEndpoints()
	}
	return r.client.options.ReadyEndpoints()
}

// rank returns the preference for an endpoint, apart from when it last sent something; higher is better.
func (r *release) rank(id scheduler.EndpointID) (rank int) {
	if !r.tried[id] {
		rank += 2
	}
	if r.client.connections.IdleConnections(id) > 0 {
		rank++
	}
	return rank
}

// triedAll reports whether every candidate had an attempt in this round. Once all endpoints that accept new requests
// had an attempt, triedAll makes the other endpoints candidates too.
func (r *release) triedAll() bool {
	untried := func(id scheduler.EndpointID) bool { return !r.tried[id] }
	if !r.useAll && !slices.ContainsFunc(r.candidates(), untried) {
		r.useAll = true
	}
	return !slices.ContainsFunc(r.candidates(), untried)
}

// send starts one attempt, and schedules another in case there is no response soon. If the maximum number of attempts
// is in flight, it cancels the oldest.
func (r *release) send(id scheduler.EndpointID) {
	c := r.client
	c.ReleaseAttempts++
	r.lastTried = id
	r.tried[id] = true
	if len(r.attempts) == attemptsPerStateTimeout {
		r.attempts[0].Cancel()
		r.attempts = r.attempts[1:]
	}
	call := engine.Call{
		IsRelease:       true,
		MaxResponseBody: maxResponse,
		ReadResponse:    releaseResult,
		BuildRequest:    r.buildRequest,
	}
	var attempt *engine.Attempt
	attempt = c.connections.Call(id, call, c.options.StateTimeout, engine.Callbacks{
		Ended: func(result engine.Result) { r.attemptEnded(attempt, result) },
	})
	r.attempts = append(r.attempts, attempt)
	r.retryTimer.Set(c.loop, r.attemptInterval(), r.sendNext)
}

func (r *release) buildRequest(address string, _ eventloop.Micros) []byte {
	return http1.AppendRequest(nil, http1.Request{Method: "DELETE", Target: "/v1/holds/" + r.id, Host: address})
}

// releaseResult returns the result of a release attempt from its response. PrefillDone stands for a confirmed release.
func releaseResult(head *http1.Head, _ []byte) engine.Result {
	if head.Status == http.StatusNoContent || head.Status == http.StatusOK {
		return engine.Result{Outcome: scheduler.PrefillDone}
	}
	return engine.Result{Outcome: scheduler.Errored, Reason: statusReason(head)}
}

// attemptInterval returns the time from one attempt to the next if there is no response.
func (r *release) attemptInterval() eventloop.Micros {
	return max(r.client.options.StateTimeout/attemptsPerStateTimeout, minAttemptInterval)
}

// sendNext starts the next attempt, or ends the release if it has taken too long.
func (r *release) sendNext() {
	if r.client.loop.Now()-r.startedAt > releaseTimeoutFactor*r.client.options.StateTimeout {
		r.end(errReleaseTimeout)
		return
	}
	if r.triedAll() {
		clear(r.tried)
	}
	r.send(r.next(r.lastTried))
}

// attemptEnded handles the end of one attempt. After a failure it starts the next attempt at once, except at the end of
// a round. At the end of a round it waits first, because endpoints that all refuse at once would otherwise be called in
// a busy loop.
func (r *release) attemptEnded(attempt *engine.Attempt, result engine.Result) {
	if r.ended {
		return
	}
	r.attempts = slices.DeleteFunc(r.attempts, func(other *engine.Attempt) bool { return other == attempt })
	switch {
	case result.Outcome == scheduler.PrefillDone:
		r.end(nil)
	case r.triedAll():
		clear(r.tried)
		r.retryTimer.Set(r.client.loop, r.attemptInterval(), r.sendNext)
	default:
		r.sendNext()
	}
}

// end cancels the attempts in flight and reports the result of the release. A nil error means that the release was
// confirmed.
func (r *release) end(err error) {
	c := r.client
	r.ended = true
	r.retryTimer.Clear()
	for _, attempt := range r.attempts {
		attempt.Cancel()
	}
	if err != nil {
		c.options.Log.Warn().Str("request_id", r.id).Err(err).Msg("KV state not released")
	}
	if err != nil || c.loop.Now()-r.startedAt > c.options.StateTimeout {
		c.LateReleases++
	}
	r.done(err == nil)
}
