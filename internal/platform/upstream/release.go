package upstream

import (
	"fmt"
	"slices"
	"strconv"

	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

const (
	// Tries of one release are spread over the time that it has, so that a host that can't be reached leaves time for others; so many are
	// out at once at the most.
	releaseTries = 6
	// A KV state that could not be released in time is still worth freeing for so many times that time.
	releasePatience = 10
	// minRingPause is the least pause between tries.
	minRingPause = eventloop.Millisecond
)

// Release has all that is held for a request released. Any host takes it, so one that can't be reached is no reason to wait: one
// is asked that spoke lately and has a connection that waits, then the others in turn. done is called once, with whether a host has
// confirmed it.
func (l *Client) Release(id string, at scheduler.EndpointID, done func(bool)) {
	l.Releases++
	r := &release{client: l, id: id, done: done, began: l.loop.Now(), tried: map[scheduler.EndpointID]bool{}}
	if now := l.loop.Now(); l.IdleConnections(at) == 0 || now-l.LastReceived(at) > l.within {
		at = l.other(r, at)
	}
	r.ask(at)
}

// release is one that is under way. A host that does not answer soon is not waited for: others are asked beside it, and the first that
// confirms ends them all, as a connection may be slow to come up everywhere.
type release struct {
	client *Client
	id     string
	began  eventloop.Micros
	asked  scheduler.EndpointID // last
	tried  map[scheduler.EndpointID]bool
	wide   bool              // hosts that want nothing new are asked too, as none of the others has confirmed it
	open   []*engine.Attempt // the oldest first
	next   eventloop.Timeout // for the time to ask another
	ended  bool
	done   func(bool)
}

// other is a host not tried yet, one with a connection that waits before all others, and of those the one that spoke last: where many
// have fallen silent together their connections wait all the same, and a state has no time for one after the other.
func (l *Client) other(r *release, usual scheduler.EndpointID) scheduler.EndpointID {
	best, rank, spoke := usual, -1, eventloop.Micros(0)
	for _, h := range l.hosts(r.wide) {
		at := 0
		if !r.tried[h] {
			at += 2
		}
		if l.IdleConnections(h) > 0 {
			at++
		}
		if heard := l.LastReceived(h); at > rank || at == rank && heard > spoke {
			best, rank, spoke = h, at, heard
		}
	}
	return best
}

// triedAll tells whether every host has been asked since the last pause.
func (r *release) triedAll() bool {
	untried := func(h scheduler.EndpointID) bool { return !r.tried[h] }
	if !r.wide && !slices.ContainsFunc(r.client.hosts(false), untried) {
		r.wide = true
	}
	return !slices.ContainsFunc(r.client.hosts(r.wide), untried)
}

// ask sends one try, and another one soon if no answer comes.
func (r *release) ask(at scheduler.EndpointID) {
	l := r.client
	l.ReleaseAttempts++
	r.asked, r.tried[at] = at, true
	if len(r.open) == releaseTries {
		r.open[0].Cancel()
		r.open = r.open[1:]
	}
	call := engine.Call{IsRelease: true, MaxResponseBody: maxAnswer, ReadResponse: confirmed, BuildRequest: func(addr string, _ eventloop.Micros) []byte {
		return http1.AppendRequest(nil, http1.Request{Method: "DELETE", Target: "/v1/holds/" + r.id, Host: addr})
	}}
	var attempt *engine.Attempt
	attempt = l.Call(at, call, l.within, engine.Callbacks{Ended: func(o engine.Result) { r.answered(attempt, o) }})
	r.open = append(r.open, attempt)
	r.next.Set(l.loop, r.pause(), r.askNext)
}

// confirmed is what an answer to a release means.
func confirmed(h *http1.Head, _ []byte) engine.Result {
	if h.Status == 204 || h.Status == 200 {
		return engine.Result{Outcome: scheduler.PrefillDone}
	}
	return engine.Result{Outcome: scheduler.Errored, Reason: "status " + strconv.Itoa(h.Status)}
}

// pause is the time between two tries that are not answered.
func (r *release) pause() eventloop.Micros { return max(r.client.within/releaseTries, minRingPause) }

func (r *release) askNext() {
	if r.client.loop.Now()-r.began > releasePatience*r.client.within {
		r.end(false, "no host confirmed it")
		return
	}
	if r.triedAll() {
		clear(r.tried)
	}
	r.ask(r.client.other(r, r.asked))
}

// answered takes the end of one try. Where it failed the next host is asked at once, but with a pause between the rounds: hosts that all
// refuse must not be asked in a ring without one.
func (r *release) answered(attempt *engine.Attempt, o engine.Result) {
	if r.ended {
		return
	}
	r.open = slices.DeleteFunc(r.open, func(a *engine.Attempt) bool { return a == attempt })
	switch {
	case o.Outcome == scheduler.PrefillDone:
		r.end(true, "")
	case r.triedAll():
		clear(r.tried)
		r.next.Set(r.client.loop, r.pause(), r.askNext)
	default:
		r.askNext()
	}
}

// end tells how it came out and gives up the tries that are still out.
func (r *release) end(confirmed bool, why string) {
	l := r.client
	r.ended = true
	r.next.Clear()
	for _, a := range r.open {
		a.Cancel()
	}
	if !confirmed {
		l.Log(fmt.Sprintf("what is held for request %s could not be released: %s", r.id, why))
	}
	if !confirmed || l.loop.Now()-r.began > l.within {
		l.LateReleases++
	}
	r.done(confirmed)
}
