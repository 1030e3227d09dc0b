package engine

import (
	"net/http"
	"slices"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

const (
	releasePath = "/v1/kv/release"

	releaseTimeout  = 200 * eventloop.Millisecond // of one release request
	minReleasePause = 60 * eventloop.Millisecond  // before a release is retried, doubled each time
	maxReleasePause = 240 * eventloop.Millisecond
	// releaseRetryFor is how long a release is retried. An endpoint that stays unreachable for longer drops the state by
	// its own lease.
	releaseRetryFor = 10 * eventloop.Second
	maxReleaseBatch = 256 // attempts in one release request
)

// pendingRelease is an attempt whose state an endpoint has not confirmed to have released.
type pendingRelease struct {
	requestID string
	expires   eventloop.Micros
}

// releaseQueue holds the releases that one endpoint has not confirmed.
type releaseQueue struct {
	pending   []pendingRelease
	scheduled bool             // a retry is scheduled or under way
	pause     eventloop.Micros // before the next retry
}

// Release has an endpoint drop whatever it holds for some attempts, given by their request ids. Releases may use
// connections and descriptors beyond those of attempts, as lack of either must not pin a state. One that is not
// confirmed is retried, together with all others that the endpoint has not confirmed.
func (e *Engine) Release(id scheduler.EndpointID, requestIDs []string) {
	ep := e.endpoints[id]
	if ep == nil || len(requestIDs) == 0 {
		return
	}
	e.sendRelease(ep, requestIDs, releaseTimeout, func(confirmed bool) {
		if confirmed {
			return
		}
		expires := e.loop.Now() + releaseRetryFor
		for _, requestID := range requestIDs {
			ep.releases.pending = append(ep.releases.pending, pendingRelease{requestID, expires})
		}
		e.scheduleReleases(ep)
	})
}

// scheduleReleases retries an endpoint's pending releases after a pause, which grows while they fail.
func (e *Engine) scheduleReleases(ep *endpoint) {
	releases := &ep.releases
	if releases.scheduled || len(releases.pending) == 0 {
		return
	}
	releases.scheduled = true
	e.loop.AfterFunc(max(releases.pause, minReleasePause), func() { e.retryReleases(ep) })
}

func (e *Engine) retryReleases(ep *endpoint) {
	releases := &ep.releases
	batch := releases.nextBatch(e.loop.Now())
	if len(batch) == 0 {
		releases.scheduled, releases.pause = false, 0
		return
	}
	// A connection may be slow to come up: each retry gets more time than the one before.
	timeout := releaseTimeout + 2*releases.pause
	e.sendRelease(ep, batch, timeout, func(confirmed bool) {
		releases.scheduled = false
		releases.pause = min(max(2*releases.pause, minReleasePause), maxReleasePause)
		if confirmed {
			releases.pending = slices.Delete(releases.pending, 0, len(batch))
			releases.pause = 0
		}
		e.scheduleReleases(ep)
	})
}

// nextBatch drops expired releases and returns the request ids of the first ones pending.
func (q *releaseQueue) nextBatch(now eventloop.Micros) (requestIDs []string) {
	q.pending = slices.DeleteFunc(q.pending, func(release pendingRelease) bool { return release.expires < now })
	for _, release := range q.pending[:min(len(q.pending), maxReleaseBatch)] {
		requestIDs = append(requestIDs, release.requestID)
	}
	return requestIDs
}

// sendRelease makes one release request; done is called with whether the endpoint confirmed it.
func (e *Engine) sendRelease(ep *endpoint, requestIDs []string, timeout eventloop.Micros, done func(confirmed bool)) {
	body := []byte(`{"request_ids":["` + strings.Join(requestIDs, `","`) + `"]}`)
	call := Call{
		IsRelease:       true,
		MaxResponseBody: maxResponseBody,
		BuildRequest: func(addr string, _ eventloop.Micros) []byte {
			return http1.AppendRequest(nil, http1.Request{Method: "POST", Target: releasePath, Host: addr, Body: body},
				"Content-Type", "application/json",
				"x-dispatcher", e.name,
				"x-zone", e.zone)
		},
		ReadResponse: func(head *http1.Head, _ []byte) Result {
			if head.Status == http.StatusOK {
				return Result{Outcome: scheduler.PrefillDone}
			}
			return Result{Outcome: scheduler.Errored}
		},
	}
	e.call(ep, call, timeout, Callbacks{
		Ended: func(result Result) { done(result.Outcome == scheduler.PrefillDone) },
	})
}
