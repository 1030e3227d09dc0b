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

	releaseTimeout    = 200 * eventloop.Millisecond // for the first request of a release; a retry adds twice its backoff
	minReleaseBackoff = 60 * eventloop.Millisecond  // before a retry; doubles with each failed retry after the first
	maxReleaseBackoff = 240 * eventloop.Millisecond
	// releaseRetryPeriod is how long a release is retried. An endpoint that is unreachable for longer frees the state when
	// the lease of that state expires at the endpoint.
	releaseRetryPeriod = 10 * eventloop.Second
	maxReleaseBatch    = 256 // maximum number of attempts in one retry; the first request of a release is not split
)

// pendingRelease is an attempt whose KV state has to be released and whose endpoint has not confirmed the release.
type pendingRelease struct {
	requestID string
	expires   eventloop.Micros // when retries end
}

// releaseQueue holds the releases that one endpoint has not confirmed.
type releaseQueue struct {
	pending   []pendingRelease
	scheduled bool             // a retry is scheduled or in progress
	backoff   eventloop.Micros // before the next retry, at least minReleaseBackoff; 0 if the last retry did not fail
}

// Release asks an endpoint to free the KV state of some attempts, given by their request ids. Releases may use spare
// connections and reserved file descriptors, because state must not stay allocated for lack of a connection or
// descriptor. Releases that the endpoint does not confirm are retried together, in batches.
func (e *Engine) Release(id scheduler.EndpointID, requestIDs []string) {
	ep := e.endpoints[id]
	if ep == nil || len(requestIDs) == 0 {
		return
	}
	e.sendRelease(ep, requestIDs, releaseTimeout, func(confirmed bool) {
		if confirmed {
			return
		}
		expires := e.loop.Now() + releaseRetryPeriod
		for _, requestID := range requestIDs {
			ep.releases.pending = append(ep.releases.pending, pendingRelease{requestID, expires})
		}
		e.scheduleReleases(ep)
	})
}

// scheduleReleases schedules a retry of an endpoint's pending releases, after a backoff that grows while retries fail.
func (e *Engine) scheduleReleases(ep *endpoint) {
	releases := &ep.releases
	if releases.scheduled || len(releases.pending) == 0 {
		return
	}
	releases.scheduled = true
	e.loop.AfterFunc(max(releases.backoff, minReleaseBackoff), func() { e.retryReleases(ep) })
}

// retryReleases sends the next batch of pending releases and schedules another retry if any are left.
func (e *Engine) retryReleases(ep *endpoint) {
	releases := &ep.releases
	batch := releases.nextBatch(e.loop.Now())
	if len(batch) == 0 {
		releases.scheduled, releases.backoff = false, 0
		return
	}
	// The timeout grows with the backoff, because opening a connection may be slow.
	timeout := releaseTimeout + 2*releases.backoff
	e.sendRelease(ep, batch, timeout, func(confirmed bool) {
		releases.scheduled = false
		releases.backoff = min(max(2*releases.backoff, minReleaseBackoff), maxReleaseBackoff)
		if confirmed {
			releases.pending = slices.Delete(releases.pending, 0, len(batch))
			releases.backoff = 0
		}
		e.scheduleReleases(ep)
	})
}

// nextBatch drops expired releases and returns the request ids of the first maxReleaseBatch pending ones.
func (q *releaseQueue) nextBatch(now eventloop.Micros) (requestIDs []string) {
	q.pending = slices.DeleteFunc(q.pending, func(release pendingRelease) bool { return release.expires < now })
	for _, release := range q.pending[:min(len(q.pending), maxReleaseBatch)] {
		requestIDs = append(requestIDs, release.requestID)
	}
	return requestIDs
}

// sendRelease sends one release request. It calls done when the request has ended, and tells done whether the endpoint
// confirmed the release.
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
