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
	// releaseAttempts divides the state timeout into pauses between two attempts, so that an endpoint that can't be
	// reached leaves time for others. It is also the most that are in flight for one release.
	releaseAttempts = 6
	// releasePatience times the state timeout is how long a release is tried: a KV state that could not be released in
	// time is still worth freeing.
	releasePatience = 10
	minReleasePause = eventloop.Millisecond
)

var errReleaseTimeout = errors.New("no endpoint confirmed the release")

// release is a release under way. An endpoint that does not respond soon is not waited for: further attempts go to
// others beside it, as connections may be slow to open everywhere, and the first confirmation ends them all.
type release struct {
	client   *Client
	id       string
	began    eventloop.Micros
	last     scheduler.EndpointID // of the latest attempt
	tried    map[scheduler.EndpointID]bool
	useAll   bool // also endpoints that accept no new requests, as none of the others has confirmed
	attempts []*engine.Attempt
	pause    eventloop.Timeout // until the next attempt
	ended    bool
	done     func(confirmed bool)
}

// Release frees all KV state that is reserved for a request, whichever endpoints have it: any endpoint accepts a
// release. The one given comes first if it has sent something lately and a connection to it is idle. done is called
// once.
func (c *Client) Release(id string, first scheduler.EndpointID, done func(confirmed bool)) {
	c.Releases++
	now := c.loop.Now()
	r := &release{client: c, id: id, done: done, began: now, tried: map[scheduler.EndpointID]bool{}}
	if c.connections.IdleConnections(first) == 0 || now-c.connections.LastReceived(first) > c.options.StateTimeout {
		first = r.next(first)
	}
	r.send(first)
}

// next chooses an endpoint: one that was not tried before all others, then one with an idle connection, then the one
// that has sent something last. Where many have fallen silent together their connections still look idle, and a KV
// state can't wait for one after the other.
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

// candidates are the endpoints that the release may be sent to.
func (r *release) candidates() []scheduler.EndpointID {
	if r.useAll {
		return r.client.options.ListedEndpoints()
	}
	return r.client.options.ReadyEndpoints()
}

func (r *release) rank(id scheduler.EndpointID) (rank int) {
	if !r.tried[id] {
		rank += 2
	}
	if r.client.connections.IdleConnections(id) > 0 {
		rank++
	}
	return rank
}

// triedAll reports whether every candidate had an attempt since the last pause. Once all that accept new requests had,
// the other endpoints become candidates.
func (r *release) triedAll() bool {
	untried := func(id scheduler.EndpointID) bool { return !r.tried[id] }
	if !r.useAll && !slices.ContainsFunc(r.candidates(), untried) {
		r.useAll = true
	}
	return !slices.ContainsFunc(r.candidates(), untried)
}

// send starts one attempt, and has another one follow soon if there is no response. Where too many are in flight the
// oldest is cancelled.
func (r *release) send(id scheduler.EndpointID) {
	c := r.client
	c.ReleaseAttempts++
	r.last = id
	r.tried[id] = true
	if len(r.attempts) == releaseAttempts {
		r.attempts[0].Cancel()
		r.attempts = r.attempts[1:]
	}
	call := engine.Call{
		IsRelease:       true,
		MaxResponseBody: maxResponse,
		ReadResponse:    releaseResult,
		BuildRequest:    r.write,
	}
	var attempt *engine.Attempt
	attempt = c.connections.Call(id, call, c.options.StateTimeout, engine.Callbacks{
		Ended: func(result engine.Result) { r.attemptEnded(attempt, result) },
	})
	r.attempts = append(r.attempts, attempt)
	r.pause.Set(c.loop, r.pauseLength(), r.sendNext)
}

func (r *release) write(address string, _ eventloop.Micros) []byte {
	return http1.AppendRequest(nil, http1.Request{Method: "DELETE", Target: "/v1/holds/" + r.id, Host: address})
}

// releaseResult is what the response to a release means.
func releaseResult(head *http1.Head, _ []byte) engine.Result {
	if head.Status == http.StatusNoContent || head.Status == http.StatusOK {
		return engine.Result{Outcome: scheduler.PrefillDone}
	}
	return engine.Result{Outcome: scheduler.Errored, Reason: statusReason(head)}
}

// pauseLength is the time between two attempts without a response.
func (r *release) pauseLength() eventloop.Micros {
	return max(r.client.options.StateTimeout/releaseAttempts, minReleasePause)
}

func (r *release) sendNext() {
	if r.client.loop.Now()-r.began > releasePatience*r.client.options.StateTimeout {
		r.end(errReleaseTimeout)
		return
	}
	if r.triedAll() {
		clear(r.tried)
	}
	r.send(r.next(r.last))
}

// attemptEnded handles the end of one attempt. After a failure the next one follows at once, but with a pause between
// two rounds: endpoints that all refuse must not be called in a loop without one.
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
		r.pause.Set(r.client.loop, r.pauseLength(), r.sendNext)
	default:
		r.sendNext()
	}
}

// end cancels the attempts in flight and reports the result: nil if the release was confirmed.
func (r *release) end(err error) {
	c := r.client
	r.ended = true
	r.pause.Clear()
	for _, attempt := range r.attempts {
		attempt.Cancel()
	}
	if err != nil {
		c.options.Log.Warn().Str("request_id", r.id).Err(err).Msg("KV state not released")
	}
	if err != nil || c.loop.Now()-r.began > c.options.StateTimeout {
		c.LateReleases++
	}
	r.done(err == nil)
}
